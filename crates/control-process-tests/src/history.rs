//! What several operators sent and were told while things went wrong, and what must hold of it.
//!
//! Times are those of the operators' machine; a call has an instant at which it began and one at which its answer was
//! read. Source of the idea: Herlihy and Wing, "Linearizability" (1990), for a register that only moves up.

use crate::operator::ReplaceAnswer;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A text by its revision and its variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub revision: u64,
    pub variant: u32,
}

/// An order and its answer.
#[derive(Debug, Clone)]
pub struct Submission {
    pub began: Duration,
    pub ended: Duration,
    pub version: Version,
    pub answer: ReplaceAnswer,
}

/// A text that was shown.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    pub began: Duration,
    pub ended: Duration,
    pub version: Version,
}

/// What a [`Violation`] is, without its versions.
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

/// Something that must not have happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two texts were confirmed under one revision.
    TwoConfirmed(Version, Version),
    /// Two texts were shown under one revision.
    TwoShown(Version, Version),
    /// One text was confirmed, another one shown under its revision.
    ShownNotConfirmed { confirmed: Version, shown: Version },
    /// What an operator was told of this version's end by one call was not so at a later one.
    StaleShown { known: Version, later: Version },
    /// Confirmed as in force after a higher one was.
    StaleConfirmed { known: Version, later: Version },
    /// In conflict with a text in force, and in force itself.
    ConflictInForce(Version),
    /// A valid order was refused.
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
            Violation::Rejected(version, answer) => write!(f, "{version:?} refused: {answer:?}"),
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct History {
    pub submissions: Vec<Submission>,
    pub observations: Vec<Observation>,
}

impl History {
    /// Everything that must not have happened, in no particular order.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = self.two_texts();
        violations.extend(self.went_back());
        violations.extend(self.refused());
        violations
    }

    /// Versions that were stated to be in force, with the times of the calls that said so.
    fn stated(&self) -> Vec<Observation> {
        let confirmed = self.submissions.iter().filter(|order| order.answer == ReplaceAnswer::Confirmed);
        let confirmed = confirmed.map(|order| Observation {
            began: order.began,
            ended: order.ended,
            version: order.version,
        });
        confirmed.chain(self.observations.iter().copied()).collect()
    }

    fn confirmed(&self) -> impl Iterator<Item = &Submission> {
        self.submissions.iter().filter(|order| order.answer == ReplaceAnswer::Confirmed)
    }

    fn two_texts(&self) -> Vec<Violation> {
        let confirmed = VersionsOfRevision::new(self.confirmed().map(|order| order.version));
        let shown = VersionsOfRevision::new(self.observations.iter().map(|seen| seen.version));
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
        let conflicts = |order: &&Submission| matches!(order.answer, ReplaceAnswer::Conflict { .. });
        for Submission { version, .. } in self.submissions.iter().filter(conflicts) {
            if confirmed.has(version) || shown.has(version) {
                violations.push(Violation::ConflictInForce(*version));
            }
        }
        violations
    }

    /// A call that began after another one's answer must not tell of an older version.
    fn went_back(&self) -> Vec<Violation> {
        let mut stated = self.stated();
        stated.sort_by_key(|call| call.ended);
        let before = |began: Duration| {
            let earlier = stated.iter().take_while(|call| call.ended < began);
            earlier.map(|call| call.version).max_by_key(|version| version.revision)
        };
        let mut violations = Vec::new();
        for seen in &self.observations {
            if let Some(known) = before(seen.began).filter(|known| known.revision > seen.version.revision) {
                violations.push(Violation::StaleShown { known, later: seen.version });
            }
        }
        for order in self.confirmed() {
            let later = order.version;
            if let Some(known) = before(order.began).filter(|known| known.revision > later.revision) {
                violations.push(Violation::StaleConfirmed { known, later });
            }
        }
        violations
    }

    fn refused(&self) -> Vec<Violation> {
        let refused = |answer: &ReplaceAnswer| {
            matches!(answer, ReplaceAnswer::Invalid(_) | ReplaceAnswer::Unexpected(..))
        };
        let refused = self.submissions.iter().filter(|order| refused(&order.answer));
        refused.map(|order| Violation::Rejected(order.version, order.answer.clone())).collect()
    }
}

/// The different versions of each revision, in the order in which they came.
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

    /// The first version of a revision with each other one.
    fn pairs(&self) -> impl Iterator<Item = (Version, Version)> + '_ {
        self.0.values().flat_map(|known| known.iter().skip(1).map(|other| (known[0], *other)))
    }
}
