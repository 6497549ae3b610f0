//! The fleet by numbers, with moves tried on it and taken back.

use std::collections::HashMap;

use crate::words::{Fleet, FleetMetrics, Function, Instance, Mode, Move, MoveReason, Resources, Separation};

/// Adds or takes away, wrapping: two that swap pass below 0 in between, and every step must be undone exactly.
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

/// What is known of one try, to take it back.
pub(crate) struct Mark(usize);

#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) instance: usize,
    pub(crate) from: usize,
    pub(crate) to: Option<usize>,
    pub(crate) mode: Mode,
    pub(crate) reason: MoveReason,
}

#[derive(Clone)]
pub(crate) struct Ground<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) free: Vec<Resources>,
    /// Host of each instance; `None` once let go.
    pub(crate) at: Vec<Option<usize>>,
    pub(crate) on: Vec<Vec<usize>>,
    pub(crate) function: Vec<usize>,
    pub(crate) zone: Vec<usize>,
    home_zone: Vec<Option<usize>>,
    zones: usize,
    zones_up: u32,
    hosts_up: u32,
    on_host: HashMap<(usize, usize), u32>,
    in_zone: Vec<Vec<u32>>,
    pub(crate) count: Vec<u32>,
    /// Hosts on which somebody else holds something.
    pub(crate) foreign: Vec<bool>,
    pub(crate) log: Vec<Done>,
    /// Moved once in this plan: not again.
    pub(crate) moved: Vec<bool>,
    pub(crate) probes: u64,
}

impl<'a> Ground<'a> {
    pub(crate) fn new(fleet: &'a Fleet) -> Ground<'a> {
        let mut zone_of = HashMap::<&str, usize>::new();
        let zone: Vec<usize> = fleet
            .hosts
            .iter()
            .map(|h| {
                let n = zone_of.len();
                *zone_of.entry(&h.zone).or_insert(n)
            })
            .collect();
        let host_of: HashMap<&str, usize> =
            fleet.hosts.iter().enumerate().map(|(i, h)| (h.name.as_str(), i)).collect();
        let function_of: HashMap<&str, usize> =
            fleet.functions.iter().enumerate().map(|(i, f)| (f.name.as_str(), i)).collect();
        let (hosts, zones) = (fleet.hosts.len(), zone_of.len());
        let mut up = vec![false; zones];
        for (h, z) in fleet.hosts.iter().zip(&zone) {
            up[*z] |= h.up;
        }
        let mut ground = Ground {
            fleet,
            free: fleet.hosts.iter().map(|h| h.total).collect(),
            at: Vec::with_capacity(fleet.instances.len()),
            on: vec![Vec::new(); hosts],
            function: Vec::with_capacity(fleet.instances.len()),
            zone,
            home_zone: Vec::with_capacity(fleet.instances.len()),
            zones,
            zones_up: up.iter().filter(|u| **u).count() as u32,
            hosts_up: fleet.hosts.iter().filter(|h| h.up).count() as u32,
            on_host: HashMap::new(),
            in_zone: vec![vec![0; zones]; fleet.functions.len()],
            count: vec![0; fleet.functions.len()],
            foreign: vec![false; hosts],
            log: Vec::new(),
            moved: vec![false; fleet.instances.len()],
            probes: 0,
        };
        for (i, instance) in fleet.instances.iter().enumerate() {
            // What names an unknown host or function is not planned with, and takes no room that is known.
            let host = host_of.get(instance.host.as_str()).copied();
            let function = function_of.get(instance.function.as_str()).copied();
            ground.function.push(function.unwrap_or(usize::MAX));
            ground.home_zone.push(zone_of.get(instance.home_zone.as_str()).copied());
            ground.at.push(host.filter(|_| function.is_some()));
            if let (Some(h), Some(f)) = (host, function) {
                ground.free[h] = ground.free[h].less(&fleet.functions[f].size);
                ground.on[h].push(i);
                ground.counts(f, h, true);
            }
        }
        for (h, host) in fleet.hosts.iter().enumerate() {
            // A host that reports more than it can have is not believed; one that reports less holds what we do not know.
            let least = ground.free[h].least(&host.free);
            ground.foreign[h] = least != ground.free[h];
            ground.free[h] = least;
        }
        ground
    }

    fn counts(&mut self, f: usize, h: usize, more: bool) {
        let on = self.on_host.entry((f, h)).or_default();
        let zone = &mut self.in_zone[f][self.zone[h]];
        if more {
            (*on, *zone, self.count[f]) = (*on + 1, *zone + 1, self.count[f] + 1);
        } else {
            (*on, *zone, self.count[f]) = (*on - 1, *zone - 1, self.count[f] - 1);
        }
    }

    pub(crate) fn function(&self, i: usize) -> &'a Function {
        &self.fleet.functions[self.function[i]]
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
        !self.on[h].is_empty() || self.foreign[h]
    }

    fn even(&self, f: usize) -> u32 {
        self.count[f].div_ceil(self.zones_up.max(1))
    }

    /// Instances of an urgent function beyond what [`Apart`] allows.
    pub(crate) fn colocated(&self, f: usize) -> u32 {
        let function = &self.fleet.functions[f];
        if !function.urgent {
            return 0;
        }
        let mut n = 0;
        if function.separation.contains(Separation::HOST) {
            let per_host = self.count[f].div_ceil(self.hosts_up.max(1));
            for h in 0..self.on.len() {
                n += self.on_host.get(&(f, h)).map_or(0, |c| c.saturating_sub(per_host));
            }
        }
        if function.separation.contains(Separation::ZONE) {
            let even = self.even(f);
            n += (0..self.zones).map(|z| self.in_zone[f][z].saturating_sub(even)).sum::<u32>();
        }
        n
    }

    /// Whether moving `i` to `to` would put more of its function together than its host and zone of now.
    fn increases_colocation(&self, i: usize, to: usize) -> bool {
        let f = self.function[i];
        let function = &self.fleet.functions[f];
        let Some(from) = self.at[i] else { return false };
        if !function.urgent {
            return false;
        }
        if function.separation.contains(Separation::HOST) {
            let at = |h: usize| self.on_host.get(&(f, h)).copied().unwrap_or(0);
            let per_host = self.count[f].div_ceil(self.hosts_up.max(1));
            if at(to) + 1 > per_host && at(from) <= per_host {
                return true;
            }
        }
        if function.separation.contains(Separation::ZONE) && self.zone[from] != self.zone[to] {
            let even = self.even(f);
            let (a, b) = (self.in_zone[f][self.zone[from]], self.in_zone[f][self.zone[to]]);
            if b + 1 > even && a <= even {
                return true;
            }
        }
        false
    }

    /// Whether `i` may go to `to`, room aside. `far`: out of its lender's zone too, if it is urgent.
    pub(crate) fn allowed(&mut self, i: usize, to: usize, far: bool) -> bool {
        self.probes += 1;
        let Some(from) = self.at[i] else { return false };
        let home = self.home_zone[i].unwrap_or(self.zone[from]);
        to != from
            && self.up(to)
            && (far || !self.function(i).urgent || self.zone[to] == home || self.zone[to] == self.zone[from])
            && !self.increases_colocation(i, to)
    }

    pub(crate) fn crosses(&self, i: usize, to: usize) -> bool {
        self.home_zone[i].is_some_and(|z| z != self.zone[to])
    }

    /// Back to so many moves.
    pub(crate) fn back_to(&mut self, len: usize) {
        self.back(&Mark(len));
    }

    pub(crate) fn mark(&self) -> Mark {
        Mark(self.log.len())
    }

    pub(crate) fn apply(&mut self, done: Done) {
        let (i, f, size) = (done.instance, self.function[done.instance], self.size(done.instance));
        self.on[done.from].retain(|x| *x != i);
        self.free[done.from] = shift(&self.free[done.from], &size, true);
        self.counts(f, done.from, false);
        if let Some(to) = done.to {
            self.on[to].push(i);
            self.free[to] = shift(&self.free[to], &size, false);
            self.counts(f, to, true);
        }
        self.at[i] = done.to;
        self.moved[i] = true;
        self.log.push(done);
    }

    pub(crate) fn back(&mut self, mark: &Mark) {
        while self.log.len() > mark.0 {
            let Some(done) = self.log.pop() else { break };
            let (i, f, size) = (done.instance, self.function[done.instance], self.size(done.instance));
            if let Some(to) = done.to {
                self.on[to].retain(|x| *x != i);
                self.free[to] = shift(&self.free[to], &size, true);
                self.counts(f, to, false);
            }
            self.on[done.from].push(i);
            self.free[done.from] = shift(&self.free[done.from], &size, false);
            self.counts(f, done.from, true);
            self.at[i] = Some(done.from);
            self.moved[i] = false;
        }
    }

    /// Expected starts that find no hole: the largest first, each where it leaves least.
    pub(crate) fn unplaced_starts(&self) -> u32 {
        let mut expected = self.fleet.expected_starts.clone();
        expected.sort_by_key(|e| std::cmp::Reverse((e.memory_mb, e.slices)));
        let mut used: Vec<(usize, Resources)> = Vec::new();
        let mut lacking = 0;
        for e in expected {
            let rest =
                |h: usize| used.iter().filter(|u| u.0 == h).fold(self.free[h], |free, (_, m)| free.less(m));
            let best = (0..self.free.len())
                .filter(|h| self.up(*h) && e.fits(&self.free[*h]) && e.fits(&rest(*h)))
                .min_by_key(|h| rest(*h).memory_mb);
            match best {
                Some(h) => used.push((h, e)),
                None => lacking += 1,
            }
        }
        lacking
    }

    pub(crate) fn figures(&self) -> FleetMetrics {
        let mut figures = FleetMetrics::default();
        for (h, host) in self.fleet.hosts.iter().enumerate() {
            if self.open(h) {
                figures.open_mb += u64::from(host.total.memory_mb);
                figures.open_hosts += 1;
            }
            for i in &self.on[h] {
                figures.used_mb += u64::from(self.size(*i).memory_mb);
                figures.exposed += u32::from(!host.up && self.function(*i).urgent);
            }
        }
        figures.colocated = (0..self.fleet.functions.len()).map(|f| self.colocated(f)).sum();
        figures.unplaced_starts = self.unplaced_starts();
        figures
    }

    pub(crate) fn moves(&self) -> Vec<Move> {
        let name = |h: usize| self.fleet.hosts[h].name.clone();
        self.log
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
