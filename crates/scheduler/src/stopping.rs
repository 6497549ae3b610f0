//! The end of a planned restart: answers all that was taken, then ends.

use crate::door::Door;
use crate::exchange::Exchange;
use std::cell::Cell;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::Instant;

/// Clients learn of the end some tenths of a second late, and go on coming until then.
const NEWCOMERS: Duration = Duration::from_millis(600);
/// A planned restart kills what is left some 3.7 s after it asked for the end: what is unanswered by then would
/// end without any answer, so it is broken off before, with time for the answers to be written.
const LONGEST: Duration = Duration::from_millis(3300);
/// Nobody came for this long: none are on their way.
const QUIET: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(10);

#[derive(Default)]
pub struct Stopping {
    asked: Cell<bool>,
    last: Cell<Option<Instant>>,
}

impl Stopping {
    pub fn is_asked(&self) -> bool {
        self.asked.get()
    }

    pub fn newcomer(&self) {
        self.last.set(Some(Instant::now()));
    }

    /// Ends once the process may end: told to, all answered, and nobody comes any more.
    pub async fn over(&self, mut told: Signal, door: &Door, exchange: &Exchange) {
        told.recv().await;
        self.asked.set(true);
        let told = Instant::now();
        door.dismiss_all();
        loop {
            tokio::time::sleep(LOOK).await;
            if told.elapsed() >= LONGEST {
                exchange.close();
            }
            let quiet = self.last.get().is_none_or(|last| last.elapsed() >= QUIET);
            if told.elapsed() >= NEWCOMERS && quiet && door.is_quiet() {
                return;
            }
        }
    }
}
