//! How many instances a service wants, and in which zones.

use crate::words::{Service, Tuning};

/// Demand for a service in one zone, cleaned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneDemand {
    pub zone: String,
    /// Arrivals a second.
    pub rate: f64,
    /// By how much the rate rose over the last second, beyond its noise.
    pub rise: f64,
    /// Slots lent, over about 0.5 s and over about 4 s.
    pub busy: f64,
    pub slow: f64,
    /// Arrivals a second, over about 8 s.
    pub steady: f64,
    pub peak: f64,
    pub waiting: f64,
    /// Mean time a slot is held, ms; 0 while unknown.
    pub run_ms: f64,
}

/// Instances wanted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredInstances {
    pub total: u32,
    /// By zone, the sum is `total`; zones with none are left out.
    pub zones: Vec<(String, u32)>,
    /// Zones that keep instances of their own busy, for long.
    pub own: Vec<(String, u32)>,
}

impl DesiredInstances {
    pub(crate) fn in_zone(&self, zone: &str) -> u32 {
        self.zones.iter().find(|z| z.0 == zone).map_or(0, |z| z.1)
    }
}

/// More than this is not wanted of any service.
const MOST: f64 = 4096.0;

/// What `pulls` want, with at least `floor` instances, which without demand go to `homes` in turn.
pub fn desired_instances(
    tuning: &Tuning,
    s: &Service,
    pulls: &[ZoneDemand],
    floor: u32,
    homes: &[String],
) -> DesiredInstances {
    let slots = f64::from(s.max_inflight.max(1));
    let target = f64::from(s.target_ms.max(1));
    let (mut busy, mut extra, mut peak) = (0.0, 0.0, 0.0);
    let mut shares = Vec::with_capacity(pulls.len());
    let (mut waits, mut work, mut lent) = (0.0, 0.0, 0.0);
    for p in pulls {
        let run = if p.run_ms > 0.0 { p.run_ms } else { (target / 5.0).min(300.0) };
        // What the rate keeps busy shows sooner than what is lent, and holds while slots lack.
        // A backlog that is worked off keeps more busy than will be: not above the rate by much.
        let by_rate = p.rate * run / 1e3;
        let most = if p.run_ms > 0.0 { 1.3 * by_rate + 1.0 } else { f64::MAX };
        let b = p.busy.min(most).max(by_rate);
        let growth = (p.rise * f64::from(s.boot_ms) / 1e3 * run / 1e3).min(b.max(1.0));
        // Slots that catch up what waits; what gathers during a start is not all owed at once.
        let catch_up = p.waiting * run / (target * tuning.catch_up).max(run).max(1.0);
        let wait = catch_up.min(b * tuning.catch_up_most).max(p.waiting.min(1.0));
        busy += b;
        lent += p.busy;
        work += b * run;
        extra += growth + wait;
        waits += wait;
        peak += p.peak;
        let share = b + growth + wait;
        shares.push(if tuning.sleeps(s) { share.min(p.peak.max(p.busy)) } else { share });
    }
    // A call whose target is many runs may wait for a slot: then little is spare.
    let tight = if busy > 0.0 {
        (tuning.spare_runs * work / busy / target).clamp(tuning.spare_least, 1.0)
    } else {
        1.0
    };
    let spare = tight * busy.sqrt();
    let need = if tuning.sleeps(s) {
        // Calls that can wait for a start can wait for a slot: no spare, and one call is no reason for a second instance. A call
        // that waits is in the peak and in the rate already; counted three times it had two or three instances started.
        (busy / tuning.used).max(lent + waits).max(peak.min(1.0)).min(peak.max(lent).max(1.0))
    } else {
        let need = busy + extra + tuning.spare * spare;
        let need = need.max((tuning.peak_share * peak).min(busy + waits + 2.0 * spare));
        // A quarter above what was ever wanted at once is enough.
        need.min((1.25 * peak).max(busy) + extra)
    };
    // Where calls come so often that crossing costs more than memory, a zone has its own.
    let near = |p: &ZoneDemand| tuning.crossing_cost * p.steady > tuning.memory_a_second(s);
    let own = |p: &ZoneDemand, busy: f64| {
        (busy / slots + 1.0 - tuning.own_zone).floor().clamp(0.0, MOST).max(f64::from(u8::from(near(p))))
    };
    let total = (need / slots).min(MOST).ceil().max(f64::from(floor)) as u32;
    let owned: f64 = pulls.iter().zip(&shares).map(|(p, b)| own(p, *b)).sum();
    let total = total.max(owned as u32);
    if total == 0 {
        return DesiredInstances::default();
    }
    let mut out = DesiredInstances { total, zones: Vec::new(), own: Vec::new() };
    out.own = pulls.iter().map(|p| (p.zone.clone(), own(p, p.slow) as u32)).filter(|z| z.1 > 0).collect();
    let sum: f64 = shares.iter().sum();
    if sum <= 0.0 {
        out.zones = homes_of(total, homes);
        return out;
    }
    // Each zone its own, then what is left where most is lacking.
    let mut given: Vec<f64> = pulls.iter().zip(&shares).map(|(p, b)| own(p, *b)).collect();
    let fair: Vec<f64> = shares.iter().map(|b| f64::from(total) * b / sum).collect();
    let lack = |given: &[f64], i: usize| fair[i] - given[i];
    let mut left = f64::from(total) - given.iter().sum::<f64>();
    while left != 0.0 {
        let order = |a: &usize, b: &usize| lack(&given, *a).total_cmp(&lack(&given, *b));
        let at = if left > 0.0 {
            (0..given.len()).max_by(order)
        } else {
            (0..given.len()).filter(|i| given[*i] > 0.0).min_by(order)
        };
        let Some(at) = at else { break };
        given[at] += left.signum();
        left -= left.signum();
    }
    out.zones =
        pulls.iter().zip(&given).map(|(p, n)| (p.zone.clone(), *n as u32)).filter(|z| z.1 > 0).collect();
    out
}

fn homes_of(total: u32, homes: &[String]) -> Vec<(String, u32)> {
    let n = homes.len() as u32;
    let count = |i: u32| total / n + u32::from(i < total % n);
    homes.iter().zip(0..n).map(|(z, i)| (z.clone(), count(i))).filter(|z| z.1 > 0).collect()
}
