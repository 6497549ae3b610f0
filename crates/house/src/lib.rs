//! The programs of the whole system: `desk` and `page` on edge machines, `archive` (the controller) on core machines. They
//! only carry: the deciders are crates of their own (lending, gazette, control_store, controller, stacks, catalogue).

pub mod budget;
pub mod cli;
pub mod client;
pub mod controller;
pub mod desk;
pub mod leaving;
pub mod loans;
pub mod notes;
pub mod open_calls;
pub mod opening;
pub mod operator;
pub mod page;
pub mod platform;
pub mod post;
pub mod readiness;
pub mod rebinding;
pub mod ring;
pub mod settings;
pub mod status;
pub mod work;
pub mod workers;

/// The controller's name in the modules that do not use the new one yet.
use controller as archive;
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
    use tindock_lifecycle::defects::{Defect, INJECTED};
    let named = std::env::var("TINDOCK_PLANTED_DEFECT").unwrap_or_default();
    INJECTED.set(Defect::from_name(&named));
}
