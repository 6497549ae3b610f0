//! The list of workers from discovery, files and health checks; the decisions are in `crates/worker-list`.

pub mod connector;
pub mod discovery;
pub mod inventory_files;
pub mod inventory_watch;
pub mod probing;
pub mod worker_list;
