//! Judges from what clients got and workers ran, and from nothing else.

use crate::mocks::{TaskEnd, TaskRecord};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What broke, a line each, with the task; empty: all kept. `unrepeatable` tells from an id whether its task must not
/// run twice; `gone` whether the scheduler was killed outright between two moments, when no answer is owed.
pub fn violations(
    told: &[TaskRecord],
    came: &[(String, String, Instant)],
    unrepeatable: impl Fn(&str) -> bool,
    gone: impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for task in told {
        let TaskRecord { id, to, end, .. } = task;
        if *end == TaskEnd::NoResponse && !gone(*to, task.sent, task.answered) {
            wrong.push(format!("rule 1: {id} got no answer from scheduler {to}"));
        }
        if *end == TaskEnd::Unexpected {
            wrong.push(format!("rule 1: {id} got an answer that is none of the three"));
        }
        if task.more {
            wrong.push(format!("rule 1: {id} got more than one answer"));
        }
    }
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (id, worker, _) in came {
        runs.entry(id).or_default().push(worker);
    }
    // A client whose scheduler is killed under its task hands it in once more, as the protocol has it: that is its own
    // repeat, of which the next process can know nothing.
    let again = |id: &str| told.iter().any(|task| task.id == id && gone(task.to, task.sent, task.answered));
    for (id, workers) in &runs {
        if workers.len() > 1 && unrepeatable(id) && !again(id) {
            wrong.push(format!("rule 2: {id} came to workers {}", workers.join(" and ")));
        }
    }
    for task in told.iter().filter(|task| task.end == TaskEnd::Shed && unrepeatable(&task.id)) {
        if let Some(workers) = runs.get(task.id.as_str()) {
            // The stand-ins of this crate run whatever they take, so one that came has run.
            wrong.push(format!("rule 2: {} was shed, and came to worker {}", task.id, workers.join(" and ")));
        }
    }
    wrong
}

/// The share of tasks that finished of those that got their answer, or lost hope of one, in that time.
pub fn service(told: &[TaskRecord], from: Instant, to: Instant) -> f64 {
    let of: Vec<&TaskRecord> =
        told.iter().filter(|task| task.answered >= from && task.answered < to).collect();
    let finished = of.iter().filter(|task| task.end == TaskEnd::Finished).count();
    finished as f64 / of.len().max(1) as f64
}

/// The least service of any such span that lies between two moments, in steps of a tenth of it.
pub fn least_service(told: &[TaskRecord], from: Instant, to: Instant, span: Duration) -> f64 {
    let mut least = 1.0_f64;
    let mut at = from;
    while at + span <= to {
        least = least.min(service(told, at, at + span));
        at += span / 10;
    }
    least
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(id: &str, end: TaskEnd) -> TaskRecord {
        let now = Instant::now();
        TaskRecord { id: id.into(), to: 0, sent: now, answered: now, end, more: false }
    }

    /// Guards against a judge that cannot find anything: each planted defect is found, and a whole record has none.
    #[test]
    fn planted_defects_are_found() {
        let now = Instant::now();
        let came = |ids: &[(&str, &str)]| -> Vec<_> {
            ids.iter().map(|(id, worker)| (id.to_string(), worker.to_string(), now)).collect()
        };
        let (once, never) = (|id: &str| id.starts_with('u'), |_, _, _| false);
        let whole =
            [told("u1", TaskEnd::Finished), told("i1", TaskEnd::Shed), told("u2", TaskEnd::Interrupted)];
        assert_eq!(
            violations(&whole, &came(&[("u1", "w0"), ("i1", "w0"), ("i1", "w1")]), once, never),
            [""; 0]
        );
        let cases = [
            (told("i1", TaskEnd::NoResponse), came(&[])),
            (told("i1", TaskEnd::Unexpected), came(&[])),
            (TaskRecord { more: true, ..told("i1", TaskEnd::Finished) }, came(&[])),
            (told("u1", TaskEnd::Finished), came(&[("u1", "w0"), ("u1", "w1")])),
            (told("u1", TaskEnd::Shed), came(&[("u1", "w0")])),
        ];
        for (task, came) in cases {
            assert_eq!(violations(std::slice::from_ref(&task), &came, once, never).len(), 1, "{task:?}");
        }
        assert!(violations(&[told("i1", TaskEnd::NoResponse)], &[], once, |_, _, _| true).is_empty());
        let twice = came(&[("u1", "w0"), ("u1", "w1")]);
        assert!(violations(&[told("u1", TaskEnd::Finished)], &twice, once, |_, _, _| true).is_empty());
        let later = [told("a", TaskEnd::Finished), told("b", TaskEnd::Shed)];
        assert_eq!(service(&later, now, now + Duration::from_secs(60)), 0.5);
    }
}
