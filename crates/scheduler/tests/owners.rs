//! Slots of instances while proxies restart, freeze and wake under load beside changes of the configuration, as processes:
//! no instance is ever given more than it has room for.

use std::time::Duration;
use tindock_control_process_tests::cluster::{wait_until, Cluster, ClusterError, Edge, Size, STEP_TIMEOUT};
use tindock_control_process_tests::configuration::text;
use tindock_control_process_tests::short_or_long;
use tindock_mock_services::clients::{Class, Outcome};
use tindock_mock_services::demo::classes;
use tindock_mock_services::fleet::Role;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");
const SIZE: Size = Size { controllers: 3, edges: 2 };
/// Between two requests; each works for longer, so that slots are always out.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(2500);
/// With the second between two words of an agent this is shorter than a silent one is given.
const FROZEN: Duration = Duration::from_millis(700);
const BETWEEN_STEPS: Duration = Duration::from_millis(400);
const USERS: usize = 60;

/// Requests until `end`; how many there were, and how many were served.
async fn load(cluster: &Cluster, end: Instant) -> (usize, usize) {
    let clients = cluster.clients(USERS, 5);
    let classes = classes();
    let mut open = JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        let class = Class { deadline: DEADLINE, ..classes[number as usize % classes.len()].clone() };
        let clients = clients.clone();
        open.spawn(async move {
            let (outcome, ..) = clients.request(&class, number, number as usize, true).await;
            matches!(outcome, Outcome::OnTime | Outcome::Late)
        });
        number += 1;
        sleep(REQUEST_INTERVAL).await;
    }
    let all = open.join_all().await;
    (all.len(), all.iter().filter(|served| **served).count())
}

async fn changes(cluster: &Cluster, end: Instant) -> Result<(), ClusterError> {
    let mut revision = 2;
    while Instant::now() < end {
        cluster.submit(&[0, 1, 2], &text(revision, (revision % 3) as u32)).await?;
        revision += 1;
        sleep(CHANGE_INTERVAL).await;
    }
    Ok(())
}

/// SIGTERM to the agent and the proxy, and a new start of both once they have ended.
async fn restart(cluster: &Cluster, edge: &Edge) -> Result<(), ClusterError> {
    for role in [Role::Agent, Role::Proxy] {
        assert!(cluster.fleet.terminate(&edge.machine, role), "{} runs", edge.machine);
    }
    for role in [Role::Agent, Role::Proxy] {
        let ended = || async { (!cluster.fleet.is_running(&edge.machine, role)).then_some(()) };
        wait_until(&format!("{} ends", edge.machine), STEP_TIMEOUT, ended).await?;
    }
    cluster.restart_edge(edge)
}

/// Each proxy in turn is restarted, and the one after it frozen for a while.
async fn steps(cluster: &Cluster, end: Instant) -> Result<(), ClusterError> {
    let edges = cluster.edges();
    for turn in 0.. {
        if Instant::now() >= end {
            return Ok(());
        }
        restart(cluster, &edges[turn % edges.len()]).await?;
        sleep(BETWEEN_STEPS).await;
        let next = &edges[(turn + 1) % edges.len()];
        cluster.freeze_edge(next);
        sleep(FROZEN).await;
        cluster.resume_edge(next);
        sleep(BETWEEN_STEPS).await;
    }
    Ok(())
}

async fn plays() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, SIZE).await?;
    for edge in cluster.edges() {
        wait_until("the proxies are ready", STEP_TIMEOUT, || async { edge.is_ready().await.then_some(()) })
            .await?;
    }
    let end = Instant::now() + short_or_long(Duration::from_secs(10), Duration::from_secs(120));
    let ((asked, served), changed, stepped) =
        tokio::join!(load(&cluster, end), changes(&cluster, end), steps(&cluster, end));
    changed?;
    stepped?;
    let findings = cluster.ledger.findings();
    let full = cluster.platform.counts().full;
    println!("{asked} asked, {served} served, {full} turned away as full");
    assert_eq!(findings, [], "{}", cluster.diagnostics());
    assert_eq!(full, 0, "turned away as full: {}", cluster.diagnostics());
    assert!(served * 10 >= asked * 8, "{served} of {asked} served: {}", cluster.diagnostics());
    Ok(())
}

#[tokio::test]
async fn no_instance_is_given_more_than_its_room_while_proxies_restart_and_freeze() {
    plays().await.unwrap_or_else(|fault| panic!("{fault}"));
}
