//! Members on a simulated network, with faults, and a checker of answers, lease holders and served
//! configurations.

mod clocks;
mod contact;
mod cost;
mod disks;
mod first_start;
mod history;
mod lease;
mod lost_disk;
mod races;
mod regions;
mod voters;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use clocks::{Clock, Clocks};

use crate::defects::Defect;
use crate::{Action, Configuration, ControlStore, DiskState, Envelope, MemberSettings, Outcome, Stored};

pub const MS: Duration = Duration::from_millis(1);
/// An operator's call is answered within this time, unless its member is killed or frozen.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2600);

pub fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 8026))
}

enum Event {
    Deliver {
        to: SocketAddr,
        from: SocketAddr,
        envelope: Box<Envelope>,
    },
    Stored {
        at: SocketAddr,
        incarnation: u64,
        token: u64,
        what: Stored,
    },
    Start {
        at: SocketAddr,
        initial: bool,
    },
    Resume {
        at: SocketAddr,
    },
    Heal,
    DiskRecovered,
    /// All members lose power, and one its disk.
    PowerLoss {
        wiped: Option<SocketAddr>,
    },
}

struct Call {
    at: SocketAddr,
    /// Replace: the revision. Show: the highest revision acknowledged when it was called.
    number: u64,
    /// Replace: digest of the text that was sent.
    digest: u64,
    show: bool,
    sent_at: Duration,
}

struct Node {
    store: Option<ControlStore>,
    disk: DiskState,
    incarnation: u64,
    frozen: bool,
    /// Revision and digest last served in this incarnation.
    served: (u64, u64),
    clock: Clock,
}

impl Node {
    /// The number of the lease that it holds at this true time.
    fn lease_number(&self, now: Duration) -> Option<u64> {
        self.store.as_ref()?.lease_number(self.clock.read(now))
    }

    fn in_touch(&self, now: Duration) -> bool {
        self.store.as_ref().is_some_and(|store| store.in_touch(self.clock.read(now)))
    }

    /// The true time by which `tick` must be called.
    fn next_due(&self) -> Option<Duration> {
        Some(self.clock.true_time_at(self.store.as_ref()?.next_due()))
    }
}

pub struct Sim {
    pub now: Duration,
    rng: oorandom::Rand64,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    seq: u64,
    nodes: BTreeMap<SocketAddr, Node>,
    seeds: Vec<SocketAddr>,
    incarnations: u64,
    cut_side: BTreeSet<SocketAddr>,
    cut: bool,
    /// Members cut off from every majority of the newest voters when the partition began, and when that was.
    isolated: BTreeSet<SocketAddr>,
    isolated_since: Duration,
    loss: f64,
    /// All writes fail on these.
    full_disk: BTreeSet<SocketAddr>,
    slow_disk: BTreeSet<SocketAddr>,
    /// No write completes on these before the given time.
    hung_disk: BTreeMap<SocketAddr, Duration>,
    calls: u64,
    open: BTreeMap<u64, Call>,
    /// The voters of each epoch seen at any member: two tables of one epoch mean two systems.
    tables: BTreeMap<u64, Vec<SocketAddr>>,
    revision: u64,
    /// The digest for each revision that any member served, showed, acknowledged or named as chosen.
    chosen: BTreeMap<u64, u64>,
    /// Requests that operators may send again: revision and author.
    unconfirmed: Vec<(u64, u64)>,
    pub highest_acknowledged: u64,
    pub violation: Option<String>,
    last_holder: Option<(SocketAddr, u64)>,
    pub acknowledged: usize,
    pub superseded: usize,
    pub conflicts: usize,
    pub shown: usize,
    pub unavailable: usize,
    pub changes: usize,
    pub messages: u64,
    pub bytes: u64,
    stores: u64,
    next_fresh_address: usize,
    /// At the next acknowledgement all members lose power; if true, one also loses its disk.
    power_loss_armed: Option<bool>,
    pub log: Vec<String>,
    links: history::Links,
    clocks: Clocks,
}

/// Operators that write different texts under a shared sequence of revisions.
const AUTHORS: u64 = 2;
const MAX_AUTHORS: u64 = 9;

fn text(revision: u64, author: u64) -> Vec<u8> {
    let mut text = format!("operator {author}'s configuration {revision}").into_bytes();
    text.resize(text.len().max(history::MIN_TEXT_BYTES.get()), b'.');
    text
}

impl Sim {
    pub fn new(members: usize, seed: u64) -> Sim {
        let mut sim = Sim::empty(members, seed);
        for index in 0..members {
            let delay = sim.random_below(300);
            sim.schedule(MS * delay as u32, Event::Start { at: addr(index), initial: true });
        }
        sim
    }

    /// A simulation without any started member.
    fn empty(members: usize, seed: u64) -> Sim {
        Sim {
            now: Duration::from_secs(100),
            rng: oorandom::Rand64::new(u128::from(seed) * 7919 + 13),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            nodes: BTreeMap::new(),
            seeds: (0..members.min(3)).map(|index| addr(members - 1 - index)).collect(),
            incarnations: 0,
            cut_side: BTreeSet::new(),
            cut: false,
            isolated: BTreeSet::new(),
            isolated_since: Duration::ZERO,
            loss: 0.0,
            full_disk: BTreeSet::new(),
            slow_disk: BTreeSet::new(),
            hung_disk: BTreeMap::new(),
            calls: 0,
            open: BTreeMap::new(),
            tables: BTreeMap::new(),
            revision: 0,
            chosen: BTreeMap::new(),
            unconfirmed: Vec::new(),
            highest_acknowledged: 0,
            violation: None,
            last_holder: None,
            acknowledged: 0,
            superseded: 0,
            conflicts: 0,
            shown: 0,
            unavailable: 0,
            changes: 0,
            messages: 0,
            bytes: 0,
            stores: 0,
            next_fresh_address: 100,
            power_loss_armed: None,
            log: Vec::new(),
            links: Default::default(),
            clocks: Clocks::new(seed),
        }
    }

    pub fn random_below(&mut self, end: u64) -> u64 {
        self.rng.rand_range(0..end)
    }

    fn random_bool(&mut self, of: f64) -> bool {
        self.rng.rand_float() < of
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((self.now + delay, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn record_violation(&mut self, what: String) {
        if self.violation.is_none() {
            self.violation = Some(format!("at {:?}: {what}", self.now));
        }
    }

    fn boot(&mut self, at: SocketAddr, initial: bool) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let disk = self.nodes.get(&at).map(|node| node.disk.clone()).unwrap_or_default();
        let seed = self.rng.rand_u64();
        let mut seeds = self.seeds.clone();
        if !initial {
            // The operator's current list of members, some of which may be down.
            seeds = self.nodes.keys().copied().collect();
            while seeds.len() > 3 {
                let index = self.random_below(seeds.len() as u64) as usize;
                seeds.remove(index);
            }
        }
        let settings = MemberSettings { me: at, seeds, initial, seed, incarnation };
        let clock = self.clocks.next();
        let store = ControlStore::new(settings, disk.clone(), clock.read(self.now));
        let node = Node { store: Some(store), disk, incarnation, frozen: false, served: (0, 0), clock };
        self.nodes.insert(at, node);
    }

    fn stop(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        node.store = None;
        let incarnation = node.incarnation;
        // Writes in progress may or may not have reached the disk.
        let mut writes = Vec::new();
        for (seq, event) in &self.events {
            if let Event::Stored { at: of_node, incarnation: of, what, .. } = event {
                if *of_node == at && *of == incarnation {
                    writes.push((*seq, what.clone()));
                }
            }
        }
        for (seq, what) in writes {
            self.events.remove(&seq);
            if self.random_bool(0.5) {
                self.write(at, what);
            } else {
                break;
            }
        }
        self.open.retain(|_, call| call.at != at);
    }

    fn write(&mut self, at: SocketAddr, what: Stored) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        match what {
            Stored::Configuration(configuration) => {
                if node.disk.configuration.as_ref().is_none_or(|old| old.version() < configuration.version())
                {
                    node.disk.configuration = Some(configuration);
                }
            }
            Stored::Voters(voters) => {
                if node.disk.voters.as_ref().is_none_or(|old| old.table_version() < voters.table_version()) {
                    node.disk.voters = Some(voters);
                }
            }
            Stored::Promise(ballot) => node.disk.promised = node.disk.promised.max(ballot),
            Stored::LeaseNumber(number) => node.disk.lease_number = node.disk.lease_number.max(number),
        }
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.links.cut.contains(&(from, to))
            || self.cut && self.cut_side.contains(&from) != self.cut_side.contains(&to)
    }

    /// Cuts all links between the members of `cut_side` and the rest.
    fn cut_off(&mut self) {
        self.cut = true;
        self.isolated_since = self.now;
        let voters = self.voters();
        let majority = voters.len() / 2 + 1;
        let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        let reachable = |at: &SocketAddr| voters.iter().filter(|other| !self.is_cut(*at, **other)).count();
        self.isolated = all.into_iter().filter(|at| reachable(at) < majority).collect();
    }

    fn drain_actions(&mut self, at: SocketAddr) {
        loop {
            let Some(node) = self.nodes.get_mut(&at) else { return };
            let incarnation = node.incarnation;
            let Some(store) = &mut node.store else { return };
            let Some(action) = store.next() else { break };
            match action {
                Action::Send { to, envelope } => {
                    self.messages += 1;
                    let bytes = postcard::to_allocvec(&envelope).expect("a message");
                    self.bytes += bytes.len() as u64;
                    let envelope: Envelope = postcard::from_bytes(&bytes).expect("a message");
                    let envelope = self.corrupt_piece(envelope);
                    if self.is_cut(at, to) || (self.loss > 0.0 && self.random_bool(self.loss)) {
                        continue;
                    }
                    let copies = 1 + u64::from(self.random_bool(0.01));
                    for _ in 0..copies {
                        let mut delay = Duration::from_micros(200 + self.random_below(11_800));
                        if self.random_bool(0.01) {
                            delay += MS * self.random_below(300) as u32;
                        }
                        delay += self.links.carry(self.now, at, to, bytes.len());
                        self.schedule(
                            delay,
                            Event::Deliver { to, from: at, envelope: Box::new(envelope.clone()) },
                        );
                    }
                }
                Action::Store { token, what } => {
                    self.stores += 1;
                    let mut delay = MS * (1 + self.random_below(8)) as u32;
                    if self.slow_disk.contains(&at) {
                        delay += MS * self.random_below(1500) as u32;
                    }
                    // Writes complete in order, after those already in progress.
                    let last = self.heap.iter().filter(|Reverse((_, seq))| {
                        matches!(self.events.get(seq), Some(Event::Stored { at: node, .. }) if *node == at)
                    });
                    if let Some(until) = last.map(|Reverse((until, _))| *until).max() {
                        delay = delay.max(until.saturating_sub(self.now) + MS);
                    }
                    self.schedule(delay, Event::Stored { at, incarnation, token, what });
                }
                Action::Answer { call, outcome } => self.handle_answer(call, outcome),
            }
        }
        self.check_invariants(at);
    }

    fn handle_answer(&mut self, call: u64, outcome: Outcome) {
        let Some(Call { at, number, digest, show, sent_at }) = self.open.remove(&call) else {
            return self.record_violation(format!("call {call} answered twice"));
        };
        if self.now > sent_at + self.clocks.longest(ANSWER_TIMEOUT) {
            self.record_violation(format!("call {call} answered after {:?}", self.now - sent_at));
        }
        let states_nothing = matches!(outcome, Outcome::Unavailable { .. } | Outcome::Redirect(_));
        if self.cut && self.isolated.contains(&at) && sent_at > self.isolated_since && !states_nothing {
            self.record_violation(format!("{at} is cut off from every majority and answers {outcome:?}"));
        }
        match (show, outcome) {
            (false, Outcome::Acknowledged) => {
                self.acknowledged += 1;
                self.highest_acknowledged = self.highest_acknowledged.max(number);
                self.is_chosen("acknowledged", number, digest);
                if let Some(wipe) = self.power_loss_armed.take() {
                    let wiped = self.random_node().filter(|_| wipe);
                    self.schedule(Duration::ZERO, Event::PowerLoss { wiped });
                }
            }
            (true, Outcome::Found(configuration)) => {
                self.shown += 1;
                if configuration.revision < number {
                    self.record_violation(format!(
                        "shows {}, acknowledged was {number}",
                        configuration.revision
                    ));
                }
                let mut texts = (0..MAX_AUTHORS).map(|author| text(configuration.revision, author));
                if !texts.any(|text| *text == *configuration.text) {
                    self.record_violation(format!("shows another text under {}", configuration.revision));
                }
                self.is_chosen("shown", configuration.revision, configuration.digest);
            }
            (false, Outcome::Superseded(version)) => {
                self.superseded += 1;
                if version.revision <= number {
                    self.record_violation(format!("{number} superseded by {version:?}"));
                }
                self.is_chosen("superseding", version.revision, version.digest);
            }
            (false, Outcome::Conflict(version)) => {
                self.conflicts += 1;
                if version.revision != number || version.digest == digest {
                    self.record_violation(format!("{number} with {digest:x} in conflict with {version:?}"));
                }
                self.is_chosen("conflicting", version.revision, version.digest);
            }
            (true, Outcome::Empty) => {
                if number > 0 {
                    self.record_violation(format!("shows nothing, acknowledged was {number}"));
                }
            }
            (_, Outcome::Unavailable { .. } | Outcome::Redirect(_)) => self.unavailable += 1,
            (_, outcome) => self.record_violation(format!("answers {outcome:?}")),
        }
    }

    /// Checks that one revision has one text, at all members and at all times.
    fn is_chosen(&mut self, what: &str, revision: u64, digest: u64) {
        let first = *self.chosen.entry(revision).or_insert(digest);
        if first != digest {
            self.record_violation(format!("two texts under {revision}: {digest:x} {what}, before {first:x}"));
        }
    }

    fn check_invariants(&mut self, at: SocketAddr) {
        let now = self.now;
        let holders: Vec<(SocketAddr, u64)> = (self.nodes.iter())
            .filter(|(_, node)| !node.frozen)
            .filter_map(|(at, node)| Some((*at, node.lease_number(now)?)))
            .collect();
        if holders.len() > 1 {
            self.record_violation(format!("holders: {holders:?}"));
        }
        if let Some(holder) = holders.first() {
            if self.last_holder != Some(*holder) {
                if self.last_holder.is_some_and(|last| last.1 >= holder.1) {
                    self.record_violation(format!("holder {holder:?} after {:?}", self.last_holder));
                }
                self.last_holder = Some(*holder);
                self.changes += 1;
            }
        }
        if let Some(tables) = self.nodes.get(&at).and_then(|node| node.store.as_ref()?.tables.as_ref()) {
            let epoch = tables.base.epoch;
            let voters: Vec<SocketAddr> = tables.base.voters.iter().map(|voter| voter.at).collect();
            let first = self.tables.entry(epoch).or_insert_with(|| voters.clone());
            if epoch > 0 && *first != voters {
                let what = format!("two tables {epoch}: {first:?}, at {at} {voters:?}");
                self.record_violation(what);
            }
        }
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let Some(configuration) = node.store.as_ref().and_then(|store| store.committed()) else { return };
        let new = (configuration.revision, configuration.digest);
        let old = node.served;
        node.served = new;
        if new.0 < old.0 || (new.0 == old.0 && new.1 != old.1) {
            self.record_violation(format!("{at} serves {new:?} after {old:?}"));
        }
        self.is_chosen("served", new.0, new.1);
    }

    /// Runs the simulation until this time.
    pub fn run(&mut self, until: Duration) {
        while self.violation.is_none() {
            let due = (self.nodes.iter())
                .filter(|(_, node)| !node.frozen)
                .filter_map(|(at, node)| Some((node.next_due()?, *at)))
                .min();
            let event = self.heap.peek().map(|Reverse(top)| *top);
            let tick = due.filter(|(at, _)| event.is_none_or(|(when, _)| *at < when));
            let when = tick.map(|(at, _)| at).or(event.map(|(at, _)| at));
            let Some(when) = when.filter(|when| *when <= until) else { break };
            self.now = self.now.max(when);
            if let Some((_, at)) = tick {
                self.with_store(at, |store, now| store.tick(now));
                continue;
            }
            self.heap.pop();
            let Some(event) = event.and_then(|(_, seq)| self.events.remove(&seq)) else { continue };
            self.handle(event);
        }
        self.now = self.now.max(until);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { to, from, envelope } => {
                if self.is_cut(from, to) {
                    return;
                }
                let Some(node) = self.nodes.get_mut(&to) else { return };
                if node.frozen {
                    self.schedule(MS * 50, Event::Deliver { to, from, envelope });
                    return;
                }
                self.with_store(to, |store, now| store.receive(now, from, *envelope));
            }
            Event::Stored { at, incarnation, token, what } => {
                if let Some(until) = self.hung_disk.get(&at).filter(|until| now < **until) {
                    return self.schedule(*until - now, Event::Stored { at, incarnation, token, what });
                }
                let bad = self.full_disk.contains(&at);
                if !bad {
                    self.write(at, what);
                }
                if self.nodes.get(&at).is_some_and(|node| node.incarnation == incarnation) {
                    self.with_store(at, |store, now| store.stored(now, token, !bad));
                }
            }
            Event::Start { at, initial } => {
                self.boot(at, initial);
                self.drain_actions(at);
            }
            Event::Resume { at } => {
                if let Some(node) = self.nodes.get_mut(&at) {
                    node.frozen = false;
                }
                self.check_invariants(at);
            }
            Event::Heal => {
                self.cut = false;
                self.loss = 0.0;
            }
            Event::DiskRecovered => {
                self.full_disk.clear();
                self.slow_disk.clear();
                self.hung_disk.clear();
            }
            Event::PowerLoss { wiped } => {
                self.slow_disk.clear();
                self.log.push(format!("{now:?} power loss, wiped {wiped:?}"));
                let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
                for at in all {
                    let longest = if self.random_bool(0.3) { 4000 } else { 500 };
                    let down = 50 + self.random_below(longest);
                    self.crash(at, wiped == Some(at), down);
                }
            }
        }
    }

    fn random_node(&mut self) -> Option<SocketAddr> {
        let up: Vec<SocketAddr> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.store.is_some() && !node.frozen)
            .map(|(at, _)| *at)
            .collect();
        if up.is_empty() {
            return None;
        }
        let index = self.random_below(up.len() as u64) as usize;
        Some(up[index])
    }

    /// Sends a replace request: a new one, a repeated one to any member, an old one, or another text under an
    /// existing revision.
    pub fn replace(&mut self) -> Option<u64> {
        let at = self.random_node()?;
        let again = (!self.unconfirmed.is_empty() && self.random_bool(0.3))
            .then(|| self.random_below(self.unconfirmed.len() as u64) as usize)
            .map(|index| self.unconfirmed[index]);
        let author = self.random_below(AUTHORS);
        let (revision, author) = match again {
            Some(request) => request,
            None if self.random_bool(0.6) || self.revision == 0 => {
                self.revision += 1 + self.random_below(3);
                (self.revision, author)
            }
            None if self.random_bool(0.2) => (1 + self.random_below(self.revision), author),
            None => (self.revision, author),
        };
        self.replace_at(at, revision, author, true)
    }

    /// Sends a revision above all others: without faults, it has to be acknowledged.
    fn replace_with_new_revision(&mut self) -> Option<u64> {
        let at = self.random_node()?;
        self.revision += 1;
        let author = self.random_below(AUTHORS);
        self.replace_at(at, self.revision, author, true)
    }

    fn replace_at(
        &mut self,
        at: SocketAddr,
        revision: u64,
        author: u64,
        may_lose_answer: bool,
    ) -> Option<u64> {
        if !self.unconfirmed.contains(&(revision, author)) {
            self.unconfirmed.push((revision, author));
        }
        if self.unconfirmed.len() > 4 {
            self.unconfirmed.remove(0);
        }
        self.calls += 1;
        let (call, now) = (self.calls, self.now);
        let text = text(revision, author);
        let digest = crate::digest(&text);
        self.open.insert(call, Call { at, number: revision, digest, show: false, sent_at: now });
        self.with_store(at, |store, now| store.replace(now, call, revision, text))?;
        // The answer is lost: the operator sends the request again, to any member.
        if may_lose_answer && self.random_bool(0.1) {
            if let Some(other) = self.random_node() {
                self.replace_at(other, revision, author, true);
            }
        }
        Some(call)
    }

    pub fn show(&mut self) -> Option<u64> {
        let at = self.random_node()?;
        self.calls += 1;
        let (call, now) = (self.calls, self.now);
        self.open.insert(
            call,
            Call { at, number: self.highest_acknowledged, digest: 0, show: true, sent_at: now },
        );
        self.with_store(at, |store, now| store.show(now, call))?;
        Some(call)
    }

    fn holder(&self) -> Option<SocketAddr> {
        let now = self.now;
        (self.nodes.iter()).find(|(_, node)| node.lease_number(now).is_some()).map(|(at, _)| *at)
    }

    fn voters(&self) -> Vec<SocketAddr> {
        let newest = (self.nodes.values())
            .filter_map(|node| node.store.as_ref())
            .max_by_key(|store| store.table_version());
        newest.map_or(Vec::new(), |store| store.members())
    }

    fn crash(&mut self, at: SocketAddr, wipe: bool, down_ms: u64) {
        self.stop(at);
        if let Some(node) = self.nodes.get_mut(&at) {
            if wipe {
                node.disk = DiskState::default();
            }
            node.frozen = false;
            self.schedule(MS * down_ms as u32, Event::Start { at, initial: false });
        }
    }

    fn freeze(&mut self, at: SocketAddr, ms: u64) {
        if let Some(node) = self.nodes.get_mut(&at) {
            node.frozen = true;
        }
        for call in self.open.values_mut().filter(|call| call.at == at) {
            call.sent_at += MS * ms as u32 * 2; // The member does not run meanwhile, and messages to it wait.
        }
        self.schedule(MS * ms as u32, Event::Resume { at });
    }

    /// Injects one fault that the system has to tolerate. Returns the maximum time until service is restored.
    pub fn inject_fault(&mut self) -> u64 {
        let Some(at) = self.random_node() else { return 1000 };
        let fault = self.random_below(11);
        self.log.push(format!("{:?} fault {fault} {at}", self.now));
        match fault {
            0 => {
                let down = 50 + self.random_below(4000);
                self.crash(at, false, down);
                down + 2000
            }
            1 => {
                // All members at once, back within a second.
                let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
                for at in all {
                    let down = 50 + self.random_below(900);
                    self.crash(at, false, down);
                }
                5000
            }
            2 => {
                let down = 50 + self.random_below(2500);
                self.crash(at, true, down);
                down + 6000
            }
            3 => {
                // One disk is lost while all other members lose power.
                let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
                for other in all {
                    let down = 50 + self.random_below(900);
                    self.crash(other, other == at, down);
                }
                7000
            }
            4 => {
                // The member is lost permanently, and another takes its place.
                self.stop(at);
                self.nodes.remove(&at);
                self.next_fresh_address += 1;
                let (new, delay) = (addr(self.next_fresh_address), self.random_below(1500));
                self.schedule(MS * delay as u32, Event::Start { at: new, initial: false });
                10_000
            }
            5 => {
                let span = 500 + self.random_below(5000);
                self.cut_side = BTreeSet::new();
                let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
                for at in all {
                    if self.random_bool(0.5) {
                        self.cut_side.insert(at);
                    }
                }
                self.cut_off();
                self.schedule(MS * span as u32, Event::Heal);
                span + 3000
            }
            6 => {
                let span = 200 + self.random_below(3500);
                self.freeze(at, span);
                span + 2000
            }
            7 => {
                let span = 500 + self.random_below(4000);
                self.loss = 0.05 + self.rng.rand_float() * 0.4;
                self.schedule(MS * span as u32, Event::Heal);
                span + 2000
            }
            8 | 9 => {
                self.power_loss_armed = Some(fault == 8);
                if self.random_bool(0.5) {
                    self.loss = 0.3;
                    self.schedule(MS * 1500, Event::Heal);
                } else {
                    // Slow enough that acknowledgements do not wait for them.
                    let all: Vec<SocketAddr> = self.nodes.keys().copied().collect();
                    for at in all {
                        if self.random_bool(0.5) {
                            self.slow_disk.insert(at);
                        }
                    }
                    self.schedule(MS * 4000, Event::DiskRecovered);
                }
                9000
            }
            _ => {
                let span = 500 + self.random_below(4000);
                self.full_disk.insert(at);
                self.schedule(MS * span as u32, Event::DiskRecovered);
                span + 2000
            }
        }
    }

    /// Waits until all members have recovered their state from the others: only then may another disk be
    /// lost.
    pub fn wait_for_recovery(&mut self) {
        let end = self.now + self.clocks.longest(MS * 8000);
        let loses = |node: &Node| node.store.as_ref().is_none_or(|store| store.joining());
        while self.nodes.values().any(loses) && self.violation.is_none() {
            if self.now >= end {
                return self
                    .record_violation("a member that lost its disk is not active again in 8 s".to_string());
            }
            self.run(self.now + MS * 50);
        }
    }

    /// Simulates operators for this long.
    pub fn run_operators(&mut self, ms: u64) {
        let end = self.now + MS * ms as u32;
        while self.now < end && self.violation.is_none() {
            let pause = MS * (20 + self.random_below(500)) as u32;
            let next = (self.now + pause).min(end);
            self.run(next);
            self.check_unanswered();
            match self.random_below(3) {
                0 => self.show(),
                _ => self.replace(),
            };
        }
    }

    fn check_unanswered(&mut self) {
        let (now, handle_answer) = (self.now, self.clocks.longest(ANSWER_TIMEOUT));
        if let Some(id) =
            self.open.iter().find(|(_, call)| now > call.sent_at + handle_answer).map(|(id, _)| *id)
        {
            self.record_violation(format!("call {id} is not answered"));
        }
    }

    /// Without faults, for a while: configurations are acknowledged, there is a lease holder, and
    /// acknowledged configurations are shown.
    pub fn check_progress(&mut self) {
        for _ in 0..6 {
            self.run(self.now + self.clocks.longest(MS * 500));
            if self.holder().is_some() {
                break;
            }
        }
        if self.violation.is_none() && self.holder().is_none() {
            let all: Vec<String> = (self.nodes.iter())
                .map(|(at, node)| {
                    format!("{at} {}", node.store.as_ref().map_or(String::new(), |store| store.describe()))
                })
                .collect();
            self.record_violation(format!("no holder: {all:#?}"));
        }
        for show in [false, true] {
            let done = (self.acknowledged, self.shown);
            let end = self.now + self.clocks.longest(MS * 3000);
            while self.now < end && self.violation.is_none() {
                if self.open.is_empty() {
                    if show {
                        self.show();
                    } else {
                        self.replace_with_new_revision();
                    }
                }
                self.run(self.now + MS * 50);
                if (show && self.shown > done.1) || (!show && self.acknowledged > done.0) {
                    break;
                }
            }
            if self.violation.is_none() && done == (self.acknowledged, self.shown) {
                let all: Vec<String> = (self.nodes.iter())
                    .map(|(at, node)| {
                        format!(
                            "{at} {}",
                            node.store.as_ref().map_or(String::new(), |store| store.describe())
                        )
                    })
                    .collect();
                self.record_violation(format!(
                    "{} in 3 s: {all:#?}",
                    if show { "nothing shown" } else { "nothing committed" }
                ));
            }
        }
    }

    pub fn simulate(members: usize, seed: u64, faults: usize) -> Sim {
        let mut sim = Sim::new(members, seed);
        sim.run(sim.now + MS * 3500);
        sim.check_progress();
        for _ in 0..faults {
            let span = sim.inject_fault();
            sim.run_operators(span);
            sim.power_loss_armed = None;
            sim.check_progress();
            sim.wait_for_recovery();
            if sim.violation.is_some() {
                break;
            }
        }
        sim
    }
}

/// The environment variable CONTROL_STORE_SEEDS sets another number of seeds, such as 5000.
fn seeds(default_count: u64) -> u64 {
    std::env::var("CONTROL_STORE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default_count)
}

fn simulate_all(members: usize, seeds: std::ops::Range<u64>) {
    let mut sum = [0; 6];
    for seed in seeds {
        let sim = Sim::simulate(members, seed, 6);
        assert_eq!(sim.violation, None, "{members} members, seed {seed}: {:#?}", sim.log);
        let all = [sim.acknowledged, sim.superseded, sim.conflicts, sim.shown, sim.unavailable, sim.changes];
        sum.iter_mut().zip(all).for_each(|(sum, more)| *sum += more);
    }
    println!(
        "{members} members: acknowledged, superseded, conflicts, shown, unavailable, holder changes {sum:?}"
    );
}

#[rstest::rstest]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(7)]
#[case(9)]
fn no_acknowledged_configuration_is_lost_under_faults(#[case] members: usize) {
    simulate_all(members, 0..seeds(100));
}

/// Whether the violation is a wrong statement; a missing answer or a member that does not return is not
/// sufficient to detect a defect.
fn is_wrong_statement(violation: &str) -> bool {
    !["in 3 s", "no holder", "in 8 s"].iter().any(|silence| violation.contains(silence))
}

#[rstest::rstest]
#[case(Defect::HalfIsQuorum)]
#[case(Defect::CountsWithEmptyDisk)]
#[case(Defect::LeaseTermFromGrantArrival)]
#[case(Defect::ShowsLocalCopy)]
#[case(Defect::IgnoresAcceptedVersions)]
#[case(Defect::ConfirmsWithoutMajority)]
fn injected_defect_is_detected(#[case] defect: Defect) {
    crate::defects::INJECTED.set(Some(defect));
    let found = (0..1000).find_map(|seed| {
        let sim = Sim::simulate(3 + 2 * (seed as usize % 2), seed, 6);
        sim.violation.filter(|violation| is_wrong_statement(violation)).map(|violation| (seed, violation))
    });
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:?}");
    assert!(found.is_some(), "{defect:?}");
}

#[test]
fn a_single_seed_bootstraps_alone() {
    let mut sim = Sim::new(1, 1);
    sim.run(sim.now + MS * 2500);
    sim.check_progress();
    assert_eq!(sim.violation, None);
    assert_eq!(sim.voters(), vec![addr(0)]);
}

#[test]
fn idle_message_rate_is_bounded() {
    for members in [3, 9] {
        let mut sim = Sim::new(members, 1);
        sim.run(sim.now + MS * 8000);
        let before = (sim.messages, sim.bytes);
        sim.run(sim.now + MS * 10_000);
        let rate = (sim.messages - before.0) as f64 / 10.0 / members as f64;
        let bytes = (sim.bytes - before.1) as f64 / 10.0 / members as f64;
        println!("{members} members: {rate:.1} messages, {bytes:.0} bytes a second from each");
        assert!(rate < 16.0);
    }
}

#[test]
fn configuration_survives_serialization() {
    let configuration = Configuration::new(7, text(7, 0));
    let bytes = postcard::to_allocvec(&configuration).expect("bytes");
    assert_eq!(postcard::from_bytes::<Configuration>(&bytes).expect("a configuration"), configuration);
}

#[test]
fn permanently_lost_machines_are_replaced() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed);
        sim.run(sim.now + MS * 4000);
        sim.check_progress();
        let gone = addr(seed as usize % 3);
        sim.stop(gone);
        sim.nodes.remove(&gone);
        sim.schedule(MS * 500, Event::Start { at: addr(50), initial: false });
        sim.run_operators(8000);
        assert_eq!(sim.violation, None, "seed {seed}");
        let voters: BTreeSet<SocketAddr> = sim.voters().into_iter().collect();
        assert!(
            voters.len() == 3 && voters.contains(&addr(50)) && !voters.contains(&gone),
            "{seed}: {voters:?}"
        );
        // The other two of the first three are lost as well, one after the other.
        for (index, gone) in
            (0..3).map(addr).filter(|at| *at != gone).collect::<Vec<_>>().into_iter().enumerate()
        {
            sim.stop(gone);
            sim.nodes.remove(&gone);
            sim.schedule(MS * 500, Event::Start { at: addr(51 + index), initial: false });
            sim.run_operators(8000);
            sim.check_progress();
            assert_eq!(sim.violation, None, "seed {seed}");
            assert!(!sim.voters().contains(&gone));
        }
    }
}

#[test]
fn an_observer_becomes_a_voter_after_a_delay() {
    let mut sim = Sim::new(3, 1);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    sim.boot(addr(50), false);
    sim.run_operators(8000);
    assert_eq!(sim.voters().len(), 3);
    sim.run_operators(6000);
    sim.check_progress();
    assert_eq!(sim.violation, None);
    assert_eq!(sim.voters().len(), 4);
    let all = sim.nodes.values().filter_map(|node| node.store.as_ref());
    assert!(all.into_iter().all(|store| store.ready() && store.is_voting()));
}

#[test]
fn a_leaving_holder_gives_up_the_lease_at_once() {
    let mut sim = Sim::new(3, 1);
    sim.run(sim.now + MS * 4000);
    let holder = sim.holder().expect("a holder");
    sim.with_store(holder, |store, now| store.leave(now)).expect("running");
    assert_eq!(sim.holder(), None);
    sim.run(sim.now + MS * 500);
    assert!(sim.holder().is_some_and(|new| new != holder));
}
