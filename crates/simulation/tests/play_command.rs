//! `tindock play`: scenario syntax, error positions, swept settings and reports.

use rstest::rstest;
use std::path::{Path, PathBuf};
use tindock_simulation::{command, run, PlayOutcome, Scenario, LIST};

fn run_play(args: &[&str]) -> Result<PlayOutcome, String> {
    run(&command().try_get_matches_from([&["play"], args].concat()).unwrap())
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

const SMALL: &str = "title <Small & \"quick\">
length 4
zones a:west
edge a 2
core a 1
hosts a 1 memory 2048  # enough
service dock slots 2 memory 256 boot 300
route check on dock rate 40 aim 400 work 30
";

/// All lines of `--list` together form one scenario.
#[test]
fn every_line_of_the_syntax_list_parses() {
    let lines: Vec<&str> = LIST.iter().flat_map(|(_, lines)| lines.iter().map(|line| line.0)).collect();
    let scenario = Scenario::read(&lines.join("\n")).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!((scenario.routes.len(), scenario.actions.len(), scenario.expectations.len()), (3, 28, 14));
}

#[rstest]
#[case("lenth 3", "9:1: lenth: unknown word")]
#[case("route b on dock rat 5", "9:17: rat: unknown word")]
#[case("route b on deck", "9:12: deck: unknown name")]
#[case("edge b 1", "9:6: b: unknown name")]
#[case("at 1 kill edge-a-3", "9:11: edge-a-3: unknown name")]
#[case("at 1 cut edge* core-b-1 for 1", "9:16: core-b-1: unknown name")]
#[case("at 1 burst check xx for 1", "9:18: xx: not a number")]
#[case("at 1 freeze edge-a-1", "9:21: for is missing")]
#[case("at 1 spoil bad 0.1 for 1", "9:12: bad: unknown word")]
#[case("at 1 config drop none", "9:18: none: unknown name")]
#[case("expect served >= much", "9:18: much: not a number")]
#[case("expect aim >= 0.9 route none", "9:25: none: unknown name")]
#[case("edge a 201", "9:8: how many: at most 200")]
#[case("route b on dock rate 1e9", " requests in a run: at most 1000000")]
fn an_error_is_reported_with_its_position(#[case] line: &str, #[case] expected: &str) {
    let path = write_file(&format!("wrong-{}.txt", line.replace(' ', "-")), &format!("{SMALL}{line}\n"));
    let error = run_play(&[path.to_str().unwrap()]).err().unwrap();
    assert_eq!(error, format!("{}:{expected}", path.display()));
}

#[rstest]
#[case("edge.a=1", None)]
#[case("hosts.a.memory=1024,4096", None)]
#[case("service.dock.boot=100,200", None)]
#[case("route.check.priority=0", None)]
#[case("timers.grace=2", None)]
#[case("length=2,3", None)]
#[case("edge.b=1", Some("edge.b: unknown name"))]
#[case("service.dock.slot=1", Some("with 1: slot: unknown word"))]
#[case("timers.grace=a", Some("with a: a: not a number"))]
#[case("timers.grace", Some("NAME=A,B,C was expected"))]
#[case("seed=1", Some("seed: unknown name"))]
fn a_swept_setting_gives_one_row_per_value_or_an_error(#[case] sweep: &str, #[case] error: Option<&str>) {
    let path = write_file(&format!("sweep-{sweep}.txt"), SMALL);
    let done = run_play(&[path.to_str().unwrap(), "--sweep", sweep, "--seeds", "2"]);
    match error {
        Some(error) => assert_eq!(done.err().unwrap(), format!("--sweep {sweep}: {error}")),
        None => {
            let text = done.unwrap().text;
            let (_, values) = sweep.split_once('=').unwrap();
            for value in values.split(',') {
                assert!(text.lines().any(|line| line.starts_with(&format!("{value} "))), "{text}");
            }
        }
    }
}

#[test]
fn a_swept_setting_changes_the_run() {
    let path = write_file("slots.txt", SMALL);
    let text = run_play(&[path.to_str().unwrap(), "--sweep", "service.dock.slots=1,16"]).unwrap().text;
    let starts = |value: &str| -> f64 {
        let line = text.lines().find(|line| line.starts_with(value)).unwrap();
        line.split_whitespace().nth(5).unwrap().parse().unwrap()
    };
    assert!(starts("1    ") > starts("16    "), "{text}");
}

/// All edge machines are killed in second 1, so that the run has findings.
#[test]
fn reports_are_complete_escaped_and_free_of_external_resources() {
    let path = write_file("broken.txt", &format!("{SMALL}at 1 kill edge*\nexpect served >= 0.9\n"));
    let out = path.with_extension("html");
    let args = [path.to_str().unwrap(), "--report", out.to_str().unwrap(), "--json", "--seeds", "2"];
    let done = run_play(&args).unwrap();
    assert!(!done.held);
    for kind in ["run", "route", "second", "event", "duty", "broken", "all"] {
        assert!(done.text.contains(&format!("{{\"kind\":\"{kind}\",")), "{kind}: {}", done.text);
    }
    assert!(done.text.contains("<Small & \\\"quick\\\">"));
    let html = std::fs::read_to_string(out).unwrap();
    for outside in ["http", "src=", "href", "<script", "url(", "@import", "<Small"] {
        assert!(!html.contains(outside), "{outside}");
    }
    assert!(html.contains("&lt;Small &amp; &quot;quick&quot;&gt;") && html.contains("Served at 4.00"));
    assert_eq!(html.matches("<svg").count(), html.matches("</svg>").count());
    assert_eq!(html.matches("<svg").count(), 4);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let path = write_file("again.txt", SMALL);
    let output = |seed: &str| run_play(&[path.to_str().unwrap(), "--seed", seed, "--json"]).unwrap().text;
    assert_eq!(output("7"), output("7"));
    assert_ne!(output("7"), output("8"));
}
