//! Keeps one scheduler's process: starts it, starts it again after a crash, brings a new program beside the old one, and
//! goes back where the new one does not serve. No I/O: told what was seen of the processes, gives orders one by one.
//!
//! A scheduler has two places, since two processes live side by side in an upgrade: one serves, the other is free, or
//! begins, or leaves.

use std::time::Duration;

/// Pauses between starts after crashes: the first, doubling, to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// So many crashes within this are a loop: a start that fails for its file or its address fails again.
const LOOP: usize = 6;
const LOOP_WITHIN: Duration = Duration::from_secs(120);
/// The platform waits so long for a yes of a new process.
const TO_SERVE: Duration = Duration::from_secs(6);
/// What a process told to stop may take: the longest that it waits for what is in hand (3 s), its last answers, and some
/// to spare. Then it is killed, as the platform does.
const TO_LEAVE: Duration = Duration::from_secs(5);
/// A new program that ends by itself within this after it began to serve is gone back on, instead of started again.
const PROBATION: Duration = Duration::from_secs(60);

/// A program by the number that the caller gave it.
pub type Program = usize;

/// What to do next. Places are 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// A process of this program at this place.
    Start { program: Program, place: usize },
    /// SIGTERM.
    Stop { place: usize },
    /// SIGKILL.
    Kill { place: usize },
}

/// What a place is seen to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// No process.
    Gone,
    /// One that lets no clients in, or says nothing.
    Up,
    /// It says yes to `readyz`.
    Ready,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No process; the next start is at this moment.
    Down(Duration),
    Serves,
    /// The other place begins with the new program.
    Upgrades,
    /// A loop of crashes: nothing more until it is told to begin anew.
    GivenUp,
}

/// What became of the last upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upgrade {
    Done,
    /// The new process ended before it served.
    Ended,
    /// It did not serve in time.
    Late,
    /// It served, and ended by itself soon after.
    WentBack,
}

#[derive(Clone, Debug)]
pub struct Keeping {
    state: State,
    program: Program,
    /// What it ran before the last upgrade.
    previous: Option<Program>,
    /// The place that serves, or is to.
    place: usize,
    sights: [Sight; 2],
    /// A process was ordered there, and nothing was seen of it yet.
    begun: [Option<Duration>; 2],
    /// Told to leave, from when on; and killed.
    leaves: [Option<Duration>; 2],
    killed: [bool; 2],
    /// The process that begins at the other place is not wanted any more.
    withdrawn: bool,
    /// The program of an upgrade under way, and when it began.
    next: Option<(Program, Duration)>,
    upgraded: Option<Duration>,
    last: Option<Upgrade>,
    crashes: Vec<Duration>,
    pause: Duration,
}

impl Keeping {
    /// A scheduler whose places were just looked at: what is found there goes on. One that serves is kept; where both
    /// are there, the other is told to leave.
    pub fn found(program: Program, previous: Option<Program>, sights: [Sight; 2], now: Duration) -> Self {
        let rank = |sight| match sight {
            Sight::Ready => 2,
            Sight::Up => 1,
            Sight::Gone => 0,
        };
        let place = usize::from(rank(sights[1]) > rank(sights[0]));
        let state = if sights[place] == Sight::Gone { State::Down(now) } else { State::Serves };
        Keeping {
            state,
            program,
            previous,
            place,
            sights,
            begun: [None; 2],
            leaves: [None; 2],
            killed: [false; 2],
            withdrawn: false,
            next: None,
            upgraded: None,
            last: None,
            crashes: Vec::new(),
            pause: FIRST_PAUSE,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether clients are let in.
    pub fn is_ready(&self) -> bool {
        matches!(self.state, State::Serves | State::Upgrades) && self.sights.contains(&Sight::Ready)
    }

    pub fn program(&self) -> Program {
        self.program
    }

    pub fn previous(&self) -> Option<Program> {
        self.previous
    }

    /// The place that serves, or is to.
    pub fn place(&self) -> usize {
        self.place
    }

    /// What became of the last upgrade; none before the first, or while one is under way.
    pub fn last(&self) -> Option<Upgrade> {
        self.last.filter(|_| self.state != State::Upgrades)
    }

    /// Brings another program beside the one that runs; one line says why not now.
    pub fn upgrade(&mut self, program: Program, now: Duration) -> Result<(), String> {
        let other = 1 - self.place;
        if program == self.program {
            if self.state == State::Upgrades {
                // Called back: the new process is not waited for, so that the old one lets clients in again at once.
                self.withdrawn = true;
            }
            self.fails(Upgrade::Done);
            return Ok(());
        }
        match self.state {
            // A process that was given up, or is down, is simply started with the other program.
            State::Down(_) | State::GivenUp => {
                (self.previous, self.program) = (Some(self.program), program);
                (self.state, self.upgraded, self.last) = (State::Down(now), Some(now), Some(Upgrade::Done));
                self.crashes.clear();
                self.pause = FIRST_PAUSE;
                Ok(())
            }
            State::Upgrades if self.next.is_some_and(|(next, _)| next == program) => Ok(()),
            State::Upgrades => Err("another upgrade is under way".into()),
            // Guards against a second handover while the process before the last one still has tasks.
            State::Serves if self.sights[other] != Sight::Gone || self.begun[other].is_some() => {
                Err("the process before this one has not ended".into())
            }
            State::Serves if self.sights[self.place] != Sight::Ready => Err("it is not ready".into()),
            State::Serves => {
                (self.state, self.next, self.last) = (State::Upgrades, Some((program, now)), None);
                Ok(())
            }
        }
    }

    /// Begins anew with what was given up.
    pub fn anew(&mut self, now: Duration) {
        if self.state == State::GivenUp {
            (self.state, self.pause) = (State::Down(now), FIRST_PAUSE);
            self.crashes.clear();
        }
    }

    /// A place was looked at.
    pub fn saw(&mut self, place: usize, sight: Sight, now: Duration) {
        let was = std::mem::replace(&mut self.sights[place], sight);
        if sight != Sight::Gone {
            self.begun[place] = None;
            // Guards against a second process over one that another keeper had just begun.
            if matches!(self.state, State::Down(_) | State::GivenUp) && place == self.place {
                self.state = State::Serves;
            }
            return;
        }
        // One that was just ordered may not be seen at once.
        let starts = self.begun[place].is_some_and(|at| now.saturating_sub(at) < FIRST_PAUSE);
        if starts || was == Sight::Gone && self.begun[place].is_none() {
            return;
        }
        (self.begun[place], self.leaves[place], self.killed[place]) = (None, None, false);
        if place != self.place {
            if self.state == State::Upgrades {
                self.fails(Upgrade::Ended);
            }
            return;
        }
        if self.state == State::Upgrades {
            // The old one has gone while the new one begins: that one is all there is. Where it has not begun yet, the
            // other place is as good as any.
            self.takes_over(now);
            if self.sights[self.place] == Sight::Gone && self.begun[self.place].is_none() {
                self.state = State::Down(now);
            }
        }
    }

    fn fails(&mut self, how: Upgrade) {
        if self.state == State::Upgrades {
            self.state = State::Serves;
        }
        (self.next, self.last) = (None, Some(how));
    }

    fn takes_over(&mut self, now: Duration) {
        if let Some((program, _)) = self.next.take() {
            (self.previous, self.program) = (Some(self.program), program);
        }
        self.place = 1 - self.place;
        (self.state, self.upgraded, self.last) = (State::Serves, Some(now), Some(Upgrade::Done));
    }

    fn crashed(&mut self, now: Duration) {
        let on_probation = self.upgraded.is_some_and(|at| now.saturating_sub(at) < PROBATION);
        if let Some(previous) = self.previous.filter(|_| on_probation) {
            // Guards against a new program that serves and then ends, again and again.
            (self.program, self.previous) = (previous, None);
            (self.upgraded, self.last) = (None, Some(Upgrade::WentBack));
            self.state = State::Down(now);
            return;
        }
        self.crashes.retain(|at| now.saturating_sub(*at) < LOOP_WITHIN);
        // It served for as long as a loop lasts: what comes now is another trouble.
        if self.crashes.is_empty() {
            self.pause = FIRST_PAUSE;
        }
        self.crashes.push(now);
        if self.crashes.len() >= LOOP {
            self.state = State::GivenUp;
            return;
        }
        self.state = State::Down(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// The next order, if there is one now. Call again until there is none.
    pub fn decide(&mut self, now: Duration) -> Option<Order> {
        if self.state == State::Serves
            && self.sights[self.place] == Sight::Gone
            && self.begun[self.place].is_none()
        {
            self.crashed(now);
        }
        let other = 1 - self.place;
        match self.state {
            State::Down(at) if now >= at => {
                self.state = State::Serves;
                return Some(self.start(self.program, self.place, now));
            }
            State::Upgrades => {
                let (program, since) = self.next?;
                if self.sights[other] == Sight::Ready {
                    self.takes_over(now);
                } else if now.saturating_sub(since) >= TO_SERVE {
                    self.fails(Upgrade::Late);
                    return self.kill(other);
                } else if self.sights[other] == Sight::Gone && self.begun[other].is_none() {
                    return Some(self.start(program, other, now));
                }
            }
            State::Down(_) | State::Serves | State::GivenUp => {}
        }
        if self.state == State::Upgrades {
            return None;
        }
        // The other place is to be free once this one serves.
        let other = 1 - self.place;
        let serves = self.state == State::Serves && self.sights[self.place] == Sight::Ready;
        if std::mem::take(&mut self.withdrawn) {
            return self.kill(other);
        }
        match self.leaves[other] {
            None if self.sights[other] != Sight::Gone && serves => {
                self.leaves[other] = Some(now);
                Some(Order::Stop { place: other })
            }
            Some(since) if now.saturating_sub(since) >= TO_LEAVE && !self.killed[other] => self.kill(other),
            _ => None,
        }
    }

    fn start(&mut self, program: Program, place: usize, now: Duration) -> Order {
        (self.begun[place], self.leaves[place], self.killed[place]) = (Some(now), None, false);
        Order::Start { program, place }
    }

    fn kill(&mut self, place: usize) -> Option<Order> {
        self.killed[place] = true;
        Some(Order::Kill { place })
    }
}
