//! Decides a policy for a group of schedulers that takes hold everywhere or nowhere: each number is decided by a
//! majority of few voters (single-decree Paxos, Lamport 1998 and 2001), once whoever may still serve under the number
//! before has staged it; who may serve is a matter of leases (Gray and Cheriton 1989) that the voters grant. No I/O:
//! time is an input, messages and what is to be kept are pulled. What it promises stands in `docs/design/accord.md`.

#[cfg(test)]
extern crate self as tindock_accord;

#[cfg(test)]
mod checking;
mod fetching;
mod frames;
mod member;
#[cfg(test)]
mod orders;
mod planted;
mod proposing;
mod terms;
mod voting;

pub use fetching::{Fetching, Piece, LONGEST_TEXT, PIECE};
pub use frames::{Frame, Word, LONGEST_FRAME};
pub use member::Member;
pub use terms::{
    Ballot, Chosen, Digest, Id, Kept, Members, Message, Outcome, Reading, Reason, Standing, Terms, REMEMBERED,
};
