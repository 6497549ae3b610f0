//! The mover: carries a plan out from what is seen at each look.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::words::{Host, Mode, Move, MoveReason, Plan, Resources};

/// Where an instance is in its life, as the stacks tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    Starting,
    Ready,
    /// The platform takes it away.
    Draining,
    /// Lends no more.
    Ending,
}

/// How far an instance is known to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Serving {
    No,
    /// A connection was accepted, or the list names it.
    Accepts,
    /// A call was answered.
    Answered,
}

/// An instance as the holder sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    pub instance: String,
    pub service: String,
    pub host: String,
    pub state: InstanceState,
    pub serving: Serving,
    /// Slots lent of it; `None` if its lender has not said lately.
    pub slots_in_use: Option<u16>,
    /// The instance it is to stand in for, told with its entry; a next holder goes on from there.
    pub replaces: Option<String>,
}

/// What a function needs now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceNeed {
    pub service: String,
    pub urgent: bool,
    /// Serving instances without which it would be late.
    pub required: u32,
    /// Instances that are to be kept; `None` while its demand has not been told to this holder.
    pub desired: Option<u32>,
    /// Mean start.
    pub boot: Duration,
    pub size: Resources,
    /// No calls: then a connection accepted is all that can be asked of a new instance.
    pub idle: bool,
}

/// All that is seen at one look.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    pub seen: &'a [InstanceView],
    /// With what is free after all starts under way.
    pub hosts: &'a [Host],
    pub needs: &'a [ServiceNeed],
    /// The instances are known to be all there are. Until then nothing is ordered.
    pub complete: bool,
}

/// What is to be done, under the number of the lease. Each may be carried out again without harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Begin one under this nonce until it is answered with [`Mover::start_answered`]; tell `replaces` with its entry.
    Begin { number: u64, service: String, host: String, nonce: String, replaces: String },
    /// Tell it as ending: lenders lend no more of it.
    StopAllocating { number: u64, instance: String },
    /// Tell it as ready again.
    ResumeAllocating { number: u64, instance: String },
    /// Stop it; answered with [`Mover::instance_ended`], or by its absence.
    Stop { number: u64, instance: String },
}

/// How a begin was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    Started {
        instance: String,
    },
    /// No room, no such host or service: nothing was begun. (Not for 429 or silence: ask again with the same nonce.)
    Refused,
}

/// Where a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Begun, not answered.
    Begun,
    /// There, and not known to serve.
    Coming,
    /// One of the two lends no more, and ends what it holds.
    Letting,
    Stopping,
    /// Stopped before its new one begins: waits for the room.
    Out,
}

/// How a move ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Moved,
    /// The new one did not come up or was given up; it was stopped, and the old one lends as before.
    Undone,
    /// The platform refused the start.
    Refused,
    /// No room at its target within the wait.
    NoRoom,
    /// The old one went by itself.
    Gone,
    /// The function needs both by now.
    Kept,
    /// Stopped first, and the new one did not come in time: the scaler starts one when it is wanted.
    LeftToScaler,
}

/// A move as it is told to staff.
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

/// Bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct MoverSettings {
    /// Moves at once.
    pub at_once: usize,
    /// Functions that can wait and are without an instance because of a move, at once.
    pub yielding: usize,
    /// Such an instance is out for so long at most before its start is left to the scaler.
    pub yield_most: Duration,
    /// An order that shows no effect is given again after this.
    pub again: Duration,
    /// A new one has this many mean starts ...
    pub boots: u32,
    /// ... and this to come up.
    pub boot_slack: Duration,
    /// A quiet function's new instance accepts for so long before it counts as serving.
    pub quiet: Duration,
    /// Between the end of lending and the stop at least: what was lent just before is not told yet.
    pub ending_least: Duration,
    /// At most, if calls are still held: longer than any call may take.
    pub ending_most: Duration,
    /// The head of the plan waits so long for its room.
    pub room_wait: Duration,
    /// An urgent function that needs both keeps both after this.
    pub kept_after: Duration,
    /// A new holder lets go what is beyond `wanted` from this ...
    pub resume_from: Duration,
    /// ... to this after it began, one of a function at a time.
    pub resume_to: Duration,
    /// For tests: a defect planted.
    #[doc(hidden)]
    pub flaw: Option<InjectedDefect>,
}

impl Default for MoverSettings {
    fn default() -> MoverSettings {
        let ms = Duration::from_millis;
        MoverSettings {
            at_once: 3,
            yielding: 2,
            yield_most: ms(6000),
            again: ms(1500),
            boots: 3,
            boot_slack: ms(3000),
            quiet: ms(1000),
            ending_least: ms(600),
            ending_most: ms(9000),
            room_wait: ms(10_000),
            kept_after: ms(8000),
            resume_from: ms(3000),
            resume_to: ms(30_000),
            flaw: None,
        }
    }
}

/// Defects that the tests plant and find.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// The old one lends no more as soon as the new one is begun.
    HandsOverEarly,
    /// Stops without waiting for what is held.
    CutsCalls,
    /// The nonce has the number of the lease in it.
    NonceOfHolder,
    /// What is needed is not looked at again at the hand-over.
    ForgetsNeed,
    /// A new one that does not come up is left where it is.
    LeavesNew,
    /// An old one is not lent again when the new one is lost.
    LeavesOld,
    /// Orders after the end of the lease.
    Outlives,
    /// All moves at once.
    Crowds,
    /// Urgent ones are stopped first too.
    BreaksUrgent,
}

#[derive(Clone, Debug)]
struct Active {
    old: String,
    service: String,
    to: Option<String>,
    mode: Mode,
    phase: Phase,
    since: Duration,
    /// When the old one was first told to lend no more.
    let_since: Option<Duration>,
    /// When the present phase's order was last given.
    told: Option<Duration>,
    new: Option<String>,
    nonce: String,
    /// Backwards: what is let go and stopped is the new one.
    undoing: bool,
    /// Since when the new one has accepted.
    accepts: Option<Duration>,
    /// Looks in a row without the one that is waited for.
    missing: u8,
    /// The new one was seen as started. Before that its absence says nothing: whoever tells the entries forgets a start
    /// that is not listed in time, and the platform may still have it.
    met: bool,
    reason: MoveReason,
}

/// Carries plans out; see the crate's page.
#[derive(Debug)]
pub struct Mover {
    number: u64,
    until: Duration,
    born: Option<Duration>,
    picked_up: bool,
    pub habits: MoverSettings,
    queue: VecDeque<Move>,
    head_since: Option<Duration>,
    active: Vec<Active>,
    /// Starts given up for an instance and host: the next has another nonce.
    tries: BTreeMap<(String, String), u32>,
    outcomes: Vec<(String, Outcome)>,
    ended: BTreeSet<String>,
    paused: bool,
}

/// At most 64 bytes. Of the old instance and the target alone, so that whoever holds the lease asks for the same start
/// and gets the same instance.
pub fn nonce(old: &str, host: &str, again: u32) -> String {
    let digest = |basis: u64| {
        old.bytes()
            .chain([0])
            .chain(host.bytes())
            .fold(basis, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    format!("rb.{:x}{:x}.{again}", digest(0xcbf2_9ce4_8422_2325), digest(0x9e37_79b9_7f4a_7c15))
}

impl Mover {
    /// `number` of the lease, which ends at `until` unless [`Mover::extend_lease`] says more.
    pub fn new(number: u64, until: Duration, habits: MoverSettings) -> Mover {
        Mover {
            number,
            until,
            born: None,
            picked_up: false,
            habits,
            queue: VecDeque::new(),
            head_since: None,
            active: Vec::new(),
            tries: BTreeMap::new(),
            outcomes: Vec::new(),
            ended: BTreeSet::new(),
            paused: false,
        }
    }

    /// The lease lasts until then, on the own clock.
    pub fn extend_lease(&mut self, until: Duration) {
        self.until = self.until.max(until);
    }

    /// Takes a plan on; false while an earlier one is under way or before the first whole look.
    pub fn accept_plan(&mut self, plan: &Plan) -> bool {
        if !self.idle() || !self.picked_up {
            return false;
        }
        self.queue = plan.moves.iter().cloned().collect();
        true
    }

    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.active.is_empty()
    }

    /// No move begins; those under way go to their end.
    pub fn pause(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Gives the rest of the plan up: new ones that do not serve yet are stopped, hand-overs are ended.
    pub fn cancel(&mut self, now: Duration) {
        self.queue.clear();
        let Mover { active, .. } = self;
        for a in active.iter_mut().filter(|a| matches!(a.phase, Phase::Begun | Phase::Coming)) {
            if a.mode == Mode::MakeBeforeBreak {
                undo(a, now);
            }
        }
    }

    pub fn progress(&self) -> Vec<Progress> {
        let tell = |a: &Active| Progress {
            instance: a.old.clone(),
            new: a.new.clone(),
            service: a.service.clone(),
            to: a.to.clone(),
            reason: a.reason,
            phase: a.phase,
            undoing: a.undoing,
        };
        self.active.iter().map(tell).collect()
    }

    /// Moves that have not begun.
    pub fn pending_moves(&self) -> usize {
        self.queue.len()
    }

    /// What ended since the last call, by the old instance.
    pub fn take_outcomes(&mut self) -> Vec<(String, Outcome)> {
        std::mem::take(&mut self.outcomes)
    }

    /// Whether the mover has this instance in hand: nobody else should end, revive or count it as surplus.
    pub fn manages(&self, instance: &str) -> bool {
        self.active.iter().any(|a| a.old == instance || a.new.as_deref() == Some(instance))
    }

    /// The answer to [`Order::Begin`].
    pub fn start_answered(&mut self, now: Duration, nonce: &str, came: StartOutcome) {
        let Some(at) = self.active.iter().position(|a| a.nonce == nonce && a.phase == Phase::Begun) else {
            return;
        };
        let a = &mut self.active[at];
        match came {
            StartOutcome::Started { instance } => {
                a.new = Some(instance);
                a.phase = if a.undoing { Phase::Letting } else { Phase::Coming };
                (a.since, a.told, a.missing) = (now, None, 0);
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

    /// The platform has ended it, or knows no such instance.
    pub fn instance_ended(&mut self, instance: &str) {
        if self.manages(instance) {
            self.ended.insert(instance.to_string());
        }
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        let a = self.active.remove(at);
        // Also where both were kept: the same start asked for again would be answered with that new one, gone or not.
        if matches!(outcome, Outcome::Undone) || a.new.is_some() {
            if let Some(to) = &a.to {
                *self.tries.entry((a.old.clone(), to.clone())).or_default() += 1;
            }
        }
        for id in [Some(&a.old), a.new.as_ref()].into_iter().flatten() {
            self.ended.remove(id);
        }
        self.outcomes.push((a.old, outcome));
    }

    fn flaw(&self, flaw: InjectedDefect) -> bool {
        self.habits.flaw == Some(flaw)
    }

    /// One look, and what is to be done. To be called several times a second.
    pub fn update(&mut self, now: Duration, ground: &FleetView) -> Vec<Order> {
        let mut orders = Vec::new();
        if !ground.complete || now >= self.until && !self.flaw(InjectedDefect::Outlives) {
            return orders;
        }
        let born = *self.born.get_or_insert(now);
        let look = Look::new(ground);
        if !self.picked_up {
            self.picked_up = true;
            self.pick_up(now, &look);
        }
        if now >= born + self.habits.resume_from && now < born + self.habits.resume_to {
            self.surplus(now, &look);
        }
        let mut at = 0;
        while at < self.active.len() {
            match self.step(now, at, &look, &mut orders) {
                Some(outcome) => self.end(at, outcome),
                None => at += 1,
            }
        }
        self.begin(now, &look, &mut orders);
        orders
    }

    /// A new holder: moves that an earlier one had under way.
    fn pick_up(&mut self, now: Duration, look: &Look) {
        for s in look.ground.seen {
            let Some(old) = &s.replaces else { continue };
            let Some(o) = look.get(old) else { continue };
            // The new one itself is on its way out: an undoing, which the list of endings below goes on with.
            if s.state == InstanceState::Ending || self.manages(old) {
                continue;
            }
            let mut a = active(
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
                (a.phase, a.let_since) = (Phase::Letting, Some(now));
            }
            self.active.push(a);
        }
        for s in look.ground.seen {
            if s.state == InstanceState::Ending && !self.manages(&s.instance) {
                let mut a =
                    active(now, &s.instance, &s.service, None, Mode::MakeBeforeBreak, MoveReason::Surplus);
                (a.phase, a.let_since) = (Phase::Letting, Some(now));
                self.active.push(a);
            }
        }
    }

    /// A start of an earlier holder that nobody told of shows as one more than wanted.
    fn surplus(&mut self, now: Duration, look: &Look) {
        for need in look.ground.needs {
            let Some(desired) = need.desired else { continue };
            let of = || {
                look.ground.seen.iter().filter(|s| {
                    s.service == need.service
                        && matches!(s.state, InstanceState::Starting | InstanceState::Ready)
                })
            };
            let taken = self.active.iter().any(|a| a.service == need.service);
            if taken
                || self.active.len() >= self.habits.at_once
                || of().count() as u32 <= desired.max(need.required)
            {
                continue;
            }
            // Where it drains, else where least is in use: that is where a plan would have taken one from.
            let victim = of().filter(|s| s.state == InstanceState::Ready).min_by_key(|s| {
                let h = look.hosts.get(s.host.as_str());
                let used = h.map_or(0, |h| h.total.memory_mb.saturating_sub(h.free.memory_mb));
                (h.is_some_and(|h| h.up), used, s.instance.clone())
            });
            if let Some(v) = victim {
                let mut a =
                    active(now, &v.instance, &v.service, None, Mode::MakeBeforeBreak, MoveReason::Surplus);
                a.phase = Phase::Coming;
                self.active.push(a);
            }
        }
    }

    /// Whether `service` holds its need without `old`, and without others that are on their way out.
    fn enough(&self, look: &Look, a: &Active) -> bool {
        if self.flaw(InjectedDefect::ForgetsNeed) {
            return true;
        }
        let Some(need) = look.needs.get(a.service.as_str()) else { return true };
        // One that drains serves no new calls: nothing is lost with it.
        let old = look.get(&a.old);
        if old.is_some_and(|o| o.state == InstanceState::Draining) {
            return true;
        }
        let out = |id: &str| {
            self.active.iter().any(|x| {
                let subject = if x.undoing { x.new.as_deref() } else { Some(x.old.as_str()) };
                matches!(x.phase, Phase::Letting | Phase::Stopping) && subject == Some(id)
            })
        };
        let others = look.ground.seen.iter().filter(|s| {
            s.service == a.service
                && s.instance != a.old
                && !out(&s.instance)
                && s.state == InstanceState::Ready
                && look.hosts.get(s.host.as_str()).is_some_and(|h| h.up)
                && serves(s, need)
        });
        others.count() as u32 >= need.required
    }

    /// One move, one look; its end if it has come.
    fn step(&mut self, now: Duration, at: usize, look: &Look, orders: &mut Vec<Order>) -> Option<Outcome> {
        let number = self.number;
        let mut a = self.active[at].clone();
        let h = self.habits.clone();
        let due = |a: &Active| a.told.is_none_or(|t| t + h.again <= now);
        let need = look.needs.get(a.service.as_str()).copied();
        let boot = need.map_or(Duration::from_secs(1), |n| n.boot);
        let bound = boot * h.boots + h.boot_slack;
        let lost = |a: &mut Active, id: &str| {
            // Twice unseen, if it was seen before; or on a host that leaves; or taken away.
            match look.get(id) {
                Some(s) => {
                    a.missing = 0;
                    a.met |= s.state != InstanceState::Starting;
                    matches!(s.state, InstanceState::Draining)
                        || !look.hosts.get(s.host.as_str()).is_some_and(|h| h.up)
                }
                None => {
                    a.missing = a.missing.saturating_add(1);
                    a.met && a.missing >= 2
                }
            }
        };
        let mut outcome = None;
        match a.phase {
            Phase::Begun => {
                let gone = !self.flaw(InjectedDefect::LeavesNew)
                    && (now >= a.since + bound
                        || a.mode == Mode::MakeBeforeBreak && look.get(&a.old).is_none());
                if gone && !a.undoing {
                    // Whether it was begun is not known until the answer: it is asked for on, and stopped then.
                    a.undoing = true;
                }
                if due(&a) {
                    a.told = Some(now);
                    orders.push(Order::Begin {
                        number,
                        service: a.service.clone(),
                        host: a.to.clone().unwrap_or_default(),
                        nonce: a.nonce.clone(),
                        replaces: a.old.clone(),
                    });
                }
                if self.flaw(InjectedDefect::LeavesNew) && now >= a.since + bound {
                    outcome = Some(Outcome::Undone);
                }
            }
            Phase::Coming => {
                let new = a.new.clone();
                let gone = new.as_deref().is_some_and(|id| lost(&mut a, id) || self.ended.contains(id));
                let seen = new.as_deref().and_then(|id| look.get(id));
                let up = match (seen, need) {
                    (Some(s), Some(n))
                        if s.state == InstanceState::Ready && s.serving >= Serving::Accepts =>
                    {
                        let accepts = *a.accepts.get_or_insert(now);
                        let quiet = n.idle && now >= accepts + h.quiet;
                        !n.urgent || s.serving == Serving::Answered || quiet
                    }
                    (_, None) => true,
                    _ => new.is_none(),
                };
                let early = self.flaw(InjectedDefect::HandsOverEarly);
                if look.get(&a.old).is_none() && a.mode == Mode::MakeBeforeBreak && (up || gone) {
                    // The old one went by itself: the new one stands in for it, once it is up.
                    outcome = Some(Outcome::Gone);
                } else if gone || !up && !early && now >= a.since + bound {
                    if self.flaw(InjectedDefect::LeavesNew) {
                        outcome = Some(Outcome::Undone);
                    } else if matches!(a.mode, Mode::BreakBeforeMake { .. }) && gone {
                        outcome = Some(Outcome::LeftToScaler);
                    } else {
                        undo(&mut a, now);
                    }
                } else if (up || early) && matches!(a.mode, Mode::BreakBeforeMake { .. }) {
                    outcome = Some(Outcome::Moved);
                } else if early || up && self.enough(look, &a) {
                    (a.phase, a.since, a.told, a.let_since) = (Phase::Letting, now, None, Some(now));
                    a.missing = 0;
                } else if up && now >= a.since + bound + h.kept_after {
                    outcome = Some(Outcome::Kept);
                }
            }
            Phase::Letting => {
                let subject = if a.undoing { a.new.clone().unwrap_or_default() } else { a.old.clone() };
                let seen = look.get(&subject);
                let new_lost = !a.undoing
                    && a.mode == Mode::MakeBeforeBreak
                    && a.new.clone().is_some_and(|id| lost(&mut a, &id) || self.ended.contains(&id));
                let met_gone = seen.is_none() && (!a.undoing || a.met || self.ended.contains(&subject));
                if met_gone {
                    outcome = self.after_stop(&mut a, now);
                } else if (new_lost
                    || !a.undoing && a.mode == Mode::MakeBeforeBreak && !self.enough(look, &a))
                    && !seen.is_some_and(|s| s.state == InstanceState::Draining)
                    && !self.flaw(InjectedDefect::HandsOverEarly)
                {
                    // The function needs the old one after all.
                    if !self.flaw(InjectedDefect::LeavesOld) {
                        orders.push(Order::ResumeAllocating { number, instance: a.old.clone() });
                    }
                    if new_lost {
                        undo(&mut a, now);
                    } else {
                        outcome = Some(Outcome::Kept);
                    }
                } else {
                    if seen.is_some_and(|s| s.state != InstanceState::Ending) && due(&a) {
                        a.told = Some(now);
                        orders.push(Order::StopAllocating { number, instance: subject.clone() });
                    }
                    let since = *a.let_since.get_or_insert(now);
                    let ending = seen.is_none_or(|s| s.state == InstanceState::Ending);
                    let empty = seen.is_none_or(|s| s.slots_in_use == Some(0)) && ending;
                    let over = now >= since + h.ending_least && empty
                        || now >= since + h.ending_most
                        || self.flaw(InjectedDefect::CutsCalls) && ending;
                    if over {
                        (a.phase, a.since, a.told) = (Phase::Stopping, now, Some(now));
                        orders.push(Order::Stop { number, instance: subject });
                    }
                }
            }
            Phase::Stopping => {
                let subject = if a.undoing { a.new.clone().unwrap_or_default() } else { a.old.clone() };
                let unseen = look.get(&subject).is_none();
                if self.ended.contains(&subject) || unseen && (!a.undoing || a.met) {
                    outcome = self.after_stop(&mut a, now);
                } else if due(&a) {
                    a.told = Some(now);
                    orders.push(Order::Stop { number, instance: subject });
                }
            }
            Phase::Out => {
                let out = a.let_since.unwrap_or(a.since) + h.yield_most + h.ending_most.min(h.yield_most);
                let room = match (&a.to, need) {
                    (Some(to), Some(n)) => look.room(to, &n.size, orders),
                    _ => false,
                };
                // Once begun it counts as begun: what follows is bounded by the start.
                if now >= out {
                    outcome = Some(Outcome::LeftToScaler);
                } else if room {
                    let to = a.to.clone().unwrap_or_default();
                    (a.phase, a.since, a.told) = (Phase::Begun, now, Some(now));
                    a.nonce = self.nonce(&a.old, &to);
                    orders.push(Order::Begin {
                        number,
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

    /// What was to be stopped is gone.
    fn after_stop(&self, a: &mut Active, now: Duration) -> Option<Outcome> {
        if a.undoing {
            return Some(Outcome::Undone);
        }
        match a.mode {
            Mode::MakeBeforeBreak => Some(Outcome::Moved),
            Mode::BreakBeforeMake { .. } => {
                (a.phase, a.since, a.told) = (Phase::Out, now, None);
                None
            }
        }
    }

    fn nonce(&self, old: &str, to: &str) -> String {
        let tries = self.tries.get(&(old.to_string(), to.to_string())).copied().unwrap_or(0);
        let mut n = nonce(old, to, tries);
        if self.flaw(InjectedDefect::NonceOfHolder) {
            n = format!("{n}.{}", self.number);
        }
        n
    }

    /// Begins moves in the order of the plan, as room and bounds allow. A later one never overtakes: it might take the
    /// room that the earlier one waits for.
    fn begin(&mut self, now: Duration, look: &Look, orders: &mut Vec<Order>) {
        while let Some(m) = self.queue.front().cloned() {
            let most = if self.flaw(InjectedDefect::Crowds) { usize::MAX } else { self.habits.at_once };
            if self.paused || self.active.len() >= most {
                self.head_since = None;
                return;
            }
            let since = *self.head_since.get_or_insert(now);
            let drop = |me: &mut Mover, outcome| {
                me.queue.pop_front();
                me.head_since = None;
                me.outcomes.push((m.instance.clone(), outcome));
            };
            let old = look.get(&m.instance);
            let there = old.is_some_and(|o| {
                o.host == m.from && matches!(o.state, InstanceState::Ready | InstanceState::Draining)
            });
            let Some(need) = look.needs.get(m.function.as_str()).filter(|_| there) else {
                drop(self, Outcome::Gone);
                continue;
            };
            if self.manages(&m.instance) {
                drop(self, Outcome::Gone);
                continue;
            }
            let mut a = active(now, &m.instance, &m.function, m.to.clone(), m.mode, m.reason);
            match (&m.to, m.mode) {
                // Let go: the same way from where a new one serves.
                (None, _) => a.phase = Phase::Coming,
                (Some(to), Mode::MakeBeforeBreak) => {
                    let up = look.hosts.get(to.as_str()).is_some_and(|h| h.up);
                    if !up || !look.room(to, &need.size, orders) {
                        if up && now < since + self.habits.room_wait {
                            return;
                        }
                        drop(self, Outcome::NoRoom);
                        continue;
                    }
                    a.nonce = self.nonce(&m.instance, to);
                    a.told = Some(now);
                    orders.push(Order::Begin {
                        number: self.number,
                        service: m.function.clone(),
                        host: to.clone(),
                        nonce: a.nonce.clone(),
                        replaces: m.instance.clone(),
                    });
                    if self.flaw(InjectedDefect::BreaksUrgent) {
                        orders.push(Order::StopAllocating {
                            number: self.number,
                            instance: m.instance.clone(),
                        });
                    }
                }
                (Some(_), Mode::BreakBeforeMake { .. }) => {
                    if need.urgent {
                        // It has become urgent since: never.
                        drop(self, Outcome::Kept);
                        continue;
                    }
                    let yields = |a: &&Active| matches!(a.mode, Mode::BreakBeforeMake { .. });
                    if self.active.iter().filter(yields).count() >= self.habits.yielding {
                        return;
                    }
                    (a.phase, a.let_since) = (Phase::Letting, Some(now));
                }
            }
            self.queue.pop_front();
            self.head_since = None;
            self.active.push(a);
        }
    }
}

fn active(
    now: Duration,
    old: &str,
    service: &str,
    to: Option<String>,
    mode: Mode,
    reason: MoveReason,
) -> Active {
    Active {
        old: old.to_string(),
        service: service.to_string(),
        to,
        mode,
        phase: Phase::Begun,
        since: now,
        let_since: None,
        told: None,
        new: None,
        nonce: String::new(),
        undoing: false,
        accepts: None,
        missing: 0,
        met: false,
        reason,
    }
}

/// Turns a move round: the new one is let go. Without an answer yet it is asked for first.
fn undo(a: &mut Active, now: Duration) {
    a.undoing = true;
    if a.new.is_some() {
        (a.phase, a.since, a.told, a.let_since, a.missing) = (Phase::Letting, now, None, Some(now), 0);
    }
}

fn serves(s: &InstanceView, need: &ServiceNeed) -> bool {
    s.serving == Serving::Answered || s.serving == Serving::Accepts && (need.idle || !need.urgent)
}

/// A look by names.
struct Look<'a> {
    ground: &'a FleetView<'a>,
    seen: BTreeMap<&'a str, &'a InstanceView>,
    hosts: BTreeMap<&'a str, &'a Host>,
    needs: BTreeMap<&'a str, &'a ServiceNeed>,
}

impl<'a> Look<'a> {
    fn new(ground: &'a FleetView<'a>) -> Look<'a> {
        Look {
            ground,
            seen: ground.seen.iter().map(|s| (s.instance.as_str(), s)).collect(),
            hosts: ground.hosts.iter().map(|h| (h.name.as_str(), h)).collect(),
            needs: ground.needs.iter().map(|n| (n.service.as_str(), n)).collect(),
        }
    }

    fn get(&self, instance: &str) -> Option<&'a InstanceView> {
        self.seen.get(instance).copied()
    }

    /// Whether `host` has room, with what is ordered in this look.
    fn room(&self, host: &str, size: &Resources, orders: &[Order]) -> bool {
        let Some(h) = self.hosts.get(host) else { return false };
        let mut free = h.free;
        for o in orders {
            if let Order::Begin { service, host: at, .. } = o {
                if at == host {
                    free = free.less(&self.needs.get(service.as_str()).map(|n| n.size).unwrap_or_default());
                }
            }
        }
        h.up && size.fits(&free)
    }
}
