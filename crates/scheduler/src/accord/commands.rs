//! `tindock policy`: operators' commands to a scheduler of a group, and how their outcome is reported.

use crate::accord::text::ProposalText;
use crate::operators::calls;
use crate::rollout::{CommandError, StatusFormat};
use clap::{Args, Subcommand};
use serde::Deserialize;
use similar::TextDiff;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tindock_scheduler_config::digest;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Args)]
pub struct Target {
    /// The operators' address of any scheduler of the group; by default $GW_MGMT, or the configured one
    #[arg(long, value_name = "ADDRESS:PORT")]
    at: Option<SocketAddr>,
    /// A configuration that contains the address
    #[arg(long, conflicts_with = "at")]
    config: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub struct WaitLimit {
    /// How long to wait for the outcome, in seconds; after that the exit code is 3
    #[arg(long, value_name = "SECONDS", default_value = "30")]
    within: u64,
}

#[derive(Debug, Subcommand)]
pub enum PolicyCommand {
    /// Propose the workloads, customers and workers of FILE to all members; the first one founds the group
    Propose {
        file: PathBuf,
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        wait: WaitLimit,
    },
    /// Report the number in force there, the members, and the outcome of proposals made there
    Status {
        #[command(flatten)]
        target: Target,
        #[arg(long, default_value = "text")]
        format: StatusFormat,
    },
    /// List the policies that were in force, by number
    History {
        #[command(flatten)]
        target: Target,
    },
    /// Print the policy under a number, or the one in force
    Show {
        number: Option<u64>,
        #[command(flatten)]
        target: Target,
    },
    /// Show the differences between the policies under two numbers
    Diff {
        old: u64,
        new: u64,
        #[command(flatten)]
        target: Target,
    },
    /// List the members, the voters, and when each member was last heard from
    Members {
        #[command(flatten)]
        target: Target,
    },
    /// Admit a new scheduler, or one that has lost its folder
    Admit {
        name: String,
        /// Its address in the group, as the other members are to know it
        address: SocketAddr,
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        wait: WaitLimit,
    },
    /// Remove a member that is permanently gone
    Forget {
        name: String,
        #[command(flatten)]
        target: Target,
        #[command(flatten)]
        wait: WaitLimit,
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
struct HistoryEntry {
    number: u64,
    by: String,
    at_ms: u64,
    what: String,
}

fn failure(code: i32, line: impl Into<String>) -> CommandError {
    CommandError { code, lines: vec![line.into()] }
}

impl Target {
    fn address(&self) -> Result<SocketAddr, CommandError> {
        crate::cli::management(self.at, self.config.as_deref())
            .map_err(|lines| CommandError { code: 2, lines })
    }

    /// Sends a call and returns its answer without the last line.
    fn call(&self, call: &str, bytes: &[u8]) -> Result<String, CommandError> {
        let at = self.address()?;
        let error = |why: String| failure(1, format!("{at}: {why}"));
        let answer =
            calls::request_with_body(at, call, bytes, ANSWER_TIMEOUT).map_err(|e| error(e.to_string()))?;
        calls::parse_answer(&answer).map(String::from).map_err(error)
    }

    fn status(&self) -> Result<Status, CommandError> {
        let status: Status = parse(&self.call("policy", &[])?)?;
        match status.version {
            1 => Ok(status),
            other => Err(failure(1, format!("its answer has version {other}, which is not supported here"))),
        }
    }

    fn text(&self, number: u64) -> Result<ProposalText, CommandError> {
        let text = self.call(&format!("policy-text {number}"), &[])?;
        ProposalText::parse(text.as_bytes()).map_err(|why| failure(1, format!("number {number} {why}")))
    }
}

fn parse<'t, T: Deserialize<'t>>(text: &'t str) -> Result<T, CommandError> {
    serde_json::from_str(text).map_err(|e| failure(1, format!("its answer: {e}")))
}

/// Makes a proposal and waits for its outcome.
fn propose(target: &Target, wait: &WaitLimit, call: &str, bytes: &[u8]) -> Result<String, CommandError> {
    let deadline = Instant::now() + Duration::from_secs(wait.within);
    let answer = target.call(call, bytes)?;
    let mut fields = answer.split(' ').skip(1);
    let (Some(number), Some(digest)) = (fields.next(), fields.next()) else {
        return Err(failure(1, format!("its answer {answer:?} names no number and proposal")));
    };
    let mut decided = None;
    loop {
        let status = target.status();
        let found = status.as_ref().ok().and_then(|status| {
            let found = status.proposals.iter().find(|proposal| proposal.digest == digest);
            found.map(|found| (status.lease_ms, found))
        });
        match found.map(|(lease, found)| (found.outcome.as_str(), lease, found)) {
            Some(("nowhere", _, found)) => {
                let why = found.why.clone().unwrap_or_default();
                return Err(failure(1, format!("in force nowhere: {why}")));
            }
            Some(("decided", _, found)) if found.missing.is_empty() => {
                return Ok(format!("policy number {number} is in force everywhere\n"));
            }
            Some(("decided", lease, found)) => {
                // After this time no missing member serves under an older policy: its lease has expired, and
                // it applies this one before it serves again.
                let bound = Duration::from_millis(lease + lease / 10);
                if decided.get_or_insert_with(Instant::now).elapsed() >= bound {
                    let missing = found.missing.join(", ");
                    return Ok(format!(
                        "policy number {number} is in force; unreachable, and serving under \
                         no older one: {missing}\n"
                    ));
                }
            }
            _ => {}
        }
        if Instant::now() >= deadline {
            let why = match status {
                Err(e) => e.lines.join("; "),
                Ok(_) => "the outcome is not known yet".into(),
            };
            return Err(failure(
                3,
                format!("number {number} is undecided: {why}; check again with `status`"),
            ));
        }
        sleep(POLL_INTERVAL);
    }
}

fn status(target: &Target, format: StatusFormat) -> Result<String, CommandError> {
    if let StatusFormat::Json = format {
        return target.call("policy", &[]).map(|line| line + "\n");
    }
    let status = target.status()?;
    let Status { name, number, .. } = &status;
    let mut lines = vec![match (&status.what, &status.by) {
        (Some(what), Some(by)) => format!("{name}: number {number}, {what}, by {by}"),
        _ => format!("{name}: no policy has been decided yet"),
    }];
    match &status.why_not {
        Some(why) => lines.push(format!("takes no tasks: {why}")),
        None if status.void => {
            lines.push("serves under its last known policy, which may not be in force elsewhere".into())
        }
        None if status.serves => lines.push("serves under it".into()),
        None => {}
    }
    lines.extend(status.staged.as_ref().map(|digest| format!("staged for the next number: {digest}")));
    let line = |p: &Proposal| {
        let why = p.why.as_ref().map(|why| format!(", {why}")).unwrap_or_default();
        let missing = match p.missing.is_empty() {
            true => String::new(),
            false => format!(", not confirmed yet by {}", p.missing.join(", ")),
        };
        format!("proposed here: {} {}{why}{missing}", &p.digest[..p.digest.len().min(12)], p.outcome)
    };
    lines.extend(status.proposals.iter().map(line));
    Ok(lines.join("\n") + "\n")
}

fn members(target: &Target) -> Result<String, CommandError> {
    let line = |m: &Member| {
        let number = m.number.map_or("-".into(), |number| number.to_string());
        let heard = m.heard_ms.map_or("never heard here".into(), |ms| format!("heard {ms} ms ago"));
        let voter = if m.voter { "decides" } else { "learns" };
        format!("{} {} {voter} number {number} {heard}\n", m.name, m.address)
    };
    Ok(target.status()?.members.iter().map(line).collect())
}

fn history(target: &Target) -> Result<String, CommandError> {
    let all: Vec<HistoryEntry> = parse(&target.call("policy-history", &[])?)?;
    let line = |entry: &HistoryEntry| {
        format!("{} {} by {} at {}\n", entry.number, entry.what, entry.by, entry.at_ms)
    };
    Ok(all.iter().map(line).collect())
}

/// Runs one of the commands. Returns its output, or why it failed with the exit code.
pub fn command(command: &PolicyCommand) -> Result<String, CommandError> {
    match command {
        PolicyCommand::Propose { file, target, wait } => {
            let error = |why: String| failure(2, format!("{}: {why}", file.display()));
            let text = std::fs::read_to_string(file).map_err(|e| error(e.to_string()))?;
            let ending = match file.extension().and_then(|ending| ending.to_str()) {
                Some(ending @ ("toml" | "json")) => ending,
                _ => return Err(error("a file of settings, .toml or .json, was expected".into())),
            };
            let call = format!("propose {ending} {} {}", digest(&text), text.len());
            propose(target, wait, &call, text.as_bytes())
        }
        PolicyCommand::Admit { name, address, target, wait } => {
            propose(target, wait, &format!("admit {name} {address}"), &[])
        }
        PolicyCommand::Forget { name, target, wait } => propose(target, wait, &format!("forget {name}"), &[]),
        PolicyCommand::Status { target, format } => status(target, *format),
        PolicyCommand::History { target } => history(target),
        PolicyCommand::Members { target } => members(target),
        PolicyCommand::Show { number, target } => {
            let number = number.map_or_else(|| target.status().map(|status| status.number), Ok)?;
            target.text(number).map(|text| text.policy)
        }
        PolicyCommand::Diff { old, new, target } => {
            let (old_text, new_text) = (target.text(*old)?, target.text(*new)?);
            let diff = TextDiff::from_lines(&old_text.policy, &new_text.policy);
            let name = |number: u64| format!("number {number}");
            let mut output = diff.unified_diff().header(&name(*old), &name(*new)).to_string();
            let names = |text: &ProposalText| -> Vec<String> {
                text.members.iter().map(|m| m.name.clone()).collect()
            };
            let (before, after) = (names(&old_text), names(&new_text));
            let gone =
                before.iter().filter(|name| !after.contains(name)).map(|name| format!("-member {name}\n"));
            let new =
                after.iter().filter(|name| !before.contains(name)).map(|name| format!("+member {name}\n"));
            output.extend(gone.chain(new));
            Ok(output)
        }
    }
}
