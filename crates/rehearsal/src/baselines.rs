//! Other ways to share slots, for comparison only: they are in the emulator and in no program.

use crate::notes::{hash, Listed};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
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
