//! The wire format of a member's state: values equal to another part of it are omitted.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Ballot, MemberState, TableVersion, Version};

#[derive(Serialize, Deserialize)]
pub(crate) struct WireState {
    #[serde(rename = "mark")]
    table_version: TableVersion,
    counts: bool,
    saved: Version,
    /// Present if it differs from `saved`.
    held: Option<Version>,
    /// Present if it differs from `saved`.
    committed: Option<Version>,
    /// Present if it differs from the ballot of `saved`.
    promised: Option<Ballot>,
    /// Present if not `Ballot::NONE`.
    votes_from: Option<Ballot>,
    number: u64,
    holder: Option<(SocketAddr, u64)>,
    #[serde(rename = "ask")]
    read_number: u64,
}

fn other_than<T: PartialEq>(value: T, usual: T) -> Option<T> {
    (value != usual).then_some(value)
}

impl From<MemberState> for WireState {
    fn from(state: MemberState) -> WireState {
        let MemberState {
            table_version,
            counts,
            saved,
            held,
            committed,
            promised,
            votes_from,
            number,
            holder,
            read_number,
        } = state;
        WireState {
            table_version,
            counts,
            saved,
            held: other_than(held, saved),
            committed: other_than(committed, saved),
            promised: other_than(promised, saved.ballot),
            votes_from: other_than(votes_from, Ballot::NONE),
            number,
            holder,
            read_number,
        }
    }
}

impl From<WireState> for MemberState {
    fn from(wire: WireState) -> MemberState {
        let WireState {
            table_version,
            counts,
            saved,
            held,
            committed,
            promised,
            votes_from,
            number,
            holder,
            read_number,
        } = wire;
        MemberState {
            table_version,
            counts,
            saved,
            held: held.unwrap_or(saved),
            committed: committed.unwrap_or(saved),
            promised: promised.unwrap_or(saved.ballot),
            votes_from: votes_from.unwrap_or(Ballot::NONE),
            number,
            holder,
            read_number,
        }
    }
}
