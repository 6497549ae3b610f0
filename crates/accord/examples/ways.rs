//! Models of four ways to bring a policy to all members of a group, under the same troubles, to weigh them by:
//!
//!     cargo run --release -p tindock-accord --example ways
//!
//! Each model keeps only what tells the ways apart: who has to answer before anybody goes on, what a member does that
//! hears nothing, and what is sent. Figures of the way that was built are measured elsewhere, with the real decider and
//! with real processes; here it is a model like the others.

use oorandom::Rand32;

const MEMBERS: usize = 5;
const VOTERS: usize = 5;
const RUNS: u64 = 10_000;
/// Milliseconds: of a trouble, a lease, the wait for who is silent, a word said again, a notice to come into effect.
const TROUBLE: f64 = 20_000.0;
const LEASE: f64 = 6_000.0;
const PATIENCE: f64 = 2_000.0;
const AGAIN: f64 = 200.0;
const NOTICE: f64 = 5_000.0;
/// A mixture that lasts is one for longer than a lease and its margin; a change is stuck that takes so long.
const LASTS: f64 = LEASE * 1.03;
const STUCK: f64 = 15_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// One member is down the whole time, and back after it.
    Down,
    /// One is cut off in the midst, and serves.
    Cut,
    /// Whoever makes the change dies in the midst, and is back after the trouble.
    MakerDies,
    /// One cannot serve under the new policy.
    Refuses,
}

/// What came of one run.
#[derive(Default)]
struct Ended {
    /// When it was in force at the last one that could be reached, if it was.
    at: Option<f64>,
    /// How long the old one was served somewhere after the new one was.
    mixture: f64,
    /// It took effect though one refused it.
    forced: bool,
    messages: f64,
}

/// A word and its answer: how long, with losses, and how many messages.
fn round(chance: &mut Rand32) -> (f64, f64) {
    let (mut took, mut messages) = (0.0, 0.0);
    loop {
        messages += 2.0;
        let lost = chance.rand_float() < 0.05 || chance.rand_float() < 0.05;
        if !lost {
            return (took + f64::from(chance.rand_float() + chance.rand_float()) * 20.0 + 1.0, messages);
        }
        took += AGAIN;
    }
}

/// The longest of rounds with so many, or the one that makes a majority.
fn rounds(chance: &mut Rand32, with: usize, needed: usize) -> (f64, f64) {
    let mut all: Vec<(f64, f64)> = (0..with).map(|_| round(chance)).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    let messages = all.iter().map(|(_, messages)| messages).sum();
    (needed.checked_sub(1).map_or(0.0, |last| all[last].0), messages)
}

/// All answer a first round; then a durable maker tells all. Who has answered waits for its word, under the old one.
fn two_phases(chance: &mut Rand32, trouble: Trouble) -> Ended {
    let (asked, m1) = rounds(chance, MEMBERS - 1, MEMBERS - 1);
    let (told, m2) = rounds(chance, MEMBERS - 1, MEMBERS - 1);
    let messages = m1 + m2;
    match trouble {
        Trouble::None => Ended { at: Some(asked + told), mixture: told, messages, forced: false },
        // Nobody can do without it, and nobody can say that it does not serve.
        Trouble::Down => Ended { at: Some(TROUBLE + asked + told), mixture: told, messages, forced: false },
        // It has answered, and is told when the way is there again: until then it serves under the old one.
        Trouble::Cut => Ended { at: Some(asked + told), mixture: TROUBLE - asked, messages, forced: false },
        Trouble::MakerDies => {
            // In one of two it had told some already.
            let half = chance.rand_float() < 0.5;
            let mixture = if half { TROUBLE } else { told };
            Ended { at: Some(TROUBLE + asked + told), mixture, messages, forced: false }
        }
        Trouble::Refuses => Ended { at: None, mixture: 0.0, messages: m1, forced: false },
    }
}

/// A majority of voters decides behind a fence, once all have staged it or are out of their lease.
fn register(chance: &mut Rand32, trouble: Trouble) -> Ended {
    let majority = VOTERS / 2 + 1;
    let (prepared, m1) = rounds(chance, VOTERS - 1, majority - 1);
    let (staged, m2) = rounds(chance, MEMBERS - 1, MEMBERS - 1);
    let (fenced, m3) = rounds(chance, VOTERS - 1, majority - 1);
    let (accepted, m4) = rounds(chance, VOTERS - 1, majority - 1);
    let (told, m5) = rounds(chance, MEMBERS - 1, MEMBERS - 1);
    // Who has staged it tells the voters.
    let renewed = 2.0 * (MEMBERS * (VOTERS - 1)) as f64;
    let (decided, messages) = (prepared + staged + fenced + accepted, m1 + m2 + m3 + m4 + m5 + renewed);
    let left = LEASE * 1.03 * f64::from(chance.rand_range(66..100)) / 100.0;
    match trouble {
        Trouble::None => Ended { at: Some(decided + told), mixture: told, messages, forced: false },
        // It may have served until just now.
        Trouble::Down => {
            let decided = prepared + PATIENCE.max(left) + fenced + accepted;
            Ended { at: Some(decided + told), mixture: told, messages, forced: false }
        }
        // It has staged, so that nobody waits for it; it serves until its lease is out.
        Trouble::Cut => Ended { at: Some(decided + told), mixture: left, messages, forced: false },
        Trouble::MakerDies => {
            // Another brings it to an end once it was accepted anywhere; else it is nowhere, and a new one can be made.
            let again = decided + 1_000.0 + f64::from(chance.rand_float()) * 1_000.0 + decided;
            Ended {
                at: Some(again + told),
                mixture: left.min(again),
                messages: messages * 2.0,
                forced: false,
            }
        }
        Trouble::Refuses => Ended { at: None, mixture: 0.0, messages: m1 + m2, forced: false },
    }
}

/// Everybody tells three others what it knows each 200 ms; it takes effect at a stated time.
fn gossip(chance: &mut Rand32, trouble: Trouble) -> Ended {
    let turns = NOTICE / AGAIN;
    let messages = turns * 3.0 * MEMBERS as f64;
    // Clocks are a little apart.
    let apart = f64::from(chance.rand_float()) * 100.0;
    let late = matches!(trouble, Trouble::Down | Trouble::Cut);
    Ended {
        at: Some(NOTICE + apart),
        // Who is cut off knows nothing of it, and serves; who is down comes back with what it had, until it is told.
        mixture: match trouble {
            Trouble::Cut => TROUBLE - NOTICE,
            Trouble::Down => f64::from(chance.rand_float()) * AGAIN,
            _ => apart,
        },
        forced: trouble == Trouble::Refuses,
        messages: if late { messages * TROUBLE / NOTICE } else { messages },
    }
}

/// First a policy that goes with both, then the new one: each has to be at all before the next begins.
fn over_a_joint_policy(chance: &mut Rand32, trouble: Trouble) -> Ended {
    let (first, m1) = rounds(chance, MEMBERS - 1, MEMBERS - 1);
    let (second, m2) = rounds(chance, MEMBERS - 1, MEMBERS - 1);
    let (took, messages) = (first + second, m1 + m2);
    match trouble {
        Trouble::None => Ended { at: Some(took), mixture: 0.0, messages, forced: false },
        // Neither is at all as long as one is away; what is served meanwhile goes with both.
        Trouble::Down | Trouble::Cut | Trouble::MakerDies => {
            Ended { at: Some(TROUBLE + took), mixture: 0.0, messages, forced: false }
        }
        Trouble::Refuses => Ended { at: None, mixture: 0.0, messages: m1, forced: false },
    }
}

type Way = fn(&mut Rand32, Trouble) -> Ended;

fn main() {
    let ways: [(&str, Way); 4] = [
        ("two phases, a durable maker", two_phases),
        ("register by majority, leases", register),
        ("gossip, a time of effect", gossip),
        ("over a joint policy", over_a_joint_policy),
    ];
    println!("| way | trouble | in force, median | stuck over 15 s | mixture over a lease | longest mixture | forced | messages |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, way) in ways {
        for trouble in [Trouble::None, Trouble::Down, Trouble::Cut, Trouble::MakerDies, Trouble::Refuses] {
            let mut ended: Vec<Ended> = (0..RUNS).map(|seed| way(&mut Rand32::new(seed), trouble)).collect();
            ended.sort_by(|a, b| a.at.unwrap_or(f64::MAX).total_cmp(&b.at.unwrap_or(f64::MAX)));
            let share = |holds: &dyn Fn(&Ended) -> bool| {
                ended.iter().filter(|one| holds(one)).count() as f64 / RUNS as f64
            };
            let median = ended[ended.len() / 2].at.map_or("nowhere".into(), |at| format!("{at:.0} ms"));
            let longest = ended.iter().map(|one| one.mixture).fold(0.0, f64::max);
            let messages = ended.iter().map(|one| one.messages).sum::<f64>() / RUNS as f64;
            println!(
                "| {name} | {trouble:?} | {median} | {:.2} | {:.2} | {:.1} s | {:.2} | {messages:.0} |",
                share(&|one| one.at.is_some_and(|at| at > STUCK)),
                share(&|one| one.mixture > LASTS),
                longest / 1000.0,
                share(&|one| one.forced),
            );
        }
    }
}
