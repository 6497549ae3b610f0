//! All that a scheduler is told at its start, from whichever form it was read.

use crate::accord::Accord;
use crate::listing::Listing;
use crate::words::Words;
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tindock::types::PolicySettings;
use tindock_inventory::{Columns, Entry};

/// Descriptors for the listener, discovery, standard streams, the runtime and signals, with some to spare.
const OWN_DESCRIPTORS: usize = 32;
/// Below this the scheduler could not hold a client, its worker and the worker's news at once.
pub const FEWEST_DESCRIPTORS: usize = OWN_DESCRIPTORS + 16;
/// Without a stated limit: the usual one of a process.
pub const USUAL_DESCRIPTORS: usize = 1024;

/// The program itself, a list of thousands, tasks in hand and log lines that wait.
const OWN_MEMORY_MB: f64 = 8.0;
/// Without a stated limit: no reason to be sparing.
pub const USUAL_MEMORY_MB: f64 = 256.0;
pub const LEAST_MEMORY_MB: f64 = OWN_MEMORY_MB + 4.0;
/// What a connection may take: room for reading and writing a head, a short body, and what is kept beside them.
const CONNECTION_MEMORY: f64 = 18.0 * 1024.0;

#[derive(Debug)]
pub struct Berth {
    pub name: String,
    pub listen: SocketAddr,
    /// The discovery agent, if there is one.
    pub discovery: Option<SocketAddr>,
    pub inventory: Option<Stock>,
    /// The schedulers that tell one another of workers, where they do.
    pub others: Option<Others>,
    /// The group that decides the policy together, where there is one.
    pub accord: Option<Accord>,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// A folder that this process shares with the one that takes over from it.
    pub runtime: Option<PathBuf>,
    pub seed: u64,
    pub sheet: PolicySettings,
    pub words: Words,
    pub known: Option<Listing>,
    pub rooms: Rooms,
    pub dial: Duration,
    /// How long a connection may stand idle before the worker may close it.
    pub keep: Duration,
    pub log: LogForm,
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
    let (mut sum, mut some) = (Sha256::new(), [0; 16 * 1024]);
    loop {
        match from.read(&mut some)? {
            0 => return Ok(hexadecimal(&sum.finalize())),
            read => sum.update(&some[..read]),
        }
    }
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Schedulers that tell one another of workers by datagrams: where each hears, and which of them this one is.
#[derive(Clone, Debug, PartialEq)]
pub struct Others {
    pub all: Vec<SocketAddr>,
    pub position: usize,
}

/// Where the list of workers is kept in files, and how changes to it are taken.
#[derive(Clone, Debug)]
pub struct Stock {
    /// Files, or folders whose `.csv`, `.yaml` and `.yml` files are read in the order of their names.
    pub files: Vec<PathBuf>,
    pub columns: Columns,
    /// Workers that the configuration itself names.
    pub fixed: Vec<Entry>,
    /// A change that takes out more than this share of the ready workers is held back.
    pub guard_share: f64,
    /// It is let through when it still says the same after this.
    pub confirm_after: Duration,
    pub health: Option<HealthTerms>,
    /// Where the list in force is kept for the next start, if it is.
    pub last_good: Option<PathBuf>,
}

/// How workers of files are looked at, which tell nothing of who is alive.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthTerms {
    pub path: String,
    pub every: Duration,
    pub within: Duration,
    pub down_after: u32,
    pub up_after: u32,
    /// Once more than this share is down nobody more is left out: then the looking itself is in doubt.
    pub panic_share: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogForm {
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
pub struct Rooms {
    pub for_clients: usize,
    pub for_workers: usize,
    /// Bytes for the longer bodies of tasks, and as many for those of news.
    pub for_bodies: usize,
}

impl Rooms {
    pub fn share_out(sockets: usize, memory_mb: f64) -> Result<Self, String> {
        if sockets < FEWEST_DESCRIPTORS {
            return Err(format!("{sockets} sockets are too few: {FEWEST_DESCRIPTORS} at least"));
        }
        if !(memory_mb.is_finite() && memory_mb >= LEAST_MEMORY_MB) {
            return Err(format!("{memory_mb} MB of memory are too little: {LEAST_MEMORY_MB} at least"));
        }
        // Half of what is left over is for connections, half for the longer bodies, of tasks and of news.
        let memory = (memory_mb - OWN_MEMORY_MB) * 1024.0 * 1024.0;
        let connections = (sockets - OWN_DESCRIPTORS).min((memory / 2.0 / CONNECTION_MEMORY) as usize);
        // Clients hold a connection for the whole life of a task, workers only until they have taken it.
        let for_workers = connections * 2 / 5;
        let for_clients = connections - for_workers;
        Ok(Rooms { for_clients, for_workers, for_bodies: (memory / 4.0) as usize })
    }
}
