//! What the checker of histories finds, and what it leaves alone.

use std::time::Duration;
use tindock_control_process_tests::history::{History, Observation, Submission, Version, Violation};
use tindock_control_process_tests::operator::ReplaceAnswer;

const A: Version = Version { revision: 2, variant: 1 };
const OTHER_A: Version = Version { revision: 2, variant: 2 };
const B: Version = Version { revision: 3, variant: 1 };

fn ordered(began: u64, version: Version, answer: ReplaceAnswer) -> Submission {
    let [began, ended] = [began, began + 5].map(Duration::from_millis);
    Submission { began, ended, version, answer }
}

fn seen(began: u64, version: Version) -> Observation {
    let [began, ended] = [began, began + 5].map(Duration::from_millis);
    Observation { began, ended, version }
}

fn violations(orders: &[Submission], seen: &[Observation]) -> Vec<Violation> {
    History { submissions: orders.to_vec(), observations: seen.to_vec() }.violations()
}

#[test]
fn a_history_that_moves_up_is_left_alone() {
    let overtaken = ReplaceAnswer::Superseded { revision: Some(3) };
    let conflict = ReplaceAnswer::Conflict { revision: Some(2) };
    let unclear = ReplaceAnswer::Unclear { retry_after: None };
    let orders = [
        ordered(0, A, ReplaceAnswer::Unanswered),
        ordered(10, A, ReplaceAnswer::Confirmed),
        ordered(10, OTHER_A, conflict),
        ordered(20, B, unclear),
        ordered(30, A, overtaken),
    ];
    // The last two overlap: either order of the two is possible.
    let shown = [seen(16, A), seen(40, B), seen(42, A)];
    assert_eq!(violations(&orders, &shown), []);
}

#[test]
fn two_confirmed_or_shown_texts_under_one_revision_are_found() {
    let orders = [ordered(0, A, ReplaceAnswer::Confirmed), ordered(1, OTHER_A, ReplaceAnswer::Confirmed)];
    assert_eq!(violations(&orders, &[]), [Violation::TwoConfirmed(A, OTHER_A)]);
    let another = Violation::ShownNotConfirmed { confirmed: A, shown: OTHER_A };
    assert_eq!(violations(&orders[..1], &[seen(9, OTHER_A)]), [another]);
    assert_eq!(violations(&[], &[seen(0, A), seen(1, OTHER_A)]), [Violation::TwoShown(A, OTHER_A)]);
}

#[test]
fn a_text_that_is_shown_or_confirmed_after_a_higher_one_is_found() {
    let later = [seen(0, B), seen(9, A)];
    assert_eq!(violations(&[], &later), [Violation::StaleShown { known: B, later: A }]);
    let orders = [ordered(0, B, ReplaceAnswer::Confirmed), ordered(9, A, ReplaceAnswer::Confirmed)];
    assert_eq!(violations(&orders, &[]), [Violation::StaleConfirmed { known: B, later: A }]);
}

#[test]
fn a_conflict_with_itself_and_a_refusal_are_found() {
    let conflict = ReplaceAnswer::Conflict { revision: Some(2) };
    let orders = [ordered(0, A, ReplaceAnswer::Confirmed), ordered(9, A, conflict)];
    assert_eq!(violations(&orders, &[]), [Violation::ConflictInForce(A)]);
    let refused = ReplaceAnswer::Invalid("no".into());
    assert_eq!(violations(&[ordered(0, A, refused.clone())], &[]), [Violation::Rejected(A, refused)]);
}
