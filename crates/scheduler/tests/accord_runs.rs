//! Groups of real schedulers with faults by chance: kills, stops, cuts, late words and proposals from anywhere. In the
//! end one number is in force at all, and no mixture lasted. `TINDOCK_ACCORDS=300 cargo test --test accord_runs` plays
//! more.

use oorandom::Rand32;
use std::process::Child;
use std::thread::sleep;
use std::time::Duration;
use tindock_trial::group::{exit_and_output, Group};
use tindock_trial::relays::LinkState;

/// Side by side, each with its own group.
const GROUPS: u64 = 4;
const MEMBERS: usize = 5;
const STEPS: usize = 10;
/// Numbers whose tasks clients hand in; no more are proposed in a run.
const NUMBERS: usize = 4;

/// A member that runs, where any does.
fn some(chance: &mut Rand32, of: &[usize]) -> Option<usize> {
    (!of.is_empty()).then(|| of[chance.rand_range(0..of.len() as u32) as usize])
}

/// One run; what it did, for whoever reads the log of the test.
fn one(seed: u64) -> String {
    let mut chance = Rand32::new(seed);
    let mut group = Group::start_with_policy(&format!("chance{seed}"), MEMBERS, |_| String::new());
    group.load_up_to(NUMBERS);
    let (mut up, mut stopped, mut story) = (group.all(), Vec::new(), Vec::new());
    let mut proposals: Vec<Child> = Vec::new();
    for _ in 0..STEPS {
        let runs: Vec<usize> = up.iter().copied().filter(|at| !stopped.contains(at)).collect();
        match chance.rand_range(0..8) {
            0..=2 => {
                let number = some(&mut chance, &runs).and_then(|at| Some((at, group.number(at)? + 1)));
                if let Some((at, next)) = number.filter(|(_, next)| *next <= NUMBERS) {
                    let file = group.file(next, &format!("# {}", proposals.len()));
                    let words = ["propose", &file.display().to_string(), "--within", "3"];
                    proposals.push(group.begin(at, &words));
                    story.push(format!("n{at} proposes {next}"));
                }
            }
            3 => {
                if let Some(at) = some(&mut chance, &runs).filter(|_| up.len() > 2) {
                    group.fleet.nodes[at].kill();
                    up.retain(|up| *up != at);
                    story.push(format!("n{at} killed"));
                }
            }
            4 => {
                let down: Vec<usize> = group.all().into_iter().filter(|at| !up.contains(at)).collect();
                if let Some(at) = some(&mut chance, &down) {
                    group.fleet.nodes[at].launch();
                    up.push(at);
                    story.push(format!("n{at} begins again"));
                }
            }
            5 => {
                if let Some(at) = some(&mut chance, &runs).filter(|_| stopped.is_empty()) {
                    group.fleet.nodes[at].signal("-STOP");
                    stopped.push(at);
                    story.push(format!("n{at} stopped"));
                } else if let Some(at) = stopped.pop() {
                    group.fleet.nodes[at].signal("-CONT");
                }
            }
            6 => {
                let way = match chance.rand_range(0..3) {
                    0 => LinkState::DelayAndDuplicate(Duration::from_millis(u64::from(
                        chance.rand_range(5..400),
                    ))),
                    1 => LinkState::DropOneIn(3),
                    _ => LinkState::Cut,
                };
                let (to, from) = (chance.rand_range(0..5) as usize, chance.rand_range(0..5) as usize);
                // One way or the whole of one member.
                match chance.rand_range(0..2) {
                    0 => group.relays[to].set(group.endpoints[from], way),
                    _ => group.set_links(&[to], &group.all(), way),
                }
                story.push(format!("n{to} {way:?}"));
            }
            _ => group.heal(),
        }
        sleep(Duration::from_millis(u64::from(chance.rand_range(20..600))));
    }
    group.heal();
    stopped.iter().for_each(|at| group.fleet.nodes[*at].signal("-CONT"));
    for at in group.all().into_iter().filter(|at| !up.contains(at)) {
        group.fleet.nodes[at].launch();
    }
    let ended: Vec<_> =
        proposals.into_iter().map(|p| exit_and_output(p.wait_with_output().expect("an end"))).collect();
    let number = group.until_one_in_force();
    let story = format!("{}; {number} in force; {ended:?}", story.join(", "));
    assert_eq!(group.violations(), [""; 0], "seed {seed}: {story}");
    story
}

#[test]
fn whatever_happens_one_number_is_in_force_in_the_end() {
    let runs = std::env::var("TINDOCK_ACCORDS").map_or(20, |count| count.parse().expect("a number"));
    std::thread::scope(|scope| {
        for first in 0..GROUPS {
            scope.spawn(move || {
                for seed in (first..runs).step_by(GROUPS as usize) {
                    println!("{seed}: {}", one(seed));
                }
            });
        }
    });
}
