//! The list of kinds: which faults exist, their variants, and the ranges of their parameters.

use crate::error::Error;
use serde::Deserialize;

/// The list built into the tool.
pub const DEFAULT_LIST: &str = include_str!("../kinds.toml");

/// The section of a scenario file that holds entries of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    Plan,
    Faults,
}

/// A kind of fault or planned work.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub part: Part,
    /// Variants, written as `how` in scenario files; the empty string is the unnamed one.
    pub hows: Vec<String>,
    /// Variants for core machines, those whose loss is counted.
    #[serde(default)]
    pub core_hows: Vec<String>,
    pub count: Option<[u32; 2]>,
    pub share: Option<[f64; 2]>,
    pub x: Option<[f64; 2]>,
    pub for_s: Option<[f64; 2]>,
    pub gap_s: Option<[f64; 2]>,
    /// Affects one class of requests, which has to be named.
    #[serde(default)]
    pub needs_class: bool,
    /// Used only for deployments whose `troubles` list names it.
    #[serde(default)]
    pub listed_only: bool,
}

/// A fault at the end of a scenario.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClosingKind {
    pub name: String,
    pub hows: Vec<String>,
}

/// One kind in one of its variants.
#[derive(Debug, Clone, PartialEq)]
pub struct Variant {
    pub kind: Kind,
    pub how: String,
    /// On core machines, those whose loss is counted.
    pub on_core: bool,
}

/// All kinds that scenarios are generated from.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindList {
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    #[serde(rename = "closing")]
    pub closings: Vec<ClosingKind>,
}

impl KindList {
    /// Parses a list; errors name `source`.
    pub fn parse(text: &str, source: &str) -> Result<KindList, Error> {
        let list: KindList = toml::from_str(text).map_err(|cause| Error::content(source, cause))?;
        list.check().map_err(|cause| Error::content(source, cause))?;
        Ok(list)
    }

    fn check(&self) -> Result<(), String> {
        if self.kinds.is_empty() || self.closings.is_empty() {
            return Err("needs at least one kind and one closing".into());
        }
        for kind in &self.kinds {
            kind.check()?;
        }
        for closing in &self.closings {
            check_names(&closing.name, &closing.hows)?;
        }
        Ok(())
    }

    /// The kind of this name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// All variants of the kinds for which `allowed` holds.
    pub fn variants(&self, allowed: impl Fn(&Kind) -> bool) -> Vec<Variant> {
        self.kinds.iter().filter(|kind| allowed(kind)).flat_map(Kind::variants).collect()
    }
}

impl Kind {
    /// This kind in each of its variants.
    pub fn variants(&self) -> Vec<Variant> {
        let edge = self.hows.iter().map(|how| (how, false));
        let core = self.core_hows.iter().map(|how| (how, true));
        let variant =
            |(how, on_core): (&String, bool)| Variant { kind: self.clone(), how: how.clone(), on_core };
        edge.chain(core).map(variant).collect()
    }

    fn check(&self) -> Result<(), String> {
        check_names(&self.name, &self.hows)?;
        check_names(&self.name, &self.core_hows)?;
        if self.hows.is_empty() && self.core_hows.is_empty() {
            return Err(format!("{}: no variant", self.name));
        }
        for range in [self.share, self.x, self.for_s, self.gap_s].into_iter().flatten() {
            let valid =
                range[0].is_finite() && range[1].is_finite() && 0.0 <= range[0] && range[0] <= range[1];
            if !valid {
                return Err(format!("{}: {range:?} is not a range", self.name));
            }
        }
        match self.count {
            Some([min, max]) if min > max => Err(format!("{}: count is not a range", self.name)),
            _ => Ok(()),
        }
    }
}

/// Names are written into scenario files between quotes and into file names, which limits their characters.
fn check_names(name: &str, hows: &[String]) -> Result<(), String> {
    let valid = |text: &str| text.chars().all(|c| c.is_ascii_lowercase() || c == '_' || c == ' ');
    if name.is_empty() || name.contains(' ') || !valid(name) {
        return Err(format!("{name:?} is not a name"));
    }
    match hows.iter().find(|how| !valid(how)) {
        Some(how) => Err(format!("{name}: {how:?} is not a variant")),
        None => Ok(()),
    }
}
