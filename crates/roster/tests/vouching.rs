//! How far an old list is believed.

use std::time::Duration;
use tindock_roster::vouching::Vouching;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn while_lists_come_signs_change_nothing() {
    let mut vouching = Vouching::new(ms(1000));
    for at in (1000..20_000).step_by(500) {
        assert_eq!(vouching.confirmed(ms(at)).count(), 0);
        assert_eq!(vouching.sign(ms(at + 499), 3), None);
        assert!(!vouching.leaves_out(ms(at + 499), 3));
    }
}

#[test]
fn on_an_old_list_a_worker_stays_out_until_there_is_a_list() {
    let mut vouching = Vouching::new(ms(1000));
    let until = vouching.sign(ms(1700), 3).expect("left out");
    assert!(vouching.leaves_out(ms(1700), 3) && !vouching.leaves_out(ms(1700), 2));
    assert!(vouching.leaves_out(until - ms(1), 3) && !vouching.leaves_out(until, 3));
    assert_eq!(vouching.confirmed(ms(1800)).collect::<Vec<_>>(), [3]);
    assert!(!vouching.leaves_out(ms(1800), 3));
}

/// Guards against a fleet that is just full and stays out as long as no list comes; and against one that is gone and
/// is met again and again.
#[test]
fn without_any_list_spells_end_and_grow() {
    let mut vouching = Vouching::new(ms(0));
    let (mut at, mut spells) = (ms(1000), Vec::new());
    for _ in 0..6 {
        let until = vouching.sign(at, 0).expect("left out");
        assert_eq!(vouching.sign(at, 0), Some(until), "tasks sent together give one sign");
        spells.push((until - at).as_secs());
        at = until;
    }
    assert_eq!(spells, [2, 4, 8, 16, 16, 16]);
}
