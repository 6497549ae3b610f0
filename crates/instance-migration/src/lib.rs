//! Rebinding: moves instances between hosts under load, to defragment memory and accelerator slices.
//!
//! Three independent parts without I/O. Times are on the caller's monotonic clock; the random generators are
//! seeded.
//!
//! - [`plan`] makes an ordered [`Plan`] of moves from a [`Fleet`]; [`check`] simulates a plan and reports
//!   what it violates.
//! - [`Mover`] executes a plan: start the new instance, wait until it serves, stop allocating slots of the
//!   old one, let its calls end, stop it. Beyond the plan it relies only on the fleet as seen at each update,
//!   so that the next lease holder can continue the moves.
//! - [`MovePolicy`] decides whether a plan may run now.
//!
//! Design: `docs/design/rebinding.md`; operation: `docs/operating/rebinding.md`.

mod check;
mod mover;
mod placement;
mod plan;
mod policy;
mod sample;
mod types;

pub use check::{check, Violation};
pub use mover::{
    nonce, FleetView, InjectedDefect, InstanceState, InstanceView, Mover, MoverSettings, Order, Outcome,
    Phase, Progress, ServiceNeed, Serving, StartOutcome,
};
pub use plan::{best_known, lower_bound, plan, plan_with, Strategy};
pub use policy::{Conditions, MovePolicy, Obstacle};
pub use sample::sample_fleet;
pub use types::*;
