//! The platform's stand-in by itself: what PROTOCOL.md says of it, over real sockets.

use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tindock_standins::ledger::Ledger;
use tindock_standins::loopback::Net;
use tindock_standins::platform::{Function, Host, InjectedFault, Options, Platform};
use tindock_standins::wire::{call, request, Response};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};

const SOON: Duration = Duration::from_secs(3);

/// A platform with two hosts of 1000 MB, and functions of 400 MB that start in about 100 ms.
struct Place {
    platform: Platform,
    ledger: Ledger,
    _net: Net,
}

async fn place(adjust: impl FnOnce(&mut Options)) -> Place {
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
    Place { platform, ledger, _net: net }
}

impl Place {
    async fn say(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let bytes = request(method, path, &[("Host", "platform")], body.as_bytes());
        let answer = call(self.platform.address(), SOON, &bytes, method).await.expect("an answer");
        (answer.status, String::from_utf8(answer.body).expect("text"))
    }

    async fn begin(&self, service: &str, host: &str, nonce: &str) -> (u16, String) {
        let body = format!(r#"{{"service":"{service}","worker_id":"{host}","request_nonce":"{nonce}"}}"#);
        self.say("POST", "/v1/begin", &body).await
    }

    /// A worker that has started: its id and address.
    async fn worker(&self, nonce: &str) -> (String, SocketAddr) {
        let (status, text) = self.begin("f", "w-0", nonce).await;
        assert_eq!(status, 200, "{text}");
        let (id, at) = (field(&text, "instance_id"), field(&text, "address").parse().expect("an address"));
        until(|| self.platform.instances().iter().any(|i| i.instance_id == id && i.ready)).await;
        (id, at)
    }

    async fn list(&self) -> String {
        self.say("GET", "/instances", "").await.1
    }

    /// Until the list has this, or has it no longer.
    async fn listed(&self, text: &str, wanted: bool) {
        let end = Instant::now() + SOON;
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

async fn until(mut so: impl FnMut() -> bool) {
    let end = Instant::now() + SOON;
    while !so() {
        assert!(Instant::now() < end, "not in time");
        sleep(Duration::from_millis(5)).await;
    }
}

async fn ask(at: SocketAddr, headers: &[(&str, &str)]) -> Option<Response> {
    let mut all = vec![("Host", "h.example")];
    all.extend_from_slice(headers);
    call(at, SOON, &request("GET", "/a/1", &all, b""), "GET").await
}

#[rstest]
#[case::unknown_service(r#"{"service":"x","worker_id":"w-0","request_nonce":"n"}"#, 400)]
#[case::no_nonce(r#"{"service":"f","worker_id":"w-0"}"#, 400)]
#[case::no_worker(r#"{"service":"f","request_nonce":"n"}"#, 400)]
#[case::empty_nonce(r#"{"service":"f","worker_id":"w-0","request_nonce":""}"#, 400)]
#[case::no_json("{", 400)]
#[case::unknown_worker(r#"{"service":"f","worker_id":"w-9","request_nonce":"n"}"#, 409)]
#[case::fine(r#"{"service":"f","worker_id":"w-0","request_nonce":"n"}"#, 200)]
#[tokio::test]
async fn a_start_is_checked(#[case] body: &str, #[case] status: u16) {
    let place = place(|_| ()).await;
    assert_eq!(place.say("POST", "/v1/begin", body).await.0, status);
    assert_eq!(place.platform.counts().started, usize::from(status == 200));
}

#[tokio::test]
async fn a_nonce_already_seen_gives_the_same_worker_for_its_service() {
    let place = place(|_| ()).await;
    let first = place.begin("f", "w-0", "n").await;
    assert_eq!(place.begin("f", "w-1", "n").await, first);
    let other = place.begin("g", "w-0", "n").await;
    assert_ne!(field(&other.1, "instance_id"), field(&first.1, "instance_id"));
    assert_eq!(place.platform.counts().started, 2);
}

#[tokio::test]
async fn without_room_it_is_409_until_a_stop_frees_the_memory() {
    let place = place(|_| ()).await;
    let first = place.begin("f", "w-0", "1").await;
    assert_eq!(place.begin("f", "w-0", "2").await.0, 200);
    assert_eq!(place.begin("f", "w-0", "3").await.0, 409);
    let body = format!(r#"{{"instance_id":"{}"}}"#, field(&first.1, "instance_id"));
    assert_eq!(place.say("POST", "/v1/stop", &body).await.0, 200);
    until(|| place.platform.instances()[0].ended).await;
    assert_eq!(place.begin("f", "w-0", "3").await.0, 200);
    assert_eq!(place.say("POST", "/v1/stop", r#"{"instance_id":"i-none"}"#).await.0, 404);
}

#[tokio::test]
async fn calls_over_the_rate_get_429() {
    let place = place(|options| (options.duty_rate_s, options.rate_per_s) = (2.0, 1.0)).await;
    let mut begun = Vec::new();
    for n in 0..4 {
        begun.push(place.begin("f", "w-0", &n.to_string()).await.0);
    }
    assert_eq!(begun, [200, 200, 429, 429]);
    let lists = [place.say("GET", "/instances", "").await.0, place.say("GET", "/v1/workers", "").await.0];
    assert_eq!(lists, [200, 429]);
    assert_eq!(place.platform.counts().over_rate, 3);
}

#[tokio::test]
async fn a_worker_refuses_connections_and_is_not_listed_until_it_has_started() {
    let place = place(|_| ()).await;
    let (_, text) = place.begin("f", "w-0", "n").await;
    let at: SocketAddr = field(&text, "address").parse().expect("an address");
    let refused = TcpStream::connect(at).await.expect_err("it has not started");
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    assert!(!place.list().await.contains(&at.to_string()));
    until(|| place.platform.instances()[0].ready).await;
    assert!(TcpStream::connect(at).await.is_ok());
    place.listed(&at.to_string(), true).await;
}

#[rstest]
#[case::runs(&[("Attempt-Id", "a1")], 200, 1)]
#[case::another_instance(&[("Attempt-Id", "a1"), ("Target-Instance", "i-other")], 421, 0)]
#[case::no_id(&[], 400, 0)]
#[case::no_time(&[("Attempt-Id", "a1"), ("Deadline-Ms", "1")], 504, 1)]
#[tokio::test]
async fn what_has_not_run_says_so(
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
    #[case] runs: usize,
) {
    let place = place(|_| ()).await;
    let (_, at) = place.worker("n").await;
    let answer = ask(at, headers).await.expect("an answer");
    assert_eq!((answer.status, place.ledger.runs()), (status, runs));
    assert_eq!(answer.headers.get("not-executed").is_some(), runs == 0);
    assert_eq!(answer.headers.get("attempt-id").is_some(), !headers.is_empty());
    assert_eq!(answer.headers.get("server-seal").is_some(), status == 200);
}

#[tokio::test]
async fn over_its_capacity_a_worker_turns_away_and_over_its_connections_it_resets() {
    let place = place(|_| ()).await;
    let (id, at) = place.worker("n").await;
    let long = [("Attempt-Id", "a"), ("Target-Instance", &id), ("Standin-Work-Ms", "200")];
    let first = tokio::join!(ask(at, &long), ask(at, &long), async {
        until(|| place.ledger.runs() == 2).await;
        let third = ask(at, &long).await.expect("an answer");
        assert_eq!((third.status, third.headers.get("not-executed")), (503, Some("1")));
        let _fourth = TcpStream::connect(at).await.expect("it is taken");
        let _fifth = TcpStream::connect(at).await.expect("it is taken");
        assert!(ask(at, &long).await.is_none(), "more connections than it takes");
    });
    assert_eq!([first.0, first.1].map(|answer| answer.expect("an answer").status), [200, 200]);
    assert_eq!((place.platform.counts().full, place.ledger.runs()), (1, 2));
}

#[tokio::test]
async fn a_stopped_worker_ends_its_work_and_its_address_goes_to_another_later() {
    let place = place(|options| options.address_reuse = Duration::from_millis(100)).await;
    let (id, at) = place.worker("1").await;
    let headers = [("Attempt-Id", "a"), ("Standin-Work-Ms", "200")];
    let body = format!(r#"{{"instance_id":"{id}"}}"#);
    let (answer, ()) = tokio::join!(ask(at, &headers), async {
        until(|| place.ledger.runs() == 1).await;
        place.say("POST", "/v1/stop", &body).await;
        until(|| std::net::TcpStream::connect(at).is_err()).await;
    });
    assert_eq!(answer.expect("its work is ended").status, 200);
    until(|| place.platform.instances()[0].ended).await;
    assert_ne!(field(&place.begin("g", "w-0", "2").await.1, "address"), at.to_string());
    sleep(Duration::from_millis(110)).await;
    assert_eq!(field(&place.begin("g", "w-0", "3").await.1, "address"), at.to_string());
    place.listed(&id, false).await;
}

#[tokio::test]
async fn the_list_comes_in_pages_and_by_zone() {
    let place = place(|options| options.page = 2).await;
    for (host, nonce) in [("w-0", "1"), ("w-0", "2"), ("w-1", "3")] {
        assert_eq!(place.begin("f", host, nonce).await.0, 200);
    }
    place.listed(r#""next_token":"p-2""#, true).await;
    let (_, rest) = place.say("GET", "/instances?page_token=p-2", "").await;
    assert_eq!(rest.matches("instance_id").count(), 1);
    assert!(!rest.contains("p-"), "{rest}");
    assert_eq!(place.say("GET", "/instances?zone=b", "").await.1.matches("instance_id").count(), 1);
    assert_eq!(place.say("GET", "/instances?page_token=x", "").await.0, 400);
}

#[tokio::test]
async fn a_crashed_host_takes_its_workers_and_comes_back_empty() {
    let place = place(|_| ()).await;
    let (id, at) = place.worker("1").await;
    place.listed(&id, true).await;
    assert!(place.platform.inject(InjectedFault::CrashHost("w-0".into(), Duration::from_millis(150))));
    assert_eq!(place.begin("f", "w-0", "2").await.0, 409);
    until(|| std::net::TcpStream::connect(at).is_err()).await;
    place.listed(&id, true).await;
    sleep(Duration::from_millis(60)).await;
    assert!(!place.say("GET", "/v1/workers", "").await.1.contains("w-0"));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(place.begin("f", "w-0", "2").await.0, 200);
}

#[tokio::test]
async fn a_draining_host_takes_nothing_new_and_its_workers_serve_on_for_a_while() {
    let place = place(|_| ()).await;
    let (id, at) = place.worker("1").await;
    let (status, _) = place.say("POST", "/standin/drain-host?name=w-0&back=60", "").await;
    assert_eq!(status, 200);
    assert_eq!(place.begin("f", "w-0", "2").await.0, 409);
    place.listed(r#""oper_state":"draining""#, true).await;
    let answer = ask(at, &[("Attempt-Id", "a"), ("Target-Instance", &id)]).await.expect("it serves on");
    assert_eq!((answer.status, answer.headers.closes()), (200, true));
    place.listed(&id, false).await;
    assert!(ask(at, &[("Attempt-Id", "b")]).await.is_none());
}

#[tokio::test]
async fn a_late_list_shows_what_was_long_ago() {
    let place = place(|_| ()).await;
    let long = Duration::from_millis(300);
    assert!(place.platform.inject(InjectedFault::LateList(long * 10, long)));
    let (id, _) = place.worker("1").await;
    sleep(Duration::from_millis(60)).await;
    assert!(!place.list().await.contains(&id));
    place.listed(&id, true).await;
}

#[tokio::test]
async fn lost_and_garbled_answers_have_run() {
    let place = place(|_| ()).await;
    let (_, at) = place.worker("1").await;
    place.platform.inject(InjectedFault::LoseAnswers(1.0));
    assert!(ask(at, &[("Attempt-Id", "a")]).await.is_none());
    place.platform.inject(InjectedFault::LoseAnswers(0.0));
    place.platform.inject(InjectedFault::Garble(1.0));
    assert!(ask(at, &[("Attempt-Id", "b")]).await.is_none());
    assert_eq!(place.ledger.runs(), 2);
}
