//! The look over all that is out: silence, doomed tasks, the sums of the list, workers that err.

use crate::policy::*;

const NOTE_GRACE: f64 = 0.7; // a progress note this late is no common pause
const ERRORS_BAR: f64 = 0.45; // smoothed share of errors that bars a worker: two on end reach it
const BARRED_SHARE: f64 = 0.34; // at most this share of the ready workers is set aside at a time
const TALLY: f64 = 1.0; // the list is added up this often: a long one takes a millisecond

impl Policy {
    /// Looks over all that is out: silence, doomed tasks, hard limits, the list, words.
    pub(crate) fn sweep(&mut self) {
        let now = self.now;
        self.due = Duration::MAX;
        if self.tallied.is_none_or(|at| secs(now - at) >= TALLY) {
            self.tally();
        }
        self.passed = [0, 0]; // what waits here is looked at again, the highest utility per work first
        let mut lines = std::mem::take(&mut self.lines);
        let best_first = |x: &usize, y: &usize| self.density(*y).total_cmp(&self.density(*x));
        lines.iter_mut().for_each(|line| line.make_contiguous().sort_by(best_first));
        self.lines = lines;
        for task in 0..self.tasks.len() {
            for k in 0..self.tasks[task].assignments.len() {
                self.look_for_silence(self.tasks[task].assignments[k]);
            }
            let t = &self.tasks[task];
            if t.stage != Stage::Out {
                continue;
            }
            let limit = secs(t.limit) - secs(now) - LAST_CALL;
            let runs = t.assignments.iter().any(|a| a.live() && a.started.is_some());
            let repeatable = self.sheet.workloads[t.workload].effect != Effect::Unrepeatable;
            let silent =
                |a: &Assignment| a.ending.is_none() && (self.overdue(a) || self.workers[a.worker].silent);
            let silent = repeatable && t.assignments.iter().any(silent);
            let stuck = self.stuck(task);
            let has_room = |i| {
                let sure = self.talk != Talk::ToOne || self.room(i) >= t.size;
                sure && self.eligible(task, i) && self.occupied(i, MAY_BE) + t.size <= self.slots(i) + 0.1
            };
            let grace =
                if self.talk == Talk::ToOne { self.known.run_times[t.workload].log.exp() } else { 0.0 };
            let hope = if runs { limit } else { self.spare(task) + grace };
            let mut next = limit.min(hope);
            if next <= 0.0 {
                let answer = self.give_up(task);
                self.say.push_back(answer);
            } else if silent || stuck && (0..self.workers.len()).any(has_room) {
                self.call_off(task);
            }
            next = if runs || !repeatable { next } else { next.min(secs(SWEEP)) };
            self.due = self.due.min(now + Duration::from_secs_f64(next.max(0.0)).max(SWEEP));
        }
        self.bar();
        self.tell();
        self.seek();
        self.due =
            if self.changed.is_empty() { self.due } else { self.due.min(self.peers.told + TELL_EVERY) };
    }

    /// Guards against waiting behind hidden traffic: what has not started at once, and may be sent again.
    fn stuck(&self, task: usize) -> bool {
        let t = &self.tasks[task];
        let waits = |a: &Assignment| a.ending.is_none() && a.started.is_none();
        // Where all is told room was there: what waits met others on the way, or its worker stands still.
        let long = if self.talk == Talk::ToAll { self.known.slot_time } else { AT_ONCE };
        self.sheet.reports_start
            && t.assignments.last().is_some_and(|a| waits(a) && secs(self.now - a.sent) >= long)
            && t.may_go_on(&self.sheet.workloads)
            && self.sheet.workloads[t.workload].effect != Effect::Unrepeatable
    }

    /// Adds up the list, rarely: the ready workers, the own part of all traffic, the mean speed (kept at 1).
    fn tally(&mut self) {
        self.tallied = Some(self.now);
        let sums = self.known.add_up(&self.workers, self.sheet.live_weights);
        self.fastest = self.known.kinds.iter().map(|k| k.speed.exp()).fold(1.0, f64::max);
        (self.ready, self.fair) = (sums.ready, sums.fleet / self.sheet.schedulers as f64);
        for peer in self.peers.lost(self.now) {
            self.workers.iter_mut().for_each(|w| w.told.silence(peer));
        }
        self.untold = 1.0 - self.peers.talking() as f64 / (self.sheet.schedulers.max(2) - 1) as f64;
    }

    /// The notes on an assignment are overdue: it stands still, and its worker too if that tells no more.
    fn overdue(&self, a: &Assignment) -> bool {
        let late = |gap| secs(self.now - a.heard) > secs(gap) + NOTE_GRACE;
        a.live() && a.started.is_some() && self.sheet.progress_interval.is_some_and(late)
    }

    /// A worker that tells nothing at all while notes are overdue stands still: as good as erring.
    fn look_for_silence(&mut self, a: Assignment) {
        let Some(gap) = self.sheet.progress_interval.map(secs) else { return };
        let since = if self.overdue(&a) { self.workers[a.worker].heard } else { a.heard };
        let quiet = secs(self.now - since);
        if !a.live() || a.started.is_none() || self.workers[a.worker].silent {
        } else if quiet <= gap + NOTE_GRACE {
            self.due = self.due.min(since + Duration::from_secs_f64(gap + NOTE_GRACE) + SWEEP);
        } else {
            (self.workers[a.worker].silent, self.workers[a.worker].errors) = (true, 1.0);
            self.suspect(a.worker);
            let line = format!("worker {} silent for {quiet:.2} s, task started", a.worker);
            self.say.push_back(Decision::Log(line));
        }
    }

    /// Its errors are judged at the next sweep, which is due now.
    pub(crate) fn suspect(&mut self, i: usize) {
        self.due = self.now;
        self.suspects.retain(|&x| x != i);
        self.suspects.push(i);
    }

    /// Bars workers that err far too often, a limited share at a time, for longer each time.
    fn bar(&mut self) {
        let now = self.now;
        let mut suspects = std::mem::take(&mut self.suspects);
        // If many fail together it is not theirs alone: a worker is judged against its fellows.
        let sum: f64 = suspects.iter().map(|&i| self.workers[i].errors).sum();
        let bar = ERRORS_BAR.max((2.5 * sum / self.ready.max(1) as f64).min(0.95));
        let most = ((BARRED_SHARE * self.ready as f64) as usize).max(1);
        let mut barred = suspects.iter().filter(|&&i| self.workers[i].is_barred(now)).count();
        suspects.retain(|&i| {
            let w = &mut self.workers[i];
            let errors = w.errors;
            if !w.is_barred(now) && errors > bar && barred < most {
                barred += 1;
                let pause = w.set_aside(now);
                let line = format!("worker {i} barred for {:.1} s: share of errors {errors:.2}", secs(pause));
                self.say.push_back(Decision::Log(line));
            } else if !w.is_barred(now) && errors < 0.05 && w.spells > 0 {
                (w.spells, w.barred_until) = (0, None);
                self.say.push_back(Decision::Log(format!("worker {i} back: share of errors {errors:.2}")));
            }
            w.spells > 0 || w.errors > 0.01
        });
        self.suspects = suspects;
    }
}
