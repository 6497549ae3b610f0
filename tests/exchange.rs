//! The policy with message exchange among schedulers: snapshots of its decisions, and robustness to bad
//! input.

#[allow(dead_code)] // other tests use the rest
mod helpers;

use helpers::{ms, settings_for, Harness};
use insta::assert_snapshot;
use tindock::types::{Effect, Ending};

/// The third of `schedulers` that all exchange messages: many grant slots to one another, few announce to
/// all.
fn peer(schedulers: usize, workers: usize) -> Harness {
    peer_at(schedulers, 2, workers)
}

fn peer_at(schedulers: usize, position: usize, workers: usize) -> Harness {
    let mut settings = settings_for(&[Effect::Idempotent]);
    (settings.schedulers, settings.members, settings.position, settings.message_cost) =
        (schedulers, schedulers, position, 0.01);
    (settings.report_free, settings.report_waiting) = (Some(0), Some(1));
    let mut harness = Harness::new(settings, workers);
    for worker in 0..workers {
        harness.policy.set_worker_hash(worker, 1000 + worker as u64);
    }
    harness
}

/// Each of many schedulers sees little of the traffic: free slots must reach a scheduler that needs them.
#[test]
fn freed_slots_are_kept_then_granted() {
    let mut harness = peer(60, 8);
    let tasks = [(); 4].map(|()| harness.arrive(0));
    harness.run_until(1150);
    for task in tasks {
        harness.policy.started(task, 0);
    }
    harness.run_until(1400);
    for task in tasks {
        harness.end(task, 0, Ending::Finished);
    }
    harness.note("scheduler 7 asks");
    harness.policy.slots_requested(7);
    harness.pull();
    harness.note("one slot of worker 5 is left to this scheduler");
    harness.policy.slots_granted(5, 1.0);
    harness.arrive(0);
    assert_snapshot!(harness.trace);
}

/// Guards against a standstill: an answer reports free slots that no scheduler knows of.
#[test]
fn reported_free_slots_are_granted_on_request() {
    let mut harness = peer(60, 8);
    let task = harness.arrive(0);
    harness.run_until(1150);
    harness.policy.started(task, 0);
    harness.note("the answer comes with a report of three free slots");
    harness.at(1300);
    harness.policy.ended(task, 0, Ending::Finished, true);
    harness.policy.reported(0, &[3.0, 0.0]);
    harness.pull();
    harness.note("scheduler 7 asks");
    harness.policy.slots_requested(7);
    harness.pull();
    assert_snapshot!(harness.trace);
}

/// Guards against all schedulers choosing the same worker: slots used by peers count, and announcements out
/// of order or received twice change nothing.
#[test]
fn stale_and_repeated_announcements_change_nothing() {
    let mut harness = peer(3, 2);
    harness.run_until(1030);
    for peer in [0, 1] {
        harness.policy.peer_usage(0, peer, 7, 1.0);
        harness.policy.peer_usage(0, peer, 7, 1.0);
        harness.policy.peer_usage(0, peer, 6, 0.0);
        harness.policy.peer_usage(1, peer, 7, 0.0);
    }
    harness.run_until(2100); // totals updated: both peers announce
    harness.note("worker 0 is full by the others' words");
    harness.arrive(0);
    harness.arrive(0);
    harness.run_until(2200);
    assert_snapshot!(harness.trace);
}

/// Guards against fetching each data set everywhere: every scheduler selects the same homes, and tasks wait
/// for them.
#[test]
fn every_scheduler_selects_the_same_home_workers() {
    let homes = |position: usize| {
        let mut harness = peer_at(3, position, 6);
        let mut homes = Vec::new();
        for set in 1..30 {
            let task = harness.policy.arrived(0, 1.0, ms(8000), 0);
            harness.policy.set_data_set(task, set);
            harness.trace.clear();
            harness.pull();
            harness.trace.retain(|c| c != '\n');
            homes.push(harness.trace.trim().chars().last());
            harness.policy.started(task, 0);
            harness.at(harness.now + 400);
            harness.policy.ended(task, 0, Ending::Finished, true);
            harness.pull();
        }
        homes
    };
    assert_eq!(homes(0), homes(1));
    let distinct: std::collections::BTreeSet<_> = homes(0).into_iter().collect();
    assert!(distinct.len() >= 5, "spread over the workers: {distinct:?}");
}

/// Guards against invalid input from a peer or a worker: no panic, and every decision as without it.
#[test]
fn invalid_peer_input_changes_nothing() {
    let run = |schedulers: usize, invalid: bool| {
        let mut harness = peer(schedulers, 4);
        for number in 0..6 {
            let task = harness.arrive(0);
            if invalid {
                harness.policy.peer_usage(99, 0, 1, 3.0); // a worker on no list
                harness.policy.peer_usage(0, 2, 1, 3.0); // from itself
                harness.policy.peer_usage(0, 777, 1, 3.0); // from an unknown scheduler
                harness.policy.slots_granted(99, 1.0);
                harness.policy.slots_granted(0, 0.0);
                harness.policy.slots_requested(777);
                harness.policy.reported(0, &[]);
                harness.policy.reported(0, &[f64::NAN, 1.0]);
                harness.policy.reported(0, &[f64::INFINITY, 1.0]);
            }
            harness.policy.started(task, 0);
            let next = harness.now + 300 + number;
            harness.run_until(next);
            harness.end(task, 0, Ending::Finished);
        }
        harness.trace
    };
    for schedulers in [3, 60] {
        assert_eq!(run(schedulers, true), run(schedulers, false));
    }
}

/// With the default settings a scheduler outside the exchange ignores the messages of others.
#[test]
fn messages_change_nothing_without_an_exchange() {
    let run = |exchange: bool| {
        let mut settings = settings_for(&[Effect::Idempotent, Effect::Unrepeatable]);
        settings.members = usize::from(exchange);
        let mut harness = Harness::new(settings, 4);
        for number in 0..12 {
            if exchange {
                harness.policy.slots_granted(0, 2.0);
                harness.policy.peer_usage(1, 1, number as u16, 5.0);
                harness.policy.slots_requested(1);
            }
            harness.run(number % 2, [300, 500]);
        }
        harness.trace
    };
    assert_eq!(run(true), run(false));
}

/// Guards against a panic when a task that names a data set arrives before any list.
#[test]
fn a_data_set_before_any_list_does_not_panic() {
    let mut settings = settings_for(&[Effect::Idempotent]);
    (settings.members, settings.message_cost) = (2, 0.01);
    let mut policy = tindock::policy::Policy::new(settings, 7, ms(1000));
    policy.set_time(ms(1000));
    let task = policy.arrived(0, 1.0, ms(8000), 0);
    policy.set_data_set(task, 5);
    while let Some(decision) = policy.decide() {
        assert!(matches!(decision, tindock::types::Decision::Wake { .. }), "{decision:?}");
    }
}
