//! Who the workers are: discovery, files and health, carried out as `crates/roster` decides.

pub mod discovery;
pub mod worker_list;
pub mod probing;
pub mod inventory_files;
pub mod inventory_watch;
pub mod connector;
