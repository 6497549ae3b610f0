//! Evidence against a change: the share of unfinished tasks at changed schedulers compared with unchanged
//! ones in the same period, less the difference between the two groups before the change.
//!
//! The test keeps its error rate although it is evaluated every second: it is the mixture sequential
//! probability ratio test (Johari, Pekelis, Walsh: "Always Valid Inference", 2015) on the difference of two
//! shares.

/// Minimum tasks on either side; the shares of fewer tasks are not approximately normal.
const MIN_TASKS: f64 = 20.0;
/// Minimum samples needed to see whether tasks fail together. With fewer, one burst in the first sample at a
/// hundred tasks a second stopped one run in forty.
const MIN_SAMPLES: f64 = 4.0;
/// One or two unfinished tasks are no pattern, however surely all others finished.
const MIN_UNFINISHED: f64 = 3.0;
/// The part of the relevant harm that the estimate must reach in addition to the evidence. Half, because a
/// harm just large enough is underestimated in half of all runs. Guards against a stop for a certain but
/// slight harm.
const MIN_HARM_RATIO: f64 = 0.5;
/// One-sided bound for "not worse by that much" at the end of a watch: one harm of exactly that size in ten
/// passes a stage (and is watched further in the next).
const PASS_BOUND: f64 = 1.28;

/// The sizes of harm tested for, as multiples of the relevant harm, since a single one is slow to detect the
/// others. With 5 percentage points as relevant they are 5, 15 and 45.
const HARM_SIZES: [f64; 3] = [1.0, 3.0, 9.0];

/// How far a baseline difference is discounted: one of two standard deviations counts half, one below 1.4 not
/// at all. By `examples/verdicts.rs`, 1,000 runs over an uneven fleet at 20 tasks a second: with 1, 2 and 3,
/// shares of 0.005, 0.009 and 0.011 of harmless runs are stopped as worse, and 0.70, 0.77 and 0.84 of those
/// that perform 5 points worse. 2 is the largest value that stops fewer than one harmless run in a hundred.
const BASELINE_DOUBT: f64 = 2.0;

/// Tasks that ended at one scheduler, or several, between two samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Tasks with a final answer.
    pub ended: u64,
    /// Of these, shed or aborted.
    pub unfinished: u64,
}

impl std::ops::AddAssign for Count {
    fn add_assign(&mut self, other: Count) {
        self.ended += other.ended;
        self.unfinished += other.unfinished;
    }
}

fn binomial(share: f64) -> f64 {
    share * (1.0 - share)
}

/// The accumulated samples of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arm {
    samples: f64,
    ended: f64,
    unfinished: f64,
    /// Sum of unfinished squared over ended, for the dispersion between samples.
    squares: f64,
}

impl Arm {
    pub fn add(&mut self, count: Count) {
        if count.ended == 0 {
            return;
        }
        let (ended, unfinished) = (count.ended as f64, count.unfinished.min(count.ended) as f64);
        self.samples += 1.0;
        self.ended += ended;
        self.unfinished += unfinished;
        self.squares += unfinished * unfinished / ended;
    }

    /// Number of tasks that ended.
    pub fn ended(&self) -> f64 {
        self.ended
    }

    /// The unfinished share, 0 to 1, shrunk slightly towards one half, so that no group counts as perfect.
    pub fn share(&self) -> f64 {
        (self.unfinished + 0.5) / (self.ended + 1.0)
    }

    /// Variance of the share if tasks were independent.
    fn variance(&self) -> f64 {
        binomial(self.share()) / (self.ended + 1.0)
    }

    /// The factor by which correlated failures increase that variance: the dispersion between samples
    /// (Pearson's statistic over its degrees of freedom), at least 1.
    fn overdispersion(&self) -> f64 {
        let raw = self.unfinished / self.ended.max(1.0);
        if self.samples < 2.0 || binomial(raw) == 0.0 {
            return 1.0;
        }
        let scatter = self.squares - 2.0 * raw * self.unfinished + raw * raw * self.ended;
        (scatter / binomial(raw) / (self.samples - 1.0)).max(1.0)
    }

    fn has_enough_data(&self) -> bool {
        self.ended >= MIN_TASKS && self.samples >= MIN_SAMPLES
    }
}

/// Two groups sampled in the same periods, so that an incident that affects both in one sample cancels out.
/// The per-sample differences are weighted as by Mantel and Haenszel.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PairedComparison {
    changed: Arm,
    unchanged: Arm,
    samples: f64,
    weight: f64,
    sum: f64,
    squares: f64,
    /// The weights over each group's tasks, for the random dispersion of single samples.
    weight_ratios: (f64, f64),
    /// Variance of the sum under the null hypothesis, from the pooled share of each sample.
    null_variance: f64,
}

impl PairedComparison {
    /// Adds a sample of both groups; ignored if either group ended no task.
    pub fn add(&mut self, changed: Count, unchanged: Count) {
        if changed.ended == 0 || unchanged.ended == 0 {
            return;
        }
        self.changed.add(changed);
        self.unchanged.add(unchanged);
        let share = |count: Count| count.unfinished.min(count.ended) as f64 / count.ended as f64;
        let (changed_tasks, unchanged_tasks) = (changed.ended as f64, unchanged.ended as f64);
        let (weight, all) = (
            changed_tasks * unchanged_tasks / (changed_tasks + unchanged_tasks),
            changed_tasks + unchanged_tasks,
        );
        let difference = share(changed) - share(unchanged);
        let both = (share(changed) * changed_tasks + share(unchanged) * unchanged_tasks) / all;
        self.samples += 1.0;
        self.weight += weight;
        self.sum += weight * difference;
        self.squares += weight * difference * difference;
        self.weight_ratios.0 += weight / changed_tasks;
        self.weight_ratios.1 += weight / unchanged_tasks;
        // Bessel's correction: with so few tasks in a sample its variance is underestimated.
        self.null_variance += weight * binomial(both) * all / (all - 1.0);
    }

    /// Tasks that ended in the changed group.
    pub fn tasks(&self) -> f64 {
        self.changed.ended
    }

    fn difference(&self) -> f64 {
        self.sum / self.weight.max(f64::MIN_POSITIVE)
    }

    /// The factor by which the differences of samples exceed the random dispersion of single tasks, by each
    /// group's own share: bursts within one group. At least 1. (With the pooled share a true harm would count
    /// as bursts: 5 points at 20 tasks a second were found in 0.62 of runs instead of 0.91.)
    fn overdispersion(&self) -> f64 {
        let of = |arm: &Arm| binomial(arm.unfinished / arm.ended.max(1.0));
        let null_variance =
            self.weight_ratios.0 * of(&self.changed) + self.weight_ratios.1 * of(&self.unchanged);
        if self.samples < 2.0 || null_variance <= 0.0 {
            return 1.0;
        }
        let scatter = self.squares - self.difference().powi(2) * self.weight;
        (scatter / null_variance * self.samples / (self.samples - 1.0)).max(1.0)
    }

    /// Variance of the difference, by each group's own share.
    fn variance(&self) -> f64 {
        self.overdispersion() * (self.changed.variance() + self.unchanged.variance())
    }

    /// The same under the null hypothesis: more sensitive where one group is small.
    fn null_variance(&self) -> f64 {
        self.overdispersion() * self.null_variance / self.weight.max(f64::MIN_POSITIVE).powi(2)
    }

    /// Standard deviation of the difference.
    pub fn std_dev(&self) -> f64 {
        self.variance().sqrt()
    }

    /// How much worse the changed schedulers perform now, less the difference before the change. None while
    /// either group has too few tasks.
    pub fn harm(&self, before: &PairedComparison) -> Option<Harm> {
        if !self.changed.has_enough_data() || !self.unchanged.has_enough_data() {
            return None;
        }
        let (mut share, mut variance, mut null_variance) =
            (self.difference(), self.variance(), self.null_variance());
        if before.changed.has_enough_data() && before.unchanged.has_enough_data() {
            // Guards against blaming the change for schedulers that were worse before, for their zone or
            // clients. The baseline difference is weighted by its certainty: subtracted in full, its random
            // error would hide a true harm, and no longer watch could remedy that.
            let (baseline_difference, baseline_variance) = (before.difference(), before.variance());
            let weight = (1.0
                - BASELINE_DOUBT * baseline_variance / (baseline_difference * baseline_difference))
                .max(0.0);
            share -= weight * baseline_difference;
            variance += weight * weight * baseline_variance;
            null_variance += weight * weight * baseline_variance;
        }
        Some(Harm::new(share, variance, null_variance, &self.changed))
    }
}

/// How much worse the whole fleet performs than before. The periods differ, so external incidents count as
/// well.
pub fn against_past(now: &Arm, past: &Arm) -> Option<Harm> {
    if !now.has_enough_data() || !past.has_enough_data() {
        return None;
    }
    let variance = now.overdispersion() * now.variance() + past.overdispersion() * past.variance();
    Some(Harm::new(now.share() - past.share(), variance, variance, now))
}

/// How much worse the changed schedulers perform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Harm {
    /// Share of tasks that finish at unchanged schedulers but not at changed ones, -1 to 1.
    pub share: f64,
    /// Its standard deviation, by each group's own share.
    pub std_dev: f64,
    /// The same under the null hypothesis, by the pooled share. More sensitive where one group is small.
    null_std_dev: f64,
    /// Tasks of the changed group that the estimate is based on.
    pub tasks: f64,
    unfinished: f64,
}

impl Harm {
    fn new(share: f64, variance: f64, null_variance: f64, of: &Arm) -> Self {
        let (std_dev, null_std_dev) = (variance.sqrt(), null_variance.sqrt());
        Harm { share, std_dev, null_std_dev, tasks: of.ended, unfinished: of.unfinished }
    }

    /// Likelihood ratio of the observed difference under some harm versus none, as the mean of normal
    /// mixtures. However often it is evaluated, it exceeds 1/error in at most that share of harmless runs.
    pub fn evidence(&self, worse_by: f64) -> f64 {
        if self.share <= 0.0 {
            return 0.0;
        }
        let v = self.null_std_dev * self.null_std_dev;
        let under = |times: &f64| {
            let mixture = (times * worse_by).powi(2);
            (v / (v + mixture)).sqrt() * (mixture * self.share * self.share / (2.0 * v * (v + mixture))).exp()
        };
        HARM_SIZES.iter().map(under).sum::<f64>() / HARM_SIZES.len() as f64
    }

    /// Whether the change is worse with certainty, and by enough to matter.
    pub fn is_worse(&self, worse_by: f64, error: f64) -> bool {
        self.unfinished >= MIN_UNFINISHED
            && self.share >= MIN_HARM_RATIO * worse_by
            && self.evidence(worse_by) >= 1.0 / error
    }

    /// Whether it is sufficiently certain that the change is not worse by `worse_by`.
    pub fn is_acceptable(&self, worse_by: f64) -> bool {
        self.share + PASS_BOUND * self.std_dev < worse_by
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    type Sample = ((u64, u64), (u64, u64));

    fn count((ended, unfinished): (u64, u64)) -> Count {
        Count { ended, unfinished }
    }

    fn pairs(samples: &[Sample]) -> PairedComparison {
        let mut pairs = PairedComparison::default();
        samples.iter().for_each(|&(changed, unchanged)| pairs.add(count(changed), count(unchanged)));
        pairs
    }

    #[test]
    fn a_clear_harm_is_worse_and_a_slight_one_is_not() {
        let none = PairedComparison::default();
        let clear = pairs(&[((30, 6), (500, 2)); 4]).harm(&none).expect("enough tasks");
        assert!(clear.is_worse(0.05, 0.001) && !clear.is_acceptable(0.05), "{clear:?}");
        // One percentage point over a hundred thousand tasks: certain, but below the relevant harm.
        let slight = pairs(&[((20_000, 300), (20_000, 100)); 5]).harm(&none).expect("enough tasks");
        assert!(slight.evidence(0.05) > 1e6 && !slight.is_worse(0.05, 0.001) && slight.is_acceptable(0.05));
        assert!(pairs(&[((10, 10), (500, 2))]).harm(&none).is_none());
    }

    /// Guards against a stop for schedulers that were equally bad before the change.
    #[test]
    fn a_difference_that_existed_before_the_change_is_no_harm() {
        let uneven = pairs(&[((100, 20), (400, 4)); 4]);
        assert!(uneven.harm(&PairedComparison::default()).expect("enough tasks").is_worse(0.05, 0.001));
        let harm = uneven.harm(&uneven).expect("enough tasks");
        assert!(!harm.is_worse(0.05, 0.001) && harm.share.abs() < 0.01, "{harm:?}");
    }

    /// Guards against a fleet-wide incident that hides a harm, is mistaken for one or delays a stage: it
    /// affects both groups in the same samples.
    #[test]
    fn an_incident_that_affects_both_groups_cancels_out() {
        let normal = [((40, 1), (200, 5)); 8];
        let incident = [((40, 20), (200, 100)); 4];
        let harm = pairs(&[normal.as_slice(), &incident].concat())
            .harm(&PairedComparison::default())
            .expect("enough tasks");
        assert!(!harm.is_worse(0.05, 0.01) && harm.is_acceptable(0.05), "{harm:?}");
        let worse = [((40, 28), (200, 100)); 4];
        let harm =
            pairs(&[[((40, 9), (200, 5)); 8].as_slice(), &worse].concat()).harm(&PairedComparison::default());
        assert!(harm.expect("enough tasks").is_worse(0.05, 0.001), "{harm:?}");
    }

    /// Guards against correlated failures within one second being counted as independent evidence.
    #[test]
    fn failures_in_one_sample_weigh_less_than_the_same_number_spread_out() {
        let mut overdispersion = [((40, 0), (200, 0)); 10];
        overdispersion[9].0 .1 = 20;
        let spread_out = [((40, 2), (200, 0)); 10];
        let evidence = |samples: &[_]| {
            pairs(samples).harm(&PairedComparison::default()).expect("enough tasks").evidence(0.05)
        };
        assert!(evidence(&spread_out) > 100.0 && evidence(&overdispersion) < 10.0);
    }

    #[test]
    fn the_whole_fleet_is_compared_with_its_past() {
        let arm = |samples: &[(u64, u64)]| {
            let mut arm = Arm::default();
            samples.iter().for_each(|sample| arm.add(count(*sample)));
            arm
        };
        let (past, now) = (arm(&[(100, 1); 8]), arm(&[(100, 30); 8]));
        assert!(against_past(&now, &past).expect("enough tasks").is_worse(0.1, 0.001));
        assert!(against_past(&past, &past).expect("enough tasks").is_acceptable(0.05));
        assert!(against_past(&now, &arm(&[(5, 0)])).is_none());
    }
}
