//! What goes in and what comes out.

use std::net::SocketAddr;
use std::time::Duration;

/// What the settings say of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Every zone with its region.
    pub zones: Vec<(String, String)>,
    /// How long a draining instance goes on serving.
    pub drain: Duration,
    /// An ended instance's address may belong to another service after this long.
    pub address_reuse: Duration,
    /// Starts and stops a second which the platform allows to all schedulers together.
    pub call_rate: f64,
    /// How late the platform's lists may be.
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
    /// Calls that one instance may hold at once.
    pub max_inflight: u32,
    /// Smallest `target_latency_ms` of its routes.
    pub target_ms: u32,
    /// Most urgent (smallest) priority of its routes.
    pub priority: u8,
    /// Whether a route leads to it.
    pub routed: bool,
}

/// A host as `GET /v1/workers` tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    pub name: String,
    pub zone: String,
    /// MB in whole.
    pub memory_mb: u32,
    /// MB free when the report was taken.
    pub free_memory_mb: u32,
    /// False while it drains; one that is down is not told at all.
    pub up: bool,
}

/// An instance as `GET /instances` tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub host: String,
    pub draining: bool,
}

/// What the lender of a zone says of a service, every 250 ms and at once when a call finds no slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    pub service: String,
    pub zone: String,
    /// Arrivals a second, smoothed over about 1 s.
    pub rate: f32,
    /// Slots lent, smoothed over about 0.5 s.
    pub busy: f32,
    /// Most slots wanted (lent + waiting) in the last second.
    pub peak: u16,
    /// Calls waiting now.
    pub waiting: u16,
    /// Mean time a slot is held, ms; 0 while unknown.
    pub run_ms: f32,
    /// Time since the last call, ms.
    pub idle_ms: u32,
    /// Zones of the desks that have the calls, with their shares; with none, all are of the lender's zone. Calls cross to where
    /// the instances are, so the lender's zone says nothing of where they are wanted.
    pub origins: Vec<(String, f32)>,
}

/// Where an instance is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// Begun, and not known to accept connections.
    Starting,
    Ready,
    /// The platform takes it away; it serves for `drain` from its first listing as such.
    Draining,
    /// To be stopped: lend no more slots of it.
    Ending,
}

/// One instance, as it is told to the schedulers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub host: String,
    /// When it was begun or first heard of, ms on the clock of the holder that tells it.
    pub since_ms: u64,
    pub state: InstanceState,
    /// While it is moved: the instance that it is to stand in for. A next holder goes on from there.
    pub replaces: Option<String>,
    /// Changes with each change of the entry; grows over holders too.
    pub version: u64,
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// `POST /v1/begin`; the answer goes to [`crate::Scaler::start_answered`].
    Begin { token: u64, service: String, host: String, nonce: String },
    /// `POST /v1/stop`; the answer goes to [`crate::Scaler::stop_answered`].
    Stop { token: u64, instance: String },
}

/// How a start was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartResult {
    Started {
        instance: String,
        address: SocketAddr,
    },
    /// 409.
    NoCapacity,
    /// 429.
    RateLimited,
    /// 400.
    UnknownService,
    /// No answer, or none that can be read: it may have been done.
    OutcomeUnknown,
}

/// The scaler's judgement in figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// A full pass over all services happens this often.
    pub pass: Duration,
    /// What was told of demand counts for this long.
    pub told_lasts: Duration,
    /// A service sleeps only if its target is at least `boot_ms` times this ...
    pub sleep_factor: f64,
    /// ... plus this many ms.
    pub sleep_margin_ms: f64,
    /// Instances of a service that cannot sleep, with no traffic.
    pub floor: u32,
    /// The same in its first `early` of traffic.
    pub early_floor: u32,
    pub early: Duration,
    /// Slots above the busy ones, in roots of the busy ones.
    pub spare: f64,
    /// The spare is whole where the target is at most this many runs, and shrinks beyond, not below
    /// `spare_least` of it.
    pub spare_runs: f64,
    pub spare_least: f64,
    /// How much of the told peak is provided for.
    pub peak_share: f64,
    /// Waiting calls are to be caught up within this share of the target.
    pub catch_up: f64,
    /// ... with at most this many slots for each busy one.
    pub catch_up_most: f64,
    /// A zone has an instance of its own if it keeps this share of the slots busy.
    pub own_zone: f64,
    /// Share of its slots that a service which may sleep keeps busy.
    pub used: f64,
    /// Price of a call that crosses zones, in the worth of a call.
    pub crossing_cost: f64,
    /// Worth of a start.
    pub start_cost: f64,
    /// Worth lost, on average, by the call that waits for a start.
    pub late_risk_cost: f64,
    /// Price of a GB of memory for a second.
    pub memory_gb_s: f64,
    /// Bounds of the idle window.
    pub window_min: Duration,
    pub window_max: Duration,
    /// How long fewer must suffice before one is stopped: services that cannot sleep, and others.
    pub lower_after: Duration,
    pub lower_after_sleeper: Duration,
    /// Pause between two rounds of stops of one service.
    pub lower_again: Duration,
    /// How long a zone must lack its own instance before one moves there.
    pub move_after: Duration,
    /// Least time between `Ending` and the stop; three mean calls if that is longer ...
    pub ending: Duration,
    /// ... but not above this.
    pub ending_max: Duration,
    /// A reported loss is believed over the list for this long.
    pub gone_lasts: Duration,
    /// An unclear call is repeated after this long, growing to four times.
    pub repeat: Duration,
    /// A call without an answer counts as unclear after this long.
    pub answer: Duration,
    /// Starts under way to the platform at once.
    pub under_way: usize,
    /// Share of `duty_rate` that is used.
    pub duty_share: f64,
    /// A new holder that was told nothing starts nothing without a waiting call for this long.
    pub settle: Duration,
}

impl Default for Tuning {
    fn default() -> Tuning {
        let ms = Duration::from_millis;
        Tuning {
            pass: ms(250),
            told_lasts: ms(1500),
            sleep_factor: 1.3,
            sleep_margin_ms: 100.0,
            floor: 1,
            early_floor: 1,
            early: ms(6000),
            spare: 1.0,
            spare_runs: 5.0,
            spare_least: 0.3,
            peak_share: 0.8,
            catch_up: 0.25,
            catch_up_most: 0.5,
            own_zone: 0.45,
            used: 0.7,
            crossing_cost: 0.08,
            start_cost: 0.19,
            late_risk_cost: 0.15,
            memory_gb_s: 1.1,
            window_min: ms(700),
            window_max: ms(20_000),
            lower_after: ms(3000),
            lower_after_sleeper: ms(2000),
            lower_again: ms(1000),
            move_after: ms(6000),
            ending: ms(400),
            ending_max: ms(6000),
            gone_lasts: ms(10_000),
            repeat: ms(300),
            answer: ms(3000),
            under_way: 128,
            duty_share: 0.8,
            settle: ms(1500),
        }
    }
}

impl Tuning {
    /// Whether a call can wait for a start and still be in time.
    pub fn sleeps(&self, s: &Service) -> bool {
        f64::from(s.target_ms) >= self.sleep_factor * f64::from(s.boot_ms) + self.sleep_margin_ms
    }

    /// How long an idle instance is kept, with this smoothed rate of calls (a second): until its memory has cost what a
    /// new start would; shorter where calls are known to be rare, since the next one is then far.
    pub fn window(&self, s: &Service, rate: f64) -> Duration {
        let a_second = self.memory_a_second(s);
        let boot = a_second * f64::from(s.boot_ms) / 1e3;
        let secs = (self.start_cost + self.late_risk_cost + boot) / a_second;
        let (low, high) = (self.window_min.as_secs_f64(), self.window_max.as_secs_f64());
        let secs = if self.keeps(s, 2.0 * rate) { secs } else { low };
        Duration::from_secs_f64(secs.max(low).min(high.max(low)))
    }

    /// Whether calls come so often that an instance is cheaper kept than started for each.
    pub fn keeps(&self, s: &Service, rate: f64) -> bool {
        rate * (self.start_cost + self.late_risk_cost) > self.memory_a_second(s)
    }

    pub(crate) fn memory_a_second(&self, s: &Service) -> f64 {
        (f64::from(s.memory_mb) / 1024.0 * self.memory_gb_s).max(1e-6)
    }
}
