//! The mock platform on its own, over real sockets: it must behave as PROTOCOL.md specifies.

use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tindock_mock_services::ledger::Ledger;
use tindock_mock_services::loopback::Net;
use tindock_mock_services::platform::{Function, Host, InjectedFault, Options, Platform};
use tindock_mock_services::wire::{call, request, Response};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

const TIMEOUT: Duration = Duration::from_secs(3);

/// A platform with two hosts of 1000 MB, and functions of 400 MB that start in about 100 ms.
struct Setup {
    platform: Platform,
    ledger: Ledger,
    _net: Net,
}

async fn setup(adjust: impl FnOnce(&mut Options)) -> Setup {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let net =
        Net::free(std::process::id() + (NEXT.fetch_add(1, Ordering::Relaxed) << 16)).expect("free addresses");
    let function = |name: &str| Function {
        name: name.into(),
        memory_mb: 400,
        boot: Duration::from_millis(100),
        max_inflight: 2,
        max_concurrency: 4,
        work: Duration::from_millis(20),
        cold: Duration::ZERO,
    };
    let host = |n: usize| Host {
        name: format!("w-{n}"),
        zone: ["a", "b"][n % 2].into(),
        ip: net.host(n),
        memory_mb: 1000,
    };
    let mut options =
        Options::new(net.provider(), vec![function("f"), function("g")], vec![host(0), host(1)]);
    options.max_lag = Duration::from_millis(50);
    options.rate_per_s = 1000.0;
    options.drain = Duration::from_millis(300);
    adjust(&mut options);
    let ledger = Ledger::default();
    let platform = Platform::start(options, ledger.clone()).await.expect("a platform");
    Setup { platform, ledger, _net: net }
}

impl Setup {
    async fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let bytes = request(method, path, &[("Host", "platform")], body.as_bytes());
        let response = call(self.platform.address(), TIMEOUT, &bytes, method).await.expect("a response");
        (response.status, String::from_utf8(response.body).expect("text"))
    }

    async fn begin(&self, service: &str, host: &str, nonce: &str) -> (u16, String) {
        let body = format!(r#"{{"service":"{service}","worker_id":"{host}","request_nonce":"{nonce}"}}"#);
        self.call("POST", "/v1/begin", &body).await
    }

    /// Starts a worker and waits until it is ready: its id and address.
    async fn worker(&self, nonce: &str) -> (String, SocketAddr) {
        let (status, text) = self.begin("f", "w-0", nonce).await;
        assert_eq!(status, 200, "{text}");
        let (id, at) = (field(&text, "instance_id"), field(&text, "address").parse().expect("an address"));
        until(|| self.platform.instances().iter().any(|i| i.instance_id == id && i.ready)).await;
        (id, at)
    }

    async fn list(&self) -> String {
        self.call("GET", "/instances", "").await.1
    }

    /// Waits until the list contains this text, or no longer contains it.
    async fn wait_listed(&self, text: &str, wanted: bool) {
        let end = Instant::now() + TIMEOUT;
        while self.list().await.contains(text) != wanted {
            assert!(Instant::now() < end, "{text} in the list: still not {wanted}");
            sleep(Duration::from_millis(10)).await;
        }
    }
}

fn field(text: &str, name: &str) -> String {
    let from = text.find(&format!("\"{name}\":\"")).expect("the field") + name.len() + 4;
    text[from..].split('"').next().expect("its value").to_string()
}

async fn until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not in time");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn send(at: SocketAddr, headers: &[(&str, &str)]) -> Option<Response> {
    let mut all = vec![("Host", "h.example")];
    all.extend_from_slice(headers);
    call(at, TIMEOUT, &request("GET", "/a/1", &all, b""), "GET").await
}

#[rstest]
#[case::unknown_service(r#"{"service":"x","worker_id":"w-0","request_nonce":"n"}"#, 400)]
#[case::no_nonce(r#"{"service":"f","worker_id":"w-0"}"#, 400)]
#[case::no_worker(r#"{"service":"f","request_nonce":"n"}"#, 400)]
#[case::empty_nonce(r#"{"service":"f","worker_id":"w-0","request_nonce":""}"#, 400)]
#[case::no_json("{", 400)]
#[case::unknown_worker(r#"{"service":"f","worker_id":"w-9","request_nonce":"n"}"#, 409)]
#[case::valid(r#"{"service":"f","worker_id":"w-0","request_nonce":"n"}"#, 200)]
#[tokio::test]
async fn an_invalid_start_is_refused(#[case] body: &str, #[case] status: u16) {
    let setup = setup(|_| ()).await;
    assert_eq!(setup.call("POST", "/v1/begin", body).await.0, status);
    assert_eq!(setup.platform.counts().started, usize::from(status == 200));
}

#[tokio::test]
async fn a_repeated_nonce_does_not_start_a_second_worker_of_the_service() {
    let setup = setup(|_| ()).await;
    let first = setup.begin("f", "w-0", "n").await;
    assert_eq!(setup.begin("f", "w-1", "n").await, first);
    let other = setup.begin("g", "w-0", "n").await;
    assert_ne!(field(&other.1, "instance_id"), field(&first.1, "instance_id"));
    assert_eq!(setup.platform.counts().started, 2);
}

#[tokio::test]
async fn a_start_without_free_memory_gets_409_until_a_stop_frees_it() {
    let setup = setup(|_| ()).await;
    let first = setup.begin("f", "w-0", "1").await;
    assert_eq!(setup.begin("f", "w-0", "2").await.0, 200);
    assert_eq!(setup.begin("f", "w-0", "3").await.0, 409);
    let body = format!(r#"{{"instance_id":"{}"}}"#, field(&first.1, "instance_id"));
    assert_eq!(setup.call("POST", "/v1/stop", &body).await.0, 200);
    until(|| setup.platform.instances()[0].ended).await;
    assert_eq!(setup.begin("f", "w-0", "3").await.0, 200);
    assert_eq!(setup.call("POST", "/v1/stop", r#"{"instance_id":"i-none"}"#).await.0, 404);
}

#[tokio::test]
async fn calls_over_the_rate_get_429() {
    let setup = setup(|options| (options.duty_rate_s, options.rate_per_s) = (2.0, 1.0)).await;
    let mut begun = Vec::new();
    for n in 0..4 {
        begun.push(setup.begin("f", "w-0", &n.to_string()).await.0);
    }
    assert_eq!(begun, [200, 200, 429, 429]);
    let lists = [setup.call("GET", "/instances", "").await.0, setup.call("GET", "/v1/workers", "").await.0];
    assert_eq!(lists, [200, 429]);
    assert_eq!(setup.platform.counts().over_rate, 3);
}

#[tokio::test]
async fn a_worker_refuses_connections_and_is_not_listed_until_it_has_started() {
    let setup = setup(|_| ()).await;
    let (_, text) = setup.begin("f", "w-0", "n").await;
    let at: SocketAddr = field(&text, "address").parse().expect("an address");
    let refused = TcpStream::connect(at).await.expect_err("it has not started");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    assert!(!setup.list().await.contains(&at.to_string()));
    until(|| setup.platform.instances()[0].ready).await;
    assert!(TcpStream::connect(at).await.is_ok());
    setup.wait_listed(&at.to_string(), true).await;
}

#[rstest]
#[case::runs(&[("Attempt-Id", "a1")], 200, 1)]
#[case::for_another_instance(&[("Attempt-Id", "a1"), ("Target-Instance", "i-other")], 421, 0)]
#[case::no_attempt_id(&[], 400, 0)]
#[case::deadline_too_short(&[("Attempt-Id", "a1"), ("Deadline-Ms", "1")], 504, 1)]
#[tokio::test]
async fn only_responses_to_requests_that_did_not_run_have_not_executed(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] runs: usize,
) {
    let setup = setup(|_| ()).await;
    let (_, at) = setup.worker("n").await;
    let response = send(at, headers).await.expect("a response");
    assert_eq!((response.status, setup.ledger.runs()), (status, runs));
    assert_eq!(response.headers.get("not-executed").is_some(), runs == 0);
    assert_eq!(response.headers.get("attempt-id").is_some(), !headers.is_empty());
    assert_eq!(response.headers.get("server-seal").is_some(), status == 200);
}

#[tokio::test]
async fn a_full_worker_answers_503_and_resets_connections_over_its_limit() {
    let setup = setup(|_| ()).await;
    let (id, at) = setup.worker("n").await;
    let long = [("Attempt-Id", "a"), ("Target-Instance", &id), ("Standin-Work-Ms", "200")];
    let first = tokio::join!(send(at, &long), send(at, &long), async {
        until(|| setup.ledger.runs() == 2).await;
        let third = send(at, &long).await.expect("a response");
        assert_eq!((third.status, third.headers.get("not-executed")), (503, Some("1")));
        let _fourth = TcpStream::connect(at).await.expect("it is accepted");
        let _fifth = TcpStream::connect(at).await.expect("it is accepted");
        assert!(send(at, &long).await.is_none(), "a connection over the limit was served");
    });
    assert_eq!([first.0, first.1].map(|response| response.expect("a response").status), [200, 200]);
    assert_eq!((setup.platform.counts().full, setup.ledger.runs()), (1, 2));
}

#[tokio::test]
async fn a_stopped_worker_completes_its_request_and_its_address_is_reused_after_a_delay() {
    let setup = setup(|options| options.address_reuse = Duration::from_millis(100)).await;
    let (id, at) = setup.worker("1").await;
    let headers = [("Attempt-Id", "a"), ("Standin-Work-Ms", "200")];
    let body = format!(r#"{{"instance_id":"{id}"}}"#);
    let (response, ()) = tokio::join!(send(at, &headers), async {
        until(|| setup.ledger.runs() == 1).await;
        setup.call("POST", "/v1/stop", &body).await;
        until(|| std::net::TcpStream::connect(at).is_err()).await;
    });
    assert_eq!(response.expect("it completes the request").status, 200);
    until(|| setup.platform.instances()[0].ended).await;
    assert_ne!(field(&setup.begin("g", "w-0", "2").await.1, "address"), at.to_string());
    sleep(Duration::from_millis(110)).await;
    assert_eq!(field(&setup.begin("g", "w-0", "3").await.1, "address"), at.to_string());
    setup.wait_listed(&id, false).await;
}

#[tokio::test]
async fn the_list_is_paged_and_filtered_by_zone() {
    let setup = setup(|options| options.page = 2).await;
    for (host, nonce) in [("w-0", "1"), ("w-0", "2"), ("w-1", "3")] {
        assert_eq!(setup.begin("f", host, nonce).await.0, 200);
    }
    setup.wait_listed(r#""next_token":"p-2""#, true).await;
    let (_, rest) = setup.call("GET", "/instances?page_token=p-2", "").await;
    assert_eq!(rest.matches("instance_id").count(), 1);
    assert!(!rest.contains("p-"), "{rest}");
    assert_eq!(setup.call("GET", "/instances?zone=b", "").await.1.matches("instance_id").count(), 1);
    assert_eq!(setup.call("GET", "/instances?page_token=x", "").await.0, 400);
}

#[tokio::test]
async fn a_crashed_host_loses_its_workers_and_accepts_starts_when_it_is_up_again() {
    let setup = setup(|_| ()).await;
    let (id, at) = setup.worker("1").await;
    setup.wait_listed(&id, true).await;
    assert!(setup.platform.inject(InjectedFault::CrashHost("w-0".into(), Duration::from_millis(150))));
    assert_eq!(setup.begin("f", "w-0", "2").await.0, 409);
    until(|| std::net::TcpStream::connect(at).is_err()).await;
    setup.wait_listed(&id, true).await;
    sleep(Duration::from_millis(60)).await;
    assert!(!setup.call("GET", "/v1/workers", "").await.1.contains("w-0"));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(setup.begin("f", "w-0", "2").await.0, 200);
}

#[tokio::test]
async fn a_draining_host_refuses_starts_and_its_workers_serve_until_the_drain_ends() {
    let setup = setup(|_| ()).await;
    let (id, at) = setup.worker("1").await;
    let (status, _) = setup.call("POST", "/standin/drain-host?name=w-0&back=60", "").await;
    assert_eq!(status, 200);
    assert_eq!(setup.begin("f", "w-0", "2").await.0, 409);
    setup.wait_listed(r#""oper_state":"draining""#, true).await;
    let response = send(at, &[("Attempt-Id", "a"), ("Target-Instance", &id)]).await.expect("it still serves");
    assert_eq!((response.status, response.headers.closes()), (200, true));
    setup.wait_listed(&id, false).await;
    assert!(send(at, &[("Attempt-Id", "b")]).await.is_none());
}

#[tokio::test]
async fn a_delayed_list_does_not_show_a_new_worker_yet() {
    let setup = setup(|_| ()).await;
    let long = Duration::from_millis(300);
    assert!(setup.platform.inject(InjectedFault::LateList(long * 10, long)));
    let (id, _) = setup.worker("1").await;
    sleep(Duration::from_millis(60)).await;
    assert!(!setup.list().await.contains(&id));
    setup.wait_listed(&id, true).await;
}

#[tokio::test]
async fn requests_whose_responses_are_lost_or_garbled_have_run() {
    let setup = setup(|_| ()).await;
    let (_, at) = setup.worker("1").await;
    setup.platform.inject(InjectedFault::LoseAnswers(1.0));
    assert!(send(at, &[("Attempt-Id", "a")]).await.is_none());
    setup.platform.inject(InjectedFault::LoseAnswers(0.0));
    setup.platform.inject(InjectedFault::Garble(1.0));
    assert!(send(at, &[("Attempt-Id", "b")]).await.is_none());
    assert_eq!(setup.ledger.runs(), 2);
}
