//! The clients' side: accepts and limits connections, parses requests and sends responses.

pub mod connection;
pub mod head_scanner;
pub mod listener;
pub mod requests;
pub mod responses;
