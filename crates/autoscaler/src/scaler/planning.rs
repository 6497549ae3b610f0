//! Planning: how many instances each function should have, in which zones, and which of them to end.

use super::*;

impl Scaler {
    pub(super) fn pass(&mut self, now: Duration) {
        self.last_pass = Some(now);
        self.settle(now);
        self.registry.prune(now);
        while self.tombstone_expiry.first().is_some_and(|d| d.0 <= now) {
            if let Some((_, id)) = self.tombstone_expiry.pop_first() {
                self.tombstones.remove(&id);
            }
        }
        let lag = self.platform.list_lag;
        let mut lost = Vec::new();
        for h in self.registry.all().filter(|h| !h.listed) {
            let boot = self.services.get(&h.entry.service).map_or(1000, |s| s.spec.boot_ms);
            let most = Duration::from_millis(u64::from(boot) * 3 + 2000) + lag;
            if h.known_since + most < now {
                lost.push(h.entry.instance.clone());
            }
        }
        for id in lost {
            self.remove_instance(now, &id, self.tuning.loss_ttl);
        }
        let timed_out: Vec<u64> = self.pending_stops.iter().filter(|s| s.1 .1 <= now).map(|s| *s.0).collect();
        for token in timed_out {
            self.stop_answered(now, token, false);
        }
        self.dirty.clear();
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.plan(now, &name);
        }
        self.rebind_pass(now);
    }

    /// Valid demand of one service by the zone it comes from, and the number of waiting calls.
    pub(crate) fn demands(&self, now: Duration, service_state: &ServiceState) -> (Vec<ZoneDemand>, u32) {
        let mut waiting = 0;
        let ttl = self.tuning.demand_ttl;
        let mut demands: BTreeMap<&str, ZoneDemand> = BTreeMap::new();
        for t in service_state.reports.values().filter(|t| t.at + ttl > now) {
            let d = &t.demand;
            waiting += u32::from(d.waiting);
            let rate = f64::from(d.rate);
            let then = t.rates.front().map_or(rate, |r| r.1);
            let rise = (rate - then - 1.5 * (then + 0.5).sqrt()).max(0.0);
            for (zone, share) in t.shares() {
                let zone_demand = demands
                    .entry(zone)
                    .or_insert_with(|| ZoneDemand { zone: zone.to_string(), ..ZoneDemand::default() });
                // Mean of the run times of several slot allocators, weighted by their calls.
                let (previous, added) =
                    (zone_demand.rate + zone_demand.busy, share * (rate + f64::from(d.busy)));
                let weight = if previous + added > 0.0 { added / (previous + added) } else { 1.0 };
                zone_demand.run_ms += (f64::from(d.run_ms) - zone_demand.run_ms) * weight;
                zone_demand.rate += share * rate;
                zone_demand.rate_increase += share * rise;
                zone_demand.busy += share * f64::from(d.busy);
                zone_demand.sustained_busy += share * t.sustained_busy;
                // Corrects the bias of an average that was smoothed from zero.
                let known = now.saturating_sub(t.first_at).as_secs_f64().max(3.0);
                zone_demand.sustained_rate += share * t.sustained_rate / (1.0 - (-known / 8.0).exp());
                zone_demand.peak += share * f64::from(d.peak);
                zone_demand.waiting += share * f64::from(d.waiting);
            }
        }
        (demands.into_values().collect(), waiting)
    }

    /// The zones in the order in which a service without demand uses them.
    fn default_zones(&self, name: &str) -> Vec<String> {
        let n = self.platform.zones.len();
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        (0..n).map(|i| self.platform.zones[((hash >> 32) as usize + i) % n].0.clone()).collect()
    }

    /// Compares the target of a service with its instances, and decides on starts and stops.
    pub(super) fn plan(&mut self, now: Duration, name: &str) {
        let Some(service_state) = self.services.get(name) else { return };
        let (demands, waiting) = self.demands(now, service_state);
        let spec = service_state.spec.clone();
        let scales_to_zero = self.tuning.scales_to_zero(&spec);
        let reported_rate: f64 = demands.iter().map(|p| p.rate).sum();
        let elapsed = now.saturating_sub(service_state.rate_at).as_secs_f64();
        let rate =
            service_state.rate + (reported_rate - service_state.rate) * (1.0 - (-elapsed / 15.0).exp());
        // Corrects the bias of the average, which was smoothed from zero at the first traffic.
        let known =
            service_state.first_traffic.map_or(0.0, |first| now.saturating_sub(first).as_secs_f64()).max(4.0);
        let typical_rate = rate / (1.0 - (-known / 15.0).exp());

        let (mut per_zone, mut present) = (BTreeMap::<&str, u32>::new(), 0);
        let (mut ending, mut last_ready, mut last_known) = (0, Duration::ZERO, Duration::ZERO);
        let moves = self
            .rebind
            .as_ref()
            .map(|r| r.moves_of(name, &self.registry, &self.capacity))
            .unwrap_or_default();
        for h in self.registry.of_service(name) {
            last_known = last_known.max(h.known_since);
            if moves.holds(&h.entry.instance) && !(h.counts() && moves.counts(&h.entry.instance)) {
                continue;
            }
            if h.counts() {
                *per_zone.entry(&h.entry.zone).or_default() += 1;
                present += 1;
                last_ready = last_ready.max(h.ready_since.unwrap_or(now));
            } else if h.entry.state == InstanceState::Ending {
                ending += 1;
            }
        }
        let running = present;
        for (_, zone) in &service_state.pending_starts {
            *per_zone.entry(zone).or_default() += 1;
            present += 1;
        }
        for zone in &moves.awaited_zones {
            *per_zone.entry(zone).or_default() += 1;
            present += 1;
        }

        let floor = if scales_to_zero || !spec.routed {
            0
        } else if service_state
            .first_traffic
            .is_some_and(|f| f > Duration::ZERO && now < f + self.tuning.early_traffic)
        {
            self.tuning.min_instances_early.max(self.tuning.min_instances)
        } else {
            self.tuning.min_instances
        };
        // Where a start takes longer than a drain, the loss of the only instance would leave a gap: then two.
        let covered = u128::from(spec.boot_ms) <= self.platform.drain.as_millis();
        let floor = if floor > 0 && !covered { floor.max(2) } else { floor };
        let default_zones = if floor > 0 { self.default_zones(name) } else { Vec::new() };
        let mut desired = desired_instances(&self.tuning, &spec, &demands, floor, &default_zones);
        // At zero, or idle for longer than an instance is worth keeping.
        let mut idle = false;
        if floor == 0 && waiting == 0 {
            let last = service_state.last_call.unwrap_or_default().max(last_ready);
            idle = now > last + self.tuning.idle_window(&spec, typical_rate)
                && !self.tuning.worth_keeping(&spec, 1.4 * typical_rate);
            if present == 0
                && (service_state.last_call.is_none_or(|c| c + self.tuning.pass_interval < now)
                    || scales_to_zero)
                || idle
            {
                desired = DesiredInstances::default();
            } else if desired.total == 0 {
                desired.total = present.min(1);
                desired.zones = per_zone.iter().take(1).map(|(z, _)| (z.to_string(), 1)).collect();
            }
        }
        // Before all instances are known, starts are made only for waiting calls.
        if !self.registry.settled && waiting == 0 {
            desired.total = desired.total.min(present);
        }

        let shortfall = |per_zone: &BTreeMap<&str, u32>, zone: &str| {
            i64::from(desired.in_zone(zone)) - i64::from(per_zone.get(zone).copied().unwrap_or(0))
        };
        let stable_for =
            if scales_to_zero { self.tuning.scale_down_after_to_zero } else { self.tuning.scale_down_after };
        let watched_since = service_state.watched_since.unwrap_or(now);
        let most = service_state
            .recent_targets
            .iter()
            .filter(|h| h.0 + stable_for > now)
            .map(|h| h.1)
            .max()
            .unwrap_or(0)
            .max(desired.total);
        let mut missing_zones = Vec::new();
        let mut to_revive = Vec::new();
        let mut to_end = Vec::new();
        let mut last_scale_down = service_state.last_scale_down;
        let mut zone_missing_since = None;
        if present < desired.total {
            let mut count = desired.total - present;
            for h in self.registry.of_service(name).filter(|h| h.entry.state == InstanceState::Ending) {
                if count > 0
                    && !h.stop_sent
                    && !h.host_leaving
                    && !h.listed_draining
                    && !moves.holds(&h.entry.instance)
                {
                    to_revive.push(h.entry.instance.clone());
                    *per_zone.entry(&h.entry.zone).or_default() += 1;
                    count -= 1;
                }
            }
            for _ in 0..count.min(self.tuning.max_pending_starts as u32) {
                let most = desired.zones.iter().max_by_key(|z| (shortfall(&per_zone, &z.0), z.1));
                let Some((zone, _)) = most else { break };
                missing_zones.push(zone.clone());
                *per_zone.entry(zone).or_default() += 1;
            }
        } else {
            let lacking = desired.local.iter().find(|(z, n)| {
                per_zone.get(z.as_str()).copied().unwrap_or(0) < *n && desired.in_zone(z) >= *n
            });
            if let Some((zone, _)) = lacking
                .filter(|z| present == desired.total && self.capacity.fits_in_zone(now, &z.0, spec.memory_mb))
            {
                let since = service_state.zone_missing_since.unwrap_or(now);
                zone_missing_since = Some(since);
                if since + self.tuning.local_start_after <= now && ending == 0 {
                    missing_zones.push(zone.clone());
                    zone_missing_since = None;
                }
            }
            if present > desired.total {
                // An instance that was idle for its whole window is not kept longer. This never stops the
                // last instance of a service that cannot scale to zero, as `desired` includes its floor.
                let down_to = if idle { desired.total } else { most };
                let due = idle
                    || watched_since + stable_for <= now
                        && last_scale_down + self.tuning.scale_down_interval <= now;
                let per_round = (running / 3).max(1).saturating_sub(ending);
                let count =
                    (present - down_to.min(present)).min(per_round).min(running.saturating_sub(down_to));
                if due && count > 0 {
                    let mut ready: Vec<&InstanceRecord> = self
                        .registry
                        .of_service(name)
                        .filter(|h| h.counts() && h.entry.state == InstanceState::Ready)
                        .filter(|h| !moves.holds(&h.entry.instance))
                        .collect();
                    for _ in 0..count {
                        // The newest in the zone with the largest surplus.
                        let next = ready.iter().enumerate().min_by_key(|(_, h)| {
                            let zone = h.entry.zone.as_str();
                            (shortfall(&per_zone, zone), desired.in_zone(zone), u64::MAX - h.entry.since_ms)
                        });
                        let Some((at, _)) = next else { break };
                        let h = ready.swap_remove(at);
                        if let Some(n) = per_zone.get_mut(h.entry.zone.as_str()) {
                            *n = n.saturating_sub(1);
                        }
                        to_end.push(h.entry.instance.clone());
                    }
                    if !to_end.is_empty() {
                        last_scale_down = now;
                    }
                }
            }
        }
        let run = demands.iter().map(|p| p.run_ms).fold(0.0, f64::max);

        let Some(service_state) = self.services.get_mut(name) else { return };
        service_state.rate = rate;
        (service_state.target, service_state.present) = (desired.total, present);
        service_state.rate_at = now;
        while service_state.recent_targets.front().is_some_and(|h| h.0 + stable_for <= now) {
            service_state.recent_targets.pop_front();
        }
        while service_state.recent_targets.back().is_some_and(|h| h.1 <= desired.total) {
            service_state.recent_targets.pop_back();
        }
        service_state.recent_targets.push_back((now, desired.total));
        service_state.watched_since = Some(watched_since);
        service_state.last_scale_down = last_scale_down;
        service_state.zone_missing_since = zone_missing_since;
        service_state.missing_zones = missing_zones;
        let rank = (!service_state.missing_zones.is_empty())
            .then(|| (waiting == 0, spec.priority, u16::MAX - waiting.min(65_535) as u16, spec.name));
        if service_state.rank != rank {
            if let Some(old) = service_state.rank.take() {
                self.start_queue.remove(&old);
            }
            if let Some(new) = &rank {
                self.start_queue.insert(new.clone());
            }
            service_state.rank = rank;
        }
        for id in to_revive {
            if let Some(at) = self.registry.record_mut(&id).and_then(|h| h.stop_at.take()) {
                self.stop_queue.remove(&(at, id.clone()));
            }
            self.registry.update(&id, |h| {
                h.entry.state =
                    if h.ready_since.is_some() { InstanceState::Ready } else { InstanceState::Starting };
            });
        }
        for id in to_end {
            self.end(now, &id, Duration::from_secs_f64(run * 3.0 / 1e3));
        }
    }
}
