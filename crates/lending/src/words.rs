//! What lenders and borrowers say to each other: datagrams of a few lines, in postcard.
//! Each line may be lost, doubled or late; what matters is said again until it is answered.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A function's name, as 32 bits of FNV-1a: names are drawn for each deployment and some letters long.
pub type Kind = u32;

/// FNV-1a, 32 bits.
pub fn kind(name: &str) -> Kind {
    name.bytes().fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// How a loan ended, as the borrower saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// Answered by the worker, whatever the status.
    Done,
    /// Never used, or broken off by the client.
    Idle,
    /// Turned away as full: somebody else holds slots there that the lender does not know of.
    Full,
    /// The address refuses connections, or another instance has it.
    Gone,
    /// No answer, no connection, or a broken one.
    Silent,
    /// Not used: by the requester's own word the instance leaves, or has ended.
    Leaving,
}

/// A slot that is out, as a former owner tells the new one: whose it is, and for how many ms yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanedSlot {
    pub to: SocketAddr,
    pub life: u32,
    pub seq: u32,
    pub left: u32,
}

/// The most that are told of one instance; requesters tell of the rest themselves.
pub const MAX_LOANED_SLOTS: usize = 32;

/// One line of a letter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// A slot is wanted. Times in ms: `aim` to the end of its full worth, `left` to its end.
    Ask { seq: u32, kind: Kind, priority: u8, aim: u32, left: u32, avoid: u32, hops: u8 },
    /// Here is one, with what is still free and who waits behind.
    Grant { seq: u32, instance: String, at: SocketAddr, free: u8, waiting: u8 },
    /// It is known and waits: answers an ask that came again.
    Waits { seq: u32, free: u8, waiting: u8 },
    /// The zone (its hash) whose lender has instances.
    Elsewhere { seq: u32, zone: u32 },
    /// No room in time; worth another try after so many ms.
    Later { seq: u32, after: u32 },
    /// A slot comes back, or an ask is taken back; `ms` it was held. Without a kind (0) the lender looks for it.
    Return { seq: u32, kind: Kind, ended: Ended, ms: u32 },
    /// The return was heard.
    Noted { seq: u32 },
    /// Told to a new lender: this slot is out, for so many ms yet.
    Holds { seq: u32, kind: Kind, instance: String, left: u32 },
    /// That was written down. Instances are named by their hash here and below.
    Heard { seq: u32, kind: Kind, instance: u32 },
    /// A slot nobody waits for any more; 0 for a place in the queue.
    Unwanted { seq: u32, kind: Kind, instance: u32 },
    /// It was struck out.
    Dropped { seq: u32, instance: u32 },
    /// What a lender has of a function: free slots, waiting calls, ms that a call takes.
    Room { kind: Kind, free: u8, waiting: u8, run: u16 },
    /// Asked of a borrower, of a loan that is out for long or was forgotten for a while: does it have it still?
    Still { seq: u32, kind: Kind, instance: u32, life: u32 },
    /// A grant that the requester won't use: by its own word the instance leaves, or has ended. Answered with `Dropped`.
    Refused { seq: u32, kind: Kind, instance: u32 },
    /// To the new owner of an instance: the sender lends it no more, and these slots are out.
    HandsOver { kind: Kind, instance: String, loans: Vec<LoanedSlot>, complete: bool },
    /// That was written down.
    TookOver { instance: u32 },
    /// To the former owner of an instance: the sender owns it from now on, and waits for what is out.
    Claims { kind: Kind, instance: String },
    /// The answer of one that has handed it over to another already.
    GaveTo { kind: Kind, instance: String, owner: SocketAddr },
}

impl Line {
    /// About how many bytes it takes.
    fn size(&self) -> usize {
        match self {
            Line::HandsOver { instance, loans, .. } => 8 + instance.len() + 20 * loans.len(),
            Line::Claims { instance, .. } | Line::GaveTo { instance, .. } => 20 + instance.len(),
            _ => 32,
        }
    }
}

/// A datagram: who says it (the life of its process) and its lines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    pub life: u32,
    pub lines: Vec<Line>,
}

/// Lines in one datagram; keeps it under a packet's size.
pub const LINES: usize = 16;
/// Bytes of the lines in one datagram, for lines that are longer than most.
const LINES_SIZE: usize = 1200;

/// How many of these lines go in the next datagram.
pub fn lines_that_fit(lines: &[Line]) -> usize {
    let mut size = 0;
    let fit = lines.iter().take(LINES).take_while(|line| {
        size += line.size();
        size <= LINES_SIZE
    });
    fit.count().max(1).min(lines.len())
}

impl Letter {
    /// None for what cannot be read: dropped by the reader, never guessed.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        let (letter, rest) = postcard::take_from_bytes::<Letter>(bytes).ok()?;
        (rest.is_empty() && letter.lines.len() <= LINES).then_some(letter)
    }

    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
