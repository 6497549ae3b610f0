//! The lifecycle of a process from its start to its end, and which work it admits in each phase, without I/O.
//!
//! After SIGTERM a process has its grace period. Work that it admits then must be done within it: work is
//! admitted if the time that it may take, as measured ([`run_time`]) or promised, fits into what is left
//! until unanswered work is aborted ([`grace`]). Work that is not admitted is refused at once, and work that
//! is aborted is answered.
//!
//! Times are by the process's own monotonic clock, from its start.

pub mod defects;
pub mod grace;
pub mod run_time;

pub use grace::GracePeriod;
pub use run_time::{RunTime, RunTimes};

use defects::{injected, Defect};
use std::time::Duration;

/// The phases of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process lacks data that it needs for its work.
    Starting,
    /// All work is admitted.
    Ready,
    /// SIGTERM was received; not every sender of work has noticed. Work that fits into the grace period is
    /// admitted.
    Leaving,
    /// No new work is admitted; work in progress is finished.
    Closing,
    /// Work that is still unanswered is aborted and answered.
    Aborting,
    /// The process must end now.
    Ended,
}

/// Why work is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No new work is admitted any more.
    Closing,
    /// The work may take longer than the time left.
    TooLong,
}

/// The effect of a SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terminated {
    /// The process leaves from now on.
    Leaving,
    /// The process was leaving already: the times of the first signal apply.
    Already,
}

/// The lifecycle of one process.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    grace: GracePeriod,
    is_ready: bool,
    terminated: Option<Duration>,
    /// Set only by an injected defect.
    ends_at_once: bool,
}

impl Lifecycle {
    /// A process that starts.
    pub fn new(grace: GracePeriod) -> Lifecycle {
        Lifecycle { grace, is_ready: false, terminated: None, ends_at_once: false }
    }

    /// The process has all data that it needs for its work, for the first time.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// SIGTERM was received. A further one changes nothing.
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

    /// When SIGTERM was received.
    pub fn terminated_at(&self) -> Option<Duration> {
        self.terminated
    }

    /// Whether SIGTERM was received.
    pub fn is_leaving(&self) -> bool {
        self.terminated.is_some()
    }

    pub fn phase(&self, now: Duration) -> Phase {
        let Some(terminated) = self.terminated else {
            return if self.is_ready { Phase::Ready } else { Phase::Starting };
        };
        let since = now.saturating_sub(terminated);
        let abort_at = match () {
            () if injected(Defect::BreaksOffEarly) => self.grace.admission(),
            () if injected(Defect::BreaksOffNothing) => self.grace.end(),
            () => self.grace.abort_at(),
        };
        match since {
            _ if self.ends_at_once || injected(Defect::EndsAtOnce) => Phase::Ended,
            since if since < self.grace.admission() => Phase::Leaving,
            since if since < abort_at => Phase::Closing,
            since if since < self.grace.end() => Phase::Aborting,
            _ => Phase::Ended,
        }
    }

    /// Whether a new request is admitted, whatever work it is.
    pub fn admits_new_requests(&self, now: Duration) -> bool {
        self.phase(now) <= Phase::Leaving
    }

    /// Whether admitted work may begin now, if it takes `longest` at most.
    pub fn may_begin(&self, now: Duration, longest: Duration) -> Result<(), Refused> {
        let ignored = injected(Defect::TimeLeftIgnored) || injected(Defect::AdmitsUntilTheEnd);
        match self.latest_start(longest) {
            _ if ignored => Ok(()),
            Some(latest) if now > latest => Err(Refused::TooLong),
            _ => Ok(()),
        }
    }

    /// Whether new work is admitted, if it takes `longest` at most.
    pub fn admits(&self, now: Duration, longest: Duration) -> Result<(), Refused> {
        if injected(Defect::AdmitsUntilTheEnd) {
            return Ok(());
        }
        if !self.admits_new_requests(now) {
            return Err(Refused::Closing);
        }
        self.may_begin(now, longest)
    }

    /// When work that takes `longest` at most has to begin; none before SIGTERM.
    pub fn latest_start(&self, longest: Duration) -> Option<Duration> {
        let terminated = self.terminated?;
        let work_deadline = self.grace.work_deadline();
        // Work that would not fit even at the time of SIGTERM gets no time at all.
        Some((terminated + work_deadline).saturating_sub(longest))
    }

    /// Whether requests that were in flight when admission ended have arrived.
    fn all_requests_arrived(&self, now: Duration) -> bool {
        self.terminated.is_some_and(|terminated| now >= terminated + self.grace.earliest_end())
    }

    /// Whether the process may end, with this much work in progress.
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
