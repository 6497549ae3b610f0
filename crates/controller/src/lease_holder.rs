//! The autoscaler of a controller while it holds the leadership lease: when it reads the platform's lists,
//! what state it takes over from the previous holder, and what it publishes about the instances.

use crate::convert::{entry_from_wire, entry_to_wire, services};
use crate::proxies::Proxies;
use std::collections::HashSet;
use std::time::Duration;
use tindock_autoscaler::{self as autoscaler, Entry, Host, Order, Rebinding, Scaler};
use tindock_configuration::Catalogue;
use tindock_instance_distribution::{InstanceUpdate, Listed, Mark, Proxy, Replica, Source};

/// The platform's list may not contain instances younger than this (ms) yet.
pub const UNLISTED_MS: u32 = 8000;
/// A new holder collects the agents' state for this long before it starts or stops anything.
const HANDOVER_WINDOW: Duration = Duration::from_millis(450);
/// How often the list of instances is read (s); the list of worker machines is read half as often.
const LIST_INTERVAL_S: f64 = 0.5;
/// Reading the list of instances takes at most a quarter of the calls that the platform allows.
const MIN_CALLS_BETWEEN_READINGS: f64 = 4.0;
const MIN_CALLS_PER_S: f64 = 0.01;

/// How often the list of instances is read if the platform allows `calls_per_s` from all schedulers together.
pub fn list_interval(calls_per_s: f64) -> Duration {
    Duration::from_secs_f64(
        LIST_INTERVAL_S.max(MIN_CALLS_BETWEEN_READINGS / calls_per_s.max(MIN_CALLS_PER_S)),
    )
}

/// The settings of the autoscaler at the start of a lease.
#[derive(Clone)]
pub struct LeaseSettings {
    pub terms: autoscaler::PlatformSettings,
    pub seed: u64,
    pub rebinding: Rebinding,
    pub list_interval: Duration,
}

/// The autoscaler under one lease number. It acts once both lists were read and the previous holder's starts
/// are known.
pub struct LeaseHolder {
    pub number: u64,
    pub since: Duration,
    pub scaler: Scaler,
    /// Publishes the instances to agents.
    pub source: Source,
    proxies: Proxies,
    list_interval: Duration,
    handover_complete: bool,
    /// Whether this controller itself knew the previous holder's starts.
    knew_starts: bool,
    instances_known: bool,
    hosts_known: bool,
    instances_due: Duration,
    hosts_due: Duration,
    reading_instances: bool,
    reading_hosts: bool,
}

impl LeaseHolder {
    /// Starts under the lease `number`, with what this controller itself knows of the instances.
    pub fn start(
        now: Duration,
        number: u64,
        settings: LeaseSettings,
        configuration: Option<&Catalogue>,
        replica: &Replica,
    ) -> LeaseHolder {
        let mut scaler = Scaler::new(settings.terms, number, settings.seed, now);
        scaler.set_rebinding(now, settings.rebinding);
        if let Some(configuration) = configuration {
            scaler.update_services(now, &services(configuration));
        }
        // The state reported by agents is added to this.
        let knew_starts = replica.tag() != 0;
        if knew_starts {
            let recent = replica.entries(now).into_iter().filter(|e| !e.ready || e.age < UNLISTED_MS);
            let entries: Vec<Entry> = recent.map(|listed| entry_from_wire(now, listed)).collect();
            scaler.inherit(now, &entries, &replica.numbers(), replica.tag());
        }
        LeaseHolder {
            number,
            since: now,
            scaler,
            source: Source::new(number, now),
            proxies: Proxies::new(now, replica.owners()),
            list_interval: settings.list_interval,
            handover_complete: false,
            knew_starts,
            instances_known: false,
            hosts_known: false,
            instances_due: now,
            hosts_due: now,
            reading_instances: false,
            reading_hosts: false,
        }
    }

    /// The time of the next required action.
    pub fn next_due(&self) -> Duration {
        let readings = self.instances_due.min(self.hosts_due);
        let source_due = self.source.next_due(self.scaler.version());
        self.scaler.next_due().min(readings).min(source_due).min(self.proxies.next_due())
    }

    /// Whether the list of instances must be read now; if so, a reading is marked as started.
    pub fn begin_reading_instances(&mut self, now: Duration) -> bool {
        if now < self.instances_due || self.reading_instances {
            return false;
        }
        self.instances_due = now + self.list_interval;
        self.reading_instances = true;
        true
    }

    /// Whether the list of worker machines must be read now; if so, a reading is marked as started.
    pub fn begin_reading_hosts(&mut self, now: Duration) -> bool {
        if now < self.hosts_due || self.reading_hosts {
            return false;
        }
        self.hosts_due = now + self.list_interval * 2;
        self.reading_hosts = true;
        true
    }

    /// The list of instances; none if it could not be read.
    pub fn instances_read(&mut self, now: Duration, instances: Option<&[autoscaler::ListedInstance]>) {
        self.reading_instances = false;
        if let Some(instances) = instances {
            self.instances_known = true;
            self.scaler.update_instances(now, instances);
        }
    }

    /// The list of worker machines; none if it could not be read.
    pub fn hosts_read(&mut self, now: Duration, hosts: Option<&[Host]>) {
        self.reading_hosts = false;
        if let Some(hosts) = hosts {
            self.hosts_known = true;
            self.scaler.update_hosts(now, hosts);
        }
    }

    /// The state that an agent has of a previous holder's instances and starts. An agent that knows no holder
    /// (tag 0) has no such state.
    pub fn receive_handover(
        &mut self,
        now: Duration,
        listed: Vec<Listed>,
        numbers: &[(String, u32)],
        tag: u64,
    ) {
        if tag == 0 {
            return;
        }
        self.handover_complete = true;
        let entries: Vec<Entry> = listed.into_iter().map(|listed| entry_from_wire(now, listed)).collect();
        self.scaler.inherit(now, &entries, numbers, tag);
    }

    /// Ends the wait for agents' state after `HANDOVER_WINDOW`: if no agent knows a previous holder's starts,
    /// this holder's numbering is the first.
    pub fn end_handover(&mut self, now: Duration) {
        if self.handover_complete || now < self.since + HANDOVER_WINDOW {
            return;
        }
        self.handover_complete = true;
        if !self.knew_starts {
            self.scaler.inherit(now, &[], &[], self.number);
        }
    }

    /// An agent follows, and reports the proxy process beside it.
    pub fn record_proxy(&mut self, now: Duration, proxy: Proxy) {
        self.proxies.record(now, proxy);
    }

    /// Publishes a change of the proxies like one of the instances, under a version of its own.
    pub fn update_proxies(&mut self, now: Duration) {
        if self.proxies.has_changed(now) {
            let version = self.scaler.next_version();
            self.proxies.publish(Mark { number: self.number, version });
        }
    }

    /// Whether the lists and the previous holder's state are known. Before that, an empty answer would be
    /// understood as the end of all instances.
    pub fn has_complete_view(&self) -> bool {
        self.instances_known && self.hosts_known && self.handover_complete
    }

    /// The next start or stop to request from the platform.
    pub fn next_order(&mut self, now: Duration) -> Option<Order> {
        if !self.has_complete_view() {
            return None;
        }
        self.scaler.next(now)
    }

    /// The changes of the instances after a version.
    pub fn changes_since(&self, now: Duration, version: u64) -> InstanceUpdate {
        let changes = self.scaler.changes_since(version);
        let (mut numbers, tag) = self.scaler.start_numbers();
        if !changes.complete {
            let changed: HashSet<&str> = changes.entries.iter().map(|entry| entry.service.as_str()).collect();
            numbers.retain(|(service, _)| changed.contains(service.as_str()));
        }
        let published = self.proxies.published();
        let newer = |mark: Mark| mark > Mark { number: self.number, version };
        let owners = published.filter(|owners| changes.complete || newer(owners.mark)).cloned();
        InstanceUpdate {
            number: self.number,
            from: version,
            whole: changes.complete,
            version: changes.version,
            entries: changes.entries.iter().map(|entry| entry_to_wire(now, entry)).collect(),
            ended: changes.ended.into_iter().map(|(id, _)| id).collect(),
            tag,
            numbers,
            owners,
        }
    }
}
