//! The clock of the decision module. It starts at some days rather than at zero, because workers may have
//! started before this process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock's reading at the start. Workers that started earlier than this range count as started long ago.
const AT_START: Duration = Duration::from_secs(10 * 24 * 3600);

#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix }
    }

    pub fn now(&self) -> Duration {
        AT_START + self.origin.elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at.saturating_sub(AT_START)
    }

    /// Converts a time of this clock to Unix time.
    pub fn to_unix_ms(&self, at: Duration) -> u64 {
        (self.unix + at).saturating_sub(AT_START).as_millis() as u64
    }

    /// Converts Unix time to this clock; none if it lies before the clock's zero.
    pub fn from_unix_ms(&self, ms: u64) -> Option<Duration> {
        (AT_START + Duration::from_millis(ms)).checked_sub(self.unix).filter(|at| !at.is_zero())
    }
}
