//! How the stacks (which instances there are) reach every page, without I/O: inputs carry the time, what is to be sent is
//! pulled until there is none.
//!
//! The holder of the duty is the one [`Source`]. It tells the archives what changed, a few times a second at the most, and
//! each archive is a [`Relay`] for the pages that ask it, which are those of its zone where there is one: so a change
//! crosses to a zone once, not once a page. Archives and pages each keep a [`Replica`]. Everything carries a [`Mark`]; who
//! finds a gap asks again, and a page whose mark stands still though the source's moved is told by the source itself.
//! So a relay that is gone, cut off or behind costs a page [`LAG`], and nothing else.

mod relay;
mod replica;
mod source;

pub use relay::Relay;
pub use replica::{Applied, Replica};
pub use source::{Source, MAX_LAG, MIN_INTERVAL};

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// How far the stacks are known: the number of the duty, and the version under it. A later duty's versions begin above
/// those of all before it. The least one knows nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    pub number: u64,
    pub version: u64,
}

impl Mark {
    /// Nothing is known.
    pub fn is_blank(self) -> bool {
        self == Mark::default()
    }
}

/// An instance, between processes: `age` in ms instead of a time, as clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub instance: String,
    pub service: String,
    pub at: SocketAddr,
    pub zone: String,
    pub host: String,
    pub age: u32,
    pub ready: bool,
    #[serde(rename = "lends")]
    pub accepts_calls: bool,
    /// While it is moved: the instance that it is to stand in for. One byte for all others.
    pub replaces: Option<String>,
}

/// A proxy among which owners of slots are chosen: its machine, its zone's number, the life of its process (0: none serves).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proxy {
    pub ip: IpAddr,
    #[serde(rename = "place")]
    pub zone_index: u8,
    #[serde(rename = "life")]
    pub incarnation: u32,
}

/// All proxies among which owners of slots are chosen, and under which mark the holder of the lease told them: a later one
/// holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    pub mark: Mark,
    pub proxies: Vec<Proxy>,
}

/// What changed after the version `from`; `whole`: this is everything. `tag` and `numbers` name the starts made so far, for
/// whoever holds the duty next. Under the number 0 it is a reading of the platform's list while nobody holds the duty.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceUpdate {
    pub number: u64,
    pub from: u64,
    pub whole: bool,
    pub version: u64,
    pub entries: Vec<Listed>,
    pub ended: Vec<String>,
    pub tag: u64,
    pub numbers: Vec<(String, u32)>,
    /// If they changed after `from`.
    pub owners: Option<Owners>,
}

impl InstanceUpdate {
    /// Up to where it leads.
    pub fn mark(&self) -> Mark {
        Mark { number: self.number, version: self.version }
    }
}
