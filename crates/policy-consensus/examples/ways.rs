//! Compares four ways to distribute a policy to all members of a group, under the same faults:
//!
//!     cargo run --release -p tindock-policy-consensus --example ways
//!
//! Each model covers only what distinguishes them: whose answers are required to proceed, what a member does
//! that receives nothing, and which messages are sent. The method that was built is measured elsewhere with
//! the real implementation and real processes; here it is a model like the others.

use oorandom::Rand32;

const MEMBERS: usize = 5;
const VOTERS: usize = 5;
const RUNS: u64 = 10_000;
/// Durations in milliseconds: a fault, a lease, the wait for members that do not answer, the interval between
/// retransmissions, and the notice before a policy takes effect.
const FAULT_MS: f64 = 20_000.0;
const LEASE_MS: f64 = 6_000.0;
const RESPONSE_TIMEOUT_MS: f64 = 2_000.0;
const RETRANSMIT_INTERVAL_MS: f64 = 200.0;
const ACTIVATION_NOTICE_MS: f64 = 5_000.0;
/// Mixed service counts as lasting if it exceeds a lease and its margin; a change counts as stuck after
/// `STUCK_CHANGE_MS`.
const LASTING_MIX_MS: f64 = LEASE_MS * 1.03;
const STUCK_CHANGE_MS: f64 = 15_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// One member is down throughout, and returns after the fault.
    Down,
    /// One member is partitioned during the change, and serves.
    Cut,
    /// The proposer crashes during the change, and returns after the fault.
    MakerDies,
    /// One member cannot serve under the new policy.
    Refuses,
}

/// The result of one run.
#[derive(Default)]
struct RunResult {
    /// When it was in force on the last reachable member, if it was.
    at: Option<f64>,
    /// How long some member served under the old policy after another served under the new one.
    mixed_ms: f64,
    /// It took effect although a member refused it.
    forced: bool,
    messages: f64,
}

/// Duration of a request and its answer, with losses, and the number of messages.
fn round_trip(rng: &mut Rand32) -> (f64, f64) {
    let (mut elapsed, mut messages) = (0.0, 0.0);
    loop {
        messages += 2.0;
        let lost = rng.rand_float() < 0.05 || rng.rand_float() < 0.05;
        if !lost {
            return (elapsed + f64::from(rng.rand_float() + rng.rand_float()) * 20.0 + 1.0, messages);
        }
        elapsed += RETRANSMIT_INTERVAL_MS;
    }
}

/// The slowest of `with` round trips, or the one that completes a quorum of `needed`.
fn round_trips(rng: &mut Rand32, with: usize, needed: usize) -> (f64, f64) {
    let mut all: Vec<(f64, f64)> = (0..with).map(|_| round_trip(rng)).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let messages = all.iter().map(|(_, messages)| messages).sum();
    (needed.checked_sub(1).map_or(0.0, |last| all[last].0), messages)
}

/// All members answer a first round; then a durable coordinator announces the result. Members that have
/// answered wait for it under the old policy.
fn two_phases(rng: &mut Rand32, fault: Fault) -> RunResult {
    let (prepared, m1) = round_trips(rng, MEMBERS - 1, MEMBERS - 1);
    let (announced, m2) = round_trips(rng, MEMBERS - 1, MEMBERS - 1);
    let messages = m1 + m2;
    match fault {
        Fault::None => {
            RunResult { at: Some(prepared + announced), mixed_ms: announced, messages, forced: false }
        }
        // It cannot be left out, and it is unknown whether it serves.
        Fault::Down => RunResult {
            at: Some(FAULT_MS + prepared + announced),
            mixed_ms: announced,
            messages,
            forced: false,
        },
        // It has answered, and learns the result once it is reachable again; until then it serves under the
        // old policy.
        Fault::Cut => RunResult {
            at: Some(prepared + announced),
            mixed_ms: FAULT_MS - prepared,
            messages,
            forced: false,
        },
        Fault::MakerDies => {
            // In half of the cases it had announced the result to some members already.
            let half = rng.rand_float() < 0.5;
            let mixed_ms = if half { FAULT_MS } else { announced };
            RunResult { at: Some(FAULT_MS + prepared + announced), mixed_ms, messages, forced: false }
        }
        Fault::Refuses => RunResult { at: None, mixed_ms: 0.0, messages: m1, forced: false },
    }
}

/// A majority of voters decides behind a fence, once all members have staged the policy or their leases have
/// expired.
fn register(rng: &mut Rand32, fault: Fault) -> RunResult {
    let majority = VOTERS / 2 + 1;
    let (prepared, m1) = round_trips(rng, VOTERS - 1, majority - 1);
    let (staged, m2) = round_trips(rng, MEMBERS - 1, MEMBERS - 1);
    let (fenced, m3) = round_trips(rng, VOTERS - 1, majority - 1);
    let (accepted, m4) = round_trips(rng, VOTERS - 1, majority - 1);
    let (announced, m5) = round_trips(rng, MEMBERS - 1, MEMBERS - 1);
    // Members that have staged it report that to the voters.
    let renewals = 2.0 * (MEMBERS * (VOTERS - 1)) as f64;
    let (decided, messages) = (prepared + staged + fenced + accepted, m1 + m2 + m3 + m4 + m5 + renewals);
    let lease_left = LEASE_MS * 1.03 * f64::from(rng.rand_range(66..100)) / 100.0;
    match fault {
        Fault::None => {
            RunResult { at: Some(decided + announced), mixed_ms: announced, messages, forced: false }
        }
        // It may have served until just before.
        Fault::Down => {
            let decided = prepared + RESPONSE_TIMEOUT_MS.max(lease_left) + fenced + accepted;
            RunResult { at: Some(decided + announced), mixed_ms: announced, messages, forced: false }
        }
        // It has staged the policy, so nobody waits for it; it serves until its lease expires.
        Fault::Cut => {
            RunResult { at: Some(decided + announced), mixed_ms: lease_left, messages, forced: false }
        }
        Fault::MakerDies => {
            // Another member completes it if any voter has accepted it; otherwise it is not decided, and a
            // new one can be proposed.
            let completed = decided + 1_000.0 + f64::from(rng.rand_float()) * 1_000.0 + decided;
            RunResult {
                at: Some(completed + announced),
                mixed_ms: lease_left.min(completed),
                messages: messages * 2.0,
                forced: false,
            }
        }
        Fault::Refuses => RunResult { at: None, mixed_ms: 0.0, messages: m1 + m2, forced: false },
    }
}

/// Every member sends what it knows to three others every 200 ms; the policy takes effect at a set time.
fn gossip(rng: &mut Rand32, fault: Fault) -> RunResult {
    let turns = ACTIVATION_NOTICE_MS / RETRANSMIT_INTERVAL_MS;
    let messages = turns * 3.0 * MEMBERS as f64;
    // Clocks differ slightly.
    let apart = f64::from(rng.rand_float()) * 100.0;
    let late = matches!(fault, Fault::Down | Fault::Cut);
    RunResult {
        at: Some(ACTIVATION_NOTICE_MS + apart),
        // A partitioned member does not learn of it, and serves; one that was down returns with its old
        // policy until it receives the update.
        mixed_ms: match fault {
            Fault::Cut => FAULT_MS - ACTIVATION_NOTICE_MS,
            Fault::Down => f64::from(rng.rand_float()) * RETRANSMIT_INTERVAL_MS,
            _ => apart,
        },
        forced: fault == Fault::Refuses,
        messages: if late { messages * FAULT_MS / ACTIVATION_NOTICE_MS } else { messages },
    }
}

/// First a policy compatible with both, then the new one; each must reach all members before the next begins.
fn joint_policy(rng: &mut Rand32, fault: Fault) -> RunResult {
    let (first, m1) = round_trips(rng, MEMBERS - 1, MEMBERS - 1);
    let (second, m2) = round_trips(rng, MEMBERS - 1, MEMBERS - 1);
    let (elapsed, messages) = (first + second, m1 + m2);
    match fault {
        Fault::None => RunResult { at: Some(elapsed), mixed_ms: 0.0, messages, forced: false },
        // Neither reaches all members while one is away; what is served meanwhile is compatible with both.
        Fault::Down | Fault::Cut | Fault::MakerDies => {
            RunResult { at: Some(FAULT_MS + elapsed), mixed_ms: 0.0, messages, forced: false }
        }
        Fault::Refuses => RunResult { at: None, mixed_ms: 0.0, messages: m1, forced: false },
    }
}

type Model = fn(&mut Rand32, Fault) -> RunResult;

fn main() {
    let models: [(&str, Model); 4] = [
        ("two phases, a durable maker", two_phases),
        ("register by majority, leases", register),
        ("gossip, a time of effect", gossip),
        ("over a joint policy", joint_policy),
    ];
    println!(
        "| method | fault | in force, median | stuck over 15 s | mixed over a lease | longest mix | forced | \
         messages |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, model) in models {
        for fault in [Fault::None, Fault::Down, Fault::Cut, Fault::MakerDies, Fault::Refuses] {
            let mut results: Vec<RunResult> =
                (0..RUNS).map(|seed| model(&mut Rand32::new(seed), fault)).collect();
            results.sort_by(|a, b| a.at.unwrap_or(f64::MAX).total_cmp(&b.at.unwrap_or(f64::MAX)));
            let share = |holds: &dyn Fn(&RunResult) -> bool| {
                results.iter().filter(|one| holds(one)).count() as f64 / RUNS as f64
            };
            let median = results[results.len() / 2].at.map_or("nowhere".into(), |at| format!("{at:.0} ms"));
            let longest = results.iter().map(|one| one.mixed_ms).fold(0.0, f64::max);
            let messages = results.iter().map(|one| one.messages).sum::<f64>() / RUNS as f64;
            println!(
                "| {name} | {fault:?} | {median} | {:.2} | {:.2} | {:.1} s | {:.2} | {messages:.0} |",
                share(&|one| one.at.is_some_and(|at| at > STUCK_CHANGE_MS)),
                share(&|one| one.mixed_ms > LASTING_MIX_MS),
                longest / 1000.0,
                share(&|one| one.forced),
            );
        }
    }
}
