//! Data types of the protocol: members, decisions and the messages between members.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Identifies one incarnation of a member; generated at random when its data folder is created. A member that
/// lost its folder gets a new id and counts as a new member.
pub type Id = u64;

/// SHA-256 of a proposal's text.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0[..3].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Orders the attempts to decide one number; the larger ballot wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: Id,
}

impl Ballot {
    /// The largest ballot of this round: above this ballot and below every ballot of a later round.
    pub fn round_end(self) -> Ballot {
        Ballot { by: Id::MAX, ..self }
    }
}

/// A number and the digest of the proposal decided under it; number 0 means that nothing has been decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chosen {
    pub number: u64,
    pub digest: Digest,
}

/// The members of the group under a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Members {
    pub all: BTreeSet<Id>,
    /// The subset that votes on proposals and grants leases.
    pub voters: BTreeSet<Id>,
}

impl Members {
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// A proposal whose text is on the local disk and has been validated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedProposal {
    /// The number that it was drafted for.
    pub number: u64,
    pub members: Members,
    /// Whether this scheduler could serve under it, or a one-line reason why not.
    pub eligibility: Result<(), String>,
}

/// Lease length and time-outs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a member may serve after asking the voters for a lease.
    pub lease: Duration,
    /// How long a proposal waits for members that do not answer before it proceeds without them.
    pub response_timeout: Duration,
}

impl Timing {
    /// How long a voter counts a lease. A member's clock may be 1% slow and the voter's 1% fast; together
    /// that is a little more than 2%.
    pub fn voter_lease(&self) -> Duration {
        self.lease * 103 / 100
    }

    /// Three renewals per lease, so that two lost messages do not end it.
    pub fn renew_interval(&self) -> Duration {
        self.lease / 3
    }
}

/// Messages between members. Each names the number that it concerns: the number in force for leases, the next
/// one for a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests a lease under `number`, and reports what is staged for the next one.
    Renew {
        nonce: u64,
        number: u64,
        staged: Option<Digest>,
    },
    Granted {
        nonce: u64,
        number: u64,
    },
    /// Refuses a lease under `number`: a proposal is about to be decided and must be staged first.
    Withheld {
        nonce: u64,
        number: u64,
    },

    Prepare {
        number: u64,
        ballot: Ballot,
    },
    Promised {
        number: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Digest)>,
    },
    /// The recipient has already promised a higher ballot or is busy with another one.
    Overtaken {
        number: u64,
        ballot: Ballot,
        by: Ballot,
    },

    Stage {
        number: u64,
        ballot: Ballot,
        digest: Digest,
    },
    Staged {
        number: u64,
        ballot: Ballot,
    },
    Refused {
        number: u64,
        ballot: Ballot,
        why: String,
    },

    /// Asks the voter to grant no lease under the number in force to members that have not staged this
    /// proposal.
    Fence {
        number: u64,
        ballot: Ballot,
        digest: Digest,
    },
    /// No member that has not staged the proposal holds a lease granted by this voter.
    Fenced {
        number: u64,
        ballot: Ballot,
    },

    Accept {
        number: u64,
        ballot: Ballot,
        digest: Digest,
    },
    Accepted {
        number: u64,
        ballot: Ballot,
    },
    /// The proposal will not be decided by this ballot.
    Dropped {
        number: u64,
        ballot: Ballot,
    },

    Decided {
        number: u64,
        digest: Digest,
    },
    Known {
        number: u64,
    },
    /// `number` is the latest one that the sender knows; it asks for the latest decision.
    Behind {
        number: u64,
    },
}

/// The longest refusal reason that is sent, in bytes.
pub const MAX_REASON_BYTES: usize = 300;

/// State that must survive a restart. It is on disk before any message that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    pub id: Id,
    pub decided: Chosen,
    /// For the number after `decided`:
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Digest)>,
    pub staged: Option<(Ballot, Digest)>,
    pub fence: Option<(Ballot, Digest)>,
    /// The decisions that this member has learned, latest last.
    pub history: Vec<Chosen>,
}

/// Number of past decisions kept in `history`.
pub const MAX_HISTORY: usize = 64;

impl DurableState {
    pub fn new(id: Id) -> Self {
        DurableState { id, ..Self::default() }
    }

    /// Proposals whose checked text is needed: the one in force and those that may be decided. A fence can be
    /// closed without the text of its proposal.
    pub fn active_digests(&self) -> BTreeSet<Digest> {
        let open = [self.accepted, self.staged].into_iter().flatten().map(|(_, digest)| digest);
        open.chain((self.decided.number > 0).then_some(self.decided.digest)).collect()
    }

    /// Proposals whose text stays on disk: the active ones, the fenced one and those of past decisions.
    pub fn retained_digests(&self) -> BTreeSet<Digest> {
        let fence = self.fence.map(|(_, digest)| digest);
        self.history.iter().map(|chosen| chosen.digest).chain(fence).chain(self.active_digests()).collect()
    }
}

/// Whether a member may accept tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ServiceStatus {
    /// Under this number, which is the one in force; no member serves under any other.
    Allowed(u64),
    /// It may not accept tasks; the text is a one-line reason.
    Denied(&'static str),
}

/// Why a proposal was not decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// A member cannot serve under it and gives the reason.
    Refused { by: Id, why: String },
    /// The number was decided for another proposal, or is about to be.
    Superseded,
    /// These members did not answer, and nothing can be decided without them.
    NoAnswer(BTreeSet<Id>),
}

/// The result of a proposal made by this member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    InProgress,
    /// Decided; `missing` are the members that have not yet confirmed it.
    Decided {
        missing: BTreeSet<Id>,
    },
    /// It was not decided under its number and will not be.
    NotDecided(Reason),
    /// Its number was decided, but this member does not know for which proposal.
    Unknown,
}
