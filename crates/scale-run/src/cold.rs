//! Cold starts: real controllers, agents and proxies, and calls of functions that have no instance, one after the other.
//! Each call is taken apart at what the platform sees: until the start is asked for, the start itself, and from there until
//! the client has its answer.

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
/// The first function is called until it is served.
const COMING_UP: Duration = Duration::from_secs(30);
const DEADLINE: Duration = Duration::from_secs(8);
/// How often the platform is looked at while a call is under way.
const LOOK: Duration = Duration::from_millis(1);
/// Between two calls.
const BETWEEN: Duration = Duration::from_millis(137);
const HOST_MEMORY: u32 = 65_536;

/// What is to be run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub program: PathBuf,
    pub calls: usize,
    /// The mean of a start.
    pub boot: Duration,
}

/// One cold call, from when the client sent it.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// The platform was asked for a start.
    asked: Duration,
    /// The instance took connections.
    ready: Duration,
    answered: Duration,
}

/// A part of a call, with the names of its median, of what 9 in 10 stay within, and of the most.
struct Step {
    names: [&'static str; 3],
    took: fn(&Call) -> Duration,
}

struct Stage {
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

impl Stage {
    async fn open(plan: &Plan) -> Result<Stage, String> {
        let net = Net::free(std::process::id()).map_err(|why| format!("no free addresses: {why}"))?;
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
        let offered = Options::new(net.provider(), functions.clone(), hosts);
        let platform = Platform::start(offered, ledger.clone()).await.map_err(|why| why.to_string())?;
        let controllers: Vec<Ipv4Addr> = (0..CONTROLLERS).map(|number| net.core(number)).collect();
        let ports = Ports::of(&net);
        let deployment = Deployment {
            program: plan.program.clone(),
            folder: std::env::temp_dir().join(format!("tindock-scale-run-{}", std::process::id())),
            controllers: controllers.clone(),
            ports,
            platform: net.provider(),
        };
        let mut processes = Processes::new(deployment).map_err(|why| why.to_string())?;
        for (number, ip) in controllers.iter().enumerate() {
            let name = format!("controller-{number}");
            processes
                .start(Role::Controller, &name, *ip, Size::zone(number))
                .map_err(|why| why.to_string())?;
        }
        let mut doors = Vec::new();
        for (number, (zone, _)) in ZONES.iter().enumerate() {
            let (ip, name) = (net.edge(number), format!("edge-{number}"));
            for role in [Role::Agent, Role::Proxy] {
                processes.start(role, &name, ip, zone).map_err(|why| why.to_string())?;
            }
            doors.push(ProxyAddress {
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
        operator.replace(&text, COMING_UP).await.map_err(|why| format!("the configuration: {why}"))?;
        let zones: Vec<String> = ZONES.iter().map(|(zone, _)| zone.to_string()).collect();
        let clients = Clients::new(ProxySelector::new(doors), ledger, &zones, zones.len(), 1);
        Ok(Stage { functions, clients, platform, _processes: processes })
    }

    /// Until the system serves at all.
    async fn up(&self) -> Result<(), String> {
        let (class, began) = (class(0, &self.functions[0]), Instant::now());
        for number in 0.. {
            let (outcome, ..) = self.clients.request(&class, number, 0, false).await;
            if matches!(outcome, Outcome::OnTime | Outcome::Late) {
                return Ok(());
            }
            if began.elapsed() > COMING_UP {
                break;
            }
            sleep(BETWEEN).await;
        }
        Err("no request was served in time".into())
    }

    /// One cold call of a function; None where it was not served at the first try, or was not cold.
    async fn call(&self, number: usize) -> Option<Call> {
        let function = self.functions.get(number)?;
        let class = class(number, function);
        let began = Instant::now();
        let request = self.clients.request(&class, 1000 * number as u64, number, false);
        let (mut asked, mut ready) = (None, None);
        tokio::pin!(request);
        loop {
            tokio::select! {
                biased;
                (outcome, answered, tries) = &mut request => {
                    let served = matches!(outcome, Outcome::OnTime | Outcome::Late) && tries == 1;
                    return served.then_some(Call { asked: asked?, ready: ready?, answered });
                }
                () = sleep(LOOK) => {
                    let instances = self.platform.instances();
                    for instance in instances.iter().filter(|instance| instance.service == function.name) {
                        asked.get_or_insert_with(|| began.elapsed());
                        if instance.ready {
                            ready.get_or_insert_with(|| began.elapsed());
                        }
                    }
                }
            }
        }
    }
}

/// Runs the calls; one line for what went wrong.
pub async fn run(plan: Plan) -> Result<Vec<Figure>, String> {
    let stage = Stage::open(&plan).await?;
    stage.up().await?;
    let mut calls = Vec::new();
    for number in 1..=plan.calls {
        calls.extend(stage.call(number).await);
        sleep(BETWEEN).await;
    }
    let mut figures = vec![
        Figure::new("boot, mean", plan.boot.as_secs_f64(), "s"),
        Figure::new("cold calls", plan.calls as f64, ""),
        Figure::new("served at the first try", calls.len() as f64, ""),
    ];
    let steps = [
        Step {
            names: ["asked for a start, median", "asked for a start, 9 in 10", "asked for a start, most"],
            took: |call| call.asked,
        },
        Step {
            names: ["start, median", "start, 9 in 10", "start, most"],
            took: |call| call.ready.saturating_sub(call.asked),
        },
        Step {
            names: ["ready to answer, median", "ready to answer, 9 in 10", "ready to answer, most"],
            took: |call| call.answered.saturating_sub(call.ready),
        },
        Step {
            names: ["whole call, median", "whole call, 9 in 10", "whole call, most"],
            took: |call| call.answered,
        },
    ];
    for step in steps {
        let mut times: Vec<Duration> = calls.iter().map(step.took).collect();
        times.sort();
        for (name, share) in step.names.into_iter().zip([0.5, 0.9, 1.0]) {
            let at = (times.len().saturating_sub(1) as f64 * share).round() as usize;
            figures.push(Figure::new(name, times.get(at).map_or(f64::NAN, Duration::as_secs_f64), "s"));
        }
    }
    Ok(figures)
}
