//! What a voter does: grants leases, and decides the next number with the other voters.

use crate::defects::{planted, Defect};
use crate::member::Member;
use crate::types::{Ballot, Digest, Id, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// A proposer that was heard so lately is still at it: who comes second is turned away, and nobody is overtaken in turn.
const AT_IT: Duration = Duration::from_secs(1);
/// What was accepted and not decided is brought to an end by another, this long after its proposer was last heard, and
/// up to as much again by chance, so that few begin at once.
const RECOVER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voting {
    /// Until when each member may serve by this voter's word, on its own clock. Kept over numbers: a lease is.
    grants: BTreeMap<Id, Duration>,
    /// What each member last said to have staged.
    told: BTreeMap<Id, Digest>,
    pub seen: BTreeMap<Id, (Duration, u64)>,
    /// The proposer of the ballot that is promised was heard.
    heard: Duration,
    recover_at: Duration,
    /// Grants of an earlier life may be out until then.
    quiet: Duration,
    said: Option<Ballot>,
}

impl Voting {
    pub fn new(now: Duration, quiet: Duration) -> Self {
        Voting {
            grants: BTreeMap::new(),
            told: BTreeMap::new(),
            seen: BTreeMap::new(),
            heard: now,
            recover_at: now + RECOVER,
            quiet,
            said: None,
        }
    }

    pub fn learned(&mut self, now: Duration, quiet: Duration) {
        self.told.clear();
        self.quiet = self.quiet.max(quiet);
        (self.heard, self.said) = (now, None);
    }
}

impl Member {
    pub(crate) fn is_voter(&self) -> bool {
        self.members.voters.contains(&self.durable.id)
    }

    pub(crate) fn voting_wake(&self) -> Option<Duration> {
        let lifts = self.durable.fence.map(|_| self.voting.heard + self.terms.lease);
        let open = self.durable.accepted.is_some() || self.unsettled().is_some();
        open.then_some(self.voting.recover_at).or(lifts)
    }

    /// When this member next sees to what is left open.
    pub(crate) fn rest(&mut self, now: Duration) {
        self.voting.recover_at = now + RECOVER + self.some_of(RECOVER);
    }

    fn proposer_heard(&mut self, now: Duration) {
        self.voting.heard = now;
        self.rest(now);
    }

    pub(crate) fn renewal(
        &mut self,
        now: Duration,
        from: Id,
        nonce: u64,
        number: u64,
        staged: Option<Digest>,
    ) {
        if self.is_voter() && self.members.all.contains(&from) {
            self.voting.seen.insert(from, (now, number));
        }
        // A lease is for the number in force, after which the next one comes.
        if !self.is_next(from, number.saturating_add(1)) {
            return;
        }
        if !self.is_voter() || !self.members.all.contains(&from) {
            return;
        }
        match staged {
            Some(digest) => drop(self.voting.told.insert(from, digest)),
            None => drop(self.voting.told.remove(&from)),
        }
        let fenced = self.durable.fence.is_some_and(|(_, digest)| staged != Some(digest));
        let fenced = fenced && !planted(Defect::GrantsUnderAFence);
        // Guards against an old policy beside a new one: the number after this one may be decided by now.
        let decided = self.durable.accepted.is_some() && !planted(Defect::GrantsAfterItAccepted);
        if fenced || decided {
            self.say(from, Message::Withheld { nonce, number });
        } else {
            self.voting.grants.insert(from, now + self.terms.voter_lease());
            self.say(from, Message::Granted { nonce, number });
        }
        self.look_at_fence(now, false);
    }

    pub(crate) fn prepare(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) {
        if !self.is_next(from, number) || number > 1 && !self.is_voter() {
            return;
        }
        let promised = self.durable.promised;
        let open = promised != Ballot::default() && promised != promised.round_end();
        let at_it = open && promised.by != ballot.by && now < self.voting.heard + AT_IT;
        if ballot < promised || at_it {
            let by = if at_it { promised } else { promised.round_end() };
            return self.say(from, Message::Overtaken { number, ballot, by });
        }
        if ballot > promised {
            (self.durable.promised, self.durable.fence) = (ballot, None);
        }
        self.proposer_heard(now);
        let accepted = self.durable.accepted.filter(|_| !planted(Defect::PromiseForgetsWhatWasAccepted));
        self.say(from, Message::Promised { number, ballot, accepted });
    }

    /// Whether a ballot may go on here; an older one is told.
    fn goes_on(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot) -> bool {
        if !self.is_next(from, number) || !self.is_voter() {
            return false;
        }
        let promised = self.durable.promised;
        if ballot < promised {
            self.say(from, Message::Overtaken { number, ballot, by: promised });
            return false;
        }
        self.durable.promised = ballot;
        self.proposer_heard(now);
        true
    }

    pub(crate) fn fence(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, digest: Digest) {
        if self.goes_on(now, from, number, ballot) {
            self.durable.fence = Some((ballot, digest));
            self.look_at_fence(now, true);
        }
    }

    /// Whether nobody has a lease of this voter who has not staged that.
    fn is_closed(&self, now: Duration, digest: Digest) -> bool {
        let voting = &self.voting;
        let quiet = now >= voting.quiet;
        let holds = |member| voting.grants.get(member).is_some_and(|until| now < *until) || !quiet;
        let mut all = self.members.all.iter();
        let round_end = all.all(|member| voting.told.get(member) == Some(&digest) || !holds(member));
        round_end || planted(Defect::FencedWithoutWaiting)
    }

    /// Says that the fence is closed, once it is so.
    fn look_at_fence(&mut self, now: Duration, asked: bool) {
        let Some((ballot, digest)) = self.durable.fence else { return };
        if (asked || self.voting.said != Some(ballot)) && self.is_closed(now, digest) {
            self.voting.said = Some(ballot);
            self.say(ballot.by, Message::Fenced { number: self.durable.decided.number + 1, ballot });
        }
    }

    pub(crate) fn accept(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, digest: Digest) {
        // The text comes first: what a majority accepted is on a majority of disks.
        let message = Message::Accept { number, ballot, digest };
        let next = number == self.durable.decided.number + 1;
        if next && self.text(digest, from, from, &message).is_none_or(|reading| reading.number != number) {
            return;
        }
        // Guards against a decision beside a member that serves and has not staged it: of the voters that told the proposer
        // of a closed fence, one may have lifted it since, and another that never had one may accept. Who accepts has
        // granted nothing past the fence, and grants nothing more.
        let fenced = self.durable.fence == Some((ballot, digest)) && self.is_closed(now, digest);
        let first = number == 1 || planted(Defect::AcceptsWithoutAFence);
        if (fenced || first) && self.goes_on(now, from, number, ballot) {
            self.durable.accepted = Some((ballot, digest));
            self.say(from, Message::Accepted { number, ballot });
        }
    }

    /// The proposer has given up, or stands still: nothing of that ballot can be accepted here any more.
    pub(crate) fn give_up(&mut self, ballot: Ballot) {
        let open = self.durable.accepted.is_none_or(|(accepted, _)| accepted != ballot);
        if open && self.durable.promised == ballot {
            (self.durable.promised, self.durable.fence) = (ballot.round_end(), None);
        }
    }

    pub(crate) fn voting_tick(&mut self, now: Duration) {
        let stands_still = now >= self.voting.heard + self.terms.lease;
        if let Some((ballot, _)) =
            self.durable.fence.filter(|_| stands_still && self.durable.accepted.is_none())
        {
            // Guards against members kept out of service by a proposer that is gone.
            self.give_up(ballot);
        }
        // What was accepted is brought to an end; of what was proposed here and overtaken the end is found out.
        if (self.durable.accepted.is_some() || self.unsettled().is_some()) && now >= self.voting.recover_at {
            self.rest(now);
            self.recover(now);
        }
    }
}
