//! The policy by itself: the index against the paper, and snapshots of decisions for each failure met so far.

mod helpers;

use helpers::{ms, settings_for, Harness};
use insta::assert_snapshot;
use tindock::index::whittle;
use tindock::types::{Condition, Effect, Ending, Energy, Group};

/// The growth of the mean number in the paper's queue when the threshold moves: the busy index, computed with
/// b^n as repeated products and exact fractions, independently of the closed form in the code.
#[test]
fn the_index_agrees_with_the_paper() {
    // lambda 3, mu 2, delta 4: a = 3/4, b = 3/2, b(1+a)-a = 15/8, prefactor 4/5.
    // n = 2: b((n+1)-(n+2)b+b^4)/(b-1)^2 = 12.375; a^2-3a = -1.6875; a(b-a)(a/(1+a))^2 = 81/784.
    let busy = 0.8 * (12.375 - 1.6875 + 81.0 / 784.0);
    assert!((whittle(2.0, Energy::Busy, 3.0, 2.0, 4.0) - busy).abs() < 1e-12);
    assert!((whittle(2.0, Energy::Setup, 3.0, 2.0, 4.0) - 0.8 * (12.375 + 0.75)).abs() < 1e-12);
    assert!((whittle(0.0, Energy::Off, 3.0, 2.0, 4.0) - 2.25).abs() < 1e-12);
    // A busy worker without local tasks: b.
    assert!((whittle(0.0, Energy::Busy, 3.0, 2.0, 4.0) - 1.5).abs() < 1e-12);
    // lambda = mu = 2, delta 8, n = 3: 10 + 1/16 - 1 + (3/16)(1/5)^3; the setup form 10 + 1/4.
    let equal = 10.0 + 0.0625 - 1.0 + 0.1875 * 0.008;
    assert!((whittle(3.0, Energy::Busy, 2.0, 2.0, 8.0) - equal).abs() < 1e-12);
    assert!((whittle(3.0, Energy::Setup, 2.0, 2.0, 8.0) - 10.25).abs() < 1e-12);
}

#[test]
fn the_index_stays_finite_and_rises_with_n() {
    for lambda in [0.05, 0.999, 0.99995, 1.0, 1.00005, 1.001, 40.0] {
        let mut last = 0.0;
        for n in 0..400 {
            let index = whittle(f64::from(n), Energy::Busy, lambda, 1.0, 4.0);
            assert!(index.is_finite() && index >= last, "lambda {lambda} n {n}: {index} after {last}");
            last = index;
        }
    }
}

#[test]
fn a_faster_worker_is_filled_first_and_ties_are_spread() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 4);
    for _ in 0..80 {
        harness.run(0, [300, 700]);
    }
    harness.trace.clear();
    for _ in 0..8 {
        harness.arrive(0);
    }
    assert_snapshot!(harness.trace);
}

/// Guards against waiting behind tasks of peers on a full worker while another worker is free.
#[test]
fn a_task_that_does_not_start_is_reassigned() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent, Effect::Unrepeatable]), 3);
    let (moves, stays) = (harness.arrive(0), harness.arrive(1));
    harness.run_until(1100);
    harness.end(moves, 0, Ending::Cancelled);
    harness.policy.started(moves, 1);
    harness.run_until(1800);
    harness.note("the unrepeatable one waits on");
    harness.end(stays, 0, Ending::Full);
    assert_snapshot!(harness.trace);
}

/// Guards against repeated effects: a repeat stays in its zone while that remembers, then is abandoned.
#[test]
fn a_deduplicated_task_stays_in_its_group_and_window() {
    let mut harness = Harness::new(settings_for(&[Effect::Deduplicated(Group::Zone)]), 4);
    let task = harness.arrive(0);
    harness.policy.started(task, 0);
    harness.end(task, 0, Ending::Error);
    harness.policy.started(task, 1);
    harness.end(task, 1, Ending::Reset);
    harness.note("no third worker in that zone");
    harness.run_until(3000);
    assert_snapshot!(harness.trace);
}

/// Guards against a second run of a task that may have run, and against a shed reply that invites a retry.
#[test]
fn an_unrepeatable_task_is_retried_only_if_it_never_ran() {
    let mut harness = Harness::new(settings_for(&[Effect::Unrepeatable]), 3);
    let task = harness.arrive(0);
    harness.end(task, 0, Ending::ConnectFailed);
    harness.end(task, 1, Ending::Error);
    let late = harness.arrive(0);
    harness.note(&format!("task {late} is never heard of again"));
    harness.run_until(9500);
    assert_snapshot!(harness.trace);
}

/// Guards against assigning tasks to a worker that accepts them and never answers: its progress messages are
/// missing.
#[test]
fn a_silent_worker_gets_no_tasks() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 3);
    let task = harness.arrive(0);
    harness.policy.started(task, 0);
    harness.run_until(2800);
    harness.end(task, 0, Ending::Cancelled);
    harness.policy.started(task, 1);
    for _ in 0..4 {
        harness.arrive(0);
    }
    assert_snapshot!(harness.trace);
}

/// Guards against barring a worker and cancelling all its tasks because one task never ends: the worker
/// reports progress of the others, so only that task is reassigned.
#[test]
fn one_hung_task_does_not_bar_its_worker() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 2);
    let tasks = [(); 4].map(|()| harness.arrive(0));
    for task in tasks {
        harness.policy.started(task, 0);
    }
    for then in [1900, 2600, 3200] {
        harness.run_until(then);
        for task in &tasks[1..] {
            harness.policy.progressed(*task, 0, 0.5);
        }
        harness.pull();
    }
    assert_snapshot!(harness.trace);
}

/// Guards against quick errors, which keep n and so the index low.
#[test]
fn a_failing_worker_is_barred_and_returns_gradually() {
    let mut harness = Harness::new(settings_for(&[Effect::Unrepeatable]), 3);
    for _ in 0..3 {
        for task in [harness.arrive(0), harness.arrive(0), harness.arrive(0)] {
            let bad = format!("task {task} to worker 2");
            let last = harness.trace.lines().rev().find(|l| l.contains(&format!("task {task} to")));
            let to_bad = last.is_some_and(|l| l.ends_with(&bad));
            harness.end(task, 0, if to_bad { Ending::Error } else { Ending::Finished });
        }
        let next = harness.now + 30;
        harness.run_until(next);
    }
    harness.run_until(4000);
    for _ in 0..3 {
        harness.arrive(0);
    }
    assert_snapshot!(harness.trace);
}

/// Guards against losing a third of the capacity where many workers break many connections: a worker barred
/// for that is better than none for idempotent tasks, but not for the rest.
#[test]
fn idempotent_tasks_use_a_barred_worker_if_there_is_no_other() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent, Effect::Unrepeatable]), 3);
    for _ in 0..3 {
        for task in [1, 1, 1].map(|workload| harness.arrive(workload)) {
            let last = harness.trace.lines().rev().find(|l| l.contains(&format!("task {task} to")));
            let to_bad = last.is_some_and(|l| l.ends_with("worker 2"));
            harness.end(task, 0, if to_bad { Ending::Error } else { Ending::Finished });
        }
        let next = harness.now + 30;
        harness.run_until(next);
    }
    harness.note("the other two have four slots");
    for workload in [0, 0, 0, 0, 1, 0] {
        let task = harness.arrive(workload);
        harness.note(&format!("that was task {task} of workload {workload}"));
    }
    assert_snapshot!(harness.trace);
}

/// Guards against slots that do not exist and a worker that never counts as empty: a task that needs 1.6
/// units of memory takes one slot; sums of such sizes do not count slots, and leave a rounding error.
#[test]
fn fractional_sizes_add_no_slots() {
    let mut settings = settings_for(&[Effect::Idempotent, Effect::Idempotent]);
    settings.workloads[1].utility = 0.1;
    let mut harness = Harness::new(settings, 1);
    let tasks = [(); 2].map(|()| harness.policy.arrived(0, 1.6, ms(8000), 0));
    harness.pull();
    for task in tasks {
        harness.policy.started(task, 0);
    }
    let next = harness.now + 50;
    harness.run_until(next);
    for task in tasks {
        harness.end(task, 0, Ending::Finished);
    }
    for _ in 0..3 {
        harness.arrive(1);
    }
    assert_snapshot!(harness.trace);
}

/// Guards against overloading a cold worker: few, spaced tasks, though it is the only one.
#[test]
fn a_cold_worker_is_not_overloaded() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 1);
    harness.list(0, Condition::Gone, None);
    harness.at(2000).list(0, Condition::Ready, Some(1900));
    for _ in 0..30 {
        harness.arrive(0);
        let next = harness.now + 100;
        harness.run_until(next);
    }
    assert_snapshot!(harness.trace);
}

/// Guards against rating a warming worker as slow, which would reduce its cold budget once more.
#[test]
fn a_warming_worker_is_not_rated_slow() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 2);
    let share = |now: u64| (0.2 + 0.8 * now.saturating_sub(3000) as f64 / 10_000.0).min(1.0);
    for (worker, until, warm) in [(1, 3000, true), (0, 9000, false)] {
        harness.list(1 - worker, Condition::Gone, None);
        harness.list(worker, Condition::Ready, (!warm).then_some(3000));
        while harness.now < until {
            let task = harness.arrive(0);
            harness.run_until(harness.now + 200);
            harness.policy.started(task, 0);
            let now = if warm { 13_000 } else { harness.now };
            let ends = harness.now + (100.0 / share(now).sqrt()) as u64;
            harness.at(ends).policy.ended(task, 0, Ending::Finished, true);
            harness.pull();
        }
    }
    harness.run_until(10_000);
    harness.trace.clear();
    let known = &harness.policy.records().1[0];
    let line = format!("{} runs, {:.2} apart from its kind", known.completions, known.speed_offset);
    harness.note(&line);
    harness.arrive(0);
    harness.arrive(0);
    harness.run_until(10_300);
    assert_snapshot!(harness.trace);
}

/// Guards against sending to a draining worker: tasks are held while there is no other.
#[test]
fn a_draining_worker_gets_no_tasks() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 1);
    harness.list(0, Condition::Draining, None);
    harness.arrive(0);
    harness.run_until(1500);
    harness.note("it is ready again");
    harness.list(0, Condition::Ready, None);
    harness.run_until(1600);
    assert_snapshot!(harness.trace);
}

/// Guards against shedding all tasks of a workload before any has run: the run time is only an estimate then,
/// and a promised time that does not grow with the run must still allow it.
#[test]
fn the_first_task_is_not_shed_on_an_estimate() {
    for stretch in [0.0, 0.3, 1.0, 2.0] {
        let mut settings = settings_for(&[Effect::Unrepeatable]);
        settings.workloads[0].stretch = stretch;
        let mut harness = Harness::new(settings, 1);
        harness.arrive(0);
        assert!(harness.trace.contains("to worker 0"), "stretch {stretch}: {}", harness.trace);
    }
}

/// Guards against worker queues that put low utility before high: low utility waits here until a slot is
/// free.
#[test]
fn low_utility_does_not_queue_ahead_of_high_utility() {
    let mut settings = settings_for(&[Effect::Idempotent, Effect::Idempotent]);
    settings.workloads[0].utility = 10.0;
    let mut harness = Harness::new(settings, 1);
    let running = [harness.arrive(0), harness.arrive(0)];
    running.iter().for_each(|&task| harness.policy.started(task, 0));
    harness.note("both slots run; one of each workload arrives, the lesser first");
    let waits = [harness.arrive(1), harness.arrive(0)];
    harness.run_until(1200);
    harness.end(running[0], 0, Ending::Finished);
    harness.policy.started(waits[1], 0);
    harness.end(running[1], 0, Ending::Finished);
    harness.run_until(1300);
    assert_snapshot!(harness.trace);
}

/// Guards against one tenant's burst: beyond its quota a task has a tenth of the utility and may not queue.
#[test]
fn a_tenant_beyond_its_quota_may_not_queue() {
    let mut settings = settings_for(&[Effect::Idempotent]);
    (settings.quotas, settings.beyond_share) = (vec![2.0, 2.0], 0.1);
    let mut harness = Harness::new(settings, 1);
    for tenant in [0, 0, 0, 0, 0, 1] {
        let task = harness.policy.arrived(0, 1.0, ms(8000), tenant);
        harness.note(&format!("task {task} of tenant {tenant}"));
        harness.pull();
    }
    assert_snapshot!(harness.trace);
}

/// Guards against barring workers one after the other when all fail: the cause is shared.
#[test]
fn no_worker_is_barred_when_all_fail() {
    let mut harness = Harness::new(settings_for(&[Effect::Unrepeatable]), 4);
    for _ in 0..4 {
        let tasks: Vec<usize> = (0..4).map(|_| harness.arrive(0)).collect();
        for task in tasks {
            harness.policy.ended(task, 0, Ending::Error, false);
        }
        harness.pull();
        let next = harness.now + 25;
        harness.run_until(next);
    }
    let barred: Vec<&str> = harness.trace.lines().filter(|l| l.contains("barred")).collect();
    assert_snapshot!(format!("{} lines, barred: {barred:?}", harness.trace.lines().count()));
}

/// Guards against needless wake-ups: without tasks no timer is set.
#[test]
fn an_idle_scheduler_sets_no_timer() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 3);
    let task = harness.arrive(0);
    harness.policy.started(task, 0);
    harness.run_until(1200);
    let busy = harness.timers;
    harness.end(task, 0, Ending::Finished);
    harness.run_until(20_000);
    assert_snapshot!(format!("{busy} timers while it ran, {} in all", harness.timers));
}

/// Guards against crowding the few best workers of a large list: a scheduler with little traffic samples it.
#[test]
fn a_large_list_is_sampled() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 60);
    for _ in 0..12 {
        let task = harness.arrive(0);
        harness.policy.started(task, 0);
        let next = harness.now + 2500;
        harness.at(next).policy.ended(task, 0, Ending::Finished, true);
        harness.pull();
    }
    assert_snapshot!(harness.trace);
}

/// Guards against staying in a zone that peers have filled: once that is observed, tasks cross zones.
#[test]
fn tasks_leave_a_crowded_zone() {
    let mut settings = settings_for(&[Effect::Idempotent]);
    settings.crossing_cost = 0.05;
    let mut harness = Harness::new(settings, 40);
    for _ in 0..60 {
        let task = harness.arrive(0);
        let number = harness.trace.lines().last().and_then(|l| l.rsplit(' ').next()?.parse::<usize>().ok());
        let crowded = number.is_some_and(|worker| worker % 2 == 0);
        harness.policy.ended(task, 0, if crowded { Ending::Full } else { Ending::Finished }, true);
        let next = harness.now + 300;
        harness.run_until(next);
    }
    let near = |l: &&str| l.trim_end().ends_with(['0', '2', '4', '6', '8']);
    let sent: Vec<&str> = harness.trace.lines().filter(|l| l.contains(" to worker ")).collect();
    let of = |part: &[&str]| part.iter().filter(|l| near(l)).count();
    assert_snapshot!(format!(
        "in the own zone {} of the first 10, {} of the last 10",
        of(&sent[..10]),
        of(&sent[50..])
    ));
}

/// Guards against queues of tasks that start too late: they are given up while that helps the others.
#[test]
fn a_task_that_cannot_start_in_time_is_given_up() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 1);
    for _ in 0..4 {
        harness.run(0, [400, 400]);
    }
    harness.trace.clear();
    harness.arrive(0);
    harness.run_until(harness.now + 3000);
    assert_snapshot!(harness.trace);
}

/// Guards against cancelling the second assignment of a task whose first run broke after its start.
#[test]
fn a_reassigned_task_is_not_cancelled() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 3);
    let task = harness.arrive(0);
    harness.policy.started(task, 0);
    harness.end(task, 0, Ending::Reset);
    harness.run_until(1030);
    harness.policy.started(task, 1);
    harness.run_until(1500);
    assert_snapshot!(harness.trace);
}

/// Guards against tasks for a banned worker, whatever the list says, and against one that stays banned.
#[test]
fn a_ban_overrides_the_list_until_lifted() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 2);
    harness.policy.banned(0, true);
    harness.list(0, Condition::Gone, None);
    harness.at(2000).list(0, Condition::Ready, Some(1900));
    for _ in 0..3 {
        harness.arrive(0);
    }
    assert_eq!(harness.policy.avoided(), 1);
    harness.note("worker 0 is put back, and cold");
    harness.at(4000).policy.banned(0, false);
    harness.pull();
    harness.arrive(0);
    assert_eq!(harness.policy.avoided(), 0);
    assert_snapshot!(harness.trace);
}

/// Guards against tasks that wait in vain: with all workers banned they are answered at once, even if they
/// may have run.
#[test]
fn tasks_are_answered_when_all_workers_are_banned() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent, Effect::Unrepeatable]), 2);
    let runs = harness.arrive(1);
    harness.policy.started(runs, 0);
    harness.list(1, Condition::Draining, None);
    for worker in 0..2 {
        harness.note(&format!("worker {worker} is taken out by hand"));
        harness.policy.banned(worker, true);
        harness.pull();
        harness.arrive(0);
    }
    harness.end(runs, 0, Ending::Reset);
    harness.policy.banned(0, false);
    harness.note("worker 0 is put back");
    harness.arrive(0);
    assert_snapshot!(harness.trace);
}

/// Guards against overloading a cold worker by two processes of one scheduler: the one that yielded sends it
/// nothing.
#[test]
fn a_yielded_process_avoids_cold_workers() {
    let mut harness = Harness::new(settings_for(&[Effect::Idempotent]), 1);
    harness.list(0, Condition::Gone, None);
    harness.at(2000).list(0, Condition::Ready, Some(1900));
    // The worker's pause after its start is over by then.
    harness.run_until(4000);
    harness.policy.yielded(true);
    harness.arrive(0);
    harness.run_until(4100);
    harness.note("the other process is gone");
    harness.policy.yielded(false);
    harness.run_until(4200);
    assert_snapshot!(harness.trace);
}

/// Guards against applying new settings to existing tasks: they keep the row under which they arrived.
#[test]
fn a_task_keeps_its_settings_when_its_workload_changes() {
    let mut harness = Harness::new(settings_for(&[Effect::Unrepeatable]), 2);
    let task = harness.arrive(0);
    let before = settings_for(&[Effect::Unrepeatable, Effect::Idempotent]);
    harness.policy.reconfigure(before, &[Some(0), Some(0)]);
    let free = harness.arrive(1);
    harness.end(free, 0, Ending::Reset);
    harness.end(task, 0, Ending::Reset);
    assert_snapshot!(harness.trace);
}
