//! The records that the decisions are made from: what one scheduler knows of workers, tasks and run times.

use crate::types::{Condition, Ending, Energy, Site, Workload};
use oorandom::Rand64;
use std::collections::{HashMap, VecDeque};
use std::ops::{Deref, DerefMut};
use std::time::Duration;

#[derive(Default)]
pub struct Worker {
    pub site: Site,
    pub weight: f64,
    pub condition: Option<Condition>,
    pub on_list: bool,
    pub booted: Option<Duration>,
    /// Own slots out, and those of them that have started.
    pub n: f64,
    pub running: f64,
    pub waiting: VecDeque<(usize, usize)>,
    pub energy: Energy,
    pub used: Duration,
    /// New or returning: no completion yet.
    pub fresh: bool,
    /// Own logarithm of the speed against its kind's, and the completions behind it.
    pub speed_offset: f64,
    pub completions: f64,
    /// What others have there, in slots, as of `seen`.
    pub peer_load: f64,
    pub seen: Duration,
    /// Slots that were left free for this scheduler, as of `left`.
    pub room: f64,
    pub left: Duration,
    /// What the other schedulers told that they have out there.
    pub told: Told,
    /// Stands for the worker at every scheduler.
    pub mark: u64,
    pub errors: f64,
    pub barred_until: Option<Duration>,
    pub spells: i32,
    pub silent: bool,
    /// The last news of any own task there.
    pub heard: Duration,
    /// While cold: no own task before then.
    pub rest_until: Duration,
    /// Gave a sign of leaving on an old list: no own task before then.
    pub left_out: Duration,
    /// Taken out by hand: draining for this scheduler, whatever the list says.
    pub banned: bool,
}

impl Worker {
    pub fn ready(&self) -> bool {
        self.on_list && self.condition == Some(Condition::Ready) && !self.banned
    }

    pub fn is_barred(&self, now: Duration) -> bool {
        self.barred_until.is_some_and(|until| until > now)
    }

    /// Listed, but gets nothing now, by hand or by choice.
    pub fn avoided(&self, now: Duration) -> bool {
        self.on_list && (self.banned || self.is_barred(now) || self.silent || self.left_out > now)
    }

    /// Taken out by hand, or put back: then it is like one that returns, since it was worked on meanwhile.
    pub fn ban(&mut self, banned: bool) {
        if self.banned && !banned {
            (self.fresh, self.silent, self.errors, self.barred_until, self.peer_load) =
                (true, false, 0.0, None, 0.0);
        }
        self.banned = banned;
    }

    /// Takes down a logarithm of its speed against its kind's. A surprisingly long run outweighs what was: a worker
    /// slows down from one task to the next.
    pub fn adapt(&mut self, speed_offset: f64, spread: f64) {
        if speed_offset < self.speed_offset - SURPRISE * spread {
            self.completions = self.completions.min(OWN_SPEED_AFTER - 1.0);
        }
        self.completions += 1.0;
        self.speed_offset +=
            (speed_offset - self.speed_offset) * (1.0 / self.completions).max(1.0 / OWN_SPEED_SPAN);
    }

    /// Takes down a line of the list; whether its condition changed, and whether it started anew.
    pub fn list(&mut self, site: Site, weight: f64, is: Condition, booted: Option<Duration>) -> (bool, bool) {
        let (changed, restarted) = (self.condition != Some(is), self.booted != booted);
        let returns = changed && self.condition.is_some() && is == Condition::Ready;
        let starts = booted.is_some() && (restarted || self.condition.is_none());
        if restarted || returns {
            (self.fresh, self.errors, self.barred_until, self.peer_load) = (true, 0.0, None, 0.0);
        }
        (self.site, self.weight, self.condition, self.booted) = (site, weight, Some(is), booted);
        self.on_list = is != Condition::Gone;
        (changed, starts)
    }

    /// For the process that takes over: there the own slots out are another's.
    pub fn snapshot(&self) -> WorkerState {
        let (rest_until, barred_until, fresh) = (self.rest_until, self.barred_until, self.fresh);
        let (speed_offset, completions, peer_load) =
            (self.speed_offset, self.completions, self.n + self.peer_load);
        WorkerState { rest_until, barred_until, fresh, speed_offset, completions, peer_load }
    }

    pub fn restore(&mut self, from: &WorkerState, now: Duration) {
        (self.rest_until, self.barred_until, self.fresh) = (from.rest_until, from.barred_until, from.fresh);
        (self.speed_offset, self.completions) = (from.speed_offset, from.completions);
        (self.peer_load, self.seen) = (from.peer_load, now);
    }

    /// Barred for a while, longer each time.
    pub fn set_aside(&mut self, now: Duration) -> Duration {
        self.spells = (self.spells + 1).min(4);
        let pause = Duration::from_secs_f64(0.75 * f64::from(1 << self.spells));
        (self.barred_until, self.errors, self.silent) = (Some(now + pause), 0.35, false);
        pause
    }

    /// An assignment goes there; while cold it gets the next one at `rest`.
    pub fn takes(&mut self, ticket: (usize, usize), size: f64, now: Duration, rest_until: Duration) {
        (self.n, self.used, self.rest_until) = (self.n + size, now, rest_until);
        self.room = (self.room - size).max(0.0);
        self.waiting.push_back(ticket);
    }

    /// An assignment there has started.
    pub fn begins(&mut self, ticket: (usize, usize), size: f64, now: Duration) {
        self.running += size;
        self.revive(now);
        self.waiting.retain(|x| *x != ticket);
    }

    /// An assignment there is over.
    pub fn lets_go(&mut self, ticket: (usize, usize), size: f64, started: bool, now: Duration) {
        (self.n, self.used) = ((self.n - size).max(0.0), now);
        self.waiting.retain(|x| *x != ticket);
        self.running -= if started { size.min(self.running) } else { 0.0 };
    }

    /// Slots left free to this scheduler by an own task or by another scheduler, for this long.
    pub fn room_left(&self, now: Duration, span: Duration) -> f64 {
        if now <= self.left + span {
            self.room
        } else {
            0.0
        }
    }

    /// Share of its capacity that it surely has by now: it climbs evenly from the cold share.
    pub fn warmth(&self, now: Duration, cold_share: f64, warm_within: Duration) -> f64 {
        let Some(booted) = self.booted else { return 1.0 };
        let age = now.saturating_sub(booted).as_secs_f64() / warm_within.as_secs_f64().max(1e-3);
        (cold_share + (1.0 - cold_share) * age).min(1.0)
    }

    /// Logarithm of its own speed against its kind's, where it is clearly apart; forgotten while it is not used.
    pub fn own_speed(&self, now: Duration) -> f64 {
        let clear = self.completions >= OWN_SPEED_AFTER
            && self.speed_offset.abs() * self.completions.min(OWN_SPEED_SPAN).sqrt() > 2.0 * LOG_SPREAD;
        // Guards against shunning a worker that was slow for a while: unused, it becomes like its kind.
        let unused = now.saturating_sub(self.used).as_secs_f64();
        if clear {
            self.speed_offset * (-unused / FORGET_SPAN).exp()
        } else {
            0.0
        }
    }

    /// Heard from: it does not stand still, and what barred it for silence is lifted.
    pub fn revive(&mut self, now: Duration) {
        self.heard = now;
        if self.silent {
            (self.silent, self.errors, self.barred_until) = (false, 0.0, None);
        }
    }
}

/// How a worker stands, as one process leaves it to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerState {
    pub rest_until: Duration,
    pub barred_until: Option<Duration>,
    pub speed_offset: f64,
    pub completions: f64,
    pub fresh: bool,
    pub peer_load: f64,
}

#[derive(Clone, Copy, Default)]
pub struct MachineKind {
    /// Logarithm of the speed, and the most slots seen in use or free at once.
    pub speed: f64,
    pub slots: f64,
    /// While the list is added up: what all schedulers have out on it, and its workers.
    pub out: f64,
    pub listed: f64,
}

#[derive(Clone, Copy)]
pub struct Assignment {
    pub worker: usize,
    pub sent: Duration,
    pub started: Option<Duration>,
    pub heard: Duration,
    /// Own slots on the worker when it was sent.
    pub ahead: f64,
    pub cold: bool,
    pub ending: Option<Ending>,
    pub called_off: bool,
}

impl Assignment {
    pub fn new(worker: usize, now: Duration, ahead: f64, cold: bool) -> Self {
        let (started, ending, called_off) = (None, None, false);
        Assignment { worker, sent: now, started, heard: now, ahead, cold, ending, called_off }
    }

    pub fn live(&self) -> bool {
        self.ending.is_none() && !self.called_off
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    First,
    Further,
    Out,
    Over,
    Unused,
}

pub struct Task {
    pub stage: Stage,
    pub workload: usize,
    pub size: f64,
    pub utility: f64,
    /// The data set it needs; 0: none.
    pub set: u64,
    pub born: Duration,
    pub limit: Duration,
    pub assignments: Vec<Assignment>,
}

impl Task {
    /// The assignments that may have run, or may still: all without an ending that proves they never did.
    pub fn maybe_ran(&self) -> impl Iterator<Item = &Assignment> {
        self.assignments.iter().filter(|a| !a.ending.is_some_and(Ending::proves_never_ran))
    }

    /// Whether one more assignment is allowed.
    pub fn may_go_on(&self, rows: &[Workload]) -> bool {
        self.assignments.len() < rows[self.workload].max_assignments
    }

    pub fn out(&self) -> usize {
        self.assignments.iter().filter(|a| a.ending.is_none()).count()
    }
}

impl MachineKind {
    /// The list was added up: its workers have at least as many slots as all schedulers use on the average.
    pub fn close(&mut self) {
        self.slots = self.slots.max((self.out / self.listed.max(1.0)).round());
        (self.out, self.listed) = (0.0, 0.0);
    }
}

/// Sums over the list: slots, own and others' ones in use, speeds by slots, and ready workers.
#[derive(Default)]
pub struct Sums {
    pub fleet: f64,
    pub own: f64,
    pub others: f64,
    pub speed: f64,
    pub ready: usize,
}

impl Sums {
    pub fn add(&mut self, w: &Worker, kind: &mut MachineKind, slots: f64, others: f64) {
        (self.own, self.fleet) = (self.own + w.n, self.fleet + slots);
        self.speed += kind.speed * slots;
        self.others += others * slots;
        self.ready += usize::from(w.ready());
        (kind.out, kind.listed) = (kind.out + w.n + w.told.sum, kind.listed + 1.0);
    }
}

/// What is learned of a workload: logarithm of the running time at speed 1 and its spread, its mean, and how often.
#[derive(Clone, Copy)]
pub struct RunTimes {
    pub log: f64,
    pub spread: f64,
    pub mean: f64,
    pub seen: f64,
}

/// Weight of one sighting in the others' share: some twenty count.
const OTHERS_STEP: f64 = 0.05;
/// Weight of one tally in the own part of all traffic: what is out swings.
const MINE_STEP: f64 = 0.3;
/// The others' share before any sighting: most workers have room.
const OTHERS_FIRST: f64 = 0.2;

/// What is learned of workloads, machine kinds and the other schedulers; it outlives the workloads' rows.
#[derive(Clone, Default)]
pub struct Model {
    pub run_times: Vec<RunTimes>,
    pub kinds: Vec<MachineKind>,
    /// Share of its slots that others hold on a worker, by zone and kind.
    pub peer_shares: Vec<Vec<f64>>,
    /// Mean time a slot is held at speed 1.
    pub slot_time: f64,
    pub setup: f64,
    /// The own part of all traffic.
    pub local_share: f64,
}

impl Model {
    /// Guesses, until answers come.
    pub fn first(rows: &[Workload], schedulers: usize) -> Self {
        let run_times: Vec<RunTimes> = rows.iter().map(RunTimes::first).collect();
        let slot_time = run_times.iter().map(|r| r.mean).sum::<f64>() / run_times.len() as f64;
        let (setup, local_share) = (slot_time / 16.0, 1.0 / schedulers as f64);
        Model { run_times, slot_time, setup, local_share, ..Model::default() }
    }

    /// Other rows, each with the one before that it goes on from.
    pub fn reconfigure(&mut self, rows: &[Workload], before: &[Option<usize>]) {
        let runs = |(row, from): (&Workload, &Option<usize>)| {
            from.map_or_else(|| RunTimes::first(row), |at| self.run_times[at])
        };
        self.run_times = rows.iter().zip(before).map(runs).collect();
    }

    /// Makes room for another zone or kind.
    pub fn make_room(&mut self, site: Site) {
        self.kinds.resize(self.kinds.len().max(site.kind + 1), MachineKind::default());
        self.peer_shares.resize(self.peer_shares.len().max(site.zone + 1), Vec::new());
        let zone = &mut self.peer_shares[site.zone];
        zone.resize(zone.len().max(site.kind + 1), OTHERS_FIRST);
    }

    /// Slots of a worker: the most seen at once on its kind; before that its size, which may count speed too.
    pub fn slots(&self, w: &Worker, live_weights: bool) -> f64 {
        let (seen, weight) = (self.kinds[w.site.kind].slots, w.weight);
        if seen >= weight.floor() || live_weights && seen > 0.0 { seen } else { weight }.max(1.0)
    }

    /// What others hold of a worker's slots was seen.
    pub fn sight(&mut self, at: Site, share: f64) {
        let others = &mut self.peer_shares[at.zone][at.kind];
        *others += OTHERS_STEP * (share - *others);
    }

    /// Adds up the list: the own part of all traffic, the mean speed (kept at 1).
    pub fn add_up(&mut self, workers: &[Worker], live_weights: bool) -> Sums {
        let mut sums = Sums::default();
        for w in workers.iter().filter(|w| w.on_list) {
            let (slots, others) = (self.slots(w, live_weights), self.peer_shares[w.site.zone][w.site.kind]);
            sums.add(w, &mut self.kinds[w.site.kind], slots, others);
        }
        // Guards against a kind never used since few of its slots were seen: it has as many as all use.
        self.kinds.iter_mut().for_each(MachineKind::close);
        self.level(sums.speed / f64::max(sums.fleet, 1.0));
        self.local_share += MINE_STEP * (sums.own / (sums.own + sums.others).max(1.0) - self.local_share);
        sums
    }

    /// Takes down a run: run times by workload and speeds by kind from their logarithms, so that neither the
    /// mix of workloads nor one very long task passes as speed.
    pub fn learn(&mut self, w: &mut Worker, workload: usize, size: f64, run: f64) {
        let (kind, r, run) = (&mut self.kinds[w.site.kind], &mut self.run_times[workload], run.max(1e-3));
        let off = run.ln() - (r.log - kind.speed);
        r.seen += 1.0;
        r.log += off * (1.0 / r.seen).max(0.03);
        // The mean distance of a normal spread is 0.8 of it; a worker that has slowed down adds its own.
        r.spread += (1.25 * (off + w.speed_offset).abs().min(2.0) - r.spread) * 0.02;
        if r.seen > 8.0 {
            kind.speed -= 0.02 * off;
            w.adapt(-off, r.spread);
        }
        let plain = run * kind.speed.exp();
        r.mean += (plain - r.mean) * (1.0 / r.seen).max(0.02);
        self.slot_time += 0.02 * size.min(4.0) * (plain - self.slot_time);
    }

    /// Moves the speed that counts as 1 by this much, in logarithms: only run / speed is seen, so it would drift.
    pub fn level(&mut self, mean: f64) {
        self.kinds.iter_mut().for_each(|kind| kind.speed -= mean);
        self.slot_time *= (-mean).exp();
        for r in &mut self.run_times {
            (r.log, r.mean) = (r.log - mean, r.mean * (-mean).exp());
        }
    }
}

impl RunTimes {
    /// The promised time says best how long a task runs, at first. Guards against shedding all of a
    /// workload whose promised time hardly grows with the run, before any has run.
    pub fn first(row: &Workload) -> Self {
        let guess = row.promised.as_secs_f64() * ((1.0 + row.stretch) / 2.0).min(1.0);
        RunTimes { log: guess.max(0.01).ln(), mean: guess.max(0.01), spread: LOG_SPREAD, seen: 0.0 }
    }
}

pub struct Chance(pub Rand64);

impl Default for Chance {
    fn default() -> Self {
        Chance(Rand64::new(0))
    }
}

/// Tasks in hand, in places that are used again.
#[derive(Default)]
pub struct Slab {
    tasks: Vec<Task>,
    unused: Vec<usize>,
}

impl Slab {
    /// A place without assignments, an old one where there is one.
    pub fn open(&mut self, max_assignments: usize) -> usize {
        let place = self.unused.pop().unwrap_or(self.tasks.len());
        if place == self.tasks.len() {
            let assignments = Vec::with_capacity(max_assignments);
            let (stage, zero) = (Stage::Unused, Duration::ZERO);
            let (workload, size, utility, set) = (0, 1.0, 0.0, 0);
            self.tasks.push(Task {
                stage,
                workload,
                size,
                utility,
                set,
                born: zero,
                limit: zero,
                assignments,
            });
        }
        self.tasks[place].assignments.clear();
        self.tasks[place].set = 0;
        place
    }

    pub fn close(&mut self, place: usize) {
        self.tasks[place].stage = Stage::Unused;
        self.unused.push(place);
    }

    /// An assignment whose outcome is still to come.
    pub fn out(&self, task: usize, number: usize) -> Option<&Assignment> {
        let t = self.tasks.get(task).filter(|t| t.stage != Stage::Unused)?;
        t.assignments.get(number).filter(|a| a.ending.is_none())
    }
}

impl Deref for Slab {
    type Target = [Task];

    fn deref(&self) -> &[Task] {
        &self.tasks
    }
}

impl DerefMut for Slab {
    fn deref_mut(&mut self) -> &mut [Task] {
        &mut self.tasks
    }
}

/// The listed workers by zone, in the order in which the list named them.
#[derive(Default)]
pub struct Roster {
    zones: Vec<Vec<usize>>,
    pub listed: usize,
}

impl Roster {
    pub fn clear(&mut self) {
        self.zones.iter_mut().for_each(Vec::clear);
        self.listed = 0;
    }

    pub fn strike(&mut self, worker: usize, zone: usize) {
        let place = self.zones.get(zone).and_then(|z| z.iter().position(|&x| x == worker));
        if let Some(place) = place {
            self.zones[zone].remove(place);
            self.listed -= 1;
        }
    }

    pub fn enter(&mut self, worker: usize, zone: usize) {
        self.zones.resize(self.zones.len().max(zone + 1), Vec::new());
        self.zones[zone].push(worker);
        self.listed += 1;
    }

    /// The worker that a number falls on, counted round and round in a zone, or zone after zone outside of it.
    pub fn pick(&self, home: usize, inside: bool, number: u64) -> Option<usize> {
        let near = self.zones.get(home).map_or(0, Vec::len);
        let among = if inside { near } else { self.listed - near };
        let mut place = number.checked_rem(among as u64)? as usize;
        let zones = self.zones.iter().enumerate().filter(|(zone, _)| (*zone == home) == inside);
        for (_, zone) in zones {
            if place < zone.len() {
                return Some(zone[place]);
            }
            place -= zone.len();
        }
        None
    }
}

/// A count that decays over a span.
#[derive(Default)]
pub struct Rate {
    count: f64,
    at: Duration,
}

impl Rate {
    fn left(&self, now: Duration, span: f64) -> f64 {
        self.count * (-now.saturating_sub(self.at).as_secs_f64() / span).exp()
    }

    pub fn add(&mut self, count: f64, now: Duration, span: f64) {
        (self.count, self.at) = (self.left(now, span) + count, now);
    }

    /// The same, where nothing came before the start.
    pub fn since(&self, start: Duration, now: Duration, span: f64) -> f64 {
        let lived = (now - start).as_secs_f64() + 0.5;
        self.a_second(now, span) / (1.0 - (-lived / span).exp())
    }

    pub fn a_second(&self, now: Duration, span: f64) -> f64 {
        self.left(now, span) / span
    }
}

/// What may be taken of something that comes in evenly and is saved up to a limit.
#[derive(Clone)]
pub struct Bucket {
    pub at: Duration,
    pub left: f64,
}

impl Bucket {
    /// Takes one if there is one.
    pub fn take(&mut self, now: Duration, a_second: f64, most: f64) -> bool {
        let left = (self.left + a_second * (now - self.at).as_secs_f64()).min(most);
        let taken = left >= 1.0;
        (self.at, self.left) = (now, if taken { left - 1.0 } else { left });
        taken
    }
}

/// Completions that a worker's own speed is smoothed over: enough to tell half from full speed.
pub const OWN_SPEED_SPAN: f64 = 12.0;
/// Running times are heavy-tailed: at first their logarithm spreads by about this.
pub const LOG_SPREAD: f64 = 0.7;
/// An own speed is forgotten over this many seconds while the worker is not used.
const FORGET_SPAN: f64 = 8.0;
/// Completions before a worker's own speed may replace its kind's.
pub const OWN_SPEED_AFTER: f64 = 6.0;
/// From so many spreads on a run is a surprise: one in a hundred, about.
const SURPRISE: f64 = 2.5;

/// Slots out at a worker by the scheduler that told of them.
#[derive(Default)]
pub struct Told {
    /// By scheduler, with the number of its message, which wraps.
    slots: Vec<Option<(u16, f32)>>,
    pub sum: f64,
}

impl Told {
    /// Messages overtake one another: guards against an older one undoing what a newer one told.
    pub fn set(&mut self, peer: usize, number: u16, slots: f64) {
        self.slots.resize(self.slots.len().max(peer + 1), None);
        let (last, held) = self.slots[peer].unwrap_or((number, 0.0));
        if number.wrapping_sub(last) < u16::MAX / 2 {
            self.sum += slots - f64::from(held);
            self.slots[peer] = Some((number, slots as f32));
        }
    }

    /// What a scheduler told that has fallen silent counts no longer.
    pub fn silence(&mut self, peer: usize) {
        if let Some((_, held)) = self.slots.get_mut(peer).and_then(Option::take) {
            self.sum -= f64::from(held);
        }
    }
}

/// A scheduler that told nothing for this long is down, or does not tell.
const PEER_SILENT: Duration = Duration::from_secs(3);

/// Which other schedulers tell, and what was told them.
#[derive(Default)]
pub struct Peers {
    heard: Vec<Option<Duration>>,
    pub told: Duration,
    turn: usize,
}

impl Peers {
    pub fn heard(&mut self, peer: usize, now: Duration) {
        self.heard.resize(self.heard.len().max(peer + 1), None);
        self.heard[peer] = Some(now);
    }

    /// They are told now: of what changed, and of one worker more in turn, since words may be lost.
    pub fn next_turn(&mut self, now: Duration, listed: usize) -> usize {
        (self.told, self.turn) = (now, (self.turn + 1) % listed);
        self.turn
    }

    pub fn talking(&self) -> usize {
        self.heard.iter().flatten().count()
    }

    /// Those that have fallen silent, once each.
    pub fn lost(&mut self, now: Duration) -> impl Iterator<Item = usize> + '_ {
        let silent = move |at: Duration| now.saturating_sub(at) > PEER_SILENT;
        let all = self.heard.iter_mut().enumerate();
        all.filter_map(move |(peer, at)| at.take_if(|at| silent(*at)).map(|_| peer))
    }
}

/// An even draw between 0 and 1 for a pair, the same wherever it is made.
pub fn drawn(one: u64, other: u64) -> f64 {
    let mut x = one ^ other.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + 1e-17
}

/// Workers where a data set may be at home: enough for one that a third of the tasks need.
pub const HOMES: usize = 16;

/// Data sets that are remembered.
const SETS: usize = 8192;

/// A data set: where it is at home, as of which list, and how often it is asked for.
#[derive(Default)]
pub struct Home {
    pub workers: [usize; HOMES],
    /// None before the first: guards against homes at workers that no list has named yet.
    lists: Option<usize>,
    pub asked: Rate,
}

#[derive(Default)]
pub struct Sets {
    homes: HashMap<u64, Home>,
    /// Counts the changes of the list that move homes.
    pub lists: usize,
}

impl Sets {
    pub fn ask(&mut self, set: u64, now: Duration, span: f64) {
        if set != 0 && (self.homes.len() < SETS || self.homes.contains_key(&set)) {
            self.homes.entry(set).or_default().asked.add(1.0, now, span);
        }
    }

    /// A set's row, its homes drawn anew among these workers, with their marks and what they can do, if the list has
    /// changed since.
    pub fn home<W>(&mut self, set: u64, workers: impl FnOnce() -> W) -> Option<&Home>
    where
        W: Iterator<Item = (usize, u64, f64)>,
    {
        let home = self.homes.get_mut(&set)?;
        if home.lists != Some(self.lists) {
            let mut best = [(f64::INFINITY, usize::MAX); HOMES];
            for (worker, mark, able) in workers() {
                let draw = -drawn(set, mark).ln() / able;
                let place = best.partition_point(|b| b.0 <= draw);
                if place < HOMES {
                    best[place..].rotate_right(1);
                    best[place] = (draw, worker);
                }
            }
            (home.lists, home.workers) = (Some(self.lists), best.map(|b| b.1));
        }
        Some(home)
    }
}

/// Where room was left to this scheduler or freed by its own tasks, who asks for some, and when it last asked.
#[derive(Default)]
pub struct Rooms {
    pub at: VecDeque<usize>,
    pub freed: Vec<(usize, f64)>,
    pub askers: Vec<usize>,
    pub asked: Duration,
}

/// Whether schedulers tell one another of workers: each tells all what it has out, or, where that is too dear
/// since they are many, leaves free slots to one other.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Talk {
    #[default]
    Silent,
    ToAll,
    ToOne,
}

/// Among whom a task is scored: a group of the homes of its data set, some by chance, or the whole list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Among {
    Homes(usize),
    Drawn,
    All,
}

pub fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// Time that may still pass before a start at that speed is in time for each run and the time left for it.
pub fn spare(ends: [(f64, f64); 2], speed: f64) -> f64 {
    let [short, long] = ends.map(|(left, run)| left - run / speed);
    short.min(long)
}
