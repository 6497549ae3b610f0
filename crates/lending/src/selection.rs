//! The index by which a lender picks an instance, and what it is made of: docs/design/index.md.

use crate::messages::Ended;
use std::time::Duration;
use tindock::index::whittle;
pub use tindock::terms::Energy;

/// Off after this without a call of this lender's: longer than a lull between two.
pub const OFF_AFTER: Duration = Duration::from_secs(5);
/// Keeps a and b above zero when nothing arrives.
pub const RATE_FLOOR: f64 = 0.05;
/// The source has no index where delta < mu: there delta counts as this many times mu, the limit from its valid side.
const DELTA_MARGIN: f64 = 1.05;
/// Completions after which an instance may have a pace of its own, and how far off that must lie: standard errors, share.
const MIN_COMPLETIONS: u32 = 20;
const MIN_STANDARD_ERRORS: f64 = 3.0;
const MIN_DEVIATION: f64 = 0.1;
/// Smooths paces: about fifty runs.
const RATIO_SMOOTHING: f64 = 0.02;
/// Smooths starts seen: about five.
const BOOT_SMOOTHING: f64 = 0.2;

/// What the index of an instance is made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IndexInputs {
    pub n: usize,
    pub energy: Energy,
    pub lambda: f64,
    pub mu: f64,
    pub delta: f64,
    /// Instances that have started and share lambda.
    pub instances: usize,
}

/// A way to score an instance; the lowest is picked.
pub type Score = fn(&IndexInputs) -> f64;

/// The source's index, with the limit from its valid side where it has none.
pub fn index(inputs: &IndexInputs) -> f64 {
    let delta = inputs.delta.max(DELTA_MARGIN * inputs.mu);
    whittle(inputs.n as f64, inputs.energy, inputs.lambda, inputs.mu, delta)
}

/// Run times of one instance by those of all, as a ratio.
#[derive(Debug, Clone, Default)]
struct RunTimeRatio {
    mean: f64,
    variance: f64,
    count: u32,
}

impl RunTimeRatio {
    fn update(&mut self, ratio: f64) {
        self.count = self.count.saturating_add(1);
        let step = RATIO_SMOOTHING.max(1.0 / f64::from(self.count));
        let deviation = ratio.clamp(0.05, 20.0) - self.mean;
        self.mean += step * deviation;
        self.variance = (1.0 - step) * (self.variance + step * deviation * deviation);
    }

    /// Its own ratio if that differs clearly over many runs, else the others'.
    fn ratio(&self) -> f64 {
        if self.count < MIN_COMPLETIONS {
            return 1.0;
        }
        let share = (RATIO_SMOOTHING / (2.0 - RATIO_SMOOTHING)).max(1.0 / f64::from(self.count));
        let deviation = (self.mean - 1.0).abs();
        if deviation > MIN_DEVIATION && deviation > MIN_STANDARD_ERRORS * (self.variance * share).sqrt() {
            self.mean.clamp(0.05, 20.0)
        } else {
            1.0
        }
    }
}

/// What this lender has seen of an instance in its care.
#[derive(Debug, Clone)]
pub struct InstanceStats {
    used: Duration,
    /// Sent to since it was off, and unanswered so far.
    starting: bool,
    /// It has completed a call since it came, or came back.
    known: bool,
    run_time_ratio: RunTimeRatio,
}

impl Default for InstanceStats {
    fn default() -> Self {
        InstanceStats {
            used: Duration::ZERO,
            starting: true,
            known: false,
            run_time_ratio: RunTimeRatio::default(),
        }
    }
}

impl InstanceStats {
    pub fn energy(&self, now: Duration, n: usize) -> Energy {
        match (n, self.starting) {
            (0, true) => Energy::Off,
            (0, false) if now >= self.used + OFF_AFTER => Energy::Off,
            (0, false) => Energy::Busy,
            (_, true) => Energy::Setup,
            (_, false) => Energy::Busy,
        }
    }

    pub fn known(&self) -> bool {
        self.known
    }

    pub fn ratio(&self) -> f64 {
        self.run_time_ratio.ratio()
    }

    /// A slot is lent; `n` were before.
    pub fn granted(&mut self, now: Duration, n: usize) {
        self.starting = self.energy(now, n) != Energy::Busy;
        self.used = now;
    }

    /// A slot comes back; a call that was answered took `ratio` times the usual, if that is known.
    pub fn record_return(&mut self, now: Duration, ended: Ended, ratio: Option<f64>) {
        self.used = now;
        match ended {
            Ended::Done => {
                (self.starting, self.known) = (false, true);
                if let Some(ratio) = ratio {
                    self.run_time_ratio.update(ratio);
                }
            }
            // One that returns from silence is new again.
            Ended::Silent => (self.starting, self.known) = (true, false),
            Ended::Idle | Ended::Full | Ended::Gone | Ended::Leaving => {}
        }
    }
}

/// How long starts take by what the configuration says, from those seen.
#[derive(Debug, Clone, Copy)]
pub struct BootTimes(f64);

impl Default for BootTimes {
    fn default() -> Self {
        BootTimes(1.0)
    }
}

impl BootTimes {
    /// From its beginning to the first connection it took.
    pub fn observe(&mut self, took: Duration, configured: Duration) {
        let ratio = took.as_secs_f64() / configured.as_secs_f64().max(1e-3);
        self.0 += BOOT_SMOOTHING * (ratio.clamp(0.1, 10.0) - self.0);
    }

    pub fn delta(self, configured: Duration) -> f64 {
        1.0 / (configured.as_secs_f64() * self.0).max(1e-3)
    }
}
