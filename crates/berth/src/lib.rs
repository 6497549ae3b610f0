//! What a scheduler is told at its start, from an installation's TOML (`installation`) or the platform's JSON
//! (`platform`), as one `Berth`; the list of workers as a discovery agent tells it (`listing`); and what a change in
//! stages and a keeper are told (`plan`, `keeper`), and how a configuration takes other settings and stays its own (`grafting`).

mod accord;
mod berth;
pub mod grafting;
pub mod installation;
pub mod keeper;
mod layers;
pub mod listing;
pub mod plan;
pub mod platform;
pub mod units;
mod whole;
mod words;

pub use accord::Accord;
pub use berth::{digest, digest_of, Berth, HealthTerms, Level, LogForm, Others, Rooms, Stock};
pub use layers::{Layers, Shown, Source};
pub use tindock_inventory::{Place, Problem};
pub use words::Words;

use std::path::Path;

/// Reads a configuration file: TOML by its ending, else the platform's JSON, which tells nothing of its sources.
/// Problems are lines that name the file.
pub fn open(path: &Path, layers: &Layers) -> Result<(Berth, Vec<Shown>), Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    parse(path, &text, layers)
}

/// The same of a text that stands in that file, or is to.
pub fn parse(path: &Path, text: &str, layers: &Layers) -> Result<(Berth, Vec<Shown>), Vec<String>> {
    let name = path.display().to_string();
    if is_toml(path) {
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = installation::read(&name, folder, text, layers);
        return read.map_err(|problems| problems.iter().map(Problem::to_string).collect());
    }
    let read = platform::read(text, &platform::Process::from_variables())
        .map_err(|why| vec![format!("{name}: {why}")]);
    read.map(|berth| (berth, Vec::new()))
}

fn is_toml(path: &Path) -> bool {
    path.extension().is_some_and(|ending| ending == "toml")
}

/// The configuration alone; several problems are several lines.
pub fn from_file(path: &Path, layers: &Layers) -> Result<Berth, String> {
    open(path, layers).map(|(berth, _)| berth).map_err(|lines| lines.join("\n"))
}
