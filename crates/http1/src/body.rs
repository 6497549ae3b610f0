use crate::{Framing, ParseError, Read, MAX_CHUNK_EXTENSION, MAX_TRAILERS};

/// Limit of the memory reserved for a body before its bytes are received.
const MAX_INITIAL_CAPACITY: u64 = 64 * 1024;
/// Limit of hexadecimal digits in a chunk's size.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

#[derive(Clone, Copy, Debug)]
enum State {
    Complete,
    Failed(ParseError),
    UntilClose,
    /// So many bytes of the body are missing.
    Remaining(u64),
    /// In the digits of a chunk's size, of which `count` have been read.
    Size,
    /// In the extensions of a chunk, of which `count` bytes have been read.
    Extension,
    SizeLf,
    /// So many bytes of the chunk are missing.
    Chunk(u64),
    ChunkCr,
    ChunkLf,
    /// At the start of a trailer or of the empty line; `count` bytes of trailers have been read.
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLf,
    EndLf,
}

/// Parses a body incrementally, and decodes chunks (RFC 9112, 6 and 7.1).
///
/// Every byte is processed once. Chunk extensions and trailers are dropped.
#[derive(Clone, Debug)]
pub struct Body {
    state: State,
    max_bytes: usize,
    chunk_size: u64,
    count: usize,
    bytes: Vec<u8>,
}

impl Body {
    /// A body to be received, of at most `max_bytes` bytes once decoded. If `framing` states a greater
    /// length, every [`Body::push`] (even of no bytes) returns [`ParseError::BodyTooLarge`].
    pub fn new(framing: Framing, max_bytes: usize) -> Body {
        let (state, capacity) = match framing {
            Framing::Empty | Framing::Length(0) => (State::Complete, 0),
            Framing::Length(n) if n > max_bytes as u64 => (State::Failed(ParseError::BodyTooLarge), 0),
            Framing::Length(n) => (State::Remaining(n), n.min(MAX_INITIAL_CAPACITY) as usize),
            Framing::Chunked => (State::Size, 0),
            Framing::UntilClose => (State::UntilClose, 0),
        };
        Body { state, max_bytes, chunk_size: 0, count: 0, bytes: Vec::with_capacity(capacity) }
    }

    /// Parses the next bytes. `Done`: the body is complete after `used` bytes of `buf`, the rest belongs to
    /// the next message. `Partial`: all of `buf` was used. After an error every further call returns it.
    pub fn push(&mut self, buf: &[u8]) -> Read<()> {
        let mut used = 0;
        loop {
            let rest = &buf[used..];
            match self.state {
                State::Complete => return Read::Done { value: (), used },
                State::Failed(error) => return Read::Invalid(error),
                _ if rest.is_empty() => return Read::Partial,
                State::UntilClose => {
                    if rest.len() > self.max_bytes - self.bytes.len() {
                        self.state = State::Failed(ParseError::BodyTooLarge);
                    } else {
                        self.bytes.extend_from_slice(rest);
                        used = buf.len();
                    }
                }
                State::Remaining(n) => {
                    let (taken, remaining) = self.take_bytes(rest, n);
                    used += taken;
                    self.state = if remaining == 0 { State::Complete } else { State::Remaining(remaining) };
                }
                State::Chunk(n) => {
                    let (taken, remaining) = self.take_bytes(rest, n);
                    used += taken;
                    self.state = if remaining == 0 { State::ChunkCr } else { State::Chunk(remaining) };
                }
                _ => {
                    self.state = self.parse_byte(rest[0]).unwrap_or_else(State::Failed);
                    used += 1;
                }
            }
        }
    }

    /// Handles the end of the peer's input, and returns whether the body is complete. Only a body with
    /// [`Framing::UntilClose`] ends so; any other incomplete body was truncated.
    pub fn end_of_input(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::Complete;
        }
        matches!(self.state, State::Complete)
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

    /// Takes up to `n` bytes of the body. Returns how many, and how many are still missing.
    fn take_bytes(&mut self, rest: &[u8], n: u64) -> (usize, u64) {
        let taken = usize::try_from(n).map_or(rest.len(), |n| n.min(rest.len()));
        self.bytes.extend_from_slice(&rest[..taken]);
        (taken, n - taken as u64)
    }

    /// Parses one byte of the chunked coding outside of chunk data.
    fn parse_byte(&mut self, byte: u8) -> Result<State, ParseError> {
        let state = self.state;
        if matches!(
            state,
            State::TrailerStart | State::TrailerName | State::TrailerValue | State::TrailerLf | State::EndLf
        ) {
            self.count += 1;
            if self.count > MAX_TRAILERS {
                return Err(ParseError::TooLarge);
            }
        }
        Ok(match (state, byte) {
            (State::Size, b'\r') if self.count > 0 => State::SizeLf,
            (State::Size, b';') if self.count > 0 => {
                self.count = 0;
                State::Extension
            }
            (State::Size, _) => {
                let digit = (byte as char).to_digit(16).ok_or(ParseError::Framing)?;
                self.count += 1;
                if self.count > MAX_CHUNK_SIZE_DIGITS {
                    return Err(ParseError::Framing);
                }
                self.chunk_size = self.chunk_size << 4 | u64::from(digit);
                State::Size
            }
            (State::Extension, b'\r') => State::SizeLf,
            (State::Extension, _) if is_text(byte) && self.count < MAX_CHUNK_EXTENSION => {
                self.count += 1;
                State::Extension
            }
            (State::SizeLf, b'\n') => {
                self.count = 0;
                if self.chunk_size > (self.max_bytes - self.bytes.len()) as u64 {
                    return Err(ParseError::BodyTooLarge);
                }
                match std::mem::take(&mut self.chunk_size) {
                    0 => State::TrailerStart,
                    n => State::Chunk(n),
                }
            }
            (State::ChunkCr, b'\r') => State::ChunkLf,
            (State::ChunkLf, b'\n') => State::Size,
            (State::TrailerStart, b'\r') => State::EndLf,
            (State::TrailerName, b':') => State::TrailerValue,
            (State::TrailerStart | State::TrailerName, _) if is_token(byte) => State::TrailerName,
            (State::TrailerValue, b'\r') => State::TrailerLf,
            (State::TrailerValue, _) if is_text(byte) => State::TrailerValue,
            (State::TrailerLf, b'\n') => State::TrailerStart,
            (State::EndLf, b'\n') => State::Complete,
            _ => return Err(ParseError::Framing),
        })
    }
}

/// Whether a field value may contain this byte (RFC 9110, 5.5).
fn is_text(byte: u8) -> bool {
    byte == b'\t' || byte >= b' ' && byte != 0x7f
}

/// Whether a token may contain this byte (RFC 9110, 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
