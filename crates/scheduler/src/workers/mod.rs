//! The workers' side: orders carried out over kept connections, every ending as one `Close`, and what workers tell.

pub mod endings;
pub mod write_progress;
pub mod load_reports;
pub mod updates;
pub mod pool;
pub mod sending;
