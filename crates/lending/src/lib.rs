//! Slots of instances on loan between schedulers, without I/O: inputs carry the time, orders are pulled until there is none.
//!
//! Every instance has one lender among the schedulers: by highest random weight over the members of its zone, so that
//! all who know the same members name the same one, and place is taken into account. A scheduler that has a call asks the
//! lender of the nearest zone that has instances; a slot is lent for one call, and comes back with the way it ended.
//! The sum of slots lent of an instance is at most its function's `max_inflight` while members agree. A new lender hears
//! from the borrowers what is out, and waits for that before it lends.

pub mod departed;
mod handover;
pub mod lender;
pub mod lives;
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
use lender::{Loan, Shelf, Verdict, Wish};
use lives::{Lives, Speaker};
use oorandom::Rand32;
use over::{CallsOver, Over};
use owners::{weight, Owners};
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
/// Who is in the smaller part of a network for so long, and out of touch with the controllers, turns its calls away,
const ISOLATED: Duration = Duration::from_millis(600);
/// and lends no more after so long: the others may have new owners by then. (They are passed over 0.4 s before this counts.)
const FENCED: Duration = Duration::from_millis(900);
/// So many silent members make it likely, and so many others are asked for a word then.
const LIKELY_ISOLATED: usize = 2;
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
/// A starting instance is tried this often once half of its usual start has passed.
/// A shortage is told this often.
const SHORTAGE: Duration = Duration::from_millis(80);
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
    /// When members of which nothing is known were last asked for a word.
    asked_for_a_word: Duration,
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
            asked_for_a_word: Duration::ZERO,
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

    /// The functions in force; what is gone lends no more.
    pub fn functions(&mut self, now: Duration, functions: Vec<Function>) {
        self.now = now;
        self.functions = functions.into_iter().map(|f| (f.kind, f)).collect();
        for (kind, shelf) in &mut self.shelves {
            if let Some(function) = self.functions.get(kind) {
                shelf.function = function.clone();
            }
        }
        self.arrange(Cause::News);
        self.pump();
    }

    /// Who lends and borrows, as the holder of the lease published it; this one among them if it does.
    pub fn members(&mut self, now: Duration, members: Vec<Member>) {
        let published = self.owners.set_provisional(false);
        self.replace_members(now, members, published);
    }

    /// Members that were heard of while the holder of the lease has published none.
    pub fn provisional_members(&mut self, now: Duration, members: Vec<Member>) {
        let withdrawn = self.owners.set_provisional(true);
        self.replace_members(now, members, withdrawn);
    }

    fn replace_members(&mut self, now: Duration, mut members: Vec<Member>, in_any_case: bool) {
        self.now = now;
        members.sort_by_key(|m| m.at);
        members.dedup_by_key(|m| m.at);
        if !in_any_case && members == self.owners.members() {
            return;
        }
        let known = |m: &&Member| self.owners.member(m.at).is_some_and(|old| old.life == m.life);
        let fresh: HashSet<SocketAddr> = members.iter().filter(|m| !known(m)).map(|m| m.at).collect();
        let former = self.owners.replace(members);
        self.name_lives();
        // One that begins anew may speak again.
        self.passed_over.retain(|at, _| !fresh.contains(at));
        self.changed = now;
        self.arrange(Cause::Members(&former));
        self.former = former;
        self.claim();
        self.probe_former_owners();
        self.tell_new_lenders(&fresh);
        self.ask_owners();
        self.ask_first_owners();
        self.pump();
    }

    /// Calls that came before any owner was known.
    fn ask_first_owners(&mut self) {
        let unasked = |call: &Call| matches!(call.stage, Stage::Asking { tries: 0, .. });
        let unasked: Vec<u32> =
            self.calls.iter().filter(|(_, call)| unasked(call)).map(|(seq, _)| *seq).collect();
        unasked.into_iter().for_each(|seq| self.ask(seq, 0));
    }

    /// Calls that were asked of one that owns nothing of their function any more are asked of the owners.
    fn ask_owners(&mut self) {
        let asked = self.calls.values().filter_map(|call| match call.stage {
            Stage::Asking { to, .. } if to != self.me => Some((call.kind, to)),
            _ => None,
        });
        let asked: HashSet<(Kind, SocketAddr)> = asked.collect();
        let owns = |(kind, at): &(Kind, SocketAddr)| {
            self.zones_of(*kind).keys().any(|zone| self.lender(*kind, zone) == Some(*at))
        };
        let owners: HashSet<(Kind, SocketAddr)> = asked.into_iter().filter(owns).collect();
        self.ask_anew(|kind, to| !owners.contains(&(kind, to)));
    }

    /// Calls that wait for a word of others for which this holds are asked anew.
    fn ask_anew(&mut self, which: impl Fn(Kind, SocketAddr) -> bool) {
        let waits = |(&seq, call): (&u32, &Call)| match call.stage {
            Stage::Asking { to, .. } if to != self.me && which(call.kind, to) => Some((seq, call.kind, to)),
            _ => None,
        };
        let lost: Vec<(u32, Kind, SocketAddr)> = self.calls.iter().filter_map(waits).collect();
        for (seq, kind, to) in lost {
            if self.owners.member(to).is_some() {
                self.stray(to, seq, kind, 0);
            }
            self.ask(seq, 0);
        }
    }

    /// A life that the members name is the present one, also before it speaks.
    fn name_lives(&mut self) {
        for member in self.owners.members().iter().filter(|member| member.at != self.me) {
            if self.lives.named(self.awake, member.at, member.life) {
                self.shelves.values_mut().for_each(|shelf| shelf.forget_asks(member.at, member.life));
            }
        }
    }

    /// Loans held are told to whoever lends their instance now, if that is not who gave them, or lives anew.
    fn tell_new_lenders(&mut self, fresh: &HashSet<SocketAddr>) {
        let mut told = Vec::new();
        for (&seq, call) in &self.calls {
            let Stage::Holding { lender, instance, .. } = &call.stage else { continue };
            let Some(entry) = self.entries.get(instance) else { continue };
            let Some(new) = self.lender(call.kind, &entry.zone) else { continue };
            if new != *lender || fresh.contains(&new) {
                told.push((seq, new, instance.clone(), call.kind, ms(call.end.saturating_sub(self.now))));
            }
        }
        for (seq, new, instance, kind, left) in told {
            self.tell_holds(seq, new, kind, instance, left);
        }
    }

    /// Said until the new lender has heard: it may not know the instance yet.
    fn tell_holds(&mut self, seq: u32, new: SocketAddr, kind: Kind, instance: String, left: u32) {
        let now = self.now;
        if let Some(Call { stage: Stage::Holding { lender, told, .. }, .. }) = self.calls.get_mut(&seq) {
            *lender = new;
            *told = Some((now, 1));
        }
        let id = hash(&instance);
        self.strays.retain(|stray| (stray.to, stray.seq, stray.instance) != (new, seq, id));
        self.say(new, Line::Holds { seq, kind, instance, left });
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

    /// A call wants a slot; its number is what `Go` and `No` name. `aim` and `end` are times by the same clock.
    pub fn want(
        &mut self,
        now: Duration,
        kind: Kind,
        priority: u8,
        aim: Duration,
        end: Duration,
        avoid: &str,
    ) -> u32 {
        self.now = now;
        let seq = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        if self.calls.len() >= CALLS || !self.functions.contains_key(&kind) {
            self.orders.push_back(Order::No { call: seq, after: Duration::from_millis(300) });
            return seq;
        }
        let avoid = if avoid.is_empty() { 0 } else { hash(avoid) };
        let stage = Stage::Asking { to: self.me, sent: now, tries: 0, waits: false, hops: 0 };
        self.calls.insert(seq, Call { kind, priority, aim, end, came: now, avoid, stage });
        self.ask(seq, 0);
        self.pump();
        seq
    }

    fn region(&self, zone: &str) -> Option<&str> {
        self.owners.region(zone)
    }

    /// Zones with instances of this function that lend; whether one of them has started, and the highest weight.
    fn zones_of(&self, kind: Kind) -> BTreeMap<&str, (bool, u64)> {
        let mut zones: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
        for id in self.by_kind.get(&kind).into_iter().flatten() {
            let Some(entry) = self.entries.get(id).filter(|entry| entry.lends) else { continue };
            let (ready, heavy) = zones.entry(&entry.zone).or_default();
            // The weight is of those that count: started ones where there are any.
            if entry.ready && !*ready {
                (*ready, *heavy) = (true, weight(kind, &entry.at));
            } else if entry.ready == *ready {
                *heavy = (*heavy).max(weight(kind, &entry.at));
            }
        }
        zones
    }

    /// The zone to ask in: the nearest that has instances and room, as far as is known.
    fn zone_for(&self, kind: Kind) -> String {
        let own = self.region(&self.zone);
        let cost = |zone: &str, ready: bool| {
            let far = if zone == self.zone { 0 } else { 2 + 2 * u32::from(self.region(zone) != own) };
            let starting = if ready { 0 } else { 8 };
            let full = self.room_at(kind, zone).is_some_and(|room| room.free == 0 || room.waiting > 0);
            let silent = self.lender(kind, zone).is_none_or(|at| self.passed_over.contains_key(&at));
            far + starting + if full { 5 } else { 0 } + if silent { 30 } else { 0 }
        };
        let zones = self.zones_of(kind);
        let best = zones.iter().min_by_key(|(zone, (ready, heavy))| (cost(zone, *ready), *heavy));
        best.map_or_else(|| self.zone.clone(), |(zone, _)| zone.to_string())
    }

    /// What the way to a zone costs a call.
    fn way(&self, zone: &str) -> Duration {
        if self.region(zone) == self.region(&self.zone) {
            NEAR
        } else {
            FAR
        }
    }

    fn ask(&mut self, seq: u32, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        let zone = self.zone_for(call.kind);
        self.ask_in(seq, &zone, hops);
    }

    fn ask_in(&mut self, seq: u32, zone: &str, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        // Before any owner is known a call waits for one; it is no sign of a lack of instances.
        let Some(to) = self.lender(call.kind, zone) else { return };
        if to != self.me && self.is_isolated() {
            // No word would come: the client may find one that is not cut off.
            self.calls.remove(&seq);
            self.orders.push_back(Order::No { call: seq, after: CUT_OFF_RETRY });
            return;
        }
        let line = self.ask_line(seq, call, hops);
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&seq) {
            call.stage = Stage::Asking { to, sent: now, tries: 1, waits: false, hops };
        }
        self.say(to, line);
    }

    fn ask_line(&self, seq: u32, call: &Call, hops: u8) -> Line {
        let (aim, left) = (call.aim.saturating_sub(self.now), call.end.saturating_sub(self.now));
        Line::Ask {
            seq,
            kind: call.kind,
            priority: call.priority,
            aim: ms(aim),
            left: ms(left),
            avoid: call.avoid,
            hops,
        }
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

    /// A datagram. What cannot be read is dropped: false.
    pub fn hear(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> bool {
        self.now = now;
        let Some(letter) = Letter::read(bytes) else { return false };
        let speaker = self.lives.hear(now, self.awake, from, letter.life);
        if speaker == Speaker::Disputed {
            self.ask_which_life(from);
        }
        if matches!(speaker, Speaker::Former | Speaker::Disputed) {
            self.hear_former(from, letter);
            return true;
        }
        self.passed_over.remove(&from);
        if self.owners.note_alive(from) {
            self.arrange(Cause::Evidence);
            self.tell_new_lenders(&HashSet::new());
        }
        // What it said while it was cut off is lost: it is asked after what it had then.
        let last = match speaker {
            Speaker::Same { last } | Speaker::New { last } => last,
            Speaker::Unknown | Speaker::Former | Speaker::Disputed => None,
        };
        if last.is_none_or(|heard| heard + PASSED_OVER < now) {
            self.shelves.values_mut().for_each(|shelf| shelf.doubt(now, from));
        }
        // A process that lives anew has forgotten what it lent, and waits for nothing that the one before asked for.
        if matches!(speaker, Speaker::New { .. }) {
            self.tell_new_lenders(&HashSet::from([from]));
            self.shelves.values_mut().for_each(|shelf| shelf.forget_asks(from, letter.life));
        }
        for line in letter.lines {
            self.line(from, letter.life, line);
        }
        self.pump();
        true
    }

    /// Which of two lives is the present one: the one that answers a question of a number that was never used.
    fn ask_which_life(&mut self, at: SocketAddr) {
        let now = self.now;
        if self.questions.get(&at).is_some_and(|(_, asked)| now < *asked + AGAIN) {
            return;
        }
        self.questions.retain(|_, (_, asked)| now < *asked + RETURNING);
        let number = self.chance.rand_u32() | 1;
        self.questions.insert(at, (number, now));
        self.say(at, Line::Unwanted { seq: number, kind: 0, instance: 0 });
    }

    /// A late letter of a life that is over can still give back what that life had, and nothing else.
    fn hear_former(&mut self, from: SocketAddr, letter: Letter) {
        for line in letter.lines {
            let answers = |(number, _): &(u32, Duration)| line == Line::Dropped { seq: *number, instance: 0 };
            if self.questions.get(&from).is_some_and(answers) {
                self.questions.remove(&from);
                self.lives.answered(self.now, self.awake, from, letter.life);
                self.shelves.values_mut().for_each(|shelf| shelf.forget_asks(from, letter.life));
                self.tell_new_lenders(&HashSet::from([from]));
            }
            if matches!(line, Line::Return { .. } | Line::Unwanted { .. } | Line::Refused { .. }) {
                self.line(from, letter.life, line);
            }
        }
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
            self.line(self.me, self.life, line);
        }
    }

    fn line(&mut self, from: SocketAddr, life: u32, line: Line) {
        let now = self.now;
        match line {
            Line::Ask { seq, kind, priority, aim, left, avoid, hops } => {
                let wish = Wish {
                    from,
                    life,
                    seq,
                    priority,
                    came: now,
                    aim: now + Duration::from_millis(aim.into()),
                    end: now + Duration::from_millis(left.into()),
                    avoid,
                    late: false,
                    hops,
                };
                self.asked(kind, wish, hops);
            }
            Line::Return { seq, kind, ended, .. } => {
                if from != self.me {
                    self.over.note(self.awake, (from, life, seq), Over::Returned);
                }
                // Without a kind (of a grant that nobody waits for any more) all shelves are looked at.
                let kinds: Vec<Kind> = match kind {
                    0 => self.shelves.keys().copied().collect(),
                    kind => vec![kind],
                };
                let (mut gone, mut kind) = (None, None);
                for k in kinds {
                    let Some(shelf) = self.shelves.get_mut(&k) else { continue };
                    let had = shelf.lent() + shelf.queue.len();
                    gone = shelf.back(now, from, life, seq, ended);
                    if gone.is_some() || shelf.lent() + shelf.queue.len() != had {
                        kind = Some(k);
                        break;
                    }
                }
                if kind.is_none() && !self.parked.is_empty() {
                    let same = |loan: &Loan| (loan.to, loan.life, loan.seq) == (from, life, seq);
                    self.parked.values_mut().for_each(|loans| loans.retain(|loan| !same(loan)));
                }
                if let Some(book) = gone {
                    self.forget(&book.entry.instance);
                    let instance = book.entry.instance;
                    // The list may show it again while others still have calls there.
                    if !book.loans.is_empty() {
                        self.parked.insert(instance.clone(), book.loans);
                    }
                    self.orders.push_back(Order::Gone { instance });
                }
                self.say(from, Line::Noted { seq });
                if let Some(kind) = kind.filter(|_| !planted(Defect::QueueForgotten)) {
                    self.serve(kind);
                }
            }
            Line::Holds { seq, kind, instance, left } => {
                if planted(Defect::HoldsUnheard) {
                    return;
                }
                if self.over.holds_nothing(&(from, life, seq)) {
                    return;
                }
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    let loan = Loan::told(now, from, life, seq, Duration::from_millis(left.into()));
                    if shelf.holds(now, loan, &instance) {
                        self.say(from, Line::Heard { seq, kind, instance: hash(&instance) });
                    }
                }
            }
            Line::Heard { seq, kind, instance } => match self.calls.get_mut(&seq) {
                Some(Call { stage: Stage::Holding { lender, told, .. }, .. }) => {
                    if *lender == from {
                        *told = None;
                    }
                }
                // It came back before it was heard of.
                _ => self.stray(from, seq, kind, instance),
            },
            Line::Unwanted { seq, kind, instance } => {
                if instance == 0 && from != self.me {
                    self.over.note(self.awake, (from, life, seq), Over::Served);
                }
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    shelf.unwanted(from, life, seq, instance);
                }
                let parked = self.parked.iter_mut().filter(|(id, _)| hash(id) == instance);
                parked.for_each(|(_, loans)| loans.retain(|l| (l.to, l.life, l.seq) != (from, life, seq)));
                self.say(from, Line::Dropped { seq, instance });
                self.serve(kind);
            }
            Line::Refused { seq, kind, instance } => {
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    shelf.refused(now, from, life, seq, instance);
                }
                let parked = self.parked.iter_mut().filter(|(id, _)| hash(id) == instance);
                parked.for_each(|(_, loans)| loans.retain(|l| (l.to, l.life, l.seq) != (from, life, seq)));
                self.say(from, Line::Dropped { seq, instance });
                self.serve(kind);
            }
            Line::Dropped { seq, instance } => {
                self.strays.retain(|s| (s.to, s.seq, s.instance) != (from, seq, instance));
            }
            Line::HandsOver { kind, instance, loans, complete } => {
                self.taken_over(from, kind, instance, loans, complete)
            }
            Line::TookOver { instance } => self.handed_over(from, instance),
            Line::Claims { kind, instance } => self.claimed(from, kind, instance),
            Line::GaveTo { kind, instance, owner } => self.gave_to(from, kind, &instance, owner),
            Line::Room { kind, free, waiting, run } => {
                self.note_room(kind, from, free, waiting, run);
                if waiting > 0 {
                    if self.short.len() < 4096 {
                        self.short.insert((kind, from), now);
                    }
                    self.tell_rooms(kind);
                } else if free > 0 {
                    self.hand_on(kind);
                }
            }
            Line::Still { seq, kind, instance, life } => {
                if life != self.life {
                    return;
                }
                match self.calls.get(&seq) {
                    Some(Call { end, stage: Stage::Holding { instance: held, .. }, .. })
                        if hash(held) == instance =>
                    {
                        let (instance, left) = (held.clone(), ms(end.saturating_sub(now)));
                        self.say(from, Line::Holds { seq, kind, instance, left });
                    }
                    // The grant is on its way, or the return.
                    Some(Call { stage: Stage::Asking { .. }, .. }) => {}
                    _ => self.say(from, Line::Unwanted { seq, kind, instance }),
                }
            }
            Line::Grant { seq, instance, at, free, waiting } => {
                self.granted(from, seq, instance, at, free, waiting)
            }
            Line::Waits { seq, free, waiting } => {
                let room = self.calls.get_mut(&seq).and_then(|call| match &mut call.stage {
                    Stage::Asking { to, waits, tries, .. } if *to == from => {
                        (*waits, *tries) = (true, 1);
                        Some(call.kind)
                    }
                    _ => None,
                });
                if let Some(kind) = room {
                    self.note_room(kind, from, free, waiting, 0);
                }
            }
            Line::Elsewhere { seq, zone } => {
                let Some(call) = self.calls.get(&seq) else { return };
                let Stage::Asking { to, hops, .. } = call.stage else { return };
                if to != from {
                    return;
                }
                let mut zones = self.owners.members().iter().map(|m| &m.zone);
                let named = zones.find(|name| hash(name) == zone).cloned();
                match named {
                    Some(zone) => self.ask_in(seq, &zone, hops.saturating_add(1)),
                    None => self.ask(seq, hops.saturating_add(1)),
                }
            }
            Line::Later { seq, after } => {
                let Some(call) = self.calls.get(&seq) else { return };
                if matches!(call.stage, Stage::Asking { to, .. } if to == from) {
                    let kind = call.kind;
                    self.calls.remove(&seq);
                    self.note_room(kind, from, 0, 1, 0);
                    self.orders
                        .push_back(Order::No { call: seq, after: Duration::from_millis(after.into()) });
                }
            }
            Line::Noted { seq } => {
                if matches!(self.calls.get(&seq).map(|c| &c.stage), Some(Stage::Returning { lender, .. }) if *lender == from)
                {
                    self.calls.remove(&seq);
                }
            }
        }
    }

    fn granted(
        &mut self,
        from: SocketAddr,
        seq: u32,
        instance: String,
        at: SocketAddr,
        free: u8,
        waiting: u8,
    ) {
        let now = self.now;
        // For a process that was here before: the lender holds it back until its call must be over.
        if seq.wrapping_sub(self.first) >= self.next.wrapping_sub(self.first)
            && !planted(Defect::NumbersAgain)
        {
            return;
        }
        let id = hash(&instance);
        let fits = |kind| {
            let entry = self.entries.get(&instance);
            entry.is_none_or(|entry| entry.kind == kind) || planted(Defect::NumbersAgain)
        };
        let may_send = self.may_send_to(&instance);
        match self.calls.get_mut(&seq) {
            Some(call) if matches!(call.stage, Stage::Asking { .. }) && fits(call.kind) && !may_send => {
                let kind = call.kind;
                call.avoid = id;
                self.give_back(from, seq, kind, id, true);
                self.ask_again_elsewhere(seq, from);
            }
            Some(call) if matches!(call.stage, Stage::Asking { .. }) && fits(call.kind) => {
                let kind = call.kind;
                let asked = match call.stage {
                    Stage::Asking { to, .. } => to,
                    _ => from,
                };
                let held = instance.clone();
                call.stage =
                    Stage::Holding { lender: from, gave: from, instance: held, since: now, told: None };
                let left = ms(call.end.saturating_sub(now));
                // Another was quicker than the one asked now.
                if asked != from {
                    self.stray(asked, seq, kind, 0);
                }
                self.note_room(kind, from, free, waiting, 0);
                // From one that lends it no more: who does now counts it as out until it comes back or its call is over.
                let zone = self.entries.get(&instance).map(|entry| entry.zone.clone());
                if let Some(present) = zone.and_then(|zone| self.lender(kind, &zone)).filter(|at| *at != from)
                {
                    self.tell_holds(seq, present, kind, instance.clone(), left);
                }
                self.orders.push_back(Order::Go { call: seq, instance, at });
            }
            // The same grant again: the answer to an ask that was said twice.
            Some(Call { stage: Stage::Holding { instance: held, .. }, .. }) if *held == instance => {}
            // Nobody wants it any more, or another lender was quicker.
            other => {
                let kind = other.map(|call| call.kind);
                let kind = kind.or_else(|| self.entries.get(&instance).map(|entry| entry.kind));
                if let Some(kind) = kind {
                    self.stray(from, seq, kind, id);
                }
            }
        }
    }

    /// A call whose grant was refused: the one that gave it rests the instance. Where it has no other, the call is sent on or
    /// waits there, as any does.
    fn ask_again_elsewhere(&mut self, seq: u32, gave: SocketAddr) {
        let Some(Call { stage: Stage::Asking { to, hops, .. }, .. }) = self.calls.get(&seq) else { return };
        // Another was asked meanwhile, and answers too.
        if *to == gave {
            let hops = hops.saturating_add(1);
            self.ask(seq, hops);
        }
    }

    fn forget(&mut self, instance: &str) {
        if let Some(old) = self.entries.remove(instance) {
            if let Some(ids) = self.by_kind.get_mut(&old.kind) {
                ids.retain(|other| other != instance);
            }
        }
    }

    /// Another zone that has instances which lend.
    fn elsewhere(&self, kind: Kind) -> Option<String> {
        if let Some((zone, ..)) = self.roomy(kind) {
            return Some(zone);
        }
        let ids = self.by_kind.get(&kind)?;
        let others = ids.iter().filter_map(|id| self.entries.get(id)).filter(|e| e.lends);
        let others = others.filter(|e| self.lender(kind, &e.zone) != Some(self.me));
        others.max_by_key(|e| (e.ready, weight(kind, &e.at))).map(|e| e.zone.clone())
    }

    fn asked(&mut self, kind: Kind, wish: Wish, hops: u8) {
        let now = self.now;
        if self.over.asks_nothing(&(wish.from, wish.life, wish.seq)) {
            return;
        }
        if self.is_fenced() {
            return self.say(wish.from, Line::Later { seq: wish.seq, after: ms(CUT_OFF_RETRY) });
        }
        let Some(function) = self.functions.get(&kind).cloned() else {
            return self.say(wish.from, Line::Later { seq: wish.seq, after: 300 });
        };
        let score = self.score;
        let shelf = self.shelves.entry(kind).or_insert_with(|| Shelf::new(function, now).scored(score));
        let (free, waiting) = room(shelf, now);
        // Said again: the grant or the place it has.
        if let Some(book) = shelf
            .books
            .iter()
            .find(|b| b.loans.iter().any(|l| (l.to, l.life, l.seq) == (wish.from, wish.life, wish.seq)))
        {
            let (instance, at) = (book.entry.instance.clone(), book.entry.at);
            return self.say(wish.from, Line::Grant { seq: wish.seq, instance, at, free, waiting });
        }
        if shelf
            .queue
            .iter()
            .any(|other| (other.from, other.life, other.seq) == (wish.from, wish.life, wish.seq))
        {
            return self.say(wish.from, Line::Waits { seq: wish.seq, free, waiting });
        }
        let origin = self.owners.member(wish.from).map_or(0, |m| hash(&m.zone));
        shelf.counted(now, origin);
        let lends = shelf.lends();
        if !lends {
            self.probe_owner(kind);
        }
        if !lends && hops < HOPS {
            if let Some(zone) = self.elsewhere(kind) {
                return self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
            }
        }
        let (from, seq) = (wish.from, wish.seq);
        if hops < HOPS && self.shelves.get(&kind).is_some_and(|s| s.wait(now, &wish).is_some()) {
            if let Some(zone) = self.better(kind, &wish) {
                return self.say(from, Line::Elsewhere { seq, zone: hash(&zone) });
            }
        }
        let chance = &mut self.chance;
        let shelf = match self.shelves.get_mut(&kind) {
            Some(shelf) => shelf,
            None => return,
        };
        let mut draw = |n: usize| chance.rand_range(0..n.max(1) as u32) as usize;
        let verdict = shelf.ask(now, wish, &mut draw);
        let granted = matches!(verdict, Verdict::Granted(_));
        match verdict {
            Verdict::Granted(i) => {
                let (free, waiting) = room(shelf, now);
                let (instance, at) = (shelf.books[i].entry.instance.clone(), shelf.books[i].entry.at);
                self.say(from, Line::Grant { seq, instance, at, free, waiting });
            }
            Verdict::Waits => {}
            Verdict::Later(after) => self.say(from, Line::Later { seq, after: ms(after) }),
        }
        if !granted {
            self.tell_rooms(kind);
        }
        // A start takes a second: what lacks slots is told now, not with the next round.
        if !granted {
            let pause = if lends { SHORTAGE } else { SHORTAGE / 2 };
            let told = self
                .shelves
                .get_mut(&kind)
                .filter(|s| !lends || s.is_short(now))
                .and_then(|s| s.tell(now, pause));
            self.orders.extend(told.map(Order::Wanted));
        }
    }

    /// Slots that are free go to who waits.
    fn serve(&mut self, kind: Kind) {
        let now = self.now;
        if self.is_fenced() {
            return;
        }
        loop {
            let Some(shelf) = self.shelves.get_mut(&kind) else { return };
            let chance = &mut self.chance;
            let mut draw = |n: usize| chance.rand_range(0..n.max(1) as u32) as usize;
            let Some((i, wish)) = shelf.serve(now, &mut draw) else { return };
            let (free, waiting) = room(shelf, now);
            let (instance, at) = (shelf.books[i].entry.instance.clone(), shelf.books[i].entry.at);
            self.say(wish.from, Line::Grant { seq: wish.seq, instance, at, free, waiting });
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

    fn sweep(&mut self, kind: Kind) {
        let now = self.now;
        if self.is_fenced() {
            self.turn_away(kind);
        }
        let Some(shelf) = self.shelves.get_mut(&kind) else { return };
        shelf.expire(now);
        let doubts = shelf.doubts(now);
        let mut dials = Vec::new();
        let boot = shelf.function.boot;
        for book in &mut shelf.books {
            let due = book.entry.since + boot.mul_f64(0.5);
            if book.entry.lends && !book.entry.ready && now >= due && now >= book.dialled + DIAL {
                book.refused = book.dialled > Duration::ZERO;
                book.dialled = now;
                dials.push(Order::Dial { instance: book.entry.instance.clone(), at: book.entry.at });
            }
        }
        let hopeless = shelf.hopeless(now);
        let moved = if !shelf.queue.is_empty() && !shelf.lends() { self.elsewhere(kind) } else { None };
        self.orders.extend(dials);
        for (to, life, seq, instance) in doubts {
            self.say(to, Line::Still { seq, kind, instance, life });
        }
        for wish in hopeless {
            self.say(wish.from, Line::Later { seq: wish.seq, after: 250 });
        }
        if let (Some(zone), Some(shelf)) = (moved, self.shelves.get_mut(&kind)) {
            for wish in std::mem::take(&mut shelf.queue) {
                self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
            }
        }
        self.serve(kind);
        self.tell_rooms(kind);
        self.hand_on(kind);
    }

    /// Asks and returns without a word so far are said again; lenders that say nothing are passed over.
    fn again(&mut self) {
        let now = self.now;
        let (mut lines, mut silent, mut over, mut ended) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut holds = Vec::new();
        for (&seq, call) in &mut self.calls {
            match &mut call.stage {
                Stage::Asking { to, sent, tries, waits, hops } => {
                    if call.end <= now && !planted(Defect::EndUnseen) {
                        over.push(seq);
                        continue;
                    }
                    if *tries == 0 {
                        if now >= call.came + GIVEN_UP {
                            over.push(seq);
                        }
                        continue;
                    }
                    // What is known to wait is asked after now and then; once that is not answered, as often as any.
                    let known = *waits && *tries == 1;
                    let pause = if known { AGAIN_WAITING } else { AGAIN * (1 << (*tries - 1).min(3)) };
                    if *to != self.me && now >= *sent + pause {
                        // One that was heard since speaks, and has only missed this: it is asked again.
                        let speaks = self.lives.heard(to).is_some_and(|heard| heard + SPEAKS > now);
                        if *tries >= TRIES && speaks {
                            (*sent, *tries) = (now, 1);
                            lines.push((*to, seq, *hops));
                        } else if *tries >= TRIES {
                            silent.push(*to);
                        } else {
                            (*sent, *tries) = (now, *tries + 1);
                            lines.push((*to, seq, *hops));
                        }
                    }
                }
                Stage::Holding { lender, instance, told: Some((sent, tries)), .. } => {
                    if now >= *sent + AGAIN * (1 << (*tries - 1).min(4)) {
                        (*sent, *tries) = (now, *tries + 1);
                        let left = ms(call.end.saturating_sub(now));
                        let line = Line::Holds { seq, kind: call.kind, instance: instance.clone(), left };
                        holds.push((*lender, line));
                    }
                }
                Stage::Holding { .. } => {}
                Stage::Returning { lender, ended: how, ms, sent, tries, began } => {
                    if now > *began + RETURNING {
                        ended.push(seq);
                    } else if now >= *sent + AGAIN * (1 << (*tries - 1).min(4)) {
                        (*sent, *tries) = (now, *tries + 1);
                        let line = Line::Return { seq, kind: call.kind, ended: *how, ms: *ms };
                        self.out.entry(*lender).or_default().push(line);
                    }
                }
            }
        }
        for (to, line) in holds {
            self.say(to, line);
        }
        self.strays.retain(|stray| now <= stray.began + RETURNING);
        for stray in &mut self.strays {
            if now >= stray.sent + AGAIN * (1 << (stray.tries - 1).min(4)) {
                (stray.sent, stray.tries) = (now, stray.tries + 1);
                let line = stray.line();
                self.out.entry(stray.to).or_default().push(line);
            }
        }
        for (to, seq, hops) in lines {
            if let Some(line) = self.calls.get(&seq).map(|call| self.ask_line(seq, call, hops)) {
                self.say(to, line);
            }
        }
        for seq in ended {
            self.calls.remove(&seq);
        }
        for seq in over {
            if let Some(Call { kind, stage: Stage::Asking { to, .. }, .. }) = self.calls.remove(&seq) {
                self.stray(to, seq, kind, 0);
            }
            self.orders.push_back(Order::No { call: seq, after: Duration::from_millis(200) });
        }
        self.pass_over(silent);
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
