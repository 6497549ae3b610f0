//! The checks on constructed records: a violation of each rule, and the conditions under which it is
//! permitted.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_mock_services::fleet::Role;
use tindock_mock_services::ledger::Finding;
use tindock_soak::gauges::{gauges, NAMES};
use tindock_soak::record::{
    Attempt, AttemptEnd, Change, ExecutedAction, FullCount, ProcessExit, ProxyMachine, Record,
};
use tindock_soak::report::Report;
use tindock_soak::rules::{find_violations, Rule};
use tindock_soak::scenario::{Action, ActionKind, Scenario};

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

fn executed(at: u64, kind: ActionKind) -> ExecutedAction {
    let action = Action { at_s: at as f64 / 1000.0, kind, on: "proxy-0".into(), for_s: None };
    ExecutedAction { at: ms(at), action, machine: PROXY.into() }
}

fn process_end(at: u64, succeeded: bool) -> ProcessExit {
    ProcessExit { machine: PROXY.into(), role: Role::Proxy, at: ms(at), succeeded, status: "status".into() }
}

/// SIGTERM at 10 s, the exit at 14 s, and one attempt.
fn record(sent: u64, ended: u64, end: AttemptEnd) -> Record {
    let attempt = Attempt {
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
        attempts: vec![attempt],
        executed: vec![executed(10_000, ActionKind::Terminate)],
        exits: vec![process_end(14_000, true)],
        proxies: vec![ProxyMachine { name: PROXY.into(), address: address(), log: "log".into() }],
        ..Record::default()
    }
}

fn rules(record: &Record) -> Vec<Rule> {
    find_violations(&scenario(), record).into_iter().map(|violation| violation.rule).collect()
}

const SERVED: AttemptEnd = AttemptEnd::Answered { status: 200, retry_after: false };
const GATEWAY_ERROR: AttemptEnd = AttemptEnd::Answered { status: 502, retry_after: false };

#[rstest]
#[case::served(11_000, 12_000, SERVED, &[])]
#[case::closed(11_000, 12_000, AttemptEnd::ClosedUnanswered, &[Rule::Lost])]
#[case::cut_short(11_000, 12_000, AttemptEnd::Truncated, &[Rule::Lost])]
#[case::closed_without_any_signal(5_000, 6_000, AttemptEnd::ClosedUnanswered, &[Rule::Lost])]
#[case::closed_at_its_deadline(4_000, 11_900, AttemptEnd::ClosedUnanswered, &[])]
#[case::not_read(11_000, 12_000, AttemptEnd::Reset, &[])]
#[case::closed_by_its_client(11_000, 12_000, AttemptEnd::ClientClosed, &[])]
#[case::sent_early_and_502(12_900, 13_900, GATEWAY_ERROR, &[])]
#[case::sent_late_and_502(13_100, 13_900, GATEWAY_ERROR, &[Rule::GivenUp])]
#[case::refused_for_now(11_000, 11_100, AttemptEnd::Answered { status: 503, retry_after: true }, &[])]
#[case::refused_without_retry_after(
    11_000,
    11_100,
    AttemptEnd::Answered { status: 503, retry_after: false },
    &[Rule::ToldNothing]
)]
#[case::full_before_sigterm(9_000, 9_100, AttemptEnd::Answered { status: 503, retry_after: false }, &[])]
fn an_attempt_that_breaks_a_rule_is_found(
    #[case] sent: u64,
    #[case] ended: u64,
    #[case] end: AttemptEnd,
    #[case] wanted: &[Rule],
) {
    assert_eq!(rules(&record(sent, ended, end)), wanted);
}

#[rstest]
#[case::kill(ActionKind::Kill, 7_500, &[])]
#[case::kill_long_before(ActionKind::Kill, 5_500, &[Rule::Lost])]
#[case::planned(ActionKind::Hangup, 10_500, &[Rule::Lost])]
fn a_lost_request_is_permitted_only_after_an_unplanned_fault(
    #[case] kind: ActionKind,
    #[case] at: u64,
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, 12_000, AttemptEnd::ClosedUnanswered);
    record.executed.push(executed(at, kind));
    assert_eq!(rules(&record), wanted);
}

#[rstest]
#[case::in_time(15_900, &[])]
#[case::too_late(16_900, &[Rule::Grace])]
fn a_process_that_exceeds_its_grace_period_is_found(#[case] ended: u64, #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.exits = vec![process_end(ended, true)];
    assert_eq!(rules(&record), wanted);
}

#[test]
fn the_timely_exit_of_an_agent_does_not_hide_a_late_one_of_its_proxy() {
    let mut record = record(11_000, 12_000, SERVED);
    let agent = ProcessExit { role: Role::Agent, ..process_end(14_000, true) };
    record.exits = vec![agent, process_end(17_500, true)];
    assert_eq!(rules(&record), [Rule::Grace]);
}

#[rstest]
#[case::without_a_signal(5_000, true, &[Rule::Ended])]
#[case::with_an_error_status(14_000, false, &[Rule::Ended])]
fn an_exit_without_a_signal_or_with_an_error_is_found(
    #[case] at: u64,
    #[case] succeeded: bool,
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, 12_000, SERVED);
    record.exits.push(process_end(at, succeeded));
    assert_eq!(rules(&record), wanted);
}

#[rstest]
#[case::crosses_the_close(11_150, false, &[])]
#[case::got_by_a_worker(11_150, true, &[Rule::Lost])]
#[case::closed_too_late(11_250, false, &[Rule::Lost])]
fn a_request_that_crosses_a_close_does_not_count_as_lost(
    #[case] ended: u64,
    #[case] ran: bool,
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, ended, AttemptEnd::ClosedUnanswered);
    record.attempts[0].ran = ran;
    assert_eq!(rules(&record), wanted);
}

#[test]
fn a_slow_request_may_cross_a_close_until_its_last_byte() {
    let mut record = record(11_000, 11_350, AttemptEnd::ClosedUnanswered);
    record.attempts[0].last_byte = ms(11_300);
    assert_eq!(rules(&record), []);
}

#[rstest]
#[case::while_it_starts(14_700, &[])]
#[case::later(15_700, &[Rule::Ended])]
fn an_error_status_after_sigterm_is_permitted_only_while_the_process_starts(
    #[case] at: u64,
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, 12_000, SERVED);
    record.executed.push(executed(at, ActionKind::Terminate));
    record.exits.push(process_end(at, false));
    assert_eq!(rules(&record), wanted);
}

#[test]
fn findings_of_the_ledger_and_killed_processes_are_violations() {
    let mut record = record(11_000, 12_000, SERVED);
    record.findings = vec![Finding::Twice("a".into())];
    record.killed_at_shutdown = vec!["edge-1 desk".into()];
    assert_eq!(rules(&record), [Rule::Ledger, Rule::Grace]);
}

#[rstest]
#[case::slowly(&[(1_000, 0), (4_000, 8), (9_500, 18)], &[])]
#[case::at_once(&[(1_000, 0), (4_000, 8), (5_500, 18)], &[Rule::Limit])]
fn too_many_requests_refused_as_full_in_one_window_are_found(
    #[case] counts: &[(u64, usize)],
    #[case] wanted: &[Rule],
) {
    let mut record = record(11_000, 12_000, SERVED);
    record.executed[0].at = ms(25_000);
    record.exits = vec![process_end(29_000, true)];
    record.full = counts.iter().map(|&(at, refused)| FullCount { at: ms(at), refused }).collect();
    assert_eq!(rules(&record), wanted);
}

#[rstest]
#[case::the_newest(Some(3), &[])]
#[case::an_older_one(Some(2), &[Rule::Configuration])]
#[case::none(None, &[Rule::Configuration])]
fn the_loss_of_an_acknowledged_configuration_is_found(#[case] shown: Option<u64>, #[case] wanted: &[Rule]) {
    let mut record = record(11_000, 12_000, SERVED);
    record.shown = shown;
    let accepted = Change { revision: 3, sent: ms(1), acknowledged: Some(ms(2)) };
    record.changes = vec![accepted, Change { revision: 4, sent: ms(3), acknowledged: None }];
    assert_eq!(rules(&record), wanted);
}

#[test]
fn gauges_measure_how_late_requests_were_served_and_how_long_the_exit_took() {
    let gauges = gauges(&record(12_500, 13_000, SERVED));
    let value = |name: &str| gauges.iter().find(|gauge| gauge.name == name).map(|gauge| gauge.value);
    assert_eq!(gauges.iter().map(|gauge| gauge.name).collect::<Vec<_>>(), NAMES);
    assert_eq!(value("latest-taken"), Some(2.5));
    assert_eq!(value("latest-kept"), Some(2.5));
    assert_eq!(value("end"), Some(4.0));
    assert_eq!(value("open-at-end"), Some(0.0));
}

#[test]
fn reports_name_the_rule_the_attempt_and_the_signal() {
    let (scenario, record) = (scenario(), record(11_000, 12_000, AttemptEnd::ClosedUnanswered));
    let violations = find_violations(&scenario, &record);
    let outcome = Report { scenario: &scenario, record: &record, violations: &violations };
    let text = outcome.text();
    assert!(text.contains("BROKEN Lost at 12.00 s: book a at edge-1"), "{text}");
    assert!(text.contains("sent +1.00 s after its SIGTERM"), "{text}");
    assert!(text.ends_with("broken\n"), "{text}");
    assert_eq!(outcome.events().lines().count(), 4);
    assert!(outcome.html().contains("Terminate to edge-1"));
}
