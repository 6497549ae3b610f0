//! Slot allocation compared with other ways of sharing slots, as documented in docs/design/loans.md.

use rstest::rstest;
use tindock_simulation::{play_sharing, Report, Rule, Sharing};

const RUSH: &str = include_str!("../scenarios/rush.txt");
const FULL: &str = include_str!("../scenarios/burst-full.txt");

/// About one seed in forty has tens of refusals even with slot allocation, when a burst finds no free memory.
/// Three seeds are therefore too few for a mean.
const SEEDS: u64 = 12;

fn run_seeds(text: &str, sharing: Sharing) -> Vec<Report> {
    (1..=SEEDS).map(|seed| play_sharing(text, seed, None, sharing).unwrap()).collect()
}

fn mean(reports: &[Report], what: impl Fn(&Report) -> f64) -> f64 {
    reports.iter().map(what).sum::<f64>() / reports.len() as f64
}

#[rstest]
#[case(RUSH)]
#[case(FULL)]
fn slot_allocation_comes_close_to_the_upper_bound(#[case] text: &str) {
    let (allocation, all) = (run_seeds(text, Sharing::Loans), run_seeds(text, Sharing::AllSeeing));
    let urgent = |report: &Report| report.allocation.urgent;
    assert!(mean(&allocation, urgent) >= mean(&all, urgent) - 0.02);
    assert!(mean(&allocation, |report| report.aim) >= mean(&all, |report| report.aim) - 0.02);
    for report in &allocation {
        assert_eq!((report.allocation.doubled, report.limit.0), (0, 0), "{report}");
    }
}

#[rstest]
#[case(RUSH)]
#[case(FULL)]
fn fixed_shares_refuse_more_requests(#[case] text: &str) {
    let (allocation, fixed) = (run_seeds(text, Sharing::Loans), run_seeds(text, Sharing::Fixed));
    let refusals = |report: &Report| report.allocation.refusals as f64;
    assert!(mean(&fixed, refusals) > 10.0 * mean(&allocation, refusals));
    assert!(mean(&allocation, |report| report.aim) > mean(&fixed, |report| report.aim) + 0.03);
}

#[rstest]
fn proxies_without_slot_allocation_overload_workers() {
    let alone = run_seeds(FULL, Sharing::Alone);
    assert!(alone.iter().all(|report| report.findings.iter().any(|finding| finding.rule == Rule::Limit)));
}
