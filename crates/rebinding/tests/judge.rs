//! When to move.

use std::time::Duration;

use tindock_rebinding::*;

#[test]
fn only_in_calm_and_only_if_it_pays() {
    let s = Duration::from_secs;
    let mut judge = MovePolicy::new(s(0));
    let calm = Conditions { settled: true, growth: 1.0, ..Conditions::default() };
    let fleet = sample_fleet(1, 40, 0.5);
    let good = plan(&fleet, &PlanSettings { host_cost_gb_s: 1.1, ..PlanSettings::default() }, 1);
    let idle = plan(&fleet, &PlanSettings::default(), 1);
    assert!(good.saving > 100.0 && idle.moves.is_empty());
    assert_eq!(judge.approve(s(5), &calm, &good, 1.0), Err(Obstacle::TooSoon));
    assert_eq!(judge.approve(s(11), &calm, &idle, 1.0), Err(Obstacle::TooLittle));
    assert_eq!(judge.approve(s(11), &calm, &good, good.saving), Err(Obstacle::TooLittle));
    let rush = Conditions { waiting: 1, ..calm.clone() };
    assert_eq!(judge.approve(s(12), &rush, &good, 1.0), Err(Obstacle::Rush));
    assert_eq!(
        judge.approve(s(13), &Conditions { disturbed: true, ..calm.clone() }, &good, 1.0),
        Err(Obstacle::Trouble)
    );
    assert_eq!(
        judge.approve(s(13), &Conditions { configuring: true, ..calm.clone() }, &good, 1.0),
        Err(Obstacle::Configuring)
    );
    assert_eq!(judge.approve(s(13), &Conditions::default(), &good, 1.0), Err(Obstacle::Unsettled));
    assert_eq!(judge.approve(s(20), &calm, &good, 1.0), Err(Obstacle::TooSoon));
    assert_eq!(judge.approve(s(24), &calm, &good, 1.0), Ok(()));
    assert_eq!(judge.approve(s(40), &calm, &good, 1.0), Err(Obstacle::TooSoon), "one run a minute");
    judge.paused = true;
    assert_eq!(judge.approve(s(90), &calm, &good, 1.0), Err(Obstacle::Paused));
}

#[test]
fn a_run_whose_move_was_kept_is_followed_sooner() {
    let s = Duration::from_secs;
    let calm = Conditions { settled: true, growth: 1.0, ..Conditions::default() };
    let fleet = sample_fleet(1, 40, 0.5);
    let good = plan(&fleet, &PlanSettings { host_cost_gb_s: 1.1, ..PlanSettings::default() }, 1);
    let mut judge = MovePolicy::new(s(0));
    judge.run_incomplete(s(70));
    assert_eq!(judge.approve(s(100), &calm, &good, 1.0), Ok(()));
    judge.run_incomplete(s(105));
    assert_eq!(judge.may_plan(s(119)), Err(Obstacle::TooSoon));
    assert_eq!(judge.approve(s(120), &calm, &good, 1.0), Ok(()));
    assert_eq!(judge.may_plan(s(179)), Err(Obstacle::TooSoon));
}
