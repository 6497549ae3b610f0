//! The mover: executes a plan, based on the fleet as seen at each update.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::types::{Host, Mode, Move, MoveReason, Plan, Resources};

/// State in the life cycle of an instance, as the autoscaler announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    Starting,
    Ready,
    /// The platform is removing it.
    Draining,
    /// Its slots are no longer allocated.
    Ending,
}

/// How far an instance is known to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Serving {
    No,
    /// It accepted a connection, or the platform's list shows it.
    Accepts,
    /// It answered a call.
    Answered,
}

/// An instance as the lease holder sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    pub instance: String,
    pub service: String,
    pub host: String,
    pub state: InstanceState,
    pub serving: Serving,
    /// Its slots in use; `None` if its slot allocator has not reported lately.
    pub slots_in_use: Option<u16>,
    /// The instance that it replaces, announced with its entry; the next lease holder continues the move from
    /// this.
    pub replaces: Option<String>,
}

/// Current need of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceNeed {
    pub service: String,
    pub urgent: bool,
    /// Serving instances that it needs to meet its latency target.
    pub required: u32,
    /// Instances to keep; `None` while this lease holder does not know the demand.
    pub desired: Option<u32>,
    /// Mean duration of a start.
    pub boot: Duration,
    pub size: Resources,
    /// It has no calls, so that a new instance can prove itself only by accepting a connection.
    pub idle: bool,
}

/// The fleet at one update.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    pub instances: &'a [InstanceView],
    /// Their free capacity takes all pending starts into account.
    pub hosts: &'a [Host],
    pub needs: &'a [ServiceNeed],
    /// The instances are known to be complete. Until then the mover gives no orders.
    pub complete: bool,
}

/// An action to take, under the number of the lease. Each is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start an instance under this nonce, repeatedly until [`Mover::start_answered`] is called; announce
    /// `replaces` with its entry.
    Begin { lease_number: u64, service: String, host: String, nonce: String, replaces: String },
    /// Announce it as ending, so that its slots are no longer allocated.
    StopAllocating { lease_number: u64, instance: String },
    /// Announce it as ready again.
    ResumeAllocating { lease_number: u64, instance: String },
    /// Stop it; confirmed by [`Mover::instance_ended`], or by its absence from the fleet.
    Stop { lease_number: u64, instance: String },
}

/// The result of a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    Started {
        instance: String,
    },
    /// No free capacity, or no such host or service: nothing was started. (Not for 429 or a missing response:
    /// repeat those with the same nonce.)
    Refused,
}

/// Phase of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start is requested, but not answered.
    Begun,
    /// The new instance exists, but is not known to serve.
    Coming,
    /// The old instance (when undoing, the new one) is released: its slots are no longer allocated, and its
    /// calls end.
    Letting,
    Stopping,
    /// The old instance is stopped before the new one starts; waits for free capacity.
    Out,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Moved,
    /// The new instance did not come up or was cancelled; it was stopped, and the old one serves as before.
    Undone,
    /// The platform refused the start.
    Refused,
    /// The target had no free capacity within [`MoverSettings::capacity_wait`].
    NoRoom,
    /// The old instance ended by itself.
    Gone,
    /// The function now needs both instances.
    Kept,
    /// The old instance was stopped first and the new one did not come in time: the autoscaler starts one
    /// when needed.
    LeftToScaler,
}

/// A move as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    pub instance: String,
    pub new: Option<String>,
    pub service: String,
    pub to: Option<String>,
    pub reason: MoveReason,
    pub phase: Phase,
    pub undoing: bool,
}

/// Limits and delays.
#[derive(Clone, Debug, PartialEq)]
pub struct MoverSettings {
    /// Maximum concurrent moves.
    pub max_concurrent: usize,
    /// Maximum concurrent moves that stop the old instance first.
    pub max_stopped_first: usize,
    /// Base of the time such an instance may be out of service, after which its start is left to the
    /// autoscaler.
    pub max_out_time: Duration,
    /// An order without a visible effect is repeated after this.
    pub repeat_after: Duration,
    /// A new instance must come up within this many mean start times ...
    pub boot_factor: u32,
    /// ... plus this.
    pub boot_slack: Duration,
    /// The new instance of a function without calls counts as serving after accepting connections for this
    /// long.
    pub idle_ready_after: Duration,
    /// Minimum time between the end of allocation and the stop, as slots allocated just before are not
    /// reported yet.
    pub min_stop_delay: Duration,
    /// Maximum time, if calls are still open; longer than any call may take.
    pub max_stop_delay: Duration,
    /// How long the next move of the plan waits for free capacity.
    pub capacity_wait: Duration,
    /// After this long an urgent function that needs both instances keeps both.
    pub keep_after: Duration,
    /// A new lease holder stops surplus instances from this ...
    pub surplus_from: Duration,
    /// ... to this time after its first update, one of a function at a time.
    pub surplus_to: Duration,
    /// For tests: an injected defect.
    #[doc(hidden)]
    pub defect: Option<InjectedDefect>,
}

impl Default for MoverSettings {
    fn default() -> MoverSettings {
        let ms = Duration::from_millis;
        MoverSettings {
            max_concurrent: 3,
            max_stopped_first: 2,
            max_out_time: ms(6000),
            repeat_after: ms(1500),
            boot_factor: 3,
            boot_slack: ms(3000),
            idle_ready_after: ms(1000),
            min_stop_delay: ms(600),
            max_stop_delay: ms(9000),
            capacity_wait: ms(10_000),
            keep_after: ms(8000),
            surplus_from: ms(3000),
            surplus_to: ms(30_000),
            defect: None,
        }
    }
}

/// Defects that the tests inject and must detect.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// The old instance is released as soon as the new one is started.
    EarlyHandover,
    /// Stops without waiting for open calls.
    StopsWithOpenCalls,
    /// The nonce contains the number of the lease.
    LeaseNumberInNonce,
    /// The required instances are not checked again at the handover.
    SkipsRequiredCheck,
    /// A new instance that does not come up is not stopped.
    AbandonsNewInstance,
    /// Allocation of the old instance does not resume when the new one is lost.
    SkipsResume,
    /// Gives orders after the end of the lease.
    OrdersAfterLeaseEnd,
    /// Begins all moves at once.
    UnlimitedMoves,
    /// Releases the old instance of urgent functions first, too.
    ReleasesUrgentFirst,
}

#[derive(Clone, Debug)]
struct ActiveMove {
    old: String,
    service: String,
    to: Option<String>,
    mode: Mode,
    phase: Phase,
    since: Duration,
    /// When allocation of the instance to be stopped ended.
    released_since: Option<Duration>,
    /// When the order of the current phase was last given.
    ordered_at: Option<Duration>,
    new: Option<String>,
    nonce: String,
    /// The move is being reverted: the new instance is released and stopped.
    undoing: bool,
    /// Since when the new instance accepts connections.
    accepting_since: Option<Duration>,
    /// Consecutive updates in which the awaited instance was missing.
    missed_updates: u8,
    /// The new instance was seen as started. Before that its absence means nothing: the autoscaler drops a
    /// start that is not listed in time, although the platform may still execute it.
    seen_started: bool,
    reason: MoveReason,
}

/// Executes plans; see the crate documentation.
#[derive(Debug)]
pub struct Mover {
    lease_number: u64,
    lease_until: Duration,
    first_update: Option<Duration>,
    resumed: bool,
    pub settings: MoverSettings,
    queue: VecDeque<Move>,
    head_since: Option<Duration>,
    active: Vec<ActiveMove>,
    /// Finished attempts by old instance and target; each further attempt gets another nonce.
    attempts: BTreeMap<(String, String), u32>,
    outcomes: Vec<(String, Outcome)>,
    ended: BTreeSet<String>,
    paused: bool,
}

/// Idempotency key of a start, at most 64 bytes. Depends only on the old instance, the target and the
/// attempt, so that every lease holder requests the same start and gets the same instance.
pub fn nonce(old: &str, host: &str, attempt: u32) -> String {
    let digest = |basis: u64| {
        old.bytes()
            .chain([0])
            .chain(host.bytes())
            .fold(basis, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    format!("rb.{:x}{:x}.{attempt}", digest(0xcbf2_9ce4_8422_2325), digest(0x9e37_79b9_7f4a_7c15))
}

impl Mover {
    /// `lease_number` is the number of the lease, which ends at `lease_until` unless [`Mover::extend_lease`]
    /// extends it.
    pub fn new(lease_number: u64, lease_until: Duration, settings: MoverSettings) -> Mover {
        Mover {
            lease_number,
            lease_until,
            first_update: None,
            resumed: false,
            settings,
            queue: VecDeque::new(),
            head_since: None,
            active: Vec::new(),
            attempts: BTreeMap::new(),
            outcomes: Vec::new(),
            ended: BTreeSet::new(),
            paused: false,
        }
    }

    /// Extends the lease to `lease_until` on the local clock.
    pub fn extend_lease(&mut self, lease_until: Duration) {
        self.lease_until = self.lease_until.max(lease_until);
    }

    /// Accepts a plan; false while an earlier one is in progress or before the first complete update.
    pub fn accept_plan(&mut self, plan: &Plan) -> bool {
        if !self.idle() || !self.resumed {
            return false;
        }
        self.queue = plan.moves.iter().cloned().collect();
        true
    }

    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.active.is_empty()
    }

    /// While paused no move begins; those in progress are finished.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Cancels the rest of the plan: new instances that do not serve yet are stopped, handovers are finished.
    pub fn cancel(&mut self, now: Duration) {
        self.queue.clear();
        let Mover { active, .. } = self;
        for a in active.iter_mut().filter(|a| matches!(a.phase, Phase::Begun | Phase::Coming)) {
            if a.mode == Mode::MakeBeforeBreak {
                revert(a, now);
            }
        }
    }

    pub fn progress(&self) -> Vec<Progress> {
        let report = |a: &ActiveMove| Progress {
            instance: a.old.clone(),
            new: a.new.clone(),
            service: a.service.clone(),
            to: a.to.clone(),
            reason: a.reason,
            phase: a.phase,
            undoing: a.undoing,
        };
        self.active.iter().map(report).collect()
    }

    /// Number of moves that have not begun.
    pub fn pending_moves(&self) -> usize {
        self.queue.len()
    }

    /// Moves that ended since the last call, by their old instance.
    pub fn take_outcomes(&mut self) -> Vec<(String, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Whether the instance is part of a move; then nothing else may end it, revive it or count it as
    /// surplus.
    pub fn manages(&self, instance: &str) -> bool {
        self.active.iter().any(|a| a.old == instance || a.new.as_deref() == Some(instance))
    }

    /// Takes the response to [`Order::Begin`].
    pub fn start_answered(&mut self, now: Duration, nonce: &str, outcome: StartOutcome) {
        let Some(at) = self.active.iter().position(|a| a.nonce == nonce && a.phase == Phase::Begun) else {
            return;
        };
        let a = &mut self.active[at];
        match outcome {
            StartOutcome::Started { instance } => {
                a.new = Some(instance);
                a.phase = if a.undoing { Phase::Letting } else { Phase::Coming };
                (a.since, a.ordered_at, a.missed_updates) = (now, None, 0);
            }
            StartOutcome::Refused => {
                let outcome = match (a.undoing, a.mode) {
                    (true, _) => Outcome::Undone,
                    (_, Mode::BreakBeforeMake { .. }) => Outcome::LeftToScaler,
                    _ => Outcome::Refused,
                };
                self.end(at, outcome);
            }
        }
    }

    /// The platform has ended the instance, or does not know it.
    pub fn instance_ended(&mut self, instance: &str) {
        if self.manages(instance) {
            self.ended.insert(instance.to_string());
        }
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        let a = self.active.remove(at);
        // Also if both instances were kept: with the same nonce a further start would be answered with the
        // earlier new instance, whether or not it still exists.
        if matches!(outcome, Outcome::Undone) || a.new.is_some() {
            if let Some(to) = &a.to {
                *self.attempts.entry((a.old.clone(), to.clone())).or_default() += 1;
            }
        }
        for id in [Some(&a.old), a.new.as_ref()].into_iter().flatten() {
            self.ended.remove(id);
        }
        self.outcomes.push((a.old, outcome));
    }

    fn defect(&self, defect: InjectedDefect) -> bool {
        self.settings.defect == Some(defect)
    }

    /// Takes the current fleet and returns the orders to execute. To be called several times a second.
    pub fn update(&mut self, now: Duration, view: &FleetView) -> Vec<Order> {
        let mut orders = Vec::new();
        if !view.complete || now >= self.lease_until && !self.defect(InjectedDefect::OrdersAfterLeaseEnd) {
            return orders;
        }
        let first_update = *self.first_update.get_or_insert(now);
        let snapshot = Snapshot::new(view);
        if !self.resumed {
            self.resumed = true;
            self.resume_moves(now, &snapshot);
        }
        if now >= first_update + self.settings.surplus_from && now < first_update + self.settings.surplus_to {
            self.stop_surplus(now, &snapshot);
        }
        let mut at = 0;
        while at < self.active.len() {
            match self.advance(now, at, &snapshot, &mut orders) {
                Some(outcome) => self.end(at, outcome),
                None => at += 1,
            }
        }
        self.begin_moves(now, &snapshot, &mut orders);
        orders
    }

    /// For a new lease holder: continues the moves of the previous one.
    fn resume_moves(&mut self, now: Duration, snapshot: &Snapshot) {
        for s in snapshot.view.instances {
            let Some(old) = &s.replaces else { continue };
            let Some(o) = snapshot.get(old) else { continue };
            // An ending new instance belongs to a move that is being reverted; the loop below continues with
            // it.
            if s.state == InstanceState::Ending || self.manages(old) {
                continue;
            }
            let mut a = active_move(
                now,
                old,
                &s.service,
                Some(s.host.clone()),
                Mode::MakeBeforeBreak,
                MoveReason::Surplus,
            );
            a.new = Some(s.instance.clone());
            a.phase = Phase::Coming;
            if o.state == InstanceState::Ending {
                (a.phase, a.released_since) = (Phase::Letting, Some(now));
            }
            self.active.push(a);
        }
        for s in snapshot.view.instances {
            if s.state == InstanceState::Ending && !self.manages(&s.instance) {
                let mut a = active_move(
                    now,
                    &s.instance,
                    &s.service,
                    None,
                    Mode::MakeBeforeBreak,
                    MoveReason::Surplus,
                );
                (a.phase, a.released_since) = (Phase::Letting, Some(now));
                self.active.push(a);
            }
        }
    }

    /// Stops surplus instances, which may come from a start of the previous lease holder that was never
    /// announced.
    fn stop_surplus(&mut self, now: Duration, snapshot: &Snapshot) {
        for need in snapshot.view.needs {
            let Some(desired) = need.desired else { continue };
            let of_service = || {
                snapshot.view.instances.iter().filter(|s| {
                    s.service == need.service
                        && matches!(s.state, InstanceState::Starting | InstanceState::Ready)
                })
            };
            let already_moving = self.active.iter().any(|a| a.service == need.service);
            if already_moving
                || self.active.len() >= self.settings.max_concurrent
                || of_service().count() as u32 <= desired.max(need.required)
            {
                continue;
            }
            // On a draining host, else on the least used one: a plan would have moved an instance away from
            // there.
            let candidate = of_service().filter(|s| s.state == InstanceState::Ready).min_by_key(|s| {
                let h = snapshot.hosts.get(s.host.as_str());
                let used = h.map_or(0, |h| h.total.memory_mb.saturating_sub(h.free.memory_mb));
                (h.is_some_and(|h| h.up), used, s.instance.clone())
            });
            if let Some(v) = candidate {
                let mut a = active_move(
                    now,
                    &v.instance,
                    &v.service,
                    None,
                    Mode::MakeBeforeBreak,
                    MoveReason::Surplus,
                );
                a.phase = Phase::Coming;
                self.active.push(a);
            }
        }
    }

    /// Whether the service of `a` has its required instances without the old one and without others being
    /// stopped.
    fn has_required_without(&self, snapshot: &Snapshot, a: &ActiveMove) -> bool {
        if self.defect(InjectedDefect::SkipsRequiredCheck) {
            return true;
        }
        let Some(need) = snapshot.needs.get(a.service.as_str()) else { return true };
        // A draining instance takes no new calls, so nothing is lost with it.
        let old = snapshot.get(&a.old);
        if old.is_some_and(|o| o.state == InstanceState::Draining) {
            return true;
        }
        let out = |id: &str| {
            self.active.iter().any(|x| {
                let subject = if x.undoing { x.new.as_deref() } else { Some(x.old.as_str()) };
                matches!(x.phase, Phase::Letting | Phase::Stopping) && subject == Some(id)
            })
        };
        let others = snapshot.view.instances.iter().filter(|s| {
            s.service == a.service
                && s.instance != a.old
                && !out(&s.instance)
                && s.state == InstanceState::Ready
                && snapshot.hosts.get(s.host.as_str()).is_some_and(|h| h.up)
                && serves(s, need)
        });
        others.count() as u32 >= need.required
    }

    /// Advances one move; returns its outcome if it has ended.
    fn advance(
        &mut self,
        now: Duration,
        at: usize,
        snapshot: &Snapshot,
        orders: &mut Vec<Order>,
    ) -> Option<Outcome> {
        let lease_number = self.lease_number;
        let mut a = self.active[at].clone();
        let h = self.settings.clone();
        let due = |a: &ActiveMove| a.ordered_at.is_none_or(|t| t + h.repeat_after <= now);
        let need = snapshot.needs.get(a.service.as_str()).copied();
        let boot = need.map_or(Duration::from_secs(1), |n| n.boot);
        let deadline = boot * h.boot_factor + h.boot_slack;
        let lost = |a: &mut ActiveMove, id: &str| {
            // Missing from two updates if it was seen before, on a host that is leaving, or being removed by
            // the platform.
            match snapshot.get(id) {
                Some(s) => {
                    a.missed_updates = 0;
                    a.seen_started |= s.state != InstanceState::Starting;
                    matches!(s.state, InstanceState::Draining)
                        || !snapshot.hosts.get(s.host.as_str()).is_some_and(|h| h.up)
                }
                None => {
                    a.missed_updates = a.missed_updates.saturating_add(1);
                    a.seen_started && a.missed_updates >= 2
                }
            }
        };
        let mut outcome = None;
        match a.phase {
            Phase::Begun => {
                let gone = !self.defect(InjectedDefect::AbandonsNewInstance)
                    && (now >= a.since + deadline
                        || a.mode == Mode::MakeBeforeBreak && snapshot.get(&a.old).is_none());
                if gone && !a.undoing {
                    // It is unknown whether the start was executed: it is repeated until answered, then the
                    // instance is stopped.
                    a.undoing = true;
                }
                if due(&a) {
                    a.ordered_at = Some(now);
                    orders.push(Order::Begin {
                        lease_number,
                        service: a.service.clone(),
                        host: a.to.clone().unwrap_or_default(),
                        nonce: a.nonce.clone(),
                        replaces: a.old.clone(),
                    });
                }
                if self.defect(InjectedDefect::AbandonsNewInstance) && now >= a.since + deadline {
                    outcome = Some(Outcome::Undone);
                }
            }
            Phase::Coming => {
                let new = a.new.clone();
                let gone = new.as_deref().is_some_and(|id| lost(&mut a, id) || self.ended.contains(id));
                let seen = new.as_deref().and_then(|id| snapshot.get(id));
                let up = match (seen, need) {
                    (Some(s), Some(n))
                        if s.state == InstanceState::Ready && s.serving >= Serving::Accepts =>
                    {
                        let accepting_since = *a.accepting_since.get_or_insert(now);
                        let idle_long_enough = n.idle && now >= accepting_since + h.idle_ready_after;
                        !n.urgent || s.serving == Serving::Answered || idle_long_enough
                    }
                    (_, None) => true,
                    _ => new.is_none(),
                };
                let early = self.defect(InjectedDefect::EarlyHandover);
                if snapshot.get(&a.old).is_none() && a.mode == Mode::MakeBeforeBreak && (up || gone) {
                    // The old instance ended by itself: the new one replaces it once it is up.
                    outcome = Some(Outcome::Gone);
                } else if gone || !up && !early && now >= a.since + deadline {
                    if self.defect(InjectedDefect::AbandonsNewInstance) {
                        outcome = Some(Outcome::Undone);
                    } else if matches!(a.mode, Mode::BreakBeforeMake { .. }) && gone {
                        outcome = Some(Outcome::LeftToScaler);
                    } else {
                        revert(&mut a, now);
                    }
                } else if (up || early) && matches!(a.mode, Mode::BreakBeforeMake { .. }) {
                    outcome = Some(Outcome::Moved);
                } else if early || up && self.has_required_without(snapshot, &a) {
                    (a.phase, a.since, a.ordered_at, a.released_since) =
                        (Phase::Letting, now, None, Some(now));
                    a.missed_updates = 0;
                } else if up && now >= a.since + deadline + h.keep_after {
                    outcome = Some(Outcome::Kept);
                }
            }
            Phase::Letting => {
                let subject = if a.undoing { a.new.clone().unwrap_or_default() } else { a.old.clone() };
                let seen = snapshot.get(&subject);
                let new_lost = !a.undoing
                    && a.mode == Mode::MakeBeforeBreak
                    && a.new.clone().is_some_and(|id| lost(&mut a, &id) || self.ended.contains(&id));
                let has_ended =
                    seen.is_none() && (!a.undoing || a.seen_started || self.ended.contains(&subject));
                if has_ended {
                    outcome = self.after_stop(&mut a, now);
                } else if (new_lost
                    || !a.undoing
                        && a.mode == Mode::MakeBeforeBreak
                        && !self.has_required_without(snapshot, &a))
                    && !seen.is_some_and(|s| s.state == InstanceState::Draining)
                    && !self.defect(InjectedDefect::EarlyHandover)
                {
                    // The function needs the old instance after all.
                    if !self.defect(InjectedDefect::SkipsResume) {
                        orders.push(Order::ResumeAllocating { lease_number, instance: a.old.clone() });
                    }
                    if new_lost {
                        revert(&mut a, now);
                    } else {
                        outcome = Some(Outcome::Kept);
                    }
                } else {
                    if seen.is_some_and(|s| s.state != InstanceState::Ending) && due(&a) {
                        a.ordered_at = Some(now);
                        orders.push(Order::StopAllocating { lease_number, instance: subject.clone() });
                    }
                    let since = *a.released_since.get_or_insert(now);
                    let ending = seen.is_none_or(|s| s.state == InstanceState::Ending);
                    let empty = seen.is_none_or(|s| s.slots_in_use == Some(0)) && ending;
                    let over = now >= since + h.min_stop_delay && empty
                        || now >= since + h.max_stop_delay
                        || self.defect(InjectedDefect::StopsWithOpenCalls) && ending;
                    if over {
                        (a.phase, a.since, a.ordered_at) = (Phase::Stopping, now, Some(now));
                        orders.push(Order::Stop { lease_number, instance: subject });
                    }
                }
            }
            Phase::Stopping => {
                let subject = if a.undoing { a.new.clone().unwrap_or_default() } else { a.old.clone() };
                let unseen = snapshot.get(&subject).is_none();
                if self.ended.contains(&subject) || unseen && (!a.undoing || a.seen_started) {
                    outcome = self.after_stop(&mut a, now);
                } else if due(&a) {
                    a.ordered_at = Some(now);
                    orders.push(Order::Stop { lease_number, instance: subject });
                }
            }
            Phase::Out => {
                let out = a.released_since.unwrap_or(a.since)
                    + h.max_out_time
                    + h.max_stop_delay.min(h.max_out_time);
                let has_capacity = match (&a.to, need) {
                    (Some(to), Some(n)) => snapshot.has_capacity(to, &n.size, orders),
                    _ => false,
                };
                // Once the start is requested, the limit for starts applies instead.
                if now >= out {
                    outcome = Some(Outcome::LeftToScaler);
                } else if has_capacity {
                    let to = a.to.clone().unwrap_or_default();
                    (a.phase, a.since, a.ordered_at) = (Phase::Begun, now, Some(now));
                    a.nonce = self.nonce(&a.old, &to);
                    orders.push(Order::Begin {
                        lease_number,
                        service: a.service.clone(),
                        host: to,
                        nonce: a.nonce.clone(),
                        replaces: a.old.clone(),
                    });
                }
            }
        }
        self.active[at] = a;
        outcome
    }

    /// The instance to be stopped has ended.
    fn after_stop(&self, a: &mut ActiveMove, now: Duration) -> Option<Outcome> {
        if a.undoing {
            return Some(Outcome::Undone);
        }
        match a.mode {
            Mode::MakeBeforeBreak => Some(Outcome::Moved),
            Mode::BreakBeforeMake { .. } => {
                (a.phase, a.since, a.ordered_at) = (Phase::Out, now, None);
                None
            }
        }
    }

    fn nonce(&self, old: &str, to: &str) -> String {
        let attempts = self.attempts.get(&(old.to_string(), to.to_string())).copied().unwrap_or(0);
        let mut n = nonce(old, to, attempts);
        if self.defect(InjectedDefect::LeaseNumberInNonce) {
            n = format!("{n}.{}", self.lease_number);
        }
        n
    }

    /// Begins moves in the order of the plan, as free capacity and limits allow. A later move never overtakes
    /// an earlier one, as it might take the capacity that the earlier one waits for.
    fn begin_moves(&mut self, now: Duration, snapshot: &Snapshot, orders: &mut Vec<Order>) {
        while let Some(m) = self.queue.front().cloned() {
            let limit = if self.defect(InjectedDefect::UnlimitedMoves) {
                usize::MAX
            } else {
                self.settings.max_concurrent
            };
            if self.paused || self.active.len() >= limit {
                self.head_since = None;
                return;
            }
            let since = *self.head_since.get_or_insert(now);
            let drop = |me: &mut Mover, outcome| {
                me.queue.pop_front();
                me.head_since = None;
                me.outcomes.push((m.instance.clone(), outcome));
            };
            let old = snapshot.get(&m.instance);
            let unchanged = old.is_some_and(|o| {
                o.host == m.from && matches!(o.state, InstanceState::Ready | InstanceState::Draining)
            });
            let Some(need) = snapshot.needs.get(m.function.as_str()).filter(|_| unchanged) else {
                drop(self, Outcome::Gone);
                continue;
            };
            if self.manages(&m.instance) {
                drop(self, Outcome::Gone);
                continue;
            }
            let mut a = active_move(now, &m.instance, &m.function, m.to.clone(), m.mode, m.reason);
            match (&m.to, m.mode) {
                // Stopped as surplus: continues like a move whose new instance already serves.
                (None, _) => a.phase = Phase::Coming,
                (Some(to), Mode::MakeBeforeBreak) => {
                    let up = snapshot.hosts.get(to.as_str()).is_some_and(|h| h.up);
                    if !up || !snapshot.has_capacity(to, &need.size, orders) {
                        if up && now < since + self.settings.capacity_wait {
                            return;
                        }
                        drop(self, Outcome::NoRoom);
                        continue;
                    }
                    a.nonce = self.nonce(&m.instance, to);
                    a.ordered_at = Some(now);
                    orders.push(Order::Begin {
                        lease_number: self.lease_number,
                        service: m.function.clone(),
                        host: to.clone(),
                        nonce: a.nonce.clone(),
                        replaces: m.instance.clone(),
                    });
                    if self.defect(InjectedDefect::ReleasesUrgentFirst) {
                        orders.push(Order::StopAllocating {
                            lease_number: self.lease_number,
                            instance: m.instance.clone(),
                        });
                    }
                }
                (Some(_), Mode::BreakBeforeMake { .. }) => {
                    if need.urgent {
                        // The function has become urgent since: its instance must not be stopped first.
                        drop(self, Outcome::Kept);
                        continue;
                    }
                    let stops_first = |a: &&ActiveMove| matches!(a.mode, Mode::BreakBeforeMake { .. });
                    if self.active.iter().filter(stops_first).count() >= self.settings.max_stopped_first {
                        return;
                    }
                    (a.phase, a.released_since) = (Phase::Letting, Some(now));
                }
            }
            self.queue.pop_front();
            self.head_since = None;
            self.active.push(a);
        }
    }
}

fn active_move(
    now: Duration,
    old: &str,
    service: &str,
    to: Option<String>,
    mode: Mode,
    reason: MoveReason,
) -> ActiveMove {
    ActiveMove {
        old: old.to_string(),
        service: service.to_string(),
        to,
        mode,
        phase: Phase::Begun,
        since: now,
        released_since: None,
        ordered_at: None,
        new: None,
        nonce: String::new(),
        undoing: false,
        accepting_since: None,
        missed_updates: 0,
        seen_started: false,
        reason,
    }
}

/// Reverts a move: the new instance is released. If the start is not answered yet, it is repeated first.
fn revert(a: &mut ActiveMove, now: Duration) {
    a.undoing = true;
    if a.new.is_some() {
        (a.phase, a.since, a.ordered_at, a.released_since, a.missed_updates) =
            (Phase::Letting, now, None, Some(now), 0);
    }
}

fn serves(s: &InstanceView, need: &ServiceNeed) -> bool {
    s.serving == Serving::Answered || s.serving == Serving::Accepts && (need.idle || !need.urgent)
}

/// One update, indexed by name.
struct Snapshot<'a> {
    view: &'a FleetView<'a>,
    instances: BTreeMap<&'a str, &'a InstanceView>,
    hosts: BTreeMap<&'a str, &'a Host>,
    needs: BTreeMap<&'a str, &'a ServiceNeed>,
}

impl<'a> Snapshot<'a> {
    fn new(view: &'a FleetView<'a>) -> Snapshot<'a> {
        Snapshot {
            view,
            instances: view.instances.iter().map(|s| (s.instance.as_str(), s)).collect(),
            hosts: view.hosts.iter().map(|h| (h.name.as_str(), h)).collect(),
            needs: view.needs.iter().map(|n| (n.service.as_str(), n)).collect(),
        }
    }

    fn get(&self, instance: &str) -> Option<&'a InstanceView> {
        self.instances.get(instance).copied()
    }

    /// Whether `host` has free capacity after the starts ordered in this update.
    fn has_capacity(&self, host: &str, size: &Resources, orders: &[Order]) -> bool {
        let Some(h) = self.hosts.get(host) else { return false };
        let mut free = h.free;
        for o in orders {
            if let Order::Begin { service, host: at, .. } = o {
                if at == host {
                    free = free.minus(&self.needs.get(service.as_str()).map(|n| n.size).unwrap_or_default());
                }
            }
        }
        h.up && size.fits_in(&free)
    }
}
