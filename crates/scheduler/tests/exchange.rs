//! The exchange by itself: snapshots of its commands and answers for each known failure.

#[allow(dead_code)] // the module's own tests use the rest
#[path = "../../../tests/helpers/mod.rs"]
mod helpers;

use helpers::{ms, settings_for};
use insta::assert_snapshot;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tindock::policy::Policy;
use tindock::types::{Condition, Effect, PolicySettings, Site};
use tindock_scheduler::clock::Clock;
use tindock_scheduler::exchange::{AssignmentKey, Command, Exchange, TaskHandle, TaskRequest};
use tindock_scheduler::listing::{Entry, Listing};
use tindock_scheduler::scheduler_config::Names;
use tindock_scheduler::workers::endings::Close;
use tindock_scheduler::workers::updates;
use tindock_scheduler::workload_table::WorkloadTable;
use tokio::sync::mpsc::UnboundedReceiver;

struct Fixture {
    exchange: Rc<Exchange>,
    commands: UnboundedReceiver<Command>,
    now: Rc<Cell<Duration>>,
    handles: Vec<(String, TaskHandle)>,
    /// The assignments sent, in order.
    keys: Vec<AssignmentKey>,
    trace: String,
}

fn entry(worker: usize, condition: Condition) -> Entry {
    Entry {
        name: format!("w{worker}"),
        address: ([127, 0, 0, 1], 4000 + worker as u16).into(),
        site: Site::default(),
        weight: 2.0,
        condition,
        booted_ms: None,
    }
}

impl Fixture {
    fn new(settings: PolicySettings, workers: usize) -> Self {
        let now = Rc::new(Cell::new(ms(1_000_000)));
        let (clock, workloads) = (now.clone(), WorkloadTable::new(&settings, &Names::default()));
        let policy = Policy::new(settings, 7, now.get());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let (exchange, commands) =
            Exchange::new(policy, workloads, Clock::start(), Box::new(move || clock.get()), log);
        let (handles, keys, trace) = (Vec::new(), Vec::new(), String::new());
        let entries = (0..workers).map(|w| entry(w, Condition::Ready)).collect();
        exchange.start(now.get(), (workers > 0).then_some(Listing { index: 1, whole: true, entries }));
        let mut fixture = Fixture { exchange, commands, now, handles, keys, trace };
        fixture.record_outputs();
        fixture
    }

    fn list(&mut self, entries: Vec<Entry>, whole: bool) {
        self.exchange.update_list(Listing { index: 1, whole, entries });
        self.record_outputs();
    }

    fn arrive(&mut self, id: &str) {
        let request = TaskRequest {
            id: id.into(),
            workload: 0,
            tenant: 0,
            size: 1.0,
            time_left: None,
            target: "/plan".into(),
            headers: Default::default(),
            body: Default::default(),
        };
        match self.exchange.submit(request) {
            Some(handle) => self.handles.push((id.into(), handle)),
            None => self.note(&format!("{id} is in hand already")),
        }
        self.record_outputs();
    }

    fn update(&mut self, text: &str) {
        self.note(text);
        self.exchange.apply_update(updates::decode(text.as_bytes()).expect("an update"));
        self.record_outputs();
    }

    fn end(&mut self, ticket: usize, close: Close) {
        self.note(&format!("ticket {ticket}: {close:?}"));
        self.exchange.assignment_ended(self.keys[ticket], close);
        self.record_outputs();
    }

    /// Advances the clock in steps of 5 ms and handles what is due at each.
    fn pass(&mut self, span: u64) {
        for _ in 0..span / 5 {
            self.now.set(self.now.get() + ms(5));
            self.exchange.fire_timers();
            self.record_outputs();
        }
    }

    fn note(&mut self, line: &str) {
        let at = self.now.get().as_millis() - 1_000_000;
        self.trace += &format!("{at:5} {line}\n");
    }

    /// Records new commands and answers.
    fn record_outputs(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            let number = |keys: &[AssignmentKey], t| keys.iter().position(|x| *x == t);
            let line = match command {
                Command::Send { key, worker, request, .. } => {
                    self.keys.push(key);
                    format!("  send {} to w{worker}: ticket {}", request.id, self.keys.len() - 1)
                }
                Command::Cancel { key, worker, id } => {
                    format!("  call off {id} at w{worker}: ticket {:?}", number(&self.keys, key))
                }
                Command::Drop { key } => format!("  drop ticket {:?}", number(&self.keys, key)),
            };
            self.note(&line);
        }
        let mut answers = Vec::new();
        self.handles.retain_mut(|(id, handle)| match handle.answer.try_recv() {
            Ok(answer) => {
                answers.push(format!("  answer to {id}: {answer:?}"));
                false
            }
            Err(_) => true,
        });
        answers.iter().for_each(|line| self.note(line));
    }
}

/// Guards against an update applied twice or to the wrong assignment: it may arrive before the 202, repeat,
/// or concern a task of an earlier generation.
#[test]
fn updates_apply_once_and_to_their_own_assignment() {
    let mut fixture = Fixture::new(settings_for(&[Effect::Idempotent]), 2);
    fixture.update(r#"{"id":"old","from":"w0","state":"done","result":"of an earlier life"}"#);
    fixture.arrive("a");
    fixture.update(r#"{"id":"a","from":"w9","state":"done","result":"of a worker never listed"}"#);
    fixture.pass(100);
    let (first, second) = ("w1", "w0");
    fixture.end(0, Close::Cancelled);
    fixture.update(&format!(r#"{{"id":"a","from":"{first}","state":"failed"}}"#));
    fixture.update(&format!(r#"{{"id":"a","from":"{second}","state":"started"}}"#));
    fixture.pass(200);
    fixture.update(&format!(r#"{{"id":"a","from":"{second}","state":"done","result":"the plan"}}"#));
    fixture.update(&format!(r#"{{"id":"a","from":"{second}","state":"done","result":"again"}}"#));
    fixture.end(1, Close::BrokeAfterSent);
    assert_snapshot!(fixture.trace);
}

/// Guards against a late report applied to the task that reuses the index.
#[test]
fn reused_index_ignores_reports_on_the_earlier_task() {
    let mut fixture = Fixture::new(settings_for(&[Effect::Unrepeatable]), 1);
    fixture.arrive("a");
    fixture.arrive("a");
    fixture.update(r#"{"id":"a","from":"w0","state":"done","result":"one"}"#);
    fixture.arrive("b");
    fixture.end(0, Close::BrokeAfterSent);
    fixture.update(r#"{"id":"a","from":"w0","state":"lost"}"#);
    fixture.update(r#"{"id":"b","from":"w0","state":"done","result":"two"}"#);
    assert_snapshot!(fixture.trace);
}

/// Guards against work for a client that has left: its task is cancelled, and not answered.
#[test]
fn tasks_of_disconnected_clients_are_cancelled() {
    let mut fixture = Fixture::new(settings_for(&[Effect::Idempotent]), 2);
    fixture.arrive("a");
    let (_, handle) = fixture.handles.remove(0);
    fixture.note("the client goes away");
    fixture.exchange.client_left(handle.index, handle.generation);
    fixture.exchange.client_left(handle.index, handle.generation);
    fixture.record_outputs();
    fixture.end(0, Close::Cancelled);
    fixture.pass(50);
    assert_snapshot!(fixture.trace);
}

/// Guards against tasks lost at the end of the process: each is answered first, and cancelled at its worker.
#[test]
fn unanswered_tasks_are_aborted_at_shutdown() {
    let mut fixture = Fixture::new(settings_for(&[Effect::Unrepeatable]), 2);
    fixture.arrive("a");
    fixture.update(r#"{"id":"a","from":"w1","state":"started"}"#);
    fixture.arrive("b");
    fixture.update(r#"{"id":"b","from":"w0","state":"done","result":"in time"}"#);
    fixture.note("the process ends");
    fixture.exchange.abort_all();
    fixture.exchange.abort_all();
    fixture.record_outputs();
    assert_snapshot!(fixture.trace);
}

/// Guards against sending an assignment after a drain, a cancellation or the final answer that came before
/// its first byte.
#[test]
fn unsent_assignments_are_checked_again_before_sending() {
    let mut fixture = Fixture::new(settings_for(&[Effect::Idempotent]), 1);
    fixture.arrive("a");
    let wanted = |fixture: &Fixture| fixture.exchange.is_still_wanted(fixture.keys[0]);
    assert!(wanted(&fixture));
    fixture.list(vec![entry(0, Condition::Draining)], false);
    assert!(!wanted(&fixture));
    fixture.list(vec![entry(0, Condition::Ready)], false);
    assert!(wanted(&fixture));
    fixture.list(vec![], true);
    assert!(!wanted(&fixture));
    fixture.list(vec![entry(0, Condition::Ready)], true);
    let (_, handle) = fixture.handles.remove(0);
    fixture.exchange.client_left(handle.index, handle.generation);
    assert!(!wanted(&fixture));
}

/// Guards against a task without an answer where cancelling is not allowed and a worker never reports the
/// end.
#[test]
fn assignments_without_a_report_time_out_at_the_hard_limit() {
    let mut fixture =
        Fixture::new(PolicySettings { may_cancel: false, ..settings_for(&[Effect::Unrepeatable]) }, 1);
    fixture.arrive("a");
    fixture.update(r#"{"id":"a","from":"w0","state":"started"}"#);
    fixture.pass(8200);
    fixture.update(r#"{"id":"a","from":"w0","state":"done","result":"too late"}"#);
    assert_snapshot!(fixture.trace);
}

/// A task that provably never ran may be reassigned, so each way to end must map to the right `Ending`.
#[test]
fn each_close_maps_to_one_ending() {
    use Close::*;
    let all = [
        Done,
        Failed,
        Returned,
        Lost,
        Unusable(400),
        UnexpectedStatus(500),
        Rejected,
        ConnectFailed,
        ConnectTimeout,
        BrokeBeforeSent,
        BrokeAfterSent,
        TimedOut,
        Cancelled,
        NeverSent,
        ClosedIdle,
    ];
    let line = |c: &Close| {
        let ending = tindock::types::Ending::from(*c);
        format!("{c:?}: {ending:?}{}\n", if ending.proves_never_ran() { ", never ran" } else { "" })
    };
    assert_snapshot!(all.iter().map(line).collect::<String>());
}

/// Guards against failed drains: while discovery is unavailable, a worker that rejects a task is avoided at
/// the first sign, and a task is not passed around among workers that are all leaving. While lists arrive,
/// signs change nothing.
#[test]
fn on_a_stale_list_one_sign_excludes_a_worker() {
    let mut fixture = Fixture::new(settings_for(&[Effect::Unrepeatable]), 2);
    fixture.note("the list is fresh: turned away, and the next task may go there again");
    fixture.arrive("a");
    fixture.end(0, Close::Rejected);
    fixture.end(1, Close::Rejected);
    fixture.arrive("b");
    fixture.note("no answer from discovery for a second");
    fixture.pass(1000);
    fixture.end(2, Close::ConnectFailed);
    fixture.arrive("c");
    fixture.note("the other one gives a sign too: both are left out, and c waits for a list");
    fixture.end(3, Close::Rejected);
    fixture.arrive("d");
    fixture.note("an answer that names nobody is a list all the same");
    fixture.list(Vec::new(), false);
    fixture.pass(20);
    assert_snapshot!(fixture.trace);
}
