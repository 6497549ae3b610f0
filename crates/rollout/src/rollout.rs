//! State machine of a run: watches the unchanged fleet, then changes stage after stage until done, or undoes
//! all changes.

use crate::comparison::{against_past, Arm, Count, Harm, PairedComparison};
use crate::planning::Plan;
use std::fmt;
use std::time::Duration;

/// A changed scheduler that is unreachable or not ready for longer than this counts as harmed: answers are
/// due within one second, so three in a row were missed.
pub const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Back-off between attempts of an order, doubling from the minimum to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// A workload with less than this share of the tasks is not required to pass; it can still stop a stage.
const MIN_WORKLOAD_SHARE: f64 = 0.05;
/// In the last stage no unchanged scheduler is left, so the whole fleet is compared with its own past.
/// External effects count there as well, so it must be worse by this factor more.
const PAST_FACTOR: f64 = 2.0;
/// Required precision of the baseline before the first stage begins: the standard deviation of the groups'
/// difference, relative to the relevant harm. With six seconds of watching alone, one scheduler in twelve of
/// an uneven fleet was blamed for a difference that had always existed.
const MAX_BASELINE_SPREAD: f64 = 0.25;
/// If more than this share of tasks is unfinished before any change, the fleet is unhealthy: both groups
/// would perform equally badly, and any harm would pass.
const MAX_BASELINE_UNFINISHED: f64 = 0.5;
/// A scheduler that ended this many tasks a second before and ends none now is not served, or its counters
/// are stuck.
const MIN_ACTIVE_RATE: f64 = 1.0;

/// Which settings a scheduler runs with, as it reports itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsVersion {
    Old,
    New,
    /// Neither: changed by something other than this run.
    Other,
}

/// Totals since the process started, per workload; workloads are numbered by the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskTotals {
    pub finished: u64,
    pub shed: u64,
    pub broken_off: u64,
}

/// What was observed of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    pub settings: SettingsVersion,
    pub ready: bool,
    /// Identifies the process; another number means a new process, whose counts start at 0.
    pub process: u64,
    pub totals: Vec<TaskTotals>,
}

/// The next action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Change(usize),
    Undo(usize),
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// In force, as the scheduler reports.
    Done,
    /// Refused with a reason; nothing was changed.
    Refused(String),
    /// No answer in time, or unreachable: it may be in force or not.
    Unknown(String),
}

/// Why a run did not start or was stopped. Schedulers and workloads by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// Stopped by an operator.
    StoppedByOperator,
    Refused(usize, String),
    /// The change was not in force in time.
    ChangeTimedOut(usize),
    Unreachable(usize),
    NotReady(usize),
    /// Its process ended and another one started.
    Restarted(usize),
    /// It runs with the old settings again.
    Reverted(usize),
    /// It runs with settings that this run did not apply.
    ChangedExternally(usize),
    NoProgress(usize),
    /// Changed schedulers perform worse, at one workload or (none) overall.
    Worse(Option<usize>, Harm),
    /// With no unchanged scheduler left, the fleet performs worse than before the change.
    WorseThanBefore(Harm),
    /// At the end of the longest watch there are too few tasks for a verdict.
    TooFewTasks(Option<Harm>),
    /// Too many tasks of the unchanged fleet are unfinished, so no harm could be detected.
    FleetUnhealthy(f64),
    /// Another run has taken over the fleet.
    Superseded(String),
}

impl Reason {
    /// The reason as text, with the names of schedulers and workloads.
    pub fn text(&self, schedulers: &[String], workloads: &[String]) -> String {
        let name = |who: &usize| schedulers.get(*who).map_or("?", String::as_str);
        match self {
            Reason::StoppedByOperator => "told to stop".into(),
            Reason::Refused(who, why) => format!("{} refused: {why}", name(who)),
            Reason::ChangeTimedOut(who) => format!("{} did not have it in force in time", name(who)),
            Reason::Unreachable(who) => format!("{} gives no answer", name(who)),
            Reason::NotReady(who) => format!("{} is not ready", name(who)),
            Reason::Restarted(who) => format!("{} ended and began again", name(who)),
            Reason::Reverted(who) => format!("{} runs with the old settings again", name(who)),
            Reason::ChangedExternally(who) => {
                format!("{} runs with neither the old nor the new settings", name(who))
            }
            Reason::NoProgress(who) => format!("{} ends no tasks any more", name(who)),
            Reason::Worse(None, harm) => format!("changed schedulers do worse: {harm}"),
            Reason::Worse(Some(workload), harm) => {
                let workload = workloads.get(*workload).map_or("?", String::as_str);
                format!("changed schedulers do worse at {workload}: {harm}")
            }
            Reason::WorseThanBefore(harm) => format!("all do worse than before: {harm}"),
            Reason::TooFewTasks(None) => "too few tasks to tell".into(),
            Reason::TooFewTasks(Some(harm)) => format!("too few tasks to tell: {harm}"),
            Reason::FleetUnhealthy(share) => {
                format!("{:.0}% of all tasks do not finish before any change", share * 100.0)
            }
            Reason::Superseded(why) => format!("another run has the fleet: {why}"),
        }
    }
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let percent = |share: f64| share * 100.0;
        let (share, spread) = (percent(self.share), percent(self.std_dev));
        write!(f, "{share:+.1}% unfinished, spread {spread:.1}%, {:.0} tasks", self.tasks)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// The unchanged fleet is being watched; nothing has been changed yet.
    Planned,
    Running {
        stage: usize,
    },
    Stopping(Reason),
    /// All schedulers have the old settings. If the reason predates the first change, the run did not start.
    Undone(Reason),
    Done,
    /// These schedulers could not be undone.
    Stuck(Reason, Vec<usize>),
}

#[derive(Clone, Debug, Default)]
struct Member {
    last_observation: Option<Observation>,
    /// Since when it has not answered, and since when it has not been ready.
    unreachable_since: Option<Duration>,
    unready_since: Option<Duration>,
    /// A change was ordered and may be in force.
    changed: bool,
    /// The process that the change was ordered for; if unknown, the first one that had it in force.
    process: Option<u64>,
    /// Whether the scheduler confirmed the change, and whether it was observed with the new settings.
    change_confirmed: bool,
    change_observed: bool,
    undone: bool,
    /// An order was sent and its outcome is not known yet.
    order_pending: bool,
    /// When an order may be sent again, and the back-off after that.
    retry_at: Duration,
    backoff: Duration,
    /// Why the last order failed.
    last_error: Option<String>,
    /// Tasks that ended since the previous observation: in total, then by workload.
    delta: Vec<Count>,
    /// Tasks that ended before the change, and in this stage.
    baseline_ended: u64,
    ended: u64,
}

impl Member {
    fn new() -> Self {
        Member { backoff: MIN_BACKOFF, ..Member::default() }
    }

    fn back_off(&mut self, now: Duration) {
        (self.retry_at, self.backoff) = (now + self.backoff, (self.backoff * 2).min(MAX_BACKOFF));
    }

    /// Resets the back-off and pending orders.
    fn reset_orders(&mut self) {
        (self.order_pending, self.retry_at, self.backoff) = (false, Duration::ZERO, MIN_BACKOFF);
    }
}

/// Tasks that ended between two observations of one process: in total, then by workload.
fn count_delta(old: &Observation, new: &Observation) -> Option<Vec<Count>> {
    // Guards against counts that restart at 0 or arrive out of order.
    if old.process != new.process || old.totals.len() > new.totals.len() {
        return None;
    }
    let mut delta = vec![Count::default()];
    for (at, total) in new.totals.iter().enumerate() {
        let was = old.totals.get(at).copied().unwrap_or_default();
        let finished = total.finished.checked_sub(was.finished)?;
        let unfinished = (total.shed + total.broken_off).checked_sub(was.shed + was.broken_off)?;
        delta.push(Count { ended: finished + unfinished, unfinished });
        delta[0].ended += finished + unfinished;
        delta[0].unfinished += unfinished;
    }
    Some(delta)
}

fn add_sides(comparisons: &mut Vec<PairedComparison>, sides: &[(Count, Count)]) {
    comparisons.resize(comparisons.len().max(sides.len()), PairedComparison::default());
    comparisons
        .iter_mut()
        .zip(sides)
        .for_each(|(comparison, (changed, unchanged_side))| comparison.add(*changed, *unchanged_side));
}

#[derive(Clone, Debug)]
pub struct Rollout {
    plan: Plan,
    members: Vec<Member>,
    state: State,
    /// When the state began; within a stage, `watching_since` is when its last scheduler was changed.
    state_since: Duration,
    watching_since: Option<Duration>,
    /// The two groups of each stage before the change, by stage and row (in total, then by workload).
    baseline: Vec<Vec<PairedComparison>>,
    /// The two groups of this stage, by row.
    comparisons: Vec<PairedComparison>,
    /// The whole fleet before the change, for how long, and in this stage.
    fleet_baseline: Arm,
    baseline_time: Duration,
    fleet: Arm,
    harm: Option<Harm>,
}

impl Rollout {
    /// A run that has not started. `plan` names each scheduler once.
    pub fn new(plan: Plan, now: Duration) -> Self {
        let members = vec![Member::new(); plan.stages.iter().map(Vec::len).sum()];
        let baseline = vec![Vec::new(); plan.stages.len()];
        Rollout {
            plan,
            members,
            state: State::Planned,
            state_since: now,
            watching_since: None,
            baseline,
            comparisons: Vec::new(),
            fleet_baseline: Arm::default(),
            baseline_time: Duration::ZERO,
            fleet: Arm::default(),
            harm: None,
        }
    }

    /// Resumes a run that was interrupted in `stage`, with these schedulers possibly changed. The baseline is
    /// lost, so the stage is watched again by comparison alone.
    pub fn resumed(plan: Plan, stage: usize, changed: &[usize], now: Duration) -> Self {
        let mut rollout = Rollout::new(plan, now);
        changed.iter().for_each(|&who| rollout.members[who].changed = true);
        rollout.begin_stage(stage, now);
        rollout
    }

    /// Only undoes what an earlier run may have changed, whatever its state.
    pub fn undoing(plan: Plan, changed: &[usize], why: Reason, now: Duration) -> Self {
        let mut rollout = Rollout::new(plan, now);
        changed.iter().for_each(|&who| rollout.members[who].changed = true);
        rollout.start_undo(why, now);
        rollout
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Undone(_) | State::Done | State::Stuck(..))
    }

    /// The comparison in total, as of the last decision in this stage.
    pub fn harm(&self) -> Option<Harm> {
        self.harm
    }

    pub fn last_observation(&self, who: usize) -> Option<&Observation> {
        self.members[who].last_observation.as_ref().filter(|_| self.members[who].unreachable_since.is_none())
    }

    /// Why the last order to this scheduler failed.
    pub fn last_error(&self, who: usize) -> Option<&str> {
        self.members[who].last_error.as_deref()
    }

    /// Records an observation of a scheduler, or none if it gave no usable answer.
    pub fn observe(&mut self, who: usize, seen: Option<Observation>, now: Duration) {
        let member = &mut self.members[who];
        let Some(seen) = seen else {
            member.unreachable_since.get_or_insert(now);
            return;
        };
        member.unreachable_since = None;
        if seen.ready {
            member.unready_since = None;
        } else {
            member.unready_since.get_or_insert(now);
        }
        // Tasks that ended before the change took effect say nothing about it, so an observation counts only
        // if the settings were the same as in the previous one.
        let same = member.last_observation.as_ref().filter(|old| old.settings == seen.settings);
        if let Some(delta) = same.and_then(|old| count_delta(old, &seen)) {
            member.delta = delta;
        }
        member.last_observation = Some(seen);
    }

    /// Records the outcome of an order. An outcome that arrives after the run started to undo has no effect:
    /// undoing relies on observations.
    pub fn record_outcome(&mut self, order: Order, outcome: Outcome, now: Duration) {
        let back = matches!(self.state, State::Stopping(_));
        let (Order::Change(who) | Order::Undo(who)) = order;
        if back != matches!(order, Order::Undo(_)) || self.is_over() {
            return;
        }
        let member = &mut self.members[who];
        member.order_pending = false;
        member.last_error = match &outcome {
            Outcome::Done => None,
            Outcome::Refused(why) | Outcome::Unknown(why) => Some(why.clone()),
        };
        match (order, outcome) {
            (Order::Change(_), Outcome::Done) => {
                member.change_confirmed = true;
                member.back_off(now);
            }
            (Order::Undo(_), Outcome::Done) => member.undone = true,
            (Order::Change(_), Outcome::Refused(why)) => self.start_undo(Reason::Refused(who, why), now),
            // A time-out is inconclusive: the next observation shows whether the change is in force.
            (_, Outcome::Unknown(_) | Outcome::Refused(_)) => member.back_off(now),
        }
    }

    /// Stops the run and undoes it. No effect on a run that is over or already undoing.
    pub fn stop(&mut self, why: Reason, now: Duration) {
        if matches!(self.state, State::Planned | State::Running { .. }) {
            self.start_undo(why, now);
        }
    }

    /// Another run has taken over the fleet: this one makes no further change.
    pub fn supersede(&mut self, why: String) {
        if self.is_over() {
            return;
        }
        let changed = self.changed();
        self.state = match changed.is_empty() {
            true => State::Undone(Reason::Superseded(why)),
            false => State::Stuck(Reason::Superseded(why), changed),
        };
    }

    /// Schedulers for which a change was ordered and not undone.
    pub fn changed(&self) -> Vec<usize> {
        let members = self.members.iter().enumerate();
        members.filter(|(_, m)| m.changed && !m.undone).map(|(who, _)| who).collect()
    }

    /// Adds the observations of one moment to the groups of their schedulers.
    fn collect(&mut self, now: Duration) {
        if self.members.iter().all(|member| member.delta.is_empty()) {
            return;
        }
        let mut fleet = Count::default();
        self.members.iter().for_each(|member| fleet += member.delta.first().copied().unwrap_or_default());
        match self.state {
            State::Planned => {
                for stage in 0..self.plan.stages.len() {
                    let sides = self.sides(stage);
                    add_sides(&mut self.baseline[stage], &sides);
                }
                self.fleet_baseline.add(fleet);
                self.baseline_time = now.saturating_sub(self.state_since);
            }
            State::Running { stage } if self.watching_since.is_some() => {
                let sides = self.sides(stage);
                add_sides(&mut self.comparisons, &sides);
                self.fleet.add(fleet);
            }
            _ => {}
        }
        let (planned, watching) = (self.state == State::Planned, self.watching_since.is_some());
        for member in &mut self.members {
            let ended = member.delta.first().map_or(0, |count| count.ended);
            member.baseline_ended += if planned { ended } else { 0 };
            member.ended += if watching { ended } else { 0 };
            member.delta.clear();
        }
    }

    /// The observed counts of the two groups of a stage, by row.
    fn sides(&self, stage: usize) -> Vec<(Count, Count)> {
        let rows = self.members.iter().map(|member| member.delta.len()).max().unwrap_or(0);
        let mut sides = vec![(Count::default(), Count::default()); rows];
        for (who, member) in self.members.iter().enumerate() {
            let changed = self.in_changed_group(stage, who);
            for ((changed_side, unchanged_side), count) in sides.iter_mut().zip(&member.delta) {
                *(if changed { changed_side } else { unchanged_side }) += *count;
            }
        }
        sides
    }

    /// Whether a scheduler belongs to the changed group. In the last stage no scheduler is unchanged: those
    /// just changed are compared with those that passed earlier stages.
    fn in_changed_group(&self, stage: usize, who: usize) -> bool {
        let last = stage + 1 == self.plan.stages.len();
        let from = if last { stage } else { 0 };
        self.plan.stages[from..=stage].iter().any(|stage| stage.contains(&who))
    }

    /// The next order, if one is due. Call until it returns none.
    pub fn next_order(&mut self, now: Duration) -> Option<Order> {
        self.collect(now);
        match self.state.clone() {
            State::Planned => {
                self.check_baseline(now);
                matches!(self.state, State::Running { .. }).then(|| self.next_order(now)).flatten()
            }
            State::Running { stage } => {
                if let Some(why) = self.unexpected_state().or_else(|| self.unreachable_or_unready(now)) {
                    self.start_undo(why, now);
                    return self.next_order(now);
                }
                if let Some(from) = self.watching_since {
                    self.evaluate_stage(stage, from, now);
                    return matches!(self.state, State::Stopping(_)).then(|| self.next_order(now)).flatten();
                }
                self.change_stage(stage, now)
            }
            State::Stopping(why) => self.undo_next(why, now),
            State::Undone(_) | State::Done | State::Stuck(..) => None,
        }
    }

    /// Checks the unchanged fleet: all ready, all with the old settings, for one watch period.
    fn check_baseline(&mut self, now: Duration) {
        let late = now.saturating_sub(self.state_since) >= self.plan.change_timeout;
        let mut all_ready = true;
        for who in 0..self.members.len() {
            let member = &self.members[who];
            let reason = match &member.last_observation {
                Some(seen) if seen.settings != SettingsVersion::Old => Some(Reason::ChangedExternally(who)),
                Some(seen) if seen.ready && member.unreachable_since.is_none() => None,
                Some(_) if late && member.unreachable_since.is_none() => Some(Reason::NotReady(who)),
                _ if late => Some(Reason::Unreachable(who)),
                _ => {
                    all_ready = false;
                    None
                }
            };
            if let Some(why) = reason {
                self.state = State::Undone(why);
                return;
            }
        }
        let watched = now.saturating_sub(self.state_since);
        let unfinished = self.fleet_baseline.share();
        if all_ready
            && watched >= self.plan.min_watch
            && unfinished > MAX_BASELINE_UNFINISHED
            && self.fleet_baseline.ended() > 0.0
        {
            self.state = State::Undone(Reason::FleetUnhealthy(unfinished));
            return;
        }
        if all_ready
            && watched >= self.plan.min_watch
            && (self.baseline_is_precise() || watched >= self.plan.max_watch)
        {
            self.begin_stage(0, now);
        }
    }

    /// Whether the baseline is precise enough to distinguish existing differences of the first stage from a
    /// harm. A single stage with all schedulers is compared with its past only.
    fn baseline_is_precise(&self) -> bool {
        match self.plan.stages.len() {
            1 => self.fleet_baseline.ended() > 0.0,
            _ => self.baseline[0].first().is_some_and(|comparison| {
                comparison.tasks() > 0.0 && comparison.std_dev() <= MAX_BASELINE_SPREAD * self.plan.worse_by
            }),
        }
    }

    fn begin_stage(&mut self, stage: usize, now: Duration) {
        (self.state, self.state_since, self.watching_since, self.harm) =
            (State::Running { stage }, now, None, None);
        (self.comparisons, self.fleet) = (Vec::new(), Arm::default());
        self.members.iter_mut().for_each(|member| {
            member.ended = 0;
            member.reset_orders();
        });
    }

    /// Starts to undo all changes that may be in force.
    fn start_undo(&mut self, why: Reason, now: Duration) {
        (self.state, self.state_since, self.watching_since) = (State::Stopping(why), now, None);
        self.members.iter_mut().for_each(Member::reset_orders);
    }

    /// Reasons to stop at once without statistics: a scheduler is not in the expected state.
    fn unexpected_state(&self) -> Option<Reason> {
        for (who, member) in self.members.iter().enumerate() {
            let Some(seen) = member.last_observation.as_ref().filter(|_| member.unreachable_since.is_none())
            else {
                continue;
            };
            // Guards against a crash caused by the new settings that a quick restart hides.
            if member.changed && member.process.is_some_and(|process| process != seen.process) {
                return Some(Reason::Restarted(who));
            }
            match (member.changed, seen.settings) {
                (true, SettingsVersion::Old) if member.change_observed => return Some(Reason::Reverted(who)),
                (_, SettingsVersion::Other) | (false, SettingsVersion::New) => {
                    return Some(Reason::ChangedExternally(who))
                }
                _ => {}
            }
        }
        None
    }

    fn unreachable_or_unready(&self, now: Duration) -> Option<Reason> {
        let long = |from: Option<Duration>, most| from.is_some_and(|from| now.saturating_sub(from) >= most);
        self.members.iter().enumerate().find_map(|(who, member)| {
            // A scheduler of a later stage may be away for as long as a change may take. Beyond that the run
            // cannot complete, and too few schedulers may be left to compare with.
            let changed = member.change_confirmed || member.change_observed;
            let most =
                if changed { UNREACHABLE_TIMEOUT } else { self.plan.change_timeout.max(UNREACHABLE_TIMEOUT) };
            match member {
                _ if long(member.unreachable_since, most) => Some(Reason::Unreachable(who)),
                _ if changed && long(member.unready_since, most) => Some(Reason::NotReady(who)),
                _ => None,
            }
        })
    }

    /// Changes the schedulers of this stage, and begins to watch once the change is in force on all and all
    /// are ready.
    fn change_stage(&mut self, stage: usize, now: Duration) -> Option<Order> {
        let late = now.saturating_sub(self.state_since) >= self.plan.change_timeout;
        let schedulers: Vec<usize> = self.plan.stages[..=stage].concat();
        let mut all_ready = true;
        for &who in &schedulers {
            let member = &mut self.members[who];
            let answers = member.last_observation.as_ref().filter(|_| member.unreachable_since.is_none());
            if let Some(seen) =
                answers.filter(|seen| member.changed && seen.settings == SettingsVersion::New && seen.ready)
            {
                member.change_observed = true;
                member.process.get_or_insert(seen.process);
                continue;
            }
            all_ready = false;
            if late {
                self.start_undo(Reason::ChangeTimedOut(who), now);
                return self.next_order(now);
            }
            // Orders the change only at schedulers observed with the old settings: after a time-out the first
            // order may still be in transit.
            let old = answers.filter(|seen| seen.settings == SettingsVersion::Old).map(|seen| seen.process);
            if let Some(process) = old.filter(|_| !member.order_pending && now >= member.retry_at) {
                (member.changed, member.order_pending) = (true, true);
                if !self.plan.replaces_process {
                    member.process.get_or_insert(process);
                }
                return Some(Order::Change(who));
            }
        }
        self.watching_since = all_ready.then_some(now);
        None
    }

    /// Compares the groups, and ends the stage with success or an undo.
    fn evaluate_stage(&mut self, stage: usize, from: Duration, now: Duration) {
        let watched = now.saturating_sub(from);
        let last = stage + 1 == self.plan.stages.len();
        let rows = self.comparisons.len();
        // Each row of each stage is a test of its own; together they keep the error rate.
        let error = self.plan.error / (self.plan.stages.len() * (rows.max(1) + 1)) as f64;
        let worse_by = self.plan.worse_by;
        let all_tasks = self.comparisons.first().map_or(0.0, PairedComparison::tasks);
        let mut fine = rows > 0;
        for (row, comparison) in self.comparisons.iter().enumerate() {
            let baseline = self.baseline[stage].get(row).copied().unwrap_or_default();
            let harm = comparison.harm(&baseline);
            if row == 0 {
                self.harm = harm;
            }
            if let Some(harm) = harm.filter(|harm| harm.is_worse(worse_by, error)) {
                return self.start_undo(Reason::Worse(row.checked_sub(1), harm), now);
            }
            let must_pass = row == 0 || comparison.tasks() >= MIN_WORKLOAD_SHARE * all_tasks;
            fine &= !must_pass || harm.is_some_and(|harm| harm.is_acceptable(worse_by));
        }
        if last {
            let past_harm = against_past(&self.fleet, &self.fleet_baseline);
            if let Some(harm) = past_harm.filter(|harm| harm.is_worse(PAST_FACTOR * worse_by, error)) {
                return self.start_undo(Reason::WorseThanBefore(harm), now);
            }
            if stage == 0 {
                // No other schedulers exist, so only the past can be compared.
                (self.harm, fine) = (past_harm, past_harm.is_some_and(|harm| harm.is_acceptable(worse_by)));
            }
        }
        if watched < self.plan.min_watch {
            return;
        }
        if let Some(who) = self.stalled_scheduler() {
            return self.start_undo(Reason::NoProgress(who), now);
        }
        match (fine, last) {
            (true, true) => self.state = State::Done,
            (true, false) => self.begin_stage(stage + 1, now),
            (false, _) if watched >= self.plan.max_watch => {
                self.start_undo(Reason::TooFewTasks(self.harm), now)
            }
            (false, _) => {}
        }
    }

    /// Guards against a scheduler that answers while its counters do not advance: beside busy ones of its
    /// stage it would go unnoticed.
    fn stalled_scheduler(&self) -> Option<usize> {
        let min_ended = MIN_ACTIVE_RATE * self.baseline_time.as_secs_f64().max(1.0);
        let stalled = |member: &Member| {
            member.change_observed && member.baseline_ended as f64 >= min_ended && member.ended == 0
        };
        self.members.iter().position(stalled)
    }

    /// Undoes all changes that may be in force, latest first. Failed attempts are repeated with back-off
    /// until the time-out.
    fn undo_next(&mut self, why: Reason, now: Duration) -> Option<Order> {
        let late = now.saturating_sub(self.state_since) >= self.plan.undo_timeout;
        let mut left = Vec::new();
        let schedulers: Vec<usize> = self.plan.stages.concat();
        for &who in schedulers.iter().rev() {
            let member = &mut self.members[who];
            if !member.changed || member.undone {
                continue;
            }
            if !late && !member.order_pending && now >= member.retry_at {
                member.order_pending = true;
                return Some(Order::Undo(who));
            }
            left.push(who);
        }
        if left.is_empty() {
            self.state = State::Undone(why);
        } else if late {
            left.sort_unstable();
            self.state = State::Stuck(why, left);
        }
        None
    }
}
