//! Operators order and look while controllers are killed, frozen, emptied and all killed at once, by chance: whatever
//! comes, no history of theirs breaks the rules of `tindock_control_process_tests::history`. The seed is printed where
//! it does. `TINDOCK_CONTROL_LONG=1` hunts for five minutes; `TINDOCK_CONTROL_SEED` names another seed.

use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tindock_control_process_tests::cluster::{Cluster, ClusterError, Size};
use tindock_control_process_tests::configuration::{text, version_of};
use tindock_control_process_tests::history::{History, Observation, Submission, Version, ViolationKind};
use tindock_control_process_tests::operator::{replace_within, show_within, ShowAnswer};
use tindock_control_process_tests::{short_or_long, POLL_INTERVAL, SYNC_TIME};
use tokio::time::{sleep, sleep_until, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tindock");
/// An operator moves to another controller after so long a silence.
const OPERATORS_PATIENCE: Duration = Duration::from_secs(1);
const OPERATORS: u32 = 2;

struct Hunt {
    cluster: Cluster,
    controllers: u64,
    history: RefCell<History>,
    highest: Cell<u64>,
    began: Instant,
    over: Instant,
}

impl Hunt {
    fn is_over(&self) -> bool {
        Instant::now() >= self.over
    }

    fn any(&self, chance: &mut Rand64) -> usize {
        chance.rand_range(0..self.controllers) as usize
    }

    /// Sends new revisions, revisions that another operator has just sent, and orders that were unclear or overtaken.
    async fn operate(&self, operator: u32, mut chance: Rand64) {
        let mut version = Version { revision: 2, variant: operator };
        while !self.is_over() {
            version.revision = match chance.rand_range(0..10) {
                0..4 => self.highest.get() + 1,
                // At the same time as the other operator, or just after.
                4..8 => self.highest.get(),
                _ => version.revision,
            };
            self.highest.set(self.highest.get().max(version.revision));
            let (at, began) = (self.cluster.address(self.any(&mut chance)), self.began.elapsed());
            let answer =
                replace_within(at, &text(version.revision, version.variant), OPERATORS_PATIENCE).await;
            let ended = self.began.elapsed();
            self.history.borrow_mut().submissions.push(Submission { began, ended, version, answer });
            sleep(Duration::from_millis(chance.rand_range(1..60))).await;
        }
    }

    async fn look(&self, mut chance: Rand64) {
        while !self.is_over() {
            let (at, began) = (self.cluster.address(self.any(&mut chance)), self.began.elapsed());
            if let ShowAnswer::Text(text) = show_within(at, OPERATORS_PATIENCE).await {
                let version = version_of(&text).expect("a text that was sent");
                let ended = self.began.elapsed();
                self.history.borrow_mut().observations.push(Observation { began, ended, version });
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// One trouble after the other, in an order by chance. Disks are lost one at a time, with all others there for the documented time.
    async fn trouble(&self, mut chance: Rand64) -> Result<(), ClusterError> {
        while !self.is_over() {
            let victim = self.any(&mut chance);
            let other = (victim + 1) % self.controllers as usize;
            let length = Duration::from_millis(chance.rand_range(50..2500));
            match chance.rand_range(0..10) {
                0..3 => {
                    self.cluster.kill(victim).await?;
                    sleep(length / 2).await;
                    self.cluster.restart(victim)?;
                }
                3..6 => {
                    self.cluster.freeze(victim);
                    sleep(length).await;
                    self.cluster.resume(victim);
                }
                6 => {
                    // One wakes alone, and has heard nothing of what the others did.
                    let queue = self.cluster.make_stale(victim).await?;
                    sleep(length).await;
                    drop(queue);
                    let others = (0..self.controllers as usize).filter(|other| *other != victim);
                    others.clone().for_each(|other| self.cluster.freeze(other));
                    self.cluster.resume(victim);
                    sleep(length / 2).await;
                    others.for_each(|other| self.cluster.resume(other));
                }
                7 => {
                    // One wakes when the other one has just gone.
                    self.cluster.freeze(victim);
                    sleep(length).await;
                    self.cluster.freeze(other);
                    self.cluster.resume(victim);
                    sleep(length / 2).await;
                    self.cluster.resume(other);
                }
                8 => {
                    for controller in 0..self.controllers as usize {
                        self.cluster.kill(controller).await?;
                    }
                    for controller in 0..self.controllers as usize {
                        self.cluster.restart(controller)?;
                    }
                }
                _ => {
                    sleep_until(Instant::now() + SYNC_TIME).await;
                    self.cluster.kill(victim).await?;
                    self.cluster.restart_empty(victim)?;
                    sleep_until(Instant::now() + SYNC_TIME).await;
                }
            }
            sleep(Duration::from_millis(chance.rand_range(1..800))).await;
        }
        Ok(())
    }
}

async fn hunt(controllers: usize, seed: u64) -> Result<(), ClusterError> {
    let cluster = Cluster::start(PROGRAM, Size { controllers, edges: 0 }).await?;
    let began = Instant::now();
    let hunt = Hunt {
        cluster,
        controllers: controllers as u64,
        history: RefCell::default(),
        highest: Cell::new(2),
        began,
        over: began + short_or_long(Duration::from_secs(12), Duration::from_secs(300)),
    };
    let chance = |part: u128| Rand64::new(u128::from(seed) << 8 | part);
    let (_, _, _, _, troubled) = tokio::join!(
        hunt.operate(1, chance(1)),
        hunt.operate(OPERATORS, chance(2)),
        hunt.look(chance(3)),
        hunt.look(chance(4)),
        hunt.trouble(chance(5)),
    );
    troubled?;
    let all: Vec<usize> = (0..controllers).collect();
    let last = Version { revision: hunt.highest.get() + 1, variant: 0 };
    hunt.cluster.submit_confirmed(&all, &text(last.revision, last.variant)).await?;
    hunt.cluster.assert_all_show(&all, &text(last.revision, last.variant)).await?;
    let history = hunt.history.borrow();
    let (violations, orders, seen) =
        (history.violations(), history.submissions.len(), history.observations.len());
    let mut kinds: BTreeMap<ViolationKind, (usize, String)> = BTreeMap::new();
    for violation in &violations {
        kinds.entry(violation.kind()).or_insert((0, violation.to_string())).0 += 1;
    }
    println!("seed {seed}: {orders} orders, {seen} texts shown");
    assert!(kinds.is_empty(), "seed {seed}: {orders} orders, {seen} texts shown, {kinds:#?}");
    assert!(orders > 20 && seen > 20, "too little was tried: {orders} orders, {seen} texts shown");
    Ok(())
}

fn seed() -> u64 {
    std::env::var("TINDOCK_CONTROL_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

#[tokio::test]
async fn no_history_of_operators_at_three_controllers_breaks_a_rule() {
    hunt(3, seed()).await.unwrap_or_else(|fault| panic!("{fault}"));
}

#[tokio::test]
async fn no_history_of_operators_at_five_controllers_breaks_a_rule() {
    hunt(5, seed()).await.unwrap_or_else(|fault| panic!("{fault}"));
}
