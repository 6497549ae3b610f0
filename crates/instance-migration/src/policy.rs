//! When moves may run: only if they pay off, and never under rising load or during a disturbance.

use std::time::Duration;

use crate::types::Plan;

/// Current load and state of the system.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Calls waiting for a slot, of all functions.
    pub waiting: u32,
    /// Wanted slots, relative to those of a while ago.
    pub growth: f64,
    /// Hosts or instances were lost, or starts refused, recently.
    pub disturbed: bool,
    /// A configuration change is being distributed.
    pub configuring: bool,
    /// The lease holder knows all instances, and all slot allocators report demand.
    pub settled: bool,
}

/// Why a plan may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    Paused,
    Unsettled,
    Configuring,
    /// Hosts or instances were lost, or starts refused, recently.
    Trouble,
    /// Calls are waiting, or the wanted slots grow too fast.
    Rush,
    /// No obstacle now, but not for long enough.
    TooSoon,
    /// The saving does not outweigh the cost.
    TooLittle,
}

/// Decides when a plan may run, from the time since the last obstacle and since the last run.
#[derive(Clone, Debug)]
pub struct MovePolicy {
    /// Time without an obstacle before a run.
    pub calm_period: Duration,
    /// Minimum time between two runs.
    pub run_interval: Duration,
    /// The same after a run in which a move was abandoned because its function briefly needed both instances,
    /// or because its target no longer had free capacity.
    pub retry_interval: Duration,
    /// Minimum saving, in units of the value of one call ...
    pub min_saving: f64,
    /// ... and at least this many times the cost of the memory occupied twice during the moves.
    pub min_saving_ratio: f64,
    /// Highest [`Conditions::growth`] at which moves may run.
    pub max_growth: f64,
    pub paused: bool,
    last_obstacle: Option<Duration>,
    last_run: Option<Duration>,
}

impl MovePolicy {
    pub fn new(now: Duration) -> MovePolicy {
        MovePolicy {
            calm_period: Duration::from_secs(10),
            run_interval: Duration::from_secs(60),
            retry_interval: Duration::from_secs(15),
            min_saving: 5.0,
            min_saving_ratio: 2.0,
            max_growth: 1.25,
            paused: false,
            last_obstacle: Some(now),
            last_run: None,
        }
    }

    /// A move of the last run was abandoned for a temporary reason: the next run may follow sooner.
    pub fn run_incomplete(&mut self, now: Duration) {
        if self.last_run.is_some() {
            self.last_run = Some((now + self.retry_interval).saturating_sub(self.run_interval));
        }
    }

    /// Takes the current conditions; to be called at every pass.
    pub fn observe(&mut self, now: Duration, conditions: &Conditions) -> Option<Obstacle> {
        let obstacle = if !conditions.settled {
            Some(Obstacle::Unsettled)
        } else if conditions.configuring {
            Some(Obstacle::Configuring)
        } else if conditions.disturbed {
            Some(Obstacle::Trouble)
        } else if conditions.waiting > 0 || conditions.growth > self.max_growth {
            Some(Obstacle::Rush)
        } else {
            None
        };
        if obstacle.is_some() {
            self.last_obstacle = Some(now);
        }
        obstacle
    }

    /// Whether a plan made now might be approved; saves making one that would not.
    pub fn may_plan(&self, now: Duration) -> Result<(), Obstacle> {
        let since = |at: Option<Duration>, least: Duration| at.is_none_or(|at| now >= at + least);
        match self.paused {
            true => Err(Obstacle::Paused),
            false
                if since(self.last_obstacle, self.calm_period) && since(self.last_run, self.run_interval) =>
            {
                Ok(())
            }
            false => Err(Obstacle::TooSoon),
        }
    }

    /// Whether `plan` may run now. `overlap_cost`: cost of the memory it occupies twice, in units of the
    /// value of one call.
    pub fn approve(
        &mut self,
        now: Duration,
        conditions: &Conditions,
        plan: &Plan,
        overlap_cost: f64,
    ) -> Result<(), Obstacle> {
        let obstacle = self.observe(now, conditions);
        if self.paused {
            return Err(Obstacle::Paused);
        }
        if let Some(obstacle) = obstacle {
            return Err(obstacle);
        }
        self.may_plan(now)?;
        let (before, after) = (plan.before, plan.after);
        // Goals that take precedence over the cost.
        let forced = after.exposed < before.exposed
            || after.colocated < before.colocated
            || after.unplaced_starts < before.unplaced_starts;
        if plan.moves.is_empty()
            || !forced
                && (plan.saving < self.min_saving || plan.saving < self.min_saving_ratio * overlap_cost)
        {
            return Err(Obstacle::TooLittle);
        }
        self.last_run = Some(now);
        Ok(())
    }
}
