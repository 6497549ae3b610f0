//! Worst cases: combinations of faults that hit the control plane, and responses, at the same time.

use crate::kinds::Part::{Faults, Plan};
use crate::rng::SeededRng;
use crate::scenario::{Entry, Scenario};
use crate::sets::Source;

/// Default number of worst cases in a set.
pub const SCENARIOS: usize = 20;
/// Seconds of traffic in a scenario with a cut of 20 s, with successive losses, and with hundreds of changes.
/// A loss is delayed until the machine lost before counts as returned, so they need a longer scenario.
const CUT_SCENARIO_S: f64 = 40.0;
const LOSSES_SCENARIO_S: f64 = 44.0;
const LONG_SCENARIO_S: f64 = 62.0;
/// Time of the loss of all controllers before the end of traffic, in a scenario of losses.
const HERD_KILL_BEFORE_END_S: f64 = 9.0;
/// When the second series of changes begins, after a pause.
const LATE_CHANGES_S: f64 = 44.0;
/// Time between faults in a scenario with hundreds of changes.
const LONG_SCENARIO_GAP_S: f64 = 8.0;

/// Variants of a long network cut of one controller, some of them of the lease holder.
const CUTS: [&str; 12] = [
    "leader meet",
    "one_way race",
    "leader one_way meet",
    "seeds meet",
    "leader race",
    "both race",
    "leader one_way race",
    "seeds one_way race",
    "leader both meet",
    "one_way meet",
    "leader seeds race",
    "both meet",
];
/// Variants of a cut during concurrent changes by two operators.
const RACE_CUTS: [&str; 4] = ["leader race", "race", "leader one_way race", "leader meet"];
const REPLACEMENTS: [&str; 4] = ["", "planned", "leader", "planned seed"];
const BAD_CONFIGS: [&str; 3] = ["old_version", "same_version", "cut_short"];
const CHANGES: [&str; 6] = ["route", "weights", "timeout", "tenant", "quota", "idle"];

/// A template of worst-case scenarios.
struct Template {
    name: &'static str,
    /// Seconds of traffic, at least.
    min_length_s: f64,
    /// Adds the entries; the number counts the scenarios of this template from 0 and selects variants.
    fill: fn(&Source, &mut Scenario, usize, &mut SeededRng),
}

const TEMPLATES: [Template; 5] = [
    Template { name: "worst-cut", min_length_s: CUT_SCENARIO_S, fill: long_cut },
    Template { name: "worst-race", min_length_s: 0.0, fill: races_with_lost_responses },
    Template { name: "worst-second", min_length_s: LOSSES_SCENARIO_S, fill: second_loss },
    Template { name: "worst-long", min_length_s: LONG_SCENARIO_S, fill: hundreds_of_changes },
    Template { name: "worst-answers", min_length_s: 0.0, fill: corrupted_responses },
];

/// `max` worst cases, cycling through the templates.
pub fn scenarios(source: &Source, max: usize) -> Vec<Scenario> {
    TEMPLATES
        .iter()
        .cycle()
        .take(max)
        .enumerate()
        .map(|(index, template)| scenario(source, template, index / TEMPLATES.len()))
        .collect()
}

fn scenario(source: &Source, template: &Template, number: usize) -> Scenario {
    let name = format!("{}-{:02}", template.name, number + 1);
    let mut rng = source.rng(&name);
    let mut scenario = source.long_scenario(name, template.min_length_s, &mut rng);
    (template.fill)(source, &mut scenario, number, &mut rng);
    scenario.closing = source.closing(&mut rng);
    scenario
}

fn cycled<'a>(hows: &[&'a str], number: usize) -> &'a str {
    hows[number % hows.len()]
}

/// One controller cut off for 20 s, with operators on both sides and machine losses meanwhile.
fn long_cut(_: &Source, scenario: &mut Scenario, number: usize, rng: &mut SeededRng) {
    let at = rng.between([5.0, 9.0]);
    let cut = Entry::with_defaults(Faults, "core_cut", cycled(&CUTS, number), at)
        .with_duration(rng.between([18.0, 22.0]));
    scenario.push(Entry { count: Some(1), ..cut });
    for _ in 0..rng.integer([2, 4]) {
        let how = rng.pick(&CHANGES).copied().unwrap_or_default();
        scenario.push(Entry::change(how, at + rng.between([0.1, 19.0])));
    }
    scenario
        .push(Entry::with_defaults(Plan, "config_race", "", at + rng.between([2.0, 14.0])).repeated(2, 0.8));
    let kill = Entry::with_defaults(Faults, "node_kill", "", at + rng.between([3.0, 15.0]));
    scenario.push(kill.with_share(0.15).with_duration(rng.between([2.0, 4.0])));
    if rng.with_probability(0.5) {
        scenario.push(Entry::with_defaults(Faults, "ack_lost", "", at + 1.0).with_x(0.7).with_duration(8.0));
    }
    if rng.with_probability(0.5) {
        scenario.push(
            Entry::with_defaults(Plan, "worker_drain", "", at + rng.between([2.0, 12.0])).with_share(0.1),
        );
    }
}

/// Pairs of operators changing the same version, responses to them lost, a controller cut off meanwhile.
fn races_with_lost_responses(_: &Source, scenario: &mut Scenario, number: usize, rng: &mut SeededRng) {
    let at = rng.between([4.0, 8.0]);
    let lost = Entry::with_defaults(Faults, "ack_lost", "", at).with_x(rng.between([0.5, 0.95]));
    scenario.push(lost.with_duration(rng.between([10.0, 18.0])));
    let cut =
        Entry::with_defaults(Faults, "core_cut", cycled(&RACE_CUTS, number), at + rng.between([0.5, 4.0]));
    scenario.push(Entry { count: Some(1), ..cut }.with_duration(rng.between([4.0, 8.0])));
    for _ in 0..rng.integer([2, 4]) {
        let race = Entry::with_defaults(Plan, "config_race", "", at + rng.between([0.0, 16.0]));
        scenario.push(race.repeated(rng.integer([3, 6]), rng.between([0.2, 1.0])));
    }
    let bad =
        Entry::with_defaults(Plan, "bad_config", cycled(&BAD_CONFIGS, number), at + rng.between([2.0, 12.0]));
    scenario.push(bad.repeated(3, 0.6));
    let kill = Entry::with_defaults(Faults, "after_ack_kill", "timed", at + rng.between([9.0, 16.0]));
    scenario.push(kill.with_duration(rng.between([1.0, 3.0])));
}

/// A controller lost soon after another was replaced or wiped, or after the seed list changed.
fn second_loss(_: &Source, scenario: &mut Scenario, number: usize, rng: &mut SeededRng) {
    let at = rng.between([4.0, 7.0]);
    let replaced = Entry::with_defaults(Faults, "replace_core", cycled(&REPLACEMENTS, number), at);
    scenario.push(replaced.with_x(rng.between([0.3, 2.0])));
    let second = at + rng.between([2.0, 8.0]);
    match number % 3 {
        0 => scenario.push(
            Entry::with_defaults(Faults, "node_kill", "power leader", second).on_core().with_duration(3.0),
        ),
        1 => scenario.push(Entry::with_defaults(Faults, "after_ack_wipe", "", second).with_duration(2.0)),
        _ => scenario.push(Entry::with_defaults(Faults, "replace_core", "leader", second).with_x(1.0)),
    }
    scenario.push(Entry::with_defaults(Plan, "seed_turnover", "", at + rng.between([0.5, 6.0])));
    let third = second + rng.between([4.0, 9.0]);
    scenario.push(
        Entry::with_defaults(Faults, "after_ack_wipe", "leader", third)
            .with_duration(rng.between([1.0, 3.0])),
    );
    let herd_at = scenario.length_s - HERD_KILL_BEFORE_END_S - rng.between([0.0, 2.0]);
    let herd = Entry::with_defaults(Faults, "herd_kill", "", herd_at);
    scenario.push(Entry { on_core: true, ..herd }.with_duration(rng.between([1.0, 2.0])));
    for _ in 0..3 {
        scenario.push(Entry::change("idle", at + rng.between([0.0, 14.0])));
    }
}

/// More than 300 changes, while controllers are down, wiped and replaced, and disks slow, full and stalled.
fn hundreds_of_changes(_: &Source, scenario: &mut Scenario, number: usize, rng: &mut SeededRng) {
    let count = rng.integer([300, 400]);
    if number.is_multiple_of(2) {
        scenario.push(Entry::with_defaults(Plan, "config_storm", "", 4.0).repeated(count, 0.1));
    } else {
        scenario.push(Entry::with_defaults(Plan, "config_race", "", 4.0).repeated(count / 2, 0.2));
    }
    // Faults that wait for an acknowledgement, or for machines to return, need late changes as well.
    scenario.push(Entry::with_defaults(Plan, "config_storm", "", LATE_CHANGES_S).repeated(100, 0.15));
    let bad =
        Entry::with_defaults(Plan, "bad_config", cycled(&BAD_CONFIGS, number), rng.between([5.0, 20.0]));
    scenario.push(bad.repeated(6, 1.0));
    let mut faults = [
        Entry::with_defaults(Faults, "node_kill", "power", 0.0)
            .on_core()
            .with_duration(rng.between([5.0, 10.0])),
        Entry::with_defaults(Faults, "after_ack_wipe", "", 0.0).with_duration(rng.between([2.0, 5.0])),
        Entry::with_defaults(Faults, "replace_core", cycled(&REPLACEMENTS, number), 0.0).with_x(1.0),
        Entry::with_defaults(Faults, "disk_slow", "leader", 0.0)
            .with_x(25.0)
            .with_duration(rng.between([4.0, 8.0])),
        Entry::with_defaults(Faults, "disk_full", "", 0.0).with_duration(rng.between([4.0, 8.0])),
        Entry::with_defaults(Faults, "disk_stall", "", 0.0).with_duration(rng.between([3.0, 6.0])),
    ];
    rng.shuffle(&mut faults);
    for (index, fault) in faults.into_iter().enumerate() {
        let at = 5.0 + LONG_SCENARIO_GAP_S * index as f64 + rng.between([0.0, 2.0]);
        scenario.push(fault.at(at));
    }
}

/// Connections reset, processes frozen and slowed, responses lost and corrupted, all at the same time.
fn corrupted_responses(source: &Source, scenario: &mut Scenario, number: usize, rng: &mut SeededRng) {
    let at = rng.between([4.0, 8.0]);
    let garble = if number.is_multiple_of(2) { "extra" } else { "extra late" };
    for step in 0..4 {
        let reset = Entry::with_defaults(Faults, "reset_conns", "", at + 3.0 * f64::from(step));
        scenario.push(reset.with_share(rng.between([0.2, 0.6])).with_x(rng.between([0.4, 1.0])));
    }
    let shortly_after = |rng: &mut SeededRng| at + rng.between([0.0, 4.0]);
    let freeze = Entry::with_defaults(Faults, "node_freeze", "", shortly_after(rng))
        .with_share(rng.between([0.1, 0.3]));
    scenario.push(freeze.with_duration(rng.between([1.0, 5.0])));
    let lost = Entry::with_defaults(
        Faults,
        "answer_lost",
        if number % 4 < 2 { "reset" } else { "" },
        shortly_after(rng),
    );
    scenario.push(lost.with_share(0.6).with_x(0.05).with_duration(rng.between([6.0, 10.0])));
    let corrupted = Entry::with_defaults(Faults, "garble", garble, shortly_after(rng));
    scenario.push(corrupted.with_share(0.6).with_x(0.04).with_duration(rng.between([6.0, 10.0])));
    let slow =
        Entry::with_defaults(Faults, "node_slow", "", shortly_after(rng)).with_share(rng.between([0.1, 0.3]));
    scenario.push(slow.with_x(5.0).with_duration(rng.between([4.0, 8.0])));
    scenario.push(
        Entry::with_defaults(Faults, "node_freeze", "leader race", at + 9.0).on_core().with_duration(3.0),
    );
    let change = rng.pick(&CHANGES).copied().unwrap_or_default();
    scenario.push(Entry::change(change, at + 5.0));
    if let Some(burst) = source.kinds.kind("burst") {
        scenario.push(crate::sets::entry_of_kind(source, burst, rng).at(at + 2.0));
    }
}
