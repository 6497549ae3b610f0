//! Injected defects: the harness must detect each by the rule that it breaks, and report nothing without
//! them.

mod harness;

use harness::{simulate, Class, Rule};
use rstest::rstest;
use tindock_slot_allocation::defects::{Defect, INJECTED};

#[rstest]
#[case(Defect::OneTooMany, Class::Quiet, Rule::Slots)]
#[case(Defect::GrantNotRecorded, Class::Tidy, Rule::Slots)]
#[case(Defect::GrantsBeforeHandover, Class::Tidy, Rule::Slots)]
#[case(Defect::HoldsIgnored, Class::Tidy, Rule::Slots)]
#[case(Defect::NoExpiry, Class::Rough, Rule::Term)]
#[case(Defect::NeverChecked, Class::Rough, Rule::Returned)]
#[case(Defect::DeadlineIgnored, Class::Rough, Rule::Answer)]
#[case(Defect::ArrivalOrder, Class::Tidy, Rule::ServiceOrder)]
#[case(Defect::QueueNotServed, Class::Tidy, Rule::Starved)]
#[case(Defect::DrainingGranted, Class::Tidy, Rule::Drain)]
#[case(Defect::LeavingUsed, Class::Tidy, Rule::KnownToLeave)]
#[case(Defect::NumbersReused, Class::Rough, Rule::Once)]
#[case(Defect::LedgerForgotten, Class::Rough, Rule::Bound)]
#[case(Defect::SilenceCountsAsEnd, Class::Planned, Rule::TwoOwners)]
#[case(Defect::HandoverNotAwaited, Class::Planned, Rule::TwoOwners)]
#[case(Defect::NothingHandedOver, Class::Planned, Rule::Slots)]
#[case(Defect::FreedTwice, Class::Quiet, Rule::Slots)]
#[case(Defect::FormerAccepted, Class::Rough, Rule::Incarnation)]
#[case(Defect::CopiesServed, Class::Rough, Rule::Repeated)]
fn injected_defect_breaks_its_rule(#[case] defect: Defect, #[case] class: Class, #[case] rule: Rule) {
    let breaks = |seed| simulate(class, seed).violations.iter().any(|violations| violations.rule == rule);
    INJECTED.set(Some(defect));
    let found = (0..4000).find(|seed| breaks(*seed));
    INJECTED.set(None);
    let seed = found.unwrap_or_else(|| panic!("{defect:?} was not detected by {rule:?}"));
    let first = {
        INJECTED.set(Some(defect));
        let out = simulate(class, seed);
        INJECTED.set(None);
        out.violations.into_iter().find(|violations| violations.rule == rule)
    };
    println!(
        "{defect:?}: {rule:?} in seed {seed}, {}",
        first.map_or_else(String::new, |b| format!("{:?}: {}", b.at, b.what))
    );
    assert!(!breaks(seed), "{rule:?} is broken without {defect:?} too");
}
