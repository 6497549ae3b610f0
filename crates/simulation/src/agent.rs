//! Agent process model: polls controllers, follows the lease holder, takes part in peer sampling, and
//! updates the proxy beside it. It mirrors the agent of the system processes.

use crate::injected_defects::InjectedDefect;
use crate::messages::{Listed, Mark, PeerMessage, Proxy, PEER_PORT};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_configuration::Catalogue;
use tindock_instance_distribution::{Applied, Replica};
use tindock_peer_sampling::{Message, PeerSampler};

const PULL_INTERVAL: Duration = Duration::from_millis(700);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence timeout of an agent that has no state yet.
const STARTUP_SILENCE_TIMEOUT: Duration = Duration::from_millis(80);
const FOLLOW_INTERVAL: Duration = Duration::from_millis(1000);
/// Owners known for this long are sent to peers that report older ones.
const OWNERS_SPREAD: Duration = Duration::from_millis(1000);
/// One follow message in this many asks for a status with other agents.
const FOLLOWS_PER_STATUS: u32 = 4;
const FRESH_SHARE: f64 = 0.5;
const CONTACT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Updates for the proxy on the same machine.
pub enum ProxyUpdate {
    Configuration(Rc<Catalogue>),
    Proxies(Vec<(IpAddr, String, u32)>),
    Owners(Vec<(IpAddr, String, u32)>),
    Instances { entries: Vec<Listed>, ended: Vec<String> },
    ConfigurationFresh(bool),
    ControllersReachable(bool),
}

pub enum Out {
    PeerMessage { to: SocketAddr, message: PeerMessage },
    PeerSampling { to: IpAddr, message: Message },
    ProxyUpdate(ProxyUpdate),
}

pub struct AgentProcess {
    ip: IpAddr,
    zone_index: u8,
    zones: Vec<(String, String)>,
    seeds: Vec<SocketAddr>,
    convergence: Duration,
    pub sampler: PeerSampler,
    catalogue: Option<Rc<Catalogue>>,
    controllers: Vec<SocketAddr>,
    controller_index: usize,
    last_contact: Duration,
    last_pull: Duration,
    last_follow: Duration,
    follows: u32,
    last_confirmed: Option<Duration>,
    fresh: bool,
    in_touch: bool,
    holder: Option<(SocketAddr, u64)>,
    instances: Replica,
    /// Version of the known owner list, and since when it is known.
    owners: (Mark, Duration),
    proxies: Vec<(IpAddr, String, u32)>,
    defect: Option<InjectedDefect>,
    pub out: Vec<Out>,
}

pub struct AgentSettings {
    pub ip: IpAddr,
    pub zone: String,
    pub zones: Vec<(String, String)>,
    pub seeds: Vec<SocketAddr>,
    pub convergence: Duration,
    /// Start of the process, ms of the machine's wall clock.
    pub since: u64,
    pub seed: u64,
    pub defect: Option<InjectedDefect>,
}

impl AgentProcess {
    pub fn new(settings: AgentSettings) -> AgentProcess {
        let zone_index =
            settings.zones.iter().position(|(zone, _)| *zone == settings.zone).unwrap_or(0) as u8;
        let mut agent = AgentProcess {
            sampler: PeerSampler::new(settings.ip, zone_index, settings.since, settings.seed, Duration::ZERO),
            ip: settings.ip,
            zone_index,
            zones: settings.zones,
            controllers: settings.seeds.clone(),
            seeds: settings.seeds,
            convergence: settings.convergence,
            catalogue: None,
            controller_index: settings.seed as usize,
            last_contact: Duration::ZERO,
            last_pull: Duration::ZERO,
            last_follow: Duration::ZERO,
            follows: 0,
            last_confirmed: None,
            fresh: false,
            in_touch: false,
            holder: None,
            instances: Replica::default(),
            owners: (Mark::default(), Duration::ZERO),
            proxies: Vec::new(),
            defect: settings.defect,
            out: Vec::new(),
        };
        agent.pull(Duration::ZERO);
        agent
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        self.out.push(Out::PeerMessage { to, message });
    }

    fn update_proxy(&mut self, update: ProxyUpdate) {
        self.out.push(Out::ProxyUpdate(update));
    }

    fn pull(&mut self, now: Duration) {
        self.last_pull = now;
        if self.controllers.is_empty() {
            self.controllers = self.seeds.clone();
        }
        if self.controllers.is_empty() {
            return;
        }
        let to = self.controllers[self.controller_index % self.controllers.len()];
        let revision = self.catalogue.as_ref().map_or(0, |c| c.revision);
        let mark = self.instances.mark();
        self.send(to, PeerMessage::Pull { ip: self.ip, revision, mark });
    }

    fn follow(&mut self, holder: SocketAddr) {
        self.follows = self.follows.wrapping_add(1);
        let wants_status = self.follows % FOLLOWS_PER_STATUS == 1;
        let proxy =
            Proxy { ip: self.ip, zone_index: self.zone_index, incarnation: self.sampler.incarnation() };
        self.send(
            holder,
            PeerMessage::Follow { mark: self.instances.mark(), wants_status, proxy: Some(proxy) },
        );
    }

    pub fn next_due(&self) -> Duration {
        self.sampler.next_due().min(self.last_pull + PULL_INTERVAL)
    }

    pub fn tick(&mut self, now: Duration) {
        for (to, message) in self.sampler.tick(now) {
            self.out.push(Out::PeerSampling { to, message });
        }
        let new = self.last_contact == Duration::ZERO || !self.instances.is_known();
        let silent = if new { STARTUP_SILENCE_TIMEOUT } else { SILENCE_TIMEOUT };
        if now >= self.last_contact + silent && now >= self.last_pull + silent.min(Duration::from_millis(300))
        {
            self.controller_index = self.controller_index.wrapping_add(1);
            if self.controller_index.is_multiple_of(8) {
                for seed in self.seeds.clone() {
                    if !self.controllers.contains(&seed) {
                        self.controllers.push(seed);
                    }
                }
            }
            self.pull(now);
        } else if now >= self.last_pull + PULL_INTERVAL {
            self.pull(now);
        }
        if let Some((holder, _)) = self.holder {
            if now >= self.last_follow + FOLLOW_INTERVAL {
                self.last_follow = now;
                self.follow(holder);
            }
        }
        let newest = self.convergence.mul_f64(FRESH_SHARE);
        let fresh = self.last_confirmed.is_some_and(|at| now < at + newest);
        if fresh != self.fresh {
            self.fresh = fresh;
            self.update_proxy(ProxyUpdate::ConfigurationFresh(fresh));
        }
        let in_touch = self.last_contact > Duration::ZERO && now < self.last_contact + CONTACT_TIMEOUT;
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            self.update_proxy(ProxyUpdate::ControllersReachable(in_touch));
        }
        let proxies: Vec<(IpAddr, String, u32)> = self
            .sampler
            .alive(now)
            .into_iter()
            .filter(|peer| peer.incarnation != 0)
            .filter_map(|peer| {
                let zone = self.zones.get(usize::from(peer.zone_index))?.0.clone();
                Some((peer.ip, zone, peer.incarnation))
            })
            .collect();
        if proxies != self.proxies {
            self.proxies = proxies.clone();
            self.update_proxy(ProxyUpdate::Proxies(proxies));
        }
    }

    /// Handles a peer-sampling message and queues the answer, if there is one.
    pub fn receive_sampling(&mut self, now: Duration, from: IpAddr, message: &Message) {
        self.forward_owners(now, from, message.owners);
        if let Some(answer) = self.sampler.receive(now, message) {
            self.out.push(Out::PeerSampling { to: from, message: answer });
        }
    }

    /// The proxy on this machine started or stopped serving.
    pub fn set_serving(&mut self, now: Duration, incarnation: u32) {
        if self.sampler.incarnation() == incarnation {
            return;
        }
        self.sampler.set_serving(now, incarnation);
        if let Some((holder, _)) = self.holder {
            self.last_follow = now;
            self.follow(holder);
        }
    }

    fn update_proxy_owners(&mut self, now: Duration) {
        let with_zone = |proxy: &Proxy| {
            let zone = self.zones.get(usize::from(proxy.zone_index))?.0.clone();
            Some((proxy.ip, zone, proxy.incarnation))
        };
        let Some(owners) = self.instances.owners() else { return };
        let mark = owners.mark;
        let proxies = owners.proxies.iter().filter_map(with_zone).collect();
        self.update_proxy(ProxyUpdate::Owners(proxies));
        if mark != self.owners.0 {
            self.owners = (mark, now);
            self.sampler.set_owners((mark.number, mark.version));
        }
    }

    /// Sends the owner list to a peer that reports an older one.
    fn forward_owners(&mut self, now: Duration, to: IpAddr, known: (u64, u64)) {
        let known = Mark { number: known.0, version: known.1 };
        let (mark, since) = self.owners;
        if known >= mark || now < since + OWNERS_SPREAD {
            return;
        }
        if let Some(owners) = self.instances.owners().cloned() {
            self.send(SocketAddr::new(to, PEER_PORT), PeerMessage::Owners(owners));
        }
    }

    /// Forwards a message of the proxy to the lease holder.
    pub fn forward_to_holder(&mut self, message: PeerMessage) {
        let Some((holder, _)) = self.holder else { return };
        match &message {
            PeerMessage::InstanceGone(instance) => self.instances.remove(instance),
            PeerMessage::InstanceReady(instance) => self.instances.mark_ready(instance),
            _ => {}
        }
        self.send(holder, message);
    }

    pub fn receive(&mut self, now: Duration, message: PeerMessage) {
        match message {
            PeerMessage::ControllerStatus { holder, revision, in_contact, controllers, agents } => {
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
                self.sampler.add_contacts(now, agents);
                let current = self.catalogue.as_ref().map_or(0, |c| c.revision);
                if in_contact {
                    self.last_contact = now;
                    if revision <= current && current > 0 {
                        self.last_confirmed = Some(now);
                    }
                }
                self.update_holder(now, holder);
            }
            PeerMessage::Configuration(catalogue) => {
                let keep_old = self.defect == Some(InjectedDefect::OldWordStays) && self.catalogue.is_some();
                if !keep_old
                    && self.catalogue.as_ref().is_none_or(|current| current.revision < catalogue.revision)
                {
                    self.update_proxy(ProxyUpdate::Configuration(catalogue.clone()));
                    self.last_confirmed = Some(now);
                    self.catalogue = Some(catalogue);
                }
            }
            PeerMessage::Instances(update) => match self.instances.apply(now, &update) {
                Applied::Old => {}
                Applied::Gap => self.pull(now),
                Applied::New { ended } => {
                    let entries = update.entries.clone();
                    self.update_proxy(ProxyUpdate::Instances { entries, ended });
                    if update.owners.is_some() {
                        self.update_proxy_owners(now);
                    }
                }
            },
            PeerMessage::Owners(owners) if self.instances.apply_owners(&owners) => {
                self.update_proxy_owners(now)
            }
            _ => {}
        }
    }

    /// The holder with the highest lease number is the current one.
    fn update_holder(&mut self, now: Duration, holder: Option<(SocketAddr, u64)>) {
        let Some((at, number)) = holder else { return };
        let newer = |(old, known): (SocketAddr, u64)| number > known || (number == known && at != old);
        if !self.holder.is_none_or(newer) {
            return;
        }
        self.holder = Some((at, number));
        self.last_follow = now;
        if number != self.instances.mark().number {
            let numbers = self.instances.numbers();
            let handover = PeerMessage::Handover {
                entries: self.instances.entries(now),
                tag: self.instances.tag(),
                numbers,
            };
            self.send(at, handover);
        }
        self.follow(at);
    }
}
