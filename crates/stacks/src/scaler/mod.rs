//! The decider.

mod handover;
mod instances;
mod orders;
mod planning;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand32;

use crate::book::{Book, ChangeSet, Held};
use crate::pace::Pace;
use crate::rebind::{Came, Rebind};
use crate::room::{Room, Seating};
use crate::want::{desired_instances, DesiredInstances, ZoneDemand};
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
    pub(crate) terms: PlatformSettings,
    pub tuning: Tuning,
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
    pub fn new(terms: PlatformSettings, tag: u64, seed: u64, now: Duration) -> Scaler {
        Scaler::with_tuning(terms, Tuning::default(), tag, seed, now)
    }

    pub fn with_tuning(
        terms: PlatformSettings,
        tuning: Tuning,
        tag: u64,
        seed: u64,
        now: Duration,
    ) -> Scaler {
        let pace = Pace::new(terms.call_rate * tuning.duty_share);
        Scaler {
            room: Room::new(&terms.zones, terms.list_lag),
            terms,
            tuning,
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
    pub fn update_services(&mut self, now: Duration, services: &[Service]) {
        if !self.configured || self.services.len() != services.len() || {
            services.iter().any(|s| self.services.get(&s.name).is_none_or(|svc| svc.spec != *s))
        } {
            self.configuration_changing(now);
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
    pub fn update_hosts(&mut self, now: Duration, hosts: &[Host]) {
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
            self.lose(now, &id, self.tuning.gone_lasts);
        }
        let starting = self.book.all().filter(|h| h.entry.state == InstanceState::Starting);
        for id in starting.map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            self.end_if_too_late(now, &id);
        }
    }

    /// The list shows an instance once it is up: one still starting on a host that drains is lent from its first connection
    /// until the list shows it as draining, which may be after it has to take nothing any more.
    fn end_if_too_late(&mut self, now: Duration, instance: &str) {
        let starting = self.book.get(instance).filter(|h| h.entry.state == InstanceState::Starting);
        if starting.is_some_and(|h| self.room.drains(&h.entry.host)) {
            self.end(now, instance, Duration::ZERO);
        }
    }

    fn settle(&mut self, now: Duration) {
        let told = self.inherited_tag.is_some() || now >= self.born + self.tuning.settle;
        if self.listed && self.room.known && self.configured && told && !self.book.settled {
            self.book.settle();
            self.touched.extend(self.services.keys().cloned());
        }
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
    pub fn changes_since(&self, version: u64) -> ChangeSet {
        self.book.since(version)
    }

    /// Whether the entries are known to be all there are.
    pub fn settled(&self) -> bool {
        self.book.settled
    }

    /// When [`Scaler::next`] may have something without a further input.
    pub fn next_due(&self) -> Duration {
        let Some(last) = self.last_pass else { return Duration::ZERO };
        let mut due = last + self.tuning.pass;
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
