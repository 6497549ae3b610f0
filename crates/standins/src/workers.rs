//! A worker: refuses connections until it has started, works on `max_inflight` requests at once and turns others away.

use crate::ledger::Ledger;
use crate::platform::Function;
use crate::wire::{answer, hash, read_request, Request};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// One answer in so many closes its connection for no reason that a caller can see.
const NOW_AND_THEN: u32 = 200;
/// The longest body that a request can ask for.
const LONGEST: f64 = (4 << 20) as f64;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    Working,
    /// Serves, and asks callers to go.
    Leaving,
    /// Listens no more, and ends its work.
    Stopped,
    Crashed,
}

/// What all workers have in common: the ledger and the troubles of the moment.
#[derive(Clone)]
pub struct Habits(Arc<Common>);

struct Common {
    ledger: Ledger,
    full: AtomicUsize,
    lose: AtomicU64,
    garble: AtomicU64,
}

impl Habits {
    pub fn new(ledger: Ledger) -> Habits {
        let none = || AtomicU64::new(0f64.to_bits());
        Habits(Arc::new(Common { ledger, full: AtomicUsize::new(0), lose: none(), garble: none() }))
    }

    pub fn lose(&self, share: f64) {
        self.0.lose.store(share.to_bits(), Relaxed);
    }

    pub fn garble(&self, share: f64) {
        self.0.garble.store(share.to_bits(), Relaxed);
    }

    pub fn full(&self) -> usize {
        self.0.full.load(Relaxed)
    }
}

pub struct Terms {
    pub instance: String,
    pub function: Function,
    pub boot: Duration,
    /// Its work takes the usual time divided by this.
    pub speed: f64,
    pub keep_alive: Duration,
    pub seed: u64,
}

struct Worker {
    terms: Terms,
    habits: Habits,
    lives: watch::Receiver<Life>,
    since: Instant,
    inflight: AtomicUsize,
    chance: Mutex<oorandom::Rand32>,
}

/// A request that is worked on.
struct Held<'a>(&'a Worker);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.inflight.fetch_sub(1, Relaxed);
    }
}

/// The stamp of an answer.
pub fn seal(id: &str, body: &[u8]) -> String {
    format!("{:04x}.{}.{:016x}", body.len() % 0xffff, body.len(), hash(&[id.as_bytes(), body]))
}

/// Over what must not be changed on the way to a worker.
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> u64 {
    hash(&[method.as_bytes(), target.as_bytes(), body])
}

/// Until it takes nothing more.
async fn over(lives: &mut watch::Receiver<Life>) {
    // An error: the platform is gone, and its workers go too.
    let _ = lives.wait_for(|life| matches!(life, Life::Stopped | Life::Crashed)).await;
}

async fn crashed(lives: &mut watch::Receiver<Life>) {
    let _ = lives.wait_for(|life| *life == Life::Crashed).await;
}

/// From the start to the end of a worker on its address, which is bound and not yet listened on.
pub async fn run(
    socket: TcpSocket,
    terms: Terms,
    habits: Habits,
    mut lives: watch::Receiver<Life>,
    up: impl FnOnce(),
) {
    tokio::select! {
        () = sleep(terms.boot) => {}
        () = over(&mut lives) => return,
    }
    let Ok(listener) = socket.listen(256) else { return };
    up();
    let most = terms.function.max_concurrency;
    let worker = Arc::new(Worker {
        habits,
        lives: lives.clone(),
        since: Instant::now(),
        inflight: AtomicUsize::new(0),
        chance: Mutex::new(oorandom::Rand32::new(terms.seed)),
        terms,
    });
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        tokio::select! {
            biased;
            () = over(&mut lives) => break,
            taken = listener.accept() => match taken {
                Ok((stream, _)) if open.len() < most => {
                    let _ = stream.set_nodelay(true);
                    open.spawn(connection(worker.clone(), stream));
                }
                Ok((stream, _)) => reset(stream),
                Err(_) => sleep(Duration::from_millis(10)).await,
            },
        }
    }
    drop(listener);
    // What is in hand ends by itself, unless the machine goes too.
    tokio::select! {
        () = crashed(&mut lives) => open.abort_all(),
        () = async { while open.join_next().await.is_some() {} } => {}
    }
}

fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

async fn connection(worker: Arc<Worker>, mut stream: TcpStream) {
    let mut buf = Vec::new();
    let mut lives = worker.lives.clone();
    loop {
        let read = timeout(worker.terms.keep_alive, read_request(&mut stream, &mut buf));
        let request = tokio::select! {
            read = read => match read {
                Ok(Ok(request)) => request,
                _ => return,
            },
            () = over(&mut lives) => return,
        };
        if !worker.serve(&mut stream, &mut buf, request).await {
            return;
        }
    }
}

impl Worker {
    fn chance(&self) -> f64 {
        f64::from(self.chance.lock().unwrap_or_else(PoisonError::into_inner).rand_float())
    }

    fn falls(&self, share: &AtomicU64) -> bool {
        let share = f64::from_bits(share.load(Relaxed));
        share > 0.0 && self.chance() < share
    }

    /// Answers one request. True if the connection stays.
    async fn serve(&self, stream: &mut TcpStream, buf: &mut Vec<u8>, request: Request) -> bool {
        let headers = &request.headers;
        let close = headers.closes()
            || *self.lives.borrow() != Life::Working
            || self.chance() < 1.0 / f64::from(NOW_AND_THEN);
        let keep = format!("timeout={}", self.terms.keep_alive.as_secs().max(1));
        let id = headers.get("attempt-id").unwrap_or_default().to_string();
        let mut head: Vec<(&str, &str)> = Vec::new();
        if !id.is_empty() {
            head.push(("Attempt-Id", &id));
        }
        head.push(if close { ("Connection", "close") } else { ("Keep-Alive", &keep) });
        let mut not_run = head.clone();
        not_run.push(("Not-Executed", "1"));
        if id.is_empty() {
            return stream.write_all(&answer(400, &not_run, b"")).await.is_ok() && !close;
        }
        if headers.get("target-instance").is_some_and(|target| target != self.terms.instance) {
            return stream.write_all(&answer(421, &not_run, b"")).await.is_ok() && !close;
        }
        if self.inflight.fetch_add(1, Relaxed) >= self.terms.function.max_inflight {
            drop(Held(self));
            self.habits.0.full.fetch_add(1, Relaxed);
            return stream.write_all(&answer(503, &not_run, b"")).await.is_ok() && !close;
        }
        let held = Held(self);
        let Request { method, target, body, .. } = &request;
        self.habits.0.ledger.record_run(&id, &self.terms.function.name, request_digest(method, target, body));
        let (work, late) = self.work(&request);
        tokio::select! {
            () = sleep(work) => {}
            () = left(stream, buf) => return false,
        }
        drop(held);
        if self.falls(&self.habits.0.lose) {
            return false;
        }
        if self.falls(&self.habits.0.garble) {
            let _ = stream.write_all(b"\x16\x03\x01 these bytes are no answer\r\n\r\n").await;
            return false;
        }
        if late {
            return stream.write_all(&answer(504, &head, b"")).await.is_ok() && !close;
        }
        let size = headers.number("standin-answer-bytes").unwrap_or(64.0).min(LONGEST) as usize;
        let mut body = format!("{} {} at {}\n", request.method, request.target, self.terms.instance);
        body.extend(std::iter::repeat_n('.', size.saturating_sub(body.len())));
        let seal = seal(&id, body.as_bytes());
        head.push(("Content-Type", "text/plain"));
        head.push(("Server-Seal", &seal));
        stream.write_all(&answer(200, &head, body.as_bytes())).await.is_ok() && !close
    }

    /// How long it works, and whether that ends at the deadline.
    fn work(&self, request: &Request) -> (Duration, bool) {
        let usual = self.terms.function.work.as_secs_f64() * 1000.0;
        let mean = request.headers.number("standin-work-ms").unwrap_or(usual).min(60_000.0);
        let cold = if self.since.elapsed() < self.terms.function.cold { 1.5 } else { 1.0 };
        let ms = mean * (0.5 + self.chance()) * cold / self.terms.speed;
        let deadline = request.headers.number("deadline-ms").unwrap_or(f64::INFINITY);
        (Duration::from_secs_f64(ms.min(deadline) / 1000.0), ms > deadline)
    }
}

/// Until the caller closes its connection; what it sends meanwhile is kept, up to a bound.
async fn left(stream: &mut TcpStream, buf: &mut Vec<u8>) {
    while buf.len() < 64 << 10 {
        if !matches!(stream.read_buf(buf).await, Ok(1..)) {
            return;
        }
    }
    std::future::pending().await
}
