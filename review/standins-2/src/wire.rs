//! HTTP/1.1 messages as the stand-ins write and read them: heads, and bodies with a length or in chunks.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response: the words of its first line, its headers with names in lower case, its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: Vec<String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the input.
pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first: line.trim_end().split(' ').map(String::from).collect(), ..Message::default() };
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            line.clear();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        message.body = vec![0; message.header("content-length").parse().unwrap_or(0)];
        from.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// The bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bytes of a request; with a length if there is a body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAnswer {
    Refused,
    Closed,
    TimedOut,
}

/// One call on a connection of its own.
pub fn call(to: SocketAddr, bytes: &[u8], within: Duration) -> Result<Message, NoAnswer> {
    let end = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|_| NoAnswer::Refused)?;
    let _ = stream.set_nodelay(true);
    stream.write_all(bytes).map_err(|_| NoAnswer::Closed)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    match read(&mut BufReader::new(stream)) {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err(NoAnswer::Closed),
        Err(why) if matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Err(NoAnswer::TimedOut),
        Err(_) => Err(NoAnswer::Closed),
    }
}
