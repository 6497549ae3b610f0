//! The operators' API over HTTP/1.1, as docs/openapi/controller.yaml specifies it.

mod answers;
#[cfg(test)]
mod tests;

use crate::rebinding::RebindingCall;
use answers::Response;
pub use answers::{digest_text, InForce, Reply, Unavailable};
use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock_http1::{request_head, Body, Read, RequestHead};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, timeout_at, Instant};

/// Limit of a configuration's size.
const MAX_BODY_BYTES: usize = 8 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes of later calls that are buffered while one is answered.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// A call is given up if no more of its bytes arrive for so long.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than the control store needs; a call without a result is answered then.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// The connection ends if sent data is not acknowledged for so long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_CONNECTIONS: usize = 128;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

const REPLACE_PATH: &str = "/v1/Configuration.Replace";
const SHOW_PATH: &str = "/v1/Configuration.Show";
pub const STATUS_PATH: &str = "/v1/Control.Status";

/// An operator's call; the answer is sent to `reply`, and dropped if the operator has disconnected.
pub enum Call {
    /// Replaces the configuration by a new one.
    Replace { text: Vec<u8>, reply: oneshot::Sender<Reply> },
    /// Returns the configuration in force.
    Show { reply: oneshot::Sender<Reply> },
    /// Returns the status of the control state.
    Status { reply: oneshot::Sender<Reply> },
    /// About moves of instances.
    Rebinding { call: RebindingCall, reply: oneshot::Sender<Reply> },
}

/// Accepts operators' connections and forwards their calls.
pub async fn serve(listener: TcpListener, calls: mpsc::Sender<Call>) {
    let open = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        crate::transport::set_stream_timeouts(&stream, UNACKNOWLEDGED_TIMEOUT);
        open.set(open.get() + 1);
        let (calls, open) = (calls.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if let Ok(local_address) = stream.local_addr() {
                let _ = Connection::new(stream, local_address, calls).serve().await;
            }
            open.set(open.get() - 1);
        });
    }
}

/// An operator's connection: each call is answered before the next is parsed.
struct Connection<S> {
    stream: S,
    /// The address that the operator connected to.
    local_address: SocketAddr,
    /// Bytes read and not parsed yet.
    buffer: Vec<u8>,
    /// The operator sends no more; it may still read.
    input_ended: bool,
    calls: mpsc::Sender<Call>,
}

/// A received call, or the answer to an invalid one.
enum Incoming {
    Call(RequestHead, Vec<u8>),
    Invalid(Response),
    End,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    fn new(stream: S, local_address: SocketAddr, calls: mpsc::Sender<Call>) -> Connection<S> {
        Connection { stream, local_address, buffer: Vec::new(), input_ended: false, calls }
    }

    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            match self.receive_call().await? {
                Incoming::Call(head, body) => {
                    let response = self.answer(&head, body).await?;
                    self.stream.write_all(&response.write(head.close)).await?;
                    if head.close {
                        return Ok(());
                    }
                }
                Incoming::Invalid(response) => return self.stream.write_all(&response.write(true)).await,
                Incoming::End => return Ok(()),
            }
        }
    }

    async fn receive_call(&mut self) -> std::io::Result<Incoming> {
        let head = loop {
            match request_head(&self.buffer, MAX_HEAD_BYTES) {
                Read::Done { value, used } => {
                    self.buffer.drain(..used);
                    break value;
                }
                Read::Invalid(fault) => {
                    return Ok(Incoming::Invalid(Response::error(fault.status(), &fault.to_string())))
                }
                Read::Partial => {}
            }
            if !self.read_more().await {
                return Ok(Incoming::End);
            }
        };
        if head.expect_continue {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        self.read_body(head).await
    }

    async fn read_body(&mut self, head: RequestHead) -> std::io::Result<Incoming> {
        let mut body = Body::new(head.framing, MAX_BODY_BYTES);
        loop {
            match body.push(&self.buffer) {
                Read::Done { used, .. } => {
                    self.buffer.drain(..used);
                    return Ok(Incoming::Call(head, body.bytes()));
                }
                Read::Invalid(fault) => {
                    return Ok(Incoming::Invalid(Response::error(fault.status(), &fault.to_string())))
                }
                Read::Partial => self.buffer.clear(),
            }
            // A call with a truncated body is dropped: nothing has changed, and its operator has
            // disconnected.
            if !self.read_more().await {
                return Ok(Incoming::End);
            }
        }
    }

    /// Reads more bytes; false if none came in time.
    async fn read_more(&mut self) -> bool {
        if self.input_ended {
            return false;
        }
        matches!(timeout(READ_TIMEOUT, self.stream.read_buf(&mut self.buffer)).await, Ok(Ok(1..)))
    }

    /// The answer to a call; an error if the operator has disconnected, or the controller has stopped.
    async fn answer(&mut self, head: &RequestHead, body: Vec<u8>) -> std::io::Result<Response> {
        let path = head.target.split('?').next().unwrap_or_default();
        let (reply, answer) = oneshot::channel();
        let call = match parse_call(&head.method, path, body, reply) {
            Ok(call) => call,
            Err((status, why)) => return Ok(Response::error(status, &why)),
        };
        let closed = |_| Error::from(ErrorKind::BrokenPipe);
        self.calls.send(call).await.map_err(closed)?;
        let reply = self.wait_for(answer).await?;
        Ok(Response::to_reply(reply, self.local_address, path))
    }

    /// Waits for the reply and reads ahead meanwhile: so a reset connection is noticed, and its reply
    /// dropped.
    async fn wait_for(&mut self, mut answer: oneshot::Receiver<Reply>) -> std::io::Result<Reply> {
        let until = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let reads = !self.input_ended && self.buffer.len() < MAX_READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                reply = timeout_at(until, &mut answer) => return match reply {
                    Ok(reply) => reply.map_err(|_| Error::from(ErrorKind::BrokenPipe)),
                    Err(_) => Ok(Reply::Unavailable(Unavailable::new("no answer in time", RETRY_AFTER))),
                },
                read = self.stream.read_buf(&mut self.buffer), if reads => self.input_ended = read? == 0,
            }
        }
    }
}

/// The call of this method and path; else the status and the error for the answer.
fn parse_call(
    method: &str,
    path: &str,
    body: Vec<u8>,
    reply: oneshot::Sender<Reply>,
) -> Result<Call, (u16, String)> {
    match (method, path) {
        ("POST", REPLACE_PATH) => Ok(Call::Replace { text: body, reply }),
        ("GET", SHOW_PATH) => Ok(Call::Show { reply }),
        ("GET", STATUS_PATH) => Ok(Call::Status { reply }),
        (_, REPLACE_PATH | SHOW_PATH | STATUS_PATH) => Err((405, "method not allowed for this call".into())),
        (method, path) if path.starts_with("/v1/Rebinding.") => {
            RebindingCall::read(method, path, &body).map(|call| Call::Rebinding { call, reply })
        }
        _ => Err((404, "no such call".into())),
    }
}

/// Writes an answer with a body in JSON.
pub(crate) async fn write_json(
    stream: &mut TcpStream,
    status: u16,
    _reason: &str,
    body: &[u8],
    close: bool,
) -> std::io::Result<()> {
    let response = Response { status, body: body.to_vec(), ..Response::default() };
    stream.write_all(&response.write(close)).await
}
