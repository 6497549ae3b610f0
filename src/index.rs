//! The index that ranks workers, and what goes into it.

use crate::types::Energy;

pub(crate) const IDLE_WINDOW: f64 = 5.0; // off after this without an own task: longer than a lull between two
pub(crate) const RATE_FLOOR: f64 = 0.05; // keeps a and b above zero when nothing arrives
pub(crate) const CROSSING: f64 = 40.0; // weight of the price of crossing zones: a crossing costs a place

/// The paper's Whittle index (Theorem 1 with holding cost 1 and beta 0) of a worker with `n` in it.
pub fn whittle(n: f64, energy: Energy, lambda: f64, mu: f64, delta: f64) -> f64 {
    let (a, b) = (lambda / delta, lambda / mu);
    if energy == Energy::Off {
        return a + b;
    }
    let (before, queue) = if (b - 1.0).abs() < 1e-4 {
        (1.0, (n + 1.0) * (n + 2.0) / 2.0) // guards against 0/0: the paper's form for lambda = mu
    } else {
        let power = b.powf(n + 2.0).min(1e200); // guards against overflow: out of the question anyway
        (b / (b * (1.0 + a) - a), b * ((n + 1.0) - (n + 2.0) * b + power) / ((b - 1.0) * (b - 1.0)))
    };
    let busy = || a * a - (n + 1.0) * a + a * (b - a) * (a / (1.0 + a)).powf(n);
    before * (queue + if energy == Energy::Setup { a } else { busy() })
}
