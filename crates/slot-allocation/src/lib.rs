//! Allocation of instance slots among schedulers, without I/O: inputs carry the time, and actions are pulled
//! until there is none.
//!
//! Every instance has one owner among the schedulers: the one with the highest random weight among the
//! members of its zone, as published by the holder of the leadership lease. A scheduler that has a call
//! requests a slot from the owner in the nearest zone that has instances. A slot is granted for one call and
//! returned with the way in which the call ended. At most `max_inflight` slots of an instance's function are
//! granted at once. A new owner waits for the handover of the former one, or until the requesters have
//! reported the slots that they hold.
//!
//! - `requests`, `granting`: a call at its requester, and at the owner; `pool`, `ledger`, `selection`: the
//!   owner's ledgers, and the choice of an instance;
//! - `membership`, `owners`, `handover`, `reachability`: who owns which instance, changes of owner, and who
//!   can be reached;
//! - `receive`, `messages`, `datagram`, `function_id`, `incarnations`, `finished_calls`: the protocol, the
//!   incarnation of a sender, and late copies;
//! - `capacity`: which other zone has free slots; `instances`, `departed`: instances that are added and
//!   removed.

mod capacity;
pub mod datagram;
pub mod defects;
pub mod departed;
pub mod finished_calls;
pub mod function_id;
mod granting;
mod handover;
pub mod incarnations;
mod instances;
pub mod ledger;
mod membership;
pub mod messages;
pub mod owners;
pub mod pool;
mod reachability;
mod receive;
mod requests;
pub mod selection;

use datagram::{messages_that_fit, Datagram};
use defects::{injected, Defect};
use departed::Departed;
use finished_calls::FinishedCalls;
use function_id::{name_hash, FunctionId};
use handover::{Cause, Early, Pending};
use incarnations::Incarnations;
use ledger::SlotGrant;
use messages::{Ended, Message};
use oorandom::Rand32;
use owners::Owners;
use pool::SlotPool;
pub use pool::{Entry, Function, LoadReport};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// An unanswered request or return is resent after this, then after twice as long each time: a few round
/// trips across regions.
const RESEND_AFTER: Duration = Duration::from_millis(60);
/// The same for a request that is known to be queued.
const RESEND_QUEUED_AFTER: Duration = Duration::from_millis(400);
/// Attempts without a reply before an owner is suspected.
const MAX_ATTEMPTS: u32 = 3;
/// A process heard from this recently is not suspected.
const RESPONSIVE_FOR: Duration = Duration::from_millis(250);
/// Interval at which a suspected process is pinged; once it replies it receives requests again.
pub const SUSPECT_RETRY: Duration = Duration::from_millis(500);
/// A member heard from this recently is reachable.
const REACHABLE_FOR: Duration = Duration::from_millis(1000);
/// A process that has been isolated for this long, and whose agent does not reach the controllers, rejects
/// its calls.
const REJECT_AFTER: Duration = Duration::from_millis(600);
/// After this long it grants no slots either: the others may have new owners by then. (They are suspected
/// 0.4 s before this counts.)
const FENCED_AFTER: Duration = Duration::from_millis(900);
/// The process counts as isolated if at least this many members, and at least one in so many, are
/// unreachable.
const MIN_UNREACHABLE: usize = 2;
const UNREACHABLE_SHARE: usize = 3;
/// The number of members of unknown state that are pinged at once.
const MAX_PINGS: usize = 8;
/// Clients of an isolated process are asked to retry after this.
const ISOLATED_RETRY: Duration = Duration::from_millis(300);
/// A call that only unresponsive owners could serve is given up after this.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(800);
/// An owner heard from this recently is not probed.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(250);
/// How long the capacity that an owner announced is considered valid.
const CAPACITY_VALID_FOR: Duration = Duration::from_millis(400);
/// Shortest interval between announcements of a full queue to the other owners of the function.
const FULL_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest interval between announcements of free slots to owners that have calls queued.
const FREE_INTERVAL: Duration = Duration::from_millis(40);
/// The most owners that capacity is announced to: those of the nearest zones.
const MAX_CAPACITY_PEERS: usize = 8;
/// What a redirect costs a call: the reply, the new request, the grant and the longer path to the worker.
const SAME_REGION_COST: Duration = Duration::from_millis(6);
const CROSS_REGION_COST: Duration = Duration::from_millis(45);
/// A request is redirected at most this often.
const MAX_HOPS: u8 = 3;
/// Returns are resent for this long.
const RESEND_FOR: Duration = Duration::from_secs(3);
/// The most calls in progress; more are rejected at once.
const MAX_CALLS: usize = 20_000;
/// Shortest interval between reports of a shortage.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(80);
/// Interval at which a starting instance is dialled once half of its usual start time has passed.
const DIAL_INTERVAL: Duration = Duration::from_millis(50);
/// After a longer gap between two ticks this process is assumed not to have run.
const MAX_TICK_GAP: Duration = Duration::from_millis(250);

/// A scheduler that grants and requests slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    pub at: SocketAddr,
    pub zone: String,
    pub region: String,
    pub incarnation: u32,
}

#[derive(Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The call may be sent to this instance.
    Dispatch {
        call: u32,
        instance: String,
        at: SocketAddr,
    },
    /// The call cannot be served in time; the client may retry after `after`.
    Reject {
        call: u32,
        after: Duration,
    },
    /// Check whether a starting instance accepts connections; report the result with `dialled`.
    Dial {
        instance: String,
        at: SocketAddr,
    },
    /// For the autoscaler, at once: the address serves no more.
    InstanceGone {
        instance: String,
    },
    /// For the autoscaler: a connection to the instance succeeded for the first time.
    InstanceReady {
        instance: String,
    },
    /// For the autoscaler, at once: a call has found no instance.
    InstanceWanted(LoadReport),
    /// Check whether a process runs there: if its connections are refused, report it with
    /// `connection_refused`.
    Probe {
        owner: SocketAddr,
    },
    /// For the log: this owner does not reply, and requests go to others for a while.
    Suspected {
        owner: SocketAddr,
    },
}

#[derive(Debug, Clone)]
enum Stage {
    Requesting {
        to: SocketAddr,
        sent: Duration,
        tries: u32,
        waits: bool,
        hops: u8,
    },
    /// `granted_by`: the process that granted the slot, which others may take for its owner. `reported`: when
    /// and how often the slot was reported to a new owner that has not acknowledged it.
    Holding {
        owner: SocketAddr,
        granted_by: SocketAddr,
        instance: String,
        since: Duration,
        reported: Option<(Duration, u32)>,
    },
    Returning {
        owner: SocketAddr,
        ended: Ended,
        ms: u32,
        sent: Duration,
        tries: u32,
        began: Duration,
    },
}

#[derive(Debug, Clone)]
struct Call {
    function_id: FunctionId,
    priority: u8,
    /// A call that ends by its aim has its full value; after that it is worth less until its `end`.
    aim: Duration,
    end: Duration,
    arrived: Duration,
    avoid: u32,
    stage: Stage,
}

/// The capacity of a function at an owner, as received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    pub received: Duration,
    pub free: u8,
    pub waiting: u8,
    /// Duration of a call there in ms; 0 where it was not announced.
    pub run: u16,
}

/// A grant that no call awaited: returned until the owner acknowledges it.
#[derive(Debug, Clone)]
struct UnusedGrant {
    to: SocketAddr,
    seq: u32,
    function_id: FunctionId,
    instance: u32,
    sent: Duration,
    tries: u32,
    began: Duration,
    /// This process knows that the instance leaves; the owner pauses the instance.
    refused: bool,
}

impl UnusedGrant {
    fn message(&self) -> Message {
        let UnusedGrant { seq, function_id, instance, .. } = *self;
        match self.refused {
            true => Message::Refused { seq, function_id, instance },
            false => Message::Release { seq, function_id, instance },
        }
    }
}

pub struct Allocator {
    me: SocketAddr,
    zone: String,
    incarnation: u32,
    rng: Rand32,
    owners: Owners,
    /// The members before the present ones.
    former: Vec<Member>,
    /// Owners that do not reply, and when they are next pinged. Requests go to others where there are others;
    /// ownership does not change.
    suspects: HashMap<SocketAddr, Duration>,
    /// Since when too many members have been unreachable.
    isolated: Option<Duration>,
    /// The agent of this process reaches the controllers.
    controllers_reachable: bool,
    /// Members of unknown state that were pinged, and since when.
    pinged: BTreeMap<SocketAddr, Duration>,
    /// When members of unknown state were last pinged.
    last_ping: Duration,
    /// When an owner in the zone of this process was last probed because a call arrived here.
    probed: HashMap<SocketAddr, Duration>,
    pending: Vec<Pending>,
    early: HashMap<String, Early>,
    /// The processes to which instances were recently handed over.
    handed_to: HashMap<String, (SocketAddr, Duration)>,
    functions: BTreeMap<FunctionId, Function>,
    entries: BTreeMap<String, Entry>, // all instances, by id
    instances_by_function: HashMap<FunctionId, Vec<String>>,
    departed: Departed,
    pools: BTreeMap<FunctionId, SlotPool>,
    score: selection::Score,
    calls: BTreeMap<u32, Call>,
    /// Call numbers: each incarnation has its own range, so that no message for the one before matches a call
    /// of this one.
    first: u32,
    next: u32,
    unused_grants: Vec<UnusedGrant>,
    /// Grants of instances that another process owns now; the instances may come back.
    parked: HashMap<String, Vec<SlotGrant>>,
    /// The capacity that owners announced, by function.
    capacities: HashMap<(FunctionId, SocketAddr), Capacity>,
    /// Owners of a function that had calls queued, and when they reported it.
    short_peers: BTreeMap<(FunctionId, SocketAddr), Duration>,
    /// When capacity was last sent to another owner, and whether slots were free.
    capacity_sent: HashMap<(FunctionId, SocketAddr), (Duration, bool)>,
    /// Functions that were announced as full.
    announced_full: BTreeSet<FunctionId>,
    /// When each process was last heard from, and in which incarnation.
    incarnations: Incarnations,
    /// Queries to addresses where two incarnations have sent: the number of the query, and when it was sent.
    incarnation_queries: HashMap<SocketAddr, (u32, Duration)>,
    /// Calls of other processes that are over here.
    finished: FinishedCalls,
    outgoing: BTreeMap<SocketAddr, Vec<Message>>,
    local_queue: VecDeque<Message>,
    actions: VecDeque<Action>,
    now: Duration,
    /// The time in which this process ran, by its ticks: messages received while it is frozen do not age.
    awake: Duration,
    ticked: Duration,
    swept: Duration,
    began: Duration,
    /// When the members last changed.
    changed: Duration,
}

/// Sorts before all other addresses.
const LOWEST: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Allocator {
    pub fn new(me: SocketAddr, zone: String, incarnation: u32, seed: u64, now: Duration) -> Self {
        let first = match injected(Defect::NumbersReused) {
            true => 1,
            false => incarnation.wrapping_mul(0x9e37_79b9).max(1),
        };
        Allocator {
            me,
            zone,
            incarnation,
            rng: Rand32::new(seed),
            owners: Owners::default(),
            former: Vec::new(),
            suspects: HashMap::new(),
            isolated: None,
            controllers_reachable: false,
            pinged: BTreeMap::new(),
            last_ping: Duration::ZERO,
            probed: HashMap::new(),
            pending: Vec::new(),
            early: HashMap::new(),
            handed_to: HashMap::new(),
            functions: BTreeMap::new(),
            entries: BTreeMap::new(),
            instances_by_function: HashMap::new(),
            departed: Departed::default(),
            pools: BTreeMap::new(),
            score: selection::index,
            calls: BTreeMap::new(),
            first,
            next: first,
            unused_grants: Vec::new(),
            parked: HashMap::new(),
            capacities: HashMap::new(),
            short_peers: BTreeMap::new(),
            capacity_sent: HashMap::new(),
            announced_full: BTreeSet::new(),
            incarnations: Incarnations::default(),
            incarnation_queries: HashMap::new(),
            finished: FinishedCalls::default(),
            outgoing: BTreeMap::new(),
            local_queue: VecDeque::new(),
            actions: VecDeque::new(),
            now,
            awake: Duration::ZERO,
            ticked: now,
            swept: now,
            began: now,
            changed: now,
        }
    }

    /// Replaces the scoring of instances, to compare it with the index; the programs don't use it.
    pub fn with_score(mut self, score: selection::Score) -> Self {
        self.score = score;
        self
    }

    /// Returns a grant that no call awaits, or (instance 0) withdraws a queued request.
    fn return_unused(&mut self, to: SocketAddr, seq: u32, function_id: FunctionId, instance: u32) {
        self.give_back(to, seq, function_id, instance, false);
    }

    fn give_back(&mut self, to: SocketAddr, seq: u32, function_id: FunctionId, instance: u32, refused: bool) {
        let now = self.now;
        let unused = UnusedGrant { to, seq, function_id, instance, sent: now, tries: 1, began: now, refused };
        let message = unused.message();
        if !self.unused_grants.iter().any(|s| (s.to, s.seq, s.instance) == (to, seq, instance))
            && self.unused_grants.len() < 4096
            && to != self.me
        {
            self.unused_grants.push(unused);
        }
        self.send(to, message);
    }

    /// Whether a request may be sent to the instance, by the list of this process. An instance that is not
    /// listed yet may be new. An owner that was cut off, or did not run, may grant slots of instances that it
    /// doesn't know to leave.
    pub fn may_send_to(&self, instance: &str) -> bool {
        let leaves = match self.entries.get(instance) {
            Some(entry) => !entry.accepts_calls,
            None => self.departed.contains(instance),
        };
        !leaves || injected(Defect::LeavingUsed)
    }

    /// Instances that are new or have changed, and the ids of those that have ended.
    pub fn update_instances(&mut self, now: Duration, changed: Vec<Entry>, ended: &[String]) {
        self.now = now;
        // Only the functions affected are updated: a large fleet changes many times a second.
        let mut function_ids = BTreeSet::new();
        for id in ended {
            self.departed.note(now, id);
            if let Some(old) = self.entries.remove(id) {
                function_ids.insert(old.function_id);
                if let Some(ids) = self.instances_by_function.get_mut(&old.function_id) {
                    ids.retain(|other| other != id);
                }
            }
        }
        for entry in changed {
            self.departed.is_back(&entry.instance);
            function_ids.insert(entry.function_id);
            let ids = self.instances_by_function.entry(entry.function_id).or_default();
            if !ids.contains(&entry.instance) {
                ids.push(entry.instance.clone());
            }
            let ready = self.entries.get(&entry.instance).is_some_and(|old| old.ready);
            let entry = Entry { ready: entry.ready || ready, ..entry };
            self.entries.insert(entry.instance.clone(), entry);
        }
        self.update_pools(function_ids, &Cause::Update);
        self.claim();
        self.pump();
    }

    /// The ids of known instances that a complete list lacks.
    pub fn entries_missing_from<T>(&self, list: &[T], id: impl Fn(&T) -> &str) -> Vec<String> {
        let listed: HashSet<&str> = list.iter().map(id).collect();
        self.entries.keys().filter(|known| !listed.contains(known.as_str())).cloned().collect()
    }

    /// The owner of the instances of this function in this zone.
    fn owner_of(&self, function_id: FunctionId, zone: &str) -> Option<SocketAddr> {
        self.owners.owner(function_id, zone)
    }

    fn region(&self, zone: &str) -> Option<&str> {
        self.owners.region(zone)
    }

    /// The call is over at this scheduler, whether or not it held a slot.
    pub fn settle(&mut self, now: Duration, seq: u32, ended: Ended) {
        self.now = now;
        let Some(call) = self.calls.get_mut(&seq) else { return };
        let (owner, held, granted_by) = match &call.stage {
            Stage::Requesting { to, .. } => (*to, Duration::ZERO, None),
            Stage::Holding { owner, since, granted_by, instance, .. } => {
                let other = (granted_by != owner).then(|| (*granted_by, name_hash(instance)));
                (*owner, now.saturating_sub(*since), other)
            }
            Stage::Returning { .. } => return,
        };
        let ended = if matches!(call.stage, Stage::Requesting { .. }) { Ended::Idle } else { ended };
        let message = Message::Return { seq, function_id: call.function_id, ended, ms: ms(held) };
        call.stage = Stage::Returning { owner, ended, ms: ms(held), sent: now, tries: 1, began: now };
        let function_id = call.function_id;
        self.send(owner, message);
        if let Some((granted_by, instance)) = granted_by {
            self.return_unused(granted_by, seq, function_id, instance);
        }
        self.pump();
    }

    /// Whether a starting instance accepted a connection.
    pub fn dialled(&mut self, now: Duration, instance: &str, taken: bool) {
        self.now = now;
        if !taken {
            return;
        }
        let Some(entry) = self.entries.get_mut(instance) else { return self.pump() };
        let function_id = entry.function_id;
        let mut pool = self.pools.get_mut(&function_id);
        let ledger =
            pool.as_mut().and_then(|pool| pool.ledgers.iter_mut().find(|b| b.entry.instance == instance));
        let first = !std::mem::replace(&mut entry.ready, true);
        // It refused connections before and accepts one now: its start has just ended.
        let started = ledger.is_some_and(|ledger| {
            ledger.entry.ready = true;
            first && ledger.refused
        });
        if started {
            let took = now.saturating_sub(entry.since);
            pool.into_iter().for_each(|pool| pool.started(took));
        }
        if first {
            self.actions.push_back(Action::InstanceReady { instance: instance.to_string() });
        }
        self.serve(function_id);
        self.pump();
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.me {
            self.local_queue.push_back(message);
        } else {
            self.outgoing.entry(to).or_default().push(message);
        }
    }

    /// Handles the messages that this process sent to itself, until none is left.
    fn pump(&mut self) {
        while let Some(message) = self.local_queue.pop_front() {
            self.handle_message(self.me, self.incarnation, message);
        }
    }

    fn forget(&mut self, instance: &str) {
        if let Some(old) = self.entries.remove(instance) {
            if let Some(ids) = self.instances_by_function.get_mut(&old.function_id) {
                ids.retain(|other| other != instance);
            }
        }
    }

    /// Periodic work: resends requests and returns, serves queues. To be called every 25 ms while calls are
    /// in progress.
    pub fn tick(&mut self, now: Duration) {
        self.now = now;
        self.awake += now.saturating_sub(self.ticked).min(MAX_TICK_GAP);
        self.ticked = now;
        if now < self.swept + Duration::from_millis(20) {
            return self.pump();
        }
        self.swept = now;
        self.resend();
        self.resend_handovers();
        self.claim();
        let function_ids: Vec<FunctionId> = self.pools.keys().copied().collect();
        for function_id in function_ids {
            self.sweep(function_id);
        }
        self.probe();
        self.short_peers.retain(|_, at| *at + CAPACITY_VALID_FOR > now);
        if self.capacity_sent.len() > 1024 {
            self.capacity_sent.retain(|_, (at, _)| *at + CAPACITY_VALID_FOR > now);
        }
        if !self.parked.is_empty() {
            self.parked.values_mut().for_each(|grants| grants.retain(|grant| grant.until > now));
            self.parked.retain(|_, grants| !grants.is_empty());
        }
        self.pump();
    }

    /// The load reports due for functions of which this process owns instances.
    pub fn load_reports(&mut self, now: Duration, at_least: Duration) -> Vec<LoadReport> {
        self.now = now;
        self.pools.values_mut().filter_map(|pool| pool.load_report(now, at_least)).collect()
    }

    /// The functions of which this process owns instances, with their grants and queues.
    pub fn pools(&self) -> impl Iterator<Item = &SlotPool> {
        self.pools.values()
    }

    /// The number of calls in progress: requests, held slots and unacknowledged returns.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Owners that do not reply and receive no requests until they do, where there are others.
    pub fn suspects(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.suspects.keys().copied()
    }

    /// The zone of a member.
    pub fn zone_at(&self, at: SocketAddr) -> Option<&str> {
        self.owners.member(at).map(|m| m.zone.as_str())
    }

    /// The name of the zone with this hash, among those of the members.
    pub fn zone(&self, of: u32) -> Option<&str> {
        self.owners.members().iter().map(|m| m.zone.as_str()).find(|zone| name_hash(zone) == of)
    }

    /// The name of a known function.
    pub fn name(&self, function_id: FunctionId) -> Option<&str> {
        self.functions.get(&function_id).map(|f| f.name.as_str())
    }

    /// Whether `tick` has work to do soon.
    pub fn busy(&self) -> bool {
        !self.calls.is_empty()
            || !self.unused_grants.is_empty()
            || !self.pending.is_empty()
            || self.pools.values().any(|pool| pool.ledgers.iter().any(|ledger| ledger.awaits.is_some()))
            || self.pools.values().any(|s| {
                !s.queue.is_empty() || s.ledgers.iter().any(|b| !b.entry.ready && b.entry.accepts_calls)
            })
    }

    /// The next action, if there is one.
    pub fn pull(&mut self) -> Option<Action> {
        self.pump();
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        let to = *self.outgoing.keys().next()?;
        let messages = self.outgoing.get_mut(&to)?;
        let fit = messages_that_fit(messages);
        let mut part: Vec<Message> = messages.drain(..fit).collect();
        if messages.is_empty() {
            self.outgoing.remove(&to);
        }
        self.piggyback_capacities(to, &mut part);
        let datagram = Datagram { incarnation: self.incarnation, messages: part };
        Some(Action::Send { to, bytes: datagram.encode_as(self.incarnations.form(&to)) })
    }
}

/// Free slots and queued calls as they are announced: at most 255.
fn advertised_capacity(pool: &SlotPool, now: Duration) -> (u8, u8) {
    let cut = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    (cut(pool.free(now)), cut(pool.queue.len()))
}
