//! The first frame of a stream between processes: the address of the sender, and the version of the protocol.

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use spdlog::warn;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// The version of all frames. Must be raised with each change of a frame that other releases cannot read.
pub const PROTOCOL_VERSION: u16 = 1;
/// Stands for a first frame without a version, from releases before the version was introduced.
const NO_VERSION: u16 = 0;
/// Refused senders that are remembered; further ones are not logged.
const MAX_REFUSED: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamHeader {
    from: SocketAddr,
    version: u16,
}

thread_local! {
    /// Senders that were refused; each is logged once.
    static REFUSED: RefCell<BTreeSet<(SocketAddr, u16)>> = RefCell::default();
}

impl StreamHeader {
    /// The header of this process, with its own address.
    pub fn new(from: SocketAddr) -> StreamHeader {
        StreamHeader { from, version: PROTOCOL_VERSION }
    }

    /// The sender's address, if it has this protocol version. Another version is refused, and logged once per
    /// sender.
    pub fn compatible_sender(self) -> Option<SocketAddr> {
        if self.version == PROTOCOL_VERSION {
            return Some(self.from);
        }
        if REFUSED.with_borrow_mut(|refused| refused.len() < MAX_REFUSED && refused.insert(self.key())) {
            let StreamHeader { from, version } = self;
            warn!("streams of {from} refused: protocol version {version}, this is {PROTOCOL_VERSION}");
        }
        None
    }

    fn key(&self) -> (SocketAddr, u16) {
        (self.from, self.version)
    }
}

impl Serialize for StreamHeader {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut tuple = to.serialize_tuple(2)?;
        tuple.serialize_element(&self.from)?;
        tuple.serialize_element(&self.version)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for StreamHeader {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<StreamHeader, D::Error> {
        struct Frame;
        impl<'de> Visitor<'de> for Frame {
            type Value = StreamHeader;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("the address of the sender, and a version")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<StreamHeader, A::Error> {
                let from = seq
                    .next_element()?
                    .ok_or_else(|| A::Error::custom("the address of the sender is missing"))?;
                // The frame ends here in releases without a version.
                let version = seq.next_element().ok().flatten().unwrap_or(NO_VERSION);
                Ok(StreamHeader { from, version })
            }
        }
        from.deserialize_tuple(2, Frame)
    }
}
