//! Exclusion of workers while the list is stale.

use std::time::Duration;
use tindock_worker_list::suspicion::Suspicion;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn signs_have_no_effect_while_the_list_is_confirmed() {
    let mut suspicion = Suspicion::new(ms(1000));
    for at in (1000..20_000).step_by(500) {
        assert_eq!(suspicion.list_confirmed(ms(at)).count(), 0);
        assert_eq!(suspicion.report_sign(ms(at + 499), 3), None);
        assert!(!suspicion.is_suspected(ms(at + 499), 3));
    }
}

#[test]
fn on_a_stale_list_a_sign_excludes_a_worker_until_the_list_is_confirmed() {
    let mut suspicion = Suspicion::new(ms(1000));
    let until = suspicion.report_sign(ms(1700), 3).expect("excluded");
    assert!(suspicion.is_suspected(ms(1700), 3) && !suspicion.is_suspected(ms(1700), 2));
    assert!(suspicion.is_suspected(until - ms(1), 3) && !suspicion.is_suspected(until, 3));
    assert_eq!(suspicion.list_confirmed(ms(1800)).collect::<Vec<_>>(), [3]);
    assert!(!suspicion.is_suspected(ms(1800), 3));
}

/// Guards against a fleet that is merely full and stays excluded as long as no list arrives, and against a
/// worker that is gone and is tried again and again.
#[test]
fn without_any_list_exclusions_end_and_grow() {
    let mut suspicion = Suspicion::new(ms(0));
    let (mut at, mut exclusions) = (ms(1000), Vec::new());
    for _ in 0..6 {
        let until = suspicion.report_sign(at, 0).expect("excluded");
        assert_eq!(suspicion.report_sign(at, 0), Some(until), "tasks sent together give one sign");
        exclusions.push((until - at).as_secs());
        at = until;
    }
    assert_eq!(exclusions, [2, 4, 8, 16, 16, 16]);
}
