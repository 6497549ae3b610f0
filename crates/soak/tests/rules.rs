//! The judge on records that are made up: each rule, and what excuses it.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_soak::gauges::{gauges, NAMES};
use tindock_soak::record::{
    Attempt, AttemptEnd, Change, ExecutedAction, FullCount, ProcessExit, ProxyMachine, Record,
};
use tindock_soak::report::Report;
use tindock_soak::rules::{find_violations, Rule};
use tindock_soak::scenario::{Action, ActionKind, Scenario};
use tindock_standins::fleet::Role;
use tindock_standins::ledger::Finding;

const PROXY: &str = "edge-1";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], 80))
}

fn scenario() -> Scenario {
    Scenario {
        seed: 1,
        seconds: 30.0,
        grace_s: 6.0,
        proxies: 3,
        controllers: 3,
        hosts: 3,
        clients: 4,
        rate: 10.0,
        actions: Vec::new(),
    }
}

fn done(at: u64, kind: ActionKind) -> ExecutedAction {
    let action = Action { at_s: at as f64 / 1000.0, kind, on: "proxy-0".into(), for_s: None };
    ExecutedAction { at: ms(at), action, machine: PROXY.into() }
}

fn process_end(at: u64, succeeded: bool) -> ProcessExit {
    ProcessExit { machine: PROXY.into(), role: Role::Proxy, at: ms(at), succeeded, status: "status".into() }
}

/// SIGTERM at 10 s, the end at 14 s, and one try.
fn record(sent: u64, ended: u64, end: AttemptEnd) -> Record {
    let tried = Attempt {
        attempt_id: "a".into(),
        class: "book".into(),
        repeatable: false,
        to: address(),
        opened: ms(9_000),
        sent: ms(sent),
        last_byte: ms(sent),
        ended: ms(ended),
        deadline: ms(sent + 8_000),
        ran: false,
        end,
    };
    Record {
        attempts: vec![tried],
        executed: vec![done(10_000, ActionKind::Terminate)],
        exits: vec![process_end(14_000, true)],
        proxies: vec![ProxyMachine { name: PROXY.into(), address: address(), log: "log".into() }],
        ..Record::default()
    }
}

fn rules(record: &Record) -> Vec<Rule> {
    find_violations(&scenario(), record).into_iter().map(|broken| broken.rule).collect()
}

const SERVED: AttemptEnd = AttemptEnd::Answered { status: 200, retry_after: false };
const BROKEN_OFF: AttemptEnd = AttemptEnd::Answered { status: 502, retry_after: false };

#[rstest]
#[case::served(11_000, 12_000, SERVED, &[])]
#[case::closed(11_000, 12_000, AttemptEnd::ClosedUnanswered, &[Rule::Lost])]
#[case::cut_short(11_000, 12_000, AttemptEnd::Truncated, &[Rule::Lost])]
#[case::closed_without_any_signal(5_000, 6_000, AttemptEnd::ClosedUnanswered, &[Rule::Lost])]
#[case::closed_at_its_deadline(4_000, 11_900, AttemptEnd::ClosedUnanswered, &[])]
#[case::not_read(11_000, 12_000, AttemptEnd::Reset, &[])]
#[case::its_client_left(11_000, 12_000, AttemptEnd::ClientClosed, &[])]
#[case::taken_early_and_broken_off(12_900, 13_900, BROKEN_OFF, &[])]
#[case::taken_late_and_broken_off(13_100, 13_900, BROKEN_OFF, &[Rule::GivenUp])]
#[case::told_when_to_come_back(11_000, 11_100, AttemptEnd::Answered { status: 503, retry_after: true }, &[])]
#[case::told_nothing(11_000, 11_100, AttemptEnd::Answered { status: 503, retry_after: false }, &[Rule::ToldNothing])]
#[case::full_before_sigterm(9_000, 9_100, AttemptEnd::Answered { status: 503, retry_after: false }, &[])]
fn a_try_is_judged(#[case] sent: u64, #[case] ended: u64, #[case] end: AttemptEnd, #[case] wanted: &[Rule]) {
    assert_eq!(rules(&record(sent, ended, end)), wanted);
}

#[rstest]
#[case::kill(ActionKind::Kill, 7_500, &[])]
#[case::kill_long_before(ActionKind::Kill, 5_500, &[Rule::Lost])]
#[case::planned(ActionKind::Hangup, 10_500, &[Rule::Lost])]
fn unplanned_trouble_excuses_a_lost_request(
    #[case] kind: ActionKind,
    #[case] at: u64,
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, 12_000, AttemptEnd::ClosedUnanswered);
    record.executed.push(done(at, kind));
    assert_eq!(rules(&record), wanted);
}

#[rstest]
#[case::in_time(15_900, &[])]
#[case::too_late(16_900, &[Rule::Grace])]
fn a_process_ends_within_its_grace_period(#[case] ended: u64, #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.exits = vec![process_end(ended, true)];
    assert_eq!(rules(&record), wanted);
}

#[test]
fn an_agent_that_ends_in_time_does_not_excuse_its_proxy() {
    let mut record = record(11_000, 12_000, SERVED);
    let agent = ProcessExit { role: Role::Agent, ..process_end(14_000, true) };
    record.exits = vec![agent, process_end(17_500, true)];
    assert_eq!(rules(&record), [Rule::Grace]);
}

#[rstest]
#[case::a_signal_too_few(5_000, true, &[Rule::Ended])]
#[case::badly(14_000, false, &[Rule::Ended])]
fn a_process_that_ends_by_itself_is_found(#[case] at: u64, #[case] succeeded: bool, #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.exits.push(process_end(at, succeeded));
    assert_eq!(rules(&record), wanted);
}

#[rstest]
#[case::crosses_the_close(11_150, false, &[])]
#[case::passed_on(11_150, true, &[Rule::Lost])]
#[case::held(11_250, false, &[Rule::Lost])]
fn a_request_that_crosses_a_close_is_not_lost(
    #[case] ended: u64,
    #[case] ran: bool,
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, ended, AttemptEnd::ClosedUnanswered);
    record.attempts[0].ran = ran;
    assert_eq!(rules(&record), wanted);
}

#[test]
fn a_slow_request_crosses_a_close_with_its_last_byte() {
    let mut record = record(11_000, 11_350, AttemptEnd::ClosedUnanswered);
    record.attempts[0].last_byte = ms(11_300);
    assert_eq!(rules(&record), []);
}

#[rstest]
#[case::while_it_starts(14_700, &[])]
#[case::later(15_700, &[Rule::Ended])]
fn a_process_that_has_just_been_started_ends_by_sigterm_itself(#[case] at: u64, #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.executed.push(done(at, ActionKind::Terminate));
    record.exits.push(process_end(at, false));
    assert_eq!(rules(&record), wanted);
}

#[test]
fn what_the_ledger_finds_and_who_had_to_be_killed_break_rules() {
    let mut record = record(11_000, 12_000, SERVED);
    record.findings = vec![Finding::Twice("a".into())];
    record.outlived = vec!["edge-1 desk".into()];
    assert_eq!(rules(&record), [Rule::Ledger, Rule::Grace]);
}

#[rstest]
#[case::slowly(&[(1_000, 0), (4_000, 8), (9_500, 18)], &[])]
#[case::at_once(&[(1_000, 0), (4_000, 8), (5_500, 18)], &[Rule::Limit])]
fn workers_are_not_handed_more_than_they_hold(#[case] counts: &[(u64, usize)], #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.executed[0].at = ms(25_000);
    record.exits = vec![process_end(29_000, true)];
    record.full = counts.iter().map(|&(at, turned_away)| FullCount { at: ms(at), turned_away }).collect();
    assert_eq!(rules(&record), wanted);
}

#[rstest]
#[case::the_newest(Some(3), &[])]
#[case::an_older_one(Some(2), &[Rule::Configuration])]
#[case::none(None, &[Rule::Configuration])]
fn what_was_acknowledged_is_read_back(#[case] shown: Option<u64>, #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.shown = shown;
    let taken = Change { revision: 3, sent: ms(1), acknowledged: Some(ms(2)) };
    record.changes = vec![taken, Change { revision: 4, sent: ms(3), acknowledged: None }];
    assert_eq!(rules(&record), wanted);
}

#[test]
fn gauges_tell_how_late_requests_were_taken_and_how_long_the_end_took() {
    let gauges = gauges(&record(12_500, 13_000, SERVED));
    let value = |name: &str| gauges.iter().find(|gauge| gauge.name == name).map(|gauge| gauge.value);
    assert_eq!(gauges.iter().map(|gauge| gauge.name).collect::<Vec<_>>(), NAMES);
    assert_eq!(value("latest-taken"), Some(2.5));
    assert_eq!(value("latest-kept"), Some(2.5));
    assert_eq!(value("end"), Some(4.0));
    assert_eq!(value("open-at-end"), Some(0.0));
}

#[test]
fn reports_name_the_rule_the_try_and_the_signal() {
    let (scenario, record) = (scenario(), record(11_000, 12_000, AttemptEnd::ClosedUnanswered));
    let broken = find_violations(&scenario, &record);
    let outcome = Report { scenario: &scenario, record: &record, violations: &broken };
    let text = outcome.text();
    assert!(text.contains("BROKEN Lost at 12.00 s: book a at edge-1"), "{text}");
    assert!(text.contains("sent +1.00 s after its SIGTERM"), "{text}");
    assert!(text.ends_with("broken\n"), "{text}");
    assert_eq!(outcome.events().lines().count(), 4);
    assert!(outcome.html().contains("Terminate to edge-1"));
}
