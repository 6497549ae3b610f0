//! The states of a process from its start to its end, and what it may take on in each, without I/O.
//!
//! After SIGTERM a process has its grace period. What it takes on then must be known to be done within it: a piece of work
//! is admitted if the time that it may take, as measured ([`run_time`]) or promised, fits into what is left until
//! unanswered work is broken off ([`grace`]). What is not admitted is refused at once, and what is broken off is answered.
//!
//! Times are by the process's own steady clock, from its start.

pub mod defects;
pub mod grace;
pub mod run_time;

pub use grace::GracePeriod;
pub use run_time::{RunTime, RunTimes};

use defects::{injected, Defect};
use std::time::Duration;

/// Where a process stands between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It does not yet know what it needs for its work.
    Starting,
    /// It takes on all work.
    Ready,
    /// SIGTERM has come; those who send work do not all know it yet. Work that fits is taken on.
    Leaving,
    /// Nothing new is taken on; what is in hand is finished.
    Closing,
    /// What is still unanswered is broken off and answered.
    Aborting,
    /// The process is to end now.
    Ended,
}

/// Why a piece of work is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Nothing new is taken on any more.
    Closing,
    /// It may take longer than there is time.
    TooLong,
}

/// What a signal to end changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terminated {
    /// The process leaves from now on.
    Leaving,
    /// It left already: the first signal's times hold.
    Already,
}

/// The life of one process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    grace: GracePeriod,
    is_ready: bool,
    terminated: Option<Duration>,
    /// By a planted defect alone.
    ends_at_once: bool,
}

impl Lifecycle {
    /// A process that starts.
    pub fn new(grace: GracePeriod) -> Lifecycle {
        Lifecycle { grace, is_ready: false, terminated: None, ends_at_once: false }
    }

    /// It knows what it needs for its work, for the first time.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// SIGTERM has come. A further one changes nothing.
    pub fn terminate(&mut self, now: Duration) -> Terminated {
        if injected(Defect::SignalIgnored) {
            return Terminated::Already;
        }
        if self.terminated.is_some() && !injected(Defect::GraceFromLastSignal) {
            self.ends_at_once = injected(Defect::FurtherSignalEnds);
            return Terminated::Already;
        }
        let terminated_at = if injected(Defect::GraceFromStart) { Duration::ZERO } else { now };
        self.terminated = Some(terminated_at);
        Terminated::Leaving
    }

    /// When SIGTERM came.
    pub fn terminated_at(&self) -> Option<Duration> {
        self.terminated
    }

    /// Whether SIGTERM has come.
    pub fn is_leaving(&self) -> bool {
        self.terminated.is_some()
    }

    pub fn phase(&self, now: Duration) -> Phase {
        let Some(terminated) = self.terminated else {
            return if self.is_ready { Phase::Ready } else { Phase::Starting };
        };
        let since = now.saturating_sub(terminated);
        let abort = match () {
            () if injected(Defect::BreaksOffEarly) => self.grace.admission(),
            () if injected(Defect::BreaksOffNothing) => self.grace.end(),
            () => self.grace.abort(),
        };
        match since {
            _ if self.ends_at_once || injected(Defect::EndsAtOnce) => Phase::Ended,
            since if since < self.grace.admission() => Phase::Leaving,
            since if since < abort => Phase::Closing,
            since if since < self.grace.end() => Phase::Aborting,
            _ => Phase::Ended,
        }
    }

    /// Whether a request that has just come in is taken on, whatever it is.
    pub fn admits_new_requests(&self, now: Duration) -> bool {
        self.phase(now) <= Phase::Leaving
    }

    /// Whether work that has been taken on may begin now, if it is done after `longest` at the latest.
    pub fn may_begin(&self, now: Duration, longest: Duration) -> Result<(), Refused> {
        let ignored = injected(Defect::TimeLeftIgnored) || injected(Defect::AdmitsUntilTheEnd);
        match self.latest_start(longest) {
            _ if ignored => Ok(()),
            Some(latest) if now > latest => Err(Refused::TooLong),
            _ => Ok(()),
        }
    }

    /// Whether work that has just come in is taken on, if it is done after `longest` at the latest.
    pub fn admits(&self, now: Duration, longest: Duration) -> Result<(), Refused> {
        if injected(Defect::AdmitsUntilTheEnd) {
            return Ok(());
        }
        if !self.admits_new_requests(now) {
            return Err(Refused::Closing);
        }
        self.may_begin(now, longest)
    }

    /// When work that is done after `longest` at the latest has to begin; none before SIGTERM.
    pub fn latest_start(&self, longest: Duration) -> Option<Duration> {
        let terminated = self.terminated?;
        let work_deadline = self.grace.work_deadline();
        // What would not fit even at SIGTERM itself has no time at all any more.
        Some((terminated + work_deadline).saturating_sub(longest))
    }

    /// Whether what was on its way when admission ended has come.
    fn all_requests_arrived(&self, now: Duration) -> bool {
        self.terminated.is_some_and(|terminated| now >= terminated + self.grace.earliest_end())
    }

    /// Whether the process may end, with so much in hand.
    pub fn may_end(&self, now: Duration, in_progress: usize) -> bool {
        match self.phase(now) {
            Phase::Starting | Phase::Ready | Phase::Leaving => false,
            Phase::Closing if injected(Defect::EndsWithWorkInHand) => true,
            Phase::Closing => in_progress == 0 && self.all_requests_arrived(now),
            Phase::Aborting => in_progress == 0,
            Phase::Ended => true,
        }
    }
}
