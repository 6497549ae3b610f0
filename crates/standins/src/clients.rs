//! Clients: they come through the platform's choice of desks ([`ProxySelector`]), keep connections or open new ones, give every
//! try an id of its own and repeat only what the protocol lets them.
//!
//! One thing can't be seen from a real socket: whether a desk has read a request. A reset before the first byte of an
//! answer counts as not read (a process that had read all of it leaves an end instead), an end as read.

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

/// A new connection is given so long to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Between tries where no time was stated.
const PAUSE: Duration = Duration::from_millis(40);
/// An idle connection is used again for so long.
const KEPT: Duration = Duration::from_secs(4);
/// Tries of one request.
const TRIES: usize = 4;
/// Two misses in a row and a desk gets no new connections.
const MISSES: u32 = 2;
const CHECK: Duration = Duration::from_secs(1);

/// A desk as the platform knows it.
#[derive(Debug, Clone)]
pub struct ProxyAddress {
    pub zone: String,
    pub data_plane: SocketAddr,
    pub readiness: SocketAddr,
}

struct Watched {
    door: ProxyAddress,
    misses: AtomicU32,
}

/// The platform's choice of a desk for each new connection, by readiness each second.
pub struct ProxySelector {
    doors: Arc<Vec<Watched>>,
    watch: AbortHandle,
}

impl ProxySelector {
    pub fn new(doors: Vec<ProxyAddress>) -> ProxySelector {
        let doors: Vec<Watched> =
            doors.into_iter().map(|door| Watched { door, misses: AtomicU32::new(0) }).collect();
        let doors = Arc::new(doors);
        let watched = doors.clone();
        let watch = tokio::spawn(async move {
            loop {
                let mut checks = JoinSet::new();
                for (index, watched) in watched.iter().enumerate() {
                    let at = watched.door.readiness;
                    checks.spawn(async move { (index, ready(at).await) });
                }
                let next = Instant::now() + CHECK;
                while let Some(done) = checks.join_next().await {
                    let Ok((index, ready)) = done else { continue };
                    let misses = &watched[index].misses;
                    let more = misses.load(Relaxed).saturating_add(1);
                    misses.store(if ready { 0 } else { more }, Relaxed);
                }
                sleep_until(next).await;
            }
        });
        ProxySelector { doors, watch: watch.abort_handle() }
    }

    /// The desk for a client's try, counted from 0; further tries reach others.
    pub fn pick(&self, zone: &str, client: u64, turn: usize) -> Option<SocketAddr> {
        let is_in = |w: &&Watched| w.misses.load(Relaxed) < MISSES;
        let own: Vec<&Watched> = self.doors.iter().filter(|w| w.door.zone == zone).collect();
        let others: Vec<&Watched> = self.doors.iter().filter(|w| w.door.zone != zone).collect();
        let narrowed = |all: &[&'_ Watched]| -> Vec<SocketAddr> {
            let kept: Vec<&&Watched> = all.iter().filter(|w| is_in(w)).collect();
            // Under half: all of them; none: the zones beside it.
            if kept.is_empty() {
                Vec::new()
            } else if kept.len() * 2 < all.len() {
                all.iter().map(|w| w.door.data_plane).collect()
            } else {
                kept.iter().map(|w| w.door.data_plane).collect()
            }
        };
        let mut order = Vec::new();
        for mut part in [narrowed(&own), narrowed(&others)] {
            if !part.is_empty() {
                let first = (client % part.len() as u64) as usize;
                part.rotate_left(first);
            }
            order.extend(part);
        }
        if order.is_empty() {
            order = self.doors.iter().map(|w| w.door.data_plane).collect();
        }
        order.get(turn % order.len().max(1)).copied()
    }
}

impl Drop for ProxySelector {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// Whether a desk says that it wants new connections.
pub async fn ready(at: SocketAddr) -> bool {
    let bytes = request("GET", "/v1/readiness", &[("Host", "readiness"), ("Connection", "close")], b"");
    call(at, CHECK.mul_f64(0.9), &bytes, "GET").await.is_some_and(|answer| answer.status == 200)
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: String,
    pub method: String,
    pub hostname: String,
    /// The route's prefix; each request adds a part of its own.
    pub path: String,
    pub service: String,
    pub repeatable: bool,
    /// Its part of all requests, beside those of the others.
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
    /// The last word was a promise that it has not run.
    Refused,
    Failed,
}

#[derive(Debug, Clone)]
pub struct Done {
    pub class: usize,
    /// When it was first sent, from the start of play.
    pub at: Duration,
    /// From then to its end, further tries included.
    pub took: Duration,
    pub outcome: Outcome,
    pub tries: usize,
}

#[derive(Debug, Clone)]
pub struct Load {
    pub classes: Vec<Class>,
    pub zones: Vec<String>,
    /// Requests a second, all together.
    pub rate: f64,
    pub length: Duration,
    /// Users, each with connections of its own.
    pub users: usize,
    /// How often a kept connection is used where there is one.
    pub keeps: f64,
    pub seed: u64,
}

struct Kept {
    stream: TcpStream,
    until: Instant,
}

struct User {
    zone: String,
    hash: u64,
    kept: Mutex<Vec<Kept>>,
}

impl User {
    /// A connection that is still open and quiet.
    fn take(&self) -> Option<TcpStream> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(Kept { stream, until }) = kept.pop() {
            let mut byte = [0; 1];
            let quiet =
                matches!(stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if quiet && Instant::now() < until {
                return Some(stream);
            }
        }
        None
    }

    fn keep(&self, stream: TcpStream, stated: Option<Duration>) {
        let until = Instant::now() + stated.map_or(KEPT, |s| s.mul_f64(0.8).min(KEPT));
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).push(Kept { stream, until });
    }
}

/// Clients of one deployment.
pub struct Clients {
    entry: ProxySelector,
    ledger: Ledger,
    users: Vec<Arc<User>>,
    seed: u64,
}

enum Try {
    Success,
    /// None after this status.
    Final,
    /// It has not run; another try is welcome after so long.
    Promise(Option<Duration>),
    /// It was not read.
    Unread,
    MayHaveRun,
}

impl Clients {
    pub fn new(
        entry: ProxySelector,
        ledger: Ledger,
        zones: &[String],
        users: usize,
        seed: u64,
    ) -> Arc<Clients> {
        let mut chance = oorandom::Rand64::new(seed.into());
        let user = |n: usize| User {
            zone: zones.get(n % zones.len().max(1)).cloned().unwrap_or_default(),
            hash: chance.rand_u64(),
            kept: Mutex::new(Vec::new()),
        };
        let users = (0..users.max(1)).map(user).map(Arc::new).collect();
        Arc::new(Clients { entry, ledger, users, seed })
    }

    /// Plays a load: requests come by chance, whether earlier ones are answered or not. Ends when all have ended.
    pub async fn play(self: &Arc<Self>, load: &Load) -> Vec<Done> {
        let mut chance = oorandom::Rand64::new((load.seed ^ 0x5eed).into());
        let start = Instant::now();
        let classes: Arc<[Class]> = load.classes.clone().into();
        let all: f64 = classes.iter().map(|c| c.share).sum();
        let mut open = JoinSet::new();
        let (mut at, mut done) = (Duration::ZERO, Vec::new());
        for number in 0u64.. {
            at += Duration::from_secs_f64((-(1.0 - chance.rand_float()).ln() / load.rate).min(60.0));
            if at >= load.length || all <= 0.0 {
                break;
            }
            let mut left = chance.rand_float() * all;
            let class = classes.iter().position(|c| {
                left -= c.share;
                left < 0.0
            });
            let user = chance.rand_range(0..self.users.len() as u64) as usize;
            let keeps = chance.rand_float() < load.keeps;
            let (class, clients, classes) = (class.unwrap_or(0), self.clone(), classes.clone());
            // Ended ones are taken in meanwhile.
            while let Ok(Some(ended)) = timeout_at(start + at, open.join_next()).await {
                done.extend(ended.ok());
            }
            sleep_until(start + at).await;
            open.spawn(async move {
                let (outcome, took, tries) = clients.request(&classes[class], number, user, keeps).await;
                Done { class, at, took, outcome, tries }
            });
        }
        while let Some(ended) = open.join_next().await {
            done.extend(ended.ok());
        }
        done.sort_by_key(|d| d.at);
        done
    }

    /// One request of a user, with its further tries. `number` is no other request's.
    pub async fn request(
        &self,
        class: &Class,
        number: u64,
        user: usize,
        keeps: bool,
    ) -> (Outcome, Duration, usize) {
        let start = Instant::now();
        let end = start + class.deadline;
        let user = &self.users[user % self.users.len()];
        let target = format!("{}{number:x}", class.path);
        let body: Vec<u8> = (0..class.body_bytes).map(|n| b'a' + (n as u64 + number) as u8 % 26).collect();
        let mut last = Outcome::Failed;
        for turn in 0..TRIES {
            let id = format!("{:08x}{number:08x}{turn:02x}", self.seed as u32);
            let (repeatable, service) = (class.repeatable, class.service.clone());
            let digest = request_digest(&class.method, &target, &body);
            let request = self.seed << 32 | number;
            self.ledger.record_sent(&id, SentAttempt { request, repeatable, service, digest });
            let kept = if turn == 0 && keeps { user.take() } else { None };
            let end_try = self.attempt(class, &id, &target, &body, user, turn, kept, end).await;
            let took = start.elapsed();
            let pause = match end_try {
                Try::Success if took <= class.target_latency => return (Outcome::OnTime, took, turn + 1),
                Try::Success => return (Outcome::Late, took, turn + 1),
                Try::Final => return (Outcome::Failed, took, turn + 1),
                Try::Promise(after) => {
                    last = Outcome::Refused;
                    after.unwrap_or(PAUSE).min(end.saturating_duration_since(Instant::now()) / 3)
                }
                Try::Unread => {
                    last = Outcome::Failed;
                    PAUSE
                }
                Try::MayHaveRun if class.repeatable => {
                    last = Outcome::Failed;
                    PAUSE
                }
                Try::MayHaveRun => return (Outcome::Failed, took, turn + 1),
            };
            if turn + 1 == TRIES || Instant::now() + pause + Duration::from_millis(10) >= end {
                return (last, took, turn + 1);
            }
            sleep(pause).await;
        }
        (last, start.elapsed(), TRIES)
    }

    #[allow(clippy::too_many_arguments)]
    async fn attempt(
        &self,
        class: &Class,
        id: &str,
        target: &str,
        body: &[u8],
        user: &User,
        turn: usize,
        kept: Option<TcpStream>,
        end: Instant,
    ) -> Try {
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                let Some(at) = self.entry.pick(&user.zone, user.hash, turn) else { return Try::Unread };
                let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await else {
                    return Try::Unread;
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
        // Bodies come with a length or in chunks.
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
        let answer = match timeout_at(end, exchange).await {
            Err(_) => return Try::MayHaveRun,
            Ok(Err(ReadError::Reset)) => return Try::Unread,
            Ok(Err(ReadError::Closed | ReadError::Truncated)) => return Try::MayHaveRun,
            Ok(Err(ReadError::Malformed)) => {
                self.ledger.record_mixed(&format!("{id}: bytes that are no answer"));
                return Try::MayHaveRun;
            }
            Ok(Ok(answer)) => answer,
        };
        self.ledger.record_status(id, answer.status);
        let theirs = answer.headers.get("attempt-id").is_some_and(|theirs| theirs != id);
        if theirs || !buf.is_empty() {
            let what = if theirs { "an answer to another" } else { "more after a whole answer" };
            self.ledger.record_mixed(&format!("{id}: {what}"));
        }
        let stated = answer.headers.keep_alive();
        if !answer.headers.closes() && buf.is_empty() {
            user.keep(stream, stated);
        }
        match answer.status {
            200..=299 => {
                let whole = answer.headers.get("server-seal") == Some(&seal(id, &answer.body));
                if !whole || answer.headers.get("content-encoding").is_some() {
                    self.ledger
                        .record_mixed(&format!("{id}: a success without the worker's seal on its body"));
                }
                Try::Success
            }
            400 | 401 | 404 | 413 | 431 => Try::Final,
            408 | 421 | 429 | 503 => Try::Promise(answer.headers.retry_after()),
            _ => Try::MayHaveRun,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{answer, read_request};
    use rstest::rstest;
    use tokio::net::TcpListener;

    enum Says {
        Status(u16),
        Close,
    }

    /// A front that says these in turn, one for each request, and counts them.
    async fn front(says: &'static [Says]) -> (Arc<Clients>, Arc<AtomicU32>) {
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
                            let _ = stream.write_all(&answer(200, &[], b"")).await;
                            return;
                        }
                        let turn = counted.fetch_add(1, Relaxed) as usize;
                        let Says::Status(status) = says[turn.min(says.len() - 1)] else { return };
                        let id = request.headers.get("attempt-id").unwrap_or_default();
                        let seal = seal(id, b"x");
                        let headers = [("Attempt-Id", id), ("Server-Seal", &seal), ("Retry-After", "0.01")];
                        let _ = stream.write_all(&answer(status, &headers, b"x")).await;
                    }
                });
            }
        });
        let door = ProxyAddress { zone: "a".into(), data_plane: at, readiness: at };
        let clients = Clients::new(ProxySelector::new(vec![door]), Ledger::default(), &["a".into()], 1, 1);
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
    #[case::served(false, &[Says::Status(200)], Outcome::OnTime, 1)]
    #[case::promised(false, &[Says::Status(503), Says::Status(200)], Outcome::OnTime, 2)]
    #[case::refused_to_the_end(false, &[Says::Status(503)], Outcome::Refused, 4)]
    #[case::nothing_promised(false, &[Says::Status(502), Says::Status(200)], Outcome::Failed, 1)]
    #[case::nothing_promised_repeatable(true, &[Says::Status(502), Says::Status(200)], Outcome::OnTime, 2)]
    #[case::closed(false, &[Says::Close, Says::Status(200)], Outcome::Failed, 1)]
    #[case::closed_repeatable(true, &[Says::Close, Says::Status(200)], Outcome::OnTime, 2)]
    #[case::no_route(true, &[Says::Status(404)], Outcome::Failed, 1)]
    #[tokio::test]
    async fn repeats_by_the_rules(
        #[case] repeatable: bool,
        #[case] says: &'static [Says],
        #[case] wanted: Outcome,
        #[case] tries: usize,
    ) {
        let (clients, seen) = front(says).await;
        let (outcome, _, tried) = clients.request(&class(repeatable), 1, 0, true).await;
        assert_eq!((outcome, tried, seen.load(Relaxed) as usize), (wanted, tries, tries));
        assert_eq!(clients.ledger.findings(), []);
    }

    #[tokio::test]
    async fn tries_reach_other_desks() {
        let door = |zone: &str, n: u8| {
            let at = SocketAddr::from(([127, 0, 0, n], 1));
            ProxyAddress { zone: zone.into(), data_plane: at, readiness: at }
        };
        let entry = ProxySelector::new(vec![door("a", 1), door("a", 2), door("b", 3)]);
        let mut picked: Vec<_> = (0..3).filter_map(|turn| entry.pick("a", 5, turn)).collect();
        assert_eq!(picked[2], SocketAddr::from(([127, 0, 0, 3], 1)));
        picked.sort();
        picked.dedup();
        assert_eq!(picked.len(), 3);
    }
}
