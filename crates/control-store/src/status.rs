//! The status of a member as reported to operators, and the other members an operator may query.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{ControlStore, Version, CONTACT_WINDOW};

/// The control state as one member knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub me: SocketAddr,
    /// Epoch of the voter table; 0 before the first.
    pub epoch: u64,
    /// The table of the next epoch was accepted here, and is not known to be settled yet.
    pub changing: bool,
    /// A majority has replied since the start.
    pub ready: bool,
    /// This member's own vote is active.
    pub voting: bool,
    /// A majority has replied recently.
    pub in_touch: bool,
    /// The highest lease number that this member promised.
    pub lease_number: u64,
    /// The last known lease holder with its lease number.
    pub holder: Option<(SocketAddr, u64)>,
    /// The version known to be stored at a majority.
    pub committed: Version,
    /// Voters in the order of the table, then observers.
    pub members: Vec<MemberStatus>,
}

/// What one member knows of another, or of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    pub at: SocketAddr,
    pub role: Role,
    /// Time since its last message; none for the member itself, and for one that never sent any.
    pub silent_for: Option<Duration>,
    /// The configuration on its disk, as last reported.
    pub saved: Version,
    /// Whether that is older than the one in force.
    pub behind: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its vote is active.
    Voting,
    /// A voter that has to read its missing state before its vote is active.
    Joining,
    /// A voter that has sent nothing recently.
    Silent,
    /// Not a voter, but requests to become one.
    Observer,
}

impl ControlStore {
    /// The control state as this member knows it.
    pub fn status(&self, now: Duration) -> Status {
        let voters = self.members();
        let observers = self.peers.iter().filter(|(at, peer)| {
            let joins = peer.join_at.is_some_and(|at| now <= at + CONTACT_WINDOW);
            joins && !voters.contains(at)
        });
        let observers: Vec<SocketAddr> = observers.map(|(at, _)| *at).collect();
        let voters_status = voters.iter().map(|at| self.member_status(now, *at, true));
        let observers_status = observers.iter().map(|at| self.member_status(now, *at, false));
        Status {
            me: self.settings.me,
            epoch: self.tables.as_ref().map_or(0, |tables| tables.base.epoch),
            changing: self.tables.as_ref().is_some_and(|tables| tables.next.is_some()),
            ready: self.ready(),
            voting: self.is_voting(),
            in_touch: self.in_touch(now),
            lease_number: self.lease.number,
            holder: self.holder(),
            committed: self.register.committed_version(),
            members: voters_status.chain(observers_status).collect(),
        }
    }

    fn member_status(&self, now: Duration, at: SocketAddr, voter: bool) -> MemberStatus {
        let me = at == self.settings.me;
        let peer = self.peers.get(&at);
        let silent_for =
            peer.and_then(|peer| peer.received_at).map(|received_at| now.saturating_sub(received_at));
        let counts = if me { self.is_voting() } else { peer.is_some_and(|peer| peer.state.counts) };
        let recent = me || silent_for.is_some_and(|silent| silent <= CONTACT_WINDOW);
        let role = match (voter, recent, counts) {
            (false, _, _) => Role::Observer,
            (true, false, _) => Role::Silent,
            (true, true, true) => Role::Voting,
            (true, true, false) => Role::Joining,
        };
        let saved = match (me, peer) {
            (true, _) => self.register.saved,
            (false, Some(peer)) => peer.state.saved,
            (false, None) => Version::NONE,
        };
        let committed = self.register.committed_version();
        let behind = saved.revision < committed.revision;
        MemberStatus { at, role, silent_for, saved, behind }
    }

    /// Other voters, most likely to answer an operator first. If this member is in touch with a majority,
    /// these are the members it receives messages from; otherwise all others, starting with those it does not
    /// receive from, as a majority may be on their side of a partition.
    pub fn redirect_candidates(&self, now: Duration) -> Vec<SocketAddr> {
        let is_recent = |at: &SocketAddr| {
            let received_at = self.peers.get(at).and_then(|peer| peer.received_at);
            received_at.is_some_and(|received_at| now <= received_at + CONTACT_WINDOW)
        };
        let others = self.members().into_iter().filter(|at| *at != self.settings.me);
        let (reachable, unreachable): (Vec<SocketAddr>, Vec<SocketAddr>) = others.partition(is_recent);
        if self.in_touch(now) {
            return reachable;
        }
        unreachable.into_iter().chain(reachable).collect()
    }
}
