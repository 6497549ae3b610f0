//! What pages, archives and desks say to each other.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use tindock_catalogue::{Catalogue, Change};
pub use tindock_circulation::Listed;
use tindock_circulation::{InstanceUpdate, Mark, Owners, Proxy};
use tindock_control_store::Envelope;

/// Between pages and archives.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Note {
    /// Between archives: the control_store's own.
    ControlStore(Envelope),
    /// A page asks an archive for what it lacks, and hears of news as it comes: it has the word of this revision, and the
    /// stacks up to this mark; `greets`: also who else is there. Without `wants` it only looks for the archive of its zone.
    Pull {
        ip: IpAddr,
        revision: u64,
        mark: Mark,
        greets: bool,
        wants: bool,
    },
    /// The answer: who holds the duty, the newest revision in force, the archive's zone, who else is there.
    News {
        holder: Option<(SocketAddr, u64)>,
        revision: u64,
        touch: bool,
        place: u8,
        archives: Vec<SocketAddr>,
        pages: Vec<IpAddr>,
    },
    /// The whole configuration, read and checked.
    Word(Catalogue),
    /// What leads to it from the one that the page has.
    Change(Change),
    /// To the holder: a page or an archive follows the stacks, and has them up to this mark. All follow one holder, so it knows
    /// of all: `greets` asks it for some of the pages. A page says which process serves beside it.
    Follow {
        mark: Mark,
        greets: bool,
        proxy: Option<Proxy>,
    },
    /// From the holder, and from the archive that is asked: what changed in the stacks.
    Stacks(InstanceUpdate),
    /// To the holder: what lenders need and know.
    Demand(Vec<Demand>),
    Gone(String),
    Ready(String),
    /// To a new holder: all that this page knows of the stacks.
    Inherit {
        entries: Vec<Listed>,
        tag: u64,
        numbers: Vec<(String, u32)>,
    },
    /// From another page, which hears that this one knows older ones: it may be cut off from the holder.
    Owners(Owners),
    /// From an archive: another page's address is worth knowing; or a page that leaves.
    Leaving {
        ip: IpAddr,
    },
}

/// What a lender tells the scaler of a function in its zone; `run` and `idle` in ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub service: String,
    pub zone: String,
    pub rate: f32,
    pub busy: f32,
    pub peak: u16,
    pub waiting: u16,
    pub run: f32,
    pub idle: u32,
    /// Zones that the calls come from, by their numbers, with their shares of 255.
    pub origins: Vec<(u8, u8)>,
}

/// A scheduler that lends, as the page tells its desk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Desk {
    pub ip: IpAddr,
    pub zone: String,
    pub life: u32,
}

/// From the page to the desk beside it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Told {
    Word(Catalogue),
    Change(Change),
    /// Those that this agent hears of.
    Desks(Vec<Desk>),
    /// Those among which owners of slots are chosen.
    Owners(Vec<Desk>),
    Stacks {
        entries: Vec<Listed>,
        ended: Vec<String>,
        /// The entries are all there are.
        whole: bool,
    },
    /// Whether the configuration in hand is known to be the newest, so that a 404 can be said.
    Fresh(bool),
    /// Whether controllers that are in touch with one another were heard lately: on which side of a cut this machine is.
    InTouch(bool),
}

/// From the desk to its page.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Tells {
    Life(u32),
    Demand(Vec<Demand>),
    Gone(String),
    Ready(String),
    Leaving,
}
