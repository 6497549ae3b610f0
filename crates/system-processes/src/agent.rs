//! The agent beside the proxy on an edge machine: knows the other agents from peer sampling, pulls the
//! configuration and the instances from a controller, sends them to the proxy over loopback and forwards the
//! proxy's reports to the holder of the leadership lease.

use crate::controller::{FOLLOW_INTERVAL, UNLISTED_AGE};
use crate::messages::{AgentMessage, PeerMessage, ProxyInfo, ProxyMessage};
use crate::settings::Settings;
use crate::transport::{frame, listen, read_frame, PeerSender};
use spdlog::{info, warn};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tindock_configuration::Catalogue;
use tindock_instance_distribution::{Applied, InstanceUpdate, Mark, Proxy, Replica};
use tindock_lifecycle::GracePeriod;
use tindock_peer_sampling::{Message, PeerSampler};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

/// A controller is polled this often, and at once after a switch to another controller.
const PULL_INTERVAL: Duration = Duration::from_millis(700);
/// A controller that has not reported contact with a majority for so long is replaced by another.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Controllers that answered this recently count as reachable: longer than a pull and its answer take.
const REACHABLE_WITHIN: Duration = Duration::from_millis(1200);
/// `SILENCE_TIMEOUT` of an agent without any data: after a loss of the whole system each tenth of a second of
/// outage counts.
const EMPTY_SILENCE_TIMEOUT: Duration = Duration::from_millis(80);
/// `SILENCE_TIMEOUT` while the controller answers, but is not in touch with a majority yet.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(2500);
/// A controller that answered this recently is given `BOOTSTRAP_TIMEOUT`.
const ANSWERED_WITHIN: Duration = Duration::from_millis(400);
/// Agents that send a new lease holder what the platform's list may lack: young instances, and instance
/// counters.
const HANDOVER_SENDERS: usize = 6;
/// So long after its start an agent that has found no controller of its own zone uses one of another zone.
const LOCAL_ZONE_WAIT: Duration = Duration::from_millis(300);
/// An update of the owners from the lease holder reaches all agents within this; an agent that has older
/// owners by then gets them from the agents that it exchanges datagrams with.
const OWNERS_SPREAD_TIME: Duration = Duration::from_millis(1000);
/// One pull in so many asks for the other controllers and agents.
const PULLS_PER_PEER_REQUEST: u32 = 6;
/// One follow message in so many asks for other agents.
const FOLLOWS_PER_PEER_REQUEST: u32 = 4;
/// A configuration confirmed within this share of `convergence_ms` counts as the newest.
const NEWEST_SHARE: f64 = 0.5;
/// A missing proxy, or the lack of a controller in touch with a majority, is logged after so long.
const LOG_ALONE_AFTER: Duration = Duration::from_secs(3);
/// The lack of a controller is logged again this often.
const LOG_ALONE_INTERVAL: Duration = Duration::from_secs(60);

enum Event {
    PeerMessage(SocketAddr, PeerMessage),
    Datagram(IpAddr, Message),
    ProxyConnected(mpsc::Sender<Vec<u8>>),
    ProxyMessage(ProxyMessage),
    ProxyDisconnected,
    /// The settings file has changed.
    Settings,
    Leave,
}

struct Agent {
    settings: Settings,
    me: SocketAddr,
    peer_sampler: PeerSampler,
    peers: PeerSender,
    proxy: Option<mpsc::Sender<Vec<u8>>>,
    catalogue: Option<Catalogue>,
    /// A change did not apply to the local configuration: the full one is requested.
    needs_full_configuration: bool,
    controllers: Vec<SocketAddr>,
    controller_index: usize,
    last_in_touch: Duration,
    /// When the current controller last answered, in touch with a majority or not.
    last_answer: Duration,
    last_pull: Duration,
    last_follow: Duration,
    follow_count: u32,
    confirmed_at: Option<Duration>,
    configuration_is_newest: bool,
    controllers_reachable: bool,
    holder: Option<(SocketAddr, u64)>,
    instances: Replica,
    /// The mark of the owners that were last sent to the proxy, and when they were received.
    owners: (Mark, Duration),
    /// Zones of controllers, as they reported them; one that did not answer has `u8::MAX`, which no zone has.
    controller_zones: BTreeMap<SocketAddr, u8>,
    zone_index: u8,
    pull_count: u32,
    proxies: Vec<ProxyInfo>,
    start: Instant,
    log: LogState,
}

/// What was logged last, so that each change is logged once.
struct LogState {
    proxy_connected: bool,
    proxy_missing_due: Duration,
    /// A switch of controllers was logged since the last contact.
    controller_left: bool,
    alone_due: Duration,
    alone: bool,
}

pub async fn run(settings: Settings) -> Result<(), String> {
    let start = Instant::now();
    let me = settings.peer_address();
    let listener = TcpListener::bind(me).await.map_err(|e| format!("{me}: {e}"))?;
    let datagrams = std::rc::Rc::new(UdpSocket::bind(me).await.map_err(|e| format!("{me}: {e}"))?);
    let proxy_listener = TcpListener::bind(settings.agent_address())
        .await
        .map_err(|e| format!("{}: {e}", settings.agent_address()))?;
    let (events, mut inbox) = mpsc::channel(1024);

    let (messages, mut received) = mpsc::channel(256);
    tokio::task::spawn_local(listen::<PeerMessage>(listener, messages, 512));
    let sender = events.clone();
    tokio::task::spawn_local(async move {
        while let Some((from, message)) = received.recv().await {
            if sender.send(Event::PeerMessage(from, message)).await.is_err() {
                return;
            }
        }
    });
    let (sender, socket) = (events.clone(), datagrams.clone());
    tokio::task::spawn_local(async move {
        let mut buf = vec![0; 2048];
        loop {
            match socket.recv_from(&mut buf).await {
                Ok((n, from)) => {
                    if let Some(datagram) = Message::decode(&buf[..n]) {
                        if sender.send(Event::Datagram(from.ip(), datagram)).await.is_err() {
                            return;
                        }
                    }
                }
                // An ICMP error of an earlier send, as from a closed port: goes on receiving.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
    let sender = events.clone();
    tokio::task::spawn_local(async move {
        loop {
            if let Ok((stream, _)) = proxy_listener.accept().await {
                serve_proxy_link(stream, &sender).await;
                if sender.send(Event::ProxyDisconnected).await.is_err() {
                    return;
                }
            }
        }
    });
    let sender = events.clone();
    tokio::task::spawn_local(async move {
        if let Ok(mut term) = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
            term.recv().await;
            let _ = sender.send(Event::Leave).await;
        }
    });
    let sender = events.clone();
    tokio::task::spawn_local(async move {
        let Ok(mut hangup) = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup()) else {
            return;
        };
        while hangup.recv().await.is_some() {
            if sender.send(Event::Settings).await.is_err() {
                return;
            }
        }
    });

    let incarnation = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let seed = incarnation.as_nanos() as u64 ^ crate::controller::hash(&settings.node_name);
    let zone_index = settings.zone_index();
    let mut agent = Agent {
        me,
        peer_sampler: PeerSampler::new(
            settings.ip_address,
            zone_index,
            incarnation.as_millis() as u64,
            seed,
            Duration::ZERO,
        ),
        peers: PeerSender::new(me),
        proxy: None,
        catalogue: None,
        needs_full_configuration: false,
        controllers: settings.seed_peers(),
        controller_index: seed as usize,
        last_in_touch: Duration::ZERO,
        last_answer: Duration::ZERO,
        last_pull: Duration::ZERO,
        last_follow: Duration::ZERO,
        follow_count: 0,
        confirmed_at: None,
        configuration_is_newest: false,
        controllers_reachable: false,
        holder: None,
        instances: Replica::default(),
        owners: (Mark::default(), Duration::ZERO),
        controller_zones: BTreeMap::new(),
        zone_index,
        pull_count: 0,
        proxies: Vec::new(),
        start,
        settings,
        log: LogState {
            proxy_connected: false,
            proxy_missing_due: LOG_ALONE_AFTER,
            controller_left: true,
            alone_due: LOG_ALONE_AFTER,
            alone: false,
        },
    };
    info!("up: agent at {me}, listening for the proxy at {}", agent.settings.agent_address());
    agent.pull();
    let mut leaving: Option<Duration> = None;
    loop {
        let now = agent.start.elapsed();
        if leaving.is_some_and(|at| now >= at) {
            return Ok(());
        }
        for (ip, datagram) in agent.peer_sampler.tick(now) {
            let _ = datagrams.try_send_to(&datagram.encode(), SocketAddr::new(ip, me.port()));
        }
        agent.tick(now);
        let due = agent
            .peer_sampler
            .next_due()
            .min(agent.last_pull + PULL_INTERVAL)
            .min(leaving.unwrap_or(Duration::MAX));
        let wait = due.saturating_sub(now).max(Duration::from_millis(2));
        match tokio::time::timeout(wait, inbox.recv()).await {
            Ok(Some(Event::Datagram(from, datagram))) => {
                agent.forward_owners(agent.start.elapsed(), from, datagram.owners);
                if let Some(answer) = agent.peer_sampler.receive(agent.start.elapsed(), &datagram) {
                    let _ = datagrams.try_send_to(&answer.encode(), SocketAddr::new(from, me.port()));
                }
            }
            Ok(Some(Event::Leave)) => {
                // The proxy beside it completes its open requests; the agent runs until then.
                let now = agent.start.elapsed();
                info!("SIGTERM: leaving together with the proxy");
                agent.set_serving(now, 0);
                let grace = GracePeriod::new(crate::settings::seconds(agent.settings.timers.grace_s));
                leaving = Some(now + grace.end());
            }
            Ok(Some(event)) => {
                let gone = matches!(event, Event::ProxyDisconnected);
                agent.handle_event(event, leaving.is_some());
                if gone && leaving.is_some() {
                    return Ok(());
                }
            }
            Ok(None) => return Ok(()),
            Err(_) => {}
        }
    }
}

/// Serves one proxy connection: its messages become events; the frames queued for it are written to it.
async fn serve_proxy_link(stream: TcpStream, events: &mpsc::Sender<Event>) {
    let _ = stream.set_nodelay(true);
    let (mut from, mut to) = stream.into_split();
    let (sender, mut frames) = mpsc::channel::<Vec<u8>>(1024);
    let writer = tokio::task::spawn_local(async move {
        while let Some(bytes) = frames.recv().await {
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    if events.send(Event::ProxyConnected(sender)).await.is_ok() {
        while let Some(message) = read_frame::<ProxyMessage>(&mut from).await {
            if events.send(Event::ProxyMessage(message)).await.is_err() {
                break;
            }
        }
    }
    writer.abort();
}

impl Agent {
    /// Reads the seeds from the settings file again; an unreadable file changes nothing. Addresses and limits
    /// stay as they were at the start of the process.
    fn reload_settings(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => {
                if settings.seed_peers != self.settings.seed_peers {
                    info!("seeds changed: {:?}", settings.seed_peers);
                    self.settings.seed_peers = settings.seed_peers;
                }
            }
            Err(fault) => warn!("settings not reloaded: {fault}"),
        }
    }

    /// The proxy process beside this agent has changed: informs the other agents and the lease holder at
    /// once. An incarnation of 0 means that no proxy serves here.
    fn set_serving(&mut self, now: Duration, incarnation: u32) {
        if self.peer_sampler.incarnation() == incarnation {
            return;
        }
        self.peer_sampler.set_serving(now, incarnation);
        if let Some((holder, _)) = self.holder {
            self.last_follow = now;
            let follow = self.follow_message();
            self.peers.send(holder, &follow);
        }
    }

    /// Sends the proxy the list of proxies among which slot owners are chosen.
    fn send_owners(&mut self) {
        let zones = self.settings.zones_with_regions();
        let proxy_info = |proxy: &Proxy| {
            let zone = zones.get(usize::from(proxy.zone_index))?.0.clone();
            Some(ProxyInfo { ip: proxy.ip, zone, incarnation: proxy.incarnation })
        };
        let Some(owners) = self.instances.owners() else { return };
        let mark = owners.mark;
        let proxies = owners.proxies.iter().filter_map(proxy_info).collect();
        self.send_to_proxy(&AgentMessage::Owners(proxies));
        if mark != self.owners.0 {
            self.owners = (mark, self.start.elapsed());
            self.peer_sampler.set_owners((mark.number, mark.version));
        }
    }

    /// Sends the owners to another agent that has older ones than this agent has had for a while: the lease
    /// holder's updates do not reach it, and it must not keep using outdated owners.
    fn forward_owners(&mut self, now: Duration, to: IpAddr, known: (u64, u64)) {
        let known = Mark { number: known.0, version: known.1 };
        let (mark, since) = self.owners;
        if known >= mark || now < since + OWNERS_SPREAD_TIME {
            return;
        }
        if let Some(owners) = self.instances.owners() {
            self.peers.send(SocketAddr::new(to, self.me.port()), &PeerMessage::Owners(owners.clone()));
        }
    }

    fn send_to_proxy(&mut self, message: &AgentMessage) {
        if let Some(proxy) = &self.proxy {
            // A proxy that does not read is disconnected, and gets everything again when it reconnects.
            if proxy.try_send(frame(message)).is_err() {
                self.proxy = None;
            }
        }
    }

    fn pull(&mut self) {
        let now = self.start.elapsed();
        self.last_pull = now;
        if self.controllers.is_empty() {
            self.controllers = self.settings.seed_peers();
        }
        if self.controllers.is_empty() {
            return;
        }
        let to = self.controllers[self.controller_index % self.controllers.len()];
        let with_peers =
            self.last_in_touch == Duration::ZERO || self.pull_count.is_multiple_of(PULLS_PER_PEER_REQUEST);
        self.pull_count = self.pull_count.wrapping_add(1);
        let revision =
            self.catalogue.as_ref().filter(|_| !self.needs_full_configuration).map_or(0, |c| c.revision);
        let (ip, mark) = (self.me.ip(), self.instances.mark());
        let with_data = self.wants_data(now, &to);
        self.peers.send(to, &PeerMessage::Pull { ip, revision, mark, with_peers, with_data });
        // Controllers of unknown zones are all probed at once, to find the one of the local zone. A
        // controller that was given up as silent is probed again now and then: it may be the local one and
        // have returned; otherwise all agents of a zone would stay with a remote controller for good.
        let near = self.controller_zones.get(&to) == Some(&self.zone_index);
        for other in self.controllers.clone() {
            let look = match self.controller_zones.get(&other) {
                None => !with_data,
                Some(zone) => *zone == u8::MAX && with_peers && !near,
            };
            if other != to && look {
                self.peers.send(
                    other,
                    &PeerMessage::Pull { ip, revision, mark, with_peers: false, with_data: false },
                );
            }
        }
    }

    /// Whether this controller is to send the configuration and the instances: one of the local zone, or any
    /// if none is found there. If every controller that is probed sent them, each agent would receive the
    /// configuration several times (five times in one case).
    fn wants_data(&self, now: Duration, controller: &SocketAddr) -> bool {
        let near = self.controller_zones.get(controller) == Some(&self.zone_index);
        near || now >= LOCAL_ZONE_WAIT
            || self.controllers.iter().all(|at| self.controller_zones.contains_key(at))
    }

    /// Whether this agent is among the few that send a new lease holder the handover. The choice is a hash of
    /// the lease number, so that the agents agree on it without communication.
    fn is_handover_sender(&self, now: Duration, number: u64) -> bool {
        let weight = |ip: IpAddr| crate::controller::hash(&format!("{ip} {number}"));
        let local = weight(self.me.ip());
        self.peer_sampler.alive(now).iter().filter(|peer| weight(peer.ip) < local).count() < HANDOVER_SENDERS
    }

    /// The follow message to the lease holder. Some of them also ask for other agents: otherwise two groups
    /// of agents that started from two controllers would never learn of each other.
    fn follow_message(&mut self) -> PeerMessage {
        self.follow_count = self.follow_count.wrapping_add(1);
        let proxy = Proxy {
            ip: self.me.ip(),
            zone_index: self.zone_index,
            incarnation: self.peer_sampler.incarnation(),
        };
        PeerMessage::Follow {
            mark: self.instances.mark(),
            with_peers: self.follow_count % FOLLOWS_PER_PEER_REQUEST == 1,
            proxy: Some(proxy),
        }
    }

    fn tick(&mut self, now: Duration) {
        // An agent that has just started has no data: it tries one controller after the other until one
        // answers.
        let new = self.last_in_touch == Duration::ZERO || !self.instances.is_known();
        // A controller that answers is given the time that the controllers take to bootstrap.
        let answers = self.last_answer > Duration::ZERO && now < self.last_answer + ANSWERED_WITHIN;
        let silent = match new {
            true if answers => BOOTSTRAP_TIMEOUT,
            true => EMPTY_SILENCE_TIMEOUT,
            false => SILENCE_TIMEOUT,
        };
        if now >= self.last_in_touch + silent
            && now >= self.last_pull + silent.min(Duration::from_millis(300))
        {
            // Silent, or not in touch with a majority: tries the next one, and once in a while the seeds
            // again.
            let previous = self.current_controller();
            if let Some(previous) = previous {
                self.controller_zones.insert(previous, u8::MAX);
            }
            self.controller_index = self.controller_index.wrapping_add(1);
            if self.controller_index.is_multiple_of(8) {
                // The settings file may have changed without a SIGHUP.
                self.reload_settings();
                for seed in self.settings.seed_peers() {
                    if !self.controllers.contains(&seed) {
                        self.controllers.push(seed);
                    }
                }
            }
            if let (false, Some(previous), Some(to)) =
                (self.log.controller_left, previous, self.current_controller())
            {
                // Logged once per silence: the next controllers may be silent as well.
                self.log.controller_left = true;
                let silent = now.saturating_sub(self.last_in_touch).as_millis();
                info!("controller {} replaced by {}: no contact for {silent} ms", previous.ip(), to.ip());
            }
            self.pull();
        } else if now >= self.last_pull + if new { 2 * EMPTY_SILENCE_TIMEOUT } else { PULL_INTERVAL } {
            self.pull();
        }
        if let Some((holder, _)) = self.holder {
            if now >= self.last_follow + FOLLOW_INTERVAL {
                self.last_follow = now;
                let follow = self.follow_message();
                self.peers.send(holder, &follow);
            }
        }
        self.log_changes(now);
        let newest = crate::settings::seconds(self.settings.timers.convergence_ms / 1000.0 * NEWEST_SHARE);
        let fresh = self.confirmed_at.is_some_and(|at| now < at + newest);
        if fresh != self.configuration_is_newest {
            self.configuration_is_newest = fresh;
            self.send_to_proxy(&AgentMessage::ConfigurationIsNewest(fresh));
        }
        let in_touch = self.last_in_touch > Duration::ZERO && now < self.last_in_touch + REACHABLE_WITHIN;
        if in_touch != self.controllers_reachable {
            self.controllers_reachable = in_touch;
            self.send_to_proxy(&AgentMessage::ControllersReachable(in_touch));
        }
        let zones = self.settings.zones_with_regions();
        let proxies: Vec<ProxyInfo> = self
            .peer_sampler
            .alive(now)
            .into_iter()
            .filter(|peer| peer.incarnation != 0)
            .filter_map(|peer| {
                let zone = zones.get(usize::from(peer.zone_index))?.0.clone();
                Some(ProxyInfo { ip: peer.ip, zone, incarnation: peer.incarnation })
            })
            .collect();
        if proxies != self.proxies {
            self.proxies = proxies.clone();
            self.send_to_proxy(&AgentMessage::Proxies(proxies));
        }
    }

    fn current_controller(&self) -> Option<SocketAddr> {
        self.controllers.get(self.controller_index % self.controllers.len().max(1)).copied()
    }

    /// Logs states that have lasted long enough.
    fn log_changes(&mut self, now: Duration) {
        let connected = self.proxy.is_some();
        if connected != self.log.proxy_connected || (!connected && now >= self.log.proxy_missing_due) {
            (self.log.proxy_connected, self.log.proxy_missing_due) = (connected, Duration::MAX);
            match connected {
                true => info!("proxy connected"),
                false => warn!("no proxy connected to this agent"),
            }
        }
        if now >= self.log.alone_due && now >= self.last_in_touch + LOG_ALONE_AFTER {
            (self.log.alone_due, self.log.alone) = (now + LOG_ALONE_INTERVAL, true);
            warn!(
                "no controller in touch with a majority for {} s",
                now.saturating_sub(self.last_in_touch).as_secs()
            );
        }
    }

    fn handle_event(&mut self, event: Event, leaving: bool) {
        let now = self.start.elapsed();
        match event {
            Event::PeerMessage(from, message) => self.handle_message(now, from, message),
            Event::ProxyConnected(sender) => {
                self.proxy = Some(sender);
                if let Some(catalogue) = self.catalogue.clone() {
                    self.send_to_proxy(&AgentMessage::Configuration(catalogue));
                }
                self.send_to_proxy(&AgentMessage::Proxies(self.proxies.clone()));
                self.send_owners();
                let entries = self.instances.entries(now);
                if self.instances.is_known() {
                    self.send_to_proxy(&AgentMessage::Instances {
                        entries,
                        ended: Vec::new(),
                        complete: true,
                    });
                }
                self.send_to_proxy(&AgentMessage::ConfigurationIsNewest(self.configuration_is_newest));
                self.send_to_proxy(&AgentMessage::ControllersReachable(self.controllers_reachable));
            }
            Event::ProxyMessage(ProxyMessage::Incarnation(incarnation)) if !leaving => {
                self.set_serving(now, incarnation)
            }
            Event::ProxyMessage(ProxyMessage::Incarnation(_)) => {}
            Event::ProxyMessage(ProxyMessage::Leaving) | Event::ProxyDisconnected => {
                self.set_serving(now, 0);
                if matches!(event, Event::ProxyDisconnected) {
                    self.proxy = None;
                }
            }
            Event::ProxyMessage(message) => {
                let Some((holder, _)) = self.holder else { return };
                let message = match message {
                    ProxyMessage::Demand(demand) => PeerMessage::Demand(demand),
                    ProxyMessage::InstanceGone(instance) => {
                        self.instances.remove(&instance);
                        PeerMessage::InstanceGone(instance)
                    }
                    ProxyMessage::InstanceReady(instance) => {
                        self.instances.mark_ready(&instance);
                        PeerMessage::InstanceReady(instance)
                    }
                    ProxyMessage::Incarnation(_) | ProxyMessage::Leaving => return,
                };
                self.peers.send(holder, &message);
            }
            Event::Settings => self.reload_settings(),
            Event::Datagram(..) | Event::Leave => {}
        }
    }

    /// Switches to a controller of the local zone if there is one, where traffic costs least; else to one
    /// whose zone is still unknown.
    fn prefer_local_controller(&mut self) {
        let rank = |at: &SocketAddr| match self.controller_zones.get(at) {
            Some(zone) if *zone == self.zone_index => 0,
            None => 1,
            Some(_) => 2,
        };
        let Some(current) = self.current_controller() else { return };
        if let Some(best) = (0..self.controllers.len()).min_by_key(|i| rank(&self.controllers[*i])) {
            if rank(&self.controllers[best]) < rank(&current) {
                self.controller_index = best;
                let unsubscribe = PeerMessage::Pull {
                    ip: self.me.ip(),
                    revision: 0,
                    mark: self.instances.mark(),
                    with_peers: false,
                    with_data: false,
                };
                self.peers.send(current, &unsubscribe);
                if self.catalogue.is_none() || !self.instances.is_known() {
                    self.pull();
                }
            }
        }
    }

    fn handle_message(&mut self, now: Duration, from: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::ClusterStatus { holder, revision, in_touch, zone_index, controllers, agents } => {
                self.controller_zones.insert(from, zone_index);
                if self.current_controller() == Some(from) {
                    self.last_answer = now;
                }
                if !controllers.is_empty() && controllers != self.controllers {
                    let current =
                        self.controllers.get(self.controller_index % self.controllers.len().max(1)).copied();
                    self.controllers = controllers;
                    self.controller_index = self
                        .controllers
                        .iter()
                        .position(|a| Some(*a) == current)
                        .unwrap_or(self.controller_index);
                }
                self.peer_sampler.add_contacts(now, agents);
                let local = self.catalogue.as_ref().map_or(0, |c| c.revision);
                // An agent without instances does not wait for the controllers' election: the controller of
                // its zone can send the platform's list.
                if in_touch || !self.instances.is_known() {
                    self.prefer_local_controller();
                }
                if in_touch {
                    if self.log.alone {
                        let silent = now.saturating_sub(self.last_in_touch).as_secs();
                        warn!("controller {} in touch with a majority again after {silent} s", from.ip());
                    }
                    (self.log.controller_left, self.log.alone, self.log.alone_due) =
                        (false, false, now + LOG_ALONE_AFTER);
                    self.last_in_touch = now;
                    if revision <= local && local > 0 {
                        self.confirmed_at = Some(now);
                    }
                }
                // The valid lease holder is the one with the highest lease number.
                if let Some((at, number)) = holder {
                    if self.holder.is_none_or(|(old, known)| number > known || (number == known && at != old))
                    {
                        info!("lease holder is {}, lease number {number}", at.ip());
                        self.holder = Some((at, number));
                        self.last_follow = now;
                        let (known, tag) = (self.instances.mark().number, self.instances.tag());
                        if number != known && tag != 0 && self.is_handover_sender(now, number) {
                            let numbers = self.instances.numbers();
                            // Older instances are on the platform's list, which the lease holder reads.
                            let mut entries = self.instances.entries(now);
                            entries.retain(|entry| !entry.ready || entry.age < UNLISTED_AGE);
                            self.peers.send(at, &PeerMessage::Handover { entries, tag, numbers });
                        }
                        let follow = self.follow_message();
                        self.peers.send(at, &follow);
                    }
                }
            }
            PeerMessage::Configuration(catalogue) => {
                self.needs_full_configuration = false;
                // A process never goes back to an older revision.
                if self.catalogue.as_ref().is_none_or(|local| local.revision < catalogue.revision) {
                    info!("revision {} in force", catalogue.revision);
                    self.send_to_proxy(&AgentMessage::Configuration(catalogue.clone()));
                    self.confirmed_at = Some(now);
                    self.catalogue = Some(catalogue);
                }
            }
            PeerMessage::Change(change) => {
                let Some(local) = self.catalogue.as_ref().filter(|local| local.revision < change.revision)
                else {
                    return;
                };
                match local.apply(&change) {
                    Some(catalogue) => {
                        info!("revision {} in force", catalogue.revision);
                        self.send_to_proxy(&AgentMessage::Change(change));
                        self.confirmed_at = Some(now);
                        self.catalogue = Some(catalogue);
                    }
                    // The change is based on another revision than the local one: requests the full
                    // configuration.
                    None => {
                        self.needs_full_configuration = true;
                        self.pull();
                    }
                }
            }
            PeerMessage::Instances(update) => match self.instances.apply(now, &update) {
                Applied::Old => {}
                Applied::Gap => {
                    // An update was missed: requests the missing part from the current controller.
                    self.pull();
                }
                Applied::New { ended } => {
                    let InstanceUpdate { entries, whole, owners, .. } = update;
                    self.send_to_proxy(&AgentMessage::Instances { entries, ended, complete: whole });
                    if owners.is_some() {
                        self.send_owners();
                    }
                }
            },
            PeerMessage::Owners(owners) => {
                if self.instances.apply_owners(&owners) {
                    self.send_owners();
                }
            }
            PeerMessage::ControlStore(_)
            | PeerMessage::Pull { .. }
            | PeerMessage::Follow { .. }
            | PeerMessage::Demand(_)
            | PeerMessage::InstanceGone(_)
            | PeerMessage::InstanceReady(_)
            | PeerMessage::Handover { .. }
            | PeerMessage::Leaving { .. } => {}
        }
    }
}
