//! The platform's configuration format: JSON.

use crate::config::{
    digest, LogSettings, ResourceLimits, SchedulerConfig, DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB,
};
use crate::listing::ListingDoc;
use crate::names::Names;
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

fn strings(settings: &Value, list: &str, key: Option<&str>) -> Result<Vec<String>, String> {
    let rows = settings.get(list).and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    let string = |row: &Value| {
        let word = key.map_or(Some(row), |key| row.get(key)).and_then(Value::as_str).map(String::from);
        word.ok_or_else(|| format!("settings: a row of {list} has no name"))
    };
    rows.iter().map(string).collect()
}

/// What the platform passes to one process alone, because two processes, the old one and the one that takes
/// over, may share the file.
#[derive(Default)]
pub struct Process {
    /// The operators' address; overrides the file's.
    pub management: Option<String>,
    pub runtime: Option<PathBuf>,
}

impl Process {
    pub fn from_variables() -> Self {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        Process { management: std::env::var("GW_MGMT").ok(), runtime: folder.map(PathBuf::from) }
    }
}

/// Keys that may be absent from a later version: the known workers, and what is also passed beside the file.
const TRANSIENT_KEYS: [&str; 2] = ["known", "mgmt"];

/// The keys of the file and of its settings.
fn keys(text: &str, settings: &Value) -> Result<BTreeSet<String>, String> {
    // The values were parsed already.
    let whole: BTreeMap<String, IgnoredAny> = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let inner = settings.as_object().into_iter().flatten().map(|(key, _)| format!("settings.{key}"));
    Ok(whole.into_keys().filter(|key| !TRANSIENT_KEYS.contains(&key.as_str())).chain(inner).collect())
}

/// Parses the file's text.
pub fn read(text: &str, process: &Process) -> Result<SchedulerConfig, String> {
    let doc: Doc = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let mut settings = tindock_policy_settings::from_json(&doc.settings)?;
    // The platform passes no addresses of other schedulers, so they cannot exchange messages.
    settings.members = 0;
    let mut names = Names {
        workloads: strings(&doc.settings, "workloads", Some("name"))?,
        tenants: strings(&doc.settings, "tenants", Some("name"))?,
        zones: strings(&doc.settings, "areas", None)?,
        kinds: strings(&doc.settings, "skus", None)?,
        reports: strings(doc.settings.get("reporting").unwrap_or(&Value::Null), "names", None)?,
    };
    if let Some(duplicate) =
        names.workloads.iter().enumerate().find(|(at, w)| names.workloads[..*at].contains(w))
    {
        return Err(format!("settings: workload {:?} again", duplicate.1));
    }
    let known = doc.known.map(|known| known.decode(&mut names)).transpose()?;
    let sockets = doc.limits.as_ref().and_then(|l| l.sockets).unwrap_or(DEFAULT_DESCRIPTORS);
    let memory = doc.limits.and_then(|l| l.memory_mb).unwrap_or(DEFAULT_MEMORY_MB);
    let resource_limits = ResourceLimits::divide(sockets, memory)?;
    let management = process.management.as_deref().or(doc.mgmt.as_deref()).filter(|at| !at.is_empty());
    Ok(SchedulerConfig {
        name: doc.name,
        listen: address(&doc.listen, "listen")?,
        discovery: Some(address(&doc.discovery, "discovery")?),
        inventory: None,
        peers: None,
        // Without addresses of other schedulers there is no group.
        agreement: None,
        management: management.map(|at| address(at, "mgmt")).transpose()?,
        runtime: process.runtime.clone(),
        seed: u64::from_str_radix(&doc.seed, 16).map_err(|_| format!("seed {:?} is no number", doc.seed))?,
        settings,
        names,
        known,
        resource_limits,
        connect_timeout: tindock_policy_settings::duration(&doc.settings, "/caps/dial_timeout_s")?,
        idle_timeout: tindock_policy_settings::duration(&doc.settings, "/caps/keepalive_s")?,
        log: LogSettings::default(),
        keys: keys(text, &doc.settings)?,
        digest: digest(text),
    })
}
