//! The worker of the lowest index: what workers can do and hold, where a task may go, and when.

use crate::policy::*;

const MEMORY_MARGIN: Duration = Duration::from_millis(50); // a repeat's way to a group that forgets soon
const HIDDEN_SPAN: f64 = 2.0; // what others have on a worker is forgotten over this: about a task or two
const QUEUE_SHARE: f64 = 0.5; // a workload may queue at workers from this share of the best utility per work
const CLAIMED: f64 = 2.0; // free slots of a worker that others may take at the same moment
const COLD_ROOM: f64 = 0.5; // part of a cold budget that is used: tasks run long, schedulers coincide

impl Policy {
    /// Own arrivals a second, in slots.
    fn lambda(&self) -> f64 {
        self.arrivals.since(self.start, self.now, RATE_SPAN).max(RATE_FLOOR)
    }

    /// Speed of one core, of its kind or its own if clearly apart; half way to the full while it warms.
    pub(crate) fn speed(&self, i: usize) -> f64 {
        let speed = self.known.kinds[self.workers[i].site.kind].speed + self.workers[i].own_speed(self.now);
        speed.exp() * self.warmth(i).sqrt()
    }

    /// Slots of a worker: the most seen at once on its kind; before that its size, which may count speed too.
    pub(crate) fn slots(&self, i: usize) -> f64 {
        self.known.slots(&self.workers[i], self.sheet.live_weights)
    }

    pub(crate) fn warmth(&self, i: usize) -> f64 {
        self.workers[i].warmth(self.now, self.sheet.cold_share, self.sheet.warm_within)
    }

    /// Slots that others have on a worker: as last seen, fading into their share of its like.
    pub(crate) fn hidden(&self, i: usize, most: f64) -> f64 {
        let w = &self.workers[i];
        if self.untold <= 0.0 {
            return w.told.sum;
        }
        let fade = (-secs(self.now.saturating_sub(w.seen)) / HIDDEN_SPAN).exp();
        let others = self.known.peer_shares[w.site.zone][w.site.kind].min(most);
        let inferred = w.peer_load * fade + others * self.slots(i) * (1.0 - fade);
        w.told.sum + self.untold * inferred
    }

    /// Slots in use or waited for on a worker, others' included.
    pub(crate) fn occupied(&self, i: usize, most: f64) -> f64 {
        let w = &self.workers[i];
        let late = |&(t, k): &(usize, usize)| secs(self.now - self.tasks[t].assignments[k].sent) > AT_ONCE;
        // Served in order: while an own task waits, all slots are taken.
        let least = if w.waiting.front().is_some_and(late) { self.slots(i) + w.n - w.running } else { 0.0 };
        let room = if self.talk == Talk::ToAll { 0.0 } else { self.room(i) };
        let hidden = if room > 0.0 { (self.slots(i) - w.n - room).max(0.0) } else { self.hidden(i, most) };
        least.max(w.n + hidden)
    }

    /// A task's short and long run, and the time left: a wait binds a short one, a slow worker a long one.
    fn ends(&self, task: usize) -> [(f64, f64); 2] {
        let (t, now) = (&self.tasks[task], secs(self.now));
        let (row, r) = (&self.sheet.workloads[t.workload], &self.known.run_times[t.workload]);
        let spread = if r.seen > 0.0 { r.spread } else { 0.0 }; // guards against a guess that sheds all
        [r.log - spread, r.log + spread].map(|log| {
            let promised = secs(t.born + row.promised) + row.stretch * log.exp();
            (promised.min(secs(t.limit) - LAST_CALL) - now, log.exp())
        })
    }

    /// Time that may still pass before a task starts on the fastest kind and is in time.
    pub(crate) fn spare(&self, task: usize) -> f64 {
        spare(self.ends(task), self.fastest)
    }

    /// Guards against pushing over a cold worker: the own share of its budget needs this long for a work.
    pub(crate) fn pause(&self, i: usize, work: f64) -> Duration {
        let (s, full) = (&self.sheet, self.slots(i) * self.speed(i));
        // Half is equal: who sends little may send at all; half by traffic. Speed has half the warmth.
        let part = 0.5 / s.schedulers as f64 + 0.5 * self.known.local_share;
        let budget = COLD_ROOM * s.overload_factor * self.warmth(i).sqrt() * full * part;
        Duration::from_secs_f64((work / budget).min(secs(s.warm_within)))
    }

    /// Guards against doubled effects: where a task may still be sent.
    pub(crate) fn allowed(&self, task: usize, i: usize) -> bool {
        let (t, site) = (&self.tasks[task], self.workers[i].site);
        let row = &self.sheet.workloads[t.workload];
        row.kind.is_none_or(|k| k == site.kind)
            && t.maybe_ran().all(|a| match row.effect {
                Effect::Idempotent => true,
                Effect::Unrepeatable => false,
                Effect::Deduplicated(group) => {
                    let still = self.now + MEMORY_MARGIN < a.sent + row.memory;
                    still && group.joins(self.workers[a.worker].site, site)
                }
            })
    }

    pub(crate) fn eligible(&self, task: usize, i: usize) -> bool {
        let (t, w) = (&self.tasks[task], &self.workers[i]);
        let row = &self.sheet.workloads[t.workload];
        let out = self.doubtful(i) && (row.effect != Effect::Idempotent || t.assignments.len() > 1);
        let rests =
            (self.yielded || w.rest_until > self.now) && self.warmth(i) < 1.0 || w.left_out > self.now;
        let tried = t.assignments.iter().any(|a| a.worker == i);
        w.ready() && !w.silent && !rests && !out && !tried && self.allowed(task, i)
    }

    /// Barred, or just back and with a task in it: only where no other has room, for what loses little there.
    fn doubtful(&self, i: usize) -> bool {
        let w = &self.workers[i];
        w.is_barred(self.now) || w.spells > 0 && w.errors > 0.2 && w.n > 0.0
    }

    /// The workers a task is scored on. Guards against crowding the same few best of a large list.
    fn draw(&mut self, task: usize, among: Among) {
        self.drawn.clear();
        if let Among::Homes(group) = among {
            return self.draw_homes(self.tasks[task].set, group);
        }
        let (reach, listed) = (1 + self.lambda() as usize, self.roster.listed);
        if among == Among::All || 2 * reach >= listed {
            return self.drawn.extend(0..self.workers.len());
        }
        let earlier = self.tasks[task].maybe_ran().next(); // bound to its zone, if to any
        let home = earlier.map_or(self.sheet.zone, |a| self.workers[a.worker].site.zone);

        self.drawn.extend(&self.rooms.at);
        for k in 0..2 * reach {
            self.drawn.extend(self.roster.pick(home, k < reach, self.chance.0.rand_u64()));
        }
        self.drawn.sort_unstable();
        self.drawn.dedup(); // each once, in a fixed order
    }

    /// The worker of the lowest index among those open to the task, ties by chance; and whether there is room
    /// for it (3), may be room (2), or it would wait but be in time (1), or be late (0).
    pub(crate) fn lowest(&mut self, task: usize, among: Among) -> Option<(usize, u8)> {
        self.draw(task, among);
        let (lambda, ends, t) = (self.lambda(), self.ends(task), &self.tasks[task]);
        let (sparing, tells_all) = (self.talk == Talk::ToOne, self.talk == Talk::ToAll);
        let (mut sum, mut count, mut best_tier) = (0.0, 0.0, 0);
        let price = CROSSING * self.sheet.crossing_cost;
        let mut scores = std::mem::take(&mut self.scores);
        scores.clear();
        for &i in self.drawn.iter().filter(|&&i| self.eligible(task, i)) {
            let (slots, speed, sure) = (self.slots(i), self.speed(i), !self.doubtful(i));
            let occupied = self.occupied(i, 1.0);
            // Guards against late answers: in time, then with room, then the index. Half a slot is rounding.
            let needs = t.size.min(slots) - slots - if sparing { 0.0 } else { 0.5 / t.size };
            let guess = !sparing && self.untold > 0.0;
            let over = needs + if guess { self.occupied(i, MAY_BE) } else { occupied };
            let beyond = occupied + needs;
            let queue = if over > 0.0 { over * self.known.slot_time / (slots * speed) } else { 0.0 };
            let in_time = queue < spare(ends, speed);
            // Where schedulers talk others go for the last slots too: only what is left to this one is sure.
            let care = self.workers[i].mark.checked_rem(self.sheet.exchange_size as u64)
                == Some(self.sheet.position as u64);
            let plenty = beyond <= -CLAIMED.min(slots - t.size);
            let left = tells_all && (care || plenty) || self.room(i) >= t.size.min(slots);
            let sure = sure && beyond <= 0.0 && (self.talk == Talk::Silent || left);
            let tier = u8::from(in_time) * (1 + u8::from(over <= 0.0) + u8::from(sure));
            best_tier = best_tier.max(tier);
            scores.push((i, tier, occupied, slots * speed));
        }
        if !matches!(among, Among::Homes(_)) && best_tier < 3 {
            let misses = self.full.filter(|f| f.0 == self.now).map_or(0, |f| f.1);
            self.full = Some((self.now, misses + 1));
        }
        scores.retain(|s| s.1 == best_tier);
        for score in &mut scores {
            let (i, occupied, able) = (score.0, score.2, score.3);
            let (w, mu) = (&self.workers[i], able / self.known.slot_time);
            let delta = (1.0 / self.known.setup.max(1e-3)).max(1.05 * mu);
            let idle = w.n == 0.0 && secs(self.now.saturating_sub(w.used)) > IDLE_WINDOW;
            let energy = if idle { Energy::Off } else { w.energy };
            let crossing = if w.site.zone == self.sheet.zone { 0.0 } else { price };
            score.2 = whittle(occupied, energy, lambda, mu, delta) * (1.0 + crossing);
            if !w.fresh {
                (sum, count) = (sum + score.2, count + 1.0);
            }
        }
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0u64);
        for &(i, tier, mut index, _) in &scores {
            let w = &self.workers[i];
            if w.fresh && count > 0.0 {
                // New or returning, it stands at the others' mean, or is tried: that is never the lowest.
                index = if w.n > 0.0 { index.max(sum / count) } else { index.min(sum / count) };
            }
            if index <= lowest * (1.0 + 1e-9) {
                ties = if index < lowest * (1.0 - 1e-9) { 1 } else { ties + 1 };
                if self.chance.0.rand_range(0..ties) == 0 {
                    (best, lowest) = (Some((i, tier)), index);
                }
            }
        }
        self.scores = scores;
        best
    }

    /// Draws a group of a set's homes, the same at all. Guards against each set being fetched everywhere.
    fn draw_homes(&mut self, set: u64, group: usize) {
        let mut sets = std::mem::take(&mut self.sets);
        let ready = (0..self.workers.len()).filter(|&i| self.workers[i].ready());
        let able = |i: usize| self.slots(i) * self.known.kinds[self.workers[i].site.kind].speed.exp();
        if let Some(home) = sets.home(set, || ready.map(|i| (i, self.workers[i].mark, able(i)))) {
            let share = home.asked.a_second(self.now, RATE_SPAN) / self.lambda();
            let many = (share * self.roster.listed as f64).ceil().max(1.0) as usize;
            self.drawn.extend(home.workers.iter().skip(group * many).take(many).filter(|&&i| i < usize::MAX));
        }
        self.sets = sets;
    }

    /// Utility per work of a task, by what its workload usually takes.
    pub(crate) fn density(&self, task: usize) -> f64 {
        self.tasks[task].utility / self.known.run_times[self.tasks[task].workload].mean
    }

    pub(crate) fn may_queue(&self, task: usize) -> bool {
        let rows = self.sheet.workloads.iter().zip(&self.known.run_times);
        self.density(task) >= QUEUE_SHARE * rows.map(|(row, r)| row.utility / r.mean).fold(0.0, f64::max)
    }
}
