//! Checks what was observed from outside the processes against the rules, and reports the violations.

use crate::record::{Attempt, AttemptEnd, ExecutedAction, ProcessExit, Record};
use crate::scenario::{ActionKind, Scenario};
use std::fmt;
use std::time::Duration;
use tindock_mock_services::fleet::Role;

/// For this long after an unplanned fault, lost requests are permitted (`contact_ms` in the settings of the
/// mock deployment).
const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);
/// A request that no worker got and that ends within this time after it was sent may have crossed a close of
/// its connection (`loss_slack_ms`).
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// A process that was started less than this ago may not handle signals yet.
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// A request sent this long after SIGTERM must get its worker's response, or a response that states that it
/// did not run.
const LATE_AFTER_SIGTERM: Duration = Duration::from_secs(3);
/// Events are observed from outside with at most this delay.
const OBSERVATION_DELAY: Duration = Duration::from_millis(300);
/// A request that ends this shortly before its deadline counts as ended by the deadline.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(300);
/// Workers of all functions together may refuse this many requests as full within the window
/// (`shed_allowance`).
pub const SHED_ALLOWANCE: usize = 10;
pub const FULL_WINDOW: Duration = Duration::from_secs(5);

/// The rules. Their names are printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A process answers every request that it has read.
    Lost,
    /// A request that arrives late in the grace period is not accepted and then given up.
    GivenUp,
    /// A response by which a terminating process refuses a request has a `Retry-After`.
    ToldNothing,
    /// The rules of the mock services' ledger: no request runs twice, none runs after a response that states
    /// that it did not, and no response belongs to another request.
    Ledger,
    /// A process ends within its grace period.
    Grace,
    /// A process ends only after a signal, and with exit status 0 unless it was killed.
    Ended,
    /// Workers do not get more requests than they can process.
    Limit,
    /// A configuration that was acknowledged to the operator is still in effect at the end.
    Configuration,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
    /// The attempt that violates the rule, if it is a single one.
    pub attempt: Option<Attempt>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.2} s: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

/// All violations, ordered by time.
pub fn find_violations(scenario: &Scenario, record: &Record) -> Vec<Violation> {
    let mut violations = Vec::new();
    for attempt in &record.attempts {
        violations.extend(lost(record, attempt));
        violations.extend(given_up(record, attempt));
        violations.extend(refused_without_retry_after(record, attempt));
    }
    let ledger = record.findings.iter();
    violations
        .extend(ledger.map(|finding| violation(Rule::Ledger, scenario.duration(), finding.to_string())));
    violations
        .extend(record.executed.iter().filter_map(|executed| exceeds_grace(scenario, record, executed)));
    let killed_at_shutdown = record.killed_at_shutdown.iter();
    violations.extend(
        killed_at_shutdown
            .map(|name| violation(Rule::Grace, scenario.duration(), format!("{name} had to be killed"))),
    );
    violations.extend(record.exits.iter().filter_map(|end| ended_by_itself(record, end)));
    violations.extend(overloaded(record));
    violations.extend(configuration_lost(scenario, record));
    violations.sort_by_key(|violation| (violation.at, violation.rule));
    violations
}

fn violation(rule: Rule, at: Duration, what: String) -> Violation {
    Violation { rule, at, what, attempt: None }
}

/// Whether there was an unplanned fault in this span, or up to [`CONTACT_TIMEOUT`] before it.
fn has_unplanned_fault(record: &Record, from: Duration, to: Duration) -> bool {
    let unplanned = record.executed.iter().filter(|executed| !executed.action.kind.is_planned());
    unplanned.into_iter().any(|executed| {
        executed.at <= to && executed.at + executed.action.duration() + CONTACT_TIMEOUT >= from
    })
}

fn about(record: &Record, attempt: &Attempt) -> String {
    let proxy_name =
        record.proxy_at(attempt.to).map_or_else(|| attempt.to.to_string(), |proxy| proxy.name.clone());
    let terminated = record.terminated(&proxy_name, Role::Proxy, attempt.ended);
    let since = |at: Duration| match terminated {
        Some(terminated) => {
            format!("{:+.2} s after its SIGTERM", at.as_secs_f64() - terminated.as_secs_f64())
        }
        None => format!("at {:.2} s", at.as_secs_f64()),
    };
    format!(
        "{} {} at {proxy_name}, on a connection opened {}, sent {}, {} {}",
        attempt.class,
        attempt.attempt_id,
        since(attempt.opened),
        since(attempt.sent),
        attempt.end,
        since(attempt.ended)
    )
}

/// Whether a request crossed the close of its connection: no worker got it, and the connection ended within
/// `LOSS_SLACK`.
pub fn crosses_close(attempt: &Attempt) -> bool {
    attempt.end == AttemptEnd::ClosedUnanswered
        && !attempt.ran
        && attempt.ended <= attempt.last_byte + LOSS_SLACK
}

fn lost(record: &Record, attempt: &Attempt) -> Option<Violation> {
    let is_lost =
        matches!(attempt.end, AttemptEnd::ClosedUnanswered | AttemptEnd::Truncated | AttemptEnd::Malformed);
    let by_deadline = attempt.ended + DEADLINE_TOLERANCE >= attempt.deadline;
    if !is_lost
        || by_deadline
        || crosses_close(attempt)
        || has_unplanned_fault(record, attempt.sent, attempt.ended)
    {
        return None;
    }
    Some(Violation {
        rule: Rule::Lost,
        at: attempt.ended,
        what: about(record, attempt),
        attempt: Some(attempt.clone()),
    })
}

/// The SIGTERM to the proxy process that the attempt reached, if it was sent before the attempt ended.
fn termination_before(record: &Record, attempt: &Attempt) -> Option<Duration> {
    let proxy = record.proxy_at(attempt.to)?;
    record.terminated(&proxy.name, Role::Proxy, attempt.ended)
}

fn given_up(record: &Record, attempt: &Attempt) -> Option<Violation> {
    let terminated = termination_before(record, attempt)?;
    let late = attempt.sent >= terminated + LATE_AFTER_SIGTERM;
    let by_deadline = attempt.ended + DEADLINE_TOLERANCE >= attempt.deadline;
    let is_given_up = matches!(attempt.end.status(), Some(502 | 504));
    if !late || by_deadline || !is_given_up || has_unplanned_fault(record, attempt.sent, attempt.ended) {
        return None;
    }
    Some(Violation {
        rule: Rule::GivenUp,
        at: attempt.ended,
        what: about(record, attempt),
        attempt: Some(attempt.clone()),
    })
}

fn refused_without_retry_after(record: &Record, attempt: &Attempt) -> Option<Violation> {
    termination_before(record, attempt)?;
    let AttemptEnd::Answered { status: 503, retry_after: false } = attempt.end else { return None };
    Some(Violation {
        rule: Rule::ToldNothing,
        at: attempt.ended,
        what: about(record, attempt),
        attempt: Some(attempt.clone()),
    })
}

/// Checks that the process of a machine ends within its grace period after SIGTERM.
fn exceeds_grace(scenario: &Scenario, record: &Record, executed: &ExecutedAction) -> Option<Violation> {
    if executed.action.kind != ActionKind::Terminate {
        return None;
    }
    // The machine's main process, not the agent on the same machine, which may end sooner.
    let of_proxy = record.proxies.iter().any(|proxy| proxy.name == executed.machine);
    let role = if of_proxy { Role::Proxy } else { Role::Controller };
    if record.terminated(&executed.machine, role, executed.at) != Some(executed.at) {
        return None;
    }
    let ends = || record.exits.iter().filter(|end| end.machine == executed.machine && end.role == role);
    if ends().any(|end| end.at <= executed.at && executed.at <= end.at + STARTUP_TIME) {
        return None;
    }
    let until = executed.at + scenario.grace() + OBSERVATION_DELAY;
    // A process that is still in its grace period at the end of the soak is checked by `killed_at_shutdown`.
    // A frozen process cannot end.
    let is_frozen = record.executed.iter().any(|other| {
        other.machine == executed.machine
            && other.action.kind == ActionKind::Freeze
            && other.at <= until
            && other.at + other.action.duration() >= executed.at
    });
    let last_seen = record.exits.iter().map(|end| end.at).max().unwrap_or_default();
    let has_ended = ends().any(|end| (executed.at..=until).contains(&end.at));
    if is_frozen || has_ended || until > last_seen {
        return None;
    }
    Some(violation(Rule::Grace, until, format!("{} outlives its grace period", executed.machine)))
}

fn ended_by_itself(record: &Record, end: &ProcessExit) -> Option<Violation> {
    let killed = record.executed.iter().any(|executed| {
        executed.machine == end.machine && executed.action.kind == ActionKind::Kill && executed.at <= end.at
    });
    let signalled = record.executed.iter().any(|executed| {
        let kinds = [ActionKind::Kill, ActionKind::Terminate];
        executed.machine == end.machine
            && kinds.contains(&executed.action.kind)
            && executed.at <= end.at + OBSERVATION_DELAY
    });
    let earlier = record
        .exits
        .iter()
        .filter(|other| (&other.machine, other.role) == (&end.machine, end.role) && other.at < end.at);
    let was_starting = earlier.map(|other| other.at).max().is_some_and(|at| end.at < at + STARTUP_TIME);
    // Status 0 is expected after SIGTERM; another one is permitted only after SIGKILL or before the process
    // handles signals.
    if signalled && (end.succeeded || killed || was_starting) {
        return None;
    }
    let role = end.role.name();
    Some(violation(Rule::Ended, end.at, format!("{} {role} ended by itself: {}", end.machine, end.status)))
}

fn affects_a_process(executed: &ExecutedAction) -> bool {
    matches!(executed.action.kind, ActionKind::Terminate | ActionKind::Kill | ActionKind::Freeze)
}

/// The most requests that were refused as full within one window, and the end of that window. Only windows
/// whose end `counts` accepts are considered.
pub fn worst_full(record: &Record, counts: impl Fn(Duration) -> bool) -> (usize, Duration) {
    let mut worst = (0, Duration::ZERO);
    for count in &record.full {
        let earlier = record.full.iter().filter(|other| other.at + FULL_WINDOW <= count.at);
        let base = earlier.map(|other| other.refused).max().unwrap_or_default();
        let refused = count.refused - base.min(count.refused);
        if refused > worst.0 && counts(count.at) {
            worst = (refused, count.at);
        }
    }
    worst
}

/// Only requests from machines with contact to the controllers count. From outside it is not visible which
/// machine sent a request, so all machines must have contact.
fn overloaded(record: &Record) -> Option<Violation> {
    let in_contact = |at: Duration| {
        let from = at.saturating_sub(FULL_WINDOW + CONTACT_TIMEOUT);
        !record
            .executed
            .iter()
            .any(|executed| affects_a_process(executed) && (from..=at).contains(&executed.at))
    };
    let (refused, at) = worst_full(record, in_contact);
    let what = format!("{refused} requests refused as full within {} s", FULL_WINDOW.as_secs());
    (refused > SHED_ALLOWANCE).then(|| violation(Rule::Limit, at, what))
}

fn configuration_lost(scenario: &Scenario, record: &Record) -> Option<Violation> {
    let acknowledged = record.changes.iter().filter(|change| change.acknowledged.is_some());
    let newest = acknowledged.map(|change| change.revision).max()?;
    let shown = record.shown.unwrap_or_default();
    let what = format!("revision {shown} is read back, {newest} was acknowledged");
    (shown < newest).then(|| violation(Rule::Configuration, scenario.duration(), what))
}
