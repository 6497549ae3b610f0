//! What a process leaves to the one that takes over from it, as JSON, by names and in Unix time: indices and clocks are
//! each process's own.

use crate::clock::Clock;
use crate::workload_table::WorkloadTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tindock::policy::Policy;
use tindock::state::{MachineKind, Model, RunTimes, WorkerState};
use tindock_berth::listing::{Entry, ListingDoc};
use tindock_berth::Names;

pub const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
pub struct Heritage {
    pub version: u32,
    /// Taken out by the start of the process that takes over.
    pub list: Option<ListingDoc>,
    pub banned: BTreeSet<String>,
    stands: BTreeMap<String, StandDoc>,
    /// By workload: logarithm, spread and mean of the running time, completions.
    runs: BTreeMap<String, [f64; 4]>,
    /// By machine kind: logarithm of the speed, slots.
    kinds: BTreeMap<String, [f64; 2]>,
    /// By zone and kind: the others' share.
    others: Vec<(String, String, f64)>,
    hold: f64,
    setup: f64,
    mine: f64,
}

#[derive(Serialize, Deserialize)]
struct StandDoc {
    rest_ms: u64,
    barred_ms: Option<u64>,
    apart: f64,
    completions: f64,
    fresh: bool,
    hidden: f64,
}

pub fn leave<'a, I: Iterator<Item = &'a Entry>>(
    rules: &Policy,
    rows: &WorkloadTable,
    entries: impl Fn() -> I,
    banned: BTreeSet<String>,
    words: &Names,
    clock: &Clock,
) -> Heritage {
    let (known, workers) = rules.records();
    let stands = entries().zip(workers).map(|(entry, worker)| {
        let stand = worker.snapshot();
        let (rest_ms, barred_ms) =
            (clock.to_unix_ms(stand.rest_until), stand.barred_until.map(|at| clock.to_unix_ms(at)));
        let WorkerState { speed_offset: apart, completions, fresh, peer_load: hidden, .. } = stand;
        (entry.name.clone(), StandDoc { rest_ms, barred_ms, apart, completions, fresh, hidden })
    });
    let runs = rows.names.iter().zip(&known.runs);
    let runs =
        runs.filter_map(|(name, r)| Some((name.as_deref()?.into(), [r.log, r.spread, r.mean, r.seen])));
    let kinds = words.kinds.iter().cloned().zip(&known.kinds).map(|(name, k)| (name, [k.speed, k.slots]));
    let others = known.peer_shares.iter().zip(&words.zones).flat_map(|(shares, zone)| {
        let shares = shares.iter().zip(&words.kinds);
        shares.map(|(share, kind)| (zone.clone(), kind.clone(), *share))
    });
    Heritage {
        version: VERSION,
        list: Some(ListingDoc::of(entries(), words)),
        banned,
        stands: stands.collect(),
        runs: runs.collect(),
        kinds: kinds.collect(),
        others: others.collect(),
        hold: known.slot_time,
        setup: known.setup,
        mine: known.local_share,
    }
}

impl Heritage {
    /// Reads what another process left; one of another version is of no use.
    pub fn read(text: &[u8]) -> Result<Self, String> {
        let heritage: Heritage = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        if heritage.version != VERSION {
            return Err(format!("version {} is not known", heritage.version));
        }
        Ok(heritage)
    }

    /// What is not named here is as it was: workloads of a new file, workers that were not listed.
    pub fn take(
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
        let at = |words: &[String], word: &str| words.iter().position(|w| w == word);
        for (zone, kind, share) in &self.others {
            let (zone, kind) = (at(&words.zones, zone), at(&words.kinds, kind));
            let shares = zone.and_then(|zone| known.peer_shares.get_mut(zone));
            if let Some(known) = shares.zip(kind).and_then(|(shares, kind)| shares.get_mut(kind)) {
                *known = *share;
            }
        }
        (known.slot_time, known.setup, known.local_share) = (self.hold, self.setup, self.mine);
        let moment = |ms: u64| clock.from_unix_ms(ms).unwrap_or(Duration::ZERO);
        let stands = self.stands.iter().filter_map(|(name, doc)| {
            let (rest, barred) = (moment(doc.rest_ms), doc.barred_ms.map(moment));
            let StandDoc { apart, completions, fresh, hidden, .. } = *doc;
            Some((
                index(name)?,
                WorkerState {
                    rest_until: rest,
                    barred_until: barred,
                    speed_offset: apart,
                    completions,
                    fresh,
                    peer_load: hidden,
                },
            ))
        });
        rules.restore(known, &stands.collect::<Vec<_>>());
    }
}
