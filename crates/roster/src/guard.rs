//! Whether a new reading of the inventory's files is let through: one that would take out many workers may be a file
//! that was cut, or a folder half copied, and is held back until it is confirmed.

use std::time::Duration;

/// A reading, against the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Names what the whole reading says; readings that say the same have the same.
    pub digest: u64,
    /// Workers that are given tasks by the list in force, and how many of them would not be any more.
    pub ready: usize,
    pub taken_out: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Put it in force.
    Take,
    /// Keep the one in force; the first time that this reading is held back, and what would let it through by itself.
    Hold { first: bool, until: Duration },
}

pub struct Guard {
    /// A reading that takes out more than this share is held back.
    share: f64,
    /// It is let through once it was the newest for so long.
    confirm_after: Duration,
    held: Option<(u64, Duration)>,
}

impl Guard {
    pub fn new(share: f64, confirm_after: Duration) -> Self {
        Guard { share, confirm_after, held: None }
    }

    /// A whole reading; the same may be offered again and again.
    pub fn offered(&mut self, now: Duration, reading: Reading, accepted: Option<u64>) -> Verdict {
        // One worker may always go: of a fleet of three it is a third.
        let most = ((reading.ready as f64 * self.share) as usize).max(1);
        if reading.taken_out <= most || accepted == Some(reading.digest) {
            self.held = None;
            return Verdict::Take;
        }
        let (first, since) = match self.held {
            Some((digest, since)) if digest == reading.digest => (false, since),
            _ => (true, now),
        };
        self.held = Some((reading.digest, since));
        let until = since + self.confirm_after;
        if !first && now >= until {
            self.held = None;
            return Verdict::Take;
        }
        Verdict::Hold { first, until }
    }

    /// No reading can be had, or it will not do: what was held back was not the last word.
    pub fn nothing(&mut self) {
        self.held = None;
    }
}
