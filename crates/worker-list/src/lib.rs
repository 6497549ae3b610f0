//! Maintains the list of workers. Performs no I/O.
//!
//! - `list_client`: when to query a discovery service for the list, and which answers to accept;
//! - `suspicion`: which workers to avoid while the list cannot be refreshed;
//! - `guard`: whether a new state of the inventory files is accepted;
//! - `merge`: one list from files and discovery;
//! - `health`: which workers listed in files are alive, since files do not contain that.
//!
//! Each receives the time with each input, as a duration since the start, and keeps no clock of its own.

pub mod guard;
pub mod health;
pub mod list_client;
pub mod merge;
pub mod suspicion;
