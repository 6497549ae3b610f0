//! The planner: stops surplus instances, empties draining hosts, separates instances of urgent functions,
//! makes room for expected starts, and empties hosts to save cost.

use oorandom::Rand32;

use crate::placement::{AppliedMove, Placement};
use crate::types::{Fleet, FleetMetrics, Mode, MoveReason, Plan, PlanSettings, Resources, Separation};

/// How hosts to empty and targets of moves are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The least used host first; its instances by size, each to the first host with enough free capacity.
    FirstFit,
    /// The host with the best ratio of cost to gain first; each instance to the host where least is left
    /// free, or by a chain of two moves where no host has enough.
    Cheapest,
    /// Both, then randomized restarts of `Cheapest` within [`PlanSettings::max_probes`]; the best plan is
    /// kept.
    Search,
}

/// Hosts tried for a chain of moves: those that lack the least.
const CHAIN_HOSTS: usize = 6;
/// Passes over all hosts to empty them.
const MAX_SWEEPS: usize = 3;
/// Maximum random restarts of the search.
const MAX_RESTARTS: usize = 200;
/// Maximum placements examined by a single run, which takes a few seconds.
const MAX_RUN_PROBES: u64 = 50_000_000;

/// Makes a plan by a bounded search.
pub fn plan(fleet: &Fleet, settings: &PlanSettings, seed: u64) -> Plan {
    plan_with(fleet, settings, Strategy::Search, seed)
}

/// Makes a plan by the given strategy; the result is the same for the same seed.
pub fn plan_with(fleet: &Fleet, settings: &PlanSettings, strategy: Strategy, seed: u64) -> Plan {
    let start = Placement::new(fleet);
    let before = start.metrics();
    let run = |strategy: Strategy, noise: f64, seed: u64, left: u64| {
        let mut p = Planner {
            placement: start.clone(),
            settings,
            strategy,
            noise,
            rng: Rand32::new(seed),
            max_probes: left,
            gain: 0.0,
        };
        p.run_all();
        let probes = p.placement.probes;
        (p.finish(before), probes)
    };
    match strategy {
        Strategy::FirstFit | Strategy::Cheapest => {
            run(strategy, 0.0, seed, settings.max_probes.max(MAX_RUN_PROBES)).0
        }
        Strategy::Search => {
            // Both run unbounded, so that the search is never worse than either.
            let mut best = run(Strategy::FirstFit, 0.0, seed, settings.max_probes.max(MAX_RUN_PROBES)).0;
            let next = run(Strategy::Cheapest, 0.0, seed, settings.max_probes.max(MAX_RUN_PROBES)).0;
            if better(&next, &best) {
                best = next;
            }
            let mut rng = Rand32::new(seed ^ 0x5eed);
            let mut probes = 0;
            for _ in 0..MAX_RESTARTS {
                if probes >= settings.max_probes || best.moves.is_empty() {
                    break;
                }
                let noise = 0.1 + 0.6 * f64::from(rng.rand_float());
                let seed = u64::from(rng.rand_u32());
                let (next, used) = run(Strategy::Cheapest, noise, seed, settings.max_probes - probes);
                probes += used.max(1);
                if better(&next, &best) {
                    best = next;
                }
            }
            best
        }
    }
}

/// Compares by the goals in their order of precedence.
fn better(a: &Plan, b: &Plan) -> bool {
    let key = |f: &FleetMetrics| (f.exposed, f.colocated, f.unplaced_starts);
    let by_saving = a.saving.total_cmp(&b.saving).reverse();
    key(&a.after).cmp(&key(&b.after)).then(by_saving).then(a.starts.cmp(&b.starts)).is_lt()
}

struct Planner<'a> {
    placement: Placement<'a>,
    settings: &'a PlanSettings,
    strategy: Strategy,
    noise: f64,
    rng: Rand32,
    max_probes: u64,
    /// Gain from the hosts emptied, in units of the value of one call.
    gain: f64,
}

impl<'a> Planner<'a> {
    fn run_all(&mut self) {
        self.stop_surplus();
        self.leave_draining_hosts();
        self.separate();
        self.make_room();
        self.empty_hosts();
    }

    fn finish(self, before: FleetMetrics) -> Plan {
        let after = self.placement.metrics();
        let cost: f64 = self.placement.applied.iter().map(|d| self.cost(d)).sum();
        let moves = self.placement.moves();
        let overlapping =
            self.placement.applied.iter().filter(|d| d.to.is_some() && d.mode == Mode::MakeBeforeBreak);
        let overlap = overlapping.map(|d| {
            let overlap_secs = self.overlap_secs(d.instance);
            (f64::from(self.placement.size(d.instance).memory_mb) * overlap_secs) as u64
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
            overlap_mb_s: overlap.sum(),
            starts: moves.iter().filter(|m| m.to.is_some()).count() as u32,
            saving: self.gain - cost,
            peak_reserved_mb: reserved.values().copied().max().unwrap_or(0),
            moves,
        }
    }

    fn overlap_secs(&self, i: usize) -> f64 {
        f64::from(self.placement.function(i).boot_ms) / 1e3 + self.settings.stop_delay.as_secs_f64()
    }

    /// Cost of one move: the overlap of both instances, a start, and calls that cross zones.
    fn cost(&self, d: &AppliedMove) -> f64 {
        let Some(to) = d.to else {
            // Stopped as surplus: its memory is saved.
            return -self.placement.size(d.instance).gb()
                * self.settings.instance_cost_gb_s
                * self.settings.horizon.as_secs_f64();
        };
        let overlap = self.placement.size(d.instance).gb()
            * self.overlap_secs(d.instance)
            * self.settings.instance_cost_gb_s;
        let crosses_zones = |h| f64::from(u8::from(self.placement.crosses_zones(d.instance, h)));
        let crossing = (crosses_zones(to) - crosses_zones(d.from))
            * f64::from(self.placement.instance(d.instance).load)
            * self.settings.crossing_cost_s
            * self.settings.horizon.as_secs_f64();
        overlap + self.settings.start_cost + crossing
    }

    fn moves_left(&self) -> usize {
        self.settings.max_moves.saturating_sub(self.placement.applied.len())
    }

    fn out_of_probes(&self) -> bool {
        self.placement.probes >= self.max_probes
    }

    fn movable(&self, i: usize) -> bool {
        let instance = self.placement.instance(i);
        let leaves = self.placement.host_of[i].is_some_and(|h| !self.placement.up(h));
        instance.movable && !self.placement.moved[i] && (leaves || instance.age >= self.settings.min_age)
    }

    fn apply_move(&mut self, instance: usize, to: Option<usize>, mode: Mode, reason: MoveReason) {
        if let Some(from) = self.placement.host_of[instance] {
            self.placement.apply(AppliedMove { instance, from, to, mode, reason });
        }
    }

    /// The best host for `i` without moving another instance. `unused`: considers the hosts that are not in
    /// use instead of those that are.
    fn find_host(&mut self, i: usize, excluded: &[usize], unused: bool, any_zone: bool) -> Option<usize> {
        let size = self.placement.size(i);
        let mut best: Vec<(f64, usize)> = Vec::new();
        let keep = if self.noise > 0.0 { 3 } else { 1 };
        for h in 0..self.placement.free.len() {
            if !size.fits_in(&self.placement.free[h])
                || self.placement.open(h) == unused
                || excluded.contains(&h)
            {
                continue;
            }
            if !self.placement.allowed(i, h, any_zone) {
                continue;
            }
            let total = self.placement.fleet.hosts[h].total;
            let left = self.placement.free[h].minus(&size).share_of(&total);
            let key = match self.strategy {
                // First fit: the host with the least free share first, an order that changes little between
                // moves.
                Strategy::FirstFit => self.placement.free[h].share_of(&total),
                _ => {
                    left + f64::from(u8::from(self.placement.crosses_zones(i, h)))
                        * f64::from(self.placement.instance(i).load).min(4.0)
                }
            };
            if best.len() < keep || best.last().is_some_and(|b| key < b.0) {
                best.push((key, h));
                best.sort_by(|a, b| a.0.total_cmp(&b.0));
                best.truncate(keep);
            }
        }
        let at = if best.len() > 1 { self.rng.rand_range(0..best.len() as u32) as usize } else { 0 };
        best.get(at).map(|b| b.1)
    }

    /// Moves `i` to another host: directly, by a chain of moves, or to a host that is not in use.
    fn place(&mut self, i: usize, excluded: &[usize], reason: MoveReason, may_open: bool) -> bool {
        let drains = reason == MoveReason::Drain;
        for any_zone in [false, true] {
            if any_zone && !(drains || reason == MoveReason::Apart) {
                break;
            }
            if let Some(h) = self.find_host(i, excluded, false, any_zone) {
                self.apply_move(i, Some(h), Mode::MakeBeforeBreak, reason);
                return true;
            }
            if self.strategy != Strategy::FirstFit && self.place_by_chain(i, excluded, reason, any_zone) {
                return true;
            }
            if may_open {
                if let Some(h) = self.find_host(i, excluded, true, any_zone) {
                    self.apply_move(i, Some(h), Mode::MakeBeforeBreak, reason);
                    return true;
                }
            }
        }
        false
    }

    /// Makes room for `i` by moving another instance first: to a third host, or, if its calls can wait, by a
    /// swap with `i`.
    fn place_by_chain(&mut self, i: usize, excluded: &[usize], reason: MoveReason, any_zone: bool) -> bool {
        if self.moves_left() < 2 || self.out_of_probes() {
            return false;
        }
        let Some(from) = self.placement.host_of[i] else { return false };
        let size = self.placement.size(i);
        let mut hosts: Vec<(f64, usize)> = Vec::new();
        for h in 0..self.placement.free.len() {
            if !self.placement.open(h)
                || excluded.contains(&h)
                || !size.fits_in(&self.placement.fleet.hosts[h].total)
            {
                continue;
            }
            if self.placement.allowed(i, h, any_zone) {
                hosts.push((size.minus(&self.placement.free[h]).share_of(&size), h));
            }
        }
        hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
        hosts.truncate(CHAIN_HOSTS);
        let mut swap = None;
        for (_, h) in hosts {
            let missing = size.minus(&self.placement.free[h]);
            let mut out: Vec<usize> = self.placement.instances_on[h].clone();
            out.retain(|j| {
                self.movable(*j)
                    && missing.fits_in(&self.placement.size(*j))
                    && self.placement.size(*j) < size
            });
            out.sort_by_key(|j| self.placement.size(*j));
            // One instance of each function is enough to examine.
            out.dedup_by_key(|j| self.placement.function_of[*j]);
            for j in out {
                let mut also_excluded = excluded.to_vec();
                also_excluded.push(h);
                if let Some(third_host) = self.find_host(j, &also_excluded, false, false) {
                    self.apply_move(j, Some(third_host), Mode::MakeBeforeBreak, reason);
                    // Checked again, since `j` may be of the same function.
                    if self.placement.allowed(i, h, any_zone) {
                        self.apply_move(i, Some(h), Mode::MakeBeforeBreak, reason);
                        return true;
                    }
                    self.placement.roll_back_to(self.placement.applied.len() - 1);
                }
                let can_wait = !self.placement.function(j).urgent
                    && self.placement.function_of[j] != self.placement.function_of[i];
                if swap.is_none()
                    && self.settings.allow_break_before_make
                    && can_wait
                    && reason != MoveReason::Empty
                    && self.placement.up(from)
                    && self.placement.size(j).fits_in(&self.placement.free[from].plus(&size))
                    && self.placement.allowed(j, from, false)
                {
                    swap = Some((j, h));
                }
            }
        }
        let Some((j, h)) = swap else { return false };
        let begin_after = self.placement.applied.len() + 1;
        self.apply_move(j, Some(from), Mode::BreakBeforeMake { begin_after }, reason);
        self.apply_move(i, Some(h), Mode::MakeBeforeBreak, reason);
        true
    }

    /// Sorts by size, urgent functions first.
    fn by_size(&self, mut list: Vec<usize>) -> Vec<usize> {
        let most = self.placement.fleet.hosts.iter().fold(Resources::default(), |m, h| {
            let mut m = m;
            m.memory_mb = m.memory_mb.max(h.total.memory_mb);
            for (a, b) in m.slices.iter_mut().zip(&h.total.slices) {
                *a = (*a).max(*b);
            }
            m
        });
        let size = |i: usize| self.placement.size(i).share_of(&most);
        list.sort_by(|a, b| {
            let urgent = self.placement.function(*b).urgent.cmp(&self.placement.function(*a).urgent);
            urgent.then(size(*b).total_cmp(&size(*a))).then(a.cmp(b))
        });
        list
    }

    /// Stops surplus instances: first those on draining hosts, then those on the least used hosts.
    fn stop_surplus(&mut self) {
        let mut by_function = vec![Vec::new(); self.placement.fleet.functions.len()];
        for i in 0..self.placement.host_of.len() {
            if self.placement.host_of[i].is_some() && self.placement.instance(i).movable {
                by_function[self.placement.function_of[i]].push(i);
            }
        }
        for (f, mut list) in by_function.into_iter().enumerate() {
            let function = &self.placement.fleet.functions[f];
            let keep = function.desired.max(function.required);
            if self.placement.count[f] <= keep {
                continue;
            }
            list.sort_by_key(|i| {
                let h = self.placement.host_of[*i].unwrap_or_default();
                let used: u32 =
                    self.placement.instances_on[h].iter().map(|x| self.placement.size(*x).memory_mb).sum();
                (self.placement.up(h), used, *i)
            });
            for i in list {
                if self.placement.count[f] <= keep || self.moves_left() == 0 {
                    break;
                }
                self.apply_move(i, None, Mode::MakeBeforeBreak, MoveReason::Surplus);
            }
        }
    }

    fn leave_draining_hosts(&mut self) {
        let list = (0..self.placement.host_of.len())
            .filter(|i| self.placement.host_of[*i].is_some_and(|h| !self.placement.up(h)));
        let list: Vec<usize> = list.filter(|i| self.movable(*i)).collect();
        for i in self.by_size(list) {
            if self.moves_left() == 0 || self.out_of_probes() {
                break;
            }
            let (checkpoint, unplaced) = (self.placement.checkpoint(), self.placement.unplaced_starts());
            self.place(i, &[], MoveReason::Drain, true);
            // An instance whose calls can wait must not take the room of an expected start, which may be
            // urgent.
            if !self.placement.function(i).urgent && self.placement.unplaced_starts() > unplaced {
                self.placement.roll_back(&checkpoint);
            }
        }
    }

    fn separate(&mut self) {
        for f in 0..self.placement.fleet.functions.len() {
            if self.placement.fleet.functions[f].separation == Separation::empty() {
                continue;
            }
            let mut colocated = self.placement.colocated(f);
            if colocated == 0 {
                continue;
            }
            let list: Vec<usize> = (0..self.placement.host_of.len())
                .filter(|i| self.placement.function_of[*i] == f && self.movable(*i))
                .collect();
            for i in list {
                if colocated == 0 || self.moves_left() == 0 || self.out_of_probes() {
                    break;
                }
                let checkpoint = self.placement.checkpoint();
                let unplaced = self.placement.unplaced_starts();
                if self.place(i, &[], MoveReason::Apart, true) {
                    let now = self.placement.colocated(f);
                    if now < colocated && self.placement.unplaced_starts() <= unplaced {
                        colocated = now;
                    } else {
                        self.placement.roll_back(&checkpoint);
                    }
                }
            }
        }
    }

    /// Makes room for each expected start that has none, on the host where this is cheapest.
    fn make_room(&mut self) {
        let mut expected = self.placement.fleet.expected_starts.clone();
        expected.sort_by_key(|e| std::cmp::Reverse((e.memory_mb, e.slices)));
        for e in expected {
            let unplaced = self.placement.unplaced_starts();
            if unplaced == 0 || self.moves_left() == 0 || self.out_of_probes() {
                break;
            }
            let mut hosts: Vec<(f64, usize)> = (0..self.placement.free.len())
                .filter(|h| self.placement.up(*h) && e.fits_in(&self.placement.fleet.hosts[*h].total))
                .map(|h| (e.minus(&self.placement.free[h]).share_of(&e), h))
                .collect();
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut best: Option<(f64, Vec<AppliedMove>)> = None;
            for (_, h) in hosts.into_iter().take(4 * CHAIN_HOSTS) {
                let checkpoint = self.placement.checkpoint();
                let from = self.placement.applied.len();
                if self.free_up(h, &e) && self.placement.unplaced_starts() < unplaced {
                    let done = self.placement.applied[from..].to_vec();
                    let cost: f64 = done.iter().map(|d| self.cost(d)).sum();
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        best = Some((cost, done));
                    }
                }
                self.placement.roll_back(&checkpoint);
            }
            for done in best.map(|b| b.1).unwrap_or_default() {
                self.placement.apply(done);
            }
        }
    }

    /// Moves instances away from `h` until `e` fits there.
    fn free_up(&mut self, h: usize, e: &Resources) -> bool {
        while !e.fits_in(&self.placement.free[h]) {
            if self.moves_left() == 0 || self.out_of_probes() {
                return false;
            }
            let missing = e.minus(&self.placement.free[h]);
            let mut list: Vec<usize> = self.placement.instances_on[h]
                .iter()
                .copied()
                .filter(|i| self.movable(*i) && self.reduces(*i, &missing))
                .collect();
            // The smallest instance that suffices alone, else the largest.
            list.sort_by_key(|i| {
                let size = self.placement.size(*i);
                let enough = missing.fits_in(&size);
                (
                    !enough,
                    self.placement.function(*i).urgent,
                    if enough { size.memory_mb } else { u32::MAX - size.memory_mb },
                )
            });
            list.dedup_by_key(|i| self.placement.function_of[*i]);
            let before = self.placement.applied.len();
            let placed = list.into_iter().take(8).any(|i| self.place(i, &[h], MoveReason::Hole, false));
            if !placed || self.placement.applied.len() == before {
                return false;
            }
        }
        true
    }

    fn reduces(&self, i: usize, missing: &Resources) -> bool {
        let size = self.placement.size(i);
        missing.memory_mb > 0 && size.memory_mb > 0
            || missing.slices.iter().zip(&size.slices).any(|(l, t)| *l > 0 && *t > 0)
    }

    /// Empties hosts as long as this saves more than it costs.
    fn empty_hosts(&mut self) {
        if self.settings.host_cost_gb_s <= 0.0 {
            return;
        }
        let horizon = self.settings.horizon.as_secs_f64();
        for _ in 0..MAX_SWEEPS {
            let mut hosts: Vec<(f64, usize)> = Vec::new();
            for h in 0..self.placement.instances_on.len() {
                if !self.placement.up(h)
                    || self.placement.has_unknown_load[h]
                    || self.placement.instances_on[h].is_empty()
                {
                    continue;
                }
                if !self.placement.instances_on[h].iter().all(|i| self.movable(*i)) {
                    continue;
                }
                let gain = self.placement.fleet.hosts[h].total.gb() * self.settings.host_cost_gb_s * horizon;
                let used: u32 =
                    self.placement.instances_on[h].iter().map(|i| self.placement.size(*i).memory_mb).sum();
                let cost: f64 = match self.strategy {
                    Strategy::FirstFit => f64::from(used),
                    _ => self.placement.instances_on[h]
                        .iter()
                        .map(|i| {
                            self.settings.start_cost + self.placement.size(*i).gb() * self.overlap_secs(*i)
                        })
                        .sum(),
                };
                let noise = 1.0 + self.noise * (f64::from(self.rng.rand_float()) - 0.5);
                let by = if self.strategy == Strategy::FirstFit { cost } else { cost / gain.max(1e-9) };
                hosts.push((by * noise, h));
            }
            hosts.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let mut any = false;
            for (_, h) in hosts {
                if self.moves_left() == 0 || self.out_of_probes() {
                    return;
                }
                // Instances moved here by this plan stay.
                if self.placement.instances_on[h].iter().any(|i| self.placement.moved[*i])
                    || self.placement.instances_on[h].len() > self.moves_left()
                {
                    continue;
                }
                any |= self.empty_host(h, horizon);
            }
            if !any || self.strategy == Strategy::FirstFit {
                return;
            }
        }
    }

    fn empty_host(&mut self, h: usize, horizon: f64) -> bool {
        let checkpoint = self.placement.checkpoint();
        let from = self.placement.applied.len();
        let unplaced = self.placement.unplaced_starts();
        let list = self.by_size(self.placement.instances_on[h].clone());
        let ok =
            list.into_iter().all(|i| self.moves_left() > 0 && self.place(i, &[h], MoveReason::Empty, false));
        let gain = self.placement.fleet.hosts[h].total.gb() * self.settings.host_cost_gb_s * horizon;
        let cost: f64 = self.placement.applied[from..].iter().map(|d| self.cost(d)).sum();
        if !ok || cost >= gain || self.placement.unplaced_starts() > unplaced {
            self.placement.roll_back(&checkpoint);
            return false;
        }
        self.gain += gain;
        true
    }
}

/// Lower bound of the memory of the hosts in use, MB: the maximum over all resources of what is needed if
/// hosts could be used in fractions.
pub fn lower_bound(fleet: &Fleet) -> u64 {
    let placement = Placement::new(fleet);
    let taken = |part: fn(&Resources, usize) -> f64, k: usize| -> f64 {
        (0..placement.host_of.len())
            .filter(|i| placement.host_of[*i].is_some())
            .map(|i| part(&placement.size(i), k))
            .sum()
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
    (0..crate::types::SLICE_KINDS).map(|k| bound(slices, k)).fold(bound(memory, 0), f64::max) as u64
}

/// Memory of the hosts in use, MB, in the best packing found from scratch, without regard to moves: first and
/// best fit decreasing over many orders of hosts and instances. Urgent instances stay in their home zone and
/// do not share a host.
pub fn best_known(fleet: &Fleet, tries: usize, seed: u64) -> Option<u64> {
    let placement = Placement::new(fleet);
    let mut rng = Rand32::new(seed);
    let hosts = &fleet.hosts;
    let total = hosts.iter().fold(Resources::default(), |m, h| m.plus(&h.total));
    let items: Vec<usize> =
        (0..placement.host_of.len()).filter(|i| placement.host_of[*i].is_some()).collect();
    let mut best = None;
    for n in 0..tries {
        let mut noise = |x: f64| if n < 3 { x } else { x * (0.7 + 0.6 * f64::from(rng.rand_float())) };
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
            items.iter().map(|i| (noise(-placement.size(*i).share_of(&total)), *i)).collect();
        list.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut free: Vec<Resources> = hosts.iter().map(|h| h.total).collect();
        let mut open: Vec<usize> = Vec::new();
        let mut taken = std::collections::HashSet::<(usize, usize)>::new();
        let all = list.iter().all(|(_, i)| {
            let (f, size) = (placement.function(*i), placement.size(*i));
            let home_zone = &placement.instance(*i).home_zone;
            let ok = |h: usize, free: &[Resources], taken: &std::collections::HashSet<(usize, usize)>| {
                size.fits_in(&free[h])
                    && (!f.urgent || hosts[h].zone == *home_zone)
                    && !(f.urgent
                        && f.separation.contains(Separation::HOST)
                        && taken.contains(&(placement.function_of[*i], h)))
            };
            let at =
                open.iter().copied().filter(|h| ok(*h, &free, &taken)).min_by_key(|h| free[*h].memory_mb);
            let at = at.or_else(|| {
                let at = order.iter().map(|o| o.1).find(|h| !open.contains(h) && ok(*h, &free, &taken))?;
                open.push(at);
                Some(at)
            });
            if let Some(h) = at {
                free[h] = free[h].minus(&size);
                taken.insert((placement.function_of[*i], h));
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
