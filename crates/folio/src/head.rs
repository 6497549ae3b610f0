use crate::{Framing, ParseError, Read, MAX_ATTEMPT_ID, MAX_HEADERS};
use httparse::{Header, Status, EMPTY_HEADER};

/// The most digits of a whole number in a header.
const MAX_DIGITS: usize = 15;

/// The head of a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query as sent; of an absolute target, what follows its host.
    pub target: String,
    /// The host as sent, with its port if there was one; empty only for HTTP/1.0 without `Host`.
    pub host: String,
    /// At most [`MAX_ATTEMPT_ID`] visible characters.
    pub attempt_id: Option<String>,
    /// How long the client will wait, in milliseconds; larger values are taken as `u32::MAX`.
    pub deadline_ms: Option<u32>,
    /// The client wants no further request on this connection.
    pub close: bool,
    /// The client waits for `100 Continue` before it sends the body (never for an empty one).
    pub expect_continue: bool,
    /// Never [`Framing::UntilClose`].
    pub framing: Framing,
    /// The headers to pass along, in order and with their names as sent: none that concern only this
    /// connection, and none that [`crate::write_request`] writes anew.
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
    /// The worker states that it did not run the request.
    pub not_executed: bool,
    /// `Retry-After` in milliseconds, if it is a number of seconds (fractions included).
    pub retry_after_ms: Option<u64>,
    /// The worker takes no further request on this connection.
    pub close: bool,
    /// The `timeout` of `Keep-Alive`, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// There is a `Content-Encoding` other than `identity`: the body is not the worker's.
    pub encoded: bool,
    pub framing: Framing,
    /// `Content-Length` as sent, which says in an answer to HEAD how long the body would be.
    pub length: Option<u64>,
    /// The headers to pass to the client, in order and with their names as sent: none that concern only
    /// this connection, and no `Content-Length`.
    pub headers: Vec<(String, Vec<u8>)>,
}

/// Reads the head of a request of at most `max_bytes` bytes (empty lines before it included).
///
/// `used` ends at the empty line; the body follows. Errors: see [`ParseError`]; a request that could be read
/// in two ways is refused (RFC 9112, 3.2, 5.1, 6.1 and 6.3).
pub fn request_head(buf: &[u8], max_bytes: usize) -> Read<RequestHead> {
    let window = &buf[..buf.len().min(max_bytes)];
    let mut start = 0;
    while window[start..].starts_with(b"\r\n") {
        start += 2;
    }
    if window[start..] == *b"\r" {
        return partial(buf, max_bytes);
    }
    let end = match head_end(&window[start..]) {
        Ok(end) => end,
        Err(fault) => return Read::Invalid(fault),
    };
    let head = &window[start..end.map_or(window.len(), |n| start + n)];
    let mut room = [EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut room);
    match parsed.parse(head) {
        Err(error) => Read::Invalid(fault_of(error, head)),
        Ok(Status::Partial) if end.is_none() => partial(buf, max_bytes),
        Ok(Status::Complete(n)) if end == Some(n) => match request(&parsed) {
            Ok(value) => Read::Done { value, used: start + n },
            Err(fault) => Read::Invalid(fault),
        },
        Ok(_) => Read::Invalid(ParseError::Syntax),
    }
}

/// Reads the head of an answer, whose request was a HEAD if `to_head`.
///
/// Interim answers (1xx) before it are skipped and count in `used` and in `max_bytes`. Errors: see
/// [`ParseError`]; also 101, as no upgrade is ever asked for, and whatever leaves the length of the body
/// unclear (RFC 9112, 6.3).
pub fn answer_head(buf: &[u8], max_bytes: usize, to_head: bool) -> Read<AnswerHead> {
    let window = &buf[..buf.len().min(max_bytes)];
    let mut start = 0;
    loop {
        // httparse would skip empty lines, which no answer begins with.
        if matches!(window.get(start), Some(b'\r' | b'\n')) {
            return Read::Invalid(ParseError::Syntax);
        }
        let end = match head_end(&window[start..]) {
            Ok(end) => end,
            Err(fault) => return Read::Invalid(fault),
        };
        let head = &window[start..end.map_or(window.len(), |n| start + n)];
        let mut room = [EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut room);
        match parsed.parse(head) {
            Err(error) => return Read::Invalid(fault_of(error, head)),
            Ok(Status::Partial) if end.is_none() => return partial(buf, max_bytes),
            Ok(Status::Complete(n)) if end == Some(n) => start += n,
            Ok(_) => return Read::Invalid(ParseError::Syntax),
        }
        match answer(&parsed, to_head) {
            Ok(Some(value)) => return Read::Done { value, used: start },
            Ok(None) => {}
            Err(fault) => return Read::Invalid(fault),
        }
    }
}

fn partial<T>(buf: &[u8], max_bytes: usize) -> Read<T> {
    if buf.len() >= max_bytes {
        return Read::Invalid(ParseError::TooLarge);
    }
    Read::Partial
}

/// Where the first empty line ends, if it is there. Every CR and LF must be half of a CRLF.
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

fn fault_of(error: httparse::Error, head: &[u8]) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::TooLarge,
        // Also what httparse calls a request line of too many parts.
        httparse::Error::Version => {
            let third = head.split(|&b| b == b' ').nth(2).unwrap_or_default();
            let named = head.starts_with(b"HTTP/") || third.starts_with(b"HTTP/");
            [ParseError::Syntax, ParseError::Version][usize::from(named)]
        }
        _ => ParseError::Syntax,
    }
}

/// What requests and answers have in common.
struct Common<'a> {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    /// The headers that `Connection` names.
    named: Vec<&'a [u8]>,
}

impl<'a> Common<'a> {
    fn read(headers: &[Header<'a>], minor: u8) -> Result<Common<'a>, ParseError> {
        let mut common = Common { length: None, chunked: false, close: false, named: Vec::new() };
        let mut keep = minor == 1;
        for header in headers {
            match lower(header.name, &mut [0; ROOM]) {
                b"connection" => {
                    for option in list(header.value) {
                        if option.eq_ignore_ascii_case(b"close") {
                            common.close = true;
                        } else if option.eq_ignore_ascii_case(b"keep-alive") {
                            keep = true;
                        } else if common.named.len() < MAX_HEADERS {
                            common.named.push(option);
                        } else {
                            return Err(ParseError::TooLarge);
                        }
                    }
                }
                b"content-length" => {
                    let length = number(header.value).ok_or(ParseError::Framing)?;
                    if common.length.replace(length).is_some_and(|before| before != length) {
                        return Err(ParseError::Framing);
                    }
                }
                b"transfer-encoding" => {
                    if common.chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                        return Err(ParseError::Framing);
                    }
                    common.chunked = true;
                }
                _ => {}
            }
        }
        if common.chunked && (common.length.is_some() || minor == 0) {
            return Err(ParseError::Framing);
        }
        common.close |= !keep;
        Ok(common)
    }

    fn framing(&self, otherwise: Framing) -> Framing {
        match self.length {
            _ if self.chunked => Framing::Chunked,
            Some(length) => Framing::Length(length),
            None => otherwise,
        }
    }

    /// Whether a header concerns only one connection (RFC 9110, 7.6.1) or the framing. `lowered` is its
    /// name by [`lower`].
    fn is_hop(&self, name: &str, lowered: &[u8]) -> bool {
        let name = name.as_bytes();
        matches!(
            lowered,
            b"connection"
                | b"keep-alive"
                | b"te"
                | b"trailer"
                | b"transfer-encoding"
                | b"upgrade"
                | b"content-length"
        ) || name.get(..6).is_some_and(|start| start.eq_ignore_ascii_case(b"proxy-"))
            || self.named.iter().any(|named| named.eq_ignore_ascii_case(name))
    }
}

fn request(parsed: &httparse::Request) -> Result<RequestHead, ParseError> {
    let (Some(method), Some(target), Some(minor)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(ParseError::Syntax);
    };
    let common = Common::read(parsed.headers, minor)?;
    let (mut host, mut attempt_id, mut deadline_ms) = (None, None, None);
    let mut expect_continue = false;
    let mut headers = Vec::with_capacity(parsed.headers.len());
    for Header { name, value } in parsed.headers.iter() {
        let mut room = [0; ROOM];
        let lowered = lower(name, &mut room);
        match lowered {
            b"host" => {
                if host.replace(host_text(value)?).is_some() {
                    return Err(ParseError::BadHost);
                }
            }
            b"attempt-id" => {
                let visible = !value.is_empty() && value.iter().all(u8::is_ascii_graphic);
                if !visible || value.len() > MAX_ATTEMPT_ID {
                    return Err(ParseError::AttemptId);
                }
                single(&mut attempt_id, text(value)?, ParseError::AttemptId)?;
            }
            b"deadline-ms" => {
                let ms = number(value).ok_or(ParseError::Deadline)?;
                single(&mut deadline_ms, u32::try_from(ms).unwrap_or(u32::MAX), ParseError::Deadline)?;
            }
            b"expect" => expect_continue |= value.eq_ignore_ascii_case(b"100-continue"),
            b"target-instance" => {}
            _ if common.is_hop(name, lowered) => {}
            _ => headers.push((name.to_string(), value.to_vec())),
        }
    }
    if host.is_none() && minor == 1 {
        return Err(ParseError::NoHost);
    }
    if method == "CONNECT" || !target.bytes().all(|b| b.is_ascii_graphic() && b != b'#') {
        return Err(ParseError::Target);
    }
    let (own_host, target) = match absolute(target) {
        Some((authority, rest)) => (Some(host_text(authority.as_bytes())?), rest),
        None => (None, target),
    };
    let target = match target.as_bytes().first() {
        Some(b'/') => target.to_string(),
        Some(b'?') if own_host.is_some() => format!("/{target}"),
        None if own_host.is_some() => "/".to_string(),
        _ => return Err(ParseError::Target),
    };
    let framing = common.framing(Framing::Empty);
    Ok(RequestHead {
        method: method.to_string(),
        target,
        host: own_host.or(host).unwrap_or_default().to_string(),
        attempt_id: attempt_id.map(str::to_string),
        deadline_ms,
        close: common.close,
        expect_continue: expect_continue && minor == 1 && framing != Framing::Empty,
        framing,
        headers,
    })
}

/// None for an interim answer.
fn answer(parsed: &httparse::Response, to_head: bool) -> Result<Option<AnswerHead>, ParseError> {
    let (Some(status), Some(minor)) = (parsed.code, parsed.version) else { return Err(ParseError::Syntax) };
    let common = Common::read(parsed.headers, minor)?;
    let bodied = common.chunked || common.length.is_some_and(|n| n > 0);
    match status {
        100..=199 if bodied => return Err(ParseError::Framing),
        100 | 102..=199 => return Ok(None),
        200..=599 => {}
        _ => return Err(ParseError::Syntax),
    }
    let framing = match status {
        204 | 304 => Framing::Empty,
        _ if to_head => Framing::Empty,
        _ => common.framing(Framing::UntilClose),
    };
    let (mut seal, mut attempt_id, mut instance_id) = (None, None, None);
    let (mut retry_after_ms, mut keep_alive_ms) = (None, None);
    let (mut not_executed, mut encoded) = (false, false);
    let mut headers = Vec::with_capacity(parsed.headers.len());
    for Header { name, value } in parsed.headers.iter() {
        let mut room = [0; ROOM];
        let lowered = lower(name, &mut room);
        match lowered {
            b"server-seal" => single(&mut seal, text(value)?, ParseError::Ambiguous)?,
            b"attempt-id" => single(&mut attempt_id, text(value)?, ParseError::Ambiguous)?,
            b"instance-id" => single(&mut instance_id, text(value)?, ParseError::Ambiguous)?,
            b"not-executed" => not_executed |= *value != b"0" && !value.eq_ignore_ascii_case(b"false"),
            b"retry-after" => retry_after_ms = seconds(value),
            b"keep-alive" => keep_alive_ms = list(value).find_map(timeout).or(keep_alive_ms),
            b"content-encoding" => encoded |= list(value).any(|c| !c.eq_ignore_ascii_case(b"identity")),
            _ => {}
        }
        if !common.is_hop(name, lowered) {
            headers.push((name.to_string(), value.to_vec()));
        }
    }
    let owned = |text: Option<&str>| text.filter(|text| !text.is_empty()).map(str::to_string);
    Ok(Some(AnswerHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_string(),
        seal: owned(seal),
        attempt_id: owned(attempt_id),
        instance_id: owned(instance_id),
        not_executed,
        retry_after_ms,
        // A 204 has no body, so one that announces it has confused its framing (RFC 9112, 6.3).
        close: common.close || framing == Framing::UntilClose || status == 204 && bodied,
        keep_alive_ms,
        encoded,
        framing,
        length: common.length,
        headers,
    }))
}

/// Room for the longest name that means something here.
const ROOM: usize = 20;

/// The name in lower case; empty if it is longer than any that means something here.
fn lower<'r>(name: &str, room: &'r mut [u8; ROOM]) -> &'r [u8] {
    let Some(lowered) = room.get_mut(..name.len()) else { return &[] };
    lowered.copy_from_slice(name.as_bytes());
    lowered.make_ascii_lowercase();
    lowered
}

/// The elements of a comma-separated list, without the empty ones (RFC 9110, 5.6.1).
fn list(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|&b| b == b',').map(<[u8]>::trim_ascii).filter(|element| !element.is_empty())
}

fn text(value: &[u8]) -> Result<&str, ParseError> {
    std::str::from_utf8(value).map_err(|_| ParseError::Ambiguous)
}

/// Digits alone, up to 15 of them.
fn number(value: &[u8]) -> Option<u64> {
    if value.is_empty() || value.len() > MAX_DIGITS || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(value.iter().fold(0, |n, b| n * 10 + u64::from(b - b'0')))
}

/// Seconds with an optional fraction, in milliseconds.
fn seconds(value: &[u8]) -> Option<u64> {
    if value.len() > MAX_DIGITS || !value.iter().all(|b| b.is_ascii_digit() || *b == b'.') {
        return None;
    }
    let seconds: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    Some((seconds * 1000.0).round() as u64)
}

/// The `timeout=` of a `Keep-Alive`, in milliseconds.
fn timeout(parameter: &[u8]) -> Option<u64> {
    let (name, value) = parameter.split_at_checked(8)?;
    if !name.eq_ignore_ascii_case(b"timeout=") {
        return None;
    }
    number(value).map(|seconds| seconds * 1000)
}

fn single<T: PartialEq>(slot: &mut Option<T>, value: T, fault: ParseError) -> Result<(), ParseError> {
    match slot {
        Some(before) if *before != value => Err(fault),
        _ => {
            *slot = Some(value);
            Ok(())
        }
    }
}

/// Authority and the rest of an absolute target.
fn absolute(target: &str) -> Option<(&str, &str)> {
    let (scheme, rest) = target.split_once("://")?;
    if !scheme.eq_ignore_ascii_case("http") && !scheme.eq_ignore_ascii_case("https") {
        return None;
    }
    Some(rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len())))
}

/// A name or address with an optional port (RFC 3986, 3.2.2), without user information or commas.
fn host_text(value: &[u8]) -> Result<&str, ParseError> {
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
        return Err(ParseError::BadHost);
    }
    std::str::from_utf8(value).map_err(|_| ParseError::BadHost)
}
