//! The configuration of a scheduler, independent of the format that it was read from.

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
/// With fewer, the scheduler could not hold a client, its worker and the worker's update at once.
pub const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + 16;
/// The usual limit of a process, if none is stated.
pub const DEFAULT_DESCRIPTORS: usize = 1024;

/// The program itself, a list of thousands of workers, tasks in flight and queued log lines.
const RESERVED_MEMORY_MB: f64 = 8.0;
/// The default limit, if none is stated.
pub const DEFAULT_MEMORY_MB: f64 = 256.0;
pub const MIN_MEMORY_MB: f64 = RESERVED_MEMORY_MB + 4.0;
/// The memory of a connection: buffers for reading and writing a head, a short body, and its bookkeeping.
const CONNECTION_MEMORY_BYTES: f64 = 18.0 * 1024.0;

#[derive(Debug)]
pub struct SchedulerConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The discovery agent, if there is one.
    pub discovery: Option<SocketAddr>,
    pub inventory: Option<InventorySettings>,
    /// The schedulers that exchange messages on workers, if they do.
    pub peers: Option<PeerAddresses>,
    /// The group that agrees on a policy, if there is one.
    pub agreement: Option<AgreementSettings>,
    /// The operators' address, if there is one.
    pub management: Option<SocketAddr>,
    /// A folder that this process shares with the process that takes over from it.
    pub runtime: Option<PathBuf>,
    pub seed: u64,
    pub settings: PolicySettings,
    pub names: Names,
    pub known: Option<Listing>,
    pub resource_limits: ResourceLimits,
    pub connect_timeout: Duration,
    /// How long a connection may be idle before the worker may close it.
    pub idle_timeout: Duration,
    pub log: LogSettings,
    /// All keys of the platform's file, for comparison with the next version of the file.
    pub keys: BTreeSet<String>,
    /// The digest of the file's text.
    pub digest: String,
}

/// The SHA-256 digest of a text, in hexadecimal; identifies a version of a file.
pub fn digest(text: impl AsRef<[u8]>) -> String {
    hexadecimal(&Sha256::digest(text))
}

/// The digest of everything that can be read, without holding it in memory.
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

/// Schedulers that exchange messages on workers by datagrams: their addresses, and which of them is this one.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerAddresses {
    pub all: Vec<SocketAddr>,
    pub position: usize,
}

/// The files that hold the worker list, and how changes to them are applied.
#[derive(Clone, Debug)]
pub struct InventorySettings {
    /// Files, or folders whose `.csv`, `.yaml` and `.yml` files are read in the order of their names.
    pub files: Vec<PathBuf>,
    pub columns: Columns,
    /// Workers named in the configuration itself.
    pub fixed: Vec<Entry>,
    /// A change that removes more than this share of the ready workers is held back.
    pub guard_share: f64,
    /// A change that is held back is applied if it is still the same after this time.
    pub confirm_after: Duration,
    pub health: Option<HealthCheckSettings>,
    /// The file that stores the list in force for the next start, if any.
    pub last_good: Option<PathBuf>,
}

/// Health checks of workers from files, because files do not say who is alive.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckSettings {
    pub path: String,
    pub interval: Duration,
    pub timeout: Duration,
    pub down_after: u32,
    pub up_after: u32,
    /// Once more than this share is down, no further worker is avoided: the checks themselves are then in
    /// doubt.
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

/// Connections and memory, divided between the server side and the client side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    pub client_connections: usize,
    pub worker_connections: usize,
    /// Bytes for the longer bodies of tasks, and as many again for those of updates.
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
        // Half of the rest is for connections, half for the longer bodies of tasks and of updates.
        let memory = (memory_mb - RESERVED_MEMORY_MB) * 1024.0 * 1024.0;
        let connections =
            (sockets - RESERVED_DESCRIPTORS).min((memory / 2.0 / CONNECTION_MEMORY_BYTES) as usize);
        // A client holds a connection for the lifetime of its task, a worker only until it has accepted the
        // task.
        let worker_connections = connections * 2 / 5;
        let client_connections = connections - worker_connections;
        Ok(ResourceLimits { client_connections, worker_connections, body_bytes: (memory / 4.0) as usize })
    }
}
