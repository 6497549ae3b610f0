//! Scenarios: generated from seeds, read from files with one-line errors, and minimized.

use rstest::rstest;
use tindock_soak::generate::{scenario, Size};
use tindock_soak::scenario::{Action, ActionKind, Scenario};
use tindock_soak::shrink::Shrink;

const SIZE: Size = Size { seconds: 30.0, proxies: 6, controllers: 3, clients: 20 };

const TEXT: &str = r#"seed = 1
seconds = 20.0
grace_s = 4.0
proxies = 3
controllers = 3
hosts = 6
clients = 10
rate = 40.0

[[action]]
at_s = 2.0
kind = "terminate"
on = "proxy-2"

[[action]]
at_s = 3.0
kind = "freeze"
on = "controller-0"
for_s = 0.5
"#;

#[test]
fn a_scenario_depends_on_its_seed_alone() {
    assert_eq!(scenario(7, SIZE), scenario(7, SIZE));
    assert_ne!(scenario(7, SIZE), scenario(8, SIZE));
}

#[test]
fn generated_scenarios_are_valid_and_survive_a_round_trip_through_toml() {
    for seed in 0..200 {
        let generated = scenario(seed, SIZE);
        assert_eq!(generated.check(), Ok(()), "seed {seed}");
        assert_eq!(Scenario::read(&generated.write()), Ok(generated), "seed {seed}");
    }
}

#[test]
fn generated_restarts_overlap_each_other_and_changes() {
    let generated = scenario(3, SIZE);
    let at =
        |kind| generated.actions.iter().filter(move |action| action.kind == kind).map(|action| action.at_s);
    let terminated: Vec<f64> = at(ActionKind::Terminate).collect();
    assert!(terminated.windows(2).any(|pair| pair[1] - pair[0] < generated.grace_s), "{terminated:?}");
    assert!(at(ActionKind::Change).count() >= 50);
}

#[test]
fn a_valid_file_is_read() {
    let read = Scenario::read(TEXT).unwrap();
    assert_eq!(read.actions.len(), 2);
    assert_eq!(read.actions[1].for_s, Some(0.5));
}

#[rstest]
#[case("seconds = 20.0", "seconds = \"x\"", "line 2: invalid type: string \"x\", expected f64")]
#[case("seconds = 20.0", "second = 20.0", "line 2: unknown field `second`")]
#[case("seconds = 20.0", "seconds = nan", "seconds: NaN is not between 1 and 3600")]
#[case("proxies = 3", "proxies = 4", "proxies: a multiple of 3, the number of zones")]
#[case("clients = 10", "clients = 0", "clients: 0 is not between 1 and 500")]
#[case("at_s = 2.0", "at_s = 21.0", "action 1 (Terminate): at_s: 21 is not between 0 and 20")]
#[case("proxy-2", "proxy-3", "action 1 (Terminate): on: numbers go from 0 to 2")]
#[case("proxy-2", "host-1", "action 1 (Terminate): on: proxy-N, controller-N or host-N, as the kind has it")]
#[case("proxy-2", "proxy-x", "action 1 (Terminate): on: proxy-N, controller-N or host-N, as the kind has it")]
#[case("for_s = 0.5", "", "action 2 (Freeze): for_s: seconds")]
#[case(
    "on = \"proxy-2\"",
    "on = \"proxy-2\"\nfor_s = 1.0",
    "action 1 (Terminate): for_s: this kind takes none"
)]
fn an_invalid_file_gets_a_one_line_error_with_the_place(
    #[case] was: &str,
    #[case] is: &str,
    #[case] message: &str,
) {
    let text = TEXT.replacen(was, is, 1);
    assert_ne!(text, TEXT);
    let error = Scenario::read(&text).unwrap_err().to_string();
    assert!(error.starts_with(message), "{error}");
    assert!(!error.contains('\n'));
}

/// Fails if actions at both of these times are present.
fn fails(scenario: &Scenario, needed: [f64; 2]) -> bool {
    needed.iter().all(|at| scenario.actions.iter().any(|action| action.at_s == *at))
}

#[rstest]
#[case([3.0, 4.0])]
#[case([0.0, 39.0])]
#[case([17.0, 17.0])]
fn shrinking_finds_the_smallest_failing_scenario(#[case] needed: [f64; 2]) {
    let action =
        |at| Action { at_s: f64::from(at), kind: ActionKind::Change, on: String::new(), for_s: None };
    let whole = Scenario { actions: (0..40).map(action).collect(), ..scenario(1, SIZE) };
    let mut shrink = Shrink::new(whole, 500);
    while let Some(candidate) = shrink.candidate() {
        let failed = fails(&candidate, needed);
        shrink.record_result(candidate, failed);
    }
    let left: Vec<f64> = shrink.smallest().actions.iter().map(|action| action.at_s).collect();
    let mut wanted = needed.to_vec();
    wanted.dedup();
    assert_eq!(left, wanted);
}

#[test]
fn shrinking_stops_after_the_given_number_of_scenarios() {
    let mut shrink = Shrink::new(scenario(1, SIZE), 5);
    let mut played = 0;
    while let Some(candidate) = shrink.candidate() {
        shrink.record_result(candidate, false);
        played += 1;
    }
    assert_eq!(played, 5);
}
