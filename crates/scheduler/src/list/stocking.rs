//! Watches the inventory's files on a thread of its own: looks, reads, checks, and hands on what changed.

use crate::list::shelves::{self, Marks};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tindock_berth::{Problem, Stock};
use tindock_inventory::{diff, write, Change, Columns, Entry, Inventory, OutputFormat, State};
use tindock_roster::guard::{Guard, Snapshot, Verdict};
use tokio::sync::mpsc::Sender;

/// How often the files are looked at. Two looks that agree say that the writing is over: that is seen within 0.4 s.
const LOOK: Duration = Duration::from_millis(200);
/// Read anew after so long even if nothing seems to have changed: some file systems keep times of whole seconds.
const READ_ANEW: Duration = Duration::from_secs(10);
/// Problems that are told in the log; `tindock inventory check` tells all.
const MOST_TOLD: usize = 5;

/// What the files say of a worker now: where it is and what it is; none where they do not name it any more.
pub type Filed = (String, Option<(Entry, SocketAddr)>);

/// What the serving thread is told.
#[derive(Debug)]
pub enum Told {
    /// Put in force.
    Changes(Vec<Filed>),
    /// For the log: the last good list stays in force.
    Problem(String),
    Note(String),
}

/// Where the digest of an accepted reading is left, beside the configuration.
pub fn accept_file(folder: &Path) -> PathBuf {
    folder.join(".tindock-accepted")
}

pub struct Stocking {
    pub stock: Stock,
    /// The configuration's folder.
    pub folder: PathBuf,
    pub tell: Sender<Told>,
}

/// What is known of the files, from one look to the next.
pub struct Watching {
    stock: Stock,
    folder: PathBuf,
    in_force: Inventory,
    found: Vec<SocketAddr>,
    guard: Guard,
    /// What was read last, and when.
    read: Option<(Marks, Duration)>,
    /// A reading that is held back, and when it is let through by itself.
    held: Option<(u64, Duration)>,
    /// What the last look saw.
    seen: Option<Marks>,
    /// The last problem that was told.
    told: String,
}

impl Stocking {
    /// Runs until the serving side is gone.
    pub fn run(self) {
        let began = Instant::now();
        let mut watching = Watching::new(self.stock, self.folder);
        loop {
            let told = watching.look(began.elapsed());
            if told.into_iter().any(|told| self.tell.blocking_send(told).is_err()) || self.tell.is_closed() {
                return;
            }
            std::thread::sleep(LOOK);
        }
    }
}

impl Watching {
    pub fn new(stock: Stock, folder: PathBuf) -> Self {
        Watching {
            guard: Guard::new(stock.guard_share, stock.confirm_after),
            stock,
            folder,
            in_force: Inventory::default(),
            found: Vec::new(),
            read: None,
            held: None,
            seen: None,
            told: String::new(),
        }
    }

    /// The list in force.
    pub fn in_force(&self) -> &Inventory {
        &self.in_force
    }

    fn accepted(&self) -> Option<u64> {
        let text = std::fs::read_to_string(accept_file(&self.folder)).ok()?;
        u64::from_str_radix(text.trim(), 16).ok()
    }

    /// One look at the files, and what is to be told of it.
    pub fn look(&mut self, now: Duration) -> Vec<Told> {
        let marks = match shelves::look(&self.stock.files) {
            Ok(marks) => marks,
            Err(problems) => {
                self.seen = None;
                return self.problem(&problems);
            }
        };
        let settled = self.seen.as_ref() == Some(&marks);
        self.seen = Some(marks.clone());
        let fresh = self
            .read
            .as_ref()
            .is_some_and(|(read, when)| *read == marks && now.saturating_sub(*when) < READ_ANEW);
        // What is held back is not read again until it may be let through.
        let let_through =
            self.held.is_some_and(|(digest, until)| now >= until || self.accepted() == Some(digest));
        if fresh && !let_through || !settled {
            return Vec::new();
        }
        let read = shelves::take(&marks, &self.stock.columns, &self.stock.fixed);
        // Guards against a file that was written while it was read.
        if shelves::look(&self.stock.files).ok().as_ref() != Some(&marks) {
            self.seen = None;
            return Vec::new();
        }
        let whole = read.and_then(|inventory| shelves::find(&inventory).map(|found| (inventory, found)));
        match whole {
            Err(problems) => {
                self.read = Some((marks, now));
                self.problem(&problems)
            }
            Ok((inventory, found)) => self.offer(inventory, found, marks, now),
        }
    }

    fn offer(
        &mut self,
        inventory: Inventory,
        found: Vec<SocketAddr>,
        marks: Marks,
        now: Duration,
    ) -> Vec<Told> {
        let changes = diff(&self.in_force, &inventory);
        let active = |e: &Entry| e.state == State::Active;
        let ready = self.in_force.entries.iter().filter(|e| active(e)).count();
        let out = |change: &&Change| match change {
            Change::Removed(entry) => active(entry),
            Change::State { to, .. } => *to == State::Leaving,
            Change::Changed { from, to } => active(from) && (!active(to) || from.address != to.address),
            Change::Added(_) => false,
        };
        let reading =
            Snapshot { digest: inventory.digest(), ready, removed: changes.iter().filter(out).count() };
        match self.guard.check(now, reading, self.accepted()) {
            Verdict::Hold { first, until } => {
                self.read = Some((marks, now));
                self.held = Some((reading.digest, until));
                if !first {
                    return Vec::new();
                }
                let (gone, wait) = (reading.removed, (until - now).as_secs_f64());
                vec![Told::Problem(format!(
                    "held back: it would take out {gone} of {ready} workers; in force after {wait:.0} s if it \
                     stays so, or at once by `tindock inventory accept` ({:016x})",
                    reading.digest
                ))]
            }
            Verdict::Accept => {
                self.read = Some((marks, now));
                self.held = None;
                self.told.clear();
                let mut told = Vec::new();
                let filed = self.filed(&inventory, &found);
                if !filed.is_empty() {
                    let (all, some) = (inventory.entries.len(), filed.len());
                    told.push(Told::Note(format!("in force: {all} workers, {some} of them new or changed")));
                    told.push(Told::Changes(filed));
                }
                if let Some(path) = &self.stock.last_good {
                    if *self.in_force.entries != inventory.entries {
                        told.extend(keep(path, &inventory).err().map(Told::Problem));
                    }
                }
                (self.in_force, self.found) = (inventory, found);
                told
            }
        }
    }

    /// What changed by name, addresses as they were found included.
    fn filed(&self, inventory: &Inventory, found: &[SocketAddr]) -> Vec<Filed> {
        let before = self.in_force.entries.iter().zip(&self.found);
        let mut before: BTreeMap<&str, (&Entry, &SocketAddr)> =
            before.map(|(e, at)| (e.name.as_str(), (e, at))).collect();
        let mut filed = Vec::new();
        for (entry, at) in inventory.entries.iter().zip(found) {
            let same = before.remove(entry.name.as_str());
            if !same.is_some_and(|(old, was)| old.same_settings(entry) && was == at) {
                filed.push((entry.name.clone(), Some((entry.clone(), *at))));
            }
        }
        filed.extend(before.into_keys().map(|name| (name.to_string(), None)));
        filed
    }

    /// A problem is told once, until another takes its place. At the start, the list that was last good is taken.
    fn problem(&mut self, problems: &[Problem]) -> Vec<Told> {
        self.guard.reset();
        self.held = None;
        let mut lines: Vec<String> = problems.iter().take(MOST_TOLD).map(Problem::to_string).collect();
        if problems.len() > MOST_TOLD {
            lines.push(format!("and {} more", problems.len() - MOST_TOLD));
        }
        let line = lines.join("; ");
        if line == self.told {
            return Vec::new();
        }
        self.told.clone_from(&line);
        let mut told = vec![Told::Problem(format!("turned down, the last good list stays: {line}"))];
        if self.in_force.entries.is_empty() {
            if let Some((inventory, found)) = self.stock.last_good.as_deref().and_then(kept) {
                let filed = self.filed(&inventory, &found);
                told.push(Told::Note(format!(
                    "the list that was last good is in force: {} workers",
                    filed.len()
                )));
                told.push(Told::Changes(filed));
                (self.in_force, self.found) = (inventory, found);
            }
        }
        told
    }
}

/// OutputFormat beside and renamed, so that a reader finds the old file or the new one.
pub fn replace(path: &Path, text: impl AsRef<[u8]>) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, text)?;
    std::fs::rename(&beside, path)
}

/// Keeps the list in force for the next start: whole, or not at all.
fn keep(path: &Path, inventory: &Inventory) -> Result<(), String> {
    let kept = replace(path, write(inventory, OutputFormat::Csv));
    kept.map_err(|e| format!("in force, but cannot be kept in {} for the next start: {e}", path.display()))
}

fn kept(path: &Path) -> Option<(Inventory, Vec<SocketAddr>)> {
    let marks = shelves::look(&[path.to_path_buf()]).ok()?;
    let inventory = shelves::take(&marks, &Columns::default(), &[]).ok()?;
    let found = shelves::find(&inventory).ok()?;
    Some((inventory, found))
}
