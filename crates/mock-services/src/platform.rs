//! The mock platform: the list of instances, the worker hosts, starts and stops, and the workers themselves.
//! Calls are HTTP/1.1 on one address; each worker listens on its own address.
//!
//! Its lists show the state of `max_lag` ago; starts and stops take effect at once. Faults are injected by a
//! method or by a call (`POST /standin/crash-host?name=w-1`; see [`InjectedFault::read`]). The platform and
//! its workers run until it is dropped.

use crate::ledger::Ledger;
use crate::wire::{read_request, response, Request};
use crate::workers::{self, WorkerConfig, WorkerContext, WorkerState};
use nanoserde::{DeJson, SerJson};
use std::collections::HashMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

const MAX_NONCE_BYTES: usize = 64;
/// A crashed worker stays on the list for this long.
const CRASHED_LISTED_FOR: Duration = Duration::from_secs(3);
/// A draining worker continues to serve for the lag of the lists, `drain` and this.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);
const WORKER_PORTS: std::ops::Range<u16> = 24_000..30_000;
const MAX_CONNECTIONS: usize = 256;

/// A function as the platform has it.
#[derive(Debug, Clone)]
pub struct Function {
    pub name: String,
    pub memory_mb: u32,
    /// The mean time of a start; each takes 0.7 to 1.3 of it.
    pub boot: Duration,
    pub max_inflight: usize,
    pub max_concurrency: usize,
    /// The mean processing time of a request without the header `Standin-Work-Ms`.
    pub work: Duration,
    /// For this long after its start, a worker runs at two thirds of its speed.
    pub cold: Duration,
}

/// A machine that runs workers.
#[derive(Debug, Clone)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub memory_mb: u32,
}

#[derive(Debug, Clone)]
pub struct Options {
    pub address: SocketAddr,
    pub functions: Vec<Function>,
    pub hosts: Vec<Host>,
    pub max_lag: Duration,
    /// Calls of the lists a second.
    pub rate_per_s: f64,
    /// Starts and stops a second.
    pub duty_rate_s: f64,
    pub drain: Duration,
    pub address_reuse: Duration,
    /// Workers close a connection that has been idle for this long.
    pub keep_alive: Duration,
    /// Entries on a page of the list.
    pub page: usize,
    pub seed: u64,
}

impl Options {
    /// The values of a typical deployment.
    pub fn new(address: SocketAddr, functions: Vec<Function>, hosts: Vec<Host>) -> Options {
        Options {
            address,
            functions,
            hosts,
            max_lag: Duration::from_millis(400),
            rate_per_s: 26.0,
            duty_rate_s: 150.0,
            drain: Duration::from_secs(3),
            address_reuse: Duration::from_secs(2),
            keep_alive: Duration::from_secs(5),
            page: 50,
            seed: 1,
        }
    }
}

/// A fault that can be injected.
#[derive(Debug, Clone, PartialEq)]
pub enum InjectedFault {
    /// A host crashes with its workers, and is up again, without workers, after this time.
    CrashHost(String, Duration),
    /// A host drains: its workers shut down gracefully; it is up again after this time.
    DrainHost(String, Duration),
    /// The lists lag by the first duration in addition, for the second one.
    LateList(Duration, Duration),
    /// This share of responses is lost: the request runs, then the connection is closed.
    LoseAnswers(f64),
    /// This share of responses is replaced by bytes that are not HTTP.
    Garble(f64),
}

impl InjectedFault {
    /// Parses the path and the query of a call; times are in seconds.
    pub fn read(name: &str, query: &str) -> Option<InjectedFault> {
        let field = |key: &str| {
            query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('=')).map(String::from)
        };
        let number = |key: &str, usual: f64| field(key).map_or(Some(usual), |text| text.parse::<f64>().ok());
        let seconds = |key: &str, usual| Duration::try_from_secs_f64(number(key, usual)?).ok();
        Some(match name {
            "crash-host" => InjectedFault::CrashHost(field("name")?, seconds("back", 5.0)?),
            "drain-host" => InjectedFault::DrainHost(field("name")?, seconds("back", 10.0)?),
            "late-list" => InjectedFault::LateList(seconds("by", 3.0)?, seconds("for", 5.0)?),
            "lose-answers" => InjectedFault::LoseAnswers(number("share", 0.1)?),
            "garble" => InjectedFault::Garble(number("share", 0.1)?),
            _ => return None,
        })
    }
}

/// Counts of calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub lists: usize,
    pub started: usize,
    pub stopped: usize,
    /// Starts refused for lack of free capacity on their host.
    pub no_room: usize,
    pub over_rate: usize,
    /// Starts and stops under a `Fence-Token` lower than one seen before.
    pub stale: usize,
    /// Requests that workers refused because they were full.
    pub full: usize,
}

/// The current state of an instance.
#[derive(Debug, Clone)]
pub struct InstanceView {
    pub instance_id: String,
    pub service: String,
    pub address: SocketAddr,
    pub host: String,
    pub ready: bool,
    pub ended: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostState {
    Up,
    Draining,
    Down,
}

struct Machine {
    host: Host,
    state_changes: Vec<(Instant, HostState)>,
    next_port: u16,
    free_ports: Vec<(Instant, u16)>,
}

impl Machine {
    fn state(&self, at: Instant) -> HostState {
        self.state_changes
            .iter()
            .rev()
            .find(|(when, _)| *when <= at)
            .map_or(HostState::Up, |(_, state)| *state)
    }
}

struct Instance {
    id: String,
    function: usize,
    host: usize,
    address: SocketAddr,
    started: Instant,
    ready: Option<Instant>,
    draining: Option<Instant>,
    /// It has completed its requests, and its memory is free.
    ended: Option<Instant>,
    /// It is removed from the list.
    unlisted: Option<Instant>,
    state: watch::Sender<WorkerState>,
    task: Option<AbortHandle>,
}

/// A token bucket: `rate` calls a second, with a burst of one second's calls.
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, tokens: rate.max(1.0), refilled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        (self.tokens, self.refilled_at) = ((self.tokens + refill).min(self.rate.max(1.0)), now);
        let is_allowed = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_allowed));
        is_allowed
    }
}

struct State {
    options: Options,
    machines: Vec<Machine>,
    instances: Vec<Instance>,
    /// Instances by function and nonce.
    nonces: HashMap<(usize, String), usize>,
    list_calls: Bucket,
    start_calls: Bucket,
    /// Additional lag of the lists, and its end.
    extra_lag: Option<(Duration, Instant)>,
    /// The highest `Fence-Token` seen, and the `Duty-Holder` that sent it.
    fence: (u64, Option<String>),
    counts: Counts,
    rng: oorandom::Rand64,
}

struct Shared {
    state: Mutex<State>,
    context: WorkerContext,
}

/// The running platform.
pub struct Platform {
    shared: Arc<Shared>,
    server: AbortHandle,
    address: SocketAddr,
}

#[derive(Debug)]
pub enum Fault {
    Address(SocketAddr, std::io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Address(at, why) => write!(f, "{at}: {why}"),
        }
    }
}

#[derive(SerJson)]
struct ShownInstance {
    instance_id: String,
    service: String,
    address: String,
    zone: String,
    revision: String,
    slots: usize,
    oper_state: String,
    cold_remaining_ms: u64,
    worker_id: String,
}

#[derive(SerJson)]
struct ShownList {
    instances: Vec<ShownInstance>,
    next_token: Option<String>,
}

#[derive(SerJson)]
struct ShownHost {
    name: String,
    zone: String,
    memory_mb: u32,
    free_memory_mb: u32,
    oper_state: String,
}

#[derive(SerJson)]
struct ShownPool {
    worker_pool: Vec<ShownHost>,
}

#[derive(DeJson)]
struct Begin {
    service: String,
    worker_id: String,
    request_nonce: String,
}

#[derive(DeJson)]
struct Stop {
    instance_id: String,
}

#[derive(SerJson)]
struct Begun {
    instance_id: String,
    address: String,
}

/// A status and a body.
type Reply = (u16, String);

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// Starts to listen; workers record the requests that they run in the ledger.
    pub async fn start(options: Options, ledger: Ledger) -> Result<Platform, Fault> {
        let fault = |why| Fault::Address(options.address, why);
        let listener = TcpListener::bind(options.address).await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let machines = options.hosts.iter().map(|host| Machine {
            host: host.clone(),
            state_changes: Vec::new(),
            next_port: WORKER_PORTS.start,
            free_ports: Vec::new(),
        });
        let state = State {
            machines: machines.collect(),
            instances: Vec::new(),
            nonces: HashMap::new(),
            list_calls: Bucket::new(options.rate_per_s),
            start_calls: Bucket::new(options.duty_rate_s),
            extra_lag: None,
            fence: (0, None),
            counts: Counts::default(),
            rng: oorandom::Rand64::new(options.seed.into()),
            options,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), context: WorkerContext::new(ledger) });
        let server = tokio::spawn(serve(listener, shared.clone())).abort_handle();
        Ok(Platform { shared, server, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// The node that last started or stopped a worker, as it names itself in `Duty-Holder`.
    pub fn lease_holder(&self) -> Option<String> {
        self.shared.state().fence.1.clone()
    }

    pub fn instances(&self) -> Vec<InstanceView> {
        let state = self.shared.state();
        let seen = |i: &Instance| InstanceView {
            instance_id: i.id.clone(),
            service: state.options.functions[i.function].name.clone(),
            address: i.address,
            host: state.machines[i.host].host.name.clone(),
            ready: i.ready.is_some(),
            ended: i.ended.is_some(),
        };
        state.instances.iter().map(seen).collect()
    }

    /// Injects a fault. False if it names a host that does not exist or is not up.
    pub fn inject(&self, fault: InjectedFault) -> bool {
        self.shared.inject(fault)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
        for instance in &mut self.shared.state().instances {
            instance.state.send_replace(WorkerState::Crashed);
            if let Some(task) = instance.task.take() {
                task.abort();
            }
        }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    // Aborts all connections when this task is aborted.
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) if open.len() < MAX_CONNECTIONS => {
                let _ = stream.set_nodelay(true);
                open.spawn(connection(stream, shared.clone()));
            }
            Ok(_) => {}
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn connection(mut stream: TcpStream, shared: Arc<Shared>) {
    let mut buf = Vec::new();
    while let Ok(Ok(request)) = timeout(Duration::from_secs(30), read_request(&mut stream, &mut buf)).await {
        let (status, body) = shared.call(&request);
        let bytes = response(status, &[("Content-Type", "application/json")], body.as_bytes());
        if stream.write_all(&bytes).await.is_err() || request.headers.closes() {
            return;
        }
    }
}

fn error(status: u16, why: &str) -> Reply {
    (status, format!("{{\"error\":{}}}", why.to_string().serialize_json()))
}

impl Shared {
    fn call(self: &Arc<Self>, request: &Request) -> Reply {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        match (request.method.as_str(), path) {
            ("GET", "/instances") => self.state().shown_list(query),
            ("GET", "/v1/workers") => self.state().shown_hosts(),
            ("POST", "/v1/begin") => self.begin(request),
            ("POST", "/v1/stop") => self.stop(request),
            ("GET", "/standin") => (200, format!("{:?}\n", self.counts())),
            ("POST", path) if path.starts_with("/standin/") => {
                match InjectedFault::read(path.trim_start_matches("/standin/"), query) {
                    Some(fault) if self.inject(fault.clone()) => (200, format!("{fault:?}\n")),
                    Some(_) => error(409, "no such host, or it is not up"),
                    None => error(400, "no such fault, or a field is missing"),
                }
            }
            _ => error(404, "no such call"),
        }
    }

    fn counts(&self) -> Counts {
        Counts { full: self.context.full(), ..self.state().counts }
    }

    fn begin(self: &Arc<Self>, request: &Request) -> Reply {
        let mut state = self.state();
        if let Some(refusal) = state.check_start_call(request) {
            return refusal;
        }
        let text = String::from_utf8_lossy(&request.body);
        let Ok(Begin { service, worker_id: host, request_nonce: nonce }) = Begin::deserialize_json(&text)
        else {
            return error(400, "service, worker_id and request_nonce are needed");
        };
        let Some(function) = state.options.functions.iter().position(|f| f.name == service) else {
            return error(400, "no such service");
        };
        if nonce.is_empty() || nonce.len() > MAX_NONCE_BYTES {
            return error(400, "request_nonce must have 1 to 64 bytes");
        }
        if let Some(&number) = state.nonces.get(&(function, nonce.clone())) {
            return state.begun_reply(number);
        }
        let Some(index) = state.host_with_memory(&host, function) else {
            state.counts.no_room += 1;
            return error(409, "no such worker, it is not up, or it lacks memory");
        };
        let Some((socket, address)) = state.bind_port(index) else {
            state.counts.no_room += 1;
            return error(409, "no port is free on this worker");
        };
        let number = state.instances.len();
        let id = format!("i-{:08x}", state.rng.rand_u64() as u32);
        let (state_sender, worker_state) = watch::channel(WorkerState::Working);
        let function_config = state.options.functions[function].clone();
        let spread = 0.7 + 0.6 * state.rng.rand_float();
        let config = WorkerConfig {
            instance: id.clone(),
            boot: function_config.boot.mul_f64(spread),
            speed: 0.85 + 0.3 * state.rng.rand_float(),
            seed: state.rng.rand_u64(),
            keep_alive: state.options.keep_alive,
            function: function_config,
        };
        state.counts.started += 1;
        state.nonces.insert((function, nonce), number);
        state.instances.push(Instance {
            id,
            function,
            host: index,
            address,
            started: Instant::now(),
            ready: None,
            draining: None,
            ended: None,
            unlisted: None,
            state: state_sender,
            task: None,
        });
        let shared = Arc::downgrade(self);
        let context = self.context.clone();
        let task = tokio::spawn(async move {
            let up = || with(&shared, |shared| shared.state().instances[number].ready = Some(Instant::now()));
            workers::run(socket, config, context, worker_state, up).await;
            with(&shared, |shared| shared.state().record_end(number));
        });
        state.instances[number].task = Some(task.abort_handle());
        state.begun_reply(number)
    }

    fn stop(&self, request: &Request) -> Reply {
        let mut state = self.state();
        if let Some(refusal) = state.check_start_call(request) {
            return refusal;
        }
        let text = String::from_utf8_lossy(&request.body);
        let Ok(Stop { instance_id: id }) = Stop::deserialize_json(&text) else {
            return error(400, "instance_id is needed");
        };
        let Some(instance) = state.instances.iter_mut().find(|i| i.id == id) else {
            return error(404, "no such worker");
        };
        let now = Instant::now();
        if instance.unlisted.is_none() {
            instance.unlisted = Some(now);
            instance.state.send_replace(WorkerState::Stopped);
            state.counts.stopped += 1;
        }
        (200, "{}".into())
    }

    fn inject(self: &Arc<Self>, fault: InjectedFault) -> bool {
        let now = Instant::now();
        match fault {
            InjectedFault::LoseAnswers(share) => self.context.lose(share),
            InjectedFault::Garble(share) => self.context.garble(share),
            InjectedFault::LateList(by, span) => self.state().extra_lag = Some((by, now + span)),
            InjectedFault::CrashHost(name, back) => {
                let mut state = self.state();
                let Some(index) = state.change_state(&name, HostState::Down) else { return false };
                for instance in state.instances.iter_mut().filter(|i| i.host == index && i.ended.is_none()) {
                    instance.state.send_replace(WorkerState::Crashed);
                    instance.unlisted.get_or_insert(now + CRASHED_LISTED_FOR);
                }
                drop(state);
                self.later(back, move |shared| shared.state().machines[index].state_changes.push(up_now()));
            }
            InjectedFault::DrainHost(name, back) => {
                let mut state = self.state();
                let Some(index) = state.change_state(&name, HostState::Draining) else { return false };
                let drain_time = state.lag() + state.options.drain + DRAIN_MARGIN;
                for instance in state.instances.iter_mut().filter(|i| i.host == index && i.ended.is_none()) {
                    instance.draining.get_or_insert(now);
                    instance.state.send_if_modified(|state| {
                        let was_working = *state == WorkerState::Working;
                        if was_working {
                            *state = WorkerState::Draining;
                        }
                        was_working
                    });
                }
                drop(state);
                self.later(drain_time, move |shared| {
                    let mut state = shared.state();
                    for instance in state.instances.iter_mut().filter(|i| i.host == index) {
                        if instance.draining.is_some() && instance.unlisted.is_none() {
                            instance.unlisted = Some(Instant::now());
                            instance.state.send_replace(WorkerState::Stopped);
                        }
                    }
                });
                self.later(back.max(drain_time), move |shared| {
                    shared.state().machines[index].state_changes.push(up_now())
                });
            }
        }
        true
    }

    /// Runs `action` after a delay, unless the platform has been dropped by then.
    fn later(self: &Arc<Self>, after: Duration, action: impl FnOnce(&Arc<Shared>) + Send + 'static) {
        let shared = Arc::downgrade(self);
        tokio::spawn(async move {
            sleep(after).await;
            with(&shared, action);
        });
    }
}

fn with(shared: &Weak<Shared>, action: impl FnOnce(&Arc<Shared>)) {
    if let Some(shared) = shared.upgrade() {
        action(&shared);
    }
}

fn up_now() -> (Instant, HostState) {
    (Instant::now(), HostState::Up)
}

impl State {
    fn lag(&self) -> Duration {
        let extra =
            self.extra_lag.filter(|(_, until)| Instant::now() < *until).map_or(Duration::ZERO, |(by, _)| by);
        self.options.max_lag + extra
    }

    /// The time whose state the lists show; None if it is before the start of the clock.
    fn shown_at(&self) -> Option<Instant> {
        Instant::now().checked_sub(self.lag())
    }

    /// Changes the state of a host that is up; its index, or None if there is no such host.
    fn change_state(&mut self, host: &str, to: HostState) -> Option<usize> {
        let now = Instant::now();
        let index = self.machines.iter().position(|m| m.host.name == host)?;
        let machine = &mut self.machines[index];
        if machine.state(now) != HostState::Up {
            return None;
        }
        machine.state_changes.push((now, to));
        Some(index)
    }

    /// Memory of the instances that a host had at this time, in MB.
    fn used_memory(&self, host: usize, at: Instant) -> u32 {
        let is_running =
            |i: &&Instance| i.host == host && i.started <= at && i.ended.is_none_or(|end| end > at);
        self.instances.iter().filter(is_running).map(|i| self.options.functions[i.function].memory_mb).sum()
    }

    fn host_with_memory(&self, host: &str, function: usize) -> Option<usize> {
        let now = Instant::now();
        let index = self.machines.iter().position(|m| m.host.name == host)?;
        let machine = &self.machines[index];
        let needed = self.options.functions[function].memory_mb;
        let fits = self.used_memory(index, now) + needed <= machine.host.memory_mb;
        (machine.state(now) == HostState::Up && fits).then_some(index)
    }

    /// Binds a port that refuses connections until the worker listens: one whose worker ended at least
    /// `address_reuse` ago, or a new one.
    fn bind_port(&mut self, host: usize) -> Option<(TcpSocket, SocketAddr)> {
        let now = Instant::now();
        let reuse = self.options.address_reuse;
        let machine = &mut self.machines[host];
        let bind = |ip: Ipv4Addr, port: u16| {
            let at = SocketAddr::from((ip, port));
            let socket = TcpSocket::new_v4().ok()?;
            socket.set_reuseaddr(true).ok()?;
            socket.bind(at).ok()?;
            Some((socket, at))
        };
        if let Some(old) = machine.free_ports.iter().position(|(since, _)| now >= *since + reuse) {
            let (_, port) = machine.free_ports.remove(old);
            if let Some(found) = bind(machine.host.ip, port) {
                return Some(found);
            }
        }
        while machine.next_port < WORKER_PORTS.end {
            let port = machine.next_port;
            machine.next_port += 1;
            if let Some(found) = bind(machine.host.ip, port) {
                return Some(found);
            }
        }
        None
    }

    fn record_end(&mut self, number: usize) {
        let now = Instant::now();
        let instance = &mut self.instances[number];
        instance.ended = Some(now);
        instance.unlisted.get_or_insert(now);
        instance.task = None;
        let (host, port) = (instance.host, instance.address.port());
        self.machines[host].free_ports.push((now, port));
    }

    fn begun_reply(&self, number: usize) -> Reply {
        let instance = &self.instances[number];
        let reply = Begun { instance_id: instance.id.clone(), address: instance.address.to_string() };
        (200, reply.serialize_json())
    }

    /// Checks a start or stop: its rate, and the fencing token of the lease holder. Returns the reply if it
    /// is refused.
    fn check_start_call(&mut self, request: &Request) -> Option<Reply> {
        if !self.start_calls.take() {
            self.counts.over_rate += 1;
            return Some(error(429, "too many starts and stops"));
        }
        let fence = request.headers.number("fence-token").unwrap_or(0.0) as u64;
        if fence < self.fence.0 {
            self.counts.stale += 1;
        } else {
            self.fence = (fence, request.headers.get("duty-holder").map(String::from));
        }
        None
    }

    /// Counts a call of a list and checks the rate. Returns the reply if it is refused.
    fn check_list_call(&mut self) -> Option<Reply> {
        self.counts.lists += 1;
        if self.list_calls.take() {
            return None;
        }
        self.counts.over_rate += 1;
        Some(error(429, "too many calls of the lists"))
    }

    fn shown_list(&mut self, query: &str) -> Reply {
        if let Some(refusal) = self.check_list_call() {
            return refusal;
        }
        let field = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let from = match field("page_token").map(|token| token.strip_prefix("p-")?.parse::<usize>().ok()) {
            Some(None) => return error(400, "no such page_token"),
            token => token.flatten().unwrap_or(0),
        };
        let zone = field("zone");
        let Some(at) = self.shown_at() else {
            return (200, ShownList { instances: Vec::new(), next_token: None }.serialize_json());
        };
        let is_listed = |i: &&Instance| {
            i.ready.is_some_and(|ready| ready <= at)
                && i.unlisted.is_none_or(|unlisted| unlisted > at)
                && zone.is_none_or(|zone| zone == self.machines[i.host].host.zone)
        };
        let all: Vec<&Instance> = self.instances.iter().filter(is_listed).collect();
        let shown = |i: &&Instance| {
            let (function, machine) = (&self.options.functions[i.function], &self.machines[i.host]);
            let cold = i.ready.map(|ready| (ready + function.cold).saturating_duration_since(at));
            ShownInstance {
                instance_id: i.id.clone(),
                service: function.name.clone(),
                address: i.address.to_string(),
                zone: machine.host.zone.clone(),
                revision: "v1".into(),
                slots: function.max_inflight,
                oper_state: if i.draining.is_some_and(|d| d <= at) { "draining" } else { "up" }.into(),
                cold_remaining_ms: cold.unwrap_or_default().as_millis() as u64,
                worker_id: machine.host.name.clone(),
            }
        };
        let instances: Vec<ShownInstance> =
            all.iter().skip(from).take(self.options.page).map(shown).collect();
        let next = from + instances.len();
        let next_token = (next < all.len()).then(|| format!("p-{next}"));
        (200, ShownList { instances, next_token }.serialize_json())
    }

    fn shown_hosts(&mut self) -> Reply {
        if let Some(refusal) = self.check_list_call() {
            return refusal;
        }
        let now = Instant::now();
        let at = self.shown_at().unwrap_or(now);
        let mut worker_pool = Vec::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let oper_state = match machine.state(at) {
                HostState::Up => "up",
                HostState::Draining => "draining",
                HostState::Down => continue,
            };
            worker_pool.push(ShownHost {
                name: machine.host.name.clone(),
                zone: machine.host.zone.clone(),
                memory_mb: machine.host.memory_mb,
                free_memory_mb: machine.host.memory_mb.saturating_sub(self.used_memory(index, at)),
                oper_state: oper_state.into(),
            });
        }
        (200, ShownPool { worker_pool }.serialize_json())
    }
}
