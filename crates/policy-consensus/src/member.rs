//! One member of the group: learns decisions, stages proposals and holds a lease. Its role as a voter is in
//! `voting`, its role as a proposer in `proposing`.

use crate::defects::{injected, Defect};
use crate::proposing::{Dissemination, Proposal};
use crate::types::{
    Ballot, CheckedProposal, Chosen, Digest, DurableState, Id, Members, Message, Outcome, Reason,
    ServiceStatus, Timing, MAX_HISTORY, MAX_REASON_BYTES,
};
use crate::voting::Voting;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Unanswered messages are sent again after this time.
pub(crate) const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(200);
/// Messages that wait for a text. Proposers retransmit, so that one that does not fit is not lost.
const MAX_WAITING_MESSAGES: usize = 32;
/// Lease requests whose answers still count.
const MAX_PENDING_RENEWALS: usize = 8;
/// Checked proposals held in memory; those that are no longer active are evicted first.
const MAX_PROPOSALS: usize = 32;
/// Proposals made here whose outcome is remembered.
const MAX_OUTCOMES: usize = 16;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lease {
    nonce: u64,
    /// When each request was sent. The lease counts from then, as its answer may be delayed arbitrarily.
    pending_renewals: VecDeque<(u64, Duration)>,
    grants: BTreeMap<Id, Duration>,
    until: Duration,
    renew_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub(crate) timing: Timing,
    pub(crate) durable: DurableState,
    /// Members under the number in force; at number 0, those of the founding proposal that is staged here.
    pub(crate) members: Members,
    eligibility: Result<(), String>,
    pub(crate) proposals: BTreeMap<Digest, CheckedProposal>,
    requested_texts: BTreeSet<Digest>,
    text_requests: Vec<(Digest, Id)>,
    waiting: VecDeque<(Digest, Id, Message)>,
    lease: Lease,
    pub(crate) voting: Voting,
    pub(crate) proposal: Option<Proposal>,
    pub(crate) dissemination: Option<Dissemination>,
    /// Number, proposal and its outcome.
    pub(crate) outcomes: VecDeque<(u64, Digest, Outcome)>,
    outbox: Vec<(Id, Message)>,
    loopback: VecDeque<Message>,
    seed: u64,
    random_draws: u64,
    dropped: u64,
}

impl Member {
    /// Starts a member from its durable state and the checked proposals that this refers to. `fresh` if no
    /// process ran on this state before, so that no lease granted by it can be valid.
    pub fn new(
        timing: Timing,
        durable: DurableState,
        proposals: BTreeMap<Digest, CheckedProposal>,
        fresh: bool,
        seed: u64,
        now: Duration,
    ) -> Self {
        // Guards against leases granted before a restart, which are not persisted: they expire before this
        // voter reports that no member holds one.
        let quiet_until =
            if fresh || injected(Defect::NoWaitAfterRestart) { now } else { now + timing.voter_lease() };
        let mut member = Member {
            timing,
            members: Members::default(),
            eligibility: Ok(()),
            proposals,
            requested_texts: BTreeSet::new(),
            text_requests: Vec::new(),
            waiting: VecDeque::new(),
            lease: Lease { nonce: seed, renew_at: now, ..Lease::default() },
            voting: Voting::new(now, quiet_until),
            proposal: None,
            dissemination: None,
            outcomes: VecDeque::new(),
            outbox: Vec::new(),
            loopback: VecDeque::new(),
            seed,
            random_draws: 0,
            dropped: 0,
            durable,
        };
        member.load_members();
        member.schedule_recovery(now);
        member
    }

    /// Loads members and eligibility from the policy in force, or from a founding that was begun here.
    fn load_members(&mut self) {
        let open = [self.durable.accepted, self.durable.staged]
            .into_iter()
            .flatten()
            .map(|(_, digest)| digest)
            .next();
        let digest = if self.durable.decided.number > 0 { Some(self.durable.decided.digest) } else { open };
        if let Some(proposal) = digest.and_then(|digest| self.proposals.get(&digest)) {
            (self.members, self.eligibility) = (proposal.members.clone(), proposal.eligibility.clone());
        }
    }

    // ---- outputs, collected by the host ----

    /// Must be on disk before any message of `take_messages` is sent or `service_status` is acted on.
    pub fn durable_state(&self) -> &DurableState {
        &self.durable
    }

    /// Messages to send once the durable state is on disk. Each may be lost, delayed or duplicated.
    pub fn take_messages(&mut self) -> Vec<(Id, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Texts to fetch, each with a member that has it; answered by `text_available` or `text_unavailable`.
    pub fn take_text_requests(&mut self) -> Vec<(Digest, Id)> {
        std::mem::take(&mut self.text_requests)
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
            false => ServiceStatus::Denied(
                "no majority of the voters confirms that the policy here is still in force",
            ),
        }
    }

    /// How long this member may accept tasks without another lease.
    pub fn lease_left(&self, now: Duration) -> Duration {
        self.lease.until.saturating_sub(now)
    }

    pub fn in_force(&self) -> Chosen {
        self.durable.decided
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Whether it can serve under the policy in force, or the reason why not.
    pub fn eligibility(&self) -> &Result<(), String> {
        &self.eligibility
    }

    /// When this voter last heard from a member, and the number that it reported to be in force there.
    pub fn last_seen(&self, member: Id) -> Option<(Duration, u64)> {
        self.voting.last_seen.get(&member).copied()
    }

    /// Proposals made here, by number, with their outcomes; latest last.
    pub fn outcomes(&self) -> impl Iterator<Item = (u64, Digest, &Outcome)> {
        self.outcomes.iter().map(|(number, digest, outcome)| (*number, *digest, outcome))
    }

    pub fn outcome(&self, digest: Digest) -> Option<(u64, &Outcome)> {
        let found = self.outcomes.iter().rev().find(|(_, known, _)| *known == digest);
        found.map(|(number, _, outcome)| (*number, outcome))
    }

    /// Ignored messages: unsolicited answers and requests from unknown senders.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// When `tick` must be called next.
    pub fn next_tick(&self) -> Duration {
        let renew = (self.durable.decided.number > 0).then_some(self.lease.renew_at);
        let again = [
            self.proposal.as_ref().map(|p| p.retransmit_at),
            self.dissemination.as_ref().map(|s| s.retransmit_at),
            self.voting_next_tick(),
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
        self.deliver_loopback(now);
    }

    pub fn receive(&mut self, now: Duration, from: Id, message: Message) {
        self.handle(now, from, message);
        self.deliver_loopback(now);
    }

    /// A text is on the local disk and has been checked.
    pub fn text_available(&mut self, now: Duration, digest: Digest, proposal: CheckedProposal) {
        self.requested_texts.remove(&digest);
        if self.proposals.len() >= MAX_PROPOSALS {
            let needed = self.durable.active_digests();
            self.proposals.retain(|digest, _| needed.contains(digest));
        }
        self.proposals.insert(digest, proposal);
        let (ready, rest) = std::mem::take(&mut self.waiting).into_iter().partition(|(of, ..)| *of == digest);
        self.waiting = rest;
        let ready: VecDeque<(Digest, Id, Message)> = ready;
        for (_, from, message) in ready {
            self.handle(now, from, message);
        }
        self.deliver_loopback(now);
    }

    /// A text could not be fetched.
    pub fn text_unavailable(&mut self, digest: Digest) {
        self.requested_texts.remove(&digest);
        self.waiting.retain(|(of, ..)| *of != digest);
    }

    // ---- internals ----

    /// Delivers messages to this member itself at once.
    fn deliver_loopback(&mut self, now: Duration) {
        while let Some(message) = self.loopback.pop_front() {
            self.handle(now, self.durable.id, message);
        }
    }

    pub(crate) fn send(&mut self, to: Id, message: Message) {
        match to == self.durable.id {
            true => self.loopback.push_back(message),
            false => self.outbox.push((to, message)),
        }
    }

    pub(crate) fn send_all(&mut self, to: impl IntoIterator<Item = Id>, message: &Message) {
        to.into_iter().for_each(|to| self.send(to, message.clone()));
    }

    pub(crate) fn count_dropped(&mut self) {
        self.dropped += 1;
    }

    pub(crate) fn is_member(&self) -> bool {
        self.members.all.contains(&self.durable.id)
    }

    /// A random duration between zero and `whole`.
    pub(crate) fn random_part(&mut self, whole: Duration) -> Duration {
        self.random_draws += 1;
        whole.mul_f32(
            oorandom::Rand32::new(self.seed ^ self.durable.id ^ (self.random_draws << 32)).rand_float(),
        )
    }

    /// The checked proposal; if its text is not here, requests it from `holder` and lets the message wait for
    /// it.
    pub(crate) fn checked_proposal(
        &mut self,
        digest: Digest,
        holder: Id,
        from: Id,
        message: &Message,
    ) -> Option<CheckedProposal> {
        if let Some(proposal) = self.proposals.get(&digest) {
            return Some(proposal.clone());
        }
        if self.requested_texts.insert(digest) {
            self.text_requests.push((digest, holder));
        }
        let waiting_message = (digest, from, message.clone());
        if !self.waiting.contains(&waiting_message) {
            self.waiting.truncate(MAX_WAITING_MESSAGES - 1);
            self.waiting.push_back(waiting_message);
        }
        None
    }

    /// Whether a message concerns the number that is decided next. A sender that is behind is sent the latest
    /// decision; one that is ahead is asked for its own.
    pub(crate) fn check_next_number(&mut self, from: Id, number: u64) -> bool {
        let Chosen { number: last, digest } = self.durable.decided;
        if number <= last {
            self.send(from, Message::Decided { number: last, digest });
        } else if number > last + 1 {
            self.send(from, Message::Behind { number: last });
        }
        number == last + 1
    }

    fn handle(&mut self, now: Duration, from: Id, message: Message) {
        match message {
            Message::Renew { nonce, number, staged } => self.on_renew(now, from, nonce, number, staged),
            Message::Granted { nonce, number } => self.on_granted(now, from, nonce, number),
            Message::Withheld { .. } => {}
            Message::Prepare { number, ballot } => self.on_prepare(now, from, number, ballot),
            Message::Fence { number, ballot, digest } => self.on_fence(now, from, number, ballot, digest),
            Message::Accept { number, ballot, digest } => self.on_accept(now, from, number, ballot, digest),
            Message::Stage { number, ballot, digest } => {
                if self.check_next_number(from, number) {
                    self.on_stage(now, from, number, ballot, digest);
                }
            }
            Message::Dropped { number, ballot } => {
                if number == self.durable.decided.number + 1 {
                    self.abandon_ballot(ballot);
                    // A message waiting for its text must not be staged when the text arrives.
                    self.waiting.retain(|(.., pending)| {
                        !matches!(
                            pending,
                            Message::Stage { number: n, ballot: b, .. } if (*n, *b) == (number, ballot)
                        )
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
                if number > self.durable.decided.number
                    && self.checked_proposal(digest, from, from, &message).is_some()
                {
                    self.apply_decision(now, number, digest);
                }
                if number <= self.durable.decided.number {
                    self.send(from, Message::Known { number: self.durable.decided.number });
                }
            }
            Message::Behind { number } => {
                let Chosen { number: last, digest } = self.durable.decided;
                if number < last {
                    self.send(from, Message::Decided { number: last, digest });
                }
            }
            Message::Promised { number, ballot, accepted } => {
                self.on_promised(now, from, number, ballot, accepted)
            }
            Message::Overtaken { number, ballot, by } => self.on_overtaken(now, from, number, ballot, by),
            Message::Staged { number, ballot } => self.on_staged(now, from, number, ballot),
            Message::Refused { number, ballot, why } => self.on_refused(now, from, number, ballot, why),
            Message::Fenced { number, ballot } => self.on_fenced(now, from, number, ballot),
            Message::Accepted { number, ballot } => self.on_accepted(now, from, number, ballot),
            Message::Known { number } => self.on_known(from, number),
        }
    }

    fn on_stage(&mut self, now: Duration, from: Id, number: u64, ballot: Ballot, digest: Digest) {
        let message = Message::Stage { number, ballot, digest };
        let Some(proposal) = self.checked_proposal(digest, from, from, &message) else { return };
        if let Some((by, _)) = self.durable.staged.filter(|(staged, _)| *staged > ballot) {
            return self.send(from, Message::Overtaken { number, ballot, by });
        }
        let other_founding = number == 1 && !self.members.all.is_empty() && self.members != proposal.members;
        let refusal = if proposal.number != number {
            Some(format!("it was made for number {}", proposal.number))
        } else if other_founding {
            // Guards against two groups made of the same schedulers.
            Some("the founding of a group with other members is under way here".into())
        } else {
            proposal.eligibility.clone().err().filter(|_| !injected(Defect::StagesIneligibleProposal))
        };
        if let Some(mut why) = refusal {
            why.truncate(why.floor_char_boundary(MAX_REASON_BYTES));
            return self.send(from, Message::Refused { number, ballot, why });
        }
        if number == 1 {
            self.members = proposal.members;
        }
        let new = self.durable.staged.is_none_or(|(_, staged)| staged != digest);
        self.durable.staged = Some((ballot, digest));
        self.send(from, Message::Staged { number, ballot });
        if new && number > 1 {
            // Reports it to the voters at once, as a fence waits for that.
            self.renew(now);
        }
    }

    fn renew(&mut self, now: Duration) {
        let member = self.is_member();
        let lease = &mut self.lease;
        lease.nonce = lease.nonce.wrapping_add(1);
        lease.pending_renewals.push_back((lease.nonce, now));
        if lease.pending_renewals.len() > MAX_PENDING_RENEWALS {
            lease.pending_renewals.pop_front();
        }
        let lease_expired = member && lease.until <= now;
        lease.renew_at =
            now + if lease_expired { self.timing.renew_interval() / 4 } else { self.timing.renew_interval() };
        let nonce = lease.nonce;
        let (number, staged) = (self.durable.decided.number, self.durable.staged.map(|(_, digest)| digest));
        // Guards against all voters having been replaced while this member was away: any member can send the
        // latest number.
        let to = if lease_expired { self.members.all.clone() } else { self.members.voters.clone() };
        self.send_all(to, &Message::Renew { nonce, number, staged });
    }

    fn on_granted(&mut self, now: Duration, from: Id, nonce: u64, number: u64) {
        let sent_at =
            self.lease.pending_renewals.iter().find(|(known, _)| *known == nonce).map(|(_, at)| *at);
        let voter = self.members.voters.contains(&from);
        // Guards against a delayed answer, or one to an earlier incarnation: it matches no pending request.
        let Some(sent_at) = sent_at.filter(|_| voter && number == self.durable.decided.number) else {
            return self.count_dropped();
        };
        let counted_from = if injected(Defect::LeaseCountedFromAnswer) { now } else { sent_at };
        let until = counted_from + self.timing.lease;
        let grant = self.lease.grants.entry(from).or_default();
        *grant = (*grant).max(until);
        self.update_lease();
    }

    /// The lease lasts as long as a majority of the voters grants it.
    fn update_lease(&mut self) {
        let mut grants: Vec<Duration> = self.lease.grants.values().copied().collect();
        grants.sort_unstable_by(|a, b| b.cmp(a));
        let needed = self.majority();
        self.lease.until = grants.get(needed - 1).copied().unwrap_or_default();
    }

    pub(crate) fn majority(&self) -> usize {
        match injected(Defect::HalfCountsAsMajority) {
            true => (self.members.voters.len() / 2).max(1),
            false => self.members.majority(),
        }
    }

    /// Applies a decision whose text is available here.
    pub(crate) fn apply_decision(&mut self, now: Duration, number: u64, digest: Digest) {
        let Some(proposal) = self.proposals.get(&digest).cloned() else { return };
        // If the same voters decided this number, a lease under the previous one remains valid and they keep
        // counting it: no other number can have been decided in between. With other voters the lease must be
        // requested again.
        let same_voters =
            number == self.durable.decided.number + 1 && proposal.members.voters == self.members.voters;
        let same_voters = same_voters || injected(Defect::KeepsLeaseAcrossVoterChange);
        if !same_voters {
            (self.lease.grants, self.lease.until) = Default::default();
        }
        let chosen = Chosen { number, digest };
        self.durable.decided = chosen;
        (self.durable.promised, self.durable.accepted, self.durable.staged, self.durable.fence) =
            Default::default();
        self.durable.history.push(chosen);
        let beyond = self.durable.history.len().saturating_sub(MAX_HISTORY);
        self.durable.history.drain(..beyond);
        (self.members, self.eligibility) = (proposal.members, proposal.eligibility);
        // Guards against leases granted by the previous voters, which the new ones do not know.
        let quiet_until = if same_voters { now } else { now + self.timing.voter_lease() };
        self.voting.start_next_number(now, quiet_until);
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
        self.proposals.retain(|digest, _| needed.contains(digest));
        self.lease.renew_at = now;
        if self.is_member() {
            self.renew(now);
        }
    }

    pub(crate) fn record_outcome(&mut self, number: u64, digest: Digest, outcome: Outcome) {
        self.outcomes.retain(|(_, known, _)| *known != digest);
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((number, digest, outcome));
    }
}
