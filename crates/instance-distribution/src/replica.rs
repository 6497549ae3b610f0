//! The instance list as one agent or controller knows it.

use crate::{InstanceUpdate, Listed, Mark, Owners};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// The result of an update.
#[derive(Debug, PartialEq, Eq)]
pub enum Applied {
    /// Nothing new in it, or of an earlier lease.
    Old,
    /// Updates before it are missing: request the changes after the replica's own mark.
    Gap,
    /// Applied. The instances that ended with it, those of `InstanceUpdate::ended` among them.
    New { ended: Vec<String> },
}

#[derive(Debug, Default)]
pub struct Replica {
    mark: Mark,
    known: bool,
    tag: u64,
    numbers: BTreeMap<String, u32>,
    entries: BTreeMap<String, (Listed, Duration)>,
    owners: Option<Owners>,
}

impl Replica {
    pub fn mark(&self) -> Mark {
        self.mark
    }

    /// Whether any update was applied.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// The tag of the numbering of starts; 0 where none is known.
    pub fn tag(&self) -> u64 {
        self.tag
    }

    /// The proxies that may own instances, once they are known.
    pub fn owners(&self) -> Option<&Owners> {
        self.owners.as_ref()
    }

    /// Applies owners that the holder published, whoever forwards them. Returns true if they are newer than
    /// those known.
    pub fn apply_owners(&mut self, owners: &Owners) -> bool {
        let newer = self.owners.as_ref().is_none_or(|known| known.mark < owners.mark);
        if newer {
            self.owners = Some(owners.clone());
        }
        newer
    }

    /// The highest number of a start of each service.
    pub fn numbers(&self) -> Vec<(String, u32)> {
        self.numbers.iter().map(|(service, n)| (service.clone(), *n)).collect()
    }

    /// Updates arrive on two paths, so they may be duplicated, late and out of order: the mark never
    /// decreases.
    pub fn apply(&mut self, now: Duration, update: &InstanceUpdate) -> Applied {
        if update.number < self.mark.number || (update.number != 0 && update.mark() <= self.mark) {
            return Applied::Old;
        }
        if !update.whole && update.from > self.mark.version {
            return Applied::Gap;
        }
        let mut ended = update.ended.clone();
        if update.whole {
            let named: HashSet<&str> = update.entries.iter().map(|e| e.instance.as_str()).collect();
            ended.extend(self.entries.keys().filter(|id| !named.contains(id.as_str())).cloned());
        }
        (self.mark, self.tag, self.known) = (update.mark(), update.tag, true);
        for id in &ended {
            self.entries.remove(id);
        }
        for entry in &update.entries {
            self.entries.insert(entry.instance.clone(), (entry.clone(), now));
        }
        self.numbers.extend(update.numbers.iter().cloned());
        if let Some(owners) = &update.owners {
            self.apply_owners(owners);
        }
        Applied::New { ended }
    }

    /// The instance accepted a connection before an update lists it as ready.
    pub fn mark_ready(&mut self, instance: &str) {
        if let Some((listed, _)) = self.entries.get_mut(instance) {
            listed.ready = true;
        }
    }

    /// The instance refuses connections before an update lists it as ended.
    pub fn remove(&mut self, instance: &str) {
        self.entries.remove(instance);
    }

    /// All known instances, with their present ages.
    pub fn entries(&self, now: Duration) -> Vec<Listed> {
        let aged = |(listed, at): &(Listed, Duration)| {
            let since = u32::try_from(now.saturating_sub(*at).as_millis()).unwrap_or(u32::MAX);
            Listed { age: listed.age.saturating_add(since), ..listed.clone() }
        };
        self.entries.values().map(aged).collect()
    }

    /// The complete state, for a replica that has none or lacks too much.
    pub fn snapshot(&self, now: Duration) -> InstanceUpdate {
        InstanceUpdate {
            number: self.mark.number,
            from: 0,
            whole: true,
            version: self.mark.version,
            entries: self.entries(now),
            ended: Vec::new(),
            tag: self.tag,
            numbers: self.numbers(),
            owners: self.owners.clone(),
        }
    }
}
