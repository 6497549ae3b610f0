//! Members whose steady clocks drift by up to a tenth, and start at different times.

use std::cell::Cell;

use super::*;

/// Per mille of true time: the fastest runs almost a tenth faster than the slowest.
const SLOWEST: u64 = 955;
const FASTEST: u64 = 1050;
const TRUE_RATE: u64 = 1000;
const MAX_OFFSET_MS: u64 = 100_000_000;

thread_local! {
    static DRIFTING: Cell<bool> = const { Cell::new(false) };
}

/// A member's steady clock.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    per_mille: u64,
    offset: Duration,
}

impl Clock {
    pub const TRUE: Clock = Clock { per_mille: TRUE_RATE, offset: Duration::ZERO };

    fn random(rng: &mut oorandom::Rand64) -> Clock {
        let per_mille = match rng.rand_range(0..3) {
            0 => SLOWEST,
            1 => FASTEST,
            _ => rng.rand_range(SLOWEST..FASTEST + 1),
        };
        Clock { per_mille, offset: MS * rng.rand_range(0..MAX_OFFSET_MS) as u32 }
    }

    pub fn read(&self, now: Duration) -> Duration {
        self.offset + Duration::from_nanos(now.as_nanos() as u64 * self.per_mille / TRUE_RATE)
    }

    /// The first true time at which the clock shows this time.
    pub fn true_time_at(&self, time: Duration) -> Duration {
        let shown = time.saturating_sub(self.offset).as_nanos() as u64;
        Duration::from_nanos((shown * TRUE_RATE).div_ceil(self.per_mille))
    }
}

/// Generates the clocks of one simulation.
pub(super) struct Clocks {
    /// None: all clocks show true time.
    rng: Option<oorandom::Rand64>,
}

impl Clocks {
    pub fn new(seed: u64) -> Clocks {
        let rng = oorandom::Rand64::new(u128::from(seed) * 104_729 + 7);
        Clocks { rng: DRIFTING.get().then_some(rng) }
    }

    pub fn next(&mut self) -> Clock {
        self.rng.as_mut().map_or(Clock::TRUE, Clock::random)
    }

    /// How long this span takes by the slowest clock.
    pub fn longest(&self, span: Duration) -> Duration {
        let slowest = if self.rng.is_some() { SLOWEST } else { TRUE_RATE };
        Clock { per_mille: slowest, offset: Duration::ZERO }.true_time_at(span)
    }
}

/// Runs a simulation whose members have drifting clocks.
pub(super) fn with_drifting_clocks<T>(simulate: impl FnOnce() -> T) -> T {
    struct Reset;
    impl Drop for Reset {
        fn drop(&mut self) {
            DRIFTING.set(false);
        }
    }
    let _reset = Reset;
    DRIFTING.set(true);
    simulate()
}

#[test]
fn due_time_is_the_first_time_the_clock_shows_it() {
    let mut rng = oorandom::Rand64::new(1);
    for _ in 0..10_000 {
        let clock = Clock::random(&mut rng);
        let time = clock.offset + Duration::from_nanos(rng.rand_range(0..1 << 50));
        let due = clock.true_time_at(time);
        assert!(clock.read(due) >= time);
        assert!(due.is_zero() || clock.read(due - Duration::from_nanos(1)) < time);
    }
}

#[rstest::rstest]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(9)]
fn no_acknowledged_configuration_is_lost_under_faults(#[case] members: usize) {
    with_drifting_clocks(|| super::simulate_all(members, 0..seeds(60)));
}

#[rstest::rstest]
#[case(3)]
#[case(5)]
#[case(9)]
fn concurrent_replaces_agree_under_faults(#[case] members: usize) {
    for seed in 0..seeds(30) {
        let sim = with_drifting_clocks(|| races::simulate(members, seed));
        assert_eq!(sim.violation, None, "{members} members, seed {seed}: {:#?}", sim.log);
    }
}

#[rstest::rstest]
#[case(3)]
#[case(5)]
fn isolated_member_makes_no_statements(#[case] members: usize) {
    for (index, how) in contact::CUTS.into_iter().enumerate() {
        for seed in 0..seeds(6) {
            let target = contact::TARGETS[(index + seed as usize) % 3];
            let (sim, _) = with_drifting_clocks(|| contact::simulate(members, how, target, seed));
            assert_eq!(sim.violation, None, "{members} members, {how:?} {target:?}, seed {seed}");
        }
    }
}

const KINDS: [lease::Kind; 6] = [
    lease::Kind::Killed,
    lease::Kind::Frozen,
    lease::Kind::CutOff,
    lease::Kind::CutOffAndOthersRestarted,
    lease::Kind::HungDisk,
    lease::Kind::KilledWithFullDisk,
];

#[rstest::rstest]
#[case(3)]
#[case(5)]
fn faulty_holder_is_replaced_without_overlap(#[case] members: usize) {
    for kind in KINDS {
        for seed in 0..seeds(60) {
            let (sim, _) = with_drifting_clocks(|| lease::simulate(kind, members, seed));
            assert_eq!(sim.violation, None, "{kind:?}, {members} members, seed {seed}: {:#?}", sim.log);
        }
    }
}

#[rstest::rstest]
#[case(3)]
#[case(4)]
#[case(5)]
fn second_loss_during_a_replacement_is_tolerated(#[case] members: usize) {
    for seed in 0..seeds(96) {
        let (how, moment, loss) = voters::case(seed, members);
        let sim = with_drifting_clocks(|| voters::simulate(members, seed, how, moment, loss)).sim;
        assert_eq!(
            sim.violation, None,
            "{members} members, seed {seed} {how:?} {moment:?} {loss:?}: {:#?}",
            sim.log
        );
    }
}

fn finds_two_holders() -> Option<(u64, String)> {
    (0..400).find_map(|seed| {
        let violation = lease::simulate(lease::Kind::CutOff, 3, seed).0.violation?;
        violation.contains("holders").then_some((seed, violation))
    })
}

/// A lease that does not allow for drift is detected only with drifting clocks.
#[test]
fn lease_ignoring_drift_is_detected_only_with_drifting_clocks() {
    crate::defects::INJECTED.set(Some(Defect::LeaseIgnoresDrift));
    let (with_true_clocks, with_drifting) = (finds_two_holders(), with_drifting_clocks(finds_two_holders));
    crate::defects::INJECTED.set(None);
    println!("LeaseIgnoresDrift: true clocks {with_true_clocks:?}, drifting {with_drifting:?}");
    assert_eq!(with_true_clocks, None);
    assert!(with_drifting.is_some());
}
