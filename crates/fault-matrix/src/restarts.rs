//! Scenarios of mostly planned work: overlapping rounds of restarts and hundreds of changes. The bench
//! excuses requests lost to unplanned faults, so scenarios full of them show little about orderly departures.

use crate::kinds::Part;
use crate::rng::SeededRng;
use crate::scenario::{Entry, Scenario};
use crate::sets::{random_time, Source};

/// Default number of restart scenarios.
pub const RESTART_SCENARIOS: usize = 20;

/// Length of a scenario in seconds.
const LENGTH_S: [f64; 2] = [50.0, 90.0];
/// Start of the first round, and the time from the start of one round to the next.
const FIRST_ROUND_S: [f64; 2] = [2.0, 5.0];
const BETWEEN_ROUNDS_S: [f64; 2] = [12.0, 24.0];
/// No round begins in the last seconds of a scenario.
const LAST_ROUND_S: f64 = 12.0;
/// Share of the proxies in a round, how many restart at once, and the seconds between two steps.
const SHARE: [f64; 2] = [0.6, 1.0];
const CONCURRENCY: [u32; 2] = [1, 2];
const STEP_S: [f64; 2] = [0.4, 1.6];
/// Changes of the configuration, and the seconds between two.
const CHANGES: [u32; 2] = [100, 400];
const CHANGE_GAP_S: [f64; 2] = [0.1, 0.2];
/// SIGHUPs (reload of the settings), and the share of the processes that get one.
const HANGUPS: [u32; 2] = [0, 2];
const HANGUP_SHARE: [f64; 2] = [0.2, 1.0];
/// Drains of hosts, and the share of the hosts in each.
const DRAINS: [u32; 2] = [0, 2];
const DRAIN_SHARE: [f64; 2] = [0.1, 0.4];
/// Probability that a scenario also holds one unplanned fault.
const FAULT_PROBABILITY: f64 = 0.3;

/// Scenarios of overlapping restarts.
pub fn restarts(source: &Source, count: usize) -> Vec<Scenario> {
    (1..=count).map(|number| restart_scenario(source, format!("restarts-{number:03}"))).collect()
}

fn restart_scenario(source: &Source, name: String) -> Scenario {
    let mut rng = source.rng(&name);
    let length_s = rng.between(LENGTH_S);
    let mut scenario = source.long_scenario(name, length_s, &mut rng);
    push_rounds(&mut scenario, &mut rng);
    let (changes, gap_s) = (rng.integer(CHANGES), rng.between(CHANGE_GAP_S));
    scenario.push(Entry::with_defaults(Part::Plan, "config_storm", "", 2.0).repeated(changes, gap_s));
    for _ in 0..rng.integer(HANGUPS) {
        let at = random_time(&scenario, &mut rng);
        let share = rng.between(HANGUP_SHARE);
        scenario.push(Entry::with_defaults(Part::Plan, "hup", "", at).with_share(share));
    }
    for _ in 0..rng.integer(DRAINS) {
        let at = random_time(&scenario, &mut rng);
        let share = rng.between(DRAIN_SHARE);
        scenario.push(Entry::with_defaults(Part::Plan, "worker_drain", "", at).with_share(share));
    }
    if rng.with_probability(FAULT_PROBABILITY) {
        let variants = source.variants();
        if let Some(variant) = rng.pick(&variants) {
            let at = random_time(&scenario, &mut rng);
            scenario.push(source.entry(variant, &mut rng).at(at));
        }
    }
    scenario
}

/// Adds rounds of restarts from the start of a scenario until shortly before its end.
fn push_rounds(scenario: &mut Scenario, rng: &mut SeededRng) {
    let mut at = rng.between(FIRST_ROUND_S);
    while at < scenario.length_s - LAST_ROUND_S {
        let how = rng.pick(&["", "", "busy"]).copied().unwrap_or_default();
        let mut round = Entry::with_defaults(Part::Plan, "roll_term", how, at);
        round.share = Some(rng.between(SHARE));
        round.x = Some(f64::from(rng.integer(CONCURRENCY)));
        round.gap_s = Some(rng.between(STEP_S));
        scenario.push(round);
        at += rng.between(BETWEEN_ROUNDS_S);
    }
}
