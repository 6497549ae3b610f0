//! The scaler: how many instances of each function run, where, and which one to stop.
//!
//! A decider without I/O. Inputs carry the time on the caller's steady clock; [`Scaler::next`] is
//! called until it gives `None`, and again at [`Scaler::next_due`] or after any input. Chance is
//! seeded, so a run can be played again.
//!
//! Words: an *instance* is one running worker of a service and an [`Entry`] of the stacks; a
//! *host* is a machine of the platform; an *accession* is a start, *weeding* a stop. In each zone
//! one *lender* gives out the slots of the instances there and tells [`Demand`].
//!
//! Whoever holds the lease runs one `Scaler`. Its successor begins with [`Scaler::inherit`] (what
//! the schedulers know) and with the platform's lists; accessions go on under the numbers of the
//! earlier holder, so that one which was done but never told is repeated, not doubled.

mod book;
mod pace;
mod rebind;
mod room;
mod scaler;
mod want;
mod words;

pub use book::ChangeSet;
pub use rebind::{Rebinding, RebindingStatus, RunRefusal};
pub use scaler::Scaler;
pub use tindock_rebinding as rebinding;
pub use want::{desired_instances, DesiredInstances, ZoneDemand};
pub use words::*;
