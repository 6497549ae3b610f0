//! Which life of another process speaks. Datagrams come late: what a process said before it began anew may arrive after
//! what it has said since, and must not be taken for its present word.

use crate::planted::{planted, Defect};
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
const NO_LIFE: u32 = 0;

/// Who a letter is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaker {
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
    life: u32,
    /// When any of its lives was last heard.
    heard: Option<Duration>,
    /// When the present life was last heard, or first named, in time in which this process ran: while it is frozen,
    /// letters wait for it.
    present: Duration,
    /// The present life has been heard, not named alone.
    spoke: bool,
    former: VecDeque<u32>,
}

impl Peer {
    fn new(awake: Duration, life: u32, heard: Option<Duration>) -> Peer {
        Peer { life, heard, present: awake, spoke: heard.is_some(), former: VecDeque::new() }
    }

    fn succeed(&mut self, awake: Duration, life: u32, spoke: bool) {
        self.former.retain(|former| *former != life);
        if self.former.len() >= MAX_FORMER {
            self.former.pop_front();
        }
        self.former.push_back(self.life);
        (self.life, self.present, self.spoke) = (life, awake, spoke);
    }
}

/// The lives of the processes around this one.
#[derive(Default)]
pub struct Lives {
    peers: HashMap<SocketAddr, Peer>,
}

impl Lives {
    /// A letter has come.
    pub fn hear(&mut self, now: Duration, awake: Duration, from: SocketAddr, life: u32) -> Speaker {
        let Some(peer) = self.peers.get_mut(&from) else {
            self.insert(from, Peer::new(awake, life, Some(now)));
            return Speaker::Unknown;
        };
        let last = peer.heard;
        if peer.life == life {
            (peer.heard, peer.present, peer.spoke) = (Some(now), awake, true);
            return Speaker::Same { last };
        }
        let successor_speaks = awake < peer.present + FORMER_SILENCE;
        if successor_speaks && !planted(Defect::FormerHeard) {
            if peer.former.contains(&life) {
                return Speaker::Former;
            }
            if awake < YOUNG && peer.spoke {
                return Speaker::Disputed;
            }
        }
        peer.succeed(awake, life, true);
        peer.heard = Some(now);
        Speaker::New { last }
    }

    /// The members name this life of a process. It counts as the present one, unless it is known to be succeeded.
    /// True if it follows another.
    pub fn named(&mut self, awake: Duration, at: SocketAddr, life: u32) -> bool {
        let Some(peer) = self.peers.get_mut(&at) else {
            self.insert(at, Peer::new(awake, life, None));
            return false;
        };
        // One that was named and has never spoken may itself have been named late.
        let follows = peer.life != life && !(peer.spoke && peer.former.contains(&life));
        if follows {
            peer.succeed(awake, life, false);
        }
        follows
    }

    /// This life has answered a question that was just asked: it is the present one.
    pub fn answered(&mut self, now: Duration, awake: Duration, at: SocketAddr, life: u32) {
        if let Some(peer) = self.peers.get_mut(&at).filter(|peer| peer.life != life) {
            peer.succeed(awake, life, true);
            peer.heard = Some(now);
        }
    }

    /// The process that spoke there last has ended: whatever other life speaks follows it.
    pub fn ended(&mut self, awake: Duration, at: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&at).filter(|peer| peer.life != NO_LIFE) {
            peer.succeed(awake, NO_LIFE, false);
        }
    }

    /// When this process was last heard, in any life.
    pub fn heard(&self, at: &SocketAddr) -> Option<Duration> {
        self.peers.get(at)?.heard
    }

    fn insert(&mut self, at: SocketAddr, peer: Peer) {
        if self.peers.len() < MAX_PEERS {
            self.peers.insert(at, peer);
        }
    }
}
