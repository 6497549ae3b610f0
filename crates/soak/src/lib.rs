//! A soak of the whole system as real processes over loopback: clients that use their connections until these are closed,
//! and a record of what became of each request, as its client saw it.
//!
//! - [`connection`]: a client's connection, which tells an answer from a close, a reset and silence.

pub mod connection;
