//! The programs of the system: the proxy (command `desk`) and the agent (`page`) on edge machines, the
//! controller (`archive`) on core machines. This crate does the I/O; the decisions are made in crates without
//! I/O: slot allocation, peer sampling, control store, controller, autoscaler and configuration.

pub mod active_configuration;
pub mod agent;
pub mod budget;
pub mod cli;
pub mod client;
pub mod controller;
pub mod leaving;
pub mod messages;
pub mod open_calls;
pub mod operator;
pub mod platform;
pub mod proxy;
pub mod readiness;
pub mod rebinding;
pub mod ring;
pub mod settings;
pub mod slot_report;
pub mod status;
pub mod stream_header;
pub mod transport;
pub mod work;
pub mod workers;

use settings::Settings;
use std::future::Future;

/// Runs a program on one thread until it ends; log records from the level `min_level` up are written at once.
pub fn run_on_one_thread<F: Future<Output = Result<(), String>>>(
    min_level: spdlog::Level,
    program: impl FnOnce(Settings) -> F,
) -> Result<(), String> {
    let settings = Settings::from_environment().map_err(|fault| fault.to_string())?;
    ring::install(&settings.node_name, min_level);
    #[cfg(feature = "planted")]
    inject_defect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|why| format!("no runtime: {why}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, program(settings))
}

/// Enables the defect that the environment names, for soak tests.
#[cfg(feature = "planted")]
fn inject_defect() {
    use tindock_lifecycle::defects::{Defect, INJECTED};
    let named = std::env::var("TINDOCK_PLANTED_DEFECT").unwrap_or_default();
    INJECTED.set(Defect::from_name(&named));
}
