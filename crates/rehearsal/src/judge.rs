//! The judge: it sees what clients, workers, the operator and the platform see, and nothing of what is inside machines.

use crate::notes::hash;
use crate::operator::Version;
use crate::scenario::Timers;
use crate::wire::{self, Message};
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
    Mixed,
    Lost,
    Denied,
    Unasked,
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
    /// Links to workers, cut or harmed: what goes over them is held up.
    WorkerLinks,
    Platform,
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    place: Where,
    from: Duration,
    to: Duration,
    /// A stop in order: a machine out of touch, and no excuse.
    planned: bool,
}

pub struct Asked {
    pub sent: Duration,
    pub route: String,
    pub path: String,
    /// Path and query, and what was posted.
    pub target: String,
    pub body: Vec<u8>,
    pub once: bool,
    pub aim: Duration,
    pub end: Duration,
    /// Of its route.
    pub timeout: Duration,
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
    /// The client's connection ended without a whole answer.
    pub ended: Option<Duration>,
    /// It came to a worker.
    passed: bool,
    /// A worker's connection ended, or what came on it was no whole answer.
    broke: bool,
    /// Its last run: begin and end.
    work: Option<(Duration, Option<Duration>)>,
    given: Vec<Given>,
}

impl Try {
    pub fn new(request: usize, edge: usize, life: u64, sent: Duration) -> Try {
        Try {
            request,
            edge,
            life,
            sent,
            runs: 0,
            promised: None,
            ended: None,
            passed: false,
            broke: false,
            work: None,
            given: Vec::new(),
        }
    }
}

/// A worker's answer, as it was before anything happened to it.
struct Given {
    status: u16,
    seal: Option<String>,
    body: u64,
}

fn digest(body: &[u8]) -> u64 {
    hash(&String::from_utf8_lossy(body))
}

/// Refusals that promise that nothing has run. (409 is for a key at work, which nobody here has.)
const PROMISES: [u16; 4] = [408, 421, 429, 503];

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
    /// Arrivals at instances that the list showed as draining: when, since when it did, and the edge machine.
    while_draining: Vec<(Duration, Duration, usize)>,
    /// How long after the list showed a drain the last request came of a machine in touch.
    pub last_while_draining: Duration,
    /// When the platform was asked for its list, and by which number.
    pub reads: Vec<(Duration, u64)>,
    highest: (u64, Duration),
    pub core_well: Vec<(Duration, bool)>,
    pub shown: Option<Vec<u8>>,
    /// SIGTERM to an edge machine's processes.
    stops: Vec<(usize, u64, Duration)>,
    /// Ended with a 3xx or 4xx that promises nothing.
    denied: Vec<(Duration, usize, u16)>,
}

/// A request that is sent so long after SIGTERM may still be unlucky with its worker; a later one is not to be taken on.
const SENT_EARLY: Duration = Duration::from_secs(3);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

fn overlaps<'a>(
    mut troubles: impl Iterator<Item = &'a Trouble>,
    from: Duration,
    to: Duration,
    before: Duration,
    which: impl Fn(Where) -> bool,
) -> bool {
    troubles.any(|t| which(t.place) && t.from <= to && t.to + before >= from)
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
            while_draining: Vec::new(),
            last_while_draining: Duration::ZERO,
            reads: Vec::new(),
            highest: (0, Duration::ZERO),
            core_well: Vec::new(),
            shown: None,
            stops: Vec::new(),
            denied: Vec::new(),
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
        self.troubles.push(Trouble { place, from, to, planned: false });
    }

    /// A stop in order takes a machine out of touch and excuses nothing else.
    pub fn planned(&mut self, place: Where, from: Duration, to: Duration) {
        self.troubles.push(Trouble { place, from, to, planned: true });
    }

    /// SIGTERM to the processes of an edge machine, which are back at the latest then.
    pub fn stopped(&mut self, edge: usize, life: u64, now: Duration, back: Duration) {
        self.planned(Where::Edge(edge), now, back);
        self.stops.push((edge, life, now));
    }

    /// Whether there was unplanned trouble of this kind within `before` of the span.
    fn troubled(
        &self,
        from: Duration,
        to: Duration,
        before: Duration,
        which: impl Fn(Where) -> bool,
    ) -> bool {
        let unplanned = self.troubles.iter().filter(|t| !t.planned);
        overlaps(unplanned, from, to, before, which)
    }

    pub fn last_trouble(&self) -> Option<Duration> {
        self.troubles.iter().filter(|trouble| !trouble.planned).map(|trouble| trouble.to).max()
    }

    fn in_touch(&self, edge: usize, from: Duration, to: Duration) -> bool {
        let contact = secs(self.timers.contact);
        !overlaps(self.troubles.iter(), from, to, contact, |place| {
            matches!(place, Where::Core | Where::Links) || place == Where::Edge(edge)
        })
    }

    /// A worker begins to work on a request, with so many bytes after it.
    pub fn worked_on(&mut self, now: Duration, attempt: usize, request: &Message, surplus: usize) {
        let Some(asked) = self.tries.get(attempt).and_then(|tried| self.asked.get(tried.request)) else {
            return;
        };
        let method = if asked.once { "POST" } else { "GET" };
        let differs = if request.first != format!("{method} {} HTTP/1.1", asked.target) {
            format!("as {:?} instead of {method} {}", request.first, asked.target)
        } else if request.body != asked.body {
            format!("with {} bytes of body instead of {}", request.body.len(), asked.body.len())
        } else if surplus > 0 {
            format!("with {surplus} bytes after it, which are a request of nobody's")
        } else {
            return;
        };
        self.find(Rule::Unasked, now, format!("a worker runs try {attempt} {differs}"));
    }

    pub fn worked(&mut self, now: Duration, attempt: usize) {
        if let Some((_, end)) = self.tries.get_mut(attempt).and_then(|tried| tried.work.as_mut()) {
            *end = Some(now);
        }
    }

    /// A worker's connection for this try ended early, or it sent no answer.
    pub fn broke_off(&mut self, attempt: usize) {
        if let Some(tried) = self.tries.get_mut(attempt) {
            tried.broke = true;
        }
    }

    pub fn answered(&mut self, attempt: usize, status: u16, seal: Option<&str>, body: &[u8]) {
        if let Some(tried) = self.tries.get_mut(attempt) {
            tried.given.push(Given { status, seal: seal.map(str::to_string), body: digest(body) });
        }
    }

    /// What came to a client was no answer, or more than one.
    pub fn no_answer(&mut self, now: Duration, attempt: usize, what: &str) {
        if self.tries.get(attempt).is_some_and(|tried| !tried.broke) {
            self.find(Rule::Mixed, now, format!("try {attempt} got {what}"));
        }
    }

    /// A whole answer came to the client that waits for this one.
    pub fn got(&mut self, now: Duration, attempt: usize, answer: &Message) {
        let status = answer.status();
        let Some(tried) = self.tries.get(attempt) else { return };
        let (seal, body) = (answer.header("Server-Seal"), digest(&answer.body));
        let id = wire::id(attempt);
        let foreign = answer.header("Attempt-Id").is_some_and(|own| own != id);
        let whole = |given: &&Given| {
            given.status == status
                && given.seal.as_deref() == seal
                && given.seal.is_some()
                && given.body == body
        };
        let what = if foreign {
            "an answer to another request"
        } else if !(200..300).contains(&status) {
            ""
        } else if seal.is_none() {
            "a success without a seal"
        } else if !tried.given.iter().any(|given| whole(&given)) {
            "a success that no worker gave, whole, to it"
        } else {
            ""
        };
        if !what.is_empty() {
            self.find(Rule::Mixed, now, format!("try {attempt} got {what} ({status})"));
        }
        if PROMISES.contains(&status) {
            self.promised(now, attempt, status);
        } else if (300..500).contains(&status) && status != 409 {
            self.denied.push((now, attempt, status));
            if status == 404 {
                self.effects.push(Effect { at: now, attempt, service: None });
            }
        }
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
        if let Some(tried) = self.tries.get_mut(attempt) {
            tried.passed = true;
        }
        if let Some(shown) = drains {
            let edge = self.tries.get(attempt).map_or(0, |t| t.edge);
            self.while_draining.push((now, shown, edge));
        }
    }

    pub fn ran(&mut self, now: Duration, attempt: usize, service: &str) {
        let Some(tried) = self.tries.get_mut(attempt) else { return };
        tried.runs += 1;
        tried.work = Some((now, None));
        let (request, runs) = (tried.request, tried.runs);
        let promised = tried.promised;
        let Some(asked) = self.asked.get(request) else { return };
        let (once, path) = (asked.once, asked.path.clone());
        if once && runs > 1 {
            self.find(Rule::Twice, now, format!("try {attempt} on {path} ran {runs} times"));
        }
        if once && promised.is_some() {
            self.find(Rule::Refused, now, format!("try {attempt} on {path} runs after its refusal"));
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

    fn promised(&mut self, now: Duration, attempt: usize, status: u16) {
        let Some(tried) = self.tries.get_mut(attempt) else { return };
        tried.promised = Some(now);
        let (request, runs) = (tried.request, tried.runs);
        let Some(asked) = self.asked.get_mut(request) else { return };
        asked.refused = true;
        if asked.once && runs > 0 {
            let path = asked.path.clone();
            self.find(Rule::Refused, now, format!("try {attempt} on {path} got a {status} and had run"));
        }
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
    pub fn close(&mut self, owed: &[bool]) {
        self.judge_drain();
        self.judge_budget();
        self.judge_effects();
        self.judge_shown();
        self.judge_denied(owed);
        self.judge_added();
        self.judge_lost();
    }

    /// Proper requests, turned down by machines in touch though every configuration that may be in
    /// force allows them.
    fn judge_denied(&mut self, owed: &[bool]) {
        let allowed = 5 + self.asked.len() / 500;
        let counts = |(at, attempt, _): &&(Duration, usize, u16)| {
            let tried = &self.tries[*attempt];
            owed[tried.request] && self.in_touch(tried.edge, tried.sent, *at)
        };
        let denied: Vec<_> = self.denied.iter().filter(counts).copied().collect();
        if let Some((at, _, status)) = denied.get(allowed) {
            let what = format!("{} turned down, {allowed} allowed, this one with {status}", denied.len());
            self.find(Rule::Denied, *at, what);
        }
    }

    /// Routes added later are to be served as the first ones are, in calm times.
    fn judge_added(&mut self) {
        let first = self.versions.first().map(|first| first.paths.clone()).unwrap_or_default();
        let mut shares = [(0usize, 0usize); 2];
        let contact = secs(self.timers.contact);
        for asked in self.asked.iter().filter(|asked| self.owed(asked)) {
            if self.troubled(asked.sent, asked.end, contact, |_| true) {
                continue;
            }
            let of = &mut shares[usize::from(!first.contains_key(&asked.path))];
            of.0 += 1;
            of.1 += usize::from(asked.served.is_some());
        }
        let [(of_first, first), (of_added, added)] = shares;
        if of_added >= 20 && added * of_first * 4 < first * of_added {
            let what = format!(
                "{added} of {of_added} served on routes added later, {first} of {of_first} on the first"
            );
            self.find(Rule::Config, self.lead, what);
        }
    }

    /// Requests read whole by machines that stopped in order, or took in a configuration, and ended
    /// without an answer.
    fn judge_lost(&mut self) {
        let contact = secs(self.timers.contact);
        let grace = secs(self.timers.grace);
        let mut found = Vec::new();
        // By machine: within the spans of configurations, the first of them, and at other times.
        let mut by: BTreeMap<usize, (usize, Duration, usize)> = BTreeMap::new();
        for (attempt, tried) in self.tries.iter().enumerate() {
            let (Some(at), false) = (tried.ended, tried.broke) else { continue };
            let asked = &self.asked[tried.request];
            let read = tried.passed || at > tried.sent + secs(self.timers.loss_slack);
            let late = at >= asked.end || at >= tried.sent + asked.timeout;
            if !read || late || self.troubled(tried.sent, at, contact, |_| true) {
                continue;
            }
            let within = |stop: &&(usize, u64, Duration)| {
                (stop.0, stop.1) == (tried.edge, tried.life)
                    && at >= stop.2
                    && at <= stop.2 + grace + Duration::from_secs(1)
            };
            if let Some((.., stop)) = self.stops.iter().find(within) {
                let last_sixth = *stop + grace.mul_f64(5.0 / 6.0);
                let is_at_work =
                    |end: Option<Duration>| at >= last_sixth && end.is_none_or(|end| end > last_sixth);
                let at_work = tried.work.is_some_and(|(_, end)| is_at_work(end));
                let early = tried.sent <= *stop + SENT_EARLY;
                if !(at_work && early) {
                    let what = format!("try {attempt} on {} ended without an answer", asked.path);
                    found.push((at, format!("{what}, {:.2} s after a SIGTERM", (at - *stop).as_secs_f64())));
                }
                continue;
            }
            let spans = self.versions.iter().filter(|version| version.valid);
            let in_span =
                spans.filter_map(|version| Some((version.sent?, version.acked))).any(|(sent, acked)| {
                    let to = acked.map(|acked| acked + secs(self.timers.convergence + 1.0));
                    at >= sent && to.is_none_or(|to| at <= to)
                });
            let of = by.entry(tried.edge).or_insert((0, at, 0));
            if in_span {
                of.0 += 1;
            } else {
                of.2 += 1;
            }
        }
        for (edge, (inside, at, outside)) in by {
            if inside > 3 * outside {
                let what = format!("edge machine {edge}: {inside} without an answer around configurations");
                found.push((at, format!("{what}, {outside} at other times")));
            }
        }
        for (at, what) in found {
            self.find(Rule::Lost, at, what);
        }
    }

    /// After each loss of machines: a quarter served before, and under a quarter once they are back
    /// for long enough.
    pub fn judge_recovery(&mut self, end: Duration, owed: &[bool]) {
        let share = |from: Duration, to: Duration| {
            let within =
                self.asked.iter().zip(owed).filter(|(a, owed)| **owed && a.sent >= from && a.sent < to);
            let (sent, served) = within.fold((0usize, 0usize), |(sent, served), (asked, _)| {
                (sent + 1, served + usize::from(asked.served.is_some()))
            });
            (sent >= 20).then_some(served as f64 / sent as f64)
        };
        let losses =
            self.troubles.iter().filter(|t| !t.planned && matches!(t.place, Where::Edge(_) | Where::Core));
        let mut found = None;
        for loss in losses.filter(|loss| loss.to < end) {
            // Of those that overlap, the last one back counts; the next loss ends what is looked at.
            let others = || self.troubles.iter().filter(|t| !t.planned);
            let back = others().filter(|t| t.from <= loss.to).map(|t| t.to).max().unwrap_or(loss.to);
            let from = back + secs(self.timers.recovery);
            let to = others().filter(|t| t.from > loss.to).map(|t| t.from).min().unwrap_or(end).min(end);
            let (Some(before), Some(after)) = (share(self.lead, loss.from), share(from, to)) else {
                continue;
            };
            if before >= 0.25 && after < 0.25 {
                found = Some((
                    from,
                    format!("{after:.2} served after the machines are back, {before:.2} before"),
                ));
                break;
            }
        }
        if let Some((at, what)) = found {
            self.find(Rule::Recover, at, what);
        }
    }

    fn judge_drain(&mut self) {
        for (at, shown, edge) in std::mem::take(&mut self.while_draining) {
            let calm = !self.troubled(shown, at, Duration::ZERO, |place| place == Where::Platform);
            let contact = secs(self.timers.contact);
            let held_up = self.troubled(at, at, contact, |place| place == Where::WorkerLinks);
            if !calm || held_up || !self.in_touch(edge, at, at) {
                continue;
            }
            let after = at.saturating_sub(shown);
            self.last_while_draining = self.last_while_draining.max(after);
            if after > secs(self.timers.drain) {
                let what = format!("an arrival {:.2} s after the list showed the drain", after.as_secs_f64());
                self.find(Rule::Drain, at, what);
            }
        }
    }

    /// Arrivals beyond the first of each try, against the tries that clients sent on routes to the
    /// service: in the window of
    /// the arrivals, the one before it, or the one half a window before, whichever has the most.
    fn judge_budget(&mut self) {
        let window = secs(self.timers.budget_window);
        let mut sent: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
        for tried in &self.tries {
            let Some(asked) = self.asked.get(tried.request) else { continue };
            let mut services: Vec<&str> = (self.versions.iter())
                .filter(|version| version.valid && version.sent.is_some())
                .filter_map(|version| version.paths.get(&asked.path).map(String::as_str))
                .collect();
            services.sort_unstable();
            services.dedup();
            for service in services {
                sent.entry(service).or_default().push(tried.sent);
            }
        }
        let mut repeats: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
        for (at, service, _) in self.arrivals.iter().filter(|(.., first)| !first) {
            repeats.entry(service).or_default().push(*at);
        }
        let mut found = Vec::new();
        for (service, repeats) in repeats {
            let sent = sent.get(service).map_or(&[][..], Vec::as_slice);
            let within = |back: Duration, at: Duration| {
                let (from, to) = (at.checked_sub(window + back), at.saturating_sub(back));
                sent.partition_point(|t| *t <= to)
                    - from.map_or(0, |from| sent.partition_point(|t| *t <= from))
            };
            for (n, at) in repeats.iter().enumerate() {
                let from = at.saturating_sub(window);
                let many = n + 1 - repeats.partition_point(|t| *t <= from);
                let most =
                    [Duration::ZERO, window / 2, window].map(|back| within(back, *at)).into_iter().max();
                let allowed = self.timers.budget_ratio * most.unwrap_or(0) as f64 + self.timers.budget_slack;
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

    /// What the operator is shown at the end. What is gone after a loss of core machines is LOST as well.
    fn judge_shown(&mut self) {
        let end = self.lead;
        let newest = self.versions.iter().filter(|v| v.acked.is_some()).map(|v| v.revision).max();
        let Some(newest) = newest else { return };
        let shown = self.shown.as_ref().map(|shown| self.versions.iter().find(|v| *v.text == **shown));
        let (gone, what) = match shown {
            None => (true, "nothing was shown at the end".to_string()),
            Some(None) => (false, "what was shown at the end was never sent".into()),
            Some(Some(version)) if version.revision < newest => {
                (true, format!("{} was shown at the end, {newest} was acknowledged", version.revision))
            }
            Some(Some(version)) if !version.valid => (false, "an invalid one is in force".into()),
            Some(Some(_)) => return,
        };
        if gone && self.troubles.iter().any(|t| !t.planned && t.place == Where::Core) {
            self.find(Rule::Lost, end, what.clone());
        }
        self.find(Rule::Config, end, what);
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
