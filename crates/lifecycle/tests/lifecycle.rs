//! Which work a process admits between SIGTERM and its end, and when it ends.

use rstest::rstest;
use std::time::Duration;
use tindock_lifecycle::{GracePeriod, Lifecycle, Phase, Refused, RunTimes, Terminated};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// SIGTERM at 10 s, with a grace period of 6 s.
fn leaving() -> Lifecycle {
    let mut lifecycle = Lifecycle::new(GracePeriod::new(ms(6_000)));
    lifecycle.set_ready();
    assert_eq!(lifecycle.terminate(ms(10_000)), Terminated::Leaving);
    lifecycle
}

#[test]
fn all_work_is_admitted_before_sigterm() {
    let mut lifecycle = Lifecycle::new(GracePeriod::new(ms(6_000)));
    assert_eq!(lifecycle.phase(ms(5)), Phase::Starting);
    lifecycle.set_ready();
    assert_eq!(lifecycle.phase(ms(5)), Phase::Ready);
    assert_eq!(lifecycle.admits(ms(5), Duration::MAX), Ok(()));
    assert_eq!(lifecycle.latest_start(ms(1)), None);
    assert!(!lifecycle.may_end(ms(5), 0));
}

#[rstest]
#[case(10_000, Phase::Leaving)]
#[case(12_999, Phase::Leaving)]
#[case(13_000, Phase::Closing)]
#[case(15_499, Phase::Closing)]
#[case(15_500, Phase::Aborting)]
#[case(15_750, Phase::Ended)]
fn phases_follow_the_grace_period(#[case] now: u64, #[case] phase: Phase) {
    assert_eq!(leaving().phase(ms(now)), phase);
}

#[rstest]
#[case::short_and_early(10_000, 100, Ok(()))]
#[case::short_and_late(12_999, 100, Ok(()))]
#[case::new_while_closing(13_000, 1, Err(Refused::Closing))]
#[case::just_fits(12_900, 2_500, Ok(()))]
#[case::does_not_fit(12_901, 2_500, Err(Refused::TooLong))]
#[case::never_fits(10_000, 5_401, Err(Refused::TooLong))]
#[case::longer_than_the_grace_period(10_000, 100_000, Err(Refused::TooLong))]
fn new_work_is_admitted_if_it_fits(
    #[case] now: u64,
    #[case] longest: u64,
    #[case] admitted: Result<(), Refused>,
) {
    assert_eq!(leaving().admits(ms(now), ms(longest)), admitted);
}

#[rstest]
#[case::while_closing(14_000, 1_400, Ok(()))]
#[case::no_time_left(14_001, 1_400, Err(Refused::TooLong))]
fn admitted_work_begins_only_while_it_fits(
    #[case] now: u64,
    #[case] longest: u64,
    #[case] may: Result<(), Refused>,
) {
    assert_eq!(leaving().may_begin(ms(now), ms(longest)), may);
}

#[rstest]
#[case::leaving_not_noticed_yet(12_999, 0, false)]
#[case::requests_still_arriving(13_199, 0, false)]
#[case::nothing_in_progress(13_200, 0, true)]
#[case::one_in_progress(15_749, 1, false)]
#[case::over(15_750, 1, true)]
fn process_ends_without_work_or_at_the_end_of_grace(
    #[case] now: u64,
    #[case] in_progress: usize,
    #[case] ends: bool,
) {
    assert_eq!(leaving().may_end(ms(now), in_progress), ends);
}

#[test]
fn second_sigterm_neither_ends_nor_extends_the_grace_period() {
    let mut lifecycle = leaving();
    assert_eq!(lifecycle.terminate(ms(12_000)), Terminated::Already);
    assert_eq!(lifecycle.terminated_at(), Some(ms(10_000)));
    assert_eq!(lifecycle.phase(ms(13_000)), Phase::Closing);
}

#[rstest]
fn times_are_in_order_for_any_grace_period(#[values(1, 10, 500, 2_000, 6_000, 600_000)] length: u64) {
    let grace = GracePeriod::new(ms(length));
    let times = [
        grace.admission(),
        grace.earliest_end(),
        grace.work_deadline(),
        grace.abort_at(),
        grace.end(),
        ms(length),
    ];
    assert!(times.is_sorted(), "{times:?}");
    assert!(grace.end() < ms(length));
}

#[test]
fn promised_run_time_counts_until_enough_are_measured() {
    let mut runs = RunTimes::default();
    for n in 0..2 {
        runs.measure(ms(n), "long", ms(1_500));
    }
    assert_eq!(runs.longest(&"long", ms(5_000)), ms(5_000));
    for n in 2..60 {
        runs.measure(ms(n), "long", ms(if n % 2 == 0 { 1_000 } else { 2_000 }));
    }
    let long = runs.longest(&"long", ms(5_000));
    assert!(long > ms(3_000) && long < ms(4_500), "{long:?}");
    assert_eq!(runs.longest(&"short", ms(300)), ms(300));
}
