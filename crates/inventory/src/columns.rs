//! Maps columns or variables to fields, with defaults for fields that a file leaves out.

use crate::entry::{Address, Entry, Place, Problem, State};
use std::collections::BTreeMap;

/// The fields of a worker. `host` and `port` replace an `address` that the tool keeps in two parts; a worker
/// with neither `address` nor `host` is reached by its name.
pub const FIELDS: [&str; 9] = ["name", "address", "host", "port", "zone", "kind", "slots", "group", "state"];

/// Maximum length of a name, zone or kind.
const MAX_BYTES: usize = 253;
const MAX_SLOTS: f64 = 1024.0;

/// The tool's names for the fields, and defaults for fields that a file leaves out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Columns {
    /// From a field to the tool's name for it; fields that are missing here keep their name.
    pub names: BTreeMap<String, String>,
    pub defaults: BTreeMap<String, String>,
}

/// A value in a file, with its place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Value {
    pub text: String,
    pub place: Place,
}

impl Columns {
    /// The tool's name for a field.
    pub fn column<'a>(&'a self, field: &'a str) -> &'a str {
        self.names.get(field).map_or(field, String::as_str)
    }

    /// The field that a column of the tool contains, if any.
    pub fn field(&self, column: &str) -> Option<&'static str> {
        FIELDS.into_iter().find(|field| self.column(field) == column)
    }

    /// Makes an entry from a worker's values in a file; `at` is the place of its name.
    pub(crate) fn entry(
        &self,
        values: &BTreeMap<&'static str, Value>,
        at: &Place,
        problems: &mut Vec<Problem>,
    ) -> Option<Entry> {
        let before = problems.len();
        let get = |field: &'static str| -> Option<(String, Place)> {
            let value = values.get(field).map(|v| (v.text.trim().to_string(), v.place.clone()));
            let value = value.filter(|(text, _)| !text.is_empty());
            value.or_else(|| Some((self.defaults.get(field)?.clone(), at.clone())))
        };
        let mut required = |field: &'static str| {
            let found = get(field);
            if found.is_none() {
                let column = self.column(field);
                problems.push(at.problem(format!("no {column}, and no default for it")));
            }
            found
        };
        let (name, zone, kind, slots) =
            (required("name"), required("zone"), required("kind"), required("slots"));
        for (text, place) in [&name, &zone, &kind].into_iter().flatten() {
            if text.len() > MAX_BYTES || text.chars().any(|c| c.is_control() || c.is_whitespace()) {
                problems.push(place.problem(format!(
                    "{text:?} is not valid; up to {MAX_BYTES} bytes without spaces were expected"
                )));
            }
        }
        let slots = slots.and_then(|(text, place)| {
            let slots = text.parse().ok().filter(|n| (1.0..=MAX_SLOTS).contains(n));
            if slots.is_none() {
                problems.push(place.problem(format!("{text:?} slots; a number from 1 to 1024 was expected")));
            }
            slots
        });
        let group = match get("group") {
            None => Some(0),
            Some((text, place)) => {
                let group = text.parse().ok();
                if group.is_none() {
                    problems.push(place.problem(format!("group {text:?}; a whole number was expected")));
                }
                group
            }
        };
        let state = match get("state") {
            None => Some(State::Active),
            Some((text, place)) => match text.as_str() {
                "active" => Some(State::Active),
                "leaving" => Some(State::Leaving),
                _ => {
                    problems.push(place.problem(format!("state {text:?}; active or leaving was expected")));
                    None
                }
            },
        };
        let address = match (get("address"), get("host"), get("port")) {
            (Some((text, place)), host, port) => match (host, port) {
                (None, None) => Some((Address::parse(&text), place)),
                (Some((_, other)), _) | (_, Some((_, other))) => {
                    problems.push(other.problem("host or port beside a whole address"));
                    None
                }
            },
            (None, _, None) => {
                let (address, port) = (self.column("address"), self.column("port"));
                problems.push(at.problem(format!("neither {address} nor {port}")));
                None
            }
            (None, host, Some((port, place))) => host.or_else(|| name.clone()).map(|(host, _)| {
                (Address::of(&host, &port).map_err(|why| format!("{host}:{port}: {why}")), place)
            }),
        };
        let address = address
            .and_then(|(address, place)| address.map_err(|why| problems.push(place.problem(why))).ok());
        if problems.len() > before {
            return None;
        }
        Some(Entry {
            name: name?.0,
            address: address?,
            zone: zone?.0,
            kind: kind?.0,
            slots: slots?,
            group: group?,
            state: state?,
            place: at.clone(),
        })
    }
}
