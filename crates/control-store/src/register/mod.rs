//! The operator's configuration: a single register whose values are chosen by a majority of the voters.
//!
//! - `configuration`: texts, their versions, and the ballots under which they are proposed;
//! - `acceptor`, `proposer`: the agreement, without time and I/O;
//! - `replica`: what this member has accepted, its disk, copies sent and received, what is known to be
//!   chosen;
//! - `rounds`: when this member proposes, and the messages of a round;
//! - `calls`: operators' requests to replace and to show the configuration.
//!
//! Any member proposes, under its own ballot. There is no log and no leader: only the newest value is kept,
//! and a proposer with replies from a majority knows of it. See docs/design/control-safety.md.

mod acceptor;
mod calls;
mod configuration;
mod proposer;
mod replica;
mod rounds;

use std::time::Duration;

use crate::defects::{injected, Defect};
use crate::DiskState;

pub(crate) use acceptor::Acceptor;
pub(crate) use calls::Call;
pub(crate) use configuration::text;
pub use configuration::{digest, Ballot, Configuration, Version};
pub(crate) use proposer::Promise;
#[cfg(test)]
pub(crate) use proposer::{Decision, ReplaceRequest, Round};
pub(crate) use replica::STATE_VALID_FOR;

#[derive(Default)]
pub(crate) struct Register {
    acceptor: Acceptor,
    /// The text that the acceptor accepted last.
    held: Option<Configuration>,
    held_at: Duration,
    /// Texts of other proposals, not known to be chosen.
    seen: Vec<Configuration>,
    /// The accepted version that is on disk.
    pub saved: Version,
    /// A saved version below this ballot is a copy read from others, not a vote.
    votes_from: Ballot,
    saving: Option<(u64, Version)>,
    promise_saved: Ballot,
    promise_saving: Option<(u64, Ballot)>,
    /// When to retry after a failed write.
    pub disk_retry_at: Option<Duration>,
    /// The newest configuration known to be chosen.
    pub committed: Option<Configuration>,
    rounds: rounds::Rounds,
    pub calls: Vec<Call>,
    last_read_number: u64,
}

impl Register {
    /// Restores the state that was on disk at the start.
    pub fn restore(restored: &DiskState, now: Duration) -> Register {
        let saved = restored.configuration.as_ref().map_or(Version::NONE, Configuration::version);
        Register {
            acceptor: Acceptor::restore(restored.promised, saved),
            held: restored.configuration.clone(),
            held_at: now,
            saved,
            // The disk does not record whether a text below the promise was accepted or read: it is treated
            // as read.
            votes_from: if restored.promised > saved.ballot { restored.promised } else { Ballot::NONE },
            committed: restored
                .configuration
                .clone()
                .filter(|_| injected(Defect::ReadyWithStaleConfiguration)),
            promise_saved: restored.promised,
            rounds: rounds::Rounds::at_start(now),
            ..Register::default()
        }
    }

    pub fn held_version(&self) -> Version {
        self.held.as_ref().map_or(Version::NONE, Configuration::version)
    }

    /// The highest version whose text is in memory, accepted or not.
    pub fn known_version(&self) -> Version {
        let seen = self.seen.iter().chain(&self.committed).map(Configuration::version);
        seen.fold(self.held_version(), Version::max)
    }

    pub fn committed_version(&self) -> Version {
        self.committed.as_ref().map_or(Version::NONE, Configuration::version)
    }

    /// The lowest ballot under which the version on disk is this member's vote.
    pub fn votes_from(&self) -> Ballot {
        self.votes_from
    }

    /// Whether this member accepted the version and has it on its disk.
    fn votes_for(&self, version: Version) -> bool {
        self.saved == version && version.ballot >= self.votes_from
    }

    pub fn promised(&self) -> Ballot {
        self.acceptor.promised()
    }

    /// The highest promise that survives a restart: an accepted version is a promise as well.
    fn promise_on_disk(&self) -> Ballot {
        self.promise_saved.max(self.saved.ballot)
    }

    /// Finds a text, under whatever ballot it was received.
    pub fn find_text(&self, version: &Version) -> Option<&Configuration> {
        let known = self.held.iter().chain(&self.committed).chain(&self.seen);
        known.into_iter().find(|configuration| configuration.version().same_text(version))
    }
}
