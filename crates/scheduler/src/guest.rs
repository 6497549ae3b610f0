//! One connection that was let in, as the door sees it, and its socket.

use crate::heads::Heads;
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
/// usual clients take some milliseconds, and who is owed an answer within three seconds has one in time.
const MESSAGE: Duration = Duration::from_secs(2);

/// How far it has shown itself to be one of ours; strangers leave first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Has asked for nothing yet that could be given.
    #[default]
    Stranger,
    Client,
    /// Told news last: without such words tasks in hand do not end.
    Worker,
}

pub struct Guest {
    /// Busy with a whole message since it was read until it was answered.
    pub busy: Cell<bool>,
    pub used: Cell<Instant>,
    /// Has sent no message yet.
    pub mute: Cell<bool>,
    pub standing: Cell<Standing>,
    /// By when the message that is coming must be whole.
    pub due: Cell<Option<Instant>>,
    due_set: Notify,
    pub heads: RefCell<Heads>,
    pub leave: Notify,
    pub leaving: Cell<bool>,
}

impl Guest {
    pub fn new(now: Instant) -> Self {
        Guest {
            busy: Cell::new(false),
            used: Cell::new(now),
            mute: Cell::new(true),
            standing: Cell::default(),
            due: Cell::new(Some(now + MESSAGE)),
            due_set: Notify::new(),
            heads: RefCell::default(),
            leave: Notify::new(),
            leaving: Cell::new(false),
        }
    }

    pub fn ask_to_leave(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }

    /// Nothing was given to it yet, and nothing is under way for it.
    pub fn is_stranger(&self) -> bool {
        self.standing.get() == Standing::Stranger && !self.busy.get()
    }

    /// Ends once a message is not whole by when it must be.
    pub async fn overdue(&self) {
        loop {
            match self.due.get() {
                Some(at) if at <= Instant::now() => return,
                // It may be cleared, or set anew, before then.
                Some(at) => tokio::time::sleep_until(at).await,
                None => self.due_set.notified().await,
            }
        }
    }

    fn begin(&self) {
        self.due.set(Some(Instant::now() + MESSAGE));
        self.due_set.notify_one();
    }

    /// A whole message came.
    pub fn read(&self) {
        self.busy.set(true);
        self.due.set(None);
    }

    /// It was answered, and the next one may have begun by then.
    pub fn answered(&self) {
        self.busy.set(false);
        self.used.set(Instant::now());
        if self.heads.borrow().begun() {
            self.begin();
        }
    }

    fn came(&self, bytes: &[u8]) {
        let mut heads = self.heads.borrow_mut();
        heads.came(bytes);
        if !self.busy.get() && self.due.get().is_none() && heads.begun() {
            self.begin();
        }
    }
}

/// Its socket: what comes is looked at before it is read.
pub struct Watched {
    pub stream: TcpStream,
    pub guest: Rc<Guest>,
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.guest.came(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
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
