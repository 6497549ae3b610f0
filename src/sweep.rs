//! Periodic sweep: silent workers, tasks that cannot be in time, totals of the list, failing workers.

use crate::policy::*;

const PROGRESS_GRACE_S: f64 = 0.7; // a progress message this late is no common pause
const BAR_ERROR_RATE: f64 = 0.45; // smoothed error rate that bars a worker: two errors in a row
const MAX_BARRED_SHARE: f64 = 0.34; // at most this share of the ready workers is barred at a time
const TOTALS_INTERVAL_S: f64 = 1.0; // a long list takes a millisecond to add up

impl Policy {
    pub(crate) fn sweep(&mut self) {
        let now = self.now;
        self.due = Duration::MAX;
        if self.totals_at.is_none_or(|at| secs(now - at) >= TOTALS_INTERVAL_S) {
            self.update_totals();
        }
        self.skipped = [0, 0]; // queued tasks are tried again, highest utility per work first
        let mut queues = std::mem::take(&mut self.queues);
        let best_first = |x: &usize, y: &usize| self.density(*y).total_cmp(&self.density(*x));
        queues.iter_mut().for_each(|queue| queue.make_contiguous().sort_by(best_first));
        self.queues = queues;
        for task in 0..self.tasks.len() {
            for k in 0..self.tasks[task].assignments.len() {
                self.check_silence(self.tasks[task].assignments[k]);
            }
            let t = &self.tasks[task];
            if t.stage != Stage::Assigned {
                continue;
            }
            let remaining = secs(t.deadline) - secs(now) - ANSWER_MARGIN_S;
            let running = t.assignments.iter().any(|a| a.live() && a.started.is_some());
            let repeatable = self.cfg.workloads[t.workload].effect != Effect::Unrepeatable;
            let silent =
                |a: &Assignment| a.ending.is_none() && (self.overdue(a) || self.workers[a.worker].silent);
            let silent = repeatable && t.assignments.iter().any(silent);
            let stuck = self.stuck(task);
            let has_free = |i| {
                let sure = self.mode != Mode::Direct || self.granted(i) >= t.size;
                sure && self.eligible(task, i) && self.occupied(i, GUESS_CAP) + t.size <= self.slots(i) + 0.1
            };
            let grace = if self.mode == Mode::Direct { self.model.runs[t.workload].log.exp() } else { 0.0 };
            let start_left = if running { remaining } else { self.slack(task) + grace };
            let mut next = remaining.min(start_left);
            if next <= 0.0 {
                let answer = self.give_up(task);
                self.output.push_back(answer);
            } else if silent || stuck && (0..self.workers.len()).any(has_free) {
                self.cancel(task);
            }
            next = if running || !repeatable { next } else { next.min(secs(SWEEP_INTERVAL)) };
            self.due = self.due.min(now + Duration::from_secs_f64(next.max(0.0)).max(SWEEP_INTERVAL));
        }
        self.bar_failing();
        self.announce();
        self.request_slots();
        self.due =
            if self.changed.is_empty() { self.due } else { self.due.min(self.peers.sent_at + SEND_INTERVAL) };
    }

    /// Not started promptly, and may be sent again: avoids waiting behind load that was not visible.
    fn stuck(&self, task: usize) -> bool {
        let t = &self.tasks[task];
        let waits = |a: &Assignment| a.ending.is_none() && a.started.is_none();
        // In broadcast mode a slot was free: a peer's task came first, or the worker hangs.
        let patience = if self.mode == Mode::Broadcast { self.model.slot_time } else { PROMPT_S };
        self.cfg.reports_start
            && t.assignments.last().is_some_and(|a| waits(a) && secs(self.now - a.sent) >= patience)
            && t.may_reassign(&self.cfg.workloads)
            && self.cfg.workloads[t.workload].effect != Effect::Unrepeatable
    }

    /// Adds up the list: ready workers, local share of all traffic, mean speed (normalized to 1).
    fn update_totals(&mut self) {
        self.totals_at = Some(self.now);
        let totals = self.model.update_totals(&self.workers, self.cfg.live_weights);
        self.max_speed = self.model.kinds.iter().map(|k| k.speed.exp()).fold(1.0, f64::max);
        (self.ready, self.fair) = (totals.ready, totals.slots / self.cfg.schedulers as f64);
        for peer in self.peers.take_timed_out(self.now) {
            self.workers.iter_mut().for_each(|w| w.usage.clear(peer));
        }
        self.silent = 1.0 - self.peers.active() as f64 / (self.cfg.schedulers.max(2) - 1) as f64;
    }

    /// Progress messages are overdue: the assignment hangs, and so does its worker if it sends nothing else.
    fn overdue(&self, a: &Assignment) -> bool {
        let late = |gap| secs(self.now - a.last_update) > secs(gap) + PROGRESS_GRACE_S;
        a.live() && a.started.is_some() && self.cfg.progress_interval.is_some_and(late)
    }

    /// A worker that sends nothing at all while progress is overdue hangs, which counts as failing.
    fn check_silence(&mut self, a: Assignment) {
        let Some(gap) = self.cfg.progress_interval.map(secs) else { return };
        let since = if self.overdue(&a) { self.workers[a.worker].last_update } else { a.last_update };
        let quiet = secs(self.now - since);
        if !a.live() || a.started.is_none() || self.workers[a.worker].silent {
        } else if quiet <= gap + PROGRESS_GRACE_S {
            self.due = self.due.min(since + Duration::from_secs_f64(gap + PROGRESS_GRACE_S) + SWEEP_INTERVAL);
        } else {
            (self.workers[a.worker].silent, self.workers[a.worker].errors) = (true, 1.0);
            self.suspect(a.worker);
            let line = format!("worker {} silent for {quiet:.2} s, task started", a.worker);
            self.output.push_back(Decision::Log(line));
        }
    }

    /// The worker's error rate is judged at the next sweep, which is due now.
    pub(crate) fn suspect(&mut self, i: usize) {
        self.due = self.now;
        self.suspects.retain(|&x| x != i);
        self.suspects.push(i);
    }

    /// Bars workers with high error rates, a limited share at a time, for longer each time.
    fn bar_failing(&mut self) {
        let now = self.now;
        let mut suspects = std::mem::take(&mut self.suspects);
        // If many fail together the cause is shared: a worker is judged against the others.
        let sum: f64 = suspects.iter().map(|&i| self.workers[i].errors).sum();
        let bar = BAR_ERROR_RATE.max((2.5 * sum / self.ready.max(1) as f64).min(0.95));
        let most = ((MAX_BARRED_SHARE * self.ready as f64) as usize).max(1);
        let mut barred = suspects.iter().filter(|&&i| self.workers[i].is_barred(now)).count();
        suspects.retain(|&i| {
            let w = &mut self.workers[i];
            let errors = w.errors;
            if !w.is_barred(now) && errors > bar && barred < most {
                barred += 1;
                let pause = w.bar(now);
                let line = format!("worker {i} barred for {:.1} s: share of errors {errors:.2}", secs(pause));
                self.output.push_back(Decision::Log(line));
            } else if !w.is_barred(now) && errors < 0.05 && w.bar_count > 0 {
                (w.bar_count, w.barred_until) = (0, None);
                self.output.push_back(Decision::Log(format!("worker {i} back: share of errors {errors:.2}")));
            }
            w.bar_count > 0 || w.errors > 0.01
        });
        self.suspects = suspects;
    }
}
