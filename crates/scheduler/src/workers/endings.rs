//! All ways in which an assignment, and the connection that carries it, can end.

use tindock::types::Ending;

/// One value for each way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// Update: done, with the result.
    Done,
    /// Update: the worker failed on it.
    Failed,
    /// Update: returned without having been started.
    Returned,
    /// Update: it was killed, or its machine reported that the worker died.
    Lost,
    /// Response: the task itself is unusable for any worker.
    Unusable(u16),
    /// Response: a status that neither accepts the task nor says that it never ran.
    UnexpectedStatus(u16),
    /// Response: rejected, with the header that says it never ran.
    Rejected,
    /// The connection was refused, or broke while it was being established.
    ConnectFailed,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection broke before the last byte was written.
    BrokeBeforeSent,
    /// The connection broke or ended after the last byte, before a response.
    BrokeAfterSent,
    /// The worker closed an idle connection before its idle time-out, and the list is too old to use a new
    /// one.
    ClosedIdle,
    /// The hard limit of the task passed first.
    TimedOut,
    /// Cancelled by the module.
    Cancelled,
    /// Not a byte was written, and none will be.
    NeverSent,
}

impl Close {
    /// Behaviour that is unlikely for a worker that stays: a sign that it is leaving, while no list is
    /// available.
    pub fn is_sign_of_leaving(self) -> bool {
        use Close::{BrokeBeforeSent, ClosedIdle, ConnectFailed, ConnectTimeout, Rejected, Returned};
        matches!(self, Rejected | Returned | ConnectFailed | ConnectTimeout | BrokeBeforeSent | ClosedIdle)
    }
}

impl From<Close> for Ending {
    fn from(close: Close) -> Ending {
        match close {
            Close::Done => Ending::Finished,
            Close::Failed | Close::UnexpectedStatus(_) => Ending::Error,
            Close::Returned | Close::Rejected => Ending::Full,
            Close::ConnectFailed | Close::ConnectTimeout | Close::BrokeBeforeSent => Ending::ConnectFailed,
            Close::Lost | Close::BrokeAfterSent => Ending::Reset,
            Close::TimedOut => Ending::TimedOut,
            Close::Cancelled => Ending::Cancelled,
            // Guards against barring workers for requests of faulty clients: nothing ran, and the worker is
            // not at fault.
            Close::Unusable(_) | Close::NeverSent | Close::ClosedIdle => Ending::NotSent,
        }
    }
}
