//! Distribution of the instance list to all agents, without I/O: inputs carry the time, and what is to be
//! sent is pulled until there is none.
//!
//! The holder of the leadership lease is the one [`Source`]. It sends changes to the controllers, a few times
//! a second at most, and each controller is a [`Relay`] for the agents that poll it, which are those of its
//! zone where there is one: so a change crosses to a zone once, not once per agent. Controllers and agents
//! each keep a [`Replica`]. Every update carries a [`Mark`]; a replica that finds a gap requests what it
//! lacks, and an agent whose mark falls behind the source's receives updates from the source itself. So a
//! relay that fails, is cut off or is behind delays its agents by [`MAX_LAG`], and has no other effect.

mod relay;
mod replica;
mod source;

pub use relay::Relay;
pub use replica::{Applied, Replica};
pub use source::{Source, MAX_LAG, MIN_INTERVAL};

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// How far the instance list is known: the number of the leadership lease, and the version under it. The
/// versions of a later lease begin above those of all before it. The lowest mark stands for no state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    pub number: u64,
    pub version: u64,
}

impl Mark {
    /// Whether nothing is known.
    pub fn is_blank(self) -> bool {
        self == Mark::default()
    }
}

/// An instance as sent between processes: `age` in ms instead of a time, as clocks differ.
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
    /// While an instance is moved: the instance that this one replaces. One byte for all others.
    pub replaces: Option<String>,
}

/// A proxy that may own instances: the address of its host, the index of its zone, and the incarnation of its
/// process (0: none serves).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proxy {
    pub ip: IpAddr,
    #[serde(rename = "place")]
    pub zone_index: u8,
    #[serde(rename = "life")]
    pub incarnation: u32,
}

/// All proxies that may own instances, and the mark under which the holder of the leadership lease published
/// them: the latest one counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    pub mark: Mark,
    pub proxies: Vec<Proxy>,
}

/// The changes after the version `from`; with `whole` the complete list. `tag` and `numbers` are the
/// numbering of the starts so far, for the next holder of the leadership lease. Under the lease number 0 it
/// is a list read from the platform while nobody holds the lease.
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
    /// The mark that a replica has after this update.
    pub fn mark(&self) -> Mark {
        Mark { number: self.number, version: self.version }
    }
}
