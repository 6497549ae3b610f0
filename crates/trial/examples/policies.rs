//! How long a policy takes to be in force with real processes, what clients lose meanwhile, and what a group costs at
//! rest:
//!
//!     cargo build --release && cargo run --release -p tindock-trial --example policies [SCHEDULERS...]
//!
//! For groups of 3, 5 and 20 unless told. Lines of a table go to standard output. The lease is the trials' 1.5 s, the wait for silent members 0.5 s.

use std::time::{Duration, Instant};
use tindock_trial::fleet::{until, Fleet};
use tindock_trial::group::Group;
use tindock_trial::mocks::TaskEnd;

const REST: Duration = Duration::from_secs(10);

/// How long until it is in force at all that run, for how long clients saw both, and the share of tasks that those lost.
fn change(group: &Group, number: usize, up: &[usize]) -> (Duration, Duration, f64) {
    let began = Instant::now();
    let file = group.file(number, "");
    let child = group.begin(0, &["propose", &file.display().to_string()]);
    until("in force", || up.iter().all(|at| group.number(*at) == Some(number)));
    let took = began.elapsed();
    let ended = child.wait_with_output().expect("an end");
    assert_eq!(ended.status.code(), Some(0), "{ended:?}");
    up.iter().for_each(|at| group.until_finished(number, *at));
    let told = group.fleet.records();
    let of: Vec<_> = told.iter().filter(|t| t.answered >= began && up.contains(&t.to)).collect();
    let lost = of.iter().filter(|t| t.end != TaskEnd::Finished).count() as f64 / of.len().max(1) as f64;
    (took, group.overlap(number - 1, number), lost)
}

/// CPU seconds that a process has used.
fn used(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|word| word.parse::<f64>().ok()).unwrap_or_default();
    (ticks(11) + ticks(12)) / 100.0
}

/// CPU of one scheduler, as a share of a core, over a while in which nobody asks for anything.
fn at_rest(fleet: &Fleet) -> f64 {
    let ids: Vec<u32> = fleet.nodes.iter().map(|node| node.id()).collect();
    let before: f64 = ids.iter().map(|id| used(*id)).sum();
    std::thread::sleep(REST);
    let after: f64 = ids.iter().map(|id| used(*id)).sum();
    (after - before) / REST.as_secs_f64() / ids.len() as f64
}

fn main() {
    let told: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let sizes = if told.is_empty() { vec![3, 5, 20] } else { told };
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
        let with = at_rest(&group.fleet);
        let passed = group.relays.iter().map(|relay| relay.passed()).sum::<usize>() - before;
        let each = passed as f64 / REST.as_secs_f64() / schedulers as f64;
        drop(group);
        let without = at_rest(&Fleet::start(&format!("bare{schedulers}"), schedulers));
        println!("| {schedulers} | {each:.1} | {:.2}% | {:.2}% |", with * 100.0, without * 100.0);
    }
}
