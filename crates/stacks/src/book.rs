//! The entries, each change with a version of its own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::words::{Entry, InstanceState};

/// Ended instances remembered for those who pull.
const ENDED_MOST: usize = 8192;
const ENDED_LASTS: Duration = Duration::from_secs(60);

/// What changed after a version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeSet {
    /// The entries are all there are: what is not among them has ended.
    pub complete: bool,
    pub entries: Vec<Entry>,
    /// Instances that ended, with the version at which they did.
    pub ended: Vec<(String, u64)>,
    /// Ask from here next time.
    pub version: u64,
}

#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) entry: Entry,
    /// On the own clock: when begun, inherited or adopted.
    pub(crate) known: Duration,
    /// When it was first known to be ready.
    pub(crate) ready: Option<Duration>,
    pub(crate) listed: bool,
    /// The last list showed it as draining: one that is about to be stopped is not taken back into service then.
    pub(crate) listed_draining: bool,
    pub(crate) missing: u8,
    /// Lists in a row that show it up though it is held to drain.
    pub(crate) up: u8,
    /// `Ending`: when to stop, and whether a stop was sent at any time.
    pub(crate) stop_at: Option<Duration>,
    pub(crate) stop_sent: bool,
    pub(crate) stop_tries: u32,
    /// Its host leaves.
    pub(crate) leaving: bool,
}

impl Held {
    /// Counts as capacity of the future.
    pub(crate) fn counts(&self) -> bool {
        matches!(self.entry.state, InstanceState::Starting | InstanceState::Ready) && !self.leaving
    }
}

#[derive(Debug)]
pub(crate) struct Book {
    held: BTreeMap<String, Held>,
    of: BTreeMap<String, BTreeSet<String>>,
    by_version: BTreeMap<u64, String>,
    ended: VecDeque<(u64, String, Duration)>,
    version: u64,
    /// Who asks from below this gets the whole.
    base: u64,
    pub(crate) settled: bool,
}

impl Book {
    pub(crate) fn new(version: u64) -> Book {
        Book {
            held: BTreeMap::new(),
            of: BTreeMap::new(),
            by_version: BTreeMap::new(),
            ended: VecDeque::new(),
            version,
            base: version,
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

    /// Versions seen elsewhere are behind the next one.
    pub(crate) fn beyond(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// The entries are known to be all: those who pulled before are told them in whole.
    pub(crate) fn settle(&mut self) {
        if !self.settled {
            self.settled = true;
            self.version += 1;
            self.base = self.version;
        }
    }

    pub(crate) fn get(&self, instance: &str) -> Option<&Held> {
        self.held.get(instance)
    }

    /// Marks that are not told.
    pub(crate) fn mark(&mut self, instance: &str) -> Option<&mut Held> {
        self.held.get_mut(instance)
    }

    /// A change that is told.
    pub(crate) fn change(&mut self, instance: &str, f: impl FnOnce(&mut Held)) {
        if let Some(h) = self.held.get_mut(instance) {
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

    pub(crate) fn insert(&mut self, mut held: Held) {
        self.remove_silently(&held.entry.instance.clone());
        self.version += 1;
        held.entry.version = self.version;
        let id = held.entry.instance.clone();
        self.by_version.insert(self.version, id.clone());
        self.of.entry(held.entry.service.clone()).or_default().insert(id.clone());
        self.held.insert(id, held);
    }

    fn remove_silently(&mut self, instance: &str) -> Option<Held> {
        let held = self.held.remove(instance)?;
        self.by_version.remove(&held.entry.version);
        if let Some(set) = self.of.get_mut(&held.entry.service) {
            set.remove(instance);
            if set.is_empty() {
                self.of.remove(&held.entry.service);
            }
        }
        Some(held)
    }

    pub(crate) fn remove(&mut self, instance: &str, now: Duration) -> Option<Held> {
        let held = self.remove_silently(instance)?;
        self.version += 1;
        self.ended.push_back((self.version, instance.to_string(), now));
        Some(held)
    }

    pub(crate) fn clean(&mut self, now: Duration) {
        while self.ended.len() > ENDED_MOST || self.ended.front().is_some_and(|e| e.2 + ENDED_LASTS < now) {
            if let Some((version, ..)) = self.ended.pop_front() {
                self.base = self.base.max(version);
            }
        }
    }

    pub(crate) fn of(&self, service: &str) -> impl Iterator<Item = &Held> {
        self.of.get(service).into_iter().flatten().filter_map(|id| self.held.get(id))
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Held> {
        self.held.values()
    }

    pub(crate) fn since(&self, version: u64) -> ChangeSet {
        let complete = self.settled && version < self.base;
        let from = if complete { 0 } else { version.saturating_add(1) };
        let entries = self.by_version.range(from..).filter_map(|(_, id)| self.held.get(id));
        let ended = self.ended.iter().rev().take_while(|e| e.0 > version).map(|e| (e.1.clone(), e.0));
        ChangeSet {
            complete,
            entries: entries.map(|h| h.entry.clone()).collect(),
            ended: ended.collect(),
            version: self.version,
        }
    }
}
