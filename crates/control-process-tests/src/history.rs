//! The updates and answers of several operators during faults, and the check of their consistency.
//!
//! Times are those of the operators' machine; a call has a time at which it began and one at which its answer
//! was read. The check follows Herlihy and Wing, "Linearizability" (1990), for a register whose value only
//! increases.

use crate::operator::ReplaceAnswer;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A text, identified by its revision and its variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub revision: u64,
    pub variant: u32,
}

/// An update and its answer.
#[derive(Debug, Clone)]
pub struct Submission {
    pub began: Duration,
    pub ended: Duration,
    pub version: Version,
    pub answer: ReplaceAnswer,
}

/// A text shown by a controller.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    pub began: Duration,
    pub ended: Duration,
    pub version: Version,
}

/// The kind of a [`Violation`], without its versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    TwoConfirmed,
    TwoShown,
    ShownNotConfirmed,
    StaleShown,
    StaleConfirmed,
    ConflictInForce,
    Rejected,
}

/// An inconsistency in a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two texts were confirmed under one revision.
    TwoConfirmed(Version, Version),
    /// Two texts were shown under one revision.
    TwoShown(Version, Version),
    /// One text was confirmed, and another one shown under its revision.
    ShownNotConfirmed { confirmed: Version, shown: Version },
    /// A call that began later was shown an older version.
    StaleShown { known: Version, later: Version },
    /// A version was confirmed after a higher one was in force.
    StaleConfirmed { known: Version, later: Version },
    /// A version was in force, and also answered as in conflict with the text in force.
    ConflictInForce(Version),
    /// A valid update was rejected.
    Rejected(Version, ReplaceAnswer),
}

impl Violation {
    pub fn kind(&self) -> ViolationKind {
        match self {
            Violation::TwoConfirmed(..) => ViolationKind::TwoConfirmed,
            Violation::TwoShown(..) => ViolationKind::TwoShown,
            Violation::ShownNotConfirmed { .. } => ViolationKind::ShownNotConfirmed,
            Violation::StaleShown { .. } => ViolationKind::StaleShown,
            Violation::StaleConfirmed { .. } => ViolationKind::StaleConfirmed,
            Violation::ConflictInForce(_) => ViolationKind::ConflictInForce,
            Violation::Rejected(..) => ViolationKind::Rejected,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TwoConfirmed(one, other) => write!(f, "both confirmed: {one:?}, {other:?}"),
            Violation::TwoShown(one, other) => write!(f, "both shown: {one:?}, {other:?}"),
            Violation::ShownNotConfirmed { confirmed, shown } => {
                write!(f, "{shown:?} shown, {confirmed:?} confirmed")
            }
            Violation::StaleShown { known, later } => write!(f, "{later:?} shown after {known:?}"),
            Violation::StaleConfirmed { known, later } => {
                write!(f, "{later:?} confirmed after {known:?} was in force")
            }
            Violation::ConflictInForce(version) => write!(f, "{version:?} in conflict, and in force"),
            Violation::Rejected(version, answer) => write!(f, "{version:?} rejected: {answer:?}"),
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct History {
    pub submissions: Vec<Submission>,
    pub observations: Vec<Observation>,
}

impl History {
    /// All violations, in no particular order.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = self.conflicting_texts();
        violations.extend(self.stale_versions());
        violations.extend(self.rejected());
        violations
    }

    /// Versions reported as in force, with the times of the calls that reported them.
    fn reported(&self) -> Vec<Observation> {
        let confirmed =
            self.submissions.iter().filter(|submission| submission.answer == ReplaceAnswer::Confirmed);
        let confirmed = confirmed.map(|submission| Observation {
            began: submission.began,
            ended: submission.ended,
            version: submission.version,
        });
        confirmed.chain(self.observations.iter().copied()).collect()
    }

    fn confirmed(&self) -> impl Iterator<Item = &Submission> {
        self.submissions.iter().filter(|submission| submission.answer == ReplaceAnswer::Confirmed)
    }

    fn conflicting_texts(&self) -> Vec<Violation> {
        let confirmed = VersionsOfRevision::new(self.confirmed().map(|submission| submission.version));
        let shown = VersionsOfRevision::new(self.observations.iter().map(|observation| observation.version));
        let mut violations = Vec::new();
        violations.extend(confirmed.pairs().map(|(one, other)| Violation::TwoConfirmed(one, other)));
        violations.extend(shown.pairs().map(|(one, other)| Violation::TwoShown(one, other)));
        for (revision, confirmed) in &confirmed.0 {
            for &shown in shown.0.get(revision).into_iter().flatten() {
                if !confirmed.contains(&shown) {
                    violations.push(Violation::ShownNotConfirmed { confirmed: confirmed[0], shown });
                }
            }
        }
        let conflicts =
            |submission: &&Submission| matches!(submission.answer, ReplaceAnswer::Conflict { .. });
        for Submission { version, .. } in self.submissions.iter().filter(conflicts) {
            if confirmed.has(version) || shown.has(version) {
                violations.push(Violation::ConflictInForce(*version));
            }
        }
        violations
    }

    /// A call that began after another one's answer must not report an older version.
    fn stale_versions(&self) -> Vec<Violation> {
        let mut reported = self.reported();
        reported.sort_by_key(|call| call.ended);
        let before = |began: Duration| {
            let earlier = reported.iter().take_while(|call| call.ended < began);
            earlier.map(|call| call.version).max_by_key(|version| version.revision)
        };
        let mut violations = Vec::new();
        for observation in &self.observations {
            if let Some(known) =
                before(observation.began).filter(|known| known.revision > observation.version.revision)
            {
                violations.push(Violation::StaleShown { known, later: observation.version });
            }
        }
        for submission in self.confirmed() {
            let later = submission.version;
            if let Some(known) = before(submission.began).filter(|known| known.revision > later.revision) {
                violations.push(Violation::StaleConfirmed { known, later });
            }
        }
        violations
    }

    fn rejected(&self) -> Vec<Violation> {
        let rejected = |answer: &ReplaceAnswer| {
            matches!(answer, ReplaceAnswer::Invalid(_) | ReplaceAnswer::Unexpected(..))
        };
        let rejected = self.submissions.iter().filter(|submission| rejected(&submission.answer));
        rejected
            .map(|submission| Violation::Rejected(submission.version, submission.answer.clone()))
            .collect()
    }
}

/// The distinct versions of each revision, in order of appearance.
struct VersionsOfRevision(BTreeMap<u64, Vec<Version>>);

impl VersionsOfRevision {
    fn new(versions: impl Iterator<Item = Version>) -> VersionsOfRevision {
        let mut all: BTreeMap<u64, Vec<Version>> = BTreeMap::new();
        for version in versions {
            let known = all.entry(version.revision).or_default();
            if !known.contains(&version) {
                known.push(version);
            }
        }
        VersionsOfRevision(all)
    }

    fn has(&self, version: &Version) -> bool {
        self.0.get(&version.revision).is_some_and(|known| known.contains(version))
    }

    /// Pairs of the first version of a revision with each other one.
    fn pairs(&self) -> impl Iterator<Item = (Version, Version)> + '_ {
        self.0.values().flat_map(|known| known.iter().skip(1).map(|other| (known[0], *other)))
    }
}
