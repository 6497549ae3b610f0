//! A short soak of the whole system with real processes, from a scenario file: the same signals and changes
//! each time.

use std::path::Path;
use std::process::Command;
use tindock_soak::play::play;
use tindock_soak::report::Report;
use tindock_soak::rules::find_violations;
use tindock_soak::scenario::Scenario;

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");

fn scenario_file(name: &str) -> String {
    format!("{}/../soak/scenarios/{name}.toml", env!("CARGO_MANIFEST_DIR"))
}

async fn keeps_all_rules(name: &str) {
    let text = std::fs::read_to_string(scenario_file(name)).expect("a scenario");
    let scenario = Scenario::read(&text).unwrap_or_else(|fault| panic!("{fault}"));
    let record = play(PROGRAM.into(), &scenario).await.unwrap_or_else(|fault| panic!("{fault}"));
    let broken = find_violations(&scenario, &record);
    let outcome = Report { scenario: &scenario, record: &record, violations: &broken };
    assert!(broken.is_empty(), "{}\n{}", outcome.text(), outcome.events());
    // The run was long enough to exercise the rules.
    assert!(record.attempts.len() >= 300, "{}", outcome.text());
    assert!(record.exits.len() >= 4, "{}", outcome.text());
}

#[tokio::test]
async fn overlapping_restarts_under_changes_keep_all_rules() {
    keeps_all_rules("restarts-under-changes").await;
}

#[test]
fn invalid_scenarios_are_rejected_with_one_line() {
    let path = std::env::temp_dir().join(format!("tindock-soak-{}.toml", std::process::id()));
    std::fs::write(&path, "seed = 1\nseconds = 0\n").expect("a file");
    let output = Command::new(PROGRAM).args(["soak", "--scenario"]).arg(&path).output().expect("it runs");
    std::fs::remove_file(&path).expect("the file");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains("missing field"), "{stderr}");
    assert!(!Path::new(&path).exists());
}
