//! Autoscaler against a simulated platform, slot allocators and calls, on simulated time in steps of 10 ms.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand64;
use rstest::rstest;
use tindock_autoscaler::*;

const STEP: u64 = 10;
const LAG: u64 = 800;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct SimInstance {
    service: String,
    host: String,
    zone: String,
    address: SocketAddr,
    up_at: u64,
    draining: bool,
    ends: Option<u64>,
    /// After a crash: the list shows it until then.
    listed_until: Option<u64>,
    begun: u64,
    busy: u32,
}

struct SimHost {
    zone: &'static str,
    memory: u32,
    up: bool,
    drains: bool,
}

#[derive(Default)]
struct Load {
    rate: f64,
    arrivals: Vec<u64>, // arrivals of the last 3 s
    waiting: VecDeque<u64>,
    busy: f64,
    busy_average: f64,
    peak: VecDeque<(u64, u32)>,
    last: Option<u64>,
    reported_at: u64,
}

struct World {
    t: u64,
    rng: Rand64,
    scaler: Scaler,
    services: BTreeMap<String, Service>,
    run_ms: f64,
    machines: BTreeMap<String, SimHost>,
    instances: BTreeMap<String, SimInstance>,
    nonces: BTreeMap<String, String>,
    recent_calls: VecDeque<u64>,
    call_rate: usize,
    answer_loss: f64,
    lists: VecDeque<(u64, Vec<Host>, Vec<ListedInstance>)>,
    loads: BTreeMap<(String, &'static str), Load>,
    /// (end, service, zone of the call, instance)
    running: Vec<(u64, String, &'static str, String)>,
    answers: Vec<(u64, Answer)>,
    next_id: u64,
    starts: u64,
    stops: u64,
    refused: u64,
    late_calls: u64,
    served: u64,
    min_up: BTreeMap<String, u32>,
    wait_times: Vec<(u64, u64)>,
    issued_orders: Vec<(u64, Order)>,
}

enum Answer {
    Started(u64, StartResult),
    Stopped(u64, bool),
}

const ZONES: [&str; 3] = ["a", "b", "c"];

fn platform_settings() -> PlatformSettings {
    PlatformSettings {
        zones: vec![("a".into(), "r".into()), ("b".into(), "r".into()), ("c".into(), "s".into())],
        drain: ms(3000),
        address_reuse: ms(2000),
        call_rate: 150.0,
        list_lag: ms(LAG),
    }
}

fn urgent_service(name: &str) -> Service {
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

fn sleeping_service(name: &str) -> Service {
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
        let mut scaler = Scaler::new(platform_settings(), 7, seed, ms(0));
        scaler.update_services(ms(0), &services);
        let machines = (0..hosts)
            .map(|i| (format!("h{i}"), SimHost { zone: ZONES[i % 3], memory, up: true, drains: false }));
        World {
            t: 0,
            rng: Rand64::new(seed as u128),
            scaler,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            run_ms: 80.0,
            machines: machines.collect(),
            instances: BTreeMap::new(),
            nonces: BTreeMap::new(),
            recent_calls: VecDeque::new(),
            call_rate: 150,
            answer_loss: 0.0,
            lists: VecDeque::new(),
            loads: BTreeMap::new(),
            running: Vec::new(),
            answers: Vec::new(),
            next_id: 0,
            starts: 0,
            stops: 0,
            refused: 0,
            late_calls: 0,
            served: 0,
            min_up: BTreeMap::new(),
            wait_times: Vec::new(),
            issued_orders: Vec::new(),
        }
    }

    fn load(&mut self, service: &str, zone: &'static str, rate: f64) {
        self.loads.entry((service.into(), zone)).or_default().rate = rate;
    }

    fn call(&mut self, service: &str, zone: &'static str) {
        let t = self.t;
        let l = self.loads.entry((service.into(), zone)).or_default();
        l.waiting.push_back(t);
        l.arrivals.push(t);
        l.last = Some(t);
        l.reported_at = 0;
    }

    fn free(&self, host: &str) -> u32 {
        let used: u32 = self
            .instances
            .values()
            .filter(|i| i.host == host && i.listed_until.is_none())
            .map(|i| self.services[&i.service].memory_mb)
            .sum();
        assert!(used <= self.machines[host].memory, "host memory exceeded");
        self.machines[host].memory - used
    }

    fn alive(&self, service: &str) -> usize {
        self.instances.values().filter(|i| i.service == service && i.listed_until.is_none()).count()
    }

    fn up(&self, service: &str) -> usize {
        let up = |i: &&SimInstance| {
            i.service == service && i.listed_until.is_none() && i.up_at <= self.t && i.ends.is_none()
        };
        self.instances.values().filter(up).count()
    }

    fn platform(&mut self, order: Order) {
        while self.recent_calls.front().is_some_and(|m| m + 1000 <= self.t) {
            self.recent_calls.pop_front();
        }
        let busy = self.recent_calls.len() >= self.call_rate;
        if !busy {
            self.recent_calls.push_back(self.t);
        }
        let lost = self.rng.rand_float() < self.answer_loss;
        let done = self.rng.rand_float() < 0.5;
        let at = self.t + 10 + self.rng.rand_range(0..20);
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
                    let boot = self.services[&service].boot_ms as f64 * (0.7 + 0.6 * self.rng.rand_float());
                    let inst = SimInstance {
                        zone: self.machines[&host].zone.into(),
                        service,
                        host,
                        address,
                        up_at: self.t + boot as u64,
                        draining: false,
                        ends: None,
                        listed_until: None,
                        begun: self.t,
                        busy: 0,
                    };
                    self.instances.insert(id.clone(), inst);
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
                    if let Some(i) = self.instances.get_mut(&instance) {
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
        if let Some(i) = self.instances.get_mut(id) {
            i.listed_until = Some(t + 4000);
        }
        self.running.retain(|r| r.3 != id);
    }

    fn crash_host(&mut self, host: &str) {
        let ids: Vec<String> =
            self.instances.iter().filter(|i| i.1.host == host).map(|i| i.0.clone()).collect();
        ids.iter().for_each(|i| self.crash(i));
        self.machines.get_mut(host).unwrap().up = false;
    }

    fn drain_host(&mut self, host: &str) {
        self.machines.get_mut(host).unwrap().drains = true;
        let t = self.t;
        for i in self.instances.values_mut().filter(|i| i.host == host && i.listed_until.is_none()) {
            i.draining = true;
            i.ends = Some(t + LAG + 3000);
        }
    }

    fn step(&mut self) {
        self.t += STEP;
        let (t, now) = (self.t, ms(self.t));
        self.instances.retain(|_, i| i.ends.is_none_or(|e| e > t) && i.listed_until.is_none_or(|g| g > t));
        // Lists, delivered with a lag.
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
            let list = self.instances.iter().filter(|i| i.1.up_at <= t).map(|(id, i)| ListedInstance {
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
        // Responses of the platform.
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
            self.issued_orders.push((t, order.clone()));
            self.platform(order);
        }
        assert!(self.scaler.next_due() > now, "due again at once: {:?} at {now:?}", self.scaler.next_due());
        for name in self.services.keys() {
            let up = self.up(name) as u32;
            let least = self.min_up.entry(name.clone()).or_insert(up);
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
            if let Some(i) = self.instances.get_mut(&id) {
                i.busy -= 1;
            }
            if let Some(l) = self.loads.get_mut(&(service, zone)) {
                l.busy -= 1.0;
            }
        }
        let mut allocatable: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for e in self.scaler.entries() {
            if e.state != InstanceState::Ending {
                allocatable.entry(e.service.clone()).or_default().push(e.instance.clone());
            }
        }
        let mut instance_events = Vec::new();
        for ((service, zone), l) in &mut self.loads {
            if self.rng.rand_float() < l.rate * STEP as f64 / 1e3 {
                l.waiting.push_back(t);
                l.arrivals.push(t);
                l.last = Some(t);
            }
            l.arrivals.retain(|c| c + 3000 > t);
            while let Some(since) = l.waiting.front().copied() {
                let mut found = None;
                for id in allocatable.get(service).into_iter().flatten() {
                    match self.instances.get(id) {
                        Some(i)
                            if i.listed_until.is_none()
                                && i.up_at <= t
                                && i.busy < self.services[service].max_inflight =>
                        {
                            found = Some(id.clone());
                            break;
                        }
                        Some(i) if i.listed_until.is_some() => instance_events.push((id.clone(), false)),
                        None => instance_events.push((id.clone(), false)),
                        _ => {}
                    }
                }
                let Some(id) = found else { break };
                instance_events.push((id.clone(), true));
                self.instances.get_mut(&id).unwrap().busy += 1;
                l.busy += 1.0;
                let run = -self.run_ms * (1.0 - self.rng.rand_float()).ln();
                self.running.push((t + 1 + run as u64, service.clone(), zone, id));
                l.waiting.pop_front();
                self.wait_times.push((t, t - since));
                if t - since > u64::from(self.services[service].target_ms) {
                    self.late_calls += 1;
                }
            }
            l.busy_average += (l.busy - l.busy_average) * STEP as f64 / 500.0;
            l.peak.push_back((t, l.busy as u32 + l.waiting.len() as u32));
            l.peak.retain(|p| p.0 + 1000 > t);
            let Some(last) = l.last else { continue };
            let urgent = !l.waiting.is_empty() && l.reported_at + 50 <= t;
            if l.reported_at + 250 <= t && l.last.is_some_and(|x| x + 8000 > t) || urgent {
                l.reported_at = t;
                let rate: f64 = l.arrivals.iter().map(|c| (-((t - c) as f64) / 1e3).exp()).sum();
                self.scaler.update_demand(
                    now,
                    Demand {
                        service: service.clone(),
                        zone: zone.to_string(),
                        rate: rate as f32,
                        busy: l.busy_average as f32,
                        peak: l.peak.iter().map(|p| p.1).max().unwrap_or(0) as u16,
                        waiting: l.waiting.len() as u16,
                        run_ms: self.run_ms as f32,
                        idle_ms: (t - last) as u32,
                        origins: Vec::new(),
                    },
                );
            }
        }
        for (id, ready) in instance_events {
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

    /// The autoscaler knows every running instance, and every instance it knows exists.
    fn assert_registry_matches(&self) {
        for (id, _) in self
            .instances
            .iter()
            .filter(|i| i.1.listed_until.is_none() && i.1.ends.is_none() && i.1.begun + 1500 < self.t)
        {
            assert!(self.scaler.entries().any(|e| e.instance == *id), "{id} unknown to the autoscaler");
        }
        for e in self.scaler.entries() {
            assert!(self.instances.contains_key(&e.instance), "{} does not exist", e.instance);
        }
    }
}

#[rstest]
fn urgent_services_have_one_instance_before_traffic(#[values(1, 2, 3)] seed: u64) {
    let urgent: Vec<Service> =
        (0..8).map(|i| urgent_service(&format!("d{i}"))).chain([sleeping_service("l0")]).collect();
    let mut w = World::new(seed, urgent, 6, 8000);
    w.run(1500 + 1400 * 13 / 10 + 1000);
    for i in 0..8 {
        assert_eq!(w.up(&format!("d{i}")), 1);
    }
    assert_eq!(w.alive("l0"), 0);
    let zones: std::collections::BTreeSet<_> = w.instances.values().map(|i| i.zone.clone()).collect();
    assert!(zones.len() > 1, "all instances in one zone");
    w.run(60_000);
    assert_eq!((w.starts, w.stops), (8, 0));
    w.assert_registry_matches();
}

#[rstest]
fn rare_service_starts_on_demand_and_stops_when_idle(#[values(1, 2, 3)] seed: u64) {
    let mut w = World::new(seed, vec![sleeping_service("l")], 3, 4000);
    w.run(5000);
    w.call("l", "b");
    w.run(100);
    assert_eq!(w.alive("l"), 1);
    assert_eq!(w.instances.values().next().unwrap().zone, "b");
    w.run(1400);
    assert_eq!(w.served, 1);
    assert_eq!(w.late_calls, 0);
    let window = Tuning::default().idle_window(&sleeping_service("l"), 1.0).as_millis() as u64;
    w.run(window + 2000);
    assert_eq!(w.alive("l"), 0);
    assert_eq!((w.starts, w.stops), (1, 1));
    w.run(5000);
    assert_eq!(w.scaler.entries().count(), 0);
}

#[rstest]
#[case::steady(1.0, 1)]
#[case::rare(0.05, 12)]
fn low_steady_rate_does_not_cause_repeated_starts(
    #[case] rate: f64,
    #[case] most: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut w = World::new(seed, vec![sleeping_service("l")], 3, 4000);
    w.run(5000);
    w.load("l", "a", rate);
    w.run(120_000);
    assert!(w.starts <= most + 3, "{} starts", w.starts);
}

#[rstest]
fn target_is_reached_within_boot_time_plus_one_second(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = World::new(seed, vec![urgent_service("d")], 6, 8000);
    w.run(5000);
    ZONES.into_iter().for_each(|z| w.load("d", z, 40.0)); // 9.6 slots busy
    w.run(1400 * 13 / 10 + 1000);
    assert!(w.up("d") >= 3, "{}", w.up("d"));
    w.run(20_000);
    let up = w.up("d");
    assert!((4..=6).contains(&up), "{up}");
    let from = w.t - 15_000;
    let slow = w.wait_times.iter().filter(|x| x.0 > from && x.1 > 200).count();
    let all = w.wait_times.iter().filter(|x| x.0 > from).count();
    assert!(slow * 100 < all, "{slow} of {all}");
    w.assert_registry_matches();
}

#[rstest]
fn burst_is_absorbed_and_scaled_down_afterwards(#[values(1, 2, 3, 4)] seed: u64) {
    let mut w = World::new(seed, vec![urgent_service("d")], 6, 8000);
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
    let slow = w.wait_times.iter().filter(|x| x.0 > from && x.1 > 250).count();
    assert!(slow < 40, "{slow}");
    assert!(w.up("d") <= 10, "{}", w.up("d"));
    ZONES.into_iter().for_each(|z| w.load("d", z, 30.0));
    w.run(15_000);
    assert!(w.up("d") <= before + 1, "{} after {before}", w.up("d"));
}

#[rstest]
fn instances_of_a_draining_host_are_replaced_before_they_end(#[values(1, 2, 3)] seed: u64) {
    let urgent: Vec<Service> = (0..8).map(|i| urgent_service(&format!("d{i}"))).collect();
    let mut w = World::new(seed, urgent, 6, 8000);
    w.run(6000);
    w.min_up.clear();
    let host = w.instances.values().next().unwrap().host.clone();
    w.drain_host(&host);
    w.run(10_000);
    // Draining instances end after the lag and 3 s; up() does not count them.
    for i in 0..8 {
        assert_eq!(w.up(&format!("d{i}")), 1);
    }
    let replaced = w.instances.values().filter(|i| i.begun >= 6000).map(|i| i.up_at).max().unwrap();
    assert!(replaced < 6000 + LAG + 3000, "{replaced}");
    assert!(w.instances.values().all(|i| i.host != host));
    w.assert_registry_matches();
}

#[rstest]
fn instances_lost_in_a_host_crash_are_replaced(
    #[values(1, 2, 3)] seed: u64,
    #[values(false, true)] has_load: bool,
) {
    let mut w = World::new(seed, vec![urgent_service("d"), urgent_service("e")], 6, 8000);
    w.run(4000);
    if has_load {
        w.load("d", "a", 20.0);
    }
    w.run(12_000);
    let host = w.instances.values().find(|i| i.service == "d").unwrap().host.clone();
    w.crash_host(&host);
    w.run(if has_load { 3200 } else { 6000 });
    assert!(w.up("d") >= 1);
    w.run(8000);
    w.assert_registry_matches();
    assert!(w.up("d") <= 2);
}

#[rstest]
fn starts_with_lost_answers_are_not_executed_twice(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let urgent: Vec<Service> = (0..20).map(|i| urgent_service(&format!("d{i}"))).collect();
    let mut w = World::new(seed, urgent, 6, 8000);
    w.answer_loss = 0.5;
    w.run(12_000);
    assert_eq!(w.starts, 20);
    w.load("d3", "b", 60.0);
    w.run(15_000);
    w.load("d3", "b", 0.0);
    w.run(25_000);
    assert_eq!(w.instances.len(), 20);
    w.assert_registry_matches();
}

#[rstest]
fn starts_never_exceed_host_memory(#[values(1, 2, 3)] seed: u64) {
    // free() asserts this at every list and start.
    let urgent: Vec<Service> = (0..8).map(|i| urgent_service(&format!("d{i}"))).collect();
    let mut w = World::new(seed, urgent, 3, 2100);
    ZONES.into_iter().for_each(|z| w.load("d0", z, 200.0));
    w.run(20_000);
    assert_eq!(w.instances.len(), 12);
    w.assert_registry_matches();
}

#[rstest]
fn simultaneous_cold_starts_stay_under_the_rate_limit(#[values(1, 2)] seed: u64) {
    let sleeping: Vec<Service> = (0..150).map(|i| sleeping_service(&format!("l{i}"))).collect();
    let mut w = World::new(seed, sleeping, 12, 7413);
    w.run(4000);
    (0..150).for_each(|i| w.call(&format!("l{i}"), ZONES[i % 3]));
    w.run(3500);
    assert_eq!(w.refused, 0);
    assert_eq!(w.served, 150);
    w.run(10_000);
    assert_eq!(w.instances.len(), 0);
    assert_eq!(w.starts, 150);
}

#[rstest]
fn lower_platform_rate_limit_is_respected(#[values(1, 2)] seed: u64) {
    let sleeping: Vec<Service> = (0..100).map(|i| sleeping_service(&format!("l{i}"))).collect();
    let mut w = World::new(seed, sleeping, 12, 7413);
    w.call_rate = 40;
    w.run(4000);
    (0..100).for_each(|i| w.call(&format!("l{i}"), ZONES[i % 3]));
    w.run(9000);
    assert_eq!(w.served, 100);
    assert!(w.refused < 300, "{}", w.refused);
}

#[rstest]
fn successor_does_not_repeat_starts(#[values(1, 2, 3)] seed: u64, #[values(false, true)] inherits: bool) {
    let urgent: Vec<Service> =
        (0..8).map(|i| urgent_service(&format!("d{i}"))).chain([sleeping_service("l")]).collect();
    let mut w = World::new(seed, urgent, 6, 8000);
    w.load("d1", "a", 50.0);
    w.load("l", "c", 3.0);
    w.run(20_000);
    let before = w.starts;
    let specs: Vec<Service> = w.services.values().cloned().collect();
    let entries: Vec<Entry> = w.scaler.entries().cloned().collect();
    let (numbers, tag) = w.scaler.start_numbers();
    let version = w.scaler.version();
    let mut next = Scaler::new(platform_settings(), 8, seed, ms(w.t));
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
    w.assert_registry_matches();
    w.run(10_000);
    assert!(w.min_up["d0"] <= 1 && w.up("d0") == 1);
}

#[rstest]
fn scale_down_never_goes_below_demand(#[values(1, 2, 3)] seed: u64) {
    let mut w = World::new(seed, vec![urgent_service("d")], 6, 8000);
    w.run(4000);
    for round in 0..6 {
        ZONES.into_iter().for_each(|z| w.load("d", z, if round % 2 == 0 { 50.0 } else { 10.0 }));
        w.run(4000);
        w.min_up.clear();
        w.run(12_000);
        // Of 4 slots per instance: 1 busy at 10 calls a second and zone, 12 at 50.
        let least = if round % 2 == 0 { 3 } else { 1 };
        assert!(w.min_up["d"] >= least, "{} in round {round}", w.min_up["d"]);
    }
    assert!(w.starts < 40, "{} starts", w.starts);
}

#[rstest]
fn removed_service_is_stopped() {
    let mut w = World::new(1, vec![urgent_service("d"), urgent_service("e")], 3, 8000);
    w.run(5000);
    w.scaler.update_services(ms(w.t), &[urgent_service("e")]);
    w.run(1500);
    assert_eq!((w.alive("d"), w.alive("e")), (0, 1));
    w.run(5000);
    assert_eq!(w.scaler.entries().count(), 1);
}

#[rstest]
fn incremental_changes_match_the_registry(#[values(1, 2)] seed: u64) {
    let mut w = World::new(seed, vec![urgent_service("d"), sleeping_service("l")], 6, 8000);
    let (mut have, mut version) = (BTreeMap::<String, Entry>::new(), 0);
    w.load("l", "a", 0.2);
    for round in 0..300 {
        w.load("d", "a", if round % 40 < 20 { 60.0 } else { 5.0 });
        w.run(300);
        let changes = w.scaler.changes_since(version);
        if changes.complete {
            have.clear();
        }
        version = changes.version;
        changes.ended.iter().for_each(|e| drop(have.remove(&e.0)));
        have.extend(changes.entries.into_iter().map(|e| (e.instance.clone(), e)));
        assert!(have.values().eq(w.scaler.entries()));
    }
    assert!(w.stops > 2);
}

#[rstest]
fn thousand_services_are_planned_in_time() {
    let all: Vec<Service> = (0..1000)
        .map(|i| if i < 100 { urgent_service(&format!("s{i}")) } else { sleeping_service(&format!("s{i}")) })
        .collect();
    let mut s = Scaler::new(platform_settings(), 1, 1, ms(0));
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
fn invalid_input_is_ignored() {
    let mut s = Scaler::new(PlatformSettings { zones: vec![], ..platform_settings() }, 1, 1, ms(5));
    s.update_services(
        ms(0),
        &[Service { memory_mb: 0, boot_ms: 0, max_inflight: 0, target_ms: 0, ..urgent_service("d") }],
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
    Service { memory_mb: 1024, boot_ms: 1000, target_ms: 20_000, priority: 3, ..urgent_service("big") }
}

/// Six urgent services in each zone, whose two hosts each have half of the memory free that `big` needs.
fn nearly_full_hosts(seed: u64, mode: Rebinding) -> World {
    let all: Vec<Service> = (0..40).map(|i| urgent_service(&format!("d{i}"))).collect();
    let mut w = World::new(seed, all.clone(), 3, 64_000);
    w.run(3000);
    let mut chosen = vec![big()];
    for z in ZONES {
        chosen
            .extend(w.instances.values().filter(|i| i.zone == z).take(6).map(|i| urgent_service(&i.service)));
    }
    assert_eq!(chosen.len(), 19);
    let mut w = World::new(seed, chosen.clone(), 6, 2048);
    w.scaler.set_rebinding(ms(0), mode);
    for (n, s) in chosen.iter().skip(1).enumerate().step_by(3) {
        w.load(&s.name, ZONES[n / 6], 1.0);
    }
    w.run(22_000);
    w.min_up.clear();
    w
}

fn moves_started(w: &World) -> usize {
    w.nonces.keys().filter(|n| n.starts_with("rb.")).count()
}

fn assert_urgent_services_running(w: &World) {
    for name in w.services.keys().filter(|n| *n != "big") {
        assert!(w.min_up[name] >= 1, "{name} had no instance");
        assert_eq!(w.alive(name), 1, "{name}");
    }
    w.assert_registry_matches();
}

#[rstest]
#[case(Rebinding::Off, 0)]
#[case(Rebinding::Plan, 0)]
#[case(Rebinding::Holes, 1)]
#[case(Rebinding::All, 1)]
fn blocked_start_gets_memory_through_a_move(
    #[case] mode: Rebinding,
    #[case] made: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut w = nearly_full_hosts(seed, mode);
    w.load("big", "b", 6.0);
    w.run(30_000);
    assert_eq!(w.alive("big"), made);
    assert_eq!(moves_started(&w) > 0, made > 0);
    assert!(moves_started(&w) <= 2, "{} moves", moves_started(&w));
    w.run(10_000);
    assert_urgent_services_running(&w);
    assert!(w.scaler.entries().all(|e| e.replaces.is_none()));
}

/// An entry as agents pass it on: an instance without allocatable slots is reported as draining.
fn as_reported_by_agents(mut e: Entry) -> Entry {
    if e.state == InstanceState::Ending {
        e.state = InstanceState::Draining;
    }
    e
}

#[rstest]
fn move_is_finished_after_the_lease_holder_is_killed(
    #[values(1, 2, 3)] seed: u64,
    #[values(0, 1, 3, 6, 9, 12, 15, 18, 21, 24, 30, 40)] after: u64,
    #[values(false, true)] wire: bool,
) {
    let mut w = nearly_full_hosts(seed, Rebinding::Holes);
    w.load("big", "b", 6.0);
    while moves_started(&w) == 0 {
        w.run(10);
        assert!(w.t < 60_000, "no move");
    }
    w.run(after * 100);
    let specs: Vec<Service> = w.services.values().cloned().collect();
    let entries = w.scaler.entries().cloned().map(|e| if wire { as_reported_by_agents(e) } else { e });
    let entries: Vec<Entry> = entries.collect();
    let (numbers, tag) = w.scaler.start_numbers();
    let mut next = Scaler::new(platform_settings(), 8, seed, ms(w.t));
    next.set_rebinding(ms(w.t), Rebinding::Holes);
    next.update_services(ms(w.t), &specs);
    next.inherit(ms(w.t), &entries, &numbers, tag);
    w.scaler = next;
    w.answers.clear();
    // A start that was never reported is stopped as surplus, and the move is made again a minute later.
    w.run(if after == 0 { 120_000 } else { 30_000 });
    assert_eq!(w.alive("big"), 1);
    assert_urgent_services_running(&w);
}

#[rstest]
fn plan_mode_issues_the_same_orders_as_off(#[values(1, 2, 3)] seed: u64) {
    let run_mode = |mode| {
        let mut w = nearly_full_hosts(seed, mode);
        w.load("big", "b", 6.0);
        w.run(5000);
        w.drain_host("h1");
        w.run(8000);
        w.crash_host("h2");
        w.run(10_000);
        w.issued_orders
    };
    let off = run_mode(Rebinding::Off);
    assert!(off.len() > 20);
    assert_eq!(off, run_mode(Rebinding::Plan));
}

#[rstest]
#[case("configuration")]
#[case("trouble")]
#[case("rush")]
fn no_move_while_unsettled(#[case] what: &str) {
    let mut w = nearly_full_hosts(1, Rebinding::Holes);
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
                w.machines.insert("x".into(), SimHost { zone: "a", memory: 0, up: true, drains });
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
    assert_eq!(moves_started(&w), 0);
    w.run(20_000);
    assert!(moves_started(&w) > 0, "no move after the disturbance ended");
}

#[rstest]
fn operators_plan_run_pause_and_undo_moves() {
    let mut w = nearly_full_hosts(2, Rebinding::Plan);
    w.load("big", "b", 6.0);
    w.run(3000);
    let now = ms(w.t);
    let (plan, may) = w.scaler.rebinding_plan(now).unwrap();
    assert_eq!((plan.before.unplaced_starts, plan.after.unplaced_starts, may), (1, 0, Ok(())));
    w.scaler.rebinding_pause(now, true, false).unwrap();
    assert_eq!(w.scaler.rebinding_run(now), Err(RunRefusal::Blocked(instance_migration::Obstacle::Paused)));
    assert!(w.scaler.rebinding_status(now).paused);
    w.scaler.rebinding_pause(now, false, false).unwrap();
    assert_eq!(w.scaler.rebinding_run(now), Ok(plan.moves.len()));
    w.run(500);
    let now = ms(w.t);
    assert_eq!(w.scaler.rebinding_run(now), Err(RunRefusal::Busy));
    let status = w.scaler.rebinding_status(now);
    assert_eq!((status.moves.len(), status.blocked_functions), (plan.moves.len(), vec!["big".to_string()]));
    // Cancelled before the new instance serves: the previous state is restored.
    w.scaler.rebinding_pause(now, true, true).unwrap();
    w.run(25_000);
    let status = w.scaler.rebinding_status(ms(w.t));
    assert!(
        status.moves.is_empty() && status.finished.iter().all(|e| e.2 == instance_migration::Outcome::Undone)
    );
    assert_urgent_services_running(&w);
}

#[rstest]
fn replaced_instance_is_not_stopped_before_its_calls_end(#[values(1, 2)] seed: u64) {
    let mut w = nearly_full_hosts(seed, Rebinding::Holes);
    w.run_ms = 1000.0;
    for (name, zone) in w.instances.values().map(|i| (i.service.clone(), i.zone.clone())).collect::<Vec<_>>()
    {
        w.load(&name, ZONES.into_iter().find(|z| **z == zone).unwrap(), 0.3);
    }
    w.run(20_000);
    w.load("big", "b", 2.0);
    let mut ending_since = BTreeMap::<String, u64>::new();
    let mut stopped = 0;
    for _ in 0..6000 {
        w.run(10);
        for e in w.scaler.entries().filter(|e| e.state == InstanceState::Ending) {
            ending_since.entry(e.instance.clone()).or_insert(w.t);
        }
        let replaced: Vec<String> = w.scaler.entries().filter_map(|e| e.replaces.clone()).collect();
        for (t, order) in std::mem::take(&mut w.issued_orders) {
            if let Order::Stop { instance, .. } = order {
                if replaced.contains(&instance) {
                    stopped += 1;
                    assert!(t >= ending_since[&instance] + 2000, "{} after {}", t, ending_since[&instance]);
                }
            }
        }
    }
    assert!(stopped > 0);
}

/// Guards against putting an ending instance back into service although the platform lists it as draining.
#[rstest]
fn draining_instance_is_not_revived_before_its_stop(#[values(false, true)] drains: bool) {
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
    let mut scaler = Scaler::new(platform_settings(), 7, 1, ms(0));
    scaler.update_services(ms(0), &[urgent_service("d")]);
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
        assert!(t < 60_000, "no surplus instance was ended");
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
