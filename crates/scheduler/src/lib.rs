//! The scheduler on sockets. A task passes through `clients` (accepted, parsed), `exchange` (decided),
//! `workers` (sent, ended) and `clients` again (answered). Beside these: `list` (worker lists), `peers`
//! (messages between schedulers), `operators`, and `succession` (hand-over between processes, shutdown).
//! `accord` is its membership of a group that agrees on a policy. `rollout` and `keep` are processes of their
//! own.

pub use tindock_scheduler_config as scheduler_config;
pub use tindock_scheduler_config::listing;

pub mod accord;
pub mod cli;
pub mod clients;
pub mod clock;
pub mod disk;
pub mod exchange;
pub mod keep;
pub mod list;
pub mod operators;
pub mod peers;
pub mod rollout;
pub mod start;
pub mod succession;
pub mod workers;
pub mod workload_table;
