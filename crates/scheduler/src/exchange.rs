//! Where client side and server side meet. The exchange alone owns the module: it turns what either side
//! reports into the module's inputs, pulls its decisions and hands them out. It decides nothing itself.

use crate::clock::Clock;
use crate::operators::telemetry::Moment;
use crate::others::telling::{self, Message, Telling};
use crate::rows::{Rows, Titles};
use crate::succession::handover_state::{self, HandoverState};
use crate::workers::endings::Close;
use crate::workers::loads;
use crate::workers::news::{News, State as Said};
use bytes::Bytes;
use hyper::header::HeaderMap;
use slog::{info, Logger};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock::policy::Policy;
use tindock::types::{Condition, Decision, PolicySettings};
use tindock_berth::listing::{Entry, Listing};
use tindock_berth::Words;
use tindock_roster::suspicion::Suspicion;
use tindock_words::{Address, WorkerNames};
use tokio::sync::{mpsc, oneshot, Notify};

/// A task as a client handed it in.
#[derive(Debug)]
pub struct Call {
    pub id: Rc<str>,
    pub workload: usize,
    pub customer: usize,
    pub size: f64,
    /// How long the client will wait; none where it did not say.
    pub left: Option<Duration>,
    pub target: String,
    /// Those of its headers that are meant for the worker.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The one final answer to a client.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Finished(Bytes),
    Shed {
        come_back: Option<Duration>,
    },
    BrokenOff,
    /// A worker's word that the task cannot be used, by its status.
    TurnedDown(u16),
}

/// Names one assignment for as long as the scheduler lives; places are used again, lives are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    pub place: usize,
    pub life: u64,
    pub number: usize,
}

/// What the client side is to do.
#[derive(Debug)]
pub enum Order {
    Send {
        ticket: Ticket,
        worker: usize,
        call: Rc<Call>,
        limit: Duration,
    },
    /// Stop waiting: tell the worker where it has taken the task, and report `CalledOff`.
    CallOff {
        ticket: Ticket,
        worker: usize,
        id: Rc<str>,
    },
    /// The limit came: nobody waits for it any more, and nothing is to be reported.
    Drop {
        ticket: Ticket,
    },
}

/// A client's hold on its task; the answer comes on `answer`.
pub struct Hold {
    pub place: usize,
    pub life: u64,
    pub answer: oneshot::Receiver<Answer>,
}

struct Out {
    worker: usize,
    over: bool,
}

struct Hand {
    id: Rc<str>,
    workload: usize,
    /// Until the final answer: its body takes memory.
    call: Option<Rc<Call>>,
    life: u64,
    limit: Duration,
    /// Taken away by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    outs: Vec<Out>,
}

struct Listed {
    entry: Entry,
    banned: bool,
}

struct State {
    rules: Policy,
    rows: Rows,
    vouching: Suspicion,
    hands: Vec<Hand>,
    places: HashMap<Rc<str>, usize>,
    lives: u64,
    workers: Vec<Listed>,
    names: HashMap<Rc<str>, usize>,
    /// Taken out by hand, also those that are not listed yet.
    bans: BTreeSet<String>,
    reports: Vec<String>,
    /// The workers' names in words between schedulers, and the words themselves.
    names_told: WorkerNames,
    telling: Telling,
    told: Option<mpsc::Sender<Message>>,
    /// Hard limits of tasks in hand, soonest first.
    limits: BTreeSet<(Duration, usize, u64)>,
    bell: Option<Duration>,
}

pub struct Exchange {
    state: RefCell<State>,
    now: Box<dyn Fn() -> Duration>,
    clock: Clock,
    /// Not bounded by itself: it is emptied at once, and tasks in hand are bounded by the door.
    orders: mpsc::UnboundedSender<Order>,
    bell_moved: Notify,
    log: Logger,
}

impl Exchange {
    pub fn new(
        rules: Policy,
        rows: Rows,
        clock: Clock,
        now: Box<dyn Fn() -> Duration>,
        log: Logger,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Order>) {
        let (orders, taken) = mpsc::unbounded_channel();
        let state = State {
            rules,
            rows,
            vouching: Suspicion::new(now()),
            hands: Vec::new(),
            places: HashMap::new(),
            lives: 0,
            workers: Vec::new(),
            names: HashMap::new(),
            bans: BTreeSet::new(),
            reports: Vec::new(),
            names_told: WorkerNames::default(),
            telling: Telling::default(),
            told: None,
            limits: BTreeSet::new(),
            bell: None,
        };
        let (state, bell_moved) = (RefCell::new(state), Notify::new());
        (Rc::new(Exchange { state, now, clock, orders, bell_moved, log }), taken)
    }

    /// The start: the list as it was last had, at the very time that the module was made. Guards against
    /// workers that count as new because they are named a moment after the start.
    pub fn begin(&self, began: Duration, known: Option<Listing>) {
        self.feed_at(began, |state| known.into_iter().for_each(|known| self.take_list(state, known)));
    }

    /// Feeds inputs at the present time, then carries out what the module decides.
    fn feed<T>(&self, inputs: impl FnOnce(&mut State) -> T) -> T {
        self.feed_at((self.now)(), inputs)
    }

    fn feed_at<T>(&self, now: Duration, inputs: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        state.rules.set_time(now);
        let given = inputs(&mut state);
        self.pull(&mut state, now);
        given
    }

    fn pull(&self, state: &mut State, now: Duration) {
        while let Some(decision) = state.rules.decide() {
            match decision {
                Decision::Assign { task, worker } => {
                    let hand = &mut state.hands[task];
                    let ticket = Ticket { place: task, life: hand.life, number: hand.outs.len() };
                    hand.outs.push(Out { worker, over: false });
                    let limit = hand.limit;
                    if let Some(call) = hand.call.clone() {
                        self.order(Order::Send { ticket, worker, call, limit });
                    }
                }
                Decision::Shed { task, retry_after } => {
                    state.answer(task, Answer::Shed { come_back: retry_after })
                }
                Decision::Abandon { task } => state.answer(task, Answer::BrokenOff),
                Decision::Cancel { task, assignment } => {
                    let hand = &state.hands[task];
                    let ticket = Ticket { place: task, life: hand.life, number: assignment };
                    if let Some(out) = hand.outs.get(assignment).filter(|out| !out.over) {
                        let id = hand.id.clone();
                        self.order(Order::CallOff { ticket, worker: out.worker, id });
                    }
                }
                Decision::Grant { .. } | Decision::RequestSlots { .. } | Decision::Announce { .. } => {
                    state.telling.say(&decision, &state.names_told);
                }
                Decision::Wake { after } => {
                    state.bell = Some(now + after);
                    self.bell_moved.notify_one();
                }
                Decision::Log(line) => info!(self.log, "{line}"),
            }
        }
        let told = state.told.clone();
        for message in state.telling.messages() {
            // One that finds no room is lost, as any may be.
            told.iter().for_each(|told| drop(told.try_send(message.clone())));
        }
    }

    /// The names of the values in load reports, and where words to other schedulers go, if there are any.
    pub fn equip(&self, reports: Vec<String>, told: Option<mpsc::Sender<Message>>) {
        let mut state = self.state.borrow_mut();
        (state.reports, state.told) = (reports, told);
    }

    fn order(&self, order: Order) {
        // Only a client side that is gone takes no orders: then the process ends.
        let _ = self.orders.send(order);
    }

    // ---- the server side ----

    /// A task came in; none if one of that id is in hand already.
    pub fn arrived(&self, call: Call) -> Option<Hold> {
        if self.state.borrow().in_hand(&call.id) {
            return None;
        }
        let hard = self.state.borrow().rows.table[call.workload].hard_limit;
        let left = call.left.map_or(hard, |left| left.min(hard));
        let now = (self.now)();
        let held = self.feed(|state| {
            let place = state.rules.arrived(call.workload, call.size, left, call.customer);
            let (answer, answered) = oneshot::channel();
            state.lives += 1;
            let (life, limit) = (state.lives, now + left);
            state.places.insert(call.id.clone(), place);
            let (id, workload, answer) = (call.id.clone(), call.workload, Some(answer));
            let hand =
                Hand { id, workload, call: Some(Rc::new(call)), life, limit, answer, outs: Vec::new() };
            if place == state.hands.len() {
                state.hands.push(hand);
            } else {
                let before = std::mem::replace(&mut state.hands[place], hand);
                state.limits.remove(&(before.limit, place, before.life));
                if state.places.get(&before.id) == Some(&place) {
                    state.places.remove(&before.id);
                }
            }
            state.limits.insert((limit, place, life));
            Hold { place, life, answer: answered }
        });
        self.bell_moved.notify_one();
        Some(held)
    }

    /// The client went away without its answer.
    pub fn left(&self, place: usize, life: u64) {
        self.feed(|state| {
            let hand = &mut state.hands[place];
            if hand.life == life && hand.answer.take().is_some() {
                hand.call = None;
                state.rules.client_left(place);
            }
        });
    }

    /// The process ends: what is still unanswered is broken off, and called off as if its client had left.
    pub fn close(&self) {
        self.feed(|state| {
            for place in 0..state.hands.len() {
                if state.hands[place].answer.is_some() {
                    state.answer(place, Answer::BrokenOff);
                    state.rules.client_left(place);
                }
            }
        });
    }

    /// What a worker tells of a task. Applied once, and only to the assignment that it is about.
    pub fn news(&self, news: News) {
        self.feed(|state| {
            let place = state.places.get(&*news.id).copied();
            let worker = state.names.get(&*news.from).copied();
            let report = news.load.and_then(|load| loads::decode(load.as_bytes(), &state.reports));
            let (Some(place), Some(worker)) = (place, worker) else { return };
            // The module sends a task to a worker once, so id and name tell the assignment.
            let outs = &state.hands[place].outs;
            let Some(number) = outs.iter().position(|out| out.worker == worker && !out.over) else { return };
            match news.state {
                Said::Started => state.rules.started(place, number),
                Said::Running { share } => state.rules.progressed(place, number, share),
                Said::Done { result } => state.ended(place, number, Close::Done, Some(result)),
                Said::Erred => state.ended(place, number, Close::Erred, None),
                Said::Returned => {
                    self.sign(state, place, number, Close::Returned);
                    state.ended(place, number, Close::Returned, None);
                }
                Said::Lost => state.ended(place, number, Close::Lost, None),
            }
            if let Some(report) = report {
                state.rules.reported(worker, &report);
            }
        });
    }

    // ---- the client side ----

    /// How an assignment ended; late words on one that is over count for nothing.
    pub fn ended(&self, ticket: Ticket, close: Close) {
        self.feed(|state| {
            if state.is_out(ticket) {
                if let Close::Unusable(status) = close {
                    state.answer(ticket.place, Answer::TurnedDown(status));
                }
                self.sign(state, ticket.place, ticket.number, close);
                state.ended(ticket.place, ticket.number, close, None);
            }
        });
    }

    /// Where no list can be had, what the worker itself shows decides whether it is left out.
    fn sign(&self, state: &mut State, place: usize, number: usize, close: Close) {
        let (now, worker) = ((self.now)(), state.hands[place].outs[number].worker);
        if !close.is_sign_of_leaving() || state.vouching.is_suspected(now, worker) {
            return;
        }
        if let Some(until) = state.vouching.report_sign(now, worker) {
            let most = (until - now).as_secs_f64();
            info!(
                self.log,
                "worker {worker} left out until there is a list, {most} s at the most: {close:?}"
            );
            state.rules.avoid_until(worker, until);
        }
    }

    /// Asked before the first byte: whether the assignment is still wanted and its worker takes new ones.
    pub fn still_wanted(&self, ticket: Ticket) -> bool {
        let state = self.state.borrow();
        state.is_out(ticket) && {
            let hand = &state.hands[ticket.place];
            let worker = hand.outs[ticket.number].worker;
            let listed = &state.workers[worker];
            let ready = listed.entry.condition == Condition::Ready && !listed.banned;
            hand.answer.is_some() && ready && !state.vouching.is_suspected((self.now)(), worker)
        }
    }

    /// Whether a sign that a worker gives weighs more than the list by now.
    pub fn list_is_old(&self) -> bool {
        self.state.borrow().vouching.is_stale((self.now)())
    }

    pub fn address(&self, worker: usize) -> SocketAddr {
        self.state.borrow().workers[worker].entry.address
    }

    // ---- other schedulers ----

    pub fn sought(&self, from: usize) {
        self.feed(|state| state.rules.slots_requested(from));
    }

    pub fn room_left(&self, address: Address, room: f64) {
        self.feed(|state| {
            if let Some(worker) = state.names_told.worker(address) {
                state.rules.slots_granted(worker, room);
            }
        });
    }

    pub fn held(&self, from: usize, number: u16, words: &[[u8; 3]]) {
        self.feed(|state| {
            for (worker, slots) in state.names_told.resolve(words) {
                state.rules.peer_usage(worker, from, number, slots);
            }
        });
    }

    // ---- discovery ----

    /// Discovery answered; an answer that names nobody confirms the list.
    pub fn list(&self, listing: Listing) {
        let names_nobody = !listing.whole && listing.entries.is_empty();
        let now = (self.now)();
        let let_in: Vec<usize> = self.state.borrow_mut().vouching.list_confirmed(now).collect();
        if names_nobody && let_in.is_empty() {
            return;
        }
        self.feed_at(now, |state| {
            if !names_nobody {
                self.take_list(state, listing);
            }
            for worker in let_in {
                state.rules.avoid_until(worker, now);
            }
        });
    }

    /// Lines that changed by another's word than discovery's, which says nothing of how fresh its list is.
    pub fn change(&self, entries: Vec<Entry>) {
        self.feed(|state| self.take_list(state, Listing { index: 0, whole: false, entries }));
    }

    /// There is no discovery that could be out: signs of workers are the module's alone.
    pub fn without_discovery(&self) {
        self.state.borrow_mut().vouching.set_always_fresh();
    }

    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.names.get(name).map(|&worker| state.workers[worker].entry.address)
    }

    /// Whether a worker has tasks of ours that are not over.
    pub fn is_busy(&self, name: &str) -> bool {
        let state = self.state.borrow();
        let Some(&worker) = state.names.get(name) else { return false };
        state.hands.iter().any(|hand| hand.outs.iter().any(|out| out.worker == worker && !out.over))
    }

    fn take_list(&self, state: &mut State, listing: Listing) {
        state.rules.begin_list(listing.whole);
        if listing.whole {
            state.workers.iter_mut().for_each(|w| w.entry.condition = Condition::Gone);
        }
        for entry in listing.entries {
            let booted = entry.booted_ms.and_then(|ms| self.clock.from_unix_ms(ms));
            state.listed(entry, booted);
        }
    }

    /// Whether any worker was ever listed: only then can anything be decided.
    pub fn can_decide(&self) -> bool {
        !self.state.borrow().workers.is_empty()
    }

    // ---- the process that takes over, or that this one took over from ----

    /// Whether news of that task can only be another process's.
    pub fn is_strange(&self, id: &str) -> bool {
        !self.state.borrow().places.contains_key(id)
    }

    /// All that this process knows of workers and workloads; from now on another one takes the tasks.
    pub fn bequeath(&self, words: &Words) -> HandoverState {
        self.yielded(true);
        let state = self.state.borrow();
        let entries = || state.workers.iter().map(|listed| &listed.entry);
        handover_state::capture(&state.rules, &state.rows, entries, state.bans.clone(), words, &self.clock)
    }

    /// Whether another process takes the tasks.
    pub fn yielded(&self, yielded: bool) {
        self.feed(|state| state.rules.yielded(yielded));
    }

    /// What the process before this one left, once its list was taken in.
    pub fn inherit(&self, heritage: &HandoverState, words: &Words) {
        self.feed(|state| {
            let (names, rows, rules) = (&state.names, &state.rows, &mut state.rules);
            heritage.restore(rules, rows, |name| names.get(name).copied(), words, &self.clock);
        });
    }

    /// A ban that an operator told the other process.
    pub fn ban_told(&self, name: &str, banned: bool) {
        if self.ban(name, banned).is_none() && banned {
            self.state.borrow_mut().bans.insert(name.into());
        }
    }

    // ---- operators ----

    /// After which time a client may be asked to come back, if it may: this, or the most that is allowed.
    pub fn come_back(&self, after: Duration) -> Option<Duration> {
        self.state.borrow().rows.come_back.map(|most| most.min(after))
    }

    /// The names by which tasks are taken now.
    pub fn names(&self) -> Titles {
        self.state.borrow().rows.titles()
    }

    /// The sheet of a new file, whole and checked; the longest hard limit from now on.
    pub fn retune(&self, sheet: PolicySettings, words: &Words) -> Duration {
        self.feed(|state| {
            let hands = &state.hands;
            let is_busy = |hand: &Hand| hand.answer.is_some() || hand.outs.iter().any(|out| !out.over);
            let busy = |row| hands.iter().any(|hand| hand.workload == row && is_busy(hand));
            let before = state.rows.retune(&words.workloads, &sheet.workloads, busy);
            state.rows.customers.clone_from(&words.customers);
            state.rows.come_back = sheet.max_retry_after;
            state.rules.reconfigure(state.rows.sheet(sheet), &before);
            state.rows.table.iter().map(|row| row.hard_limit).max().unwrap_or_default()
        })
    }

    /// Takes a worker out by hand, or puts it back; whether that changes anything, none if it was never listed.
    pub fn ban(&self, name: &str, banned: bool) -> Option<bool> {
        let worker = *self.state.borrow().names.get(name)?;
        Some(self.feed(|state| {
            let changed = if banned { state.bans.insert(name.into()) } else { state.bans.remove(name) };
            if changed {
                state.workers[worker].banned = banned;
                state.rules.banned(worker, banned);
            }
            changed
        }))
    }

    pub fn bans(&self) -> BTreeSet<String> {
        self.state.borrow().bans.clone()
    }

    /// Who was out by hand before the start, whether listed yet or not.
    pub fn banned_before(&self, names: BTreeSet<String>) {
        self.state.borrow_mut().bans = names;
    }

    pub fn moment(&self) -> Moment {
        self.feed(|state| Moment {
            in_hand: state.hands.iter().filter(|hand| hand.answer.is_some()).count(),
            listed: state.workers.iter().filter(|w| w.entry.condition != Condition::Gone).count(),
            avoided: state.rules.avoided(),
        })
    }

    // ---- time ----

    fn next(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let limit = state.limits.first().map(|&(at, ..)| at);
        state.bell.into_iter().chain(limit).min()
    }

    /// What is due by now: the bell that the module asked for, and hard limits.
    pub fn ring(&self) {
        self.feed(|state| {
            let now = (self.now)();
            if state.bell.is_some_and(|at| at <= now) {
                state.bell = None;
                state.rules.timer_fired();
            }
            while let Some(&(at, place, life)) = state.limits.first().filter(|&&(at, ..)| at <= now) {
                state.limits.remove(&(at, place, life));
                for number in 0..state.hands[place].outs.len() {
                    let ticket = Ticket { place, life, number };
                    if state.is_out(ticket) {
                        state.ended(place, number, Close::Overdue, None);
                        self.order(Order::Drop { ticket });
                    }
                }
            }
        });
    }

    /// The one timer: sleeps until the next thing is due.
    pub async fn keep_time(&self) {
        loop {
            let due = self.next();
            let sleep = async {
                match due {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => self.ring(),
                () = self.bell_moved.notified() => {}
            }
        }
    }

    pub fn now(&self) -> Duration {
        (self.now)()
    }

    pub fn until(&self, at: Duration) -> Duration {
        at.saturating_sub((self.now)())
    }
}

impl State {
    fn in_hand(&self, id: &str) -> bool {
        self.places.get(id).is_some_and(|&place| {
            let hand = &self.hands[place];
            hand.answer.is_some() || hand.outs.iter().any(|out| !out.over)
        })
    }

    fn is_out(&self, ticket: Ticket) -> bool {
        let hand = self.hands.get(ticket.place).filter(|hand| hand.life == ticket.life);
        hand.and_then(|hand| hand.outs.get(ticket.number)).is_some_and(|out| !out.over)
    }

    fn answer(&mut self, place: usize, answer: Answer) {
        let hand = &mut self.hands[place];
        if let Some(client) = hand.answer.take() {
            hand.call = None;
            // A client that just went away wants none.
            let _ = client.send(answer);
        }
    }

    fn ended(&mut self, place: usize, number: usize, close: Close, result: Option<Bytes>) {
        self.hands[place].outs[number].over = true;
        if let Some(result) = result {
            self.answer(place, Answer::Finished(result));
        }
        let over = self.hands[place].answer.is_none();
        self.rules.ended(place, number, close.into(), over);
    }

    fn listed(&mut self, entry: Entry, booted: Option<Duration>) {
        let known = self.names.get(entry.name.as_str()).copied();
        let at = known.unwrap_or(self.workers.len());
        self.rules.listed(at, entry.site, entry.weight, entry.condition, booted);
        if known.is_some() {
            let before = std::mem::replace(&mut self.workers[at].entry, entry);
            if before.address != self.workers[at].entry.address {
                self.names_told.remove(at);
            }
            return;
        }
        let (mark, banned) =
            (self.names_told.insert(telling::address(entry.address)), self.bans.contains(&entry.name));
        self.names.insert(entry.name.as_str().into(), at);
        self.workers.push(Listed { entry, banned });
        self.rules.set_worker_hash(at, mark);
        self.rules.banned(at, banned);
    }
}
