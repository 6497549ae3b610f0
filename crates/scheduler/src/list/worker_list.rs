//! Prepares the list of workers for the exchange: from discovery alone, or merged from files, discovery and
//! health checks.

use crate::exchange::Exchange;
use crate::list::inventory_watch::{FileEntry, InventoryEvent};
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tindock::types::Condition;
use tindock_inventory::State;
use tindock_scheduler_config::listing::{self, Entry, Listing};
use tindock_scheduler_config::Names;
use tindock_worker_list::health::HealthChecker;
use tindock_worker_list::merge::WorkerListMerge;
use tokio::sync::{mpsc, Notify};

/// Entries passed to the exchange at once: few enough that no task waits for a long list.
const BATCH: usize = 16;
/// How often draining workers are checked for unfinished tasks.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Present if the list is also kept in files.
struct FileSources {
    merge: RefCell<WorkerListMerge<Entry>>,
    health: Option<RefCell<HealthChecker>>,
    /// Notified when a health check may be due.
    checks_due: Notify,
}

pub struct WorkerList {
    exchange: Rc<Exchange>,
    names: RefCell<Names>,
    files: Option<FileSources>,
    forwarded: Cell<u64>,
    log: Logger,
}

impl WorkerList {
    /// Without files, discovery responses are passed on unchanged.
    pub fn from_discovery(exchange: Rc<Exchange>, names: Names, log: Logger) -> Rc<Self> {
        Rc::new(WorkerList {
            exchange,
            names: RefCell::new(names),
            files: None,
            forwarded: Cell::new(0),
            log,
        })
    }

    pub fn with_files(
        exchange: Rc<Exchange>,
        names: Names,
        health: Option<HealthChecker>,
        log: Logger,
    ) -> Rc<Self> {
        let merge = RefCell::new(WorkerListMerge::new(|one: &Entry, other| one.address == other.address));
        let files = Some(FileSources { merge, health: health.map(RefCell::new), checks_due: Notify::new() });
        Rc::new(WorkerList { exchange, names: RefCell::new(names), files, forwarded: Cell::new(0), log })
    }

    /// The names of all zones, kinds and workloads listed so far.
    pub fn names(&self) -> Names {
        self.names.borrow().clone()
    }

    /// The index of a machine kind, shared by all users of the name.
    pub fn kind(&self, kind: String) -> Result<usize, String> {
        self.names.borrow_mut().kind(kind)
    }

    /// Decodes a discovery response, which may add new names.
    pub fn decode(&self, body: &[u8]) -> Result<Listing, String> {
        listing::decode(body, &mut self.names.borrow_mut())
    }

    /// Applies a discovery response.
    pub fn discovery_update(&self, listing: Listing) {
        let Some(files) = &self.files else { return self.exchange.update_list(listing) };
        let mut merge = files.merge.borrow_mut();
        if listing.whole {
            merge.begin_full_list();
        }
        for entry in listing.entries {
            let (name, condition) = (entry.name.clone(), entry.condition);
            merge.set_discovery_entry(&name, without_condition(entry), condition);
        }
        drop(merge);
        self.exchange.update_list(Listing { index: listing.index, whole: false, entries: Vec::new() });
        while self.forward() {}
    }

    /// Applies inventory events until the process ends.
    pub async fn run(&self, mut events: mpsc::Receiver<InventoryEvent>) {
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    None => return,
                    Some(InventoryEvent::Note(line)) => info!(self.log, "inventory {line}"),
                    Some(InventoryEvent::Problem(line)) => warn!(self.log, "inventory {line}"),
                    Some(InventoryEvent::Changes(changes)) => self.apply_file_entries(changes).await,
                },
                () = tokio::time::sleep(DRAIN_CHECK_INTERVAL) => self.remove_drained(),
            }
        }
    }

    async fn apply_file_entries(&self, file_entries: Vec<FileEntry>) {
        let Some(files) = &self.files else { return };
        for (number, (name, found)) in file_entries.into_iter().enumerate() {
            let member = found.and_then(|(entry, address)| {
                let leaving = entry.state == State::Leaving;
                let site = self.names.borrow_mut().site(entry.zone, entry.kind, entry.group as usize);
                let site = site.map_err(|why| warn!(self.log, "worker {name} is ignored: {why}")).ok()?;
                let (weight, condition, booted_ms) = (entry.slots, Condition::Ready, None);
                let entry = Entry { name: entry.name, address, site, weight, condition, booted_ms };
                Some((entry, leaving))
            });
            if let Some(health) = &files.health {
                match &member {
                    Some(_) => health.borrow_mut().add(self.exchange.now(), &name),
                    None => health.borrow_mut().remove(&name),
                }
            }
            files.merge.borrow_mut().set_file_entry(&name, member);
            if number % BATCH == BATCH - 1 {
                self.forward();
                // Tasks take precedence: a list of thousands is applied in between.
                tokio::task::yield_now().await;
            }
        }
        while self.forward() {
            tokio::task::yield_now().await;
        }
        files.checks_due.notify_one();
    }

    /// Passes a batch of changed entries to the exchange; returns whether there may be more.
    fn forward(&self) -> bool {
        let Some(files) = &self.files else { return false };
        let mut merge = files.merge.borrow_mut();
        let mut entries = Vec::new();
        while entries.len() < BATCH {
            let Some(line) = merge.next_update() else { break };
            // Guards against overloading a worker that has recovered: it counts as started now.
            let booted_ms = if line.revived { Some(unix_ms()) } else { line.member.booted_ms };
            entries.push(Entry { condition: line.condition, booted_ms, ..line.member });
        }
        drop(merge);
        self.forwarded.set(self.forwarded.get() + entries.len() as u64);
        let more = entries.len() == BATCH;
        if !entries.is_empty() {
            self.exchange.update_entries(entries);
        }
        more
    }

    /// A draining worker is removed after its last task.
    fn remove_drained(&self) {
        let Some(files) = &self.files else { return };
        let ending: Vec<String> = files.merge.borrow().unlisted_draining().map(String::from).collect();
        for name in ending {
            if !self.exchange.is_busy(&name) {
                files.merge.borrow_mut().mark_idle(&name);
            }
        }
        while self.forward() {}
    }

    /// The number of entries passed to the exchange since the start.
    pub fn forwarded(&self) -> u64 {
        self.forwarded.get()
    }

    // ---- health checks ----

    /// The next worker to check, with its address; waits until a check is due.
    pub async fn next_check(&self) -> (String, u64, std::net::SocketAddr) {
        let Some(FileSources { health: Some(health), checks_due, .. }) = &self.files else {
            return std::future::pending().await;
        };
        loop {
            let now = self.exchange.now();
            let check = health.borrow_mut().next_check(now);
            if let Some((name, number)) = check {
                if let Some(address) = self.exchange.address_of(&name) {
                    return (name, number, address);
                }
                // Not on the list yet.
                health.borrow_mut().skip_check(now, &name, number);
                continue;
            }
            let due = health.borrow().next_due();
            tokio::select! {
                () = tokio::time::sleep(self.exchange.time_until(due)) => {}
                () = checks_due.notified() => {}
            }
        }
    }

    pub fn record_check(&self, name: &str, number: u64, healthy: bool) {
        let Some(FileSources { health: Some(health), merge, checks_due }) = &self.files else { return };
        let mut health = health.borrow_mut();
        let was_panicking = health.panic_mode;
        health.record_check(self.exchange.now(), name, number, healthy);
        if health.panic_mode != was_panicking {
            let what = match health.panic_mode {
                true => "too many workers are down for the checks to be credible: none is avoided",
                false => "enough workers are up again: those that are down are avoided",
            };
            warn!(self.log, "{what}");
        }
        while let Some((name, down)) = health.next_change() {
            let what = if down { "down: avoided" } else { "back: used again" };
            info!(self.log, "worker {name} is {what}");
            merge.borrow_mut().set_down(&name, down);
        }
        drop(health);
        while self.forward() {}
        checks_due.notify_one();
    }
}

/// The entry without its condition, which is kept separately.
fn without_condition(entry: Entry) -> Entry {
    Entry { condition: Condition::Ready, ..entry }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
