//! The owner's side: which call is granted a free slot, which is queued, and which is redirected to another
//! zone.

use crate::function_id::{name_hash, FunctionId};
use crate::messages::Message;
use crate::owners::weight;
use crate::pool::{SlotPool, SlotRequest, Verdict};
use crate::{
    advertised_capacity, ms, Action, Allocator, DIAL_INTERVAL, ISOLATED_RETRY, MAX_HOPS, SHORTAGE_INTERVAL,
};
use std::time::Duration;

impl Allocator {
    pub(crate) fn handle_request(&mut self, function_id: FunctionId, request: SlotRequest, hops: u8) {
        let now = self.now;
        if self.finished.is_finished(&(request.from, request.incarnation, request.seq)) {
            return;
        }
        if self.is_fenced() {
            return self
                .send(request.from, Message::RetryAfter { seq: request.seq, after: ms(ISOLATED_RETRY) });
        }
        let Some(function) = self.functions.get(&function_id).cloned() else {
            return self.send(request.from, Message::RetryAfter { seq: request.seq, after: 300 });
        };
        let score = self.score;
        let pool =
            self.pools.entry(function_id).or_insert_with(|| SlotPool::new(function, now).with_score(score));
        let (free, waiting) = advertised_capacity(pool, now);
        // A repeated request is answered with the grant or the place in the queue that it has.
        if let Some(ledger) = pool.ledgers.iter().find(|b| {
            b.grants
                .iter()
                .any(|l| (l.to, l.incarnation, l.seq) == (request.from, request.incarnation, request.seq))
        }) {
            let (instance, at) = (ledger.entry.instance.clone(), ledger.entry.at);
            return self.send(request.from, Message::Grant { seq: request.seq, instance, at, free, waiting });
        }
        if pool.queue.iter().any(|other| {
            (other.from, other.incarnation, other.seq) == (request.from, request.incarnation, request.seq)
        }) {
            return self.send(request.from, Message::Queued { seq: request.seq, free, waiting });
        }
        let origin = self.owners.member(request.from).map_or(0, |m| name_hash(&m.zone));
        pool.count_arrival(now, origin);
        let accepts_calls = pool.accepts_calls();
        if !accepts_calls {
            self.probe_owner(function_id);
        }
        if !accepts_calls && hops < MAX_HOPS {
            if let Some(zone) = self.other_zone(function_id) {
                return self
                    .send(request.from, Message::Redirect { seq: request.seq, zone: name_hash(&zone) });
            }
        }
        let (from, seq) = (request.from, request.seq);
        if hops < MAX_HOPS && self.pools.get(&function_id).is_some_and(|s| s.wait(now, &request).is_some()) {
            if let Some(zone) = self.better_zone(function_id, &request) {
                return self.send(from, Message::Redirect { seq, zone: name_hash(&zone) });
            }
        }
        let rng = &mut self.rng;
        let pool = match self.pools.get_mut(&function_id) {
            Some(pool) => pool,
            None => return,
        };
        let mut random_below = |n: usize| rng.rand_range(0..n.max(1) as u32) as usize;
        let verdict = pool.request(now, request, &mut random_below);
        let granted = matches!(verdict, Verdict::Granted(_));
        match verdict {
            Verdict::Granted(i) => {
                let (free, waiting) = advertised_capacity(pool, now);
                let (instance, at) = (pool.ledgers[i].entry.instance.clone(), pool.ledgers[i].entry.at);
                self.send(from, Message::Grant { seq, instance, at, free, waiting });
            }
            Verdict::Queued => {}
            Verdict::RetryAfter(after) => self.send(from, Message::RetryAfter { seq, after: ms(after) }),
        }
        if !granted {
            self.announce_capacity(function_id);
        }
        // Starting an instance takes a second: a shortage is reported now, not with the next periodic report.
        if !granted {
            let pause = if accepts_calls { SHORTAGE_INTERVAL } else { SHORTAGE_INTERVAL / 2 };
            let report = self
                .pools
                .get_mut(&function_id)
                .filter(|s| !accepts_calls || s.has_shortage(now))
                .and_then(|s| s.load_report(now, pause));
            self.actions.extend(report.map(Action::InstanceWanted));
        }
    }

    /// Grants free slots to queued requests.
    pub(crate) fn serve(&mut self, function_id: FunctionId) {
        let now = self.now;
        if self.is_fenced() {
            return;
        }
        loop {
            let Some(pool) = self.pools.get_mut(&function_id) else { return };
            let rng = &mut self.rng;
            let mut random_below = |n: usize| rng.rand_range(0..n.max(1) as u32) as usize;
            let Some((i, request)) = pool.serve(now, &mut random_below) else { return };
            let (free, waiting) = advertised_capacity(pool, now);
            let (instance, at) = (pool.ledgers[i].entry.instance.clone(), pool.ledgers[i].entry.at);
            self.send(request.from, Message::Grant { seq: request.seq, instance, at, free, waiting });
        }
    }

    /// Another zone that has instances that accept calls.
    pub(crate) fn other_zone(&self, function_id: FunctionId) -> Option<String> {
        if let Some((zone, ..)) = self.zone_with_capacity(function_id) {
            return Some(zone);
        }
        let ids = self.instances_by_function.get(&function_id)?;
        let others = ids.iter().filter_map(|id| self.entries.get(id)).filter(|e| e.accepts_calls);
        let others = others.filter(|e| self.owner_of(function_id, &e.zone) != Some(self.me));
        others.max_by_key(|e| (e.ready, weight(function_id, &e.at))).map(|e| e.zone.clone())
    }

    pub(crate) fn sweep(&mut self, function_id: FunctionId) {
        let now = self.now;
        if self.is_fenced() {
            self.reject_waiting(function_id);
        }
        let Some(pool) = self.pools.get_mut(&function_id) else { return };
        pool.expire(now);
        let due_checks = pool.due_checks(now);
        let mut dials = Vec::new();
        let boot = pool.function.boot;
        for ledger in &mut pool.ledgers {
            let due = ledger.entry.since + boot.mul_f64(0.5);
            if ledger.entry.accepts_calls
                && !ledger.entry.ready
                && now >= due
                && now >= ledger.dialled + DIAL_INTERVAL
            {
                ledger.refused = ledger.dialled > Duration::ZERO;
                ledger.dialled = now;
                dials.push(Action::Dial { instance: ledger.entry.instance.clone(), at: ledger.entry.at });
            }
        }
        let hopeless = pool.remove_hopeless(now);
        let moved =
            if !pool.queue.is_empty() && !pool.accepts_calls() { self.other_zone(function_id) } else { None };
        self.actions.extend(dials);
        for (to, incarnation, seq, instance) in due_checks {
            self.send(to, Message::CheckGrant { seq, function_id, instance, incarnation });
        }
        for request in hopeless {
            self.send(request.from, Message::RetryAfter { seq: request.seq, after: 250 });
        }
        if let (Some(zone), Some(pool)) = (moved, self.pools.get_mut(&function_id)) {
            for request in std::mem::take(&mut pool.queue) {
                self.send(request.from, Message::Redirect { seq: request.seq, zone: name_hash(&zone) });
            }
        }
        self.serve(function_id);
        self.announce_capacity(function_id);
        self.redirect_waiting(function_id);
    }
}
