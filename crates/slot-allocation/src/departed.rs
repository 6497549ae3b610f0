//! Instances that were reported as ended. The platform may keep one serving for a while, and an owner that
//! was cut off may still grant slots on it: requests are not sent to them whoever grants the slot.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Longer than it takes until an owner that is cut off is no longer a member.
const REMEMBERED: Duration = Duration::from_secs(60);
const MAX_INSTANCES: usize = 16_384;

/// The instances that ended recently.
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

    /// The instance is listed again: the report of its end was wrong.
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
    fn ended_instances_are_remembered_for_a_bounded_time() {
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
