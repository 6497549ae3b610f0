//! Simulates a group of members with message loss, duplication, delay, partitions, crashes and pauses, and
//! checks after every step that the guarantees hold. It observes members only through their durable state,
//! messages and service status. Used by the crate's tests and by `examples/orders.rs`.

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::hash::{Hash, Hasher};
use std::time::Duration;
use tindock_policy_consensus::{
    Ballot, CheckedProposal, Chosen, Digest, DurableState, Id, Member, Members, Message, Outcome,
    ServiceStatus, Timing,
};

pub const MS: Duration = Duration::from_millis(1);
pub const TIMING: Timing = Timing { lease: Duration::from_secs(6), response_timeout: Duration::from_secs(2) };
/// Longest time for which a member may serve under an older number after a newer one was decided.
const MAX_STALE_SERVICE: Duration = Duration::from_millis(6_120);

pub fn digest(of: u64) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&of.to_le_bytes());
    Digest(bytes)
}

/// Members with these ids, of which the first `voters` are voters.
pub fn members(all: impl IntoIterator<Item = Id>, voters: usize) -> Members {
    let all: BTreeSet<Id> = all.into_iter().collect();
    Members { voters: all.iter().copied().take(voters).collect(), all }
}

/// The global history, which no single member can know.
#[derive(Clone, Debug, Default, Hash)]
struct GroundTruth {
    accepted: BTreeMap<(u64, Ballot, Digest), BTreeSet<Id>>,
    chosen: BTreeMap<u64, (Digest, Duration)>,
    staged: BTreeSet<(Id, Digest)>,
    last: BTreeMap<Id, u64>,
    voters: BTreeMap<u64, BTreeSet<Id>>,
}

#[derive(Clone, Hash)]
struct Node {
    member: Option<Member>,
    disk: DurableState,
    /// Its clock rate relative to true time, in millionths.
    rate: u64,
}

impl Node {
    fn clock(&self, now: Duration) -> Duration {
        Duration::from_nanos((now.as_nanos() as u64 / 1_000_000).wrapping_mul(self.rate))
    }
}

/// Defects of the host, in addition to those of the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Host {
    Correct,
    /// Sends messages before the state they depend on is synced: a crash loses the last write.
    SendsBeforeSync,
    /// A member that lost its folder continues under the same id.
    ReusesIdAfterDataLoss,
    /// Clock rates differ by more than the allowed 1%.
    ExcessiveClockDrift,
}

#[derive(Clone)]
pub struct World {
    nodes: BTreeMap<Id, Node>,
    texts: BTreeMap<Digest, CheckedProposal>,
    ineligible: BTreeSet<(Id, Digest)>,
    in_flight: Vec<(Id, Id, Message)>,
    now: Duration,
    ground_truth: GroundTruth,
    host: Host,
    starts: u64,
    /// Whether each step is printed to standard error.
    trace: bool,
    previous_disk: BTreeMap<Id, DurableState>,
    pub violation: Option<String>,
}

impl World {
    /// An idle group that has decided number 1; `outside` more schedulers are not members yet.
    pub fn founded(all: usize, outside: usize, voters: usize, host: Host) -> World {
        let first = members(1..=all as Id, voters);
        let mut world = World::empty(host);
        let chosen = Chosen { number: 1, digest: digest(1) };
        world
            .texts
            .insert(digest(1), CheckedProposal { number: 1, members: first.clone(), eligibility: Ok(()) });
        world.ground_truth.chosen.insert(1, (digest(1), Duration::ZERO));
        world.ground_truth.voters.insert(1, first.voters);
        for id in 1..=(all + outside) as Id {
            let mut disk = DurableState::new(id);
            if id <= all as Id {
                (disk.decided, disk.history) = (chosen, vec![chosen]);
            }
            world.nodes.insert(id, Node { member: None, disk, rate: 1_000_000 });
            world.start(id, true);
        }
        world
    }

    fn empty(host: Host) -> World {
        World {
            nodes: BTreeMap::new(),
            texts: BTreeMap::new(),
            ineligible: BTreeSet::new(),
            in_flight: Vec::new(),
            now: Duration::ZERO,
            ground_truth: GroundTruth::default(),
            host,
            starts: 0,
            trace: false,
            previous_disk: BTreeMap::new(),
            violation: None,
        }
    }

    /// A group that has decided nothing yet.
    pub fn unfounded(all: usize, host: Host) -> World {
        let mut world = World::empty(host);
        for id in 1..=all as Id {
            world.nodes.insert(id, Node { member: None, disk: DurableState::new(id), rate: 1_000_000 });
            world.start(id, true);
        }
        world
    }

    fn checked_proposal(&self, id: Id, digest: Digest) -> Option<CheckedProposal> {
        let mut checked_proposal = self.texts.get(&digest)?.clone();
        if self.ineligible.contains(&(id, digest)) {
            checked_proposal.eligibility = Err("another program".into());
        }
        Some(checked_proposal)
    }

    fn start(&mut self, id: Id, fresh: bool) {
        self.trace_step(|| format!("{id} starts"));
        let Some(node) = self.nodes.get(&id) else { return };
        let (disk, clock) = (node.disk.clone(), node.clock(self.now));
        let known = disk
            .active_digests()
            .into_iter()
            .filter_map(|d| Some((d, self.checked_proposal(id, d)?)))
            .collect();
        self.starts += 1;
        let member = Member::new(TIMING, disk, known, fresh, id ^ (self.starts << 32), clock);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.member = Some(member);
        }
        self.apply_input(id, |_, _| ());
    }

    fn crash(&mut self, id: Id) {
        self.trace_step(|| format!("{id} crashes"));
        if let Some(node) = self.nodes.get_mut(&id) {
            if self.host == Host::SendsBeforeSync {
                if let Some(previous_disk) = self.previous_disk.get(&id) {
                    node.disk = previous_disk.clone();
                }
            }
            if self.host == Host::ReusesIdAfterDataLoss && node.disk.decided.number > 0 {
                let (id, decided, history) = (node.disk.id, node.disk.decided, node.disk.history.clone());
                node.disk = DurableState { id, decided, history, ..DurableState::default() };
            }
            node.member = None;
        }
    }

    /// Applies an input to one member, persists its state, puts its messages in flight and checks the
    /// invariants.
    fn apply_input(&mut self, id: Id, input: impl FnOnce(&mut Member, Duration)) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let clock = node.clock(self.now);
        let Some(member) = &mut node.member else { return };
        input(member, clock);
        loop {
            let requests = member.take_text_requests();
            if requests.is_empty() {
                break;
            }
            for (digest, _) in requests {
                let mut checked_proposal = self.texts[&digest].clone();
                if self.ineligible.contains(&(id, digest)) {
                    checked_proposal.eligibility = Err("another program".into());
                }
                member.text_available(clock, digest, checked_proposal);
            }
        }
        if node.disk != *member.durable_state() {
            self.previous_disk.insert(id, std::mem::replace(&mut node.disk, member.durable_state().clone()));
        }
        let messages = member.take_messages();
        self.in_flight.extend(messages.into_iter().map(|(to, message)| (id, to, message)));
        self.check_node(id);
    }

    /// The number under which a running member serves now, if any.
    fn serving_number(&self, id: Id) -> Option<u64> {
        let node = &self.nodes[&id];
        let clock = node.clock(self.now);
        // Queries the member with its own clock, as a member may count its lease wrongly.
        match node.member.as_ref()?.service_status(clock) {
            ServiceStatus::Allowed(number) => Some(number),
            ServiceStatus::Denied(_) => None,
        }
    }

    fn report_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    fn check_node(&mut self, id: Id) {
        let disk = self.nodes[&id].disk.clone();
        if let Some((_, digest)) = disk.staged {
            self.ground_truth.staged.insert((id, digest));
        }
        let number = disk.decided.number;
        if let Some((ballot, digest)) = disk.accepted {
            let of = (number + 1, ballot, digest);
            if self.ground_truth.accepted.entry(of).or_default().insert(id) {
                self.check_decision(of);
            }
        }
        // A proposer may complete the majority with its own vote: it has then applied the decision before it
        // persisted the vote.
        let own = |(of, ballot, text): &(u64, Ballot, Digest)| {
            (*of, ballot.by, *text) == (number, id, disk.decided.digest)
        };
        if !self.ground_truth.chosen.contains_key(&number) {
            if let Some(of) = self.ground_truth.accepted.keys().copied().find(own) {
                self.ground_truth.accepted.entry(of).or_default().insert(id);
                self.check_decision(of);
            }
        }
        // There is one history, and it is never rolled back.
        let last = self.ground_truth.last.insert(id, number).unwrap_or_default();
        if number < last {
            self.report_violation(format!("{id} rolled back from number {last} to {number}"));
        }
        if number > 0
            && self.ground_truth.chosen.get(&number).map(|(known, _)| *known) != Some(disk.decided.digest)
        {
            self.report_violation(format!(
                "{id} has number {number} as {:?}, which was not decided",
                disk.decided.digest
            ));
        }
        self.check_service(id);
    }

    /// No member serves under an old number after a newer one takes effect.
    fn check_service(&mut self, id: Id) {
        let Some(number) = self.serving_number(id) else { return };
        let newer = self.ground_truth.chosen.range(number + 1..).next().map(|(newer, (_, at))| (*newer, *at));
        if let Some((newer, at)) = newer.filter(|(_, at)| self.now > *at + MAX_STALE_SERVICE) {
            let since = self.now - at;
            self.report_violation(format!("{id} serves under {number}, {since:?} after {newer} was decided"));
        }
    }

    /// Detects the step in which a majority has accepted.
    fn check_decision(&mut self, of: (u64, Ballot, Digest)) {
        let (number, _, digest) = of;
        let first = || self.texts[&digest].members.voters.clone();
        let voters = self.ground_truth.voters.get(&(number - 1)).cloned().unwrap_or_else(first);
        let accepted = self.ground_truth.accepted[&of].intersection(&voters).count();
        if accepted <= voters.len() / 2 {
            return;
        }
        if let Some((known, _)) = self.ground_truth.chosen.get(&number) {
            if *known != digest {
                self.report_violation(format!(
                    "number {number} was decided twice, as {known:?} and {digest:?}"
                ));
            }
            return;
        }
        self.ground_truth.chosen.insert(number, (digest, self.now));
        self.ground_truth.voters.insert(number, self.texts[&digest].members.voters.clone());
        // No member may serve under the previous number without having staged this one.
        let ids: Vec<Id> = self.nodes.keys().copied().collect();
        for id in ids {
            let ineligible = self.ineligible.contains(&(id, digest));
            let staged = self.ground_truth.staged.contains(&(id, digest)) && !ineligible;
            if let Some(under) = self.serving_number(id).filter(|under| *under + 1 == number && !staged) {
                self.report_violation(format!(
                    "number {number} was decided while {id} served under {under}, without having staged it"
                ));
            }
        }
    }

    /// Drafts a text for the number after the one that `by` knows.
    fn draft(&mut self, by: Id, of: u64, members: Members) -> Digest {
        let number = self.nodes[&by].disk.decided.number + 1;
        let name = digest(of);
        self.texts.insert(name, CheckedProposal { number, members, eligibility: Ok(()) });
        name
    }

    fn propose(&mut self, by: Id, text: Digest) {
        let Some(checked_proposal) = self.checked_proposal(by, text) else { return };
        self.apply_input(by, |member, now| {
            member.text_available(now, text, checked_proposal);
            // A rejection because another proposal is under way is a valid answer, too.
            let _ = member.propose(now, text);
        });
    }

    fn trace_step(&self, what: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:?} {}", self.now, what());
        }
    }

    fn deliver(&mut self, (from, to, message): (Id, Id, Message)) {
        self.trace_step(|| format!("{from} to {to}: {message:?}"));
        self.apply_input(to, |member, now| member.receive(now, from, message));
    }

    fn fingerprint(&self, budget: &Budget) -> u64 {
        let mut hasher = DefaultHasher::new();
        let mut in_flight: Vec<u64> = self
            .in_flight
            .iter()
            .map(|one| {
                let mut one_hasher = DefaultHasher::new();
                one.hash(&mut one_hasher);
                one_hasher.finish()
            })
            .collect();
        in_flight.sort_unstable();
        (&self.nodes, in_flight, self.now, &self.ground_truth, budget).hash(&mut hasher);
        hasher.finish()
    }
}

/// The faults and time steps that an exploration may still use.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Budget {
    pub duplicates: u8,
    pub crashes: u8,
    pub time_steps: u8,
}

/// Explores all orders of events from a start state, to a depth. A message that is never delivered counts as
/// lost.
pub struct Exploration {
    pub states: u64,
    seen: HashMap<u64, u8>,
    max_states: u64,
}

impl Exploration {
    pub fn new(max_states: u64) -> Self {
        Exploration { states: 0, seen: HashMap::new(), max_states }
    }

    /// The first violation, with the steps that led to it.
    pub fn explore(&mut self, world: &World, budget: Budget, depth: u8) -> Option<String> {
        if let Some(violation) = &world.violation {
            return Some(violation.clone());
        }
        if depth == 0 || self.states >= self.max_states {
            return None;
        }
        let known = self.seen.entry(world.fingerprint(&budget)).or_default();
        if *known >= depth {
            return None;
        }
        *known = depth;
        self.states += 1;
        let mut tried = BTreeSet::new();
        for at in 0..world.in_flight.len() {
            let one = &world.in_flight[at];
            let mut hasher = DefaultHasher::new();
            one.hash(&mut hasher);
            if !tried.insert(hasher.finish()) {
                continue;
            }
            for duplicated in [false, true] {
                if duplicated && budget.duplicates == 0 {
                    continue;
                }
                let mut next = world.clone();
                let one =
                    if duplicated { next.in_flight[at].clone() } else { next.in_flight.swap_remove(at) };
                let step_text = format!("{} to {}: {:?}", one.0, one.1, one.2);
                next.deliver(one);
                let budget = Budget { duplicates: budget.duplicates - u8::from(duplicated), ..budget };
                if let Some(violation) = self.explore(&next, budget, depth - 1) {
                    return Some(format!("{step_text}\n{violation}"));
                }
            }
        }
        let alive: Vec<Id> = world.nodes.keys().copied().collect();
        for &id in &alive {
            let up = world.nodes[&id].member.is_some();
            if up && budget.crashes == 0 {
                continue;
            }
            let mut next = world.clone();
            match up {
                true => next.crash(id),
                false => next.start(id, false),
            }
            let budget = Budget { crashes: budget.crashes - u8::from(up), ..budget };
            if let Some(violation) = self.explore(&next, budget, depth - 1) {
                return Some(format!("{id} {}\n{violation}", if up { "crashes" } else { "starts" }));
            }
        }
        if budget.time_steps > 0 {
            let due = world.nodes.values().filter_map(|n| n.member.as_ref()).map(Member::next_tick).min();
            if let Some(due) = due.filter(|due| *due < Duration::MAX) {
                let mut next = world.clone();
                next.now = next.now.max(due);
                for &id in &alive {
                    next.apply_input(id, |member, now| {
                        if member.next_tick() <= now {
                            member.tick(now);
                        }
                    });
                    next.check_service(id);
                }
                let budget = Budget { time_steps: budget.time_steps - 1, ..budget };
                if let Some(violation) = self.explore(&next, budget, depth - 1) {
                    return Some(format!("time advances to {due:?}\n{violation}"));
                }
            }
        }
        None
    }
}

/// Delivers in-flight messages that match, until none is left.
fn deliver_while(world: &mut World, matches: impl Fn(&(Id, Id, Message)) -> bool) {
    while let Some(at) = world.in_flight.iter().position(&matches) {
        let one = world.in_flight.remove(at);
        world.deliver(one);
    }
}

/// Advances time for one member, which ticks when due; only the messages of its last tick stay in flight.
fn advance_member(world: &mut World, id: Id, span: Duration) {
    let end = world.now + span;
    while let Some(due) = world.nodes[&id].member.as_ref().map(Member::next_tick).filter(|due| *due <= end) {
        world.now = world.now.max(due);
        world.in_flight.clear();
        world.apply_input(id, |member, now| member.tick(now));
    }
    world.now = end;
}

/// An idle group of three members, and intermediate states of two proposals, from which all orders are
/// explored.
pub fn start_states(host: Host) -> Vec<(&'static str, World)> {
    let rest = || {
        let mut world = World::founded(3, 0, 3, host);
        for id in 1..=3 {
            world.apply_input(id, |member, now| member.tick(now));
        }
        deliver_while(&mut world, |_| true);
        world
    };
    let proposed = |both: bool| {
        let mut world = rest();
        for (by, of) in [(1, 100), (2, 200)].into_iter().take(1 + usize::from(both)) {
            let text = world.draft(by, of, members(1..=3, 3));
            world.propose(by, text);
        }
        world
    };
    let (mut states, mut staged, mut cut_off) = (Vec::new(), proposed(false), proposed(false));
    states.push(("two proposals at once", proposed(true)));
    deliver_while(&mut staged, |(.., m)| !matches!(m, Message::Fence { .. }));
    states.push(("all have staged one", staged.clone()));
    let mut second = staged.clone();
    let text = second.draft(2, 200, members(1..=3, 3));
    second.propose(2, text);
    states.push(("all have staged one, and a second is proposed", second));
    deliver_while(&mut staged, |(.., m)| !matches!(m, Message::Accept { .. }));
    states.push(("fenced, and about to be accepted", staged.clone()));
    // Only the proposer has accepted, and it crashes. The second member has to find that out.
    staged.in_flight.clear();
    staged.crash(1);
    states.push(("accepted by one that crashed", staged.clone()));
    staged.start(1, false);
    states.push(("accepted by one that crashed and restarted", staged));
    // The third member receives nothing from the start, and serves.
    deliver_while(&mut cut_off, |(_, to, m)| *to != 3 && !matches!(m, Message::Fence { .. }));
    cut_off.in_flight.retain(|(from, to, _)| *from != 3 && *to != 3);
    advance_member(&mut cut_off, 1, 2_200 * MS);
    states.push(("one of three is partitioned and serves", cut_off));
    // A decided proposal that changes the voters, followed at once by another one.
    let mut voters = rest();
    let text = voters.draft(1, 100, members([1, 2], 2));
    voters.propose(1, text);
    deliver_while(&mut voters, |(.., m)| !matches!(m, Message::Decided { .. }));
    let text = voters.draft(1, 200, members([1, 2], 2));
    voters.propose(1, text);
    states.push(("a member was removed, and the next proposal begins", voters));
    // The third member has its lease from the first one only, which restarts and no longer knows the grant.
    let mut restarted = rest();
    for _ in 0..4 {
        restarted.now += 2_000 * MS;
        for id in 1..=3 {
            restarted.apply_input(id, |member, now| member.tick(now));
        }
        deliver_while(&mut restarted, |(from, to, _)| from.max(to) != &3 || from.min(to) != &2);
        restarted.in_flight.clear();
    }
    restarted.crash(1);
    restarted.start(1, false);
    let text = restarted.draft(2, 100, members(1..=3, 3));
    restarted.propose(2, text);
    deliver_while(&mut restarted, |(from, to, m)| from.max(to) != &3 && !matches!(m, Message::Fence { .. }));
    advance_member(&mut restarted, 2, 2_200 * MS);
    restarted.in_flight.retain(|(from, to, _)| from.max(to) != &3);
    states.push(("one is partitioned, and the voter that granted its lease has restarted", restarted));
    // The voters change; a previous voter that has learned of it is partitioned while its old lease lasts.
    let mut changed_voters = World::founded(5, 0, 3, host);
    for id in 1..=5 {
        changed_voters.apply_input(id, |member, now| member.tick(now));
    }
    deliver_while(&mut changed_voters, |_| true);
    let changed = Members { voters: (3..=5).collect(), ..members(1..=5, 3) };
    let text = changed_voters.draft(1, 100, changed.clone());
    changed_voters.propose(1, text);
    deliver_while(&mut changed_voters, |(.., m)| !matches!(m, Message::Renew { number: 2, .. }));
    changed_voters.in_flight.clear();
    let text = changed_voters.draft(4, 200, changed);
    changed_voters.propose(4, text);
    deliver_while(&mut changed_voters, |(from, to, m)| {
        *from > 2 && *to > 2 && !matches!(m, Message::Fence { .. })
    });
    advance_member(&mut changed_voters, 4, 2_200 * MS);
    changed_voters.in_flight.retain(|(from, to, _)| *from > 2 && *to > 2);
    states.push(("the voters changed, and a previous one is partitioned", changed_voters));
    states
}

/// Events of a random run, by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver(Id, Id, u64),
    Tick(Id),
    Fault,
    Propose,
    Check,
    EndFaults,
}

#[derive(Default)]
pub struct RunCounts {
    pub decided: u64,
    pub not_decided: u64,
    pub messages: u64,
    pub steps: u64,
}

impl RunCounts {
    #[cfg(not(test))]
    pub fn add(&mut self, other: &RunCounts) {
        self.decided += other.decided;
        self.not_decided += other.not_decided;
        self.messages += other.messages;
        self.steps += other.steps;
    }
}

/// A random run: proposals, membership changes and faults for a minute, then a fault-free period, at the end
/// of which all members serve under one number.
pub struct Run {
    world: World,
    rng: oorandom::Rand64,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    pending_messages: HashMap<u64, Message>,
    next: u64,
    texts: u64,
    paused: BTreeMap<Id, Duration>,
    cut_links: BTreeSet<(Id, Id)>,
    ticks: BTreeMap<Id, Duration>,
    loss: f64,
    faults_ended: bool,
    proposed: Vec<(Id, Digest)>,
    counts: RunCounts,
}

const FAULT_PERIOD: Duration = Duration::from_secs(60);
const RUN_LENGTH: Duration = Duration::from_secs(150);

impl Run {
    pub fn execute(seed: u64, size: usize, host: Host, trace: bool) -> Result<RunCounts, String> {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        let voters = size.min(if rng.rand_float() < 0.5 { 3 } else { 5 });
        // One run in four begins with the founding of the group.
        let mut world = match seed % 4 {
            3 => World::unfounded(size, host),
            _ => World::founded(size, 2, voters, host),
        };
        world.trace = trace;
        let drift = if host == Host::ExcessiveClockDrift { 200_000 } else { 10_000 };
        for node in world.nodes.values_mut() {
            // Clock rates deviate by up to 1% either way; by more with the host defect.
            node.rate = 1_000_000 - drift + rng.rand_range(0..2 * drift + 1);
        }
        let mut run = Run {
            world,
            loss: [0.0, 0.05, 0.3][rng.rand_range(0..3) as usize],
            rng,
            queue: BinaryHeap::new(),
            pending_messages: HashMap::new(),
            next: 0,
            texts: 1000,
            paused: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            ticks: BTreeMap::new(),
            faults_ended: false,
            proposed: Vec::new(),
            counts: RunCounts::default(),
        };
        run.at(Duration::ZERO, Event::Check);
        run.at(300 * MS, Event::Propose);
        run.at(1500 * MS, Event::Fault);
        run.at(FAULT_PERIOD, Event::EndFaults);
        let ids: Vec<Id> = run.world.nodes.keys().copied().collect();
        ids.iter().for_each(|id| run.dispatch(*id));
        run.run_events()
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
    }

    fn span(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.rng.rand_range(low..high))
    }

    fn pick(&mut self, of: &[Id]) -> Id {
        of[self.rng.rand_range(0..of.len() as u64) as usize]
    }

    /// Schedules the delivery of a member's messages, and its next tick.
    fn dispatch(&mut self, id: Id) {
        let now = self.world.now;
        for (from, to, message) in std::mem::take(&mut self.world.in_flight) {
            self.counts.messages += 1;
            let copies = if self.rng.rand_float() < 0.02 { 2 } else { 1 };
            for _ in 0..copies {
                let lost = self.cut_links.contains(&(from, to)) || self.rng.rand_float() < self.loss;
                if lost && !self.faults_ended {
                    continue;
                }
                let late = !self.faults_ended && self.rng.rand_float() < 0.01;
                let delay = if late { self.span(50, 60_000) } else { self.span(1, 40) };
                let number = self.next;
                self.pending_messages.insert(number, message.clone());
                self.at(now + delay, Event::Deliver(from, to, number));
            }
        }
        let node = &self.world.nodes[&id];
        if let Some(member) = &node.member {
            // The tick is due by the member's own clock, which may be slow: adds a margin.
            let next_tick = member.next_tick();
            let left = next_tick.saturating_sub(node.clock(now));
            let due = now + if next_tick == Duration::MAX { RUN_LENGTH } else { left + left / 80 + MS };
            if self.ticks.get(&id).is_none_or(|set| due < *set || *set <= now) {
                self.ticks.insert(id, due);
                self.at(due, Event::Tick(id));
            }
        }
    }

    fn run_events(mut self) -> Result<RunCounts, String> {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > RUN_LENGTH {
                break;
            }
            self.world.now = at;
            self.counts.steps += 1;
            match event {
                Event::Deliver(from, to, message_id) => self.deliver(at, from, to, message_id),
                Event::Tick(id) => self.tick(at, id),
                Event::Propose => self.propose(),
                Event::Fault => self.fault(),
                Event::Check => {
                    let ids: Vec<Id> = self.world.nodes.keys().copied().collect();
                    for id in ids.into_iter().filter(|id| !self.paused.contains_key(id)) {
                        self.world.check_service(id);
                    }
                    self.at(at + 100 * MS, Event::Check);
                }
                Event::EndFaults => {
                    (self.faults_ended, self.cut_links) = (true, BTreeSet::new());
                    let ids: Vec<Id> = self.world.nodes.keys().copied().collect();
                    for id in ids {
                        self.paused.remove(&id);
                        if self.world.nodes[&id].member.is_none() {
                            self.world.start(id, false);
                        }
                        self.ticks.remove(&id);
                        self.dispatch(id);
                    }
                }
            }
            if let Some(violation) = self.world.violation.take() {
                return Err(violation);
            }
        }
        self.check_end()
    }

    fn deliver(&mut self, at: Duration, from: Id, to: Id, message_id: u64) {
        if let Some(until) = self.paused.get(&to).copied().filter(|until| at < *until) {
            return self.at(until, Event::Deliver(from, to, message_id));
        }
        if let Some(message) = self.pending_messages.remove(&message_id) {
            if self.world.nodes.contains_key(&to) {
                self.world.deliver((from, to, message));
                self.dispatch(to);
            }
        }
    }

    fn tick(&mut self, at: Duration, id: Id) {
        if self.ticks.get(&id) != Some(&at) {
            return;
        }
        self.ticks.remove(&id);
        if let Some(until) = self.paused.get(&id).copied().filter(|until| at < *until) {
            self.ticks.insert(id, until);
            return self.at(until, Event::Tick(id));
        }
        self.paused.remove(&id);
        self.world.apply_input(id, |member, now| member.tick(now));
        self.dispatch(id);
    }

    fn propose(&mut self) {
        let now = self.world.now;
        let wait = self.span(200, 9_000);
        if now + wait < FAULT_PERIOD {
            self.at(now + wait, Event::Propose);
        }
        let up = |(id, node): (&Id, &Node)| node.member.is_some().then_some(*id);
        let ids: Vec<Id> = self.world.nodes.iter().filter_map(up).collect();
        let ids: Vec<Id> = ids.into_iter().filter(|id| !self.paused.contains_key(id)).collect();
        if ids.is_empty() {
            return;
        }
        let count = 1 + usize::from(self.rng.rand_float() < 0.3);
        for _ in 0..count {
            let by = self.pick(&ids);
            let current = self.world.nodes[&by].member.as_ref().map(|member| member.members().clone());
            let mut current = current.unwrap_or_default();
            if current.all.is_empty() {
                current = members(self.world.nodes.keys().copied(), 5);
            }
            let (count, change) = (current.voters.len(), self.rng.rand_float());
            let outside: Vec<Id> =
                self.world.nodes.keys().copied().filter(|id| !current.all.contains(id)).collect();
            let number = self.world.nodes[&by].disk.decided.number;
            if number > 0 && change < 0.15 && current.all.len() > 3 {
                let all: Vec<Id> = current.all.iter().copied().collect();
                let out = self.pick(&all);
                current.all.remove(&out);
                if current.voters.remove(&out) {
                    let another = current.all.iter().copied().find(|id| !current.voters.contains(id));
                    current.voters.extend(another);
                }
            } else if number > 0 && change < 0.3 && !outside.is_empty() {
                let new = self.pick(&outside);
                current.all.insert(new);
                if count < 3 {
                    current.voters.insert(new);
                }
            }
            self.texts += 1;
            let text = self.world.draft(by, self.texts, current);
            if self.rng.rand_float() < 0.1 {
                let who = self.pick(&ids);
                self.world.ineligible.insert((who, text));
            }
            self.world.propose(by, text);
            self.proposed.push((by, text));
            self.dispatch(by);
        }
    }

    fn fault(&mut self) {
        let now = self.world.now;
        let wait = self.span(100, 4_000);
        if now + wait < FAULT_PERIOD {
            self.at(now + wait, Event::Fault);
        }
        let ids: Vec<Id> = self.world.nodes.keys().copied().collect();
        let (id, kind) = (self.pick(&ids), self.rng.rand_float());
        if kind < 0.3 {
            if self.world.nodes[&id].member.is_some() {
                self.world.crash(id);
            } else {
                self.world.start(id, false);
                self.ticks.remove(&id);
                self.dispatch(id);
            }
        } else if kind < 0.5 {
            let until = now + self.span(100, 20_000);
            if self.world.nodes[&id].member.is_some() {
                self.paused.insert(id, until);
            }
        } else if kind < 0.9 {
            // Partitions one member or a subset from the rest, in one direction or both.
            let part: BTreeSet<Id> = match self.rng.rand_float() < 0.5 {
                true => BTreeSet::from([id]),
                false => ids.iter().copied().filter(|_| self.rng.rand_float() < 0.5).collect(),
            };
            let direction = self.rng.rand_range(0..3);
            for &a in &part {
                for &b in ids.iter().filter(|b| !part.contains(b)) {
                    if direction != 0 {
                        self.cut_links.insert((a, b));
                    }
                    if direction != 1 {
                        self.cut_links.insert((b, a));
                    }
                }
            }
        } else {
            self.cut_links.clear();
        }
    }

    /// After the fault-free period: all eligible members serve under one number.
    fn check_end(mut self) -> Result<RunCounts, String> {
        let number = self.world.ground_truth.chosen.keys().max().copied().unwrap_or_default();
        self.counts.decided = number;
        if number > 0 {
            let (digest, _) = self.world.ground_truth.chosen[&number];
            for &id in &self.world.texts[&digest].members.all.clone() {
                let able = !self.world.ineligible.contains(&(id, digest));
                if able && self.world.serving_number(id) != Some(number) {
                    let node = &self.world.nodes[&id];
                    let service_status =
                        node.member.as_ref().map(|m| m.service_status(node.clock(self.world.now)));
                    return Err(format!(
                        "{id} does not serve under {number} after the fault-free period: {service_status:?}"
                    ));
                }
            }
        }
        for (by, text) in &self.proposed {
            let member = self.world.nodes[by].member.as_ref();
            match member.and_then(|member| member.outcome(*text)) {
                Some((_, Outcome::NotDecided(_))) => {
                    self.counts.not_decided += 1;
                    if self.world.ground_truth.chosen.values().any(|(chosen, _)| chosen == text) {
                        return Err(format!("{by} reports {text:?} as not decided, but it was"));
                    }
                }
                Some((number, Outcome::Decided { .. })) => {
                    if self.world.ground_truth.chosen.get(&number).map(|(chosen, _)| chosen) != Some(text) {
                        return Err(format!("{by} reports {text:?} as decided, but it was not"));
                    }
                }
                Some((_, Outcome::InProgress)) => {
                    return Err(format!("{by} reports no outcome for {text:?}"))
                }
                Some((_, Outcome::Unknown)) | None => {}
            }
        }
        Ok(self.counts)
    }
}
