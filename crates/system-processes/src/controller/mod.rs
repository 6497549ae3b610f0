//! The controller, on a core machine: replicates the operator's configuration to disk together with the other
//! controllers, votes on the leadership lease and sends agents the configuration in force; while it holds the
//! lease it runs the autoscaler. This module does the I/O; `control_store`, `tindock_controller` and
//! `autoscaler` decide.
//!
//! - `calls`: operators' calls, from their receipt to their answer;
//! - `agents`: messages to agents;
//! - `lease_duties`: the autoscaler while the lease is held;
//! - `platform_lists`: the platform's lists in the form of the autoscaler;
//! - `disk`: the thread that writes to the disk;
//! - `log_lines`: the log lines.

mod agents;
mod calls;
mod disk;
mod lease_duties;
mod log_lines;
mod platform_lists;

use crate::messages::PeerMessage;
use crate::operator::{self, Call};
use crate::platform::{CallError, Platform};
use crate::settings::{seconds, Settings};
use crate::transport::{listen, PeerSender};
use lease_duties::HeldLease;
use log_lines::LogState;
use spdlog::{error, info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tindock_autoscaler as autoscaler;
use tindock_configuration::Catalogue;
use tindock_control_store::files::Folder;
use tindock_control_store::{Action, ControlStore, MemberSettings, Stored};
use tindock_controller::{Agents, PauseDetector, DISTRUST_AFTER_PAUSE};
use tindock_instance_distribution::Relay;
use tindock_lifecycle::{GracePeriod, Lifecycle, Phase, Terminated};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub use agents::FOLLOW_INTERVAL;
pub use tindock_controller::UNLISTED_MS as UNLISTED_AGE;

/// Revisions before the one in force that are kept, to send agents only the changes.
const KEPT_REVISIONS: usize = 6;
/// After SIGTERM the process runs at least so long, so that its messages about it are sent.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(150);
/// Operators' calls that are open at SIGTERM are decided in this time, or answered with an unknown outcome.
const CALLS_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of the time for replacing this voter by another one after SIGTERM: SIGKILL follows after `grace_s`.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for an answer to be sent.
const ANSWER_SEND_TIME: Duration = Duration::from_millis(30);
/// Bounds of the wait for the next event.
const MIN_WAIT: Duration = Duration::from_millis(2);
const MAX_WAIT: Duration = Duration::from_millis(500);

/// What the run loop waits for.
enum Event {
    PeerMessage(SocketAddr, PeerMessage),
    Operator(Call),
    /// A write of this token has ended, with success or not.
    Stored(u64, bool),
    /// The platform's answers, with the number of the lease under which it was called.
    InstanceStarted(u64, u64, autoscaler::StartResult),
    InstanceStopped(u64, u64, bool),
    Instances(u64, Result<Vec<autoscaler::ListedInstance>, CallError>),
    Hosts(u64, Result<Vec<autoscaler::Host>, CallError>),
    /// The platform's list, read while no controller holds the lease.
    FirstInstances(Option<Vec<autoscaler::ListedInstance>>),
    /// SIGTERM.
    Leave,
}

struct Controller {
    settings: Settings,
    control_store: ControlStore,
    peers: PeerSender,
    disk: std::sync::mpsc::Sender<(u64, Stored)>,
    platform: Option<Rc<Platform>>,
    events: mpsc::Sender<Event>,
    /// The configuration in force.
    configuration: Option<Catalogue>,
    /// Revisions before it, the newest first: agents that have one of them get only the changes.
    previous: VecDeque<Catalogue>,
    agents: Agents,
    contact: PauseDetector,
    calls: calls::OpenCalls,
    log: LogState,
    lease: Option<HeldLease>,
    holder: Option<(SocketAddr, u64)>,
    /// The instances as received from the lease holder, forwarded to the agents that pull here.
    relay: Relay,
    last_follow: Duration,
    zone_index: u8,
    /// Zones with their regions; messages name a zone by its index here.
    zones: Vec<(String, String)>,
    reading_first_list: bool,
    first_list_due: Duration,
    start: Instant,
    lifecycle: Lifecycle,
}

/// Runs the controller until SIGTERM.
pub async fn run(settings: Settings) -> Result<(), String> {
    let start = Instant::now();
    let folder = settings.data_directory.clone().ok_or("data_directory: a controller needs a disk")?;
    let control = settings.bindings.control_plane.ok_or("bindings.control_plane: is missing")?;
    let unusable = |e: std::io::Error| format!("{}: {e}", folder.display());
    let files = Folder::open(&folder).map_err(unusable)?;
    let kept = files.read().map_err(unusable)?;
    let peer_listener = bind(settings.peer_address()).await?;
    let operator_listener = bind(control).await?;
    let (events, mut inbox) = mpsc::channel(1024);

    let disk = disk::start(files, events.clone());
    receive_messages(peer_listener, settings.limits.file_descriptors / 4, events.clone());
    receive_calls(operator_listener, events.clone());
    receive_signals(events.clone());

    let me = settings.peer_address();
    let control_store = ControlStore::new(member_settings(&settings), kept, start.elapsed());
    if let (mode, Some(unknown)) = settings.config_mode() {
        warn!("config_mode {unknown:?} is unknown, using {mode:?}");
    }
    let mut controller = Controller::new(settings, control_store, disk, events, start);
    info!("up: controller at {me}, operators at {control}, {} voters known", controller.log.voters());
    loop {
        controller.perform_actions();
        let now = controller.now();
        if let Some(terminated) = controller.lifecycle.terminated_at() {
            controller.abort_late_calls(now, terminated);
            if controller.may_end(now, terminated) {
                controller.log_end(now, terminated);
                return Ok(());
            }
        }
        let leaving = controller.lifecycle.is_leaving();
        let due = controller.next_due().min(if leaving { now + ANSWER_SEND_TIME } else { Duration::MAX });
        let wait = due.saturating_sub(now).clamp(MIN_WAIT, MAX_WAIT);
        let event = tokio::time::timeout(wait, inbox.recv()).await;
        controller.observe_pause();
        match event {
            Ok(Some(event)) => controller.handle_event(event),
            Ok(None) => return Ok(()),
            Err(_) => {}
        }
        while let Ok(event) = inbox.try_recv() {
            controller.handle_event(event);
        }
        let now = controller.now();
        controller.control_store.tick(now);
    }
}

async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))
}

/// Forwards messages of other controllers and agents to the run loop.
fn receive_messages(listener: TcpListener, most: usize, events: mpsc::Sender<Event>) {
    let (messages, mut received) = mpsc::channel(512);
    tokio::task::spawn_local(listen::<PeerMessage>(listener, messages, most));
    tokio::task::spawn_local(async move {
        while let Some((from, message)) = received.recv().await {
            if events.send(Event::PeerMessage(from, message)).await.is_err() {
                return;
            }
        }
    });
}

/// Forwards operators' calls to the run loop.
fn receive_calls(listener: TcpListener, events: mpsc::Sender<Event>) {
    let (calls, mut received) = mpsc::channel(64);
    tokio::task::spawn_local(operator::serve(listener, calls));
    tokio::task::spawn_local(async move {
        while let Some(call) = received.recv().await {
            if events.send(Event::Operator(call)).await.is_err() {
                return;
            }
        }
    });
}

/// Forwards SIGTERM to the run loop. SIGHUP announces changed settings, of which only the seeds may change; a
/// controller uses them only at its start, so SIGHUP has no effect. Its handler, which tokio keeps once it is
/// registered, prevents it from ending the process.
fn receive_signals(events: mpsc::Sender<Event>) {
    use tokio::signal::unix::{signal, SignalKind};
    let _hangup = signal(SignalKind::hangup());
    tokio::task::spawn_local(async move {
        if let Ok(mut terminate) = signal(SignalKind::terminate()) {
            terminate.recv().await;
            let _ = events.send(Event::Leave).await;
        }
    });
}

fn member_settings(settings: &Settings) -> MemberSettings {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since_epoch.as_nanos() as u64;
    let me = settings.peer_address();
    MemberSettings {
        me,
        seeds: settings.seed_peers(),
        initial: settings.initial_boot,
        seed: incarnation ^ u64::from(me.port()) ^ hash(&settings.node_name),
        incarnation,
    }
}

/// FNV-1a, 64 bits: makes seeds of random generators from names.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Controller {
    fn new(
        settings: Settings,
        control_store: ControlStore,
        disk: std::sync::mpsc::Sender<(u64, Stored)>,
        events: mpsc::Sender<Event>,
        start: Instant,
    ) -> Controller {
        Controller {
            peers: PeerSender::new(settings.peer_address()),
            disk,
            platform: settings.provider_api.as_ref().map(|p| Rc::new(Platform::new(p.address))),
            events,
            configuration: None,
            previous: VecDeque::new(),
            agents: Agents::new(settings.ip_address),
            contact: PauseDetector::default(),
            calls: calls::OpenCalls::default(),
            log: LogState::new(control_store.members()),
            control_store,
            lease: None,
            holder: None,
            relay: Relay::default(),
            last_follow: Duration::ZERO,
            zone_index: settings.zone_index(),
            zones: settings.zones_with_regions(),
            reading_first_list: false,
            first_list_due: Duration::ZERO,
            start,
            lifecycle: Lifecycle::new(GracePeriod::new(seconds(settings.timers.grace_s))),
            settings,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Notes another turn of the run loop: after a pause of the process, received messages may be old.
    fn observe_pause(&mut self) {
        let now = self.now();
        if self.contact.observe(now) {
            warn!("this process was paused: messages count as recent again after {DISTRUST_AFTER_PAUSE:?}");
        }
    }

    /// Whether messages of a majority of the voters were received since the start, and recently.
    fn is_in_touch(&self, now: Duration) -> bool {
        self.control_store.ready() && self.contact.is_fresh(now) && self.control_store.in_touch(now)
    }

    /// Handles SIGTERM.
    fn leave(&mut self) {
        let now = self.now();
        if self.lifecycle.terminate(now) == Terminated::Leaving {
            info!("SIGTERM: leaving, {} calls open", self.calls.len());
            self.control_store.leave(now);
        }
    }

    /// Answers calls that are not decided in time before the process ends.
    fn abort_late_calls(&mut self, now: Duration, terminated: Duration) {
        if now >= terminated + CALLS_TIMEOUT {
            self.answer_all_as_unknown(now);
        }
    }

    fn may_end(&self, now: Duration, terminated: Duration) -> bool {
        if self.lifecycle.phase(now) == Phase::Ended {
            return true;
        }
        // Operators that retry continuously are refused at once, and delay the end no longer than this.
        let no_recent_answer =
            now >= self.calls.last_answer + ANSWER_SEND_TIME || now >= terminated + CALLS_TIMEOUT * 2;
        let answered = self.calls.len() == 0 && no_recent_answer;
        let handed_over = self.control_store.may_exit(now) || now >= terminated + HANDOVER_TIMEOUT;
        handed_over && answered && now >= terminated + MIN_SHUTDOWN_TIME
    }

    fn next_due(&self) -> Duration {
        let due = self.control_store.next_due();
        self.lease.as_ref().map_or(due, |lease| due.min(lease.duties.next_due()))
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::PeerMessage(from, message) => self.receive_message(now, from, message),
            Event::Operator(call) => self.receive_call(now, call),
            Event::Stored(token, ok) => self.control_store.stored(now, token, ok),
            Event::InstanceStarted(number, token, result) => {
                self.instance_started(now, number, token, result)
            }
            Event::InstanceStopped(number, token, ok) => self.instance_stopped(now, number, token, ok),
            Event::FirstInstances(instances) => self.first_instances_read(now, instances),
            Event::Instances(number, instances) => self.instances_read(now, number, instances),
            Event::Hosts(number, hosts) => self.hosts_read(now, number, hosts),
            Event::Leave => self.leave(),
        }
    }

    /// Performs all pending actions.
    fn perform_actions(&mut self) {
        let now = self.now();
        while let Some(action) = self.control_store.next() {
            match action {
                Action::Send { to, envelope } => self.peers.send(to, &PeerMessage::ControlStore(envelope)),
                Action::Store { token, what } => {
                    // Without its disk the controller could not store what it promises to others.
                    assert!(self.disk.send((token, what)).is_ok(), "the disk's thread has ended");
                }
                Action::Answer { call, outcome } => self.answer_call(now, call, outcome),
            }
        }
        self.answer_calls_after_lost_contact(now);
        self.put_in_force(now);
        self.run_lease(now);
        self.log_state(now);
        self.update_holder(now);
    }

    /// Puts a newer committed configuration in force.
    fn put_in_force(&mut self, now: Duration) {
        let revision = self.configuration.as_ref().map_or(0, |c| c.revision);
        let first = self.configuration.is_none();
        let unreadable = self.log.unreadable;
        let Some(committed) = self.control_store.committed().filter(|committed| {
            (committed.revision > revision || first) && unreadable != Some(committed.revision)
        }) else {
            return;
        };
        // It was checked before it was stored; an invalid one is not put in force.
        match Catalogue::read(&committed.text) {
            Ok(configuration) => {
                if let Some(lease) = &mut self.lease {
                    lease.duties.scaler.update_services(now, &tindock_controller::services(&configuration));
                }
                info!("revision {} in force", configuration.revision);
                if let Some(old) = self.configuration.replace(configuration) {
                    self.previous.truncate(KEPT_REVISIONS - 1);
                    self.previous.push_front(old);
                }
                self.send_configuration(now, None);
            }
            Err(fault) => {
                self.log.unreadable = Some(committed.revision);
                error!("committed revision {} cannot be read: {fault}", committed.revision);
            }
        }
    }

    /// Informs agents of a new lease holder.
    fn update_holder(&mut self, now: Duration) {
        let holder = self.control_store.holder();
        if holder != self.holder {
            if let Some((at, number)) = holder {
                info!("lease holder is {}, lease number {number}", at.ip());
            }
            self.holder = holder;
            self.send_status_to_all(now);
            self.follow_lease_holder(now);
        }
        if now >= self.last_follow + FOLLOW_INTERVAL {
            self.follow_lease_holder(now);
        }
    }
}
