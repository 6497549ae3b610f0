//! What the list, the workers and the process before tell: it only updates what is known.

use crate::policy::*;

const ERROR_STEP: f64 = 0.3; // weight of one ending in that share: quick, since errors return at once
const REPORT_STEP: f64 = 0.3; // weight of a report in what is hidden: half a second old at the least
const REPORTED: f64 = 0.5; // part of the free slots in a report that still are free: it is a task old

impl Policy {
    pub fn begin_list(&mut self, whole: bool) {
        self.due = self.now;
        if whole {
            self.tallied = None;
            self.workers.iter_mut().for_each(|w| w.on_list = false);
            self.roster.clear();
        }
    }

    pub fn listed(&mut self, i: usize, site: Site, weight: f64, is: Condition, booted: Option<Duration>) {
        if i >= self.workers.len() {
            let fresh = self.now > self.start;
            self.workers.push(Worker { site, booted, seen: self.now, fresh, ..Worker::default() });
        }
        self.known.make_room(site);
        let before = self.workers[i].site.zone;
        let (changed, starts) = self.workers[i].list(site, weight, is, booted);
        self.sets.lists += usize::from(changed);
        self.roster.strike(i, before);
        if is != Condition::Gone {
            self.roster.enter(i, site.zone);
        }
        if starts && self.warmth(i) < 1.0 {
            let work = self.known.slot_time * self.chance.0.rand_float(); // guards against all sending together
            self.workers[i].rest_until = self.now + self.pause(i, work);
        }
    }

    /// A worker that gave a sign of leaving while no list could be had: nothing for it until then.
    pub fn avoid_until(&mut self, i: usize, until: Duration) {
        self.workers[i].left_out = until;
    }

    /// Taken out by hand, or put back.
    pub fn banned(&mut self, i: usize, banned: bool) {
        self.workers[i].ban(banned);
        self.due = self.now;
    }

    /// How many listed workers get nothing now, by hand or by choice.
    pub fn avoided(&self) -> usize {
        self.workers.iter().filter(|w| w.avoided(self.now)).count()
    }

    /// What was learned, and the workers' records, for the process that takes over.
    pub fn records(&self) -> (&Model, &[Worker]) {
        (&self.known, &self.workers)
    }

    /// What the process before this one left.
    pub fn restore(&mut self, known: Model, stands: &[(usize, WorkerState)]) {
        self.known = known;
        stands.iter().for_each(|(i, stand)| self.workers[*i].restore(stand, self.now));
    }

    pub fn set_worker_hash(&mut self, i: usize, mark: u64) {
        self.workers[i].mark = mark;
    }

    pub fn started(&mut self, task: usize, number: usize) {
        let now = self.now;
        let Some(a) = self.tasks.out(task, number).copied().filter(|a| a.started.is_none()) else { return };
        let (i, wait, ahead, size) = (a.worker, secs(now - a.sent), a.ahead, self.tasks[task].size);
        let (speed, slots, out) = (self.speed(i), self.slots(i), &mut self.tasks[task].assignments[number]);
        (out.started, out.heard) = (Some(now), now);
        self.known.setup += if a.cold { 0.1 * (wait - self.known.setup) } else { 0.0 };
        self.due = if self.tasks[task].out() > 1 { now } else { self.due };
        let w = &mut self.workers[i];
        w.begins((task, number), size, now);
        self.known.kinds[w.site.kind].slots = self.known.kinds[w.site.kind].slots.max(w.running);
        // The wait tells what others had there: all that had to leave before, or some part of the free slots.
        let sample = if wait > AT_ONCE {
            (slots + wait * slots * speed / self.known.slot_time - ahead - size).max(0.0)
        } else {
            self.hidden(i, 1.0).min(0.6 * (slots - ahead - size).max(0.0))
        };
        self.see(i, sample, 0.4);
    }

    pub fn progressed(&mut self, task: usize, number: usize, _share: f64) {
        let Some(i) = self.tasks.out(task, number).map(|a| a.worker) else { return };
        self.tasks[task].assignments[number].heard = self.now;
        self.workers[i].revive(self.now);
    }

    pub fn ended(&mut self, task: usize, number: usize, ending: Ending, over: bool) {
        let Some(a) = self.tasks.out(task, number).copied() else { return };
        let (now, i, warm, t) = (self.now, a.worker, self.warmth(a.worker) >= 1.0, &mut self.tasks[task]);
        let (size, workload, full) = (t.size, t.workload, ending == Ending::Full);
        let waited = a.started.is_none() && secs(now - a.sent) > AT_ONCE;
        t.assignments[number].ending = Some(ending);
        t.stage = if over { Stage::Over } else { t.stage };
        let w = &mut self.workers[i];
        w.lets_go((task, number), size, a.started.is_some(), now);
        self.out -= size;
        self.changed.push(i);
        match ending {
            Ending::Finished => {
                w.revive(now);
                (w.energy, w.fresh, w.errors) = (Energy::Busy, false, w.errors - ERROR_STEP * w.errors);
                // Served in order: what started at once found room, so what it held is free again.
                if self.talk != Talk::Silent && a.started.is_some_and(|at| secs(at - a.sent) <= AT_ONCE) {
                    self.rooms.freed.push((i, size));
                }
                // Guards against a worker that passes for slow since it was cold, unless nothing else is known.
                if warm || self.known.run_times[workload].seen < 8.0 {
                    self.known.learn(w, workload, size, secs(now - a.started.unwrap_or(a.sent)));
                }
            }
            Ending::Error | Ending::Reset | Ending::ConnectFailed => {
                w.errors += ERROR_STEP - ERROR_STEP * w.errors;
                self.suspect(i);
            }
            Ending::Full | Ending::Cancelled if full || waited => {
                // Whatever was free is taken by others.
                self.see(i, self.hidden(i, 1.0).max(self.slots(i) - self.workers[i].n), 1.0);
            }
            _ => {}
        }
        self.loose.push(task);
    }

    /// A worker's report of its load, as it comes with an answer.
    pub fn reported(&mut self, i: usize, report: &[f64]) {
        let value = |at: Option<usize>| at.and_then(|at| report.get(at)).copied().filter(|v| v.is_finite());
        let (free, waiting) = (value(self.sheet.report_free), value(self.sheet.report_waiting));
        let Some(free) = free else { return };
        let kind = &mut self.known.kinds[self.workers[i].site.kind];
        kind.slots = kind.slots.max(free.round());
        let (slots, sparing) = (self.slots(i), self.talk == Talk::ToOne);
        // Guards against a standstill: room that nobody knows of is found by answers of what still runs.
        if let Some((_, room)) = self.rooms.freed.iter_mut().find(|f| f.0 == i).filter(|_| sparing) {
            *room += ((free - *room) * REPORTED).floor().max(0.0);
        }
        let held = (slots - free).max(0.0) + waiting.unwrap_or(0.0) * 1.3;
        self.see(i, (held - self.workers[i].n).max(0.0), REPORT_STEP);
    }

    fn see(&mut self, i: usize, hidden: f64, weight: f64) {
        let (old, slots) = (self.hidden(i, 1.0), self.slots(i));
        let w = &mut self.workers[i];
        (w.peer_load, w.seen) = (old + weight * (hidden - old), self.now);
        self.known.sight(w.site, (w.peer_load / slots).min(1.0));
    }
}
