//! A soak test of the whole system as real processes over loopback: overlapping signals, restarts and
//! changes, clients that use their connections until these are closed, and checks that observe the processes
//! from outside.
//!
//! - [`scenario`]: a scenario, read from a file; [`generate`]: generated from a seed;
//! - [`play`]: plays it; [`load`] and [`connection`]: its clients;
//! - [`record`]: what was observed; [`rules`]: the rules; [`gauges`]: how close it came to breaking one;
//! - [`report`]: the results as text, HTML and JSON; [`shrink`]: minimizes a failing scenario;
//! - [`command`]: `tindock soak`.

pub mod command;
pub mod connection;
pub mod gauges;
pub mod generate;
pub mod load;
pub mod play;
pub mod record;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod shrink;
