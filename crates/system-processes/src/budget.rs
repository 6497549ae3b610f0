//! The retry budget that all proxies share without communication: each applies the ratio to its own requests
//! alone, and takes an equal part of the slack among the proxies that it knows and one more. No I/O.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tindock_slot_allocation::function_id::FunctionId;

/// The window is counted in so many parts. A part that is only partly in the window counts fully for retries
/// and not at all for requests, so that the limit holds for every span of the window's length.
const PARTS_PER_WINDOW: u32 = 10;

#[derive(Default)]
struct Window {
    /// Number of the part, requests and retries in it.
    parts: VecDeque<(u64, u32, u32)>,
}

pub struct Budget {
    ratio: f64,
    slack: f64,
    part: Duration,
    windows: HashMap<FunctionId, Window>,
}

impl Budget {
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        let part = (window / PARTS_PER_WINDOW).max(Duration::from_millis(10));
        Budget { ratio: ratio.max(0.0), slack: slack.max(0.0), part, windows: HashMap::new() }
    }

    fn part_at(&mut self, now: Duration, function_id: FunctionId) -> &mut (u64, u32, u32) {
        let number = (now.as_millis() / self.part.as_millis().max(1)) as u64;
        let window = self.windows.entry(function_id).or_default();
        while window.parts.front().is_some_and(|(n, ..)| *n + u64::from(PARTS_PER_WINDOW) < number) {
            window.parts.pop_front();
        }
        if window.parts.back().is_none_or(|(n, ..)| *n != number) {
            window.parts.push_back((number, 0, 0));
        }
        let last = window.parts.len() - 1;
        &mut window.parts[last]
    }

    /// Counts a client's request for this function.
    pub fn record_request(&mut self, now: Duration, function_id: FunctionId) {
        self.part_at(now, function_id).1 += 1;
    }

    /// Whether a retry is allowed, and counts it if so. `proxies` are known to share the slack.
    pub fn try_retry(&mut self, now: Duration, function_id: FunctionId, proxies: usize) -> bool {
        let (ratio, slack) = (self.ratio, self.slack / (proxies as f64 + 1.0));
        let number = self.part_at(now, function_id).0;
        let Some(window) = self.windows.get_mut(&function_id) else { return false };
        let within = window.parts.iter().filter(|(n, ..)| *n + u64::from(PARTS_PER_WINDOW) > number);
        let requests: u32 = within.map(|(_, requests, _)| requests).sum();
        let retries: u32 = window.parts.iter().map(|(.., retries)| retries).sum();
        let allowed = f64::from(retries) + 1.0 <= ratio * f64::from(requests) + slack;
        if let (true, Some(last)) = (allowed, window.parts.back_mut()) {
            last.2 += 1;
        }
        allowed
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_in_any_window_stay_within_ratio_and_share() {
        let mut budget = Budget::new(0.2, 56.0, Duration::from_secs(10));
        let mut rng = oorandom::Rand32::new(5);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for ms in (0..60_000_u64).step_by(5) {
            let now = Duration::from_millis(ms);
            if rng.rand_range(0..4) == 0 {
                budget.record_request(now, FunctionId::of("dock"));
                requests.push(ms);
            }
            if budget.try_retry(now, FunctionId::of("dock"), 7) {
                retries.push(ms);
            }
        }
        assert!(retries.len() > 500, "{}", retries.len());
        for begin in (0..50_000).step_by(100) {
            let inside =
                |all: &[u64]| all.iter().filter(|ms| (begin..begin + 10_000).contains(*ms)).count() as f64;
            let most = 0.2 * inside(&requests) + 56.0 / 8.0;
            assert!(inside(&retries) <= most, "at {begin}: {} of {most}", inside(&retries));
        }
    }
}
