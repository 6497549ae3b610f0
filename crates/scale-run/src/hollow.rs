//! Hollow schedulers: many of the system's agents in one process, each on a loopback address of its own, and
//! for each a hollow proxy, which keeps the loopback connection, records what it receives and when, and
//! reports demand.

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

/// Delay before a proxy reconnects to its agent.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Interval at which the agents' thread publishes its processor time.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// What all hollow proxies together have received.
#[derive(Debug, Default)]
pub struct Received {
    /// By revision: when each proxy received it or a later one, in order of time.
    reached: BTreeMap<u64, Vec<Instant>>,
    /// Frames and bytes received over the loopback connections, by kind.
    frames: BTreeMap<&'static str, (u64, u64)>,
}

impl Received {
    fn record_frame(&mut self, kind: &'static str, bytes: u64) {
        let (frames, sum) = self.frames.entry(kind).or_default();
        *frames += 1;
        *sum += bytes;
    }

    fn record_revision(&mut self, from: u64, revision: u64) {
        let now = Instant::now();
        for (_, times) in self.reached.range_mut(from + 1..=revision) {
            times.push(now);
        }
    }

    /// Starts recording when proxies receive this revision.
    pub fn expect(&mut self, revision: u64) {
        self.reached.entry(revision).or_default();
    }

    /// How many proxies have a revision, and when the last of them received it.
    pub fn reached(&self, revision: u64) -> (usize, Option<Instant>) {
        let times = self.reached.get(&revision);
        (times.map_or(0, Vec::len), times.and_then(|times| times.last().copied()))
    }

    /// Frames and bytes received so far, by kind.
    pub fn frames(&self) -> BTreeMap<&'static str, (u64, u64)> {
        self.frames.clone()
    }
}

pub type SharedReceived = Arc<Mutex<Received>>;

pub fn lock(received: &SharedReceived) -> MutexGuard<'_, Received> {
    received.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A group of agents that share a thread.
pub struct Agents {
    time: Arc<AtomicU64>,
}

impl Agents {
    /// Starts agents with these settings; they run until the process ends.
    pub fn start(all: Vec<Settings>) -> Result<Agents, String> {
        let runtime =
            Builder::new_current_thread().enable_all().build().map_err(|cause| cause.to_string())?;
        let time = Arc::new(AtomicU64::new(0));
        let shown = time.clone();
        std::thread::spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                for settings in all {
                    tokio::task::spawn_local(agent(settings));
                }
                loop {
                    sleep(PUBLISH_INTERVAL).await;
                    shown.store(thread_time().as_micros() as u64, Ordering::Relaxed);
                }
            });
        });
        Ok(Agents { time })
    }

    /// Total processor time of the group.
    pub fn time(&self) -> Duration {
        Duration::from_micros(self.time.load(Ordering::Relaxed))
    }
}

async fn agent(settings: Settings) {
    let name = settings.node_name.clone();
    if let Err(cause) = agent::run(settings).await {
        eprintln!("hollow agent {name}: {cause}");
    }
}

/// The settings of the hollow agent of this number.
pub fn settings(deployment: &Deployment, number: usize, ip: Ipv4Addr) -> Result<Settings, String> {
    let zone = ZONES[number % ZONES.len()].0;
    Settings::read(&deployment.settings(Role::Agent, &format!("hollow-{number}"), ip, zone))
}

/// The rates of a hollow proxy's demand reports, per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandRates {
    /// Reports that request no start.
    pub reports: f64,
    /// Reports of a call that waits for a start, each about another function.
    pub starts: f64,
}

/// One hollow proxy.
pub struct Proxy {
    pub number: usize,
    /// The address on which its agent listens.
    pub agent: SocketAddr,
    pub size: Size,
    pub demands: DemandRates,
    pub received: SharedReceived,
}

impl Proxy {
    /// Keeps the connection to its agent, reconnecting for ever.
    pub async fn run(self) {
        let mut revision = 0;
        loop {
            if let Ok(stream) = TcpStream::connect(self.agent).await {
                let (from, mut to) = stream.into_split();
                let incarnation = self.number as u32 + 1;
                if to.write_all(&frame(&ProxyMessage::Incarnation(incarnation))).await.is_ok() {
                    let to = tokio::sync::Mutex::new(to);
                    tokio::select! {
                        () = self.listen(from, &mut revision) => {}
                        () = self.send_reports(&to, self.demands.reports, false) => {}
                        () = self.send_reports(&to, self.demands.starts, true) => {}
                    }
                }
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    async fn listen(&self, from: OwnedReadHalf, revision: &mut u64) {
        let mut from = CountingReader { inner: from, bytes: 0 };
        while let Some(message) = read_frame::<AgentMessage>(&mut from).await {
            let bytes = std::mem::take(&mut from.bytes);
            let (kind, now) = match message {
                AgentMessage::Configuration(catalogue) => ("whole configuration", Some(catalogue.revision)),
                AgentMessage::Change(change) => ("change of configuration", Some(change.revision)),
                AgentMessage::Proxies(_) => ("members", None),
                AgentMessage::Owners(_) => ("owners", None),
                AgentMessage::Instances { .. } => ("instances", None),
                AgentMessage::ConfigurationIsNewest(_) => ("freshness", None),
                AgentMessage::ControllersReachable(_) => ("contact", None),
            };
            let mut received = lock(&self.received);
            received.record_frame(kind, bytes);
            if let Some(now) = now.filter(|now| *now > *revision) {
                received.record_revision(*revision, now);
                *revision = now;
            }
        }
    }

    /// Sends demand reports at this rate (per second), about one function after the other.
    async fn send_reports(&self, to: &tokio::sync::Mutex<OwnedWriteHalf>, rate: f64, wants_start: bool) {
        if rate <= 0.0 {
            return std::future::pending().await;
        }
        let pause = Duration::from_secs_f64(1.0 / rate);
        // Spreads the proxies' reports over the interval.
        sleep(pause.mul_f64(self.number as f64 / self.size.schedulers as f64 % 1.0)).await;
        let mut function = self.number;
        loop {
            let demand = self.demand(function % self.size.functions, wants_start);
            if to.lock().await.write_all(&frame(&ProxyMessage::Demand(vec![demand]))).await.is_err() {
                return;
            }
            function += self.size.schedulers;
            sleep(pause).await;
        }
    }

    fn demand(&self, function: usize, wants_start: bool) -> Demand {
        Demand {
            service: Size::function(function),
            zone: Size::zone(self.number).to_string(),
            rate: if wants_start { 1.0 } else { 0.01 },
            busy: 0.0,
            peak: u16::from(wants_start),
            waiting: u16::from(wants_start),
            run: 40.0,
            idle: if wants_start { 0 } else { 60_000 },
            origins: vec![(0, 255)],
        }
    }
}

/// Counts the bytes read.
struct CountingReader {
    inner: OwnedReadHalf,
    bytes: u64,
}

impl AsyncRead for CountingReader {
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
