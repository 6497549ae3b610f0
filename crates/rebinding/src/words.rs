//! What goes into the planner and what comes out.

use std::time::Duration;

use bitflags::bitflags;

/// Kinds of accelerator slices that a fleet may name; the caller gives each kind a place.
pub const SLICE_KINDS: usize = 3;

/// A vector of resources: memory in MB, and whole slices of accelerators by kind. A platform without accelerators
/// leaves the slices at 0 everywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Resources {
    pub memory_mb: u32,
    pub slices: [u16; SLICE_KINDS],
}

impl Resources {
    pub const fn mb(memory_mb: u32) -> Resources {
        Resources { memory_mb, slices: [0; SLICE_KINDS] }
    }

    /// Whether `other` has at least this much of everything.
    pub fn fits(&self, other: &Resources) -> bool {
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

    /// Never below 0: reports of hosts may contradict what is known to run there.
    pub fn less(&self, other: &Resources) -> Resources {
        let mut m = *self;
        m.memory_mb = m.memory_mb.saturating_sub(other.memory_mb);
        for (a, b) in m.slices.iter_mut().zip(&other.slices) {
            *a = a.saturating_sub(*b);
        }
        m
    }

    /// Of each the smaller.
    pub fn least(&self, other: &Resources) -> Resources {
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

    /// Of the scarcest resource, the share of `whole` that this is: the size by which instances are ordered.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        let slices = self.slices.iter().zip(&whole.slices).map(|(a, b)| part(f64::from(*a), f64::from(*b)));
        slices.fold(part(f64::from(self.memory_mb), f64::from(whole.memory_mb)), f64::max)
    }

    pub(crate) fn gb(&self) -> f64 {
        f64::from(self.memory_mb) / 1024.0
    }
}

bitflags! {
    /// What the instances of a function are kept apart by.
    #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
    pub struct Separation: u8 {
        /// No two on one host while there are hosts enough.
        const HOST = 1;
        /// No zone with more than its even part.
        const ZONE = 2;
    }
}

/// A host of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub total: Resources,
    /// As the host reports it. Believed only where it is less than `whole` without what is known to run there.
    pub free: Resources,
    /// False while it drains: nothing goes there, and what is there should leave.
    pub up: bool,
}

/// A function as the planner needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Function {
    pub name: String,
    /// What one instance takes.
    pub size: Resources,
    /// Its calls cannot wait: it is never under its need, and moves within the zone of its lender.
    pub urgent: bool,
    /// Instances without which it would be late, now.
    pub required: u32,
    /// Instances the scaler wants to keep; those beyond are let go instead of moved.
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
    /// Slots lent, smoothed.
    pub load: f32,
    /// Since its start; the youngest are moved last, as their start was paid just now.
    pub age: Duration,
    /// Where the calls come from that it mostly serves.
    pub home_zone: String,
    /// It may be moved: false while it starts, ends, or is moved already.
    pub movable: bool,
}

/// All that is planned from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub functions: Vec<Function>,
    pub instances: Vec<Instance>,
    /// Starts to be expected soon, each of which should find a hole of its own.
    pub expected_starts: Vec<Resources>,
}

/// Prices and bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSettings {
    /// A GB of an instance for a second, in the worth of a call. Old and new are both paid during a move.
    pub instance_cost_gb_s: f64,
    /// A GB of a host that holds anything, for a second. 0 where hosts cost nothing: then no host is emptied to save.
    pub host_cost_gb_s: f64,
    /// A start.
    pub start_cost: f64,
    /// A second for which one more busy slot crosses zones.
    pub crossing_cost_s: f64,
    /// Savings count for so long.
    pub horizon: Duration,
    /// The old one's time between the end of lending and its stop, for the price of a move.
    pub stop_delay: Duration,
    /// Moves in one plan, at most.
    pub max_moves: usize,
    /// Instances younger than this stay, unless their host drains.
    pub min_age: Duration,
    /// Functions that can wait may be stopped before the new one begins where there is no room for both.
    pub allow_break_before_make: bool,
    /// Placements that the search's restarts may look at, after one run of each of the other ways.
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
    /// Too many of an urgent function together.
    Apart,
    /// A hole for a start that is expected.
    Hole,
    /// To empty its host.
    Empty,
    /// More than wanted.
    Surplus,
}

/// How the old and the new one follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The new one serves before the old one lends no more. Urgent functions have no other.
    MakeBeforeBreak,
    /// Stopped first, begun after the move with this number has ended: two that need each other's room.
    BreakBeforeMake { begin_after: usize },
}

/// One instance, one way.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    pub instance: String,
    pub function: String,
    pub from: String,
    /// `None`: let go, as there are more than wanted.
    pub to: Option<String>,
    /// Room that the new one takes at `to`, on top of what is there, while the old one still has its own at `from`.
    pub reserved: Resources,
    pub mode: Mode,
    pub reason: MoveReason,
    pub urgent: bool,
}

/// What a fleet amounts to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetMetrics {
    /// Instances of urgent functions on draining hosts.
    pub exposed: u32,
    /// Instances of urgent functions beyond what [`Apart`] allows.
    pub colocated: u32,
    /// Expected starts without a hole.
    pub unplaced_starts: u32,
    /// Memory of hosts that hold anything, MB.
    pub open_mb: u64,
    /// Memory of instances, MB.
    pub used_mb: u64,
    pub open_hosts: u32,
}

/// Moves in the order in which they begin. Each begins when its room is there; none needs room that a later one leaves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub moves: Vec<Move>,
    pub before: FleetMetrics,
    pub after: FleetMetrics,
    /// MB·s for which old and new both run, by the functions' mean starts.
    pub overlap_mb_s: u64,
    pub starts: u32,
    /// What is saved within the horizon, less what the moves cost, in the worth of a call. Holes, drains and apartness
    /// are not in it.
    pub saving: f64,
    /// The greatest room taken meanwhile on one host, MB.
    pub peak_reserved_mb: u32,
}
