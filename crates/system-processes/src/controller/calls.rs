//! Operators' calls, from their receipt to their answer.

use super::Controller;
use crate::operator::{digest_text, Call, InForce, Reply, Unavailable};
use spdlog::{info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_configuration::Catalogue;
use tindock_control_store::{digest, Outcome};
use tokio::sync::oneshot;

const NO_MAJORITY: &str = "no majority in touch";
const SHUTTING_DOWN: &str = "this controller is shutting down";
/// Used if the control store names no time.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A call that waits for the control store.
struct OpenCall {
    reply: oneshot::Sender<Reply>,
    received: Duration,
    /// The configuration of the call, if it replaces the one in force.
    sent: Option<InForce>,
}

/// All open calls, by the numbers under which the control store answers them.
#[derive(Default)]
pub(super) struct OpenCalls {
    open: HashMap<u64, OpenCall>,
    last: u64,
    /// When an operator was last answered.
    pub last_answer: Duration,
}

impl OpenCalls {
    fn open(&mut self, call: OpenCall) -> u64 {
        self.last += 1;
        self.open.insert(self.last, call);
        self.last
    }

    /// Number of calls whose operators still wait.
    pub fn len(&self) -> usize {
        self.open.values().filter(|call| !call.reply.is_closed()).count()
    }
}

impl Controller {
    pub(super) fn receive_call(&mut self, now: Duration, call: Call) {
        match call {
            Call::Replace { text, reply } => self.replace(now, text, reply),
            Call::Show { reply } => {
                if let Some(number) = self.open_call(now, OpenCall { reply, received: now, sent: None }) {
                    self.control_store.show(now, number);
                }
            }
            Call::Status { reply } => {
                let mut status = self.control_store.status(now);
                status.in_touch &= self.contact.is_fresh(now);
                let _ = reply.send(Reply::Json(crate::status::answer(&self.settings.node_name, &status)));
                self.calls.last_answer = now;
            }
            Call::Rebinding { call, reply } => {
                let scaler = self.lease.as_mut().map(|lease| &mut lease.duties.scaler);
                let holder = self.holder.map(|(at, _)| at.ip());
                let other_holder = holder.filter(|ip| *ip != self.settings.ip_address);
                let node = &self.settings.node_name;
                let _ = reply.send(crate::rebinding::answer(now, scaler, other_holder, node, call));
                self.calls.last_answer = now;
            }
        }
    }

    /// Registers a call, and returns its number for the control store; none if it was answered at once.
    fn open_call(&mut self, now: Duration, call: OpenCall) -> Option<u64> {
        if self.lifecycle.is_leaving() || self.has_lost_contact(now) {
            let reply = Reply::Unavailable(self.unavailable(now, RETRY_AFTER));
            self.finish(now, call, reply);
            return None;
        }
        Some(self.calls.open(call))
    }

    fn replace(&mut self, now: Duration, text: Vec<u8>, reply: oneshot::Sender<Reply>) {
        match Catalogue::read(&text) {
            Ok(configuration) => {
                let revision = configuration.revision;
                info!("revision {revision} received from an operator, {} bytes", text.len());
                let sent = Some(InForce { revision, digest: digest(&text) });
                let Some(number) = self.open_call(now, OpenCall { reply, received: now, sent }) else {
                    return;
                };
                self.control_store.replace(now, number, revision, text);
                if let Some(lease) = &mut self.lease {
                    lease.duties.scaler.configuration_changing(now);
                }
            }
            Err(fault) => {
                warn!("configuration refused: {fault}");
                self.calls.last_answer = now;
                let _ = reply.send(Reply::Invalid(fault.to_string()));
            }
        }
    }

    pub(super) fn answer_call(&mut self, now: Duration, number: u64, outcome: Outcome) {
        let Some(call) = self.calls.open.remove(&number) else { return };
        let reply = self.reply_to(now, outcome, call.sent);
        self.finish(now, call, reply);
    }

    fn finish(&mut self, now: Duration, call: OpenCall, reply: Reply) {
        self.calls.last_answer = now;
        call.log_outcome(now, &reply);
        // Fails if the operator has disconnected.
        let _ = call.reply.send(reply);
    }

    fn reply_to(&self, now: Duration, outcome: Outcome, sent: Option<InForce>) -> Reply {
        match outcome {
            Outcome::Acknowledged => self.acknowledged(sent),
            Outcome::Superseded(by) => Reply::Superseded(by.into()),
            Outcome::Conflict(with) => Reply::Conflict(with.into(), self.settings.operators.conflict),
            Outcome::Unavailable { retry_after_ms } => {
                Reply::Unavailable(self.unavailable(now, Duration::from_millis(retry_after_ms.into())))
            }
            Outcome::Empty => Reply::Unavailable(Unavailable::new("no configuration yet", RETRY_AFTER)),
            Outcome::Found(configuration) => Reply::Json(configuration.text.to_vec()),
            Outcome::Redirect(at) => Reply::Redirect(at.ip()),
        }
    }

    /// The answer to a configuration that was stored, and may have been superseded since.
    fn acknowledged(&self, sent: Option<InForce>) -> Reply {
        let committed = self.control_store.committed();
        let in_force = committed.map(|committed| InForce::from(committed.version()));
        match (in_force, sent) {
            (Some(in_force), Some(sent)) if in_force.revision > sent.revision => Reply::Superseded(in_force),
            (_, Some(sent)) => Reply::Acknowledged(sent),
            (in_force, None) => Reply::Acknowledged(in_force.unwrap_or(InForce { revision: 0, digest: 0 })),
        }
    }

    /// Why a call cannot be answered now, and which controllers may be called instead.
    fn unavailable(&self, now: Duration, retry_after: Duration) -> Unavailable {
        let why = match (self.control_store.ready(), self.is_in_touch(now)) {
            _ if self.lifecycle.is_leaving() => SHUTTING_DOWN,
            (false, _) => "not ready yet",
            (true, false) => NO_MAJORITY,
            (true, true) => "not stored at a majority yet",
        };
        let others = self.control_store.redirect_candidates(now);
        Unavailable { why, retry_after, ask: others.iter().map(SocketAddr::ip).collect() }
    }

    /// Whether contact with a majority existed since the start and is lost now. A call could then only wait,
    /// and end with an unknown outcome.
    pub(super) fn has_lost_contact(&self, now: Duration) -> bool {
        self.control_store.ready() && !self.is_in_touch(now)
    }

    /// Answers open calls at once when contact with a majority is lost, so that the operator can call another
    /// controller.
    pub(super) fn answer_calls_after_lost_contact(&mut self, now: Duration) {
        if self.has_lost_contact(now) {
            self.answer_all_as_unknown(now);
        }
    }

    /// Answers all open calls; their outcome is unknown, they may still take effect.
    pub(super) fn answer_all_as_unknown(&mut self, now: Duration) {
        for (_, call) in std::mem::take(&mut self.calls.open) {
            let reply = Reply::Unavailable(self.unavailable(now, RETRY_AFTER));
            self.finish(now, call, reply);
        }
    }
}

impl OpenCall {
    /// Logs the outcome of a call that replaces the configuration.
    fn log_outcome(&self, now: Duration, reply: &Reply) {
        let Some(InForce { revision, .. }) = self.sent else { return };
        let took = now.saturating_sub(self.received).as_millis();
        match reply {
            Reply::Acknowledged(_) => {
                info!("revision {revision} stored at a majority, {took} ms after the call")
            }
            Reply::Superseded(by) => info!("revision {revision} superseded by {}", by.revision),
            Reply::Conflict(with, _) => {
                warn!(
                    "revision {revision} is in force with another text, of digest {}",
                    digest_text(with.digest)
                )
            }
            Reply::Unavailable(Unavailable { why, .. }) => {
                warn!("revision {revision} not stored within {took} ms: {why}")
            }
            Reply::Json(_) | Reply::Redirect(_) | Reply::Invalid(_) | Reply::Refused(_) => {}
        }
    }
}
