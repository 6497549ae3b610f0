//! Simulates one proxy and its workers byte by byte; a seed determines all random choices. The proxy side
//! consists only of the types under test. Workers run requests, and answer, refuse, truncate, repeat, delay
//! and corrupt as the seed determines. Resets, silence, clients that leave and a suspended proxy occur in
//! between.

mod worker;

use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use tindock_http1::{
    answer_head, request_head, write_answer, write_request, Body, Framing, Read, RequestHead,
};
use tindock_upstream::{
    Attempt, Conclusion, Connection, Exchange, InFlight, Pool, Repeatability, Reply, Step, Verdict,
    WorkerAnswer,
};

const MS: Duration = Duration::from_millis(1);
const KEEP_ALIVE: Duration = Duration::from_millis(1500);
const MAX_ROUNDS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A client received something other than the complete answer that a worker made for it.
    WrongAnswer,
    /// A request that is not idempotent ran twice.
    RanTwice,
    /// A request was refused as not run, and ran before or after that.
    RanThoughRefused,
    /// A worker ran a request that no client sent.
    UnknownRequest,
    /// More workers ran one attempt than its route allows.
    TooManyWorkers,
    /// A request never ended.
    Unanswered,
}

#[derive(Default)]
pub struct Outcome {
    pub broken: Vec<(Rule, String)>,
    pub calls: usize,
    pub answers: usize,
    pub refusals: usize,
    pub unknown: usize,
    pub sends: usize,
    pub reused: usize,
    pub surplus: usize,
}

enum Event {
    Round {
        call: usize,
    },
    ToWorker {
        connection: usize,
        bytes: Vec<u8>,
    },
    ToProxy {
        connection: usize,
        bytes: Vec<u8>,
    },
    /// The worker's side was closed, in an orderly way or by a reset.
    Ended {
        connection: usize,
        reset: bool,
    },
    Deadline {
        call: usize,
        token: usize,
    },
    ClientLeaves {
        call: usize,
    },
    Freeze,
    Resume,
}

enum Stage {
    Idle(Attempt),
    Waiting { in_flight: InFlight, exchange: Exchange<'static>, connection: Connection<usize> },
    Finished,
}

struct Call {
    id: &'static str,
    method: &'static str,
    repeatability: Repeatability,
    max_workers: usize,
    end: Duration,
    rounds: usize,
    token: usize,
    stage: Stage,
    refused: bool,
}

/// One connection, with the bytes that the proxy has not read yet.
struct SimConnection {
    worker: usize,
    /// Bytes of requests that the worker has not read completely.
    received: Vec<u8>,
    /// Ids of the requests that it has carried.
    carried: Vec<String>,
    unread: Vec<u8>,
    ended: Option<bool>,
    proxy_closed: bool,
    worker_ended: bool,
    /// Keeps bytes in order.
    last_to_worker: Duration,
    last_to_proxy: Duration,
    user: Option<usize>,
}

/// An answer that a worker made for an id.
struct MadeAnswer {
    status: u16,
    seal: Option<String>,
    body: Vec<u8>,
}

pub struct World {
    rng: Rand64,
    now: Duration,
    queue: BTreeMap<(Duration, usize), Event>,
    events: usize,
    calls: Vec<Call>,
    connections: Vec<SimConnection>,
    pool: Pool<usize>,
    made: HashMap<String, Vec<MadeAnswer>>,
    runs: HashMap<String, usize>,
    frozen: bool,
    /// Until then, just after the proxy resumed, it has not noticed what arrived meanwhile.
    stale_until: Duration,
    backlog: Vec<Event>,
    outcome: Outcome,
}

fn target(id: &str) -> String {
    format!("/t/{id}")
}

fn request_body(id: &str) -> Vec<u8> {
    format!("asked by {id}").into_bytes()
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            rng: Rand64::new(u128::from(seed) + 1),
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            events: 0,
            calls: Vec::new(),
            connections: Vec::new(),
            pool: Pool::new(16),
            made: HashMap::new(),
            runs: HashMap::new(),
            frozen: false,
            stale_until: Duration::ZERO,
            backlog: Vec::new(),
            outcome: Outcome::default(),
        };
        for n in 0..12 {
            let start = world.span(0, 2500);
            let deadline = world.span(150, 1200);
            let repeatable = world.below(3) == 0;
            let call = Call {
                id: Box::leak(format!("c{n}").into_boxed_str()),
                method: ["GET", "POST", "POST", "HEAD"][world.below(4)],
                repeatability: match repeatable {
                    true => Repeatability::Idempotent,
                    false => Repeatability::NonIdempotent,
                },
                max_workers: 1 + world.below(3),
                end: start + deadline,
                rounds: 0,
                token: 0,
                stage: Stage::Finished,
                refused: false,
            };
            world.calls.push(call);
            let call = &world.calls[n];
            let attempt = Attempt::new(call.repeatability, call.max_workers);
            world.calls[n].stage = Stage::Idle(attempt);
            world.at(start, Event::Round { call: n });
            if world.below(12) == 0 {
                let leaves_at = start + world.span(1, 300);
                world.at(leaves_at, Event::ClientLeaves { call: n });
            }
        }
        if world.below(3) == 0 {
            let freeze_at = world.span(100, 2500);
            world.at(freeze_at, Event::Freeze);
        }
        world
    }

    fn below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n as u64) as usize
    }

    fn span(&mut self, from: u64, to: u64) -> Duration {
        MS * self.rng.rand_range(from..to.max(from + 1)) as u32
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((when.max(self.now), self.events), event);
    }

    fn report(&mut self, rule: Rule, what: String) {
        self.outcome.broken.push((rule, format!("{:?}: {what}", self.now)));
    }

    fn run(mut self) -> Outcome {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            self.handle(event);
        }
        self.check_end();
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        let at_proxy = !matches!(event, Event::ToWorker { .. } | Event::Freeze | Event::Resume);
        if self.frozen && at_proxy {
            self.backlog.push(event);
            return;
        }
        match event {
            Event::Round { call } => self.send_round(call),
            Event::ToWorker { connection, bytes } => self.on_bytes_at_worker(connection, &bytes),
            Event::ToProxy { connection, bytes } => self.on_bytes_at_proxy(connection, &bytes),
            Event::Ended { connection, reset } => self.ended(connection, reset),
            Event::Deadline { call, token } => self.deadline(call, token),
            Event::ClientLeaves { call } => self.client_leaves(call),
            Event::Freeze => {
                self.frozen = true;
                let resume_at = self.now + self.span(50, 2500);
                self.at(resume_at, Event::Resume);
            }
            Event::Resume => self.resume(),
        }
    }

    /// Timers and sockets are processed in random order; on one connection bytes stay in order.
    fn resume(&mut self) {
        self.frozen = false;
        self.stale_until = self.now + 2 * MS;
        let (timers, sockets): (Vec<Event>, Vec<Event>) = std::mem::take(&mut self.backlog)
            .into_iter()
            .partition(|event| matches!(event, Event::Deadline { .. } | Event::Round { .. }));
        let timers_first = self.below(2) == 0;
        let (first, second) = if timers_first { (timers, sockets) } else { (sockets, timers) };
        for event in first.into_iter().chain(second) {
            self.handle(event);
        }
    }

    /// Sends a call once more, or ends it.
    fn send_round(&mut self, n: usize) {
        let attempt = match std::mem::replace(&mut self.calls[n].stage, Stage::Finished) {
            Stage::Idle(attempt) => attempt,
            other => {
                self.calls[n].stage = other;
                return;
            }
        };
        let (id, method, end) = (self.calls[n].id, self.calls[n].method, self.calls[n].end);
        let late = self.now >= end;
        self.calls[n].rounds += 1;
        let out_of_rounds = self.calls[n].rounds > MAX_ROUNDS;
        let permit = match attempt.permit() {
            Err(attempt) => return self.conclude(n, attempt, late),
            Ok(permit) if late || out_of_rounds => return self.conclude(n, permit.unused(), late),
            Ok(permit) => permit,
        };
        let worker = self.below(2);
        let instance = format!("i{worker}");
        let (stale_until, connections) = (self.now < self.stale_until, &self.connections);
        let quiet = |conn: &usize| {
            stale_until || (connections[*conn].unread.is_empty() && connections[*conn].ended.is_none())
        };
        let reused_connection = self.pool.take(&instance, self.now, permit.needs_unused_connection(), quiet);
        self.outcome.reused += usize::from(reused_connection.is_some());
        let mut connection = match reused_connection {
            Some(connection) => connection,
            None if self.below(12) == 0 => {
                self.calls[n].stage = Stage::Idle(permit.unused());
                let retry_at = self.now + self.span(1, 30);
                return self.at(retry_at, Event::Round { call: n });
            }
            None => Connection::new(self.open(worker)),
        };
        let conn = connection.transport;
        let head = RequestHead {
            method: method.into(),
            target: target(id),
            host: "h.example".into(),
            attempt_id: Some(id.into()),
            deadline_ms: None,
            close: false,
            expect_continue: false,
            framing: if method == "POST" { Framing::Length(0) } else { Framing::Empty },
            headers: Vec::new(),
        };
        let mut bytes = Vec::new();
        write_request(&mut bytes, &head, &request_body(id), 1000, &instance);
        let exchange = Exchange::new(&mut connection, id, method == "HEAD");
        let in_flight = permit.sent();
        self.outcome.sends += 1;
        self.connections[conn].user = Some(n);
        // A reset in the middle of the request.
        if self.below(25) == 0 {
            bytes.truncate(self.below(bytes.len()));
            self.send(conn, bytes);
            self.close_connection(conn);
            self.calls[n].stage = Stage::Idle(in_flight.lost());
            return self.at(self.now, Event::Round { call: n });
        }
        self.send(conn, bytes);
        self.calls[n].token += 1;
        let token = self.calls[n].token;
        self.at(end, Event::Deadline { call: n, token });
        self.calls[n].stage = Stage::Waiting { in_flight, exchange, connection };
        // Unread bytes on the connection are read first.
        let (unread, ended) =
            (std::mem::take(&mut self.connections[conn].unread), self.connections[conn].ended);
        if !unread.is_empty() {
            self.on_bytes_at_proxy(conn, &unread);
        }
        if let Some(reset) = ended {
            self.ended(conn, reset);
        }
    }

    fn open(&mut self, worker: usize) -> usize {
        self.connections.push(SimConnection {
            worker,
            received: Vec::new(),
            carried: Vec::new(),
            unread: Vec::new(),
            ended: None,
            proxy_closed: false,
            worker_ended: false,
            last_to_worker: self.now,
            last_to_proxy: self.now,
            user: None,
        });
        self.connections.len() - 1
    }

    fn send(&mut self, conn: usize, bytes: Vec<u8>) {
        let latency = self.span(0, 4);
        let arrival = (self.now + latency).max(self.connections[conn].last_to_worker);
        self.connections[conn].last_to_worker = arrival;
        self.at(arrival, Event::ToWorker { connection: conn, bytes });
    }

    fn close_connection(&mut self, conn: usize) {
        self.connections[conn].proxy_closed = true;
        self.connections[conn].user = None;
    }

    fn on_bytes_at_proxy(&mut self, conn: usize, bytes: &[u8]) {
        if self.connections[conn].proxy_closed {
            return;
        }
        let Some(n) = self.connections[conn].user else {
            self.connections[conn].unread.extend_from_slice(bytes);
            return;
        };
        let Stage::Waiting { exchange, .. } = &mut self.calls[n].stage else { return };
        exchange.buffer().extend_from_slice(bytes);
        if let Step::Done(reply) = exchange.advance() {
            self.on_reply(n, reply);
        }
    }

    fn ended(&mut self, conn: usize, reset: bool) {
        self.connections[conn].ended = Some(reset);
        let Some(n) = self.connections[conn].user else { return };
        let Stage::Waiting { exchange, .. } = &mut self.calls[n].stage else { return };
        let reply = if reset { Reply::lost() } else { exchange.closed() };
        self.on_reply(n, reply);
    }

    fn on_reply(&mut self, n: usize, reply: Reply) {
        let Stage::Waiting { in_flight, connection, .. } =
            std::mem::replace(&mut self.calls[n].stage, Stage::Finished)
        else {
            return;
        };
        let conn = connection.transport;
        if reply.reusable {
            self.connections[conn].user = None;
            let instance = format!("i{}", self.connections[conn].worker);
            self.pool.keep(&instance, connection, self.now + KEEP_ALIVE);
        } else {
            self.close_connection(conn);
        }
        let attempt = match reply.verdict {
            Verdict::Answer(answer) => match in_flight.answered(answer) {
                Ok(answer) => return self.check_answer(n, &answer),
                Err(attempt) => attempt,
            },
            Verdict::NotExecuted { proof, .. } | Verdict::Misdirected { proof } => {
                in_flight.not_executed(proof)
            }
            Verdict::Lost => in_flight.lost(),
        };
        self.calls[n].stage = Stage::Idle(attempt);
        let retry_at = self.now + self.span(0, 20);
        self.at(retry_at, Event::Round { call: n });
    }

    fn deadline(&mut self, n: usize, token: usize) {
        if self.calls[n].token != token || !matches!(self.calls[n].stage, Stage::Waiting { .. }) {
            return;
        }
        let stage = std::mem::replace(&mut self.calls[n].stage, Stage::Finished);
        if let Stage::Waiting { in_flight, connection, .. } = stage {
            self.close_connection(connection.transport);
            self.conclude(n, in_flight.lost(), true);
        }
    }

    fn client_leaves(&mut self, n: usize) {
        let stage = std::mem::replace(&mut self.calls[n].stage, Stage::Finished);
        if let Stage::Waiting { connection, .. } = stage {
            self.close_connection(connection.transport);
        }
    }

    fn conclude(&mut self, n: usize, attempt: Attempt, late: bool) {
        match attempt.conclude(MS, late) {
            Conclusion::Refused(_) => {
                self.calls[n].refused = true;
                self.outcome.refusals += 1;
            }
            Conclusion::Unknown { .. } => self.outcome.unknown += 1,
        }
    }

    /// Compares a received answer with those that workers made for its id.
    fn check_answer(&mut self, n: usize, answer: &WorkerAnswer) {
        let (id, is_head) = (self.calls[n].id, self.calls[n].method == "HEAD");
        self.outcome.answers += 1;
        let mut bytes = Vec::new();
        write_answer(&mut bytes, &answer.head, &answer.body, is_head, false);
        let Read::Done { value: head, used } = answer_head(&bytes, 1 << 16, is_head) else {
            return self.report(Rule::WrongAnswer, format!("{id}: not a valid answer"));
        };
        let mut body = Body::new(head.framing, 1 << 20);
        if !matches!(body.push(&bytes[used..]), Read::Done { .. }) {
            return self.report(Rule::WrongAnswer, format!("{id}: an incomplete body"));
        }
        let body = body.bytes();
        if head.status < 300 && head.seal.is_none() {
            self.report(Rule::WrongAnswer, format!("{id}: a success without a seal"));
        }
        let matches = |made: &MadeAnswer| {
            made.status == head.status && made.seal == head.seal && (is_head || made.body == body)
        };
        if !self.made.get(id).is_some_and(|made| made.iter().any(matches)) {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            self.report(Rule::WrongAnswer, format!("{id}: no worker made {text:?}"));
        }
    }

    /// Checks the rules after all events.
    fn check_end(&mut self) {
        let ids: HashSet<String> = self.calls.iter().map(|call| call.id.to_string()).collect();
        let mut violations = Vec::new();
        for call in &self.calls {
            let runs = self.runs.get(call.id).copied().unwrap_or(0);
            let id = call.id;
            if call.repeatability == Repeatability::NonIdempotent {
                if runs > 1 {
                    violations.push((Rule::RanTwice, format!("{id} ran {runs} times")));
                }
                if call.refused && runs > 0 {
                    violations.push((Rule::RanThoughRefused, format!("{id} ran although refused")));
                }
            }
            if runs > call.max_workers {
                violations
                    .push((Rule::TooManyWorkers, format!("{id} ran {runs} times of {}", call.max_workers)));
            }
            if !matches!(call.stage, Stage::Finished) {
                violations.push((Rule::Unanswered, format!("{id} never ended")));
            }
        }
        for id in self.runs.keys().filter(|id| !ids.contains(*id)) {
            violations.push((Rule::UnknownRequest, format!("{id} was never sent")));
        }
        self.outcome.calls = self.calls.len();
        for (rule, what) in violations {
            self.report(rule, what);
        }
    }
}

/// Runs one seed.
pub fn simulate(seed: u64) -> Outcome {
    World::new(seed).run()
}
