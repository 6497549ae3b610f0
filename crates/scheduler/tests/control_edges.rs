//! Agents and proxies beside real controllers: which text they have in force after races, after a freeze, and after a
//! start while no controller is there.

use std::time::Duration;
use tindock_control_process_tests::cluster::{wait_until, Cluster, ClusterError, Edge, Size, STEP_TIMEOUT};
use tindock_control_process_tests::configuration::text;
use tindock_control_process_tests::operator::{replace, ReplaceAnswer};
use tindock_control_process_tests::{short_or_long, CONTACT_TIMEOUT, POLL_INTERVAL};
use tokio::time::{sleep, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");
const SIZE: Size = Size { controllers: 3, edges: 1 };
/// `convergence_ms` of the settings.
const CONVERGENCE: Duration = Duration::from_secs(3);
/// A controller that heard nobody for so long knows that it is alone; its contact lasts 1.6 s.
const KNOWN_ALONE: Duration = Duration::from_secs(2);

/// Waits until all proxies have this variant in force and none of the others; what they answer instead.
async fn all_serve_only(
    edges: &[Edge],
    variant: u32,
    others: &[u32],
    within: Duration,
) -> Result<(), String> {
    let end = Instant::now() + within;
    loop {
        let mut wrong = Vec::new();
        for edge in edges {
            if !edge.serves_only(variant, others).await {
                wrong.push(edge);
            }
        }
        if wrong.is_empty() {
            return Ok(());
        }
        if Instant::now() > end {
            let mut said = Vec::new();
            for edge in wrong {
                let own = edge.status_of(variant).await;
                let mut rest = Vec::new();
                for &other in others {
                    rest.push((other, edge.status_of(other).await));
                }
                said.push(format!("{}: {own:?} to {variant}, {rest:?}", edge.machine));
            }
            return Err(said.join("; "));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Two operators race; whatever becomes of it, all proxies end with one text.
async fn races(races: u64) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, SIZE).await?;
    let edges = cluster.edges();
    all_serve_only(&edges, 0, &[1, 2], STEP_TIMEOUT).await.map_err(ClusterError::TimedOut)?;
    let mut findings = Vec::new();
    for race in 0..races {
        let revision = 2 + race;
        let texts = [text(revision, 1), text(revision, 2)];
        let (one, other) = ((race % 3) as usize, ((race + 1) % 3) as usize);
        tokio::join!(replace(cluster.address(one), &texts[0]), replace(cluster.address(other), &texts[1]));
        // Whichever is in force: an order is clear, and one of the two is confirmed.
        let confirmed = match cluster.submit(&[0, 1, 2], &texts[0]).await? {
            ReplaceAnswer::Confirmed => 1,
            _ => 2,
        };
        if let Err(said) = all_serve_only(&edges, confirmed, &[0, 3 - confirmed], CONVERGENCE * 2).await {
            findings.push(format!("revision {revision}, variant {confirmed} confirmed: {said}"));
        }
    }
    assert!(findings.is_empty(), "{} of {races} races: {findings:#?}", findings.len());
    Ok(())
}

#[tokio::test]
async fn all_proxies_serve_the_confirmed_one_of_two_texts_under_one_revision() {
    races(short_or_long(4, 40)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// An agent and a proxy start while no controller is there: the proxy wants no connections and knows no route.
async fn starts_cut_off() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, SIZE).await?;
    let edge = cluster.edges().remove(0);
    wait_until("the proxy is ready", STEP_TIMEOUT, || async { edge.is_ready().await.then_some(()) }).await?;
    for controller in 0..3 {
        cluster.kill(controller).await?;
    }
    cluster.kill_edge(&edge).await?;
    cluster.restart_edge(&edge)?;
    let answered = || async { edge.status_of(0).await };
    let mut statuses = vec![wait_until("the proxy answers", STEP_TIMEOUT, answered).await?];
    let end = Instant::now() + short_or_long(Duration::from_secs(2), Duration::from_secs(20));
    while Instant::now() < end {
        assert!(!edge.is_ready().await, "ready without a configuration");
        statuses.extend(edge.status_of(0).await);
        sleep(POLL_INTERVAL).await;
    }
    // Neither a route nor the absence of one is known.
    assert!(statuses.iter().all(|status| *status == 503), "answered without a configuration: {statuses:?}");
    for controller in 0..3 {
        cluster.restart(controller)?;
    }
    wait_until("the proxy is ready again", STEP_TIMEOUT, || async { edge.is_ready().await.then_some(()) })
        .await?;
    all_serve_only(&[edge], 0, &[1], STEP_TIMEOUT).await.map_err(ClusterError::TimedOut)
}

#[tokio::test]
async fn a_proxy_that_starts_without_controllers_is_not_ready_and_states_no_route() {
    starts_cut_off().await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// An agent and its proxy are frozen through changes: after they wake they come to the newest text in time, and never go
/// back.
async fn frozen_through_changes() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, SIZE).await?;
    let edge = cluster.edges().remove(0);
    all_serve_only(std::slice::from_ref(&edge), 0, &[1], STEP_TIMEOUT)
        .await
        .map_err(ClusterError::TimedOut)?;
    cluster.freeze_edge(&edge);
    let frozen = Instant::now();
    let length = short_or_long(Duration::from_secs(3), Duration::from_secs(20));
    let mut newest = 0;
    while newest < 3 || frozen.elapsed() < length {
        newest += 1;
        cluster.submit_confirmed(&[0, 1, 2], &text(1 + u64::from(newest), newest)).await?;
        sleep(POLL_INTERVAL * 4).await;
    }
    cluster.resume_edge(&edge);
    let resumed = Instant::now();
    let mut last = 0;
    while last < newest {
        for variant in (0..=newest).rev() {
            if edge.status_of(variant).await.is_some_and(|status| !matches!(status, 404 | 503)) {
                assert!(variant >= last, "variant {variant} is in force again after {last}");
                last = variant;
                break;
            }
        }
        assert!(
            resumed.elapsed() < CONTACT_TIMEOUT + CONVERGENCE,
            "variant {last} is in force, not {newest}"
        );
        sleep(POLL_INTERVAL).await;
    }
    let end = Instant::now() + CONVERGENCE;
    while Instant::now() < end {
        assert_eq!(edge.status_of(0).await, Some(404), "a route of the first text is back");
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

#[tokio::test]
async fn a_frozen_proxy_comes_to_the_newest_text_and_never_goes_back() {
    frozen_through_changes().await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// Whether an agent that starts with nobody to ask but a controller without a majority is handed something: what its
/// proxy says, as soon as it says anything but that it knows nothing.
async fn handed_out(edge: &Edge) -> Option<(bool, Option<u16>)> {
    let end = Instant::now() + short_or_long(Duration::from_secs(3), Duration::from_secs(20));
    while Instant::now() < end {
        let said = (edge.is_ready().await, edge.status_of(0).await);
        if !matches!(said, (false, None | Some(503))) {
            return Some(said);
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// A controller wakes alone with an old text, and an agent starts that has nobody else to ask: it is handed nothing.
async fn starts_beside_one_that_wakes() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, SIZE).await?;
    let edge = cluster.edges().remove(0);
    all_serve_only(std::slice::from_ref(&edge), 0, &[1, 2], STEP_TIMEOUT)
        .await
        .map_err(ClusterError::TimedOut)?;
    let frozen = Instant::now();
    let queue = cluster.make_stale(2).await?;
    cluster.submit_confirmed(&[0, 1], &text(2, 1)).await?;
    cluster.submit_confirmed(&[0, 1], &text(3, 2)).await?;
    cluster.kill_edge(&edge).await?;
    // Sooner it may take itself for in touch: its text is no older then than contact may be.
    sleep(KNOWN_ALONE.saturating_sub(frozen.elapsed())).await;
    cluster.freeze(0);
    cluster.freeze(1);
    drop(queue);
    cluster.resume(2);
    cluster.restart_edge(&edge)?;
    wait_until("the proxy answers", STEP_TIMEOUT, || async { edge.status_of(0).await }).await?;
    let said = handed_out(&edge).await;
    cluster.resume(0);
    cluster.resume(1);
    all_serve_only(&[edge], 2, &[0, 1], STEP_TIMEOUT).await.map_err(ClusterError::TimedOut)?;
    assert_eq!(said, None, "ready, and the status of a route that was removed");
    Ok(())
}

#[tokio::test]
async fn a_controller_that_wakes_alone_hands_no_agent_its_old_text() {
    starts_beside_one_that_wakes().await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// The same with a controller that starts alone, with an old text on its disk.
async fn starts_beside_one_that_starts() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, SIZE).await?;
    let edge = cluster.edges().remove(0);
    all_serve_only(std::slice::from_ref(&edge), 0, &[1, 2], STEP_TIMEOUT)
        .await
        .map_err(ClusterError::TimedOut)?;
    cluster.kill(2).await?;
    cluster.submit_confirmed(&[0, 1], &text(2, 1)).await?;
    cluster.submit_confirmed(&[0, 1], &text(3, 2)).await?;
    cluster.kill_edge(&edge).await?;
    cluster.kill(0).await?;
    cluster.kill(1).await?;
    cluster.restart(2)?;
    cluster.restart_edge(&edge)?;
    wait_until("the proxy answers", STEP_TIMEOUT, || async { edge.status_of(0).await }).await?;
    let said = handed_out(&edge).await;
    cluster.restart(0)?;
    cluster.restart(1)?;
    all_serve_only(&[edge], 2, &[0, 1], STEP_TIMEOUT).await.map_err(ClusterError::TimedOut)?;
    assert_eq!(said, None, "ready, and the status of a route that was removed");
    Ok(())
}

#[tokio::test]
async fn a_controller_that_starts_alone_hands_no_agent_its_old_text() {
    starts_beside_one_that_starts().await.unwrap_or_else(|fault| panic!("{fault}"));
}
