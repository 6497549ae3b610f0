//! Two processes that both consider themselves the owner of an instance: after a change of members that one
//! has not received yet, and before the holder of the leadership lease has published any.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_slot_allocation::defects::{Defect, INJECTED};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::owners::weight;
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

const MS: Duration = Duration::from_millis(1);
const HERE: &str = "here";

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

fn member(n: u8) -> Member {
    Member { at: at(n), zone: HERE.into(), region: "r".into(), incarnation: u32::from(n) * 2 + 10 }
}

/// A function whose instances the second of two members owns.
fn function_owned_by_second() -> String {
    let owned = |name: &String| weight(FunctionId::of(name), &at(2)) > weight(FunctionId::of(name), &at(1));
    (0..100).map(|n| format!("f{n}")).find(owned).expect("one of a hundred")
}

fn scheduler(n: u8, name: &str, zone: &str) -> Allocator {
    let mut allocator = Allocator::new(at(n), HERE.into(), member(n).incarnation, n.into(), Duration::ZERO);
    let boot = Duration::from_secs(1);
    allocator
        .set_functions(MS, vec![Function { id: FunctionId::of(name), name: name.into(), slots: 2, boot }]);
    let entry = Entry {
        instance: "i1".into(),
        function_id: FunctionId::of(name),
        at: SocketAddr::from(([10, 2, 0, 1], 80)),
        zone: zone.into(),
        ready: true,
        accepts_calls: true,
        since: Duration::ZERO,
    };
    allocator.update_instances(MS, vec![entry], &[]);
    allocator
}

fn can_grant(allocator: &Allocator, now: Duration) -> bool {
    allocator.pools().flat_map(|pool| &pool.ledgers).any(|ledger| ledger.can_grant(now))
}

/// Between the change reaching the second process and the first: how often both could grant slots, and after
/// how long the second one first could.
fn dispute(first_learns: Duration) -> (usize, Option<Duration>) {
    let name = function_owned_by_second();
    let mut both = [scheduler(1, &name, HERE), scheduler(2, &name, HERE)];
    both.iter_mut().for_each(|allocator| allocator.set_members(MS, vec![member(1)]));
    let (learns_at, mut both_grant, mut first_grant) = (Duration::from_secs(5), 0, None);
    for now in (1..9000).map(|n| n * MS) {
        if now == learns_at {
            both[1].set_members(now, vec![member(1), member(2)]);
        }
        if now == learns_at + first_learns {
            both[0].set_members(now, vec![member(1), member(2)]);
        }
        if now.as_millis().is_multiple_of(25) {
            both.iter_mut().for_each(|allocator| allocator.tick(now));
        }
        for from in [0, 1] {
            while let Some(action) = both[from].pull() {
                if let Action::Send { bytes, .. } = action {
                    both[1 - from].receive(now, at(from as u8 + 1), &bytes);
                }
            }
        }
        both_grant += usize::from(both.iter().all(|allocator| can_grant(allocator, now)));
        if can_grant(&both[1], now) {
            first_grant.get_or_insert(now - learns_at);
        }
    }
    (both_grant, first_grant)
}

/// Guards against a former owner that goes on granting slots until it learns of the change, while the new one
/// grants them after its wait.
#[rstest]
#[case::soon(150 * MS)]
#[case::late(1500 * MS)]
#[case::later(2000 * MS)]
fn claimed_instance_is_not_granted_by_former_owner(#[case] first_learns: Duration) {
    let (both_grant, first_grant) = dispute(first_learns);
    assert_eq!(both_grant, 0);
    assert!(
        first_grant.is_some_and(|first_grant| first_grant <= first_learns.min(1000 * MS) + 50 * MS),
        "{first_grant:?}"
    );
}

#[test]
fn owner_that_keeps_granting_is_detected() {
    INJECTED.set(Some(Defect::ClaimsIgnored));
    let (both_grant, _) = dispute(1500 * MS);
    INJECTED.set(None);
    assert!(both_grant > 0);
}

fn owned(allocator: &Allocator) -> usize {
    allocator.pools().map(|pool| pool.ledgers.len()).sum()
}

/// Guards against a failure after the loss of all processes: one that had not discovered any other process of
/// a zone yet owned all of its instances.
#[rstest]
#[case::own_zone(HERE, None, 1)]
#[case::another_zone("there", None, 0)]
#[case::injected("there", Some(Defect::FirstKnownOwns), 1)]
fn provisional_members_give_no_ownership_of_other_zones(
    #[case] zone: &str,
    #[case] defect: Option<Defect>,
    #[case] owns: usize,
) {
    INJECTED.set(defect);
    let mut allocator = scheduler(1, "f", zone);
    allocator.set_provisional_members(2 * MS, vec![member(1)]);
    let before = owned(&allocator);
    // Once the members are published, another process owns the instances of a zone without proxies.
    allocator.set_members(3 * MS, vec![member(1)]);
    INJECTED.set(None);
    assert_eq!((before, owned(&allocator)), (owns, 1));
}

/// A call for an instance without known owner waits, reports no shortage, and is given up after a while.
#[test]
fn call_without_known_owner_waits_and_reports_no_shortage() {
    let mut allocator = scheduler(1, "f", "there");
    allocator.set_provisional_members(2 * MS, vec![member(1)]);
    let call = allocator.request_slot(3 * MS, FunctionId::of("f"), 1, 400 * MS, 4000 * MS, "");
    let (mut wanted, mut refused) = (0, None);
    for now in (3..2000).step_by(25).map(|n| n * MS) {
        allocator.tick(now);
        while let Some(action) = allocator.pull() {
            match action {
                Action::InstanceWanted(_) => wanted += 1,
                Action::Reject { call: of, .. } if of == call => refused = Some(now),
                _ => {}
            }
        }
    }
    assert_eq!(wanted, 0);
    assert!(refused.is_some_and(|at| (800 * MS..900 * MS).contains(&at)), "{refused:?}");
}
