//! The proposer of the register: one round of one ballot. No time, no I/O.
//!
//! A round collects promises from a majority, decides based on the versions they have accepted, and proposes:
//! a request with a higher revision, or again the version that may have been chosen. The text of a chosen
//! revision never changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::configuration::{Ballot, Version};
use crate::defects::{injected, Defect};

/// What a member reported with its promise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Promise {
    pub accepted: Version,
    /// The version it knows to be chosen.
    pub chosen: Version,
}

/// An operator's request to replace the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReplaceRequest {
    pub revision: u64,
    pub digest: u64,
}

impl ReplaceRequest {
    /// Whether the revision is higher; another text under the same revision does not qualify.
    fn is_above(&self, accepted: &Version) -> bool {
        if injected(Defect::OrdersByDigest) {
            return (self.revision, self.digest) > (accepted.revision, accepted.digest);
        }
        self.revision > accepted.revision
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Propose the request at this index.
    Propose(usize),
    /// This version may have been chosen: propose it again.
    Complete(Version),
    /// This version is already chosen, and no request is above it.
    Settled(Version),
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Verdict {
    Acknowledged,
    Superseded,
    Conflict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Round {
    pub ballot: Ballot,
    promises: BTreeMap<SocketAddr, Promise>,
    /// Set once decided.
    pub proposed: Option<Version>,
}

impl Round {
    pub fn new(ballot: Ballot) -> Round {
        Round { ballot, promises: BTreeMap::new(), proposed: None }
    }

    /// Only the first promise of a member counts: it has the version accepted at the time of the promise.
    pub fn promise(&mut self, from: SocketAddr, promise: Promise) {
        self.promises.entry(from).or_insert(promise);
    }

    pub fn has_promised(&self, at: SocketAddr) -> bool {
        self.promises.contains_key(&at)
    }

    /// A member that promised and had accepted this version, or knew it to be chosen.
    pub fn holder_of(&self, version: Version, excluded: SocketAddr) -> Option<SocketAddr> {
        let has = |promise: &Promise| promise.accepted == version || promise.chosen == version;
        self.promises.iter().find(|(at, promise)| **at != excluded && has(promise)).map(|(at, _)| *at)
    }

    /// To be called once a majority has promised.
    pub fn decide(&self, requests: &[ReplaceRequest]) -> Decision {
        let highest = self.highest();
        let above = |(_, request): &(usize, &ReplaceRequest)| request.is_above(&highest);
        let newest = requests.iter().enumerate().filter(above).max_by(|(left, one), (right, other)| {
            one.revision.cmp(&other.revision).then(right.cmp(left)) // Of equals the first.
        });
        match newest {
            Some((index, _)) => Decision::Propose(index),
            None if self.is_chosen(highest) => Decision::Settled(highest),
            None => Decision::Complete(highest),
        }
    }

    fn highest(&self) -> Version {
        if injected(Defect::IgnoresAcceptedVersions) {
            return Version::NONE;
        }
        let reported = self.promises.values().flat_map(|promise| [promise.accepted, promise.chosen]);
        reported.max().unwrap_or_default()
    }

    fn is_chosen(&self, version: Version) -> bool {
        version == Version::NONE || self.promises.values().any(|promise| promise.chosen == version)
    }
}

/// The outcome of a request once this version is chosen; none if the request may still be chosen.
pub(crate) fn verdict(chosen: Version, request: ReplaceRequest) -> Option<Verdict> {
    if chosen.revision < request.revision {
        None
    } else if chosen.revision > request.revision {
        Some(Verdict::Superseded)
    } else if chosen.digest == request.digest {
        Some(Verdict::Acknowledged)
    } else {
        Some(Verdict::Conflict)
    }
}
