//! Rebinding: instances moved from host to host under load, so that memory and slices of accelerators are packed again.
//!
//! Three deciders without I/O, each useful alone; times come in on the caller's steady clock, chance is seeded.
//!
//! - [`plan`] makes an ordered [`Plan`] of moves from a [`Fleet`]; [`check`] plays a plan and says what it breaks.
//! - [`Mover`] carries a plan out: begin the new one, wait until it serves, let the lenders move over, let the old one
//!   end what it holds, stop it. What it knows beyond the plan it reads from what is seen at each look, so that the
//!   next holder of the lease goes on where this one was.
//! - [`Judge`] says whether now is a time to do it.
//!
//! Why it is built so: `docs/design/rebinding.md`; for those on call: `docs/operating/rebinding.md`.

mod check;
mod ground;
mod judge;
mod mover;
mod plan;
mod sample;
mod words;

pub use check::{check, Violation};
pub use judge::{Conditions, MovePolicy, Obstacle};
pub use mover::{
    nonce, FleetView, InjectedDefect, InstanceState, InstanceView, Mover, MoverSettings, Order, Outcome,
    Phase, Progress, ServiceNeed, Serving, StartOutcome,
};
pub use plan::{best_known, lower_bound, plan, plan_with, Strategy};
pub use sample::sample_fleet;
pub use words::*;
