//! The state that a process passes to its successor, as JSON, with names and Unix times: indices and
//! monotonic clocks differ between processes.

use crate::clock::Clock;
use crate::workload_table::WorkloadTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tindock::policy::Policy;
use tindock::state::{MachineKind, Model, RunTimes, WorkerState};
use tindock_scheduler_config::listing::{Entry, ListingDoc};
use tindock_scheduler_config::Names;

pub const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    pub version: u32,
    /// Removed while the successor starts up.
    pub list: Option<ListingDoc>,
    pub banned: BTreeSet<String>,
    #[serde(rename = "stands")]
    workers: BTreeMap<String, WorkerDoc>,
    /// By workload: logarithm, spread and mean of the run time, completions.
    runs: BTreeMap<String, [f64; 4]>,
    /// By machine kind: logarithm of the speed, slots.
    kinds: BTreeMap<String, [f64; 2]>,
    /// By zone and kind: the load share of the other schedulers.
    #[serde(rename = "others")]
    peer_shares: Vec<(String, String, f64)>,
    #[serde(rename = "hold")]
    slot_time: f64,
    setup: f64,
    #[serde(rename = "mine")]
    local_share: f64,
}

#[derive(Serialize, Deserialize)]
struct WorkerDoc {
    rest_ms: u64,
    barred_ms: Option<u64>,
    #[serde(rename = "apart")]
    speed_offset: f64,
    completions: f64,
    fresh: bool,
    #[serde(rename = "hidden")]
    peer_load: f64,
}

pub fn capture<'a, I: Iterator<Item = &'a Entry>>(
    rules: &Policy,
    rows: &WorkloadTable,
    entries: impl Fn() -> I,
    banned: BTreeSet<String>,
    words: &Names,
    clock: &Clock,
) -> HandoverState {
    let (known, workers) = rules.records();
    let workers = entries().zip(workers).map(|(entry, worker)| {
        let snapshot = worker.snapshot();
        let (rest_ms, barred_ms) =
            (clock.to_unix_ms(snapshot.rest_until), snapshot.barred_until.map(|at| clock.to_unix_ms(at)));
        let WorkerState { speed_offset, completions, fresh, peer_load, .. } = snapshot;
        (entry.name.clone(), WorkerDoc { rest_ms, barred_ms, speed_offset, completions, fresh, peer_load })
    });
    let runs = rows.names.iter().zip(&known.runs);
    let runs =
        runs.filter_map(|(name, r)| Some((name.as_deref()?.into(), [r.log, r.spread, r.mean, r.seen])));
    let kinds = words.kinds.iter().cloned().zip(&known.kinds).map(|(name, k)| (name, [k.speed, k.slots]));
    let peer_shares = known.peer_shares.iter().zip(&words.zones).flat_map(|(shares, zone)| {
        let shares = shares.iter().zip(&words.kinds);
        shares.map(|(share, kind)| (zone.clone(), kind.clone(), *share))
    });
    HandoverState {
        version: VERSION,
        list: Some(ListingDoc::of(entries(), words)),
        banned,
        workers: workers.collect(),
        runs: runs.collect(),
        kinds: kinds.collect(),
        peer_shares: peer_shares.collect(),
        slot_time: known.slot_time,
        setup: known.setup,
        local_share: known.local_share,
    }
}

impl HandoverState {
    /// Parses the state of another process; another format version is refused.
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        let state: HandoverState = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        if state.version != VERSION {
            return Err(format!("version {} is not supported", state.version));
        }
        Ok(state)
    }

    /// Applies this state to the policy. Workloads and workers that are not named here keep their initial
    /// state.
    pub fn restore(
        &self,
        rules: &mut Policy,
        rows: &WorkloadTable,
        index: impl Fn(&str) -> Option<usize>,
        words: &Names,
        clock: &Clock,
    ) {
        let mut known: Model = rules.records().0.clone();
        for (name, runs) in rows.names.iter().zip(&mut known.runs) {
            if let Some(&[log, spread, mean, seen]) = name.as_deref().and_then(|name| self.runs.get(name)) {
                *runs = RunTimes { log, spread, mean, seen };
            }
        }
        for (name, kind) in words.kinds.iter().zip(&mut known.kinds) {
            if let Some(&[speed, slots]) = self.kinds.get(name) {
                *kind = MachineKind { speed, slots, ..MachineKind::default() };
            }
        }
        let at = |names: &[String], name: &str| names.iter().position(|n| n == name);
        for (zone, kind, share) in &self.peer_shares {
            let (zone, kind) = (at(&words.zones, zone), at(&words.kinds, kind));
            let shares = zone.and_then(|zone| known.peer_shares.get_mut(zone));
            if let Some(known) = shares.zip(kind).and_then(|(shares, kind)| shares.get_mut(kind)) {
                *known = *share;
            }
        }
        (known.slot_time, known.setup, known.local_share) = (self.slot_time, self.setup, self.local_share);
        let moment = |ms: u64| clock.from_unix_ms(ms).unwrap_or(Duration::ZERO);
        let workers = self.workers.iter().filter_map(|(name, doc)| {
            let (rest, barred) = (moment(doc.rest_ms), doc.barred_ms.map(moment));
            let WorkerDoc { speed_offset, completions, fresh, peer_load, .. } = *doc;
            Some((
                index(name)?,
                WorkerState {
                    rest_until: rest,
                    barred_until: barred,
                    speed_offset,
                    completions,
                    fresh,
                    peer_load,
                },
            ))
        });
        rules.restore(known, &workers.collect::<Vec<_>>());
    }
}
