//! Writes scenarios as files.

use crate::error::Error;
use crate::scenario::Scenario;
use std::path::{Path, PathBuf};

/// Writes each scenario into a file of its name in `folder`, which is created if missing.
pub fn write_scenarios(scenarios: &[Scenario], folder: &Path) -> Result<Vec<PathBuf>, Error> {
    std::fs::create_dir_all(folder).map_err(|cause| Error::file(folder, cause))?;
    scenarios.iter().map(|scenario| write_scenario(scenario, folder)).collect()
}

fn write_scenario(scenario: &Scenario, folder: &Path) -> Result<PathBuf, Error> {
    let path = folder.join(format!("{}.toml", scenario.name));
    std::fs::write(&path, scenario.text()).map_err(|cause| Error::file(&path, cause))?;
    Ok(path)
}
