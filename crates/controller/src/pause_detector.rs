//! Whether what was heard can be fresh: a process that stood still reads on waking what was sent to it long before.

use std::time::Duration;

/// The caller's loop turns more often than this; a longer pause means that the process stood still.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);
/// After such a pause nothing heard counts as fresh for so long. The control store's own contact is the age of an answered
/// stamp, which a pause makes no younger; this comes on top of it.
pub const DISTRUST_AFTER_PAUSE: Duration = Duration::from_millis(1400);

/// Watches the caller's loop for pauses.
#[derive(Debug, Default)]
pub struct PauseDetector {
    last_turn: Duration,
    woke: Option<Duration>,
}

impl PauseDetector {
    /// To be called at each turn, before what came meanwhile is taken; true where the process has just stood still.
    pub fn observe(&mut self, now: Duration) -> bool {
        let stood_still = now > self.last_turn + PAUSE_THRESHOLD;
        self.last_turn = self.last_turn.max(now);
        if stood_still {
            self.woke = Some(now);
        }
        stood_still
    }

    /// Whether a message taken lately was also sent lately.
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.woke.is_none_or(|woke| now >= woke + DISTRUST_AFTER_PAUSE)
    }
}
