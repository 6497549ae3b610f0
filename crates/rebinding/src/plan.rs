//! The planner: what drains leaves, urgent functions are kept apart, holes are made for what is expected, hosts are emptied.

use oorandom::Rand32;

use crate::ground::{Done, Ground};
use crate::words::{Fleet, FleetMetrics, Mode, MoveReason, Plan, PlanSettings, Resources, Separation};

/// How hosts are chosen to be emptied, and where instances go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The least used host first, its instances by size, each to the first host that has room.
    FirstFit,
    /// The host whose emptying costs least for what it gives, each instance where it leaves least, by a chain of two moves
    /// where none has room.
    Cheapest,
    /// Both, then random changes of the second within a number of placements looked at; the best is kept.
    Search,
}

/// Hosts tried for a chain, of those that lack least.
const CHAIN_HOSTS: usize = 6;
/// Sweeps over all hosts.
const SWEEPS: usize = 3;
/// Random restarts of the search, at most.
const RESTARTS: usize = 200;
/// Placements looked at by a single run, at most: some seconds.
const WHOLE: u64 = 50_000_000;

/// The way in use: a bounded search.
pub fn plan(fleet: &Fleet, terms: &PlanSettings, seed: u64) -> Plan {
    plan_with(fleet, terms, Strategy::Search, seed)
}

/// A plan by one of the ways, the same for the same seed.
pub fn plan_with(fleet: &Fleet, terms: &PlanSettings, way: Strategy, seed: u64) -> Plan {
    let start = Ground::new(fleet);
    let before = start.figures();
    let run = |way: Strategy, noise: f64, seed: u64, left: u64| {
        let mut p = Planner {
            g: start.clone(),
            terms,
            way,
            noise,
            chance: Rand32::new(seed),
            bound: left,
            value: 0.0,
        };
        p.all();
        let probes = p.g.probes;
        (p.finish(before), probes)
    };
    match way {
        Strategy::FirstFit | Strategy::Cheapest => run(way, 0.0, seed, terms.max_probes.max(WHOLE)).0,
        Strategy::Search => {
            // Both whole, whatever the bound of the search: it is never behind either.
            let mut best = run(Strategy::FirstFit, 0.0, seed, terms.max_probes.max(WHOLE)).0;
            let next = run(Strategy::Cheapest, 0.0, seed, terms.max_probes.max(WHOLE)).0;
            if better(&next, &best) {
                best = next;
            }
            let mut chance = Rand32::new(seed ^ 0x5eed);
            let mut probes = 0;
            for _ in 0..RESTARTS {
                if probes >= terms.max_probes || best.moves.is_empty() {
                    break;
                }
                let noise = 0.1 + 0.6 * f64::from(chance.rand_float());
                let seed = u64::from(chance.rand_u32());
                let (next, used) = run(Strategy::Cheapest, noise, seed, terms.max_probes - probes);
                probes += used.max(1);
                if better(&next, &best) {
                    best = next;
                }
            }
            best
        }
    }
}

/// The goals in their order.
fn better(a: &Plan, b: &Plan) -> bool {
    let key = |f: &FleetMetrics| (f.exposed, f.colocated, f.unplaced_starts);
    let by_worth = a.saving.total_cmp(&b.saving).reverse();
    key(&a.after).cmp(&key(&b.after)).then(by_worth).then(a.starts.cmp(&b.starts)).is_lt()
}

struct Planner<'a> {
    g: Ground<'a>,
    terms: &'a PlanSettings,
    way: Strategy,
    noise: f64,
    chance: Rand32,
    bound: u64,
    /// Of hosts emptied, in the worth of a call.
    value: f64,
}

impl<'a> Planner<'a> {
    fn all(&mut self) {
        self.surplus();
        self.drains();
        self.apart();
        self.holes();
        self.empty();
    }

    fn finish(self, before: FleetMetrics) -> Plan {
        let after = self.g.figures();
        let cost: f64 = self.g.log.iter().map(|d| self.cost(d)).sum();
        let moves = self.g.moves();
        let doubles = self.g.log.iter().filter(|d| d.to.is_some() && d.mode == Mode::MakeBeforeBreak);
        let double = doubles.map(|d| {
            let secs = self.secs(d.instance);
            (f64::from(self.g.size(d.instance).memory_mb) * secs) as u64
        });
        let mut reserved = std::collections::BTreeMap::<&str, u32>::new();
        for m in &moves {
            if let Some(to) = &m.to {
                *reserved.entry(to).or_default() += m.reserved.memory_mb;
            }
        }
        Plan {
            before,
            after,
            overlap_mb_s: double.sum(),
            starts: moves.iter().filter(|m| m.to.is_some()).count() as u32,
            saving: self.value - cost,
            peak_reserved_mb: reserved.values().copied().max().unwrap_or(0),
            moves,
        }
    }

    fn secs(&self, i: usize) -> f64 {
        f64::from(self.g.function(i).boot_ms) / 1e3 + self.terms.stop_delay.as_secs_f64()
    }

    /// What one move costs: two run for a while, a start, calls that cross.
    fn cost(&self, d: &Done) -> f64 {
        let Some(to) = d.to else {
            // Let go: what it would have taken is saved.
            return -self.g.size(d.instance).gb()
                * self.terms.instance_cost_gb_s
                * self.terms.horizon.as_secs_f64();
        };
        let both = self.g.size(d.instance).gb() * self.secs(d.instance) * self.terms.instance_cost_gb_s;
        let crosses = |h| f64::from(u8::from(self.g.crosses(d.instance, h)));
        let crossing = (crosses(to) - crosses(d.from))
            * f64::from(self.g.instance(d.instance).load)
            * self.terms.crossing_cost_s
            * self.terms.horizon.as_secs_f64();
        both + self.terms.start_cost + crossing
    }

    fn left(&self) -> usize {
        self.terms.max_moves.saturating_sub(self.g.log.len())
    }

    fn spent(&self) -> bool {
        self.g.probes >= self.bound
    }

    fn movable(&self, i: usize) -> bool {
        let instance = self.g.instance(i);
        let leaves = self.g.at[i].is_some_and(|h| !self.g.up(h));
        instance.movable && !self.g.moved[i] && (leaves || instance.age >= self.terms.min_age)
    }

    fn push(&mut self, instance: usize, to: Option<usize>, mode: Mode, reason: MoveReason) {
        if let Some(from) = self.g.at[instance] {
            self.g.apply(Done { instance, from, to, mode, reason });
        }
    }

    /// Where `i` goes without anything else moving. `shut`: hosts that hold nothing may be opened too.
    fn direct(&mut self, i: usize, not: &[usize], shut: bool, far: bool) -> Option<usize> {
        let size = self.g.size(i);
        let mut best: Vec<(f64, usize)> = Vec::new();
        let keep = if self.noise > 0.0 { 3 } else { 1 };
        for h in 0..self.g.free.len() {
            if !size.fits(&self.g.free[h]) || self.g.open(h) == shut || not.contains(&h) {
                continue;
            }
            if !self.g.allowed(i, h, far) {
                continue;
            }
            let total = self.g.fleet.hosts[h].total;
            let left = self.g.free[h].less(&size).share_of(&total);
            let key = match self.way {
                // First fit: hosts in the order of what they have in use, which stands still enough between moves.
                Strategy::FirstFit => self.g.free[h].share_of(&total),
                _ => {
                    left + f64::from(u8::from(self.g.crosses(i, h)))
                        * f64::from(self.g.instance(i).load).min(4.0)
                }
            };
            if best.len() < keep || best.last().is_some_and(|b| key < b.0) {
                best.push((key, h));
                best.sort_by(|a, b| a.0.total_cmp(&b.0));
                best.truncate(keep);
            }
        }
        let at = if best.len() > 1 { self.chance.rand_range(0..best.len() as u32) as usize } else { 0 };
        best.get(at).map(|b| b.1)
    }

    /// Puts `i` elsewhere: directly, by a chain, by opening a host.
    fn place(&mut self, i: usize, not: &[usize], reason: MoveReason, may_open: bool) -> bool {
        let drains = reason == MoveReason::Drain;
        for far in [false, true] {
            if far && !(drains || reason == MoveReason::Apart) {
                break;
            }
            if let Some(h) = self.direct(i, not, false, far) {
                self.push(i, Some(h), Mode::MakeBeforeBreak, reason);
                return true;
            }
            if self.way != Strategy::FirstFit && self.chain(i, not, reason, far) {
                return true;
            }
            if may_open {
                if let Some(h) = self.direct(i, not, true, far) {
                    self.push(i, Some(h), Mode::MakeBeforeBreak, reason);
                    return true;
                }
            }
        }
        false
    }

    /// Another one leaves first what `i` lacks: to a third host, or, where it can wait, into the room that `i` leaves.
    fn chain(&mut self, i: usize, not: &[usize], reason: MoveReason, far: bool) -> bool {
        if self.left() < 2 || self.spent() {
            return false;
        }
        let Some(from) = self.g.at[i] else { return false };
        let size = self.g.size(i);
        let mut hosts: Vec<(f64, usize)> = Vec::new();
        for h in 0..self.g.free.len() {
            if !self.g.open(h) || not.contains(&h) || !size.fits(&self.g.fleet.hosts[h].total) {
                continue;
            }
            if self.g.allowed(i, h, far) {
                hosts.push((size.less(&self.g.free[h]).share_of(&size), h));
            }
        }
        hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
        hosts.truncate(CHAIN_HOSTS);
        let mut swap = None;
        for (_, h) in hosts {
            let lacks = size.less(&self.g.free[h]);
            let mut out: Vec<usize> = self.g.on[h].clone();
            out.retain(|j| self.movable(*j) && lacks.fits(&self.g.size(*j)) && self.g.size(*j) < size);
            out.sort_by_key(|j| self.g.size(*j));
            // One of each size is enough to look at.
            out.dedup_by_key(|j| self.g.function[*j]);
            for j in out {
                let mut never = not.to_vec();
                never.push(h);
                if let Some(third) = self.direct(j, &never, false, false) {
                    self.push(j, Some(third), Mode::MakeBeforeBreak, reason);
                    // Still allowed: `j` may be of the same function.
                    if self.g.allowed(i, h, far) {
                        self.push(i, Some(h), Mode::MakeBeforeBreak, reason);
                        return true;
                    }
                    self.g.back_to(self.g.log.len() - 1);
                }
                let waits = !self.g.function(j).urgent && self.g.function[j] != self.g.function[i];
                if swap.is_none()
                    && self.terms.allow_break_before_make
                    && waits
                    && reason != MoveReason::Empty
                    && self.g.up(from)
                    && self.g.size(j).fits(&self.g.free[from].plus(&size))
                    && self.g.allowed(j, from, false)
                {
                    swap = Some((j, h));
                }
            }
        }
        let Some((j, h)) = swap else { return false };
        let begin_after = self.g.log.len() + 1;
        self.push(j, Some(from), Mode::BreakBeforeMake { begin_after }, reason);
        self.push(i, Some(h), Mode::MakeBeforeBreak, reason);
        true
    }

    /// By size, urgent ones first.
    fn by_size(&self, mut list: Vec<usize>) -> Vec<usize> {
        let most = self.g.fleet.hosts.iter().fold(Resources::default(), |m, h| {
            let mut m = m;
            m.memory_mb = m.memory_mb.max(h.total.memory_mb);
            for (a, b) in m.slices.iter_mut().zip(&h.total.slices) {
                *a = (*a).max(*b);
            }
            m
        });
        let size = |i: usize| self.g.size(i).share_of(&most);
        list.sort_by(|a, b| {
            let urgent = self.g.function(*b).urgent.cmp(&self.g.function(*a).urgent);
            urgent.then(size(*b).total_cmp(&size(*a))).then(a.cmp(b))
        });
        list
    }

    /// More than wanted: let go, those on draining hosts first, then those on hosts that hold least.
    fn surplus(&mut self) {
        let mut of = vec![Vec::new(); self.g.fleet.functions.len()];
        for i in 0..self.g.at.len() {
            if self.g.at[i].is_some() && self.g.instance(i).movable {
                of[self.g.function[i]].push(i);
            }
        }
        for (f, mut list) in of.into_iter().enumerate() {
            let function = &self.g.fleet.functions[f];
            let keep = function.desired.max(function.required);
            if self.g.count[f] <= keep {
                continue;
            }
            list.sort_by_key(|i| {
                let h = self.g.at[*i].unwrap_or_default();
                let used: u32 = self.g.on[h].iter().map(|x| self.g.size(*x).memory_mb).sum();
                (self.g.up(h), used, *i)
            });
            for i in list {
                if self.g.count[f] <= keep || self.left() == 0 {
                    break;
                }
                self.push(i, None, Mode::MakeBeforeBreak, MoveReason::Surplus);
            }
        }
    }

    fn drains(&mut self) {
        let list = (0..self.g.at.len()).filter(|i| self.g.at[*i].is_some_and(|h| !self.g.up(h)));
        let list: Vec<usize> = list.filter(|i| self.movable(*i)).collect();
        for i in self.by_size(list) {
            if self.left() == 0 || self.spent() {
                break;
            }
            let (mark, holes) = (self.g.mark(), self.g.unplaced_starts());
            self.place(i, &[], MoveReason::Drain, true);
            // What can wait does not take the hole of what may be urgent.
            if !self.g.function(i).urgent && self.g.unplaced_starts() > holes {
                self.g.back(&mark);
            }
        }
    }

    fn apart(&mut self) {
        for f in 0..self.g.fleet.functions.len() {
            if self.g.fleet.functions[f].separation == Separation::empty() {
                continue;
            }
            let mut colocated = self.g.colocated(f);
            if colocated == 0 {
                continue;
            }
            let list: Vec<usize> =
                (0..self.g.at.len()).filter(|i| self.g.function[*i] == f && self.movable(*i)).collect();
            for i in list {
                if colocated == 0 || self.left() == 0 || self.spent() {
                    break;
                }
                let mark = self.g.mark();
                let holes = self.g.unplaced_starts();
                if self.place(i, &[], MoveReason::Apart, true) {
                    let now = self.g.colocated(f);
                    if now < colocated && self.g.unplaced_starts() <= holes {
                        colocated = now;
                    } else {
                        self.g.back(&mark);
                    }
                }
            }
        }
    }

    /// Makes a hole for each expected start that finds none: on the host where it costs least.
    fn holes(&mut self) {
        let mut expected = self.g.fleet.expected_starts.clone();
        expected.sort_by_key(|e| std::cmp::Reverse((e.memory_mb, e.slices)));
        for e in expected {
            let lacking = self.g.unplaced_starts();
            if lacking == 0 || self.left() == 0 || self.spent() {
                break;
            }
            let mut hosts: Vec<(f64, usize)> = (0..self.g.free.len())
                .filter(|h| self.g.up(*h) && e.fits(&self.g.fleet.hosts[*h].total))
                .map(|h| (e.less(&self.g.free[h]).share_of(&e), h))
                .collect();
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut best: Option<(f64, Vec<Done>)> = None;
            for (_, h) in hosts.into_iter().take(4 * CHAIN_HOSTS) {
                let mark = self.g.mark();
                let from = self.g.log.len();
                if self.vacate(h, &e) && self.g.unplaced_starts() < lacking {
                    let done = self.g.log[from..].to_vec();
                    let cost: f64 = done.iter().map(|d| self.cost(d)).sum();
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, done));
                    }
                }
                self.g.back(&mark);
            }
            for done in best.map(|b| b.1).unwrap_or_default() {
                self.g.apply(done);
            }
        }
    }

    /// Moves away from `h` until `e` fits there.
    fn vacate(&mut self, h: usize, e: &Resources) -> bool {
        while !e.fits(&self.g.free[h]) {
            if self.left() == 0 || self.spent() {
                return false;
            }
            let lacks = e.less(&self.g.free[h]);
            let mut list: Vec<usize> =
                self.g.on[h].iter().copied().filter(|i| self.movable(*i) && self.helps(*i, &lacks)).collect();
            // The smallest that is enough alone, else the largest.
            list.sort_by_key(|i| {
                let size = self.g.size(*i);
                let enough = lacks.fits(&size);
                (
                    !enough,
                    self.g.function(*i).urgent,
                    if enough { size.memory_mb } else { u32::MAX - size.memory_mb },
                )
            });
            list.dedup_by_key(|i| self.g.function[*i]);
            let before = self.g.log.len();
            let placed = list.into_iter().take(8).any(|i| self.place(i, &[h], MoveReason::Hole, false));
            if !placed || self.g.log.len() == before {
                return false;
            }
        }
        true
    }

    fn helps(&self, i: usize, lacks: &Resources) -> bool {
        let size = self.g.size(i);
        lacks.memory_mb > 0 && size.memory_mb > 0
            || lacks.slices.iter().zip(&size.slices).any(|(l, t)| *l > 0 && *t > 0)
    }

    /// Empties hosts as long as that saves more than it costs.
    fn empty(&mut self) {
        if self.terms.host_cost_gb_s <= 0.0 {
            return;
        }
        let horizon = self.terms.horizon.as_secs_f64();
        for _ in 0..SWEEPS {
            let mut hosts: Vec<(f64, usize)> = Vec::new();
            for h in 0..self.g.on.len() {
                if !self.g.up(h) || self.g.foreign[h] || self.g.on[h].is_empty() {
                    continue;
                }
                if !self.g.on[h].iter().all(|i| self.movable(*i)) {
                    continue;
                }
                let gain = self.g.fleet.hosts[h].total.gb() * self.terms.host_cost_gb_s * horizon;
                let used: u32 = self.g.on[h].iter().map(|i| self.g.size(*i).memory_mb).sum();
                let cost: f64 = match self.way {
                    Strategy::FirstFit => f64::from(used),
                    _ => self.g.on[h]
                        .iter()
                        .map(|i| self.terms.start_cost + self.g.size(*i).gb() * self.secs(*i))
                        .sum(),
                };
                let noise = 1.0 + self.noise * (f64::from(self.chance.rand_float()) - 0.5);
                let by = if self.way == Strategy::FirstFit { cost } else { cost / gain.max(1e-9) };
                hosts.push((by * noise, h));
            }
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut any = false;
            for (_, h) in hosts {
                if self.left() == 0 || self.spent() {
                    return;
                }
                // What came here in this plan stays.
                if self.g.on[h].iter().any(|i| self.g.moved[*i]) || self.g.on[h].len() > self.left() {
                    continue;
                }
                any |= self.empty_one(h, horizon);
            }
            if !any || self.way == Strategy::FirstFit {
                return;
            }
        }
    }

    fn empty_one(&mut self, h: usize, horizon: f64) -> bool {
        let mark = self.g.mark();
        let from = self.g.log.len();
        let holes = self.g.unplaced_starts();
        let list = self.by_size(self.g.on[h].clone());
        let ok = list.into_iter().all(|i| self.left() > 0 && self.place(i, &[h], MoveReason::Empty, false));
        let gain = self.g.fleet.hosts[h].total.gb() * self.terms.host_cost_gb_s * horizon;
        let cost: f64 = self.g.log[from..].iter().map(|d| self.cost(d)).sum();
        if !ok || cost >= gain || self.g.unplaced_starts() > holes {
            self.g.back(&mark);
            return false;
        }
        self.value += gain;
        true
    }
}

/// MB of hosts that no packing can go below: the larger of what each resource asks for with hosts in fractions.
pub fn lower_bound(fleet: &Fleet) -> u64 {
    let g = Ground::new(fleet);
    let taken = |part: fn(&Resources, usize) -> f64, k: usize| -> f64 {
        (0..g.at.len()).filter(|i| g.at[*i].is_some()).map(|i| part(&g.size(i), k)).sum()
    };
    let memory = |m: &Resources, _: usize| f64::from(m.memory_mb);
    let slices = |m: &Resources, k: usize| f64::from(m.slices[k]);
    let bound = |part: fn(&Resources, usize) -> f64, k: usize| -> f64 {
        let mut need = taken(part, k);
        let mut hosts: Vec<(f64, f64)> = fleet
            .hosts
            .iter()
            .filter(|h| h.up && part(&h.total, k) > 0.0)
            .map(|h| (f64::from(h.total.memory_mb), part(&h.total, k)))
            .collect();
        hosts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut mb = 0.0;
        for (host_mb, has) in hosts {
            let part = (need / has).clamp(0.0, 1.0);
            mb += host_mb * part;
            need -= has * part;
        }
        mb
    };
    (0..crate::words::SLICE_KINDS).map(|k| bound(slices, k)).fold(bound(memory, 0), f64::max) as u64
}

/// MB of hosts open in the best packing found from scratch, without regard to moves: first and best fit decreasing over many
/// orders of hosts and instances. Urgent instances stay in their lender's zone and on hosts of their own.
pub fn best_known(fleet: &Fleet, tries: usize, seed: u64) -> Option<u64> {
    let g = Ground::new(fleet);
    let mut chance = Rand32::new(seed);
    let hosts = &fleet.hosts;
    let total = hosts.iter().fold(Resources::default(), |m, h| m.plus(&h.total));
    let items: Vec<usize> = (0..g.at.len()).filter(|i| g.at[*i].is_some()).collect();
    let mut best = None;
    for n in 0..tries {
        let mut noise = |x: f64| if n < 3 { x } else { x * (0.7 + 0.6 * f64::from(chance.rand_float())) };
        let mut order: Vec<(f64, usize)> = (0..hosts.len())
            .filter(|h| hosts[*h].up)
            .map(|h| {
                let mb = f64::from(hosts[h].total.memory_mb);
                (
                    noise(match n % 3 {
                        0 => -mb,
                        1 => mb,
                        _ => -hosts[h].total.share_of(&total) / mb,
                    }),
                    h,
                )
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut list: Vec<(f64, usize)> =
            items.iter().map(|i| (noise(-g.size(*i).share_of(&total)), *i)).collect();
        list.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free: Vec<Resources> = hosts.iter().map(|h| h.total).collect();
        let mut open: Vec<usize> = Vec::new();
        let mut own = std::collections::HashSet::<(usize, usize)>::new();
        let all = list.iter().all(|(_, i)| {
            let (f, size) = (g.function(*i), g.size(*i));
            let home = &g.instance(*i).home_zone;
            let ok = |h: usize, free: &[Resources], own: &std::collections::HashSet<(usize, usize)>| {
                size.fits(&free[h])
                    && (!f.urgent || hosts[h].zone == *home)
                    && !(f.urgent
                        && f.separation.contains(Separation::HOST)
                        && own.contains(&(g.function[*i], h)))
            };
            let at = open.iter().copied().filter(|h| ok(*h, &free, &own)).min_by_key(|h| free[*h].memory_mb);
            let at = at.or_else(|| {
                let at = order.iter().map(|o| o.1).find(|h| !open.contains(h) && ok(*h, &free, &own))?;
                open.push(at);
                Some(at)
            });
            if let Some(h) = at {
                free[h] = free[h].less(&size);
                own.insert((g.function[*i], h));
            }
            at.is_some()
        });
        if all {
            let mb: u64 = open.iter().map(|h| u64::from(hosts[*h].total.memory_mb)).sum();
            best = Some(best.map_or(mb, |b: u64| b.min(mb)));
        }
    }
    best
}
