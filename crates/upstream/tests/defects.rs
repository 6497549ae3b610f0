//! The model must detect each injected defect by the rule it breaks, and nothing without a defect.

mod model;

use model::{simulate, Rule};
use rstest::rstest;
use tindock_upstream::defects::{Defect, INJECTED};

#[rstest]
#[case(Defect::RepeatedSend, Rule::RanTwice)]
#[case(Defect::RefusalAfterSend, Rule::RanThoughRefused)]
#[case(Defect::WorkersNotCounted, Rule::TooManyWorkers)]
#[case(Defect::AttemptIdNotCompared, Rule::WrongAnswer)]
#[case(Defect::RefusalWithoutIdAccepted, Rule::RanTwice)]
#[case(Defect::RefusalWithoutIdAccepted, Rule::RanThoughRefused)]
#[case(Defect::ConnectionReusedForRetry, Rule::RanTwice)]
#[case(Defect::TruncatedTakenAsComplete, Rule::WrongAnswer)]
#[case(Defect::SurplusAfterHeadAccepted, Rule::WrongAnswer)]
fn an_injected_defect_is_detected(#[case] defect: Defect, #[case] rule: Rule) {
    let breaks = |seed| simulate(seed).broken.iter().any(|(broken, _)| *broken == rule);
    INJECTED.set(Some(defect));
    let detected = (0..5000).find(|seed| breaks(*seed));
    INJECTED.set(None);
    let seed = detected.unwrap_or_else(|| panic!("{defect:?} was not detected by {rule:?}"));
    println!("{defect:?}: {rule:?} in seed {seed}");
    assert!(!breaks(seed), "{rule:?} is broken without {defect:?} too");
}
