//! The live run: real controllers as processes, one real scheduler (agent and proxy), a few real agents with hollow
//! proxies, and hollow schedulers in this process, over loopback sockets, with a stand-in for the platform and an operator
//! that changes the configuration.
//!
//! Hollow agents share a few threads, so what each does at the same moment as all others is late by that; the real agents
//! show how late.

use crate::hollow::{locked, settings, Agents, Demands, Proxy, Shared};
use crate::processes::{Deployment, Ports, Processes, Role};
use crate::report::Figure;
use crate::sockets::{between, counts, sample, Traffic};
use crate::usage::{memory, own_memory, process_time};
use crate::{configuration, Size};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tindock_mock_services::ledger::Ledger;
use tindock_mock_services::loopback::Net;
use tindock_mock_services::operator::Operator;
use tindock_mock_services::platform::{Host, Options, Platform};
use tindock_system_processes::settings::Settings;
use tokio::time::sleep;

/// All hollow proxies are to have the first configuration within this.
const COMING_UP: Duration = Duration::from_secs(60);
/// After the first configuration, before anything is measured.
const SETTLING: Duration = Duration::from_secs(3);
/// Between two changes.
const BETWEEN: Duration = Duration::from_millis(500);
/// A change is given up after this.
const SPREADING: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(5);
/// Real agents with hollow proxies: one in each zone.
const REAL_AGENTS: usize = crate::ZONES.len();
/// Threads that the hollow agents share.
const THREADS: usize = 4;
/// Of each of the platform's hosts (MB): room for some thousands of instances.
const HOST_MEMORY: u32 = 1 << 20;
/// Hollow machines of one block of addresses.
const BLOCK: usize = 200;
/// A controller's answer may take this long.
const ANSWER: Duration = Duration::from_secs(20);

/// What is to be run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// `tindock` itself.
    pub program: PathBuf,
    pub size: Size,
    pub controllers: usize,
    /// Between changes, measured for so long.
    pub length: Duration,
    /// Words of demand that each scheduler tells a second.
    pub words: f64,
    /// Starts of instances a second that all schedulers together ask for.
    pub starts: f64,
    /// Changes of the configuration, one after the other.
    pub changes: u64,
    /// The run is given up once this process holds so much (MiB).
    pub most_memory: f64,
}

/// What a role used over a span.
#[derive(Debug, Clone, Copy, Default)]
struct Used {
    time: Duration,
    traffic: Traffic,
    memory: f64,
    sockets: usize,
}

/// When a change was taken, and when all had it, after the operator's call; None: not in the time there was.
#[derive(Debug, Clone, Copy)]
struct Change {
    taken: Option<Duration>,
    all: Option<Duration>,
    real: Option<Duration>,
}

/// All that is up.
struct Stage {
    plan: Plan,
    processes: Processes,
    agents: Vec<Agents>,
    /// What hollow schedulers have, and what real agents have.
    board: Shared,
    real: Shared,
    operator: Operator,
    port: u16,
    platform: Platform,
}

/// The address of the hollow machine of this number: blocks after the one of the real machines.
fn hollow_address(first: Ipv4Addr, number: usize) -> Ipv4Addr {
    let [a, b, c, _] = first.octets();
    Ipv4Addr::new(a, b, c.wrapping_add(1 + (number / BLOCK) as u8), 1 + (number % BLOCK) as u8)
}

impl Stage {
    async fn open(plan: Plan) -> Result<Stage, String> {
        let net = Net::free(std::process::id()).map_err(|why| format!("no free addresses: {why}"))?;
        let host = |number: usize| Host {
            name: format!("w-{number}"),
            zone: Size::zone(number).to_string(),
            ip: net.host(number),
            memory_mb: HOST_MEMORY,
        };
        let functions = (0..plan.size.functions).map(configuration::function).collect();
        let offered = Options::new(net.provider(), functions, (0..6).map(host).collect());
        let platform = Platform::start(offered, Ledger::default()).await.map_err(|why| why.to_string())?;
        let controllers: Vec<Ipv4Addr> = (0..plan.controllers).map(|number| net.core(number)).collect();
        let ports = Ports::of(&net);
        let deployment = Deployment {
            program: plan.program.clone(),
            folder: std::env::temp_dir().join(format!("tindock-scale-run-{}", std::process::id())),
            controllers: controllers.clone(),
            ports,
            platform: net.provider(),
        };
        let mut processes = Processes::new(deployment.clone()).map_err(|why| why.to_string())?;
        for (number, ip) in controllers.iter().enumerate() {
            let name = controller(number);
            processes
                .start(Role::Controller, &name, *ip, Size::zone(number))
                .map_err(|why| why.to_string())?;
        }
        for role in [Role::Agent, Role::Proxy] {
            processes.start(role, "real", net.edge(0), Size::zone(0)).map_err(|why| why.to_string())?;
        }
        let demands = Demands { words: plan.words, starts: plan.starts / plan.size.schedulers as f64 };
        let board = Shared::default();
        locked(&board).expect(1);
        let first = net.core(0);
        let all = (0..plan.size.schedulers)
            .map(|number| settings(&deployment, number, hollow_address(first, number)));
        let all = all.collect::<Result<Vec<_>, _>>()?;
        for (number, settings) in all.iter().enumerate() {
            let (agent, size, board) = (settings.agent_address(), plan.size, board.clone());
            tokio::spawn(Proxy { number, agent, size, demands, board }.run());
        }
        let real = Shared::default();
        locked(&real).expect(1);
        for number in 0..REAL_AGENTS {
            let (ip, name) = (net.edge(1 + number), format!("real-{number}"));
            processes.start(Role::Agent, &name, ip, Size::zone(number)).map_err(|why| why.to_string())?;
            let agent = (ip, ports.ephemeral.0 + 2).into();
            let number = plan.size.schedulers + number;
            tokio::spawn(Proxy { number, agent, size: plan.size, demands, board: real.clone() }.run());
        }
        let mut groups: Vec<Vec<Settings>> = vec![Vec::new(); THREADS];
        for (number, settings) in all.into_iter().enumerate() {
            groups[number % THREADS].push(settings);
        }
        let agents = groups.into_iter().map(Agents::start).collect::<Result<Vec<_>, _>>()?;
        let operator = Operator {
            controllers: controllers.iter().map(|ip| (*ip, ports.control_plane).into()).collect(),
            first: 0,
        };
        Ok(Stage { plan, processes, agents, board, real, operator, port: ports.ephemeral.0, platform })
    }

    /// Sends a configuration and waits until all hollow proxies have it.
    async fn change(&self, revision: u64, within: Duration) -> Result<Change, String> {
        let text = configuration::text(revision, self.plan.size.functions);
        locked(&self.board).expect(revision);
        locked(&self.real).expect(revision);
        let began = Instant::now();
        let taken = self.operator.replace(&text, ANSWER.max(within)).await.ok().map(|_| began.elapsed());
        let at = |board: &Shared, all: usize| {
            let (count, last) = locked(board).reached(revision);
            last.filter(|_| count >= all).map(|last| last.saturating_duration_since(began))
        };
        loop {
            let (all, real) = (at(&self.board, self.plan.size.schedulers), at(&self.real, REAL_AGENTS));
            if (all.is_some() && real.is_some()) || began.elapsed() > within {
                return Ok(Change { taken, all, real });
            }
            if own_memory() > self.plan.most_memory {
                return Err(format!("more than {} MiB in use: given up", self.plan.most_memory));
            }
            sleep(LOOK).await;
        }
    }

    /// What one process used since it was looked at.
    fn used(&self, process: u32, before: Duration, traffic: Traffic, sockets: usize) -> Used {
        let time = process_time(process).unwrap_or_default().saturating_sub(before);
        Used { time, traffic, memory: memory(&process.to_string()).unwrap_or(0.0), sockets }
    }

    /// Measures every role over a span.
    async fn measure(&self, part: &'static str) -> Vec<Figure> {
        let length = self.plan.length;
        let counted = self.platform.counts();
        let ids = |role| self.processes.ids(role);
        let all: Vec<u32> = [Role::Controller, Role::Agent, Role::Proxy].into_iter().flat_map(ids).collect();
        let times: Vec<Duration> = all.iter().map(|id| process_time(*id).unwrap_or_default()).collect();
        let agents_time = || self.agents.iter().map(Agents::time).sum::<Duration>();
        let (before, agents, began) = (sample(self.port), agents_time(), Instant::now());
        sleep(length).await;
        let after = sample(self.port);
        let (span, agents) = (began.elapsed().as_secs_f64(), agents_time().saturating_sub(agents));
        let (went, sockets) = (between(&before, &after), counts(&after));
        let of =
            |id: u32| (went.get(&id).copied().unwrap_or_default(), sockets.get(&id).copied().unwrap_or(0));
        let used: Vec<(u32, Used)> = all
            .iter()
            .zip(times)
            .map(|(id, time)| (*id, self.used(*id, time, of(*id).0, of(*id).1)))
            .collect();
        let pick = |role| {
            let ids = ids(role);
            used.iter().filter(|(id, _)| ids.contains(id)).map(|(_, used)| *used).collect::<Vec<Used>>()
        };
        let (traffic, sockets) = of(std::process::id());
        let hollow = Used { time: agents, traffic, memory: own_memory(), sockets };
        let schedulers = self.plan.size.schedulers as f64;
        let busiest = |all: &[Used]| all.iter().copied().max_by_key(|used| used.time).unwrap_or_default();
        let controllers = pick(Role::Controller);
        let mut figures = vec![Figure::new(part, length.as_secs_f64(), "s measured")];
        figures.extend(rows(CONTROLLER, &busiest(&controllers), span, 1.0));
        figures.extend(rows(
            QUIETEST,
            &controllers.iter().copied().min_by_key(|u| u.time).unwrap_or_default(),
            span,
            1.0,
        ));
        figures.extend(rows(REAL_AGENT, &busiest(&pick(Role::Agent)), span, 1.0));
        figures.extend(rows(REAL_PROXY, &busiest(&pick(Role::Proxy)), span, 1.0));
        figures.extend(rows(HOLLOW_AGENT, &hollow, span, schedulers));
        let now = self.platform.counts();
        figures.push(Figure::new("instances started", (now.started - counted.started) as f64 / span, "/s"));
        figures.push(Figure::new("instances stopped", (now.stopped - counted.stopped) as f64 / span, "/s"));
        let working = self.platform.instances().iter().filter(|instance| !instance.ended).count();
        figures.push(Figure::new("instances there", working as f64, ""));
        figures
    }
}

/// Names of a role's figures: processor, bytes sent and received, messages sent and received, memory, connections.
type Names = [&'static str; 7];

const CONTROLLER: Names = [
    "busiest controller: processor",
    "busiest controller: sent",
    "busiest controller: received",
    "busiest controller: messages sent",
    "busiest controller: messages received",
    "busiest controller: memory",
    "busiest controller: connections",
];
const QUIETEST: Names = [
    "quietest controller: processor",
    "quietest controller: sent",
    "quietest controller: received",
    "quietest controller: messages sent",
    "quietest controller: messages received",
    "quietest controller: memory",
    "quietest controller: connections",
];
const REAL_AGENT: Names = [
    "real agent: processor",
    "real agent: sent",
    "real agent: received",
    "real agent: messages sent",
    "real agent: messages received",
    "real agent: memory",
    "real agent: connections",
];
const REAL_PROXY: Names = [
    "real proxy: processor",
    "real proxy: sent",
    "real proxy: received",
    "real proxy: messages sent",
    "real proxy: messages received",
    "real proxy: memory",
    "real proxy: connections",
];
const HOLLOW_AGENT: Names = [
    "hollow agent, mean: processor",
    "hollow agent, mean: sent",
    "hollow agent, mean: received",
    "hollow agent, mean: messages sent",
    "hollow agent, mean: messages received",
    "hollow agent, mean: memory",
    "hollow agent, mean: connections",
];

/// TCP alone; peer sampling goes by datagrams, which the decider run counts.
fn rows(names: Names, used: &Used, span: f64, of: f64) -> Vec<Figure> {
    let rate = |count: u64| count as f64 / span / of;
    let values = [
        (used.time.as_secs_f64() / span / of * 100.0, "% of a core"),
        (rate(used.traffic.sent), "B/s"),
        (rate(used.traffic.received), "B/s"),
        (rate(used.traffic.segments_sent), "/s"),
        (rate(used.traffic.segments_received), "/s"),
        (used.memory / of, "MiB"),
        (used.sockets as f64 / of, ""),
    ];
    names.into_iter().zip(values).map(|(name, (value, unit))| Figure::new(name, value, unit)).collect()
}

fn controller(number: usize) -> String {
    format!("controller-{number}")
}

/// NaN: not in the time there was.
fn seconds(time: Option<Duration>) -> f64 {
    time.map_or(f64::NAN, |time| time.as_secs_f64())
}

/// The least, the median and the most of what there is, and how many were missing.
fn spread(name: [&'static str; 4], given: Vec<Option<Duration>>) -> Vec<Figure> {
    let mut times: Vec<Duration> = given.iter().copied().flatten().collect();
    times.sort();
    let at = |share: f64| times.get(((times.len() as f64 - 1.0) * share).round() as usize).copied();
    vec![
        Figure::new(name[0], seconds(times.first().copied()), "s"),
        Figure::new(name[1], seconds(at(0.5)), "s"),
        Figure::new(name[2], seconds(times.last().copied()), "s"),
        Figure::new(name[3], (given.len() - times.len()) as f64, ""),
    ]
}

/// Runs all parts; one line for what went wrong.
pub async fn run(plan: Plan) -> Result<Vec<Figure>, String> {
    let stage = Stage::open(plan.clone()).await?;
    let first = stage.change(1, COMING_UP).await?;
    if first.taken.is_none() {
        return Err("the first configuration was not taken".into());
    }
    let mut figures = vec![
        Figure::new("functions", plan.size.functions as f64, ""),
        Figure::new("controllers", plan.controllers as f64, ""),
        Figure::new("words of demand of a scheduler", plan.words, "/s"),
        Figure::new("starts asked for", plan.starts, "/s"),
        Figure::new("first configuration taken", seconds(first.taken), "s"),
        Figure::new("first configuration at all hollow ones", seconds(first.all), "s"),
        Figure::new("first configuration at real agents", seconds(first.real), "s"),
    ];
    sleep(SETTLING).await;
    figures.extend(stage.measure("between changes").await);
    let mut changes = Vec::new();
    for revision in 2..2 + plan.changes {
        changes.push(stage.change(revision, SPREADING).await?);
        sleep(BETWEEN).await;
    }
    let times = |which: fn(&Change) -> Option<Duration>| changes.iter().map(which).collect::<Vec<_>>();
    let names =
        ["change taken, least", "change taken, median", "change taken, most", "change taken, not in 30 s"];
    figures.extend(spread(names, times(|change| change.taken)));
    let names = [
        "change at real agents, least",
        "change at real agents, median",
        "change at real agents, most",
        "change at real agents, not in 30 s",
    ];
    figures.extend(spread(names, times(|change| change.real)));
    let names = [
        "change at all hollow, least",
        "change at all hollow, median",
        "change at all hollow, most",
        "change at all hollow, not in 30 s",
    ];
    figures.extend(spread(names, times(|change| change.all)));
    figures.push(Figure::new("a controller's disk", stage.processes.disk(&controller(0)) as f64, "B"));
    for (kind, (frames, bytes)) in locked(&stage.board).told() {
        figures.push(Figure::new(kind, bytes as f64 / frames.max(1) as f64, "B a frame to a proxy"));
        figures.push(Figure::new(kind, frames as f64 / plan.size.schedulers as f64, "frames to a proxy"));
    }
    Ok(figures)
}
