//! Sends requests to workers: the I/O of upstream connections. `tindock-upstream` parses the answers and
//! decides.

use crate::proxy::State;
use crate::work::Work;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock_http1::{write_request, RequestHead};
use tindock_slot_allocation::messages::Ended;
use tindock_upstream::{
    Attempt, Connection, Exchange, InFlight, Pool, Reply, SendPermit, Step, Verdict, WorkerAnswer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// After a connection attempt that takes longer nothing has been sent, and another instance may be tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A request with less time than this is not sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Idle connections are kept for so long if the worker states no time; shorter than usual idle timeouts of
/// servers.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Share of a worker's stated keep-alive time that is used: close to its end the worker may already be
/// closing.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Idle connections by instance.
pub type Workers = Pool<TcpStream>;

/// How a send ended.
pub enum Outcome {
    /// A whole answer for the client.
    Answer(Box<WorkerAnswer>),
    /// No answer for the client; the attempt continues with this state.
    Failed { attempt: Attempt, failure: Failure },
}

/// Why a send produced no answer for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The address refuses connections.
    Refused,
    /// The connection was not established, or too little time was left to send.
    NotConnected,
    /// This proxy learned meanwhile that the worker is leaving.
    Leaving,
    /// This process ends before the worker would complete the request.
    NoTimeLeft,
    /// The worker refused the request without executing it.
    NotExecuted { after: Option<Duration> },
    /// Another instance has this address now.
    Misdirected,
    /// The worker answered with a failure.
    FailedAnswer,
    /// Sent, and no complete answer was received.
    Lost { late: bool },
}

impl Outcome {
    /// How the use of the slot ended, for the allocator.
    pub fn ended(&self) -> Ended {
        let failure = match self {
            Outcome::Answer(_) => return Ended::Done,
            Outcome::Failed { failure, .. } => failure,
        };
        match failure {
            Failure::FailedAnswer => Ended::Done,
            Failure::Refused | Failure::Misdirected => Ended::Gone,
            Failure::NotConnected | Failure::Lost { late: true } => Ended::Silent,
            Failure::Leaving => Ended::Leaving,
            Failure::NotExecuted { .. } => Ended::Full,
            Failure::Lost { late: false } | Failure::NoTimeLeft => Ended::Idle,
        }
    }

    /// Whether a worker has completed the request.
    pub fn has_run(&self) -> bool {
        matches!(self, Outcome::Answer(_) | Outcome::Failed { failure: Failure::FailedAnswer, .. })
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

/// A request for one worker.
pub struct Request<'a> {
    pub instance: &'a str,
    pub at: SocketAddr,
    pub head: &'a RequestHead,
    pub body: &'a [u8],
    pub attempt_id: &'a str,
    /// The answer is waited for until its end.
    pub work: Work,
}

/// Sends the request to the instance and reads its answer.
pub async fn send(shared: &Rc<RefCell<State>>, permit: SendPermit, request: Request<'_>) -> Outcome {
    let mut connection = match open(shared, &permit, &request).await {
        Ok(connection) => connection,
        Err(failure) => return Outcome::Failed { attempt: permit.unused(), failure },
    };
    // Checked last: the worker may have announced its end while the connection was being opened.
    if !shared.borrow().may_send_to(request.instance) {
        return Outcome::Failed { attempt: permit.unused(), failure: Failure::Leaving };
    }
    let now = shared.borrow().now();
    if shared.borrow().may_begin(now, request.work).is_err() {
        return Outcome::Failed { attempt: permit.unused(), failure: Failure::NoTimeLeft };
    }
    let left = request.work.end.saturating_sub(now);
    if left < MIN_TIME_LEFT {
        return Outcome::Failed { attempt: permit.unused(), failure: Failure::NotConnected };
    }
    let mut bytes = Vec::with_capacity(512 + request.body.len());
    write_request(&mut bytes, request.head, request.body, left.as_millis() as u32, request.instance);
    let is_head = request.head.method == "HEAD";
    let mut exchange = Exchange::new(&mut connection, request.attempt_id, is_head);
    let in_flight = permit.sent();
    let until = Instant::now() + left;
    let late = match timeout_at(until, connection.transport.write_all(&bytes)).await {
        Ok(Ok(())) => match timeout_at(until, read_reply(&mut connection.transport, &mut exchange)).await {
            Ok(reply) => {
                keep(shared, &request, connection, &reply);
                return settle(in_flight, reply.verdict);
            }
            Err(_) => true,
        },
        Ok(Err(_)) => false,
        Err(_) => true,
    };
    Outcome::Failed { attempt: in_flight.lost(), failure: Failure::Lost { late } }
}

/// Takes an idle connection or opens a new one.
async fn open(
    shared: &Rc<RefCell<State>>,
    permit: &SendPermit,
    request: &Request<'_>,
) -> Result<Connection<TcpStream>, Failure> {
    let (kept, now) = {
        let mut state = shared.borrow_mut();
        let now = state.now();
        (state.workers.take(request.instance, now, permit.needs_unused_connection(), is_quiet), now)
    };
    if let Some(connection) = kept {
        return Ok(connection);
    }
    let within = CONNECT_TIMEOUT.min(request.work.end.saturating_sub(now));
    match connect(request.at, within).await {
        Ok(stream) => Ok(Connection::new(stream)),
        Err(why) if why.kind() == std::io::ErrorKind::ConnectionRefused => Err(Failure::Refused),
        Err(_) => Err(Failure::NotConnected),
    }
}

/// Whether the stream is open with no bytes to read, by the runtime's readiness events.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    matches!(stream.try_read(&mut byte), Err(why) if why.kind() == std::io::ErrorKind::WouldBlock)
}

async fn read_reply(stream: &mut TcpStream, exchange: &mut Exchange<'_>) -> Reply {
    loop {
        if let Step::Done(reply) = exchange.advance() {
            return reply;
        }
        match stream.read_buf(exchange.buffer()).await {
            Ok(1..) => {}
            Ok(0) => return exchange.closed(),
            Err(_) => return Reply::lost(),
        }
    }
}

/// Keeps the connection for another request if it is reusable.
fn keep(
    shared: &Rc<RefCell<State>>,
    request: &Request<'_>,
    connection: Connection<TcpStream>,
    reply: &Reply,
) {
    if !reply.reusable {
        return;
    }
    let mut state = shared.borrow_mut();
    let stated = reply.keep_alive.map(|stated| stated.mul_f64(KEEP_ALIVE_SHARE));
    let until = state.now() + stated.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
    state.workers.keep(request.instance, connection, until);
}

fn settle(in_flight: InFlight, verdict: Verdict) -> Outcome {
    let (attempt, failure) = match verdict {
        Verdict::Answer(answer) => match in_flight.answered(answer) {
            Ok(answer) => return Outcome::Answer(answer),
            Err(attempt) => (attempt, Failure::FailedAnswer),
        },
        Verdict::NotExecuted { proof, after } => {
            (in_flight.not_executed(proof), Failure::NotExecuted { after })
        }
        Verdict::Misdirected { proof } => (in_flight.not_executed(proof), Failure::Misdirected),
        Verdict::Lost => (in_flight.lost(), Failure::Lost { late: false }),
    };
    Outcome::Failed { attempt, failure }
}
