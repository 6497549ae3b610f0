//! The controller's decisions beside the control store, without I/O: inputs carry the time, and the caller
//! performs the requested actions. The controller program and the simulator both run this code.
//!
//! - `lease_holder`: the autoscaler of a controller while it holds the lease;
//! - `agents`: which agents poll this controller, and which of them lack the configuration in force;
//! - `proxies`: the proxies among which owners of slots are chosen;
//! - `pause_detector`: whether received messages can be recent;
//! - `convert`: conversions between the configuration, the autoscaler's entries and the instances in
//!   messages.

mod agents;
mod convert;
mod lease_holder;
mod pause_detector;
mod proxies;

pub use agents::{Agents, AGENT_TIMEOUT, MAX_AGENTS, RESEND_INTERVAL};
pub use convert::{entry_from_wire, entry_to_wire, platform_instances, services};
pub use lease_holder::{list_interval, LeaseHolder, LeaseSettings, UNLISTED_MS};
pub use pause_detector::{PauseDetector, DISTRUST_AFTER_PAUSE, PAUSE_THRESHOLD};
pub use proxies::Proxies;
