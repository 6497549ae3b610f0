//! Rolls a change of settings out to the schedulers in stages, with old and new settings side by side, and
//! undoes it when a stage performs worse. Performs no I/O: [`Rollout`] receives observations of each
//! scheduler and the outcome of each order, with the time as input, and returns the next order until there is
//! none. [`supervisor`] manages the processes of one scheduler. [`comparison`] measures the evidence against
//! a change. The alternatives are discussed in `docs/design/rollout.md`.

pub mod comparison;
pub mod lease;
pub mod planning;
pub mod rollout;
pub mod supervisor;

pub use comparison::{Count, Harm, PairedComparison};
pub use lease::Lease;
pub use planning::Plan;
pub use rollout::{Observation, Order, Outcome, Reason, Rollout, SettingsVersion, State, TaskTotals};
