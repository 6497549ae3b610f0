//! Health checks of the workers listed in files: each is checked periodically and excluded after several
//! failed checks in a row.
//!
//! States: unknown (not checked yet), up, suspect (some checks failed, still used) and down. There is
//! hysteresis in both directions. Checks are spread by jitter, and their rate is bounded for any fleet size.
//! If more than a configured share is down, no worker is excluded: then the checks themselves or something
//! shared by all workers is in doubt, and sending to a worker that may be dead costs less than sending to
//! none.

use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Checks per second at most, over the whole fleet: 10,000 workers are then checked every 20 s.
pub const MAX_CHECKS_PER_SECOND: u32 = 500;
/// Concurrent checks at most: each takes a file descriptor.
pub const MAX_CONCURRENT_CHECKS: usize = 32;
/// Relative deviation of the interval, so that schedulers that started together do not check together.
const JITTER: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    pub interval: Duration,
    pub down_after: u32,
    pub up_after: u32,
    /// From 0 to 1.
    pub panic_share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Unknown,
    Up,
    Suspect,
    Down,
}

#[derive(Debug)]
struct Target {
    number: u64,
    state: State,
    /// Checks in a row that contradict the state.
    contradictions: u32,
    in_flight: bool,
    excluded: bool,
    /// The exclusion last returned by `next_change`.
    reported_out: bool,
}

pub struct HealthChecker {
    settings: HealthSettings,
    rng: Rand64,
    targets: BTreeMap<String, Target>,
    /// When each worker is due; entries of removed workers are skipped by their number.
    queue: BinaryHeap<Reverse<(Duration, u64, String)>>,
    next_number: u64,
    /// No check before this time.
    not_before: Duration,
    in_flight: usize,
    down: usize,
    /// More than `panic_share` of the workers are down.
    pub panic_mode: bool,
    /// Workers whose exclusion changed.
    changed: Vec<String>,
}

impl HealthChecker {
    pub fn new(settings: HealthSettings, seed: u64) -> Self {
        HealthChecker {
            settings,
            rng: Rand64::new(u128::from(seed)),
            targets: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_number: 0,
            not_before: Duration::ZERO,
            in_flight: 0,
            down: 0,
            panic_mode: false,
            changed: Vec::new(),
        }
    }

    /// Adds a worker, or resets one whose address changed: earlier results are discarded.
    pub fn add(&mut self, now: Duration, name: &str) {
        self.remove(name);
        let number = self.next_number;
        self.next_number += 1;
        let (state, contradictions) = (State::Unknown, 0);
        let (in_flight, excluded, reported_out) = (false, false, false);
        self.targets
            .insert(name.into(), Target { number, state, contradictions, in_flight, excluded, reported_out });
        // Checks of a fleet that is loaded at once are spread out.
        let at = now + self.settings.interval.mul_f64(self.rng.rand_float() * JITTER);
        self.queue.push(Reverse((at, number, name.into())));
        self.update_panic_mode();
    }

    pub fn remove(&mut self, name: &str) {
        if let Some(target) = self.targets.remove(name) {
            self.in_flight -= usize::from(target.in_flight);
            self.down -= usize::from(target.state == State::Down);
            self.update_panic_mode();
        }
    }

    /// The next worker to check now.
    pub fn next_check(&mut self, now: Duration) -> Option<(String, u64)> {
        while now >= self.not_before && self.in_flight < MAX_CONCURRENT_CHECKS {
            if self.queue.peek()?.0 .0 > now {
                return None;
            }
            let Reverse((_, number, name)) = self.queue.pop()?;
            let Some(target) = self.targets.get_mut(&name).filter(|t| t.number == number) else { continue };
            target.in_flight = true;
            self.in_flight += 1;
            self.not_before = self.not_before.max(now) + Duration::from_secs(1) / MAX_CHECKS_PER_SECOND;
            return Some((name, number));
        }
        None
    }

    /// When the next check may be due.
    pub fn next_due(&self) -> Duration {
        match self.queue.peek() {
            Some(Reverse((at, ..))) if self.in_flight < MAX_CONCURRENT_CHECKS => (*at).max(self.not_before),
            _ => Duration::MAX,
        }
    }

    /// The check could not be made, which says nothing about the worker.
    pub fn skip_check(&mut self, now: Duration, name: &str, number: u64) {
        if let Some(target) = self.targets.get_mut(name).filter(|t| t.number == number) {
            self.in_flight -= usize::from(std::mem::take(&mut target.in_flight));
            self.queue.push(Reverse((now + self.settings.interval, number, name.into())));
        }
    }

    /// Records the result of a check.
    pub fn record_check(&mut self, now: Duration, name: &str, number: u64, healthy: bool) {
        let Some(target) = self.targets.get_mut(name).filter(|t| t.number == number) else { return };
        self.in_flight -= usize::from(std::mem::take(&mut target.in_flight));
        let was = target.state;
        let agrees = matches!((was, healthy), (State::Up, true) | (State::Down, false));
        target.contradictions = if agrees { 0 } else { target.contradictions + 1 };
        target.state = match (was, healthy) {
            (State::Unknown, true) | (State::Suspect, true) | (State::Up, true) => State::Up,
            (State::Down, true) if target.contradictions >= self.settings.up_after => State::Up,
            (State::Unknown | State::Up | State::Suspect, false) => {
                if target.contradictions >= self.settings.down_after {
                    State::Down
                } else if was == State::Unknown {
                    State::Unknown
                } else {
                    State::Suspect
                }
            }
            (State::Down, _) => State::Down,
        };
        if target.state != was && !matches!((was, target.state), (State::Up, State::Suspect)) {
            target.contradictions = 0;
        }
        match (was, target.state) {
            (State::Down, State::Up) => self.down -= 1,
            (before, State::Down) if before != State::Down => self.down += 1,
            _ => {}
        }
        let pause = self.settings.interval.mul_f64(1.0 + JITTER * (self.rng.rand_float() - 0.5));
        // Repeats a contradicting check sooner, so that a change of state does not take three full intervals.
        let retry_soon = target.contradictions > 0;
        let at = now + if retry_soon { pause / 4 } else { pause };
        self.queue.push(Reverse((at, number, name.into())));
        self.update_exclusion(name);
        self.update_panic_mode();
    }

    fn update_exclusion(&mut self, name: &str) {
        let panic_mode = self.panic_mode;
        if let Some(target) = self.targets.get_mut(name) {
            let out = match target.state {
                State::Down => target.excluded || !panic_mode,
                _ => false,
            };
            if out != target.excluded {
                target.excluded = out;
                self.changed.push(name.into());
            }
        }
    }

    /// While the share of workers that are down is too high, no worker is excluded; once it has fallen, all
    /// that are down are.
    fn update_panic_mode(&mut self) {
        let share = self.down as f64 / self.targets.len().max(1) as f64;
        let before = std::mem::replace(&mut self.panic_mode, share > self.settings.panic_share);
        if before != self.panic_mode {
            let down = self.targets.iter().filter(|(_, t)| t.state == State::Down);
            let names: Vec<String> = down.map(|(name, _)| name.clone()).collect();
            if self.panic_mode {
                // The checks are in doubt, so workers already excluded are used again, too.
                for name in names {
                    if let Some(target) = self.targets.get_mut(&name).filter(|t| t.excluded) {
                        target.excluded = false;
                        self.changed.push(name);
                    }
                }
            } else {
                names.iter().for_each(|name| self.update_exclusion(name));
            }
        }
    }

    /// The next worker whose exclusion changed, and whether it is excluded.
    pub fn next_change(&mut self) -> Option<(String, bool)> {
        loop {
            let name = self.changed.pop()?;
            if let Some(target) = self.targets.get_mut(&name).filter(|t| t.excluded != t.reported_out) {
                target.reported_out = target.excluded;
                return Some((name, target.excluded));
            }
        }
    }

    pub fn state(&self, name: &str) -> Option<State> {
        self.targets.get(name).map(|target| target.state)
    }
}
