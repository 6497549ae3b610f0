//! Operators' calls about moves, over sockets: a lease holder, a controller without the lease, and the
//! commands.

use rstest::rstest;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tindock_autoscaler as autoscaler;
use tindock_system_processes::operator::{serve, Call};
use tindock_system_processes::rebinding::{answer, command, run, RebindingCall};
use tindock_system_processes::settings::{RebindingMode, Settings};
use tokio::net::TcpListener;

const SETTINGS: &str = "node_name = \"core-1\"\nip_address = \"10.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
                        ephemeral_ports = [7300, 7310]\n";

#[rstest]
#[case("", RebindingMode::Off)]
#[case("[rebinding]\n", RebindingMode::Off)]
#[case("[rebinding]\nmode = \"off\"\n", RebindingMode::Off)]
#[case("[rebinding]\nmode = \"plan\"\n", RebindingMode::Plan)]
#[case("[rebinding]\nmode = \"holes\"\n", RebindingMode::Holes)]
#[case("[rebinding]\nmode = \"all\"\n", RebindingMode::All)]
fn the_mode_is_read_from_the_settings(#[case] more: &str, #[case] mode: RebindingMode) {
    assert_eq!(Settings::read(&format!("{SETTINGS}{more}")).unwrap().rebinding.mode, mode);
}

#[rstest]
#[case("[rebinding]\nmode = \"hole\"\n", "line 7, column 8")]
#[case("[rebinding]\nmode = 1\n", "line 7, column 8")]
#[case("[rebinding]\nmodes = \"all\"\n", "line 7, column 1")]
#[case("rebinding = \"all\"\n", "line 6, column 13")]
fn invalid_settings_are_reported_with_their_place(#[case] more: &str, #[case] place: &str) {
    let why = Settings::read(&format!("{SETTINGS}{more}")).unwrap_err();
    assert!(why.contains(place) && !why.contains('\n'), "{why}");
}

#[rstest]
#[case("GET", "Plan", "", Ok(RebindingCall::Plan))]
#[case("GET", "Show", "passed over", Ok(RebindingCall::Show))]
#[case("POST", "Run", "", Ok(RebindingCall::Run))]
#[case("POST", "Pause", "{\"paused\":true}", Ok(RebindingCall::Pause { paused: true, undo: false }))]
#[case(
    "POST",
    "Pause",
    " {\"paused\":false,\"undo\":true}\n",
    Ok(RebindingCall::Pause { paused: false, undo: true })
)]
#[case("POST", "Pause", "", Err(400))]
#[case("POST", "Pause", "{}", Err(400))]
#[case("POST", "Pause", "{\"paused\":1}", Err(400))]
#[case("POST", "Pause", "{\"paused\":true} {\"paused\":false}", Err(400))]
#[case("POST", "Pause", "[true]", Err(400))]
#[case("POST", "Plan", "", Err(405))]
#[case("GET", "Run", "", Err(405))]
#[case("GET", "Stop", "", Err(404))]
fn calls_are_parsed_or_refused_with_a_status(
    #[case] method: &str,
    #[case] call: &str,
    #[case] body: &str,
    #[case] expected: Result<RebindingCall, u16>,
) {
    let read = RebindingCall::read(method, &format!("/v1/Rebinding.{call}"), body.as_bytes());
    assert_eq!(read.map_err(|(status, why)| if why.is_empty() { 0 } else { status }), expected);
}

#[rstest]
fn a_body_that_is_not_utf8_is_refused() {
    assert_eq!(RebindingCall::read("POST", "/v1/Rebinding.Pause", &[0xff, 0xfe]).unwrap_err().0, 400);
}

/// An autoscaler with four functions on two hosts, and one function whose start finds no capacity.
fn scaler(mode: autoscaler::Rebinding) -> (autoscaler::Scaler, Duration) {
    let ms = Duration::from_millis;
    let terms = autoscaler::PlatformSettings {
        zones: vec![("a".into(), "r".into())],
        drain: ms(3000),
        address_reuse: ms(2000),
        call_rate: 150.0,
        list_lag: ms(100),
    };
    let service = |name: String, memory_mb, target_ms| autoscaler::Service {
        name,
        memory_mb,
        boot_ms: 1000,
        max_inflight: 4,
        target_ms,
        priority: 1,
        routed: true,
    };
    let mut services: Vec<_> = (0..4).map(|n| service(format!("d{n}"), 512, 300)).collect();
    services.push(service("big".into(), 1024, 20_000));
    let mut s = autoscaler::Scaler::new(terms, 1, 1, ms(0));
    s.set_rebinding(ms(0), mode);
    s.update_services(ms(0), &services);
    let hosts: Vec<autoscaler::Host> = ["h0", "h1"]
        .map(|name| autoscaler::Host {
            name: name.into(),
            zone: "a".into(),
            memory_mb: 1536,
            free_memory_mb: 512,
            up: true,
        })
        .into();
    let list: Vec<autoscaler::ListedInstance> = (0..4)
        .map(|n| autoscaler::ListedInstance {
            instance: format!("i-{n}"),
            service: format!("d{n}"),
            address: SocketAddr::from(([10, 0, 0, 1], 8000 + n)),
            zone: "a".into(),
            host: format!("h{}", n % 2),
            draining: false,
        })
        .collect();
    let mut now = ms(0);
    for step in 0..300 {
        now = ms(step * 100);
        s.update_hosts(now, &hosts);
        s.update_instances(now, &list);
        if step > 280 {
            s.update_demand(
                now,
                autoscaler::Demand {
                    service: "big".into(),
                    zone: "a".into(),
                    rate: 1.0,
                    busy: 0.0,
                    peak: 1,
                    waiting: 1,
                    run_ms: 80.0,
                    idle_ms: 0,
                    origins: Vec::new(),
                },
            );
        }
        while s.next(now).is_some() {}
    }
    (s, now)
}

/// Serves operators' calls as a controller; without the lease if `held` is `None`, with the lease holder at
/// `holder`.
async fn controller_address(
    at: SocketAddr,
    holder: Option<IpAddr>,
    held: Option<(autoscaler::Scaler, Duration)>,
) -> SocketAddr {
    let listener = TcpListener::bind(at).await.unwrap();
    let at = listener.local_addr().unwrap();
    let (calls, mut received) = tokio::sync::mpsc::channel(8);
    tokio::task::spawn_local(serve(listener, calls));
    tokio::task::spawn_local(async move {
        let mut held = held;
        while let Some(call) = received.recv().await {
            if let Call::Rebinding { call, reply } = call {
                let now = held.as_ref().map_or(Duration::ZERO, |h| h.1);
                let scaler = held.as_mut().map(|h| &mut h.0);
                let _ = reply.send(answer(now, scaler, holder, "core-1", call));
            }
        }
    });
    at
}

async fn run_command(arguments: &str) -> Result<String, String> {
    let arguments: Vec<String> =
        std::iter::once("rebinding").chain(arguments.split(' ')).map(str::to_string).collect();
    let command_line = move || run(&command().try_get_matches_from(arguments).map_err(|e| e.to_string())?);
    tokio::task::spawn_blocking(command_line).await.unwrap()
}

fn run_on_one_thread(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_controller_without_the_lease_redirects_to_the_holder() {
    run_on_one_thread(async {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let holder = controller_address(any_port, None, Some(scaler(autoscaler::Rebinding::Plan))).await;
        let other = SocketAddr::from(([127, 0, 0, 2], holder.port()));
        controller_address(other, Some(holder.ip()), None).await;
        let plan = run_command(&format!("plan {other}")).await.unwrap();
        assert!(plan.contains("1 moves, 1 starts") && plan.contains("would run now"), "{plan}");
        assert!(plan.contains("starts without room") && plan.contains("Hole"), "{plan}");
        assert_eq!(run_command(&format!("pause {other}")).await.unwrap(), "paused\n");
        assert!(run_command(&format!("show {other}"))
            .await
            .unwrap()
            .starts_with("mode plan at core-1: paused\n"));
        assert_eq!(
            run_command(&format!("run {other}")).await.unwrap_err(),
            format!("{holder}: 409 not now: Paused")
        );
        assert_eq!(run_command(&format!("pause --resume {other}")).await.unwrap(), "resumed\n");
        assert_eq!(run_command(&format!("run {other}")).await.unwrap(), "1 moves begun\n");
        assert!(run_command(&format!("run {other}")).await.unwrap_err().ends_with("409 moves are under way"));
        let shown = run_command(&format!("show {other}")).await.unwrap();
        assert!(shown.contains("Begun") && shown.contains("1 under way, 0 waiting"), "{shown}");
    });
}

#[test]
fn invalid_arguments_and_failed_calls_give_one_error() {
    run_on_one_thread(async {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let off = controller_address(any_port, None, Some(scaler(autoscaler::Rebinding::Off))).await;
        let why = run_command(&format!("plan {off}")).await.unwrap_err();
        assert_eq!(why, format!("{off}: 409 off by [rebinding] in the settings of the holder"));
        assert!(run_command(&format!("show {off}")).await.unwrap().starts_with("mode off at core-1"));
        let no_holder = controller_address(any_port, None, None).await;
        assert!(run_command(&format!("show {no_holder}")).await.unwrap_err().contains("not available now"));
        let redirect_loop = controller_address(any_port, Some(any_port.ip()), None).await;
        assert!(run_command(&format!("show {redirect_loop}"))
            .await
            .unwrap_err()
            .contains("too many redirects"));
        assert!(run_command("show nowhere").await.unwrap_err().starts_with("nowhere: is not an address"));
        assert!(run_command(&format!("pause --resume --undo {off}")).await.is_err());
        assert!(run_command("").await.is_err());
    });
}
