//! The first frame of a stream between processes: who speaks, and in which version of the protocol.

use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use spdlog::warn;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// The version of all frames. To be raised whenever a frame changes in a way that others cannot read.
pub const PROTOCOL_VERSION: u16 = 1;
/// A first frame without a version: of releases before there was one.
const NO_VERSION: u16 = 0;
/// Refused speakers that are remembered; beyond that none is said in the log.
const MAX_REFUSED: usize = 256;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamHeader {
    from: SocketAddr,
    version: u16,
}

thread_local! {
    /// Speakers that were refused, each said once in the log.
    static REFUSED: RefCell<BTreeSet<(SocketAddr, u16)>> = RefCell::default();
}

impl StreamHeader {
    /// Of this process.
    pub fn new(from: SocketAddr) -> StreamHeader {
        StreamHeader { from, version: PROTOCOL_VERSION }
    }

    /// Who speaks, if in this version; another one is said once in the log, and refused.
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
                f.write_str("who speaks, and a version")
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<StreamHeader, A::Error> {
                let from = seq.next_element()?.ok_or_else(|| A::Error::custom("nobody speaks"))?;
                // The frame ends here in releases without a version.
                let version = seq.next_element().ok().flatten().unwrap_or(NO_VERSION);
                Ok(StreamHeader { from, version })
            }
        }
        from.deserialize_tuple(2, Frame)
    }
}
