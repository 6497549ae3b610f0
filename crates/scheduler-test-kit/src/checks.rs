//! Checks of the rules, from the responses that clients got and the tasks that workers received alone.

use crate::mocks::{TaskEnd, TaskRecord};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The violations, one line each, with the task. `is_unrepeatable` states for an id whether its task must not
/// run twice; `was_down` whether a scheduler was killed at some time between two points in time, in which
/// case no response is required.
pub fn violations(
    tasks: &[TaskRecord],
    received: &[(String, String, Instant)],
    is_unrepeatable: impl Fn(&str) -> bool,
    was_down: impl Fn(usize, Instant, Instant) -> bool,
) -> Vec<String> {
    let mut found = Vec::new();
    for task in tasks {
        let TaskRecord { id, to, end, .. } = task;
        if *end == TaskEnd::NoResponse && !was_down(*to, task.sent, task.answered) {
            found.push(format!("rule 1: {id} got no response from scheduler {to}"));
        }
        if *end == TaskEnd::Unexpected {
            found.push(format!("rule 1: {id} got a response with an unexpected status"));
        }
        if task.has_extra_bytes {
            found.push(format!("rule 1: {id} got more than one response"));
        }
    }
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (id, worker, _) in received {
        runs.entry(id).or_default().push(worker);
    }
    // A client whose scheduler is killed during its task sends the task again, as the protocol permits. The
    // restarted process cannot know of that repetition.
    let was_repeated =
        |id: &str| tasks.iter().any(|task| task.id == id && was_down(task.to, task.sent, task.answered));
    for (id, workers) in &runs {
        if workers.len() > 1 && is_unrepeatable(id) && !was_repeated(id) {
            found.push(format!("rule 2: {id} was received by workers {}", workers.join(" and ")));
        }
    }
    for task in tasks.iter().filter(|task| task.end == TaskEnd::Shed && is_unrepeatable(&task.id)) {
        if let Some(workers) = runs.get(task.id.as_str()) {
            // The mock workers run every task that they accept, so a received task has run.
            found.push(format!(
                "rule 2: {} was shed, and received by worker {}",
                task.id,
                workers.join(" and ")
            ));
        }
    }
    found
}

/// The share of finished tasks among those that ended in this span, with or without a response.
pub fn service(tasks: &[TaskRecord], from: Instant, to: Instant) -> f64 {
    let ended: Vec<&TaskRecord> =
        tasks.iter().filter(|task| task.answered >= from && task.answered < to).collect();
    let finished = ended.iter().filter(|task| task.end == TaskEnd::Finished).count();
    finished as f64 / ended.len().max(1) as f64
}

/// The lowest service of any span of this length between two points in time, in steps of a tenth of it.
pub fn least_service(tasks: &[TaskRecord], from: Instant, to: Instant, span: Duration) -> f64 {
    let mut lowest = 1.0_f64;
    let mut at = from;
    while at + span <= to {
        lowest = lowest.min(service(tasks, at, at + span));
        at += span / 10;
    }
    lowest
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(id: &str, end: TaskEnd) -> TaskRecord {
        let now = Instant::now();
        TaskRecord { id: id.into(), to: 0, sent: now, answered: now, end, has_extra_bytes: false }
    }

    /// Guards against checks that miss violations: each injected defect is found, and a valid record has
    /// none.
    #[test]
    fn injected_defects_are_found() {
        let now = Instant::now();
        let received = |ids: &[(&str, &str)]| -> Vec<_> {
            ids.iter().map(|(id, worker)| (id.to_string(), worker.to_string(), now)).collect()
        };
        let (is_unrepeatable, never_down) = (|id: &str| id.starts_with('u'), |_, _, _| false);
        let valid = [
            record("u1", TaskEnd::Finished),
            record("i1", TaskEnd::Shed),
            record("u2", TaskEnd::Interrupted),
        ];
        assert_eq!(
            violations(
                &valid,
                &received(&[("u1", "w0"), ("i1", "w0"), ("i1", "w1")]),
                is_unrepeatable,
                never_down
            ),
            [""; 0]
        );
        let cases = [
            (record("i1", TaskEnd::NoResponse), received(&[])),
            (record("i1", TaskEnd::Unexpected), received(&[])),
            (TaskRecord { has_extra_bytes: true, ..record("i1", TaskEnd::Finished) }, received(&[])),
            (record("u1", TaskEnd::Finished), received(&[("u1", "w0"), ("u1", "w1")])),
            (record("u1", TaskEnd::Shed), received(&[("u1", "w0")])),
        ];
        for (task, received) in cases {
            assert_eq!(
                violations(std::slice::from_ref(&task), &received, is_unrepeatable, never_down).len(),
                1,
                "{task:?}"
            );
        }
        assert!(
            violations(&[record("i1", TaskEnd::NoResponse)], &[], is_unrepeatable, |_, _, _| true).is_empty()
        );
        let twice = received(&[("u1", "w0"), ("u1", "w1")]);
        assert!(violations(&[record("u1", TaskEnd::Finished)], &twice, is_unrepeatable, |_, _, _| true)
            .is_empty());
        let later = [record("a", TaskEnd::Finished), record("b", TaskEnd::Shed)];
        assert_eq!(service(&later, now, now + Duration::from_secs(60)), 0.5);
    }
}
