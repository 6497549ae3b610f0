//! Orders of operators to real controllers: two at once under one revision, orders whose answer was lost, orders that
//! come again after they were overtaken and after a restart. `TINDOCK_CONTROL_LONG=1` runs 200 races.

use tindock_control_process_tests::cluster::{Cluster, ClusterError, Size};
use tindock_control_process_tests::configuration::text;
use tindock_control_process_tests::operator::{replace, replace_request, Connection, ReplaceAnswer};
use tindock_control_process_tests::short_or_long;

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");

/// Two operators with different texts under one revision, each at a controller of its own.
struct Race<'a> {
    cluster: &'a Cluster,
    controllers: Vec<usize>,
    texts: [String; 2],
}

/// What became of a race.
#[derive(Default)]
struct Outcome {
    /// The text in force, as far as it shows.
    won: Option<usize>,
    /// What must not have happened.
    findings: Vec<String>,
}

impl Race<'_> {
    fn new(cluster: &Cluster, controllers: usize, revision: u64) -> Race<'_> {
        // Another pair of controllers each time.
        let mut controllers: Vec<usize> = (0..controllers).collect();
        let turns = revision as usize % controllers.len();
        controllers.rotate_left(turns);
        Race { cluster, controllers, texts: [text(revision, 1), text(revision, 2)] }
    }

    /// Both orders at once, the first one's answer lost if `loses`. Unclear ones are sent again, elsewhere too.
    async fn run(&self, loses: bool) -> Result<Outcome, ClusterError> {
        let (first, second) = (self.controllers[0], self.controllers[1]);
        let [a, b] = &self.texts;
        let (answer_a, answer_b) = tokio::join!(
            async {
                match loses {
                    true => send_and_leave(self.cluster, first, a).await.map(|()| ReplaceAnswer::Unanswered),
                    false => Ok(replace(self.cluster.address(first), a).await),
                }
            },
            replace(self.cluster.address(second), b)
        );
        let answers = [self.settled(answer_a?, a).await?, self.settled(answer_b, b).await?];
        let mut outcome = Outcome::default();
        let confirmed: Vec<usize> = (0..2).filter(|n| answers[*n] == ReplaceAnswer::Confirmed).collect();
        if confirmed.len() != 1 {
            outcome.findings.push(format!("{} of two texts are confirmed: {answers:?}", confirmed.len()));
        }
        let mut shown = Vec::new();
        for &controller in &self.controllers {
            match self.cluster.shown_by(controller).await {
                Ok(text) => shown.push(self.texts.iter().position(|sent| *sent == text)),
                Err(fault) => outcome.findings.extend(fault.to_string().lines().next().map(String::from)),
            }
        }
        let Some(won) = shown.first().copied().flatten().filter(|_| shown.len() == self.controllers.len())
        else {
            return Ok(outcome);
        };
        outcome.won = Some(won);
        if shown.iter().any(|other| *other != Some(won)) {
            outcome.findings.push(format!("two texts are shown: {shown:?}"));
        }
        if confirmed.len() == 1 && confirmed != [won] {
            outcome.findings.push("a text is shown that is not the confirmed one".into());
        }
        // Sent again, to a controller that has heard neither operator yet.
        let last = self.controllers[self.controllers.len() - 1];
        outcome.findings.extend(self.is_told_apart(last, won).await?.err());
        Ok(outcome)
    }

    /// Both orders sent again to one controller: the text in force is confirmed again, the other one is told apart.
    async fn is_told_apart(&self, controller: usize, won: usize) -> Result<Result<(), String>, ClusterError> {
        let answer = self.cluster.submit(&[controller], &self.texts[won]).await?;
        if answer != ReplaceAnswer::Confirmed {
            return Ok(Err(format!("the text in force, sent again, is answered {answer:?}")));
        }
        let answer = self.cluster.submit(&[controller], &self.texts[1 - won]).await?;
        let told = matches!(answer, ReplaceAnswer::Conflict { .. } | ReplaceAnswer::Superseded { .. });
        Ok(told.then_some(()).ok_or(format!("the text not in force, sent again, is answered {answer:?}")))
    }

    async fn settled(&self, answer: ReplaceAnswer, text: &str) -> Result<ReplaceAnswer, ClusterError> {
        match answer.is_definitive() {
            true => Ok(answer),
            false => self.cluster.submit(&self.controllers, text).await,
        }
    }
}

/// Sends an order whole and ends the connection before the answer.
async fn send_and_leave(cluster: &Cluster, controller: usize, text: &str) -> Result<(), ClusterError> {
    let mut connection = Connection::open(cluster.address(controller)).await?;
    connection.send(&replace_request(text)).await?;
    drop(connection);
    Ok(())
}

async fn races(controllers: usize, races: u64) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers, edges: 0 }).await?;
    let (mut findings, mut broken, mut last) = (Vec::new(), 0, None);
    for revision in 2..2 + races {
        let race = Race::new(&cluster, controllers, revision);
        let outcome = race.run(revision % 3 == 0).await?;
        broken += usize::from(!outcome.findings.is_empty());
        for finding in outcome.findings {
            println!("revision {revision}: {finding}");
            findings.push(format!("revision {revision}: {finding}"));
        }
        last = outcome.won.map(|won| (race, won));
    }
    assert!(findings.is_empty(), "{broken} of {races} races: {findings:#?}");
    for controller in 0..controllers {
        cluster.kill(controller).await?;
    }
    for controller in 0..controllers {
        cluster.restart(controller)?;
    }
    let (race, won) = last.expect("the last race had no finding");
    for controller in 0..controllers {
        cluster.assert_all_show(&[controller], &race.texts[won]).await?;
        assert_eq!(race.is_told_apart(controller, won).await?, Ok(()), "after a restart of all");
    }
    Ok(())
}

#[tokio::test]
async fn of_two_texts_under_one_revision_one_is_confirmed_by_three_controllers() {
    races(3, short_or_long(10, 200)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

#[tokio::test]
async fn of_two_texts_under_one_revision_one_is_confirmed_by_five_controllers() {
    races(5, short_or_long(5, 200)).await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// An order is sent again to each controller until it is clear: never refused, and the text in force stays.
async fn sent_again(
    cluster: &Cluster,
    order: &str,
    in_force: &str,
) -> Result<Vec<ReplaceAnswer>, ClusterError> {
    let mut answers = Vec::new();
    for controller in 0..3 {
        let once = replace(cluster.address(controller), order).await;
        let unclear = once == ReplaceAnswer::Unanswered;
        assert!(unclear || once.is_acknowledged_or_unclear(), "an order sent again was refused: {once:?}");
        answers.push(cluster.submit(&[controller], order).await?);
    }
    cluster.assert_all_show(&[0, 1, 2], in_force).await?;
    Ok(answers)
}

/// Checks all that is said of an order that a higher revision has overtaken, and of that revision.
async fn both_sent_again(cluster: &Cluster, overtaken: &str, in_force: &str) -> Result<(), ClusterError> {
    for answer in sent_again(cluster, in_force, in_force).await? {
        assert_eq!(answer, ReplaceAnswer::Confirmed, "to the order in force");
    }
    for answer in sent_again(cluster, overtaken, in_force).await? {
        let told = matches!(answer, ReplaceAnswer::Superseded { revision: Some(3) });
        assert!(told, "to an order overtaken by revision 3: {answer:?}");
    }
    Ok(())
}

async fn lost_answers() -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers: 3, edges: 0 }).await?;
    let (lost, higher) = (text(2, 0), text(3, 0));
    send_and_leave(&cluster, 0, &lost).await?;
    cluster.submit_confirmed(&[1], &lost).await?;
    for answer in sent_again(&cluster, &lost, &lost).await? {
        assert_eq!(answer, ReplaceAnswer::Confirmed, "to the order in force");
    }
    send_and_leave(&cluster, 1, &higher).await?;
    cluster.submit_confirmed(&[2], &higher).await?;
    both_sent_again(&cluster, &lost, &higher).await?;
    for controller in 0..3 {
        cluster.kill(controller).await?;
    }
    for controller in 0..3 {
        cluster.restart(controller)?;
    }
    both_sent_again(&cluster, &lost, &higher).await
}

#[tokio::test]
async fn an_order_sent_again_is_acknowledged_again_by_all_also_overtaken_and_after_a_restart() {
    lost_answers().await.unwrap_or_else(|fault| panic!("{fault}"));
}

/// The controller that takes an order is killed while it does, at other moments each time: what was confirmed stays.
async fn killed_in_the_middle(turns: u64) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers: 3, edges: 0 }).await?;
    for turn in 0..turns {
        let (taker, revision) = ((turn % 3) as usize, 2 + turn);
        let others: Vec<usize> = (0..3).filter(|other| *other != taker).collect();
        let order = text(revision, 0);
        let mut connection = Connection::open(cluster.address(taker)).await?;
        connection.send(&replace_request(&order)).await?;
        // From before it has read the order to after it has answered it.
        tokio::time::sleep(std::time::Duration::from_millis(turn * 3 % 20)).await;
        cluster.kill(taker).await?;
        let answer: ReplaceAnswer = connection.answer("POST").await.into();
        if answer == ReplaceAnswer::Confirmed {
            cluster.assert_all_show(&others, &order).await?;
        }
        cluster.submit_confirmed(&others, &order).await?;
        cluster.restart(taker)?;
        cluster.assert_all_show(&[0, 1, 2], &order).await?;
        // Until its return counts, another loss would be a second one.
        cluster.submit_confirmed(&[taker], &order).await?;
    }
    Ok(())
}

#[tokio::test]
async fn an_order_whose_controller_is_killed_is_confirmed_by_another() {
    killed_in_the_middle(short_or_long(5, 40)).await.unwrap_or_else(|fault| panic!("{fault}"));
}
