//! Scenarios with several faults at random times and draining hosts, and long ones of changes,
//! joins and departures.

use crate::kinds::{Part, Variant};
use crate::rng::SeededRng;
use crate::scenario::{Entry, Scenario};
use crate::sets::{random_time, Source};

/// Default number of mixed scenarios.
pub const MIXED_SCENARIOS: usize = 40;
/// Default number of long scenarios.
pub const LONG_SCENARIOS: usize = 20;

/// Drains of hosts in a mixed scenario.
const DRAINS: [u32; 2] = [1, 3];
/// Faults of any kind in a mixed scenario.
const FAULTS: [u32; 2] = [3, 7];
/// Start of a proxy fault in seconds after a drain; negative is before it.
const OFFSET_FROM_DRAIN_S: [f64; 2] = [-8.0, 3.0];
/// Probability that a scenario ends with a closing fault.
const CLOSING_PROBABILITY: f64 = 0.3;

/// Length of a long scenario in seconds.
const LONG_S: [f64; 2] = [40.0, 60.0];
/// Changes of the configuration in a long scenario, and the seconds between two.
const CHANGES: [u32; 2] = [150, 400];
const CHANGE_GAP_S: [f64; 2] = [0.08, 0.12];
/// Share of the proxies that leave or restart, how many at once, and the seconds between two steps.
const ROLL_SHARE: [f64; 2] = [0.3, 0.8];
const ROLL_CONCURRENCY: [u32; 2] = [1, 3];
const ROLL_GAP_S: [f64; 2] = [0.25, 1.0];
/// Faults of any kind in a long scenario.
const LONG_FAULTS: [u32; 2] = [1, 3];
/// Share of the hosts that drain in a long scenario.
const DRAIN_SHARE: [f64; 2] = [0.1, 0.4];

/// Scenarios of several faults of any kind at random times.
pub fn mixed(source: &Source, count: usize) -> Vec<Scenario> {
    (1..=count).map(|number| mixed_scenario(source, format!("mixed-{number:03}"))).collect()
}

/// Long scenarios of hundreds of changes while proxies and hosts join and leave.
pub fn long(source: &Source, count: usize) -> Vec<Scenario> {
    (1..=count).map(|number| long_scenario(source, format!("long-{number:03}"))).collect()
}

fn mixed_scenario(source: &Source, name: String) -> Scenario {
    let mut rng = source.rng(&name);
    let mut scenario = source.scenario(name, &mut rng);
    for _ in 0..rng.integer(DRAINS) {
        let at = random_time(&scenario, &mut rng);
        push_kind(&mut scenario, source, "worker_drain", at, &mut rng);
        let candidates = ["node_cut", "node_freeze", "node_kill"];
        if let Some(kind) = rng.pick(&candidates) {
            let at = at + rng.between(OFFSET_FROM_DRAIN_S);
            push_kind(&mut scenario, source, kind, at, &mut rng);
        }
    }
    push_faults(&mut scenario, source, FAULTS, &mut rng);
    if rng.with_probability(CLOSING_PROBABILITY) {
        scenario.closing = source.closing(&mut rng);
    }
    scenario
}

fn long_scenario(source: &Source, name: String) -> Scenario {
    let mut rng = source.rng(&name);
    let length_s = rng.between(LONG_S);
    let mut scenario = source.long_scenario(name, length_s, &mut rng);
    let (changes, gap_s) = (rng.integer(CHANGES), rng.between(CHANGE_GAP_S));
    scenario.push(Entry::with_defaults(Part::Plan, "config_storm", "", 2.0).repeated(changes, gap_s));
    scenario.push(Entry::with_defaults(Part::Plan, "add_nodes", "", random_time(&scenario, &mut rng)));
    let how = rng.pick(&["", "busy", "remove", "remove"]).copied().unwrap_or_default();
    let mut roll = Entry::with_defaults(Part::Plan, "roll_term", how, random_time(&scenario, &mut rng));
    roll.share = Some(rng.between(ROLL_SHARE));
    roll.x = Some(f64::from(rng.integer(ROLL_CONCURRENCY)));
    roll.gap_s = Some(rng.between(ROLL_GAP_S));
    scenario.push(roll);
    let share = rng.between(DRAIN_SHARE);
    scenario.push(
        Entry::with_defaults(Part::Plan, "worker_drain", "", random_time(&scenario, &mut rng))
            .with_share(share),
    );
    push_faults(&mut scenario, source, LONG_FAULTS, &mut rng);
    scenario
}

fn push_faults(scenario: &mut Scenario, source: &Source, count: [u32; 2], rng: &mut SeededRng) {
    let variants = source.variants();
    for _ in 0..rng.integer(count) {
        let Some(variant) = rng.pick(&variants) else { return };
        let at = random_time(scenario, rng);
        scenario.push(source.entry(variant, rng).at(at));
    }
}

/// Adds an entry of a kind in any of its variants for proxies or hosts, if the list has the kind.
fn push_kind(scenario: &mut Scenario, source: &Source, kind: &str, at: f64, rng: &mut SeededRng) {
    let fits = |variant: &Variant| variant.kind.name == kind && !variant.on_core;
    let variants: Vec<Variant> = source.variants().into_iter().filter(fits).collect();
    if let Some(variant) = rng.pick(&variants) {
        scenario.push(source.entry(variant, rng).at(at));
    }
}
