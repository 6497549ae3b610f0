//! Every way in which an assignment, and the connection that carries it, can end.

use tindock::types::Ending;

/// One value for each way; `None` of a status means that no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// News: done, with the result.
    Done,
    /// News: the worker erred at it.
    Erred,
    /// News: handed back unstarted.
    Returned,
    /// News: it was killed, or its machine saw the worker die.
    Lost,
    /// Answered that the task itself cannot be used: no worker could.
    Unusable(u16),
    /// Answered with a status that means neither taken nor never ran.
    Odd(u16),
    /// Answered as turned away, with the mark that it never ran.
    TurnedAway,
    /// The connection was turned down, or broke while it came up.
    NotConnected,
    /// The connection did not come up in time.
    DialOverdue,
    /// It broke before the last byte was written.
    BrokeUnsent,
    /// It broke or ended after the last byte, before an answer.
    BrokeSent,
    /// The worker let a kept connection go early, while it was idle, and none is asked of it on an old list.
    LetGo,
    /// The task's hard limit came first.
    Overdue,
    /// The module called it off.
    CalledOff,
    /// Not a byte was written, and none will be.
    NeverSent,
}

impl Close {
    /// What a worker that goes on would hardly do: a sign of leaving, where no list says who leaves.
    pub fn is_sign_of_leaving(self) -> bool {
        use Close::{BrokeUnsent, DialOverdue, LetGo, NotConnected, Returned, TurnedAway};
        matches!(self, TurnedAway | Returned | NotConnected | DialOverdue | BrokeUnsent | LetGo)
    }
}

impl From<Close> for Ending {
    fn from(close: Close) -> Ending {
        match close {
            Close::Done => Ending::Finished,
            Close::Erred | Close::Odd(_) => Ending::Error,
            Close::Returned | Close::TurnedAway => Ending::Full,
            Close::NotConnected | Close::DialOverdue | Close::BrokeUnsent => Ending::ConnectFailed,
            Close::Lost | Close::BrokeSent => Ending::Reset,
            Close::Overdue => Ending::TimedOut,
            Close::CalledOff => Ending::Cancelled,
            // Guards against workers barred for what bad clients send: it is not theirs, and nothing ran.
            Close::Unusable(_) | Close::NeverSent | Close::LetGo => Ending::NotSent,
        }
    }
}
