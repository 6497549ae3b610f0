//! Between desks and workers: connections, requests, runs and their ends.

use super::{secs, Event, World};
use crate::desk::Outcome;
use crate::net::Node;
use crate::planted::Planted;
use crate::platform::Run;
use std::net::SocketAddr;
use std::time::Duration;

impl World {
    fn host(&self, at: SocketAddr) -> Option<Node> {
        self.platform.at(at).map(|n| Node::Host(self.platform.host_of(n)))
    }

    /// An address nobody has: the platform's network refuses there.
    fn near(&self, at: SocketAddr) -> Node {
        self.host(at).unwrap_or(Node::Platform)
    }

    pub(super) fn connect(
        &mut self,
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        instance: String,
        at: SocketAddr,
    ) {
        let to = self.near(at);
        if let Some(takes) = self.net.stream(&mut self.chance, Node::Edge(edge), to) {
            self.later(takes, Event::Syn { edge, life, hand, token, instance, at });
        }
    }

    pub(super) fn syn(
        &mut self,
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        instance: String,
        at: SocketAddr,
    ) {
        let to = self.near(at);
        let now = self.now;
        if let Node::Host(host) = to {
            if self.platform.hosts[host].down.is_some_and(|(from, to)| now >= from && now < to) {
                return;
            }
        }
        let there = self.platform.at(at).filter(|n| self.platform.instances[*n].listens(now));
        let (share, ms) = self.scenario.platform.brush;
        if let Some(n) = there.filter(|_| share > 0.0 && self.chance.share() < share) {
            self.platform.instances[n].brushes.push(now + secs(ms / 1e3));
        }
        let taken = there.is_some();
        if let Some(takes) = self.net.stream(&mut self.chance, to, Node::Edge(edge)) {
            self.later(takes, Event::Connected { edge, life, hand, token, instance, taken });
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn send_request(
        &mut self,
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        attempt: usize,
        instance: String,
        at: SocketAddr,
    ) {
        let to = self.near(at);
        if let Some(takes) = self.net.stream(&mut self.chance, Node::Edge(edge), to) {
            self.later(takes, Event::Arrive { edge, life, hand, token, attempt, instance, at });
        }
    }

    fn outcome(&mut self, from: Node, run: &Run, outcome: Outcome) {
        if let Some(takes) = self.net.stream(&mut self.chance, from, Node::Edge(run.edge)) {
            let (edge, life, hand, token) = (run.edge, run.life, run.hand, run.token);
            self.later(takes, Event::Outcome { edge, life, hand, token, outcome });
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn arrive(
        &mut self,
        edge: usize,
        life: u64,
        hand: u64,
        token: u64,
        attempt: usize,
        instance: &str,
        at: SocketAddr,
    ) {
        let now = self.now;
        let from = self.near(at);
        let run = Run { id: self.number(), attempt, edge, life, hand, token };
        if let Node::Host(host) = from {
            if self.platform.hosts[host].down.is_some_and(|(from, to)| now >= from && now < to) {
                return;
            }
        }
        let Some(n) = self.platform.at(at).filter(|n| self.platform.instances[*n].listens(now)) else {
            // Reset: it had stopped before this came.
            return self.outcome(from, &run, Outcome::Lost { late: false });
        };
        let there = &mut self.platform.instances[n];
        if there.id != instance && self.planted != Some(Planted::NoTarget) {
            let service = there.service.clone();
            let first = !self.tries_seen(attempt);
            self.judge.arrived(now, attempt, &service, first, None);
            return self.outcome(from, &run, Outcome::Misdirected);
        }
        there.brushes.retain(|until| *until > now);
        let slots = self.platform.kinds.get(&there.service).map_or(1, |kind| kind.slots) as usize;
        let (runs, brushes) = (there.runs.len(), there.brushes.len());
        let (service, drains) = (there.service.clone(), there.drains);
        let shown = drains.map(|at| at + secs(self.scenario.platform.lag));
        let first = !self.tries_seen(attempt);
        self.judge.arrived(now, attempt, &service, first, shown);
        if runs + brushes >= slots {
            if runs >= slots {
                self.judge.turned_away(now, &service);
                let second = self.judge.at(now).floor() as i64;
                self.row(second).full += 1;
            } else {
                self.judge.brushed += 1;
            }
            return self.outcome(from, &run, Outcome::NotExecuted);
        }
        self.judge.ran(now, attempt, &service);
        let work = self.work_of(attempt);
        let takes = secs(self.chance.spread(work, 0.5).max(0.5) / 1e3);
        let id = run.id;
        self.platform.instances[n].runs.push(run);
        self.later(takes, Event::RunEnd { instance: n, run: id });
    }

    pub(super) fn run_end(&mut self, instance: usize, run: u64) {
        let Some(run) = self.platform.done(self.now, instance, run) else { return };
        let from = Node::Host(self.platform.host_of(instance));
        let lost = self.answers_lost > 0.0 && self.chance.share() < self.answers_lost;
        let outcome = if lost { Outcome::Lost { late: false } } else { Outcome::Answer };
        self.outcome(from, &run, outcome);
    }

    pub(super) fn send_hangup(&mut self, edge: usize, at: SocketAddr, attempt: usize) {
        let to = self.near(at);
        if let Some(takes) = self.net.stream(&mut self.chance, Node::Edge(edge), to) {
            self.later(takes, Event::Hangup { at, attempt });
        }
    }

    /// A worker drops a request whose connection has closed.
    pub(super) fn hangup(&mut self, at: SocketAddr, attempt: usize) {
        let Some(n) = self.platform.at(at) else { return };
        let run = self.platform.instances[n].runs.iter().find(|run| run.attempt == attempt).map(|run| run.id);
        if let Some(run) = run {
            self.platform.done(self.now, n, run);
        }
    }

    /// The processes of an edge machine are gone and their connections reset: what ran for them is dropped.
    pub(super) fn drop_runs(&mut self, edge: usize, life: u64) {
        for n in 0..self.platform.instances.len() {
            let instance = &self.platform.instances[n];
            let at = instance.at;
            let attempts: Vec<usize> = (instance.runs.iter())
                .filter(|run| run.edge == edge && run.life == life)
                .map(|run| run.attempt)
                .collect();
            for attempt in attempts {
                self.send_hangup(edge, at, attempt);
            }
        }
    }

    /// A worker that stops closes the connections that stand idle.
    pub(super) fn tell_closed(&mut self, id: &str) {
        let Some(n) = self.platform.instances.iter().position(|instance| instance.id == id) else { return };
        let from = Node::Host(self.platform.host_of(n));
        for edge in 0..self.edges.len() {
            let life = self.life(Node::Edge(edge));
            if let Some(takes) = self.net.stream(&mut self.chance, from, Node::Edge(edge)) {
                self.later(takes, Event::Closed { edge, life, instance: id.to_string() });
            }
        }
    }

    pub(super) fn close_instance(&mut self, n: usize) {
        let Some(id) = self.platform.instances.get(n).map(|instance| instance.id.clone()) else { return };
        self.platform.close(self.now, n);
        self.tell_closed(&id);
    }

    pub(super) fn crash_host(&mut self, host: usize, lasts: Duration, silent: bool) {
        let lost = self.platform.crash(self.now, host, lasts);
        if silent {
            return;
        }
        for (n, runs) in lost {
            let id = self.platform.instances[n].id.clone();
            self.tell_closed(&id);
            for run in runs {
                self.outcome(Node::Host(host), &run, Outcome::Lost { late: false });
            }
        }
    }
}
