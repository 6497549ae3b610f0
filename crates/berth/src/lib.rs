//! What a scheduler is told at its start, from an installation's TOML (`installation`) or the platform's JSON
//! (`platform`), as one `Berth`; and the list of workers as a discovery agent tells it (`listing`).

mod berth;
pub mod installation;
mod layers;
pub mod listing;
pub mod platform;
pub mod units;
mod words;

pub use berth::{Berth, HealthTerms, Level, LogForm, Rooms, Stock};
pub use layers::{Layers, Shown, Source};
pub use tindock_inventory::{Place, Problem};
pub use words::Words;

use std::path::Path;

/// Reads a configuration file: TOML by its ending, else the platform's JSON. Problems are lines that name the file.
pub fn from_file(path: &Path, layers: &Layers) -> Result<Berth, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    if path.extension().is_some_and(|ending| ending == "toml") {
        let name = path.display().to_string();
        let folder = path.parent().unwrap_or(Path::new(""));
        let lines = |problems: Vec<Problem>| {
            let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
            lines.join("\n")
        };
        return installation::read(&name, folder, &text, layers).map(|(berth, _)| berth).map_err(lines);
    }
    platform::read(&text).map_err(|why| format!("{}: {why}", path.display()))
}
