//! When this member proposes, and the messages of a round.
//!
//! A round is abandoned when its promises take too long, when the voters change, or when a higher ballot was
//! promised; the next one waits a random time, so that two proposers do not preempt each other forever.

use std::net::SocketAddr;
use std::time::Duration;

use super::calls::Kind;
use super::configuration::{Ballot, Configuration, Version};
use super::proposer::{Decision, Promise, ReplaceRequest, Round};
use crate::{ControlStore, Message, TableVersion};

/// A promise is valid no longer than this after its round started. The vote of a member whose disk was lost
/// becomes active again after `voters::LOST_DISK_WAIT`: by then no round counts its earlier promises.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(1500);
/// A proposal that is not chosen by then is proposed again in a new round.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2500);
/// How often a prepare is sent again to members that have not promised.
const PREPARE_RESEND_AFTER: Duration = Duration::from_millis(200);
const BACKOFF_BASE_MS: u64 = 30;
const BACKOFF_MAX_MS: u64 = 300;
/// How long a round of another member is given to finish, and how often in a row.
const YIELD_MS: u64 = 40;
const MAX_YIELDS: u32 = 2;
/// An accepted version not known to be chosen is proposed again after this, if its proposer is gone.
const COMPLETE_AFTER_MS: u64 = 500;
/// Additional wait if its proposer is still active.
const COMPLETE_FOR_ANOTHER_AFTER: Duration = Duration::from_millis(2000);
const PROPOSER_ACTIVE_WINDOW: Duration = Duration::from_millis(1000);
/// After a start no proposer is waited for.
const COMPLETE_AT_START_AFTER: Duration = Duration::from_millis(150);
/// Far below the integer limit.
const MAX_ROUND: u64 = 1 << 52;

struct Running {
    round: Round,
    table: TableVersion,
    started_at: Duration,
    /// Send time of the proposal; the round fails `ACCEPT_TIMEOUT` later.
    proposed_at: Option<Duration>,
    prepare_at: Duration,
    fetch_at: Option<Duration>,
}

#[derive(Default)]
pub(super) struct Rounds {
    running: Option<Running>,
    /// The highest round seen.
    highest: u64,
    not_before: Duration,
    failures: u32,
    yields: u32,
    complete_at: Duration,
    /// A promise to be sent once it is on disk.
    pending_promise: Option<(Ballot, TableVersion)>,
}

impl Rounds {
    pub fn at_start(now: Duration) -> Rounds {
        Rounds { complete_at: now + COMPLETE_AT_START_AFTER, ..Rounds::default() }
    }

    /// What the running round proposed, and when.
    pub fn proposed(&self) -> Option<(Version, Duration)> {
        let running = self.running.as_ref()?;
        Some((running.round.proposed?, running.proposed_at?))
    }
}

impl ControlStore {
    /// The table under which rounds run: it is settled, and this member votes in it.
    fn round_table(&self) -> Option<TableVersion> {
        let tables = self.tables.as_ref().filter(|tables| tables.next.is_none() && tables.base.epoch > 0)?;
        self.is_voting().then(|| tables.table_version())
    }

    pub(super) fn schedule_completion(&mut self, now: Duration) {
        let after = Duration::from_millis(COMPLETE_AFTER_MS) + self.random_delay(COMPLETE_AFTER_MS);
        self.register.rounds.complete_at = now + after;
    }

    /// When an accepted version not known to be chosen is proposed again.
    fn completion_due(&self) -> Option<Duration> {
        let held = self.register.held_version();
        if held <= self.register.committed_version() {
            return None;
        }
        let peer = self.peers.get(&held.ballot.proposer);
        let same_incarnation = peer.filter(|peer| peer.incarnation == held.ballot.incarnation);
        let active = same_incarnation
            .and_then(|peer| peer.received_at)
            .is_some_and(|at| self.now <= at + PROPOSER_ACTIVE_WINDOW);
        let extra_wait = if active { COMPLETE_FOR_ANOTHER_AFTER } else { Duration::ZERO };
        Some(self.register.rounds.complete_at + extra_wait)
    }

    fn wants_round(&self, now: Duration) -> bool {
        self.wants_round_for_calls(now)
            || self.completion_due().is_some_and(|due| now >= due) && self.has_recent_majority(now)
    }

    /// Whether a majority recently reported an active vote under the same table.
    fn has_recent_majority(&self, now: Duration) -> bool {
        let table = self.table_version();
        let votes = |at: SocketAddr| {
            at == self.settings.me && self.is_voting()
                || self.peers.get(&at).is_some_and(|peer| {
                    let fresh = peer.state_at.is_some_and(|at| now <= at + super::STATE_VALID_FOR);
                    fresh && peer.state.counts && peer.state.table_version == table
                })
        };
        self.tables.as_ref().is_some_and(|tables| tables.base.has_quorum(votes))
    }

    pub(crate) fn next_round_due(&self) -> Option<Duration> {
        let rounds = &self.register.rounds;
        if let Some(running) = &rounds.running {
            return Some(match running.proposed_at {
                Some(at) => at + ACCEPT_TIMEOUT,
                None => running.prepare_at.min(running.started_at + PREPARE_TIMEOUT),
            });
        }
        self.round_table()?;
        let calls = self.next_round_due_for_calls();
        let completion = self.completion_due().filter(|_| self.has_recent_majority(self.now));
        calls.into_iter().chain(completion).min().map(|due| due.max(rounds.not_before))
    }

    /// Starts, resends, decides, abandons or ends the round of this member.
    pub(super) fn step_round(&mut self, now: Duration) {
        self.end_round(now);
        if self.register.rounds.running.is_none()
            && now >= self.register.rounds.not_before
            && self.wants_round(now)
        {
            self.begin_round(now);
        }
        self.resend_prepare(now);
        self.decide_round(now);
    }

    fn end_round(&mut self, now: Duration) {
        let Some(running) = &self.register.rounds.running else { return };
        let committed = self.register.committed_version();
        if running.round.proposed.is_some_and(|proposed| committed >= proposed) {
            return self.succeed_round();
        }
        let timed_out = match running.proposed_at {
            Some(at) => now >= at + ACCEPT_TIMEOUT,
            None => now >= running.started_at + PREPARE_TIMEOUT,
        };
        let preempted = self.register.promised() > running.round.ballot;
        if timed_out || preempted || self.round_table() != Some(running.table) {
            self.fail_round(now);
        }
    }

    fn succeed_round(&mut self) {
        let rounds = &mut self.register.rounds;
        rounds.running = None;
        (rounds.failures, rounds.yields) = (0, 0);
    }

    fn fail_round(&mut self, now: Duration) {
        let failures = self.register.rounds.failures.min(8);
        let spread = (BACKOFF_MAX_MS - BACKOFF_BASE_MS).min(BACKOFF_BASE_MS << failures);
        let pause = Duration::from_millis(BACKOFF_BASE_MS) + self.random_delay(spread);
        let rounds = &mut self.register.rounds;
        rounds.running = None;
        rounds.failures += 1;
        rounds.not_before = rounds.not_before.max(now + pause);
        rounds.complete_at = rounds.complete_at.max(now + pause);
    }

    fn begin_round(&mut self, now: Duration) {
        let Some(table) = self.round_table() else { return };
        let highest = self.register.rounds.highest.max(self.register.promised().round);
        if highest >= MAX_ROUND {
            return;
        }
        let ballot =
            Ballot { round: highest + 1, incarnation: self.settings.incarnation, proposer: self.settings.me };
        self.register.rounds.highest = ballot.round;
        if self.register.acceptor.prepare(ballot).is_err() {
            return;
        }
        self.register.rounds.running = Some(Running {
            round: Round::new(ballot),
            table,
            started_at: now,
            proposed_at: None,
            prepare_at: now,
            fetch_at: None,
        });
        self.store_configuration();
    }

    fn resend_prepare(&mut self, now: Duration) {
        let others = self.others();
        let Some(running) = &mut self.register.rounds.running else { return };
        if running.round.proposed.is_some() || now < running.prepare_at {
            return;
        }
        running.prepare_at = now + PREPARE_RESEND_AFTER;
        let (ballot, table) = (running.round.ballot, running.table);
        let unanswered = others.into_iter().filter(|at| !running.round.has_promised(*at));
        for to in unanswered.collect::<Vec<_>>() {
            self.send(to, Message::Prepare { ballot, table });
        }
    }

    /// This member's own promise counts once it is on disk.
    fn count_own_promise(&mut self) {
        let promise = Promise {
            accepted: self.register.acceptor.accepted(),
            chosen: self.register.committed_version(),
        };
        let (me, on_disk) = (self.settings.me, self.register.promise_on_disk());
        let promised = self.register.promised();
        if let Some(running) = &mut self.register.rounds.running {
            if running.round.ballot == promised && on_disk >= promised {
                running.round.promise(me, promise);
            }
        }
    }

    fn decide_round(&mut self, now: Duration) {
        self.count_own_promise();
        let Some(running) = &self.register.rounds.running else { return };
        let promised = |at: SocketAddr| running.round.has_promised(at);
        let majority = self.tables.as_ref().is_some_and(|tables| tables.base.has_quorum(promised));
        if running.round.proposed.is_some() || !majority {
            return;
        }
        let ballot = running.round.ballot;
        let requests = self.register.calls.iter().filter_map(|call| match &call.kind {
            Kind::Replace { configuration, .. } => Some(configuration),
            Kind::Show { .. } => None,
        });
        let requests: Vec<&Configuration> = requests.collect();
        let candidates = requests
            .iter()
            .map(|request| ReplaceRequest { revision: request.revision, digest: request.digest });
        match running.round.decide(&candidates.collect::<Vec<_>>()) {
            Decision::Propose(index) => {
                let proposal = requests[index].under(ballot);
                self.propose(now, proposal);
            }
            Decision::Complete(version) => match self.register.find_text(&version) {
                Some(text) => {
                    let proposal = text.under(ballot);
                    self.propose(now, proposal);
                }
                None => self.fetch_for_round(now, version),
            },
            Decision::Settled(version) if version <= self.register.committed_version() => {
                self.succeed_round();
            }
            Decision::Settled(version) => self.fetch_for_round(now, version),
        }
    }

    fn propose(&mut self, now: Duration, proposal: Configuration) {
        if let Some(running) = &mut self.register.rounds.running {
            running.round.proposed = Some(proposal.version());
            running.proposed_at = Some(now);
        }
        for to in self.others() {
            self.peers.entry(to).or_default().copy_sent_at = Some(now);
            self.send_configuration(now, to, proposal.clone(), false);
        }
        self.accept(now, proposal);
    }

    /// The text arrives as `Replicate` or `Learn`: it is not accepted here under its old ballot, but
    /// remembered.
    fn fetch_for_round(&mut self, now: Duration, version: Version) {
        let me = self.settings.me;
        let Some(running) = &mut self.register.rounds.running else { return };
        if running.fetch_at.is_some_and(|at| now < at + PREPARE_RESEND_AFTER) {
            return;
        }
        running.fetch_at = Some(now);
        if let Some(holder) = running.round.holder_of(version, me) {
            self.send(holder, Message::Fetch);
        }
    }

    pub(crate) fn receive_prepare(
        &mut self,
        now: Duration,
        from: SocketAddr,
        ballot: Ballot,
        table: TableVersion,
    ) {
        let invalid = ballot.proposer != from || ballot.round == 0 || ballot.round > MAX_ROUND;
        if invalid || self.round_table() != Some(table) {
            return;
        }
        self.register.rounds.highest = self.register.rounds.highest.max(ballot.round);
        match self.register.acceptor.prepare(ballot) {
            Ok(_) => {
                self.yield_to_another(now);
                self.register.rounds.pending_promise = Some((ballot, table));
                self.store_configuration();
                self.send_promise();
            }
            Err(promised) => self.send(from, Message::Reject { ballot, promised }),
        }
    }

    fn yield_to_another(&mut self, now: Duration) {
        if self.register.rounds.yields >= MAX_YIELDS {
            return;
        }
        let pause = Duration::from_millis(YIELD_MS) + self.random_delay(YIELD_MS);
        let rounds = &mut self.register.rounds;
        rounds.yields += 1;
        rounds.not_before = rounds.not_before.max(now + pause);
    }

    /// Sends a promise that is on disk.
    pub(super) fn send_promise(&mut self) {
        let Some((ballot, table)) = self.register.rounds.pending_promise else { return };
        if ballot != self.register.promised() || self.round_table() != Some(table) {
            self.register.rounds.pending_promise = None;
            return;
        }
        if self.register.promise_on_disk() < ballot {
            return;
        }
        self.register.rounds.pending_promise = None;
        let (accepted, chosen) = (self.register.acceptor.accepted(), self.register.committed_version());
        self.send(ballot.proposer, Message::Promise { ballot, accepted, chosen });
    }

    pub(crate) fn receive_promise(&mut self, from: SocketAddr, ballot: Ballot, promise: Promise) {
        let Some(running) = &mut self.register.rounds.running else { return };
        if running.round.ballot != ballot || running.round.proposed.is_some() {
            return;
        }
        running.round.promise(from, promise);
        let started_at = running.started_at;
        self.count_reply_for_calls(from, started_at);
    }

    pub(crate) fn receive_reject(&mut self, now: Duration, ballot: Ballot, promised: Ballot) {
        if promised.round > MAX_ROUND {
            return;
        }
        self.register.rounds.highest = self.register.rounds.highest.max(promised.round);
        let running = self.register.rounds.running.as_ref();
        if promised > ballot && running.is_some_and(|running| running.round.ballot == ballot) {
            self.fail_round(now);
        }
    }
}
