//! The server side: accepts connections of clients and workers, and answers what they ask.

use crate::accord::Accord;
use crate::clients::responses::{self, Reply};
use crate::clients::connection::{ClientConnection, Role, ClientSocket};
use crate::clients::head_scanner::Framing;
use crate::clients::requests::{self, Rejection, Message, BodyBudget};
use crate::exchange::{Answer, Exchange};
use crate::operators::telemetry::{Outcome, Telemetry};
use crate::workload_table::TaskNames;
use crate::succession::line::Line;
use crate::succession::stopping::Stopping;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{warn, Logger};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tindock_lifecycle::RunTimes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// A peer that sends nothing for this long loses its connection: it would hold a descriptor for ever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The same while stopping, which would otherwise wait for it.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// What was turned down or closed is told in sums, this often: a line each would cost more than the answer.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);
/// When no descriptor is left, some connection ends within this time.
pub const SHORT_OF_DESCRIPTORS: Duration = Duration::from_millis(20);
/// Without the word of its group a scheduler asks clients to come back after this, where it may say so.
const NO_LEADER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// A process that ends asks clients to come back after this: others serve, or its successor does.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Room for a head in reading: the least that hyper takes.
const READ_BUFFER: usize = 8 * 1024;

pub struct ClientListener {
    exchange: Rc<Exchange>,
    names: RefCell<TaskNames>,
    stopping: Rc<Stopping>,
    max_clients: Cell<usize>,
    paused: watch::Sender<bool>,
    line: Rc<Line>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next: Cell<u64>,
    disconnected: Notify,
    body_budget: BodyBudget,
    /// The group whose word it takes to serve, where there is one.
    group: OnceCell<Rc<Accord>>,
    telemetry: Rc<Telemetry>,
    /// How long tasks of each workload are in hand until they are finished.
    completion_times: RefCell<RunTimes<Rc<str>>>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    log: Logger,
}

/// Tells the exchange that the client went away, unless it was answered: hyper drops what a closed
/// connection still worked on.
struct Waiting<'a> {
    exchange: &'a Exchange,
    index: usize,
    generation: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.exchange.client_left(self.index, self.generation);
    }
}

impl ClientListener {
    pub fn new(
        exchange: Rc<Exchange>,
        stopping: Rc<Stopping>,
        max_clients: usize,
        line: Rc<Line>,
        body_budget: BodyBudget,
        telemetry: Rc<Telemetry>,
        log: Logger,
    ) -> Rc<Self> {
        let (clients, next, disconnected, counts, completion_times) = Default::default();
        let names = RefCell::new(exchange.task_names());
        Rc::new(ClientListener {
            exchange,
            names,
            stopping,
            max_clients: Cell::new(max_clients),
            paused: watch::Sender::new(false),
            line,
            clients,
            next,
            disconnected,
            body_budget,
            group: OnceCell::new(),
            telemetry,
            completion_times,
            counts,
            log,
        })
    }

    /// From now on tasks are taken on this group's word only.
    pub fn set_group(&self, group: Rc<Accord>) {
        let _ = self.group.set(group);
    }

    /// Whether tasks may be taken now.
    fn may_serve(&self) -> bool {
        self.group.get().is_none_or(|group| group.serves().is_ok())
    }

    /// Accepts until the process ends.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let (mut short, mut paused) = (false, self.paused.subscribe());
        loop {
            // It lives for as long as the door.
            let _ = paused.wait_for(|paused| !paused).await;
            self.wait_for_capacity().await;
            let accepted = tokio::select! {
                biased;
                _ = paused.wait_for(|paused| *paused) => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    short = false;
                    // Guards against a burst that passes the limit: who is accepted counts from here on.
                    let number = self.register();
                    tokio::task::spawn_local(self.clone().serve(stream, number));
                }
                Err(e) => {
                    // Guards against a loop without pause, and an end, when descriptors have run out.
                    if !short {
                        warn!(self.log, "cannot accept: {e}");
                    }
                    short = true;
                    self.close_idle();
                    tokio::time::sleep(SHORT_OF_DESCRIPTORS).await;
                }
            }
        }
    }

    /// At the most guests, the one that stood idle for longest leaves before another is let in.
    async fn wait_for_capacity(&self) {
        while self.clients.borrow().len() >= self.max_clients.get() {
            self.close_idle();
            let disconnected = tokio::time::timeout(SHORT_OF_DESCRIPTORS, self.disconnected.notified());
            let _ = disconnected.await;
        }
    }

    /// Guards against peers that crowd out clients and workers.
    fn close_idle(&self) {
        let clients = self.clients.borrow();
        let idle = clients.values().filter(|c| !c.busy.get() && !c.closing.get());
        let now = Instant::now();
        if let Some(client) = idle.min_by_key(|c| c.rank(now)) {
            self.count("closed for another connection");
            client.evict();
        }
    }

    fn count(&self, what: &'static str) {
        *self.counts.borrow_mut().entry(what).or_default() += 1;
    }

    /// Tells what was turned down or closed, in sums.
    pub async fn log_counts(&self) {
        loop {
            tokio::time::sleep(COUNTS_INTERVAL).await;
            let counts = std::mem::take(&mut *self.counts.borrow_mut());
            if !counts.is_empty() {
                let counts: Vec<String> = counts.iter().map(|(what, n)| format!("{n} {what}")).collect();
                warn!(self.log, "turned down or closed in {} s: {}", COUNTS_INTERVAL.as_secs(), counts.join(", "));
            }
        }
    }

    /// Lets nobody in any more, or again.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Keeps to half of the connections while another process lives beside this one; how many it leaves.
    pub fn give_up_half(&self) -> usize {
        let given_up = self.max_clients.get() / 2;
        self.max_clients.set(self.max_clients.get() - given_up);
        given_up
    }

    pub fn raise_limit(&self, by: usize) {
        self.max_clients.set(self.max_clients.get() + by);
    }

    /// Takes tasks by what is in force now.
    pub fn reload_names(&self) {
        let names = self.exchange.task_names();
        names.workloads.iter().flatten().for_each(|name| self.telemetry.register_workload(name));
        self.names.replace(names);
    }

    /// Every connection ends after the message in hand, idle ones now.
    pub fn close_all(&self) {
        self.clients.borrow().values().for_each(|client| client.request_close());
    }

    /// Nobody is here but some that have not said anything, and some that came later than clients do and were given
    /// nothing. Guards against a message that is under way, and against crowds for which the end would wait.
    pub fn is_quiet(&self, last_clients: Instant) -> bool {
        let clients = self.clients.borrow();
        clients.values().all(|client| {
            let silent = client.silent.get() && !client.is_receiving();
            silent || client.connected_at > last_clients && !client.busy.get()
        })
    }

    fn register(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.clients.borrow_mut().insert(number, Rc::new(ClientConnection::new(Instant::now())));
        number
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let Some(client) = self.clients.borrow().get(&number).cloned() else { return };
        let service = service_fn(|request: Request<Incoming>| {
            let (listener, client) = (self.clone(), client.clone());
            async move {
                client.head_read();
                let framing = client.heads.borrow_mut().take();
                let mut reply = listener.reply(request, framing, &client).await;
                client.answered();
                if framing != Framing::Known {
                    responses::close(&mut reply);
                }
                Ok::<Reply, Infallible>(reply)
            }
        });
        let idle_timeout = if self.stopping.is_closing() { STOPPING_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(READ_BUFFER)
            .keep_alive(!self.stopping.is_closing());
        let watched = ClientSocket { stream, client: client.clone() };
        let mut connection = pin!(http.serve_connection(TokioIo::new(watched), service));
        let mut overdue = pin!(client.overdue());
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    if ended.is_err_and(|e| e.is_parse()) {
                        self.count("unreadable");
                    }
                    break;
                }
                () = overdue.as_mut() => {
                    self.count("too slow");
                    break;
                }
                // Guards against peers that connect and say nothing: hyper would wait for their first message.
                () = client.close_requested.notified() => match client.is_unknown() && (client.evicted.get() || !self.stopping.is_closing()) {
                    true => break,
                    false => connection.as_mut().graceful_shutdown(),
                },
            }
        }
        self.clients.borrow_mut().remove(&number);
        self.disconnected.notify_one();
    }

    async fn reply(&self, request: Request<Incoming>, framing: Framing, client: &ClientConnection) -> Reply {
        if framing == Framing::Ambiguous {
            return self.reject(Rejection(StatusCode::BAD_REQUEST, "with an ambiguous length"));
        }
        let read = requests::read(request, &self.names, &self.body_budget).await;
        client.message_read();
        match read {
            Ok(Message::Health) => responses::health(self.exchange.can_decide() && self.may_serve()),
            Ok(Message::Update(update, body)) => {
                client.role.set(Role::Worker);
                // Guards against news lost between two processes at one address.
                if self.exchange.is_unknown_task(&update.id) {
                    self.line.hand_on(&body).await;
                }
                self.exchange.apply_update(update);
                responses::accepted()
            }
            Ok(Message::Task(request, _permit)) => {
                let workload = self.names.borrow().workloads[request.workload].clone();
                if !self.may_serve() {
                    // It never came in, so that it can be shed whatever its effect is.
                    self.telemetry.ended(workload.as_deref().unwrap_or_default(), Outcome::Shed);
                    return responses::answer(Answer::Shed { retry_after: self.exchange.retry_after(NO_LEADER_RETRY_AFTER) });
                }
                if !self.finishes_in_time(workload.as_ref(), request.time_left) {
                    self.telemetry.ended(workload.as_deref().unwrap_or_default(), Outcome::Shed);
                    let retry_after = self.exchange.retry_after(STOPPING_RETRY_AFTER);
                    return responses::answer(Answer::Shed { retry_after });
                }
                let started = Instant::now();
                let Some(handle) = self.exchange.submit(request) else {
                    return self.reject(Rejection(StatusCode::BAD_REQUEST, "with an id that is in flight"));
                };
                if client.role.replace(Role::Client) != Role::Client {
                    self.stopping.newcomer();
                }
                let waiting = Waiting { exchange: &self.exchange, index: handle.index, generation: handle.generation };
                let answer = handle.answer.await.unwrap_or(Answer::Aborted);
                drop(waiting);
                let outcome = match answer {
                    Answer::Finished(_) => {
                        self.measure(workload.as_ref(), started.elapsed());
                        Outcome::Finished
                    }
                    Answer::Shed { .. } => Outcome::Shed,
                    Answer::Aborted | Answer::Rejected(_) => Outcome::Failed,
                };
                self.telemetry.ended(workload.as_deref().unwrap_or_default(), outcome);
                responses::answer(answer)
            }
            Err(rejection) => self.reject(rejection),
        }
    }

    /// Whether a task that has just come is finished before this process ends, as far as its workload's times tell. One
    /// that is given up sooner by its client is answered in time, too.
    fn finishes_in_time(&self, workload: Option<&Rc<str>>, client_limit: Option<Duration>) -> bool {
        let (Some(time_left), Some(workload)) = (self.stopping.time_left(), workload) else { return true };
        let longest = self.completion_times.borrow().longest(workload, Duration::ZERO);
        longest.min(client_limit.unwrap_or(Duration::MAX)) <= time_left
    }

    fn measure(&self, workload: Option<&Rc<str>>, took: Duration) {
        if let Some(workload) = workload {
            let now = self.exchange.now();
            self.completion_times.borrow_mut().measure(now, workload.clone(), took);
        }
    }

    fn reject(&self, rejection: Rejection) -> Reply {
        self.count(rejection.1);
        responses::rejected(rejection)
    }
}
