//! Stand-ins for all that the whole system meets, on one machine, over loopback: the platform with its workers
//! ([`platform`]), the operator ([`operator`]) and clients ([`clients`]), as `PROTOCOL.md` describes them. [`demo`] is
//! one command that puts the system's own programs among them; [`fleet`] starts and ends those.
//!
//! Nothing here is used by the system in service, and nothing of the system's own reading and writing is used here
//! ([`wire`] is separate), so that a mistake on one side shows on the other.
//!
//! All addresses are 127.x.y.z, one for each machine that is played ([`loopback`]); nothing leaves the machine. Worker
//! processes are tasks with sockets of their own; the system's programs are real processes.

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
