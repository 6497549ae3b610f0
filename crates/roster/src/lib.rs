//! Who the workers are, as far as it can be decided without I/O: `asking` says when to ask for their list and what
//! to make of an answer, `vouching` how far a list is believed that can't be had anew.
//!
//! Both are told the time with each input, as a span since the start, and keep no clock of their own.

pub mod asking;
pub mod vouching;
