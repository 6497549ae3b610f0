//! Scans incoming bytes for the start of messages and for the lengths in their heads. hyper silently accepts
//! a second Content-Length, or one beside chunked encoding; a peer that reads such a message differently
//! would see another message within its body (request smuggling).

use std::collections::VecDeque;

/// The scanned prefix of a line: the longer header name, and a length.
const MAX_SCANNED_LINE: usize = 48;

/// How a head determines the end of its message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Known,
    /// Chunked: what follows is not scanned, so this message is the last one on its connection.
    Chunked,
    /// Several lengths, an invalid one, or one beside chunked encoding.
    Ambiguous,
}

#[derive(Debug, Default)]
enum Position {
    #[default]
    Between,
    Head,
    Body(u64),
    /// Nothing is scanned any more.
    Unscanned,
}

#[derive(Default)]
pub struct HeadScanner {
    position: Position,
    line: Vec<u8>,
    lengths: u32,
    length: u64,
    chunked: u32,
    ambiguous: bool,
    /// Results for complete heads that were not taken yet.
    complete: VecDeque<Framing>,
}

impl HeadScanner {
    /// Whether a message has begun whose head was not taken yet.
    pub fn has_message(&self) -> bool {
        matches!(self.position, Position::Head) || !self.complete.is_empty()
    }

    /// The result for the next head; one for each message, in order.
    pub fn take(&mut self) -> Framing {
        self.complete.pop_front().unwrap_or(Framing::Ambiguous)
    }

    pub fn feed(&mut self, mut bytes: &[u8]) {
        while let Some((&first, rest)) = bytes.split_first() {
            match self.position {
                Position::Unscanned => return,
                Position::Body(left) => {
                    let here = left.min(bytes.len() as u64);
                    bytes = &bytes[here as usize..];
                    self.position =
                        if left == here { Position::Between } else { Position::Body(left - here) };
                    continue;
                }
                // Empty lines may precede a message.
                Position::Between if first == b'\r' || first == b'\n' => {}
                Position::Between => {
                    self.position = Position::Head;
                    continue;
                }
                Position::Head if first == b'\n' => self.end_line(),
                Position::Head if self.line.len() < MAX_SCANNED_LINE => self.line.push(first),
                Position::Head => {}
            }
            bytes = rest;
        }
    }

    fn end_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        if line.is_empty() {
            return self.end_head();
        }
        let mut parts = line.splitn(2, |&byte| byte == b':');
        let (name, value) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            let value = value.trim_ascii();
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            match std::str::from_utf8(value).ok().and_then(|text| text.parse().ok()).filter(|_| digits) {
                Some(length) => self.length = length,
                None => self.ambiguous = true,
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked += 1;
        }
        self.line.clear();
    }

    fn end_head(&mut self) {
        let framing = match (self.lengths, self.chunked) {
            (0 | 1, 0) if !self.ambiguous => Framing::Known,
            (0, 1) => Framing::Chunked,
            _ => Framing::Ambiguous,
        };
        self.complete.push_back(framing);
        self.position = match (framing, self.length) {
            (Framing::Known, 0) => Position::Between,
            (Framing::Known, length) => Position::Body(length),
            _ => Position::Unscanned,
        };
        (self.lengths, self.length, self.chunked, self.ambiguous) = (0, 0, 0, false);
        self.line.clear();
    }
}
