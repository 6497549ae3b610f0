//! A process in the smaller part of a network that was cut: it turns calls away, and lends no more what it owns.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_lending::defects::{Defect, INJECTED};
use tindock_lending::messages::{kind, Datagram, Ended, Message};
use tindock_lending::{Action, Allocator, Entry, Function, Member};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Slot,
    Refused,
    Nothing,
}

/// Scheduler 1 of five in five zones, with an instance of a function of its own in each zone.
struct Cut {
    allocator: Allocator,
    now: Duration,
    /// Those that answer.
    reachable: Vec<u8>,
    probed: Vec<SocketAddr>,
    outcome: Vec<(u32, Outcome)>,
}

impl Cut {
    fn new(reachable: &[u8]) -> Cut {
        let mut allocator = Allocator::new(at(1), "z1".into(), 11, 5, Duration::ZERO);
        let member = |n: u8| Member {
            at: at(n),
            zone: format!("z{n}"),
            region: "r".into(),
            incarnation: u32::from(n) * 2 + 9,
        };
        let function = |name: &str| Function {
            kind: kind(name),
            name: name.into(),
            slots: 4,
            boot: Duration::from_secs(1),
        };
        let entry = |n: u8| Entry {
            instance: format!("i{n}"),
            kind: kind(&format!("f{n}")),
            at: SocketAddr::from(([10, 2, 0, n], 80)),
            zone: format!("z{n}"),
            ready: true,
            accepts_calls: true,
            since: Duration::ZERO,
        };
        let names: Vec<String> = (1..=5).map(|n| format!("f{n}")).collect();
        allocator.set_functions(ms(1), names.iter().map(|name| function(name)).collect());
        allocator.set_members(ms(1), vec![member(1)]);
        allocator.set_members(ms(1), (1..=5).map(member).collect());
        allocator.update_instances(ms(1), (1..=5).map(entry).collect(), &[]);
        let reachable = reachable.to_vec();
        let mut cut = Cut { allocator, now: ms(1), reachable, probed: Vec::new(), outcome: Vec::new() };
        cut.advance(ms(5000));
        cut
    }

    fn pull(&mut self) {
        while let Some(action) = self.allocator.pull() {
            match action {
                Action::Dispatch { call, .. } => self.outcome.push((call, Outcome::Slot)),
                Action::Reject { call, .. } => self.outcome.push((call, Outcome::Refused)),
                Action::Probe { owner } => self.probed.push(owner),
                Action::Send { to, .. } => {
                    let n = (2..=5).find(|n| at(*n) == to).filter(|n| self.reachable.contains(n));
                    if let Some(n) = n {
                        let messages = vec![Message::ReleaseAck { seq: 0, instance: 0 }];
                        let datagram = Datagram { incarnation: u32::from(n) * 2 + 9, messages }.encode();
                        self.allocator.receive(self.now, to, &datagram);
                    }
                }
                _ => {}
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(25);
            self.allocator.tick(self.now);
            self.pull();
        }
    }

    fn request_slot(&mut self, name: &str) -> u32 {
        let (aim, end) = (self.now + ms(400), self.now + ms(4000));
        let call = self.allocator.request_slot(self.now, kind(name), 1, aim, end, "");
        self.pull();
        call
    }

    fn outcome(&self, call: u32) -> Outcome {
        self.outcome.iter().find(|(of, _)| *of == call).map_or(Outcome::Nothing, |(_, outcome)| *outcome)
    }

    /// Calls of functions that others own, one each 100 ms.
    fn calls_for(&mut self, span: Duration) {
        let end = self.now + span;
        for n in (2..=5).cycle() {
            if self.now >= end {
                return;
            }
            self.request_slot(&format!("f{n}"));
            self.advance(ms(100));
        }
    }

    fn call_own(&mut self) -> Outcome {
        let call = self.request_slot("f1");
        let outcome = self.outcome(call);
        if outcome == Outcome::Slot {
            self.allocator.settle(self.now, call, Ended::Done);
            self.pull();
        }
        outcome
    }
}

#[rstest]
#[case::alone(&[], Outcome::Refused)]
#[case::with_one_other(&[5], Outcome::Refused)]
#[case::with_most(&[3, 4, 5], Outcome::Slot)]
fn the_smaller_part_lends_no_more(#[case] reachable: &[u8], #[case] outcome: Outcome) {
    let mut cut = Cut::new(reachable);
    assert_eq!(cut.call_own(), Outcome::Slot);
    cut.calls_for(ms(6000));
    assert_eq!(cut.call_own(), outcome);
    // At once, and not at its end.
    let far = cut.request_slot("f2");
    assert_eq!(cut.outcome(far) == Outcome::Refused, outcome == Outcome::Refused);
    assert!(!cut.probed.is_empty());
    cut.reachable = vec![2, 3, 4, 5];
    cut.advance(ms(1500));
    assert_eq!(cut.call_own(), Outcome::Slot);
}

/// Guards against a part of a network whose calls go to one silent owner alone: the others, whom nobody asks, are asked for a
/// word, and count as unreachable as well.
#[test]
fn members_that_nobody_asked_show_on_which_side_they_are() {
    let mut cut = Cut::new(&[]);
    for _ in 0..40 {
        cut.request_slot("f2");
        cut.advance(ms(100));
    }
    assert_eq!(cut.call_own(), Outcome::Refused);
    cut.reachable = vec![3, 4, 5];
    cut.advance(ms(1500));
    assert_eq!(cut.call_own(), Outcome::Slot);
}

#[test]
fn one_that_lends_on_is_found() {
    INJECTED.set(Some(Defect::IsolatedGrants));
    let mut cut = Cut::new(&[]);
    cut.calls_for(ms(6000));
    let outcome = cut.call_own();
    INJECTED.set(None);
    assert_eq!(outcome, Outcome::Slot);
}

fn owned(cut: &Cut) -> usize {
    cut.allocator.pools().map(|pool| pool.ledgers.len()).sum()
}

/// A member whose instance falls to scheduler 1 as the first thing that it owns beside its own.
fn heir_of() -> u8 {
    let falls = |n: &u8| {
        let mut cut = Cut::new(&[]);
        cut.allocator.set_controllers_reachable(cut.now, true);
        cut.allocator.connection_refused(cut.now, at(*n));
        owned(&cut) == 2
    };
    (2..=5).find(falls).expect("one of four")
}

/// Where the controllers are in reach a refused connection shows that a process has ended: what it owned is another's 0.2 s
/// later, without other members.
#[test]
fn a_refused_connection_makes_another_the_owner() {
    let mut cut = Cut::new(&[]);
    cut.allocator.set_controllers_reachable(cut.now, true);
    assert_eq!(owned(&cut), 1);
    for n in 2..=5 {
        cut.allocator.connection_refused(cut.now, at(n));
    }
    assert_eq!(owned(&cut), 5);
    let call = cut.request_slot("f2");
    assert_eq!(cut.outcome(call), Outcome::Nothing);
    cut.advance(ms(250));
    assert_eq!(cut.outcome(call), Outcome::Slot);
    // It speaks on: it was no end, and its own are its own. At once that would be a late letter.
    cut.advance(ms(2100));
    let datagram =
        Datagram { incarnation: 13, messages: vec![Message::ReleaseAck { seq: 0, instance: 0 }] }.encode();
    cut.allocator.receive(cut.now, at(2), &datagram);
    let owns =
        |name: &str| cut.allocator.pools().any(|pool| pool.function.name == name && !pool.ledgers.is_empty());
    assert!(owns("f1") && !owns("f2"));
}

/// Where they are not, refused connections may as well be those of a firewall: from a few, most others being in reach, they
/// count; from most they don't, nor do those that came before.
#[test]
fn connections_refused_by_most_are_a_cut() {
    let first = heir_of();
    let mut cut = Cut::new(&[2, 3, 4, 5]);
    cut.allocator.connection_refused(cut.now, at(first));
    assert_eq!(owned(&cut), 2);
    for n in (2..=5).filter(|n| *n != first) {
        cut.allocator.connection_refused(cut.now, at(n));
    }
    assert_eq!(owned(&cut), 1);
    cut.reachable = Vec::new();
    cut.advance(ms(1000));
    assert_eq!(cut.call_own(), Outcome::Refused);
    // In touch with the controllers it is on the side of the holder, and serves.
    cut.allocator.set_controllers_reachable(cut.now, true);
    assert_eq!(cut.call_own(), Outcome::Slot);
    assert_eq!(owned(&cut), 5);
}

/// One that the holder's list goes on to name has not ended, whatever its connections looked like.
#[test]
fn a_refusal_that_the_holder_does_not_confirm_lapses() {
    let refuses = heir_of();
    let others: Vec<u8> = (2..=5).filter(|n| *n != refuses).collect();
    let mut cut = Cut::new(&others);
    cut.allocator.set_controllers_reachable(cut.now, true);
    cut.allocator.connection_refused(cut.now, at(refuses));
    assert_eq!(owned(&cut), 2);
    cut.advance(ms(5100));
    assert_eq!(owned(&cut), 1);
    cut.allocator.connection_refused(cut.now, at(refuses));
    assert_eq!(owned(&cut), 1);
}
