//! The state of one client attempt, encoded in types. Only a state in which no worker has run the request, or
//! in which it may run more than once, yields a [`SendPermit`]; only the former yields a [`Refusal`] (429,
//! 503).
//!
//! ```text
//!  Attempt(Unsent) --permit--> SendPermit --first byte--> InFlight --full answer--->  the client's answer
//!        ^                        |                          |--- proof ----------> Attempt(NotRun)
//!        `------- unused ---------'                          `--- anything else --> Attempt(MayHaveRun)
//! ```
//!
//! These types can be neither copied nor constructed elsewhere, so a state that has been left cannot be
//! reused. Using one permit for two sends does not compile:
//!
//! ```compile_fail,E0382
//! use tindock_upstream::{Attempt, Repeatability};
//! let Ok(permit) = Attempt::new(Repeatability::NonIdempotent, 2).permit() else { panic!() };
//! let first = permit.sent();
//! let second = permit.sent();
//! ```
//!
//! Neither does refusing a request that is in flight, nor constructing a refusal directly:
//!
//! ```compile_fail,E0599
//! use tindock_upstream::{Attempt, Repeatability};
//! use std::time::Duration;
//! let Ok(permit) = Attempt::new(Repeatability::NonIdempotent, 2).permit() else { panic!() };
//! permit.sent().conclude(Duration::ZERO, false);
//! ```
//!
//! ```compile_fail,E0451
//! use tindock_upstream::Refusal;
//! use std::time::Duration;
//! let refusal = Refusal { after: Duration::ZERO };
//! ```
//!
//! Nor constructing a proof that a worker has not run it:
//!
//! ```compile_fail,E0423
//! use tindock_upstream::{Attempt, NotExecuted, Repeatability};
//! let Ok(permit) = Attempt::new(Repeatability::NonIdempotent, 2).permit() else { panic!() };
//! permit.sent().not_executed(NotExecuted(()));
//! ```

use crate::defects::{injected, Defect};
use crate::exchange::{NotExecuted, WorkerAnswer};
use std::time::Duration;

/// Whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    Idempotent,
    NonIdempotent,
}

/// What is known about the execution of a request that is not in flight.
#[derive(Debug, PartialEq, Eq)]
enum State {
    /// No byte of it was sent to a worker.
    Unsent,
    /// Each worker that received it has proven that it did not run it and will not.
    NotRun,
    /// Some worker that received it may have run it.
    MayHaveRun,
}

/// A client attempt between two sends.
#[derive(Debug)]
pub struct Attempt {
    state: State,
    repeatability: Repeatability,
    workers_reached: usize,
    max_workers: usize,
}

/// Permission for exactly one send.
#[derive(Debug)]
pub struct SendPermit(Attempt);

/// The request was sent, in part or in full, and no answer has arrived.
#[derive(Debug)]
pub struct InFlight(Attempt);

/// States that the request has not run and never will, so that the client may retry after a while.
#[derive(Debug, PartialEq, Eq)]
pub struct Refusal {
    after: Duration,
}

/// How an attempt ends without an answer from a worker.
#[derive(Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// 503: the request has not run.
    Refused(Refusal),
    /// 502, or 504 after the deadline: the request may have run.
    Unknown { timed_out: bool },
}

/// Statuses which state that a request has not run.
fn claims_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl Attempt {
    /// A request of which nothing has been sent, for at most `max_workers` workers.
    pub fn new(repeatability: Repeatability, max_workers: usize) -> Attempt {
        Attempt { state: State::Unsent, repeatability, workers_reached: 0, max_workers: max_workers.max(1) }
    }

    /// Workers that have received at least a part of the request.
    pub fn workers_reached(&self) -> usize {
        self.workers_reached
    }

    /// The only way to send. Returns the attempt if no further send is allowed.
    pub fn permit(self) -> Result<SendPermit, Attempt> {
        let may_run = match self.state {
            State::Unsent | State::NotRun => true,
            State::MayHaveRun => {
                self.repeatability == Repeatability::Idempotent || injected(Defect::RepeatedSend)
            }
        };
        let workers_left = self.workers_reached < self.max_workers || injected(Defect::WorkersNotCounted);
        if may_run && workers_left {
            Ok(SendPermit(self))
        } else {
            Err(self)
        }
    }

    /// The only way to refuse: ends an attempt that is given up.
    pub fn conclude(self, after: Duration, timed_out: bool) -> Conclusion {
        match self.state {
            State::Unsent | State::NotRun => Conclusion::Refused(Refusal { after }),
            State::MayHaveRun if injected(Defect::RefusalAfterSend) => Conclusion::Refused(Refusal { after }),
            State::MayHaveRun => Conclusion::Unknown { timed_out },
        }
    }
}

impl SendPermit {
    /// Whether the send needs a connection that has not carried this request before: a late copy of the first
    /// refusal could not be distinguished from a refusal of the second send.
    pub fn needs_unused_connection(&self) -> bool {
        let is_retry = self.0.workers_reached > 0 && self.0.repeatability == Repeatability::NonIdempotent;
        is_retry && !injected(Defect::ConnectionReusedForRetry)
    }

    /// Nothing was written, so the attempt is unchanged.
    pub fn unused(self) -> Attempt {
        self.0
    }

    /// Must be called before the first byte is written.
    pub fn sent(self) -> InFlight {
        let mut attempt = self.0;
        attempt.workers_reached += 1;
        InFlight(attempt)
    }
}

impl InFlight {
    /// The worker has proven that it did not run the request. Whether an earlier worker did remains unknown.
    pub fn not_executed(self, _proof: NotExecuted) -> Attempt {
        let mut attempt = self.0;
        if attempt.state == State::Unsent {
            attempt.state = State::NotRun;
        }
        attempt
    }

    /// The connection was reset or closed, timed out, or returned an invalid answer.
    pub fn lost(self) -> Attempt {
        let mut attempt = self.0;
        attempt.state = State::MayHaveRun;
        attempt
    }

    /// A complete answer from the worker. It is for the client, unless an idempotent request may succeed
    /// elsewhere or its status would state that the request has not run, which the worker did not prove.
    pub fn answered(self, answer: Box<WorkerAnswer>) -> Result<Box<WorkerAnswer>, Attempt> {
        let claims_not_run = claims_not_run(answer.head.status);
        let failed = claims_not_run || answer.head.status >= 500;
        let for_client = !failed || (self.0.repeatability == Repeatability::NonIdempotent && !claims_not_run);
        if for_client {
            Ok(answer)
        } else {
            Err(self.lost())
        }
    }
}

impl Refusal {
    pub fn after(&self) -> Duration {
        self.after
    }
}
