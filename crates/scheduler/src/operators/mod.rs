//! The operators' side: their address, figures, bans, the configuration read again.

pub mod bans;
pub mod calls;
pub mod management;
pub mod reload;
pub mod telemetry;
pub mod version;
