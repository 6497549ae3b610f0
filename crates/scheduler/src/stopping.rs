//! The end of a planned restart: answers all that was taken, then ends.

use crate::door::Door;
use crate::exchange::Exchange;
use slog::{info, Logger};
use std::cell::Cell;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::Instant;

/// Clients learn of the end some tenths of a second late, and go on coming until then.
const NEWCOMERS: Duration = Duration::from_millis(600);
/// A planned restart kills what is left no sooner than this after the longest hard limit, of which it waits for so
/// much at the most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// Answers that nobody reads are not waited for.
const UNREAD: Duration = Duration::from_millis(200);
/// What is unanswered at the kill would end without any answer, so it is broken off this long before: time for the
/// answers to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// No client came with a task for this long: none are on their way. Crowds that ask for nothing do not count.
const QUIET: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(10);

pub struct Stopping {
    /// When what is unanswered is broken off, from when it was told to stop.
    longest: Cell<Duration>,
    closing: Cell<bool>,
    told: Cell<bool>,
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
            told: Cell::new(false),
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
        self.told.get()
    }

    /// Another process lets the newcomers in from now on, or does no longer.
    pub fn succeeded(&self, succeeded: bool) {
        self.succeeded.set(succeeded);
        self.closing.set(succeeded);
    }

    pub fn newcomer(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// Ends once the process may end: told to, all answered, and nobody comes any more.
    pub async fn over(&self, mut told: Signal, door: &Door, exchange: &Exchange, open: &Cell<bool>) {
        told.recv().await;
        open.set(false);
        let told = Instant::now();
        info!(self.log, "told to stop: what is in hand has {:.1} s", self.longest.get().as_secs_f64());
        self.closing.set(true);
        self.told.set(true);
        door.dismiss_all();
        loop {
            tokio::time::sleep(LOOK).await;
            if told.elapsed() >= self.longest.get() {
                exchange.close();
            }
            let quiet = self.last.get().is_none_or(|last| last.elapsed() >= QUIET);
            let (last_clients, nobody_comes) = match self.succeeded.get() {
                true => (told, true),
                false => (told + NEWCOMERS, told.elapsed() >= NEWCOMERS && quiet),
            };
            let unread = told.elapsed() >= self.longest.get() + UNREAD;
            if nobody_comes && door.is_quiet(last_clients) || unread {
                return;
            }
        }
    }
}
