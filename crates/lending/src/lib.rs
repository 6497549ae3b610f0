//! Slots of instances on loan between schedulers, without I/O: inputs carry the time, orders are pulled until there is none.
//!
//! Every instance has one lender among the schedulers: by highest random weight over the members of its zone, so that
//! all who know the same members name the same one, and place is taken into account. A scheduler that has a call asks the
//! lender of the nearest zone that has instances; a slot is lent for one call, and comes back with the way it ended.
//! The sum of slots lent of an instance is at most its function's `max_inflight` while members agree. A new lender hears
//! from the borrowers what is out, and waits for that before it lends.

pub mod lender;
pub mod words;

use lender::{Book, Shelf, Verdict, Wish};
pub use lender::{Entry, Function, Told};
use oorandom::Rand32;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use words::{kind as hash, Ended, Kind, Letter, Line, LINES};

/// An ask or a return is said again after this, and then after twice as long each time: a few round trips across regions.
const AGAIN: Duration = Duration::from_millis(90);
/// The same for an ask that is known to wait.
const AGAIN_WAITING: Duration = Duration::from_millis(400);
/// Tries without any word before a lender is passed over.
const TRIES: u32 = 4;
/// For so long.
pub const PASSED_OVER: Duration = Duration::from_secs(3);
/// A new lender of an instance that others may have lent waits so long for what is told of it.
const HEARING: Duration = Duration::from_millis(200);
/// What a lender said of its room is believed so long.
const ROOM: Duration = Duration::from_millis(400);
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
    /// For the log: this lender has said nothing, and another is asked for a while.
    PassedOver {
        lender: SocketAddr,
    },
}

#[derive(Debug, Clone)]
enum Stage {
    Asking { to: SocketAddr, sent: Duration, tries: u32, waits: bool, hops: u8 },
    Holding { lender: SocketAddr, instance: String, since: Duration },
    Returning { lender: SocketAddr, ended: Ended, ms: u32, sent: Duration, tries: u32, began: Duration },
}

#[derive(Debug, Clone)]
struct Call {
    kind: Kind,
    priority: u8,
    aim: Duration,
    end: Duration,
    avoid: u32,
    stage: Stage,
}

pub struct Lending {
    me: SocketAddr,
    zone: String,
    life: u32,
    chance: Rand32,
    members: Vec<Member>,
    passed_over: HashMap<SocketAddr, Duration>,
    functions: HashMap<Kind, Function>,
    entries: BTreeMap<String, Entry>, // all instances, by id
    by_kind: HashMap<Kind, Vec<String>>,
    shelves: BTreeMap<Kind, Shelf>,
    calls: BTreeMap<u32, Call>,
    next: u32,
    rooms: HashMap<(Kind, String), (Duration, u8, u8)>,
    lives: HashMap<SocketAddr, u32>,
    out: BTreeMap<SocketAddr, Vec<Line>>,
    own: VecDeque<Line>,
    orders: VecDeque<Order>,
    now: Duration,
    swept: Duration,
    began: Duration,
}

fn weight(kind: Kind, at: &SocketAddr) -> u64 {
    let octets = match at {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())) << 16 | u64::from(v4.port()),
        SocketAddr::V6(v6) => (u128::from(*v6.ip()) as u64).rotate_left(16) ^ u64::from(v6.port()),
    };
    let mut x = octets ^ u64::from(kind).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for by in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(by);
    }
    x ^ (x >> 31)
}

fn ms(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Lending {
    pub fn new(me: SocketAddr, zone: String, life: u32, seed: u64, now: Duration) -> Self {
        Lending {
            me,
            zone,
            life,
            chance: Rand32::new(seed),
            members: Vec::new(),
            passed_over: HashMap::new(),
            functions: HashMap::new(),
            entries: BTreeMap::new(),
            by_kind: HashMap::new(),
            shelves: BTreeMap::new(),
            calls: BTreeMap::new(),
            next: 1,
            rooms: HashMap::new(),
            lives: HashMap::new(),
            out: BTreeMap::new(),
            own: VecDeque::new(),
            orders: VecDeque::new(),
            now,
            swept: now,
            began: now,
        }
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
        self.arrange(false);
        self.pump();
    }

    /// Who lends and borrows, this one among them.
    pub fn members(&mut self, now: Duration, mut members: Vec<Member>) {
        self.now = now;
        members.sort_by_key(|m| m.at);
        members.dedup_by_key(|m| m.at);
        if members == self.members {
            return;
        }
        let fresh: HashSet<SocketAddr> = members
            .iter()
            .filter(|m| !self.members.iter().any(|old| old.at == m.at && old.life == m.life))
            .map(|m| m.at)
            .collect();
        self.members = members;
        self.arrange(true);
        self.tell_new_lenders(&fresh);
        let lost: Vec<u32> = self
            .calls
            .iter()
            .filter_map(|(&seq, call)| match call.stage {
                Stage::Asking { to, .. } if to != self.me && !self.members.iter().any(|m| m.at == to) => {
                    Some(seq)
                }
                _ => None,
            })
            .collect();
        for seq in lost {
            self.ask(seq, 0);
        }
        self.pump();
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
            if let Some(Call { stage: Stage::Holding { lender, .. }, .. }) = self.calls.get_mut(&seq) {
                *lender = new;
            }
            self.say(new, Line::Holds { seq, kind, instance, left });
        }
    }

    /// Instances that are new or have changed, and ids that have ended.
    pub fn stacks(&mut self, now: Duration, changed: Vec<Entry>, ended: &[String]) {
        self.now = now;
        // Only these are looked at: a large fleet changes many times a second.
        let mut kinds = BTreeSet::new();
        for id in ended {
            if let Some(old) = self.entries.remove(id) {
                kinds.insert(old.kind);
                if let Some(ids) = self.by_kind.get_mut(&old.kind) {
                    ids.retain(|other| other != id);
                }
            }
        }
        for entry in changed {
            kinds.insert(entry.kind);
            let ids = self.by_kind.entry(entry.kind).or_default();
            if !ids.contains(&entry.instance) {
                ids.push(entry.instance.clone());
            }
            let ready = self.entries.get(&entry.instance).is_some_and(|old| old.ready);
            let entry = Entry { ready: entry.ready || ready, ..entry };
            self.entries.insert(entry.instance.clone(), entry);
        }
        self.arrange_kinds(kinds, false);
        self.pump();
    }

    /// What this one has told of and learned of an instance: for whoever tells a new holder.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    fn alive(&self, at: SocketAddr) -> bool {
        at == self.me || self.passed_over.get(&at).is_none_or(|until| *until <= self.now)
    }

    /// Who lends the instances of this function in this zone.
    fn lender(&self, kind: Kind, zone: &str) -> Option<SocketAddr> {
        let region = self.members.iter().find(|m| m.zone == zone).map(|m| m.region.as_str());
        let best = |near: &dyn Fn(&Member) -> bool| {
            let open = self.members.iter().filter(|m| near(m) && self.alive(m.at));
            open.max_by_key(|m| weight(kind, &m.at)).map(|m| m.at)
        };
        best(&|m| m.zone == zone)
            .or_else(|| best(&|m| Some(m.region.as_str()) == region))
            .or_else(|| best(&|_| true))
    }

    /// Puts the instances in this one's care on its shelves. Those that another may have lent until now rest first.
    fn arrange(&mut self, handed_over: bool) {
        let mut kinds: BTreeSet<Kind> = self.shelves.keys().copied().collect();
        kinds.extend(self.by_kind.keys().copied());
        self.arrange_kinds(kinds, handed_over);
    }

    fn arrange_kinds(&mut self, kinds: BTreeSet<Kind>, handed_over: bool) {
        let now = self.now;
        for kind in kinds {
            let mut mine: BTreeMap<String, Entry> = BTreeMap::new();
            for id in self.by_kind.get(&kind).into_iter().flatten() {
                let Some(entry) = self.entries.get(id) else { continue };
                if self.lender(kind, &entry.zone) == Some(self.me) && self.functions.contains_key(&kind) {
                    mine.insert(id.clone(), entry.clone());
                }
            }
            if mine.is_empty() && !self.shelves.contains_key(&kind) {
                continue;
            }
            let Some(function) = self.functions.get(&kind).cloned() else {
                // Guards calls of a function that left the configuration: they are answered, not forgotten.
                if let Some(shelf) = self.shelves.remove(&kind) {
                    for wish in shelf.queue {
                        self.say(wish.from, Line::Later { seq: wish.seq, after: 500 });
                    }
                }
                continue;
            };
            let shelf = self.shelves.entry(kind).or_insert_with(|| Shelf::new(function, now));
            shelf.books.retain(|book| mine.contains_key(&book.entry.instance));
            for book in &mut shelf.books {
                if let Some(entry) = mine.remove(&book.entry.instance) {
                    book.entry = entry;
                }
            }
            for (_, entry) in mine {
                // One that still starts has been lent by nobody. One that comes over with a change of members, or is
                // first heard of soon after this process began, may be in use by those who had it from another.
                let fresh = !entry.ready;
                let old = handed_over || now < self.began + Duration::from_secs(2);
                let rests = if fresh || !old { Duration::ZERO } else { now + HEARING };
                shelf.books.push(Book::new(entry, rests));
            }
        }
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
        self.calls.insert(seq, Call { kind, priority, aim, end, avoid, stage });
        self.ask(seq, 0);
        self.pump();
        seq
    }

    /// The zone to ask in: the nearest that has instances and room, as far as is known.
    fn zone_for(&self, kind: Kind) -> String {
        let region = |zone: &str| self.members.iter().find(|m| m.zone == zone).map(|m| m.region.clone());
        let own = region(&self.zone);
        let mut best: Option<(u32, u64, &str)> = None;
        for id in self.by_kind.get(&kind).into_iter().flatten() {
            let Some(entry) = self.entries.get(id).filter(|entry| entry.lends) else { continue };
            let far = if entry.zone == self.zone { 0 } else { 2 + 2 * u32::from(region(&entry.zone) != own) };
            let starting = if entry.ready { 0 } else { 8 };
            let full = match self.rooms.get(&(kind, entry.zone.clone())) {
                Some(&(at, 0, _)) if at + ROOM > self.now => 5,
                Some(&(at, _, waiting)) if at + ROOM > self.now && waiting > 0 => 5,
                _ => 0,
            };
            let key = (far + starting + full, weight(kind, &entry.at), entry.zone.as_str());
            if best.is_none_or(|(cost, w, _)| (key.0, key.1) < (cost, w)) {
                best = Some(key);
            }
        }
        best.map_or_else(|| self.zone.clone(), |(.., zone)| zone.to_string())
    }

    fn ask(&mut self, seq: u32, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        let zone = self.zone_for(call.kind);
        self.ask_in(seq, &zone, hops);
    }

    fn ask_in(&mut self, seq: u32, zone: &str, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        let to = self.lender(call.kind, zone).unwrap_or(self.me);
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
        let (lender, held) = match &call.stage {
            Stage::Asking { to, .. } => (*to, Duration::ZERO),
            Stage::Holding { lender, since, .. } => (*lender, now.saturating_sub(*since)),
            Stage::Returning { .. } => return,
        };
        let ended = if matches!(call.stage, Stage::Asking { .. }) { Ended::Idle } else { ended };
        let line = Line::Return { seq, kind: call.kind, ended, ms: ms(held) };
        call.stage = Stage::Returning { lender, ended, ms: ms(held), sent: now, tries: 1, began: now };
        self.say(lender, line);
        self.pump();
    }

    /// Whether a starting instance took a connection.
    pub fn dialled(&mut self, now: Duration, instance: &str, taken: bool) {
        self.now = now;
        if !taken {
            return;
        }
        if let Some(entry) = self.entries.get_mut(instance) {
            if !entry.ready {
                entry.ready = true;
                self.orders.push_back(Order::Ready { instance: instance.to_string() });
            }
            let (kind, id) = (entry.kind, entry.instance.clone());
            if let Some(shelf) = self.shelves.get_mut(&kind) {
                shelf.books.iter_mut().filter(|b| b.entry.instance == id).for_each(|b| b.entry.ready = true);
            }
            self.serve(kind);
        }
        self.pump();
    }

    /// A datagram. What cannot be read is dropped: false.
    pub fn hear(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> bool {
        self.now = now;
        let Some(letter) = Letter::read(bytes) else { return false };
        self.passed_over.remove(&from);
        // A process that lives anew has forgotten what it lent.
        if self.lives.len() < 4096
            && self.lives.insert(from, letter.life).is_some_and(|old| old != letter.life)
        {
            self.tell_new_lenders(&HashSet::from([from]));
        }
        for line in letter.lines {
            self.line(from, line);
        }
        self.pump();
        true
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
            self.line(self.me, line);
        }
    }

    fn line(&mut self, from: SocketAddr, line: Line) {
        let now = self.now;
        match line {
            Line::Ask { seq, kind, priority, aim, left, avoid, hops } => {
                let wish = Wish {
                    from,
                    seq,
                    priority,
                    came: now,
                    aim: now + Duration::from_millis(aim.into()),
                    end: now + Duration::from_millis(left.into()),
                    avoid,
                    late: false,
                };
                self.asked(kind, wish, hops);
            }
            Line::Return { seq, kind, ended, .. } => {
                // Without a kind (of a grant that nobody waits for any more) all shelves are looked at.
                let kinds: Vec<Kind> = match kind {
                    0 => self.shelves.keys().copied().collect(),
                    kind => vec![kind],
                };
                let (mut gone, mut kind) = (None, None);
                for k in kinds {
                    let Some(shelf) = self.shelves.get_mut(&k) else { continue };
                    let had = shelf.lent() + shelf.queue.len();
                    gone = shelf.back(now, from, seq, ended);
                    if gone.is_some() || shelf.lent() + shelf.queue.len() != had {
                        kind = Some(k);
                        break;
                    }
                }
                if let Some(instance) = gone {
                    self.forget(&instance);
                    self.orders.push_back(Order::Gone { instance });
                }
                self.say(from, Line::Noted { seq });
                if let Some(kind) = kind {
                    self.serve(kind);
                }
            }
            Line::Holds { seq, kind, instance, left } => {
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    shelf.holds(now, from, seq, &instance, Duration::from_millis(left.into()));
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
                    self.note_room(kind, from, free, waiting);
                }
            }
            Line::Elsewhere { seq, zone } => {
                let Some(call) = self.calls.get(&seq) else { return };
                let Stage::Asking { to, hops, .. } = call.stage else { return };
                if to != from {
                    return;
                }
                let named = self.members.iter().find(|m| hash(&m.zone) == zone).map(|m| m.zone.clone());
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
                    self.note_room(kind, from, 0, 1);
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

    fn note_room(&mut self, kind: Kind, from: SocketAddr, free: u8, waiting: u8) {
        let Some(zone) = self.members.iter().find(|m| m.at == from).map(|m| m.zone.clone()) else { return };
        if self.rooms.len() < 65_536 {
            self.rooms.insert((kind, zone), (self.now, free, waiting));
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
        match self.calls.get_mut(&seq) {
            Some(call) if matches!(call.stage, Stage::Asking { .. }) => {
                let kind = call.kind;
                call.stage = Stage::Holding { lender: from, instance: instance.clone(), since: now };
                let left = ms(call.end.saturating_sub(now));
                self.note_room(kind, from, free, waiting);
                // From one that lends it no more: who does now counts it as out until it comes back or its call is over.
                let zone = self.entries.get(&instance).map(|entry| entry.zone.clone());
                if let Some(present) = zone.and_then(|zone| self.lender(kind, &zone)).filter(|at| *at != from)
                {
                    self.say(present, Line::Holds { seq, kind, instance: instance.clone(), left });
                    if let Some(Call { stage: Stage::Holding { lender, .. }, .. }) = self.calls.get_mut(&seq)
                    {
                        *lender = present;
                    }
                }
                self.orders.push_back(Order::Go { call: seq, instance, at });
            }
            // The same grant again: the answer to an ask that was said twice.
            Some(Call { stage: Stage::Holding { lender, instance: held, .. }, .. })
                if *lender == from && *held == instance => {}
            Some(Call { stage: Stage::Returning { lender, .. }, .. }) if *lender == from => {}
            // Nobody wants it any more, or another lender was quicker.
            _ => self.say(from, Line::Return { seq, kind: 0, ended: Ended::Idle, ms: 0 }),
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
        let ids = self.by_kind.get(&kind)?;
        let others = ids.iter().filter_map(|id| self.entries.get(id)).filter(|e| e.lends);
        let others = others.filter(|e| self.lender(kind, &e.zone) != Some(self.me));
        others.max_by_key(|e| (e.ready, weight(kind, &e.at))).map(|e| e.zone.clone())
    }

    fn asked(&mut self, kind: Kind, wish: Wish, hops: u8) {
        let now = self.now;
        let Some(function) = self.functions.get(&kind).cloned() else {
            return self.say(wish.from, Line::Later { seq: wish.seq, after: 300 });
        };
        let shelf = self.shelves.entry(kind).or_insert_with(|| Shelf::new(function, now));
        let (free, waiting) = room(shelf, now);
        // Said again: the grant or the place it has.
        if let Some(book) =
            shelf.books.iter().find(|b| b.loans.iter().any(|l| l.to == wish.from && l.seq == wish.seq))
        {
            let (instance, at) = (book.entry.instance.clone(), book.entry.at);
            return self.say(wish.from, Line::Grant { seq: wish.seq, instance, at, free, waiting });
        }
        if shelf.queue.iter().any(|other| (other.from, other.seq) == (wish.from, wish.seq)) {
            return self.say(wish.from, Line::Waits { seq: wish.seq, free, waiting });
        }
        shelf.counted(now);
        let lends = shelf.lends();
        if !lends && hops < HOPS {
            if let Some(zone) = self.elsewhere(kind) {
                return self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
            }
        }
        let (from, seq) = (wish.from, wish.seq);
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
        if now < self.swept + Duration::from_millis(20) {
            return self.pump();
        }
        self.swept = now;
        self.again();
        let kinds: Vec<Kind> = self.shelves.keys().copied().collect();
        for kind in kinds {
            self.sweep(kind);
        }
        self.passed_over.retain(|_, until| *until > now);
        self.pump();
    }

    fn sweep(&mut self, kind: Kind) {
        let now = self.now;
        let Some(shelf) = self.shelves.get_mut(&kind) else { return };
        shelf.expire(now);
        let mut dials = Vec::new();
        let boot = shelf.function.boot;
        for book in &mut shelf.books {
            let due = book.entry.since + boot.mul_f64(0.5);
            if book.entry.lends && !book.entry.ready && now >= due && now >= book.dialled + DIAL {
                book.dialled = now;
                dials.push(Order::Dial { instance: book.entry.instance.clone(), at: book.entry.at });
            }
        }
        let hopeless = shelf.hopeless(now);
        let moved = if !shelf.queue.is_empty() && !shelf.lends() { self.elsewhere(kind) } else { None };
        self.orders.extend(dials);
        for wish in hopeless {
            self.say(wish.from, Line::Later { seq: wish.seq, after: 250 });
        }
        if let (Some(zone), Some(shelf)) = (moved, self.shelves.get_mut(&kind)) {
            for wish in std::mem::take(&mut shelf.queue) {
                self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
            }
        }
        self.serve(kind);
    }

    /// Asks and returns without a word so far are said again; lenders that say nothing are passed over.
    fn again(&mut self) {
        let now = self.now;
        let (mut lines, mut silent, mut over, mut ended) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for (&seq, call) in &mut self.calls {
            match &mut call.stage {
                Stage::Asking { to, sent, tries, waits, hops } => {
                    if call.end <= now {
                        over.push(seq);
                        continue;
                    }
                    let pause = if *waits { AGAIN_WAITING } else { AGAIN * (1 << (*tries - 1).min(3)) };
                    if *to != self.me && now >= *sent + pause {
                        if *tries >= TRIES {
                            silent.push((seq, *to));
                        } else {
                            (*sent, *tries) = (now, *tries + 1);
                            lines.push((*to, seq, *hops));
                        }
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
        for (to, seq, hops) in lines {
            if let Some(line) = self.calls.get(&seq).map(|call| self.ask_line(seq, call, hops)) {
                self.say(to, line);
            }
        }
        for seq in ended {
            self.calls.remove(&seq);
        }
        for seq in over {
            if let Some(Call { stage: Stage::Asking { to, .. }, .. }) = self.calls.get(&seq) {
                let to = *to;
                self.say(to, Line::Return { seq, kind: 0, ended: Ended::Idle, ms: 0 });
            }
            self.calls.remove(&seq);
            self.orders.push_back(Order::No { call: seq, after: Duration::from_millis(200) });
        }
        if !silent.is_empty() {
            for &(_, to) in &silent {
                let before = self.passed_over.insert(to, now + PASSED_OVER);
                if before.is_none_or(|until| until <= now) {
                    self.orders.push_back(Order::PassedOver { lender: to });
                }
            }
            self.arrange(true);
            self.tell_new_lenders(&HashSet::new());
            for (seq, _) in silent {
                self.ask(seq, 0);
            }
        }
    }

    /// What the scaler is to hear of functions in this one's care.
    pub fn told(&mut self, now: Duration, at_least: Duration) -> Vec<Told> {
        self.now = now;
        self.shelves.values_mut().filter_map(|shelf| shelf.tell(now, at_least)).collect()
    }

    /// The name of a function told of.
    pub fn name(&self, kind: Kind) -> Option<&str> {
        self.functions.get(&kind).map(|f| f.name.as_str())
    }

    /// Whether `tick` has anything to do soon.
    pub fn busy(&self) -> bool {
        !self.calls.is_empty()
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
        let part: Vec<Line> = lines.drain(..lines.len().min(LINES)).collect();
        if lines.is_empty() {
            self.out.remove(&to);
        }
        Some(Order::Send { to, bytes: Letter { life: self.life, lines: part }.write() })
    }
}

/// Free slots and waiting calls, as they are told: at most 255.
fn room(shelf: &Shelf, now: Duration) -> (u8, u8) {
    let cut = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
    (cut(shelf.free(now)), cut(shelf.queue.len()))
}
