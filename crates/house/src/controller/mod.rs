//! The controller, on a core machine: keeps the operator's configuration on disk with the others, votes for the lease, tells
//! agents what is in force; while it holds the lease it runs the autoscaler. It only carries: `control_store`, `tindock_controller`
//! and `stacks` decide.
//!
//! - `calls`: operators' calls, until they are answered;
//! - `agents`: what agents are told;
//! - `lease_duties`: the autoscaler while the lease is held;
//! - `platform_lists`: the platform's lists as the autoscaler takes them;
//! - `disk`: the thread that writes;
//! - `log_lines`: what the log is told.

mod agents;
mod calls;
mod disk;
mod lease_duties;
mod log_lines;
mod platform_lists;

use crate::messages::PeerMessage;
use crate::operator::{self, Call};
use crate::platform::{Failed, Platform};
use crate::settings::{seconds, Settings};
use crate::transport::{listen, PeerSender};
use lease_duties::HeldLease;
use log_lines::LogState;
use spdlog::{error, info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tindock_catalogue::Catalogue;
use tindock_circulation::Relay;
use tindock_control_store::files::Folder;
use tindock_control_store::{Action, ControlStore, MemberSettings, Stored};
use tindock_controller::{Agents, PauseDetector, DISTRUST_AFTER_PAUSE};
use tindock_lifecycle::{GracePeriod, Lifecycle, Phase, Terminated};
use tindock_stacks as autoscaler;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

pub use agents::FOLLOW;
pub use tindock_controller::UNLISTED_MS as UNLISTED;

/// Revisions before the one in force that are kept, to tell agents what changed.
const KEPT_REVISIONS: usize = 6;
/// After SIGTERM it stays at least so long, for those who are to hear of it.
const STAYS_LEAST: Duration = Duration::from_millis(150);
/// Operators' calls in hand at SIGTERM are decided in this time, or answered as unclear.
const CALLS_TIMEOUT: Duration = Duration::from_secs(1);
/// After SIGTERM it hands its place as a voter over for so long at most: SIGKILL comes after `grace_s`.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// An answer needs so long to go out.
const ANSWER_GOES_OUT: Duration = Duration::from_millis(30);
/// Bounds of the wait for the next event.
const SHORTEST_WAIT: Duration = Duration::from_millis(2);
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// What the run loop waits for.
enum Event {
    PeerMessage(SocketAddr, PeerMessage),
    Operator(Call),
    /// A write of this token has ended, with success or not.
    Stored(u64, bool),
    /// The platform's answers, with the number of the lease under which it was asked.
    Begun(u64, u64, autoscaler::StartResult),
    Stopped(u64, u64, bool),
    Instances(u64, Result<Vec<autoscaler::ListedInstance>, Failed>),
    Hosts(u64, Result<Vec<autoscaler::Host>, Failed>),
    /// The platform's list, read while nobody holds the lease.
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
    /// Revisions before it, the newest first: agents that have one of them are told what changed.
    older: VecDeque<Catalogue>,
    agents: Agents,
    contact: PauseDetector,
    calls: calls::OpenCalls,
    log: LogState,
    lease: Option<HeldLease>,
    holder: Option<(SocketAddr, u64)>,
    /// The instances as the holder tells them, handed on to the agents that ask here.
    relay: Relay,
    followed: Duration,
    place: u8,
    /// Zones in the order in which their numbers are told.
    places: Vec<(String, String)>,
    reading_first: bool,
    first_due: Duration,
    start: Instant,
    lifecycle: Lifecycle,
}

/// Runs the controller until SIGTERM.
pub async fn run(settings: Settings) -> Result<(), String> {
    let start = Instant::now();
    let folder = settings.data_directory.clone().ok_or("data_directory: an archive needs a disk")?;
    let control = settings.bindings.control_plane.ok_or("bindings.control_plane: is missing")?;
    let unusable = |e: std::io::Error| format!("{}: {e}", folder.display());
    let files = Folder::open(&folder).map_err(unusable)?;
    let kept = files.read().map_err(unusable)?;
    let peer_listener = bind(settings.peer_address()).await?;
    let operator_listener = bind(control).await?;
    let (events, mut inbox) = mpsc::channel(1024);

    let disk = disk::start(files, events.clone());
    receive_notes(peer_listener, settings.limits.file_descriptors / 4, events.clone());
    receive_calls(operator_listener, events.clone());
    receive_signals(events.clone());

    let me = settings.peer_address();
    let control_store = ControlStore::new(member_settings(&settings), kept, start.elapsed());
    if let (mode, Some(unknown)) = settings.config_mode() {
        warn!("config_mode {unknown:?} is unknown, and taken for {mode:?}");
    }
    let mut controller = Controller::new(settings, control_store, disk, events, start);
    info!("up: archive at {me}, operators at {control}, {} seats known", controller.log.voters());
    loop {
        controller.carry();
        let now = controller.now();
        if let Some(terminated) = controller.lifecycle.terminated() {
            controller.break_off_calls(now, terminated);
            if controller.may_end(now, terminated) {
                controller.say_ended(now, terminated);
                return Ok(());
            }
        }
        let leaves = controller.lifecycle.is_leaving();
        let due = controller.next_due().min(if leaves { now + ANSWER_GOES_OUT } else { Duration::MAX });
        let wait = due.saturating_sub(now).clamp(SHORTEST_WAIT, LONGEST_WAIT);
        let event = tokio::time::timeout(wait, inbox.recv()).await;
        controller.turn();
        match event {
            Ok(Some(event)) => controller.take(event),
            Ok(None) => return Ok(()),
            Err(_) => {}
        }
        while let Ok(event) = inbox.try_recv() {
            controller.take(event);
        }
        let now = controller.now();
        controller.control_store.tick(now);
    }
}

async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))
}

/// Hands on what other controllers and agents send.
fn receive_notes(listener: TcpListener, most: usize, events: mpsc::Sender<Event>) {
    let (notes, mut heard) = mpsc::channel(512);
    tokio::task::spawn_local(listen::<PeerMessage>(listener, notes, most));
    tokio::task::spawn_local(async move {
        while let Some((from, note)) = heard.recv().await {
            if events.send(Event::PeerMessage(from, note)).await.is_err() {
                return;
            }
        }
    });
}

/// Hands on operators' calls.
fn receive_calls(listener: TcpListener, events: mpsc::Sender<Event>) {
    let (calls, mut asked) = mpsc::channel(64);
    tokio::task::spawn_local(operator::serve(listener, calls));
    tokio::task::spawn_local(async move {
        while let Some(call) = asked.recv().await {
            if events.send(Event::Operator(call)).await.is_err() {
                return;
            }
        }
    });
}

/// Hands on SIGTERM. SIGHUP says that the settings have changed: seeds matter at a start alone, so it changes nothing, and
/// the handler that tokio keeps from the first registration on lets the process live on.
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

/// FNV-1a, 64 bits: seeds chance by the name.
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
            older: VecDeque::new(),
            agents: Agents::new(settings.ip_address),
            contact: PauseDetector::default(),
            calls: calls::OpenCalls::default(),
            log: LogState::new(control_store.members()),
            control_store,
            lease: None,
            holder: None,
            relay: Relay::default(),
            followed: Duration::ZERO,
            place: settings.zone_index(),
            places: settings.zones_with_regions(),
            reading_first: false,
            first_due: Duration::ZERO,
            start,
            lifecycle: Lifecycle::new(GracePeriod::new(seconds(settings.timers.grace_s))),
            settings,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Another turn of the run loop: after a pause of the process what is heard may be old.
    fn turn(&mut self) {
        let now = self.now();
        if self.contact.observe(now) {
            warn!("this process stood still: what it hears counts as fresh from {DISTRUST_AFTER_PAUSE:?} on");
        }
    }

    /// Whether a majority of the voters was heard since the start, and lately.
    fn is_in_touch(&self, now: Duration) -> bool {
        self.control_store.ready() && self.contact.is_fresh(now) && self.control_store.in_touch(now)
    }

    /// SIGTERM has come.
    fn leave(&mut self) {
        let now = self.now();
        if self.lifecycle.terminate(now) == Terminated::Leaving {
            info!("SIGTERM: leaving, {} calls open", self.calls.len());
            self.control_store.leave(now);
        }
    }

    /// Calls that are not decided in time are answered as unclear before the process ends.
    fn break_off_calls(&mut self, now: Duration, terminated: Duration) {
        if now >= terminated + CALLS_TIMEOUT {
            self.answer_all_unclear(now);
        }
    }

    fn may_end(&self, now: Duration, terminated: Duration) -> bool {
        if self.lifecycle.phase(now) == Phase::Ended {
            return true;
        }
        // Operators who ask again and again are refused at once, and hold up the end no longer than this.
        let is_quiet = now >= self.calls.answered + ANSWER_GOES_OUT || now >= terminated + CALLS_TIMEOUT * 2;
        let answered = self.calls.len() == 0 && is_quiet;
        let handed_over = self.control_store.may_exit(now) || now >= terminated + HANDOVER_TIMEOUT;
        handed_over && answered && now >= terminated + STAYS_LEAST
    }

    fn next_due(&self) -> Duration {
        let due = self.control_store.next_due();
        self.lease.as_ref().map_or(due, |lease| due.min(lease.duties.next_due()))
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::PeerMessage(from, note) => self.receive_note(now, from, note),
            Event::Operator(call) => self.receive_call(now, call),
            Event::Stored(token, ok) => self.control_store.stored(now, token, ok),
            Event::Begun(number, token, begun) => self.instance_begun(now, number, token, begun),
            Event::Stopped(number, token, ok) => self.instance_stopped(now, number, token, ok),
            Event::FirstInstances(instances) => self.first_instances_read(now, instances),
            Event::Instances(number, instances) => self.instances_read(now, number, instances),
            Event::Hosts(number, hosts) => self.hosts_read(now, number, hosts),
            Event::Leave => self.leave(),
        }
    }

    /// Does everything that the deciders want done.
    fn carry(&mut self) {
        let now = self.now();
        while let Some(action) = self.control_store.next() {
            match action {
                Action::Send { to, envelope } => self.peers.send(to, &PeerMessage::ControlStore(envelope)),
                Action::Store { token, what } => {
                    // Without its disk it would promise what it cannot keep.
                    assert!(self.disk.send((token, what)).is_ok(), "the disk's thread has ended");
                }
                Action::Answer { call, outcome } => self.answer_call(now, call, outcome),
            }
        }
        self.release_calls(now);
        self.put_in_force(now);
        self.carry_lease(now);
        self.look(now);
        self.note_holder(now);
    }

    /// A newer configuration was committed.
    fn put_in_force(&mut self, now: Duration) {
        let revision = self.configuration.as_ref().map_or(0, |c| c.revision);
        let first = self.configuration.is_none();
        let unreadable = self.log.unreadable;
        let Some(committed) = self.control_store.committed().filter(|committed| {
            (committed.revision > revision || first) && unreadable != Some(committed.revision)
        }) else {
            return;
        };
        // It was checked before it was taken; what cannot be read now is not put in force.
        match Catalogue::read(&committed.text) {
            Ok(configuration) => {
                if let Some(lease) = &mut self.lease {
                    lease.duties.scaler.update_services(now, &tindock_controller::services(&configuration));
                }
                info!("revision {} in force", configuration.revision);
                if let Some(old) = self.configuration.replace(configuration) {
                    self.older.truncate(KEPT_REVISIONS - 1);
                    self.older.push_front(old);
                }
                self.send_configuration(now, None);
            }
            Err(fault) => {
                self.log.unreadable = Some(committed.revision);
                error!("committed revision {} cannot be read: {fault}", committed.revision);
            }
        }
    }

    /// Agents are told of a new holder of the lease.
    fn note_holder(&mut self, now: Duration) {
        let holder = self.control_store.holder();
        if holder != self.holder {
            if let Some((at, number)) = holder {
                info!("holder is {} under {number}", at.ip());
            }
            self.holder = holder;
            self.send_news_to_all(now);
            self.follow_holder(now);
        }
        if now >= self.followed + FOLLOW {
            self.follow_holder(now);
        }
    }
}
