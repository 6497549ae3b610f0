//! The registry of instances; each change of an entry has a version of its own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::{Entry, InstanceState};

/// Ended instances are kept for readers of [`Registry::changes_since`] up to this number and age.
const MAX_ENDED: usize = 8192;
const ENDED_TTL: Duration = Duration::from_secs(60);

/// What changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeSet {
    /// `entries` is the complete set: an instance that is not in it has ended.
    pub complete: bool,
    pub entries: Vec<Entry>,
    /// Instances that ended, with the version at which they did.
    pub ended: Vec<(String, u64)>,
    /// The version to pass to the next call.
    pub version: u64,
}

#[derive(Debug)]
pub(crate) struct InstanceRecord {
    pub(crate) entry: Entry,
    /// Local time at which it was started, inherited or first seen in the platform's list.
    pub(crate) known_since: Duration,
    /// Local time at which it was first known to be ready.
    pub(crate) ready_since: Option<Duration>,
    pub(crate) listed: bool,
    /// The last list showed it as draining: an ending instance is then not put back into service.
    pub(crate) listed_draining: bool,
    pub(crate) missed_lists: u8,
    /// Consecutive lists that show it as up although its entry says `Draining`.
    pub(crate) up_lists: u8,
    /// For `Ending`: when to stop it, and whether a stop was ever sent.
    pub(crate) stop_at: Option<Duration>,
    pub(crate) stop_sent: bool,
    pub(crate) stop_attempts: u32,
    /// Its host is draining or has left.
    pub(crate) host_leaving: bool,
}

impl InstanceRecord {
    /// Whether it counts as capacity in the near future.
    pub(crate) fn counts(&self) -> bool {
        matches!(self.entry.state, InstanceState::Starting | InstanceState::Ready) && !self.host_leaving
    }
}

#[derive(Debug)]
pub(crate) struct Registry {
    records: BTreeMap<String, InstanceRecord>,
    by_service: BTreeMap<String, BTreeSet<String>>,
    by_version: BTreeMap<u64, String>,
    ended: VecDeque<(u64, String, Duration)>,
    version: u64,
    /// Readers that ask from a version below this get the complete set.
    complete_from: u64,
    pub(crate) settled: bool,
}

impl Registry {
    pub(crate) fn new(version: u64) -> Registry {
        Registry {
            records: BTreeMap::new(),
            by_service: BTreeMap::new(),
            by_version: BTreeMap::new(),
            ended: VecDeque::new(),
            version,
            complete_from: version,
            settled: false,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// Raises the version, so that the next one exceeds a version seen elsewhere.
    pub(crate) fn advance_past(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Marks the entries as complete; earlier readers then get the complete set.
    pub(crate) fn settle(&mut self) {
        if !self.settled {
            self.settled = true;
            self.version += 1;
            self.complete_from = self.version;
        }
    }

    pub(crate) fn get(&self, instance: &str) -> Option<&InstanceRecord> {
        self.records.get(instance)
    }

    /// For changes of local fields, which get no version.
    pub(crate) fn record_mut(&mut self, instance: &str) -> Option<&mut InstanceRecord> {
        self.records.get_mut(instance)
    }

    /// Applies a change; the entry gets a new version if it differs.
    pub(crate) fn update(&mut self, instance: &str, f: impl FnOnce(&mut InstanceRecord)) {
        if let Some(h) = self.records.get_mut(instance) {
            let before = h.entry.clone();
            f(h);
            if h.entry != before {
                self.by_version.remove(&before.version);
                self.version += 1;
                h.entry.version = self.version;
                self.by_version.insert(self.version, instance.to_string());
            }
        }
    }

    pub(crate) fn insert(&mut self, mut record: InstanceRecord) {
        self.take_record(&record.entry.instance.clone());
        self.version += 1;
        record.entry.version = self.version;
        let id = record.entry.instance.clone();
        self.by_version.insert(self.version, id.clone());
        self.by_service.entry(record.entry.service.clone()).or_default().insert(id.clone());
        self.records.insert(id, record);
    }

    fn take_record(&mut self, instance: &str) -> Option<InstanceRecord> {
        let record = self.records.remove(instance)?;
        self.by_version.remove(&record.entry.version);
        if let Some(set) = self.by_service.get_mut(&record.entry.service) {
            set.remove(instance);
            if set.is_empty() {
                self.by_service.remove(&record.entry.service);
            }
        }
        Some(record)
    }

    pub(crate) fn remove(&mut self, instance: &str, now: Duration) -> Option<InstanceRecord> {
        let record = self.take_record(instance)?;
        self.version += 1;
        self.ended.push_back((self.version, instance.to_string(), now));
        Some(record)
    }

    pub(crate) fn prune(&mut self, now: Duration) {
        while self.ended.len() > MAX_ENDED || self.ended.front().is_some_and(|e| e.2 + ENDED_TTL < now) {
            if let Some((version, ..)) = self.ended.pop_front() {
                self.complete_from = self.complete_from.max(version);
            }
        }
    }

    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = &InstanceRecord> {
        self.by_service.get(service).into_iter().flatten().filter_map(|id| self.records.get(id))
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records.values()
    }

    pub(crate) fn changes_since(&self, version: u64) -> ChangeSet {
        let complete = self.settled && version < self.complete_from;
        let from = if complete { 0 } else { version.saturating_add(1) };
        let entries = self.by_version.range(from..).filter_map(|(_, id)| self.records.get(id));
        let ended = self.ended.iter().rev().take_while(|e| e.0 > version).map(|e| (e.1.clone(), e.0));
        ChangeSet {
            complete,
            entries: entries.map(|h| h.entry.clone()).collect(),
            ended: ended.collect(),
            version: self.version,
        }
    }
}
