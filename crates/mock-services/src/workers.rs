//! A mock worker: refuses connections until it has started, processes up to `max_inflight` requests at once
//! and answers further ones with 503.

use crate::ledger::Ledger;
use crate::platform::Function;
use crate::wire::{hash, read_request, response, Request};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// One response in this many closes its connection without a reason that the caller can see.
const CLOSE_ONE_IN: u32 = 200;
/// The longest response body that a request can ask for.
const MAX_BODY_BYTES: f64 = (4 << 20) as f64;

/// The longest input that is buffered while a request is processed.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    Working,
    /// Still serves, and closes each connection after its response.
    Draining,
    /// Does not listen any more, and completes the requests in progress.
    Stopped,
    Crashed,
}

/// Shared by all workers: the ledger, the rates of injected faults and the count of requests refused as full.
#[derive(Clone)]
pub struct WorkerContext(Arc<Shared>);

struct Shared {
    ledger: Ledger,
    full: AtomicUsize,
    /// Shares of responses to lose and to garble: the bits of an `f64`.
    lose: AtomicU64,
    garble: AtomicU64,
}

impl WorkerContext {
    pub fn new(ledger: Ledger) -> WorkerContext {
        let none = || AtomicU64::new(0f64.to_bits());
        WorkerContext(Arc::new(Shared { ledger, full: AtomicUsize::new(0), lose: none(), garble: none() }))
    }

    /// Sets the share of responses that are lost.
    pub fn lose(&self, share: f64) {
        self.0.lose.store(share.to_bits(), Relaxed);
    }

    /// Sets the share of responses that are garbled.
    pub fn garble(&self, share: f64) {
        self.0.garble.store(share.to_bits(), Relaxed);
    }

    /// Number of requests refused because their worker was full.
    pub fn full(&self) -> usize {
        self.0.full.load(Relaxed)
    }
}

pub struct WorkerConfig {
    pub instance: String,
    pub function: Function,
    pub boot: Duration,
    /// Divisor of the usual processing time.
    pub speed: f64,
    pub keep_alive: Duration,
    pub seed: u64,
}

struct Worker {
    config: WorkerConfig,
    context: WorkerContext,
    state: watch::Receiver<WorkerState>,
    since: Instant,
    inflight: AtomicUsize,
    rng: Mutex<oorandom::Rand32>,
}

/// Counts a request as in progress until it is dropped.
struct InflightGuard<'a>(&'a Worker);

impl Drop for InflightGuard<'_> {
    fn drop(&mut self) {
        self.0.inflight.fetch_sub(1, Relaxed);
    }
}

/// The `Server-Seal` header of a response: binds its body to the attempt.
pub fn seal(id: &str, body: &[u8]) -> String {
    format!("{:04x}.{}.{:016x}", body.len() % 0xffff, body.len(), hash(&[id.as_bytes(), body]))
}

/// Hash of the parts of a request that must not be changed on the way to a worker.
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> u64 {
    hash(&[method.as_bytes(), target.as_bytes(), body])
}

/// Waits until the worker accepts no more requests.
async fn stopped_or_crashed(state: &mut watch::Receiver<WorkerState>) {
    // An error means that the platform was dropped; its workers end too.
    let _ = state.wait_for(|state| matches!(state, WorkerState::Stopped | WorkerState::Crashed)).await;
}

async fn crashed(state: &mut watch::Receiver<WorkerState>) {
    let _ = state.wait_for(|state| *state == WorkerState::Crashed).await;
}

/// Runs a worker from its start to its end, on a socket that is bound and does not listen yet. Calls `up`
/// once it listens.
pub async fn run(
    socket: TcpSocket,
    config: WorkerConfig,
    context: WorkerContext,
    mut state: watch::Receiver<WorkerState>,
    up: impl FnOnce(),
) {
    tokio::select! {
        () = sleep(config.boot) => {}
        () = stopped_or_crashed(&mut state) => return,
    }
    let Ok(listener) = socket.listen(256) else { return };
    up();
    let max_connections = config.function.max_concurrency;
    let worker = Arc::new(Worker {
        context,
        state: state.clone(),
        since: Instant::now(),
        inflight: AtomicUsize::new(0),
        rng: Mutex::new(oorandom::Rand32::new(config.seed)),
        config,
    });
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        tokio::select! {
            biased;
            () = stopped_or_crashed(&mut state) => break,
            taken = listener.accept() => match taken {
                Ok((stream, _)) if open.len() < max_connections => {
                    let _ = stream.set_nodelay(true);
                    open.spawn(connection(worker.clone(), stream));
                }
                Ok((stream, _)) => reset(stream),
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
        }
    }
    drop(listener);
    // Requests in progress are completed, unless the machine crashes.
    tokio::select! {
        () = crashed(&mut state) => open.abort_all(),
        () = async { while open.join_next().await.is_some() {} } => {}
    }
}

fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

async fn connection(worker: Arc<Worker>, mut stream: TcpStream) {
    let mut buf = Vec::new();
    let mut state = worker.state.clone();
    loop {
        let read = timeout(worker.config.keep_alive, read_request(&mut stream, &mut buf));
        let request = tokio::select! {
            read = read => match read {
                Ok(Ok(request)) => request,
                _ => return,
            },
            () = stopped_or_crashed(&mut state) => return,
        };
        if !worker.serve(&mut stream, &mut buf, request).await {
            return;
        }
    }
}

impl Worker {
    fn random(&self) -> f64 {
        f64::from(self.rng.lock().unwrap_or_else(PoisonError::into_inner).rand_float())
    }

    fn occurs(&self, share: &AtomicU64) -> bool {
        let share = f64::from_bits(share.load(Relaxed));
        share > 0.0 && self.random() < share
    }

    /// Answers one request. True if the connection stays open.
    async fn serve(&self, stream: &mut TcpStream, buf: &mut Vec<u8>, request: Request) -> bool {
        let headers = &request.headers;
        let close = headers.closes()
            || *self.state.borrow() != WorkerState::Working
            || self.random() < 1.0 / f64::from(CLOSE_ONE_IN);
        let keep = format!("timeout={}", self.config.keep_alive.as_secs().max(1));
        let id = headers.get("attempt-id").unwrap_or_default().to_string();
        let mut head: Vec<(&str, &str)> = Vec::new();
        if !id.is_empty() {
            head.push(("Attempt-Id", &id));
        }
        head.push(if close { ("Connection", "close") } else { ("Keep-Alive", &keep) });
        let mut not_run = head.clone();
        not_run.push(("Not-Executed", "1"));
        if id.is_empty() {
            return stream.write_all(&response(400, &not_run, b"")).await.is_ok() && !close;
        }
        if headers.get("target-instance").is_some_and(|target| target != self.config.instance) {
            return stream.write_all(&response(421, &not_run, b"")).await.is_ok() && !close;
        }
        if self.inflight.fetch_add(1, Relaxed) >= self.config.function.max_inflight {
            drop(InflightGuard(self));
            self.context.0.full.fetch_add(1, Relaxed);
            return stream.write_all(&response(503, &not_run, b"")).await.is_ok() && !close;
        }
        let guard = InflightGuard(self);
        let Request { method, target, body, .. } = &request;
        self.context.0.ledger.record_run(
            &id,
            &self.config.function.name,
            request_digest(method, target, body),
        );
        let (work, timed_out) = self.processing_time(&request);
        tokio::select! {
            () = sleep(work) => {}
            () = caller_closed(stream, buf) => return false,
        }
        drop(guard);
        if self.occurs(&self.context.0.lose) {
            return false;
        }
        if self.occurs(&self.context.0.garble) {
            let _ = stream.write_all(b"\x16\x03\x01 these bytes are no answer\r\n\r\n").await;
            return false;
        }
        if timed_out {
            return stream.write_all(&response(504, &head, b"")).await.is_ok() && !close;
        }
        let size = headers.number("standin-answer-bytes").unwrap_or(64.0).min(MAX_BODY_BYTES) as usize;
        let mut body = format!("{} {} at {}\n", request.method, request.target, self.config.instance);
        body.extend(std::iter::repeat_n('.', size.saturating_sub(body.len())));
        let seal = seal(&id, body.as_bytes());
        head.push(("Content-Type", "text/plain"));
        head.push(("Server-Seal", &seal));
        stream.write_all(&response(200, &head, body.as_bytes())).await.is_ok() && !close
    }

    /// How long the worker processes the request, and whether the request's deadline cuts that short.
    fn processing_time(&self, request: &Request) -> (Duration, bool) {
        let usual = self.config.function.work.as_secs_f64() * 1000.0;
        let mean = request.headers.number("standin-work-ms").unwrap_or(usual).min(60_000.0);
        let cold = if self.since.elapsed() < self.config.function.cold { 1.5 } else { 1.0 };
        let ms = mean * (0.5 + self.random()) * cold / self.config.speed;
        let deadline = request.headers.number("deadline-ms").unwrap_or(f64::INFINITY);
        (Duration::from_secs_f64(ms.min(deadline) / 1000.0), ms > deadline)
    }
}

/// Waits until the caller closes its connection; buffers what it sends meanwhile, up to a bound.
async fn caller_closed(stream: &mut TcpStream, buf: &mut Vec<u8>) {
    while buf.len() < MAX_BUFFERED_BYTES {
        if !matches!(stream.read_buf(buf).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}
