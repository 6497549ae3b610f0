//! Connects the server side (clients) and the client side (workers). The exchange is the only owner of the
//! decision module: it turns what either side reports into inputs of the module, reads the module's decisions
//! and passes them on. It makes no decisions itself.

use crate::clock::Clock;
use crate::operators::telemetry::Snapshot;
use crate::peers::outbox::{self, Message, Outbox};
use crate::succession::handover_state::{self, HandoverState};
use crate::workers::endings::Close;
use crate::workers::load_reports;
use crate::workers::updates::{State as UpdateState, Update};
use crate::workload_table::{TaskNames, WorkloadTable};
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
use tindock_peer_messages::{Address, WorkerNames};
use tindock_scheduler_config::listing::{Entry, Listing};
use tindock_scheduler_config::Names;
use tindock_worker_list::suspicion::Suspicion;
use tokio::sync::{mpsc, oneshot, Notify};

/// A task as submitted by a client.
#[derive(Debug)]
pub struct TaskRequest {
    pub id: Rc<str>,
    pub workload: usize,
    pub tenant: usize,
    pub size: f64,
    /// How long the client waits for the result, if it gave a limit.
    pub time_left: Option<Duration>,
    pub target: String,
    /// The request headers that are forwarded to the worker.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The one final answer to a client.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Finished(Bytes),
    Shed {
        retry_after: Option<Duration>,
    },
    Aborted,
    /// A worker answered with this status that the task itself is unusable.
    Rejected(u16),
}

/// Identifies one assignment for the lifetime of the process: indices of tasks are reused, generations are
/// not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AssignmentKey {
    pub index: usize,
    pub generation: u64,
    pub number: usize,
}

/// A command to the client side.
#[derive(Debug)]
pub enum Command {
    Send {
        key: AssignmentKey,
        worker: usize,
        request: Rc<TaskRequest>,
        limit: Duration,
    },
    /// Stop waiting for the assignment: cancel it at the worker if the worker has accepted it, then report
    /// `Cancelled`.
    Cancel {
        key: AssignmentKey,
        worker: usize,
        id: Rc<str>,
    },
    /// The hard limit has passed: close the connection and report nothing.
    Drop {
        key: AssignmentKey,
    },
}

/// A client's handle to its submitted task; the answer arrives on `answer`.
pub struct TaskHandle {
    pub index: usize,
    pub generation: u64,
    pub answer: oneshot::Receiver<Answer>,
}

struct Assignment {
    worker: usize,
    ended: bool,
}

struct TaskRecord {
    id: Rc<str>,
    workload: usize,
    /// Dropped with the final answer, because the body takes memory.
    request: Option<Rc<TaskRequest>>,
    generation: u64,
    limit: Duration,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    assignments: Vec<Assignment>,
}

struct KnownWorker {
    entry: Entry,
    banned: bool,
}

struct State {
    policy: Policy,
    workloads: WorkloadTable,
    suspicion: Suspicion,
    tasks: Vec<TaskRecord>,
    task_indices: HashMap<Rc<str>, usize>,
    last_generation: u64,
    workers: Vec<KnownWorker>,
    worker_indices: HashMap<Rc<str>, usize>,
    /// Workers excluded by operators, including those that are not listed yet.
    bans: BTreeSet<String>,
    report_names: Vec<String>,
    /// Addresses and short ids of workers in messages between schedulers.
    peer_names: WorkerNames,
    outbox: Outbox,
    peer_messages: Option<mpsc::Sender<Message>>,
    /// Hard limits of the tasks in flight, earliest first.
    hard_limits: BTreeSet<(Duration, usize, u64)>,
    wake_at: Option<Duration>,
}

pub struct Exchange {
    state: RefCell<State>,
    now: Box<dyn Fn() -> Duration>,
    clock: Clock,
    /// Unbounded, because it is drained at once and the listener bounds the number of tasks in flight.
    commands: mpsc::UnboundedSender<Command>,
    timer_changed: Notify,
    log: Logger,
}

impl Exchange {
    pub fn new(
        policy: Policy,
        workloads: WorkloadTable,
        clock: Clock,
        now: Box<dyn Fn() -> Duration>,
        log: Logger,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let state = State {
            policy,
            workloads,
            suspicion: Suspicion::new(now()),
            tasks: Vec::new(),
            task_indices: HashMap::new(),
            last_generation: 0,
            workers: Vec::new(),
            worker_indices: HashMap::new(),
            bans: BTreeSet::new(),
            report_names: Vec::new(),
            peer_names: WorkerNames::default(),
            outbox: Outbox::default(),
            peer_messages: None,
            hard_limits: BTreeSet::new(),
            wake_at: None,
        };
        let (state, timer_changed) = (RefCell::new(state), Notify::new());
        (Rc::new(Exchange { state, now, clock, commands, timer_changed, log }), receiver)
    }

    /// Applies the last known worker list, with the timestamp at which the module was created. Guards against
    /// workers that count as new because they were listed a moment after the start.
    pub fn start(&self, began: Duration, known: Option<Listing>) {
        self.feed_at(began, |state| known.into_iter().for_each(|known| self.apply_list(state, known)));
    }

    /// Feeds inputs with the current time, then carries out the module's decisions.
    fn feed<T>(&self, inputs: impl FnOnce(&mut State) -> T) -> T {
        self.feed_at((self.now)(), inputs)
    }

    fn feed_at<T>(&self, now: Duration, inputs: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        state.policy.set_time(now);
        let output = inputs(&mut state);
        self.carry_out_decisions(&mut state, now);
        output
    }

    fn carry_out_decisions(&self, state: &mut State, now: Duration) {
        while let Some(decision) = state.policy.decide() {
            match decision {
                Decision::Assign { task, worker } => {
                    let record = &mut state.tasks[task];
                    let key = AssignmentKey {
                        index: task,
                        generation: record.generation,
                        number: record.assignments.len(),
                    };
                    record.assignments.push(Assignment { worker, ended: false });
                    let limit = record.limit;
                    if let Some(request) = record.request.clone() {
                        self.send_command(Command::Send { key, worker, request, limit });
                    }
                }
                Decision::Shed { task, retry_after } => state.answer(task, Answer::Shed { retry_after }),
                Decision::Abandon { task } => state.answer(task, Answer::Aborted),
                Decision::Cancel { task, assignment } => {
                    let record = &state.tasks[task];
                    let key =
                        AssignmentKey { index: task, generation: record.generation, number: assignment };
                    if let Some(assignment) =
                        record.assignments.get(assignment).filter(|assignment| !assignment.ended)
                    {
                        let id = record.id.clone();
                        self.send_command(Command::Cancel { key, worker: assignment.worker, id });
                    }
                }
                Decision::Grant { .. } | Decision::RequestSlots { .. } | Decision::Announce { .. } => {
                    state.outbox.push(&decision, &state.peer_names);
                }
                Decision::Wake { after } => {
                    state.wake_at = Some(now + after);
                    self.timer_changed.notify_one();
                }
                Decision::Log(line) => info!(self.log, "{line}"),
            }
        }
        let peer_messages = state.peer_messages.clone();
        for message in state.outbox.drain() {
            // A message that does not fit in the queue is dropped; messages between schedulers may be lost
            // anyway.
            peer_messages.iter().for_each(|peer_messages| drop(peer_messages.try_send(message.clone())));
        }
    }

    /// Sets the names of the values in load reports, and the channel for messages to other schedulers, if
    /// any.
    pub fn configure(&self, report_names: Vec<String>, peer_messages: Option<mpsc::Sender<Message>>) {
        let mut state = self.state.borrow_mut();
        (state.report_names, state.peer_messages) = (report_names, peer_messages);
    }

    fn send_command(&self, command: Command) {
        // Fails only if the client side has ended; then the process ends as well.
        let _ = self.commands.send(command);
    }

    // ---- the server side ----

    /// Submits a task. Returns none if a task with the same id is in flight.
    pub fn submit(&self, request: TaskRequest) -> Option<TaskHandle> {
        if self.state.borrow().is_in_flight(&request.id) {
            return None;
        }
        let hard = self.state.borrow().workloads.table[request.workload].hard_limit;
        let left = request.time_left.map_or(hard, |left| left.min(hard));
        let now = (self.now)();
        let handle = self.feed(|state| {
            let index = state.policy.arrived(request.workload, request.size, left, request.tenant);
            let (answer, answered) = oneshot::channel();
            state.last_generation += 1;
            let (generation, limit) = (state.last_generation, now + left);
            state.task_indices.insert(request.id.clone(), index);
            let (id, workload, answer) = (request.id.clone(), request.workload, Some(answer));
            let record = TaskRecord {
                id,
                workload,
                request: Some(Rc::new(request)),
                generation,
                limit,
                answer,
                assignments: Vec::new(),
            };
            if index == state.tasks.len() {
                state.tasks.push(record);
            } else {
                let before = std::mem::replace(&mut state.tasks[index], record);
                state.hard_limits.remove(&(before.limit, index, before.generation));
                if state.task_indices.get(&before.id) == Some(&index) {
                    state.task_indices.remove(&before.id);
                }
            }
            state.hard_limits.insert((limit, index, generation));
            TaskHandle { index, generation, answer: answered }
        });
        self.timer_changed.notify_one();
        Some(handle)
    }

    /// The client disconnected before its answer.
    pub fn client_left(&self, index: usize, generation: u64) {
        self.feed(|state| {
            let record = &mut state.tasks[index];
            if record.generation == generation && record.answer.take().is_some() {
                record.request = None;
                state.policy.client_left(index);
            }
        });
    }

    /// At the end of the process: aborts each unanswered task and cancels its assignments as if its client
    /// had left.
    pub fn abort_all(&self) {
        self.feed(|state| {
            for index in 0..state.tasks.len() {
                if state.tasks[index].answer.is_some() {
                    state.answer(index, Answer::Aborted);
                    state.policy.client_left(index);
                }
            }
        });
    }

    /// A worker's update on a task. Applied once, and only to the assignment that it is about.
    pub fn apply_update(&self, update: Update) {
        self.feed(|state| {
            let index = state.task_indices.get(&*update.id).copied();
            let worker = state.worker_indices.get(&*update.from).copied();
            let report =
                update.load.and_then(|load| load_reports::decode(load.as_bytes(), &state.report_names));
            let (Some(index), Some(worker)) = (index, worker) else { return };
            // The module sends a task to a worker at most once, so task id and worker name identify the
            // assignment.
            let assignments = &state.tasks[index].assignments;
            let Some(number) =
                assignments.iter().position(|assignment| assignment.worker == worker && !assignment.ended)
            else {
                return;
            };
            match update.state {
                UpdateState::Started => state.policy.started(index, number),
                UpdateState::Running { share } => state.policy.progressed(index, number, share),
                UpdateState::Done { result } => state.ended(index, number, Close::Done, Some(result)),
                UpdateState::Failed => state.ended(index, number, Close::Failed, None),
                UpdateState::Returned => {
                    self.record_sign(state, index, number, Close::Returned);
                    state.ended(index, number, Close::Returned, None);
                }
                UpdateState::Lost => state.ended(index, number, Close::Lost, None),
            }
            if let Some(report) = report {
                state.policy.reported(worker, &report);
            }
        });
    }

    // ---- the client side ----

    /// Records how an assignment ended; a report on one that has already ended is ignored.
    pub fn assignment_ended(&self, key: AssignmentKey, close: Close) {
        self.feed(|state| {
            if state.is_open(key) {
                if let Close::Unusable(status) = close {
                    state.answer(key.index, Answer::Rejected(status));
                }
                self.record_sign(state, key.index, key.number, close);
                state.ended(key.index, key.number, close, None);
            }
        });
    }

    /// While discovery is unavailable, the worker's own behaviour decides whether it is avoided.
    fn record_sign(&self, state: &mut State, index: usize, number: usize, close: Close) {
        let (now, worker) = ((self.now)(), state.tasks[index].assignments[number].worker);
        if !close.is_sign_of_leaving() || state.suspicion.is_suspected(now, worker) {
            return;
        }
        if let Some(until) = state.suspicion.report_sign(now, worker) {
            let max_s = (until - now).as_secs_f64();
            info!(self.log, "worker {worker} avoided until the next list, for at most {max_s} s: {close:?}");
            state.policy.avoid_until(worker, until);
        }
    }

    /// Checked before the first byte is sent: whether the assignment is still needed and its worker accepts
    /// new ones.
    pub fn is_still_wanted(&self, key: AssignmentKey) -> bool {
        let state = self.state.borrow();
        state.is_open(key) && {
            let record = &state.tasks[key.index];
            let worker = record.assignments[key.number].worker;
            let listed = &state.workers[worker];
            let ready = listed.entry.condition == Condition::Ready && !listed.banned;
            record.answer.is_some() && ready && !state.suspicion.is_suspected((self.now)(), worker)
        }
    }

    /// Whether the list is so old that a sign of leaving from a worker outweighs it.
    pub fn is_list_stale(&self) -> bool {
        self.state.borrow().suspicion.is_stale((self.now)())
    }

    pub fn address(&self, worker: usize) -> SocketAddr {
        self.state.borrow().workers[worker].entry.address
    }

    // ---- other schedulers ----

    pub fn slots_requested(&self, from: usize) {
        self.feed(|state| state.policy.slots_requested(from));
    }

    pub fn slots_granted(&self, address: Address, slots: f64) {
        self.feed(|state| {
            if let Some(worker) = state.peer_names.worker(address) {
                state.policy.slots_granted(worker, slots);
            }
        });
    }

    pub fn peer_usage(&self, from: usize, number: u16, usage: &[[u8; 3]]) {
        self.feed(|state| {
            for (worker, slots) in state.peer_names.resolve(usage) {
                state.policy.peer_usage(worker, from, number, slots);
            }
        });
    }

    // ---- discovery ----

    /// A response from discovery; one without entries confirms the current list.
    pub fn update_list(&self, listing: Listing) {
        let is_empty = !listing.whole && listing.entries.is_empty();
        let now = (self.now)();
        let readmitted: Vec<usize> = self.state.borrow_mut().suspicion.list_confirmed(now).collect();
        if is_empty && readmitted.is_empty() {
            return;
        }
        self.feed_at(now, |state| {
            if !is_empty {
                self.apply_list(state, listing);
            }
            for worker in readmitted {
                state.policy.avoid_until(worker, now);
            }
        });
    }

    /// Applies entries that changed for other reasons than a discovery response, so it does not confirm the
    /// list.
    pub fn update_entries(&self, entries: Vec<Entry>) {
        self.feed(|state| self.apply_list(state, Listing { index: 0, whole: false, entries }));
    }

    /// Without discovery there is no outage to account for: signs of leaving are left to the module.
    pub fn without_discovery(&self) {
        self.state.borrow_mut().suspicion.set_always_fresh();
    }

    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.worker_indices.get(name).map(|&worker| state.workers[worker].entry.address)
    }

    /// Whether a worker has unfinished assignments from this scheduler.
    pub fn is_busy(&self, name: &str) -> bool {
        let state = self.state.borrow();
        let Some(&worker) = state.worker_indices.get(name) else { return false };
        state.tasks.iter().any(|record| {
            record.assignments.iter().any(|assignment| assignment.worker == worker && !assignment.ended)
        })
    }

    fn apply_list(&self, state: &mut State, listing: Listing) {
        state.policy.begin_list(listing.whole);
        if listing.whole {
            state.workers.iter_mut().for_each(|w| w.entry.condition = Condition::Gone);
        }
        for entry in listing.entries {
            let booted = entry.booted_ms.and_then(|ms| self.clock.from_unix_ms(ms));
            state.listed(entry, booted);
        }
    }

    /// Whether any worker was ever listed: without one, nothing can be decided.
    pub fn can_decide(&self) -> bool {
        !self.state.borrow().workers.is_empty()
    }

    // ---- the process that takes over, or that this one took over from ----

    /// Whether an update on this task can only concern another process of this scheduler.
    pub fn is_unknown_task(&self, id: &str) -> bool {
        !self.state.borrow().task_indices.contains_key(id)
    }

    /// Exports all that this process knows of workers and workloads; from now on another process accepts the
    /// tasks.
    pub fn export_state(&self, names: &Names) -> HandoverState {
        self.set_yielded(true);
        let state = self.state.borrow();
        let entries = || state.workers.iter().map(|listed| &listed.entry);
        handover_state::capture(
            &state.policy,
            &state.workloads,
            entries,
            state.bans.clone(),
            names,
            &self.clock,
        )
    }

    /// Sets whether another process accepts the tasks.
    pub fn set_yielded(&self, yielded: bool) {
        self.feed(|state| state.policy.yielded(yielded));
    }

    /// Imports the state exported by the previous process, after its list was applied.
    pub fn import_state(&self, heritage: &HandoverState, names: &Names) {
        self.feed(|state| {
            let (worker_indices, workloads, policy) =
                (&state.worker_indices, &state.workloads, &mut state.policy);
            heritage.restore(policy, workloads, |name| worker_indices.get(name).copied(), names, &self.clock);
        });
    }

    /// A ban that an operator sent to the other process.
    pub fn apply_remote_ban(&self, name: &str, banned: bool) {
        if self.ban(name, banned).is_none() && banned {
            self.state.borrow_mut().bans.insert(name.into());
        }
    }

    // ---- operators ----

    /// The delay to name in Retry-After, if one may be sent: this one, capped at the configured maximum.
    pub fn retry_after(&self, after: Duration) -> Option<Duration> {
        self.state.borrow().workloads.max_retry_after.map(|cap| cap.min(after))
    }

    /// The names by which tasks are accepted now.
    pub fn task_names(&self) -> TaskNames {
        self.state.borrow().workloads.task_names()
    }

    /// Applies the settings of a new, validated file. Returns the longest hard limit from now on.
    pub fn reconfigure(&self, settings: PolicySettings, names: &Names) -> Duration {
        self.feed(|state| {
            let tasks = &state.tasks;
            let is_busy = |record: &TaskRecord| {
                record.answer.is_some() || record.assignments.iter().any(|assignment| !assignment.ended)
            };
            let busy = |row| tasks.iter().any(|record| record.workload == row && is_busy(record));
            let before = state.workloads.reconfigure(&names.workloads, &settings.workloads, busy);
            state.workloads.tenants.clone_from(&names.tenants);
            state.workloads.max_retry_after = settings.max_retry_after;
            state.policy.reconfigure(state.workloads.settings(settings), &before);
            state.workloads.table.iter().map(|row| row.hard_limit).max().unwrap_or_default()
        })
    }

    /// Excludes a worker or includes it again. Returns whether that changed anything; none if it was never
    /// listed.
    pub fn ban(&self, name: &str, banned: bool) -> Option<bool> {
        let worker = *self.state.borrow().worker_indices.get(name)?;
        Some(self.feed(|state| {
            let changed = if banned { state.bans.insert(name.into()) } else { state.bans.remove(name) };
            if changed {
                state.workers[worker].banned = banned;
                state.policy.banned(worker, banned);
            }
            changed
        }))
    }

    pub fn bans(&self) -> BTreeSet<String> {
        self.state.borrow().bans.clone()
    }

    /// Restores the bans from before the start, including workers that are not listed yet.
    pub fn restore_bans(&self, worker_indices: BTreeSet<String>) {
        self.state.borrow_mut().bans = worker_indices;
    }

    pub fn snapshot(&self) -> Snapshot {
        self.feed(|state| Snapshot {
            in_flight: state.tasks.iter().filter(|record| record.answer.is_some()).count(),
            listed: state.workers.iter().filter(|w| w.entry.condition != Condition::Gone).count(),
            excluded: state.policy.avoided(),
        })
    }

    // ---- time ----

    fn next(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let limit = state.hard_limits.first().map(|&(at, ..)| at);
        state.wake_at.into_iter().chain(limit).min()
    }

    /// Handles what is due: the wake-up requested by the module, and hard limits.
    pub fn fire_timers(&self) {
        self.feed(|state| {
            let now = (self.now)();
            if state.wake_at.is_some_and(|at| at <= now) {
                state.wake_at = None;
                state.policy.timer_fired();
            }
            while let Some(&(at, index, generation)) =
                state.hard_limits.first().filter(|&&(at, ..)| at <= now)
            {
                state.hard_limits.remove(&(at, index, generation));
                for number in 0..state.tasks[index].assignments.len() {
                    let key = AssignmentKey { index, generation, number };
                    if state.is_open(key) {
                        state.ended(index, number, Close::TimedOut, None);
                        self.send_command(Command::Drop { key });
                    }
                }
            }
        });
    }

    /// The only timer: sleeps until the next deadline.
    pub async fn run_timers(&self) {
        loop {
            let due = self.next();
            let sleep = async {
                match due {
                    Some(at) => tokio::time::sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => self.fire_timers(),
                () = self.timer_changed.notified() => {}
            }
        }
    }

    pub fn now(&self) -> Duration {
        (self.now)()
    }

    pub fn time_until(&self, at: Duration) -> Duration {
        at.saturating_sub((self.now)())
    }
}

impl State {
    fn is_in_flight(&self, id: &str) -> bool {
        self.task_indices.get(id).is_some_and(|&index| {
            let record = &self.tasks[index];
            record.answer.is_some() || record.assignments.iter().any(|assignment| !assignment.ended)
        })
    }

    fn is_open(&self, key: AssignmentKey) -> bool {
        let record = self.tasks.get(key.index).filter(|record| record.generation == key.generation);
        record
            .and_then(|record| record.assignments.get(key.number))
            .is_some_and(|assignment| !assignment.ended)
    }

    fn answer(&mut self, index: usize, answer: Answer) {
        let record = &mut self.tasks[index];
        if let Some(client) = record.answer.take() {
            record.request = None;
            // Fails if the client has just disconnected.
            let _ = client.send(answer);
        }
    }

    fn ended(&mut self, index: usize, number: usize, close: Close, result: Option<Bytes>) {
        self.tasks[index].assignments[number].ended = true;
        if let Some(result) = result {
            self.answer(index, Answer::Finished(result));
        }
        let answered = self.tasks[index].answer.is_none();
        self.policy.ended(index, number, close.into(), answered);
    }

    fn listed(&mut self, entry: Entry, booted: Option<Duration>) {
        let known = self.worker_indices.get(entry.name.as_str()).copied();
        let at = known.unwrap_or(self.workers.len());
        self.policy.listed(at, entry.site, entry.weight, entry.condition, booted);
        if known.is_some() {
            let before = std::mem::replace(&mut self.workers[at].entry, entry);
            if before.address != self.workers[at].entry.address {
                self.peer_names.remove(at);
            }
            return;
        }
        let (mark, banned) =
            (self.peer_names.insert(outbox::address(entry.address)), self.bans.contains(&entry.name));
        self.worker_indices.insert(entry.name.as_str().into(), at);
        self.workers.push(KnownWorker { entry, banned });
        self.policy.set_worker_hash(at, mark);
        self.policy.banned(at, banned);
    }
}
