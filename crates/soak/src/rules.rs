//! The judge: joins what was seen from outside the processes, and tells the rules that were broken.

use crate::record::{Attempt, AttemptEnd, ExecutedAction, ProcessExit, Record};
use crate::scenario::{ActionKind, Scenario};
use std::fmt;
use std::time::Duration;
use tindock_standins::fleet::Role;

/// For so long after unplanned trouble nothing is lost by the rules (`contact_ms` of the stand-ins' settings).
const CONTACT: Duration = Duration::from_secs(5);
/// A request that is not passed on, and ends no later after it was sent, has crossed a close (`loss_slack_ms`).
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// A process that has just been started does not listen to signals yet.
const STARTING: Duration = Duration::from_secs(1);
/// A request that comes so long after SIGTERM is answered by its worker, or told that it has not run.
const LATE: Duration = Duration::from_secs(3);
/// What happens is seen from outside with this delay.
const SEEN_WITHIN: Duration = Duration::from_millis(300);
/// A request that ends so little before its deadline ends by it.
const BY_ITS_DEADLINE: Duration = Duration::from_millis(300);
/// Workers of all functions may turn away so many requests as full within the window (`shed_allowance`).
pub const SHED_ALLOWANCE: usize = 10;
pub const FULL_WINDOW: Duration = Duration::from_secs(5);

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// What a process has read it answers.
    Lost,
    /// What comes late in the grace period is not taken on and then given up.
    GivenUp,
    /// What is refused by a leaving process is told when to come back.
    ToldNothing,
    /// The rules of the stand-ins' ledger: nothing twice, no broken promise, no answer to another.
    Ledger,
    /// A process ends within its grace period.
    Grace,
    /// A process ends by a signal alone, and well.
    Ended,
    /// Workers are not handed more than they hold.
    Limit,
    /// What was acknowledged to the operator is there at the end.
    Configuration,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Duration,
    pub what: String,
    /// The try that it is about.
    pub attempt: Option<Attempt>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.2} s: {}", self.rule, self.at.as_secs_f64(), self.what)
    }
}

/// The rules that were broken, by time.
pub fn find_violations(scenario: &Scenario, record: &Record) -> Vec<Violation> {
    let mut broken = Vec::new();
    for tried in &record.attempts {
        broken.extend(lost(record, tried));
        broken.extend(given_up(record, tried));
        broken.extend(told_nothing(record, tried));
    }
    let ledger = record.findings.iter();
    broken.extend(ledger.map(|finding| of(Rule::Ledger, scenario.length(), finding.to_string())));
    broken.extend(record.executed.iter().filter_map(|done| outlives(scenario, record, done)));
    let outlived = record.outlived.iter();
    broken
        .extend(outlived.map(|name| of(Rule::Grace, scenario.length(), format!("{name} had to be killed"))));
    broken.extend(record.exits.iter().filter_map(|end| ended_by_itself(record, end)));
    broken.extend(overloaded(record));
    broken.extend(configuration_lost(scenario, record));
    broken.sort_by_key(|broken| (broken.at, broken.rule));
    broken
}

fn of(rule: Rule, at: Duration, what: String) -> Violation {
    Violation { rule, at, what, attempt: None }
}

/// Whether there was unplanned trouble in the span, or shortly before it.
fn is_troubled(record: &Record, from: Duration, to: Duration) -> bool {
    let unplanned = record.executed.iter().filter(|done| !done.action.kind.is_planned());
    unplanned.into_iter().any(|done| done.at <= to && done.at + done.action.lasts() + CONTACT >= from)
}

fn about(record: &Record, tried: &Attempt) -> String {
    let place = record.proxy_at(tried.to).map_or_else(|| tried.to.to_string(), |proxy| proxy.name.clone());
    let terminated = record.terminated(&place, Role::Proxy, tried.ended);
    let since = |at: Duration| match terminated {
        Some(terminated) => {
            format!("{:+.2} s after its SIGTERM", at.as_secs_f64() - terminated.as_secs_f64())
        }
        None => format!("at {:.2} s", at.as_secs_f64()),
    };
    format!(
        "{} {} at {place}, on a connection opened {}, sent {}, {} {}",
        tried.class,
        tried.attempt_id,
        since(tried.opened),
        since(tried.sent),
        tried.end,
        since(tried.ended)
    )
}

/// A request that crosses the close of its connection: nobody has passed it on, and its end came at once.
pub fn crosses(tried: &Attempt) -> bool {
    tried.end == AttemptEnd::ClosedUnanswered && !tried.ran && tried.ended <= tried.last_byte + LOSS_SLACK
}

fn lost(record: &Record, tried: &Attempt) -> Option<Violation> {
    let is_lost =
        matches!(tried.end, AttemptEnd::ClosedUnanswered | AttemptEnd::Truncated | AttemptEnd::Malformed);
    let by_deadline = tried.ended + BY_ITS_DEADLINE >= tried.deadline;
    if !is_lost || by_deadline || crosses(tried) || is_troubled(record, tried.sent, tried.ended) {
        return None;
    }
    Some(Violation {
        rule: Rule::Lost,
        at: tried.ended,
        what: about(record, tried),
        attempt: Some(tried.clone()),
    })
}

/// The SIGTERM of the proxy's life that a try met, if it came before the try ended.
fn met_termination(record: &Record, tried: &Attempt) -> Option<Duration> {
    let proxy = record.proxy_at(tried.to)?;
    record.terminated(&proxy.name, Role::Proxy, tried.ended)
}

fn given_up(record: &Record, tried: &Attempt) -> Option<Violation> {
    let terminated = met_termination(record, tried)?;
    let late = tried.sent >= terminated + LATE;
    let by_deadline = tried.ended + BY_ITS_DEADLINE >= tried.deadline;
    let is_given_up = matches!(tried.end.status(), Some(502 | 504));
    if !late || by_deadline || !is_given_up || is_troubled(record, tried.sent, tried.ended) {
        return None;
    }
    Some(Violation {
        rule: Rule::GivenUp,
        at: tried.ended,
        what: about(record, tried),
        attempt: Some(tried.clone()),
    })
}

fn told_nothing(record: &Record, tried: &Attempt) -> Option<Violation> {
    met_termination(record, tried)?;
    let AttemptEnd::Answered { status: 503, retry_after: false } = tried.end else { return None };
    Some(Violation {
        rule: Rule::ToldNothing,
        at: tried.ended,
        what: about(record, tried),
        attempt: Some(tried.clone()),
    })
}

/// A process of a machine that got SIGTERM and did not end in time.
fn outlives(scenario: &Scenario, record: &Record, done: &ExecutedAction) -> Option<Violation> {
    if done.action.kind != ActionKind::Terminate {
        return None;
    }
    // A machine's own program, not the agent beside it, which may end sooner.
    let of_proxy = record.proxies.iter().any(|proxy| proxy.name == done.machine);
    let role = if of_proxy { Role::Proxy } else { Role::Controller };
    if record.terminated(&done.machine, role, done.at) != Some(done.at) {
        return None;
    }
    let ends = || record.exits.iter().filter(|end| end.machine == done.machine && end.role == role);
    if ends().any(|end| end.at <= done.at && done.at <= end.at + STARTING) {
        return None;
    }
    let until = done.at + scenario.grace() + SEEN_WITHIN;
    // What the end of the soak cuts short is told by those that had to be killed; a frozen process cannot end.
    let frozen = record.executed.iter().any(|other| {
        other.machine == done.machine
            && other.action.kind == ActionKind::Freeze
            && other.at <= until
            && other.at + other.action.lasts() >= done.at
    });
    let last_seen = record.exits.iter().map(|end| end.at).max().unwrap_or_default();
    let has_ended = ends().any(|end| (done.at..=until).contains(&end.at));
    if frozen || has_ended || until > last_seen {
        return None;
    }
    Some(of(Rule::Grace, until, format!("{} outlives its grace period", done.machine)))
}

fn ended_by_itself(record: &Record, end: &ProcessExit) -> Option<Violation> {
    let killed = record
        .executed
        .iter()
        .any(|done| done.machine == end.machine && done.action.kind == ActionKind::Kill && done.at <= end.at);
    let signalled = record.executed.iter().any(|done| {
        let kinds = [ActionKind::Kill, ActionKind::Terminate];
        done.machine == end.machine && kinds.contains(&done.action.kind) && done.at <= end.at + SEEN_WITHIN
    });
    let before = record
        .exits
        .iter()
        .filter(|other| (&other.machine, other.role) == (&end.machine, end.role) && other.at < end.at);
    let starting = before.map(|other| other.at).max().is_some_and(|at| end.at < at + STARTING);
    // It ends well with SIGTERM, and badly only with SIGKILL, or before it listens to signals.
    if signalled && (end.succeeded || killed || starting) {
        return None;
    }
    let role = end.role.name();
    Some(of(Rule::Ended, end.at, format!("{} {role} ended by itself: {}", end.machine, end.status)))
}

fn strikes_a_process(done: &ExecutedAction) -> bool {
    matches!(done.action.kind, ActionKind::Terminate | ActionKind::Kill | ActionKind::Freeze)
}

/// Among the moments that count: the most requests that were turned away as full within the window, and when it ended.
pub fn worst_full(record: &Record, counts: impl Fn(Duration) -> bool) -> (usize, Duration) {
    let mut worst = (0, Duration::ZERO);
    for count in &record.full {
        let before = record.full.iter().filter(|other| other.at + FULL_WINDOW <= count.at);
        let base = before.map(|other| other.turned_away).max().unwrap_or_default();
        let turned_away = count.turned_away - base.min(count.turned_away);
        if turned_away > worst.0 && counts(count.at) {
            worst = (turned_away, count.at);
        }
    }
    worst
}

/// Only what machines in touch hand to workers counts; who that was is not seen from outside, so all have to be.
fn overloaded(record: &Record) -> Option<Violation> {
    let in_touch = |at: Duration| {
        let from = at.saturating_sub(FULL_WINDOW + CONTACT);
        !record.executed.iter().any(|done| strikes_a_process(done) && (from..=at).contains(&done.at))
    };
    let (turned_away, at) = worst_full(record, in_touch);
    let what = format!("{turned_away} requests turned away as full within {} s", FULL_WINDOW.as_secs());
    (turned_away > SHED_ALLOWANCE).then(|| of(Rule::Limit, at, what))
}

fn configuration_lost(scenario: &Scenario, record: &Record) -> Option<Violation> {
    let acknowledged = record.changes.iter().filter(|change| change.acknowledged.is_some());
    let newest = acknowledged.map(|change| change.revision).max()?;
    let shown = record.shown.unwrap_or_default();
    let what = format!("revision {shown} is read back, {newest} was acknowledged");
    (shown < newest).then(|| of(Rule::Configuration, scenario.length(), what))
}
