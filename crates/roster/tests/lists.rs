//! The list from files, discovery and health, and the guard before it.

use insta::assert_snapshot;
use std::time::Duration;
use tindock::types::Condition::{self, Draining, Gone, Ready};
use tindock_roster::guard::{Guard, Reading, Verdict};
use tindock_roster::health::{Health, State, Terms, MOST_A_SECOND, MOST_UNDER_WAY};
use tindock_roster::merging::Merging;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A worker is its port and its slots; the port is the place.
type Worker = (u16, u16);

fn merging() -> Merging<Worker> {
    Merging::new(|one, other| one.0 == other.0)
}

/// The lines that changed, in order.
fn lines(merging: &mut Merging<Worker>) -> Vec<(String, Worker, Condition)> {
    std::iter::from_fn(|| merging.line()).map(|l| (l.name, l.member, l.condition)).collect()
}

fn one(name: &str, member: Worker, condition: Condition) -> Vec<(String, Worker, Condition)> {
    vec![(name.into(), member, condition)]
}

#[test]
fn a_worker_taken_out_drains_and_is_gone_with_its_last_task() {
    let mut list = merging();
    list.filed("y", Some(((1, 4), false)));
    assert_eq!(lines(&mut list), one("y", (1, 4), Ready));
    list.filed("y", None);
    assert_eq!(lines(&mut list), one("y", (1, 4), Draining));
    assert_eq!(list.ending().collect::<Vec<_>>(), ["y"]);
    assert_eq!(lines(&mut list), [], "it stays so while tasks run");
    list.idle("y");
    assert_eq!(lines(&mut list), one("y", (1, 4), Gone));
    assert_eq!((list.ending().count(), list.ready()), (0, 0));
}

/// Guards against a worker that is forgotten, or doubled, when it is put back while its tasks still run.
#[test]
fn a_worker_put_back_while_its_tasks_run_goes_on() {
    let mut list = merging();
    list.filed("y", Some(((1, 4), false)));
    lines(&mut list);
    list.filed("y", None);
    lines(&mut list);
    list.filed("y", Some(((1, 8), false)));
    assert_eq!(lines(&mut list), one("y", (1, 8), Ready));
    list.idle("y");
    assert_eq!(lines(&mut list), [], "its tasks end, and it stays");
}

/// Guards against call-offs sent to a place where no task is.
#[test]
fn a_worker_that_moves_drains_where_it_was_first() {
    let mut list = merging();
    list.filed("y", Some(((1, 4), false)));
    lines(&mut list);
    list.filed("y", Some(((2, 4), false)));
    assert_eq!(lines(&mut list), one("y", (1, 4), Draining));
    list.idle("y");
    let moved = [("y".to_string(), (1, 4), Gone), ("y".to_string(), (2, 4), Ready)];
    assert_eq!(lines(&mut list), moved);
}

#[test]
fn the_most_cautious_word_counts() {
    let mut list = merging();
    list.filed("y", Some(((1, 4), true)));
    assert_eq!(lines(&mut list), one("y", (1, 4), Draining));
    list.told("y", (1, 4), Ready);
    assert_eq!(lines(&mut list), [], "the file says that it leaves");
    list.filed("y", Some(((1, 4), false)));
    assert_eq!(lines(&mut list), one("y", (1, 4), Ready));
    list.told("y", (1, 4), Draining);
    assert_eq!(lines(&mut list), one("y", (1, 4), Draining));
    list.told("y", (7, 4), Ready);
    assert_eq!(lines(&mut list), one("y", (7, 4), Ready), "discovery knows where it is");
    list.health("y", true);
    assert_eq!(lines(&mut list), [], "discovery knows who is alive");
    list.told_whole();
    assert_eq!(lines(&mut list), one("y", (7, 4), Gone));
    list.filed("y", None);
    assert_eq!((lines(&mut list), list.ready()), (Vec::new(), 0));
}

#[test]
fn who_is_down_drains_and_returns_as_one_that_starts() {
    let mut list = merging();
    list.filed("y", Some(((1, 4), false)));
    lines(&mut list);
    list.health("y", true);
    assert_eq!(lines(&mut list), one("y", (1, 4), Draining));
    list.health("y", false);
    let line = list.line().expect("a line");
    assert!(line.condition == Ready && line.returns);
    assert_eq!(lines(&mut list), []);
}

fn offered(guard: &mut Guard, at: u64, digest: u64, taken_out: usize, accepted: Option<u64>) -> Verdict {
    guard.offered(ms(at), Reading { digest, ready: 20, taken_out }, accepted)
}

#[test]
fn a_reading_that_takes_out_many_is_held_back_until_confirmed() {
    let mut guard = Guard::new(0.2, ms(60_000));
    assert_eq!(offered(&mut guard, 0, 1, 4, None), Verdict::Take);
    let until = ms(61_000);
    assert_eq!(offered(&mut guard, 1000, 2, 5, None), Verdict::Hold { first: true, until });
    assert_eq!(offered(&mut guard, 60_999, 2, 5, None), Verdict::Hold { first: false, until });
    assert_eq!(offered(&mut guard, 61_000, 2, 5, None), Verdict::Take);
    // Another reading between begins anew, and so does a while without any.
    assert_eq!(offered(&mut guard, 70_000, 3, 9, None), Verdict::Hold { first: true, until: ms(130_000) });
    assert_eq!(offered(&mut guard, 80_000, 4, 9, None), Verdict::Hold { first: true, until: ms(140_000) });
    guard.nothing();
    assert_eq!(offered(&mut guard, 150_000, 4, 9, None), Verdict::Hold { first: true, until: ms(210_000) });
    assert_eq!(
        offered(&mut guard, 150_001, 4, 9, Some(3)),
        Verdict::Hold { first: false, until: ms(210_000) }
    );
    assert_eq!(offered(&mut guard, 150_002, 4, 9, Some(4)), Verdict::Take, "somebody's word for this one");
}

#[test]
fn one_worker_may_always_go() {
    let mut guard = Guard::new(0.0, ms(60_000));
    assert_eq!(guard.offered(ms(0), Reading { digest: 1, ready: 2, taken_out: 1 }, None), Verdict::Take);
}

const TERMS: Terms = Terms { every: Duration::from_secs(2), down_after: 3, up_after: 2, panic_share: 0.5 };

/// Looks at whoever is due, a millisecond after the other, and prints what changes.
fn watch(
    health: &mut Health,
    from: u64,
    to: u64,
    well: impl Fn(&str, u64) -> bool,
    trace: &mut String,
) -> u32 {
    let mut looks = 0;
    for at in from..to {
        while let Some((name, number)) = health.look(ms(at)) {
            looks += 1;
            health.looked(ms(at), &name, number, well(&name, at));
        }
        while let Some((name, down)) = health.change() {
            *trace += &format!("{at:6} {name} {}\n", if down { "left out" } else { "back" });
        }
    }
    looks
}

/// One bad look leaves nobody out, three on end do, and it takes two good ones to return.
#[test]
fn health_has_hysteresis() {
    let mut health = Health::new(TERMS, 7);
    (0..5).for_each(|n| health.admit(ms(0), &format!("w{n}")));
    let mut trace = String::new();
    // w1 is bad between 5 and 15 s, w2 for one look in four.
    let well = |name: &str, at: u64| match name {
        "w1" => !(5000..15_000).contains(&at),
        "w2" => at % 8000 > 2100,
        _ => true,
    };
    watch(&mut health, 0, 30_000, well, &mut trace);
    assert_snapshot!(trace);
    assert_eq!(health.state("w1"), Some(State::Up));
}

/// Guards against an empty list when the looking itself fails: once more than half are down, all are in again.
#[test]
fn when_most_are_down_the_looking_is_in_doubt() {
    let mut health = Health::new(TERMS, 7);
    (0..6).for_each(|n| health.admit(ms(0), &format!("w{n}")));
    let mut trace = String::new();
    let well = |name: &str, at: u64| match name {
        "w0" | "w1" => at < 5000,
        _ => !(10_000..20_000).contains(&at),
    };
    watch(&mut health, 0, 9000, well, &mut trace);
    assert_eq!(trace.matches("left out").count(), 2, "{trace}");
    watch(&mut health, 9000, 18_000, well, &mut trace);
    assert!(health.panics);
    let out = trace.matches("left out").count() - trace.matches("back").count();
    assert_eq!(out, 0, "{trace}");
    watch(&mut health, 18_000, 30_000, well, &mut trace);
    let out = trace.matches("left out").count() - trace.matches("back").count();
    assert!(!health.panics && out == 2, "{trace}");
}

/// Guards against looks that grow with the fleet, and against descriptors that do.
#[test]
fn looks_are_bounded_over_any_fleet() {
    let mut health = Health::new(TERMS, 7);
    (0..10_000).for_each(|n| health.admit(ms(0), &format!("w{n}")));
    let looks = watch(&mut health, 0, 10_000, |_, _| true, &mut String::new());
    assert!((10 * MOST_A_SECOND * 9 / 10..=10 * MOST_A_SECOND + 1).contains(&looks), "{looks}");
    let mut under_way = 0;
    for at in 10_000..20_000 {
        under_way += usize::from(health.look(ms(at)).is_some());
    }
    assert_eq!(under_way, MOST_UNDER_WAY);
    assert_eq!(health.due(), Duration::MAX);
}

/// Guards against words about a worker that was dropped, or put at another place, while it was looked at.
#[test]
fn late_looks_count_for_nothing() {
    let mut health = Health::new(TERMS, 7);
    health.admit(ms(0), "w0");
    let (name, number) = (0..2000).find_map(|at| health.look(ms(at))).expect("a look");
    health.admit(ms(2000), "w0");
    (0..9).for_each(|_| health.looked(ms(2001), &name, number, false));
    assert_eq!(health.state("w0"), Some(State::Unknown));
    health.dismiss("w0");
    assert!(health.look(ms(9000)).is_none());
}
