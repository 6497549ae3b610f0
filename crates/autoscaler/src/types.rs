//! Types of the autoscaler's inputs and outputs.

use std::net::SocketAddr;
use std::time::Duration;

/// Properties of the platform, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Every zone with its region.
    pub zones: Vec<(String, String)>,
    /// How long a draining instance keeps serving.
    pub drain: Duration,
    /// After this long the address of an ended instance may belong to another service.
    pub address_reuse: Duration,
    /// Starts and stops a second that the platform allows to all schedulers together.
    pub call_rate: f64,
    /// Maximum delay of the platform's lists.
    pub list_lag: Duration,
}

/// A service of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    /// Memory of one instance, MB.
    pub memory_mb: u32,
    /// Mean duration of a start, ms.
    pub boot_ms: u32,
    /// Maximum concurrent calls of one instance.
    pub max_inflight: u32,
    /// Smallest `target_latency_ms` of its routes.
    pub target_ms: u32,
    /// Most urgent (smallest) priority of its routes.
    pub priority: u8,
    /// Whether any route leads to it.
    pub routed: bool,
}

/// A host as listed by `GET /v1/workers`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    pub name: String,
    pub zone: String,
    /// Total MB.
    pub memory_mb: u32,
    /// MB free when the report was taken.
    pub free_memory_mb: u32,
    /// False while it drains; a host that is down is not listed.
    pub up: bool,
}

/// An instance as listed by `GET /instances`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub host: String,
    pub draining: bool,
}

/// Demand for a service, reported by the slot allocator of a zone every 250 ms and at once when a call finds
/// no free slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub service: String,
    pub zone: String,
    /// Arrivals a second, smoothed over about 1 s.
    pub rate: f32,
    /// Slots in use, smoothed over about 0.5 s.
    pub busy: f32,
    /// Highest number of slots needed (in use + waiting) in the last second.
    pub peak: u16,
    /// Calls waiting now.
    pub waiting: u16,
    /// Mean time a slot is in use, ms; 0 while unknown.
    pub run_ms: f32,
    /// Time since the last call, ms.
    pub idle_ms: u32,
    /// Zones of the proxies that have the calls, with their shares; if empty, all calls are from the
    /// allocator's zone. Slots are requested in the zones of the instances, so the allocator's zone does not
    /// show where instances are needed.
    pub origins: Vec<(String, f32)>,
}

/// State in the life cycle of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// Started, but not known to accept connections.
    Starting,
    Ready,
    /// The platform is removing it; it serves for [`PlatformSettings::drain`] after it is first listed as
    /// draining.
    Draining,
    /// To be stopped: its slots are no longer allocated.
    Ending,
}

/// One instance, as announced to the schedulers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub host: String,
    /// When it was started or first seen, ms on the clock of the lease holder that announces it.
    pub since_ms: u64,
    pub state: InstanceState,
    /// The instance that it replaces, while it is the target of a move; the next lease holder continues the
    /// move from this.
    pub replaces: Option<String>,
    /// Raised with each change of the entry; also grows from one lease holder to the next.
    pub version: u64,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// `POST /v1/begin`; its response goes to [`crate::Scaler::start_answered`].
    Begin { token: u64, service: String, host: String, nonce: String },
    /// `POST /v1/stop`; its response goes to [`crate::Scaler::stop_answered`].
    Stop { token: u64, instance: String },
}

/// The platform's response to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartResult {
    Started {
        instance: String,
        address: SocketAddr,
    },
    /// Status 409: the host has too little free memory.
    NoCapacity,
    /// Status 429.
    RateLimited,
    /// Status 400: the platform does not know the service.
    UnknownService,
    /// No response or an unreadable one: the start may have been executed.
    OutcomeUnknown,
}

/// Parameters of the autoscaler's decisions. Costs are in units of the value of one call.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Interval between full passes over all services.
    pub pass_interval: Duration,
    /// How long a demand report is valid.
    pub demand_ttl: Duration,
    /// A service may scale to zero only if its latency target is at least `boot_ms` times this ...
    pub scale_to_zero_factor: f64,
    /// ... plus this many ms.
    pub scale_to_zero_margin_ms: f64,
    /// Instances without traffic, for a service that cannot scale to zero.
    pub min_instances: u32,
    /// The same during the first `early_traffic` of its traffic.
    pub min_instances_early: u32,
    pub early_traffic: Duration,
    /// Spare slots, as a multiple of the square root of the busy ones.
    pub spare_factor: f64,
    /// All spare slots are kept where the latency target is at most this many run times. Beyond that their
    /// number shrinks, down to a share of `min_spare_share`.
    pub spare_runs: f64,
    pub min_spare_share: f64,
    /// Share of the reported peak for which slots are provided.
    pub peak_share: f64,
    /// Waiting calls are to be worked off within this share of the latency target ...
    pub catch_up_share: f64,
    /// ... with at most this many extra slots for each busy one.
    pub max_catch_up_slots: f64,
    /// A zone gets a local instance if it keeps this share of its slots busy.
    pub local_instance_share: f64,
    /// Target utilization of the slots of a service that may scale to zero.
    pub utilization: f64,
    /// Cost of a call that crosses zones.
    pub cross_zone_cost: f64,
    /// Cost of a start.
    pub start_cost: f64,
    /// Mean cost of the delay of the call that waits for a start.
    pub start_delay_cost: f64,
    /// Cost of a GB of memory for a second.
    pub memory_cost_gb_s: f64,
    /// Bounds of the idle window.
    pub idle_window_min: Duration,
    pub idle_window_max: Duration,
    /// How long fewer instances must suffice before one is stopped: for services that cannot scale to zero,
    /// and for others.
    pub scale_down_after: Duration,
    pub scale_down_after_to_zero: Duration,
    /// Interval between two rounds of stops of one service.
    pub scale_down_interval: Duration,
    /// How long a zone must lack its local instance before one is started there.
    pub local_start_after: Duration,
    /// Minimum time between `Ending` and the stop; three mean run times if that is longer ...
    pub stop_delay: Duration,
    /// ... but at most this.
    pub max_stop_delay: Duration,
    /// For this long a reported loss takes precedence over the platform's list.
    pub loss_ttl: Duration,
    /// Delay before a call with an unknown outcome is repeated; grows with each attempt up to four times
    /// this.
    pub retry_delay: Duration,
    /// After this long without a response the outcome of a call counts as unknown.
    pub call_timeout: Duration,
    /// Maximum concurrent starts.
    pub max_pending_starts: usize,
    /// Share of [`PlatformSettings::call_rate`] that is used.
    pub call_rate_share: f64,
    /// A new lease holder that inherited nothing starts instances only for waiting calls during this time.
    pub settle_delay: Duration,
}

impl Default for Tuning {
    fn default() -> Tuning {
        let ms = Duration::from_millis;
        Tuning {
            pass_interval: ms(250),
            demand_ttl: ms(1500),
            scale_to_zero_factor: 1.3,
            scale_to_zero_margin_ms: 100.0,
            min_instances: 1,
            min_instances_early: 1,
            early_traffic: ms(6000),
            spare_factor: 1.0,
            spare_runs: 5.0,
            min_spare_share: 0.3,
            peak_share: 0.8,
            catch_up_share: 0.25,
            max_catch_up_slots: 0.5,
            local_instance_share: 0.45,
            utilization: 0.7,
            cross_zone_cost: 0.08,
            start_cost: 0.19,
            start_delay_cost: 0.15,
            memory_cost_gb_s: 1.1,
            idle_window_min: ms(700),
            idle_window_max: ms(20_000),
            scale_down_after: ms(3000),
            scale_down_after_to_zero: ms(2000),
            scale_down_interval: ms(1000),
            local_start_after: ms(6000),
            stop_delay: ms(400),
            max_stop_delay: ms(6000),
            loss_ttl: ms(10_000),
            retry_delay: ms(300),
            call_timeout: ms(3000),
            max_pending_starts: 128,
            call_rate_share: 0.8,
            settle_delay: ms(1500),
        }
    }
}

impl Tuning {
    /// Whether a call can wait for a start and still meet its latency target.
    pub fn scales_to_zero(&self, s: &Service) -> bool {
        f64::from(s.target_ms)
            >= self.scale_to_zero_factor * f64::from(s.boot_ms) + self.scale_to_zero_margin_ms
    }

    /// How long an idle instance is kept at this smoothed rate of calls a second: until its memory has cost
    /// as much as a new start, and only for the minimum where calls are known to be rare.
    pub fn idle_window(&self, s: &Service, rate: f64) -> Duration {
        let cost_per_s = self.memory_cost_per_s(s);
        let boot = cost_per_s * f64::from(s.boot_ms) / 1e3;
        let secs = (self.start_cost + self.start_delay_cost + boot) / cost_per_s;
        let (low, high) = (self.idle_window_min.as_secs_f64(), self.idle_window_max.as_secs_f64());
        let secs = if self.worth_keeping(s, 2.0 * rate) { secs } else { low };
        Duration::from_secs_f64(secs.max(low).min(high.max(low)))
    }

    /// Whether calls are so frequent that keeping an instance is cheaper than starting one for each call.
    pub fn worth_keeping(&self, s: &Service, rate: f64) -> bool {
        rate * (self.start_cost + self.start_delay_cost) > self.memory_cost_per_s(s)
    }

    pub(crate) fn memory_cost_per_s(&self, s: &Service) -> f64 {
        (f64::from(s.memory_mb) / 1024.0 * self.memory_cost_gb_s).max(1e-6)
    }
}
