//! Single calls of an operator with typed answers, and connections that a test can break.

use nanoserde::DeJson;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_mock_services::operator::follow;
use tindock_mock_services::wire::{read_response, request, Response};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longer than a controller may take for any answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(8);

const REPLACE: &str = "/v1/Configuration.Replace";
const SHOW: &str = "/v1/Configuration.Show";
const JSON: (&str, &str) = ("Content-Type", "application/json");

/// The answer to `Configuration.Replace`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplaceAnswer {
    /// This text is in force under its revision.
    Confirmed,
    /// Accepted, but the named higher revision or another text is in force.
    Superseded { revision: Option<u64> },
    /// Another text is in force under the revision.
    Conflict { revision: Option<u64> },
    /// The outcome is unknown; the call has to be retried.
    Unclear { retry_after: Option<Duration> },
    /// The text is not a valid configuration.
    Invalid(String),
    /// Any other status.
    Unexpected(u16, String),
    /// No complete answer in time.
    Unanswered,
}

/// The answer to `Configuration.Show`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShowAnswer {
    Text(String),
    /// No contact to a majority, or no text accepted yet; the call has to be retried.
    Unclear {
        retry_after: Option<Duration>,
    },
    Unexpected(u16, String),
    Unanswered,
}

impl ReplaceAnswer {
    /// Whether the update needs no retry: it was confirmed, superseded, in conflict, or rejected.
    pub fn is_definitive(&self) -> bool {
        !matches!(self, ReplaceAnswer::Unclear { .. } | ReplaceAnswer::Unanswered)
    }

    /// Whether this is an allowed answer to a repeated update: neither a conflict nor a rejection.
    pub fn is_acknowledged_or_unclear(&self) -> bool {
        matches!(
            self,
            ReplaceAnswer::Confirmed | ReplaceAnswer::Superseded { .. } | ReplaceAnswer::Unclear { .. }
        )
    }
}

impl From<Option<Response>> for ReplaceAnswer {
    fn from(answer: Option<Response>) -> ReplaceAnswer {
        let Some(answer) = answer else { return ReplaceAnswer::Unanswered };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let in_force: InForce = DeJson::deserialize_json(&body).unwrap_or_default();
        match answer.status {
            200 if in_force.superseded => ReplaceAnswer::Superseded { revision: in_force.revision() },
            200 => ReplaceAnswer::Confirmed,
            409 => ReplaceAnswer::Conflict { revision: in_force.revision() },
            503 => ReplaceAnswer::Unclear { retry_after: answer.headers.retry_after() },
            400 => ReplaceAnswer::Invalid(body),
            status => ReplaceAnswer::Unexpected(status, body),
        }
    }
}

impl From<Option<Response>> for ShowAnswer {
    fn from(answer: Option<Response>) -> ShowAnswer {
        let Some(answer) = answer else { return ShowAnswer::Unanswered };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status {
            200 => ShowAnswer::Text(body),
            503 => ShowAnswer::Unclear { retry_after: answer.headers.retry_after() },
            status => ShowAnswer::Unexpected(status, body),
        }
    }
}

/// The fields of an answer to `Replace` that describe the text in force; others are ignored.
#[derive(Debug, Default, DeJson)]
struct InForce {
    #[nserde(default)]
    superseded: bool,
    /// 0 if absent.
    #[nserde(default)]
    revision: u64,
}

impl InForce {
    fn revision(&self) -> Option<u64> {
        (self.revision > 0).then_some(self.revision)
    }
}

/// Sends a text once, following redirects.
pub async fn replace(at: SocketAddr, text: &str) -> ReplaceAnswer {
    replace_within(at, text, CALL_TIMEOUT).await
}

/// The same, with a time limit for each controller.
pub async fn replace_within(at: SocketAddr, text: &str, call_timeout: Duration) -> ReplaceAnswer {
    follow(at, call_timeout, "POST", REPLACE, &[JSON], text).await.1.into()
}

/// Queries the newest text once, following redirects.
pub async fn show(at: SocketAddr) -> ShowAnswer {
    show_within(at, CALL_TIMEOUT).await
}

/// The same, with a time limit for each controller.
pub async fn show_within(at: SocketAddr, call_timeout: Duration) -> ShowAnswer {
    follow(at, call_timeout, "GET", SHOW, &[], "").await.1.into()
}

/// The request bytes of a `Replace` call.
pub fn replace_request(text: &str) -> Vec<u8> {
    request("POST", REPLACE, &[("Host", "controller"), JSON], text.as_bytes())
}

/// The request bytes of a `Show` call.
pub fn show_request() -> Vec<u8> {
    request("GET", SHOW, &[("Host", "controller")], b"")
}

/// One connection to a controller.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub async fn open(at: SocketAddr) -> io::Result<Connection> {
        let stream = timeout(CALL_TIMEOUT, TcpStream::connect(at)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        timeout(CALL_TIMEOUT, self.stream.write_all(bytes)).await?
    }

    /// The next answer, to a call of this method; none if no complete one arrives in time.
    pub async fn answer(&mut self, method: &str) -> Option<Response> {
        timeout(CALL_TIMEOUT, read_response(&mut self.stream, &mut self.buffer, method)).await.ok()?.ok()
    }

    /// Whether the controller has closed the connection without an answer.
    pub async fn closes_without_answer(&mut self) -> bool {
        matches!(
            timeout(CALL_TIMEOUT, read_response(&mut self.stream, &mut self.buffer, "POST")).await,
            Ok(Err(_))
        )
    }

    /// Shuts down the sending side; the controller reads an end of the stream.
    pub async fn end(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Resets the connection, whatever is in flight.
    pub fn reset(self) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }
}
