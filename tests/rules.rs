//! The module by itself: the index against the paper, and kept traces of decisions for each failure met.

mod helpers;

use helpers::{duty, ms, Desk};
use insta::assert_snapshot;
use tindock::index::whittle;
use tindock::types::{Condition, Effect, Ending, Energy, Group};

/// The mean number in the paper's queue grows by this much when the threshold moves: the busy index, worked
/// out with b^n as repeated products and exact fractions, apart from the code's closed form.
#[test]
fn the_index_agrees_with_the_paper() {
    // lambda 3, mu 2, delta 4: a = 3/4, b = 3/2, b(1+a)-a = 15/8, prefactor 4/5.
    // n = 2: b((n+1)-(n+2)b+b^4)/(b-1)^2 = 12.375; a^2-3a = -1.6875; a(b-a)(a/(1+a))^2 = 81/784.
    let busy = 0.8 * (12.375 - 1.6875 + 81.0 / 784.0);
    assert!((whittle(2.0, Energy::Busy, 3.0, 2.0, 4.0) - busy).abs() < 1e-12);
    assert!((whittle(2.0, Energy::Setup, 3.0, 2.0, 4.0) - 0.8 * (12.375 + 0.75)).abs() < 1e-12);
    assert!((whittle(0.0, Energy::Off, 3.0, 2.0, 4.0) - 2.25).abs() < 1e-12);
    // A busy worker with nothing of ours: b.
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
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 4);
    for _ in 0..80 {
        desk.run(0, [300, 700]);
    }
    desk.trace.clear();
    for _ in 0..8 {
        desk.arrive(0);
    }
    assert_snapshot!(desk.trace);
}

/// Guards against waiting behind others' tasks on a full worker while another stands free.
#[test]
fn a_task_that_does_not_start_moves_on() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent, Effect::Unrepeatable]), 3);
    let (moves, stays) = (desk.arrive(0), desk.arrive(1));
    desk.until(1100);
    desk.end(moves, 0, Ending::Cancelled);
    desk.rules.started(moves, 1);
    desk.until(1800);
    desk.note("the unrepeatable one waits on");
    desk.end(stays, 0, Ending::Full);
    assert_snapshot!(desk.trace);
}

/// Guards against doubled effects: a repeat stays in its zone while that remembers, then is broken off.
#[test]
fn a_deduplicated_task_stays_in_its_group_and_window() {
    let mut desk = Desk::new(duty(&[Effect::Deduplicated(Group::Zone)]), 4);
    let task = desk.arrive(0);
    desk.rules.started(task, 0);
    desk.end(task, 0, Ending::Error);
    desk.rules.started(task, 1);
    desk.end(task, 1, Ending::Reset);
    desk.note("no third worker in that zone");
    desk.until(3000);
    assert_snapshot!(desk.trace);
}

/// Guards against a second run of what may have run once, and against a shed reply that invites one.
#[test]
fn an_unrepeatable_task_goes_on_only_if_it_never_ran() {
    let mut desk = Desk::new(duty(&[Effect::Unrepeatable]), 3);
    let task = desk.arrive(0);
    desk.end(task, 0, Ending::ConnectFailed);
    desk.end(task, 1, Ending::Error);
    let late = desk.arrive(0);
    desk.note(&format!("task {late} is never heard of again"));
    desk.until(9500);
    assert_snapshot!(desk.trace);
}

/// Guards against feeding a worker that takes tasks and answers none: its progress notes are missing.
#[test]
fn a_silent_worker_is_left_alone() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 3);
    let task = desk.arrive(0);
    desk.rules.started(task, 0);
    desk.until(2800);
    desk.end(task, 0, Ending::Cancelled);
    desk.rules.started(task, 1);
    for _ in 0..4 {
        desk.arrive(0);
    }
    assert_snapshot!(desk.trace);
}

/// Guards against a worker barred, and all that is on it called off, for one task that never ends: its worker tells of
/// others, so that task alone goes elsewhere.
#[test]
fn a_task_that_stands_still_alone_moves_alone() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 2);
    let tasks = [(); 4].map(|()| desk.arrive(0));
    for task in tasks {
        desk.rules.started(task, 0);
    }
    for then in [1900, 2600, 3200] {
        desk.until(then);
        for task in &tasks[1..] {
            desk.rules.progressed(*task, 0, 0.5);
        }
        desk.pull();
    }
    assert_snapshot!(desk.trace);
}

/// Guards against quick errors, which keep n and so the index low.
#[test]
fn a_worker_that_errs_is_barred_and_returns_by_a_trickle() {
    let mut desk = Desk::new(duty(&[Effect::Unrepeatable]), 3);
    for _ in 0..3 {
        for task in [desk.arrive(0), desk.arrive(0), desk.arrive(0)] {
            let bad = format!("task {task} to worker 2");
            let last = desk.trace.lines().rev().find(|l| l.contains(&format!("task {task} to")));
            let to_bad = last.is_some_and(|l| l.ends_with(&bad));
            desk.end(task, 0, if to_bad { Ending::Error } else { Ending::Finished });
        }
        let next = desk.now + 30;
        desk.until(next);
    }
    desk.until(4000);
    for _ in 0..3 {
        desk.arrive(0);
    }
    assert_snapshot!(desk.trace);
}

/// Guards against a third of the capacity lost where many workers break many connections: one that is barred for that
/// is still better than none for what may run again, but not for the rest.
#[test]
fn a_barred_worker_is_better_than_none_for_what_may_run_again() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent, Effect::Unrepeatable]), 3);
    for _ in 0..3 {
        for task in [1, 1, 1].map(|workload| desk.arrive(workload)) {
            let last = desk.trace.lines().rev().find(|l| l.contains(&format!("task {task} to")));
            let to_bad = last.is_some_and(|l| l.ends_with("worker 2"));
            desk.end(task, 0, if to_bad { Ending::Error } else { Ending::Finished });
        }
        let next = desk.now + 30;
        desk.until(next);
    }
    desk.note("the other two have four slots");
    for workload in [0, 0, 0, 0, 1, 0] {
        let task = desk.arrive(workload);
        desk.note(&format!("that was task {task} of workload {workload}"));
    }
    assert_snapshot!(desk.trace);
}

/// Guards against slots that are not there, and a worker that is never empty: a task that needs 1.6 units of memory
/// still takes one slot, and sums of such sizes neither tell the slots nor come back to nothing.
#[test]
fn fractions_of_memory_are_no_slots() {
    let mut sheet = duty(&[Effect::Idempotent, Effect::Idempotent]);
    sheet.workloads[1].utility = 0.1;
    let mut desk = Desk::new(sheet, 1);
    let tasks = [(); 2].map(|()| desk.rules.arrived(0, 1.6, ms(8000), 0));
    desk.pull();
    for task in tasks {
        desk.rules.started(task, 0);
    }
    let next = desk.now + 50;
    desk.until(next);
    for task in tasks {
        desk.end(task, 0, Ending::Finished);
    }
    for _ in 0..3 {
        desk.arrive(1);
    }
    assert_snapshot!(desk.trace);
}

/// Guards against pushing over a cold worker: few, spaced tasks, though it is the only one.
#[test]
fn a_cold_worker_is_sent_little() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 1);
    desk.list(0, Condition::Gone, None);
    desk.at(2000).list(0, Condition::Ready, Some(1900));
    for _ in 0..30 {
        desk.arrive(0);
        let next = desk.now + 100;
        desk.until(next);
    }
    assert_snapshot!(desk.trace);
}

/// Guards against a worker that warms and passes for a slow one, which its cold budget would be cut by once more.
#[test]
fn a_worker_that_warms_is_no_slow_one() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 2);
    let share = |now: u64| (0.2 + 0.8 * now.saturating_sub(3000) as f64 / 10_000.0).min(1.0);
    for (worker, until, warm) in [(1, 3000, true), (0, 9000, false)] {
        desk.list(1 - worker, Condition::Gone, None);
        desk.list(worker, Condition::Ready, (!warm).then_some(3000));
        while desk.now < until {
            let task = desk.arrive(0);
            desk.until(desk.now + 200);
            desk.rules.started(task, 0);
            let now = if warm { 13_000 } else { desk.now };
            let ends = desk.now + (100.0 / share(now).sqrt()) as u64;
            desk.at(ends).rules.ended(task, 0, Ending::Finished, true);
            desk.pull();
        }
    }
    desk.until(10_000);
    desk.trace.clear();
    let known = &desk.rules.records().1[0];
    let line = format!("{} runs, {:.2} apart from its kind", known.completions, known.speed_offset);
    desk.note(&line);
    desk.arrive(0);
    desk.arrive(0);
    desk.until(10_300);
    assert_snapshot!(desk.trace);
}

/// Guards against sending to a draining worker, and holds tasks while there is none at all.
#[test]
fn nothing_goes_to_a_draining_worker() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 1);
    desk.list(0, Condition::Draining, None);
    desk.arrive(0);
    desk.until(1500);
    desk.note("it is ready again");
    desk.list(0, Condition::Ready, None);
    desk.until(1600);
    assert_snapshot!(desk.trace);
}

/// Guards against a workload all of whose tasks are shed before any has run: how long one runs is only a guess then, and
/// a promised time that does not grow with the run must leave room for it.
#[test]
fn the_first_task_is_sent_whatever_the_promise() {
    for stretch in [0.0, 0.3, 1.0, 2.0] {
        let mut sheet = duty(&[Effect::Unrepeatable]);
        sheet.workloads[0].stretch = stretch;
        let mut desk = Desk::new(sheet, 1);
        desk.arrive(0);
        assert!(desk.trace.contains("to worker 0"), "stretch {stretch}: {}", desk.trace);
    }
}

/// Guards against queues at workers that put little utility before much: it waits here until there is room.
#[test]
fn low_utility_waits_here_while_high_utility_queues() {
    let mut sheet = duty(&[Effect::Idempotent, Effect::Idempotent]);
    sheet.workloads[0].utility = 10.0;
    let mut desk = Desk::new(sheet, 1);
    let running = [desk.arrive(0), desk.arrive(0)];
    running.iter().for_each(|&task| desk.rules.started(task, 0));
    desk.note("both slots run; one of each workload arrives, the lesser first");
    let waits = [desk.arrive(1), desk.arrive(0)];
    desk.until(1200);
    desk.end(running[0], 0, Ending::Finished);
    desk.rules.started(waits[1], 0);
    desk.end(running[1], 0, Ending::Finished);
    desk.until(1300);
    assert_snapshot!(desk.trace);
}

/// Guards against one customer's rush: beyond its share a task has a tenth of the utility and may not queue.
#[test]
fn a_customer_beyond_its_share_comes_last() {
    let mut sheet = duty(&[Effect::Idempotent]);
    (sheet.quotas, sheet.beyond_share) = (vec![2.0, 2.0], 0.1);
    let mut desk = Desk::new(sheet, 1);
    for customer in [0, 0, 0, 0, 0, 1] {
        let task = desk.rules.arrived(0, 1.0, ms(8000), customer);
        desk.note(&format!("task {task} of customer {customer}"));
        desk.pull();
    }
    assert_snapshot!(desk.trace);
}

/// Guards against barring workers one after the other when all err: it is something they share.
#[test]
fn when_all_err_nobody_is_barred() {
    let mut desk = Desk::new(duty(&[Effect::Unrepeatable]), 4);
    for _ in 0..4 {
        let tasks: Vec<usize> = (0..4).map(|_| desk.arrive(0)).collect();
        for task in tasks {
            desk.rules.ended(task, 0, Ending::Error, false);
        }
        desk.pull();
        let next = desk.now + 25;
        desk.until(next);
    }
    let barred: Vec<&str> = desk.trace.lines().filter(|l| l.contains("barred")).collect();
    assert_snapshot!(format!("{} lines, barred: {barred:?}", desk.trace.lines().count()));
}

/// Guards against instances that wake in vain: with nothing in hand no bell is asked for.
#[test]
fn a_scheduler_without_tasks_sleeps() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 3);
    let task = desk.arrive(0);
    desk.rules.started(task, 0);
    desk.until(1200);
    let busy = desk.bells;
    desk.end(task, 0, Ending::Finished);
    desk.until(20_000);
    assert_snapshot!(format!("{busy} bells while it ran, {} in all", desk.bells));
}

/// Guards against a crowd on the few best of a large list: a rare sender draws from it by chance.
#[test]
fn a_large_list_is_drawn_from() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 60);
    for _ in 0..12 {
        let task = desk.arrive(0);
        desk.rules.started(task, 0);
        let next = desk.now + 2500;
        desk.at(next).rules.ended(task, 0, Ending::Finished, true);
        desk.pull();
    }
    assert_snapshot!(desk.trace);
}

/// Guards against staying in a zone that others have filled: once that is seen, tasks cross.
#[test]
fn a_crowded_zone_is_left() {
    let mut sheet = duty(&[Effect::Idempotent]);
    sheet.crossing_cost = 0.05;
    let mut desk = Desk::new(sheet, 40);
    for _ in 0..60 {
        let task = desk.arrive(0);
        let number = desk.trace.lines().last().and_then(|l| l.rsplit(' ').next()?.parse::<usize>().ok());
        let crowded = number.is_some_and(|worker| worker % 2 == 0);
        desk.rules.ended(task, 0, if crowded { Ending::Full } else { Ending::Finished }, true);
        let next = desk.now + 300;
        desk.until(next);
    }
    let near = |l: &&str| l.trim_end().ends_with(['0', '2', '4', '6', '8']);
    let sent: Vec<&str> = desk.trace.lines().filter(|l| l.contains(" to worker ")).collect();
    let of = |part: &[&str]| part.iter().filter(|l| near(l)).count();
    assert_snapshot!(format!(
        "in the own zone {} of the first 10, {} of the last 10",
        of(&sent[..10]),
        of(&sent[50..])
    ));
}

/// Guards against queues of tasks that are late when they start: given up while that helps the others.
#[test]
fn what_has_not_started_in_time_is_given_up() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 1);
    for _ in 0..4 {
        desk.run(0, [400, 400]);
    }
    desk.trace.clear();
    desk.arrive(0);
    desk.until(desk.now + 3000);
    assert_snapshot!(desk.trace);
}

/// Guards against calling off the further assignment of a task whose first run broke after its start.
#[test]
fn a_further_assignment_is_no_spare_copy() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 3);
    let task = desk.arrive(0);
    desk.rules.started(task, 0);
    desk.end(task, 0, Ending::Reset);
    desk.until(1030);
    desk.rules.started(task, 1);
    desk.until(1500);
    assert_snapshot!(desk.trace);
}

/// Guards against tasks for a worker out by hand, whatever the list says of it, and against one that stays out.
#[test]
fn a_ban_holds_over_the_list_until_it_is_lifted() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 2);
    desk.rules.banned(0, true);
    desk.list(0, Condition::Gone, None);
    desk.at(2000).list(0, Condition::Ready, Some(1900));
    for _ in 0..3 {
        desk.arrive(0);
    }
    assert_eq!(desk.rules.avoided(), 1);
    desk.note("worker 0 is put back, and cold");
    desk.at(4000).rules.banned(0, false);
    desk.pull();
    desk.arrive(0);
    assert_eq!(desk.rules.avoided(), 0);
    assert_snapshot!(desk.trace);
}

/// Guards against tasks that wait for nobody: with all out by hand they are answered at once, one that may have run too.
#[test]
fn with_all_out_by_hand_nothing_waits() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent, Effect::Unrepeatable]), 2);
    let runs = desk.arrive(1);
    desk.rules.started(runs, 0);
    desk.list(1, Condition::Draining, None);
    for worker in 0..2 {
        desk.note(&format!("worker {worker} is taken out by hand"));
        desk.rules.banned(worker, true);
        desk.pull();
        desk.arrive(0);
    }
    desk.end(runs, 0, Ending::Reset);
    desk.rules.banned(0, false);
    desk.note("worker 0 is put back");
    desk.arrive(0);
    assert_snapshot!(desk.trace);
}

/// Guards against a cold worker pushed over by two processes of one scheduler: the one that yields sends it nothing.
#[test]
fn who_has_yielded_leaves_cold_workers_to_the_other() {
    let mut desk = Desk::new(duty(&[Effect::Idempotent]), 1);
    desk.list(0, Condition::Gone, None);
    desk.at(2000).list(0, Condition::Ready, Some(1900));
    // By then its rest after the start is over.
    desk.until(4000);
    desk.rules.yielded(true);
    desk.arrive(0);
    desk.until(4100);
    desk.note("the other process is gone");
    desk.rules.yielded(false);
    desk.until(4200);
    assert_snapshot!(desk.trace);
}

/// Guards against tasks in hand that are judged by a new file: the row under which they came stays theirs.
#[test]
fn a_task_keeps_its_row_when_its_workload_changes() {
    let mut desk = Desk::new(duty(&[Effect::Unrepeatable]), 2);
    let task = desk.arrive(0);
    let before = duty(&[Effect::Unrepeatable, Effect::Idempotent]);
    desk.rules.reconfigure(before, &[Some(0), Some(0)]);
    let free = desk.arrive(1);
    desk.end(free, 0, Ending::Reset);
    desk.end(task, 0, Ending::Reset);
    assert_snapshot!(desk.trace);
}
