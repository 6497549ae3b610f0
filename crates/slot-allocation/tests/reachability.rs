//! A process in the smaller part of a partitioned network: it rejects calls, and grants no slots of its
//! instances.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_slot_allocation::datagram::Datagram;
use tindock_slot_allocation::defects::{Defect, INJECTED};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::{Ended, Message};
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

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

/// Scheduler 1 of five in five zones; each zone has an instance of a function of its own.
struct Partition {
    allocator: Allocator,
    now: Duration,
    /// The members that answer.
    reachable: Vec<u8>,
    probed: Vec<SocketAddr>,
    outcome: Vec<(u32, Outcome)>,
}

impl Partition {
    fn new(reachable: &[u8]) -> Partition {
        let mut allocator = Allocator::new(at(1), "z1".into(), 11, 5, Duration::ZERO);
        let member = |n: u8| Member {
            at: at(n),
            zone: format!("z{n}"),
            region: "r".into(),
            incarnation: u32::from(n) * 2 + 10,
        };
        let function = |name: &str| Function {
            id: FunctionId::of(name),
            name: name.into(),
            slots: 4,
            boot: Duration::from_secs(1),
        };
        let entry = |n: u8| Entry {
            instance: format!("i{n}"),
            function_id: FunctionId::of(&format!("f{n}")),
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
        let mut partition =
            Partition { allocator, now: ms(1), reachable, probed: Vec::new(), outcome: Vec::new() };
        partition.advance(ms(5000));
        partition
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
                        let datagram = Datagram { incarnation: u32::from(n) * 2 + 10, messages }.encode();
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
        let call = self.allocator.request_slot(self.now, FunctionId::of(name), 1, aim, end, "");
        self.pull();
        call
    }

    fn outcome(&self, call: u32) -> Outcome {
        self.outcome.iter().find(|(of, _)| *of == call).map_or(Outcome::Nothing, |(_, outcome)| *outcome)
    }

    /// Calls of functions that others own, one each 100 ms.
    fn calls_of_others(&mut self, span: Duration) {
        let end = self.now + span;
        for n in (2..=5).cycle() {
            if self.now >= end {
                return;
            }
            self.request_slot(&format!("f{n}"));
            self.advance(ms(100));
        }
    }

    fn call_local(&mut self) -> Outcome {
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
fn smaller_side_of_partition_stops_granting(#[case] reachable: &[u8], #[case] outcome: Outcome) {
    let mut partition = Partition::new(reachable);
    assert_eq!(partition.call_local(), Outcome::Slot);
    partition.calls_of_others(ms(6000));
    assert_eq!(partition.call_local(), outcome);
    // Rejected at once, and not at its deadline.
    let far = partition.request_slot("f2");
    assert_eq!(partition.outcome(far) == Outcome::Refused, outcome == Outcome::Refused);
    assert!(!partition.probed.is_empty());
    partition.reachable = vec![2, 3, 4, 5];
    partition.advance(ms(1500));
    assert_eq!(partition.call_local(), Outcome::Slot);
}

/// Guards against a partition that goes unnoticed because all calls go to one unresponsive owner: members
/// that receive no request must be pinged, and count as unreachable as well.
#[test]
fn members_without_requests_are_pinged_during_partition() {
    let mut partition = Partition::new(&[]);
    for _ in 0..40 {
        partition.request_slot("f2");
        partition.advance(ms(100));
    }
    assert_eq!(partition.call_local(), Outcome::Refused);
    partition.reachable = vec![3, 4, 5];
    partition.advance(ms(1500));
    assert_eq!(partition.call_local(), Outcome::Slot);
}

#[test]
fn owner_that_keeps_granting_is_detected() {
    INJECTED.set(Some(Defect::IsolatedGrants));
    let mut partition = Partition::new(&[]);
    partition.calls_of_others(ms(6000));
    let outcome = partition.call_local();
    INJECTED.set(None);
    assert_eq!(outcome, Outcome::Slot);
}

fn owned(partition: &Partition) -> usize {
    partition.allocator.pools().map(|pool| pool.ledgers.len()).sum()
}

/// A member whose instance scheduler 1 owns first if that member ends.
fn first_inherited_member() -> u8 {
    let falls = |n: &u8| {
        let mut partition = Partition::new(&[]);
        partition.allocator.set_controllers_reachable(partition.now, true);
        partition.allocator.connection_refused(partition.now, at(*n));
        owned(&partition) == 2
    };
    (2..=5).find(falls).expect("one of four")
}

/// Where the controllers are reachable, a refused connection shows that a process has ended: others own its
/// instances 0.2 s later, without a change of members.
#[test]
fn refused_connection_moves_ownership_at_once() {
    let mut partition = Partition::new(&[]);
    partition.allocator.set_controllers_reachable(partition.now, true);
    assert_eq!(owned(&partition), 1);
    for n in 2..=5 {
        partition.allocator.connection_refused(partition.now, at(n));
    }
    assert_eq!(owned(&partition), 5);
    let call = partition.request_slot("f2");
    assert_eq!(partition.outcome(call), Outcome::Nothing);
    partition.advance(ms(250));
    assert_eq!(partition.outcome(call), Outcome::Slot);
    // The process is heard from again: it has not ended and owns its instances again. Earlier this would
    // count as a late datagram.
    partition.advance(ms(2100));
    let datagram =
        Datagram { incarnation: 14, messages: vec![Message::ReleaseAck { seq: 0, instance: 0 }] }.encode();
    partition.allocator.receive(partition.now, at(2), &datagram);
    let owns = |name: &str| {
        partition.allocator.pools().any(|pool| pool.function.name == name && !pool.ledgers.is_empty())
    };
    assert!(owns("f1") && !owns("f2"));
}

/// Where they are not, refused connections may be caused by a firewall: refusals by a few count while most
/// others are reachable; refusals by most don't, nor do earlier ones.
#[test]
fn refusals_by_most_members_are_taken_for_a_partition() {
    let first = first_inherited_member();
    let mut partition = Partition::new(&[2, 3, 4, 5]);
    partition.allocator.connection_refused(partition.now, at(first));
    assert_eq!(owned(&partition), 2);
    for n in (2..=5).filter(|n| *n != first) {
        partition.allocator.connection_refused(partition.now, at(n));
    }
    assert_eq!(owned(&partition), 1);
    partition.reachable = Vec::new();
    partition.advance(ms(1000));
    assert_eq!(partition.call_local(), Outcome::Refused);
    // Once it reaches the controllers it is on the holder's side, and serves.
    partition.allocator.set_controllers_reachable(partition.now, true);
    assert_eq!(partition.call_local(), Outcome::Slot);
    assert_eq!(owned(&partition), 5);
}

/// A member that the holder's list still names has not ended, even if its connections were refused.
#[test]
fn refusal_not_confirmed_by_holder_lapses() {
    let refuses = first_inherited_member();
    let others: Vec<u8> = (2..=5).filter(|n| *n != refuses).collect();
    let mut partition = Partition::new(&others);
    partition.allocator.set_controllers_reachable(partition.now, true);
    partition.allocator.connection_refused(partition.now, at(refuses));
    assert_eq!(owned(&partition), 2);
    partition.advance(ms(5100));
    assert_eq!(owned(&partition), 1);
    partition.allocator.connection_refused(partition.now, at(refuses));
    assert_eq!(owned(&partition), 1);
}
