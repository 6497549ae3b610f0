//! The verdict on a scenario that was run, read from the bench's report.
// nanoserde's derive generates such code for optional fields.
#![allow(clippy::question_mark)]

use crate::error::Error;
use nanoserde::{DeJson, DeJsonErr, DeJsonState, DeJsonTok};
use std::fmt;
use std::path::Path;
use std::str::Chars;

/// The parts of a report that decide whether a scenario passed.
#[derive(Debug, Clone, PartialEq, DeJson)]
pub struct Report {
    /// The score of the scenario, after deductions for cost.
    #[nserde(rename = "G")]
    pub worth: f64,
    /// A process that ended, or another reason why the scenario is void.
    pub fault: Option<String>,
    /// Requirements of the gate (the bench's pass threshold) that were not met.
    #[nserde(default)]
    pub short: Vec<String>,
    /// Names of the rules that were broken.
    #[nserde(default)]
    pub breaks: RuleNames,
    /// What happened in the scenario.
    #[nserde(default)]
    pub events: Vec<Event>,
    /// Figures of each service's instances.
    #[nserde(default)]
    pub services: Vec<Service>,
    #[nserde(default)]
    pub times: Times,
}

/// A service's requests as counted by its instances.
#[derive(Debug, Clone, PartialEq, DeJson)]
pub struct Service {
    pub name: String,
    /// Requests rejected by its instances; the rule LIMIT counts those rejected by full ones.
    #[nserde(default)]
    pub not_run: u64,
}

/// Times measured in the scenario, in ms.
#[derive(Debug, Clone, Default, PartialEq, DeJson)]
pub struct Times {
    /// From the leave notice of an instance to the last request that reached it: median and maximum.
    #[nserde(rename = "leaving in force")]
    pub last_after_leaving: Option<Vec<f64>>,
}

/// How near a scenario came to breaking the rules LIMIT and DRAIN, which themselves only give yes or no.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Margins {
    /// Requests rejected by the instances of the service that rejected most.
    pub rejected: u64,
    /// The longest time from an instance's leave notice to the last request that reached it, in ms.
    pub last_after_leaving_ms: f64,
}

/// A fault or piece of planned work that took place.
#[derive(Debug, Clone, PartialEq, DeJson)]
pub struct Event {
    /// Kind, and variant in brackets.
    pub kind: String,
    /// Its target, for kinds that have one.
    #[nserde(default)]
    pub what: String,
}

/// Kinds without a named target.
const WITHOUT_TARGET: [&str; 7] =
    ["ack_lost", "bad_config", "big_config", "config_change", "config_race", "config_storm", "retry_abuse"];

impl Event {
    /// Whether anything was hit: an entry whose machines are all lost already has no effect.
    pub fn hit_target(&self) -> bool {
        !self.what.is_empty() || WITHOUT_TARGET.contains(&self.kind_name().as_str())
    }

    /// The kind as tables name it: without its variant, but with that of a closing fault.
    pub fn kind_name(&self) -> String {
        match self.kind.split_once(" (") {
            Some(("closing", variant)) => format!("closing {}", variant.trim_end_matches(')')),
            Some((kind, _)) => kind.to_string(),
            None => self.kind.clone(),
        }
    }
}

/// The names in a JSON object, whatever its values are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleNames(pub Vec<String>);

impl DeJson for RuleNames {
    fn de_json(state: &mut DeJsonState, input: &mut Chars) -> Result<Self, DeJsonErr> {
        let mut names = Vec::new();
        state.curly_open(input)?;
        while state.tok != DeJsonTok::CurlyClose {
            names.push(state.as_string()?);
            state.next_tok(input)?;
            state.colon(input)?;
            state.whole_field(input)?;
            state.eat_comma_curly(input)?;
        }
        state.curly_close(input)?;
        Ok(RuleNames(names))
    }
}

/// The verdict on a scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// No rule broken, and the gate passed.
    Passed { worth: f64 },
    /// Rules broken, by name.
    RulesBroken { worth: f64, rules: Vec<String> },
    /// A process ended, or the bench gave another reason why the scenario is void.
    Fault(String),
    /// No rule broken, but the gate is not passed.
    GateMissed { worth: f64, unmet: Vec<String> },
    /// The bench wrote no report: there is no verdict.
    NotRun(String),
}

impl Report {
    /// Reads a report of the bench.
    pub fn read(path: &Path) -> Result<Report, Error> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
        Report::deserialize_json(&text).map_err(|cause| Error::content(path.display().to_string(), cause))
    }
}

impl Margins {
    pub fn of(report: &Report) -> Margins {
        let times = report.times.last_after_leaving.iter().flatten();
        Margins {
            rejected: report.services.iter().map(|service| service.not_run).max().unwrap_or(0),
            last_after_leaving_ms: times.copied().fold(0.0, f64::max),
        }
    }
}

impl fmt::Display for Margins {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Margins { rejected, last_after_leaving_ms } = self;
        write!(out, "{rejected} turned away, the last {last_after_leaving_ms:.0} ms after the leave notice")
    }
}

impl Verdict {
    /// Judges a report.
    pub fn of(report: Report) -> Verdict {
        let Report { worth, fault, short, breaks, .. } = report;
        if !breaks.0.is_empty() {
            return Verdict::RulesBroken { worth, rules: breaks.0 };
        }
        match fault {
            Some(fault) => Verdict::Fault(fault),
            None if !short.is_empty() => Verdict::GateMissed { worth, unmet: short },
            None => Verdict::Passed { worth },
        }
    }

    /// Whether the scenario was run and failed.
    pub fn is_failure(&self) -> bool {
        matches!(self, Verdict::RulesBroken { .. } | Verdict::Fault(_) | Verdict::GateMissed { .. })
    }

    pub fn was_run(&self) -> bool {
        !matches!(self, Verdict::NotRun(_))
    }

    pub fn worth(&self) -> Option<f64> {
        match self {
            Verdict::Passed { worth }
            | Verdict::RulesBroken { worth, .. }
            | Verdict::GateMissed { worth, .. } => Some(*worth),
            Verdict::Fault(_) | Verdict::NotRun(_) => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Verdict::Passed { worth } => write!(out, "kept, worth {worth:.3}"),
            Verdict::RulesBroken { worth, rules } => {
                write!(out, "BROKEN {}, worth {worth:.3}", rules.join(" "))
            }
            Verdict::Fault(fault) => write!(out, "FAULT {fault}"),
            Verdict::GateMissed { worth, unmet } => {
                write!(out, "GATE {}, worth {worth:.3}", unmet.join("; "))
            }
            Verdict::NotRun(why) => write!(out, "not played: {why}"),
        }
    }
}
