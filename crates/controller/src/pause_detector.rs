//! Detects pauses of the process: after a suspension it reads messages that were sent long before.

use std::time::Duration;

/// The caller's loop runs more often than this; a longer gap means that the process was suspended.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);
/// After a pause, no received message counts as recent for this long. The control store's own contact is
/// based on the age of an answered stamp, which a pause does not make younger; this delay comes on top of it.
pub const DISTRUST_AFTER_PAUSE: Duration = Duration::from_millis(1400);

/// Observes the caller's loop for pauses.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_observed: Duration,
    resumed_at: Option<Duration>,
}

impl PauseDetector {
    /// Must be called at each iteration, before waiting messages are received; returns true if the process
    /// has just been suspended.
    pub fn observe(&mut self, now: Duration) -> bool {
        let paused = now > self.last_observed + PAUSE_THRESHOLD;
        self.last_observed = self.last_observed.max(now);
        if paused {
            self.resumed_at = Some(now);
        }
        paused
    }

    /// Whether a message received recently was also sent recently.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.resumed_at.is_none_or(|resumed_at| now >= resumed_at + DISTRUST_AFTER_PAUSE)
    }
}
