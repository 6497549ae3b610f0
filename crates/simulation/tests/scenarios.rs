//! Every scenario must hold with two seeds.

use rstest::rstest;
use std::path::PathBuf;
use tindock_simulation::play;

#[rstest]
fn every_rule_and_expectation_holds(
    #[files("scenarios/*.txt")]
    #[files("../../examples/fleet.txt")]
    path: PathBuf,
    #[values(1, 2)] seed: u64,
) {
    let text = std::fs::read_to_string(&path).unwrap();
    let report = play(&text, seed, None).unwrap();
    assert!(report.holds(), "{report}");
}
