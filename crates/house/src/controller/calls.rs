//! Operators' calls, until they are answered.

use super::Controller;
use crate::operator::{digest_text, Call, InForce, Reply, Unavailable};
use spdlog::{info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_catalogue::Catalogue;
use tindock_control_store::{digest, Outcome};
use tokio::sync::oneshot;

const NO_MAJORITY: &str = "no majority in touch";
const LEAVING: &str = "this controller ends";
/// Where the control store names no time.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// A call that the control store has in hand.
struct OpenCall {
    reply: oneshot::Sender<Reply>,
    came: Duration,
    /// The configuration that is to be taken.
    sent: Option<InForce>,
}

/// All calls in hand, under the numbers that the control store answers them by.
#[derive(Default)]
pub(super) struct OpenCalls {
    open: HashMap<u64, OpenCall>,
    last: u64,
    /// When an operator was last answered.
    pub answered: Duration,
}

impl OpenCalls {
    fn open(&mut self, call: OpenCall) -> u64 {
        self.last += 1;
        self.open.insert(self.last, call);
        self.last
    }

    /// Calls whose operators still wait.
    pub fn len(&self) -> usize {
        self.open.values().filter(|call| !call.reply.is_closed()).count()
    }
}

impl Controller {
    pub(super) fn receive_call(&mut self, now: Duration, call: Call) {
        match call {
            Call::Replace { text, reply } => self.replace(now, text, reply),
            Call::Show { reply } => {
                if let Some(number) = self.open_call(now, OpenCall { reply, came: now, sent: None }) {
                    self.control_store.show(now, number);
                }
            }
            Call::Status { reply } => {
                let mut status = self.control_store.status(now);
                status.in_touch &= self.contact.is_fresh(now);
                let _ = reply.send(Reply::Json(crate::status::answer(&self.settings.node_name, &status)));
                self.calls.answered = now;
            }
            Call::Rebinding { ask, reply } => {
                let scaler = self.lease.as_mut().map(|lease| &mut lease.duties.scaler);
                let holder = self.holder.map(|(at, _)| at.ip());
                let elsewhere = holder.filter(|ip| *ip != self.settings.ip_address);
                let node = &self.settings.node_name;
                let _ = reply.send(crate::rebinding::answer(now, scaler, elsewhere, node, ask));
                self.calls.answered = now;
            }
        }
    }

    /// The number of a call for the control store; none if it was answered at once.
    fn open_call(&mut self, now: Duration, call: OpenCall) -> Option<u64> {
        if self.lifecycle.is_leaving() || self.is_cut_off(now) {
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
                info!("revision {revision} came from the operator, {} bytes", text.len());
                let sent = Some(InForce { revision, digest: digest(&text) });
                let Some(number) = self.open_call(now, OpenCall { reply, came: now, sent }) else { return };
                self.control_store.replace(now, number, revision, text);
                if let Some(lease) = &mut self.lease {
                    lease.duties.scaler.configuration_changing(now);
                }
            }
            Err(fault) => {
                warn!("configuration refused: {fault}");
                self.calls.answered = now;
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
        self.calls.answered = now;
        call.say(now, &reply);
        // The operator may have gone.
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

    /// An order that was taken, and may have been overtaken since.
    fn acknowledged(&self, sent: Option<InForce>) -> Reply {
        let committed = self.control_store.committed();
        let in_force = committed.map(|committed| InForce::from(committed.version()));
        match (in_force, sent) {
            (Some(in_force), Some(sent)) if in_force.revision > sent.revision => Reply::Superseded(in_force),
            (_, Some(sent)) => Reply::Acknowledged(sent),
            (in_force, None) => Reply::Acknowledged(in_force.unwrap_or(InForce { revision: 0, digest: 0 })),
        }
    }

    /// Why a call cannot be answered now, and who may be asked in place of this controller.
    fn unavailable(&self, now: Duration, retry_after: Duration) -> Unavailable {
        let why = match (self.control_store.ready(), self.is_in_touch(now)) {
            _ if self.lifecycle.is_leaving() => LEAVING,
            (false, _) => "not ready yet",
            (true, false) => NO_MAJORITY,
            (true, true) => "no majority has it on disk yet",
        };
        let others = self.control_store.redirect_candidates(now);
        Unavailable { why, retry_after, ask: others.iter().map(SocketAddr::ip).collect() }
    }

    /// Whether a majority was heard since the start, and none lately. Then a call would only be held: its answer could not be
    /// anything but unclear.
    pub(super) fn is_cut_off(&self, now: Duration) -> bool {
        self.control_store.ready() && !self.is_in_touch(now)
    }

    /// Calls in hand when contact is lost are answered at once, as unclear: the operator may ask elsewhere.
    pub(super) fn release_calls(&mut self, now: Duration) {
        if self.is_cut_off(now) {
            self.answer_all_unclear(now);
        }
    }

    /// Answers all calls in hand: what they asked for may or may not come about.
    pub(super) fn answer_all_unclear(&mut self, now: Duration) {
        for (_, call) in std::mem::take(&mut self.calls.open) {
            let reply = Reply::Unavailable(self.unavailable(now, RETRY_AFTER));
            self.finish(now, call, reply);
        }
    }
}

impl OpenCall {
    /// The line in the log for a configuration.
    fn say(&self, now: Duration, reply: &Reply) {
        let Some(InForce { revision, .. }) = self.sent else { return };
        let took = now.saturating_sub(self.came).as_millis();
        match reply {
            Reply::Acknowledged(_) => info!("revision {revision} taken, {took} ms after the call"),
            Reply::Superseded(by) => info!("revision {revision} superseded by {}", by.revision),
            Reply::Conflict(with, _) => {
                warn!("revision {revision} holds with another text, of digest {}", digest_text(with.digest))
            }
            Reply::Unavailable(Unavailable { why, .. }) => {
                warn!("revision {revision} not taken within {took} ms: {why}")
            }
            Reply::Json(_) | Reply::Redirect(_) | Reply::Invalid(_) | Reply::Refused(_) => {}
        }
    }
}
