//! Tracks at the socket whether the first and the last byte of the current message were written. The last
//! byte is delayed for a moment, so that a connection which the worker has already closed breaks before it is
//! sent.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// How much of the current message was written.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteState {
    Nothing,
    /// Within the head: the number of bytes matched of the blank line that ends it.
    Head(u8),
    Body(usize),
}

/// Shared between a connection's socket and the sender.
pub struct WriteProgress {
    state: Cell<WriteState>,
    body_bytes: Cell<usize>,
    /// The last byte is held back while this is set.
    hold_last_byte: Cell<bool>,
    /// Counter of completely written messages, if this message is to be counted.
    counter: RefCell<Option<Rc<Cell<u64>>>>,
}

impl Default for WriteProgress {
    fn default() -> Self {
        WriteProgress {
            state: Cell::new(WriteState::Nothing),
            body_bytes: Cell::new(0),
            hold_last_byte: Cell::new(false),
            counter: RefCell::default(),
        }
    }
}

impl WriteProgress {
    /// Starts the next message, which has a body of this length.
    pub fn start_message(&self, body_bytes: usize) {
        self.state.set(WriteState::Nothing);
        self.body_bytes.set(body_bytes);
        self.hold_last_byte.set(true);
        self.counter.take();
    }

    /// Counts the current message in `counter` once it is completely written.
    pub fn count_in(&self, counter: &Rc<Cell<u64>>) {
        self.counter.replace(Some(counter.clone()));
    }

    pub fn nothing_written(&self) -> bool {
        self.state.get() == WriteState::Nothing
    }

    /// Whether the last byte was passed to the kernel.
    pub fn is_complete(&self) -> bool {
        self.completes(self.state.get())
    }

    fn completes(&self, state: WriteState) -> bool {
        matches!(state, WriteState::Body(written) if written >= self.body_bytes.get())
    }

    /// How many of these bytes may be written: all, or all but the last byte of the message.
    pub fn writable(&self, bytes: &[u8]) -> usize {
        bytes.len() - usize::from(self.hold_last_byte.get() && self.completes(self.after(bytes)))
    }

    pub fn record_write(&self, bytes: &[u8]) {
        self.state.set(self.after(bytes));
        if self.is_complete() {
            self.counter.take().iter().for_each(|counter| counter.set(counter.get() + 1));
        }
    }

    fn after(&self, bytes: &[u8]) -> WriteState {
        let mut state = self.state.get();
        for (at, &byte) in bytes.iter().enumerate() {
            let matched = match state {
                WriteState::Nothing => 0,
                WriteState::Head(matched) => matched,
                WriteState::Body(written) => return WriteState::Body(written + bytes.len() - at),
            };
            let matched = match (matched, byte) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            state = if matched == 4 { WriteState::Body(0) } else { WriteState::Head(matched) };
        }
        state
    }
}

/// How long the last byte is held back: one round trip to the worker, also between zones. Within that time, a
/// connection that was silently closed by the worker or by a device on the path answers the first bytes with
/// a reset.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);

pub struct CountingStream {
    stream: TokioIo<TcpStream>,
    progress: Rc<WriteProgress>,
    delay: Pin<Box<Sleep>>,
}

impl CountingStream {
    pub fn new(stream: TcpStream, progress: Rc<WriteProgress>) -> Self {
        CountingStream {
            stream: TokioIo::new(stream),
            progress,
            delay: Box::pin(tokio::time::sleep(LAST_BYTE_DELAY)),
        }
    }
}

impl Read for CountingStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

// Vectored writes stay disabled, as by default: hyper then passes one slice at a time, and all of it is
// counted.
impl Write for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<Result<usize, Error>> {
        let mut allowed = self.progress.writable(buf);
        if allowed == 0 && !buf.is_empty() {
            // Only the last byte is left. A reset would arrive on the reading side meanwhile and end the
            // connection.
            ready!(self.delay.as_mut().poll(cx));
            self.progress.hold_last_byte.set(false);
            allowed = buf.len();
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &buf[..allowed]))?;
        self.progress.record_write(&buf[..written]);
        if allowed < buf.len() && written == allowed {
            self.delay.as_mut().reset(Instant::now() + LAST_BYTE_DELAY);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
