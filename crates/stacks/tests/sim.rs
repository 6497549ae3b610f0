//! A platform, lenders and calls on simulated time, in steps of 10 ms.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use rstest::rstest;
use tindock_stacks::*;

const STEP: u64 = 10;
const LAG: u64 = 800;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Inst {
    service: String,
    host: String,
    zone: String,
    address: SocketAddr,
    up_at: u64,
    draining: bool,
    ends: Option<u64>,
    /// Shown in the list until then, after a crash.
    ghost: Option<u64>,
    begun: u64,
    busy: u32,
}

struct Machine {
    zone: &'static str,
    memory: u32,
    up: bool,
    drains: bool,
}

#[derive(Default)]
struct Load {
    rate: f64,
    carry: Vec<u64>, // arrivals of the last 3 s
    waiting: VecDeque<u64>,
    busy: f64,
    smooth: f64,
    peak: VecDeque<(u64, u32)>,
    last: Option<u64>,
    told: u64,
}

struct World {
    t: u64,
    chance: Rand64,
    scaler: Scaler,
    services: BTreeMap<String, Service>,
    run_ms: f64,
    machines: BTreeMap<String, Machine>,
    insts: BTreeMap<String, Inst>,
    nonces: BTreeMap<String, String>,
    made: VecDeque<u64>,
    rate: usize,
    unclear: f64,
    lists: VecDeque<(u64, Vec<Host>, Vec<ListedInstance>)>,
    loads: BTreeMap<(String, &'static str), Load>,
    /// (end, service, zone of the call, instance)
    running: Vec<(u64, String, &'static str, String)>,
    answers: Vec<(u64, Answer)>,
    next_id: u64,
    starts: u64,
    stops: u64,
    refused: u64,
    late: u64,
    served: u64,
    min_ready: BTreeMap<String, u32>,
    waits: Vec<(u64, u64)>,
    ordered: Vec<(u64, Order)>,
}

enum Answer {
    Started(u64, StartResult),
    Stopped(u64, bool),
}

const ZONES: [&str; 3] = ["a", "b", "c"];

fn terms() -> PlatformSettings {
    PlatformSettings {
        zones: vec![("a".into(), "r".into()), ("b".into(), "r".into()), ("c".into(), "s".into())],
        drain: ms(3000),
        address_reuse: ms(2000),
        call_rate: 150.0,
        list_lag: ms(LAG),
    }
}

fn dock(name: &str) -> Service {
    Service {
        name: name.into(),
        memory_mb: 512,
        boot_ms: 1400,
        max_inflight: 4,
        target_ms: 400,
        priority: 1,
        routed: true,
    }
}

fn log(name: &str) -> Service {
    Service {
        name: name.into(),
        memory_mb: 192,
        boot_ms: 900,
        max_inflight: 2,
        target_ms: 1500,
        priority: 2,
        routed: true,
    }
}

impl World {
    fn new(seed: u64, services: Vec<Service>, hosts: usize, memory: u32) -> World {
        let mut scaler = Scaler::new(terms(), 7, seed, ms(0));
        scaler.update_services(ms(0), &services);
        let machines = (0..hosts)
            .map(|i| (format!("h{i}"), Machine { zone: ZONES[i % 3], memory, up: true, drains: false }));
        World {
            t: 0,
            chance: Rand64::new(seed as u128),
            scaler,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            run_ms: 80.0,
            machines: machines.collect(),
            insts: BTreeMap::new(),
            nonces: BTreeMap::new(),
            made: VecDeque::new(),
            rate: 150,
            unclear: 0.0,
            lists: VecDeque::new(),
            loads: BTreeMap::new(),
            running: Vec::new(),
            answers: Vec::new(),
            next_id: 0,
            starts: 0,
            stops: 0,
            refused: 0,
            late: 0,
            served: 0,
            min_ready: BTreeMap::new(),
            waits: Vec::new(),
            ordered: Vec::new(),
        }
    }

    fn load(&mut self, service: &str, zone: &'static str, rate: f64) {
        self.loads.entry((service.into(), zone)).or_default().rate = rate;
    }

    fn call(&mut self, service: &str, zone: &'static str) {
        let t = self.t;
        let l = self.loads.entry((service.into(), zone)).or_default();
        l.waiting.push_back(t);
        l.carry.push(t);
        l.last = Some(t);
        l.told = 0;
    }

    fn free(&self, host: &str) -> u32 {
        let used: u32 = self
            .insts
            .values()
            .filter(|i| i.host == host && i.ghost.is_none())
            .map(|i| self.services[&i.service].memory_mb)
            .sum();
        assert!(used <= self.machines[host].memory, "host over its memory");
        self.machines[host].memory - used
    }

    fn alive(&self, service: &str) -> usize {
        self.insts.values().filter(|i| i.service == service && i.ghost.is_none()).count()
    }

    fn up(&self, service: &str) -> usize {
        let up =
            |i: &&Inst| i.service == service && i.ghost.is_none() && i.up_at <= self.t && i.ends.is_none();
        self.insts.values().filter(up).count()
    }

    fn platform(&mut self, order: Order) {
        while self.made.front().is_some_and(|m| m + 1000 <= self.t) {
            self.made.pop_front();
        }
        let busy = self.made.len() >= self.rate;
        if !busy {
            self.made.push_back(self.t);
        }
        let lost = self.chance.rand_float() < self.unclear;
        let done = self.chance.rand_float() < 0.5;
        let at = self.t + 10 + self.chance.rand_range(0..20);
        match order {
            Order::Begin { token, service, host, nonce } => {
                if busy {
                    self.refused += 1;
                    self.answers.push((at, Answer::Started(token, StartResult::RateLimited)));
                    return;
                }
                if lost && !done {
                    self.answers.push((at + 300, Answer::Started(token, StartResult::OutcomeUnknown)));
                    return;
                }
                assert!(nonce.len() <= 64);
                let m = &self.machines[&host];
                let known = self.nonces.get(&nonce).cloned();
                let answer = if let Some(id) = known {
                    let address =
                        format!("10.0.0.1:{}", 1000 + id[2..].parse::<u16>().unwrap()).parse().unwrap();
                    StartResult::Started { instance: id, address }
                } else if !m.up || m.drains || self.free(&host) < self.services[&service].memory_mb {
                    StartResult::NoCapacity
                } else {
                    self.next_id += 1;
                    self.starts += 1;
                    let id = format!("i-{}", self.next_id);
                    let address: SocketAddr = format!("10.0.0.1:{}", 1000 + self.next_id).parse().unwrap();
                    let boot =
                        self.services[&service].boot_ms as f64 * (0.7 + 0.6 * self.chance.rand_float());
                    let inst = Inst {
                        zone: self.machines[&host].zone.into(),
                        service,
                        host,
                        address,
                        up_at: self.t + boot as u64,
                        draining: false,
                        ends: None,
                        ghost: None,
                        begun: self.t,
                        busy: 0,
                    };
                    self.insts.insert(id.clone(), inst);
                    self.nonces.insert(nonce, id.clone());
                    StartResult::Started { instance: id, address }
                };
                let answer = if lost { StartResult::OutcomeUnknown } else { answer };
                self.answers.push((at, Answer::Started(token, answer)));
            }
            Order::Stop { token, instance } => {
                if busy {
                    self.answers.push((at, Answer::Stopped(token, false)));
                    return;
                }
                if !lost || done {
                    if let Some(i) = self.insts.get_mut(&instance) {
                        self.stops += 1;
                        i.ends = Some(self.t + 200);
                    }
                }
                self.answers.push((at, Answer::Stopped(token, !lost)));
            }
        }
    }

    fn crash(&mut self, id: &str) {
        let t = self.t;
        if let Some(i) = self.insts.get_mut(id) {
            i.ghost = Some(t + 4000);
        }
        self.running.retain(|r| r.3 != id);
    }

    fn crash_host(&mut self, host: &str) {
        let ids: Vec<String> = self.insts.iter().filter(|i| i.1.host == host).map(|i| i.0.clone()).collect();
        ids.iter().for_each(|i| self.crash(i));
        self.machines.get_mut(host).unwrap().up = false;
    }

    fn drain_host(&mut self, host: &str) {
        self.machines.get_mut(host).unwrap().drains = true;
        let t = self.t;
        for i in self.insts.values_mut().filter(|i| i.host == host && i.ghost.is_none()) {
            i.draining = true;
            i.ends = Some(t + LAG + 3000);
        }
    }

    fn step(&mut self) {
        self.t += STEP;
        let (t, now) = (self.t, ms(self.t));
        self.insts.retain(|_, i| i.ends.is_none_or(|e| e > t) && i.ghost.is_none_or(|g| g > t));
        // Lists, late.
        if t.is_multiple_of(100) {
            let hosts: Vec<Host> = self
                .machines
                .iter()
                .filter(|m| m.1.up)
                .map(|(n, m)| Host {
                    name: n.clone(),
                    zone: m.zone.into(),
                    memory_mb: m.memory,
                    free_memory_mb: self.free(n),
                    up: !m.drains,
                })
                .collect();
            let list = self.insts.iter().filter(|i| i.1.up_at <= t).map(|(id, i)| ListedInstance {
                instance: id.clone(),
                service: i.service.clone(),
                address: i.address,
                zone: i.zone.clone(),
                host: i.host.clone(),
                draining: i.draining,
            });
            self.lists.push_back((t, hosts, list.collect()));
        }
        if t % 300 == 0 {
            while self.lists.len() > 1 && self.lists[1].0 + LAG <= t {
                self.lists.pop_front();
            }
            if let Some((_, hosts, list)) = self.lists.front().cloned() {
                self.scaler.update_hosts(now, &hosts);
                self.scaler.update_instances(now, &list);
            }
        }
        // Answers of the platform.
        let (due, later) = std::mem::take(&mut self.answers).into_iter().partition(|a| a.0 <= t);
        self.answers = later;
        for (_, a) in due {
            match a {
                Answer::Started(token, b) => self.scaler.start_answered(now, token, b),
                Answer::Stopped(token, ok) => self.scaler.stop_answered(now, token, ok),
            }
        }
        self.calls();
        // Orders.
        for n in 0.. {
            assert!(n < 1000, "orders without end");
            let Some(order) = self.scaler.next(now) else { break };
            self.ordered.push((t, order.clone()));
            self.platform(order);
        }
        assert!(self.scaler.next_due() > now, "asked again at once: {:?} at {now:?}", self.scaler.next_due());
        for name in self.services.keys() {
            let up = self.up(name) as u32;
            let least = self.min_ready.entry(name.clone()).or_insert(up);
            *least = (*least).min(up);
        }
    }

    fn calls(&mut self) {
        let (t, now) = (self.t, ms(self.t));
        let (ended, run): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.running).into_iter().partition(|r| r.0 <= t);
        self.running = run;
        for (_, service, zone, id) in ended {
            self.served += 1;
            if let Some(i) = self.insts.get_mut(&id) {
                i.busy -= 1;
            }
            if let Some(l) = self.loads.get_mut(&(service, zone)) {
                l.busy -= 1.0;
            }
        }
        let mut lend: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for e in self.scaler.entries() {
            if e.state != InstanceState::Ending {
                lend.entry(e.service.clone()).or_default().push(e.instance.clone());
            }
        }
        let mut news = Vec::new();
        for ((service, zone), l) in &mut self.loads {
            if self.chance.rand_float() < l.rate * STEP as f64 / 1e3 {
                l.waiting.push_back(t);
                l.carry.push(t);
                l.last = Some(t);
            }
            l.carry.retain(|c| c + 3000 > t);
            while let Some(since) = l.waiting.front().copied() {
                let mut found = None;
                for id in lend.get(service).into_iter().flatten() {
                    match self.insts.get(id) {
                        Some(i)
                            if i.ghost.is_none()
                                && i.up_at <= t
                                && i.busy < self.services[service].max_inflight =>
                        {
                            found = Some(id.clone());
                            break;
                        }
                        Some(i) if i.ghost.is_some() => news.push((id.clone(), false)),
                        None => news.push((id.clone(), false)),
                        _ => {}
                    }
                }
                let Some(id) = found else { break };
                news.push((id.clone(), true));
                self.insts.get_mut(&id).unwrap().busy += 1;
                l.busy += 1.0;
                let run = -self.run_ms * (1.0 - self.chance.rand_float()).ln();
                self.running.push((t + 1 + run as u64, service.clone(), zone, id));
                l.waiting.pop_front();
                self.waits.push((t, t - since));
                if t - since > u64::from(self.services[service].target_ms) {
                    self.late += 1;
                }
            }
            l.smooth += (l.busy - l.smooth) * STEP as f64 / 500.0;
            l.peak.push_back((t, l.busy as u32 + l.waiting.len() as u32));
            l.peak.retain(|p| p.0 + 1000 > t);
            let Some(last) = l.last else { continue };
            let urgent = !l.waiting.is_empty() && l.told + 50 <= t;
            if l.told + 250 <= t && l.last.is_some_and(|x| x + 8000 > t) || urgent {
                l.told = t;
                let rate: f64 = l.carry.iter().map(|c| (-((t - c) as f64) / 1e3).exp()).sum();
                self.scaler.update_demand(
                    now,
                    Demand {
                        service: service.clone(),
                        zone: zone.to_string(),
                        rate: rate as f32,
                        busy: l.smooth as f32,
                        peak: l.peak.iter().map(|p| p.1).max().unwrap_or(0) as u16,
                        waiting: l.waiting.len() as u16,
                        run_ms: self.run_ms as f32,
                        idle_ms: (t - last) as u32,
                        origins: Vec::new(),
                    },
                );
            }
        }
        for (id, ready) in news {
            if ready {
                self.scaler.instance_ready(now, &id);
            } else {
                self.scaler.instance_gone(now, &id);
            }
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.t + span;
        while self.t < end {
            self.step();
        }
    }

    /// Nothing lives that the scaler does not know, and nothing it counts on is dead.
    fn agrees(&self) {
        for (id, _) in self
            .insts
            .iter()
            .filter(|i| i.1.ghost.is_none() && i.1.ends.is_none() && i.1.begun + 1500 < self.t)
        {
            assert!(self.scaler.entries().any(|e| e.instance == *id), "{id} unknown");
        }
        for e in self.scaler.entries() {
            assert!(self.insts.contains_key(&e.instance), "{} is dead", e.instance);
        }
    }
}

#[rstest]
fn one_of_each_before_traffic(#[values(1, 2, 3)] seed: u64) {
    let docks: Vec<Service> = (0..8).map(|i| dock(&format!("d{i}"))).chain([log("l0")]).collect();
    let mut w = World::new(seed, docks, 6, 8000);
    w.run(1500 + 1400 * 13 / 10 + 1000);
    for i in 0..8 {
        assert_eq!(w.up(&format!("d{i}")), 1);
    }
    assert_eq!(w.alive("l0"), 0);
    let zones: std::collections::BTreeSet<_> = w.insts.values().map(|i| i.zone.clone()).collect();
    assert!(zones.len() > 1, "spread over zones");
    w.run(60_000);
    assert_eq!((w.starts, w.stops), (8, 0));
    w.agrees();
}

#[rstest]
fn rare_function_starts_on_demand_and_is_weeded(#[values(1, 2, 3)] seed: u64) {
    let mut w = World::new(seed, vec![log("l")], 3, 4000);
    w.run(5000);
    w.call("l", "b");
    w.run(100);
    assert_eq!(w.alive("l"), 1);
    assert_eq!(w.insts.values().next().unwrap().zone, "b");
    w.run(1400);
    assert_eq!(w.served, 1);
    assert_eq!(w.late, 0);
    let window = Tuning::default().window(&log("l"), 1.0).as_millis() as u64;
    w.run(window + 2000);
    assert_eq!(w.alive("l"), 0);
    assert_eq!((w.starts, w.stops), (1, 1));
    w.run(5000);
    assert_eq!(w.scaler.entries().count(), 0);
}

#[rstest]
#[case::steady(1.0, 1)]
#[case::rare(0.05, 12)]
fn a_steady_trickle_keeps_its_instance(#[case] rate: f64, #[case] most: u64, #[values(1, 2, 3)] seed: u64) {
    let mut w = World::new(seed, vec![log("l")], 3, 4000);
    w.run(5000);
    w.load("l", "a", rate);
    w.run(120_000);
    assert!(w.starts <= most + 3, "{} starts", w.starts);
}

#[rstest]
fn wanted_is_reached_within_boot_and_a_second(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = World::new(seed, vec![dock("d")], 6, 8000);
    w.run(5000);
    ZONES.into_iter().for_each(|z| w.load("d", z, 40.0)); // 9.6 slots busy
    w.run(1400 * 13 / 10 + 1000);
    assert!(w.up("d") >= 3, "{}", w.up("d"));
    w.run(20_000);
    let up = w.up("d");
    assert!((4..=6).contains(&up), "{up}");
    let from = w.t - 15_000;
    let slow = w.waits.iter().filter(|x| x.0 > from && x.1 > 200).count();
    let all = w.waits.iter().filter(|x| x.0 > from).count();
    assert!(slow * 100 < all, "{slow} of {all}");
    w.agrees();
}

#[rstest]
fn burst_of_two_and_a_half(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = World::new(seed, vec![dock("d")], 6, 8000);
    w.run(4000);
    ZONES.into_iter().for_each(|z| w.load("d", z, 30.0));
    w.run(25_000);
    let before = w.up("d");
    ZONES.into_iter().for_each(|z| w.load("d", z, 75.0)); // 18 slots busy
    w.run(1400 * 13 / 10 + 1000);
    assert!(w.up("d") >= 5, "{} after {before}", w.up("d"));
    w.run(2000);
    let from = w.t;
    w.run(8000);
    let slow = w.waits.iter().filter(|x| x.0 > from && x.1 > 250).count();
    assert!(slow < 40, "{slow}");
    assert!(w.up("d") <= 10, "{}", w.up("d"));
    ZONES.into_iter().for_each(|z| w.load("d", z, 30.0));
    w.run(15_000);
    assert!(w.up("d") <= before + 1, "{} after {before}", w.up("d"));
}

#[rstest]
fn drained_host_is_replaced_before_it_ends(#[values(1, 2, 3)] seed: u64) {
    let docks: Vec<Service> = (0..8).map(|i| dock(&format!("d{i}"))).collect();
    let mut w = World::new(seed, docks, 6, 8000);
    w.run(6000);
    w.min_ready.clear();
    let host = w.insts.values().next().unwrap().host.clone();
    w.drain_host(&host);
    w.run(10_000);
    // Draining ones end after the lag and 3 s; up() leaves them out, so look at the living.
    for i in 0..8 {
        assert_eq!(w.up(&format!("d{i}")), 1);
    }
    let replaced = w.insts.values().filter(|i| i.begun >= 6000).map(|i| i.up_at).max().unwrap();
    assert!(replaced < 6000 + LAG + 3000, "{replaced}");
    assert!(w.insts.values().all(|i| i.host != host));
    w.agrees();
}

#[rstest]
fn crashes_are_replaced(#[values(1, 2, 3)] seed: u64, #[values(false, true)] told: bool) {
    let mut w = World::new(seed, vec![dock("d"), dock("e")], 6, 8000);
    w.run(4000);
    if told {
        w.load("d", "a", 20.0);
    }
    w.run(12_000);
    let host = w.insts.values().find(|i| i.service == "d").unwrap().host.clone();
    w.crash_host(&host);
    w.run(if told { 3200 } else { 6000 });
    assert!(w.up("d") >= 1);
    w.run(8000);
    w.agrees();
    assert!(w.up("d") <= 2);
}

#[rstest]
fn unclear_calls_are_repeated_and_never_doubled(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let docks: Vec<Service> = (0..20).map(|i| dock(&format!("d{i}"))).collect();
    let mut w = World::new(seed, docks, 6, 8000);
    w.unclear = 0.5;
    w.run(12_000);
    assert_eq!(w.starts, 20);
    w.load("d3", "b", 60.0);
    w.run(15_000);
    w.load("d3", "b", 0.0);
    w.run(25_000);
    assert_eq!(w.insts.len(), 20);
    w.agrees();
}

#[rstest]
fn never_more_than_the_hosts_hold(#[values(1, 2, 3)] seed: u64) {
    // free() asserts at every list and start.
    let docks: Vec<Service> = (0..8).map(|i| dock(&format!("d{i}"))).collect();
    let mut w = World::new(seed, docks, 3, 2100);
    ZONES.into_iter().for_each(|z| w.load("d0", z, 200.0));
    w.run(20_000);
    assert_eq!(w.insts.len(), 12);
    w.agrees();
}

#[rstest]
fn many_rare_at_once_keep_the_rate(#[values(1, 2)] seed: u64) {
    let logs: Vec<Service> = (0..150).map(|i| log(&format!("l{i}"))).collect();
    let mut w = World::new(seed, logs, 12, 7413);
    w.run(4000);
    (0..150).for_each(|i| w.call(&format!("l{i}"), ZONES[i % 3]));
    w.run(3500);
    assert_eq!(w.refused, 0);
    assert_eq!(w.served, 150);
    w.run(10_000);
    assert_eq!(w.insts.len(), 0);
    assert_eq!(w.starts, 150);
}

#[rstest]
fn a_platform_that_allows_less_is_heeded(#[values(1, 2)] seed: u64) {
    let logs: Vec<Service> = (0..100).map(|i| log(&format!("l{i}"))).collect();
    let mut w = World::new(seed, logs, 12, 7413);
    w.rate = 40;
    w.run(4000);
    (0..100).for_each(|i| w.call(&format!("l{i}"), ZONES[i % 3]));
    w.run(9000);
    assert_eq!(w.served, 100);
    assert!(w.refused < 300, "{}", w.refused);
}

#[rstest]
fn a_successor_goes_on(#[values(1, 2, 3)] seed: u64, #[values(false, true)] inherits: bool) {
    let docks: Vec<Service> = (0..8).map(|i| dock(&format!("d{i}"))).chain([log("l")]).collect();
    let mut w = World::new(seed, docks, 6, 8000);
    w.load("d1", "a", 50.0);
    w.load("l", "c", 3.0);
    w.run(20_000);
    let before = w.starts;
    let specs: Vec<Service> = w.services.values().cloned().collect();
    let entries: Vec<Entry> = w.scaler.entries().cloned().collect();
    let (numbers, tag) = w.scaler.start_numbers();
    let version = w.scaler.version();
    let mut next = Scaler::new(terms(), 8, seed, ms(w.t));
    next.update_services(ms(w.t), &specs);
    if inherits {
        next.inherit(ms(w.t), &entries, &numbers, tag);
    }
    w.scaler = next;
    w.answers.clear();
    w.run(8000);
    assert!(w.scaler.settled());
    assert!(w.scaler.version() > version);
    assert!(w.scaler.changes_since(version).complete);
    assert!(w.starts <= before + 2, "{} after {before}", w.starts);
    w.agrees();
    w.run(10_000);
    assert!(w.min_ready["d0"] <= 1 && w.up("d0") == 1);
}

#[rstest]
fn stops_never_go_below_need(#[values(1, 2, 3)] seed: u64) {
    let mut w = World::new(seed, vec![dock("d")], 6, 8000);
    w.run(4000);
    for round in 0..6 {
        ZONES.into_iter().for_each(|z| w.load("d", z, if round % 2 == 0 { 50.0 } else { 10.0 }));
        w.run(4000);
        w.min_ready.clear();
        w.run(12_000);
        // 1 slot busy of 4 at 10 a second and zone, 12 at 50.
        let least = if round % 2 == 0 { 3 } else { 1 };
        assert!(w.min_ready["d"] >= least, "{} in round {round}", w.min_ready["d"]);
    }
    assert!(w.starts < 40, "{} starts", w.starts);
}

#[rstest]
fn a_service_that_is_gone_is_weeded() {
    let mut w = World::new(1, vec![dock("d"), dock("e")], 3, 8000);
    w.run(5000);
    w.scaler.update_services(ms(w.t), &[dock("e")]);
    w.run(1500);
    assert_eq!((w.alive("d"), w.alive("e")), (0, 1));
    w.run(5000);
    assert_eq!(w.scaler.entries().count(), 1);
}

#[rstest]
fn pullers_hold_what_the_book_holds(#[values(1, 2)] seed: u64) {
    let mut w = World::new(seed, vec![dock("d"), log("l")], 6, 8000);
    let (mut have, mut version) = (BTreeMap::<String, Entry>::new(), 0);
    w.load("l", "a", 0.2);
    for round in 0..300 {
        w.load("d", "a", if round % 40 < 20 { 60.0 } else { 5.0 });
        w.run(300);
        let news = w.scaler.changes_since(version);
        if news.complete {
            have.clear();
        }
        version = news.version;
        news.ended.iter().for_each(|e| drop(have.remove(&e.0)));
        have.extend(news.entries.into_iter().map(|e| (e.instance.clone(), e)));
        assert!(have.values().eq(w.scaler.entries()));
    }
    assert!(w.stops > 2);
}

#[rstest]
fn a_thousand_services_are_cheap() {
    let all: Vec<Service> =
        (0..1000).map(|i| if i < 100 { dock(&format!("s{i}")) } else { log(&format!("s{i}")) }).collect();
    let mut s = Scaler::new(terms(), 1, 1, ms(0));
    s.update_services(ms(0), &all);
    let hosts: Vec<Host> = (0..40)
        .map(|i| Host {
            name: format!("h{i}"),
            zone: ZONES[i % 3].into(),
            memory_mb: 32_000,
            free_memory_mb: 32_000,
            up: true,
        })
        .collect();
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let start = std::time::Instant::now();
    let mut orders = 0;
    for t in (0..20_000).step_by(50) {
        let now = ms(t);
        if t % 500 == 0 {
            s.update_hosts(now, &hosts);
            let list: Vec<ListedInstance> = s
                .entries()
                .filter(|e| e.since_ms + 2000 < t)
                .map(|e| ListedInstance {
                    instance: e.instance.clone(),
                    service: e.service.clone(),
                    address,
                    zone: e.zone.clone(),
                    host: e.host.clone(),
                    draining: false,
                })
                .collect();
            s.update_instances(now, &list);
        }
        if t % 250 == 0 {
            for spec in &all {
                s.update_demand(
                    now,
                    Demand {
                        service: spec.name.clone(),
                        zone: "a".into(),
                        rate: 2.0,
                        busy: 0.3,
                        peak: 1,
                        waiting: u16::from(t < 10_000),
                        run_ms: 80.0,
                        idle_ms: 100,
                        origins: Vec::new(),
                    },
                );
            }
        }
        while let Some(order) = s.next(now) {
            orders += 1;
            if let Order::Begin { token, nonce, .. } = order {
                s.start_answered(now, token, StartResult::Started { instance: nonce, address });
            }
        }
    }
    let spent = start.elapsed();
    assert!(orders >= 1000, "{orders}");
    assert!(spent < Duration::from_secs(20), "{spent:?}");
    println!("{orders} orders, {spent:?} for 20 s");
}

#[rstest]
fn odd_input_does_no_harm() {
    let mut s = Scaler::new(PlatformSettings { zones: vec![], ..terms() }, 1, 1, ms(5));
    s.update_services(
        ms(0),
        &[Service { memory_mb: 0, boot_ms: 0, max_inflight: 0, target_ms: 0, ..dock("d") }],
    );
    s.update_hosts(ms(0), &[]);
    s.update_instances(ms(0), &[]);
    for x in [f32::NAN, f32::INFINITY, -1.0, 1e30] {
        let d = Demand {
            service: "d".into(),
            zone: "nowhere".into(),
            rate: x,
            busy: x,
            peak: u16::MAX,
            waiting: u16::MAX,
            run_ms: x,
            idle_ms: u32::MAX,
            origins: Vec::new(),
        };
        s.update_demand(ms(10), d);
        assert_eq!(s.next(ms(10)), None);
    }
    s.start_answered(ms(1), 99, StartResult::OutcomeUnknown);
    s.stop_answered(ms(1), 99, true);
    s.instance_gone(ms(1), "x");
    s.instance_ready(ms(1), "x");
    assert!(s.next_due() > ms(10));
}

fn big() -> Service {
    Service { memory_mb: 1024, boot_ms: 1000, target_ms: 20_000, priority: 3, ..dock("big") }
}

/// Docks of which each zone has six, and two hosts a zone that are left with half of what `big` takes.
fn packed(seed: u64, mode: Rebinding) -> World {
    let all: Vec<Service> = (0..40).map(|i| dock(&format!("d{i}"))).collect();
    let mut w = World::new(seed, all.clone(), 3, 64_000);
    w.run(3000);
    let mut chosen = vec![big()];
    for z in ZONES {
        chosen.extend(w.insts.values().filter(|i| i.zone == z).take(6).map(|i| dock(&i.service)));
    }
    assert_eq!(chosen.len(), 19);
    let mut w = World::new(seed, chosen.clone(), 6, 2048);
    w.scaler.set_rebinding(ms(0), mode);
    for (n, s) in chosen.iter().skip(1).enumerate().step_by(3) {
        w.load(&s.name, ZONES[n / 6], 1.0);
    }
    w.run(22_000);
    w.min_ready.clear();
    w
}

fn moved(w: &World) -> usize {
    w.nonces.keys().filter(|n| n.starts_with("rb.")).count()
}

fn docks_stand(w: &World) {
    for name in w.services.keys().filter(|n| *n != "big") {
        assert!(w.min_ready[name] >= 1, "{name} was without an instance");
        assert_eq!(w.alive(name), 1, "{name}");
    }
    w.agrees();
}

#[rstest]
#[case(Rebinding::Off, 0)]
#[case(Rebinding::Plan, 0)]
#[case(Rebinding::Holes, 1)]
#[case(Rebinding::All, 1)]
fn a_hole_is_made(#[case] mode: Rebinding, #[case] made: usize, #[values(1, 2, 3, 4)] seed: u64) {
    let mut w = packed(seed, mode);
    w.load("big", "b", 6.0);
    w.run(30_000);
    assert_eq!(w.alive("big"), made);
    assert_eq!(moved(&w) > 0, made > 0);
    assert!(moved(&w) <= 2, "{} moves", moved(&w));
    w.run(10_000);
    docks_stand(&w);
    assert!(w.scaler.entries().all(|e| e.replaces.is_none()));
}

/// As pages hand it on: what lends no more is told as draining.
fn by_wire(mut e: Entry) -> Entry {
    if e.state == InstanceState::Ending {
        e.state = InstanceState::Draining;
    }
    e
}

#[rstest]
fn a_holder_killed_in_a_move(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 3, 6, 9, 12, 15, 18, 21, 24, 30, 40)] after: u64,
    #[values(false, true)] wire: bool,
) {
    let mut w = packed(seed, Rebinding::Holes);
    w.load("big", "b", 6.0);
    while moved(&w) == 0 {
        w.run(10);
        assert!(w.t < 60_000, "no move");
    }
    w.run(after * 100);
    let specs: Vec<Service> = w.services.values().cloned().collect();
    let entries = w.scaler.entries().cloned().map(|e| if wire { by_wire(e) } else { e });
    let entries: Vec<Entry> = entries.collect();
    let (numbers, tag) = w.scaler.start_numbers();
    let mut next = Scaler::new(terms(), 8, seed, ms(w.t));
    next.set_rebinding(ms(w.t), Rebinding::Holes);
    next.update_services(ms(w.t), &specs);
    next.inherit(ms(w.t), &entries, &numbers, tag);
    w.scaler = next;
    w.answers.clear();
    // A start that nobody told of is weeded as one too many, and the move made again a minute later.
    w.run(if after == 0 { 120_000 } else { 30_000 });
    assert_eq!(w.alive("big"), 1);
    docks_stand(&w);
}

#[rstest]
fn what_may_not_move_changes_nothing(#[values(1, 2, 3)] seed: u64) {
    let play = |mode| {
        let mut w = packed(seed, mode);
        w.load("big", "b", 6.0);
        w.run(5000);
        w.drain_host("h1");
        w.run(8000);
        w.crash_host("h2");
        w.run(10_000);
        w.ordered
    };
    let off = play(Rebinding::Off);
    assert!(off.len() > 20);
    assert_eq!(off, play(Rebinding::Plan));
}

#[rstest]
#[case("configuration")]
#[case("trouble")]
#[case("rush")]
fn not_now(#[case] what: &str) {
    let mut w = packed(1, Rebinding::Holes);
    let quiet =
        w.services.keys().find(|n| *n != "big" && w.loads.keys().all(|l| l.0 != **n)).unwrap().clone();
    for round in 0..120 {
        let now = ms(w.t);
        if round == 10 {
            w.load("big", "b", 6.0);
        }
        match what {
            "configuration" => w.scaler.configuration_changing(now),
            "trouble" => {
                let drains = round / 4 % 2 == 0;
                w.machines.insert("x".into(), Machine { zone: "a", memory: 0, up: true, drains });
            }
            _ => w.scaler.update_demand(
                now,
                Demand {
                    service: quiet.clone(),
                    zone: "c".into(),
                    rate: 0.0,
                    busy: 0.0,
                    peak: 1,
                    waiting: 1,
                    run_ms: 80.0,
                    idle_ms: 0,
                    origins: Vec::new(),
                },
            ),
        }
        w.run(250);
    }
    assert_eq!(moved(&w), 0);
    w.run(20_000);
    assert!(moved(&w) > 0, "calm again");
}

#[rstest]
fn staff_plan_run_and_pause() {
    let mut w = packed(2, Rebinding::Plan);
    w.load("big", "b", 6.0);
    w.run(3000);
    let now = ms(w.t);
    let (plan, may) = w.scaler.rebinding_plan(now).unwrap();
    assert_eq!((plan.before.holes_lacking, plan.after.holes_lacking, may), (1, 0, Ok(())));
    w.scaler.rebinding_pause(now, true, false).unwrap();
    assert_eq!(w.scaler.rebinding_run(now), Err(RunRefusal::Blocked(rebinding::No::Paused)));
    assert!(w.scaler.rebinding_status(now).paused);
    w.scaler.rebinding_pause(now, false, false).unwrap();
    assert_eq!(w.scaler.rebinding_run(now), Ok(plan.moves.len()));
    w.run(500);
    let now = ms(w.t);
    assert_eq!(w.scaler.rebinding_run(now), Err(RunRefusal::Busy));
    let shown = w.scaler.rebinding_status(now);
    assert_eq!((shown.moves.len(), shown.blocked_functions), (plan.moves.len(), vec!["big".to_string()]));
    // Given up before the new one serves: all is as it was.
    w.scaler.rebinding_pause(now, true, true).unwrap();
    w.run(25_000);
    let shown = w.scaler.rebinding_status(ms(w.t));
    assert!(shown.moves.is_empty() && shown.finished.iter().all(|e| e.2 == rebinding::Outcome::Undone));
    docks_stand(&w);
}

#[rstest]
fn the_old_one_has_time_for_what_it_holds(#[values(1, 2)] seed: u64) {
    let mut w = packed(seed, Rebinding::Holes);
    w.run_ms = 1000.0;
    for (name, zone) in w.insts.values().map(|i| (i.service.clone(), i.zone.clone())).collect::<Vec<_>>() {
        w.load(&name, ZONES.into_iter().find(|z| **z == zone).unwrap(), 0.3);
    }
    w.run(20_000);
    w.load("big", "b", 2.0);
    let mut letting = BTreeMap::<String, u64>::new();
    let mut stopped = 0;
    for _ in 0..6000 {
        w.run(10);
        for e in w.scaler.entries().filter(|e| e.state == InstanceState::Ending) {
            letting.entry(e.instance.clone()).or_insert(w.t);
        }
        let replaced: Vec<String> = w.scaler.entries().filter_map(|e| e.replaces.clone()).collect();
        for (t, order) in std::mem::take(&mut w.ordered) {
            if let Order::Stop { instance, .. } = order {
                if replaced.contains(&instance) {
                    stopped += 1;
                    assert!(t >= letting[&instance] + 2000, "{} after {}", t, letting[&instance]);
                }
            }
        }
    }
    assert!(stopped > 0);
}

/// Guards against one that is listed as leaving, taken back into service because it was about to be stopped anyway.
#[rstest]
fn one_that_drains_is_not_taken_back_before_its_stop(#[values(false, true)] drains: bool) {
    let at: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let listed = |n: u32, draining: bool| ListedInstance {
        instance: format!("i{n}"),
        service: "d".into(),
        address: at,
        zone: "a".into(),
        host: "m".into(),
        draining,
    };
    let host = Host { name: "m".into(), zone: "a".into(), memory_mb: 8000, free_memory_mb: 0, up: true };
    let mut scaler = Scaler::new(terms(), 7, 1, ms(0));
    scaler.update_services(ms(0), &[dock("d")]);
    scaler.inherit(ms(0), &[], &[], 7);
    scaler.update_hosts(ms(0), &[host]);
    scaler.update_instances(ms(0), &[listed(0, false), listed(1, false), listed(2, false)]);
    let ending = |scaler: &Scaler| {
        let ends = |e: &&Entry| e.state == InstanceState::Ending;
        scaler.entries().find(ends).map(|e| e.instance.clone())
    };
    let mut t = 0;
    while ending(&scaler).is_none() {
        t += STEP;
        assert!(t < 60_000, "nothing is too many");
        while scaler.next(ms(t)).is_some() {}
    }
    let leaves = ending(&scaler).unwrap();
    let list: Vec<ListedInstance> = (0..3).map(|n| listed(n, drains && leaves == format!("i{n}"))).collect();
    scaler.update_instances(ms(t + STEP), &list);
    let demand = Demand {
        service: "d".into(),
        zone: "a".into(),
        rate: 300.0,
        busy: 12.0,
        peak: 12,
        waiting: 8,
        run_ms: 100.0,
        idle_ms: 0,
        origins: Vec::new(),
    };
    scaler.update_demand(ms(t + 2 * STEP), demand);
    while scaler.next(ms(t + 2 * STEP)).is_some() {}
    assert_eq!(ending(&scaler), drains.then_some(leaves));
}
