//! When a plan may run.

use std::time::Duration;

use tindock_instance_migration::*;

#[test]
fn run_is_refused_under_load_too_soon_or_without_saving() {
    let s = Duration::from_secs;
    let mut policy = MovePolicy::new(s(0));
    let calm = Conditions { settled: true, growth: 1.0, ..Conditions::default() };
    let fleet = sample_fleet(1, 40, 0.5);
    let saving_plan = plan(&fleet, &PlanSettings { host_cost_gb_s: 1.1, ..PlanSettings::default() }, 1);
    let empty_plan = plan(&fleet, &PlanSettings::default(), 1);
    assert!(saving_plan.saving > 100.0 && empty_plan.moves.is_empty());
    assert_eq!(policy.approve(s(5), &calm, &saving_plan, 1.0), Err(Obstacle::TooSoon));
    assert_eq!(policy.approve(s(11), &calm, &empty_plan, 1.0), Err(Obstacle::TooLittle));
    assert_eq!(policy.approve(s(11), &calm, &saving_plan, saving_plan.saving), Err(Obstacle::TooLittle));
    let waiting_calls = Conditions { waiting: 1, ..calm.clone() };
    assert_eq!(policy.approve(s(12), &waiting_calls, &saving_plan, 1.0), Err(Obstacle::Rush));
    assert_eq!(
        policy.approve(s(13), &Conditions { disturbed: true, ..calm.clone() }, &saving_plan, 1.0),
        Err(Obstacle::Trouble)
    );
    assert_eq!(
        policy.approve(s(13), &Conditions { configuring: true, ..calm.clone() }, &saving_plan, 1.0),
        Err(Obstacle::Configuring)
    );
    assert_eq!(policy.approve(s(13), &Conditions::default(), &saving_plan, 1.0), Err(Obstacle::Unsettled));
    assert_eq!(policy.approve(s(20), &calm, &saving_plan, 1.0), Err(Obstacle::TooSoon));
    assert_eq!(policy.approve(s(24), &calm, &saving_plan, 1.0), Ok(()));
    assert_eq!(policy.approve(s(40), &calm, &saving_plan, 1.0), Err(Obstacle::TooSoon), "one run a minute");
    policy.paused = true;
    assert_eq!(policy.approve(s(90), &calm, &saving_plan, 1.0), Err(Obstacle::Paused));
}

#[test]
fn run_follows_sooner_after_an_incomplete_one() {
    let s = Duration::from_secs;
    let calm = Conditions { settled: true, growth: 1.0, ..Conditions::default() };
    let fleet = sample_fleet(1, 40, 0.5);
    let saving_plan = plan(&fleet, &PlanSettings { host_cost_gb_s: 1.1, ..PlanSettings::default() }, 1);
    let mut policy = MovePolicy::new(s(0));
    policy.run_incomplete(s(70));
    assert_eq!(policy.approve(s(100), &calm, &saving_plan, 1.0), Ok(()));
    policy.run_incomplete(s(105));
    assert_eq!(policy.may_plan(s(119)), Err(Obstacle::TooSoon));
    assert_eq!(policy.approve(s(120), &calm, &saving_plan, 1.0), Ok(()));
    assert_eq!(policy.may_plan(s(179)), Err(Obstacle::TooSoon));
}
