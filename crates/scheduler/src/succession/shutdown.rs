//! State of a planned shutdown: whether it was requested, whether a new process has taken over, and the
//! deadline for tasks in progress. The client listener reads it; `draining` carries the shutdown out.

use slog::{info, Logger};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The platform kills a process in a planned restart no sooner than this after the longest hard limit.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// The platform waits for at most this much of the longest hard limit.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// A task still unanswered at the kill would get no answer at all, so tasks are aborted this long before it:
/// time to write the error answers.
const ANSWER_TIME: Duration = Duration::from_millis(400);

pub struct Shutdown {
    /// Time from the shutdown request until unanswered tasks are aborted.
    drain_limit: Cell<Duration>,
    closing: Cell<bool>,
    requested_at: Cell<Option<Instant>>,
    /// Whether a new process accepts the new clients.
    succeeded: Cell<bool>,
    /// Arrival of the latest task.
    last_task: Cell<Option<Instant>>,
    log: Logger,
}

impl Shutdown {
    pub fn new(log: Logger) -> Self {
        let drain_limit = Cell::new(MAX_WAIT);
        Shutdown {
            drain_limit,
            closing: Cell::new(false),
            requested_at: Cell::new(None),
            succeeded: Cell::new(false),
            last_task: Cell::new(None),
            log,
        }
    }

    /// Takes the longest hard limit of all tasks that may be in progress.
    pub fn set_hard_limit(&self, hard_limit: Duration) {
        self.drain_limit.set(hard_limit.min(MAX_WAIT) + KILL_AFTER - ANSWER_TIME);
    }

    /// Whether connections are closed after the current message.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    pub fn is_requested(&self) -> bool {
        self.requested_at.get().is_some()
    }

    /// Records whether a new process accepts the new clients instead of this one.
    pub fn set_succeeded(&self, succeeded: bool) {
        self.succeeded.set(succeeded);
        self.closing.set(succeeded);
    }

    pub fn record_task(&self) {
        self.last_task.set(Some(Instant::now()));
    }

    /// Starts the shutdown. Returns the time until unanswered tasks are aborted.
    pub fn begin(&self) -> Duration {
        info!(
            self.log,
            "shutting down: tasks in progress have {:.1} s to finish",
            self.drain_limit.get().as_secs_f64()
        );
        self.closing.set(true);
        self.requested_at.set(Some(Instant::now()));
        self.drain_limit.get()
    }

    /// The time until unanswered tasks are aborted; none before a shutdown was requested.
    pub fn time_left(&self) -> Option<Duration> {
        let requested_at = self.requested_at.get()?;
        Some(self.drain_limit.get().saturating_sub(requested_at.elapsed()))
    }

    pub fn is_succeeded(&self) -> bool {
        self.succeeded.get()
    }

    /// Whether no task has arrived for this long.
    pub fn is_quiet(&self, period: Duration) -> bool {
        self.last_task.get().is_none_or(|last| last.elapsed() >= period)
    }
}
