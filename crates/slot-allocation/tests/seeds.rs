//! Thousands of seeds on simulated time; `LENDING_SEEDS` sets how many of each class, `LENDING_SEED` runs a
//! single one and `LENDING_TRACE` prints its events.

mod harness;

use harness::{simulate, Class, Rule};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The seeds are divided into parts that run in parallel.
const PARTS: u64 = 4;

#[rstest]
fn no_invariant_is_violated(
    #[values(Class::Quiet, Class::Tidy, Class::Planned, Class::Rough)] class: Class,
    #[values(0, 1, 2, 3)] part: u64,
) {
    let (mut worst, mut over, mut calls, mut slowest) = (0.0f64, Duration::ZERO, 0, Duration::ZERO);
    let (mut dispatched, mut in_aim) = (0, 0);
    let mut violations: BTreeMap<Rule, (usize, String)> = BTreeMap::new();
    let all = match number("LENDING_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("LENDING_SEEDS").unwrap_or(800),
    };
    for seed in all.filter(|seed| seed % PARTS == part) {
        let out = simulate(class, seed);
        if let Some(first) = out.violations.first() {
            let description = format!("seed {seed}, {:?}: {}", first.at, first.what);
            violations.entry(first.rule).or_insert((0, description)).0 += 1;
        }
        worst = worst.max(out.worst);
        over = over.max(out.over);
        slowest = slowest.max(out.slowest);
        calls += out.calls;
        (dispatched, in_aim) = (dispatched + out.dispatched, in_aim + out.in_aim);
    }
    println!(
        "{class:?}: {calls} calls, {dispatched} had a slot, {in_aim} in their aim, \
         the slowest after {slowest:?}; at worst {worst:.2} times the slots in use, for {over:?}"
    );
    assert!(violations.is_empty(), "{class:?}: {violations:#?}");
}
