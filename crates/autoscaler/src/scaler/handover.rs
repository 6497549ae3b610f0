//! State that the next lease holder takes over.

use super::*;

impl Scaler {
    /// Takes what a scheduler knows from an earlier lease holder: the entries, the highest start number of
    /// each service, and the tag of that numbering (0 if it knows none). May be called once for each
    /// scheduler that reports; the highest tag wins.
    pub fn inherit(&mut self, now: Duration, entries: &[Entry], numbers: &[(String, u32)], tag: u64) {
        if tag > 0 && self.starts.is_empty() && self.inherited_tag.is_none_or(|t| t <= tag) {
            if self.inherited_tag != Some(tag) {
                self.numbers.clear();
            }
            self.inherited_tag = Some(tag);
            self.tag = tag;
            for (service, n) in numbers {
                let known = self.numbers.entry(service.clone()).or_default();
                *known = (*known).max(*n);
            }
        }
        for e in entries {
            self.registry.advance_past(e.version);
            if self.registry.get(&e.instance).is_some() || self.tombstones.contains_key(&e.instance) {
                continue;
            }
            if e.state == InstanceState::Starting {
                if let Some(service_state) = self.services.get(&e.service) {
                    self.last_token += 1;
                    self.capacity.reserve(&e.host, self.last_token, service_state.spec.memory_mb, Some(now));
                }
            }
            let ready_since = (e.state != InstanceState::Starting).then_some(now);
            let ending = e.state == InstanceState::Ending;
            let mut entry = e.clone();
            entry.since_ms = now.as_millis() as u64;
            self.registry.insert(InstanceRecord {
                entry,
                known_since: now,
                ready_since,
                listed: false,
                listed_draining: false,
                missed_lists: 0,
                up_lists: 0,
                stop_at: None,
                stop_sent: ending,
                stop_attempts: 0,
                host_leaving: false,
            });
            self.update_host_state(&e.instance);
            self.note_inherited(now, &e.instance, &e.service);
            if ending {
                self.end(now, &e.instance, self.tuning.stop_delay);
            }
        }
    }

    /// The highest start number of each service, and the tag of the numbering. To be announced before or with
    /// the entries; a number is used once it is in an order.
    pub fn start_numbers(&self) -> (Vec<(String, u32)>, u64) {
        (self.numbers.iter().map(|(s, n)| (s.clone(), *n)).collect(), self.tag)
    }
}
