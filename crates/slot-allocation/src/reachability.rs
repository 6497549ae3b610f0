//! Reachability: owners that do not reply, whether their processes run at all, and whether it is this process
//! that is isolated.

use crate::defects::{injected, Defect};
use crate::function_id::FunctionId;
use crate::messages::Message;
use crate::{
    ms, Action, Allocator, Call, Stage, FENCED_AFTER, ISOLATED_RETRY, MAX_PINGS, MIN_UNREACHABLE,
    PROBE_AFTER_SILENCE, REACHABLE_FOR, REJECT_AFTER, SUSPECT_RETRY, UNANSWERED_LIMIT, UNREACHABLE_SHARE,
};
use std::net::SocketAddr;
use std::time::Duration;

/// The state of the other members.
#[derive(Default)]
struct Reachability {
    /// They do not reply, or their connections are refused.
    unreachable: usize,
    /// Neither heard from recently nor sent a request; those that do not answer a ping also count as
    /// unreachable.
    unknown: Vec<SocketAddr>,
    /// Those of `unknown` that have not had time to answer a ping.
    undecided: usize,
    reachable: usize,
}

impl Allocator {
    /// The reachability of all members but this process.
    fn reachability(&self) -> Reachability {
        let mut reachability = Reachability::default();
        for at in self.owners.members().iter().map(|member| member.at).filter(|at| *at != self.me) {
            let received = self.incarnations.last_received(&at);
            let pinged_at = self
                .pinged
                .get(&at)
                .filter(|pinged_at| received.is_none_or(|received| received < **pinged_at));
            if self.owners.refuses(at) || self.suspects.contains_key(&at) {
                reachability.unreachable += 1;
            } else if received.is_some_and(|received| received + REACHABLE_FOR > self.now) {
                reachability.reachable += 1;
            } else if pinged_at.is_some_and(|pinged_at| self.now >= *pinged_at + SUSPECT_RETRY) {
                reachability.unreachable += 1;
                reachability.unknown.push(at);
            } else {
                reachability.undecided += 1;
                reachability.unknown.push(at);
            }
        }
        reachability
    }

    /// The agent on this host reaches controllers that are connected with one another, or no longer does.
    pub fn set_controllers_reachable(&mut self, now: Duration, controllers_reachable: bool) {
        self.now = now;
        if self.controllers_reachable != controllers_reachable {
            self.controllers_reachable = controllers_reachable;
            self.check_isolation();
            self.pump();
        }
    }

    /// A process that does not reach many of the members is probably on one side of a network partition. If
    /// its agent reaches the controllers, it is on the side of the lease holder, which names the owners: then
    /// it goes on, however few members it reaches. A majority of the members is no better sign than a third:
    /// the known list may be an old one that lacks those on the other side.
    pub(crate) fn check_isolation(&mut self) {
        let now = self.now;
        if self.suspects.is_empty() && !self.owners.any_refuses() {
            self.isolated = None;
            self.pinged.clear();
            if self.owners.update_refusals(now, false) {
                self.owners_changed();
            }
            return;
        }
        let Reachability { unreachable, unknown, undecided, reachable } = self.reachability();
        let members = unreachable + undecided + reachable;
        let partitioned =
            unreachable >= MIN_UNREACHABLE.min(members) && unreachable * UNREACHABLE_SHARE >= members;
        if !partitioned {
            self.isolated = None;
        } else if self.isolated.is_none() {
            self.isolated = Some(now);
        }
        match self.controllers_reachable {
            true => self.pinged.clear(),
            false => self.ping_members(unknown),
        }
        if self.owners.update_refusals(now, partitioned && !self.controllers_reachable) {
            self.owners_changed();
        }
    }

    /// An answer, or a refused connection, shows on which side members of unknown state are.
    fn ping_members(&mut self, unknown: Vec<SocketAddr>) {
        if self.now < self.last_ping + SUSPECT_RETRY {
            return;
        }
        self.last_ping = self.now;
        self.pinged.retain(|at, _| unknown.contains(at));
        // Those that were not pinged yet come first.
        let (new, old): (Vec<_>, Vec<_>) = unknown.into_iter().partition(|at| !self.pinged.contains_key(at));
        for at in new.into_iter().chain(old).take(MAX_PINGS) {
            self.pinged.entry(at).or_insert(self.now);
            self.send(at, Message::Release { seq: 0, function_id: FunctionId::NONE, instance: 0 });
            self.actions.push_back(Action::Probe { owner: at });
        }
    }

    pub(crate) fn is_isolated(&self) -> bool {
        !self.controllers_reachable && self.isolated.is_some_and(|since| self.now >= since + REJECT_AFTER)
    }

    /// Isolated for so long that the others may have new owners for the instances of this process.
    pub fn is_fenced(&self) -> bool {
        let fenced = self.isolated.is_some_and(|since| self.now >= since + FENCED_AFTER);
        fenced && !self.controllers_reachable && !injected(Defect::IsolatedGrants)
    }

    /// Rejects the queued requests, to be retried later.
    pub(crate) fn reject_waiting(&mut self, function_id: FunctionId) {
        let waiting = self.pools.get_mut(&function_id).map(|pool| std::mem::take(&mut pool.queue));
        for request in waiting.unwrap_or_default() {
            self.send(request.from, Message::RetryAfter { seq: request.seq, after: ms(ISOLATED_RETRY) });
        }
    }

    /// A suspected owner receives no requests while there are others, and its process is probed. It remains
    /// the owner of its instances: it may be slow, and grant slots to all from whom it receives requests.
    pub(crate) fn suspect(&mut self, silent: Vec<SocketAddr>) {
        if silent.is_empty() {
            return;
        }
        for &to in &silent {
            if self.suspects.insert(to, self.now + SUSPECT_RETRY).is_none() {
                self.actions.push_back(Action::Suspected { owner: to });
                self.actions.push_back(Action::Probe { owner: to });
            }
            if injected(Defect::SilenceCountsAsEnd) {
                self.connection_refused(self.now, to);
            }
        }
        // All requests sent to them are sent elsewhere at once, not each after its own time-out.
        let requests =
            |call: &Call| matches!(call.stage, Stage::Requesting { to, .. } if silent.contains(&to));
        let lost: Vec<u32> =
            self.calls.iter().filter(|(_, call)| requests(call)).map(|(seq, _)| *seq).collect();
        for seq in lost {
            self.request_or_give_up(seq);
        }
    }

    /// If all owners that could serve the call have been unresponsive for long, its client is asked to retry:
    /// it may reach another process.
    pub(crate) fn request_or_give_up(&mut self, seq: u32) {
        let Some(call) = self.calls.get(&seq) else { return };
        let (function_id, waited) = (call.function_id, self.now.saturating_sub(call.arrived));
        let zone = self.zone_for(function_id);
        let silent = self.owner_of(function_id, &zone).is_some_and(|at| self.suspects.contains_key(&at));
        if silent && waited >= UNANSWERED_LIMIT {
            if let Some(Call { stage: Stage::Requesting { to, .. }, .. }) = self.calls.remove(&seq) {
                self.return_unused(to, seq, function_id, 0);
            }
            self.actions.push_back(Action::Reject { call: seq, after: ISOLATED_RETRY });
            return;
        }
        self.request(seq, 0);
    }

    /// A call was requested here whose owner, as far as is known, is another process: the requester may know
    /// that that process has ended.
    pub(crate) fn probe_owner(&mut self, function_id: FunctionId) {
        let now = self.now;
        let Some(owner) = self.owner_of(function_id, &self.zone).filter(|at| *at != self.me) else { return };
        let received = self
            .incarnations
            .last_received(&owner)
            .is_some_and(|received| received + PROBE_AFTER_SILENCE > now);
        let lately = self.probed.get(&owner).is_some_and(|at| now < *at + SUSPECT_RETRY);
        if received || lately {
            return;
        }
        self.probed.retain(|_, at| now < *at + SUSPECT_RETRY);
        self.probed.insert(owner, now);
        self.actions.push_back(Action::Probe { owner });
    }

    /// Pings suspected owners; they receive requests again once they reply.
    pub(crate) fn probe(&mut self) {
        let now = self.now;
        let owners = &self.owners;
        self.suspects.retain(|at, _| owners.member(*at).is_some());
        let due = self.suspects.iter_mut().filter(|(_, next)| **next <= now);
        let due: Vec<SocketAddr> = due
            .map(|(at, next)| {
                *next = now + SUSPECT_RETRY;
                *at
            })
            .collect();
        for at in due {
            self.send(at, Message::Release { seq: 0, function_id: FunctionId::NONE, instance: 0 });
            self.actions.push_back(Action::Probe { owner: at });
        }
        self.check_isolation();
    }
}
