//! Disks that are full, slow or hanging, lose power, or are lost just after a configuration was acknowledged.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Full,
    Slow,
    Hangs,
    PowerLoss,
    LostAfterAnswer,
    FullThenPower,
}

impl Sim {
    /// Up to `count` random members.
    fn random_nodes(&mut self, count: u64) -> BTreeSet<SocketAddr> {
        (0..count).filter_map(|_| self.random_node()).collect()
    }

    /// How long until a configuration is acknowledged and shown, once all disks work and all members are up.
    fn time_to_recover(&mut self) -> Duration {
        let up = |sim: &Sim| sim.nodes.values().filter(|node| node.store.is_some()).count();
        while up(self) < self.nodes.len() && self.violation.is_none() {
            self.run(self.now + MS * 50);
        }
        let from = self.now;
        self.check_progress();
        self.now - from
    }
}

/// Returns the longest time without service after the disks work again.
fn simulate(kind: Kind, members: usize, seed: u64) -> (Sim, Duration) {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 2500);
    sim.check_progress();
    let mut longest = Duration::ZERO;
    for _ in 0..2 {
        let span = 500 + sim.random_below(4000);
        // Sometimes all of them.
        let count = 1 + sim.random_below(members as u64 * 3 / 2);
        let mut faulty_disks = sim.random_nodes(count);
        let until = sim.now + MS * span as u32;
        sim.log.push(format!("{:?} {kind:?} {faulty_disks:?} for {span} ms", sim.now));
        match kind {
            Kind::Full => sim.full_disk = faulty_disks,
            Kind::Slow => sim.slow_disk = faulty_disks,
            Kind::Hangs => sim.hung_disk = faulty_disks.into_iter().map(|at| (at, until)).collect(),
            Kind::PowerLoss => {
                sim.slow_disk = faulty_disks;
                sim.run_operators(span.min(1500));
                sim.handle(Event::PowerLoss { wiped: None });
            }
            Kind::FullThenPower => {
                // The majority can still write; then all lose power, and one of them its disk.
                let max_faulty = members - (members / 2 + 1);
                while faulty_disks.len() > max_faulty {
                    faulty_disks.pop_first();
                }
                sim.full_disk = faulty_disks;
                // Others are slow, so that some answers wait for the smallest possible majority.
                sim.slow_disk = sim.random_nodes(members as u64);
                sim.power_loss_armed = Some(true);
                sim.run_operators(span);
            }
            Kind::LostAfterAnswer => {
                // Acknowledged where disks are fast; a minority of the disks is lost a moment later.
                sim.slow_disk = faulty_disks;
                sim.slow_disk.pop_first();
                let before = sim.acknowledged;
                let end = sim.now + MS * 6000;
                while sim.acknowledged == before && sim.now < end && sim.violation.is_none() {
                    sim.replace();
                    sim.run(sim.now + MS * 100);
                }
                let spare = members as u64 - (members as u64 / 2 + 1);
                let lost = sim.random_nodes(spare);
                let all = sim.random_bool(0.5);
                let up: Vec<SocketAddr> = sim.nodes.keys().copied().collect();
                for at in up {
                    let down = 50 + sim.random_below(900);
                    if all || lost.contains(&at) {
                        sim.crash(at, lost.contains(&at), down);
                    }
                }
                sim.run(sim.now + MS * 1000);
            }
        }
        if matches!(kind, Kind::Full | Kind::Slow | Kind::Hangs) {
            sim.run_operators(span);
        }
        let end = sim.now.max(until);
        sim.run(end);
        sim.power_loss_armed = None;
        sim.handle(Event::DiskRecovered);
        longest = longest.max(sim.time_to_recover());
        // Another disk may be lost only after the lost state has been read from the others.
        sim.run(sim.now + MS * 4000);
        if sim.violation.is_some() {
            return (sim, longest);
        }
    }
    // Members that were down are up again, and all serve what was acknowledged.
    sim.run(sim.now + MS * 6000);
    let all: Vec<SocketAddr> = sim.nodes.keys().copied().collect();
    for at in all {
        let node = &sim.nodes[&at];
        let store = node.store.as_ref().expect("started again");
        let has = store.committed().map_or(0, |configuration| configuration.revision);
        if !store.is_voting() || has < sim.highest_acknowledged {
            let what = format!("{at} has {has} of {}: {}", sim.highest_acknowledged, store.describe());
            sim.record_violation(what);
        }
    }
    (sim, longest)
}

#[rstest::rstest]
#[case(Kind::Full, 3500)]
#[case(Kind::Slow, 3500)]
#[case(Kind::Hangs, 3500)]
#[case(Kind::PowerLoss, 6000)]
#[case(Kind::LostAfterAnswer, 6000)]
#[case(Kind::FullThenPower, 6000)]
fn service_recovers_from_disk_faults(#[case] kind: Kind, #[case] within_ms: u32) {
    let mut all = Vec::new();
    let mut sum = (0, 0);
    for seed in 0..seeds(200) {
        let members = [3, 3, 5, 9][seed as usize % 4];
        let (sim, longest) = simulate(kind, members, seed);
        assert_eq!(sim.violation, None, "{kind:?}, {members} members, seed {seed}: {:#?}", sim.log);
        assert!(longest <= MS * within_ms, "{kind:?}, seed {seed}: {longest:?} {:#?}", sim.log);
        all.push(longest.as_millis());
        sum = (sum.0 + sim.acknowledged, sum.1 + sim.unavailable);
    }
    all.sort();
    println!(
        "{kind:?}: back after {} ms (median), {} (longest); acknowledged, unavailable: {sum:?}",
        all[all.len() / 2],
        all[all.len() - 1]
    );
}

#[rstest::rstest]
#[case(Defect::TreatsFailedWriteAsDone)]
#[case(Defect::AcknowledgesBeforeSync)]
fn injected_defect_is_detected(#[case] defect: Defect) {
    crate::defects::INJECTED.set(Some(defect));
    let lost = |violation: &String| violation.contains("acknowledged") || violation.contains(" of ");
    let found = (0..400).find_map(|seed| {
        simulate(Kind::FullThenPower, 3, seed).0.violation.filter(lost).map(|violation| (seed, violation))
    });
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:?}");
    assert!(found.is_some());
}

/// Guards against a busy loop of writes on a disk that fails immediately.
#[test]
fn failing_disk_is_not_retried_in_a_tight_loop() {
    for seed in 0..20 {
        let mut sim = Sim::new(3, seed);
        sim.run(sim.now + MS * 3000);
        if seed % 4 < 2 {
            sim.check_progress();
        }
        let at = addr(seed as usize % 3);
        sim.crash(at, seed % 2 == 0, 50);
        sim.run(sim.now + MS * 60);
        sim.full_disk.insert(at);
        let before = sim.stores;
        sim.run(sim.now + MS * 10_000);
        let rate = (sim.stores - before) as f64 / 10.0;
        assert!(rate < 8.0, "seed {seed}: {rate} writes a second");
        sim.handle(Event::DiskRecovered);
        sim.run(sim.now + MS * 3000);
        assert!(sim.nodes[&at].store.as_ref().is_some_and(|store| store.is_voting() && store.ready()));
    }
}
