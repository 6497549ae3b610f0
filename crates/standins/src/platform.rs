//! The platform: the list of instances, the worker machines, starts and stops, and the workers themselves. Calls are
//! HTTP/1.1 on one address, workers listen on addresses of their own.
//!
//! What it shows is what was so `max_lag` ago; what it does, it does at once. Troubles come by a method or by a call
//! (`POST /standin/crash-host?name=w-1`; the names are [`InjectedFault`]'s). It lives until it is dropped, and its workers with it.

use crate::ledger::Ledger;
use crate::wire::{answer, read_request, Request};
use crate::workers::{self, Habits, Life, Terms};
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

/// The longest nonce.
const NONCE: usize = 64;
/// A crashed worker stays on the list for so long.
const GHOST: Duration = Duration::from_secs(3);
/// A draining worker serves on for `drain` and this.
const A_LITTLE: Duration = Duration::from_millis(500);
/// Workers' ports on each host.
const PORTS: std::ops::Range<u16> = 24_000..30_000;
const CONNECTIONS: usize = 256;

/// What the platform knows of a function.
#[derive(Debug, Clone)]
pub struct Function {
    pub name: String,
    pub memory_mb: u32,
    /// The mean of a start; each takes 0.7 to 1.3 of it.
    pub boot: Duration,
    pub max_inflight: usize,
    pub max_concurrency: usize,
    /// The mean of the work on a request that does not say (`Standin-Work-Ms`).
    pub work: Duration,
    /// After its start it works at two thirds of its speed for so long.
    pub cold: Duration,
}

/// A machine for workers.
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
    /// After so long workers close an idle connection.
    pub keep_alive: Duration,
    /// Entries on a page of the list.
    pub page: usize,
    pub seed: u64,
}

impl Options {
    /// The figures of a usual deployment.
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

/// What can go wrong on request.
#[derive(Debug, Clone, PartialEq)]
pub enum InjectedFault {
    /// A host ends at once with its workers, and is back, empty, after so long.
    CrashHost(String, Duration),
    /// A host is emptied: its workers leave in order; it is back after so long.
    DrainHost(String, Duration),
    /// The lists lag by so much more, for so long.
    LateList(Duration, Duration),
    /// This share of answers is lost: run, and the connection closed.
    LoseAnswers(f64),
    /// This share of answers are bytes that are no answer.
    Garble(f64),
}

impl InjectedFault {
    /// From a call's path and query; times are in seconds.
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

/// What was asked of the platform so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub lists: usize,
    pub started: usize,
    pub stopped: usize,
    pub no_room: usize,
    pub over_rate: usize,
    /// Starts and stops under a `Fence-Token` lower than one seen before.
    pub stale: usize,
    /// Requests that workers turned away because they were full.
    pub full: usize,
}

/// An instance, as it is now.
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
enum Standing {
    Up,
    Draining,
    Down,
}

struct Machine {
    host: Host,
    turns: Vec<(Instant, Standing)>,
    next_port: u16,
    free_ports: Vec<(Instant, u16)>,
}

impl Machine {
    fn standing(&self, at: Instant) -> Standing {
        self.turns.iter().rev().find(|(when, _)| *when <= at).map_or(Standing::Up, |(_, standing)| *standing)
    }
}

struct Instance {
    id: String,
    function: usize,
    host: usize,
    address: SocketAddr,
    begun: Instant,
    ready: Option<Instant>,
    draining: Option<Instant>,
    /// Its work and its memory end.
    ended: Option<Instant>,
    /// The list shows it no longer.
    gone: Option<Instant>,
    life: watch::Sender<Life>,
    task: Option<AbortHandle>,
}

/// So many calls a second, with a second's worth in hand.
struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { rate, left: rate.max(1.0), at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let more = now.duration_since(self.at).as_secs_f64() * self.rate;
        (self.left, self.at) = ((self.left + more).min(self.rate.max(1.0)), now);
        let may = self.left >= 1.0;
        self.left -= f64::from(u8::from(may));
        may
    }
}

struct State {
    options: Options,
    machines: Vec<Machine>,
    instances: Vec<Instance>,
    nonces: HashMap<(usize, String), usize>,
    list: Bucket,
    duty: Bucket,
    late: Option<(Duration, Instant)>,
    /// The highest `Fence-Token` seen, and who came with it.
    fence: (u64, Option<String>),
    counts: Counts,
    chance: oorandom::Rand64,
}

struct Shared {
    state: Mutex<State>,
    habits: Habits,
}

/// The platform while it lives.
pub struct Platform {
    shared: Arc<Shared>,
    door: AbortHandle,
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

/// A status, and a body if there is something to say.
type Said = (u16, String);

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// Opens its address; what workers run goes into the ledger.
    pub async fn start(options: Options, ledger: Ledger) -> Result<Platform, Fault> {
        let fault = |why| Fault::Address(options.address, why);
        let listener = TcpListener::bind(options.address).await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let machines = options.hosts.iter().map(|host| Machine {
            host: host.clone(),
            turns: Vec::new(),
            next_port: PORTS.start,
            free_ports: Vec::new(),
        });
        let state = State {
            machines: machines.collect(),
            instances: Vec::new(),
            nonces: HashMap::new(),
            list: Bucket::new(options.rate_per_s),
            duty: Bucket::new(options.duty_rate_s),
            late: None,
            fence: (0, None),
            counts: Counts::default(),
            chance: oorandom::Rand64::new(options.seed.into()),
            options,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), habits: Habits::new(ledger) });
        let door = tokio::spawn(serve(listener, shared.clone())).abort_handle();
        Ok(Platform { shared, door, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Who started or stopped a worker last, by its own word.
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

    /// False where it names no host that is up.
    pub fn inject(&self, trouble: InjectedFault) -> bool {
        self.shared.trouble(trouble)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.door.abort();
        for instance in &mut self.shared.state().instances {
            instance.life.send_replace(Life::Crashed);
            if let Some(task) = instance.task.take() {
                task.abort();
            }
        }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    // Dropped with this task, and its connections with it.
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) if open.len() < CONNECTIONS => {
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
        let bytes = answer(status, &[("Content-Type", "application/json")], body.as_bytes());
        if stream.write_all(&bytes).await.is_err() || request.headers.closes() {
            return;
        }
    }
}

fn said(status: u16, why: &str) -> Said {
    (status, format!("{{\"error\":{}}}", why.to_string().serialize_json()))
}

impl Shared {
    fn call(self: &Arc<Self>, request: &Request) -> Said {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        match (request.method.as_str(), path) {
            ("GET", "/instances") => self.state().shown_list(query),
            ("GET", "/v1/workers") => self.state().shown_hosts(),
            ("POST", "/v1/begin") => self.begin(request),
            ("POST", "/v1/stop") => self.stop(request),
            ("GET", "/standin") => (200, format!("{:?}\n", self.counts())),
            ("POST", path) if path.starts_with("/standin/") => {
                match InjectedFault::read(path.trim_start_matches("/standin/"), query) {
                    Some(trouble) if self.trouble(trouble.clone()) => (200, format!("{trouble:?}\n")),
                    Some(_) => said(409, "no such host, or it is not up"),
                    None => said(400, "no such trouble, or a field is missing"),
                }
            }
            _ => said(404, "no such call"),
        }
    }

    fn counts(&self) -> Counts {
        Counts { full: self.habits.full(), ..self.state().counts }
    }

    fn begin(self: &Arc<Self>, request: &Request) -> Said {
        let mut state = self.state();
        if let Some(no) = state.duty_call(request) {
            return no;
        }
        let text = String::from_utf8_lossy(&request.body);
        let Ok(Begin { service, worker_id: host, request_nonce: nonce }) = Begin::deserialize_json(&text)
        else {
            return said(400, "service, worker_id and request_nonce are needed");
        };
        let Some(function) = state.options.functions.iter().position(|f| f.name == service) else {
            return said(400, "no such service");
        };
        if nonce.is_empty() || nonce.len() > NONCE {
            return said(400, "request_nonce: of 1 to 64 bytes");
        }
        if let Some(&known) = state.nonces.get(&(function, nonce.clone())) {
            return state.begun(known);
        }
        let Some(index) = state.room(&host, function) else {
            state.counts.no_room += 1;
            return said(409, "no such worker, it is not up, or it has no room");
        };
        let Some((socket, address)) = state.port(index) else {
            state.counts.no_room += 1;
            return said(409, "no address is free there");
        };
        let known = state.instances.len();
        let id = format!("i-{:08x}", state.chance.rand_u64() as u32);
        let (life, lives) = watch::channel(Life::Working);
        let function_of = state.options.functions[function].clone();
        let spread = 0.7 + 0.6 * state.chance.rand_float();
        let terms = Terms {
            instance: id.clone(),
            boot: function_of.boot.mul_f64(spread),
            speed: 0.85 + 0.3 * state.chance.rand_float(),
            seed: state.chance.rand_u64(),
            keep_alive: state.options.keep_alive,
            function: function_of,
        };
        state.counts.started += 1;
        state.nonces.insert((function, nonce), known);
        state.instances.push(Instance {
            id,
            function,
            host: index,
            address,
            begun: Instant::now(),
            ready: None,
            draining: None,
            ended: None,
            gone: None,
            life,
            task: None,
        });
        let shared = Arc::downgrade(self);
        let habits = self.habits.clone();
        let task = tokio::spawn(async move {
            let up = || with(&shared, |shared| shared.state().instances[known].ready = Some(Instant::now()));
            workers::run(socket, terms, habits, lives, up).await;
            with(&shared, |shared| shared.state().ended(known));
        });
        state.instances[known].task = Some(task.abort_handle());
        state.begun(known)
    }

    fn stop(&self, request: &Request) -> Said {
        let mut state = self.state();
        if let Some(no) = state.duty_call(request) {
            return no;
        }
        let text = String::from_utf8_lossy(&request.body);
        let Ok(Stop { instance_id: id }) = Stop::deserialize_json(&text) else {
            return said(400, "instance_id is needed");
        };
        let Some(instance) = state.instances.iter_mut().find(|i| i.id == id) else {
            return said(404, "there never was such a worker");
        };
        let now = Instant::now();
        if instance.gone.is_none() {
            instance.gone = Some(now);
            instance.life.send_replace(Life::Stopped);
            state.counts.stopped += 1;
        }
        (200, "{}".into())
    }

    fn trouble(self: &Arc<Self>, trouble: InjectedFault) -> bool {
        let now = Instant::now();
        match trouble {
            InjectedFault::LoseAnswers(share) => self.habits.lose(share),
            InjectedFault::Garble(share) => self.habits.garble(share),
            InjectedFault::LateList(by, span) => self.state().late = Some((by, now + span)),
            InjectedFault::CrashHost(name, back) => {
                let mut state = self.state();
                let Some(index) = state.turn(&name, Standing::Down) else { return false };
                for instance in state.instances.iter_mut().filter(|i| i.host == index && i.ended.is_none()) {
                    instance.life.send_replace(Life::Crashed);
                    instance.gone.get_or_insert(now + GHOST);
                }
                drop(state);
                self.later(back, move |shared| shared.state().machines[index].turns.push(up()));
            }
            InjectedFault::DrainHost(name, back) => {
                let mut state = self.state();
                let Some(index) = state.turn(&name, Standing::Draining) else { return false };
                let stays = state.lag() + state.options.drain + A_LITTLE;
                for instance in state.instances.iter_mut().filter(|i| i.host == index && i.ended.is_none()) {
                    instance.draining.get_or_insert(now);
                    instance.life.send_if_modified(|life| {
                        let working = *life == Life::Working;
                        if working {
                            *life = Life::Leaving;
                        }
                        working
                    });
                }
                drop(state);
                self.later(stays, move |shared| {
                    let mut state = shared.state();
                    for instance in state.instances.iter_mut().filter(|i| i.host == index) {
                        if instance.draining.is_some() && instance.gone.is_none() {
                            instance.gone = Some(Instant::now());
                            instance.life.send_replace(Life::Stopped);
                        }
                    }
                });
                self.later(back.max(stays), move |shared| shared.state().machines[index].turns.push(up()));
            }
        }
        true
    }

    fn later(self: &Arc<Self>, after: Duration, what: impl FnOnce(&Arc<Shared>) + Send + 'static) {
        let shared = Arc::downgrade(self);
        tokio::spawn(async move {
            sleep(after).await;
            with(&shared, what);
        });
    }
}

fn with(shared: &Weak<Shared>, what: impl FnOnce(&Arc<Shared>)) {
    if let Some(shared) = shared.upgrade() {
        what(&shared);
    }
}

fn up() -> (Instant, Standing) {
    (Instant::now(), Standing::Up)
}

impl State {
    fn lag(&self) -> Duration {
        let late =
            self.late.filter(|(_, until)| Instant::now() < *until).map_or(Duration::ZERO, |(by, _)| by);
        self.options.max_lag + late
    }

    /// The moment that the lists show; None before the first.
    fn shown(&self) -> Option<Instant> {
        Instant::now().checked_sub(self.lag())
    }

    fn turn(&mut self, host: &str, to: Standing) -> Option<usize> {
        let now = Instant::now();
        let index = self.machines.iter().position(|m| m.host.name == host)?;
        let machine = &mut self.machines[index];
        if machine.standing(now) != Standing::Up {
            return None;
        }
        machine.turns.push((now, to));
        Some(index)
    }

    fn used(&self, host: usize, at: Instant) -> u32 {
        let there = |i: &&Instance| i.host == host && i.begun <= at && i.ended.is_none_or(|end| end > at);
        self.instances.iter().filter(there).map(|i| self.options.functions[i.function].memory_mb).sum()
    }

    fn room(&self, host: &str, function: usize) -> Option<usize> {
        let now = Instant::now();
        let index = self.machines.iter().position(|m| m.host.name == host)?;
        let machine = &self.machines[index];
        let wants = self.options.functions[function].memory_mb;
        let fits = self.used(index, now) + wants <= machine.host.memory_mb;
        (machine.standing(now) == Standing::Up && fits).then_some(index)
    }

    /// An address that refuses connections until it is listened on: one of a worker that is long gone, or a new one.
    fn port(&mut self, host: usize) -> Option<(TcpSocket, SocketAddr)> {
        let now = Instant::now();
        let reuse = self.options.address_reuse;
        let machine = &mut self.machines[host];
        let bound = |ip: Ipv4Addr, port: u16| {
            let at = SocketAddr::from((ip, port));
            let socket = TcpSocket::new_v4().ok()?;
            socket.set_reuseaddr(true).ok()?;
            socket.bind(at).ok()?;
            Some((socket, at))
        };
        if let Some(old) = machine.free_ports.iter().position(|(since, _)| now >= *since + reuse) {
            let (_, port) = machine.free_ports.remove(old);
            if let Some(found) = bound(machine.host.ip, port) {
                return Some(found);
            }
        }
        while machine.next_port < PORTS.end {
            let port = machine.next_port;
            machine.next_port += 1;
            if let Some(found) = bound(machine.host.ip, port) {
                return Some(found);
            }
        }
        None
    }

    fn ended(&mut self, known: usize) {
        let now = Instant::now();
        let instance = &mut self.instances[known];
        instance.ended = Some(now);
        instance.gone.get_or_insert(now);
        instance.task = None;
        let (host, port) = (instance.host, instance.address.port());
        self.machines[host].free_ports.push((now, port));
    }

    fn begun(&self, known: usize) -> Said {
        let instance = &self.instances[known];
        let begun = Begun { instance_id: instance.id.clone(), address: instance.address.to_string() };
        (200, begun.serialize_json())
    }

    /// Starts and stops: the rate, and the number of the duty's holder.
    fn duty_call(&mut self, request: &Request) -> Option<Said> {
        if !self.duty.take() {
            self.counts.over_rate += 1;
            return Some(said(429, "too many starts and stops"));
        }
        let fence = request.headers.number("fence-token").unwrap_or(0.0) as u64;
        if fence < self.fence.0 {
            self.counts.stale += 1;
        } else {
            self.fence = (fence, request.headers.get("duty-holder").map(String::from));
        }
        None
    }

    fn list_call(&mut self) -> Option<Said> {
        self.counts.lists += 1;
        if self.list.take() {
            return None;
        }
        self.counts.over_rate += 1;
        Some(said(429, "too many calls of the lists"))
    }

    fn shown_list(&mut self, query: &str) -> Said {
        if let Some(no) = self.list_call() {
            return no;
        }
        let field = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
        let from = match field("page_token").map(|token| token.strip_prefix("p-")?.parse::<usize>().ok()) {
            Some(None) => return said(400, "no such page_token"),
            token => token.flatten().unwrap_or(0),
        };
        let zone = field("zone");
        let Some(at) = self.shown() else {
            return (200, ShownList { instances: Vec::new(), next_token: None }.serialize_json());
        };
        let there = |i: &&Instance| {
            i.ready.is_some_and(|ready| ready <= at)
                && i.gone.is_none_or(|gone| gone > at)
                && zone.is_none_or(|zone| zone == self.machines[i.host].host.zone)
        };
        let all: Vec<&Instance> = self.instances.iter().filter(there).collect();
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

    fn shown_hosts(&mut self) -> Said {
        if let Some(no) = self.list_call() {
            return no;
        }
        let now = Instant::now();
        let at = self.shown().unwrap_or(now);
        let mut worker_pool = Vec::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let oper_state = match machine.standing(at) {
                Standing::Up => "up",
                Standing::Draining => "draining",
                Standing::Down => continue,
            };
            worker_pool.push(ShownHost {
                name: machine.host.name.clone(),
                zone: machine.host.zone.clone(),
                memory_mb: machine.host.memory_mb,
                free_memory_mb: machine.host.memory_mb.saturating_sub(self.used(index, at)),
                oper_state: oper_state.into(),
            });
        }
        (200, ShownPool { worker_pool }.serialize_json())
    }
}
