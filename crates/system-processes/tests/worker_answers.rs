//! Faulty answers on an upstream connection, over sockets: a whole proxy with a mock worker that answers from
//! a script. The tests in `crates/upstream/tests` cover the decisions on simulated time; these cover the I/O.

use rstest::rstest;
use std::cell::RefCell;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_configuration::Catalogue;
use tindock_http1::{answer_head, request_head, AnswerHead, Body, Framing, Read};
use tindock_system_processes::messages::{AgentMessage, Listed, ProxyInfo};
use tindock_system_processes::settings::Settings;
use tindock_system_processes::transport::frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request as the worker received it: its number on its connection, its id and its method.
struct Received {
    request_on_connection: usize,
    id: String,
    method: String,
}

/// What the worker does with a request: the bytes it sends, whether it executes the request, whether it then
/// closes the connection.
struct Response {
    bytes: Vec<u8>,
    runs: bool,
    closes: bool,
}

type Script = fn(&Received, usize) -> Response;
type RequestIds = Rc<RefCell<Vec<String>>>;

fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async { tokio::time::timeout(Duration::from_secs(60), test).await.unwrap() };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn loopback(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, n))
}

/// A worker that follows the script; `ran` gets the ids of the executed requests, `arrivals` of the received
/// ones.
async fn worker(listener: TcpListener, script: Script, ran: RequestIds, arrivals: RequestIds) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (ran, arrivals) = (ran.clone(), arrivals.clone());
        tokio::task::spawn_local(async move {
            let mut buffer = Vec::new();
            for request_on_connection in 0.. {
                let head = loop {
                    if let Read::Done { value, used } = request_head(&buffer, 16 << 10) {
                        buffer.drain(..used);
                        break value;
                    }
                    if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                        return;
                    }
                };
                assert_eq!(head.framing, Framing::Empty);
                let id = head.attempt_id.unwrap();
                let received = Received { request_on_connection, id: id.clone(), method: head.method };
                let earlier = arrivals.borrow().iter().filter(|other| **other == id).count();
                arrivals.borrow_mut().push(id.clone());
                let response = script(&received, earlier);
                if response.runs {
                    ran.borrow_mut().push(id);
                }
                if stream.write_all(&response.bytes).await.is_err() || response.closes {
                    return;
                }
            }
        });
    }
}

struct Proxy {
    data_plane: SocketAddr,
    ran: RequestIds,
    arrivals: RequestIds,
    _agent_link: TcpStream,
}

/// A proxy with one worker: routes `/once/` (not idempotent) and `/often/` (idempotent), up to three retries.
async fn proxy(script: Script) -> Proxy {
    let agent_listener = TcpListener::bind((loopback(2), 0)).await.unwrap();
    let port = agent_listener.local_addr().unwrap().port();
    let settings = format!(
        "node_name = \"edge-1\"\nip_address = \"127.0.0.2\"\nzone = \"a\"\nregion = \"r\"\n\
         ephemeral_ports = [{}, {port}]\n[bindings]\ndata_plane = \"127.0.0.4:{port}\"\n\
         readiness = \"127.0.0.3:{port}\"\n",
        port - 2
    );
    let settings = Settings::read(&settings).unwrap();
    tokio::task::spawn_local(async move { tindock_system_processes::proxy::run(settings).await.unwrap() });
    let listener = TcpListener::bind((loopback(1), 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    let (ran, arrivals) = (RequestIds::default(), RequestIds::default());
    tokio::task::spawn_local(worker(listener, script, ran.clone(), arrivals.clone()));
    let (mut link, _) = agent_listener.accept().await.unwrap();
    let route = |prefix: &str, kind: &str| {
        format!(
            r#"{{"hostname":"h.example","path_prefix":"/{prefix}/","route_type":"{kind}","timeout_ms":3000,
                 "target_latency_ms":800,"priority":1,"service":"s","max_retries":3}}"#
        )
    };
    let text = format!(
        r#"{{"revision":1,"routes":[{},{}],"services":[{{"name":"s","boot_ms":1000,"max_inflight":4}}]}}"#,
        route("once", "non_idempotent"),
        route("often", "idempotent")
    );
    let listed = Listed {
        instance: "i-1".into(),
        service: "s".into(),
        at,
        zone: "a".into(),
        host: "m".into(),
        age: 60_000,
        ready: true,
        accepts_calls: true,
        replaces: None,
    };
    for message in [
        AgentMessage::Proxies(vec![ProxyInfo { ip: loopback(2), zone: "a".into(), incarnation: 1 }]),
        AgentMessage::Configuration(Catalogue::read(text.as_bytes()).unwrap()),
        AgentMessage::Instances { entries: vec![listed], ended: Vec::new(), complete: true },
    ] {
        link.write_all(&frame(&message)).await.unwrap();
    }
    let proxy = Proxy { data_plane: SocketAddr::new(loopback(4), port), ran, arrivals, _agent_link: link };
    // The proxy refuses requests until the agent's messages have arrived.
    while proxy.request("GET", "/often/", "warm-up").await.is_none_or(|(head, _)| head.status != 200) {
        tokio::task::yield_now().await;
    }
    proxy
}

impl Proxy {
    /// The answer as a client sees it; None if the connection ends before it is complete.
    async fn request(&self, method: &str, path: &str, id: &str) -> Option<(AnswerHead, Vec<u8>)> {
        let mut stream = TcpStream::connect(self.data_plane).await.ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1200\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut all = Vec::new();
        stream.read_to_end(&mut all).await.ok()?;
        let Read::Done { value, used } = answer_head(&all, 16 << 10, method == "HEAD") else { return None };
        let mut body = Body::new(value.framing, 1 << 20);
        let Read::Done { used: more, .. } = body.push(&all[used..]) else { return None };
        assert_eq!(used + more, all.len(), "bytes after the answer");
        Some((value, body.bytes()))
    }

    fn ran(&self, id: &str) -> usize {
        self.ran.borrow().iter().filter(|other| *other == id).count()
    }

    fn arrived(&self, id: &str) -> usize {
        self.arrivals.borrow().iter().filter(|other| *other == id).count()
    }
}

fn sealed(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s.{id}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

fn refusal(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

fn runs(bytes: Vec<u8>) -> Response {
    Response { bytes, runs: true, closes: false }
}

fn normal_answer(received: &Received) -> Response {
    match received.method.as_str() {
        "HEAD" => runs(
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s.{id}\r\nContent-Length: 4\r\n\r\n",
                id = received.id
            )
            .into_bytes(),
        ),
        _ => runs(sealed(&received.id, &received.id)),
    }
}

/// A refusal without an id, before the answer to a later request on a connection.
fn refusal_without_id(received: &Received, _: usize) -> Response {
    if received.request_on_connection == 0 || received.id == "warm-up" {
        return normal_answer(received);
    }
    let mut bytes = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
    bytes.extend(normal_answer(received).bytes);
    runs(bytes)
}

/// The first send is refused; before the answer to the second comes a copy of that refusal.
fn duplicate_refusal(received: &Received, earlier: usize) -> Response {
    if received.id == "warm-up" {
        return normal_answer(received);
    }
    if earlier == 0 {
        return Response { bytes: refusal(&received.id), runs: false, closes: false };
    }
    let copy = if received.request_on_connection > 0 { refusal(&received.id) } else { Vec::new() };
    runs([copy, normal_answer(received).bytes].concat())
}

/// An error without a length, truncated by the end of its connection.
fn truncated_error(received: &Received, _: usize) -> Response {
    if received.id == "warm-up" {
        return normal_answer(received);
    }
    let id = &received.id;
    let text = format!("HTTP/1.1 500 Broke\r\nAttempt-Id: {id}\r\nServer-Seal: s.{id}\r\n\r\nhalf of i");
    Response { bytes: text.into_bytes(), runs: true, closes: true }
}

/// A success with a seal and the header of a refusal, and without an id.
fn success_without_id(received: &Received, _: usize) -> Response {
    if received.id == "warm-up" {
        return normal_answer(received);
    }
    let text = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nold";
    Response { bytes: text.into(), runs: true, closes: true }
}

/// Before the answer to a HEAD request comes a second answer to the earlier request, whose body looks like an
/// answer.
fn surplus_before_head(received: &Received, _: usize) -> Response {
    if received.method != "HEAD" {
        return normal_answer(received);
    }
    let forged = format!(
        "HTTP/1.1 404 Forged\r\nAttempt-Id: {}\r\nServer-Seal: forged\r\nContent-Length: 0\r\n\r\n",
        received.id
    );
    runs([sealed("warm-up", &forged), normal_answer(received).bytes].concat())
}

/// Only the answer to another request.
fn another_answer(received: &Received, _: usize) -> Response {
    match received.id.as_str() {
        "warm-up" => normal_answer(received),
        _ => Response { bytes: sealed("another", "another"), runs: true, closes: true },
    }
}

/// The connection ends in the middle of the answer.
fn truncated_answer(received: &Received, _: usize) -> Response {
    let mut response = normal_answer(received);
    if received.id != "warm-up" {
        response.bytes.pop();
        response.closes = true;
    }
    response
}

/// The connection ends without an answer.
fn reset(received: &Received, earlier: usize) -> Response {
    match (received.id.as_str(), earlier) {
        ("warm-up", _) | ("often", 1..) => normal_answer(received),
        _ => Response { bytes: Vec::new(), runs: true, closes: true },
    }
}

/// No answer, with the connection left open.
fn no_answer(received: &Received, _: usize) -> Response {
    match received.id.as_str() {
        "warm-up" => normal_answer(received),
        _ => runs(Vec::new()),
    }
}

/// The connection is announced as kept open, and closed after each answer.
fn unannounced_close(received: &Received, _: usize) -> Response {
    Response { closes: true, ..normal_answer(received) }
}

/// A request that is not idempotent is executed at most once, its client gets no refusal that allows a retry
/// once it was executed, and no data of another request.
#[rstest]
#[case("a refusal without an id", refusal_without_id, "GET")]
#[case("a duplicate refusal", duplicate_refusal, "GET")]
#[case("a truncated error", truncated_error, "GET")]
#[case("a success without an id", success_without_id, "GET")]
#[case("a surplus answer before that to a HEAD request", surplus_before_head, "HEAD")]
#[case("another request's answer", another_answer, "GET")]
#[case("a truncated answer", truncated_answer, "GET")]
#[case("a reset", reset, "GET")]
#[case("silence", no_answer, "GET")]
#[case("an unannounced close", unannounced_close, "GET")]
fn a_request_that_may_have_run_is_neither_repeated_nor_refused_as_not_executed(
    #[case] hazard: &str,
    #[case] script: Script,
    #[case] method: &str,
) {
    run_on_one_thread(async {
        let proxy = proxy(script).await;
        let (head, body) = proxy.request(method, "/once/x", "once").await.expect("an answer");
        assert!(proxy.ran("once") <= 1, "{hazard}: executed twice");
        if proxy.ran("once") > 0 {
            assert!(
                !matches!(head.status, 408 | 421 | 429 | 503),
                "{hazard}: refused as not executed, although it was"
            );
        }
        match head.seal.as_deref() {
            Some(seal) => {
                assert_eq!((seal, head.status), ("s.once", 200), "{hazard}");
                assert_eq!(head.attempt_id.as_deref(), Some("once"), "{hazard}");
                assert_eq!(body, if method == "HEAD" { "" } else { "once" }.as_bytes(), "{hazard}");
            }
            None => assert!(matches!(head.status, 502..=504), "{hazard}: {}", head.status),
        }
    });
}

#[test]
fn an_idempotent_request_is_sent_again_after_a_reset() {
    run_on_one_thread(async {
        let proxy = proxy(reset).await;
        let (head, body) = proxy.request("GET", "/often/x", "often").await.expect("an answer");
        assert_eq!((head.status, body.as_slice()), (200, "often".as_bytes()));
        assert_eq!(proxy.arrived("often"), 2);
    });
}

#[test]
fn a_refused_request_is_served_by_a_second_send() {
    run_on_one_thread(async {
        let proxy = proxy(duplicate_refusal).await;
        let (head, body) = proxy.request("GET", "/once/x", "once").await.expect("an answer");
        assert_eq!((head.status, body.as_slice()), (200, "once".as_bytes()));
        assert_eq!((proxy.arrived("once"), proxy.ran("once")), (2, 1));
    });
}

/// Two requests in one write on one connection get their own answers, in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    run_on_one_thread(async {
        let proxy = proxy(|received, _| normal_answer(received)).await;
        let mut stream = TcpStream::connect(proxy.data_plane).await.unwrap();
        let request = |id: &str, more: &str| {
            format!("GET /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n{more}\r\n")
        };
        let both = request("p1", "") + &request("p2", "Connection: close\r\n");
        stream.write_all(both.as_bytes()).await.unwrap();
        let mut all = Vec::new();
        stream.read_to_end(&mut all).await.unwrap();
        for id in ["p1", "p2"] {
            let Read::Done { value, used } = answer_head(&all, 16 << 10, false) else { panic!("no answer") };
            assert_eq!((value.attempt_id.as_deref(), value.status), (Some(id), 200));
            assert_eq!(&all[used..used + 2], id.as_bytes());
            all.drain(..used + 2);
        }
        assert!(all.is_empty());
    });
}

/// An incomplete or contradictory request is not sent to a worker: its body is truncated, or its length and
/// its chunks disagree.
#[rstest]
#[case("Content-Length: 9\r\n\r\nfour")]
#[case("Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n")]
#[case("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfour\r\n0\r\n\r\n")]
#[case("Content-Length: 4\r\nContent-Length: 5\r\n\r\nfours")]
fn an_incomplete_request_is_not_sent_to_a_worker(#[case] rest: &str) {
    run_on_one_thread(async {
        let proxy = proxy(|received, _| normal_answer(received)).await;
        let mut stream = TcpStream::connect(proxy.data_plane).await.unwrap();
        let text = format!("POST /often/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: part\r\n{rest}");
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all).await;
        assert!(all.is_empty() || all.starts_with(b"HTTP/1.1 400 "));
        assert_eq!(proxy.arrived("part"), 0);
    });
}
