//! The slot report: of a whole proxy over sockets, with an agent, a worker and clients simulated by the test;
//! and its bounds.

use rstest::rstest;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_configuration::Catalogue;
use tindock_slot_allocation::datagram::Datagram;
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::Message;
use tindock_slot_allocation::{Allocator, Entry, Function, Member};
use tindock_system_processes::messages::{AgentMessage, Listed, ProxyInfo, ProxyMessage};
use tindock_system_processes::settings::Settings;
use tindock_system_processes::slot_report::{
    command, run, slot_report, SlotReport, MAX_FUNCTIONS, MAX_INSTANCES, MAX_REMOTE_CAPACITIES,
};
use tindock_system_processes::transport::{frame, read_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async { tokio::time::timeout(Duration::from_secs(60), test).await.unwrap() };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn run_command(arguments: &str) -> Result<String, String> {
    let arguments: Vec<String> =
        std::iter::once("loans").chain(arguments.split(' ')).map(str::to_string).collect();
    let command_line = move || run(&command().try_get_matches_from(arguments).map_err(|e| e.to_string())?);
    tokio::task::spawn_blocking(command_line).await.unwrap()
}

fn loopback(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, n))
}

/// A proxy: the agent's end of its link, the readiness address, and the port, which is the same on all its
/// addresses.
async fn proxy() -> (TcpStream, SocketAddr, u16) {
    let (_, agent, at, port) = proxy_with_listener().await;
    (agent, at, port)
}

/// The same, with the listener to which the proxy reconnects when its link breaks.
async fn proxy_with_listener() -> (TcpListener, TcpStream, SocketAddr, u16) {
    let listener = TcpListener::bind((loopback(2), 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let settings = format!(
        "node_name = \"edge-1\"\nip_address = \"127.0.0.2\"\nzone = \"a\"\nregion = \"r\"\n\
         ephemeral_ports = [{}, {port}]\n[zones]\na = \"r\"\nb = \"r\"\n[bindings]\n\
         data_plane = \"127.0.0.4:{port}\"\nreadiness = \"127.0.0.3:{port}\"\n",
        port - 2
    );
    let settings = Settings::read(&settings).unwrap();
    tokio::task::spawn_local(async move { tindock_system_processes::proxy::run(settings).await.unwrap() });
    let agent = listener.accept().await.unwrap().0;
    (listener, agent, SocketAddr::new(loopback(3), port), port)
}

/// The status and the body of the answer to one request on a connection of its own.
async fn http_get(at: SocketAddr, request: &str) -> (String, String) {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let text = format!("{request} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut all = String::new();
    stream.read_to_string(&mut all).await.unwrap();
    let (head, body) = all.split_once("\r\n\r\n").unwrap();
    (head.split(' ').nth(1).unwrap().to_string(), body.to_string())
}

const PROBES: [&str; 5] =
    ["GET /v1/readiness", "POST /v1/loans", "HEAD /v1/loans", "GET /v1/loans/", "GET /"];

const CONFIGURATION: &str = r#"{"revision":7,
    "routes":[{"hostname":"h","path_prefix":"/","route_type":"idempotent",
               "timeout_ms":60000,"service":"sums"}],
    "services":[{"name":"sums","boot_ms":1000,"max_inflight":1},
                {"name":"rare","boot_ms":1000,"max_inflight":4}]}"#;

fn listed(instance: &str, service: &str, at: SocketAddr, ready: bool) -> Listed {
    Listed {
        instance: instance.into(),
        service: service.into(),
        at,
        zone: "a".into(),
        host: "m".into(),
        age: 0,
        ready,
        accepts_calls: true,
        replaces: None,
    }
}

/// Instances that ended while the link to the agent was down were kept for ever: a complete list must remove
/// those that it lacks.
#[test]
fn instances_that_ended_while_the_link_was_down_are_removed() {
    run_on_one_thread(async {
        let (listener, agent, at, _) = proxy_with_listener().await;
        let nowhere = SocketAddr::new(loopback(1), 9);
        let (first, second) = (listed("i-1", "sums", nowhere, true), listed("i-2", "sums", nowhere, true));
        let configuration = AgentMessage::Configuration(Catalogue::read(CONFIGURATION.as_bytes()).unwrap());
        let proxies =
            AgentMessage::Proxies(vec![ProxyInfo { ip: loopback(2), zone: "a".into(), incarnation: 1 }]);
        let instances = |entries| AgentMessage::Instances { entries, ended: Vec::new(), complete: true };
        let mut agent = agent;
        for message in [proxies, configuration, instances(vec![first, second.clone()])] {
            agent.write_all(&frame(&message)).await.unwrap();
        }
        while !run_command(&format!("--function sums {at}")).await.is_ok_and(|text| text.contains("i-1")) {}
        drop(agent);
        let mut agent = listener.accept().await.unwrap().0;
        agent.write_all(&frame(&instances(vec![second]))).await.unwrap();
        while run_command(&format!("--function sums {at}")).await.unwrap().contains("i-1") {}
        assert!(run_command(&format!("--function sums {at}")).await.unwrap().contains("i-2"));
    });
}

#[test]
fn the_command_prints_the_report_of_a_proxy() {
    run_on_one_thread(async {
        let (agent, at, port) = proxy().await;
        let (mut from, mut to) = agent.into_split();
        tokio::task::spawn_local(
            async move { while read_frame::<ProxyMessage>(&mut from).await.is_some() {} },
        );
        assert_eq!(
            run_command(&at.to_string()).await.unwrap(),
            "edge-1 in a, revision 0, 0 calls under way\n"
        );
        for probe in PROBES {
            assert_eq!(http_get(at, probe).await, ("503".into(), String::new()), "{probe}");
        }

        // Accepts connections, and never answers.
        let worker = TcpListener::bind((loopback(1), 0)).await.unwrap();
        let served = worker.local_addr().unwrap();
        let member = |ip, zone: &str| ProxyInfo { ip, zone: zone.into(), incarnation: 1 };
        let entries = vec![listed("i-1", "sums", served, true), listed("i-2", "rare", served, false)];
        for message in [
            // First as the only proxy: otherwise it would wait for the handover of slots from the other.
            AgentMessage::Proxies(vec![member(loopback(2), "a")]),
            AgentMessage::Proxies(vec![member(loopback(2), "a"), member(loopback(9), "b")]),
            AgentMessage::Configuration(Catalogue::read(CONFIGURATION.as_bytes()).unwrap()),
            AgentMessage::Instances { entries, ended: Vec::new(), complete: true },
        ] {
            to.write_all(&frame(&message)).await.unwrap();
        }
        let mut clients = Vec::new();
        for n in 0..2 {
            while http_get(at, "GET /").await.0 != "200" {}
            let mut client = TcpStream::connect((loopback(4), port)).await.unwrap();
            let call = format!("GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: {n}\r\n\r\n");
            client.write_all(call.as_bytes()).await.unwrap();
            clients.push(client);
        }
        let other = UdpSocket::bind((loopback(9), port - 1)).await.unwrap();
        let capacity =
            Message::Capacity { function_id: FunctionId::of("sums"), free: 3, waiting: 0, run: 90 };
        let datagram = Datagram { incarnation: 1, messages: vec![capacity] }.encode();
        let mut table;
        loop {
            other.send_to(&datagram, (loopback(2), port - 1)).await.unwrap();
            table = run_command(&at.to_string()).await.unwrap();
            if table.contains("sums      1      1     0     1  ") && table.contains("elsewhere") {
                break;
            }
        }
        assert!(table.starts_with("edge-1 in a, revision 7, 2 calls under way\n"), "{table}");
        assert!(table.contains("\n1 functions with nothing lent, waiting or ready: --all\n"), "{table}");
        assert!(
            table.contains(&format!("sums       127.0.0.9:{}  b     3     0        90 ", port - 1)),
            "{table}"
        );
        assert!(!table.contains("rare"), "{table}");
        let all = run_command(&format!("--all {at}")).await.unwrap();
        assert!(all.contains("rare      0      0     0     0        0.0      0\n"), "{all}");
        let one = run_command(&format!("--function sums {at}")).await.unwrap();
        assert!(one.contains("i-1       a     ready  1 of 1  0\n") && !one.contains("rare"), "{one}");
        let json = run_command(&format!("--json --function rare {at}")).await.unwrap();
        assert!(json.contains("\"id\":\"i-2\"") && !json.contains("sums"), "{json}");
        assert_eq!(
            run_command(&format!("--function none {at}")).await.unwrap_err(),
            format!("{at}: edge-1 has nothing on none")
        );
        for probe in PROBES {
            assert_eq!(http_get(at, probe).await, ("200".into(), String::new()), "{probe}");
        }
        let (status, body) = http_get(at, "GET /v1/loans?x=1").await;
        assert!(status == "200" && body.starts_with("{\"node\":\"edge-1\""), "{status} {body}");
    });
}

#[rstest]
#[case("nowhere", "nowhere: is not an address with a port, as 10.1.0.20:8022")]
#[case("--json --all 127.0.0.1:1", "cannot be used with")]
#[case("127.0.0.1:1", "refused")]
fn invalid_arguments_and_failed_calls_give_one_error(#[case] arguments: &str, #[case] why: &str) {
    run_on_one_thread(async move {
        let error = run_command(arguments).await.unwrap_err();
        assert!(error.contains(why), "{error}");
    });
}

fn allocator(functions: impl Iterator<Item = String>) -> Allocator {
    let at = |n| SocketAddr::from(([10, 0, 0, n], 7301));
    let mut allocator = Allocator::new(at(1), "a".into(), 1, 1, Duration::ZERO);
    let member = |n, zone: &str| Member { at: at(n), zone: zone.into(), region: "r".into(), incarnation: 1 };
    // First as the only member: otherwise it would wait for the handover of slots from the other.
    allocator.set_members(Duration::ZERO, vec![member(1, "a")]);
    allocator.set_members(Duration::ZERO, vec![member(1, "a"), member(2, "b")]);
    let function =
        |name: String| Function { id: FunctionId::of(&name), name, slots: 2, boot: Duration::from_secs(1) };
    allocator.set_functions(Duration::ZERO, functions.map(function).collect());
    allocator
}

fn entry(instance: String, function: &str, zone: &str, ready: bool) -> Entry {
    let at = SocketAddr::from(([10, 0, 1, 1], 80));
    let since = Duration::ZERO;
    Entry {
        instance,
        function_id: FunctionId::of(function),
        at,
        zone: zone.into(),
        ready,
        accepts_calls: true,
        since,
    }
}

#[test]
fn the_report_keeps_its_bounds_and_is_sorted() {
    let names = || (0..MAX_FUNCTIONS + 5).map(|n| format!("f{n:04}"));
    let mut allocator = allocator(names());
    let last = format!("f{:04}", MAX_FUNCTIONS + 4);
    let mut entries: Vec<Entry> =
        names().rev().map(|name| entry(format!("{name}-x"), &name, "a", name == last)).collect();
    let many =
        |n: usize| (0..2_500).map(move |i| entry(format!("i{n}-{i:04}"), &format!("f{n:04}"), "a", true));
    entries.extend((0..4).flat_map(many));
    allocator.update_instances(Duration::ZERO, entries, &[]);
    // Added later, and the first by its id.
    allocator.update_instances(Duration::ZERO, vec![entry("a".into(), "f0000", "a", true)], &[]);
    for n in 0..MAX_REMOTE_CAPACITIES as u32 + 3 {
        let message =
            Message::Capacity { function_id: FunctionId::with_short_hash(n), free: 1, waiting: 0, run: 5 };
        let now = Duration::from_millis(1 + u64::from(n >= 3));
        let datagram = Datagram { incarnation: 1, messages: vec![message] }.encode();
        assert!(allocator.receive(now, SocketAddr::from(([10, 0, 0, 2], 7301)), &datagram));
    }
    let report = slot_report(Duration::from_millis(9), "n", "a", 1, &allocator);
    assert_eq!((report.functions.len(), report.more_functions), (MAX_FUNCTIONS, 5));
    // It is in use, so it is listed rather than functions earlier by name, and at its place by name.
    assert_eq!(report.functions.last().map(|of| of.name.as_str()), Some(last.as_str()));
    assert!(report.functions.is_sorted_by_key(|of| &of.name));
    let instances: usize = report.functions.iter().map(|of| of.instances.len()).sum();
    assert_eq!((instances, report.more_instances), (MAX_INSTANCES, 2_001));
    assert!(report.functions[0].instances.is_sorted_by_key(|i| &i.id));
    assert_eq!((report.remote.len(), report.more_remote), (MAX_REMOTE_CAPACITIES, 3));
    assert!(report.remote.iter().all(|capacity| capacity.age_ms == 7 && capacity.function.starts_with('#')));
    assert!(report.remote.is_sorted_by_key(|capacity| &capacity.function));
    assert!(report.to_json().len() < 2 << 20, "{}", report.to_json().len());
    let read: SlotReport = nanoserde::DeJson::deserialize_json(&report.to_json()).unwrap();
    assert_eq!(read, report);
}

#[test]
fn the_report_has_silent_allocators_slots_and_rates() {
    let ms = Duration::from_millis;
    let mut allocator = allocator(["far", "near"].into_iter().map(str::to_string));
    let entries = vec![entry("i-far".into(), "far", "b", true), entry("i-near".into(), "near", "a", true)];
    allocator.update_instances(ms(0), entries, &[]);
    for name in ["far", "near", "near", "near"] {
        allocator.request_slot(ms(10), FunctionId::of(name), 1, ms(9_000), ms(9_000), "");
    }
    let report = |allocator: &Allocator, at| slot_report(ms(at), "n", "a", 1, allocator);
    let near = &report(&allocator, 10).functions[0];
    assert_eq!((near.name.as_str(), near.granted, near.waiting, near.free), ("near", 0, 3, 0));
    // A new allocator does not grant slots for 0.2 s that others may have granted.
    assert_eq!(near.instances[0].pause_ms, 190);
    for at in (20..=1000).step_by(20) {
        allocator.tick(ms(at));
    }
    let seen = report(&allocator, 1000);
    // The call that only the silent allocator could serve was given up after 0.8 s.
    assert_eq!((seen.calls, &seen.suspects[..]), (3, &["10.0.0.2:7301".to_string()][..]));
    let near = seen.functions.iter().find(|of| of.name == "near").unwrap();
    assert_eq!((near.granted, near.waiting, near.free, near.instances[0].pause_ms), (2, 1, 0, 0));
    // The same as in the load report to the autoscaler at that time.
    let scaler = allocator
        .load_reports(ms(1000), ms(0))
        .into_iter()
        .find(|load| load.function_id == FunctionId::of("near"))
        .unwrap();
    assert!(near.rate > 0.5 && (near.rate - scaler.rate).abs() <= 0.005, "{} {}", near.rate, scaler.rate);
}
