//! Tiny runs of every measurement: the figures are present and plausible for a small deployment.

use rstest::rstest;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;
use tindock_scale_run::hollow::{lock, DemandRates, Proxy, SharedReceived};
use tindock_scale_run::processes::{Deployment, Ports, Role};
use tindock_scale_run::report::{lines, value, Figure};
use tindock_scale_run::sockets::{between, counts, read, Socket, Traffic};
use tindock_scale_run::{autoscaler, configuration, distribution, peer_sampling, slots, Size, TARGET};
use tindock_system_processes::settings::Settings;

const SMALL: usize = 8;

#[test]
fn the_target_size_is_in_proportion_to_itself() {
    assert_eq!(Size::of(TARGET.schedulers), TARGET);
    assert_eq!(Size::of(1), Size { schedulers: 1, functions: 27, instances: 70 });
}

#[test]
fn eight_agents_find_each_other_and_detect_an_end() {
    let figures = peer_sampling::run(SMALL, Duration::from_secs(2), 1);
    assert_eq!(value(&figures, "living members missing in a view, worst"), Some(0.0));
    assert_eq!(value(&figures, "changes of an agent's member list"), Some(0.0));
    assert!(value(&figures, "all know all after start").is_some_and(|s| s < 2.0), "{figures:?}");
    assert!(value(&figures, "an ended member gone from all views").is_some_and(|s| s < 10.0), "{figures:?}");
}

/// The largest size of `docs/CAPACITY.md` at which no live member is missing from a view; at 200 some are.
#[test]
fn the_views_of_a_hundred_idle_agents_are_complete() {
    let figures = peer_sampling::run(100, Duration::from_secs(5), 1);
    assert_eq!(value(&figures, "living members missing in a view, worst"), Some(0.0), "{figures:?}");
    assert_eq!(value(&figures, "changes of an agent's member list"), Some(0.0), "{figures:?}");
}

#[rstest]
#[case(configuration::run(Size::of(SMALL)).unwrap_or_default())]
#[case(distribution::run(Size::of(SMALL)))]
#[case(autoscaler::run(Size::of(SMALL)))]
#[case(slots::run(Size::of(SMALL)))]
fn component_runs_yield_finite_figures(#[case] figures: Vec<Figure>) {
    assert!(figures.len() >= 8, "{figures:?}");
    assert!(figures.iter().all(|figure| figure.value.is_finite()), "{figures:?}");
}

#[test]
fn a_change_is_far_smaller_than_the_whole_configuration() {
    let figures = configuration::run(Size::of(SMALL)).expect("readable");
    let of = |name| value(&figures, name).expect("a figure");
    assert!(of("change of one route between processes") * 10.0 < of("whole configuration between processes"));
}

#[test]
fn a_call_that_needs_a_slot_elsewhere_takes_four_datagrams() {
    let figures = slots::run(Size::of(SMALL));
    assert_eq!(value(&figures, "datagrams of a call that needs another's slot"), Some(4.0));
}

#[test]
fn socket_lines_are_parsed_with_process_and_traffic() {
    let text = "0 0 127.1.2.51:18020 127.0.0.1:40000 users:((\"tindock\",pid=77,fd=9)) ino:1 sk:2 cubic \
                bytes_sent:120 bytes_acked:120 bytes_received:3000 data_segs_out:2 data_segs_in:30\nrubbish\n";
    let after = read(text);
    let socket = Socket { local: "127.1.2.51:18020".into(), peer: "127.0.0.1:40000".into(), process: 77 };
    let traffic = Traffic { sent: 120, received: 3000, segments_sent: 2, segments_received: 30 };
    assert_eq!(after.get(&socket), Some(&traffic));
    let before = [(socket, Traffic { sent: 20, received: 1000, segments_sent: 1, segments_received: 10 })];
    let traffic_by_process = between(&before.into(), &after);
    let rest = Traffic { sent: 100, received: 2000, segments_sent: 1, segments_received: 20 };
    assert_eq!(traffic_by_process.get(&77), Some(&rest));
    assert_eq!(counts(&after).get(&77), Some(&1));
}

fn deployment() -> Deployment {
    Deployment {
        program: "tindock".into(),
        folder: "scale".into(),
        controllers: vec![Ipv4Addr::LOCALHOST],
        ports: Ports { control_plane: 8026, data_plane: 8020, readiness: 8022, ephemeral: (7300, 7315) },
        platform: ([127, 0, 0, 1], 8029).into(),
    }
}

#[rstest]
#[case(Role::Controller)]
#[case(Role::Agent)]
#[case(Role::Proxy)]
fn generated_settings_are_accepted_by_the_system(#[case] role: Role) {
    let ip = Ipv4Addr::new(127, 9, 9, 9);
    let settings = Settings::read(&deployment().settings(role, "here", ip, "west-b")).expect("readable");
    assert_eq!(settings.ip_address, IpAddr::V4(ip));
    assert_eq!((settings.region.as_str(), settings.zones.len()), ("west", 6));
    assert_eq!(settings.data_directory.is_some(), role == Role::Controller);
}

/// A hollow proxy that skipped a revision counts as having reached it once it receives a later one.
#[tokio::test]
async fn a_hollow_proxy_records_received_revisions() {
    use tindock_configuration::Catalogue;
    use tindock_system_processes::messages::{AgentMessage, ProxyMessage};
    use tindock_system_processes::transport::{frame, read_frame};
    use tokio::io::AsyncWriteExt;

    let agent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let received = SharedReceived::default();
    (1..=3).for_each(|revision| lock(&received).expect(revision));
    let at = agent.local_addr().expect("its address");
    let proxy = Proxy {
        number: 0,
        agent: at,
        size: Size::of(1),
        demands: DemandRates::default(),
        received: Arc::clone(&received),
    };
    let runs = tokio::spawn(proxy.run());
    let (mut stream, _) = agent.accept().await.expect("the proxy");
    assert!(matches!(read_frame::<ProxyMessage>(&mut stream).await, Some(ProxyMessage::Incarnation(1))));
    let catalogue = Catalogue::read(configuration::text(2, 3).as_bytes()).expect("readable");
    stream.write_all(&frame(&AgentMessage::Configuration(catalogue))).await.expect("sent");
    while lock(&received).reached(2).0 == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!([1, 2, 3].map(|revision| lock(&received).reached(revision).0), [1, 1, 0]);
    assert_eq!(lock(&received).frames().get("whole configuration").map(|(frames, _)| *frames), Some(1));
    runs.abort();
}

#[test]
fn figures_are_printed_one_per_line() {
    let text = lines("live", 8, &[Figure::new("words", 2.5, "/s"), Figure::new("more", 1.0, "B")]);
    assert_eq!(text.lines().count(), 2);
    assert!(text.contains("live") && text.contains("2.5000 /s"));
}
