//! The index by which a lender picks an instance, and what it is made of: docs/design/index.md.

use crate::words::Ended;
use std::time::Duration;
use tindock::index::whittle;
pub use tindock::types::Energy;

/// Off after this without a call of this lender's: longer than a lull between two.
pub const IDLE: Duration = Duration::from_secs(5);
/// Keeps a and b above zero when nothing arrives.
pub const RATE_FLOOR: f64 = 0.05;
/// The source has no index where delta < mu: there delta counts as this many times mu, the limit from its valid side.
const VALID: f64 = 1.05;
/// Completions after which an instance may have a pace of its own, and how far off that must lie: standard errors, share.
const MANY: u32 = 20;
const CLEARLY: f64 = 3.0;
const LEAST: f64 = 0.1;
/// Smooths paces: about fifty runs.
const PACE_STEP: f64 = 0.02;
/// Smooths starts seen: about five.
const BOOT_STEP: f64 = 0.2;

/// What the index of an instance is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    pub n: usize,
    pub energy: Energy,
    pub lambda: f64,
    pub mu: f64,
    pub delta: f64,
    /// Instances that have started and share lambda.
    pub among: usize,
}

/// A way to score an instance; the lowest is picked.
pub type Score = fn(&Seen) -> f64;

/// The source's index, with the limit from its valid side where it has none.
pub fn index(seen: &Seen) -> f64 {
    let delta = seen.delta.max(VALID * seen.mu);
    whittle(seen.n as f64, seen.energy, seen.lambda, seen.mu, delta)
}

/// Run times of one instance by those of all, as a ratio.
#[derive(Debug, Clone, Default)]
struct Pace {
    mean: f64,
    variance: f64,
    count: u32,
}

impl Pace {
    fn learn(&mut self, ratio: f64) {
        self.count = self.count.saturating_add(1);
        let step = PACE_STEP.max(1.0 / f64::from(self.count));
        let off = ratio.clamp(0.05, 20.0) - self.mean;
        self.mean += step * off;
        self.variance = (1.0 - step) * (self.variance + step * off * off);
    }

    /// Its own ratio if that differs clearly over many runs, else the others'.
    fn ratio(&self) -> f64 {
        if self.count < MANY {
            return 1.0;
        }
        let share = (PACE_STEP / (2.0 - PACE_STEP)).max(1.0 / f64::from(self.count));
        let off = (self.mean - 1.0).abs();
        if off > LEAST && off > CLEARLY * (self.variance * share).sqrt() {
            self.mean.clamp(0.05, 20.0)
        } else {
            1.0
        }
    }
}

/// What this lender has seen of an instance in its care.
#[derive(Debug, Clone)]
pub struct Sight {
    used: Duration,
    /// Sent to since it was off, and unanswered so far.
    woken: bool,
    /// It has completed a call since it came, or came back.
    known: bool,
    pace: Pace,
}

impl Default for Sight {
    fn default() -> Self {
        Sight { used: Duration::ZERO, woken: true, known: false, pace: Pace::default() }
    }
}

impl Sight {
    pub fn energy(&self, now: Duration, n: usize) -> Energy {
        match (n, self.woken) {
            (0, true) => Energy::Off,
            (0, false) if now >= self.used + IDLE => Energy::Off,
            (0, false) => Energy::Busy,
            (_, true) => Energy::Setup,
            (_, false) => Energy::Busy,
        }
    }

    pub fn known(&self) -> bool {
        self.known
    }

    pub fn ratio(&self) -> f64 {
        self.pace.ratio()
    }

    /// A slot is lent; `n` were before.
    pub fn lent(&mut self, now: Duration, n: usize) {
        self.woken = self.energy(now, n) != Energy::Busy;
        self.used = now;
    }

    /// A slot comes back; a call that was answered took `ratio` times the usual, if that is known.
    pub fn back(&mut self, now: Duration, ended: Ended, ratio: Option<f64>) {
        self.used = now;
        match ended {
            Ended::Done => {
                (self.woken, self.known) = (false, true);
                if let Some(ratio) = ratio {
                    self.pace.learn(ratio);
                }
            }
            // One that returns from silence is new again.
            Ended::Silent => (self.woken, self.known) = (true, false),
            Ended::Idle | Ended::Full | Ended::Gone | Ended::Leaving => {}
        }
    }
}

/// How long starts take by what the configuration says, from those seen.
#[derive(Debug, Clone, Copy)]
pub struct Boots(f64);

impl Default for Boots {
    fn default() -> Self {
        Boots(1.0)
    }
}

impl Boots {
    /// From its beginning to the first connection it took.
    pub fn seen(&mut self, took: Duration, said: Duration) {
        let ratio = took.as_secs_f64() / said.as_secs_f64().max(1e-3);
        self.0 += BOOT_STEP * (ratio.clamp(0.1, 10.0) - self.0);
    }

    pub fn delta(self, said: Duration) -> f64 {
        1.0 / (said.as_secs_f64() * self.0).max(1e-3)
    }
}
