//! The role of a proposer, for a proposal made at this member or one left incomplete by another: prepares a
//! ballot, has all members stage the proposal, fences off those that have not, has a majority of the voters
//! accept it, and announces the decision to all members.

use crate::defects::{injected, Defect};
use crate::member::{Member, RETRANSMIT_INTERVAL};
use crate::types::{Ballot, Digest, Id, Message, Outcome, Reason};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Decisions are retransmitted less often: a member that misses one learns it with its next lease renewal.
const DECIDED_RETRANSMIT_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing,
    Staging,
    Fencing,
    Accepting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    pub number: u64,
    ballot: Ballot,
    /// The proposal made here; none if this ballot only completes another member's proposal.
    local: Option<Digest>,
    /// The proposal that this ballot is for, once known.
    digest: Option<Digest>,
    /// A voter may have accepted it, so it may be decided already: no refusal stops it.
    forced: bool,
    phase: Phase,
    phase_began: Duration,
    began: Duration,
    pub retransmit_at: Duration,
    promised: BTreeMap<Id, Option<(Ballot, Digest)>>,
    overtaken: BTreeSet<Id>,
    /// Members that have answered in the current phase.
    answered: BTreeSet<Id>,
}

impl Proposal {
    /// A tick that is late by more than the retransmit interval shows that this process was stalled. That
    /// time is excluded from the time allowed for answers, as no request was sent and no answer processed in
    /// it. Time between two ticks still counts, so that a proposal ends even if every tick is late.
    fn exclude_stall(&mut self, now: Duration) {
        let late = now - self.retransmit_at;
        if late > RETRANSMIT_INTERVAL {
            self.began += late;
            self.phase_began += late;
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Dissemination {
    number: u64,
    digest: Digest,
    missing: BTreeSet<Id>,
    until: Duration,
    pub retransmit_at: Duration,
}

impl Member {
    /// Proposes a text that was checked here. Fails with a one-line reason.
    pub fn propose(&mut self, now: Duration, digest: Digest) -> Result<(), String> {
        let number = self.durable.decided.number + 1;
        let checked = self.proposals.get(&digest).ok_or("its text is not available here")?;
        if checked.number != number {
            return Err(format!("it was made for number {}, and the next one is {number}", checked.number));
        }
        checked.eligibility.clone()?;
        if number > 1 && !self.is_member() {
            return Err("this scheduler is not a member of the group".into());
        }
        if self.proposal.is_some() || self.durable.accepted.is_some() {
            return Err("another proposal is under way".into());
        }
        if number == 1 {
            if !self.members.all.is_empty() && self.members != checked.members {
                return Err("the founding of a group with other members is under way here".into());
            }
            self.members = checked.members.clone();
        }
        self.record_outcome(number, digest, Outcome::InProgress);
        self.start_ballot(now, now, Some(digest), false, Ballot::default());
        self.tick(now);
        Ok(())
    }

    /// A proposal made here for which no ballot is running. A voter may have accepted it before it was
    /// preempted; until its number is decided it may still be decided, so it is taken up again.
    pub(crate) fn unresolved_proposal(&self) -> Option<Digest> {
        let next = self.durable.decided.number + 1;
        let open = |(number, _, outcome): &&(u64, Digest, Outcome)| {
            *number == next && *outcome == Outcome::InProgress
        };
        self.outcomes.iter().find(open).filter(|_| self.proposal.is_none()).map(|(_, digest, _)| *digest)
    }

    pub(crate) fn recover(&mut self, now: Duration) {
        if self.proposal.is_none() {
            let local = self.unresolved_proposal();
            self.start_ballot(now, now, local, local.is_some(), Ballot::default());
        }
    }

    /// Starts a ballot above `above`; `forced` if a voter may have accepted `local` under an earlier ballot.
    fn start_ballot(
        &mut self,
        now: Duration,
        began: Duration,
        local: Option<Digest>,
        forced: bool,
        above: Ballot,
    ) {
        let round = self.durable.promised.max(above).round + 1;
        self.proposal = Some(Proposal {
            number: self.durable.decided.number + 1,
            ballot: Ballot { round, by: self.durable.id },
            local,
            digest: None,
            forced,
            phase: Phase::Preparing,
            phase_began: now,
            began,
            retransmit_at: now + RETRANSMIT_INTERVAL,
            promised: BTreeMap::new(),
            overtaken: BTreeSet::new(),
            answered: BTreeSet::new(),
        });
        self.send_phase_messages(now);
    }

    /// The members that must stage the proposal: the current ones and those under the new policy.
    fn affected_members(&self, digest: Digest) -> BTreeSet<Id> {
        let new = self.proposals.get(&digest).map(|checked| &checked.members.all);
        self.members.all.iter().chain(new.into_iter().flatten()).copied().collect()
    }

    /// Sends the message of the current phase to all members that have not answered it.
    fn send_phase_messages(&mut self, now: Duration) {
        let Some(p) = &mut self.proposal else { return };
        p.retransmit_at = now + RETRANSMIT_INTERVAL;
        let (number, ballot) = (p.number, p.ballot);
        let (message, to) = match (p.phase, p.digest) {
            (Phase::Preparing, _) => (Message::Prepare { number, ballot }, self.members.voters.clone()),
            (_, None) => return,
            (Phase::Staging, Some(digest)) => {
                (Message::Stage { number, ballot, digest }, self.affected_members(digest))
            }
            (Phase::Fencing, Some(digest)) => {
                (Message::Fence { number, ballot, digest }, self.members.voters.clone())
            }
            (Phase::Accepting, Some(digest)) => {
                (Message::Accept { number, ballot, digest }, self.members.voters.clone())
            }
        };
        let Some(p) = &self.proposal else { return };
        // Guards against a second ballot that is admitted while this one is in progress: every voter keeps
        // receiving this ballot, even after it has answered.
        let done = |id: &Id| p.answered.contains(id) && p.phase != Phase::Fencing;
        let unanswered: Vec<Id> = to.into_iter().filter(|id| !done(id)).collect();
        match (p.phase, p.digest) {
            (Phase::Staging, _) => {
                self.send_all(self.members.voters.clone(), &Message::Prepare { number, ballot });
            }
            // A voter accepts only behind its own fence.
            (Phase::Accepting, Some(digest)) if number > 1 => {
                self.send_all(unanswered.iter().copied(), &Message::Fence { number, ballot, digest });
            }
            _ => {}
        }
        self.send_all(unanswered, &message);
    }

    fn enter_phase(&mut self, now: Duration, phase: Phase) {
        if let Some(p) = &mut self.proposal {
            (p.phase, p.phase_began) = (phase, now);
            p.answered.clear();
            p.overtaken.clear();
        }
        self.send_phase_messages(now);
    }

    /// The proposal, if an answer belongs to its ballot and current phase.
    fn matching_proposal(&mut self, number: u64, ballot: Ballot, phase: Phase) -> Option<&mut Proposal> {
        let matches = self.proposal.as_ref().is_some_and(|p| p.number == number && p.ballot == ballot);
        if !matches {
            // Late, duplicated or unsolicited.
            self.count_dropped();
        }
        self.proposal.as_mut().filter(|p| matches && p.phase == phase)
    }

    pub(crate) fn on_promised(
        &mut self,
        now: Duration,
        from: Id,
        number: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Digest)>,
    ) {
        let (voter, majority) = (self.members.voters.contains(&from), self.majority());
        let Some(p) = self.matching_proposal(number, ballot, Phase::Preparing).filter(|_| voter) else {
            return;
        };
        p.promised.insert(from, accepted);
        p.answered.insert(from);
        if p.promised.len() < majority {
            return;
        }
        let highest = p.promised.iter().filter_map(|(holder, accepted)| accepted.map(|a| (a, *holder))).max();
        let highest = highest.filter(|_| !(injected(Defect::ProposesOwnOverAccepted) && p.local.is_some()));
        let (local, was_forced) = (p.local, p.forced);
        if let Some(((_, digest), holder)) = highest {
            // The text is needed to know the new members. Its holder need not be the voter that has just
            // promised.
            let message = Message::Promised { number, ballot, accepted };
            if self.checked_proposal(digest, holder, from, &message).is_none() {
                return;
            }
            if let Some(local) = local.filter(|local| *local != digest && !was_forced) {
                self.record_outcome(number, local, Outcome::NotDecided(Reason::Superseded));
            }
        }
        let Some(p) = &mut self.proposal else { return };
        (p.digest, p.forced) =
            (highest.map(|((_, digest), _)| digest).or(local), highest.is_some() || was_forced);
        match p.digest {
            // No voter of a majority has accepted anything, so there is nothing to complete.
            None => self.proposal = None,
            Some(_) => self.enter_phase(now, Phase::Staging),
        }
    }

    pub(crate) fn on_staged(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        let Some(p) = self.matching_proposal(number, ballot, Phase::Staging) else { return };
        p.answered.insert(from);
        let Some(digest) = p.digest else { return };
        let all = self.affected_members(digest);
        if self.proposal.as_ref().is_some_and(|p| all.is_subset(&p.answered)) {
            self.finish_staging(now);
        }
    }

    fn finish_staging(&mut self, now: Duration) {
        // Before the first number no member has a lease, and none may be left out.
        let first = self.durable.decided.number == 0;
        self.enter_phase(now, if first { Phase::Accepting } else { Phase::Fencing });
    }

    /// One refusal rejects the proposal, unless it may be decided already.
    pub(crate) fn on_refused(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, why: String) {
        let found = self.proposal.as_ref().filter(|p| p.number == number && p.ballot == ballot);
        match found.map(|p| (p.phase, p.forced)) {
            Some((Phase::Staging | Phase::Fencing, false)) => {
                self.withdraw(now, Reason::Refused { by: from, why });
            }
            // The member will get no lease, which is as good as having staged it.
            Some((Phase::Staging, true)) => self.on_staged(now, from, number, ballot),
            _ => {}
        }
    }

    /// Withdraws the proposal; no message that could lead to its decision was sent yet.
    fn withdraw(&mut self, now: Duration, why: Reason) {
        let Some(p) = self.proposal.take() else { return };
        if p.forced {
            return self.schedule_recovery(now);
        }
        let to = p.digest.or(p.local).map(|digest| self.affected_members(digest)).unwrap_or_default();
        let (number, ballot) = (p.number, p.ballot);
        self.send_all(to, &Message::Dropped { number, ballot });
        if let Some(local) = p.local {
            self.record_outcome(number, local, Outcome::NotDecided(why));
        }
    }

    pub(crate) fn on_overtaken(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, by: Ballot) {
        let (voters, majority) = (self.members.voters.len(), self.majority());
        let voter = self.members.voters.contains(&from);
        let Some(p) = self.proposal.as_mut().filter(|p| p.number == number && p.ballot == ballot) else {
            return self.count_dropped();
        };
        if p.phase == Phase::Preparing && by == by.round_end() {
            // The preempting ballot is no longer active: retries above it.
            let (began, local, forced) = (p.began, p.local, p.forced);
            return self.start_ballot(now, began, local, forced, by);
        }
        if !voter {
            // It has staged a later proposal and will report that when requested.
            return;
        }
        p.overtaken.insert(from);
        if voters - p.overtaken.len().min(voters) >= majority {
            return;
        }
        if p.phase == Phase::Accepting {
            // Recovery finds out later whether it was decided.
            self.proposal = None;
            self.schedule_recovery(now);
        } else {
            self.withdraw(now, Reason::Superseded);
        }
    }

    pub(crate) fn on_fenced(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        let (voter, majority) = (self.members.voters.contains(&from), self.majority());
        let Some(p) = self.matching_proposal(number, ballot, Phase::Fencing).filter(|_| voter) else {
            return;
        };
        p.answered.insert(from);
        if p.answered.len() >= majority {
            self.enter_phase(now, Phase::Accepting);
        }
    }

    pub(crate) fn on_accepted(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        let (voter, majority) = (self.members.voters.contains(&from), self.majority());
        let Some(p) = self.matching_proposal(number, ballot, Phase::Accepting).filter(|_| voter) else {
            return;
        };
        p.answered.insert(from);
        let (Some(digest), true) = (p.digest, p.answered.len() >= majority) else { return };
        let all = self.affected_members(digest);
        self.apply_decision(now, number, digest);
        let missing = self.members.all.clone();
        let until = now + self.timing.response_timeout + 2 * self.timing.lease;
        self.send_all(all, &Message::Decided { number, digest });
        self.dissemination = Some(Dissemination {
            number,
            digest,
            missing,
            until,
            retransmit_at: now + DECIDED_RETRANSMIT_INTERVAL,
        });
    }

    pub(crate) fn on_known(&mut self, from: Id, number: u64) {
        let Some(dissemination) = self.dissemination.as_mut().filter(|s| s.number <= number) else { return };
        dissemination.missing.remove(&from);
        let (of, left) = (dissemination.number, dissemination.missing.clone());
        for (number, _, outcome) in &mut self.outcomes {
            if let Outcome::Decided { missing } = outcome {
                if *number == of {
                    missing.clone_from(&left);
                }
            }
        }
        if left.is_empty() {
            self.dissemination = None;
        }
    }

    pub(crate) fn proposing_tick(&mut self, now: Duration) {
        if let Some(s) = self.dissemination.as_mut().filter(|s| now >= s.retransmit_at) {
            s.retransmit_at = now + DECIDED_RETRANSMIT_INTERVAL;
            let (message, to) = (Message::Decided { number: s.number, digest: s.digest }, s.missing.clone());
            if now >= s.until {
                self.dissemination = None;
            } else {
                self.send_all(to, &message);
            }
        }
        let Some(p) = self.proposal.as_mut().filter(|p| now >= p.retransmit_at) else { return };
        p.exclude_stall(now);
        let (response_timeout, waited) = (self.timing.response_timeout, now - p.phase_began);
        let unanswered = |of: &BTreeSet<Id>| of.difference(&p.answered).copied().collect();
        match p.phase {
            Phase::Preparing if now - p.began >= response_timeout => {
                let why = Reason::NoAnswer(unanswered(&self.members.voters));
                self.withdraw(now, why);
            }
            Phase::Staging if waited >= response_timeout => {
                if self.durable.decided.number == 0 {
                    let why = Reason::NoAnswer(unanswered(&self.members.all));
                    self.withdraw(now, why);
                } else {
                    self.finish_staging(now);
                }
            }
            Phase::Fencing if waited >= response_timeout + 2 * self.timing.voter_lease() => {
                let why = Reason::NoAnswer(unanswered(&self.members.voters));
                self.withdraw(now, why);
            }
            _ => self.send_phase_messages(now),
        }
    }
}
