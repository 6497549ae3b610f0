//! Actions of a scenario, and how their effects end.

use super::{secs, Event, FaultEnd, MachineState, World};
use crate::checker::Location;
use crate::injected_defects::InjectedDefect;
use crate::net::{LinkFault, Node};
use crate::platform::PlatformFaults;
use crate::scenario::{Outage, PlatformFault, ScenarioAction};
use std::time::Duration;
use tindock_control_store::DiskState;

/// Effect on the links between two sides.
struct LinkEffect {
    cut: bool,
    one_way: bool,
    loss: f64,
    delay: f64,
}

impl World {
    /// Machines that a scenario word names: names separated by commas, `*` at the end for any suffix, the
    /// prefix `half:` for every second one, `holder`, `acker`, `zone:NAME`, `platform`, `clients`,
    /// `operator`, `rest` for all others.
    fn resolve(&self, names: &str) -> Vec<Node> {
        let mut all: Vec<(String, Node)> = Vec::new();
        all.extend(self.edges.iter().enumerate().map(|(n, edge)| (edge.name.clone(), Node::Edge(n))));
        let present = self.cores.iter().enumerate().filter(|(_, core)| core.gone.is_none());
        all.extend(present.map(|(n, core)| (core.name.clone(), Node::Core(n))));
        let hosts = self.platform.hosts.iter().enumerate();
        all.extend(hosts.map(|(n, host)| (host.name.clone(), Node::Host(n))));
        all.extend((0..self.zones.len()).map(|n| (format!("clients-{}", self.zones[n].0), Node::Clients(n))));
        all.push(("platform".into(), Node::Platform));
        all.push(("operator".into(), Node::Operator));
        let mut nodes = Vec::new();
        for word in names.split(',') {
            let (half, word) = word.strip_prefix("half:").map_or((false, word), |rest| (true, rest));
            let mut found: Vec<Node> = match word {
                "holder" => self.last_reader.map(Node::Core).into_iter().collect(),
                "acker" => self.last_acker.map(Node::Core).into_iter().collect(),
                "clients" => (0..self.zones.len()).map(Node::Clients).collect(),
                _ => match (word.strip_prefix("zone:"), word.strip_suffix('*')) {
                    (Some(zone), _) => {
                        let zone = self.zones.iter().position(|(name, _)| name == zone);
                        let inside = |node: &Node| {
                            matches!(node, Node::Edge(_) | Node::Core(_) | Node::Host(_))
                                && Some(self.net.zone(*node)) == zone
                        };
                        all.iter().map(|(_, node)| *node).filter(inside).collect()
                    }
                    (_, Some(begin)) => all
                        .iter()
                        .filter(|(name, _)| name.starts_with(begin))
                        .map(|(_, node)| *node)
                        .collect(),
                    _ => all.iter().filter(|(name, _)| name == word).map(|(_, node)| *node).collect(),
                },
            };
            if half {
                found = found.into_iter().step_by(2).collect();
            }
            nodes.extend(found);
        }
        nodes.dedup();
        nodes
    }

    /// Like `resolve`, but reports a finding for an unknown name.
    fn resolve_or_report(&mut self, names: &str) -> Vec<Node> {
        let nodes = self.resolve(names);
        if nodes.is_empty() {
            let what = format!("{names} names no machine");
            self.checker.report(crate::checker::Rule::Scenario, self.now, what);
        }
        nodes
    }

    fn name(&self, node: Node) -> String {
        match node {
            Node::Edge(n) => self.edges[n].name.clone(),
            Node::Core(n) => self.cores[n].name.clone(),
            Node::Host(n) => self.platform.hosts[n].name.clone(),
            Node::Platform => "platform".into(),
            Node::Clients(n) => format!("clients-{}", self.zones[n].0),
            Node::Operator => "operator".into(),
        }
    }

    fn location(node: Node) -> Location {
        match node {
            Node::Edge(n) => Location::Edge(n),
            Node::Core(_) => Location::Core,
            Node::Host(_) => Location::Workers,
            Node::Platform => Location::Platform,
            Node::Clients(_) | Node::Operator => Location::Links,
        }
    }

    pub(super) fn act_on(&mut self, n: usize) {
        let Some((_, action)) = self.scenario.actions.get(n).cloned() else { return };
        let now = self.now;
        match action {
            ScenarioAction::Kill { machines, duration, kind } => {
                for node in self.resolve_or_report(&machines) {
                    self.kill(node, kind, duration);
                }
            }
            ScenarioAction::Freeze { machines, duration } => {
                for node in self.resolve_or_report(&machines) {
                    self.record_span(duration, format!("{} freezes for {duration} s", self.name(node)));
                    self.checker.record_disturbance(World::location(node), now, now + secs(duration));
                    let until = now + secs(duration);
                    match node {
                        Node::Edge(n) => self.edges[n].frozen = Some((until, Vec::new())),
                        Node::Core(n) => self.cores[n].frozen = Some((until, Vec::new())),
                        _ => continue,
                    }
                    self.schedule_at(until, Event::Thaw(node));
                }
                self.record_core_health();
            }
            ScenarioAction::Roll { machines, gap, duration } => {
                for (k, node) in self.resolve_or_report(&machines).into_iter().enumerate() {
                    let incarnation = self.incarnation(node);
                    let at = now + secs(gap * k as f64);
                    match node {
                        Node::Edge(n) => {
                            self.edges[n].restarts_after = Some(secs(duration));
                            self.schedule_at(at, Event::EdgeShutdown { edge: n, incarnation });
                        }
                        Node::Core(n) => {
                            self.cores[n].restarts_after = Some(secs(duration));
                            self.schedule_at(at, Event::CoreShutdown { core: n, incarnation });
                        }
                        _ => {}
                    }
                }
            }
            ScenarioAction::Cut { a, b, one_way, duration } => {
                let direction = if one_way { " one way" } else { "" };
                self.record_span(duration, format!("{a} cut from {b}{direction} for {duration} s"));
                self.fault_links(&a, &b, duration, LinkEffect { cut: true, one_way, loss: 0.0, delay: 0.0 });
            }
            ScenarioAction::LinkFault { a, b, loss, delay, duration } => {
                self.record_span(
                    duration,
                    format!("{a} to {b}: loss {loss}, {delay} ms more, for {duration} s"),
                );
                self.fault_links(&a, &b, duration, LinkEffect { cut: false, one_way: false, loss, delay });
            }
            ScenarioAction::Burst { route, zone, factor, duration } => {
                let scope = zone.as_ref().map_or("all zones", |zone| zone.as_str());
                self.record_span(duration, format!("{route} x{factor} for {duration} s in {scope}"));
                let zone = zone.and_then(|zone| self.zones.iter().position(|(name, _)| *name == zone));
                self.bursts.push((route.clone(), zone, factor));
                self.schedule_in(secs(duration), Event::FaultEnds(FaultEnd::Burst { route, zone, factor }));
            }
            ScenarioAction::Drain { host } => {
                for node in self.resolve_or_report(&host) {
                    let Node::Host(n) = node else { continue };
                    self.record_span(self.scenario.timers.drain, format!("{} drains", self.name(node)));
                    let (instances, until) = self.platform.drain(now, n);
                    for instance in instances {
                        self.schedule_at(until, Event::CloseInstance(instance));
                    }
                }
            }
            ScenarioAction::Crash { host, duration, silent } => {
                for node in self.resolve_or_report(&host) {
                    let Node::Host(n) = node else { continue };
                    self.record_span(duration, format!("{} crashes", self.name(node)));
                    // Counts as a disturbance until its workers are out of the list and replaced.
                    self.checker.record_disturbance(Location::Workers, now, now + Duration::from_secs(3));
                    self.crash_host(n, secs(duration), silent);
                }
            }
            ScenarioAction::Platform { kind, seconds, duration } => {
                self.record_span(duration, format!("platform: {kind:?} {seconds} for {duration} s"));
                self.checker.record_disturbance(Location::Platform, now, now + secs(duration));
                let faults = &mut self.platform.faults;
                match kind {
                    PlatformFault::Late => faults.late = seconds,
                    PlatformFault::Slow => faults.slow = seconds,
                    PlatformFault::Refused => faults.lists_refused = true,
                    PlatformFault::CallsRefused => faults.calls_refused = true,
                    PlatformFault::Silent => faults.silent = true,
                    PlatformFault::Unanswered => faults.unanswered = true,
                }
                self.schedule_in(secs(duration), Event::FaultEnds(FaultEnd::Platform));
                self.record_core_health();
            }
            ScenarioAction::Answers { kind, share, duration } => {
                self.record_span(duration, format!("{share} of answers {} for {duration} s", kind.keyword()));
                self.checker.record_disturbance(Location::Workers, now, now + secs(duration));
                self.answer_faults.push((kind, share));
                self.schedule_in(secs(duration), Event::FaultEnds(FaultEnd::Answers(kind, share)));
            }
            ScenarioAction::Config { change, first, wipe_for, operator } => {
                self.record_span(0.0, format!("operator {operator}: {change:?}"));
                self.configure(&change, first, wipe_for);
            }
            ScenarioAction::Replace { machines, after } => {
                for node in self.resolve_or_report(&machines) {
                    let Node::Core(n) = node else { continue };
                    let (name, zone) = (self.cores[n].name.clone(), self.cores[n].zone);
                    self.record_span(after, format!("{name} is replaced after {after} s"));
                    self.checker.record_disturbance(Location::Core, now, now + secs(after));
                    self.core_down(n, MachineState::Silent);
                    self.cores[n].gone = Some(now);
                    let listed = now + secs(after + self.scenario.timers.seed_lag);
                    let new = self.add_core(format!("{name}-new"), zone, listed);
                    self.schedule_in(secs(after), Event::Start(Node::Core(new)));
                }
                self.record_core_health();
            }
            ScenarioAction::Disk { machines, slow, full, duration } => {
                for node in self.resolve_or_report(&machines) {
                    let Node::Core(n) = node else { continue };
                    let what = format!("disk of {}: x{slow}, full {full}, for {duration} s", self.name(node));
                    self.record_span(duration, what);
                    self.checker.record_disturbance(Location::Core, now, now + secs(duration));
                    let core = &mut self.cores[n];
                    (core.disk_slow, core.disk_full) = (slow.max(1.0), full);
                    self.schedule_in(secs(duration), Event::FaultEnds(FaultEnd::Disk(n)));
                }
            }
        }
    }

    fn fault_links(&mut self, a: &str, b: &str, duration: f64, effect: LinkEffect) {
        let a = self.resolve_or_report(a);
        let b = if b == "rest" {
            let inside =
                |node: &Node| matches!(node, Node::Edge(_) | Node::Core(_) | Node::Host(_) | Node::Platform);
            let mut all = self.resolve("edge*,core*,host*,platform");
            all.retain(|node| inside(node) && !a.contains(node));
            all
        } else {
            self.resolve_or_report(b)
        };
        let (now, until) = (self.now, self.now + secs(duration));
        let core = |nodes: &[Node]| nodes.iter().any(|node| matches!(node, Node::Core(_)));
        let edges =
            |nodes: &[Node]| nodes.iter().any(|node| matches!(node, Node::Edge(_) | Node::Clients(_)));
        let host = |nodes: &[Node]| nodes.iter().any(|node| matches!(node, Node::Host(_)));
        let mut locations = Vec::new();
        if core(&a) && core(&b) {
            locations.push(Location::Core);
        }
        // Isolating a single edge machine disturbs only that one; a fault on the links of several disturbs
        // all links.
        let single = [&a, &b].into_iter().find(|side| matches!(side.as_slice(), [Node::Edge(_)]));
        match single {
            Some(side) => locations.extend(side.iter().map(|node| World::location(*node))),
            None if edges(&a) || edges(&b) => locations.push(Location::Links),
            None => {}
        }
        if host(&a) || host(&b) {
            locations.extend([Location::Workers, Location::WorkerLinks]);
        }
        if a.contains(&Node::Platform) || b.contains(&Node::Platform) {
            locations.push(Location::Platform);
        }
        for location in locations {
            self.checker.record_disturbance(location, now, until);
        }
        let LinkEffect { cut, one_way, loss, delay } = effect;
        let link_fault = self.net.add_fault(LinkFault { a, b, cut, one_way, loss, delay });
        self.schedule_at(until, Event::RepairLink(link_fault));
        self.record_core_health();
    }

    pub(super) fn kill(&mut self, node: Node, kind: Outage, duration: Option<f64>) {
        let now = self.now;
        let text = match kind {
            Outage::Killed => "is killed",
            Outage::PowerLoss => "loses power",
            Outage::DiskLost => "loses its disk",
        };
        let back = duration.map_or("for good".into(), |duration| format!("for {duration} s"));
        self.record_span(duration.unwrap_or(1e6), format!("{} {text} {back}", self.name(node)));
        let until = duration.map_or(self.end, |duration| now + secs(duration));
        self.checker.record_disturbance(World::location(node), now, until);
        let up = if kind == Outage::Killed { MachineState::Refuses } else { MachineState::Silent };
        match node {
            Node::Edge(n) => self.edge_down(n, up),
            Node::Core(n) => {
                self.core_down(n, up);
                if kind == Outage::DiskLost {
                    self.cores[n].disk = DiskState::default();
                    self.cores[n].disks += 1;
                }
            }
            _ => return,
        }
        if duration.is_some() {
            self.schedule_at(until, Event::Start(node));
        }
    }

    pub(super) fn edge_down(&mut self, n: usize, up: MachineState) {
        let Some(edge) = self.edges.get_mut(n) else { return };
        let incarnation = edge.incarnation;
        edge.incarnation += 1;
        edge.up = up;
        edge.frozen = None;
        edge.wake = None;
        let Some(running) = edge.running.take() else { return };
        self.share_membership();
        if up == MachineState::Refuses {
            for attempt in running.proxy.attempts() {
                self.send_connection_broken(n, attempt);
            }
            self.drop_runs(n, incarnation);
        }
    }

    pub(super) fn core_down(&mut self, n: usize, up: MachineState) {
        let Some(core) = self.cores.get_mut(n) else { return };
        core.incarnation += 1;
        core.up = up;
        core.frozen = None;
        core.wake = None;
        core.controller = None;
        core.calls.clear();
        self.record_core_health();
    }

    /// On the first call sends SIGTERM to a core machine, which releases the lease; later calls check
    /// whether it has exited.
    pub(super) fn shut_down_core(&mut self, n: usize, incarnation: u64) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(n).filter(|core| core.incarnation == incarnation) else { return };
        let (local, name) = (now - core.started_at, core.name.clone());
        let Some(controller) = core.controller.as_mut() else { return };
        match core.leaving {
            None => {
                controller.control_store.leave(local);
                core.leaving = Some(local);
                let back = core.restarts_after.unwrap_or_default().as_secs_f64();
                self.record_span(back, format!("{name} is stopped"));
                self.process_core(n);
            }
            Some(began) if controller.may_end(local, began) => {
                let back = core.restarts_after.take().unwrap_or_default();
                self.checker.record_planned_stop(Location::Core, now, now + back);
                self.core_down(n, MachineState::Refuses);
                return self.schedule_in(back, Event::Start(Node::Core(n)));
            }
            Some(_) => {}
        }
        self.schedule_in(Duration::from_millis(20), Event::CoreShutdown { core: n, incarnation });
    }

    /// On the first call sends SIGTERM to an edge machine; later calls check whether it has exited.
    pub(super) fn shut_down_edge(&mut self, n: usize, incarnation: u64) {
        let now = self.now;
        let grace = secs(self.scenario.timers.grace);
        let Some(edge) = self.edges.get_mut(n).filter(|edge| edge.incarnation == incarnation) else { return };
        let name = edge.name.clone();
        let Some(running) = edge.running.as_mut() else { return };
        let local = now - running.started_at;
        if !running.leaving {
            running.leaving = true;
            running.proxy.terminate(local);
            running.agent.set_serving(local, 0);
            self.share_membership();
            let after = self.edges[n].restarts_after.unwrap_or_default();
            self.checker.record_sigterm(n, incarnation, now, now + grace + after);
            self.record_span((grace / 2 + after).as_secs_f64(), format!("{name} is stopped"));
            return self.schedule_in(Duration::from_millis(50), Event::EdgeShutdown { edge: n, incarnation });
        }
        let ends = running.proxy.poll_shutdown(local) || self.defect == Some(InjectedDefect::LeavesAtOnce);
        self.process_edge(n);
        if !ends {
            return self.schedule_in(Duration::from_millis(50), Event::EdgeShutdown { edge: n, incarnation });
        }
        let after = self.edges[n].restarts_after.take().unwrap_or_default();
        self.record_event(format!("{name} has ended"));
        self.edge_down(n, MachineState::Refuses);
        self.schedule_in(after, Event::Start(Node::Edge(n)));
    }

    pub(super) fn end_fault(&mut self, fault_end: FaultEnd) {
        match fault_end {
            FaultEnd::Burst { route, zone, factor } => {
                let same = (route, zone, factor);
                if let Some(at) = self.bursts.iter().position(|burst| *burst == same) {
                    self.bursts.remove(at);
                }
            }
            FaultEnd::Platform => {
                self.platform.faults = PlatformFaults::default();
                self.record_core_health();
            }
            FaultEnd::Answers(kind, share) => {
                if let Some(at) =
                    self.answer_faults.iter().position(|answer_fault| *answer_fault == (kind, share))
                {
                    self.answer_faults.remove(at);
                }
            }
            FaultEnd::Disk(n) => {
                if let Some(core) = self.cores.get_mut(n) {
                    (core.disk_slow, core.disk_full) = (1.0, false);
                }
            }
        }
    }
}
