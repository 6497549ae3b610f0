//! Exclusive permission to change a scheduler: one run at a time, identified by a growing number. Each
//! scheduler stores one lease. The run that holds it renews it; a run that was paused and resumes late finds
//! a larger number and changes nothing.

use std::time::Duration;

/// How long a run holds a scheduler without renewing. A run polls each scheduler twice a second, so thirty
/// polls were missed.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);
/// Longest run name: a plan name of up to 64 bytes and the start time.
pub const MAX_RUN_NAME_BYTES: usize = 96;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lease {
    number: u64,
    run: String,
    until: Duration,
}

impl Lease {
    /// A lease that no run holds, and that no number up to `number` can take.
    pub fn after(number: u64, run: &str) -> Self {
        Lease { number, run: run.into(), until: Duration::ZERO }
    }

    /// The largest number seen (0 if none) and its run.
    pub fn holder(&self) -> (u64, &str) {
        (self.number, &self.run)
    }

    /// Takes or renews the lease from `now`, or returns a one-line reason why not. Called before each change.
    pub fn take(&mut self, run: &str, number: u64, now: Duration) -> Result<(), String> {
        if run.is_empty() || run.len() > MAX_RUN_NAME_BYTES || number == 0 {
            return Err(format!("{run:?} with number {number} is not a valid run"));
        }
        let (held, holder) = (self.number, &self.run);
        if number < held {
            return Err(format!("lease: number {number} is older than {held} of {holder}"));
        }
        let other = run != holder;
        // Two runs with the same number: the first one holds it.
        if number == held && other {
            return Err(format!("lease: number {number} is {holder}'s"));
        }
        if other && now < self.until {
            let rest = (self.until - now).as_secs_f64();
            return Err(format!("lease: {holder} holds it for another {rest:.1} s"));
        }
        (self.number, self.run, self.until) = (number, run.into(), now + LEASE_DURATION);
        Ok(())
    }

    /// Ends a run, so that the next one need not wait. Its number remains the largest. No effect for any
    /// other run.
    pub fn release(&mut self, run: &str, number: u64) {
        if (number, run) == (self.number, self.run.as_str()) {
            self.until = Duration::ZERO;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    /// Guards against two runs changing one scheduler, and against a run that resumes late.
    #[test]
    fn only_one_run_holds_the_lease_and_a_late_one_is_refused() {
        let mut lease = Lease::default();
        assert_eq!(lease.take("first", 1, S), Ok(()));
        assert!(lease.take("second", 2, 2 * S).is_err());
        assert!(lease.take("second", 1, 20 * S).is_err());
        assert_eq!(lease.take("first", 1, 10 * S), Ok(()));
        // Renewed at 10 s, so still held at 20 s and expired at 25 s.
        assert!(lease.take("second", 2, 20 * S).is_err());
        assert_eq!(lease.take("second", 2, 25 * S), Ok(()));
        assert!(lease.take("first", 1, 60 * S).expect_err("resumed late").contains("older"));
        // The same run, resumed with a larger number: granted at once, and the previous number is void.
        assert_eq!(lease.take("second", 3, 26 * S), Ok(()));
        assert!(lease.take("second", 2, 27 * S).is_err());
        assert!(lease.take("", 9, 99 * S).is_err() && lease.take("x", 0, 99 * S).is_err());
        assert_eq!(lease.holder(), (3, "second"));
        lease.release("first", 1);
        assert!(lease.take("third", 4, 28 * S).is_err());
        lease.release("second", 3);
        assert_eq!(lease.take("third", 4, 28 * S), Ok(()));
    }
}
