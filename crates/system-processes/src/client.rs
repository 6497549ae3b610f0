//! Client connections: reads requests and writes exactly one answer to each.

use crate::leaving::RETRY_AFTER_LEAVING;
use crate::open_calls::{CallId, Stage};
use crate::proxy::{pump, Shared, Slot, LOG_SUMMARY_INTERVAL};
use crate::work::Work;
use crate::workers::{self, Failure, Outcome};
use spdlog::{info, warn};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tindock_configuration::{Route, RouteKind};
use tindock_http1::{request_head, write_answer, write_local_answer, Body, Framing, Read, RequestHead};
use tindock_lifecycle::defects::{injected, Defect};
use tindock_lifecycle::Phase;
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::Ended;
use tindock_upstream::{Attempt, Conclusion, Refusal, Repeatability, SendPermit, WorkerAnswer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

/// The proxy answers this long before the client's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);
/// After a new connection its first request is waited for so long while the process leaves.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(150);
/// Slot requests for one attempt.
const MAX_SLOT_REQUESTS: usize = 6;
/// Bytes of a client's later requests that are buffered while one is being served.
const MAX_EARLY_BYTES: usize = 64 << 10;
/// Bounds of the `Retry-After` that a client gets.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);
const RETRY_AFTER_FULL: Duration = Duration::from_millis(60);
const RETRY_AFTER_NO_ROUTE: Duration = Duration::from_millis(300);
const RETRY_AFTER_NO_CONFIGURATION: Duration = Duration::from_millis(500);
/// Full instances are logged at most this often.
const FULL_LOG_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts client connections, up to half of the file descriptors, until the closing phase. From then on
/// connections are refused, so that clients go to another proxy at once.
pub async fn accept(shared: Shared, listener: TcpListener) {
    let mut phases = shared.borrow().phases();
    tokio::select! {
        () = accept_all(shared, listener) => {}
        () = reaches(&mut phases, Phase::Closing) => {}
    }
}

async fn accept_all(shared: Shared, listener: TcpListener) {
    let open = Rc::new(Cell::new(0usize));
    let most = shared.borrow().settings.limits.file_descriptors / 2;
    let mut last_warning: Option<Instant> = None;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= most {
            if last_warning.is_none_or(|at| at.elapsed() >= LOG_SUMMARY_INTERVAL) {
                last_warning = Some(Instant::now());
                warn!("limit of {most} connections reached; new ones are closed");
            }
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let (shared, open) = (shared.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let (connected, phases) = (shared.borrow().now(), shared.borrow().phases());
            let mut client = Client { shared, stream, buffer: Vec::new(), connected, requests: 0, phases };
            let _ = client.serve().await;
            open.set(open.get() - 1);
        });
    }
}

/// One client connection.
struct Client {
    shared: Shared,
    stream: TcpStream,
    buffer: Vec<u8>,
    /// When it was accepted, by the proxy's clock.
    connected: Duration,
    /// Requests on this connection whose heads were read.
    requests: u64,
    /// The shutdown phase of this process.
    phases: watch::Receiver<Phase>,
}

/// Why a request was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interrupted {
    /// The client closed the connection.
    ClientLeft,
    /// This process ends, and unanswered requests are aborted.
    BrokenOff,
}

/// The outcome of an attempt. Only a [`Refusal`] proves that the request has not run.
enum Final {
    /// The worker's own answer.
    Answer(Box<WorkerAnswer>),
    /// 503: it has not run and never will.
    Refused(Refusal),
    /// It may have run: 502, or 504 where its time is up.
    Unknown {
        late: bool,
    },
    NoAttemptId,
    NoRoute,
    /// The client closed the connection.
    Left,
}

impl From<Conclusion> for Final {
    fn from(conclusion: Conclusion) -> Final {
        match conclusion {
            Conclusion::Refused(refusal) => Final::Refused(refusal),
            Conclusion::Unknown { timed_out: late } => Final::Unknown { late },
        }
    }
}

impl From<Interrupted> for Final {
    fn from(interrupted: Interrupted) -> Final {
        match interrupted {
            Interrupted::ClientLeft => Final::Left,
            Interrupted::BrokenOff => Final::Unknown { late: false },
        }
    }
}

/// The refusal of a request that was not sent to any worker.
fn refused_unsent(after: Duration) -> Final {
    Attempt::new(Repeatability::NonIdempotent, 1).conclude(after, false).into()
}

/// The current limits of a client connection.
struct Bounds {
    header_timeout: Duration,
    idle_timeout: Duration,
    max_header_bytes: usize,
    max_body_bytes: usize,
}

/// The function that an attempt goes to, and its target and end by the proxy's clock.
struct Plan {
    function_id: FunctionId,
    route: Route,
    target: Duration,
    work: Work,
}

impl Client {
    /// Serves requests until the connection is to end.
    async fn serve(&mut self) -> std::io::Result<()> {
        loop {
            let bounds = self.bounds();
            let Some(head) = self.read_head(&bounds).await? else { return Ok(()) };
            let received = Instant::now();
            self.requests += 1;
            let shared = self.shared.clone();
            let call = shared.borrow_mut().begin_call(self.connected);
            let stays = self.request(call, head, received, &bounds).await;
            shared.borrow_mut().open_calls.end(call);
            if !stays? {
                return Ok(());
            }
        }
    }

    fn bounds(&self) -> Bounds {
        let limits = self.shared.borrow().limits();
        Bounds {
            header_timeout: Duration::from_millis(limits.header_timeout_ms.into()),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms.into()),
            max_header_bytes: limits.max_header_bytes as usize,
            max_body_bytes: limits.max_body_bytes as usize,
        }
    }

    /// The next request's head; None if the connection ended, or was answered with an error that ends it.
    async fn read_head(&mut self, bounds: &Bounds) -> std::io::Result<Option<RequestHead>> {
        let mut first: Option<Instant> = (!self.buffer.is_empty()).then(Instant::now);
        let mut coming: Option<ComingRequest> = None;
        loop {
            match request_head(&self.buffer, bounds.max_header_bytes) {
                Read::Done { value, used } => {
                    self.buffer.drain(..used);
                    return Ok(Some(value));
                }
                Read::Invalid(fault) => {
                    self.write_own(fault.status(), None, None, true).await?;
                    return Ok(None);
                }
                Read::Partial => {}
            }
            let left =
                first.map_or(bounds.idle_timeout, |at| bounds.header_timeout.saturating_sub(at.elapsed()));
            let read = timeout(left, self.stream.read_buf(&mut self.buffer));
            // A partly received request is read to its end even while the process leaves.
            let is_idle = first.is_none();
            tokio::select! {
                biased;
                read = read => match read {
                    Ok(Ok(1..)) => {
                        first.get_or_insert_with(Instant::now);
                        coming.get_or_insert_with(|| ComingRequest::new(&self.shared));
                    }
                    _ => return Ok(None),
                },
                () = wait_until_idle_close(&mut self.phases, self.requests), if is_idle => return Ok(None),
            }
        }
    }

    /// Writes an answer that the proxy made itself.
    async fn write_own(
        &mut self,
        status: u16,
        id: Option<&str>,
        after: Option<Duration>,
        close: bool,
    ) -> std::io::Result<()> {
        let mut out = Vec::new();
        write_local_answer(&mut out, status, id, after.map(|a| a.as_millis() as u64), close);
        self.stream.write_all(&out).await
    }

    /// Serves one request whose head was read. True if the connection stays open.
    async fn request(
        &mut self,
        call: CallId,
        head: RequestHead,
        received: Instant,
        bounds: &Bounds,
    ) -> std::io::Result<bool> {
        let Some(body) = self.read_body(&head, bounds).await? else { return Ok(false) };
        let result = self.attempt(call, &head, &body, received).await;
        self.shared.borrow_mut().enter_stage(call, Stage::Answering);
        let close = head.close || self.shared.borrow().is_leaving();
        let id = head.attempt_id.as_deref();
        let (status, after) = match result {
            Final::Answer(answer) => {
                let mut out = Vec::with_capacity(512);
                write_answer(&mut out, &answer.head, &answer.body, head.method == "HEAD", close);
                self.stream.write_all(&out).await?;
                return Ok(!close);
            }
            Final::Refused(_) if injected(Defect::ToldNothing) => (503, None),
            Final::Refused(refusal) => (503, Some(refusal.after().clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))),
            Final::Unknown { late: true } => (504, None),
            Final::Unknown { late: false } => (502, None),
            Final::NoAttemptId => (400, None),
            Final::NoRoute => (404, None),
            Final::Left => return Ok(false),
        };
        self.write_own(status, id, after, close).await?;
        Ok(!close)
    }

    /// The request's whole body; None if it was not received, or was refused with an answer.
    async fn read_body(&mut self, head: &RequestHead, bounds: &Bounds) -> std::io::Result<Option<Vec<u8>>> {
        let mut body = Body::new(head.framing, bounds.max_body_bytes);
        if head.expect_continue && head.framing != Framing::Empty {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body_timeout = bounds.header_timeout.max(Duration::from_secs(1));
        loop {
            match body.push(&self.buffer) {
                Read::Done { used, .. } => {
                    self.buffer.drain(..used);
                    return Ok(Some(body.bytes()));
                }
                Read::Invalid(fault) => {
                    self.write_own(fault.status(), head.attempt_id.as_deref(), None, true).await?;
                    return Ok(None);
                }
                Read::Partial => self.buffer.clear(),
            }
            match timeout(body_timeout, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(1..)) => {}
                _ => return Ok(None),
            }
        }
    }

    /// The route and the times of a request, or the answer if it is not sent to a worker.
    fn plan(&self, open: CallId, head: &RequestHead, received: Instant) -> Result<Plan, Final> {
        let mut state = self.shared.borrow_mut();
        let Some(configuration) = state.configuration() else {
            return Err(refused_unsent(RETRY_AFTER_NO_CONFIGURATION));
        };
        let Some(route) = configuration.route(&head.host, &head.target) else {
            // The route may be in a newer configuration: a 404 is correct only if the local one is known to
            // be the newest.
            return Err(if state.has_newest() {
                Final::NoRoute
            } else {
                refused_unsent(RETRY_AFTER_NO_ROUTE)
            });
        };
        let route = route.clone();
        let random = state.random();
        let Some((service, function_id)) = configuration.service(&route, random) else {
            return Err(Final::NoRoute);
        };
        state.open_calls.set_service(open, &service.name);
        let now = state.now();
        state.budget.record_request(now, function_id);
        let deadline_ms = head.deadline_ms.unwrap_or(u32::MAX).min(route.timeout_ms);
        let allowed = Duration::from_millis(deadline_ms.into());
        let received = state.since_start(received);
        let target = received + Duration::from_millis(route.target_latency_ms.into());
        let end = received + allowed.saturating_sub(ANSWER_MARGIN.min(allowed / 4));
        let work = Work { max_run_time: state.longest_run(&route), end };
        if state.admits(now, work).is_err() {
            state.taken_while_leaving.refused += 1;
            return Err(refused_unsent(RETRY_AFTER_LEAVING));
        }
        Ok(Plan { function_id, route, target, work })
    }

    /// Sends the request to workers until it has its one answer.
    async fn attempt(&mut self, open: CallId, head: &RequestHead, body: &[u8], received: Instant) -> Final {
        let Some(id) = head.attempt_id.as_deref() else { return Final::NoAttemptId };
        let plan = match self.plan(open, head, received) {
            Ok(plan) => plan,
            Err(end) => return end,
        };
        let repeatability = match plan.route.kind {
            RouteKind::Idempotent => Repeatability::Idempotent,
            RouteKind::NonIdempotent => Repeatability::NonIdempotent,
        };
        let mut attempt = Attempt::new(repeatability, plan.route.max_retries.into());
        let mut avoid = String::new();
        let mut retry_after = DEFAULT_RETRY_AFTER;
        for _ in 0..MAX_SLOT_REQUESTS {
            let permit = match self.permit(attempt, &plan, retry_after) {
                Ok(permit) => permit,
                Err(end) => return end,
            };
            self.shared.borrow_mut().enter_stage(open, Stage::WaitingForSlot);
            let (call, slot) = self.slot(&plan, &avoid).await;
            let (instance, at) = match slot {
                Ok(Slot::Granted { instance, at }) => (instance, at),
                Ok(Slot::Unavailable { after }) => {
                    let late = self.shared.borrow().now() >= plan.work.end;
                    return permit.unused().conclude(after.unwrap_or(retry_after), late).into();
                }
                Err(interrupted) => {
                    self.settle(call, Ended::Idle);
                    return interrupted.into();
                }
            };
            self.shared.borrow_mut().enter_stage(open, Stage::AtWorker);
            let shared = self.shared.clone();
            let request =
                workers::Request { instance: &instance, at, head, body, attempt_id: id, work: plan.work };
            let began = Instant::now();
            let outcome = match self.unless_interrupted(workers::send(&shared, permit, request)).await {
                Ok(outcome) => outcome,
                Err(interrupted) => {
                    // The connection to the worker is closed as well, and most workers abort the request
                    // then.
                    self.settle(call, Ended::Silent);
                    return interrupted.into();
                }
            };
            if outcome.has_run() {
                shared.borrow_mut().measure_run(&plan.route, began.elapsed());
            }
            self.settle(call, outcome.ended());
            let (next, failure) = match outcome {
                Outcome::Answer(answer) => return Final::Answer(answer),
                Outcome::Failed { attempt, failure } => (attempt, failure),
            };
            match failure {
                Failure::Lost { late: true } => return next.conclude(retry_after, true).into(),
                Failure::NotExecuted { after } => {
                    self.log_full(&instance);
                    retry_after = after.unwrap_or(RETRY_AFTER_FULL);
                }
                _ => {}
            }
            attempt = next;
            avoid = instance;
        }
        attempt.conclude(retry_after, false).into()
    }

    /// Permission for the next send from the attempt and from the retry budget.
    fn permit(&self, attempt: Attempt, plan: &Plan, retry_after: Duration) -> Result<SendPermit, Final> {
        let mut state = self.shared.borrow_mut();
        let now = state.now();
        let is_retry = attempt.workers_reached() > 0;
        let permit = match attempt.permit() {
            Ok(permit) => permit,
            Err(attempt) => return Err(attempt.conclude(retry_after, now >= plan.work.end).into()),
        };
        if now >= plan.work.end {
            return Err(permit.unused().conclude(retry_after, true).into());
        }
        if state.may_begin(now, plan.work).is_err() {
            state.taken_while_leaving.refused += 1;
            return Err(permit.unused().conclude(RETRY_AFTER_LEAVING, false).into());
        }
        if is_retry && !state.may_retry(now, plan.function_id) {
            return Err(permit.unused().conclude(retry_after, false).into());
        }
        Ok(permit)
    }

    /// Requests a slot at a worker, and waits for it. Returns the number of the slot request as well.
    async fn slot(&mut self, plan: &Plan, avoid: &str) -> (u32, Result<Slot, Interrupted>) {
        let (call, slot) = {
            let mut state = self.shared.borrow_mut();
            let (sender, slot) = oneshot::channel();
            let call = state.request_slot(
                plan.function_id,
                plan.route.priority,
                plan.target,
                plan.work,
                avoid,
                sender,
            );
            (call, slot)
        };
        pump(&self.shared);
        let slot = self.unless_interrupted(slot).await;
        (call, slot.map(|slot| slot.unwrap_or(Slot::Unavailable { after: None })))
    }

    fn log_full(&self, instance: &str) {
        let mut state = self.shared.borrow_mut();
        if state.may_log_full(FULL_LOG_INTERVAL) {
            info!("instance {instance} answered that it is full");
        }
    }

    fn settle(&self, call: u32, ended: Ended) {
        self.shared.borrow_mut().settle(call, ended);
        pump(&self.shared);
    }

    /// The result of `work`, unless the client closes the connection or the process aborts its requests
    /// first. Bytes that the client sends meanwhile are buffered, up to a limit.
    async fn unless_interrupted<T>(
        &mut self,
        work: impl std::future::Future<Output = T>,
    ) -> Result<T, Interrupted> {
        tokio::pin!(work);
        loop {
            let may_read = self.buffer.len() <= MAX_EARLY_BYTES;
            tokio::select! {
                biased;
                done = &mut work => return Ok(done),
                () = reaches(&mut self.phases, Phase::Aborting) => {
                    self.shared.borrow_mut().taken_while_leaving.broken_off += 1;
                    return Err(Interrupted::BrokenOff);
                }
                read = self.stream.read_buf(&mut self.buffer), if may_read => {
                    if !matches!(read, Ok(1..)) {
                        return Err(Interrupted::ClientLeft);
                    }
                }
            }
        }
    }
}

/// A partly received request: a process that leaves waits for the rest, to answer it. Counted while this
/// exists.
struct ComingRequest(Shared);

impl ComingRequest {
    fn new(shared: &Shared) -> ComingRequest {
        shared.borrow_mut().coming_requests += 1;
        ComingRequest(shared.clone())
    }
}

impl Drop for ComingRequest {
    fn drop(&mut self) {
        self.0.borrow_mut().coming_requests -= 1;
    }
}

/// Waits until an idle connection, which has had so many requests, is to be closed as the process ends. A
/// connection without any request yet is kept a little longer: its first request may be on its way.
async fn wait_until_idle_close(phases: &mut watch::Receiver<Phase>, requests: u64) {
    reaches(phases, Phase::Closing).await;
    if requests == 0 {
        tokio::time::sleep(FIRST_REQUEST_WAIT).await;
    }
}

/// Waits until this process is in this phase or a later one.
async fn reaches(phases: &mut watch::Receiver<Phase>, phase: Phase) {
    if phases.wait_for(|now| *now >= phase).await.is_err() {
        // The process has ended, and all its tasks with it.
        std::future::pending::<()>().await;
    }
}
