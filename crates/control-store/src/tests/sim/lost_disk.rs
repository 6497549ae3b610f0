//! Which replies a member whose disk was lost may use.

use super::*;
use crate::Message;

/// `at` starts with an empty disk and is cut off before its wait ends. Messages that the others sent before
/// then arrive afterwards. Returns the simulation, and whether `at` wrongly became active because of them.
fn late_states(members: usize, seed: u64) -> (Sim, SocketAddr, bool) {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let at = addr(seed as usize % members);
    sim.stop(at);
    sim.nodes.get_mut(&at).expect("a member").disk = DiskState::default();
    sim.boot(at, false);
    sim.drain_actions(at);
    let booted = sim.now;
    sim.run(booted + MS * 1800);
    let (incarnation, others) = (sim.nodes[&at].incarnation, sim.voters().into_iter().filter(|o| *o != at));
    let late: Vec<(SocketAddr, Envelope)> = others
        .filter_map(|from| {
            let store = sim.store_at(from)?;
            let what = Message::MemberState(Box::new(store.member_state(0)));
            let version = crate::WIRE_VERSION;
            let envelope =
                Envelope { version, incarnation: store.settings.incarnation, echo: incarnation, what };
            Some((from, envelope))
        })
        .collect();
    assert_eq!(late.len(), members - 1);
    sim.cut_side = [at].into();
    sim.cut_off();
    sim.run(booted + MS * 2200);
    for (from, envelope) in late {
        sim.with_store(at, |store, now| store.receive(now, from, envelope));
    }
    sim.run(sim.now + MS * 500);
    let counts = sim.store_at(at).is_some_and(ControlStore::is_voting);
    (sim, at, counts)
}

#[rstest::rstest]
#[case(3)]
#[case(5)]
fn replies_sent_before_the_wait_ended_are_ignored(#[case] members: usize) {
    let mut times = Vec::new();
    for seed in 0..seeds(40) {
        let (mut sim, at, counts) = late_states(members, seed);
        assert!(!counts, "seed {seed}: {at} became active by messages sent before its wait ended");
        let healed = sim.now;
        sim.cut = false;
        while !sim.store_at(at).is_some_and(ControlStore::is_voting) && sim.now < healed + MS * 3000 {
            sim.run(sim.now + MS);
        }
        times.push(sim.now - healed);
        sim.check_progress();
        assert_eq!(sim.violation, None, "seed {seed}");
    }
    times.sort();
    println!(
        "{members} members: vote active {:?} (median) after the cut, {:?}",
        times[times.len() / 2],
        times.last()
    );
    assert!(times.last().is_some_and(|took| *took < MS * 1000));
}

#[test]
fn accepting_stale_replies_is_detected() {
    crate::defects::INJECTED.set(Some(Defect::AcceptsStaleReadReplies));
    let found = (0..10).find(|seed| late_states(3, *seed).2);
    crate::defects::INJECTED.set(None);
    println!("AcceptsStaleReadReplies: {found:?}");
    assert!(found.is_some());
}

/// How long after its start the vote of a member whose disk was lost is active again.
#[rstest::rstest]
#[case(3)]
#[case(5)]
#[case(9)]
fn member_votes_again_soon_after_its_wait(#[case] members: usize) {
    let mut times = Vec::new();
    for seed in 0..seeds(100) {
        let mut sim = Sim::new(members, seed);
        sim.run(sim.now + MS * 4000);
        sim.check_progress();
        let at = addr(seed as usize % members);
        sim.crash(at, true, 50);
        let booted = sim.now + MS * 50;
        sim.run(booted + MS);
        while !sim.store_at(at).is_some_and(ControlStore::is_voting) && sim.now < booted + MS * 4000 {
            sim.run(sim.now + MS);
        }
        times.push(sim.now - booted);
        assert_eq!(sim.violation, None, "seed {seed}");
    }
    times.sort();
    println!(
        "{members} members: vote active {:?} (median) after its start, {:?}",
        times[times.len() / 2],
        times.last()
    );
    assert!(times.last().is_some_and(|took| *took < MS * 2700));
}
