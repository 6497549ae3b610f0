//! How a member's state is written on the wire: what is the same as another part of it is left out.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Ballot, MemberState, TableVersion, Version};

#[derive(Serialize, Deserialize)]
pub(crate) struct WireState {
    mark: TableVersion,
    counts: bool,
    saved: Version,
    /// If another than `saved`.
    held: Option<Version>,
    /// If another than `saved`.
    committed: Option<Version>,
    /// If another than that of `saved`.
    promised: Option<Ballot>,
    /// If any.
    votes_from: Option<Ballot>,
    number: u64,
    holder: Option<(SocketAddr, u64)>,
    ask: u64,
}

fn other_than<T: PartialEq>(value: T, usual: T) -> Option<T> {
    (value != usual).then_some(value)
}

impl From<MemberState> for WireState {
    fn from(state: MemberState) -> WireState {
        let MemberState { mark, counts, saved, held, committed, promised, votes_from, number, holder, ask } =
            state;
        WireState {
            mark,
            counts,
            saved,
            held: other_than(held, saved),
            committed: other_than(committed, saved),
            promised: other_than(promised, saved.ballot),
            votes_from: other_than(votes_from, Ballot::NONE),
            number,
            holder,
            ask,
        }
    }
}

impl From<WireState> for MemberState {
    fn from(wire: WireState) -> MemberState {
        let WireState { mark, counts, saved, held, committed, promised, votes_from, number, holder, ask } =
            wire;
        MemberState {
            mark,
            counts,
            saved,
            held: held.unwrap_or(saved),
            committed: committed.unwrap_or(saved),
            promised: promised.unwrap_or(saved.ballot),
            votes_from: votes_from.unwrap_or(Ballot::NONE),
            number,
            holder,
            ask,
        }
    }
}
