//! Tiny runs of everything: the figures are there, and are what a fleet that small must show.

use rstest::rstest;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;
use tindock_scale_run::hollow::{locked, Demands, Proxy, Shared};
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
fn eight_agents_know_each_other_and_notice_an_end() {
    let figures = peer_sampling::run(SMALL, Duration::from_secs(2), 1);
    assert_eq!(value(&figures, "living members missing in a view, worst"), Some(0.0));
    assert_eq!(value(&figures, "changes of an agent's member list"), Some(0.0));
    assert!(value(&figures, "all know all after start").is_some_and(|s| s < 2.0), "{figures:?}");
    assert!(value(&figures, "an ended member gone from all views").is_some_and(|s| s < 10.0), "{figures:?}");
}

/// The largest of the sizes of `docs/CAPACITY.md` at which no living member is missed; at 200 some are.
#[test]
fn a_hundred_agents_at_rest_miss_nobody() {
    let figures = peer_sampling::run(100, Duration::from_secs(5), 1);
    assert_eq!(value(&figures, "living members missing in a view, worst"), Some(0.0), "{figures:?}");
    assert_eq!(value(&figures, "changes of an agent's member list"), Some(0.0), "{figures:?}");
}

#[rstest]
#[case(configuration::run(Size::of(SMALL)).unwrap_or_default())]
#[case(distribution::run(Size::of(SMALL)))]
#[case(autoscaler::run(Size::of(SMALL)))]
#[case(slots::run(Size::of(SMALL)))]
fn deciders_give_figures(#[case] figures: Vec<Figure>) {
    assert!(figures.len() >= 8, "{figures:?}");
    assert!(figures.iter().all(|figure| figure.value.is_finite()), "{figures:?}");
}

#[test]
fn a_change_is_far_smaller_than_the_whole() {
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
fn sockets_are_read_with_their_process_and_what_they_carried() {
    let text = "0 0 127.1.2.51:18020 127.0.0.1:40000 users:((\"tindock\",pid=77,fd=9)) ino:1 sk:2 cubic \
                bytes_sent:120 bytes_acked:120 bytes_received:3000 data_segs_out:2 data_segs_in:30\nrubbish\n";
    let after = read(text);
    let socket = Socket { local: "127.1.2.51:18020".into(), peer: "127.0.0.1:40000".into(), process: 77 };
    let traffic = Traffic { sent: 120, received: 3000, segments_sent: 2, segments_received: 30 };
    assert_eq!(after.get(&socket), Some(&traffic));
    let before = [(socket, Traffic { sent: 20, received: 1000, segments_sent: 1, segments_received: 10 })];
    let went = between(&before.into(), &after);
    let rest = Traffic { sent: 100, received: 2000, segments_sent: 1, segments_received: 20 };
    assert_eq!(went.get(&77), Some(&rest));
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
fn settings_are_what_the_programs_read(#[case] role: Role) {
    let ip = Ipv4Addr::new(127, 9, 9, 9);
    let settings = Settings::read(&deployment().settings(role, "here", ip, "west-b")).expect("readable");
    assert_eq!(settings.ip_address, IpAddr::V4(ip));
    assert_eq!((settings.region.as_str(), settings.zones.len()), ("west", 6));
    assert_eq!(settings.data_directory.is_some(), role == Role::Controller);
}

/// A hollow proxy notes what an agent tells it, whichever revisions it was not told of.
#[tokio::test]
async fn a_hollow_proxy_notes_what_it_is_told() {
    use tindock_configuration::Catalogue;
    use tindock_system_processes::messages::{AgentMessage, ProxyMessage};
    use tindock_system_processes::transport::{frame, read_frame};
    use tokio::io::AsyncWriteExt;

    let agent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let board = Shared::default();
    (1..=3).for_each(|revision| locked(&board).expect(revision));
    let at = agent.local_addr().expect("its address");
    let proxy = Proxy {
        number: 0,
        agent: at,
        size: Size::of(1),
        demands: Demands::default(),
        board: Arc::clone(&board),
    };
    let runs = tokio::spawn(proxy.run());
    let (mut stream, _) = agent.accept().await.expect("the proxy");
    assert!(matches!(read_frame::<ProxyMessage>(&mut stream).await, Some(ProxyMessage::Incarnation(1))));
    let told = Catalogue::read(configuration::text(2, 3).as_bytes()).expect("readable");
    stream.write_all(&frame(&AgentMessage::Configuration(told))).await.expect("told");
    while locked(&board).reached(2).0 == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!([1, 2, 3].map(|revision| locked(&board).reached(revision).0), [1, 1, 0]);
    assert_eq!(locked(&board).told().get("whole configuration").map(|(frames, _)| *frames), Some(1));
    runs.abort();
}

#[test]
fn figures_are_printed_a_line_each() {
    let text = lines("live", 8, &[Figure::new("words", 2.5, "/s"), Figure::new("more", 1.0, "B")]);
    assert_eq!(text.lines().count(), 2);
    assert!(text.contains("live") && text.contains("2.5000 /s"));
}
