//! The coordinator of a change is killed at any step of its record, with faults on the ways to schedulers: in the end
//! all are old, all are new, or those that are not are named. `TINDOCK_KILLS=200 cargo test --test kills` runs more.

use oorandom::Rand32;
use std::fs;
use std::time::Duration;
use tindock_berth::digest;
use tindock_trial::fleet::{rollout, settings, until, Coordinator, Fleet};
use tindock_trial::relays::Fault;

/// Side by side, each with its own fleet.
const FLEETS: u64 = 5;
/// A run that is not disturbed writes eleven steps; killed after any of them, or not at all.
const STEPS: u32 = 12;

fn fault(chance: &mut Rand32) -> Fault {
    match chance.rand_range(0..6) {
        0 => Fault::Refuse,
        1 => Fault::Blackhole,
        2 => Fault::DropMatching("reread".into()),
        3 => Fault::DelayResponses(Duration::from_millis(u64::from(chance.rand_range(100..2500)))),
        4 => Fault::TruncateResponses(3),
        _ => Fault::None,
    }
}

/// One run, killed and gone on with or undone; what it ended as, for whoever reads the log of the test.
fn one(fleet: &Fleet, seed: u64) -> String {
    let mut chance = Rand32::new(seed);
    let run = format!("run{seed}");
    // Each run brings another limit, so that old and new are never the same.
    let next = format!(r#"{{"settings":{}}}"#, settings(4.0 + seed as f64 / 1000.0));
    let plan = fleet.plan(&run, &next, "change-within = \"4s\"\nundo-within = \"6s\"");
    let log = fleet.folder.join(format!("{run}-record/log.jsonl"));
    let steps = || fs::read_to_string(&log).map_or(0, |text| text.lines().count() as u32);
    let (kill_at, word) =
        (chance.rand_range(1..STEPS + 1), ["resume", "undo"][chance.rand_range(0..2) as usize]);
    let node = &fleet.nodes[chance.rand_range(0..3) as usize];
    let (strikes_at, fault) = (chance.rand_range(1..STEPS), fault(&mut chance));

    // One that was killed as it ended has let go of nothing: its leases run out.
    let mut coordinator = Coordinator::start("run", &plan);
    until("a run that begins", || {
        if steps() > 0 {
            return true;
        }
        if coordinator.child.try_wait().expect("a child").is_some() {
            let again = Coordinator::start("run", &plan);
            let (_, said) = std::mem::replace(&mut coordinator, again).end();
            assert!(said.contains("lease: "), "seed {seed}: {said}");
            std::thread::sleep(Duration::from_millis(500));
        }
        false
    });
    let mut struck = false;
    until("a step to be killed at, or the end", || {
        let at = steps();
        if !struck && at >= strikes_at {
            struck = true;
            node.relay.set(fault.clone());
        }
        at >= kill_at || coordinator.child.try_wait().expect("a child").is_some()
    });
    coordinator.kill();
    let at = steps();
    // What is wrong on the way lasts into the next one's work for a while.
    let next = Coordinator::start(word, &plan);
    std::thread::sleep(Duration::from_millis(u64::from(chance.rand_range(0..3000))));
    node.relay.set(Fault::None);
    let (code, said) = next.end();

    let of = |ending: &str| -> Option<Vec<String>> {
        let text =
            |name: &str| fs::read_to_string(fleet.folder.join(format!("{run}-record/{name}.{ending}")));
        fleet.nodes.iter().map(|node| text(&node.name).ok().map(digest)).collect()
    };
    let what = format!(
        "seed {seed}: killed at step {at}, {fault:?} from step {strikes_at}, {word}: {code:?} {said}"
    );
    let (in_force, files) = (fleet.in_force(), fleet.files().iter().map(digest).collect::<Vec<_>>());
    let (old, new) = (of("old").expect("texts of the record"), of("new").expect("texts of the record"));
    match code {
        Some(3) => {
            let wrong = fleet.nodes.iter().zip(in_force.iter().zip(&old)).filter(|(_, (is, old))| is != old);
            wrong.for_each(|(node, _)| assert!(said.contains(&node.name), "{what}"));
            // With the way whole again nothing is left.
            let (code, said) = rollout("undo", &plan);
            assert_eq!(code, Some(0), "{what}; then {said}");
            assert_eq!(fleet.in_force(), old, "{what}; then {said}");
        }
        Some(0 | 1) => {
            assert!(in_force == files && (in_force == old || in_force == new), "{what}");
            if word == "undo" {
                assert_eq!(in_force, old, "{what}");
            }
        }
        _ => panic!("{what}"),
    }
    what
}

/// Guards against a fleet that is left half changed, whatever line the coordinator was killed at.
#[test]
fn whatever_step_it_is_killed_at_nothing_is_left_half_done() {
    let runs: u64 = std::env::var("TINDOCK_KILLS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(10);
    let fleets: Vec<_> = (0..FLEETS)
        .map(|number| {
            std::thread::spawn(move || {
                let mut fleet = Fleet::start(&format!("kills{number}"), 3);
                fleet.load();
                for seed in (number..runs).step_by(FLEETS as usize) {
                    println!("{}", one(&fleet, seed));
                }
                assert_eq!(fleet.violations(), [""; 0]);
            })
        })
        .collect();
    fleets.into_iter().for_each(|fleet| fleet.join().expect("a fleet whose runs all ended well"));
}
