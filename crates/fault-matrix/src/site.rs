//! The parts of a site file (the description of a deployment) that scenarios are generated from.

use crate::error::Error;
use crate::kinds::Kind;
use serde::Deserialize;
use std::path::Path;

/// A deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Site {
    pub name: String,
    /// Seconds of traffic in a scenario.
    pub length_s: f64,
    pub tolerate: Tolerate,
    #[serde(default)]
    pub classes: Vec<Class>,
    #[serde(default)]
    pub troubles: Vec<KnownFault>,
    #[serde(default, rename = "day")]
    pub scenarios: Vec<StandardScenario>,
}

/// How many core machines (those whose loss is counted) may be lost at once.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Tolerate {
    #[serde(default)]
    pub machines: u32,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Class {
    pub name: String,
}

/// A fault that the deployment is known to meet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct KnownFault {
    pub kind: String,
}

/// A standard scenario of the site file; only its goal is read.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StandardScenario {
    pub goal: Option<Goal>,
}

/// The least share of the achievable worth (the bench's score) that has to be reached.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub struct Goal {
    pub floor: f64,
}

impl Site {
    /// Reads a site file.
    pub fn read(path: &Path) -> Result<Site, Error> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
        Site::parse(&text, &path.display().to_string())
    }

    /// Parses a site file; errors name `source`.
    pub fn parse(text: &str, source: &str) -> Result<Site, Error> {
        let site: Site = toml::from_str(text).map_err(|cause| Error::content(source, cause))?;
        let allowed_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if site.name.is_empty() || !site.name.chars().all(allowed_char) {
            return Err(Error::content(source, format!("{:?} is not a name", site.name)));
        }
        if !(site.length_s.is_finite() && site.length_s > 0.0) {
            return Err(Error::content(source, "length_s is not a time"));
        }
        Ok(site)
    }

    /// Whether a kind applies to this deployment.
    pub fn allows(&self, kind: &Kind) -> bool {
        !kind.listed_only || self.troubles.iter().any(|fault| fault.kind == kind.name)
    }

    /// The lowest goal of the standard scenarios; it applies to generated scenarios as well.
    pub fn floor(&self) -> Option<f64> {
        self.scenarios.iter().filter_map(|scenario| scenario.goal).map(|goal| goal.floor).reduce(f64::min)
    }
}
