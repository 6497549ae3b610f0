//! The planner: what drains leaves, urgent functions are kept apart, holes are made for what is expected, hosts are emptied.

use oorandom::Rand32;

use crate::ground::{Done, Ground};
use crate::words::{Apart, Figures, Fleet, Measure, Mode, Plan, Terms, Why};

/// How hosts are chosen to be emptied, and where instances go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
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
pub fn plan(fleet: &Fleet, terms: &Terms, seed: u64) -> Plan {
    plan_by(fleet, terms, Way::Search, seed)
}

/// A plan by one of the ways, the same for the same seed.
pub fn plan_by(fleet: &Fleet, terms: &Terms, way: Way, seed: u64) -> Plan {
    let start = Ground::new(fleet);
    let before = start.figures();
    let run = |way: Way, noise: f64, seed: u64, left: u64| {
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
        Way::FirstFit | Way::Cheapest => run(way, 0.0, seed, terms.probes.max(WHOLE)).0,
        Way::Search => {
            // Both whole, whatever the bound of the search: it is never behind either.
            let mut best = run(Way::FirstFit, 0.0, seed, terms.probes.max(WHOLE)).0;
            let next = run(Way::Cheapest, 0.0, seed, terms.probes.max(WHOLE)).0;
            if better(&next, &best) {
                best = next;
            }
            let mut chance = Rand32::new(seed ^ 0x5eed);
            let mut probes = 0;
            for _ in 0..RESTARTS {
                if probes >= terms.probes || best.moves.is_empty() {
                    break;
                }
                let noise = 0.1 + 0.6 * f64::from(chance.rand_float());
                let seed = u64::from(chance.rand_u32());
                let (next, used) = run(Way::Cheapest, noise, seed, terms.probes - probes);
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
    let key = |f: &Figures| (f.exposed, f.together, f.holes_lacking);
    let by_worth = a.saving.total_cmp(&b.saving).reverse();
    key(&a.after).cmp(&key(&b.after)).then(by_worth).then(a.starts.cmp(&b.starts)).is_lt()
}

struct Planner<'a> {
    g: Ground<'a>,
    terms: &'a Terms,
    way: Way,
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

    fn finish(self, before: Figures) -> Plan {
        let after = self.g.figures();
        let cost: f64 = self.g.log.iter().map(|d| self.cost(d)).sum();
        let moves = self.g.moves();
        let doubles = self.g.log.iter().filter(|d| d.to.is_some() && d.mode == Mode::MakeFirst);
        let double = doubles.map(|d| {
            let secs = self.secs(d.instance);
            (f64::from(self.g.takes(d.instance).memory_mb) * secs) as u64
        });
        let mut meanwhile = std::collections::BTreeMap::<&str, u32>::new();
        for m in &moves {
            if let Some(to) = &m.to {
                *meanwhile.entry(to).or_default() += m.meanwhile.memory_mb;
            }
        }
        Plan {
            before,
            after,
            double_mb_s: double.sum(),
            starts: moves.iter().filter(|m| m.to.is_some()).count() as u32,
            saving: self.value - cost,
            meanwhile_mb: meanwhile.values().copied().max().unwrap_or(0),
            moves,
        }
    }

    fn secs(&self, i: usize) -> f64 {
        f64::from(self.g.function(i).boot_ms) / 1e3 + self.terms.ending.as_secs_f64()
    }

    /// What one move costs: two run for a while, a start, calls that cross.
    fn cost(&self, d: &Done) -> f64 {
        let Some(to) = d.to else {
            // Let go: what it would have taken is saved.
            return -self.g.takes(d.instance).gb()
                * self.terms.instance_gb_s
                * self.terms.horizon.as_secs_f64();
        };
        let both = self.g.takes(d.instance).gb() * self.secs(d.instance) * self.terms.instance_gb_s;
        let crosses = |h| f64::from(u8::from(self.g.crosses(d.instance, h)));
        let crossing = (crosses(to) - crosses(d.from))
            * f64::from(self.g.instance(d.instance).load)
            * self.terms.crossing_s
            * self.terms.horizon.as_secs_f64();
        both + self.terms.start + crossing
    }

    fn left(&self) -> usize {
        self.terms.moves.saturating_sub(self.g.log.len())
    }

    fn spent(&self) -> bool {
        self.g.probes >= self.bound
    }

    fn movable(&self, i: usize) -> bool {
        let instance = self.g.instance(i);
        let leaves = self.g.at[i].is_some_and(|h| !self.g.up(h));
        instance.movable && !self.g.moved[i] && (leaves || instance.age >= self.terms.young)
    }

    fn push(&mut self, instance: usize, to: Option<usize>, mode: Mode, why: Why) {
        if let Some(from) = self.g.at[instance] {
            self.g.apply(Done { instance, from, to, mode, why });
        }
    }

    /// Where `i` goes without anything else moving. `shut`: hosts that hold nothing may be opened too.
    fn direct(&mut self, i: usize, not: &[usize], shut: bool, far: bool) -> Option<usize> {
        let takes = self.g.takes(i);
        let mut best: Vec<(f64, usize)> = Vec::new();
        let keep = if self.noise > 0.0 { 3 } else { 1 };
        for h in 0..self.g.free.len() {
            if !takes.fits(&self.g.free[h]) || self.g.open(h) == shut || not.contains(&h) {
                continue;
            }
            if !self.g.allowed(i, h, far) {
                continue;
            }
            let whole = self.g.fleet.hosts[h].whole;
            let left = self.g.free[h].less(&takes).share_of(&whole);
            let key = match self.way {
                // First fit: hosts in the order of what they have in use, which stands still enough between moves.
                Way::FirstFit => self.g.free[h].share_of(&whole),
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
    fn place(&mut self, i: usize, not: &[usize], why: Why, may_open: bool) -> bool {
        let drains = why == Why::Drain;
        for far in [false, true] {
            if far && !(drains || why == Why::Apart) {
                break;
            }
            if let Some(h) = self.direct(i, not, false, far) {
                self.push(i, Some(h), Mode::MakeFirst, why);
                return true;
            }
            if self.way != Way::FirstFit && self.chain(i, not, why, far) {
                return true;
            }
            if may_open {
                if let Some(h) = self.direct(i, not, true, far) {
                    self.push(i, Some(h), Mode::MakeFirst, why);
                    return true;
                }
            }
        }
        false
    }

    /// Another one leaves first what `i` lacks: to a third host, or, where it can wait, into the room that `i` leaves.
    fn chain(&mut self, i: usize, not: &[usize], why: Why, far: bool) -> bool {
        if self.left() < 2 || self.spent() {
            return false;
        }
        let Some(from) = self.g.at[i] else { return false };
        let takes = self.g.takes(i);
        let mut hosts: Vec<(f64, usize)> = Vec::new();
        for h in 0..self.g.free.len() {
            if !self.g.open(h) || not.contains(&h) || !takes.fits(&self.g.fleet.hosts[h].whole) {
                continue;
            }
            if self.g.allowed(i, h, far) {
                hosts.push((takes.less(&self.g.free[h]).share_of(&takes), h));
            }
        }
        hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
        hosts.truncate(CHAIN_HOSTS);
        let mut swap = None;
        for (_, h) in hosts {
            let lacks = takes.less(&self.g.free[h]);
            let mut out: Vec<usize> = self.g.on[h].clone();
            out.retain(|j| self.movable(*j) && lacks.fits(&self.g.takes(*j)) && self.g.takes(*j) < takes);
            out.sort_by_key(|j| self.g.takes(*j));
            // One of each size is enough to look at.
            out.dedup_by_key(|j| self.g.function[*j]);
            for j in out {
                let mut never = not.to_vec();
                never.push(h);
                if let Some(third) = self.direct(j, &never, false, false) {
                    self.push(j, Some(third), Mode::MakeFirst, why);
                    // Still allowed: `j` may be of the same function.
                    if self.g.allowed(i, h, far) {
                        self.push(i, Some(h), Mode::MakeFirst, why);
                        return true;
                    }
                    self.g.back_to(self.g.log.len() - 1);
                }
                let waits = !self.g.function(j).urgent && self.g.function[j] != self.g.function[i];
                if swap.is_none()
                    && self.terms.may_break
                    && waits
                    && why != Why::Empty
                    && self.g.up(from)
                    && self.g.takes(j).fits(&self.g.free[from].plus(&takes))
                    && self.g.allowed(j, from, false)
                {
                    swap = Some((j, h));
                }
            }
        }
        let Some((j, h)) = swap else { return false };
        let begin_after = self.g.log.len() + 1;
        self.push(j, Some(from), Mode::BreakFirst { begin_after }, why);
        self.push(i, Some(h), Mode::MakeFirst, why);
        true
    }

    /// By size, urgent ones first.
    fn by_size(&self, mut list: Vec<usize>) -> Vec<usize> {
        let most = self.g.fleet.hosts.iter().fold(Measure::default(), |m, h| {
            let mut m = m;
            m.memory_mb = m.memory_mb.max(h.whole.memory_mb);
            for (a, b) in m.slices.iter_mut().zip(&h.whole.slices) {
                *a = (*a).max(*b);
            }
            m
        });
        let size = |i: usize| self.g.takes(i).share_of(&most);
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
            let keep = function.wanted.max(function.need);
            if self.g.count[f] <= keep {
                continue;
            }
            list.sort_by_key(|i| {
                let h = self.g.at[*i].unwrap_or_default();
                let used: u32 = self.g.on[h].iter().map(|x| self.g.takes(*x).memory_mb).sum();
                (self.g.up(h), used, *i)
            });
            for i in list {
                if self.g.count[f] <= keep || self.left() == 0 {
                    break;
                }
                self.push(i, None, Mode::MakeFirst, Why::Surplus);
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
            let (mark, holes) = (self.g.mark(), self.g.holes_lacking());
            self.place(i, &[], Why::Drain, true);
            // What can wait does not take the hole of what may be urgent.
            if !self.g.function(i).urgent && self.g.holes_lacking() > holes {
                self.g.back(&mark);
            }
        }
    }

    fn apart(&mut self) {
        for f in 0..self.g.fleet.functions.len() {
            if self.g.fleet.functions[f].apart == Apart::empty() {
                continue;
            }
            let mut together = self.g.together(f);
            if together == 0 {
                continue;
            }
            let list: Vec<usize> =
                (0..self.g.at.len()).filter(|i| self.g.function[*i] == f && self.movable(*i)).collect();
            for i in list {
                if together == 0 || self.left() == 0 || self.spent() {
                    break;
                }
                let mark = self.g.mark();
                let holes = self.g.holes_lacking();
                if self.place(i, &[], Why::Apart, true) {
                    let now = self.g.together(f);
                    if now < together && self.g.holes_lacking() <= holes {
                        together = now;
                    } else {
                        self.g.back(&mark);
                    }
                }
            }
        }
    }

    /// Makes a hole for each expected start that finds none: on the host where it costs least.
    fn holes(&mut self) {
        let mut expected = self.g.fleet.expected.clone();
        expected.sort_by_key(|e| std::cmp::Reverse((e.memory_mb, e.slices)));
        for e in expected {
            let lacking = self.g.holes_lacking();
            if lacking == 0 || self.left() == 0 || self.spent() {
                break;
            }
            let mut hosts: Vec<(f64, usize)> = (0..self.g.free.len())
                .filter(|h| self.g.up(*h) && e.fits(&self.g.fleet.hosts[*h].whole))
                .map(|h| (e.less(&self.g.free[h]).share_of(&e), h))
                .collect();
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut best: Option<(f64, Vec<Done>)> = None;
            for (_, h) in hosts.into_iter().take(4 * CHAIN_HOSTS) {
                let mark = self.g.mark();
                let from = self.g.log.len();
                if self.vacate(h, &e) && self.g.holes_lacking() < lacking {
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
    fn vacate(&mut self, h: usize, e: &Measure) -> bool {
        while !e.fits(&self.g.free[h]) {
            if self.left() == 0 || self.spent() {
                return false;
            }
            let lacks = e.less(&self.g.free[h]);
            let mut list: Vec<usize> =
                self.g.on[h].iter().copied().filter(|i| self.movable(*i) && self.helps(*i, &lacks)).collect();
            // The smallest that is enough alone, else the largest.
            list.sort_by_key(|i| {
                let takes = self.g.takes(*i);
                let enough = lacks.fits(&takes);
                (
                    !enough,
                    self.g.function(*i).urgent,
                    if enough { takes.memory_mb } else { u32::MAX - takes.memory_mb },
                )
            });
            list.dedup_by_key(|i| self.g.function[*i]);
            let before = self.g.log.len();
            let placed = list.into_iter().take(8).any(|i| self.place(i, &[h], Why::Hole, false));
            if !placed || self.g.log.len() == before {
                return false;
            }
        }
        true
    }

    fn helps(&self, i: usize, lacks: &Measure) -> bool {
        let takes = self.g.takes(i);
        lacks.memory_mb > 0 && takes.memory_mb > 0
            || lacks.slices.iter().zip(&takes.slices).any(|(l, t)| *l > 0 && *t > 0)
    }

    /// Empties hosts as long as that saves more than it costs.
    fn empty(&mut self) {
        if self.terms.host_gb_s <= 0.0 {
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
                let gain = self.g.fleet.hosts[h].whole.gb() * self.terms.host_gb_s * horizon;
                let used: u32 = self.g.on[h].iter().map(|i| self.g.takes(*i).memory_mb).sum();
                let cost: f64 = match self.way {
                    Way::FirstFit => f64::from(used),
                    _ => self.g.on[h]
                        .iter()
                        .map(|i| self.terms.start + self.g.takes(*i).gb() * self.secs(*i))
                        .sum(),
                };
                let noise = 1.0 + self.noise * (f64::from(self.chance.rand_float()) - 0.5);
                let by = if self.way == Way::FirstFit { cost } else { cost / gain.max(1e-9) };
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
            if !any || self.way == Way::FirstFit {
                return;
            }
        }
    }

    fn empty_one(&mut self, h: usize, horizon: f64) -> bool {
        let mark = self.g.mark();
        let from = self.g.log.len();
        let holes = self.g.holes_lacking();
        let list = self.by_size(self.g.on[h].clone());
        let ok = list.into_iter().all(|i| self.left() > 0 && self.place(i, &[h], Why::Empty, false));
        let gain = self.g.fleet.hosts[h].whole.gb() * self.terms.host_gb_s * horizon;
        let cost: f64 = self.g.log[from..].iter().map(|d| self.cost(d)).sum();
        if !ok || cost >= gain || self.g.holes_lacking() > holes {
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
    let taken = |part: fn(&Measure, usize) -> f64, k: usize| -> f64 {
        (0..g.at.len()).filter(|i| g.at[*i].is_some()).map(|i| part(&g.takes(i), k)).sum()
    };
    let memory = |m: &Measure, _: usize| f64::from(m.memory_mb);
    let slices = |m: &Measure, k: usize| f64::from(m.slices[k]);
    let bound = |part: fn(&Measure, usize) -> f64, k: usize| -> f64 {
        let mut need = taken(part, k);
        let mut hosts: Vec<(f64, f64)> = fleet
            .hosts
            .iter()
            .filter(|h| h.up && part(&h.whole, k) > 0.0)
            .map(|h| (f64::from(h.whole.memory_mb), part(&h.whole, k)))
            .collect();
        hosts.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut mb = 0.0;
        for (whole, has) in hosts {
            let part = (need / has).clamp(0.0, 1.0);
            mb += whole * part;
            need -= has * part;
        }
        mb
    };
    (0..crate::words::KINDS).map(|k| bound(slices, k)).fold(bound(memory, 0), f64::max) as u64
}

/// MB of hosts open in the best packing found from scratch, without regard to moves: first and best fit decreasing over many
/// orders of hosts and instances. Urgent instances stay in their lender's zone and on hosts of their own.
pub fn best_known(fleet: &Fleet, tries: usize, seed: u64) -> Option<u64> {
    let g = Ground::new(fleet);
    let mut chance = Rand32::new(seed);
    let hosts = &fleet.hosts;
    let total = hosts.iter().fold(Measure::default(), |m, h| m.plus(&h.whole));
    let items: Vec<usize> = (0..g.at.len()).filter(|i| g.at[*i].is_some()).collect();
    let mut best = None;
    for n in 0..tries {
        let mut noise = |x: f64| if n < 3 { x } else { x * (0.7 + 0.6 * f64::from(chance.rand_float())) };
        let mut order: Vec<(f64, usize)> = (0..hosts.len())
            .filter(|h| hosts[*h].up)
            .map(|h| {
                let mb = f64::from(hosts[h].whole.memory_mb);
                (
                    noise(match n % 3 {
                        0 => -mb,
                        1 => mb,
                        _ => -hosts[h].whole.share_of(&total) / mb,
                    }),
                    h,
                )
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut list: Vec<(f64, usize)> =
            items.iter().map(|i| (noise(-g.takes(*i).share_of(&total)), *i)).collect();
        list.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free: Vec<Measure> = hosts.iter().map(|h| h.whole).collect();
        let mut open: Vec<usize> = Vec::new();
        let mut own = std::collections::HashSet::<(usize, usize)>::new();
        let all = list.iter().all(|(_, i)| {
            let (f, takes) = (g.function(*i), g.takes(*i));
            let home = &g.instance(*i).lender_zone;
            let ok = |h: usize, free: &[Measure], own: &std::collections::HashSet<(usize, usize)>| {
                takes.fits(&free[h])
                    && (!f.urgent || hosts[h].zone == *home)
                    && !(f.urgent && f.apart.contains(Apart::HOST) && own.contains(&(g.function[*i], h)))
            };
            let at = open.iter().copied().filter(|h| ok(*h, &free, &own)).min_by_key(|h| free[*h].memory_mb);
            let at = at.or_else(|| {
                let at = order.iter().map(|o| o.1).find(|h| !open.contains(h) && ok(*h, &free, &own))?;
                open.push(at);
                Some(at)
            });
            if let Some(h) = at {
                free[h] = free[h].less(&takes);
                own.insert((g.function[*i], h));
            }
            at.is_some()
        });
        if all {
            let mb: u64 = open.iter().map(|h| u64::from(hosts[*h].whole.memory_mb)).sum();
            best = Some(best.map_or(mb, |b: u64| b.min(mb)));
        }
    }
    best
}
