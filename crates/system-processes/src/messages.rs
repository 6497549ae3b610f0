//! The messages between agents, controllers and proxies, in postcard frames (`transport`). Renamed fields and
//! variants keep the names that the protocol had first.

use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use tindock_configuration::{Catalogue, Change};
use tindock_control_store::Envelope;
pub use tindock_instance_distribution::Listed;
use tindock_instance_distribution::{InstanceUpdate, Mark, Owners, Proxy};

/// Between agents and controllers, and between controllers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between controllers: a message of the control store.
    ControlStore(Envelope),
    /// From an agent to a controller: asks for what the agent lacks, and subscribes to updates. The agent has
    /// the configuration of this revision and the instances up to this mark. `with_peers` asks for the other
    /// controllers and agents too; without `with_data` the agent only looks for the controller of its zone.
    Pull {
        ip: IpAddr,
        revision: u64,
        mark: Mark,
        #[serde(rename = "greets")]
        with_peers: bool,
        #[serde(rename = "wants")]
        with_data: bool,
    },
    /// The answer to `Pull`: the lease holder, the newest revision in force, whether the controller is in
    /// touch with a majority, its zone, other controllers and agents.
    #[serde(rename = "News")]
    ClusterStatus {
        holder: Option<(SocketAddr, u64)>,
        revision: u64,
        #[serde(rename = "touch")]
        in_touch: bool,
        #[serde(rename = "place")]
        zone_index: u8,
        #[serde(rename = "archives")]
        controllers: Vec<SocketAddr>,
        #[serde(rename = "pages")]
        agents: Vec<IpAddr>,
    },
    /// The whole configuration, parsed and checked.
    #[serde(rename = "Word")]
    Configuration(Catalogue),
    /// The difference from the agent's configuration to a newer one.
    Change(Change),
    /// To the lease holder: an agent or a controller follows the instances, and has them up to this mark. All
    /// follow the one holder, so it knows all of them: `with_peers` asks it for some of the agents. An agent
    /// reports which proxy process serves on its machine.
    Follow {
        mark: Mark,
        #[serde(rename = "greets")]
        with_peers: bool,
        proxy: Option<Proxy>,
    },
    /// From the lease holder, and from the controller that an agent pulls from: what changed in the
    /// instances.
    #[serde(rename = "Stacks")]
    Instances(InstanceUpdate),
    /// To the lease holder: the demand that a slot allocator measured.
    Demand(Vec<Demand>),
    /// To the lease holder: this instance has ended.
    #[serde(rename = "Gone")]
    InstanceGone(String),
    /// To the lease holder: this instance accepts connections.
    #[serde(rename = "Ready")]
    InstanceReady(String),
    /// To a new lease holder: all that this agent knows of the instances.
    #[serde(rename = "Inherit")]
    Handover { entries: Vec<Listed>, tag: u64, numbers: Vec<(String, u32)> },
    /// From an agent to one with older slot owners, which may be cut off from the lease holder.
    Owners(Owners),
    /// From an agent that leaves: the controller removes it from its list of agents.
    Leaving { ip: IpAddr },
}

/// What a slot allocator reports to the autoscaler about a function in its zone; `run` and `idle` in ms.
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
    /// Zones that the calls come from, by their index, with their shares of 255.
    pub origins: Vec<(u8, u8)>,
}

/// A proxy that allocates slots, as an agent reports it to the proxy on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProxyInfo {
    pub ip: IpAddr,
    pub zone: String,
    #[serde(rename = "life")]
    pub incarnation: u32,
}

/// From the agent to the proxy on the same machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum AgentMessage {
    #[serde(rename = "Word")]
    Configuration(Catalogue),
    Change(Change),
    /// The proxies that this agent knows from peer sampling.
    #[serde(rename = "Desks")]
    Proxies(Vec<ProxyInfo>),
    /// The proxies among which the owners of slots are chosen.
    Owners(Vec<ProxyInfo>),
    #[serde(rename = "Stacks")]
    Instances {
        entries: Vec<Listed>,
        ended: Vec<String>,
        /// `entries` is the complete list, not a change to it.
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// Whether the proxy's configuration is known to be the newest, so that it may answer 404.
    #[serde(rename = "Fresh")]
    ConfigurationIsNewest(bool),
    /// Whether messages from controllers in touch with one another arrived recently: on which side of a
    /// network partition this machine is.
    #[serde(rename = "InTouch")]
    ControllersReachable(bool),
}

/// From the proxy to the agent on the same machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ProxyMessage {
    #[serde(rename = "Life")]
    Incarnation(u32),
    Demand(Vec<Demand>),
    #[serde(rename = "Gone")]
    InstanceGone(String),
    #[serde(rename = "Ready")]
    InstanceReady(String),
    Leaving,
}
