//! Single calls of an operator, with the answers as types, and connections that a test breaks as it likes.

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
pub const PATIENCE: Duration = Duration::from_secs(8);

const REPLACE: &str = "/v1/Configuration.Replace";
const SHOW: &str = "/v1/Configuration.Show";
const JSON: (&str, &str) = ("Content-Type", "application/json");

/// The answer to `Configuration.Replace`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replaced {
    /// This text is in force under its revision.
    Confirmed,
    /// Taken note of; this higher revision is in force, or another text that is named.
    Superseded { revision: Option<u64> },
    /// Another text is in force under the revision.
    Conflict { revision: Option<u64> },
    /// It may or may not come into force; to be sent again.
    Unclear { retry_after: Option<Duration> },
    /// Not a configuration.
    Invalid(String),
    /// Any other status.
    Unexpected(u16, String),
    /// No whole answer in time.
    Unanswered,
}

/// The answer to `Configuration.Show`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shown {
    Text(String),
    /// No majority in touch, or nothing taken yet; to be asked again.
    Unclear {
        retry_after: Option<Duration>,
    },
    Unexpected(u16, String),
    Unanswered,
}

impl Replaced {
    /// Told that the order is over: confirmed, overtaken, or in conflict.
    pub fn is_clear(&self) -> bool {
        !matches!(self, Replaced::Unclear { .. } | Replaced::Unanswered)
    }

    /// Not told that the order was wrong or lost: what an order sent again may be answered.
    pub fn is_acknowledged_or_unclear(&self) -> bool {
        matches!(self, Replaced::Confirmed | Replaced::Superseded { .. } | Replaced::Unclear { .. })
    }
}

impl From<Option<Response>> for Replaced {
    fn from(answer: Option<Response>) -> Replaced {
        let Some(answer) = answer else { return Replaced::Unanswered };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let in_force: InForce = DeJson::deserialize_json(&body).unwrap_or_default();
        match answer.status {
            200 if in_force.superseded => Replaced::Superseded { revision: in_force.revision() },
            200 => Replaced::Confirmed,
            409 => Replaced::Conflict { revision: in_force.revision() },
            503 => Replaced::Unclear { retry_after: answer.headers.retry_after() },
            400 => Replaced::Invalid(body),
            status => Replaced::Unexpected(status, body),
        }
    }
}

impl From<Option<Response>> for Shown {
    fn from(answer: Option<Response>) -> Shown {
        let Some(answer) = answer else { return Shown::Unanswered };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status {
            200 => Shown::Text(body),
            503 => Shown::Unclear { retry_after: answer.headers.retry_after() },
            status => Shown::Unexpected(status, body),
        }
    }
}

/// What an answer to `Replace` says of the text in force; other fields are ignored.
#[derive(Debug, Default, DeJson)]
struct InForce {
    #[nserde(default)]
    superseded: bool,
    /// 0 where it is not told.
    #[nserde(default)]
    revision: u64,
}

impl InForce {
    fn revision(&self) -> Option<u64> {
        (self.revision > 0).then_some(self.revision)
    }
}

/// Sends a text once, following redirects.
pub async fn replace(at: SocketAddr, text: &str) -> Replaced {
    replace_within(at, text, PATIENCE).await
}

/// The same, given up after `patience` at each controller.
pub async fn replace_within(at: SocketAddr, text: &str, patience: Duration) -> Replaced {
    follow(at, patience, "POST", REPLACE, &[JSON], text).await.1.into()
}

/// Asks for the newest text once, following redirects.
pub async fn show(at: SocketAddr) -> Shown {
    show_within(at, PATIENCE).await
}

/// The same, given up after `patience` at each controller.
pub async fn show_within(at: SocketAddr, patience: Duration) -> Shown {
    follow(at, patience, "GET", SHOW, &[], "").await.1.into()
}

/// The bytes of a call that sends a text.
pub fn replace_request(text: &str) -> Vec<u8> {
    request("POST", REPLACE, &[("Host", "controller"), JSON], text.as_bytes())
}

/// The bytes of a call that asks for the newest text.
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
        let stream = timeout(PATIENCE, TcpStream::connect(at)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        timeout(PATIENCE, self.stream.write_all(bytes)).await?
    }

    /// The next answer, to a call of this method; none if no whole one comes in time.
    pub async fn answer(&mut self, method: &str) -> Option<Response> {
        timeout(PATIENCE, read_response(&mut self.stream, &mut self.buffer, method)).await.ok()?.ok()
    }

    /// Whether the other side has ended the connection without a word.
    pub async fn ends_silently(&mut self) -> bool {
        matches!(
            timeout(PATIENCE, read_response(&mut self.stream, &mut self.buffer, "POST")).await,
            Ok(Err(_))
        )
    }

    /// Ends the sending side; the controller reads an end of the stream.
    pub async fn end(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Ends the connection with a reset, whatever is under way.
    pub fn reset(self) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }
}
