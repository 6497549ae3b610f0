//! The platform's form of the configuration: JSON.

use crate::berth::{digest, Berth, LogForm, Rooms, USUAL_DESCRIPTORS, USUAL_MEMORY_MB};
use crate::listing::ListingDoc;
use crate::words::Words;
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
struct Doc {
    name: String,
    listen: String,
    discovery: String,
    mgmt: Option<String>,
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

/// What the platform tells one process alone: the file may be shared by two, the old one and the one that takes over.
#[derive(Default)]
pub struct Process {
    /// The operators' address, before the file's.
    pub management: Option<String>,
    pub runtime: Option<PathBuf>,
}

impl Process {
    pub fn from_variables() -> Self {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        Process { management: std::env::var("GW_MGMT").ok(), runtime: folder.map(PathBuf::from) }
    }
}

/// Keys that come and go: what is known at a start, and what the process is told beside the file.
const PASSING: [&str; 2] = ["known", "mgmt"];

/// The keys of the file and of its settings.
fn keys(text: &str, settings: &Value) -> Result<BTreeSet<String>, String> {
    // What stands under them was read already.
    let whole: BTreeMap<String, IgnoredAny> = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let inner = settings.as_object().into_iter().flatten().map(|(key, _)| format!("settings.{key}"));
    Ok(whole.into_keys().filter(|key| !PASSING.contains(&key.as_str())).chain(inner).collect())
}

/// Reads the file's text.
pub fn read(text: &str, process: &Process) -> Result<Berth, String> {
    let doc: Doc = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut sheet = tindock_sheet::from_json(&doc.settings)?;
    // The platform tells no addresses of other schedulers, so there is no way for words between them.
    sheet.members = 0;
    let mut words = Words {
        workloads: words(&doc.settings, "workloads", Some("name"))?,
        customers: words(&doc.settings, "tenants", Some("name"))?,
        zones: words(&doc.settings, "areas", None)?,
        kinds: words(&doc.settings, "skus", None)?,
        reports: words(doc.settings.get("reporting").unwrap_or(&Value::Null), "names", None)?,
    };
    if let Some(again) = words.workloads.iter().enumerate().find(|(at, w)| words.workloads[..*at].contains(w))
    {
        return Err(format!("settings: workload {:?} again", again.1));
    }
    let known = doc.known.map(|known| known.decode(&mut words)).transpose()?;
    let sockets = doc.limits.as_ref().and_then(|l| l.sockets).unwrap_or(USUAL_DESCRIPTORS);
    let memory = doc.limits.and_then(|l| l.memory_mb).unwrap_or(USUAL_MEMORY_MB);
    let rooms = Rooms::share_out(sockets, memory)?;
    let management = process.management.as_deref().or(doc.mgmt.as_deref()).filter(|at| !at.is_empty());
    Ok(Berth {
        name: doc.name,
        listen: address(&doc.listen, "listen")?,
        discovery: Some(address(&doc.discovery, "discovery")?),
        inventory: None,
        others: None,
        // It tells no addresses of others, so there is no group.
        accord: None,
        management: management.map(|at| address(at, "mgmt")).transpose()?,
        runtime: process.runtime.clone(),
        seed: u64::from_str_radix(&doc.seed, 16).map_err(|_| format!("seed {:?} is no number", doc.seed))?,
        sheet,
        words,
        known,
        rooms,
        dial: tindock_sheet::duration(&doc.settings, "/caps/dial_timeout_s")?,
        keep: tindock_sheet::duration(&doc.settings, "/caps/keepalive_s")?,
        log: LogForm::default(),
        keys: keys(text, &doc.settings)?,
        digest: digest(text),
    })
}
