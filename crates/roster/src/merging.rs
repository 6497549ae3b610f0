//! One list from files, discovery and health. Each says what it knows; the most cautious word counts.
//!
//! | files | discovery | health | the list says |
//! | --- | --- | --- | --- |
//! | active | nothing | up | ready |
//! | active | nothing | down | draining |
//! | leaving | anything but gone | any | draining |
//! | taken out | nothing | any | draining until its last task is over, then gone |
//! | any | its word | not asked | discovery's word, and its address |
//!
//! A worker whose address changes in the files drains at the old one first, since the tasks that it has are there.

use std::collections::{BTreeMap, BTreeSet};
use tindock::types::Condition;

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Line<M> {
    pub name: String,
    pub member: M,
    pub condition: Condition,
    /// It came back to life just now: it is to be taken for one that starts.
    pub returns: bool,
}

#[derive(Clone, Debug)]
struct Row<M> {
    file: Option<(M, bool)>,
    told: Option<(M, Condition)>,
    /// By its health it is left out.
    down: bool,
    /// What the list says now.
    listed: Option<(M, Condition)>,
    /// Tasks were given to it, as far as is known.
    busy: bool,
}

/// `M` is what a source says of a worker besides its condition.
pub struct Merging<M> {
    /// Whether two say that the worker is at the same place: then it is one process.
    same_place: fn(&M, &M) -> bool,
    rows: BTreeMap<String, Row<M>>,
    /// Rows whose line may have changed.
    touched: BTreeSet<String>,
    back: BTreeSet<String>,
    /// Rows that drain because no source names them there: looking through all would keep tasks waiting.
    ending: BTreeSet<String>,
}

impl<M: Clone + PartialEq> Merging<M> {
    pub fn new(same_place: fn(&M, &M) -> bool) -> Self {
        Merging {
            same_place,
            rows: BTreeMap::new(),
            touched: BTreeSet::new(),
            back: BTreeSet::new(),
            ending: BTreeSet::new(),
        }
    }

    fn row(&mut self, name: &str) -> &mut Row<M> {
        self.touched.insert(name.into());
        let none = || Row { file: None, told: None, down: false, listed: None, busy: false };
        self.rows.entry(name.into()).or_insert_with(none)
    }

    /// The files' word on a worker: it and whether it is to leave, or that they do not name it any more.
    pub fn filed(&mut self, name: &str, member: Option<(M, bool)>) {
        self.row(name).file = member;
    }

    /// Discovery's word on a worker.
    pub fn told(&mut self, name: &str, member: M, condition: Condition) {
        self.row(name).told = Some((member, condition));
    }

    /// A whole list of discovery begins: whom it does not name is gone, as far as discovery is concerned.
    pub fn told_whole(&mut self) {
        let named = self.rows.iter_mut().filter(|(_, row)| row.told.is_some());
        let names: Vec<String> = named.map(|(name, _)| name.clone()).collect();
        for name in names {
            let row = self.row(&name);
            row.told = row.told.take().map(|(member, _)| (member, Condition::Gone));
        }
    }

    /// Whether a worker of the files is left out for its health.
    pub fn health(&mut self, name: &str, down: bool) {
        if self.rows.get(name).is_some_and(|row| row.down != down) {
            self.row(name).down = down;
            if !down {
                self.back.insert(name.into());
            }
        }
    }

    /// Its last task is over.
    pub fn idle(&mut self, name: &str) {
        if self.rows.contains_key(name) {
            self.row(name).busy = false;
        }
    }

    /// The workers that drain because no source names them, or names them elsewhere: gone once idle.
    pub fn ending(&self) -> impl Iterator<Item = &str> {
        self.ending.iter().map(String::as_str)
    }

    /// The next line that differs from what the list says.
    pub fn line(&mut self) -> Option<Line<M>> {
        while let Some(name) = self.touched.pop_first() {
            let row = self.rows.get_mut(&name)?;
            match row.busy && row.ends(self.same_place) {
                true => self.ending.insert(name.clone()),
                false => self.ending.remove(&name),
            };
            let now = row.now(self.same_place);
            let before = row.listed.as_ref().map(|(member, condition)| (member, *condition));
            if now.as_ref().map(|(member, condition)| (member, *condition)) == before {
                if row.file.is_none() && row.told.is_none() && row.listed.is_none() {
                    self.rows.remove(&name);
                }
                continue;
            }
            let was = row.listed.as_ref().map(|(_, condition)| *condition);
            row.listed.clone_from(&now);
            let (member, condition) = now?;
            let returns = self.back.remove(&name) && condition == Condition::Ready && was.is_some();
            row.busy |= condition == Condition::Ready;
            if condition == Condition::Gone {
                row.listed = None;
                // At another place it begins anew.
                match (&row.file, &row.told) {
                    (Some(_), None) => drop(self.touched.insert(name.clone())),
                    (None, None) => drop(self.rows.remove(&name)),
                    _ => {}
                }
            }
            return Some(Line { name, member, condition, returns });
        }
        None
    }

    /// Workers that are given tasks by the list.
    pub fn ready(&self) -> usize {
        self.rows.values().filter(|row| matches!(row.listed, Some((_, Condition::Ready)))).count()
    }
}

impl<M: Clone + PartialEq> Row<M> {
    /// It is on the list, but no source names it there any more.
    fn ends(&self, same_place: fn(&M, &M) -> bool) -> bool {
        let Some((at, _)) = &self.listed else { return false };
        match (&self.told, &self.file) {
            (Some((_, condition)), None) => *condition == Condition::Gone,
            (Some(_), Some(_)) => false,
            (None, Some((member, _))) => !same_place(member, at),
            (None, None) => true,
        }
    }

    /// What the list is to say; none where it is to say nothing and says nothing.
    fn now(&self, same_place: fn(&M, &M) -> bool) -> Option<(M, Condition)> {
        if self.ends(same_place) {
            let (at, _) = self.listed.clone()?;
            // Discovery knows who is gone; files only know who is to go.
            let gone = self.told.is_some() || !self.busy;
            return Some((at, if gone { Condition::Gone } else { Condition::Draining }));
        }
        let leaves = self.file.as_ref().is_some_and(|(_, leaving)| *leaving);
        match (&self.told, &self.file) {
            (Some((_, Condition::Gone)), _) if self.listed.is_none() => None,
            (Some((member, Condition::Ready)), _) if leaves => Some((member.clone(), Condition::Draining)),
            (Some((member, condition)), _) => Some((member.clone(), *condition)),
            (None, Some((member, _))) if leaves || self.down => Some((member.clone(), Condition::Draining)),
            (None, Some((member, _))) => Some((member.clone(), Condition::Ready)),
            (None, None) => None,
        }
    }
}
