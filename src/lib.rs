//! tindock: a dispatcher that sits beside each submitter and pushes tasks to workers.
//!
//! All decisions are in [`rules`] and the files beside it, the index of workers in [`index`]; the words they are
//! spoken in are in [`terms`].

mod choosing;
pub mod index;
mod news;
pub mod policy;
pub mod state;
mod sweeping;
mod telling;
pub mod types;
