//! A soak of the whole system as real processes over loopback: signals, restarts and changes that overlap, clients that use
//! their connections until these are closed, and a judge that stands outside the processes.
//!
//! - [`scenario`]: what is played, from a file; [`draw`]: from a seed;
//! - [`play`]: plays it; [`load`] and [`connection`]: its clients;
//! - [`record`]: what was seen; [`judge`]: the rules; [`gauges`]: how near it came to breaking one;
//! - [`report`]: for people and for programs; [`shrink`]: the least that still breaks;
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
