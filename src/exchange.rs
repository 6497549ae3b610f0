//! Exchange among schedulers: announcements of slots in use, requests and grants of free slots.

use crate::policy::*;

const REQUEST_FANOUT: usize = 3; // peers asked at a time: every other one has free slots
const REQUEST_INTERVAL: Duration = Duration::from_millis(60); // answers arrive within this
const MAX_REQUESTS: usize = 64; // more requests at a time could not be answered
const MAX_KEPT: f64 = 2.0; // workers with free slots kept for the next arrivals

impl Policy {
    /// A peer grants free slots of a worker to this scheduler.
    pub fn slots_granted(&mut self, i: usize, slots: f64) {
        if i < self.workers.len() && self.mode == Mode::Direct && slots > 0.0 {
            self.add_grant(i, slots.min(self.slots(i)));
        }
    }

    /// A peer with queued tasks requests free slots.
    pub fn slots_requested(&mut self, from: usize) {
        if self.mode == Mode::Direct && from < self.cfg.members && self.grants.requests.len() < MAX_REQUESTS {
            self.grants.requests.push(from);
        }
    }

    /// A peer announces how many slots of a worker it uses.
    pub fn peer_usage(&mut self, i: usize, peer: usize, number: u16, slots: f64) {
        let valid = i < self.workers.len() && peer != self.cfg.position && peer < self.cfg.members;
        if valid && self.mode == Mode::Broadcast {
            self.peers.record_message(peer, self.now);
            self.workers[i].usage.set(peer, number, slots);
        }
    }

    fn add_grant(&mut self, i: usize, slots: f64) {
        let (had, most) = (self.granted(i), self.slots(i));
        (self.workers[i].granted, self.workers[i].granted_at) = ((had + slots).min(most), self.now);
        self.grants.workers.retain(|&x| x != i);
        self.grants.workers.push_back(i);
    }

    pub(crate) fn granted(&self, i: usize) -> f64 {
        self.workers[i].granted_slots(self.now, self.grant_ttl)
    }

    fn queued(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    /// Slots freed by local tasks: kept for the next arrivals, else granted to a random peer or a requester.
    pub(crate) fn grant_slots(&mut self) -> Option<Decision> {
        if self.grants.freed.is_empty() && self.grants.requests.is_empty() {
            return None;
        }
        let waits = self.queued();
        self.grants.workers.retain(|&i| self.workers[i].granted_slots(self.now, self.grant_ttl) > 0.0);
        while let Some((worker, slots)) = self.grants.freed.pop() {
            let kept = self.grants.workers.len() as f64;
            if self.mode == Mode::Broadcast || (waits || kept < MAX_KEPT) && self.in_use + kept < self.fair {
                self.add_grant(worker, slots);
            } else {
                return Some(Decision::Grant { to: self.random_peer(), worker, slots });
            }
        }
        let to = self.grants.requests.pop().filter(|_| !waits)?;
        let worker = self.grants.workers.pop_front()?;
        let slots = std::mem::take(&mut self.workers[worker].granted);
        Some(Decision::Grant { to, worker, slots })
    }

    fn random_peer(&mut self) -> usize {
        let to = self.rng.0.rand_range(0..self.cfg.members as u64 - 1) as usize;
        to + usize::from(to >= self.cfg.position)
    }

    pub(crate) fn request_slots(&mut self) {
        if self.queued() && self.mode == Mode::Direct && self.now >= self.grants.sent_at + REQUEST_INTERVAL {
            self.grants.sent_at = self.now;
            for _ in 0..REQUEST_FANOUT {
                let to = self.random_peer();
                self.output.push_back(Decision::RequestSlots { to });
            }
        }
    }

    /// Announces local load, so that peers count it: workers that changed, and one more in turn.
    pub(crate) fn announce(&mut self) {
        if self.mode != Mode::Broadcast || self.workers.is_empty() {
            self.changed.clear();
        } else if self.now >= self.peers.sent_at + SEND_INTERVAL && !self.changed.is_empty() {
            let extra = self.peers.next_worker(self.now, self.workers.len());
            self.changed.push(extra);
            self.changed.sort_unstable();
            self.changed.dedup();
            for worker in self.changed.drain(..) {
                self.output.push_back(Decision::Announce { worker, slots: self.workers[worker].n });
            }
        }
    }
}
