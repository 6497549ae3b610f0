//! Messages to agents: the configuration in force, the lease holder, the instances.

use super::platform_lists::read_instances;
use super::{Controller, Event};
use crate::messages::{Demand, PeerMessage};
use crate::transport::frame;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tindock_autoscaler as autoscaler;
use tindock_controller::platform_instances;
use tindock_instance_distribution::{Applied, InstanceUpdate};

/// How often the lease holder is informed which version of the instances this process has.
pub const FOLLOW_INTERVAL: Duration = Duration::from_millis(1000);
/// While no controller holds the lease, each one reads the platform's list for its agents at most this often.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(400);

impl Controller {
    /// Handles a message of another controller or of an agent.
    pub(super) fn receive_message(&mut self, now: Duration, from: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::ControlStore(envelope) => self.control_store.receive(now, from, envelope),
            PeerMessage::Pull { ip, revision, mark, with_peers, with_data } => {
                self.agents.record_pull(now, ip, revision, with_data);
                let status = self.cluster_status(now, ip, with_peers);
                self.peers.send(from, &status);
                if with_data {
                    self.send_configuration(now, Some(ip));
                    self.relay.handle_pull(now, ip, mark);
                    self.forward_instances();
                } else {
                    self.relay.remove_agent(ip);
                }
                self.read_first_instances(now);
            }
            PeerMessage::Leaving { ip } => self.agents.remove(ip),
            PeerMessage::Follow { mark, with_peers, proxy } => {
                let is_controller = self.control_store.members().contains(&from);
                if !is_controller {
                    self.agents.record_follow(now, from.ip());
                }
                if with_peers {
                    let status = self.cluster_status(now, from.ip(), true);
                    self.peers.send(from, &status);
                }
                if let Some(lease) = &mut self.lease {
                    // An agent may only report the proxy at its own address.
                    if let Some(proxy) = proxy.filter(|proxy| proxy.ip == from.ip()) {
                        lease.duties.record_proxy(now, proxy);
                    }
                    let version = lease.duties.scaler.version();
                    lease.duties.source.follow(now, version, from.ip(), mark, is_controller);
                }
                self.send_instances(now);
            }
            PeerMessage::Instances(update) => self.apply_instances(now, from, update),
            PeerMessage::Demand(demands) => {
                let Some(lease) = self.lease.as_mut() else { return };
                for demand in demands {
                    lease.duties.scaler.update_demand(now, demand_of(demand, &self.zones));
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
            // Only controllers and agents send these, and only to agents.
            PeerMessage::ClusterStatus { .. }
            | PeerMessage::Configuration(_)
            | PeerMessage::Change(_)
            | PeerMessage::Owners(_) => {}
        }
    }

    /// The cluster status for one agent; with `with_peers` also the controllers and a sample of the agents.
    fn cluster_status(&mut self, now: Duration, to: IpAddr, with_peers: bool) -> PeerMessage {
        let agents = if with_peers { self.agents.sample(now, to) } else { Vec::new() };
        PeerMessage::ClusterStatus {
            holder: self.holder,
            revision: self.control_store.committed().map_or(0, |committed| committed.revision),
            in_touch: self.is_in_touch(now),
            zone_index: self.zone_index,
            controllers: if with_peers { self.control_store.members() } else { Vec::new() },
            agents,
        }
    }

    pub(super) fn send_status_to_all(&mut self, now: Duration) {
        let port = self.settings.peer_address().port();
        for ip in self.agents.recent(now) {
            let status = self.cluster_status(now, ip, false);
            self.peers.send(SocketAddr::new(ip, port), &status);
        }
    }

    /// Sends the configuration in force to one agent that has an older one, or to all that pulled here
    /// recently. A controller without contact to a majority may have an outdated one: it sends none, and its
    /// agents switch to controllers that have contact.
    pub(super) fn send_configuration(&mut self, now: Duration, only: Option<IpAddr>) {
        if self.has_lost_contact(now) {
            return;
        }
        let Some(configuration) = &self.configuration else { return };
        let port = self.settings.peer_address().port();
        let behind = self.agents.behind(now, configuration.revision, only);
        // By the revision that agents have: the frame that updates it, encoded once for all of them.
        let mut frames: HashMap<u64, (bool, Vec<u8>)> = HashMap::new();
        for (ip, has) in behind {
            let (is_full, bytes) = frames.entry(has).or_insert_with(|| {
                match self.previous.iter().find(|old| old.revision == has) {
                    Some(old) => (false, frame(&PeerMessage::Change(configuration.diff_from(old)))),
                    None => (true, frame(&PeerMessage::Configuration(configuration.clone()))),
                }
            });
            self.agents.record_sent(now, ip, configuration.revision, *is_full);
            self.peers.send_frame(SocketAddr::new(ip, port), bytes.clone());
        }
    }

    /// While no controller holds the lease, as after a loss of the whole system, agents that pull get the
    /// platform's list, so that service does not wait for an election. One reading of the list serves all
    /// agents that pull meanwhile.
    fn read_first_instances(&mut self, now: Duration) {
        let Some(platform) = self.platform.clone().filter(|_| self.holder.is_none()) else { return };
        if self.reading_first_list || now < self.first_list_due {
            return;
        }
        self.reading_first_list = true;
        self.first_list_due = now + FIRST_LIST_INTERVAL;
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
        self.reading_first_list = false;
        let (Some(instances), None) = (read, self.holder) else { return };
        let bytes = frame(&PeerMessage::Instances(platform_instances(instances)));
        let port = self.settings.peer_address().port();
        for ip in self.relay.agents_without_state(now) {
            self.peers.send_frame(SocketAddr::new(ip, port), bytes.clone());
        }
    }

    /// Follows the instances of the lease holder, which may be this controller itself.
    pub(super) fn follow_lease_holder(&mut self, now: Duration) {
        let Some((holder, _)) = self.holder else { return };
        self.last_follow = now;
        let mark = self.relay.replica().mark();
        if holder != self.settings.peer_address() {
            return self.peers.send(holder, &PeerMessage::Follow { mark, with_peers: false, proxy: None });
        }
        if let Some(lease) = &mut self.lease {
            let version = lease.duties.scaler.version();
            lease.duties.source.follow(now, version, holder.ip(), mark, true);
        }
    }

    /// Applies an update of the instances and forwards it.
    fn apply_instances(&mut self, now: Duration, from: SocketAddr, update: InstanceUpdate) {
        if self.relay.apply(now, update) == Applied::Gap {
            let mark = self.relay.replica().mark();
            self.peers.send(from, &PeerMessage::Follow { mark, with_peers: false, proxy: None });
        }
        self.forward_instances();
    }

    fn forward_instances(&mut self) {
        let port = self.settings.peer_address().port();
        while let Some(copies) = self.relay.pull() {
            let bytes = frame(&PeerMessage::Instances((*copies.update).clone()));
            for ip in copies.to {
                self.peers.send_frame(SocketAddr::new(ip, port), bytes.clone());
            }
        }
    }

    /// Sends changes of the instances to the followers that the source names.
    pub(super) fn send_instances(&mut self, now: Duration) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.duties.has_complete_view()) else {
            return;
        };
        let duties = &mut lease.duties;
        duties.update_proxies(now);
        duties.source.tick(now, duties.scaler.version());
        let me = self.settings.peer_address();
        // By the version that the update is based on: the same update goes to all controllers.
        let mut frames: HashMap<u64, (InstanceUpdate, Vec<u8>)> = HashMap::new();
        let mut local_updates = Vec::new();
        while let Some((ip, from)) = duties.source.pull() {
            let (update, bytes) = frames.entry(from).or_insert_with(|| {
                let update = duties.changes_since(now, from);
                let bytes = frame(&PeerMessage::Instances(update.clone()));
                (update, bytes)
            });
            if ip == me.ip() {
                local_updates.push(update.clone());
            } else {
                self.peers.send_frame(SocketAddr::new(ip, me.port()), bytes.clone());
            }
        }
        for update in local_updates {
            self.apply_instances(now, me, update);
        }
    }
}

/// Demand in the form of the autoscaler, with the names of zones.
fn demand_of(demand: Demand, zones: &[(String, String)]) -> autoscaler::Demand {
    let origin = |(zone_index, share): (u8, u8)| {
        Some((zones.get(usize::from(zone_index))?.0.clone(), f32::from(share) / 255.0))
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
