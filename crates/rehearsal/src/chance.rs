//! One seeded chance for everything that is drawn in a run.

use oorandom::Rand64;

pub struct Chance(Rand64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(Rand64::new(u128::from(seed) << 32 | 0x5bd1))
    }

    /// From 0 to below 1.
    pub fn share(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn below(&mut self, n: usize) -> usize {
        self.0.rand_range(0..n.max(1) as u64) as usize
    }

    pub fn number(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// The pause before the next of so many a second; a long one for none.
    pub fn pause(&mut self, rate: f64) -> f64 {
        if rate <= 0.0 {
            return 1e6;
        }
        -(1.0 - self.share()).ln() / rate
    }

    /// Log-normal with this mean and this spread (deviation over mean).
    pub fn spread(&mut self, mean: f64, spread: f64) -> f64 {
        let sigma2 = (1.0 + spread * spread).ln();
        let normal = (-2.0 * (1.0 - self.share()).ln()).sqrt() * (std::f64::consts::TAU * self.share()).cos();
        let drawn = mean * (normal * sigma2.sqrt() - sigma2 / 2.0).exp();
        drawn.min(mean * 6.0)
    }
}
