//! The Whittle index that ranks workers, and its parameters.

use crate::types::Energy;

pub(crate) const IDLE_WINDOW_S: f64 = 5.0; // off after this without a local task; longer than usual gaps
pub(crate) const RATE_FLOOR: f64 = 0.05; // keeps a and b above zero without arrivals
pub(crate) const CROSSING_WEIGHT: f64 = 40.0; // a zone crossing counts as one queue position

/// Whittle index of a worker with `n` slots in use, as in the paper (Theorem 1, holding cost 1, beta 0).
pub fn whittle(n: f64, energy: Energy, lambda: f64, mu: f64, delta: f64) -> f64 {
    let (a, b) = (lambda / delta, lambda / mu);
    if energy == Energy::Off {
        return a + b;
    }
    let (before, queue) = if (b - 1.0).abs() < 1e-4 {
        (1.0, (n + 1.0) * (n + 2.0) / 2.0) // avoids 0/0: the paper's form for lambda = mu
    } else {
        let power = b.powf(n + 2.0).min(1e200); // avoids overflow; such a worker is never selected
        (b / (b * (1.0 + a) - a), b * ((n + 1.0) - (n + 2.0) * b + power) / ((b - 1.0) * (b - 1.0)))
    };
    let busy = || a * a - (n + 1.0) * a + a * (b - a) * (a / (1.0 + a)).powf(n);
    before * (queue + if energy == Energy::Setup { a } else { busy() })
}
