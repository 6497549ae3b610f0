//! How near a soak came to breaking a rule: figures of which the worst is looked for over seeds.

use crate::record::{Attempt, AttemptEnd, Record};
use crate::rules::{crosses, worst_full};
use crate::scenario::ActionKind;
use std::time::Duration;
use tindock_standins::fleet::Role;

/// A figure; the greater, the nearer to a broken rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauge {
    pub name: &'static str,
    pub unit: &'static str,
    pub value: f64,
}

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

/// A try at a proxy that had got SIGTERM before the try ended, and how long before.
struct Leaving<'a> {
    tried: &'a Attempt,
    terminated: Duration,
}

impl Leaving<'_> {
    fn sent_after(&self) -> f64 {
        self.tried.sent.as_secs_f64() - self.terminated.as_secs_f64()
    }
}

/// All gauges of a soak, in the order of [`NAMES`].
pub fn gauges(record: &Record) -> Vec<Gauge> {
    let leaving: Vec<Leaving<'_>> =
        record.attempts.iter().filter_map(|tried| leaving(record, tried)).collect();
    let served = |of: &&Leaving<'_>| of.tried.end.status().is_some_and(|status| status < 300);
    let latest = |which: &dyn Fn(&&Leaving<'_>) -> bool| {
        leaving.iter().filter(|of| served(of) && which(of)).map(Leaving::sent_after).fold(0.0, f64::max)
    };
    let count =
        |which: &dyn Fn(AttemptEnd) -> bool| leaving.iter().filter(|of| which(of.tried.end)).count() as f64;
    let kept = |of: &&Leaving<'_>| of.tried.opened < of.terminated;
    let values = [
        ("s", latest(&|_| true)),
        ("s", latest(&kept)),
        ("requests", count(&|end| end.status() == Some(503))),
        ("requests", count(&|end| matches!(end.status(), Some(502 | 504)))),
        ("requests", count(&|end| end == AttemptEnd::Reset)),
        ("requests", leaving.iter().filter(|of| crosses(of.tried)).count() as f64),
        ("s", slowest_end(record)),
        ("requests", open_at_end(&leaving)),
        ("requests", worst_full(record, |_| true).0 as f64),
        ("s", slowest_acknowledgement(record)),
    ];
    NAMES.iter().zip(values).map(|(name, (unit, value))| Gauge { name, unit, value }).collect()
}

fn leaving<'a>(record: &Record, tried: &'a Attempt) -> Option<Leaving<'a>> {
    let proxy = record.proxy_at(tried.to)?;
    let terminated = record.terminated(&proxy.name, Role::Proxy, tried.ended)?;
    Some(Leaving { tried, terminated })
}

/// Requests that a proxy had read, and ended with.
fn open_at_end(leaving: &[Leaving<'_>]) -> f64 {
    let is_open = |of: &&Leaving<'_>| {
        matches!(of.tried.end, AttemptEnd::ClosedUnanswered | AttemptEnd::Truncated) && !crosses(of.tried)
    };
    leaving.iter().filter(is_open).count() as f64
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

/// Signals and changes that struck, for the report.
pub fn struck(record: &Record, kind: ActionKind) -> usize {
    record.executed.iter().filter(|done| done.action.kind == kind).count()
}
