//! What agents are told: the configuration in force, who holds the lease, which instances there are.

use super::platform_lists::read_instances;
use super::{Controller, Event};
use crate::notes::{Demand, Note};
use crate::post::frame;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tindock_circulation::{Applied, InstanceUpdate};
use tindock_controller::platform_instances;
use tindock_stacks as autoscaler;

/// The holder is told this often how far the instances are known here.
pub const FOLLOW: Duration = Duration::from_millis(1000);
/// While nobody holds the lease the platform's list is read for agents at most this often by each controller.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(400);

impl Controller {
    /// A note of another controller or of an agent.
    pub(super) fn receive_note(&mut self, now: Duration, from: SocketAddr, note: Note) {
        match note {
            Note::ControlStore(envelope) => self.control_store.receive(now, from, envelope),
            Note::Pull { ip, revision, mark, greets, wants } => {
                self.agents.pulled(now, ip, revision, wants);
                let news = self.news(now, ip, greets);
                self.post.send(from, &news);
                if wants {
                    self.send_configuration(now, Some(ip));
                    self.relay.handle_pull(now, ip, mark);
                    self.hand_on();
                } else {
                    self.relay.remove_agent(ip);
                }
                self.read_first_instances(now);
            }
            Note::Leaving { ip } => self.agents.left(ip),
            Note::Follow { mark, greets, proxy } => {
                let relays = self.control_store.members().contains(&from);
                if !relays {
                    self.agents.followed(now, from.ip());
                }
                if greets {
                    let news = self.news(now, from.ip(), true);
                    self.post.send(from, &news);
                }
                if let Some(lease) = &mut self.lease {
                    // Its own address: a note is not to speak for another.
                    if let Some(proxy) = proxy.filter(|proxy| proxy.ip == from.ip()) {
                        lease.duties.proxy_follows(now, proxy);
                    }
                    let version = lease.duties.scaler.version();
                    lease.duties.source.follow(now, version, from.ip(), mark, relays);
                }
                self.tell_instances(now);
            }
            Note::Stacks(news) => self.take_instances(now, from, news),
            Note::Demand(demands) => {
                let Some(lease) = self.lease.as_mut() else { return };
                for demand in demands {
                    lease.duties.scaler.demand(now, demand_of(demand, &self.places));
                }
            }
            Note::Gone(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.duties.scaler.gone(now, &instance);
                }
            }
            Note::Ready(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.duties.scaler.ready(now, &instance);
                }
            }
            Note::Inherit { entries, tag, numbers } => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.duties.inherit(now, entries, &numbers, tag);
                }
            }
            // These come from controllers alone.
            Note::News { .. } | Note::Word(_) | Note::Change(_) | Note::Owners(_) => {}
        }
    }

    /// How things stand, for one agent; with `greets` also who else is there.
    fn news(&mut self, now: Duration, to: IpAddr, greets: bool) -> Note {
        let pages = if greets { self.agents.sample(now, to) } else { Vec::new() };
        Note::News {
            holder: self.holder,
            revision: self.control_store.committed().map_or(0, |committed| committed.revision),
            touch: self.is_in_touch(now),
            place: self.place,
            archives: if greets { self.control_store.members() } else { Vec::new() },
            pages,
        }
    }

    pub(super) fn send_news_to_all(&mut self, now: Duration) {
        let port = self.settings.peer().port();
        for ip in self.agents.recent(now) {
            let news = self.news(now, ip, false);
            self.post.send(SocketAddr::new(ip, port), &news);
        }
    }

    /// The configuration in force to an agent that has an older one, or to all that asked here lately. A controller that is cut
    /// off may know an old one only: it hands out none, and leaves its agents to controllers in touch.
    pub(super) fn send_configuration(&mut self, now: Duration, only: Option<IpAddr>) {
        if self.is_cut_off(now) {
            return;
        }
        let Some(configuration) = &self.configuration else { return };
        let port = self.settings.peer().port();
        let behind = self.agents.behind(now, configuration.revision, only);
        // By the revision that an agent has: the frame that leads on from it, made once for all who have it.
        let mut frames: HashMap<u64, (bool, Vec<u8>)> = HashMap::new();
        for (ip, has) in behind {
            let (whole, bytes) = frames.entry(has).or_insert_with(|| {
                match self.older.iter().find(|old| old.revision == has) {
                    Some(old) => (false, frame(&Note::Change(configuration.since(old)))),
                    None => (true, frame(&Note::Word(configuration.clone()))),
                }
            });
            self.agents.sent(now, ip, configuration.revision, *whole);
            self.post.send_frame(SocketAddr::new(ip, port), bytes.clone());
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

    pub(super) fn first_instances_read(&mut self, now: Duration, read: Option<Vec<autoscaler::Listed>>) {
        self.reading_first = false;
        let (Some(instances), None) = (read, self.holder) else { return };
        let bytes = frame(&Note::Stacks(platform_instances(instances)));
        let port = self.settings.peer().port();
        for ip in self.relay.agents_without_state(now) {
            self.post.send_frame(SocketAddr::new(ip, port), bytes.clone());
        }
    }

    /// This controller follows whoever holds the lease, itself too.
    pub(super) fn follow_holder(&mut self, now: Duration) {
        let Some((holder, _)) = self.holder else { return };
        self.followed = now;
        let mark = self.relay.replica().mark();
        if holder != self.settings.peer() {
            return self.post.send(holder, &Note::Follow { mark, greets: false, proxy: None });
        }
        if let Some(lease) = &mut self.lease {
            let version = lease.duties.scaler.version();
            lease.duties.source.follow(now, version, holder.ip(), mark, true);
        }
    }

    /// News of the instances, taken over and handed on.
    fn take_instances(&mut self, now: Duration, from: SocketAddr, news: InstanceUpdate) {
        if self.relay.apply(now, news) == Applied::Gap {
            let mark = self.relay.replica().mark();
            self.post.send(from, &Note::Follow { mark, greets: false, proxy: None });
        }
        self.hand_on();
    }

    fn hand_on(&mut self) {
        let port = self.settings.peer().port();
        while let Some(copies) = self.relay.pull() {
            let bytes = frame(&Note::Stacks((*copies.update).clone()));
            for ip in copies.to {
                self.post.send_frame(SocketAddr::new(ip, port), bytes.clone());
            }
        }
    }

    /// What changed in the instances, to those whom the source names.
    pub(super) fn tell_instances(&mut self, now: Duration) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.duties.is_informed()) else { return };
        let duties = &mut lease.duties;
        duties.look_at_proxies(now);
        duties.source.tick(now, duties.scaler.version());
        let me = self.settings.peer();
        // By the version it leads on from: the same piece goes to all controllers.
        let mut frames: HashMap<u64, (InstanceUpdate, Vec<u8>)> = HashMap::new();
        let mut own = Vec::new();
        while let Some((ip, from)) = duties.source.pull() {
            let (news, bytes) = frames.entry(from).or_insert_with(|| {
                let news = duties.changes_since(now, from);
                let bytes = frame(&Note::Stacks(news.clone()));
                (news, bytes)
            });
            if ip == me.ip() {
                own.push(news.clone());
            } else {
                self.post.send_frame(SocketAddr::new(ip, me.port()), bytes.clone());
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
