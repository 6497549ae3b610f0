//! Mock services for everything that the system communicates with, on one machine, over loopback: the
//! platform with its workers ([`platform`], [`workers`]), the operator ([`operator`]) and clients
//! ([`clients`]), as `PROTOCOL.md` describes them. [`demo`] is a command that runs the system's own programs
//! against them; [`fleet`] starts and ends those programs.
//!
//! The production code uses nothing from this crate, and this crate does not use the system's own parser and
//! serializer ([`wire`] is separate), so that a mistake on one side is visible to the other.
//!
//! All addresses are 127.x.y.z, one for each simulated machine ([`loopback`]); no traffic leaves the machine.
//! Workers are tasks with their own sockets; the system's programs are real processes.

pub mod clients;
pub mod demo;
pub mod fleet;
pub mod ledger;
pub mod loopback;
pub mod operator;
pub mod platform;
pub mod report;
pub mod wire;
pub mod workers;

pub use demo::{command, demo, run};
