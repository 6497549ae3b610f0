//! A platform with its worker machines and workers, as PROTOCOL.md describes them, which records each request
//! that reaches a worker.

use crate::bed::Record;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tindock_mock_services::platform::{Function, Host};
use tindock_mock_services::wire::{read_request, response, Request};
use tindock_mock_services::workers::seal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// By which the lists lag.
const LAG: Duration = Duration::from_millis(800);
const FIRST_PORT: u16 = 24_000;
/// A worker closes a connection that has been idle for this long.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// A request that reached a worker.
#[derive(Clone)]
pub struct Arrival {
    pub id: String,
    pub instance: String,
    pub at: Instant,
    /// When it left; none while it is at work.
    pub left: Option<Instant>,
    /// Turned away because the worker was full.
    pub full: bool,
}

struct Instance {
    id: String,
    function: usize,
    host: usize,
    address: SocketAddr,
    ready: Option<Instant>,
    stopped: watch::Sender<bool>,
    inflight: usize,
}

struct State {
    functions: Vec<Function>,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    nonces: HashMap<(usize, String), usize>,
    arrivals: Vec<Arrival>,
}

#[derive(Clone)]
pub struct World(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    record: Arc<Record>,
}

fn field(text: &str, name: &str) -> Option<String> {
    let rest = &text[text.find(&format!("\"{name}\""))? + name.len() + 2..];
    let from = rest.find('"')? + 1;
    Some(rest[from..].split('"').next()?.to_string())
}

impl World {
    pub async fn start(
        at: SocketAddr,
        functions: Vec<Function>,
        hosts: Vec<Host>,
        record: Arc<Record>,
    ) -> Result<World, String> {
        let listener = TcpListener::bind(at).await.map_err(|why| why.to_string())?;
        let state =
            State { functions, hosts, instances: Vec::new(), nonces: HashMap::new(), arrivals: Vec::new() };
        let world = World(Arc::new(Shared { state: Mutex::new(state), record }));
        let served = world.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(served.clone().calls(stream));
            }
        });
        Ok(world)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    async fn calls(self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(request) = read_request(&mut stream, &mut buf).await {
            let (status, body) = self.call(&request);
            let bytes = response(status, &[("Content-Type", "application/json")], body.as_bytes());
            if stream.write_all(&bytes).await.is_err() || request.headers.closes() {
                return;
            }
        }
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let path = request.target.split('?').next().unwrap_or_default();
        let text = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method.as_str(), path) {
            ("GET", "/instances") => (200, self.state().list()),
            ("GET", "/v1/workers") => (200, self.state().hosts()),
            ("POST", "/v1/begin") => self.begin(&text),
            ("POST", "/v1/stop") => self.stop(&text),
            _ => (404, "{}".into()),
        }
    }

    fn begin(&self, text: &str) -> (u16, String) {
        let fields = (field(text, "service"), field(text, "worker_id"), field(text, "request_nonce"));
        let (Some(service), Some(host), Some(nonce)) = fields else { return (400, "{}".into()) };
        let mut state = self.state();
        let Some(function) = state.functions.iter().position(|f| f.name == service) else {
            return (400, "{}".into());
        };
        let known = state.nonces.get(&(function, nonce.clone())).copied();
        let number = match known {
            Some(number) => number,
            None => {
                let memory = state.functions[function].memory_mb;
                let Some(host) = state.hosts.iter().position(|h| h.name == host) else {
                    return (409, "{}".into());
                };
                if state.used(host) + memory > state.hosts[host].memory_mb {
                    return (409, "{}".into());
                }
                let number = state.instances.len();
                let address = SocketAddr::from((state.hosts[host].ip, FIRST_PORT + number as u16));
                let Ok(socket) = TcpSocket::new_v4() else { return (409, "{}".into()) };
                if socket.set_reuseaddr(true).and_then(|()| socket.bind(address)).is_err() {
                    return (409, "{}".into());
                }
                let id = format!("i-{:08x}", 0x7f3a_0000 + number);
                let (stopped, stops) = watch::channel(false);
                let boot = state.functions[function].boot;
                let ready = None;
                self.0
                    .record
                    .line(&format!("platform starts {id} of {service} on {}", state.hosts[host].name));
                state.instances.push(Instance { id, function, host, address, ready, stopped, inflight: 0 });
                state.nonces.insert((function, nonce), number);
                tokio::spawn(self.clone().run(number, socket, boot, stops));
                number
            }
        };
        let instance = &state.instances[number];
        (200, format!("{{\"instance_id\":\"{}\",\"address\":\"{}\"}}", instance.id, instance.address))
    }

    fn stop(&self, text: &str) -> (u16, String) {
        let state = self.state();
        let id = field(text, "instance_id").unwrap_or_default();
        let Some(instance) = state.instances.iter().find(|i| i.id == id) else { return (404, "{}".into()) };
        self.0.record.line(&format!("platform stops {id}"));
        instance.stopped.send_replace(true);
        (200, "{}".into())
    }

    async fn run(self, number: usize, socket: TcpSocket, boot: Duration, mut stops: watch::Receiver<bool>) {
        tokio::select! {
            () = sleep(boot) => {}
            _ = stops.wait_for(|stopped| *stopped) => return,
        }
        let Ok(listener) = socket.listen(512) else { return };
        self.state().instances[number].ready = Some(Instant::now());
        loop {
            tokio::select! {
                taken = listener.accept() => if let Ok((stream, _)) = taken {
                    let _ = stream.set_nodelay(true);
                    tokio::spawn(self.clone().connection(number, stream));
                },
                _ = stops.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    async fn connection(self, number: usize, mut stream: TcpStream) {
        let mut buf = Vec::new();
        loop {
            let read = timeout(KEEP_ALIVE, read_request(&mut stream, &mut buf)).await;
            let Ok(Ok(request)) = read else { return };
            if !self.serve(number, &mut stream, &mut buf, &request).await {
                return;
            }
        }
    }

    /// Takes a request on: how long the work is, and the index of its arrival. Or the status that turns it away.
    fn take(&self, number: usize, id: &str, target: Option<&str>) -> Result<(Duration, usize), u16> {
        let mut state = self.state();
        let (function, instance) = (state.instances[number].function, state.instances[number].id.clone());
        if target.is_some_and(|target| target != instance) {
            return Err(421);
        }
        let full = state.instances[number].inflight >= state.functions[function].max_inflight;
        let at = Instant::now();
        let left = full.then_some(at);
        state.arrivals.push(Arrival { id: id.to_string(), instance, at, left, full });
        if full {
            return Err(503);
        }
        state.instances[number].inflight += 1;
        Ok((state.functions[function].work, state.arrivals.len() - 1))
    }

    /// Works on one request, or turns it away. False if the connection is over.
    async fn serve(
        &self,
        number: usize,
        stream: &mut TcpStream,
        buf: &mut Vec<u8>,
        request: &Request,
    ) -> bool {
        let id = request.headers.get("attempt-id").unwrap_or_default().to_string();
        let keep = ("Keep-Alive", "timeout=5");
        let not_run = [("Attempt-Id", id.as_str()), keep, ("Not-Executed", "1")];
        let (work, index) = match self.take(number, &id, request.headers.get("target-instance")) {
            Ok(taken) => taken,
            Err(status) => return stream.write_all(&response(status, &not_run, b"")).await.is_ok(),
        };
        let finished = tokio::select! {
            () = sleep(work) => true,
            _ = stream.read_buf(buf) => false,
        };
        {
            let mut state = self.state();
            state.instances[number].inflight -= 1;
            state.arrivals[index].left = Some(Instant::now());
        }
        if !finished {
            return false;
        }
        let body = format!("{} {}\n", request.method, request.target);
        let seal = seal(&id, body.as_bytes());
        let head = [("Attempt-Id", id.as_str()), keep, ("Server-Seal", seal.as_str())];
        stream.write_all(&response(200, &head, body.as_bytes())).await.is_ok()
    }
}

impl State {
    fn is_running(&self, instance: &Instance) -> bool {
        !*instance.stopped.borrow() || instance.inflight > 0
    }

    fn used(&self, host: usize) -> u32 {
        let running = self.instances.iter().filter(|i| i.host == host && self.is_running(i));
        running.map(|i| self.functions[i.function].memory_mb).sum()
    }

    fn list(&self) -> String {
        let listed = self.instances.iter().filter(|i| {
            let shown = i.ready.is_some_and(|ready| ready.elapsed() >= LAG);
            shown && !*i.stopped.borrow()
        });
        let entry = |i: &Instance| {
            format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"slots\":{},\
                 \"oper_state\":\"up\",\"cold_remaining_ms\":0,\"instance_id\":\"{}\",\"worker_id\":\"{}\"}}",
                self.functions[i.function].name,
                i.address,
                self.hosts[i.host].zone,
                self.functions[i.function].max_inflight,
                i.id,
                self.hosts[i.host].name
            )
        };
        let all: Vec<String> = listed.map(entry).collect();
        format!("{{\"instances\":[{}],\"next_token\":null}}", all.join(","))
    }

    fn hosts(&self) -> String {
        let all = self.hosts.iter().enumerate().map(|(n, host)| {
            format!(
                "{{\"name\":\"{}\",\"zone\":\"{}\",\"memory_mb\":{},\"free_memory_mb\":{},\"oper_state\":\"up\"}}",
                host.name,
                host.zone,
                host.memory_mb,
                host.memory_mb.saturating_sub(self.used(n))
            )
        });
        let all: Vec<String> = all.collect();
        format!("{{\"worker_pool\":[{}]}}", all.join(","))
    }
}

/// A worker machine.
pub fn host(name: &str, zone: &str, ip: Ipv4Addr, memory_mb: u32) -> Host {
    Host { name: name.into(), zone: zone.into(), ip, memory_mb }
}
