//! Operators' connections, with the controller simulated by the test.

use super::*;
use crate::settings::ConflictAnswer;
use rstest::rstest;
use std::net::IpAddr;
use tokio::io::{duplex, DuplexStream};

const HELD: InForce = InForce { revision: 7, digest: 0x8594_4171_f739_67e8 };
const HELD_TEXT: &str = "\"revision\":7,\"digest\":\"85944171f73967e8\"";

/// A connection served on this thread: the operator's end, and the calls that are received.
fn connection() -> (DuplexStream, mpsc::Receiver<Call>) {
    let (operator, stream) = duplex(1 << 20);
    let (calls, received) = mpsc::channel(4);
    let local_address = SocketAddr::from(([10, 0, 0, 4], 8080));
    tokio::spawn(async move { Connection::new(stream, local_address, calls).serve().await });
    (operator, received)
}

fn replace(body: &str) -> String {
    format!("POST {REPLACE_PATH} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

const GET_SHOW: &str = "GET /v1/Configuration.Show HTTP/1.1\r\nHost: h\r\n\r\n";

async fn next_replace(calls: &mut mpsc::Receiver<Call>) -> (Vec<u8>, oneshot::Sender<Reply>) {
    match calls.recv().await {
        Some(Call::Replace { text, reply }) => (text, reply),
        _ => panic!("no configuration received"),
    }
}

/// The next complete answer: its head without the last empty line, and its body.
async fn next_answer(operator: &mut (impl AsyncRead + Unpin)) -> (String, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(operator.read_u8().await.expect("a whole head"));
    }
    let head = String::from_utf8(head).expect("text");
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    operator.read_exact(&mut body).await.expect("a whole body");
    (head.trim_end().to_string(), String::from_utf8(body).expect("text"))
}

fn unavailable() -> Reply {
    let ask: Vec<IpAddr> = vec![IpAddr::from([10, 0, 0, 5]), IpAddr::from([10, 0, 0, 6])];
    Reply::Unavailable(Unavailable { why: "no majority in touch", retry_after: RETRY_AFTER, ask })
}

#[rstest]
#[case::taken(Reply::Acknowledged(HELD), 200, &format!("{{{HELD_TEXT},\"superseded\":false}}"))]
#[case::superseded(Reply::Superseded(HELD), 200, &format!("{{{HELD_TEXT},\"superseded\":true}}"))]
#[case::conflict_refused(
    Reply::Conflict(HELD, ConflictAnswer::Refuse),
    409,
    &format!("{{\"error\":\"revision 7 is in force with another text\",{HELD_TEXT}}}")
)]
#[case::conflict_acknowledged(
    Reply::Conflict(HELD, ConflictAnswer::Acknowledge),
    200,
    &format!("{{{HELD_TEXT},\"superseded\":true}}")
)]
#[case::unavailable(
    unavailable(),
    503,
    "{\"error\":\"no majority in touch\",\"ask\":[\"10.0.0.5:8080\",\"10.0.0.6:8080\"]}"
)]
#[case::invalid(Reply::Invalid("no \"revision\"".into()), 400, "{\"error\":\"no \\\"revision\\\"\"}")]
#[case::elsewhere(Reply::Redirect(IpAddr::from([10, 0, 0, 9])), 307, "")]
#[tokio::test]
async fn each_outcome_has_its_status_and_body(#[case] reply: Reply, #[case] status: u16, #[case] body: &str) {
    let (mut operator, mut calls) = connection();
    operator.write_all(replace("{}").as_bytes()).await.expect("sent");
    let (text, sender) = next_replace(&mut calls).await;
    assert_eq!(text, b"{}");
    assert!(sender.send(reply).is_ok());
    let (head, answer) = next_answer(&mut operator).await;
    assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
    assert_eq!(answer, body);
    assert_eq!(head.contains("Retry-After: 0.3\r\n"), status == 503, "{head}");
    let location = "Location: http://10.0.0.9:8080/v1/Configuration.Replace\r\n";
    assert_eq!(head.contains(location), status == 307, "{head}");
}

/// The digest is the one that an operator computes over the bytes it sent.
#[test]
fn a_digest_is_written_with_leading_zeros() {
    assert_eq!(digest_text(tindock_control_store::digest(b"a")), "af63dc4c8601ec8c");
    assert_eq!(digest_text(0xab), "00000000000000ab");
}

#[tokio::test]
async fn pipelined_calls_get_their_own_answers_in_order() {
    let (mut operator, mut calls) = connection();
    let both = replace("first") + &replace("second") + GET_SHOW;
    operator.write_all(both.as_bytes()).await.expect("sent");
    let (text, first) = next_replace(&mut calls).await;
    assert_eq!(text, b"first");
    // The second is not forwarded while the first is being served.
    tokio::task::yield_now().await;
    assert!(calls.try_recv().is_err());
    assert!(first.send(Reply::Acknowledged(InForce { revision: 1, digest: 0 })).is_ok());
    let (text, second) = next_replace(&mut calls).await;
    assert_eq!(text, b"second");
    assert!(second.send(Reply::Invalid("the second".into())).is_ok());
    let Some(Call::Show { reply }) = calls.recv().await else { panic!("no call received") };
    assert!(reply.send(Reply::Json(b"[3]".to_vec())).is_ok());
    let mut answer = Vec::new();
    for _ in 0..3 {
        answer.push(next_answer(&mut operator).await);
    }
    assert!(answer[0].0.starts_with("HTTP/1.1 200 ") && answer[0].1.contains("\"revision\":1"), "{answer:?}");
    assert!(answer[1].0.starts_with("HTTP/1.1 400 ") && answer[1].1.contains("the second"), "{answer:?}");
    assert!(answer[2].0.starts_with("HTTP/1.1 200 ") && answer[2].1 == "[3]", "{answer:?}");
}

/// An answer that came after its call was given up was read as the answer to the next call of the same
/// connection.
#[tokio::test(start_paused = true)]
async fn a_call_is_answered_at_its_time_limit_and_a_late_answer_is_dropped() {
    let (mut operator, mut calls) = connection();
    let began = Instant::now();
    operator.write_all((replace("first") + &replace("second")).as_bytes()).await.expect("sent");
    let (_, first) = next_replace(&mut calls).await;
    let (head, body) = next_answer(&mut operator).await;
    assert!(head.starts_with("HTTP/1.1 503 ") && head.contains("Retry-After"), "{head}");
    assert_eq!(body, "{\"error\":\"no answer in time\",\"ask\":[]}");
    assert!(began.elapsed() <= ANSWER_TIMEOUT + Duration::from_millis(10));
    assert!(first.send(Reply::Acknowledged(HELD)).is_err(), "its call was answered already");
    let (text, second) = next_replace(&mut calls).await;
    assert_eq!(text, b"second");
    assert!(second.send(Reply::Superseded(HELD)).is_ok());
    assert!(next_answer(&mut operator).await.1.contains("\"superseded\":true"));
}

#[tokio::test]
async fn an_operator_that_closed_its_sending_side_still_gets_its_answer() {
    let (mut operator, mut calls) = connection();
    operator.write_all(replace("{}").as_bytes()).await.expect("sent");
    operator.shutdown().await.expect("ended");
    let (_, reply) = next_replace(&mut calls).await;
    assert!(reply.send(Reply::Acknowledged(HELD)).is_ok());
    assert!(next_answer(&mut operator).await.0.starts_with("HTTP/1.1 200 "));
    let mut rest = Vec::new();
    operator.read_to_end(&mut rest).await.expect("the connection ends");
    assert_eq!(rest, b"");
}

#[tokio::test]
async fn a_truncated_call_is_not_forwarded() {
    let (mut operator, mut calls) = connection();
    let whole = replace("{\"revision\":1}");
    operator.write_all(&whole.as_bytes()[..whole.len() - 1]).await.expect("sent");
    drop(operator);
    assert!(calls.recv().await.is_none());
}

/// The answer to an operator that has disconnected is dropped, and the calls of others are answered.
#[tokio::test]
async fn a_reset_connection_drops_its_reply() {
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let at = listener.local_addr().expect("its address");
            let (calls, mut received) = mpsc::channel(4);
            tokio::task::spawn_local(serve(listener, calls));
            let mut gone = TcpStream::connect(at).await.expect("connects");
            gone.write_all(replace("gone").as_bytes()).await.expect("sent");
            let (_, mut reply) = next_replace(&mut received).await;
            // Without lingering a close is a reset.
            socket2::SockRef::from(&gone).set_linger(Some(Duration::ZERO)).expect("set");
            drop(gone);
            reply.closed().await;
            let mut other = TcpStream::connect(at).await.expect("connects");
            other.write_all(replace("other").as_bytes()).await.expect("sent");
            let (text, reply) = next_replace(&mut received).await;
            assert_eq!(text, b"other");
            assert!(reply.send(Reply::Acknowledged(HELD)).is_ok());
            assert!(next_answer(&mut other).await.0.starts_with("HTTP/1.1 200 "));
        })
        .await;
}
