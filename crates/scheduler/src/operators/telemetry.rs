//! The figures for operators. Each is counted in one place, and starts at 0 with the process.

use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How a task ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Finished,
    Shed,
    Failed,
}

#[derive(Default)]
pub struct Telemetry {
    /// By the workload's name: a removed workload keeps its counts, and continues them if it returns.
    ends: RefCell<BTreeMap<String, [u64; 3]>>,
    /// Assignments whose last byte was passed to the kernel.
    pub assignments: Rc<Cell<u64>>,
    reloads: Cell<(u64, u64)>,
}

/// The present figures of the exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    pub in_flight: usize,
    pub listed: usize,
    pub excluded: usize,
}

/// The serialized form for operators.
#[derive(Serialize)]
struct TelemetryDoc<'a> {
    served: BTreeMap<&'a str, u64>,
    refused: BTreeMap<&'a str, u64>,
    failed: BTreeMap<&'a str, u64>,
    attempts: u64,
    in_flight: usize,
    workers_known: usize,
    workers_excluded: usize,
    reloads_ok: u64,
    reloads_failed: u64,
}

impl Telemetry {
    /// A workload that clients may submit from now on.
    pub fn register_workload(&self, workload: &str) {
        self.ends.borrow_mut().entry(workload.into()).or_default();
    }

    pub fn ended(&self, workload: &str, outcome: Outcome) {
        if let Some(counts) = self.ends.borrow_mut().get_mut(workload) {
            counts[outcome as usize] += 1;
        }
    }

    pub fn reloaded(&self, taken: bool) {
        let (ok, rejected) = self.reloads.get();
        self.reloads.set((ok + u64::from(taken), rejected + u64::from(!taken)));
    }

    /// All figures as one line of JSON.
    pub fn figures(&self, snapshot: Snapshot) -> String {
        let ends = self.ends.borrow();
        let by =
            |outcome: Outcome| ends.iter().map(|(name, n)| (name.as_str(), n[outcome as usize])).collect();
        let (reloads_ok, reloads_failed) = self.reloads.get();
        let figures = TelemetryDoc {
            served: by(Outcome::Finished),
            refused: by(Outcome::Shed),
            failed: by(Outcome::Failed),
            attempts: self.assignments.get(),
            in_flight: snapshot.in_flight,
            workers_known: snapshot.listed,
            workers_excluded: snapshot.excluded,
            reloads_ok,
            reloads_failed,
        };
        serde_json::to_string(&figures).unwrap_or_default()
    }
}
