//! What one scheduler of a run tells of itself, and what it is told.

use crate::operators::calls;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tindock_berth::plan::{Endpoint, PlannedScheduler};
use tindock_rollout::TaskTotals;

/// An answer is owed in one second.
const ANSWER: Duration = Duration::from_secs(1);
/// A keeper takes a copy of some megabytes, and syncs it.
const COPIED: Duration = Duration::from_secs(5);
/// Reading a configuration again may take a little longer on a machine that is busy.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Who is ready, with which settings and program.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Standing {
    version: u32,
    pub settings: String,
    /// None until it has found it out.
    pub program: Option<String>,
    pub began_ms: u64,
    pub pid: u32,
    pub ready: bool,
    pub fence: u64,
}

#[derive(Deserialize)]
struct Figures {
    served: BTreeMap<String, u64>,
    refused: BTreeMap<String, u64>,
    failed: BTreeMap<String, u64>,
}

/// One look: how it stands, and what has ended there since its process began, by workload.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Look {
    pub standing: Standing,
    /// What its keeper tells, where it has one.
    pub kept: Option<Kept>,
    pub totals: BTreeMap<String, TaskTotals>,
}

/// What a keeper tells of one of its schedulers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Kept {
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
    schedulers: Vec<Kept>,
}

impl Kept {
    /// Why its last upgrade came to nothing, if it did.
    pub fn failed(&self) -> Option<&'static str> {
        match self.last.as_deref().filter(|_| self.state == "serves")? {
            "ended" => Some("the new program ended before it served"),
            "late" => Some("the new program did not serve in time"),
            "went back" => Some("the new program ended soon after it served"),
            _ => None,
        }
    }
}

/// What the keeper at that address tells of a scheduler.
fn kept(keeper: SocketAddr, name: &str) -> Result<Kept, String> {
    let text = asked(keeper, "programs", ANSWER)?;
    let programs: Programs =
        serde_json::from_str(&text).map_err(|e| format!("its keeper's programs: {e}"))?;
    if programs.version != 1 {
        return Err(format!("its keeper speaks in form {}, which is not known here", programs.version));
    }
    let found = programs.schedulers.into_iter().find(|kept| kept.name == name);
    found.ok_or_else(|| format!("its keeper does not know {name}"))
}

/// Where its operators' address is now, and what its keeper tells, where it has one, in the same answer.
pub fn way(is: &PlannedScheduler) -> Result<(SocketAddr, Option<Kept>), String> {
    match is.endpoint {
        Endpoint::Management(at) => Ok((at, None)),
        Endpoint::Keeper(at) => kept(at, &is.name).map(|kept| (kept.management, Some(kept))),
    }
}

fn asked(at: SocketAddr, call: &str, within: Duration) -> Result<String, String> {
    let answer = calls::request(at, call, within).map_err(|e| e.to_string())?;
    calls::parse_answer(&answer).map(String::from)
}

pub fn standing(at: SocketAddr) -> Result<Standing, String> {
    let text = asked(at, "version", ANSWER)?;
    let standing: Standing = serde_json::from_str(&text).map_err(|e| format!("its version: {e}"))?;
    match standing.version {
        1 => Ok(standing),
        other => Err(format!("its version is told in form {other}, which is not known here")),
    }
}

pub fn look(is: &PlannedScheduler) -> Result<Look, String> {
    let (at, kept) = way(is)?;
    let standing = standing(at)?;
    let text = asked(at, "telemetry", ANSWER)?;
    let figures: Figures = serde_json::from_str(&text).map_err(|e| format!("its figures: {e}"))?;
    let mut totals: BTreeMap<String, TaskTotals> = BTreeMap::new();
    for (name, count) in figures.served {
        totals.entry(name).or_default().finished = count;
    }
    for (name, count) in figures.refused {
        totals.entry(name).or_default().shed = count;
    }
    for (name, count) in figures.failed {
        totals.entry(name).or_default().broken_off = count;
    }
    Ok(Look { standing, kept, totals })
}

/// What a scheduler said to a call that changes it.
#[derive(Debug, PartialEq)]
pub enum Said {
    Done,
    Refused(String),
    /// Another run has it.
    Outrun(String),
    Nothing(String),
}

fn tell(at: SocketAddr, call: &str, within: Duration) -> Said {
    match calls::request(at, call, within) {
        Err(e) => Said::Nothing(e.to_string()),
        Ok(answer) if answer.is_empty() => Said::Nothing("closed without an answer".into()),
        Ok(answer) => match calls::parse_answer(&answer) {
            Ok(_) => Said::Done,
            Err(why) if why.starts_with("lease: ") => Said::Outrun(why),
            Err(why) => Said::Refused(why),
        },
    }
}

fn told(is: &PlannedScheduler, call: &str, within: Duration) -> Said {
    way(is).map_or_else(Said::Nothing, |(at, _)| tell(at, call, within))
}

pub fn lease(is: &PlannedScheduler, run: &str, number: u64) -> Said {
    told(is, &format!("lease {run} {number}"), ANSWER)
}

pub fn release(is: &PlannedScheduler, run: &str, number: u64) {
    // Where it does not arrive the lease runs out by itself.
    let _ = told(is, &format!("release {run} {number}"), ANSWER);
}

pub fn reread(is: &PlannedScheduler, run: &str, number: u64, digest: &str) -> Said {
    told(is, &format!("reread {run} {number} {digest}"), IN_FORCE)
}

/// Tells the keeper which program a scheduler is to run; a yes is a beginning. Without a path it is one that the keeper
/// has already.
pub fn bring(is: &PlannedScheduler, run: &str, number: u64, digest: &str, path: Option<&Path>) -> Said {
    let Endpoint::Keeper(at) = is.endpoint else { return Said::Refused("it has no keeper".into()) };
    let path = path.map_or(String::new(), |path| format!(" {}", path.display()));
    tell(at, &format!("bring {} {run} {number} {digest}{path}", is.name), COPIED)
}
