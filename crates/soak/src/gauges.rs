//! How close a soak came to a violation: figures whose greatest value a search over seeds looks for.

use crate::record::{Attempt, AttemptEnd, Record};
use crate::rules::{crosses_close, worst_full};
use crate::scenario::ActionKind;
use std::time::Duration;
use tindock_mock_services::fleet::Role;

/// A figure; the greater it is, the closer the soak came to a violation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauge {
    pub name: &'static str,
    pub unit: &'static str,
    pub value: f64,
}

/// The names of the gauges, as reports and `--worst` have them.
pub const NAMES: [&str; 10] = [
    "latest-taken",
    "latest-kept",
    "refused",
    "given-up",
    "unread",
    "crossed",
    "end",
    "open-at-end",
    "full",
    "acknowledgement",
];

/// An attempt whose proxy got SIGTERM before the attempt ended, and the time of that SIGTERM.
struct TerminatingAttempt<'a> {
    attempt: &'a Attempt,
    terminated: Duration,
}

impl TerminatingAttempt<'_> {
    /// Seconds from SIGTERM until the attempt was sent.
    fn sent_after(&self) -> f64 {
        self.attempt.sent.as_secs_f64() - self.terminated.as_secs_f64()
    }
}

/// All gauges of a soak, in the order of [`NAMES`].
pub fn gauges(record: &Record) -> Vec<Gauge> {
    let terminating: Vec<TerminatingAttempt<'_>> =
        record.attempts.iter().filter_map(|attempt| terminating(record, attempt)).collect();
    let served = |of: &&TerminatingAttempt<'_>| of.attempt.end.status().is_some_and(|status| status < 300);
    let latest = |which: &dyn Fn(&&TerminatingAttempt<'_>) -> bool| {
        terminating
            .iter()
            .filter(|of| served(of) && which(of))
            .map(TerminatingAttempt::sent_after)
            .fold(0.0, f64::max)
    };
    let count = |which: &dyn Fn(AttemptEnd) -> bool| {
        terminating.iter().filter(|of| which(of.attempt.end)).count() as f64
    };
    let on_old_connection = |of: &&TerminatingAttempt<'_>| of.attempt.opened < of.terminated;
    let values = [
        ("s", latest(&|_| true)),
        ("s", latest(&on_old_connection)),
        ("requests", count(&|end| end.status() == Some(503))),
        ("requests", count(&|end| matches!(end.status(), Some(502 | 504)))),
        ("requests", count(&|end| end == AttemptEnd::Reset)),
        ("requests", terminating.iter().filter(|of| crosses_close(of.attempt)).count() as f64),
        ("s", slowest_end(record)),
        ("requests", open_at_end(&terminating)),
        ("requests", worst_full(record, |_| true).0 as f64),
        ("s", slowest_acknowledgement(record)),
    ];
    NAMES.iter().zip(values).map(|(name, (unit, value))| Gauge { name, unit, value }).collect()
}

fn terminating<'a>(record: &Record, attempt: &'a Attempt) -> Option<TerminatingAttempt<'a>> {
    let proxy = record.proxy_at(attempt.to)?;
    let terminated = record.terminated(&proxy.name, Role::Proxy, attempt.ended)?;
    Some(TerminatingAttempt { attempt, terminated })
}

/// Requests that a proxy had read and not answered when it ended.
fn open_at_end(terminating: &[TerminatingAttempt<'_>]) -> f64 {
    let is_open = |of: &&TerminatingAttempt<'_>| {
        matches!(of.attempt.end, AttemptEnd::ClosedUnanswered | AttemptEnd::Truncated)
            && !crosses_close(of.attempt)
    };
    terminating.iter().filter(is_open).count() as f64
}

/// The longest time from SIGTERM to the end of a proxy.
fn slowest_end(record: &Record) -> f64 {
    let terminated = |end: &crate::record::ProcessExit| {
        (end.role == Role::Proxy).then(|| record.terminated(&end.machine, end.role, end.at)).flatten()
    };
    let times = record.exits.iter().filter_map(|end| Some(end.at.saturating_sub(terminated(end)?)));
    times.max().unwrap_or_default().as_secs_f64()
}

fn slowest_acknowledgement(record: &Record) -> f64 {
    let times = record.changes.iter().filter_map(|change| Some(change.acknowledged? - change.sent));
    times.max().unwrap_or_default().as_secs_f64()
}

/// The number of executed actions of a kind, for the report.
pub fn count_executed(record: &Record, kind: ActionKind) -> usize {
    record.executed.iter().filter(|executed| executed.action.kind == kind).count()
}
