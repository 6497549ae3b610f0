//! Cold starts: real controllers, agents and proxies, and successive calls of functions that have no
//! instance. Each call's latency is broken down by the platform's events: until the start is requested, the
//! start itself, and from there until the client has its response.

use crate::configuration;
use crate::processes::{Deployment, Ports, Processes, Role};
use crate::report::Figure;
use crate::{Size, ZONES};
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tindock_mock_services::clients::{Class, Clients, Outcome, ProxyAddress, ProxySelector};
use tindock_mock_services::ledger::Ledger;
use tindock_mock_services::loopback::Net;
use tindock_mock_services::operator::Operator;
use tindock_mock_services::platform::{Function, Host, Options, Platform};
use tokio::time::sleep;

const CONTROLLERS: usize = 3;
/// Time limit for the system to come up and serve the first function.
const STARTUP_LIMIT: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_secs(8);
/// Interval at which the platform is polled during a call.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(137);
const HOST_MEMORY: u32 = 65_536;

/// Parameters of the run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub program: PathBuf,
    pub calls: usize,
    /// Mean duration of an instance's start.
    pub boot: Duration,
}

/// One cold call; times are relative to the client's request.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// The platform received the request for a start.
    requested: Duration,
    /// The instance accepted connections.
    ready: Duration,
    answered: Duration,
}

/// A phase of a call, with the names of its median, 90th percentile and maximum.
struct Step {
    names: [&'static str; 3],
    duration: fn(&Call) -> Duration,
}

struct Deployed {
    functions: Vec<Function>,
    clients: Arc<Clients>,
    platform: Platform,
    _processes: Processes,
}

fn class(number: usize, function: &Function) -> Class {
    Class {
        name: function.name.clone(),
        method: "GET".into(),
        hostname: configuration::hostname(number),
        path: format!("/{}/", function.name),
        service: function.name.clone(),
        repeatable: true,
        share: 1.0,
        target_latency: DEADLINE,
        deadline: DEADLINE,
        work: Duration::ZERO,
        answer_bytes: 600,
        body_bytes: 0,
    }
}

impl Deployed {
    async fn open(plan: &Plan) -> Result<Deployed, String> {
        let net = Net::free(std::process::id()).map_err(|cause| format!("no free addresses: {cause}"))?;
        let function = |number| Function { boot: plan.boot, ..configuration::function(number) };
        let functions: Vec<Function> = (0..=plan.calls).map(function).collect();
        let host = |number: usize| Host {
            name: format!("w-{number}"),
            zone: Size::zone(number).to_string(),
            ip: net.host(number),
            memory_mb: HOST_MEMORY,
        };
        let ledger = Ledger::default();
        let hosts = (0..ZONES.len()).map(host).collect();
        let options = Options::new(net.provider(), functions.clone(), hosts);
        let platform = Platform::start(options, ledger.clone()).await.map_err(|cause| cause.to_string())?;
        let controllers: Vec<Ipv4Addr> = (0..CONTROLLERS).map(|number| net.core(number)).collect();
        let ports = Ports::of(&net);
        let deployment = Deployment {
            program: plan.program.clone(),
            folder: std::env::temp_dir().join(format!("tindock-scale-run-{}", std::process::id())),
            controllers: controllers.clone(),
            ports,
            platform: net.provider(),
        };
        let mut processes = Processes::new(deployment).map_err(|cause| cause.to_string())?;
        for (number, ip) in controllers.iter().enumerate() {
            let name = format!("controller-{number}");
            processes
                .start(Role::Controller, &name, *ip, Size::zone(number))
                .map_err(|cause| cause.to_string())?;
        }
        let mut entry_points = Vec::new();
        for (number, (zone, _)) in ZONES.iter().enumerate() {
            let (ip, name) = (net.edge(number), format!("edge-{number}"));
            for role in [Role::Agent, Role::Proxy] {
                processes.start(role, &name, ip, zone).map_err(|cause| cause.to_string())?;
            }
            entry_points.push(ProxyAddress {
                zone: zone.to_string(),
                data_plane: (ip, ports.data_plane).into(),
                readiness: (ip, ports.readiness).into(),
            });
        }
        let operator = Operator {
            controllers: controllers.iter().map(|ip| (*ip, ports.control_plane).into()).collect(),
            first: 0,
        };
        let text = configuration::text_of(1, &functions);
        operator
            .replace(&text, STARTUP_LIMIT)
            .await
            .map_err(|cause| format!("the configuration: {cause}"))?;
        let zones: Vec<String> = ZONES.iter().map(|(zone, _)| zone.to_string()).collect();
        let clients = Clients::new(ProxySelector::new(entry_points), ledger, &zones, zones.len(), 1);
        Ok(Deployed { functions, clients, platform, _processes: processes })
    }

    /// Waits until the system serves requests.
    async fn wait_until_serving(&self) -> Result<(), String> {
        let (class, began) = (class(0, &self.functions[0]), Instant::now());
        for number in 0.. {
            let (outcome, ..) = self.clients.request(&class, number, 0, false).await;
            if matches!(outcome, Outcome::OnTime | Outcome::Late) {
                return Ok(());
            }
            if began.elapsed() > STARTUP_LIMIT {
                break;
            }
            sleep(PAUSE).await;
        }
        Err("no request was served in time".into())
    }

    /// One cold call of a function; `None` if it was not served at the first attempt, or was not cold.
    async fn call(&self, number: usize) -> Option<Call> {
        let function = self.functions.get(number)?;
        let class = class(number, function);
        let began = Instant::now();
        let request = self.clients.request(&class, 1000 * number as u64, number, false);
        let (mut requested, mut ready) = (None, None);
        tokio::pin!(request);
        loop {
            tokio::select! {
                biased;
                (outcome, answered, tries) = &mut request => {
                    let served = matches!(outcome, Outcome::OnTime | Outcome::Late) && tries == 1;
                    return served.then_some(Call { requested: requested?, ready: ready?, answered });
                }
                () = sleep(POLL_INTERVAL) => {
                    let instances = self.platform.instances();
                    for instance in instances.iter().filter(|instance| instance.service == function.name) {
                        requested.get_or_insert_with(|| began.elapsed());
                        if instance.ready {
                            ready.get_or_insert_with(|| began.elapsed());
                        }
                    }
                }
            }
        }
    }
}

/// Runs the calls; an error is a message of one line.
pub async fn run(plan: Plan) -> Result<Vec<Figure>, String> {
    let deployed = Deployed::open(&plan).await?;
    deployed.wait_until_serving().await?;
    let mut calls = Vec::new();
    for number in 1..=plan.calls {
        calls.extend(deployed.call(number).await);
        sleep(PAUSE).await;
    }
    let mut figures = vec![
        Figure::new("boot, mean", plan.boot.as_secs_f64(), "s"),
        Figure::new("cold calls", plan.calls as f64, ""),
        Figure::new("served at the first try", calls.len() as f64, ""),
    ];
    let steps = [
        Step {
            names: ["asked for a start, median", "asked for a start, 9 in 10", "asked for a start, most"],
            duration: |call| call.requested,
        },
        Step {
            names: ["start, median", "start, 9 in 10", "start, most"],
            duration: |call| call.ready.saturating_sub(call.requested),
        },
        Step {
            names: ["ready to answer, median", "ready to answer, 9 in 10", "ready to answer, most"],
            duration: |call| call.answered.saturating_sub(call.ready),
        },
        Step {
            names: ["whole call, median", "whole call, 9 in 10", "whole call, most"],
            duration: |call| call.answered,
        },
    ];
    for step in steps {
        let mut times: Vec<Duration> = calls.iter().map(step.duration).collect();
        times.sort();
        for (name, share) in step.names.into_iter().zip([0.5, 0.9, 1.0]) {
            let at = (times.len().saturating_sub(1) as f64 * share).round() as usize;
            figures.push(Figure::new(name, times.get(at).map_or(f64::NAN, Duration::as_secs_f64), "s"));
        }
    }
    Ok(figures)
}
