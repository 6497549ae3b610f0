//! Plays a plan and says what it breaks. Shares nothing with the planner but the words.

use std::collections::HashMap;

use crate::ground::Ground;
use crate::words::{Fleet, Mode, Plan, Resources};

/// What a plan breaks, with the number of the move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The instance is not where the move takes it from, or is moved twice.
    NotThere(usize),
    /// The target is unknown, drains, or is the source.
    BadTarget(usize),
    /// Old and new together are more than the target has.
    NoRoom(usize),
    /// An urgent function would be stopped first, or be under its need.
    UnderNeed(usize),
    /// Stopped first, and the move to wait for does not follow.
    BadOrder(usize),
    /// More moves than allowed.
    TooMany,
    /// At the end more is open, exposed or together, or fewer holes are there, than before.
    Worse,
}

/// Plays `plan` one move after the other.
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
            *m = m.less(&f.size);
        }
    }
    for (name, m) in &mut free {
        *m = m.least(&hosts[name].free);
    }
    let started = serving.clone();
    if plan.moves.len() > moves {
        return Err(Violation::TooMany);
    }
    let mut moved = HashMap::<&str, usize>::new();
    // Begins that wait for another move: after it, who, where.
    let mut waiting: Vec<(usize, usize)> = Vec::new();
    for (n, m) in plan.moves.iter().enumerate() {
        let (Some(f), Some(host)) = (functions.get(m.function.as_str()), at.get(m.instance.as_str())) else {
            return Err(Violation::NotThere(n));
        };
        if *host != m.from || moved.insert(&m.instance, n).is_some() {
            return Err(Violation::NotThere(n));
        }
        let floor = f.required.min(started.get(f.name.as_str()).copied().unwrap_or(0));
        let count = serving.entry(f.name.as_str()).or_default();
        let from = free.get(m.from.as_str()).copied().unwrap_or_default().plus(&f.size);
        match (&m.to, m.mode) {
            (None, _) => {
                *count -= 1;
                if *count < floor {
                    return Err(Violation::UnderNeed(n));
                }
                free.insert(&m.from, from);
                at.remove(m.instance.as_str());
            }
            (Some(to), Mode::MakeBeforeBreak) => {
                if to == &m.from || !hosts.get(to.as_str()).is_some_and(|h| h.up) {
                    return Err(Violation::BadTarget(n));
                }
                // Both run: the new one's room is there before the old one's is.
                let room = free.get(to.as_str()).copied().unwrap_or_default();
                if !f.size.fits(&room) {
                    return Err(Violation::NoRoom(n));
                }
                free.insert(to, room.less(&f.size));
                free.insert(&m.from, from);
                at.insert(&m.instance, to);
            }
            (Some(_), Mode::BreakBeforeMake { begin_after }) => {
                if f.urgent {
                    return Err(Violation::UnderNeed(n));
                }
                if begin_after <= n || begin_after >= plan.moves.len() {
                    return Err(Violation::BadOrder(n));
                }
                free.insert(&m.from, from);
                waiting.push((begin_after, n));
            }
        }
        for (_, w) in waiting.extract_if_after(n) {
            let m = &plan.moves[w];
            let Some(to) = &m.to else { continue };
            if !hosts.get(to.as_str()).is_some_and(|h| h.up) {
                return Err(Violation::BadTarget(w));
            }
            let (room, size) = (free.get(to.as_str()).copied().unwrap_or_default(), m.reserved);
            if !size.fits(&room) {
                return Err(Violation::NoRoom(w));
            }
            free.insert(to, room.less(&size));
            at.insert(&m.instance, to);
        }
    }
    let mut last = fleet.clone();
    last.instances.retain(|i| at.contains_key(i.id.as_str()));
    for i in &mut last.instances {
        if let Some(host) = at.get(i.id.as_str()) {
            i.host = host.to_string();
        }
    }
    for h in &mut last.hosts {
        h.free = free[h.name.as_str()];
    }
    let (a, b) = (Ground::new(fleet).figures(), Ground::new(&last).figures());
    // What drains has to go somewhere, and a hole may open a host: then more may be open.
    let forced = fleet.hosts.iter().any(|h| !h.up)
        || a.unplaced_starts > b.unplaced_starts
        || a.colocated > b.colocated;
    // An earlier goal may cost a later one: an urgent instance that leaves a draining host may take a hole.
    let worse = (b.exposed, b.colocated, b.unplaced_starts) > (a.exposed, a.colocated, a.unplaced_starts)
        || b.used_mb > a.used_mb
        || b.open_mb > a.open_mb && !forced;
    if worse {
        return Err(Violation::Worse);
    }
    Ok(())
}

trait ExtractAfter {
    fn extract_if_after(&mut self, n: usize) -> Vec<(usize, usize)>;
}

impl ExtractAfter for Vec<(usize, usize)> {
    /// Takes out the begins that waited for move `n`.
    fn extract_if_after(&mut self, n: usize) -> Vec<(usize, usize)> {
        let (now, later) = self.drain(..).partition(|w| w.0 <= n);
        *self = later;
        now
    }
}
