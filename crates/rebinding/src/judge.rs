//! When to move: only if it pays, never in a rush.

use std::time::Duration;

use crate::words::Plan;

/// What goes on at the moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Calls waiting for a slot, of all functions.
    pub waiting: u32,
    /// Slots wanted over slots wanted a while ago.
    pub growth: f64,
    /// Hosts or instances were lost, or starts refused, in the last while.
    pub disturbed: bool,
    /// A configuration is on its way.
    pub configuring: bool,
    /// The holder knows all instances, and demand is told by all lenders.
    pub settled: bool,
}

/// Why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    Paused,
    Unsettled,
    Configuring,
    Trouble,
    Rush,
    /// Calm, but not for long enough.
    TooSoon,
    /// What it saves does not outweigh what it costs.
    TooLittle,
}

/// Keeps the time since the last rush and the last run.
#[derive(Clone, Debug)]
pub struct MovePolicy {
    /// Calm for so long before a run.
    pub calm: Duration,
    /// From one run to the next.
    pub again: Duration,
    /// The same where a move was given up because its function needed both for a moment, or the room was taken.
    pub retry: Duration,
    /// A saving counts from this on, in the worth of a call ...
    pub least: f64,
    /// ... and this many times the price of the moves' double memory.
    pub factor: f64,
    /// Slots wanted may have grown by this much.
    pub growth: f64,
    pub paused: bool,
    restless: Option<Duration>,
    ran: Option<Duration>,
}

impl MovePolicy {
    pub fn new(now: Duration) -> MovePolicy {
        MovePolicy {
            calm: Duration::from_secs(10),
            again: Duration::from_secs(60),
            retry: Duration::from_secs(15),
            least: 5.0,
            factor: 2.0,
            growth: 1.25,
            paused: false,
            restless: Some(now),
            ran: None,
        }
    }

    /// A move of the last run was given up without a fault of its own.
    pub fn run_incomplete(&mut self, now: Duration) {
        if self.ran.is_some() {
            self.ran = Some((now + self.retry).saturating_sub(self.again));
        }
    }

    /// To be told at every pass.
    pub fn observe(&mut self, now: Duration, m: &Conditions) -> Option<Obstacle> {
        let no = if !m.settled {
            Some(Obstacle::Unsettled)
        } else if m.configuring {
            Some(Obstacle::Configuring)
        } else if m.disturbed {
            Some(Obstacle::Trouble)
        } else if m.waiting > 0 || m.growth > self.growth {
            Some(Obstacle::Rush)
        } else {
            None
        };
        if no.is_some() {
            self.restless = Some(now);
        }
        no
    }

    /// Whether a plan made now might be allowed; to be asked before one is made.
    pub fn may_plan(&self, now: Duration) -> Result<(), Obstacle> {
        let since = |at: Option<Duration>, least: Duration| at.is_none_or(|at| now >= at + least);
        match self.paused {
            true => Err(Obstacle::Paused),
            false if since(self.restless, self.calm) && since(self.ran, self.again) => Ok(()),
            false => Err(Obstacle::TooSoon),
        }
    }

    /// Whether `plan` should be run now. `price`: of its double memory, in the worth of a call.
    pub fn approve(
        &mut self,
        now: Duration,
        m: &Conditions,
        plan: &Plan,
        price: f64,
    ) -> Result<(), Obstacle> {
        let no = self.observe(now, m);
        if self.paused {
            return Err(Obstacle::Paused);
        }
        if let Some(no) = no {
            return Err(no);
        }
        self.may_plan(now)?;
        let (a, b) = (plan.before, plan.after);
        // Goals that come before price.
        let forced =
            b.exposed < a.exposed || b.colocated < a.colocated || b.unplaced_starts < a.unplaced_starts;
        if plan.moves.is_empty() || !forced && (plan.saving < self.least || plan.saving < self.factor * price)
        {
            return Err(Obstacle::TooLittle);
        }
        self.ran = Some(now);
        Ok(())
    }
}
