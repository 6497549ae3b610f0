//! One connection that was let in, as the door sees it, and its socket.

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

/// Time for a message from its first byte to its last, and for the first one from when its connection came:
/// some usual clients take two seconds, and who is owed an answer within three seconds has one in time.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2600);

/// A client that writes slowly pauses no longer than this.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(1);

/// How well a connection keeps its place, the worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    Answered,
    Silent,
    Idle,
    Receiving,
}

/// How far it has shown itself to be one of ours; strangers leave first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Has asked for nothing yet that could be given.
    #[default]
    Unknown,
    Client,
    /// Told news last: without such words tasks in hand do not end.
    Worker,
}

pub struct ClientConnection {
    /// Busy with a whole message since it was read until it was answered.
    pub busy: Cell<bool>,
    /// Its last byte came, or it was answered.
    pub last_active: Cell<Instant>,
    reading_body: Cell<bool>,
    pub connected_at: Instant,
    /// Has sent no message yet.
    pub silent: Cell<bool>,
    pub role: Cell<Role>,
    /// By when the message that is coming must be whole.
    pub deadline: Cell<Option<Instant>>,
    deadline_changed: Notify,
    pub heads: RefCell<HeadScanner>,
    pub close_requested: Notify,
    pub closing: Cell<bool>,
    /// Its place is needed: it leaves at once if nothing is under way for it.
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

    /// Its place is needed.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.request_close();
    }

    /// Who leaves first when places are short: strangers that had their answer; who says nothing, from the start or half
    /// way, for longer than a usual client does; strangers, clients, workers with nothing under way; and last whose
    /// message is coming. Guards against slow messages, and those about to begin, cut off for ones that idle.
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

    /// A message of it has begun, head or body, and is not whole.
    pub fn is_receiving(&self) -> bool {
        self.reading_body.get() || self.heads.borrow().has_message()
    }

    /// Its head is whole, and its body is read.
    pub fn head_read(&self) {
        self.silent.set(false);
        self.reading_body.set(true);
    }

    /// Nothing was given to it yet, and nothing is under way for it.
    pub fn is_unknown(&self) -> bool {
        self.role.get() == Role::Unknown && !self.busy.get()
    }

    /// Ends once a message is not whole by when it must be.
    pub async fn overdue(&self) {
        loop {
            match self.deadline.get() {
                Some(at) if at <= Instant::now() => return,
                // It may be cleared, or set anew, before then.
                Some(at) => tokio::time::sleep_until(at).await,
                None => self.deadline_changed.notified().await,
            }
        }
    }

    fn start_message(&self) {
        self.deadline.set(Some(Instant::now() + MESSAGE_TIMEOUT));
        self.deadline_changed.notify_one();
    }

    /// A whole message came.
    pub fn message_read(&self) {
        self.busy.set(true);
        self.reading_body.set(false);
        self.deadline.set(None);
    }

    /// It was answered, and the next one may have begun by then.
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

/// Its socket: what comes is looked at before it is read.
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

    /// Guards against crowds that push out who is about to write or writes slowly: the order in which places are given up.
    #[test]
    fn who_idles_leaves_before_who_writes() {
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
