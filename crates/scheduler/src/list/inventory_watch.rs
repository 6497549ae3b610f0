//! Watches the inventory's files on a thread of its own: detects, reads and checks changes, and sends them to
//! the serving thread.

use crate::list::inventory_files::{self, FileVersions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tindock_inventory::{diff, write, Change, Columns, Entry, Inventory, OutputFormat, State};
use tindock_scheduler_config::{InventorySettings, Problem};
use tindock_worker_list::guard::{Guard, Snapshot, Verdict};
use tokio::sync::mpsc::Sender;

/// How often the files are polled. Two equal polls mean that writing has ended, which is seen within 0.4 s.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Files are reread after this time even if nothing seems to have changed: some file systems store times in
/// whole seconds.
const REREAD_INTERVAL: Duration = Duration::from_secs(10);
/// The number of problems in a log line; `tindock inventory check` prints all.
const MAX_PROBLEMS: usize = 5;

/// The name of a worker with its present entry and address in the files; none if they no longer name it.
pub type FileEntry = (String, Option<(Entry, SocketAddr)>);

/// An event for the serving thread.
#[derive(Debug)]
pub enum InventoryEvent {
    /// Changed entries to apply.
    Changes(Vec<FileEntry>),
    /// For the log: the last good list stays in force.
    Problem(String),
    Note(String),
}

/// The file beside the configuration in which the digest of an accepted reading is stored.
pub fn accept_file(folder: &Path) -> PathBuf {
    folder.join(".tindock-accepted")
}

pub struct InventoryThread {
    pub settings: InventorySettings,
    /// The folder of the configuration.
    pub folder: PathBuf,
    pub events: Sender<InventoryEvent>,
}

/// The state of the watch between polls.
pub struct InventoryWatch {
    settings: InventorySettings,
    folder: PathBuf,
    in_force: Inventory,
    addresses: Vec<SocketAddr>,
    guard: Guard,
    /// The last versions read, and when.
    last_read: Option<(FileVersions, Duration)>,
    /// The digest of a reading that is held back, and when it is applied without an operator.
    held: Option<(u64, Duration)>,
    /// The versions found by the last poll.
    last_seen: Option<FileVersions>,
    /// The last problem that was reported.
    last_problem: String,
}

impl InventoryThread {
    /// Runs until the serving thread has ended.
    pub fn run(self) {
        let began = Instant::now();
        let mut watch = InventoryWatch::new(self.settings, self.folder);
        loop {
            let events = watch.poll(began.elapsed());
            if events.into_iter().any(|event| self.events.blocking_send(event).is_err())
                || self.events.is_closed()
            {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl InventoryWatch {
    pub fn new(settings: InventorySettings, folder: PathBuf) -> Self {
        InventoryWatch {
            guard: Guard::new(settings.guard_share, settings.confirm_after),
            settings,
            folder,
            in_force: Inventory::default(),
            addresses: Vec::new(),
            last_read: None,
            held: None,
            last_seen: None,
            last_problem: String::new(),
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

    /// Polls the files once; returns the events to send.
    pub fn poll(&mut self, now: Duration) -> Vec<InventoryEvent> {
        let versions = match inventory_files::scan(&self.settings.files) {
            Ok(versions) => versions,
            Err(problems) => {
                self.last_seen = None;
                return self.problem(&problems);
            }
        };
        let settled = self.last_seen.as_ref() == Some(&versions);
        self.last_seen = Some(versions.clone());
        let fresh = self
            .last_read
            .as_ref()
            .is_some_and(|(read, when)| *read == versions && now.saturating_sub(*when) < REREAD_INTERVAL);
        // A reading that is held back is not read again until it may be applied.
        let released =
            self.held.is_some_and(|(digest, until)| now >= until || self.accepted() == Some(digest));
        if fresh && !released || !settled {
            return Vec::new();
        }
        let read = inventory_files::read_all(&versions, &self.settings.columns, &self.settings.fixed);
        // Guards against a file that was written while it was read.
        if inventory_files::scan(&self.settings.files).ok().as_ref() != Some(&versions) {
            self.last_seen = None;
            return Vec::new();
        }
        let resolved = read.and_then(|inventory| {
            inventory_files::resolve(&inventory).map(|addresses| (inventory, addresses))
        });
        match resolved {
            Err(problems) => {
                self.last_read = Some((versions, now));
                self.problem(&problems)
            }
            Ok((inventory, addresses)) => self.offer(inventory, addresses, versions, now),
        }
    }

    fn offer(
        &mut self,
        inventory: Inventory,
        addresses: Vec<SocketAddr>,
        versions: FileVersions,
        now: Duration,
    ) -> Vec<InventoryEvent> {
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
                self.last_read = Some((versions, now));
                self.held = Some((reading.digest, until));
                if !first {
                    return Vec::new();
                }
                let (gone, wait) = (reading.removed, (until - now).as_secs_f64());
                vec![InventoryEvent::Problem(format!(
                    "held back: it would take out {gone} of {ready} workers; in force after {wait:.0} s if \
                     it stays so, or at once by `tindock inventory accept` ({:016x})",
                    reading.digest
                ))]
            }
            Verdict::Accept => {
                self.last_read = Some((versions, now));
                self.held = None;
                self.last_problem.clear();
                let mut events = Vec::new();
                let entries = self.changed_entries(&inventory, &addresses);
                if !entries.is_empty() {
                    let (all, some) = (inventory.entries.len(), entries.len());
                    events.push(InventoryEvent::Note(format!(
                        "in force: {all} workers, {some} of them new or changed"
                    )));
                    events.push(InventoryEvent::Changes(entries));
                }
                if let Some(path) = &self.settings.last_good {
                    if *self.in_force.entries != inventory.entries {
                        events.extend(write_last_good(path, &inventory).err().map(InventoryEvent::Problem));
                    }
                }
                (self.in_force, self.addresses) = (inventory, addresses);
                events
            }
        }
    }

    /// The entries that changed, by name, including changes of resolved addresses.
    fn changed_entries(&self, inventory: &Inventory, addresses: &[SocketAddr]) -> Vec<FileEntry> {
        let before = self.in_force.entries.iter().zip(&self.addresses);
        let mut before: BTreeMap<&str, (&Entry, &SocketAddr)> =
            before.map(|(e, at)| (e.name.as_str(), (e, at))).collect();
        let mut entries = Vec::new();
        for (entry, at) in inventory.entries.iter().zip(addresses) {
            let same = before.remove(entry.name.as_str());
            if !same.is_some_and(|(old, was)| old.same_settings(entry) && was == at) {
                entries.push((entry.name.clone(), Some((entry.clone(), *at))));
            }
        }
        entries.extend(before.into_keys().map(|name| (name.to_string(), None)));
        entries
    }

    /// Reports a problem once, until another one replaces it. At the start, the last good list is loaded.
    fn problem(&mut self, problems: &[Problem]) -> Vec<InventoryEvent> {
        self.guard.reset();
        self.held = None;
        let mut lines: Vec<String> = problems.iter().take(MAX_PROBLEMS).map(Problem::to_string).collect();
        if problems.len() > MAX_PROBLEMS {
            lines.push(format!("and {} more", problems.len() - MAX_PROBLEMS));
        }
        let line = lines.join("; ");
        if line == self.last_problem {
            return Vec::new();
        }
        self.last_problem.clone_from(&line);
        let mut events =
            vec![InventoryEvent::Problem(format!("rejected, the last good list stays in force: {line}"))];
        if self.in_force.entries.is_empty() {
            if let Some((inventory, addresses)) = self.settings.last_good.as_deref().and_then(read_last_good)
            {
                let entries = self.changed_entries(&inventory, &addresses);
                events.push(InventoryEvent::Note(format!(
                    "the list that was last good is in force: {} workers",
                    entries.len()
                )));
                events.push(InventoryEvent::Changes(entries));
                (self.in_force, self.addresses) = (inventory, addresses);
            }
        }
        events
    }
}

/// Writes a temporary file and renames it, so that a reader finds the old file or the new one.
pub fn replace(path: &Path, text: impl AsRef<[u8]>) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

/// Stores the list in force for the next start, atomically.
fn write_last_good(path: &Path, inventory: &Inventory) -> Result<(), String> {
    let written = replace(path, write(inventory, OutputFormat::Csv));
    written.map_err(|e| format!("in force, but cannot be kept in {} for the next start: {e}", path.display()))
}

fn read_last_good(path: &Path) -> Option<(Inventory, Vec<SocketAddr>)> {
    let versions = inventory_files::scan(&[path.to_path_buf()]).ok()?;
    let inventory = inventory_files::read_all(&versions, &Columns::default(), &[]).ok()?;
    let addresses = inventory_files::resolve(&inventory).ok()?;
    Some((inventory, addresses))
}
