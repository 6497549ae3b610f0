//! HTTP/1.1 framing (RFC 9112) for a proxy that receives requests from clients and sends them to workers.
//!
//! Pure functions over byte buffers: no I/O, no panic on any input, memory bounded by the given limits.
//! Messages that two parsers could interpret differently are refused, which prevents request smuggling (RFC
//! 9112, 11.2). Heads are parsed by `httparse`, with an additional check for strict CRLF line ends.
//!
//! ```
//! use tindock_http1::{request_head, Body, Read};
//!
//! let buf = b"POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\nhi";
//! let Read::Done { value: head, used } = request_head(buf, 16_384) else { panic!() };
//! let mut body = Body::new(head.framing, 1024);
//! assert_eq!(body.push(&buf[used..]), Read::Done { value: (), used: 2 });
//! assert_eq!(body.bytes(), b"hi");
//! ```

mod body;
mod head;
mod write;

pub use body::Body;
pub use head::{answer_head, request_head, AnswerHead, RequestHead};
pub use write::{write_answer, write_local_answer, write_request};

/// Limit of header lines in a head.
pub const MAX_HEADERS: usize = 100;
/// Limit of the length of a request's `Attempt-Id`, in bytes.
pub const MAX_ATTEMPT_ID: usize = 256;
/// Limit of the extensions of one chunk, in bytes.
pub const MAX_CHUNK_EXTENSION: usize = 256;
/// Limit of the trailers after the last chunk, in bytes with line ends.
pub const MAX_TRAILERS: usize = 4096;

/// The result of parsing a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<T> {
    /// Incomplete: more bytes are needed.
    Partial,
    /// Complete, and made of the first `used` bytes of the buffer.
    Done { value: T, used: usize },
    /// Invalid whatever bytes follow; the connection cannot be used further.
    Invalid(ParseError),
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ParseError {
    /// Not HTTP/1: a malformed line, a bare CR or LF, a folded line, a NUL (RFC 9112, 2.2 and 5).
    Syntax,
    /// The head or the trailers have more bytes or lines than allowed.
    TooLarge,
    /// The body has more bytes than allowed.
    BodyTooLarge,
    /// The length of the body is ambiguous, or its chunks are malformed (RFC 9112, 6.3 and 7.1).
    Framing,
    /// A version of HTTP other than 1.0 and 1.1.
    Version,
    /// HTTP/1.1 without `Host` (RFC 9112, 3.2).
    MissingHost,
    /// Several `Host` lines, or a value that is not a host with an optional port.
    InvalidHost,
    /// A target in neither origin nor absolute form (RFC 9112, 3.2).
    Target,
    /// An `Attempt-Id` that is empty, too long, not visible ASCII, or given twice with two values.
    AttemptId,
    /// A `Deadline-Ms` that is not an integer, or given twice with two values.
    Deadline,
    /// A header of an answer that must be unique has two values, or a value that is not UTF-8.
    Ambiguous,
}

impl ParseError {
    /// The status of the answer to a request with this error.
    pub fn status(&self) -> u16 {
        match self {
            ParseError::TooLarge => 431,
            ParseError::BodyTooLarge => 413,
            ParseError::Version => 505,
            _ => 400,
        }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            ParseError::Syntax => "malformed HTTP/1 message",
            ParseError::TooLarge => "head or trailers too large",
            ParseError::BodyTooLarge => "body too large",
            ParseError::Framing => "ambiguous or malformed body framing",
            ParseError::Version => "HTTP version not supported",
            ParseError::MissingHost => "missing Host",
            ParseError::InvalidHost => "invalid Host",
            ParseError::Target => "unsupported form of request target",
            ParseError::AttemptId => "invalid Attempt-Id",
            ParseError::Deadline => "invalid Deadline-Ms",
            ParseError::Ambiguous => "ambiguous header",
        })
    }
}

impl std::error::Error for ParseError {}

/// How the end of a message body is determined (RFC 9112, 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has so many bytes.
    Length(u64),
    /// The body ends with the last chunk and its trailers.
    Chunked,
    /// The body ends where the peer closes the connection; in answers only.
    UntilClose,
}
