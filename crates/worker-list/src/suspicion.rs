//! Excludes workers on suspicion while the list cannot be refreshed. Once the list is stale, a single sign
//! from the worker itself outweighs it and excludes the worker until the list is confirmed again. A sign is
//! something that a worker which stays would hardly do: it refused a task or returned it unstarted, could not
//! be connected to, or closed a kept connection early.
//!
//! While the list is confirmed regularly, signs have no effect: errors and full workers are handled by the
//! decision module, and discovery reports which workers drain.

use std::collections::BTreeMap;
use std::time::Duration;

/// A list unconfirmed for this long is stale: by then more than one call to the agent was lost.
const STALE_AFTER: Duration = Duration::from_millis(600);
/// How long one sign excludes a worker if no list arrives at all. Doubles with each further sign: a worker
/// that is merely full returns, and one that is gone is tried ever more rarely.
const FIRST_EXCLUSION: Duration = Duration::from_secs(2);
const MAX_DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Default)]
struct Exclusion {
    until: Duration,
    signs: u32,
}

#[derive(Default)]
pub struct Suspicion {
    confirmed_at: Duration,
    always_fresh: bool,
    exclusions: BTreeMap<usize, Exclusion>,
}

impl Suspicion {
    pub fn new(now: Duration) -> Self {
        Suspicion { confirmed_at: now, ..Suspicion::default() }
    }

    /// Discovery answered, with changes or without, so the list is current. Returns the workers that are no
    /// longer excluded.
    pub fn list_confirmed(&mut self, now: Duration) -> impl Iterator<Item = usize> {
        self.confirmed_at = now;
        std::mem::take(&mut self.exclusions).into_keys()
    }

    /// The list comes from a source that cannot be unavailable.
    pub fn set_always_fresh(&mut self) {
        self.always_fresh = true;
    }

    /// Whether the list is so old that signs outweigh it.
    pub fn is_stale(&self, now: Duration) -> bool {
        !self.always_fresh && now.saturating_sub(self.confirmed_at) > STALE_AFTER
    }

    /// Records a sign from a worker; returns until when it is excluded, if it is.
    pub fn report_sign(&mut self, now: Duration, worker: usize) -> Option<Duration> {
        if !self.is_stale(now) {
            return None;
        }
        let exclusion = self.exclusions.entry(worker).or_default();
        // Signs from tasks that were sent together count once.
        if exclusion.until <= now {
            exclusion.until = now + FIRST_EXCLUSION * (1 << exclusion.signs.min(MAX_DOUBLINGS));
            exclusion.signs += 1;
        }
        Some(exclusion.until)
    }

    pub fn is_suspected(&self, now: Duration, worker: usize) -> bool {
        self.exclusions.get(&worker).is_some_and(|exclusion| now < exclusion.until)
    }
}
