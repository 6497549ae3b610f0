//! Voters in two regions, with the links between the regions cut.

use super::*;

/// Half of the voters is no majority: with an even number there is no service during the cut.
#[derive(Clone, Copy, Debug)]
struct Regions {
    first: usize,
    second: usize,
    /// One-way latency between the regions.
    latency_ms: u64,
}

const CUT_MS: u64 = 9000;
/// By then, reports from before the cut have expired: `in_touch` after 1.6 s, the lease after 0.81 s.
const OUT_OF_TOUCH_AFTER: Duration = Duration::from_millis(1700);
const LEASE_OVER_AFTER: Duration = Duration::from_millis(900);
/// Within this time after the cut all are in touch, one holds the lease, and replace requests are
/// acknowledged.
const RECOVERED_WITHIN: Duration = Duration::from_millis(3000);

impl Regions {
    fn all(self) -> impl Iterator<Item = SocketAddr> {
        (0..self.first + self.second).map(addr)
    }

    fn majority(self) -> usize {
        (self.first + self.second) / 2 + 1
    }

    /// Whether this member's region has a majority.
    fn serves(self, at: SocketAddr) -> bool {
        let own = if at < addr(self.first) { self.first } else { self.second };
        own >= self.majority()
    }
}

/// Checks what a member without a majority in its region reports too long after the cut began.
fn check_minority(sim: &mut Sim, regions: Regions, from: Duration) {
    let now = sim.now;
    for at in regions.all().filter(|at| !regions.serves(*at)) {
        let Some(node) = sim.nodes.get(&at) else { continue };
        let (in_touch, holds) = (node.in_touch(now), node.lease_number(now).is_some());
        if in_touch && now > from + OUT_OF_TOUCH_AFTER {
            sim.record_violation(format!("{at} reports contact {:?} after the cut", now - from));
        }
        if holds && now > from + LEASE_OVER_AFTER {
            sim.record_violation(format!("{at} holds the lease {:?} after the cut", now - from));
        }
    }
}

/// Operators send requests to each member in turn. Those without a majority may only answer `Unavailable`.
fn run_operators_while_cut(sim: &mut Sim, regions: Regions, from: Duration) {
    let members: Vec<SocketAddr> = regions.all().collect();
    let mut turn = 0;
    while sim.now < from + MS * CUT_MS as u32 && sim.violation.is_none() {
        let at = members[turn % members.len()];
        if turn % 3 == 0 {
            sim.show_at(at);
        } else {
            sim.replace_newer_at(at);
        }
        turn += 1;
        let end = sim.now + MS * 200;
        while sim.now < end && sim.violation.is_none() {
            sim.run(sim.now + MS * 10);
            sim.check_unanswered();
            check_minority(sim, regions, from);
        }
    }
}

/// Returns how long after the cut all are in touch, one holds the lease and a request is acknowledged.
fn simulate(regions: Regions, seed: u64) -> (Sim, Duration) {
    let mut sim = Sim::new(regions.all().count(), seed);
    sim.links.regions = Some((addr(regions.first), MS * regions.latency_ms as u32));
    sim.run(sim.now + MS * 5000);
    sim.check_progress();
    let from = sim.now;
    sim.cut_side = (0..regions.first).map(addr).collect();
    sim.cut_off();
    let before = (sim.acknowledged, sim.shown, sim.superseded, sim.conflicts);
    let served: Vec<(u64, u64)> = sim.nodes.values().map(|node| node.served).collect();
    run_operators_while_cut(&mut sim, regions, from);
    let done = (sim.acknowledged, sim.shown, sim.superseded, sim.conflicts);
    if regions.all().any(|at| regions.serves(at)) {
        if sim.acknowledged == before.0 || sim.shown == before.1 {
            sim.record_violation("the region with a majority is not served".to_string());
        }
    } else if done != before || sim.nodes.values().map(|node| node.served).ne(served) {
        sim.record_violation(format!("{before:?} before the cut, {done:?} during it, without any majority"));
    }
    sim.cut = false;
    let (healed, acknowledged) = (sim.now, sim.acknowledged);
    let well = |sim: &Sim| {
        let in_touch = sim.nodes.values().all(|node| node.in_touch(sim.now));
        in_touch && sim.holder().is_some() && sim.acknowledged > acknowledged
    };
    while !well(&sim) && sim.now < healed + RECOVERED_WITHIN * 3 && sim.violation.is_none() {
        if sim.open.is_empty() {
            sim.replace_with_new_revision();
        }
        sim.run(sim.now + MS * 10);
    }
    let recovery = sim.now - healed;
    sim.run(sim.now + MS * 3000);
    sim.check_progress();
    (sim, recovery)
}

#[rstest::rstest]
fn region_without_a_majority_makes_no_statements(
    #[values((2, 2), (3, 2), (3, 3))] voters: (usize, usize),
    #[values(12, 40)] latency_ms: u64,
) {
    let regions = Regions { first: voters.0, second: voters.1, latency_ms };
    let mut times = Vec::new();
    let mut put_off = 0;
    for seed in 0..seeds(40) {
        let (sim, recovery) = simulate(regions, seed);
        assert_eq!(sim.violation, None, "{regions:?}, seed {seed}");
        put_off += sim.unavailable;
        times.push(recovery);
    }
    times.sort();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{regions:?}: back {median:?} (median) after the cut, {longest:?}; {put_off} calls unavailable");
    assert!(longest <= RECOVERED_WITHIN, "{regions:?}: {longest:?}");
}

/// The checker detects half of the voters used as a majority.
#[test]
fn half_as_quorum_is_detected() {
    crate::defects::INJECTED.set(Some(Defect::HalfIsQuorum));
    let regions = Regions { first: 2, second: 2, latency_ms: 12 };
    let found =
        (0..20).find_map(|seed| simulate(regions, seed).0.violation.map(|violation| (seed, violation)));
    crate::defects::INJECTED.set(None);
    println!("HalfIsQuorum: {found:?}");
    assert!(found.is_some_and(|(_, violation)| is_wrong_statement(&violation)));
}
