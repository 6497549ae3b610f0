//! Reads the configuration of a scheduler from an installation's TOML (`installation`) or the platform's JSON
//! (`platform`) into a `SchedulerConfig`; decodes the worker list of a discovery agent (`listing`); reads the
//! configurations of rollouts and keepers (`plan`, `keeper`); and applies common settings to a configuration
//! (`merging`).

mod agreement;
mod config;
pub mod installation;
pub mod keeper;
mod layers;
pub mod listing;
pub mod merging;
mod names;
pub mod plan;
pub mod platform;
mod toml_file;
pub mod units;

pub use agreement::AgreementSettings;
pub use config::{
    digest, digest_of, HealthCheckSettings, InventorySettings, Level, LogSettings, PeerAddresses,
    ResourceLimits, SchedulerConfig,
};
pub use layers::{Layers, ShownValue, Source};
pub use names::Names;
pub use tindock_inventory::{Place, Problem};

use std::path::Path;

/// Reads a configuration file: TOML by its extension, otherwise the platform's JSON, which has no sources to
/// show. Problems are lines that name the file.
pub fn open(path: &Path, layers: &Layers) -> Result<(SchedulerConfig, Vec<ShownValue>), Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    parse(path, &text, layers)
}

/// Parses the text of a configuration file, which need not be written yet.
pub fn parse(
    path: &Path,
    text: &str,
    layers: &Layers,
) -> Result<(SchedulerConfig, Vec<ShownValue>), Vec<String>> {
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

/// The configuration without its sources; several problems are several lines.
pub fn from_file(path: &Path, layers: &Layers) -> Result<SchedulerConfig, String> {
    open(path, layers).map(|(config, _)| config).map_err(|lines| lines.join("\n"))
}
