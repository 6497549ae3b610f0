//! Controllers without contact to a majority: frozen ones that wake, lone ones, ones that start while they are cut off.
//! They state nothing and confirm nothing. `TINDOCK_CONTROL_LONG=1` freezes for 20 s.

use std::time::Duration;
use tindock_control_process_tests::cluster::{
    wait_until, Cluster, ClusterError, FullAcceptQueue, Size, STEP_TIMEOUT,
};
use tindock_control_process_tests::configuration::text;
use tindock_control_process_tests::operator::{
    replace, replace_request, show, show_request, Connection, ReplaceAnswer, ShowAnswer,
};
use tindock_control_process_tests::{short_or_long, POLL_INTERVAL};
use tindock_mock_services::clients::Class;
use tindock_mock_services::demo::classes;
use tindock_mock_services::fleet::Role;
use tindock_mock_services::platform::InjectedFault;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");
const THREE: Size = Size { controllers: 3, edges: 0 };
/// A controller that has been alone for so long must know it.
const KNOWN_ALONE: Duration = Duration::from_secs(2);
/// An operator moves to another controller after so long a silence.
const OPERATORS_PATIENCE: Duration = Duration::from_secs(1);
/// Any call has its answer within this, also the first one after contact was lost.
const ANSWERED_WITHIN: Duration = Duration::from_secs(3);

fn freeze_for() -> Duration {
    short_or_long(Duration::from_secs(3), Duration::from_secs(20))
}

/// Calls that wait in the sockets of a frozen controller.
struct Waiting {
    shows: Connection,
    /// The text it knows as the newest.
    repeats: Connection,
    /// Another text under a revision that was decided while it was frozen.
    conflicts: Connection,
}

impl Waiting {
    async fn at(cluster: &Cluster, controller: usize) -> Result<Waiting, ClusterError> {
        let at = cluster.address(controller);
        let mut waiting = Waiting {
            shows: Connection::open(at).await?,
            repeats: Connection::open(at).await?,
            conflicts: Connection::open(at).await?,
        };
        waiting.shows.send(&show_request()).await?;
        waiting.repeats.send(&replace_request(&text(1, 0))).await?;
        waiting.conflicts.send(&replace_request(&text(2, 7))).await?;
        Ok(waiting)
    }

    async fn answers(&mut self) -> (ShowAnswer, ReplaceAnswer, ReplaceAnswer) {
        (
            self.shows.answer("GET").await.into(),
            self.repeats.answer("POST").await.into(),
            self.conflicts.answer("POST").await.into(),
        )
    }
}

/// Controllers 0 and 1 take changes until `over`; the newest revision.
async fn changes_until(cluster: &Cluster, over: Instant) -> Result<u64, ClusterError> {
    let mut revision = 1;
    while revision < 3 || Instant::now() < over {
        revision += 1;
        cluster.submit_confirmed(&[0, 1], &text(revision, 0)).await?;
        sleep(POLL_INTERVAL * 4).await;
    }
    Ok(revision)
}

/// How a controller that wakes has spent the time.
#[derive(Clone, Copy, PartialEq)]
enum Slept {
    /// What the others sent waits in its sockets.
    Reachable,
    /// It hears nothing of what the others did.
    CutOff,
}

/// Controller 2 stands still.
async fn put_to_sleep(cluster: &Cluster, slept: Slept) -> Result<Option<FullAcceptQueue>, ClusterError> {
    cluster.assert_all_show(&[2], &text(1, 0)).await?;
    match slept {
        Slept::Reachable => {
            cluster.freeze(2);
            Ok(None)
        }
        Slept::CutOff => cluster.make_stale(2).await.map(Some),
    }
}

async fn wakes_among_others(slept: Slept) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    let queue = put_to_sleep(&cluster, slept).await?;
    let mut waiting = Waiting::at(&cluster, 2).await?;
    let newest = text(changes_until(&cluster, Instant::now() + freeze_for()).await?, 0);
    drop(queue);
    cluster.resume(2);
    let fresh = show(cluster.address(2)).await;
    let (shown, repeated, conflicting) = waiting.answers().await;
    cluster.assert_all_show(&[2, 0, 1], &newest).await?;
    for shown in [fresh, shown] {
        let old = matches!(&shown, ShowAnswer::Text(text) if *text != newest);
        assert!(!old, "an old configuration is handed out after a freeze: {shown:?}");
    }
    assert_ne!(repeated, ReplaceAnswer::Confirmed, "an order that was overtaken during the freeze");
    assert_ne!(
        conflicting,
        ReplaceAnswer::Confirmed,
        "another text under a revision decided during the freeze"
    );
    Ok(())
}

#[tokio::test]
async fn a_controller_that_wakes_hands_out_nothing_old_and_confirms_nothing_overtaken() {
    wakes_among_others(Slept::Reachable).await.unwrap_or_else(|fault| panic!("{fault}"));
}

#[tokio::test]
async fn a_controller_that_wakes_behind_hands_out_nothing_old_and_confirms_nothing_overtaken() {
    wakes_among_others(Slept::CutOff).await.unwrap_or_else(|fault| panic!("{fault}"));
}

async fn wakes_alone(slept: Slept) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    let queue = put_to_sleep(&cluster, slept).await?;
    let mut waiting = Waiting::at(&cluster, 2).await?;
    let newest = changes_until(&cluster, Instant::now() + freeze_for()).await?;
    cluster.freeze(0);
    cluster.freeze(1);
    drop(queue);
    cluster.resume(2);
    let at = cluster.address(2);
    let (known, above) = (text(1, 0), text(newest + 1, 7));
    let (fresh, repeated_now, higher) = tokio::join!(show(at), replace(at, &known), replace(at, &above));
    let (shown, repeated, conflicting) = waiting.answers().await;
    cluster.resume(0);
    cluster.resume(1);
    let last = text(newest + 2, 0);
    cluster.submit_confirmed(&[0, 1, 2], &last).await?;
    cluster.assert_all_show(&[0, 1, 2], &last).await?;
    for shown in [fresh, shown] {
        assert!(!matches!(shown, ShowAnswer::Text(_)), "handed out without a majority: {shown:?}");
    }
    let answers = [repeated_now, higher, repeated, conflicting];
    let unclear = |answer: &ReplaceAnswer| matches!(answer, ReplaceAnswer::Unclear { .. });
    assert!(answers.iter().all(unclear), "stated without a majority: {answers:?}");
    Ok(())
}

#[tokio::test]
async fn a_controller_that_wakes_alone_states_nothing() {
    wakes_alone(Slept::Reachable).await.unwrap_or_else(|fault| panic!("{fault}"));
}

#[tokio::test]
async fn a_controller_that_wakes_alone_and_behind_states_nothing() {
    wakes_alone(Slept::CutOff).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// All calls of a controller that has no contact to a majority: each must be answered in time, that it is unclear.
/// What is wrong with the answers.
async fn stated(cluster: &Cluster, controller: usize, known: u64, within: Duration) -> Vec<String> {
    let at = cluster.address(controller);
    let (repeats, higher) = (text(known, 0), text(known + 1, 7));
    let began = Instant::now();
    let told = |retry_after: Option<Duration>| retry_after.is_some_and(|after| after > Duration::ZERO);
    let calls = tokio::join!(
        async {
            let answer = show(at).await;
            let unclear = matches!(answer, ShowAnswer::Unclear { retry_after } if told(retry_after));
            ("Show", unclear, format!("{answer:?}"), began.elapsed())
        },
        async {
            let answer = replace(at, &repeats).await;
            let unclear = matches!(answer, ReplaceAnswer::Unclear { retry_after } if told(retry_after));
            ("the text it knows", unclear, format!("{answer:?}"), began.elapsed())
        },
        async {
            let answer = replace(at, &higher).await;
            let unclear = matches!(answer, ReplaceAnswer::Unclear { retry_after } if told(retry_after));
            ("a higher revision", unclear, format!("{answer:?}"), began.elapsed())
        },
    );
    let mut findings = Vec::new();
    for (what, unclear, answer, took) in [calls.0, calls.1, calls.2] {
        if !unclear {
            findings.push(format!("{what}: {answer}"));
        }
        if took > within {
            findings.push(format!("{what}: answered after {took:?}, not within {within:?}"));
        }
    }
    findings
}

/// The same when contact has just been lost, and when that must be known.
async fn stated_now_and_later(cluster: &Cluster, controller: usize, known: u64) -> Vec<String> {
    let alone = Instant::now();
    let mut findings = stated(cluster, controller, known, ANSWERED_WITHIN).await;
    sleep((alone + KNOWN_ALONE).saturating_duration_since(Instant::now())).await;
    findings.extend(stated(cluster, controller, known, OPERATORS_PATIENCE).await);
    findings
}

/// After contact the order that was unclear is in force or is not; a later one is.
async fn goes_on(cluster: &Cluster, known: u64) -> Result<(), ClusterError> {
    let unclear = cluster.submit(&[0, 1, 2], &text(known + 1, 7)).await?;
    assert_eq!(unclear, ReplaceAnswer::Confirmed, "the order that was unclear, sent again");
    let last = text(known + 2, 0);
    cluster.submit_confirmed(&[0, 1, 2], &last).await?;
    cluster.assert_all_show(&[0, 1, 2], &last).await
}

async fn others_frozen() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    cluster.assert_all_show(&[2], &text(1, 0)).await?;
    cluster.freeze(0);
    cluster.freeze(1);
    let findings = stated_now_and_later(&cluster, 2, 1).await;
    cluster.resume(0);
    cluster.resume(1);
    goes_on(&cluster, 1).await?;
    assert!(findings.is_empty(), "stated without a majority: {findings:#?}");
    Ok(())
}

#[tokio::test]
async fn a_controller_whose_others_are_frozen_says_so_soon() {
    others_frozen().await.unwrap_or_else(|fault| panic!("{fault}"));
}

async fn others_killed() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    cluster.assert_all_show(&[2], &text(1, 0)).await?;
    cluster.kill(0).await?;
    cluster.kill(1).await?;
    let findings = stated_now_and_later(&cluster, 2, 1).await;
    cluster.restart(0)?;
    cluster.restart(1)?;
    goes_on(&cluster, 1).await?;
    assert!(findings.is_empty(), "stated without a majority: {findings:#?}");
    Ok(())
}

#[tokio::test]
async fn a_controller_whose_others_were_killed_says_so_soon() {
    others_killed().await.unwrap_or_else(|fault| panic!("{fault}"));
}

async fn starts_alone() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    cluster.submit_confirmed(&[2], &text(2, 0)).await?;
    for controller in 0..3 {
        cluster.kill(controller).await?;
    }
    cluster.restart(2)?;
    wait_until("it listens", STEP_TIMEOUT, || async { Connection::open(cluster.address(2)).await.ok() })
        .await?;
    let findings = stated_now_and_later(&cluster, 2, 2).await;
    cluster.restart(0)?;
    cluster.restart(1)?;
    cluster.assert_all_show(&[0, 1, 2], &text(2, 0)).await?;
    assert!(findings.is_empty(), "stated without a majority: {findings:#?}");
    Ok(())
}

#[tokio::test]
async fn a_controller_that_starts_alone_states_nothing_of_what_its_disk_has() {
    starts_alone().await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// Requests that keep the autoscaler busy until they are aborted.
async fn load(clients: std::sync::Arc<tindock_mock_services::clients::Clients>) {
    let classes: Vec<Class> = classes().into_iter().filter(|class| class.repeatable).collect();
    let mut open = JoinSet::new();
    for number in 0.. {
        let (clients, class) = (clients.clone(), classes[number as usize % classes.len()].clone());
        open.spawn(async move { clients.request(&class, number, number as usize, true).await });
        while open.try_join_next().is_some() {}
        sleep(POLL_INTERVAL).await;
    }
}

/// The platform loses the host with the most instances, so that whoever holds the lease has to start others.
fn crash_busiest_host(cluster: &Cluster) {
    let instances = cluster.platform.instances();
    let load = |host: &String| instances.iter().filter(|i| !i.ended && i.host == *host).count();
    let hosts = instances.iter().map(|i| i.host.clone());
    let busiest = hosts.max_by_key(load).expect("somebody started the workers");
    cluster.platform.inject(InjectedFault::CrashHost(busiest, Duration::from_secs(2)));
}

async fn holder_frozen() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers: 3, edges: 1 }).await?;
    let mut loads = JoinSet::new();
    loads.spawn(load(cluster.clients(6, 7)));
    let machine =
        wait_until("a holder acts", STEP_TIMEOUT, || async { cluster.platform.lease_holder() }).await?;
    let holder = cluster.controller_on(&machine).expect("a controller");
    let others: Vec<usize> = (0..3).filter(|other| *other != holder).collect();
    // It is frozen with starts in hand.
    crash_busiest_host(&cluster);
    cluster.freeze(holder);
    let frozen = Instant::now();
    crash_busiest_host(&cluster);
    wait_until("another holder acts", STEP_TIMEOUT, || async {
        cluster.platform.lease_holder().filter(|now| *now != machine)
    })
    .await?;
    let mut revision = 1;
    while revision < 3 || frozen.elapsed() < freeze_for() {
        revision += 1;
        cluster.submit_confirmed(&others, &text(revision, 0)).await?;
        sleep(POLL_INTERVAL * 4).await;
    }
    crash_busiest_host(&cluster);
    cluster.resume(holder);
    cluster.assert_all_show(&[holder], &text(revision, 0)).await?;
    // It has had the time for whatever it would still do.
    let looked = Instant::now() + Duration::from_secs(2);
    while Instant::now() < looked {
        assert_eq!(cluster.platform.counts().stale, 0, "a lower Fence-Token came after a higher one");
        sleep(POLL_INTERVAL).await;
    }
    loads.abort_all();
    assert_eq!(cluster.ledger.findings(), []);
    for proxy in cluster.fleet.machines(Role::Proxy) {
        assert!(cluster.fleet.is_running(&proxy, Role::Proxy), "{proxy} has ended");
    }
    Ok(())
}

#[tokio::test]
async fn a_frozen_holder_of_the_lease_does_not_act_when_it_wakes() {
    holder_frozen().await.unwrap_or_else(|fault| panic!("{fault}"));
}
