//! The judge: it sees what clients, workers, the operator and the platform see, and nothing of what is inside machines.

use crate::operator::Version;
use crate::scenario::Timers;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Limit,
    Twice,
    Refused,
    Drain,
    Config,
    Route,
    Budget,
    /// Two held the duty at once.
    Fence,
    Served,
    Aim,
    Holder,
    Acked,
    Recover,
    Starts,
    Left,
    /// The scenario is not what it says.
    Scenario,
}

/// Something that does not hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    /// Seconds from the start of traffic.
    pub at: f64,
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.2}: {}", self.rule, self.at, self.what)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    Edge(usize),
    Core,
    /// Links of edges, or of clients.
    Links,
    Workers,
    Platform,
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    place: Where,
    from: Duration,
    to: Duration,
}

pub struct Asked {
    pub sent: Duration,
    pub route: String,
    pub path: String,
    pub once: bool,
    pub aim: Duration,
    pub end: Duration,
    pub served: Option<Duration>,
    pub refused: bool,
    pub tries: usize,
}

pub struct Try {
    pub request: usize,
    pub edge: usize,
    /// Of the edge's processes, when they read it.
    pub life: u64,
    pub sent: Duration,
    pub runs: usize,
    pub promised: Option<Duration>,
}

/// What showed which configuration was in force: a run at a service, or a 404.
struct Effect {
    at: Duration,
    attempt: usize,
    service: Option<String>,
}

pub struct Judge {
    pub timers: Timers,
    pub lead: Duration,
    pub asked: Vec<Asked>,
    pub tries: Vec<Try>,
    pub versions: Vec<Version>,
    pub findings: Vec<Finding>,
    troubles: Vec<Trouble>,
    effects: Vec<Effect>,
    /// Turned away because all slots were at work: time and function.
    pub full: Vec<(Duration, String)>,
    /// Turned away because a new connection held a slot.
    pub brushed: usize,
    /// Arrivals at workers, whether it was the first of its try.
    arrivals: Vec<(Duration, String, bool)>,
    late: Vec<(Duration, Duration, usize)>,
    /// When the platform was asked for its list, and by which number.
    pub reads: Vec<(Duration, u64)>,
    highest: (u64, Duration),
    pub core_well: Vec<(Duration, bool)>,
    pub shown: Option<Vec<u8>>,
}

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

impl Judge {
    pub fn new(timers: Timers, lead: Duration) -> Judge {
        Judge {
            timers,
            lead,
            asked: Vec::new(),
            tries: Vec::new(),
            versions: Vec::new(),
            findings: Vec::new(),
            troubles: Vec::new(),
            effects: Vec::new(),
            full: Vec::new(),
            brushed: 0,
            arrivals: Vec::new(),
            late: Vec::new(),
            reads: Vec::new(),
            highest: (0, Duration::ZERO),
            core_well: Vec::new(),
            shown: None,
        }
    }

    pub fn at(&self, time: Duration) -> f64 {
        time.as_secs_f64() - self.lead.as_secs_f64()
    }

    pub fn find(&mut self, rule: Rule, at: Duration, what: String) {
        let at = self.at(at);
        self.findings.push(Finding { rule, at, what });
    }

    pub fn trouble(&mut self, place: Where, from: Duration, to: Duration) {
        self.troubles.push(Trouble { place, from, to });
    }

    /// Whether there was trouble of this kind within `before` of the span.
    fn troubled(
        &self,
        from: Duration,
        to: Duration,
        before: Duration,
        which: impl Fn(Where) -> bool,
    ) -> bool {
        self.troubles.iter().any(|t| which(t.place) && t.from <= to && t.to + before >= from)
    }

    pub fn last_trouble(&self) -> Option<Duration> {
        self.troubles.iter().map(|trouble| trouble.to).max()
    }

    fn in_touch(&self, edge: usize, from: Duration, to: Duration) -> bool {
        let contact = secs(self.timers.contact);
        !self.troubled(from, to, contact, |place| {
            matches!(place, Where::Core | Where::Links) || place == Where::Edge(edge)
        })
    }

    /// A worker took a request in, or another has its address.
    pub fn arrived(
        &mut self,
        now: Duration,
        attempt: usize,
        service: &str,
        first: bool,
        drains: Option<Duration>,
    ) {
        self.arrivals.push((now, service.to_string(), first));
        if let Some(shown) = drains {
            if now > shown + secs(self.timers.drain) {
                let edge = self.tries.get(attempt).map_or(0, |t| t.edge);
                self.late.push((now, shown, edge));
            }
        }
    }

    pub fn ran(&mut self, now: Duration, attempt: usize, service: &str) {
        let Some(tried) = self.tries.get_mut(attempt) else { return };
        tried.runs += 1;
        let (request, runs) = (tried.request, tried.runs);
        let promised = tried.promised;
        let Some(asked) = self.asked.get(request) else { return };
        let (once, path) = (asked.once, asked.path.clone());
        if once && runs > 1 {
            self.find(Rule::Twice, now, format!("try {attempt} on {path} ran {runs} times"));
        }
        if once && promised.is_some() {
            self.find(Rule::Refused, now, format!("try {attempt} on {path} runs after its 503"));
        }
        if !self
            .versions
            .iter()
            .any(|version| version.sent.is_some() && version.paths.get(&path).is_some_and(|s| s == service))
        {
            self.find(Rule::Route, now, format!("try {attempt} on {path} runs at {service}"));
        }
        self.effects.push(Effect { at: now, attempt, service: Some(service.to_string()) });
    }

    pub fn promised(&mut self, now: Duration, attempt: usize) {
        let Some(tried) = self.tries.get_mut(attempt) else { return };
        tried.promised = Some(now);
        let (request, runs) = (tried.request, tried.runs);
        let Some(asked) = self.asked.get_mut(request) else { return };
        asked.refused = true;
        if asked.once && runs > 0 {
            let path = asked.path.clone();
            self.find(Rule::Refused, now, format!("try {attempt} on {path} got a 503 and had run"));
        }
    }

    pub fn not_found(&mut self, now: Duration, attempt: usize) {
        self.effects.push(Effect { at: now, attempt, service: None });
    }

    pub fn turned_away(&mut self, now: Duration, service: &str) {
        self.full.push((now, service.to_string()));
    }

    /// A start or stop at the platform under this number, sent at that time.
    pub fn duty(&mut self, now: Duration, sent: Duration, number: u64) {
        if number < self.highest.0 && sent > self.highest.1 {
            let newer = self.highest.0;
            self.find(
                Rule::Fence,
                now,
                format!("a call under {number} sent after one under {newer} was done"),
            );
        }
        if number > self.highest.0 {
            self.highest = (number, now);
        }
    }

    /// Most in some span of five seconds: number, end of the span, function.
    pub fn worst_limit(&self, anytime: bool) -> (usize, Duration, String) {
        let window = Duration::from_secs(5);
        let contact = secs(self.timers.contact);
        let mut by: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
        for (at, service) in &self.full {
            let excused = !anytime
                && self.troubled(*at, *at, contact, |place| {
                    matches!(place, Where::Edge(_) | Where::Links | Where::Workers)
                });
            if !excused {
                by.entry(service).or_default().push(*at);
            }
        }
        let mut worst = (0, Duration::ZERO, String::new());
        for (service, times) in by {
            let mut first = 0;
            for (last, at) in times.iter().enumerate() {
                while times[first] + window <= *at {
                    first += 1;
                }
                if last + 1 - first > worst.0 {
                    worst = (last + 1 - first, *at, service.to_string());
                }
            }
        }
        worst
    }

    /// Rules that are judged at the end, whatever a scenario expects.
    pub fn close(&mut self) {
        self.judge_drain();
        self.judge_budget();
        self.judge_effects();
        self.judge_shown();
    }

    fn judge_drain(&mut self) {
        for (at, shown, edge) in std::mem::take(&mut self.late) {
            let calm = !self.troubled(shown, at, Duration::ZERO, |place| place == Where::Platform);
            if calm && self.in_touch(edge, at, at) {
                let what =
                    format!("an arrival {:.2} s after the list showed the drain", (at - shown).as_secs_f64());
                self.find(Rule::Drain, at, what);
            }
        }
    }

    fn judge_budget(&mut self) {
        let window = secs(self.timers.budget_window);
        let mut by: BTreeMap<String, (Vec<Duration>, Vec<Duration>)> = BTreeMap::new();
        for (at, service, first) in &self.arrivals {
            let of = by.entry(service.clone()).or_default();
            if *first { &mut of.0 } else { &mut of.1 }.push(*at);
        }
        let mut found = Vec::new();
        for (service, (firsts, repeats)) in by {
            for (n, at) in repeats.iter().enumerate() {
                let from = at.saturating_sub(window);
                let many = n + 1 - repeats.partition_point(|t| *t <= from);
                let within = firsts.partition_point(|t| t <= at) - firsts.partition_point(|t| *t <= from);
                let allowed = self.timers.budget_ratio * within as f64 + self.timers.budget_slack;
                if many as f64 > allowed {
                    found.push((*at, format!("{service}: {many} further arrivals, {allowed:.0} allowed")));
                    break;
                }
            }
        }
        for (at, what) in found {
            self.find(Rule::Budget, at, what);
        }
    }

    /// Versions that handle a path this way.
    fn explain(&self, path: &str, service: &Option<String>) -> Vec<u64> {
        let mut all: Vec<u64> = (self.versions.iter())
            .filter(|version| version.valid && version.sent.is_some())
            .filter(|version| version.paths.get(path) == service.as_ref())
            .map(|version| version.revision)
            .collect();
        if service.is_none() {
            all.push(0);
        }
        all
    }

    fn judge_effects(&mut self) {
        let mut found = Vec::new();
        // What each life of an edge has shown: time and the lowest version that explains it.
        let mut lives: BTreeMap<(usize, u64), Vec<(Duration, u64)>> = BTreeMap::new();
        for effect in &self.effects {
            let Some(tried) = self.tries.get(effect.attempt) else { continue };
            let Some(asked) = self.asked.get(tried.request) else { continue };
            let may = self.explain(&asked.path, &effect.service);
            let how = effect.service.clone().unwrap_or_else(|| "404".into());
            let newest = may.iter().max().copied().unwrap_or(0);
            // The oldest version that may still be in force for this request.
            let calm = self.in_touch(tried.edge, tried.sent, effect.at);
            let own = self.troubled(tried.sent, effect.at, secs(self.timers.contact), |place| {
                matches!(place, Where::Links) || place == Where::Edge(tried.edge)
            });
            let bound = secs(self.timers.convergence + if calm { 0.0 } else { self.timers.stretch });
            let floor = (self.versions.iter())
                .filter(|version| version.acked.is_some_and(|acked| acked + bound < tried.sent))
                .map(|version| version.revision)
                .max()
                .unwrap_or(0);
            if newest < floor && !own {
                let what = format!("{} handled as {how}, as before revision {floor}", asked.path);
                found.push((effect.at, what));
            }
            let life = lives.entry((tried.edge, tried.life)).or_default();
            let slack = secs(self.timers.downgrade);
            let seen = life.iter().filter(|(at, _)| *at + slack < tried.sent).map(|(_, low)| *low).max();
            if seen.is_some_and(|seen| newest < seen) {
                found.push((effect.at, format!("{} handled as {how}: gone back", asked.path)));
            }
            if let Some(low) = may.iter().min().filter(|low| life.last().is_none_or(|last| **low > last.1)) {
                life.push((effect.at, *low));
            }
        }
        for (at, what) in found {
            self.find(Rule::Config, at, what);
        }
    }

    fn judge_shown(&mut self) {
        let end = self.lead;
        let newest = self.versions.iter().filter(|v| v.acked.is_some()).map(|v| v.revision).max();
        let Some(newest) = newest else { return };
        let Some(shown) = self.shown.clone() else {
            return self.find(Rule::Config, end, "nothing was shown at the end".into());
        };
        match self.versions.iter().find(|version| *version.text == *shown) {
            None => self.find(Rule::Config, end, "what was shown at the end was never sent".into()),
            Some(version) if version.revision < newest => {
                let what = format!("{} was shown at the end, {newest} was acknowledged", version.revision);
                self.find(Rule::Config, end, what);
            }
            Some(version) if !version.valid => {
                self.find(Rule::Config, end, "an invalid one is in force".into());
            }
            Some(_) => {}
        }
    }

    /// Requests which every configuration that may be in force allows.
    pub fn owed(&self, request: &Asked) -> bool {
        let acked = self.versions.iter().filter(|v| v.acked.is_some_and(|acked| acked <= request.sent));
        let floor = acked.map(|version| version.revision).max();
        let Some(floor) = floor else { return false };
        let settled =
            self.versions.iter().filter(|v| v.valid && v.sent.is_some_and(|sent| sent < request.end));
        settled
            .filter(|version| version.revision >= floor)
            .all(|version| version.paths.contains_key(&request.path))
            && self.added_long_ago(request)
    }

    /// A route just added is owed once the bound for its version is over.
    fn added_long_ago(&self, request: &Asked) -> bool {
        let first =
            self.versions.iter().filter(|v| v.paths.contains_key(&request.path)).min_by_key(|v| v.revision);
        let Some(first) = first else { return false };
        let oldest = self.versions.iter().map(|v| v.revision).min();
        Some(first.revision) == oldest
            || first.acked.is_some_and(|acked| acked + secs(self.timers.convergence) < request.sent)
    }

    /// The longest time without a look at the platform while the core was well.
    pub fn longest_gap(&self, end: Duration) -> (Duration, Duration) {
        let mut worst = (Duration::ZERO, Duration::ZERO);
        for (n, (from, well)) in self.core_well.iter().enumerate() {
            if !well {
                continue;
            }
            let to = self.core_well.get(n + 1).map_or(end, |next| next.0);
            let from = &(*from).max(self.lead);
            let mut last = *from;
            let reads = self.reads.iter().map(|read| read.0).filter(|at| at >= from && *at < to);
            for at in reads.chain([to]) {
                let gap = at.saturating_sub(last);
                if gap > worst.0 {
                    worst = (gap, last);
                }
                last = at;
            }
        }
        worst
    }
}
