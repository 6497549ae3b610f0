//! The least that still breaks: leaves out parts of a scenario's actions for as long as it breaks without them.

use crate::scenario::{Action, Scenario};

/// Looks for a smaller scenario by leaving out halves, then quarters, and so on. No I/O: whoever plays the scenarios hands
/// in whether each broke.
pub struct Shrink {
    least: Scenario,
    /// How many parts the actions are divided into, and which of them is left out next.
    parts: usize,
    next: usize,
    left: usize,
    /// Every single action was left out in vain.
    exhausted: bool,
}

impl Shrink {
    /// From a scenario that breaks; at most so many further ones are played.
    pub fn new(breaks: Scenario, most: usize) -> Shrink {
        Shrink { least: breaks, parts: 2, next: 0, left: most, exhausted: false }
    }

    /// The smallest one that is known to break.
    pub fn least(&self) -> &Scenario {
        &self.least
    }

    /// A smaller one to be played; none when there is nothing more to leave out.
    pub fn candidate(&self) -> Option<Scenario> {
        if self.left == 0 || self.exhausted || self.least.actions.is_empty() {
            return None;
        }
        let (from, to) = self.part();
        let kept = |at: &usize| !(from..to).contains(at);
        let actions: Vec<Action> =
            (0..self.least.actions.len()).filter(kept).map(|at| self.least.actions[at].clone()).collect();
        Some(Scenario { actions, ..self.least.clone() })
    }

    fn part(&self) -> (usize, usize) {
        let count = self.least.actions.len();
        (count * self.next / self.parts, count * (self.next + 1) / self.parts)
    }

    /// Whether the candidate broke too.
    pub fn played(&mut self, candidate: Scenario, broke: bool) {
        self.left = self.left.saturating_sub(1);
        if broke {
            self.least = candidate;
            self.parts = (self.parts - 1).max(2).min(self.least.actions.len().max(1));
            self.next = 0;
            return;
        }
        self.next += 1;
        if self.next < self.parts {
            return;
        }
        self.next = 0;
        let count = self.least.actions.len();
        self.exhausted = self.parts >= count;
        self.parts = (self.parts * 2).min(count);
    }
}
