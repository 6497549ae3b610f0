//! tindock: a dispatcher that sits beside each submitter and pushes tasks to workers.
//!
//! All decisions are in [`rules`]; the words they are spoken in are in [`terms`].

pub mod books;
pub mod rules;
pub mod terms;
