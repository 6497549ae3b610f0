//! Controller process model: executes the control store's actions, sends updates to agents, and runs the
//! autoscaler while it holds the leadership lease. It mirrors the controller of the system processes;
//! decisions outside the control store come from `tindock_controller`, which both use.

use crate::injected_defects::InjectedDefect;
use crate::messages::{hash, InstanceUpdate, PeerMessage, PEER_PORT};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_autoscaler as autoscaler;
use tindock_configuration::Catalogue;
use tindock_control_store::{Action, ControlStore, DiskState, MemberSettings, Outcome, Stored};
use tindock_controller::{
    list_interval, platform_instances, services, Agents, LeaseHolder, LeaseSettings, PauseDetector,
};
use tindock_instance_distribution::{Applied, Relay};

const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(400);
const FOLLOW_INTERVAL: Duration = Duration::from_millis(1000);
const MIN_SHUTDOWN: Duration = Duration::from_millis(150);
const MAX_REPLY_WAIT: Duration = Duration::from_secs(1);
/// Longest time after SIGTERM for handing over the voter seat; SIGKILL follows after `grace_s`.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
const REPLY_SEND_TIME: Duration = Duration::from_millis(30);

/// Calls to the platform API.
#[derive(Clone, Debug)]
pub enum Call {
    List,
    /// Instance list requested while there is no lease holder.
    InitialList,
    Hosts,
    Begin {
        token: u64,
        service: String,
        host: String,
        nonce: String,
    },
    Stop {
        token: u64,
        instance: String,
    },
}

/// Result of a platform call; `Unknown` also covers lists that did not arrive.
#[derive(Clone, Debug)]
pub enum Answer {
    List(Vec<autoscaler::ListedInstance>),
    Hosts(Vec<autoscaler::Host>),
    Started(autoscaler::StartResult),
    Stopped(bool),
    Unknown,
}

/// Reply to an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Acknowledged,
    /// A different configuration is committed under this revision.
    Conflict,
    Unavailable,
    Empty,
    Configuration(Vec<u8>),
    Redirect(IpAddr),
    Invalid,
}

pub enum Out {
    PeerMessage { to: SocketAddr, message: PeerMessage },
    Store { token: u64, what: Stored },
    Platform { number: u64, call: Call },
    Reply { call: u64, reply: Reply },
}

pub struct ControllerSettings {
    pub name: String,
    pub setup: MemberSettings,
    pub platform: autoscaler::PlatformSettings,
    pub list_rate: f64,
    pub rebinding: autoscaler::Rebinding,
    pub defect: Option<InjectedDefect>,
}

pub struct Controller {
    settings: ControllerSettings,
    pub control_store: ControlStore,
    catalogue: Option<Rc<Catalogue>>,
    agents: Agents,
    pause_detector: PauseDetector,
    lease: Option<LeaseHolder>,
    holder: Option<(SocketAddr, u64)>,
    relay: Relay,
    last_follow: Duration,
    reading_initial_list: bool,
    initial_list_due: Duration,
    /// Operators' calls that are not answered yet, and the time of the last reply.
    calls: BTreeSet<u64>,
    last_reply: Duration,
    pub out: Vec<Out>,
}

impl Controller {
    pub fn new(settings: ControllerSettings, disk_state: DiskState) -> Controller {
        let control_store = ControlStore::new(settings.setup.clone(), disk_state, Duration::ZERO);
        Controller {
            settings,
            control_store,
            catalogue: None,
            agents: Agents::new(Ipv4Addr::UNSPECIFIED.into()),
            pause_detector: PauseDetector::default(),
            lease: None,
            holder: None,
            relay: Relay::default(),
            last_follow: Duration::ZERO,
            reading_initial_list: false,
            initial_list_due: Duration::ZERO,
            calls: BTreeSet::new(),
            last_reply: Duration::ZERO,
            out: Vec::new(),
        }
    }

    pub fn lease_number(&self) -> Option<u64> {
        self.lease.as_ref().map(|lease| lease.number)
    }

    pub fn next_due(&self) -> Duration {
        let due = self.control_store.next_due();
        self.lease.as_ref().map_or(due, |lease| due.min(lease.next_due()))
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        self.out.push(Out::PeerMessage { to, message });
    }

    pub fn replace(&mut self, now: Duration, call: u64, text: &[u8]) {
        self.pause_detector.observe(now);
        match Catalogue::read(text) {
            Ok(catalogue) => {
                if self.settings.defect == Some(InjectedDefect::AckBeforeMajority) {
                    self.out.push(Out::Reply { call, reply: Reply::Acknowledged });
                }
                if !self.open_call(now, call) {
                    return;
                }
                if let Some(lease) = &mut self.lease {
                    lease.scaler.configuration_changing(now);
                }
                self.control_store.replace(now, call, catalogue.revision, text.to_vec());
            }
            Err(_) => self.out.push(Out::Reply { call, reply: Reply::Invalid }),
        }
    }

    pub fn show(&mut self, now: Duration, call: u64) {
        self.pause_detector.observe(now);
        if self.open_call(now, call) {
            self.control_store.show(now, call);
        }
    }

    /// Whether a majority was reachable since the start, but not recently.
    fn is_cut_off(&self, now: Duration) -> bool {
        self.control_store.ready() && !self.is_in_touch(now)
    }

    /// Whether a majority was reachable since the start, and still is.
    fn is_in_touch(&self, now: Duration) -> bool {
        self.control_store.ready() && self.pause_detector.is_fresh(now) && self.control_store.in_touch(now)
    }

    /// Registers a call for the control store. While cut off it replies `Unavailable` and returns false.
    fn open_call(&mut self, now: Duration, call: u64) -> bool {
        if self.is_cut_off(now) {
            self.reply(now, call, Reply::Unavailable);
            return false;
        }
        self.calls.insert(call)
    }

    /// Replies `Unavailable` to all open calls once contact with the majority is lost.
    fn reject_open_calls(&mut self, now: Duration) {
        if self.is_cut_off(now) {
            for call in std::mem::take(&mut self.calls) {
                self.reply(now, call, Reply::Unavailable);
            }
        }
    }

    fn reply(&mut self, now: Duration, call: u64, reply: Reply) {
        self.last_reply = now;
        self.out.push(Out::Reply { call, reply });
    }

    /// Handles the platform's answer to a call made under lease number `number`.
    pub fn platform_answered(&mut self, now: Duration, number: u64, call: &Call, answer: Answer) {
        self.pause_detector.observe(now);
        if matches!(call, Call::InitialList) {
            self.reading_initial_list = false;
            if let (Answer::List(listed), None) = (answer, self.holder) {
                self.send_initial_list(now, listed);
            }
            return;
        }
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.number == number) else { return };
        let drain_ignored = self.settings.defect == Some(InjectedDefect::DrainIgnored);
        match call {
            Call::InitialList => {}
            Call::List => {
                let mut listed = if let Answer::List(listed) = answer { Some(listed) } else { None };
                if drain_ignored {
                    listed.iter_mut().flatten().for_each(|listed| listed.draining = false);
                }
                lease.instances_read(now, listed.as_deref());
            }
            Call::Hosts => {
                let mut hosts = if let Answer::Hosts(hosts) = answer { Some(hosts) } else { None };
                if drain_ignored {
                    hosts.iter_mut().flatten().for_each(|host| host.up = true);
                }
                lease.hosts_read(now, hosts.as_deref());
            }
            Call::Begin { token, .. } => {
                let started = if let Answer::Started(started) = answer {
                    started
                } else {
                    autoscaler::StartResult::OutcomeUnknown
                };
                lease.scaler.start_answered(now, *token, started);
            }
            Call::Stop { token, .. } => {
                lease.scaler.stop_answered(now, *token, matches!(answer, Answer::Stopped(true)));
            }
        }
    }

    pub fn receive(&mut self, now: Duration, from: SocketAddr, message: PeerMessage) {
        self.pause_detector.observe(now);
        match message {
            PeerMessage::ControlStore(envelope) => self.control_store.receive(now, from, envelope),
            PeerMessage::Pull { ip, revision, mark } => {
                self.agents.record_pull(now, ip, revision, true);
                let status = self.status_for(now, ip);
                self.send(from, status);
                self.send_configuration(now, Some(ip));
                self.relay.handle_pull(now, ip, mark);
                self.forward_updates();
                self.request_initial_list(now);
            }
            PeerMessage::Follow { mark, wants_status, proxy } => {
                let relays = self.control_store.members().contains(&from);
                if !relays {
                    self.agents.record_follow(now, from.ip());
                }
                if wants_status {
                    let status = self.status_for(now, from.ip());
                    self.send(from, status);
                }
                if let Some(lease) = &mut self.lease {
                    if let Some(proxy) = proxy {
                        lease.record_proxy(now, proxy);
                    }
                    lease.source.follow(now, lease.scaler.version(), from.ip(), mark, relays);
                }
                self.send_instances(now);
            }
            PeerMessage::Instances(update) => self.apply_instances(now, from, (*update).clone()),
            PeerMessage::Demand(demands) => {
                let Some(lease) = self.lease.as_mut() else { return };
                for demand in demands {
                    lease.scaler.update_demand(now, demand);
                }
            }
            PeerMessage::InstanceGone(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.scaler.instance_gone(now, &instance);
                }
            }
            PeerMessage::InstanceReady(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.scaler.instance_ready(now, &instance);
                }
            }
            PeerMessage::Handover { entries, tag, numbers } => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.receive_handover(now, entries, &numbers, tag);
                }
            }
            PeerMessage::ControllerStatus { .. } | PeerMessage::Configuration(_) | PeerMessage::Owners(_) => {
            }
        }
    }

    fn status_for(&mut self, now: Duration, to: IpAddr) -> PeerMessage {
        let agents = self.agents.sample(now, to);
        PeerMessage::ControllerStatus {
            holder: self.holder,
            revision: self.control_store.committed().map_or(0, |configuration| configuration.revision),
            in_contact: self.is_in_touch(now),
            controllers: self.control_store.members(),
            agents,
        }
    }

    fn send_configuration(&mut self, now: Duration, to: Option<IpAddr>) {
        if self.is_cut_off(now) {
            return;
        }
        let Some(catalogue) = self.catalogue.clone() else { return };
        for (ip, _) in self.agents.behind(now, catalogue.revision, to) {
            self.agents.record_sent(now, ip, catalogue.revision, true);
            self.send(SocketAddr::new(ip, PEER_PORT), PeerMessage::Configuration(catalogue.clone()));
        }
    }

    /// Requests the platform's instance list when an agent polls and there is no lease holder.
    fn request_initial_list(&mut self, now: Duration) {
        if self.holder.is_some() || self.reading_initial_list || now < self.initial_list_due {
            return;
        }
        (self.reading_initial_list, self.initial_list_due) = (true, now + INITIAL_LIST_INTERVAL);
        self.out.push(Out::Platform { number: 0, call: Call::InitialList });
    }

    fn send_initial_list(&mut self, now: Duration, list: Vec<autoscaler::ListedInstance>) {
        let instances = Rc::new(platform_instances(list));
        for ip in self.relay.agents_without_state(now) {
            self.send(SocketAddr::new(ip, PEER_PORT), PeerMessage::Instances(instances.clone()));
        }
    }

    /// Whether a process that received SIGTERM at `began` may exit.
    pub fn may_end(&self, now: Duration, began: Duration) -> bool {
        let answered = self.calls.is_empty() && now >= self.last_reply + REPLY_SEND_TIME;
        let handover_done = self.control_store.may_exit(now) || now >= began + HANDOVER_TIMEOUT;
        handover_done && now >= began + if answered { MIN_SHUTDOWN } else { MAX_REPLY_WAIT }
    }

    fn follow(&mut self, now: Duration) {
        let Some((holder, _)) = self.holder else { return };
        self.last_follow = now;
        let mark = self.relay.replica().mark();
        if holder != self.settings.setup.me {
            return self.send(holder, PeerMessage::Follow { mark, wants_status: false, proxy: None });
        }
        if let Some(lease) = &mut self.lease {
            lease.source.follow(now, lease.scaler.version(), holder.ip(), mark, true);
        }
    }

    fn apply_instances(&mut self, now: Duration, from: SocketAddr, update: InstanceUpdate) {
        if self.relay.apply(now, update) == Applied::Gap {
            let mark = self.relay.replica().mark();
            self.send(from, PeerMessage::Follow { mark, wants_status: false, proxy: None });
        }
        self.forward_updates();
    }

    fn forward_updates(&mut self) {
        while let Some(copies) = self.relay.pull() {
            for ip in copies.to {
                self.send(SocketAddr::new(ip, PEER_PORT), PeerMessage::Instances(copies.update.clone()));
            }
        }
    }

    fn send_instances(&mut self, now: Duration) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.has_complete_view()) else { return };
        lease.update_proxies(now);
        lease.source.tick(now, lease.scaler.version());
        let me = self.settings.setup.me;
        let mut sends = Vec::new();
        while let Some((ip, from)) = lease.source.pull() {
            sends.push((ip, lease.changes_since(now, from)));
        }
        for (ip, update) in sends {
            match ip == me.ip() {
                true => self.apply_instances(now, me, update),
                false => self.send(SocketAddr::new(ip, PEER_PORT), PeerMessage::Instances(Rc::new(update))),
            }
        }
    }

    /// Executes the actions that the decision components have queued.
    pub fn process_actions(&mut self, now: Duration) {
        self.pause_detector.observe(now);
        while let Some(order) = self.control_store.next() {
            match order {
                Action::Send { to, envelope } => {
                    self.out.push(Out::PeerMessage { to, message: PeerMessage::ControlStore(envelope) })
                }
                Action::Store { token, what } => self.out.push(Out::Store { token, what }),
                Action::Answer { call, outcome } => {
                    let reply = match outcome {
                        Outcome::Acknowledged | Outcome::Superseded(_) => Reply::Acknowledged,
                        Outcome::Conflict(_) => Reply::Conflict,
                        Outcome::Unavailable { .. } => Reply::Unavailable,
                        Outcome::Empty => Reply::Empty,
                        Outcome::Found(configuration) => Reply::Configuration(configuration.text.to_vec()),
                        Outcome::Redirect(at) => Reply::Redirect(at.ip()),
                    };
                    if self.calls.remove(&call) {
                        self.reply(now, call, reply);
                    }
                }
            }
        }
        self.reject_open_calls(now);
        let revision = self.catalogue.as_ref().map_or(0, |c| c.revision);
        let configuration =
            self.control_store.committed().filter(|w| w.revision > revision || self.catalogue.is_none());
        if let Some(catalogue) =
            configuration.and_then(|configuration| Catalogue::read(&configuration.text).ok())
        {
            if let Some(lease) = &mut self.lease {
                lease.scaler.update_services(now, &services(&catalogue));
            }
            self.catalogue = Some(Rc::new(catalogue));
            self.send_configuration(now, None);
        }
        self.process_lease(now);
        let holder = self.control_store.holder();
        if holder != self.holder {
            self.holder = holder;
            for ip in self.agents.recent(now) {
                let status = self.status_for(now, ip);
                self.send(SocketAddr::new(ip, PEER_PORT), status);
            }
            self.follow(now);
        }
        if now >= self.last_follow + FOLLOW_INTERVAL {
            self.follow(now);
        }
    }

    fn process_lease(&mut self, now: Duration) {
        let current = self.control_store.lease_number(now);
        let keeps_expired_lease =
            self.settings.defect == Some(InjectedDefect::DutyPastTerm) && current.is_none();
        if !keeps_expired_lease && self.lease.as_ref().map(|lease| lease.number) != current {
            self.lease = current.map(|number| self.start_lease(now, number));
        }
        let Some(lease) = self.lease.as_mut() else { return };
        let number = lease.number;
        if lease.begin_reading_instances(now) {
            self.out.push(Out::Platform { number, call: Call::List });
        }
        if lease.begin_reading_hosts(now) {
            self.out.push(Out::Platform { number, call: Call::Hosts });
        }
        lease.end_handover(now);
        while let Some(order) = lease.next_order(now) {
            let call = match order {
                autoscaler::Order::Begin { token, service, host, nonce } => {
                    Call::Begin { token, service, host, nonce }
                }
                autoscaler::Order::Stop { token, instance } => Call::Stop { token, instance },
            };
            self.out.push(Out::Platform { number, call });
        }
        self.send_instances(now);
    }

    fn start_lease(&self, now: Duration, number: u64) -> LeaseHolder {
        let settings = LeaseSettings {
            terms: self.settings.platform.clone(),
            seed: number ^ hash(&self.settings.name),
            rebinding: self.settings.rebinding,
            list_interval: list_interval(self.settings.list_rate),
        };
        LeaseHolder::start(now, number, settings, self.catalogue.as_deref(), self.relay.replica())
    }
}
