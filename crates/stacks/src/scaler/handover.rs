//! What the next holder of the lease takes over, and what it is told by.

use super::*;

impl Scaler {
    /// What the schedulers knew under an earlier holder: the entries, the highest accession number
    /// of each service, and the tag of that numbering (0 if they know none). May be called for
    /// each scheduler that tells; of several tags the highest holds.
    pub fn inherit(&mut self, now: Duration, entries: &[Entry], numbers: &[(String, u32)], tag: u64) {
        if tag > 0 && self.starts.is_empty() && self.inherited_tag.is_none_or(|t| t <= tag) {
            if self.inherited_tag != Some(tag) {
                self.numbers.clear();
            }
            self.inherited_tag = Some(tag);
            self.tag = tag;
            for (service, n) in numbers {
                let own = self.numbers.entry(service.clone()).or_default();
                *own = (*own).max(*n);
            }
        }
        for e in entries {
            self.book.beyond(e.version);
            if self.book.get(&e.instance).is_some() || self.dead.contains_key(&e.instance) {
                continue;
            }
            if e.state == InstanceState::Starting {
                if let Some(svc) = self.services.get(&e.service) {
                    self.tokens += 1;
                    self.room.take(&e.host, self.tokens, svc.spec.memory_mb, Some(now));
                }
            }
            let ready = (e.state != InstanceState::Starting).then_some(now);
            let ending = e.state == InstanceState::Ending;
            let mut entry = e.clone();
            entry.since_ms = now.as_millis() as u64;
            self.book.insert(Held {
                entry,
                known: now,
                ready,
                listed: false,
                listed_draining: false,
                missing: 0,
                up: 0,
                stop_at: None,
                stop_sent: ending,
                stop_tries: 0,
                leaving: false,
            });
            self.look_at_host(&e.instance);
            self.welcome(now, &e.instance, &e.service);
            if ending {
                self.end(now, &e.instance, self.tuning.ending);
            }
        }
    }

    /// The highest accession number of each service, and the tag of the numbering. To be told
    /// before or with the entries; a number is used once it is in an order.
    pub fn start_numbers(&self) -> (Vec<(String, u32)>, u64) {
        (self.numbers.iter().map(|(s, n)| (s.clone(), *n)).collect(), self.tag)
    }
}
