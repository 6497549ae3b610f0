//! `tindock policy`: what staff ask a scheduler of a group for, and how they learn what became of it.

use crate::accord::text::Text;
use crate::operators::calls;
use crate::rollout::{CommandError, StatusFormat};
use clap::{Args, Subcommand};
use serde::Deserialize;
use similar::TextDiff;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tindock_berth::digest;

const ANSWER: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(50);

#[derive(Debug, Args)]
pub struct Asked {
    /// The operators' address of any scheduler of the group; without it $GW_MGMT, or what the configuration says
    #[arg(long, value_name = "ADDRESS:PORT")]
    at: Option<SocketAddr>,
    /// A configuration that says the address
    #[arg(long, conflicts_with = "at")]
    config: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub struct Within {
    /// How long to wait for the outcome, in seconds; without one by then the exit code is 3
    #[arg(long, value_name = "SECONDS", default_value = "30")]
    within: u64,
}

#[derive(Debug, Subcommand)]
pub enum Policies {
    /// Propose the workloads, customers and workers of FILE to all members; the first one founds the group
    Propose {
        file: PathBuf,
        #[command(flatten)]
        asked: Asked,
        #[command(flatten)]
        within: Within,
    },
    /// Tell the number in force there, who the members are, and what became of proposals made there
    Status {
        #[command(flatten)]
        asked: Asked,
        #[arg(long, default_value = "text")]
        format: StatusFormat,
    },
    /// Tell what was in force, number by number
    History {
        #[command(flatten)]
        asked: Asked,
    },
    /// Write the policy under a number, or the one in force
    Show {
        number: Option<u64>,
        #[command(flatten)]
        asked: Asked,
    },
    /// Tell how the policy under one number differs from that under another
    Diff {
        old: u64,
        new: u64,
        #[command(flatten)]
        asked: Asked,
    },
    /// Tell who is a member, who decides, and when each was last heard
    Members {
        #[command(flatten)]
        asked: Asked,
    },
    /// Let a new scheduler in, or one that has lost its folder
    Admit {
        name: String,
        /// Its address in the group, as the other members are to know it
        address: SocketAddr,
        #[command(flatten)]
        asked: Asked,
        #[command(flatten)]
        within: Within,
    },
    /// Leave a member out that is gone for good
    Forget {
        name: String,
        #[command(flatten)]
        asked: Asked,
        #[command(flatten)]
        within: Within,
    },
}

#[derive(Deserialize)]
struct Member {
    name: String,
    address: SocketAddr,
    voter: bool,
    number: Option<u64>,
    heard_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Proposal {
    digest: String,
    outcome: String,
    why: Option<String>,
    missing: Vec<String>,
}

#[derive(Deserialize)]
struct Status {
    version: u32,
    name: String,
    number: u64,
    by: Option<String>,
    what: Option<String>,
    serves: bool,
    why_not: Option<String>,
    void: bool,
    lease_ms: u64,
    staged: Option<String>,
    members: Vec<Member>,
    proposals: Vec<Proposal>,
}

#[derive(Deserialize)]
struct Past {
    number: u64,
    by: String,
    at_ms: u64,
    what: String,
}

fn wrong(code: i32, line: impl Into<String>) -> CommandError {
    CommandError { code, lines: vec![line.into()] }
}

impl Asked {
    fn address(&self) -> Result<SocketAddr, CommandError> {
        crate::cli::management(self.at, self.config.as_deref())
            .map_err(|lines| CommandError { code: 2, lines })
    }

    /// The answer to a call, without its last line.
    fn ask(&self, call: &str, bytes: &[u8]) -> Result<String, CommandError> {
        let at = self.address()?;
        let told = |why: String| wrong(1, format!("{at}: {why}"));
        let answer = calls::ask_with(at, call, bytes, ANSWER).map_err(|e| told(e.to_string()))?;
        calls::yes(&answer).map(String::from).map_err(told)
    }

    fn status(&self) -> Result<Status, CommandError> {
        let status: Status = read(&self.ask("policy", &[])?)?;
        match status.version {
            1 => Ok(status),
            other => Err(wrong(1, format!("it tells its policy in form {other}, which is not known here"))),
        }
    }

    fn text(&self, number: u64) -> Result<Text, CommandError> {
        let text = self.ask(&format!("policy-text {number}"), &[])?;
        Text::read(text.as_bytes()).map_err(|why| wrong(1, format!("number {number} {why}")))
    }
}

fn read<'t, T: Deserialize<'t>>(text: &'t str) -> Result<T, CommandError> {
    serde_json::from_str(text).map_err(|e| wrong(1, format!("its answer: {e}")))
}

/// Makes a proposal and waits for what becomes of it.
fn propose(asked: &Asked, within: &Within, call: &str, bytes: &[u8]) -> Result<String, CommandError> {
    let ends = Instant::now() + Duration::from_secs(within.within);
    let began = asked.ask(call, bytes)?;
    let mut words = began.split(' ').skip(1);
    let (Some(number), Some(digest)) = (words.next(), words.next()) else {
        return Err(wrong(1, format!("its answer {began:?} names no number and proposal")));
    };
    let mut decided = None;
    loop {
        let status = asked.status();
        let found = status.as_ref().ok().and_then(|status| {
            let found = status.proposals.iter().find(|proposal| proposal.digest == digest);
            found.map(|found| (status.lease_ms, found))
        });
        match found.map(|(lease, found)| (found.outcome.as_str(), lease, found)) {
            Some(("nowhere", _, found)) => {
                let why = found.why.clone().unwrap_or_default();
                return Err(wrong(1, format!("in force nowhere: {why}")));
            }
            Some(("decided", _, found)) if found.missing.is_empty() => {
                return Ok(format!("policy number {number} is in force everywhere\n"));
            }
            Some(("decided", lease, found)) => {
                // By then whoever has not said so serves under no older one, and takes this one up before it serves.
                let bound = Duration::from_millis(lease + lease / 10);
                if decided.get_or_insert_with(Instant::now).elapsed() >= bound {
                    let missing = found.missing.join(", ");
                    return Ok(format!(
                        "policy number {number} is in force; out of reach, and serving under no older one: {missing}\n"
                    ));
                }
            }
            _ => {}
        }
        if Instant::now() >= ends {
            let why = match status {
                Err(e) => e.lines.join("; "),
                Ok(_) => "nobody can say yet whether it will be in force".into(),
            };
            return Err(wrong(3, format!("number {number} is undecided: {why}; go on asking with status")));
        }
        sleep(LOOK);
    }
}

fn status(asked: &Asked, format: StatusFormat) -> Result<String, CommandError> {
    if let StatusFormat::Json = format {
        return asked.ask("policy", &[]).map(|line| line + "\n");
    }
    let status = asked.status()?;
    let Status { name, number, .. } = &status;
    let mut lines = vec![match (&status.what, &status.by) {
        (Some(what), Some(by)) => format!("{name}: number {number}, {what}, by {by}"),
        _ => format!("{name}: no policy has been decided yet"),
    }];
    match &status.why_not {
        Some(why) => lines.push(format!("takes no tasks: {why}")),
        None if status.void => {
            lines.push("serves on what it last knew, which may not be in force elsewhere".into())
        }
        None if status.serves => lines.push("serves under it".into()),
        None => {}
    }
    lines.extend(status.staged.as_ref().map(|digest| format!("staged for the next number: {digest}")));
    let told = |p: &Proposal| {
        let why = p.why.as_ref().map(|why| format!(", {why}")).unwrap_or_default();
        let missing = match p.missing.is_empty() {
            true => String::new(),
            false => format!(", not told yet by {}", p.missing.join(", ")),
        };
        format!("proposed here: {} {}{why}{missing}", &p.digest[..p.digest.len().min(12)], p.outcome)
    };
    lines.extend(status.proposals.iter().map(told));
    Ok(lines.join("\n") + "\n")
}

fn members(asked: &Asked) -> Result<String, CommandError> {
    let line = |m: &Member| {
        let number = m.number.map_or("-".into(), |number| number.to_string());
        let heard = m.heard_ms.map_or("never heard here".into(), |ms| format!("heard {ms} ms ago"));
        let voter = if m.voter { "decides" } else { "learns" };
        format!("{} {} {voter} number {number} {heard}\n", m.name, m.address)
    };
    Ok(asked.status()?.members.iter().map(line).collect())
}

fn history(asked: &Asked) -> Result<String, CommandError> {
    let all: Vec<Past> = read(&asked.ask("policy-history", &[])?)?;
    let line = |past: &Past| format!("{} {} by {} at {}\n", past.number, past.what, past.by, past.at_ms);
    Ok(all.iter().map(line).collect())
}

/// Carries out one of the commands; what it has to say, or what is wrong with its exit code.
pub fn command(command: &Policies) -> Result<String, CommandError> {
    match command {
        Policies::Propose { file, asked, within } => {
            let told = |why: String| wrong(2, format!("{}: {why}", file.display()));
            let text = std::fs::read_to_string(file).map_err(|e| told(e.to_string()))?;
            let ending = match file.extension().and_then(|ending| ending.to_str()) {
                Some(ending @ ("toml" | "json")) => ending,
                _ => return Err(told("a file of settings, .toml or .json, was expected".into())),
            };
            let call = format!("propose {ending} {} {}", digest(&text), text.len());
            propose(asked, within, &call, text.as_bytes())
        }
        Policies::Admit { name, address, asked, within } => {
            propose(asked, within, &format!("admit {name} {address}"), &[])
        }
        Policies::Forget { name, asked, within } => propose(asked, within, &format!("forget {name}"), &[]),
        Policies::Status { asked, format } => status(asked, *format),
        Policies::History { asked } => history(asked),
        Policies::Members { asked } => members(asked),
        Policies::Show { number, asked } => {
            let number = number.map_or_else(|| asked.status().map(|status| status.number), Ok)?;
            asked.text(number).map(|text| text.policy)
        }
        Policies::Diff { old, new, asked } => {
            let (old_text, new_text) = (asked.text(*old)?, asked.text(*new)?);
            let diff = TextDiff::from_lines(&old_text.policy, &new_text.policy);
            let name = |number: u64| format!("number {number}");
            let mut said = diff.unified_diff().header(&name(*old), &name(*new)).to_string();
            let names =
                |text: &Text| -> Vec<String> { text.members.iter().map(|m| m.name.clone()).collect() };
            let (before, after) = (names(&old_text), names(&new_text));
            let gone =
                before.iter().filter(|name| !after.contains(name)).map(|name| format!("-member {name}\n"));
            let new =
                after.iter().filter(|name| !before.contains(name)).map(|name| format!("+member {name}\n"));
            said.extend(gone.chain(new));
            Ok(said)
        }
    }
}
