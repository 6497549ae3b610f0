//! The grace period between SIGTERM and SIGKILL, and how it is divided.

use crate::defects::{injected, Defect};
use std::time::Duration;

/// Those who send work look for readiness each second, and take two misses in a row as a no: after three seconds all who
/// look know that this process leaves.
const LEAVING_NOTICED: Duration = Duration::from_secs(3);
/// Before SIGKILL, for what is broken off then: time to answer it, and to end.
const FINAL_REPLIES: Duration = Duration::from_millis(500);
/// A request needs so long to a process, once its client has a connection.
const REQUEST_LATENCY: Duration = Duration::from_millis(200);
/// An answer needs so long from a worker to the client.
const REPLY_LATENCY: Duration = Duration::from_millis(100);

/// Times after SIGTERM, in this order: admission ends, what was on its way has come, work has to be done, the rest is broken off, the process ends,
/// SIGKILL comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    length: Duration,
}

impl GracePeriod {
    /// A grace period of this length, as the settings tell it.
    pub fn new(length: Duration) -> GracePeriod {
        let length = if injected(Defect::OutlivesGrace) { length * 2 } else { length };
        GracePeriod { length }
    }

    /// Until then newcomers are taken on: it takes others so long to learn that this process leaves.
    pub fn admission(&self) -> Duration {
        LEAVING_NOTICED.min(self.length / 2)
    }

    /// The process ends no sooner: requests that were on their way when admission ended have come by then.
    pub fn earliest_end(&self) -> Duration {
        self.admission() + REQUEST_LATENCY.min(self.length / 10)
    }

    /// Until then work has to be done, so that its answer goes out in time.
    pub fn work_deadline(&self) -> Duration {
        self.abort().saturating_sub(REPLY_LATENCY.min(self.length / 20))
    }

    /// What is unanswered then is broken off, and answered.
    pub fn abort(&self) -> Duration {
        self.length - self.reserve()
    }

    /// The process ends then at the latest.
    pub fn end(&self) -> Duration {
        self.length - self.reserve() / 2
    }

    /// A short grace period is not spent on its end alone.
    fn reserve(&self) -> Duration {
        FINAL_REPLIES.min(self.length / 4)
    }
}
