//! Groups of real schedulers with random faults: kills, suspensions, network cuts, delayed messages, and
//! proposals from any member. In the end one number is in force at all members, and none served for long
//! under another one. `TINDOCK_ACCORDS=300 cargo test --test accord_runs` runs more.

use oorandom::Rand32;
use std::process::Child;
use std::thread::sleep;
use std::time::Duration;
use tindock_scheduler_test_kit::group::{exit_and_output, Group};
use tindock_scheduler_test_kit::relays::LinkState;

/// Concurrent test threads, each with its own group.
const GROUPS: u64 = 4;
const MEMBERS: usize = 5;
const STEPS: usize = 10;
/// Numbers under which clients send tasks; a run proposes no larger one.
const NUMBERS: usize = 4;

/// A random one of these members; none if there are none.
fn choose(rng: &mut Rand32, of: &[usize]) -> Option<usize> {
    (!of.is_empty()).then(|| of[rng.rand_range(0..of.len() as u32) as usize])
}

/// One run; returns its events for the test log.
fn run(seed: u64) -> String {
    let mut rng = Rand32::new(seed);
    let mut group = Group::start_with_policy(&format!("chance{seed}"), MEMBERS, |_| String::new());
    group.load_up_to(NUMBERS);
    let (mut up, mut stopped, mut events) = (group.all(), Vec::new(), Vec::new());
    let mut proposals: Vec<Child> = Vec::new();
    for _ in 0..STEPS {
        let runs: Vec<usize> = up.iter().copied().filter(|at| !stopped.contains(at)).collect();
        match rng.rand_range(0..8) {
            0..=2 => {
                let number = choose(&mut rng, &runs).and_then(|at| Some((at, group.number(at)? + 1)));
                if let Some((at, next)) = number.filter(|(_, next)| *next <= NUMBERS) {
                    let file = group.file(next, &format!("# {}", proposals.len()));
                    let args = ["propose", &file.display().to_string(), "--within", "3"];
                    proposals.push(group.begin(at, &args));
                    events.push(format!("n{at} proposes {next}"));
                }
            }
            3 => {
                if let Some(at) = choose(&mut rng, &runs).filter(|_| up.len() > 2) {
                    group.fleet.nodes[at].kill();
                    up.retain(|up| *up != at);
                    events.push(format!("n{at} killed"));
                }
            }
            4 => {
                let down: Vec<usize> = group.all().into_iter().filter(|at| !up.contains(at)).collect();
                if let Some(at) = choose(&mut rng, &down) {
                    group.fleet.nodes[at].launch();
                    up.push(at);
                    events.push(format!("n{at} begins again"));
                }
            }
            5 => {
                if let Some(at) = choose(&mut rng, &runs).filter(|_| stopped.is_empty()) {
                    group.fleet.nodes[at].signal("-STOP");
                    stopped.push(at);
                    events.push(format!("n{at} stopped"));
                } else if let Some(at) = stopped.pop() {
                    group.fleet.nodes[at].signal("-CONT");
                }
            }
            6 => {
                let fault = match rng.rand_range(0..3) {
                    0 => {
                        LinkState::DelayAndDuplicate(Duration::from_millis(u64::from(rng.rand_range(5..400))))
                    }
                    1 => LinkState::DropOneIn(3),
                    _ => LinkState::Cut,
                };
                let (to, from) = (rng.rand_range(0..5) as usize, rng.rand_range(0..5) as usize);
                // One link in one direction, or all links of one member.
                match rng.rand_range(0..2) {
                    0 => group.relays[to].set(group.endpoints[from], fault),
                    _ => group.set_links(&[to], &group.all(), fault),
                }
                events.push(format!("n{to} {fault:?}"));
            }
            _ => group.heal(),
        }
        sleep(Duration::from_millis(u64::from(rng.rand_range(20..600))));
    }
    group.heal();
    stopped.iter().for_each(|at| group.fleet.nodes[*at].signal("-CONT"));
    for at in group.all().into_iter().filter(|at| !up.contains(at)) {
        group.fleet.nodes[at].launch();
    }
    let ended: Vec<_> =
        proposals.into_iter().map(|p| exit_and_output(p.wait_with_output().expect("an end"))).collect();
    let number = group.until_one_in_force();
    let events = format!("{}; {number} in force; {ended:?}", events.join(", "));
    assert_eq!(group.violations(), [""; 0], "seed {seed}: {events}");
    events
}

/// Guards against members that stay on different policies after random faults.
#[test]
fn after_random_faults_one_number_is_in_force_at_all() {
    let runs = std::env::var("TINDOCK_ACCORDS").map_or(20, |count| count.parse().expect("a number"));
    std::thread::scope(|scope| {
        for first in 0..GROUPS {
            scope.spawn(move || {
                for seed in (first..runs).step_by(GROUPS as usize) {
                    println!("{seed}: {}", run(seed));
                }
            });
        }
    });
}
