//! The index by which an owner selects an instance, and its inputs: docs/design/index.md.

use crate::messages::Ended;
use std::time::Duration;
use tindock::index::whittle;
pub use tindock::types::Energy;

/// An instance without a call of this owner for this long counts as off: longer than a usual lull between two
/// calls.
pub const OFF_AFTER: Duration = Duration::from_secs(5);
/// Keeps a and b above zero when nothing arrives.
pub const RATE_FLOOR: f64 = 0.05;
/// The paper's index is not defined where delta < mu: there delta counts as this many times mu, the limit
/// from its valid side.
const DELTA_MARGIN: f64 = 1.05;
/// An instance's own run times are used after this many completions, if they deviate by this many standard
/// errors and by this share.
const MIN_COMPLETIONS: u32 = 20;
const MIN_STANDARD_ERRORS: f64 = 3.0;
const MIN_DEVIATION: f64 = 0.1;
/// Smoothing factor of run time ratios: an average over about fifty runs.
const RATIO_SMOOTHING: f64 = 0.02;
/// Smoothing factor of observed start times: an average over about five.
const BOOT_SMOOTHING: f64 = 0.2;

/// The inputs of an instance's index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IndexInputs {
    pub n: usize,
    pub energy: Energy,
    pub lambda: f64,
    pub mu: f64,
    pub delta: f64,
    /// The started instances, which share lambda.
    pub instances: usize,
}

/// A score of an instance; the lowest is selected.
pub type Score = fn(&IndexInputs) -> f64;

/// The paper's index, with the limit from its valid side where it is not defined.
pub fn index(inputs: &IndexInputs) -> f64 {
    let delta = inputs.delta.max(DELTA_MARGIN * inputs.mu);
    whittle(inputs.n as f64, inputs.energy, inputs.lambda, inputs.mu, delta)
}

/// The ratio of one instance's run times to those of all.
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

    /// The instance's own ratio if it differs clearly over many runs, else 1.
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

/// What the owner has observed of an instance.
#[derive(Debug, Clone)]
pub struct InstanceStats {
    used: Duration,
    /// A call was sent since the instance was off, and none has been answered so far.
    starting: bool,
    /// The instance has completed a call since it was added, or since it last stopped responding.
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

    /// A slot is granted; `n` were before.
    pub fn granted(&mut self, now: Duration, n: usize) {
        self.starting = self.energy(now, n) != Energy::Busy;
        self.used = now;
    }

    /// A slot is returned; a call that was answered took `ratio` times the mean, if that is known.
    pub fn record_return(&mut self, now: Duration, ended: Ended, ratio: Option<f64>) {
        self.used = now;
        match ended {
            Ended::Done => {
                (self.starting, self.known) = (false, true);
                if let Some(ratio) = ratio {
                    self.run_time_ratio.update(ratio);
                }
            }
            // An instance that responds again counts as new.
            Ended::Silent => (self.starting, self.known) = (true, false),
            Ended::Idle | Ended::Full | Ended::Gone | Ended::Leaving => {}
        }
    }
}

/// The ratio of observed start times to the configured one.
#[derive(Debug, Clone, Copy)]
pub struct BootTimes(f64);

impl Default for BootTimes {
    fn default() -> Self {
        BootTimes(1.0)
    }
}

impl BootTimes {
    /// Records a start, from its beginning to the first successful connection.
    pub fn observe(&mut self, took: Duration, configured: Duration) {
        let ratio = took.as_secs_f64() / configured.as_secs_f64().max(1e-3);
        self.0 += BOOT_SMOOTHING * (ratio.clamp(0.1, 10.0) - self.0);
    }

    pub fn delta(self, configured: Duration) -> f64 {
        1.0 / (configured.as_secs_f64() * self.0).max(1e-3)
    }
}
