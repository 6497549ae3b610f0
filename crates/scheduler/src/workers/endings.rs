//! Every way in which an assignment, and the connection that carries it, can end.

use tindock::types::Ending;

/// One value for each way; `None` of a status means that no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// News: done, with the result.
    Done,
    /// News: the worker erred at it.
    Failed,
    /// News: handed back unstarted.
    Returned,
    /// News: it was killed, or its machine saw the worker die.
    Lost,
    /// Answered that the task itself cannot be used: no worker could.
    Unusable(u16),
    /// Answered with a status that means neither taken nor never ran.
    UnexpectedStatus(u16),
    /// Answered as turned away, with the mark that it never ran.
    Rejected,
    /// The connection was turned down, or broke while it came up.
    ConnectFailed,
    /// The connection did not come up in time.
    ConnectTimeout,
    /// It broke before the last byte was written.
    BrokeBeforeSent,
    /// It broke or ended after the last byte, before an answer.
    BrokeAfterSent,
    /// The worker let a kept connection go early, while it was idle, and none is asked of it on an old list.
    ClosedIdle,
    /// The task's hard limit came first.
    TimedOut,
    /// The module called it off.
    Cancelled,
    /// Not a byte was written, and none will be.
    NeverSent,
}

impl Close {
    /// What a worker that goes on would hardly do: a sign of leaving, where no list says who leaves.
    pub fn is_sign_of_leaving(self) -> bool {
        use Close::{BrokeBeforeSent, ConnectTimeout, ClosedIdle, ConnectFailed, Returned, Rejected};
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
            // Guards against workers barred for what bad clients send: it is not theirs, and nothing ran.
            Close::Unusable(_) | Close::NeverSent | Close::ClosedIdle => Ending::NotSent,
        }
    }
}
