//! Hollow schedulers: the system's own agent, many times in one process, each on a loopback address of its own, and
//! beside each a hollow proxy, which holds the loopback link, notes what it is told and when, and tells demand.

use crate::processes::{Deployment, Role};
use crate::usage::thread_time;
use crate::{Size, ZONES};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tindock_system_processes::agent;
use tindock_system_processes::messages::{AgentMessage, Demand, ProxyMessage};
use tindock_system_processes::settings::Settings;
use tindock_system_processes::transport::{frame, read_frame};
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// A proxy whose agent is not there tries again after this.
const AGAIN: Duration = Duration::from_millis(100);
/// The agents' thread tells its processor time this often.
const LOOK: Duration = Duration::from_millis(100);

/// What all hollow proxies together have been told.
#[derive(Debug, Default)]
pub struct Board {
    /// By revision: when each proxy had it, or a later one, in the order of time.
    reached: BTreeMap<u64, Vec<Instant>>,
    /// Frames and bytes over the loopback links, by kind.
    told: BTreeMap<&'static str, (u64, u64)>,
}

impl Board {
    fn heard(&mut self, kind: &'static str, bytes: u64) {
        let (frames, sum) = self.told.entry(kind).or_default();
        *frames += 1;
        *sum += bytes;
    }

    fn has(&mut self, from: u64, revision: u64) {
        let now = Instant::now();
        for (_, times) in self.reached.range_mut(from + 1..=revision) {
            times.push(now);
        }
    }

    /// From now on it is noted who has this revision.
    pub fn expect(&mut self, revision: u64) {
        self.reached.entry(revision).or_default();
    }

    /// How many have a revision, and when the last of them had it.
    pub fn reached(&self, revision: u64) -> (usize, Option<Instant>) {
        let times = self.reached.get(&revision);
        (times.map_or(0, Vec::len), times.and_then(|times| times.last().copied()))
    }

    /// Frames and bytes told so far, by kind.
    pub fn told(&self) -> BTreeMap<&'static str, (u64, u64)> {
        self.told.clone()
    }
}

pub type Shared = Arc<Mutex<Board>>;

pub fn locked(board: &Shared) -> MutexGuard<'_, Board> {
    board.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A group of agents on a thread of their own.
pub struct Agents {
    time: Arc<AtomicU64>,
}

impl Agents {
    /// Starts the agents of these settings; they run until the process ends.
    pub fn start(all: Vec<Settings>) -> Result<Agents, String> {
        let runtime = Builder::new_current_thread().enable_all().build().map_err(|why| why.to_string())?;
        let time = Arc::new(AtomicU64::new(0));
        let shown = time.clone();
        std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                for settings in all {
                    tokio::task::spawn_local(agent(settings));
                }
                loop {
                    sleep(LOOK).await;
                    shown.store(thread_time().as_micros() as u64, Ordering::Relaxed);
                }
            });
        });
        Ok(Agents { time })
    }

    /// Processor time of all of them together.
    pub fn time(&self) -> Duration {
        Duration::from_micros(self.time.load(Ordering::Relaxed))
    }
}

async fn agent(settings: Settings) {
    let name = settings.node_name.clone();
    if let Err(why) = agent::run(settings).await {
        eprintln!("hollow agent {name}: {why}");
    }
}

/// The settings of the hollow agent of this number.
pub fn settings(deployment: &Deployment, number: usize, ip: Ipv4Addr) -> Result<Settings, String> {
    let zone = ZONES[number % ZONES.len()].0;
    Settings::read(&deployment.settings(Role::Agent, &format!("hollow-{number}"), ip, zone))
}

/// What a hollow proxy tells of demand, in words a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demands {
    /// Words that ask for nothing.
    pub words: f64,
    /// Words of a call that waits for a start, each about another function.
    pub starts: f64,
}

/// One hollow proxy.
pub struct Proxy {
    pub number: usize,
    /// Where its agent listens for it.
    pub agent: SocketAddr,
    pub size: Size,
    pub demands: Demands,
    pub board: Shared,
}

impl Proxy {
    /// Keeps the link to its agent for good.
    pub async fn run(self) {
        let mut revision = 0;
        loop {
            if let Ok(stream) = TcpStream::connect(self.agent).await {
                let (from, mut to) = stream.into_split();
                let life = self.number as u32 + 1;
                if to.write_all(&frame(&ProxyMessage::Incarnation(life))).await.is_ok() {
                    let to = tokio::sync::Mutex::new(to);
                    tokio::select! {
                        () = self.listen(from, &mut revision) => {}
                        () = self.tell(&to, self.demands.words, false) => {}
                        () = self.tell(&to, self.demands.starts, true) => {}
                    }
                }
            }
            sleep(AGAIN).await;
        }
    }

    async fn listen(&self, from: OwnedReadHalf, revision: &mut u64) {
        let mut from = Counting { inner: from, bytes: 0 };
        while let Some(told) = read_frame::<AgentMessage>(&mut from).await {
            let bytes = std::mem::take(&mut from.bytes);
            let (kind, now) = match told {
                AgentMessage::Configuration(catalogue) => ("whole configuration", Some(catalogue.revision)),
                AgentMessage::Change(change) => ("change of configuration", Some(change.revision)),
                AgentMessage::Proxies(_) => ("members", None),
                AgentMessage::Owners(_) => ("owners", None),
                AgentMessage::Instances { .. } => ("instances", None),
                AgentMessage::ConfigurationIsNewest(_) => ("freshness", None),
                AgentMessage::ControllersReachable(_) => ("contact", None),
            };
            let mut board = locked(&self.board);
            board.heard(kind, bytes);
            if let Some(now) = now.filter(|now| *now > *revision) {
                board.has(*revision, now);
                *revision = now;
            }
        }
    }

    /// So many words of demand a second, about one function after the other.
    async fn tell(&self, to: &tokio::sync::Mutex<OwnedWriteHalf>, rate: f64, waits: bool) {
        if rate <= 0.0 {
            return std::future::pending().await;
        }
        let pause = Duration::from_secs_f64(1.0 / rate);
        // Not all at the same moment.
        sleep(pause.mul_f64(self.number as f64 / self.size.schedulers as f64 % 1.0)).await;
        let mut function = self.number;
        loop {
            let demand = self.demand(function % self.size.functions, waits);
            if to.lock().await.write_all(&frame(&ProxyMessage::Demand(vec![demand]))).await.is_err() {
                return;
            }
            function += self.size.schedulers;
            sleep(pause).await;
        }
    }

    fn demand(&self, function: usize, waits: bool) -> Demand {
        Demand {
            service: Size::function(function),
            zone: Size::zone(self.number).to_string(),
            rate: if waits { 1.0 } else { 0.01 },
            busy: 0.0,
            peak: u16::from(waits),
            waiting: u16::from(waits),
            run: 40.0,
            idle: if waits { 0 } else { 60_000 },
            origins: vec![(0, 255)],
        }
    }
}

/// Counts the bytes that are read.
struct Counting {
    inner: OwnedReadHalf,
    bytes: u64,
}

impl AsyncRead for Counting {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.bytes += (buf.filled().len() - before) as u64;
        done
    }
}
