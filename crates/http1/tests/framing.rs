//! Requests, answers and bodies: complete, truncated at every byte, ambiguous, and with changed bytes.

use rstest::rstest;
use tindock_http1::*;

const MAX: usize = 16_384;

/// The head and body of one request, or the error, and how many bytes were used.
fn request(buf: &[u8]) -> Read<(RequestHead, Vec<u8>)> {
    with_body(buf, request_head(buf, MAX), |head| head.framing)
}

fn answer(buf: &[u8]) -> Read<(AnswerHead, Vec<u8>)> {
    with_body(buf, answer_head(buf, MAX, false), |head| head.framing)
}

fn with_body<T>(buf: &[u8], head: Read<T>, framing: impl Fn(&T) -> Framing) -> Read<(T, Vec<u8>)> {
    match head {
        Read::Partial => Read::Partial,
        Read::Invalid(error) => Read::Invalid(error),
        Read::Done { value, used } => {
            let mut body = Body::new(framing(&value), 1000);
            match body.push(&buf[used..]) {
                Read::Done { used: more, .. } => {
                    Read::Done { value: (value, body.bytes()), used: used + more }
                }
                Read::Partial => Read::Partial,
                Read::Invalid(error) => Read::Invalid(error),
            }
        }
    }
}

fn expect_done<T>(read: Read<T>) -> (T, usize) {
    match read {
        Read::Done { value, used } => (value, used),
        Read::Partial => panic!("partial"),
        Read::Invalid(error) => panic!("{error}"),
    }
}

const CHUNKED: &str = "\r\nPOST /a/b?c=%20d HTTP/1.1\r\nhost: h.example:80\r\nAttempt-Id: 9c41\r\n\
    Deadline-Ms: 4000\r\nTransfer-Encoding: Chunked\r\nConnection: X-One, close\r\n\
    X-One: 1\r\nX-Two: \u{e9}\r\nProxy-Foo: x\r\nTE: x\r\nExpect: 100-Continue\r\n\
    Target-Instance: i-1\r\n\r\n\
    3\r\nabc\r\n00A;x=\"y\"\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n";
const GET: &str = "GET http://Other.example?x HTTP/1.0\r\nAccept: */*\r\n\r\n";
const LENGTH: &str = "PUT /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc";
const OK: &str = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n\
    Server-Seal: 3e.0\r\nInstance-Id: i-2\r\nContent-Length: 5\r\nKeep-Alive: timeout=7, max=9\r\n\
    Content-Encoding: identity\r\n\r\nhello";
const BUSY: &str =
    "HTTP/1.1 503 \r\nNot-Executed: 1\r\nRetry-After: 0.25\r\nContent-Encoding: identity, br\r\n\
    Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n";

#[rstest]
#[case(CHUNKED)]
#[case(GET)]
#[case(LENGTH)]
fn a_request_truncated_anywhere_is_partial_and_then_complete(#[case] message: &str) {
    let next = format!("{message}GET / HT");
    let whole = request(next.as_bytes());
    assert_eq!(expect_done(whole.clone()).1, message.len());
    for cut in 0..message.len() {
        assert_eq!(request(&message.as_bytes()[..cut]), Read::Partial, "{cut}");
    }
    assert_eq!(request(message.as_bytes()), whole);
}

#[rstest]
#[case(OK)]
#[case(BUSY)]
fn an_answer_truncated_anywhere_is_partial_and_then_complete(#[case] message: &str) {
    for cut in 0..message.len() {
        assert_eq!(answer(&message.as_bytes()[..cut]), Read::Partial, "{cut}");
    }
    assert_eq!(expect_done(answer(message.as_bytes())).1, message.len());
}

#[test]
fn a_request_is_parsed_and_forwarded_without_hop_by_hop_headers() {
    let ((head, body), _) = expect_done(request(CHUNKED.as_bytes()));
    assert_eq!((head.target.as_str(), head.host.as_str()), ("/a/b?c=%20d", "h.example:80"));
    assert_eq!((head.attempt_id.as_deref(), head.deadline_ms), (Some("9c41"), Some(4000)));
    assert!(head.close && head.expect_continue);
    assert_eq!(head.headers, [("X-Two".to_string(), "\u{e9}".as_bytes().to_vec())]);
    let mut out = Vec::new();
    write_request(&mut out, &head, &body, 3999, "i-7\r\nf");
    let expected =
        "POST /a/b?c=%20d HTTP/1.1\r\nHost: h.example:80\r\nAttempt-Id: 9c41\r\nDeadline-Ms: 3999\r\n\
        Target-Instance: i-7f\r\nX-Two: \u{e9}\r\nContent-Length: 13\r\n\r\nabc0123456789";
    assert_eq!(String::from_utf8_lossy(&out), expected);

    let ((head, _), _) = expect_done(request(GET.as_bytes()));
    assert_eq!((head.target.as_str(), head.host.as_str(), head.close), ("/?x", "Other.example", true));
    out.clear();
    write_request(&mut out, &head, b"omitted", 1, "");
    assert_eq!(out, b"GET /?x HTTP/1.1\r\nHost: Other.example\r\nDeadline-Ms: 1\r\nAccept: */*\r\n\r\n");
}

#[test]
fn an_answer_is_parsed_and_forwarded_without_hop_by_hop_headers() {
    let ((head, body), _) = expect_done(answer(OK.as_bytes()));
    assert_eq!((head.seal.as_deref(), head.attempt_id.as_deref()), (Some("3e.0"), Some("9c41")));
    assert_eq!((head.instance_id.as_deref(), head.keep_alive_ms), (Some("i-2"), Some(7000)));
    assert!(!head.not_executed && !head.encoded && !head.close);
    let mut out = Vec::new();
    write_answer(&mut out, &head, &body, false, true);
    let expected = "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nServer-Seal: 3e.0\r\nInstance-Id: i-2\r\n\
        Content-Encoding: identity\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    assert_eq!(String::from_utf8_lossy(&out), expected);

    let ((head, _), _) = expect_done(answer(BUSY.as_bytes()));
    assert!(head.not_executed && head.encoded && head.close);
    assert_eq!(head.retry_after_ms, Some(250));

    let (head, _) = expect_done(answer_head(OK.as_bytes(), MAX, true));
    assert_eq!(head.framing, Framing::Empty);
    out.clear();
    write_answer(&mut out, &head, b"", true, false);
    assert!(out.ends_with(b"Content-Length: 5\r\n\r\n"));

    let (head, _) = expect_done(answer_head(b"HTTP/1.1 204 No Content\r\n\r\n", MAX, false));
    out.clear();
    write_answer(&mut out, &head, b"x", false, false);
    assert_eq!(out, b"HTTP/1.1 204 No Content\r\n\r\n");
}

#[rstest]
#[case(Some(250), "Retry-After: 0.25\r\n")]
#[case(Some(10_000), "Retry-After: 10\r\n")]
#[case(Some(1_005), "Retry-After: 1.005\r\n")]
#[case(None, "")]
fn a_local_answer_has_its_retry_after_in_seconds(#[case] ms: Option<u64>, #[case] line: &str) {
    let mut out = Vec::new();
    write_local_answer(&mut out, 503, Some("a1"), ms, false);
    let expected =
        format!("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a1\r\n{line}Content-Length: 0\r\n\r\n");
    assert_eq!(String::from_utf8_lossy(&out), expected);
}

#[rstest]
#[case("Content-Length: 3\r\nTransfer-Encoding: chunked", ParseError::Framing)]
#[case("Content-Length: 3\r\nContent-Length: 4", ParseError::Framing)]
#[case("Content-Length: 3, 3", ParseError::Framing)]
#[case("Content-Length: +3", ParseError::Framing)]
#[case("Content-Length: 3 3", ParseError::Framing)]
#[case("Content-Length:", ParseError::Framing)]
#[case("Content-Length: 0000000000000003", ParseError::Framing)]
#[case("Content-Length: 1001", ParseError::BodyTooLarge)]
#[case("Transfer-Encoding: gzip, chunked", ParseError::Framing)]
#[case("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", ParseError::Framing)]
#[case("Transfer-Encoding: \x0bchunked", ParseError::Syntax)]
#[case("Transfer-Encoding : chunked", ParseError::Syntax)]
#[case("X: a\r\n b", ParseError::Syntax)]
#[case("X:\r\n b", ParseError::Syntax)]
#[case("X: a\rb", ParseError::Syntax)]
#[case("X: a\nY: b", ParseError::Syntax)]
#[case("X: a\0", ParseError::Syntax)]
#[case("Host: h", ParseError::InvalidHost)]
#[case("Attempt-Id: a\r\nAttempt-Id: b", ParseError::AttemptId)]
#[case("Attempt-Id: a b", ParseError::AttemptId)]
#[case("Deadline-Ms: 1\r\nDeadline-Ms: 2", ParseError::Deadline)]
#[case("Deadline-Ms: -1", ParseError::Deadline)]
fn an_ambiguous_request_is_refused(#[case] lines: &str, #[case] error: ParseError) {
    let message = format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}\r\n\r\n");
    assert_eq!(request(message.as_bytes()), Read::Invalid(error));
}

#[rstest]
#[case("GET / HTTP/1.1\r\n\r\n", ParseError::MissingHost, 400)]
#[case("GET / HTTP/1.1\r\nHost: a@b\r\n\r\n", ParseError::InvalidHost, 400)]
#[case("GET http://u@h/ HTTP/1.1\r\nHost: h\r\n\r\n", ParseError::InvalidHost, 400)]
#[case("GET / HTTP/1.1\r\nHost: \r\n\r\n", ParseError::InvalidHost, 400)]
#[case("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", ParseError::Target, 400)]
#[case("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", ParseError::Target, 400)]
#[case("GET / HTTP/2.0\r\n", ParseError::Version, 505)]
#[case("GET /a b HTTP/1.1\r\n", ParseError::Syntax, 400)]
#[case("\u{16}\u{3}\u{1}", ParseError::Syntax, 400)]
#[case("POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", ParseError::Framing, 400)]
fn an_invalid_request_line_or_host_is_refused_with_its_status(
    #[case] message: &str,
    #[case] error: ParseError,
    #[case] status: u16,
) {
    assert_eq!(request(message.as_bytes()), Read::Invalid(error));
    assert_eq!(error.status(), status);
}

#[test]
fn heads_beyond_the_limits_are_refused() {
    let head =
        |n: usize| format!("GET / HTTP/1.1\r\nHost: h\r\n{}\r\n", "X: y\r\n".repeat(n - 1)).into_bytes();
    assert_eq!(expect_done(request_head(&head(100), MAX)).1, head(100).len());
    assert_eq!(request_head(&head(101), MAX), Read::Invalid(ParseError::TooLarge));
    let two = head(2);
    assert_eq!(expect_done(request_head(&two, two.len())).1, two.len());
    assert_eq!(request_head(&two, two.len() - 1), Read::Invalid(ParseError::TooLarge));
    assert_eq!(
        answer_head(&b"HTTP/1.1 100 \r\n\r\n".repeat(9), 100, false),
        Read::Invalid(ParseError::TooLarge)
    );
}

#[rstest]
#[case("5\r\nhello\r\n0\r\n\r\n", None)]
#[case("000000000000005\r\nhello\r\n0\r\n\r\n", None)]
#[case("0000000000000005\r\nhello\r\n0\r\n\r\n", Some(ParseError::Framing))]
#[case("5 \r\nhello", Some(ParseError::Framing))]
#[case("\r\n", Some(ParseError::Framing))]
#[case("5\nhello", Some(ParseError::Framing))]
#[case("5;a\nhello", Some(ParseError::Framing))]
#[case("-5\r\n", Some(ParseError::Framing))]
#[case("0x5\r\n", Some(ParseError::Framing))]
#[case("5\r\nhelloX", Some(ParseError::Framing))]
#[case("fffffffffffffff\r\n", Some(ParseError::BodyTooLarge))]
#[case("5\r\nhello\r\n6\r\n", Some(ParseError::BodyTooLarge))]
#[case("0\r\nno colon\r\n", Some(ParseError::Framing))]
#[case("0\r\nX: a\r\n b\r\n", Some(ParseError::Framing))]
fn malformed_chunks_are_refused_also_byte_by_byte(#[case] text: &str, #[case] error: Option<ParseError>) {
    let mut body = Body::new(Framing::Chunked, 10);
    let read = body.push(text.as_bytes());
    assert_eq!(read, error.map_or(Read::Done { value: (), used: text.len() }, Read::Invalid));
    let mut bytewise = Body::new(Framing::Chunked, 10);
    let last = text.bytes().map(|byte| bytewise.push(&[byte])).find(|read| *read != Read::Partial);
    assert_eq!(last, Some(error.map_or(Read::Done { value: (), used: 1 }, Read::Invalid)));
    assert_eq!(bytewise.bytes(), body.bytes());
}

#[rstest]
#[case(format!("1;{}\r\n", "x".repeat(256)), Read::Partial)]
#[case(format!("1;{}\r\n", "x".repeat(257)), Read::Invalid(ParseError::Framing))]
#[case(format!("0\r\nX:{}\r\n", "x".repeat(4090)), Read::Partial)]
#[case(format!("0\r\nX:{}\r\n\r\n", "x".repeat(4091)), Read::Invalid(ParseError::TooLarge))]
fn extensions_and_trailers_beyond_the_limits_are_refused(#[case] text: String, #[case] read: Read<()>) {
    assert_eq!(Body::new(Framing::Chunked, 10).push(text.as_bytes()), read);
}

#[test]
fn only_a_body_until_close_is_complete_at_the_end_of_input() {
    for (framing, whole) in
        [(Framing::UntilClose, true), (Framing::Length(9), false), (Framing::Chunked, false)]
    {
        let mut body = Body::new(framing, 10);
        assert_eq!(body.push(b"1"), Read::Partial);
        assert_eq!(body.end_of_input(), whole);
    }
    assert_eq!(Body::new(Framing::UntilClose, 3).push(b"1234"), Read::Invalid(ParseError::BodyTooLarge));
}

#[rstest]
#[case("\r\nHTTP/1.1 200 OK\r\n\r\n", ParseError::Syntax)]
#[case("garbage", ParseError::Syntax)]
#[case("HTTP/2 200 OK\r\n\r\n", ParseError::Version)]
#[case("HTTP/1.1 101 Up\r\n\r\n", ParseError::Syntax)]
#[case("HTTP/1.1 600 X\r\n\r\n", ParseError::Syntax)]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ParseError::Framing)]
#[case("HTTP/1.1 204 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", ParseError::Framing)]
#[case("HTTP/1.1 100 C\r\nContent-Length: 1\r\n\r\n", ParseError::Framing)]
#[case("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nAttempt-Id: b\r\n\r\n", ParseError::Ambiguous)]
fn a_malformed_answer_is_refused(#[case] message: &str, #[case] error: ParseError) {
    assert_eq!(answer(message.as_bytes()), Read::Invalid(error));
}

/// A message with changed bytes that is accepted is written so that parsing it again gives the same single
/// message.
#[test]
fn changed_bytes_never_cause_a_panic_or_request_smuggling() {
    let mut rng = oorandom::Rand32::new(20);
    for round in 0..60_000 {
        let base = [CHUNKED, GET, LENGTH, OK, BUSY][round % 5];
        let mut bytes = base.as_bytes().to_vec();
        for _ in 0..rng.rand_range(1..5) {
            let at = rng.rand_range(0..bytes.len() as u32) as usize;
            bytes[at] = match rng.rand_range(0..3) {
                0 => b"\r\n \t:,;0/"[rng.rand_range(0..9) as usize],
                1 => rng.rand_u32() as u8,
                _ => bytes[at] ^ 1 << rng.rand_range(0..8),
            };
        }
        if let Read::Done { value: (head, body), .. } = request(&bytes) {
            if head.host.is_empty() {
                continue; // HTTP/1.0
            }
            let mut out = Vec::new();
            write_request(&mut out, &head, &body, 5, "i-1");
            let ((again, same_body), used) = expect_done(request(&out));
            assert_eq!((used, same_body, again.headers), (out.len(), body, head.headers));
            assert_eq!((again.method, again.target, again.host), (head.method, head.target, head.host));
        }
        if let Read::Done { value: (head, body), .. } = answer(&bytes) {
            let mut out = Vec::new();
            write_answer(&mut out, &head, &body, false, false);
            let ((again, same_body), used) = expect_done(answer(&out));
            assert_eq!((used, same_body, again.headers), (out.len(), body, head.headers));
            assert_eq!((again.status, again.seal), (head.status, head.seal));
        }
    }
}
