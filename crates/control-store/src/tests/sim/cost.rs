//! The cost of a replace request in messages, syncs and time, and the throughput of several concurrent
//! operators.

use super::*;

const WINDOW: Duration = Duration::from_millis(500);
const ORDERS: usize = 200;

struct Cost {
    messages: f64,
    /// Without frames, and independent of the length of the texts.
    bytes: f64,
    syncs: f64,
    median: Duration,
    worst: Duration,
}

/// An idle system that receives one request each half second; idle traffic is subtracted.
fn cost(members: usize, seed: u64) -> Cost {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 8000);
    let before = (sim.messages, sim.bytes);
    sim.run(sim.now + WINDOW * ORDERS as u32);
    let at_rest = (sim.messages - before.0, sim.bytes - before.1);
    let (messages, bytes, syncs) = (sim.messages, sim.bytes, sim.stores);
    let mut times = Vec::new();
    for _ in 0..ORDERS {
        let (sent_at, end, acknowledged) = (sim.now, sim.now + WINDOW, sim.acknowledged);
        let at = sim.random_node().expect("a member");
        sim.revision += 1;
        sim.replace_at(at, sim.revision, 0, false);
        while sim.acknowledged == acknowledged && sim.now < end && sim.violation.is_none() {
            sim.run(sim.now + MS);
        }
        times.push(sim.now - sent_at);
        sim.run(end);
    }
    assert_eq!(sim.violation, None);
    assert_eq!(sim.acknowledged, ORDERS, "all requests are acknowledged within {WINDOW:?}");
    times.sort();
    Cost {
        messages: (sim.messages - messages).saturating_sub(at_rest.0) as f64 / ORDERS as f64,
        bytes: (sim.bytes - bytes).saturating_sub(at_rest.1) as f64 / ORDERS as f64,
        syncs: (sim.stores - syncs) as f64 / ORDERS as f64,
        median: times[ORDERS / 2],
        worst: times[ORDERS - 1],
    }
}

#[rstest::rstest]
#[case(3)]
#[case(5)]
#[case(9)]
fn replace_cost_is_bounded(#[case] members: usize) {
    let cost = cost(members, 1);
    println!(
        "{members} members: {:.1} messages, {:.0} bytes, {:.1} syncs, {:?} (median), {:?} (worst)",
        cost.messages, cost.bytes, cost.syncs, cost.median, cost.worst
    );
    assert!(cost.worst < WINDOW);
}

/// Concurrent operators, each sending its next request to a random member once the last one is answered.
fn race(members: usize, operators: u64, seed: u64) -> (usize, Vec<Duration>) {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    let end = sim.now + MS * 10_000;
    let mut times = Vec::new();
    let mut working: BTreeMap<u64, Duration> = BTreeMap::new();
    while sim.now < end && sim.violation.is_none() {
        working.retain(|call, sent_at| {
            let open = sim.open.contains_key(call);
            if !open {
                times.push(sim.now - *sent_at);
            }
            open
        });
        while (working.len() as u64) < operators {
            let at = sim.random_node().expect("a member");
            sim.revision += 1;
            let (call, author) = (sim.calls + 1, sim.random_below(AUTHORS));
            working.insert(call, sim.now);
            sim.replace_at(at, sim.revision, author, false);
        }
        sim.run(sim.now + MS);
    }
    assert_eq!(sim.violation, None, "{members} members, {operators} operators, seed {seed}");
    assert_eq!(
        sim.unavailable, 0,
        "{members} members, {operators} operators, seed {seed}: no call is unavailable"
    );
    times.sort();
    (sim.acknowledged, times)
}

#[rstest::rstest]
#[case(3, 1)]
#[case(3, 3)]
#[case(5, 3)]
#[case(9, 3)]
fn concurrent_operators_are_all_answered_in_time(#[case] members: usize, #[case] operators: u64) {
    let (mut total_acknowledged, mut times) = (0, Vec::new());
    for seed in 0..10 {
        let (acknowledged, more) = race(members, operators, seed);
        total_acknowledged += acknowledged;
        times.extend(more);
    }
    times.sort();
    println!(
        "{members} members, {operators} operators: {:.1} requests/s answered, {:.1} acknowledged, {:?} \
         (median), {:?} (worst)",
        times.len() as f64 / 100.0,
        total_acknowledged as f64 / 100.0,
        times[times.len() / 2],
        times[times.len() - 1]
    );
    assert!(times[times.len() - 1] < ANSWER_TIMEOUT);
}
