//! The desk (the proxy of an edge machine): its state, its links to the page and to other desks, its start and end.
//! Clients are served in `client`, workers called in `workers`, probes answered in `readiness`.

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
use tindock_catalogue::{Catalogue, Finder, Limits, Route};
use tindock_lending::messages::{kind, Ended, Kind};
use tindock_lending::{Action, Allocator, Entry, Function, LoadReport as Spoken, Member};
use tindock_lifecycle::{GracePeriod, Lifecycle, Phase, Refused, RunTimes, Terminated};
use tindock_upstream::Connection;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;

/// Asks, queues and dials are looked at this often while there is something in hand, else at rest.
const TICK: Duration = Duration::from_millis(25);
const REST: Duration = Duration::from_millis(100);
/// An owner that says nothing is given so long to refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// What lenders tell the scaler, at most this often.
const TELL: Duration = Duration::from_millis(250);
/// What happens often is said in the log at most this often.
pub const SUMMED: Duration = Duration::from_secs(5);

/// A slot, or none in time.
pub enum Slot {
    Go { instance: String, at: SocketAddr },
    No { after: Option<Duration> },
}

/// A call that waits for a slot.
struct Waiting {
    slot: oneshot::Sender<Slot>,
    work: Work,
}

pub struct State {
    pub settings: Settings,
    start: Instant,
    catalogue: Option<Rc<(Catalogue, Finder)>>,
    regions: HashMap<String, String>,
    /// Zones in the order in which their numbers are told.
    places: Vec<(String, String)>,
    lending: Allocator,
    waiting: HashMap<u32, Waiting>,
    pub workers: Workers,
    pub budget: Budget,
    fresh: bool,
    stacked: bool,
    lifecycle: Lifecycle,
    /// ProxyMessage the clients' connections of the phases after SIGTERM.
    phases: watch::Sender<Phase>,
    /// How long requests of each route are at their workers.
    run_times: RunTimes<RouteKey>,
    tells: mpsc::Sender<Vec<u8>>,
    socket: Rc<UdpSocket>,
    chance: oorandom::Rand32,
    /// How many proxies there are, as the agent hears of them and as the owners are told: the budget's slack is divided by
    /// the greater, so that those who see few don't spend others' parts.
    desks: usize,
    owners: Option<usize>,
    /// Clients' requests in hand.
    pub open_calls: OpenCalls,
    /// Of which some bytes have come, and not yet the whole head.
    pub coming_requests: usize,
    pub taken_while_leaving: TakenWhileLeaving,
    wake: Rc<Notify>,
    /// Further tries withheld since this was last said in the log.
    withheld: HashMap<Kind, u32>,
    full_said: Duration,
    ready_said: bool,
}

/// The state, shared by the tasks of the one thread.
pub type Shared = Rc<RefCell<State>>;

pub async fn run(settings: Settings) -> Result<(), String> {
    let start = Instant::now();
    let front = settings.bindings.data_plane.ok_or("bindings.data_plane: is missing")?;
    let ready = settings.bindings.readiness.ok_or("bindings.readiness: is missing")?;
    let door = TcpListener::bind(front).await.map_err(|e| format!("{front}: {e}"))?;
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
    let life = (seed ^ seed >> 32) as u32 | 1;
    let (tells, outbox) = mpsc::channel(1024);
    let wake = Rc::new(Notify::new());
    let limits = &settings.limits;
    let state = State {
        start,
        catalogue: None,
        regions: settings.zones_with_regions().into_iter().collect(),
        places: settings.zones_with_regions(),
        lending: Allocator::new(
            settings.allocator_address(),
            settings.zone.clone(),
            life,
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
        fresh: false,
        stacked: false,
        lifecycle: Lifecycle::new(GracePeriod::new(seconds(settings.timers.grace_s))),
        phases: watch::Sender::new(Phase::Starting),
        run_times: RunTimes::default(),
        tells,
        socket: socket.clone(),
        chance: oorandom::Rand32::new(seed),
        desks: 1,
        owners: None,
        open_calls: OpenCalls::default(),
        coming_requests: 0,
        taken_while_leaving: TakenWhileLeaving::default(),
        wake: wake.clone(),
        withheld: HashMap::new(),
        full_said: Duration::ZERO,
        ready_said: false,
        settings,
    };
    info!("up: desk at {front}, readiness at {ready}, slots at {}", state.settings.allocator_address());
    let shared: Shared = Rc::new(RefCell::new(state));

    tokio::task::spawn_local(page_link(shared.clone(), outbox, life));
    tokio::task::spawn_local(readiness::serve(shared.clone(), probe));
    tokio::task::spawn_local(hear(shared.clone(), socket));
    tokio::task::spawn_local(clock(shared.clone(), wake));
    tokio::task::spawn_local(client::accept(shared.clone(), door));
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

    /// A moment, by the clock that `now` reads.
    pub fn since_start(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.start)
    }

    fn tell(&self, tells: &ProxyMessage) {
        let _ = self.tells.try_send(frame(tells));
    }

    pub fn ready(&self) -> bool {
        // Who may lend no more turns its clients away: the platform sends new ones to others meanwhile.
        !self.lifecycle.is_leaving() && self.catalogue.is_some() && self.stacked && !self.lending.is_fenced()
    }

    /// SIGTERM has come: the agent and the owners of slots are told.
    pub fn terminate(&mut self) -> Terminated {
        let now = self.now();
        let terminated = self.lifecycle.terminate(now);
        self.tell(&ProxyMessage::Leaving);
        terminated
    }

    /// When SIGTERM came.
    pub fn terminated(&self) -> Option<Duration> {
        self.lifecycle.terminated()
    }

    /// Whether the process may end now.
    pub fn may_end(&self) -> bool {
        self.lifecycle.may_end(self.now(), self.open_calls.len() + self.coming_requests)
    }

    /// Calls that wait for a slot are told as soon as there is no time left for their work: they have not run.
    pub fn turn_away_what_does_not_fit(&mut self, retry_after: Duration) {
        let now = self.now();
        let too_late = |waiting: &Waiting| self.may_begin(now, waiting.work).is_err();
        let calls: Vec<u32> =
            self.waiting.iter().filter(|(_, waiting)| too_late(waiting)).map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(waiting) = self.waiting.remove(&call) {
                let _ = waiting.slot.send(Slot::No { after: Some(retry_after) });
            }
            self.lending.settle(now, call, Ended::Idle);
            self.taken_while_leaving.refused += 1;
        }
    }

    /// SIGTERM has come: no connection is kept.
    pub fn is_leaving(&self) -> bool {
        self.lifecycle.is_leaving()
    }

    /// Whether a request that has just been read is taken on.
    pub fn admits(&self, now: Duration, work: Work) -> Result<(), Refused> {
        self.lifecycle.admits(now, work.longest_from(now))
    }

    /// Whether a request that was taken on may go to a worker now.
    pub fn may_begin(&self, now: Duration, work: Work) -> Result<(), Refused> {
        self.lifecycle.may_begin(now, work.longest_from(now))
    }

    /// The phases to come.
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phases.subscribe()
    }

    /// ProxyMessage the clients' connections of another phase.
    pub fn tell_phase(&self) {
        let phase = self.lifecycle.phase(self.now());
        self.phases.send_if_modified(|told| std::mem::replace(told, phase) != phase);
    }

    /// The longest that a request of this route is at its worker: measured, or the time in which the operator wants it
    /// answered.
    pub fn longest_run(&self, route: &Route) -> Duration {
        let promised = Duration::from_millis(route.target_latency_ms.into());
        self.run_times.longest(&RouteKey::of(route), promised)
    }

    /// A worker has answered a request of this route after so long.
    pub fn measure_run(&mut self, route: &Route, took: Duration) {
        let now = self.now();
        self.run_times.measure(now, RouteKey::of(route), took);
    }

    /// The configuration in force, with its index.
    pub fn configuration(&self) -> Option<Rc<(Catalogue, Finder)>> {
        self.catalogue.clone()
    }

    /// Bounds of clients' requests.
    pub fn limits(&self) -> Limits {
        self.catalogue.as_ref().map(|own| own.0.limits).unwrap_or_default()
    }

    /// The configuration in force is known to be the newest.
    pub fn has_newest(&self) -> bool {
        self.fresh
    }

    /// Ports are alike on all machines.
    fn readiness_port(&self) -> u16 {
        self.settings.bindings.readiness.map_or(0, |at| at.port())
    }

    pub fn draw(&mut self) -> u32 {
        self.chance.rand_u32()
    }

    /// A request's head has been read from a connection that was accepted then.
    pub fn begin_call(&mut self, connected: Duration) -> CallId {
        let now = self.now();
        if let Some(terminated) = self.lifecycle.terminated() {
            self.taken_while_leaving.note(now.saturating_sub(terminated), connected < terminated);
        }
        self.open_calls.begin(connected, now)
    }

    /// A request has come to another stage.
    pub fn enter_stage(&mut self, call: CallId, stage: Stage) {
        let now = self.now();
        self.open_calls.enter(call, stage, now);
    }

    /// Whether the budget allows another send of a request that has reached a worker; what it withholds is counted.
    pub fn may_repeat(&mut self, now: Duration, kind: Kind) -> bool {
        let allowed = self.budget.try_retry(now, kind, self.desks.max(self.owners.unwrap_or(1)));
        if !allowed {
            *self.withheld.entry(kind).or_default() += 1;
        }
        allowed
    }

    /// A slot is wanted; the number is to be settled.
    pub fn want(
        &mut self,
        kind: Kind,
        priority: u8,
        aim: Duration,
        work: Work,
        avoid: &str,
        slot: oneshot::Sender<Slot>,
    ) -> u32 {
        let now = self.now();
        let call = self.lending.request_slot(now, kind, priority, aim, work.end, avoid);
        self.waiting.insert(call, Waiting { slot, work });
        self.wake.notify_one();
        call
    }

    /// Whether a request may go to this instance, by what is known of it here now.
    pub fn may_send_to(&self, instance: &str) -> bool {
        self.lending.may_send_to(instance)
    }

    /// A search for a slot, or the use of one, is over.
    pub fn settle(&mut self, call: u32, ended: Ended) {
        let now = self.now();
        self.waiting.remove(&call);
        self.lending.settle(now, call, ended);
    }

    /// At most once in `interval`.
    pub fn may_log_full(&mut self, interval: Duration) -> bool {
        let now = self.now();
        let due = now >= self.full_said + interval;
        if due {
            self.full_said = now;
        }
        due
    }

    fn in_force(&mut self, now: Duration, catalogue: Catalogue) {
        // A process never goes back within its life.
        if self.catalogue.as_ref().is_some_and(|own| own.0.revision >= catalogue.revision) {
            return;
        }
        let functions = catalogue.services.iter().map(|s| Function {
            kind: kind(&s.name),
            name: s.name.clone(),
            slots: if s.max_inflight == 0 { 1024 } else { s.max_inflight as usize },
            boot: Duration::from_millis(s.boot_ms.into()),
        });
        self.lending.set_functions(now, functions.collect());
        let finder = Finder::new(&catalogue);
        info!("revision {} in force", catalogue.revision);
        self.catalogue = Some(Rc::new((catalogue, finder)));
    }

    /// False for what does not fit what is known here: the link to the page is to begin anew.
    fn told(&mut self, told: AgentMessage) -> bool {
        let now = self.now();
        match told {
            AgentMessage::Configuration(catalogue) => self.in_force(now, catalogue),
            AgentMessage::Change(change) => {
                // The page has applied the same change to the same word; a desk that has another is told the whole one when
                // it comes back, so its link ends here.
                match self.catalogue.as_ref().and_then(|own| own.0.changed(&change)) {
                    Some(catalogue) => self.in_force(now, catalogue),
                    None => return false,
                }
            }
            AgentMessage::Proxies(desks) => {
                self.desks = desks.len().max(1);
                // Only until the holder of the lease has told who owns.
                if self.owners.is_none() {
                    let members = self.members_of(desks);
                    self.lending.set_provisional_members(now, members);
                }
            }
            AgentMessage::Owners(desks) => {
                self.owners = Some(desks.len().max(1));
                let members = self.members_of(desks);
                self.lending.set_members(now, members);
            }
            AgentMessage::Instances { entries, mut ended, complete } => {
                self.stacked = true;
                if complete {
                    // What ended while the link was down is told by its absence.
                    ended.extend(self.lending.entries_missing_from(&entries, |listed| &listed.instance));
                }
                let entries = entries.into_iter().map(|listed| entry(now, listed)).collect();
                self.lending.update_instances(now, entries, &ended);
                for id in &ended {
                    self.workers.forget(id);
                }
            }
            AgentMessage::ConfigurationIsNewest(fresh) => self.fresh = fresh,
            AgentMessage::ControllersReachable(in_touch) => {
                self.lending.set_controllers_reachable(now, in_touch)
            }
        }
        if !self.ready_said && self.ready() {
            self.ready_said = true;
            self.lifecycle.became_ready();
            info!("ready first, {} ms after the start: revision {}", now.as_millis(), self.revision());
        }
        true
    }

    fn members_of(&self, desks: Vec<ProxyInfo>) -> Vec<Member> {
        let port = self.settings.allocator_address().port();
        let member = |desk: ProxyInfo| Member {
            at: SocketAddr::new(desk.ip, port),
            region: self.regions.get(&desk.zone).cloned().unwrap_or_default(),
            zone: desk.zone,
            incarnation: desk.incarnation,
        };
        desks.into_iter().map(member).collect()
    }

    /// Of the configuration in force; 0 without one.
    fn revision(&self) -> u64 {
        self.catalogue.as_ref().map_or(0, |own| own.0.revision)
    }

    /// What staff are told.
    pub fn slot_report(&self) -> slot_report::SlotReport {
        slot_report::slot_report(
            self.now(),
            &self.settings.node_name,
            &self.settings.zone,
            self.revision(),
            &self.lending,
        )
    }

    fn origin(&self, zone: u32, share: f64) -> Option<(u8, u8)> {
        let zone = self.lending.zone(zone)?;
        let place = self.places.iter().position(|(name, _)| name == zone)?;
        Some((u8::try_from(place).ok()?, (share * 255.0).round() as u8)).filter(|(_, share)| *share > 0)
    }

    fn demand(&self, spoken: Spoken) -> Option<Demand> {
        Some(Demand {
            service: self.lending.name(spoken.kind)?.to_string(),
            zone: self.settings.zone.clone(),
            rate: spoken.rate as f32,
            busy: spoken.busy as f32,
            peak: u16::try_from(spoken.peak).unwrap_or(u16::MAX),
            waiting: u16::try_from(spoken.waiting).unwrap_or(u16::MAX),
            run: spoken.run.as_secs_f32() * 1000.0,
            idle: u32::try_from(spoken.idle.as_millis()).unwrap_or(u32::MAX),
            origins: spoken.origins.iter().filter_map(|(zone, share)| self.origin(*zone, *share)).collect(),
        })
    }
}

fn entry(now: Duration, listed: Listed) -> Entry {
    Entry {
        kind: kind(&listed.service),
        instance: listed.instance,
        at: listed.at,
        zone: listed.zone,
        ready: listed.ready,
        accepts_calls: listed.lends,
        since: now.saturating_sub(Duration::from_millis(listed.age.into())),
    }
}

/// Carries out what lending wants, until there is nothing more.
pub fn pump(shared: &Shared) {
    loop {
        let mut state = shared.borrow_mut();
        let Some(order) = state.lending.pull() else { return };
        match order {
            Action::Send { to, bytes } => {
                // A datagram that does not go now is said again by who waits for its answer.
                let _ = state.socket.try_send_to(&bytes, to);
            }
            Action::Dispatch { call, instance, at } => {
                let taken = state
                    .waiting
                    .remove(&call)
                    .is_some_and(|w| w.slot.send(Slot::Go { instance, at }).is_ok());
                if !taken {
                    // Its client has gone meanwhile.
                    let now = state.now();
                    state.lending.settle(now, call, Ended::Idle);
                }
            }
            Action::Reject { call, after } => {
                if let Some(waits) = state.waiting.remove(&call) {
                    let _ = waits.slot.send(Slot::No { after: Some(after) });
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
                info!("instance {instance} gone: it refuses connections, or its address is another's");
                state.workers.forget(&instance);
                state.tell(&ProxyMessage::InstanceGone(instance));
            }
            Action::InstanceReady { instance } => state.tell(&ProxyMessage::InstanceReady(instance)),
            Action::InstanceWanted(spoken) => {
                if let Some(demand) = state.demand(spoken) {
                    state.tell(&ProxyMessage::Demand(vec![demand]));
                }
            }
            Action::Suspected { owner: lender } => {
                info!("lender {} passed over until it is heard", lender.ip());
            }
        }
    }
}

/// A starting instance refuses connections until it has started; the connection that is taken is kept for a call.
async fn dial(shared: Shared, instance: String, at: SocketAddr) {
    let Some(stream) = workers::connect(at, Duration::from_millis(400)).await.ok() else { return };
    {
        let mut state = shared.borrow_mut();
        let now = state.now();
        state.workers.keep(&instance, Connection::new(stream), now + Duration::from_secs(2));
        state.lending.dialled(now, &instance, true);
    }
    pump(&shared);
}

/// Whether a process runs at an owner's address that says nothing. A machine refuses connections where nobody listens; one that
/// is slow, frozen, without power or cut off does not.
async fn probe(shared: Shared, owner: SocketAddr, at: SocketAddr) {
    let refused = std::io::ErrorKind::ConnectionRefused;
    if workers::connect(at, PROBE_TIMEOUT).await.is_err_and(|why| why.kind() == refused) {
        {
            let mut state = shared.borrow_mut();
            let now = state.now();
            info!("lender {} refuses connections", owner.ip());
            state.lending.connection_refused(now, owner);
        }
        pump(&shared);
    }
}

/// The loopback link to the page: told in order; said again from the start after a break.
async fn page_link(shared: Shared, mut outbox: mpsc::Receiver<Vec<u8>>, life: u32) {
    let at = shared.borrow().settings.agent_address();
    loop {
        let Ok(stream) = TcpStream::connect(at).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (mut from, mut to) = stream.into_split();
        if !shared.borrow().is_leaving()
            && to.write_all(&frame(&ProxyMessage::Incarnation(life))).await.is_err()
        {
            continue;
        }
        let said = async {
            while let Some(bytes) = outbox.recv().await {
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        let heard = async {
            while let Some(told) = read_frame::<AgentMessage>(&mut from).await {
                let fits = shared.borrow_mut().told(told);
                pump(&shared);
                if !fits {
                    return;
                }
            }
        };
        tokio::select! { () = said => {}, () = heard => {} }
        // The page has gone: what is known stays in use, but no 404 is said on its word.
        {
            let mut state = shared.borrow_mut();
            state.fresh = false;
            let now = state.now();
            state.lending.set_controllers_reachable(now, false);
            if !state.is_leaving() {
                warn!("page's link broke; going on with revision {}", state.revision());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn hear(shared: Shared, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; 4096];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, from)) => {
                {
                    let mut state = shared.borrow_mut();
                    let now = state.now();
                    state.lending.receive(now, from, &buf[..n]);
                }
                pump(&shared);
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn clock(shared: Shared, wake: Rc<Notify>) {
    let (mut told, mut summed) = (Duration::ZERO, Duration::ZERO);
    loop {
        let busy = shared.borrow().lending.busy();
        let pause = if busy { TICK } else { REST };
        let _ = timeout(pause, wake.notified()).await;
        {
            let mut state = shared.borrow_mut();
            let now = state.now();
            state.lending.tick(now);
            if now >= told + TELL {
                told = now;
                let spoken = state.lending.load_reports(now, TELL);
                let demand: Vec<Demand> = spoken.into_iter().filter_map(|s| state.demand(s)).collect();
                if !demand.is_empty() {
                    state.tell(&ProxyMessage::Demand(demand));
                }
                state.workers.sweep(now);
            }
            if now >= summed + SUMMED {
                summed = now;
                for (kind, tries) in std::mem::take(&mut state.withheld) {
                    let service = state.lending.name(kind).unwrap_or("a service that is gone");
                    let pause = SUMMED.as_secs();
                    warn!("budget of {service} spent: {tries} further tries withheld in {pause} s");
                }
            }
        }
        pump(&shared);
    }
}
