//! Other ways to share slots and to rank instances, for comparison only: they are in the emulator and in no program.

use crate::notes::{hash, Listed};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use tindock_lending::selection::{self, Energy, IndexInputs, Score};
use tindock_stacks::Demand;

/// How desks share the slots of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sharing {
    /// Slots on loan, as the programs do it.
    #[default]
    Loans,
    /// Each desk has a fixed part of the slots and uses no others.
    Fixed,
    /// Each desk takes every slot for its own; workers turn away what is too much, and desks try again.
    Alone,
    /// Loans whose letters take no time and are never lost, among desks that know at once who is there: the upper end.
    AllSeeing,
}

impl Sharing {
    pub const ALL: [Sharing; 4] = [Sharing::Loans, Sharing::Fixed, Sharing::Alone, Sharing::AllSeeing];

    /// Each desk lends to itself alone.
    pub fn single(self) -> bool {
        matches!(self, Sharing::Fixed | Sharing::Alone)
    }

    /// Slots of each instance that a desk may use, of those it has a part of.
    pub fn slots(self, slots: usize, desks: usize) -> usize {
        match self {
            Sharing::Fixed => (slots / desks.max(1)).max(1),
            Sharing::Loans | Sharing::Alone | Sharing::AllSeeing => slots,
        }
    }

    /// Whether the desk `me` has a part of this instance. With fewer slots than desks only some have one.
    pub fn has(self, listed: &Listed, slots: usize, me: IpAddr, desks: &[IpAddr]) -> bool {
        if self != Sharing::Fixed || slots >= desks.len() {
            return true;
        }
        let Some(place) = desks.iter().position(|desk| *desk == me) else { return false };
        let first = hash(&listed.instance) as usize % desks.len();
        (place + desks.len() - first) % desks.len() < slots
    }
}

/// How a lender ranks instances that start slower than they serve (delta < mu). Where delta > mu all take the index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ranking {
    /// The index's limit from its valid side, as the programs do it.
    #[default]
    Limit,
    /// What a call adds to the cost of waiting if all later ones are split evenly.
    OneStep,
    /// The index without a setup: what is lent from has started.
    NoSetup,
    /// Fewest in flight.
    Fewest,
    Random,
}

impl Ranking {
    pub const ALL: [Ranking; 5] =
        [Ranking::Limit, Ranking::OneStep, Ranking::NoSetup, Ranking::Fewest, Ranking::Random];

    pub fn score(self) -> Score {
        match self {
            Ranking::Limit => selection::index,
            Ranking::OneStep => |seen| below(seen, one_step),
            Ranking::NoSetup => {
                |seen| below(seen, |seen| selection::index(&IndexInputs { delta: 1e9, ..*seen }))
            }
            Ranking::Fewest => |seen| below(seen, |seen| seen.n as f64),
            Ranking::Random => |seen| below(seen, |_| 0.0),
        }
    }
}

fn below(seen: &IndexInputs, otherwise: Score) -> f64 {
    if seen.delta < seen.mu {
        otherwise(seen)
    } else {
        selection::index(seen)
    }
}

/// One step of policy iteration from an even split, for a queue that sleeps when empty and wakes for 1/delta: v(n, setup) =
/// n/delta + n(n+1)/2(mu-l) and v(n, busy) = n(n+1)/2(mu-l) - n l/(delta(mu-l)), l the queue's own part of lambda.
fn one_step(seen: &IndexInputs) -> f64 {
    let own = (seen.lambda / seen.instances.max(1) as f64).min(0.95 * seen.mu);
    let (wait, up, n) = (1.0 / (seen.mu - own), 1.0 / seen.delta, seen.n as f64 + 1.0);
    let added = match seen.energy {
        Energy::Off => up + wait,
        Energy::Setup => up + n * wait,
        Energy::Busy if seen.n == 0 => 1.0 / seen.mu, // the page's b, which the source's queue does not have
        Energy::Busy => (n - own * up) * wait,
    };
    seen.lambda * added
}

/// What single desks want, put together by zone: the scaler hears one voice for each.
#[derive(Default)]
pub struct Voices {
    said: BTreeMap<(String, String), BTreeMap<usize, (Duration, Demand)>>,
}

/// A desk that has said nothing for so long wants nothing.
const SAID: Duration = Duration::from_secs(2);

impl Voices {
    pub fn put(&mut self, now: Duration, edge: usize, demand: Demand) -> Demand {
        let of = self.said.entry((demand.service.clone(), demand.zone.clone())).or_default();
        of.insert(edge, (now, demand.clone()));
        of.retain(|_, (at, _)| *at + SAID > now);
        let mut all = Demand { rate: 0.0, busy: 0.0, peak: 0, waiting: 0, idle_ms: u32::MAX, ..demand };
        for (_, one) in of.values() {
            all.rate += one.rate;
            all.busy += one.busy;
            all.peak = all.peak.saturating_add(one.peak);
            all.waiting = all.waiting.saturating_add(one.waiting);
            all.idle_ms = all.idle_ms.min(one.idle_ms);
        }
        all
    }
}
