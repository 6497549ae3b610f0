//! A proxy, or a scheduler in service, that got SIGTERM, as a process: what it takes on until its end, it answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_mock_services::clients::Class;
use tindock_mock_services::demo::{classes, Testbed, TestbedConfig};
use tindock_mock_services::fleet::Role;
use tindock_mock_services::ledger::Ledger;
use tindock_mock_services::wire::{hash, read_response, request};
use tindock_scheduler_test_kit::peers::{entry, listener, Peer, Scheduler};
use tindock_soak::connection::{Behaviour, Connection, Ending, Outgoing};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

const GRACE: Duration = Duration::from_secs(4);
/// A request each so often, on kept connections and on new ones in turn.
const GAP: Duration = Duration::from_millis(60);
/// Works for half to one and a half of it: a request that is taken late in the grace period cannot be done in it.
const LONG_WORK: Duration = Duration::from_millis(900);
const SHORT_WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(8);
const KEPT_CONNECTIONS: usize = 60;
const WARM_UP: usize = 12;
/// After SIGKILL is due a process is not there any more.
const GONE_WITHIN: Duration = Duration::from_secs(1);

/// Long and short work on one function.
fn long_and_short() -> [Class; 2] {
    let [first, second, ..] = &classes()[..] else { panic!("the demo has four classes") };
    let of = |class: &Class, work| Class { work, deadline: DEADLINE, ..class.clone() };
    [of(first, LONG_WORK), of(second, SHORT_WORK)]
}

async fn sends(ledger: Ledger, mut connection: Connection, class: Class, id: String) -> (Ending, Connection) {
    let target = format!("{}{id}", class.path);
    let body = vec![b'a'; class.body_bytes];
    let outgoing = Outgoing {
        class: &class,
        request: hash(&[id.as_bytes()]),
        attempt_id: &id,
        target: &target,
        body: &body,
        deadline: DEADLINE,
        behaviour: Behaviour::Normal,
    };
    (connection.send(&ledger, outgoing).await, connection)
}

async fn keeps(ledger: &Ledger, to: SocketAddr, classes: &[Class; 2]) -> Vec<Connection> {
    let mut kept = Vec::new();
    for n in 0..KEPT_CONNECTIONS {
        let connection = Connection::open(to).await.expect("it listens");
        let (ending, connection) =
            sends(ledger.clone(), connection, classes[1].clone(), format!("kept-{n}")).await;
        if Connection::can_be_reused(&ending) {
            kept.push(connection);
        }
    }
    kept
}

/// Until the function has instances enough for long work, and its usual time is known.
async fn warms_up(ledger: &Ledger, to: SocketAddr, class: &Class) {
    for round in 0..2 {
        let mut open = JoinSet::new();
        for n in 0..WARM_UP {
            let connection = Connection::open(to).await.expect("it listens");
            open.spawn(sends(ledger.clone(), connection, class.clone(), format!("warm-{round}-{n}")));
        }
        open.join_all().await;
    }
}

/// What became of the requests from SIGTERM to the process's end.
struct UntilTheEnd {
    /// How they ended, with when they were sent.
    endings: Vec<(Duration, Ending)>,
    /// Clients that were refused a connection while the process still ran.
    refused_connections: usize,
}

async fn requests_until_the_end(
    ledger: &Ledger,
    to: SocketAddr,
    classes: &[Class; 2],
    mut kept: Vec<Connection>,
    runs: impl Fn() -> bool,
) -> UntilTheEnd {
    let (began, mut open, mut endings) = (Instant::now(), JoinSet::new(), Vec::new());
    let mut refused_connections = 0;
    for n in 0.. {
        sleep(GAP).await;
        let sent = began.elapsed();
        if sent > GRACE + GONE_WITHIN {
            break;
        }
        let connection = match n % 2 {
            0 => kept.pop().filter(|connection| !connection.is_closed()),
            _ => None,
        };
        let connection = match connection {
            Some(connection) => connection,
            None => match Connection::open(to).await {
                Some(connection) => connection,
                None => {
                    refused_connections += usize::from(runs());
                    continue;
                }
            },
        };
        let class = classes[usize::from(n % 3 == 2)].clone();
        let sends = sends(ledger.clone(), connection, class, format!("late-{n}"));
        open.spawn(async move { (sent, sends.await.0) });
    }
    while let Some(ended) = open.join_next().await {
        endings.push(ended.expect("it does not panic"));
    }
    endings.sort_by_key(|(sent, _)| *sent);
    UntilTheEnd { endings, refused_connections }
}

#[tokio::test]
async fn a_leaving_proxy_answers_all_that_it_takes_on_until_its_end() {
    let program = env!("CARGO_BIN_EXE_tindock").into();
    let shape = TestbedConfig { grace: GRACE, restart_after: None, ..TestbedConfig::demo(53) };
    let stage = Testbed::open_with(program, shape).await.unwrap_or_else(|fault| panic!("{fault}"));
    let machine = stage.fleet.machines(Role::Proxy)[0].clone();
    let to = stage.fleet.proxies()[0].data_plane;
    let classes = long_and_short();
    warms_up(&stage.ledger, to, &classes[0]).await;
    let kept = keeps(&stage.ledger, to, &classes).await;

    assert!(stage.fleet.terminate(&machine, Role::Proxy) && stage.fleet.terminate(&machine, Role::Agent));
    let runs = || stage.fleet.is_running(&machine, Role::Proxy);
    let UntilTheEnd { endings, refused_connections } =
        requests_until_the_end(&stage.ledger, to, &classes, kept, runs).await;
    let ended = !stage.fleet.is_running(&machine, Role::Proxy);
    let log = stage.fleet.log(&machine, Role::Proxy);
    let findings = stage.ledger.findings();
    timeout(Duration::from_secs(20), stage.close(Ok(()))).await.expect("in time").expect("it ends");

    let lost: Vec<_> = endings
        .iter()
        .filter(|(_, ending)| {
            matches!(ending, Ending::ClosedUnanswered | Ending::Truncated | Ending::DeadlinePassed)
        })
        .collect();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for (_, ending) in &endings {
        if let Ending::Answered(answer) = ending {
            *statuses.entry(answer.status).or_default() += 1;
        }
    }
    assert!(lost.is_empty(), "{} of {}: {lost:#?}\n{statuses:?}\n{log}", lost.len(), endings.len());
    assert_eq!(findings, []);
    assert!(ended, "it outlives its grace period: {log}");
    // Early in the grace period requests are served, late ones are told to come again elsewhere, and the last refused a
    // connection.
    assert!(statuses.get(&200) >= Some(&10), "{statuses:?}");
    assert!(statuses.get(&503) >= Some(&1), "{statuses:?}");
    let turned_away = statuses.get(&503).unwrap_or(&0) + refused_connections;
    assert!(turned_away >= 10, "{statuses:?}, {refused_connections} refused");
    // What has been sent to a worker is worked on to its end.
    assert_eq!(statuses.get(&502).or(statuses.get(&504)), None, "{statuses:?}");
}

/// A request that has begun to come when nothing new is taken on any more, and the time until its rest comes.
const BEGINS_AFTER: Duration = Duration::from_millis(1_900);
const REST_AFTER: Duration = Duration::from_millis(600);

#[tokio::test]
async fn a_leaving_proxy_waits_for_the_rest_of_a_request_and_answers_it() {
    let program = env!("CARGO_BIN_EXE_tindock").into();
    let shape = TestbedConfig { grace: GRACE, restart_after: None, ..TestbedConfig::demo(54) };
    let stage = Testbed::open_with(program, shape).await.unwrap_or_else(|fault| panic!("{fault}"));
    let machine = stage.fleet.machines(Role::Proxy)[0].clone();
    let mut stream = TcpStream::connect(stage.fleet.proxies()[0].data_plane).await.expect("it listens");
    let class = &classes()[0];
    let headers = [("Host", class.hostname.as_str()), ("Attempt-Id", "in-halves"), ("Deadline-Ms", "4000")];
    let bytes = request("GET", &class.path, &headers, b"");
    let (first, rest) = bytes.split_at(bytes.len() / 2);

    assert!(stage.fleet.terminate(&machine, Role::Proxy) && stage.fleet.terminate(&machine, Role::Agent));
    sleep(BEGINS_AFTER).await;
    stream.write_all(first).await.expect("it reads");
    sleep(REST_AFTER).await;
    stream.write_all(rest).await.expect("it reads");
    let answer = timeout(GRACE, read_response(&mut stream, &mut Vec::new(), "GET")).await.expect("in time");
    let log = stage.fleet.log(&machine, Role::Proxy);
    timeout(Duration::from_secs(20), stage.close(Ok(()))).await.expect("in time").expect("it ends");

    let answer = answer.unwrap_or_else(|broken| panic!("{broken:?}: {log}"));
    assert_eq!(answer.status, 503);
    assert!(answer.headers.retry_after().is_some() && answer.headers.closes(), "{:?}", answer.headers);
}

/// Three runs of this length make the scheduler expect more than the 3.3 s that it has after SIGTERM.
const LONG_TASK: Duration = Duration::from_millis(1_900);

#[test]
fn a_scheduler_that_ends_sheds_the_tasks_that_it_has_no_time_for() {
    let ((worker, at), (_discovery, agent)) = (listener(), listener());
    let mut scheduler = Scheduler::start("no-time-left", agent, &[entry("w0", at, "active")]);
    let mut clients: Vec<Peer> = (0..3).map(|_| Peer::connect(scheduler.address)).collect();
    let mut line = None;
    for (n, client) in clients.iter_mut().enumerate() {
        client.post("/release", &format!("long{n}"), "x");
        let line = line.get_or_insert_with(|| Peer::accept(&worker));
        line.read();
        line.accept_task();
    }
    std::thread::sleep(LONG_TASK);
    for (n, client) in clients.iter_mut().enumerate() {
        scheduler.done(&format!("long{n}"), "w0", "done");
        assert_eq!(client.read().body, "done");
    }
    let mut in_hand = Peer::connect(scheduler.address);
    in_hand.post("/plan", "in-hand", "x");
    let mut line = line.expect("tasks came over it");
    line.read();
    line.accept_task();
    scheduler.signal("-TERM");
    scheduler.wait_for_line("shutting down: tasks in progress have 3.3 s");

    let mut late = Peer::connect(scheduler.address);
    late.post("/release", "late", "x");
    let answer = late.read();
    assert_eq!(answer.first, "HTTP/1.1 503 Service Unavailable");
    assert_eq!(answer.header("retry-after"), Some("0.5"));
    scheduler.done("in-hand", "w0", "served");
    assert_eq!(in_hand.read().body, "served");
    assert!(scheduler.child.wait().expect("its end").success());
}
