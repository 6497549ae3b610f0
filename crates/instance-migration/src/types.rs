//! Types of the planner's input and output.

use std::time::Duration;

use bitflags::bitflags;

/// Number of kinds of accelerator slices; the caller assigns an index to each kind.
pub const SLICE_KINDS: usize = 3;

/// Resource vector: memory in MB and accelerator slices by kind. Without accelerators all slices are 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Resources {
    pub memory_mb: u32,
    pub slices: [u16; SLICE_KINDS],
}

impl Resources {
    pub const fn mb(memory_mb: u32) -> Resources {
        Resources { memory_mb, slices: [0; SLICE_KINDS] }
    }

    /// Whether `other` has at least this much of every resource.
    pub fn fits_in(&self, other: &Resources) -> bool {
        self.memory_mb <= other.memory_mb && self.slices.iter().zip(&other.slices).all(|(a, b)| a <= b)
    }

    pub fn plus(&self, other: &Resources) -> Resources {
        let mut m = *self;
        m.memory_mb = m.memory_mb.saturating_add(other.memory_mb);
        for (a, b) in m.slices.iter_mut().zip(&other.slices) {
            *a = a.saturating_add(*b);
        }
        m
    }

    /// Saturates at 0, since a host's report may contradict the instances known to run there.
    pub fn minus(&self, other: &Resources) -> Resources {
        let mut m = *self;
        m.memory_mb = m.memory_mb.saturating_sub(other.memory_mb);
        for (a, b) in m.slices.iter_mut().zip(&other.slices) {
            *a = a.saturating_sub(*b);
        }
        m
    }

    /// The minimum of each resource.
    pub fn component_min(&self, other: &Resources) -> Resources {
        let mut m = *self;
        m.memory_mb = m.memory_mb.min(other.memory_mb);
        for (a, b) in m.slices.iter_mut().zip(&other.slices) {
            *a = (*a).min(*b);
        }
        m
    }

    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }

    /// The largest share of `total` over all resources; instances are ordered by this.
    pub fn share_of(&self, total: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let slices = self.slices.iter().zip(&total.slices).map(|(a, b)| part(f64::from(*a), f64::from(*b)));
        slices.fold(part(f64::from(self.memory_mb), f64::from(total.memory_mb)), f64::max)
    }

    pub(crate) fn gb(&self) -> f64 {
        f64::from(self.memory_mb) / 1024.0
    }
}

bitflags! {
    /// How the instances of a function are kept separate.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
    pub struct Separation: u8 {
        /// No two on one host while there are enough hosts.
        const HOST = 1;
        /// No zone with more than its even share.
        const ZONE = 2;
    }
}

/// A host of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub total: Resources,
    /// As reported by the host. Used only where it is less than `total` minus the instances known to run
    /// there.
    pub free: Resources,
    /// False while it drains: no instance is placed there, and its instances should leave.
    pub up: bool,
}

/// A function as the planner needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    pub name: String,
    /// Resources of one instance.
    pub size: Resources,
    /// Its calls cannot wait: it never falls below `required`, and it moves within its home zone.
    pub urgent: bool,
    /// Instances that it needs now to meet its latency target.
    pub required: u32,
    /// Instances that the autoscaler wants to keep; surplus ones are stopped instead of moved.
    pub desired: u32,
    /// Mean duration of a start, ms.
    pub boot_ms: u32,
    pub separation: Separation,
}

/// A running instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub id: String,
    pub function: String,
    pub host: String,
    /// Slots in use, smoothed.
    pub load: f32,
    /// Time since its start; young instances are not moved, as the cost of their start was paid only
    /// recently.
    pub age: Duration,
    /// The zone from which most of its calls come.
    pub home_zone: String,
    /// False while it starts, ends or is already being moved.
    pub movable: bool,
}

/// Input of the planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub functions: Vec<Function>,
    pub instances: Vec<Instance>,
    /// Starts that are expected soon; each should find free capacity of this size on one host.
    pub expected_starts: Vec<Resources>,
}

/// Costs, in units of the value of one call, and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// Cost of a GB of an instance for a second. During a move both instances are paid for.
    pub instance_cost_gb_s: f64,
    /// Cost of a GB of a host that is in use, for a second. 0 where hosts cost nothing: then no host is
    /// emptied to save cost.
    pub host_cost_gb_s: f64,
    /// Cost of a start.
    pub start_cost: f64,
    /// Cost of one busy slot whose calls cross zones, for a second.
    pub crossing_cost_s: f64,
    /// Time over which savings count.
    pub horizon: Duration,
    /// Time between the end of the old instance's allocation and its stop, for the cost of a move.
    pub stop_delay: Duration,
    /// Maximum moves of one plan.
    pub max_moves: usize,
    /// Instances younger than this are not moved, unless their host drains.
    pub min_age: Duration,
    /// Instances of functions whose calls can wait may be stopped before the new one starts, where there is
    /// no free capacity for both.
    pub allow_break_before_make: bool,
    /// Placements that the restarts of the search may examine, after one run of each of the other strategies.
    pub max_probes: u64,
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings {
            instance_cost_gb_s: 1.1,
            host_cost_gb_s: 0.0,
            start_cost: 0.19,
            crossing_cost_s: 0.08,
            horizon: Duration::from_secs(600),
            stop_delay: Duration::from_secs(2),
            max_moves: 24,
            min_age: Duration::from_secs(20),
            allow_break_before_make: true,
            max_probes: 1_000_000,
        }
    }
}

/// Why an instance moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Its host drains.
    Drain,
    /// Too many instances of an urgent function on one host or in one zone.
    Apart,
    /// To make room for an expected start.
    Hole,
    /// To empty its host.
    Empty,
    /// More instances than desired.
    Surplus,
}

/// Order of the old and the new instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The new instance serves before the old one is released. The only mode for urgent functions.
    MakeBeforeBreak,
    /// The old instance is stopped first; the new one starts after the move with this index has ended. Used
    /// where two instances need each other's capacity.
    BreakBeforeMake { begin_after: usize },
}

/// The move of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    pub instance: String,
    pub function: String,
    pub from: String,
    /// `None`: the instance is surplus and is stopped.
    pub to: Option<String>,
    /// Resources that the new instance needs at `to` while the old one still occupies its own at `from`.
    pub reserved: Resources,
    pub mode: Mode,
    pub reason: MoveReason,
    pub urgent: bool,
}

/// Quality of a placement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetMetrics {
    /// Instances of urgent functions on draining hosts.
    pub exposed: u32,
    /// Instances of urgent functions beyond what [`Separation`] allows.
    pub colocated: u32,
    /// Expected starts for which no host has enough free capacity.
    pub unplaced_starts: u32,
    /// Memory of the hosts that are in use, MB.
    pub open_mb: u64,
    /// Memory of the instances, MB.
    pub used_mb: u64,
    pub open_hosts: u32,
}

/// Moves in the order in which they begin. Each begins once its capacity is free; none needs capacity that is
/// released by a later one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub moves: Vec<Move>,
    pub before: FleetMetrics,
    pub after: FleetMetrics,
    /// Memory occupied by both instances during the moves, MB·s, estimated from the functions' mean start
    /// times.
    pub overlap_mb_s: u64,
    pub starts: u32,
    /// Savings within the horizon minus the cost of the moves, in units of the value of one call. The value
    /// of room for starts, of leaving draining hosts and of separation is not included.
    pub saving: f64,
    /// The most memory reserved for new instances on one host, MB.
    pub peak_reserved_mb: u32,
}
