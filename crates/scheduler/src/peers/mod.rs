//! Words between schedulers.

pub mod socket;
pub mod outbox;
