//! How far a list is believed that can't be had anew: from some age on, one sign that a worker itself gives weighs
//! more than the list, and leaves it out until there is a list again. A sign is what a worker that goes on would
//! hardly do: it turned a task away or handed it back unstarted, no connection to it could be had, or it closed a
//! kept one early.
//!
//! Where the list is confirmed all the time, signs change nothing: how errors and full workers are dealt with is for
//! the decision module, and discovery will say who drains.

use std::collections::BTreeMap;
use std::time::Duration;

/// A list unconfirmed for so long is old: more than one call to the agent was lost by then.
const OLD: Duration = Duration::from_millis(600);
/// How long one sign leaves a worker out if no list comes at all. It doubles with each further one: a worker that is
/// just full comes back, and one that is gone is met ever more seldom.
const FIRST_SPELL: Duration = Duration::from_secs(2);
const MOST_DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Default)]
struct Doubt {
    until: Duration,
    signs: u32,
}

#[derive(Default)]
pub struct Vouching {
    confirmed: Duration,
    always_fresh: bool,
    doubts: BTreeMap<usize, Doubt>,
}

impl Vouching {
    pub fn new(now: Duration) -> Self {
        Vouching { confirmed: now, ..Vouching::default() }
    }

    /// Discovery answered, with news or without: the list is as good as new. Tells which workers are let in again.
    pub fn confirmed(&mut self, now: Duration) -> impl Iterator<Item = usize> {
        self.confirmed = now;
        std::mem::take(&mut self.doubts).into_keys()
    }

    /// The list comes from nowhere that could be out.
    pub fn always_fresh(&mut self) {
        self.always_fresh = true;
    }

    /// Age of the list beyond which signs weigh more.
    pub fn is_old(&self, now: Duration) -> bool {
        !self.always_fresh && now.saturating_sub(self.confirmed) > OLD
    }

    /// A worker gave a sign; tells until when it is left out, if it is.
    pub fn sign(&mut self, now: Duration, worker: usize) -> Option<Duration> {
        if !self.is_old(now) {
            return None;
        }
        let doubt = self.doubts.entry(worker).or_default();
        // Signs of tasks that were sent together count once.
        if doubt.until <= now {
            doubt.until = now + FIRST_SPELL * (1 << doubt.signs.min(MOST_DOUBLINGS));
            doubt.signs += 1;
        }
        Some(doubt.until)
    }

    pub fn leaves_out(&self, now: Duration, worker: usize) -> bool {
        self.doubts.get(&worker).is_some_and(|doubt| now < doubt.until)
    }
}
