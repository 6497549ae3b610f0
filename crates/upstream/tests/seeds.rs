//! Many seeds of the model: `UPSTREAM_SEEDS` sets the number, `UPSTREAM_SEED` runs a single one.

mod model;

use model::{simulate, Outcome, Rule};
use rstest::rstest;
use std::collections::BTreeMap;

/// The seeds are split into parts that run in parallel.
const PARTS: u64 = 3;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[rstest]
fn no_seed_breaks_a_rule(#[values(0, 1, 2)] part: u64) {
    let seeds = match number("UPSTREAM_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("UPSTREAM_SEEDS").unwrap_or(600),
    };
    let mut broken: BTreeMap<Rule, (usize, String)> = BTreeMap::new();
    let mut sum = Outcome::default();
    for seed in seeds.filter(|seed| seed % PARTS == part) {
        let outcome = simulate(seed);
        for (rule, what) in &outcome.broken {
            broken.entry(*rule).or_insert((0, format!("seed {seed}, {what}"))).0 += 1;
        }
        sum.calls += outcome.calls;
        sum.answers += outcome.answers;
        sum.refusals += outcome.refusals;
        sum.unknown += outcome.unknown;
        sum.sends += outcome.sends;
        sum.reused += outcome.reused;
        sum.surplus += outcome.surplus;
    }
    println!(
        "{} calls: {} answers, {} refusals, {} unknown; {} sends, {} on reused connections, \
         {} surplus answers",
        sum.calls, sum.answers, sum.refusals, sum.unknown, sum.sends, sum.reused, sum.surplus
    );
    assert!(broken.is_empty(), "{broken:#?}");
}
