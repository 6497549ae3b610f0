use crate::{AnswerHead, Framing, RequestHead};
use std::io::Write;

/// Appends the request to a worker: method, target, host, id, other headers and body as the client sent
/// them, `left_ms` milliseconds as `Deadline-Ms`, and `Target-Instance` unless `instance` is empty.
///
/// A body received in chunks is written with its length. `body` is omitted if the head states that there
/// is none. Bytes of `instance` that are not visible ASCII are omitted; the remaining id matches no worker.
pub fn write_request(out: &mut Vec<u8>, head: &RequestHead, body: &[u8], left_ms: u32, instance: &str) {
    let has_body = head.framing != Framing::Empty;
    out.reserve(
        256 + headers_size(&head.headers) + head.target.len() + if has_body { body.len() } else { 0 },
    );
    for part in [&head.method, " ", &head.target, " HTTP/1.1\r\nHost: ", &head.host, "\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
    if let Some(id) = &head.attempt_id {
        write_line(out, b"Attempt-Id", id.as_bytes());
    }
    write_number(out, "Deadline-Ms", left_ms.into());
    if !instance.is_empty() {
        write_visible(out, b"Target-Instance", instance);
    }
    write_headers(out, &head.headers);
    if has_body {
        write_number(out, "Content-Length", body.len() as u64);
    }
    out.extend_from_slice(b"\r\n");
    if has_body {
        out.extend_from_slice(body);
    }
}

/// Appends a worker's answer for the client, with status and headers as the worker sent them, and with
/// `Connection: close` if `close`.
///
/// There is always a `Content-Length`, except with 204 and 304, and except in an answer to HEAD (with
/// `to_head`) for which the worker stated none; none of the three has a body.
pub fn write_answer(out: &mut Vec<u8>, head: &AnswerHead, body: &[u8], to_head: bool, close: bool) {
    let has_no_body = matches!(head.status, 204 | 304);
    let body = if has_no_body || to_head { &[] } else { body };
    out.reserve(128 + headers_size(&head.headers) + head.reason.len() + body.len());
    write_status_line(out, head.status, &head.reason);
    write_headers(out, &head.headers);
    let length = if to_head { head.length } else { Some(body.len() as u64) };
    if let Some(length) = length.filter(|_| !has_no_body) {
        write_number(out, "Content-Length", length);
    }
    finish(out, close);
    out.extend_from_slice(body);
}

/// Appends an answer that the proxy makes itself, without a body. `retry_after_ms`, in milliseconds,
/// becomes a `Retry-After` in seconds with a fraction. Bytes of `attempt_id` that are not visible ASCII
/// are omitted.
pub fn write_local_answer(
    out: &mut Vec<u8>,
    status: u16,
    attempt_id: Option<&str>,
    retry_after_ms: Option<u64>,
    close: bool,
) {
    write_status_line(out, status, reason_phrase(status));
    if let Some(id) = attempt_id {
        write_visible(out, b"Attempt-Id", id);
    }
    if let Some(ms) = retry_after_ms {
        let text = format!("{}.{:03}", ms / 1000, ms % 1000);
        write_line(out, b"Retry-After", text.trim_end_matches('0').trim_end_matches('.').as_bytes());
    }
    if !matches!(status, 100..=199 | 204 | 304) {
        write_number(out, "Content-Length", 0);
    }
    finish(out, close);
}

fn headers_size(headers: &[(String, Vec<u8>)]) -> usize {
    headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum()
}

fn write_status_line(out: &mut Vec<u8>, status: u16, reason_phrase: &str) {
    // Writing to a Vec cannot fail; the same holds below.
    let _ = write!(out, "HTTP/1.1 {status} {reason_phrase}\r\n");
}

fn write_line(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        out.extend_from_slice(part);
    }
}

fn write_headers(out: &mut Vec<u8>, headers: &[(String, Vec<u8>)]) {
    for (name, value) in headers {
        write_line(out, name.as_bytes(), value);
    }
}

fn write_number(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}: {value}\r\n");
}

fn write_visible(out: &mut Vec<u8>, name: &[u8], value: &str) {
    out.extend_from_slice(name);
    out.extend_from_slice(b": ");
    out.extend(value.bytes().filter(u8::is_ascii_graphic));
    out.extend_from_slice(b"\r\n");
}

fn finish(out: &mut Vec<u8>, close: bool) {
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
}

/// The standard phrase (RFC 9110, 15); empty for a status that the proxy does not use.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        204 => "No Content",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}
