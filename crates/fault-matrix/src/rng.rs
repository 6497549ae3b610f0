//! A seeded random number generator: equal seeds and names give equal sequences.

use oorandom::Rand64;

const FNV_OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// The generator of one scenario.
pub struct SeededRng {
    rand: Rand64,
}

impl SeededRng {
    /// A separate generator for each name, so that a scenario does not depend on which others are generated.
    pub fn new(seed: u64, name: &str) -> SeededRng {
        let mut hash = FNV_OFFSET;
        for byte in name.bytes().chain(seed.to_le_bytes()) {
            hash = (hash ^ u128::from(byte)).wrapping_mul(FNV_PRIME);
        }
        SeededRng { rand: Rand64::new(hash) }
    }

    /// A number between two bounds, rounded to hundredths.
    pub fn between(&mut self, bounds: [f64; 2]) -> f64 {
        let sampled = bounds[0] + self.rand.rand_float() * (bounds[1] - bounds[0]);
        round_to_hundredths(sampled).clamp(bounds[0], bounds[1])
    }

    /// An integer between two bounds, both included.
    pub fn integer(&mut self, bounds: [u32; 2]) -> u32 {
        let [min, max] = bounds.map(u64::from);
        self.rand.rand_range(min..max + 1) as u32
    }

    /// A random element, or none of an empty slice.
    pub fn pick<'a, T>(&mut self, from: &'a [T]) -> Option<&'a T> {
        match from.len() as u64 {
            0 => None,
            n => from.get(self.rand.rand_range(0..n) as usize),
        }
    }

    /// True with this probability.
    pub fn with_probability(&mut self, probability: f64) -> bool {
        self.rand.rand_float() < probability
    }

    /// Shuffles uniformly (Fisher-Yates).
    pub fn shuffle<T>(&mut self, things: &mut [T]) {
        for last in (1..things.len()).rev() {
            let other = self.rand.rand_range(0..last as u64 + 1) as usize;
            things.swap(last, other);
        }
    }

    /// A seed for the bench, small enough for any integer type that reads the file.
    pub fn seed(&mut self) -> u32 {
        self.integer([1, 99_999_999])
    }
}

/// Rounds to two decimals; the bench's files hold no more.
pub fn round_to_hundredths(figure: f64) -> f64 {
    (figure * 100.0).round() / 100.0
}
