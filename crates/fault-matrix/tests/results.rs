//! Reports of the bench, read and summed up; and runs of a stand-in for the bench.

use nanoserde::DeJson;
use rstest::rstest;
use std::collections::BTreeSet;
use tindock_fault_matrix::summary::{kinds_of, markdown, Run};
use tindock_fault_matrix::verdict::{Gauges, Report, Verdict};

#[rstest]
#[case::kept(r#"{"G": 0.5, "fault": null, "short": [], "breaks": {}, "first": []}"#, "kept, worth 0.500")]
#[case::fields_of_later_benches(r#"{"new": {"a": [1, {}]}, "G": 0.5}"#, "kept, worth 0.500")]
#[case::broken(r#"{"G": 0, "breaks": {"LOST": 3, "TWICE": [1, 2]}}"#, "BROKEN LOST TWICE, worth 0.000")]
#[case::broken_and_short(
    r#"{"G": 0, "short": ["a"], "breaks": {"LOST": {"n": 1}}}"#,
    "BROKEN LOST, worth 0.000"
)]
#[case::fault(r#"{"G": 0.0, "fault": "a process ended", "short": ["a"]}"#, "FAULT a process ended")]
#[case::short(r#"{"G": 0.25, "short": ["a", "b"], "breaks": {}}"#, "GATE a; b, worth 0.250")]
fn a_report_tells_what_came_of_a_day(#[case] report: &str, #[case] told: &str) {
    assert_eq!(Verdict::of(Report::deserialize_json(report).unwrap()).to_string(), told);
}

/// A rule that is kept may be kept by a little: the figures behind it are told for each day.
#[rstest]
#[case::none(r#"{"G": 0.5, "times": {"config acked": null, "leaving in force": null}}"#, 0, 0.0)]
#[case::both(
    r#"{"G": 0.5, "services": [{"name": "a", "told": "x", "arrivals": 9, "not_run": 3}, {"name": "b", "not_run": 7}],
        "times": {"leaving in force": [497, 1765]}}"#,
    7,
    1765.0
)]
fn a_report_tells_how_near_a_day_came(#[case] report: &str, #[case] turned_away: u64, #[case] last_ms: f64) {
    let gauges = Gauges::of(&Report::deserialize_json(report).unwrap());
    assert_eq!(gauges, Gauges { turned_away, last_after_leaving_ms: last_ms });
}

#[rstest]
#[case::empty("")]
#[case::no_worth("{}")]
#[case::cut_short(r#"{"G": 0.5, "breaks": {"LOST""#)]
fn a_report_that_cannot_be_read_is_never_a_kept_day(#[case] report: &str) {
    assert!(Report::deserialize_json(report).is_err());
}

fn run(site: &str, day: &str, kinds: &[&str], verdict: Verdict) -> Run {
    let kinds: BTreeSet<String> = kinds.iter().map(ToString::to_string).collect();
    Run { site: site.into(), day: day.into(), kinds, never_came: BTreeSet::new(), verdict }
}

#[test]
fn the_table_counts_days_by_kind_and_deployment() {
    let broken = Verdict::Broken { worth: 0.25, rules: vec!["LOST".into()] };
    let runs = [
        run("a", "one", &["burst", "hup"], Verdict::Kept { worth: 0.75 }),
        run("a", "two", &["burst"], broken),
        run("b", "one", &["hup"], Verdict::Fault("ended".into())),
        run("b", "two", &["burst"], Verdict::NotPlayed("no report".into())),
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
fn a_kind_counts_only_where_it_came_to_pass() {
    let report = r#"{"G": 0.5, "events": [{"kind": "ack_lost", "what": ""}, {"kind": "closing (kill_all)",
        "what": "all"}, {"kind": "hup (x)", "what": "a machine"}, {"kind": "burst", "what": ""}]}"#;
    let asked = ["ack_lost", "hup", "burst", "closing kill_all"].map(String::from);
    let run = Run::of("a", "one", asked.into(), Some(Report::deserialize_json(report).unwrap()));
    assert_eq!(run.kinds, ["ack_lost", "hup", "closing kill_all"].map(String::from).into());
    let text = markdown(&[run]);
    assert!(!text.contains("| burst | 1"), "{text}");
    assert!(text.ends_with("| a | one | burst |\n"), "{text}");
}

#[test]
fn nothing_broken_is_said_so() {
    let text = markdown(&[run("a", "one", &["hup"], Verdict::Kept { worth: 0.5 })]);
    assert!(text.ends_with("No day broke a rule or missed the gate.\n"), "{text}");
}

#[test]
fn kinds_of_a_day_file_are_those_of_plan_faults_and_closing() {
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
mod with_a_stand_in {
    use super::*;
    use std::os::unix::fs::PermissionsExt;
    use std::path::{Path, PathBuf};
    use std::time::Duration;
    use tindock_fault_matrix::play::{day_files, Play};
    use tindock_fault_matrix::summary::read_results;

    /// A bench that does what the name of the day says: `run SITE DAY --jobs 1 --report FILE ...`.
    const STAND_IN: &str = r#"#!/bin/sh
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

    fn play(folder: &Path, limit: Duration) -> Play {
        let bench = folder.join("bench");
        std::fs::write(&bench, STAND_IN).unwrap();
        std::fs::set_permissions(&bench, std::fs::Permissions::from_mode(0o755)).unwrap();
        let site = folder.join("site.toml");
        std::fs::write(&site, "name = \"made-up\"\nlength_s = 30.0\n[tolerate]\n").unwrap();
        let (results, why) = (folder.join("results"), "a test".to_string());
        Play { bench, site, results, jobs: 2, limit, no_cpu: false, why }
    }

    fn day(folder: &Path, name: &str) {
        std::fs::write(folder.join("days").join(name), "[[day]]\nfaults = [{ kind = \"hup\" }]\n").unwrap();
    }

    #[test]
    fn each_run_is_judged_kept_and_summed_up() {
        let folder = folder("runs");
        for name in ["broken.toml", "kept.toml", "unreadable.toml"] {
            day(&folder, name);
        }
        let play = play(&folder, Duration::from_secs(30));
        let played = play.all(&day_files(&[folder.join("days")]).unwrap(), |_| ()).unwrap();
        let told: Vec<String> = played.iter().map(|played| played.verdict.to_string()).collect();
        assert_eq!(told[..2], ["BROKEN LOST, worth 0.000", "kept, worth 0.500"]);
        assert!(
            told[2].starts_with("not played: ") && told[2].ends_with("the day cannot be read"),
            "{told:?}"
        );
        let text = markdown(&read_results(&play.results).unwrap());
        assert!(text.contains("| hup | 2, 1, 0.00 0.25 |"), "{text}");
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn a_run_over_its_limit_is_ended_and_not_counted_as_played() {
        let folder = folder("limit");
        day(&folder, "endless.toml");
        let played = play(&folder, Duration::ZERO);
        let played = played.all(&day_files(&[folder.join("days")]).unwrap(), |_| ()).unwrap();
        assert_eq!(played[0].verdict, Verdict::NotPlayed("longer than 0 s".into()));
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[test]
    fn an_old_report_is_not_taken_for_a_new_one() {
        let folder = folder("old");
        day(&folder, "unreadable.toml");
        let play = play(&folder, Duration::from_secs(30));
        let results = play.results.join("made-up");
        std::fs::create_dir_all(&results).unwrap();
        std::fs::write(results.join("unreadable.json"), "{\"G\": 0.9}").unwrap();
        let played = play.all(&day_files(&[folder.join("days")]).unwrap(), |_| ()).unwrap();
        assert!(!played[0].verdict.was_played());
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[test]
fn the_days_that_broke_can_be_read() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
    let files = tindock_fault_matrix::play::day_files(&[folder]).unwrap();
    assert!(!files.is_empty());
    for file in files {
        let kinds = kinds_of(&std::fs::read_to_string(&file).unwrap()).unwrap();
        assert!(!kinds.is_empty(), "{}", file.display());
    }
}
