//! What a scheduler is told at its start, from an installation's TOML (`installation`) or the platform's JSON
//! (`platform`), as one `Berth`; the list of workers as a discovery agent tells it (`listing`); and what a change in
//! stages and a keeper are told (`plan`, `keeper`), and how a configuration takes other settings and stays its own (`grafting`).

mod agreement;
mod config;
pub mod merging;
pub mod installation;
pub mod keeper;
mod layers;
pub mod listing;
pub mod plan;
pub mod platform;
pub mod units;
mod toml_file;
mod names;

pub use agreement::AgreementSettings;
pub use config::{digest, digest_of, SchedulerConfig, HealthCheckSettings, Level, LogSettings, PeerAddresses, ResourceLimits, InventorySettings};
pub use layers::{Layers, ShownValue, Source};
pub use tindock_inventory::{Place, Problem};
pub use names::Names;

use std::path::Path;

/// Reads a configuration file: TOML by its ending, else the platform's JSON, which tells nothing of its sources.
/// Problems are lines that name the file.
pub fn open(path: &Path, layers: &Layers) -> Result<(SchedulerConfig, Vec<ShownValue>), Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    parse(path, &text, layers)
}

/// The same of a text that stands in that file, or is to.
pub fn parse(path: &Path, text: &str, layers: &Layers) -> Result<(SchedulerConfig, Vec<ShownValue>), Vec<String>> {
    let name = path.display().to_string();
    if is_toml(path) {
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = installation::read(&name, folder, text, layers);
        return read.map_err(|problems| problems.iter().map(Problem::to_string).collect());
    }
    let read = platform::read(text, &platform::Process::from_variables())
        .map_err(|why| vec![format!("{name}: {why}")]);
    read.map(|config| (config, Vec::new()))
}

fn is_toml(path: &Path) -> bool {
    path.extension().is_some_and(|ending| ending == "toml")
}

/// The configuration alone; several problems are several lines.
pub fn from_file(path: &Path, layers: &Layers) -> Result<SchedulerConfig, String> {
    open(path, layers).map(|(config, _)| config).map_err(|lines| lines.join("\n"))
}
