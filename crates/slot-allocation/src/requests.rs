//! The requester's side: in which zone a slot is requested for a call, from which owner, how often the
//! request is resent, and when the call is given up.

use crate::defects::{injected, Defect};
use crate::function_id::{name_hash, FunctionId};
use crate::messages::Message;
use crate::owners::weight;
use crate::{
    ms, Action, Allocator, Call, Stage, CROSS_REGION_COST, ISOLATED_RETRY, MAX_ATTEMPTS, MAX_CALLS,
    RESEND_AFTER, RESEND_FOR, RESEND_QUEUED_AFTER, RESPONSIVE_FOR, SAME_REGION_COST, UNANSWERED_LIMIT,
};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

impl Allocator {
    /// Requests a slot for a call. The returned number identifies the call in `Dispatch` and `Reject`. `aim`
    /// and `end` are times by the same clock as `now`.
    pub fn request_slot(
        &mut self,
        now: Duration,
        function_id: FunctionId,
        priority: u8,
        aim: Duration,
        end: Duration,
        avoid: &str,
    ) -> u32 {
        self.now = now;
        let seq = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        if self.calls.len() >= MAX_CALLS || !self.functions.contains_key(&function_id) {
            self.actions.push_back(Action::Reject { call: seq, after: Duration::from_millis(300) });
            return seq;
        }
        let avoid = if avoid.is_empty() { 0 } else { name_hash(avoid) };
        let stage = Stage::Requesting { to: self.me, sent: now, tries: 0, waits: false, hops: 0 };
        self.calls.insert(seq, Call { function_id, priority, aim, end, arrived: now, avoid, stage });
        self.request(seq, 0);
        self.pump();
        seq
    }

    /// The zones that have instances of this function that accept calls; for each whether one of them has
    /// started, and the highest weight.
    pub(crate) fn zones_of(&self, function_id: FunctionId) -> BTreeMap<&str, (bool, u64)> {
        let mut zones: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
        for id in self.instances_by_function.get(&function_id).into_iter().flatten() {
            let Some(entry) = self.entries.get(id).filter(|entry| entry.accepts_calls) else { continue };
            let (ready, heavy) = zones.entry(&entry.zone).or_default();
            // The weight is taken over started instances where there are any, else over those that are
            // starting.
            if entry.ready && !*ready {
                (*ready, *heavy) = (true, weight(function_id, &entry.at));
            } else if entry.ready == *ready {
                *heavy = (*heavy).max(weight(function_id, &entry.at));
            }
        }
        zones
    }

    /// The zone in which to request a slot: the nearest that has instances and, as far as is known, free
    /// slots.
    pub(crate) fn zone_for(&self, function_id: FunctionId) -> String {
        let local_region = self.region(&self.zone);
        let cost = |zone: &str, ready: bool| {
            let far =
                if zone == self.zone { 0 } else { 2 + 2 * u32::from(self.region(zone) != local_region) };
            let starting = if ready { 0 } else { 8 };
            let full = self
                .capacity_at(function_id, zone)
                .is_some_and(|capacity| capacity.free == 0 || capacity.waiting > 0);
            let silent = self.owner_of(function_id, zone).is_none_or(|at| self.suspects.contains_key(&at));
            far + starting + if full { 5 } else { 0 } + if silent { 30 } else { 0 }
        };
        let zones = self.zones_of(function_id);
        let best = zones.iter().min_by_key(|(zone, (ready, heavy))| (cost(zone, *ready), *heavy));
        best.map_or_else(|| self.zone.clone(), |(zone, _)| zone.to_string())
    }

    /// The time that a redirect to a zone costs a call.
    pub(crate) fn redirect_cost(&self, zone: &str) -> Duration {
        if self.region(zone) == self.region(&self.zone) {
            SAME_REGION_COST
        } else {
            CROSS_REGION_COST
        }
    }

    pub(crate) fn request(&mut self, seq: u32, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        let zone = self.zone_for(call.function_id);
        self.request_in(seq, &zone, hops);
    }

    pub(crate) fn request_in(&mut self, seq: u32, zone: &str, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        // Before any owner is known the call waits for one; this does not indicate a lack of instances.
        let Some(to) = self.owner_of(call.function_id, zone) else { return };
        if to != self.me && (self.is_isolated() || !self.can_name(to, call.function_id)) {
            // No reply would arrive, or a slot of another function: the client may reach another process.
            self.calls.remove(&seq);
            self.actions.push_back(Action::Reject { call: seq, after: ISOLATED_RETRY });
            return;
        }
        let message = self.request_message(seq, call, hops);
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&seq) {
            call.stage = Stage::Requesting { to, sent: now, tries: 1, waits: false, hops };
        }
        self.send(to, message);
    }

    pub(crate) fn request_message(&self, seq: u32, call: &Call, hops: u8) -> Message {
        let (aim, left) = (call.aim.saturating_sub(self.now), call.end.saturating_sub(self.now));
        Message::Request {
            seq,
            function_id: call.function_id,
            priority: call.priority,
            aim: ms(aim),
            left: ms(left),
            avoid: call.avoid,
            hops,
        }
    }

    /// Calls whose request went to a process that no longer owns instances of their function are requested
    /// from the owners.
    pub(crate) fn retarget_requests(&mut self) {
        let requested = self.calls.values().filter_map(|call| match call.stage {
            Stage::Requesting { to, .. } if to != self.me => Some((call.function_id, to)),
            _ => None,
        });
        let requested: HashSet<(FunctionId, SocketAddr)> = requested.collect();
        let owns = |(function_id, at): &(FunctionId, SocketAddr)| {
            self.zones_of(*function_id).keys().any(|zone| self.owner_of(*function_id, zone) == Some(*at))
        };
        let owners: HashSet<(FunctionId, SocketAddr)> = requested.into_iter().filter(owns).collect();
        self.resend_requests(|function_id, to| !owners.contains(&(function_id, to)));
    }

    /// Sends the requests of calls that arrived before any owner was known.
    pub(crate) fn request_without_owner(&mut self) {
        let unasked = |call: &Call| matches!(call.stage, Stage::Requesting { tries: 0, .. });
        let unasked: Vec<u32> =
            self.calls.iter().filter(|(_, call)| unasked(call)).map(|(seq, _)| *seq).collect();
        unasked.into_iter().for_each(|seq| self.request(seq, 0));
    }

    /// Repeats the requests of calls that await a reply of another process for which `which` holds.
    pub(crate) fn resend_requests(&mut self, which: impl Fn(FunctionId, SocketAddr) -> bool) {
        let waits = |(&seq, call): (&u32, &Call)| match call.stage {
            Stage::Requesting { to, .. } if to != self.me && which(call.function_id, to) => {
                Some((seq, call.function_id, to))
            }
            _ => None,
        };
        let lost: Vec<(u32, FunctionId, SocketAddr)> = self.calls.iter().filter_map(waits).collect();
        for (seq, function_id, to) in lost {
            if self.owners.member(to).is_some() {
                self.return_unused(to, seq, function_id, 0);
            }
            self.request(seq, 0);
        }
    }

    /// Called when this process refused a grant; the process that granted it pauses the instance. Where that
    /// process has no other, it redirects or queues the request, as with any.
    pub(crate) fn request_again_elsewhere(&mut self, seq: u32, granted_by: SocketAddr) {
        let Some(Call { stage: Stage::Requesting { to, hops, .. }, .. }) = self.calls.get(&seq) else {
            return;
        };
        // If another process was asked meanwhile, that one replies too.
        if *to == granted_by {
            let hops = hops.saturating_add(1);
            self.request(seq, hops);
        }
    }

    /// Resends requests and returns that are unanswered. Owners that do not reply are suspected.
    pub(crate) fn resend(&mut self) {
        let now = self.now;
        let (mut messages, mut silent, mut expired, mut ended) =
            (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut holds = Vec::new();
        for (&seq, call) in &mut self.calls {
            match &mut call.stage {
                Stage::Requesting { to, sent, tries, waits, hops } => {
                    if call.end <= now && !injected(Defect::DeadlineIgnored) {
                        expired.push(seq);
                        continue;
                    }
                    if *tries == 0 {
                        if now >= call.arrived + UNANSWERED_LIMIT {
                            expired.push(seq);
                        }
                        continue;
                    }
                    // A request that is known to be queued is repeated at long intervals; once one of these
                    // goes unanswered, as often as any.
                    let known = *waits && *tries == 1;
                    let pause =
                        if known { RESEND_QUEUED_AFTER } else { RESEND_AFTER * (1 << (*tries - 1).min(3)) };
                    if *to != self.me && now >= *sent + pause {
                        // An owner heard from since is alive and has only missed this request: it is sent
                        // again.
                        let responsive = self
                            .incarnations
                            .last_received(to)
                            .is_some_and(|received| received + RESPONSIVE_FOR > now);
                        if *tries >= MAX_ATTEMPTS && responsive {
                            (*sent, *tries) = (now, 1);
                            messages.push((*to, seq, *hops));
                        } else if *tries >= MAX_ATTEMPTS {
                            silent.push(*to);
                        } else {
                            (*sent, *tries) = (now, *tries + 1);
                            messages.push((*to, seq, *hops));
                        }
                    }
                }
                Stage::Holding { owner, instance, reported: Some((sent, tries)), .. } => {
                    if now >= *sent + RESEND_AFTER * (1 << (*tries - 1).min(4)) {
                        (*sent, *tries) = (now, *tries + 1);
                        let left = ms(call.end.saturating_sub(now));
                        let message = Message::Holds {
                            seq,
                            function_id: call.function_id,
                            instance: instance.clone(),
                            left,
                        };
                        holds.push((*owner, message));
                    }
                }
                Stage::Holding { .. } => {}
                Stage::Returning { owner, ended: how, ms, sent, tries, began } => {
                    if now > *began + RESEND_FOR {
                        ended.push(seq);
                    } else if now >= *sent + RESEND_AFTER * (1 << (*tries - 1).min(4)) {
                        (*sent, *tries) = (now, *tries + 1);
                        let message =
                            Message::Return { seq, function_id: call.function_id, ended: *how, ms: *ms };
                        self.outgoing.entry(*owner).or_default().push(message);
                    }
                }
            }
        }
        for (to, message) in holds {
            self.send(to, message);
        }
        self.unused_grants.retain(|unused| now <= unused.began + RESEND_FOR);
        for unused in &mut self.unused_grants {
            if now >= unused.sent + RESEND_AFTER * (1 << (unused.tries - 1).min(4)) {
                (unused.sent, unused.tries) = (now, unused.tries + 1);
                let message = unused.message();
                self.outgoing.entry(unused.to).or_default().push(message);
            }
        }
        for (to, seq, hops) in messages {
            if let Some(message) = self.calls.get(&seq).map(|call| self.request_message(seq, call, hops)) {
                self.send(to, message);
            }
        }
        for seq in ended {
            self.calls.remove(&seq);
        }
        for seq in expired {
            if let Some(Call { function_id, stage: Stage::Requesting { to, .. }, .. }) =
                self.calls.remove(&seq)
            {
                self.return_unused(to, seq, function_id, 0);
            }
            self.actions.push_back(Action::Reject { call: seq, after: Duration::from_millis(200) });
        }
        self.suspect(silent);
    }
}
