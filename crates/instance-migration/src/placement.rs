//! A placement of the fleet by indices, on which moves are tried and rolled back.

use std::collections::HashMap;

use crate::types::{Fleet, FleetMetrics, Function, Instance, Mode, Move, MoveReason, Resources, Separation};

/// Adds or subtracts, wrapping: while two instances swap, free capacity is temporarily below 0, and every
/// step must be exactly reversible.
fn shift(a: &Resources, b: &Resources, add: bool) -> Resources {
    let mut m = *a;
    if add {
        m.memory_mb = m.memory_mb.wrapping_add(b.memory_mb);
    } else {
        m.memory_mb = m.memory_mb.wrapping_sub(b.memory_mb);
    }
    for (x, y) in m.slices.iter_mut().zip(&b.slices) {
        *x = if add { x.wrapping_add(*y) } else { x.wrapping_sub(*y) };
    }
    m
}

/// Number of applied moves to roll back to.
pub(crate) struct Checkpoint(usize);

#[derive(Clone, Debug)]
pub(crate) struct AppliedMove {
    pub(crate) instance: usize,
    pub(crate) from: usize,
    pub(crate) to: Option<usize>,
    pub(crate) mode: Mode,
    pub(crate) reason: MoveReason,
}

#[derive(Clone)]
pub(crate) struct Placement<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) free: Vec<Resources>,
    /// Host of each instance; `None` once it is stopped.
    pub(crate) host_of: Vec<Option<usize>>,
    pub(crate) instances_on: Vec<Vec<usize>>,
    pub(crate) function_of: Vec<usize>,
    pub(crate) zone_of: Vec<usize>,
    home_zone: Vec<Option<usize>>,
    zones: usize,
    zones_up: u32,
    hosts_up: u32,
    count_on_host: HashMap<(usize, usize), u32>,
    count_in_zone: Vec<Vec<u32>>,
    pub(crate) count: Vec<u32>,
    /// Hosts with memory in use by something that is not in the fleet.
    pub(crate) has_unknown_load: Vec<bool>,
    pub(crate) applied: Vec<AppliedMove>,
    /// Instances already moved in this plan; each moves at most once.
    pub(crate) moved: Vec<bool>,
    pub(crate) probes: u64,
}

impl<'a> Placement<'a> {
    pub(crate) fn new(fleet: &'a Fleet) -> Placement<'a> {
        let mut zone_index = HashMap::<&str, usize>::new();
        let zone: Vec<usize> = fleet
            .hosts
            .iter()
            .map(|h| {
                let n = zone_index.len();
                *zone_index.entry(&h.zone).or_insert(n)
            })
            .collect();
        let host_index: HashMap<&str, usize> =
            fleet.hosts.iter().enumerate().map(|(i, h)| (h.name.as_str(), i)).collect();
        let function_index: HashMap<&str, usize> =
            fleet.functions.iter().enumerate().map(|(i, f)| (f.name.as_str(), i)).collect();
        let (hosts, zones) = (fleet.hosts.len(), zone_index.len());
        let mut up = vec![false; zones];
        for (h, z) in fleet.hosts.iter().zip(&zone) {
            up[*z] |= h.up;
        }
        let mut placement = Placement {
            fleet,
            free: fleet.hosts.iter().map(|h| h.total).collect(),
            host_of: Vec::with_capacity(fleet.instances.len()),
            instances_on: vec![Vec::new(); hosts],
            function_of: Vec::with_capacity(fleet.instances.len()),
            zone_of: zone,
            home_zone: Vec::with_capacity(fleet.instances.len()),
            zones,
            zones_up: up.iter().filter(|u| **u).count() as u32,
            hosts_up: fleet.hosts.iter().filter(|h| h.up).count() as u32,
            count_on_host: HashMap::new(),
            count_in_zone: vec![vec![0; zones]; fleet.functions.len()],
            count: vec![0; fleet.functions.len()],
            has_unknown_load: vec![false; hosts],
            applied: Vec::new(),
            moved: vec![false; fleet.instances.len()],
            probes: 0,
        };
        for (i, instance) in fleet.instances.iter().enumerate() {
            // An instance of an unknown host or function is left out of the plan.
            let host = host_index.get(instance.host.as_str()).copied();
            let function = function_index.get(instance.function.as_str()).copied();
            placement.function_of.push(function.unwrap_or(usize::MAX));
            placement.home_zone.push(zone_index.get(instance.home_zone.as_str()).copied());
            placement.host_of.push(host.filter(|_| function.is_some()));
            if let (Some(h), Some(f)) = (host, function) {
                placement.free[h] = placement.free[h].minus(&fleet.functions[f].size);
                placement.instances_on[h].push(i);
                placement.update_counts(f, h, true);
            }
        }
        for (h, host) in fleet.hosts.iter().enumerate() {
            // A report of more free memory than possible is ignored; with less, something unknown runs on the
            // host.
            let least = placement.free[h].component_min(&host.free);
            placement.has_unknown_load[h] = least != placement.free[h];
            placement.free[h] = least;
        }
        placement
    }

    fn update_counts(&mut self, f: usize, h: usize, more: bool) {
        let on_host = self.count_on_host.entry((f, h)).or_default();
        let zone = &mut self.count_in_zone[f][self.zone_of[h]];
        if more {
            (*on_host, *zone, self.count[f]) = (*on_host + 1, *zone + 1, self.count[f] + 1);
        } else {
            (*on_host, *zone, self.count[f]) = (*on_host - 1, *zone - 1, self.count[f] - 1);
        }
    }

    pub(crate) fn function(&self, i: usize) -> &'a Function {
        &self.fleet.functions[self.function_of[i]]
    }

    pub(crate) fn instance(&self, i: usize) -> &'a Instance {
        &self.fleet.instances[i]
    }

    pub(crate) fn size(&self, i: usize) -> Resources {
        self.function(i).size
    }

    pub(crate) fn up(&self, h: usize) -> bool {
        self.fleet.hosts[h].up
    }

    pub(crate) fn open(&self, h: usize) -> bool {
        !self.instances_on[h].is_empty() || self.has_unknown_load[h]
    }

    fn even_share(&self, f: usize) -> u32 {
        self.count[f].div_ceil(self.zones_up.max(1))
    }

    /// Instances of an urgent function beyond what [`Separation`] allows.
    pub(crate) fn colocated(&self, f: usize) -> u32 {
        let function = &self.fleet.functions[f];
        if !function.urgent {
            return 0;
        }
        let mut n = 0;
        if function.separation.contains(Separation::HOST) {
            let per_host = self.count[f].div_ceil(self.hosts_up.max(1));
            for h in 0..self.instances_on.len() {
                n += self.count_on_host.get(&(f, h)).map_or(0, |c| c.saturating_sub(per_host));
            }
        }
        if function.separation.contains(Separation::ZONE) {
            let even_share = self.even_share(f);
            n += (0..self.zones).map(|z| self.count_in_zone[f][z].saturating_sub(even_share)).sum::<u32>();
        }
        n
    }

    /// Whether moving `i` to `to` violates the separation of its function where its present host and zone do
    /// not.
    fn increases_colocation(&self, i: usize, to: usize) -> bool {
        let f = self.function_of[i];
        let function = &self.fleet.functions[f];
        let Some(from) = self.host_of[i] else { return false };
        if !function.urgent {
            return false;
        }
        if function.separation.contains(Separation::HOST) {
            let at = |h: usize| self.count_on_host.get(&(f, h)).copied().unwrap_or(0);
            let per_host = self.count[f].div_ceil(self.hosts_up.max(1));
            if at(to) + 1 > per_host && at(from) <= per_host {
                return true;
            }
        }
        if function.separation.contains(Separation::ZONE) && self.zone_of[from] != self.zone_of[to] {
            let even_share = self.even_share(f);
            let (a, b) = (self.count_in_zone[f][self.zone_of[from]], self.count_in_zone[f][self.zone_of[to]]);
            if b + 1 > even_share && a <= even_share {
                return true;
            }
        }
        false
    }

    /// Whether `i` may go to `to`, apart from free capacity. `any_zone`: even outside its home zone if it is
    /// urgent.
    pub(crate) fn allowed(&mut self, i: usize, to: usize, any_zone: bool) -> bool {
        self.probes += 1;
        let Some(from) = self.host_of[i] else { return false };
        let home = self.home_zone[i].unwrap_or(self.zone_of[from]);
        to != from
            && self.up(to)
            && (any_zone
                || !self.function(i).urgent
                || self.zone_of[to] == home
                || self.zone_of[to] == self.zone_of[from])
            && !self.increases_colocation(i, to)
    }

    pub(crate) fn crosses_zones(&self, i: usize, to: usize) -> bool {
        self.home_zone[i].is_some_and(|z| z != self.zone_of[to])
    }

    /// Rolls back to the first `len` moves.
    pub(crate) fn roll_back_to(&mut self, len: usize) {
        self.roll_back(&Checkpoint(len));
    }

    pub(crate) fn checkpoint(&self) -> Checkpoint {
        Checkpoint(self.applied.len())
    }

    pub(crate) fn apply(&mut self, applied_move: AppliedMove) {
        let (i, f, size) = (
            applied_move.instance,
            self.function_of[applied_move.instance],
            self.size(applied_move.instance),
        );
        self.instances_on[applied_move.from].retain(|x| *x != i);
        self.free[applied_move.from] = shift(&self.free[applied_move.from], &size, true);
        self.update_counts(f, applied_move.from, false);
        if let Some(to) = applied_move.to {
            self.instances_on[to].push(i);
            self.free[to] = shift(&self.free[to], &size, false);
            self.update_counts(f, to, true);
        }
        self.host_of[i] = applied_move.to;
        self.moved[i] = true;
        self.applied.push(applied_move);
    }

    pub(crate) fn roll_back(&mut self, checkpoint: &Checkpoint) {
        while self.applied.len() > checkpoint.0 {
            let Some(applied_move) = self.applied.pop() else { break };
            let (i, f, size) = (
                applied_move.instance,
                self.function_of[applied_move.instance],
                self.size(applied_move.instance),
            );
            if let Some(to) = applied_move.to {
                self.instances_on[to].retain(|x| *x != i);
                self.free[to] = shift(&self.free[to], &size, true);
                self.update_counts(f, to, false);
            }
            self.instances_on[applied_move.from].push(i);
            self.free[applied_move.from] = shift(&self.free[applied_move.from], &size, false);
            self.update_counts(f, applied_move.from, true);
            self.host_of[i] = Some(applied_move.from);
            self.moved[i] = false;
        }
    }

    /// Expected starts that fit on no host. The largest are placed first, each where the least memory is
    /// left.
    pub(crate) fn unplaced_starts(&self) -> u32 {
        let mut expected = self.fleet.expected_starts.clone();
        expected.sort_by_key(|e| std::cmp::Reverse((e.memory_mb, e.slices)));
        let mut used: Vec<(usize, Resources)> = Vec::new();
        let mut unplaced = 0;
        for e in expected {
            let rest =
                |h: usize| used.iter().filter(|u| u.0 == h).fold(self.free[h], |free, (_, m)| free.minus(m));
            let best = (0..self.free.len())
                .filter(|h| self.up(*h) && e.fits_in(&self.free[*h]) && e.fits_in(&rest(*h)))
                .min_by_key(|h| rest(*h).memory_mb);
            match best {
                Some(h) => used.push((h, e)),
                None => unplaced += 1,
            }
        }
        unplaced
    }

    pub(crate) fn metrics(&self) -> FleetMetrics {
        let mut metrics = FleetMetrics::default();
        for (h, host) in self.fleet.hosts.iter().enumerate() {
            if self.open(h) {
                metrics.open_mb += u64::from(host.total.memory_mb);
                metrics.open_hosts += 1;
            }
            for i in &self.instances_on[h] {
                metrics.used_mb += u64::from(self.size(*i).memory_mb);
                metrics.exposed += u32::from(!host.up && self.function(*i).urgent);
            }
        }
        metrics.colocated = (0..self.fleet.functions.len()).map(|f| self.colocated(f)).sum();
        metrics.unplaced_starts = self.unplaced_starts();
        metrics
    }

    pub(crate) fn moves(&self) -> Vec<Move> {
        let name = |h: usize| self.fleet.hosts[h].name.clone();
        self.applied
            .iter()
            .map(|d| Move {
                instance: self.instance(d.instance).id.clone(),
                function: self.function(d.instance).name.clone(),
                from: name(d.from),
                to: d.to.map(name),
                reserved: d.to.map(|_| self.size(d.instance)).unwrap_or_default(),
                mode: d.mode,
                reason: d.reason,
                urgent: self.function(d.instance).urgent,
            })
            .collect()
    }
}
