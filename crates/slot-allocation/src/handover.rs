//! Changes of owner. When the former owner of an instance learns of the change it stops granting slots there
//! and hands its grants over; the new owner waits for that before it grants any. A former owner that does not
//! reply is not taken for ended: a process that lacks processor time, or sits behind a congested link, is
//! silent too, and two owners of one instance grant more slots than it has. The new owner requests the
//! handover (`Claim`), so that a process that has nothing to hand over replies at once. The wait ends with
//! the handover, with evidence that the former process has ended, or after `HANDOVER_TIMEOUT`.

use crate::defects::{injected, Defect};
use crate::function_id::{name_hash, FunctionId};
use crate::ledger::{InstanceLedger, SlotGrant};
use crate::messages::{GrantedSlot, Message, MAX_GRANTED_SLOTS};
use crate::owners::owner_among;
use crate::pool::Entry;
use crate::{Action, Allocator, Member, RESEND_AFTER, RESEND_FOR};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest that a new owner waits for the handover of the former one.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Without a former owner to wait for, requesters have this long to report the slots that they hold.
const REPORT_WAIT: Duration = Duration::from_millis(200);
/// The same while the members are provisional: the processes of one zone discover each other within this
/// time.
const PROVISIONAL_REPORT_WAIT: Duration = Duration::from_millis(400);
/// For this long a former owner that received a claim, but has not learned of a change, grants no slot of the
/// instance. After that it has learned of the change, or the claim came from a process that is behind.
const DISPUTE_PAUSE: Duration = Duration::from_millis(1200);
/// An instance that is first listed this soon after a change of owners may have had slots granted by another
/// process.
const CHANGE_WINDOW: Duration = Duration::from_secs(2);
/// How long a handover is kept that arrives before this process knows that it is the owner.
const EARLY_KEPT: Duration = Duration::from_secs(1);
/// How long the process that received an instance is remembered. This serves processes that learn of two
/// changes as one.
const HANDED_KEPT: Duration = Duration::from_secs(10);
/// Bounds on the state kept for handovers.
const MAX_EARLY: usize = 16_384;
const MAX_PENDING: usize = 16_384;
const MAX_HANDED: usize = 16_384;

/// Why owners are computed again.
pub(crate) enum Cause<'a> {
    /// Other instances, or another configuration.
    Update,
    /// Other members; holds the former ones.
    Members(&'a [Member]),
    /// The process of a member has ended, or was heard from again.
    Liveness,
}

/// The state in which a new owner begins with an instance.
pub(crate) struct InitialState {
    /// No slots are granted before this time.
    pub paused_until: Duration,
    /// The former owner whose handover ends the pause.
    pub awaits: Option<SocketAddr>,
}

/// A handover that is not acknowledged yet.
pub(crate) struct Pending {
    to: SocketAddr,
    function_id: FunctionId,
    instance: String,
    grants: Vec<SlotGrant>,
    complete: bool,
    sent: Duration,
    tries: u32,
    began: Duration,
}

/// Grants that were handed over before this process knew that it is the owner.
pub(crate) struct Early {
    arrived: Duration,
    complete: bool,
    pub grants: Vec<SlotGrant>,
}

impl Allocator {
    /// The state in which this process begins with an instance that it owns from now on.
    pub(crate) fn initial_state(&self, entry: &Entry, boot: Duration, cause: &Cause) -> InitialState {
        let now = self.now;
        let at_once = InitialState { paused_until: Duration::ZERO, awaits: None };
        let span = if self.owners.is_provisional() { PROVISIONAL_REPORT_WAIT } else { REPORT_WAIT };
        let after_reports = InitialState { paused_until: now + span, awaits: None };
        // Nobody has granted slots of an instance that has just started; one that started before this process
        // did may have grants.
        let young = entry.since > Duration::ZERO;
        let fresh = young && !entry.ready && now < entry.since + boot.mul_f64(0.5);
        if fresh || injected(Defect::GrantsBeforeHandover) {
            return at_once;
        }
        if let Some(early) = self.early.get(&entry.instance) {
            return if early.complete { at_once } else { after_reports };
        }
        let former = match cause {
            Cause::Update if now >= self.began.max(self.changed) + CHANGE_WINDOW => return at_once,
            Cause::Liveness => return after_reports,
            Cause::Update => &self.former,
            Cause::Members(former) => *former,
        };
        match self.former_owner(former, entry) {
            Some(at) if !self.is_known_ended(at) && !injected(Defect::HandoverNotAwaited) => {
                InitialState { paused_until: now + HANDOVER_TIMEOUT, awaits: Some(at) }
            }
            _ => after_reports,
        }
    }

    /// The owner under the former members. A process that was not among them takes the owner that the members
    /// without itself would have.
    fn former_owner(&self, former: &[Member], entry: &Entry) -> Option<SocketAddr> {
        let was_member = former.iter().any(|member| member.at == self.me);
        let others = || self.owners.members().iter().filter(|member| member.at != self.me);
        let owner = match was_member {
            true => owner_among(former.iter(), entry.function_id, &entry.zone),
            false => owner_among(others(), entry.function_id, &entry.zone),
        };
        owner.filter(|at| *at != self.me)
    }

    /// The process has ended; or it is no longer a member and does not reply to this process either.
    fn is_known_ended(&self, at: SocketAddr) -> bool {
        let is_member = self.owners.member(at).is_some();
        self.owners.has_ended(at) || (!is_member && self.suspects.contains_key(&at))
    }

    /// Probes former owners that are waited for and are no longer members: if their processes have ended, no
    /// handover will arrive.
    pub(crate) fn probe_former_owners(&mut self) {
        let awaited: BTreeSet<SocketAddr> =
            self.pools.values().flat_map(|pool| &pool.ledgers).filter_map(|ledger| ledger.awaits).collect();
        let left = awaited.into_iter().filter(|at| self.owners.member(*at).is_none());
        self.actions.extend(left.map(|owner| Action::Probe { owner }));
    }

    /// Connections to the process at this address are refused.
    pub fn connection_refused(&mut self, now: Duration, owner: SocketAddr) {
        self.now = now;
        let is_new = self.owners.note_refusal(now, owner);
        self.check_isolation();
        if is_new && self.owners.has_ended(owner) {
            self.incarnations.ended(self.awake, owner);
            self.owners_changed();
            self.resend_requests(|_, to| to == owner);
        }
        let is_member = self.owners.member(owner).is_some();
        if is_member && !self.owners.has_ended(owner) {
            return self.pump();
        }
        for pool in self.pools.values_mut() {
            for ledger in pool.ledgers.iter_mut().filter(|ledger| ledger.awaits == Some(owner)) {
                ledger.stop_waiting(now + REPORT_WAIT);
            }
        }
        self.pump();
    }

    /// The set of members that count as ended has changed.
    pub(crate) fn owners_changed(&mut self) {
        self.update_all_pools(Cause::Liveness);
        self.report_held_to_new_owners(&Default::default());
    }

    /// Hands over an instance that another process owns from now on.
    pub(crate) fn hand_over(&mut self, ledger: &InstanceLedger) {
        let entry = &ledger.entry;
        let Some(to) = self.owners.owner(entry.function_id, &entry.zone).filter(|at| *at != self.me) else {
            return;
        };
        if !self.entries.contains_key(&entry.instance) || injected(Defect::NothingHandedOver) {
            return;
        }
        self.pending.retain(|pending| pending.instance != entry.instance);
        let complete = self.now >= ledger.complete_from;
        // A process that still waits for the handover itself has no grants to report; it only remembers where
        // to refer claims.
        if let Some(former) = ledger.awaits {
            return self.note_handed_to(&entry.instance, former);
        }
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        let now = self.now;
        let pending = Pending {
            to,
            function_id: entry.function_id,
            instance: entry.instance.clone(),
            grants: ledger.grants.clone(),
            complete,
            sent: now,
            tries: 1,
            began: now,
        };
        let message = self.handover_message(&pending);
        self.note_handed_to(&pending.instance, to);
        self.pending.push(pending);
        self.send(to, message);
    }

    fn note_handed_to(&mut self, instance: &str, owner: SocketAddr) {
        if self.handed_to.len() < MAX_HANDED {
            self.handed_to.insert(instance.to_string(), (owner, self.now));
        }
    }

    /// Which process may know more about an instance than this one: the one that it was handed over to, or
    /// its owner before the last change, as far as is known here. A process that learned of two changes as
    /// one never owned the instance that is claimed from it.
    fn likely_owner(&self, from: SocketAddr, function_id: FunctionId, instance: &str) -> Option<SocketAddr> {
        let given = self.handed_to.get(instance).map(|(owner, _)| *owner);
        let owned = || owner_among(self.former.iter(), function_id, &self.entries.get(instance)?.zone);
        given.or_else(owned).filter(|at| *at != from && *at != self.me)
    }

    /// Claims the instances that this process waits for from their former owners, at intervals.
    pub(crate) fn claim(&mut self) {
        let now = self.now;
        let mut claims = Vec::new();
        for ledger in self.pools.values_mut().flat_map(|pool| &mut pool.ledgers) {
            let Some(former) = ledger.awaits.filter(|_| now >= ledger.claim_due) else { continue };
            ledger.claim_due = now + RESEND_AFTER;
            if now >= ledger.pause_end() {
                ledger.awaits = None;
                continue;
            }
            claims.push((
                former,
                Message::Claim {
                    function_id: ledger.entry.function_id,
                    instance: ledger.entry.instance.clone(),
                },
            ));
        }
        for (former, message) in claims {
            self.send(former, message);
        }
    }

    /// Another process claims an instance. If this process still owns it by the members known here, it hands
    /// the instance over when it learns of the change.
    pub(crate) fn claimed(&mut self, from: SocketAddr, function_id: FunctionId, instance: String) {
        let entry = self.entries.get(&instance);
        if entry.is_some_and(|entry| self.owner_of(function_id, &entry.zone) == Some(self.me)) {
            return self.pause_disputed(function_id, &instance);
        }
        if let Some(owner) = self.likely_owner(from, function_id, &instance) {
            return self.send(from, Message::HandedTo { function_id, instance, owner });
        }
        // Grants handed over to this process go on to the claimer.
        let early = self.early.remove(&instance).map(|early| early.grants).unwrap_or_default();
        let grants = self.parked.get(&instance).into_iter().flatten().chain(&early);
        let grants = grants.take(MAX_GRANTED_SLOTS).map(|grant| grant.as_granted_slot(self.now)).collect();
        self.send(from, Message::Handover { function_id, instance, grants, complete: true });
    }

    /// Two processes consider themselves the owner. One of them is behind, and the claimer grants slots after
    /// its wait.
    fn pause_disputed(&mut self, function_id: FunctionId, instance: &str) {
        if injected(Defect::ClaimsIgnored) {
            return;
        }
        let Some(pool) = self.pools.get_mut(&function_id) else { return };
        if let Some(ledger) = pool.ledgers.iter_mut().find(|ledger| ledger.entry.instance == instance) {
            ledger.pause_until(self.now + DISPUTE_PAUSE);
        }
    }

    /// The process that is waited for has already handed the instance over to another.
    pub(crate) fn redirect_claim(
        &mut self,
        from: SocketAddr,
        function_id: FunctionId,
        instance: &str,
        owner: SocketAddr,
    ) {
        let Some(pool) = self.pools.get_mut(&function_id) else { return };
        let ledger = pool.ledgers.iter_mut().find(|ledger| ledger.entry.instance == instance);
        let Some(ledger) = ledger.filter(|ledger| ledger.awaits == Some(from)) else { return };
        if owner != self.me {
            (ledger.awaits, ledger.claim_due) = (Some(owner), Duration::ZERO);
        }
    }

    fn handover_message(&self, pending: &Pending) -> Message {
        let slot = |grant: &SlotGrant| grant.as_granted_slot(self.now);
        let grants = pending.grants.iter().take(MAX_GRANTED_SLOTS).map(slot).collect();
        let (function_id, instance, complete) =
            (pending.function_id, pending.instance.clone(), pending.complete);
        Message::Handover { function_id, instance, grants, complete }
    }

    /// Resends handovers that were not acknowledged.
    pub(crate) fn resend_handovers(&mut self) {
        let now = self.now;
        self.pending.retain(|pending| now <= pending.began + RESEND_FOR);
        let mut due = Vec::new();
        for (index, pending) in self.pending.iter_mut().enumerate() {
            if now >= pending.sent + RESEND_AFTER * (1 << (pending.tries - 1).min(4)) {
                (pending.sent, pending.tries) = (now, pending.tries + 1);
                due.push(index);
            }
        }
        for index in due {
            let pending = &self.pending[index];
            let (to, message) = (pending.to, self.handover_message(pending));
            self.send(to, message);
        }
        self.early.retain(|_, early| now <= early.arrived + EARLY_KEPT);
        self.handed_to.retain(|_, (_, at)| now <= *at + HANDED_KEPT);
    }

    /// A former owner reports its grants and that it grants no more. If the report is not `complete`, since
    /// the process was not the owner for long, requesters have time to report the rest.
    pub(crate) fn take_over(
        &mut self,
        from: SocketAddr,
        function_id: FunctionId,
        instance: String,
        slots: Vec<GrantedSlot>,
        complete: bool,
    ) {
        let now = self.now;
        self.send(from, Message::HandoverAck { instance: name_hash(&instance) });
        let to_grant = |slot: &GrantedSlot| {
            let left = Duration::from_millis(slot.left.into());
            SlotGrant::from_handover(now, slot.to, slot.incarnation, slot.seq, left)
        };
        let held = |slot: &&GrantedSlot| {
            slot.left > 0 && !self.finished.is_returned(&(slot.to, slot.incarnation, slot.seq))
        };
        let grants: Vec<SlotGrant> = slots.iter().filter(held).map(to_grant).collect();
        let pool = self.pools.get_mut(&function_id);
        match pool.and_then(|pool| pool.ledgers.iter_mut().find(|ledger| ledger.entry.instance == instance)) {
            Some(ledger) => {
                ledger.merge(grants);
                if ledger.awaits.is_some() {
                    ledger.stop_waiting(if complete { now } else { now + REPORT_WAIT });
                }
            }
            None if self.early.len() < MAX_EARLY => {
                self.early.insert(instance, Early { arrived: now, complete, grants });
            }
            None => {}
        }
        self.serve(function_id);
    }

    /// A handover was acknowledged.
    pub(crate) fn handover_acknowledged(&mut self, from: SocketAddr, instance: u32) {
        self.pending.retain(|pending| pending.to != from || name_hash(&pending.instance) != instance);
    }
}
