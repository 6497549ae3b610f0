use crate::{Framing, ParseError, Read, MAX_ATTEMPT_ID, MAX_HEADERS};
use httparse::{Header, Status, EMPTY_HEADER};

/// Limit of digits of an integer in a header.
const MAX_DIGITS: usize = 15;

/// The head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query as sent; of an absolute target, the part after its host.
    pub target: String,
    /// The host as sent, with its port if there was one; empty only for HTTP/1.0 without `Host`.
    pub host: String,
    /// At most [`MAX_ATTEMPT_ID`] visible characters.
    pub attempt_id: Option<String>,
    /// How long the client waits, in milliseconds; larger values are stored as `u32::MAX`.
    pub deadline_ms: Option<u32>,
    /// The client sends no further request on this connection.
    pub close: bool,
    /// The client waits for `100 Continue` before it sends the body (never for an empty one).
    pub expect_continue: bool,
    /// Never [`Framing::UntilClose`].
    pub framing: Framing,
    /// The headers to forward, in order and with their names as sent, without hop-by-hop headers and
    /// without those that [`crate::write_request`] writes itself.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// The head of a worker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// 200 to 599.
    pub status: u16,
    pub reason: String,
    /// `Server-Seal`, unless empty.
    pub seal: Option<String>,
    /// `Attempt-Id`, unless empty.
    pub attempt_id: Option<String>,
    /// `Instance-Id`, unless empty.
    pub instance_id: Option<String>,
    /// The worker states that it did not execute the request.
    pub not_executed: bool,
    /// `Retry-After` in milliseconds, if it is a number of seconds (fractions included).
    pub retry_after_ms: Option<u64>,
    /// The worker accepts no further request on this connection.
    pub close: bool,
    /// The `timeout` of `Keep-Alive`, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// There is a `Content-Encoding` other than `identity`: the body is not as the worker made it.
    pub encoded: bool,
    pub framing: Framing,
    /// `Content-Length` as sent; in an answer to HEAD it states the length that the body would have.
    pub length: Option<u64>,
    /// The headers to forward to the client, in order and with their names as sent, without hop-by-hop
    /// headers and `Content-Length`.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// Parses the head of a request of at most `max_bytes` bytes (empty lines before it included).
///
/// `used` ends with the empty line; the body follows. Errors: see [`ParseError`]; an ambiguous request is
/// refused (RFC 9112, 3.2, 5.1, 6.1 and 6.3).
pub fn request_head(buf: &[u8], max_bytes: usize) -> Read<RequestHead> {
    let window = &buf[..buf.len().min(max_bytes)];
    let mut start = 0;
    while window[start..].starts_with(b"\r\n") {
        start += 2;
    }
    if window[start..] == *b"\r" {
        return partial_or_too_large(buf, max_bytes);
    }
    let end = match head_end(&window[start..]) {
        Ok(end) => end,
        Err(error) => return Read::Invalid(error),
    };
    let head = &window[start..end.map_or(window.len(), |n| start + n)];
    let mut buffer = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut buffer);
    match parsed.parse(head) {
        Err(error) => Read::Invalid(parse_error(error, head)),
        Ok(Status::Partial) if end.is_none() => partial_or_too_large(buf, max_bytes),
        Ok(Status::Complete(n)) if end == Some(n) => match parse_request(&parsed) {
            Ok(value) => Read::Done { value, used: start + n },
            Err(error) => Read::Invalid(error),
        },
        Ok(_) => Read::Invalid(ParseError::Syntax),
    }
}

/// Parses the head of an answer, whose request was a HEAD if `to_head`.
///
/// Interim answers (1xx) before it are skipped and count in `used` and in `max_bytes`. Errors: see
/// [`ParseError`]; also for 101, as no upgrade is ever requested, and if the length of the body is
/// ambiguous (RFC 9112, 6.3).
pub fn answer_head(buf: &[u8], max_bytes: usize, to_head: bool) -> Read<AnswerHead> {
    let window = &buf[..buf.len().min(max_bytes)];
    let mut start = 0;
    loop {
        // httparse would skip empty lines, but an answer must not begin with one.
        if matches!(window.get(start), Some(b'\r' | b'\n')) {
            return Read::Invalid(ParseError::Syntax);
        }
        let end = match head_end(&window[start..]) {
            Ok(end) => end,
            Err(error) => return Read::Invalid(error),
        };
        let head = &window[start..end.map_or(window.len(), |n| start + n)];
        let mut buffer = [EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut buffer);
        match parsed.parse(head) {
            Err(error) => return Read::Invalid(parse_error(error, head)),
            Ok(Status::Partial) if end.is_none() => return partial_or_too_large(buf, max_bytes),
            Ok(Status::Complete(n)) if end == Some(n) => start += n,
            Ok(_) => return Read::Invalid(ParseError::Syntax),
        }
        match parse_answer(&parsed, to_head) {
            Ok(Some(value)) => return Read::Done { value, used: start },
            Ok(None) => {}
            Err(error) => return Read::Invalid(error),
        }
    }
}

fn partial_or_too_large<T>(buf: &[u8], max_bytes: usize) -> Read<T> {
    if buf.len() >= max_bytes {
        return Read::Invalid(ParseError::TooLarge);
    }
    Read::Partial
}

/// The end of the first empty line, if there is one. A CR or LF outside of a CRLF is an error.
fn head_end(buf: &[u8]) -> Result<Option<usize>, ParseError> {
    let mut line = 0;
    for (i, &byte) in buf.iter().enumerate() {
        if byte > b'\r' {
            continue;
        }
        match byte {
            b'\r' if buf.get(i + 1).is_some_and(|&next| next != b'\n') => return Err(ParseError::Syntax),
            b'\n' if i == 0 || buf[i - 1] != b'\r' => return Err(ParseError::Syntax),
            b'\n' if i - line == 1 => return Ok(Some(i + 1)),
            b'\n' => line = i + 1,
            _ => {}
        }
    }
    Ok(None)
}

fn parse_error(error: httparse::Error, head: &[u8]) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::TooLarge,
        // httparse returns this also for a request line with too many parts.
        httparse::Error::Version => {
            let third = head.split(|&b| b == b' ').nth(2).unwrap_or_default();
            let has_version = head.starts_with(b"HTTP/") || third.starts_with(b"HTTP/");
            [ParseError::Syntax, ParseError::Version][usize::from(has_version)]
        }
        _ => ParseError::Syntax,
    }
}

/// The headers of requests and answers that concern the connection and the framing.
struct ConnectionHeaders<'a> {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    /// The headers that `Connection` names.
    named_headers: Vec<&'a [u8]>,
}

impl<'a> ConnectionHeaders<'a> {
    fn parse(headers: &[Header<'a>], minor: u8) -> Result<ConnectionHeaders<'a>, ParseError> {
        let mut connection =
            ConnectionHeaders { length: None, chunked: false, close: false, named_headers: Vec::new() };
        let mut keep_alive = minor == 1;
        for header in headers {
            match lower_case(header.name, &mut [0; MAX_KNOWN_NAME]) {
                b"connection" => {
                    for option in list_elements(header.value) {
                        if option.eq_ignore_ascii_case(b"close") {
                            connection.close = true;
                        } else if option.eq_ignore_ascii_case(b"keep-alive") {
                            keep_alive = true;
                        } else if connection.named_headers.len() < MAX_HEADERS {
                            connection.named_headers.push(option);
                        } else {
                            return Err(ParseError::TooLarge);
                        }
                    }
                }
                b"content-length" => {
                    let length = parse_integer(header.value).ok_or(ParseError::Framing)?;
                    if connection.length.replace(length).is_some_and(|earlier| earlier != length) {
                        return Err(ParseError::Framing);
                    }
                }
                b"transfer-encoding" => {
                    if connection.chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                        return Err(ParseError::Framing);
                    }
                    connection.chunked = true;
                }
                _ => {}
            }
        }
        if connection.chunked && (connection.length.is_some() || minor == 0) {
            return Err(ParseError::Framing);
        }
        connection.close |= !keep_alive;
        Ok(connection)
    }

    fn framing(&self, default: Framing) -> Framing {
        match self.length {
            _ if self.chunked => Framing::Chunked,
            Some(length) => Framing::Length(length),
            None => default,
        }
    }

    /// Whether a header is hop-by-hop (RFC 9110, 7.6.1) or concerns the framing. `lower_name` is its name by
    /// [`lower_case`].
    fn is_hop_by_hop(&self, name: &str, lower_name: &[u8]) -> bool {
        let name = name.as_bytes();
        matches!(
            lower_name,
            b"connection"
                | b"keep-alive"
                | b"te"
                | b"trailer"
                | b"transfer-encoding"
                | b"upgrade"
                | b"content-length"
        ) || name.get(..6).is_some_and(|start| start.eq_ignore_ascii_case(b"proxy-"))
            || self.named_headers.iter().any(|other| other.eq_ignore_ascii_case(name))
    }
}

fn parse_request(parsed: &httparse::Request) -> Result<RequestHead, ParseError> {
    let (Some(method), Some(target), Some(minor)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(ParseError::Syntax);
    };
    let connection = ConnectionHeaders::parse(parsed.headers, minor)?;
    let (mut host, mut attempt_id, mut deadline_ms) = (None, None, None);
    let mut expect_continue = false;
    let mut headers = Vec::with_capacity(parsed.headers.len());
    for Header { name, value } in parsed.headers.iter() {
        let mut buffer = [0; MAX_KNOWN_NAME];
        let lower_name = lower_case(name, &mut buffer);
        match lower_name {
            b"host" => {
                if host.replace(parse_host(value)?).is_some() {
                    return Err(ParseError::InvalidHost);
                }
            }
            b"attempt-id" => {
                let visible = !value.is_empty() && value.iter().all(u8::is_ascii_graphic);
                if !visible || value.len() > MAX_ATTEMPT_ID {
                    return Err(ParseError::AttemptId);
                }
                set_unique(&mut attempt_id, utf8(value)?, ParseError::AttemptId)?;
            }
            b"deadline-ms" => {
                let ms = parse_integer(value).ok_or(ParseError::Deadline)?;
                set_unique(&mut deadline_ms, u32::try_from(ms).unwrap_or(u32::MAX), ParseError::Deadline)?;
            }
            b"expect" => expect_continue |= value.eq_ignore_ascii_case(b"100-continue"),
            b"target-instance" => {}
            _ if connection.is_hop_by_hop(name, lower_name) => {}
            _ => headers.push((name.to_string(), value.to_vec())),
        }
    }
    if host.is_none() && minor == 1 {
        return Err(ParseError::MissingHost);
    }
    if method == "CONNECT" || !target.bytes().all(|b| b.is_ascii_graphic() && b != b'#') {
        return Err(ParseError::Target);
    }
    let (target_host, target) = match split_absolute(target) {
        Some((authority, rest)) => (Some(parse_host(authority.as_bytes())?), rest),
        None => (None, target),
    };
    let target = match target.as_bytes().first() {
        Some(b'/') => target.to_string(),
        Some(b'?') if target_host.is_some() => format!("/{target}"),
        None if target_host.is_some() => "/".to_string(),
        _ => return Err(ParseError::Target),
    };
    let framing = connection.framing(Framing::Empty);
    Ok(RequestHead {
        method: method.to_string(),
        target,
        host: target_host.or(host).unwrap_or_default().to_string(),
        attempt_id: attempt_id.map(str::to_string),
        deadline_ms,
        close: connection.close,
        expect_continue: expect_continue && minor == 1 && framing != Framing::Empty,
        framing,
        headers,
    })
}

/// The head of an answer; None for an interim one.
fn parse_answer(parsed: &httparse::Response, to_head: bool) -> Result<Option<AnswerHead>, ParseError> {
    let (Some(status), Some(minor)) = (parsed.code, parsed.version) else { return Err(ParseError::Syntax) };
    let connection = ConnectionHeaders::parse(parsed.headers, minor)?;
    let has_body = connection.chunked || connection.length.is_some_and(|n| n > 0);
    match status {
        100..=199 if has_body => return Err(ParseError::Framing),
        100 | 102..=199 => return Ok(None),
        200..=599 => {}
        _ => return Err(ParseError::Syntax),
    }
    let framing = match status {
        204 | 304 => Framing::Empty,
        _ if to_head => Framing::Empty,
        _ => connection.framing(Framing::UntilClose),
    };
    let (mut seal, mut attempt_id, mut instance_id) = (None, None, None);
    let (mut retry_after_ms, mut keep_alive_ms) = (None, None);
    let (mut not_executed, mut encoded) = (false, false);
    let mut headers = Vec::with_capacity(parsed.headers.len());
    for Header { name, value } in parsed.headers.iter() {
        let mut buffer = [0; MAX_KNOWN_NAME];
        let lower_name = lower_case(name, &mut buffer);
        match lower_name {
            b"server-seal" => set_unique(&mut seal, utf8(value)?, ParseError::Ambiguous)?,
            b"attempt-id" => set_unique(&mut attempt_id, utf8(value)?, ParseError::Ambiguous)?,
            b"instance-id" => set_unique(&mut instance_id, utf8(value)?, ParseError::Ambiguous)?,
            b"not-executed" => not_executed |= *value != b"0" && !value.eq_ignore_ascii_case(b"false"),
            b"retry-after" => retry_after_ms = decimal_seconds_ms(value),
            b"keep-alive" => {
                keep_alive_ms = list_elements(value).find_map(keep_alive_timeout_ms).or(keep_alive_ms)
            }
            b"content-encoding" => {
                encoded |= list_elements(value).any(|c| !c.eq_ignore_ascii_case(b"identity"))
            }
            _ => {}
        }
        if !connection.is_hop_by_hop(name, lower_name) {
            headers.push((name.to_string(), value.to_vec()));
        }
    }
    let non_empty = |text: Option<&str>| text.filter(|text| !text.is_empty()).map(str::to_string);
    Ok(Some(AnswerHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_string(),
        seal: non_empty(seal),
        attempt_id: non_empty(attempt_id),
        instance_id: non_empty(instance_id),
        not_executed,
        retry_after_ms,
        // A 204 must not announce a body: the peer's framing cannot be trusted after it (RFC 9112, 6.3).
        close: connection.close || framing == Framing::UntilClose || status == 204 && has_body,
        keep_alive_ms,
        encoded,
        framing,
        length: connection.length,
        headers,
    }))
}

/// Length of the longest header name that is matched here.
const MAX_KNOWN_NAME: usize = 20;

/// The name in lower case; empty if it is longer than every name that is matched here.
fn lower_case<'r>(name: &str, buffer: &'r mut [u8; MAX_KNOWN_NAME]) -> &'r [u8] {
    let Some(lower_name) = buffer.get_mut(..name.len()) else { return &[] };
    lower_name.copy_from_slice(name.as_bytes());
    lower_name.make_ascii_lowercase();
    lower_name
}

/// The elements of a comma-separated list, without the empty ones (RFC 9110, 5.6.1).
fn list_elements(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|&b| b == b',').map(<[u8]>::trim_ascii).filter(|element| !element.is_empty())
}

fn utf8(value: &[u8]) -> Result<&str, ParseError> {
    std::str::from_utf8(value).map_err(|_| ParseError::Ambiguous)
}

/// An integer of up to 15 digits, without a sign.
fn parse_integer(value: &[u8]) -> Option<u64> {
    if value.is_empty() || value.len() > MAX_DIGITS || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(value.iter().fold(0, |n, b| n * 10 + u64::from(b - b'0')))
}

/// Parses seconds with an optional fraction; the result is in milliseconds.
fn decimal_seconds_ms(value: &[u8]) -> Option<u64> {
    if value.len() > MAX_DIGITS || !value.iter().all(|b| b.is_ascii_digit() || *b == b'.') {
        return None;
    }
    let seconds: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    Some((seconds * 1000.0).round() as u64)
}

/// The value of the parameter `timeout=` of a `Keep-Alive`, in milliseconds.
fn keep_alive_timeout_ms(parameter: &[u8]) -> Option<u64> {
    let (name, value) = parameter.split_at_checked(8)?;
    if !name.eq_ignore_ascii_case(b"timeout=") {
        return None;
    }
    parse_integer(value).map(|seconds| seconds * 1000)
}

/// Sets a value that may occur only once, or repeatedly with the same value.
fn set_unique<T: PartialEq>(slot: &mut Option<T>, value: T, error: ParseError) -> Result<(), ParseError> {
    match slot {
        Some(earlier) if *earlier != value => Err(error),
        _ => {
            *slot = Some(value);
            Ok(())
        }
    }
}

/// Splits an absolute target into the authority and the rest.
fn split_absolute(target: &str) -> Option<(&str, &str)> {
    let (scheme, rest) = target.split_once("://")?;
    if !scheme.eq_ignore_ascii_case("http") && !scheme.eq_ignore_ascii_case("https") {
        return None;
    }
    Some(rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len())))
}

/// A name or address with an optional port (RFC 3986, 3.2.2), without user information or commas.
fn parse_host(value: &[u8]) -> Result<&str, ParseError> {
    let end = match value.first() {
        Some(b'[') => value.iter().position(|&b| b == b']').map_or(0, |at| at + 1),
        _ => value.iter().position(|&b| b == b':').unwrap_or(value.len()),
    };
    let (name, port) = value.split_at(end);
    let valid = match name {
        [] => false,
        [b'[', inner @ .., b']'] => {
            !inner.is_empty() && inner.iter().all(|b| b.is_ascii_hexdigit() || b":.".contains(b))
        }
        _ => name.iter().all(|b| b.is_ascii_alphanumeric() || b"-._~%!$&'()*+;=".contains(b)),
    };
    let port_valid = match port {
        [] => true,
        [b':', digits @ ..] => digits.len() <= 5 && digits.iter().all(u8::is_ascii_digit),
        _ => false,
    };
    if !valid || !port_valid {
        return Err(ParseError::InvalidHost);
    }
    std::str::from_utf8(value).map_err(|_| ParseError::InvalidHost)
}
