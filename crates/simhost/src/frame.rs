//! Reading fields out of a batch and writing records into a reply; little-endian, unpadded.

use std::fmt;
use std::io::{self, Write};
use std::ops::Range;
use std::time::Duration;
use tindock_sheet::checked_duration;

const ACTION: usize = 24;

/// What was wrong with the input, and where after the batch header.
#[derive(Debug)]
pub struct Wrong {
    at: usize,
    why: String,
}

impl Wrong {
    pub fn at(at: usize, why: String) -> Self {
        Wrong { at, why }
    }
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "byte {}: {}", self.at, self.why)
    }
}

/// Bytes to read fields from; `base` is where they stand in the batch, for messages.
#[derive(Clone, Copy)]
pub struct Frame<'a> {
    pub bytes: &'a [u8],
    pub base: usize,
    tail: usize,
}

impl<'a> Frame<'a> {
    pub fn over(bytes: &'a [u8], base: usize) -> Self {
        Frame { bytes, base, tail: bytes.len() }
    }

    pub fn with_tail(self, tail: usize) -> Self {
        Frame { tail, ..self }
    }

    fn take<const N: usize>(&self, at: usize) -> Result<[u8; N], Wrong> {
        let field = self.bytes.get(at..at + N).and_then(|b| b.try_into().ok());
        field.ok_or_else(|| Wrong::at(self.base + at, "the frame is too short".into()))
    }

    pub fn u8(&self, at: usize) -> Result<u8, Wrong> {
        Ok(u8::from_le_bytes(self.take(at)?))
    }

    pub fn u16(&self, at: usize) -> Result<u16, Wrong> {
        Ok(u16::from_le_bytes(self.take(at)?))
    }

    pub fn u32(&self, at: usize) -> Result<u32, Wrong> {
        Ok(u32::from_le_bytes(self.take(at)?))
    }

    pub fn u64(&self, at: usize) -> Result<u64, Wrong> {
        Ok(u64::from_le_bytes(self.take(at)?))
    }

    pub fn f32(&self, at: usize) -> Result<f32, Wrong> {
        let value = f32::from_le_bytes(self.take(at)?);
        if !value.is_finite() {
            return Err(Wrong::at(self.base + at, format!("{value} is no figure")));
        }
        Ok(value)
    }

    /// A time in seconds; a negative one counts as zero.
    pub fn span(&self, at: usize) -> Result<Duration, Wrong> {
        let seconds = f64::from_le_bytes(self.take(at)?);
        let wrong = || Wrong::at(self.base + at, format!("{seconds} is no time"));
        checked_duration(if seconds < 0.0 { 0.0 } else { seconds }).ok_or_else(wrong)
    }

    pub fn address(&self, at: usize) -> Result<[u8; 6], Wrong> {
        self.take(at)
    }

    fn reach(&self, at: usize, size: usize) -> Result<Range<usize>, Wrong> {
        let (offset, length) = (self.u32(at)? as usize, self.u32(at + 4)? as usize);
        let start = self.tail + offset;
        let end = start + length * size;
        if end > self.bytes.len() {
            let room = self.bytes.len() - self.tail;
            return Err(Wrong::at(
                at,
                format!("{length} x {size} bytes at {offset} leave the tail of {room}"),
            ));
        }
        Ok(start..end)
    }

    /// Where each of the tail's pieces that the field at `at` names begins.
    pub fn tail(&self, at: usize, size: usize) -> Result<std::iter::StepBy<Range<usize>>, Wrong> {
        Ok(self.reach(at, size)?.step_by(size))
    }

    pub fn tail_text(&self, at: usize) -> Result<&'a [u8], Wrong> {
        Ok(&self.bytes[self.reach(at, 1)?])
    }
}

/// A reply under construction.
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

/// One record; what is not written stays zero.
pub struct Record<'a> {
    bytes: &'a mut [u8],
    at: usize,
}

impl Record<'_> {
    pub fn raw(mut self, field: &[u8]) -> Self {
        self.bytes[self.at..self.at + field.len()].copy_from_slice(field);
        self.at += field.len();
        self
    }

    pub fn u64(self, value: u64) -> Self {
        self.raw(&value.to_le_bytes())
    }

    pub fn f64(self, value: f64) -> Self {
        self.raw(&value.to_le_bytes())
    }
}

impl Reply {
    pub fn new() -> Self {
        Reply { records: Vec::new(), tail: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn cut(&mut self, length: usize) {
        self.records.truncate(length);
    }

    pub fn record(&mut self, code: u16) -> Record<'_> {
        let start = self.records.len();
        self.records.resize(start + ACTION, 0);
        Record { bytes: &mut self.records[start..], at: 0 }.raw(&code.to_le_bytes())
    }

    pub fn text(&mut self, code: u16, text: &str) {
        self.with_tail(code, &[], text.as_bytes());
    }

    /// A message to another instance.
    pub fn tell(&mut self, to: u32, message: &[u8]) {
        self.with_tail(1070, &to.to_le_bytes(), message);
    }

    fn with_tail(&mut self, code: u16, before: &[u8], piece: &[u8]) {
        let (offset, length) = (self.tail.len() as u32, piece.len() as u32);
        self.record(code).raw(before).raw(&offset.to_le_bytes()).raw(&length.to_le_bytes());
        self.tail.extend_from_slice(piece);
    }

    pub fn write(&self, number: u32, out: &mut impl Write) -> io::Result<()> {
        out.write_all(&number.to_le_bytes())?;
        out.write_all(&((self.records.len() / ACTION) as u32).to_le_bytes())?;
        out.write_all(&((self.records.len() + self.tail.len()) as u32).to_le_bytes())?;
        out.write_all(&self.records)?;
        out.write_all(&self.tail)
    }
}
