//! Measures with real processes how long a policy takes to be in force, which share of tasks clients lose
//! meanwhile, and the load of an idle group:
//!
//!     cargo build --release && cargo run --release -p tindock-scheduler-test-kit --example policies [SCHEDULERS...]
//!
//! The default group sizes are 3, 5 and 20. Tables are printed to standard output. The lease is 1.5 s
//! (`tindock_scheduler_test_kit::group::LEASE`), the wait for members that do not respond 0.5 s.

use std::time::{Duration, Instant};
use tindock_scheduler_test_kit::fleet::{until, Fleet};
use tindock_scheduler_test_kit::group::Group;
use tindock_scheduler_test_kit::mocks::TaskEnd;

const IDLE_TIME: Duration = Duration::from_secs(10);

/// Changes the policy. Returns the time until it is in force at all running members, the time during which
/// clients observed both policies, and the share of tasks that were lost.
fn change(group: &Group, number: usize, up: &[usize]) -> (Duration, Duration, f64) {
    let began = Instant::now();
    let file = group.file(number, "");
    let child = group.begin(0, &["propose", &file.display().to_string()]);
    until("in force", || up.iter().all(|at| group.number(*at) == Some(number)));
    let took = began.elapsed();
    let ended = child.wait_with_output().expect("an end");
    assert_eq!(ended.status.code(), Some(0), "{ended:?}");
    up.iter().for_each(|at| group.until_finished(number, *at));
    let records = group.fleet.records();
    let counted: Vec<_> = records.iter().filter(|t| t.answered >= began && up.contains(&t.to)).collect();
    let lost =
        counted.iter().filter(|t| t.end != TaskEnd::Finished).count() as f64 / counted.len().max(1) as f64;
    (took, group.overlap(number - 1, number), lost)
}

/// The CPU time of a process in seconds.
fn cpu_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|word| word.parse::<f64>().ok()).unwrap_or_default();
    (ticks(11) + ticks(12)) / 100.0
}

/// The mean CPU use of a scheduler without load, as a share of one core.
fn idle_cpu_share(fleet: &Fleet) -> f64 {
    let ids: Vec<u32> = fleet.nodes.iter().map(|node| node.id()).collect();
    let before: f64 = ids.iter().map(|id| cpu_seconds(*id)).sum();
    std::thread::sleep(IDLE_TIME);
    let after: f64 = ids.iter().map(|id| cpu_seconds(*id)).sum();
    (after - before) / IDLE_TIME.as_secs_f64() / ids.len() as f64
}

fn main() {
    let requested: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if requested.is_empty() { vec![3, 5, 20] } else { requested };
    println!(
        "| schedulers | down | in force at all that run | both were seen for | lost by clients of those |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for &schedulers in &sizes {
        for down in 0..=2.min((schedulers - 1) / 2) {
            let name = format!("times{schedulers}-{down}");
            let mut group = Group::start_with_policy(&name, schedulers, |_| String::new());
            let up: Vec<usize> = (0..schedulers - down).collect();
            (schedulers - down..schedulers).for_each(|at| group.fleet.nodes[at].kill());
            for number in [2, 3] {
                let (took, both, lost) = change(&group, number, &up);
                println!(
                    "| {schedulers} | {down} | {:.0} ms | {:.0} ms | {lost:.4} |",
                    took.as_secs_f64() * 1e3,
                    both.as_secs_f64() * 1e3
                );
            }
        }
    }
    println!("\n| schedulers | datagrams to one a second | CPU of one | without a group |");
    println!("| --- | --- | --- | --- |");
    for &schedulers in &sizes {
        let group = Group::start(&format!("rest{schedulers}"), schedulers, |_| String::new());
        let file = group.file(1, "").display().to_string();
        assert_eq!(group.command(0, &["propose", &file]).0, Some(0));
        let before: usize = group.relays.iter().map(|relay| relay.passed()).sum();
        let with = idle_cpu_share(&group.fleet);
        let passed = group.relays.iter().map(|relay| relay.passed()).sum::<usize>() - before;
        let each = passed as f64 / IDLE_TIME.as_secs_f64() / schedulers as f64;
        drop(group);
        let without = idle_cpu_share(&Fleet::start(&format!("bare{schedulers}"), schedulers));
        println!("| {schedulers} | {each:.1} | {:.2}% | {:.2}% |", with * 100.0, without * 100.0);
    }
}
