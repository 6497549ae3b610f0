//! A scheduler under test: sends inputs to the policy and prints its decisions, one per line.

use std::time::Duration;
use tindock::policy::Policy;
use tindock::types::{Condition, Decision, Discovery, Effect, Ending, PolicySettings, Site, Workload};

pub fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub fn workload(effect: Effect) -> Workload {
    Workload {
        effect,
        memory: ms(5000),
        promised: ms(500),
        stretch: 2.0,
        hard_limit: ms(8000),
        utility: 1.0,
        kind: None,
        max_assignments: 5,
    }
}

pub fn settings_for(effects: &[Effect]) -> PolicySettings {
    PolicySettings {
        workloads: effects.iter().map(|e| workload(*e)).collect(),
        schedulers: 2,
        discovery: Discovery::Pushed,
        may_cancel: true,
        max_retry_after: Some(ms(2000)),
        progress_interval: Some(ms(1000)),
        reports_start: true,
        overload_factor: 3.0,
        cold_share: 0.2,
        warm_within: ms(10_000),
        ..PolicySettings::default()
    }
}

fn site(worker: usize) -> Site {
    Site { zone: worker % 2, cell: worker % 2, kind: usize::from(worker > 1) }
}

pub struct Harness {
    pub policy: Policy,
    pub now: u64,
    pub trace: String,
    /// Timers requested.
    pub timers: usize,
}

impl Harness {
    /// A scheduler with this many warm workers of two slots: odd ones in zone 1, those from 2 on of kind 1.
    pub fn new(settings: PolicySettings, workers: usize) -> Self {
        let mut harness = Harness {
            policy: Policy::new(settings, 7, ms(1000)),
            now: 1000,
            trace: String::new(),
            timers: 0,
        };
        harness.policy.set_time(ms(1000));
        harness.policy.begin_list(true);
        for i in 0..workers {
            harness.policy.listed(i, site(i), 2.0, Condition::Ready, None);
        }
        harness.pull();
        harness
    }

    pub fn note(&mut self, line: &str) {
        self.trace += &format!("{:5} -- {line}\n", self.now);
    }

    pub fn at(&mut self, now: u64) -> &mut Self {
        self.now = now;
        self.policy.set_time(ms(now));
        self
    }

    /// Fires the timer every 25 ms until then.
    pub fn run_until(&mut self, then: u64) {
        while self.now + 25 <= then {
            let next = self.now + 25;
            self.at(next).policy.timer_fired();
            self.pull();
        }
        self.at(then);
    }

    pub fn list(&mut self, worker: usize, condition: Condition, booted: Option<u64>) {
        self.policy.begin_list(false);
        self.policy.listed(worker, site(worker), 2.0, condition, booted.map(ms));
        self.pull();
    }

    pub fn arrive(&mut self, workload: usize) -> usize {
        let task = self.policy.arrived(workload, 1.0, ms(8000), 0);
        self.pull();
        task
    }

    pub fn end(&mut self, task: usize, assignment: usize, ending: Ending) {
        self.note(&format!("task {task}/{assignment} {ending:?}"));
        self.policy.ended(task, assignment, ending, ending == Ending::Finished);
        self.pull();
    }

    /// A task that starts at once and runs this long on a worker of kind 0 and of kind 1.
    pub fn run(&mut self, workload: usize, spans: [u64; 2]) {
        let task = self.arrive(workload);
        self.policy.started(task, 0);
        let worker = self.trace.trim_end().chars().last().and_then(|c| c.to_digit(10)).unwrap_or(0);
        let then = self.now + spans[usize::from(worker > 1)];
        self.at(then).policy.ended(task, 0, Ending::Finished, true);
        self.pull();
    }

    pub fn pull(&mut self) {
        while let Some(decision) = self.policy.decide() {
            let text = match decision {
                Decision::Wake { .. } => {
                    self.timers += 1;
                    continue;
                }
                Decision::Assign { task, worker } => format!("task {task} to worker {worker}"),
                Decision::Shed { task, retry_after } => {
                    format!("shed task {task}, retry after {retry_after:?}")
                }
                Decision::Abandon { task } => format!("abandon task {task}"),
                Decision::Cancel { task, assignment } => format!("cancel {task}/{assignment}"),
                Decision::Grant { to, worker, slots } => {
                    format!("grant {slots} slots of worker {worker} to scheduler {to}")
                }
                Decision::RequestSlots { to } => format!("request slots of scheduler {to}"),
                Decision::Announce { worker, slots } => {
                    format!("announce: {slots} slots in use on worker {worker}")
                }
                Decision::Log(line) => format!("log: {line}"),
            };
            self.trace += &format!("{:5} {text}\n", self.now);
        }
    }
}
