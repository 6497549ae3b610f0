//! Messages between agents, controllers and proxies: those of the system processes that affect decisions.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tindock_autoscaler as autoscaler;
use tindock_configuration::Catalogue;
use tindock_control_store::Envelope;
pub use tindock_instance_distribution::{InstanceUpdate, Listed, Mark, Owners, Proxy};

pub const PEER_PORT: u16 = 7300;
pub const ALLOCATION_PORT: u16 = 7301;

#[derive(Clone)]
pub enum PeerMessage {
    ControlStore(Envelope),
    Pull {
        ip: IpAddr,
        revision: u64,
        mark: Mark,
    },
    ControllerStatus {
        holder: Option<(SocketAddr, u64)>,
        revision: u64,
        in_contact: bool,
        controllers: Vec<SocketAddr>,
        agents: Vec<IpAddr>,
    },
    Configuration(Rc<Catalogue>),
    Follow {
        mark: Mark,
        wants_status: bool,
        proxy: Option<Proxy>,
    },
    Instances(Rc<InstanceUpdate>),
    Owners(Owners),
    Demand(Vec<autoscaler::Demand>),
    InstanceGone(String),
    InstanceReady(String),
    Handover {
        entries: Vec<Listed>,
        tag: u64,
        numbers: Vec<(String, u32)>,
    },
}

/// FNV-1a, 64 bits.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
