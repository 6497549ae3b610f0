//! This member's copy: accepting, storing, sending and receiving versions, and tracking which one is chosen.
//!
//! A version is chosen when a majority of the voters of one settled table has it on disk.

use std::net::SocketAddr;
use std::time::Duration;

use super::acceptor::Accepted;
use super::configuration::{Ballot, Configuration, Version};
use crate::defects::{injected, Defect};
use crate::voters::DISK_RETRY_AFTER;
use crate::{ControlStore, Message, Stored};

/// How long a member's reported state is valid. A member whose disk was lost waits longer before it reads
/// (`voters::LOST_DISK_WAIT`), so its earlier reports are no longer counted by then.
pub(crate) const STATE_VALID_FOR: Duration = Duration::from_millis(1500);
/// The same text is sent to the same member again after this time, plus a millisecond for each 10 kB.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// A proposer distributes its own proposal: others help only when it takes longer than this.
const SPREAD_AFTER: Duration = Duration::from_millis(300);
const MAX_SEEN: usize = 4;

impl ControlStore {
    /// Handles a proposal from this member or another. Returns false if a higher ballot was promised.
    pub(super) fn accept(&mut self, now: Duration, proposal: Configuration) -> bool {
        match self.register.acceptor.accept(proposal.version()) {
            Accepted::New => self.replace_held(now, proposal),
            Accepted::Before => {}
            Accepted::Refused => {
                self.remember(proposal);
                return false;
            }
        }
        true
    }

    fn replace_held(&mut self, now: Duration, configuration: Configuration) {
        if let Some(old) = self.register.held.replace(configuration) {
            self.remember(old);
        }
        self.register.held_at = now;
        for peer in self.peers.values_mut() {
            peer.copy_sent_at = None;
        }
        self.schedule_completion(now);
        self.store_configuration();
    }

    /// Keeps a text that may be chosen or requested, although it is not accepted here.
    fn remember(&mut self, configuration: Configuration) {
        let version = configuration.version();
        let matches = |seen: &Configuration| seen.version() == version;
        if version <= self.register.committed_version() || self.register.seen.iter().any(matches) {
            return;
        }
        self.register.seen.push(configuration);
        if self.register.seen.len() > MAX_SEEN {
            self.register.seen.remove(0);
        }
    }

    /// Stores the accepted version and the promise, one write of each at a time.
    pub(crate) fn store_configuration(&mut self) {
        if self.register.disk_retry_at.is_some() {
            return;
        }
        self.store_accepted();
        self.store_promise();
    }

    fn store_accepted(&mut self) {
        if self.register.saving.is_some() {
            return;
        }
        let Some(configuration) = self.register.held.clone() else { return };
        let version = configuration.version();
        if version == self.register.saved {
            return;
        }
        let token = self.store(Stored::Configuration(configuration));
        self.register.saving = Some((token, version));
        if injected(Defect::AcknowledgesBeforeSync) {
            self.register.saved = version;
        }
    }

    fn store_promise(&mut self) {
        let promised = self.register.promised();
        if self.register.promise_saving.is_some() || self.register.promise_on_disk() >= promised {
            return;
        }
        // A configuration being stored under this ballot, or a higher one, persists the promise too.
        if self.register.saving.is_some_and(|(_, version)| version.ballot >= promised) {
            return;
        }
        let token = self.store(Stored::Promise(promised));
        self.register.promise_saving = Some((token, promised));
    }

    pub(crate) fn configuration_stored(&mut self, now: Duration, token: u64, ok: bool) -> bool {
        if let Some((_, version)) = self.register.saving.take_if(|(mine, _)| *mine == token) {
            if ok {
                self.register.saved = version;
            }
        } else if let Some((_, ballot)) = self.register.promise_saving.take_if(|(mine, _)| *mine == token) {
            if ok {
                self.register.promise_saved = ballot;
            }
        } else {
            return false;
        }
        if !ok {
            self.register.disk_retry_at = Some(now + DISK_RETRY_AFTER);
        }
        self.store_configuration();
        self.send_promise();
        true
    }

    /// Sends the configuration to a member that requested it or lacks it.
    pub(crate) fn send_copy(&mut self, now: Duration, to: SocketAddr, requested: bool) {
        let Some(held) = self.register.held.clone() else { return };
        let pause = RESEND_AFTER + Duration::from_millis(held.text.len() as u64 / 10_000);
        let Some(peer) = self.peers.get_mut(&to) else { return };
        if !requested && peer.copy_sent_at.is_some_and(|at| now < at + pause) {
            return;
        }
        let state = peer.state;
        let (proposal, chosen) = (held.version(), self.register.committed_version());
        let is_proposal = proposal != chosen;
        let lacks_chosen = state.committed < chosen && (requested || state.held != chosen);
        let lacks_proposal = is_proposal && state.held < proposal && state.promised <= proposal.ballot;
        let send_chosen = lacks_chosen || requested && !is_proposal;
        let send_proposal = lacks_proposal || requested && is_proposal;
        if !send_chosen && !send_proposal {
            return;
        }
        peer.copy_sent_at = Some(now);
        if let Some(chosen) = self.register.committed.clone().filter(|_| send_chosen) {
            self.send_configuration(now, to, chosen, true);
        }
        if send_proposal {
            self.send_configuration(now, to, held, false);
        }
    }

    pub(crate) fn receive_replicate(&mut self, now: Duration, from: SocketAddr, proposal: Configuration) {
        if !proposal.is_well_formed() {
            return;
        }
        let ballot = proposal.ballot;
        if !self.accept(now, proposal) {
            let promised = self.register.promised();
            return self.send(from, Message::Reject { ballot, promised });
        }
        if self.register.saved >= self.register.held_version() {
            self.send_state(from, 0);
        }
        // Otherwise the state is reported once the disk is done: a newly saved version is broadcast.
    }

    /// From a member that knows it to be chosen.
    pub(crate) fn receive_learn(&mut self, now: Duration, chosen: Configuration) {
        if !chosen.is_well_formed() || !chosen.version().has_ballot() {
            return;
        }
        if self.register.acceptor.learn(chosen.version()) == Accepted::New {
            self.replace_held(now, chosen.clone());
        }
        self.commit(chosen);
    }

    fn commit(&mut self, chosen: Configuration) {
        if chosen.version() > self.register.committed_version() {
            self.register.committed = Some(chosen);
        }
    }

    /// Whether a majority of the voters has this version on disk.
    fn is_replicated(&self, now: Duration, version: Version) -> bool {
        let settled = |tables: &&crate::VoterTables| tables.next.is_none() && tables.base.epoch > 0;
        let Some(tables) = self.tables.as_ref().filter(settled) else { return false };
        let table_version = tables.table_version();
        let count = (tables.base.voters.iter())
            .filter(|voter| {
                if voter.at == self.settings.me {
                    return self.is_voting() && self.register.votes_for(version);
                }
                self.peers.get(&voter.at).is_some_and(|peer| {
                    let fresh = peer.state_at.is_some_and(|at| now <= at + STATE_VALID_FOR);
                    fresh
                        && peer.state.counts
                        && peer.state.table_version == table_version
                        && peer.state.votes_for(version)
                })
            })
            .count();
        count >= tables.base.majority()
    }

    /// Determines what is chosen, runs the round, and answers the calls that can be answered.
    pub(crate) fn step_register(&mut self, now: Duration) {
        let known = self.register.seen.iter().chain(&self.register.held);
        let chosen = known.filter(|configuration| {
            let version = configuration.version();
            let reported = |peer: &crate::Peer| peer.state.committed == version;
            version.has_ballot()
                && version > self.register.committed_version()
                && (self.is_replicated(now, version) || self.peers.values().any(reported))
        });
        if let Some(chosen) = chosen.max_by_key(|configuration| configuration.version()).cloned() {
            self.commit(chosen);
        }
        let committed = self.register.committed_version();
        self.register.seen.retain(|configuration| configuration.version() > committed);
        self.step_round(now);
        self.step_calls(now);
    }

    /// Called by a member without its state after reading the highest saved version and the highest promise
    /// from the others. Returns true once both are on this member's disk as well.
    ///
    /// A version that others saved below a promise that may have been this member's is reported in promises
    /// like an accepted one, so that a round completes it. It is not a vote of this member: a round under
    /// that promise may have finished without it, and one more vote would make the version chosen beside what
    /// that round proposed.
    pub(crate) fn has_caught_up(&mut self, saved: Version, promised: Ballot) -> bool {
        if self.register.saved < saved {
            return false; // It is still being fetched or stored.
        }
        self.register.acceptor.learn_promise(promised);
        self.store_configuration();
        let (mine, promised) = (self.register.saved, self.register.promised());
        if mine.has_ballot() && mine.ballot < promised && !injected(Defect::VotesForReadCopy) {
            self.register.votes_from = self.register.votes_from.max(promised);
        }
        self.register.promise_on_disk() >= promised
    }

    /// While catching up, texts are fetched at once; otherwise only if they do not arrive unsolicited.
    pub(crate) fn is_catching_up(&self) -> bool {
        !self.ready || self.joining() || self.has_open_read()
    }

    /// Fetches what the other member has newer, and sends what it lacks.
    pub(crate) fn repair(&mut self, now: Duration, at: SocketAddr) {
        let (held, committed) = (self.register.held_version(), self.register.committed_version());
        let known = self.register.known_version();
        let Some(peer) = self.peers.get_mut(&at) else { return };
        if peer.state_at.is_none_or(|at| now > at + STATE_VALID_FOR) {
            return;
        }
        let state = peer.state;
        if state.held > known || state.committed > committed && state.committed != held {
            if peer.fetch_at.is_none_or(|at| now >= at + RESEND_AFTER) {
                peer.fetch_at = Some(now);
                self.send(at, Message::Fetch);
            }
        } else if now >= self.register.held_at + SPREAD_AFTER {
            self.send_copy(now, at, false);
        }
    }
}
