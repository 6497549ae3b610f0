//! All decisions of tindock. The host calls `clock` with the time, then the inputs (`listed`, `arrived`,
//! `started`, `progressed`, `ended`, `left`, `reported`, `told`, `bell`), which only update what is known,
//! and then pulls `decide` until it gives `None`. The words of this interface are in `terms.rs`; the reasons
//! are in `docs/design.md`. Times are in seconds unless they say otherwise.

pub use crate::index::*;
pub(crate) use crate::state::*;
pub(crate) use crate::types::*;
use oorandom::Rand64;
pub(crate) use std::{collections::VecDeque, time::Duration};

pub(crate) const RATE_SPAN: f64 = 10.0; // smooths the own rate: long against bursts, short against a day
pub(crate) const SWEEP: Duration = Duration::from_millis(15); // a small part of any promised time
pub(crate) const LAST_CALL: f64 = 0.1; // final answers come this long before the hard limit: some sweeps
pub(crate) const AT_ONCE: f64 = 0.04; // a shorter wait is a connection and a way; a longer one a queue
pub(crate) const MAY_BE: f64 = 0.5; // where nothing was seen lately there may be room, or none is seen again
const SHARE_SPAN: f64 = 2.0; // a customer may save up its share for this long: arrivals come in clumps
const ROOM_SPAN: Duration = Duration::from_secs(3); // room left to this scheduler counts so long: a few tasks
const TELL_ALL: f64 = 0.006; // what telling all may cost a task, as a share of the whole utility
const WORD: f64 = 3.0 / 256.0; // a worker and its slots among a message's bytes, told twice for each task
pub(crate) const TELL_EVERY: Duration = Duration::from_millis(20); // as long as a message travels, about
const PATIENCE: f64 = 0.15; // part of the time to spare that is spent waiting for room that is sure
const HOMESICK: f64 = 0.65; // the same for room where the data set is at home: fetching takes half a run
const MISSES: usize = 4; // tasks that find no room before the others of that moment are not tried

/// One scheduler's decisions.
#[derive(Default)]
pub struct Policy {
    pub(crate) sheet: PolicySettings,
    pub(crate) talk: Talk,
    pub(crate) chance: Chance,
    pub(crate) now: Duration,
    pub(crate) start: Duration,
    pub(crate) workers: Vec<Worker>,
    pub(crate) tasks: Slab,
    pub(crate) lines: [VecDeque<usize>; 2], // first and further assignments wait apart
    pub(crate) passed: [usize; 2],          // looked at in this pull and left waiting
    pub(crate) loose: Vec<usize>,
    pub(crate) say: VecDeque<Decision>,
    pub(crate) known: Model,
    pub(crate) arrivals: Rate, // of slots
    pub(crate) scores: Vec<(usize, u8, f64, f64)>,
    pub(crate) full: Option<(Duration, usize)>, // how many tasks found no room, last time
    pub(crate) roster: Roster,
    pub(crate) drawn: Vec<usize>, // the workers a task is scored on
    pub(crate) due: Duration,
    pub(crate) rings: Option<Duration>, // the earliest bell asked for
    pub(crate) tallied: Option<Duration>,
    pub(crate) ready: usize,
    pub(crate) suspects: Vec<usize>,
    pub(crate) rooms: Rooms,
    pub(crate) span: Duration, // how long room counts: what others are told of they take soon
    pub(crate) out: f64,       // own slots
    pub(crate) fair: f64,      // an equal share of the fleet's slots
    pub(crate) fastest: f64,   // the speed of the fastest kind
    pub(crate) peers: Peers,
    pub(crate) untold: f64, // the part of the other schedulers that tells nothing
    pub(crate) changed: Vec<usize>, // workers where the own part has changed since the others were told
    pub(crate) sets: Sets,
    pub(crate) shares: Vec<Bucket>,
    pub(crate) yielded: bool,
}

impl Policy {
    pub fn new(sheet: PolicySettings, seed: u64, now: Duration) -> Self {
        let known = Model::first(&sheet.workloads, sheet.schedulers);
        let times = Policy { fastest: 1.0, now, start: now, due: now, untold: 1.0, ..Policy::default() };
        let chance = Chance(Rand64::new(u128::from(seed)));
        let price = 2.0 * WORD * sheet.message_cost * sheet.exchange_size as f64;
        let talk = if price <= TELL_ALL { Talk::ToAll } else { Talk::ToOne };
        let talk = if sheet.exchange_size > 1 { talk } else { Talk::Silent };
        let span = if talk == Talk::ToAll { TELL_EVERY } else { ROOM_SPAN };
        Policy { talk, span, chance, known, sheet, ..times }
    }

    /// Another sheet, each row with the one before whose figures it goes on with. Tasks in hand keep their row.
    pub fn reconfigure(&mut self, sheet: PolicySettings, before: &[Option<usize>]) {
        self.known.reconfigure(&sheet.workloads, before);
        (self.sheet, self.due) = (sheet, self.now);
    }

    pub fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn timer_fired(&mut self) {
        self.rings = self.rings.filter(|&at| at > self.now);
    }

    /// Another process takes the tasks from now on. Guards against a cold worker pushed over by both together.
    pub fn yielded(&mut self, yielded: bool) {
        self.yielded = yielded;
    }

    /// The data set that a task needs.
    pub fn set_data_set(&mut self, task: usize, set: u64) {
        self.tasks[task].set = set;
        self.sets.ask(set, self.now, RATE_SPAN);
    }

    pub fn arrived(&mut self, workload: usize, size: f64, left: Duration, customer: usize) -> usize {
        let size = size.floor().max(1.0); // what rounding left of fractions passed for a task for ever
        self.arrivals.add(size, self.now, RATE_SPAN);
        // Guards against one customer's rush: beyond the own part of its share a task has less utility.
        let mut utility = self.sheet.workloads[workload].utility;
        if let Some(quota) = self.sheet.quotas.get(customer).map(|q| q * self.known.local_share) {
            self.shares.resize(self.sheet.quotas.len(), Bucket { at: self.now, left: 1.0 });
            let within = self.shares[customer].take(self.now, quota, 1.0 + quota * SHARE_SPAN);
            utility *= if within { 1.0 } else { self.sheet.beyond_share };
        }
        // A client's repeat counts from its first try, which the time left tells.
        let born = self.now.saturating_sub(self.sheet.workloads[workload].hard_limit.saturating_sub(left));
        let place = self.tasks.open(self.sheet.workloads[workload].max_assignments);
        let t = &mut self.tasks[place];
        (t.stage, t.workload, t.size, t.utility) = (Stage::First, workload, size, utility);
        (t.born, t.limit) = (born, self.now + left);
        self.lines[0].push_back(place);
        place
    }

    pub fn client_left(&mut self, task: usize) {
        if self.tasks[task].stage != Stage::Unused {
            self.tasks[task].stage = Stage::Over;
            self.loose.push(task);
        }
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
    pub(crate) fn call_off(&mut self, task: usize) {
        let (may, out) = (self.sheet.may_cancel, self.tasks[task].assignments.iter_mut().enumerate());
        for (assignment, a) in out.filter(|(_, a)| may && a.live()) {
            a.called_off = true;
            self.say.push_back(Decision::Cancel { task, assignment });
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
    pub(crate) fn give_up(&mut self, task: usize) -> Decision {
        let t = &mut self.tasks[task];
        let effect = self.sheet.workloads[t.workload].effect;
        let free = matches!(effect, Effect::Idempotent | Effect::Deduplicated(Group::All));
        let harmless = free || t.maybe_ran().next().is_none();
        t.stage = Stage::Over;
        self.call_off(task);
        self.forget(task);
        let retry_after = self.sheet.max_retry_after.map(|most| most.min(Duration::from_secs(1)));
        match harmless {
            true => Decision::Shed { task, retry_after },
            false => Decision::Abandon { task },
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
        // Guards against giving way for ever to those who tell nothing. What may be room needs patience.
        let alone = self.talk == Talk::Silent || self.sheet.exchange_size < self.sheet.schedulers;
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

    fn assign(&mut self, task: usize, i: usize) -> Decision {
        let now = self.now;
        let work = self.known.run_times[self.tasks[task].workload].mean * self.tasks[task].size;
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
}
