//! The role of a voter: grants leases and decides the next number together with the other voters.

use crate::defects::{injected, Defect};
use crate::member::Member;
use crate::types::{Ballot, Digest, Id, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// A proposer heard from within this time counts as active. A second proposer is rejected meanwhile, so that
/// two proposers do not preempt each other in turn.
const PROPOSER_ACTIVE: Duration = Duration::from_secs(1);
/// A proposal that was accepted but not decided is completed by another member this long after its proposer
/// was last heard from, plus a random delay of up to the same length, so that few members start at once.
const RECOVERY_DELAY: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voting {
    /// Expiry of each member's lease on this voter's clock. Kept across numbers, as leases are.
    grants: BTreeMap<Id, Duration>,
    /// What each member last reported as staged.
    staged_by: BTreeMap<Id, Digest>,
    pub last_seen: BTreeMap<Id, (Duration, u64)>,
    /// When the proposer of the promised ballot was last heard from.
    proposer_seen_at: Duration,
    recover_at: Duration,
    /// Leases granted before a restart may be valid until then.
    quiet_until: Duration,
    reported_fence: Option<Ballot>,
}

impl Voting {
    pub fn new(now: Duration, quiet_until: Duration) -> Self {
        Voting {
            grants: BTreeMap::new(),
            staged_by: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            proposer_seen_at: now,
            recover_at: now + RECOVERY_DELAY,
            quiet_until,
            reported_fence: None,
        }
    }

    pub fn start_next_number(&mut self, now: Duration, quiet_until: Duration) {
        self.staged_by.clear();
        self.quiet_until = self.quiet_until.max(quiet_until);
        (self.proposer_seen_at, self.reported_fence) = (now, None);
    }
}

impl Member {
    pub(crate) fn is_voter(&self) -> bool {
        self.members.voters.contains(&self.durable.id)
    }

    pub(crate) fn voting_next_tick(&self) -> Option<Duration> {
        let fence_expiry = self.durable.fence.map(|_| self.voting.proposer_seen_at + self.timing.lease);
        let open = self.durable.accepted.is_some() || self.unresolved_proposal().is_some();
        open.then_some(self.voting.recover_at).or(fence_expiry)
    }

    /// Schedules this member's next attempt to complete an unresolved proposal.
    pub(crate) fn schedule_recovery(&mut self, now: Duration) {
        self.voting.recover_at = now + RECOVERY_DELAY + self.random_part(RECOVERY_DELAY);
    }

    fn note_proposer_activity(&mut self, now: Duration) {
        self.voting.proposer_seen_at = now;
        self.schedule_recovery(now);
    }

    pub(crate) fn on_renew(
        &mut self,
        now: Duration,
        from: Id,
        nonce: u64,
        number: u64,
        staged: Option<Digest>,
    ) {
        if self.is_voter() && self.members.all.contains(&from) {
            self.voting.last_seen.insert(from, (now, number));
        }
        // A lease is for the number in force, so the next number must follow it.
        if !self.check_next_number(from, number.saturating_add(1)) {
            return;
        }
        if !self.is_voter() || !self.members.all.contains(&from) {
            return;
        }
        match staged {
            Some(digest) => drop(self.voting.staged_by.insert(from, digest)),
            None => drop(self.voting.staged_by.remove(&from)),
        }
        let fenced = self.durable.fence.is_some_and(|(_, digest)| staged != Some(digest));
        let fenced = fenced && !injected(Defect::GrantsLeaseBehindFence);
        // Guards against serving under the old policy beside the new one: the next number may have been
        // decided already.
        let decided = self.durable.accepted.is_some() && !injected(Defect::GrantsLeaseAfterAccept);
        if fenced || decided {
            self.send(from, Message::Withheld { nonce, number });
        } else {
            self.voting.grants.insert(from, now + self.timing.voter_lease());
            self.send(from, Message::Granted { nonce, number });
        }
        self.report_closed_fence(now, false);
    }

    pub(crate) fn on_prepare(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        if !self.check_next_number(from, number) || number > 1 && !self.is_voter() {
            return;
        }
        let promised = self.durable.promised;
        let open = promised != Ballot::default() && promised != promised.round_end();
        let proposer_active =
            open && promised.by != ballot.by && now < self.voting.proposer_seen_at + PROPOSER_ACTIVE;
        if ballot < promised || proposer_active {
            let by = if proposer_active { promised } else { promised.round_end() };
            return self.send(from, Message::Overtaken { number, ballot, by });
        }
        if ballot > promised {
            (self.durable.promised, self.durable.fence) = (ballot, None);
        }
        self.note_proposer_activity(now);
        let accepted = self.durable.accepted.filter(|_| !injected(Defect::PromiseOmitsAccepted));
        self.send(from, Message::Promised { number, ballot, accepted });
    }

    /// Whether a ballot may proceed here; an older one is answered with `Overtaken`.
    fn admit_ballot(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) -> bool {
        if !self.check_next_number(from, number) || !self.is_voter() {
            return false;
        }
        let promised = self.durable.promised;
        if ballot < promised {
            self.send(from, Message::Overtaken { number, ballot, by: promised });
            return false;
        }
        self.durable.promised = ballot;
        self.note_proposer_activity(now);
        true
    }

    pub(crate) fn on_fence(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, digest: Digest) {
        if self.admit_ballot(now, from, number, ballot) {
            self.durable.fence = Some((ballot, digest));
            self.report_closed_fence(now, true);
        }
    }

    /// Whether every member that has not staged `digest` is without a lease from this voter.
    fn fence_is_closed(&self, now: Duration, digest: Digest) -> bool {
        let voting = &self.voting;
        let restart_wait_over = now >= voting.quiet_until;
        let holds =
            |member| voting.grants.get(member).is_some_and(|until| now < *until) || !restart_wait_over;
        let mut all = self.members.all.iter();
        let closed = all.all(|member| voting.staged_by.get(member) == Some(&digest) || !holds(member));
        closed || injected(Defect::FenceReportedTooEarly)
    }

    /// Reports to the proposer that the fence is closed, once it is.
    fn report_closed_fence(&mut self, now: Duration, requested: bool) {
        let Some((ballot, digest)) = self.durable.fence else { return };
        if (requested || self.voting.reported_fence != Some(ballot)) && self.fence_is_closed(now, digest) {
            self.voting.reported_fence = Some(ballot);
            self.send(ballot.by, Message::Fenced { number: self.durable.decided.number + 1, ballot });
        }
    }

    pub(crate) fn on_accept(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, digest: Digest) {
        // Requires the text first, so that an accepted proposal is on the disks of a majority.
        let message = Message::Accept { number, ballot, digest };
        let next = number == self.durable.decided.number + 1;
        if next
            && self
                .checked_proposal(digest, from, from, &message)
                .is_none_or(|checked| checked.number != number)
        {
            return;
        }
        // Guards against a decision while a member that has not staged it still serves. A voter that reported
        // a closed fence may have lifted it since, and another that never had the fence may accept. A voter
        // that accepts has granted no lease across the fence and grants none afterwards.
        let fenced = self.durable.fence == Some((ballot, digest)) && self.fence_is_closed(now, digest);
        let first = number == 1 || injected(Defect::AcceptsWithoutFence);
        if (fenced || first) && self.admit_ballot(now, from, number, ballot) {
            self.durable.accepted = Some((ballot, digest));
            self.send(from, Message::Accepted { number, ballot });
        }
    }

    /// The proposer has given up or makes no progress: this voter accepts nothing more under that ballot.
    pub(crate) fn abandon_ballot(&mut self, ballot: Ballot) {
        let open = self.durable.accepted.is_none_or(|(accepted, _)| accepted != ballot);
        if open && self.durable.promised == ballot {
            (self.durable.promised, self.durable.fence) = (ballot.round_end(), None);
        }
    }

    pub(crate) fn voting_tick(&mut self, now: Duration) {
        let stalled = now >= self.voting.proposer_seen_at + self.timing.lease;
        if let Some((ballot, _)) = self.durable.fence.filter(|_| stalled && self.durable.accepted.is_none()) {
            // Guards against members kept out of service by a proposer that is gone.
            self.abandon_ballot(ballot);
        }
        // Completes a proposal that was accepted here, and finds out the result of one that was made here and
        // preempted.
        if (self.durable.accepted.is_some() || self.unresolved_proposal().is_some())
            && now >= self.voting.recover_at
        {
            self.schedule_recovery(now);
            self.recover(now);
        }
    }
}
