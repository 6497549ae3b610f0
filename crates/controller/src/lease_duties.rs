//! The autoscaler of a controller while it holds the lease: when it reads the platform's lists, what it takes over from the
//! holder before it, and what it tells of the instances.

use crate::convert::{entry_from_wire, entry_to_wire, services};
use crate::proxies::Proxies;
use std::collections::HashSet;
use std::time::Duration;
use tindock_catalogue::Catalogue;
use tindock_circulation::{InstanceUpdate, Listed, Mark, Proxy, Replica, Source};
use tindock_stacks::{self as autoscaler, Entry, Host, Order, Rebinding, Scaler};

/// Instances younger than this (ms) a new holder may not find on the platform's list.
pub const UNLISTED_MS: u32 = 8000;
/// A new holder listens to agents for so long before it starts or stops anything.
const INHERITANCE_WINDOW: Duration = Duration::from_millis(450);
/// The list of instances is read this often (s); the worker machines half as often.
const LIST_INTERVAL_S: f64 = 0.5;
/// The reading of the list takes a quarter of the calls that the platform allows, at the most.
const CALLS_PER_READING: f64 = 4.0;
const LEAST_RATE: f64 = 0.01;

/// How often the list of instances is read where the platform allows `calls_per_s` from all schedulers together.
pub fn list_interval(calls_per_s: f64) -> Duration {
    Duration::from_secs_f64(LIST_INTERVAL_S.max(CALLS_PER_READING / calls_per_s.max(LEAST_RATE)))
}

/// What the autoscaler is told at its start.
#[derive(Clone)]
pub struct LeaseSettings {
    pub terms: autoscaler::Terms,
    pub seed: u64,
    pub rebinding: Rebinding,
    pub list_interval: Duration,
}

/// The autoscaler under one lease number. It acts when both lists were read and the earlier holder's starts are known.
pub struct LeaseDuties {
    pub number: u64,
    pub since: Duration,
    pub scaler: Scaler,
    /// To whom the instances are told.
    pub source: Source,
    proxies: Proxies,
    list_interval: Duration,
    inherited: bool,
    /// Whether this controller knew the earlier holder's starts itself.
    knew_starts: bool,
    instances_known: bool,
    hosts_known: bool,
    instances_due: Duration,
    hosts_due: Duration,
    reading_instances: bool,
    reading_hosts: bool,
}

impl LeaseDuties {
    /// Begins under the lease `number`, with what this controller itself knows of the instances.
    pub fn take_up(
        now: Duration,
        number: u64,
        settings: LeaseSettings,
        configuration: Option<&Catalogue>,
        replica: &Replica,
    ) -> LeaseDuties {
        let mut scaler = Scaler::new(settings.terms, number, settings.seed, now);
        scaler.set_rebinding(now, settings.rebinding);
        if let Some(configuration) = configuration {
            scaler.services(now, &services(configuration));
        }
        // What agents tell is added to this.
        let knew_starts = replica.tag() != 0;
        if knew_starts {
            let young = replica.entries(now).into_iter().filter(|e| !e.ready || e.age < UNLISTED_MS);
            let entries: Vec<Entry> = young.map(|listed| entry_from_wire(now, listed)).collect();
            scaler.inherit(now, &entries, &replica.numbers(), replica.tag());
        }
        LeaseDuties {
            number,
            since: now,
            scaler,
            source: Source::new(number, now),
            proxies: Proxies::new(now, replica.owners()),
            list_interval: settings.list_interval,
            inherited: false,
            knew_starts,
            instances_known: false,
            hosts_known: false,
            instances_due: now,
            hosts_due: now,
            reading_instances: false,
            reading_hosts: false,
        }
    }

    /// When something is to be done at the latest.
    pub fn next_due(&self) -> Duration {
        let readings = self.instances_due.min(self.hosts_due);
        let source_due = self.source.next_due(self.scaler.version());
        self.scaler.next_due().min(readings).min(source_due).min(self.proxies.next_due())
    }

    /// Whether the list of instances is to be read now; then a reading has begun.
    pub fn begin_reading_instances(&mut self, now: Duration) -> bool {
        if now < self.instances_due || self.reading_instances {
            return false;
        }
        self.instances_due = now + self.list_interval;
        self.reading_instances = true;
        true
    }

    /// Whether the list of worker machines is to be read now; then a reading has begun.
    pub fn begin_reading_hosts(&mut self, now: Duration) -> bool {
        if now < self.hosts_due || self.reading_hosts {
            return false;
        }
        self.hosts_due = now + self.list_interval * 2;
        self.reading_hosts = true;
        true
    }

    /// The list of instances; none if it could not be read.
    pub fn instances_read(&mut self, now: Duration, instances: Option<&[autoscaler::Listed]>) {
        self.reading_instances = false;
        if let Some(instances) = instances {
            self.instances_known = true;
            self.scaler.listed(now, instances);
        }
    }

    /// The list of worker machines; none if it could not be read.
    pub fn hosts_read(&mut self, now: Duration, hosts: Option<&[Host]>) {
        self.reading_hosts = false;
        if let Some(hosts) = hosts {
            self.hosts_known = true;
            self.scaler.hosts(now, hosts);
        }
    }

    /// What an agent knows of an earlier holder's instances and starts. One that knows of no holder knows nothing.
    pub fn inherit(&mut self, now: Duration, listed: Vec<Listed>, numbers: &[(String, u32)], tag: u64) {
        if tag == 0 {
            return;
        }
        self.inherited = true;
        let entries: Vec<Entry> = listed.into_iter().map(|listed| entry_from_wire(now, listed)).collect();
        self.scaler.inherit(now, &entries, numbers, tag);
    }

    /// After a while nobody is waited for: where no agent knows of an earlier holder's starts, this numbering is the first.
    pub fn end_inheritance(&mut self, now: Duration) {
        if self.inherited || now < self.since + INHERITANCE_WINDOW {
            return;
        }
        self.inherited = true;
        if !self.knew_starts {
            self.scaler.inherit(now, &[], &[], self.number);
        }
    }

    /// An agent follows, and says which process serves beside it.
    pub fn proxy_follows(&mut self, now: Duration, proxy: Proxy) {
        self.proxies.follows(now, proxy);
    }

    /// A change of the proxies is told as one of the instances is, under a version of its own.
    pub fn look_at_proxies(&mut self, now: Duration) {
        if self.proxies.has_changed(now) {
            let version = self.scaler.next_version();
            self.proxies.tell(Mark { number: self.number, version });
        }
    }

    /// Whether it knows what there is. Before that its silence would read as an end of everything.
    pub fn is_informed(&self) -> bool {
        self.instances_known && self.hosts_known && self.inherited
    }

    /// The next start or stop that the platform is to be asked for.
    pub fn next_order(&mut self, now: Duration) -> Option<Order> {
        if !self.is_informed() {
            return None;
        }
        self.scaler.next(now)
    }

    /// What changed in the instances after a version.
    pub fn changes_since(&self, now: Duration, version: u64) -> InstanceUpdate {
        let news = self.scaler.since(version);
        let (mut numbers, tag) = self.scaler.numbers();
        if !news.whole {
            let changed: HashSet<&str> = news.entries.iter().map(|entry| entry.service.as_str()).collect();
            numbers.retain(|(service, _)| changed.contains(service.as_str()));
        }
        let told = self.proxies.told();
        let newer = |mark: Mark| mark > Mark { number: self.number, version };
        let owners = told.filter(|owners| news.whole || newer(owners.mark)).cloned();
        InstanceUpdate {
            number: self.number,
            from: version,
            whole: news.whole,
            version: news.version,
            entries: news.entries.iter().map(|entry| entry_to_wire(now, entry)).collect(),
            ended: news.ended.into_iter().map(|(id, _)| id).collect(),
            tag,
            numbers,
            owners,
        }
    }
}
