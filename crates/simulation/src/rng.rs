//! The one seeded random number generator of a run.

use oorandom::Rand64;

pub struct Rng(Rand64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Rand64::new(u128::from(seed) << 32 | 0x5bd1))
    }

    /// Uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn below(&mut self, n: usize) -> usize {
        self.0.rand_range(0..n.max(1) as u64) as usize
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// Exponentially distributed time to the next event at `rate` per second; very long for a rate of 0.
    pub fn interval_s(&mut self, rate: f64) -> f64 {
        if rate <= 0.0 {
            return 1e6;
        }
        -(1.0 - self.unit()).ln() / rate
    }

    /// Log-normal with this mean and coefficient of variation, capped at six times the mean.
    pub fn log_normal(&mut self, mean: f64, spread: f64) -> f64 {
        let sigma2 = (1.0 + spread * spread).ln();
        let normal = (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        let sample = mean * (normal * sigma2.sqrt() - sigma2 / 2.0).exp();
        sample.min(mean * 6.0)
    }
}
