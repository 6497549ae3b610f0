//! The status a member reports of itself and the others, on virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_control_store::{Action, ControlStore, DiskState, MemberSettings, Outcome, Role};

const STEP: Duration = Duration::from_millis(5);

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7300))
}

/// Members with immediate message delivery, except for silent ones, and with instant disks.
struct World {
    now: Duration,
    members: Vec<(SocketAddr, ControlStore)>,
    silent: BTreeSet<SocketAddr>,
    outcomes: Vec<Outcome>,
}

impl World {
    fn new(members: u8) -> World {
        let seeds: Vec<SocketAddr> = (1..=members).map(at).collect();
        let start = |me: &SocketAddr| {
            let settings =
                MemberSettings { me: *me, seeds: seeds.clone(), initial: true, seed: 7, incarnation: 100 };
            (*me, ControlStore::new(settings, DiskState::default(), Duration::ZERO))
        };
        let members = seeds.iter().map(start).collect();
        World { now: Duration::ZERO, members, silent: BTreeSet::new(), outcomes: Vec::new() }
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.members.len() {
                self.members[n].1.tick(self.now);
            }
            while (0..self.members.len()).any(|n| self.perform_next_action(n)) {}
        }
    }

    /// Returns whether there was an action to perform.
    fn perform_next_action(&mut self, n: usize) -> bool {
        let (me, member) = &mut self.members[n];
        let (me, Some(action)) = (*me, member.next()) else { return false };
        match action {
            Action::Store { token, .. } => member.stored(self.now, token, true),
            Action::Answer { outcome, .. } => self.outcomes.push(outcome),
            Action::Send { to, envelope } => {
                let connected = !self.silent.contains(&me) && !self.silent.contains(&to);
                if let Some((_, other)) = self.members.iter_mut().find(|(other, _)| connected && *other == to)
                {
                    other.receive(self.now, me, envelope);
                }
            }
        }
        true
    }

    fn store(&mut self, n: usize) -> &mut ControlStore {
        &mut self.members[n].1
    }
}

#[test]
fn status_reports_voters_holder_and_configuration() {
    let mut world = World::new(3);
    let before = world.store(0).status(Duration::ZERO);
    assert!(!before.ready && !before.in_touch && before.members.is_empty() && before.epoch == 0);
    world.run(Duration::from_secs(5));
    let now = world.now;
    world.store(0).replace(now, 1, 7, b"seven".to_vec());
    world.run(Duration::from_secs(1));
    assert!(matches!(world.outcomes[..], [Outcome::Acknowledged]), "{:?}", world.outcomes);
    let now = world.now;
    for n in 0..3 {
        let me = at(n + 1);
        let status = world.store(n.into()).status(now);
        assert!(status.ready && status.voting && status.in_touch && !status.changing, "{status:?}");
        assert!(status.epoch > 0 && status.me == me);
        let (_, number) = status.holder.expect("a holder");
        assert_eq!(status.lease_number, number);
        assert_eq!(status.committed.revision, 7);
        let voters: Vec<SocketAddr> = status.members.iter().map(|member| member.at).collect();
        assert_eq!(voters, [at(1), at(2), at(3)]);
        for member in &status.members {
            assert!(member.role == Role::Voting && !member.behind, "{member:?}");
            assert_eq!(member.saved.revision, 7);
            assert_eq!(member.silent_for.is_none(), member.at == me);
        }
    }
}

#[test]
fn status_reports_a_silent_member_with_its_last_known_state() {
    let mut world = World::new(3);
    world.run(Duration::from_secs(5));
    world.silent.insert(at(3));
    world.run(Duration::from_secs(2));
    let now = world.now;
    world.store(0).replace(now, 1, 9, b"nine".to_vec());
    world.run(Duration::from_secs(1));
    let now = world.now;
    let status = world.store(0).status(now);
    assert!(status.in_touch);
    let [one, two, three] = &status.members[..] else { panic!("{status:?}") };
    assert_eq!((one.role, two.role, three.role), (Role::Voting, Role::Voting, Role::Silent));
    assert!(!one.behind && !two.behind && three.behind);
    assert!(three.silent_for.is_some_and(|silent| silent >= Duration::from_secs(2)), "{three:?}");
    assert_eq!(world.store(0).redirect_candidates(now), [at(2)]);
    // The member that is cut off reports it, and first names those it receives nothing from.
    let cut_off = world.store(2).status(now);
    assert!(cut_off.ready && !cut_off.in_touch && cut_off.committed.revision == 0, "{cut_off:?}");
    assert_eq!(world.store(2).redirect_candidates(now), [at(1), at(2)]);
    world.silent.clear();
    world.run(Duration::from_secs(2));
    let now = world.now;
    let status = world.store(2).status(now);
    assert!(status.in_touch && status.committed.revision == 9);
    assert!(status.members.iter().all(|member| member.role == Role::Voting && !member.behind), "{status:?}");
}
