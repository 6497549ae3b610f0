//! Which life of another process speaks. Datagrams come late: what a process said before it began anew may arrive after
//! what it has said since, and must not be taken for its present word.

use crate::defects::{injected, Defect};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Processes that are remembered.
const MAX_PEERS: usize = 4096;
/// Succeeded lives of one process that are remembered.
const MAX_FORMER: usize = 4;
/// A succeeded life is not heard until its successor has been silent for so long: longer than datagrams are late. If the
/// order of the two was mistaken, the one that goes on speaking is heard after this.
const FORMER_SILENCE: Duration = Duration::from_secs(2);
/// A process that has run for less than this may be sent late letters of lives that ended before it began: a life that
/// it doesn't know may be older than the one that speaks.
const YOUNG: Duration = Duration::from_secs(3);

/// In the place of the life that comes next; programs draw odd numbers.
const NO_INCARNATION: u32 = 0;

/// Who a letter is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The process has never been heard, in any life.
    Unknown,
    /// The life that spoke last; when that was, if it has spoken at all.
    Same { last: Option<Duration> },
    /// A life that follows the one that spoke last; when that was.
    New { last: Option<Duration> },
    /// A life that another has followed.
    Former,
    /// Another life than the one that spoke last, of which this process is too young to know which follows which.
    Disputed,
}

struct Peer {
    incarnation: u32,
    /// When any of its lives was last heard.
    received: Option<Duration>,
    /// When the present life was last heard, or first named, in time in which this process ran: while it is frozen,
    /// letters wait for it.
    present: Duration,
    /// The present life has been heard, not named alone.
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

/// The lives of the processes around this one.
#[derive(Default)]
pub struct Incarnations {
    peers: HashMap<SocketAddr, Peer>,
}

impl Incarnations {
    /// A letter has come.
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

    /// The members name this life of a process. It counts as the present one, unless it is known to be succeeded.
    /// True if it follows another.
    pub fn named(&mut self, awake: Duration, at: SocketAddr, incarnation: u32) -> bool {
        let Some(peer) = self.peers.get_mut(&at) else {
            self.insert(at, Peer::new(awake, incarnation, None));
            return false;
        };
        // One that was named and has never spoken may itself have been named late.
        let follows =
            peer.incarnation != incarnation && !(peer.has_sent && peer.former.contains(&incarnation));
        if follows {
            peer.succeed(awake, incarnation, false);
        }
        follows
    }

    /// This life has answered a question that was just asked: it is the present one.
    pub fn answered(&mut self, now: Duration, awake: Duration, at: SocketAddr, incarnation: u32) {
        if let Some(peer) = self.peers.get_mut(&at).filter(|peer| peer.incarnation != incarnation) {
            peer.succeed(awake, incarnation, true);
            peer.received = Some(now);
        }
    }

    /// The process that spoke there last has ended: whatever other life speaks follows it.
    pub fn ended(&mut self, awake: Duration, at: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&at).filter(|peer| peer.incarnation != NO_INCARNATION) {
            peer.succeed(awake, NO_INCARNATION, false);
        }
    }

    /// When this process was last heard, in any life.
    pub fn last_received(&self, at: &SocketAddr) -> Option<Duration> {
        self.peers.get(at)?.received
    }

    fn insert(&mut self, at: SocketAddr, peer: Peer) {
        if self.peers.len() < MAX_PEERS {
            self.peers.insert(at, peer);
        }
    }
}
