//! Counts at the socket: whether the first and the last byte of what is being sent were written.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// How far the message now being sent has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Count {
    Nothing,
    /// Within the head; so many bytes of the blank line that ends it have come.
    Head(u8),
    Body(usize),
}

/// Shared between a connection's socket and whoever sends on it.
pub struct Gauge {
    count: Cell<Count>,
    body: Cell<usize>,
}

impl Default for Gauge {
    fn default() -> Self {
        Gauge { count: Cell::new(Count::Nothing), body: Cell::new(0) }
    }
}

impl Gauge {
    /// The next message has a body of this length.
    pub fn begin(&self, body: usize) {
        self.count.set(Count::Nothing);
        self.body.set(body);
    }

    pub fn untouched(&self) -> bool {
        self.count.get() == Count::Nothing
    }

    /// The last byte was handed to the kernel.
    pub fn whole(&self) -> bool {
        matches!(self.count.get(), Count::Body(written) if written >= self.body.get())
    }

    pub fn written(&self, bytes: &[u8]) {
        for (at, &byte) in bytes.iter().enumerate() {
            let matched = match self.count.get() {
                Count::Nothing => 0,
                Count::Head(matched) => matched,
                Count::Body(written) => return self.count.set(Count::Body(written + bytes.len() - at)),
            };
            let matched = match (matched, byte) {
                (0 | 2, b'\r') | (1 | 3, b'\n') => matched + 1,
                (_, b'\r') => 1,
                _ => 0,
            };
            self.count.set(if matched == 4 { Count::Body(0) } else { Count::Head(matched) });
        }
    }
}

pub struct Counted {
    stream: TokioIo<TcpStream>,
    gauge: Rc<Gauge>,
}

impl Counted {
    pub fn new(stream: TcpStream, gauge: Rc<Gauge>) -> Self {
        Counted { stream: TokioIo::new(stream), gauge }
    }
}

impl Read for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: ReadBufCursor) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

// Vectored writes stay off, as by default: hyper then hands over one slice at a time, and all of it is counted.
impl Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = written {
            self.gauge.written(&buf[..n]);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
