//! What agents are told: the configuration in force, who holds the lease, which instances there are.

use super::platform_lists::read_instances;
use super::{Controller, Event};
use crate::messages::{Demand, PeerMessage};
use crate::transport::frame;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tindock_circulation::{Stacks, Taken};
use tindock_controller::platform_instances;
use tindock_stacks as autoscaler;

/// The holder is told this often how far the instances are known here.
pub const FOLLOW: Duration = Duration::from_millis(1000);
/// While nobody holds the lease the platform's list is read for agents at most this often by each controller.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(400);

impl Controller {
    /// A note of another controller or of an agent.
    pub(super) fn receive_note(&mut self, now: Duration, from: SocketAddr, note: PeerMessage) {
        match note {
            PeerMessage::ControlStore(envelope) => self.control_store.receive(now, from, envelope),
            PeerMessage::Pull { ip, revision, mark, with_peers, with_data } => {
                self.agents.record_pull(now, ip, revision, with_data);
                let news = self.news(now, ip, with_peers);
                self.peers.send(from, &news);
                if with_data {
                    self.send_configuration(now, Some(ip));
                    self.relay.pulled(now, ip, mark);
                    self.hand_on();
                } else {
                    self.relay.left(ip);
                }
                self.read_first_instances(now);
            }
            PeerMessage::Leaving { ip } => self.agents.remove(ip),
            PeerMessage::Follow { mark, with_peers, proxy } => {
                let relays = self.control_store.members().contains(&from);
                if !relays {
                    self.agents.record_follow(now, from.ip());
                }
                if with_peers {
                    let news = self.news(now, from.ip(), true);
                    self.peers.send(from, &news);
                }
                if let Some(lease) = &mut self.lease {
                    // Its own address: a note is not to speak for another.
                    if let Some(proxy) = proxy.filter(|proxy| proxy.ip == from.ip()) {
                        lease.duties.record_proxy(now, proxy);
                    }
                    let version = lease.duties.scaler.version();
                    lease.duties.source.follow(now, version, from.ip(), mark, relays);
                }
                self.tell_instances(now);
            }
            PeerMessage::Instances(news) => self.take_instances(now, from, news),
            PeerMessage::Demand(demands) => {
                let Some(lease) = self.lease.as_mut() else { return };
                for demand in demands {
                    lease.duties.scaler.update_demand(now, demand_of(demand, &self.places));
                }
            }
            PeerMessage::InstanceGone(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.duties.scaler.instance_gone(now, &instance);
                }
            }
            PeerMessage::InstanceReady(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.duties.scaler.instance_ready(now, &instance);
                }
            }
            PeerMessage::Handover { entries, tag, numbers } => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.duties.receive_handover(now, entries, &numbers, tag);
                }
            }
            // These come from controllers alone.
            PeerMessage::ClusterStatus { .. }
            | PeerMessage::Configuration(_)
            | PeerMessage::Change(_)
            | PeerMessage::Owners(_) => {}
        }
    }

    /// How things stand, for one agent; with `with_peers` also who else is there.
    fn news(&mut self, now: Duration, to: IpAddr, with_peers: bool) -> PeerMessage {
        let agents = if with_peers { self.agents.sample(now, to) } else { Vec::new() };
        PeerMessage::ClusterStatus {
            holder: self.holder,
            revision: self.control_store.committed().map_or(0, |committed| committed.revision),
            in_touch: self.is_in_touch(now),
            zone_index: self.place,
            controllers: if with_peers { self.control_store.members() } else { Vec::new() },
            agents,
        }
    }

    pub(super) fn send_news_to_all(&mut self, now: Duration) {
        let port = self.settings.peer_address().port();
        for ip in self.agents.recent(now) {
            let news = self.news(now, ip, false);
            self.peers.send(SocketAddr::new(ip, port), &news);
        }
    }

    /// The configuration in force to an agent that has an older one, or to all that asked here lately. A controller that is cut
    /// off may know an old one only: it hands out none, and leaves its agents to controllers in touch.
    pub(super) fn send_configuration(&mut self, now: Duration, only: Option<IpAddr>) {
        if self.is_cut_off(now) {
            return;
        }
        let Some(configuration) = &self.configuration else { return };
        let port = self.settings.peer_address().port();
        let behind = self.agents.behind(now, configuration.revision, only);
        // By the revision that an agent has: the frame that leads on from it, made once for all who have it.
        let mut frames: HashMap<u64, (bool, Vec<u8>)> = HashMap::new();
        for (ip, has) in behind {
            let (whole, bytes) = frames.entry(has).or_insert_with(|| {
                match self.older.iter().find(|old| old.revision == has) {
                    Some(old) => (false, frame(&PeerMessage::Change(configuration.since(old)))),
                    None => (true, frame(&PeerMessage::Configuration(configuration.clone()))),
                }
            });
            self.agents.record_sent(now, ip, configuration.revision, *whole);
            self.peers.send_frame(SocketAddr::new(ip, port), bytes.clone());
        }
    }

    /// While nobody holds the lease, as after a loss of everything, an agent that asks is shown what the platform lists:
    /// service does not wait for a vote. One reading serves all who ask meanwhile.
    fn read_first_instances(&mut self, now: Duration) {
        let Some(platform) = self.platform.clone().filter(|_| self.holder.is_none()) else { return };
        if self.reading_first || now < self.first_due {
            return;
        }
        self.reading_first = true;
        self.first_due = now + FIRST_LIST_INTERVAL;
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let instances = read_instances(&platform).await.ok();
            let _ = events.send(Event::FirstInstances(instances)).await;
        });
    }

    pub(super) fn first_instances_read(
        &mut self,
        now: Duration,
        read: Option<Vec<autoscaler::ListedInstance>>,
    ) {
        self.reading_first = false;
        let (Some(instances), None) = (read, self.holder) else { return };
        let bytes = frame(&PeerMessage::Instances(platform_instances(instances)));
        let port = self.settings.peer_address().port();
        for ip in self.relay.blank(now) {
            self.peers.send_frame(SocketAddr::new(ip, port), bytes.clone());
        }
    }

    /// This controller follows whoever holds the lease, itself too.
    pub(super) fn follow_holder(&mut self, now: Duration) {
        let Some((holder, _)) = self.holder else { return };
        self.followed = now;
        let mark = self.relay.replica().mark();
        if holder != self.settings.peer_address() {
            return self.peers.send(holder, &PeerMessage::Follow { mark, with_peers: false, proxy: None });
        }
        if let Some(lease) = &mut self.lease {
            let version = lease.duties.scaler.version();
            lease.duties.source.follow(now, version, holder.ip(), mark, true);
        }
    }

    /// News of the instances, taken over and handed on.
    fn take_instances(&mut self, now: Duration, from: SocketAddr, news: Stacks) {
        if self.relay.take(now, news) == Taken::Gap {
            let mark = self.relay.replica().mark();
            self.peers.send(from, &PeerMessage::Follow { mark, with_peers: false, proxy: None });
        }
        self.hand_on();
    }

    fn hand_on(&mut self) {
        let port = self.settings.peer_address().port();
        while let Some(copies) = self.relay.pull() {
            let bytes = frame(&PeerMessage::Instances((*copies.news).clone()));
            for ip in copies.to {
                self.peers.send_frame(SocketAddr::new(ip, port), bytes.clone());
            }
        }
    }

    /// What changed in the instances, to those whom the source names.
    pub(super) fn tell_instances(&mut self, now: Duration) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.duties.has_complete_view()) else {
            return;
        };
        let duties = &mut lease.duties;
        duties.update_proxies(now);
        duties.source.tick(now, duties.scaler.version());
        let me = self.settings.peer_address();
        // By the version it leads on from: the same piece goes to all controllers.
        let mut frames: HashMap<u64, (Stacks, Vec<u8>)> = HashMap::new();
        let mut own = Vec::new();
        while let Some((ip, from)) = duties.source.pull() {
            let (news, bytes) = frames.entry(from).or_insert_with(|| {
                let news = duties.changes_since(now, from);
                let bytes = frame(&PeerMessage::Instances(news.clone()));
                (news, bytes)
            });
            if ip == me.ip() {
                own.push(news.clone());
            } else {
                self.peers.send_frame(SocketAddr::new(ip, me.port()), bytes.clone());
            }
        }
        for news in own {
            self.take_instances(now, me, news);
        }
    }
}

/// Demand as the autoscaler takes it: zones by their names.
fn demand_of(demand: Demand, places: &[(String, String)]) -> autoscaler::Demand {
    let origin = |(place, share): (u8, u8)| {
        Some((places.get(usize::from(place))?.0.clone(), f32::from(share) / 255.0))
    };
    autoscaler::Demand {
        service: demand.service,
        zone: demand.zone,
        rate: demand.rate,
        busy: demand.busy,
        peak: demand.peak,
        waiting: demand.waiting,
        run_ms: demand.run,
        idle_ms: demand.idle,
        origins: demand.origins.into_iter().filter_map(origin).collect(),
    }
}
