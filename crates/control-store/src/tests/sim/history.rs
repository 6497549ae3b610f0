//! Long histories: hundreds and thousands of changes while members are away, and long texts over slow links.

use std::cell::Cell;

use super::*;
use crate::{Message, Piece};

thread_local! {
    /// Minimum length of operators' texts.
    pub static MIN_TEXT_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// Properties of the links beside the random delay.
#[derive(Default)]
pub struct Links {
    /// Bytes per second from each member to each other one; 0 is unlimited.
    pub rate: u64,
    /// When the messages already queued on a link have been sent.
    busy: BTreeMap<(SocketAddr, SocketAddr), Duration>,
    /// Bytes sent to each member.
    pub bytes: BTreeMap<SocketAddr, u64>,
    /// Links cut in one direction.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Share of the pieces of a text in which a byte is changed.
    pub corrupt_share: f64,
    /// The first member of the second region, and the additional latency between the regions.
    pub regions: Option<(SocketAddr, Duration)>,
}

impl Links {
    pub fn carry(&mut self, now: Duration, from: SocketAddr, to: SocketAddr, bytes: usize) -> Duration {
        *self.bytes.entry(to).or_default() += bytes as u64;
        let between = self.regions.filter(|(second, _)| (from < *second) != (to < *second));
        let latency = between.map_or(Duration::ZERO, |(_, latency)| latency);
        if self.rate == 0 {
            return latency;
        }
        let until = self.busy.entry((from, to)).or_default();
        *until = (*until).max(now) + Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        *until - now + latency
    }
}

/// 2 Mbit/s.
const THIN_LINK_BYTES_PER_S: u64 = 250_000;
const LONG_TEXT_BYTES: usize = 300_000;

impl Sim {
    pub(super) fn corrupt_piece(&mut self, mut envelope: Envelope) -> Envelope {
        let corrupt_share = self.links.corrupt_share;
        if let Message::Piece(Piece { bytes, .. }) = &mut envelope.what {
            if corrupt_share > 0.0 && self.random_bool(corrupt_share) {
                let mut other = bytes.to_vec();
                other[0] ^= 1;
                *bytes = other.into();
            }
        }
        envelope
    }

    /// Sends this many replace requests, each after the previous one was answered.
    fn replace_repeatedly(&mut self, changes: usize, excluded: Option<SocketAddr>) {
        let end = self.now + Duration::from_secs(3600);
        let mut left = changes;
        let mut last = 0;
        while left > 0 && self.violation.is_none() && self.now < end {
            if !self.open.contains_key(&last) {
                let up: Vec<SocketAddr> = (self.nodes.iter())
                    .filter(|(at, node)| node.store.is_some() && !node.frozen && Some(**at) != excluded)
                    .map(|(at, _)| *at)
                    .collect();
                let at = up[self.random_below(up.len() as u64) as usize];
                self.replace_newer_at(at);
                last = self.calls;
                left -= 1;
            }
            self.run(self.now + MS * 5);
        }
    }

    /// Runs until this member serves the last acknowledged configuration; returns the time and the bytes sent
    /// to it. Until then it must neither vote, nor hold the lease, nor serve what was older at its start.
    fn time_to_catch_up(&mut self, at: SocketAddr) -> (Duration, u64) {
        let empty = self.nodes.get(&at).is_some_and(|node| node.disk.voters.is_none());
        let (from, highest_acknowledged) = (self.now, self.highest_acknowledged);
        let bytes = self.links.bytes.get(&at).copied().unwrap_or_default();
        while self.now < from + MS * 20_000 && self.violation.is_none() {
            self.run(self.now + MS);
            let now = self.now;
            let Some(store) = self.store_at(at) else { continue };
            let served = store.committed().map_or(0, |configuration| configuration.revision);
            let holds = self.nodes[&at].lease_number(now).is_some();
            if served >= highest_acknowledged && store.is_voting() {
                let bytes = self.links.bytes.get(&at).copied().unwrap_or_default() - bytes;
                return (self.now - from, bytes);
            }
            let early = empty && store.is_voting() && store.register.saved.revision < highest_acknowledged;
            if early || served < highest_acknowledged && (holds || served > 0) {
                let what =
                    format!("{at} participates before it has {highest_acknowledged}: {}", store.describe());
                self.record_violation(what);
            }
        }
        self.record_violation(format!("{at} has not caught up"));
        (Duration::ZERO, 0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Away {
    Down,
    DiskLost,
    Replaced,
}

/// A member is away during this many changes. Returns the time and the bytes it takes to catch up.
fn away(how: Away, changes: usize, seed: u64) -> (Sim, Duration, u64) {
    let mut sim = Sim::new(3, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let at = addr(sim.random_below(3) as usize);
    sim.stop(at);
    sim.run(sim.now + MS * 1500);
    sim.replace_repeatedly(changes, None);
    let returning = match how {
        Away::Down => at,
        Away::DiskLost => {
            sim.nodes.get_mut(&at).expect("a member").disk = DiskState::default();
            at
        }
        Away::Replaced => {
            sim.nodes.remove(&at);
            addr(50)
        }
    };
    sim.boot(returning, false);
    sim.drain_actions(returning);
    let (took, bytes) = sim.time_to_catch_up(returning);
    sim.check_progress();
    (sim, took, bytes)
}

/// Guards against a catch-up that grows with the number of missed changes.
#[rstest::rstest]
#[case(Away::Down)]
#[case(Away::DiskLost)]
#[case(Away::Replaced)]
fn catch_up_cost_does_not_grow_with_missed_changes(#[case] how: Away) {
    let mut least = None;
    for (changes, count) in [(10, 20), (500, 4), (5000, 1)] {
        let mut all = Vec::new();
        let mut most = 0;
        for seed in 0..count {
            let (sim, took, bytes) = away(how, changes, seed);
            assert_eq!(sim.violation, None, "{how:?}, {changes} changes, seed {seed}");
            assert!(sim.acknowledged > changes, "{how:?}: {} of {changes} acknowledged", sim.acknowledged);
            all.push(took);
            most = most.max(bytes);
        }
        all.sort();
        let middle = all[all.len() / 2];
        println!("{how:?}, {changes} changes: caught up after {middle:?}, {:?}, {most} bytes", all.last());
        let (first, bytes) = *least.get_or_insert((*all.last().expect("one"), most));
        assert!(middle <= first + MS * 300 && most <= bytes * 2, "{how:?} {changes}");
    }
}

/// All lose power after this many changes: returns how long until service is restored.
fn power_after(changes: usize, seed: u64) -> (Sim, Duration) {
    let mut sim = Sim::new(3, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    sim.replace_repeatedly(changes, None);
    for at in (0..3).map(addr) {
        sim.crash(at, false, 200);
    }
    let from = sim.now;
    sim.run(sim.now + MS * 210);
    let (acknowledged, shown) = (sim.acknowledged, sim.shown);
    while (sim.acknowledged == acknowledged || sim.shown == shown || sim.holder().is_none())
        && sim.now < from + MS * 10_000
    {
        if sim.open.is_empty() {
            sim.replace_newer_at(addr(0));
            sim.show_at(addr(1));
        }
        sim.run(sim.now + MS * 5);
    }
    let took = sim.now - from;
    sim.check_progress();
    (sim, took)
}

#[test]
fn power_loss_recovery_does_not_grow_with_history() {
    let mut first = None;
    for (changes, count) in [(1, 20), (500, 5), (5000, 1)] {
        let mut all = Vec::new();
        for seed in 0..count {
            let (sim, took) = power_after(changes, seed);
            assert_eq!(sim.violation, None, "{changes} changes, seed {seed}");
            all.push(took);
        }
        all.sort();
        println!(
            "{changes} changes, then a power loss: served after {:?}, {:?}",
            all[all.len() / 2],
            all.last()
        );
        let longest = *first.get_or_insert(*all.last().expect("one"));
        assert!(all[all.len() / 2] <= longest + MS * 100);
    }
}

/// Hundreds of changes in sequence, with one fault after the other.
fn simulate_with_faults(members: usize, seed: u64, changes: u64) -> Sim {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 3500);
    sim.check_progress();
    let first = sim.revision;
    while sim.revision < first + changes && sim.violation.is_none() {
        let (one, other) = (sim.random_node(), sim.random_node());
        let end = if sim.random_bool(0.3) {
            // Cut in one direction: from one member to all others, or from all others to it.
            let span = 500 + sim.random_below(4000);
            if let Some((one, outwards)) = one.map(|at| (at, sim.random_bool(0.5))) {
                let all: Vec<SocketAddr> = sim.nodes.keys().copied().filter(|at| *at != one).collect();
                sim.links.cut =
                    all.into_iter().map(|at| if outwards { (one, at) } else { (at, one) }).collect();
            }
            sim.now + MS * span as u32
        } else if sim.random_bool(0.2) {
            sim.slow_disk.extend(other);
            sim.now + MS * 3000
        } else {
            let span = sim.inject_fault();
            sim.now + MS * span as u32
        };
        while sim.now < end && sim.violation.is_none() {
            let pause = 5 + sim.random_below(60);
            sim.run(sim.now + MS * pause as u32);
            if sim.random_bool(0.9) {
                if let Some(at) = sim.random_node() {
                    sim.replace_newer_at(at);
                }
            } else {
                sim.show();
            }
        }
        sim.power_loss_armed = None;
        sim.links.cut.clear();
        sim.slow_disk.clear();
        sim.run(sim.now + MS * 2700);
        sim.check_progress();
    }
    sim
}

#[rstest::rstest]
#[case(3)]
#[case(5)]
fn hundreds_of_changes_survive_faults(#[case] members: usize) {
    let mut acknowledged = 0;
    for seed in 0..seeds(6) {
        let sim = simulate_with_faults(members, seed, 500);
        assert_eq!(sim.violation, None, "{members} members, seed {seed}: {:#?}", sim.log);
        acknowledged += sim.acknowledged;
    }
    println!("{members} members: {acknowledged} acknowledged");
}

/// 300 kB over 2 Mbit/s, to a returning member and to all with a new request: returns the time for each, and
/// how often a member that is up was out of touch. Changes of the lease holder are violations.
fn simulate_thin_links(seed: u64, corrupt_share: f64, wiped: bool) -> (Sim, Duration, Duration, usize) {
    MIN_TEXT_BYTES.set(LONG_TEXT_BYTES);
    let mut sim = Sim::new(3, seed);
    sim.links.corrupt_share = corrupt_share;
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let holder = sim.holder().expect("a holder");
    let at = (0..3).map(addr).find(|at| *at != holder).expect("another");
    sim.stop(at);
    sim.run(sim.now + MS * 500);
    sim.replace_repeatedly(5, None);
    sim.links.rate = THIN_LINK_BYTES_PER_S;
    if wiped {
        sim.nodes.get_mut(&at).expect("a member").disk = DiskState::default();
    }
    let changes = sim.changes;
    sim.boot(at, false);
    sim.drain_actions(at);
    let (time_to_catch_up, _) = sim.time_to_catch_up(at);
    let from = sim.now;
    let acknowledged = sim.acknowledged;
    let mut out_of_touch = 0;
    let others: Vec<SocketAddr> = (0..3).map(addr).collect();
    sim.replace_newer_at(holder);
    while sim.now < from + MS * 6000 && sim.violation.is_none() {
        sim.run(sim.now + MS * 5);
        let now = sim.now;
        out_of_touch +=
            others.iter().filter(|at| sim.store_at(**at).is_some() && !sim.nodes[*at].in_touch(now)).count();
        if sim.acknowledged > acknowledged {
            break;
        }
        if sim.open.is_empty() {
            sim.replace_newer_at(holder);
        }
    }
    let took = sim.now - from;
    if sim.acknowledged == acknowledged {
        sim.record_violation("a long text is not acknowledged over a thin link".to_string());
    }
    if sim.changes > changes {
        sim.record_violation(format!(
            "the lease holder changed {} times behind a long text",
            sim.changes - changes
        ));
    }
    if out_of_touch > 0 {
        sim.record_violation(format!("out of touch {out_of_touch} times behind a long text"));
    }
    MIN_TEXT_BYTES.set(0);
    (sim, time_to_catch_up, took, out_of_touch)
}

#[test]
fn long_texts_do_not_block_leases_on_thin_links() {
    let mut all = (Vec::new(), Vec::new());
    for seed in 0..seeds(20) {
        let (sim, time_to_catch_up, took, _) = simulate_thin_links(seed, 0.0, seed % 2 == 1);
        assert_eq!(sim.violation, None, "seed {seed}");
        all.0.push(time_to_catch_up);
        all.1.push(took);
    }
    all.0.sort();
    all.1.sort();
    let middle = all.0.len() / 2;
    println!("300 kB, 2 Mbit/s: caught up after {:?}, {:?}", all.0[middle], all.0.last());
    println!("a new one acknowledged after {:?}, {:?}", all.1[middle], all.1.last());
}

/// Corrupted pieces: the assembled text is never accepted, and is transferred again.
#[test]
fn corrupted_pieces_are_never_accepted() {
    for seed in 0..5 {
        let (sim, ..) = simulate_thin_links(seed, 0.02, false);
        assert_eq!(
            sim.violation.filter(|violation| !violation.contains("not acknowledged")),
            None,
            "seed {seed}"
        );
    }
}

#[rstest::rstest]
#[case(Defect::SendsTextsUnsplit, 0.0, "behind a long text")]
#[case(Defect::SkipsAssembledDigestCheck, 0.02, "")]
#[case(Defect::CountsBeforeCatchUp, 0.0, "participates before")]
#[case(Defect::ReadyWithStaleConfiguration, 0.0, "participates before")]
fn injected_defect_is_detected(#[case] defect: Defect, #[case] corrupt_share: f64, #[case] what: &str) {
    crate::defects::INJECTED.set(Some(defect));
    let found = (0..200).find_map(|seed| {
        simulate_thin_links(seed, corrupt_share, seed % 2 == 1).0.violation.map(|violation| (seed, violation))
    });
    crate::defects::INJECTED.set(None);
    MIN_TEXT_BYTES.set(0);
    println!("{defect:?}: {found:.300?}");
    assert!(found.is_some_and(|(_, violation)| violation.contains(what)));
}

/// One sender starts a text and goes silent; another sends a different text of the same revision. Returns
/// whether the second is accepted.
fn second_text_is_accepted() -> bool {
    let mut sim = Sim::new(3, 1);
    sim.run(sim.now + MS * 4000);
    let at = addr(0);
    let send = |sim: &mut Sim, from: SocketAddr, configuration: &Configuration, offset: usize| {
        let end = (offset + crate::transfer::PIECE_BYTES).min(configuration.text.len());
        let piece = Piece {
            head: Configuration { text: Vec::new().into(), ..configuration.clone() },
            chosen: false,
            length: configuration.text.len() as u32,
            offset: offset as u32,
            bytes: configuration.text[offset..end].into(),
        };
        let incarnation = sim.nodes[&from].incarnation;
        let envelope =
            Envelope { version: crate::WIRE_VERSION, incarnation, echo: 0, what: Message::Piece(piece) };
        sim.with_store(at, |store, now| store.receive(now, from, envelope));
    };
    let first = Configuration::new(1000, vec![b'1'; 100_000]);
    let second = Configuration::new(1000, vec![b'2'; 100_000]);
    send(&mut sim, addr(1), &first, 0);
    sim.run(sim.now + MS * 1600);
    for offset in (0..second.text.len()).step_by(crate::transfer::PIECE_BYTES) {
        send(&mut sim, addr(2), &second, offset);
    }
    sim.store_at(at).is_some_and(|store| store.register.held_version() == second.version())
}

#[test]
fn a_transfer_never_mixes_two_texts() {
    assert!(second_text_is_accepted());
    crate::defects::INJECTED.set(Some(Defect::MixesTwoTexts));
    let accepted = second_text_is_accepted();
    crate::defects::INJECTED.set(None);
    assert!(!accepted, "MixesTwoTexts is not detected");
}
