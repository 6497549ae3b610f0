//! How the control state stands (docs/openapi/controller.yaml): a controller's answer, and the command that asks and prints.

// What nanoserde derives is written that way.
#![allow(clippy::question_mark)]

use crate::operator::{digest_text, STATUS};
use crate::rebinding::{call_controller, parse_address, table};
use clap::{Arg, ArgAction, ArgMatches, Command};
use nanoserde::{DeJson, SerJson};
use std::fmt::Write as _;
use tindock_control_store::{MemberStatus, Role, Status, Version};

/// A whole status, as JSON.
#[derive(Debug, Clone, Default, PartialEq, SerJson, DeJson)]
pub struct ControlStatus {
    pub node: String,
    pub address: String,
    pub epoch: u64,
    pub changing: bool,
    pub ready: bool,
    pub voting: bool,
    pub in_touch: bool,
    pub lease_number: u64,
    pub holder: Option<Holder>,
    pub in_force: ConfigurationState,
    pub members: Vec<Member>,
}

/// Who holds the lease, and under which number.
#[derive(Debug, Clone, Default, PartialEq, SerJson, DeJson)]
pub struct Holder {
    pub address: String,
    pub number: u64,
}

#[derive(Debug, Clone, Default, PartialEq, SerJson, DeJson)]
pub struct ConfigurationState {
    pub revision: u64,
    pub digest: String,
}

#[derive(Debug, Clone, Default, PartialEq, SerJson, DeJson)]
pub struct Member {
    pub address: String,
    pub role: String,
    pub heard_ms: Option<u64>,
    pub saved: ConfigurationState,
    pub behind: bool,
}

impl From<Version> for ConfigurationState {
    fn from(version: Version) -> ConfigurationState {
        ConfigurationState { revision: version.revision, digest: digest_text(version.digest) }
    }
}

impl From<&MemberStatus> for Member {
    fn from(member: &MemberStatus) -> Member {
        Member {
            address: member.at.to_string(),
            role: role_name(member.role).to_string(),
            heard_ms: member.silent_for.map(|silent| silent.as_millis() as u64),
            saved: member.saved.into(),
            behind: member.behind,
        }
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Voting => "voting",
        Role::Joining => "joining",
        Role::Silent => "silent",
        Role::Observer => "observer",
    }
}

impl ControlStatus {
    pub fn new(node: &str, status: &Status) -> ControlStatus {
        let holder = status.holder.map(|(at, number)| Holder { address: at.to_string(), number });
        ControlStatus {
            node: node.to_string(),
            address: status.me.to_string(),
            epoch: status.epoch,
            changing: status.changing,
            ready: status.ready,
            voting: status.voting,
            in_touch: status.in_touch,
            lease_number: status.lease_number,
            holder,
            in_force: status.committed.into(),
            members: status.members.iter().map(Member::from).collect(),
        }
    }

    /// As text, for a terminal.
    pub fn print(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(out, "{} at {}: {}", self.node, self.address, self.summary());
        let changing = if self.changing { ", a change is under way" } else { "" };
        let _ = writeln!(out, "voters: epoch {}{changing}", self.epoch);
        let _ = match &self.holder {
            Some(holder) => writeln!(out, "lease: held by {} under {}", holder.address, holder.number),
            None => writeln!(out, "lease: no holder is known; {} was promised", self.lease_number),
        };
        let _ = match self.in_force.revision {
            0 => writeln!(out, "configuration: none"),
            revision => {
                writeln!(out, "configuration: revision {revision}, digest {}", self.in_force.digest)
            }
        };
        let rows: Vec<Vec<String>> = self.members.iter().map(|member| self.row(member)).collect();
        out + &table(&["member", "role", "heard ms ago", "revision on disk", "digest", ""], &rows)
    }

    fn summary(&self) -> &'static str {
        match (self.ready, self.in_touch, self.voting) {
            (false, ..) => "not ready: it has not heard a majority since its start",
            (true, false, _) => "cut off: no majority is in touch",
            (true, true, false) => "in touch with a majority, its own vote does not count",
            (true, true, true) => "in touch with a majority",
        }
    }

    fn row(&self, member: &Member) -> Vec<String> {
        let heard = match member.heard_ms {
            Some(heard) => heard.to_string(),
            None if member.address == self.address => "itself".to_string(),
            None => "never".to_string(),
        };
        vec![
            member.address.clone(),
            member.role.clone(),
            heard,
            member.saved.revision.to_string(),
            member.saved.digest.clone(),
            if member.behind { "behind".to_string() } else { String::new() },
        ]
    }
}

/// The body of a controller's answer.
pub fn answer(node: &str, status: &Status) -> Vec<u8> {
    ControlStatus::new(node, status).serialize_json().into_bytes()
}

pub fn command() -> Command {
    Command::new("status")
        .about("Voters, lease and configuration as a controller knows them, and who is behind")
        .arg(
            Arg::new("ADDRESS")
                .required(true)
                .help("The control_plane address of any controller, as 10.1.0.23:8026"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("All that it told, as JSON"))
}

/// Asks a controller, and prints what it answers.
pub fn run(given: &ArgMatches) -> Result<String, String> {
    let address = given.get_one::<String>("ADDRESS").cloned().unwrap_or_default();
    let at = parse_address(&address, "10.1.0.23:8026")?;
    let text = call_controller(at, "GET", STATUS, "")?;
    let told = ControlStatus::deserialize_json(&text)
        .map_err(|why| format!("{at}: an answer that cannot be read: {why}"))?;
    Ok(match given.get_flag("json") {
        true => told.serialize_json() + "\n",
        false => told.print(),
    })
}
