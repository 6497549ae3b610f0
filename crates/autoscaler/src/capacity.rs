//! Free memory of the hosts, and the placement of instances.

use std::collections::BTreeMap;
use std::time::Duration;

use oorandom::Rand32;

use crate::types::Host;

#[derive(Debug)]
struct Reservation {
    token: u64,
    memory_mb: u32,
    /// When the start was answered; `None` while it is pending.
    answered: Option<Duration>,
}

#[derive(Debug)]
struct HostState {
    host: Host,
    /// Starts since the last report.
    reserved: Vec<Reservation>,
    /// The host refused a start of this many MB; assumed to hold until that time.
    rejected: Option<(Duration, u32)>,
    /// Consecutive reports that lack it.
    missed_reports: u8,
}

impl HostState {
    fn free(&self, now: Duration) -> u32 {
        let reserved: u64 = self.reserved.iter().map(|t| u64::from(t.memory_mb)).sum();
        let free = u64::from(self.host.free_memory_mb).saturating_sub(reserved) as u32;
        match self.rejected {
            Some((until, mb)) if now < until => free.min(mb.saturating_sub(1)),
            _ => free,
        }
    }

    fn up(&self) -> bool {
        self.host.up && self.missed_reports == 0
    }
}

#[derive(Debug)]
pub(crate) struct HostCapacity {
    regions: BTreeMap<String, String>,
    hosts: BTreeMap<String, HostState>,
    list_lag: Duration,
    pub(crate) known: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostStatus {
    Up,
    /// Draining, or missing from one report.
    Leaving,
    /// Missing from two consecutive reports, or never reported.
    Down,
}

impl HostCapacity {
    pub(crate) fn new(zones: &[(String, String)], list_lag: Duration) -> HostCapacity {
        HostCapacity {
            regions: zones.iter().cloned().collect(),
            hosts: BTreeMap::new(),
            list_lag,
            known: false,
        }
    }

    /// Takes a complete report; true if a host appeared, disappeared or changed its state.
    pub(crate) fn update(&mut self, now: Duration, reported: &[Host]) -> bool {
        self.known = true;
        let mut changed = false;
        for host_state in self.hosts.values_mut() {
            host_state.missed_reports = host_state.missed_reports.saturating_add(1);
        }
        for host in reported.iter().take(100_000) {
            let lag = self.list_lag;
            match self.hosts.get_mut(&host.name) {
                Some(host_state) => {
                    changed |= host_state.missed_reports > 1 || host_state.host.up != host.up;
                    host_state.missed_reports = 0;
                    host_state.host = host.clone();
                    host_state.reserved.retain(|t| t.answered.is_none_or(|at| at + lag > now));
                }
                None => {
                    changed = true;
                    let host_state = HostState {
                        host: host.clone(),
                        reserved: Vec::new(),
                        rejected: None,
                        missed_reports: 0,
                    };
                    self.hosts.insert(host.name.clone(), host_state);
                }
            }
        }
        changed |= self.hosts.values().any(|s| s.missed_reports > 0);
        self.hosts.retain(|_, s| s.missed_reports < 2 || !s.reserved.is_empty() && s.missed_reports < 20);
        changed
    }

    pub(crate) fn status(&self, host: &str) -> HostStatus {
        match self.hosts.get(host) {
            _ if !self.known => HostStatus::Up,
            Some(s) if s.up() => HostStatus::Up,
            Some(s) if s.missed_reports < 2 => HostStatus::Leaving,
            _ => HostStatus::Down,
        }
    }

    /// Whether it is reported as draining; a host missing from a report is not.
    pub(crate) fn drains(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|s| !s.host.up)
    }

    pub(crate) fn zone(&self, host: &str) -> Option<&str> {
        self.hosts.get(host).map(|s| s.host.zone.as_str())
    }

    pub(crate) fn reserve(&mut self, host: &str, token: u64, memory_mb: u32, answered: Option<Duration>) {
        if let Some(s) = self.hosts.get_mut(host) {
            s.reserved.push(Reservation { token, memory_mb, answered });
        }
    }

    /// A start was answered: its memory is in use from now on.
    pub(crate) fn confirm(&mut self, host: &str, token: u64, now: Duration) {
        if let Some(t) =
            self.hosts.get_mut(host).and_then(|s| s.reserved.iter_mut().find(|t| t.token == token))
        {
            t.answered = Some(now);
        }
    }

    /// A start was refused: no memory was taken, and the host has less free than it needs.
    pub(crate) fn reject(&mut self, host: &str, token: u64, until: Duration) {
        if let Some(s) = self.hosts.get_mut(host) {
            let Some(at) = s.reserved.iter().position(|t| t.token == token) else { return };
            let mb = s.reserved.swap_remove(at).memory_mb;
            let mb = s
                .rejected
                .filter(|(u, _)| *u > until.saturating_sub(self.list_lag))
                .map_or(mb, |(_, m)| m.min(mb));
            s.rejected = Some((until, mb));
        }
    }

    /// Releases the memory of a start that will not be made.
    pub(crate) fn release(&mut self, host: &str, token: u64) {
        if let Some(s) = self.hosts.get_mut(host) {
            s.reserved.retain(|t| t.token != token);
        }
    }

    /// Each host: name, zone, total MB, MB free now, whether it is up.
    pub(crate) fn all(&self, now: Duration) -> impl Iterator<Item = (&str, &str, u32, u32, bool)> {
        self.hosts
            .iter()
            .map(move |(n, s)| (n.as_str(), s.host.zone.as_str(), s.host.memory_mb, s.free(now), s.up()))
    }

    pub(crate) fn fits_in_zone(&self, now: Duration, zone: &str, memory_mb: u32) -> bool {
        self.hosts.values().any(|s| s.up() && s.host.zone == zone && s.free(now) >= memory_mb)
    }

    /// The host for a new instance: in the wanted zone, else in its region, else anywhere; among these the
    /// one with the fewest instances of the service, then the one with the most free memory.
    pub(crate) fn place(
        &self,
        now: Duration,
        zone: &str,
        memory_mb: u32,
        instances_on: &BTreeMap<String, u32>,
        rng: &mut Rand32,
    ) -> Option<String> {
        let region = self.regions.get(zone);
        let mut best: Option<((u8, u32, u32), &str)> = None;
        let mut ties = 1;
        for (name, host_state) in &self.hosts {
            let free = host_state.free(now);
            if !host_state.up() || free < memory_mb {
                continue;
            }
            let distance = if host_state.host.zone == zone {
                0
            } else if region.is_some() && region == self.regions.get(&host_state.host.zone) {
                1
            } else {
                2
            };
            let key = (distance, instances_on.get(name).copied().unwrap_or(0), u32::MAX - free);
            match &best {
                Some((b, _)) if *b < key => {}
                Some((b, _)) if *b == key => {
                    ties += 1;
                    if rng.rand_range(0..ties) == 0 {
                        best = Some((key, name));
                    }
                }
                _ => {
                    ties = 1;
                    best = Some((key, name));
                }
            }
        }
        best.map(|(_, name)| name.to_string())
    }
}
