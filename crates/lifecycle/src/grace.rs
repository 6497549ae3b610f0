//! The grace period between SIGTERM and SIGKILL, and how it is divided.

use crate::defects::{injected, Defect};
use std::time::Duration;

/// Senders of work check readiness each second, and take two failures in a row as not ready: after
/// three seconds all of them know that this process leaves.
const LEAVING_NOTICED: Duration = Duration::from_secs(3);
/// Time before SIGKILL for work that is aborted: to answer it, and to end.
const FINAL_REPLIES: Duration = Duration::from_millis(500);
/// How long a request takes to reach a process once its client has a connection.
const REQUEST_LATENCY: Duration = Duration::from_millis(200);
/// How long a reply takes from a worker to the client.
const REPLY_LATENCY: Duration = Duration::from_millis(100);

/// Times after SIGTERM, in this order: admission ends, requests in flight have arrived, work must be done,
/// the rest is aborted, the process ends, SIGKILL is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GracePeriod {
    length: Duration,
}

impl GracePeriod {
    /// A grace period of this length, as set in the configuration.
    pub fn new(length: Duration) -> GracePeriod {
        let length = if injected(Defect::OutlivesGrace) { length * 2 } else { length };
        GracePeriod { length }
    }

    /// Until then new requests are admitted: this is how long others take to notice that this process leaves.
    pub fn admission(&self) -> Duration {
        LEAVING_NOTICED.min(self.length / 2)
    }

    /// The process does not end before this: requests that were in flight when admission ended have arrived
    /// by then.
    pub fn earliest_end(&self) -> Duration {
        self.admission() + REQUEST_LATENCY.min(self.length / 10)
    }

    /// Until then work must be done, so that its reply is sent in time.
    pub fn work_deadline(&self) -> Duration {
        self.abort_at().saturating_sub(REPLY_LATENCY.min(self.length / 20))
    }

    /// Work that is not answered by then is aborted, and answered.
    pub fn abort_at(&self) -> Duration {
        self.length - self.reserve()
    }

    /// The process ends then at the latest.
    pub fn end(&self) -> Duration {
        self.length - self.reserve() / 2
    }

    /// Limits the time for the end to a part of a short grace period.
    fn reserve(&self) -> Duration {
        FINAL_REPLIES.min(self.length / 4)
    }
}
