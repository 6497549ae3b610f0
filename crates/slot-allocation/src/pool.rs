//! The ledgers of an owner: the slots of its instances, which calls hold them, and which are queued.

use crate::defects::{injected, Defect};
use crate::function_id::{name_hash, FunctionId};
use crate::ledger::{InstanceLedger, SlotGrant};
use crate::messages::Ended;
use crate::selection::{index, BootTimes, IndexInputs, Score, RATE_FLOOR};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an instance grants nothing after it refused a call as full although its ledger showed a free
/// slot.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// How long an instance grants nothing after a requester reported it as leaving: the requester's list is
/// newer than the one here, and the newer one is on its way.
const LEAVING_PAUSE: Duration = Duration::from_millis(500);
/// The pause of an instance that did not respond; doubles up to eight times this.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Smoothing factor of run times: an average over about twenty runs.
const RUN_SMOOTHING: f64 = 0.05;
/// An instance's run times are compared with those of a priority only after this many runs of that priority.
const MIN_RUNS: u64 = 20;
/// The assumed time that a slot is held, in seconds, before any was measured.
const INITIAL_RUN_S: f64 = 0.1;
/// A queued call that would end after this share of its aim counts as a shortage: another instance is needed.
const SHORTAGE_SHARE: f64 = 0.6;
/// A call that is late anyway waits at most this share of the time it has left, so that its client can still
/// retry.
const LATE_WAIT_SHARE: f64 = 0.5;
/// Priorities up to this are urgent.
pub const URGENT: u8 = 1;
/// A call is redirected only if it gains more than this.
const MIN_GAIN: Duration = Duration::from_millis(10);
/// Window over which the origins of calls are averaged, and the most zones that are tracked.
const ORIGIN_WINDOW_S: f64 = 4.0;
const MAX_ORIGINS: usize = 64;
/// The most calls that may be queued for one function; more are rejected at once.
const MAX_QUEUE: usize = 512;

/// The parameters of a function.
#[derive(Debug, Clone, PartialEq)]
pub struct Function {
    pub id: FunctionId,
    pub name: String,
    pub slots: usize,
    pub boot: Duration,
}

/// An instance as listed by the autoscaler.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub instance: String,
    pub function_id: FunctionId,
    pub at: SocketAddr,
    pub zone: String,
    /// The instance has started: it is listed as ready, or a connection to it succeeded.
    pub ready: bool,
    /// The instance is neither draining nor about to be stopped.
    pub accepts_calls: bool,
    /// When its start began, by the clock of this process.
    pub since: Duration,
}

/// A call that requests a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    pub from: SocketAddr,
    pub incarnation: u32,
    pub seq: u32,
    pub priority: u8,
    pub arrived: Duration,
    pub aim: Duration,
    pub end: Duration,
    pub avoid: u32,
    /// The call can no longer end within its aim.
    pub late: bool,
    /// How often the request was redirected.
    pub hops: u8,
}

impl SlotRequest {
    /// The order of service: calls in time first, then by priority, then by the earliest aim.
    fn key(&self) -> (bool, u8, Duration) {
        (self.late, self.priority, self.aim)
    }
}

/// The load of a function as its owner reports it to the autoscaler.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    pub function_id: FunctionId,
    pub rate: f64,
    pub busy: f64,
    pub peak: usize,
    pub waiting: usize,
    pub run: Duration,
    pub idle: Duration,
    /// Zones (their hashes) from which calls came recently, with their shares.
    pub origins: Vec<(u32, f64)>,
}

/// Run times of one priority: the mean in seconds, and the share of recent runs that have this priority.
#[derive(Debug, Default)]
struct Run {
    mean: f64,
    share: f64,
    count: u64,
}

/// The slots of one function at one owner.
#[derive(Debug)]
pub struct SlotPool {
    pub function: Function,
    pub ledgers: Vec<InstanceLedger>,
    pub queue: Vec<SlotRequest>,
    runs: BTreeMap<u8, Run>, // by priority: a function may serve short calls and long ones
    rate: f64,
    busy: f64,
    smoothed: Duration,
    arrivals: usize,
    /// Calls by the zone of the requesting proxy, decaying over `ORIGIN_WINDOW_S`.
    origins: BTreeMap<u32, f64>,
    peak: usize,
    rejected: usize, // since the last report
    last_arrival: Duration,
    reported: Duration,
    report_interval: Duration,
    changed: bool,
    boots: BootTimes,
    score: Score,
}

/// Whether a call that would wait here for `wait` gains by a redirect that costs `far`, to a zone with free
/// slots: an urgent call if it starts earlier there, another only if it is late here.
pub fn gains_by_redirect(
    now: Duration,
    request: &SlotRequest,
    wait: Duration,
    run: f64,
    far: Duration,
) -> bool {
    let late = now + wait + Duration::from_secs_f64(run) > request.aim;
    wait > far + MIN_GAIN && (late || request.priority <= URGENT)
}

/// The result of a request.
pub enum Verdict {
    Granted(usize),
    Queued,
    RetryAfter(Duration),
}

impl SlotPool {
    pub fn new(function: Function, now: Duration) -> Self {
        SlotPool {
            function,
            ledgers: Vec::new(),
            queue: Vec::new(),
            runs: BTreeMap::new(),
            rate: 0.0,
            busy: 0.0,
            smoothed: now,
            arrivals: 0,
            origins: BTreeMap::new(),
            peak: 0,
            rejected: 0,
            last_arrival: now,
            reported: Duration::ZERO,
            report_interval: Duration::ZERO,
            changed: false,
            boots: BootTimes::default(),
            score: index,
        }
    }

    /// Replaces the scoring of instances, to compare it with the index.
    pub fn with_score(mut self, score: Score) -> Self {
        self.score = score;
        self
    }

    /// A start was observed from its beginning to the first successful connection.
    pub fn started(&mut self, took: Duration) {
        self.boots.observe(took, self.function.boot);
    }

    /// The mean time for which a slot is held, over all calls.
    pub fn run(&self) -> Duration {
        let (sum, weight) =
            self.runs.values().fold((0.0, 0.0), |(s, w), run| (s + run.mean * run.share, w + run.share));
        Duration::from_secs_f64(if weight > 0.0 { sum / weight } else { INITIAL_RUN_S })
    }

    /// The same for calls of one priority, in seconds.
    fn run_of(&self, priority: u8) -> f64 {
        self.runs.get(&priority).map_or_else(|| self.run().as_secs_f64(), |run| run.mean)
    }

    fn record_run(&mut self, priority: u8, held: f64) {
        for run in self.runs.values_mut() {
            run.share *= 1.0 - RUN_SMOOTHING;
        }
        if self.runs.len() >= 16 && !self.runs.contains_key(&priority) {
            return;
        }
        let run = self.runs.entry(priority).or_default();
        run.count += 1;
        run.share += RUN_SMOOTHING;
        run.mean += RUN_SMOOTHING.max(1.0 / run.count as f64) * (held.clamp(0.002, 60.0) - run.mean);
    }

    pub fn granted(&self) -> usize {
        self.ledgers.iter().map(|ledger| ledger.grants.len()).sum()
    }

    /// The number of calls that one instance may run at once.
    pub fn slots(&self) -> usize {
        self.function.slots.max(1)
    }

    /// The slots that are free now, over all instances that grant slots.
    pub fn free(&self, now: Duration) -> usize {
        let open = self.ledgers.iter().filter(|ledger| ledger.can_grant(now));
        open.map(|ledger| self.slots().saturating_sub(ledger.grants.len())).sum()
    }

    pub fn accepts_calls(&self) -> bool {
        self.ledgers.iter().any(|ledger| ledger.entry.accepts_calls)
    }

    /// Updates the averages: busy slots over half a second, arrivals over one second.
    fn smooth(&mut self, now: Duration) {
        let span = now.saturating_sub(self.smoothed).as_secs_f64();
        if span < 0.05 {
            return;
        }
        self.smoothed = now;
        let (kept_rate, kept_busy) = ((-span).exp(), (-span / 0.5).exp());
        self.rate = self.rate * kept_rate + self.arrivals as f64 / span * (1.0 - kept_rate);
        self.busy = self.busy * kept_busy + self.granted() as f64 * (1.0 - kept_busy);
        self.arrivals = 0;
        let kept = (-span / ORIGIN_WINDOW_S).exp();
        self.origins.retain(|_, calls| {
            *calls *= kept;
            *calls > 0.01
        });
    }

    /// Calls per second, averaged over about the last second.
    pub fn rate(&self, now: Duration) -> f64 {
        let span = now.saturating_sub(self.smoothed).as_secs_f64();
        if span < 0.05 {
            return self.rate;
        }
        let kept = (-span).exp();
        self.rate * kept + self.arrivals as f64 / span * (1.0 - kept)
    }

    /// Counts a call of a proxy in this zone; each call is counted once.
    pub fn count_arrival(&mut self, now: Duration, origin: u32) {
        self.smooth(now);
        self.arrivals += 1;
        if self.origins.len() < MAX_ORIGINS || self.origins.contains_key(&origin) {
            *self.origins.entry(origin).or_default() += 1.0;
        }
        self.last_arrival = now;
        self.changed = true;
        self.peak = self.peak.max(self.granted() + self.queue.len() + 1);
    }

    /// The inputs of an instance's index.
    fn index_inputs(&self, now: Duration, ledger: &InstanceLedger, instances: usize) -> IndexInputs {
        let n = ledger.grants.len();
        IndexInputs {
            n,
            energy: ledger.stats.energy(now, n),
            lambda: self.rate.max(RATE_FLOOR),
            mu: self.slots() as f64 / (self.run().as_secs_f64() * ledger.stats.ratio()).max(1e-3),
            delta: self.boots.delta(self.function.boot),
            instances,
        }
    }

    /// The instance with the lowest index among those with a free slot; ties are broken by `random_below`. An
    /// instance that has completed no call yet is scored with the mean of the others. The instance that the
    /// call avoids comes last.
    fn lowest(
        &self,
        now: Duration,
        avoid: u32,
        random_below: &mut dyn FnMut(usize) -> usize,
    ) -> Option<usize> {
        let slots = self.slots() + usize::from(injected(Defect::OneTooMany));
        let started =
            || self.ledgers.iter().filter(|ledger| ledger.entry.accepts_calls && ledger.entry.ready);
        let instances = started().count();
        let own = |ledger: &InstanceLedger| (self.score)(&self.index_inputs(now, ledger, instances));
        let mut mean = None; // computed on first use
        let (mut best, mut lowest, mut ties) = (None, (true, f64::INFINITY), 0);
        for (i, ledger) in self.ledgers.iter().enumerate() {
            if !ledger.can_grant(now) || ledger.grants.len() >= slots {
                continue;
            }
            let index = if ledger.stats.known() {
                own(ledger)
            } else {
                let mean = *mean.get_or_insert_with(|| {
                    let known = started().filter(|ledger| ledger.stats.known()).map(own);
                    let (sum, count) =
                        known.fold((0.0, 0.0), |(sum, count), index| (sum + index, count + 1.0));
                    (count > 0.0).then(|| sum / count)
                });
                mean.unwrap_or_else(|| own(ledger))
            };
            // A retry goes to another instance where there is one. This can't be an addend to the index,
            // which grows as b^n without bound.
            let avoided = name_hash(&ledger.entry.instance) == avoid;
            let close = 1e-9 * (1.0 + lowest.1.abs());
            if (avoided, index) < lowest && !(avoided == lowest.0 && (lowest.1 - index) <= close) {
                (best, lowest, ties) = (Some(i), (avoided, index), 1);
            } else if avoided == lowest.0 && (index - lowest.1).abs() <= close {
                ties += 1;
                if random_below(ties) == 0 {
                    best = Some(i);
                }
            }
        }
        best
    }

    /// The times in seconds at which slots become free, soonest first: slots of starting instances, and
    /// granted slots by the run time of such calls.
    fn slots_free(&self, now: Duration) -> Vec<f64> {
        let mut free = Vec::new();
        for ledger in self.ledgers.iter().filter(|ledger| ledger.entry.accepts_calls) {
            let up = (ledger.entry.since + self.function.boot).saturating_sub(now).as_secs_f64();
            let from = match ledger.entry.ready {
                true => ledger.paused_until.saturating_sub(now).as_secs_f64(),
                false => up.max(0.05),
            };
            for grant in &ledger.grants {
                let run = self.run_of(grant.priority);
                let held = now.saturating_sub(grant.since).as_secs_f64();
                // A call that runs longer than usual is expected to go on for a share of the mean.
                free.push((run - held).max(0.3 * run).max(from));
            }
            free.extend(std::iter::repeat_n(from, self.slots().saturating_sub(ledger.grants.len()).min(64)));
        }
        if free.is_empty() {
            let boot = self.function.boot.as_secs_f64() + 0.06;
            free.extend(std::iter::repeat_n(boot, self.slots().min(64)));
        }
        free.sort_by(f64::total_cmp);
        free
    }

    /// Places a call of `run` seconds in the slot that is free soonest and returns the start of its run.
    fn place(free: &mut [f64], run: f64) -> f64 {
        let Some(first) = free.first_mut() else { return f64::INFINITY };
        let start = *first;
        *first += run;
        let mut i = 0;
        while i + 1 < free.len() && free[i] > free[i + 1] {
            free.swap(i, i + 1);
            i += 1;
        }
        start
    }

    /// When the run of this call would start, behind the queued calls that precede it.
    fn estimate(&self, now: Duration, request: &SlotRequest) -> Duration {
        let mut free = self.slots_free(now);
        for other in self.queue.iter().filter(|other| other.key() <= request.key()) {
            Self::place(&mut free, self.run_of(other.priority));
        }
        Duration::try_from_secs_f64(Self::place(&mut free, 0.0)).unwrap_or(Duration::from_secs(60))
    }

    /// How long a call that arrives now would wait; `None` if it starts at once.
    pub fn wait(&self, now: Duration, request: &SlotRequest) -> Option<Duration> {
        let at_once = self.queue.is_empty() && self.free(now) > 0;
        (!at_once).then(|| self.estimate(now, request))
    }

    /// Removes queued calls that gain by a redirect that costs `far`: calls that are late here, and urgent
    /// ones that wait longer than the redirect takes. Urgent calls first, at most `most`.
    pub fn take_redirectable(
        &mut self,
        now: Duration,
        far: Duration,
        most: usize,
        hops: u8,
    ) -> Vec<SlotRequest> {
        let mut free = self.slots_free(now);
        let mut gain: Vec<(u8, usize)> = Vec::new();
        for (n, request) in self.queue.iter().enumerate() {
            let run = self.run_of(request.priority);
            let start = Self::place(&mut free, run);
            let there = now + far + Duration::from_secs_f64(run);
            let wait = Duration::try_from_secs_f64(start).unwrap_or(Duration::MAX / 4);
            if request.hops < hops && there < request.end && gains_by_redirect(now, request, wait, run, far) {
                gain.push((request.priority, n));
            }
        }
        gain.sort_unstable();
        gain.truncate(most);
        let mut places: Vec<usize> = gain.into_iter().map(|(_, n)| n).collect();
        places.sort_unstable_by(|a, b| b.cmp(a));
        let mut gone: Vec<SlotRequest> = places.into_iter().map(|n| self.queue.remove(n)).collect();
        gone.reverse();
        gone
    }

    /// The mean time for which a slot is held by calls of this priority, in seconds.
    pub fn mean_run(&self, priority: u8) -> f64 {
        self.run_of(priority)
    }

    /// The number of queued calls that the slots of running and starting instances don't serve well before
    /// their aim.
    fn shortage(&self, now: Duration) -> usize {
        if self.queue.is_empty() {
            return 0;
        }
        if !self.accepts_calls() {
            return self.queue.len();
        }
        let mut free = self.slots_free(now);
        let late = |request: &&SlotRequest| {
            let run = self.run_of(request.priority);
            let ends = Self::place(&mut free, run) + run;
            ends > request.aim.saturating_sub(request.arrived).as_secs_f64() * SHORTAGE_SHARE
                - now.saturating_sub(request.arrived).as_secs_f64()
        };
        self.queue.iter().filter(late).count()
    }

    pub fn has_shortage(&self, now: Duration) -> bool {
        self.rejected > 0 || self.shortage(now) > 0
    }

    /// Handles a request: a slot at once, a place in the queue, or a rejection.
    pub fn request(
        &mut self,
        now: Duration,
        mut request: SlotRequest,
        random_below: &mut dyn FnMut(usize) -> usize,
    ) -> Verdict {
        if self.queue.is_empty() {
            if let Some(i) = self.lowest(now, request.avoid, random_below) {
                self.grant(now, i, &request);
                return Verdict::Granted(i);
            }
        }
        let run = Duration::from_secs_f64(self.run_of(request.priority));
        let left = request.end.saturating_sub(now);
        let wait = self.estimate(now, &request);
        // A call that cannot be in time waits behind all that can, as long as its client can then still
        // retry; otherwise it is rejected at once.
        if now + wait + run > request.aim {
            request.late = true;
            let wait = self.estimate(now, &request);
            if wait + run > left.mul_f64(LATE_WAIT_SHARE) || self.queue.len() >= MAX_QUEUE {
                self.rejected += 1;
                return Verdict::RetryAfter(wait);
            }
        } else if self.queue.len() >= MAX_QUEUE {
            return Verdict::RetryAfter(wait);
        }
        let at = match injected(Defect::ArrivalOrder) {
            true => self.queue.len(),
            false => self.queue.partition_point(|other| other.key() <= request.key()),
        };
        self.queue.insert(at, request);
        self.peak = self.peak.max(self.granted() + self.queue.len());
        Verdict::Queued
    }

    pub fn grant(&mut self, now: Duration, i: usize, request: &SlotRequest) {
        let mean_run = Duration::from_secs_f64(self.run_of(request.priority));
        let grant = SlotGrant::new(now, request, mean_run);
        let ledger = &mut self.ledgers[i];
        ledger.stats.granted(now, ledger.grants.len());
        ledger.grants.push(grant);
        self.peak = self.peak.max(self.granted() + self.queue.len());
    }

    /// The next queued call that can have a slot, with the position of the ledger that grants it.
    pub fn serve(
        &mut self,
        now: Duration,
        random_below: &mut dyn FnMut(usize) -> usize,
    ) -> Option<(usize, SlotRequest)> {
        self.demote_late(now);
        let avoid = self.queue.first()?.avoid;
        let i = self.lowest(now, avoid, random_below)?;
        let request = self.queue.remove(0);
        if !injected(Defect::GrantNotRecorded) {
            self.grant(now, i, &request);
        }
        Some((i, request))
    }

    /// Calls at the front that have waited too long to be in time are moved behind the others: serving them
    /// all late would leave none in time.
    fn demote_late(&mut self, now: Duration) {
        for _ in 0..self.queue.len() {
            let Some(first) = self.queue.first().filter(|w| !w.late) else { return };
            let run = Duration::from_secs_f64(self.run_of(first.priority));
            if now + run.mul_f64(0.7) <= first.aim {
                return;
            }
            let mut request = self.queue.remove(0);
            request.late = true;
            let at = self.queue.partition_point(|other| other.key() <= request.key());
            self.queue.insert(at, request);
        }
    }

    /// Removes calls from the queue that can no longer end before their deadline.
    pub fn remove_hopeless(&mut self, now: Duration) -> Vec<SlotRequest> {
        let runs: Vec<f64> = self.queue.iter().map(|request| self.run_of(request.priority)).collect();
        let mut runs = runs.into_iter();
        let (gone, kept) = self.queue.drain(..).partition(|request| {
            request.end <= now + Duration::from_secs_f64(runs.next().unwrap_or_default())
        });
        self.queue = kept;
        gone
    }

    /// A slot is returned. Returns the ledger of an instance that is to be reported as gone, after removing
    /// it.
    pub fn return_slot(
        &mut self,
        now: Duration,
        from: SocketAddr,
        incarnation: u32,
        seq: u32,
        ended: Ended,
    ) -> Option<InstanceLedger> {
        self.queue
            .retain(|request| (request.from, request.incarnation, request.seq) != (from, incarnation, seq));
        let same = |grant: &SlotGrant| grant.matches(from, incarnation, seq);
        let i = self.ledgers.iter().position(|ledger| ledger.grants.iter().any(same))?;
        let ledger = &mut self.ledgers[i];
        let grant = ledger.grants.iter().position(same).map(|at| ledger.grants.swap_remove(at))?;
        if injected(Defect::FreedTwice) {
            ledger.grants.pop();
        }
        let held = now.saturating_sub(grant.since).as_secs_f64();
        let mean_run =
            self.runs.get(&grant.priority).filter(|run| run.count >= MIN_RUNS).map(|run| held / run.mean);
        ledger.stats.record_return(now, ended, mean_run);
        match ended {
            Ended::Done => {
                ledger.silent = 0;
                self.record_run(grant.priority, held);
            }
            Ended::Idle => {}
            Ended::Full => ledger.paused_until = now + FULL_PAUSE,
            Ended::Leaving => ledger.paused_until = now + LEAVING_PAUSE,
            Ended::Silent => {
                ledger.paused_until = now + SILENT_PAUSE * (1 << ledger.silent.min(3));
                ledger.silent += 1;
                if ledger.silent >= 4 {
                    return Some(self.drop_ledger(i));
                }
            }
            Ended::Gone => return Some(self.drop_ledger(i)),
        }
        self.changed = true;
        None
    }

    fn drop_ledger(&mut self, i: usize) -> InstanceLedger {
        self.changed = true;
        self.ledgers.swap_remove(i)
    }

    /// Records a grant of a former owner, or one that was queried: it counts as held until it is returned or
    /// its call must be over. False if this process does not own the instance.
    pub fn record_held(&mut self, now: Duration, grant: SlotGrant, instance: &str) -> bool {
        let Some(ledger) = self.ledgers.iter_mut().find(|ledger| ledger.entry.instance == instance) else {
            return false;
        };
        let has_space = ledger.grants.len() < 4096;
        match ledger.grants.iter_mut().find(|old| old.matches(grant.to, grant.incarnation, grant.seq)) {
            Some(old) => old.schedule_check(now),
            None if has_space => ledger.grants.push(grant),
            None => return false,
        }
        true
    }

    /// Removes a grant that its requester does not need, or (instance 0) a queued request.
    pub fn release(&mut self, from: SocketAddr, incarnation: u32, seq: u32, instance: u32) {
        if instance == 0 {
            self.queue.retain(|request| {
                (request.from, request.incarnation, request.seq) != (from, incarnation, seq)
            });
        }
        for ledger in self.ledgers.iter_mut().filter(|ledger| name_hash(&ledger.entry.instance) == instance) {
            if let Some(at) = ledger.grants.iter().position(|grant| grant.matches(from, incarnation, seq)) {
                ledger.grants.swap_remove(at);
                self.changed = true;
            }
        }
    }

    /// Removes a grant that its requester refuses because it knows that the instance leaves.
    pub fn refuse(&mut self, now: Duration, from: SocketAddr, incarnation: u32, seq: u32, instance: u32) {
        for ledger in self.ledgers.iter_mut().filter(|ledger| name_hash(&ledger.entry.instance) == instance) {
            if let Some(at) = ledger.grants.iter().position(|grant| grant.matches(from, incarnation, seq)) {
                ledger.grants.swap_remove(at);
                ledger.paused_until = now + LEAVING_PAUSE;
                self.changed = true;
            }
        }
    }

    /// Removes queued requests of earlier incarnations of a process.
    pub fn forget_requests(&mut self, from: SocketAddr, incarnation: u32) {
        self.queue.retain(|request| request.from != from || request.incarnation == incarnation);
    }

    /// Removes grants whose call must be over and that were never returned.
    pub fn expire(&mut self, now: Duration) {
        if injected(Defect::NoExpiry) {
            return;
        }
        for ledger in &mut self.ledgers {
            ledger.grants.retain(|grant| grant.until > now);
        }
    }

    /// Schedules a check of all grants of this requester at once.
    pub fn check_requester(&mut self, now: Duration, from: SocketAddr) {
        let of = self.ledgers.iter_mut().flat_map(|ledger| &mut ledger.grants);
        of.filter(|grant| grant.to == from).for_each(|grant| grant.check_soon(now));
    }

    /// The grants to be checked now: requester, incarnation, call and instance.
    pub fn due_checks(&mut self, now: Duration) -> Vec<(SocketAddr, u32, u32, u32)> {
        let mut all = Vec::new();
        if injected(Defect::NeverChecked) {
            return all;
        }
        for ledger in &mut self.ledgers {
            for grant in ledger.grants.iter_mut().filter(|grant| grant.is_check_due(now)) {
                grant.schedule_check(now);
                all.push((grant.to, grant.incarnation, grant.seq, name_hash(&ledger.entry.instance)));
            }
        }
        all
    }

    /// The report for the autoscaler, if one is due; repeated at growing intervals while nothing happens.
    pub fn load_report(&mut self, now: Duration, at_least: Duration) -> Option<LoadReport> {
        self.smooth(now);
        if !self.queue.is_empty() || self.granted() > 0 {
            self.changed = true;
        }
        let pause = if self.changed { at_least } else { self.report_interval };
        if self.last_arrival == Duration::ZERO
            || now < self.reported + pause
            || (!self.changed && self.report_interval > Duration::from_secs(20))
        {
            return None;
        }
        self.report_interval = if self.changed { at_least * 2 } else { self.report_interval * 2 };
        (self.reported, self.changed) = (now, false);
        let peak = std::mem::take(&mut self.peak).max(self.granted() + self.queue.len());
        Some(LoadReport {
            function_id: self.function.id,
            rate: self.rate,
            busy: self.busy,
            peak,
            waiting: self.shortage(now) + std::mem::take(&mut self.rejected),
            run: self.run(),
            idle: now.saturating_sub(self.last_arrival),
            origins: self.shares(),
        })
    }
}

impl SlotPool {
    fn shares(&self) -> Vec<(u32, f64)> {
        let all: f64 = self.origins.values().sum();
        self.origins.iter().map(|(zone, calls)| (*zone, calls / all.max(1e-9))).collect()
    }
}
