//! What the scheduler is told at its start: where it docks, its limits, the list it last had, its duty sheet.

use crate::listing::{Listing, ListingDoc};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tindock::terms::DutySheet;

/// Descriptors for the listener, discovery, standard streams, the runtime and signals, with some to spare.
const OWN_DESCRIPTORS: usize = 32;
/// Without a stated limit: the usual one of a process.
const USUAL_DESCRIPTORS: usize = 1024;
/// Below this the scheduler could not hold a client, its worker and the worker's news at once.
const FEWEST_DESCRIPTORS: usize = OWN_DESCRIPTORS + 16;

/// The program itself, a list of thousands, tasks in hand and log lines that wait.
const OWN_MEMORY_MB: f64 = 8.0;
/// Without a stated limit: no reason to be sparing.
const USUAL_MEMORY_MB: f64 = 256.0;
const LEAST_MEMORY_MB: f64 = OWN_MEMORY_MB + 4.0;
/// What a connection may take: room for reading and writing a head, a short body, and what is kept beside them.
const CONNECTION_MEMORY: f64 = 18.0 * 1024.0;

#[derive(Debug)]
pub struct Berth {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sheet: DutySheet,
    pub words: Words,
    pub known: Option<Listing>,
    /// Connections shared out between the server side and the client side.
    pub for_clients: usize,
    pub for_workers: usize,
    /// Bytes for the longer bodies of tasks, and as many for those of news.
    pub for_bodies: usize,
    pub dial: Duration,
    /// How long a connection may stand idle before the worker may close it.
    pub keep: Duration,
}

/// The outside words for the module's indices.
#[derive(Clone, Debug, Default)]
pub struct Words {
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub reports: Vec<String>,
}

#[derive(Deserialize)]
struct Doc {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Option<LimitsDoc>,
    known: Option<ListingDoc>,
    settings: Value,
}

#[derive(Deserialize)]
struct LimitsDoc {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

fn address(text: &str, what: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what} {text:?} is no address"))
}

fn words(settings: &Value, list: &str, key: Option<&str>) -> Result<Vec<String>, String> {
    let rows = settings.get(list).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let word = |row: &Value| {
        let word = key.map_or(Some(row), |key| row.get(key)).and_then(Value::as_str).map(String::from);
        word.ok_or_else(|| format!("settings: a row of {list} has no name"))
    };
    rows.iter().map(word).collect()
}

/// Reads the configuration file.
pub fn from_file(path: &Path) -> Result<Berth, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    read(&text).map_err(|why| format!("{}: {why}", path.display()))
}

/// Reads the configuration file's text.
pub fn read(text: &str) -> Result<Berth, String> {
    let doc: Doc = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let sheet = tindock_sheet::read(&doc.settings)?;
    let mut words = Words {
        workloads: words(&doc.settings, "workloads", Some("name"))?,
        customers: words(&doc.settings, "tenants", Some("name"))?,
        zones: words(&doc.settings, "areas", None)?,
        kinds: words(&doc.settings, "skus", None)?,
        reports: words(doc.settings.get("reporting").unwrap_or(&Value::Null), "names", None)?,
    };
    let known = doc.known.map(|known| known.decode(&mut words)).transpose()?;
    let sockets = doc.limits.as_ref().and_then(|l| l.sockets).unwrap_or(USUAL_DESCRIPTORS);
    if sockets < FEWEST_DESCRIPTORS {
        return Err(format!("{sockets} sockets are too few: {FEWEST_DESCRIPTORS} at least"));
    }
    // Clients hold a connection for the whole life of a task, workers only until they have taken it.
    let memory = doc.limits.and_then(|l| l.memory_mb).unwrap_or(USUAL_MEMORY_MB);
    if !(memory.is_finite() && memory >= LEAST_MEMORY_MB) {
        return Err(format!("{memory} MB of memory are too little: {LEAST_MEMORY_MB} at least"));
    }
    // Half of what is left over is for connections, half for the longer bodies, of tasks and of news.
    let memory = (memory - OWN_MEMORY_MB) * 1024.0 * 1024.0;
    let connections = (sockets - OWN_DESCRIPTORS).min((memory / 2.0 / CONNECTION_MEMORY) as usize);
    let for_workers = connections * 2 / 5;
    Ok(Berth {
        name: doc.name,
        listen: address(&doc.listen, "listen")?,
        discovery: address(&doc.discovery, "discovery")?,
        seed: u64::from_str_radix(&doc.seed, 16).map_err(|_| format!("seed {:?} is no number", doc.seed))?,
        sheet,
        words,
        known,
        for_clients: connections - for_workers,
        for_workers,
        for_bodies: (memory / 4.0) as usize,
        dial: tindock_sheet::span(&doc.settings, "/caps/dial_timeout_s")?,
        keep: tindock_sheet::span(&doc.settings, "/caps/keepalive_s")?,
    })
}
