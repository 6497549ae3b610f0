//! Operators' connections to real controllers: cut in the middle of a call, kept for several, used by several callers.

use tindock_control_process_tests::cluster::{Cluster, ClusterError, Size};
use tindock_control_process_tests::configuration::{invalid_text, text};
use tindock_control_process_tests::operator::{
    replace, replace_request, show_request, Connection, ReplaceAnswer, ShowAnswer,
};
use tindock_control_process_tests::short_or_long;

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");
const THREE: Size = Size { controllers: 3, edges: 0 };

/// A call that is cut after so many of its bytes, by a reset or by an end of the stream: nothing changes.
async fn cut_calls(cuts: usize) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    let (before, order) = (text(1, 0), text(2, 0));
    let bytes = replace_request(&order);
    for cut in 0..cuts {
        let length = (bytes.len() - 1) * (cut + 1) / cuts;
        let controller = cut % 3;
        let mut reset = Connection::open(cluster.address(controller)).await?;
        reset.send(&bytes[..length]).await?;
        reset.reset()?;
        let mut ended = Connection::open(cluster.address(controller)).await?;
        ended.send(&bytes[..length]).await?;
        ended.end().await?;
        assert!(ended.closes_without_answer().await, "a call cut after {length} bytes has an answer");
    }
    cluster.assert_all_show(&[0, 1, 2], &before).await?;
    cluster.submit_confirmed(&[0], &order).await?;
    cluster.assert_all_show(&[0, 1, 2], &order).await
}

#[tokio::test]
async fn a_call_that_is_cut_changes_nothing() {
    cut_calls(short_or_long(6, 60)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// Several calls on one connection, sent before the first answer: each answer is the one to its call.
async fn pipelined(turns: u64) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    let mut connection = Connection::open(cluster.address(0)).await?;
    for turn in 0..turns {
        let order = text(2 + turn, 0);
        let mut bytes = replace_request(&order);
        bytes.extend(show_request());
        bytes.extend(replace_request(&invalid_text(100 + turn)));
        bytes.extend(show_request());
        connection.send(&bytes).await?;
        let replaced: ReplaceAnswer = connection.answer("POST").await.into();
        assert_eq!(replaced, ReplaceAnswer::Confirmed, "the first of four calls");
        let shown: ShowAnswer = connection.answer("GET").await.into();
        assert_eq!(shown, ShowAnswer::Text(order.clone()), "the second of four calls");
        let refused: ReplaceAnswer = connection.answer("POST").await.into();
        assert!(matches!(refused, ReplaceAnswer::Invalid(_)), "the third of four calls: {refused:?}");
        let shown: ShowAnswer = connection.answer("GET").await.into();
        assert_eq!(shown, ShowAnswer::Text(order), "the fourth of four calls");
    }
    Ok(())
}

#[tokio::test]
async fn calls_on_one_connection_are_answered_in_order() {
    pipelined(short_or_long(5, 50)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// Many callers at one controller at once, each with a text or a fault of its own: nobody gets another one's answer.
async fn many_callers(callers: usize) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    let order = text(2, 0);
    cluster.submit_confirmed(&[0], &order).await?;
    let mut kept = Vec::new();
    for caller in 0..callers {
        let mut connection = Connection::open(cluster.address(0)).await?;
        let call = match caller % 3 {
            0 => show_request(),
            1 => replace_request(&order),
            _ => replace_request(&invalid_text(100)),
        };
        connection.send(&call).await?;
        kept.push(connection);
    }
    // The other way round than they came.
    for (caller, connection) in kept.iter_mut().enumerate().rev() {
        match caller % 3 {
            0 => {
                let shown: ShowAnswer = connection.answer("GET").await.into();
                assert_eq!(shown, ShowAnswer::Text(order.clone()), "to caller {caller}");
            }
            1 => {
                let replaced: ReplaceAnswer = connection.answer("POST").await.into();
                assert_eq!(replaced, ReplaceAnswer::Confirmed, "to caller {caller}");
            }
            _ => {
                let replaced: ReplaceAnswer = connection.answer("POST").await.into();
                assert!(matches!(replaced, ReplaceAnswer::Invalid(_)), "to caller {caller}: {replaced:?}");
            }
        }
    }
    Ok(())
}

#[tokio::test]
async fn each_caller_gets_the_answer_to_its_own_call() {
    many_callers(short_or_long(30, 120)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// A caller resets its connection while its order is under way: the next caller's answers are its own.
async fn reset_under_way(turns: u64) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, THREE).await?;
    for turn in 0..turns {
        let at = cluster.address((turn % 3) as usize);
        let mut connection = Connection::open(at).await?;
        connection.send(&replace_request(&text(2 + 2 * turn, 0))).await?;
        connection.reset()?;
        // Whether the order that was cut off is in force is not known; this one, above it, is.
        let next = text(3 + 2 * turn, 0);
        let mut answer = replace(at, &next).await;
        if !answer.is_definitive() {
            answer = cluster.submit(&[0, 1, 2], &next).await?;
        }
        assert_eq!(answer, ReplaceAnswer::Confirmed);
        cluster.assert_all_show(&[0, 1, 2], &next).await?;
    }
    Ok(())
}

#[tokio::test]
async fn an_order_after_one_that_was_reset_is_taken() {
    reset_under_way(short_or_long(5, 50)).await.unwrap_or_else(|fault| panic!("{fault}"));
}
