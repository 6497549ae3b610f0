//! Clients: they reach the proxy that the platform selects ([`ProxySelector`]), reuse connections or open new
//! ones, send each attempt under an id of its own and repeat only what the protocol permits.
//!
//! A client cannot observe directly whether a proxy has read a request. A reset before the first byte of a
//! response counts as not read (a process that had read all of it closes with EOF instead), an EOF as read.

use crate::ledger::{Ledger, SentAttempt};
use crate::wire::{call, read_response, request, request_in_chunks, ReadError};
use crate::workers::{request_digest, seal};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between attempts where the response has no `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// An idle connection is reused for at most this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// A proxy gets no new connections after this many failed readiness checks in a row.
const MAX_MISSES: u32 = 2;
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The addresses of a proxy, as the platform has them.
#[derive(Debug, Clone)]
pub struct ProxyAddress {
    pub zone: String,
    pub data_plane: SocketAddr,
    pub readiness: SocketAddr,
}

struct CheckedProxy {
    proxy: ProxyAddress,
    misses: AtomicU32,
}

/// Selects a proxy for each new connection, as the platform does: by readiness, which is checked each second.
pub struct ProxySelector {
    proxies: Arc<Vec<CheckedProxy>>,
    checks: AbortHandle,
}

impl ProxySelector {
    pub fn new(proxies: Vec<ProxyAddress>) -> ProxySelector {
        let proxies: Vec<CheckedProxy> =
            proxies.into_iter().map(|proxy| CheckedProxy { proxy, misses: AtomicU32::new(0) }).collect();
        let proxies = Arc::new(proxies);
        let checked = proxies.clone();
        let checks = tokio::spawn(async move {
            loop {
                let mut open = JoinSet::new();
                for (index, checked) in checked.iter().enumerate() {
                    let at = checked.proxy.readiness;
                    open.spawn(async move { (index, ready(at).await) });
                }
                let next = Instant::now() + CHECK_INTERVAL;
                while let Some(done) = open.join_next().await {
                    let Ok((index, ready)) = done else { continue };
                    let misses = &checked[index].misses;
                    let one_more = misses.load(Relaxed).saturating_add(1);
                    misses.store(if ready { 0 } else { one_more }, Relaxed);
                }
                sleep_until(next).await;
            }
        });
        ProxySelector { proxies, checks: checks.abort_handle() }
    }

    /// The proxy for an attempt of a request. Attempts count from 0; each selects another proxy, local zone
    /// first.
    pub fn pick(&self, zone: &str, client: u64, attempt: usize) -> Option<SocketAddr> {
        let is_ready = |w: &&CheckedProxy| w.misses.load(Relaxed) < MAX_MISSES;
        let local: Vec<&CheckedProxy> = self.proxies.iter().filter(|w| w.proxy.zone == zone).collect();
        let remote: Vec<&CheckedProxy> = self.proxies.iter().filter(|w| w.proxy.zone != zone).collect();
        let selected = |all: &[&'_ CheckedProxy]| -> Vec<SocketAddr> {
            let ready: Vec<&&CheckedProxy> = all.iter().filter(|w| is_ready(w)).collect();
            // Fewer than half are ready: all are selected; none is ready: other zones are.
            if ready.is_empty() {
                Vec::new()
            } else if ready.len() * 2 < all.len() {
                all.iter().map(|w| w.proxy.data_plane).collect()
            } else {
                ready.iter().map(|w| w.proxy.data_plane).collect()
            }
        };
        let mut order = Vec::new();
        for mut part in [selected(&local), selected(&remote)] {
            if !part.is_empty() {
                let first = (client % part.len() as u64) as usize;
                part.rotate_left(first);
            }
            order.extend(part);
        }
        if order.is_empty() {
            order = self.proxies.iter().map(|w| w.proxy.data_plane).collect();
        }
        order.get(attempt % order.len().max(1)).copied()
    }
}

impl Drop for ProxySelector {
    fn drop(&mut self) {
        self.checks.abort();
    }
}

/// Whether a proxy reports that it accepts new connections.
pub async fn ready(at: SocketAddr) -> bool {
    let bytes = request("GET", "/v1/readiness", &[("Host", "readiness"), ("Connection", "close")], b"");
    call(at, CHECK_INTERVAL.mul_f64(0.9), &bytes, "GET").await.is_some_and(|response| response.status == 200)
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: String,
    pub method: String,
    pub hostname: String,
    /// The route's prefix; each request appends its number.
    pub path: String,
    pub service: String,
    pub repeatable: bool,
    /// Its weight among the classes in the random choice of requests.
    pub share: f64,
    pub target_latency: Duration,
    pub deadline: Duration,
    pub work: Duration,
    pub answer_bytes: usize,
    pub body_bytes: usize,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    OnTime,
    Late,
    /// The last attempt was answered with a status that states that it has not run.
    Refused,
    Failed,
}

#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub class: usize,
    /// When it was first sent, from the start of the load.
    pub at: Duration,
    /// From the first attempt to the end of the last.
    pub took: Duration,
    pub outcome: Outcome,
    pub attempts: usize,
}

#[derive(Debug, Clone)]
pub struct Load {
    pub classes: Vec<Class>,
    pub zones: Vec<String>,
    /// Requests a second in total.
    pub rate: f64,
    pub duration: Duration,
    /// Users; connections are not shared between them.
    pub users: usize,
    /// Probability that a request reuses an idle connection of its user if there is one.
    pub reuse_probability: f64,
    pub seed: u64,
}

struct IdleConnection {
    stream: TcpStream,
    until: Instant,
}

struct User {
    zone: String,
    hash: u64,
    idle: Mutex<Vec<IdleConnection>>,
}

impl User {
    /// Takes an idle connection that is open and has no unread bytes.
    fn take(&self) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(IdleConnection { stream, until }) = idle.pop() {
            let mut byte = [0; 1];
            let is_quiet =
                matches!(stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if is_quiet && Instant::now() < until {
                return Some(stream);
            }
        }
        None
    }

    /// Keeps a connection for reuse; `stated` is the server's keep-alive time.
    fn put(&self, stream: TcpStream, stated: Option<Duration>) {
        let until = Instant::now() + stated.map_or(IDLE_TIMEOUT, |s| s.mul_f64(0.8).min(IDLE_TIMEOUT));
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(IdleConnection { stream, until });
    }
}

/// Clients of one deployment.
pub struct Clients {
    selector: ProxySelector,
    ledger: Ledger,
    users: Vec<Arc<User>>,
    seed: u64,
}

/// How an attempt ended, which decides whether its request may be repeated.
enum AttemptEnd {
    Success,
    /// A status after which a request is not repeated.
    Final,
    /// The status states that it has not run; it may be repeated after this time.
    NotRun(Option<Duration>),
    /// The proxy has not read it.
    Unread,
    MayHaveRun,
}

impl Clients {
    pub fn new(
        selector: ProxySelector,
        ledger: Ledger,
        zones: &[String],
        users: usize,
        seed: u64,
    ) -> Arc<Clients> {
        let mut rng = oorandom::Rand64::new(seed.into());
        let user = |n: usize| User {
            zone: zones.get(n % zones.len().max(1)).cloned().unwrap_or_default(),
            hash: rng.rand_u64(),
            idle: Mutex::new(Vec::new()),
        };
        let users = (0..users.max(1)).map(user).map(Arc::new).collect();
        Arc::new(Clients { selector, ledger, users, seed })
    }

    /// Plays a load: requests arrive at random (a Poisson process), whether earlier ones are answered or not.
    /// Returns when all have ended.
    pub async fn play(self: &Arc<Self>, load: &Load) -> Vec<RequestRecord> {
        let mut rng = oorandom::Rand64::new((load.seed ^ 0x5eed).into());
        let start = Instant::now();
        let classes: Arc<[Class]> = load.classes.clone().into();
        let all: f64 = classes.iter().map(|c| c.share).sum();
        let mut open = JoinSet::new();
        let (mut at, mut done) = (Duration::ZERO, Vec::new());
        for number in 0u64.. {
            at += Duration::from_secs_f64((-(1.0 - rng.rand_float()).ln() / load.rate).min(60.0));
            if at >= load.duration || all <= 0.0 {
                break;
            }
            let mut left = rng.rand_float() * all;
            let class = classes.iter().position(|c| {
                left -= c.share;
                left < 0.0
            });
            let user = rng.rand_range(0..self.users.len() as u64) as usize;
            let reuse = rng.rand_float() < load.reuse_probability;
            let (class, clients, classes) = (class.unwrap_or(0), self.clone(), classes.clone());
            // Collects ended requests until the next one is due.
            while let Ok(Some(ended)) = timeout_at(start + at, open.join_next()).await {
                done.extend(ended.ok());
            }
            sleep_until(start + at).await;
            open.spawn(async move {
                let (outcome, took, attempts) = clients.request(&classes[class], number, user, reuse).await;
                RequestRecord { class, at, took, outcome, attempts }
            });
        }
        while let Some(ended) = open.join_next().await {
            done.extend(ended.ok());
        }
        done.sort_by_key(|d| d.at);
        done
    }

    /// Sends one request of a user and repeats it as the protocol permits. Returns its outcome, its duration
    /// and the number of attempts. `number` must be unique among the requests.
    pub async fn request(
        &self,
        class: &Class,
        number: u64,
        user: usize,
        reuse: bool,
    ) -> (Outcome, Duration, usize) {
        let start = Instant::now();
        let end = start + class.deadline;
        let user = &self.users[user % self.users.len()];
        let target = format!("{}{number:x}", class.path);
        let body: Vec<u8> = (0..class.body_bytes).map(|n| b'a' + (n as u64 + number) as u8 % 26).collect();
        let mut last = Outcome::Failed;
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("{:08x}{number:08x}{attempt:02x}", self.seed as u32);
            let (repeatable, service) = (class.repeatable, class.service.clone());
            let digest = request_digest(&class.method, &target, &body);
            let request = self.seed << 32 | number;
            self.ledger.record_sent(&id, SentAttempt { request, repeatable, service, digest });
            let idle = if attempt == 0 && reuse { user.take() } else { None };
            let end_try = self.attempt(class, &id, &target, &body, user, attempt, idle, end).await;
            let took = start.elapsed();
            let pause = match end_try {
                AttemptEnd::Success if took <= class.target_latency => {
                    return (Outcome::OnTime, took, attempt + 1)
                }
                AttemptEnd::Success => return (Outcome::Late, took, attempt + 1),
                AttemptEnd::Final => return (Outcome::Failed, took, attempt + 1),
                AttemptEnd::NotRun(after) => {
                    last = Outcome::Refused;
                    after.unwrap_or(RETRY_DELAY).min(end.saturating_duration_since(Instant::now()) / 3)
                }
                AttemptEnd::Unread => {
                    last = Outcome::Failed;
                    RETRY_DELAY
                }
                AttemptEnd::MayHaveRun if class.repeatable => {
                    last = Outcome::Failed;
                    RETRY_DELAY
                }
                AttemptEnd::MayHaveRun => return (Outcome::Failed, took, attempt + 1),
            };
            if attempt + 1 == MAX_ATTEMPTS || Instant::now() + pause + Duration::from_millis(10) >= end {
                return (last, took, attempt + 1);
            }
            sleep(pause).await;
        }
        (last, start.elapsed(), MAX_ATTEMPTS)
    }

    #[allow(clippy::too_many_arguments)]
    async fn attempt(
        &self,
        class: &Class,
        id: &str,
        target: &str,
        body: &[u8],
        user: &User,
        attempt: usize,
        idle: Option<TcpStream>,
        end: Instant,
    ) -> AttemptEnd {
        let mut stream = match idle {
            Some(stream) => stream,
            None => {
                let Some(at) = self.selector.pick(&user.zone, user.hash, attempt) else {
                    return AttemptEnd::Unread;
                };
                let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await else {
                    return AttemptEnd::Unread;
                };
                let _ = stream.set_nodelay(true);
                stream
            }
        };
        let left = end.saturating_duration_since(Instant::now()).as_millis().to_string();
        let work = class.work.as_millis().to_string();
        let bytes = class.answer_bytes.to_string();
        let headers = [
            ("Host", class.hostname.as_str()),
            ("Attempt-Id", id),
            ("Deadline-Ms", &left),
            ("Standin-Work-Ms", &work),
            ("Standin-Answer-Bytes", &bytes),
        ];
        // By user, bodies are sent with a length or in chunks.
        let out = if user.hash % 2 == 1 && !body.is_empty() {
            request_in_chunks(&class.method, target, &headers, body, 100)
        } else {
            request(&class.method, target, &headers, body)
        };
        let mut buf = Vec::new();
        let exchange = async {
            if let Err(why) = stream.write_all(&out).await {
                let reset = matches!(
                    why.kind(),
                    std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe
                );
                return Err(if reset { ReadError::Reset } else { ReadError::Truncated });
            }
            read_response(&mut stream, &mut buf, &class.method).await
        };
        let response = match timeout_at(end, exchange).await {
            Err(_) => return AttemptEnd::MayHaveRun,
            Ok(Err(ReadError::Reset)) => return AttemptEnd::Unread,
            Ok(Err(ReadError::Closed | ReadError::Truncated)) => return AttemptEnd::MayHaveRun,
            Ok(Err(ReadError::Malformed)) => {
                self.ledger.record_mixed(&format!("{id}: bytes that are not a response"));
                return AttemptEnd::MayHaveRun;
            }
            Ok(Ok(response)) => response,
        };
        self.ledger.record_status(id, response.status);
        let is_other = response.headers.get("attempt-id").is_some_and(|other| other != id);
        if is_other || !buf.is_empty() {
            let what =
                if is_other { "a response to another attempt" } else { "bytes after a complete response" };
            self.ledger.record_mixed(&format!("{id}: {what}"));
        }
        let stated = response.headers.keep_alive();
        if !response.headers.closes() && buf.is_empty() {
            user.put(stream, stated);
        }
        match response.status {
            200..=299 => {
                let is_complete = response.headers.get("server-seal") == Some(&seal(id, &response.body));
                if !is_complete || response.headers.get("content-encoding").is_some() {
                    self.ledger
                        .record_mixed(&format!("{id}: a success without the worker's seal of its body"));
                }
                AttemptEnd::Success
            }
            400 | 401 | 404 | 413 | 431 => AttemptEnd::Final,
            408 | 421 | 429 | 503 => AttemptEnd::NotRun(response.headers.retry_after()),
            _ => AttemptEnd::MayHaveRun,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{read_request, response};
    use rstest::rstest;
    use tokio::net::TcpListener;

    enum Reaction {
        Status(u16),
        Close,
    }

    /// A mock proxy that reacts to each request with the next of these, and counts the requests.
    async fn mock_proxy(reactions: &'static [Reaction]) -> (Arc<Clients>, Arc<AtomicU32>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let at = listener.local_addr().expect("an address");
        let seen = Arc::new(AtomicU32::new(0));
        let counted = seen.clone();
        tokio::spawn(async move {
            loop {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let counted = counted.clone();
                tokio::spawn(async move {
                    let mut buf = Vec::new();
                    while let Ok(request) = read_request(&mut stream, &mut buf).await {
                        if request.target == "/v1/readiness" {
                            let _ = stream.write_all(&response(200, &[], b"")).await;
                            return;
                        }
                        let attempt = counted.fetch_add(1, Relaxed) as usize;
                        let Reaction::Status(status) = reactions[attempt.min(reactions.len() - 1)] else {
                            return;
                        };
                        let id = request.headers.get("attempt-id").unwrap_or_default();
                        let seal = seal(id, b"x");
                        let headers = [("Attempt-Id", id), ("Server-Seal", &seal), ("Retry-After", "0.01")];
                        let _ = stream.write_all(&response(status, &headers, b"x")).await;
                    }
                });
            }
        });
        let proxy = ProxyAddress { zone: "a".into(), data_plane: at, readiness: at };
        let clients = Clients::new(ProxySelector::new(vec![proxy]), Ledger::default(), &["a".into()], 1, 1);
        (clients, seen)
    }

    fn class(repeatable: bool) -> Class {
        Class {
            name: "c".into(),
            method: "POST".into(),
            hostname: "h.example".into(),
            path: "/a/".into(),
            service: "f".into(),
            repeatable,
            share: 1.0,
            target_latency: Duration::from_secs(1),
            deadline: Duration::from_secs(2),
            work: Duration::ZERO,
            answer_bytes: 1,
            body_bytes: 3,
        }
    }

    #[rstest]
    #[case::served(false, &[Reaction::Status(200)], Outcome::OnTime, 1)]
    #[case::not_run(false, &[Reaction::Status(503), Reaction::Status(200)], Outcome::OnTime, 2)]
    #[case::not_run_every_time(false, &[Reaction::Status(503)], Outcome::Refused, 4)]
    #[case::may_have_run(false, &[Reaction::Status(502), Reaction::Status(200)], Outcome::Failed, 1)]
    #[case::may_have_run_repeat(true, &[Reaction::Status(502), Reaction::Status(200)], Outcome::OnTime, 2)]
    #[case::closed(false, &[Reaction::Close, Reaction::Status(200)], Outcome::Failed, 1)]
    #[case::closed_repeatable(true, &[Reaction::Close, Reaction::Status(200)], Outcome::OnTime, 2)]
    #[case::no_route(true, &[Reaction::Status(404)], Outcome::Failed, 1)]
    #[tokio::test]
    async fn an_attempt_that_may_have_run_is_repeated_only_if_repeatable(
        #[case] repeatable: bool,
        #[case] reactions: &'static [Reaction],
        #[case] wanted: Outcome,
        #[case] attempts: usize,
    ) {
        let (clients, seen) = mock_proxy(reactions).await;
        let (outcome, _, attempted) = clients.request(&class(repeatable), 1, 0, true).await;
        assert_eq!((outcome, attempted, seen.load(Relaxed) as usize), (wanted, attempts, attempts));
        assert_eq!(clients.ledger.findings(), []);
    }

    #[tokio::test]
    async fn further_attempts_reach_other_proxies_local_zone_first() {
        let proxy = |zone: &str, n: u8| {
            let at = SocketAddr::from(([127, 0, 0, n], 1));
            ProxyAddress { zone: zone.into(), data_plane: at, readiness: at }
        };
        let selector = ProxySelector::new(vec![proxy("a", 1), proxy("a", 2), proxy("b", 3)]);
        let mut picked: Vec<_> = (0..3).filter_map(|attempt| selector.pick("a", 5, attempt)).collect();
        assert_eq!(picked[2], SocketAddr::from(([127, 0, 0, 3], 1)));
        picked.sort();
        picked.dedup();
        assert_eq!(picked.len(), 3);
    }
}
