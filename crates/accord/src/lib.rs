//! Decides a policy for a group of schedulers that takes hold everywhere or nowhere: each number is decided by a
//! majority of few voters (single-decree Paxos, Lamport 1998 and 2001), once whoever may still serve under the number
//! before has staged it; who may serve is a matter of leases (Gray and Cheriton 1989) that the voters grant. No I/O:
//! time is an input, messages and what is to be kept are pulled. What it promises stands in `docs/design/accord.md`.

#[cfg(test)]
extern crate self as tindock_accord;

#[cfg(test)]
mod checking;
mod defects;
#[cfg(test)]
mod exploration_tests;
mod fetching;
mod frames;
mod member;
mod proposing;
mod types;
mod voting;

pub use fetching::{PieceRequest, TextFetcher, MAX_TEXT_BYTES, PIECE_BYTES};
pub use frames::{Frame, Payload, MAX_FRAME_BYTES};
pub use member::Member;
pub use types::{
    Ballot, CheckedProposal, Chosen, Digest, DurableState, Id, Members, Message, Outcome, Reason,
    ServiceStatus, Timing, MAX_HISTORY,
};
