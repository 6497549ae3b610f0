//! The live run: real controllers as processes, one real scheduler (agent and proxy), a few real agents with
//! hollow proxies, and hollow schedulers in this process, over loopback sockets, with a mock platform and an
//! operator that changes the configuration.
//!
//! Hollow agents share a few threads, so work that all of them do at the same time is delayed; the real
//! agents show by how much.

use crate::hollow::{lock, settings, Agents, DemandRates, Proxy, SharedReceived};
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

/// Time limit for all hollow proxies to receive the first configuration.
const STARTUP_LIMIT: Duration = Duration::from_secs(60);
/// Pause after the first configuration, before the measurement.
const SETTLING_PAUSE: Duration = Duration::from_secs(3);
/// Pause between two changes.
const PAUSE: Duration = Duration::from_millis(500);
/// Time limit for the propagation of a change.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Real agents with hollow proxies: one in each zone.
const REAL_AGENTS: usize = crate::ZONES.len();
/// Threads that the hollow agents share.
const THREADS: usize = 4;
/// Memory of each of the platform's hosts (MB), enough for some thousands of instances.
const HOST_MEMORY: u32 = 1 << 20;
/// Hollow machines per block of addresses.
const BLOCK: usize = 200;
/// Time limit for a controller's answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Parameters of the run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Path of the `tindock` executable.
    pub program: PathBuf,
    pub size: Size,
    pub controllers: usize,
    /// Length of the measurement without changes.
    pub length: Duration,
    /// Demand reports per second of each scheduler.
    pub reports: f64,
    /// Instance starts per second that all schedulers together request.
    pub starts: f64,
    /// Changes of the configuration, one after the other.
    pub changes: u64,
    /// Memory of this process (MiB) at which the run is aborted.
    pub max_memory_mib: f64,
}

/// Resources used by a role during a measurement.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    time: Duration,
    traffic: Traffic,
    memory: f64,
    sockets: usize,
}

/// Times from the operator's call until a change was accepted and until it was received; `None`: not within
/// the limit.
#[derive(Debug, Clone, Copy)]
struct Change {
    accepted: Option<Duration>,
    all: Option<Duration>,
    real: Option<Duration>,
}

/// The running deployment.
struct Deployed {
    plan: Plan,
    processes: Processes,
    agents: Vec<Agents>,
    /// What the hollow schedulers have received, and (`real`) what the real agents have.
    received: SharedReceived,
    real: SharedReceived,
    operator: Operator,
    port: u16,
    platform: Platform,
}

/// The address of the hollow machine of this number, in the blocks after that of the real machines.
fn hollow_address(first: Ipv4Addr, number: usize) -> Ipv4Addr {
    let [a, b, c, _] = first.octets();
    Ipv4Addr::new(a, b, c.wrapping_add(1 + (number / BLOCK) as u8), 1 + (number % BLOCK) as u8)
}

impl Deployed {
    async fn open(plan: Plan) -> Result<Deployed, String> {
        let net = Net::free(std::process::id()).map_err(|cause| format!("no free addresses: {cause}"))?;
        let host = |number: usize| Host {
            name: format!("w-{number}"),
            zone: Size::zone(number).to_string(),
            ip: net.host(number),
            memory_mb: HOST_MEMORY,
        };
        let functions = (0..plan.size.functions).map(configuration::function).collect();
        let options = Options::new(net.provider(), functions, (0..6).map(host).collect());
        let platform =
            Platform::start(options, Ledger::default()).await.map_err(|cause| cause.to_string())?;
        let controllers: Vec<Ipv4Addr> = (0..plan.controllers).map(|number| net.core(number)).collect();
        let ports = Ports::of(&net);
        let deployment = Deployment {
            program: plan.program.clone(),
            folder: std::env::temp_dir().join(format!("tindock-scale-run-{}", std::process::id())),
            controllers: controllers.clone(),
            ports,
            platform: net.provider(),
        };
        let mut processes = Processes::new(deployment.clone()).map_err(|cause| cause.to_string())?;
        for (number, ip) in controllers.iter().enumerate() {
            let name = controller(number);
            processes
                .start(Role::Controller, &name, *ip, Size::zone(number))
                .map_err(|cause| cause.to_string())?;
        }
        for role in [Role::Agent, Role::Proxy] {
            processes.start(role, "real", net.edge(0), Size::zone(0)).map_err(|cause| cause.to_string())?;
        }
        let demands =
            DemandRates { reports: plan.reports, starts: plan.starts / plan.size.schedulers as f64 };
        let received = SharedReceived::default();
        lock(&received).expect(1);
        let first = net.core(0);
        let all = (0..plan.size.schedulers)
            .map(|number| settings(&deployment, number, hollow_address(first, number)));
        let all = all.collect::<Result<Vec<_>, _>>()?;
        for (number, settings) in all.iter().enumerate() {
            let (agent, size, received) = (settings.agent_address(), plan.size, received.clone());
            tokio::spawn(Proxy { number, agent, size, demands, received }.run());
        }
        let real = SharedReceived::default();
        lock(&real).expect(1);
        for number in 0..REAL_AGENTS {
            let (ip, name) = (net.edge(1 + number), format!("real-{number}"));
            processes.start(Role::Agent, &name, ip, Size::zone(number)).map_err(|cause| cause.to_string())?;
            let agent = (ip, ports.ephemeral.0 + 2).into();
            let number = plan.size.schedulers + number;
            tokio::spawn(Proxy { number, agent, size: plan.size, demands, received: real.clone() }.run());
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
        Ok(Deployed { plan, processes, agents, received, real, operator, port: ports.ephemeral.0, platform })
    }

    /// Sends a configuration and waits until all proxies have received it.
    async fn change(&self, revision: u64, within: Duration) -> Result<Change, String> {
        let text = configuration::text(revision, self.plan.size.functions);
        lock(&self.received).expect(revision);
        lock(&self.real).expect(revision);
        let began = Instant::now();
        let accepted =
            self.operator.replace(&text, ANSWER_LIMIT.max(within)).await.ok().map(|_| began.elapsed());
        let at = |received: &SharedReceived, all: usize| {
            let (count, last) = lock(received).reached(revision);
            last.filter(|_| count >= all).map(|last| last.saturating_duration_since(began))
        };
        loop {
            let (all, real) = (at(&self.received, self.plan.size.schedulers), at(&self.real, REAL_AGENTS));
            if (all.is_some() && real.is_some()) || began.elapsed() > within {
                return Ok(Change { accepted, all, real });
            }
            if own_memory() > self.plan.max_memory_mib {
                return Err(format!("aborted: more than {} MiB in use", self.plan.max_memory_mib));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Resources used by one process since the earlier sample.
    fn usage_since(&self, process: u32, before: Duration, traffic: Traffic, sockets: usize) -> Usage {
        let time = process_time(process).unwrap_or_default().saturating_sub(before);
        Usage { time, traffic, memory: memory(&process.to_string()).unwrap_or(0.0), sockets }
    }

    /// Measures every role for the length of the plan.
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
        let (traffic_by_process, sockets) = (between(&before, &after), counts(&after));
        let of = |id: u32| {
            (traffic_by_process.get(&id).copied().unwrap_or_default(), sockets.get(&id).copied().unwrap_or(0))
        };
        let used: Vec<(u32, Usage)> = all
            .iter()
            .zip(times)
            .map(|(id, time)| (*id, self.usage_since(*id, time, of(*id).0, of(*id).1)))
            .collect();
        let pick = |role| {
            let ids = ids(role);
            used.iter().filter(|(id, _)| ids.contains(id)).map(|(_, used)| *used).collect::<Vec<Usage>>()
        };
        let (traffic, sockets) = of(std::process::id());
        let hollow = Usage { time: agents, traffic, memory: own_memory(), sockets };
        let schedulers = self.plan.size.schedulers as f64;
        let busiest = |all: &[Usage]| all.iter().copied().max_by_key(|used| used.time).unwrap_or_default();
        let controllers = pick(Role::Controller);
        let mut figures = vec![Figure::new(part, length.as_secs_f64(), "s measured")];
        figures.extend(usage_figures(BUSIEST_CONTROLLER, &busiest(&controllers), span, 1.0));
        figures.extend(usage_figures(
            LEAST_BUSY_CONTROLLER,
            &controllers.iter().copied().min_by_key(|u| u.time).unwrap_or_default(),
            span,
            1.0,
        ));
        figures.extend(usage_figures(REAL_AGENT, &busiest(&pick(Role::Agent)), span, 1.0));
        figures.extend(usage_figures(REAL_PROXY, &busiest(&pick(Role::Proxy)), span, 1.0));
        figures.extend(usage_figures(HOLLOW_AGENT, &hollow, span, schedulers));
        let now = self.platform.counts();
        figures.push(Figure::new("instances started", (now.started - counted.started) as f64 / span, "/s"));
        figures.push(Figure::new("instances stopped", (now.stopped - counted.stopped) as f64 / span, "/s"));
        let working = self.platform.instances().iter().filter(|instance| !instance.ended).count();
        figures.push(Figure::new("instances there", working as f64, ""));
        figures
    }
}

/// Names of a role's figures: processor, bytes sent and received, messages sent and received, memory,
/// connections.
type Names = [&'static str; 7];

const BUSIEST_CONTROLLER: Names = [
    "busiest controller: processor",
    "busiest controller: sent",
    "busiest controller: received",
    "busiest controller: messages sent",
    "busiest controller: messages received",
    "busiest controller: memory",
    "busiest controller: connections",
];
const LEAST_BUSY_CONTROLLER: Names = [
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

/// TCP only; peer sampling uses datagrams, which its component run counts.
fn usage_figures(names: Names, used: &Usage, span: f64, of: f64) -> Vec<Figure> {
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

/// Seconds; NaN if the limit was exceeded.
fn seconds(time: Option<Duration>) -> f64 {
    time.map_or(f64::NAN, |time| time.as_secs_f64())
}

/// Minimum, median and maximum of the present values, and the number of missing ones.
fn summary(name: [&'static str; 4], given: Vec<Option<Duration>>) -> Vec<Figure> {
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

/// Runs all parts; an error is a message of one line.
pub async fn run(plan: Plan) -> Result<Vec<Figure>, String> {
    let deployed = Deployed::open(plan.clone()).await?;
    let first = deployed.change(1, STARTUP_LIMIT).await?;
    if first.accepted.is_none() {
        return Err("the first configuration was not taken".into());
    }
    let mut figures = vec![
        Figure::new("functions", plan.size.functions as f64, ""),
        Figure::new("controllers", plan.controllers as f64, ""),
        Figure::new("words of demand of a scheduler", plan.reports, "/s"),
        Figure::new("starts asked for", plan.starts, "/s"),
        Figure::new("first configuration taken", seconds(first.accepted), "s"),
        Figure::new("first configuration at all hollow ones", seconds(first.all), "s"),
        Figure::new("first configuration at real agents", seconds(first.real), "s"),
    ];
    sleep(SETTLING_PAUSE).await;
    figures.extend(deployed.measure("between changes").await);
    let mut changes = Vec::new();
    for revision in 2..2 + plan.changes {
        changes.push(deployed.change(revision, PROPAGATION_LIMIT).await?);
        sleep(PAUSE).await;
    }
    let times = |which: fn(&Change) -> Option<Duration>| changes.iter().map(which).collect::<Vec<_>>();
    let names =
        ["change taken, least", "change taken, median", "change taken, most", "change taken, not in 30 s"];
    figures.extend(summary(names, times(|change| change.accepted)));
    let names = [
        "change at real agents, least",
        "change at real agents, median",
        "change at real agents, most",
        "change at real agents, not in 30 s",
    ];
    figures.extend(summary(names, times(|change| change.real)));
    let names = [
        "change at all hollow, least",
        "change at all hollow, median",
        "change at all hollow, most",
        "change at all hollow, not in 30 s",
    ];
    figures.extend(summary(names, times(|change| change.all)));
    figures.push(Figure::new("a controller's disk", deployed.processes.disk(&controller(0)) as f64, "B"));
    for (kind, (frames, bytes)) in lock(&deployed.received).frames() {
        figures.push(Figure::new(kind, bytes as f64 / frames.max(1) as f64, "B a frame to a proxy"));
        figures.push(Figure::new(kind, frames as f64 / plan.size.schedulers as f64, "frames to a proxy"));
    }
    Ok(figures)
}
