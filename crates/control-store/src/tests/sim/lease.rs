//! The lease when its holder is faulty.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Kind {
    Killed,
    Frozen,
    CutOff,
    /// The holder is cut off, and all other voters restart.
    CutOffAndOthersRestarted,
    /// Killed while an operator waits for its answer.
    KilledDuringCall,
    HungDisk,
    /// Killed, and the disk of one of the two next members is full.
    KilledWithFullDisk,
}

fn start_with_holder(members: usize, seed: u64) -> (Sim, SocketAddr) {
    let mut sim = Sim::new(members, seed);
    let delay = 4000 + sim.random_below(1000);
    sim.run(sim.now + MS * delay as u32);
    sim.check_progress();
    let holder = sim.holder().expect("a holder");
    (sim, holder)
}

/// Returns the time without any other holder.
pub(super) fn simulate(kind: Kind, members: usize, seed: u64) -> (Sim, Duration) {
    let (mut sim, holder) = start_with_holder(members, seed);
    let from = sim.now;
    let span = 2500 + sim.random_below(1500);
    match kind {
        Kind::Killed => sim.crash(holder, false, 8000),
        Kind::Frozen => sim.freeze(holder, span),
        Kind::CutOff | Kind::CutOffAndOthersRestarted => {
            sim.cut_side = [holder].into();
            sim.cut = true;
            sim.schedule(MS * span as u32, Event::Heal);
            let others = (0..members).map(addr).filter(|at| *at != holder && kind != Kind::CutOff);
            for at in others {
                sim.crash(at, false, 50);
            }
        }
        Kind::KilledDuringCall => {
            sim.revision += 1;
            let (revision, now) = (sim.revision, sim.now);
            let text = text(revision, 0);
            let digest = crate::digest(&text);
            sim.open
                .insert(u64::MAX, Call { at: holder, number: revision, digest, show: false, sent_at: now });
            sim.with_store(holder, |store, now| store.replace(now, u64::MAX, revision, text))
                .expect("running");
            let delay = sim.random_below(30);
            sim.run(sim.now + MS * delay as u32);
            sim.crash(holder, false, 3000);
        }
        Kind::KilledWithFullDisk => {
            sim.crash(holder, false, 300);
            let next = (0..members).map(addr).find(|at| *at != holder);
            sim.full_disk.extend(next);
            sim.schedule(MS * span as u32, Event::DiskRecovered);
        }
        Kind::HungDisk => {
            sim.hung_disk.insert(holder, from + MS * span as u32);
        }
    }
    let mut without_holder = Duration::ZERO;
    while sim.now < from + MS * 5000 && sim.violation.is_none() {
        sim.run(sim.now + MS * 5);
        if kind != Kind::HungDisk && without_holder == Duration::ZERO && sim.has_holder_except(holder) {
            without_holder = sim.now - from;
        }
        if sim.random_bool(0.02) {
            sim.replace();
        }
    }
    if kind == Kind::HungDisk && sim.last_holder.map(|(at, _)| at) != Some(holder) {
        sim.record_violation("the lease moved because of a hung disk".to_string());
    }
    if !matches!(kind, Kind::HungDisk | Kind::KilledWithFullDisk)
        && without_holder == Duration::ZERO
        && sim.violation.is_none()
    {
        sim.record_violation("no other member took over the lease".to_string());
    }
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let now = sim.now;
    let promised = |node: &Node| node.store.as_ref().map(|store| store.lease.number);
    let stuck = |node: &Node| node.lease_number(now).is_some_and(|held| Some(held) < promised(node));
    if sim.nodes.values().any(stuck) {
        sim.record_violation("the holder can no longer change the voters".to_string());
    }
    (sim, without_holder)
}

impl Sim {
    fn has_holder_except(&self, excluded: SocketAddr) -> bool {
        let now = self.now;
        let holds = |node: &Node| node.lease_number(now).is_some();
        self.nodes.iter().any(|(at, node)| *at != excluded && holds(node))
    }
}

#[rstest::rstest]
#[case(Kind::Killed, 3)]
#[case(Kind::Killed, 5)]
#[case(Kind::Killed, 9)]
#[case(Kind::Frozen, 3)]
#[case(Kind::CutOff, 5)]
#[case(Kind::CutOffAndOthersRestarted, 3)]
#[case(Kind::KilledDuringCall, 3)]
#[case(Kind::HungDisk, 3)]
#[case(Kind::KilledWithFullDisk, 3)]
fn faulty_holder_is_replaced_without_overlap(#[case] kind: Kind, #[case] members: usize) {
    let mut all = Vec::new();
    for seed in 0..seeds(200) {
        let (sim, without_holder) = simulate(kind, members, seed);
        assert_eq!(sim.violation, None, "{kind:?}, {members} members, seed {seed}: {:#?}", sim.log);
        all.push(without_holder.as_millis());
    }
    all.sort();
    println!(
        "{kind:?}, {members} members: {} ms without a holder (median), {} (longest)",
        all[all.len() / 2],
        all[all.len() - 1]
    );
    assert!(all[all.len() - 1] <= 2000);
}

#[rstest::rstest]
#[case(Defect::IgnoresLeaseExpiry, Kind::Frozen)]
#[case(Defect::ForgetsGrantsOnRestart, Kind::CutOffAndOthersRestarted)]
fn injected_defect_is_detected(#[case] defect: Defect, #[case] kind: Kind) {
    crate::defects::INJECTED.set(Some(defect));
    let found =
        (0..200).find_map(|seed| simulate(kind, 3, seed).0.violation.map(|violation| (seed, violation)));
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:?}");
    assert!(found.is_some_and(|(_, violation)| violation.contains("holder")));
}
