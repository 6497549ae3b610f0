//! Which bytes count as the answer: complete, truncated at each byte, in pieces, for another request, and
//! what they prove.

use rstest::rstest;
use std::time::Duration;
use tindock_upstream::{Connection, Exchange, Pool, Reply, Step, Verdict};

const ID: &str = "a1";

/// The reply on a connection that has carried the given requests before (`h` is a HEAD, `g` another one).
fn reply(before: &str, is_head: bool, bytes: &[u8], piece: usize, closes: bool) -> Option<Reply> {
    let mut connection = Connection::new(());
    before.bytes().for_each(|method| connection.record_request(method == b'h'));
    let mut exchange = Exchange::new(&mut connection, ID, is_head);
    for part in bytes.chunks(piece.max(1)) {
        exchange.buffer().extend_from_slice(part);
        if let Step::Done(reply) = exchange.advance() {
            return Some(reply);
        }
    }
    closes.then(|| exchange.closed())
}

/// `answer STATUS BODY`, `refused`, `misdirected`, `lost` or `waits`, with `kept` if the connection can be
/// reused.
fn describe(reply: Option<Reply>) -> String {
    let Some(reply) = reply else { return "waits".into() };
    let verdict = match reply.verdict {
        Verdict::Answer(answer) => {
            format!("answer {} {}", answer.head.status, String::from_utf8_lossy(&answer.body))
        }
        Verdict::NotExecuted { .. } => "refused".into(),
        Verdict::Misdirected { .. } => "misdirected".into(),
        Verdict::Lost => "lost".into(),
    };
    if reply.reusable {
        format!("{verdict}, kept")
    } else {
        verdict
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nhello";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n\
    3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
const INTERIM: &str =
    "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n\
    Content-Length: 5\r\n\r\nhello";
const SURPLUS: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nold\
    HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\nhello";

#[rstest]
#[case(OK, "answer 200 hello, kept")]
#[case(CHUNKED, "answer 200 hello, kept")]
#[case(INTERIM, "answer 200 hello, kept")]
#[case(SURPLUS, "answer 200 hello")]
fn a_truncated_answer_is_never_accepted(#[case] text: &str, #[case] complete: &str) {
    for piece in [1, 2, 7, text.len()] {
        assert_eq!(describe(reply("g", false, text.as_bytes(), piece, false)), complete);
    }
    for cut in 0..text.len() {
        let part = &text.as_bytes()[..cut];
        assert_eq!(describe(reply("g", false, part, 3, false)), "waits", "cut at {cut}");
        assert_eq!(describe(reply("g", false, part, 3, true)), "lost", "cut at {cut}, closed");
    }
}

#[rstest]
// No body, whatever the stated length.
#[case(
    "",
    true,
    "200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\n",
    "answer 200 , kept"
)]
#[case("", false, "204 N\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n\r\n", "answer 204 , kept")]
#[case(
    "",
    false,
    "304 N\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\n",
    "answer 304 , kept"
)]
// More bytes than the answer: the rest belongs to no request.
#[case(
    "",
    false,
    "200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nhello",
    "answer 200 he"
)]
// A success that is not sealed by the worker, or whose end cannot be detected.
#[case("", false, "200 OK\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", "lost, kept")]
#[case(
    "",
    false,
    "200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Encoding: br\r\nContent-Length: 0\r\n\r\n",
    "lost, kept"
)]
#[case("", false, "200 OK\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n\r\nhello", "lost")]
#[case("", false, "500 No\r\nAttempt-Id: a1\r\nServer-Seal: s\r\n\r\nhello", "lost")]
#[case("", false, "200 OK\r\nServer-Seal: s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "lost")]
#[case("", false, "200 OK\r\nAttempt-Id: z\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n", "lost")]
#[case("", false, "101 Up\r\nAttempt-Id: a1\r\n\r\n", "lost")]
// Failures of the worker are its answers; they prove that it did not run only with the header.
#[case(
    "",
    false,
    "503 No\r\nAttempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n",
    "answer 503 , kept"
)]
#[case(
    "",
    false,
    "503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "refused, kept"
)]
#[case("", false, "503 No\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n\r\ncut", "refused")]
#[case("", false, "421 No\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", "misdirected, kept")]
// Without an id only the first request of a connection can be meant.
#[case("", false, "503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "refused")]
#[case("g", false, "503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "lost")]
#[case("g", false, "421 No\r\nContent-Length: 0\r\n\r\n", "lost")]
// After a HEAD request the end of a surplus answer is unknown.
#[case(
    "h",
    false,
    "200 OK\r\nAttempt-Id: z\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n\
    HTTP/1.1 421 No\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n",
    "lost"
)]
#[case(
    "g",
    true,
    "200 OK\r\nAttempt-Id: z\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\n\
    HTTP/1.1 421 No\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n",
    "lost"
)]
fn a_reply_proves_only_what_its_bytes_state(
    #[case] before: &str,
    #[case] is_head: bool,
    #[case] text: &str,
    #[case] expected: &str,
) {
    let text = format!("HTTP/1.1 {text}");
    assert_eq!(describe(reply(before, is_head, text.as_bytes(), text.len(), true)), expected);
}

#[test]
fn at_most_three_surplus_answers_are_skipped() {
    let old = "HTTP/1.1 200 OK\r\nAttempt-Id: z\r\nContent-Length: 0\r\n\r\n";
    for (count, expected) in [(3, "answer 200 hello"), (4, "lost")] {
        let text = format!("{}{OK}", old.repeat(count));
        assert_eq!(describe(reply("g", false, text.as_bytes(), 9, false)), expected);
    }
}

#[test]
fn the_pool_returns_only_quiet_unexpired_and_if_requested_unused_connections() {
    let (second, mut pool) = (Duration::from_secs(1), Pool::new(3));
    let connection = |n: u32, requests: u32| {
        let mut connection = Connection::new(n);
        (0..requests).for_each(|_| connection.record_request(false));
        connection
    };
    pool.keep("i", connection(1, 0), 2 * second);
    pool.keep("i", connection(2, 1), 2 * second);
    pool.keep("i", connection(3, 1), 2 * second);
    pool.keep("i", connection(4, 0), 2 * second); // one too many
    let all = |_: &u32| true;
    assert_eq!(pool.take("i", second, true, all).map(|c| c.transport), Some(1));
    assert_eq!(pool.take("i", second, true, all).map(|c| c.transport), None);
    assert_eq!(pool.take("i", second, false, |n| *n != 3).map(|c| c.transport), Some(2));
    assert_eq!(pool.take("i", second, false, all).map(|c| c.transport), None);
    pool.keep("i", connection(5, 0), 2 * second);
    assert_eq!(pool.take("i", 2 * second, false, all).map(|c| c.transport), None);
    pool.keep("i", connection(6, 0), 9 * second);
    pool.forget("i");
    assert_eq!(pool.take("i", second, false, all).map(|c| c.transport), None);
}
