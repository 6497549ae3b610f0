//! Messages between schedulers.

pub mod outbox;
pub mod socket;
