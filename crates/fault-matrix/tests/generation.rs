//! Generated scenarios are reproducible from their seed, complete, and inside their bounds.

use rstest::rstest;
use std::collections::BTreeSet;
use tindock_fault_matrix::error::Error;
use tindock_fault_matrix::kinds::{KindList, Part, DEFAULT_LIST};
use tindock_fault_matrix::rng::SeededRng;
use tindock_fault_matrix::scenario::{Entry, Scenario, MARGIN_S};
use tindock_fault_matrix::sets::{scenarios, Set, Source};
use tindock_fault_matrix::site::Site;
use tindock_fault_matrix::summary::kinds_of;
use tindock_fault_matrix::write::write_scenarios;

/// A fictitious deployment.
const SITE: &str = r#"
name = "made-up"
length_s = 30.0
classes = [{ name = "slow-reads" }, { name = "fast-reads" }]
troubles = [{ kind = "add_nodes" }]
[tolerate]
machines = 1
[[day]]
goal = { floor = 0.5 }
[[day]]
goal = { floor = 0.4 }
[[day]]
"#;

fn site() -> Site {
    Site::parse(SITE, "made-up.toml").unwrap()
}

fn kinds() -> KindList {
    KindList::parse(DEFAULT_LIST, "kinds.toml").unwrap()
}

fn sampled(set: Set, seed: u64) -> Vec<Scenario> {
    scenarios(&Source { kinds: &kinds(), site: &site(), seed }, set, None)
}

#[test]
fn equal_seeds_give_equal_scenarios_and_different_seeds_different_ones() {
    for set in Set::ALL {
        let texts = |seed| sampled(set, seed).iter().map(Scenario::text).collect::<Vec<_>>();
        assert_eq!(texts(7), texts(7), "{set:?}");
        assert_ne!(texts(7), texts(8), "{set:?}");
    }
}

#[test]
fn a_scenario_does_not_depend_on_the_size_of_its_set() {
    let (kinds, site) = (kinds(), site());
    let source = Source { kinds: &kinds, site: &site, seed: 3 };
    let few = scenarios(&source, Set::Worst, Some(6));
    let many = scenarios(&source, Set::Worst, Some(20));
    assert_eq!(few[..], many[..6]);
}

#[rstest]
#[case(Set::Singles)]
#[case(Set::Packed)]
fn every_kind_and_variant_and_every_closing_appears(#[case] set: Set) {
    let labels: BTreeSet<String> = sampled(set, 1).iter().flat_map(Scenario::labels).collect();
    let site = site();
    for variant in kinds().variants(|kind| site.allows(kind)) {
        let entry = Entry::sample(&variant, &site, &mut SeededRng::new(1, "any"));
        assert!(labels.contains(&entry.label()), "{} is missing", entry.label());
    }
    for closing in kinds().closings {
        for how in closing.hows {
            let label = format!("closing {} {how}", closing.name);
            assert!(labels.contains(label.trim_end()), "{label} is missing");
        }
    }
}

#[test]
fn a_single_scenario_holds_one_kind_and_the_common_changes() {
    for scenario in sampled(Set::Singles, 5) {
        let hit_target = scenario.entries.iter().filter(|entry| entry.kind != "config_change").count();
        assert!(hit_target <= 1, "{}", scenario.name);
        assert!(scenario.closing.is_some() || scenario.entries.len() == 3, "{}", scenario.name);
    }
}

#[test]
fn every_pair_of_kinds_occurs_once() {
    let allowed = kinds().kinds.iter().filter(|kind| site().allows(kind)).count();
    let scenarios = sampled(Set::Pairs, 2);
    let names: BTreeSet<&str> = scenarios.iter().map(|scenario| scenario.name.as_str()).collect();
    assert_eq!(scenarios.len(), allowed * (allowed - 1) / 2);
    assert_eq!(names.len(), scenarios.len());
}

#[test]
fn a_repeated_kind_comes_at_least_three_times() {
    for scenario in sampled(Set::Repeats, 4) {
        let kind = scenario.name.strip_prefix("repeat-").unwrap();
        assert!(scenario.entries.iter().filter(|entry| entry.kind == kind).count() >= 3, "{}", scenario.name);
    }
}

#[test]
fn no_entry_lies_outside_its_scenario() {
    for (set, seed) in Set::ALL.into_iter().flat_map(|set| (0..20).map(move |seed| (set, seed))) {
        for scenario in sampled(set, seed) {
            for entry in &scenario.entries {
                let end = entry.at + entry.duration_s();
                assert!(entry.at >= MARGIN_S, "{} begins at {}", scenario.name, entry.at);
                assert!(
                    end <= scenario.length_s - MARGIN_S + 1e-6,
                    "{}: {} ends at {end}",
                    scenario.name,
                    entry.label()
                );
            }
        }
    }
}

#[rstest]
#[case::long_fault(Entry::with_defaults(Part::Faults, "core_cut", "", 3.0).with_duration(500.0))]
#[case::many_steps(Entry::with_defaults(Part::Plan, "config_storm", "", 3.0).repeated(4000, 0.1))]
#[case::late(Entry::with_defaults(Part::Faults, "core_cut", "", 29.9).with_duration(5.0))]
#[case::before_the_start(Entry::with_defaults(Part::Faults, "core_cut", "", -5.0).with_duration(5.0))]
fn an_entry_that_does_not_fit_is_moved_and_shortened(#[case] entry: Entry) {
    let mut scenario = Scenario::empty("d".into(), &site(), 0.0, &mut SeededRng::new(1, "d"));
    scenario.push(entry);
    let entry = &scenario.entries[0];
    assert!(entry.at >= MARGIN_S);
    assert!(entry.at + entry.duration_s() <= scenario.length_s - MARGIN_S + 1e-6);
}

#[test]
fn all_five_worst_templates_are_used_before_one_repeats() {
    let scenarios = sampled(Set::Worst, 1);
    let templates: BTreeSet<&str> =
        scenarios[..5].iter().map(|scenario| scenario.name.trim_end_matches("-01")).collect();
    let wanted = ["worst-answers", "worst-cut", "worst-long", "worst-race", "worst-second"];
    assert_eq!(templates.into_iter().collect::<Vec<_>>(), wanted);
    assert!(scenarios.iter().all(|scenario| scenario.closing.is_some()));
}

#[test]
fn a_worst_scenario_isolates_the_lease_holder_for_about_twenty_seconds() {
    let scenarios = sampled(Set::Worst, 1);
    let cut = scenarios[0].entries.iter().find(|entry| entry.kind == "core_cut").unwrap();
    assert!(cut.how.contains("leader") && cut.for_s.unwrap() >= 18.0);
}

fn count(scenario: &Scenario, kind: &str) -> usize {
    scenario.entries.iter().filter(|entry| entry.kind == kind).count()
}

#[test]
fn a_mixed_scenario_holds_drains_and_several_faults() {
    let scenarios = sampled(Set::Mixed, 1);
    assert_eq!(scenarios.len(), 40);
    for scenario in &scenarios {
        assert!(count(scenario, "worker_drain") >= 1 && scenario.entries.len() >= 7, "{}", scenario.text());
        let proxy_faults: usize =
            ["node_cut", "node_freeze", "node_kill"].iter().map(|kind| count(scenario, kind)).sum();
        assert!(proxy_faults >= 1, "{}", scenario.text());
    }
    let closed = scenarios.iter().filter(|scenario| scenario.closing.is_some()).count();
    assert!((4..=20).contains(&closed), "{closed}");
}

#[test]
fn a_long_scenario_holds_changes_and_proxy_and_host_turnover() {
    for scenario in sampled(Set::Long, 1) {
        let changes = scenario.entries.iter().find(|entry| entry.kind == "config_storm").unwrap();
        assert!(changes.count.unwrap() >= 150 && scenario.length_s >= 40.0, "{}", scenario.text());
        let all = ["add_nodes", "roll_term", "worker_drain"].iter().all(|kind| count(&scenario, kind) >= 1);
        assert!(all, "{}", scenario.text());
    }
}

#[test]
fn worst_long_scenarios_hold_three_hundred_changes() {
    for scenario in sampled(Set::Worst, 1).iter().filter(|scenario| scenario.name.starts_with("worst-long")) {
        let changes: u32 = scenario
            .entries
            .iter()
            .map(|entry| match entry.kind.as_str() {
                "config_storm" => entry.count.unwrap(),
                "config_race" => 2 * entry.count.unwrap(),
                _ => 0,
            })
            .sum();
        assert!(changes >= 300, "{}: {changes}", scenario.name);
    }
}

#[rstest]
#[case(7)]
#[case(40)]
fn a_compact_set_has_the_requested_size(#[case] max: usize) {
    let (kinds, site) = (kinds(), site());
    let scenarios = scenarios(&Source { kinds: &kinds, site: &site, seed: 1 }, Set::Compact, Some(max));
    let names: BTreeSet<&str> = scenarios.iter().map(|scenario| scenario.name.as_str()).collect();
    assert_eq!((scenarios.len(), names.len()), (max, max));
    assert!(scenarios.iter().any(|scenario| scenario.name.starts_with("worst-cut")));
    assert!(scenarios.iter().any(|scenario| scenario.name.starts_with("packed")));
}

#[test]
fn listed_only_kinds_are_sampled_only_for_deployments_that_list_them() {
    let names: Vec<String> = sampled(Set::Repeats, 1).into_iter().map(|scenario| scenario.name).collect();
    assert!(names.contains(&"repeat-add_nodes".to_string()));
    assert!(!names.contains(&"repeat-big_config".to_string()));
}

#[test]
fn scenario_text_is_toml_with_all_of_its_kinds() {
    for scenario in sampled(Set::Packed, 9) {
        let kinds = kinds_of(&scenario.text()).unwrap();
        assert!(scenario.entries.iter().all(|entry| kinds.contains(&entry.kind)), "{}", scenario.text());
        assert!(scenario.text().contains("goal = { floor = 0.4 }"));
    }
}

#[test]
fn scenario_text_has_the_format_of_the_bench() {
    let mut scenario = Scenario::empty("one".into(), &site(), 0.0, &mut SeededRng::new(1, "one"));
    scenario.seed = 5;
    scenario.push(Entry::change("idle", 2.5));
    scenario.push(
        Entry::with_defaults(Part::Faults, "node_kill", "leader race", 6.0).on_core().with_duration(3.25),
    );
    let wanted = r#"[[day]]
name = "one"
seed = 5
length_s = 30.0
goal = { floor = 0.4 }
plan = [
  { at = 2.5, kind = "config_change", how = "idle" },
]
faults = [
  { at = 6, kind = "node_kill", on = "core", count = 1, for_s = 3.25, how = "leader race" },
]
"#;
    assert_eq!(scenario.text(), wanted);
    assert_eq!(scenario.labels(), ["config_change idle", "node_kill core leader race"]);
}

#[test]
fn scenario_files_are_named_after_their_scenarios() {
    let folder = std::env::temp_dir().join(format!("fault-matrix-{}", std::process::id()));
    let scenarios = sampled(Set::Repeats, 1);
    let files = write_scenarios(&scenarios, &folder).unwrap();
    assert_eq!(files.len(), scenarios.len());
    assert_eq!(std::fs::read_to_string(&files[0]).unwrap(), scenarios[0].text());
    std::fs::remove_dir_all(folder).unwrap();
}

#[rstest]
#[case::not_toml("[[kind", "kinds.toml")]
#[case::no_closing("closing = []\n[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = [\"\"]", "at least one")]
#[case::unknown_part("[[kind]]\nname = \"a\"\npart = \"later\"\nhows = [\"\"]", "later")]
#[case::unknown_field("[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = [\"\"]\nfor = [1.0, 2.0]", "for")]
#[case::reversed_range(
    "[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = [\"\"]\nx = [2.0, 1.0]",
    "a: [2.0, 1.0]"
)]
#[case::quote("[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = ['\"']", "is not a variant")]
#[case::path("[[kind]]\nname = \"../a\"\npart = \"plan\"\nhows = [\"\"]", "is not a name")]
#[case::no_variant("[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = []", "no variant")]
fn an_invalid_kind_list_is_rejected_with_a_one_line_error(#[case] text: &str, #[case] expected: &str) {
    let closing = if text.contains("closing") { "" } else { "\n[[closing]]\nname = \"c\"\nhows = [\"\"]\n" };
    let error = KindList::parse(&format!("{text}{closing}"), "kinds.toml").unwrap_err().to_string();
    assert!(error.starts_with("kinds.toml: ") && error.contains(expected), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}

#[rstest]
#[case::no_name("length_s = 3.0\n[tolerate]\n")]
#[case::path_as_name("name = \"../up\"\nlength_s = 3.0\n[tolerate]\n")]
#[case::no_time("name = \"a\"\nlength_s = -1.0\n[tolerate]\n")]
#[case::endless("name = \"a\"\nlength_s = inf\n[tolerate]\n")]
fn an_invalid_site_file_is_rejected(#[case] text: &str) {
    assert!(matches!(Site::parse(text, "site.toml"), Err(Error::Content { .. })));
}
