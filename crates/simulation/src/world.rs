//! State of a run: machines, platform, clients and operators, driven by one event queue.

mod actions;
mod clients;
mod evaluation;
mod operators;
mod workers;

use crate::agent::{self, AgentProcess, ProxyUpdate};
use crate::baselines::{DemandTotals, Ranking, Sharing};
use crate::checker::Checker;
use crate::controller::{self, Controller};
use crate::injected_defects::InjectedDefect;
use crate::messages::{hash, PeerMessage, ALLOCATION_PORT, PEER_PORT};
use crate::net::{Net, Node};
use crate::operator::Plan;
use crate::platform::{Host, Platform, ServiceModel};
use crate::proxy::{self, Budget, ProxyProcess};
use crate::report::{AllocationFigures, LeasePeriod, Report, Row, Span};
use crate::rng::Rng;
use crate::scenario::{AnswerFault, Scenario};
use clients::{Client, ClientAttempt, Stream};
use operators::OperatorCall;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_control_store::{DiskState, MemberSettings, Stored};
use tindock_lifecycle::GracePeriod;
use tindock_peer_sampling::Message;
use tindock_slot_allocation::datagram::incarnation_number;

/// Wall clock of the machines at the start, ms; any value well above process run times.
const START_DATE_MS: u64 = 1_700_000_000_000;
/// A stream that is blocked for this long breaks, and the messages waiting on it are lost.
const STREAM_TIMEOUT: Duration = Duration::from_millis(1500);
const STREAM_RETRY: Duration = Duration::from_millis(100);
/// Time to wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1200);

pub(crate) enum Event {
    Wake(Node, u64),
    PeerMessage {
        to: Node,
        incarnation: u64,
        from: SocketAddr,
        message: PeerMessage,
    },
    Flush {
        from: Node,
        to: Node,
    },
    PeerSampling {
        to: usize,
        incarnation: u64,
        from: IpAddr,
        message: Message,
    },
    AllocationMessage {
        to: usize,
        incarnation: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Syn {
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
        instance: String,
        at: SocketAddr,
    },
    OwnerRefused {
        edge: usize,
        incarnation: u64,
        owner: SocketAddr,
    },
    Connected {
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
        instance: String,
        accepted: bool,
    },
    RequestAtWorker {
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
        connection: u64,
        at: SocketAddr,
        bytes: Vec<u8>,
    },
    RunEnd {
        instance: usize,
        run: u64,
    },
    WorkerBytes {
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
        bytes: Vec<u8>,
        closed: bool,
    },
    RequestTimer {
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
    },
    Hangup {
        at: SocketAddr,
        attempt: usize,
    },
    IdleConnectionsClosed {
        edge: usize,
        incarnation: u64,
        instance: String,
    },
    Stored {
        core: usize,
        incarnation: u64,
        disk: u64,
        token: u64,
        what: Box<Stored>,
    },
    PlatformCall {
        core: usize,
        incarnation: u64,
        id: u64,
        sent: Duration,
    },
    PlatformAnswer {
        core: usize,
        incarnation: u64,
        id: u64,
        answer: Box<controller::Answer>,
    },
    Arrival(usize),
    Attempt(usize),
    RequestAtEdge {
        edge: usize,
        incarnation: u64,
        attempt: usize,
    },
    AnswerToClient {
        attempt: usize,
        bytes: Vec<u8>,
        close: bool,
    },
    /// The client connection of an attempt ended, or was refused.
    ConnectionBroken {
        attempt: usize,
    },
    UnreadTimeout {
        attempt: usize,
    },
    Deadline(usize),
    ClientDisconnected {
        edge: usize,
        incarnation: u64,
        attempt: usize,
    },
    Probe,
    OperatorCall {
        call: usize,
        sending: u64,
    },
    CallAtController {
        core: usize,
        incarnation: u64,
        call: usize,
        sending: u64,
    },
    OperatorReply {
        call: usize,
        sending: u64,
        reply: controller::Reply,
        core: usize,
    },
    OperatorTimeout {
        call: usize,
        sending: u64,
    },
    ShowConfiguration,
    Action(usize),
    Start(Node),
    Thaw(Node),
    EdgeShutdown {
        edge: usize,
        incarnation: u64,
    },
    CoreShutdown {
        core: usize,
        incarnation: u64,
    },
    RepairLink(u64),
    FaultEnds(FaultEnd),
    CloseInstance(usize),
    EndOfSecond,
}

/// A message waiting on a blocked stream: since when, and its sender.
type Waiting = (Duration, SocketAddr, PeerMessage);

/// Temporary fault or burst that ends.
pub(crate) enum FaultEnd {
    Burst { route: String, zone: Option<usize>, factor: f64 },
    Platform,
    Answers(AnswerFault, f64),
    Disk(usize),
}

/// Whether a machine runs, and how it behaves if not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MachineState {
    On,
    /// Its processes are gone: connections are refused.
    Refuses,
    Silent,
}

pub(crate) struct Running {
    pub(crate) started_at: Duration,
    pub(crate) agent: AgentProcess,
    pub(crate) proxy: ProxyProcess,
    /// Whether SIGTERM was received.
    pub(crate) leaving: bool,
}

pub(crate) struct Edge {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    pub(crate) zone: usize,
    pub(crate) up: MachineState,
    pub(crate) incarnation: u64,
    pub(crate) running: Option<Running>,
    pub(crate) wake: Option<Duration>,
    pub(crate) frozen: Option<(Duration, Vec<Event>)>,
    /// Consecutive failed readiness probes.
    pub(crate) misses: u32,
    pub(crate) restarts_after: Option<Duration>,
}

pub(crate) struct Core {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    pub(crate) zone: usize,
    pub(crate) up: MachineState,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Duration,
    pub(crate) controller: Option<Controller>,
    pub(crate) wake: Option<Duration>,
    pub(crate) frozen: Option<(Duration, Vec<Event>)>,
    pub(crate) disk: DiskState,
    /// Counts disk losses, so that writes to a lost disk are discarded.
    pub(crate) disks: u64,
    pub(crate) disk_busy: Duration,
    pub(crate) disk_slow: f64,
    pub(crate) disk_full: bool,
    pub(crate) gone: Option<Duration>,
    /// When it becomes part of the operator's list.
    pub(crate) listed: Duration,
    pub(crate) began: bool,
    pub(crate) calls: BTreeMap<u64, (u64, controller::Call)>,
    pub(crate) restarts_after: Option<Duration>,
    /// When it received SIGTERM, by its process clock.
    pub(crate) leaving: Option<Duration>,
}

pub(crate) struct World {
    pub(crate) scenario: Scenario,
    pub(crate) defect: Option<InjectedDefect>,
    sharing: Sharing,
    ranking: Ranking,
    demand_totals: DemandTotals,
    pub(crate) allocation: AllocationFigures,
    pub(crate) slot_waits: Vec<f64>,
    pub(crate) now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    events: u64,
    pub(crate) rng: Rng,
    seed: u64,
    pub(crate) net: Net,
    pub(crate) zones: Vec<(String, String)>,
    pub(crate) edges: Vec<Edge>,
    pub(crate) cores: Vec<Core>,
    pub(crate) by_ip: BTreeMap<IpAddr, Node>,
    /// Messages that wait on blocked streams.
    delayed: BTreeMap<(Node, Node), VecDeque<Waiting>>,
    /// Arrival time of the last message on each stream.
    arrived: BTreeMap<(Node, Node), Duration>,
    /// Streams whose return path is cut, and since when.
    unacknowledged: BTreeMap<(Node, Node), Duration>,
    pub(crate) platform: Platform,
    /// Active answer faults with the share of answers they affect.
    pub(crate) answer_faults: Vec<(AnswerFault, f64)>,
    /// Answers to be sent again before the next one on a connection.
    pub(crate) surplus: BTreeMap<(usize, u64, u64), Vec<u8>>,
    next: u64,
    pub(crate) clients: Vec<Client>,
    pub(crate) streams: Vec<Stream>,
    /// Per request: its client, its work in ms, its last attempt.
    pub(crate) request_clients: Vec<(usize, f64, Option<usize>)>,
    pub(crate) client_attempts: Vec<ClientAttempt>,
    pub(crate) bursts: Vec<(String, Option<usize>, f64)>,
    pub(crate) calls: Vec<OperatorCall>,
    pub(crate) plan: Plan,
    pub(crate) last_acker: Option<usize>,
    pub(crate) last_reader: Option<usize>,
    pub(crate) checker: Checker,
    pub(crate) rows: Vec<Row>,
    pub(crate) spans: Vec<Span>,
    pub(crate) lease_periods: Vec<LeasePeriod>,
    pub(crate) warm_up: Duration,
    pub(crate) length: Duration,
    pub(crate) end: Duration,
}

/// Runs a scenario with slot allocation, the default ranking and no injected defect.
pub(crate) fn play(scenario: Scenario, seed: u64, watch: impl FnMut(f64)) -> Report {
    World::new(scenario, seed, None, (Sharing::Loans, crate::Ranking::Limit)).run(watch)
}

pub(crate) fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e7))
}

impl World {
    pub(crate) fn new(
        scenario: Scenario,
        seed: u64,
        defect: Option<InjectedDefect>,
        (sharing, ranking): (Sharing, Ranking),
    ) -> World {
        let zones = scenario.zones.clone();
        let mut regions: Vec<&str> = zones.iter().map(|(_, region)| region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        let region = |zone: usize| regions.iter().position(|r| *r == zones[zone].1).unwrap_or(0);
        let net = Net::new(scenario.net, (0..zones.len()).map(region).collect());
        let (warm_up, length) = (secs(scenario.warm_up), secs(scenario.length));
        let timers = scenario.timers;
        let names: Vec<String> = zones.iter().map(|(zone, _)| zone.clone()).collect();
        let platform = Platform::new(scenario.platform, secs(timers.drain), secs(timers.reuse), names);
        let mut world = World {
            defect,
            sharing,
            ranking,
            demand_totals: DemandTotals::default(),
            allocation: AllocationFigures::default(),
            slot_waits: Vec::new(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            events: 0,
            rng: Rng::new(seed),
            seed,
            net,
            zones,
            edges: Vec::new(),
            cores: Vec::new(),
            by_ip: BTreeMap::new(),
            delayed: BTreeMap::new(),
            arrived: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            platform,
            answer_faults: Vec::new(),
            surplus: BTreeMap::new(),
            next: 1,
            clients: Vec::new(),
            streams: Vec::new(),
            request_clients: Vec::new(),
            client_attempts: Vec::new(),
            bursts: Vec::new(),
            calls: Vec::new(),
            plan: Plan::new(&scenario),
            last_acker: None,
            last_reader: None,
            checker: Checker::new(timers, warm_up),
            rows: Vec::new(),
            spans: Vec::new(),
            lease_periods: Vec::new(),
            warm_up,
            length,
            end: warm_up + length + secs(timers.contact) + secs(5.0),
            scenario,
        };
        world.set_up();
        world
    }

    fn zone_of(&self, name: &str) -> usize {
        self.zones.iter().position(|(zone, _)| zone == name).unwrap_or(0)
    }

    /// Creates all machines and schedules the scenario.
    fn set_up(&mut self) {
        self.net.place(Node::Platform, 0);
        self.net.place(Node::Operator, 0);
        for zone in 0..self.zones.len() {
            self.net.place(Node::Clients(zone), zone);
        }
        for (zone, count) in self.scenario.cores.clone() {
            for n in 0..count.min(64) {
                let name = format!("core-{zone}-{}", n + 1);
                let zone = self.zone_of(&zone);
                self.add_core(name, zone, Duration::ZERO);
            }
        }
        for (zone, count) in self.scenario.edges.clone() {
            for n in 0..count.min(200) {
                let name = format!("edge-{zone}-{}", n + 1);
                let zone = self.zone_of(&zone);
                self.add_edge(name, zone);
            }
        }
        for (zone, count, memory) in self.scenario.hosts.clone() {
            for n in 0..count.min(1000) {
                let name = format!("host-{zone}-{}", n + 1);
                let zone = self.zone_of(&zone);
                self.net.place(Node::Host(self.platform.hosts.len()), zone);
                self.platform.hosts.push(Host { name, zone, memory, drains: None, down: None });
            }
        }
        for service in &self.scenario.services {
            for name in crate::operator::copies(service) {
                let kind = ServiceModel {
                    slots: service.slots,
                    memory: service.memory,
                    boot: service.boot,
                    spread: service.spread,
                    uneven: service.uneven,
                };
                self.platform.services.insert(name, kind);
            }
        }
        for n in 0..self.cores.len() {
            self.schedule_in(Duration::from_millis(3 * n as u64), Event::Start(Node::Core(n)));
        }
        for n in 0..self.edges.len() {
            self.schedule_in(Duration::from_millis(5 + 3 * n as u64), Event::Start(Node::Edge(n)));
        }
        self.schedule_in(Duration::from_millis(500), Event::Probe);
        self.begin_operators();
        self.begin_clients();
        for n in 0..self.scenario.actions.len() {
            let at = self.warm_up + secs(self.scenario.actions[n].0);
            self.schedule_at(at, Event::Action(n));
        }
        self.schedule_at(self.warm_up + self.length + Duration::from_millis(500), Event::ShowConfiguration);
        for second in 0..=self.end.as_secs() {
            self.schedule_at(Duration::from_secs(second + 1), Event::EndOfSecond);
        }
        self.record_core_health();
    }

    fn add_edge(&mut self, name: String, zone: usize) {
        let n = self.edges.len();
        let ip = IpAddr::from(Ipv4Addr::new(10, zone as u8 + 1, 0, 10 + n as u8));
        self.by_ip.insert(ip, Node::Edge(n));
        self.net.place(Node::Edge(n), zone);
        self.edges.push(Edge {
            name,
            ip,
            zone,
            up: MachineState::Refuses,
            incarnation: 0,
            running: None,
            wake: None,
            frozen: None,
            misses: 2,
            restarts_after: None,
        });
    }

    pub(crate) fn add_core(&mut self, name: String, zone: usize, listed: Duration) -> usize {
        let n = self.cores.len();
        let ip = IpAddr::from(Ipv4Addr::new(10, zone as u8 + 1, 1, 10 + n as u8));
        self.by_ip.insert(ip, Node::Core(n));
        self.net.place(Node::Core(n), zone);
        self.cores.push(Core {
            name,
            ip,
            zone,
            up: MachineState::Refuses,
            incarnation: 0,
            started_at: Duration::ZERO,
            controller: None,
            wake: None,
            frozen: None,
            disk: DiskState::default(),
            disks: 0,
            disk_busy: Duration::ZERO,
            disk_slow: 1.0,
            disk_full: false,
            gone: None,
            listed,
            began: false,
            calls: BTreeMap::new(),
            restarts_after: None,
            leaving: None,
        });
        n
    }

    pub(crate) fn schedule_at(&mut self, at: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((at.max(self.now), self.events), event);
    }

    pub(crate) fn schedule_in(&mut self, pause: Duration, event: Event) {
        self.schedule_at(self.now + pause, event);
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Records an event in the table, and a span of `duration` seconds for the time line.
    pub(crate) fn record_span(&mut self, duration: f64, what: String) {
        let from = self.checker.seconds(self.now);
        let to = from + duration.min(self.checker.seconds(self.end) - from);
        self.spans.push(Span { from, to, what: what.clone() });
        self.record_event(what);
    }

    /// Records an event in the table.
    pub(crate) fn record_event(&mut self, what: String) {
        let second = self.checker.seconds(self.now).floor() as i64;
        let row = self.row(second);
        row.happened.push(what);
    }

    pub(crate) fn row(&mut self, second: i64) -> &mut Row {
        let at = self.rows.partition_point(|row| row.second < second);
        if self.rows.get(at).is_none_or(|row| row.second != second) {
            self.rows.insert(at, Row { second, ..Row::default() });
        }
        &mut self.rows[at]
    }

    /// Runs to the end; `watch` is called each second with the share that is done.
    pub(crate) fn run(mut self, mut watch: impl FnMut(f64)) -> Report {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.end {
                break;
            }
            if at.as_secs() > self.now.as_secs() {
                watch(at.as_secs_f64() / self.end.as_secs_f64());
            }
            self.now = at;
            self.dispatch(event);
        }
        self.now = self.end;
        let seed = self.seed;
        self.report(seed)
    }

    pub(crate) fn incarnation(&self, node: Node) -> u64 {
        match node {
            Node::Edge(n) => self.edges.get(n).map_or(0, |edge| edge.incarnation),
            Node::Core(n) => self.cores.get(n).map_or(0, |core| core.incarnation),
            _ => 0,
        }
    }

    /// Machine whose process handles an event.
    fn addressee(event: &Event) -> Option<Node> {
        match event {
            Event::Wake(node, _) => Some(*node),
            Event::PeerMessage { to, .. } => Some(*to),
            Event::PeerSampling { to, .. } | Event::AllocationMessage { to, .. } => Some(Node::Edge(*to)),
            Event::Connected { edge, .. }
            | Event::WorkerBytes { edge, .. }
            | Event::RequestTimer { edge, .. }
            | Event::OwnerRefused { edge, .. }
            | Event::IdleConnectionsClosed { edge, .. }
            | Event::RequestAtEdge { edge, .. }
            | Event::ClientDisconnected { edge, .. }
            | Event::EdgeShutdown { edge, .. } => Some(Node::Edge(*edge)),
            Event::Stored { core, .. }
            | Event::PlatformAnswer { core, .. }
            | Event::CallAtController { core, .. }
            | Event::CoreShutdown { core, .. } => Some(Node::Core(*core)),
            _ => None,
        }
    }

    fn dispatch(&mut self, event: Event) {
        let node = World::addressee(&event);
        let frozen = match node {
            Some(Node::Edge(n)) => self.edges.get_mut(n).and_then(|edge| edge.frozen.as_mut()),
            Some(Node::Core(n)) => self.cores.get_mut(n).and_then(|core| core.frozen.as_mut()),
            _ => None,
        };
        if let Some((_, backlog)) = frozen {
            backlog.push(event);
            return;
        }
        self.handle(event);
        match node {
            Some(Node::Edge(n)) => self.process_edge(n),
            Some(Node::Core(n)) => self.process_core(n),
            _ => {}
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(node, incarnation) => self.wake(node, incarnation),
            Event::PeerMessage { to, incarnation, from, message } => {
                self.deliver_peer_message(to, incarnation, from, message)
            }
            Event::Flush { from, to } => self.flush(from, to),
            Event::PeerSampling { to, incarnation, from, message } => {
                let now = self.now;
                if let Some(running) = self.running(to, incarnation) {
                    let local = now - running.started_at;
                    running.agent.receive_sampling(local, from, &message);
                    running.agent.tick(local);
                }
            }
            Event::AllocationMessage { to, incarnation, from, bytes } => {
                let now = self.now;
                if let Some(running) = self.running(to, incarnation) {
                    running.proxy.receive(now - running.started_at, from, &bytes);
                }
            }
            Event::Syn { edge, incarnation, request_id, token, instance, at } => {
                self.syn(edge, incarnation, request_id, token, instance, at)
            }
            Event::Connected { edge, incarnation, request_id, token, instance, accepted } => {
                let now = self.now;
                if let Some(running) = self.running(edge, incarnation) {
                    running.proxy.connected(now - running.started_at, request_id, token, &instance, accepted);
                }
            }
            Event::RequestAtWorker { edge, incarnation, request_id, token, connection, at, bytes } => {
                self.request_at_worker(edge, incarnation, (request_id, token, connection), at, &bytes)
            }
            Event::RunEnd { instance, run } => self.run_end(instance, run),
            Event::WorkerBytes { edge, incarnation, request_id, token, bytes, closed } => {
                let now = self.now;
                if let Some(running) = self.running(edge, incarnation) {
                    running.proxy.receive_worker_bytes(
                        now - running.started_at,
                        request_id,
                        token,
                        &bytes,
                        closed,
                    );
                }
            }
            Event::RequestTimer { edge, incarnation, request_id, token } => {
                let now = self.now;
                if let Some(running) = self.running(edge, incarnation) {
                    running.proxy.deadline_reached(now - running.started_at, request_id, token);
                }
            }
            Event::OwnerRefused { edge, incarnation, owner } => {
                let now = self.now;
                if let Some(running) = self.running(edge, incarnation) {
                    running.proxy.owner_refused(now - running.started_at, owner);
                }
            }
            Event::Hangup { at, attempt } => self.hangup(at, attempt),
            Event::IdleConnectionsClosed { edge, incarnation, instance } => {
                if let Some(running) = self.running(edge, incarnation) {
                    running.proxy.connections_closed(&instance);
                }
            }
            Event::Stored { core, incarnation, disk, token, what } => {
                self.stored(core, incarnation, disk, token, &what)
            }
            Event::PlatformCall { core, incarnation, id, sent } => {
                self.at_platform(core, incarnation, id, sent)
            }
            Event::PlatformAnswer { core, incarnation, id, answer } => {
                self.platform_answered(core, incarnation, id, *answer)
            }
            Event::Arrival(stream) => self.arrival(stream),
            Event::Attempt(request) => self.try_request(request),
            Event::RequestAtEdge { edge, incarnation, attempt } => self.at_edge(edge, incarnation, attempt),
            Event::AnswerToClient { attempt, bytes, close } => self.receive_answer(attempt, &bytes, close),
            Event::ConnectionBroken { attempt } => self.connection_broken(attempt),
            Event::UnreadTimeout { attempt } => self.abandon_unread(attempt),
            Event::Deadline(request) => self.deadline(request),
            Event::ClientDisconnected { edge, incarnation, attempt } => {
                let now = self.now;
                if let Some(running) = self.running(edge, incarnation) {
                    running.proxy.client_disconnected(now - running.started_at, attempt);
                }
            }
            Event::Probe => self.probe_readiness(),
            Event::OperatorCall { call, sending } => self.operator_call(call, sending),
            Event::CallAtController { core, incarnation, call, sending } => {
                self.at_core(core, incarnation, call, sending)
            }
            Event::OperatorReply { call, sending, reply, core } => {
                self.operator_reply(call, sending, reply, core)
            }
            Event::OperatorTimeout { call, sending } => self.operator_timeout(call, sending),
            Event::ShowConfiguration => self.request_shown_configuration(),
            Event::Action(n) => self.act_on(n),
            Event::Start(node) => self.start(node),
            Event::Thaw(node) => self.thaw(node),
            Event::EdgeShutdown { edge, incarnation } => self.shut_down_edge(edge, incarnation),
            Event::CoreShutdown { core, incarnation } => {
                self.shut_down_core(core, incarnation);
            }
            Event::RepairLink(link_fault) => {
                self.net.remove_fault(link_fault);
                self.record_core_health();
            }
            Event::FaultEnds(fault_end) => self.end_fault(fault_end),
            Event::CloseInstance(instance) => self.close_instance(instance),
            Event::EndOfSecond => self.record_second(),
        }
    }

    /// The processes of an edge machine, if this incarnation still runs.
    pub(crate) fn running(&mut self, edge: usize, incarnation: u64) -> Option<&mut Running> {
        let edge = self.edges.get_mut(edge)?;
        (edge.incarnation == incarnation).then_some(edge.running.as_mut()).flatten()
    }

    fn wake(&mut self, node: Node, incarnation: u64) {
        let now = self.now;
        match node {
            Node::Edge(n) => {
                let Some(edge) = self.edges.get_mut(n).filter(|edge| edge.incarnation == incarnation) else {
                    return;
                };
                if edge.wake.is_some_and(|at| at > now) {
                    return;
                }
                edge.wake = None;
                if let Some(running) = &mut edge.running {
                    let local = now - running.started_at;
                    running.agent.tick(local);
                    running.proxy.tick(local);
                }
            }
            Node::Core(n) => {
                let Some(core) = self.cores.get_mut(n).filter(|core| core.incarnation == incarnation) else {
                    return;
                };
                if core.wake.is_some_and(|at| at > now) {
                    return;
                }
                core.wake = None;
            }
            _ => {}
        }
    }

    /// Executes the effects queued by an edge machine's processes, and schedules their next wake-up.
    pub(crate) fn process_edge(&mut self, n: usize) {
        let now = self.now;
        loop {
            let Some(edge) = self.edges.get_mut(n) else { return };
            let (ip, incarnation) = (edge.ip, edge.incarnation);
            let Some(running) = edge.running.as_mut() else { return };
            let local = now - running.started_at;
            if let Some(output) = (!running.agent.out.is_empty()).then(|| running.agent.out.remove(0)) {
                match output {
                    agent::Out::ProxyUpdate(update) => match update {
                        ProxyUpdate::Configuration(catalogue) => {
                            running.proxy.set_configuration(local, catalogue)
                        }
                        ProxyUpdate::Proxies(proxies) if self.sharing != Sharing::AllSeeing => {
                            running.proxy.set_known_proxies(local, &proxies)
                        }
                        ProxyUpdate::Owners(owners) if self.sharing != Sharing::AllSeeing => {
                            running.proxy.set_owners(local, &owners)
                        }
                        ProxyUpdate::Proxies(_) | ProxyUpdate::Owners(_) => {}
                        ProxyUpdate::Instances { entries, ended } => {
                            running.proxy.update_instances(local, &entries, &ended)
                        }
                        ProxyUpdate::ConfigurationFresh(fresh) => {
                            running.proxy.set_configuration_fresh(fresh)
                        }
                        ProxyUpdate::ControllersReachable(in_touch) => {
                            running.proxy.set_controllers_reachable(local, in_touch)
                        }
                    },
                    agent::Out::PeerMessage { to, message } => {
                        let me = SocketAddr::new(ip, PEER_PORT);
                        self.send_peer_message(Node::Edge(n), me, to, message);
                    }
                    agent::Out::PeerSampling { to, message } => self.send_peer_sampling(n, ip, to, message),
                }
                continue;
            }
            let Some(output) = running.proxy.out.pop_front() else { break };
            match output {
                proxy::Out::Demand(mut demand) => {
                    if self.sharing.is_single() {
                        demand = demand.into_iter().map(|d| self.demand_totals.combine(now, n, d)).collect();
                    }
                    running.agent.forward_to_holder(PeerMessage::Demand(demand));
                }
                proxy::Out::SlotGranted(wait) => {
                    if now >= self.warm_up {
                        self.allocation.calls += 1;
                        self.slot_waits.push(wait.as_secs_f64() * 1e3);
                    }
                }
                proxy::Out::OwnerSuspected(owner) => {
                    let name = edge.name.clone();
                    self.record_event(format!("{name} skips owner {}", owner.ip()));
                }
                proxy::Out::Probe(owner) => self.probe_owner(n, incarnation, owner),
                proxy::Out::InstanceGone(instance) => {
                    running.agent.forward_to_holder(PeerMessage::InstanceGone(instance))
                }
                proxy::Out::InstanceReady(instance) => {
                    running.agent.forward_to_holder(PeerMessage::InstanceReady(instance))
                }
                proxy::Out::AllocationMessage { to, bytes } => self.send_allocation_message(n, ip, to, bytes),
                proxy::Out::Connect { request_id, token, instance, at } => {
                    self.connect(n, incarnation, request_id, token, instance, at)
                }
                proxy::Out::Dial { instance, at } => self.connect(n, incarnation, 0, 0, instance, at),
                proxy::Out::Send { request_id, token, connection, at, bytes } => {
                    self.send_request(n, incarnation, (request_id, token, connection), at, bytes)
                }
                proxy::Out::Answer { attempt, bytes, close } => self.send_answer(n, attempt, bytes, close),
                proxy::Out::CloseClient { attempt } => self.send_connection_broken(n, attempt),
                proxy::Out::Hangup { attempt, at } => self.send_hangup(n, at, attempt),
                proxy::Out::Timer { request_id, token, at } => {
                    let at = running.started_at + at;
                    self.schedule_at(at, Event::RequestTimer { edge: n, incarnation, request_id, token });
                }
            }
        }
        let Some(edge) = self.edges.get_mut(n) else { return };
        let Some(running) = edge.running.as_mut() else { return };
        let due = running.started_at + running.agent.next_due().min(running.proxy.next_due());
        let due = due.max(now + Duration::from_millis(2));
        if edge.wake.is_none_or(|at| due < at) {
            edge.wake = Some(due);
            let incarnation = edge.incarnation;
            self.schedule_at(due, Event::Wake(Node::Edge(n), incarnation));
        }
    }

    pub(crate) fn process_core(&mut self, n: usize) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(n) else { return };
        let (started_at, ip, incarnation) = (core.started_at, core.ip, core.incarnation);
        let Some(controller) = core.controller.as_mut() else { return };
        let local = now - started_at;
        controller.control_store.tick(local);
        controller.process_actions(local);
        let outputs = std::mem::take(&mut controller.out);
        let due = started_at + controller.next_due();
        for output in outputs {
            match output {
                controller::Out::PeerMessage { to, message } => {
                    let me = SocketAddr::new(ip, PEER_PORT);
                    self.send_peer_message(Node::Core(n), me, to, message);
                }
                controller::Out::Store { token, what } => self.store(n, incarnation, token, what),
                controller::Out::Platform { number, call } => {
                    self.send_platform(n, incarnation, number, call)
                }
                controller::Out::Reply { call, reply } => self.send_operator_reply(n, call, reply),
            }
        }
        let due = due.max(now + Duration::from_millis(2)).min(now + Duration::from_millis(500));
        let Some(core) = self.cores.get_mut(n) else { return };
        if core.wake.is_none_or(|at| due < at) {
            core.wake = Some(due);
            self.schedule_at(due, Event::Wake(Node::Core(n), incarnation));
        }
    }

    fn store(&mut self, n: usize, incarnation: u64, token: u64, what: Stored) {
        let sync = self.scenario.timers.sync_ms;
        let Some(core) = self.cores.get_mut(n) else { return };
        let takes = secs(sync * core.disk_slow / 1e3);
        core.disk_busy = core.disk_busy.max(self.now) + takes;
        let (at, disk) = (core.disk_busy, core.disks);
        self.schedule_at(at, Event::Stored { core: n, incarnation, disk, token, what: Box::new(what) });
    }

    fn stored(&mut self, n: usize, incarnation: u64, disk: u64, token: u64, what: &Stored) {
        let now = self.now;
        let completed = self.rng.unit() < 0.5;
        let Some(core) = self.cores.get_mut(n) else { return };
        if core.disks != disk {
            return;
        }
        // A write in progress when its process ended is either complete or missing.
        let alive = core.incarnation == incarnation && core.controller.is_some();
        if !alive && (core.controller.is_some() || !completed) {
            return;
        }
        let ok = !core.disk_full;
        if ok {
            write_to_disk(&mut core.disk, what);
        }
        if let Some(controller) = core.controller.as_mut().filter(|_| alive) {
            controller.control_store.stored(now - core.started_at, token, ok);
        }
    }

    fn send_peer_message(&mut self, from: Node, me: SocketAddr, to: SocketAddr, message: PeerMessage) {
        let Some(&node) = self.by_ip.get(&to.ip()) else { return };
        let key = (from, node);
        if self.delayed.get(&key).is_some_and(|waiting| !waiting.is_empty()) || self.net.cut(from, node) {
            let waiting = self.delayed.entry(key).or_default();
            if waiting.is_empty() {
                self.events += 1;
                self.queue.insert((self.now + STREAM_RETRY, self.events), Event::Flush { from, to: node });
            }
            if waiting.len() < 256 {
                waiting.push_back((self.now, me, message));
            }
            return;
        }
        // With the return path cut, messages arrive but are not acknowledged: the stream breaks after a
        // while, and no new one can start.
        if self.net.cut(node, from) {
            let since = *self.unacknowledged.entry(key).or_insert(self.now);
            if self.now > since + STREAM_TIMEOUT {
                return;
            }
        } else {
            self.unacknowledged.remove(&key);
        }
        let Some(takes) = self.net.stream(&mut self.rng, from, node) else { return };
        // Messages of one stream stay in order.
        let arrives = self.arrived.entry(key).or_default();
        *arrives = (*arrives).max(self.now + takes);
        let at = *arrives;
        let incarnation = self.incarnation(node);
        self.schedule_at(at, Event::PeerMessage { to: node, incarnation, from: me, message });
    }

    fn flush(&mut self, from: Node, to: Node) {
        let Some(waiting) = self.delayed.get_mut(&(from, to)) else { return };
        if waiting.front().is_some_and(|(since, ..)| *since + STREAM_TIMEOUT < self.now) {
            waiting.clear();
            return;
        }
        if self.net.cut(from, to) {
            return self.schedule_in(STREAM_RETRY, Event::Flush { from, to });
        }
        for (_, me, message) in std::mem::take(waiting) {
            let port = SocketAddr::new(self.ip(to), PEER_PORT);
            self.send_peer_message(from, me, port, message);
        }
    }

    fn ip(&self, node: Node) -> IpAddr {
        match node {
            Node::Edge(n) => self.edges.get(n).map(|edge| edge.ip),
            Node::Core(n) => self.cores.get(n).map(|core| core.ip),
            _ => None,
        }
        .unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED))
    }

    fn deliver_peer_message(&mut self, to: Node, incarnation: u64, from: SocketAddr, message: PeerMessage) {
        if self.incarnation(to) != incarnation {
            return;
        }
        let now = self.now;
        match to {
            Node::Edge(n) => {
                if let Some(running) = self.running(n, incarnation) {
                    let local = now - running.started_at;
                    running.agent.receive(local, message);
                    running.agent.tick(local);
                }
            }
            Node::Core(n) => {
                let Some(core) = self.cores.get_mut(n) else { return };
                if let Some(controller) = core.controller.as_mut() {
                    controller.receive(now - core.started_at, from, message);
                }
            }
            _ => {}
        }
    }

    fn send_peer_sampling(&mut self, n: usize, ip: IpAddr, to: IpAddr, message: Message) {
        let Some(&Node::Edge(other)) = self.by_ip.get(&to) else { return };
        if let Some(takes) = self.net.datagram(&mut self.rng, Node::Edge(n), Node::Edge(other)) {
            let incarnation = self.incarnation(Node::Edge(other));
            self.schedule_in(takes, Event::PeerSampling { to: other, incarnation, from: ip, message });
        }
    }

    fn send_allocation_message(&mut self, n: usize, ip: IpAddr, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&Node::Edge(other)) = self.by_ip.get(&to.ip()) else { return };
        if self.now >= self.warm_up {
            self.allocation.messages += 1;
            self.allocation.bytes += bytes.len() + 28;
            if self.edges[n].zone != self.edges[other].zone {
                self.allocation.cross_zone_bytes += bytes.len() + 28;
            }
        }
        if self.sharing == Sharing::AllSeeing {
            let incarnation = self.incarnation(Node::Edge(other));
            let from = SocketAddr::new(ip, ALLOCATION_PORT);
            return self.schedule_in(
                Duration::from_micros(1),
                Event::AllocationMessage { to: other, incarnation, from, bytes },
            );
        }
        if let Some(takes) = self.net.datagram(&mut self.rng, Node::Edge(n), Node::Edge(other)) {
            let incarnation = self.incarnation(Node::Edge(other));
            let from = SocketAddr::new(ip, ALLOCATION_PORT);
            self.schedule_in(takes, Event::AllocationMessage { to: other, incarnation, from, bytes });
        }
    }

    /// A machine refuses connections while its processes are down; one without power, or behind a cut, does
    /// not respond.
    fn probe_owner(&mut self, n: usize, incarnation: u64, owner: SocketAddr) {
        let Some(&Node::Edge(other)) = self.by_ip.get(&owner.ip()) else { return };
        let (from, to) = (Node::Edge(n), Node::Edge(other));
        let cut = self.net.cut(from, to) || self.net.cut(to, from);
        if cut || self.edges[other].up != MachineState::Refuses {
            return;
        }
        let takes = self.net.delay(from, to) * 2;
        self.schedule_in(takes, Event::OwnerRefused { edge: n, incarnation, owner });
    }

    fn send_platform(&mut self, n: usize, incarnation: u64, number: u64, call: controller::Call) {
        let id = self.next_id();
        if let Some(core) = self.cores.get_mut(n) {
            core.calls.insert(id, (number, call));
        }
        let sent = self.now;
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Core(n), Node::Platform) {
            self.schedule_in(takes, Event::PlatformCall { core: n, incarnation, id, sent });
        }
        let answer = Box::new(controller::Answer::Unknown);
        self.schedule_in(PLATFORM_TIMEOUT, Event::PlatformAnswer { core: n, incarnation, id, answer });
    }

    fn at_platform(&mut self, n: usize, incarnation: u64, id: u64, sent: Duration) {
        let Some((number, call)) = self.cores.get(n).and_then(|core| core.calls.get(&id)).cloned() else {
            return;
        };
        match call {
            controller::Call::List => {
                self.checker.list_reads.push((self.now, number));
                self.last_reader = Some(n);
                self.record_list_read(n, number);
            }
            controller::Call::Begin { .. } | controller::Call::Stop { .. } => {
                self.checker.record_platform_call(self.now, sent, number)
            }
            controller::Call::Hosts | controller::Call::InitialList => {}
        }
        let stopped = match &call {
            controller::Call::Stop { instance, .. } => Some(instance.clone()),
            _ => None,
        };
        let Some((takes, answer)) = self.platform.call(self.now, &mut self.rng, &call) else { return };
        if let Some(instance) = stopped {
            self.close_idle_connections(&instance);
        }
        if let Some(latency) = self.net.stream(&mut self.rng, Node::Platform, Node::Core(n)) {
            self.schedule_in(
                takes + latency,
                Event::PlatformAnswer { core: n, incarnation, id, answer: Box::new(answer) },
            );
        }
    }

    fn platform_answered(&mut self, n: usize, incarnation: u64, id: u64, answer: controller::Answer) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(n).filter(|core| core.incarnation == incarnation) else { return };
        let Some((number, call)) = core.calls.remove(&id) else { return };
        if let Some(controller) = core.controller.as_mut() {
            controller.platform_answered(now - core.started_at, number, &call, answer);
        }
    }

    /// Seed addresses that a settings file written now would contain.
    fn seeds(&self) -> Vec<SocketAddr> {
        let lag = secs(self.scenario.timers.seed_lag);
        let listed = self
            .cores
            .iter()
            .filter(|core| core.listed <= self.now && core.gone.is_none_or(|gone| gone + lag > self.now));
        listed.take(3).map(|core| SocketAddr::new(core.ip, PEER_PORT)).collect()
    }

    fn start(&mut self, node: Node) {
        let (now, seeds) = (self.now, self.seeds());
        let random = self.rng.next_u64();
        match node {
            Node::Edge(n) => {
                let timers = self.scenario.timers;
                let zones = self.zones.clone();
                let Some(edge) = self.edges.get_mut(n) else { return };
                edge.incarnation += 1;
                edge.up = MachineState::On;
                edge.wake = None;
                let zone = zones[edge.zone].0.clone();
                let seed = random ^ hash(&edge.name);
                let incarnation = incarnation_number(seed);
                let budget = Budget::new(timers.budget_ratio, timers.budget_slack, timers.budget_window);
                let mut agent = AgentProcess::new(agent::AgentSettings {
                    ip: edge.ip,
                    zone: zone.clone(),
                    zones: zones.clone(),
                    seeds,
                    convergence: secs(timers.convergence),
                    since: START_DATE_MS + now.as_millis() as u64,
                    seed,
                    defect: self.defect,
                });
                agent.set_serving(Duration::ZERO, incarnation);
                let variant = (self.defect, self.sharing, self.ranking);
                let grace = GracePeriod::new(secs(timers.grace));
                let proxy =
                    ProxyProcess::new(edge.ip, &zone, &zones, incarnation, seed, (budget, grace), variant);
                edge.running = Some(Running { started_at: now, agent, proxy, leaving: false });
                self.share_membership();
                self.process_edge(n);
            }
            Node::Core(n) => {
                let platform = self.scenario.platform;
                let timers = self.scenario.timers;
                let zones = self.zones.clone();
                let Some(core) = self.cores.get_mut(n) else { return };
                if core.gone.is_some() {
                    return;
                }
                core.incarnation += 1;
                core.up = MachineState::On;
                core.wake = None;
                core.started_at = now;
                core.calls.clear();
                core.leaving = None;
                let setup = MemberSettings {
                    me: SocketAddr::new(core.ip, PEER_PORT),
                    seeds,
                    initial: !core.began && core.listed == Duration::ZERO,
                    seed: random ^ hash(&core.name),
                    incarnation: (START_DATE_MS + now.as_millis() as u64) * 1_000_000 + n as u64,
                };
                core.began = true;
                let settings = controller::ControllerSettings {
                    name: core.name.clone(),
                    setup,
                    platform: tindock_autoscaler::PlatformSettings {
                        zones,
                        drain: secs(timers.drain),
                        address_reuse: secs(timers.reuse),
                        call_rate: platform.call_rate,
                        list_lag: secs(platform.lag),
                    },
                    list_rate: platform.rate,
                    rebinding: self.scenario.rebinding,
                    defect: self.defect,
                };
                let disk = match self.defect {
                    Some(InjectedDefect::DisksForgotten) => DiskState::default(),
                    _ => core.disk.clone(),
                };
                core.controller = Some(Controller::new(settings, disk));
                self.process_core(n);
                self.record_core_health();
            }
            _ => {}
        }
    }

    /// For `Sharing::AllSeeing`: gives every proxy the current membership at once.
    pub(crate) fn share_membership(&mut self) {
        if self.sharing != Sharing::AllSeeing {
            return;
        }
        let zones = &self.zones;
        let serving = self.edges.iter().filter_map(|edge| {
            let running = edge.running.as_ref().filter(|running| !running.leaving)?;
            let zone = zones.get(edge.zone).map(|zone| zone.0.clone())?;
            Some((edge.ip, zone, running.proxy.incarnation))
        });
        let all: Vec<(IpAddr, String, u32)> = serving.collect();
        let now = self.now;
        for n in 0..self.edges.len() {
            if let Some(running) = self.edges[n].running.as_mut() {
                running.proxy.set_owners(now - running.started_at, &all);
            }
        }
    }

    /// Records for the checker whether a majority of the core runs and is connected.
    pub(crate) fn record_core_health(&mut self) {
        let members: Vec<usize> = (0..self.cores.len()).filter(|n| self.cores[*n].gone.is_none()).collect();
        let runs = |n: &usize| self.cores[*n].controller.is_some() && self.cores[*n].frozen.is_none();
        let reaches = |n: usize| {
            let joined = |m: usize| {
                let (one, other) = (Node::Core(n), Node::Core(m));
                !self.net.cut(one, other) && !self.net.cut(other, one)
            };
            let connected = members.iter().filter(|m| runs(m) && joined(**m));
            connected.count() * 2 > members.len() && !self.net.cut(Node::Core(n), Node::Platform)
        };
        let faults = &self.platform.faults;
        let answers = !faults.silent && !faults.lists_refused && faults.slow < 1.0;
        let healthy = answers && members.iter().any(|n| runs(n) && reaches(*n));
        if self.checker.core_health.last().is_none_or(|last| last.1 != healthy) {
            self.checker.core_health.push((self.now, healthy));
        }
    }

    fn thaw(&mut self, node: Node) {
        let backlog = match node {
            Node::Edge(n) => self.edges.get_mut(n).and_then(|edge| edge.frozen.take()),
            Node::Core(n) => self.cores.get_mut(n).and_then(|core| core.frozen.take()),
            _ => None,
        };
        let Some((_, backlog)) = backlog else { return };
        // After a freeze, overdue timers run before the queued events.
        let incarnation = self.incarnation(node);
        match node {
            Node::Edge(n) => {
                self.edges[n].wake = None;
                self.wake(node, incarnation);
                self.process_edge(n);
            }
            Node::Core(n) => {
                self.cores[n].wake = None;
                self.process_core(n);
            }
            _ => {}
        }
        for event in backlog {
            if !matches!(event, Event::Wake(..)) {
                self.dispatch(event);
            }
        }
        self.record_core_health();
    }

    fn record_second(&mut self) {
        let second = self.checker.seconds(self.now).floor() as i64 - 1;
        let (ready, present) = (self.platform.ready(self.now), self.platform.present());
        let holder = self.checker.list_reads.last().map_or(0, |read| read.1);
        let acked = self.checker.versions.iter().filter(|v| v.acked.is_some()).map(|v| v.revision).max();
        let (busy, slots) = self.platform.slots(self.now);
        let row = self.row(second);
        (row.ready, row.present, row.holder, row.revision) = (ready, present, holder, acked.unwrap_or(0));
        (row.busy, row.slots) = (busy, slots);
    }

    /// Records a read of the platform's list: a machine holds the lease from its first read under a number
    /// to its last.
    fn record_list_read(&mut self, core: usize, number: u64) {
        let (at, name) = (self.checker.seconds(self.now), self.cores[core].name.clone());
        match self.lease_periods.last_mut() {
            Some(waiting) if waiting.holder == name && waiting.number == number => waiting.to = at,
            _ => self.lease_periods.push(LeasePeriod { from: at, to: at, holder: name, number }),
        }
    }
}

/// Applies a write: the highest version of each kind is what a restart reads.
fn write_to_disk(disk: &mut DiskState, what: &Stored) {
    match what {
        Stored::Configuration(configuration) => {
            if disk.configuration.as_ref().is_none_or(|kept| kept.version() <= configuration.version()) {
                disk.configuration = Some(configuration.clone());
            }
        }
        Stored::Voters(tables) => {
            if disk.voters.as_ref().is_none_or(|kept| kept.table_version() <= tables.table_version()) {
                disk.voters = Some(tables.clone());
            }
        }
        Stored::LeaseNumber(number) => disk.lease_number = disk.lease_number.max(*number),
        Stored::Promise(ballot) => disk.promised = disk.promised.max(*ballot),
    }
}
