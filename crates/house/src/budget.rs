//! Further tries within the budget that all schedulers share, without any talk: the ratio is spent on own requests alone,
//! of the slack each takes one part among as many as it knows, and one more. No I/O.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tindock_lending::messages::Kind;

/// The window is kept in so many parts; a part that is only partly in the window counts whole for repeats and not at
/// all for requests, so that every span of the window's length holds.
const PARTS: u32 = 10;

#[derive(Default)]
struct Window {
    parts: VecDeque<(u64, u32, u32)>, // number of the part, requests, repeats
}

pub struct Budget {
    ratio: f64,
    slack: f64,
    part: Duration,
    windows: HashMap<Kind, Window>,
}

impl Budget {
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        let part = (window / PARTS).max(Duration::from_millis(10));
        Budget { ratio: ratio.max(0.0), slack: slack.max(0.0), part, windows: HashMap::new() }
    }

    fn at(&mut self, now: Duration, kind: Kind) -> &mut (u64, u32, u32) {
        let number = (now.as_millis() / self.part.as_millis().max(1)) as u64;
        let window = self.windows.entry(kind).or_default();
        while window.parts.front().is_some_and(|(n, ..)| *n + u64::from(PARTS) < number) {
            window.parts.pop_front();
        }
        if window.parts.back().is_none_or(|(n, ..)| *n != number) {
            window.parts.push_back((number, 0, 0));
        }
        let last = window.parts.len() - 1;
        &mut window.parts[last]
    }

    /// A request of a client for this function.
    pub fn record_request(&mut self, now: Duration, kind: Kind) {
        self.at(now, kind).1 += 1;
    }

    /// Whether a further try may go out, `desks` being those that are known to share the slack; it counts if so.
    pub fn try_retry(&mut self, now: Duration, kind: Kind, desks: usize) -> bool {
        let (ratio, slack) = (self.ratio, self.slack / (desks as f64 + 1.0));
        let number = self.at(now, kind).0;
        let Some(window) = self.windows.get_mut(&kind) else { return false };
        let within = window.parts.iter().filter(|(n, ..)| *n + u64::from(PARTS) > number);
        let requests: u32 = within.map(|(_, requests, _)| requests).sum();
        let repeats: u32 = window.parts.iter().map(|(.., repeats)| repeats).sum();
        let allowed = f64::from(repeats) + 1.0 <= ratio * f64::from(requests) + slack;
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
    fn repeats_in_any_window_stay_within_ratio_and_share() {
        let mut budget = Budget::new(0.2, 56.0, Duration::from_secs(10));
        let mut chance = oorandom::Rand32::new(5);
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for ms in (0..60_000_u64).step_by(5) {
            let now = Duration::from_millis(ms);
            if chance.rand_range(0..4) == 0 {
                budget.record_request(now, 1);
                requests.push(ms);
            }
            if budget.try_retry(now, 1, 7) {
                repeats.push(ms);
            }
        }
        assert!(repeats.len() > 500, "{}", repeats.len());
        for begin in (0..50_000).step_by(100) {
            let inside =
                |all: &[u64]| all.iter().filter(|ms| (begin..begin + 10_000).contains(*ms)).count() as f64;
            let most = 0.2 * inside(&requests) + 56.0 / 8.0;
            assert!(inside(&repeats) <= most, "at {begin}: {} of {most}", inside(&repeats));
        }
    }
}
