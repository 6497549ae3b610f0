//! How many instances a service needs, and in which zones.

use crate::types::{Service, Tuning};

/// Validated demand for a service from one zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneDemand {
    pub zone: String,
    /// Arrivals a second.
    pub rate: f64,
    /// Rise of the rate over the last second, beyond its noise.
    pub rate_increase: f64,
    /// Slots in use, averaged over about 0.5 s and over about 4 s.
    pub busy: f64,
    pub sustained_busy: f64,
    /// Arrivals a second, averaged over about 8 s.
    pub sustained_rate: f64,
    pub peak: f64,
    pub waiting: f64,
    /// Mean time a slot is in use, ms; 0 while unknown.
    pub run_ms: f64,
}

/// The number of instances a service should have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredInstances {
    pub total: u32,
    /// By zone; the sum is `total`. Zones without instances are left out.
    pub zones: Vec<(String, u32)>,
    /// Zones whose sustained demand justifies local instances, with their number.
    pub local: Vec<(String, u32)>,
}

impl DesiredInstances {
    pub(crate) fn in_zone(&self, zone: &str) -> u32 {
        self.zones.iter().find(|z| z.0 == zone).map_or(0, |z| z.1)
    }
}

/// Upper bound of the instances of one service.
const MAX_INSTANCES: f64 = 4096.0;

/// The instances that `demands` needs, with at least `floor`; without demand these go to `default_zones` in
/// turn.
pub fn desired_instances(
    tuning: &Tuning,
    s: &Service,
    demands: &[ZoneDemand],
    floor: u32,
    default_zones: &[String],
) -> DesiredInstances {
    let slots = f64::from(s.max_inflight.max(1));
    let target = f64::from(s.target_ms.max(1));
    let (mut busy, mut extra, mut peak) = (0.0, 0.0, 0.0);
    let mut shares = Vec::with_capacity(demands.len());
    let (mut catch_up_slots, mut work, mut in_use) = (0.0, 0.0, 0.0);
    for p in demands {
        let run = if p.run_ms > 0.0 { p.run_ms } else { (target / 5.0).min(300.0) };
        // The rate shows a rise earlier than the slots in use, and stays valid while slots are lacking. While
        // a backlog is worked off more slots are in use than will be needed, so `busy` is capped a little
        // above the rate.
        let by_rate = p.rate * run / 1e3;
        let most = if p.run_ms > 0.0 { 1.3 * by_rate + 1.0 } else { f64::MAX };
        let b = p.busy.min(most).max(by_rate);
        let growth = (p.rate_increase * f64::from(s.boot_ms) / 1e3 * run / 1e3).min(b.max(1.0));
        // Slots to work off the waiting calls. Calls that gather during a start need not all be served at
        // once.
        let catch_up = p.waiting * run / (target * tuning.catch_up_share).max(run).max(1.0);
        let zone_catch_up = catch_up.min(b * tuning.max_catch_up_slots).max(p.waiting.min(1.0));
        busy += b;
        in_use += p.busy;
        work += b * run;
        extra += growth + zone_catch_up;
        catch_up_slots += zone_catch_up;
        peak += p.peak;
        let share = b + growth + zone_catch_up;
        shares.push(if tuning.scales_to_zero(s) { share.min(p.peak.max(p.busy)) } else { share });
    }
    // A call whose latency target is many run times may wait for a slot, so that fewer spare slots are
    // needed.
    let spare_scale = if busy > 0.0 {
        (tuning.spare_runs * work / busy / target).clamp(tuning.min_spare_share, 1.0)
    } else {
        1.0
    };
    let spare = spare_scale * busy.sqrt();
    let need = if tuning.scales_to_zero(s) {
        // Calls that can wait for a start can wait for a slot: no spare slots, and one call does not justify
        // a second instance. A waiting call is already part of the peak and of the rate; counting it three
        // times started two or three instances for it.
        (busy / tuning.utilization)
            .max(in_use + catch_up_slots)
            .max(peak.min(1.0))
            .min(peak.max(in_use).max(1.0))
    } else {
        let need = busy + extra + tuning.spare_factor * spare;
        let need = need.max((tuning.peak_share * peak).min(busy + catch_up_slots + 2.0 * spare));
        // At most a quarter above the peak.
        need.min((1.25 * peak).max(busy) + extra)
    };
    // A zone gets a local instance where cross-zone calls would cost more than its memory.
    let saves_crossing =
        |p: &ZoneDemand| tuning.cross_zone_cost * p.sustained_rate > tuning.memory_cost_per_s(s);
    let local_instances = |p: &ZoneDemand, busy: f64| {
        (busy / slots + 1.0 - tuning.local_instance_share)
            .floor()
            .clamp(0.0, MAX_INSTANCES)
            .max(f64::from(u8::from(saves_crossing(p))))
    };
    let total = (need / slots).min(MAX_INSTANCES).ceil().max(f64::from(floor)) as u32;
    let local_total: f64 = demands.iter().zip(&shares).map(|(p, b)| local_instances(p, *b)).sum();
    let total = total.max(local_total as u32);
    if total == 0 {
        return DesiredInstances::default();
    }
    let mut out = DesiredInstances { total, zones: Vec::new(), local: Vec::new() };
    out.local = demands
        .iter()
        .map(|p| (p.zone.clone(), local_instances(p, p.sustained_busy) as u32))
        .filter(|z| z.1 > 0)
        .collect();
    let sum: f64 = shares.iter().sum();
    if sum <= 0.0 {
        out.zones = spread_over(total, default_zones);
        return out;
    }
    // Each zone gets its local instances; the rest go where most are lacking.
    let mut assigned: Vec<f64> = demands.iter().zip(&shares).map(|(p, b)| local_instances(p, *b)).collect();
    let fair_share: Vec<f64> = shares.iter().map(|b| f64::from(total) * b / sum).collect();
    let deficit = |assigned: &[f64], i: usize| fair_share[i] - assigned[i];
    let mut remaining = f64::from(total) - assigned.iter().sum::<f64>();
    while remaining != 0.0 {
        let order = |a: &usize, b: &usize| deficit(&assigned, *a).total_cmp(&deficit(&assigned, *b));
        let at = if remaining > 0.0 {
            (0..assigned.len()).max_by(order)
        } else {
            (0..assigned.len()).filter(|i| assigned[*i] > 0.0).min_by(order)
        };
        let Some(at) = at else { break };
        assigned[at] += remaining.signum();
        remaining -= remaining.signum();
    }
    out.zones =
        demands.iter().zip(&assigned).map(|(p, n)| (p.zone.clone(), *n as u32)).filter(|z| z.1 > 0).collect();
    out
}

fn spread_over(total: u32, default_zones: &[String]) -> Vec<(String, u32)> {
    let n = default_zones.len() as u32;
    let count = |i: u32| total / n + u32::from(i < total % n);
    default_zones.iter().zip(0..n).map(|(z, i)| (z.clone(), count(i))).filter(|z| z.1 > 0).collect()
}
