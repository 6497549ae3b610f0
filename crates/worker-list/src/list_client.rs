//! The decision logic of the list client: what to query on which connection, when to retry, when a call
//! counts as lost, when the full list is needed, and which answers are too old to accept.
//!
//! The host calls `next_step` until it returns none, executes the steps, and reports the results by
//! `connected`, `on_response` and `on_failure`. It calls again after each input and when `next_due` has
//! passed. Connections are identified by numbers until a step closes them or the host has reported their
//! failure.

use oorandom::Rand64;
use std::time::Duration;

/// The kind of discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// An agent on the local machine: calls follow one another, and each may wait for an update for up to
    /// `max_wait` (long polling).
    Agent { max_wait: Duration },
    /// A service shared and paid for by all schedulers: one call subscribes until the connection breaks and
    /// is repeated with growing back-off of at most half of `max_staleness`. After `max_staleness` without a
    /// message all changes count as delivered.
    Shared { max_staleness: Duration },
}

/// The next action of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open a connection with this number.
    Connect { connection: u64 },
    /// Query changes since version `after`, letting the answer wait up to `wait` for one; without `after`,
    /// the full list.
    Query { connection: u64, after: Option<u64>, wait: Duration },
    /// Close the connection, whatever is in progress on it.
    Close { connection: u64 },
}

/// Whether an answer is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Apply it.
    Accept,
    /// It is older than the held version, or contains changes to another version: do not apply it.
    Stale,
}

/// Long-poll wait for a nearby agent: short enough that an agent that dropped a call or lost its answer is
/// queried again within `HEDGE_NEW`. Five calls a second cost some 0.05% of a core.
pub const SHORT_WAIT: Duration = Duration::from_millis(200);
/// Long-poll wait where each answer may be lost or is costly for the agent: fewer answers, fewer failures.
pub const LONG_WAIT: Duration = Duration::from_millis(1000);
/// A call without a complete answer for this long, beyond its wait, is hedged by another one on a connection
/// of its own. An agent that has to forward the first query on a connection took 0.26 to 0.28 s for it.
const HEDGE_NEW: Duration = Duration::from_millis(290);
/// The same for a call on a connection that has answered before: a round trip only.
const HEDGE_REUSED: Duration = Duration::from_millis(90);
/// A call without a complete answer for this long, beyond its wait, is lost. The slowest successful ones took
/// 0.57 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Concurrent calls at most: as many as start until the first one is lost.
const MAX_CONNECTIONS: usize = 4;
/// Back-off after successive failures at an agent. The first retry is immediate, as one aborted answer says
/// nothing about the next; then the back-off grows to a bound below the time that a drain may take.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
const MAX_BACKOFF: Duration = Duration::from_millis(240);
/// An agent that answers with older versions for this long has reset its version counter. Before that it
/// counts as restarted and not yet up to date, and a worker that it reports as ready may be draining.
const RESET_AFTER: Duration = Duration::from_secs(2);
/// Interval between full lists that are older than the held one.
const STALE_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// First back-off at a shared service; it doubles at most three times.
const SHARED_BACKOFF_S: f64 = 0.5;
const MAX_DOUBLINGS: u32 = 3;

/// A connection with a call in progress.
#[derive(Clone, Copy, Debug)]
struct Connection {
    number: u64,
    up: bool,
    /// Whether its query has been sent.
    queried: bool,
    /// When another call is started beside it, and when it is lost.
    hedge_at: Duration,
    lost_at: Duration,
}

pub struct ListClient {
    service: Service,
    rng: Rand64,
    connections: Vec<Connection>,
    /// The connection that answered last, with no call in progress.
    idle: Option<u64>,
    /// At a shared service: changes are pushed.
    subscribed: bool,
    /// Connections to be closed.
    to_close: Vec<u64>,
    next_number: u64,
    /// The held version, and whether the full list is needed nevertheless.
    held_version: Option<u64>,
    need_full: bool,
    /// No new call before this time.
    not_before: Duration,
    /// Failures in a row.
    failures: u32,
    /// Since when answers are older than the held version.
    behind_since: Option<Duration>,
}

impl ListClient {
    /// `held_version` is the version of the list known at the start. `seed` spreads the back-off of
    /// schedulers that failed together at a shared service.
    pub fn new(service: Service, held_version: Option<u64>, seed: u64) -> Self {
        ListClient {
            service,
            rng: Rand64::new(u128::from(seed)),
            connections: Vec::new(),
            idle: None,
            subscribed: false,
            to_close: Vec::new(),
            next_number: 0,
            held_version,
            need_full: held_version.is_none(),
            not_before: Duration::ZERO,
            failures: 0,
            behind_since: None,
        }
    }

    // ---- inputs ----

    /// The connection is established.
    pub fn connected(&mut self, connection: u64) {
        self.connections.iter_mut().filter(|c| c.number == connection).for_each(|c| c.up = true);
    }

    /// A complete answer arrived; `full` if it contains the full list rather than changes. Changes pushed by
    /// a shared service are reported the same way and may still arrive after a failure.
    pub fn on_response(&mut self, now: Duration, connection: u64, index: u64, full: bool) -> Verdict {
        let queried = self.connections.iter().any(|c| c.number == connection && c.queried);
        if queried {
            let others = self.connections.drain(..).map(|c| c.number).filter(|&number| number != connection);
            self.to_close.extend(others);
            self.failures = 0;
            match self.service {
                Service::Agent { .. } => self.to_close.extend(self.idle.replace(connection)),
                Service::Shared { .. } => self.subscribed = true,
            }
        }
        let older = self.held_version.is_some_and(|held| index < held);
        let now_behind = older.then(|| *self.behind_since.get_or_insert(now));
        let counter_reset = now_behind.is_some_and(|since| full && now.saturating_sub(since) >= RESET_AFTER);
        if counter_reset || !older && (full || !self.need_full) {
            (self.held_version, self.need_full, self.behind_since) = (Some(index), false, None);
            return Verdict::Accept;
        }
        // Guards against sending to a worker that was told to drain: an older list may name it ready.
        if full {
            self.not_before = now + STALE_RETRY_INTERVAL;
        }
        self.need_full = true;
        Verdict::Stale
    }

    /// The call on this connection failed, or the subscription to a shared service broke.
    pub fn on_failure(&mut self, now: Duration, connection: u64) {
        let before = self.connections.len();
        self.connections.retain(|c| c.number != connection);
        let was_idle = self.idle == Some(connection);
        if self.connections.len() == before && !was_idle && !self.subscribed {
            return;
        }
        self.subscribed = false;
        self.idle = self.idle.filter(|&idle| idle != connection);
        self.failures += 1;
        let doublings = self.failures - 1;
        let backoff = match self.service {
            Service::Agent { .. } if doublings == 0 => Duration::ZERO,
            Service::Agent { .. } => (MIN_BACKOFF * (1 << (doublings - 1).min(8))).min(MAX_BACKOFF),
            Service::Shared { max_staleness } => {
                let jitter = 0.75 + 0.5 * self.rng.rand_float();
                let backoff = SHARED_BACKOFF_S * f64::from(1 << doublings.min(MAX_DOUBLINGS)) * jitter;
                Duration::from_secs_f64(backoff).min(max_staleness / 2)
            }
        };
        self.not_before = now + backoff;
    }

    /// The service has moved. Versions of the old one have no meaning at the new one, so the full list is
    /// requested at once, regardless of any back-off.
    pub fn relocated(&mut self) {
        self.to_close.extend(self.connections.drain(..).map(|c| c.number));
        self.to_close.extend(self.idle.take());
        (self.subscribed, self.held_version, self.need_full, self.behind_since) = (false, None, true, None);
        (self.failures, self.not_before) = (0, Duration::ZERO);
    }

    // ---- outputs ----

    /// The next step; none until an input arrives or `next_due` has passed.
    pub fn next_step(&mut self, now: Duration) -> Option<Step> {
        if let Some(at) = self.connections.iter().position(|c| c.lost_at <= now) {
            // No back-off: the response time-out already spaces these attempts.
            self.to_close.push(self.connections.remove(at).number);
            self.failures += 1;
        }
        if let Some(connection) = self.to_close.pop() {
            return Some(Step::Close { connection });
        }
        if let Some(at) = self.connections.iter().position(|c| c.up && !c.queried) {
            let (connection, after) =
                (self.connections[at].number, self.held_version.filter(|_| !self.need_full));
            self.connections[at].queried = true;
            // The first call on a connection does not wait, so that it shows at once whether the agent works.
            return Some(Step::Query { connection, after, wait: Duration::ZERO });
        }
        if self.subscribed || now < self.next_call_at()? {
            return None;
        }
        if let Some(connection) = self.idle.take() {
            let (after, wait) = match self.service {
                Service::Agent { max_wait } if !self.need_full => (self.held_version, max_wait),
                _ => (None, Duration::ZERO),
            };
            let (hedge_at, lost_at) = (now + wait + HEDGE_REUSED, now + wait + RESPONSE_TIMEOUT);
            self.connections.push(Connection {
                number: connection,
                up: true,
                queried: true,
                hedge_at,
                lost_at,
            });
            return Some(Step::Query { connection, after, wait });
        }
        let (hedge_at, lost_at) = match self.service {
            Service::Agent { .. } => (now + HEDGE_NEW, now + RESPONSE_TIMEOUT),
            // A shared service always answers, or its failure is reported.
            Service::Shared { .. } => (Duration::MAX, Duration::MAX),
        };
        let number = self.next_number;
        self.next_number += 1;
        self.connections.push(Connection { number, up: false, queried: false, hedge_at, lost_at });
        Some(Step::Connect { connection: number })
    }

    /// When another call may start: at once if none is in progress, beside others when those are overdue.
    fn next_call_at(&self) -> Option<Duration> {
        let hedge_due = self.connections.iter().map(|c| c.hedge_at).max().unwrap_or(Duration::ZERO);
        (self.connections.len() < MAX_CONNECTIONS).then_some(hedge_due.max(self.not_before))
    }

    /// When `next_step` must be called again if no input arrives before.
    pub fn next_due(&self) -> Duration {
        let lost_at = self.connections.iter().map(|c| c.lost_at);
        let next_call = self.next_call_at().filter(|_| !self.subscribed);
        lost_at.chain(next_call).min().unwrap_or(Duration::MAX)
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
