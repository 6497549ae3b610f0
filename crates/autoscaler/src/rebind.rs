//! Moves of instances within the autoscaler's pass: the input of the mover, the execution of its orders, and
//! when a plan is made. See `docs/design/rebinding.md`, "Who calls it".

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tindock_instance_migration as moving;
use tindock_instance_migration::{
    Conditions, Fleet, MovePolicy, Mover, Obstacle, Outcome, Plan, Progress, Resources, Separation,
    ServiceNeed,
};
use tindock_instance_migration::{FleetView, InstanceView, Serving};

pub(crate) use tindock_instance_migration::StartOutcome;

use crate::capacity::HostCapacity;
use crate::registry::{InstanceRecord, Registry};
use crate::scaler::{Scaler, Start};
use crate::types::{InstanceState, Order};

/// A start that found no free capacity is expected to be retried for this long.
const START_EXPECTED_FOR: Duration = Duration::from_secs(20);
/// Blocked starts that a plan makes room for at once.
const MAX_EXPECTED_STARTS: usize = 4;
/// Interval between attempts to make a plan while one is needed.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// No moves for this long after a disturbance (a lost instance, a failed call) or a configuration change.
const DISTURBANCE_PAUSE: Duration = Duration::from_secs(2);
const CONFIGURATION_PAUSE: Duration = Duration::from_secs(5);
/// A new lease holder may lack the demand of some slot allocators for this long after the registry is
/// complete.
const SETTLING_PAUSE: Duration = Duration::from_secs(3);
/// The wanted slots are compared with those of this long ago.
const GROWTH_WINDOW: Duration = Duration::from_secs(10);
/// An instance that accepted connections for this long, and for three mean run times, without a reported loss
/// counts as having answered.
const ANSWERED_AFTER: Duration = Duration::from_secs(1);
/// Finished moves kept for operators.
const MAX_FINISHED: usize = 32;
/// With more instances no plan is searched for: the search runs on the fraction of a core that also renews
/// the lease.
const MAX_PLANNED_INSTANCES: usize = 2000;
const PROBES: u64 = 20_000;

/// Which instances may be moved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rebinding {
    /// None, and no plan is made.
    #[default]
    Off,
    /// None automatically; operators may request a plan and run it.
    Plan,
    /// Those whose move makes room for a blocked start.
    Holes,
    /// Also urgent instances of one function that share a host.
    All,
}

/// Why a plan requested by operators was not made or run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    Off,
    /// Moves are in progress.
    Busy,
    /// More instances than a plan is searched for.
    TooLarge,
    Blocked(Obstacle),
}

/// State of the moves, for operators.
#[derive(Clone, Debug, Default)]
pub struct RebindingStatus {
    pub mode: Rebinding,
    pub paused: bool,
    /// Why a plan would not be run now.
    pub blocked_by: Option<Obstacle>,
    pub moves: Vec<Progress>,
    /// Moves of the plan that have not begun.
    pub waiting: usize,
    /// Functions whose starts find no free capacity.
    pub blocked_functions: Vec<String>,
    /// The last finished moves, the newest last, with the time since then.
    pub finished: Vec<(Duration, String, Outcome)>,
}

#[derive(Debug)]
enum PendingCall {
    Begin { service: String, host: String, nonce: String, replaces: String },
    Stop(String),
}

/// The moves in progress of one function. The old and the new instance of a move count as one.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    instances: BTreeSet<String>,
    uncounted: BTreeSet<String>,
    /// Zones of new instances that are not started yet and whose old instance no longer counts.
    pub(crate) awaited_zones: Vec<String>,
}

impl Moves {
    pub(crate) fn holds(&self, instance: &str) -> bool {
        self.instances.contains(instance)
    }

    pub(crate) fn counts(&self, instance: &str) -> bool {
        !self.uncounted.contains(instance)
    }
}

#[derive(Debug)]
pub(crate) struct Rebind {
    mode: Rebinding,
    mover: Mover,
    policy: MovePolicy,
    observed: bool,
    seed: u64,
    /// Functions whose starts found no free capacity, with the first and the last time.
    blocked_starts: BTreeMap<String, (Duration, Duration)>,
    slot_history: VecDeque<(Duration, u32)>,
    last_disturbance: Option<Duration>,
    last_configuration: Option<Duration>,
    settled_since: Option<Duration>,
    /// Since when the slots of an instance are no longer allocated.
    unallocated_since: BTreeMap<String, Duration>,
    pending_calls: VecDeque<PendingCall>,
    last_plan: Option<Duration>,
    finished: VecDeque<(Duration, String, Outcome)>,
}

impl Rebind {
    pub(crate) fn record_blocked(&mut self, now: Duration, service: &str) {
        if self.blocked_starts.len() < 256 || self.blocked_starts.contains_key(service) {
            self.blocked_starts.entry(service.to_string()).or_insert((now, now)).1 = now;
        }
    }

    pub(crate) fn has_orders(&self) -> bool {
        !self.pending_calls.is_empty()
    }

    pub(crate) fn moves_of(&self, service: &str, registry: &Registry, capacity: &HostCapacity) -> Moves {
        let mut moves = Moves::default();
        if self.mover.idle() {
            return moves;
        }
        for p in self.mover.progress().into_iter().filter(|p| p.service == service) {
            let counts = |id: &str| registry.get(id).is_some_and(InstanceRecord::counts);
            let old = counts(&p.instance);
            let new = p.new.as_deref().is_some_and(counts);
            if let Some(id) = p.new.clone().filter(|_| p.undoing || old) {
                moves.uncounted.insert(id);
            }
            if let Some(to) = p.to.as_deref().filter(|_| !p.undoing && !old && !new) {
                moves.awaited_zones.push(capacity.zone(to).unwrap_or_default().to_string());
            }
            moves.instances.insert(p.instance);
            moves.instances.extend(p.new);
        }
        moves
    }

    fn recently_blocked(&self, now: Duration) -> impl Iterator<Item = &String> {
        self.blocked_starts.iter().filter(move |b| b.1 .1 + START_EXPECTED_FOR > now).map(|b| b.0)
    }
}

impl Scaler {
    /// Sets what may be moved; to be called once, before the first pass. `Off` by default.
    pub fn set_rebinding(&mut self, now: Duration, mode: Rebinding) {
        self.rebind = (mode != Rebinding::Off).then(|| {
            Box::new(Rebind {
                mode,
                mover: Mover::new(self.tag, now, moving::MoverSettings::default()),
                policy: MovePolicy::new(now),
                observed: false,
                seed: self.tag,
                blocked_starts: BTreeMap::new(),
                slot_history: VecDeque::new(),
                last_disturbance: None,
                last_configuration: None,
                settled_since: None,
                unallocated_since: BTreeMap::new(),
                pending_calls: VecDeque::new(),
                last_plan: None,
                finished: VecDeque::new(),
            })
        });
    }

    /// A configuration change is being distributed: nothing is moved for a while.
    pub fn configuration_changing(&mut self, now: Duration) {
        if let Some(r) = &mut self.rebind {
            r.last_configuration = Some(now);
        }
    }

    pub(crate) fn note_disturbance(&mut self, now: Duration) {
        if let Some(r) = &mut self.rebind {
            r.last_disturbance = Some(now);
        }
    }

    pub(crate) fn move_start_answered(&mut self, now: Duration, start: &Start, outcome: StartOutcome) {
        if let Some(r) = self.rebind.as_mut().filter(|_| start.replaces.is_some()) {
            let again = match &outcome {
                StartOutcome::Started { instance } => {
                    self.tombstones.contains_key(instance).then(|| instance.clone())
                }
                StartOutcome::Refused => None,
            };
            r.mover.start_answered(now, &start.nonce, outcome);
            // The repeated start of a previous lease holder, whose instance has ended since.
            if let Some(instance) = again {
                r.mover.instance_ended(&instance);
            }
        }
    }

    pub(crate) fn move_instance_ended(&mut self, instance: &str) {
        if let Some(r) = &mut self.rebind {
            r.mover.instance_ended(instance);
        }
    }

    pub(crate) fn rebind_pass(&mut self, now: Duration) {
        let Some(mut r) = self.rebind.take() else { return };
        // The caller runs no pass after the end of the lease.
        r.mover.extend_lease(now + 2 * self.tuning.pass_interval);
        r.blocked_starts.retain(|name, b| b.1 + START_EXPECTED_FOR > now && self.services.contains_key(name));
        if self.registry.settled {
            r.settled_since.get_or_insert(now);
        }
        if self.registry.settled && (!r.observed || !r.mover.idle()) {
            r.observed = true;
            self.step_moves(now, &mut r);
        }
        let conditions = self.conditions(now, &mut r);
        let obstacle = r.policy.observe(now, &conditions);
        let wants = match r.mode {
            Rebinding::Off | Rebinding::Plan => false,
            Rebinding::Holes => self.blocked_starts_that_fit(now, &r).next().is_some(),
            Rebinding::All => true,
        };
        let due = r.last_plan.is_none_or(|p| p + PLAN_INTERVAL <= now);
        if wants && due && obstacle.is_none() {
            r.last_plan = Some(now);
            let _ = self.run_plan(now, &mut r);
        }
        self.rebind = Some(r);
    }

    /// Blocked starts that would fit into the free memory of all hosts together.
    fn blocked_starts_that_fit<'a>(
        &'a self,
        now: Duration,
        r: &'a Rebind,
    ) -> impl Iterator<Item = (&'a str, Resources)> + 'a {
        let free: u64 = self.capacity.all(now).filter(|h| h.4).map(|h| u64::from(h.3)).sum();
        r.recently_blocked(now)
            .filter_map(|name| self.services.get(name))
            .map(|service_state| {
                (service_state.spec.name.as_str(), Resources::mb(service_state.spec.memory_mb))
            })
            .filter(move |s| u64::from(s.1.memory_mb) <= free)
            .take(MAX_EXPECTED_STARTS)
    }

    fn conditions(&self, now: Duration, r: &mut Rebind) -> Conditions {
        let (mut waiting, mut slots) = (0, 0u32);
        for (name, service_state) in &self.services {
            // Calls waiting for a blocked start do not count: they must not prevent the move that makes room
            // for it.
            if r.blocked_starts.contains_key(name) {
                continue;
            }
            waiting += self.demands(now, service_state).1;
            slots =
                slots.saturating_add(service_state.target.saturating_mul(service_state.spec.max_inflight));
        }
        while r.slot_history.front().is_some_and(|s| s.0 + GROWTH_WINDOW < now) {
            r.slot_history.pop_front();
        }
        let before = r.slot_history.front().map_or(slots, |s| s.1);
        r.slot_history.push_back((now, slots));
        let within = |at: Option<Duration>, lasts: Duration| at.is_some_and(|at| now < at + lasts);
        Conditions {
            waiting,
            growth: f64::from(slots) / f64::from(before.max(1)),
            disturbed: within(r.last_disturbance, DISTURBANCE_PAUSE),
            configuring: within(r.last_configuration, CONFIGURATION_PAUSE),
            settled: r.settled_since.is_some_and(|s| s + SETTLING_PAUSE <= now),
        }
    }

    fn host_list(&self, now: Duration) -> Vec<moving::Host> {
        let host = |(name, zone, total, free, up): (&str, &str, u32, u32, bool)| moving::Host {
            name: name.to_string(),
            zone: zone.to_string(),
            total: Resources::mb(total),
            free: Resources::mb(free),
            up,
        };
        self.capacity.all(now).map(host).collect()
    }

    fn step_moves(&mut self, now: Duration, r: &mut Rebind) {
        let hosts = self.host_list(now);
        let mut needs = Vec::with_capacity(self.services.len());
        let mut runs = BTreeMap::<&str, Duration>::new();
        for (name, service_state) in &self.services {
            let (demands, _) = self.demands(now, service_state);
            let run = demands.iter().map(|p| p.run_ms).fold(0.0, f64::max);
            runs.insert(name, Duration::from_secs_f64(3.0 * run / 1e3));
            needs.push(ServiceNeed {
                service: name.clone(),
                urgent: !self.tuning.scales_to_zero(&service_state.spec),
                required: service_state.target,
                // Surplus instances are stopped by the autoscaler itself.
                desired: None,
                boot: Duration::from_millis(service_state.spec.boot_ms.into()),
                size: Resources::mb(service_state.spec.memory_mb),
                idle: demands.iter().all(|p| p.peak == 0.0 && p.rate < 0.05),
            });
        }
        let replaced: BTreeSet<&str> =
            self.registry.all().filter_map(|h| h.entry.replaces.as_deref()).collect();
        let seen = |h: &InstanceRecord| {
            let e = &h.entry;
            let moved = r.mover.manages(&e.instance)
                || e.replaces.is_some()
                || replaced.contains(e.instance.as_str());
            // Instances that the autoscaler stops are not the mover's.
            if e.state == InstanceState::Ending && !moved {
                return None;
            }
            let span = runs.get(e.service.as_str()).copied().unwrap_or_default();
            // Slot allocators report no calls by instance, so this waits as long as a stop by the autoscaler
            // does.
            let ends = r.unallocated_since.get(&e.instance).copied();
            let span_end = span.max(self.tuning.stop_delay).min(self.tuning.max_stop_delay);
            Some(InstanceView {
                instance: e.instance.clone(),
                service: e.service.clone(),
                host: e.host.clone(),
                state: match e.state {
                    InstanceState::Starting => moving::InstanceState::Starting,
                    InstanceState::Ready => moving::InstanceState::Ready,
                    InstanceState::Draining => moving::InstanceState::Draining,
                    InstanceState::Ending => moving::InstanceState::Ending,
                },
                serving: match h.ready_since {
                    Some(at) if h.listed && at + span.max(ANSWERED_AFTER) <= now => Serving::Answered,
                    Some(_) => Serving::Accepts,
                    None => Serving::No,
                },
                slots_in_use: ends.filter(|at| *at + span_end <= now).map(|_| 0),
                replaces: e.replaces.clone(),
            })
        };
        let seen: Vec<InstanceView> = self.registry.all().filter_map(seen).collect();
        let view = FleetView { instances: &seen, hosts: &hosts, needs: &needs, complete: true };
        let orders = r.mover.update(now, &view);
        for order in orders {
            self.apply_move_order(now, r, order);
        }
        for (instance, outcome) in r.mover.take_outcomes() {
            if matches!(outcome, Outcome::Kept | Outcome::NoRoom) {
                r.policy.run_incomplete(now);
            }
            r.finished.push_back((now, instance, outcome));
            while r.finished.len() > MAX_FINISHED {
                r.finished.pop_front();
            }
        }
        r.unallocated_since.retain(|id, _| r.mover.manages(id));
        // The new instance of a finished move no longer names the old one.
        let over = |h: &&InstanceRecord| h.entry.replaces.as_ref().is_some_and(|old| !r.mover.manages(old));
        for id in self.registry.all().filter(over).map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            self.registry.update(&id, |h| h.entry.replaces = None);
        }
    }

    fn apply_move_order(&mut self, now: Duration, r: &mut Rebind, order: moving::Order) {
        match order {
            moving::Order::Begin { service, host, nonce, replaces, .. } => {
                // Already requested; the autoscaler repeats it itself.
                let requested = self.starts.values().any(|s| s.nonce == nonce)
                    || r.pending_calls
                        .iter()
                        .any(|t| matches!(t, PendingCall::Begin { nonce: n, .. } if *n == nonce));
                if !requested {
                    r.pending_calls.push_back(PendingCall::Begin { service, host, nonce, replaces });
                }
            }
            moving::Order::StopAllocating { instance, .. } => {
                r.unallocated_since.entry(instance.clone()).or_insert(now);
                self.registry.update(&instance, |h| h.entry.state = InstanceState::Ending);
                self.mark_dirty(&instance);
            }
            moving::Order::ResumeAllocating { instance, .. } => {
                r.unallocated_since.remove(&instance);
                self.registry.update(&instance, |h| {
                    if h.entry.state == InstanceState::Ending && !h.stop_sent {
                        let up = h.ready_since.is_some();
                        h.entry.state = if up { InstanceState::Ready } else { InstanceState::Starting };
                    }
                });
                self.mark_dirty(&instance);
            }
            moving::Order::Stop { instance, .. } => {
                let requested = self.pending_stops.values().any(|s| s.0 == instance)
                    || r.pending_calls.iter().any(|t| matches!(t, PendingCall::Stop(id) if *id == instance));
                if !requested {
                    r.pending_calls.push_back(PendingCall::Stop(instance));
                }
            }
        }
    }

    fn mark_dirty(&mut self, instance: &str) {
        if let Some(h) = self.registry.get(instance) {
            self.dirty.insert(h.entry.service.clone());
        }
    }

    /// The next call that a move needs.
    pub(crate) fn next_move_call(&mut self, now: Duration) -> Option<Order> {
        loop {
            let call = self.rebind.as_mut()?.pending_calls.pop_front()?;
            self.last_token += 1;
            let token = self.last_token;
            match call {
                PendingCall::Begin { service, host, nonce, replaces } => {
                    let Some(service_state) = self.services.get(&service) else { continue };
                    self.capacity.reserve(&host, token, service_state.spec.memory_mb, None);
                    let replaces = Some(replaces);
                    let start = Start { service, host, nonce, at: now, sent: false, attempts: 0, replaces };
                    self.starts.insert(token, start);
                    return self.send(now, token);
                }
                PendingCall::Stop(instance) => {
                    if let Some(h) = self.registry.record_mut(&instance) {
                        h.stop_sent = true;
                        if let Some(at) = h.stop_at.take() {
                            self.stop_queue.remove(&(at, instance.clone()));
                        }
                    }
                    self.rate_limiter.record_call(now);
                    self.pending_stops.insert(token, (instance.clone(), now + self.tuning.call_timeout));
                    return Some(Order::Stop { token, instance });
                }
            }
        }
    }

    fn make_plan(&self, now: Duration, r: &Rebind) -> Option<Plan> {
        if self.registry.all().count() > MAX_PLANNED_INSTANCES {
            return None;
        }
        let separation = if r.mode == Rebinding::Holes { Separation::empty() } else { Separation::HOST };
        let mut fleet = Fleet { hosts: self.host_list(now), ..Fleet::default() };
        fleet.expected_starts = self.blocked_starts_that_fit(now, r).map(|h| h.1).collect();
        let mut busy = BTreeMap::<(&str, &str), f64>::new();
        for (name, service_state) in &self.services {
            let count = self.registry.of_service(name).count() as u32;
            if count == 0 {
                continue;
            }
            let urgent = !self.tuning.scales_to_zero(&service_state.spec);
            fleet.functions.push(moving::Function {
                name: name.clone(),
                size: Resources::mb(service_state.spec.memory_mb),
                urgent,
                required: service_state.target.min(count),
                desired: count,
                boot_ms: service_state.spec.boot_ms,
                separation: if urgent { separation } else { Separation::empty() },
            });
            for p in self.demands(now, service_state).0 {
                let here = self.registry.of_service(name).filter(|h| h.entry.zone == p.zone).count().max(1);
                if let Some((zone, _)) = service_state.reports.get_key_value(&p.zone) {
                    busy.insert((name, zone), p.sustained_busy / here as f64);
                }
            }
        }
        for h in self.registry.all() {
            let e = &h.entry;
            let incomplete = self.services.get(&e.service).is_none_or(|s| s.present < s.target);
            let serving_now =
                e.state == InstanceState::Ready && h.listed && !h.host_leaving && h.missed_lists == 0;
            let blocked = r.blocked_starts.contains_key(&e.service);
            fleet.instances.push(moving::Instance {
                id: e.instance.clone(),
                function: e.service.clone(),
                host: e.host.clone(),
                load: busy.get(&(e.service.as_str(), e.zone.as_str())).copied().unwrap_or(0.0) as f32,
                age: now.saturating_sub(h.known_since),
                home_zone: e.zone.clone(),
                // The autoscaler replaces draining instances at once, sooner than a plan may run.
                movable: serving_now && !incomplete && !blocked && !r.mover.manages(&e.instance),
            });
        }
        let settings = moving::PlanSettings {
            instance_cost_gb_s: self.tuning.memory_cost_gb_s,
            start_cost: self.tuning.start_cost,
            crossing_cost_s: self.tuning.cross_zone_cost,
            // Swapping two instances would leave both out of service for a while, and would need calls
            // reported by instance.
            allow_break_before_make: false,
            max_probes: PROBES,
            ..moving::PlanSettings::default()
        };
        Some(moving::plan(&fleet, &settings, r.seed))
    }

    /// The plan that would be run now, and whether it may run.
    pub fn rebinding_plan(&mut self, now: Duration) -> Result<(Plan, Result<(), Obstacle>), RunRefusal> {
        let mut r = self.rebind.take().ok_or(RunRefusal::Off)?;
        let conditions = self.conditions(now, &mut r);
        let plan = self.make_plan(now, &r);
        let may = plan
            .as_ref()
            .map(|plan| r.policy.clone().approve(now, &conditions, plan, double_memory_cost(plan)));
        self.rebind = Some(r);
        plan.zip(may).ok_or(RunRefusal::TooLarge)
    }

    /// Makes a plan and runs it if conditions allow; returns the number of moves.
    pub fn rebinding_run(&mut self, now: Duration) -> Result<usize, RunRefusal> {
        let mut r = self.rebind.take().ok_or(RunRefusal::Off)?;
        let run = self.run_plan(now, &mut r);
        self.rebind = Some(r);
        run
    }

    fn run_plan(&mut self, now: Duration, r: &mut Rebind) -> Result<usize, RunRefusal> {
        if !r.mover.idle() {
            return Err(RunRefusal::Busy);
        }
        let conditions = self.conditions(now, r);
        // Saves the search for a plan that would not be run.
        if let Some(obstacle) = r.policy.observe(now, &conditions).or(r.policy.may_plan(now).err()) {
            return Err(RunRefusal::Blocked(obstacle));
        }
        let plan = self.make_plan(now, r).ok_or(RunRefusal::TooLarge)?;
        r.policy.approve(now, &conditions, &plan, double_memory_cost(&plan)).map_err(RunRefusal::Blocked)?;
        if !r.mover.accept_plan(&plan) {
            return Err(RunRefusal::Blocked(Obstacle::Unsettled));
        }
        r.seed = r.seed.wrapping_add(1);
        self.step_moves(now, r);
        Ok(plan.moves.len())
    }

    /// No move begins while paused; `undo` also cancels those whose new instance does not serve yet.
    pub fn rebinding_pause(&mut self, now: Duration, paused: bool, undo: bool) -> Result<(), RunRefusal> {
        let r = self.rebind.as_mut().ok_or(RunRefusal::Off)?;
        r.policy.paused = paused;
        r.mover.pause(paused);
        if undo {
            r.mover.cancel(now);
        }
        Ok(())
    }

    pub fn rebinding_status(&mut self, now: Duration) -> RebindingStatus {
        let Some(mut r) = self.rebind.take() else { return RebindingStatus::default() };
        let conditions = self.conditions(now, &mut r);
        let ago = |e: &(Duration, String, Outcome)| (now.saturating_sub(e.0), e.1.clone(), e.2);
        let status = RebindingStatus {
            mode: r.mode,
            paused: r.policy.paused,
            blocked_by: r.policy.observe(now, &conditions).or(r.policy.may_plan(now).err()),
            moves: r.mover.progress(),
            waiting: r.mover.pending_moves(),
            blocked_functions: r.recently_blocked(now).cloned().collect(),
            finished: r.finished.iter().map(ago).collect(),
        };
        self.rebind = Some(r);
        status
    }
}

/// Cost of the memory that a plan occupies twice, in units of the value of one call.
fn double_memory_cost(plan: &Plan) -> f64 {
    plan.overlap_mb_s as f64 / 1024.0 * moving::PlanSettings::default().instance_cost_gb_s
}
