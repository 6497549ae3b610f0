//! The operator's configuration: one register of which a majority of the voters chooses the values.
//!
//! - `configuration`: texts, their versions, the ballots under which they are proposed;
//! - `acceptor`, `proposer`: the agreement, without time and I/O;
//! - `replica`: what this member has accepted, its disk, copies given and taken, what is known to be chosen;
//! - `rounds`: when this member proposes, and its messages with the others;
//! - `calls`: operators' orders and questions.
//!
//! Any member proposes, under a ballot of its own. There is no log and no leader: the newest value is all there
//! is, and a proposer that hears a majority hears of it. See docs/design/control-safety.md.

mod acceptor;
mod calls;
mod configuration;
mod proposer;
mod replica;
mod rounds;

use std::time::Duration;

use crate::planted::{planted, Defect};
use crate::DiskState;

pub(crate) use acceptor::Acceptor;
pub(crate) use calls::Call;
pub(crate) use configuration::text;
pub use configuration::{digest, Ballot, Configuration, Version};
pub(crate) use proposer::Promise;
#[cfg(test)]
pub(crate) use proposer::{Decision, Order, Round};
pub(crate) use replica::STATE_FRESH;

#[derive(Default)]
pub(crate) struct Register {
    acceptor: Acceptor,
    /// The text of what the acceptor accepted last.
    held: Option<Configuration>,
    held_at: Duration,
    /// Other proposals of which the text was seen, not known to be chosen.
    seen: Vec<Configuration>,
    /// What was accepted, as far as it is on the disk.
    pub saved: Version,
    /// What was saved below this ballot is a copy that was read from others, and no vote.
    votes_from: Ballot,
    saving: Option<(u64, Version)>,
    promise_saved: Ballot,
    promise_saving: Option<(u64, Ballot)>,
    /// The disk refused: it is asked again then.
    pub disk_again: Option<Duration>,
    /// Known to be chosen.
    pub committed: Option<Configuration>,
    rounds: rounds::Rounds,
    pub calls: Vec<Call>,
    asks: u64,
}

impl Register {
    /// With what the disk held at the start.
    pub fn restore(kept: &DiskState, now: Duration) -> Register {
        let saved = kept.configuration.as_ref().map_or(Version::NONE, Configuration::version);
        Register {
            acceptor: Acceptor::restore(kept.promised, saved),
            held: kept.configuration.clone(),
            held_at: now,
            saved,
            // The disk doesn't say whether a text below the promise was accepted or read: it is taken for read.
            votes_from: if kept.promised > saved.ballot { kept.promised } else { Ballot::NONE },
            committed: kept.configuration.clone().filter(|_| planted(Defect::ReadyWithAnOldOne)),
            promise_saved: kept.promised,
            rounds: rounds::Rounds::at_start(now),
            ..Register::default()
        }
    }

    pub fn held_version(&self) -> Version {
        self.held.as_ref().map_or(Version::NONE, Configuration::version)
    }

    /// The highest of which the text is at hand, accepted or not.
    pub fn known_version(&self) -> Version {
        let seen = self.seen.iter().chain(&self.committed).map(Configuration::version);
        seen.fold(self.held_version(), Version::max)
    }

    pub fn committed_version(&self) -> Version {
        self.committed.as_ref().map_or(Version::NONE, Configuration::version)
    }

    /// The lowest ballot under which what is on the disk is this member's vote.
    pub fn votes_from(&self) -> Ballot {
        self.votes_from
    }

    /// Whether this member accepted the version, and has it on its disk.
    fn votes_for(&self, version: Version) -> bool {
        self.saved == version && version.ballot >= self.votes_from
    }

    pub fn promised(&self) -> Ballot {
        self.acceptor.promised()
    }

    /// The highest promise that a restart keeps: what was accepted is a promise as well.
    fn promise_on_disk(&self) -> Ballot {
        self.promise_saved.max(self.saved.ballot)
    }

    /// Of a text, under whatever ballot it came.
    pub fn find_text(&self, version: &Version) -> Option<&Configuration> {
        let all = self.held.iter().chain(&self.committed).chain(&self.seen);
        all.into_iter().find(|configuration| configuration.version().same_text(version))
    }
}
