//! Merges files, discovery and health into one list of workers. The most cautious source prevails.
//!
//! | files | discovery | health | listed as |
//! | --- | --- | --- | --- |
//! | active | nothing | up | ready |
//! | active | nothing | down | draining |
//! | leaving | anything but gone | any | draining |
//! | removed | nothing | any | draining until its last task has ended, then gone |
//! | any | an entry | not checked | as discovery has it, with its address |
//!
//! A worker whose address changes in the files first drains at the old address, as its tasks run there.

use std::collections::{BTreeMap, BTreeSet};
use tindock::types::Condition;

/// A change of one entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate<M> {
    pub name: String,
    pub member: M,
    pub condition: Condition,
    /// It has just recovered, and is to be treated as one that starts.
    pub revived: bool,
}

#[derive(Clone, Debug)]
struct Row<M> {
    from_files: Option<(M, bool)>,
    from_discovery: Option<(M, Condition)>,
    /// Excluded by its health checks.
    down: bool,
    /// The entry as last returned.
    listed: Option<(M, Condition)>,
    /// Whether it may have tasks.
    busy: bool,
}

/// `M` is what a source knows of a worker besides its condition.
pub struct WorkerListMerge<M> {
    /// Whether two entries have the same address, so that they are one process.
    same_address: fn(&M, &M) -> bool,
    rows: BTreeMap<String, Row<M>>,
    /// Rows whose entry may have changed.
    dirty: BTreeSet<String>,
    recovered: BTreeSet<String>,
    /// Rows that drain because no source lists them at that address. Kept apart since scanning all rows would
    /// delay tasks.
    unlisted_draining: BTreeSet<String>,
}

impl<M: Clone + PartialEq> WorkerListMerge<M> {
    pub fn new(same_address: fn(&M, &M) -> bool) -> Self {
        WorkerListMerge {
            same_address,
            rows: BTreeMap::new(),
            dirty: BTreeSet::new(),
            recovered: BTreeSet::new(),
            unlisted_draining: BTreeSet::new(),
        }
    }

    fn row(&mut self, name: &str) -> &mut Row<M> {
        self.dirty.insert(name.into());
        let empty = || Row { from_files: None, from_discovery: None, down: false, listed: None, busy: false };
        self.rows.entry(name.into()).or_insert_with(empty)
    }

    /// Sets the files' entry of a worker and whether it is to leave; none if the files no longer list it.
    pub fn set_file_entry(&mut self, name: &str, member: Option<(M, bool)>) {
        self.row(name).from_files = member;
    }

    /// Sets discovery's entry of a worker.
    pub fn set_discovery_entry(&mut self, name: &str, member: M, condition: Condition) {
        self.row(name).from_discovery = Some((member, condition));
    }

    /// Starts a full list from discovery: workers that it does not list count as gone there.
    pub fn begin_full_list(&mut self) {
        let named = self.rows.iter_mut().filter(|(_, row)| row.from_discovery.is_some());
        let names: Vec<String> = named.map(|(name, _)| name.clone()).collect();
        for name in names {
            let row = self.row(&name);
            row.from_discovery = row.from_discovery.take().map(|(member, _)| (member, Condition::Gone));
        }
    }

    /// Sets whether a worker listed in files is excluded by its health checks.
    pub fn set_down(&mut self, name: &str, down: bool) {
        if self.rows.get(name).is_some_and(|row| row.down != down) {
            self.row(name).down = down;
            if !down {
                self.recovered.insert(name.into());
            }
        }
    }

    /// Its last task has ended.
    pub fn mark_idle(&mut self, name: &str) {
        if self.rows.contains_key(name) {
            self.row(name).busy = false;
        }
    }

    /// Workers that drain because no source lists them, or only at another address; they are gone once idle.
    pub fn unlisted_draining(&self) -> impl Iterator<Item = &str> {
        self.unlisted_draining.iter().map(String::as_str)
    }

    /// The next entry that differs from the list.
    pub fn next_update(&mut self) -> Option<ListUpdate<M>> {
        while let Some(name) = self.dirty.pop_first() {
            let row = self.rows.get_mut(&name)?;
            match row.busy && row.is_unlisted(self.same_address) {
                true => self.unlisted_draining.insert(name.clone()),
                false => self.unlisted_draining.remove(&name),
            };
            let now = row.desired(self.same_address);
            let before = row.listed.as_ref().map(|(member, condition)| (member, *condition));
            if now.as_ref().map(|(member, condition)| (member, *condition)) == before {
                if row.from_files.is_none() && row.from_discovery.is_none() && row.listed.is_none() {
                    self.rows.remove(&name);
                }
                continue;
            }
            let was = row.listed.as_ref().map(|(_, condition)| *condition);
            row.listed.clone_from(&now);
            let (member, condition) = now?;
            let revived = self.recovered.remove(&name) && condition == Condition::Ready && was.is_some();
            row.busy |= condition == Condition::Ready;
            if condition == Condition::Gone {
                row.listed = None;
                // At another address it starts as a new worker.
                match (&row.from_files, &row.from_discovery) {
                    (Some(_), None) => drop(self.dirty.insert(name.clone())),
                    (None, None) => drop(self.rows.remove(&name)),
                    _ => {}
                }
            }
            return Some(ListUpdate { name, member, condition, revived });
        }
        None
    }

    /// Number of workers that receive tasks.
    pub fn ready_count(&self) -> usize {
        self.rows.values().filter(|row| matches!(row.listed, Some((_, Condition::Ready)))).count()
    }
}

impl<M: Clone + PartialEq> Row<M> {
    /// Whether it is listed although no source has it at that address any more.
    fn is_unlisted(&self, same_address: fn(&M, &M) -> bool) -> bool {
        let Some((at, _)) = &self.listed else { return false };
        match (&self.from_discovery, &self.from_files) {
            (Some((_, condition)), None) => *condition == Condition::Gone,
            (Some(_), Some(_)) => false,
            (None, Some((member, _))) => !same_address(member, at),
            (None, None) => true,
        }
    }

    /// The entry that the list should have; none if there is none to add or change.
    fn desired(&self, same_address: fn(&M, &M) -> bool) -> Option<(M, Condition)> {
        if self.is_unlisted(same_address) {
            let (at, _) = self.listed.clone()?;
            // Discovery knows which workers are gone; files only know which are to leave.
            let gone = self.from_discovery.is_some() || !self.busy;
            return Some((at, if gone { Condition::Gone } else { Condition::Draining }));
        }
        let leaving = self.from_files.as_ref().is_some_and(|(_, leaving)| *leaving);
        match (&self.from_discovery, &self.from_files) {
            (Some((_, Condition::Gone)), _) if self.listed.is_none() => None,
            (Some((member, Condition::Ready)), _) if leaving => Some((member.clone(), Condition::Draining)),
            (Some((member, condition)), _) => Some((member.clone(), *condition)),
            (None, Some((member, _))) if leaving || self.down => Some((member.clone(), Condition::Draining)),
            (None, Some((member, _))) => Some((member.clone(), Condition::Ready)),
            (None, None) => None,
        }
    }
}
