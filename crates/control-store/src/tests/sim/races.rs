//! Concurrent operators: different texts under one revision, repeated requests, and members lost in between.

use super::*;

/// The outcome of one revision sent with a different text to each member.
struct Race {
    sim: Sim,
    acknowledged: usize,
}

impl Sim {
    /// Sends requests of one revision with different texts to different members, within this many
    /// milliseconds.
    pub fn race(&mut self, within_ms: u64) {
        self.revision += 1;
        let revision = self.revision;
        for author in 0..AUTHORS {
            let Some(at) = self.random_node() else { return };
            self.replace_at(at, revision, author, true);
            let pause = self.random_below(within_ms + 1);
            self.run(self.now + MS * pause as u32);
        }
    }
}

fn race(members: usize, seed: u64) -> Race {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.revision = 5;
    for index in 0..members {
        sim.replace_at(addr(index), 5, index as u64, false);
        let pause = sim.random_below(4) * sim.random_below(4);
        sim.run(sim.now + MS * pause as u32);
    }
    sim.run(sim.now + MS * 3000);
    let acknowledged = sim.acknowledged;
    Race { sim, acknowledged }
}

/// Three or more texts under one revision: one is acknowledged, the others are answered with it, and all
/// members serve it.
#[rstest::rstest]
#[case(3)]
#[case(5)]
#[case(9)]
fn one_text_is_chosen_per_revision(#[case] members: usize) {
    let mut put_off = 0;
    for seed in 0..seeds(50) {
        let Race { mut sim, acknowledged } = race(members, seed);
        assert_eq!(sim.violation, None, "seed {seed}");
        assert!(sim.open.is_empty());
        assert!(acknowledged <= 1, "seed {seed}: {acknowledged} texts are acknowledged");
        assert_eq!(acknowledged + sim.conflicts + sim.unavailable, members, "seed {seed}");
        put_off += sim.unavailable;
        let up = sim.nodes.values().filter_map(|node| node.store.as_ref());
        let all: BTreeSet<_> = up.map(|store| store.committed().map(|text| text.digest)).collect();
        assert_eq!(all.len(), 1, "seed {seed}: {all:?}");
        assert!(all.iter().all(Option::is_some));
        // Repeated, and again after a restart of all: the answers are the same.
        for again in [false, true] {
            if again {
                sim.handle(Event::PowerLoss { wiped: None });
                sim.run(sim.now + MS * 7000);
            }
            let (acknowledged, conflicts) = (sim.acknowledged, sim.conflicts);
            for index in 0..members {
                let at = addr((index + 1) % members);
                sim.replace_at(at, 5, index as u64, false);
            }
            sim.run(sim.now + MS * 3000);
            assert_eq!(sim.violation, None, "seed {seed}");
            assert_eq!(
                (sim.acknowledged - acknowledged, sim.conflicts - conflicts),
                (1, members - 1),
                "seed {seed}"
            );
        }
    }
    println!("{members} members: {put_off} of {} requests unavailable", seeds(50) * members as u64);
}

/// Races in which members are lost, cut off or wiped.
pub(super) fn simulate(members: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 3500);
    for _ in 0..10 {
        sim.race(40);
        let wait = sim.random_below(60);
        sim.run(sim.now + MS * wait as u32);
        let mut rest = 1500;
        if let Some(at) = sim.random_node().filter(|_| sim.violation.is_none()) {
            sim.log.push(format!("{:?} {at}", sim.now));
            match sim.random_below(6) {
                0 => sim.crash(at, false, 1),
                1 => {
                    // The next disk is lost only after this one's state has been read from the others.
                    sim.crash(at, true, 50);
                    rest = 6000;
                }
                2 => sim.freeze(at, 300),
                3 => {
                    sim.cut_side = [at].into();
                    sim.cut_off();
                    sim.schedule(MS * 800, Event::Heal);
                }
                4 => {
                    sim.loss = 0.3;
                    sim.schedule(MS * 800, Event::Heal);
                }
                _ => {
                    sim.slow_disk.insert(at);
                    sim.schedule(MS * 800, Event::DiskRecovered);
                }
            }
        }
        sim.race(40);
        sim.run_operators(rest);
        sim.wait_for_recovery();
    }
    sim.run(sim.now + MS * 5000);
    sim.check_progress();
    sim
}

#[rstest::rstest]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(7)]
#[case(9)]
fn concurrent_replaces_agree_under_faults(#[case] members: usize) {
    let mut sum = [0; 4];
    for seed in 0..seeds(60) {
        let sim = simulate(members, seed);
        assert_eq!(sim.violation, None, "{members} members, seed {seed}: {:#?}", sim.log);
        let all = [sim.acknowledged, sim.superseded, sim.conflicts, sim.unavailable];
        sum.iter_mut().zip(all).for_each(|(sum, more)| *sum += more);
    }
    println!("{members} members: acknowledged, superseded, conflicts, unavailable {sum:?}");
}

/// Copies left by an earlier release, at all members or only at a majority with an older one at the rest: the
/// newer one is in force again after one round, and nothing is acknowledged under another text.
#[rstest::rstest]
#[case(3)]
#[case(5)]
fn copies_of_an_earlier_release_are_kept(#[case] members: usize) {
    let mut times = Vec::new();
    for seed in 0..seeds(50) {
        let mut sim = Sim::new(members, seed);
        sim.run(sim.now + MS * 4000);
        sim.check_progress();
        sim.check_progress();
        sim.run(sim.now + MS * 500);
        let older = Configuration::new(1, text(1, 0));
        for index in 0..members {
            sim.stop(addr(index));
            let node = sim.nodes.get_mut(&addr(index)).expect("a member");
            let kept = node.disk.configuration.take().expect("a configuration").under(crate::Ballot::NONE);
            assert_eq!(kept.revision, sim.revision);
            let minority = index > members / 2 && seed % 2 == 0;
            node.disk.configuration = Some(if minority { older.clone() } else { kept });
            node.disk.promised = crate::Ballot::NONE;
        }
        let from = sim.now;
        for index in 0..members {
            sim.boot(addr(index), false);
            sim.drain_actions(addr(index));
        }
        let has = |node: &Node| node.store.as_ref().and_then(|store| Some(store.committed()?.revision));
        while sim.now < from + MS * 3000 && !sim.nodes.values().all(|node| has(node) == Some(sim.revision)) {
            sim.run(sim.now + MS * 5);
        }
        times.push(sim.now - from);
        sim.check_progress();
        assert_eq!(sim.violation, None, "seed {seed}");
    }
    times.sort();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{members} members: all serve it after {median:?} (median), {worst:?} (worst)");
    assert!(worst < MS * 2500);
}

#[rstest::rstest]
#[case(Defect::IgnoresAcceptedVersions)]
#[case(Defect::AcceptsBelowPromise)]
#[case(Defect::OrdersByDigest)]
fn injected_defect_is_detected(#[case] defect: Defect) {
    crate::defects::INJECTED.set(Some(defect));
    let found = (0..400).find_map(|seed| {
        simulate(3, seed)
            .violation
            .filter(|violation| is_wrong_statement(violation))
            .map(|violation| (seed, violation))
    });
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:?}");
    assert!(found.is_some());
}
