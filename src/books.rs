//! The records that the decisions are made from: what one scheduler knows of workers, tasks and run times.

use crate::terms::{Condition, Ending, Energy, Site};
use oorandom::Rand64;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Default)]
pub struct Worker {
    pub site: Site,
    pub weight: f64,
    pub condition: Option<Condition>,
    pub on_list: bool,
    pub booted: Option<Duration>,
    /// Own slots out, and those of them that have started.
    pub n: f64,
    pub running: f64,
    pub waiting: VecDeque<(usize, usize)>,
    pub energy: Energy,
    pub used: Duration,
    /// New or returning: no completion yet.
    pub fresh: bool,
    /// Own logarithm of the speed against its kind's, and the completions behind it.
    pub apart: f64,
    pub completions: f64,
    /// What others have there, in slots, as of `seen`.
    pub hidden: f64,
    pub seen: Duration,
    pub errors: f64,
    pub barred: Option<Duration>,
    pub spells: i32,
    pub silent: bool,
    /// While cold: no own task before then.
    pub rest: Duration,
    pub probed: Duration,
    pub probing: bool,
}

impl Worker {
    /// Heard from: it does not stand still.
    pub fn revive(&mut self) {
        if self.silent {
            (self.silent, self.errors, self.barred) = (false, 0.0, None);
        }
    }

    pub fn ready(&self) -> bool {
        self.on_list && self.condition == Some(Condition::Ready)
    }
}

#[derive(Clone, Copy, Default)]
pub struct Kind {
    /// Logarithm of the speed, and the most slots seen in use or free at once.
    pub speed: f64,
    pub slots: f64,
}

#[derive(Clone, Copy)]
pub struct Assignment {
    pub worker: usize,
    pub sent: Duration,
    pub started: Option<Duration>,
    pub heard: Duration,
    /// Own slots on the worker when it was sent.
    pub ahead: f64,
    pub cold: bool,
    pub ending: Option<Ending>,
    pub called_off: bool,
}

impl Assignment {
    pub fn new(worker: usize, now: Duration, ahead: f64, cold: bool) -> Self {
        let (started, ending, called_off) = (None, None, false);
        Assignment { worker, sent: now, started, heard: now, ahead, cold, ending, called_off }
    }

    pub fn live(&self) -> bool {
        self.ending.is_none() && !self.called_off
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    First,
    Further,
    Out,
    Over,
    Unused,
}

pub struct Task {
    pub stage: Stage,
    pub workload: usize,
    pub size: f64,
    pub utility: f64,
    pub born: Duration,
    pub limit: Duration,
    pub assignments: Vec<Assignment>,
}

impl Task {
    pub fn out(&self) -> usize {
        self.assignments.iter().filter(|a| a.ending.is_none()).count()
    }

    pub fn may_have_run(&self) -> bool {
        self.assignments.iter().any(|a| !a.ending.is_some_and(Ending::proves_never_ran))
    }
}

/// What is learned of a workload: logarithm of the running time at speed 1, its mean, and how often.
#[derive(Clone, Copy)]
pub struct Runs {
    pub log: f64,
    pub mean: f64,
    pub seen: f64,
}

pub struct Chance(pub Rand64);

impl Default for Chance {
    fn default() -> Self {
        Chance(Rand64::new(0))
    }
}
