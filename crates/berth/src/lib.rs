//! What a scheduler is told at its start, from an installation's TOML (`installation`) or the platform's JSON
//! (`platform`), as one `Berth`; and the list of workers as a discovery agent tells it (`listing`).

mod berth;
pub mod installation;
mod layers;
pub mod listing;
pub mod platform;
pub mod units;
mod words;

pub use berth::{Berth, HealthTerms, Level, LogForm, Others, Rooms, Stock};
pub use layers::{Layers, Shown, Source};
pub use tindock_inventory::{Place, Problem};
pub use words::Words;

use std::path::Path;

/// Reads a configuration file: TOML by its ending, else the platform's JSON, which tells nothing of its sources.
/// Problems are lines that name the file.
pub fn open(path: &Path, layers: &Layers) -> Result<(Berth, Vec<Shown>), Vec<String>> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{name}: {e}")])?;
    if path.extension().is_some_and(|ending| ending == "toml") {
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = installation::read(&name, folder, &text, layers);
        return read.map_err(|problems| problems.iter().map(Problem::to_string).collect());
    }
    let read = platform::read(&text, &platform::Process::from_variables())
        .map_err(|why| vec![format!("{name}: {why}")]);
    read.map(|berth| (berth, Vec::new()))
}

/// The configuration alone; several problems are several lines.
pub fn from_file(path: &Path, layers: &Layers) -> Result<Berth, String> {
    open(path, layers).map(|(berth, _)| berth).map_err(|lines| lines.join("\n"))
}
