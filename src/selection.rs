//! Selection of the worker with the lowest index: capacity, speed, eligibility and deadlines.

use crate::policy::*;

const DEDUP_MARGIN: Duration = Duration::from_millis(50); // latency of a repeat whose group forgets soon
const PEER_LOAD_DECAY_S: f64 = 2.0; // observed peer load decays over this: about one or two tasks
const QUEUE_DENSITY: f64 = 0.5; // workloads with this share of the best utility per work may queue at workers
const CONTENDED_SLOTS: f64 = 2.0; // free slots of a worker that peers may take at the same moment
const COLD_BUDGET_USED: f64 = 0.5; // used part of a cold budget: tasks run long, schedulers coincide

impl Policy {
    /// Local arrival rate, in slots per second.
    fn lambda(&self) -> f64 {
        self.arrivals.per_second_since(self.start, self.now, RATE_WINDOW_S).max(RATE_FLOOR)
    }

    /// Speed of one core: of its kind, or its own if clearly different; times the root of its warmth.
    pub(crate) fn speed(&self, i: usize) -> f64 {
        let speed = self.model.kinds[self.workers[i].site.kind].speed + self.workers[i].own_speed(self.now);
        speed.exp() * self.warmth(i).sqrt()
    }

    pub(crate) fn slots(&self, i: usize) -> f64 {
        self.model.slots(&self.workers[i], self.cfg.live_weights)
    }

    pub(crate) fn warmth(&self, i: usize) -> f64 {
        self.workers[i].warmth(self.now, self.cfg.cold_share, self.cfg.warm_within)
    }

    /// Slots that peers use on a worker: as last observed, decaying to their mean share on similar workers.
    pub(crate) fn peer_slots(&self, i: usize, cap: f64) -> f64 {
        let w = &self.workers[i];
        if self.silent <= 0.0 {
            return w.usage.total;
        }
        let fade = (-secs(self.now.saturating_sub(w.load_seen)) / PEER_LOAD_DECAY_S).exp();
        let share = self.model.peer_shares[w.site.zone][w.site.kind].min(cap);
        let inferred = w.peer_load * fade + share * self.slots(i) * (1.0 - fade);
        w.usage.total + self.silent * inferred
    }

    /// Slots in use or waited for on a worker, including those of peers.
    pub(crate) fn occupied(&self, i: usize, cap: f64) -> f64 {
        let w = &self.workers[i];
        let late = |&(t, k): &(usize, usize)| secs(self.now - self.tasks[t].assignments[k].sent) > PROMPT_S;
        // Workers serve in order: while a local task waits there, all slots are taken.
        let least = if w.waiting.front().is_some_and(late) { self.slots(i) + w.n - w.running } else { 0.0 };
        let free = if self.mode == Mode::Broadcast { 0.0 } else { self.granted(i) };
        let peers = if free > 0.0 { (self.slots(i) - w.n - free).max(0.0) } else { self.peer_slots(i, cap) };
        least.max(w.n + peers)
    }

    /// Time left and run time, for a short and a long run: queues delay the first, slow workers the second.
    fn deadlines(&self, task: usize) -> [(f64, f64); 2] {
        let (t, now) = (&self.tasks[task], secs(self.now));
        let (row, r) = (&self.cfg.workloads[t.workload], &self.model.runs[t.workload]);
        let spread = if r.seen > 0.0 { r.spread } else { 0.0 }; // a first guess must not shed all tasks
        [r.log - spread, r.log + spread].map(|log| {
            let promised = secs(t.created + row.promised) + row.stretch * log.exp();
            (promised.min(secs(t.deadline) - ANSWER_MARGIN_S) - now, log.exp())
        })
    }

    /// Time that may still pass before a start on the fastest kind is too late.
    pub(crate) fn slack(&self, task: usize) -> f64 {
        slack(self.deadlines(task), self.max_speed)
    }

    /// Prevents overloading a cold worker: the time that its local budget takes for this much work.
    pub(crate) fn cold_pause(&self, i: usize, work: f64) -> Duration {
        let (s, capacity) = (&self.cfg, self.slots(i) * self.speed(i));
        // Half is equal, so that quiet schedulers may send; half by traffic. `speed` has half the warmth.
        let share = 0.5 / s.schedulers as f64 + 0.5 * self.model.local_share;
        let budget = COLD_BUDGET_USED * s.overload_factor * self.warmth(i).sqrt() * capacity * share;
        Duration::from_secs_f64((work / budget).min(secs(s.warm_within)))
    }

    /// Prevents repeated effects: whether a task may still be sent to a worker.
    pub(crate) fn allowed(&self, task: usize, i: usize) -> bool {
        let (t, site) = (&self.tasks[task], self.workers[i].site);
        let row = &self.cfg.workloads[t.workload];
        row.kind.is_none_or(|k| k == site.kind)
            && t.may_have_run().all(|a| match row.effect {
                Effect::Idempotent => true,
                Effect::Unrepeatable => false,
                Effect::Deduplicated(group) => {
                    let remembered = self.now + DEDUP_MARGIN < a.sent + row.memory;
                    remembered && group.joins(self.workers[a.worker].site, site)
                }
            })
    }

    pub(crate) fn eligible(&self, task: usize, i: usize) -> bool {
        let (t, w) = (&self.tasks[task], &self.workers[i]);
        let row = &self.cfg.workloads[t.workload];
        let excluded = self.doubtful(i) && (row.effect != Effect::Idempotent || t.assignments.len() > 1);
        let resting =
            (self.yielded || w.rest_until > self.now) && self.warmth(i) < 1.0 || w.avoid_until > self.now;
        let tried = t.assignments.iter().any(|a| a.worker == i);
        w.ready() && !w.silent && !resting && !excluded && !tried && self.allowed(task, i)
    }

    /// Barred, or just back and busy: used only without an alternative, by tasks that lose little there.
    fn doubtful(&self, i: usize) -> bool {
        let w = &self.workers[i];
        w.is_barred(self.now) || w.bar_count > 0 && w.errors > 0.2 && w.n > 0.0
    }

    /// Collects the workers to score. Sampling avoids crowding the same few best of a large list.
    fn sample(&mut self, task: usize, pool: Pool) {
        self.candidates.clear();
        if let Pool::Homes(group) = pool {
            return self.pick_homes(self.tasks[task].data_set, group);
        }
        let (draws, listed) = (1 + self.lambda() as usize, self.zones.listed);
        if pool == Pool::All || 2 * draws >= listed {
            return self.candidates.extend(0..self.workers.len());
        }
        let earlier = self.tasks[task].may_have_run().next(); // a bound task stays in this zone
        let home = earlier.map_or(self.cfg.zone, |a| self.workers[a.worker].site.zone);

        self.candidates.extend(&self.grants.workers);
        for k in 0..2 * draws {
            self.candidates.extend(self.zones.pick(home, k < draws, self.rng.0.rand_u64()));
        }
        self.candidates.sort_unstable();
        self.candidates.dedup(); // unique, in a fixed order
    }

    /// The eligible worker of the lowest index, ties broken at random, and its tier: free capacity (3),
    /// perhaps free capacity (2), the task would queue but be in time (1), or be late (0).
    pub(crate) fn lowest(&mut self, task: usize, pool: Pool) -> Option<(usize, u8)> {
        self.sample(task, pool);
        let (lambda, deadlines, t) = (self.lambda(), self.deadlines(task), &self.tasks[task]);
        let (direct, broadcast) = (self.mode == Mode::Direct, self.mode == Mode::Broadcast);
        let (mut sum, mut count, mut best_tier) = (0.0, 0.0, 0);
        let cost = CROSSING_WEIGHT * self.cfg.crossing_cost;
        let mut scores = std::mem::take(&mut self.scores);
        scores.clear();
        for &i in self.candidates.iter().filter(|&&i| self.eligible(task, i)) {
            let (slots, speed, sure) = (self.slots(i), self.speed(i), !self.doubtful(i));
            let occupied = self.occupied(i, 1.0);
            // Prefers in time, then free capacity, then the index. Half a slot allows for rounding.
            let margin = t.size.min(slots) - slots - if direct { 0.0 } else { 0.5 / t.size };
            let guess = !direct && self.silent > 0.0;
            let over = margin + if guess { self.occupied(i, GUESS_CAP) } else { occupied };
            let beyond = occupied + margin;
            let queue = if over > 0.0 { over * self.model.slot_time / (slots * speed) } else { 0.0 };
            let in_time = queue < slack(deadlines, speed);
            // Peers compete for the last slots: only those left to this scheduler are certain.
            let responsible =
                self.workers[i].hash.checked_rem(self.cfg.members as u64) == Some(self.cfg.position as u64);
            let ample = beyond <= -CONTENDED_SLOTS.min(slots - t.size);
            let left = broadcast && (responsible || ample) || self.granted(i) >= t.size.min(slots);
            let sure = sure && beyond <= 0.0 && (self.mode == Mode::Off || left);
            let tier = u8::from(in_time) * (1 + u8::from(over <= 0.0) + u8::from(sure));
            best_tier = best_tier.max(tier);
            scores.push((i, tier, occupied, slots * speed));
        }
        if !matches!(pool, Pool::Homes(_)) && best_tier < 3 {
            let misses = self.misses.filter(|f| f.0 == self.now).map_or(0, |f| f.1);
            self.misses = Some((self.now, misses + 1));
        }
        scores.retain(|s| s.1 == best_tier);
        for score in &mut scores {
            let (i, occupied, capacity) = (score.0, score.2, score.3);
            let (w, mu) = (&self.workers[i], capacity / self.model.slot_time);
            let delta = (1.0 / self.model.setup.max(1e-3)).max(1.05 * mu);
            let idle = w.n == 0.0 && secs(self.now.saturating_sub(w.last_used)) > IDLE_WINDOW_S;
            let energy = if idle { Energy::Off } else { w.energy };
            let crossing = if w.site.zone == self.cfg.zone { 0.0 } else { cost };
            score.2 = whittle(occupied, energy, lambda, mu, delta) * (1.0 + crossing);
            if !w.fresh {
                (sum, count) = (sum + score.2, count + 1.0);
            }
        }
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0u64);
        for &(i, tier, mut index, _) in &scores {
            let w = &self.workers[i];
            if w.fresh && count > 0.0 {
                // Without completions: no better than the mean of the others while busy, no worse while idle.
                index = if w.n > 0.0 { index.max(sum / count) } else { index.min(sum / count) };
            }
            if index <= lowest * (1.0 + 1e-9) {
                ties = if index < lowest * (1.0 - 1e-9) { 1 } else { ties + 1 };
                if self.rng.0.rand_range(0..ties) == 0 {
                    (best, lowest) = (Some((i, tier)), index);
                }
            }
        }
        self.scores = scores;
        best
    }

    /// Adds a group of a data set's homes, the same at every scheduler, so that not all workers fetch it.
    fn pick_homes(&mut self, set: u64, group: usize) {
        let mut data_sets = std::mem::take(&mut self.data_sets);
        let ready = (0..self.workers.len()).filter(|&i| self.workers[i].ready());
        let capacity = |i: usize| self.slots(i) * self.model.kinds[self.workers[i].site.kind].speed.exp();
        if let Some(home) = data_sets.homes(set, || ready.map(|i| (i, self.workers[i].hash, capacity(i)))) {
            let share = home.requests.per_second(self.now, RATE_WINDOW_S) / self.lambda();
            let k = (share * self.zones.listed as f64).ceil().max(1.0) as usize;
            self.candidates.extend(home.workers.iter().skip(group * k).take(k).filter(|&&i| i < usize::MAX));
        }
        self.data_sets = data_sets;
    }

    /// Utility of a task per unit of work, by the mean run time of its workload.
    pub(crate) fn density(&self, task: usize) -> f64 {
        self.tasks[task].utility / self.model.runs[self.tasks[task].workload].mean
    }

    pub(crate) fn may_queue(&self, task: usize) -> bool {
        let rows = self.cfg.workloads.iter().zip(&self.model.runs);
        self.density(task) >= QUEUE_DENSITY * rows.map(|(row, r)| row.utility / r.mean).fold(0.0, f64::max)
    }
}
