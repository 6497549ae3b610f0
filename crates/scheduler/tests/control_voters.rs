//! Changes of who votes among real controllers: replaced ones, emptied ones, ones that leave by plan, and the loss of a
//! second one as soon as the documented time has passed.

use tindock_control_process_tests::cluster::{wait_until, Cluster, ClusterError, Size, STEP_TIMEOUT};
use tindock_control_process_tests::configuration::text;
use tindock_control_process_tests::operator::{show, ShowAnswer};
use tindock_control_process_tests::{short_or_long, SYNC_TIME};
use tokio::time::{sleep_until, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");

/// How a controller goes for good.
#[derive(Clone, Copy)]
enum Goes {
    Killed,
    /// With SIGTERM, right after it has confirmed an order.
    ByPlan,
}

/// One controller is replaced by an empty one at another address; a second one is lost when the first counts again.
async fn replaced_then_a_second_lost(controllers: usize, goes: Goes) -> Result<(), ClusterError> {
    let mut cluster = Cluster::start(PROGRAM, Size { controllers, edges: 0 }).await?;
    let order = text(2, 0);
    cluster.submit_confirmed(&[0], &order).await?;
    match goes {
        Goes::Killed => cluster.kill(0).await?,
        Goes::ByPlan => cluster.terminate(0).await?,
    }
    let new = cluster.replace_by_new(0)?;
    sleep_until(Instant::now() + SYNC_TIME).await;
    cluster.kill(1).await?;
    let left: Vec<usize> = (2..controllers).chain([new]).collect();
    cluster.assert_all_show(&left, &order).await?;
    let next = text(3, 0);
    cluster.submit_confirmed(&left, &next).await?;
    cluster.assert_all_show(&left, &next).await
}

#[tokio::test]
async fn of_three_one_is_replaced_after_a_kill_and_a_second_one_lost() {
    replaced_then_a_second_lost(3, Goes::Killed).await.unwrap_or_else(|fault| panic!("{fault}"));
}

#[tokio::test]
async fn of_three_one_is_replaced_after_it_left_and_a_second_one_lost() {
    replaced_then_a_second_lost(3, Goes::ByPlan).await.unwrap_or_else(|fault| panic!("{fault}"));
}

#[tokio::test]
async fn of_five_one_is_replaced_after_a_kill_and_a_second_one_lost() {
    replaced_then_a_second_lost(5, Goes::Killed).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// All controllers are replaced, one after the other, with an order in each step: no copy is left from the beginning.
async fn all_replaced(steps: u64) -> Result<(), ClusterError> {
    let mut cluster = Cluster::start(PROGRAM, Size { controllers: 3, edges: 0 }).await?;
    let mut members = vec![0, 1, 2];
    for step in 0..steps {
        let order = text(2 + step, 0);
        let oldest = members.remove(0);
        cluster.submit_confirmed(&[oldest], &order).await?;
        cluster.kill(oldest).await?;
        members.push(cluster.replace_by_new(oldest)?);
        sleep_until(Instant::now() + SYNC_TIME).await;
        cluster.assert_all_show(&members, &order).await?;
    }
    // The copies are counted: any one may be missing.
    let newest = text(1 + steps, 0);
    for &lost in &members[..short_or_long(1, 3)] {
        cluster.kill(lost).await?;
        let left: Vec<usize> = members.iter().copied().filter(|member| *member != lost).collect();
        cluster.assert_all_show(&left, &newest).await?;
        cluster.restart(lost)?;
        cluster.assert_all_show(&[lost], &newest).await?;
        sleep_until(Instant::now() + SYNC_TIME).await;
    }
    Ok(())
}

#[tokio::test]
async fn all_are_replaced_one_after_the_other() {
    all_replaced(short_or_long(3, 9)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// The disks are lost, one after the other; the text goes from hand to hand.
async fn all_emptied(steps: usize) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers: 3, edges: 0 }).await?;
    let order = text(2, 0);
    cluster.submit_confirmed(&[0], &order).await?;
    for step in 0..steps {
        let lost = step % 3;
        cluster.kill(lost).await?;
        cluster.restart_empty(lost)?;
        sleep_until(Instant::now() + SYNC_TIME).await;
        cluster.assert_all_show(&[0, 1, 2], &order).await?;
    }
    for controller in 0..3 {
        cluster.kill(controller).await?;
    }
    for controller in 0..3 {
        cluster.restart(controller)?;
    }
    cluster.assert_all_show(&[0, 1, 2], &order).await
}

#[tokio::test]
async fn all_disks_are_lost_one_after_the_other() {
    all_emptied(short_or_long(3, 9)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// A controller leaves with SIGTERM right after it has confirmed, another one is killed at once: too much to go on, and
/// nothing old is handed out meanwhile.
async fn leaves_and_another_is_killed() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers: 3, edges: 0 }).await?;
    let order = text(2, 0);
    cluster.submit_confirmed(&[0], &order).await?;
    cluster.terminate(0).await?;
    cluster.kill(1).await?;
    let left = cluster.address(2);
    wait_until("the one that is left says that it is alone", STEP_TIMEOUT, || async {
        match show(left).await {
            // As long as the two others were there.
            ShowAnswer::Text(text) => {
                assert_eq!(text, order, "an old text is handed out");
                None
            }
            ShowAnswer::Unclear { .. } => Some(()),
            ShowAnswer::Unexpected(..) | ShowAnswer::Unanswered => None,
        }
    })
    .await?;
    cluster.restart(1)?;
    cluster.assert_all_show(&[1, 2], &order).await?;
    cluster.submit_confirmed(&[2], &text(3, 0)).await?;
    cluster.restart(0)?;
    cluster.assert_all_show(&[0, 1, 2], &text(3, 0)).await
}

#[tokio::test]
async fn one_leaves_after_it_confirmed_and_another_is_killed_at_once() {
    leaves_and_another_is_killed().await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// All are killed at once, with few and with many of them.
async fn all_killed(controllers: usize) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers, edges: 0 }).await?;
    let order = text(2, 0);
    cluster.submit_confirmed(&[controllers - 1], &order).await?;
    for controller in 0..controllers {
        cluster.kill(controller).await?;
    }
    for controller in 0..controllers {
        cluster.restart(controller)?;
    }
    for controller in 0..controllers {
        cluster.assert_all_show(&[controller], &order).await?;
    }
    cluster.submit_confirmed(&[0], &text(3, 0)).await
}

#[tokio::test]
async fn one_two_and_four_controllers_keep_their_text_when_all_are_killed() {
    for controllers in short_or_long(vec![1, 2, 4], (1..=9).collect()) {
        all_killed(controllers).await.unwrap_or_else(|fault| panic!("{controllers}: {fault}"));
    }
}
