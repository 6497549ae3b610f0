//! The autoscaler while this controller holds the lease: it reads the platform's lists, and starts and stops
//! instances.

use super::log_lines::UnreadLists;
use super::platform_lists::{read_hosts, read_instances};
use super::{hash, Controller, Event};
use crate::platform::{CallError, Platform};
use crate::settings::seconds;
use spdlog::{debug, info};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tindock_autoscaler::{self as autoscaler, Order, StartResult};
use tindock_controller::{list_interval, LeaseHolder, LeaseSettings};
use tokio::sync::mpsc;

const STATUS_NO_CAPACITY: u16 = 409;
const STATUS_RATE_LIMITED: u16 = 429;
const STATUS_UNKNOWN_SERVICE: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
/// Calls to the platform per second that the lease holder may make if the settings state no rate.
const DEFAULT_CALL_RATE: f64 = 10.0;

/// The lease that this controller holds.
pub(super) struct HeldLease {
    pub duties: LeaseHolder,
    unread_lists: UnreadLists,
}

impl Controller {
    /// Starts and ends the duties of the lease holder as the lease is acquired and lost, and runs them
    /// meanwhile.
    pub(super) fn run_lease(&mut self, now: Duration) {
        let held = self.control_store.lease_number(now);
        if self.lease.as_ref().map(|lease| lease.duties.number) != held {
            if let Some(HeldLease { duties, .. }) = &self.lease {
                let after = now.saturating_sub(duties.since).as_secs();
                info!("lease {} lost after {after} s", duties.number);
            }
            self.lease = held.map(|number| self.start_lease(now, number));
        }
        let (Some(lease), Some(platform)) = (self.lease.as_mut(), &self.platform) else { return };
        lease.unread_lists.log_if_due(now);
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
            tokio::task::spawn_local(perform(platform, events, by, number, order));
        }
        self.send_instances(now);
    }

    fn start_lease(&self, now: Duration, number: u64) -> HeldLease {
        info!("lease {number} acquired");
        let replica = self.relay.replica();
        let configuration = self.configuration.as_ref();
        let settings = self.lease_settings(number);
        HeldLease {
            duties: LeaseHolder::start(now, number, settings, configuration, replica),
            unread_lists: UnreadLists::new(now),
        }
    }

    fn lease_settings(&self, number: u64) -> LeaseSettings {
        let timers = &self.settings.timers;
        let provider = self.settings.provider_api.as_ref();
        let terms = autoscaler::PlatformSettings {
            zones: self.settings.zones_with_regions(),
            drain: seconds(timers.drain_ms / 1000.0),
            address_reuse: seconds(timers.address_reuse_s),
            call_rate: provider.map_or(DEFAULT_CALL_RATE, |p| p.duty_rate_s),
            list_lag: seconds(provider.map_or(1.0, |p| p.max_lag_ms / 1000.0)),
        };
        LeaseSettings {
            terms,
            seed: number ^ hash(&self.settings.node_name),
            rebinding: self.settings.rebinding.mode.into(),
            list_interval: list_interval(provider.map_or(DEFAULT_CALL_RATE, |p| p.rate_per_s)),
        }
    }

    /// The lease, if it still has this number: results of calls under an earlier lease are ignored.
    fn lease_under(&mut self, number: u64) -> Option<&mut HeldLease> {
        self.lease.as_mut().filter(|lease| lease.duties.number == number)
    }

    pub(super) fn instance_started(&mut self, now: Duration, number: u64, token: u64, result: StartResult) {
        self.log.failures.count_start(now, &result);
        if let Some(lease) = self.lease_under(number) {
            lease.duties.scaler.start_answered(now, token, result);
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
        read: Result<Vec<autoscaler::ListedInstance>, CallError>,
    ) {
        let Some(lease) = self.lease_under(number) else { return };
        lease.unread_lists.instances_read(now, read.as_ref().err());
        lease.duties.instances_read(now, read.ok().as_deref());
    }

    pub(super) fn hosts_read(
        &mut self,
        now: Duration,
        number: u64,
        read: Result<Vec<autoscaler::Host>, CallError>,
    ) {
        let Some(lease) = self.lease_under(number) else { return };
        lease.unread_lists.hosts_read(now, read.as_ref().err());
        debug!("instances: {}", lease.instance_counts());
        lease.duties.hosts_read(now, read.ok().as_deref());
    }
}

impl HeldLease {
    /// The numbers of instances for the log: each service with more than one, and how many services have one.
    fn instance_counts(&self) -> String {
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

/// Calls the platform for a start or a stop, and reports the result.
async fn perform(platform: Rc<Platform>, events: mpsc::Sender<Event>, by: String, number: u64, order: Order) {
    let event = match order {
        Order::Begin { token, service, host, nonce } => {
            let answer = platform.start_instance(&by, number, &service, &host, &nonce).await;
            Event::InstanceStarted(number, token, start_result(answer))
        }
        Order::Stop { token, instance } => {
            let answer = platform.stop_instance(&by, number, &instance).await;
            let ok = matches!(answer, Ok(()) | Err(CallError::Status(STATUS_NOT_FOUND)));
            Event::InstanceStopped(number, token, ok)
        }
    };
    let _ = events.send(event).await;
}

fn start_result(answer: Result<crate::platform::StartedInstance, CallError>) -> StartResult {
    match answer {
        Ok(started) => match started.address.parse() {
            Ok(address) => StartResult::Started { instance: started.instance_id, address },
            Err(_) => StartResult::OutcomeUnknown,
        },
        Err(CallError::Status(STATUS_NO_CAPACITY)) => StartResult::NoCapacity,
        Err(CallError::Status(STATUS_RATE_LIMITED)) => StartResult::RateLimited,
        Err(CallError::Status(STATUS_UNKNOWN_SERVICE)) => StartResult::UnknownService,
        Err(_) => StartResult::OutcomeUnknown,
    }
}
