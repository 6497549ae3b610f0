//! The clients' side: connections are accepted, bounded, read once, and answered once.

pub mod responses;
pub mod listener;
pub mod connection;
pub mod head_scanner;
pub mod requests;
