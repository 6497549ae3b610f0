//! Reads fields of a batch and writes records of a reply; little-endian, unpadded.

use crate::codes;
use std::fmt;
use std::io::{self, Write};
use std::ops::Range;
use std::time::Duration;
use tindock_policy_settings::checked_duration;

const RECORD_BYTES: usize = 24;

/// Invalid input, and its offset after the batch header.
#[derive(Debug)]
pub struct InputError {
    offset: usize,
    reason: String,
}

impl InputError {
    pub fn new(offset: usize, reason: String) -> Self {
        InputError { offset, reason }
    }
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "byte {}: {}", self.offset, self.reason)
    }
}

/// Bytes to read fields from; `base` is their offset in the batch, for error messages.
#[derive(Clone, Copy)]
pub struct Frame<'a> {
    pub bytes: &'a [u8],
    pub base: usize,
    tail: usize,
}

impl<'a> Frame<'a> {
    pub fn new(bytes: &'a [u8], base: usize) -> Self {
        Frame { bytes, base, tail: bytes.len() }
    }

    pub fn with_tail(self, tail: usize) -> Self {
        Frame { tail, ..self }
    }

    fn take<const N: usize>(&self, at: usize) -> Result<[u8; N], InputError> {
        let field = self.bytes.get(at..at + N).and_then(|b| b.try_into().ok());
        field.ok_or_else(|| InputError::new(self.base + at, "the frame is too short".into()))
    }

    pub fn u8(&self, at: usize) -> Result<u8, InputError> {
        Ok(u8::from_le_bytes(self.take(at)?))
    }

    pub fn u16(&self, at: usize) -> Result<u16, InputError> {
        Ok(u16::from_le_bytes(self.take(at)?))
    }

    pub fn u32(&self, at: usize) -> Result<u32, InputError> {
        Ok(u32::from_le_bytes(self.take(at)?))
    }

    pub fn u64(&self, at: usize) -> Result<u64, InputError> {
        Ok(u64::from_le_bytes(self.take(at)?))
    }

    pub fn f32(&self, at: usize) -> Result<f32, InputError> {
        let value = f32::from_le_bytes(self.take(at)?);
        if !value.is_finite() {
            return Err(InputError::new(self.base + at, format!("{value} is not a finite number")));
        }
        Ok(value)
    }

    /// A time in seconds; a negative one counts as zero.
    pub fn duration(&self, at: usize) -> Result<Duration, InputError> {
        let seconds = f64::from_le_bytes(self.take(at)?);
        let error = || InputError::new(self.base + at, format!("{seconds} is not a valid duration"));
        checked_duration(if seconds < 0.0 { 0.0 } else { seconds }).ok_or_else(error)
    }

    pub fn address(&self, at: usize) -> Result<[u8; 6], InputError> {
        self.take(at)
    }

    fn tail_range(&self, at: usize, size: usize) -> Result<Range<usize>, InputError> {
        let (offset, length) = (self.u32(at)? as usize, self.u32(at + 4)? as usize);
        let start = self.tail + offset;
        let end = start + length * size;
        if end > self.bytes.len() {
            let available = self.bytes.len() - self.tail;
            return Err(InputError::new(
                at,
                format!("{length} x {size} bytes at {offset} exceed the tail of {available}"),
            ));
        }
        Ok(start..end)
    }

    /// Start of each entry in the part of the tail that the field at `at` refers to.
    pub fn tail(&self, at: usize, size: usize) -> Result<std::iter::StepBy<Range<usize>>, InputError> {
        Ok(self.tail_range(at, size)?.step_by(size))
    }

    pub fn tail_text(&self, at: usize) -> Result<&'a [u8], InputError> {
        Ok(&self.bytes[self.tail_range(at, 1)?])
    }
}

/// A reply under construction.
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

/// One record; bytes that are not written stay zero.
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

    pub fn truncate(&mut self, length: usize) {
        self.records.truncate(length);
    }

    pub fn record(&mut self, code: u16) -> Record<'_> {
        let start = self.records.len();
        self.records.resize(start + RECORD_BYTES, 0);
        Record { bytes: &mut self.records[start..], at: 0 }.raw(&code.to_le_bytes())
    }

    pub fn text(&mut self, code: u16, text: &str) {
        self.with_tail(code, &[], text.as_bytes());
    }

    /// Adds a message to another instance.
    pub fn message(&mut self, to: u32, message: &[u8]) {
        self.with_tail(codes::reply::PEER_MESSAGE, &to.to_le_bytes(), message);
    }

    fn with_tail(&mut self, code: u16, prefix: &[u8], content: &[u8]) {
        let (offset, length) = (self.tail.len() as u32, content.len() as u32);
        self.record(code).raw(prefix).raw(&offset.to_le_bytes()).raw(&length.to_le_bytes());
        self.tail.extend_from_slice(content);
    }

    pub fn write(&self, number: u32, out: &mut impl Write) -> io::Result<()> {
        out.write_all(&number.to_le_bytes())?;
        out.write_all(&((self.records.len() / RECORD_BYTES) as u32).to_le_bytes())?;
        out.write_all(&((self.records.len() + self.tail.len()) as u32).to_le_bytes())?;
        out.write_all(&self.records)?;
        out.write_all(&self.tail)
    }
}
