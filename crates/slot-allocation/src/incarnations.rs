//! The incarnations of other processes. Datagrams may be late: one that a process sent before a restart may
//! arrive after those that it has sent since, and must not be taken for its present state.

use crate::datagram::Form;
use crate::defects::{injected, Defect};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The most processes that are remembered.
const MAX_PEERS: usize = 4096;
/// Former incarnations that are remembered of one process.
const MAX_FORMER: usize = 4;
/// A former incarnation is ignored until its successor has sent nothing for this long: longer than datagrams
/// are delayed. If the order of the two was mistaken, the one that goes on sending is accepted after this.
const FORMER_SILENCE: Duration = Duration::from_secs(2);
/// A process that has run for less than this may receive late datagrams of incarnations that ended before it
/// started: an incarnation that it doesn't know may be older than the present one.
const YOUNG: Duration = Duration::from_secs(3);

/// Stands for the incarnation that comes next; no process has it.
const NO_INCARNATION: u32 = 0;

/// The sender of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The process has not been heard from in any incarnation.
    Unknown,
    /// The present incarnation; `last` is when the process was last heard from, if at all.
    Same { last: Option<Duration> },
    /// An incarnation that follows the present one; `last` as above.
    New { last: Option<Duration> },
    /// An incarnation that another has followed.
    Former,
    /// Another incarnation than the present one, where this process has run too briefly to know which follows
    /// which.
    Disputed,
}

struct Peer {
    incarnation: u32,
    /// When the process was last heard from, in any incarnation.
    received: Option<Duration>,
    /// When the present incarnation was last heard from, or first named by the members, measured in time in
    /// which this process ran: while it is frozen, datagrams wait for it.
    present: Duration,
    /// The present incarnation has sent a datagram; otherwise it is known from the members alone.
    has_sent: bool,
    former: VecDeque<u32>,
}

impl Peer {
    fn new(awake: Duration, incarnation: u32, received: Option<Duration>) -> Peer {
        Peer { incarnation, received, present: awake, has_sent: received.is_some(), former: VecDeque::new() }
    }

    fn succeed(&mut self, awake: Duration, incarnation: u32, has_sent: bool) {
        self.former.retain(|former| *former != incarnation);
        if self.former.len() >= MAX_FORMER {
            self.former.pop_front();
        }
        self.former.push_back(self.incarnation);
        (self.incarnation, self.present, self.has_sent) = (incarnation, awake, has_sent);
    }
}

/// The incarnations of the other processes.
#[derive(Default)]
pub struct Incarnations {
    peers: HashMap<SocketAddr, Peer>,
}

impl Incarnations {
    /// A datagram was received.
    pub fn receive(&mut self, now: Duration, awake: Duration, from: SocketAddr, incarnation: u32) -> Sender {
        let Some(peer) = self.peers.get_mut(&from) else {
            self.insert(from, Peer::new(awake, incarnation, Some(now)));
            return Sender::Unknown;
        };
        let last = peer.received;
        if peer.incarnation == incarnation {
            (peer.received, peer.present, peer.has_sent) = (Some(now), awake, true);
            return Sender::Same { last };
        }
        let successor_active = awake < peer.present + FORMER_SILENCE;
        if successor_active && !injected(Defect::FormerAccepted) {
            if peer.former.contains(&incarnation) {
                return Sender::Former;
            }
            if awake < YOUNG && peer.has_sent {
                return Sender::Disputed;
            }
        }
        peer.succeed(awake, incarnation, true);
        peer.received = Some(now);
        Sender::New { last }
    }

    /// The members name this incarnation of a process. It counts as the present one, unless it is known to be
    /// a former one. Returns true if it follows another.
    pub fn named(&mut self, awake: Duration, at: SocketAddr, incarnation: u32) -> bool {
        let Some(peer) = self.peers.get_mut(&at) else {
            self.insert(at, Peer::new(awake, incarnation, None));
            return false;
        };
        // A present incarnation that has sent nothing may itself be from an outdated list of members.
        let follows =
            peer.incarnation != incarnation && !(peer.has_sent && peer.former.contains(&incarnation));
        if follows {
            peer.succeed(awake, incarnation, false);
        }
        follows
    }

    /// This incarnation has answered a recent query: it is the present one.
    pub fn answered(&mut self, now: Duration, awake: Duration, at: SocketAddr, incarnation: u32) {
        if let Some(peer) = self.peers.get_mut(&at).filter(|peer| peer.incarnation != incarnation) {
            peer.succeed(awake, incarnation, true);
            peer.received = Some(now);
        }
    }

    /// The process that last sent from this address has ended: any other incarnation follows it.
    pub fn ended(&mut self, awake: Duration, at: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&at).filter(|peer| peer.incarnation != NO_INCARNATION) {
            peer.succeed(awake, NO_INCARNATION, false);
        }
    }

    /// When this process was last heard from, in any incarnation.
    pub fn last_received(&self, at: &SocketAddr) -> Option<Duration> {
        self.peers.get(at)?.received
    }

    /// The form of datagrams that the process understands in its present incarnation.
    pub fn form(&self, at: &SocketAddr) -> Form {
        self.peers.get(at).map_or(Form::Identifiers, |peer| Form::understood_by(peer.incarnation))
    }

    fn insert(&mut self, at: SocketAddr, peer: Peer) {
        if self.peers.len() < MAX_PEERS {
            self.peers.insert(at, peer);
        }
    }
}
