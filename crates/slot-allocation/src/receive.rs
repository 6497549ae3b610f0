//! Received datagrams: which incarnation sent them, and how each message is handled.

use crate::datagram::{Datagram, Form};
use crate::defects::{injected, Defect};
use crate::finished_calls::Finish;
use crate::function_id::{name_hash, FunctionId};
use crate::handover::Cause;
use crate::incarnations::Sender;
use crate::ledger::{InstanceLedger, SlotGrant};
use crate::messages::{Ended, Message};
use crate::pool::SlotRequest;
use crate::{ms, Action, Allocator, Call, Stage, RESEND_AFTER, RESEND_FOR, SUSPECT_RETRY};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Allocator {
    /// Handles a datagram. Returns false for one that cannot be decoded; it is dropped.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> bool {
        self.now = now;
        let Some(datagram) = Datagram::decode(bytes) else { return false };
        let sender = self.incarnations.receive(now, self.awake, from, datagram.incarnation);
        if sender == Sender::Disputed {
            self.query_incarnation(from);
        }
        if matches!(sender, Sender::Former | Sender::Disputed) {
            self.receive_former(from, datagram);
            return true;
        }
        self.suspects.remove(&from);
        if self.owners.note_alive(from) {
            self.update_all_pools(Cause::Liveness);
            self.report_held_to_new_owners(&HashSet::new());
        }
        // Messages sent while the process was cut off are lost: it is queried about the grants that it had
        // then.
        let last = match sender {
            Sender::Same { last } | Sender::New { last } => last,
            Sender::Unknown | Sender::Former | Sender::Disputed => None,
        };
        if last.is_none_or(|received| received + SUSPECT_RETRY < now) {
            self.pools.values_mut().for_each(|pool| pool.check_requester(now, from));
        }
        // A new incarnation of a process does not know the grants of the one before, and awaits nothing that
        // the one before requested.
        if matches!(sender, Sender::New { .. }) {
            self.report_held_to_new_owners(&HashSet::from([from]));
            self.pools.values_mut().for_each(|pool| pool.forget_requests(from, datagram.incarnation));
        }
        for message in datagram.messages {
            let message = self.identify_function(message);
            self.handle_message(from, datagram.incarnation, message);
        }
        self.pump();
        true
    }

    /// Processes of earlier releases name a function by its short hash. It stands for the one function of the
    /// configuration that has it; of two, neither is meant for certain, and the message is about none of them.
    fn identify_function(&self, message: Message) -> Message {
        message.map_function(|id| match id.is_short() && id != FunctionId::NONE {
            true => self.only_function(id.short_hash()).unwrap_or(id),
            false => id,
        })
    }

    /// The function of the configuration that has this short hash, if there is exactly one.
    fn only_function(&self, short_hash: u32) -> Option<FunctionId> {
        let from = FunctionId::with_short_hash(short_hash);
        let mut ids = self.functions.range(from..).map(|(id, _)| *id);
        let first = ids.next().filter(|id| id.short_hash() == short_hash)?;
        ids.next().is_none_or(|second| second.short_hash() != short_hash).then_some(first)
    }

    /// Whether a message to this process can name the function. Processes of earlier releases take functions
    /// with the same short hash for one.
    pub(crate) fn can_name(&self, to: SocketAddr, id: FunctionId) -> bool {
        self.incarnations.form(&to) == Form::Identifiers || self.only_function(id.short_hash()) == Some(id)
    }

    /// Finds out which of two incarnations is the present one: the one that answers a message with a number
    /// that was never used.
    pub(crate) fn query_incarnation(&mut self, at: SocketAddr) {
        let now = self.now;
        if self.incarnation_queries.get(&at).is_some_and(|(_, sent_at)| now < *sent_at + RESEND_AFTER) {
            return;
        }
        self.incarnation_queries.retain(|_, (_, sent_at)| now < *sent_at + RESEND_FOR);
        let number = self.rng.rand_u32() | 1;
        self.incarnation_queries.insert(at, (number, now));
        self.send(at, Message::Release { seq: number, function_id: FunctionId::NONE, instance: 0 });
    }

    /// A late datagram of a former incarnation can still return the slots that it held, and nothing else.
    pub(crate) fn receive_former(&mut self, from: SocketAddr, datagram: Datagram) {
        for message in datagram.messages {
            let answers =
                |(number, _): &(u32, Duration)| message == Message::ReleaseAck { seq: *number, instance: 0 };
            if self.incarnation_queries.get(&from).is_some_and(answers) {
                self.incarnation_queries.remove(&from);
                self.incarnations.answered(self.now, self.awake, from, datagram.incarnation);
                self.pools.values_mut().for_each(|pool| pool.forget_requests(from, datagram.incarnation));
                self.report_held_to_new_owners(&HashSet::from([from]));
            }
            if matches!(message, Message::Return { .. } | Message::Release { .. } | Message::Refused { .. }) {
                let message = self.identify_function(message);
                self.handle_message(from, datagram.incarnation, message);
            }
        }
        self.pump();
    }

    pub(crate) fn granted(
        &mut self,
        from: SocketAddr,
        seq: u32,
        instance: String,
        at: SocketAddr,
        free: u8,
        waiting: u8,
    ) {
        let now = self.now;
        // Granted to an earlier incarnation of this process: the owner holds the slot until that call must be
        // over.
        if seq.wrapping_sub(self.first) >= self.next.wrapping_sub(self.first)
            && !injected(Defect::NumbersReused)
        {
            return;
        }
        let id = name_hash(&instance);
        let fits = |function_id| {
            let entry = self.entries.get(&instance);
            entry.is_none_or(|entry| entry.function_id == function_id) || injected(Defect::NumbersReused)
        };
        let may_send = self.may_send_to(&instance);
        match self.calls.get_mut(&seq) {
            Some(call)
                if matches!(call.stage, Stage::Requesting { .. }) && fits(call.function_id) && !may_send =>
            {
                let function_id = call.function_id;
                call.avoid = id;
                self.give_back(from, seq, function_id, id, true);
                self.request_again_elsewhere(seq, from);
            }
            Some(call) if matches!(call.stage, Stage::Requesting { .. }) && fits(call.function_id) => {
                let function_id = call.function_id;
                let requested_from = match call.stage {
                    Stage::Requesting { to, .. } => to,
                    _ => from,
                };
                let held = instance.clone();
                call.stage = Stage::Holding {
                    owner: from,
                    granted_by: from,
                    instance: held,
                    since: now,
                    reported: None,
                };
                let left = ms(call.end.saturating_sub(now));
                // Another process granted a slot before the one that was asked last.
                if requested_from != from {
                    self.return_unused(requested_from, seq, function_id, 0);
                }
                self.note_capacity(function_id, from, free, waiting, 0);
                // Granted by a process that is no longer the owner: the present owner counts the slot as held
                // until it is returned or its call is over.
                let zone = self.entries.get(&instance).map(|entry| entry.zone.clone());
                if let Some(present) =
                    zone.and_then(|zone| self.owner_of(function_id, &zone)).filter(|at| *at != from)
                {
                    self.report_held(seq, present, function_id, instance.clone(), left);
                }
                self.actions.push_back(Action::Dispatch { call: seq, instance, at });
            }
            // The same grant again: the reply to a request that was sent twice.
            Some(Call { stage: Stage::Holding { instance: held, .. }, .. }) if *held == instance => {}
            // The call is over, or another owner was quicker.
            other => {
                let function_id = other.map(|call| call.function_id);
                let function_id =
                    function_id.or_else(|| self.entries.get(&instance).map(|entry| entry.function_id));
                if let Some(function_id) = function_id {
                    self.return_unused(from, seq, function_id, id);
                }
            }
        }
    }

    /// A requester returns a slot, or withdraws a request. Without a function (the return of a grant that nobody
    /// awaits) all pools are searched.
    fn slot_returned(
        &mut self,
        from: SocketAddr,
        incarnation: u32,
        seq: u32,
        function_id: FunctionId,
        ended: Ended,
    ) {
        let now = self.now;
        if from != self.me {
            self.finished.note(self.awake, (from, incarnation, seq), Finish::Returned);
        }
        let searched: Vec<FunctionId> = match function_id {
            FunctionId::NONE => self.pools.keys().copied().collect(),
            function_id => vec![function_id],
        };
        let (mut gone, mut returned_to) = (None, None);
        for function_id in searched {
            let Some(pool) = self.pools.get_mut(&function_id) else { continue };
            let calls_before = pool.granted() + pool.queue.len();
            gone = pool.return_slot(now, from, incarnation, seq, ended);
            if gone.is_some() || pool.granted() + pool.queue.len() != calls_before {
                returned_to = Some(function_id);
                break;
            }
        }
        if returned_to.is_none() {
            let others = |grants: &mut Vec<SlotGrant>| {
                grants.retain(|grant| !grant.matches(from, incarnation, seq));
            };
            self.parked.values_mut().for_each(others);
        }
        if let Some(ledger) = gone {
            self.instance_gone(ledger);
        }
        self.send(from, Message::ReturnAck { seq });
        if let Some(function_id) = returned_to.filter(|_| !injected(Defect::QueueNotServed)) {
            self.serve(function_id);
        }
    }

    /// The instance no longer responds. The list may show it again while other calls still run there.
    fn instance_gone(&mut self, ledger: InstanceLedger) {
        let instance = ledger.entry.instance;
        self.forget(&instance);
        if !ledger.grants.is_empty() {
            self.parked.insert(instance.clone(), ledger.grants);
        }
        self.actions.push_back(Action::InstanceGone { instance });
    }

    /// A requester reports a slot that another owner granted, or about which it was asked.
    fn held_slot_reported(&mut self, grant: SlotGrant, function_id: FunctionId, instance: String) {
        let (from, seq) = (grant.to, grant.seq);
        if injected(Defect::HoldsIgnored) || self.finished.is_returned(&(from, grant.incarnation, seq)) {
            return;
        }
        let now = self.now;
        let Some(pool) = self.pools.get_mut(&function_id) else { return };
        if pool.record_held(now, grant, &instance) {
            self.send(from, Message::HoldsAck { seq, function_id, instance: name_hash(&instance) });
        }
    }

    /// A parked grant of an instance with this hash is not held any more.
    fn forget_parked(&mut self, from: SocketAddr, incarnation: u32, seq: u32, instance: u32) {
        let parked = self.parked.iter_mut().filter(|(id, _)| name_hash(id) == instance);
        parked.for_each(|(_, grants)| grants.retain(|grant| !grant.matches(from, incarnation, seq)));
    }

    pub(crate) fn handle_message(&mut self, from: SocketAddr, incarnation: u32, message: Message) {
        let now = self.now;
        match message {
            Message::Request { seq, function_id, priority, aim, left, avoid, hops } => {
                let request = SlotRequest {
                    from,
                    incarnation,
                    seq,
                    priority,
                    arrived: now,
                    aim: now + Duration::from_millis(aim.into()),
                    end: now + Duration::from_millis(left.into()),
                    avoid,
                    late: false,
                    hops,
                };
                self.handle_request(function_id, request, hops);
            }
            Message::Return { seq, function_id, ended, .. } => {
                self.slot_returned(from, incarnation, seq, function_id, ended)
            }
            Message::Holds { seq, function_id, instance, left } => {
                let left = Duration::from_millis(left.into());
                let grant = SlotGrant::reported(now, from, incarnation, seq, left);
                self.held_slot_reported(grant, function_id, instance)
            }
            Message::HoldsAck { seq, function_id, instance } => match self.calls.get_mut(&seq) {
                Some(Call { stage: Stage::Holding { owner, reported, .. }, .. }) => {
                    if *owner == from {
                        *reported = None;
                    }
                }
                // The slot was returned before the report was acknowledged.
                _ => self.return_unused(from, seq, function_id, instance),
            },
            Message::Release { seq, function_id, instance } => {
                if instance == 0 && from != self.me {
                    self.finished.note(self.awake, (from, incarnation, seq), Finish::Served);
                }
                if let Some(pool) = self.pools.get_mut(&function_id) {
                    pool.release(from, incarnation, seq, instance);
                }
                self.forget_parked(from, incarnation, seq, instance);
                self.send(from, Message::ReleaseAck { seq, instance });
                self.serve(function_id);
            }
            Message::Refused { seq, function_id, instance } => {
                if let Some(pool) = self.pools.get_mut(&function_id) {
                    pool.refuse(now, from, incarnation, seq, instance);
                }
                self.forget_parked(from, incarnation, seq, instance);
                self.send(from, Message::ReleaseAck { seq, instance });
                self.serve(function_id);
            }
            Message::ReleaseAck { seq, instance } => {
                self.unused_grants.retain(|s| (s.to, s.seq, s.instance) != (from, seq, instance));
            }
            Message::Handover { function_id, instance, grants, complete } => {
                self.take_over(from, function_id, instance, grants, complete)
            }
            Message::HandoverAck { instance } => self.handover_acknowledged(from, instance),
            Message::Claim { function_id, instance } => self.claimed(from, function_id, instance),
            Message::HandedTo { function_id, instance, owner } => {
                self.redirect_claim(from, function_id, &instance, owner)
            }
            Message::Capacity { function_id, free, waiting, run } => {
                self.note_capacity(function_id, from, free, waiting, run);
                if waiting > 0 {
                    if self.short_peers.len() < 4096 {
                        self.short_peers.insert((function_id, from), now);
                    }
                    self.announce_capacity(function_id);
                } else if free > 0 {
                    self.redirect_waiting(function_id);
                }
            }
            Message::CheckGrant { seq, function_id, instance, incarnation } => {
                if incarnation != self.incarnation {
                    return;
                }
                match self.calls.get(&seq) {
                    Some(Call { end, stage: Stage::Holding { instance: held, .. }, .. })
                        if name_hash(held) == instance =>
                    {
                        let (instance, left) = (held.clone(), ms(end.saturating_sub(now)));
                        self.send(from, Message::Holds { seq, function_id, instance, left });
                    }
                    // The grant or the return is on its way.
                    Some(Call { stage: Stage::Requesting { .. }, .. }) => {}
                    _ => self.send(from, Message::Release { seq, function_id, instance }),
                }
            }
            Message::Grant { seq, instance, at, free, waiting } => {
                self.granted(from, seq, instance, at, free, waiting)
            }
            Message::Queued { seq, free, waiting } => {
                let waiting_function = self.calls.get_mut(&seq).and_then(|call| match &mut call.stage {
                    Stage::Requesting { to, waits, tries, .. } if *to == from => {
                        (*waits, *tries) = (true, 1);
                        Some(call.function_id)
                    }
                    _ => None,
                });
                if let Some(function_id) = waiting_function {
                    self.note_capacity(function_id, from, free, waiting, 0);
                }
            }
            Message::Redirect { seq, zone } => {
                let Some(call) = self.calls.get(&seq) else { return };
                let Stage::Requesting { to, hops, .. } = call.stage else { return };
                if to != from {
                    return;
                }
                let mut zones = self.owners.members().iter().map(|m| &m.zone);
                let named = zones.find(|name| name_hash(name) == zone).cloned();
                match named {
                    Some(zone) => self.request_in(seq, &zone, hops.saturating_add(1)),
                    None => self.request(seq, hops.saturating_add(1)),
                }
            }
            Message::RetryAfter { seq, after } => {
                let Some(call) = self.calls.get(&seq) else { return };
                if matches!(call.stage, Stage::Requesting { to, .. } if to == from) {
                    let function_id = call.function_id;
                    self.calls.remove(&seq);
                    self.note_capacity(function_id, from, 0, 1, 0);
                    self.actions
                        .push_back(Action::Reject { call: seq, after: Duration::from_millis(after.into()) });
                }
            }
            Message::ReturnAck { seq } => {
                if matches!(
                    self.calls.get(&seq).map(|c| &c.stage),
                    Some(Stage::Returning { owner, .. }) if *owner == from
                ) {
                    self.calls.remove(&seq);
                }
            }
        }
    }
}
