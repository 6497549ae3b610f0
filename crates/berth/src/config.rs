//! All that a scheduler is told at its start, from whichever form it was read.

use crate::agreement::AgreementSettings;
use crate::listing::Listing;
use crate::names::Names;
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tindock::types::PolicySettings;
use tindock_inventory::{Columns, Entry};

/// Descriptors for the listener, discovery, standard streams, the runtime and signals, with some to spare.
const RESERVED_DESCRIPTORS: usize = 32;
/// Below this the scheduler could not hold a client, its worker and the worker's news at once.
pub const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + 16;
/// Without a stated limit: the usual one of a process.
pub const DEFAULT_DESCRIPTORS: usize = 1024;

/// The program itself, a list of thousands, tasks in hand and log lines that wait.
const RESERVED_MEMORY_MB: f64 = 8.0;
/// Without a stated limit: no reason to be sparing.
pub const DEFAULT_MEMORY_MB: f64 = 256.0;
pub const MIN_MEMORY_MB: f64 = RESERVED_MEMORY_MB + 4.0;
/// What a connection may take: room for reading and writing a head, a short body, and what is kept beside them.
const CONNECTION_MEMORY_BYTES: f64 = 18.0 * 1024.0;

#[derive(Debug)]
pub struct SchedulerConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The discovery agent, if there is one.
    pub discovery: Option<SocketAddr>,
    pub inventory: Option<InventorySettings>,
    /// The schedulers that tell one another of workers, where they do.
    pub peers: Option<PeerAddresses>,
    /// The group that decides the policy together, where there is one.
    pub agreement: Option<AgreementSettings>,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// A folder that this process shares with the one that takes over from it.
    pub runtime: Option<PathBuf>,
    pub seed: u64,
    pub settings: PolicySettings,
    pub names: Names,
    pub known: Option<Listing>,
    pub resource_limits: ResourceLimits,
    pub connect_timeout: Duration,
    /// How long a connection may stand idle before the worker may close it.
    pub idle_timeout: Duration,
    pub log: LogSettings,
    /// What the platform's file says at all, for the comparison with the next one.
    pub keys: BTreeSet<String>,
    /// Of the file's text.
    pub digest: String,
}

/// A text's SHA-256, in hexadecimal: which version of a file is in force.
pub fn digest(text: impl AsRef<[u8]>) -> String {
    hexadecimal(&Sha256::digest(text))
}

/// The same of all that can be read, without holding it.
pub fn digest_of(mut from: impl Read) -> std::io::Result<String> {
    let (mut sum, mut chunk) = (Sha256::new(), [0; 16 * 1024]);
    loop {
        match from.read(&mut chunk)? {
            0 => return Ok(hexadecimal(&sum.finalize())),
            read => sum.update(&chunk[..read]),
        }
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Schedulers that tell one another of workers by datagrams: where each hears, and which of them this one is.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    pub all: Vec<SocketAddr>,
    pub position: usize,
}

/// Where the list of workers is kept in files, and how changes to it are taken.
#[derive(Clone, Debug)]
pub struct InventorySettings {
    /// Files, or folders whose `.csv`, `.yaml` and `.yml` files are read in the order of their names.
    pub files: Vec<PathBuf>,
    pub columns: Columns,
    /// Workers that the configuration itself names.
    pub fixed: Vec<Entry>,
    /// A change that takes out more than this share of the ready workers is held back.
    pub guard_share: f64,
    /// It is let through when it still says the same after this.
    pub confirm_after: Duration,
    pub health: Option<HealthCheckSettings>,
    /// Where the list in force is kept for the next start, if it is.
    pub last_good: Option<PathBuf>,
}

/// How workers of files are looked at, which tell nothing of who is alive.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckSettings {
    pub path: String,
    pub interval: Duration,
    pub timeout: Duration,
    pub down_after: u32,
    pub up_after: u32,
    /// Once more than this share is down nobody more is left out: then the looking itself is in doubt.
    pub panic_share: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    pub json: bool,
    pub level: Level,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    Error,
    Warning,
    #[default]
    Info,
    Debug,
}

/// Connections and memory, shared out between the server side and the client side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    pub client_connections: usize,
    pub worker_connections: usize,
    /// Bytes for the longer bodies of tasks, and as many for those of news.
    pub body_bytes: usize,
}

impl ResourceLimits {
    pub fn divide(sockets: usize, memory_mb: f64) -> Result<Self, String> {
        if sockets < MIN_DESCRIPTORS {
            return Err(format!("{sockets} sockets are too few: {MIN_DESCRIPTORS} at least"));
        }
        if !(memory_mb.is_finite() && memory_mb >= MIN_MEMORY_MB) {
            return Err(format!("{memory_mb} MB of memory are too little: {MIN_MEMORY_MB} at least"));
        }
        // Half of what is left over is for connections, half for the longer bodies, of tasks and of news.
        let memory = (memory_mb - RESERVED_MEMORY_MB) * 1024.0 * 1024.0;
        let connections = (sockets - RESERVED_DESCRIPTORS).min((memory / 2.0 / CONNECTION_MEMORY_BYTES) as usize);
        // Clients hold a connection for the whole life of a task, workers only until they have taken it.
        let worker_connections = connections * 2 / 5;
        let client_connections = connections - worker_connections;
        Ok(ResourceLimits { client_connections, worker_connections, body_bytes: (memory / 4.0) as usize })
    }
}
