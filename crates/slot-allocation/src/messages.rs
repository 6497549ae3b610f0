//! The protocol between owners and requesters: datagrams of a few messages, encoded with postcard. A message
//! may be lost, duplicated or late; important ones are resent until they are acknowledged.

use crate::function_id::FunctionId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

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

/// One message of a datagram; `F` identifies a function. The `rename` attributes keep earlier names of variants
/// and fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message<F = FunctionId> {
    /// Requests a slot. Times in ms: `aim` until the call's full value ends, `left` until its deadline.
    #[serde(rename = "Ask")]
    Request { seq: u32, function_id: F, priority: u8, aim: u32, left: u32, avoid: u32, hops: u8 },
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
    /// Returns a slot, or withdraws a request; `ms` is how long it was held. Without a function (`NONE`) the
    /// owner searches for it.
    Return { seq: u32, function_id: F, ended: Ended, ms: u32 },
    /// Acknowledges a return.
    #[serde(rename = "Noted")]
    ReturnAck { seq: u32 },
    /// Reports to a new owner: this slot is held, for `left` ms.
    Holds { seq: u32, function_id: F, instance: String, left: u32 },
    /// Acknowledges `Holds`. Instances are named by their hash here and below.
    #[serde(rename = "Heard")]
    HoldsAck { seq: u32, function_id: F, instance: u32 },
    /// Returns a slot that no call awaits; with instance 0 withdraws a queued request. With a number that no
    /// call has it serves as a ping.
    #[serde(rename = "Unwanted")]
    Release { seq: u32, function_id: F, instance: u32 },
    /// Acknowledges `Release` and `Refused`.
    #[serde(rename = "Dropped")]
    ReleaseAck { seq: u32, instance: u32 },
    /// Capacity of a function at its owner: free slots, queued calls, duration of a call in ms.
    #[serde(rename = "Room")]
    Capacity { function_id: F, free: u8, waiting: u8, run: u16 },
    /// Asks a requester whether it still holds a slot, of a grant that is held for long or was not tracked
    /// for a while.
    #[serde(rename = "Still")]
    CheckGrant {
        seq: u32,
        function_id: F,
        instance: u32,
        #[serde(rename = "life")]
        incarnation: u32,
    },
    /// Returns a grant that the requester won't use: by its own list the instance leaves, or has ended.
    /// Answered with `ReleaseAck`.
    Refused { seq: u32, function_id: F, instance: u32 },
    /// Sent to the new owner of an instance: the sender grants no more slots there, and these are held.
    #[serde(rename = "HandsOver")]
    Handover {
        function_id: F,
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
    Claim { function_id: F, instance: String },
    /// Reply to `Claim` of a process that has already handed the instance over to another.
    #[serde(rename = "GaveTo")]
    HandedTo { function_id: F, instance: String, owner: SocketAddr },
}

impl<F: Copy> Message<F> {
    /// The function that the message is about, if it is about one.
    pub fn function(&self) -> Option<F> {
        match self {
            Message::Request { function_id, .. }
            | Message::Return { function_id, .. }
            | Message::Holds { function_id, .. }
            | Message::HoldsAck { function_id, .. }
            | Message::Release { function_id, .. }
            | Message::Capacity { function_id, .. }
            | Message::CheckGrant { function_id, .. }
            | Message::Refused { function_id, .. }
            | Message::Handover { function_id, .. }
            | Message::Claim { function_id, .. }
            | Message::HandedTo { function_id, .. } => Some(*function_id),
            Message::Grant { .. }
            | Message::Queued { .. }
            | Message::Redirect { .. }
            | Message::RetryAfter { .. }
            | Message::ReturnAck { .. }
            | Message::ReleaseAck { .. }
            | Message::HandoverAck { .. } => None,
        }
    }

    /// The same message with another identifier of its function.
    pub fn map_function<G>(self, identify: impl FnOnce(F) -> G) -> Message<G> {
        match self {
            Message::Request { seq, function_id, priority, aim, left, avoid, hops } => {
                Message::Request { seq, function_id: identify(function_id), priority, aim, left, avoid, hops }
            }
            Message::Grant { seq, instance, at, free, waiting } => {
                Message::Grant { seq, instance, at, free, waiting }
            }
            Message::Queued { seq, free, waiting } => Message::Queued { seq, free, waiting },
            Message::Redirect { seq, zone } => Message::Redirect { seq, zone },
            Message::RetryAfter { seq, after } => Message::RetryAfter { seq, after },
            Message::Return { seq, function_id, ended, ms } => {
                Message::Return { seq, function_id: identify(function_id), ended, ms }
            }
            Message::ReturnAck { seq } => Message::ReturnAck { seq },
            Message::Holds { seq, function_id, instance, left } => {
                Message::Holds { seq, function_id: identify(function_id), instance, left }
            }
            Message::HoldsAck { seq, function_id, instance } => {
                Message::HoldsAck { seq, function_id: identify(function_id), instance }
            }
            Message::Release { seq, function_id, instance } => {
                Message::Release { seq, function_id: identify(function_id), instance }
            }
            Message::ReleaseAck { seq, instance } => Message::ReleaseAck { seq, instance },
            Message::Capacity { function_id, free, waiting, run } => {
                Message::Capacity { function_id: identify(function_id), free, waiting, run }
            }
            Message::CheckGrant { seq, function_id, instance, incarnation } => {
                Message::CheckGrant { seq, function_id: identify(function_id), instance, incarnation }
            }
            Message::Refused { seq, function_id, instance } => {
                Message::Refused { seq, function_id: identify(function_id), instance }
            }
            Message::Handover { function_id, instance, grants, complete } => {
                Message::Handover { function_id: identify(function_id), instance, grants, complete }
            }
            Message::HandoverAck { instance } => Message::HandoverAck { instance },
            Message::Claim { function_id, instance } => {
                Message::Claim { function_id: identify(function_id), instance }
            }
            Message::HandedTo { function_id, instance, owner } => {
                Message::HandedTo { function_id: identify(function_id), instance, owner }
            }
        }
    }
}

impl Message {
    /// Approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Message::Handover { instance, grants, .. } => 24 + instance.len() + 20 * grants.len(),
            Message::Claim { instance, .. } | Message::HandedTo { instance, .. } => 36 + instance.len(),
            _ => 44,
        }
    }
}
