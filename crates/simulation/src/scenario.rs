//! A scenario, parsed from text: one statement per line, `#` starts a comment.
//!
//! The setup: `title`, `length`, `lead` (seconds; times count from the start of traffic, which begins
//! `lead` after the machines), `zones NAME:REGION ...`, `edge ZONE N`, `core ZONE N`, `hosts ZONE N memory
//! MB`, `net`, `platform`, `timers`, `service`, `route`, `rebinding off|plan|holes|all`. Actions: `at
//! SECONDS ...`. Expectations: `expect ...`. The files in `scenarios/` show all of them.

use std::cell::RefCell;
use std::fmt;
use tindock_autoscaler::Rebinding;

/// Limits of a run: addresses run out beyond them, or it takes too long.
const MAX_ZONES: usize = 200;
const MAX_EDGES: usize = 200;
const MAX_CORES: usize = 64;
const MAX_HOSTS: usize = 1000;
const MAX_COPIES: usize = 4000;
const MAX_REQUESTS: usize = 1_000_000;

/// An error in a scenario. Lines and columns count from 1; 0 means the whole file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    pub line: usize,
    pub column: usize,
    pub kind: ScenarioErrorKind,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioErrorKind {
    /// Unknown word.
    Unknown(String),
    Missing(&'static str),
    NotANumber(String),
    /// Name that the scenario does not define.
    NoSuch(String),
    Twice(String),
    /// Limit of a run exceeded: what, and the maximum.
    TooMany(&'static str, usize),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (0, _) => {}
            (line, 0) => write!(f, "line {line}: ")?,
            (line, column) => write!(f, "line {line}, column {column}: ")?,
        }
        self.kind.fmt(f)
    }
}

impl fmt::Display for ScenarioErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioErrorKind::Unknown(word) => write!(f, "{word}: unknown word"),
            ScenarioErrorKind::Missing(what) => write!(f, "{what} is missing"),
            ScenarioErrorKind::NotANumber(word) => write!(f, "{word}: not a number"),
            ScenarioErrorKind::NoSuch(name) => write!(f, "{name}: unknown name"),
            ScenarioErrorKind::Twice(name) => write!(f, "{name}: already defined"),
            ScenarioErrorKind::TooMany(what, most) => write!(f, "{what}: at most {most}"),
        }
    }
}

/// One-way delays in ms, loss as a share of packets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkSettings {
    pub zone: f64,
    pub cross: f64,
    pub region: f64,
    pub client: f64,
    pub loss: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformModelSettings {
    /// List calls per second.
    pub rate: f64,
    /// Starts and stops per second.
    pub call_rate: f64,
    /// Delay of the lists, seconds.
    pub lag: f64,
    /// Number of addresses for workers.
    pub addresses: usize,
    /// Probability that a new connection holds a slot, and for how many ms.
    pub brief_hold: (f64, f64),
}

/// Bounds of the rules, in seconds unless the name says otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timers {
    /// Longest time for which requests may arrive after the list shows a drain.
    pub drain: f64,
    /// Longest time from an acknowledgement until the configuration is in force everywhere.
    pub convergence: f64,
    /// Time after a disturbance until a machine counts as in contact again.
    pub contact: f64,
    /// Time until the platform reuses a freed address.
    pub reuse: f64,
    /// Time from SIGTERM to SIGKILL.
    pub grace: f64,
    /// Added to `convergence` for machines out of contact.
    pub stretch: f64,
    /// Time for which an edge machine may still show an older configuration.
    pub downgrade: f64,
    pub ack: f64,
    /// Delay of the operator's list of core machines.
    pub seed_lag: f64,
    /// Retry budget: share of the requests, allowance on top, and window.
    pub budget_ratio: f64,
    pub budget_slack: f64,
    pub budget_window: f64,
    /// Time allowed for recovery after the machines are back.
    pub recovery: f64,
    /// Age at which a request counts as read.
    pub loss_slack: f64,
    /// Disk write time of a core machine, ms.
    pub sync_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLine {
    pub name: String,
    /// With more than one copy, names get a number: `ledger-1` and so on.
    pub copies: usize,
    pub slots: u32,
    pub memory: u32,
    pub boot: u32,
    pub spread: f64,
    /// Coefficient of variation of the instances' speeds; 0 if all are equal.
    pub uneven: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RouteLine {
    pub name: String,
    pub service: String,
    pub once: bool,
    pub aim: u32,
    pub deadline: u32,
    pub timeout: u32,
    pub work: f64,
    pub priority: u8,
    pub retries: u8,
    /// Requests per second over all zones.
    pub rate: f64,
    /// Exponent of the copies' shares, which fall as 1 / k^skew.
    pub skew: f64,
}

/// How a machine goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Its processes are killed: connections are reset.
    Killed,
    /// It loses power and does not respond at all.
    PowerLoss,
    /// It loses power and its disk content.
    DiskLost,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Changes only route timeouts.
    Touch,
    Move {
        route: String,
        to: String,
    },
    Add {
        route: String,
        to: String,
        rate: f64,
    },
    Drop {
        route: String,
    },
    /// An invalid configuration.
    Invalid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    /// Lists are older by this many seconds.
    Late,
    /// Lists take this many seconds longer.
    Slow,
    /// Lists are refused.
    Refused,
    /// Starts and stops are refused.
    CallsRefused,
    /// No answer to anything.
    Silent,
    /// Starts and stops are executed, but their answers are lost.
    Unanswered,
}

/// Faults that workers apply to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection is reset before the first byte.
    Lost,
    /// The connection ends within the answer.
    Cut,
    /// Only a part is sent, and the connection stays open.
    Stalled,
    /// The bytes are not a valid answer.
    Garbled,
    /// A success without a seal.
    Unsealed,
    /// The answer is sent again before the next one on the connection.
    Surplus,
    /// A 500, or a 503 without the `Not-Executed` header.
    Failed,
}

impl AnswerFault {
    pub const ALL: [AnswerFault; 7] = [
        AnswerFault::Lost,
        AnswerFault::Cut,
        AnswerFault::Stalled,
        AnswerFault::Garbled,
        AnswerFault::Unsealed,
        AnswerFault::Surplus,
        AnswerFault::Failed,
    ];

    pub fn keyword(self) -> &'static str {
        match self {
            AnswerFault::Lost => "lost",
            AnswerFault::Cut => "cut",
            AnswerFault::Stalled => "stalled",
            AnswerFault::Garbled => "garbled",
            AnswerFault::Unsealed => "unsealed",
            AnswerFault::Surplus => "surplus",
            AnswerFault::Failed => "failed",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioAction {
    Kill {
        machines: String,
        duration: Option<f64>,
        kind: Outage,
    },
    Freeze {
        machines: String,
        duration: f64,
    },
    /// SIGTERM to each machine in turn, `gap` seconds apart; each starts again `duration` seconds after its
    /// end.
    Roll {
        machines: String,
        gap: f64,
        duration: f64,
    },
    Cut {
        a: String,
        b: String,
        /// Only what `a` sends to `b` is lost.
        one_way: bool,
        duration: f64,
    },
    /// Packet loss and delay between two sides.
    LinkFault {
        a: String,
        b: String,
        loss: f64,
        delay: f64,
        duration: f64,
    },
    /// More requests on one route or all, in one zone or all.
    Burst {
        route: String,
        zone: Option<String>,
        factor: f64,
        duration: f64,
    },
    Drain {
        host: String,
    },
    Crash {
        host: String,
        duration: f64,
        silent: bool,
    },
    Platform {
        kind: PlatformFault,
        seconds: f64,
        duration: f64,
    },
    /// Workers run the requests but apply a fault to this share of their answers.
    Answers {
        kind: AnswerFault,
        share: f64,
        duration: f64,
    },
    /// Sent first to the machine in `first`, if set. With `wipe_for`, the machine that acknowledges it
    /// loses its disk at once.
    Config {
        change: Change,
        first: Option<String>,
        wipe_for: Option<f64>,
        operator: usize,
    },
    /// A core machine is removed permanently, and an empty one starts at another address.
    Replace {
        machines: String,
        after: f64,
    },
    Disk {
        machines: String,
        slow: f64,
        full: bool,
        duration: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expectation {
    /// Share of the requests sent between these times (seconds), on this route or all.
    Served {
        least: f64,
        route: Option<String>,
        from: f64,
        to: f64,
    },
    Aim {
        least: f64,
        route: Option<String>,
        from: f64,
        to: f64,
    },
    Limit {
        most: usize,
        anytime: bool,
    },
    Holder {
        within: f64,
    },
    Acked {
        within: f64,
    },
    Configuration,
    Doubled,
    Drain,
    Budget,
    Starts {
        most: usize,
    },
    /// Instances at the end.
    Left {
        most: usize,
    },
    Recovered {
        within: f64,
    },
    /// At least this many addresses went to another service: verifies that the scenario exercises address
    /// reuse.
    Reused {
        least: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub title: String,
    pub length: f64,
    pub warm_up: f64,
    pub zones: Vec<(String, String)>,
    pub edges: Vec<(String, usize)>,
    pub cores: Vec<(String, usize)>,
    pub hosts: Vec<(String, usize, u32)>,
    pub net: NetworkSettings,
    pub platform: PlatformModelSettings,
    pub timers: Timers,
    pub services: Vec<ServiceLine>,
    pub routes: Vec<RouteLine>,
    /// What the autoscaler may move.
    pub rebinding: Rebinding,
    pub actions: Vec<(f64, ScenarioAction)>,
    pub expectations: Vec<(usize, Expectation)>,
}

/// The words of one line, with a record of which were read; unread words are errors.
struct Line<'a> {
    number: usize,
    /// Columns and words.
    words: Vec<(usize, &'a str)>,
    used: RefCell<Vec<bool>>,
}

impl<'a> Line<'a> {
    fn new(number: usize, text: &'a str) -> Line<'a> {
        let text = text.split('#').next().unwrap_or_default();
        let column = |word: &str| word.as_ptr() as usize - text.as_ptr() as usize;
        let words: Vec<(usize, &str)> =
            text.split_whitespace().map(|word| (text[..column(word)].chars().count() + 1, word)).collect();
        let used = RefCell::new(vec![false; words.len()]);
        Line { number, words, used }
    }

    /// The rest of the line after the first `n` words.
    fn rest(&self, n: usize) -> Line<'a> {
        let words = self.words.get(n..).unwrap_or_default().to_vec();
        let used = RefCell::new(vec![false; words.len()]);
        Line { number: self.number, words, used }
    }

    fn mark_used(&self, at: usize) {
        if let Some(used) = self.used.borrow_mut().get_mut(at) {
            *used = true;
        }
    }

    fn mark_all_used(&self) {
        self.used.borrow_mut().fill(true);
    }

    /// Reports the first word that was not read.
    fn check_all_used(&self) -> Result<(), ScenarioError> {
        let used = self.used.borrow();
        match self.words.iter().zip(used.iter()).find(|(_, used)| !**used) {
            Some(((column, word), _)) => Err(ScenarioError {
                line: self.number,
                column: *column,
                kind: ScenarioErrorKind::Unknown(word.to_string()),
            }),
            None => Ok(()),
        }
    }

    /// Error at this word, or at the end of the line if there is no such word.
    fn error_at<T>(&self, at: usize, kind: ScenarioErrorKind) -> Result<T, ScenarioError> {
        let after = self.words.last().map_or(1, |(column, word)| column + word.chars().count());
        let column = self.words.get(at).map_or(after, |word| word.0);
        Err(ScenarioError { line: self.number, column, kind })
    }

    fn word(&self, at: usize, what: &'static str) -> Result<&'a str, ScenarioError> {
        self.mark_used(at);
        match self.words.get(at) {
            Some((_, word)) => Ok(word),
            None => self.error_at(at, ScenarioErrorKind::Missing(what)),
        }
    }

    fn unknown<T>(&self, at: usize) -> Result<T, ScenarioError> {
        let word = self.words.get(at).map_or("", |word| word.1);
        self.error_at(at, ScenarioErrorKind::Unknown(word.to_string()))
    }

    fn name(&self, at: usize, what: &'static str) -> Result<String, ScenarioError> {
        self.word(at, what).map(str::to_string)
    }

    fn number(&self, at: usize, what: &'static str) -> Result<f64, ScenarioError> {
        let word = self.word(at, what)?;
        match word.trim_start_matches('x').parse::<f64>() {
            Ok(number) if number.is_finite() && (0.0..=1e9).contains(&number) => Ok(number),
            _ => self.error_at(at, ScenarioErrorKind::NotANumber(word.to_string())),
        }
    }

    fn bounded(&self, at: usize, what: &'static str, most: usize) -> Result<f64, ScenarioError> {
        let number = self.number(at, what)?;
        if number > most as f64 {
            return self.error_at(at, ScenarioErrorKind::TooMany(what, most));
        }
        Ok(number)
    }

    fn count(&self, at: usize, what: &'static str, most: usize) -> Result<usize, ScenarioError> {
        self.bounded(at, what, most).map(|number| number as usize)
    }

    fn place(&self, key: &str) -> Option<usize> {
        let at = self.words.iter().skip(1).position(|word| word.1 == key)? + 1;
        self.mark_used(at);
        Some(at)
    }

    fn has(&self, key: &str) -> bool {
        self.place(key).is_some()
    }

    /// The word after a key.
    fn after(&self, key: &'static str) -> Result<Option<&'a str>, ScenarioError> {
        self.place(key).map(|at| self.word(at + 1, key)).transpose()
    }

    fn value(&self, key: &'static str) -> Result<Option<f64>, ScenarioError> {
        self.place(key).map(|at| self.number(at + 1, key)).transpose()
    }

    fn or(&self, key: &'static str, otherwise: f64) -> Result<f64, ScenarioError> {
        Ok(self.value(key)?.unwrap_or(otherwise))
    }

    fn need(&self, key: &'static str) -> Result<f64, ScenarioError> {
        match self.value(key)? {
            Some(value) => Ok(value),
            None => self.error_at(usize::MAX, ScenarioErrorKind::Missing(key)),
        }
    }
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            title: String::new(),
            length: 20.0,
            warm_up: 6.0,
            zones: Vec::new(),
            edges: Vec::new(),
            cores: Vec::new(),
            hosts: Vec::new(),
            net: NetworkSettings { zone: 0.2, cross: 0.5, region: 8.0, client: 1.0, loss: 0.0 },
            platform: PlatformModelSettings {
                rate: 27.0,
                call_rate: 150.0,
                lag: 0.8,
                addresses: 4000,
                brief_hold: (0.0, 0.0),
            },
            timers: Timers {
                drain: 3.0,
                convergence: 3.0,
                contact: 4.0,
                reuse: 2.0,
                grace: 6.0,
                stretch: 12.0,
                downgrade: 0.25,
                ack: 5.0,
                seed_lag: 3.0,
                budget_ratio: 0.2,
                budget_slack: 58.0,
                budget_window: 10.0,
                recovery: 10.0,
                loss_slack: 0.5,
                sync_ms: 1.0,
            },
            services: Vec::new(),
            routes: Vec::new(),
            rebinding: Rebinding::Off,
            actions: Vec::new(),
            expectations: Vec::new(),
        }
    }
}

impl Scenario {
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let mut scenario = Scenario::default();
        for (at, line) in text.lines().enumerate() {
            let line = Line::new(at + 1, line);
            if !line.words.is_empty() {
                scenario.line(&line)?;
            }
        }
        scenario.validate(text)?;
        Ok(scenario)
    }

    /// Checks for missing statements, unknown names and limits.
    fn validate(&self, text: &str) -> Result<(), ScenarioError> {
        let about = |kind| Err(ScenarioError { line: 0, column: 0, kind });
        if self.zones.is_empty() {
            return about(ScenarioErrorKind::Missing("zones"));
        }
        let total = |counts: &[(String, usize)]| counts.iter().map(|(_, count)| count).sum::<usize>();
        for (what, count, most) in [
            ("edge", total(&self.edges), MAX_EDGES),
            ("core", total(&self.cores), MAX_CORES),
            ("hosts", self.hosts.iter().map(|hosts| hosts.1).sum(), MAX_HOSTS),
        ] {
            match count {
                0 if what != "hosts" => return about(ScenarioErrorKind::Missing(what)),
                count if count > most => return about(ScenarioErrorKind::TooMany(what, most)),
                _ => {}
            }
        }
        if self.services.is_empty() {
            return about(ScenarioErrorKind::Missing("service"));
        }
        if self.zones.len() > MAX_ZONES {
            return about(ScenarioErrorKind::TooMany("zones", MAX_ZONES));
        }
        let copies: usize = self.services.iter().map(|service| service.copies).sum();
        if copies > MAX_COPIES {
            return about(ScenarioErrorKind::TooMany("copies of services", MAX_COPIES));
        }
        if self.requests() > MAX_REQUESTS as f64 {
            return about(ScenarioErrorKind::TooMany("requests in a run", MAX_REQUESTS));
        }
        for (number, line) in text.lines().enumerate() {
            let line = Line::new(number + 1, line);
            self.check_names(&line, &line.words.iter().map(|word| word.1).collect::<Vec<_>>())?;
        }
        Ok(())
    }

    /// Expected number of requests in a run.
    fn requests(&self) -> f64 {
        let of = |route: &str| {
            let bursts = self.actions.iter().filter_map(|(_, action)| match action {
                ScenarioAction::Burst { route: of, factor, duration, .. } if of == "all" || of == route => {
                    Some(factor.max(1.0) * duration.min(self.length) / self.length.max(0.001))
                }
                _ => None,
            });
            1.0 + bursts.sum::<f64>()
        };
        let added = self.actions.iter().filter_map(|(_, action)| match action {
            ScenarioAction::Config { change: Change::Add { rate, .. }, .. } => Some(*rate),
            _ => None,
        });
        let rates = self.routes.iter().map(|route| route.rate * of(&route.name)).sum::<f64>();
        (rates + added.sum::<f64>()) * self.length
    }

    /// Checks that the names in one line are defined.
    fn check_names(&self, line: &Line, words: &[&str]) -> Result<(), ScenarioError> {
        let no_such = |at: usize| line.error_at(at, ScenarioErrorKind::NoSuch(words[at].to_string()));
        let zone = |name: &str| self.zones.iter().any(|(zone, _)| zone == name);
        let service = |name: &str| self.services.iter().any(|service| service.name == name);
        let route = |name: &str| {
            let added = self.actions.iter().any(|(_, action)| {
                matches!(
                    action,
                    ScenarioAction::Config { change: Change::Add { route, .. }, .. } if route == name
                )
            });
            added || self.routes.iter().any(|route| route.name == name)
        };
        let key = |key: &str| words.iter().position(|word| *word == key).map(|at| at + 1);
        match words {
            ["edge" | "core" | "hosts", name, ..] if !zone(name) => no_such(1),
            ["route", ..] => match key("on").filter(|at| *at < words.len()) {
                Some(at) if !service(words[at]) => no_such(at),
                _ => Ok(()),
            },
            ["at", _, "burst", name, ..] if *name != "all" && !route(name) => no_such(3),
            ["at", _, "burst", ..] => match key("in").filter(|at| *at < words.len()) {
                Some(at) if !zone(words[at]) => no_such(at),
                _ => Ok(()),
            },
            ["at", _, "config", "move", name, ..] | ["at", _, "config", "drop", name, ..] if !route(name) => {
                no_such(4)
            }
            ["at", _, "config", "move" | "add", _, to, ..] if !service(to) => no_such(5),
            ["at", _, "config", ..] => match key("to").filter(|at| *at < words.len()) {
                Some(at) if !self.machine(words[at]) => no_such(at),
                _ => Ok(()),
            },
            ["at", _, "kill" | "wipe" | "freeze" | "roll" | "drain" | "crash" | "replace" | "disk", name, ..]
                if !self.machine(name) =>
            {
                no_such(3)
            }
            ["at", _, "cut" | "harm", a, ..] if !self.machine(a) => no_such(3),
            ["at", _, "cut" | "harm", _, b, ..] if *b != "rest" && !self.machine(b) => no_such(4),
            ["expect", ..] => match key("route").filter(|at| *at < words.len()) {
                Some(at) if !route(words[at]) => no_such(at),
                _ => Ok(()),
            },
            _ => Ok(()),
        }
    }

    /// Whether each word names a machine; a machine that joins later counts as well.
    fn machine(&self, words: &str) -> bool {
        let numbered = |kind: &str, of: &[(String, usize)]| -> Vec<String> {
            let each = |(zone, count): &(String, usize)| {
                (1..=*count).map(|n| format!("{kind}-{zone}-{n}")).collect::<Vec<_>>()
            };
            of.iter().flat_map(each).collect()
        };
        let hosts: Vec<(String, usize)> =
            self.hosts.iter().map(|(zone, count, _)| (zone.clone(), *count)).collect();
        let mut all = numbered("edge", &self.edges);
        all.extend(numbered("core", &self.cores));
        all.extend(numbered("host", &hosts));
        all.extend(self.zones.iter().map(|(zone, _)| format!("clients-{zone}")));
        all.extend(["platform", "operator", "holder", "acker", "clients"].map(str::to_string));
        words.split(',').all(|word| {
            let word = word.strip_prefix("half:").unwrap_or(word);
            match (word.strip_prefix("zone:"), word.strip_suffix('*')) {
                (Some(zone), _) => self.zones.iter().any(|(name, _)| name == zone),
                (_, Some(begin)) => all.iter().any(|name| name.starts_with(begin)),
                _ => all.iter().any(|name| name == word.strip_suffix("-new").unwrap_or(word)),
            }
        })
    }

    fn line(&mut self, line: &Line) -> Result<(), ScenarioError> {
        match line.word(0, "a word")? {
            "title" => {
                line.mark_all_used();
                self.title = line.words[1..].iter().map(|word| word.1).collect::<Vec<_>>().join(" ");
            }
            "length" => self.length = line.bounded(1, "seconds", 600)?,
            "lead" => self.warm_up = line.bounded(1, "seconds", 60)?,
            "zones" => {
                line.mark_all_used();
                for (at, (_, word)) in line.words.iter().enumerate().skip(1) {
                    let (zone, region) = word.split_once(':').unwrap_or((word, "region"));
                    if self.zones.iter().any(|(name, _)| name == zone) {
                        return line.error_at(at, ScenarioErrorKind::Twice(zone.to_string()));
                    }
                    self.zones.push((zone.to_string(), region.to_string()));
                }
                self.zones.sort();
            }
            "edge" => self.edges.push((line.name(1, "zone")?, line.count(2, "how many", MAX_EDGES)?)),
            "core" => self.cores.push((line.name(1, "zone")?, line.count(2, "how many", MAX_CORES)?)),
            "hosts" => {
                let memory = line.need("memory")? as u32;
                self.hosts.push((line.name(1, "zone")?, line.count(2, "how many", MAX_HOSTS)?, memory));
            }
            "net" => {
                let net = &mut self.net;
                net.zone = line.or("zone", net.zone)?;
                net.cross = line.or("cross", net.cross)?;
                net.region = line.or("region", net.region)?;
                net.client = line.or("client", net.client)?;
                net.loss = line.or("loss", net.loss)?;
            }
            "platform" => {
                let platform = &mut self.platform;
                platform.rate = line.or("rate", platform.rate)?;
                platform.call_rate = line.or("duty", platform.call_rate)?;
                platform.lag = line.or("lag", platform.lag)?;
                platform.addresses =
                    line.or("addresses", platform.addresses as f64)?.clamp(1.0, 60_000.0) as usize;
                platform.brief_hold = (line.or("brush", 0.0)?, line.or("brush-ms", 5.0)?);
            }
            "timers" => {
                let timers = &mut self.timers;
                timers.drain = line.or("drain", timers.drain)?;
                timers.convergence = line.or("convergence", timers.convergence)?;
                timers.contact = line.or("contact", timers.contact)?;
                timers.reuse = line.or("reuse", timers.reuse)?;
                timers.grace = line.or("grace", timers.grace)?;
                timers.stretch = line.or("stretch", timers.stretch)?;
                timers.downgrade = line.or("downgrade", timers.downgrade)?;
                timers.ack = line.or("ack", timers.ack)?;
                timers.seed_lag = line.or("seed-lag", timers.seed_lag)?;
                timers.budget_ratio = line.or("budget-ratio", timers.budget_ratio)?;
                timers.budget_slack = line.or("budget-slack", timers.budget_slack)?;
                timers.budget_window = line.or("budget-window", timers.budget_window)?;
                timers.recovery = line.or("recovery", timers.recovery)?;
                timers.loss_slack = line.or("loss-slack", timers.loss_slack)?;
                timers.sync_ms = line.or("sync-ms", timers.sync_ms)?;
            }
            "service" => self.services.push(ServiceLine {
                name: line.name(1, "name")?,
                copies: line.or("copies", 1.0)?.clamp(1.0, 2000.0) as usize,
                slots: line.need("slots")? as u32,
                memory: line.or("memory", 256.0)? as u32,
                boot: line.or("boot", 1000.0)? as u32,
                spread: line.or("spread", 0.3)?,
                uneven: line.or("uneven", 0.0)?,
            }),
            "route" => self.routes.push(RouteLine {
                name: line.name(1, "name")?,
                service: match line.after("on")? {
                    Some(service) => service.to_string(),
                    None => return line.error_at(usize::MAX, ScenarioErrorKind::Missing("on")),
                },
                once: line.has("once"),
                aim: line.or("aim", 400.0)? as u32,
                deadline: line.or("deadline", 4000.0)? as u32,
                timeout: line.or("timeout", 4000.0)?.max(1.0) as u32,
                work: line.or("work", 60.0)?,
                priority: line.or("priority", 2.0)? as u8,
                retries: line.or("retries", 2.0)? as u8,
                rate: line.or("rate", 0.0)?,
                skew: line.or("skew", 0.9)?,
            }),
            "rebinding" => {
                self.rebinding = match line.word(1, "off, plan, holes or all")? {
                    "off" => Rebinding::Off,
                    "plan" => Rebinding::Plan,
                    "holes" => Rebinding::Holes,
                    "all" => Rebinding::All,
                    other => return line.error_at(1, ScenarioErrorKind::Unknown(other.to_string())),
                }
            }
            "at" => {
                let at = line.number(1, "seconds")?;
                let rest = line.rest(2);
                let action = action(&rest)?;
                rest.check_all_used()?;
                line.mark_all_used();
                self.actions.push((at, action));
            }
            "expect" => {
                let rest = line.rest(1);
                let expectation = expect(&rest)?;
                rest.check_all_used()?;
                line.mark_all_used();
                self.expectations.push((line.number, expectation));
            }
            _ => return line.unknown(0),
        }
        line.check_all_used()
    }
}

fn action(line: &Line) -> Result<ScenarioAction, ScenarioError> {
    let name = || line.name(1, "who");
    let duration = || line.need("for");
    Ok(match line.word(0, "what happens")? {
        word @ ("kill" | "wipe") => ScenarioAction::Kill {
            machines: name()?,
            duration: line.value("for")?,
            kind: match word {
                "wipe" => Outage::DiskLost,
                _ if line.has("power") => Outage::PowerLoss,
                _ => Outage::Killed,
            },
        },
        "freeze" => ScenarioAction::Freeze { machines: name()?, duration: duration()? },
        "roll" => ScenarioAction::Roll {
            machines: name()?,
            gap: line.or("gap", 1.0)?,
            duration: line.or("for", 1.0)?,
        },
        "cut" => ScenarioAction::Cut {
            a: name()?,
            b: line.name(2, "from whom")?,
            one_way: line.has("one-way"),
            duration: duration()?,
        },
        "harm" => ScenarioAction::LinkFault {
            a: name()?,
            b: line.name(2, "with whom")?,
            loss: line.or("loss", 0.0)?,
            delay: line.or("delay", 0.0)?,
            duration: duration()?,
        },
        "burst" => ScenarioAction::Burst {
            route: name()?,
            zone: line.after("in")?.map(str::to_string),
            factor: line.number(2, "how much")?,
            duration: duration()?,
        },
        "drain" => ScenarioAction::Drain { host: name()? },
        "crash" => ScenarioAction::Crash {
            host: name()?,
            duration: line.or("for", 1e6)?,
            silent: line.has("silent"),
        },
        word @ ("late" | "slow" | "refuse" | "silence" | "lose") => {
            let kind = match (word, line.word(1, "what")?) {
                ("late", "list") => PlatformFault::Late,
                ("slow", "list") => PlatformFault::Slow,
                ("refuse", "list") => PlatformFault::Refused,
                ("refuse", "calls") => PlatformFault::CallsRefused,
                ("lose", "calls") => PlatformFault::Unanswered,
                ("silence", "platform") => PlatformFault::Silent,
                ("lose", "answers") => {
                    let share = line.number(2, "share")?;
                    return Ok(ScenarioAction::Answers {
                        kind: AnswerFault::Lost,
                        share,
                        duration: duration()?,
                    });
                }
                _ => return line.unknown(1),
            };
            ScenarioAction::Platform { kind, seconds: line.or("by", 1.0)?, duration: duration()? }
        }
        "spoil" => {
            let word = line.word(1, "how")?;
            match AnswerFault::ALL.into_iter().find(|kind| kind.keyword() == word) {
                Some(kind) => {
                    ScenarioAction::Answers { kind, share: line.number(2, "share")?, duration: duration()? }
                }
                None => return line.unknown(1),
            }
        }
        "config" => {
            let change = match line.word(1, "which change")? {
                "touch" => Change::Touch,
                "invalid" => Change::Invalid,
                "drop" => Change::Drop { route: line.name(2, "route")? },
                "move" => Change::Move { route: line.name(2, "route")?, to: line.name(3, "service")? },
                "add" => Change::Add {
                    route: line.name(2, "route")?,
                    to: line.name(3, "service")?,
                    rate: line.or("rate", 5.0)?,
                },
                _ => return line.unknown(1),
            };
            ScenarioAction::Config {
                change,
                first: line.after("to")?.map(str::to_string),
                wipe_for: line.value("wipe")?,
                operator: line.or("by", 1.0)? as usize,
            }
        }
        "replace" => ScenarioAction::Replace { machines: name()?, after: line.or("after", 0.5)? },
        "disk" => ScenarioAction::Disk {
            machines: name()?,
            slow: line.or("slow", 1.0)?,
            full: line.has("full"),
            duration: duration()?,
        },
        _ => return line.unknown(0),
    })
}

fn expect(line: &Line) -> Result<Expectation, ScenarioError> {
    // The comparison sign in "served >= 0.97" and "limit <= 10" is not parsed.
    let bound = |at: usize| {
        line.mark_used(at);
        line.number(at + 1, "a bound")
    };
    let kept = |at: usize, word: &'static str| match line.word(at, word)? {
        found if found == word => Ok(()),
        _ => line.unknown(at),
    };
    let route = line.after("route")?.map(str::to_string);
    let from = line.or("from", 0.0)?;
    let to = line.or("to", 1e9)?;
    Ok(match line.word(0, "what must hold")? {
        "served" => Expectation::Served { least: bound(1)?, route, from, to },
        "aim" => Expectation::Aim { least: bound(1)?, route, from, to },
        "limit" if line.has("anytime") => Expectation::Limit { most: bound(2)? as usize, anytime: true },
        "limit" => Expectation::Limit { most: bound(1)? as usize, anytime: false },
        "holder" => Expectation::Holder { within: line.need("within")? },
        "acked" => Expectation::Acked { within: line.need("within")? },
        "recovered" => Expectation::Recovered { within: line.need("within")? },
        "configuration" => kept(1, "kept").map(|()| Expectation::Configuration)?,
        "never" => kept(1, "doubled").map(|()| Expectation::Doubled)?,
        "drain" => kept(1, "kept").map(|()| Expectation::Drain)?,
        "budget" => kept(1, "kept").map(|()| Expectation::Budget)?,
        "starts" => Expectation::Starts { most: bound(1)? as usize },
        "left" => Expectation::Left { most: bound(1)? as usize },
        "reused" => Expectation::Reused { least: bound(1)? as usize },
        _ => return line.unknown(0),
    })
}
