//! Clients' requests in hand: how many there are, how far each is, and what the log says of those that a process ends with.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its head is read, its body not yet whole, or its route not yet found.
    Reading,
    WaitingForSlot,
    /// Handed to a worker.
    AtWorker,
    /// Its answer is written to the client.
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

/// A request in hand. Times are by the process's clock.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Empty until its route is found.
    pub service: String,
    /// When its client's connection was accepted.
    pub connected: Duration,
    /// When its head was read.
    pub taken: Duration,
    pub stage: Stage,
    /// When it came to this stage.
    pub since: Duration,
}

/// Names a request in hand within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// All requests in hand.
#[derive(Debug, Default)]
pub struct OpenCalls {
    open: BTreeMap<CallId, OpenCall>,
    last: u64,
}

impl OpenCalls {
    /// A request's head has been read.
    pub fn begin(&mut self, connected: Duration, now: Duration) -> CallId {
        self.last += 1;
        let id = CallId(self.last);
        let call =
            OpenCall { service: String::new(), connected, taken: now, stage: Stage::Reading, since: now };
        self.open.insert(id, call);
        id
    }

    /// Its route leads to this service.
    pub fn found(&mut self, id: CallId, service: &str) {
        if let Some(call) = self.open.get_mut(&id) {
            call.service = service.to_string();
        }
    }

    /// It has come to another stage.
    pub fn enter(&mut self, id: CallId, stage: Stage, now: Duration) {
        if let Some(call) = self.open.get_mut(&id) {
            call.stage = stage;
            call.since = now;
        }
    }

    /// It is answered, or its client has gone.
    pub fn end(&mut self, id: CallId) -> Option<OpenCall> {
        self.open.remove(&id)
    }

    pub fn len(&self) -> usize {
        self.open.len()
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &OpenCall> {
        self.open.values()
    }
}

/// Requests that a leaving process has taken, told when it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakenWhileLeaving {
    /// On connections from before SIGTERM.
    pub on_kept_connections: u32,
    /// On connections accepted after it.
    pub on_new_connections: u32,
    /// How long after SIGTERM the last one was taken.
    pub latest: Duration,
    /// AgentMessage to go elsewhere, as there was no time for them.
    pub refused: u32,
    /// Answered without their worker's answer when time was over.
    pub broken_off: u32,
}

impl TakenWhileLeaving {
    /// A request was taken so long after SIGTERM.
    pub fn note(&mut self, after: Duration, is_kept: bool) {
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
    /// What the log says of it where a process ends without having answered it.
    pub fn unanswered(&self, terminated: Duration, now: Duration) -> String {
        let signed = |at: Duration| at.as_secs_f64() - terminated.as_secs_f64();
        let service = if self.service.is_empty() { "no service yet" } else { &self.service };
        format!(
            "unanswered: for {service}, taken {:.2} s after SIGTERM, on a connection accepted {:.2} s after it, {} for {:.2} s",
            signed(self.taken),
            signed(self.connected),
            self.stage,
            now.saturating_sub(self.since).as_secs_f64(),
        )
    }
}
