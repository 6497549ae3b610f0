//! The programs of the whole system: `desk` and `page` on edge machines, `archive` (the controller) on core machines. They
//! only carry: the deciders are crates of their own (lending, gazette, control_store, controller, stacks, catalogue).

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

/// Runs a program on one thread until it ends; records from the level `least` up are written at once.
pub fn on_one_thread<F: Future<Output = Result<(), String>>>(
    least: spdlog::Level,
    program: impl FnOnce(Settings) -> F,
) -> Result<(), String> {
    let settings = Settings::from_environment().map_err(|fault| fault.to_string())?;
    ring::install(&settings.node_name, least);
    #[cfg(feature = "planted")]
    plant();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|why| format!("no runtime: {why}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, program(settings))
}

/// A defect that the environment names, for soaks.
#[cfg(feature = "planted")]
fn plant() {
    use tindock_lifecycle::planted::{Defect, PLANTED};
    let named = std::env::var("TINDOCK_PLANTED_DEFECT").unwrap_or_default();
    PLANTED.set(Defect::named(&named));
}
