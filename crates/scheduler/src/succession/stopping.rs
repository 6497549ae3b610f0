//! How far a planned restart is: told to end, succeeded by another process, when what is in hand has to be over. The
//! door asks it; `leaving` carries it out.

use slog::{info, Logger};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A planned restart kills what is left no sooner than this after the longest hard limit, of which it waits for so
/// much at the most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// What is unanswered at the kill would end without any answer, so it is broken off this long before: time for the
/// answers to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(400);

pub struct Stopping {
    /// When what is unanswered is broken off, from when it was told to stop.
    longest: Cell<Duration>,
    closing: Cell<bool>,
    /// When it was told to end.
    told: Cell<Option<Instant>>,
    /// Another process lets the newcomers in.
    succeeded: Cell<bool>,
    last: Cell<Option<Instant>>,
    log: Logger,
}

impl Stopping {
    pub fn new(log: Logger) -> Self {
        let longest = Cell::new(LONGEST_WAIT);
        Stopping {
            longest,
            closing: Cell::new(false),
            told: Cell::new(None),
            succeeded: Cell::new(false),
            last: Cell::new(None),
            log,
        }
    }

    /// The longest hard limit of all that may be in hand.
    pub fn reaches(&self, hard_limit: Duration) {
        self.longest.set(hard_limit.min(LONGEST_WAIT) + KILL_AFTER - LAST_ANSWERS);
    }

    /// Whether connections end after the message in hand.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    pub fn is_told(&self) -> bool {
        self.told.get().is_some()
    }

    /// Another process lets the newcomers in from now on, or does no longer.
    pub fn succeeded(&self, succeeded: bool) {
        self.succeeded.set(succeeded);
        self.closing.set(succeeded);
    }

    pub fn newcomer(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// Told to end. Gives when what is unanswered is broken off, counted from now.
    pub fn begin(&self) -> Duration {
        info!(self.log, "told to stop: what is in hand has {:.1} s", self.longest.get().as_secs_f64());
        self.closing.set(true);
        self.told.set(Some(Instant::now()));
        self.longest.get()
    }

    /// The time until what is unanswered is broken off, once it is told to end.
    pub fn time_left(&self) -> Option<Duration> {
        let told = self.told.get()?;
        Some(self.longest.get().saturating_sub(told.elapsed()))
    }

    pub fn is_succeeded(&self) -> bool {
        self.succeeded.get()
    }

    /// Whether no task came for so long.
    pub fn is_quiet(&self, long: Duration) -> bool {
        self.last.get().is_none_or(|last| last.elapsed() >= long)
    }
}
