//! Traffic between proxies and workers: connections, requests, runs and their ends.

use super::{secs, Event, World};
use crate::checker::Rule;
use crate::net::Node;
use crate::platform::Run;
use crate::scenario::AnswerFault;
use crate::wire::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

impl World {
    fn host(&self, at: SocketAddr) -> Option<Node> {
        self.platform.instance_at(at).map(|n| Node::Host(self.platform.host_of(n)))
    }

    /// Node that answers at an address; the platform's network refuses connections to unused ones.
    fn host_or_platform(&self, at: SocketAddr) -> Node {
        self.host(at).unwrap_or(Node::Platform)
    }

    pub(super) fn connect(
        &mut self,
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
        instance: String,
        at: SocketAddr,
    ) {
        let to = self.host_or_platform(at);
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Edge(edge), to) {
            self.schedule_in(takes, Event::Syn { edge, incarnation, request_id, token, instance, at });
        }
    }

    pub(super) fn syn(
        &mut self,
        edge: usize,
        incarnation: u64,
        request_id: u64,
        token: u64,
        instance: String,
        at: SocketAddr,
    ) {
        let to = self.host_or_platform(at);
        let now = self.now;
        if let Node::Host(host) = to {
            if self.platform.hosts[host].down.is_some_and(|(from, to)| now >= from && now < to) {
                return;
            }
        }
        let worker = self.platform.instance_at(at).filter(|n| self.platform.instances[*n].listens(now));
        let (share, ms) = self.scenario.platform.brief_hold;
        if let Some(n) = worker.filter(|_| share > 0.0 && self.rng.unit() < share) {
            self.platform.instances[n].brief_holds.push(now + secs(ms / 1e3));
        }
        let accepted = worker.is_some();
        if let Some(takes) = self.net.stream(&mut self.rng, to, Node::Edge(edge)) {
            self.schedule_in(
                takes,
                Event::Connected { edge, incarnation, request_id, token, instance, accepted },
            );
        }
    }

    pub(super) fn send_request(
        &mut self,
        edge: usize,
        incarnation: u64,
        (request_id, token, connection): (u64, u64, u64),
        at: SocketAddr,
        bytes: Vec<u8>,
    ) {
        let to = self.host_or_platform(at);
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Edge(edge), to) {
            self.schedule_in(
                takes,
                Event::RequestAtWorker { edge, incarnation, request_id, token, connection, at, bytes },
            );
        }
    }

    fn reply(&mut self, from: Node, run: &Run, bytes: Vec<u8>, closed: bool) {
        if let Some(takes) = self.net.stream(&mut self.rng, from, Node::Edge(run.edge)) {
            let (edge, incarnation, request_id, token) =
                (run.edge, run.incarnation, run.request_id, run.token);
            self.schedule_in(
                takes,
                Event::WorkerBytes { edge, incarnation, request_id, token, bytes, closed },
            );
        }
    }

    /// Resets the connection of a run.
    fn reset(&mut self, from: Node, run: &Run) {
        self.checker.record_worker_break(run.attempt);
        self.reply(from, run, Vec::new(), true);
    }

    pub(super) fn request_at_worker(
        &mut self,
        edge: usize,
        incarnation: u64,
        (request_id, token, connection): (u64, u64, u64),
        at: SocketAddr,
        bytes: &[u8],
    ) {
        let now = self.now;
        let from = self.host_or_platform(at);
        if let Node::Host(host) = from {
            if self.platform.hosts[host].down.is_some_and(|(from, to)| now >= from && now < to) {
                return;
            }
        }
        let Read::Whole(request, used) = wire::read(bytes) else {
            return self.checker.report(
                Rule::Unasked,
                now,
                "a worker got bytes that are not a request".into(),
            );
        };
        let id = request.header("Attempt-Id").unwrap_or_default().to_string();
        let Some(attempt) = wire::attempt(&id).filter(|n| *n < self.client_attempts.len()) else {
            return self.checker.report(
                Rule::Unasked,
                now,
                format!("a worker got the attempt id {id:?}, which no client sent"),
            );
        };
        let run = Run { id: self.next_id(), attempt, edge, incarnation, request_id, token, connection };
        let Some(n) = self.platform.instance_at(at).filter(|n| self.platform.instances[*n].listens(now))
        else {
            // The instance had stopped before the request arrived.
            return self.reset(from, &run);
        };
        let first = !self.mark_seen_by_worker(attempt);
        let worker = &mut self.platform.instances[n];
        if request.header("Target-Instance").is_some_and(|named| named != worker.id) {
            let service = worker.service.clone();
            self.checker.record_arrival(now, attempt, &service, first, None);
            let bytes = wire::write("HTTP/1.1 421 Misdirected Request", &[("Attempt-Id", &id)], b"");
            return self.reply(from, &run, bytes, false);
        }
        worker.brief_holds.retain(|until| *until > now);
        let slots = self.platform.services.get(&worker.service).map_or(1, |kind| kind.slots) as usize;
        let (runs, brief_holds) = (worker.runs.len(), worker.brief_holds.len());
        let (service, drains) = (worker.service.clone(), worker.drains);
        let list_shows_drain = drains.map(|at| at + secs(self.scenario.platform.lag));
        self.checker.record_arrival(now, attempt, &service, first, list_shows_drain);
        if runs + brief_holds >= slots {
            if runs >= slots {
                self.checker.record_full(now, &service);
                let second = self.checker.seconds(now).floor() as i64;
                self.row(second).full += 1;
            } else {
                self.checker.brief_hold_rejections += 1;
            }
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            let bytes = wire::write("HTTP/1.1 503 Service Unavailable", &headers, b"");
            return self.reply(from, &run, bytes, false);
        }
        self.checker.check_worker_request(now, attempt, &request, bytes.len() - used);
        self.checker.record_run(now, attempt, &service);
        let work = self.work_of(attempt);
        let pace = self.platform.instances[n].pace;
        let takes = secs((self.rng.log_normal(work, 0.5) * pace).max(0.5) / 1e3);
        let id = run.id;
        self.platform.instances[n].runs.push(run);
        self.schedule_in(takes, Event::RunEnd { instance: n, run: id });
    }

    pub(super) fn run_end(&mut self, instance: usize, run: u64) {
        let Some(run) = self.platform.end_run(self.now, instance, run) else { return };
        self.checker.record_run_end(self.now, run.attempt);
        let from = Node::Host(self.platform.host_of(instance));
        let mut fault = None;
        for n in 0..self.answer_faults.len() {
            let (candidate, share) = self.answer_faults[n];
            if share > 0.0 && self.rng.unit() < share {
                fault = Some(candidate);
                break;
            }
        }
        if fault == Some(AnswerFault::Lost) {
            return self.reset(from, &run);
        }
        // Sampled only if the answer is faulty, so that other runs keep their random sequence.
        let part = fault.map_or(0, |_| self.rng.below(1000));
        let id = wire::id(run.attempt);
        let worker = &self.platform.instances[instance];
        let body = format!("{} ran {id}, its run {}\n", worker.service, run.id).into_bytes();
        let seal = wire::seal(&id, &body);
        let mut headers = vec![("Attempt-Id", id.as_str()), ("Instance-Id", &worker.id)];
        let status = match fault {
            Some(AnswerFault::Failed) if run.id % 2 == 0 => 500,
            Some(AnswerFault::Failed) => 503,
            _ => 200,
        };
        if status == 200 && fault != Some(AnswerFault::Unsealed) {
            headers.push(("Server-Seal", &seal));
        }
        let sealed = (status == 200 && fault != Some(AnswerFault::Unsealed)).then_some(seal.as_str());
        self.checker.record_worker_answer(run.attempt, status, sealed, &body);
        let mut bytes = wire::write(&format!("HTTP/1.1 {status} Said"), &headers, &body);
        let length = bytes.len();
        let cut = length - 1 - part % body.len();
        match fault {
            Some(AnswerFault::Cut | AnswerFault::Stalled) => {
                self.checker.record_worker_break(run.attempt);
                match run.id % 3 {
                    // A cut is harder to detect in a chunked answer without its last chunk, or in one
                    // without a length.
                    0 => {
                        bytes = wire::write(&format!("HTTP/1.1 {status} Said"), &headers, b"");
                        bytes.truncate(bytes.len() - b"Content-Length: 0\r\n\r\n".len());
                        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
                    }
                    1 => {
                        bytes = wire::write(&format!("HTTP/1.1 {status} Said"), &headers, b"");
                        bytes.truncate(bytes.len() - b"Content-Length: 0\r\n\r\n".len());
                        bytes.extend_from_slice(b"\r\nhalf of it");
                    }
                    _ => bytes.truncate(cut),
                }
            }
            Some(AnswerFault::Garbled) => {
                self.checker.record_worker_break(run.attempt);
                bytes = match run.id % 3 {
                    0 => b"not a word of HTTP\r\n\r\n".to_vec(),
                    1 => b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd".to_vec(),
                    _ => bytes.iter().map(|byte| byte ^ 0x80).collect(),
                };
            }
            _ => {}
        }
        let key = (run.edge, run.incarnation, run.connection);
        let kept = matches!(fault, None | Some(AnswerFault::Surplus));
        let previous = self.surplus.remove(&key).filter(|_| kept);
        if fault == Some(AnswerFault::Surplus) {
            self.surplus.insert(key, bytes.clone());
        }
        if let Some(previous) = previous {
            bytes.splice(0..0, previous);
        }
        let closed = !kept
            && !matches!(fault, Some(AnswerFault::Stalled | AnswerFault::Unsealed | AnswerFault::Failed));
        self.reply(from, &run, bytes, closed);
    }

    pub(super) fn send_hangup(&mut self, edge: usize, at: SocketAddr, attempt: usize) {
        let to = self.host_or_platform(at);
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Edge(edge), to) {
            self.schedule_in(takes, Event::Hangup { at, attempt });
        }
    }

    /// A worker drops a request whose connection was closed.
    pub(super) fn hangup(&mut self, at: SocketAddr, attempt: usize) {
        let Some(n) = self.platform.instance_at(at) else { return };
        let run = self.platform.instances[n].runs.iter().find(|run| run.attempt == attempt).map(|run| run.id);
        if let Some(run) = run {
            self.platform.end_run(self.now, n, run);
            self.checker.record_run_end(self.now, attempt);
        }
    }

    /// Drops the runs of an edge machine's processes, which have ended and reset their connections.
    pub(super) fn drop_runs(&mut self, edge: usize, incarnation: u64) {
        for n in 0..self.platform.instances.len() {
            let instance = &self.platform.instances[n];
            let at = instance.at;
            let attempts: Vec<usize> = (instance.runs.iter())
                .filter(|run| run.edge == edge && run.incarnation == incarnation)
                .map(|run| run.attempt)
                .collect();
            for attempt in attempts {
                self.send_hangup(edge, at, attempt);
            }
        }
    }

    /// A stopping worker closes its idle connections.
    pub(super) fn close_idle_connections(&mut self, id: &str) {
        let Some(n) = self.platform.instances.iter().position(|instance| instance.id == id) else { return };
        let from = Node::Host(self.platform.host_of(n));
        for edge in 0..self.edges.len() {
            let incarnation = self.incarnation(Node::Edge(edge));
            if let Some(takes) = self.net.stream(&mut self.rng, from, Node::Edge(edge)) {
                self.schedule_in(
                    takes,
                    Event::IdleConnectionsClosed { edge, incarnation, instance: id.to_string() },
                );
            }
        }
    }

    pub(super) fn close_instance(&mut self, n: usize) {
        let Some(id) = self.platform.instances.get(n).map(|instance| instance.id.clone()) else { return };
        self.platform.close(self.now, n);
        self.close_idle_connections(&id);
    }

    pub(super) fn crash_host(&mut self, host: usize, duration: Duration, silent: bool) {
        let lost = self.platform.crash(self.now, host, duration);
        if silent {
            return;
        }
        for (n, runs) in lost {
            let id = self.platform.instances[n].id.clone();
            self.close_idle_connections(&id);
            for run in runs {
                self.checker.record_run_end(self.now, run.attempt);
                self.reset(Node::Host(host), &run);
            }
        }
    }
}
