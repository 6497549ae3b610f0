//! HTTP/1.1 messages for the stand-ins: whole messages, heads up to [`HEAD`], bodies up to [`BODY`] with a length, in
//! chunks or (answers) until the end of the stream. Apart from the parser of heads it shares nothing with the system.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// The longest head and body that are read.
pub const HEAD: usize = 64 << 10;
pub const BODY: usize = 16 << 20;

/// Why there is no whole message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The stream ended before the first byte.
    Closed,
    /// It was reset before the first byte: what was written to it has not been read to its end.
    Reset,
    /// It ended or was reset after some bytes.
    Truncated,
    /// Bytes that are no message in the protocol.
    Malformed,
}

#[derive(Debug, Clone, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first of this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        self.get(name)?.trim().parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }

    /// The time in `Keep-Alive`.
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

enum Start {
    Request(String, String),
    Response(u16),
}

async fn more(stream: &mut TcpStream, buf: &mut Vec<u8>, begun: bool) -> Result<(), ReadError> {
    match stream.read_buf(buf).await {
        Ok(1..) => Ok(()),
        _ if begun || !buf.is_empty() => Err(ReadError::Truncated),
        Ok(_) => Err(ReadError::Closed),
        Err(_) => Err(ReadError::Reset),
    }
}

fn headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Headers(parsed.iter().map(|h| (h.name.to_string(), text(h.value))).collect())
}

fn head(buf: &[u8], answer: bool) -> Result<Option<(Start, Headers, usize)>, ReadError> {
    let mut room = [httparse::EMPTY_HEADER; 128];
    if answer {
        let mut parsed = httparse::Response::new(&mut room);
        return match parsed.parse(buf) {
            Ok(httparse::Status::Complete(used)) => {
                Ok(Some((Start::Response(parsed.code.unwrap_or(0)), headers(parsed.headers), used)))
            }
            Ok(httparse::Status::Partial) if buf.len() < HEAD => Ok(None),
            _ => Err(ReadError::Malformed),
        };
    }
    let mut parsed = httparse::Request::new(&mut room);
    match parsed.parse(buf) {
        Ok(httparse::Status::Complete(used)) => {
            let start = Start::Request(
                parsed.method.unwrap_or_default().to_string(),
                parsed.path.unwrap_or_default().to_string(),
            );
            Ok(Some((start, headers(parsed.headers), used)))
        }
        Ok(httparse::Status::Partial) if buf.len() < HEAD => Ok(None),
        _ => Err(ReadError::Malformed),
    }
}

async fn exactly(stream: &mut TcpStream, buf: &mut Vec<u8>, n: usize) -> Result<Vec<u8>, ReadError> {
    if n > BODY {
        return Err(ReadError::Malformed);
    }
    while buf.len() < n {
        more(stream, buf, true).await?;
    }
    Ok(buf.drain(..n).collect())
}

async fn line(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Result<String, ReadError> {
    loop {
        if let Some(at) = buf.windows(2).position(|two| two == b"\r\n") {
            let line: Vec<u8> = buf.drain(..at + 2).take(at).collect();
            return String::from_utf8(line).map_err(|_| ReadError::Malformed);
        }
        if buf.len() > HEAD {
            return Err(ReadError::Malformed);
        }
        more(stream, buf, true).await?;
    }
}

async fn chunks(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Result<Vec<u8>, ReadError> {
    let mut body = Vec::new();
    loop {
        let size = line(stream, buf).await?;
        let digits = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(digits, 16).map_err(|_| ReadError::Malformed)?;
        if size == 0 {
            while !line(stream, buf).await?.is_empty() {}
            return Ok(body);
        }
        if body.len() + size.min(BODY) > BODY {
            return Err(ReadError::Malformed);
        }
        body.extend(exactly(stream, buf, size).await?);
        if !line(stream, buf).await?.is_empty() {
            return Err(ReadError::Malformed);
        }
    }
}

async fn body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    headers: &Headers,
    to_the_end: bool,
) -> Result<Vec<u8>, ReadError> {
    let length = headers.get("content-length").map(|text| text.trim().parse::<usize>());
    match (headers.get("transfer-encoding"), length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => chunks(stream, buf).await,
        (None, Some(Ok(length))) => exactly(stream, buf, length).await,
        (None, None) if to_the_end => {
            while buf.len() <= BODY && matches!(stream.read_buf(buf).await, Ok(1..)) {}
            Ok(std::mem::take(buf))
        }
        (None, None) => Ok(Vec::new()),
        _ => Err(ReadError::Malformed),
    }
}

/// The next request; what came after it stays in `buf`.
pub async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Result<Request, ReadError> {
    loop {
        if let Some((Start::Request(method, target), headers, used)) = head(buf, false)? {
            buf.drain(..used);
            let body = body(stream, buf, &headers, false).await?;
            return Ok(Request { method, target, headers, body });
        }
        more(stream, buf, false).await?;
    }
}

/// The next answer, to a request of this method; what came after it stays in `buf`.
pub async fn read_response(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    to: &str,
) -> Result<Response, ReadError> {
    loop {
        if let Some((Start::Response(status), headers, used)) = head(buf, true)? {
            buf.drain(..used);
            match status {
                101 => return Err(ReadError::Malformed),
                100..=199 => continue,
                _ => {}
            }
            let none = to == "HEAD" || matches!(status, 204 | 304);
            let body = if none { Vec::new() } else { body(stream, buf, &headers, true).await? };
            return Ok(Response { status, headers, body });
        }
        more(stream, buf, false).await?;
    }
}

/// The bytes of an answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
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

/// The bytes of a request; with a length unless it is a GET without a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let bodied = !body.is_empty() || !matches!(method, "GET" | "HEAD");
    message(format!("{method} {target} HTTP/1.1\r\n"), headers, body, bodied)
}

/// The same, with the body in chunks of at most `size` bytes.
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

/// One call on a connection of its own. None without a whole answer in time.
pub async fn call(at: SocketAddr, within: Duration, bytes: &[u8], method: &str) -> Option<Response> {
    let whole = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let _ = stream.set_nodelay(true);
        stream.write_all(bytes).await.ok()?;
        read_response(&mut stream, &mut Vec::new(), method).await.ok()
    };
    timeout_at(Instant::now() + within, whole).await.ok().flatten()
}

/// FNV-1a, 64 bits: for stamps and hashes of clients, where nobody means harm.
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

    async fn over(bytes: Vec<u8>) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let mut sender =
            TcpStream::connect(listener.local_addr().expect("an address")).await.expect("it is taken");
        sender.write_all(&bytes).await.expect("it goes out");
        listener.accept().await.expect("a connection").0
    }

    #[rstest]
    #[case::length(request("POST", "/a", &[("Host", "h")], b"hello world"))]
    #[case::chunks(request_in_chunks("POST", "/a", &[("Host", "h")], b"hello world", 4))]
    #[tokio::test]
    async fn requests_come_back_as_they_went(#[case] bytes: Vec<u8>) {
        let (mut twice, mut buf) = (bytes.clone(), Vec::new());
        twice.extend(bytes);
        let mut stream = over(twice).await;
        for _ in 0..2 {
            let got = read_request(&mut stream, &mut buf).await.expect("a request");
            assert_eq!((got.target.as_str(), got.headers.get("HOST")), ("/a", Some("h")));
            assert_eq!(got.body, b"hello world");
        }
        assert!(matches!(read_request(&mut stream, &mut buf).await, Err(ReadError::Closed)));
    }

    #[rstest]
    #[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", Ok("hi"))]
    #[case::until_the_end("HTTP/1.1 200 OK\r\n\r\nhi", Ok("hi"))]
    #[case::after_another("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n", Ok(""))]
    #[case::short("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", Err(ReadError::Truncated))]
    #[case::bad_chunk(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        Err(ReadError::Malformed)
    )]
    #[case::other("\x16\x03 hello\r\n\r\n", Err(ReadError::Malformed))]
    #[tokio::test]
    async fn answers_are_whole_or_say_why_not(
        #[case] bytes: &'static str,
        #[case] wanted: Result<&'static str, ReadError>,
    ) {
        let mut stream = over(bytes.into()).await;
        let got = read_response(&mut stream, &mut Vec::new(), "GET").await;
        assert_eq!(got.map(|answer| answer.body), wanted.map(|body| body.as_bytes().to_vec()));
    }
}
