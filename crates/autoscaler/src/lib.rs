//! The autoscaler: how many instances of each function run, where, and which one to stop.
//!
//! Decision logic without I/O. Inputs carry the time on the caller's monotonic clock; [`Scaler::next`] is
//! called until it returns `None`, and again at [`Scaler::next_due`] or after any input. The random generator
//! is seeded, so that a run can be reproduced.
//!
//! Terms: an *instance* is one running worker of a service, recorded as an [`Entry`]; a *host* is a machine
//! of the platform. In each zone one *slot allocator* assigns calls to the slots of the instances there and
//! reports [`Demand`].
//!
//! The holder of the leadership lease runs one `Scaler`. Its successor begins with [`Scaler::inherit`] (what
//! the schedulers know) and with the platform's lists. Starts are numbered on from the previous holder's
//! numbers: a start that was executed but not yet reported is requested again under the same nonce, and so
//! not executed twice.

mod capacity;
mod desired;
mod rate_limiter;
mod rebind;
mod registry;
mod scaler;
mod types;

pub use desired::{desired_instances, DesiredInstances, ZoneDemand};
pub use rebind::{Rebinding, RebindingStatus, RunRefusal};
pub use registry::ChangeSet;
pub use scaler::Scaler;
pub use tindock_instance_migration as instance_migration;
pub use types::*;
