//! A controller that got SIGTERM, as a process: every operator's call that it has read is answered before its end.

use std::time::Duration;
use tindock_control_process_tests::cluster::{Cluster, Size};
use tindock_control_process_tests::configuration::text;
use tindock_control_process_tests::operator::{replace, show, ReplaceAnswer, ShowAnswer};
use tindock_mock_services::fleet::Role;
use tokio::time::{sleep, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");
const SIZE: Size = Size { controllers: 3, edges: 0 };
/// Until a call that was sent is in the controller's hands.
const READ: Duration = Duration::from_millis(100);
/// Less than a controller's contact lasts: it does not know yet that it is alone.
const AT_ONCE: Duration = Duration::from_millis(500);

#[tokio::test]
async fn a_leaving_controller_answers_the_calls_in_hand_and_refuses_new_ones_at_once() {
    let cluster = Cluster::start(PROGRAM, SIZE).await.unwrap_or_else(|fault| panic!("{fault}"));
    let machines = cluster.fleet.machines(Role::Controller);
    let leaving = cluster.address(0);
    // Nothing that it is asked can be decided any more.
    for machine in &machines[1..] {
        assert!(cluster.fleet.freeze(machine, Role::Controller));
    }
    let order = tokio::spawn(async move { replace(leaving, &text(2, 0)).await });
    sleep(READ).await;
    assert!(cluster.fleet.terminate(&machines[0], Role::Controller));
    sleep(READ).await;
    let asked = Instant::now();
    let late_text = text(3, 0);
    let (late_order, late_look) = tokio::join!(replace(leaving, &late_text), show(leaving));
    let late_took = asked.elapsed();
    let in_hand = order.await.expect("it does not panic");
    let log = cluster.fleet.log(&machines[0], Role::Controller);
    for machine in &machines[1..] {
        cluster.fleet.resume(machine, Role::Controller);
    }

    assert!(matches!(in_hand, ReplaceAnswer::Unclear { .. }), "{in_hand:?}\n{log}");
    assert!(matches!(late_order, ReplaceAnswer::Unclear { .. }), "{late_order:?}\n{log}");
    assert!(matches!(late_look, ShowAnswer::Unclear { .. }), "{late_look:?}\n{log}");
    assert!(late_took < AT_ONCE, "{late_took:?}\n{log}");
}
