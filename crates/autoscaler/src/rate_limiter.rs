//! Limits the calls to the platform in any sliding window of one second.

use std::collections::VecDeque;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(crate) struct RateLimiter {
    limit: usize,
    /// Times of the calls within the last second.
    calls: VecDeque<Duration>,
    /// After a 429: no calls before this time, and half the rate for a second after it.
    paused_until: Duration,
}

impl RateLimiter {
    pub(crate) fn new(per_second: f64) -> RateLimiter {
        let limit = if per_second.is_finite() { per_second.clamp(1.0, 10_000.0) as usize } else { 1 };
        RateLimiter { limit, calls: VecDeque::new(), paused_until: Duration::ZERO }
    }

    fn limit_at(&self, now: Duration) -> usize {
        if now < self.paused_until + SECOND && self.paused_until > Duration::ZERO {
            (self.limit / 2).max(1)
        } else {
            self.limit
        }
    }

    fn prune(&mut self, now: Duration) {
        while self.calls.front().is_some_and(|t| *t + SECOND <= now) {
            self.calls.pop_front();
        }
    }

    /// How many calls may be made now.
    pub(crate) fn remaining(&mut self, now: Duration) -> usize {
        if now < self.paused_until {
            return 0;
        }
        self.prune(now);
        self.limit_at(now).saturating_sub(self.calls.len())
    }

    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    pub(crate) fn record_call(&mut self, now: Duration) {
        self.calls.push_back(now);
    }

    pub(crate) fn throttled(&mut self, now: Duration, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// When the next call may be made.
    pub(crate) fn next_allowed(&self, now: Duration) -> Duration {
        let limit = self.limit_at(now.max(self.paused_until));
        let by_rate = match self.calls.len().checked_sub(limit) {
            Some(excess) => self.calls.get(excess).map_or(now, |t| *t + SECOND),
            None => now,
        };
        by_rate.max(self.paused_until).max(now)
    }
}
