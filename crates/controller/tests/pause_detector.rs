//! A process that stood still does not take old messages for fresh ones.

use std::time::Duration;
use tindock_controller::{PauseDetector, DISTRUST_AFTER_PAUSE, PAUSE_THRESHOLD};

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn a_loop_that_turns_is_trusted() {
    let mut pause_detector = PauseDetector::default();
    for n in 0..100 {
        assert!(!pause_detector.observe(MS(500 * n)));
        assert!(pause_detector.is_fresh(MS(500 * n)));
    }
}

#[test]
fn after_a_pause_contact_is_built_anew() {
    let mut pause_detector = PauseDetector::default();
    pause_detector.observe(MS(300));
    let woke = MS(300) + PAUSE_THRESHOLD + MS(1);
    assert!(pause_detector.observe(woke));
    assert!(!pause_detector.observe(woke + MS(1)), "said once");
    assert!(!pause_detector.is_fresh(woke));
    assert!(!pause_detector.is_fresh(woke + DISTRUST_AFTER_PAUSE - MS(1)));
    assert!(pause_detector.is_fresh(woke + DISTRUST_AFTER_PAUSE));
}
