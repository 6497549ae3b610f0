//! What came of a day that was played: read from the bench's report.
// Code that nanoserde's derive writes for a field that may be missing.
#![allow(clippy::question_mark)]

use crate::error::Error;
use nanoserde::{DeJson, DeJsonErr, DeJsonState, DeJsonTok};
use std::fmt;
use std::path::Path;
use std::str::Chars;

/// The part of a report that tells whether a day was kept.
#[derive(Debug, Clone, PartialEq, DeJson)]
pub struct Report {
    /// Worth, with prices.
    #[nserde(rename = "G")]
    pub worth: f64,
    /// A process that ended, or another reason for which the day counts nothing.
    pub fault: Option<String>,
    /// What the day lacks to pass the gate.
    #[nserde(default)]
    pub short: Vec<String>,
    /// Names of the rules that were broken.
    #[nserde(default)]
    pub breaks: RuleNames,
    /// What happened in the day.
    #[nserde(default)]
    pub events: Vec<Event>,
    /// What the instances of each service got.
    #[nserde(default)]
    pub services: Vec<Service>,
    #[nserde(default)]
    pub times: Times,
}

/// A service, as its instances saw the day.
#[derive(Debug, Clone, PartialEq, DeJson)]
pub struct Service {
    pub name: String,
    /// Requests that its instances turned away; LIMIT counts those of full ones.
    #[nserde(default)]
    pub not_run: u64,
}

/// Times of the day, in ms.
#[derive(Debug, Clone, Default, PartialEq, DeJson)]
pub struct Times {
    /// From the word that an instance leaves to the last request that reached it: the middle one and the longest.
    #[nserde(rename = "leaving in force")]
    pub last_after_leaving: Option<Vec<f64>>,
}

/// How near a day came to breaking LIMIT and DRAIN. The rules say yes or no; these say how far away a no was.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauges {
    /// Requests turned away by instances of the service that turned most away.
    pub turned_away: u64,
    /// The longest time from the word that an instance leaves to the last request that reached it, in ms.
    pub last_after_leaving_ms: f64,
}

/// A fault or piece of planned work that came to pass.
#[derive(Debug, Clone, PartialEq, DeJson)]
pub struct Event {
    /// Kind, and variant in brackets.
    pub kind: String,
    /// What it struck, if it strikes anything by name.
    #[nserde(default)]
    pub what: String,
}

/// Kinds that strike nothing by name.
const WITHOUT_TARGET: [&str; 7] =
    ["ack_lost", "bad_config", "big_config", "config_change", "config_race", "config_storm", "retry_abuse"];

impl Event {
    /// Whether anything was struck: an entry that found all of its machines lost already strikes none.
    pub fn struck(&self) -> bool {
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

/// What came of a day.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// All rules kept and the gate passed.
    Kept { worth: f64 },
    /// Rules broken, by name.
    Broken { worth: f64, rules: Vec<String> },
    /// A process ended, or the bench says why else the day counts nothing.
    Fault(String),
    /// No rule broken, but the gate is not passed.
    Short { worth: f64, lacks: Vec<String> },
    /// The bench gave no report: the day was not judged.
    NotPlayed(String),
}

impl Report {
    /// Reads a report of the bench.
    pub fn read(path: &Path) -> Result<Report, Error> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
        Report::deserialize_json(&text).map_err(|cause| Error::content(path.display().to_string(), cause))
    }
}

impl Gauges {
    pub fn of(report: &Report) -> Gauges {
        let times = report.times.last_after_leaving.iter().flatten();
        Gauges {
            turned_away: report.services.iter().map(|service| service.not_run).max().unwrap_or(0),
            last_after_leaving_ms: times.copied().fold(0.0, f64::max),
        }
    }
}

impl fmt::Display for Gauges {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Gauges { turned_away, last_after_leaving_ms } = self;
        write!(
            out,
            "{turned_away} turned away, the last {last_after_leaving_ms:.0} ms after a word of leaving"
        )
    }
}

impl Verdict {
    /// Judges a report.
    pub fn of(report: Report) -> Verdict {
        let Report { worth, fault, short, breaks, .. } = report;
        if !breaks.0.is_empty() {
            return Verdict::Broken { worth, rules: breaks.0 };
        }
        match fault {
            Some(fault) => Verdict::Fault(fault),
            None if !short.is_empty() => Verdict::Short { worth, lacks: short },
            None => Verdict::Kept { worth },
        }
    }

    /// Whether the day was played and something is wrong with it.
    pub fn is_bad(&self) -> bool {
        matches!(self, Verdict::Broken { .. } | Verdict::Fault(_) | Verdict::Short { .. })
    }

    pub fn was_played(&self) -> bool {
        !matches!(self, Verdict::NotPlayed(_))
    }

    pub fn worth(&self) -> Option<f64> {
        match self {
            Verdict::Kept { worth } | Verdict::Broken { worth, .. } | Verdict::Short { worth, .. } => {
                Some(*worth)
            }
            Verdict::Fault(_) | Verdict::NotPlayed(_) => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Verdict::Kept { worth } => write!(out, "kept, worth {worth:.3}"),
            Verdict::Broken { worth, rules } => write!(out, "BROKEN {}, worth {worth:.3}", rules.join(" ")),
            Verdict::Fault(fault) => write!(out, "FAULT {fault}"),
            Verdict::Short { worth, lacks } => write!(out, "GATE {}, worth {worth:.3}", lacks.join("; ")),
            Verdict::NotPlayed(why) => write!(out, "not played: {why}"),
        }
    }
}
