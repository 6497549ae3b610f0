//! Every scenario, with two seeds each; and every planted defect, which the judge must find.

use rstest::rstest;
use std::path::PathBuf;
use tindock_rehearsal::play;

#[rstest]
fn holds(#[files("scenarios/*.txt")] path: PathBuf, #[values(1, 2)] seed: u64) {
    let text = std::fs::read_to_string(&path).unwrap();
    let report = play(&text, seed, None).unwrap();
    assert!(report.holds(), "{report}");
}
