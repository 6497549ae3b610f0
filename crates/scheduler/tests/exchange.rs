//! The exchange by itself: kept traces of what it orders and answers for each failure met.

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
use tindock_scheduler::berth::Words;
use tindock_scheduler::clock::Clock;
use tindock_scheduler::exchange::{Call, Exchange, Hold, Order, Ticket};
use tindock_scheduler::listing::{Entry, Listing};
use tindock_scheduler::rows::Rows;
use tindock_scheduler::workers::endings::Close;
use tindock_scheduler::workers::news;
use tokio::sync::mpsc::UnboundedReceiver;

struct Floor {
    exchange: Rc<Exchange>,
    orders: UnboundedReceiver<Order>,
    now: Rc<Cell<Duration>>,
    holds: Vec<(String, Hold)>,
    /// The tickets given out, in their order.
    tickets: Vec<Ticket>,
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

impl Floor {
    fn new(sheet: PolicySettings, workers: usize) -> Self {
        let now = Rc::new(Cell::new(ms(1_000_000)));
        let (reads, hard) = (now.clone(), Rows::new(&sheet, &Words::default()));
        let rules = Policy::new(sheet, 7, now.get());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let (exchange, orders) =
            Exchange::new(rules, hard, Clock::start(), Box::new(move || reads.get()), log);
        let (holds, tickets, trace) = (Vec::new(), Vec::new(), String::new());
        let entries = (0..workers).map(|w| entry(w, Condition::Ready)).collect();
        exchange.begin(now.get(), (workers > 0).then_some(Listing { index: 1, whole: true, entries }));
        let mut floor = Floor { exchange, orders, now, holds, tickets, trace };
        floor.look();
        floor
    }

    fn list(&mut self, entries: Vec<Entry>, whole: bool) {
        self.exchange.list(Listing { index: 1, whole, entries });
        self.look();
    }

    fn arrive(&mut self, id: &str) {
        let call = Call {
            id: id.into(),
            workload: 0,
            customer: 0,
            size: 1.0,
            left: None,
            target: "/plan".into(),
            headers: Default::default(),
            body: Default::default(),
        };
        match self.exchange.arrived(call) {
            Some(hold) => self.holds.push((id.into(), hold)),
            None => self.note(&format!("{id} is in hand already")),
        }
        self.look();
    }

    fn news(&mut self, text: &str) {
        self.note(text);
        self.exchange.news(news::decode(text.as_bytes()).expect("news"));
        self.look();
    }

    fn end(&mut self, ticket: usize, close: Close) {
        self.note(&format!("ticket {ticket}: {close:?}"));
        self.exchange.ended(self.tickets[ticket], close);
        self.look();
    }

    /// Lets time pass, looking at what is due every 5 ms.
    fn pass(&mut self, span: u64) {
        for _ in 0..span / 5 {
            self.now.set(self.now.get() + ms(5));
            self.exchange.ring();
            self.look();
        }
    }

    fn note(&mut self, line: &str) {
        let at = self.now.get().as_millis() - 1_000_000;
        self.trace += &format!("{at:5} {line}\n");
    }

    /// Prints new orders and answers.
    fn look(&mut self) {
        while let Ok(order) = self.orders.try_recv() {
            let number = |tickets: &[Ticket], t| tickets.iter().position(|x| *x == t);
            let line = match order {
                Order::Send { ticket, worker, call, .. } => {
                    self.tickets.push(ticket);
                    format!("  send {} to w{worker}: ticket {}", call.id, self.tickets.len() - 1)
                }
                Order::CallOff { ticket, worker, id } => {
                    format!("  call off {id} at w{worker}: ticket {:?}", number(&self.tickets, ticket))
                }
                Order::Drop { ticket } => format!("  drop ticket {:?}", number(&self.tickets, ticket)),
            };
            self.note(&line);
        }
        let mut answers = Vec::new();
        self.holds.retain_mut(|(id, hold)| match hold.answer.try_recv() {
            Ok(answer) => {
                answers.push(format!("  answer to {id}: {answer:?}"));
                false
            }
            Err(_) => true,
        });
        answers.iter().for_each(|line| self.note(line));
    }
}

/// Guards against news applied twice or to the wrong assignment: it may come before the 202, repeat, or be
/// about a task of an earlier life.
#[test]
fn news_counts_once_and_for_its_own_assignment() {
    let mut floor = Floor::new(settings_for(&[Effect::Idempotent]), 2);
    floor.news(r#"{"id":"old","from":"w0","state":"done","result":"of an earlier life"}"#);
    floor.arrive("a");
    floor.news(r#"{"id":"a","from":"w9","state":"done","result":"of a worker never listed"}"#);
    floor.pass(100);
    let (first, second) = ("w1", "w0");
    floor.end(0, Close::CalledOff);
    floor.news(&format!(r#"{{"id":"a","from":"{first}","state":"failed"}}"#));
    floor.news(&format!(r#"{{"id":"a","from":"{second}","state":"started"}}"#));
    floor.pass(200);
    floor.news(&format!(r#"{{"id":"a","from":"{second}","state":"done","result":"the plan"}}"#));
    floor.news(&format!(r#"{{"id":"a","from":"{second}","state":"done","result":"again"}}"#));
    floor.end(1, Close::BrokeSent);
    assert_snapshot!(floor.trace);
}

/// Guards against late words on a place that another task has by now.
#[test]
fn a_place_used_again_hears_nothing_of_its_earlier_task() {
    let mut floor = Floor::new(settings_for(&[Effect::Unrepeatable]), 1);
    floor.arrive("a");
    floor.arrive("a");
    floor.news(r#"{"id":"a","from":"w0","state":"done","result":"one"}"#);
    floor.arrive("b");
    floor.end(0, Close::BrokeSent);
    floor.news(r#"{"id":"a","from":"w0","state":"lost"}"#);
    floor.news(r#"{"id":"b","from":"w0","state":"done","result":"two"}"#);
    assert_snapshot!(floor.trace);
}

/// Guards against work for nobody: what a client leaves is called off, and not answered.
#[test]
fn what_its_client_left_is_called_off() {
    let mut floor = Floor::new(settings_for(&[Effect::Idempotent]), 2);
    floor.arrive("a");
    let (_, hold) = floor.holds.remove(0);
    floor.note("the client goes away");
    floor.exchange.left(hold.place, hold.life);
    floor.exchange.left(hold.place, hold.life);
    floor.look();
    floor.end(0, Close::CalledOff);
    floor.pass(50);
    assert_snapshot!(floor.trace);
}

/// Guards against tasks that end with the process: each has its answer before that, and its worker is told.
#[test]
fn what_is_unanswered_at_the_end_is_broken_off() {
    let mut floor = Floor::new(settings_for(&[Effect::Unrepeatable]), 2);
    floor.arrive("a");
    floor.news(r#"{"id":"a","from":"w1","state":"started"}"#);
    floor.arrive("b");
    floor.news(r#"{"id":"b","from":"w0","state":"done","result":"in time"}"#);
    floor.note("the process ends");
    floor.exchange.close();
    floor.exchange.close();
    floor.look();
    assert_snapshot!(floor.trace);
}

/// Guards against sends that were decided before a drain, a call-off or the final answer, and not yet begun.
#[test]
fn what_is_not_begun_is_asked_about_again() {
    let mut floor = Floor::new(settings_for(&[Effect::Idempotent]), 1);
    floor.arrive("a");
    let wanted = |floor: &Floor| floor.exchange.still_wanted(floor.tickets[0]);
    assert!(wanted(&floor));
    floor.list(vec![entry(0, Condition::Draining)], false);
    assert!(!wanted(&floor));
    floor.list(vec![entry(0, Condition::Ready)], false);
    assert!(wanted(&floor));
    floor.list(vec![], true);
    assert!(!wanted(&floor));
    floor.list(vec![entry(0, Condition::Ready)], true);
    let (_, hold) = floor.holds.remove(0);
    floor.exchange.left(hold.place, hold.life);
    assert!(!wanted(&floor));
}

/// Guards against a task without an answer where nothing can be called off and a worker never tells the end.
#[test]
fn a_silent_end_is_overdue_at_the_hard_limit() {
    let mut floor =
        Floor::new(PolicySettings { may_cancel: false, ..settings_for(&[Effect::Unrepeatable]) }, 1);
    floor.arrive("a");
    floor.news(r#"{"id":"a","from":"w0","state":"started"}"#);
    floor.pass(8200);
    floor.news(r#"{"id":"a","from":"w0","state":"done","result":"too late"}"#);
    assert_snapshot!(floor.trace);
}

/// What has provably not run may be reassigned, so every way to end must be told as what it is.
#[test]
fn each_close_is_told_as_one_ending() {
    use Close::*;
    let all = [
        Done,
        Erred,
        Returned,
        Lost,
        Unusable(400),
        Odd(500),
        TurnedAway,
        NotConnected,
        DialOverdue,
        BrokeUnsent,
        BrokeSent,
        Overdue,
        CalledOff,
        NeverSent,
        LetGo,
    ];
    let line = |c: &Close| {
        let ending = tindock::types::Ending::from(*c);
        format!("{c:?}: {ending:?}{}\n", if ending.proves_never_ran() { ", never ran" } else { "" })
    };
    assert_snapshot!(all.iter().map(line).collect::<String>());
}

/// Guards against drains broken by luck: while no list can be had, a worker that turns a task away is left out at the
/// first sign, and a task is not passed round among workers that all leave; while lists come, signs change nothing.
#[test]
fn on_an_old_list_one_sign_leaves_a_worker_out() {
    let mut floor = Floor::new(settings_for(&[Effect::Unrepeatable]), 2);
    floor.note("the list is fresh: turned away, and the next task may go there again");
    floor.arrive("a");
    floor.end(0, Close::TurnedAway);
    floor.end(1, Close::TurnedAway);
    floor.arrive("b");
    floor.note("no answer from discovery for a second");
    floor.pass(1000);
    floor.end(2, Close::NotConnected);
    floor.arrive("c");
    floor.note("the other one gives a sign too: both are left out, and c waits for a list");
    floor.end(3, Close::TurnedAway);
    floor.arrive("d");
    floor.note("an answer that names nobody is a list all the same");
    floor.list(Vec::new(), false);
    floor.pass(20);
    assert_snapshot!(floor.trace);
}
