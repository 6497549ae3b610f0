//! Calls to the platform stay under its rate: so many in any second.

use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct Pace {
    most: usize,
    /// Calls in the last second.
    made: VecDeque<Duration>,
    /// After a 429: nothing before this, and half the rate until a second later.
    pause: Duration,
}

impl Pace {
    pub(crate) fn new(a_second: f64) -> Pace {
        let most = if a_second.is_finite() { a_second.clamp(1.0, 10_000.0) as usize } else { 1 };
        Pace { most, made: VecDeque::new(), pause: Duration::ZERO }
    }

    fn most_at(&self, now: Duration) -> usize {
        if now < self.pause + SECOND && self.pause > Duration::ZERO {
            (self.most / 2).max(1)
        } else {
            self.most
        }
    }

    fn clean(&mut self, now: Duration) {
        while self.made.front().is_some_and(|t| *t + SECOND <= now) {
            self.made.pop_front();
        }
    }

    /// How many calls may be made now.
    pub(crate) fn left(&mut self, now: Duration) -> usize {
        if now < self.pause {
            return 0;
        }
        self.clean(now);
        self.most_at(now).saturating_sub(self.made.len())
    }

    pub(crate) fn most(&self) -> usize {
        self.most
    }

    pub(crate) fn made(&mut self, now: Duration) {
        self.made.push_back(now);
    }

    pub(crate) fn refused(&mut self, now: Duration, pause: Duration) {
        self.pause = self.pause.max(now + pause);
    }

    /// When a call may be made.
    pub(crate) fn free_at(&self, now: Duration) -> Duration {
        let most = self.most_at(now.max(self.pause));
        let by_rate = match self.made.len().checked_sub(most) {
            Some(over) => self.made.get(over).map_or(now, |t| *t + SECOND),
            None => now,
        };
        by_rate.max(self.pause).max(now)
    }
}
