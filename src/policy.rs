//! The scheduling policy. The host sets the time and reports events (`listed`, `arrived`, ...), which only
//! update state, then calls `decide` until it returns `None`. Interface types are in `types.rs`, the
//! reasons in `docs/design.md`. Times are in seconds unless named otherwise.

pub use crate::index::*;
pub(crate) use crate::state::*;
pub(crate) use crate::types::*;
use oorandom::Rand64;
pub(crate) use std::{collections::VecDeque, time::Duration};

pub(crate) const RATE_WINDOW_S: f64 = 10.0; // smooths local arrivals: longer than bursts, shorter than a day
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(15); // a small part of any promised time
pub(crate) const ANSWER_MARGIN_S: f64 = 0.1; // final answers precede the hard limit by some sweeps
pub(crate) const PROMPT_S: f64 = 0.04; // shorter waits are connecting and latency, longer ones a queue
pub(crate) const GUESS_CAP: f64 = 0.5; // cap on assumed peer load, or workers are never tried again
const QUOTA_BURST_S: f64 = 2.0; // a tenant may save up its quota for this long: arrivals are bursty
const GRANT_TTL: Duration = Duration::from_secs(3); // a grant expires after a few task run times
const MAX_BROADCAST_COST: f64 = 0.006; // broadcasts may cost a task this share of the whole utility
const ANNOUNCEMENT_SHARE: f64 = 3.0 / 256.0; // one worker's part of a message, sent twice a task
pub(crate) const SEND_INTERVAL: Duration = Duration::from_millis(20); // about one network latency
const GRANT_WAIT_SHARE: f64 = 0.15; // part of the slack spent waiting for slots that are certain to be free
const HOME_WAIT_SHARE: f64 = 0.65; // the same for the home workers of a data set: fetching takes half a run
const MAX_MISSES: usize = 4; // tasks without capacity before the others of that moment are skipped

/// The state and decisions of one scheduler.
#[derive(Default)]
pub struct Policy {
    pub(crate) cfg: PolicySettings,
    pub(crate) mode: Mode,
    pub(crate) rng: Rng,
    pub(crate) now: Duration,
    pub(crate) start: Duration,
    pub(crate) workers: Vec<Worker>,
    pub(crate) tasks: Slab,
    pub(crate) queues: [VecDeque<usize>; 2], // first and further assignments
    pub(crate) skipped: [usize; 2],          // examined in this round and still queued
    pub(crate) unsettled: Vec<usize>,
    pub(crate) output: VecDeque<Decision>,
    pub(crate) model: Model,
    pub(crate) arrivals: Rate, // in slots
    pub(crate) scores: Vec<(usize, u8, f64, f64)>,
    pub(crate) misses: Option<(Duration, usize)>, // tasks that last found no capacity, and when
    pub(crate) zones: ZoneLists,
    pub(crate) candidates: Vec<usize>, // workers scored for the current task
    pub(crate) due: Duration,
    pub(crate) timer: Option<Duration>, // earliest wake-up requested
    pub(crate) totals_at: Option<Duration>,
    pub(crate) ready: usize,
    pub(crate) suspects: Vec<usize>,
    pub(crate) grants: Grants,
    pub(crate) grant_ttl: Duration, // short in broadcast mode: peers soon take slots that they know of
    pub(crate) in_use: f64,         // slots of local tasks
    pub(crate) fair: f64,           // an equal share of all slots
    pub(crate) max_speed: f64,      // speed of the fastest machine kind
    pub(crate) peers: Peers,
    pub(crate) silent: f64,         // share of peers that announce nothing
    pub(crate) changed: Vec<usize>, // workers whose local load changed since the last announcement
    pub(crate) data_sets: DataSets,
    pub(crate) buckets: Vec<Bucket>,
    pub(crate) yielded: bool,
}

impl Policy {
    pub fn new(cfg: PolicySettings, seed: u64, now: Duration) -> Self {
        let model = Model::initial(&cfg.workloads, cfg.schedulers);
        let base = Policy { max_speed: 1.0, now, start: now, due: now, silent: 1.0, ..Policy::default() };
        let rng = Rng(Rand64::new(u128::from(seed)));
        let cost = 2.0 * ANNOUNCEMENT_SHARE * cfg.message_cost * cfg.members as f64;
        let mode = if cost <= MAX_BROADCAST_COST { Mode::Broadcast } else { Mode::Direct };
        let mode = if cfg.members > 1 { mode } else { Mode::Off };
        let grant_ttl = if mode == Mode::Broadcast { SEND_INTERVAL } else { GRANT_TTL };
        Policy { mode, grant_ttl, rng, model, cfg, ..base }
    }

    /// Replaces the settings. Workloads keep the estimates of their previous row, current tasks keep theirs.
    pub fn reconfigure(&mut self, cfg: PolicySettings, previous: &[Option<usize>]) {
        self.model.reconfigure(&cfg.workloads, previous);
        (self.cfg, self.due) = (cfg, self.now);
    }

    pub fn set_time(&mut self, now: Duration) {
        self.now = now;
    }

    pub fn timer_fired(&mut self) {
        self.timer = self.timer.filter(|&at| at > self.now);
    }

    /// Another process takes the tasks from now on. Prevents both from overloading a cold worker together.
    pub fn yielded(&mut self, yielded: bool) {
        self.yielded = yielded;
    }

    pub fn set_data_set(&mut self, task: usize, data_set: u64) {
        self.tasks[task].data_set = data_set;
        self.data_sets.record_request(data_set, self.now, RATE_WINDOW_S);
    }

    /// A task has arrived and must be answered within `left`; returns its index.
    pub fn arrived(&mut self, workload: usize, size: f64, left: Duration, tenant: usize) -> usize {
        let size = size.floor().max(1.0); // rounding errors of fractions looked like a task that never ends
        self.arrivals.add(size, self.now, RATE_WINDOW_S);
        // Limits one tenant's burst: beyond the local part of its quota a task has less utility.
        let mut utility = self.cfg.workloads[workload].utility;
        if let Some(quota) = self.cfg.quotas.get(tenant).map(|q| q * self.model.local_share) {
            self.buckets.resize(self.cfg.quotas.len(), Bucket { at: self.now, tokens: 1.0 });
            let within = self.buckets[tenant].take(self.now, quota, 1.0 + quota * QUOTA_BURST_S);
            utility *= if within { 1.0 } else { self.cfg.beyond_share };
        }
        // A client's retry counts from its first attempt, which the time left implies.
        let created = self.now.saturating_sub(self.cfg.workloads[workload].hard_limit.saturating_sub(left));
        let task = self.tasks.alloc(self.cfg.workloads[workload].max_assignments);
        let t = &mut self.tasks[task];
        (t.stage, t.workload, t.size, t.utility) = (Stage::Queued, workload, size, utility);
        (t.created, t.deadline) = (created, self.now + left);
        self.queues[0].push_back(task);
        task
    }

    pub fn client_left(&mut self, task: usize) {
        if self.tasks[task].stage != Stage::Unused {
            self.tasks[task].stage = Stage::Done;
            self.unsettled.push(task);
        }
    }

    /// The next action for the host; none until the next input or timer.
    pub fn decide(&mut self) -> Option<Decision> {
        loop {
            if self.due <= self.now {
                self.sweep();
            }
            if let Some(decision) = self.output.pop_front().or_else(|| self.grant_slots()) {
                return Some(decision);
            }
            if let Some(task) = self.unsettled.pop() {
                let Some(answer) = self.settle(task) else { continue };
                return Some(answer);
            }
            let Some(queue) = (0..2).find(|&q| self.skipped[q] < self.queues[q].len()) else { break };
            let task = self.queues[queue][self.skipped[queue]];
            let waiting = |t: &Task| t.stage == [Stage::Queued, Stage::Requeued][queue];
            let decision = if waiting(&self.tasks[task]) { self.dispatch(task) } else { None };
            if waiting(&self.tasks[task]) {
                self.skipped[queue] += 1;
                self.due = self.due.min(self.now + SWEEP_INTERVAL);
            } else {
                self.queues[queue].remove(self.skipped[queue]);
                self.release(task);
            }
            if decision.is_some() {
                return decision;
            }
        }
        // The timer is set only if something is due: an idle scheduler is not woken.
        if self.due == Duration::MAX || self.timer.is_some_and(|at| at <= self.due) {
            return None;
        }
        self.timer = Some(self.due);
        Some(Decision::Wake { after: self.due - self.now })
    }

    /// Cancels the pending assignments of a task, where the platform can.
    pub(crate) fn cancel(&mut self, task: usize) {
        let (may, out) = (self.cfg.may_cancel, self.tasks[task].assignments.iter_mut().enumerate());
        for (assignment, a) in out.filter(|(_, a)| may && a.live()) {
            a.cancelled = true;
            self.output.push_back(Decision::Cancel { task, assignment });
        }
    }

    /// Frees the entry of a finished task without pending assignments.
    fn release(&mut self, task: usize) {
        let queued = self.queues.iter().any(|queue| queue.contains(&task));
        if self.tasks[task].stage == Stage::Done && self.tasks[task].outstanding() == 0 && !queued {
            self.tasks.free(task);
        }
    }

    /// Final answer: a shed reply only where a retry by the client is harmless.
    pub(crate) fn give_up(&mut self, task: usize) -> Decision {
        let t = &mut self.tasks[task];
        let effect = self.cfg.workloads[t.workload].effect;
        let repeatable = matches!(effect, Effect::Idempotent | Effect::Deduplicated(Group::All));
        let harmless = repeatable || t.may_have_run().next().is_none();
        t.stage = Stage::Done;
        self.cancel(task);
        self.release(task);
        let retry_after = self.cfg.max_retry_after.map(|most| most.min(Duration::from_secs(1)));
        match harmless {
            true => Decision::Shed { task, retry_after },
            false => Decision::Abandon { task },
        }
    }

    /// After an assignment that did not complete the task: queues it again, or answers at once.
    fn settle(&mut self, task: usize) -> Option<Decision> {
        if self.tasks[task].stage == Stage::Done {
            self.cancel(task);
            self.release(task);
        }
        if self.tasks[task].stage != Stage::Assigned || self.tasks[task].outstanding() > 0 {
            return None;
        }
        let may_retry = self.tasks[task].may_reassign(&self.cfg.workloads) && self.slack(task) > 0.0;
        if !may_retry || !(0..self.workers.len()).any(|i| self.allowed(task, i)) {
            return Some(self.give_up(task));
        }
        self.tasks[task].stage = Stage::Requeued;
        self.queues[1].push_back(task);
        None
    }

    /// Assigns a queued task to the worker of the lowest index; gives it up once it cannot be in time.
    fn dispatch(&mut self, task: usize) -> Option<Decision> {
        let (slack, waited) = (self.slack(task), secs(self.now - self.tasks[task].created));
        let late = slack <= 0.0;
        let may_wait = |part: f64| waited < part * (waited + slack);
        // Avoids scoring the whole list again for each queued task while there is no capacity.
        let no_capacity = self.misses.is_some_and(|(at, misses)| at == self.now && misses >= MAX_MISSES);
        if no_capacity && self.mode != Mode::Off && self.tasks[task].assignments.is_empty() {
            return late.then(|| self.give_up(task));
        }
        let (mut lowest, has_data_set) = (None, self.tasks[task].data_set != 0);
        for group in (0..2).filter(|_| has_data_set) {
            lowest = lowest.or_else(|| self.lowest(task, Pool::Homes(group)).filter(|l| l.1 > 2));
        }
        if lowest.is_none() && has_data_set && may_wait(HOME_WAIT_SHARE) {
            return None;
        }
        let lowest = lowest.or_else(|| self.lowest(task, Pool::Sampled));
        let lowest = lowest.or_else(|| self.lowest(task, Pool::All));
        // Avoids always yielding to peers that announce nothing. Uncertain slots are used only after a wait.
        let uncoordinated = self.mode == Mode::Off || self.cfg.members < self.cfg.schedulers;
        let accept_guess = uncoordinated || self.mode == Mode::Direct && !may_wait(GRANT_WAIT_SHARE);
        match lowest {
            Some((i, tier)) if tier == 3 || tier == 2 && accept_guess => Some(self.assign(task, i)),
            Some((i, 1)) if uncoordinated && self.may_queue(task) => Some(self.assign(task, i)),
            _ => (late || self.all_banned()).then(|| self.give_up(task)),
        }
    }

    /// Operators have excluded every listed worker: prevents tasks from waiting in vain.
    fn all_banned(&self) -> bool {
        self.zones.listed > 0 && self.workers.iter().all(|w| w.banned || !w.on_list)
    }

    fn assign(&mut self, task: usize, i: usize) -> Decision {
        let now = self.now;
        let work = self.model.runs[self.tasks[task].workload].mean * self.tasks[task].size;
        let pause = self.cold_pause(i, work);
        let (t, w) = (&mut self.tasks[task], &mut self.workers[i]);
        let off = w.n == 0.0 && secs(now.saturating_sub(w.last_used)) > IDLE_WINDOW_S;
        w.energy = if off { Energy::Setup } else { w.energy };
        let number = t.assignments.len();
        t.assignments.push(Assignment::new(i, now, w.n, off));
        w.assign((task, number), t.size, now, now + pause);
        self.in_use += t.size;
        self.changed.push(i);
        t.stage = Stage::Assigned;
        self.due = self.due.min(now + Duration::from_secs_f64(PROMPT_S));
        Decision::Assign { task, worker: i }
    }
}
