//! Merges several files into one inventory, and compares two inventories.

use crate::entry::{Address, Entry, Problem, State};
use crate::MAX_ENTRIES;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The workers of all files, by name; names and addresses are unique.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    pub entries: Vec<Entry>,
}

impl Inventory {
    /// A hash of the workers' settings, regardless of their places in files.
    pub fn digest(&self) -> u64 {
        // FNV-1a: stable across builds, unlike the hash of the standard library.
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let mut add = |text: &str| {
            for byte in text.bytes().chain([0]) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        for e in &self.entries {
            let texts = [&e.name, &e.address.to_string(), &e.zone, &e.kind, &e.slots.to_string()];
            texts.into_iter().for_each(|text| add(text));
            add(&e.group.to_string());
            add(e.state.as_str());
        }
        hash
    }
}

/// Merges the entries of several files. A duplicate name or address is a problem that names both places.
pub fn merge(files: Vec<Vec<Entry>>) -> Result<Inventory, Vec<Problem>> {
    let mut entries: Vec<Entry> = files.into_iter().flatten().collect();
    let mut problems = Vec::new();
    let mut names: HashMap<&str, &Entry> = HashMap::new();
    let mut addresses: HashMap<&Address, &Entry> = HashMap::new();
    for entry in &entries {
        if let Some(first) = names.get(entry.name.as_str()) {
            let how = if first.address == entry.address {
                "defined again"
            } else {
                "defined again at another address"
            };
            let what = format!("worker {:?} is {how}; first defined at {}", entry.name, first.place);
            problems.push(entry.place.problem(what));
        } else if let Some(first) = addresses.get(&entry.address) {
            let (name, at, other) = (&entry.name, &entry.address, &first.name);
            let what = format!("worker {name:?} is at {at}, and so is {other:?} at {}", first.place);
            problems.push(entry.place.problem(what));
        } else {
            names.insert(&entry.name, entry);
            addresses.insert(&entry.address, entry);
        }
    }
    if entries.len() > MAX_ENTRIES {
        problems.push(entries[MAX_ENTRIES].place.problem(format!("more than {MAX_ENTRIES} workers in all")));
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Inventory { entries })
}

/// Workers with the same address after their hosts were resolved: `found` has the address of each entry, in
/// order.
pub fn duplicate_addresses(entries: &[Entry], found: &[SocketAddr]) -> Vec<Problem> {
    let mut first: HashMap<SocketAddr, &Entry> = HashMap::new();
    let mut problems = Vec::new();
    for (entry, at) in entries.iter().zip(found) {
        if let Some(other) = first.get(at) {
            let (name, same, place) = (&entry.name, &other.name, &other.place);
            problems.push(
                entry.place.problem(format!("worker {name:?} is at {at}, and so is {same:?} at {place}")),
            );
        } else {
            first.insert(*at, entry);
        }
    }
    problems
}

/// The change of one worker between two inventories.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Added(Entry),
    Removed(Entry),
    /// Only its state has changed.
    State {
        name: String,
        to: State,
    },
    /// Its address, zone, kind, slots or group has changed.
    Changed {
        from: Entry,
        to: Entry,
    },
}

/// The changes between two inventories: added and changed workers by name, then removed ones.
pub fn diff(old: &Inventory, new: &Inventory) -> Vec<Change> {
    let by_name =
        |of: &Inventory| of.entries.iter().map(|e| (e.name.clone(), e.clone())).collect::<BTreeMap<_, _>>();
    let (mut before, after) = (by_name(old), by_name(new));
    let mut changes = Vec::new();
    for (name, to) in after {
        match before.remove(&name) {
            None => changes.push(Change::Added(to)),
            Some(from) if from.same_settings(&to) => {}
            Some(from) if (Entry { state: to.state, ..from.clone() }).same_settings(&to) => {
                changes.push(Change::State { name, to: to.state });
            }
            Some(from) => changes.push(Change::Changed { from, to }),
        }
    }
    changes.extend(before.into_values().map(Change::Removed));
    changes
}
