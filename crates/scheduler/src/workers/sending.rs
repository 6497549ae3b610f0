//! The client side: carries out the exchange's commands at the workers.

use crate::clients::requests;
use crate::exchange::{AssignmentKey, Command, Exchange, TaskRequest};
use crate::workers::endings::Close;
use crate::workers::pool::{Connection, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Response, StatusCode};
use slog::{debug, info, Logger};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

/// How long a cancel request may take before the assignment counts as cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);

/// A worker that left a request unanswered for this long may be unreachable, so the idle connections to it
/// are dropped.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(250);
const TRACE: &str = "x-trace-id";
const EXPIRES: &str = "x-expires-in-ms";
const NEVER_RAN: &str = "x-never-ran";

pub struct Sending {
    exchange: Rc<Exchange>,
    pool: Rc<Pool>,
    /// Number of completely written assignments.
    completed: Rc<Cell<u64>>,
    /// Assignments without a 202 so far.
    unaccepted: RefCell<HashMap<AssignmentKey, AbortHandle>>,
    log: Logger,
}

/// Measures how long a worker leaves a request unanswered. Guards against a machine that vanished: what is
/// written to its open connections may have run, while a new connection is never established, so that nothing
/// ran.
struct Unanswered<'a> {
    pool: &'a Pool,
    worker: usize,
    since: Instant,
}

impl Unanswered<'_> {
    fn answered(self) {
        std::mem::forget(self);
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if self.since.elapsed() >= UNREACHABLE_AFTER {
            self.pool.drop_idle(self.worker);
        }
    }
}

/// The outcome of sending an assignment.
enum SendOutcome {
    Accepted,
    Ended(Close),
}

impl Sending {
    pub fn new(exchange: Rc<Exchange>, pool: Rc<Pool>, completed: Rc<Cell<u64>>, log: Logger) -> Rc<Self> {
        Rc::new(Sending { exchange, pool, completed, unaccepted: RefCell::default(), log })
    }

    pub async fn run(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Send { key, worker, request, limit } => {
                    let task = tokio::task::spawn_local(self.clone().send(key, worker, request, limit));
                    self.unaccepted.borrow_mut().insert(key, task.abort_handle());
                }
                Command::Cancel { key, worker, id } => {
                    if self.close(key) {
                        self.exchange.assignment_ended(key, Close::Cancelled);
                    } else {
                        tokio::task::spawn_local(self.clone().cancel(key, worker, id));
                    }
                }
                Command::Drop { key } => drop(self.close(key)),
            }
        }
    }

    /// Closes the connection of an assignment that was not accepted yet; false if it was accepted.
    fn close(&self, key: AssignmentKey) -> bool {
        let unaccepted = self.unaccepted.borrow_mut().remove(&key);
        unaccepted.inspect(AbortHandle::abort).is_some()
    }

    async fn send(
        self: Rc<Self>,
        key: AssignmentKey,
        worker: usize,
        request: Rc<TaskRequest>,
        limit: Duration,
    ) {
        // Guards against a worker that holds a connection for ever without responding: the update on the end
        // may have arrived without the 202, and then nothing else closes the connection.
        let outcome =
            timeout(self.exchange.time_until(limit), self.try_send(key, worker, &request, limit)).await;
        self.unaccepted.borrow_mut().remove(&key);
        let outcome = outcome.unwrap_or(SendOutcome::Ended(Close::TimedOut));
        if let SendOutcome::Ended(close) = outcome {
            info!(self.log, "task {} at worker {worker}: {close:?}", request.id);
            self.exchange.assignment_ended(key, close);
        }
    }

    async fn try_send(
        &self,
        key: AssignmentKey,
        worker: usize,
        request: &TaskRequest,
        limit: Duration,
    ) -> SendOutcome {
        loop {
            let address = self.exchange.address(worker);
            let mut connection = match self.pool.acquire(worker, address).await {
                Ok(connection) => connection,
                Err(close) => return SendOutcome::Ended(close),
            };
            // While the connection was established, the worker may have begun to drain or the task may have
            // ended.
            if !self.exchange.is_still_wanted(key) {
                self.pool.release(worker, connection).await;
                return SendOutcome::Ended(Close::NeverSent);
            }
            // Guards against sending a task over a new or remaining connection to a worker that is stopping.
            if connection.found_closed && self.exchange.is_list_stale() {
                self.pool.release(worker, connection).await;
                return SendOutcome::Ended(Close::ClosedIdle);
            }
            let left = self.exchange.time_until(limit).as_millis() as u64;
            let mut message = Request::new(Full::new(request.body.clone()));
            *message.method_mut() = Method::POST;
            let Ok(target) = request.target.parse() else { return SendOutcome::Ended(Close::NeverSent) };
            *message.uri_mut() = target;
            *message.headers_mut() = request.headers.clone();
            head(&mut message, address, &request.id);
            message.headers_mut().insert(EXPIRES, HeaderValue::from(left));
            connection.progress.start_message(request.body.len());
            connection.progress.count_in(&self.completed);
            let unanswered = Unanswered { pool: &self.pool, worker, since: Instant::now() };
            match connection.sender.try_send_request(message).await {
                Ok(response) => {
                    unanswered.answered();
                    let outcome = classify(&response);
                    // The worker has accepted it: closing the connection would no longer cancel it.
                    self.unaccepted.borrow_mut().remove(&key);
                    self.finish(worker, connection, response).await;
                    return outcome;
                }
                // The worker closed a reused connection before it had the whole message, so nothing ran: it
                // is sent again over a new connection. Guards against tasks that count as possibly run, and
                // workers that are barred, because of a closed connection.
                Err(_) if !connection.progress.is_complete() && connection.used => {
                    self.pool.on_break();
                    continue;
                }
                Err(_) if connection.progress.is_complete() => {
                    if connection.used {
                        self.pool.on_break();
                    }
                    return SendOutcome::Ended(Close::BrokeAfterSent);
                }
                Err(_) => return SendOutcome::Ended(Close::BrokeBeforeSent),
            }
        }
    }

    /// Reads a response to its end, so that the connection can be reused.
    async fn finish(
        &self,
        worker: usize,
        connection: Connection,
        response: Response<hyper::body::Incoming>,
    ) -> Option<Bytes> {
        let body = requests::body(response.into_body()).await.ok()?;
        self.pool.release(worker, connection).await;
        Some(body)
    }

    async fn cancel(self: Rc<Self>, key: AssignmentKey, worker: usize, id: Rc<str>) {
        let path = format!("/jobs/{id}");
        let cancelled = timeout(CANCEL_TIMEOUT, self.exchange_message(worker, Method::DELETE, &path, &id));
        if !matches!(cancelled.await, Ok(Some(_))) {
            debug!(self.log, "task {id} cancelled at worker {worker} without a response");
        }
        self.exchange.assignment_ended(key, Close::Cancelled);
    }

    /// Sends a message without a body and returns the whole response.
    async fn exchange_message(
        &self,
        worker: usize,
        method: Method,
        path: &str,
        id: &str,
    ) -> Option<(StatusCode, Bytes)> {
        loop {
            let address = self.exchange.address(worker);
            let mut connection = self.pool.acquire(worker, address).await.ok()?;
            let mut message = Request::new(Full::default());
            *message.method_mut() = method.clone();
            *message.uri_mut() = path.parse().ok()?;
            head(&mut message, address, id);
            connection.progress.start_message(0);
            let unanswered = Unanswered { pool: &self.pool, worker, since: Instant::now() };
            match connection.sender.send_request(message).await {
                Ok(response) => {
                    unanswered.answered();
                    let status = response.status();
                    return Some((status, self.finish(worker, connection, response).await?));
                }
                // These requests are idempotent, so they can be sent again.
                Err(_) if connection.used => continue,
                Err(_) => return None,
            }
        }
    }
}

fn head(message: &mut Request<Full<Bytes>>, address: std::net::SocketAddr, id: &str) {
    let headers = message.headers_mut();
    HeaderValue::try_from(address.to_string()).into_iter().for_each(|host| drop(headers.insert(HOST, host)));
    if !id.is_empty() {
        HeaderValue::try_from(id).into_iter().for_each(|id| drop(headers.insert(TRACE, id)));
    }
}

fn classify<B>(response: &Response<B>) -> SendOutcome {
    let status = response.status();
    let never_ran = response.headers().get(NEVER_RAN).is_some_and(|mark| mark == "1");
    match status {
        StatusCode::ACCEPTED => SendOutcome::Accepted,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => {
            SendOutcome::Ended(Close::Rejected)
        }
        // Temporary, or about the sender: another worker may accept the task.
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::CONFLICT
        | StatusCode::TOO_EARLY
        | StatusCode::TOO_MANY_REQUESTS => SendOutcome::Ended(Close::UnexpectedStatus(status.as_u16())),
        other if other.is_client_error() => SendOutcome::Ended(Close::Unusable(other.as_u16())),
        other => SendOutcome::Ended(Close::UnexpectedStatus(other.as_u16())),
    }
}
