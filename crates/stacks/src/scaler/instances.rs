//! Instances as they are heard of: from the platform's list, from proxies, and from those who lend their slots.

use super::*;

impl Scaler {
    /// The whole answer of `GET /instances`.
    pub fn update_instances(&mut self, now: Duration, list: &[ListedInstance]) {
        self.listed = true;
        let seen: BTreeSet<&str> = list.iter().map(|l| l.instance.as_str()).collect();
        for l in list {
            if self.dead.get(&l.instance).is_some_and(|until| now < *until) {
                continue;
            }
            if self.book.get(&l.instance).is_none() {
                self.adopt(now, l);
                continue;
            }
            let (mut turned, mut left) = (false, false);
            if let Some(h) = self.book.mark(&l.instance) {
                h.listed_draining = l.draining;
                // Pages tell a new holder what lends no more as draining, whether its host leaves or the holder before was
                // about to stop it: the platform never takes one that it shows as up for so long, so it would stay for ever.
                let drains = h.entry.state == InstanceState::Draining && !l.draining;
                h.up = if drains { h.up.saturating_add(1) } else { 0 };
                left = h.up >= UP_LISTS;
                turned = !h.listed;
                h.listed = true;
                h.missing = 0;
                h.ready.get_or_insert(now);
            }
            self.book.change(&l.instance, |h| {
                if h.entry.host != l.host || h.entry.zone != l.zone || h.entry.address != l.address {
                    turned = true;
                    h.entry.host.clone_from(&l.host);
                    h.entry.zone.clone_from(&l.zone);
                    h.entry.address = l.address;
                }
                match h.entry.state {
                    InstanceState::Starting | InstanceState::Ready if l.draining => {
                        turned = true;
                        h.entry.state = InstanceState::Draining;
                    }
                    InstanceState::Starting => h.entry.state = InstanceState::Ready,
                    _ => {}
                }
            });
            if turned {
                self.look_at_host(&l.instance);
                self.touched.insert(l.service.clone());
            }
            if left {
                self.end(now, &l.instance, Duration::ZERO);
            }
        }
        let mut lost = Vec::new();
        for id in self.book.all().map(|h| h.entry.instance.clone()).collect::<Vec<_>>() {
            if seen.contains(id.as_str()) {
                continue;
            }
            if let Some(h) = self.book.mark(&id) {
                if h.listed {
                    h.missing = h.missing.saturating_add(1);
                    if h.missing >= 2 || h.entry.state == InstanceState::Draining {
                        lost.push(id);
                    }
                }
            }
        }
        for id in lost {
            self.lose(now, &id, self.tuning.gone_lasts);
        }
        self.settle(now);
    }

    fn adopt(&mut self, now: Duration, l: &ListedInstance) {
        let state = if l.draining { InstanceState::Draining } else { InstanceState::Ready };
        self.book.insert(Held {
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
            known: now,
            ready: Some(now),
            listed: true,
            listed_draining: l.draining,
            missing: 0,
            up: 0,
            stop_at: None,
            stop_sent: false,
            stop_tries: 0,
            leaving: false,
        });
        self.look_at_host(&l.instance);
        self.welcome(now, &l.instance, &l.service);
    }

    /// An instance of an earlier holder: its service has had its traffic, or is not wanted.
    pub(super) fn welcome(&mut self, now: Duration, instance: &str, service: &str) {
        self.touched.insert(service.to_string());
        let before_settling = !self.book.settled;
        match self.services.get_mut(service) {
            Some(svc) if before_settling => {
                svc.first_traffic.get_or_insert(Duration::ZERO);
            }
            None if self.configured => self.end(now, instance, Duration::ZERO),
            _ => {}
        }
    }

    pub(super) fn look_at_host(&mut self, instance: &str) {
        if let Some(h) = self.book.mark(instance) {
            h.leaving = self.room.seating(&h.entry.host) != Seating::Up;
        }
    }

    /// What a lender tells.
    pub fn update_demand(&mut self, now: Duration, mut d: Demand) {
        let Some(svc) = self.services.get_mut(&d.service) else { return };
        for x in [&mut d.rate, &mut d.busy, &mut d.run_ms] {
            *x = if x.is_finite() { x.clamp(0.0, 65_536.0) } else { 0.0 };
        }
        d.origins.truncate(ZONES_MOST);
        d.origins.retain(|(_, share)| share.is_finite() && *share > 0.0);
        if svc.told.len() >= ZONES_MOST && !svc.told.contains_key(&d.zone) {
            return;
        }
        let active = d.busy >= 0.25 || d.waiting > 0;
        let call = if active { now } else { now.saturating_sub(Duration::from_millis(d.idle_ms.into())) };
        if active || d.rate > 0.0 {
            svc.last_call = Some(svc.last_call.map_or(call, |c| c.max(call)));
            svc.first_traffic.get_or_insert(now);
        }
        let busy = f64::from(d.busy);
        let told = svc.told.entry(d.zone.clone()).or_insert_with(|| Told {
            demand: d.clone(),
            at: now,
            slow: busy,
            steady: 0.0,
            began: now,
            rates: VecDeque::new(),
        });
        let gap = now.saturating_sub(told.at);
        told.slow += (busy - told.slow) * (1.0 - (-gap.as_secs_f64() / 4.0).exp());
        told.steady += (f64::from(d.rate) - told.steady) * (1.0 - (-gap.as_secs_f64() / 8.0).exp());
        if gap > self.tuning.told_lasts {
            told.rates.clear();
        }
        while told.rates.front().is_some_and(|r| r.0 + Duration::from_millis(1100) < now) {
            told.rates.pop_front();
        }
        if told.rates.back().is_none_or(|r| r.0 + Duration::from_millis(50) <= now) {
            told.rates.push_back((now, f64::from(d.rate)));
        }
        // At once what cannot wait for the next pass.
        if d.waiting > 0 || d.waiting != told.demand.waiting {
            self.touched.insert(d.service.clone());
        }
        told.demand = d;
        told.at = now;
    }

    /// A lender found the instance gone. Believed over the list for a while.
    pub fn instance_gone(&mut self, now: Duration, instance: &str) {
        if self.book.get(instance).is_some() {
            self.lose(now, instance, self.tuning.gone_lasts);
        }
    }

    /// A lender had its first connection accepted.
    pub fn instance_ready(&mut self, now: Duration, instance: &str) {
        if let Some(h) = self.book.mark(instance) {
            h.ready.get_or_insert(now);
        }
        self.book.change(instance, |h| {
            if h.entry.state == InstanceState::Starting {
                h.entry.state = InstanceState::Ready;
            }
        });
    }

    /// Marks an instance as ending; it is stopped after `wait`.
    pub(super) fn end(&mut self, now: Duration, instance: &str, wait: Duration) {
        let at = now + wait.max(self.tuning.ending).min(self.tuning.ending_max.max(self.tuning.ending));
        self.book.change(instance, |h| h.entry.state = InstanceState::Ending);
        if let Some(h) = self.book.mark(instance) {
            if h.stop_at.is_none() {
                h.stop_at = Some(at);
                self.stops.insert((at, instance.to_string()));
            }
        }
    }

    /// An entry is no more; the list is not believed about it for `lasts`.
    pub(super) fn lose(&mut self, now: Duration, instance: &str, lasts: Duration) {
        let Some(h) = self.book.remove(instance, now) else { return };
        if h.counts() {
            self.trouble(now);
        }
        if let Some(at) = h.stop_at {
            self.stops.remove(&(at, instance.to_string()));
        }
        let until = now + lasts;
        if let Some(old) = self.dead.insert(instance.to_string(), until) {
            self.dead_by.remove(&(old, instance.to_string()));
        }
        self.dead_by.insert((until, instance.to_string()));
        while self.dead.len() > DEAD_MOST {
            let Some((_, id)) = self.dead_by.pop_first() else { break };
            self.dead.remove(&id);
        }
        self.touched.insert(h.entry.service);
    }
}
