//! CPU time of a proxy per request: of each part in memory, and in total over loopback sockets.
//!
//!     cargo build --locked --profile system -p tindock-system-processes --example proxy_cost
//!     taskset -c 2 target/system/examples/proxy_cost parts
//!     target/system/examples/proxy_cost sockets

use std::hint::black_box;
use std::io::{Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use tindock_configuration::{Catalogue, Finder};
use tindock_http1::{
    answer_head, request_head, write_answer, write_request, AnswerHead, Body, Framing, Read, RequestHead,
};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::Ended;
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};
use tindock_system_processes::budget::Budget;
use tindock_system_processes::messages::{AgentMessage, Listed, ProxyInfo};
use tindock_system_processes::settings::Settings;
use tindock_system_processes::transport::frame;

const SERVICES: usize = 160;
const INSTANCES: usize = 10;
const SLOTS: usize = 4;
const ROUNDS: usize = 11;
const ID: &str = "4f0c2d1e-77aa-4c1b-9d5e-0a1b2c3d4e5f";
const INSTANCE: &str = "i-080-3";

fn configuration() -> Catalogue {
    let all = |text: &dyn Fn(usize) -> String| (0..SERVICES).map(text).collect::<Vec<_>>().join(",");
    let route = |n| {
        format!(
            r#"{{"hostname":"h{}.example","path_prefix":"/v1/p{n}/","route_type":"idempotent",
                 "timeout_ms":5000,"target_latency_ms":800,"priority":1,"service":"s{n:03}"}}"#,
            n % 12
        )
    };
    let service = |n| format!(r#"{{"name":"s{n:03}","boot_ms":1000,"max_inflight":{SLOTS}}}"#);
    let text = format!(r#"{{"revision":1,"routes":[{}],"services":[{}]}}"#, all(&route), all(&service));
    Catalogue::read(text.as_bytes()).expect("a valid configuration")
}

fn request() -> Vec<u8> {
    let body = "q".repeat(1024);
    format!(
        "POST /v1/p80/items?limit=20 HTTP/1.1\r\nHost: h8.example\r\nUser-Agent: probe/1.0\r\nAccept: */*\r\n\
         Accept-Encoding: identity\r\nContent-Type: application/json\r\nX-Trace: 00-a1-b2-01\r\n\
         Deadline-Ms: 2000\r\nAttempt-Id: {ID}\r\nContent-Length: 1024\r\n\r\n{body}"
    )
    .into_bytes()
}

fn answer() -> Vec<u8> {
    let body = "a".repeat(2048);
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Seal: 9f86d081884c7d65\r\n\
         Attempt-Id: {ID}\r\nInstance-Id: {INSTANCE}\r\n\
         Keep-Alive: timeout=5\r\nContent-Length: 2048\r\n\r\n{body}"
    )
    .into_bytes()
}

fn read_request(bytes: &[u8]) -> (RequestHead, Vec<u8>) {
    let Read::Done { value, used } = request_head(bytes, 16 << 10) else { panic!("no head") };
    let mut body = Body::new(value.framing, 1 << 18);
    assert!(matches!(body.push(&bytes[used..]), Read::Done { .. }));
    (value, body.bytes())
}

/// Reads and checks an answer as `workers` does.
fn read_answer(bytes: &[u8]) -> (AnswerHead, Vec<u8>) {
    let Read::Done { value, used } = answer_head(bytes, 64 << 10, false) else { panic!("no head") };
    let mut body = Body::new(value.framing, 1 << 24);
    assert!(matches!(body.push(&bytes[used..]), Read::Done { .. }) && value.framing != Framing::UntilClose);
    assert!(value.attempt_id.as_deref() == Some(ID) && value.seal.is_some() && !value.encoded);
    (value, body.bytes())
}

fn allocator(catalogue: &Catalogue) -> Allocator {
    let me = SocketAddr::from(([10, 0, 0, 1], 7301));
    let mut slots = Allocator::new(me, "a".into(), 1, 1, Duration::ZERO);
    let member = Member { at: me, zone: "a".into(), region: "r".into(), incarnation: 1 };
    slots.set_members(Duration::ZERO, vec![member]);
    let function = |name: &String| Function {
        id: FunctionId::of(name),
        name: name.clone(),
        slots: SLOTS,
        boot: Duration::from_secs(1),
    };
    let functions = catalogue.services.iter().map(|s| function(&s.name)).collect();
    slots.set_functions(Duration::ZERO, functions);
    let entry = |n: usize| Entry {
        function_id: FunctionId::of(&format!("s{:03}", n / INSTANCES)),
        instance: format!("i-{:03}-{}", n / INSTANCES, n % INSTANCES),
        at: SocketAddr::from(([10, 0, 1, 1], 1024 + n as u16)),
        zone: "a".into(),
        ready: true,
        accepts_calls: true,
        since: Duration::ZERO,
    };
    slots.update_instances(Duration::ZERO, (0..SERVICES * INSTANCES).map(entry).collect(), &[]);
    slots
}

/// Median, minimum and maximum of the rounds, in µs per run.
fn time(count: u32, mut run: impl FnMut()) -> [f64; 3] {
    let mut rounds: Vec<f64> = (0..ROUNDS + 1)
        .map(|_| {
            let start = Instant::now();
            (0..count).for_each(|_| run());
            start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
        })
        .skip(1)
        .collect();
    rounds.sort_by(f64::total_cmp);
    [rounds[ROUNDS / 2], rounds[0], rounds[ROUNDS - 1]]
}

fn row(part: &str, [median, least, most]: [f64; 3]) {
    println!("| {part} | {median:.2} | {least:.2} to {most:.2} |");
}

fn parts() {
    const RUNS: u32 = 20_000;
    let catalogue = configuration();
    let finder = Finder::new(&catalogue);
    let (request_bytes, answer_bytes) = (request(), answer());
    let (head, body) = read_request(&request_bytes);
    let (back, text) = read_answer(&answer_bytes);
    let mut slots = allocator(&catalogue);
    let mut budget = Budget::new(0.2, 10.0, Duration::from_secs(10));
    let mut out = Vec::with_capacity(8192);
    let mut now = Duration::from_secs(3);
    println!("| part | µs, median of {ROUNDS} rounds of {RUNS} | least to most |\n| --- | --- | --- |");
    let read = time(RUNS, || drop(black_box(read_request(black_box(&request_bytes)))));
    row("request read: head and 1 KB body", read);
    let found = time(RUNS, || {
        let at = finder.find(black_box(&head.host), &head.target).expect("a route");
        let route = catalogue.routes[at].clone();
        let service = &catalogue.services[route.choose(7) as usize];
        now += Duration::from_micros(500);
        budget.record_request(now, FunctionId::of(&service.name));
        black_box(&route);
    });
    row("route, its function, the budget", found);
    let function = FunctionId::of("s080");
    let granted = time(RUNS, || {
        now += Duration::from_micros(500);
        let (aim, end) = (now + Duration::from_millis(800), now + Duration::from_secs(2));
        let call = slots.request_slot(now, function, 1, aim, end, "");
        let Some(Action::Dispatch { .. }) = slots.pull() else { panic!("no slot") };
        slots.settle(now + Duration::from_micros(400), call, Ended::Done);
        while slots.pull().is_some() {}
    });
    row("slot requested, granted, released (local allocator, 10 instances)", granted);
    let sent = time(RUNS, || {
        out.clear();
        write_request(&mut out, black_box(&head), &body, 1900, INSTANCE);
        black_box(&out);
    });
    row("request written", sent);
    let answer_read = time(RUNS, || drop(black_box(read_answer(black_box(&answer_bytes)))));
    row("answer read and checked: head and 2 KB body", answer_read);
    let written = time(RUNS, || {
        out.clear();
        write_answer(&mut out, black_box(&back), &text, false, false);
        black_box(&out);
    });
    row("answer written", written);
    let all = [read, found, granted, sent, answer_read, written];
    println!("| sum of the medians | {:.2} | |", all.iter().map(|part| part[0]).sum::<f64>());
    let swept = time(200, || {
        now += Duration::from_millis(25);
        slots.tick(now);
        while slots.pull().is_some() {}
    });
    row(&format!("besides requests, every 25 ms: timers of {SERVICES} functions"), swept);
    let report = time(20, || {
        black_box(tindock_system_processes::slot_report::slot_report(now, "n", "a", 1, &slots).to_json());
    });
    row(&format!("on an operator's request: slot report of {} instances", SERVICES * INSTANCES), report);
}

fn loopback(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, n))
}

/// CPU time of a thread in nanoseconds (Linux).
fn cpu(task: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{task}/schedstat")).unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse().ok()).expect("schedstat")
}

/// Answers each request on each connection as soon as it is complete.
fn worker(listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || {
            let (mut stream, mut buf) = (stream, Vec::new());
            let _ = stream.set_nodelay(true);
            let (mut part, text) = ([0; 8192], answer());
            while let Ok(n @ 1..) = stream.read(&mut part) {
                buf.extend_from_slice(&part[..n]);
                let Read::Done { value, used } = request_head(&buf, 16 << 10) else { continue };
                let mut body = Body::new(value.framing, 1 << 18);
                if matches!(body.push(&buf[used..]), Read::Done { .. }) {
                    buf.clear();
                    if stream.write_all(&text).is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// Sends one request after the other on one connection.
fn client(at: SocketAddr, count: u32) {
    let mut stream = TcpStream::connect(at).expect("the proxy");
    let _ = stream.set_nodelay(true);
    let (text, mut part) = (request(), [0; 8192]);
    for _ in 0..count {
        stream.write_all(&text).expect("the proxy");
        let mut buf = Vec::new();
        loop {
            let n = stream.read(&mut part).expect("an answer");
            assert!(n > 0, "closed");
            buf.extend_from_slice(&part[..n]);
            let Read::Done { value, used } = answer_head(&buf, 16 << 10, false) else { continue };
            assert_eq!(value.status, 200);
            if matches!(Body::new(value.framing, 1 << 18).push(&buf[used..]), Read::Done { .. }) {
                break;
            }
        }
    }
}

fn sockets() {
    let agent_listener = TcpListener::bind((loopback(2), 0)).expect("a port");
    let port = agent_listener.local_addr().expect("a port").port();
    let settings = format!(
        "node_name = \"edge-1\"\nip_address = \"127.0.0.2\"\nzone = \"a\"\nregion = \"r\"\n\
         ephemeral_ports = [{}, {port}]\n[bindings]\ndata_plane = \"127.0.0.4:{port}\"\n\
         readiness = \"127.0.0.3:{port}\"\n",
        port - 2
    );
    let (task_sender, task_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let task = std::fs::read_link("/proc/thread-self").expect("Linux");
        task_sender.send(task.to_string_lossy().into_owned()).expect("the main thread");
        let settings = Settings::read(&settings).expect("valid settings");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new()
            .block_on(&runtime, tindock_system_processes::proxy::run(settings))
            .expect("a proxy");
    });
    let task = task_receiver.recv().expect("the proxy's thread");
    let listener = TcpListener::bind((loopback(1), 0)).expect("a port");
    let at = listener.local_addr().expect("a port");
    std::thread::spawn(move || worker(listener));
    let (mut link, _) = agent_listener.accept().expect("the proxy");
    let mut from_agent = link.try_clone().expect("a handle");
    std::thread::spawn(move || std::io::copy(&mut from_agent, &mut std::io::sink()));
    let listed = |n: usize| Listed {
        instance: format!("i-{:03}-{}", n / INSTANCES, n % INSTANCES),
        service: format!("s{:03}", n / INSTANCES),
        at,
        zone: "a".into(),
        host: "m".into(),
        age: 60_000,
        ready: true,
        accepts_calls: true,
        replaces: None,
    };
    let proxy = ProxyInfo { ip: loopback(2), zone: "a".into(), incarnation: 1 };
    let entries = (0..SERVICES * INSTANCES).map(listed).collect();
    for message in [
        AgentMessage::Proxies(vec![proxy]),
        AgentMessage::Configuration(configuration()),
        AgentMessage::Instances { entries, ended: Vec::new(), complete: true },
    ] {
        link.write_all(&frame(&message)).expect("the proxy");
    }
    let ready = || {
        let mut stream = TcpStream::connect((loopback(3), port)).expect("the proxy");
        stream.write_all(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").expect("the proxy");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.contains(" 200 ")
    };
    while !ready() {}
    let data_plane = SocketAddr::new(loopback(4), port);
    println!(
        "| connections | µs of the proxy's thread per request, median of 5 rounds | least to most | \
         requests/s |"
    );
    println!("| --- | --- | --- | --- |");
    for connections in [1, 8, 32] {
        let count = 40_000 / connections;
        let mut rounds: Vec<(f64, f64)> = (0..6)
            .map(|_| {
                let (before, start) = (cpu(&task), Instant::now());
                std::thread::scope(|scope| {
                    (0..connections).for_each(|_| drop(scope.spawn(|| client(data_plane, count))));
                });
                let all = f64::from(connections * count);
                ((cpu(&task) - before) / 1e3 / all, all / start.elapsed().as_secs_f64())
            })
            .skip(1)
            .collect();
        rounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (median, least, most) = (rounds[2], rounds[0].0, rounds[4].0);
        println!("| {connections} | {:.1} | {least:.1} to {most:.1} | {:.0} |", median.0, median.1);
    }
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("parts") => parts(),
        Some("sockets") => sockets(),
        _ => eprintln!("proxy_cost parts|sockets"),
    }
}
