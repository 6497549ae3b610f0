//! Clients as PROTOCOL.md has them: each request is tried a few times within its deadline, each try on a new connection
//! to a scheduler that answered its last readiness probe (to all where none did).

use crate::system::{System, DATA_PLANE, READINESS};
use crate::wire::{self, NoAnswer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_millis(4000);
/// The first try and two more.
const TRIES: usize = 3;

/// A request of a client with its tries: when each was sent, and its status (0: no answer).
pub struct Outcome {
    pub sent: Instant,
    pub service: String,
    pub tries: Vec<(Duration, String, u16)>,
    pub served: bool,
}

pub struct Load {
    edges: Vec<(SocketAddr, SocketAddr)>,
    ready: Arc<Vec<AtomicBool>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    open: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    last: usize,
    random: u64,
}

impl Load {
    pub fn new(system: &System, edges: usize) -> Load {
        let edges: Vec<_> = (0..edges).map(|n| (system.edge(n, DATA_PLANE), system.edge(n, READINESS))).collect();
        let ready: Arc<Vec<AtomicBool>> = Arc::new(edges.iter().map(|_| AtomicBool::new(false)).collect());
        let stopped = Arc::new(AtomicBool::new(false));
        for (n, (_, at)) in edges.iter().enumerate() {
            let (at, ready, stopped) = (*at, ready.clone(), stopped.clone());
            thread::spawn(move || probe(at, n, &ready, &stopped));
        }
        Load { edges, ready, outcomes: Arc::default(), open: Arc::default(), stopped, last: 0, random: 0x9e37_79b9 }
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub fn all_ready(&self) -> bool {
        self.ready.iter().all(|ready| ready.load(Ordering::Relaxed))
    }

    pub fn ready_count(&self) -> usize {
        self.ready.iter().filter(|ready| ready.load(Ordering::Relaxed)).count()
    }

    /// Sends one request of a client, in the background.
    pub fn send(&mut self, service: &str) {
        self.last += 1;
        let (first, seed, number) = (self.random() as usize, self.random(), self.last);
        let (edges, ready, outcomes, open) = (self.edges.clone(), self.ready.clone(), self.outcomes.clone(), self.open.clone());
        let service = service.to_string();
        open.fetch_add(1, Ordering::Relaxed);
        thread::spawn(move || {
            let outcome = request(&edges, &ready, first, seed, number, &service);
            outcomes.lock().unwrap_or_else(PoisonError::into_inner).push(outcome);
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Waits for the requests under way, and returns all in the order in which they were sent.
    pub fn finish(&self) -> Vec<Outcome> {
        let end = Instant::now() + DEADLINE * 2;
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
        self.stopped.store(true, Ordering::Relaxed);
        let mut all = std::mem::take(&mut *self.outcomes.lock().unwrap_or_else(PoisonError::into_inner));
        all.sort_by_key(|outcome| outcome.sent);
        all
    }
}

/// The platform's probes: one a second; out after two misses in a row, in again after one 200.
fn probe(at: SocketAddr, n: usize, ready: &[AtomicBool], stopped: &AtomicBool) {
    let mut missed = 0;
    while !stopped.load(Ordering::Relaxed) {
        let bytes = wire::request("GET", "/v1/readiness", &[("Host", "probe"), ("Connection", "close")], b"");
        let is_ready = wire::call(at, &bytes, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200);
        missed = if is_ready { 0 } else { missed + 1 };
        if missed != 1 {
            ready[n].store(is_ready, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(if is_ready { 1000 } else { 250 }));
    }
}

fn request(edges: &[(SocketAddr, SocketAddr)], ready: &[AtomicBool], first: usize, seed: u64, number: usize, service: &str) -> Outcome {
    let sent = Instant::now();
    let mut outcome = Outcome { sent, service: service.to_string(), tries: Vec::new(), served: false };
    for n in 0..TRIES {
        let left = DEADLINE.saturating_sub(sent.elapsed());
        if left < Duration::from_millis(50) {
            break;
        }
        let open: Vec<usize> = (0..edges.len()).filter(|n| ready[*n].load(Ordering::Relaxed)).collect();
        let open = if open.is_empty() { (0..edges.len()).collect() } else { open };
        let to = edges[open[(first + n) % open.len()]].0;
        let id = format!("{number:08x}{:08x}", (seed >> (n * 8)) as u32);
        let deadline = left.as_millis().to_string();
        let headers = [("Host", "drill.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", deadline.as_str()), ("Connection", "close")];
        let bytes = wire::request("GET", &format!("/{service}/{number}"), &headers, b"");
        let at = sent.elapsed();
        let answer = wire::call(to, &bytes, left);
        let status = answer.as_ref().map_or(0, wire::Message::status);
        outcome.tries.push((at, id.clone(), status));
        match answer {
            Ok(answer) if status == 200 => {
                outcome.served = answer.body == format!("ran {id}").as_bytes() && !answer.header("server-seal").is_empty();
                return outcome;
            }
            Ok(answer) => {
                let left = DEADLINE.saturating_sub(sent.elapsed());
                let after = answer.header("retry-after").parse().unwrap_or(0.05);
                thread::sleep(Duration::from_secs_f64(after).min(left / 3));
            }
            Err(NoAnswer::TimedOut) => return outcome,
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
    outcome
}
