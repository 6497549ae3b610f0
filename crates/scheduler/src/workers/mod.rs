//! The workers' side: carries out commands over pooled connections, maps every ending to a `Close`, and
//! decodes the updates that workers send.

pub mod endings;
pub mod load_reports;
pub mod pool;
pub mod sending;
pub mod updates;
pub mod write_progress;
