//! Draws days of faults for the users' bench from a seed, plays them, and sums up what broke.
//!
//! The kinds come from a list ([`kinds`]), the deployment from a site file ([`site`]); nothing here knows a
//! deployment by its name. See `docs/operating/fault-matrix.md`.

pub mod command;
pub mod day;
pub mod draw;
pub mod error;
pub mod kinds;
pub mod mixed;
pub mod play;
pub mod restarts;
pub mod sets;
pub mod site;
pub mod summary;
pub mod verdict;
pub mod worst;
pub mod write;
