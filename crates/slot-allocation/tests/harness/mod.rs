//! Schedulers that allocate slots to one another, on simulated time: one seed determines everything that is
//! random. The simulation adds workers that count their calls, a datagram network, delayed views, crashes and
//! freezes.

use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_slot_allocation::datagram::{incarnation_number, Datagram, Form};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::{Ended, Message};
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

const MS: Duration = Duration::from_millis(1);
/// A grant outlives its call by the owner's grace and a sweep; clocks differ by 1%.
const EXPIRY_SLACK: Duration = Duration::from_millis(600);
/// Returns are resent for three seconds; requesters are queried about grants that are held then each second.
const RETURN_BOUND: Duration = Duration::from_millis(3300);
const CHECK_BOUND: Duration = Duration::from_millis(6000);
/// A grant may arrive this much later although nobody makes it any more: a datagram was in flight.
const UNDERWAY: Duration = Duration::from_millis(2000);
/// How long a slot may be free beside a queued call: two sweeps.
const IDLE_SLOT: Duration = Duration::from_millis(90);

/// Functions whose names have the same short hash.
const SAME_HASH: [&str; 2] = ["fina57b", "goze97a"];
const OTHER_HASH: [&str; 2] = ["function-0", "function-1"];

/// The faults and changes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// No faults, and enough slots for all.
    Quiet,
    /// Members and instances are added and removed, datagrams arrive in order, and all processes learn of
    /// changes within 40 ms.
    Tidy,
    /// Planned changes alone, beside slow processes and configuration changes: members leave, join and
    /// restart, functions are removed from the configuration and restored.
    Planned,
    /// Lost, duplicated and late datagrams, crashes, freezes, partitions, views that differ for a while.
    Rough,
}

#[derive(Clone, Debug)]
pub struct Violation {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// More calls run on an instance than it has slots.
    Slots,
    /// The bound on calls of an instance while views differ.
    Bound,
    /// Two members can grant slots of one instance.
    TwoOwners,
    /// A call was not answered by its end.
    Answer,
    /// A call was answered twice, or sent to another function's instance.
    Once,
    /// A grant outlived its expiry.
    Term,
    /// A grant outlived its call.
    Returned,
    /// The queue is not in the order of service.
    ServiceOrder,
    /// A free slot beside a queued call, or a call past its aim although slots were free.
    Starved,
    /// A slot granted on an instance that accepts no more calls.
    Drain,
    /// A call sent to an instance that its own proxy knows to leave, or to have ended.
    KnownToLeave,
    /// A slot granted to an incarnation that another has followed, as its owner knows.
    Incarnation,
    /// A slot granted again, or recorded from a report, for a call that has returned it.
    Repeated,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub calls: usize,
    pub dispatched: usize,
    pub in_aim: usize,
    pub refused: usize,
    /// The most calls that ran on one instance at once, in multiples of its slots.
    pub worst: f64,
    /// How long some instance had more calls than slots.
    pub over: Duration,
    pub bytes: usize,
    pub datagrams: usize,
    pub slowest: Duration,
}

#[derive(Debug)]
enum Event {
    Tick {
        who: usize,
        incarnation: u32,
    },
    Datagram {
        to: usize,
        incarnation: u32,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Arrival {
        who: usize,
    },
    Ran {
        call: usize,
    },
    CallEnded {
        call: usize,
        incarnation: u32,
    },
    Due {
        call: usize,
        incarnation: u32,
    },
    View {
        who: usize,
        incarnation: u32,
        version: usize,
    },
    Instances {
        who: usize,
        incarnation: u32,
        version: usize,
    },
    Dialled {
        who: usize,
        incarnation: u32,
        instance: String,
        taken: bool,
    },
    /// The configuration with this number takes effect.
    Configuration {
        who: usize,
        incarnation: u32,
        version: usize,
    },
    /// The grace period of a leaving member has ended.
    Left {
        who: usize,
        incarnation: u32,
        back: Option<Duration>,
    },
    /// Connections to the process at this address are refused.
    Probed {
        who: usize,
        incarnation: u32,
        owner: SocketAddr,
    },
    Disturb,
    Start {
        who: usize,
    },
    Unfreeze {
        who: usize,
    },
    HealCut {
        a: usize,
        b: usize,
    },
}

struct Host {
    at: SocketAddr,
    zone: String,
    region: String,
    incarnation: u32,
    incarnations: u32,
    started_at: Duration,
    /// How much faster its clock runs.
    clock_rate: f64,
    allocator: Option<Allocator>,
    /// Its machine has no power.
    without_power: bool,
    /// The process is about to end, and no longer a member.
    leaving: bool,
    /// Until then its datagrams are delayed or lost.
    slow_until: Duration,
    configuration: usize,
    frozen: Option<Vec<Event>>,
    unfrozen_at: Duration,
    view: usize,
    instance_lists: usize,
    known_members: BTreeSet<(SocketAddr, u32)>,
    /// The newest incarnation of others heard from here, by order of start; and when calls of others returned
    /// their slots.
    newest_incarnations: HashMap<SocketAddr, usize>,
    returned: HashMap<(SocketAddr, u32, u32), Duration>,
    /// Maps this process's call numbers to indices of `World::calls`.
    calls: HashMap<u32, usize>,
}

struct Call {
    who: usize,
    incarnation: u32,
    seq: u32,
    kind: usize,
    arrived: Duration,
    aim: Duration,
    end: Duration,
    work: Duration,
    dispatched: Option<Duration>,
    refused: bool,
    /// When the requester returned the slot, or learned that it gets none.
    over: Option<Duration>,
    instance: Option<usize>,
}

struct Instance {
    id: String,
    kind: usize,
    zone: String,
    at: SocketAddr,
    since: Duration,
    up: Duration,
    drains: Option<Duration>,
    ended: Option<Duration>,
    runs: BTreeSet<usize>,
}

pub struct World {
    class: Class,
    /// Some processes are of the release before datagrams identified functions.
    mixed_releases: bool,
    rng: Rand64,
    now: Duration,
    end: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    events: u64,
    hosts: Vec<Host>,
    by_at: HashMap<SocketAddr, usize>,
    kinds: Vec<(String, usize, f64)>,
    instances: Vec<Instance>,
    by_id: HashMap<String, usize>,
    /// All incarnations of hosts, in order of start.
    incarnations: Vec<u32>,
    calls: Vec<Call>,
    /// Members by version; instances by version, and those that have ended.
    views: Vec<Vec<Member>>,
    instance_lists: Vec<Vec<Entry>>,
    gone: Vec<String>,
    /// The function that each configuration lacks.
    configurations: Vec<Option<usize>>,
    partitions: BTreeSet<(usize, usize)>,
    loss: f64,
    duplicated: f64,
    delayed: f64,
    skew: Duration,
    longest: Duration,
    /// The last time at which the owners' views differed.
    differed: Duration,
    /// Recent owners of each instance.
    owners: HashMap<usize, BTreeMap<(usize, u32), Duration>>,
    grants: HashMap<(usize, u32, usize, SocketAddr, u32), Duration>,
    idle: HashMap<(usize, FunctionId), Duration>,
    last_check: Duration,
    over_since: Option<Duration>,
    trace: bool,
    pub out: Outcome,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 1, 0, n as u8 + 1).into(), 7301)
}

impl World {
    pub fn new(class: Class, seed: u64) -> World {
        let rng = Rand64::new(u128::from(seed) << 20 | class as u128);
        let mut world = World {
            class,
            mixed_releases: seed.is_multiple_of(2),
            rng,
            now: Duration::ZERO,
            end: Duration::from_millis(6000),
            queue: BTreeMap::new(),
            events: 0,
            hosts: Vec::new(),
            by_at: HashMap::new(),
            kinds: Vec::new(),
            instances: Vec::new(),
            by_id: HashMap::new(),
            incarnations: Vec::new(),
            calls: Vec::new(),
            views: vec![Vec::new()],
            instance_lists: vec![Vec::new()],
            gone: Vec::new(),
            configurations: vec![None],
            partitions: BTreeSet::new(),
            loss: 0.0,
            duplicated: 0.0,
            delayed: 0.0,
            skew: Duration::from_millis(40),
            longest: Duration::ZERO,
            differed: Duration::ZERO,
            owners: HashMap::new(),
            grants: HashMap::new(),
            idle: HashMap::new(),
            last_check: Duration::ZERO,
            over_since: None,
            trace: std::env::var_os("LENDING_TRACE").is_some(),
            out: Outcome::default(),
        };
        world.set_up();
        world
    }

    fn random_below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n.max(1) as u64) as usize
    }

    fn random_share(&mut self) -> f64 {
        self.rng.rand_float()
    }

    fn span(&mut self, from: Duration, to: Duration) -> Duration {
        let random_share = self.random_share();
        from + to.saturating_sub(from).mul_f64(random_share)
    }

    fn later(&mut self, pause: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((self.now + pause, self.events), event);
    }

    fn log(&self, what: impl FnOnce() -> String) {
        if self.trace {
            println!("{:?} {}", self.now, what());
        }
    }

    fn record_violation(&mut self, rule: Rule, what: String) {
        if self.out.violations.len() < 20 {
            self.out.violations.push(Violation { rule, at: self.now, what });
        }
    }

    fn set_up(&mut self) {
        if self.class == Class::Rough {
            self.loss = [0.0, 0.01, 0.05][self.random_below(3)];
            self.duplicated = [0.0, 0.02, 0.1][self.random_below(3)];
            self.delayed = [0.0, 0.01, 0.05][self.random_below(3)];
            self.skew = Duration::from_millis([40, 300, 900][self.random_below(3)]);
        }
        if self.class == Class::Planned {
            self.skew = Duration::from_millis([40, 150, 300][self.random_below(3)]);
            self.loss = [0.0, 0.01, 0.05][self.random_below(3)];
        }
        let zones = 1 + self.random_below(3);
        let hosts =
            if self.class == Class::Planned { 3 + self.random_below(6) } else { 2 + self.random_below(4) };
        for n in 0..hosts {
            let zone = n % zones;
            self.hosts.push(Host {
                at: address(n),
                zone: format!("z{zone}"),
                region: format!("r{}", zone / 2),
                incarnation: 0,
                incarnations: 0,
                started_at: Duration::ZERO,
                clock_rate: 0.0,
                allocator: None,
                without_power: false,
                leaving: false,
                slow_until: Duration::ZERO,
                configuration: 0,
                frozen: None,
                unfrozen_at: Duration::ZERO,
                view: 0,
                instance_lists: 0,
                known_members: BTreeSet::new(),
                newest_incarnations: HashMap::new(),
                returned: HashMap::new(),
                calls: HashMap::new(),
            });
            self.by_at.insert(address(n), n);
        }
        let spare = usize::from(self.class != Class::Quiet && hosts > 2);
        for n in 0..hosts - spare {
            self.start(n);
        }
        for n in 0..1 + self.random_below(2) {
            let slots = 1 + self.random_below(3);
            let work = [15.0, 60.0, 150.0][self.random_below(3)];
            let work = if self.class == Class::Quiet { 15.0 } else { work };
            let names = if self.mixed_releases { OTHER_HASH } else { SAME_HASH };
            self.kinds.push((names[n].to_string(), slots, work));
            for _ in 0..1 + self.random_below(3) {
                self.begin(n, true);
            }
        }
        self.publish_view();
        self.publish_instances();
        for who in 0..hosts {
            self.later(400 * MS, Event::Arrival { who });
        }
        if self.class != Class::Quiet {
            self.later(600 * MS, Event::Disturb);
        }
    }

    fn begin(&mut self, kind: usize, ready: bool) {
        let n = self.instances.len();
        let zone = format!("z{}", self.random_below(self.hosts.len()) % 3);
        let zone = if self.hosts.iter().any(|h| h.zone == zone) { zone } else { "z0".into() };
        let id = format!("i{n}");
        self.by_id.insert(id.clone(), n);
        let up = if ready { self.now } else { self.now + 300 * MS };
        self.instances.push(Instance {
            id,
            kind,
            zone,
            at: SocketAddr::new(Ipv4Addr::new(10, 2, 0, n as u8 + 1).into(), 80),
            since: self.now,
            up,
            drains: None,
            ended: None,
            runs: BTreeSet::new(),
        });
    }

    fn start(&mut self, who: usize) {
        let seed = self.rng.rand_u64();
        let clock_rate = (self.random_share() - 0.5) * 0.02;
        let host = &mut self.hosts[who];
        host.incarnations += 1;
        host.incarnation = match self.mixed_releases && seed.is_multiple_of(3) {
            true => (seed as u32) | 1,
            false => incarnation_number(seed),
        };
        host.started_at = self.now;
        (host.leaving, host.slow_until, host.configuration) = (false, Duration::ZERO, 0);
        host.clock_rate = clock_rate;
        host.frozen = None;
        host.calls.clear();
        (host.view, host.instance_lists) = (0, 0);
        host.known_members.clear();
        host.newest_incarnations.clear();
        host.returned.clear();
        host.allocator =
            Some(Allocator::new(host.at, host.zone.clone(), host.incarnation, seed, Duration::ZERO));
        let incarnation = host.incarnation;
        self.incarnations.push(incarnation);
        self.later(MS, Event::Tick { who, incarnation });
    }

    fn local_time(&self, who: usize) -> Duration {
        let host = &self.hosts[who];
        self.now.saturating_sub(host.started_at).mul_f64(1.0 + host.clock_rate)
    }

    /// Publishes the present members; each process receives them after its own delay.
    fn publish_view(&mut self) {
        let there = self.hosts.iter().filter(|h| h.allocator.is_some() && !h.leaving);
        let view = there.map(|h| Member {
            at: h.at,
            zone: h.zone.clone(),
            region: h.region.clone(),
            incarnation: h.incarnation,
        });
        let view: Vec<Member> = view.collect();
        self.views.push(view);
        let version = self.views.len() - 1;
        for who in 0..self.hosts.len() {
            let (incarnation, skew) = (self.hosts[who].incarnation, self.skew);
            let pause = self.span(Duration::ZERO, skew);
            self.later(pause, Event::View { who, incarnation, version });
        }
    }

    fn entries(&self) -> Vec<Entry> {
        let there = self.instances.iter().filter(|i| i.ended.is_none());
        let entry = |i: &Instance| Entry {
            instance: i.id.clone(),
            function_id: FunctionId::of(&self.kinds[i.kind].0),
            at: i.at,
            zone: i.zone.clone(),
            ready: self.now >= i.up,
            accepts_calls: i.drains.is_none(),
            since: Duration::ZERO,
        };
        there.map(entry).collect()
    }

    fn publish_instances(&mut self) {
        let entries = self.entries();
        self.instance_lists.push(entries);
        let version = self.instance_lists.len() - 1;
        for who in 0..self.hosts.len() {
            let (incarnation, skew) = (self.hosts[who].incarnation, self.skew);
            let pause = self.span(Duration::ZERO, skew);
            self.later(pause, Event::Instances { who, incarnation, version });
        }
    }

    pub fn run(mut self) -> Outcome {
        // Long enough after the last call for all grants to be over.
        let stop = self.end + self.longest.max(Duration::from_secs(9)) + RETURN_BOUND;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > stop {
                break;
            }
            // Only ticks are left.
            if at > self.end + RETURN_BOUND && self.at_rest() {
                break;
            }
            self.now = at;
            self.handle(event);
            self.check_invariants();
        }
        self.close();
        self.out.calls = self.calls.len();
        self.out
    }

    fn at_rest(&self) -> bool {
        self.calls.iter().rev().take(400).all(|call| call.over.is_some())
            && self
                .hosts
                .iter()
                .filter_map(|h| h.allocator.as_ref())
                .all(|l| l.calls() == 0 && l.pools().all(|s| s.queue.is_empty() && s.granted() == 0))
    }

    fn addressee(&self, event: &Event) -> Option<(usize, u32)> {
        match event {
            Event::Tick { who, incarnation }
            | Event::View { who, incarnation, .. }
            | Event::Instances { who, incarnation, .. }
            | Event::Probed { who, incarnation, .. }
            | Event::Configuration { who, incarnation, .. }
            | Event::Dialled { who, incarnation, .. } => Some((*who, *incarnation)),
            Event::Datagram { to, incarnation, .. } => Some((*to, *incarnation)),
            Event::CallEnded { call, incarnation } | Event::Due { call, incarnation } => {
                Some((self.calls[*call].who, *incarnation))
            }
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some((who, incarnation)) = self.addressee(&event) {
            let host = &mut self.hosts[who];
            // Views and datagrams are for an address, the rest for a process.
            let any = matches!(event, Event::View { .. } | Event::Instances { .. } | Event::Datagram { .. });
            if host.allocator.is_none() || (!any && host.incarnation != incarnation) {
                return;
            }
            if let Some(backlog) = &mut host.frozen {
                if backlog.len() < 2000 {
                    backlog.push(event);
                }
                return;
            }
        }
        match event {
            Event::Tick { who, incarnation } => {
                let now = self.local_time(who);
                if let Some(allocator) = &mut self.hosts[who].allocator {
                    allocator.tick(now);
                }
                self.pump(who);
                self.later(25 * MS, Event::Tick { who, incarnation });
            }
            Event::Datagram { to, from, bytes, .. } => {
                self.log(|| format!("  {to} receives from {from}: {:?}", Datagram::decode(&bytes)));
                let now = self.local_time(to);
                if self.drops_form(to, &bytes) {
                    return;
                }
                let before = self.granted_to(to, from);
                if let Some(allocator) = &mut self.hosts[to].allocator {
                    allocator.receive(now, from, &bytes);
                }
                self.check_datagram(to, from, &bytes, &before);
                self.pump(to);
            }
            Event::Arrival { who } => self.arrival(who),
            Event::Ran { call } => {
                if let Some(n) = self.calls[call].instance {
                    self.instances[n].runs.remove(&call);
                }
            }
            Event::CallEnded { call, .. } | Event::Due { call, .. } => self.settle(call, Ended::Done),
            Event::View { who, version, .. } => self.view(who, version),
            Event::Instances { who, version, .. } => self.receive_instances(who, version),
            Event::Dialled { who, instance, taken, .. } => {
                let now = self.local_time(who);
                if let Some(allocator) = &mut self.hosts[who].allocator {
                    allocator.dialled(now, &instance, taken);
                }
                self.pump(who);
            }
            Event::Probed { who, owner, .. } => {
                let now = self.local_time(who);
                if let Some(allocator) = &mut self.hosts[who].allocator {
                    allocator.connection_refused(now, owner);
                }
                self.pump(who);
            }
            Event::Configuration { who, version, .. } => self.configured(who, version),
            Event::Left { who, incarnation, back } => {
                if self.hosts[who].incarnation == incarnation && self.hosts[who].allocator.is_some() {
                    self.end(who, false);
                    if let Some(back) = back {
                        self.later(back, Event::Start { who });
                    }
                }
            }
            Event::Disturb => {
                self.disturb();
                let pause = self.span(100 * MS, 1500 * MS);
                if self.now + pause + 1500 * MS < self.end {
                    self.later(pause, Event::Disturb);
                }
            }
            Event::Start { who } => {
                if self.hosts[who].allocator.is_none() {
                    self.start(who);
                    self.publish_view();
                    self.publish_instances();
                }
            }
            Event::Unfreeze { who } => {
                // Slots granted to it before the freeze are used only now.
                self.differed = self.now + UNDERWAY;
                self.hosts[who].unfrozen_at = self.now;
                let backlog = self.hosts[who].frozen.take().unwrap_or_default();
                for event in backlog {
                    self.handle(event);
                }
                self.publish_view();
            }
            Event::HealCut { a, b } => {
                self.partitions.remove(&(a, b));
            }
        }
    }

    /// Incarnations and numbers of the calls to which this process has just granted slots there, or whose
    /// grants were just reported. A parked grant that comes back with its instance was made long before.
    fn granted_to(&self, who: usize, to: SocketAddr) -> BTreeSet<(u32, u32)> {
        let now = self.local_time(who);
        let pools = self.hosts[who].allocator.iter().flat_map(|allocator| allocator.pools());
        let grants = pools.flat_map(|pool| &pool.ledgers).flat_map(|ledger| &ledger.grants);
        let given = grants.filter(|grant| grant.to == to && grant.since >= now);
        given.map(|grant| (grant.incarnation, grant.seq)).collect()
    }

    /// Checks that a datagram did not cause a grant to a former incarnation, or for a call that has returned
    /// its slot.
    fn check_datagram(&mut self, to: usize, from: SocketAddr, bytes: &[u8], before: &BTreeSet<(u32, u32)>) {
        let Some(datagram) = Datagram::decode(bytes) else { return };
        let start_order =
            |incarnation: u32| self.incarnations.iter().position(|other| *other == incarnation).unwrap_or(0);
        let host = &self.hosts[to];
        let newest = host.newest_incarnations.get(&from).copied().unwrap_or(0);
        let mut found = Vec::new();
        let handed = |message: &Message| match message {
            Message::Handover { grants, .. } => {
                grants.iter().map(|slot| (slot.incarnation, slot.seq)).collect()
            }
            _ => Vec::new(),
        };
        // Grants that are handed over were made before.
        let handed: BTreeSet<(u32, u32)> = datagram.messages.iter().flat_map(handed).collect();
        for (incarnation, seq) in
            self.granted_to(to, from).difference(before).filter(|call| !handed.contains(call))
        {
            if start_order(*incarnation) < newest {
                found.push((
                    Rule::Incarnation,
                    format!("{to} grants a slot to the former incarnation {incarnation} of {from}"),
                ));
            }
            let back = host.returned.get(&(from, *incarnation, *seq));
            if back.is_some_and(|back| self.now < *back + 2800 * MS) {
                found.push((Rule::Repeated, format!("{to} grants a slot to call {seq} of {from} again")));
            }
        }
        let has_sent = start_order(datagram.incarnation);
        let returned: Vec<u32> = datagram
            .messages
            .iter()
            .filter_map(|message| match message {
                Message::Return { seq, .. } => Some(*seq),
                _ => None,
            })
            .collect();
        let host = &mut self.hosts[to];
        host.newest_incarnations.insert(from, newest.max(has_sent));
        for seq in returned {
            host.returned.entry((from, datagram.incarnation, seq)).or_insert(self.now);
        }
        for (rule, what) in found {
            self.record_violation(rule, what);
        }
    }

    fn view(&mut self, who: usize, version: usize) {
        if self.hosts[who].view >= version {
            return;
        }
        let now = self.local_time(who);
        let members = self.views[version].clone();
        let host = &mut self.hosts[who];
        host.view = version;
        host.known_members = members.iter().map(|m| (m.at, m.incarnation)).collect();
        if let Some(allocator) = &mut host.allocator {
            allocator.set_members(now, members);
        }
        self.differed = self.differed.max(self.now);
        self.log(|| format!("{who} has view {version} of {:?}", self.hosts[who].known_members));
        self.pump(who);
    }

    fn receive_instances(&mut self, who: usize, version: usize) {
        if self.hosts[who].instance_lists >= version {
            return;
        }
        let (now, started_at) = (self.local_time(who), self.hosts[who].started_at);
        let first = self.hosts[who].instance_lists == 0;
        let mut entries = self.instance_lists[version].clone();
        for entry in &mut entries {
            let since = self.instances[self.by_id[&entry.instance]].since;
            entry.since = since.saturating_sub(started_at);
        }
        let known: BTreeSet<&str> = entries.iter().map(|e| e.instance.as_str()).collect();
        let gone: Vec<String> = self.gone.iter().filter(|id| !known.contains(id.as_str())).cloned().collect();
        let functions = self.functions_without(None);
        let host = &mut self.hosts[who];
        host.instance_lists = version;
        if let Some(allocator) = &mut host.allocator {
            if first {
                allocator.set_functions(now, functions);
            }
            allocator.update_instances(now, entries, &gone);
        }
        self.pump(who);
    }

    fn functions_without(&self, lacks: Option<usize>) -> Vec<Function> {
        let there = self.kinds.iter().enumerate().filter(|(n, _)| Some(*n) != lacks);
        let function = |(_, (name, slots, _)): (usize, &(String, usize, f64))| Function {
            id: FunctionId::of(name),
            name: name.clone(),
            slots: *slots,
            boot: 300 * MS,
        };
        there.map(function).collect()
    }

    fn configured(&mut self, who: usize, version: usize) {
        if self.hosts[who].configuration >= version || self.hosts[who].instance_lists == 0 {
            return;
        }
        let now = self.local_time(who);
        let functions = self.functions_without(self.configurations[version]);
        let host = &mut self.hosts[who];
        host.configuration = version;
        if let Some(allocator) = &mut host.allocator {
            allocator.set_functions(now, functions);
        }
        self.pump(who);
    }

    /// Publishes a configuration; each process receives it after its own delay.
    fn configure(&mut self, lacks: Option<usize>, after: Duration) {
        self.configurations.push(lacks);
        let version = self.configurations.len() - 1;
        for who in 0..self.hosts.len() {
            let (incarnation, skew) = (self.hosts[who].incarnation, self.skew);
            let pause = after + self.span(Duration::ZERO, skew);
            self.later(pause, Event::Configuration { who, incarnation, version });
        }
    }

    /// A member is about to end: the others learn at once that it is no longer a member; it goes on for a
    /// while.
    fn leave(&mut self, who: usize, back: Option<Duration>) {
        self.hosts[who].leaving = true;
        self.publish_view();
        let incarnation = self.hosts[who].incarnation;
        self.later(3000 * MS, Event::Left { who, incarnation, back });
    }

    fn disturb_planned(&mut self, who: usize) {
        let members = self.hosts.iter().filter(|h| h.allocator.is_some() && !h.leaving).count();
        let host = &self.hosts[who];
        let (runs, leaving) = (host.allocator.is_some(), host.leaving);
        match self.random_below(6) {
            0 | 1 if runs && !leaving && members > 1 => {
                let back = (self.random_below(2) == 0).then_some(300 * MS);
                self.leave(who, back);
            }
            0..=2 if !runs => self.handle(Event::Start { who }),
            3 => {
                let kinds = self.kinds.len();
                let lacks = self.random_below(kinds);
                let pause = self.span(50 * MS, 400 * MS);
                self.configure(Some(lacks), Duration::ZERO);
                self.configure(None, pause);
            }
            _ => {
                let lasts = self.span(300 * MS, 3000 * MS);
                self.hosts[who].slow_until = self.now + lasts;
            }
        }
    }

    fn arrival(&mut self, who: usize) {
        if self.now >= self.end {
            return;
        }
        let kinds = self.kinds.len();
        let n = self.random_below(kinds);
        let (name, slots, work) = self.kinds[n].clone();
        // Quiet runs use a fifth of the slots; others exceed them at times.
        let there = self.instances.iter().filter(|i| i.kind == n && i.drains.is_none()).count().max(1);
        let press = match self.class {
            Class::Quiet => 0.1,
            _ if (self.now.as_millis() / 1500).is_multiple_of(2) => 0.5,
            _ => 1.6,
        };
        let rate = (there * slots) as f64 / work * 1000.0 * press / self.hosts.len() as f64 * kinds as f64;
        let pause = -(1.0 - self.random_share()).ln() / rate.clamp(0.5, 60.0);
        self.later(Duration::from_secs_f64(pause), Event::Arrival { who });
        let priority = self.random_below(4) as u8;
        let deadline = [800, 2000, 7000][self.random_below(3)];
        let aim = Duration::from_millis(if self.class == Class::Quiet {
            400
        } else {
            [200, 400, 600][self.random_below(3)]
        });
        let deadline = if self.class == Class::Quiet { 4000 } else { deadline };
        let work = Duration::from_secs_f64(work / 1000.0 * (0.4 + 1.2 * self.random_share()));
        let host = &self.hosts[who];
        let away = host.allocator.is_none() || host.frozen.is_some() || host.leaving;
        if away || host.view == 0 || host.instance_lists == 0 {
            return;
        }
        let now = self.local_time(who);
        let end = now + Duration::from_millis(deadline);
        self.longest = self.longest.max(Duration::from_millis(deadline));
        let host = &mut self.hosts[who];
        let Some(allocator) = &mut host.allocator else { return };
        let seq = allocator.request_slot(now, FunctionId::of(&name), priority, now + aim, end, "");
        let call = self.calls.len();
        host.calls.insert(seq, call);
        self.calls.push(Call {
            who,
            incarnation: host.incarnation,
            seq,
            kind: n,
            arrived: self.now,
            aim: self.now + aim,
            end,
            work,
            dispatched: None,
            refused: false,
            over: None,
            instance: None,
        });
        self.pump(who);
    }

    fn is_lost(&mut self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self.partitions.contains(&pair) || (self.loss > 0.0 && self.random_share() < self.loss)
    }

    fn pump(&mut self, who: usize) {
        loop {
            let Some(allocator) = &mut self.hosts[who].allocator else { return };
            let Some(action) = allocator.pull() else { return };
            let incarnation = self.hosts[who].incarnation;
            match action {
                Action::Send { to, bytes } => self.send(who, to, bytes),
                Action::Dispatch { call, instance, at } => self.go(who, call, &instance, at),
                Action::Reject { call, .. } => self.no(who, call),
                Action::Dial { instance, .. } => {
                    let n = self.by_id[&instance];
                    let taken = self.now >= self.instances[n].up && self.instances[n].ended.is_none();
                    self.later(MS, Event::Dialled { who, incarnation, instance, taken });
                }
                Action::Probe { owner } => self.probe(who, owner),
                Action::InstanceGone { .. } | Action::InstanceReady { .. } | Action::InstanceWanted(_) => {}
                // Until it is requested from again, this process has a view of its own.
                Action::Suspected { .. } => self.differed = self.differed.max(self.now + MS),
            }
        }
    }

    /// A machine without power, or behind a partition, does not answer; a running one refuses connections
    /// where no process listens.
    fn probe(&mut self, who: usize, owner: SocketAddr) {
        let Some(&other) = self.by_at.get(&owner) else { return };
        let pair = (who.min(other), who.max(other));
        let host = &self.hosts[other];
        if host.allocator.is_none() && !host.without_power && !self.partitions.contains(&pair) {
            let incarnation = self.hosts[who].incarnation;
            self.later(MS, Event::Probed { who, incarnation, owner });
        }
    }

    /// A process of the earlier release, which sends and understands the earlier form of datagrams alone.
    fn is_earlier_release(&self, who: usize) -> bool {
        Form::understood_by(self.hosts[who].incarnation) == Form::ShortHashes
    }

    fn earlier_form(bytes: &[u8]) -> Vec<u8> {
        Datagram::decode(bytes).map(|datagram| datagram.encode_as(Form::ShortHashes)).unwrap_or_default()
    }

    fn drops_form(&self, who: usize, bytes: &[u8]) -> bool {
        self.is_earlier_release(who) && Self::earlier_form(bytes) != bytes
    }

    fn send(&mut self, who: usize, to: SocketAddr, bytes: Vec<u8>) {
        let bytes = if self.is_earlier_release(who) { Self::earlier_form(&bytes) } else { bytes };
        self.log(|| format!("  {who} to {to}: {:?}", Datagram::decode(&bytes)));
        self.check_grants(&bytes);
        let Some(&other) = self.by_at.get(&to) else { return };
        self.out.bytes += bytes.len() + 28;
        self.out.datagrams += 1;
        let times = 1 + usize::from(self.duplicated > 0.0 && self.random_share() < self.duplicated);
        for _ in 0..times {
            if self.is_lost(who, other) {
                continue;
            }
            let near = self.hosts[who].zone == self.hosts[other].zone;
            let latency = if near { MS / 4 } else { 8 * MS };
            let mut pause = self.span(latency, latency + latency / 5);
            if self.class == Class::Tidy {
                pause = latency;
            }
            if self.now < self.hosts[who].slow_until {
                if self.random_share() < 0.2 {
                    continue;
                }
                pause += self.span(100 * MS, 600 * MS);
            }
            if self.delayed > 0.0 && self.random_share() < self.delayed {
                pause = self.span(20 * MS, 1500 * MS);
            }
            let (from, incarnation) = (self.hosts[who].at, self.hosts[other].incarnation);
            self.later(pause, Event::Datagram { to: other, incarnation, from, bytes: bytes.clone() });
        }
    }

    fn go(&mut self, who: usize, seq: u32, instance: &str, at: SocketAddr) {
        let now = self.local_time(who);
        let Some(&call) = self.hosts[who].calls.get(&seq) else {
            return self.record_violation(Rule::Once, format!("a slot for the unknown call {seq} of {who}"));
        };
        let n = self.by_id[instance];
        let (kind_of, ended) = {
            let i = &self.instances[n];
            (i.kind, i.ended)
        };
        if self.calls[call].dispatched.is_some() || self.calls[call].refused {
            self.record_violation(Rule::Once, format!("call {call} was answered twice"));
        }
        if kind_of != self.calls[call].kind || self.instances[n].at != at {
            self.record_violation(Rule::Once, format!("call {call} goes to {instance} of another function"));
        }
        self.in_time(who, call);
        self.granted_in_time(n);
        if self.knows_it_leaves(who, n) {
            self.record_violation(
                Rule::KnownToLeave,
                format!("{who} sends to {instance}, which it knows to leave"),
            );
        }
        self.log(|| format!("call {call} of {who} ({seq}) has {instance}"));
        self.calls[call].dispatched = Some(self.now);
        self.calls[call].instance = Some(n);
        let left = self.calls[call].end.saturating_sub(now);
        if left.is_zero() || ended.is_some() {
            let how = if ended.is_some() { Ended::Gone } else { Ended::Idle };
            return self.settle(call, how);
        }
        let incarnation = self.hosts[who].incarnation;
        let work = self.calls[call].work;
        self.instances[n].runs.insert(call);
        self.over(n);
        // The worker's call ends with its work, or when the proxy closes the connection at the end of the
        // call.
        let runs = work.min(left);
        self.later(runs, Event::Ran { call });
        let event = if runs < left {
            Event::CallEnded { call, incarnation }
        } else {
            Event::Due { call, incarnation }
        };
        self.later(runs + MS / 5, event);
    }

    /// Checks grants that no owner may make any more, also those that the requester would not use.
    fn check_grants(&mut self, bytes: &[u8]) {
        let messages = Datagram::decode(bytes).map(|datagram| datagram.messages).unwrap_or_default();
        for message in messages {
            if let Message::Grant { instance, .. } = message {
                self.granted_in_time(self.by_id[&instance]);
            }
        }
    }

    /// All learn of a drain within the skew of views; a queue for the instance is served elsewhere.
    fn granted_in_time(&mut self, n: usize) {
        let frozen = self.hosts.iter().any(|h| h.frozen.is_some());
        let Some(since) = self.instances[n].drains.filter(|_| !frozen && self.differed < self.now) else {
            return;
        };
        if self.now > since + self.skew + UNDERWAY {
            let what = format!(
                "a slot of {} is granted {:?} after its drain",
                self.instances[n].id,
                self.now - since
            );
            self.record_violation(Rule::Drain, what);
        }
    }

    /// By the last instance list that this host received.
    fn knows_it_leaves(&self, who: usize, n: usize) -> bool {
        let version = self.hosts[who].instance_lists;
        let is_it = |entry: &&Entry| entry.instance == self.instances[n].id;
        match self.instance_lists[version].iter().find(is_it) {
            Some(entry) => !entry.accepts_calls,
            None => self.instance_lists[..version].iter().flatten().any(|entry| is_it(&entry)),
        }
    }

    /// Calls are answered by their end, give or take a sweep; a process that was frozen answers when it
    /// resumes.
    fn in_time(&mut self, who: usize, call: usize) {
        let (now, end) = (self.local_time(who), self.calls[call].end);
        if now > end + 60 * MS && self.now > self.hosts[who].unfrozen_at + 100 * MS {
            let what = format!("call {call} of {who} is answered {:?} after its end", now - end);
            self.record_violation(Rule::Answer, what);
        }
    }

    fn no(&mut self, who: usize, seq: u32) {
        // A call that is rejected within `request_slot` is not registered here yet.
        let Some(&call) = self.hosts[who].calls.get(&seq) else { return };
        if self.calls[call].dispatched.is_some() || self.calls[call].refused {
            self.record_violation(Rule::Once, format!("call {call} was answered twice"));
        }
        self.in_time(who, call);
        self.calls[call].refused = true;
        self.calls[call].over = Some(self.now);
        self.out.refused += 1;
    }

    fn settle(&mut self, call: usize, ended: Ended) {
        let (who, seq) = (self.calls[call].who, self.calls[call].seq);
        if self.calls[call].over.is_some() || self.hosts[who].incarnation != self.calls[call].incarnation {
            return;
        }
        self.calls[call].over = Some(self.now);
        self.log(|| format!("call {call} of {who} is over"));
        let now = self.local_time(who);
        if let Some(allocator) = &mut self.hosts[who].allocator {
            allocator.settle(now, seq, ended);
        }
        self.pump(who);
    }

    fn disturb(&mut self) {
        let hosts = self.hosts.len();
        let who = self.random_below(hosts);
        let up = self.hosts.iter().filter(|h| h.allocator.is_some() && h.frozen.is_none()).count();
        let choice = self.random_below(if self.class == Class::Rough { 8 } else { 5 });
        if self.class == Class::Planned && choice > 1 {
            return self.disturb_planned(who);
        }
        self.log(|| format!("disturbance {choice} on {who}"));
        match choice {
            0 => {
                let kinds = self.kinds.len();
                let kind = self.random_below(kinds);
                self.begin(kind, false);
                self.publish_instances();
            }
            1 => {
                let accepts_calls: Vec<usize> =
                    (0..self.instances.len()).filter(|n| self.instances[*n].drains.is_none()).collect();
                if accepts_calls.len() > 1 {
                    let n = accepts_calls[self.random_below(accepts_calls.len())];
                    self.instances[n].drains = Some(self.now);
                    self.publish_instances();
                }
            }
            2 => {
                let old: Vec<usize> = (0..self.instances.len())
                    .filter(|n| {
                        let i = &self.instances[*n];
                        i.ended.is_none() && i.drains.is_some_and(|at| at + 1500 * MS < self.now)
                    })
                    .collect();
                for n in old {
                    let now = self.now;
                    let i = &mut self.instances[n];
                    i.ended = Some(now);
                    i.runs.clear();
                    let id = i.id.clone();
                    self.gone.push(id);
                    self.publish_instances();
                }
            }
            3 if self.hosts[who].allocator.is_none() => self.handle(Event::Start { who }),
            // A kill in a tidy run resets its connections and ends its calls. Otherwise the power fails at
            // times.
            3 | 4 if up > 1 && self.hosts[who].allocator.is_some() => {
                let power = self.class == Class::Rough && self.random_below(2) == 0;
                self.kill(who, power);
            }
            5 if self.hosts[who].allocator.is_some() && self.hosts[who].frozen.is_none() => {
                self.hosts[who].frozen = Some(Vec::new());
                let lasts = self.span(100 * MS, 4000 * MS);
                self.later(lasts, Event::Unfreeze { who });
            }
            6 => {
                let other = self.random_below(hosts);
                if other != who {
                    let (a, b) = (who.min(other), who.max(other));
                    self.partitions.insert((a, b));
                    let lasts = self.span(100 * MS, 3000 * MS);
                    self.later(lasts, Event::HealCut { a, b });
                }
            }
            // A view that lacks a member, and the right one soon after.
            7 => {
                let mut view = self.views.last().cloned().unwrap_or_default();
                if view.len() > 1 {
                    let n = self.random_below(view.len());
                    view.remove(n);
                    self.views.push(view);
                    let version = self.views.len() - 1;
                    let incarnation = self.hosts[who].incarnation;
                    self.later(MS, Event::View { who, incarnation, version });
                    self.publish_view();
                }
            }
            _ => {}
        }
    }

    fn kill(&mut self, who: usize, power: bool) {
        self.end(who, power);
        self.publish_view();
        let back = self.span(50 * MS, 2500 * MS);
        self.later(back, Event::Start { who });
    }

    /// The process ends, with the calls that it has.
    fn end(&mut self, who: usize, power: bool) {
        let incarnation = self.hosts[who].incarnation;
        self.hosts[who].allocator = None;
        self.hosts[who].without_power = power;
        self.hosts[who].frozen = None;
        let now = self.now;
        for (n, call) in self.calls.iter_mut().enumerate() {
            if call.who == who && call.incarnation == incarnation && call.over.is_none() {
                call.over = Some(now);
                if let Some(i) = call.instance.filter(|_| !power) {
                    self.instances[i].runs.remove(&n);
                }
            }
        }
    }

    /// Checks one instance after a call was sent to it.
    fn over(&mut self, n: usize) {
        let slots = self.kinds[self.instances[n].kind].1;
        let runs = self.instances[n].runs.len();
        let rate = runs as f64 / slots as f64;
        self.out.worst = self.out.worst.max(rate);
        if runs <= slots {
            return;
        }
        self.over_since.get_or_insert(self.now);
        let id = self.instances[n].id.clone();
        // Grants made while views differed are over after the longest expiry.
        let calm = self.now > self.differed + self.longest + EXPIRY_SLACK && self.partitions.is_empty();
        if calm || self.class != Class::Rough {
            self.record_violation(Rule::Slots, format!("{id} has {runs} calls in {slots} slots"));
        }
        let owners = self.owners.get(&n).map_or(1, |l| l.len()).max(1);
        if runs > slots * owners {
            let what = format!("{id} has {runs} calls in {slots} slots of {owners} recent owners");
            self.record_violation(Rule::Bound, what);
        }
    }

    fn calm_views(&self) -> bool {
        let newest = self.views.len() - 1;
        let there = self.hosts.iter().filter(|h| h.allocator.is_some());
        let known_members = |h: &Host| h.allocator.as_ref().is_some_and(|l| l.suspects().next().is_none());
        there.clone().all(|h| h.frozen.is_none() && h.view == newest && known_members(h))
            && self.partitions.is_empty()
            && self.now > self.differed
    }

    /// Checks the invariants that hold after each step.
    fn check_invariants(&mut self) {
        if let Some(since) = self.over_since {
            let slots = |i: &Instance| self.kinds[i.kind].1;
            if self.instances.iter().all(|i| i.runs.len() <= slots(i)) {
                self.out.over += self.now - since;
                self.over_since = None;
            }
        }
        // The ledgers are read ten times more often than the smallest bound.
        if self.now < self.last_check + 5 * MS {
            return;
        }
        self.last_check = self.now;
        // While a process suspects an owner it has a view of its own.
        let mut living = self.hosts.iter().filter_map(|h| h.allocator.as_ref());
        if living.any(|allocator| allocator.suspects().next().is_some()) {
            self.differed = self.differed.max(self.now);
        }
        let calm = self.calm_views();
        let mut found = Vec::new();
        let mut seen = Vec::new();
        let mut open: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        for (who, host) in self.hosts.iter().enumerate() {
            let Some(allocator) = host.allocator.as_ref().filter(|_| host.frozen.is_none()) else {
                self.idle.retain(|(other, _), _| *other != who);
                continue;
            };
            let local_time = self.now.saturating_sub(host.started_at).mul_f64(1.0 + host.clock_rate);
            for pool in allocator.pools() {
                let key = |w: &tindock_slot_allocation::pool::SlotRequest| (w.late, w.priority, w.aim);
                if pool.queue.windows(2).any(|pair| key(&pair[0]) > key(&pair[1])) {
                    found.push((Rule::ServiceOrder, format!("the queue of {who} is out of order")));
                }
                let idle = (who, pool.function.id);
                if !pool.queue.is_empty() && pool.free(local_time) > 0 {
                    let since = *self.idle.entry(idle).or_insert(self.now);
                    if self.now > since + IDLE_SLOT {
                        let what = format!("{who} has {} calls queued beside a free slot", pool.queue.len());
                        found.push((Rule::Starved, what));
                    }
                } else {
                    self.idle.remove(&idle);
                }
                for ledger in &pool.ledgers {
                    let n = self.by_id[&ledger.entry.instance];
                    if ledger.can_grant(local_time) {
                        open.entry(n).or_default().push(who);
                    }
                    let lately = self.owners.entry(n).or_default();
                    lately.insert((who, host.incarnation), self.now);
                    for grant in &ledger.grants {
                        seen.push((who, host.incarnation, n, grant.to, grant.seq));
                    }
                }
            }
        }
        for (n, owners) in open.into_iter().filter(|(_, owners)| owners.len() > 1) {
            if self.class == Class::Planned {
                found.push((
                    Rule::TwoOwners,
                    format!("slots of {} can be granted by {owners:?}", self.instances[n].id),
                ));
            }
        }
        let old = self.longest + EXPIRY_SLACK;
        let mut kept = HashMap::with_capacity(seen.len());
        for key in seen {
            let since = self.grants.get(&key).copied().unwrap_or(self.now);
            kept.insert(key, since);
            let (who, _, n, to, seq) = key;
            let held = self.now - since;
            if held > old + old.mul_f64(0.02) {
                let what =
                    format!("{who} has recorded a grant of {to} on {} for {held:?}", self.instances[n].id);
                found.push((Rule::Term, what));
            }
            if !calm {
                continue;
            }
            // The call is over, or never was, at a running requester: it has had time to return the slot.
            let Some(&other) = self.by_at.get(&to) else { continue };
            let host = &self.hosts[other];
            let over = match host.calls.get(&seq) {
                Some(&call) => self.calls[call].over,
                None => None,
            };
            if let Some(over) = over {
                let since_change = over.max(since).max(self.differed);
                let slow = matches!(self.class, Class::Planned | Class::Rough);
                let bound = if slow { CHECK_BOUND } else { RETURN_BOUND };
                if self.now > since_change + bound {
                    let id = &self.instances[n].id;
                    found.push((
                        Rule::Returned,
                        format!("{who} records a grant of {to} on {id}: over since {over:?}"),
                    ));
                }
            }
        }
        self.grants = kept;
        for lately in self.owners.values_mut() {
            lately.retain(|_, at| *at + old > self.now);
        }
        for (rule, what) in found {
            self.record_violation(rule, what);
        }
    }

    fn close(&mut self) {
        let mut found = Vec::new();
        for (n, call) in self.calls.iter().enumerate() {
            let host = &self.hosts[call.who];
            if call.dispatched.is_some() {
                self.out.dispatched += 1;
                let took = call.dispatched.map_or(Duration::ZERO, |at| at - call.arrived);
                self.out.slowest = self.out.slowest.max(took);
                if call.dispatched.is_some_and(|at| at <= call.aim) {
                    self.out.in_aim += 1;
                }
            }
            if call.dispatched.is_none()
                && !call.refused
                && call.over.is_none()
                && host.incarnation == call.incarnation
            {
                found.push((Rule::Answer, format!("call {n} of {} was not answered", call.who)));
            }
            if self.class == Class::Quiet && call.dispatched.is_none_or(|at| at > call.aim) {
                found.push((Rule::Starved, format!("call {n} is past its aim although slots are free")));
            }
        }
        for (who, host) in self.hosts.iter().enumerate() {
            let Some(allocator) = &host.allocator else { continue };
            if allocator.pools().any(|s| s.granted() > 0) {
                found.push((Rule::Term, format!("{who} has grants recorded after all calls are over")));
            }
        }
        for (rule, what) in found {
            self.record_violation(rule, what);
        }
    }
}

/// Simulates one seed.
pub fn simulate(class: Class, seed: u64) -> Outcome {
    World::new(class, seed).run()
}
