//! A client's connection to a proxy, used until it is closed. It tells apart how a request ended: answered, closed without
//! an answer after it had been read, reset, or not at all.

use std::net::SocketAddr;
use std::time::Duration;
use tindock_standins::clients::Class;
use tindock_standins::ledger::{Ledger, SentAttempt};
use tindock_standins::wire::{read_response, request, ReadError, Response};
use tindock_standins::workers::request_digest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// A new connection is given so long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Clients that send slowly send the second half so much later.
pub const SECOND_HALF_AFTER: Duration = Duration::from_millis(300);
const READS_AFTER: Duration = Duration::from_millis(400);

/// How a request ended, as its client saw it.
#[derive(Debug)]
pub enum Ending {
    Answered(Response),
    /// The connection was closed in order before any byte of an answer: who closes so has read all that was sent.
    ClosedUnanswered,
    /// It ended in the midst of an answer.
    Truncated,
    /// It was reset before any byte of an answer: who ends with unread bytes resets, so the request was not read.
    Reset,
    /// Bytes that are no answer.
    Malformed,
    /// No answer until the client's deadline.
    DeadlinePassed,
    /// The client hung up.
    ClientClosed,
}

/// How a client behaves beside the usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    Normal,
    /// The second half of what it sends comes later.
    SlowBody,
    /// It reads its answer late.
    SlowRead,
    /// It hangs up after so long.
    ClosesEarly(Duration),
}

/// A request as it goes out.
#[derive(Debug, Clone, Copy)]
pub struct Outgoing<'a> {
    pub class: &'a Class,
    /// Names the request that this is a try of.
    pub request: u64,
    pub attempt_id: &'a str,
    pub target: &'a str,
    pub body: &'a [u8],
    pub deadline: Duration,
    pub behaviour: Behaviour,
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    early: Vec<u8>,
    /// The proxy's address.
    pub to: SocketAddr,
    pub opened: Instant,
}

impl Connection {
    /// None where nobody listens, or it does not come up in time.
    pub async fn open(to: SocketAddr) -> Option<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(Connection { stream, early: Vec::new(), to, opened: Instant::now() })
    }

    /// Whether the proxy has closed it, as far as this client has heard.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.stream.try_read(&mut byte), Err(why) if why.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether it may be used again after this ending.
    pub fn stays(ending: &Ending) -> bool {
        matches!(ending, Ending::Answered(answer) if !answer.headers.closes())
    }

    /// Sends one request, waits for its end, and notes both in the ledger.
    pub async fn send(&mut self, ledger: &Ledger, outgoing: Outgoing<'_>) -> Ending {
        let class = outgoing.class;
        let asked = SentAttempt {
            request: outgoing.request,
            repeatable: class.repeatable,
            service: class.service.clone(),
            digest: request_digest(&class.method, outgoing.target, outgoing.body),
        };
        ledger.record_sent(outgoing.attempt_id, asked);
        let ending = self.send_unnoted(outgoing).await;
        if let Ending::Answered(answer) = &ending {
            ledger.record_status(outgoing.attempt_id, answer.status);
        }
        ending
    }

    async fn send_unnoted(&mut self, outgoing: Outgoing<'_>) -> Ending {
        let class = outgoing.class;
        let deadline_ms = outgoing.deadline.as_millis().to_string();
        let work_ms = class.work.as_millis().to_string();
        let answer_bytes = class.answer_bytes.to_string();
        let headers = [
            ("Host", class.hostname.as_str()),
            ("Attempt-Id", outgoing.attempt_id),
            ("Deadline-Ms", &deadline_ms),
            ("Standin-Work-Ms", &work_ms),
            ("Standin-Answer-Bytes", &answer_bytes),
        ];
        let bytes = request(&class.method, outgoing.target, &headers, outgoing.body);
        let until = Instant::now() + outgoing.deadline;
        let leaves_at = match outgoing.behaviour {
            Behaviour::ClosesEarly(after) => Instant::now() + after,
            _ => until,
        };
        let exchange = self.exchange(&bytes, &class.method, outgoing.behaviour);
        match timeout_at(until.min(leaves_at), exchange).await {
            Err(_) if leaves_at < until => Ending::ClientClosed,
            Err(_) => Ending::DeadlinePassed,
            Ok(Ok(answer)) => Ending::Answered(answer),
            Ok(Err(ReadError::Reset)) => Ending::Reset,
            Ok(Err(ReadError::Closed)) => Ending::ClosedUnanswered,
            Ok(Err(ReadError::Truncated)) => Ending::Truncated,
            Ok(Err(ReadError::Malformed)) => Ending::Malformed,
        }
    }

    async fn exchange(
        &mut self,
        bytes: &[u8],
        method: &str,
        behaviour: Behaviour,
    ) -> Result<Response, ReadError> {
        let first = if behaviour == Behaviour::SlowBody { bytes.len() / 2 } else { bytes.len() };
        // Who closes while the request goes out has not read it.
        self.stream.write_all(&bytes[..first]).await.map_err(|_| ReadError::Reset)?;
        if first < bytes.len() {
            sleep(SECOND_HALF_AFTER).await;
            self.stream.write_all(&bytes[first..]).await.map_err(|_| ReadError::Reset)?;
        }
        if behaviour == Behaviour::SlowRead {
            sleep(READS_AFTER).await;
        }
        read_response(&mut self.stream, &mut self.early, method).await
    }
}
