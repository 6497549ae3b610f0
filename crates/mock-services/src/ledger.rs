//! Records what clients sent and what workers ran, and checks the rules that can be observed from outside at
//! any time: TWICE, REFUSED, UNASKED, ROUTE and MIXED of `RULES.md`.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// A non-repeatable attempt ran more than once, or more than one attempt of its request ran.
    Twice(String),
    /// A non-repeatable attempt ran, and was answered with this status, which states that it did not run.
    Refused(String, u16),
    /// A worker ran an attempt that no client sent.
    Unasked(String),
    /// The worker received another method, path or body than the client sent.
    Changed(String),
    /// It ran at this service, which is not its route's.
    Route(String, String),
    /// A successful response that is not the worker's complete response to this attempt.
    Mixed(String),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Twice(id) => write!(f, "TWICE: {id}"),
            Finding::Refused(id, status) => write!(f, "REFUSED: {id} was answered {status} and ran"),
            Finding::Unasked(id) => write!(f, "UNASKED: {id} ran, and no client sent it"),
            Finding::Changed(id) => write!(f, "UNASKED: {id} was changed on its way"),
            Finding::Route(id, service) => write!(f, "ROUTE: {id} ran at {service}"),
            Finding::Mixed(id) => write!(f, "MIXED: {id}"),
        }
    }
}

/// An attempt as its client sent it.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    /// The request that it is an attempt of.
    pub request: u64,
    pub repeatable: bool,
    pub service: String,
    /// Hash of method, path and body.
    pub digest: u64,
}

#[derive(Default)]
struct Records {
    sent: HashMap<String, SentAttempt>,
    /// Runs by attempt id: the service and the digest that its worker received.
    runs: BTreeMap<String, Vec<(String, u64)>>,
    statuses: HashMap<String, u16>,
    mixed: Vec<String>,
}

/// Shared by clients and workers.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Records>>);

impl Ledger {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record_sent(&self, id: &str, sent: SentAttempt) {
        self.records().sent.insert(id.to_string(), sent);
    }

    /// Records that a worker of this service begins to process the attempt.
    pub fn record_run(&self, id: &str, service: &str, digest: u64) {
        self.records().runs.entry(id.to_string()).or_default().push((service.to_string(), digest));
    }

    pub fn record_status(&self, id: &str, status: u16) {
        self.records().statuses.insert(id.to_string(), status);
    }

    /// Records a response that breaks MIXED.
    pub fn record_mixed(&self, id: &str) {
        self.records().mixed.push(id.to_string());
    }

    /// Whether a worker has begun to process the attempt.
    pub fn has_run(&self, id: &str) -> bool {
        self.records().runs.contains_key(id)
    }

    /// Number of runs at workers so far.
    pub fn runs(&self) -> usize {
        self.records().runs.values().map(Vec::len).sum()
    }

    /// All violations so far, sorted, so that their order does not depend on the hash maps.
    pub fn findings(&self) -> Vec<Finding> {
        let records = self.records();
        let mut found: Vec<Finding> = records.mixed.iter().cloned().map(Finding::Mixed).collect();
        let mut runs_by_request: BTreeMap<u64, usize> = BTreeMap::new();
        for (id, runs) in &records.runs {
            let Some(sent) = records.sent.get(id) else {
                found.push(Finding::Unasked(id.clone()));
                continue;
            };
            for (service, digest) in runs {
                if *digest != sent.digest {
                    found.push(Finding::Changed(id.clone()));
                }
                if *service != sent.service {
                    found.push(Finding::Route(id.clone(), service.clone()));
                }
            }
            if !sent.repeatable {
                let total = runs_by_request.entry(sent.request).or_default();
                *total += runs.len();
                if *total > 1 {
                    found.push(Finding::Twice(id.clone()));
                }
                if let Some(status @ (408 | 421 | 429 | 503)) = records.statuses.get(id).copied() {
                    found.push(Finding::Refused(id.clone(), status));
                }
            }
        }
        found.sort();
        found
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn sent(repeatable: bool) -> SentAttempt {
        SentAttempt { request: 1, repeatable, service: "f".into(), digest: 7 }
    }

    #[rstest]
    #[case::ran_once(false, &[("a", "f", 7)], None, &[])]
    #[case::ran_twice(false, &[("a", "f", 7), ("a", "f", 7)], None, &["TWICE: a"])]
    #[case::repeatable_ran_twice(true, &[("a", "f", 7), ("a", "f", 7)], None, &[])]
    #[case::ran_despite_503(false, &[("a", "f", 7)], Some(503), &["REFUSED: a was answered 503 and ran"])]
    #[case::ran_and_502(false, &[("a", "f", 7)], Some(502), &[])]
    #[case::never_sent(true, &[("b", "f", 7)], None, &["UNASKED: b ran, and no client sent it"])]
    #[case::changed_on_the_way(true, &[("a", "f", 8)], None, &["UNASKED: a was changed on its way"])]
    #[case::ran_at_another_service(true, &[("a", "g", 7)], None, &["ROUTE: a ran at g"])]
    fn rule_violations_are_found(
        #[case] repeatable: bool,
        #[case] runs: &[(&str, &str, u64)],
        #[case] status: Option<u16>,
        #[case] wanted: &[&str],
    ) {
        let ledger = Ledger::default();
        ledger.record_sent("a", sent(repeatable));
        runs.iter().for_each(|(id, service, digest)| ledger.record_run(id, service, *digest));
        if let Some(status) = status {
            ledger.record_status("a", status);
        }
        let found: Vec<String> = ledger.findings().iter().map(Finding::to_string).collect();
        assert_eq!(found, wanted);
    }

    #[test]
    fn two_attempts_of_one_request_that_both_ran_violate_twice() {
        let ledger = Ledger::default();
        for id in ["a", "b"] {
            ledger.record_sent(id, sent(false));
            ledger.record_run(id, "f", 7);
        }
        assert_eq!(ledger.findings().len(), 1);
    }
}
