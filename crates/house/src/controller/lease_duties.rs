//! The autoscaler while the lease is held: its readings of the platform's lists, its starts and stops.

use super::log_lines::UnreadLists;
use super::platform_lists::{read_hosts, read_instances};
use super::{hash, Controller, Event};
use crate::platform::{Failed, Platform};
use crate::settings::seconds;
use spdlog::{debug, info};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tindock_controller::{list_interval, LeaseHolder, LeaseSettings};
use tindock_stacks::{self as autoscaler, Order, StartResult};
use tokio::sync::mpsc;

const NO_ROOM: u16 = 409;
const TOO_MANY: u16 = 429;
const NO_SERVICE: u16 = 400;
const NOT_FOUND: u16 = 404;
/// Calls a second that the holder may make where the settings name no platform.
const DEFAULT_DUTY_RATE: f64 = 10.0;

/// The lease that this controller holds.
pub(super) struct HeldLease {
    pub duties: LeaseHolder,
    unread: UnreadLists,
}

impl Controller {
    /// The lease taken up, served, laid down.
    pub(super) fn carry_lease(&mut self, now: Duration) {
        let held = self.control_store.lease_number(now);
        if self.lease.as_ref().map(|lease| lease.duties.number) != held {
            if let Some(HeldLease { duties, .. }) = &self.lease {
                let after = now.saturating_sub(duties.since).as_secs();
                info!("duty {} laid down after {after} s", duties.number);
            }
            self.lease = held.map(|number| self.take_up_lease(now, number));
        }
        let (Some(lease), Some(platform)) = (self.lease.as_mut(), &self.platform) else { return };
        lease.unread.say(now);
        let number = lease.duties.number;
        if lease.duties.begin_reading_instances(now) {
            let (platform, events) = (platform.clone(), self.events.clone());
            tokio::task::spawn_local(async move {
                let instances = read_instances(&platform).await;
                let _ = events.send(Event::Instances(number, instances)).await;
            });
        }
        if lease.duties.begin_reading_hosts(now) {
            let (platform, events) = (platform.clone(), self.events.clone());
            tokio::task::spawn_local(async move {
                let hosts = read_hosts(&platform).await;
                let _ = events.send(Event::Hosts(number, hosts)).await;
            });
        }
        lease.duties.end_handover(now);
        while let Some(order) = lease.duties.next_order(now) {
            let (platform, events) = (platform.clone(), self.events.clone());
            let by = self.settings.node_name.clone();
            tokio::task::spawn_local(carry_out(platform, events, by, number, order));
        }
        self.tell_instances(now);
    }

    fn take_up_lease(&self, now: Duration, number: u64) -> HeldLease {
        info!("duty {number} taken up");
        let replica = self.relay.replica();
        let configuration = self.configuration.as_ref();
        let settings = self.lease_settings(number);
        HeldLease {
            duties: LeaseHolder::start(now, number, settings, configuration, replica),
            unread: UnreadLists::new(now),
        }
    }

    fn lease_settings(&self, number: u64) -> LeaseSettings {
        let timers = &self.settings.timers;
        let provider = self.settings.provider_api.as_ref();
        let terms = autoscaler::PlatformSettings {
            zones: self.settings.zones_with_regions(),
            drain: seconds(timers.drain_ms / 1000.0),
            address_reuse: seconds(timers.address_reuse_s),
            call_rate: provider.map_or(DEFAULT_DUTY_RATE, |p| p.duty_rate_s),
            list_lag: seconds(provider.map_or(1.0, |p| p.max_lag_ms / 1000.0)),
        };
        LeaseSettings {
            terms,
            seed: number ^ hash(&self.settings.node_name),
            rebinding: self.settings.rebinding.mode.into(),
            list_interval: list_interval(provider.map_or(DEFAULT_DUTY_RATE, |p| p.rate_per_s)),
        }
    }

    /// The lease that is still held under this number: answers to calls of an earlier one are late.
    fn lease_under(&mut self, number: u64) -> Option<&mut HeldLease> {
        self.lease.as_mut().filter(|lease| lease.duties.number == number)
    }

    pub(super) fn instance_begun(&mut self, now: Duration, number: u64, token: u64, begun: StartResult) {
        self.log.failures.count_start(now, &begun);
        if let Some(lease) = self.lease_under(number) {
            lease.duties.scaler.start_answered(now, token, begun);
        }
    }

    pub(super) fn instance_stopped(&mut self, now: Duration, number: u64, token: u64, ok: bool) {
        self.log.failures.count_stop(now, ok);
        if let Some(lease) = self.lease_under(number) {
            lease.duties.scaler.stop_answered(now, token, ok);
        }
    }

    pub(super) fn instances_read(
        &mut self,
        now: Duration,
        number: u64,
        read: Result<Vec<autoscaler::ListedInstance>, Failed>,
    ) {
        let Some(lease) = self.lease_under(number) else { return };
        lease.unread.instances_read(now, read.as_ref().err());
        lease.duties.instances_read(now, read.ok().as_deref());
    }

    pub(super) fn hosts_read(
        &mut self,
        now: Duration,
        number: u64,
        read: Result<Vec<autoscaler::Host>, Failed>,
    ) {
        let Some(lease) = self.lease_under(number) else { return };
        lease.unread.hosts_read(now, read.as_ref().err());
        debug!("stacks: {}", lease.count());
        lease.duties.hosts_read(now, read.ok().as_deref());
    }
}

impl HeldLease {
    /// Instances by service, for the log: services with more than one, and the number of the others.
    fn count(&self) -> String {
        let mut by_service: BTreeMap<&str, u32> = BTreeMap::new();
        for entry in self.duties.scaler.entries() {
            *by_service.entry(entry.service.as_str()).or_default() += 1;
        }
        let ones = by_service.values().filter(|count| **count == 1).count();
        let more = by_service.iter().filter(|(_, count)| **count > 1);
        let more: Vec<String> = more.map(|(service, count)| format!("{service} {count}")).collect();
        format!("{ones} services with one, {}", more.join(", "))
    }
}

/// Asks the platform for a start or a stop, and tells how it went.
async fn carry_out(
    platform: Rc<Platform>,
    events: mpsc::Sender<Event>,
    by: String,
    number: u64,
    order: Order,
) {
    let event = match order {
        Order::Begin { token, service, host, nonce } => {
            let answer = platform.begin(&by, number, &service, &host, &nonce).await;
            Event::Begun(number, token, begun(answer))
        }
        Order::Stop { token, instance } => {
            let answer = platform.stop(&by, number, &instance).await;
            let ok = matches!(answer, Ok(()) | Err(Failed::Status(NOT_FOUND)));
            Event::Stopped(number, token, ok)
        }
    };
    let _ = events.send(event).await;
}

fn begun(answer: Result<crate::platform::Begun, Failed>) -> StartResult {
    match answer {
        Ok(begun) => match begun.address.parse() {
            Ok(address) => StartResult::Started { instance: begun.instance_id, address },
            Err(_) => StartResult::OutcomeUnknown,
        },
        Err(Failed::Status(NO_ROOM)) => StartResult::NoCapacity,
        Err(Failed::Status(TOO_MANY)) => StartResult::RateLimited,
        Err(Failed::Status(NO_SERVICE)) => StartResult::UnknownService,
        Err(_) => StartResult::OutcomeUnknown,
    }
}
