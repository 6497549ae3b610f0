//! Clients: requests at a rate, connections to edge machines, and retries.

use super::{secs, Event, MachineState, World};
use crate::checker::{AttemptRecord, ClientRequest};
use crate::messages::hash;
use crate::net::Node;
use crate::proxy::Request;
use crate::wire::{self, Read};
use std::time::Duration;

const CLIENTS_PER_ZONE: usize = 24;
const MAX_ATTEMPTS: usize = 4;
const SECOND: Duration = Duration::from_secs(1);
/// Pause before retrying after a broken connection.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

pub(crate) struct Client {
    zone: usize,
    /// Open connection: edge machine and incarnation of its processes.
    connection: Option<(usize, u64)>,
}

/// Requests from one zone to the routes of one scenario line.
pub(crate) struct Stream {
    zone: usize,
    name: String,
    /// Route names, with the cumulative share up to each.
    routes: Vec<(String, f64)>,
    rate: f64,
    once: bool,
    aim: u32,
    deadline: u32,
    timeout: u32,
    work: f64,
    dropped: bool,
}

/// State of an attempt at its client.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientAttempt {
    pub(crate) client: usize,
    read: bool,
    /// The connection was refused: nothing was sent.
    refused: bool,
    finished: bool,
    seen_by_worker: bool,
    work: f64,
}

impl World {
    pub(super) fn begin_clients(&mut self) {
        for zone in 0..self.zones.len() {
            self.clients.extend((0..CLIENTS_PER_ZONE).map(|_| Client { zone, connection: None }));
        }
        let lines: Vec<_> = self.scenario.routes.clone();
        for line in lines {
            let route_names: Vec<String> = self
                .plan
                .routes
                .iter()
                .filter(|r| r.line.name == line.name)
                .map(|r| r.name.clone())
                .collect();
            let mut sum = 0.0;
            let routes: Vec<(String, f64)> = (route_names.into_iter().enumerate())
                .map(|(k, name)| {
                    sum += 1.0 / (k as f64 + 1.0).powf(line.skew);
                    (name, sum)
                })
                .collect();
            self.add_streams(&line, routes, self.warm_up);
        }
    }

    pub(super) fn add_streams(
        &mut self,
        line: &crate::scenario::RouteLine,
        routes: Vec<(String, f64)>,
        from: Duration,
    ) {
        // Only zones with edge machines have clients.
        let client_zones: Vec<usize> =
            (0..self.zones.len()).filter(|zone| self.edges.iter().any(|edge| edge.zone == *zone)).collect();
        for zone in &client_zones {
            self.streams.push(Stream {
                zone: *zone,
                name: line.name.clone(),
                routes: routes.clone(),
                rate: line.rate / client_zones.len() as f64,
                once: line.once,
                aim: line.aim,
                deadline: line.deadline,
                timeout: line.timeout,
                work: line.work,
                dropped: false,
            });
            let stream = self.streams.len() - 1;
            let pause = secs(self.rng.interval_s(self.streams[stream].rate));
            self.schedule_at(from + pause, Event::Arrival(stream));
        }
    }

    /// Requests to a dropped route continue at a tenth of the rate.
    pub(super) fn end_streams(&mut self, route: &str) {
        self.streams
            .iter_mut()
            .filter(|stream| stream.name == route)
            .for_each(|stream| stream.dropped = true);
    }

    pub(super) fn arrival(&mut self, n: usize) {
        if self.now >= self.warm_up + self.length {
            return;
        }
        let Some(stream) = self.streams.get(n) else { return };
        let factor: f64 = (self.bursts.iter())
            .filter(|(route, ..)| route == "all" || *route == stream.name)
            .filter(|(_, zone, _)| zone.is_none_or(|zone| zone == stream.zone))
            .map(|(.., factor)| factor)
            .product();
        let dropped_factor = if stream.dropped { 0.1 } else { 1.0 };
        let pause = secs(self.rng.interval_s(stream.rate * factor * dropped_factor));
        let last = stream.routes.last().map_or(0.0, |route| route.1);
        let sample = self.rng.unit() * last;
        let at = stream.routes.partition_point(|(_, sum)| *sum <= sample);
        let Some((route, _)) = stream.routes.get(at.min(stream.routes.len().saturating_sub(1))) else {
            return;
        };
        let (zone, once, work) = (stream.zone, stream.once, stream.work);
        let number = self.checker.client_requests.len();
        let path = crate::operator::path(route);
        let client_request = ClientRequest {
            sent: self.now,
            route: stream.name.clone(),
            target: format!("{path}?n={number}"),
            // Requests that must not be repeated use POST, the others GET.
            body: if once {
                format!("{number}: {}", "x".repeat(number % 97)).into_bytes()
            } else {
                Vec::new()
            },
            path,
            once,
            aim: self.now + Duration::from_millis(stream.aim.into()),
            end: self.now + Duration::from_millis(stream.deadline.into()),
            timeout: Duration::from_millis(stream.timeout.into()),
            served: None,
            refused: false,
            attempts: 0,
        };
        let end = client_request.end;
        let client = zone * CLIENTS_PER_ZONE + self.rng.below(CLIENTS_PER_ZONE);
        self.checker.client_requests.push(client_request);
        self.request_clients.push((client, work, None));
        let request = self.checker.client_requests.len() - 1;
        self.schedule_at(end, Event::Deadline(request));
        self.try_request(request);
        self.schedule_in(pause, Event::Arrival(n));
    }

    /// Edge machines to which the platform routes new connections from a zone.
    fn reachable_edges(&self, zone: usize) -> Vec<usize> {
        let local: Vec<usize> = (0..self.edges.len()).filter(|n| self.edges[*n].zone == zone).collect();
        let passes_probe = |n: &usize| self.edges[*n].misses < 2;
        let ready: Vec<usize> = local.iter().copied().filter(passes_probe).collect();
        if !ready.is_empty() {
            return if ready.len() * 2 < local.len() { local } else { ready };
        }
        let elsewhere: Vec<usize> = (0..self.edges.len()).filter(passes_probe).collect();
        if elsewhere.is_empty() {
            local
        } else {
            let distance = |n: &usize| self.net.delay(Node::Clients(zone), Node::Edge(*n));
            let nearest = elsewhere.iter().map(distance).min().unwrap_or_default();
            elsewhere.into_iter().filter(|n| distance(n) == nearest).collect()
        }
    }

    pub(super) fn try_request(&mut self, n: usize) {
        let now = self.now;
        let Some(client_request) = self.checker.client_requests.get_mut(n) else { return };
        if client_request.served.is_some() || now >= client_request.end {
            return;
        }
        client_request.attempts += 1;
        let (attempts, once, left) = (client_request.attempts, client_request.once, client_request.end - now);
        let (client, work, _) = self.request_clients[n];
        let zone = self.clients[client].zone;
        let connection = self.clients[client].connection.filter(|_| attempts == 1);
        let connection = connection.filter(|(edge, incarnation)| {
            self.edges[*edge].incarnation == *incarnation && self.edges[*edge].up == MachineState::On
        });
        let edge = match connection {
            Some((edge, _)) => edge,
            None => {
                let reachable_edges = self.reachable_edges(zone);
                if reachable_edges.is_empty() {
                    return;
                }
                reachable_edges[hash(&format!("{client} {n} {attempts}")) as usize % reachable_edges.len()]
            }
        };
        let attempt = self.checker.attempts.len();
        let incarnation = self.edges[edge].incarnation;
        self.request_clients[n].2 = Some(attempt);
        self.checker.attempts.push(AttemptRecord::new(n, edge, incarnation, now));
        self.client_attempts.push(ClientAttempt { client, work, ..ClientAttempt::default() });
        let read_timeout = if once { SECOND } else { SECOND.min(left / 3) };
        self.schedule_in(read_timeout, Event::UnreadTimeout { attempt });
        let Some(takes) = self.net.stream(&mut self.rng, Node::Clients(zone), Node::Edge(edge)) else {
            return;
        };
        match self.edges[edge].up {
            MachineState::On => {
                self.clients[client].connection = Some((edge, incarnation));
                self.schedule_in(takes, Event::RequestAtEdge { edge, incarnation, attempt });
            }
            MachineState::Refuses => {
                self.client_attempts[attempt].refused = true;
                self.schedule_in(takes * 2, Event::ConnectionBroken { attempt });
            }
            MachineState::Silent => {}
        }
    }

    pub(super) fn at_edge(&mut self, edge: usize, incarnation: u64, attempt: usize) {
        let now = self.now;
        let Some(record) = self.checker.attempts.get(attempt) else { return };
        let Some(client_request) = self.checker.client_requests.get(record.request) else { return };
        if self.client_attempts[attempt].finished || now >= client_request.end {
            return;
        }
        let id = wire::id(attempt);
        let left = (client_request.end - now).as_millis().to_string();
        let method = if client_request.once { "POST" } else { "GET" };
        let first = format!("{method} {} HTTP/1.1", client_request.target);
        let headers = [("Host", crate::HOST), ("Attempt-Id", id.as_str()), ("Deadline-Ms", left.as_str())];
        let request = Request { attempt, bytes: wire::write(&first, &headers, &client_request.body) };
        let zone = self.clients[self.client_attempts[attempt].client].zone;
        let latency = self.net.delay(Node::Edge(edge), Node::Clients(zone));
        match self.running(edge, incarnation) {
            Some(running) => {
                let local = now - running.started_at;
                running.proxy.request(local, request);
                self.client_attempts[attempt].read = true;
            }
            None => {
                self.schedule_in(latency, Event::ConnectionBroken { attempt });
            }
        }
    }

    /// Sends an answer of an edge machine to its client.
    pub(super) fn send_answer(&mut self, edge: usize, attempt: usize, bytes: Vec<u8>, close: bool) {
        let Some(state) = self.client_attempts.get(attempt) else { return };
        let zone = self.clients[state.client].zone;
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Edge(edge), Node::Clients(zone)) {
            self.schedule_in(takes, Event::AnswerToClient { attempt, bytes, close });
        }
    }

    /// Reports to the client that its connection ended without an answer.
    pub(super) fn send_connection_broken(&mut self, edge: usize, attempt: usize) {
        let Some(state) = self.client_attempts.get(attempt) else { return };
        let zone = self.clients[state.client].zone;
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Edge(edge), Node::Clients(zone)) {
            self.schedule_in(takes, Event::ConnectionBroken { attempt });
        }
    }

    pub(super) fn receive_answer(&mut self, attempt: usize, bytes: &[u8], close: bool) {
        let now = self.now;
        let Some(state) = self.client_attempts.get_mut(attempt).filter(|state| !state.finished) else {
            return;
        };
        let client = state.client;
        let (message, used) = match wire::read(bytes) {
            Read::Whole(message, used) => (message, used),
            Read::Part if close => return self.connection_broken(attempt),
            Read::Part => return,
            Read::Bad => {
                self.checker.record_malformed_answer(now, attempt, "bytes that are not an answer");
                return self.connection_broken(attempt);
            }
        };
        state.finished = true;
        if used < bytes.len() {
            self.checker.record_malformed_answer(now, attempt, "more bytes after its answer");
        }
        let status = message.status();
        let after = message.header("Retry-After").and_then(|after| after.parse::<f64>().ok());
        self.checker.record_answer(now, attempt, &message);
        if close || !(200..300).contains(&status) {
            self.clients[client].connection = None;
        }
        let request = self.checker.attempts[attempt].request;
        let client_request = &mut self.checker.client_requests[request];
        let left = client_request.end.saturating_sub(now);
        let retry = client_request.attempts < MAX_ATTEMPTS && !left.is_zero();
        match status {
            200..=299 => client_request.served = Some(now),
            503 | 429 | 408 | 421 if retry => {
                let after = secs(after.unwrap_or(0.1));
                self.schedule_in(after.min(left / 3), Event::Attempt(request));
            }
            500.. if retry && !client_request.once => self.schedule_in(RETRY_PAUSE, Event::Attempt(request)),
            _ => {}
        }
    }

    /// The connection of an attempt ended without a complete answer, or was refused.
    pub(super) fn connection_broken(&mut self, attempt: usize) {
        let now = self.now;
        let Some(state) = self.client_attempts.get_mut(attempt).filter(|state| !state.finished) else {
            return;
        };
        state.finished = true;
        let (client, read, refused) = (state.client, state.read, state.refused);
        self.clients[client].connection = None;
        self.checker.attempts[attempt].broken_at = (!refused).then_some(now);
        let request = self.checker.attempts[attempt].request;
        let client_request = &self.checker.client_requests[request];
        if client_request.attempts < MAX_ATTEMPTS
            && now < client_request.end
            && !(read && client_request.once)
        {
            self.schedule_in(RETRY_PAUSE, Event::Attempt(request));
        }
    }

    /// Abandons an attempt that was not read within the read timeout.
    pub(super) fn abandon_unread(&mut self, attempt: usize) {
        let state = self.client_attempts[attempt];
        if state.finished || state.read {
            return;
        }
        let record = &self.checker.attempts[attempt];
        let (edge, incarnation, request) = (record.edge, record.incarnation, record.request);
        let connected = self.edges[edge].up == MachineState::On && self.edges[edge].frozen.is_some();
        let client_request = &self.checker.client_requests[request];
        if client_request.once && connected {
            return;
        }
        self.client_attempts[attempt].finished = true;
        self.clients[state.client].connection = None;
        if client_request.attempts < MAX_ATTEMPTS && self.now < client_request.end {
            self.schedule_in(Duration::ZERO, Event::Attempt(request));
        }
        self.schedule_in(Duration::from_millis(1), Event::ClientDisconnected { edge, incarnation, attempt });
    }

    pub(super) fn deadline(&mut self, request: usize) {
        let unfinished = self
            .request_clients
            .get(request)
            .and_then(|factor| factor.2)
            .filter(|n| !self.client_attempts[*n].finished);
        if let Some(attempt) = unfinished {
            self.client_attempts[attempt].finished = true;
            let (edge, incarnation) =
                (self.checker.attempts[attempt].edge, self.checker.attempts[attempt].incarnation);
            let zone = self.clients[self.client_attempts[attempt].client].zone;
            self.clients[self.client_attempts[attempt].client].connection = None;
            if let Some(takes) = self.net.stream(&mut self.rng, Node::Clients(zone), Node::Edge(edge)) {
                self.schedule_in(takes, Event::ClientDisconnected { edge, incarnation, attempt });
            }
        }
    }

    /// Marks the attempt as seen by a worker; returns whether it was before.
    pub(super) fn mark_seen_by_worker(&mut self, attempt: usize) -> bool {
        let Some(state) = self.client_attempts.get_mut(attempt) else { return true };
        std::mem::replace(&mut state.seen_by_worker, true)
    }

    pub(super) fn work_of(&self, attempt: usize) -> f64 {
        self.client_attempts.get(attempt).map_or(10.0, |state| state.work)
    }

    /// The platform checks the readiness of each edge machine once per second.
    pub(super) fn probe_readiness(&mut self) {
        for n in 0..self.edges.len() {
            let edge = &mut self.edges[n];
            let running = edge.up == MachineState::On && edge.frozen.is_none();
            let ready = running && edge.running.as_ref().is_some_and(|running| running.proxy.ready());
            let reached = !self.net.cut(Node::Clients(edge.zone), Node::Edge(n));
            edge.misses = if ready && reached { 0 } else { edge.misses + 1 };
        }
        self.schedule_in(SECOND, Event::Probe);
    }
}
