//! The coordinator of a rollout is killed after a random step of its record, with faults on the network paths
//! to schedulers: in the end all have the old settings, all have the new ones, or the exceptions are named.
//! `TINDOCK_KILLS=200 cargo test --test kills` runs more.

use oorandom::Rand32;
use std::fs;
use std::time::Duration;
use tindock_scheduler_config::digest;
use tindock_scheduler_test_kit::fleet::{rollout, settings, until, Coordinator, Fleet};
use tindock_scheduler_test_kit::relays::Fault;

/// Concurrent test threads, each with its own fleet.
const FLEETS: u64 = 5;
/// An undisturbed run records eleven steps; it is killed after any of them, or not at all.
const STEPS: u32 = 12;

fn fault(rng: &mut Rand32) -> Fault {
    match rng.rand_range(0..6) {
        0 => Fault::Refuse,
        1 => Fault::Blackhole,
        2 => Fault::DropMatching("reread".into()),
        3 => Fault::DelayResponses(Duration::from_millis(u64::from(rng.rand_range(100..2500)))),
        4 => Fault::TruncateResponses(3),
        _ => Fault::None,
    }
}

/// One run, killed and then resumed or undone; returns its outcome for the test log.
fn run_killed(fleet: &Fleet, seed: u64) -> String {
    let mut rng = Rand32::new(seed);
    let run = format!("run{seed}");
    // Each run sets another limit, so that old and new always differ.
    let next = format!(r#"{{"settings":{}}}"#, settings(4.0 + seed as f64 / 1000.0));
    let plan = fleet.plan(&run, &next, "change-within = \"4s\"\nundo-within = \"6s\"");
    let log = fleet.folder.join(format!("{run}-record/log.jsonl"));
    let steps = || fs::read_to_string(&log).map_or(0, |text| text.lines().count() as u32);
    let (kill_at, command) =
        (rng.rand_range(1..STEPS + 1), ["resume", "undo"][rng.rand_range(0..2) as usize]);
    let node = &fleet.nodes[rng.rand_range(0..3) as usize];
    let (fault_at, fault) = (rng.rand_range(1..STEPS), fault(&mut rng));

    // A coordinator killed at its end has not released its leases: the next one waits until they expire.
    let mut coordinator = Coordinator::start("run", &plan);
    until("the run has started", || {
        if steps() > 0 {
            return true;
        }
        if coordinator.child.try_wait().expect("a child").is_some() {
            let again = Coordinator::start("run", &plan);
            let (_, output) = std::mem::replace(&mut coordinator, again).end();
            assert!(output.contains("lease: "), "seed {seed}: {output}");
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    });
    let mut fault_set = false;
    until("the step of the kill, or the end", || {
        let at = steps();
        if !fault_set && at >= fault_at {
            fault_set = true;
            node.relay.set(fault.clone());
        }
        at >= kill_at || coordinator.child.try_wait().expect("a child").is_some()
    });
    coordinator.kill();
    let at = steps();
    // The fault lasts for a while into the next coordinator's run.
    let next = Coordinator::start(command, &plan);
    std::thread::sleep(Duration::from_millis(u64::from(rng.rand_range(0..3000))));
    node.relay.set(Fault::None);
    let (code, output) = next.end();

    let recorded = |ending: &str| -> Option<Vec<String>> {
        let text =
            |name: &str| fs::read_to_string(fleet.folder.join(format!("{run}-record/{name}.{ending}")));
        fleet.nodes.iter().map(|node| text(&node.name).ok().map(digest)).collect()
    };
    let outcome = format!(
        "seed {seed}: killed at step {at}, {fault:?} from step {fault_at}, {command}: {code:?} {output}"
    );
    let (in_force, files) = (fleet.in_force(), fleet.files().iter().map(digest).collect::<Vec<_>>());
    let (old, new) =
        (recorded("old").expect("texts of the record"), recorded("new").expect("texts of the record"));
    match code {
        Some(3) => {
            let unrestored = fleet
                .nodes
                .iter()
                .zip(in_force.iter().zip(&old))
                .filter(|(_, (current, old))| current != old);
            unrestored.for_each(|(node, _)| assert!(output.contains(&node.name), "{outcome}"));
            // Without the fault everything can be undone.
            let (code, output) = rollout("undo", &plan);
            assert_eq!(code, Some(0), "{outcome}; then {output}");
            assert_eq!(fleet.in_force(), old, "{outcome}; then {output}");
        }
        Some(0 | 1) => {
            assert!(in_force == files && (in_force == old || in_force == new), "{outcome}");
            if command == "undo" {
                assert_eq!(in_force, old, "{outcome}");
            }
        }
        _ => panic!("{outcome}"),
    }
    outcome
}

/// Guards against a fleet that stays half changed after the coordinator was killed, at whichever step.
#[test]
fn a_run_killed_at_any_step_can_be_resumed_or_undone() {
    let runs: u64 = std::env::var("TINDOCK_KILLS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(10);
    let fleets: Vec<_> = (0..FLEETS)
        .map(|number| {
            std::thread::spawn(move || {
                let mut fleet = Fleet::start(&format!("kills{number}"), 3);
                fleet.load();
                for seed in (number..runs).step_by(FLEETS as usize) {
                    println!("{}", run_killed(&fleet, seed));
                }
                assert_eq!(fleet.violations(), [""; 0]);
            })
        })
        .collect();
    fleets.into_iter().for_each(|fleet| fleet.join().expect("all runs of a fleet"));
}
