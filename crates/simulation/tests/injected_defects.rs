//! The checker must find each injected defect by the rule that the defect breaks, and must not report the
//! rule for the same seed without the defect.

use rstest::rstest;
use tindock_simulation::{play, InjectedDefect, Rule};

const SETUP: &str = "
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
#[case(InjectedDefect::SlotsIgnored, Rule::Limit, "")]
#[case(InjectedDefect::LendersDoubled, Rule::Limit, "at 4 burst all x2 for 6")]
#[case(InjectedDefect::GrantsDoubled, Rule::Twice, "")]
#[case(InjectedDefect::DrainIgnored, Rule::Drain, "at 4 drain host-a-1\nat 4 drain host-b-1")]
#[case(
    InjectedDefect::AckBeforeMajority,
    Rule::Config,
    "at 4 cut core-a-1 rest for 3\nat 5 config touch to core-a-1 wipe 2"
)]
#[case(InjectedDefect::PromiseAfterLoss, Rule::Refused, "at 4 lose answers 0.2 for 4")]
#[case(InjectedDefect::DutyPastTerm, Rule::Fence, "at 4 freeze holder for 4\nat 8 burst all x3 for 4")]
#[case(InjectedDefect::OldWordStays, Rule::Config, "at 4 config move batch dock")]
#[case(
    InjectedDefect::NoTarget,
    Rule::Route,
    "timers reuse 0.1\nplatform addresses 7\nat 4 cut edge-a* core* for 8\n\
     at 4.5 crash host-a-1,host-a-2 for 0.5 silent\nat 5 burst batch x6 for 5"
)]
#[case(InjectedDefect::CutIsWhole, Rule::Mixed, "at 4 spoil cut 0.2 for 4")]
#[case(InjectedDefect::SurplusHandedOn, Rule::Mixed, "at 4 spoil surplus 0.2 for 4")]
#[case(InjectedDefect::SealIgnored, Rule::Mixed, "at 4 spoil unsealed 0.2 for 4")]
#[case(InjectedDefect::PromiseHandedOn, Rule::Refused, "at 4 spoil failed 0.2 for 4")]
#[case(InjectedDefect::LeavesAtOnce, Rule::Lost, "at 4 roll edge-a-1 for 1")]
#[case(
    InjectedDefect::TimeLeftIgnored,
    Rule::Lost,
    "route fare on log once rate 10 aim 5000 deadline 8000 timeout 8000 work 1500 priority 0\n\
     at 4 roll edge* gap 1.3 for 0.3"
)]
#[case(InjectedDefect::HangsUpOnWord, Rule::Lost, "at 4 config touch")]
#[case(InjectedDefect::DisksForgotten, Rule::Lost, "at 4 kill core* for 1")]
#[case(InjectedDefect::DisksForgotten, Rule::Recover, "timers recovery 2\nat 4 kill core*,edge* for 1")]
#[case(InjectedDefect::BodiesDenied, Rule::Denied, "")]
#[case(InjectedDefect::QueryDropped, Rule::Unasked, "")]
#[case(InjectedDefect::BodyUnframed, Rule::Unasked, "")]
#[case(InjectedDefect::BudgetIgnored, Rule::Budget, "at 4 spoil failed 0.8 for 6")]
#[case(InjectedDefect::NewRoutesRefused, Rule::Config, "at 2 config add fresh log rate 10")]
fn an_injected_defect_is_found(#[case] defect: InjectedDefect, #[case] rule: Rule, #[case] happens: &str) {
    let text = format!("{SETUP}{happens}\n");
    let breaks = |seed, defect| {
        let report = play(&text, seed, defect).unwrap();
        report.findings.iter().any(|finding| finding.rule == rule)
    };
    let found = (1..=40).find(|seed| breaks(*seed, Some(defect)));
    let seed = found.unwrap_or_else(|| panic!("{defect:?} was not found by {rule:?}"));
    assert!(!breaks(seed, None), "{rule:?} is broken without {defect:?} too");
}
