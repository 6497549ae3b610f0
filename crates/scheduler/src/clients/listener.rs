//! The server side: accepts connections of clients and workers, and responds to their requests.

use crate::accord::GroupMember;
use crate::clients::connection::{ClientConnection, ClientSocket, Role};
use crate::clients::head_scanner::Framing;
use crate::clients::requests::{self, BodyBudget, Message, Rejection};
use crate::clients::responses::{self, Reply};
use crate::exchange::{Answer, Exchange};
use crate::operators::telemetry::{Outcome, Telemetry};
use crate::succession::link::Link;
use crate::succession::shutdown::Shutdown;
use crate::workload_table::TaskNames;
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

/// A connection without data for this long is closed; otherwise it would hold a descriptor for ever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The same while stopping, which waits for connections to end.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Rejected requests and closed connections are logged as counts at this interval: a line each would cost
/// more than the response.
const COUNTS_INTERVAL: Duration = Duration::from_secs(10);
/// Once descriptors have run out, some connection ends within this time.
pub const SHORT_OF_DESCRIPTORS: Duration = Duration::from_millis(20);
/// Retry-After, where it may be sent, while the scheduler's policy group does not allow it to serve.
const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After while the process is stopping: other schedulers or the next process serve by then.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Read buffer for the head of a request: the minimum that hyper accepts.
const READ_BUFFER: usize = 8 * 1024;

pub struct ClientListener {
    exchange: Rc<Exchange>,
    names: RefCell<TaskNames>,
    stopping: Rc<Shutdown>,
    max_clients: Cell<usize>,
    paused: watch::Sender<bool>,
    line: Rc<Link>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next: Cell<u64>,
    disconnected: Notify,
    body_budget: BodyBudget,
    /// The policy group whose permission is needed to serve, if there is one.
    group: OnceCell<Rc<GroupMember>>,
    telemetry: Rc<Telemetry>,
    /// Time from arrival to completion of the tasks of each workload.
    completion_times: RefCell<RunTimes<Rc<str>>>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    log: Logger,
}

/// Reports to the exchange that the client disconnected, unless its task was answered: hyper drops the
/// request future of a closed connection.
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
        stopping: Rc<Shutdown>,
        max_clients: usize,
        line: Rc<Link>,
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

    /// From now on tasks are accepted only while this group permits it.
    pub fn set_group(&self, group: Rc<GroupMember>) {
        let _ = self.group.set(group);
    }

    /// Whether tasks may be accepted now.
    fn may_serve(&self) -> bool {
        self.group.get().is_none_or(|group| group.serves().is_ok())
    }

    /// Accepts connections until the process ends.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let (mut short, mut paused) = (false, self.paused.subscribe());
        loop {
            // The sender lives as long as the listener.
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
                    // Guards against a burst that exceeds the limit: an accepted connection counts from here
                    // on.
                    let number = self.register();
                    tokio::task::spawn_local(self.clone().serve(stream, number));
                }
                Err(e) => {
                    // Guards against a busy loop, or the end of the process, when descriptors have run out.
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

    /// At the limit of connections, the one that has been idle for longest is closed before another is
    /// accepted.
    async fn wait_for_capacity(&self) {
        while self.clients.borrow().len() >= self.max_clients.get() {
            self.close_idle();
            let disconnected = tokio::time::timeout(SHORT_OF_DESCRIPTORS, self.disconnected.notified());
            let _ = disconnected.await;
        }
    }

    /// Guards against idle connections that keep out clients and workers.
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

    /// Logs at intervals how many requests were rejected and connections closed.
    pub async fn log_counts(&self) {
        loop {
            tokio::time::sleep(COUNTS_INTERVAL).await;
            let counts = std::mem::take(&mut *self.counts.borrow_mut());
            if !counts.is_empty() {
                let counts: Vec<String> = counts.iter().map(|(what, n)| format!("{n} {what}")).collect();
                warn!(
                    self.log,
                    "rejected or closed in {} s: {}",
                    COUNTS_INTERVAL.as_secs(),
                    counts.join(", ")
                );
            }
        }
    }

    /// Stops or resumes accepting connections.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Gives up half of the connections while another process of this scheduler runs. Returns how many were
    /// given up.
    pub fn give_up_half(&self) -> usize {
        let given_up = self.max_clients.get() / 2;
        self.max_clients.set(self.max_clients.get() - given_up);
        given_up
    }

    pub fn raise_limit(&self, by: usize) {
        self.max_clients.set(self.max_clients.get() + by);
    }

    /// Accepts tasks by the names that are in force now.
    pub fn reload_names(&self) {
        let names = self.exchange.task_names();
        names.workloads.iter().flatten().for_each(|name| self.telemetry.register_workload(name));
        self.names.replace(names);
    }

    /// Closes every connection after its current message; idle ones now.
    pub fn close_all(&self) {
        self.clients.borrow().values().for_each(|client| client.request_close());
    }

    /// Whether only connections remain that have sent nothing, or that came after `last_clients` and have no
    /// request in progress. Guards against closing on a message that is arriving, and against waiting at the
    /// end for connections that send nothing.
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
                // Guards against peers that connect and send nothing: hyper would wait for their first
                // message.
                () = client.close_requested.notified() => match client.is_unknown()
                    && (client.evicted.get() || !self.stopping.is_closing())
                {
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
                // Guards against updates lost between two processes at one address.
                if self.exchange.is_unknown_task(&update.id) {
                    self.line.forward_event(&body).await;
                }
                self.exchange.apply_update(update);
                responses::accepted()
            }
            Ok(Message::Task(request, _permit)) => {
                let workload = self.names.borrow().workloads[request.workload].clone();
                if !self.may_serve() {
                    // The task was never submitted, so it can be shed whatever its effect is.
                    self.telemetry.ended(workload.as_deref().unwrap_or_default(), Outcome::Shed);
                    return responses::answer(Answer::Shed {
                        retry_after: self.exchange.retry_after(NOT_SERVING_RETRY_AFTER),
                    });
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
                    self.stopping.record_task();
                }
                let waiting =
                    Waiting { exchange: &self.exchange, index: handle.index, generation: handle.generation };
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

    /// Whether a task that has just arrived will finish before this process ends, judged by the completion
    /// times of its workload. One whose client gives up earlier is answered in time as well.
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
