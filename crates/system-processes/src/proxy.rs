//! The proxy of an edge machine: its state, its links to the agent and to other proxies, its start and end.
//! `client` serves client connections, `workers` sends requests to workers, `readiness` answers probes.

use crate::active_configuration::ActiveConfiguration;
use crate::budget::Budget;
use crate::messages::{AgentMessage, Demand, Listed, ProxyInfo, ProxyMessage};
use crate::open_calls::{CallId, OpenCalls, Stage, TakenWhileLeaving};
use crate::settings::{seconds, Settings};
use crate::transport::{frame, read_frame};
use crate::work::{RouteKey, Work};
use crate::workers::{self, Workers};
use crate::{client, leaving, readiness, slot_report};
use spdlog::{info, warn};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tindock_configuration::{Catalogue, Limits, Route};
use tindock_lifecycle::{GracePeriod, Lifecycle, Phase, Refused, RunTimes, Terminated};
use tindock_slot_allocation::datagram::incarnation_number;
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::Ended;
use tindock_slot_allocation::{Action, Allocator, Entry, LoadReport, Member};
use tindock_upstream::Connection;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;

/// Interval of the timers for slot requests, queues and dials, while there are any and while there are none.
const BUSY_TICK: Duration = Duration::from_millis(25);
const IDLE_TICK: Duration = Duration::from_millis(100);
/// A silent slot owner has so long to refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Load reports to the autoscaler are sent at most this often.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Frequent events are logged as a summary at most this often.
pub const LOG_SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// The answer to a request for a slot.
pub enum Slot {
    /// A slot at this instance.
    Granted { instance: String, at: SocketAddr },
    /// No slot in time; retry after so long.
    Unavailable { after: Option<Duration> },
}

/// A call that waits for a slot.
struct Waiting {
    slot: oneshot::Sender<Slot>,
    work: Work,
}

pub struct State {
    pub settings: Settings,
    start: Instant,
    configuration: Option<Rc<ActiveConfiguration>>,
    regions: HashMap<String, String>,
    /// Zones with their regions; messages name a zone by its index here.
    zones: Vec<(String, String)>,
    allocator: Allocator,
    waiting: HashMap<u32, Waiting>,
    pub workers: Workers,
    pub budget: Budget,
    configuration_is_newest: bool,
    instances_known: bool,
    lifecycle: Lifecycle,
    /// Publishes the phases after SIGTERM to the client connections.
    phases: watch::Sender<Phase>,
    /// How long workers take for the requests of each route.
    run_times: RunTimes<RouteKey>,
    to_agent: mpsc::Sender<Vec<u8>>,
    socket: Rc<UdpSocket>,
    rng: oorandom::Rand32,
    /// How many proxies there are by peer sampling, and how many by the list of owners. The slack of the
    /// retry budget is divided by the greater, so that a proxy that knows few others doesn't spend their
    /// shares.
    known_proxies: usize,
    owner_count: Option<usize>,
    /// Clients' requests that are being served.
    pub open_calls: OpenCalls,
    /// Requests with some bytes received, and not yet the whole head.
    pub coming_requests: usize,
    pub taken_while_leaving: TakenWhileLeaving,
    wake: Rc<Notify>,
    /// Retries that the budget withheld since this was last logged, by function.
    withheld_retries: HashMap<FunctionId, u32>,
    full_logged_at: Duration,
    ready_logged: bool,
}

/// The state, shared by the tasks of the one thread.
pub type Shared = Rc<RefCell<State>>;

pub async fn run(settings: Settings) -> Result<(), String> {
    let start = Instant::now();
    let data_plane = settings.bindings.data_plane.ok_or("bindings.data_plane: is missing")?;
    let ready = settings.bindings.readiness.ok_or("bindings.readiness: is missing")?;
    let client_listener = TcpListener::bind(data_plane).await.map_err(|e| format!("{data_plane}: {e}"))?;
    let probe = TcpListener::bind(ready).await.map_err(|e| format!("{ready}: {e}"))?;
    let socket = Rc::new(
        UdpSocket::bind(settings.allocator_address())
            .await
            .map_err(|e| format!("{}: {e}", settings.allocator_address()))?,
    );
    let nanos =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_nanos()
            as u64;
    let seed = nanos ^ crate::controller::hash(&settings.node_name);
    let incarnation = incarnation_number(seed);
    let (to_agent, outbox) = mpsc::channel(1024);
    let wake = Rc::new(Notify::new());
    let limits = &settings.limits;
    let state = State {
        start,
        configuration: None,
        regions: settings.zones_with_regions().into_iter().collect(),
        zones: settings.zones_with_regions(),
        allocator: Allocator::new(
            settings.allocator_address(),
            settings.zone.clone(),
            incarnation,
            seed,
            Duration::ZERO,
        ),
        waiting: HashMap::new(),
        workers: Workers::new(limits.file_descriptors / 3),
        budget: Budget::new(
            settings.timers.retry_budget_ratio,
            settings.timers.retry_budget_slack,
            seconds(settings.timers.retry_window_s),
        ),
        configuration_is_newest: false,
        instances_known: false,
        lifecycle: Lifecycle::new(GracePeriod::new(seconds(settings.timers.grace_s))),
        phases: watch::Sender::new(Phase::Starting),
        run_times: RunTimes::default(),
        to_agent,
        socket: socket.clone(),
        rng: oorandom::Rand32::new(seed),
        known_proxies: 1,
        owner_count: None,
        open_calls: OpenCalls::default(),
        coming_requests: 0,
        taken_while_leaving: TakenWhileLeaving::default(),
        wake: wake.clone(),
        withheld_retries: HashMap::new(),
        full_logged_at: Duration::ZERO,
        ready_logged: false,
        settings,
    };
    info!(
        "up: proxy at {data_plane}, readiness at {ready}, slot allocator at {}",
        state.settings.allocator_address()
    );
    let shared: Shared = Rc::new(RefCell::new(state));

    tokio::task::spawn_local(agent_link(shared.clone(), outbox, incarnation));
    tokio::task::spawn_local(readiness::serve(shared.clone(), probe));
    tokio::task::spawn_local(receive_datagrams(shared.clone(), socket));
    tokio::task::spawn_local(run_ticks(shared.clone(), wake));
    tokio::task::spawn_local(client::accept(shared.clone(), client_listener));
    let _hangup = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup());
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| format!("SIGTERM: {e}"))?;
    term.recv().await;
    leaving::leave(shared, term).await;
    Ok(())
}

impl State {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// An `Instant` as time since the start of the process, as `now` has it.
    pub fn since_start(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.start)
    }

    fn send_to_agent(&self, message: &ProxyMessage) {
        let _ = self.to_agent.try_send(frame(message));
    }

    pub fn ready(&self) -> bool {
        // A fenced allocator may grant no slots, so its proxy refuses requests: the platform is to send new
        // clients to other proxies.
        !self.lifecycle.is_leaving()
            && self.configuration.is_some()
            && self.instances_known
            && !self.allocator.is_fenced()
    }

    /// Handles SIGTERM: the agent announces to others that this proxy leaves.
    pub fn terminate(&mut self) -> Terminated {
        let now = self.now();
        let terminated = self.lifecycle.terminate(now);
        self.send_to_agent(&ProxyMessage::Leaving);
        terminated
    }

    /// When SIGTERM came.
    pub fn terminated(&self) -> Option<Duration> {
        self.lifecycle.terminated_at()
    }

    /// Whether the process may end now.
    pub fn may_end(&self) -> bool {
        self.lifecycle.may_end(self.now(), self.open_calls.len() + self.coming_requests)
    }

    /// Refuses calls that wait for a slot as soon as too little time is left for them: they have not run.
    pub fn refuse_calls_without_time(&mut self, retry_after: Duration) {
        let now = self.now();
        let too_late = |waiting: &Waiting| self.may_begin(now, waiting.work).is_err();
        let calls: Vec<u32> =
            self.waiting.iter().filter(|(_, waiting)| too_late(waiting)).map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(waiting) = self.waiting.remove(&call) {
                let _ = waiting.slot.send(Slot::Unavailable { after: Some(retry_after) });
            }
            self.allocator.settle(now, call, Ended::Idle);
            self.taken_while_leaving.refused += 1;
        }
    }

    /// Whether SIGTERM was received: client connections are closed after their current request.
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving()
    }

    /// Whether a request that has just been read is accepted.
    pub fn admits(&self, now: Duration, work: Work) -> Result<(), Refused> {
        self.lifecycle.admits(now, work.max_run_time_from(now))
    }

    /// Whether an accepted request may go to a worker now.
    pub fn may_begin(&self, now: Duration, work: Work) -> Result<(), Refused> {
        self.lifecycle.may_begin(now, work.max_run_time_from(now))
    }

    /// Receives the phases of the shutdown.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phases.subscribe()
    }

    /// Publishes the current phase to the client connections.
    pub fn publish_phase(&self) {
        let phase = self.lifecycle.phase(self.now());
        self.phases.send_if_modified(|published| std::mem::replace(published, phase) != phase);
    }

    /// The longest time that a worker takes for a request of this route: measured, or the target latency of
    /// the route.
    pub fn longest_run(&self, route: &Route) -> Duration {
        let promised = Duration::from_millis(route.target_latency_ms.into());
        self.run_times.longest(&RouteKey::of(route), promised)
    }

    /// Records how long a worker took for a request of this route.
    pub fn measure_run(&mut self, route: &Route, took: Duration) {
        let now = self.now();
        self.run_times.measure(now, RouteKey::of(route), took);
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<ActiveConfiguration>> {
        self.configuration.clone()
    }

    /// Bounds of clients' requests.
    pub fn limits(&self) -> Limits {
        self.configuration.as_ref().map(|current| current.catalogue().limits).unwrap_or_default()
    }

    /// Whether the configuration in force is known to be the newest.
    pub fn has_newest(&self) -> bool {
        self.configuration_is_newest
    }

    /// The readiness port, which is the same on all machines of a deployment.
    fn readiness_port(&self) -> u16 {
        self.settings.bindings.readiness.map_or(0, |at| at.port())
    }

    pub fn random(&mut self) -> u32 {
        self.rng.rand_u32()
    }

    /// Registers a request whose head has been read, from a connection that was accepted at `connected`.
    pub fn begin_call(&mut self, connected: Duration) -> CallId {
        let now = self.now();
        if let Some(terminated) = self.lifecycle.terminated_at() {
            self.taken_while_leaving.record(now.saturating_sub(terminated), connected < terminated);
        }
        self.open_calls.begin(connected, now)
    }

    /// Moves a request to another stage.
    pub fn enter_stage(&mut self, call: CallId, stage: Stage) {
        let now = self.now();
        self.open_calls.enter(call, stage, now);
    }

    /// Whether the budget allows another send of a request that has reached a worker; counts the retries it
    /// withholds.
    pub fn may_retry(&mut self, now: Duration, function_id: FunctionId) -> bool {
        let allowed =
            self.budget.try_retry(now, function_id, self.known_proxies.max(self.owner_count.unwrap_or(1)));
        if !allowed {
            *self.withheld_retries.entry(function_id).or_default() += 1;
        }
        allowed
    }

    /// Requests a slot from the allocator. Returns the call's number, which the caller settles at the end.
    pub fn request_slot(
        &mut self,
        function_id: FunctionId,
        priority: u8,
        target: Duration,
        work: Work,
        avoid: &str,
        slot: oneshot::Sender<Slot>,
    ) -> u32 {
        let now = self.now();
        let call = self.allocator.request_slot(now, function_id, priority, target, work.end, avoid);
        self.waiting.insert(call, Waiting { slot, work });
        self.wake.notify_one();
        call
    }

    /// Whether a request may go to this instance, by what this proxy knows of it now.
    pub fn may_send_to(&self, instance: &str) -> bool {
        self.allocator.may_send_to(instance)
    }

    /// Ends a slot request or the use of a slot.
    pub fn settle(&mut self, call: u32, ended: Ended) {
        let now = self.now();
        self.waiting.remove(&call);
        self.allocator.settle(now, call, ended);
    }

    /// Rate limit for the log line about full instances: true at most once in `interval`.
    pub fn may_log_full(&mut self, interval: Duration) -> bool {
        let now = self.now();
        let due = now >= self.full_logged_at + interval;
        if due {
            self.full_logged_at = now;
        }
        due
    }

    fn put_in_force(&mut self, now: Duration, catalogue: Catalogue) {
        // A process never goes back to an older revision.
        if self.configuration.as_ref().is_some_and(|current| current.revision() >= catalogue.revision) {
            return;
        }
        let configuration = ActiveConfiguration::new(catalogue);
        self.allocator.set_functions(now, configuration.functions());
        info!("revision {} in force", configuration.revision());
        self.configuration = Some(Rc::new(configuration));
    }

    /// Handles a message of the agent. False if it does not apply to the local state: the link is to be
    /// reopened.
    fn handle_agent_message(&mut self, message: AgentMessage) -> bool {
        let now = self.now();
        match message {
            AgentMessage::Configuration(catalogue) => self.put_in_force(now, catalogue),
            AgentMessage::Change(change) => {
                // The agent applied the change to the revision that it sent before. A proxy with another
                // revision gets the full configuration when it reconnects, so its link ends here.
                match self.configuration.as_ref().and_then(|current| current.apply(&change)) {
                    Some(catalogue) => self.put_in_force(now, catalogue),
                    None => return false,
                }
            }
            AgentMessage::Proxies(proxies) => {
                self.known_proxies = proxies.len().max(1);
                // Only until the lease holder's list of owners is known.
                if self.owner_count.is_none() {
                    let members = self.members_of(proxies);
                    self.allocator.set_provisional_members(now, members);
                }
            }
            AgentMessage::Owners(proxies) => {
                self.owner_count = Some(proxies.len().max(1));
                let members = self.members_of(proxies);
                self.allocator.set_members(now, members);
            }
            AgentMessage::Instances { entries, mut ended, complete } => {
                self.instances_known = true;
                if complete {
                    // Instances that ended while the link was down are missing from the complete list.
                    ended.extend(self.allocator.entries_missing_from(&entries, |listed| &listed.instance));
                }
                let entries = entries.into_iter().map(|listed| entry(now, listed)).collect();
                self.allocator.update_instances(now, entries, &ended);
                for id in &ended {
                    self.workers.forget(id);
                }
            }
            AgentMessage::ConfigurationIsNewest(newest) => self.configuration_is_newest = newest,
            AgentMessage::ControllersReachable(in_touch) => {
                self.allocator.set_controllers_reachable(now, in_touch)
            }
        }
        if !self.ready_logged && self.ready() {
            self.ready_logged = true;
            self.lifecycle.set_ready();
            info!("ready, {} ms after the start: revision {}", now.as_millis(), self.revision());
        }
        true
    }

    fn members_of(&self, proxies: Vec<ProxyInfo>) -> Vec<Member> {
        let port = self.settings.allocator_address().port();
        let member = |proxy: ProxyInfo| Member {
            at: SocketAddr::new(proxy.ip, port),
            region: self.regions.get(&proxy.zone).cloned().unwrap_or_default(),
            zone: proxy.zone,
            incarnation: proxy.incarnation,
        };
        proxies.into_iter().map(member).collect()
    }

    /// The revision of the configuration in force; 0 without one.
    fn revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |current| current.revision())
    }

    /// The answer to an operator's request for the slot report.
    pub fn slot_report(&self) -> slot_report::SlotReport {
        slot_report::slot_report(
            self.now(),
            &self.settings.node_name,
            &self.settings.zone,
            self.revision(),
            &self.allocator,
        )
    }

    fn origin(&self, zone: u32, share: f64) -> Option<(u8, u8)> {
        let zone = self.allocator.zone(zone)?;
        let zone_index = self.zones.iter().position(|(name, _)| name == zone)?;
        Some((u8::try_from(zone_index).ok()?, (share * 255.0).round() as u8)).filter(|(_, share)| *share > 0)
    }

    fn demand(&self, report: LoadReport) -> Option<Demand> {
        Some(Demand {
            service: self.allocator.name(report.function_id)?.to_string(),
            zone: self.settings.zone.clone(),
            rate: report.rate as f32,
            busy: report.busy as f32,
            peak: u16::try_from(report.peak).unwrap_or(u16::MAX),
            waiting: u16::try_from(report.waiting).unwrap_or(u16::MAX),
            run: report.run.as_secs_f32() * 1000.0,
            idle: u32::try_from(report.idle.as_millis()).unwrap_or(u32::MAX),
            origins: report.origins.iter().filter_map(|(zone, share)| self.origin(*zone, *share)).collect(),
        })
    }
}

fn entry(now: Duration, listed: Listed) -> Entry {
    Entry {
        function_id: FunctionId::of(&listed.service),
        instance: listed.instance,
        at: listed.at,
        zone: listed.zone,
        ready: listed.ready,
        accepts_calls: listed.accepts_calls,
        since: now.saturating_sub(Duration::from_millis(listed.age.into())),
    }
}

/// Performs the allocator's pending actions.
pub fn pump(shared: &Shared) {
    loop {
        let mut state = shared.borrow_mut();
        let Some(action) = state.allocator.pull() else { return };
        match action {
            Action::Send { to, bytes } => {
                // A datagram that cannot be sent now is repeated by the side that waits for its answer.
                let _ = state.socket.try_send_to(&bytes, to);
            }
            Action::Dispatch { call, instance, at } => {
                let taken = state
                    .waiting
                    .remove(&call)
                    .is_some_and(|waiting| waiting.slot.send(Slot::Granted { instance, at }).is_ok());
                if !taken {
                    // Its client has disconnected meanwhile.
                    let now = state.now();
                    state.allocator.settle(now, call, Ended::Idle);
                }
            }
            Action::Reject { call, after } => {
                if let Some(waiting) = state.waiting.remove(&call) {
                    let _ = waiting.slot.send(Slot::Unavailable { after: Some(after) });
                }
            }
            Action::Dial { instance, at } => {
                drop(state);
                tokio::task::spawn_local(dial(shared.clone(), instance, at));
            }
            Action::Probe { owner } => {
                let at = SocketAddr::new(owner.ip(), state.readiness_port());
                drop(state);
                tokio::task::spawn_local(probe(shared.clone(), owner, at));
            }
            Action::InstanceGone { instance } => {
                info!(
                    "instance {instance} gone: it refuses connections, or another instance has its address"
                );
                state.workers.forget(&instance);
                state.send_to_agent(&ProxyMessage::InstanceGone(instance));
            }
            Action::InstanceReady { instance } => state.send_to_agent(&ProxyMessage::InstanceReady(instance)),
            Action::InstanceWanted(report) => {
                if let Some(demand) = state.demand(report) {
                    state.send_to_agent(&ProxyMessage::Demand(vec![demand]));
                }
            }
            Action::Suspected { owner } => {
                info!("allocator {} is silent, skipped until it sends a message", owner.ip());
            }
        }
    }
}

/// Connects to a starting instance, which refuses connections until it has started. The connection is kept
/// for a call.
async fn dial(shared: Shared, instance: String, at: SocketAddr) {
    let Some(stream) = workers::connect(at, Duration::from_millis(400)).await.ok() else { return };
    {
        let mut state = shared.borrow_mut();
        let now = state.now();
        state.workers.keep(&instance, Connection::new(stream), now + Duration::from_secs(2));
        state.allocator.dialled(now, &instance, true);
    }
    pump(&shared);
}

/// Checks whether a process runs at the address of a silent slot owner. A machine refuses connections to a
/// port where no process listens; a machine that is slow, frozen, without power or unreachable does not.
async fn probe(shared: Shared, owner: SocketAddr, at: SocketAddr) {
    let refused = std::io::ErrorKind::ConnectionRefused;
    if workers::connect(at, PROBE_TIMEOUT).await.is_err_and(|why| why.kind() == refused) {
        {
            let mut state = shared.borrow_mut();
            let now = state.now();
            info!("allocator {} refuses connections", owner.ip());
            state.allocator.connection_refused(now, owner);
        }
        pump(&shared);
    }
}

/// The loopback link to the agent: messages in order; after a break it is opened again, and the agent sends
/// its state from the start.
async fn agent_link(shared: Shared, mut outbox: mpsc::Receiver<Vec<u8>>, incarnation: u32) {
    let at = shared.borrow().settings.agent_address();
    loop {
        let Ok(stream) = TcpStream::connect(at).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (mut from, mut to) = stream.into_split();
        if !shared.borrow().is_leaving()
            && to.write_all(&frame(&ProxyMessage::Incarnation(incarnation))).await.is_err()
        {
            continue;
        }
        let outgoing = async {
            while let Some(bytes) = outbox.recv().await {
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        let incoming = async {
            while let Some(message) = read_frame::<AgentMessage>(&mut from).await {
                let applied = shared.borrow_mut().handle_agent_message(message);
                pump(&shared);
                if !applied {
                    return;
                }
            }
        };
        tokio::select! { () = outgoing => {}, () = incoming => {} }
        // The agent has disconnected: the known state stays in use, but it does not justify a 404 any more.
        {
            let mut state = shared.borrow_mut();
            state.configuration_is_newest = false;
            let now = state.now();
            state.allocator.set_controllers_reachable(now, false);
            if !state.is_leaving() {
                warn!("link to the agent lost; continuing with revision {}", state.revision());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn receive_datagrams(shared: Shared, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; 4096];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, from)) => {
                {
                    let mut state = shared.borrow_mut();
                    let now = state.now();
                    state.allocator.receive(now, from, &buf[..n]);
                }
                pump(&shared);
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn run_ticks(shared: Shared, wake: Rc<Notify>) {
    let (mut last_report, mut last_summary) = (Duration::ZERO, Duration::ZERO);
    loop {
        let busy = shared.borrow().allocator.busy();
        let pause = if busy { BUSY_TICK } else { IDLE_TICK };
        let _ = timeout(pause, wake.notified()).await;
        {
            let mut state = shared.borrow_mut();
            let now = state.now();
            state.allocator.tick(now);
            if now >= last_report + REPORT_INTERVAL {
                last_report = now;
                let reports = state.allocator.load_reports(now, REPORT_INTERVAL);
                let demand: Vec<Demand> =
                    reports.into_iter().filter_map(|report| state.demand(report)).collect();
                if !demand.is_empty() {
                    state.send_to_agent(&ProxyMessage::Demand(demand));
                }
                state.workers.sweep(now);
            }
            if now >= last_summary + LOG_SUMMARY_INTERVAL {
                last_summary = now;
                for (function_id, tries) in std::mem::take(&mut state.withheld_retries) {
                    let service = state.allocator.name(function_id).unwrap_or("a removed service");
                    let pause = LOG_SUMMARY_INTERVAL.as_secs();
                    warn!("retry budget of {service} spent: {tries} retries withheld in {pause} s");
                }
            }
        }
        pump(&shared);
    }
}
