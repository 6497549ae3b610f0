//! What a member does for a proposal that was made at it, or that it found left in the midst: prepares a ballot, has the
//! proposal staged by all, fences off who has not, has it accepted by a majority of the voters, and tells everybody.

use crate::defects::{planted, Defect};
use crate::member::{Member, AGAIN};
use crate::types::{Ballot, Digest, Id, Message, Outcome, Reason};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is decided is told again less often: who does not hear it learns it with its next lease.
const TELL_AGAIN: Duration = Duration::from_millis(500);

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
    /// What was proposed here; none where it only brings to an end what another left.
    own: Option<Digest>,
    /// What this ballot is for, once that is known.
    digest: Option<Digest>,
    /// Somebody may have accepted it, so that it may be decided already: no refusal stops it.
    forced: bool,
    phase: Phase,
    since: Duration,
    began: Duration,
    pub again_at: Duration,
    promised: BTreeMap<Id, Option<(Ballot, Digest)>>,
    overtaken: BTreeSet<Id>,
    /// Answers of the present phase.
    answered: BTreeSet<Id>,
}

impl Proposal {
    /// A tick that is late by more than the time between two asks shows that this process stood still. That span is left
    /// out of the time in which the others may answer: nobody was asked, or heard, in it. What lies between two ticks
    /// counts, so that a process whose every tick is late comes to an end as well.
    fn leave_out_stall(&mut self, now: Duration) {
        let late = now - self.again_at;
        if late > AGAIN {
            self.began += late;
            self.since += late;
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Spreading {
    number: u64,
    digest: Digest,
    missing: BTreeSet<Id>,
    until: Duration,
    pub again_at: Duration,
}

impl Member {
    /// Proposes a text that was read here. One line says why that cannot be.
    pub fn propose(&mut self, now: Duration, digest: Digest) -> Result<(), String> {
        let number = self.durable.decided.number + 1;
        let reading = self.known.get(&digest).ok_or("its text is not here")?;
        if reading.number != number {
            return Err(format!("it was made for number {}, and the next one is {number}", reading.number));
        }
        reading.eligibility.clone()?;
        if number > 1 && !self.is_member() {
            return Err("this scheduler is not a member of the group".into());
        }
        if self.proposal.is_some() || self.durable.accepted.is_some() {
            return Err("another proposal is under way".into());
        }
        if number == 1 {
            if !self.members.all.is_empty() && self.members != reading.members {
                return Err("a founding with other members was begun here".into());
            }
            self.members = reading.members.clone();
        }
        self.note(number, digest, Outcome::InProgress);
        self.begin(now, now, Some(digest), false, Ballot::default());
        self.tick(now);
        Ok(())
    }

    /// A proposal was made here and nobody is at it: it may have been accepted by somebody before it was overtaken.
    /// Until its number is decided nobody can say that it never will be, so it is gone on with.
    pub(crate) fn unsettled(&self) -> Option<Digest> {
        let next = self.durable.decided.number + 1;
        let open = |(number, _, outcome): &&(u64, Digest, Outcome)| {
            *number == next && *outcome == Outcome::InProgress
        };
        self.outcomes.iter().find(open).filter(|_| self.proposal.is_none()).map(|(_, digest, _)| *digest)
    }

    pub(crate) fn recover(&mut self, now: Duration) {
        if self.proposal.is_none() {
            let own = self.unsettled();
            self.begin(now, now, own, own.is_some(), Ballot::default());
        }
    }

    /// A ballot above that one; `forced` where somebody may have accepted `own` by an earlier one.
    fn begin(&mut self, now: Duration, began: Duration, own: Option<Digest>, forced: bool, above: Ballot) {
        let round = self.durable.promised.max(above).round + 1;
        self.proposal = Some(Proposal {
            number: self.durable.decided.number + 1,
            ballot: Ballot { round, by: self.durable.id },
            own,
            digest: None,
            forced,
            phase: Phase::Preparing,
            since: now,
            began,
            again_at: now + AGAIN,
            promised: BTreeMap::new(),
            overtaken: BTreeSet::new(),
            answered: BTreeSet::new(),
        });
        self.speak(now);
    }

    /// Whom the proposal is staged at: who is a member now, and who will be.
    fn all_concerned(&self, digest: Digest) -> BTreeSet<Id> {
        let new = self.known.get(&digest).map(|reading| &reading.members.all);
        self.members.all.iter().chain(new.into_iter().flatten()).copied().collect()
    }

    /// Says what the present phase has to say to those who have not answered.
    fn speak(&mut self, now: Duration) {
        let Some(p) = &mut self.proposal else { return };
        p.again_at = now + AGAIN;
        let (number, ballot) = (p.number, p.ballot);
        let (message, to) = match (p.phase, p.digest) {
            (Phase::Preparing, _) => (Message::Prepare { number, ballot }, self.members.voters.clone()),
            (_, None) => return,
            (Phase::Staging, Some(digest)) => {
                (Message::Stage { number, ballot, digest }, self.all_concerned(digest))
            }
            (Phase::Fencing, Some(digest)) => {
                (Message::Fence { number, ballot, digest }, self.members.voters.clone())
            }
            (Phase::Accepting, Some(digest)) => {
                (Message::Accept { number, ballot, digest }, self.members.voters.clone())
            }
        };
        let Some(p) = &self.proposal else { return };
        // Guards against a second ballot that is let in over a first one at work: every voter hears of this one for as
        // long as it lasts, also where it has answered.
        let done = |id: &Id| p.answered.contains(id) && p.phase != Phase::Fencing;
        let silent: Vec<Id> = to.into_iter().filter(|id| !done(id)).collect();
        match (p.phase, p.digest) {
            (Phase::Staging, _) => {
                self.say_all(self.members.voters.clone(), &Message::Prepare { number, ballot });
            }
            // A voter accepts behind a fence of its own only.
            (Phase::Accepting, Some(digest)) if number > 1 => {
                self.say_all(silent.iter().copied(), &Message::Fence { number, ballot, digest });
            }
            _ => {}
        }
        self.say_all(silent, &message);
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        if let Some(p) = &mut self.proposal {
            (p.phase, p.since) = (phase, now);
            p.answered.clear();
            p.overtaken.clear();
        }
        self.speak(now);
    }

    /// The proposal, if an answer is one to its present phase and ballot.
    fn answered(&mut self, number: u64, ballot: Ballot, phase: Phase) -> Option<&mut Proposal> {
        let ours = self.proposal.as_ref().is_some_and(|p| p.number == number && p.ballot == ballot);
        if !ours {
            // Late, doubled, or never asked for.
            self.drop_one();
        }
        self.proposal.as_mut().filter(|p| ours && p.phase == phase)
    }

    pub(crate) fn promised(
        &mut self,
        now: Duration,
        from: Id,
        number: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Digest)>,
    ) {
        let (voter, majority) = (self.members.voters.contains(&from), self.majority());
        let Some(p) = self.answered(number, ballot, Phase::Preparing).filter(|_| voter) else { return };
        p.promised.insert(from, accepted);
        p.answered.insert(from);
        if p.promised.len() < majority {
            return;
        }
        let last = p.promised.iter().filter_map(|(holder, accepted)| accepted.map(|a| (a, *holder))).max();
        let last = last.filter(|_| !(planted(Defect::TakesItsOwnOverAnAcceptedOne) && p.own.is_some()));
        let (own, sent) = (p.own, p.forced);
        if let Some(((_, digest), holder)) = last {
            // Its text is needed to know who will be a member. Who holds it need not be who has just promised.
            let message = Message::Promised { number, ballot, accepted };
            if self.text(digest, holder, from, &message).is_none() {
                return;
            }
            if let Some(own) = own.filter(|own| *own != digest && !sent) {
                self.note(number, own, Outcome::NotDecided(Reason::Superseded));
            }
        }
        let Some(p) = &mut self.proposal else { return };
        (p.digest, p.forced) = (last.map(|((_, digest), _)| digest).or(own), last.is_some() || sent);
        match p.digest {
            // Nobody of a majority accepted anything: there is nothing to bring to an end.
            None => self.proposal = None,
            Some(_) => self.enter(now, Phase::Staging),
        }
    }

    pub(crate) fn staged(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        let Some(p) = self.answered(number, ballot, Phase::Staging) else { return };
        p.answered.insert(from);
        let Some(digest) = p.digest else { return };
        let all = self.all_concerned(digest);
        if self.proposal.as_ref().is_some_and(|p| all.is_subset(&p.answered)) {
            self.all_have_staged(now);
        }
    }

    fn all_have_staged(&mut self, now: Duration) {
        // Before the first number nobody has a lease, and nobody may be left out.
        let first = self.durable.decided.number == 0;
        self.enter(now, if first { Phase::Accepting } else { Phase::Fencing });
    }

    /// One refusal is a refusal for all, unless the proposal may be decided already.
    pub(crate) fn refused(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, why: String) {
        let found = self.proposal.as_ref().filter(|p| p.number == number && p.ballot == ballot);
        match found.map(|p| (p.phase, p.forced)) {
            Some((Phase::Staging | Phase::Fencing, false)) => {
                self.withdraw(now, Reason::Refused { by: from, why });
            }
            // It will have no lease: that is as good as an answer.
            Some((Phase::Staging, true)) => self.staged(now, from, number, ballot),
            _ => {}
        }
    }

    /// Nothing was said yet by which it could be decided: it is taken back.
    fn withdraw(&mut self, now: Duration, why: Reason) {
        let Some(p) = self.proposal.take() else { return };
        if p.forced {
            return self.rest(now);
        }
        let to = p.digest.or(p.own).map(|digest| self.all_concerned(digest)).unwrap_or_default();
        let (number, ballot) = (p.number, p.ballot);
        self.say_all(to, &Message::Dropped { number, ballot });
        if let Some(own) = p.own {
            self.note(number, own, Outcome::NotDecided(why));
        }
    }

    pub(crate) fn overtaken(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, by: Ballot) {
        let (voters, majority) = (self.members.voters.len(), self.majority());
        let voter = self.members.voters.contains(&from);
        let Some(p) = self.proposal.as_mut().filter(|p| p.number == number && p.ballot == ballot) else {
            return self.drop_one();
        };
        if p.phase == Phase::Preparing && by == by.round_end() {
            // Nobody is at that one any more: once more, above it.
            let (began, own, forced) = (p.began, p.own, p.forced);
            return self.begin(now, began, own, forced, by);
        }
        if !voter {
            // It has staged a later one, and says so when that is asked for.
            return;
        }
        p.overtaken.insert(from);
        if voters - p.overtaken.len().min(voters) >= majority {
            return;
        }
        if p.phase == Phase::Accepting {
            // Whether it is decided is found out a little later.
            self.proposal = None;
            self.rest(now);
        } else {
            self.withdraw(now, Reason::Superseded);
        }
    }

    pub(crate) fn fenced(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        let (voter, majority) = (self.members.voters.contains(&from), self.majority());
        let Some(p) = self.answered(number, ballot, Phase::Fencing).filter(|_| voter) else { return };
        p.answered.insert(from);
        if p.answered.len() >= majority {
            self.enter(now, Phase::Accepting);
        }
    }

    pub(crate) fn accepted(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        let (voter, majority) = (self.members.voters.contains(&from), self.majority());
        let Some(p) = self.answered(number, ballot, Phase::Accepting).filter(|_| voter) else { return };
        p.answered.insert(from);
        let (Some(digest), true) = (p.digest, p.answered.len() >= majority) else { return };
        let all = self.all_concerned(digest);
        self.learn(now, number, digest);
        let missing = self.members.all.clone();
        let until = now + self.terms.response_timeout + 2 * self.terms.lease;
        self.say_all(all, &Message::Decided { number, digest });
        self.spreading = Some(Spreading { number, digest, missing, until, again_at: now + TELL_AGAIN });
    }

    pub(crate) fn is_known(&mut self, from: Id, number: u64) {
        let Some(spreading) = self.spreading.as_mut().filter(|s| s.number <= number) else { return };
        spreading.missing.remove(&from);
        let (of, left) = (spreading.number, spreading.missing.clone());
        for (number, _, outcome) in &mut self.outcomes {
            if let Outcome::Decided { missing } = outcome {
                if *number == of {
                    missing.clone_from(&left);
                }
            }
        }
        if left.is_empty() {
            self.spreading = None;
        }
    }

    pub(crate) fn proposing_tick(&mut self, now: Duration) {
        if let Some(s) = self.spreading.as_mut().filter(|s| now >= s.again_at) {
            s.again_at = now + TELL_AGAIN;
            let (message, to) = (Message::Decided { number: s.number, digest: s.digest }, s.missing.clone());
            if now >= s.until {
                self.spreading = None;
            } else {
                self.say_all(to, &message);
            }
        }
        let Some(p) = self.proposal.as_mut().filter(|p| now >= p.again_at) else { return };
        p.leave_out_stall(now);
        let (response_timeout, waited) = (self.terms.response_timeout, now - p.since);
        let silent = |of: &BTreeSet<Id>| of.difference(&p.answered).copied().collect();
        match p.phase {
            Phase::Preparing if now - p.began >= response_timeout => {
                let why = Reason::NoAnswer(silent(&self.members.voters));
                self.withdraw(now, why);
            }
            Phase::Staging if waited >= response_timeout => {
                if self.durable.decided.number == 0 {
                    let why = Reason::NoAnswer(silent(&self.members.all));
                    self.withdraw(now, why);
                } else {
                    self.all_have_staged(now);
                }
            }
            Phase::Fencing if waited >= response_timeout + 2 * self.terms.voter_lease() => {
                let why = Reason::NoAnswer(silent(&self.members.voters));
                self.withdraw(now, why);
            }
            _ => self.speak(now),
        }
    }
}
