//! What clients sent and what workers ran, side by side: the rules that can be seen from outside at once. In the words
//! of `RULES.md`: TWICE, REFUSED, UNASKED, ROUTE and MIXED.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// A try that is not repeatable ran more than once, or its request in more than one of its tries.
    Twice(String),
    /// A promise (this status) for a try that is not repeatable and ran.
    Refused(String, u16),
    /// A worker ran what no client sent.
    Unasked(String),
    /// Its method, path or body was another at the worker.
    Changed(String),
    /// It ran at this service, which its route does not lead to.
    Route(String, String),
    /// A success that is not the worker's whole answer to this try.
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

/// A try, as its client sent it.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    /// The request that it is a try of.
    pub request: u64,
    pub repeatable: bool,
    pub service: String,
    /// Over method, path and body.
    pub digest: u64,
}

#[derive(Default)]
struct Book {
    asked: HashMap<String, SentAttempt>,
    ran: BTreeMap<String, Vec<(String, u64)>>,
    answered: HashMap<String, u16>,
    mixed: Vec<String>,
}

/// Shared by clients and workers.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Book>>);

impl Ledger {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record_sent(&self, id: &str, asked: SentAttempt) {
        self.book().asked.insert(id.to_string(), asked);
    }

    /// A worker of the service begins to work on it.
    pub fn record_run(&self, id: &str, service: &str, digest: u64) {
        self.book().ran.entry(id.to_string()).or_default().push((service.to_string(), digest));
    }

    pub fn record_status(&self, id: &str, status: u16) {
        self.book().answered.insert(id.to_string(), status);
    }

    pub fn record_mixed(&self, id: &str) {
        self.book().mixed.push(id.to_string());
    }

    /// Whether a worker has begun to work on it.
    pub fn has_run(&self, id: &str) -> bool {
        self.book().ran.contains_key(id)
    }

    /// Runs at workers so far.
    pub fn runs(&self) -> usize {
        self.book().ran.values().map(Vec::len).sum()
    }

    /// What is wrong so far, in an order that depends on nothing else.
    pub fn findings(&self) -> Vec<Finding> {
        let book = self.book();
        let mut found: Vec<Finding> = book.mixed.iter().cloned().map(Finding::Mixed).collect();
        let mut requests: BTreeMap<u64, usize> = BTreeMap::new();
        for (id, runs) in &book.ran {
            let Some(asked) = book.asked.get(id) else {
                found.push(Finding::Unasked(id.clone()));
                continue;
            };
            for (service, digest) in runs {
                if *digest != asked.digest {
                    found.push(Finding::Changed(id.clone()));
                }
                if *service != asked.service {
                    found.push(Finding::Route(id.clone(), service.clone()));
                }
            }
            if !asked.repeatable {
                let total = requests.entry(asked.request).or_default();
                *total += runs.len();
                if *total > 1 {
                    found.push(Finding::Twice(id.clone()));
                }
                if let Some(status @ (408 | 421 | 429 | 503)) = book.answered.get(id).copied() {
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

    fn asked(repeatable: bool) -> SentAttempt {
        SentAttempt { request: 1, repeatable, service: "f".into(), digest: 7 }
    }

    #[rstest]
    #[case::once(false, &[("a", "f", 7)], None, &[])]
    #[case::twice(false, &[("a", "f", 7), ("a", "f", 7)], None, &["TWICE: a"])]
    #[case::repeatable(true, &[("a", "f", 7), ("a", "f", 7)], None, &[])]
    #[case::promised(false, &[("a", "f", 7)], Some(503), &["REFUSED: a was answered 503 and ran"])]
    #[case::nothing_promised(false, &[("a", "f", 7)], Some(502), &[])]
    #[case::another(true, &[("b", "f", 7)], None, &["UNASKED: b ran, and no client sent it"])]
    #[case::changed(true, &[("a", "f", 8)], None, &["UNASKED: a was changed on its way"])]
    #[case::elsewhere(true, &[("a", "g", 7)], None, &["ROUTE: a ran at g"])]
    fn finds(
        #[case] repeatable: bool,
        #[case] runs: &[(&str, &str, u64)],
        #[case] status: Option<u16>,
        #[case] wanted: &[&str],
    ) {
        let ledger = Ledger::default();
        ledger.record_sent("a", asked(repeatable));
        runs.iter().for_each(|(id, service, digest)| ledger.record_run(id, service, *digest));
        if let Some(status) = status {
            ledger.record_status("a", status);
        }
        let found: Vec<String> = ledger.findings().iter().map(Finding::to_string).collect();
        assert_eq!(found, wanted);
    }

    #[test]
    fn a_request_whose_two_tries_ran_has_run_twice() {
        let ledger = Ledger::default();
        for id in ["a", "b"] {
            ledger.record_sent(id, asked(false));
            ledger.record_run(id, "f", 7);
        }
        assert_eq!(ledger.findings().len(), 1);
    }
}
