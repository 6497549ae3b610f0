//! Process replacement: the handover to a new process during an upgrade, and the graceful shutdown.

pub mod draining;
pub mod fd_passing;
pub mod handover;
pub mod handover_state;
pub mod link;
pub mod shutdown;
