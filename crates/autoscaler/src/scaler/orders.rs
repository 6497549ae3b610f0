//! Orders to the platform, and its responses.

use super::*;

impl Scaler {
    /// The next call to make to the platform, if any is due.
    pub fn next(&mut self, now: Duration) -> Option<Order> {
        if self.last_pass.is_none_or(|l| l + self.tuning.pass_interval <= now) {
            self.pass(now);
        }
        while let Some(name) = self.dirty.pop_first() {
            self.plan(now, &name);
        }
        // Starts whose response timed out.
        while let Some((at, token)) = self.start_deadlines.first().copied() {
            if at > now {
                break;
            }
            if self.starts.get(&token).is_some_and(|s| s.sent) {
                self.start_deadlines.pop_first();
                self.retry_start(now, token);
                continue;
            }
            break;
        }
        self.idle_since = None;
        let left = self.rate_limiter.remaining(now);
        if left == 0 {
            return None;
        }
        // A start that waits for its response may come before one to repeat; there are few.
        let due = self
            .start_deadlines
            .iter()
            .take_while(|a| a.0 <= now)
            .find(|a| self.starts.get(&a.1).is_some_and(|s| !s.sent));
        if let Some((at, token)) = due.copied() {
            self.start_deadlines.remove(&(at, token));
            return self.send(now, token);
        }
        if let Some(order) = self.start(now) {
            return Some(order);
        }
        let reserved = if self.start_queue.is_empty() { 0 } else { self.rate_limiter.limit() / 4 };
        if left <= reserved {
            self.idle_since = Some(now);
            return None;
        }
        if let Some(order) = self.next_move_call(now) {
            return Some(order);
        }
        while let Some((at, id)) = self.stop_queue.first().cloned() {
            if at > now {
                break;
            }
            self.stop_queue.pop_first();
            let Some(h) = self.registry.record_mut(&id) else { continue };
            h.stop_sent = true;
            h.stop_at = None;
            self.rate_limiter.record_call(now);
            self.last_token += 1;
            self.pending_stops.insert(self.last_token, (id.clone(), now + self.tuning.call_timeout));
            return Some(Order::Stop { token: self.last_token, instance: id });
        }
        self.idle_since = Some(now);
        None
    }

    pub(crate) fn send(&mut self, now: Duration, token: u64) -> Option<Order> {
        let start = self.starts.get_mut(&token)?;
        start.sent = true;
        start.at = now + self.tuning.call_timeout;
        self.start_deadlines.insert((start.at, token));
        self.rate_limiter.record_call(now);
        let Start { service, host, nonce, .. } = &*start;
        Some(Order::Begin { token, service: service.clone(), host: host.clone(), nonce: nonce.clone() })
    }

    /// A new start, for the service with the highest rank.
    fn start(&mut self, now: Duration) -> Option<Order> {
        if !self.list_received || !self.capacity.known || self.starts.len() >= self.tuning.max_pending_starts
        {
            return None;
        }
        let mut blocked = Vec::new();
        let mut order = None;
        while let Some(rank) = self.start_queue.first().cloned() {
            let name = rank.3.clone();
            let Some(service_state) = self.services.get_mut(&name) else {
                self.start_queue.remove(&rank);
                continue;
            };
            let mut instances_on = BTreeMap::<String, u32>::new();
            for h in self.registry.of_service(&name) {
                *instances_on.entry(h.entry.host.clone()).or_default() += 1;
            }
            for (token, _) in &service_state.pending_starts {
                if let Some(s) = self.starts.get(token) {
                    *instances_on.entry(s.host.clone()).or_default() += 1;
                }
            }
            let memory = service_state.spec.memory_mb;
            let zone =
                service_state.missing_zones.last().cloned().filter(|_| service_state.not_before <= now);
            let host = zone.and_then(|z| self.capacity.place(now, &z, memory, &instances_on, &mut self.rng));
            let Some(host) = host else {
                if service_state.not_before <= now {
                    service_state.not_before = now + self.tuning.pass_interval;
                    if let Some(r) = &mut self.rebind {
                        r.record_blocked(now, &name);
                    }
                }
                self.start_queue.remove(&rank);
                blocked.push(rank);
                continue;
            };
            service_state.missing_zones.pop();
            if service_state.missing_zones.is_empty() {
                self.start_queue.remove(&rank);
                service_state.rank = None;
            }
            self.last_token += 1;
            let token = self.last_token;
            service_state
                .pending_starts
                .push((token, self.capacity.zone(&host).unwrap_or_default().to_string()));
            let n = self.numbers.entry(name.clone()).or_default();
            *n = n.wrapping_add(1);
            let nonce = nonce(self.tag, &name, *n);
            self.capacity.reserve(&host, token, memory, None);
            self.starts.insert(
                token,
                Start { service: name, host, nonce, at: now, sent: false, attempts: 0, replaces: None },
            );
            order = self.send(now, token);
            break;
        }
        // Retried in the next pass, which ranks them again.
        for rank in blocked {
            if let Some(service_state) = self.services.get_mut(&rank.3) {
                service_state.rank = None;
            }
        }
        order
    }

    /// Takes the response to [`Order::Begin`].
    pub fn start_answered(&mut self, now: Duration, token: u64, answer: StartResult) {
        let Some(start) = self.starts.get(&token) else { return };
        self.start_deadlines.remove(&(start.at, token));
        let service = start.service.clone();
        match answer {
            StartResult::Started { instance, address } => {
                let Some(start) = self.starts.remove(&token) else { return };
                self.capacity.confirm(&start.host, token, now);
                self.drop_pending_start(&service, token);
                self.move_start_answered(now, &start, StartOutcome::Started { instance: instance.clone() });
                self.add_started(now, &start, instance, address);
            }
            StartResult::NoCapacity => {
                let Some(start) = self.starts.remove(&token) else { return };
                let until = now + self.platform.list_lag + Duration::from_millis(200);
                self.capacity.reject(&start.host, token, until);
                self.drop_pending_start(&service, token);
                self.move_start_answered(now, &start, StartOutcome::Refused);
            }
            StartResult::UnknownService => {
                let Some(start) = self.starts.remove(&token) else { return };
                self.capacity.release(&start.host, token);
                self.drop_pending_start(&service, token);
                self.move_start_answered(now, &start, StartOutcome::Refused);
                if let Some(service_state) = self.services.get_mut(&service) {
                    service_state.not_before = now + Duration::from_secs(1);
                }
            }
            StartResult::RateLimited => {
                let pause = Duration::from_millis(150 + u64::from(self.rng.rand_range(0..100)));
                self.rate_limiter.throttled(now, pause);
                self.schedule_start(token, now + pause);
                self.note_disturbance(now);
            }
            StartResult::OutcomeUnknown => {
                self.retry_start(now, token);
                self.note_disturbance(now);
            }
        }
        self.dirty.insert(service);
    }

    fn add_started(&mut self, now: Duration, start: &Start, instance: String, address: SocketAddr) {
        // The instance may already be listed, or this may be the repeat of a start whose instance has ended
        // since.
        if start.replaces.is_some() {
            self.registry.update(&instance, |h| h.entry.replaces.clone_from(&start.replaces));
        }
        if self.registry.get(&instance).is_some()
            || self.tombstones.get(&instance).is_some_and(|until| now < *until)
        {
            return;
        }
        let zone = self.capacity.zone(&start.host).unwrap_or_default().to_string();
        self.registry.insert(InstanceRecord {
            entry: Entry {
                instance: instance.clone(),
                service: start.service.clone(),
                address,
                zone,
                host: start.host.clone(),
                since_ms: now.as_millis() as u64,
                state: InstanceState::Starting,
                replaces: start.replaces.clone(),
                version: 0,
            },
            known_since: now,
            ready_since: None,
            listed: false,
            listed_draining: false,
            missed_lists: 0,
            up_lists: 0,
            stop_at: None,
            stop_sent: false,
            stop_attempts: 0,
            host_leaving: false,
        });
        self.update_host_state(&instance);
        self.end_if_host_drains(now, &instance);
        if !self.services.contains_key(&start.service) {
            self.end(now, &instance, Duration::ZERO);
        }
    }

    fn schedule_start(&mut self, token: u64, at: Duration) {
        if let Some(s) = self.starts.get_mut(&token) {
            s.sent = false;
            s.at = at;
            self.start_deadlines.insert((at, token));
        }
    }

    fn retry_start(&mut self, now: Duration, token: u64) {
        let Some(s) = self.starts.get_mut(&token) else { return };
        s.attempts = (s.attempts + 1).min(MAX_RETRY_FACTOR);
        let at = now + self.tuning.retry_delay * s.attempts;
        self.schedule_start(token, at);
    }

    fn drop_pending_start(&mut self, service: &str, token: u64) {
        if let Some(service_state) = self.services.get_mut(service) {
            service_state.pending_starts.retain(|u| u.0 != token);
        }
    }

    /// Takes the response to [`Order::Stop`]; `ok` also if the platform knows no such instance (404).
    pub fn stop_answered(&mut self, now: Duration, token: u64, ok: bool) {
        let Some((instance, _)) = self.pending_stops.remove(&token) else { return };
        if ok {
            self.move_instance_ended(&instance);
            self.remove_instance(now, &instance, 3 * self.tuning.loss_ttl);
        } else if let Some(h) = self.registry.record_mut(&instance) {
            h.stop_attempts = (h.stop_attempts + 1).min(MAX_RETRY_FACTOR);
            let at = now + self.tuning.retry_delay * h.stop_attempts;
            h.stop_at = Some(at);
            self.stop_queue.insert((at, instance));
        }
    }
}
