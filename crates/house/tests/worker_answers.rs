//! Hazards of an upstream connection, over sockets: a whole proxy with a stand-in worker that answers from a script. The
//! model beside the deciders (`crates/upstream/tests`) plays the same on simulated time; here the carrying is tested.

use rstest::rstest;
use std::cell::RefCell;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_catalogue::Catalogue;
use tindock_folio::{answer_head, request_head, AnswerHead, Body, Framing, Read};
use tindock_house::messages::{AgentMessage, Listed, ProxyInfo};
use tindock_house::settings::Settings;
use tindock_house::transport::frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request as the worker received it: the connection, its number on that connection, the id and the method.
struct Received {
    request_on_connection: usize,
    id: String,
    method: String,
}

/// What the worker does with it: the bytes it sends, whether it runs the request, whether it then closes.
struct Act {
    bytes: Vec<u8>,
    runs: bool,
    closes: bool,
}

type Script = fn(&Received, usize) -> Act;
type Ran = Rc<RefCell<Vec<String>>>;

fn in_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async { tokio::time::timeout(Duration::from_secs(60), test).await.unwrap() };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn host(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, n))
}

/// Carries out the script; `ran` has the ids of the requests that were run, `arrivals` of those that came.
async fn worker(door: TcpListener, script: Script, ran: Ran, arrivals: Ran) {
    loop {
        let (mut stream, _) = door.accept().await.unwrap();
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
                let act = script(&received, earlier);
                if act.runs {
                    ran.borrow_mut().push(id);
                }
                if stream.write_all(&act.bytes).await.is_err() || act.closes {
                    return;
                }
            }
        });
    }
}

struct Proxy {
    front: SocketAddr,
    ran: Ran,
    arrivals: Ran,
    _link: TcpStream,
}

/// A proxy with one worker: routes `/once/` (not repeatable) and `/often/`, three workers a try.
async fn proxy(script: Script) -> Proxy {
    let page = TcpListener::bind((host(2), 0)).await.unwrap();
    let port = page.local_addr().unwrap().port();
    let settings = format!(
        "node_name = \"edge-1\"\nip_address = \"127.0.0.2\"\nzone = \"a\"\nregion = \"r\"\n\
         ephemeral_ports = [{}, {port}]\n[bindings]\ndata_plane = \"127.0.0.4:{port}\"\n\
         readiness = \"127.0.0.3:{port}\"\n",
        port - 2
    );
    let settings = Settings::read(&settings).unwrap();
    tokio::task::spawn_local(async move { tindock_house::proxy::run(settings).await.unwrap() });
    let door = TcpListener::bind((host(1), 0)).await.unwrap();
    let at = door.local_addr().unwrap();
    let (ran, arrivals) = (Ran::default(), Ran::default());
    tokio::task::spawn_local(worker(door, script, ran.clone(), arrivals.clone()));
    let (mut link, _) = page.accept().await.unwrap();
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
        lends: true,
        replaces: None,
    };
    for told in [
        AgentMessage::Proxies(vec![ProxyInfo { ip: host(2), zone: "a".into(), incarnation: 1 }]),
        AgentMessage::Configuration(Catalogue::read(text.as_bytes()).unwrap()),
        AgentMessage::Instances { entries: vec![listed], ended: Vec::new(), complete: true },
    ] {
        link.write_all(&frame(&told)).await.unwrap();
    }
    let proxy = Proxy { front: SocketAddr::new(host(4), port), ran, arrivals, _link: link };
    // Until its agent's news has arrived the proxy refuses.
    while proxy.ask("GET", "/often/", "warm-up").await.is_none_or(|(head, _)| head.status != 200) {
        tokio::task::yield_now().await;
    }
    proxy
}

impl Proxy {
    /// The answer as a client sees it; None if the connection ends before it is whole.
    async fn ask(&self, method: &str, path: &str, id: &str) -> Option<(AnswerHead, Vec<u8>)> {
        let mut stream = TcpStream::connect(self.front).await.ok()?;
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
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: s.{id}\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn refusal(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

fn runs(bytes: Vec<u8>) -> Act {
    Act { bytes, runs: true, closes: false }
}

fn well(received: &Received) -> Act {
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

/// A refusal that bears no id, before the answer to a request on a connection that has carried another.
fn refusal_without_id(received: &Received, _: usize) -> Act {
    if received.request_on_connection == 0 || received.id == "warm-up" {
        return well(received);
    }
    let mut bytes = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
    bytes.extend(well(received).bytes);
    runs(bytes)
}

/// The first send is turned away; before the answer to the second comes a copy of that refusal.
fn refusal_twice(received: &Received, earlier: usize) -> Act {
    if received.id == "warm-up" {
        return well(received);
    }
    if earlier == 0 {
        return Act { bytes: refusal(&received.id), runs: false, closes: false };
    }
    let copy = if received.request_on_connection > 0 { refusal(&received.id) } else { Vec::new() };
    runs([copy, well(received).bytes].concat())
}

/// A failure without a length, cut short by the end of its connection.
fn failure_cut(received: &Received, _: usize) -> Act {
    if received.id == "warm-up" {
        return well(received);
    }
    let id = &received.id;
    let text = format!("HTTP/1.1 500 Broke\r\nAttempt-Id: {id}\r\nServer-Seal: s.{id}\r\n\r\nhalf of i");
    Act { bytes: text.into_bytes(), runs: true, closes: true }
}

/// A success that bears a seal and the mark of a refusal, and no id.
fn success_without_id(received: &Received, _: usize) -> Act {
    if received.id == "warm-up" {
        return well(received);
    }
    let text = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nold";
    Act { bytes: text.into(), runs: true, closes: true }
}

/// Before the answer to a HEAD comes a second answer to the request before it, whose body looks like an answer.
fn surplus_before_head(received: &Received, _: usize) -> Act {
    if received.method != "HEAD" {
        return well(received);
    }
    let forged = format!(
        "HTTP/1.1 404 Forged\r\nAttempt-Id: {}\r\nServer-Seal: forged\r\nContent-Length: 0\r\n\r\n",
        received.id
    );
    runs([sealed("warm-up", &forged), well(received).bytes].concat())
}

/// The answer of another request and nothing else.
fn another_answer(received: &Received, _: usize) -> Act {
    match received.id.as_str() {
        "warm-up" => well(received),
        _ => Act { bytes: sealed("another", "another"), runs: true, closes: true },
    }
}

/// The end of the connection in the middle of the answer.
fn answer_cut(received: &Received, _: usize) -> Act {
    let mut act = well(received);
    if received.id != "warm-up" {
        act.bytes.pop();
        act.closes = true;
    }
    act
}

/// Nothing, and the end of the connection.
fn reset(received: &Received, earlier: usize) -> Act {
    match (received.id.as_str(), earlier) {
        ("warm-up", _) | ("often", 1..) => well(received),
        _ => Act { bytes: Vec::new(), runs: true, closes: true },
    }
}

/// Nothing.
fn silence(received: &Received, _: usize) -> Act {
    match received.id.as_str() {
        "warm-up" => well(received),
        _ => runs(Vec::new()),
    }
}

/// The connection is announced as kept, and closed after each answer.
fn closes_unsaid(received: &Received, _: usize) -> Act {
    Act { closes: true, ..well(received) }
}

/// Not repeatable: at most one run, no promise once it has run, nothing of another request.
#[rstest]
#[case("a refusal without an id", refusal_without_id, "GET")]
#[case("a refusal that comes twice", refusal_twice, "GET")]
#[case("a failure cut short", failure_cut, "GET")]
#[case("a success without an id", success_without_id, "GET")]
#[case("a surplus answer before that to a HEAD", surplus_before_head, "HEAD")]
#[case("another request's answer", another_answer, "GET")]
#[case("an answer cut short", answer_cut, "GET")]
#[case("a reset", reset, "GET")]
#[case("silence", silence, "GET")]
#[case("a close unsaid", closes_unsaid, "GET")]
fn what_may_have_run_is_not_repeated_nor_promised(
    #[case] hazard: &str,
    #[case] script: Script,
    #[case] method: &str,
) {
    in_one_thread(async {
        let proxy = proxy(script).await;
        let (head, body) = proxy.ask(method, "/once/x", "once").await.expect("an answer");
        assert!(proxy.ran("once") <= 1, "{hazard}: run twice");
        if proxy.ran("once") > 0 {
            assert!(!matches!(head.status, 408 | 421 | 429 | 503), "{hazard}: promised though it has run");
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
fn a_repeatable_request_goes_to_a_worker_again_after_a_reset() {
    in_one_thread(async {
        let proxy = proxy(reset).await;
        let (head, body) = proxy.ask("GET", "/often/x", "often").await.expect("an answer");
        assert_eq!((head.status, body.as_slice()), (200, "often".as_bytes()));
        assert_eq!(proxy.arrived("often"), 2);
    });
}

#[test]
fn a_request_turned_away_is_served_by_a_second_send() {
    in_one_thread(async {
        let proxy = proxy(refusal_twice).await;
        let (head, body) = proxy.ask("GET", "/once/x", "once").await.expect("an answer");
        assert_eq!((head.status, body.as_slice()), (200, "once".as_bytes()));
        assert_eq!((proxy.arrived("once"), proxy.ran("once")), (2, 1));
    });
}

/// Two requests in one write, on one connection: each has its own answer, in their order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    in_one_thread(async {
        let proxy = proxy(|received, _| well(received)).await;
        let mut stream = TcpStream::connect(proxy.front).await.unwrap();
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

/// A request of which a part has come is sent to nobody: its body is cut, or its length and its chunks disagree.
#[rstest]
#[case("Content-Length: 9\r\n\r\nfour")]
#[case("Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n")]
#[case("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfour\r\n0\r\n\r\n")]
#[case("Content-Length: 4\r\nContent-Length: 5\r\n\r\nfours")]
fn a_request_in_part_is_sent_to_nobody(#[case] rest: &str) {
    in_one_thread(async {
        let proxy = proxy(|received, _| well(received)).await;
        let mut stream = TcpStream::connect(proxy.front).await.unwrap();
        let text = format!("POST /often/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: part\r\n{rest}");
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all).await;
        assert!(all.is_empty() || all.starts_with(b"HTTP/1.1 400 "));
        assert_eq!(proxy.arrived("part"), 0);
    });
}
