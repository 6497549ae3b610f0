//! Which instance an owner selects: docs/design/index.md.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_slot_allocation::function_id::{name_hash, FunctionId};
use tindock_slot_allocation::ledger::InstanceLedger;
use tindock_slot_allocation::messages::Ended;
use tindock_slot_allocation::pool::{Function, SlotPool, SlotRequest, Verdict};
use tindock_slot_allocation::selection::{index, Energy, IndexInputs, OFF_AFTER};
use tindock_slot_allocation::Entry;
use Energy::{Busy, Off, Setup};

const RUN: u64 = 100;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A slot pool of started instances, driven by the test.
struct Pool {
    pool: SlotPool,
    now: Duration,
    seq: u32,
    random_state: u32,
}

impl Pool {
    fn new(instances: usize, slots: usize, boot: u64) -> Pool {
        let function = Function { id: FunctionId::of("dock"), name: "dock".into(), slots, boot: ms(boot) };
        let now = Duration::from_secs(100);
        let mut pool = Pool { pool: SlotPool::new(function, now), now, seq: 0, random_state: 0 };
        for n in 0..instances {
            pool.add(n);
        }
        pool
    }

    fn add(&mut self, n: usize) {
        let entry = Entry {
            instance: format!("i-{n}"),
            function_id: FunctionId::of("dock"),
            at: SocketAddr::from(([10, 0, 0, n as u8], 80)),
            zone: "a".into(),
            ready: true,
            accepts_calls: true,
            since: ms(1),
        };
        self.pool.ledgers.push(InstanceLedger::new(entry, Duration::ZERO, Vec::new()));
    }

    fn request(&mut self, avoid: Option<usize>) -> SlotRequest {
        self.seq += 1;
        SlotRequest {
            from: SocketAddr::from(([10, 1, 0, 1], 9)),
            incarnation: 1,
            seq: self.seq,
            priority: 2,
            arrived: self.now,
            aim: self.now + ms(5000),
            end: self.now + ms(60_000),
            avoid: avoid.map_or(0, |n| name_hash(&format!("i-{n}"))),
            late: false,
            hops: 0,
        }
    }

    /// Grants a slot of this instance, and returns the number of the call.
    fn grant(&mut self, n: usize) -> u32 {
        let request = self.request(None);
        self.pool.grant(self.now, n, &request);
        request.seq
    }

    fn give_back(&mut self, seq: u32, ended: Ended) {
        self.pool.return_slot(self.now, SocketAddr::from(([10, 1, 0, 1], 9)), 1, seq, ended);
    }

    fn run(&mut self, n: usize, takes: u64) {
        let seq = self.grant(n);
        self.now += ms(takes);
        self.give_back(seq, Ended::Done);
    }

    /// Calls arrive at this rate for some seconds.
    fn rate(&mut self, rate: u64) {
        for _ in 0..8 * rate {
            self.now += Duration::from_nanos(1_000_000_000 / rate);
            self.pool.count_arrival(self.now, 0);
        }
    }

    /// The selection for one call whose slot is returned unused.
    fn pick(&mut self, avoid: Option<usize>) -> Option<usize> {
        let request = self.request(avoid);
        let seq = request.seq;
        let random_state = &mut self.random_state;
        let mut random_below = |n: usize| {
            *random_state = random_state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            (*random_state >> 16) as usize % n
        };
        let verdict = self.pool.request(self.now, request, &mut random_below);
        let Verdict::Granted(i) = verdict else {
            self.pool.queue.clear();
            return None;
        };
        let at = self.pool.ledgers[i].grants.iter().position(|grant| grant.seq == seq).unwrap();
        self.pool.ledgers[i].grants.swap_remove(at); // without a return: the statistics stay as they are
        Some(i)
    }

    /// All instances that are selected in many tries.
    fn picks(&mut self, avoid: Option<usize>) -> Vec<usize> {
        let mut all: Vec<usize> = (0..40).filter_map(|_| self.pick(avoid)).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

/// Calculated by hand from the paper's Theorem 1 with beta 0; (lambda, mu, delta) with a = lambda/delta, b =
/// lambda/mu.
#[rstest]
#[case::busy_holding_none_scores_b(0, Busy, (3.0, 2.0, 4.0), 1.5)]
#[case::off(0, Off, (3.0, 2.0, 4.0), 2.25)]
#[case::busy(2, Busy, (3.0, 2.0, 4.0), 0.8 * (12.375 - 1.6875 + 81.0 / 784.0))]
#[case::setup(2, Setup, (3.0, 2.0, 4.0), 0.8 * (12.375 + 0.75))]
#[case::near_one_busy(3, Busy, (2.0, 2.0, 8.0), 10.0 + 0.0625 - 1.0 + 0.1875 * 0.008)]
#[case::near_one_setup(3, Setup, (2.0, 2.0, 8.0), 10.25)]
#[case::near_one_none(0, Busy, (2.0, 2.0, 8.0), 1.0)]
// delta <= 1.05 mu counts as 1.05 mu: a = 3/2.1 here.
#[case::slow_boot_off(0, Off, (3.0, 2.0, 0.1), 1.5 + 3.0 / 2.1)]
#[case::slow_boot_at_the_limit(0, Off, (3.0, 2.0, 2.05), 1.5 + 3.0 / 2.1)]
#[case::slow_boot_none(0, Busy, (3.0, 2.0, 0.1), 1.5)]
fn index_matches_hand_calculation(
    #[case] n: usize,
    #[case] energy: Energy,
    #[case] (lambda, mu, delta): (f64, f64, f64),
    #[case] expected: f64,
) {
    let found = index(&IndexInputs { n, energy, lambda, mu, delta, instances: 1 });
    assert!((found - expected).abs() < 1e-9, "{found} instead of {expected}");
}

/// The order of states without setup, on both sides of delta = mu and through b = 1.
#[rstest]
fn index_orders_states(
    #[values(0.05, 1.0, 19.9999, 20.0, 20.0001, 200.0)] lambda: f64,
    #[values(0.7, 19.0, 20.0, 21.0, 22.0, 400.0)] delta: f64,
) {
    let of = |n, energy| index(&IndexInputs { n, energy, lambda, mu: 20.0, delta, instances: 3 });
    let order = [(0, Busy), (0, Off), (1, Busy), (2, Busy), (3, Busy), (8, Busy)];
    let order: Vec<f64> = order.map(|(n, energy)| of(n, energy)).to_vec();
    assert!(order.iter().all(|index| index.is_finite() && *index > 0.0), "{order:?}");
    assert!(order.windows(2).all(|pair| pair[0] < pair[1]), "{order:?}");
    // The setup form loses this order where b is large: docs/design/index.md.
    assert!(lambda > 21.0 || delta > 22.0 || of(1, Busy) < of(1, Setup));
}

#[derive(Clone, Copy)]
enum Was {
    /// Never used.
    New,
    /// Has completed a call; so many are in flight.
    Known(usize),
    /// The same, but its last call is longer ago than the window.
    Idle,
    /// Stopped responding.
    Returning,
}
use Was::{Idle, Known, New, Returning};

#[rstest]
#[case::fewest_of_equal_ones(&[Known(2), Known(1), Known(3)], None, &[1])]
#[case::ties_are_spread(&[Known(1), Known(2), Known(1)], None, &[0, 2])]
#[case::all_tie(&[Known(0), Known(0)], None, &[0, 1])]
#[case::full_ones_are_out(&[Known(4), Known(3)], None, &[1])]
#[case::all_full(&[Known(4), Known(4)], None, &[])]
#[case::warm_before_off(&[Idle, Known(0)], None, &[1])]
#[case::off_before_busy(&[Idle, Known(1)], None, &[0])]
#[case::new_is_scored_with_the_mean(&[New, Known(1), Known(3)], None, &[1])]
#[case::new_ties_with_the_only_other(&[New, Known(2)], None, &[0, 1])]
#[case::new_when_the_others_are_full(&[New, Known(4)], None, &[0])]
#[case::only_new_ones_use_their_own_index(&[New, New], None, &[0, 1])]
#[case::responding_again_is_new(&[Returning, Known(1), Known(3)], None, &[1])]
#[case::avoided_though_lowest(&[Known(0), Known(3)], Some(0), &[1])]
#[case::avoided_alone(&[Known(4), Known(3)], Some(1), &[1])]
#[case::avoided_before_none(&[Known(0)], Some(0), &[0])]
#[case::new_before_avoided(&[New, Known(0)], Some(1), &[0])]
fn selects_instance(
    #[case] were: &[Was],
    #[case] avoid: Option<usize>,
    #[case] expected: &[usize],
    #[values(2, 20_000)] boot: u64,
    #[values(1, 30, 300)] rate: u64,
) {
    let mut pool = Pool::new(were.len(), 4, boot);
    for (n, was) in were.iter().enumerate() {
        if !matches!(was, New | Returning) {
            pool.run(n, RUN);
        }
    }
    for n in were.iter().enumerate().filter(|(_, was)| matches!(was, Returning)).map(|(n, _)| n) {
        pool.run(n, RUN);
        let seq = pool.grant(n);
        pool.give_back(seq, Ended::Silent);
    }
    pool.now += OFF_AFTER;
    pool.rate(rate);
    for (n, was) in were.iter().enumerate() {
        let Known(no_invariant_is_violated) = was else { continue };
        let seq = pool.grant(n);
        pool.give_back(seq, Ended::Done);
        for _ in 0..*no_invariant_is_violated {
            pool.grant(n);
        }
    }
    assert_eq!(pool.picks(avoid), expected);
}

/// An instance that was off and has not answered yet is ranked behind an equally loaded one that answers.
#[rstest]
fn busy_instance_is_selected_before_setup(#[values(1, 30)] rate: u64) {
    let mut pool = Pool::new(2, 4, 1400);
    (0..2).for_each(|n| pool.run(n, RUN));
    pool.now += OFF_AFTER;
    pool.rate(rate);
    pool.run(1, RUN);
    for n in 0..2 {
        pool.grant(n);
    }
    assert_eq!(pool.picks(None), [1]);
    // It has answered: both are equal.
    let seq = pool.grant(0);
    pool.give_back(seq, Ended::Done);
    assert_eq!(pool.picks(None), [0, 1]);
}

/// An instance's own run times count once they differ clearly over many runs, and not before; failed calls
/// don't count.
#[rstest]
#[case::few_runs(3, 300, Ended::Done, &[0, 1])]
#[case::slow_over_many(60, 300, Ended::Done, &[0])]
#[case::quick_over_many(60, 30, Ended::Done, &[1])]
#[case::alike_over_many(60, 100, Ended::Done, &[0, 1])]
#[case::slow_failures(60, 300, Ended::Idle, &[0, 1])]
#[case::slow_refusals(60, 300, Ended::Full, &[0, 1])]
fn run_times_of_one_instance_count_once_clear(
    #[case] runs: usize,
    #[case] takes: u64,
    #[case] ended: Ended,
    #[case] expected: &[usize],
) {
    let mut pool = Pool::new(2, 4, 1400);
    (0..40).for_each(|_| pool.run(0, RUN));
    pool.run(1, RUN);
    for _ in 0..runs {
        pool.run(0, RUN);
        let seq = pool.grant(1);
        pool.now += ms(takes);
        pool.give_back(seq, ended);
    }
    pool.now += ms(100);
    for n in [0, 1] {
        let seq = pool.grant(n);
        pool.give_back(seq, Ended::Idle);
        pool.grant(n);
    }
    assert_eq!(pool.picks(None), expected);
}

/// The index grows as b^n: no addend keeps a retry away from the instance of the first try.
#[rstest]
fn avoided_instance_comes_last_under_load() {
    let mut pool = Pool::new(2, 8, 1400);
    (0..2).for_each(|n| pool.run(n, 2000));
    pool.rate(200);
    for _ in 0..7 {
        pool.grant(1);
    }
    let inputs = IndexInputs { n: 7, energy: Busy, lambda: 200.0, mu: 4.0, delta: 0.7, instances: 2 };
    assert!(index(&inputs) > 1e6);
    assert_eq!(pool.picks(Some(0)), [1]);
}

/// Observed starts adjust delta: an instance that starts faster than it runs has the paper's own index, and
/// off comes before busy.
#[rstest]
fn observed_starts_refine_delta() {
    let slow = IndexInputs { n: 0, energy: Off, lambda: 3.0, mu: 2.0, delta: 1.0, instances: 1 };
    let mut boots = tindock_slot_allocation::selection::BootTimes::default();
    assert!((boots.delta(ms(1000)) - slow.delta).abs() < 1e-9);
    (0..40).for_each(|_| boots.observe(ms(250), ms(1000)));
    assert!((boots.delta(ms(1000)) - 4.0).abs() < 0.01);
    assert!((boots.delta(ms(500)) - 8.0).abs() < 0.02);
    assert!(index(&IndexInputs { delta: boots.delta(ms(1000)), ..slow }) < index(&slow));
}
