//! Supervises the processes of one scheduler: starts it, restarts it after a crash, starts a new program
//! beside the old one, and rolls back if the new one does not serve. Performs no I/O: it receives
//! observations of the processes and returns orders one by one.
//!
//! A scheduler has two places, since two processes run side by side during an upgrade: one serves; the other
//! is free, starting or stopping.

use std::time::Duration;

/// Back-off between restarts after crashes, doubling from the minimum to the maximum.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// This many crashes within the window are a crash loop: a start that fails for its file or its address fails
/// again.
const CRASH_LOOP_COUNT: usize = 6;
const CRASH_LOOP_WINDOW: Duration = Duration::from_secs(120);
/// How long a new process may take to become ready; the platform waits as long.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a stopping process may take: the longest wait for tasks in progress (3 s), its last answers and a
/// margin. Then it is killed, as the platform does.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// A new program that exits by itself within this time after it began to serve is rolled back instead of
/// restarted.
const PROBATION: Duration = Duration::from_secs(60);

/// A program, by the number that the caller assigned.
pub type Program = usize;

/// The next action. Places are 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a process of this program in this place.
    Start { program: Program, place: usize },
    /// Sends SIGTERM.
    Stop { place: usize },
    /// Sends SIGKILL.
    Kill { place: usize },
}

/// Observed status of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessStatus {
    /// No process.
    Gone,
    /// A process that accepts no clients or does not answer.
    Up,
    /// A process that answers `readyz` positively.
    Ready,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No process; the next start is due at this time.
    Down(Duration),
    Serving,
    /// The new program is starting in the other place.
    Upgrading,
    /// A crash loop: no further starts until `restart` is called.
    GivenUp,
}

/// Result of the last upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upgrade {
    Done,
    /// The new process exited before it served.
    ExitedEarly,
    /// It did not become ready in time.
    TimedOut,
    /// It served, and exited by itself soon after.
    RolledBack,
}

#[derive(Clone, Debug)]
pub struct Supervisor {
    state: State,
    program: Program,
    /// The program before the last upgrade.
    previous: Option<Program>,
    /// The place that serves, or is meant to.
    place: usize,
    statuses: [ProcessStatus; 2],
    /// When a process was started that has not been observed yet.
    started_at: [Option<Duration>; 2],
    /// When a process was told to stop, and whether it was killed.
    stopping_since: [Option<Duration>; 2],
    killed: [bool; 2],
    /// The process starting in the other place is no longer wanted.
    upgrade_cancelled: bool,
    /// The program of an upgrade in progress, and when it began.
    pending_upgrade: Option<(Program, Duration)>,
    upgraded_at: Option<Duration>,
    last_upgrade: Option<Upgrade>,
    crashes: Vec<Duration>,
    backoff: Duration,
}

impl Supervisor {
    /// Adopts the processes found in the two places. One that serves is kept; if both exist, the other is
    /// stopped.
    pub fn adopt(
        program: Program,
        previous: Option<Program>,
        statuses: [ProcessStatus; 2],
        now: Duration,
    ) -> Self {
        let rank = |status| match status {
            ProcessStatus::Ready => 2,
            ProcessStatus::Up => 1,
            ProcessStatus::Gone => 0,
        };
        let place = usize::from(rank(statuses[1]) > rank(statuses[0]));
        let state = if statuses[place] == ProcessStatus::Gone { State::Down(now) } else { State::Serving };
        Supervisor {
            state,
            program,
            previous,
            place,
            statuses,
            started_at: [None; 2],
            stopping_since: [None; 2],
            killed: [false; 2],
            upgrade_cancelled: false,
            pending_upgrade: None,
            upgraded_at: None,
            last_upgrade: None,
            crashes: Vec::new(),
            backoff: MIN_BACKOFF,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether clients are accepted.
    pub fn is_ready(&self) -> bool {
        matches!(self.state, State::Serving | State::Upgrading)
            && self.statuses.contains(&ProcessStatus::Ready)
    }

    pub fn program(&self) -> Program {
        self.program
    }

    pub fn previous(&self) -> Option<Program> {
        self.previous
    }

    /// The place that serves, or is meant to.
    pub fn place(&self) -> usize {
        self.place
    }

    /// Result of the last upgrade; none before the first or while one is in progress.
    pub fn last_upgrade(&self) -> Option<Upgrade> {
        self.last_upgrade.filter(|_| self.state != State::Upgrading)
    }

    /// Starts another program beside the running one, or returns a one-line reason why not now.
    pub fn upgrade(&mut self, program: Program, now: Duration) -> Result<(), String> {
        let other = 1 - self.place;
        if program == self.program {
            if self.state == State::Upgrading {
                // Cancels the upgrade: the new process is not waited for, so that the old one accepts clients
                // again at once.
                self.upgrade_cancelled = true;
            }
            self.end_upgrade(Upgrade::Done);
            return Ok(());
        }
        match self.state {
            // A process that was given up or is down is simply started with the other program.
            State::Down(_) | State::GivenUp => {
                (self.previous, self.program) = (Some(self.program), program);
                (self.state, self.upgraded_at, self.last_upgrade) =
                    (State::Down(now), Some(now), Some(Upgrade::Done));
                self.crashes.clear();
                self.backoff = MIN_BACKOFF;
                Ok(())
            }
            State::Upgrading if self.pending_upgrade.is_some_and(|(next, _)| next == program) => Ok(()),
            State::Upgrading => Err("another upgrade is under way".into()),
            // Guards against a second handover while the process before the last one still has tasks.
            State::Serving
                if self.statuses[other] != ProcessStatus::Gone || self.started_at[other].is_some() =>
            {
                Err("the previous process has not ended".into())
            }
            State::Serving if self.statuses[self.place] != ProcessStatus::Ready => {
                Err("it is not ready".into())
            }
            State::Serving => {
                (self.state, self.pending_upgrade, self.last_upgrade) =
                    (State::Upgrading, Some((program, now)), None);
                Ok(())
            }
        }
    }

    /// Restarts after a crash loop was given up.
    pub fn restart(&mut self, now: Duration) {
        if self.state == State::GivenUp {
            (self.state, self.backoff) = (State::Down(now), MIN_BACKOFF);
            self.crashes.clear();
        }
    }

    /// Records the observed status of a place.
    pub fn observe(&mut self, place: usize, status: ProcessStatus, now: Duration) {
        let was = std::mem::replace(&mut self.statuses[place], status);
        if status != ProcessStatus::Gone {
            self.started_at[place] = None;
            // Guards against a second process beside one that another supervisor has just started.
            if matches!(self.state, State::Down(_) | State::GivenUp) && place == self.place {
                self.state = State::Serving;
            }
            return;
        }
        // A process that was just started may not be visible at once.
        let starting = self.started_at[place].is_some_and(|at| now.saturating_sub(at) < MIN_BACKOFF);
        if starting || was == ProcessStatus::Gone && self.started_at[place].is_none() {
            return;
        }
        (self.started_at[place], self.stopping_since[place], self.killed[place]) = (None, None, false);
        if place != self.place {
            if self.state == State::Upgrading {
                self.end_upgrade(Upgrade::ExitedEarly);
            }
            return;
        }
        if self.state == State::Upgrading {
            // The old process ended while the new one starts, so the new one takes over. If it has not been
            // started yet, it starts in the other place.
            self.switch_over(now);
            if self.statuses[self.place] == ProcessStatus::Gone && self.started_at[self.place].is_none() {
                self.state = State::Down(now);
            }
        }
    }

    fn end_upgrade(&mut self, result: Upgrade) {
        if self.state == State::Upgrading {
            self.state = State::Serving;
        }
        (self.pending_upgrade, self.last_upgrade) = (None, Some(result));
    }

    fn switch_over(&mut self, now: Duration) {
        if let Some((program, _)) = self.pending_upgrade.take() {
            (self.previous, self.program) = (Some(self.program), program);
        }
        self.place = 1 - self.place;
        (self.state, self.upgraded_at, self.last_upgrade) = (State::Serving, Some(now), Some(Upgrade::Done));
    }

    fn on_crash(&mut self, now: Duration) {
        let on_probation = self.upgraded_at.is_some_and(|at| now.saturating_sub(at) < PROBATION);
        if let Some(previous) = self.previous.filter(|_| on_probation) {
            // Guards against a new program that serves and exits again and again.
            (self.program, self.previous) = (previous, None);
            (self.upgraded_at, self.last_upgrade) = (None, Some(Upgrade::RolledBack));
            self.state = State::Down(now);
            return;
        }
        self.crashes.retain(|at| now.saturating_sub(*at) < CRASH_LOOP_WINDOW);
        // It served for longer than the crash-loop window, so this crash is unrelated to earlier ones.
        if self.crashes.is_empty() {
            self.backoff = MIN_BACKOFF;
        }
        self.crashes.push(now);
        if self.crashes.len() >= CRASH_LOOP_COUNT {
            self.state = State::GivenUp;
            return;
        }
        self.state = State::Down(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// The next order, if one is due. Call until it returns none.
    pub fn next_order(&mut self, now: Duration) -> Option<Order> {
        if self.state == State::Serving
            && self.statuses[self.place] == ProcessStatus::Gone
            && self.started_at[self.place].is_none()
        {
            self.on_crash(now);
        }
        let other = 1 - self.place;
        match self.state {
            State::Down(at) if now >= at => {
                self.state = State::Serving;
                return Some(self.start(self.program, self.place, now));
            }
            State::Upgrading => {
                let (program, since) = self.pending_upgrade?;
                if self.statuses[other] == ProcessStatus::Ready {
                    self.switch_over(now);
                } else if now.saturating_sub(since) >= READY_TIMEOUT {
                    self.end_upgrade(Upgrade::TimedOut);
                    return self.kill(other);
                } else if self.statuses[other] == ProcessStatus::Gone && self.started_at[other].is_none() {
                    return Some(self.start(program, other, now));
                }
            }
            State::Down(_) | State::Serving | State::GivenUp => {}
        }
        if self.state == State::Upgrading {
            return None;
        }
        // Frees the other place once this one serves.
        let other = 1 - self.place;
        let is_serving = self.state == State::Serving && self.statuses[self.place] == ProcessStatus::Ready;
        if std::mem::take(&mut self.upgrade_cancelled) {
            return self.kill(other);
        }
        match self.stopping_since[other] {
            None if self.statuses[other] != ProcessStatus::Gone && is_serving => {
                self.stopping_since[other] = Some(now);
                Some(Order::Stop { place: other })
            }
            Some(since) if now.saturating_sub(since) >= STOP_TIMEOUT && !self.killed[other] => {
                self.kill(other)
            }
            _ => None,
        }
    }

    fn start(&mut self, program: Program, place: usize, now: Duration) -> Order {
        (self.started_at[place], self.stopping_since[place], self.killed[place]) = (Some(now), None, false);
        Order::Start { program, place }
    }

    fn kill(&mut self, place: usize) -> Option<Order> {
        self.killed[place] = true;
        Some(Order::Kill { place })
    }
}
