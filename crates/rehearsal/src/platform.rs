//! The platform, written from its published protocol: hosts, workers with slots and run times, lists that are late, a rate.

use crate::chance::Chance;
use crate::controller::{Answer, Call};
use crate::scenario::PlatformTerms;
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_stacks as stacks;

/// A crashed worker stays in the list for so long.
const GHOST: Duration = Duration::from_secs(2);
/// Beyond `drain_ms` a leaving worker serves a little longer.
const LONGER: Duration = Duration::from_millis(700);

pub struct Host {
    pub name: String,
    pub zone: usize,
    pub memory: u32,
    /// Times at which it began to drain, went down and came back.
    pub drains: Option<Duration>,
    pub down: Option<(Duration, Duration)>,
}

/// A request at work.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: u64,
    pub attempt: usize,
    pub edge: usize,
    pub life: u64,
    pub hand: u64,
    pub token: u64,
    /// The connection its request came on.
    pub line: u64,
}

pub struct Instance {
    pub id: String,
    pub service: String,
    pub host: usize,
    pub at: SocketAddr,
    pub begun: Duration,
    pub up: Duration,
    pub drains: Option<Duration>,
    /// Takes nothing any more.
    pub closed: Option<Duration>,
    pub freed: Option<Duration>,
    /// Ended by a crash: shown until then.
    pub ghost: Option<Duration>,
    pub runs: Vec<Run>,
    /// New connections that hold a slot until then.
    pub brushes: Vec<Duration>,
    /// Runs take so many times as long as elsewhere.
    pub pace: f64,
    memory: u32,
}

impl Instance {
    pub fn listens(&self, now: Duration) -> bool {
        now >= self.up && self.closed.is_none()
    }
}

/// What a service of the configurations sent is like.
#[derive(Clone, Debug)]
pub struct Kind {
    pub slots: u32,
    pub memory: u32,
    pub boot: u32,
    pub spread: f64,
    pub uneven: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Moods {
    pub late: f64,
    pub slow: f64,
    pub refused: bool,
    pub calls_refused: bool,
    pub silent: bool,
    pub unanswered: bool,
}

pub struct Platform {
    terms: PlatformTerms,
    drain: Duration,
    reuse: Duration,
    zones: Vec<String>,
    pub hosts: Vec<Host>,
    pub instances: Vec<Instance>,
    pub kinds: BTreeMap<String, Kind>,
    nonces: BTreeMap<String, usize>,
    /// Who has an address now, and free ones with the time they were freed.
    by_address: BTreeMap<SocketAddr, usize>,
    by_id: BTreeMap<String, usize>,
    freed: VecDeque<(Duration, SocketAddr)>,
    given: usize,
    lists: VecDeque<Duration>,
    calls: VecDeque<Duration>,
    shown: Duration,
    pub moods: Moods,
    pub starts: usize,
    pub stops: usize,
    pub reused: usize,
    /// Starts of moves, which have nonces of their own.
    pub moves: usize,
}

impl Platform {
    pub fn new(terms: PlatformTerms, drain: Duration, reuse: Duration, zones: Vec<String>) -> Platform {
        Platform {
            terms,
            drain,
            reuse,
            zones,
            hosts: Vec::new(),
            instances: Vec::new(),
            kinds: BTreeMap::new(),
            nonces: BTreeMap::new(),
            by_address: BTreeMap::new(),
            by_id: BTreeMap::new(),
            freed: VecDeque::new(),
            given: 0,
            lists: VecDeque::new(),
            calls: VecDeque::new(),
            shown: Duration::ZERO,
            moods: Moods::default(),
            starts: 0,
            stops: 0,
            reused: 0,
            moves: 0,
        }
    }

    /// Who has this address now.
    pub fn at(&self, at: SocketAddr) -> Option<usize> {
        self.by_address.get(&at).copied()
    }

    pub fn host_of(&self, instance: usize) -> usize {
        self.instances.get(instance).map_or(0, |instance| instance.host)
    }

    fn address(&mut self, now: Duration, service: &str) -> Option<SocketAddr> {
        // An address that was used before is taken first: that is what makes its old users see another service.
        if self.freed.front().is_some_and(|(at, _)| *at + self.reuse <= now) {
            let (_, at) = self.freed.pop_front()?;
            let before = self.instances.iter().rev().find(|instance| instance.at == at);
            if before.is_some_and(|before| before.service != service) {
                self.reused += 1;
            }
            return Some(at);
        }
        if self.given >= self.terms.addresses {
            return None;
        }
        self.given += 1;
        let [high, low] = (self.given as u16).to_be_bytes();
        Some(SocketAddr::from((Ipv4Addr::new(10, 128, high, low), 8080)))
    }

    fn free_memory(&self, host: usize, at: Duration) -> u32 {
        let taken: u64 = (self.instances.iter())
            .filter(|i| i.host == host && i.begun <= at && i.freed.is_none_or(|freed| freed > at))
            .map(|i| u64::from(i.memory))
            .sum();
        let whole = self.hosts.get(host).map_or(0, |host| host.memory);
        u64::from(whole).saturating_sub(taken) as u32
    }

    fn rate(times: &mut VecDeque<Duration>, now: Duration, most: f64) -> bool {
        while times.front().is_some_and(|at| *at + Duration::from_secs(1) <= now) {
            times.pop_front();
        }
        if times.len() as f64 >= most {
            return false;
        }
        times.push_back(now);
        true
    }

    /// A call, and how long its answer takes beyond its way; None for no answer.
    pub fn call(&mut self, now: Duration, chance: &mut Chance, call: &Call) -> Option<(Duration, Answer)> {
        if self.moods.silent {
            return None;
        }
        let listing = matches!(call, Call::List | Call::First | Call::Hosts);
        let soon = Duration::from_millis(2).mul_f64(1.0 + chance.share());
        let takes = soon + Duration::from_secs_f64(if listing { self.moods.slow } else { 0.0 });
        if listing {
            if self.moods.refused || !Platform::rate(&mut self.lists, now, self.terms.rate) {
                return Some((takes, Answer::Unclear));
            }
            let lag = self.terms.lag * (0.4 + 0.6 * chance.share()) + self.moods.late;
            let view = now.saturating_sub(Duration::from_secs_f64(lag)).max(self.shown);
            self.shown = view;
            let answer = match call {
                Call::List | Call::First => Answer::List(self.list(view)),
                _ => Answer::Hosts(self.pool(view)),
            };
            return Some((takes, answer));
        }
        let refused = self.moods.calls_refused || !Platform::rate(&mut self.calls, now, self.terms.duty);
        let answer = match call {
            Call::Begin { .. } if refused => Answer::Begun(stacks::StartResult::RateLimited),
            Call::Stop { .. } if refused => Answer::Stopped(false),
            Call::Begin { service, host, nonce, .. } => {
                Answer::Begun(self.begin(now, chance, service, host, nonce))
            }
            Call::Stop { instance, .. } => {
                self.stop(now, instance);
                Answer::Stopped(true)
            }
            _ => Answer::Unclear,
        };
        (!self.moods.unanswered).then_some((takes, answer))
    }

    fn list(&self, view: Duration) -> Vec<stacks::ListedInstance> {
        let shown = self.instances.iter().filter(|i| {
            let gone = i.ghost.or(i.freed.max(i.closed));
            i.up <= view && gone.is_none_or(|gone| gone > view)
        });
        let listed = |i: &Instance| {
            let host = self.hosts.get(i.host);
            stacks::ListedInstance {
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

    fn pool(&self, view: Duration) -> Vec<stacks::Host> {
        let there = self.hosts.iter().enumerate();
        let there = there.filter(|(_, h)| h.down.is_none_or(|(from, to)| view < from || view >= to));
        there
            .map(|(n, h)| stacks::Host {
                name: h.name.clone(),
                zone: self.zones.get(h.zone).cloned().unwrap_or_default(),
                memory_mb: h.memory,
                free_memory_mb: self.free_memory(n, view),
                up: h.drains.is_none_or(|at| at > view),
            })
            .collect()
    }

    fn begin(
        &mut self,
        now: Duration,
        chance: &mut Chance,
        service: &str,
        host: &str,
        nonce: &str,
    ) -> stacks::StartResult {
        if let Some(known) = self.nonces.get(&format!("{service} {nonce}")) {
            let known = &self.instances[*known];
            return stacks::StartResult::Started { instance: known.id.clone(), address: known.at };
        }
        let Some(kind) = self.kinds.get(service).cloned() else { return stacks::StartResult::UnknownService };
        let Some(n) = self.hosts.iter().position(|h| h.name == host) else {
            return stacks::StartResult::NoCapacity;
        };
        let up = self.hosts[n].drains.is_none() && self.hosts[n].down.is_none_or(|(_, to)| now >= to);
        if !up || self.free_memory(n, now) < kind.memory {
            return stacks::StartResult::NoCapacity;
        }
        let Some(at) = self.address(now, service) else { return stacks::StartResult::NoCapacity };
        let id = format!("i-{}", self.instances.len() + 1);
        let boot = chance.spread(f64::from(kind.boot), kind.spread) / 1e3;
        let pace = if kind.uneven > 0.0 { chance.spread(1.0, kind.uneven) } else { 1.0 };
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
            ghost: None,
            runs: Vec::new(),
            brushes: Vec::new(),
            pace,
            memory: kind.memory,
        });
        stacks::StartResult::Started { instance: id, address: at }
    }

    fn stop(&mut self, now: Duration, id: &str) {
        if let Some(&n) = self.by_id.get(id) {
            if self.instances[n].closed.is_none() {
                self.stops += 1;
            }
            self.close(now, n);
        }
    }

    /// Stops listening, ends its work, then frees its memory.
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

    /// A run is over; false if it was not there any more.
    pub fn done(&mut self, now: Duration, n: usize, run: u64) -> Option<Run> {
        let instance = self.instances.get_mut(n)?;
        let at = instance.runs.iter().position(|r| r.id == run)?;
        let run = instance.runs.swap_remove(at);
        self.end_if_idle(now, n);
        Some(run)
    }

    /// Instances of a host that begins to drain: they serve on until the time given back.
    pub fn drain(&mut self, now: Duration, host: usize) -> (Vec<usize>, Duration) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.drains = Some(now);
        }
        let mut there = Vec::new();
        for (n, instance) in self.instances.iter_mut().enumerate() {
            if instance.host == host && instance.closed.is_none() {
                instance.drains = Some(now);
                there.push(n);
            }
        }
        (there, now + Duration::from_secs_f64(self.terms.lag) + self.drain + LONGER)
    }

    /// A host goes with all that runs on it: what was at work there.
    pub fn crash(&mut self, now: Duration, host: usize, lasts: Duration) -> Vec<(usize, Vec<Run>)> {
        if let Some(host) = self.hosts.get_mut(host) {
            host.down = Some((now, now + lasts));
        }
        let mut lost = Vec::new();
        for n in 0..self.instances.len() {
            let instance = &mut self.instances[n];
            if instance.host != host || instance.freed.is_some() {
                continue;
            }
            instance.closed = Some(now);
            instance.ghost = Some(now + GHOST);
            let runs = std::mem::take(&mut instance.runs);
            self.end_if_idle(now, n);
            lost.push((n, runs));
        }
        lost
    }

    pub fn ready(&self, now: Duration) -> usize {
        self.instances.iter().filter(|instance| instance.listens(now)).count()
    }

    /// Slots at work, and slots there are, of instances that are ready.
    pub fn slots(&self, now: Duration) -> (usize, usize) {
        let kind = |i: &Instance| self.kinds.get(&i.service).map_or(0, |kind| kind.slots as usize);
        let ready = self.instances.iter().filter(|i| i.listens(now));
        ready.fold((0, 0), |(busy, slots), i| (busy + i.runs.len(), slots + kind(i)))
    }

    /// Memory of all instances by their time, GB s.
    pub fn held(&self, now: Duration) -> f64 {
        let held = |i: &Instance| {
            f64::from(i.memory) * (i.freed.unwrap_or(now).saturating_sub(i.begun)).as_secs_f64()
        };
        self.instances.iter().map(held).sum::<f64>() / 1024.0
    }

    /// Begun and not ended, whether ready or not.
    pub fn there(&self) -> usize {
        self.instances.iter().filter(|instance| instance.freed.is_none()).count()
    }
}
