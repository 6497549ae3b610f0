//! The operators' side: their address, telemetry, exclusion of workers, and rereading the configuration.

pub mod bans;
pub mod calls;
pub mod management;
pub mod reload;
pub mod telemetry;
pub mod version;
