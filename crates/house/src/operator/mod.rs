//! The operators' calls over HTTP/1.1, as docs/openapi/controller.yaml has them.

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
use tindock_folio::{request_head, Body, Read, RequestHead};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, timeout_at, Instant};

/// The largest configuration that is read.
const MAX_BODY: usize = 8 << 20;
const MAX_HEAD: usize = 16 << 10;
/// What is read of later calls while one is answered.
const MAX_READ_AHEAD: usize = 64 << 10;
/// A call whose bytes stop coming is given up.
const STALLED_AFTER: Duration = Duration::from_secs(10);
/// The control store answers sooner; no call is held for longer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// What the other side does not acknowledge for so long ends the connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
const MAX_CONNECTIONS: usize = 128;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

const REPLACE: &str = "/v1/Configuration.Replace";
const SHOW: &str = "/v1/Configuration.Show";
pub const STATUS: &str = "/v1/Control.Status";

/// What an operator wants; the answer goes to `reply`, and nowhere if the operator has gone.
pub enum Call {
    /// A whole configuration is to be taken.
    Replace { text: Vec<u8>, reply: oneshot::Sender<Reply> },
    /// The configuration in force.
    Show { reply: oneshot::Sender<Reply> },
    /// How the control state stands.
    Status { reply: oneshot::Sender<Reply> },
    /// Staff's, of moves.
    Rebinding { ask: RebindingCall, reply: oneshot::Sender<Reply> },
}

/// Takes connections in and hands their calls on.
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
        crate::transport::set_stream_timeouts(&stream, UNACKNOWLEDGED);
        open.set(open.get() + 1);
        let (calls, open) = (calls.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if let Ok(asked) = stream.local_addr() {
                let _ = Connection::new(stream, asked, calls).serve().await;
            }
            open.set(open.get() - 1);
        });
    }
}

/// An operator's connection: one call after the other, each answered before the next is looked at.
struct Connection<S> {
    stream: S,
    /// The address that the operator asked.
    asked: SocketAddr,
    /// Read, and not used yet.
    buffer: Vec<u8>,
    /// The other side sends no more; it may still read.
    ended: bool,
    calls: mpsc::Sender<Call>,
}

/// A call as it came, or why it cannot be read.
enum Incoming {
    Call(RequestHead, Vec<u8>),
    Unreadable(Response),
    End,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    fn new(stream: S, asked: SocketAddr, calls: mpsc::Sender<Call>) -> Connection<S> {
        Connection { stream, asked, buffer: Vec::new(), ended: false, calls }
    }

    async fn serve(mut self) -> std::io::Result<()> {
        loop {
            match self.read_call().await? {
                Incoming::Call(head, body) => {
                    let response = self.answer(&head, body).await?;
                    self.stream.write_all(&response.write(head.close)).await?;
                    if head.close {
                        return Ok(());
                    }
                }
                Incoming::Unreadable(response) => return self.stream.write_all(&response.write(true)).await,
                Incoming::End => return Ok(()),
            }
        }
    }

    async fn read_call(&mut self) -> std::io::Result<Incoming> {
        let head = loop {
            match request_head(&self.buffer, MAX_HEAD) {
                Read::Done { value, used } => {
                    self.buffer.drain(..used);
                    break value;
                }
                Read::Bad(fault) => {
                    return Ok(Incoming::Unreadable(Response::error(fault.status(), &fault.to_string())))
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
        let mut body = Body::new(head.framing, MAX_BODY);
        loop {
            match body.push(&self.buffer) {
                Read::Done { used, .. } => {
                    self.buffer.drain(..used);
                    return Ok(Incoming::Call(head, body.bytes()));
                }
                Read::Bad(fault) => {
                    return Ok(Incoming::Unreadable(Response::error(fault.status(), &fault.to_string())))
                }
                Read::Partial => self.buffer.clear(),
            }
            // A body that is cut short is no call: nothing has changed, and nobody waits for an answer.
            if !self.read_more().await {
                return Ok(Incoming::End);
            }
        }
    }

    /// Whether more came in time.
    async fn read_more(&mut self) -> bool {
        if self.ended {
            return false;
        }
        matches!(timeout(STALLED_AFTER, self.stream.read_buf(&mut self.buffer)).await, Ok(Ok(1..)))
    }

    /// The answer to a call; an error if there is nobody to be answered, or nobody who answers.
    async fn answer(&mut self, head: &RequestHead, body: Vec<u8>) -> std::io::Result<Response> {
        let path = head.target.split('?').next().unwrap_or_default();
        let (reply, answer) = oneshot::channel();
        let call = match read_call(&head.method, path, body, reply) {
            Ok(call) => call,
            Err((status, why)) => return Ok(Response::error(status, &why)),
        };
        let stopped = |_| Error::from(ErrorKind::BrokenPipe);
        self.calls.send(call).await.map_err(stopped)?;
        let reply = self.wait_for(answer).await?;
        Ok(Response::to_reply(reply, self.asked, path))
    }

    /// Waits for an answer, and reads ahead meanwhile: so a connection that is reset is noticed, and its answer dropped.
    async fn wait_for(&mut self, mut answer: oneshot::Receiver<Reply>) -> std::io::Result<Reply> {
        let until = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let reads = !self.ended && self.buffer.len() < MAX_READ_AHEAD;
            tokio::select! {
                biased;
                reply = timeout_at(until, &mut answer) => return match reply {
                    Ok(reply) => reply.map_err(|_| Error::from(ErrorKind::BrokenPipe)),
                    Err(_) => Ok(Reply::Unavailable(Unavailable::new("no answer in time", RETRY_AFTER))),
                },
                read = self.stream.read_buf(&mut self.buffer), if reads => self.ended = read? == 0,
            }
        }
    }
}

/// The call that is meant, or with which status and why there is none.
fn read_call(
    method: &str,
    path: &str,
    body: Vec<u8>,
    reply: oneshot::Sender<Reply>,
) -> Result<Call, (u16, String)> {
    match (method, path) {
        ("POST", REPLACE) => Ok(Call::Replace { text: body, reply }),
        ("GET", SHOW) => Ok(Call::Show { reply }),
        ("GET", STATUS) => Ok(Call::Status { reply }),
        (_, REPLACE | SHOW | STATUS) => Err((405, "the method is not one of this call".into())),
        (method, path) if path.starts_with("/v1/Rebinding.") => {
            RebindingCall::read(method, path, &body).map(|ask| Call::Rebinding { ask, reply })
        }
        _ => Err((404, "no such call".into())),
    }
}

/// An answer with a body in JSON.
pub(crate) async fn answer_with(
    stream: &mut TcpStream,
    status: u16,
    _reason: &str,
    body: &[u8],
    close: bool,
) -> std::io::Result<()> {
    let response = Response { status, body: body.to_vec(), ..Response::default() };
    stream.write_all(&response.write(close)).await
}
