//! A process in the smaller part of a network that was cut: it turns calls away, and lends no more what it owns.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_lending::planted::{Defect, PLANTED};
use tindock_lending::words::{kind, Ended, Letter, Line};
use tindock_lending::{Entry, Function, Lending, Member, Order};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Came {
    Slot,
    Refused,
    Nothing,
}

/// Scheduler 1 of five in five zones, with an instance of a function of its own in each zone.
struct Cut {
    lending: Lending,
    now: Duration,
    /// Those that answer.
    in_reach: Vec<u8>,
    probed: Vec<SocketAddr>,
    came: Vec<(u32, Came)>,
}

impl Cut {
    fn new(in_reach: &[u8]) -> Cut {
        let mut lending = Lending::new(at(1), "z1".into(), 11, 5, Duration::ZERO);
        let member = |n: u8| Member {
            at: at(n),
            zone: format!("z{n}"),
            region: "r".into(),
            life: u32::from(n) * 2 + 9,
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
            lends: true,
            since: Duration::ZERO,
        };
        let names: Vec<String> = (1..=5).map(|n| format!("f{n}")).collect();
        lending.functions(ms(1), names.iter().map(|name| function(name)).collect());
        lending.members(ms(1), vec![member(1)]);
        lending.members(ms(1), (1..=5).map(member).collect());
        lending.stacks(ms(1), (1..=5).map(entry).collect(), &[]);
        let in_reach = in_reach.to_vec();
        let mut cut = Cut { lending, now: ms(1), in_reach, probed: Vec::new(), came: Vec::new() };
        cut.pass(ms(5000));
        cut
    }

    fn pull(&mut self) {
        while let Some(order) = self.lending.pull() {
            match order {
                Order::Go { call, .. } => self.came.push((call, Came::Slot)),
                Order::No { call, .. } => self.came.push((call, Came::Refused)),
                Order::Probe { owner } => self.probed.push(owner),
                Order::Send { to, .. } => {
                    let n = (2..=5).find(|n| at(*n) == to).filter(|n| self.in_reach.contains(n));
                    if let Some(n) = n {
                        let lines = vec![Line::Dropped { seq: 0, instance: 0 }];
                        let letter = Letter { life: u32::from(n) * 2 + 9, lines }.write();
                        self.lending.hear(self.now, to, &letter);
                    }
                }
                _ => {}
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(25);
            self.lending.tick(self.now);
            self.pull();
        }
    }

    fn want(&mut self, name: &str) -> u32 {
        let (aim, end) = (self.now + ms(400), self.now + ms(4000));
        let call = self.lending.want(self.now, kind(name), 1, aim, end, "");
        self.pull();
        call
    }

    fn came(&self, call: u32) -> Came {
        self.came.iter().find(|(of, _)| *of == call).map_or(Came::Nothing, |(_, came)| *came)
    }

    /// Calls of functions that others own, one each 100 ms.
    fn calls_for(&mut self, span: Duration) {
        let end = self.now + span;
        for n in (2..=5).cycle() {
            if self.now >= end {
                return;
            }
            self.want(&format!("f{n}"));
            self.pass(ms(100));
        }
    }

    fn call_own(&mut self) -> Came {
        let call = self.want("f1");
        let came = self.came(call);
        if came == Came::Slot {
            self.lending.settle(self.now, call, Ended::Done);
            self.pull();
        }
        came
    }
}

#[rstest]
#[case::alone(&[], Came::Refused)]
#[case::with_one_other(&[5], Came::Refused)]
#[case::with_most(&[3, 4, 5], Came::Slot)]
fn the_smaller_part_lends_no_more(#[case] in_reach: &[u8], #[case] came: Came) {
    let mut cut = Cut::new(in_reach);
    assert_eq!(cut.call_own(), Came::Slot);
    cut.calls_for(ms(6000));
    assert_eq!(cut.call_own(), came);
    // At once, and not at its end.
    let far = cut.want("f2");
    assert_eq!(cut.came(far) == Came::Refused, came == Came::Refused);
    assert!(!cut.probed.is_empty());
    cut.in_reach = vec![2, 3, 4, 5];
    cut.pass(ms(1500));
    assert_eq!(cut.call_own(), Came::Slot);
}

/// Guards against a part of a network whose calls go to one silent owner alone: the others, whom nobody asks, are asked for a
/// word, and count as unreachable as well.
#[test]
fn members_that_nobody_asked_show_on_which_side_they_are() {
    let mut cut = Cut::new(&[]);
    for _ in 0..40 {
        cut.want("f2");
        cut.pass(ms(100));
    }
    assert_eq!(cut.call_own(), Came::Refused);
    cut.in_reach = vec![3, 4, 5];
    cut.pass(ms(1500));
    assert_eq!(cut.call_own(), Came::Slot);
}

#[test]
fn one_that_lends_on_is_found() {
    PLANTED.set(Some(Defect::IsolatedLends));
    let mut cut = Cut::new(&[]);
    cut.calls_for(ms(6000));
    let came = cut.call_own();
    PLANTED.set(None);
    assert_eq!(came, Came::Slot);
}

fn owned(cut: &Cut) -> usize {
    cut.lending.shelves().map(|shelf| shelf.books.len()).sum()
}

/// A member whose instance falls to scheduler 1 as the first thing that it owns beside its own.
fn heir_of() -> u8 {
    let falls = |n: &u8| {
        let mut cut = Cut::new(&[]);
        cut.lending.contact(cut.now, true);
        cut.lending.has_ended(cut.now, at(*n));
        owned(&cut) == 2
    };
    (2..=5).find(falls).expect("one of four")
}

/// Where the controllers are in reach a refused connection shows that a process has ended: what it owned is another's 0.2 s
/// later, without other members.
#[test]
fn a_refused_connection_makes_another_the_owner() {
    let mut cut = Cut::new(&[]);
    cut.lending.contact(cut.now, true);
    assert_eq!(owned(&cut), 1);
    for n in 2..=5 {
        cut.lending.has_ended(cut.now, at(n));
    }
    assert_eq!(owned(&cut), 5);
    let call = cut.want("f2");
    assert_eq!(cut.came(call), Came::Nothing);
    cut.pass(ms(250));
    assert_eq!(cut.came(call), Came::Slot);
    // It speaks on: it was no end, and its own are its own. At once that would be a late letter.
    cut.pass(ms(2100));
    let letter = Letter { life: 13, lines: vec![Line::Dropped { seq: 0, instance: 0 }] }.write();
    cut.lending.hear(cut.now, at(2), &letter);
    let owns = |name: &str| {
        cut.lending.shelves().any(|shelf| shelf.function.name == name && !shelf.books.is_empty())
    };
    assert!(owns("f1") && !owns("f2"));
}

/// Where they are not, refused connections may as well be those of a firewall: from a few, most others being in reach, they
/// count; from most they don't, nor do those that came before.
#[test]
fn connections_refused_by_most_are_a_cut() {
    let first = heir_of();
    let mut cut = Cut::new(&[2, 3, 4, 5]);
    cut.lending.has_ended(cut.now, at(first));
    assert_eq!(owned(&cut), 2);
    for n in (2..=5).filter(|n| *n != first) {
        cut.lending.has_ended(cut.now, at(n));
    }
    assert_eq!(owned(&cut), 1);
    cut.in_reach = Vec::new();
    cut.pass(ms(1000));
    assert_eq!(cut.call_own(), Came::Refused);
    // In touch with the controllers it is on the side of the holder, and serves.
    cut.lending.contact(cut.now, true);
    assert_eq!(cut.call_own(), Came::Slot);
    assert_eq!(owned(&cut), 5);
}

/// One that the holder's list goes on to name has not ended, whatever its connections looked like.
#[test]
fn a_refusal_that_the_holder_does_not_confirm_lapses() {
    let refuses = heir_of();
    let others: Vec<u8> = (2..=5).filter(|n| *n != refuses).collect();
    let mut cut = Cut::new(&others);
    cut.lending.contact(cut.now, true);
    cut.lending.has_ended(cut.now, at(refuses));
    assert_eq!(owned(&cut), 2);
    cut.pass(ms(5100));
    assert_eq!(owned(&cut), 1);
    cut.lending.has_ended(cut.now, at(refuses));
    assert_eq!(owned(&cut), 1);
}
