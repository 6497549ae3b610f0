//! The scheduler on sockets. A task's way: `clients` (accepted, read), `exchange` (decided), `workers` (sent, ended), `clients`
//! (answered). Beside it `list` (who the workers are), `others` (words between schedulers), `operators` and `succession` (the
//! process before, the one after, the end). `accord` is its part in a group that decides its policy together.
//! `rollout` and `keep` are processes of their own.

pub use tindock_berth as berth;
pub use tindock_berth::listing;

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
pub mod workload_table;
pub mod start;
pub mod succession;
pub mod workers;
