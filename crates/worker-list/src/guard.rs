//! Decides whether a new state of the inventory files is accepted. One that would remove many workers may be
//! a truncated file or a partly copied folder, and is held back until confirmed.

use std::time::Duration;

/// A state of the inventory files, compared with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Identifies the contents; equal contents have equal digests.
    pub digest: u64,
    /// Workers that receive tasks under the list in force, and how many of them no longer would.
    pub ready: usize,
    pub removed: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Put it in force.
    Accept,
    /// Keep the one in force. `first` is set when this snapshot is held back for the first time; it is
    /// accepted without confirmation at `until`.
    Hold { first: bool, until: Duration },
}

pub struct Guard {
    /// A snapshot that removes more than this share is held back.
    max_removed_share: f64,
    /// It is accepted once it has been the newest for this long.
    confirm_after: Duration,
    held: Option<(u64, Duration)>,
}

impl Guard {
    pub fn new(max_removed_share: f64, confirm_after: Duration) -> Self {
        Guard { max_removed_share, confirm_after, held: None }
    }

    /// Checks a complete snapshot; the same one may be checked repeatedly.
    pub fn check(&mut self, now: Duration, snapshot: Snapshot, accepted: Option<u64>) -> Verdict {
        // One worker may always be removed: of a fleet of three it is a third.
        let max_removed = ((snapshot.ready as f64 * self.max_removed_share) as usize).max(1);
        if snapshot.removed <= max_removed || accepted == Some(snapshot.digest) {
            self.held = None;
            return Verdict::Accept;
        }
        let (first, since) = match self.held {
            Some((digest, since)) if digest == snapshot.digest => (false, since),
            _ => (true, now),
        };
        self.held = Some((snapshot.digest, since));
        let until = since + self.confirm_after;
        if !first && now >= until {
            self.held = None;
            return Verdict::Accept;
        }
        Verdict::Hold { first, until }
    }

    /// The files cannot be read or are invalid, so the snapshot held back was not final.
    pub fn reset(&mut self) {
        self.held = None;
    }
}
