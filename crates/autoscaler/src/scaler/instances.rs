//! Input about instances, from the platform's list and from the slot allocators.

use super::*;

impl Scaler {
    /// Takes the complete response of `GET /instances`.
    pub fn update_instances(&mut self, now: Duration, list: &[ListedInstance]) {
        self.list_received = true;
        let listed_ids: BTreeSet<&str> = list.iter().map(|l| l.instance.as_str()).collect();
        for l in list {
            if self.tombstones.get(&l.instance).is_some_and(|until| now < *until) {
                continue;
            }
            if self.registry.get(&l.instance).is_none() {
                self.add_listed(now, l);
                continue;
            }
            let (mut changed, mut stays_up) = (false, false);
            if let Some(h) = self.registry.record_mut(&l.instance) {
                h.listed_draining = l.draining;
                // Agents report an instance without allocatable slots to a new lease holder as draining,
                // whether its host is leaving or the previous holder was about to stop it. If the platform
                // shows it as up for this many lists, the platform is not going to remove it, and without a
                // stop it would run forever.
                let drains = h.entry.state == InstanceState::Draining && !l.draining;
                h.up_lists = if drains { h.up_lists.saturating_add(1) } else { 0 };
                stays_up = h.up_lists >= MAX_UP_LISTS;
                changed = !h.listed;
                h.listed = true;
                h.missed_lists = 0;
                h.ready_since.get_or_insert(now);
            }
            self.registry.update(&l.instance, |h| {
                if h.entry.host != l.host || h.entry.zone != l.zone || h.entry.address != l.address {
                    changed = true;
                    h.entry.host.clone_from(&l.host);
                    h.entry.zone.clone_from(&l.zone);
                    h.entry.address = l.address;
                }
                match h.entry.state {
                    InstanceState::Starting | InstanceState::Ready if l.draining => {
                        changed = true;
                        h.entry.state = InstanceState::Draining;
                    }
                    InstanceState::Starting => h.entry.state = InstanceState::Ready,
                    _ => {}
                }
            });
            if changed {
                self.update_host_state(&l.instance);
                self.dirty.insert(l.service.clone());
            }
            if stays_up {
                self.end(now, &l.instance, Duration::ZERO);
            }
        }
        let mut lost = Vec::new();
        for id in self.registry.all().map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            if listed_ids.contains(id.as_str()) {
                continue;
            }
            if let Some(h) = self.registry.record_mut(&id) {
                if h.listed {
                    h.missed_lists = h.missed_lists.saturating_add(1);
                    if h.missed_lists >= 2 || h.entry.state == InstanceState::Draining {
                        lost.push(id);
                    }
                }
            }
        }
        for id in lost {
            self.remove_instance(now, &id, self.tuning.loss_ttl);
        }
        self.settle(now);
    }

    fn add_listed(&mut self, now: Duration, l: &ListedInstance) {
        let state = if l.draining { InstanceState::Draining } else { InstanceState::Ready };
        self.registry.insert(InstanceRecord {
            entry: Entry {
                instance: l.instance.clone(),
                service: l.service.clone(),
                address: l.address,
                zone: l.zone.clone(),
                host: l.host.clone(),
                since_ms: now.as_millis() as u64,
                state,
                replaces: None,
                version: 0,
            },
            known_since: now,
            ready_since: Some(now),
            listed: true,
            listed_draining: l.draining,
            missed_lists: 0,
            up_lists: 0,
            stop_at: None,
            stop_sent: false,
            stop_attempts: 0,
            host_leaving: false,
        });
        self.update_host_state(&l.instance);
        self.note_inherited(now, &l.instance, &l.service);
    }

    /// Records an instance of an earlier lease holder: its service counts as having had traffic. Ends it if
    /// the service is not configured.
    pub(super) fn note_inherited(&mut self, now: Duration, instance: &str, service: &str) {
        self.dirty.insert(service.to_string());
        let before_settling = !self.registry.settled;
        match self.services.get_mut(service) {
            Some(service_state) if before_settling => {
                service_state.first_traffic.get_or_insert(Duration::ZERO);
            }
            None if self.configured => self.end(now, instance, Duration::ZERO),
            _ => {}
        }
    }

    pub(super) fn update_host_state(&mut self, instance: &str) {
        if let Some(h) = self.registry.record_mut(instance) {
            h.host_leaving = self.capacity.status(&h.entry.host) != HostStatus::Up;
        }
    }

    /// Takes the demand reported by a slot allocator.
    pub fn update_demand(&mut self, now: Duration, mut d: Demand) {
        let Some(service_state) = self.services.get_mut(&d.service) else { return };
        for x in [&mut d.rate, &mut d.busy, &mut d.run_ms] {
            *x = if x.is_finite() { x.clamp(0.0, 65_536.0) } else { 0.0 };
        }
        d.origins.truncate(MAX_ZONES);
        d.origins.retain(|(_, share)| share.is_finite() && *share > 0.0);
        if service_state.reports.len() >= MAX_ZONES && !service_state.reports.contains_key(&d.zone) {
            return;
        }
        let active = d.busy >= 0.25 || d.waiting > 0;
        let call = if active { now } else { now.saturating_sub(Duration::from_millis(d.idle_ms.into())) };
        if active || d.rate > 0.0 {
            service_state.last_call = Some(service_state.last_call.map_or(call, |c| c.max(call)));
            service_state.first_traffic.get_or_insert(now);
        }
        let busy = f64::from(d.busy);
        let report = service_state.reports.entry(d.zone.clone()).or_insert_with(|| DemandReport {
            demand: d.clone(),
            at: now,
            sustained_busy: busy,
            sustained_rate: 0.0,
            first_at: now,
            rates: VecDeque::new(),
        });
        let gap = now.saturating_sub(report.at);
        report.sustained_busy += (busy - report.sustained_busy) * (1.0 - (-gap.as_secs_f64() / 4.0).exp());
        report.sustained_rate +=
            (f64::from(d.rate) - report.sustained_rate) * (1.0 - (-gap.as_secs_f64() / 8.0).exp());
        if gap > self.tuning.demand_ttl {
            report.rates.clear();
        }
        while report.rates.front().is_some_and(|r| r.0 + Duration::from_millis(1100) < now) {
            report.rates.pop_front();
        }
        if report.rates.back().is_none_or(|r| r.0 + Duration::from_millis(50) <= now) {
            report.rates.push_back((now, f64::from(d.rate)));
        }
        // Planned at once, as waiting calls cannot wait for the next pass.
        if d.waiting > 0 || d.waiting != report.demand.waiting {
            self.dirty.insert(d.service.clone());
        }
        report.demand = d;
        report.at = now;
    }

    /// A slot allocator found that the instance has ended; this takes precedence over the list for a while.
    pub fn instance_gone(&mut self, now: Duration, instance: &str) {
        if self.registry.get(instance).is_some() {
            self.remove_instance(now, instance, self.tuning.loss_ttl);
        }
    }

    /// The instance accepted its first connection.
    pub fn instance_ready(&mut self, now: Duration, instance: &str) {
        if let Some(h) = self.registry.record_mut(instance) {
            h.ready_since.get_or_insert(now);
        }
        self.registry.update(instance, |h| {
            if h.entry.state == InstanceState::Starting {
                h.entry.state = InstanceState::Ready;
            }
        });
    }

    /// Marks an instance as ending; it is stopped after `wait`, within the configured bounds.
    pub(super) fn end(&mut self, now: Duration, instance: &str, wait: Duration) {
        let at = now
            + wait.max(self.tuning.stop_delay).min(self.tuning.max_stop_delay.max(self.tuning.stop_delay));
        self.registry.update(instance, |h| h.entry.state = InstanceState::Ending);
        if let Some(h) = self.registry.record_mut(instance) {
            if h.stop_at.is_none() {
                h.stop_at = Some(at);
                self.stop_queue.insert((at, instance.to_string()));
            }
        }
    }

    /// Removes the entry of an instance; the platform's list is ignored for it for `ttl`.
    pub(super) fn remove_instance(&mut self, now: Duration, instance: &str, ttl: Duration) {
        let Some(h) = self.registry.remove(instance, now) else { return };
        if h.counts() {
            self.note_disturbance(now);
        }
        if let Some(at) = h.stop_at {
            self.stop_queue.remove(&(at, instance.to_string()));
        }
        let until = now + ttl;
        if let Some(old) = self.tombstones.insert(instance.to_string(), until) {
            self.tombstone_expiry.remove(&(old, instance.to_string()));
        }
        self.tombstone_expiry.insert((until, instance.to_string()));
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((_, id)) = self.tombstone_expiry.pop_first() else { break };
            self.tombstones.remove(&id);
        }
        self.dirty.insert(h.entry.service);
    }
}
