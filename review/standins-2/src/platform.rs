//! A platform with its workers, as PROTOCOL.md has them: the lists, starts, stops, and workers that run requests.

use crate::wire;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The lists show an instance this long after it has started.
const LIST_LAG: Duration = Duration::from_millis(300);
const FIRST_WORKER_PORT: u16 = 24_000;

#[derive(Clone)]
pub struct Function {
    pub name: String,
    pub memory_mb: u32,
    pub boot: Duration,
    pub slots: usize,
    pub work: Duration,
}

struct Host {
    zone: String,
    ip: std::net::Ipv4Addr,
    memory_mb: u32,
    free_mb: u32,
    next_port: u16,
}

struct Instance {
    function: usize,
    host: String,
    address: SocketAddr,
    ready_at: Instant,
    ended: bool,
}

/// What a worker did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Ran,
    /// Turned away, as all slots were taken.
    Full,
    /// Turned away, as it was meant for another instance.
    Misdirected,
}

pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub instance: String,
    pub service: String,
    pub event: Event,
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<String, Host>,
    instances: BTreeMap<String, Instance>,
    nonces: HashMap<(String, String), String>,
    arrivals: Vec<Arrival>,
    /// Calls of the platform: when, which, and the answer's status.
    calls: Vec<(Instant, String, u16)>,
    delay: Duration,
    last: u32,
}

#[derive(Clone)]
pub struct Platform {
    functions: Arc<Vec<Function>>,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Hosts: name, zone, address, memory in MB.
    pub fn start(at: SocketAddr, functions: Vec<Function>, hosts: Vec<(String, String, std::net::Ipv4Addr, u32)>) -> std::io::Result<Platform> {
        let platform = Platform { functions: Arc::new(functions), state: Arc::default() };
        for (name, zone, ip, memory_mb) in hosts {
            let host = Host { zone, ip, memory_mb, free_mb: memory_mb, next_port: FIRST_WORKER_PORT };
            platform.state().hosts.insert(name, host);
        }
        let listener = TcpListener::bind(at)?;
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(platform)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Every answer is given this long after its call. Calls take effect at once.
    pub fn answer_after(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Arrivals at workers so far.
    pub fn arrivals<T>(&self, look: impl FnOnce(&[Arrival]) -> T) -> T {
        look(&self.state().arrivals)
    }

    /// Calls of the platform so far.
    pub fn calls<T>(&self, look: impl FnOnce(&[(Instant, String, u16)]) -> T) -> T {
        look(&self.state().calls)
    }

    /// Instances that have started and not ended.
    pub fn running(&self) -> usize {
        self.state().instances.values().filter(|instance| !instance.ended && instance.ready_at <= Instant::now()).count()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else { return };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = wire::read(&mut from) {
            let method = request.first.first().map_or("", String::as_str);
            let path = request.first.get(1).map_or("", |target| target.split('?').next().unwrap_or(""));
            let (status, body) = self.answer(method, path, &String::from_utf8_lossy(&request.body));
            let delay = {
                let mut state = self.state();
                state.calls.push((Instant::now(), format!("{method} {path}"), status));
                state.delay
            };
            thread::sleep(delay);
            let bytes = wire::response(status, &[("Content-Type", "application/json")], body.as_bytes());
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        match (method, path) {
            ("GET", "/instances") => (200, self.list()),
            ("GET", "/v1/workers") => (200, self.hosts()),
            ("POST", "/v1/begin") => self.begin(&field(body, "service"), &field(body, "worker_id"), &field(body, "request_nonce")),
            ("POST", "/v1/stop") => self.stop(&field(body, "instance_id")),
            _ => (404, "{}".into()),
        }
    }

    fn list(&self) -> String {
        let state = self.state();
        let now = Instant::now();
        let shown = state.instances.iter().filter(|(_, instance)| !instance.ended && instance.ready_at + LIST_LAG <= now);
        let entries: Vec<String> = shown
            .map(|(id, instance)| {
                let function = &self.functions[instance.function];
                let zone = state.hosts.get(&instance.host).map_or("", |host| host.zone.as_str());
                format!(
                    "{{\"instance_id\":\"{id}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\
                     \"slots\":{},\"oper_state\":\"up\",\"cold_remaining_ms\":0,\"worker_id\":\"{}\"}}",
                    function.name, instance.address, function.slots, instance.host
                )
            })
            .collect();
        format!("{{\"instances\":[{}],\"next_token\":null}}", entries.join(","))
    }

    fn hosts(&self) -> String {
        let state = self.state();
        let entries: Vec<String> = (state.hosts.iter())
            .map(|(name, host)| {
                format!(
                    "{{\"name\":\"{name}\",\"zone\":\"{}\",\"memory_mb\":{},\"free_memory_mb\":{},\"oper_state\":\"up\"}}",
                    host.zone, host.memory_mb, host.free_mb
                )
            })
            .collect();
        format!("{{\"worker_pool\":[{}]}}", entries.join(","))
    }

    fn begin(&self, service: &str, host: &str, nonce: &str) -> (u16, String) {
        let Some(function) = self.functions.iter().position(|function| function.name == service) else { return (400, "{}".into()) };
        if nonce.is_empty() || nonce.len() > 64 {
            return (400, "{}".into());
        }
        let mut state = self.state();
        let key = (service.to_string(), nonce.to_string());
        if let Some(id) = state.nonces.get(&key).cloned() {
            let address = state.instances[&id].address;
            return (200, format!("{{\"instance_id\":\"{id}\",\"address\":\"{address}\"}}"));
        }
        let memory = self.functions[function].memory_mb;
        let Some(found) = state.hosts.get_mut(host).filter(|host| host.free_mb >= memory) else { return (409, "{}".into()) };
        found.free_mb -= memory;
        found.next_port += 1;
        let address = SocketAddr::from((found.ip, found.next_port));
        state.last += 1;
        let id = format!("i-{:06x}", state.last);
        let ready_at = Instant::now() + self.functions[function].boot;
        state.instances.insert(id.clone(), Instance { function, host: host.to_string(), address, ready_at, ended: false });
        state.nonces.insert(key, id.clone());
        drop(state);
        let (platform, worker) = (self.clone(), id.clone());
        thread::spawn(move || platform.run_worker(&worker, function, address));
        (200, format!("{{\"instance_id\":\"{id}\",\"address\":\"{address}\"}}"))
    }

    fn stop(&self, id: &str) -> (u16, String) {
        let mut state = self.state();
        let Some(instance) = state.instances.get_mut(id) else { return (404, "{}".into()) };
        if !std::mem::replace(&mut instance.ended, true) {
            let (host, memory) = (instance.host.clone(), self.functions[instance.function].memory_mb);
            if let Some(host) = state.hosts.get_mut(&host) {
                host.free_mb += memory;
            }
        }
        (200, "{}".into())
    }

    fn has_ended(&self, id: &str) -> bool {
        self.state().instances.get(id).is_none_or(|instance| instance.ended)
    }

    /// Starts for its boot time, then listens until it is stopped.
    fn run_worker(&self, id: &str, function: usize, address: SocketAddr) {
        thread::sleep(self.functions[function].boot);
        let Ok(listener) = TcpListener::bind(address) else { return };
        let _ = listener.set_nonblocking(true);
        let busy = Arc::new(Mutex::new(0usize));
        while !self.has_ended(id) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let (platform, id, busy) = (self.clone(), id.to_string(), busy.clone());
                    thread::spawn(move || platform.serve_requests(&id, function, stream, &busy));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn record(&self, id: &str, instance: &str, function: usize, event: Event) {
        let service = self.functions[function].name.clone();
        let arrival = Arrival { at: Instant::now(), id: id.to_string(), instance: instance.to_string(), service, event };
        self.state().arrivals.push(arrival);
    }

    fn serve_requests(&self, instance: &str, function: usize, stream: TcpStream, busy: &Mutex<usize>) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let Ok(mut to) = stream.try_clone() else { return };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = wire::read(&mut from) {
            if self.has_ended(instance) {
                return;
            }
            let id = request.header("attempt-id").to_string();
            let bytes = self.work(instance, function, &request, &id, busy);
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn work(&self, instance: &str, function: usize, request: &wire::Message, id: &str, busy: &Mutex<usize>) -> Vec<u8> {
        let (slots, work) = (self.functions[function].slots, self.functions[function].work);
        if id.is_empty() {
            return wire::response(400, &[("Not-Executed", "1")], b"");
        }
        let target = request.header("target-instance");
        if !target.is_empty() && target != instance {
            self.record(id, instance, function, Event::Misdirected);
            return wire::response(421, &[("Attempt-Id", id), ("Not-Executed", "1")], b"");
        }
        let lock = || busy.lock().unwrap_or_else(PoisonError::into_inner);
        if *lock() >= slots {
            self.record(id, instance, function, Event::Full);
            return wire::response(503, &[("Attempt-Id", id), ("Not-Executed", "1"), ("Retry-After", "0.1")], b"");
        }
        *lock() += 1;
        self.record(id, instance, function, Event::Ran);
        thread::sleep(work);
        *lock() -= 1;
        let (seal, body) = (format!("{instance}.{id}"), format!("ran {id}"));
        wire::response(200, &[("Attempt-Id", id), ("Server-Seal", &seal), ("Keep-Alive", "timeout=4")], body.as_bytes())
    }
}

/// A field of a flat JSON object whose values are texts without escapes.
fn field(json: &str, name: &str) -> String {
    let key = format!("\"{name}\"");
    let after = json.split_once(&key).map_or("", |(_, rest)| rest).trim_start_matches([' ', ':']);
    after.strip_prefix('"').and_then(|text| text.split('"').next()).unwrap_or("").to_string()
}
