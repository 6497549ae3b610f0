//! Generates fault scenarios for the users' test bench from a seed, runs them, and summarises the failures.
//!
//! The kinds come from a list ([`kinds`]), the deployment from a site file ([`site`]); nothing here
//! depends on a particular deployment. A scenario is a `[[day]]` of the bench's file format.
//! See `docs/operating/fault-matrix.md`.

pub mod command;
pub mod error;
pub mod kinds;
pub mod mixed;
pub mod restarts;
pub mod rng;
pub mod runner;
pub mod scenario;
pub mod sets;
pub mod site;
pub mod summary;
pub mod verdict;
pub mod worst;
pub mod write;
