//! Schedulers on both sides of a network partition that resets connections: to each side it looks as if the
//! processes of the other had ended. The holder of the leadership lease is on one side, and its list lacks
//! the others after a while.

use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tindock_slot_allocation::defects::{Defect, INJECTED};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::Ended;
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

const MS: Duration = Duration::from_millis(1);
const ZONES: u8 = 4;
const SLOTS: usize = 2;
/// The run time of a call, and the interval between two calls of one scheduler.
const RUN: Duration = Duration::from_millis(80);
const PERIOD_MS: u64 = 30;
/// Time from the partition until the agents behind it lose the controllers, and until the holder's list lacks
/// them.
const CONTACT_LOST_AFTER: Duration = Duration::from_millis(1000);
const LIST_CHANGED_AFTER: Duration = Duration::from_millis(2300);
const PARTITION_AT: Duration = Duration::from_secs(3);
const HEALED_AT: Duration = Duration::from_secs(10);
/// The time after which both sides agree on the owners, from the beginning and from the end of the partition;
/// includes the run time of a call.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

/// The most calls beyond an instance's slots until then, of some 600 in that time.
const MAX_EXCESS: usize = 60;

enum Event {
    Datagram { to: u8, from: u8, bytes: Vec<u8> },
    Refused { to: u8, owner: u8 },
    Finished { at: u8, call: u32, instance: String },
}

struct Fleet {
    now: Duration,
    allocators: BTreeMap<u8, Allocator>,
    /// The schedulers behind the partition.
    cut_off: BTreeSet<u8>,
    due: BTreeMap<Duration, VecDeque<Event>>,
    /// Calls that run on each instance, and the times at which one had more than its slots.
    runs: BTreeMap<String, usize>,
    excess: Vec<Duration>,
    served: BTreeMap<u8, usize>,
}

impl Fleet {
    /// Schedulers distributed in turn over the zones, with an instance in each zone; the last ones are behind
    /// the partition.
    fn new(schedulers: u8, cut_off: u8) -> Fleet {
        let ids: Vec<u8> = (1..=schedulers).collect();
        let members: Vec<Member> = ids.iter().map(|n| member(*n)).collect();
        let function = Function {
            id: FunctionId::of("f"),
            name: "f".into(),
            slots: SLOTS,
            boot: Duration::from_secs(1),
        };
        let entry = |zone: u8| Entry {
            instance: format!("i{zone}"),
            function_id: FunctionId::of("f"),
            at: SocketAddr::from(([10, 2, 0, zone], 80)),
            zone: format!("z{zone}"),
            ready: true,
            accepts_calls: true,
            since: Duration::ZERO,
        };
        let allocators = ids.iter().map(|n| {
            let local = member(*n);
            let mut allocator =
                Allocator::new(local.at, local.zone.clone(), local.incarnation, (*n).into(), Duration::ZERO);
            allocator.set_controllers_reachable(MS, true);
            allocator.set_functions(MS, vec![function.clone()]);
            allocator.set_members(MS, members.clone());
            allocator.update_instances(MS, (0..ZONES).map(entry).collect(), &[]);
            (*n, allocator)
        });
        Fleet {
            now: MS,
            allocators: allocators.collect(),
            cut_off: (schedulers - cut_off + 1..=schedulers).collect(),
            due: BTreeMap::new(),
            runs: BTreeMap::new(),
            excess: Vec::new(),
            served: BTreeMap::new(),
        }
    }

    fn is_partitioned(&self, a: u8, b: u8) -> bool {
        let partition = (PARTITION_AT..HEALED_AT).contains(&self.now);
        partition && self.cut_off.contains(&a) != self.cut_off.contains(&b)
    }

    fn later(&mut self, pause: Duration, event: Event) {
        self.due.entry(self.now + pause).or_default().push_back(event);
    }

    fn with(&mut self, n: u8, input: impl FnOnce(&mut Allocator, Duration)) {
        let now = self.now;
        let allocator = self.allocators.get_mut(&n).expect("a scheduler");
        input(allocator, now);
        while let Some(action) = self.allocators.get_mut(&n).expect("a scheduler").pull() {
            self.execute(n, action);
        }
    }

    fn execute(&mut self, n: u8, action: Action) {
        let number = |at: SocketAddr| match at {
            SocketAddr::V4(at) => at.ip().octets()[3],
            SocketAddr::V6(_) => unreachable!("all addresses are of version 4"),
        };
        match action {
            Action::Send { to, bytes } if !self.is_partitioned(n, number(to)) => {
                self.later(MS, Event::Datagram { to: number(to), from: n, bytes });
            }
            Action::Probe { owner } if self.is_partitioned(n, number(owner)) => {
                self.later(MS, Event::Refused { to: n, owner: number(owner) });
            }
            Action::Dispatch { call, instance, .. } => {
                let runs = self.runs.entry(instance.clone()).or_default();
                *runs += 1;
                if *runs > SLOTS {
                    self.excess.push(self.now);
                }
                *self.served.entry(n).or_default() += 1;
                self.later(RUN, Event::Finished { at: n, call, instance });
            }
            _ => {}
        }
    }

    fn run(&mut self, until: Duration) {
        while self.now < until {
            self.now += MS;
            while self.due.first_key_value().is_some_and(|(at, _)| *at <= self.now) {
                let (_, events) = self.due.pop_first().expect("events");
                events.into_iter().for_each(|event| self.handle(event));
            }
            self.controllers();
            let ids: Vec<u8> = self.allocators.keys().copied().collect();
            for n in ids {
                let at = self.now.as_millis() as u64;
                if (at + u64::from(n) * 7).is_multiple_of(PERIOD_MS) {
                    self.with(n, |allocator, now| {
                        allocator.request_slot(
                            now,
                            FunctionId::of("f"),
                            1,
                            now + 400 * MS,
                            now + 2000 * MS,
                            "",
                        );
                    });
                }
                if at.is_multiple_of(25) {
                    self.with(n, |allocator, now| allocator.tick(now));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram { to, from, bytes } => {
                self.with(to, |allocator, now| {
                    allocator.receive(now, address(from), &bytes);
                });
            }
            Event::Refused { to, owner } => {
                self.with(to, |allocator, now| allocator.connection_refused(now, address(owner)));
            }
            Event::Finished { at, call, instance } => {
                *self.runs.entry(instance).or_default() -= 1;
                self.with(at, |allocator, now| allocator.settle(now, call, Ended::Done));
            }
        }
    }

    /// The updates from agents and from the lease holder.
    fn controllers(&mut self) {
        let cut_off: Vec<u8> = self.cut_off.iter().copied().collect();
        let connected: Vec<u8> =
            self.allocators.keys().copied().filter(|n| !self.cut_off.contains(n)).collect();
        let all: Vec<Member> = self.allocators.keys().map(|n| member(*n)).collect();
        if self.now == PARTITION_AT + CONTACT_LOST_AFTER {
            cut_off.iter().for_each(|n| {
                self.with(*n, |allocator, now| allocator.set_controllers_reachable(now, false))
            });
        }
        if self.now == PARTITION_AT + LIST_CHANGED_AFTER {
            let list: Vec<Member> = connected.iter().map(|n| member(*n)).collect();
            connected
                .iter()
                .for_each(|n| self.with(*n, |allocator, now| allocator.set_members(now, list.clone())));
        }
        if self.now == HEALED_AT + 500 * MS {
            for n in cut_off.iter().chain(&connected) {
                self.with(*n, |allocator, now| {
                    allocator.set_controllers_reachable(now, true);
                    allocator.set_members(now, all.clone());
                });
            }
        }
    }

    fn excess_within(&self, from: Duration, to: Duration) -> usize {
        self.excess.iter().filter(|at| (from..to).contains(*at)).count()
    }
}

fn member(n: u8) -> Member {
    Member {
        at: address(n),
        zone: format!("z{}", n % ZONES),
        region: "r".into(),
        incarnation: u32::from(n) * 2 + 10,
    }
}

/// Guards against refused connections that count as the end of a process: behind a firewall that resets
/// connections, both sides took over the other's instances and granted all slots twice for as long as the
/// partition lasted.
#[rstest]
#[case::half_of_eight(8, 4)]
#[case::three_of_eight(8, 3)]
#[case::one_of_eight(8, 1)]
#[case::half_of_six(6, 3)]
#[case::five_of_eight(8, 5)]
fn two_sides_of_resetting_partition_do_not_both_grant(#[case] schedulers: u8, #[case] cut_off: u8) {
    let mut fleet = Fleet::new(schedulers, cut_off);
    fleet.run(Duration::from_secs(13));
    assert_eq!(fleet.excess_within(Duration::ZERO, PARTITION_AT), 0);
    let first = fleet.excess_within(PARTITION_AT, PARTITION_AT + SETTLE_TIME);
    assert!(first <= MAX_EXCESS, "{first} at the beginning");
    assert_eq!(fleet.excess_within(PARTITION_AT + SETTLE_TIME, HEALED_AT), 0, "during the partition");
    assert_eq!(fleet.excess_within(HEALED_AT + SETTLE_TIME, Duration::MAX), 0, "after it");
}

/// The holder's side goes on with all instances, however few schedulers it has, and all serve again after the
/// partition.
#[test]
fn holder_side_keeps_serving() {
    let mut fleet = Fleet::new(8, 6);
    fleet.run(PARTITION_AT + SETTLE_TIME);
    let served = |fleet: &Fleet| fleet.served.values().sum::<usize>();
    let (before, local) = (served(&fleet), fleet.served[&1]);
    fleet.run(HEALED_AT);
    assert!(fleet.served[&1] > local, "{:?}", fleet.served);
    let partitioned = served(&fleet) - before;
    fleet.run(HEALED_AT + SETTLE_TIME);
    let healed = served(&fleet);
    fleet.run(HEALED_AT + SETTLE_TIME + Duration::from_secs(2));
    assert!(served(&fleet) > healed + 50, "{partitioned}, {healed}");
}

#[rstest]
#[case(Defect::RefusalIsProof)]
#[case(Defect::IsolatedGrants)]
fn side_that_keeps_granting_is_detected(#[case] defect: Defect) {
    let excess = |defect: Option<Defect>| {
        INJECTED.set(defect);
        let mut fleet = Fleet::new(8, 4);
        fleet.run(HEALED_AT);
        INJECTED.set(None);
        fleet.excess_within(PARTITION_AT, HEALED_AT)
    };
    let (sound, injected) = (excess(None), excess(Some(defect)));
    assert!(injected > 2 * sound, "{injected} excess calls, and {sound} without the defect");
}
