//! Slots of instances on loan between schedulers, without I/O: inputs carry the time, orders are pulled until there is none.
//!
//! Every instance has one owner among the schedulers: by highest random weight over the members of its zone that the holder
//! of the lease published. A scheduler that has a call asks the owner in the nearest zone that has instances; a slot is lent
//! for one call, and comes back with the way it ended. The sum of slots lent of an instance is at most its function's
//! `max_inflight`. A new owner waits for what the former one hands over, or hears from the requesters what is out.
//!
//! - `asking`, `granting`: a call at its requester, and at the owner; `lender`, `pick` are the owner's books and choice;
//! - `membership`, `owners`, `handover`, `reach`: who owns what, changes of owner, and who is in reach;
//! - `letters`, `words`, `lives`, `over`: what is said, by which life, and what is over;
//! - `rooms`: which other zone has free slots; `shelving`, `departed`: instances that come and go.

mod capacity;
pub mod defects;
pub mod departed;
pub mod finished_calls;
mod granting;
mod handover;
pub mod incarnations;
mod instances;
mod membership;
pub mod messages;
pub mod owners;
pub mod pool;
mod reachability;
mod receive;
mod requests;
pub mod selection;

use defects::{injected, Defect};
use departed::Departed;
use finished_calls::FinishedCalls;
use handover::{Cause, Early, Pending};
use incarnations::Incarnations;
use messages::{kind as hash, messages_that_fit, Datagram, Ended, Kind, Message};
use oorandom::Rand32;
use owners::Owners;
pub use pool::{Entry, Function, LoadReport};
use pool::{SlotGrant, SlotPool};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// An ask or a return is said again after this, and then after twice as long each time: a few round trips across regions.
const RESEND_AFTER: Duration = Duration::from_millis(60);
/// The same for an ask that is known to wait.
const RESEND_QUEUED_AFTER: Duration = Duration::from_millis(400);
/// Tries without any word before a lender is passed over.
const MAX_ATTEMPTS: u32 = 3;
/// Who has been heard so lately is not passed over.
const RESPONSIVE_FOR: Duration = Duration::from_millis(250);
/// One that is passed over is asked for a word this often, and lends again once it is heard.
pub const SUSPECT_RETRY: Duration = Duration::from_millis(500);
/// A member that was heard so lately is in reach.
const REACHABLE_FOR: Duration = Duration::from_millis(1000);
/// Who is in one part of a cut network for so long, and out of touch with the controllers, turns its calls away,
const REJECT_AFTER: Duration = Duration::from_millis(600);
/// and lends no more after so long: the others may have new owners by then. (They are passed over 0.4 s before this counts.)
const FENCED_AFTER: Duration = Duration::from_millis(900);
/// So many unreachable members make a cut likely, if they are one in so many,
const MIN_UNREACHABLE: usize = 2;
const UNREACHABLE_SHARE: usize = 3;
/// and so many others are asked for a word then.
const MAX_PINGS: usize = 8;
/// Its clients are told to come back after this.
const ISOLATED_RETRY: Duration = Duration::from_millis(300);
/// A call that only silent owners could serve is given up after so long.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(800);
/// An owner that was heard so lately is not probed.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(250);
/// What a lender said of its room is believed so long.
const CAPACITY_VALID_FOR: Duration = Duration::from_millis(400);
/// A lender whose calls wait says so to the lenders of the function elsewhere, at most this often.
const FULL_INTERVAL: Duration = Duration::from_millis(150);
/// Who has room tells those that wait, at most this often.
const FREE_INTERVAL: Duration = Duration::from_millis(40);
/// Lenders that are told: those whose zones come first from here.
const MAX_CAPACITY_PEERS: usize = 8;
/// What handing on costs a call: the word back, the ask, the grant and the longer way to the worker.
const SAME_REGION_COST: Duration = Duration::from_millis(6);
const CROSS_REGION_COST: Duration = Duration::from_millis(45);
/// An ask is sent on at most so often before it stays where it is.
const MAX_HOPS: u8 = 3;
/// Returns are said again for so long.
const RESEND_FOR: Duration = Duration::from_secs(3);
/// Calls in hand; more are turned away at once.
const MAX_CALLS: usize = 20_000;
/// A shortage is told this often.
const SHORTAGE_INTERVAL: Duration = Duration::from_millis(80);
/// A starting instance is tried this often once half of its usual start has passed.
const DIAL_INTERVAL: Duration = Duration::from_millis(50);
/// A longer pause between two ticks is one in which this process did not run.
const MAX_TICK_GAP: Duration = Duration::from_millis(250);

/// A scheduler that lends and borrows.
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
    /// The call may go to this instance.
    Dispatch {
        call: u32,
        instance: String,
        at: SocketAddr,
    },
    /// It cannot be served in time; worth another try after so long.
    Reject {
        call: u32,
        after: Duration,
    },
    /// See whether a starting instance takes connections; answer with `dialled`.
    Dial {
        instance: String,
        at: SocketAddr,
    },
    /// For the scaler, at once: the address serves no more.
    InstanceGone {
        instance: String,
    },
    /// For the scaler: it has been reached for the first time.
    InstanceReady {
        instance: String,
    },
    /// For the scaler, at once: a call has found no instance.
    InstanceWanted(LoadReport),
    /// Whether a process runs there: if its connections are refused, answer with `has_ended`.
    Probe {
        owner: SocketAddr,
    },
    /// For the log: this lender has said nothing, and another is asked for a while.
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
    /// `gave`: who granted it, and may be taken for its lender by others. `told`: a new lender has been told of it, and has
    /// not said yet that it heard; when and how often.
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
    kind: Kind,
    priority: u8,
    aim: Duration,
    end: Duration,
    arrived: Duration,
    avoid: u32,
    stage: Stage,
}

/// What a lender has of a function, as it was heard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    pub received: Duration,
    pub free: u8,
    pub waiting: u8,
    /// ms that a call takes there; 0 where it was not told.
    pub run: u16,
}

/// A slot that came though nobody waited for it: given back until the lender has heard.
#[derive(Debug, Clone)]
struct UnusedGrant {
    to: SocketAddr,
    seq: u32,
    kind: Kind,
    instance: u32,
    sent: Duration,
    tries: u32,
    began: Duration,
    /// This one knows the instance to leave: the lender rests it.
    refused: bool,
}

impl UnusedGrant {
    fn message(&self) -> Message {
        let UnusedGrant { seq, kind, instance, .. } = *self;
        match self.refused {
            true => Message::Refused { seq, kind, instance },
            false => Message::Release { seq, kind, instance },
        }
    }
}

pub struct Allocator {
    me: SocketAddr,
    zone: String,
    incarnation: u32,
    rng: Rand32,
    owners: Owners,
    /// The members before these.
    former: Vec<Member>,
    /// Lenders that say nothing, and when they are next asked for a word. Others are asked where there are others; that
    /// changes no owner.
    suspects: HashMap<SocketAddr, Duration>,
    /// Since when more members are unreachable than were heard.
    isolated: Option<Duration>,
    /// The agent reaches the controllers.
    controllers_reachable: bool,
    /// Members of which nothing is known, that were asked for a word, since when.
    pinged: BTreeMap<SocketAddr, Duration>,
    /// When the last of them were.
    last_ping: Duration,
    /// When an owner in this one's zone was last probed for a call that came here.
    probed: HashMap<SocketAddr, Duration>,
    pending: Vec<Pending>,
    early: HashMap<String, Early>,
    /// To whom this one handed instances over lately.
    handed_to: HashMap<String, (SocketAddr, Duration)>,
    functions: HashMap<Kind, Function>,
    entries: BTreeMap<String, Entry>, // all instances, by id
    by_kind: HashMap<Kind, Vec<String>>,
    departed: Departed,
    pools: BTreeMap<Kind, SlotPool>,
    score: selection::Score,
    calls: BTreeMap<u32, Call>,
    /// Numbers of calls: each life has its own, so that no letter for the one before it fits a call of this one.
    first: u32,
    next: u32,
    unused_grants: Vec<UnusedGrant>,
    /// Loans of instances that another lends now: it may come back.
    parked: HashMap<String, Vec<SlotGrant>>,
    /// What lenders said of their room, by function.
    capacities: HashMap<(Kind, SocketAddr), Capacity>,
    /// Lenders of a function that had calls waiting, and when they said so.
    short_peers: BTreeMap<(Kind, SocketAddr), Duration>,
    /// When this one told another of its room, and whether it had any.
    capacity_sent: HashMap<(Kind, SocketAddr), (Duration, bool)>,
    /// Functions that were told as full.
    announced_full: BTreeSet<Kind>,
    /// Who has been heard, and in which life.
    incarnations: Incarnations,
    /// Asked of addresses where two lives have spoken: the number of the question, and when.
    incarnation_queries: HashMap<SocketAddr, (u32, Duration)>,
    /// Calls of others that are over here.
    finished: FinishedCalls,
    outgoing: BTreeMap<SocketAddr, Vec<Message>>,
    local_queue: VecDeque<Message>,
    actions: VecDeque<Action>,
    now: Duration,
    /// Time in which this process ran, as its ticks show: what came while it was frozen is no older than it was then.
    awake: Duration,
    ticked: Duration,
    swept: Duration,
    began: Duration,
    /// When the members last changed.
    changed: Duration,
}

/// Before all addresses.
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
            functions: HashMap::new(),
            entries: BTreeMap::new(),
            by_kind: HashMap::new(),
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

    /// Another way to score instances, to be compared with the index; programs leave it.
    pub fn with_score(mut self, score: selection::Score) -> Self {
        self.score = score;
        self
    }

    /// A slot that nobody waits for, or (instance 0) a place in a queue that is not wanted any more.
    fn return_unused(&mut self, to: SocketAddr, seq: u32, kind: Kind, instance: u32) {
        self.give_back(to, seq, kind, instance, false);
    }

    fn give_back(&mut self, to: SocketAddr, seq: u32, kind: Kind, instance: u32, refused: bool) {
        let now = self.now;
        let unused = UnusedGrant { to, seq, kind, instance, sent: now, tries: 1, began: now, refused };
        let message = unused.message();
        if !self.unused_grants.iter().any(|s| (s.to, s.seq, s.instance) == (to, seq, instance))
            && self.unused_grants.len() < 4096
            && to != self.me
        {
            self.unused_grants.push(unused);
        }
        self.send(to, message);
    }

    /// Whether a request may be sent there, by this one's own word. One that it hasn't heard of may be new; a lender that
    /// was cut off, or stood still, hands out what it doesn't know to leave.
    pub fn may_send_to(&self, instance: &str) -> bool {
        let leaves = match self.entries.get(instance) {
            Some(entry) => !entry.accepts_calls,
            None => self.departed.contains(instance),
        };
        !leaves || injected(Defect::LeavingUsed)
    }

    /// Instances that are new or have changed, and ids that have ended.
    pub fn update_instances(&mut self, now: Duration, changed: Vec<Entry>, ended: &[String]) {
        self.now = now;
        // Only these are looked at: a large fleet changes many times a second.
        let mut kinds = BTreeSet::new();
        for id in ended {
            self.departed.note(now, id);
            if let Some(old) = self.entries.remove(id) {
                kinds.insert(old.kind);
                if let Some(ids) = self.by_kind.get_mut(&old.kind) {
                    ids.retain(|other| other != id);
                }
            }
        }
        for entry in changed {
            self.departed.is_back(&entry.instance);
            kinds.insert(entry.kind);
            let ids = self.by_kind.entry(entry.kind).or_default();
            if !ids.contains(&entry.instance) {
                ids.push(entry.instance.clone());
            }
            let ready = self.entries.get(&entry.instance).is_some_and(|old| old.ready);
            let entry = Entry { ready: entry.ready || ready, ..entry };
            self.entries.insert(entry.instance.clone(), entry);
        }
        self.update_pools(kinds, &Cause::Update);
        self.claim();
        self.pump();
    }

    /// The ids of known instances that a whole list lacks.
    pub fn entries_missing_from<T>(&self, list: &[T], id: impl Fn(&T) -> &str) -> Vec<String> {
        let listed: HashSet<&str> = list.iter().map(id).collect();
        self.entries.keys().filter(|known| !listed.contains(known.as_str())).cloned().collect()
    }

    /// Who lends the instances of this function in this zone.
    fn owner_of(&self, kind: Kind, zone: &str) -> Option<SocketAddr> {
        self.owners.owner(kind, zone)
    }

    fn region(&self, zone: &str) -> Option<&str> {
        self.owners.region(zone)
    }

    /// The call is over at this scheduler, with or without a slot in hand.
    pub fn settle(&mut self, now: Duration, seq: u32, ended: Ended) {
        self.now = now;
        let Some(call) = self.calls.get_mut(&seq) else { return };
        let (owner, held, granted_by) = match &call.stage {
            Stage::Requesting { to, .. } => (*to, Duration::ZERO, None),
            Stage::Holding { owner, since, granted_by, instance, .. } => {
                let other = (granted_by != owner).then(|| (*granted_by, hash(instance)));
                (*owner, now.saturating_sub(*since), other)
            }
            Stage::Returning { .. } => return,
        };
        let ended = if matches!(call.stage, Stage::Requesting { .. }) { Ended::Idle } else { ended };
        let message = Message::Return { seq, kind: call.kind, ended, ms: ms(held) };
        call.stage = Stage::Returning { owner, ended, ms: ms(held), sent: now, tries: 1, began: now };
        let kind = call.kind;
        self.send(owner, message);
        if let Some((granted_by, instance)) = granted_by {
            self.return_unused(granted_by, seq, kind, instance);
        }
        self.pump();
    }

    /// Whether a starting instance took a connection.
    pub fn dialled(&mut self, now: Duration, instance: &str, taken: bool) {
        self.now = now;
        if !taken {
            return;
        }
        let Some(entry) = self.entries.get_mut(instance) else { return self.pump() };
        let kind = entry.kind;
        let mut pool = self.pools.get_mut(&kind);
        let ledger =
            pool.as_mut().and_then(|pool| pool.ledgers.iter_mut().find(|b| b.entry.instance == instance));
        let first = !std::mem::replace(&mut entry.ready, true);
        // Dialled in vain before and taken now: its start has ended just now.
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
        self.serve(kind);
        self.pump();
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.me {
            self.local_queue.push_back(message);
        } else {
            self.outgoing.entry(to).or_default().push(message);
        }
    }

    /// What this one says to itself, until nothing is left.
    fn pump(&mut self) {
        while let Some(message) = self.local_queue.pop_front() {
            self.handle_message(self.me, self.incarnation, message);
        }
    }

    fn forget(&mut self, instance: &str) {
        if let Some(old) = self.entries.remove(instance) {
            if let Some(ids) = self.by_kind.get_mut(&old.kind) {
                ids.retain(|other| other != instance);
            }
        }
    }

    /// Time passes: asks and returns are said again, queues looked at. Worth calling every 25 ms while calls are in hand.
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
        let kinds: Vec<Kind> = self.pools.keys().copied().collect();
        for kind in kinds {
            self.sweep(kind);
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

    /// What the scaler is to hear of functions in this one's care.
    pub fn load_reports(&mut self, now: Duration, at_least: Duration) -> Vec<LoadReport> {
        self.now = now;
        self.pools.values_mut().filter_map(|pool| pool.load_report(now, at_least)).collect()
    }

    /// The functions in this one's care, with what is lent and who waits.
    pub fn pools(&self) -> impl Iterator<Item = &SlotPool> {
        self.pools.values()
    }

    /// Asks, slots in hand and returns that this one has under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Lenders that say nothing, and are not asked until they do where there are others.
    pub fn suspects(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.suspects.keys().copied()
    }

    /// The zone of a member.
    pub fn zone_at(&self, at: SocketAddr) -> Option<&str> {
        self.owners.member(at).map(|m| m.zone.as_str())
    }

    /// The zone of this hash, as the members have it.
    pub fn zone(&self, of: u32) -> Option<&str> {
        self.owners.members().iter().map(|m| m.zone.as_str()).find(|zone| hash(zone) == of)
    }

    /// The name of a function told of.
    pub fn name(&self, kind: Kind) -> Option<&str> {
        self.functions.get(&kind).map(|f| f.name.as_str())
    }

    /// Whether `tick` has anything to do soon.
    pub fn busy(&self) -> bool {
        !self.calls.is_empty()
            || !self.unused_grants.is_empty()
            || !self.pending.is_empty()
            || self.pools.values().any(|pool| pool.ledgers.iter().any(|ledger| ledger.awaits.is_some()))
            || self.pools.values().any(|s| {
                !s.queue.is_empty() || s.ledgers.iter().any(|b| !b.entry.ready && b.entry.accepts_calls)
            })
    }

    /// The next order, if there is one.
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
        Some(Action::Send { to, bytes: Datagram { incarnation: self.incarnation, messages: part }.encode() })
    }
}

/// Free slots and waiting calls, as they are told: at most 255.
fn advertised_capacity(pool: &SlotPool, now: Duration) -> (u8, u8) {
    let cut = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    (cut(pool.free(now)), cut(pool.queue.len()))
}
