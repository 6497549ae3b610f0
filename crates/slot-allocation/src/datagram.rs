//! Datagrams and their two forms. Earlier releases name functions by a hash that two of them may share; since
//! then datagrams have a form with identifiers that differ for any two names. Either form is understood, and
//! each process is sent the one that it understands.

use crate::function_id::FunctionId;
use crate::messages::Message;
use serde::{Deserialize, Serialize};

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

/// In place of the number of messages: the messages that follow identify functions by `FunctionId`. Earlier
/// releases drop such a datagram.
const IDENTIFIED: u8 = 0;

/// In the incarnation numbers of earlier releases the lowest bit is set. In others it is not, and the bits above
/// it number the newest form that the process understands.
const EARLIER_RELEASE_BIT: u32 = 1;
const FORM_BITS: u32 = 3;
const NEWEST_FORM: u32 = 1;

/// How a datagram names functions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// By `FunctionId::short_hash`, as earlier releases do.
    ShortHashes,
    /// By `FunctionId`.
    Identifiers,
}

impl Form {
    /// The form for a process of this incarnation.
    pub fn understood_by(incarnation: u32) -> Form {
        match incarnation & EARLIER_RELEASE_BIT {
            0 => Form::Identifiers,
            _ => Form::ShortHashes,
        }
    }
}

/// An incarnation number of a process of this release.
pub fn incarnation_number(seed: u64) -> u32 {
    let random = (seed ^ seed >> 32) as u32;
    random << (1 + FORM_BITS) | NEWEST_FORM << 1
}

/// A datagram: the incarnation of the sending process, and its messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    pub incarnation: u32,
    pub messages: Vec<Message>,
}

/// A datagram as earlier releases encode it.
#[derive(Serialize, Deserialize)]
struct ShortHashDatagram {
    incarnation: u32,
    messages: Vec<Message<u32>>,
}

/// What precedes the messages of a datagram in which functions have identifiers.
#[derive(Serialize, Deserialize)]
struct IdentifiedHeader {
    incarnation: u32,
    marker: u8,
}

impl Datagram {
    /// None for a datagram that cannot be decoded; the receiver drops it. Functions in a datagram of an earlier
    /// release are known by their short hash alone.
    pub fn decode(bytes: &[u8]) -> Option<Datagram> {
        let (header, body) = postcard::take_from_bytes::<IdentifiedHeader>(bytes).ok()?;
        let datagram = match header.marker {
            IDENTIFIED => Datagram::decode_identified(header.incarnation, body)?,
            _ => Datagram::decode_short_hashes(bytes)?,
        };
        (datagram.messages.len() <= MAX_MESSAGES).then_some(datagram)
    }

    /// The datagram in the form for processes of this release.
    pub fn encode(&self) -> Vec<u8> {
        self.encode_as(Form::Identifiers)
    }

    /// The datagram in this form. One that names no function is encoded as by earlier releases in either case.
    pub fn encode_as(&self, form: Form) -> Vec<u8> {
        let names = |message: &Message| message.function().is_some_and(|id| id != FunctionId::NONE);
        if form == Form::Identifiers && self.messages.iter().any(names) {
            let header = IdentifiedHeader { incarnation: self.incarnation, marker: IDENTIFIED };
            return postcard::to_stdvec(&(header, &self.messages)).unwrap_or_default();
        }
        let short = |message: &Message| message.clone().map_function(FunctionId::short_hash);
        let messages = self.messages.iter().map(short).collect();
        postcard::to_stdvec(&ShortHashDatagram { incarnation: self.incarnation, messages })
            .unwrap_or_default()
    }

    fn decode_identified(incarnation: u32, body: &[u8]) -> Option<Datagram> {
        let (messages, rest) = postcard::take_from_bytes::<Vec<Message>>(body).ok()?;
        rest.is_empty().then_some(Datagram { incarnation, messages })
    }

    fn decode_short_hashes(bytes: &[u8]) -> Option<Datagram> {
        let (datagram, rest) = postcard::take_from_bytes::<ShortHashDatagram>(bytes).ok()?;
        let identified = |message: Message<u32>| message.map_function(FunctionId::with_short_hash);
        let messages = datagram.messages.into_iter().map(identified).collect();
        rest.is_empty().then_some(Datagram { incarnation: datagram.incarnation, messages })
    }
}
