//! Merging of files, discovery and health checks, and the guard of the inventory files.

use insta::assert_snapshot;
use std::time::Duration;
use tindock::types::Condition::{self, Draining, Gone, Ready};
use tindock_worker_list::guard::{Guard, Snapshot, Verdict};
use tindock_worker_list::health::{
    HealthChecker, HealthSettings, State, MAX_CHECKS_PER_SECOND, MAX_CONCURRENT_CHECKS,
};
use tindock_worker_list::merge::WorkerListMerge;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A worker is its port and its slots; the port is its address.
type Worker = (u16, u16);

fn new_merge() -> WorkerListMerge<Worker> {
    WorkerListMerge::new(|one, other| one.0 == other.0)
}

/// The entries that changed, in order.
fn updates(merge: &mut WorkerListMerge<Worker>) -> Vec<(String, Worker, Condition)> {
    std::iter::from_fn(|| merge.next_update()).map(|l| (l.name, l.member, l.condition)).collect()
}

fn single(name: &str, member: Worker, condition: Condition) -> Vec<(String, Worker, Condition)> {
    vec![(name.into(), member, condition)]
}

#[test]
fn a_removed_worker_drains_and_is_gone_after_its_last_task() {
    let mut list = new_merge();
    list.set_file_entry("y", Some(((1, 4), false)));
    assert_eq!(updates(&mut list), single("y", (1, 4), Ready));
    list.set_file_entry("y", None);
    assert_eq!(updates(&mut list), single("y", (1, 4), Draining));
    assert_eq!(list.unlisted_draining().collect::<Vec<_>>(), ["y"]);
    assert_eq!(updates(&mut list), [], "unchanged while tasks run");
    list.mark_idle("y");
    assert_eq!(updates(&mut list), single("y", (1, 4), Gone));
    assert_eq!((list.unlisted_draining().count(), list.ready_count()), (0, 0));
}

/// Guards against a worker that is lost or duplicated when it is listed again while its tasks still run.
#[test]
fn a_worker_listed_again_while_its_tasks_run_continues() {
    let mut list = new_merge();
    list.set_file_entry("y", Some(((1, 4), false)));
    updates(&mut list);
    list.set_file_entry("y", None);
    updates(&mut list);
    list.set_file_entry("y", Some(((1, 8), false)));
    assert_eq!(updates(&mut list), single("y", (1, 8), Ready));
    list.mark_idle("y");
    assert_eq!(updates(&mut list), [], "stays listed after its tasks");
}

/// Guards against cancellations sent to an address where no task runs.
#[test]
fn a_worker_that_moves_drains_at_its_old_address_first() {
    let mut list = new_merge();
    list.set_file_entry("y", Some(((1, 4), false)));
    updates(&mut list);
    list.set_file_entry("y", Some(((2, 4), false)));
    assert_eq!(updates(&mut list), single("y", (1, 4), Draining));
    list.mark_idle("y");
    let moved = [("y".to_string(), (1, 4), Gone), ("y".to_string(), (2, 4), Ready)];
    assert_eq!(updates(&mut list), moved);
}

#[test]
fn the_most_cautious_source_prevails() {
    let mut list = new_merge();
    list.set_file_entry("y", Some(((1, 4), true)));
    assert_eq!(updates(&mut list), single("y", (1, 4), Draining));
    list.set_discovery_entry("y", (1, 4), Ready);
    assert_eq!(updates(&mut list), [], "the file has it leaving");
    list.set_file_entry("y", Some(((1, 4), false)));
    assert_eq!(updates(&mut list), single("y", (1, 4), Ready));
    list.set_discovery_entry("y", (1, 4), Draining);
    assert_eq!(updates(&mut list), single("y", (1, 4), Draining));
    list.set_discovery_entry("y", (7, 4), Ready);
    assert_eq!(updates(&mut list), single("y", (7, 4), Ready), "the address from discovery prevails");
    list.set_down("y", true);
    assert_eq!(updates(&mut list), [], "health does not apply to workers in discovery");
    list.begin_full_list();
    assert_eq!(updates(&mut list), single("y", (7, 4), Gone));
    list.set_file_entry("y", None);
    assert_eq!((updates(&mut list), list.ready_count()), (Vec::new(), 0));
}

#[test]
fn a_worker_that_is_down_drains_and_returns_as_newly_started() {
    let mut list = new_merge();
    list.set_file_entry("y", Some(((1, 4), false)));
    updates(&mut list);
    list.set_down("y", true);
    assert_eq!(updates(&mut list), single("y", (1, 4), Draining));
    list.set_down("y", false);
    let update = list.next_update().expect("an update");
    assert!(update.condition == Ready && update.revived);
    assert_eq!(updates(&mut list), []);
}

fn check(guard: &mut Guard, at: u64, digest: u64, removed: usize, accepted: Option<u64>) -> Verdict {
    guard.check(ms(at), Snapshot { digest, ready: 20, removed }, accepted)
}

#[test]
fn a_snapshot_that_removes_many_workers_is_held_back_until_confirmed() {
    let mut guard = Guard::new(0.2, ms(60_000));
    assert_eq!(check(&mut guard, 0, 1, 4, None), Verdict::Accept);
    let until = ms(61_000);
    assert_eq!(check(&mut guard, 1000, 2, 5, None), Verdict::Hold { first: true, until });
    assert_eq!(check(&mut guard, 60_999, 2, 5, None), Verdict::Hold { first: false, until });
    assert_eq!(check(&mut guard, 61_000, 2, 5, None), Verdict::Accept);
    // Another snapshot in between restarts the period, and so does a time without any.
    assert_eq!(check(&mut guard, 70_000, 3, 9, None), Verdict::Hold { first: true, until: ms(130_000) });
    assert_eq!(check(&mut guard, 80_000, 4, 9, None), Verdict::Hold { first: true, until: ms(140_000) });
    guard.reset();
    assert_eq!(check(&mut guard, 150_000, 4, 9, None), Verdict::Hold { first: true, until: ms(210_000) });
    assert_eq!(check(&mut guard, 150_001, 4, 9, Some(3)), Verdict::Hold { first: false, until: ms(210_000) });
    assert_eq!(check(&mut guard, 150_002, 4, 9, Some(4)), Verdict::Accept, "confirmed by an operator");
}

#[test]
fn one_worker_may_always_be_removed() {
    let mut guard = Guard::new(0.0, ms(60_000));
    assert_eq!(guard.check(ms(0), Snapshot { digest: 1, ready: 2, removed: 1 }, None), Verdict::Accept);
}

const SETTINGS: HealthSettings =
    HealthSettings { interval: Duration::from_secs(2), down_after: 3, up_after: 2, panic_share: 0.5 };

/// Checks the workers that are due in steps of one millisecond, and prints what changes.
fn run_checks(
    health: &mut HealthChecker,
    from: u64,
    to: u64,
    healthy: impl Fn(&str, u64) -> bool,
    trace: &mut String,
) -> u32 {
    let mut checks = 0;
    for at in from..to {
        while let Some((name, number)) = health.next_check(ms(at)) {
            checks += 1;
            health.record_check(ms(at), &name, number, healthy(&name, at));
        }
        while let Some((name, down)) = health.next_change() {
            *trace += &format!("{at:6} {name} {}\n", if down { "left out" } else { "back" });
        }
    }
    checks
}

/// Guards against exclusion after one failed check: three in a row exclude a worker, two successful ones
/// readmit it.
#[test]
fn single_failed_checks_exclude_no_worker() {
    let mut health = HealthChecker::new(SETTINGS, 7);
    (0..5).for_each(|n| health.add(ms(0), &format!("w{n}")));
    let mut trace = String::new();
    // w1 fails between 5 and 15 s, w2 in one check of four.
    let healthy = |name: &str, at: u64| match name {
        "w1" => !(5000..15_000).contains(&at),
        "w2" => at % 8000 > 2100,
        _ => true,
    };
    run_checks(&mut health, 0, 30_000, healthy, &mut trace);
    assert_snapshot!(trace);
    assert_eq!(health.state("w1"), Some(State::Up));
}

/// Guards against an empty list when the checks themselves fail: once more than half are down, all are used
/// again.
#[test]
fn no_worker_is_excluded_while_most_are_down() {
    let mut health = HealthChecker::new(SETTINGS, 7);
    (0..6).for_each(|n| health.add(ms(0), &format!("w{n}")));
    let mut trace = String::new();
    let healthy = |name: &str, at: u64| match name {
        "w0" | "w1" => at < 5000,
        _ => !(10_000..20_000).contains(&at),
    };
    run_checks(&mut health, 0, 9000, healthy, &mut trace);
    assert_eq!(trace.matches("left out").count(), 2, "{trace}");
    run_checks(&mut health, 9000, 18_000, healthy, &mut trace);
    assert!(health.panic_mode);
    let out = trace.matches("left out").count() - trace.matches("back").count();
    assert_eq!(out, 0, "{trace}");
    run_checks(&mut health, 18_000, 30_000, healthy, &mut trace);
    let out = trace.matches("left out").count() - trace.matches("back").count();
    assert!(!health.panic_mode && out == 2, "{trace}");
}

/// Guards against a check rate, or a number of descriptors, that grows with the fleet.
#[test]
fn check_rate_and_concurrency_are_bounded_for_any_fleet() {
    let mut health = HealthChecker::new(SETTINGS, 7);
    (0..10_000).for_each(|n| health.add(ms(0), &format!("w{n}")));
    let checks = run_checks(&mut health, 0, 10_000, |_, _| true, &mut String::new());
    assert!(
        (10 * MAX_CHECKS_PER_SECOND * 9 / 10..=10 * MAX_CHECKS_PER_SECOND + 1).contains(&checks),
        "{checks}"
    );
    let mut under_way = 0;
    for at in 10_000..20_000 {
        under_way += usize::from(health.next_check(ms(at)).is_some());
    }
    assert_eq!(under_way, MAX_CONCURRENT_CHECKS);
    assert_eq!(health.next_due(), Duration::MAX);
}

/// Guards against results about a worker that was removed, or moved, during its check.
#[test]
fn late_check_results_are_ignored() {
    let mut health = HealthChecker::new(SETTINGS, 7);
    health.add(ms(0), "w0");
    let (name, number) = (0..2000).find_map(|at| health.next_check(ms(at))).expect("a check");
    health.add(ms(2000), "w0");
    (0..9).for_each(|_| health.record_check(ms(2001), &name, number, false));
    assert_eq!(health.state("w0"), Some(State::Unknown));
    health.remove("w0");
    assert!(health.next_check(ms(9000)).is_none());
}
