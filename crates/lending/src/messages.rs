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
pub struct GrantedSlot {
    pub to: SocketAddr,
    #[serde(rename = "life")]
    pub incarnation: u32,
    pub seq: u32,
    pub left: u32,
}

/// The most that are told of one instance; requesters tell of the rest themselves.
pub const MAX_GRANTED_SLOTS: usize = 32;

/// One line of a letter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A slot is wanted. Times in ms: `aim` to the end of its full worth, `left` to its end.
    #[serde(rename = "Ask")]
    Request { seq: u32, kind: Kind, priority: u8, aim: u32, left: u32, avoid: u32, hops: u8 },
    /// Here is one, with what is still free and who waits behind.
    Grant { seq: u32, instance: String, at: SocketAddr, free: u8, waiting: u8 },
    /// It is known and waits: answers an ask that came again.
    #[serde(rename = "Waits")]
    Queued { seq: u32, free: u8, waiting: u8 },
    /// The zone (its hash) whose lender has instances.
    #[serde(rename = "Elsewhere")]
    Redirect { seq: u32, zone: u32 },
    /// No room in time; worth another try after so many ms.
    #[serde(rename = "Later")]
    RetryAfter { seq: u32, after: u32 },
    /// A slot comes back, or an ask is taken back; `ms` it was held. Without a kind (0) the lender looks for it.
    Return { seq: u32, kind: Kind, ended: Ended, ms: u32 },
    /// The return was heard.
    #[serde(rename = "Noted")]
    ReturnAck { seq: u32 },
    /// Told to a new lender: this slot is out, for so many ms yet.
    Holds { seq: u32, kind: Kind, instance: String, left: u32 },
    /// That was written down. Instances are named by their hash here and below.
    #[serde(rename = "Heard")]
    HoldsAck { seq: u32, kind: Kind, instance: u32 },
    /// A slot nobody waits for any more; 0 for a place in the queue.
    #[serde(rename = "Unwanted")]
    Release { seq: u32, kind: Kind, instance: u32 },
    /// It was struck out.
    #[serde(rename = "Dropped")]
    ReleaseAck { seq: u32, instance: u32 },
    /// What a lender has of a function: free slots, waiting calls, ms that a call takes.
    #[serde(rename = "Room")]
    Capacity { kind: Kind, free: u8, waiting: u8, run: u16 },
    /// Asked of a borrower, of a loan that is out for long or was forgotten for a while: does it have it still?
    #[serde(rename = "Still")]
    CheckGrant {
        seq: u32,
        kind: Kind,
        instance: u32,
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// A grant that the requester won't use: by its own word the instance leaves, or has ended. Answered with `Dropped`.
    Refused { seq: u32, kind: Kind, instance: u32 },
    /// To the new owner of an instance: the sender lends it no more, and these slots are out.
    #[serde(rename = "HandsOver")]
    Handover {
        kind: Kind,
        instance: String,
        #[serde(rename = "loans")]
        grants: Vec<GrantedSlot>,
        complete: bool,
    },
    /// That was written down.
    #[serde(rename = "TookOver")]
    HandoverAck { instance: u32 },
    /// To the former owner of an instance: the sender owns it from now on, and waits for what is out.
    #[serde(rename = "Claims")]
    Claim { kind: Kind, instance: String },
    /// The answer of one that has handed it over to another already.
    #[serde(rename = "GaveTo")]
    HandedTo { kind: Kind, instance: String, owner: SocketAddr },
}

impl Message {
    /// About how many bytes it takes.
    fn size(&self) -> usize {
        match self {
            Message::Handover { instance, grants, .. } => 8 + instance.len() + 20 * grants.len(),
            Message::Claim { instance, .. } | Message::HandedTo { instance, .. } => 20 + instance.len(),
            _ => 32,
        }
    }
}

/// A datagram: who says it (the life of its process) and its lines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    #[serde(rename = "life")]
    pub incarnation: u32,
    #[serde(rename = "lines")]
    pub messages: Vec<Message>,
}

/// Lines in one datagram; keeps it under a packet's size.
pub const MAX_MESSAGES: usize = 16;
/// Bytes of the lines in one datagram, for lines that are longer than most.
const MAX_MESSAGES_BYTES: usize = 1200;

/// How many of these lines go in the next datagram.
pub fn messages_that_fit(messages: &[Message]) -> usize {
    let mut size = 0;
    let fit = messages.iter().take(MAX_MESSAGES).take_while(|message| {
        size += message.size();
        size <= MAX_MESSAGES_BYTES
    });
    fit.count().max(1).min(messages.len())
}

impl Datagram {
    /// None for what cannot be read: dropped by the reader, never guessed.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        let (datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes).ok()?;
        (rest.is_empty() && datagram.messages.len() <= MAX_MESSAGES).then_some(datagram)
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
