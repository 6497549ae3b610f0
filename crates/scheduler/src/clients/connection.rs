//! The state of one accepted connection, and its socket.

use crate::clients::head_scanner::HeadScanner;
use std::cell::{Cell, RefCell};
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time limit for a message from its first to its last byte, and for the first message from the connection's
/// start: some ordinary clients take two seconds, and a client that is owed an answer within three seconds
/// still gets it.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2600);

/// The longest pause of an ordinary client that writes slowly.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(1);

/// Order in which connections are evicted, first ones first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    Answered,
    Silent,
    Idle,
    Receiving,
}

/// What the peer has proved to be; unknown peers are evicted first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Has sent no valid request yet.
    #[default]
    Unknown,
    Client,
    /// Last sent an update: without updates, tasks in flight do not end.
    Worker,
}

pub struct ClientConnection {
    /// Whether a completely read message is being handled.
    pub busy: Cell<bool>,
    /// When its last byte arrived, or its last response was sent.
    pub last_active: Cell<Instant>,
    reading_body: Cell<bool>,
    pub connected_at: Instant,
    /// Has sent no message yet.
    pub silent: Cell<bool>,
    pub role: Cell<Role>,
    /// The time by which the arriving message must be complete.
    pub deadline: Cell<Option<Instant>>,
    deadline_changed: Notify,
    pub heads: RefCell<HeadScanner>,
    pub close_requested: Notify,
    pub closing: Cell<bool>,
    /// Set on eviction: the connection is closed at once if nothing is in progress on it.
    pub evicted: Cell<bool>,
}

impl ClientConnection {
    pub fn new(now: Instant) -> Self {
        ClientConnection {
            busy: Cell::new(false),
            last_active: Cell::new(now),
            reading_body: Cell::new(false),
            connected_at: now,
            silent: Cell::new(true),
            role: Cell::default(),
            deadline: Cell::new(Some(now + MESSAGE_TIMEOUT)),
            deadline_changed: Notify::new(),
            heads: RefCell::default(),
            close_requested: Notify::new(),
            closing: Cell::new(false),
            evicted: Cell::new(false),
        }
    }

    pub fn request_close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }

    /// Closes the connection to free capacity.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.request_close();
    }

    /// Eviction order under a shortage of connections: first unknown peers that had their response; then
    /// those silent, from the start or within a message, for longer than an ordinary client; then idle
    /// unknown peers, clients and workers; last those whose message is arriving. Guards against cutting off
    /// slow messages, or ones about to begin, in favour of idle connections.
    pub fn rank(&self, now: Instant) -> (Rank, Role, Instant) {
        let (role, last_active) = (self.role.get(), self.last_active.get());
        let rank = match (self.is_receiving(), self.silent.get()) {
            (false, false) if role == Role::Unknown => Rank::Answered,
            (true, _) | (_, true) if now - last_active > MAX_WRITE_PAUSE => Rank::Silent,
            (false, _) => Rank::Idle,
            (true, _) => Rank::Receiving,
        };
        (rank, role, last_active)
    }

    /// Whether a message has begun, head or body, and is incomplete.
    pub fn is_receiving(&self) -> bool {
        self.reading_body.get() || self.heads.borrow().has_message()
    }

    /// Its head is complete; its body is read next.
    pub fn head_read(&self) {
        self.silent.set(false);
        self.reading_body.set(true);
    }

    /// Whether it never had a valid request and has nothing in progress.
    pub fn is_unknown(&self) -> bool {
        self.role.get() == Role::Unknown && !self.busy.get()
    }

    /// Returns once a message is incomplete at its deadline.
    pub async fn overdue(&self) {
        loop {
            match self.deadline.get() {
                Some(at) if at <= Instant::now() => return,
                // The deadline may be cleared or set again before then.
                Some(at) => tokio::time::sleep_until(at).await,
                None => self.deadline_changed.notified().await,
            }
        }
    }

    fn start_message(&self) {
        self.deadline.set(Some(Instant::now() + MESSAGE_TIMEOUT));
        self.deadline_changed.notify_one();
    }

    /// A complete message was read.
    pub fn message_read(&self) {
        self.busy.set(true);
        self.reading_body.set(false);
        self.deadline.set(None);
    }

    /// The response was sent; the next message may have begun already.
    pub fn answered(&self) {
        self.busy.set(false);
        self.reading_body.set(false);
        self.last_active.set(Instant::now());
        if self.heads.borrow().has_message() {
            self.start_message();
        }
    }

    fn received(&self, bytes: &[u8]) {
        let mut heads = self.heads.borrow_mut();
        heads.feed(bytes);
        self.last_active.set(Instant::now());
        if !self.busy.get() && self.deadline.get().is_none() && heads.has_message() {
            self.start_message();
        }
    }
}

/// The client's socket: scans incoming bytes before hyper reads them.
pub struct ClientSocket {
    pub stream: TcpStream,
    pub client: Rc<ClientConnection>,
}

impl AsyncRead for ClientSocket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.client.received(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against idle connections that displace peers about to write or writing slowly: the eviction
    /// order.
    #[test]
    fn idle_connections_are_evicted_before_receiving_ones() {
        let now = Instant::now() + Duration::from_secs(60);
        let client = |idle_ms: u64, sent: &[u8], with_head: bool, role: Role| {
            let client = ClientConnection::new(now - Duration::from_millis(idle_ms));
            client.heads.borrow_mut().feed(sent);
            client.role.set(role);
            if with_head {
                client.heads.borrow_mut().take();
                client.head_read();
            }
            client
        };
        let head = b"POST /plan HTTP/1.1\r\nContent-Length: 9\r\n\r\n";
        let answered = client(10, b"", true, Role::Unknown);
        answered.message_read();
        answered.busy.set(false);
        let kept = client(5000, b"", true, Role::Client);
        kept.message_read();
        kept.busy.set(false);
        let clients = [
            ("answered", answered),
            ("half way", client(1900, b"POST /pl", false, Role::Unknown)),
            ("silent", client(1500, b"", false, Role::Unknown)),
            ("new", client(5, b"", false, Role::Unknown)),
            ("kept client", kept),
            ("slow body", client(700, head, true, Role::Unknown)),
            ("slow head", client(600, b"POST /pl", false, Role::Unknown)),
        ];
        let mut by_rank: Vec<_> = clients.iter().map(|(name, client)| (client.rank(now), *name)).collect();
        by_rank.sort();
        let order: Vec<_> = by_rank.iter().map(|(_, name)| *name).collect();
        assert_eq!(order, clients.each_ref().map(|(name, _)| *name));
    }
}
