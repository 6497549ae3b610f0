//! The client side: carries out the exchange's orders at the workers.

use crate::clients::requests;
use crate::exchange::{TaskRequest, Exchange, Command, AssignmentKey};
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

/// How long the word that a task is called off may take before it counts as told.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);

/// A worker that did not answer for this long may be cut off, and the idle connections to it with it.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(250);
const TRACE: &str = "x-trace-id";
const EXPIRES: &str = "x-expires-in-ms";
const NEVER_RAN: &str = "x-never-ran";

pub struct Sending {
    exchange: Rc<Exchange>,
    pool: Rc<Pool>,
    /// Counts assignments that were written whole.
    completed: Rc<Cell<u64>>,
    /// Assignments whose 202 has not come.
    unaccepted: RefCell<HashMap<AssignmentKey, AbortHandle>>,
    log: Logger,
}

/// Counts how long a worker leaves something unanswered. Guards against a machine that vanished: what is
/// written to its open connections may have run, while a new one never comes up, so that nothing ran.
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

/// What came back for an assignment.
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

    /// Closes the connection of an assignment that was not taken yet; false if it was.
    fn close(&self, key: AssignmentKey) -> bool {
        let unaccepted = self.unaccepted.borrow_mut().remove(&key);
        unaccepted.inspect(AbortHandle::abort).is_some()
    }

    async fn send(self: Rc<Self>, key: AssignmentKey, worker: usize, request: Rc<TaskRequest>, limit: Duration) {
        // Guards against a worker that says nothing and holds a connection for ever: news of the end may have
        // come without the 202, and then nobody closes it.
        let outcome = timeout(self.exchange.time_until(limit), self.try_send(key, worker, &request, limit)).await;
        self.unaccepted.borrow_mut().remove(&key);
        let outcome = outcome.unwrap_or(SendOutcome::Ended(Close::TimedOut));
        if let SendOutcome::Ended(close) = outcome {
            info!(self.log, "task {} at worker {worker}: {close:?}", request.id);
            self.exchange.assignment_ended(key, close);
        }
    }

    async fn try_send(&self, key: AssignmentKey, worker: usize, request: &TaskRequest, limit: Duration) -> SendOutcome {
        loop {
            let address = self.exchange.address(worker);
            let mut connection = match self.pool.acquire(worker, address).await {
                Ok(connection) => connection,
                Err(close) => return SendOutcome::Ended(close),
            };
            // While the connection came up the worker may have begun to drain, or the task have ended.
            if !self.exchange.is_still_wanted(key) {
                self.pool.release(worker, connection).await;
                return SendOutcome::Ended(Close::NeverSent);
            }
            // Guards against a task on a connection that just came up, or was left, at a worker that ends.
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
                    // From here on the worker has it: closing would no longer call it off.
                    self.unaccepted.borrow_mut().remove(&key);
                    self.finish(worker, connection, response).await;
                    return outcome;
                }
                // The worker let a kept connection go before it had all: it has nothing, so a new one takes its
                // place. Guards against tasks that may have run, and workers barred, for the connection's sake.
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

    /// Reads an answer to its end, so that the connection can be used again.
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

    /// A message without a body, and its whole answer.
    async fn exchange_message(&self, worker: usize, method: Method, path: &str, id: &str) -> Option<(StatusCode, Bytes)> {
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
                // Asking twice does no harm.
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
        // These may pass, or are about the sender: another worker may take the task.
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::CONFLICT
        | StatusCode::TOO_EARLY
        | StatusCode::TOO_MANY_REQUESTS => SendOutcome::Ended(Close::UnexpectedStatus(status.as_u16())),
        other if other.is_client_error() => SendOutcome::Ended(Close::Unusable(other.as_u16())),
        other => SendOutcome::Ended(Close::UnexpectedStatus(other.as_u16())),
    }
}
