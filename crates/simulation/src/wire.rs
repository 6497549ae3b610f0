//! HTTP/1.1 for the simulated clients and workers. It is strict and independent of the system's own parser,
//! so that an error there is detected here.

use crate::messages::hash;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// A complete message and its length in bytes.
    Whole(Message, usize),
    /// Incomplete so far.
    Part,
    /// Not a valid message, whatever follows.
    Bad,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        let version = words.next();
        let status = words.next().filter(|status| status.len() == 3).and_then(|status| status.parse().ok());
        status.filter(|_| version == Some("HTTP/1.1")).unwrap_or(0)
    }
}

/// Parses the message at the start of the bytes. Exactly one Content-Length in digits is required, except
/// for requests without a body.
pub fn read(bytes: &[u8]) -> Read {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        let begun = bytes.iter().take(4).all(u8::is_ascii_uppercase);
        return if begun { Read::Part } else { Read::Bad };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return Read::Bad };
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let mut headers = Vec::new();
    for line in lines {
        match line.split_once(':') {
            Some((name, value)) if !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic()) => {
                headers.push((name.to_string(), value.trim().to_string()))
            }
            _ => return Read::Bad,
        }
    }
    let stated: Vec<&str> = (headers.iter())
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map(|(_, value)| value.as_str())
        .collect();
    let digits = |value: &str| !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let answer = first.starts_with("HTTP/");
    let length: usize = match stated.as_slice() {
        [] if !answer => 0,
        [one] if digits(one) => one.parse().unwrap_or(usize::MAX),
        _ => return Read::Bad,
    };
    let chunked = headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
    if chunked || first.split(' ').count() < 3 || head.contains('\0') {
        return Read::Bad;
    }
    match bytes.len() - end - 4 >= length {
        true => {
            let body = bytes[end + 4..end + 4 + length].to_vec();
            Read::Whole(Message { first, headers, body }, end + 4 + length)
        }
        false => Read::Part,
    }
}

pub fn write(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{first}\r\n");
    for (name, value) in headers {
        // Writing to a string cannot fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Seal with which a worker confirms its answer.
pub fn seal(id: &str, body: &[u8]) -> String {
    format!("{:016x}", hash(&format!("{id} {}", String::from_utf8_lossy(body))))
}

/// Attempt id on the wire.
pub fn id(attempt: usize) -> String {
    format!("try-{attempt}")
}

pub fn attempt(id: &str) -> Option<usize> {
    id.strip_prefix("try-")?.parse().ok()
}
