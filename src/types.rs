//! The words between the decision module and its host.
//!
//! Times are spans since the start. Tasks, workers, workloads, customers, zones, cells and machine
//! kinds are small indices; the host maps outside ids to them at the door.

use std::time::Duration;

/// What a repeat of a task may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run again freely.
    Idempotent,
    /// Repeats are dropped inside the group, for as long as its memory window lasts.
    Deduplicated(Group),
    /// Must never run twice.
    Unrepeatable,
}

/// The workers that know each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether workers at these sites know each other's repeats.
    pub fn joins(self, one: Site, other: Site) -> bool {
        match self {
            Group::All => true,
            Group::Zone => one.zone == other.zone,
            Group::Cell => one.cell == other.cell,
        }
    }
}

/// One row of the workload table: only what the decisions read.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    pub effect: Effect,
    /// How long deduplicating workers remember, from the first assignment that might have run.
    pub memory: Duration,
    pub promised: Duration,
    /// The promised time grows by this multiple of the task's own running time.
    pub stretch: f64,
    pub hard_limit: Duration,
    pub utility: f64,
    /// The one machine kind that runs it, if only one does.
    pub kind: Option<usize>,
    pub max_assignments: usize,
}

/// How news of the workers reaches this scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    Pushed,
    /// Only by subscribing or asking; silence longer than this counts as having been told.
    Polled { within: Duration },
}

/// What a scheduler is handed at its start.
#[derive(Clone, Debug, Default)]
pub struct PolicySettings {
    pub workloads: Vec<Workload>,
    pub schedulers: usize,
    /// How many of them tell one another of workers, this one included, and which of those it is, from 0.
    pub exchange_size: usize,
    pub position: usize,
    pub zone: usize,
    pub discovery: Discovery,
    /// Share of the utility that a task beyond its customer's share still has.
    pub beyond_share: f64,
    /// Tasks a second within each customer's share, over all schedulers.
    pub quotas: Vec<f64>,
    pub may_cancel: bool,

    /// Longest come-back time that clients heed; none where they are not told.
    pub max_retry_after: Option<Duration>,
    /// Gap between progress notes, none where workers send none.
    pub progress_interval: Option<Duration>,
    pub reports_start: bool,
    /// The list's weights fall with the tasks a worker holds, so they are no sizes.
    pub live_weights: bool,
    /// Positions of free slots and of waiting tasks among the values of a worker's report.
    pub report_free: Option<usize>,
    pub report_waiting: Option<usize>,
    pub overload_factor: f64,
    pub cold_share: f64,
    pub warm_within: Duration,
    /// Points lost, as a share of all utility, if every task crosses zones once.
    pub crossing_cost: f64,

    /// The same for one full message to another scheduler a task.
    pub message_cost: f64,
}

/// A worker's state on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Ready,
    Draining,
    Gone,
}

/// Where a worker stands and what it is built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Site {
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
}

/// The energy state of a worker as the design page derives it from the own tasks.
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
    /// The worker returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    TimedOut,
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Ending {
    pub fn proves_never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::NotSent)
    }
}

/// What the host carries out, one at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the task to the worker; its assignments are numbered from 0 in this order.
    Assign { task: usize, worker: usize },
    /// Final answer: turned away; trying again is harmless.
    Shed { task: usize, retry_after: Option<Duration> },
    /// Final answer: given up, nothing promised about its effect.
    Abandon { task: usize },
    /// Stop waiting for one assignment.
    Cancel { task: usize, assignment: usize },

    /// Word to another scheduler: this many slots of the worker are free and left to it.
    Grant { to: usize, worker: usize, slots: f64 },
    /// Word to another scheduler: tasks wait here, any room to leave?
    RequestSlots { to: usize },
    /// Word to all other schedulers: this many slots are out at the worker.
    Announce { worker: usize, slots: f64 },
    /// Ring the bell after this span.
    Wake { after: Duration },
    /// A short line for the log.
    Log(String),
}
