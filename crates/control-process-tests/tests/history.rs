//! The history checker finds each kind of violation and accepts valid histories.

use std::time::Duration;
use tindock_control_process_tests::history::{History, Observation, Submission, Version, Violation};
use tindock_control_process_tests::operator::ReplaceAnswer;

const A: Version = Version { revision: 2, variant: 1 };
const OTHER_A: Version = Version { revision: 2, variant: 2 };
const B: Version = Version { revision: 3, variant: 1 };

fn submission(began: u64, version: Version, answer: ReplaceAnswer) -> Submission {
    let [began, ended] = [began, began + 5].map(Duration::from_millis);
    Submission { began, ended, version, answer }
}

fn observation(began: u64, version: Version) -> Observation {
    let [began, ended] = [began, began + 5].map(Duration::from_millis);
    Observation { began, ended, version }
}

fn violations(submissions: &[Submission], observations: &[Observation]) -> Vec<Violation> {
    History { submissions: submissions.to_vec(), observations: observations.to_vec() }.violations()
}

#[test]
fn a_history_of_increasing_revisions_has_no_violations() {
    let superseded = ReplaceAnswer::Superseded { revision: Some(3) };
    let conflict = ReplaceAnswer::Conflict { revision: Some(2) };
    let unclear = ReplaceAnswer::Unclear { retry_after: None };
    let submissions = [
        submission(0, A, ReplaceAnswer::Unanswered),
        submission(10, A, ReplaceAnswer::Confirmed),
        submission(10, OTHER_A, conflict),
        submission(20, B, unclear),
        submission(30, A, superseded),
    ];
    // The last two calls overlap, so either order of the two is valid.
    let shown = [observation(16, A), observation(40, B), observation(42, A)];
    assert_eq!(violations(&submissions, &shown), []);
}

#[test]
fn two_confirmed_or_shown_texts_under_one_revision_are_found() {
    let submissions =
        [submission(0, A, ReplaceAnswer::Confirmed), submission(1, OTHER_A, ReplaceAnswer::Confirmed)];
    assert_eq!(violations(&submissions, &[]), [Violation::TwoConfirmed(A, OTHER_A)]);
    let another = Violation::ShownNotConfirmed { confirmed: A, shown: OTHER_A };
    assert_eq!(violations(&submissions[..1], &[observation(9, OTHER_A)]), [another]);
    assert_eq!(
        violations(&[], &[observation(0, A), observation(1, OTHER_A)]),
        [Violation::TwoShown(A, OTHER_A)]
    );
}

#[test]
fn a_version_shown_or_confirmed_after_a_higher_one_is_found() {
    let later = [observation(0, B), observation(9, A)];
    assert_eq!(violations(&[], &later), [Violation::StaleShown { known: B, later: A }]);
    let submissions =
        [submission(0, B, ReplaceAnswer::Confirmed), submission(9, A, ReplaceAnswer::Confirmed)];
    assert_eq!(violations(&submissions, &[]), [Violation::StaleConfirmed { known: B, later: A }]);
}

#[test]
fn a_conflict_with_itself_and_a_rejection_are_found() {
    let conflict = ReplaceAnswer::Conflict { revision: Some(2) };
    let submissions = [submission(0, A, ReplaceAnswer::Confirmed), submission(9, A, conflict)];
    assert_eq!(violations(&submissions, &[]), [Violation::ConflictInForce(A)]);
    let rejected = ReplaceAnswer::Invalid("no".into());
    assert_eq!(violations(&[submission(0, A, rejected.clone())], &[]), [Violation::Rejected(A, rejected)]);
}
