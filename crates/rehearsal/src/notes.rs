//! What pages, archives and desks say to each other: `house::notes`, as far as it decides anything.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tindock_catalogue::Catalogue;
pub use tindock_circulation::{InstanceUpdate, Listed, Mark, Owners, Proxy};
use tindock_control_store::Envelope;
use tindock_stacks as stacks;

pub const PEER_PORT: u16 = 7300;
pub const LEND_PORT: u16 = 7301;

#[derive(Clone)]
pub enum Note {
    ControlStore(Envelope),
    Pull {
        ip: IpAddr,
        revision: u64,
        mark: Mark,
    },
    News {
        holder: Option<(SocketAddr, u64)>,
        revision: u64,
        touch: bool,
        archives: Vec<SocketAddr>,
        pages: Vec<IpAddr>,
    },
    Word(Rc<Catalogue>),
    Follow {
        mark: Mark,
        greets: bool,
        proxy: Option<Proxy>,
    },
    Stacks(Rc<InstanceUpdate>),
    Owners(Owners),
    Demand(Vec<stacks::Demand>),
    Gone(String),
    Ready(String),
    Inherit {
        entries: Vec<Listed>,
        tag: u64,
        numbers: Vec<(String, u32)>,
    },
}

/// FNV-1a, 64 bits.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
