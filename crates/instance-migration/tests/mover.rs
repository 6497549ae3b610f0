//! The mover on simulated time, with late, lost and refused calls, draining and crashing hosts, failing
//! starts, a change of the lease holder between any two steps, and rising load. Invariants are checked after
//! each step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oorandom::Rand32;
use rstest::rstest;
use tindock_instance_migration::*;

const TICK: u64 = 100;
const LAG: u64 = 500;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[derive(Clone, Debug)]
struct SimInstance {
    service: String,
    host: String,
    nonce: String,
    ready_at: u64,
    drains: bool,
    stopped: bool,
    answered: bool,
    /// End times of its open calls.
    calls: Vec<u64>,
}

#[derive(Clone, Debug)]
struct SimHost {
    zone: String,
    total: Resources,
    /// The actual resources; the host reports more where the two differ.
    actual: Resources,
    up: bool,
    ends_at: Option<u64>,
}

#[derive(Clone, Debug)]
enum Call {
    Begin { service: String, host: String, nonce: String, replaces: Option<String>, sent: u64 },
    Stop { instance: String },
}

#[derive(Clone, Debug)]
struct Entry {
    service: String,
    host: String,
    state: InstanceState,
    replaces: Option<String>,
    listed: bool,
    missing: u32,
    since: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    crashes: u32,
    drains: u32,
    start_failure: f32,
    loss: f32,
    slow: u64,
    load_rises: bool,
    overreport: bool,
    /// The lease holder is killed at order `kill_at / 2`: right after it if odd, right before it if even.
    kill_at: Option<u64>,
    kills: u32,
}

/// Instance, service, host, whether it drains.
type ListEntry = (String, String, String, bool);

struct Sim {
    now: u64,
    rng: Rand32,
    faults: Faults,
    hosts: BTreeMap<String, SimHost>,
    functions: BTreeMap<String, Function>,
    instances: BTreeMap<String, SimInstance>,
    by_nonce: BTreeMap<String, String>,
    started_count: u64,
    in_flight: Vec<(u64, bool, Call)>,
    list: Vec<(u64, Vec<ListEntry>)>,
    // The lease holder.
    lease_number: u64,
    mover: Option<Mover>,
    suspended: Vec<Mover>,
    next_holder: u64,
    entries: BTreeMap<String, Entry>,
    announced: BTreeMap<String, Entry>,
    tombstones: BTreeSet<String>,
    start_count: u64,
    pending: BTreeMap<String, Call>,
    stops: BTreeMap<String, u64>,
    planned: u64,
    orders: u64,
    settings: MoverSettings,
    /// Serving instances that each urgent function has reached, up to its required number; reduced by each
    /// instance lost to a fault.
    reached: BTreeMap<String, u32>,
    unannounced_updates: u32,
    /// Hosts that refused a start: until when this counts, and of how many MB.
    refused_starts: BTreeMap<String, (u64, u32)>,
    released_at: BTreeMap<String, u64>,
    calls: (u64, u64),
    outcomes: BTreeMap<String, u32>,
    most_concurrent: usize,
    broken: Option<String>,
}

impl Sim {
    fn new(seed: u64, faults: Faults, settings: MoverSettings) -> Sim {
        let fleet = sample_fleet(seed, 24, 0.5);
        let mut rng = Rand32::new(seed ^ 0xfeed);
        let mut hosts = BTreeMap::new();
        for h in &fleet.hosts {
            let mut actual = h.total;
            if faults.overreport && rng.rand_range(0..3) == 0 {
                actual.memory_mb = actual.memory_mb.min(h.total.memory_mb - h.free.memory_mb + 300);
            }
            hosts.insert(
                h.name.clone(),
                SimHost { zone: h.zone.clone(), total: h.total, actual, up: true, ends_at: None },
            );
        }
        let mut instances = BTreeMap::new();
        let mut entries = BTreeMap::new();
        for i in &fleet.instances {
            let inst = SimInstance {
                service: i.function.clone(),
                host: i.host.clone(),
                nonce: format!("s.{}", i.id),
                ready_at: 0,
                drains: false,
                stopped: false,
                answered: true,
                calls: Vec::new(),
            };
            entries.insert(
                i.id.clone(),
                Entry {
                    service: i.function.clone(),
                    host: i.host.clone(),
                    state: InstanceState::Ready,
                    replaces: None,
                    listed: true,
                    missing: 0,
                    since: 0,
                },
            );
            instances.insert(i.id.clone(), inst);
        }
        let mut sim = Sim {
            now: 0,
            rng,
            faults,
            hosts,
            functions: fleet.functions.iter().map(|f| (f.name.clone(), f.clone())).collect(),
            instances,
            by_nonce: BTreeMap::new(),
            started_count: 0,
            in_flight: Vec::new(),
            list: Vec::new(),
            lease_number: 0,
            mover: None,
            suspended: Vec::new(),
            next_holder: 0,
            announced: entries.clone(),
            entries,
            tombstones: BTreeSet::new(),
            start_count: 0,
            pending: BTreeMap::new(),
            stops: BTreeMap::new(),
            planned: 0,
            orders: 0,
            settings,
            reached: BTreeMap::new(),
            unannounced_updates: 0,
            refused_starts: BTreeMap::new(),
            released_at: BTreeMap::new(),
            calls: (0, 0),
            outcomes: BTreeMap::new(),
            most_concurrent: 0,
            broken: None,
        };
        sim.snapshot();
        sim
    }

    fn fail(&mut self, what: String) {
        let now = self.now;
        self.broken.get_or_insert(format!("{now} ms: {what}"));
    }

    fn occurs(&mut self, p: f32) -> bool {
        self.rng.rand_float() < p
    }

    fn free(&self, host: &str, actual: bool) -> Resources {
        let h = &self.hosts[host];
        let all = self.instances.values().filter(|i| i.host == host);
        let total = if actual { h.actual } else { h.total };
        all.fold(total, |m, i| m.minus(&self.functions[&i.service].size))
    }

    // The platform.

    fn begin(&mut self, service: &str, host: &str, nonce: &str) -> Result<String, ()> {
        if let Some(id) = self.by_nonce.get(nonce) {
            return Ok(id.clone());
        }
        let size = self.functions[service].size;
        if !self.hosts.get(host).is_some_and(|h| h.up) || !size.fits_in(&self.free(host, true)) {
            return Err(());
        }
        self.started_count += 1;
        let id = format!("n-{}", self.started_count);
        let base = |n: &str| n.split('.').take(3).collect::<Vec<_>>().join(".");
        if nonce.starts_with("rb.") {
            let duplicate = self.instances.values().any(|i| !i.stopped && base(&i.nonce) == base(nonce));
            if duplicate {
                self.fail(format!("two starts of one move: {nonce}"));
            }
        }
        let fails = nonce.starts_with("rb.") && self.occurs(self.faults.start_failure);
        let boot =
            u64::from(self.functions[service].boot_ms) * 3 / 4 + u64::from(self.rng.rand_range(0..700));
        self.by_nonce.insert(nonce.to_string(), id.clone());
        self.instances.insert(
            id.clone(),
            SimInstance {
                service: service.to_string(),
                host: host.to_string(),
                nonce: nonce.to_string(),
                ready_at: if fails { u64::MAX } else { self.now + boot },
                drains: false,
                stopped: false,
                answered: false,
                calls: Vec::new(),
            },
        );
        Ok(id)
    }

    fn reduce_reached(&mut self, service: &str) {
        if let Some(n) = self.reached.get_mut(service) {
            *n = n.saturating_sub(1);
        }
    }

    fn kill_instance(&mut self, id: &str) {
        if let Some(i) = self.instances.remove(id) {
            if i.ready_at <= self.now && !i.stopped && !i.drains {
                self.reduce_reached(&i.service);
            }
        }
    }

    fn snapshot(&mut self) {
        let up = |i: &SimInstance| i.ready_at <= self.now && !i.stopped;
        let listed_now = self.instances.iter().filter(|(_, i)| up(i));
        let listed_now =
            listed_now.map(|(id, i)| (id.clone(), i.service.clone(), i.host.clone(), i.drains)).collect();
        self.list.push((self.now, listed_now));
    }

    fn platform(&mut self) {
        let now = self.now;
        for i in self.instances.values_mut() {
            let before = i.calls.len();
            i.calls.retain(|c| *c > now);
            let done = before - i.calls.len();
            i.answered |= done > 0;
            self.calls.1 += done as u64;
        }
        let over: Vec<String> = self
            .instances
            .iter()
            .filter(|(_, i)| i.stopped && i.calls.is_empty())
            .map(|x| x.0.clone())
            .collect();
        for id in over {
            self.instances.remove(&id);
        }
        // Draining hosts end after 3 s.
        let ended_hosts: Vec<String> = self
            .hosts
            .iter()
            .filter(|(_, h)| h.ends_at.is_some_and(|g| g <= now))
            .map(|x| x.0.clone())
            .collect();
        for h in ended_hosts {
            let on: Vec<String> =
                self.instances.iter().filter(|(_, i)| i.host == h).map(|x| x.0.clone()).collect();
            on.iter().for_each(|id| self.kill_instance(id));
        }
        if now > 3000 && now < 40_000 {
            let names: Vec<String> = self.hosts.iter().filter(|h| h.1.up).map(|h| h.0.clone()).collect();
            if names.len() > 3 && self.faults.crashes > 0 && self.occurs(0.004) {
                self.faults.crashes -= 1;
                let h = names[self.rng.rand_range(0..names.len() as u32) as usize].clone();
                let on: Vec<String> =
                    self.instances.iter().filter(|(_, i)| i.host == h).map(|x| x.0.clone()).collect();
                on.iter().for_each(|id| self.kill_instance(id));
            }
            if names.len() > 3 && self.faults.drains > 0 && self.occurs(0.004) {
                self.faults.drains -= 1;
                let h = names[self.rng.rand_range(0..names.len() as u32) as usize].clone();
                let mut lost = Vec::new();
                for i in self.instances.values_mut().filter(|i| i.host == h) {
                    i.drains = true;
                    if i.ready_at <= now {
                        lost.push(i.service.clone());
                    }
                }
                lost.iter().for_each(|f| self.reduce_reached(f));
                if let Some(m) = self.hosts.get_mut(&h) {
                    (m.up, m.ends_at) = (false, Some(now + 3000));
                }
            }
            if self.faults.load_rises && self.occurs(0.01) {
                let urgent: Vec<String> = self
                    .functions
                    .values()
                    .filter(|f| f.urgent && f.required < 5)
                    .map(|f| f.name.clone())
                    .collect();
                if !urgent.is_empty() {
                    let name = urgent[self.rng.rand_range(0..urgent.len() as u32) as usize].clone();
                    if let Some(f) = self.functions.get_mut(&name) {
                        (f.required, f.desired) = (f.required + 1, f.desired + 1);
                    }
                }
            }
        }
        let arrived: Vec<_> = self.in_flight.iter().filter(|c| c.0 <= now).cloned().collect();
        self.in_flight.retain(|c| c.0 > now);
        for (_, answered, call) in arrived {
            match call {
                Call::Begin { service, host, nonce, replaces, .. } => {
                    let got = self.begin(&service, &host, &nonce);
                    // The response to a call of an earlier lease holder is dropped.
                    if answered && self.pending.contains_key(&nonce) {
                        self.pending.remove(&nonce);
                        self.answer(&service, &host, &nonce, replaces, got);
                    }
                }
                Call::Stop { instance } => {
                    if let Some(i) = self.instances.get_mut(&instance) {
                        i.stopped = true;
                    }
                    if answered {
                        if let Some(m) = self.mover.as_mut() {
                            m.instance_ended(&instance);
                        }
                        self.entries.remove(&instance);
                        self.tombstones.insert(instance.clone());
                        self.stops.remove(&instance);
                    }
                }
            }
        }
        self.snapshot();
        self.list.retain(|l| l.0 + LAG + 2 * TICK > now);
    }

    fn call(&mut self, call: Call) {
        let delay =
            20 + u64::from(self.rng.rand_range(0..100)) + if self.occurs(0.2) { self.faults.slow } else { 0 };
        if self.occurs(self.faults.loss) {
            return;
        }
        let answered = !self.occurs(self.faults.loss);
        self.in_flight.push((self.now + delay, answered, call));
    }

    // The lease holder.

    fn answer(
        &mut self,
        service: &str,
        host: &str,
        nonce: &str,
        replaces: Option<String>,
        got: Result<String, ()>,
    ) {
        if got.is_err() {
            self.refused_starts
                .insert(host.to_string(), (self.now + 20_000, self.functions[service].size.memory_mb));
        }
        let Some(mover) = self.mover.as_mut() else { return };
        if let Ok(id) = &got {
            if !self.tombstones.contains(id) {
                self.entries.entry(id.clone()).or_insert(Entry {
                    service: service.to_string(),
                    host: host.to_string(),
                    state: InstanceState::Starting,
                    replaces,
                    listed: false,
                    missing: 0,
                    since: self.now,
                });
            }
        }
        if nonce.starts_with("rb.") {
            let outcome = got.map_or(StartOutcome::Refused, |instance| StartOutcome::Started { instance });
            mover.start_answered(ms(self.now), nonce, outcome);
        }
    }

    fn read_list(&mut self) {
        let Some((_, list)) = self.list.iter().rev().find(|l| l.0 + LAG <= self.now).cloned() else { return };
        let seen: BTreeSet<String> = list.iter().map(|l| l.0.clone()).collect();
        for (id, service, host, drains) in list {
            if self.tombstones.contains(&id) {
                continue;
            }
            let e = self.entries.entry(id).or_insert(Entry {
                service,
                host,
                state: InstanceState::Ready,
                replaces: None,
                listed: true,
                missing: 0,
                since: self.now,
            });
            (e.listed, e.missing) = (true, 0);
            if drains && e.state != InstanceState::Ending {
                e.state = InstanceState::Draining;
            } else if e.state == InstanceState::Starting {
                e.state = InstanceState::Ready;
            }
        }
        let mut lost = Vec::new();
        for (id, e) in &mut self.entries {
            if e.listed && !seen.contains(id) {
                e.missing += 1;
                if e.missing >= 2 {
                    lost.push(id.clone());
                }
            }
        }
        for id in lost {
            self.entries.remove(&id);
            self.tombstones.insert(id);
        }
    }

    fn fleet_view(&self) -> (Vec<InstanceView>, Vec<Host>, Vec<ServiceNeed>) {
        let seen = self.entries.iter().map(|(id, e)| {
            let i = self.instances.get(id);
            let serving = match i {
                Some(i) if i.answered => Serving::Answered,
                Some(i) if i.ready_at <= self.now => Serving::Accepts,
                _ => Serving::No,
            };
            InstanceView {
                instance: id.clone(),
                service: e.service.clone(),
                host: e.host.clone(),
                state: e.state,
                serving,
                slots_in_use: Some(i.map_or(0, |i| i.calls.len() as u16)),
                replaces: e.replaces.clone(),
            }
        });
        let hosts =
            self.hosts.iter().filter(|(_, h)| h.ends_at.is_none_or(|g| g > self.now)).map(|(n, h)| {
                let mut free = self.free(n, false);
                for c in self.pending.values() {
                    if let Call::Begin { service, host, .. } = c {
                        if host == n {
                            free = free.minus(&self.functions[service].size);
                        }
                    }
                }
                if let Some((_, mb)) = self.refused_starts.get(n).filter(|s| s.0 > self.now) {
                    free.memory_mb = free.memory_mb.min(mb - 1);
                }
                Host { name: n.clone(), zone: h.zone.clone(), total: h.total, free, up: h.up }
            });
        let needs = self.functions.values().map(|f| ServiceNeed {
            service: f.name.clone(),
            urgent: f.urgent,
            required: f.required,
            desired: Some(f.desired),
            boot: ms(u64::from(f.boot_ms)),
            size: f.size,
            idle: false,
        });
        (seen.collect(), hosts.collect(), needs.collect())
    }

    fn holder(&mut self) {
        if self.mover.is_none() {
            if self.now < self.next_holder {
                return;
            }
            self.lease_number += 1;
            self.mover = Some(Mover::new(self.lease_number, ms(self.now + 1000), self.settings.clone()));
            self.entries = self.announced.clone();
            (self.tombstones, self.pending, self.stops) = Default::default();
            for e in self.entries.values_mut() {
                e.since = self.now;
            }
        }
        self.read_list();
        // Starts that are not listed in time are dropped, as the autoscaler does.
        let now = self.now;
        self.entries.retain(|_, e| e.listed || e.since + 9000 > now);
        let (seen, hosts, needs) = self.fleet_view();
        let fleet_view = FleetView { instances: &seen, hosts: &hosts, needs: &needs, complete: true };
        for z in &mut self.suspended {
            if !z.update(ms(self.now), &fleet_view).is_empty() {
                self.broken.get_or_insert("orders given after the end of the lease".into());
            }
        }
        let Some(mover) = self.mover.as_mut() else { return };
        mover.extend_lease(ms(now + 1000));
        let orders = mover.update(ms(now), &fleet_view);
        let max_concurrent = mover.progress().len();
        // Moves inherited by a new lease holder do not count, as it did not begin them.
        self.most_concurrent =
            self.most_concurrent.max(if self.lease_number == 1 { max_concurrent } else { 0 });
        for (_, o) in mover.take_outcomes() {
            *self.outcomes.entry(format!("{o:?}")).or_default() += 1;
        }
        for o in orders {
            self.orders += 1;
            let killed = self.faults.kill_at.is_some_and(|k| self.orders == k / 2)
                || self.faults.kills > 0 && self.occurs(0.08);
            let odd = self.faults.kill_at.map_or(self.orders % 2, |k| k % 2) == 1;
            if killed && !odd {
                return self.kill_holder();
            }
            self.execute(o);
            if killed {
                return self.kill_holder();
            }
        }
        self.run_autoscaler(&hosts);
        self.unannounced_updates += 1;
        if self.occurs(0.7) || self.unannounced_updates > 2 {
            self.announced = self.entries.clone();
            self.unannounced_updates = 0;
        }
    }

    fn kill_holder(&mut self) {
        self.faults.kills = self.faults.kills.saturating_sub(1);
        self.faults.kill_at = None;
        if let Some(mut m) = self.mover.take() {
            // The process is suspended rather than dead, and resumes after the end of its lease.
            m.settings.repeat_after = Duration::ZERO;
            self.suspended.push(m);
        }
        self.next_holder = self.now + 1500;
    }

    fn execute(&mut self, o: Order) {
        match o {
            Order::Begin { lease_number, service, host, nonce, replaces } => {
                assert_eq!(lease_number, self.lease_number);
                let call = Call::Begin {
                    service,
                    host,
                    nonce: nonce.clone(),
                    replaces: Some(replaces),
                    sent: self.now,
                };
                self.pending.insert(nonce, call.clone());
                self.call(call);
            }
            Order::StopAllocating { instance, .. } => {
                if let Some(e) = self.entries.get_mut(&instance) {
                    e.state = InstanceState::Ending;
                }
                self.released_at.entry(instance).or_insert(self.now);
            }
            Order::ResumeAllocating { instance, .. } => {
                if let Some(e) = self.entries.get_mut(&instance) {
                    e.state = InstanceState::Ready;
                }
                self.released_at.remove(&instance);
            }
            Order::Stop { instance, .. } => {
                let held = self.instances.get(&instance).map_or(0, |i| i.calls.len());
                let drains = self.instances.get(&instance).is_some_and(|i| i.drains);
                if held > 0 && !drains && self.released_at.get(&instance).is_none_or(|t| t + 5000 > self.now)
                {
                    self.fail(format!("{instance} is stopped with {held} calls"));
                }
                self.call(Call::Stop { instance });
            }
        }
    }

    /// A minimal autoscaler: starts missing instances, ends surplus ones.
    fn run_autoscaler(&mut self, hosts: &[Host]) {
        let now = self.now;
        let late: Vec<Call> = self
            .pending
            .values()
            .filter(|c| {
                matches!(c, Call::Begin { sent, nonce, .. }
                    if sent + 900 <= now && !nonce.starts_with("rb."))
            })
            .cloned()
            .collect();
        for mut c in late {
            if let Call::Begin { sent, nonce, .. } = &mut c {
                *sent = now;
                self.pending.insert(nonce.clone(), c.clone());
            }
            self.call(c);
        }
        let stops: Vec<String> = self.stops.iter().filter(|s| *s.1 <= now).map(|s| s.0.clone()).collect();
        for id in stops {
            self.stops.insert(id.clone(), now + 1000);
            self.call(Call::Stop { instance: id });
        }
        let Some(mover) = &self.mover else { return };
        let mut begins = Vec::new();
        let mut ends = Vec::new();
        for f in self.functions.values() {
            let up = |h: &str| self.hosts.get(h).is_some_and(|h| h.up);
            let of = || self.entries.iter().filter(|e| e.1.service == f.name);
            let counts = of()
                .filter(|e| {
                    matches!(e.1.state, InstanceState::Starting | InstanceState::Ready) && up(&e.1.host)
                })
                .count();
            let waits = self.pending.values().filter(|c| {
                matches!(c, Call::Begin { service, nonce, .. }
                    if *service == f.name && !nonce.starts_with("rb."))
            });
            // An instance that was stopped first comes back with its move.
            let out = mover
                .progress()
                .iter()
                .filter(|p| p.service == f.name && !f.urgent && p.new.is_none())
                .count();
            let have = counts + waits.count() + out;
            if have < f.desired as usize {
                let best = hosts
                    .iter()
                    .filter(|h| h.up && f.size.fits_in(&h.free))
                    .max_by_key(|h| (h.free.memory_mb, h.name.clone()));
                begins.extend(best.map(|h| (f.name.clone(), h.name.clone())));
            } else if counts > f.desired as usize && now.is_multiple_of(1000) && now > 5000 {
                let moves = of().any(|e| mover.manages(e.0));
                let ready = of().filter(|e| e.1.state == InstanceState::Ready && up(&e.1.host) && !moves);
                let serving =
                    ready.clone().filter(|e| self.instances.get(e.0).is_some_and(|i| i.answered)).count();
                if serving > f.desired as usize {
                    ends.extend(ready.max_by_key(|e| e.0.clone()).map(|e| e.0.clone()));
                }
            }
        }
        for (service, host) in begins.into_iter().take(3) {
            self.start_count += 1;
            let nonce = format!("s.{}.{}", service, self.start_count);
            let call = Call::Begin { service, host, nonce: nonce.clone(), replaces: None, sent: now };
            self.pending.insert(nonce, call.clone());
            self.call(call);
        }
        for id in ends {
            if let Some(e) = self.entries.get_mut(&id) {
                e.state = InstanceState::Ending;
            }
            self.stops.insert(id, now + 3000);
        }
    }

    fn plan(&mut self, until: u64) {
        if self.now < self.planned + 3000 || self.now > until || self.now < 1000 {
            return;
        }
        let (seen, hosts, _) = self.fleet_view();
        let Some(mover) = self.mover.as_mut() else { return };
        if !mover.idle() {
            return;
        }
        self.planned = self.now;
        let instances = seen.iter().filter(|s| s.state == InstanceState::Ready).map(|s| Instance {
            id: s.instance.clone(),
            function: s.service.clone(),
            host: s.host.clone(),
            load: 0.5,
            age: ms(60_000),
            home_zone: hosts.iter().find(|h| h.name == s.host).map(|h| h.zone.clone()).unwrap_or_default(),
            movable: true,
        });
        let fleet = Fleet {
            instances: instances.collect(),
            functions: self.functions.values().cloned().collect(),
            expected_starts: vec![Resources::mb(2048)],
            hosts,
        };
        let settings =
            PlanSettings { host_cost_gb_s: 1.1, max_moves: 10, max_probes: 2000, ..PlanSettings::default() };
        let plan = plan_with(&fleet, &settings, Strategy::Cheapest, self.now);
        mover.accept_plan(&plan);
    }

    fn serve(&mut self) {
        let now = self.now;
        for f in self.functions.values() {
            let mut open: Vec<String> = Vec::new();
            for (id, i) in &self.instances {
                let allocatable = self.entries.get(id).is_some_and(|e| e.state == InstanceState::Ready);
                if i.service == f.name && allocatable && i.ready_at <= now && !i.stopped && !i.drains {
                    open.push(id.clone());
                }
            }
            if f.urgent {
                let reached = self.reached.entry(f.name.clone()).or_default();
                *reached = (*reached).max(f.required.min(open.len() as u32));
                if open.len() < *reached as usize {
                    let text =
                        format!("{now} ms: {} has {} of {reached} serving instances", f.name, open.len());
                    self.broken.get_or_insert(text);
                }
            }
            let rate = if f.urgent { 0.5 } else { 0.25 };
            for _ in 0..2 {
                let n = open.len() as u32;
                if n > 0 && self.rng.rand_float() < rate {
                    let id = open[self.rng.rand_range(0..n) as usize].clone();
                    let run = if self.rng.rand_range(0..20) == 0 { 1500 } else { 120 };
                    if let Some(i) = self.instances.get_mut(&id) {
                        i.calls.push(now + run);
                        self.calls.0 += 1;
                    }
                }
            }
        }
    }

    fn run(&mut self, until: u64) {
        while self.now < until && self.broken.is_none() {
            self.now += TICK;
            self.platform();
            if self.now.is_multiple_of(200) {
                self.holder();
                self.plan(until / 2);
            }
            self.serve();
        }
    }

    /// Checks the final state: no unfinished move, no unknown or surplus instance.
    fn end(&mut self) -> Option<String> {
        if let Some(b) = self.broken.clone() {
            return Some(b);
        }
        if self.most_concurrent > self.settings.max_concurrent {
            return Some(format!("{} concurrent moves", self.most_concurrent));
        }
        if !self.mover.as_ref().is_some_and(|m| m.idle()) {
            return Some(format!("not idle: {:?}", self.mover.as_ref().map(|m| m.progress())));
        }
        for id in self.instances.keys() {
            // A start that never completes, requested by a lease holder that was killed before announcing it,
            // is invisible, as the platform lists no instance before it is up (a known gap, see the design
            // note).
            let unseen = self.instances[id].ready_at == u64::MAX && self.lease_number > 1;
            if !self.entries.contains_key(id) && !unseen {
                return Some(format!("{id} is unknown to the lease holder: {:?}", self.instances[id]));
            }
        }
        for f in self.functions.values() {
            let of = self
                .instances
                .values()
                .filter(|i| i.service == f.name && (i.ready_at < u64::MAX || self.lease_number == 1));
            let n = of.count() as u32;
            let has_capacity =
                self.hosts.keys().any(|h| self.hosts[h].up && f.size.fits_in(&self.free(h, true)));
            if n > f.desired || n < f.desired && has_capacity {
                let of = self.entries.iter().filter(|e| e.1.service == f.name);
                return Some(format!(
                    "{}: {n} running, {} desired: {:?}",
                    f.name,
                    f.desired,
                    of.collect::<Vec<_>>()
                ));
            }
        }
        None
    }
}

fn run_simulation(seed: u64, faults: Faults, defect: Option<InjectedDefect>) -> (Option<String>, Sim) {
    let mut sim = Sim::new(seed, faults, MoverSettings { defect, ..MoverSettings::default() });
    sim.run(56_000);
    (sim.end(), sim)
}

fn faults(seed: u64) -> Faults {
    let calm = Faults::default();
    match seed % 8 {
        0 => calm,
        1 => Faults { crashes: 2, ..calm },
        2 => Faults { drains: 2, ..calm },
        3 => Faults { start_failure: 0.4, ..calm },
        4 => Faults { loss: 0.15, slow: 2500, ..calm },
        5 => Faults { kills: 4, loss: 0.05, ..calm },
        6 => Faults { overreport: true, load_rises: true, ..calm },
        _ => Faults {
            crashes: 1,
            drains: 1,
            start_failure: 0.2,
            loss: 0.05,
            slow: 1000,
            load_rises: true,
            kills: 2,
            ..calm
        },
    }
}

#[rstest]
#[case(0)]
#[case(50)]
#[case(100)]
#[case(150)]
fn moves_never_underserve_duplicate_or_leak_instances(#[case] base: u64) {
    let (mut outcomes, mut calls) = (BTreeMap::<String, u32>::new(), (0, 0));
    for seed in base..base + 50 {
        let (broken, sim) = run_simulation(seed, faults(seed), None);
        assert_eq!(broken, None, "seed {seed}, {:?}", faults(seed));
        for (k, n) in sim.outcomes {
            *outcomes.entry(k).or_default() += n;
        }
        calls = (calls.0 + sim.calls.0, calls.1 + sim.calls.1);
    }
    println!("{outcomes:?} {calls:?}");
    for what in ["Moved", "Undone", "Refused"] {
        assert!(outcomes.get(what).is_some_and(|n| *n > 1), "{outcomes:?}");
    }
}

/// The lease holder is killed right before or right after each of its orders.
#[rstest]
#[case(0)]
#[case(8)]
#[case(24)]
fn moves_survive_a_lease_holder_killed_at_any_order(#[case] base: u64) {
    for seed in base..base + 2 {
        for k in 2..50 {
            let faults =
                Faults { kill_at: Some(k), loss: if seed % 2 == 0 { 0.0 } else { 0.1 }, ..Faults::default() };
            let (broken, _) = run_simulation(seed, faults, None);
            assert_eq!(broken, None, "seed {seed}, killed at {k}");
        }
    }
}

#[rstest]
#[case(InjectedDefect::EarlyHandover)]
#[case(InjectedDefect::StopsWithOpenCalls)]
#[case(InjectedDefect::LeaseNumberInNonce)]
#[case(InjectedDefect::SkipsRequiredCheck)]
#[case(InjectedDefect::AbandonsNewInstance)]
#[case(InjectedDefect::SkipsResume)]
#[case(InjectedDefect::OrdersAfterLeaseEnd)]
#[case(InjectedDefect::UnlimitedMoves)]
#[case(InjectedDefect::ReleasesUrgentFirst)]
fn injected_defects_are_detected(#[case] defect: InjectedDefect) {
    let found =
        (0..200).find_map(|seed| run_simulation(seed, faults(seed), Some(defect)).0.map(|b| (seed, b)));
    println!("{defect:?}: {found:?}");
    assert!(found.is_some(), "{defect:?} was not detected");
}

fn need(service: &str, urgent: bool, mb: u32) -> ServiceNeed {
    ServiceNeed {
        service: service.into(),
        urgent,
        required: u32::from(urgent),
        desired: None,
        boot: ms(900),
        size: Resources::mb(mb),
        idle: false,
    }
}

fn seen(id: &str, service: &str, host: &str, state: InstanceState) -> InstanceView {
    InstanceView {
        instance: id.into(),
        service: service.into(),
        host: host.into(),
        state,
        serving: Serving::Answered,
        slots_in_use: Some(0),
        replaces: None,
    }
}

fn host(name: &str, total: u32, free: u32) -> Host {
    Host {
        name: name.into(),
        zone: "a".into(),
        total: Resources::mb(total),
        free: Resources::mb(free),
        up: true,
    }
}

fn make_move(instance: &str, function: &str, from: &str, to: &str, mode: Mode, urgent: bool) -> Move {
    Move {
        instance: instance.into(),
        function: function.into(),
        from: from.into(),
        to: Some(to.into()),
        reserved: Resources::mb(if urgent { 512 } else { 400 }),
        mode,
        reason: MoveReason::Hole,
        urgent,
    }
}

/// Two instances need each other's capacity: the one whose calls can wait is stopped first. Guards against it
/// staying out of service for longer than the limit: it comes back in time, or its start is left to the
/// autoscaler.
#[rstest]
#[case(true)]
#[case(false)]
fn instance_stopped_first_is_not_out_of_service_too_long(#[case] capacity_appears: bool) {
    let needs = [need("book", true, 512), need("batch", false, 400)];
    let plan = Plan {
        moves: vec![
            make_move("j", "batch", "h2", "h1", Mode::BreakBeforeMake { begin_after: 1 }, false),
            make_move("i", "book", "h1", "h2", Mode::MakeBeforeBreak, true),
        ],
        ..Plan::default()
    };
    let mut m = Mover::new(1, ms(1_000_000), MoverSettings::default());
    let (mut i, mut j, mut ids) =
        (Some(("i", "h1", InstanceState::Ready)), Some(("j", "h2", InstanceState::Ready)), Vec::new());
    let (mut new_i, mut new_j) = (None, None);
    let (mut out_since, mut back_at) = (None, None);
    for tick in 0..300u64 {
        let now = ms(tick * 200);
        let mut all: Vec<InstanceView> = Vec::new();
        for (at, service) in [(i, "book"), (j, "batch"), (new_i, "book"), (new_j, "batch")] {
            all.extend(at.map(|(id, h, s)| seen(id, service, h, s)));
        }
        let used = |h: &str| {
            all.iter()
                .filter(|s| s.host == h)
                .map(|s| if s.service == "book" { 512 } else { 400 })
                .sum::<u32>()
        };
        let hosts = [host("h1", 824, 824 - used("h1")), host("h2", 700, 700 - used("h2"))];
        let fleet_view = FleetView { instances: &all, hosts: &hosts, needs: &needs, complete: true };
        // `book` always has an instance whose slots are allocated.
        assert!(all.iter().any(|s| s.service == "book" && s.state == InstanceState::Ready));
        for o in m.update(now, &fleet_view) {
            match o {
                Order::Begin { service, host, nonce, .. } => {
                    let id = if service == "book" { "i2" } else { "j2" };
                    ids.push(id);
                    if service == "book" && !capacity_appears {
                        m.start_answered(now, &nonce, StartOutcome::Refused);
                        continue;
                    }
                    m.start_answered(now, &nonce, StartOutcome::Started { instance: id.into() });
                    let at = Some((id, if host == "h1" { "h1" } else { "h2" }, InstanceState::Ready));
                    if service == "book" {
                        new_i = at;
                    } else {
                        (new_j, back_at) = (at, Some(now));
                    }
                }
                Order::StopAllocating { instance, .. } => {
                    let which = if instance == "i" { &mut i } else { &mut j };
                    if let Some(w) = which {
                        w.2 = InstanceState::Ending;
                    }
                    if instance == "j" {
                        out_since = Some(now);
                    }
                }
                Order::Stop { instance, .. } if instance == "i" => i = None,
                Order::Stop { .. } => j = None,
                Order::ResumeAllocating { .. } => panic!("allocation resumed although nothing was lost"),
            }
        }
        if tick == 0 {
            assert!(m.accept_plan(&plan));
        } else if m.idle() {
            let outcomes: BTreeMap<String, Outcome> = m.take_outcomes().into_iter().collect();
            let out = back_at.unwrap_or(now) - out_since.unwrap_or_default();
            assert!(out < Duration::from_secs(13), "out for {out:?}");
            if capacity_appears {
                assert_eq!((outcomes["j"], outcomes["i"]), (Outcome::Moved, Outcome::Moved));
                assert_eq!(ids, ["i2", "j2"]);
            } else {
                assert_eq!((outcomes["j"], outcomes["i"]), (Outcome::LeftToScaler, Outcome::Refused));
            }
            return;
        }
    }
    panic!("not idle: {:?}", m.progress());
}

/// Guards against a repeated move being answered with the new instance of an earlier attempt. A function that
/// briefly needs both instances keeps both; the same move made again must be a new start.
#[test]
fn move_repeated_after_kept_outcome_uses_another_nonce() {
    let moves = vec![make_move("i", "book", "h1", "h2", Mode::MakeBeforeBreak, true)];
    let plan = Plan { moves, ..Plan::default() };
    let hosts = [host("h1", 2048, 1024), host("h2", 2048, 1024)];
    let mut m = Mover::new(1, ms(1_000_000), MoverSettings::default());
    let mut nonces = Vec::new();
    for tick in 0..400 {
        let mut all = vec![seen("i", "book", "h1", InstanceState::Ready)];
        all.extend((!nonces.is_empty()).then(|| seen("i2", "book", "h2", InstanceState::Ready)));
        // Both are required while the first move is in progress.
        let needs = [ServiceNeed { required: 1 + u32::from(nonces.len() == 1), ..need("book", true, 512) }];
        let fleet_view = FleetView { instances: &all, hosts: &hosts, needs: &needs, complete: true };
        for o in m.update(ms(tick * 200), &fleet_view) {
            if let Order::Begin { nonce, .. } = o {
                m.start_answered(ms(tick * 200), &nonce, StartOutcome::Started { instance: "i2".into() });
                nonces.push(nonce);
            }
        }
        if m.idle() {
            m.accept_plan(&plan);
        }
        if let [first, second, ..] = nonces.as_slice() {
            assert_eq!(m.take_outcomes(), [("i".to_string(), Outcome::Kept)]);
            assert_ne!(first, second);
            return;
        }
    }
    panic!("the move was not repeated: {nonces:?}");
}
