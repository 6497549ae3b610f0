//! Simulates a plan and reports what it violates. Apart from the types and the metrics it is independent of
//! the planner.

use std::collections::HashMap;

use crate::placement::Placement;
use crate::types::{Fleet, Mode, Plan, Resources};

/// A violation, with the index of the move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The instance is not on the source host, or is moved twice.
    WrongSource(usize),
    /// The target is unknown, drains, or is the source.
    BadTarget(usize),
    /// The target has too little free capacity while the old and the new instance both run.
    NoCapacity(usize),
    /// An instance of an urgent function would be stopped first, or the function would fall below its
    /// required instances.
    BelowRequired(usize),
    /// The move to wait for does not come after the move that waits for it.
    BadOrder(usize),
    /// More moves than allowed.
    TooManyMoves,
    /// The final state is worse than the initial one.
    Worse,
}

/// Simulates `plan` one move after the other.
pub fn check(fleet: &Fleet, plan: &Plan, moves: usize) -> Result<(), Violation> {
    let functions: HashMap<&str, _> = fleet.functions.iter().map(|f| (f.name.as_str(), f)).collect();
    let hosts: HashMap<&str, _> = fleet.hosts.iter().map(|h| (h.name.as_str(), h)).collect();
    let mut at: HashMap<&str, &str> =
        fleet.instances.iter().map(|i| (i.id.as_str(), i.host.as_str())).collect();
    let mut serving = HashMap::<&str, u32>::new();
    let mut free: HashMap<&str, Resources> = hosts.iter().map(|(n, h)| (*n, h.total)).collect();
    for i in &fleet.instances {
        *serving.entry(i.function.as_str()).or_default() += 1;
        if let (Some(f), Some(m)) = (functions.get(i.function.as_str()), free.get_mut(i.host.as_str())) {
            *m = m.minus(&f.size);
        }
    }
    for (name, m) in &mut free {
        *m = m.component_min(&hosts[name].free);
    }
    let initially_serving = serving.clone();
    if plan.moves.len() > moves {
        return Err(Violation::TooManyMoves);
    }
    let mut moved_by = HashMap::<&str, usize>::new();
    // Starts that wait for another move: index of that move, index of the waiting one.
    let mut waiting_starts: Vec<(usize, usize)> = Vec::new();
    for (n, m) in plan.moves.iter().enumerate() {
        let (Some(f), Some(host)) = (functions.get(m.function.as_str()), at.get(m.instance.as_str())) else {
            return Err(Violation::WrongSource(n));
        };
        if *host != m.from || moved_by.insert(&m.instance, n).is_some() {
            return Err(Violation::WrongSource(n));
        }
        let required = f.required.min(initially_serving.get(f.name.as_str()).copied().unwrap_or(0));
        let count = serving.entry(f.name.as_str()).or_default();
        let from = free.get(m.from.as_str()).copied().unwrap_or_default().plus(&f.size);
        match (&m.to, m.mode) {
            (None, _) => {
                *count -= 1;
                if *count < required {
                    return Err(Violation::BelowRequired(n));
                }
                free.insert(&m.from, from);
                at.remove(m.instance.as_str());
            }
            (Some(to), Mode::MakeBeforeBreak) => {
                if to == &m.from || !hosts.get(to.as_str()).is_some_and(|h| h.up) {
                    return Err(Violation::BadTarget(n));
                }
                // Both instances run: the new one needs its capacity before the old one's is released.
                let available = free.get(to.as_str()).copied().unwrap_or_default();
                if !f.size.fits_in(&available) {
                    return Err(Violation::NoCapacity(n));
                }
                free.insert(to, available.minus(&f.size));
                free.insert(&m.from, from);
                at.insert(&m.instance, to);
            }
            (Some(_), Mode::BreakBeforeMake { begin_after }) => {
                if f.urgent {
                    return Err(Violation::BelowRequired(n));
                }
                if begin_after <= n || begin_after >= plan.moves.len() {
                    return Err(Violation::BadOrder(n));
                }
                free.insert(&m.from, from);
                waiting_starts.push((begin_after, n));
            }
        }
        for (_, w) in waiting_starts.take_ready_after(n) {
            let m = &plan.moves[w];
            let Some(to) = &m.to else { continue };
            if !hosts.get(to.as_str()).is_some_and(|h| h.up) {
                return Err(Violation::BadTarget(w));
            }
            let (available, size) = (free.get(to.as_str()).copied().unwrap_or_default(), m.reserved);
            if !size.fits_in(&available) {
                return Err(Violation::NoCapacity(w));
            }
            free.insert(to, available.minus(&size));
            at.insert(&m.instance, to);
        }
    }
    let mut final_fleet = fleet.clone();
    final_fleet.instances.retain(|i| at.contains_key(i.id.as_str()));
    for i in &mut final_fleet.instances {
        if let Some(host) = at.get(i.id.as_str()) {
            i.host = host.to_string();
        }
    }
    for h in &mut final_fleet.hosts {
        h.free = free[h.name.as_str()];
    }
    let (before, after) = (Placement::new(fleet).metrics(), Placement::new(&final_fleet).metrics());
    // Leaving a draining host, separating instances or making room for a start may need another host, so that
    // more hosts may be in use afterwards.
    let forced = fleet.hosts.iter().any(|h| !h.up)
        || before.unplaced_starts > after.unplaced_starts
        || before.colocated > after.colocated;
    // A goal may be met at the expense of a later one: an urgent instance that leaves a draining host may
    // take the room of an expected start.
    let worse = (after.exposed, after.colocated, after.unplaced_starts)
        > (before.exposed, before.colocated, before.unplaced_starts)
        || after.used_mb > before.used_mb
        || after.open_mb > before.open_mb && !forced;
    if worse {
        return Err(Violation::Worse);
    }
    Ok(())
}

trait TakeReady {
    fn take_ready_after(&mut self, n: usize) -> Vec<(usize, usize)>;
}

impl TakeReady for Vec<(usize, usize)> {
    /// Removes and returns the starts that waited for move `n`.
    fn take_ready_after(&mut self, n: usize) -> Vec<(usize, usize)> {
        let (now, later) = self.drain(..).partition(|w| w.0 <= n);
        *self = later;
        now
    }
}
