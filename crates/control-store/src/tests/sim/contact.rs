//! Members that are cut off, frozen, or started while cut off: what they report, and for how long.

use super::*;

/// After this time without round trips a member is out of touch, and its lease has expired.
const OUT_OF_TOUCH_AFTER: Duration = Duration::from_millis(1700);
const LEASE_OVER_AFTER: Duration = Duration::from_millis(900);
/// After the cut ends, it must be in touch again and serve the configuration in force within this time.
const RECOVERED_WITHIN: Duration = Duration::from_millis(2500);
const CUT_DURATION: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Cut {
    BothWays,
    /// It receives messages, but its own are lost.
    Outwards,
    /// Its messages arrive, but it receives none.
    Inwards,
    Frozen,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Target {
    Holder,
    Other,
    /// It restarts while it is cut off.
    Starting,
}

impl Sim {
    fn isolate(&mut self, how: Cut, one: SocketAddr) {
        for other in self.nodes.keys().copied().filter(|at| *at != one).collect::<Vec<_>>() {
            if matches!(how, Cut::BothWays | Cut::Outwards) {
                self.links.cut.insert((one, other));
            }
            if matches!(how, Cut::BothWays | Cut::Inwards) {
                self.links.cut.insert((other, one));
            }
        }
    }

    /// Checks what an isolated member reports: `chosen` is the first revision acknowledged while it was cut
    /// off.
    fn check_statements(&mut self, at: SocketAddr, from: Duration, chosen: Option<u64>) {
        let now = self.now;
        let Some(node) = self.nodes.get(&at) else { return };
        let Some(store) = &node.store else { return };
        let (in_touch, holds) = (node.in_touch(now) && store.ready(), node.lease_number(now).is_some());
        let revision = store.committed().map_or(0, |configuration| configuration.revision);
        if holds && now > from + LEASE_OVER_AFTER {
            self.record_violation(format!("{at} holds the lease {:?} after the cut", now - from));
        }
        if in_touch && now > from + OUT_OF_TOUCH_AFTER && chosen.is_none_or(|chosen| revision < chosen) {
            self.record_violation(format!("{at} reports contact {:?} after the cut", now - from));
        }
    }
}

/// Returns how long until it is in touch again and has the configuration in force.
pub(super) fn simulate(members: usize, how: Cut, target: Target, seed: u64) -> (Sim, Duration) {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let holder = sim.holder().expect("a holder");
    let other = (0..members).map(addr).find(|at| *at != holder).expect("another");
    let at = if target == Target::Holder { holder } else { other };
    if target == Target::Starting {
        sim.stop(at);
    }
    let from = sim.now;
    if how == Cut::Frozen {
        if let Some(node) = sim.nodes.get_mut(&at) {
            node.frozen = true;
        }
    } else {
        sim.isolate(how, at);
    }
    if target == Target::Starting {
        sim.run(sim.now + MS * 300);
        // The new list of seeds contains this member and one that does not exist.
        sim.seeds.push(addr(70));
        sim.boot(at, false);
        if how == Cut::Frozen {
            sim.nodes.get_mut(&at).expect("a member").frozen = true;
        }
    }
    let highest_acknowledged = sim.highest_acknowledged;
    let others: Vec<SocketAddr> = (0..members).map(addr).filter(|other| *other != at).collect();
    let mut chosen = None;
    while sim.now < from + CUT_DURATION && sim.violation.is_none() {
        // Operators on both sides: those on the isolated side send show and replace requests to the member.
        if sim.random_bool(0.3) {
            let there = others[sim.random_below(others.len() as u64) as usize];
            sim.replace_newer_at(there);
        }
        if how != Cut::Frozen && sim.random_bool(0.1) {
            let (shown, acknowledged) = (sim.shown, sim.acknowledged);
            sim.show_at(at);
            if (sim.shown, sim.acknowledged) != (shown, acknowledged) {
                sim.record_violation(format!("{at} answers at once while it is cut off"));
            }
        }
        let span = 20 + sim.random_below(300);
        let end = sim.now + MS * span as u32;
        while sim.now < end && sim.violation.is_none() {
            sim.run(sim.now + MS * 5);
            if chosen.is_none() && sim.highest_acknowledged > highest_acknowledged {
                chosen = Some(sim.highest_acknowledged);
            }
            if how != Cut::Frozen {
                sim.check_statements(at, from, chosen);
            }
        }
    }
    sim.run(sim.now + MS * 2600);
    let highest_acknowledged = sim.highest_acknowledged;
    sim.links.cut.clear();
    if how == Cut::Frozen {
        // It resumes with all messages to it waiting, and is queried before it has received any of them.
        sim.nodes.get_mut(&at).expect("a member").frozen = false;
        sim.check_statements(at, from, Some(u64::MAX));
    }
    let healed = sim.now;
    while sim.now < healed + MS * 8000 && sim.violation.is_none() {
        sim.run(sim.now + MS * 2);
        let now = sim.now;
        let Some(store) = sim.store_at(at) else { break };
        let revision = store.committed().map_or(0, |configuration| configuration.revision);
        let in_touch = sim.nodes[&at].in_touch(now) && store.ready();
        if in_touch && revision >= highest_acknowledged {
            break;
        }
        if in_touch && how != Cut::Outwards {
            // In touch again but not yet informed: this may last for one heartbeat.
            if now > healed + RECOVERED_WITHIN {
                sim.record_violation(format!("{at} serves {revision}, in force is {highest_acknowledged}"));
            }
        }
    }
    let took = sim.now - healed;
    sim.run(sim.now + MS * 1500);
    sim.check_progress();
    (sim, took)
}

pub(super) const CUTS: [Cut; 4] = [Cut::BothWays, Cut::Outwards, Cut::Inwards, Cut::Frozen];
pub(super) const TARGETS: [Target; 3] = [Target::Holder, Target::Other, Target::Starting];

#[rstest::rstest]
#[case(3)]
#[case(5)]
fn isolated_member_makes_no_statements(#[case] members: usize) {
    for how in CUTS {
        let mut all = Vec::new();
        for seed in 0..seeds(12) {
            let target = TARGETS[seed as usize % 3];
            let (sim, took) = simulate(members, how, target, seed);
            assert_eq!(sim.violation, None, "{members} members, {how:?} {target:?}, seed {seed}");
            all.push(took);
        }
        all.sort();
        println!("{members} members, {how:?}: in force after {:?}, {:?}", all[all.len() / 2], all.last());
        assert!(
            all.last().is_some_and(|took| *took <= RECOVERED_WITHIN),
            "{members} {how:?} {:?}",
            all.last()
        );
    }
}

/// Without a partition no member is ever out of touch, even with a minority of the members down.
#[rstest::rstest]
#[case(3, 1)]
#[case(5, 2)]
#[case(9, 4)]
fn connected_members_stay_in_touch_with_a_minority_down(#[case] members: usize, #[case] down: usize) {
    let (mut out, mut looks) = (0, 0);
    for seed in 0..seeds(10) {
        let mut sim = Sim::new(members, seed);
        sim.run(sim.now + MS * 4000);
        for index in 0..down {
            sim.stop(addr(index));
        }
        sim.run(sim.now + MS * 2000);
        for _ in 0..1000 {
            sim.run(sim.now + MS * 10);
            let now = sim.now;
            let up = sim.nodes.values().filter(|node| node.store.is_some());
            out += up.filter(|node| !node.in_touch(now)).count();
            looks += members - down;
        }
    }
    println!("{members} members, {down} down: out of touch {out} of {looks}");
    assert!(out * 200 <= looks);
}

#[rstest::rstest]
#[case(Defect::ContactFromOneWay, Cut::Outwards, Target::Other)]
#[case(Defect::IgnoresLeaseExpiry, Cut::Frozen, Target::Holder)]
#[case(Defect::ShowsLocalCopy, Cut::BothWays, Target::Other)]
fn injected_defect_is_detected(#[case] defect: Defect, #[case] how: Cut, #[case] target: Target) {
    crate::defects::INJECTED.set(Some(defect));
    let found = (0..100)
        .find_map(|seed| simulate(3, how, target, seed).0.violation.map(|violation| (seed, violation)));
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:.300?}");
    assert!(found.is_some(), "{defect:?}");
}
