//! The types of the interface between the scheduling policy and its host.
//!
//! Times are spans since the start. Tasks, workers, workloads, tenants, zones, cells and machine
//! kinds are small indices; the host maps external ids to them.

use std::time::Duration;

/// The effect of running a task more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Idempotent,
    /// Repeats are dropped within the group, for as long as its memory window lasts.
    Deduplicated(Group),
    /// Must never run twice.
    Unrepeatable,
}

/// The workers that recognize repeats of each other's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether workers at these sites recognize repeats of each other's tasks.
    pub fn joins(self, one: Site, other: Site) -> bool {
        match self {
            Group::All => true,
            Group::Zone => one.zone == other.zone,
            Group::Cell => one.cell == other.cell,
        }
    }
}

/// One row of the workload table: only what the policy reads.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    pub effect: Effect,
    /// How long deduplicating workers remember a task, from the first assignment that might have run.
    pub memory: Duration,
    pub promised: Duration,
    /// The promised time grows by this multiple of the task's run time.
    pub stretch: f64,
    pub hard_limit: Duration,
    pub utility: f64,
    /// The machine kind that runs it, if only one does.
    pub kind: Option<usize>,
    pub max_assignments: usize,
}

/// How this scheduler learns about workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    Pushed,
    /// Only by subscribing or polling; a scheduler that does not poll within this time counts as informed.
    Polled { within: Duration },
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct PolicySettings {
    pub workloads: Vec<Workload>,
    pub schedulers: usize,
    /// Schedulers that exchange messages about workers, including this one, and its index among them.
    pub members: usize,
    pub position: usize,
    pub zone: usize,
    pub discovery: Discovery,
    /// Share of the utility that a task beyond its tenant's quota still has.
    pub beyond_share: f64,
    /// Quota of each tenant in tasks per second, over all schedulers.
    pub quotas: Vec<f64>,
    pub may_cancel: bool,

    /// Longest retry delay that clients respect; none where they are not sent one.
    pub max_retry_after: Option<Duration>,
    /// Interval of progress messages; none where workers send none.
    pub progress_interval: Option<Duration>,
    pub reports_start: bool,
    /// The weights on the list fall with the tasks on a worker, so they are not sizes.
    pub live_weights: bool,
    /// Positions of free slots and of waiting tasks among the values of a worker's report.
    pub report_free: Option<usize>,
    pub report_waiting: Option<usize>,
    pub overload_factor: f64,
    pub cold_share: f64,
    pub warm_within: Duration,
    /// Cost, as a share of all utility, if every task crosses zones once.
    pub crossing_cost: f64,

    /// The same for one full message to another scheduler per task.
    pub message_cost: f64,
}

/// A worker's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

/// The location and machine kind of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Site {
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
}

/// The energy state of a worker, derived from the local tasks as described in the design page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Energy {
    #[default]
    Off,
    Setup,
    Busy,
}

/// How an assignment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Finished,
    /// The worker returned an error; the task may have run.
    Error,
    /// Rejected before it was read.
    Full,
    TimedOut,
    ConnectFailed,
    /// The connection broke; the task may have run.
    Reset,
    Cancelled,
    NotSent,
}

impl Ending {
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the task to the worker; its assignments are numbered from 0 in this order.
    Assign { task: usize, worker: usize },
    /// Final answer: rejected; a retry is harmless.
    Shed { task: usize, retry_after: Option<Duration> },
    /// Final answer: given up; the task may or may not have had an effect.
    Abandon { task: usize },
    /// Stop waiting for one assignment.
    Cancel { task: usize, assignment: usize },

    /// Message to another scheduler: these free slots of the worker are left to it.
    Grant { to: usize, worker: usize, slots: f64 },
    /// Message to another scheduler: tasks are queued here and need free slots.
    RequestSlots { to: usize },
    /// Message to all other schedulers: this many slots of the worker are in use by local tasks.
    Announce { worker: usize, slots: f64 },
    /// Call `timer_fired` after this time.
    Wake { after: Duration },
    /// A line for the log.
    Log(String),
}
