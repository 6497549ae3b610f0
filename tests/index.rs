use tindock::rules::whittle;
use tindock::terms::Energy;

#[test]
fn placeholder_of_the_formula() {
    // At n = 0 the busy form of Theorem 1 reduces to b.
    assert!((whittle(0.0, Energy::Busy, 2.0, 1.5, 7.0) - 2.0 / 1.5).abs() < 1e-12);
}
