//! The protocol between owners and requesters: datagrams of a few messages, encoded with postcard. A message
//! may be lost, duplicated or late; important ones are resent until they are acknowledged.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identifier of a function: the 32-bit FNV-1a hash of its name. Names are random for each deployment and
/// some characters long.
pub type Kind = u32;

/// FNV-1a, 32 bits.
pub fn kind(name: &str) -> Kind {
    name.bytes().fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// How the use of a slot ended, as the requester observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// Answered by the worker, whatever the status.
    Done,
    /// Never used, or aborted by the client.
    Idle,
    /// Rejected as full: slots are held there that the owner does not know of.
    Full,
    /// The address refuses connections, or another instance has it.
    Gone,
    /// No response, no connection, or a broken one.
    Silent,
    /// Not used: by the requester's list the instance leaves, or has ended.
    Leaving,
}

/// A held slot as a former owner reports it to the new one: its requester, and its remaining time in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedSlot {
    pub to: SocketAddr,
    #[serde(rename = "life")]
    pub incarnation: u32,
    pub seq: u32,
    pub left: u32,
}

/// The most that are reported of one instance; requesters report the rest themselves.
pub const MAX_GRANTED_SLOTS: usize = 32;

/// One message of a datagram. The `rename` attributes keep earlier names of variants and fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a slot. Times in ms: `aim` until the call's full value ends, `left` until its deadline.
    #[serde(rename = "Ask")]
    Request { seq: u32, kind: Kind, priority: u8, aim: u32, left: u32, avoid: u32, hops: u8 },
    /// Grants a slot, with the free slots that remain and the number of queued calls.
    Grant { seq: u32, instance: String, at: SocketAddr, free: u8, waiting: u8 },
    /// The request is known and queued: the reply to a repeated request.
    #[serde(rename = "Waits")]
    Queued { seq: u32, free: u8, waiting: u8 },
    /// The zone (its hash) whose owner has instances.
    #[serde(rename = "Elsewhere")]
    Redirect { seq: u32, zone: u32 },
    /// No capacity in time; to be retried after this many ms.
    #[serde(rename = "Later")]
    RetryAfter { seq: u32, after: u32 },
    /// Returns a slot, or withdraws a request; `ms` is how long it was held. Without a function (0) the owner
    /// searches for it.
    Return { seq: u32, kind: Kind, ended: Ended, ms: u32 },
    /// Acknowledges a return.
    #[serde(rename = "Noted")]
    ReturnAck { seq: u32 },
    /// Reports to a new owner: this slot is held, for `left` ms.
    Holds { seq: u32, kind: Kind, instance: String, left: u32 },
    /// Acknowledges `Holds`. Instances are named by their hash here and below.
    #[serde(rename = "Heard")]
    HoldsAck { seq: u32, kind: Kind, instance: u32 },
    /// Returns a slot that no call awaits; with instance 0 withdraws a queued request. With a number that no
    /// call has it serves as a ping.
    #[serde(rename = "Unwanted")]
    Release { seq: u32, kind: Kind, instance: u32 },
    /// Acknowledges `Release` and `Refused`.
    #[serde(rename = "Dropped")]
    ReleaseAck { seq: u32, instance: u32 },
    /// Capacity of a function at its owner: free slots, queued calls, duration of a call in ms.
    #[serde(rename = "Room")]
    Capacity { kind: Kind, free: u8, waiting: u8, run: u16 },
    /// Asks a requester whether it still holds a slot, of a grant that is held for long or was not tracked
    /// for a while.
    #[serde(rename = "Still")]
    CheckGrant {
        seq: u32,
        kind: Kind,
        instance: u32,
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// Returns a grant that the requester won't use: by its own list the instance leaves, or has ended.
    /// Answered with `ReleaseAck`.
    Refused { seq: u32, kind: Kind, instance: u32 },
    /// Sent to the new owner of an instance: the sender grants no more slots there, and these are held.
    #[serde(rename = "HandsOver")]
    Handover {
        kind: Kind,
        instance: String,
        #[serde(rename = "loans")]
        grants: Vec<GrantedSlot>,
        complete: bool,
    },
    /// Acknowledges `Handover`.
    #[serde(rename = "TookOver")]
    HandoverAck { instance: u32 },
    /// Sent to the former owner of an instance: the sender owns it from now on, and waits for its handover.
    #[serde(rename = "Claims")]
    Claim { kind: Kind, instance: String },
    /// Reply to `Claim` of a process that has already handed the instance over to another.
    #[serde(rename = "GaveTo")]
    HandedTo { kind: Kind, instance: String, owner: SocketAddr },
}

impl Message {
    /// Approximate size in bytes.
    fn size(&self) -> usize {
        match self {
            Message::Handover { instance, grants, .. } => 8 + instance.len() + 20 * grants.len(),
            Message::Claim { instance, .. } | Message::HandedTo { instance, .. } => 20 + instance.len(),
            _ => 32,
        }
    }
}

/// A datagram: the incarnation of the sending process, and its messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    #[serde(rename = "life")]
    pub incarnation: u32,
    #[serde(rename = "lines")]
    pub messages: Vec<Message>,
}

/// The most messages in one datagram; keeps it below the size of a packet.
pub const MAX_MESSAGES: usize = 16;
/// The most bytes of messages in one datagram; bounds messages that are longer than most.
const MAX_MESSAGES_BYTES: usize = 1200;

/// How many of these messages go in the next datagram.
pub fn messages_that_fit(messages: &[Message]) -> usize {
    let mut size = 0;
    let fit = messages.iter().take(MAX_MESSAGES).take_while(|message| {
        size += message.size();
        size <= MAX_MESSAGES_BYTES
    });
    fit.count().max(1).min(messages.len())
}

impl Datagram {
    /// None for a datagram that cannot be decoded; the receiver drops it.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        let (datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes).ok()?;
        (rest.is_empty() && datagram.messages.len() <= MAX_MESSAGES).then_some(datagram)
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
