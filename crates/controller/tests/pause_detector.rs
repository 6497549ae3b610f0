//! Guards against a suspended process that treats old messages as recent.

use std::time::Duration;
use tindock_controller::{PauseDetector, DISTRUST_AFTER_PAUSE, PAUSE_THRESHOLD};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_regular_loop_keeps_messages_fresh() {
    let mut pause_detector = PauseDetector::default();
    for n in 0..100 {
        assert!(!pause_detector.observe(MS(500 * n)));
        assert!(pause_detector.is_fresh(MS(500 * n)));
    }
}

#[test]
fn messages_are_not_fresh_for_a_while_after_a_pause() {
    let mut pause_detector = PauseDetector::default();
    pause_detector.observe(MS(300));
    let resumed_at = MS(300) + PAUSE_THRESHOLD + MS(1);
    assert!(pause_detector.observe(resumed_at));
    assert!(!pause_detector.observe(resumed_at + MS(1)), "a pause is reported once");
    assert!(!pause_detector.is_fresh(resumed_at));
    assert!(!pause_detector.is_fresh(resumed_at + DISTRUST_AFTER_PAUSE - MS(1)));
    assert!(pause_detector.is_fresh(resumed_at + DISTRUST_AFTER_PAUSE));
}
