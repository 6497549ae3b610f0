//! tindock: a dispatcher that runs beside each submitter and pushes tasks to workers.
//!
//! All decisions are in [`policy`] and its private modules, the index of workers in [`index`], the interface
//! types in [`types`].

mod exchange;
pub mod index;
mod inputs;
pub mod policy;
mod selection;
pub mod state;
mod sweep;
pub mod types;
