//! Rebinding under a load peak, compared with runs without moves: moves must free capacity for batch requests
//! without slowing urgent ones.

use rstest::rstest;
use tindock_simulation::{play, Report, Rule};

const SCENARIO: &str = include_str!("../scenarios/repack.txt");

fn run(mode: &str, seed: u64, more: &str) -> Report {
    let text = SCENARIO.replace("rebinding holes", &format!("rebinding {mode}"));
    assert!(text.contains(&format!("\nrebinding {mode}\n")));
    play(&format!("{text}{more}"), seed, None).unwrap()
}

#[rstest]
fn moves_free_capacity_without_slowing_urgent_requests(
    #[values("holes", "all")] mode: &str,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let (off, on) = (run("off", seed, ""), run(mode, seed, ""));
    assert!(on.holds(), "{on}");
    assert!(
        on.allocation.urgent >= off.allocation.urgent - 0.005,
        "{} after {}",
        on.allocation.urgent,
        off.allocation.urgent
    );
    assert!(on.moves >= 2 && off.moves == 0, "{} moves", on.moves);
    assert_eq!(on.allocation.doubled, 0);
    // Without moves the batch requests find no free capacity.
    assert!(off.findings.iter().all(|f| f.rule == Rule::Served) && off.findings.len() == 1, "{off}");
}

#[rstest]
fn moves_continue_after_the_lease_holder_is_killed(
    #[values(12.13, 12.63, 14.63, 16.13)] at: f64,
    #[values(2, 3)] seed: u64,
) {
    let report = run("holes", seed, &format!("at {at} kill holder for 6\n"));
    assert!(report.holds(), "{report}");
    assert!(report.moves >= 2);
}

#[rstest]
#[case("off", 0)]
#[case("plan", 0)]
fn nothing_moves_when_rebinding_only_plans_or_is_off(#[case] mode: &str, #[case] moves: usize) {
    let (off, on) = (run("off", 5, ""), run(mode, 5, ""));
    assert_eq!((on.moves, on.starts, on.events), (moves, off.starts, off.events));
}
