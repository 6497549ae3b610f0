//! Inputs from the worker list, the workers and the previous process: they only update state.

use crate::policy::*;

const ERROR_WEIGHT: f64 = 0.3; // weight of one ending in the error rate: high, since errors return at once
const REPORT_WEIGHT: f64 = 0.3; // weight of a report in the peer load: it is at least half a second old
const REPORTED_FREE_SHARE: f64 = 0.5; // part of the reported slots that are still free: it is a task old

impl Policy {
    pub fn begin_list(&mut self, whole: bool) {
        self.due = self.now;
        if whole {
            self.totals_at = None;
            self.workers.iter_mut().for_each(|w| w.on_list = false);
            self.zones.clear();
        }
    }

    pub fn listed(&mut self, i: usize, site: Site, weight: f64, state: Condition, booted: Option<Duration>) {
        if i >= self.workers.len() {
            let fresh = self.now > self.start;
            self.workers.push(Worker { site, booted, load_seen: self.now, fresh, ..Worker::default() });
        }
        self.model.ensure_site(site);
        let old_zone = self.workers[i].site.zone;
        let (changed, starts) = self.workers[i].update_listing(site, weight, state, booted);
        self.data_sets.list_version += usize::from(changed);
        self.zones.remove(i, old_zone);
        if state != Condition::Gone {
            self.zones.insert(i, site.zone);
        }
        if starts && self.warmth(i) < 1.0 {
            let work = self.model.slot_time * self.rng.0.rand_float(); // desynchronizes peers
            self.workers[i].rest_until = self.now + self.cold_pause(i, work);
        }
    }

    /// A worker showed signs of leaving while the list was unavailable: no tasks for it until then.
    pub fn avoid_until(&mut self, i: usize, until: Duration) {
        self.workers[i].avoid_until = until;
    }

    /// Excluded by operators, or readmitted.
    pub fn banned(&mut self, i: usize, banned: bool) {
        self.workers[i].set_banned(banned);
        self.due = self.now;
    }

    /// Number of listed workers that get no tasks now, because of operators or of the policy.
    pub fn avoided(&self) -> usize {
        self.workers.iter().filter(|w| w.avoided(self.now)).count()
    }

    /// Estimates and worker records for the process that takes over.
    pub fn records(&self) -> (&Model, &[Worker]) {
        (&self.model, &self.workers)
    }

    /// Restores what the previous process handed over.
    pub fn restore(&mut self, model: Model, states: &[(usize, WorkerState)]) {
        self.model = model;
        states.iter().for_each(|(i, state)| self.workers[*i].restore(state, self.now));
    }

    pub fn set_worker_hash(&mut self, i: usize, hash: u64) {
        self.workers[i].hash = hash;
    }

    pub fn started(&mut self, task: usize, number: usize) {
        let now = self.now;
        let Some(a) = self.tasks.open(task, number).copied().filter(|a| a.started.is_none()) else {
            return;
        };
        let (i, wait, n_before, size) = (a.worker, secs(now - a.sent), a.n_before, self.tasks[task].size);
        let (speed, slots, open) = (self.speed(i), self.slots(i), &mut self.tasks[task].assignments[number]);
        (open.started, open.last_update) = (Some(now), now);
        self.model.setup += if a.cold { 0.1 * (wait - self.model.setup) } else { 0.0 };
        self.due = if self.tasks[task].outstanding() > 1 { now } else { self.due };
        let w = &mut self.workers[i];
        w.start((task, number), size, now);
        self.model.kinds[w.site.kind].slots = self.model.kinds[w.site.kind].slots.max(w.running);
        // The wait implies the peer load: all that had to finish before, or some part of the free slots.
        let sample = if wait > PROMPT_S {
            (slots + wait * slots * speed / self.model.slot_time - n_before - size).max(0.0)
        } else {
            self.peer_slots(i, 1.0).min(0.6 * (slots - n_before - size).max(0.0))
        };
        self.observe_load(i, sample, 0.4);
    }

    pub fn progressed(&mut self, task: usize, number: usize, _share: f64) {
        let Some(i) = self.tasks.open(task, number).map(|a| a.worker) else { return };
        self.tasks[task].assignments[number].last_update = self.now;
        self.workers[i].mark_responsive(self.now);
    }

    pub fn ended(&mut self, task: usize, number: usize, ending: Ending, done: bool) {
        let Some(a) = self.tasks.open(task, number).copied() else { return };
        let (now, i, warm, t) = (self.now, a.worker, self.warmth(a.worker) >= 1.0, &mut self.tasks[task]);
        let (size, workload, full) = (t.size, t.workload, ending == Ending::Full);
        let waited = a.started.is_none() && secs(now - a.sent) > PROMPT_S;
        t.assignments[number].ending = Some(ending);
        t.stage = if done { Stage::Done } else { t.stage };
        let w = &mut self.workers[i];
        w.release((task, number), size, a.started.is_some(), now);
        self.in_use -= size;
        self.changed.push(i);
        match ending {
            Ending::Finished => {
                w.mark_responsive(now);
                (w.energy, w.fresh, w.errors) = (Energy::Busy, false, w.errors - ERROR_WEIGHT * w.errors);
                // Workers serve in order: a prompt start found a free slot, and that slot is free again.
                if self.mode != Mode::Off && a.started.is_some_and(|at| secs(at - a.sent) <= PROMPT_S) {
                    self.grants.freed.push((i, size));
                }
                // Prevents a cold worker from being rated slow, unless there are few other samples.
                if warm || self.model.runs[workload].seen < 8.0 {
                    self.model.record_run(w, workload, size, secs(now - a.started.unwrap_or(a.sent)));
                }
            }
            Ending::Error | Ending::Reset | Ending::ConnectFailed => {
                w.errors += ERROR_WEIGHT - ERROR_WEIGHT * w.errors;
                self.suspect(i);
            }
            Ending::Full | Ending::Cancelled if full || waited => {
                // Peers have taken whatever was free.
                self.observe_load(i, self.peer_slots(i, 1.0).max(self.slots(i) - self.workers[i].n), 1.0);
            }
            _ => {}
        }
        self.unsettled.push(task);
    }

    /// A worker's load report, which comes with an answer.
    pub fn reported(&mut self, i: usize, report: &[f64]) {
        let value = |at: Option<usize>| at.and_then(|at| report.get(at)).copied().filter(|v| v.is_finite());
        let (free, waiting) = (value(self.cfg.report_free), value(self.cfg.report_waiting));
        let Some(free) = free else { return };
        let kind = &mut self.model.kinds[self.workers[i].site.kind];
        kind.slots = kind.slots.max(free.round());
        let (slots, direct) = (self.slots(i), self.mode == Mode::Direct);
        // Prevents a standstill: answers of running tasks reveal free slots that no scheduler knows of.
        if let Some((_, freed)) = self.grants.freed.iter_mut().find(|f| f.0 == i).filter(|_| direct) {
            *freed += ((free - *freed) * REPORTED_FREE_SHARE).floor().max(0.0);
        }
        let in_use = (slots - free).max(0.0) + waiting.unwrap_or(0.0) * 1.3;
        self.observe_load(i, (in_use - self.workers[i].n).max(0.0), REPORT_WEIGHT);
    }

    fn observe_load(&mut self, i: usize, load: f64, weight: f64) {
        let (old, slots) = (self.peer_slots(i, 1.0), self.slots(i));
        let w = &mut self.workers[i];
        (w.peer_load, w.load_seen) = (old + weight * (load - old), self.now);
        self.model.observe_peer_share(w.site, (w.peer_load / slots).min(1.0));
    }
}
