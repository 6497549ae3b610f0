//! Sets of scenarios: every kind alone, in pairs, repeated, packed into few scenarios, and the worst cases.

use crate::kinds::{Kind, KindList, Variant};
use crate::mixed;
use crate::restarts;
use crate::rng::SeededRng;
use crate::scenario::{Closing, Entry, Scenario, MARGIN_S};
use crate::site::Site;
use crate::worst;

/// Probability that a scenario ends with a closing fault, where the set has no rule of its own.
const CLOSING_PROBABILITY: f64 = 0.6;
/// Times of the first change (from the start) and of the last (before the end) that every scenario has.
const FIRST_CHANGE_S: [f64; 2] = [1.5, 3.5];
const LAST_CHANGE_S: [f64; 2] = [2.0, 5.0];
/// How often a kind occurs in a scenario that repeats it.
const REPEATS: [u32; 2] = [3, 5];
/// Variants in a packed scenario.
const VARIANTS_PER_PACKED_SCENARIO: usize = 5;
/// Default size of a compact set, half of which are worst cases.
const COMPACT_SCENARIOS: usize = 40;

/// The sets of scenarios that can be generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Set {
    /// Each kind in each variant, and each closing, in a scenario of its own.
    Singles,
    /// Two kinds whose times overlap.
    Pairs,
    /// One kind several times within a scenario, in different variants.
    Repeats,
    /// All variants, several per scenario.
    Packed,
    /// Worst cases, aimed at the control plane and at responses.
    Worst,
    /// Alternating worst and packed scenarios: wide coverage in few runs.
    Compact,
    /// Several faults of any kind at random times, while hosts drain.
    Mixed,
    /// Long scenarios of hundreds of changes, while proxies and hosts join and leave.
    Long,
    /// Overlapping rounds of restarts, with hundreds of changes and at most one unplanned fault.
    Restarts,
}

impl Set {
    pub const ALL: [Set; 9] = [
        Set::Singles,
        Set::Pairs,
        Set::Repeats,
        Set::Packed,
        Set::Worst,
        Set::Compact,
        Set::Mixed,
        Set::Long,
        Set::Restarts,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Set::Singles => "singles",
            Set::Pairs => "pairs",
            Set::Repeats => "repeats",
            Set::Packed => "packed",
            Set::Worst => "worst",
            Set::Compact => "compact",
            Set::Mixed => "mixed",
            Set::Long => "long",
            Set::Restarts => "restarts",
        }
    }

    pub fn named(name: &str) -> Option<Set> {
        Set::ALL.into_iter().find(|set| set.name() == name)
    }
}

/// What scenarios are generated from.
pub struct Source<'a> {
    pub kinds: &'a KindList,
    pub site: &'a Site,
    pub seed: u64,
}

/// The scenarios of a set, at most `max` of them; the same source gives the same scenarios.
pub fn scenarios(source: &Source, set: Set, max: Option<usize>) -> Vec<Scenario> {
    let mut scenarios = match set {
        Set::Singles => singles(source),
        Set::Pairs => pairs(source),
        Set::Repeats => repeats(source),
        Set::Packed => packed(source),
        Set::Worst => worst::scenarios(source, max.unwrap_or(worst::SCENARIOS)),
        Set::Compact => compact(source, max.unwrap_or(COMPACT_SCENARIOS)),
        Set::Mixed => mixed::mixed(source, max.unwrap_or(mixed::MIXED_SCENARIOS)),
        Set::Long => mixed::long(source, max.unwrap_or(mixed::LONG_SCENARIOS)),
        Set::Restarts => restarts::restarts(source, max.unwrap_or(restarts::RESTART_SCENARIOS)),
    };
    scenarios.truncate(max.unwrap_or(usize::MAX));
    scenarios
}

impl Source<'_> {
    /// The generator for the scenario of this name.
    pub fn rng(&self, name: &str) -> SeededRng {
        SeededRng::new(self.seed, name)
    }

    /// Kinds that apply to the deployment.
    pub fn allowed(&self) -> Vec<&Kind> {
        self.kinds.kinds.iter().filter(|kind| self.site.allows(kind)).collect()
    }

    /// All variants of the kinds that apply to the deployment.
    pub fn variants(&self) -> Vec<Variant> {
        self.kinds.variants(|kind| self.site.allows(kind))
    }

    /// An entry of this variant with sampled parameters.
    pub fn entry(&self, variant: &Variant, rng: &mut SeededRng) -> Entry {
        Entry::sample(variant, self.site, rng)
    }

    /// A random closing fault.
    pub fn closing(&self, rng: &mut SeededRng) -> Option<Closing> {
        let kind = rng.pick(&self.kinds.closings)?.clone();
        let how = rng.pick(&kind.hows)?.clone();
        Some(Closing::sample(&kind, &how, rng))
    }

    /// A scenario with a configuration change near its start and one near its end.
    pub fn scenario(&self, name: String, rng: &mut SeededRng) -> Scenario {
        self.long_scenario(name, 0.0, rng)
    }

    /// The same, at least `min_length_s` long.
    pub fn long_scenario(&self, name: String, min_length_s: f64, rng: &mut SeededRng) -> Scenario {
        let mut scenario = Scenario::empty(name, self.site, min_length_s, rng);
        scenario.push(Entry::change("idle", rng.between(FIRST_CHANGE_S)));
        let last = scenario.length_s - rng.between(LAST_CHANGE_S);
        scenario.push(Entry::change("timeout", last));
        scenario
    }
}

/// A random time well before the end of a scenario.
pub fn random_time(scenario: &Scenario, rng: &mut SeededRng) -> f64 {
    rng.between([4.0 * MARGIN_S, (scenario.length_s - 8.0).max(5.0 * MARGIN_S)])
}

fn single_name(variant: &Variant) -> String {
    let on = if variant.on_core { "-core" } else { "" };
    let how =
        if variant.how.is_empty() { String::new() } else { format!("-{}", variant.how.replace(' ', "-")) };
    format!("single-{}{on}{how}", variant.kind.name)
}

fn singles(source: &Source) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for variant in source.variants() {
        let name = single_name(&variant);
        let mut rng = source.rng(&name);
        let mut scenario = source.scenario(name, &mut rng);
        let at = random_time(&scenario, &mut rng);
        scenario.push(source.entry(&variant, &mut rng).at(at));
        if rng.with_probability(CLOSING_PROBABILITY) {
            scenario.closing = source.closing(&mut rng);
        }
        scenarios.push(scenario);
    }
    for closing in &source.kinds.closings {
        for how in &closing.hows {
            let name =
                format!("single-closing-{}-{}", closing.name, if how.is_empty() { "plain" } else { how });
            let mut rng = source.rng(&name);
            let mut scenario = source.scenario(name, &mut rng);
            scenario.closing = Some(Closing::sample(closing, how, &mut rng));
            scenarios.push(scenario);
        }
    }
    scenarios
}

/// Every pair of kinds, in random order; the later one begins while the earlier lasts, or just after it.
fn pairs(source: &Source) -> Vec<Scenario> {
    let kinds = source.allowed();
    let mut chosen: Vec<(&Kind, &Kind)> = Vec::new();
    for (index, first) in kinds.iter().enumerate() {
        chosen.extend(kinds[index + 1..].iter().map(|second| (*first, *second)));
    }
    source.rng("pairs").shuffle(&mut chosen);
    chosen.into_iter().map(|(first, second)| pair(source, first, second)).collect()
}

fn pair(source: &Source, first: &Kind, second: &Kind) -> Scenario {
    let name = format!("pair-{}-{}", first.name, second.name);
    let mut rng = source.rng(&name);
    let mut scenario = source.scenario(name, &mut rng);
    let mut both = [entry_of_kind(source, first, &mut rng), entry_of_kind(source, second, &mut rng)];
    rng.shuffle(&mut both);
    let [earlier, later] = both;
    let at = random_time(&scenario, &mut rng);
    let offset_s = rng.between([0.0, earlier.duration_s() + MARGIN_S]);
    scenario.push(earlier.at(at));
    scenario.push(later.at(at + offset_s));
    if rng.with_probability(CLOSING_PROBABILITY) {
        scenario.closing = source.closing(&mut rng);
    }
    scenario
}

/// An entry of a kind in a random variant.
pub fn entry_of_kind(source: &Source, kind: &Kind, rng: &mut SeededRng) -> Entry {
    let variants = kind.variants();
    let chosen = rng.pick(&variants).unwrap_or(&variants[0]);
    source.entry(chosen, rng)
}

fn repeats(source: &Source) -> Vec<Scenario> {
    source.allowed().into_iter().map(|kind| repeated(source, kind)).collect()
}

fn repeated(source: &Source, kind: &Kind) -> Scenario {
    let name = format!("repeat-{}", kind.name);
    let mut rng = source.rng(&name);
    let mut scenario = source.scenario(name, &mut rng);
    let mut variants = kind.variants();
    rng.shuffle(&mut variants);
    for variant in variants.iter().cycle().take(rng.integer(REPEATS) as usize) {
        let at = random_time(&scenario, &mut rng);
        scenario.push(source.entry(variant, &mut rng).at(at));
    }
    if rng.with_probability(CLOSING_PROBABILITY) {
        scenario.closing = source.closing(&mut rng);
    }
    scenario
}

/// All variants in random order, several per scenario; the closing faults rotate.
fn packed(source: &Source) -> Vec<Scenario> {
    let mut variants = source.variants();
    source.rng("packed").shuffle(&mut variants);
    let closings: Vec<(&str, &str)> = source
        .kinds
        .closings
        .iter()
        .flat_map(|kind| kind.hows.iter().map(|how| (&*kind.name, &**how)))
        .collect();
    let mut scenarios = Vec::new();
    for (index, group) in variants.chunks(VARIANTS_PER_PACKED_SCENARIO).enumerate() {
        let name = format!("packed-{:02}", index + 1);
        let mut rng = source.rng(&name);
        let mut scenario = source.scenario(name, &mut rng);
        for variant in group {
            let at = random_time(&scenario, &mut rng);
            scenario.push(source.entry(variant, &mut rng).at(at));
        }
        let (kind, how) = closings[index % closings.len()];
        scenario.closing = source
            .kinds
            .closings
            .iter()
            .find(|closing| closing.name == kind)
            .map(|closing| Closing::sample(closing, how, &mut rng));
        scenarios.push(scenario);
    }
    scenarios
}

/// Alternating worst and packed scenarios; when one list is exhausted, the rest come from the other.
fn compact(source: &Source, max: usize) -> Vec<Scenario> {
    let packed = packed(source);
    let worst_scenarios = max.saturating_sub(packed.len()).max(max / 2);
    let mut worst = worst::scenarios(source, worst_scenarios).into_iter();
    let mut packed = packed.into_iter();
    let mut scenarios = Vec::new();
    while scenarios.len() < max {
        let before = scenarios.len();
        scenarios.extend(worst.next());
        scenarios.extend(packed.next());
        if scenarios.len() == before {
            break;
        }
    }
    scenarios
}
