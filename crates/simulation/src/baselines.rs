//! Alternative slot sharing and instance ranking, for comparison in the simulator only.

use crate::messages::{hash, Listed};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use tindock_autoscaler::Demand;
use tindock_slot_allocation::selection::{self, Energy, IndexInputs, Score};

/// How proxies share the slots of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Slots are allocated by their owners, as in the system processes.
    #[default]
    Loans,
    /// Each proxy has a fixed share of the slots and uses no others.
    Fixed,
    /// Each proxy treats all slots as its own; workers reject the excess and proxies retry.
    Alone,
    /// Slot allocation with instant, lossless messages and instantly known membership: an upper bound.
    AllSeeing,
}

impl Sharing {
    pub const ALL: [Sharing; 4] = [Sharing::Loans, Sharing::Fixed, Sharing::Alone, Sharing::AllSeeing];

    /// Whether each proxy allocates slots only to itself.
    pub fn is_single(self) -> bool {
        matches!(self, Sharing::Fixed | Sharing::Alone)
    }

    /// Slots that a proxy may use on each instance it has a share of.
    pub fn slots(self, slots: usize, proxies: usize) -> usize {
        match self {
            Sharing::Fixed => (slots / proxies.max(1)).max(1),
            Sharing::Loans | Sharing::Alone | Sharing::AllSeeing => slots,
        }
    }

    /// Whether the proxy at `local` has a share of this instance. With fewer slots than proxies only some
    /// have one.
    pub fn uses_instance(self, listed: &Listed, slots: usize, local: IpAddr, proxies: &[IpAddr]) -> bool {
        if self != Sharing::Fixed || slots >= proxies.len() {
            return true;
        }
        let Some(position) = proxies.iter().position(|proxy| *proxy == local) else { return false };
        let first = hash(&listed.instance) as usize % proxies.len();
        (position + proxies.len() - first) % proxies.len() < slots
    }
}

/// How a slot owner ranks instances that start more slowly than they serve (delta < mu). Where delta > mu,
/// all rankings use the index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ranking {
    /// The index's limit at the boundary of its valid range, as in the system processes.
    #[default]
    Limit,
    /// Cost that a request adds to waiting if later requests are split evenly.
    OneStep,
    /// The index without setup time, as if every instance had started.
    NoSetup,
    /// Fewest requests in flight.
    Fewest,
    Random,
}

impl Ranking {
    pub const ALL: [Ranking; 5] =
        [Ranking::Limit, Ranking::OneStep, Ranking::NoSetup, Ranking::Fewest, Ranking::Random];

    pub fn score(self) -> Score {
        match self {
            Ranking::Limit => selection::index,
            Ranking::OneStep => |inputs| unless_start_is_faster(inputs, one_step),
            Ranking::NoSetup => |inputs| {
                unless_start_is_faster(inputs, |inputs| {
                    selection::index(&IndexInputs { delta: 1e9, ..*inputs })
                })
            },
            Ranking::Fewest => |inputs| unless_start_is_faster(inputs, |inputs| inputs.n as f64),
            Ranking::Random => |inputs| unless_start_is_faster(inputs, |_| 0.0),
        }
    }
}

fn unless_start_is_faster(inputs: &IndexInputs, score: Score) -> f64 {
    if inputs.delta < inputs.mu {
        score(inputs)
    } else {
        selection::index(inputs)
    }
}

/// One step of policy iteration from an even split, for a queue that sleeps when empty and needs 1/delta to
/// wake up: v(n, setup) = n/delta + n(n+1)/2(mu-l) and v(n, busy) = n(n+1)/2(mu-l) - n l/(delta(mu-l)), where
/// l is the queue's share of lambda.
fn one_step(inputs: &IndexInputs) -> f64 {
    let queue_load = (inputs.lambda / inputs.instances.max(1) as f64).min(0.95 * inputs.mu);
    let (wait, up, n) = (1.0 / (inputs.mu - queue_load), 1.0 / inputs.delta, inputs.n as f64 + 1.0);
    let added = match inputs.energy {
        Energy::Off => up + wait,
        Energy::Setup => up + n * wait,
        // Immediate service, which the published queue model lacks.
        Energy::Busy if inputs.n == 0 => 1.0 / inputs.mu,
        Energy::Busy => (n - queue_load * up) * wait,
    };
    inputs.lambda * added
}

/// Adds up the demand of single proxies by zone, since the autoscaler expects one report per zone.
#[derive(Default)]
pub struct DemandTotals {
    reports: BTreeMap<(String, String), BTreeMap<usize, (Duration, Demand)>>,
}

/// A proxy without a report for this long counts as having no demand.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(2);

impl DemandTotals {
    pub fn combine(&mut self, now: Duration, edge: usize, demand: Demand) -> Demand {
        let by_edge = self.reports.entry((demand.service.clone(), demand.zone.clone())).or_default();
        by_edge.insert(edge, (now, demand.clone()));
        by_edge.retain(|_, (at, _)| *at + DEMAND_TIMEOUT > now);
        let mut all = Demand { rate: 0.0, busy: 0.0, peak: 0, waiting: 0, idle_ms: u32::MAX, ..demand };
        for (_, one) in by_edge.values() {
            all.rate += one.rate;
            all.busy += one.busy;
            all.peak = all.peak.saturating_add(one.peak);
            all.waiting = all.waiting.saturating_add(one.waiting);
            all.idle_ms = all.idle_ms.min(one.idle_ms);
        }
        all
    }
}
