//! One member of the group: learns what is decided, stages what is proposed, holds a lease. What it does as a voter is in
//! `voting`, what it does for a proposal made at it in `proposing`.

use crate::defects::{planted, Defect};
use crate::proposing::{Proposal, Spreading};
use crate::types::{
    Ballot, CheckedProposal, Chosen, Digest, DurableState, Id, Members, Message, Outcome, Reason,
    ServiceStatus, Timing, MAX_HISTORY, MAX_REASON_BYTES,
};
use crate::voting::Voting;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What is not answered is said again after this.
pub(crate) const AGAIN: Duration = Duration::from_millis(200);
/// Messages that wait for a text; a proposer says them again, so that one that finds no room is no loss.
const WAITING: usize = 32;
/// Calls for a lease whose answers still count.
const CALLS: usize = 8;
/// Readings at hand; those of proposals that came to nothing go first.
const TEXTS: usize = 32;
/// Proposals made here whose outcome is remembered.
const OUTCOMES: usize = 16;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lease {
    nonce: u64,
    /// When each call was made. The lease counts from there: the answer may be late by any time.
    calls: VecDeque<(u64, Duration)>,
    grants: BTreeMap<Id, Duration>,
    until: Duration,
    renew_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub(crate) terms: Timing,
    pub(crate) durable: DurableState,
    /// Under the number in force; at number 0 those of the founding that is staged here.
    pub(crate) members: Members,
    eligibility: Result<(), String>,
    pub(crate) known: BTreeMap<Digest, CheckedProposal>,
    asked: BTreeSet<Digest>,
    wants: Vec<(Digest, Id)>,
    waiting: VecDeque<(Digest, Id, Message)>,
    lease: Lease,
    pub(crate) voting: Voting,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) spreading: Option<Spreading>,
    /// Number, proposal, and what became of it.
    pub(crate) outcomes: VecDeque<(u64, Digest, Outcome)>,
    out: Vec<(Id, Message)>,
    own: VecDeque<Message>,
    seed: u64,
    draws: u64,
    dropped: u64,
}

impl Member {
    /// A member that starts with what it kept, and the readings of the texts that this names. `fresh` where no process
    /// of it ran before, so that no lease of its can be out.
    pub fn new(
        terms: Timing,
        durable: DurableState,
        known: BTreeMap<Digest, CheckedProposal>,
        fresh: bool,
        seed: u64,
        now: Duration,
    ) -> Self {
        // Guards against grants of the life before, which are forgotten: they run out before this voter says that
        // nobody has one.
        let quiet =
            if fresh || planted(Defect::ForgetsItsGrantsAtAStart) { now } else { now + terms.voter_lease() };
        let mut member = Member {
            terms,
            members: Members::default(),
            eligibility: Ok(()),
            known,
            asked: BTreeSet::new(),
            wants: Vec::new(),
            waiting: VecDeque::new(),
            lease: Lease { nonce: seed, renew_at: now, ..Lease::default() },
            voting: Voting::new(now, quiet),
            proposal: None,
            spreading: None,
            outcomes: VecDeque::new(),
            out: Vec::new(),
            own: VecDeque::new(),
            seed,
            draws: 0,
            dropped: 0,
            durable,
        };
        member.belong();
        member.rest(now);
        member
    }

    /// Takes members and fitness from what is in force, or from a founding that was begun here.
    fn belong(&mut self) {
        let open = [self.durable.accepted, self.durable.staged]
            .into_iter()
            .flatten()
            .map(|(_, digest)| digest)
            .next();
        let digest = if self.durable.decided.number > 0 { Some(self.durable.decided.digest) } else { open };
        if let Some(reading) = digest.and_then(|digest| self.known.get(&digest)) {
            (self.members, self.eligibility) = (reading.members.clone(), reading.eligibility.clone());
        }
    }

    // ---- what the host pulls ----

    /// What is to be on the disk before any message of `said` is sent, or `standing` is acted upon.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// Messages to be sent, once what is kept is on the disk. Each may be lost, late or doubled.
    pub fn take_messages(&mut self) -> Vec<(Id, Message)> {
        std::mem::take(&mut self.out)
    }

    /// Texts to be fetched, each from who has it; answered by `read` or `unread`.
    pub fn take_text_requests(&mut self) -> Vec<(Digest, Id)> {
        std::mem::take(&mut self.wants)
    }

    pub fn service_status(&self, now: Duration) -> ServiceStatus {
        if self.durable.decided.number == 0 {
            return ServiceStatus::Denied("no policy has been decided in this group yet");
        }
        if !self.is_member() {
            return ServiceStatus::Denied("this scheduler is not a member of the group");
        }
        if self.eligibility.is_err() {
            return ServiceStatus::Denied("this scheduler cannot serve under the policy in force");
        }
        match now < self.lease.until {
            true => ServiceStatus::Allowed(self.durable.decided.number),
            false => {
                ServiceStatus::Denied("no majority of the voters says that the policy here is still in force")
            }
        }
    }

    /// How long this member may take tasks from now on without a further word.
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.lease.until.saturating_sub(now)
    }

    pub fn in_force(&self) -> Chosen {
        self.durable.decided
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Why it cannot serve under what is in force.
    pub fn eligibility(&self) -> &Result<(), String> {
        &self.eligibility
    }

    /// When a member was last heard here, and the number that it said is in force there; a voter hears all.
    pub fn last_seen(&self, member: Id) -> Option<(Duration, u64)> {
        self.voting.seen.get(&member).copied()
    }

    /// Proposals made here, by number, with what became of them; the latest last.
    pub fn outcomes(&self) -> impl Iterator<Item = (u64, Digest, &Outcome)> {
        self.outcomes.iter().map(|(number, digest, outcome)| (*number, *digest, outcome))
    }

    pub fn outcome(&self, digest: Digest) -> Option<(u64, &Outcome)> {
        let found = self.outcomes.iter().rev().find(|(_, known, _)| *known == digest);
        found.map(|(number, _, outcome)| (*number, outcome))
    }

    /// Messages that counted for nothing: answers to what was not asked, calls of strangers.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// When `tick` is due.
    pub fn next_tick(&self) -> Duration {
        let renew = (self.durable.decided.number > 0).then_some(self.lease.renew_at);
        let again = [
            self.proposal.as_ref().map(|p| p.again_at),
            self.spreading.as_ref().map(|s| s.again_at),
            self.voting_wake(),
        ];
        again.into_iter().flatten().chain(renew).min().unwrap_or(Duration::MAX)
    }

    // ---- inputs ----

    pub fn tick(&mut self, now: Duration) {
        if self.durable.decided.number > 0 && now >= self.lease.renew_at {
            self.renew(now);
        }
        self.voting_tick(now);
        self.proposing_tick(now);
        self.settle(now);
    }

    pub fn receive(&mut self, now: Duration, from: Id, message: Message) {
        self.take(now, from, message);
        self.settle(now);
    }

    /// A text is on the disk here, and was checked.
    pub fn text_available(&mut self, now: Duration, digest: Digest, reading: CheckedProposal) {
        self.asked.remove(&digest);
        if self.known.len() >= TEXTS {
            let needed = self.durable.active_digests();
            self.known.retain(|digest, _| needed.contains(digest));
        }
        self.known.insert(digest, reading);
        let (ready, rest) = std::mem::take(&mut self.waiting).into_iter().partition(|(of, ..)| *of == digest);
        self.waiting = rest;
        let ready: VecDeque<(Digest, Id, Message)> = ready;
        for (_, from, message) in ready {
            self.take(now, from, message);
        }
        self.settle(now);
    }

    /// A text could not be had.
    pub fn text_unavailable(&mut self, digest: Digest) {
        self.asked.remove(&digest);
        self.waiting.retain(|(of, ..)| *of != digest);
    }

    // ---- within ----

    /// What is said to oneself is heard at once.
    fn settle(&mut self, now: Duration) {
        while let Some(message) = self.own.pop_front() {
            self.take(now, self.durable.id, message);
        }
    }

    pub(crate) fn say(&mut self, to: Id, message: Message) {
        match to == self.durable.id {
            true => self.own.push_back(message),
            false => self.out.push((to, message)),
        }
    }

    pub(crate) fn say_all(&mut self, to: impl IntoIterator<Item = Id>, message: &Message) {
        to.into_iter().for_each(|to| self.say(to, message.clone()));
    }

    pub(crate) fn drop_one(&mut self) {
        self.dropped += 1;
    }

    pub(crate) fn is_member(&self) -> bool {
        self.members.all.contains(&self.durable.id)
    }

    /// A span between none and the whole.
    pub(crate) fn some_of(&mut self, whole: Duration) -> Duration {
        self.draws += 1;
        whole.mul_f32(oorandom::Rand32::new(self.seed ^ self.durable.id ^ (self.draws << 32)).rand_float())
    }

    /// The reading of a text; where it is not here its holder is asked for it, and the message waits.
    pub(crate) fn text(
        &mut self,
        digest: Digest,
        holder: Id,
        from: Id,
        message: &Message,
    ) -> Option<CheckedProposal> {
        if let Some(reading) = self.known.get(&digest) {
            return Some(reading.clone());
        }
        if self.asked.insert(digest) {
            self.wants.push((digest, holder));
        }
        let waits = (digest, from, message.clone());
        if !self.waiting.contains(&waits) {
            self.waiting.truncate(WAITING - 1);
            self.waiting.push_back(waits);
        }
        None
    }

    /// Whether a message is about the number that is decided next; who is behind is told, who is ahead is asked.
    pub(crate) fn is_next(&mut self, from: Id, number: u64) -> bool {
        let Chosen { number: last, digest } = self.durable.decided;
        if number <= last {
            self.say(from, Message::Decided { number: last, digest });
        } else if number > last + 1 {
            self.say(from, Message::Behind { number: last });
        }
        number == last + 1
    }

    fn take(&mut self, now: Duration, from: Id, message: Message) {
        match message {
            Message::Renew { nonce, number, staged } => self.renewal(now, from, nonce, number, staged),
            Message::Granted { nonce, number } => self.granted(now, from, nonce, number),
            Message::Withheld { .. } => {}
            Message::Prepare { number, ballot } => self.prepare(now, from, number, ballot),
            Message::Fence { number, ballot, digest } => self.fence(now, from, number, ballot, digest),
            Message::Accept { number, ballot, digest } => self.accept(now, from, number, ballot, digest),
            Message::Stage { number, ballot, digest } => {
                if self.is_next(from, number) {
                    self.stage(now, from, number, ballot, digest);
                }
            }
            Message::Dropped { number, ballot } => {
                if number == self.durable.decided.number + 1 {
                    self.give_up(ballot);
                    // One that waits for its text is not to be staged when the text comes.
                    self.waiting.retain(|(.., waits)| {
                        !matches!(waits, Message::Stage { number: n, ballot: b, .. } if (*n, *b) == (number, ballot))
                    });
                    self.durable.staged.take_if(|(staged, _)| *staged == ballot);
                    let none = self.durable.staged.is_none() && self.durable.accepted.is_none();
                    if self.durable.decided.number == 0 && none {
                        self.members = Members::default();
                    }
                }
            }
            Message::Decided { number, digest } => {
                let message = Message::Decided { number, digest };
                if number > self.durable.decided.number && self.text(digest, from, from, &message).is_some() {
                    self.learn(now, number, digest);
                }
                if number <= self.durable.decided.number {
                    self.say(from, Message::Known { number: self.durable.decided.number });
                }
            }
            Message::Behind { number } => {
                let Chosen { number: last, digest } = self.durable.decided;
                if number < last {
                    self.say(from, Message::Decided { number: last, digest });
                }
            }
            Message::Promised { number, ballot, accepted } => {
                self.promised(now, from, number, ballot, accepted)
            }
            Message::Overtaken { number, ballot, by } => self.overtaken(now, from, number, ballot, by),
            Message::Staged { number, ballot } => self.staged(now, from, number, ballot),
            Message::Refused { number, ballot, why } => self.refused(now, from, number, ballot, why),
            Message::Fenced { number, ballot } => self.fenced(now, from, number, ballot),
            Message::Accepted { number, ballot } => self.accepted(now, from, number, ballot),
            Message::Known { number } => self.is_known(from, number),
        }
    }

    fn stage(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, digest: Digest) {
        let message = Message::Stage { number, ballot, digest };
        let Some(reading) = self.text(digest, from, from, &message) else { return };
        if let Some((by, _)) = self.durable.staged.filter(|(staged, _)| *staged > ballot) {
            return self.say(from, Message::Overtaken { number, ballot, by });
        }
        let other = number == 1 && !self.members.all.is_empty() && self.members != reading.members;
        let refusal = if reading.number != number {
            Some(format!("it was made for number {}", reading.number))
        } else if other {
            // Guards against two groups made of the same schedulers.
            Some("a founding with other members was begun here".into())
        } else {
            reading.eligibility.clone().err().filter(|_| !planted(Defect::StagesWhatItCannotServe))
        };
        if let Some(mut why) = refusal {
            why.truncate(why.floor_char_boundary(MAX_REASON_BYTES));
            return self.say(from, Message::Refused { number, ballot, why });
        }
        if number == 1 {
            self.members = reading.members;
        }
        let new = self.durable.staged.is_none_or(|(_, staged)| staged != digest);
        self.durable.staged = Some((ballot, digest));
        self.say(from, Message::Staged { number, ballot });
        if new && number > 1 {
            // The voters learn of it at once: a fence waits for that.
            self.renew(now);
        }
    }

    fn renew(&mut self, now: Duration) {
        let member = self.is_member();
        let lease = &mut self.lease;
        lease.nonce = lease.nonce.wrapping_add(1);
        lease.calls.push_back((lease.nonce, now));
        if lease.calls.len() > CALLS {
            lease.calls.pop_front();
        }
        let out = member && lease.until <= now;
        lease.renew_at =
            now + if out { self.terms.renew_interval() / 4 } else { self.terms.renew_interval() };
        let nonce = lease.nonce;
        let (number, staged) = (self.durable.decided.number, self.durable.staged.map(|(_, digest)| digest));
        // Guards against voters that were all replaced while this member was away: any member tells it the number.
        let to = if out { self.members.all.clone() } else { self.members.voters.clone() };
        self.say_all(to, &Message::Renew { nonce, number, staged });
    }

    fn granted(&mut self, now: Duration, from: Id, nonce: u64, number: u64) {
        let call = self.lease.calls.iter().find(|(known, _)| *known == nonce).map(|(_, at)| *at);
        let voter = self.members.voters.contains(&from);
        // Guards against an answer of long ago, or from another life: it is no answer to any call of now.
        let Some(call) = call.filter(|_| voter && number == self.durable.decided.number) else {
            return self.drop_one();
        };
        let counts = if planted(Defect::LeaseFromTheAnswer) { now } else { call };
        let until = counts + self.terms.lease;
        let grant = self.lease.grants.entry(from).or_default();
        *grant = (*grant).max(until);
        self.count_grants();
    }

    /// The lease holds for as long as a majority of the voters grants it.
    fn count_grants(&mut self) {
        let mut grants: Vec<Duration> = self.lease.grants.values().copied().collect();
        grants.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.majority();
        self.lease.until = grants.get(needed - 1).copied().unwrap_or_default();
    }

    pub(crate) fn majority(&self) -> usize {
        match planted(Defect::HalfIsEnough) {
            true => (self.members.voters.len() / 2).max(1),
            false => self.members.majority(),
        }
    }

    /// A number is decided, and its text is here.
    pub(crate) fn learn(&mut self, now: Duration, number: u64, digest: Digest) {
        let Some(reading) = self.known.get(&digest).cloned() else { return };
        // A lease under the number before holds on where the same voters granted it, and nobody can have decided a
        // number in between: they go on counting it. With other voters it is asked for anew.
        let same = number == self.durable.decided.number + 1 && reading.members.voters == self.members.voters;
        let same = same || planted(Defect::KeepsItsLeaseWithOtherVoters);
        if !same {
            (self.lease.grants, self.lease.until) = Default::default();
        }
        let chosen = Chosen { number, digest };
        self.durable.decided = chosen;
        (self.durable.promised, self.durable.accepted, self.durable.staged, self.durable.fence) =
            Default::default();
        self.durable.history.push(chosen);
        let beyond = self.durable.history.len().saturating_sub(MAX_HISTORY);
        self.durable.history.drain(..beyond);
        (self.members, self.eligibility) = (reading.members, reading.eligibility);
        // Guards against leases that voters of before have granted, of which these know nothing.
        let quiet = if same { now } else { now + self.terms.voter_lease() };
        self.voting.learned(now, quiet);
        for (of, proposed, outcome) in &mut self.outcomes {
            if *outcome == Outcome::InProgress && *of <= number {
                *outcome = match (*of == number, *proposed == digest) {
                    (true, true) => Outcome::Decided { missing: self.members.all.clone() },
                    (true, false) => Outcome::NotDecided(Reason::Superseded),
                    (false, _) => Outcome::Unknown,
                };
            }
        }
        self.proposal.take_if(|proposal| proposal.number <= number);
        let needed = self.durable.active_digests();
        self.known.retain(|digest, _| needed.contains(digest));
        self.lease.renew_at = now;
        if self.is_member() {
            self.renew(now);
        }
    }

    pub(crate) fn note(&mut self, number: u64, digest: Digest, outcome: Outcome) {
        self.outcomes.retain(|(_, known, _)| *known != digest);
        if self.outcomes.len() == OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((number, digest, outcome));
    }
}
