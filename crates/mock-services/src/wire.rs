//! HTTP/1.1 for the mock services: reads and writes complete messages with heads up to [`MAX_HEAD_BYTES`] and
//! bodies up to [`MAX_BODY_BYTES`]. Bodies have a length, are chunked or (responses) extend to the end of the
//! stream. Apart from the `httparse` crate it shares nothing with the system's own implementation.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

pub const MAX_HEAD_BYTES: usize = 64 << 10;
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// Why no complete message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The stream ended before the first byte.
    Closed,
    /// The stream was reset before the first byte: the peer has not read all that was sent to it.
    Reset,
    /// The stream ended or was reset after part of the message.
    Truncated,
    /// Bytes that are not an HTTP/1.1 message, or a message over the size limits.
    Malformed,
}

#[derive(Debug, Clone, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The value of the first header of this name; case is ignored.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The value as a finite number that is not negative.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }

    /// The `timeout` parameter of `Keep-Alive`.
    pub fn keep_alive(&self) -> Option<Duration> {
        let value = self.get("keep-alive")?;
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?))
    }

    pub fn retry_after(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.number("retry-after")?).ok()
    }
}

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

enum StartLine {
    /// Method and target.
    Request(String, String),
    /// Status.
    Response(u16),
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>, begun: bool) -> Result<(), ReadError> {
    match stream.read_buf(buf).await {
        Ok(1..) => Ok(()),
        _ if begun || !buf.is_empty() => Err(ReadError::Truncated),
        Ok(_) => Err(ReadError::Closed),
        Err(_) => Err(ReadError::Reset),
    }
}

fn to_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Headers(parsed.iter().map(|h| (h.name.to_string(), text(h.value))).collect())
}

/// Parses a head at the start of `buf`: its start line, its headers and its length; None if it is incomplete.
fn parse_head(buf: &[u8], is_response: bool) -> Result<Option<(StartLine, Headers, usize)>, ReadError> {
    let mut storage = [httparse::EMPTY_HEADER; 128];
    if is_response {
        let mut parsed = httparse::Response::new(&mut storage);
        return match parsed.parse(buf) {
            Ok(httparse::Status::Complete(used)) => {
                Ok(Some((StartLine::Response(parsed.code.unwrap_or(0)), to_headers(parsed.headers), used)))
            }
            Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => Ok(None),
            _ => Err(ReadError::Malformed),
        };
    }
    let mut parsed = httparse::Request::new(&mut storage);
    match parsed.parse(buf) {
        Ok(httparse::Status::Complete(used)) => {
            let start = StartLine::Request(
                parsed.method.unwrap_or_default().to_string(),
                parsed.path.unwrap_or_default().to_string(),
            );
            Ok(Some((start, to_headers(parsed.headers), used)))
        }
        Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => Ok(None),
        _ => Err(ReadError::Malformed),
    }
}

async fn read_exact(stream: &mut TcpStream, buf: &mut Vec<u8>, n: usize) -> Result<Vec<u8>, ReadError> {
    if n > MAX_BODY_BYTES {
        return Err(ReadError::Malformed);
    }
    while buf.len() < n {
        read_more(stream, buf, true).await?;
    }
    Ok(buf.drain(..n).collect())
}

async fn read_line(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Result<String, ReadError> {
    loop {
        if let Some(at) = buf.windows(2).position(|two| two == b"\r\n") {
            let line: Vec<u8> = buf.drain(..at + 2).take(at).collect();
            return String::from_utf8(line).map_err(|_| ReadError::Malformed);
        }
        if buf.len() > MAX_HEAD_BYTES {
            return Err(ReadError::Malformed);
        }
        read_more(stream, buf, true).await?;
    }
}

async fn read_chunks(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Result<Vec<u8>, ReadError> {
    let mut body = Vec::new();
    loop {
        let size = read_line(stream, buf).await?;
        let digits = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(digits, 16).map_err(|_| ReadError::Malformed)?;
        if size == 0 {
            while !read_line(stream, buf).await?.is_empty() {}
            return Ok(body);
        }
        if body.len() + size.min(MAX_BODY_BYTES) > MAX_BODY_BYTES {
            return Err(ReadError::Malformed);
        }
        body.extend(read_exact(stream, buf, size).await?);
        if !read_line(stream, buf).await?.is_empty() {
            return Err(ReadError::Malformed);
        }
    }
}

async fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    headers: &Headers,
    until_eof: bool,
) -> Result<Vec<u8>, ReadError> {
    let length = headers.get("content-length").map(|text| text.trim().parse::<usize>());
    match (headers.get("transfer-encoding"), length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => read_chunks(stream, buf).await,
        (None, Some(Ok(length))) => read_exact(stream, buf, length).await,
        (None, None) if until_eof => {
            while buf.len() <= MAX_BODY_BYTES && matches!(stream.read_buf(buf).await, Ok(1..)) {}
            Ok(std::mem::take(buf))
        }
        (None, None) => Ok(Vec::new()),
        _ => Err(ReadError::Malformed),
    }
}

/// Reads the next request; bytes after it stay in `buf`.
pub async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Result<Request, ReadError> {
    loop {
        if let Some((StartLine::Request(method, target), headers, used)) = parse_head(buf, false)? {
            buf.drain(..used);
            let body = read_body(stream, buf, &headers, false).await?;
            return Ok(Request { method, target, headers, body });
        }
        read_more(stream, buf, false).await?;
    }
}

/// Reads the next response, to a request of the method `to`; bytes after it stay in `buf`.
pub async fn read_response(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    to: &str,
) -> Result<Response, ReadError> {
    loop {
        if let Some((StartLine::Response(status), headers, used)) = parse_head(buf, true)? {
            buf.drain(..used);
            match status {
                101 => return Err(ReadError::Malformed),
                100..=199 => continue,
                _ => {}
            }
            let no_body = to == "HEAD" || matches!(status, 204 | 304);
            let body = if no_body { Vec::new() } else { read_body(stream, buf, &headers, true).await? };
            return Ok(Response { status, headers, body });
        }
        read_more(stream, buf, false).await?;
    }
}

/// Serializes a response with a `Content-Length`.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    };
    message(format!("HTTP/1.1 {status} {reason}\r\n"), headers, body, true)
}

/// Serializes a request, with a `Content-Length` unless it is a GET or HEAD without a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let bodied = !body.is_empty() || !matches!(method, "GET" | "HEAD");
    message(format!("{method} {target} HTTP/1.1\r\n"), headers, body, bodied)
}

/// Serializes a request with its body in chunks of at most `size` bytes.
pub fn request_in_chunks(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    size: usize,
) -> Vec<u8> {
    let mut all = headers.to_vec();
    all.push(("Transfer-Encoding", "chunked"));
    let mut bytes = message(format!("{method} {target} HTTP/1.1\r\n"), &all, b"", false);
    for chunk in body.chunks(size.max(1)) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn message(mut head: String, headers: &[(&str, &str)], body: &[u8], bodied: bool) -> Vec<u8> {
    // Writing to a String cannot fail.
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if bodied {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection. None without a complete response in time.
pub async fn call(at: SocketAddr, within: Duration, bytes: &[u8], method: &str) -> Option<Response> {
    let exchange = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let _ = stream.set_nodelay(true);
        stream.write_all(bytes).await.ok()?;
        read_response(&mut stream, &mut Vec::new(), method).await.ok()
    };
    timeout_at(Instant::now() + within, exchange).await.ok().flatten()
}

/// FNV-1a, 64 bits. Not for input that an adversary controls.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            h = (h ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    h
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use tokio::net::TcpListener;

    async fn stream_of(bytes: Vec<u8>) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let mut sender =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("it is accepted");
        sender.write_all(&bytes).await.expect("it is sent");
        listener.accept().await.expect("a connection").0
    }

    #[rstest]
    #[case::length(request("POST", "/a", &[("Host", "h")], b"hello world"))]
    #[case::chunks(request_in_chunks("POST", "/a", &[("Host", "h")], b"hello world", 4))]
    #[tokio::test]
    async fn a_written_request_is_read_back_unchanged(#[case] bytes: Vec<u8>) {
        let (mut twice, mut buf) = (bytes.clone(), Vec::new());
        twice.extend(bytes);
        let mut stream = stream_of(twice).await;
        for _ in 0..2 {
            let got = read_request(&mut stream, &mut buf).await.expect("a request");
            assert_eq!((got.target.as_str(), got.headers.get("HOST")), ("/a", Some("h")));
            assert_eq!(got.body, b"hello world");
        }
        assert!(matches!(read_request(&mut stream, &mut buf).await, Err(ReadError::Closed)));
    }

    #[rstest]
    #[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", Ok("hi"))]
    #[case::until_eof("HTTP/1.1 200 OK\r\n\r\nhi", Ok("hi"))]
    #[case::after_an_interim_response("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n", Ok(""))]
    #[case::truncated_body("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", Err(ReadError::Truncated))]
    #[case::bad_chunk(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        Err(ReadError::Malformed)
    )]
    #[case::not_http("\x16\x03 hello\r\n\r\n", Err(ReadError::Malformed))]
    #[tokio::test]
    async fn an_incomplete_or_malformed_response_is_an_error(
        #[case] bytes: &'static str,
        #[case] wanted: Result<&'static str, ReadError>,
    ) {
        let mut stream = stream_of(bytes.into()).await;
        let got = read_response(&mut stream, &mut Vec::new(), "GET").await;
        assert_eq!(got.map(|response| response.body), wanted.map(|body| body.as_bytes().to_vec()));
    }
}
