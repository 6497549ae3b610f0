//! The acceptor of the register: what a member promised and accepted. No time, no I/O; the caller syncs
//! promises and accepted versions to disk before it reports them.
//!
//! Source: Lamport, "Paxos Made Simple" (2001); Rystsov, "CASPaxos: Replicated State Machines without Logs"
//! (2018).

use super::configuration::{Ballot, Version};
use crate::defects::{injected, Defect};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Acceptor {
    promised: Ballot,
    accepted: Version,
}

/// The answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Accepted {
    /// Accepted now: to be synced, then reported.
    New,
    /// This version, or a newer one, was already accepted.
    Before,
    /// A higher ballot was promised.
    Refused,
}

impl Acceptor {
    /// Restores the state from disk.
    pub fn restore(promised: Ballot, accepted: Version) -> Acceptor {
        let promised = if injected(Defect::ForgetsPromises) { Ballot::NONE } else { promised };
        Acceptor { promised: promised.max(accepted.ballot), accepted }
    }

    pub fn promised(&self) -> Ballot {
        self.promised
    }

    pub fn accepted(&self) -> Version {
        self.accepted
    }

    /// Promises to accept nothing below this ballot. The error is the higher ballot that was promised before.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Version, Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(self.accepted)
    }

    pub fn accept(&mut self, proposal: Version) -> Accepted {
        if proposal.ballot < self.promised && !injected(Defect::AcceptsBelowPromise) {
            return Accepted::Refused;
        }
        self.record(proposal)
    }

    /// Accepts a version known to be chosen, whatever was promised: one more copy of it changes nothing.
    pub fn learn(&mut self, chosen: Version) -> Accepted {
        self.record(chosen)
    }

    /// Adopts a promise read from another member, in place of one that may have been lost.
    pub fn learn_promise(&mut self, ballot: Ballot) {
        if !injected(Defect::SkipsReadingPromises) {
            self.promised = self.promised.max(ballot);
        }
    }

    fn record(&mut self, version: Version) -> Accepted {
        if version <= self.accepted {
            return Accepted::Before;
        }
        self.accepted = version;
        self.promised = self.promised.max(version.ballot);
        Accepted::New
    }
}
