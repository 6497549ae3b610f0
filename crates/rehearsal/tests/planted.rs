//! Defects put into the runner on purpose: the judge must find each by the rule it breaks.

use rstest::rstest;
use tindock_rehearsal::{play, Planted, Rule};

const PLACE: &str = "
    zones a:west b:west
    edge a 2
    edge b 2
    core a 1
    core b 2
    hosts a 2 memory 4096
    hosts b 2 memory 4096
    service dock slots 2 memory 512 boot 900
    service log slots 2 memory 192 boot 300
    route check on dock rate 60 aim 400 work 80
    route book on dock once rate 30 aim 600 work 120 priority 1
    route batch on log rate 20 aim 1500 deadline 8000 work 80
    length 14
";

#[rstest]
#[case(Planted::SlotsIgnored, Rule::Limit, "")]
#[case(Planted::LendersDoubled, Rule::Limit, "at 4 burst all x2 for 6")]
#[case(Planted::GrantsDoubled, Rule::Twice, "")]
#[case(Planted::DrainIgnored, Rule::Drain, "at 4 drain host-a-1\nat 4 drain host-b-1")]
#[case(
    Planted::AckBeforeMajority,
    Rule::Config,
    "at 4 cut core-a-1 rest for 3\nat 5 config touch to core-a-1 wipe 2"
)]
#[case(Planted::PromiseAfterLoss, Rule::Refused, "at 4 lose answers 0.2 for 4")]
#[case(Planted::DutyPastTerm, Rule::Fence, "at 4 freeze holder for 4\nat 8 burst all x3 for 4")]
#[case(Planted::OldWordStays, Rule::Config, "at 4 config move batch dock")]
#[case(
    Planted::NoTarget,
    Rule::Route,
    "timers reuse 0.1\nplatform addresses 7\nat 4 cut edge-a* core* for 8\nat 4.5 crash host-a-1,host-a-2 for 0.5 silent\nat 5 burst batch x6 for 5"
)]
#[case(Planted::CutIsWhole, Rule::Mixed, "at 4 spoil cut 0.2 for 4")]
#[case(Planted::SurplusHandedOn, Rule::Mixed, "at 4 spoil surplus 0.2 for 4")]
#[case(Planted::SealIgnored, Rule::Mixed, "at 4 spoil unsealed 0.2 for 4")]
#[case(Planted::PromiseHandedOn, Rule::Refused, "at 4 spoil failed 0.2 for 4")]
#[case(Planted::LeavesAtOnce, Rule::Lost, "at 4 roll edge-a-1 for 1")]
#[case(
    Planted::TimeLeftIgnored,
    Rule::Lost,
    "route fare on log once rate 10 aim 5000 deadline 8000 timeout 8000 work 1500 priority 0\nat 4 roll edge* gap 1.3 for 0.3"
)]
#[case(Planted::HangsUpOnWord, Rule::Lost, "at 4 config touch")]
#[case(Planted::DisksForgotten, Rule::Lost, "at 4 kill core* for 1")]
#[case(Planted::DisksForgotten, Rule::Recover, "timers recovery 2\nat 4 kill core*,edge* for 1")]
#[case(Planted::BodiesDenied, Rule::Denied, "")]
#[case(Planted::QueryDropped, Rule::Unasked, "")]
#[case(Planted::BodyUnframed, Rule::Unasked, "")]
#[case(Planted::BudgetIgnored, Rule::Budget, "at 4 spoil failed 0.8 for 6")]
#[case(Planted::NewRoutesRefused, Rule::Config, "at 2 config add fresh log rate 10")]
fn is_found(#[case] planted: Planted, #[case] rule: Rule, #[case] happens: &str) {
    let text = format!("{PLACE}{happens}\n");
    let breaks = |seed, planted| {
        let report = play(&text, seed, planted).unwrap();
        report.findings.iter().any(|finding| finding.rule == rule)
    };
    let found = (1..=40).find(|seed| breaks(*seed, Some(planted)));
    let seed = found.unwrap_or_else(|| panic!("{planted:?} was not found by {rule:?}"));
    assert!(!breaks(seed, None), "{rule:?} is broken without {planted:?} too");
}
