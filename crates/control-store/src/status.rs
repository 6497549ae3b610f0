//! What operators are told of a member, and whom else they may ask.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{ControlStore, Version, CONTACT_WINDOW};

/// The control state as one member knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub me: SocketAddr,
    /// Of the table of voters; 0 before the first.
    pub epoch: u64,
    /// The table of the next epoch was accepted here, and is not known to count yet.
    pub changing: bool,
    /// A majority was heard since the start.
    pub ready: bool,
    /// This member's own vote counts.
    pub voting: bool,
    /// A majority was heard lately.
    pub in_touch: bool,
    /// The highest lease number that this member promised.
    pub lease_number: u64,
    /// The lease's holder with its number, as last heard.
    pub holder: Option<(SocketAddr, u64)>,
    /// Known to be at a majority.
    pub committed: Version,
    /// Voters in the order of the table, then observers.
    pub members: Vec<MemberStatus>,
}

/// What one member knows of another, or of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    pub at: SocketAddr,
    pub role: Role,
    /// How long ago it was heard; none for the member itself, and for one never heard.
    pub silent_for: Option<Duration>,
    /// The configuration on its disk, as last heard.
    pub saved: Version,
    /// Whether that is older than the one in force.
    pub behind: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Its vote counts.
    Voting,
    /// A voter that has to read what it lacks before its vote counts.
    Joining,
    /// A voter that was not heard lately.
    Silent,
    /// No voter; it wants to become one.
    Observer,
}

impl ControlStore {
    /// The control state as this member knows it.
    pub fn status(&self, now: Duration) -> Status {
        let voters = self.members();
        let observers = self.peers.iter().filter(|(at, peer)| {
            let asks = peer.join_at.is_some_and(|at| now <= at + CONTACT_WINDOW);
            asks && !voters.contains(at)
        });
        let observers: Vec<SocketAddr> = observers.map(|(at, _)| *at).collect();
        let voters_status = voters.iter().map(|at| self.member_status(now, *at, true));
        let observers_status = observers.iter().map(|at| self.member_status(now, *at, false));
        Status {
            me: self.setup.me,
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
        let me = at == self.setup.me;
        let peer = self.peers.get(&at);
        let silent_for = peer.and_then(|peer| peer.heard).map(|heard| now.saturating_sub(heard));
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

    /// Other voters, the likeliest to answer an operator first: of a member that is in touch with a majority those that it
    /// hears; of one that is not all others, first those that it does not hear, as a majority may be on their side.
    pub fn redirect_candidates(&self, now: Duration) -> Vec<SocketAddr> {
        let heard = |at: &SocketAddr| {
            let heard = self.peers.get(at).and_then(|peer| peer.heard);
            heard.is_some_and(|heard| now <= heard + CONTACT_WINDOW)
        };
        let others = self.members().into_iter().filter(|at| *at != self.setup.me);
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) = others.partition(heard);
        if self.in_touch(now) {
            return near;
        }
        far.into_iter().chain(near).collect()
    }
}
