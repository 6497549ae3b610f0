//! The configuration, its version, and the ballot under which it was proposed.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The number of one attempt to choose a configuration. Globally unique: no two starts of a member share an
/// incarnation, and a member uses each round once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub incarnation: u64,
    pub proposer: SocketAddr,
}

impl Ballot {
    /// Below all others: for copies stored by releases without ballots.
    pub const NONE: Ballot = Ballot {
        round: 0,
        incarnation: 0,
        proposer: SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0)),
    };
}

impl Default for Ballot {
    fn default() -> Ballot {
        Ballot::NONE
    }
}

/// Identifies the proposal that a copy belongs to. Ordered by ballot; copies without one by revision, then
/// digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub ballot: Ballot,
    pub revision: u64,
    pub digest: u64,
}

impl Version {
    /// No configuration.
    pub const NONE: Version = Version { ballot: Ballot::NONE, revision: 0, digest: 0 };

    /// Whether both have the same text, under whatever ballots.
    pub fn same_text(&self, other: &Version) -> bool {
        (self.revision, self.digest) == (other.revision, other.digest)
    }

    /// Whether it was proposed under a ballot: only such a version can be chosen.
    pub fn has_ballot(&self) -> bool {
        self.ballot > Ballot::NONE
    }
}

/// An opaque text with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The ballot under which it was proposed.
    pub ballot: Ballot,
    pub revision: u64,
    /// FNV-1a, 64 bits, of the text.
    pub digest: u64,
    #[serde(with = "text")]
    pub text: Arc<[u8]>,
}

impl Configuration {
    /// A configuration that has not been proposed yet.
    pub fn new(revision: u64, text: impl Into<Arc<[u8]>>) -> Configuration {
        let text = text.into();
        Configuration { ballot: Ballot::NONE, revision, digest: digest(&text), text }
    }

    /// The same text under another ballot.
    pub fn under(&self, ballot: Ballot) -> Configuration {
        Configuration { ballot, ..self.clone() }
    }

    pub fn version(&self) -> Version {
        Version { ballot: self.ballot, revision: self.revision, digest: self.digest }
    }

    /// Checked because a value received from the network may be arbitrary.
    pub(crate) fn is_well_formed(&self) -> bool {
        self.revision > 0 && self.digest == digest(&self.text)
    }
}

/// FNV-1a, 64 bits.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

/// Serializes the text as one byte string, not element by element.
pub(crate) mod text {
    use std::fmt;
    use std::sync::Arc;

    use serde::de::{Error, SeqAccess, Visitor};
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(text: &Arc<[u8]>, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(text)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<[u8]>, D::Error> {
        struct Bytes;
        impl<'de> Visitor<'de> for Bytes {
            type Value = Arc<[u8]>;
            fn expecting(&self, to: &mut fmt::Formatter) -> fmt::Result {
                to.write_str("bytes")
            }
            fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Arc<[u8]>, E> {
                Ok(Arc::from(bytes))
            }
            fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Arc<[u8]>, E> {
                Ok(Arc::from(bytes))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Arc<[u8]>, A::Error> {
                let mut bytes = Vec::new();
                while let Some(byte) = seq.next_element()? {
                    bytes.push(byte);
                }
                Ok(Arc::from(bytes))
            }
        }
        from.deserialize_byte_buf(Bytes)
    }
}
