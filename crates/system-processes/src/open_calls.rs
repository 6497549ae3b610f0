//! Clients' requests being served: their number, the stage of each, and the log lines of those left
//! unanswered when the process ends.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its head has been read; its body is incomplete or its route not found yet.
    Reading,
    WaitingForSlot,
    /// Sent to a worker.
    AtWorker,
    /// Its answer is being written to the client.
    Answering,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Reading => "being read",
            Stage::WaitingForSlot => "waiting for a slot",
            Stage::AtWorker => "at a worker",
            Stage::Answering => "being answered",
        })
    }
}

/// A request being served. Times are by the process's clock.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Empty until its route is found.
    pub service: String,
    /// When its client's connection was accepted.
    pub connected: Duration,
    /// When its head was read.
    pub received: Duration,
    pub stage: Stage,
    /// When it entered this stage.
    pub since: Duration,
}

/// Identifies a request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// All requests being served.
#[derive(Debug, Default)]
pub struct OpenCalls {
    open: BTreeMap<CallId, OpenCall>,
    last: u64,
}

impl OpenCalls {
    /// Adds a request whose head has been read.
    pub fn begin(&mut self, connected: Duration, now: Duration) -> CallId {
        self.last += 1;
        let id = CallId(self.last);
        let call =
            OpenCall { service: String::new(), connected, received: now, stage: Stage::Reading, since: now };
        self.open.insert(id, call);
        id
    }

    /// Records the service that its route leads to.
    pub fn set_service(&mut self, id: CallId, service: &str) {
        if let Some(call) = self.open.get_mut(&id) {
            call.service = service.to_string();
        }
    }

    /// Moves it to another stage.
    pub fn enter(&mut self, id: CallId, stage: Stage, now: Duration) {
        if let Some(call) = self.open.get_mut(&id) {
            call.stage = stage;
            call.since = now;
        }
    }

    /// Removes a request that is answered, or whose client has disconnected.
    pub fn end(&mut self, id: CallId) -> Option<OpenCall> {
        self.open.remove(&id)
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The requests, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &OpenCall> {
        self.open.values()
    }
}

/// Counts of the requests that a leaving process received, logged when it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakenWhileLeaving {
    /// On connections from before SIGTERM.
    pub on_kept_connections: u32,
    /// On connections accepted after it.
    pub on_new_connections: u32,
    /// How long after SIGTERM the last one was received.
    pub latest: Duration,
    /// Refused with a `Retry-After`, as too little time was left for them.
    pub refused: u32,
    /// Answered by the proxy itself when the time was over before their worker answered.
    pub broken_off: u32,
}

impl TakenWhileLeaving {
    /// Records a request that was received so long after SIGTERM.
    pub fn record(&mut self, after: Duration, is_kept: bool) {
        let count = if is_kept { &mut self.on_kept_connections } else { &mut self.on_new_connections };
        *count += 1;
        self.latest = self.latest.max(after);
    }
}

impl fmt::Display for TakenWhileLeaving {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let latest = self.latest.as_secs_f64();
        write!(f, "taken after SIGTERM: {} on kept connections, ", self.on_kept_connections)?;
        write!(f, "{} on new ones, the last {latest:.2} s after it; ", self.on_new_connections)?;
        write!(f, "{} refused, {} broken off", self.refused, self.broken_off)
    }
}

impl OpenCall {
    /// The log line for a request left unanswered when the process ends.
    pub fn unanswered(&self, terminated: Duration, now: Duration) -> String {
        let after_sigterm = |at: Duration| at.as_secs_f64() - terminated.as_secs_f64();
        let service = if self.service.is_empty() { "no service yet" } else { &self.service };
        format!(
            "unanswered: for {service}, taken {:.2} s after SIGTERM, on a connection accepted {:.2} s \
             after it, {} for {:.2} s",
            after_sigterm(self.received),
            after_sigterm(self.connected),
            self.stage,
            now.saturating_sub(self.since).as_secs_f64(),
        )
    }
}
