//! The world of a run: machines, platform, clients and operators over one queue of events.

mod acts;
mod clients;
mod operators;
mod verdict;
mod workers;

use crate::baselines::{Ranking, Sharing, Voices};
use crate::chance::Chance;
use crate::controller::{self, Controller};
use crate::desk::{self, Budget, Desk};
use crate::judge::Judge;
use crate::net::{Net, Node};
use crate::notes::{hash, Note, LEND_PORT, PEER_PORT};
use crate::operator::Plan;
use crate::page::{self, Page, Told};
use crate::planted::Planted;
use crate::platform::{Host, Kind, Platform};
use crate::report::{Held, Loans, Report, Row, Span};
use crate::scenario::{Scenario, Spoil};
use clients::{Client, Open, Stream};
use operators::Call;
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_control_store::{DiskState, MemberSettings, Stored};
use tindock_gazette::Message;
use tindock_lifecycle::GracePeriod;

/// Machines' dates at the start, ms: well beyond any life of a process.
const DATE: u64 = 1_700_000_000_000;
/// A stream that is held up for so long is broken, and what waits on it is lost.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
const RETRY: Duration = Duration::from_millis(100);
/// A platform's answer that takes longer is not waited for.
const PATIENCE: Duration = Duration::from_millis(1200);

pub(crate) enum Event {
    Wake(Node, u64),
    Note {
        to: Node,
        life: u64,
        from: SocketAddr,
        note: Note,
    },
    Flush {
        from: Node,
        to: Node,
    },
    Letter {
        to: usize,
        life: u64,
        from: IpAddr,
        letter: Message,
    },
    Lend {
        to: usize,
        life: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Syn {
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        instance: String,
        at: SocketAddr,
    },
    Refused {
        edge: usize,
        life: u64,
        owner: SocketAddr,
    },
    Connected {
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        instance: String,
        taken: bool,
    },
    Arrive {
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        line: u64,
        at: SocketAddr,
        bytes: Vec<u8>,
    },
    RunEnd {
        instance: usize,
        run: u64,
    },
    Came {
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        bytes: Vec<u8>,
        closed: bool,
    },
    Due {
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
    },
    Hangup {
        at: SocketAddr,
        attempt: usize,
    },
    Closed {
        edge: usize,
        life: u64,
        instance: String,
    },
    Stored {
        core: usize,
        life: u64,
        disk: u64,
        token: u64,
        what: Box<Stored>,
    },
    Platform {
        core: usize,
        life: u64,
        id: u64,
        sent: Duration,
    },
    Answered {
        core: usize,
        life: u64,
        id: u64,
        answer: Box<controller::Answer>,
    },
    Arrival(usize),
    Try(usize),
    AtEdge {
        edge: usize,
        life: u64,
        attempt: usize,
    },
    Back {
        attempt: usize,
        bytes: Vec<u8>,
        close: bool,
    },
    /// The connection of a try ended, or did not come up.
    Broke {
        attempt: usize,
    },
    Unread {
        attempt: usize,
    },
    Deadline(usize),
    Left {
        edge: usize,
        life: u64,
        attempt: usize,
    },
    Probe,
    Asks {
        call: usize,
        go: u64,
    },
    AtCore {
        core: usize,
        life: u64,
        call: usize,
        go: u64,
    },
    Says {
        call: usize,
        go: u64,
        reply: controller::Reply,
        core: usize,
    },
    Silence {
        call: usize,
        go: u64,
    },
    Show,
    Act(usize),
    Start(Node),
    Thaw(Node),
    Ends {
        edge: usize,
        life: u64,
    },
    CoreEnds {
        core: usize,
        life: u64,
    },
    Mend(u64),
    Calm(Calm),
    Close(usize),
    Second,
}

/// A note that waits on a stream: since when, and who says it.
type Waiting = (Duration, SocketAddr, Note);

/// What ends with a trouble.
pub(crate) enum Calm {
    Burst { route: String, zone: Option<usize>, by: f64 },
    Platform,
    Answers(Spoil, f64),
    Disk(usize),
}

/// Whether a machine is up, and how it went down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Power {
    On,
    /// Its processes are gone: connections are refused.
    Refuses,
    Silent,
}

pub(crate) struct Running {
    pub(crate) born: Duration,
    pub(crate) page: Page,
    pub(crate) desk: Desk,
    /// SIGTERM has come.
    pub(crate) leaves: bool,
}

pub(crate) struct Edge {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    pub(crate) zone: usize,
    pub(crate) up: Power,
    pub(crate) life: u64,
    pub(crate) running: Option<Running>,
    pub(crate) wake: Option<Duration>,
    pub(crate) frozen: Option<(Duration, Vec<Event>)>,
    pub(crate) misses: u32,
    pub(crate) restarts_after: Option<Duration>,
}

pub(crate) struct Core {
    pub(crate) name: String,
    pub(crate) ip: IpAddr,
    pub(crate) zone: usize,
    pub(crate) up: Power,
    pub(crate) life: u64,
    pub(crate) born: Duration,
    pub(crate) controller: Option<Controller>,
    pub(crate) wake: Option<Duration>,
    pub(crate) frozen: Option<(Duration, Vec<Event>)>,
    pub(crate) disk: DiskState,
    pub(crate) disks: u64,
    pub(crate) disk_busy: Duration,
    pub(crate) disk_slow: f64,
    pub(crate) disk_full: bool,
    pub(crate) gone: Option<Duration>,
    /// In the operator's list from then on.
    pub(crate) listed: Duration,
    pub(crate) began: bool,
    pub(crate) calls: BTreeMap<u64, (u64, controller::Call)>,
    pub(crate) restarts_after: Option<Duration>,
    /// Since when it leaves, by its own clock.
    pub(crate) leaves: Option<Duration>,
}

pub(crate) struct World {
    pub(crate) scenario: Scenario,
    pub(crate) planted: Option<Planted>,
    sharing: Sharing,
    ranking: Ranking,
    voices: Voices,
    pub(crate) loans: Loans,
    pub(crate) slot_waits: Vec<f64>,
    pub(crate) now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    events: u64,
    pub(crate) chance: Chance,
    seed: u64,
    pub(crate) net: Net,
    pub(crate) zones: Vec<(String, String)>,
    pub(crate) edges: Vec<Edge>,
    pub(crate) cores: Vec<Core>,
    pub(crate) by_ip: BTreeMap<IpAddr, Node>,
    held: BTreeMap<(Node, Node), VecDeque<Waiting>>,
    arrived: BTreeMap<(Node, Node), Duration>,
    /// Streams whose way back is cut, and since when.
    unacknowledged: BTreeMap<(Node, Node), Duration>,
    pub(crate) platform: Platform,
    /// How workers spoil answers now, and so large a share of them.
    pub(crate) spoils: Vec<(Spoil, f64)>,
    /// Answers that workers send once more, before the next one on a connection.
    pub(crate) surplus: BTreeMap<(usize, u64, u64), Vec<u8>>,
    next: u64,
    pub(crate) clients: Vec<Client>,
    pub(crate) streams: Vec<Stream>,
    /// Of each request: its client, its work in ms, its last try.
    pub(crate) asked_by: Vec<(usize, f64, Option<usize>)>,
    pub(crate) opens: Vec<Open>,
    pub(crate) bursts: Vec<(String, Option<usize>, f64)>,
    pub(crate) calls: Vec<Call>,
    pub(crate) plan: Plan,
    pub(crate) acker: Option<usize>,
    pub(crate) last_reader: Option<usize>,
    pub(crate) judge: Judge,
    pub(crate) rows: Vec<Row>,
    pub(crate) spans: Vec<Span>,
    pub(crate) duties: Vec<Held>,
    pub(crate) lead: Duration,
    pub(crate) length: Duration,
    pub(crate) end: Duration,
}

/// As the programs do it, with nothing planted.
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
        planted: Option<Planted>,
        (sharing, ranking): (Sharing, Ranking),
    ) -> World {
        let zones = scenario.zones.clone();
        let mut regions: Vec<&str> = zones.iter().map(|(_, region)| region.as_str()).collect();
        regions.sort_unstable();
        regions.dedup();
        let region = |zone: usize| regions.iter().position(|r| *r == zones[zone].1).unwrap_or(0);
        let net = Net::new(scenario.net, (0..zones.len()).map(region).collect());
        let (lead, length) = (secs(scenario.lead), secs(scenario.length));
        let timers = scenario.timers;
        let names: Vec<String> = zones.iter().map(|(zone, _)| zone.clone()).collect();
        let platform = Platform::new(scenario.platform, secs(timers.drain), secs(timers.reuse), names);
        let mut world = World {
            planted,
            sharing,
            ranking,
            voices: Voices::default(),
            loans: Loans::default(),
            slot_waits: Vec::new(),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            events: 0,
            chance: Chance::new(seed),
            seed,
            net,
            zones,
            edges: Vec::new(),
            cores: Vec::new(),
            by_ip: BTreeMap::new(),
            held: BTreeMap::new(),
            arrived: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            platform,
            spoils: Vec::new(),
            surplus: BTreeMap::new(),
            next: 1,
            clients: Vec::new(),
            streams: Vec::new(),
            asked_by: Vec::new(),
            opens: Vec::new(),
            bursts: Vec::new(),
            calls: Vec::new(),
            plan: Plan::new(&scenario),
            acker: None,
            last_reader: None,
            judge: Judge::new(timers, lead),
            rows: Vec::new(),
            spans: Vec::new(),
            duties: Vec::new(),
            lead,
            length,
            end: lead + length + secs(timers.contact) + secs(5.0),
            scenario,
        };
        world.found();
        world
    }

    fn zone_of(&self, name: &str) -> usize {
        self.zones.iter().position(|(zone, _)| zone == name).unwrap_or(0)
    }

    /// Places all machines and plans the day.
    fn found(&mut self) {
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
                let kind = Kind {
                    slots: service.slots,
                    memory: service.memory,
                    boot: service.boot,
                    spread: service.spread,
                    uneven: service.uneven,
                };
                self.platform.kinds.insert(name, kind);
            }
        }
        for n in 0..self.cores.len() {
            self.later(Duration::from_millis(3 * n as u64), Event::Start(Node::Core(n)));
        }
        for n in 0..self.edges.len() {
            self.later(Duration::from_millis(5 + 3 * n as u64), Event::Start(Node::Edge(n)));
        }
        self.later(Duration::from_millis(500), Event::Probe);
        self.begin_operators();
        self.begin_clients();
        for n in 0..self.scenario.acts.len() {
            let at = self.lead + secs(self.scenario.acts[n].0);
            self.at(at, Event::Act(n));
        }
        self.at(self.lead + self.length + Duration::from_millis(500), Event::Show);
        for second in 0..=self.end.as_secs() {
            self.at(Duration::from_secs(second + 1), Event::Second);
        }
        self.note_core();
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
            up: Power::Refuses,
            life: 0,
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
            up: Power::Refuses,
            life: 0,
            born: Duration::ZERO,
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
            leaves: None,
        });
        n
    }

    pub(crate) fn at(&mut self, at: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((at.max(self.now), self.events), event);
    }

    pub(crate) fn later(&mut self, pause: Duration, event: Event) {
        self.at(self.now + pause, event);
    }

    pub(crate) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// A line in the table, and a bar that lasts so many seconds.
    pub(crate) fn tell_span(&mut self, lasts: f64, what: String) {
        let from = self.judge.at(self.now);
        let to = from + lasts.min(self.judge.at(self.end) - from);
        self.spans.push(Span { from, to, what: what.clone() });
        self.tell(what);
    }

    /// A line in the table.
    pub(crate) fn tell(&mut self, what: String) {
        let second = self.judge.at(self.now).floor() as i64;
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

    /// To the end; `watch` hears each second how much of it is done.
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

    pub(crate) fn life(&self, node: Node) -> u64 {
        match node {
            Node::Edge(n) => self.edges.get(n).map_or(0, |edge| edge.life),
            Node::Core(n) => self.cores.get(n).map_or(0, |core| core.life),
            _ => 0,
        }
    }

    /// Whose process an event is for.
    fn addressee(event: &Event) -> Option<Node> {
        match event {
            Event::Wake(node, _) => Some(*node),
            Event::Note { to, .. } => Some(*to),
            Event::Letter { to, .. } | Event::Lend { to, .. } => Some(Node::Edge(*to)),
            Event::Connected { edge, .. }
            | Event::Came { edge, .. }
            | Event::Due { edge, .. }
            | Event::Refused { edge, .. }
            | Event::Closed { edge, .. }
            | Event::AtEdge { edge, .. }
            | Event::Left { edge, .. }
            | Event::Ends { edge, .. } => Some(Node::Edge(*edge)),
            Event::Stored { core, .. }
            | Event::Answered { core, .. }
            | Event::AtCore { core, .. }
            | Event::CoreEnds { core, .. } => Some(Node::Core(*core)),
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
        self.happen(event);
        match node {
            Some(Node::Edge(n)) => self.settle_edge(n),
            Some(Node::Core(n)) => self.settle_core(n),
            _ => {}
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake(node, life) => self.wake(node, life),
            Event::Note { to, life, from, note } => self.note(to, life, from, note),
            Event::Flush { from, to } => self.flush(from, to),
            Event::Letter { to, life, from, letter } => {
                let now = self.now;
                if let Some(running) = self.running(to, life) {
                    let local = now - running.born;
                    running.page.letter(local, from, &letter);
                    running.page.tick(local);
                }
            }
            Event::Lend { to, life, from, bytes } => {
                let now = self.now;
                if let Some(running) = self.running(to, life) {
                    running.desk.hear(now - running.born, from, &bytes);
                }
            }
            Event::Syn { edge, life, hand, token, instance, at } => {
                self.syn(edge, life, hand, token, instance, at)
            }
            Event::Connected { edge, life, hand, token, instance, taken } => {
                let now = self.now;
                if let Some(running) = self.running(edge, life) {
                    running.desk.connected(now - running.born, hand, token, &instance, taken);
                }
            }
            Event::Arrive { edge, life, hand, token, line, at, bytes } => {
                self.arrive(edge, life, (hand, token, line), at, &bytes)
            }
            Event::RunEnd { instance, run } => self.run_end(instance, run),
            Event::Came { edge, life, hand, token, bytes, closed } => {
                let now = self.now;
                if let Some(running) = self.running(edge, life) {
                    running.desk.came(now - running.born, hand, token, &bytes, closed);
                }
            }
            Event::Due { edge, life, hand, token } => {
                let now = self.now;
                if let Some(running) = self.running(edge, life) {
                    running.desk.over(now - running.born, hand, token);
                }
            }
            Event::Refused { edge, life, owner } => {
                let now = self.now;
                if let Some(running) = self.running(edge, life) {
                    running.desk.refused(now - running.born, owner);
                }
            }
            Event::Hangup { at, attempt } => self.hangup(at, attempt),
            Event::Closed { edge, life, instance } => {
                if let Some(running) = self.running(edge, life) {
                    running.desk.closed(&instance);
                }
            }
            Event::Stored { core, life, disk, token, what } => self.stored(core, life, disk, token, &what),
            Event::Platform { core, life, id, sent } => self.at_platform(core, life, id, sent),
            Event::Answered { core, life, id, answer } => self.answered(core, life, id, *answer),
            Event::Arrival(stream) => self.arrival(stream),
            Event::Try(request) => self.try_request(request),
            Event::AtEdge { edge, life, attempt } => self.at_edge(edge, life, attempt),
            Event::Back { attempt, bytes, close } => self.back(attempt, &bytes, close),
            Event::Broke { attempt } => self.broke(attempt),
            Event::Unread { attempt } => self.unread(attempt),
            Event::Deadline(request) => self.deadline(request),
            Event::Left { edge, life, attempt } => {
                let now = self.now;
                if let Some(running) = self.running(edge, life) {
                    running.desk.left(now - running.born, attempt);
                }
            }
            Event::Probe => self.probe(),
            Event::Asks { call, go } => self.asks(call, go),
            Event::AtCore { core, life, call, go } => self.at_core(core, life, call, go),
            Event::Says { call, go, reply, core } => self.says(call, go, reply, core),
            Event::Silence { call, go } => self.silence(call, go),
            Event::Show => self.show(),
            Event::Act(n) => self.act(n),
            Event::Start(node) => self.start(node),
            Event::Thaw(node) => self.thaw(node),
            Event::Ends { edge, life } => self.ends(edge, life),
            Event::CoreEnds { core, life } => {
                self.core_ends(core, life);
            }
            Event::Mend(harm) => {
                self.net.mend(harm);
                self.note_core();
            }
            Event::Calm(calm) => self.calm(calm),
            Event::Close(instance) => self.close_instance(instance),
            Event::Second => self.second(),
        }
    }

    /// The processes of an edge machine, if these are still the ones that were meant.
    pub(crate) fn running(&mut self, edge: usize, life: u64) -> Option<&mut Running> {
        let edge = self.edges.get_mut(edge)?;
        (edge.life == life).then_some(edge.running.as_mut()).flatten()
    }

    fn wake(&mut self, node: Node, life: u64) {
        let now = self.now;
        match node {
            Node::Edge(n) => {
                let Some(edge) = self.edges.get_mut(n).filter(|edge| edge.life == life) else { return };
                if edge.wake.is_some_and(|at| at > now) {
                    return;
                }
                edge.wake = None;
                if let Some(running) = &mut edge.running {
                    let local = now - running.born;
                    running.page.tick(local);
                    running.desk.tick(local);
                }
            }
            Node::Core(n) => {
                let Some(core) = self.cores.get_mut(n).filter(|core| core.life == life) else { return };
                if core.wake.is_some_and(|at| at > now) {
                    return;
                }
                core.wake = None;
            }
            _ => {}
        }
    }

    /// Carries what an edge machine's processes want done, and plans when they wake.
    pub(crate) fn settle_edge(&mut self, n: usize) {
        let now = self.now;
        loop {
            let Some(edge) = self.edges.get_mut(n) else { return };
            let (ip, life) = (edge.ip, edge.life);
            let Some(running) = edge.running.as_mut() else { return };
            let local = now - running.born;
            if let Some(out) = (!running.page.out.is_empty()).then(|| running.page.out.remove(0)) {
                match out {
                    page::Out::Told(told) => match told {
                        Told::Word(catalogue) => running.desk.word(local, catalogue),
                        Told::Desks(desks) if self.sharing != Sharing::AllSeeing => {
                            running.desk.desks(local, &desks)
                        }
                        Told::Owners(owners) if self.sharing != Sharing::AllSeeing => {
                            running.desk.owners(local, &owners)
                        }
                        Told::Desks(_) | Told::Owners(_) => {}
                        Told::Stacks { entries, ended } => running.desk.stacks(local, &entries, &ended),
                        Told::Fresh(fresh) => running.desk.fresh(fresh),
                        Told::InTouch(in_touch) => running.desk.contact(local, in_touch),
                    },
                    page::Out::Note { to, note } => {
                        let me = SocketAddr::new(ip, PEER_PORT);
                        self.send_note(Node::Edge(n), me, to, note);
                    }
                    page::Out::Letter { to, letter } => self.send_letter(n, ip, to, letter),
                }
                continue;
            }
            let Some(out) = running.desk.out.pop_front() else { break };
            match out {
                desk::Out::Demand(mut demand) => {
                    if self.sharing.single() {
                        demand = demand.into_iter().map(|d| self.voices.put(now, n, d)).collect();
                    }
                    running.page.carry(Note::Demand(demand));
                }
                desk::Out::Slot(wait) => {
                    if now >= self.lead {
                        self.loans.calls += 1;
                        self.slot_waits.push(wait.as_secs_f64() * 1e3);
                    }
                }
                desk::Out::PassedOver(lender) => {
                    let name = edge.name.clone();
                    self.tell(format!("{name} passes {} over", lender.ip()));
                }
                desk::Out::Probe(owner) => self.probe_owner(n, life, owner),
                desk::Out::Gone(instance) => running.page.carry(Note::Gone(instance)),
                desk::Out::Ready(instance) => running.page.carry(Note::Ready(instance)),
                desk::Out::Lend { to, bytes } => self.send_lend(n, ip, to, bytes),
                desk::Out::Connect { hand, token, instance, at } => {
                    self.connect(n, life, hand, token, instance, at)
                }
                desk::Out::Dial { instance, at } => self.connect(n, life, 0, 0, instance, at),
                desk::Out::Send { hand, token, line, at, bytes } => {
                    self.send_request(n, life, (hand, token, line), at, bytes)
                }
                desk::Out::Back { attempt, bytes, close } => self.send_back(n, attempt, bytes, close),
                desk::Out::Drop { attempt } => self.send_broke(n, attempt),
                desk::Out::Hangup { attempt, at } => self.send_hangup(n, at, attempt),
                desk::Out::Due { hand, token, at } => {
                    let at = running.born + at;
                    self.at(at, Event::Due { edge: n, life, hand, token });
                }
            }
        }
        let Some(edge) = self.edges.get_mut(n) else { return };
        let Some(running) = edge.running.as_mut() else { return };
        let due = running.born + running.page.next_due().min(running.desk.next_due());
        let due = due.max(now + Duration::from_millis(2));
        if edge.wake.is_none_or(|at| due < at) {
            edge.wake = Some(due);
            let life = edge.life;
            self.at(due, Event::Wake(Node::Edge(n), life));
        }
    }

    pub(crate) fn settle_core(&mut self, n: usize) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(n) else { return };
        let (born, ip, life) = (core.born, core.ip, core.life);
        let Some(controller) = core.controller.as_mut() else { return };
        let local = now - born;
        controller.control_store.tick(local);
        controller.carry(local);
        let outs = std::mem::take(&mut controller.out);
        let due = born + controller.next_due();
        for out in outs {
            match out {
                controller::Out::Note { to, note } => {
                    let me = SocketAddr::new(ip, PEER_PORT);
                    self.send_note(Node::Core(n), me, to, note);
                }
                controller::Out::Store { token, what } => self.store(n, life, token, what),
                controller::Out::Platform { number, call } => self.send_platform(n, life, number, call),
                controller::Out::Reply { call, reply } => self.send_says(n, call, reply),
            }
        }
        let due = due.max(now + Duration::from_millis(2)).min(now + Duration::from_millis(500));
        let Some(core) = self.cores.get_mut(n) else { return };
        if core.wake.is_none_or(|at| due < at) {
            core.wake = Some(due);
            self.at(due, Event::Wake(Node::Core(n), life));
        }
    }

    fn store(&mut self, n: usize, life: u64, token: u64, what: Stored) {
        let sync = self.scenario.timers.sync_ms;
        let Some(core) = self.cores.get_mut(n) else { return };
        let takes = secs(sync * core.disk_slow / 1e3);
        core.disk_busy = core.disk_busy.max(self.now) + takes;
        let (at, disk) = (core.disk_busy, core.disks);
        self.at(at, Event::Stored { core: n, life, disk, token, what: Box::new(what) });
    }

    fn stored(&mut self, n: usize, life: u64, disk: u64, token: u64, what: &Stored) {
        let now = self.now;
        let whole = self.chance.share() < 0.5;
        let Some(core) = self.cores.get_mut(n) else { return };
        if core.disks != disk {
            return;
        }
        // What was being written when its process went is there or not.
        let alive = core.life == life && core.controller.is_some();
        if !alive && (core.controller.is_some() || !whole) {
            return;
        }
        let ok = !core.disk_full;
        if ok {
            keep(&mut core.disk, what);
        }
        if let Some(controller) = core.controller.as_mut().filter(|_| alive) {
            controller.control_store.stored(now - core.born, token, ok);
        }
    }

    fn send_note(&mut self, from: Node, me: SocketAddr, to: SocketAddr, note: Note) {
        let Some(&node) = self.by_ip.get(&to.ip()) else { return };
        let key = (from, node);
        if self.held.get(&key).is_some_and(|held| !held.is_empty()) || self.net.cut(from, node) {
            let held = self.held.entry(key).or_default();
            if held.is_empty() {
                self.events += 1;
                self.queue.insert((self.now + RETRY, self.events), Event::Flush { from, to: node });
            }
            if held.len() < 256 {
                held.push_back((self.now, me, note));
            }
            return;
        }
        // What arrives is not acknowledged while the way back is cut: after a while the stream ends, and no other begins.
        if self.net.cut(node, from) {
            let since = *self.unacknowledged.entry(key).or_insert(self.now);
            if self.now > since + UNACKNOWLEDGED {
                return;
            }
        } else {
            self.unacknowledged.remove(&key);
        }
        let Some(takes) = self.net.stream(&mut self.chance, from, node) else { return };
        // One stream: nothing overtakes.
        let arrives = self.arrived.entry(key).or_default();
        *arrives = (*arrives).max(self.now + takes);
        let at = *arrives;
        let life = self.life(node);
        self.at(at, Event::Note { to: node, life, from: me, note });
    }

    fn flush(&mut self, from: Node, to: Node) {
        let Some(held) = self.held.get_mut(&(from, to)) else { return };
        if held.front().is_some_and(|(since, ..)| *since + UNACKNOWLEDGED < self.now) {
            held.clear();
            return;
        }
        if self.net.cut(from, to) {
            return self.later(RETRY, Event::Flush { from, to });
        }
        for (_, me, note) in std::mem::take(held) {
            let port = SocketAddr::new(self.ip(to), PEER_PORT);
            self.send_note(from, me, port, note);
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

    fn note(&mut self, to: Node, life: u64, from: SocketAddr, note: Note) {
        if self.life(to) != life {
            return;
        }
        let now = self.now;
        match to {
            Node::Edge(n) => {
                if let Some(running) = self.running(n, life) {
                    let local = now - running.born;
                    running.page.note(local, note);
                    running.page.tick(local);
                }
            }
            Node::Core(n) => {
                let Some(core) = self.cores.get_mut(n) else { return };
                if let Some(controller) = core.controller.as_mut() {
                    controller.note(now - core.born, from, note);
                }
            }
            _ => {}
        }
    }

    fn send_letter(&mut self, n: usize, ip: IpAddr, to: IpAddr, letter: Message) {
        let Some(&Node::Edge(other)) = self.by_ip.get(&to) else { return };
        if let Some(takes) = self.net.datagram(&mut self.chance, Node::Edge(n), Node::Edge(other)) {
            let life = self.life(Node::Edge(other));
            self.later(takes, Event::Letter { to: other, life, from: ip, letter });
        }
    }

    fn send_lend(&mut self, n: usize, ip: IpAddr, to: SocketAddr, bytes: Vec<u8>) {
        let Some(&Node::Edge(other)) = self.by_ip.get(&to.ip()) else { return };
        if self.now >= self.lead {
            self.loans.letters += 1;
            self.loans.bytes += bytes.len() + 28;
            if self.edges[n].zone != self.edges[other].zone {
                self.loans.far_bytes += bytes.len() + 28;
            }
        }
        if self.sharing == Sharing::AllSeeing {
            let life = self.life(Node::Edge(other));
            let from = SocketAddr::new(ip, LEND_PORT);
            return self.later(Duration::from_micros(1), Event::Lend { to: other, life, from, bytes });
        }
        if let Some(takes) = self.net.datagram(&mut self.chance, Node::Edge(n), Node::Edge(other)) {
            let life = self.life(Node::Edge(other));
            let from = SocketAddr::new(ip, LEND_PORT);
            self.later(takes, Event::Lend { to: other, life, from, bytes });
        }
    }

    /// A machine refuses connections where its processes are gone; one without power, or behind a cut, says nothing.
    fn probe_owner(&mut self, n: usize, life: u64, owner: SocketAddr) {
        let Some(&Node::Edge(other)) = self.by_ip.get(&owner.ip()) else { return };
        let (from, to) = (Node::Edge(n), Node::Edge(other));
        let cut = self.net.cut(from, to) || self.net.cut(to, from);
        if cut || self.edges[other].up != Power::Refuses {
            return;
        }
        let takes = self.net.delay(from, to) * 2;
        self.later(takes, Event::Refused { edge: n, life, owner });
    }

    fn send_platform(&mut self, n: usize, life: u64, number: u64, call: controller::Call) {
        let id = self.number();
        if let Some(core) = self.cores.get_mut(n) {
            core.calls.insert(id, (number, call));
        }
        let sent = self.now;
        if let Some(takes) = self.net.stream(&mut self.chance, Node::Core(n), Node::Platform) {
            self.later(takes, Event::Platform { core: n, life, id, sent });
        }
        let answer = Box::new(controller::Answer::Unclear);
        self.later(PATIENCE, Event::Answered { core: n, life, id, answer });
    }

    fn at_platform(&mut self, n: usize, life: u64, id: u64, sent: Duration) {
        let Some((number, call)) = self.cores.get(n).and_then(|core| core.calls.get(&id)).cloned() else {
            return;
        };
        match call {
            controller::Call::List => {
                self.judge.reads.push((self.now, number));
                self.last_reader = Some(n);
                self.looked(n, number);
            }
            controller::Call::Begin { .. } | controller::Call::Stop { .. } => {
                self.judge.duty(self.now, sent, number)
            }
            controller::Call::Hosts | controller::Call::First => {}
        }
        let stopped = match &call {
            controller::Call::Stop { instance, .. } => Some(instance.clone()),
            _ => None,
        };
        let Some((takes, answer)) = self.platform.call(self.now, &mut self.chance, &call) else { return };
        if let Some(instance) = stopped {
            self.tell_closed(&instance);
        }
        if let Some(way) = self.net.stream(&mut self.chance, Node::Platform, Node::Core(n)) {
            self.later(takes + way, Event::Answered { core: n, life, id, answer: Box::new(answer) });
        }
    }

    fn answered(&mut self, n: usize, life: u64, id: u64, answer: controller::Answer) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(n).filter(|core| core.life == life) else { return };
        let Some((number, call)) = core.calls.remove(&id) else { return };
        if let Some(controller) = core.controller.as_mut() {
            controller.answered(now - core.born, number, &call, answer);
        }
    }

    /// What a settings file written now has as seeds.
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
        let chance = self.chance.number();
        match node {
            Node::Edge(n) => {
                let timers = self.scenario.timers;
                let places = self.zones.clone();
                let Some(edge) = self.edges.get_mut(n) else { return };
                edge.life += 1;
                edge.up = Power::On;
                edge.wake = None;
                let zone = places[edge.zone].0.clone();
                let seed = chance ^ hash(&edge.name);
                let life = (seed ^ seed >> 32) as u32 | 1;
                let budget = Budget::new(timers.budget_ratio, timers.budget_slack, timers.budget_window);
                let mut page = Page::new(page::Terms {
                    ip: edge.ip,
                    zone: zone.clone(),
                    places: places.clone(),
                    seeds,
                    convergence: secs(timers.convergence),
                    since: DATE + now.as_millis() as u64,
                    seed,
                    planted: self.planted,
                });
                page.serves(Duration::ZERO, life);
                let plan = (self.planted, self.sharing, self.ranking);
                let grace = GracePeriod::new(secs(timers.grace));
                let desk = Desk::new(edge.ip, &zone, &places, life, seed, (budget, grace), plan);
                edge.running = Some(Running { born: now, page, desk, leaves: false });
                self.see_all();
                self.settle_edge(n);
            }
            Node::Core(n) => {
                let platform = self.scenario.platform;
                let timers = self.scenario.timers;
                let zones = self.zones.clone();
                let Some(core) = self.cores.get_mut(n) else { return };
                if core.gone.is_some() {
                    return;
                }
                core.life += 1;
                core.up = Power::On;
                core.wake = None;
                core.born = now;
                core.calls.clear();
                core.leaves = None;
                let setup = MemberSettings {
                    me: SocketAddr::new(core.ip, PEER_PORT),
                    seeds,
                    initial: !core.began && core.listed == Duration::ZERO,
                    seed: chance ^ hash(&core.name),
                    incarnation: (DATE + now.as_millis() as u64) * 1_000_000 + n as u64,
                };
                core.began = true;
                let terms = controller::Terms {
                    name: core.name.clone(),
                    setup,
                    stacks: tindock_stacks::Terms {
                        zones,
                        drain: secs(timers.drain),
                        address_reuse: secs(timers.reuse),
                        duty_rate: platform.duty,
                        list_lag: secs(platform.lag),
                    },
                    list_rate: platform.rate,
                    rebinding: self.scenario.rebinding,
                    planted: self.planted,
                };
                let disk = match self.planted {
                    Some(Planted::DisksForgotten) => DiskState::default(),
                    _ => core.disk.clone(),
                };
                core.controller = Some(Controller::new(terms, disk));
                self.settle_core(n);
                self.note_core();
            }
            _ => {}
        }
    }

    /// With the all-seeing way to share slots each desk knows at once who is there.
    pub(crate) fn see_all(&mut self) {
        if self.sharing != Sharing::AllSeeing {
            return;
        }
        let zones = &self.zones;
        let there = self.edges.iter().filter_map(|edge| {
            let running = edge.running.as_ref().filter(|running| !running.leaves)?;
            let zone = zones.get(edge.zone).map(|zone| zone.0.clone())?;
            Some((edge.ip, zone, running.desk.life))
        });
        let all: Vec<(IpAddr, String, u32)> = there.collect();
        let now = self.now;
        for n in 0..self.edges.len() {
            if let Some(running) = self.edges[n].running.as_mut() {
                running.desk.owners(now - running.born, &all);
            }
        }
    }

    /// Whether more than half of the core runs and is connected, for the judge.
    pub(crate) fn note_core(&mut self) {
        let there: Vec<usize> = (0..self.cores.len()).filter(|n| self.cores[*n].gone.is_none()).collect();
        let runs = |n: &usize| self.cores[*n].controller.is_some() && self.cores[*n].frozen.is_none();
        let reaches = |n: usize| {
            let joined = |m: usize| {
                let (one, other) = (Node::Core(n), Node::Core(m));
                !self.net.cut(one, other) && !self.net.cut(other, one)
            };
            let near = there.iter().filter(|m| runs(m) && joined(**m));
            near.count() * 2 > there.len() && !self.net.cut(Node::Core(n), Node::Platform)
        };
        let moods = &self.platform.moods;
        let answers = !moods.silent && !moods.refused && moods.slow < 1.0;
        let well = answers && there.iter().any(|n| runs(n) && reaches(*n));
        if self.judge.core_well.last().is_none_or(|last| last.1 != well) {
            self.judge.core_well.push((self.now, well));
        }
    }

    fn thaw(&mut self, node: Node) {
        let backlog = match node {
            Node::Edge(n) => self.edges.get_mut(n).and_then(|edge| edge.frozen.take()),
            Node::Core(n) => self.cores.get_mut(n).and_then(|core| core.frozen.take()),
            _ => None,
        };
        let Some((_, backlog)) = backlog else { return };
        // It looks at its clock first, then at what has come meanwhile.
        let life = self.life(node);
        match node {
            Node::Edge(n) => {
                self.edges[n].wake = None;
                self.wake(node, life);
                self.settle_edge(n);
            }
            Node::Core(n) => {
                self.cores[n].wake = None;
                self.settle_core(n);
            }
            _ => {}
        }
        for event in backlog {
            if !matches!(event, Event::Wake(..)) {
                self.dispatch(event);
            }
        }
        self.note_core();
    }

    fn second(&mut self) {
        let second = self.judge.at(self.now).floor() as i64 - 1;
        let (ready, there) = (self.platform.ready(self.now), self.platform.there());
        let holder = self.judge.reads.last().map_or(0, |read| read.1);
        let acked = self.judge.versions.iter().filter(|v| v.acked.is_some()).map(|v| v.revision).max();
        let (busy, slots) = self.platform.slots(self.now);
        let row = self.row(second);
        (row.ready, row.there, row.holder, row.revision) = (ready, there, holder, acked.unwrap_or(0));
        (row.busy, row.slots) = (busy, slots);
    }

    /// A core machine looked at the platform under this number: it holds the duty from its first look
    /// to its last.
    fn looked(&mut self, core: usize, number: u64) {
        let (at, name) = (self.judge.at(self.now), self.cores[core].name.clone());
        match self.duties.last_mut() {
            Some(held) if held.who == name && held.number == number => held.to = at,
            _ => self.duties.push(Held { from: at, to: at, who: name, number }),
        }
    }
}

/// The highest of each kind is what a start reads.
fn keep(disk: &mut DiskState, what: &Stored) {
    match what {
        Stored::Configuration(word) => {
            if disk.configuration.as_ref().is_none_or(|kept| kept.version() <= word.version()) {
                disk.configuration = Some(word.clone());
            }
        }
        Stored::Voters(tables) => {
            if disk.voters.as_ref().is_none_or(|kept| kept.mark() <= tables.mark()) {
                disk.voters = Some(tables.clone());
            }
        }
        Stored::LeaseNumber(number) => disk.number = disk.number.max(*number),
        Stored::Promise(ballot) => disk.promised = disk.promised.max(*ballot),
    }
}
