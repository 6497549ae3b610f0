use crate::{Framing, ParseError, Read, MAX_CHUNK_EXTENSION, MAX_TRAILERS};

/// The most room set aside for a body before its bytes come.
const MAX_RESERVE: u64 = 64 * 1024;
/// The most hexadecimal digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 15;

#[derive(Clone, Copy, Debug)]
enum State {
    Whole,
    Failed(ParseError),
    UntilClose,
    /// So many bytes until the body is whole.
    Left(u64),
    /// In the digits of a chunk's size, of which there were `seen`.
    Size,
    /// In the extensions of a chunk, of which there were `seen` bytes.
    Extension,
    SizeLf,
    /// So many bytes until the chunk is whole.
    Chunk(u64),
    ChunkCr,
    ChunkLf,
    /// At the start of a trailer or of the empty line; `seen` bytes of trailers so far.
    Line,
    Name,
    Value,
    ValueLf,
    EndLf,
}

/// Takes a body in pieces as they come, and takes chunks apart (RFC 9112, 6 and 7.1).
///
/// Every byte is looked at once. Chunk extensions and trailers are dropped.
#[derive(Clone, Debug)]
pub struct Body {
    state: State,
    max: usize,
    size: u64,
    seen: usize,
    bytes: Vec<u8>,
}

impl Body {
    /// A body yet to come, of at most `max` bytes once decoded. If `framing` already says that it will
    /// be longer, every [`Body::push`] (also of nothing) gives [`ParseError::BodyTooLarge`].
    pub fn new(framing: Framing, max: usize) -> Body {
        let (state, room) = match framing {
            Framing::Empty | Framing::Length(0) => (State::Whole, 0),
            Framing::Length(n) if n > max as u64 => (State::Failed(ParseError::BodyTooLarge), 0),
            Framing::Length(n) => (State::Left(n), n.min(MAX_RESERVE) as usize),
            Framing::Chunked => (State::Size, 0),
            Framing::UntilClose => (State::UntilClose, 0),
        };
        Body { state, max, size: 0, seen: 0, bytes: Vec::with_capacity(room) }
    }

    /// Takes the next bytes. `Done`: the body is whole after `used` bytes of `buf`, the rest belongs to
    /// something else. `Partial`: all of `buf` was taken. A fault stays.
    pub fn push(&mut self, buf: &[u8]) -> Read<()> {
        let mut at = 0;
        loop {
            let rest = &buf[at..];
            match self.state {
                State::Whole => return Read::Done { value: (), used: at },
                State::Failed(fault) => return Read::Invalid(fault),
                _ if rest.is_empty() => return Read::Partial,
                State::UntilClose => {
                    if rest.len() > self.max - self.bytes.len() {
                        self.state = State::Failed(ParseError::BodyTooLarge);
                    } else {
                        self.bytes.extend_from_slice(rest);
                        at = buf.len();
                    }
                }
                State::Left(n) => {
                    let (taken, left) = self.take(rest, n);
                    at += taken;
                    self.state = if left == 0 { State::Whole } else { State::Left(left) };
                }
                State::Chunk(n) => {
                    let (taken, left) = self.take(rest, n);
                    at += taken;
                    self.state = if left == 0 { State::ChunkCr } else { State::Chunk(left) };
                }
                _ => {
                    self.state = self.step(rest[0]).unwrap_or_else(State::Failed);
                    at += 1;
                }
            }
        }
    }

    /// The peer closed its side: whether the body is whole. Only [`Framing::UntilClose`] ends so; any
    /// other body that is not whole yet was cut short.
    pub fn end_of_input(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::Whole;
        }
        matches!(self.state, State::Whole)
    }

    /// The decoded bytes so far.
    pub fn bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// The number of decoded bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no decoded bytes yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes up to `n` bytes: how many, and how many are still to come.
    fn take(&mut self, rest: &[u8], n: u64) -> (usize, u64) {
        let taken = usize::try_from(n).map_or(rest.len(), |n| n.min(rest.len()));
        self.bytes.extend_from_slice(&rest[..taken]);
        (taken, n - taken as u64)
    }

    /// One byte of what stands around the chunks.
    fn step(&mut self, byte: u8) -> Result<State, ParseError> {
        let state = self.state;
        if matches!(state, State::Line | State::Name | State::Value | State::ValueLf | State::EndLf) {
            self.seen += 1;
            if self.seen > MAX_TRAILERS {
                return Err(ParseError::TooLarge);
            }
        }
        Ok(match (state, byte) {
            (State::Size, b'\r') if self.seen > 0 => State::SizeLf,
            (State::Size, b';') if self.seen > 0 => {
                self.seen = 0;
                State::Extension
            }
            (State::Size, _) => {
                let digit = (byte as char).to_digit(16).ok_or(ParseError::Framing)?;
                self.seen += 1;
                if self.seen > MAX_SIZE_DIGITS {
                    return Err(ParseError::Framing);
                }
                self.size = self.size << 4 | u64::from(digit);
                State::Size
            }
            (State::Extension, b'\r') => State::SizeLf,
            (State::Extension, _) if is_text(byte) && self.seen < MAX_CHUNK_EXTENSION => {
                self.seen += 1;
                State::Extension
            }
            (State::SizeLf, b'\n') => {
                self.seen = 0;
                if self.size > (self.max - self.bytes.len()) as u64 {
                    return Err(ParseError::BodyTooLarge);
                }
                match std::mem::take(&mut self.size) {
                    0 => State::Line,
                    n => State::Chunk(n),
                }
            }
            (State::ChunkCr, b'\r') => State::ChunkLf,
            (State::ChunkLf, b'\n') => State::Size,
            (State::Line, b'\r') => State::EndLf,
            (State::Name, b':') => State::Value,
            (State::Line | State::Name, _) if is_token(byte) => State::Name,
            (State::Value, b'\r') => State::ValueLf,
            (State::Value, _) if is_text(byte) => State::Value,
            (State::ValueLf, b'\n') => State::Line,
            (State::EndLf, b'\n') => State::Whole,
            _ => return Err(ParseError::Framing),
        })
    }
}

/// Whether a field value may hold this byte (RFC 9110, 5.5).
fn is_text(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != 0x7f
}

/// Whether a token may hold this byte (RFC 9110, 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
