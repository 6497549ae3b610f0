//! A source, five relays and thirty agents on simulated time, with lost, duplicated and late updates, relays
//! that fail and restart without state, and a source that is replaced.

use oorandom::Rand32;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_instance_distribution::{
    Applied, InstanceUpdate, Listed, Mark, Relay, Replica, Source, MAX_LAG, MIN_INTERVAL,
};

const RELAYS: usize = 5;
const AGENTS: usize = 30;
const STEP: Duration = Duration::from_millis(10);

fn ip(n: usize) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1).into()
}

fn listed(n: u64, ready: bool) -> Listed {
    Listed {
        instance: format!("i-{n}"),
        service: format!("s-{}", n % 7),
        at: SocketAddr::new(ip(0), 80),
        zone: "a".into(),
        host: "w-1".into(),
        age: 0,
        ready,
        accepts_calls: true,
        replaces: None,
    }
}

/// The state of the holder: each instance with the version of its last change, and each end with its version.
#[derive(Clone, Default)]
struct HolderState {
    version: u64,
    instances: BTreeMap<String, (Listed, u64)>,
    ended: VecDeque<(String, u64)>,
    base: u64,
}

impl HolderState {
    fn change(&mut self, rng: &mut Rand32) {
        self.version += 1;
        let n = u64::from(rng.rand_range(0..60));
        let id = format!("i-{n}");
        if self.instances.contains_key(&id) && rng.rand_range(0..2) == 0 {
            self.instances.remove(&id);
            self.ended.push_back((id, self.version));
            if self.ended.len() > 25 {
                self.base = self.ended.pop_front().map_or(0, |(_, version)| version);
            }
        } else {
            let ready = rng.rand_range(0..2) == 0;
            self.instances.insert(id, (listed(n, ready), self.version));
        }
    }

    fn since(&self, number: u64, from: u64) -> InstanceUpdate {
        let whole = from < self.base;
        let newer = |version: u64| whole || version > from;
        let entries = self.instances.values().filter(|(_, v)| newer(*v)).map(|(e, _)| e.clone()).collect();
        let ended = self.ended.iter().filter(|(_, v)| newer(*v)).map(|(id, _)| id.clone()).collect();
        let version = self.version;
        InstanceUpdate { number, from, whole, version, entries, ended, tag: 1, ..InstanceUpdate::default() }
    }

    fn ids(&self) -> BTreeSet<(String, bool)> {
        self.instances.iter().map(|(id, (e, _))| (id.clone(), e.ready)).collect()
    }
}

fn ids(replica: &Replica, now: Duration) -> BTreeSet<(String, bool)> {
    replica.entries(now).into_iter().map(|e| (e.instance, e.ready)).collect()
}

enum Delivery {
    Relay(usize, InstanceUpdate),
    Agent(usize, Rc<InstanceUpdate>),
    Follow { from: IpAddr, mark: Mark, is_relay: bool },
    Pull { relay: usize, agent: usize, mark: Mark },
}

#[derive(Clone, Copy)]
struct Faults {
    loss_percent: u32,
    max_delay_ms: u32,
    /// A relay that sends nothing from 2 s on.
    failed_relay: Option<usize>,
    /// At 3 s the relays restart, and another process takes the lease.
    restarts: bool,
}

struct Simulation {
    now: Duration,
    rng: Rand32,
    faults: Faults,
    holder: HolderState,
    number: u64,
    source: Source,
    relays: Vec<Relay>,
    agents: Vec<Replica>,
    marks: Vec<Mark>,
    in_flight: Vec<(Duration, Delivery)>,
    /// Updates that the source sent to relays and to agents.
    sent: (usize, usize),
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Simulation {
        Simulation {
            now: Duration::ZERO,
            rng: Rand32::new(seed),
            faults,
            holder: HolderState { version: 1 << 32, ..HolderState::default() },
            number: 1,
            source: Source::new(1, Duration::ZERO),
            relays: (0..RELAYS).map(|_| Relay::default()).collect(),
            agents: (0..AGENTS).map(|_| Replica::default()).collect(),
            marks: vec![Mark::default(); AGENTS],
            in_flight: Vec::new(),
            sent: (0, 0),
        }
    }

    fn send(&mut self, to: Delivery) {
        if self.rng.rand_range(0..100) < self.faults.loss_percent {
            return;
        }
        let delay_ms = self.rng.rand_range(1..self.faults.max_delay_ms.max(2));
        self.in_flight.push((self.now + Duration::from_millis(delay_ms.into()), to));
    }

    fn has_failed(&self, relay: usize) -> bool {
        self.faults.failed_relay == Some(relay) && self.now >= Duration::from_secs(2)
    }

    fn deliver(&mut self, to: Delivery) {
        let now = self.now;
        match to {
            Delivery::Relay(relay, _) | Delivery::Pull { relay, .. } if self.has_failed(relay) => {}
            Delivery::Relay(relay, update) => {
                if self.relays[relay].apply(now, update) == Applied::Gap {
                    let mark = self.relays[relay].replica().mark();
                    self.send(Delivery::Follow { from: ip(100 + relay), mark, is_relay: true });
                }
            }
            Delivery::Agent(agent, update) => {
                let before = self.agents[agent].mark();
                self.agents[agent].apply(now, &update);
                assert!(self.agents[agent].mark() >= before, "agent {agent} went back to an older mark");
                self.marks[agent] = self.agents[agent].mark();
            }
            Delivery::Follow { from, mark, is_relay } => {
                self.source.follow(now, self.holder.version, from, mark, is_relay)
            }
            Delivery::Pull { relay, agent, mark } => self.relays[relay].handle_pull(now, ip(agent), mark),
        }
    }

    fn step(&mut self, changes: bool) {
        self.now += STEP;
        let ms = self.now.as_millis() as usize;
        if changes && self.rng.rand_range(0..4) == 0 {
            self.holder.change(&mut self.rng);
        }
        if self.faults.restarts && ms == 3000 {
            self.relays = (0..RELAYS).map(|_| Relay::default()).collect();
            self.number = 2;
            self.holder.version = (2 << 32) + 1;
            self.holder.base = self.holder.version;
            self.source = Source::new(2, self.now);
        }
        for relay in 0..RELAYS {
            if (ms + relay * 70).is_multiple_of(1000) && !self.has_failed(relay) {
                let mark = self.relays[relay].replica().mark();
                self.send(Delivery::Follow { from: ip(100 + relay), mark, is_relay: true });
            }
        }
        for agent in 0..AGENTS {
            let mark = self.marks[agent];
            if (ms + agent * 30).is_multiple_of(700) {
                self.send(Delivery::Pull { relay: agent % RELAYS, agent, mark });
            }
            if (ms + agent * 50).is_multiple_of(1000) {
                self.send(Delivery::Follow { from: ip(agent), mark, is_relay: false });
            }
        }
        self.source.tick(self.now, self.holder.version);
        while let Some((to, from)) = self.source.pull() {
            let update = self.holder.since(self.number, from);
            match (0..RELAYS).find(|relay| ip(100 + relay) == to) {
                Some(relay) => {
                    self.sent.0 += 1;
                    self.send(Delivery::Relay(relay, update));
                }
                None => {
                    self.sent.1 += 1;
                    let agent = (0..AGENTS).find(|agent| ip(*agent) == to).unwrap_or_default();
                    self.send(Delivery::Agent(agent, Rc::new(update)));
                }
            }
        }
        for relay in 0..RELAYS {
            while let Some(copies) = self.relays[relay].pull() {
                for to in copies.to {
                    let agent = (0..AGENTS).find(|agent| ip(*agent) == to).unwrap_or_default();
                    self.send(Delivery::Agent(agent, copies.update.clone()));
                }
            }
        }
        let now = self.now;
        let (due, in_flight) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = in_flight;
        for (_, to) in due {
            self.deliver(to);
        }
    }

    fn outdated_agents(&self) -> Vec<usize> {
        let all = self.holder.ids();
        (0..AGENTS).filter(|agent| ids(&self.agents[*agent], self.now) != all).collect()
    }
}

const NO_FAULTS: Faults = Faults { loss_percent: 0, max_delay_ms: 5, failed_relay: None, restarts: false };

#[rstest]
#[case::no_faults(NO_FAULTS)]
#[case::lossy(Faults { loss_percent: 20, max_delay_ms: 400, ..NO_FAULTS })]
#[case::relay_fails(Faults { failed_relay: Some(2), ..NO_FAULTS })]
#[case::all_restart(Faults { loss_percent: 5, restarts: true, ..NO_FAULTS })]
fn every_agent_ends_with_the_state_of_the_holder(#[case] faults: Faults) {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, faults);
        for _ in 0..600 {
            simulation.step(true);
        }
        for _ in 0..500 {
            simulation.step(false);
        }
        assert_eq!(simulation.outdated_agents(), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Guards against excess traffic between zones: without faults a change goes to each relay once, and from the
/// source to no agent.
#[test]
fn without_faults_agents_receive_updates_from_relays_alone() {
    let mut simulation = Simulation::new(1, NO_FAULTS);
    // At the start the source sends to all agents without state, for a while.
    for _ in 0..500 {
        simulation.step(true);
    }
    let before = simulation.sent;
    let steps = 1000;
    for _ in 0..steps {
        simulation.step(true);
    }
    let updates = (STEP * steps).as_millis() / MIN_INTERVAL.as_millis();
    assert_eq!(simulation.sent.1, before.1);
    assert!(
        simulation.sent.0 - before.0 <= RELAYS * (updates as usize + 12),
        "{}",
        simulation.sent.0 - before.0
    );
}

/// An agent whose relay has failed is behind by no more than the lag, the interval between two follows, and
/// the latencies.
#[test]
fn failed_relay_delays_its_agents_by_the_lag_at_most() {
    let mut simulation = Simulation::new(3, Faults { failed_relay: Some(0), ..NO_FAULTS });
    let (mut since, mut longest) = (BTreeMap::new(), Duration::ZERO);
    for _ in 0..1500 {
        simulation.step(true);
        let newest = simulation.holder.version;
        for agent in 0..AGENTS {
            if simulation.marks[agent].version + 60 > newest {
                since.remove(&agent);
            }
            let began = *since.entry(agent).or_insert(simulation.now);
            longest = longest.max(simulation.now - began);
        }
    }
    // Sixty versions are some 2.4 s of changes here.
    assert!(longest <= MAX_LAG * 2 + MIN_INTERVAL, "{longest:?}");
}

fn update(number: u64, from: u64, version: u64, whole: bool, n: u64) -> InstanceUpdate {
    InstanceUpdate {
        number,
        from,
        whole,
        version,
        entries: vec![listed(n, true)],
        ..InstanceUpdate::default()
    }
}

#[rstest]
#[case::it_continues(update(1, 10, 12, false, 2), Some(2))]
#[case::it_overlaps(update(1, 4, 12, false, 2), Some(2))]
#[case::duplicate(update(1, 5, 10, false, 2), None)]
#[case::late(update(1, 2, 8, false, 2), None)]
#[case::a_gap(update(1, 11, 12, false, 2), None)]
#[case::complete(update(1, 0, 12, true, 2), Some(1))]
#[case::of_an_earlier_lease(update(0, 0, 0, false, 2), None)]
#[case::of_a_later_lease(update(2, 10, 11, false, 2), Some(2))]
fn update_is_applied_once_and_in_order(#[case] next: InstanceUpdate, #[case] expected: Option<usize>) {
    let mut replica = Replica::default();
    replica.apply(Duration::ZERO, &update(1, 0, 10, true, 1));
    let applied = replica.apply(Duration::ZERO, &next);
    assert_eq!(matches!(applied, Applied::New { .. }), expected.is_some(), "{applied:?}");
    assert_eq!(replica.entries(Duration::ZERO).len(), expected.unwrap_or(1));
}

#[test]
fn agent_without_state_receives_everything_once() {
    let mut relay = Relay::default();
    relay.apply(Duration::ZERO, update(1, 0, 10, true, 1));
    relay.apply(Duration::ZERO, update(1, 10, 11, false, 2));
    fn sent_versions(relay: &mut Relay) -> Vec<u64> {
        std::iter::from_fn(|| relay.pull()).map(|copies| copies.update.version).collect()
    }
    relay.handle_pull(Duration::ZERO, ip(1), Mark::default());
    // The updates continue from no state, since the first one is complete.
    assert_eq!(sent_versions(&mut relay), vec![10, 11]);
    relay.handle_pull(Duration::ZERO, ip(1), Mark { number: 1, version: 11 });
    assert_eq!(sent_versions(&mut relay), Vec::<u64>::new());
    relay.handle_pull(Duration::ZERO, ip(1), Mark { number: 1, version: 10 });
    assert_eq!(sent_versions(&mut relay), vec![11]);
}
