//! All decisions of tindock.
//! The host calls `clock` with the time, then the inputs (`listed`, `arrived`, `started`, `progressed`,
//! `ended`, `left`, `reported`, `told`, `bell`), which only update what is known, and then pulls `decide`
//! until it gives `None`. The words of this interface are in `terms.rs`; the reasons are in `docs/design.md`.

use crate::books::*;
use crate::terms::*;
use oorandom::Rand64;
use std::collections::VecDeque;
use std::time::Duration;

// Times are in seconds unless they say otherwise.
const IDLE_WINDOW: f64 = 5.0; // off after this without an own task: longer than a lull between two
const RATE_SPAN: f64 = 10.0; // smooths the own rate: long against bursts, short against a day's swing
const RATE_FLOOR: f64 = 0.05; // keeps a and b above zero when nothing arrives
const SWEEP: Duration = Duration::from_millis(15); // a small part of any promised time
const LAST_CALL: f64 = 0.1; // final answers come this long before the hard limit: some sweeps
const AT_ONCE: f64 = 0.04; // a shorter wait is a connection and a way across zones; a longer one a queue
const MEMORY_MARGIN: Duration = Duration::from_millis(50); // a repeat's way to a group that forgets soon
const NOTE_GRACE: f64 = 0.7; // a progress note this late is no common pause
const ERRORS_BAR: f64 = 0.45; // smoothed share of errors that bars a worker: two on end reach it
const ERROR_STEP: f64 = 0.3; // weight of one ending in that share: quick, since errors return at once
const BARRED_SHARE: f64 = 0.34; // at most this share of the ready workers is set aside at a time
const HIDDEN_SPAN: f64 = 2.0; // what others have on a worker is forgotten over this: about a task or two
const MAY_BE: f64 = 0.5; // where nothing was seen lately there may be room, or nothing would be seen again
const TALLY: f64 = 1.0; // the list is added up this often: a long one takes a millisecond
const CROSSING: f64 = 40.0; // weight of the price of crossing zones in the index: a crossing costs a place
const QUEUE_SHARE: f64 = 0.5; // a workload may queue at workers from this share of the best utility per work
const SHARE_SPAN: f64 = 2.0; // a customer may save up its share for this long: arrivals come in clumps
const ROOM_SPAN: Duration = Duration::from_secs(3); // room left to this scheduler counts so long: a few tasks
const TELL_ALL: f64 = 0.006; // what telling all may cost a task, as a share of the whole utility
const WORD: f64 = 3.0 / 256.0; // a worker and its slots among a message's bytes, told twice for each task
const TELL_EVERY: Duration = Duration::from_millis(20); // as long as a message travels, about
const PATIENCE: f64 = 0.15; // part of the time to spare that is spent waiting for room that is sure
const HOMESICK: f64 = 0.65; // the same for room where the data set is at home: fetching takes half a run
const SOUGHT: usize = 3; // schedulers asked for room at a time: every other one has some
const SEEK_EVERY: Duration = Duration::from_millis(60); // an answer has come by then, if any
const ASKERS: usize = 64; // more who ask at a time than could be answered
const REPORT_STEP: f64 = 0.3; // weight of a report in what is hidden: half a second old at the least
const REPORTED: f64 = 0.5; // part of the free slots in a report that still are free: it is a task old
const KEPT: f64 = 2.0; // workers with room that are kept for the next arrivals
const MISSES: usize = 4; // tasks that find no room before the others of that moment are not tried
const CLAIMED: f64 = 2.0; // free slots of a worker that others may take at the same moment
const COLD_ROOM: f64 = 0.5; // part of a cold budget that is used: tasks run long, schedulers coincide

/// The paper's Whittle index (Theorem 1 with holding cost 1 and beta 0) of a worker with `n` in it.
pub fn whittle(n: f64, energy: Energy, lambda: f64, mu: f64, delta: f64) -> f64 {
    let (a, b) = (lambda / delta, lambda / mu);
    if energy == Energy::Off {
        return a + b;
    }
    // Guards against 0/0 at lambda = mu: there the paper has a form of its own.
    let (before, queue) = if (b - 1.0).abs() < 1e-4 {
        (1.0, (n + 1.0) * (n + 2.0) / 2.0)
    } else {
        // Guards against overflow: beyond this, workers are equally out of the question.
        let power = b.powf(n + 2.0).min(1e200);
        (b / (b * (1.0 + a) - a), b * ((n + 1.0) - (n + 2.0) * b + power) / ((b - 1.0) * (b - 1.0)))
    };
    let busy = || a * a - (n + 1.0) * a + a * (b - a) * (a / (1.0 + a)).powf(n);
    before * (queue + if energy == Energy::Setup { a } else { busy() })
}

/// One scheduler's decisions.
#[derive(Default)]
pub struct Rules {
    sheet: DutySheet,
    talk: Talk,
    chance: Chance,
    now: Duration,
    start: Duration,
    workers: Vec<Worker>,
    tasks: Slab,
    lines: [VecDeque<usize>; 2], // first and further assignments wait apart
    passed: [usize; 2],          // looked at in this pull and left waiting
    loose: Vec<usize>,
    say: VecDeque<Decision>,
    known: Learned,
    arrivals: Rate, // of slots
    scores: Vec<(usize, u8, f64, f64)>,
    full: Option<(Duration, usize)>, // how many tasks found no room, last time
    roster: Roster,
    drawn: Vec<usize>, // the workers a task is scored on
    due: Duration,
    rings: Option<Duration>, // the earliest bell asked for
    tallied: Option<Duration>,
    ready: usize,
    suspects: Vec<usize>,
    rooms: Rooms,
    span: Duration, // how long room counts: what others are told of they take soon
    out: f64,       // own slots
    fair: f64,      // an equal share of the fleet's slots
    fastest: f64,   // the speed of the fastest kind
    peers: Peers,
    untold: f64,         // the part of the other schedulers that tells nothing
    changed: Vec<usize>, // workers where the own part has changed since the others were told
    sets: Sets,
    shares: Vec<Bucket>,
    yielded: bool,
}

impl Rules {
    pub fn new(sheet: DutySheet, seed: u64, now: Duration) -> Self {
        let known = Learned::first(&sheet.workloads, sheet.schedulers);
        let times = Rules { fastest: 1.0, now, start: now, due: now, untold: 1.0, ..Rules::default() };
        let chance = Chance(Rand64::new(u128::from(seed)));
        let price = 2.0 * WORD * sheet.price_word * sheet.talkers as f64;
        let talk = if price <= TELL_ALL { Talk::ToAll } else { Talk::ToOne };
        let talk = if sheet.talkers > 1 { talk } else { Talk::Silent };
        let span = if talk == Talk::ToAll { TELL_EVERY } else { ROOM_SPAN };
        Rules { talk, span, chance, known, sheet, ..times }
    }

    // Inputs: they only update what is known.

    /// Another sheet, each row with the one before whose figures it goes on with. Tasks in hand keep their row.
    pub fn retune(&mut self, sheet: DutySheet, before: &[Option<usize>]) {
        self.known.retune(&sheet.workloads, before);
        (self.sheet, self.due) = (sheet, self.now);
    }

    pub fn clock(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn bell(&mut self) {
        self.rings = self.rings.filter(|&at| at > self.now);
    }

    pub fn list_begins(&mut self, whole: bool) {
        self.due = self.now;
        if whole {
            self.tallied = None;
            self.workers.iter_mut().for_each(|w| w.on_list = false);
            self.roster.clear();
        }
    }

    pub fn listed(&mut self, i: usize, site: Site, weight: f64, is: Condition, booted: Option<Duration>) {
        if i >= self.workers.len() {
            let fresh = self.now > self.start;
            self.workers.push(Worker { site, booted, seen: self.now, fresh, ..Worker::default() });
        }
        self.known.make_room(site);
        let before = self.workers[i].site.zone;
        let (changed, starts) = self.workers[i].list(site, weight, is, booted);
        self.sets.lists += usize::from(changed);
        self.roster.strike(i, before);
        if is != Condition::Gone {
            self.roster.enter(i, site.zone);
        }
        if starts && self.warmth(i) < 1.0 {
            // Guards against schedulers that learn of a start together sending together.
            let work = self.known.hold * self.chance.0.rand_float();
            self.workers[i].rest = self.now + self.pause(i, work);
        }
    }

    /// A worker that gave a sign of leaving while no list could be had: nothing for it until then.
    pub fn left_out(&mut self, i: usize, until: Duration) {
        self.workers[i].left_out = until;
    }

    /// Taken out by hand, or put back.
    pub fn banned(&mut self, i: usize, banned: bool) {
        self.workers[i].ban(banned);
        self.due = self.now;
    }

    /// How many listed workers get nothing now, by hand or by choice.
    pub fn avoided(&self) -> usize {
        self.workers.iter().filter(|w| w.avoided(self.now)).count()
    }

    /// What was learned, and the workers' records, for the process that takes over.
    pub fn records(&self) -> (&Learned, &[Worker]) {
        (&self.known, &self.workers)
    }

    /// What the process before this one left.
    pub fn inherit(&mut self, known: Learned, stands: &[(usize, Stand)]) {
        self.known = known;
        stands.iter().for_each(|(i, stand)| self.workers[*i].take_over(stand, self.now));
    }

    /// Another process takes the tasks from now on. Guards against a cold worker pushed over by both together.
    pub fn yielded(&mut self, yielded: bool) {
        self.yielded = yielded;
    }

    pub fn marked(&mut self, i: usize, mark: u64) {
        self.workers[i].mark = mark;
    }

    /// The data set that a task needs.
    pub fn needs(&mut self, task: usize, set: u64) {
        self.tasks[task].set = set;
        self.sets.ask(set, self.now, RATE_SPAN);
    }

    pub fn arrived(&mut self, workload: usize, size: f64, left: Duration, customer: usize) -> usize {
        // Whole slots: what rounding left of fractions passed for a task for ever.
        let size = size.floor().max(1.0);
        self.arrivals.add(size, self.now, RATE_SPAN);
        // Guards against one customer's rush: beyond the own part of its share a task has less utility.
        let mut utility = self.sheet.workloads[workload].utility;
        if let Some(quota) = self.sheet.quotas.get(customer).map(|q| q * self.known.mine) {
            self.shares.resize(self.sheet.quotas.len(), Bucket { at: self.now, left: 1.0 });
            let within = self.shares[customer].take(self.now, quota, 1.0 + quota * SHARE_SPAN);
            utility *= if within { 1.0 } else { self.sheet.beyond_share };
        }
        // A client's repeat counts from its first try, which the time left tells.
        let born = self.now.saturating_sub(self.sheet.workloads[workload].hard_limit.saturating_sub(left));
        let place = self.tasks.open(self.sheet.workloads[workload].most_assignments);
        let t = &mut self.tasks[place];
        (t.stage, t.workload, t.size, t.utility) = (Stage::First, workload, size, utility);
        (t.born, t.limit) = (born, self.now + left);
        self.lines[0].push_back(place);
        place
    }

    pub fn started(&mut self, task: usize, number: usize) {
        let now = self.now;
        let Some(a) = self.tasks.out(task, number).copied().filter(|a| a.started.is_none()) else { return };
        let (i, wait, ahead, size) = (a.worker, secs(now - a.sent), a.ahead, self.tasks[task].size);
        let (speed, slots, out) = (self.speed(i), self.slots(i), &mut self.tasks[task].assignments[number]);
        (out.started, out.heard) = (Some(now), now);
        self.known.setup += if a.cold { 0.1 * (wait - self.known.setup) } else { 0.0 };
        self.due = if self.tasks[task].out() > 1 { now } else { self.due };
        let w = &mut self.workers[i];
        w.begins((task, number), size, now);
        self.known.kinds[w.site.kind].slots = self.known.kinds[w.site.kind].slots.max(w.running);
        // The wait tells what others had there: all that had to leave before, or some part of the free slots.
        let sample = if wait > AT_ONCE {
            (slots + wait * slots * speed / self.known.hold - ahead - size).max(0.0)
        } else {
            self.hidden(i, 1.0).min(0.6 * (slots - ahead - size).max(0.0))
        };
        self.see(i, sample, 0.4);
    }

    pub fn progressed(&mut self, task: usize, number: usize, _share: f64) {
        let Some(i) = self.tasks.out(task, number).map(|a| a.worker) else { return };
        self.tasks[task].assignments[number].heard = self.now;
        self.workers[i].revive(self.now);
    }

    pub fn ended(&mut self, task: usize, number: usize, ending: Ending, over: bool) {
        let Some(a) = self.tasks.out(task, number).copied() else { return };
        let (now, i, warm, t) = (self.now, a.worker, self.warmth(a.worker) >= 1.0, &mut self.tasks[task]);
        let (size, workload, full) = (t.size, t.workload, ending == Ending::Full);
        let waited = a.started.is_none() && secs(now - a.sent) > AT_ONCE;
        t.assignments[number].ending = Some(ending);
        t.stage = if over { Stage::Over } else { t.stage };
        let w = &mut self.workers[i];
        w.lets_go((task, number), size, a.started.is_some(), now);
        self.out -= size;
        self.changed.push(i);
        match ending {
            Ending::Finished => {
                w.revive(now);
                (w.energy, w.fresh, w.errors) = (Energy::Busy, false, w.errors - ERROR_STEP * w.errors);
                // Served in order: what started at once found room, so what it held is free again.
                if self.talk != Talk::Silent && a.started.is_some_and(|at| secs(at - a.sent) <= AT_ONCE) {
                    self.rooms.freed.push((i, size));
                }
                // Guards against a worker that passes for slow since it was cold, unless nothing else is known.
                if warm || self.known.runs[workload].seen < 8.0 {
                    self.known.learn(w, workload, size, secs(now - a.started.unwrap_or(a.sent)));
                }
            }
            Ending::Error | Ending::Reset | Ending::ConnectFailed => {
                w.errors += ERROR_STEP - ERROR_STEP * w.errors;
                self.suspect(i);
            }
            // Turned away, or called off while it waited: whatever was free is taken by others.
            Ending::Full | Ending::Cancelled if full || waited => {
                self.see(i, self.hidden(i, 1.0).max(self.slots(i) - self.workers[i].n), 1.0);
            }
            _ => {}
        }
        self.loose.push(task);
    }

    pub fn left(&mut self, task: usize) {
        if self.tasks[task].stage != Stage::Unused {
            self.tasks[task].stage = Stage::Over;
            self.loose.push(task);
        }
    }

    /// A worker's report of its load, as it comes with an answer.
    pub fn reported(&mut self, i: usize, report: &[f64]) {
        let value = |at: Option<usize>| at.and_then(|at| report.get(at)).copied().filter(|v| v.is_finite());
        let (free, waiting) = (value(self.sheet.report_free), value(self.sheet.report_waiting));
        let Some(free) = free else { return };
        let kind = &mut self.known.kinds[self.workers[i].site.kind];
        kind.slots = kind.slots.max(free.round());
        let (slots, sparing) = (self.slots(i), self.talk == Talk::ToOne);
        // Guards against a standstill: room that nobody knows of is found by answers of what still runs.
        if let Some((_, room)) = self.rooms.freed.iter_mut().find(|f| f.0 == i).filter(|_| sparing) {
            *room += ((free - *room) * REPORTED).floor().max(0.0);
        }
        let held = (slots - free).max(0.0) + waiting.unwrap_or(0.0) * 1.3;
        self.see(i, (held - self.workers[i].n).max(0.0), REPORT_STEP);
    }

    /// Another scheduler leaves this many free slots of a worker to this one.
    pub fn told(&mut self, i: usize, room: f64) {
        if i < self.workers.len() && self.talk == Talk::ToOne && room > 0.0 {
            self.keep_room(i, room.min(self.slots(i)));
        }
    }

    /// Another scheduler has tasks that wait and asks for room.
    pub fn sought(&mut self, from: usize) {
        if self.talk == Talk::ToOne && from < self.sheet.talkers && self.rooms.askers.len() < ASKERS {
            self.rooms.askers.push(from);
        }
    }

    /// Another scheduler has this many slots out at a worker.
    pub fn holds(&mut self, i: usize, peer: usize, number: u16, slots: f64) {
        let known = i < self.workers.len() && peer != self.sheet.position && peer < self.sheet.talkers;
        if known && self.talk == Talk::ToAll {
            self.peers.heard(peer, self.now);
            self.workers[i].told.set(peer, number, slots);
        }
    }

    fn keep_room(&mut self, i: usize, room: f64) {
        let (had, most) = (self.room(i), self.slots(i));
        (self.workers[i].room, self.workers[i].left) = ((had + room).min(most), self.now);
        self.rooms.at.retain(|&x| x != i);
        self.rooms.at.push_back(i);
    }

    fn room(&self, i: usize) -> f64 {
        self.workers[i].room_left(self.now, self.span)
    }

    fn waits(&self) -> bool {
        self.lines.iter().any(|line| !line.is_empty())
    }

    /// Own tasks made room: it is kept for the next arrivals, else left to another scheduler by chance. What
    /// was kept goes to those who ask for it, unless tasks wait here.
    fn leave(&mut self) -> Option<Decision> {
        if self.rooms.freed.is_empty() && self.rooms.askers.is_empty() {
            return None;
        }
        let waits = self.waits();
        self.rooms.at.retain(|&i| self.workers[i].room_left(self.now, self.span) > 0.0);
        while let Some((worker, room)) = self.rooms.freed.pop() {
            let kept = self.rooms.at.len() as f64;
            if self.talk == Talk::ToAll || (waits || kept < KEPT) && self.out + kept < self.fair {
                self.keep_room(worker, room);
            } else {
                return Some(Decision::Leave { to: self.another(), worker, room });
            }
        }
        let to = self.rooms.askers.pop().filter(|_| !waits)?;
        let worker = self.rooms.at.pop_front()?;
        let room = std::mem::take(&mut self.workers[worker].room);
        Some(Decision::Leave { to, worker, room })
    }

    fn another(&mut self) -> usize {
        let to = self.chance.0.rand_range(0..self.sheet.talkers as u64 - 1) as usize;
        to + usize::from(to >= self.sheet.position)
    }

    /// Asks a few others for room while tasks wait here.
    fn seek(&mut self) {
        if self.waits() && self.talk == Talk::ToOne && self.now >= self.rooms.asked + SEEK_EVERY {
            self.rooms.asked = self.now;
            for _ in 0..SOUGHT {
                let to = self.another();
                self.say.push_back(Decision::Seek { to });
            }
        }
    }

    /// Own arrivals a second, in slots.
    fn lambda(&self) -> f64 {
        self.arrivals.since(self.start, self.now, RATE_SPAN).max(RATE_FLOOR)
    }

    /// Speed of one core, pooled by kind; a worker's own counts when it is clearly apart. While it warms it
    /// is taken half way, by ratio, from what it surely has to the full.
    fn speed(&self, i: usize) -> f64 {
        let speed = self.known.kinds[self.workers[i].site.kind].speed + self.workers[i].own_speed(self.now);
        speed.exp() * self.warmth(i).sqrt()
    }

    /// Slots of a worker: the most seen at once on its kind; before that its size, which may count speed too.
    fn slots(&self, i: usize) -> f64 {
        self.known.slots(&self.workers[i], self.sheet.moving_weights)
    }

    fn warmth(&self, i: usize) -> f64 {
        self.workers[i].warmth(self.now, self.sheet.cold_share, self.sheet.warm_within)
    }

    /// Slots that others have on a worker: as last seen, fading into their share of its like.
    fn hidden(&self, i: usize, most: f64) -> f64 {
        let w = &self.workers[i];
        if self.untold <= 0.0 {
            return w.told.sum;
        }
        let fade = (-secs(self.now.saturating_sub(w.seen)) / HIDDEN_SPAN).exp();
        let others = self.known.others[w.site.zone][w.site.kind].min(most);
        let inferred = w.hidden * fade + others * self.slots(i) * (1.0 - fade);
        w.told.sum + self.untold * inferred
    }

    fn see(&mut self, i: usize, hidden: f64, weight: f64) {
        let (old, slots) = (self.hidden(i, 1.0), self.slots(i));
        let w = &mut self.workers[i];
        (w.hidden, w.seen) = (old + weight * (hidden - old), self.now);
        self.known.sight(w.site, (w.hidden / slots).min(1.0));
    }

    /// Slots in use or waited for on a worker, others' included.
    fn occupied(&self, i: usize, most: f64) -> f64 {
        let w = &self.workers[i];
        let late = |&(t, k): &(usize, usize)| secs(self.now - self.tasks[t].assignments[k].sent) > AT_ONCE;
        // Served in order: while an own task waits, all slots are taken.
        let least = if w.waiting.front().is_some_and(late) { self.slots(i) + w.n - w.running } else { 0.0 };
        let room = if self.talk == Talk::ToAll { 0.0 } else { self.room(i) };
        let hidden = if room > 0.0 { (self.slots(i) - w.n - room).max(0.0) } else { self.hidden(i, most) };
        least.max(w.n + hidden)
    }

    /// A task's short and its long run, and the time left for each: the promised time grows with the run, so
    /// a short one is bound by its wait, a long one by a slow worker.
    fn ends(&self, task: usize) -> [(f64, f64); 2] {
        let (t, now) = (&self.tasks[task], secs(self.now));
        let (row, r) = (&self.sheet.workloads[t.workload], &self.known.runs[t.workload]);
        let spread = if r.seen > 0.0 { r.spread } else { 0.0 }; // guards against a guess that sheds all
        [r.log - spread, r.log + spread].map(|log| {
            let promised = secs(t.born + row.promised) + row.stretch * log.exp();
            (promised.min(secs(t.limit) - LAST_CALL) - now, log.exp())
        })
    }

    /// Time that may still pass before a task starts on the fastest kind and is in time.
    fn spare(&self, task: usize) -> f64 {
        spare(self.ends(task), self.fastest)
    }

    /// Guards against pushing over a cold worker: the own share of its budget needs this long for a work.
    fn pause(&self, i: usize, work: f64) -> Duration {
        let (s, full) = (&self.sheet, self.slots(i) * self.speed(i));
        // Half is split equally, so that who sends little may send at all, half by the own traffic. Speed has
        // one half of the warmth in it, by ratio.
        let part = 0.5 / s.schedulers as f64 + 0.5 * self.known.mine;
        let budget = COLD_ROOM * s.overload_factor * self.warmth(i).sqrt() * full * part;
        Duration::from_secs_f64((work / budget).min(secs(s.warm_within)))
    }

    /// Guards against doubled effects: where a task may still be sent.
    fn allowed(&self, task: usize, i: usize) -> bool {
        let (t, site) = (&self.tasks[task], self.workers[i].site);
        let row = &self.sheet.workloads[t.workload];
        row.kind.is_none_or(|k| k == site.kind)
            && t.maybe_ran().all(|a| match row.effect {
                Effect::Idempotent => true,
                Effect::Unrepeatable => false,
                Effect::Deduplicated(group) => {
                    let still = self.now + MEMORY_MARGIN < a.sent + row.memory;
                    still && group.joins(self.workers[a.worker].site, site)
                }
            })
    }

    fn eligible(&self, task: usize, i: usize) -> bool {
        let (t, w) = (&self.tasks[task], &self.workers[i]);
        let row = &self.sheet.workloads[t.workload];
        let out = self.doubtful(i) && (row.effect != Effect::Idempotent || t.assignments.len() > 1);
        let rests = (self.yielded || w.rest > self.now) && self.warmth(i) < 1.0 || w.left_out > self.now;
        let tried = t.assignments.iter().any(|a| a.worker == i);
        w.ready() && !w.silent && !rests && !out && !tried && self.allowed(task, i)
    }

    /// Barred, or just back and with a task in it: only where no other has room, for what loses little there.
    fn doubtful(&self, i: usize) -> bool {
        let w = &self.workers[i];
        w.is_barred(self.now) || w.spells > 0 && w.errors > 0.2 && w.n > 0.0
    }

    /// The workers that a task is scored on. Guards against schedulers that have seen almost none of a large
    /// list and would crowd the same few best: each scores those with room left to it and as many as it sends
    /// in a second, drawn by chance in its zone and elsewhere; a list hardly longer is scored whole.
    fn draw(&mut self, task: usize, among: Among) {
        self.drawn.clear();
        if let Among::Homes(group) = among {
            return self.draw_homes(self.tasks[task].set, group);
        }
        let (reach, listed) = (1 + self.lambda() as usize, self.roster.listed);
        if among == Among::All || 2 * reach >= listed {
            return self.drawn.extend(0..self.workers.len());
        }
        // What may have run is bound to its zone, if to any.
        let earlier = self.tasks[task].maybe_ran().next();
        let home = earlier.map_or(self.sheet.zone, |a| self.workers[a.worker].site.zone);

        self.drawn.extend(&self.rooms.at);
        for k in 0..2 * reach {
            self.drawn.extend(self.roster.pick(home, k < reach, self.chance.0.rand_u64()));
        }
        self.drawn.sort_unstable();
        self.drawn.dedup(); // each once, in a fixed order
    }

    /// The worker of the lowest index among those open to the task, ties by chance; and whether there is room
    /// for it (3), may be room (2), or it would wait but be in time (1), or be late (0).
    fn lowest(&mut self, task: usize, among: Among) -> Option<(usize, u8)> {
        self.draw(task, among);
        let (lambda, ends, t) = (self.lambda(), self.ends(task), &self.tasks[task]);
        let (sparing, tells_all) = (self.talk == Talk::ToOne, self.talk == Talk::ToAll);
        let (mut sum, mut count, mut best_tier) = (0.0, 0.0, 0);
        let price = CROSSING * self.sheet.price_crossing;
        let mut scores = std::mem::take(&mut self.scores);
        scores.clear();
        for &i in self.drawn.iter().filter(|&&i| self.eligible(task, i)) {
            let (slots, speed, sure) = (self.slots(i), self.speed(i), !self.doubtful(i));
            let occupied = self.occupied(i, 1.0);
            // Guards against late answers: first where it is in time, then where it has room; then the index.
            // Half a slot is rounding, less for several slots, which must not miss any.
            let needs = t.size.min(slots) - slots - if sparing { 0.0 } else { 0.5 / t.size };
            let guess = !sparing && self.untold > 0.0;
            let over = needs + if guess { self.occupied(i, MAY_BE) } else { occupied };
            let beyond = occupied + needs;
            let queue = if over > 0.0 { over * self.known.hold / (slots * speed) } else { 0.0 };
            let in_time = queue < spare(ends, speed);
            // Where schedulers talk others go for the last slots too: only what is left to this one is sure.
            let care = self.workers[i].mark.checked_rem(self.sheet.talkers as u64)
                == Some(self.sheet.position as u64);
            let plenty = beyond <= -CLAIMED.min(slots - t.size);
            let left = tells_all && (care || plenty) || self.room(i) >= t.size.min(slots);
            let sure = sure && beyond <= 0.0 && (self.talk == Talk::Silent || left);
            let tier = u8::from(in_time) * (1 + u8::from(over <= 0.0) + u8::from(sure));
            best_tier = best_tier.max(tier);
            scores.push((i, tier, occupied, slots * speed));
        }
        if !matches!(among, Among::Homes(_)) && best_tier < 3 {
            let misses = self.full.filter(|f| f.0 == self.now).map_or(0, |f| f.1);
            self.full = Some((self.now, misses + 1));
        }
        scores.retain(|s| s.1 == best_tier);
        for score in &mut scores {
            let (i, occupied, able) = (score.0, score.2, score.3);
            let (w, mu) = (&self.workers[i], able / self.known.hold);
            let delta = (1.0 / self.known.setup.max(1e-3)).max(1.05 * mu);
            let idle = w.n == 0.0 && secs(self.now.saturating_sub(w.used)) > IDLE_WINDOW;
            let energy = if idle { Energy::Off } else { w.energy };
            let crossing = if w.site.zone == self.sheet.zone { 0.0 } else { price };
            score.2 = whittle(occupied, energy, lambda, mu, delta) * (1.0 + crossing);
            if !w.fresh {
                (sum, count) = (sum + score.2, count + 1.0);
            }
        }
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0u64);
        for &(i, tier, mut index, _) in &scores {
            let w = &self.workers[i];
            if w.fresh && count > 0.0 {
                // New or returning, it stands at the others' mean until its first completion; with nothing of
                // ours it is tried on its own index if that is less, since the mean is never the lowest.
                index = if w.n > 0.0 { index.max(sum / count) } else { index.min(sum / count) };
            }
            if index <= lowest * (1.0 + 1e-9) {
                ties = if index < lowest * (1.0 - 1e-9) { 1 } else { ties + 1 };
                if self.chance.0.rand_range(0..ties) == 0 {
                    (best, lowest) = (Some((i, tier)), index);
                }
            }
        }
        self.scores = scores;
        best
    }

    pub fn decide(&mut self) -> Option<Decision> {
        loop {
            if self.due <= self.now {
                self.sweep();
            }
            if let Some(said) = self.say.pop_front().or_else(|| self.leave()) {
                return Some(said);
            }
            if let Some(task) = self.loose.pop() {
                let Some(answer) = self.settle(task) else { continue };
                return Some(answer);
            }
            let Some(line) = (0..2).find(|&l| self.passed[l] < self.lines[l].len()) else { break };
            let task = self.lines[line][self.passed[line]];
            let waits = |t: &Task| t.stage == [Stage::First, Stage::Further][line];
            let decision = if waits(&self.tasks[task]) { self.place(task) } else { None };
            if waits(&self.tasks[task]) {
                self.passed[line] += 1;
                self.due = self.due.min(self.now + SWEEP);
            } else {
                self.lines[line].remove(self.passed[line]);
                self.forget(task);
            }
            if decision.is_some() {
                return decision;
            }
        }
        // Only what is due asks for a bell: a scheduler without tasks in hand sleeps.
        if self.due == Duration::MAX || self.rings.is_some_and(|at| at <= self.due) {
            return None;
        }
        self.rings = Some(self.due);
        Some(Decision::Wake { after: self.due - self.now })
    }

    /// Stops waiting for whatever is still out of a task.
    fn call_off(&mut self, task: usize) {
        let (may, out) = (self.sheet.may_cancel, self.tasks[task].assignments.iter_mut().enumerate());
        for (assignment, a) in out.filter(|(_, a)| may && a.live()) {
            a.called_off = true;
            self.say.push_back(Decision::CallOff { task, assignment });
        }
    }

    /// Frees the place of a task that is over and has nothing out.
    fn forget(&mut self, task: usize) {
        let in_line = self.lines.iter().any(|line| line.contains(&task));
        if self.tasks[task].stage == Stage::Over && self.tasks[task].out() == 0 && !in_line {
            self.tasks.close(task);
        }
    }

    /// The task is done for this scheduler: a shed reply only where trying again is harmless.
    fn give_up(&mut self, task: usize) -> Decision {
        let t = &mut self.tasks[task];
        let effect = self.sheet.workloads[t.workload].effect;
        let free = matches!(effect, Effect::Idempotent | Effect::Deduplicated(Group::All));
        let harmless = free || t.maybe_ran().next().is_none();
        t.stage = Stage::Over;
        self.call_off(task);
        self.forget(task);
        let come_back = self.sheet.come_back.map(|most| most.min(Duration::from_secs(1)));
        match harmless {
            true => Decision::Shed { task, come_back },
            false => Decision::BreakOff { task },
        }
    }

    /// After an ending that was not the end: a further assignment, or the final answer at once.
    fn settle(&mut self, task: usize) -> Option<Decision> {
        if self.tasks[task].stage == Stage::Over {
            self.call_off(task);
            self.forget(task);
        }
        if self.tasks[task].stage != Stage::Out || self.tasks[task].out() > 0 {
            return None;
        }
        let more = self.tasks[task].may_go_on(&self.sheet.workloads) && self.spare(task) > 0.0;
        if !more || !(0..self.workers.len()).any(|i| self.allowed(task, i)) {
            return Some(self.give_up(task));
        }
        self.tasks[task].stage = Stage::Further;
        self.lines[1].push_back(task);
        None
    }

    /// A waiting task: to the lowest index; given up as soon as it cannot be in time.
    fn place(&mut self, task: usize) -> Option<Decision> {
        let (spare, waited) = (self.spare(task), secs(self.now - self.tasks[task].born));
        let late = spare <= 0.0;
        let patient = |part: f64| waited < part * (waited + spare);
        // Guards against scoring the whole list again for all that waits while there is no room.
        let full = self.full.is_some_and(|(at, misses)| at == self.now && misses >= MISSES);
        if full && self.talk != Talk::Silent && self.tasks[task].assignments.is_empty() {
            return late.then(|| self.give_up(task));
        }
        let (mut lowest, keyed) = (None, self.tasks[task].set != 0);
        for group in (0..2).filter(|_| keyed) {
            lowest = lowest.or_else(|| self.lowest(task, Among::Homes(group)).filter(|l| l.1 > 2));
        }
        if lowest.is_none() && keyed && patient(HOMESICK) {
            return None;
        }
        let lowest = lowest.or_else(|| self.lowest(task, Among::Drawn));
        let lowest = lowest.or_else(|| self.lowest(task, Among::All));
        // Guards against giving way for ever to schedulers that tell nothing and queue at workers. Where all
        // talk none queues there, and what may be room is taken after some patience if a word goes to one.
        let alone = self.talk == Talk::Silent || self.sheet.talkers < self.sheet.schedulers;
        let guess = alone || self.talk == Talk::ToOne && !patient(PATIENCE);
        match lowest {
            Some((i, tier)) if tier == 3 || tier == 2 && guess => Some(self.assign(task, i)),
            Some((i, 1)) if alone && self.may_queue(task) => Some(self.assign(task, i)),
            _ => (late || self.shut()).then(|| self.give_up(task)),
        }
    }

    /// Whoever is listed is out by hand. Guards against tasks that wait for nobody.
    fn shut(&self) -> bool {
        self.roster.listed > 0 && self.workers.iter().all(|w| w.banned || !w.on_list)
    }

    /// Draws a group of the workers where a data set is at home: the same at every scheduler, without
    /// a word, by highest random weight, the larger and faster ones more often; as many as the set's share of
    /// arrivals needs. Guards against each set being fetched everywhere.
    fn draw_homes(&mut self, set: u64, group: usize) {
        let mut sets = std::mem::take(&mut self.sets);
        let ready = (0..self.workers.len()).filter(|&i| self.workers[i].ready());
        let able = |i: usize| self.slots(i) * self.known.kinds[self.workers[i].site.kind].speed.exp();
        if let Some(home) = sets.home(set, || ready.map(|i| (i, self.workers[i].mark, able(i)))) {
            let share = home.asked.a_second(self.now, RATE_SPAN) / self.lambda();
            let many = (share * self.roster.listed as f64).ceil().max(1.0) as usize;
            self.drawn.extend(home.workers.iter().skip(group * many).take(many).filter(|&&i| i < usize::MAX));
        }
        self.sets = sets;
    }

    /// Tells the others what is out, so that their n counts it: what changed, and one worker more in turn.
    fn tell(&mut self) {
        if self.talk != Talk::ToAll || self.workers.is_empty() {
            self.changed.clear();
        } else if self.now >= self.peers.told + TELL_EVERY && !self.changed.is_empty() {
            let turn = self.peers.next_turn(self.now, self.workers.len());
            self.changed.push(turn);
            self.changed.sort_unstable();
            self.changed.dedup();
            for worker in self.changed.drain(..) {
                self.say.push_back(Decision::Tell { worker, slots: self.workers[worker].n });
            }
        }
    }

    /// Utility per work of a task, by what its workload usually takes.
    fn density(&self, task: usize) -> f64 {
        self.tasks[task].utility / self.known.runs[self.tasks[task].workload].mean
    }

    fn may_queue(&self, task: usize) -> bool {
        let rows = self.sheet.workloads.iter().zip(&self.known.runs);
        self.density(task) >= QUEUE_SHARE * rows.map(|(row, r)| row.utility / r.mean).fold(0.0, f64::max)
    }

    fn assign(&mut self, task: usize, i: usize) -> Decision {
        let now = self.now;
        let work = self.known.runs[self.tasks[task].workload].mean * self.tasks[task].size;
        let pause = self.pause(i, work);
        let (t, w) = (&mut self.tasks[task], &mut self.workers[i]);
        let off = w.n == 0.0 && secs(now.saturating_sub(w.used)) > IDLE_WINDOW;
        w.energy = if off { Energy::Setup } else { w.energy };
        let number = t.assignments.len();
        t.assignments.push(Assignment::new(i, now, w.n, off));
        w.takes((task, number), t.size, now, now + pause);
        self.out += t.size;
        self.changed.push(i);
        t.stage = Stage::Out;
        self.due = self.due.min(now + Duration::from_secs_f64(AT_ONCE));
        Decision::Assign { task, worker: i }
    }

    /// Looks over all that is out: silence, doomed tasks, hard limits, the list, words.
    fn sweep(&mut self) {
        let now = self.now;
        self.due = Duration::MAX;
        if self.tallied.is_none_or(|at| secs(now - at) >= TALLY) {
            self.tally();
        }
        self.passed = [0, 0]; // what waits here is looked at again, the highest utility per work first
        let mut lines = std::mem::take(&mut self.lines);
        let best_first = |x: &usize, y: &usize| self.density(*y).total_cmp(&self.density(*x));
        lines.iter_mut().for_each(|line| line.make_contiguous().sort_by(best_first));
        self.lines = lines;
        for task in 0..self.tasks.len() {
            for k in 0..self.tasks[task].assignments.len() {
                self.look_for_silence(self.tasks[task].assignments[k]);
            }
            let t = &self.tasks[task];
            if t.stage != Stage::Out {
                continue;
            }
            let limit = secs(t.limit) - secs(now) - LAST_CALL;
            let runs = t.assignments.iter().any(|a| a.live() && a.started.is_some());
            let repeatable = self.sheet.workloads[t.workload].effect != Effect::Unrepeatable;
            let silent =
                |a: &Assignment| a.ending.is_none() && (self.overdue(a) || self.workers[a.worker].silent);
            let silent = repeatable && t.assignments.iter().any(silent);
            let stuck = self.stuck(task);
            let has_room = |i| {
                let sure = self.talk != Talk::ToOne || self.room(i) >= t.size;
                sure && self.eligible(task, i) && self.occupied(i, MAY_BE) + t.size <= self.slots(i) + 0.1
            };
            let grace = if self.talk == Talk::ToOne { self.known.runs[t.workload].log.exp() } else { 0.0 };
            let hope = if runs { limit } else { self.spare(task) + grace };
            let mut next = limit.min(hope);
            if next <= 0.0 {
                let answer = self.give_up(task);
                self.say.push_back(answer);
            } else if silent || stuck && (0..self.workers.len()).any(has_room) {
                self.call_off(task);
            }
            next = if runs || !repeatable { next } else { next.min(secs(SWEEP)) };
            self.due = self.due.min(now + Duration::from_secs_f64(next.max(0.0)).max(SWEEP));
        }
        self.bar();
        self.tell();
        self.seek();
        self.due =
            if self.changed.is_empty() { self.due } else { self.due.min(self.peers.told + TELL_EVERY) };
    }

    /// Guards against waiting behind hidden traffic: what has not started at once, and may be sent again.
    fn stuck(&self, task: usize) -> bool {
        let t = &self.tasks[task];
        let waits = |a: &Assignment| a.ending.is_none() && a.started.is_none();
        // Where all is told room was there: what waits met others on the way, or its worker stands still.
        let long = if self.talk == Talk::ToAll { self.known.hold } else { AT_ONCE };
        self.sheet.tells_start
            && t.assignments.last().is_some_and(|a| waits(a) && secs(self.now - a.sent) >= long)
            && t.may_go_on(&self.sheet.workloads)
            && self.sheet.workloads[t.workload].effect != Effect::Unrepeatable
    }

    /// Adds up the list, rarely: the ready workers, the own part of all traffic, the mean speed (kept at 1).
    fn tally(&mut self) {
        self.tallied = Some(self.now);
        let sums = self.known.add_up(&self.workers, self.sheet.moving_weights);
        self.fastest = self.known.kinds.iter().map(|k| k.speed.exp()).fold(1.0, f64::max);
        (self.ready, self.fair) = (sums.ready, sums.fleet / self.sheet.schedulers as f64);
        for peer in self.peers.lost(self.now) {
            self.workers.iter_mut().for_each(|w| w.told.silence(peer));
        }
        self.untold = 1.0 - self.peers.talking() as f64 / (self.sheet.schedulers.max(2) - 1) as f64;
    }

    /// The notes on an assignment are overdue: it stands still, and its worker too if that tells no more.
    fn overdue(&self, a: &Assignment) -> bool {
        let late = |gap| secs(self.now - a.heard) > secs(gap) + NOTE_GRACE;
        a.live() && a.started.is_some() && self.sheet.progress_every.is_some_and(late)
    }

    /// A worker that tells nothing at all while notes are overdue stands still: as good as erring.
    fn look_for_silence(&mut self, a: Assignment) {
        let Some(gap) = self.sheet.progress_every.map(secs) else { return };
        let since = if self.overdue(&a) { self.workers[a.worker].heard } else { a.heard };
        let quiet = secs(self.now - since);
        if !a.live() || a.started.is_none() || self.workers[a.worker].silent {
        } else if quiet <= gap + NOTE_GRACE {
            self.due = self.due.min(since + Duration::from_secs_f64(gap + NOTE_GRACE) + SWEEP);
        } else {
            (self.workers[a.worker].silent, self.workers[a.worker].errors) = (true, 1.0);
            self.suspect(a.worker);
            let line = format!("worker {} silent for {quiet:.2} s, task started", a.worker);
            self.say.push_back(Decision::Log(line));
        }
    }

    /// Its errors are judged at the next sweep, which is due now.
    fn suspect(&mut self, i: usize) {
        self.due = self.now;
        self.suspects.retain(|&x| x != i);
        self.suspects.push(i);
    }

    /// Bars workers that err far too often, a limited share at a time, for longer each time.
    fn bar(&mut self) {
        let now = self.now;
        let mut suspects = std::mem::take(&mut self.suspects);
        // If many fail together it is not theirs alone: a worker is judged against its fellows.
        let sum: f64 = suspects.iter().map(|&i| self.workers[i].errors).sum();
        let bar = ERRORS_BAR.max((2.5 * sum / self.ready.max(1) as f64).min(0.95));
        let most = ((BARRED_SHARE * self.ready as f64) as usize).max(1);
        let mut barred = suspects.iter().filter(|&&i| self.workers[i].is_barred(now)).count();
        suspects.retain(|&i| {
            let w = &mut self.workers[i];
            let errors = w.errors;
            if !w.is_barred(now) && errors > bar && barred < most {
                barred += 1;
                let pause = w.set_aside(now);
                let line = format!("worker {i} barred for {:.1} s: share of errors {errors:.2}", secs(pause));
                self.say.push_back(Decision::Log(line));
            } else if !w.is_barred(now) && errors < 0.05 && w.spells > 0 {
                (w.spells, w.barred) = (0, None);
                self.say.push_back(Decision::Log(format!("worker {i} back: share of errors {errors:.2}")));
            }
            w.spells > 0 || w.errors > 0.01
        });
        self.suspects = suspects;
    }
}
