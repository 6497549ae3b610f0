//! The scenario of a soak: the size of the deployment, its load, and the actions on its processes with their
//! times. It is generated from a seed or read from a TOML file; both are checked in the same way.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Zones of the deployment; proxies and controllers are distributed over them in turn.
pub const ZONES: usize = 3;
const MAX_SECONDS: f64 = 3_600.0;
/// Limited by the addresses of the simulated machines; a multiple of the number of zones.
const MAX_PROXIES: usize = 39;
const MAX_HOSTS: usize = 60;
const MAX_CONTROLLERS: usize = 7;
const MAX_CLIENTS: usize = 500;
const MAX_RATE: f64 = 2_000.0;
const MAX_ACTIONS: usize = 5_000;
const GRACE_S: [f64; 2] = [0.5, 60.0];

/// The kind of an action on the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ActionKind {
    /// SIGTERM to all processes of a machine.
    Terminate,
    /// SIGHUP to all processes of a machine.
    Hangup,
    /// SIGKILL to all processes of a machine.
    Kill,
    /// SIGSTOP to all processes of a machine, and SIGCONT after `for_s`.
    Freeze,
    /// The operator sends another configuration.
    Change,
    /// A worker host is drained; it is up again after `for_s`.
    DrainHost,
    /// A worker host crashes; it is up again after `for_s`.
    CrashHost,
}

/// The kind of machine that an action affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    Proxy,
    Controller,
    Host,
    Operator,
}

impl ActionKind {
    /// A planned action must not lose a request; an unplanned one (a fault) may.
    pub fn is_planned(self) -> bool {
        !matches!(self, ActionKind::Kill | ActionKind::Freeze | ActionKind::CrashHost)
    }

    fn is_of_hosts(self) -> bool {
        matches!(self, ActionKind::DrainHost | ActionKind::CrashHost)
    }
}

/// One action.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Action {
    /// Seconds from the start of the load.
    pub at_s: f64,
    pub kind: ActionKind,
    /// `proxy`, `controller` or `host` with a number from 0, such as `proxy-2`; empty for a change.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub on: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
}

impl Action {
    /// The machine that the action affects: its kind and number.
    pub fn target(&self) -> Option<(Target, usize)> {
        if self.kind == ActionKind::Change {
            return self.on.is_empty().then_some((Target::Operator, 0));
        }
        let (name, number) = self.on.rsplit_once('-')?;
        let number = number.parse().ok()?;
        let target = match name {
            "proxy" if !self.kind.is_of_hosts() => Target::Proxy,
            "controller" if !self.kind.is_of_hosts() => Target::Controller,
            "host" if self.kind.is_of_hosts() => Target::Host,
            _ => return None,
        };
        Some((target, number))
    }

    pub fn at(&self) -> Duration {
        Duration::from_secs_f64(self.at_s)
    }

    /// Duration of the action's effect.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.for_s.unwrap_or_default())
    }
}

/// The scenario of a soak.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the clients and the mock services.
    pub seed: u64,
    /// How long the load lasts.
    pub seconds: f64,
    /// From SIGTERM to SIGKILL.
    pub grace_s: f64,
    pub proxies: usize,
    pub controllers: usize,
    pub hosts: usize,
    pub clients: usize,
    /// Requests a second in total.
    pub rate: f64,
    #[serde(default, rename = "action")]
    pub actions: Vec<Action>,
}

/// Why a scenario is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// It cannot be parsed: the line and the reason, in one line.
    Unreadable(String),
    /// An invalid field, and the values that are allowed.
    Field(String, String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unreadable(why) => f.write_str(why),
            Fault::Field(field, wanted) => write!(f, "{field}: {wanted}"),
        }
    }
}

fn field(name: impl Into<String>, wanted: impl Into<String>) -> Fault {
    Fault::Field(name.into(), wanted.into())
}

impl Scenario {
    /// Reads and checks a scenario.
    pub fn read(text: &str) -> Result<Scenario, Fault> {
        let scenario: Scenario = toml::from_str(text).map_err(|why| unreadable(text, &why))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Serializes the scenario as TOML, as `read` expects it.
    pub fn write(&self) -> String {
        // Cannot fail: numbers, strings and lists of them can be represented in TOML.
        toml::to_string(self).unwrap_or_default()
    }

    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Proxies in each zone.
    pub fn proxies_per_zone(&self) -> usize {
        self.proxies.div_ceil(ZONES)
    }

    pub fn check(&self) -> Result<(), Fault> {
        within("seconds", self.seconds, [1.0, MAX_SECONDS])?;
        within("grace_s", self.grace_s, GRACE_S)?;
        within("rate", self.rate, [0.1, MAX_RATE])?;
        counts("proxies", self.proxies, MAX_PROXIES)?;
        counts("controllers", self.controllers, MAX_CONTROLLERS)?;
        counts("hosts", self.hosts, MAX_HOSTS)?;
        counts("clients", self.clients, MAX_CLIENTS)?;
        if !self.proxies.is_multiple_of(ZONES) {
            return Err(field("proxies", format!("a multiple of {ZONES}, the number of zones")));
        }
        if self.actions.len() > MAX_ACTIONS {
            return Err(field("action", format!("at most {MAX_ACTIONS} of them")));
        }
        self.actions.iter().enumerate().try_for_each(|(number, action)| self.check_action(number, action))
    }

    fn check_action(&self, number: usize, action: &Action) -> Result<(), Fault> {
        let name = |what: &str| format!("action {} ({:?}): {what}", number + 1, action.kind);
        within(name("at_s"), action.at_s, [0.0, self.seconds])?;
        let Some((target, which)) = action.target() else {
            return Err(field(name("on"), "proxy-N, controller-N or host-N, as the kind has it"));
        };
        let max = match target {
            Target::Proxy => self.proxies,
            Target::Controller => self.controllers,
            Target::Host => self.hosts,
            Target::Operator => 1,
        };
        if which >= max {
            return Err(field(name("on"), format!("numbers go from 0 to {}", max - 1)));
        }
        let lasts = matches!(action.kind, ActionKind::Freeze | ActionKind::DrainHost | ActionKind::CrashHost);
        match action.for_s {
            Some(for_s) if lasts => within(name("for_s"), for_s, [0.01, MAX_SECONDS]),
            None if !lasts => Ok(()),
            Some(_) => Err(field(name("for_s"), "this kind takes none")),
            None => Err(field(name("for_s"), "seconds")),
        }
    }
}

fn within(name: impl Into<String>, value: f64, [min, max]: [f64; 2]) -> Result<(), Fault> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(field(name, format!("{value} is not between {min} and {max}")))
}

fn counts(name: &str, value: usize, max: usize) -> Result<(), Fault> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(field(name, format!("{value} is not between 1 and {max}")))
}

/// The line number and the reason, in one line.
fn unreadable(text: &str, why: &toml::de::Error) -> Fault {
    let line = why.span().map(|span| 1 + text[..span.start.min(text.len())].matches('\n').count());
    let reason = why.message().replace('\n', " ");
    Fault::Unreadable(match line {
        Some(line) => format!("line {line}: {reason}"),
        None => reason,
    })
}
