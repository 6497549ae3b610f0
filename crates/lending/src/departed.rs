//! Instances that were told to have ended. The platform may go on serving on one for a while, and a lender that was cut
//! off may still hand it out: nothing is sent there on its word.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// A lender that is cut off for longer has lost its place among the members long before.
const REMEMBERED: Duration = Duration::from_secs(60);
const MAX_INSTANCES: usize = 16_384;

/// The instances that ended lately.
#[derive(Default)]
pub struct Departed {
    ended: HashMap<String, Duration>,
    by_age: VecDeque<(Duration, String)>,
}

impl Departed {
    pub fn note(&mut self, now: Duration, instance: &str) {
        self.forget_old(now);
        if self.ended.insert(instance.to_string(), now).is_none() {
            self.by_age.push_back((now, instance.to_string()));
        }
    }

    /// It is listed again: its end was a mistake.
    pub fn is_back(&mut self, instance: &str) {
        self.ended.remove(instance);
    }

    pub fn contains(&self, instance: &str) -> bool {
        self.ended.contains_key(instance)
    }

    fn forget_old(&mut self, now: Duration) {
        let full = self.by_age.len() >= MAX_INSTANCES;
        while let Some((noted, _)) = self.by_age.front() {
            if *noted + REMEMBERED >= now && !full {
                return;
            }
            if let Some((_, instance)) = self.by_age.pop_front() {
                self.ended.remove(&instance);
            }
            if full {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_ended_are_remembered_for_a_while_and_in_bounds() {
        let mut departed = Departed::default();
        departed.note(Duration::ZERO, "first");
        assert!(departed.contains("first") && !departed.contains("second"));
        departed.note(REMEMBERED + Duration::from_secs(1), "second");
        assert!(!departed.contains("first") && departed.contains("second"));
        departed.is_back("second");
        assert!(!departed.contains("second"));
        for n in 0..2 * MAX_INSTANCES {
            departed.note(REMEMBERED * 2, &n.to_string());
        }
        assert!(departed.by_age.len() <= MAX_INSTANCES && departed.ended.len() <= MAX_INSTANCES);
    }
}
