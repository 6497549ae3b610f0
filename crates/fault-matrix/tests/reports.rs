//! Reading and summarising the bench's reports, and runs of a fake bench.

use nanoserde::DeJson;
use rstest::rstest;
use std::collections::BTreeSet;
use tindock_fault_matrix::summary::{kinds_of, markdown, Run};
use tindock_fault_matrix::verdict::{Margins, Report, Verdict};

#[rstest]
#[case::passed(r#"{"G": 0.5, "fault": null, "short": [], "breaks": {}, "first": []}"#, "kept, worth 0.500")]
#[case::unknown_fields(r#"{"new": {"a": [1, {}]}, "G": 0.5}"#, "kept, worth 0.500")]
#[case::broken(r#"{"G": 0, "breaks": {"LOST": 3, "TWICE": [1, 2]}}"#, "BROKEN LOST TWICE, worth 0.000")]
#[case::broken_and_short(
    r#"{"G": 0, "short": ["a"], "breaks": {"LOST": {"n": 1}}}"#,
    "BROKEN LOST, worth 0.000"
)]
#[case::fault(r#"{"G": 0.0, "fault": "a process ended", "short": ["a"]}"#, "FAULT a process ended")]
#[case::short(r#"{"G": 0.25, "short": ["a", "b"], "breaks": {}}"#, "GATE a; b, worth 0.250")]
fn the_verdict_follows_from_the_report(#[case] report: &str, #[case] expected: &str) {
    assert_eq!(Verdict::of(Report::deserialize_json(report).unwrap()).to_string(), expected);
}

/// A rule may be kept by a narrow margin, so the figures behind it are reported for each scenario.
#[rstest]
#[case::none(r#"{"G": 0.5, "times": {"config acked": null, "leaving in force": null}}"#, 0, 0.0)]
#[case::both(
    r#"{"G": 0.5, "services": [{"name": "a", "told": "x", "arrivals": 9, "not_run": 3}, {"name": "b", "not_run": 7}],
        "times": {"leaving in force": [497, 1765]}}"#,
    7,
    1765.0
)]
fn margins_are_read_from_the_report(#[case] report: &str, #[case] rejected: u64, #[case] last_ms: f64) {
    let margins = Margins::of(&Report::deserialize_json(report).unwrap());
    assert_eq!(margins, Margins { rejected, last_after_leaving_ms: last_ms });
}

#[rstest]
#[case::empty("")]
#[case::missing_worth("{}")]
#[case::cut_short(r#"{"G": 0.5, "breaks": {"LOST""#)]
fn an_unreadable_report_is_never_a_passed_scenario(#[case] report: &str) {
    assert!(Report::deserialize_json(report).is_err());
}

fn run(site: &str, scenario: &str, kinds: &[&str], verdict: Verdict) -> Run {
    let kinds: BTreeSet<String> = kinds.iter().map(ToString::to_string).collect();
    Run { site: site.into(), scenario: scenario.into(), kinds, not_triggered: BTreeSet::new(), verdict }
}

#[test]
fn the_table_counts_scenarios_by_kind_and_deployment() {
    let broken = Verdict::RulesBroken { worth: 0.25, rules: vec!["LOST".into()] };
    let runs = [
        run("a", "one", &["burst", "hup"], Verdict::Passed { worth: 0.75 }),
        run("a", "two", &["burst"], broken),
        run("b", "one", &["hup"], Verdict::Fault("ended".into())),
        run("b", "two", &["burst"], Verdict::NotRun("no report".into())),
    ];
    let text = markdown(&runs);
    assert!(text.contains("| kind | a | b |\n| --- | --- | --- |\n"), "{text}");
    assert!(text.contains("| burst | 2, 1, 0.25 0.50 |  |\n"), "{text}");
    assert!(text.contains("| hup | 1, 0, 0.75 0.75 | 1, 1 |\n"), "{text}");
    assert!(text.contains("| all days | 2, 1, 0.25 0.50 | 1, 1 |\n"), "{text}");
    assert!(text.contains("| a | two | BROKEN LOST, worth 0.250 |\n"), "{text}");
    assert!(text.contains("| b | one | FAULT ended |\n"), "{text}");
    assert!(text.contains("| b | two | not played: no report |\n"), "{text}");
}

#[test]
fn a_kind_counts_only_where_it_was_triggered() {
    let report = r#"{"G": 0.5, "events": [{"kind": "ack_lost", "what": ""}, {"kind": "closing (kill_all)",
        "what": "all"}, {"kind": "hup (x)", "what": "a machine"}, {"kind": "burst", "what": ""}]}"#;
    let requested = ["ack_lost", "hup", "burst", "closing kill_all"].map(String::from);
    let run = Run::of("a", "one", requested.into(), Some(Report::deserialize_json(report).unwrap()));
    assert_eq!(run.kinds, ["ack_lost", "hup", "closing kill_all"].map(String::from).into());
    let text = markdown(&[run]);
    assert!(!text.contains("| burst | 1"), "{text}");
    assert!(text.ends_with("| a | one | burst |\n"), "{text}");
}

#[test]
fn the_summary_states_when_nothing_failed() {
    let text = markdown(&[run("a", "one", &["hup"], Verdict::Passed { worth: 0.5 })]);
    assert!(text.ends_with("No day broke a rule or missed the gate.\n"), "{text}");
}

#[test]
fn kinds_of_a_scenario_file_are_those_of_plan_faults_and_closing() {
    let text = r#"[[day]]
closing = { kind = "kill_all", down_s = 1 }
plan = [{ at = 1, kind = "hup" }, { at = 2, kind = "hup" }]
faults = [{ at = 3, kind = "burst" }]
"#;
    let kinds = kinds_of(text).unwrap();
    assert_eq!(kinds.into_iter().collect::<Vec<_>>(), ["burst", "closing kill_all", "hup"]);
    assert!(kinds_of("[[day").is_err());
}

#[cfg(unix)]
mod with_fake_bench {
    use super::*;
    use std::os::unix::fs::PermissionsExt;
    use std::path::{Path, PathBuf};
    use std::time::Duration;
    use tindock_fault_matrix::runner::{scenario_files, Runner};
    use tindock_fault_matrix::summary::read_results;

    /// A bench that acts by the scenario's file name; called as `run SITE DAY --jobs 1 --report FILE ...`.
    const FAKE_BENCH: &str = r#"#!/bin/sh
case "$3" in
  *kept.toml) echo '{"G": 0.5, "events": [{"at_s": 3, "kind": "hup (x)", "what": "a machine"}]}' > "$7" ;;
  *broken.toml) echo '{"G": 0, "breaks": {"LOST": 1}, "events": [{"kind": "hup", "what": "one"}]}' > "$7" ;;
  *endless.toml) exec sleep 60 ;;
  *) echo 'the day cannot be read' >&2; exit 1 ;;
esac
"#;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("fault-matrix-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("days")).unwrap();
        folder
    }

    fn fake_runner(folder: &Path, limit: Duration) -> Runner {
        let bench = folder.join("bench");
        std::fs::write(&bench, FAKE_BENCH).unwrap();
        std::fs::set_permissions(&bench, std::fs::Permissions::from_mode(0o755)).unwrap();
        let site = folder.join("site.toml");
        std::fs::write(&site, "name = \"made-up\"\nlength_s = 30.0\n[tolerate]\n").unwrap();
        let (results, why) = (folder.join("results"), "a test".to_string());
        Runner { bench, site, results, jobs: 2, limit, no_cpu: false, why }
    }

    fn scenario(folder: &Path, name: &str) {
        std::fs::write(folder.join("days").join(name), "[[day]]\nfaults = [{ kind = \"hup\" }]\n").unwrap();
    }

    #[test]
    fn each_run_is_judged_stored_and_summarised() {
        let folder = folder("runs");
        for name in ["broken.toml", "kept.toml", "unreadable.toml"] {
            scenario(&folder, name);
        }
        let runner = fake_runner(&folder, Duration::from_secs(30));
        let outcomes = runner.run_all(&scenario_files(&[folder.join("days")]).unwrap(), |_| ()).unwrap();
        let verdicts: Vec<String> = outcomes.iter().map(|outcome| outcome.verdict.to_string()).collect();
        assert_eq!(verdicts[..2], ["BROKEN LOST, worth 0.000", "kept, worth 0.500"]);
        assert!(
            verdicts[2].starts_with("not played: ") && verdicts[2].ends_with("the day cannot be read"),
            "{verdicts:?}"
        );
        let text = markdown(&read_results(&runner.results).unwrap());
        assert!(text.contains("| hup | 2, 1, 0.00 0.25 |"), "{text}");
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_run_over_its_time_limit_is_killed_and_not_counted() {
        let folder = folder("limit");
        scenario(&folder, "endless.toml");
        let runner = fake_runner(&folder, Duration::ZERO);
        let outcomes = runner.run_all(&scenario_files(&[folder.join("days")]).unwrap(), |_| ()).unwrap();
        assert_eq!(outcomes[0].verdict, Verdict::NotRun("longer than 0 s".into()));
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn the_report_of_an_earlier_run_is_not_reused() {
        let folder = folder("old");
        scenario(&folder, "unreadable.toml");
        let runner = fake_runner(&folder, Duration::from_secs(30));
        let results = runner.results.join("made-up");
        std::fs::create_dir_all(&results).unwrap();
        std::fs::write(results.join("unreadable.json"), "{\"G\": 0.9}").unwrap();
        let outcomes = runner.run_all(&scenario_files(&[folder.join("days")]).unwrap(), |_| ()).unwrap();
        assert!(!outcomes[0].verdict.was_run());
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[test]
fn the_recorded_scenarios_can_be_read() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let files = tindock_fault_matrix::runner::scenario_files(&[folder]).unwrap();
    assert!(!files.is_empty());
    for file in files {
        let kinds = kinds_of(&std::fs::read_to_string(&file).unwrap()).unwrap();
        assert!(!kinds.is_empty(), "{}", file.display());
    }
}
