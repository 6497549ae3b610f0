//! Connections to workers, and one request over one of them: every byte of an answer is checked before any goes on.

use crate::desk::State;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock_folio::{answer_head, write_request, AnswerHead, Body, Framing, Read, RequestHead};
use tindock_lending::words::Ended;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// A connection that does not come up in this time has sent nothing, and another instance may be tried.
const CONNECT: Duration = Duration::from_millis(700);
/// The largest head and body of an answer; what is longer is no answer that can be handed on.
const HEAD: usize = 64 << 10;
const BODY: usize = 16 << 20;
/// Kept for so long where the worker does not say; less than any usual idle time.
const KEPT: Duration = Duration::from_secs(3);
/// Part of the time a worker states that is used: its closing is on the way by then.
const SURE: f64 = 0.6;
/// Answers to other requests that are passed over on one connection.
const SURPLUS: usize = 3;

struct Kept {
    stream: TcpStream,
    until: Duration,
}

/// Idle connections by instance.
pub struct Workers {
    kept: HashMap<String, Vec<Kept>>,
    count: usize,
    most: usize,
}

impl Workers {
    pub fn new(most: usize) -> Self {
        Workers { kept: HashMap::new(), count: 0, most }
    }

    pub fn keep(&mut self, instance: &str, stream: TcpStream, until: Duration) {
        if self.count < self.most {
            self.count += 1;
            self.kept.entry(instance.to_string()).or_default().push(Kept { stream, until });
        }
    }

    /// The connection used last that is still good: nothing to read, not ended, not old.
    fn take(&mut self, instance: &str, now: Duration) -> Option<TcpStream> {
        let kept = self.kept.get_mut(instance)?;
        while let Some(Kept { stream, until }) = kept.pop() {
            self.count -= 1;
            let mut byte = [0; 1];
            let quiet =
                matches!(stream.try_read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
            if now < until && quiet {
                return Some(stream);
            }
        }
        None
    }

    /// An address is forgotten with its instance.
    pub fn forget(&mut self, instance: &str) {
        self.count -= self.kept.remove(instance).map_or(0, |kept| kept.len());
    }

    pub fn sweep(&mut self, now: Duration) {
        self.kept.retain(|_, kept| {
            kept.retain(|k| k.until > now);
            !kept.is_empty()
        });
        self.count = self.kept.values().map(Vec::len).sum();
    }
}

/// How a request to one worker ended.
pub enum Outcome {
    /// A whole answer, checked.
    Answer(Box<(AnswerHead, Vec<u8>)>),
    /// No byte has left: the connection did not come up.
    Unsent(bool),
    /// The worker says that it has not run it.
    NotExecuted { after: Option<Duration> },
    /// Another instance has the address.
    Misdirected,
    /// Sent, and no answer that could be handed on.
    Lost { late: bool },
}

impl Outcome {
    pub fn ended(&self) -> Ended {
        match self {
            Outcome::Answer(_) => Ended::Done,
            Outcome::Unsent(true) | Outcome::Misdirected => Ended::Gone,
            Outcome::Unsent(false) | Outcome::Lost { late: true } => Ended::Silent,
            Outcome::NotExecuted { .. } => Ended::Full,
            Outcome::Lost { late: false } => Ended::Idle,
        }
    }
}

pub async fn connect(at: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    match tokio::time::timeout(within, TcpStream::connect(at)).await {
        Ok(Ok(stream)) => {
            let _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Ok(Err(why)) => Err(why),
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

/// Sends the request to the instance and reads its answer, until `end` (by the desk's clock).
pub async fn send(
    shared: &Rc<RefCell<State>>,
    instance: &str,
    at: SocketAddr,
    head: &RequestHead,
    body: &[u8],
    id: &str,
    end: Duration,
) -> Outcome {
    let (kept, now) = {
        let mut state = shared.borrow_mut();
        let now = state.now();
        (state.workers.take(instance, now), now)
    };
    let mut stream = match kept {
        Some(stream) => stream,
        None => match connect(at, CONNECT.min(end.saturating_sub(now))).await {
            Ok(stream) => stream,
            Err(why) => return Outcome::Unsent(why.kind() == std::io::ErrorKind::ConnectionRefused),
        },
    };
    let now = shared.borrow().now();
    let left = end.saturating_sub(now);
    if left < Duration::from_millis(5) {
        return Outcome::Unsent(false);
    }
    let mut out = Vec::with_capacity(512 + body.len());
    write_request(&mut out, head, body, left.as_millis() as u32, instance);
    let until = tokio::time::Instant::now() + left;
    match timeout_at(until, stream.write_all(&out)).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return Outcome::Lost { late: false },
        Err(_) => return Outcome::Lost { late: true },
    }
    match timeout_at(until, answer(&mut stream, id, head.method == "HEAD")).await {
        Err(_) => Outcome::Lost { late: true },
        Ok(None) => Outcome::Lost { late: false },
        Ok(Some((answer, clean))) => {
            let (status, marked) = (answer.0.status, answer.0.not_executed);
            if clean && !answer.0.close {
                let mut state = shared.borrow_mut();
                let stated = answer.0.keep_alive_ms.map(|ms| Duration::from_millis(ms).mul_f64(SURE));
                let until = state.now() + stated.unwrap_or(KEPT).min(Duration::from_secs(30));
                state.workers.keep(instance, stream, until);
            }
            match status {
                421 => Outcome::Misdirected,
                // Only an answer that carries the mark states that it has not run.
                _ if marked && status >= 400 => {
                    Outcome::NotExecuted { after: answer.0.retry_after_ms.map(Duration::from_millis) }
                }
                200..=299 if answer.0.seal.is_none() || answer.0.encoded => Outcome::Lost { late: false },
                _ => Outcome::Answer(answer),
            }
        }
    }
}

/// The answer with this id, and whether the connection is good for another request. None where it breaks off, is no
/// answer in the protocol, or cannot be known to be whole.
async fn answer(
    stream: &mut TcpStream,
    id: &str,
    to_head: bool,
) -> Option<(Box<(AnswerHead, Vec<u8>)>, bool)> {
    let mut buf = Vec::with_capacity(4096);
    let mut surplus = 0;
    loop {
        let head = loop {
            match answer_head(&buf, HEAD, to_head) {
                Read::Done { value, used } => {
                    buf.drain(..used);
                    break value;
                }
                Read::Bad(_) => return None,
                Read::Partial => {}
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(1..)) {
                return None;
            }
        };
        // Without a length an answer that is cut short looks like a whole one.
        if head.framing == Framing::UntilClose && head.status < 300 {
            return None;
        }
        let mut body = Body::new(head.framing, BODY);
        loop {
            match body.push(&buf) {
                Read::Done { used, .. } => {
                    buf.drain(..used);
                    break;
                }
                Read::Bad(_) => return None,
                Read::Partial => buf.clear(),
            }
            match stream.read_buf(&mut buf).await {
                Ok(1..) => {}
                Ok(0) if body.ended() => break,
                _ => return None,
            }
        }
        let body = body.bytes();
        match head.attempt_id.as_deref() {
            Some(own) if own == id => {
                let clean = buf.is_empty() && surplus == 0;
                return Some((Box::new((head, body)), clean));
            }
            // A surplus answer to a request before this one: passed over.
            Some(_) if surplus < SURPLUS => surplus += 1,
            // Without an id it can only be a word about the connection, such as a refusal before the id was read.
            None if head.not_executed || head.status == 421 => return Some((Box::new((head, body)), false)),
            _ => return None,
        }
    }
}
