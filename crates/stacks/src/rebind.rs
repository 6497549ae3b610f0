//! Moves of instances in the scaler's pass: what the mover sees, what is made of its orders, when a plan is made.
//! `docs/design/rebinding.md`, "Who calls it".

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tindock_rebinding as moving;
use tindock_rebinding::{Apart, Fleet, Judge, Measure, Moment, Mover, Need, No, Outcome, Plan, Progress};
use tindock_rebinding::{Seen, Serving, Sight};

pub(crate) use tindock_rebinding::Came;

use crate::book::{Book, Held};
use crate::room::Room;
use crate::scaler::{Scaler, Start};
use crate::words::{InstanceState, Order};

/// A start without room is expected again for so long.
const EXPECTED: Duration = Duration::from_secs(20);
/// Starts that holes are made for at once.
const EXPECTED_MOST: usize = 4;
/// Plans are looked for this often while one is wanted.
const PLAN_AGAIN: Duration = Duration::from_secs(5);
/// After a configuration, or something lost: not calm.
const UNREST: Duration = Duration::from_secs(2);
const CONFIGURING: Duration = Duration::from_secs(5);
/// A new holder has not heard all lenders before.
const HEARD: Duration = Duration::from_secs(3);
/// Slots wanted are compared with those of so long ago.
const BEFORE: Duration = Duration::from_secs(10);
/// Accepted without a complaint for so long, and for three runs: then it has answered.
const ANSWERED: Duration = Duration::from_secs(1);
/// Ends of moves told to staff.
const ENDS: usize = 32;
/// A holder shares a fraction of a core with its lease: no search where there is more.
const PLANNED_MOST: usize = 2000;
const PROBES: u64 = 20_000;

/// What may be moved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Rebinding {
    /// Nothing, and no plan is made.
    #[default]
    Off,
    /// Nothing by itself; staff may ask for a plan and run it.
    Plan,
    /// To make room for a start that finds none.
    Holes,
    /// And to take urgent instances of one function from one host.
    All,
}

/// Why staff's wish was not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    Off,
    /// Moves are under way.
    Busy,
    /// Above what is planned for at once.
    TooLarge,
    Blocked(No),
}

/// How it stands, for staff.
#[derive(Clone, Debug, Default)]
pub struct RebindingStatus {
    pub mode: Rebinding,
    pub paused: bool,
    /// Why a plan would not be run now.
    pub blocked_by: Option<No>,
    pub moves: Vec<Progress>,
    /// Of the plan, not begun.
    pub waiting: usize,
    /// Functions whose starts find no room.
    pub blocked_functions: Vec<String>,
    /// The last ends of moves, the newest last, with the time since then.
    pub finished: Vec<(Duration, String, Outcome)>,
}

#[derive(Debug)]
enum Todo {
    Begin { service: String, host: String, nonce: String, replaces: String },
    Stop(String),
}

/// The moves under way of one function, for the scaler's count: a pair is one instance.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    held: BTreeSet<String>,
    silent: BTreeSet<String>,
    /// Zones where one is to come whose old one no longer counts.
    pub(crate) coming: Vec<String>,
}

impl Moves {
    pub(crate) fn holds(&self, instance: &str) -> bool {
        self.held.contains(instance)
    }

    pub(crate) fn counts(&self, instance: &str) -> bool {
        !self.silent.contains(instance)
    }
}

#[derive(Debug)]
pub(crate) struct Rebind {
    mode: Rebinding,
    mover: Mover,
    judge: Judge,
    looked: bool,
    seed: u64,
    /// Functions whose starts found no room: first, last.
    blocked: BTreeMap<String, (Duration, Duration)>,
    slots: VecDeque<(Duration, u32)>,
    trouble: Option<Duration>,
    configuring: Option<Duration>,
    settled: Option<Duration>,
    /// Since when an instance lends no more.
    letting: BTreeMap<String, Duration>,
    todo: VecDeque<Todo>,
    planned: Option<Duration>,
    ends: VecDeque<(Duration, String, Outcome)>,
}

impl Rebind {
    pub(crate) fn blocked(&mut self, now: Duration, service: &str) {
        if self.blocked.len() < 256 || self.blocked.contains_key(service) {
            self.blocked.entry(service.to_string()).or_insert((now, now)).1 = now;
        }
    }

    pub(crate) fn has_orders(&self) -> bool {
        !self.todo.is_empty()
    }

    pub(crate) fn moves_of(&self, service: &str, book: &Book, room: &Room) -> Moves {
        let mut moves = Moves::default();
        if self.mover.idle() {
            return moves;
        }
        for p in self.mover.progress().into_iter().filter(|p| p.service == service) {
            let counts = |id: &str| book.get(id).is_some_and(Held::counts);
            let old = counts(&p.instance);
            let new = p.new.as_deref().is_some_and(counts);
            if let Some(id) = p.new.clone().filter(|_| p.undoing || old) {
                moves.silent.insert(id);
            }
            if let Some(to) = p.to.as_deref().filter(|_| !p.undoing && !old && !new) {
                moves.coming.push(room.zone(to).unwrap_or_default().to_string());
            }
            moves.held.insert(p.instance);
            moves.held.extend(p.new);
        }
        moves
    }

    fn expected(&self, now: Duration) -> impl Iterator<Item = &String> {
        self.blocked.iter().filter(move |b| b.1 .1 + EXPECTED > now).map(|b| b.0)
    }
}

impl Scaler {
    /// What may be moved; to be told once, before the first pass. Off unless told.
    pub fn set_rebinding(&mut self, now: Duration, mode: Rebinding) {
        self.rebind = (mode != Rebinding::Off).then(|| {
            Box::new(Rebind {
                mode,
                mover: Mover::new(self.tag, now, moving::Habits::default()),
                judge: Judge::new(now),
                looked: false,
                seed: self.tag,
                blocked: BTreeMap::new(),
                slots: VecDeque::new(),
                trouble: None,
                configuring: None,
                settled: None,
                letting: BTreeMap::new(),
                todo: VecDeque::new(),
                planned: None,
                ends: VecDeque::new(),
            })
        });
    }

    /// A configuration is on its way: nothing is moved for a while.
    pub fn configuration_changing(&mut self, now: Duration) {
        if let Some(r) = &mut self.rebind {
            r.configuring = Some(now);
        }
    }

    pub(crate) fn trouble(&mut self, now: Duration) {
        if let Some(r) = &mut self.rebind {
            r.trouble = Some(now);
        }
    }

    pub(crate) fn came(&mut self, now: Duration, start: &Start, came: Came) {
        if let Some(r) = self.rebind.as_mut().filter(|_| start.replaces.is_some()) {
            let again = match &came {
                Came::Here { instance } => self.dead.contains_key(instance).then(|| instance.clone()),
                Came::Refused => None,
            };
            r.mover.began(now, &start.nonce, came);
            // The repeat of an earlier holder's start, whose instance has ended since.
            if let Some(instance) = again {
                r.mover.ended(&instance);
            }
        }
    }

    pub(crate) fn ended(&mut self, instance: &str) {
        if let Some(r) = &mut self.rebind {
            r.mover.ended(instance);
        }
    }

    pub(crate) fn rebind_pass(&mut self, now: Duration) {
        let Some(mut r) = self.rebind.take() else { return };
        // The holder's carrier calls no pass after the end of the lease.
        r.mover.lease(now + 2 * self.tuning.pass);
        r.blocked.retain(|name, b| b.1 + EXPECTED > now && self.services.contains_key(name));
        if self.book.settled {
            r.settled.get_or_insert(now);
        }
        if self.book.settled && (!r.looked || !r.mover.idle()) {
            r.looked = true;
            self.rebind_look(now, &mut r);
        }
        let moment = self.moment(now, &mut r);
        let no = r.judge.moment(now, &moment);
        let wants = match r.mode {
            Rebinding::Off | Rebinding::Plan => false,
            Rebinding::Holes => self.holes(now, &r).next().is_some(),
            Rebinding::All => true,
        };
        let due = r.planned.is_none_or(|p| p + PLAN_AGAIN <= now);
        if wants && due && no.is_none() {
            r.planned = Some(now);
            let _ = self.rebind_run(now, &mut r);
        }
        self.rebind = Some(r);
    }

    /// Expected starts that would fit into what is free on all hosts together.
    fn holes<'a>(&'a self, now: Duration, r: &'a Rebind) -> impl Iterator<Item = (&'a str, Measure)> + 'a {
        let free: u64 = self.room.all(now).filter(|h| h.4).map(|h| u64::from(h.3)).sum();
        r.expected(now)
            .filter_map(|name| self.services.get(name))
            .map(|svc| (svc.spec.name.as_str(), Measure::mb(svc.spec.memory_mb)))
            .filter(move |s| u64::from(s.1.memory_mb) <= free)
            .take(EXPECTED_MOST)
    }

    fn moment(&self, now: Duration, r: &mut Rebind) -> Moment {
        let (mut waiting, mut slots) = (0, 0u32);
        for (name, svc) in &self.services {
            // Calls that wait for the hole are no reason not to make it.
            if r.blocked.contains_key(name) {
                continue;
            }
            waiting += self.pulls(now, svc).1;
            slots = slots.saturating_add(svc.want.saturating_mul(svc.spec.max_inflight));
        }
        while r.slots.front().is_some_and(|s| s.0 + BEFORE < now) {
            r.slots.pop_front();
        }
        let before = r.slots.front().map_or(slots, |s| s.1);
        r.slots.push_back((now, slots));
        let lately = |at: Option<Duration>, lasts: Duration| at.is_some_and(|at| now < at + lasts);
        Moment {
            waiting,
            growth: f64::from(slots) / f64::from(before.max(1)),
            trouble: lately(r.trouble, UNREST),
            configuring: lately(r.configuring, CONFIGURING),
            settled: r.settled.is_some_and(|s| s + HEARD <= now),
        }
    }

    fn hosts_seen(&self, now: Duration) -> Vec<moving::Host> {
        let host = |(name, zone, whole, free, up): (&str, &str, u32, u32, bool)| moving::Host {
            name: name.to_string(),
            zone: zone.to_string(),
            whole: Measure::mb(whole),
            free: Measure::mb(free),
            up,
        };
        self.room.all(now).map(host).collect()
    }

    fn rebind_look(&mut self, now: Duration, r: &mut Rebind) {
        let hosts = self.hosts_seen(now);
        let mut needs = Vec::with_capacity(self.services.len());
        let mut runs = BTreeMap::<&str, Duration>::new();
        for (name, svc) in &self.services {
            let (pulls, _) = self.pulls(now, svc);
            let run = pulls.iter().map(|p| p.run_ms).fold(0.0, f64::max);
            runs.insert(name, Duration::from_secs_f64(3.0 * run / 1e3));
            needs.push(Need {
                service: name.clone(),
                urgent: !self.tuning.sleeps(&svc.spec),
                need: svc.want,
                // What is beyond is lowered by the scaler itself.
                wanted: None,
                boot: Duration::from_millis(svc.spec.boot_ms.into()),
                takes: Measure::mb(svc.spec.memory_mb),
                quiet: pulls.iter().all(|p| p.peak == 0.0 && p.rate < 0.05),
            });
        }
        let replaced: BTreeSet<&str> = self.book.all().filter_map(|h| h.entry.replaces.as_deref()).collect();
        let seen = |h: &Held| {
            let e = &h.entry;
            let moved =
                r.mover.holds(&e.instance) || e.replaces.is_some() || replaced.contains(e.instance.as_str());
            // What the scaler ends itself is not the mover's.
            if e.state == InstanceState::Ending && !moved {
                return None;
            }
            let span = runs.get(e.service.as_str()).copied().unwrap_or_default();
            // Lenders tell no calls by instance: what a stop waits for today is waited for here.
            let ends = r.letting.get(&e.instance).copied();
            let span_end = span.max(self.tuning.ending).min(self.tuning.ending_max);
            Some(Seen {
                instance: e.instance.clone(),
                service: e.service.clone(),
                host: e.host.clone(),
                standing: match e.state {
                    InstanceState::Starting => moving::Standing::Starting,
                    InstanceState::Ready => moving::Standing::Ready,
                    InstanceState::Draining => moving::Standing::Draining,
                    InstanceState::Ending => moving::Standing::Ending,
                },
                serving: match h.ready {
                    Some(at) if h.listed && at + span.max(ANSWERED) <= now => Serving::Answered,
                    Some(_) => Serving::Accepts,
                    None => Serving::No,
                },
                held: ends.filter(|at| *at + span_end <= now).map(|_| 0),
                replaces: e.replaces.clone(),
            })
        };
        let seen: Vec<Seen> = self.book.all().filter_map(seen).collect();
        let sight = Sight { seen: &seen, hosts: &hosts, needs: &needs, whole: true };
        let orders = r.mover.look(now, &sight);
        for order in orders {
            self.rebind_do(now, r, order);
        }
        for (instance, outcome) in r.mover.outcomes() {
            if matches!(outcome, Outcome::Kept | Outcome::NoRoom) {
                r.judge.unfinished(now);
            }
            r.ends.push_back((now, instance, outcome));
            while r.ends.len() > ENDS {
                r.ends.pop_front();
            }
        }
        r.letting.retain(|id, _| r.mover.holds(id));
        // A pair that is none any more is not told as one.
        let over = |h: &&Held| h.entry.replaces.as_ref().is_some_and(|old| !r.mover.holds(old));
        for id in self.book.all().filter(over).map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            self.book.change(&id, |h| h.entry.replaces = None);
        }
    }

    fn rebind_do(&mut self, now: Duration, r: &mut Rebind, order: moving::Order) {
        match order {
            moving::Order::Begin { service, host, nonce, replaces, .. } => {
                // Asked for on by the scaler's own repeats.
                let asked = self.starts.values().any(|s| s.nonce == nonce)
                    || r.todo.iter().any(|t| matches!(t, Todo::Begin { nonce: n, .. } if *n == nonce));
                if !asked {
                    r.todo.push_back(Todo::Begin { service, host, nonce, replaces });
                }
            }
            moving::Order::LendNoMore { instance, .. } => {
                r.letting.entry(instance.clone()).or_insert(now);
                self.book.change(&instance, |h| h.entry.state = InstanceState::Ending);
                self.touch(&instance);
            }
            moving::Order::LendAgain { instance, .. } => {
                r.letting.remove(&instance);
                self.book.change(&instance, |h| {
                    if h.entry.state == InstanceState::Ending && !h.stop_sent {
                        let up = h.ready.is_some();
                        h.entry.state = if up { InstanceState::Ready } else { InstanceState::Starting };
                    }
                });
                self.touch(&instance);
            }
            moving::Order::Stop { instance, .. } => {
                let asked = self.stopping.values().any(|s| s.0 == instance)
                    || r.todo.iter().any(|t| matches!(t, Todo::Stop(id) if *id == instance));
                if !asked {
                    r.todo.push_back(Todo::Stop(instance));
                }
            }
        }
    }

    fn touch(&mut self, instance: &str) {
        if let Some(h) = self.book.get(instance) {
            self.touched.insert(h.entry.service.clone());
        }
    }

    /// The next call of a move.
    pub(crate) fn rebind_order(&mut self, now: Duration) -> Option<Order> {
        loop {
            let todo = self.rebind.as_mut()?.todo.pop_front()?;
            self.tokens += 1;
            let token = self.tokens;
            match todo {
                Todo::Begin { service, host, nonce, replaces } => {
                    let Some(svc) = self.services.get(&service) else { continue };
                    self.room.take(&host, token, svc.spec.memory_mb, None);
                    let replaces = Some(replaces);
                    let start = Start { service, host, nonce, at: now, sent: false, tries: 0, replaces };
                    self.starts.insert(token, start);
                    return self.send(now, token);
                }
                Todo::Stop(instance) => {
                    if let Some(h) = self.book.mark(&instance) {
                        h.stop_sent = true;
                        if let Some(at) = h.stop_at.take() {
                            self.stops.remove(&(at, instance.clone()));
                        }
                    }
                    self.pace.made(now);
                    self.stopping.insert(token, (instance.clone(), now + self.tuning.answer));
                    return Some(Order::Stop { token, instance });
                }
            }
        }
    }

    fn rebind_plan(&self, now: Duration, r: &Rebind) -> Option<Plan> {
        if self.book.all().count() > PLANNED_MOST {
            return None;
        }
        let apart = if r.mode == Rebinding::Holes { Apart::empty() } else { Apart::HOST };
        let mut fleet = Fleet { hosts: self.hosts_seen(now), ..Fleet::default() };
        fleet.expected = self.holes(now, r).map(|h| h.1).collect();
        let mut busy = BTreeMap::<(&str, &str), f64>::new();
        for (name, svc) in &self.services {
            let count = self.book.of(name).count() as u32;
            if count == 0 {
                continue;
            }
            let urgent = !self.tuning.sleeps(&svc.spec);
            fleet.functions.push(moving::Function {
                name: name.clone(),
                takes: Measure::mb(svc.spec.memory_mb),
                urgent,
                need: svc.want.min(count),
                wanted: count,
                boot_ms: svc.spec.boot_ms,
                apart: if urgent { apart } else { Apart::empty() },
            });
            for p in self.pulls(now, svc).0 {
                let here = self.book.of(name).filter(|h| h.entry.zone == p.zone).count().max(1);
                if let Some((zone, _)) = svc.told.get_key_value(&p.zone) {
                    busy.insert((name, zone), p.slow / here as f64);
                }
            }
        }
        for h in self.book.all() {
            let e = &h.entry;
            let lacks = self.services.get(&e.service).is_none_or(|s| s.there < s.want);
            let stands = e.state == InstanceState::Ready && h.listed && !h.leaving && h.missing == 0;
            let own = r.blocked.contains_key(&e.service);
            fleet.instances.push(moving::Instance {
                id: e.instance.clone(),
                function: e.service.clone(),
                host: e.host.clone(),
                load: busy.get(&(e.service.as_str(), e.zone.as_str())).copied().unwrap_or(0.0) as f32,
                age: now.saturating_sub(h.known),
                lender_zone: e.zone.clone(),
                // What drains is replaced by the scaler at once, sooner than a plan is allowed.
                movable: stands && !lacks && !own && !r.mover.holds(&e.instance),
            });
        }
        let terms = moving::Terms {
            instance_gb_s: self.tuning.memory_gb_s,
            start: self.tuning.start_cost,
            crossing_s: self.tuning.crossing_cost,
            // Two that swap are out for a while, and need to be known as empty by instance.
            may_break: false,
            probes: PROBES,
            ..moving::Terms::default()
        };
        Some(moving::plan(&fleet, &terms, r.seed))
    }

    /// The plan that would be run now, and why it would not.
    pub fn rebinding_plan(&mut self, now: Duration) -> Result<(Plan, Result<(), No>), RunRefusal> {
        let mut r = self.rebind.take().ok_or(RunRefusal::Off)?;
        let moment = self.moment(now, &mut r);
        let plan = self.rebind_plan(now, &r);
        let may = plan.as_ref().map(|plan| r.judge.clone().allows(now, &moment, plan, price(plan)));
        self.rebind = Some(r);
        plan.zip(may).ok_or(RunRefusal::TooLarge)
    }

    /// Runs a plan made now, if the moment allows: how many moves.
    pub fn rebinding_run(&mut self, now: Duration) -> Result<usize, RunRefusal> {
        let mut r = self.rebind.take().ok_or(RunRefusal::Off)?;
        let run = self.rebind_run(now, &mut r);
        self.rebind = Some(r);
        run
    }

    fn rebind_run(&mut self, now: Duration, r: &mut Rebind) -> Result<usize, RunRefusal> {
        if !r.mover.idle() {
            return Err(RunRefusal::Busy);
        }
        let moment = self.moment(now, r);
        // Not a search for one that would not be run.
        if let Some(no) = r.judge.moment(now, &moment).or(r.judge.ready(now).err()) {
            return Err(RunRefusal::Blocked(no));
        }
        let plan = self.rebind_plan(now, r).ok_or(RunRefusal::TooLarge)?;
        r.judge.allows(now, &moment, &plan, price(&plan)).map_err(RunRefusal::Blocked)?;
        if !r.mover.take(&plan) {
            return Err(RunRefusal::Blocked(No::Unsettled));
        }
        r.seed = r.seed.wrapping_add(1);
        self.rebind_look(now, r);
        Ok(plan.moves.len())
    }

    /// No move begins while paused; `undo` also gives up those whose new instance does not serve yet.
    pub fn rebinding_pause(&mut self, now: Duration, paused: bool, undo: bool) -> Result<(), RunRefusal> {
        let r = self.rebind.as_mut().ok_or(RunRefusal::Off)?;
        r.judge.paused = paused;
        r.mover.pause(paused);
        if undo {
            r.mover.stop(now);
        }
        Ok(())
    }

    pub fn rebinding_status(&mut self, now: Duration) -> RebindingStatus {
        let Some(mut r) = self.rebind.take() else { return RebindingStatus::default() };
        let moment = self.moment(now, &mut r);
        let ago = |e: &(Duration, String, Outcome)| (now.saturating_sub(e.0), e.1.clone(), e.2);
        let shown = RebindingStatus {
            mode: r.mode,
            paused: r.judge.paused,
            blocked_by: r.judge.moment(now, &moment).or(r.judge.ready(now).err()),
            moves: r.mover.progress(),
            waiting: r.mover.waiting(),
            blocked_functions: r.expected(now).cloned().collect(),
            finished: r.ends.iter().map(ago).collect(),
        };
        self.rebind = Some(r);
        shown
    }
}

/// Of the memory that is taken twice, in the worth of a call.
fn price(plan: &Plan) -> f64 {
    plan.double_mb_s as f64 / 1024.0 * moving::Terms::default().instance_gb_s
}
