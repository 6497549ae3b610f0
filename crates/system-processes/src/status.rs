//! The status of the control state (docs/openapi/controller.yaml): a controller's answer, and the command
//! `status` that requests and prints it.

// Triggered by the code that nanoserde derives.
#![allow(clippy::question_mark)]

use crate::operator::{digest_text, STATUS_PATH};
use crate::rebinding::{call_controller, parse_address, table};
use clap::{Arg, ArgAction, ArgMatches, Command};
use nanoserde::{DeJson, SerJson};
use std::fmt::Write as _;
use tindock_control_store::{MemberStatus, Role, Status, Version};

/// The status of a controller, in JSON.
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

/// The lease holder and the lease number.
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
    #[nserde(rename = "heard_ms")]
    pub silent_ms: Option<u64>,
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
            silent_ms: member.silent_for.map(|silent| silent.as_millis() as u64),
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

    /// The text for a terminal.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(out, "{} at {}: {}", self.node, self.address, self.summary());
        let changing = if self.changing { ", a change is under way" } else { "" };
        let _ = writeln!(out, "voters: epoch {}{changing}", self.epoch);
        let _ = match &self.holder {
            Some(holder) => writeln!(out, "lease: held by {}, number {}", holder.address, holder.number),
            None => {
                writeln!(out, "lease: no holder is known; the last promised number is {}", self.lease_number)
            }
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
            (false, ..) => "not ready: no contact with a majority since its start",
            (true, false, _) => "cut off: no majority is in touch",
            (true, true, false) => "in touch with a majority, but not a voter itself",
            (true, true, true) => "in touch with a majority",
        }
    }

    fn row(&self, member: &Member) -> Vec<String> {
        let silent = match member.silent_ms {
            Some(silent) => silent.to_string(),
            None if member.address == self.address => "itself".to_string(),
            None => "never".to_string(),
        };
        vec![
            member.address.clone(),
            member.role.clone(),
            silent,
            member.saved.revision.to_string(),
            member.saved.digest.clone(),
            if member.behind { "behind".to_string() } else { String::new() },
        ]
    }
}

/// The body of the answer to `GET /v1/Control.Status`.
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
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("The whole answer, as JSON"))
}

/// Requests the status from a controller, and returns the text to print.
pub fn run(given: &ArgMatches) -> Result<String, String> {
    let address = given.get_one::<String>("ADDRESS").cloned().unwrap_or_default();
    let at = parse_address(&address, "10.1.0.23:8026")?;
    let text = call_controller(at, "GET", STATUS_PATH, "")?;
    let status =
        ControlStatus::deserialize_json(&text).map_err(|why| format!("{at}: invalid answer: {why}"))?;
    Ok(match given.get_flag("json") {
        true => status.serialize_json() + "\n",
        false => status.to_text(),
    })
}
