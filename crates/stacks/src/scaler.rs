//! The decider.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand32;

use crate::book::{Book, Held, News};
use crate::pace::Pace;
use crate::rebind::{Came, Rebind};
use crate::room::{Room, Seating};
use crate::want::{wanted, Pull, Wanted};
use crate::words::*;

/// Zones that may tell demand for one service.
const ZONES_MOST: usize = 64;
/// Instances whose end is remembered against the late list.
const DEAD_MOST: usize = 20_000;
const RETRY_MOST: u32 = 4;
/// A list lags by less than so many readings.
const UP_LISTS: u8 = 4;

#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) demand: Demand,
    pub(crate) at: Duration,
    pub(crate) slow: f64,
    /// Smoothed over 8 s from zero, and since when.
    pub(crate) steady: f64,
    began: Duration,
    /// Rates of the last second.
    pub(crate) rates: VecDeque<(Duration, f64)>,
}

#[derive(Debug)]
pub(crate) struct Svc {
    pub(crate) spec: Service,
    pub(crate) told: BTreeMap<String, Told>,
    /// Starts under way: token and zone.
    pub(crate) under_way: Vec<(u64, String)>,
    pub(crate) first_traffic: Option<Duration>,
    pub(crate) last_call: Option<Duration>,
    /// Smoothed over 15 s: calls a second.
    pub(crate) rate: f64,
    pub(crate) rate_at: Duration,
    /// Highest wanted counts of the last while, falling; since when they are watched; the last
    /// round of stops.
    pub(crate) highs: VecDeque<(Duration, u32)>,
    pub(crate) watched: Option<Duration>,
    pub(crate) lowered: Duration,
    pub(crate) zone_lack: Option<Duration>,
    /// Zones that want a start, and the rank among all services that do.
    pub(crate) lacks: Vec<String>,
    pub(crate) rank: Option<Rank>,
    /// Instances wanted, and there, at the last look.
    pub(crate) want: u32,
    pub(crate) there: u32,
    /// No host had room, or the platform does not know the service.
    pub(crate) not_before: Duration,
}

/// Urgent first: calls that wait, priority, how many wait, name.
pub(crate) type Rank = (bool, u8, u16, String);

#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) service: String,
    pub(crate) host: String,
    pub(crate) nonce: String,
    /// When to send (again), or since when it is unanswered.
    pub(crate) at: Duration,
    pub(crate) sent: bool,
    pub(crate) tries: u32,
    /// A move's: the instance that it is to stand in for.
    pub(crate) replaces: Option<String>,
}

impl Told {
    /// Zones that the demand comes from, with their shares of it.
    fn shares(&self) -> Vec<(&str, f64)> {
        let all: f32 = self.demand.origins.iter().map(|(_, share)| share).sum();
        if all <= 0.0 {
            return vec![(self.demand.zone.as_str(), 1.0)];
        }
        self.demand.origins.iter().map(|(zone, share)| (zone.as_str(), f64::from(share / all))).collect()
    }
}

/// Decides starts and stops; see the crate's page.
#[derive(Debug)]
pub struct Scaler {
    pub(crate) terms: Terms,
    pub habits: Habits,
    pub(crate) chance: Rand32,
    pub(crate) born: Duration,
    pub(crate) tag: u64,
    pub(crate) inherited_tag: Option<u64>,
    pub(crate) numbers: BTreeMap<String, u32>,
    pub(crate) tokens: u64,
    pub(crate) configured: bool,
    pub(crate) listed: bool,
    pub(crate) services: BTreeMap<String, Svc>,
    pub(crate) touched: BTreeSet<String>,
    pub(crate) eager: BTreeSet<Rank>,
    pub(crate) room: Room,
    pub(crate) book: Book,
    pub(crate) pace: Pace,
    pub(crate) starts: BTreeMap<u64, Start>,
    /// Starts to send again, and starts that wait for their answer, by time.
    pub(crate) again: BTreeSet<(Duration, u64)>,
    /// Stops to send, by time.
    pub(crate) stops: BTreeSet<(Duration, String)>,
    pub(crate) stopping: BTreeMap<u64, (String, Duration)>,
    /// Ended instances; the list is not believed about them until then.
    pub(crate) dead: BTreeMap<String, Duration>,
    pub(crate) dead_by: BTreeSet<(Duration, String)>,
    pub(crate) last_pass: Option<Duration>,
    /// When `next` last had nothing though it might have called.
    pub(crate) quiet: Option<Duration>,
    /// Moves; without it nothing is moved.
    pub(crate) rebind: Option<Box<Rebind>>,
}

impl Scaler {
    /// `tag` is the number of the lease; it grows from holder to holder and is part of the nonces
    /// until [`Scaler::inherit`] brings an earlier one. Versions begin above those of any earlier
    /// lease.
    pub fn new(terms: Terms, tag: u64, seed: u64, now: Duration) -> Scaler {
        Scaler::with_habits(terms, Habits::default(), tag, seed, now)
    }

    pub fn with_habits(terms: Terms, habits: Habits, tag: u64, seed: u64, now: Duration) -> Scaler {
        let pace = Pace::new(terms.duty_rate * habits.duty_share);
        Scaler {
            room: Room::new(&terms.zones, terms.list_lag),
            terms,
            habits,
            chance: Rand32::new(seed),
            born: now,
            tag,
            inherited_tag: None,
            numbers: BTreeMap::new(),
            tokens: 0,
            configured: false,
            listed: false,
            services: BTreeMap::new(),
            touched: BTreeSet::new(),
            eager: BTreeSet::new(),
            book: Book::new(tag << 32),
            pace,
            starts: BTreeMap::new(),
            again: BTreeSet::new(),
            stops: BTreeSet::new(),
            stopping: BTreeMap::new(),
            dead: BTreeMap::new(),
            dead_by: BTreeSet::new(),
            last_pass: None,
            quiet: None,
            rebind: None,
        }
    }

    /// The configuration in force, whole. Services that are not in it are weeded.
    pub fn services(&mut self, now: Duration, services: &[Service]) {
        if !self.configured || self.services.len() != services.len() || {
            services.iter().any(|s| self.services.get(&s.name).is_none_or(|svc| svc.spec != *s))
        } {
            self.configuring(now);
        }
        self.configured = true;
        let names: BTreeSet<&str> = services.iter().map(|s| s.name.as_str()).collect();
        let gone: Vec<String> =
            self.services.keys().filter(|n| !names.contains(n.as_str())).cloned().collect();
        for name in gone {
            if let Some(rank) = self.services.remove(&name).and_then(|s| s.rank) {
                self.eager.remove(&rank);
            }
        }
        for spec in services {
            self.touched.insert(spec.name.clone());
            match self.services.get_mut(&spec.name) {
                Some(s) => s.spec = spec.clone(),
                None => {
                    let svc = Svc {
                        spec: spec.clone(),
                        told: BTreeMap::new(),
                        under_way: self
                            .starts
                            .iter()
                            .filter(|(_, s)| s.service == spec.name && s.replaces.is_none())
                            .map(|(t, s)| (*t, self.room.zone(&s.host).unwrap_or_default().to_string()))
                            .collect(),
                        first_traffic: None,
                        last_call: None,
                        rate: 0.0,
                        rate_at: now,
                        highs: VecDeque::new(),
                        watched: None,
                        lowered: Duration::ZERO,
                        zone_lack: None,
                        lacks: Vec::new(),
                        rank: None,
                        want: 0,
                        there: 0,
                        not_before: Duration::ZERO,
                    };
                    self.services.insert(spec.name.clone(), svc);
                }
            }
        }
        let homeless: Vec<String> = self
            .book
            .all()
            .filter(|h| !self.services.contains_key(&h.entry.service))
            .map(|h| h.entry.instance.clone())
            .collect();
        for id in homeless {
            self.end(now, &id, Duration::ZERO);
        }
    }

    /// The whole answer of `GET /v1/workers`.
    pub fn hosts(&mut self, now: Duration, hosts: &[Host]) {
        if !self.room.report(now, hosts) {
            return;
        }
        self.trouble(now);
        // A host came, left or turned: what runs on it counts anew.
        let mut down = Vec::new();
        let mut leaving = Vec::new();
        for h in self.book.all() {
            match self.room.seating(&h.entry.host) {
                Seating::Down => down.push(h.entry.instance.clone()),
                s => leaving.push((h.entry.instance.clone(), h.entry.service.clone(), s == Seating::Leaving)),
            }
        }
        for (id, service, leaves) in leaving {
            if let Some(h) = self.book.mark(&id) {
                if h.leaving != leaves {
                    h.leaving = leaves;
                    self.touched.insert(service);
                }
            }
        }
        for id in down {
            self.lose(now, &id, self.habits.gone_lasts);
        }
        let starting = self.book.all().filter(|h| h.entry.standing == Standing::Starting);
        for id in starting.map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            self.end_if_too_late(now, &id);
        }
    }

    /// The list shows an instance once it is up: one still starting on a host that drains is lent from its first connection
    /// until the list shows it as draining, which may be after it has to take nothing any more.
    fn end_if_too_late(&mut self, now: Duration, instance: &str) {
        let starting = self.book.get(instance).filter(|h| h.entry.standing == Standing::Starting);
        if starting.is_some_and(|h| self.room.drains(&h.entry.host)) {
            self.end(now, instance, Duration::ZERO);
        }
    }

    /// The whole answer of `GET /instances`.
    pub fn listed(&mut self, now: Duration, list: &[Listed]) {
        self.listed = true;
        let seen: BTreeSet<&str> = list.iter().map(|l| l.instance.as_str()).collect();
        for l in list {
            if self.dead.get(&l.instance).is_some_and(|until| now < *until) {
                continue;
            }
            if self.book.get(&l.instance).is_none() {
                self.adopt(now, l);
                continue;
            }
            let (mut turned, mut left) = (false, false);
            if let Some(h) = self.book.mark(&l.instance) {
                h.listed_draining = l.draining;
                // Pages tell a new holder what lends no more as draining, whether its host leaves or the holder before was
                // about to stop it: the platform never takes one that it shows as up for so long, so it would stay for ever.
                let drains = h.entry.standing == Standing::Draining && !l.draining;
                h.up = if drains { h.up.saturating_add(1) } else { 0 };
                left = h.up >= UP_LISTS;
                turned = !h.listed;
                h.listed = true;
                h.missing = 0;
                h.ready.get_or_insert(now);
            }
            self.book.change(&l.instance, |h| {
                if h.entry.host != l.host || h.entry.zone != l.zone || h.entry.address != l.address {
                    turned = true;
                    h.entry.host.clone_from(&l.host);
                    h.entry.zone.clone_from(&l.zone);
                    h.entry.address = l.address;
                }
                match h.entry.standing {
                    Standing::Starting | Standing::Ready if l.draining => {
                        turned = true;
                        h.entry.standing = Standing::Draining;
                    }
                    Standing::Starting => h.entry.standing = Standing::Ready,
                    _ => {}
                }
            });
            if turned {
                self.look_at_host(&l.instance);
                self.touched.insert(l.service.clone());
            }
            if left {
                self.end(now, &l.instance, Duration::ZERO);
            }
        }
        let mut lost = Vec::new();
        for id in self.book.all().map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            if seen.contains(id.as_str()) {
                continue;
            }
            if let Some(h) = self.book.mark(&id) {
                if h.listed {
                    h.missing = h.missing.saturating_add(1);
                    if h.missing >= 2 || h.entry.standing == Standing::Draining {
                        lost.push(id);
                    }
                }
            }
        }
        for id in lost {
            self.lose(now, &id, self.habits.gone_lasts);
        }
        self.settle(now);
    }

    fn adopt(&mut self, now: Duration, l: &Listed) {
        let standing = if l.draining { Standing::Draining } else { Standing::Ready };
        self.book.insert(Held {
            entry: Entry {
                instance: l.instance.clone(),
                service: l.service.clone(),
                address: l.address,
                zone: l.zone.clone(),
                host: l.host.clone(),
                since_ms: now.as_millis() as u64,
                standing,
                replaces: None,
                version: 0,
            },
            known: now,
            ready: Some(now),
            listed: true,
            listed_draining: l.draining,
            missing: 0,
            up: 0,
            stop_at: None,
            stop_sent: false,
            stop_tries: 0,
            leaving: false,
        });
        self.look_at_host(&l.instance);
        self.welcome(now, &l.instance, &l.service);
    }

    /// An instance of an earlier holder: its service has had its traffic, or is not wanted.
    fn welcome(&mut self, now: Duration, instance: &str, service: &str) {
        self.touched.insert(service.to_string());
        let before_settling = !self.book.settled;
        match self.services.get_mut(service) {
            Some(svc) if before_settling => {
                svc.first_traffic.get_or_insert(Duration::ZERO);
            }
            None if self.configured => self.end(now, instance, Duration::ZERO),
            _ => {}
        }
    }

    fn look_at_host(&mut self, instance: &str) {
        if let Some(h) = self.book.mark(instance) {
            h.leaving = self.room.seating(&h.entry.host) != Seating::Up;
        }
    }

    /// What a lender tells.
    pub fn demand(&mut self, now: Duration, mut d: Demand) {
        let Some(svc) = self.services.get_mut(&d.service) else { return };
        for x in [&mut d.rate, &mut d.busy, &mut d.run_ms] {
            *x = if x.is_finite() { x.clamp(0.0, 65_536.0) } else { 0.0 };
        }
        d.origins.truncate(ZONES_MOST);
        d.origins.retain(|(_, share)| share.is_finite() && *share > 0.0);
        if svc.told.len() >= ZONES_MOST && !svc.told.contains_key(&d.zone) {
            return;
        }
        let active = d.busy >= 0.25 || d.waiting > 0;
        let call = if active { now } else { now.saturating_sub(Duration::from_millis(d.idle_ms.into())) };
        if active || d.rate > 0.0 {
            svc.last_call = Some(svc.last_call.map_or(call, |c| c.max(call)));
            svc.first_traffic.get_or_insert(now);
        }
        let busy = f64::from(d.busy);
        let told = svc.told.entry(d.zone.clone()).or_insert_with(|| Told {
            demand: d.clone(),
            at: now,
            slow: busy,
            steady: 0.0,
            began: now,
            rates: VecDeque::new(),
        });
        let gap = now.saturating_sub(told.at);
        told.slow += (busy - told.slow) * (1.0 - (-gap.as_secs_f64() / 4.0).exp());
        told.steady += (f64::from(d.rate) - told.steady) * (1.0 - (-gap.as_secs_f64() / 8.0).exp());
        if gap > self.habits.told_lasts {
            told.rates.clear();
        }
        while told.rates.front().is_some_and(|r| r.0 + Duration::from_millis(1100) < now) {
            told.rates.pop_front();
        }
        if told.rates.back().is_none_or(|r| r.0 + Duration::from_millis(50) <= now) {
            told.rates.push_back((now, f64::from(d.rate)));
        }
        // At once what cannot wait for the next pass.
        if d.waiting > 0 || d.waiting != told.demand.waiting {
            self.touched.insert(d.service.clone());
        }
        told.demand = d;
        told.at = now;
    }

    /// A lender found the instance gone. Believed over the list for a while.
    pub fn gone(&mut self, now: Duration, instance: &str) {
        if self.book.get(instance).is_some() {
            self.lose(now, instance, self.habits.gone_lasts);
        }
    }

    /// A lender had its first connection accepted.
    pub fn ready(&mut self, now: Duration, instance: &str) {
        if let Some(h) = self.book.mark(instance) {
            h.ready.get_or_insert(now);
        }
        self.book.change(instance, |h| {
            if h.entry.standing == Standing::Starting {
                h.entry.standing = Standing::Ready;
            }
        });
    }

    /// The answer to [`Order::Begin`].
    pub fn begun(&mut self, now: Duration, token: u64, answer: Begun) {
        let Some(start) = self.starts.get(&token) else { return };
        self.again.remove(&(start.at, token));
        let service = start.service.clone();
        match answer {
            Begun::Done { instance, address } => {
                let Some(start) = self.starts.remove(&token) else { return };
                self.room.done(&start.host, token, now);
                self.drop_under_way(&service, token);
                self.came(now, &start, Came::Here { instance: instance.clone() });
                self.accession(now, &start, instance, address);
            }
            Begun::NoRoom => {
                let Some(start) = self.starts.remove(&token) else { return };
                let until = now + self.terms.list_lag + Duration::from_millis(200);
                self.room.refused(&start.host, token, until);
                self.drop_under_way(&service, token);
                self.came(now, &start, Came::Refused);
            }
            Begun::NoService => {
                let Some(start) = self.starts.remove(&token) else { return };
                self.room.forget(&start.host, token);
                self.drop_under_way(&service, token);
                self.came(now, &start, Came::Refused);
                if let Some(svc) = self.services.get_mut(&service) {
                    svc.not_before = now + Duration::from_secs(1);
                }
            }
            Begun::TooMany => {
                let pause = Duration::from_millis(150 + u64::from(self.chance.rand_range(0..100)));
                self.pace.refused(now, pause);
                self.start_again(token, now + pause);
                self.trouble(now);
            }
            Begun::Unclear => {
                self.unclear(now, token);
                self.trouble(now);
            }
        }
        self.touched.insert(service);
    }

    fn accession(&mut self, now: Duration, start: &Start, instance: String, address: SocketAddr) {
        // Already listed, or a repeat of a start whose instance has ended since.
        if start.replaces.is_some() {
            self.book.change(&instance, |h| h.entry.replaces.clone_from(&start.replaces));
        }
        if self.book.get(&instance).is_some() || self.dead.get(&instance).is_some_and(|until| now < *until) {
            return;
        }
        let zone = self.room.zone(&start.host).unwrap_or_default().to_string();
        self.book.insert(Held {
            entry: Entry {
                instance: instance.clone(),
                service: start.service.clone(),
                address,
                zone,
                host: start.host.clone(),
                since_ms: now.as_millis() as u64,
                standing: Standing::Starting,
                replaces: start.replaces.clone(),
                version: 0,
            },
            known: now,
            ready: None,
            listed: false,
            listed_draining: false,
            missing: 0,
            up: 0,
            stop_at: None,
            stop_sent: false,
            stop_tries: 0,
            leaving: false,
        });
        self.look_at_host(&instance);
        self.end_if_too_late(now, &instance);
        if !self.services.contains_key(&start.service) {
            self.end(now, &instance, Duration::ZERO);
        }
    }

    fn start_again(&mut self, token: u64, at: Duration) {
        if let Some(s) = self.starts.get_mut(&token) {
            s.sent = false;
            s.at = at;
            self.again.insert((at, token));
        }
    }

    fn unclear(&mut self, now: Duration, token: u64) {
        let Some(s) = self.starts.get_mut(&token) else { return };
        s.tries = (s.tries + 1).min(RETRY_MOST);
        let at = now + self.habits.repeat * s.tries;
        self.start_again(token, at);
    }

    fn drop_under_way(&mut self, service: &str, token: u64) {
        if let Some(svc) = self.services.get_mut(service) {
            svc.under_way.retain(|u| u.0 != token);
        }
    }

    /// The answer to [`Order::Stop`]; `ok` also when no such instance is known there (404).
    pub fn stopped(&mut self, now: Duration, token: u64, ok: bool) {
        let Some((instance, _)) = self.stopping.remove(&token) else { return };
        if ok {
            self.ended(&instance);
            self.lose(now, &instance, 3 * self.habits.gone_lasts);
        } else if let Some(h) = self.book.mark(&instance) {
            h.stop_tries = (h.stop_tries + 1).min(RETRY_MOST);
            let at = now + self.habits.repeat * h.stop_tries;
            h.stop_at = Some(at);
            self.stops.insert((at, instance));
        }
    }

    /// What the schedulers knew under an earlier holder: the entries, the highest accession number
    /// of each service, and the tag of that numbering (0 if they know none). May be called for
    /// each scheduler that tells; of several tags the highest holds.
    pub fn inherit(&mut self, now: Duration, entries: &[Entry], numbers: &[(String, u32)], tag: u64) {
        if tag > 0 && self.starts.is_empty() && self.inherited_tag.is_none_or(|t| t <= tag) {
            if self.inherited_tag != Some(tag) {
                self.numbers.clear();
            }
            self.inherited_tag = Some(tag);
            self.tag = tag;
            for (service, n) in numbers {
                let own = self.numbers.entry(service.clone()).or_default();
                *own = (*own).max(*n);
            }
        }
        for e in entries {
            self.book.beyond(e.version);
            if self.book.get(&e.instance).is_some() || self.dead.contains_key(&e.instance) {
                continue;
            }
            if e.standing == Standing::Starting {
                if let Some(svc) = self.services.get(&e.service) {
                    self.tokens += 1;
                    self.room.take(&e.host, self.tokens, svc.spec.memory_mb, Some(now));
                }
            }
            let ready = (e.standing != Standing::Starting).then_some(now);
            let ending = e.standing == Standing::Ending;
            let mut entry = e.clone();
            entry.since_ms = now.as_millis() as u64;
            self.book.insert(Held {
                entry,
                known: now,
                ready,
                listed: false,
                listed_draining: false,
                missing: 0,
                up: 0,
                stop_at: None,
                stop_sent: ending,
                stop_tries: 0,
                leaving: false,
            });
            self.look_at_host(&e.instance);
            self.welcome(now, &e.instance, &e.service);
            if ending {
                self.end(now, &e.instance, self.habits.ending);
            }
        }
    }

    /// Marks an instance as ending; it is stopped after `wait`.
    fn end(&mut self, now: Duration, instance: &str, wait: Duration) {
        let at = now + wait.max(self.habits.ending).min(self.habits.ending_max.max(self.habits.ending));
        self.book.change(instance, |h| h.entry.standing = Standing::Ending);
        if let Some(h) = self.book.mark(instance) {
            if h.stop_at.is_none() {
                h.stop_at = Some(at);
                self.stops.insert((at, instance.to_string()));
            }
        }
    }

    /// An entry is no more; the list is not believed about it for `lasts`.
    fn lose(&mut self, now: Duration, instance: &str, lasts: Duration) {
        let Some(h) = self.book.remove(instance, now) else { return };
        if h.counts() {
            self.trouble(now);
        }
        if let Some(at) = h.stop_at {
            self.stops.remove(&(at, instance.to_string()));
        }
        let until = now + lasts;
        if let Some(old) = self.dead.insert(instance.to_string(), until) {
            self.dead_by.remove(&(old, instance.to_string()));
        }
        self.dead_by.insert((until, instance.to_string()));
        while self.dead.len() > DEAD_MOST {
            let Some((_, id)) = self.dead_by.pop_first() else { break };
            self.dead.remove(&id);
        }
        self.touched.insert(h.entry.service);
    }

    fn settle(&mut self, now: Duration) {
        let told = self.inherited_tag.is_some() || now >= self.born + self.habits.settle;
        if self.listed && self.room.known && self.configured && told && !self.book.settled {
            self.book.settle();
            self.touched.extend(self.services.keys().cloned());
        }
    }

    fn pass(&mut self, now: Duration) {
        self.last_pass = Some(now);
        self.settle(now);
        self.book.clean(now);
        while self.dead_by.first().is_some_and(|d| d.0 <= now) {
            if let Some((_, id)) = self.dead_by.pop_first() {
                self.dead.remove(&id);
            }
        }
        let lag = self.terms.list_lag;
        let mut lost = Vec::new();
        for h in self.book.all().filter(|h| !h.listed) {
            let boot = self.services.get(&h.entry.service).map_or(1000, |s| s.spec.boot_ms);
            let most = Duration::from_millis(u64::from(boot) * 3 + 2000) + lag;
            if h.known + most < now {
                lost.push(h.entry.instance.clone());
            }
        }
        for id in lost {
            self.lose(now, &id, self.habits.gone_lasts);
        }
        let silent: Vec<u64> = self.stopping.iter().filter(|s| s.1 .1 <= now).map(|s| *s.0).collect();
        for token in silent {
            self.stopped(now, token, false);
        }
        self.touched.clear();
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.plan(now, &name);
        }
        self.rebind_pass(now);
    }

    /// Demand of one service by the zone it comes from, cleaned, and calls waiting.
    pub(crate) fn pulls(&self, now: Duration, svc: &Svc) -> (Vec<Pull>, u32) {
        let mut waiting = 0;
        let lasts = self.habits.told_lasts;
        let mut pulls: BTreeMap<&str, Pull> = BTreeMap::new();
        for t in svc.told.values().filter(|t| t.at + lasts > now) {
            let d = &t.demand;
            waiting += u32::from(d.waiting);
            let rate = f64::from(d.rate);
            let then = t.rates.front().map_or(rate, |r| r.1);
            let rise = (rate - then - 1.5 * (then + 0.5).sqrt()).max(0.0);
            for (zone, share) in t.shares() {
                let pull =
                    pulls.entry(zone).or_insert_with(|| Pull { zone: zone.to_string(), ..Pull::default() });
                // Run times of several lenders, weighed by their calls.
                let (had, come) = (pull.rate + pull.busy, share * (rate + f64::from(d.busy)));
                let weight = if had + come > 0.0 { come / (had + come) } else { 1.0 };
                pull.run_ms += (f64::from(d.run_ms) - pull.run_ms) * weight;
                pull.rate += share * rate;
                pull.rise += share * rise;
                pull.busy += share * f64::from(d.busy);
                pull.slow += share * t.slow;
                // What the smoothing from zero hides in the first seconds is made up for.
                let known = now.saturating_sub(t.began).as_secs_f64().max(3.0);
                pull.steady += share * t.steady / (1.0 - (-known / 8.0).exp());
                pull.peak += share * f64::from(d.peak);
                pull.waiting += share * f64::from(d.waiting);
            }
        }
        (pulls.into_values().collect(), waiting)
    }

    /// The zones in the order in which a service without demand has them.
    fn homes(&self, name: &str) -> Vec<String> {
        let n = self.terms.zones.len();
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        (0..n).map(|i| self.terms.zones[((hash >> 32) as usize + i) % n].0.clone()).collect()
    }

    /// Compares what is wanted of a service with what is there.
    fn plan(&mut self, now: Duration, name: &str) {
        let Some(svc) = self.services.get(name) else { return };
        let (pulls, waiting) = self.pulls(now, svc);
        let spec = svc.spec.clone();
        let sleeps = self.habits.sleeps(&spec);
        let told_rate: f64 = pulls.iter().map(|p| p.rate).sum();
        let past = now.saturating_sub(svc.rate_at).as_secs_f64();
        let rate = svc.rate + (told_rate - svc.rate) * (1.0 - (-past / 15.0).exp());
        // The smoothing began at zero: what that hides in the first seconds of traffic is made up for.
        let known = svc.first_traffic.map_or(0.0, |first| now.saturating_sub(first).as_secs_f64()).max(4.0);
        let usual = rate / (1.0 - (-known / 15.0).exp());

        let (mut have, mut there) = (BTreeMap::<&str, u32>::new(), 0);
        let (mut ending, mut last_ready, mut last_known) = (0, Duration::ZERO, Duration::ZERO);
        let moves =
            self.rebind.as_ref().map(|r| r.moves_of(name, &self.book, &self.room)).unwrap_or_default();
        for h in self.book.of(name) {
            last_known = last_known.max(h.known);
            if moves.holds(&h.entry.instance) && !(h.counts() && moves.counts(&h.entry.instance)) {
                continue;
            }
            if h.counts() {
                *have.entry(&h.entry.zone).or_default() += 1;
                there += 1;
                last_ready = last_ready.max(h.ready.unwrap_or(now));
            } else if h.entry.standing == Standing::Ending {
                ending += 1;
            }
        }
        let begun = there;
        for (_, zone) in &svc.under_way {
            *have.entry(zone).or_default() += 1;
            there += 1;
        }
        for zone in &moves.coming {
            *have.entry(zone).or_default() += 1;
            there += 1;
        }

        let floor = if sleeps || !spec.routed {
            0
        } else if svc.first_traffic.is_some_and(|f| f > Duration::ZERO && now < f + self.habits.early) {
            self.habits.early_floor.max(self.habits.floor)
        } else {
            self.habits.floor
        };
        // A start that takes longer than a drain leaves a gap wherever the only instance is lost.
        let covered = u128::from(spec.boot_ms) <= self.terms.drain.as_millis();
        let floor = if floor > 0 && !covered { floor.max(2) } else { floor };
        let homes = if floor > 0 { self.homes(name) } else { Vec::new() };
        let mut want = wanted(&self.habits, &spec, &pulls, floor, &homes);
        // Asleep, or idle for longer than an instance is worth.
        let mut idle = false;
        if floor == 0 && waiting == 0 {
            let last = svc.last_call.unwrap_or_default().max(last_ready);
            idle = now > last + self.habits.window(&spec, usual) && !self.habits.keeps(&spec, 1.4 * usual);
            if there == 0 && (svc.last_call.is_none_or(|c| c + self.habits.pass < now) || sleeps) || idle {
                want = Wanted::default();
            } else if want.total == 0 {
                want.total = there.min(1);
                want.zones = have.iter().take(1).map(|(z, _)| (z.to_string(), 1)).collect();
            }
        }
        // Before everything is known, only for calls that wait.
        if !self.book.settled && waiting == 0 {
            want.total = want.total.min(there);
        }

        let spread = |have: &BTreeMap<&str, u32>, zone: &str| {
            i64::from(want.in_zone(zone)) - i64::from(have.get(zone).copied().unwrap_or(0))
        };
        let after = if sleeps { self.habits.lower_after_sleeper } else { self.habits.lower_after };
        let watched = svc.watched.unwrap_or(now);
        let most =
            svc.highs.iter().filter(|h| h.0 + after > now).map(|h| h.1).max().unwrap_or(0).max(want.total);
        let mut lacks = Vec::new();
        let mut revive = Vec::new();
        let mut end = Vec::new();
        let mut lowered = svc.lowered;
        let mut zone_lack = None;
        if there < want.total {
            let mut count = want.total - there;
            for h in self.book.of(name).filter(|h| h.entry.standing == Standing::Ending) {
                if count > 0
                    && !h.stop_sent
                    && !h.leaving
                    && !h.listed_draining
                    && !moves.holds(&h.entry.instance)
                {
                    revive.push(h.entry.instance.clone());
                    *have.entry(&h.entry.zone).or_default() += 1;
                    count -= 1;
                }
            }
            for _ in 0..count.min(self.habits.under_way as u32) {
                let most = want.zones.iter().max_by_key(|z| (spread(&have, &z.0), z.1));
                let Some((zone, _)) = most else { break };
                lacks.push(zone.clone());
                *have.entry(zone).or_default() += 1;
            }
        } else {
            let lacking = want
                .own
                .iter()
                .find(|(z, n)| have.get(z.as_str()).copied().unwrap_or(0) < *n && want.in_zone(z) >= *n);
            if let Some((zone, _)) =
                lacking.filter(|z| there == want.total && self.room.room_in(now, &z.0, spec.memory_mb))
            {
                let since = svc.zone_lack.unwrap_or(now);
                zone_lack = Some(since);
                if since + self.habits.move_after <= now && ending == 0 {
                    lacks.push(zone.clone());
                    zone_lack = None;
                }
            }
            if there > want.total {
                // One that slept through its window is not kept longer; the last stops are never
                // those of a service that cannot sleep, as `want` has its floor.
                let down_to = if idle { want.total } else { most };
                let due = idle || watched + after <= now && lowered + self.habits.lower_again <= now;
                let a_round = (begun / 3).max(1).saturating_sub(ending);
                let count = (there - down_to.min(there)).min(a_round).min(begun.saturating_sub(down_to));
                if due && count > 0 {
                    let mut ready: Vec<&Held> = self
                        .book
                        .of(name)
                        .filter(|h| h.counts() && h.entry.standing == Standing::Ready)
                        .filter(|h| !moves.holds(&h.entry.instance))
                        .collect();
                    for _ in 0..count {
                        // Where most are too many, the newest.
                        let next = ready.iter().enumerate().min_by_key(|(_, h)| {
                            let zone = h.entry.zone.as_str();
                            (spread(&have, zone), want.in_zone(zone), u64::MAX - h.entry.since_ms)
                        });
                        let Some((at, _)) = next else { break };
                        let h = ready.swap_remove(at);
                        if let Some(n) = have.get_mut(h.entry.zone.as_str()) {
                            *n = n.saturating_sub(1);
                        }
                        end.push(h.entry.instance.clone());
                    }
                    if !end.is_empty() {
                        lowered = now;
                    }
                }
            }
        }
        let run = pulls.iter().map(|p| p.run_ms).fold(0.0, f64::max);

        let Some(svc) = self.services.get_mut(name) else { return };
        svc.rate = rate;
        (svc.want, svc.there) = (want.total, there);
        svc.rate_at = now;
        while svc.highs.front().is_some_and(|h| h.0 + after <= now) {
            svc.highs.pop_front();
        }
        while svc.highs.back().is_some_and(|h| h.1 <= want.total) {
            svc.highs.pop_back();
        }
        svc.highs.push_back((now, want.total));
        svc.watched = Some(watched);
        svc.lowered = lowered;
        svc.zone_lack = zone_lack;
        svc.lacks = lacks;
        let rank = (!svc.lacks.is_empty())
            .then(|| (waiting == 0, spec.priority, u16::MAX - waiting.min(65_535) as u16, spec.name));
        if svc.rank != rank {
            if let Some(old) = svc.rank.take() {
                self.eager.remove(&old);
            }
            if let Some(new) = &rank {
                self.eager.insert(new.clone());
            }
            svc.rank = rank;
        }
        for id in revive {
            if let Some(at) = self.book.mark(&id).and_then(|h| h.stop_at.take()) {
                self.stops.remove(&(at, id.clone()));
            }
            self.book.change(&id, |h| {
                h.entry.standing = if h.ready.is_some() { Standing::Ready } else { Standing::Starting };
            });
        }
        for id in end {
            self.end(now, &id, Duration::from_secs_f64(run * 3.0 / 1e3));
        }
    }

    /// The next call to the platform, if there is one to make now.
    pub fn next(&mut self, now: Duration) -> Option<Order> {
        if self.last_pass.is_none_or(|l| l + self.habits.pass <= now) {
            self.pass(now);
        }
        while let Some(name) = self.touched.pop_first() {
            self.plan(now, &name);
        }
        // Starts without an answer.
        while let Some((at, token)) = self.again.first().copied() {
            if at > now {
                break;
            }
            if self.starts.get(&token).is_some_and(|s| s.sent) {
                self.again.pop_first();
                self.unclear(now, token);
                continue;
            }
            break;
        }
        self.quiet = None;
        let left = self.pace.left(now);
        if left == 0 {
            return None;
        }
        // A start that waits for its answer may lie before one to repeat; there are few.
        let due = self
            .again
            .iter()
            .take_while(|a| a.0 <= now)
            .find(|a| self.starts.get(&a.1).is_some_and(|s| !s.sent));
        if let Some((at, token)) = due.copied() {
            self.again.remove(&(at, token));
            return self.send(now, token);
        }
        if let Some(order) = self.start(now) {
            return Some(order);
        }
        let reserve = if self.eager.is_empty() { 0 } else { self.pace.most() / 4 };
        if left <= reserve {
            self.quiet = Some(now);
            return None;
        }
        if let Some(order) = self.rebind_order(now) {
            return Some(order);
        }
        while let Some((at, id)) = self.stops.first().cloned() {
            if at > now {
                break;
            }
            self.stops.pop_first();
            let Some(h) = self.book.mark(&id) else { continue };
            h.stop_sent = true;
            h.stop_at = None;
            self.pace.made(now);
            self.tokens += 1;
            self.stopping.insert(self.tokens, (id.clone(), now + self.habits.answer));
            return Some(Order::Stop { token: self.tokens, instance: id });
        }
        self.quiet = Some(now);
        None
    }

    pub(crate) fn send(&mut self, now: Duration, token: u64) -> Option<Order> {
        let start = self.starts.get_mut(&token)?;
        start.sent = true;
        start.at = now + self.habits.answer;
        self.again.insert((start.at, token));
        self.pace.made(now);
        let Start { service, host, nonce, .. } = &*start;
        Some(Order::Begin { token, service: service.clone(), host: host.clone(), nonce: nonce.clone() })
    }

    /// A new start, for the service that needs it most.
    fn start(&mut self, now: Duration) -> Option<Order> {
        if !self.listed || !self.room.known || self.starts.len() >= self.habits.under_way {
            return None;
        }
        let mut blocked = Vec::new();
        let mut order = None;
        while let Some(rank) = self.eager.first().cloned() {
            let name = rank.3.clone();
            let Some(svc) = self.services.get_mut(&name) else {
                self.eager.remove(&rank);
                continue;
            };
            let mut on = BTreeMap::<String, u32>::new();
            for h in self.book.of(&name) {
                *on.entry(h.entry.host.clone()).or_default() += 1;
            }
            for (token, _) in &svc.under_way {
                if let Some(s) = self.starts.get(token) {
                    *on.entry(s.host.clone()).or_default() += 1;
                }
            }
            let memory = svc.spec.memory_mb;
            let zone = svc.lacks.last().cloned().filter(|_| svc.not_before <= now);
            let host = zone.and_then(|z| self.room.place(now, &z, memory, &on, &mut self.chance));
            let Some(host) = host else {
                if svc.not_before <= now {
                    svc.not_before = now + self.habits.pass;
                    if let Some(r) = &mut self.rebind {
                        r.blocked(now, &name);
                    }
                }
                self.eager.remove(&rank);
                blocked.push(rank);
                continue;
            };
            svc.lacks.pop();
            if svc.lacks.is_empty() {
                self.eager.remove(&rank);
                svc.rank = None;
            }
            self.tokens += 1;
            let token = self.tokens;
            svc.under_way.push((token, self.room.zone(&host).unwrap_or_default().to_string()));
            let n = self.numbers.entry(name.clone()).or_default();
            *n = n.wrapping_add(1);
            let nonce = nonce(self.tag, &name, *n);
            self.room.take(&host, token, memory, None);
            self.starts.insert(
                token,
                Start { service: name, host, nonce, at: now, sent: false, tries: 0, replaces: None },
            );
            order = self.send(now, token);
            break;
        }
        // Tried again in the next pass, which ranks them anew.
        for rank in blocked {
            if let Some(svc) = self.services.get_mut(&rank.3) {
                svc.rank = None;
            }
        }
        order
    }

    /// When [`Scaler::next`] may have something without a further input.
    pub fn next_due(&self) -> Duration {
        let Some(last) = self.last_pass else { return Duration::ZERO };
        let mut due = last + self.habits.pass;
        if !self.touched.is_empty() {
            return last;
        }
        // What `next` left alone though it might have called waits for an input or the next pass.
        let (asked, quiet) = (self.quiet.unwrap_or(last), self.quiet.is_some());
        let again = self.again.first().map(|a| a.0);
        let stop = self.stops.first().map(|s| s.0).filter(|at| !quiet || *at > asked);
        let eager = (!self.eager.is_empty() && !quiet).then_some(last);
        let moves = (self.rebind.as_ref().is_some_and(|r| r.has_orders()) && !quiet).then_some(last);
        for at in [again, stop, eager, moves].into_iter().flatten() {
            due = due.min(self.pace.free_at(at.max(asked)));
        }
        due
    }

    /// Every instance known.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.book.all().map(|h| &h.entry)
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.book.version()
    }

    /// The version of a change that is told beside those of the instances.
    pub fn next_version(&mut self) -> u64 {
        self.book.next_version()
    }

    /// What changed after `version`. While the holder is new and does not know all, never whole.
    pub fn since(&self, version: u64) -> News {
        self.book.since(version)
    }

    /// Whether the entries are known to be all there are.
    pub fn settled(&self) -> bool {
        self.book.settled
    }

    /// The highest accession number of each service, and the tag of the numbering. To be told
    /// before or with the entries; a number is used once it is in an order.
    pub fn numbers(&self) -> (Vec<(String, u32)>, u64) {
        (self.numbers.iter().map(|(s, n)| (s.clone(), *n)).collect(), self.tag)
    }
}

/// At most 64 bytes; the name of a service that is too long is given by its digest.
fn nonce(tag: u64, service: &str, n: u32) -> String {
    let plain = format!("{tag:x}.{service}.{n}");
    if plain.len() <= 64 {
        return plain;
    }
    let digest =
        |basis: u64| service.bytes().fold(basis, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    format!("{tag:x}.{:x}{:x}.{n}", digest(0xcbf2_9ce4_8422_2325), digest(0x9e37_79b9_7f4a_7c15))
}
