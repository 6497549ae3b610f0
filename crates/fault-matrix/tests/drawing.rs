//! Days as they are drawn: the same from the same seed, whole, and inside their bounds.

use rstest::rstest;
use std::collections::BTreeSet;
use tindock_fault_matrix::day::{Day, Entry, MARGIN_S};
use tindock_fault_matrix::draw::Draw;
use tindock_fault_matrix::error::Error;
use tindock_fault_matrix::kinds::{KindList, Part, DEFAULT_LIST};
use tindock_fault_matrix::sets::{days, Set, Source};
use tindock_fault_matrix::site::Site;
use tindock_fault_matrix::summary::kinds_of;
use tindock_fault_matrix::write::write_days;

/// A deployment that nobody has.
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

fn drawn(set: Set, seed: u64) -> Vec<Day> {
    days(&Source { kinds: &kinds(), site: &site(), seed }, set, None)
}

#[test]
fn the_same_seed_gives_the_same_days_and_another_seed_others() {
    for set in Set::ALL {
        let texts = |seed| drawn(set, seed).iter().map(Day::text).collect::<Vec<_>>();
        assert_eq!(texts(7), texts(7), "{set:?}");
        assert_ne!(texts(7), texts(8), "{set:?}");
    }
}

#[test]
fn a_day_does_not_depend_on_what_is_drawn_beside_it() {
    let (kinds, site) = (kinds(), site());
    let source = Source { kinds: &kinds, site: &site, seed: 3 };
    let few = days(&source, Set::Worst, Some(6));
    let many = days(&source, Set::Worst, Some(20));
    assert_eq!(few[..], many[..6]);
}

#[rstest]
#[case(Set::Singles)]
#[case(Set::Packed)]
fn every_kind_and_variant_and_every_closing_appears(#[case] set: Set) {
    let labels: BTreeSet<String> = drawn(set, 1).iter().flat_map(Day::labels).collect();
    let site = site();
    for variant in kinds().variants(|kind| site.allows(kind)) {
        let entry = Entry::draw(&variant, &site, &mut Draw::new(1, "any"));
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
fn a_single_day_holds_one_kind_beside_the_changes_of_any_day() {
    for day in drawn(Set::Singles, 5) {
        let struck = day.entries.iter().filter(|entry| entry.kind != "config_change").count();
        assert!(struck <= 1, "{}", day.name);
        assert!(day.closing.is_some() || day.entries.len() == 3, "{}", day.name);
    }
}

#[test]
fn pairs_hold_every_two_kinds_once() {
    let allowed = kinds().kinds.iter().filter(|kind| site().allows(kind)).count();
    let days = drawn(Set::Pairs, 2);
    let names: BTreeSet<&str> = days.iter().map(|day| day.name.as_str()).collect();
    assert_eq!(days.len(), allowed * (allowed - 1) / 2);
    assert_eq!(names.len(), days.len());
}

#[test]
fn a_repeated_kind_comes_at_least_three_times() {
    for day in drawn(Set::Repeats, 4) {
        let kind = day.name.strip_prefix("repeat-").unwrap();
        assert!(day.entries.iter().filter(|entry| entry.kind == kind).count() >= 3, "{}", day.name);
    }
}

#[test]
fn no_entry_lies_outside_its_day() {
    for (set, seed) in Set::ALL.into_iter().flat_map(|set| (0..20).map(move |seed| (set, seed))) {
        for day in drawn(set, seed) {
            for entry in &day.entries {
                let end = entry.at + entry.reach_s();
                assert!(entry.at >= MARGIN_S, "{} begins at {}", day.name, entry.at);
                assert!(
                    end <= day.length_s - MARGIN_S + 1e-6,
                    "{}: {} ends at {end}",
                    day.name,
                    entry.label()
                );
            }
        }
    }
}

#[rstest]
#[case::long_fault(Entry::bare(Part::Faults, "core_cut", "", 3.0).lasting(500.0))]
#[case::many_steps(Entry::bare(Part::Plan, "config_storm", "", 3.0).repeated(4000, 0.1))]
#[case::late(Entry::bare(Part::Faults, "core_cut", "", 29.9).lasting(5.0))]
#[case::before_the_start(Entry::bare(Part::Faults, "core_cut", "", -5.0).lasting(5.0))]
fn an_entry_that_does_not_fit_is_moved_and_shortened(#[case] entry: Entry) {
    let mut day = Day::empty("d".into(), &site(), 0.0, &mut Draw::new(1, "d"));
    day.push(entry);
    let entry = &day.entries[0];
    assert!(entry.at >= MARGIN_S);
    assert!(entry.at + entry.reach_s() <= day.length_s - MARGIN_S + 1e-6);
}

#[test]
fn all_five_worst_days_come_before_one_comes_again() {
    let days = drawn(Set::Worst, 1);
    let sorts: BTreeSet<&str> = days[..5].iter().map(|day| day.name.trim_end_matches("-01")).collect();
    let wanted = ["worst-answers", "worst-cut", "worst-long", "worst-race", "worst-second"];
    assert_eq!(sorts.into_iter().collect::<Vec<_>>(), wanted);
    assert!(days.iter().all(|day| day.closing.is_some()));
}

#[test]
fn a_worst_day_cuts_the_holder_off_for_about_twenty_seconds() {
    let days = drawn(Set::Worst, 1);
    let cut = days[0].entries.iter().find(|entry| entry.kind == "core_cut").unwrap();
    assert!(cut.how.contains("leader") && cut.for_s.unwrap() >= 18.0);
}

fn count(day: &Day, kind: &str) -> usize {
    day.entries.iter().filter(|entry| entry.kind == kind).count()
}

#[test]
fn a_mixed_day_holds_drains_and_several_troubles() {
    let days = drawn(Set::Mixed, 1);
    assert_eq!(days.len(), 40);
    for day in &days {
        assert!(count(day, "worker_drain") >= 1 && day.entries.len() >= 7, "{}", day.text());
        let fronts: usize =
            ["node_cut", "node_freeze", "node_kill"].iter().map(|kind| count(day, kind)).sum();
        assert!(fronts >= 1, "{}", day.text());
    }
    let closed = days.iter().filter(|day| day.closing.is_some()).count();
    assert!((4..=20).contains(&closed), "{closed}");
}

#[test]
fn a_long_day_holds_changes_and_proxies_and_hosts_that_come_and_go() {
    for day in drawn(Set::Long, 1) {
        let changes = day.entries.iter().find(|entry| entry.kind == "config_storm").unwrap();
        assert!(changes.count.unwrap() >= 150 && day.length_s >= 40.0, "{}", day.text());
        let all = ["add_nodes", "roll_term", "worker_drain"].iter().all(|kind| count(&day, kind) >= 1);
        assert!(all, "{}", day.text());
    }
}

#[test]
fn long_days_hold_three_hundred_changes() {
    for day in drawn(Set::Worst, 1).iter().filter(|day| day.name.starts_with("worst-long")) {
        let changes: u32 = day
            .entries
            .iter()
            .map(|entry| match entry.kind.as_str() {
                "config_storm" => entry.count.unwrap(),
                "config_race" => 2 * entry.count.unwrap(),
                _ => 0,
            })
            .sum();
        assert!(changes >= 300, "{}: {changes}", day.name);
    }
}

#[rstest]
#[case(7)]
#[case(40)]
fn a_compact_set_holds_as_many_days_as_asked(#[case] most: usize) {
    let (kinds, site) = (kinds(), site());
    let days = days(&Source { kinds: &kinds, site: &site, seed: 1 }, Set::Compact, Some(most));
    let names: BTreeSet<&str> = days.iter().map(|day| day.name.as_str()).collect();
    assert_eq!((days.len(), names.len()), (most, most));
    assert!(days.iter().any(|day| day.name.starts_with("worst-cut")));
    assert!(days.iter().any(|day| day.name.starts_with("packed")));
}

#[test]
fn kinds_that_only_some_deployments_list_are_drawn_only_there() {
    let names: Vec<String> = drawn(Set::Repeats, 1).into_iter().map(|day| day.name).collect();
    assert!(names.contains(&"repeat-add_nodes".to_string()));
    assert!(!names.contains(&"repeat-big_config".to_string()));
}

#[test]
fn the_text_of_a_day_is_toml_with_all_of_its_kinds() {
    for day in drawn(Set::Packed, 9) {
        let kinds = kinds_of(&day.text()).unwrap();
        assert!(day.entries.iter().all(|entry| kinds.contains(&entry.kind)), "{}", day.text());
        assert!(day.text().contains("goal = { floor = 0.4 }"));
    }
}

#[test]
fn a_day_is_written_as_the_bench_reads_it() {
    let mut day = Day::empty("one".into(), &site(), 0.0, &mut Draw::new(1, "one"));
    day.seed = 5;
    day.push(Entry::change("idle", 2.5));
    day.push(Entry::bare(Part::Faults, "node_kill", "leader race", 6.0).on_core().lasting(3.25));
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
    assert_eq!(day.text(), wanted);
    assert_eq!(day.labels(), ["config_change idle", "node_kill core leader race"]);
}

#[test]
fn files_are_written_by_name() {
    let folder = std::env::temp_dir().join(format!("fault-matrix-{}", std::process::id()));
    let days = drawn(Set::Repeats, 1);
    let files = write_days(&days, &folder).unwrap();
    assert_eq!(files.len(), days.len());
    assert_eq!(std::fs::read_to_string(&files[0]).unwrap(), days[0].text());
    std::fs::remove_dir_all(folder).unwrap();
}

#[rstest]
#[case::not_toml("[[kind", "kinds.toml")]
#[case::no_closing("closing = []\n[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = [\"\"]", "at least one")]
#[case::unknown_part("[[kind]]\nname = \"a\"\npart = \"later\"\nhows = [\"\"]", "later")]
#[case::unknown_field("[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = [\"\"]\nfor = [1.0, 2.0]", "for")]
#[case::turned_range(
    "[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = [\"\"]\nx = [2.0, 1.0]",
    "a: [2.0, 1.0]"
)]
#[case::quote("[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = ['\"']", "is not a variant")]
#[case::path("[[kind]]\nname = \"../a\"\npart = \"plan\"\nhows = [\"\"]", "is not a name")]
#[case::no_variant("[[kind]]\nname = \"a\"\npart = \"plan\"\nhows = []", "no variant")]
fn a_wrong_list_is_refused_in_one_line(#[case] text: &str, #[case] told: &str) {
    let closing = if text.contains("closing") { "" } else { "\n[[closing]]\nname = \"c\"\nhows = [\"\"]\n" };
    let error = KindList::parse(&format!("{text}{closing}"), "kinds.toml").unwrap_err().to_string();
    assert!(error.starts_with("kinds.toml: ") && error.contains(told), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}

#[rstest]
#[case::no_name("length_s = 3.0\n[tolerate]\n")]
#[case::path_as_name("name = \"../up\"\nlength_s = 3.0\n[tolerate]\n")]
#[case::no_time("name = \"a\"\nlength_s = -1.0\n[tolerate]\n")]
#[case::endless("name = \"a\"\nlength_s = inf\n[tolerate]\n")]
fn a_wrong_site_file_is_refused(#[case] text: &str) {
    assert!(matches!(Site::parse(text, "site.toml"), Err(Error::Content { .. })));
}
