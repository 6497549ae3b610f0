//! Layers of a configuration: the file, `TINDOCK_...` variables that override it, and flags that override
//! both. Reads values, records where each came from, and collects all problems instead of stopping at the
//! first.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use tindock_inventory::{Place, Problem};
use toml::de::{DeArray, DeTable, DeValue};
use toml::Spanned;

/// Overrides of the file: from a key's path, such as `limits.sockets`, to its value.
#[derive(Clone, Debug, Default)]
pub struct Layers {
    pub variables: BTreeMap<String, String>,
    pub flags: BTreeMap<String, String>,
}

impl Layers {
    /// Reads environment variables: `TINDOCK_LIMITS__SOCKETS` is `limits.sockets`, `TINDOCK_HARD_LIMIT`
    /// `hard-limit`.
    pub fn from_variables(variables: impl Iterator<Item = (String, String)>) -> Self {
        let key = |name: &str| {
            Some(name.strip_prefix("TINDOCK_")?.to_lowercase().replace("__", ".").replace('_', "-"))
        };
        let variables = variables.filter_map(|(name, value)| Some((key(&name)?, value))).collect();
        Layers { variables, flags: BTreeMap::new() }
    }
}

/// Where a value came from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    File(Place),
    Variable(String),
    Flag,
    Default,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Source::File(place) => write!(f, "{place}"),
            Source::Variable(name) => write!(f, "variable {name}"),
            Source::Flag => write!(f, "flag --set"),
            Source::Default => write!(f, "default"),
        }
    }
}

/// A value in force, for `tindock show`.
#[derive(Clone, Debug, PartialEq)]
pub struct ShownValue {
    pub path: String,
    pub value: String,
    pub source: Source,
}

/// A value as written, before it is parsed.
#[derive(Clone, Debug)]
pub(crate) struct RawValue {
    pub text: String,
    pub place: Place,
}

/// A table of the file, which may be missing, and the keys that were looked up in it.
pub(crate) struct Section<'t> {
    pub path: String,
    pub table: Option<&'t DeTable<'t>>,
    pub place: Place,
    known: Vec<&'static str>,
    /// One table of a list: variables and flags cannot name it.
    in_list: bool,
}

impl Section<'_> {
    /// The full path of a key in it.
    fn at(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.into();
        }
        format!("{}.{key}", self.path)
    }
}

pub(crate) struct Reader<'t> {
    file: Arc<str>,
    text: &'t str,
    layers: &'t Layers,
    used: Vec<String>,
    pub problems: Vec<Problem>,
    pub shown: Vec<ShownValue>,
}

impl<'t> Reader<'t> {
    pub fn new(file: &str, text: &'t str, layers: &'t Layers) -> Self {
        Reader { file: file.into(), text, layers, used: Vec::new(), problems: Vec::new(), shown: Vec::new() }
    }

    pub fn place(&self, at: usize) -> Place {
        let start = Place { file: self.file.clone(), line: 1, column: 1 };
        start.after(&self.text.as_bytes()[..at.min(self.text.len())])
    }

    pub fn problem(&mut self, place: &Place, what: impl Into<String>) {
        self.problems.push(place.problem(what));
    }

    pub fn root(&self, table: &'t DeTable<'t>) -> Section<'t> {
        let (path, place) = (String::new(), self.place(0));
        Section { path, table: Some(table), place, known: Vec::new(), in_list: false }
    }

    /// A table in a table; a missing one reads as empty.
    pub fn section(&mut self, of: &mut Section<'t>, key: &'static str) -> Section<'t> {
        of.known.push(key);
        let found = of.table.and_then(|t| t.get_key_value(key));
        let place = found.map_or(of.place.clone(), |(key, _)| self.place(key.span().start));
        let table = found.and_then(|(_, value)| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            other => {
                let what = format!("{} for {key}; a table was expected", other.type_str());
                self.problems.push(place.problem(what));
                None
            }
        });
        let path = of.at(key);
        Section { path, table, place, known: Vec::new(), in_list: of.in_list }
    }

    fn array(&mut self, of: &mut Section<'t>, key: &'static str) -> Option<(&'t DeArray<'t>, Place)> {
        of.known.push(key);
        let (name, value) = of.table?.get_key_value(key)?;
        let place = self.place(name.span().start);
        match value.get_ref() {
            DeValue::Array(array) => Some((array, place)),
            other => {
                let what = format!("{} for {key}; a list was expected", other.type_str());
                self.problem(&place, what);
                None
            }
        }
    }

    /// The tables of a list, such as `[[workload]]`.
    pub fn sections(&mut self, of: &mut Section<'t>, key: &'static str) -> Vec<Section<'t>> {
        let Some((array, _)) = self.array(of, key) else { return Vec::new() };
        let mut sections = Vec::new();
        for (number, value) in array.iter().enumerate() {
            let place = self.place(value.span().start);
            match value.get_ref() {
                DeValue::Table(table) => {
                    let path = format!("{key}[{number}]");
                    sections.push(Section {
                        path,
                        table: Some(table),
                        place,
                        known: Vec::new(),
                        in_list: true,
                    });
                }
                other => self.problem(&place, format!("{} in {key}; a table was expected", other.type_str())),
            }
        }
        sections
    }

    /// The strings of a list.
    pub fn strings(&mut self, of: &mut Section<'t>, key: &'static str) -> Vec<(String, Place)> {
        let Some((array, _)) = self.array(of, key) else { return Vec::new() };
        let mut strings = Vec::new();
        for value in array.iter() {
            let place = self.place(value.span().start);
            match value.get_ref() {
                DeValue::String(string) => strings.push((string.to_string(), place)),
                other => self.problem(&place, format!("{} in {key}; a word was expected", other.type_str())),
            }
        }
        let path = of.at(key);
        let source = strings.first().map_or(Source::Default, |(_, place)| Source::File(place.clone()));
        let value = format!("{:?}", strings.iter().map(|(w, _)| w.as_str()).collect::<Vec<_>>());
        self.shown.push(ShownValue { path, value, source });
        strings
    }

    /// The values of a list, each parsed by `read`.
    pub fn values<T>(
        &mut self,
        of: &mut Section<'t>,
        key: &'static str,
        read: impl Fn(&RawValue) -> Result<T, String>,
    ) -> Vec<T> {
        let Some((array, _)) = self.array(of, key) else { return Vec::new() };
        let mut values = Vec::new();
        for value in array.iter() {
            let place = self.place(value.span().start);
            let found = match raw_value(value, place.clone()) {
                Some(raw) => read(&raw),
                None => Err(format!("{}; one value was expected", value.get_ref().type_str())),
            };
            match found {
                Ok(value) => values.push(value),
                Err(why) => self.problem(&place, format!("{key}: {why}")),
            }
        }
        values
    }

    /// All keys of a table with their values, for tables whose keys the user chooses.
    pub fn pairs(&mut self, of: &mut Section<'t>) -> Vec<(String, String, Place)> {
        let mut pairs = Vec::new();
        for (key, value) in of.table.into_iter().flatten() {
            let place = self.place(key.span().start);
            let name = key.get_ref().to_string();
            match raw_value(value, place.clone()) {
                Some(string) => {
                    let (path, source) = (format!("{}.{name}", of.path), Source::File(place.clone()));
                    self.shown.push(ShownValue { path, value: string.text.clone(), source });
                    pairs.push((name, string.text, place));
                }
                None => self.problem(
                    &place,
                    format!("{} for {name}; a word was expected", value.get_ref().type_str()),
                ),
            }
        }
        pairs
    }

    /// Looks up a key: a flag overrides a variable, which overrides the file.
    fn lookup(&mut self, of: &mut Section<'t>, key: &'static str) -> Option<(RawValue, Source)> {
        of.known.push(key);
        let path = of.at(key);
        let override_value = |text: &String, name: &str| {
            let place = Place::start(name);
            RawValue { text: text.clone(), place }
        };
        if !of.in_list {
            self.used.push(path.clone());
            if let Some(text) = self.layers.flags.get(&path) {
                return Some((override_value(text, &format!("--set {path}")), Source::Flag));
            }
            if let Some(text) = self.layers.variables.get(&path) {
                let name = format!("TINDOCK_{}", path.replace('.', "__").replace('-', "_").to_uppercase());
                return Some((override_value(text, &name), Source::Variable(name)));
            }
        }
        let (name, value) = of.table?.get_key_value(key)?;
        let (at, place) = (self.place(name.span().start), self.place(value.span().start));
        match raw_value(value, place.clone()) {
            Some(raw) => Some((raw, Source::File(at))),
            None => {
                let what = format!("{} for {key}; one value was expected", value.get_ref().type_str());
                self.problem(&place, what);
                None
            }
        }
    }

    /// A parsed value; the default if the key is missing or its value is invalid.
    pub fn value<T>(
        &mut self,
        of: &mut Section<'t>,
        key: &'static str,
        read: impl Fn(&RawValue) -> Result<T, String>,
        default: &str,
    ) -> T {
        let path = of.at(key);
        if let Some((raw, source)) = self.lookup(of, key) {
            match read(&raw) {
                Ok(value) => {
                    self.shown.push(ShownValue { path, value: raw.text, source });
                    return value;
                }
                Err(why) => self.problem(&raw.place, format!("{key}: {why}")),
            }
        } else {
            self.shown.push(ShownValue { path, value: default.into(), source: Source::Default });
        }
        let place = Place::start("default");
        let raw_default = RawValue { text: default.into(), place };
        read(&raw_default).unwrap_or_else(|why| unreachable!("the default of {key} is read: {why}"))
    }

    /// An optional value.
    pub fn optional<T>(
        &mut self,
        of: &mut Section<'t>,
        key: &'static str,
        read: impl Fn(&RawValue) -> Result<T, String>,
    ) -> Option<T> {
        let path = of.at(key);
        let (raw, source) = self.lookup(of, key)?;
        match read(&raw) {
            Ok(value) => {
                self.shown.push(ShownValue { path, value: raw.text, source });
                Some(value)
            }
            Err(why) => {
                self.problem(&raw.place, format!("{key}: {why}"));
                None
            }
        }
    }

    /// A required value.
    pub fn required<T>(
        &mut self,
        of: &mut Section<'t>,
        key: &'static str,
        read: impl Fn(&RawValue) -> Result<T, String>,
    ) -> Option<T> {
        let before = self.problems.len();
        let found = self.optional(of, key, read);
        if found.is_none() && self.problems.len() == before {
            let parent = if of.path.is_empty() { "the file".to_string() } else { of.path.clone() };
            self.problem(&of.place.clone(), format!("no {key} in {parent}"));
        }
        found
    }

    /// Reports keys that were never looked up.
    pub fn reject_unknown_keys(&mut self, section: &Section<'t>) {
        for (key, _) in section.table.into_iter().flatten() {
            let name: &str = key.get_ref();
            if !section.known.contains(&name) {
                let place = self.place(key.span().start);
                let nearest = nearest(name, section.known.iter().copied());
                let hint = nearest.map_or(String::new(), |near| format!("; {near} was meant?"));
                self.problem(&place, format!("unknown key {name:?}{hint}"));
            }
        }
    }

    /// Reports flags and variables that were never looked up.
    pub fn reject_unknown_overrides(&mut self) {
        let used: Vec<&str> = self.used.iter().map(String::as_str).collect();
        let mut problems = Vec::new();
        for (what, layer) in [("--set", &self.layers.flags), ("variable", &self.layers.variables)] {
            for path in layer.keys().filter(|path| !used.contains(&path.as_str())) {
                let near = nearest(path, used.iter().copied());
                let hint = near.map_or(String::new(), |near| format!("; {near} was meant?"));
                problems.push(Place::start(what).problem(format!("unknown key {path:?}{hint}")));
            }
        }
        self.problems.extend(problems);
    }
}

fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = known.map(|k| (strsim::damerau_levenshtein(name, k), k)).min()?;
    (near.0 <= 1 + name.len() / 3).then_some(near.1)
}

fn raw_value(value: &Spanned<DeValue>, place: Place) -> Option<RawValue> {
    let text = match value.get_ref() {
        DeValue::String(text) => text.to_string(),
        DeValue::Integer(n) => n.as_str().to_string(),
        DeValue::Float(n) => n.as_str().to_string(),
        DeValue::Boolean(yes) => yes.to_string(),
        _ => return None,
    };
    Some(RawValue { text, place })
}
