//! Orders to the platform, and its answers to them.

use super::*;

impl Scaler {
    /// The next call to the platform, if there is one to make now.
    pub fn next(&mut self, now: Duration) -> Option<Order> {
        if self.last_pass.is_none_or(|l| l + self.tuning.pass <= now) {
            self.pass(now);
        }
        while let Some(name) = self.touched.pop_first() {
            self.plan(now, &name);
        }
        // Starts without an answer.
        while let Some((at, token)) = self.again.first().copied() {
            if at > now {
                break;
            }
            if self.starts.get(&token).is_some_and(|s| s.sent) {
                self.again.pop_first();
                self.unclear(now, token);
                continue;
            }
            break;
        }
        self.quiet = None;
        let left = self.pace.left(now);
        if left == 0 {
            return None;
        }
        // A start that waits for its answer may lie before one to repeat; there are few.
        let due = self
            .again
            .iter()
            .take_while(|a| a.0 <= now)
            .find(|a| self.starts.get(&a.1).is_some_and(|s| !s.sent));
        if let Some((at, token)) = due.copied() {
            self.again.remove(&(at, token));
            return self.send(now, token);
        }
        if let Some(order) = self.start(now) {
            return Some(order);
        }
        let reserve = if self.eager.is_empty() { 0 } else { self.pace.most() / 4 };
        if left <= reserve {
            self.quiet = Some(now);
            return None;
        }
        if let Some(order) = self.rebind_order(now) {
            return Some(order);
        }
        while let Some((at, id)) = self.stops.first().cloned() {
            if at > now {
                break;
            }
            self.stops.pop_first();
            let Some(h) = self.book.mark(&id) else { continue };
            h.stop_sent = true;
            h.stop_at = None;
            self.pace.made(now);
            self.tokens += 1;
            self.stopping.insert(self.tokens, (id.clone(), now + self.tuning.answer));
            return Some(Order::Stop { token: self.tokens, instance: id });
        }
        self.quiet = Some(now);
        None
    }

    pub(crate) fn send(&mut self, now: Duration, token: u64) -> Option<Order> {
        let start = self.starts.get_mut(&token)?;
        start.sent = true;
        start.at = now + self.tuning.answer;
        self.again.insert((start.at, token));
        self.pace.made(now);
        let Start { service, host, nonce, .. } = &*start;
        Some(Order::Begin { token, service: service.clone(), host: host.clone(), nonce: nonce.clone() })
    }

    /// A new start, for the service that needs it most.
    fn start(&mut self, now: Duration) -> Option<Order> {
        if !self.listed || !self.room.known || self.starts.len() >= self.tuning.under_way {
            return None;
        }
        let mut blocked = Vec::new();
        let mut order = None;
        while let Some(rank) = self.eager.first().cloned() {
            let name = rank.3.clone();
            let Some(svc) = self.services.get_mut(&name) else {
                self.eager.remove(&rank);
                continue;
            };
            let mut on = BTreeMap::<String, u32>::new();
            for h in self.book.of(&name) {
                *on.entry(h.entry.host.clone()).or_default() += 1;
            }
            for (token, _) in &svc.under_way {
                if let Some(s) = self.starts.get(token) {
                    *on.entry(s.host.clone()).or_default() += 1;
                }
            }
            let memory = svc.spec.memory_mb;
            let zone = svc.lacks.last().cloned().filter(|_| svc.not_before <= now);
            let host = zone.and_then(|z| self.room.place(now, &z, memory, &on, &mut self.chance));
            let Some(host) = host else {
                if svc.not_before <= now {
                    svc.not_before = now + self.tuning.pass;
                    if let Some(r) = &mut self.rebind {
                        r.blocked(now, &name);
                    }
                }
                self.eager.remove(&rank);
                blocked.push(rank);
                continue;
            };
            svc.lacks.pop();
            if svc.lacks.is_empty() {
                self.eager.remove(&rank);
                svc.rank = None;
            }
            self.tokens += 1;
            let token = self.tokens;
            svc.under_way.push((token, self.room.zone(&host).unwrap_or_default().to_string()));
            let n = self.numbers.entry(name.clone()).or_default();
            *n = n.wrapping_add(1);
            let nonce = nonce(self.tag, &name, *n);
            self.room.take(&host, token, memory, None);
            self.starts.insert(
                token,
                Start { service: name, host, nonce, at: now, sent: false, tries: 0, replaces: None },
            );
            order = self.send(now, token);
            break;
        }
        // Tried again in the next pass, which ranks them anew.
        for rank in blocked {
            if let Some(svc) = self.services.get_mut(&rank.3) {
                svc.rank = None;
            }
        }
        order
    }

    /// The answer to [`Order::Begin`].
    pub fn start_answered(&mut self, now: Duration, token: u64, answer: StartResult) {
        let Some(start) = self.starts.get(&token) else { return };
        self.again.remove(&(start.at, token));
        let service = start.service.clone();
        match answer {
            StartResult::Started { instance, address } => {
                let Some(start) = self.starts.remove(&token) else { return };
                self.room.done(&start.host, token, now);
                self.drop_under_way(&service, token);
                self.came(now, &start, Came::Here { instance: instance.clone() });
                self.accession(now, &start, instance, address);
            }
            StartResult::NoCapacity => {
                let Some(start) = self.starts.remove(&token) else { return };
                let until = now + self.terms.list_lag + Duration::from_millis(200);
                self.room.refused(&start.host, token, until);
                self.drop_under_way(&service, token);
                self.came(now, &start, Came::Refused);
            }
            StartResult::UnknownService => {
                let Some(start) = self.starts.remove(&token) else { return };
                self.room.forget(&start.host, token);
                self.drop_under_way(&service, token);
                self.came(now, &start, Came::Refused);
                if let Some(svc) = self.services.get_mut(&service) {
                    svc.not_before = now + Duration::from_secs(1);
                }
            }
            StartResult::RateLimited => {
                let pause = Duration::from_millis(150 + u64::from(self.chance.rand_range(0..100)));
                self.pace.refused(now, pause);
                self.start_again(token, now + pause);
                self.trouble(now);
            }
            StartResult::OutcomeUnknown => {
                self.unclear(now, token);
                self.trouble(now);
            }
        }
        self.touched.insert(service);
    }

    fn accession(&mut self, now: Duration, start: &Start, instance: String, address: SocketAddr) {
        // Already listed, or a repeat of a start whose instance has ended since.
        if start.replaces.is_some() {
            self.book.change(&instance, |h| h.entry.replaces.clone_from(&start.replaces));
        }
        if self.book.get(&instance).is_some() || self.dead.get(&instance).is_some_and(|until| now < *until) {
            return;
        }
        let zone = self.room.zone(&start.host).unwrap_or_default().to_string();
        self.book.insert(Held {
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
            known: now,
            ready: None,
            listed: false,
            listed_draining: false,
            missing: 0,
            up: 0,
            stop_at: None,
            stop_sent: false,
            stop_tries: 0,
            leaving: false,
        });
        self.look_at_host(&instance);
        self.end_if_too_late(now, &instance);
        if !self.services.contains_key(&start.service) {
            self.end(now, &instance, Duration::ZERO);
        }
    }

    fn start_again(&mut self, token: u64, at: Duration) {
        if let Some(s) = self.starts.get_mut(&token) {
            s.sent = false;
            s.at = at;
            self.again.insert((at, token));
        }
    }

    fn unclear(&mut self, now: Duration, token: u64) {
        let Some(s) = self.starts.get_mut(&token) else { return };
        s.tries = (s.tries + 1).min(RETRY_MOST);
        let at = now + self.tuning.repeat * s.tries;
        self.start_again(token, at);
    }

    fn drop_under_way(&mut self, service: &str, token: u64) {
        if let Some(svc) = self.services.get_mut(service) {
            svc.under_way.retain(|u| u.0 != token);
        }
    }

    /// The answer to [`Order::Stop`]; `ok` also when no such instance is known there (404).
    pub fn stop_answered(&mut self, now: Duration, token: u64, ok: bool) {
        let Some((instance, _)) = self.stopping.remove(&token) else { return };
        if ok {
            self.ended(&instance);
            self.lose(now, &instance, 3 * self.tuning.gone_lasts);
        } else if let Some(h) = self.book.mark(&instance) {
            h.stop_tries = (h.stop_tries + 1).min(RETRY_MOST);
            let at = now + self.tuning.repeat * h.stop_tries;
            h.stop_at = Some(at);
            self.stops.insert((at, instance));
        }
    }
}
