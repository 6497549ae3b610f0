//! How many instances each function is to have, where, and which of them are to end.

use super::*;

impl Scaler {
    pub(super) fn pass(&mut self, now: Duration) {
        self.last_pass = Some(now);
        self.settle(now);
        self.book.clean(now);
        while self.dead_by.first().is_some_and(|d| d.0 <= now) {
            if let Some((_, id)) = self.dead_by.pop_first() {
                self.dead.remove(&id);
            }
        }
        let lag = self.terms.list_lag;
        let mut lost = Vec::new();
        for h in self.book.all().filter(|h| !h.listed) {
            let boot = self.services.get(&h.entry.service).map_or(1000, |s| s.spec.boot_ms);
            let most = Duration::from_millis(u64::from(boot) * 3 + 2000) + lag;
            if h.known + most < now {
                lost.push(h.entry.instance.clone());
            }
        }
        for id in lost {
            self.lose(now, &id, self.tuning.gone_lasts);
        }
        let silent: Vec<u64> = self.stopping.iter().filter(|s| s.1 .1 <= now).map(|s| *s.0).collect();
        for token in silent {
            self.stop_answered(now, token, false);
        }
        self.touched.clear();
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            self.plan(now, &name);
        }
        self.rebind_pass(now);
    }

    /// Demand of one service by the zone it comes from, cleaned, and calls waiting.
    pub(crate) fn pulls(&self, now: Duration, svc: &Svc) -> (Vec<ZoneDemand>, u32) {
        let mut waiting = 0;
        let lasts = self.tuning.told_lasts;
        let mut pulls: BTreeMap<&str, ZoneDemand> = BTreeMap::new();
        for t in svc.told.values().filter(|t| t.at + lasts > now) {
            let d = &t.demand;
            waiting += u32::from(d.waiting);
            let rate = f64::from(d.rate);
            let then = t.rates.front().map_or(rate, |r| r.1);
            let rise = (rate - then - 1.5 * (then + 0.5).sqrt()).max(0.0);
            for (zone, share) in t.shares() {
                let pull = pulls
                    .entry(zone)
                    .or_insert_with(|| ZoneDemand { zone: zone.to_string(), ..ZoneDemand::default() });
                // Run times of several lenders, weighed by their calls.
                let (had, come) = (pull.rate + pull.busy, share * (rate + f64::from(d.busy)));
                let weight = if had + come > 0.0 { come / (had + come) } else { 1.0 };
                pull.run_ms += (f64::from(d.run_ms) - pull.run_ms) * weight;
                pull.rate += share * rate;
                pull.rise += share * rise;
                pull.busy += share * f64::from(d.busy);
                pull.slow += share * t.slow;
                // What the smoothing from zero hides in the first seconds is made up for.
                let known = now.saturating_sub(t.began).as_secs_f64().max(3.0);
                pull.steady += share * t.steady / (1.0 - (-known / 8.0).exp());
                pull.peak += share * f64::from(d.peak);
                pull.waiting += share * f64::from(d.waiting);
            }
        }
        (pulls.into_values().collect(), waiting)
    }

    /// The zones in the order in which a service without demand has them.
    fn homes(&self, name: &str) -> Vec<String> {
        let n = self.terms.zones.len();
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        (0..n).map(|i| self.terms.zones[((hash >> 32) as usize + i) % n].0.clone()).collect()
    }

    /// Compares what is wanted of a service with what is there.
    pub(super) fn plan(&mut self, now: Duration, name: &str) {
        let Some(svc) = self.services.get(name) else { return };
        let (pulls, waiting) = self.pulls(now, svc);
        let spec = svc.spec.clone();
        let sleeps = self.tuning.sleeps(&spec);
        let told_rate: f64 = pulls.iter().map(|p| p.rate).sum();
        let past = now.saturating_sub(svc.rate_at).as_secs_f64();
        let rate = svc.rate + (told_rate - svc.rate) * (1.0 - (-past / 15.0).exp());
        // The smoothing began at zero: what that hides in the first seconds of traffic is made up for.
        let known = svc.first_traffic.map_or(0.0, |first| now.saturating_sub(first).as_secs_f64()).max(4.0);
        let usual = rate / (1.0 - (-known / 15.0).exp());

        let (mut have, mut there) = (BTreeMap::<&str, u32>::new(), 0);
        let (mut ending, mut last_ready, mut last_known) = (0, Duration::ZERO, Duration::ZERO);
        let moves =
            self.rebind.as_ref().map(|r| r.moves_of(name, &self.book, &self.room)).unwrap_or_default();
        for h in self.book.of(name) {
            last_known = last_known.max(h.known);
            if moves.holds(&h.entry.instance) && !(h.counts() && moves.counts(&h.entry.instance)) {
                continue;
            }
            if h.counts() {
                *have.entry(&h.entry.zone).or_default() += 1;
                there += 1;
                last_ready = last_ready.max(h.ready.unwrap_or(now));
            } else if h.entry.state == InstanceState::Ending {
                ending += 1;
            }
        }
        let begun = there;
        for (_, zone) in &svc.under_way {
            *have.entry(zone).or_default() += 1;
            there += 1;
        }
        for zone in &moves.coming {
            *have.entry(zone).or_default() += 1;
            there += 1;
        }

        let floor = if sleeps || !spec.routed {
            0
        } else if svc.first_traffic.is_some_and(|f| f > Duration::ZERO && now < f + self.tuning.early) {
            self.tuning.early_floor.max(self.tuning.floor)
        } else {
            self.tuning.floor
        };
        // A start that takes longer than a drain leaves a gap wherever the only instance is lost.
        let covered = u128::from(spec.boot_ms) <= self.terms.drain.as_millis();
        let floor = if floor > 0 && !covered { floor.max(2) } else { floor };
        let homes = if floor > 0 { self.homes(name) } else { Vec::new() };
        let mut want = desired_instances(&self.tuning, &spec, &pulls, floor, &homes);
        // Asleep, or idle for longer than an instance is worth.
        let mut idle = false;
        if floor == 0 && waiting == 0 {
            let last = svc.last_call.unwrap_or_default().max(last_ready);
            idle = now > last + self.tuning.window(&spec, usual) && !self.tuning.keeps(&spec, 1.4 * usual);
            if there == 0 && (svc.last_call.is_none_or(|c| c + self.tuning.pass < now) || sleeps) || idle {
                want = DesiredInstances::default();
            } else if want.total == 0 {
                want.total = there.min(1);
                want.zones = have.iter().take(1).map(|(z, _)| (z.to_string(), 1)).collect();
            }
        }
        // Before everything is known, only for calls that wait.
        if !self.book.settled && waiting == 0 {
            want.total = want.total.min(there);
        }

        let spread = |have: &BTreeMap<&str, u32>, zone: &str| {
            i64::from(want.in_zone(zone)) - i64::from(have.get(zone).copied().unwrap_or(0))
        };
        let after = if sleeps { self.tuning.lower_after_sleeper } else { self.tuning.lower_after };
        let watched = svc.watched.unwrap_or(now);
        let most =
            svc.highs.iter().filter(|h| h.0 + after > now).map(|h| h.1).max().unwrap_or(0).max(want.total);
        let mut lacks = Vec::new();
        let mut revive = Vec::new();
        let mut end = Vec::new();
        let mut lowered = svc.lowered;
        let mut zone_lack = None;
        if there < want.total {
            let mut count = want.total - there;
            for h in self.book.of(name).filter(|h| h.entry.state == InstanceState::Ending) {
                if count > 0
                    && !h.stop_sent
                    && !h.leaving
                    && !h.listed_draining
                    && !moves.holds(&h.entry.instance)
                {
                    revive.push(h.entry.instance.clone());
                    *have.entry(&h.entry.zone).or_default() += 1;
                    count -= 1;
                }
            }
            for _ in 0..count.min(self.tuning.under_way as u32) {
                let most = want.zones.iter().max_by_key(|z| (spread(&have, &z.0), z.1));
                let Some((zone, _)) = most else { break };
                lacks.push(zone.clone());
                *have.entry(zone).or_default() += 1;
            }
        } else {
            let lacking = want
                .own
                .iter()
                .find(|(z, n)| have.get(z.as_str()).copied().unwrap_or(0) < *n && want.in_zone(z) >= *n);
            if let Some((zone, _)) =
                lacking.filter(|z| there == want.total && self.room.room_in(now, &z.0, spec.memory_mb))
            {
                let since = svc.zone_lack.unwrap_or(now);
                zone_lack = Some(since);
                if since + self.tuning.move_after <= now && ending == 0 {
                    lacks.push(zone.clone());
                    zone_lack = None;
                }
            }
            if there > want.total {
                // One that slept through its window is not kept longer; the last stops are never
                // those of a service that cannot sleep, as `want` has its floor.
                let down_to = if idle { want.total } else { most };
                let due = idle || watched + after <= now && lowered + self.tuning.lower_again <= now;
                let a_round = (begun / 3).max(1).saturating_sub(ending);
                let count = (there - down_to.min(there)).min(a_round).min(begun.saturating_sub(down_to));
                if due && count > 0 {
                    let mut ready: Vec<&Held> = self
                        .book
                        .of(name)
                        .filter(|h| h.counts() && h.entry.state == InstanceState::Ready)
                        .filter(|h| !moves.holds(&h.entry.instance))
                        .collect();
                    for _ in 0..count {
                        // Where most are too many, the newest.
                        let next = ready.iter().enumerate().min_by_key(|(_, h)| {
                            let zone = h.entry.zone.as_str();
                            (spread(&have, zone), want.in_zone(zone), u64::MAX - h.entry.since_ms)
                        });
                        let Some((at, _)) = next else { break };
                        let h = ready.swap_remove(at);
                        if let Some(n) = have.get_mut(h.entry.zone.as_str()) {
                            *n = n.saturating_sub(1);
                        }
                        end.push(h.entry.instance.clone());
                    }
                    if !end.is_empty() {
                        lowered = now;
                    }
                }
            }
        }
        let run = pulls.iter().map(|p| p.run_ms).fold(0.0, f64::max);

        let Some(svc) = self.services.get_mut(name) else { return };
        svc.rate = rate;
        (svc.want, svc.there) = (want.total, there);
        svc.rate_at = now;
        while svc.highs.front().is_some_and(|h| h.0 + after <= now) {
            svc.highs.pop_front();
        }
        while svc.highs.back().is_some_and(|h| h.1 <= want.total) {
            svc.highs.pop_back();
        }
        svc.highs.push_back((now, want.total));
        svc.watched = Some(watched);
        svc.lowered = lowered;
        svc.zone_lack = zone_lack;
        svc.lacks = lacks;
        let rank = (!svc.lacks.is_empty())
            .then(|| (waiting == 0, spec.priority, u16::MAX - waiting.min(65_535) as u16, spec.name));
        if svc.rank != rank {
            if let Some(old) = svc.rank.take() {
                self.eager.remove(&old);
            }
            if let Some(new) = &rank {
                self.eager.insert(new.clone());
            }
            svc.rank = rank;
        }
        for id in revive {
            if let Some(at) = self.book.mark(&id).and_then(|h| h.stop_at.take()) {
                self.stops.remove(&(at, id.clone()));
            }
            self.book.change(&id, |h| {
                h.entry.state =
                    if h.ready.is_some() { InstanceState::Ready } else { InstanceState::Starting };
            });
        }
        for id in end {
            self.end(now, &id, Duration::from_secs_f64(run * 3.0 / 1e3));
        }
    }
}
