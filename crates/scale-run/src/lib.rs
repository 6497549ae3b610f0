//! Measures what each role of the system costs as the number of schedulers grows: messages, bytes, processor
//! time, memory.
//!
//! There are two kinds of runs. The *component* runs ([`peer_sampling`], [`autoscaler`], [`slots`],
//! [`configuration`], [`distribution`]) drive the system's decision logic on virtual time in this process, at
//! any size. The *live* run ([`live`]) starts real controllers as processes, and real agents that share this
//! process, each with a loopback address of its own and a hollow proxy (one that only speaks the protocol),
//! and measures them over real sockets. [`cold`] breaks down the latency of cold starts of real processes.
//!
//! All figures are for the given size: `schedulers` proxies with their agents, and in proportion
//! [`Size::functions`] and [`Size::instances`], as in the target size of `docs/CAPACITY.md`.

pub mod autoscaler;
pub mod cold;
pub mod configuration;
pub mod distribution;
pub mod hollow;
pub mod live;
pub mod peer_sampling;
pub mod processes;
pub mod report;
pub mod slots;
pub mod sockets;
pub mod usage;

/// Schedulers, functions and instances at the target size.
pub const TARGET: Size = Size { schedulers: 630, functions: 17_000, instances: 44_000 };

/// The size of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    pub schedulers: usize,
    pub functions: usize,
    pub instances: usize,
}

impl Size {
    /// A deployment of this many schedulers, with functions and instances in the proportions of the target
    /// size.
    pub fn of(schedulers: usize) -> Size {
        let share = |whole: usize| (whole * schedulers).div_ceil(TARGET.schedulers).max(1);
        Size { schedulers, functions: share(TARGET.functions), instances: share(TARGET.instances) }
    }

    /// The name of a function by its number.
    pub fn function(number: usize) -> String {
        format!("function-{number:05}")
    }

    /// The zone that the machine of this number is in.
    pub fn zone(number: usize) -> &'static str {
        ZONES[number % ZONES.len()].0
    }
}

/// Zones with their regions, as at the target size.
pub const ZONES: [(&str, &str); 6] = [
    ("east-a", "east"),
    ("east-b", "east"),
    ("east-c", "east"),
    ("west-a", "west"),
    ("west-b", "west"),
    ("west-c", "west"),
];
