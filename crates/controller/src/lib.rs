//! The controller's decisions beside the control store, without I/O: inputs carry the time, and the caller does what is
//! asked of it. The program (`house::controller`) and the simulator (`rehearsal::archive`) both run on this code.
//!
//! - `lease_duties`: the autoscaler of a controller while it holds the lease;
//! - `agents`: which agents ask this controller, and which of them lack the configuration in force;
//! - `proxies`: the proxies among which owners of slots are chosen;
//! - `contact`: whether what was heard can be fresh;
//! - `convert`: between the configuration, the autoscaler's entries and the instances on the wire.

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
