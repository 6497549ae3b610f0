//! Controllers as processes, with the mock platform; agents and proxies on request.

use crate::configuration::{text, variant_path, HOST};
use crate::operator::{replace, show, show_within, ReplaceAnswer, ShowAnswer};
use crate::{CONTACT_TIMEOUT, POLL_INTERVAL};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tindock_mock_services::clients::{ready, Clients, ProxyAddress, ProxySelector};
use tindock_mock_services::demo;
use tindock_mock_services::fleet::{self, Fleet, FleetConfig, Role};
use tindock_mock_services::ledger::Ledger;
use tindock_mock_services::loopback::Net;
use tindock_mock_services::platform::{self, Host, Platform};
use tindock_mock_services::wire::{call, request};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

const ZONES: [&str; 3] = ["north", "east", "west"];
const HOSTS: usize = 6;
const HOST_MEMORY_MB: u32 = 4096;
/// Upper bound for any expected event; tighter deadlines are asserted by the tests themselves.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of processes.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub controllers: usize,
    /// Edge machines in each of the three zones, each with an agent and a proxy.
    pub edges: usize,
}

/// Failure to start the cluster, or to reach an expected state.
#[derive(Debug)]
pub enum ClusterError {
    Address(io::Error),
    Folder(PathBuf, io::Error),
    Fleet(fleet::Fault),
    Platform(platform::Fault),
    Connection(io::Error),
    /// Describes the expected event.
    TimedOut(String),
}

impl fmt::Display for ClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClusterError::Address(cause) => write!(f, "no free addresses under 127.0.0.0/8: {cause}"),
            ClusterError::Folder(path, cause) => write!(f, "{}: {cause}", path.display()),
            ClusterError::Fleet(cause) => write!(f, "{cause}"),
            ClusterError::Platform(cause) => write!(f, "the mock platform: {cause}"),
            ClusterError::Connection(cause) => write!(f, "a connection to a controller: {cause}"),
            ClusterError::TimedOut(what) => write!(f, "timed out: {what}"),
        }
    }
}

impl From<fleet::Fault> for ClusterError {
    fn from(cause: fleet::Fault) -> ClusterError {
        ClusterError::Fleet(cause)
    }
}

impl From<platform::Fault> for ClusterError {
    fn from(cause: platform::Fault) -> ClusterError {
        ClusterError::Platform(cause)
    }
}

impl From<io::Error> for ClusterError {
    fn from(cause: io::Error) -> ClusterError {
        ClusterError::Connection(cause)
    }
}

/// Polls until there is a result, or `within` has passed.
pub async fn wait_until<T, F: Future<Output = Option<T>>>(
    what: &str,
    within: Duration,
    mut poll: impl FnMut() -> F,
) -> Result<T, ClusterError> {
    let end = Instant::now() + within;
    loop {
        if let Some(found) = poll().await {
            return Ok(found);
        }
        if Instant::now() > end {
            return Err(ClusterError::TimedOut(what.to_string()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Last lines of a controller's log that are included in the diagnostics of a failed test.
const DIAGNOSTIC_LOG_LINES: usize = 20;
/// No usual system has a longer accept queue.
const MAX_QUEUE_LENGTH: usize = 5000;
/// A loopback connection that takes this long has met a full accept queue.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(300);

/// Short, since a starting controller may not reach any other yet.
const STARTUP_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections that occupy an accept queue until this is dropped.
pub struct FullAcceptQueue {
    _connections: Vec<TcpStream>,
}

const EDGE_PROCESSES: [Role; 2] = [Role::Agent, Role::Proxy];
/// A proxy answers a probe within this time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// A machine with an agent and a proxy.
#[derive(Debug, Clone)]
pub struct Edge {
    pub machine: String,
    endpoints: ProxyAddress,
}

impl Edge {
    /// Whether the proxy's readiness probe succeeds.
    pub async fn is_ready(&self) -> bool {
        ready(self.endpoints.readiness).await
    }

    /// The status of the proxy's response on the route that only this variant of a configuration has.
    pub async fn status_of(&self, variant: u32) -> Option<u16> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let target = format!("{}probe", variant_path(variant));
        let headers = [("Host", HOST), ("Attempt-Id", &id), ("Deadline-Ms", "1500")];
        let bytes = request("GET", &target, &headers, b"");
        call(self.endpoints.data_plane, PROBE_TIMEOUT, &bytes, "GET").await.map(|answer| answer.status)
    }

    /// Whether the proxy serves this variant and none of the others.
    pub async fn serves_only(&self, variant: u32, others: &[u32]) -> bool {
        for &other in others {
            if self.status_of(other).await != Some(404) {
                return false;
            }
        }
        matches!(self.status_of(variant).await, Some(200))
    }
}

/// The processes; all are ended when this is dropped.
pub struct Cluster {
    pub fleet: Fleet,
    pub platform: Platform,
    pub ledger: Ledger,
    /// Names of the controllers' machines, including replaced ones.
    names: Vec<String>,
}

impl Cluster {
    /// Starts the processes with empty disks and waits until revision 1 is confirmed.
    pub async fn start(program: &str, size: Size) -> Result<Cluster, ClusterError> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let seed = std::process::id() + (NEXT.fetch_add(1, Ordering::Relaxed) << 16);
        let net = Net::free(seed).map_err(ClusterError::Address)?;
        let zones: Vec<String> = ZONES.iter().map(|zone| zone.to_string()).collect();
        let host = |n: usize| Host {
            name: format!("w-{}", n + 1),
            zone: zones[n % zones.len()].clone(),
            ip: net.host(n),
            memory_mb: HOST_MEMORY_MB,
        };
        let hosts = (0..HOSTS).map(host).collect();
        let options = platform::Options::new(net.provider(), demo::functions(), hosts);
        let plan = FleetConfig {
            program: program.into(),
            folder: demo::folder_under(std::env::temp_dir())
                .map_err(|(path, cause)| ClusterError::Folder(path, cause))?,
            zones,
            edges: size.edges,
            cores: size.controllers,
            grace: Duration::from_secs(2),
            drain: options.drain,
            rate_per_s: options.rate_per_s,
            duty_rate_s: options.duty_rate_s,
            max_lag: options.max_lag,
            restart_after: None,
        };
        let ledger = Ledger::default();
        let provider = net.provider();
        let platform = Platform::start(options, ledger.clone()).await?;
        let fleet = Fleet::start(plan, net, provider)?;
        let names = fleet.machines(Role::Controller);
        let cluster = Cluster { fleet, platform, ledger, names };
        cluster.submit_confirmed(&[0], &text(1, 0)).await?;
        Ok(cluster)
    }

    /// The operator address of a controller.
    pub fn address(&self, controller: usize) -> SocketAddr {
        self.fleet.controller(&self.names[controller]).expect("a controller of this cluster")
    }

    /// The controller that runs on this machine.
    pub fn controller_on(&self, machine: &str) -> Option<usize> {
        self.names.iter().position(|name| name == machine)
    }

    /// Sends SIGKILL; returns when the controller has ended.
    pub async fn kill(&self, controller: usize) -> Result<(), ClusterError> {
        self.fleet.kill(&self.names[controller], Role::Controller);
        self.wait_for_end(controller).await
    }

    /// Sends SIGTERM; returns when the controller has ended by itself.
    pub async fn terminate(&self, controller: usize) -> Result<(), ClusterError> {
        self.fleet.terminate(&self.names[controller], Role::Controller);
        self.wait_for_end(controller).await
    }

    async fn wait_for_end(&self, controller: usize) -> Result<(), ClusterError> {
        let name = &self.names[controller];
        wait_until(&format!("{name} ends"), STEP_TIMEOUT, || async {
            (!self.fleet.is_running(name, Role::Controller)).then_some(())
        })
        .await
    }

    /// Sends SIGSTOP: the controller is silent, its connections stay open.
    pub fn freeze(&self, controller: usize) {
        assert!(self.fleet.freeze(&self.names[controller], Role::Controller), "{controller} runs");
    }

    /// Sends SIGCONT.
    pub fn resume(&self, controller: usize) {
        assert!(self.fleet.resume(&self.names[controller], Role::Controller), "{controller} runs");
    }

    /// Fills the accept queue of a frozen controller: nobody else can connect to it until it resumes, so it
    /// receives nothing from controllers started meanwhile. (Data on open connections would be delivered when
    /// it resumes.)
    pub async fn fill_accept_queue(&self, controller: usize) -> Result<FullAcceptQueue, ClusterError> {
        let at = self.fleet.peer_port(&self.names[controller]).expect("a controller of this cluster");
        let mut connections = Vec::new();
        while connections.len() < MAX_QUEUE_LENGTH {
            match timeout(FULL_QUEUE_TIMEOUT, TcpStream::connect(at)).await {
                Ok(connection) => connections.push(connection?),
                Err(_) => return Ok(FullAcceptQueue { _connections: connections }),
            }
        }
        Err(ClusterError::TimedOut(format!(
            "the accept queue of {at} is not full after {MAX_QUEUE_LENGTH} connections"
        )))
    }

    /// Freezes a controller and restarts all others while nobody can connect to it: when it resumes, it has
    /// no message of what they did since, not even a late one. Returns when the others show a text again.
    pub async fn make_stale(&self, controller: usize) -> Result<FullAcceptQueue, ClusterError> {
        self.freeze(controller);
        let queue = self.fill_accept_queue(controller).await?;
        let others = (0..self.names.len()).filter(|other| *other != controller);
        for other in others {
            self.kill(other).await?;
            self.restart(other)?;
            wait_until("a restarted controller shows a text", STEP_TIMEOUT, || async {
                matches!(show_within(self.address(other), STARTUP_CALL_TIMEOUT).await, ShowAnswer::Text(_))
                    .then_some(())
            })
            .await?;
        }
        Ok(queue)
    }

    /// Restarts a controller that has ended, with its disk unchanged.
    pub fn restart(&self, controller: usize) -> Result<(), ClusterError> {
        assert!(self.fleet.restart(&self.names[controller], Role::Controller)?, "{controller} has ended");
        Ok(())
    }

    /// The same with an empty disk.
    pub fn restart_empty(&self, controller: usize) -> Result<(), ClusterError> {
        self.fleet.empty_disk(&self.names[controller])?;
        self.restart(controller)
    }

    /// Removes a controller that has ended and starts an empty one at another address; returns its number.
    pub fn replace_by_new(&mut self, controller: usize) -> Result<usize, ClusterError> {
        self.fleet.remove(&self.names[controller]);
        self.names.push(self.fleet.add_core()?);
        Ok(self.names.len() - 1)
    }

    /// Sends a text to these controllers in turn until one gives a definitive answer.
    pub async fn submit(&self, controllers: &[usize], text: &str) -> Result<ReplaceAnswer, ClusterError> {
        let mut attempt = 0;
        wait_until("a definitive answer to an update", STEP_TIMEOUT, || {
            let at = self.address(controllers[attempt % controllers.len()]);
            attempt += 1;
            async move { Some(replace(at, text).await).filter(ReplaceAnswer::is_definitive) }
        })
        .await
    }

    /// The same; panics unless the answer is a confirmation.
    pub async fn submit_confirmed(&self, controllers: &[usize], text: &str) -> Result<(), ClusterError> {
        let answer = self.submit(controllers, text).await?;
        assert_eq!(answer, ReplaceAnswer::Confirmed, "to an update without competitors");
        Ok(())
    }

    /// The first text that a controller shows within the time for which operators retry.
    pub async fn shown_by(&self, controller: usize) -> Result<String, ClusterError> {
        let (at, end) = (self.address(controller), Instant::now() + CONTACT_TIMEOUT);
        loop {
            match show(at).await {
                ShowAnswer::Text(text) => return Ok(text),
                answer if Instant::now() > end => {
                    let name = &self.names[controller];
                    let what = format!("{name} shows no text, its last answer is {answer:?}");
                    return Err(ClusterError::TimedOut(format!("{what}\n{}", self.diagnostics())));
                }
                _ => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// The actions on the processes and the ends of the controllers' logs, for the message of a failed test.
    pub fn diagnostics(&self) -> String {
        let now = Instant::now();
        let mut lines = Vec::new();
        for (at, what) in self.fleet.events() {
            lines.push(format!("{:.3} s ago: {what}", now.saturating_duration_since(at).as_secs_f64()));
        }
        for name in &self.names {
            let log = self.fleet.log(name, Role::Controller);
            let from = log.lines().count().saturating_sub(DIAGNOSTIC_LOG_LINES);
            lines.extend(log.lines().skip(from).map(|line| format!("{name}: {line}")));
        }
        lines.join("\n")
    }

    /// Asserts that the first text that each of these controllers shows is this one.
    pub async fn assert_all_show(&self, controllers: &[usize], text: &str) -> Result<(), ClusterError> {
        for &controller in controllers {
            assert_eq!(self.shown_by(controller).await?, text, "shown by {}", self.names[controller]);
        }
        Ok(())
    }

    /// Machines that have an agent and a proxy.
    pub fn edges(&self) -> Vec<Edge> {
        let machines = self.fleet.machines(Role::Proxy);
        let edge = |(machine, endpoints): (String, ProxyAddress)| Edge { machine, endpoints };
        machines.into_iter().zip(self.fleet.proxies()).map(edge).collect()
    }

    /// Sends SIGKILL to the agent and the proxy of a machine; returns when both have ended.
    pub async fn kill_edge(&self, edge: &Edge) -> Result<(), ClusterError> {
        for role in EDGE_PROCESSES {
            self.fleet.kill(&edge.machine, role);
            wait_until(&format!("{} ends", edge.machine), STEP_TIMEOUT, || async {
                (!self.fleet.is_running(&edge.machine, role)).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Starts both again.
    pub fn restart_edge(&self, edge: &Edge) -> Result<(), ClusterError> {
        for role in EDGE_PROCESSES {
            assert!(self.fleet.restart(&edge.machine, role)?, "{} has ended", edge.machine);
        }
        Ok(())
    }

    /// Sends SIGSTOP to both.
    pub fn freeze_edge(&self, edge: &Edge) {
        for role in EDGE_PROCESSES {
            assert!(self.fleet.freeze(&edge.machine, role), "{} runs", edge.machine);
        }
    }

    /// Sends SIGCONT to both.
    pub fn resume_edge(&self, edge: &Edge) {
        for role in EDGE_PROCESSES {
            assert!(self.fleet.resume(&edge.machine, role), "{} runs", edge.machine);
        }
    }

    /// Clients of the proxies.
    pub fn clients(&self, users: usize, seed: u64) -> Arc<Clients> {
        let zones: Vec<String> = ZONES.iter().map(|zone| zone.to_string()).collect();
        Clients::new(ProxySelector::new(self.fleet.proxies()), self.ledger.clone(), &zones, users, seed)
    }
}
