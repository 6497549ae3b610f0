//! The state that decisions are based on: what one scheduler knows of workers, tasks and run times.

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
    /// Slots of local tasks on the worker, and those of tasks that have started.
    pub n: f64,
    pub running: f64,
    pub waiting: VecDeque<(usize, usize)>,
    pub energy: Energy,
    pub last_used: Duration,
    /// New or returning: no completion yet.
    pub fresh: bool,
    /// Logarithm of its speed relative to its kind, and the completions that this is based on.
    pub speed_offset: f64,
    pub completions: f64,
    /// Slots that peers use, as observed at `load_seen`.
    pub peer_load: f64,
    pub load_seen: Duration,
    /// Free slots granted to this scheduler at `granted_at`.
    pub granted: f64,
    pub granted_at: Duration,
    /// Slots that peers announced to use.
    pub usage: PeerUsage,
    /// Identifies the worker, the same at every scheduler.
    pub hash: u64,
    pub errors: f64,
    pub barred_until: Option<Duration>,
    pub bar_count: i32,
    pub silent: bool,
    /// Last message about any local task on it.
    pub last_update: Duration,
    /// While cold: no local task before then.
    pub rest_until: Duration,
    /// Showed signs of leaving while the list was outdated: no local task before then.
    pub avoid_until: Duration,
    /// Excluded by operators: draining for this scheduler, whatever the list says.
    pub banned: bool,
}

impl Worker {
    pub fn ready(&self) -> bool {
        self.on_list && self.condition == Some(Condition::Ready) && !self.banned
    }

    pub fn is_barred(&self, now: Duration) -> bool {
        self.barred_until.is_some_and(|until| until > now)
    }

    /// Listed, but gets no tasks now, because of operators or of the policy.
    pub fn avoided(&self, now: Duration) -> bool {
        self.on_list && (self.banned || self.is_barred(now) || self.silent || self.avoid_until > now)
    }

    /// Excluded by operators, or readmitted: then it counts as returning, as it may have changed meanwhile.
    pub fn set_banned(&mut self, banned: bool) {
        if self.banned && !banned {
            (self.fresh, self.silent, self.errors, self.barred_until, self.peer_load) =
                (true, false, 0.0, None, 0.0);
        }
        self.banned = banned;
    }

    /// Records a logarithm of its speed relative to its kind. An unusually slow run outweighs earlier runs,
    /// since a worker can slow down from one task to the next.
    pub fn record_speed(&mut self, speed_offset: f64, spread: f64) {
        if speed_offset < self.speed_offset - OUTLIER_SPREADS * spread {
            self.completions = self.completions.min(MIN_SPEED_SAMPLES - 1.0);
        }
        self.completions += 1.0;
        self.speed_offset +=
            (speed_offset - self.speed_offset) * (1.0 / self.completions).max(1.0 / SPEED_WINDOW);
    }

    /// Records an entry of the list; returns whether its condition changed and whether the worker restarted.
    pub fn update_listing(
        &mut self,
        site: Site,
        weight: f64,
        condition: Condition,
        booted: Option<Duration>,
    ) -> (bool, bool) {
        let (changed, restarted) = (self.condition != Some(condition), self.booted != booted);
        let returns = changed && self.condition.is_some() && condition == Condition::Ready;
        let starts = booted.is_some() && (restarted || self.condition.is_none());
        if restarted || returns {
            (self.fresh, self.errors, self.barred_until, self.peer_load) = (true, 0.0, None, 0.0);
        }
        (self.site, self.weight, self.condition, self.booted) = (site, weight, Some(condition), booted);
        self.on_list = condition != Condition::Gone;
        (changed, starts)
    }

    /// For the process that takes over, to which the local slots in use are those of a peer.
    pub fn snapshot(&self) -> WorkerState {
        let (rest_until, barred_until, fresh) = (self.rest_until, self.barred_until, self.fresh);
        let (speed_offset, completions, peer_load) =
            (self.speed_offset, self.completions, self.n + self.peer_load);
        WorkerState { rest_until, barred_until, fresh, speed_offset, completions, peer_load }
    }

    pub fn restore(&mut self, from: &WorkerState, now: Duration) {
        (self.rest_until, self.barred_until, self.fresh) = (from.rest_until, from.barred_until, from.fresh);
        (self.speed_offset, self.completions) = (from.speed_offset, from.completions);
        (self.peer_load, self.load_seen) = (from.peer_load, now);
    }

    /// Bars the worker for a while, longer each time; returns how long.
    pub fn bar(&mut self, now: Duration) -> Duration {
        self.bar_count = (self.bar_count + 1).min(4);
        let pause = Duration::from_secs_f64(0.75 * f64::from(1 << self.bar_count));
        (self.barred_until, self.errors, self.silent) = (Some(now + pause), 0.35, false);
        pause
    }

    /// Records an assignment to the worker; while cold it gets no other before `rest_until`.
    pub fn assign(&mut self, assignment: (usize, usize), size: f64, now: Duration, rest_until: Duration) {
        (self.n, self.last_used, self.rest_until) = (self.n + size, now, rest_until);
        self.granted = (self.granted - size).max(0.0);
        self.waiting.push_back(assignment);
    }

    pub fn start(&mut self, assignment: (usize, usize), size: f64, now: Duration) {
        self.running += size;
        self.mark_responsive(now);
        self.waiting.retain(|x| *x != assignment);
    }

    /// An assignment has ended: frees its slots.
    pub fn release(&mut self, assignment: (usize, usize), size: f64, started: bool, now: Duration) {
        (self.n, self.last_used) = ((self.n - size).max(0.0), now);
        self.waiting.retain(|x| *x != assignment);
        self.running -= if started { size.min(self.running) } else { 0.0 };
    }

    /// Slots left free to this scheduler by a local task or by a peer, until they expire.
    pub fn granted_slots(&self, now: Duration, ttl: Duration) -> f64 {
        if now <= self.granted_at + ttl {
            self.granted
        } else {
            0.0
        }
    }

    /// Share of its capacity that it surely has by now: rises linearly from the cold share.
    pub fn warmth(&self, now: Duration, cold_share: f64, warm_within: Duration) -> f64 {
        let Some(booted) = self.booted else { return 1.0 };
        let age = now.saturating_sub(booted).as_secs_f64() / warm_within.as_secs_f64().max(1e-3);
        (cold_share + (1.0 - cold_share) * age).min(1.0)
    }

    /// Logarithm of its speed relative to its kind if the two clearly differ; decays while it is not used.
    pub fn own_speed(&self, now: Duration) -> f64 {
        let clear = self.completions >= MIN_SPEED_SAMPLES
            && self.speed_offset.abs() * self.completions.min(SPEED_WINDOW).sqrt() > 2.0 * LOG_SPREAD;
        // Prevents avoiding a worker for ever that was slow for a while: unused, it counts as its kind again.
        let unused = now.saturating_sub(self.last_used).as_secs_f64();
        if clear {
            self.speed_offset * (-unused / SPEED_DECAY_S).exp()
        } else {
            0.0
        }
    }

    /// The worker sent a message: it does not hang, and a bar for silence is lifted.
    pub fn mark_responsive(&mut self, now: Duration) {
        self.last_update = now;
        if self.silent {
            (self.silent, self.errors, self.barred_until) = (false, 0.0, None);
        }
    }
}

/// The state of a worker that one process hands over to the next.
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
    /// While totals are computed: slots that all schedulers use on it, and its number of workers.
    pub outstanding: f64,
    pub listed: f64,
}

#[derive(Clone, Copy)]
pub struct Assignment {
    pub worker: usize,
    pub sent: Duration,
    pub started: Option<Duration>,
    pub last_update: Duration,
    /// Slots of local tasks on the worker when it was sent.
    pub n_before: f64,
    pub cold: bool,
    pub ending: Option<Ending>,
    pub cancelled: bool,
}

impl Assignment {
    pub fn new(worker: usize, now: Duration, n_before: f64, cold: bool) -> Self {
        let (started, ending, cancelled) = (None, None, false);
        Assignment { worker, sent: now, started, last_update: now, n_before, cold, ending, cancelled }
    }

    pub fn live(&self) -> bool {
        self.ending.is_none() && !self.cancelled
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Queued,
    Requeued,
    Assigned,
    Done,
    Unused,
}

pub struct Task {
    pub stage: Stage,
    pub workload: usize,
    pub size: f64,
    pub utility: f64,
    /// The data set it needs; 0: none.
    pub data_set: u64,
    pub created: Duration,
    pub deadline: Duration,
    pub assignments: Vec<Assignment>,
}

impl Task {
    /// The assignments that may have run, or may still: all without an ending that proves they never did.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Assignment> {
        self.assignments.iter().filter(|a| !a.ending.is_some_and(Ending::proves_never_ran))
    }

    /// Whether one more assignment is allowed.
    pub fn may_reassign(&self, rows: &[Workload]) -> bool {
        self.assignments.len() < rows[self.workload].max_assignments
    }

    pub fn outstanding(&self) -> usize {
        self.assignments.iter().filter(|a| a.ending.is_none()).count()
    }
}

impl MachineKind {
    /// Ends a pass over the list: its workers have at least as many slots as all schedulers use on average.
    pub fn finish_totals(&mut self) {
        self.slots = self.slots.max((self.outstanding / self.listed.max(1.0)).round());
        (self.outstanding, self.listed) = (0.0, 0.0);
    }
}

/// Totals over the list: slots, those used by local tasks and by peers, speeds by slots, and ready workers.
#[derive(Default)]
pub struct Totals {
    pub slots: f64,
    pub local: f64,
    pub peers: f64,
    pub speed: f64,
    pub ready: usize,
}

impl Totals {
    pub fn add(&mut self, w: &Worker, kind: &mut MachineKind, slots: f64, peers: f64) {
        (self.local, self.slots) = (self.local + w.n, self.slots + slots);
        self.speed += kind.speed * slots;
        self.peers += peers * slots;
        self.ready += usize::from(w.ready());
        (kind.outstanding, kind.listed) = (kind.outstanding + w.n + w.usage.total, kind.listed + 1.0);
    }
}

/// Estimated run time of a workload at speed 1: its logarithm and the spread of it, its mean, and samples.
#[derive(Clone, Copy)]
pub struct RunTimes {
    pub log: f64,
    pub spread: f64,
    pub mean: f64,
    pub seen: f64,
}

/// Weight of one observation in the share of peers: about twenty count.
const PEER_SHARE_WEIGHT: f64 = 0.05;
/// Weight of one pass in the local share of all traffic: slots in use fluctuate.
const LOCAL_SHARE_WEIGHT: f64 = 0.3;
/// The share of peers before any observation: most workers have free slots.
const INITIAL_PEER_SHARE: f64 = 0.2;

/// Estimates for workloads, machine kinds and peers; they outlive the rows of workloads.
#[derive(Clone, Default)]
pub struct Model {
    pub runs: Vec<RunTimes>,
    pub kinds: Vec<MachineKind>,
    /// Share of a worker's slots that peers use, by zone and kind.
    pub peer_shares: Vec<Vec<f64>>,
    /// Mean time that a slot is in use, at speed 1.
    pub slot_time: f64,
    pub setup: f64,
    /// The local share of all traffic.
    pub local_share: f64,
}

impl Model {
    /// Estimates before the first answers.
    pub fn initial(rows: &[Workload], schedulers: usize) -> Self {
        let runs: Vec<RunTimes> = rows.iter().map(RunTimes::initial).collect();
        let slot_time = runs.iter().map(|r| r.mean).sum::<f64>() / runs.len() as f64;
        let (setup, local_share) = (slot_time / 16.0, 1.0 / schedulers as f64);
        Model { runs, slot_time, setup, local_share, ..Model::default() }
    }

    /// Replaces the rows; each continues from its previous row, if any.
    pub fn reconfigure(&mut self, rows: &[Workload], previous: &[Option<usize>]) {
        let runs = |(row, from): (&Workload, &Option<usize>)| {
            from.map_or_else(|| RunTimes::initial(row), |at| self.runs[at])
        };
        self.runs = rows.iter().zip(previous).map(runs).collect();
    }

    pub fn ensure_site(&mut self, site: Site) {
        self.kinds.resize(self.kinds.len().max(site.kind + 1), MachineKind::default());
        self.peer_shares.resize(self.peer_shares.len().max(site.zone + 1), Vec::new());
        let zone = &mut self.peer_shares[site.zone];
        zone.resize(zone.len().max(site.kind + 1), INITIAL_PEER_SHARE);
    }

    /// Slots of a worker: the most seen at once on its kind; before that its weight, which may include speed.
    pub fn slots(&self, w: &Worker, live_weights: bool) -> f64 {
        let (seen, weight) = (self.kinds[w.site.kind].slots, w.weight);
        if seen >= weight.floor() || live_weights && seen > 0.0 { seen } else { weight }.max(1.0)
    }

    /// Records an observed share of a worker's slots in use by peers.
    pub fn observe_peer_share(&mut self, at: Site, share: f64) {
        let peers = &mut self.peer_shares[at.zone][at.kind];
        *peers += PEER_SHARE_WEIGHT * (share - *peers);
    }

    /// Adds up the list; updates the local share of all traffic and normalizes the mean speed to 1.
    pub fn update_totals(&mut self, workers: &[Worker], live_weights: bool) -> Totals {
        let mut totals = Totals::default();
        for w in workers.iter().filter(|w| w.on_list) {
            let (slots, peers) = (self.slots(w, live_weights), self.peer_shares[w.site.zone][w.site.kind]);
            totals.add(w, &mut self.kinds[w.site.kind], slots, peers);
        }
        // Prevents a kind from being unused because few of its slots were ever seen.
        self.kinds.iter_mut().for_each(MachineKind::finish_totals);
        self.normalize_speed(totals.speed / f64::max(totals.slots, 1.0));
        self.local_share +=
            LOCAL_SHARE_WEIGHT * (totals.local / (totals.local + totals.peers).max(1.0) - self.local_share);
        totals
    }

    /// Records a run. Run times by workload and speeds by kind come from logarithms, so that neither the
    /// mix of workloads nor one very long task is mistaken for speed.
    pub fn record_run(&mut self, w: &mut Worker, workload: usize, size: f64, run: f64) {
        let (kind, r, run) = (&mut self.kinds[w.site.kind], &mut self.runs[workload], run.max(1e-3));
        let deviation = run.ln() - (r.log - kind.speed);
        r.seen += 1.0;
        r.log += deviation * (1.0 / r.seen).max(0.03);
        // The mean distance is 0.8 of a normal deviation; a worker's own slowdown is taken out.
        r.spread += (1.25 * (deviation + w.speed_offset).abs().min(2.0) - r.spread) * 0.02;
        if r.seen > 8.0 {
            kind.speed -= 0.02 * deviation;
            w.record_speed(-deviation, r.spread);
        }
        let normalized = run * kind.speed.exp();
        r.mean += (normalized - r.mean) * (1.0 / r.seen).max(0.02);
        self.slot_time += 0.02 * size.min(4.0) * (normalized - self.slot_time);
    }

    /// Shifts the unit of speed by this logarithm: only run / speed is observable, so the unit would drift.
    pub fn normalize_speed(&mut self, mean: f64) {
        self.kinds.iter_mut().for_each(|kind| kind.speed -= mean);
        self.slot_time *= (-mean).exp();
        for r in &mut self.runs {
            (r.log, r.mean) = (r.log - mean, r.mean * (-mean).exp());
        }
    }
}

impl RunTimes {
    /// At first the promised time is the best estimate of a run time. Avoids shedding all tasks of a workload
    /// whose promised time hardly grows with the run, before any has run.
    pub fn initial(row: &Workload) -> Self {
        let mean = row.promised.as_secs_f64() * ((1.0 + row.stretch) / 2.0).min(1.0);
        RunTimes { log: mean.max(0.01).ln(), mean: mean.max(0.01), spread: LOG_SPREAD, seen: 0.0 }
    }
}

pub struct Rng(pub Rand64);

impl Default for Rng {
    fn default() -> Self {
        Rng(Rand64::new(0))
    }
}

/// The current tasks, in entries that are reused.
#[derive(Default)]
pub struct Slab {
    tasks: Vec<Task>,
    unused: Vec<usize>,
}

impl Slab {
    /// An entry without assignments, reused if possible.
    pub fn alloc(&mut self, max_assignments: usize) -> usize {
        let index = self.unused.pop().unwrap_or(self.tasks.len());
        if index == self.tasks.len() {
            let assignments = Vec::with_capacity(max_assignments);
            let (stage, zero) = (Stage::Unused, Duration::ZERO);
            let (workload, size, utility, data_set) = (0, 1.0, 0.0, 0);
            self.tasks.push(Task {
                stage,
                workload,
                size,
                utility,
                data_set,
                created: zero,
                deadline: zero,
                assignments,
            });
        }
        self.tasks[index].assignments.clear();
        self.tasks[index].data_set = 0;
        index
    }

    pub fn free(&mut self, index: usize) {
        self.tasks[index].stage = Stage::Unused;
        self.unused.push(index);
    }

    /// An assignment whose outcome is pending.
    pub fn open(&self, task: usize, number: usize) -> Option<&Assignment> {
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

/// The listed workers by zone, in the order of the list.
#[derive(Default)]
pub struct ZoneLists {
    zones: Vec<Vec<usize>>,
    pub listed: usize,
}

impl ZoneLists {
    pub fn clear(&mut self) {
        self.zones.iter_mut().for_each(Vec::clear);
        self.listed = 0;
    }

    pub fn remove(&mut self, worker: usize, zone: usize) {
        let index = self.zones.get(zone).and_then(|z| z.iter().position(|&x| x == worker));
        if let Some(index) = index {
            self.zones[zone].remove(index);
            self.listed -= 1;
        }
    }

    pub fn insert(&mut self, worker: usize, zone: usize) {
        self.zones.resize(self.zones.len().max(zone + 1), Vec::new());
        self.zones[zone].push(worker);
        self.listed += 1;
    }

    /// The worker at `number` modulo the size of the zone, or of all other zones in order.
    pub fn pick(&self, home: usize, inside: bool, number: u64) -> Option<usize> {
        let local = self.zones.get(home).map_or(0, Vec::len);
        let size = if inside { local } else { self.listed - local };
        let mut index = number.checked_rem(size as u64)? as usize;
        let zones = self.zones.iter().enumerate().filter(|(zone, _)| (*zone == home) == inside);
        for (_, zone) in zones {
            if index < zone.len() {
                return Some(zone[index]);
            }
            index -= zone.len();
        }
        None
    }
}

/// A count that decays exponentially over a window, in seconds.
#[derive(Default)]
pub struct Rate {
    count: f64,
    at: Duration,
}

impl Rate {
    fn decayed(&self, now: Duration, window: f64) -> f64 {
        self.count * (-now.saturating_sub(self.at).as_secs_f64() / window).exp()
    }

    pub fn add(&mut self, count: f64, now: Duration, window: f64) {
        (self.count, self.at) = (self.decayed(now, window) + count, now);
    }

    /// The rate where nothing was counted before the start.
    pub fn per_second_since(&self, start: Duration, now: Duration, window: f64) -> f64 {
        let elapsed = (now - start).as_secs_f64() + 0.5;
        self.per_second(now, window) / (1.0 - (-elapsed / window).exp())
    }

    pub fn per_second(&self, now: Duration, window: f64) -> f64 {
        self.decayed(now, window) / window
    }
}

/// A token bucket.
#[derive(Clone)]
pub struct Bucket {
    pub at: Duration,
    pub tokens: f64,
}

impl Bucket {
    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration, per_second: f64, most: f64) -> bool {
        let tokens = (self.tokens + per_second * (now - self.at).as_secs_f64()).min(most);
        let taken = tokens >= 1.0;
        (self.at, self.tokens) = (now, if taken { tokens - 1.0 } else { tokens });
        taken
    }
}

/// Completions that a worker's own speed is smoothed over: enough to distinguish half from full speed.
pub const SPEED_WINDOW: f64 = 12.0;
/// Initial spread of the logarithm of run times, which are heavy-tailed.
pub const LOG_SPREAD: f64 = 0.7;
/// A worker's own speed decays over this while it is not used.
const SPEED_DECAY_S: f64 = 8.0;
/// Completions before a worker's own speed may replace that of its kind.
pub const MIN_SPEED_SAMPLES: f64 = 6.0;
/// A run this many spreads from the mean is an outlier: about one in a hundred.
const OUTLIER_SPREADS: f64 = 2.5;

/// Slots of a worker in use, by the peer that announced them.
#[derive(Default)]
pub struct PeerUsage {
    /// By peer, with the number of its last message, which wraps.
    slots: Vec<Option<(u16, f32)>>,
    pub total: f64,
}

impl PeerUsage {
    /// Messages may arrive out of order: an older one must not overwrite a newer one.
    pub fn set(&mut self, peer: usize, number: u16, slots: f64) {
        self.slots.resize(self.slots.len().max(peer + 1), None);
        let (last, held) = self.slots[peer].unwrap_or((number, 0.0));
        if number.wrapping_sub(last) < u16::MAX / 2 {
            self.total += slots - f64::from(held);
            self.slots[peer] = Some((number, slots as f32));
        }
    }

    /// Drops the announcements of a peer that timed out.
    pub fn clear(&mut self, peer: usize) {
        if let Some((_, held)) = self.slots.get_mut(peer).and_then(Option::take) {
            self.total -= f64::from(held);
        }
    }
}

/// A peer without announcements for this long is down, or does not announce.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Which peers send announcements, and when the last ones were sent to them.
#[derive(Default)]
pub struct Peers {
    last_message: Vec<Option<Duration>>,
    pub sent_at: Duration,
    next: usize,
}

impl Peers {
    pub fn record_message(&mut self, peer: usize, now: Duration) {
        self.last_message.resize(self.last_message.len().max(peer + 1), None);
        self.last_message[peer] = Some(now);
    }

    /// Announcements are sent now, for one more worker in turn, since messages may be lost.
    pub fn next_worker(&mut self, now: Duration, listed: usize) -> usize {
        (self.sent_at, self.next) = (now, (self.next + 1) % listed);
        self.next
    }

    pub fn active(&self) -> usize {
        self.last_message.iter().flatten().count()
    }

    /// Peers that have timed out, once each.
    pub fn take_timed_out(&mut self, now: Duration) -> impl Iterator<Item = usize> + '_ {
        let silent = move |at: Duration| now.saturating_sub(at) > PEER_TIMEOUT;
        let all = self.last_message.iter_mut().enumerate();
        all.filter_map(move |(peer, at)| at.take_if(|at| silent(*at)).map(|_| peer))
    }
}

/// A pseudo-random number between 0 and 1, uniform over pairs and the same at every scheduler.
pub fn pair_hash(a: u64, b: u64) -> f64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + 1e-17
}

/// Home workers of a data set: enough for one that a third of the tasks need.
pub const MAX_HOMES: usize = 16;

/// Data sets that are tracked.
const MAX_DATA_SETS: usize = 8192;

/// A data set: its home workers, as of which list, and how often it is requested.
#[derive(Default)]
pub struct Home {
    pub workers: [usize; MAX_HOMES],
    /// None before the first list: prevents homes at workers that are not listed yet.
    list_version: Option<usize>,
    pub requests: Rate,
}

#[derive(Default)]
pub struct DataSets {
    homes: HashMap<u64, Home>,
    /// Counts the changes of the list that move homes.
    pub list_version: usize,
}

impl DataSets {
    pub fn record_request(&mut self, set: u64, now: Duration, window: f64) {
        if set != 0 && (self.homes.len() < MAX_DATA_SETS || self.homes.contains_key(&set)) {
            self.homes.entry(set).or_default().requests.add(1.0, now, window);
        }
    }

    /// A data set; if the list has changed its homes are selected again, by weighted rendezvous hashing over
    /// these workers with their hashes and capacities.
    pub fn homes<W>(&mut self, set: u64, workers: impl FnOnce() -> W) -> Option<&Home>
    where
        W: Iterator<Item = (usize, u64, f64)>,
    {
        let home = self.homes.get_mut(&set)?;
        if home.list_version != Some(self.list_version) {
            let mut best = [(f64::INFINITY, usize::MAX); MAX_HOMES];
            for (worker, hash, weight) in workers() {
                let draw = -pair_hash(set, hash).ln() / weight;
                let index = best.partition_point(|b| b.0 <= draw);
                if index < MAX_HOMES {
                    best[index..].rotate_right(1);
                    best[index] = (draw, worker);
                }
            }
            (home.list_version, home.workers) = (Some(self.list_version), best.map(|b| b.1));
        }
        Some(home)
    }
}

/// Workers with slots granted to this scheduler, slots freed by local tasks, peers that request slots, and
/// when requests were last sent.
#[derive(Default)]
pub struct Grants {
    pub workers: VecDeque<usize>,
    pub freed: Vec<(usize, f64)>,
    pub requests: Vec<usize>,
    pub sent_at: Duration,
}

/// Whether schedulers exchange messages about workers: each announces its slots in use to all, or, where they
/// are too many for that, grants free slots to single peers.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Off,
    Broadcast,
    Direct,
}

/// The workers to score for a task: a group of the homes of its data set, a random sample, or the whole list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Pool {
    Homes(usize),
    Sampled,
    All,
}

pub fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

/// Time that may still pass before a start at this speed is too late for one of the runs.
pub fn slack(deadlines: [(f64, f64); 2], speed: f64) -> f64 {
    let [short, long] = deadlines.map(|(left, run)| left - run / speed);
    short.min(long)
}
