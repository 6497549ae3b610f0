//! Agrees on one policy for a group of schedulers, so that it takes effect on all members or on none. A
//! majority of a few voters decides each number (single-decree Paxos, Lamport 1998 and 2001), once every
//! member that may still serve under the previous number has staged the proposal. Leases granted by the
//! voters (Gray and Cheriton 1989) determine which members may serve.
//!
//! Performs no I/O: time is an input, and the host collects the messages to send and the state to persist.
//! The guarantees are listed in `docs/design/accord.md`.

#[cfg(test)]
extern crate self as tindock_policy_consensus;

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
