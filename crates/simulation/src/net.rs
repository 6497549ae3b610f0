//! Zones of machines, and the links between them: delay, loss, cuts.

use crate::rng::Rng;
use crate::scenario::NetworkSettings;
use std::collections::BTreeMap;
use std::time::Duration;

/// Endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Edge(usize),
    Core(usize),
    Host(usize),
    Platform,
    /// The clients of a zone.
    Clients(usize),
    Operator,
}

#[derive(Clone, Debug)]
pub struct LinkFault {
    pub a: Vec<Node>,
    pub b: Vec<Node>,
    pub cut: bool,
    /// Affects only the direction from `a` to `b`.
    pub one_way: bool,
    pub loss: f64,
    pub delay: f64,
}

pub struct Net {
    settings: NetworkSettings,
    /// Zone of each node, and region of each zone.
    zones_of: BTreeMap<Node, usize>,
    regions: Vec<usize>,
    faults: BTreeMap<u64, LinkFault>,
    next: u64,
}

/// Delay until a lost packet of a stream is sent again.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

fn millis(ms: f64) -> Duration {
    Duration::from_nanos((ms.max(0.0) * 1e6) as u64)
}

impl Net {
    pub fn new(settings: NetworkSettings, regions: Vec<usize>) -> Net {
        Net { settings, zones_of: BTreeMap::new(), regions, faults: BTreeMap::new(), next: 0 }
    }

    pub fn place(&mut self, node: Node, zone: usize) {
        self.zones_of.insert(node, zone);
    }

    pub fn zone(&self, node: Node) -> usize {
        self.zones_of.get(&node).copied().unwrap_or(0)
    }

    pub fn add_fault(&mut self, fault: LinkFault) -> u64 {
        self.next += 1;
        self.faults.insert(self.next, fault);
        self.next
    }

    pub fn remove_fault(&mut self, fault: u64) {
        self.faults.remove(&fault);
    }

    fn faults_between(&self, a: Node, b: Node) -> impl Iterator<Item = &LinkFault> {
        let between = move |fault: &&LinkFault| {
            let back = !fault.one_way && fault.a.contains(&b) && fault.b.contains(&a);
            back || fault.a.contains(&a) && fault.b.contains(&b)
        };
        self.faults.values().filter(between)
    }

    /// Whether nothing gets from `a` to `b`.
    pub fn cut(&self, a: Node, b: Node) -> bool {
        self.faults_between(a, b).any(|fault| fault.cut)
    }

    /// One-way delay without random variation; a loopback takes next to nothing.
    pub fn delay(&self, a: Node, b: Node) -> Duration {
        if a == b {
            return Duration::from_micros(30);
        }
        let outside = |node: &Node| matches!(node, Node::Clients(_) | Node::Operator);
        let (from, to) = (self.zone(a), self.zone(b));
        let region = |zone: usize| self.regions.get(zone).copied().unwrap_or(0);
        let mut ms = if from == to {
            self.settings.zone
        } else if region(from) == region(to) {
            self.settings.cross
        } else {
            self.settings.region
        };
        if outside(&a) || outside(&b) {
            ms = ms.max(self.settings.client);
        }
        ms += self.faults_between(a, b).map(|fault| fault.delay).sum::<f64>();
        millis(ms)
    }

    fn lost(&self, rng: &mut Rng, a: Node, b: Node) -> bool {
        let loss = self.settings.loss + self.faults_between(a, b).map(|fault| fault.loss).sum::<f64>();
        a != b && loss > 0.0 && rng.unit() < loss
    }

    /// Time for a datagram; None if it is lost.
    pub fn datagram(&self, rng: &mut Rng, a: Node, b: Node) -> Option<Duration> {
        if self.cut(a, b) || self.lost(rng, a, b) {
            return None;
        }
        Some(self.delay(a, b).mul_f64(1.0 + 0.2 * rng.unit()))
    }

    /// Time for bytes of a stream; None if the link is cut.
    pub fn stream(&self, rng: &mut Rng, a: Node, b: Node) -> Option<Duration> {
        if self.cut(a, b) {
            return None;
        }
        let mut takes = self.delay(a, b).mul_f64(1.0 + 0.2 * rng.unit());
        for _ in 0..4 {
            if !self.lost(rng, a, b) {
                break;
            }
            takes += RETRANSMISSION_DELAY;
        }
        Some(takes)
    }
}
