//! Reads the answer to one request on one upstream connection: which received bytes belong to it, and what
//! they prove.
//!
//! Bytes count as the answer only if they form a complete, valid message with the request's `Attempt-Id`. An
//! answer with another id is surplus: it is skipped, and the connection is not reused afterwards.

use crate::defects::{injected, Defect};
use crate::pool::Connection;
use std::time::Duration;
use tindock_http1::{answer_head, AnswerHead, Body, Framing, Read};

/// The largest head and body of an answer; larger ones cannot be forwarded.
const MAX_HEAD_BYTES: usize = 64 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;
/// Surplus answers skipped on one connection.
const MAX_SURPLUS: usize = 3;
const BUFFER_BYTES: usize = 4096;

/// A complete answer from a worker.
#[derive(Debug)]
pub struct WorkerAnswer {
    pub head: AnswerHead,
    pub body: Vec<u8>,
}

/// Proof that a worker has not run a request and will not; created only by [`Exchange`].
#[derive(Debug)]
pub struct NotExecuted(pub(crate) ());

/// What the received bytes mean for the request.
#[derive(Debug)]
pub enum Verdict {
    /// A complete answer with the request's id.
    Answer(Box<WorkerAnswer>),
    /// Refused without running it; may be retried after `after`.
    NotExecuted { proof: NotExecuted, after: Option<Duration> },
    /// Another instance has the address.
    Misdirected { proof: NotExecuted },
    /// Nothing is known about the request.
    Lost,
}

/// The result of an exchange.
#[derive(Debug)]
pub struct Reply {
    pub verdict: Verdict,
    /// Whether the connection may carry another request, and for how long if the worker stated it.
    pub reusable: bool,
    pub keep_alive: Option<Duration>,
}

impl Reply {
    /// Nothing is known, and the connection must not be reused.
    pub fn lost() -> Reply {
        Reply { verdict: Verdict::Lost, reusable: false, keep_alive: None }
    }
}

/// Progress of reading an answer.
#[derive(Debug)]
pub enum Step {
    /// More bytes must be read into [`Exchange::buffer`].
    NeedsBytes,
    Done(Reply),
}

enum Phase {
    Head,
    Body(Box<AnswerHead>, Body),
}

/// Reads the answer to one request.
pub struct Exchange<'a> {
    attempt_id: &'a str,
    is_head: bool,
    first_on_connection: bool,
    surplus_length_known: bool,
    surplus: usize,
    buffer: Vec<u8>,
    phase: Phase,
}

impl<'a> Exchange<'a> {
    /// Starts the exchange for the request that `connection` is about to carry, and records the request
    /// there.
    pub fn new<T>(connection: &mut Connection<T>, attempt_id: &'a str, is_head: bool) -> Self {
        let first_on_connection = connection.is_unused();
        connection.record_request(is_head);
        Exchange {
            attempt_id,
            is_head,
            first_on_connection,
            surplus_length_known: !connection.has_carried_head()
                || injected(Defect::SurplusAfterHeadAccepted),
            surplus: 0,
            buffer: Vec::with_capacity(BUFFER_BYTES),
            phase: Phase::Head,
        }
    }

    /// Received bytes are appended here before the next [`Exchange::advance`].
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Processes the bytes in the buffer.
    pub fn advance(&mut self) -> Step {
        loop {
            let phase = std::mem::replace(&mut self.phase, Phase::Head);
            let (head, mut body) = match phase {
                Phase::Head => match answer_head(&self.buffer, MAX_HEAD_BYTES, self.is_head) {
                    Read::Partial => return Step::NeedsBytes,
                    Read::Invalid(_) => return Step::Done(Reply::lost()),
                    Read::Done { value, used } => {
                        self.buffer.drain(..used);
                        if has_ambiguous_end(&value) {
                            return Step::Done(Reply::lost());
                        }
                        let body = Body::new(value.framing, MAX_BODY_BYTES);
                        (Box::new(value), body)
                    }
                },
                Phase::Body(head, body) => (head, body),
            };
            match body.push(&self.buffer) {
                Read::Invalid(_) => return Step::Done(Reply::lost()),
                Read::Partial => {
                    self.buffer.clear();
                    self.phase = Phase::Body(head, body);
                    return Step::NeedsBytes;
                }
                Read::Done { used, .. } => {
                    self.buffer.drain(..used);
                    if let Some(reply) = self.complete_message(head, body.bytes()) {
                        return Step::Done(reply);
                    }
                }
            }
        }
    }

    /// The worker closed the connection in an orderly way. Only a refusal without a stated length still
    /// counts, as its head is complete and its body is not forwarded.
    pub fn closed(&mut self) -> Reply {
        let Phase::Body(head, mut body) = std::mem::replace(&mut self.phase, Phase::Head) else {
            return Reply::lost();
        };
        if !body.end_of_input() {
            return Reply::lost();
        }
        self.complete_message(head, body.bytes()).unwrap_or_else(Reply::lost)
    }

    /// A message is complete; returns None if it is surplus.
    fn complete_message(&mut self, head: Box<AnswerHead>, body: Vec<u8>) -> Option<Reply> {
        let matches = match head.attempt_id.as_deref() {
            Some(id) => id == self.attempt_id || injected(Defect::AttemptIdNotCompared),
            // A refusal sent before the worker read the id. On a connection that has carried nothing else it
            // can only be for this request.
            None => {
                let only_request = self.first_on_connection && self.surplus == 0;
                if !is_refusal(&head) || !(only_request || injected(Defect::RefusalWithoutIdAccepted)) {
                    return Some(Reply::lost());
                }
                let reply = Reply { verdict: verdict(head, body), reusable: false, keep_alive: None };
                return Some(reply);
            }
        };
        if !matches {
            self.surplus += 1;
            let skipped = self.surplus <= MAX_SURPLUS && self.surplus_length_known;
            return (!skipped).then(Reply::lost);
        }
        let nothing_left = self.buffer.is_empty() && self.surplus == 0;
        let reusable = nothing_left && !head.close;
        let keep_alive = head.keep_alive_ms.map(Duration::from_millis);
        Some(Reply { verdict: verdict(head, body), reusable, keep_alive })
    }
}

/// Whether the head states that the request was not run, by its header or its status.
fn is_refusal(head: &AnswerHead) -> bool {
    head.status == 421 || (head.status >= 400 && head.not_executed)
}

/// If the body ends with the connection, a truncated answer cannot be distinguished from a complete one.
fn has_ambiguous_end(head: &AnswerHead) -> bool {
    head.framing == Framing::UntilClose && !is_refusal(head) && !injected(Defect::TruncatedTakenAsComplete)
}

/// What a complete message says about the request.
fn verdict(head: Box<AnswerHead>, body: Vec<u8>) -> Verdict {
    match head.status {
        421 => Verdict::Misdirected { proof: NotExecuted(()) },
        _ if is_refusal(&head) => {
            let after = head.retry_after_ms.map(Duration::from_millis);
            Verdict::NotExecuted { proof: NotExecuted(()), after }
        }
        200..=299 if head.seal.is_none() || head.encoded => Verdict::Lost,
        _ => Verdict::Answer(Box::new(WorkerAnswer { head: *head, body })),
    }
}
