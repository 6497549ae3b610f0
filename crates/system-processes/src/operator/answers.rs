//! The answers to operators' calls, as docs/openapi/controller.yaml specifies them.

use crate::settings::ConflictAnswer;
use nanoserde::SerJson;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tindock_control_store::Version;

/// The configuration in force: its revision, and the digest of its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    pub revision: u64,
    pub digest: u64,
}

impl From<Version> for InForce {
    fn from(version: Version) -> InForce {
        InForce { revision: version.revision, digest: version.digest }
    }
}

/// A digest as operators get it, in hexadecimal.
pub fn digest_text(digest: u64) -> String {
    format!("{digest:016x}")
}

/// The controller's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The configuration is stored at a majority.
    Acknowledged(InForce),
    /// Nothing changed: this one, of a higher revision, is in force.
    Superseded(InForce),
    /// Nothing changed: this one, another text under the same revision, is in force.
    Conflict(InForce, ConflictAnswer),
    /// The outcome is unknown, or the call is not possible now: to be retried, here or at another controller.
    Unavailable(Unavailable),
    /// The requested data, as JSON.
    Json(Vec<u8>),
    /// Another controller can answer.
    Redirect(IpAddr),
    /// The error in the configuration, and its place.
    Invalid(String),
    /// The reason why the call was not executed.
    Refused(String),
}

/// When and where to retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unavailable {
    pub why: &'static str,
    pub retry_after: Duration,
    /// Other controllers, the likeliest to answer first.
    pub ask: Vec<IpAddr>,
}

impl Unavailable {
    pub fn new(why: &'static str, retry_after: Duration) -> Unavailable {
        Unavailable { why, retry_after, ask: Vec::new() }
    }
}

/// An HTTP/1.1 answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// The target of a redirect.
    pub location: Option<String>,
    pub retry_after: Option<Duration>,
    pub body: Vec<u8>,
}

#[derive(SerJson)]
struct AcknowledgementBody {
    revision: u64,
    digest: String,
    superseded: bool,
}

#[derive(SerJson)]
struct ConflictBody {
    error: String,
    revision: u64,
    digest: String,
}

#[derive(SerJson)]
struct UnavailableBody {
    error: String,
    ask: Vec<String>,
}

#[derive(SerJson)]
struct ErrorBody {
    error: String,
}

impl Response {
    /// The answer to a call for `path`, received at `local_address`.
    pub fn to_reply(reply: Reply, local_address: SocketAddr, path: &str) -> Response {
        match reply {
            Reply::Acknowledged(in_force) => acknowledgement_response(in_force, false),
            Reply::Superseded(in_force) => acknowledgement_response(in_force, true),
            Reply::Conflict(in_force, answer) => conflict_response(in_force, answer),
            Reply::Unavailable(unavailable) => unavailable_response(&unavailable, local_address.port()),
            Reply::Json(body) => Response { status: 200, body, ..Response::default() },
            Reply::Redirect(ip) => {
                let location = format!("http://{}{path}", SocketAddr::new(ip, local_address.port()));
                Response { status: 307, location: Some(location), ..Response::default() }
            }
            Reply::Invalid(why) => Response::error(400, &why),
            Reply::Refused(why) => Response::error(409, &why),
        }
    }

    /// An error, as JSON.
    pub fn error(status: u16, why: &str) -> Response {
        let body = ErrorBody { error: why.to_string() }.serialize_json().into_bytes();
        Response { status, body, ..Response::default() }
    }

    /// The bytes of the answer; with `close` it announces the end of the connection.
    pub fn write(&self, close: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if let Some(location) = &self.location {
            head += &format!("Location: {location}\r\n");
        }
        if let Some(after) = self.retry_after {
            head += &format!("Retry-After: {}\r\n", seconds_text(after));
        }
        if !self.body.is_empty() {
            head += "Content-Type: application/json\r\n";
        }
        head += &format!("Content-Length: {}\r\n", self.body.len());
        if close {
            head += "Connection: close\r\n";
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn acknowledgement_response(in_force: InForce, superseded: bool) -> Response {
    let InForce { revision, digest } = in_force;
    let body = AcknowledgementBody { revision, digest: digest_text(digest), superseded }.serialize_json();
    Response { status: 200, body: body.into_bytes(), ..Response::default() }
}

/// Another text is in force under the same revision. By the settings this is answered with an error status,
/// or with an acknowledgement that reports it as superseded.
fn conflict_response(in_force: InForce, answer: ConflictAnswer) -> Response {
    let InForce { revision, digest } = in_force;
    match answer {
        ConflictAnswer::Acknowledge => acknowledgement_response(in_force, true),
        ConflictAnswer::Refuse => {
            let error = format!("revision {revision} is in force with another text");
            let body = ConflictBody { error, revision, digest: digest_text(digest) }.serialize_json();
            Response { status: 409, body: body.into_bytes(), ..Response::default() }
        }
    }
}

fn unavailable_response(unavailable: &Unavailable, port: u16) -> Response {
    let address = |ip: &IpAddr| SocketAddr::new(*ip, port).to_string();
    let ask = unavailable.ask.iter().map(address).collect();
    let body = UnavailableBody { error: unavailable.why.to_string(), ask }.serialize_json().into_bytes();
    Response { status: 503, retry_after: Some(unavailable.retry_after), body, ..Response::default() }
}

/// Seconds, with up to three decimals as needed.
fn seconds_text(time: Duration) -> String {
    let text = format!("{}.{:03}", time.as_secs(), time.subsec_millis());
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}
