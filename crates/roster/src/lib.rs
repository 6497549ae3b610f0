//! Who the workers are, as far as it can be decided without I/O.
//!
//! - `asking`: when to ask a discovery service for the list, and what to make of an answer;
//! - `vouching`: how far a list is believed that can't be had anew;
//! - `guard`: whether a new reading of the inventory's files is let through;
//! - `merging`: one list from files and discovery;
//! - `health`: who of the files' workers is alive, since files tell nothing of that.
//!
//! Each is told the time with each input, as a span since the start, and keeps no clock of its own.

pub mod asking;
pub mod guard;
pub mod health;
pub mod merging;
pub mod vouching;
