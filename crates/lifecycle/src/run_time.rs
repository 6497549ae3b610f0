//! The longest that a kind of work takes, estimated from work that was done: a smoothed mean with a smoothed
//! mean deviation, as in RFC 6298 for retransmission timers.

use std::collections::BTreeMap;
use std::time::Duration;

/// The weight of a new measurement in the mean and in the deviation.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Work is expected to stay within this many deviations above the mean.
const DEVIATIONS: f64 = 4.0;
/// With fewer measurements than this there is no estimate.
const MIN_MEASUREMENTS: u32 = 3;
/// The most kinds of work that are kept; beyond that the one whose last measurement is oldest is removed.
const MAX_KINDS: usize = 20_000;

/// Measurements of one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTime {
    mean: f64,
    deviation: f64,
    measurements: u32,
    last_measured: Duration,
}

impl RunTime {
    /// Adds a measurement.
    pub fn measure(&mut self, now: Duration, took: Duration) {
        let took = took.as_secs_f64();
        if self.measurements == 0 {
            self.mean = took;
            self.deviation = took / 2.0;
        } else {
            self.deviation += DEVIATION_WEIGHT * ((took - self.mean).abs() - self.deviation);
            self.mean += MEAN_WEIGHT * (took - self.mean);
        }
        self.measurements = self.measurements.saturating_add(1);
        self.last_measured = now;
    }

    /// A time that work rarely exceeds; none with too few measurements.
    pub fn longest(&self) -> Option<Duration> {
        (self.measurements >= MIN_MEASUREMENTS)
            .then(|| Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation))
    }
}

/// Measurements by kind of work.
#[derive(Clone, Debug)]
pub struct RunTimes<K> {
    kinds: BTreeMap<K, RunTime>,
}

impl<K> Default for RunTimes<K> {
    fn default() -> RunTimes<K> {
        RunTimes { kinds: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> RunTimes<K> {
    /// Adds a measurement of this kind of work.
    pub fn measure(&mut self, now: Duration, kind: K, took: Duration) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            self.remove_oldest();
        }
        self.kinds.entry(kind).or_default().measure(now, took);
    }

    /// The longest that work of this kind takes: estimated from measurements, else as promised.
    pub fn longest(&self, kind: &K, promised: Duration) -> Duration {
        self.kinds.get(kind).and_then(RunTime::longest).unwrap_or(promised)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, run)| run.last_measured).map(|(kind, _)| kind.clone());
        if let Some(oldest) = oldest {
            self.kinds.remove(&oldest);
        }
    }
}
