//! The autoscaler's state and its inputs.

mod handover;
mod instances;
mod orders;
mod planning;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand32;

use crate::capacity::{HostCapacity, HostStatus};
use crate::desired::{desired_instances, DesiredInstances, ZoneDemand};
use crate::rate_limiter::RateLimiter;
use crate::rebind::{Rebind, StartOutcome};
use crate::registry::{ChangeSet, InstanceRecord, Registry};
use crate::types::*;

/// Zones that may report demand for one service.
const MAX_ZONES: usize = 64;
/// Ended instances that are remembered, as the platform's list may still show them.
const MAX_TOMBSTONES: usize = 20_000;
const MAX_RETRY_FACTOR: u32 = 4;
/// A list lags by less than this many readings.
const MAX_UP_LISTS: u8 = 4;

#[derive(Debug)]
pub(crate) struct DemandReport {
    pub(crate) demand: Demand,
    pub(crate) at: Duration,
    pub(crate) sustained_busy: f64,
    /// Arrivals a second, smoothed over 8 s from zero, and the time of the first report.
    pub(crate) sustained_rate: f64,
    first_at: Duration,
    /// Reported rates of the last second.
    pub(crate) rates: VecDeque<(Duration, f64)>,
}

#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) spec: Service,
    pub(crate) reports: BTreeMap<String, DemandReport>,
    /// Pending starts: token and zone.
    pub(crate) pending_starts: Vec<(u64, String)>,
    pub(crate) first_traffic: Option<Duration>,
    pub(crate) last_call: Option<Duration>,
    /// Calls a second, smoothed over 15 s.
    pub(crate) rate: f64,
    pub(crate) rate_at: Duration,
    /// Recent maxima of the target, in falling order; since when they are recorded; the last round of stops.
    pub(crate) recent_targets: VecDeque<(Duration, u32)>,
    pub(crate) watched_since: Option<Duration>,
    pub(crate) last_scale_down: Duration,
    pub(crate) zone_missing_since: Option<Duration>,
    /// Zones that need a start, and the rank among all services that need one.
    pub(crate) missing_zones: Vec<String>,
    pub(crate) rank: Option<Rank>,
    /// Target and present number of instances, as of the last planning.
    pub(crate) target: u32,
    pub(crate) present: u32,
    /// No start before this: no host had free capacity, or the platform does not know the service.
    pub(crate) not_before: Duration,
}

/// Order of starts, the most urgent first: no call waiting, priority, number of waiting calls (inverted),
/// name.
pub(crate) type Rank = (bool, u8, u16, String);

#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) service: String,
    pub(crate) host: String,
    pub(crate) nonce: String,
    /// When to send it (again), or when its response times out.
    pub(crate) at: Duration,
    pub(crate) sent: bool,
    pub(crate) attempts: u32,
    /// For a move: the instance that it replaces.
    pub(crate) replaces: Option<String>,
}

impl DemandReport {
    /// Zones from which the demand comes, with their shares.
    fn shares(&self) -> Vec<(&str, f64)> {
        let all: f32 = self.demand.origins.iter().map(|(_, share)| share).sum();
        if all <= 0.0 {
            return vec![(self.demand.zone.as_str(), 1.0)];
        }
        self.demand.origins.iter().map(|(zone, share)| (zone.as_str(), f64::from(share / all))).collect()
    }
}

/// Decides starts and stops; see the crate documentation.
#[derive(Debug)]
pub struct Scaler {
    pub(crate) platform: PlatformSettings,
    pub tuning: Tuning,
    pub(crate) rng: Rand32,
    pub(crate) created: Duration,
    pub(crate) tag: u64,
    pub(crate) inherited_tag: Option<u64>,
    pub(crate) numbers: BTreeMap<String, u32>,
    pub(crate) last_token: u64,
    pub(crate) configured: bool,
    pub(crate) list_received: bool,
    pub(crate) services: BTreeMap<String, ServiceState>,
    pub(crate) dirty: BTreeSet<String>,
    pub(crate) start_queue: BTreeSet<Rank>,
    pub(crate) capacity: HostCapacity,
    pub(crate) registry: Registry,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) starts: BTreeMap<u64, Start>,
    /// Starts to repeat and starts that wait for their response, by time.
    pub(crate) start_deadlines: BTreeSet<(Duration, u64)>,
    /// Stops to send, by time.
    pub(crate) stop_queue: BTreeSet<(Duration, String)>,
    pub(crate) pending_stops: BTreeMap<u64, (String, Duration)>,
    /// Ended instances, with the time until which the platform's list is ignored for them.
    pub(crate) tombstones: BTreeMap<String, Duration>,
    pub(crate) tombstone_expiry: BTreeSet<(Duration, String)>,
    pub(crate) last_pass: Option<Duration>,
    /// When `next` last returned nothing although the rate limit allowed a call.
    pub(crate) idle_since: Option<Duration>,
    /// State of the moves; `None` if nothing may be moved.
    pub(crate) rebind: Option<Box<Rebind>>,
}

impl Scaler {
    /// `tag` is the number of the lease, which grows from one holder to the next. It is part of the nonces
    /// unless [`Scaler::inherit`] supplies an earlier one. Versions begin above those of any earlier lease.
    pub fn new(platform: PlatformSettings, tag: u64, seed: u64, now: Duration) -> Scaler {
        Scaler::with_tuning(platform, Tuning::default(), tag, seed, now)
    }

    pub fn with_tuning(
        platform: PlatformSettings,
        tuning: Tuning,
        tag: u64,
        seed: u64,
        now: Duration,
    ) -> Scaler {
        let rate_limiter = RateLimiter::new(platform.call_rate * tuning.call_rate_share);
        Scaler {
            capacity: HostCapacity::new(&platform.zones, platform.list_lag),
            platform,
            tuning,
            rng: Rand32::new(seed),
            created: now,
            tag,
            inherited_tag: None,
            numbers: BTreeMap::new(),
            last_token: 0,
            configured: false,
            list_received: false,
            services: BTreeMap::new(),
            dirty: BTreeSet::new(),
            start_queue: BTreeSet::new(),
            registry: Registry::new(tag << 32),
            rate_limiter,
            starts: BTreeMap::new(),
            start_deadlines: BTreeSet::new(),
            stop_queue: BTreeSet::new(),
            pending_stops: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            tombstone_expiry: BTreeSet::new(),
            last_pass: None,
            idle_since: None,
            rebind: None,
        }
    }

    /// Takes the complete configuration in force. Instances of services that are not in it are stopped.
    pub fn update_services(&mut self, now: Duration, services: &[Service]) {
        if !self.configured || self.services.len() != services.len() || {
            services
                .iter()
                .any(|s| self.services.get(&s.name).is_none_or(|service_state| service_state.spec != *s))
        } {
            self.configuration_changing(now);
        }
        self.configured = true;
        let names: BTreeSet<&str> = services.iter().map(|s| s.name.as_str()).collect();
        let removed: Vec<String> =
            self.services.keys().filter(|n| !names.contains(n.as_str())).cloned().collect();
        for name in removed {
            if let Some(rank) = self.services.remove(&name).and_then(|s| s.rank) {
                self.start_queue.remove(&rank);
            }
        }
        for spec in services {
            self.dirty.insert(spec.name.clone());
            match self.services.get_mut(&spec.name) {
                Some(s) => s.spec = spec.clone(),
                None => {
                    let service_state = ServiceState {
                        spec: spec.clone(),
                        reports: BTreeMap::new(),
                        pending_starts: self
                            .starts
                            .iter()
                            .filter(|(_, s)| s.service == spec.name && s.replaces.is_none())
                            .map(|(t, s)| (*t, self.capacity.zone(&s.host).unwrap_or_default().to_string()))
                            .collect(),
                        first_traffic: None,
                        last_call: None,
                        rate: 0.0,
                        rate_at: now,
                        recent_targets: VecDeque::new(),
                        watched_since: None,
                        last_scale_down: Duration::ZERO,
                        zone_missing_since: None,
                        missing_zones: Vec::new(),
                        rank: None,
                        target: 0,
                        present: 0,
                        not_before: Duration::ZERO,
                    };
                    self.services.insert(spec.name.clone(), service_state);
                }
            }
        }
        let unconfigured: Vec<String> = self
            .registry
            .all()
            .filter(|h| !self.services.contains_key(&h.entry.service))
            .map(|h| h.entry.instance.clone())
            .collect();
        for id in unconfigured {
            self.end(now, &id, Duration::ZERO);
        }
    }

    /// Takes the complete response of `GET /v1/workers`.
    pub fn update_hosts(&mut self, now: Duration, hosts: &[Host]) {
        if !self.capacity.update(now, hosts) {
            return;
        }
        self.note_disturbance(now);
        // A host appeared, disappeared or changed its state: its instances are re-evaluated.
        let mut down = Vec::new();
        let mut leaving = Vec::new();
        for h in self.registry.all() {
            match self.capacity.status(&h.entry.host) {
                HostStatus::Down => down.push(h.entry.instance.clone()),
                s => leaving.push((
                    h.entry.instance.clone(),
                    h.entry.service.clone(),
                    s == HostStatus::Leaving,
                )),
            }
        }
        for (id, service, leaves) in leaving {
            if let Some(h) = self.registry.record_mut(&id) {
                if h.host_leaving != leaves {
                    h.host_leaving = leaves;
                    self.dirty.insert(service);
                }
            }
        }
        for id in down {
            self.remove_instance(now, &id, self.tuning.loss_ttl);
        }
        let starting = self.registry.all().filter(|h| h.entry.state == InstanceState::Starting);
        for id in starting.map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            self.end_if_host_drains(now, &id);
        }
    }

    /// Ends an instance that is still starting on a draining host. The platform's list shows an instance only
    /// once it is up, so its slots would be allocated from its first connection until the list shows it as
    /// draining, which may be after the time at which it must not take calls any more.
    fn end_if_host_drains(&mut self, now: Duration, instance: &str) {
        let starting = self.registry.get(instance).filter(|h| h.entry.state == InstanceState::Starting);
        if starting.is_some_and(|h| self.capacity.drains(&h.entry.host)) {
            self.end(now, instance, Duration::ZERO);
        }
    }

    fn settle(&mut self, now: Duration) {
        let informed = self.inherited_tag.is_some() || now >= self.created + self.tuning.settle_delay;
        if self.list_received && self.capacity.known && self.configured && informed && !self.registry.settled
        {
            self.registry.settle();
            self.dirty.extend(self.services.keys().cloned());
        }
    }

    /// All known instances.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.registry.all().map(|h| &h.entry)
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.registry.version()
    }

    /// A new version, for a change that is announced along with those of the instances.
    pub fn next_version(&mut self) -> u64 {
        self.registry.next_version()
    }

    /// The changes after `version`. Never the complete set while a new lease holder does not know all
    /// instances yet.
    pub fn changes_since(&self, version: u64) -> ChangeSet {
        self.registry.changes_since(version)
    }

    /// Whether the entries are known to be complete.
    pub fn settled(&self) -> bool {
        self.registry.settled
    }

    /// When [`Scaler::next`] may return an order without a further input.
    pub fn next_due(&self) -> Duration {
        let Some(last) = self.last_pass else { return Duration::ZERO };
        let mut due = last + self.tuning.pass_interval;
        if !self.dirty.is_empty() {
            return last;
        }
        // Orders that `next` held back although the rate limit allowed a call wait for an input or the next
        // pass.
        let (last_asked, idle) = (self.idle_since.unwrap_or(last), self.idle_since.is_some());
        let start_deadlines = self.start_deadlines.first().map(|a| a.0);
        let stop = self.stop_queue.first().map(|s| s.0).filter(|at| !idle || *at > last_asked);
        let start_queue = (!self.start_queue.is_empty() && !idle).then_some(last);
        let moves = (self.rebind.as_ref().is_some_and(|r| r.has_orders()) && !idle).then_some(last);
        for at in [start_deadlines, stop, start_queue, moves].into_iter().flatten() {
            due = due.min(self.rate_limiter.next_allowed(at.max(last_asked)));
        }
        due
    }
}

/// Idempotency key of a start, at most 64 bytes; a service name that is too long is replaced by its digest.
fn nonce(tag: u64, service: &str, n: u32) -> String {
    let plain = format!("{tag:x}.{service}.{n}");
    if plain.len() <= 64 {
        return plain;
    }
    let digest =
        |basis: u64| service.bytes().fold(basis, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    format!("{tag:x}.{:x}{:x}.{n}", digest(0xcbf2_9ce4_8422_2325), digest(0x9e37_79b9_7f4a_7c15))
}
