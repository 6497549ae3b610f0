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

mod asking;
pub mod departed;
mod granting;
mod handover;
pub mod lender;
mod letters;
pub mod lives;
mod membership;
pub mod over;
pub mod owners;
pub mod pick;
pub mod planted;
mod reach;
mod rooms;
mod shelving;
pub mod words;

use departed::Departed;
use handover::{Cause, Early, Pending};
pub use lender::{Entry, Function, Told};
use lender::{Loan, Shelf};
use lives::Lives;
use oorandom::Rand32;
use over::CallsOver;
use owners::Owners;
use planted::{planted, Defect};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use words::{kind as hash, lines_that_fit, Ended, Kind, Letter, Line};

/// An ask or a return is said again after this, and then after twice as long each time: a few round trips across regions.
const AGAIN: Duration = Duration::from_millis(60);
/// The same for an ask that is known to wait.
const AGAIN_WAITING: Duration = Duration::from_millis(400);
/// Tries without any word before a lender is passed over.
const TRIES: u32 = 3;
/// Who has been heard so lately is not passed over.
const SPEAKS: Duration = Duration::from_millis(250);
/// One that is passed over is asked for a word this often, and lends again once it is heard.
pub const PASSED_OVER: Duration = Duration::from_millis(500);
/// A member that was heard so lately is in reach.
const IN_REACH: Duration = Duration::from_millis(1000);
/// Who is in one part of a cut network for so long, and out of touch with the controllers, turns its calls away,
const ISOLATED: Duration = Duration::from_millis(600);
/// and lends no more after so long: the others may have new owners by then. (They are passed over 0.4 s before this counts.)
const FENCED: Duration = Duration::from_millis(900);
/// So many unreachable members make a cut likely, if they are one in so many,
const LIKELY_ISOLATED: usize = 2;
const CUT_SHARE: usize = 3;
/// and so many others are asked for a word then.
const ASKED_FOR_A_WORD: usize = 8;
/// Its clients are told to come back after this.
const CUT_OFF_RETRY: Duration = Duration::from_millis(300);
/// A call that only silent owners could serve is given up after so long.
const GIVEN_UP: Duration = Duration::from_millis(800);
/// An owner that was heard so lately is not probed.
const PROBED_AFTER: Duration = Duration::from_millis(250);
/// What a lender said of its room is believed so long.
const ROOM: Duration = Duration::from_millis(400);
/// A lender whose calls wait says so to the lenders of the function elsewhere, at most this often.
const FULL: Duration = Duration::from_millis(150);
/// Who has room tells those that wait, at most this often.
const OPEN: Duration = Duration::from_millis(40);
/// Lenders that are told: those whose zones come first from here.
const PEERS: usize = 8;
/// What handing on costs a call: the word back, the ask, the grant and the longer way to the worker.
const NEAR: Duration = Duration::from_millis(6);
const FAR: Duration = Duration::from_millis(45);
/// An ask is sent on at most so often before it stays where it is.
const HOPS: u8 = 3;
/// Returns are said again for so long.
const RETURNING: Duration = Duration::from_secs(3);
/// Calls in hand; more are turned away at once.
const CALLS: usize = 20_000;
/// A shortage is told this often.
const SHORTAGE: Duration = Duration::from_millis(80);
/// A starting instance is tried this often once half of its usual start has passed.
const DIAL: Duration = Duration::from_millis(50);
/// A longer pause between two ticks is one in which this process did not run.
const FROZEN: Duration = Duration::from_millis(250);

/// A scheduler that lends and borrows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    pub at: SocketAddr,
    pub zone: String,
    pub region: String,
    pub life: u32,
}

#[derive(Debug, PartialEq)]
pub enum Order {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The call may go to this instance.
    Go {
        call: u32,
        instance: String,
        at: SocketAddr,
    },
    /// It cannot be served in time; worth another try after so long.
    No {
        call: u32,
        after: Duration,
    },
    /// See whether a starting instance takes connections; answer with `dialled`.
    Dial {
        instance: String,
        at: SocketAddr,
    },
    /// For the scaler, at once: the address serves no more.
    Gone {
        instance: String,
    },
    /// For the scaler: it has been reached for the first time.
    Ready {
        instance: String,
    },
    /// For the scaler, at once: a call has found no instance.
    Wanted(Told),
    /// Whether a process runs there: if its connections are refused, answer with `has_ended`.
    Probe {
        owner: SocketAddr,
    },
    /// For the log: this lender has said nothing, and another is asked for a while.
    PassedOver {
        lender: SocketAddr,
    },
}

#[derive(Debug, Clone)]
enum Stage {
    Asking {
        to: SocketAddr,
        sent: Duration,
        tries: u32,
        waits: bool,
        hops: u8,
    },
    /// `gave`: who granted it, and may be taken for its lender by others. `told`: a new lender has been told of it, and has
    /// not said yet that it heard; when and how often.
    Holding {
        lender: SocketAddr,
        gave: SocketAddr,
        instance: String,
        since: Duration,
        told: Option<(Duration, u32)>,
    },
    Returning {
        lender: SocketAddr,
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
    came: Duration,
    avoid: u32,
    stage: Stage,
}

/// What a lender has of a function, as it was heard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    pub heard: Duration,
    pub free: u8,
    pub waiting: u8,
    /// ms that a call takes there; 0 where it was not told.
    pub run: u16,
}

/// A slot that came though nobody waited for it: given back until the lender has heard.
#[derive(Debug, Clone)]
struct Stray {
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

impl Stray {
    fn line(&self) -> Line {
        let Stray { seq, kind, instance, .. } = *self;
        match self.refused {
            true => Line::Refused { seq, kind, instance },
            false => Line::Unwanted { seq, kind, instance },
        }
    }
}

pub struct Lending {
    me: SocketAddr,
    zone: String,
    life: u32,
    chance: Rand32,
    owners: Owners,
    /// The members before these.
    former: Vec<Member>,
    /// Lenders that say nothing, and when they are next asked for a word. Others are asked where there are others; that
    /// changes no owner.
    passed_over: HashMap<SocketAddr, Duration>,
    /// Since when more members are unreachable than were heard.
    isolated: Option<Duration>,
    /// The agent reaches the controllers.
    in_touch: bool,
    /// Members of which nothing is known, that were asked for a word, since when.
    asked_for_a_word: BTreeMap<SocketAddr, Duration>,
    /// When the last of them were.
    asked_last: Duration,
    /// When an owner in this one's zone was last probed for a call that came here.
    probed: HashMap<SocketAddr, Duration>,
    pending: Vec<Pending>,
    early: HashMap<String, Early>,
    /// To whom this one handed instances over lately.
    given: HashMap<String, (SocketAddr, Duration)>,
    functions: HashMap<Kind, Function>,
    entries: BTreeMap<String, Entry>, // all instances, by id
    by_kind: HashMap<Kind, Vec<String>>,
    departed: Departed,
    shelves: BTreeMap<Kind, Shelf>,
    score: pick::Score,
    calls: BTreeMap<u32, Call>,
    /// Numbers of calls: each life has its own, so that no letter for the one before it fits a call of this one.
    first: u32,
    next: u32,
    strays: Vec<Stray>,
    /// Loans of instances that another lends now: it may come back.
    parked: HashMap<String, Vec<Loan>>,
    /// What lenders said of their room, by function.
    rooms: HashMap<(Kind, SocketAddr), Room>,
    /// Lenders of a function that had calls waiting, and when they said so.
    short: BTreeMap<(Kind, SocketAddr), Duration>,
    /// When this one told another of its room, and whether it had any.
    said: HashMap<(Kind, SocketAddr), (Duration, bool)>,
    /// Functions that were told as full.
    full: BTreeSet<Kind>,
    /// Who has been heard, and in which life.
    lives: Lives,
    /// Asked of addresses where two lives have spoken: the number of the question, and when.
    questions: HashMap<SocketAddr, (u32, Duration)>,
    /// Calls of others that are over here.
    over: CallsOver,
    out: BTreeMap<SocketAddr, Vec<Line>>,
    own: VecDeque<Line>,
    orders: VecDeque<Order>,
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

impl Lending {
    pub fn new(me: SocketAddr, zone: String, life: u32, seed: u64, now: Duration) -> Self {
        let first = match planted(Defect::NumbersAgain) {
            true => 1,
            false => life.wrapping_mul(0x9e37_79b9).max(1),
        };
        Lending {
            me,
            zone,
            life,
            chance: Rand32::new(seed),
            owners: Owners::default(),
            former: Vec::new(),
            passed_over: HashMap::new(),
            isolated: None,
            in_touch: false,
            asked_for_a_word: BTreeMap::new(),
            asked_last: Duration::ZERO,
            probed: HashMap::new(),
            pending: Vec::new(),
            early: HashMap::new(),
            given: HashMap::new(),
            functions: HashMap::new(),
            entries: BTreeMap::new(),
            by_kind: HashMap::new(),
            departed: Departed::default(),
            shelves: BTreeMap::new(),
            score: pick::index,
            calls: BTreeMap::new(),
            first,
            next: first,
            strays: Vec::new(),
            parked: HashMap::new(),
            rooms: HashMap::new(),
            short: BTreeMap::new(),
            said: HashMap::new(),
            full: BTreeSet::new(),
            lives: Lives::default(),
            questions: HashMap::new(),
            over: CallsOver::default(),
            out: BTreeMap::new(),
            own: VecDeque::new(),
            orders: VecDeque::new(),
            now,
            awake: Duration::ZERO,
            ticked: now,
            swept: now,
            began: now,
            changed: now,
        }
    }

    /// Another way to score instances, to be compared with the index; programs leave it.
    pub fn scored(mut self, score: pick::Score) -> Self {
        self.score = score;
        self
    }

    /// A slot that nobody waits for, or (instance 0) a place in a queue that is not wanted any more.
    fn stray(&mut self, to: SocketAddr, seq: u32, kind: Kind, instance: u32) {
        self.give_back(to, seq, kind, instance, false);
    }

    fn give_back(&mut self, to: SocketAddr, seq: u32, kind: Kind, instance: u32, refused: bool) {
        let now = self.now;
        let stray = Stray { to, seq, kind, instance, sent: now, tries: 1, began: now, refused };
        let line = stray.line();
        if !self.strays.iter().any(|s| (s.to, s.seq, s.instance) == (to, seq, instance))
            && self.strays.len() < 4096
            && to != self.me
        {
            self.strays.push(stray);
        }
        self.say(to, line);
    }

    /// Whether a request may be sent there, by this one's own word. One that it hasn't heard of may be new; a lender that
    /// was cut off, or stood still, hands out what it doesn't know to leave.
    pub fn may_send_to(&self, instance: &str) -> bool {
        let leaves = match self.entries.get(instance) {
            Some(entry) => !entry.lends,
            None => self.departed.contains(instance),
        };
        !leaves || planted(Defect::LeavingUsed)
    }

    /// Instances that are new or have changed, and ids that have ended.
    pub fn stacks(&mut self, now: Duration, changed: Vec<Entry>, ended: &[String]) {
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
        self.arrange_kinds(kinds, &Cause::News);
        self.claim();
        self.pump();
    }

    /// The ids of known instances that a whole list lacks.
    pub fn entries_but<T>(&self, list: &[T], id: impl Fn(&T) -> &str) -> Vec<String> {
        let listed: HashSet<&str> = list.iter().map(id).collect();
        self.entries.keys().filter(|known| !listed.contains(known.as_str())).cloned().collect()
    }

    /// Who lends the instances of this function in this zone.
    fn lender(&self, kind: Kind, zone: &str) -> Option<SocketAddr> {
        self.owners.owner(kind, zone)
    }

    fn region(&self, zone: &str) -> Option<&str> {
        self.owners.region(zone)
    }

    /// The call is over at this scheduler, with or without a slot in hand.
    pub fn settle(&mut self, now: Duration, seq: u32, ended: Ended) {
        self.now = now;
        let Some(call) = self.calls.get_mut(&seq) else { return };
        let (lender, held, gave) = match &call.stage {
            Stage::Asking { to, .. } => (*to, Duration::ZERO, None),
            Stage::Holding { lender, since, gave, instance, .. } => {
                let other = (gave != lender).then(|| (*gave, hash(instance)));
                (*lender, now.saturating_sub(*since), other)
            }
            Stage::Returning { .. } => return,
        };
        let ended = if matches!(call.stage, Stage::Asking { .. }) { Ended::Idle } else { ended };
        let line = Line::Return { seq, kind: call.kind, ended, ms: ms(held) };
        call.stage = Stage::Returning { lender, ended, ms: ms(held), sent: now, tries: 1, began: now };
        let kind = call.kind;
        self.say(lender, line);
        if let Some((gave, instance)) = gave {
            self.stray(gave, seq, kind, instance);
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
        let mut shelf = self.shelves.get_mut(&kind);
        let book =
            shelf.as_mut().and_then(|shelf| shelf.books.iter_mut().find(|b| b.entry.instance == instance));
        let first = !std::mem::replace(&mut entry.ready, true);
        // Dialled in vain before and taken now: its start has ended just now.
        let started = book.is_some_and(|book| {
            book.entry.ready = true;
            first && book.refused
        });
        if started {
            let took = now.saturating_sub(entry.since);
            shelf.into_iter().for_each(|shelf| shelf.started(took));
        }
        if first {
            self.orders.push_back(Order::Ready { instance: instance.to_string() });
        }
        self.serve(kind);
        self.pump();
    }

    fn say(&mut self, to: SocketAddr, line: Line) {
        if to == self.me {
            self.own.push_back(line);
        } else {
            self.out.entry(to).or_default().push(line);
        }
    }

    /// What this one says to itself, until nothing is left.
    fn pump(&mut self) {
        while let Some(line) = self.own.pop_front() {
            self.take_line(self.me, self.life, line);
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
        self.awake += now.saturating_sub(self.ticked).min(FROZEN);
        self.ticked = now;
        if now < self.swept + Duration::from_millis(20) {
            return self.pump();
        }
        self.swept = now;
        self.again();
        self.hand_over_again();
        self.claim();
        let kinds: Vec<Kind> = self.shelves.keys().copied().collect();
        for kind in kinds {
            self.sweep(kind);
        }
        self.probe();
        self.short.retain(|_, at| *at + ROOM > now);
        if self.said.len() > 1024 {
            self.said.retain(|_, (at, _)| *at + ROOM > now);
        }
        if !self.parked.is_empty() {
            self.parked.values_mut().for_each(|loans| loans.retain(|loan| loan.until > now));
            self.parked.retain(|_, loans| !loans.is_empty());
        }
        self.pump();
    }

    /// What the scaler is to hear of functions in this one's care.
    pub fn told(&mut self, now: Duration, at_least: Duration) -> Vec<Told> {
        self.now = now;
        self.shelves.values_mut().filter_map(|shelf| shelf.tell(now, at_least)).collect()
    }

    /// The functions in this one's care, with what is lent and who waits.
    pub fn shelves(&self) -> impl Iterator<Item = &Shelf> {
        self.shelves.values()
    }

    /// Asks, slots in hand and returns that this one has under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Lenders that say nothing, and are not asked until they do where there are others.
    pub fn passed_over(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.passed_over.keys().copied()
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
            || !self.strays.is_empty()
            || !self.pending.is_empty()
            || self.shelves.values().any(|shelf| shelf.books.iter().any(|book| book.awaits.is_some()))
            || self
                .shelves
                .values()
                .any(|s| !s.queue.is_empty() || s.books.iter().any(|b| !b.entry.ready && b.entry.lends))
    }

    /// The next order, if there is one.
    pub fn pull(&mut self) -> Option<Order> {
        self.pump();
        if let Some(order) = self.orders.pop_front() {
            return Some(order);
        }
        let to = *self.out.keys().next()?;
        let lines = self.out.get_mut(&to)?;
        let fit = lines_that_fit(lines);
        let mut part: Vec<Line> = lines.drain(..fit).collect();
        if lines.is_empty() {
            self.out.remove(&to);
        }
        self.add_rooms(to, &mut part);
        Some(Order::Send { to, bytes: Letter { life: self.life, lines: part }.write() })
    }
}

/// Free slots and waiting calls, as they are told: at most 255.
fn room(shelf: &Shelf, now: Duration) -> (u8, u8) {
    let cut = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    (cut(shelf.free(now)), cut(shelf.queue.len()))
}
