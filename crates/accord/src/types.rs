//! The words of the accord: who is a member, what is decided, what members say to one another.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// One life of one member: drawn at random when its folder is made. A member that lost its folder has another one, and
/// is a new member.
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

/// Orders the tries to decide one number; the larger one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: Id,
}

impl Ballot {
    /// Above this one and below any of a later round.
    pub fn round_end(self) -> Ballot {
        Ballot { by: Id::MAX, ..self }
    }
}

/// A number and the proposal that was decided under it; number 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Chosen {
    pub number: u64,
    pub digest: Digest,
}

/// Who belongs to the group under a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Members {
    pub all: BTreeSet<Id>,
    /// Few of them: they decide, and grant the leases.
    pub voters: BTreeSet<Id>,
}

impl Members {
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// A proposal whose text is at hand, on the disk, and was checked here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedProposal {
    /// The number that it was made for.
    pub number: u64,
    pub members: Members,
    /// Whether this scheduler could serve under it; a line says why not.
    pub eligibility: Result<(), String>,
}

/// How long things take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a member may serve on the word of the voters.
    pub lease: Duration,
    /// A proposal waits so long for members that do not answer before it goes on without them.
    pub response_timeout: Duration,
}

impl Timing {
    /// How long a voter counts a lease. Guards against a member whose clock is 1% slow beside a voter's that is 1% fast,
    /// which is a little more than 2% together.
    pub fn voter_lease(&self) -> Duration {
        self.lease * 103 / 100
    }

    /// A member asks three times in a lease, so that two lost words cost it nothing.
    pub fn renew_interval(&self) -> Duration {
        self.lease / 3
    }
}

/// What members say. Each names the number that it is about: the one in force for leases, the next one for a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// May I serve under `number`? With what is staged here for the next one.
    Renew {
        nonce: u64,
        number: u64,
        staged: Option<Digest>,
    },
    Granted {
        nonce: u64,
        number: u64,
    },
    /// Not under `number` any more: a proposal is about to be decided, which is to be staged first.
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
    /// Another ballot is under way there.
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

    /// Grant nothing under the number in force to who has not staged this.
    Fence {
        number: u64,
        ballot: Ballot,
        digest: Digest,
    },
    /// Whoever has not staged it has no lease of mine.
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
    /// I know only this one: tell me.
    Behind {
        number: u64,
    },
}

/// The longest reason that is passed on, in bytes.
pub const MAX_REASON_BYTES: usize = 300;

/// What a member must not forget. It is on the disk before anything is said that it permits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    pub id: Id,
    pub decided: Chosen,
    /// For the number after it:
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Digest)>,
    pub staged: Option<(Ballot, Digest)>,
    pub fence: Option<(Ballot, Digest)>,
    /// What was in force, as far as this member learned of it, the latest last.
    pub history: Vec<Chosen>,
}

/// As many numbers are remembered.
pub const MAX_HISTORY: usize = 64;

impl DurableState {
    pub fn new(id: Id) -> Self {
        DurableState { id, ..Self::default() }
    }

    /// Proposals whose text is on the disk, and whose reading is needed: what is in force, and what may come. A fence is
    /// closed without the text of what it is for.
    pub fn active_digests(&self) -> BTreeSet<Digest> {
        let open = [self.accepted, self.staged].into_iter().flatten().map(|(_, digest)| digest);
        open.chain((self.decided.number > 0).then_some(self.decided.digest)).collect()
    }

    /// Proposals whose text is kept: those, and what was in force before.
    pub fn retained_digests(&self) -> BTreeSet<Digest> {
        let fence = self.fence.map(|(_, digest)| digest);
        self.history.iter().map(|chosen| chosen.digest).chain(fence).chain(self.active_digests()).collect()
    }
}

/// Whether a member may take tasks now.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ServiceStatus {
    /// Under the number in force, which is no other anywhere.
    Allowed(u64),
    /// It may not; a line says why.
    Denied(&'static str),
}

/// Why a proposal was not decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// A member cannot serve under it, and says why.
    Refused { by: Id, why: String },
    /// The number went to another proposal, or is about to.
    Superseded,
    /// These gave no answer, without whom nothing can be decided.
    NoAnswer(BTreeSet<Id>),
}

/// What became of a proposal made here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    InProgress,
    /// Decided; who has not said yet that it is in force there.
    Decided {
        missing: BTreeSet<Id>,
    },
    /// It was not decided under its number, and will not be.
    NotDecided(Reason),
    /// Its number is decided, this member does not know for what.
    Unknown,
}
