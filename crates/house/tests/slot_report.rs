//! What staff see of loans: a whole desk over sockets, with a page, a worker and clients played here; and the bounds.

use rstest::rstest;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_catalogue::Catalogue;
use tindock_house::messages::{AgentMessage, Listed, ProxyInfo, ProxyMessage};
use tindock_house::settings::Settings;
use tindock_house::slot_report::{
    command, run, slot_report, SlotReport, MAX_FUNCTIONS, MAX_INSTANCES, MAX_REMOTE_CAPACITIES,
};
use tindock_house::transport::{frame, read_frame};
use tindock_lending::messages::{kind, Datagram, Message};
use tindock_lending::{Allocator, Entry, Function, Member};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

fn alone(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async { tokio::time::timeout(Duration::from_secs(60), test).await.unwrap() };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn asks(words: &str) -> Result<String, String> {
    let words: Vec<String> = std::iter::once("loans").chain(words.split(' ')).map(str::to_string).collect();
    let asked = move || run(&command().try_get_matches_from(words).map_err(|e| e.to_string())?);
    tokio::task::spawn_blocking(asked).await.unwrap()
}

fn host(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, n))
}

/// A desk, the page's end of its link, the readiness address, and the port that all have on addresses of their own.
async fn desk() -> (TcpStream, SocketAddr, u16) {
    let (_, page, at, port) = desk_with_door().await;
    (page, at, port)
}

/// The same, and where the desk comes again when its link breaks.
async fn desk_with_door() -> (TcpListener, TcpStream, SocketAddr, u16) {
    let door = TcpListener::bind((host(2), 0)).await.unwrap();
    let port = door.local_addr().unwrap().port();
    let settings = format!(
        "node_name = \"edge-1\"\nip_address = \"127.0.0.2\"\nzone = \"a\"\nregion = \"r\"\n\
         ephemeral_ports = [{}, {port}]\n[zones]\na = \"r\"\nb = \"r\"\n[bindings]\n\
         data_plane = \"127.0.0.4:{port}\"\nreadiness = \"127.0.0.3:{port}\"\n",
        port - 2
    );
    let settings = Settings::read(&settings).unwrap();
    tokio::task::spawn_local(async move { tindock_house::proxy::run(settings).await.unwrap() });
    let page = door.accept().await.unwrap().0;
    (door, page, SocketAddr::new(host(3), port), port)
}

/// The status and the body's bytes, of a connection that ends with them.
async fn answer(at: SocketAddr, request: &str) -> (String, String) {
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

const WORD: &str = r#"{"revision":7,
    "routes":[{"hostname":"h","path_prefix":"/","route_type":"idempotent","timeout_ms":60000,"service":"sums"}],
    "services":[{"name":"sums","boot_ms":1000,"max_inflight":1},{"name":"rare","boot_ms":1000,"max_inflight":4}]}"#;

fn listed(instance: &str, service: &str, at: SocketAddr, ready: bool) -> Listed {
    Listed {
        instance: instance.into(),
        service: service.into(),
        at,
        zone: "a".into(),
        host: "m".into(),
        age: 0,
        ready,
        lends: true,
        replaces: None,
    }
}

/// Guards against instances that end while the link to the agent is down, and were kept for ever: a list that is whole
/// says what there is by what it lacks.
#[test]
fn what_ended_while_the_link_was_down_is_gone() {
    alone(async {
        let (door, page, at, _) = desk_with_door().await;
        let nowhere = SocketAddr::new(host(1), 9);
        let (first, second) = (listed("i-1", "sums", nowhere, true), listed("i-2", "sums", nowhere, true));
        let word = AgentMessage::Configuration(Catalogue::read(WORD.as_bytes()).unwrap());
        let desks = AgentMessage::Proxies(vec![ProxyInfo { ip: host(2), zone: "a".into(), incarnation: 1 }]);
        let told = |entries| AgentMessage::Instances { entries, ended: Vec::new(), complete: true };
        let mut page = page;
        for line in [desks, word, told(vec![first, second.clone()])] {
            page.write_all(&frame(&line)).await.unwrap();
        }
        while !asks(&format!("--function sums {at}")).await.is_ok_and(|text| text.contains("i-1")) {}
        drop(page);
        let mut page = door.accept().await.unwrap().0;
        page.write_all(&frame(&told(vec![second]))).await.unwrap();
        while asks(&format!("--function sums {at}")).await.unwrap().contains("i-1") {}
        assert!(asks(&format!("--function sums {at}")).await.unwrap().contains("i-2"));
    });
}

#[test]
fn staff_ask_a_desk() {
    alone(async {
        let (page, at, port) = desk().await;
        let (mut from, mut to) = page.into_split();
        tokio::task::spawn_local(
            async move { while read_frame::<ProxyMessage>(&mut from).await.is_some() {} },
        );
        assert_eq!(asks(&at.to_string()).await.unwrap(), "edge-1 in a, revision 0, 0 calls under way\n");
        for probe in PROBES {
            assert_eq!(answer(at, probe).await, ("503".into(), String::new()), "{probe}");
        }

        // Takes connections, and answers nothing.
        let worker = TcpListener::bind((host(1), 0)).await.unwrap();
        let served = worker.local_addr().unwrap();
        let member = |ip, zone: &str| ProxyInfo { ip, zone: zone.into(), incarnation: 1 };
        let entries = vec![listed("i-1", "sums", served, true), listed("i-2", "rare", served, false)];
        for told in [
            // First alone: of another that is there first it would wait for a handover.
            AgentMessage::Proxies(vec![member(host(2), "a")]),
            AgentMessage::Proxies(vec![member(host(2), "a"), member(host(9), "b")]),
            AgentMessage::Configuration(Catalogue::read(WORD.as_bytes()).unwrap()),
            AgentMessage::Instances { entries, ended: Vec::new(), complete: true },
        ] {
            to.write_all(&frame(&told)).await.unwrap();
        }
        let mut clients = Vec::new();
        for n in 0..2 {
            while answer(at, "GET /").await.0 != "200" {}
            let mut client = TcpStream::connect((host(4), port)).await.unwrap();
            let call = format!("GET / HTTP/1.1\r\nHost: h\r\nAttempt-Id: {n}\r\n\r\n");
            client.write_all(call.as_bytes()).await.unwrap();
            clients.push(client);
        }
        let other = UdpSocket::bind((host(9), port - 1)).await.unwrap();
        let room = Message::Capacity { kind: kind("sums"), free: 3, waiting: 0, run: 90 };
        let letter = Datagram { incarnation: 1, messages: vec![room] }.encode();
        let mut table;
        loop {
            other.send_to(&letter, (host(2), port - 1)).await.unwrap();
            table = asks(&at.to_string()).await.unwrap();
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
        let all = asks(&format!("--all {at}")).await.unwrap();
        assert!(all.contains("rare      0      0     0     0        0.0      0\n"), "{all}");
        let one = asks(&format!("--function sums {at}")).await.unwrap();
        assert!(one.contains("i-1       a     ready  1 of 1  0\n") && !one.contains("rare"), "{one}");
        let json = asks(&format!("--json --function rare {at}")).await.unwrap();
        assert!(json.contains("\"id\":\"i-2\"") && !json.contains("sums"), "{json}");
        assert_eq!(
            asks(&format!("--function none {at}")).await.unwrap_err(),
            format!("{at}: edge-1 tells nothing of none")
        );
        for probe in PROBES {
            assert_eq!(answer(at, probe).await, ("200".into(), String::new()), "{probe}");
        }
        let (status, body) = answer(at, "GET /v1/loans?x=1").await;
        assert!(status == "200" && body.starts_with("{\"node\":\"edge-1\""), "{status} {body}");
    });
}

#[rstest]
#[case("nowhere", "nowhere: is not an address with a port, as 10.1.0.20:8022")]
#[case("--json --all 127.0.0.1:1", "cannot be used with")]
#[case("127.0.0.1:1", "refused")]
fn one_clear_error_for_the_rest(#[case] words: &str, #[case] why: &str) {
    alone(async move {
        let told = asks(words).await.unwrap_err();
        assert!(told.contains(why), "{told}");
    });
}

fn lending(functions: impl Iterator<Item = String>) -> Allocator {
    let at = |n| SocketAddr::from(([10, 0, 0, n], 7301));
    let mut lending = Allocator::new(at(1), "a".into(), 1, 1, Duration::ZERO);
    let member = |n, zone: &str| Member { at: at(n), zone: zone.into(), region: "r".into(), incarnation: 1 };
    // First alone: of another that is there first it would wait for a handover.
    lending.set_members(Duration::ZERO, vec![member(1, "a")]);
    lending.set_members(Duration::ZERO, vec![member(1, "a"), member(2, "b")]);
    let function =
        |name: String| Function { kind: kind(&name), name, slots: 2, boot: Duration::from_secs(1) };
    lending.set_functions(Duration::ZERO, functions.map(function).collect());
    lending
}

fn entry(instance: String, function: &str, zone: &str, ready: bool) -> Entry {
    let at = SocketAddr::from(([10, 0, 1, 1], 80));
    let since = Duration::ZERO;
    Entry { instance, kind: kind(function), at, zone: zone.into(), ready, accepts_calls: true, since }
}

#[test]
fn no_more_is_told_than_the_bounds_and_in_order() {
    let names = || (0..MAX_FUNCTIONS + 5).map(|n| format!("f{n:04}"));
    let mut lending = lending(names());
    let last = format!("f{:04}", MAX_FUNCTIONS + 4);
    let mut entries: Vec<Entry> =
        names().rev().map(|name| entry(format!("{name}-x"), &name, "a", name == last)).collect();
    let many =
        |n: usize| (0..2_500).map(move |i| entry(format!("i{n}-{i:04}"), &format!("f{n:04}"), "a", true));
    entries.extend((0..4).flat_map(many));
    lending.update_instances(Duration::ZERO, entries, &[]);
    // Comes later, and is the first by its id.
    lending.update_instances(Duration::ZERO, vec![entry("a".into(), "f0000", "a", true)], &[]);
    for n in 0..MAX_REMOTE_CAPACITIES as u32 + 3 {
        let line = Message::Capacity { kind: n, free: 1, waiting: 0, run: 5 };
        let now = Duration::from_millis(1 + u64::from(n >= 3));
        let letter = Datagram { incarnation: 1, messages: vec![line] }.encode();
        assert!(lending.receive(now, SocketAddr::from(([10, 0, 0, 2], 7301)), &letter));
    }
    let told = slot_report(Duration::from_millis(9), "n", "a", 1, &lending);
    assert_eq!((told.functions.len(), told.more_functions), (MAX_FUNCTIONS, 5));
    // In use, so told before those that are first by name; and in its place.
    assert_eq!(told.functions.last().map(|of| of.name.as_str()), Some(last.as_str()));
    assert!(told.functions.is_sorted_by_key(|of| &of.name));
    let instances: usize = told.functions.iter().map(|of| of.instances.len()).sum();
    assert_eq!((instances, told.more_instances), (MAX_INSTANCES, 2_001));
    assert!(told.functions[0].instances.is_sorted_by_key(|i| &i.id));
    assert_eq!((told.rooms.len(), told.more_rooms), (MAX_REMOTE_CAPACITIES, 3));
    assert!(told.rooms.iter().all(|room| room.age_ms == 7 && room.function.starts_with('#')));
    assert!(told.rooms.is_sorted_by_key(|room| &room.function));
    assert!(told.text().len() < 2 << 20, "{}", told.text().len());
    let read: SlotReport = nanoserde::DeJson::deserialize_json(&told.text()).unwrap();
    assert_eq!(read, told);
}

#[test]
fn silent_lenders_slots_and_rates_are_told() {
    let ms = Duration::from_millis;
    let mut lending = lending(["far", "near"].into_iter().map(str::to_string));
    let entries = vec![entry("i-far".into(), "far", "b", true), entry("i-near".into(), "near", "a", true)];
    lending.update_instances(ms(0), entries, &[]);
    for name in ["far", "near", "near", "near"] {
        lending.request_slot(ms(10), kind(name), 1, ms(9_000), ms(9_000), "");
    }
    let told = |lending: &Allocator, at| slot_report(ms(at), "n", "a", 1, lending);
    let near = &told(&lending, 10).functions[0];
    assert_eq!((near.name.as_str(), near.lent, near.waiting, near.free), ("near", 0, 3, 0));
    // A new lender rests for 0.2 s what others may have lent.
    assert_eq!(near.instances[0].rests_ms, 190);
    for at in (20..=1000).step_by(20) {
        lending.tick(ms(at));
    }
    let seen = told(&lending, 1000);
    // The call that only the silent one could serve was given up after 0.8 s.
    assert_eq!((seen.calls, &seen.passed_over[..]), (3, &["10.0.0.2:7301".to_string()][..]));
    let near = seen.functions.iter().find(|of| of.name == "near").unwrap();
    assert_eq!((near.lent, near.waiting, near.free, near.instances[0].rests_ms), (2, 1, 0, 0));
    // As the scaler is told it at that time.
    let scaler =
        lending.load_reports(ms(1000), ms(0)).into_iter().find(|told| told.kind == kind("near")).unwrap();
    assert!(near.rate > 0.5 && (near.rate - scaler.rate).abs() <= 0.005, "{} {}", near.rate, scaler.rate);
}
