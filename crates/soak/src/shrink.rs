//! Minimizes a failing scenario (delta debugging): removes parts of its actions as long as it still fails
//! without them.

use crate::scenario::{Action, Scenario};

/// Searches for a smaller scenario by removing halves, then quarters, and so on. Does no I/O: the caller
/// plays the candidates and reports whether each failed.
pub struct Shrink {
    smallest: Scenario,
    /// The number of parts that the actions are divided into, and the part that is removed next.
    parts: usize,
    next_part: usize,
    /// Scenarios that may still be played.
    remaining: usize,
    /// The scenario passes without any single one of its actions.
    exhausted: bool,
}

impl Shrink {
    /// Starts from a failing scenario; at most `max` further ones are played.
    pub fn new(failing: Scenario, max: usize) -> Shrink {
        Shrink { smallest: failing, parts: 2, next_part: 0, remaining: max, exhausted: false }
    }

    /// The smallest scenario that is known to fail.
    pub fn smallest(&self) -> &Scenario {
        &self.smallest
    }

    /// A smaller scenario to be played; None when the search has ended.
    pub fn candidate(&self) -> Option<Scenario> {
        if self.remaining == 0 || self.exhausted || self.smallest.actions.is_empty() {
            return None;
        }
        let (from, to) = self.part();
        let is_kept = |at: &usize| !(from..to).contains(at);
        let actions: Vec<Action> = (0..self.smallest.actions.len())
            .filter(is_kept)
            .map(|at| self.smallest.actions[at].clone())
            .collect();
        Some(Scenario { actions, ..self.smallest.clone() })
    }

    /// The range of actions that is removed next.
    fn part(&self) -> (usize, usize) {
        let count = self.smallest.actions.len();
        (count * self.next_part / self.parts, count * (self.next_part + 1) / self.parts)
    }

    /// Records whether the candidate failed.
    pub fn record_result(&mut self, candidate: Scenario, failed: bool) {
        self.remaining = self.remaining.saturating_sub(1);
        if failed {
            self.smallest = candidate;
            self.parts = (self.parts - 1).max(2).min(self.smallest.actions.len().max(1));
            self.next_part = 0;
            return;
        }
        self.next_part += 1;
        if self.next_part < self.parts {
            return;
        }
        self.next_part = 0;
        let count = self.smallest.actions.len();
        self.exhausted = self.parts >= count;
        self.parts = (self.parts * 2).min(count);
    }
}
