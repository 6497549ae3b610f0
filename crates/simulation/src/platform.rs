//! Platform model, written from the published protocol: hosts, workers with slots and run times, delayed
//! lists, rate limits.

use crate::controller::{Answer, Call};
use crate::rng::Rng;
use crate::scenario::PlatformModelSettings;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_autoscaler as autoscaler;

/// Time for which a crashed worker stays in the list.
const CRASHED_LISTED_FOR: Duration = Duration::from_secs(2);
/// Time for which a draining worker keeps serving beyond the drain time.
const DRAIN_OVERRUN: Duration = Duration::from_millis(700);

pub struct Host {
    pub name: String,
    pub zone: usize,
    pub memory: u32,
    /// Start of its drain; begin and end of its last outage.
    pub drains: Option<Duration>,
    pub down: Option<(Duration, Duration)>,
}

/// A running request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: u64,
    pub attempt: usize,
    pub edge: usize,
    pub incarnation: u64,
    pub request_id: u64,
    pub token: u64,
    /// Connection on which the request arrived.
    pub connection: u64,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    pub host: usize,
    pub at: SocketAddr,
    pub begun: Duration,
    pub up: Duration,
    pub drains: Option<Duration>,
    /// When it stopped accepting requests.
    pub closed: Option<Duration>,
    pub freed: Option<Duration>,
    /// After a crash: listed until this time.
    pub listed_until: Option<Duration>,
    pub runs: Vec<Run>,
    /// Expiry times of slots held by new connections.
    pub brief_holds: Vec<Duration>,
    /// Factor on the run times of this instance.
    pub pace: f64,
    memory: u32,
}

impl Instance {
    pub fn listens(&self, now: Duration) -> bool {
        now >= self.up && self.closed.is_none()
    }
}

/// Properties of a service's instances.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    pub slots: u32,
    pub memory: u32,
    pub boot: u32,
    pub spread: f64,
    pub uneven: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Additional lag of lists, seconds.
    pub late: f64,
    /// Additional time a list call takes, seconds.
    pub slow: f64,
    pub lists_refused: bool,
    pub calls_refused: bool,
    pub silent: bool,
    /// Starts and stops are executed without an answer.
    pub unanswered: bool,
}

pub struct Platform {
    settings: PlatformModelSettings,
    drain: Duration,
    reuse: Duration,
    zones: Vec<String>,
    pub hosts: Vec<Host>,
    pub instances: Vec<Instance>,
    pub services: BTreeMap<String, ServiceModel>,
    nonces: BTreeMap<String, usize>,
    /// Instance by current address; freed addresses with the time they became free.
    by_address: BTreeMap<SocketAddr, usize>,
    by_id: BTreeMap<String, usize>,
    freed: VecDeque<(Duration, SocketAddr)>,
    addresses_used: usize,
    lists: VecDeque<Duration>,
    calls: VecDeque<Duration>,
    /// Time of the newest state shown in a list; later lists show no older one.
    last_view: Duration,
    pub faults: PlatformFaults,
    pub starts: usize,
    pub stops: usize,
    pub reused: usize,
    /// Starts made by rebinding moves, recognised by their nonces.
    pub moves: usize,
}

impl Platform {
    pub fn new(
        settings: PlatformModelSettings,
        drain: Duration,
        reuse: Duration,
        zones: Vec<String>,
    ) -> Platform {
        Platform {
            settings,
            drain,
            reuse,
            zones,
            hosts: Vec::new(),
            instances: Vec::new(),
            services: BTreeMap::new(),
            nonces: BTreeMap::new(),
            by_address: BTreeMap::new(),
            by_id: BTreeMap::new(),
            freed: VecDeque::new(),
            addresses_used: 0,
            lists: VecDeque::new(),
            calls: VecDeque::new(),
            last_view: Duration::ZERO,
            faults: PlatformFaults::default(),
            starts: 0,
            stops: 0,
            reused: 0,
            moves: 0,
        }
    }

    /// Instance that has this address now.
    pub fn instance_at(&self, at: SocketAddr) -> Option<usize> {
        self.by_address.get(&at).copied()
    }

    pub fn host_of(&self, instance: usize) -> usize {
        self.instances.get(instance).map_or(0, |instance| instance.host)
    }

    fn address(&mut self, now: Duration, service: &str) -> Option<SocketAddr> {
        // Reuses freed addresses first, so that stale users of an address reach another service.
        if self.freed.front().is_some_and(|(at, _)| *at + self.reuse <= now) {
            let (_, at) = self.freed.pop_front()?;
            let before = self.instances.iter().rev().find(|instance| instance.at == at);
            if before.is_some_and(|before| before.service != service) {
                self.reused += 1;
            }
            return Some(at);
        }
        if self.addresses_used >= self.settings.addresses {
            return None;
        }
        self.addresses_used += 1;
        let [high, low] = (self.addresses_used as u16).to_be_bytes();
        Some(SocketAddr::from((Ipv4Addr::new(10, 128, high, low), 8080)))
    }

    fn free_memory(&self, host: usize, at: Duration) -> u32 {
        let taken: u64 = (self.instances.iter())
            .filter(|i| i.host == host && i.begun <= at && i.freed.is_none_or(|freed| freed > at))
            .map(|i| u64::from(i.memory))
            .sum();
        let total = self.hosts.get(host).map_or(0, |host| host.memory);
        u64::from(total).saturating_sub(taken) as u32
    }

    fn within_rate(times: &mut VecDeque<Duration>, now: Duration, most: f64) -> bool {
        while times.front().is_some_and(|at| *at + Duration::from_secs(1) <= now) {
            times.pop_front();
        }
        if times.len() as f64 >= most {
            return false;
        }
        times.push_back(now);
        true
    }

    /// Executes a call. Returns the processing time and the answer, or None for no answer.
    pub fn call(&mut self, now: Duration, rng: &mut Rng, call: &Call) -> Option<(Duration, Answer)> {
        if self.faults.silent {
            return None;
        }
        let listing = matches!(call, Call::List | Call::InitialList | Call::Hosts);
        let base_delay = Duration::from_millis(2).mul_f64(1.0 + rng.unit());
        let takes = base_delay + Duration::from_secs_f64(if listing { self.faults.slow } else { 0.0 });
        if listing {
            if self.faults.lists_refused || !Platform::within_rate(&mut self.lists, now, self.settings.rate) {
                return Some((takes, Answer::Unknown));
            }
            let lag = self.settings.lag * (0.4 + 0.6 * rng.unit()) + self.faults.late;
            let view = now.saturating_sub(Duration::from_secs_f64(lag)).max(self.last_view);
            self.last_view = view;
            let answer = match call {
                Call::List | Call::InitialList => Answer::List(self.list(view)),
                _ => Answer::Hosts(self.host_list(view)),
            };
            return Some((takes, answer));
        }
        let call_refused = self.faults.calls_refused
            || !Platform::within_rate(&mut self.calls, now, self.settings.call_rate);
        let answer = match call {
            Call::Begin { .. } if call_refused => Answer::Started(autoscaler::StartResult::RateLimited),
            Call::Stop { .. } if call_refused => Answer::Stopped(false),
            Call::Begin { service, host, nonce, .. } => {
                Answer::Started(self.start(now, rng, service, host, nonce))
            }
            Call::Stop { instance, .. } => {
                self.stop(now, instance);
                Answer::Stopped(true)
            }
            _ => Answer::Unknown,
        };
        (!self.faults.unanswered).then_some((takes, answer))
    }

    fn list(&self, view: Duration) -> Vec<autoscaler::ListedInstance> {
        let shown = self.instances.iter().filter(|i| {
            let gone = i.listed_until.or(i.freed.max(i.closed));
            i.up <= view && gone.is_none_or(|gone| gone > view)
        });
        let listed = |i: &Instance| {
            let host = self.hosts.get(i.host);
            autoscaler::ListedInstance {
                instance: i.id.clone(),
                service: i.service.clone(),
                address: i.at,
                zone: host.and_then(|host| self.zones.get(host.zone)).cloned().unwrap_or_default(),
                host: host.map(|host| host.name.clone()).unwrap_or_default(),
                draining: i.drains.is_some_and(|at| at <= view),
            }
        };
        shown.map(listed).collect()
    }

    fn host_list(&self, view: Duration) -> Vec<autoscaler::Host> {
        let present = self.hosts.iter().enumerate();
        let present = present.filter(|(_, h)| h.down.is_none_or(|(from, to)| view < from || view >= to));
        present
            .map(|(n, h)| autoscaler::Host {
                name: h.name.clone(),
                zone: self.zones.get(h.zone).cloned().unwrap_or_default(),
                memory_mb: h.memory,
                free_memory_mb: self.free_memory(n, view),
                up: h.drains.is_none_or(|at| at > view),
            })
            .collect()
    }

    fn start(
        &mut self,
        now: Duration,
        rng: &mut Rng,
        service: &str,
        host: &str,
        nonce: &str,
    ) -> autoscaler::StartResult {
        if let Some(known) = self.nonces.get(&format!("{service} {nonce}")) {
            let known = &self.instances[*known];
            return autoscaler::StartResult::Started { instance: known.id.clone(), address: known.at };
        }
        let Some(kind) = self.services.get(service).cloned() else {
            return autoscaler::StartResult::UnknownService;
        };
        let Some(n) = self.hosts.iter().position(|h| h.name == host) else {
            return autoscaler::StartResult::NoCapacity;
        };
        let up = self.hosts[n].drains.is_none() && self.hosts[n].down.is_none_or(|(_, to)| now >= to);
        if !up || self.free_memory(n, now) < kind.memory {
            return autoscaler::StartResult::NoCapacity;
        }
        let Some(at) = self.address(now, service) else { return autoscaler::StartResult::NoCapacity };
        let id = format!("i-{}", self.instances.len() + 1);
        let boot = rng.log_normal(f64::from(kind.boot), kind.spread) / 1e3;
        let pace = if kind.uneven > 0.0 { rng.log_normal(1.0, kind.uneven) } else { 1.0 };
        let place = self.instances.len();
        self.starts += 1;
        self.moves += usize::from(nonce.starts_with("rb."));
        self.nonces.insert(format!("{service} {nonce}"), place);
        self.by_address.insert(at, place);
        self.by_id.insert(id.clone(), place);
        self.instances.push(Instance {
            id: id.clone(),
            service: service.to_string(),
            host: n,
            at,
            begun: now,
            up: now + Duration::from_secs_f64(boot),
            drains: None,
            closed: None,
            freed: None,
            listed_until: None,
            runs: Vec::new(),
            brief_holds: Vec::new(),
            pace,
            memory: kind.memory,
        });
        autoscaler::StartResult::Started { instance: id, address: at }
    }

    fn stop(&mut self, now: Duration, id: &str) {
        if let Some(&n) = self.by_id.get(id) {
            if self.instances[n].closed.is_none() {
                self.stops += 1;
            }
            self.close(now, n);
        }
    }

    /// Stops listening, finishes its running requests, then frees its memory.
    pub fn close(&mut self, now: Duration, n: usize) {
        let Some(instance) = self.instances.get_mut(n) else { return };
        instance.closed.get_or_insert(now);
        self.end_if_idle(now, n);
    }

    fn end_if_idle(&mut self, now: Duration, n: usize) {
        let Some(instance) = self.instances.get_mut(n) else { return };
        if instance.closed.is_some() && instance.runs.is_empty() && instance.freed.is_none() {
            instance.freed = Some(now);
            self.by_address.remove(&instance.at);
            self.freed.push_back((now, instance.at));
        }
    }

    /// Ends a run; None if it had already ended.
    pub fn end_run(&mut self, now: Duration, n: usize, run: u64) -> Option<Run> {
        let instance = self.instances.get_mut(n)?;
        let at = instance.runs.iter().position(|r| r.id == run)?;
        let run = instance.runs.swap_remove(at);
        self.end_if_idle(now, n);
        Some(run)
    }

    /// Starts draining a host. Returns its instances and the time until which they keep serving.
    pub fn drain(&mut self, now: Duration, host: usize) -> (Vec<usize>, Duration) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.drains = Some(now);
        }
        let mut present = Vec::new();
        for (n, instance) in self.instances.iter_mut().enumerate() {
            if instance.host == host && instance.closed.is_none() {
                instance.drains = Some(now);
                present.push(n);
            }
        }
        (present, now + Duration::from_secs_f64(self.settings.lag) + self.drain + DRAIN_OVERRUN)
    }

    /// Crashes a host. Returns its instances with the requests that ran on them.
    pub fn crash(&mut self, now: Duration, host: usize, duration: Duration) -> Vec<(usize, Vec<Run>)> {
        if let Some(host) = self.hosts.get_mut(host) {
            host.down = Some((now, now + duration));
        }
        let mut lost = Vec::new();
        for n in 0..self.instances.len() {
            let instance = &mut self.instances[n];
            if instance.host != host || instance.freed.is_some() {
                continue;
            }
            instance.closed = Some(now);
            instance.listed_until = Some(now + CRASHED_LISTED_FOR);
            let runs = std::mem::take(&mut instance.runs);
            self.end_if_idle(now, n);
            lost.push((n, runs));
        }
        lost
    }

    pub fn ready(&self, now: Duration) -> usize {
        self.instances.iter().filter(|instance| instance.listens(now)).count()
    }

    /// Busy slots and all slots of ready instances.
    pub fn slots(&self, now: Duration) -> (usize, usize) {
        let kind = |i: &Instance| self.services.get(&i.service).map_or(0, |kind| kind.slots as usize);
        let ready = self.instances.iter().filter(|i| i.listens(now));
        ready.fold((0, 0), |(busy, slots), i| (busy + i.runs.len(), slots + kind(i)))
    }

    /// Memory of all instances over time, GB s.
    pub fn memory_gb_s(&self, now: Duration) -> f64 {
        let gb_s = |i: &Instance| {
            f64::from(i.memory) * (i.freed.unwrap_or(now).saturating_sub(i.begun)).as_secs_f64()
        };
        self.instances.iter().map(gb_s).sum::<f64>() / 1024.0
    }

    /// Instances that were started and have not ended, ready or not.
    pub fn present(&self) -> usize {
        self.instances.iter().filter(|instance| instance.freed.is_none()).count()
    }
}
