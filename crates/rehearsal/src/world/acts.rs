//! What happens in a scenario, and how it ends.

use super::{secs, Calm, Event, Power, World};
use crate::judge::Where;
use crate::net::{Harm, Node};
use crate::planted::Planted;
use crate::platform::Moods;
use crate::scenario::{Act, Down, Lists};
use std::time::Duration;
use tindock_control_store::DiskState;

/// What is done to the links between two sides.
struct Hurt {
    cut: bool,
    one_way: bool,
    loss: f64,
    delay: f64,
}

impl World {
    /// Machines a word of the scenario names: names by comma, `*` at the end for any rest, `half:` before for every
    /// second one, `holder`, `acker`, `zone:NAME`, `platform`, `clients`, `operator`, `rest` for whatever else there is.
    fn who(&self, words: &str) -> Vec<Node> {
        let mut all: Vec<(String, Node)> = Vec::new();
        all.extend(self.edges.iter().enumerate().map(|(n, edge)| (edge.name.clone(), Node::Edge(n))));
        let there = self.cores.iter().enumerate().filter(|(_, core)| core.gone.is_none());
        all.extend(there.map(|(n, core)| (core.name.clone(), Node::Core(n))));
        let hosts = self.platform.hosts.iter().enumerate();
        all.extend(hosts.map(|(n, host)| (host.name.clone(), Node::Host(n))));
        all.extend((0..self.zones.len()).map(|n| (format!("clients-{}", self.zones[n].0), Node::Clients(n))));
        all.push(("platform".into(), Node::Platform));
        all.push(("operator".into(), Node::Operator));
        let mut nodes = Vec::new();
        for word in words.split(',') {
            let (half, word) = word.strip_prefix("half:").map_or((false, word), |rest| (true, rest));
            let mut found: Vec<Node> = match word {
                "holder" => self.last_reader.map(Node::Core).into_iter().collect(),
                "acker" => self.acker.map(Node::Core).into_iter().collect(),
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

    /// As `who`; an unknown name breaks the scenario.
    fn named(&mut self, words: &str) -> Vec<Node> {
        let nodes = self.who(words);
        if nodes.is_empty() {
            let what = format!("{words} names no machine");
            self.judge.find(crate::judge::Rule::Scenario, self.now, what);
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

    fn place(node: Node) -> Where {
        match node {
            Node::Edge(n) => Where::Edge(n),
            Node::Core(_) => Where::Core,
            Node::Host(_) => Where::Workers,
            Node::Platform => Where::Platform,
            Node::Clients(_) | Node::Operator => Where::Links,
        }
    }

    pub(super) fn act(&mut self, n: usize) {
        let Some((_, act)) = self.scenario.acts.get(n).cloned() else { return };
        let now = self.now;
        match act {
            Act::Kill { who, lasts, how } => {
                for node in self.named(&who) {
                    self.kill(node, how, lasts);
                }
            }
            Act::Freeze { who, lasts } => {
                for node in self.named(&who) {
                    self.tell_span(lasts, format!("{} freezes for {lasts} s", self.name(node)));
                    self.judge.trouble(World::place(node), now, now + secs(lasts));
                    let until = now + secs(lasts);
                    match node {
                        Node::Edge(n) => self.edges[n].frozen = Some((until, Vec::new())),
                        Node::Core(n) => self.cores[n].frozen = Some((until, Vec::new())),
                        _ => continue,
                    }
                    self.at(until, Event::Thaw(node));
                }
                self.note_core();
            }
            Act::Roll { who, gap, lasts } => {
                for (k, node) in self.named(&who).into_iter().enumerate() {
                    let life = self.life(node);
                    let at = now + secs(gap * k as f64);
                    match node {
                        Node::Edge(n) => {
                            self.edges[n].restarts_after = Some(secs(lasts));
                            self.at(at, Event::Ends { edge: n, life });
                        }
                        Node::Core(n) => {
                            self.cores[n].restarts_after = Some(secs(lasts));
                            self.at(at, Event::CoreEnds { core: n, life });
                        }
                        _ => {}
                    }
                }
            }
            Act::Cut { a, b, one_way, lasts } => {
                let way = if one_way { " one way" } else { "" };
                self.tell_span(lasts, format!("{a} cut from {b}{way} for {lasts} s"));
                self.harm(&a, &b, lasts, Hurt { cut: true, one_way, loss: 0.0, delay: 0.0 });
            }
            Act::Harm { a, b, loss, delay, lasts } => {
                self.tell_span(lasts, format!("{a} to {b}: loss {loss}, {delay} ms more, for {lasts} s"));
                self.harm(&a, &b, lasts, Hurt { cut: false, one_way: false, loss, delay });
            }
            Act::Burst { route, zone, by, lasts } => {
                let place = zone.as_ref().map_or("all zones", |zone| zone.as_str());
                self.tell_span(lasts, format!("{route} x{by} for {lasts} s in {place}"));
                let zone = zone.and_then(|zone| self.zones.iter().position(|(name, _)| *name == zone));
                self.bursts.push((route.clone(), zone, by));
                // Those whose next request was far off.
                self.later(secs(lasts), Event::Calm(Calm::Burst { route, zone, by }));
            }
            Act::Drain { host } => {
                for node in self.named(&host) {
                    let Node::Host(n) = node else { continue };
                    self.tell_span(self.scenario.timers.drain, format!("{} drains", self.name(node)));
                    let (there, until) = self.platform.drain(now, n);
                    for instance in there {
                        self.at(until, Event::Close(instance));
                    }
                }
            }
            Act::Crash { host, lasts, silent } => {
                for node in self.named(&host) {
                    let Node::Host(n) = node else { continue };
                    self.tell_span(lasts, format!("{} crashes", self.name(node)));
                    // Trouble until its workers are out of the list and replaced.
                    self.judge.trouble(Where::Workers, now, now + Duration::from_secs(3));
                    self.crash_host(n, secs(lasts), silent);
                }
            }
            Act::Platform { how, by, lasts } => {
                self.tell_span(lasts, format!("platform: {how:?} {by} for {lasts} s"));
                self.judge.trouble(Where::Platform, now, now + secs(lasts));
                let moods = &mut self.platform.moods;
                match how {
                    Lists::Late => moods.late = by,
                    Lists::Slow => moods.slow = by,
                    Lists::Refused => moods.refused = true,
                    Lists::CallsRefused => moods.calls_refused = true,
                    Lists::Silent => moods.silent = true,
                    Lists::Unanswered => moods.unanswered = true,
                }
                self.later(secs(lasts), Event::Calm(Calm::Platform));
                self.note_core();
            }
            Act::Answers { how, share, lasts } => {
                self.tell_span(lasts, format!("{share} of answers {} for {lasts} s", how.word()));
                self.judge.trouble(Where::Workers, now, now + secs(lasts));
                self.spoils.push((how, share));
                self.later(secs(lasts), Event::Calm(Calm::Answers(how, share)));
            }
            Act::Config { change, first, wipe_for, operator } => {
                self.tell_span(0.0, format!("operator {operator}: {change:?}"));
                self.configure(&change, first, wipe_for);
            }
            Act::Replace { who, after } => {
                for node in self.named(&who) {
                    let Node::Core(n) = node else { continue };
                    let (name, zone) = (self.cores[n].name.clone(), self.cores[n].zone);
                    self.tell_span(after, format!("{name} is replaced after {after} s"));
                    self.judge.trouble(Where::Core, now, now + secs(after));
                    self.core_down(n, Power::Silent);
                    self.cores[n].gone = Some(now);
                    let listed = now + secs(after + self.scenario.timers.seed_lag);
                    let new = self.add_core(format!("{name}-new"), zone, listed);
                    self.later(secs(after), Event::Start(Node::Core(new)));
                }
                self.note_core();
            }
            Act::Disk { who, slow, full, lasts } => {
                for node in self.named(&who) {
                    let Node::Core(n) = node else { continue };
                    let what = format!("disk of {}: x{slow}, full {full}, for {lasts} s", self.name(node));
                    self.tell_span(lasts, what);
                    self.judge.trouble(Where::Core, now, now + secs(lasts));
                    let core = &mut self.cores[n];
                    (core.disk_slow, core.disk_full) = (slow.max(1.0), full);
                    self.later(secs(lasts), Event::Calm(Calm::Disk(n)));
                }
            }
        }
    }

    fn harm(&mut self, a: &str, b: &str, lasts: f64, hurt: Hurt) {
        let a = self.named(a);
        let b = if b == "rest" {
            let inside =
                |node: &Node| matches!(node, Node::Edge(_) | Node::Core(_) | Node::Host(_) | Node::Platform);
            let mut all = self.who("edge*,core*,host*,platform");
            all.retain(|node| inside(node) && !a.contains(node));
            all
        } else {
            self.named(b)
        };
        let (now, until) = (self.now, self.now + secs(lasts));
        let core = |nodes: &[Node]| nodes.iter().any(|node| matches!(node, Node::Core(_)));
        let edges =
            |nodes: &[Node]| nodes.iter().any(|node| matches!(node, Node::Edge(_) | Node::Clients(_)));
        let host = |nodes: &[Node]| nodes.iter().any(|node| matches!(node, Node::Host(_)));
        let mut places = Vec::new();
        if core(&a) && core(&b) {
            places.push(Where::Core);
        }
        // A single edge machine off is its own trouble; a harm to many of their links is all of theirs.
        let single = [&a, &b].into_iter().find(|side| matches!(side.as_slice(), [Node::Edge(_)]));
        match single {
            Some(side) => places.extend(side.iter().map(|node| World::place(*node))),
            None if edges(&a) || edges(&b) => places.push(Where::Links),
            None => {}
        }
        if host(&a) || host(&b) {
            places.extend([Where::Workers, Where::WorkerLinks]);
        }
        if a.contains(&Node::Platform) || b.contains(&Node::Platform) {
            places.push(Where::Platform);
        }
        for place in places {
            self.judge.trouble(place, now, until);
        }
        let Hurt { cut, one_way, loss, delay } = hurt;
        let harm = self.net.harm(Harm { a, b, cut, one_way, loss, delay });
        self.at(until, Event::Mend(harm));
        self.note_core();
    }

    pub(super) fn kill(&mut self, node: Node, how: Down, lasts: Option<f64>) {
        let now = self.now;
        let words = match how {
            Down::Killed => "is killed",
            Down::Power => "loses power",
            Down::Wiped => "loses its disk",
        };
        let back = lasts.map_or("for good".into(), |lasts| format!("for {lasts} s"));
        self.tell_span(lasts.unwrap_or(1e6), format!("{} {words} {back}", self.name(node)));
        let until = lasts.map_or(self.end, |lasts| now + secs(lasts));
        self.judge.trouble(World::place(node), now, until);
        let up = if how == Down::Killed { Power::Refuses } else { Power::Silent };
        match node {
            Node::Edge(n) => self.edge_down(n, up),
            Node::Core(n) => {
                self.core_down(n, up);
                if how == Down::Wiped {
                    self.cores[n].disk = DiskState::default();
                    self.cores[n].disks += 1;
                }
            }
            _ => return,
        }
        if lasts.is_some() {
            self.at(until, Event::Start(node));
        }
    }

    pub(super) fn edge_down(&mut self, n: usize, up: Power) {
        let Some(edge) = self.edges.get_mut(n) else { return };
        let life = edge.life;
        edge.life += 1;
        edge.up = up;
        edge.frozen = None;
        edge.wake = None;
        let Some(running) = edge.running.take() else { return };
        self.see_all();
        if up == Power::Refuses {
            for attempt in running.desk.attempts() {
                self.send_broke(n, attempt);
            }
            self.drop_runs(n, life);
        }
    }

    pub(super) fn core_down(&mut self, n: usize, up: Power) {
        let Some(core) = self.cores.get_mut(n) else { return };
        core.life += 1;
        core.up = up;
        core.frozen = None;
        core.wake = None;
        core.controller = None;
        core.calls.clear();
        self.note_core();
    }

    /// SIGTERM to a core machine at first: it gives the duty up and says so; later, whether it has ended by itself.
    pub(super) fn core_ends(&mut self, n: usize, life: u64) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(n).filter(|core| core.life == life) else { return };
        let (local, name) = (now - core.born, core.name.clone());
        let Some(controller) = core.controller.as_mut() else { return };
        match core.leaves {
            None => {
                controller.control_store.leave(local);
                core.leaves = Some(local);
                let back = core.restarts_after.unwrap_or_default().as_secs_f64();
                self.tell_span(back, format!("{name} is stopped"));
                self.settle_core(n);
            }
            Some(began) if controller.may_end(local, began) => {
                let back = core.restarts_after.take().unwrap_or_default();
                self.judge.planned(Where::Core, now, now + back);
                self.core_down(n, Power::Refuses);
                return self.later(back, Event::Start(Node::Core(n)));
            }
            Some(_) => {}
        }
        self.later(Duration::from_millis(20), Event::CoreEnds { core: n, life });
    }

    /// SIGTERM to an edge machine at first; later, whether it has ended by itself.
    pub(super) fn ends(&mut self, n: usize, life: u64) {
        let now = self.now;
        let grace = secs(self.scenario.timers.grace);
        let Some(edge) = self.edges.get_mut(n).filter(|edge| edge.life == life) else { return };
        let name = edge.name.clone();
        let Some(running) = edge.running.as_mut() else { return };
        let local = now - running.born;
        if !running.leaves {
            running.leaves = true;
            running.desk.terminate(local);
            running.page.serves(local, 0);
            self.see_all();
            let after = self.edges[n].restarts_after.unwrap_or_default();
            self.judge.stopped(n, life, now, now + grace + after);
            self.tell_span((grace / 2 + after).as_secs_f64(), format!("{name} is stopped"));
            return self.later(Duration::from_millis(50), Event::Ends { edge: n, life });
        }
        let ends = running.desk.leave(local) || self.planted == Some(Planted::LeavesAtOnce);
        self.settle_edge(n);
        if !ends {
            return self.later(Duration::from_millis(50), Event::Ends { edge: n, life });
        }
        let after = self.edges[n].restarts_after.take().unwrap_or_default();
        self.tell(format!("{name} has ended"));
        self.edge_down(n, Power::Refuses);
        self.later(after, Event::Start(Node::Edge(n)));
    }

    pub(super) fn calm(&mut self, calm: Calm) {
        match calm {
            Calm::Burst { route, zone, by } => {
                let same = (route, zone, by);
                if let Some(at) = self.bursts.iter().position(|burst| *burst == same) {
                    self.bursts.remove(at);
                }
            }
            Calm::Platform => {
                self.platform.moods = Moods::default();
                self.note_core();
            }
            Calm::Answers(how, share) => {
                if let Some(at) = self.spoils.iter().position(|spoil| *spoil == (how, share)) {
                    self.spoils.remove(at);
                }
            }
            Calm::Disk(n) => {
                if let Some(core) = self.cores.get_mut(n) {
                    (core.disk_slow, core.disk_full) = (1.0, false);
                }
            }
        }
    }
}
