//! Calls to one scheduler of a run, or to its keeper: queries of its state, and commands that change it.

use crate::operators::calls;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tindock_rollout::TaskTotals;
use tindock_scheduler_config::plan::{Endpoint, PlannedScheduler};

/// Time for the answer to a query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// A keeper copies a program of some megabytes and syncs it to disk.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(5);
/// Reloading a configuration may take longer on a busy machine.
const REREAD_TIMEOUT: Duration = Duration::from_secs(2);

/// What a scheduler reports about its process: its settings, program and readiness.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct SchedulerInfo {
    version: u32,
    pub settings: String,
    /// `None` until the scheduler has computed the digest of its own program.
    pub program: Option<String>,
    pub began_ms: u64,
    pub pid: u32,
    pub ready: bool,
    pub fence: u64,
}

#[derive(Deserialize)]
struct Telemetry {
    served: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    failed: BTreeMap<String, u64>,
}

/// State of one scheduler at one time, with the totals of finished tasks by workload since its process
/// started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub info: SchedulerInfo,
    /// What its keeper reports, if it has one.
    pub keeper_entry: Option<KeeperEntry>,
    pub totals: BTreeMap<String, TaskTotals>,
}

/// What a keeper reports about one of its schedulers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct KeeperEntry {
    pub name: String,
    pub program: String,
    pub state: String,
    pub last: Option<String>,
    pub management: SocketAddr,
    pub fence: u64,
}

#[derive(Deserialize)]
struct Programs {
    version: u32,
    schedulers: Vec<KeeperEntry>,
}

impl KeeperEntry {
    /// Why its last upgrade failed, if it did.
    pub fn failed(&self) -> Option<&'static str> {
        match self.last.as_deref().filter(|_| self.state == "serves")? {
            "ended" => Some("the new program exited before it served"),
            "late" => Some("the new program did not serve in time"),
            "went back" => Some("the new program exited soon after it served"),
            _ => None,
        }
    }
}

/// What the keeper at this address reports about a scheduler.
fn keeper_entry(keeper: SocketAddr, name: &str) -> Result<KeeperEntry, String> {
    let text = request(keeper, "programs", ANSWER_TIMEOUT)?;
    let programs: Programs =
        serde_json::from_str(&text).map_err(|e| format!("its keeper's programs: {e}"))?;
    if programs.version != 1 {
        return Err(format!(
            "its keeper answers in version {}, which is not supported here",
            programs.version
        ));
    }
    let found = programs.schedulers.into_iter().find(|entry| entry.name == name);
    found.ok_or_else(|| format!("its keeper does not know {name}"))
}

/// Its current operators' address, and what its keeper reports, if it has one; both come from the same
/// answer.
pub fn management_address(is: &PlannedScheduler) -> Result<(SocketAddr, Option<KeeperEntry>), String> {
    match is.endpoint {
        Endpoint::Management(at) => Ok((at, None)),
        Endpoint::Keeper(at) => keeper_entry(at, &is.name).map(|entry| (entry.management, Some(entry))),
    }
}

fn request(at: SocketAddr, call: &str, within: Duration) -> Result<String, String> {
    let answer = calls::request(at, call, within).map_err(|e| e.to_string())?;
    calls::parse_answer(&answer).map(String::from)
}

pub fn info(at: SocketAddr) -> Result<SchedulerInfo, String> {
    let text = request(at, "version", ANSWER_TIMEOUT)?;
    let info: SchedulerInfo = serde_json::from_str(&text).map_err(|e| format!("its version: {e}"))?;
    match info.version {
        1 => Ok(info),
        other => Err(format!("its answer has version {other}, which is not supported here")),
    }
}

pub fn snapshot(is: &PlannedScheduler) -> Result<Snapshot, String> {
    let (at, keeper_entry) = management_address(is)?;
    let info = info(at)?;
    let text = request(at, "telemetry", ANSWER_TIMEOUT)?;
    let telemetry: Telemetry = serde_json::from_str(&text).map_err(|e| format!("its telemetry: {e}"))?;
    let mut totals: BTreeMap<String, TaskTotals> = BTreeMap::new();
    for (name, count) in telemetry.served {
        totals.entry(name).or_default().finished = count;
    }
    for (name, count) in telemetry.refused {
        totals.entry(name).or_default().shed = count;
    }
    for (name, count) in telemetry.failed {
        totals.entry(name).or_default().broken_off = count;
    }
    Ok(Snapshot { info, keeper_entry, totals })
}

/// Outcome of a command to a scheduler or keeper.
#[derive(Debug, PartialEq)]
pub enum Reply {
    Done,
    Refused(String),
    /// Another run holds its lease.
    Superseded(String),
    NoAnswer(String),
}

fn send_command(at: SocketAddr, call: &str, within: Duration) -> Reply {
    match calls::request(at, call, within) {
        Err(e) => Reply::NoAnswer(e.to_string()),
        Ok(answer) if answer.is_empty() => Reply::NoAnswer("closed without an answer".into()),
        Ok(answer) => match calls::parse_answer(&answer) {
            Ok(_) => Reply::Done,
            Err(why) if why.starts_with("lease: ") => Reply::Superseded(why),
            Err(why) => Reply::Refused(why),
        },
    }
}

fn command(is: &PlannedScheduler, call: &str, within: Duration) -> Reply {
    management_address(is).map_or_else(Reply::NoAnswer, |(at, _)| send_command(at, call, within))
}

pub fn lease(is: &PlannedScheduler, run: &str, number: u64) -> Reply {
    command(is, &format!("lease {run} {number}"), ANSWER_TIMEOUT)
}

pub fn release(is: &PlannedScheduler, run: &str, number: u64) {
    // If the call does not arrive, the lease expires by itself.
    let _ = command(is, &format!("release {run} {number}"), ANSWER_TIMEOUT);
}

pub fn reread(is: &PlannedScheduler, run: &str, number: u64, digest: &str) -> Reply {
    command(is, &format!("reread {run} {number} {digest}"), REREAD_TIMEOUT)
}

/// Commands the keeper to upgrade a scheduler to a program. A positive reply means only that the upgrade has
/// started. Without a path, the keeper uses a copy that it has already.
pub fn start_upgrade(
    is: &PlannedScheduler,
    run: &str,
    number: u64,
    digest: &str,
    path: Option<&Path>,
) -> Reply {
    let Endpoint::Keeper(at) = is.endpoint else { return Reply::Refused("it has no keeper".into()) };
    let path = path.map_or(String::new(), |path| format!(" {}", path.display()));
    send_command(at, &format!("bring {} {run} {number} {digest}{path}", is.name), UPGRADE_TIMEOUT)
}
