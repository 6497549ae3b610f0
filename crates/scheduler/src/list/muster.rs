//! The list of workers on its way to the exchange: discovery's word, or where there are files, one list from files,
//! discovery and health.

use crate::exchange::Exchange;
use crate::list::stocking::{Filed, Told};
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tindock::types::Condition;
use tindock_berth::listing::{self, Entry, Listing};
use tindock_berth::Words;
use tindock_inventory::State;
use tindock_roster::health::HealthChecker;
use tindock_roster::merge::WorkerListMerge;
use tokio::sync::{mpsc, Notify};

/// Lines handed to the exchange in one go: so few that no task waits for a long list.
const SLICE: usize = 16;
/// How often workers that drain are looked at for their last task.
const LOOK: Duration = Duration::from_millis(250);

/// Where the list is kept in files.
struct Files {
    merging: RefCell<WorkerListMerge<Entry>>,
    health: Option<RefCell<HealthChecker>>,
    /// There may be somebody to look at.
    looks: Notify,
}

pub struct Muster {
    exchange: Rc<Exchange>,
    words: RefCell<Words>,
    files: Option<Files>,
    handed_on: Cell<u64>,
    log: Logger,
}

impl Muster {
    /// Without files, what discovery says goes on as it is.
    pub fn of_discovery(exchange: Rc<Exchange>, words: Words, log: Logger) -> Rc<Self> {
        Rc::new(Muster { exchange, words: RefCell::new(words), files: None, handed_on: Cell::new(0), log })
    }

    pub fn with_files(
        exchange: Rc<Exchange>,
        words: Words,
        health: Option<HealthChecker>,
        log: Logger,
    ) -> Rc<Self> {
        let merging = RefCell::new(WorkerListMerge::new(|one: &Entry, other| one.address == other.address));
        let files = Some(Files { merging, health: health.map(RefCell::new), looks: Notify::new() });
        Rc::new(Muster { exchange, words: RefCell::new(words), files, handed_on: Cell::new(0), log })
    }

    /// The words of all that was listed.
    pub fn words(&self) -> Words {
        self.words.borrow().clone()
    }

    /// The index of a machine kind at all who know it by name.
    pub fn kind(&self, kind: String) -> Result<usize, String> {
        self.words.borrow_mut().kind(kind)
    }

    /// Decodes an answer of discovery, which may bring words that are new to all.
    pub fn decode(&self, body: &[u8]) -> Result<Listing, String> {
        listing::decode(body, &mut self.words.borrow_mut())
    }

    /// Discovery's answer.
    pub fn told(&self, listing: Listing) {
        let Some(files) = &self.files else { return self.exchange.list(listing) };
        let mut merging = files.merging.borrow_mut();
        if listing.whole {
            merging.begin_full_list();
        }
        for entry in listing.entries {
            let (name, condition) = (entry.name.clone(), entry.condition);
            merging.set_discovery_entry(&name, plain(entry), condition);
        }
        drop(merging);
        self.exchange.list(Listing { index: listing.index, whole: false, entries: Vec::new() });
        while self.hand_on() {}
    }

    /// Takes in what the files say, for as long as the process lives.
    pub async fn keep(&self, mut told: mpsc::Receiver<Told>) {
        loop {
            tokio::select! {
                told = told.recv() => match told {
                    None => return,
                    Some(Told::Note(line)) => info!(self.log, "inventory {line}"),
                    Some(Told::Problem(line)) => warn!(self.log, "inventory {line}"),
                    Some(Told::Changes(filed)) => self.filed(filed).await,
                },
                () = tokio::time::sleep(LOOK) => self.tend(),
            }
        }
    }

    async fn filed(&self, filed: Vec<Filed>) {
        let Some(files) = &self.files else { return };
        for (number, (name, says)) in filed.into_iter().enumerate() {
            let member = says.and_then(|(entry, address)| {
                let leaving = entry.state == State::Leaving;
                let site = self.words.borrow_mut().site(entry.zone, entry.kind, entry.group as usize);
                let site = site.map_err(|why| warn!(self.log, "worker {name} is passed over: {why}")).ok()?;
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
            files.merging.borrow_mut().set_file_entry(&name, member);
            if number % SLICE == SLICE - 1 {
                self.hand_on();
                // Tasks go first: a list of thousands comes in beside them.
                tokio::task::yield_now().await;
            }
        }
        while self.hand_on() {
            tokio::task::yield_now().await;
        }
        files.looks.notify_one();
    }

    /// Hands a slice of changed lines to the exchange; whether there may be more.
    fn hand_on(&self) -> bool {
        let Some(files) = &self.files else { return false };
        let mut merging = files.merging.borrow_mut();
        let mut entries = Vec::new();
        while entries.len() < SLICE {
            let Some(line) = merging.next_update() else { break };
            // Guards against pushing over a worker that came back to life: it counts as one that starts now.
            let booted_ms = if line.revived { Some(unix_ms()) } else { line.member.booted_ms };
            entries.push(Entry { condition: line.condition, booted_ms, ..line.member });
        }
        drop(merging);
        self.handed_on.set(self.handed_on.get() + entries.len() as u64);
        let more = entries.len() == SLICE;
        if !entries.is_empty() {
            self.exchange.change(entries);
        }
        more
    }

    /// Workers that drain are gone with their last task.
    fn tend(&self) {
        let Some(files) = &self.files else { return };
        let ending: Vec<String> = files.merging.borrow().unlisted_draining().map(String::from).collect();
        for name in ending {
            if !self.exchange.is_busy(&name) {
                files.merging.borrow_mut().mark_idle(&name);
            }
        }
        while self.hand_on() {}
    }

    /// Lines of the list that were handed to the exchange since the start.
    pub fn handed_on(&self) -> u64 {
        self.handed_on.get()
    }

    // ---- for those who look at the workers ----

    /// Whom to look at, and where; waits until there is somebody.
    pub async fn look(&self) -> (String, u64, std::net::SocketAddr) {
        let Some(Files { health: Some(health), looks, .. }) = &self.files else {
            return std::future::pending().await;
        };
        loop {
            let now = self.exchange.now();
            let turn = health.borrow_mut().next_check(now);
            if let Some((name, number)) = turn {
                if let Some(address) = self.exchange.address_of(&name) {
                    return (name, number, address);
                }
                // Not on the list yet.
                health.borrow_mut().skip_check(now, &name, number);
                continue;
            }
            let due = health.borrow().next_due();
            tokio::select! {
                () = tokio::time::sleep(self.exchange.until(due)) => {}
                () = looks.notified() => {}
            }
        }
    }

    pub fn looked(&self, name: &str, number: u64, well: bool) {
        let Some(Files { health: Some(health), merging, looks }) = &self.files else { return };
        let mut health = health.borrow_mut();
        let panicked = health.panic_mode;
        health.record_check(self.exchange.now(), name, number, well);
        if health.panic_mode != panicked {
            let what = match health.panic_mode {
                true => "too many workers are down to be believed: none is left out",
                false => "enough workers are up again: those that are down are left out",
            };
            warn!(self.log, "{what}");
        }
        while let Some((name, down)) = health.next_change() {
            let what = if down { "down: left out" } else { "back: takes part again" };
            info!(self.log, "worker {name} is {what}");
            merging.borrow_mut().set_down(&name, down);
        }
        drop(health);
        while self.hand_on() {}
        looks.notify_one();
    }
}

/// Without its condition, which is kept apart.
fn plain(entry: Entry) -> Entry {
    Entry { condition: Condition::Ready, ..entry }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
