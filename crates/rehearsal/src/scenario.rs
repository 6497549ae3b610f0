//! A scenario, read from text: one line says one thing, `#` begins a remark.
//!
//! The place: `title`, `length`, `lead` (seconds; times count from the start of traffic, which comes `lead` after the
//! machines), `zones NAME:REGION ...`, `edge ZONE N`, `core ZONE N`, `hosts ZONE N memory MB`, `net`, `platform`,
//! `timers`, `service`, `route`. What happens: `at SECONDS ...`. What must hold: `expect ...`. The scenarios in
//! `scenarios/` show all of them.

use std::fmt;

/// What is wrong with a scenario, and in which line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub wrong: Wrong,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// No such word here.
    Unknown(String),
    Missing(&'static str),
    NotANumber(String),
    /// Nothing in the scenario has this name.
    NoSuch(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        match &self.wrong {
            Wrong::Unknown(word) => write!(f, "{word}: no such word here"),
            Wrong::Missing(what) => write!(f, "{what} is missing"),
            Wrong::NotANumber(word) => write!(f, "{word}: not a number"),
            Wrong::NoSuch(name) => write!(f, "{name}: nothing here has this name"),
        }
    }
}

/// Delays in ms one way, loss as a share of packets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetTerms {
    pub zone: f64,
    pub cross: f64,
    pub region: f64,
    pub client: f64,
    pub loss: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformTerms {
    /// Calls for lists a second.
    pub rate: f64,
    /// Starts and stops a second.
    pub duty: f64,
    /// How late lists are, seconds.
    pub lag: f64,
    /// Addresses there are for workers.
    pub addresses: usize,
    /// A new connection holds a slot so often, for so many ms.
    pub brush: (f64, f64),
}

/// Bounds of the rules, in seconds unless the name says otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timers {
    pub drain: f64,
    pub convergence: f64,
    pub contact: f64,
    pub reuse: f64,
    pub grace: f64,
    pub stretch: f64,
    pub downgrade: f64,
    pub ack: f64,
    pub seed_lag: f64,
    pub budget_ratio: f64,
    pub budget_slack: f64,
    pub budget_window: f64,
    /// Milliseconds that the disk of a core machine takes.
    pub sync_ms: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLine {
    pub name: String,
    /// With more than one, names get a number: `ledger-1` and so on.
    pub copies: usize,
    pub slots: u32,
    pub memory: u32,
    pub boot: u32,
    pub spread: f64,
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
    /// Requests a second over all zones.
    pub rate: f64,
    /// Of the copies' shares, which fall as 1 / k^skew.
    pub skew: f64,
}

/// How a machine goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Down {
    /// Its processes are killed: connections are reset.
    Killed,
    /// Without power: it says nothing any more.
    Power,
    /// Without power, and its disk is lost.
    Wiped,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// New times, nothing else.
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
    /// Cannot be valid.
    Invalid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lists {
    /// Shows what was so much earlier.
    Late,
    /// Takes so long to answer.
    Slow,
    Refused,
    /// Starts and stops are refused.
    CallsRefused,
    /// No answer to anything.
    Silent,
    /// Begun and stopped, and the answer is lost.
    Unanswered,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Kill {
        who: String,
        lasts: Option<f64>,
        how: Down,
    },
    Freeze {
        who: String,
        lasts: f64,
    },
    /// SIGTERM to each in turn, so many seconds apart; started again so long after its end.
    Roll {
        who: String,
        gap: f64,
        lasts: f64,
    },
    Cut {
        a: String,
        b: String,
        lasts: f64,
    },
    Harm {
        a: String,
        b: String,
        loss: f64,
        delay: f64,
        lasts: f64,
    },
    /// Of a route or of all, in one zone or in all.
    Burst {
        route: String,
        zone: Option<String>,
        by: f64,
        lasts: f64,
    },
    Drain {
        host: String,
    },
    Crash {
        host: String,
        lasts: f64,
        silent: bool,
    },
    Platform {
        how: Lists,
        by: f64,
        lasts: f64,
    },
    /// Workers run, and so large a share of answers is lost.
    Answers {
        share: f64,
        lasts: f64,
    },
    /// Sent at first to this machine, if one is named; `then`: whoever acknowledges it loses its disk at once.
    Config {
        change: Change,
        first: Option<String>,
        wipe_for: Option<f64>,
        operator: usize,
    },
    /// A core machine goes for good, and an empty one comes at another address.
    Replace {
        who: String,
        after: f64,
    },
    Disk {
        who: String,
        slow: f64,
        full: bool,
        lasts: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Expect {
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
    /// Addresses were in fact given to other services at least so often: shows that the scenario is what it says.
    Reused {
        least: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    pub title: String,
    pub length: f64,
    pub lead: f64,
    pub zones: Vec<(String, String)>,
    pub edges: Vec<(String, usize)>,
    pub cores: Vec<(String, usize)>,
    pub hosts: Vec<(String, usize, u32)>,
    pub net: NetTerms,
    pub platform: PlatformTerms,
    pub timers: Timers,
    pub services: Vec<ServiceLine>,
    pub routes: Vec<RouteLine>,
    pub acts: Vec<(f64, Act)>,
    pub expects: Vec<(usize, Expect)>,
}

/// The words of one line.
struct Line<'a> {
    number: usize,
    words: Vec<&'a str>,
}

impl<'a> Line<'a> {
    fn fault<T>(&self, wrong: Wrong) -> Result<T, Fault> {
        Err(Fault { line: self.number, wrong })
    }

    fn word(&self, at: usize, what: &'static str) -> Result<&'a str, Fault> {
        match self.words.get(at) {
            Some(word) => Ok(word),
            None => self.fault(Wrong::Missing(what)),
        }
    }

    fn name(&self, at: usize, what: &'static str) -> Result<String, Fault> {
        self.word(at, what).map(str::to_string)
    }

    fn parse(&self, word: &str) -> Result<f64, Fault> {
        match word.trim_start_matches('x').parse::<f64>() {
            Ok(number) if number.is_finite() && (0.0..=1e9).contains(&number) => Ok(number),
            _ => self.fault(Wrong::NotANumber(word.to_string())),
        }
    }

    fn number(&self, at: usize, what: &'static str) -> Result<f64, Fault> {
        self.parse(self.word(at, what)?)
    }

    fn has(&self, key: &str) -> bool {
        self.words.contains(&key)
    }

    /// The word after a key.
    fn after(&self, key: &str) -> Option<&'a str> {
        let at = self.words.iter().position(|word| *word == key)?;
        self.words.get(at + 1).copied()
    }

    fn value(&self, key: &'static str) -> Result<Option<f64>, Fault> {
        match self.after(key) {
            Some(word) => self.parse(word).map(Some),
            None if self.has(key) => self.fault(Wrong::Missing(key)),
            None => Ok(None),
        }
    }

    fn or(&self, key: &'static str, otherwise: f64) -> Result<f64, Fault> {
        Ok(self.value(key)?.unwrap_or(otherwise))
    }

    fn need(&self, key: &'static str) -> Result<f64, Fault> {
        match self.value(key)? {
            Some(value) => Ok(value),
            None => self.fault(Wrong::Missing(key)),
        }
    }
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            title: String::new(),
            length: 20.0,
            lead: 6.0,
            zones: Vec::new(),
            edges: Vec::new(),
            cores: Vec::new(),
            hosts: Vec::new(),
            net: NetTerms { zone: 0.2, cross: 0.5, region: 8.0, client: 1.0, loss: 0.0 },
            platform: PlatformTerms { rate: 27.0, duty: 150.0, lag: 0.8, addresses: 4000, brush: (0.0, 0.0) },
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
                sync_ms: 1.0,
            },
            services: Vec::new(),
            routes: Vec::new(),
            acts: Vec::new(),
            expects: Vec::new(),
        }
    }
}

impl Scenario {
    pub fn read(text: &str) -> Result<Scenario, Fault> {
        let mut scenario = Scenario::default();
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default();
            let line = Line { number: at + 1, words: line.split_whitespace().collect() };
            if !line.words.is_empty() {
                scenario.line(&line)?;
            }
        }
        scenario.whole()?;
        Ok(scenario)
    }

    /// What a scenario cannot be without, and names that nothing has.
    fn whole(&self) -> Result<(), Fault> {
        let missing = |what| Err(Fault { line: 0, wrong: Wrong::Missing(what) });
        if self.zones.is_empty() || self.zones.len() > 200 {
            return missing("zones");
        }
        if self.edges.is_empty() {
            return missing("edge");
        }
        if self.cores.is_empty() {
            return missing("core");
        }
        if self.services.is_empty() {
            return missing("service");
        }
        let of_zone = self.edges.iter().chain(&self.cores).map(|(zone, _)| zone);
        for zone in of_zone.chain(self.hosts.iter().map(|(zone, ..)| zone)) {
            if !self.zones.iter().any(|(name, _)| name == zone) {
                return Err(Fault { line: 0, wrong: Wrong::NoSuch(zone.clone()) });
            }
        }
        for route in &self.routes {
            if !self.services.iter().any(|service| service.name == route.service) {
                return Err(Fault { line: 0, wrong: Wrong::NoSuch(route.service.clone()) });
            }
        }
        Ok(())
    }

    fn line(&mut self, line: &Line) -> Result<(), Fault> {
        match line.word(0, "a word")? {
            "title" => self.title = line.words[1..].join(" "),
            "length" => self.length = line.number(1, "seconds")?.min(600.0),
            "lead" => self.lead = line.number(1, "seconds")?.min(60.0),
            "zones" => {
                for word in &line.words[1..] {
                    let (zone, region) = word.split_once(':').unwrap_or((word, "region"));
                    self.zones.push((zone.to_string(), region.to_string()));
                }
                self.zones.sort();
            }
            "edge" => self.edges.push((line.name(1, "zone")?, line.number(2, "how many")? as usize)),
            "core" => self.cores.push((line.name(1, "zone")?, line.number(2, "how many")? as usize)),
            "hosts" => {
                let memory = line.need("memory")? as u32;
                self.hosts.push((line.name(1, "zone")?, line.number(2, "how many")? as usize, memory));
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
                platform.duty = line.or("duty", platform.duty)?;
                platform.lag = line.or("lag", platform.lag)?;
                platform.addresses =
                    line.or("addresses", platform.addresses as f64)?.clamp(1.0, 60_000.0) as usize;
                platform.brush = (line.or("brush", 0.0)?, line.or("brush-ms", 5.0)?);
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
                timers.sync_ms = line.or("sync-ms", timers.sync_ms)?;
            }
            "service" => self.services.push(ServiceLine {
                name: line.name(1, "name")?,
                copies: line.or("copies", 1.0)?.clamp(1.0, 2000.0) as usize,
                slots: line.need("slots")? as u32,
                memory: line.or("memory", 256.0)? as u32,
                boot: line.or("boot", 1000.0)? as u32,
                spread: line.or("spread", 0.3)?,
            }),
            "route" => self.routes.push(RouteLine {
                name: line.name(1, "name")?,
                service: match line.after("on") {
                    Some(service) => service.to_string(),
                    None => return line.fault(Wrong::Missing("on")),
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
            "at" => {
                let at = line.number(1, "seconds")?;
                let act = act(&Line { number: line.number, words: line.words[2..].to_vec() })?;
                self.acts.push((at, act));
            }
            "expect" => {
                let expect = expect(&Line { number: line.number, words: line.words[1..].to_vec() })?;
                self.expects.push((line.number, expect));
            }
            other => return line.fault(Wrong::Unknown(other.to_string())),
        }
        Ok(())
    }
}

fn act(line: &Line) -> Result<Act, Fault> {
    let who = || line.name(1, "who");
    let lasts = || line.need("for");
    Ok(match line.word(0, "what happens")? {
        word @ ("kill" | "wipe") => Act::Kill {
            who: who()?,
            lasts: line.value("for")?,
            how: match word {
                "wipe" => Down::Wiped,
                _ if line.has("power") => Down::Power,
                _ => Down::Killed,
            },
        },
        "freeze" => Act::Freeze { who: who()?, lasts: lasts()? },
        "roll" => Act::Roll { who: who()?, gap: line.or("gap", 1.0)?, lasts: line.or("for", 1.0)? },
        "cut" => Act::Cut { a: who()?, b: line.name(2, "from whom")?, lasts: lasts()? },
        "harm" => Act::Harm {
            a: who()?,
            b: line.name(2, "with whom")?,
            loss: line.or("loss", 0.0)?,
            delay: line.or("delay", 0.0)?,
            lasts: lasts()?,
        },
        "burst" => Act::Burst {
            route: who()?,
            zone: line.after("in").map(str::to_string),
            by: line.number(2, "how much")?,
            lasts: lasts()?,
        },
        "drain" => Act::Drain { host: who()? },
        "crash" => Act::Crash { host: who()?, lasts: line.or("for", 1e6)?, silent: line.has("silent") },
        word @ ("late" | "slow" | "refuse" | "silence" | "lose") => {
            let how = match (word, line.word(1, "what")?) {
                ("late", "list") => Lists::Late,
                ("slow", "list") => Lists::Slow,
                ("refuse", "list") => Lists::Refused,
                ("refuse", "calls") => Lists::CallsRefused,
                ("lose", "calls") => Lists::Unanswered,
                ("silence", "platform") => Lists::Silent,
                ("lose", "answers") => {
                    return Ok(Act::Answers { share: line.number(2, "share")?, lasts: lasts()? })
                }
                (_, other) => return line.fault(Wrong::Unknown(other.to_string())),
            };
            Act::Platform { how, by: line.or("by", 1.0)?, lasts: lasts()? }
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
                other => return line.fault(Wrong::Unknown(other.to_string())),
            };
            Act::Config {
                change,
                first: line.after("to").map(str::to_string),
                wipe_for: line.value("wipe")?,
                operator: line.or("by", 1.0)? as usize,
            }
        }
        "replace" => Act::Replace { who: who()?, after: line.or("after", 0.5)? },
        "disk" => {
            Act::Disk { who: who()?, slow: line.or("slow", 1.0)?, full: line.has("full"), lasts: lasts()? }
        }
        other => return line.fault(Wrong::Unknown(other.to_string())),
    })
}

fn expect(line: &Line) -> Result<Expect, Fault> {
    // "served >= 0.97", "limit <= 10": the sign is for the reader.
    let bound = |at: usize| line.number(at + 1, "a bound");
    let route = line.after("route").map(str::to_string);
    let from = line.or("from", 0.0)?;
    let to = line.or("to", 1e9)?;
    Ok(match line.word(0, "what must hold")? {
        "served" => Expect::Served { least: bound(1)?, route, from, to },
        "aim" => Expect::Aim { least: bound(1)?, route, from, to },
        "limit" if line.has("anytime") => Expect::Limit { most: bound(2)? as usize, anytime: true },
        "limit" => Expect::Limit { most: bound(1)? as usize, anytime: false },
        "holder" => Expect::Holder { within: line.need("within")? },
        "acked" => Expect::Acked { within: line.need("within")? },
        "recovered" => Expect::Recovered { within: line.need("within")? },
        "configuration" => Expect::Configuration,
        "never" => Expect::Doubled,
        "drain" => Expect::Drain,
        "budget" => Expect::Budget,
        "starts" => Expect::Starts { most: bound(1)? as usize },
        "left" => Expect::Left { most: bound(1)? as usize },
        "reused" => Expect::Reused { least: bound(1)? as usize },
        other => return line.fault(Wrong::Unknown(other.to_string())),
    })
}
