//! Schedulers that agree on their policy by consensus. Each receives the others' datagrams through its own
//! relay, so that the link from any one to any other can be cut separately. A policy's number is visible from
//! outside: under number n, tasks of the workload `under-n` are accepted, and of no other `under-` workload.

use crate::fleet::{until, Fleet, Node};
use crate::mocks::{Client, TaskEnd, TaskRecord};
use crate::peers::program;
use crate::relays::{DatagramRelay, LinkState};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// The lease under which a member serves.
pub const LEASE: Duration = Duration::from_millis(1500);
/// The longest time for which two policy numbers may be in force at different members.
pub const MAX_OVERLAP: Duration = Duration::from_millis(1600);
const GROUP_PORT: u16 = 6000;
const TASK_INTERVAL: Duration = Duration::from_millis(25);

pub struct Group {
    pub fleet: Fleet,
    /// The relay in front of each member.
    pub relays: Vec<DatagramRelay>,
    /// The address on which each member receives and from which it sends.
    pub endpoints: Vec<SocketAddr>,
    /// Clients, with the number of the policy whose workload they use.
    clients: Vec<(usize, Client)>,
}

/// The policy that is to get number `n`; `more` is appended to its section `[workers]`.
pub fn policy(n: usize, more: &str) -> String {
    let workload = |name: &str, effect: &str| {
        format!(
            "[[workload]]\nname = \"{name}\"\neffect = \"{effect}\"\n\
             promised = \"3s\"\nhard-limit = \"6s\"\n"
        )
    };
    let numbered = format!("under-{n}");
    let workloads = [("plan", "idempotent"), ("release", "unrepeatable"), (numbered.as_str(), "idempotent")];
    let workloads: String = workloads.iter().map(|(name, effect)| workload(name, effect)).collect();
    format!(
        "{workloads}[workers]\nmost-assignments = 3\ntell-start = true\nconnect-within = \"1s\"\n\
         warm-within = \"500ms\"\ncome-back-at-most = \"500ms\"\n{more}\n"
    )
}

impl Group {
    /// Starts schedulers that have not agreed on a policy yet; `more` is appended to the configuration of
    /// each.
    pub fn start(name: &str, schedulers: usize, more: impl Fn(usize) -> String) -> Self {
        let mut fleet = Fleet::prepare(name, schedulers);
        let at = |node: &Node| SocketAddr::from((node.address.ip(), node.address.port() - 7000 + GROUP_PORT));
        let endpoints: Vec<SocketAddr> = fleet.nodes.iter().map(at).collect();
        let relays: Vec<DatagramRelay> = endpoints.iter().map(|at| DatagramRelay::to(*at)).collect();
        let members =
            fleet.nodes.iter().zip(&relays).map(|(node, r)| format!("\"{}={}\"", node.name, r.address));
        let members = members.collect::<Vec<_>>().join(", ");
        let discovery = fleet.discovery();
        for (number, node) in fleet.nodes.iter_mut().enumerate() {
            node.configuration = fleet.folder.join(format!("n{number}.toml"));
            let (listen, management, endpoint) = (node.address, node.management, endpoints[number]);
            let text = format!(
                "name = \"n{number}\"\nlisten = \"{listen}\"\ndiscovery = \"{discovery}\"\nseed = {number}\n\
                 {}\n[management]\nlisten = \"{management}\"\nruntime = \"n{number}.run\"\n\
                 [accord]\nlisten = \"{endpoint}\"\nfolder = \"n{number}.accord\"\nmembers = [{members}]\n\
                 lease = \"{}ms\"\n{}",
                policy(0, &format!("schedulers = {schedulers}")),
                LEASE.as_millis(),
                more(number),
            );
            fs::write(&node.configuration, text).expect("a configuration");
            node.launch();
        }
        let group = Group { fleet, relays, endpoints, clients: Vec::new() };
        group.until_all_answer();
        group
    }

    /// Starts schedulers with policy number 1 in force at all of them, and clients under load.
    pub fn start_with_policy(name: &str, schedulers: usize, more: impl Fn(usize) -> String) -> Self {
        let mut group = Group::start(name, schedulers, more);
        let (code, output) = group.propose(0, 1);
        assert_eq!(code, Some(0), "{output}");
        group.until_in_force(1, &group.all());
        group.load_up_to(3);
        group.fleet.load();
        group.fleet.wait_for_answers(50);
        group
    }

    pub fn all(&self) -> Vec<usize> {
        (0..self.fleet.nodes.len()).collect()
    }

    fn until_all_answer(&self) {
        for node in &self.fleet.nodes {
            until(&format!("{} answers", node.name), || node.query("policy").ends_with("end\n"));
        }
    }

    /// Starts clients for the policies up to this number, at each scheduler.
    pub fn load_up_to(&mut self, last: usize) {
        let first = self.clients.iter().map(|(number, _)| *number).max().unwrap_or_default() + 1;
        for number in first..=last {
            for (to, node) in self.fleet.nodes.iter().enumerate() {
                let path = format!("/under-{number}/u{number}");
                // Four workers can process the tasks of six schedulers at this interval.
                let every = TASK_INTERVAL * self.fleet.nodes.len().div_ceil(6) as u32;
                self.clients.push((number, Client::start(to, node.address, &path, every)));
            }
        }
    }

    /// Writes the file of a policy.
    pub fn file(&self, number: usize, more: &str) -> PathBuf {
        let path = self.fleet.folder.join(format!("policy-{number}.toml"));
        fs::write(&path, policy(number, more)).expect("a policy");
        path
    }

    /// Starts an operator's policy command to one scheduler.
    pub fn begin(&self, to: usize, args: &[&str]) -> std::process::Child {
        let mut command = Command::new(program());
        command.arg("policy").args(args).arg("--at").arg(self.fleet.nodes[to].management.to_string());
        command.stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::piped());
        command.spawn().expect("a command")
    }

    /// Runs an operator's policy command to its end.
    pub fn command(&self, to: usize, args: &[&str]) -> (Option<i32>, String) {
        exit_and_output(self.begin(to, args).wait_with_output().expect("its end"))
    }

    /// Proposes the policy that is to get this number.
    pub fn propose(&self, to: usize, number: usize) -> (Option<i32>, String) {
        let file = self.file(number, "");
        self.command(to, &["propose", &file.display().to_string()])
    }

    /// The policy number that a scheduler reports as in force; None without a response.
    pub fn number(&self, at: usize) -> Option<usize> {
        self.status_field(at, "\"number\":")?.parse().ok()
    }

    /// The value after this text in a scheduler's policy status.
    pub fn status_field(&self, at: usize, text: &str) -> Option<String> {
        let status = self.fleet.nodes[at].query("policy");
        let rest = status.split(text).nth(1)?;
        Some(rest.split([',', '}']).next()?.trim_matches('"').into())
    }

    pub fn serves(&self, at: usize) -> bool {
        self.status_field(at, "\"serves\":").as_deref() == Some("true")
    }

    /// Waits until this number is in force at all of them, and they serve.
    pub fn until_in_force(&self, number: usize, at: &[usize]) {
        for &at in at {
            until(&format!("number {number} at n{at}"), || {
                self.number(at) == Some(number) && self.serves(at)
            });
        }
    }

    /// Waits until the same number is in force at all members, and all serve.
    pub fn until_one_in_force(&self) -> usize {
        let mut number = None;
        until("one number at all", || {
            let numbers: Vec<_> = self.all().iter().map(|at| self.number(*at)).collect();
            number = numbers[0];
            numbers.iter().all(|one| *one == number && number.is_some())
                && self.all().iter().all(|at| self.serves(*at))
        });
        number.unwrap_or_default()
    }

    /// Sets the state of all links between two parts of the group, in both directions.
    pub fn set_links(&self, one: &[usize], other: &[usize], state: LinkState) {
        for &a in one {
            for &b in other {
                self.relays[a].set(self.endpoints[b], state);
                self.relays[b].set(self.endpoints[a], state);
            }
        }
    }

    /// Opens all links.
    pub fn heal(&self) {
        self.relays.iter().for_each(|relay| relay.set_all(LinkState::Open));
    }

    /// Tasks of the workload `under-n` of a policy.
    pub fn records(&self, number: usize) -> Vec<TaskRecord> {
        let of = self.clients.iter().filter(|(of, _)| *of == number);
        of.flat_map(|(_, client)| client.records()).collect()
    }

    /// Waits until a scheduler has finished a task under this policy that was sent from now on.
    pub fn until_finished(&self, number: usize, at: usize) {
        let from = Instant::now();
        until(&format!("a task under {number} at n{at}"), || {
            self.records(number).iter().any(|t| t.to == at && t.end == TaskEnd::Finished && t.sent >= from)
        });
    }

    /// How long tasks were still accepted under `old`, as far as clients can observe, after the first was
    /// finished under `new`.
    pub fn overlap(&self, old: usize, new: usize) -> Duration {
        let finished = |number| self.records(number).into_iter().filter(|task| task.end == TaskEnd::Finished);
        let first = finished(new).map(|task| task.answered).min();
        let last = finished(old).map(|task| task.sent).max();
        first.zip(last).map_or(Duration::ZERO, |(first, last)| last.saturating_duration_since(first))
    }

    /// Violations of the rules of `checks`, and overlaps of two policies for longer than the bound.
    pub fn violations(&mut self) -> Vec<String> {
        self.clients.iter_mut().for_each(|(_, client)| client.stop());
        let mut found = self.fleet.violations();
        let last = self.clients.iter().map(|(number, _)| *number).max().unwrap_or_default();
        for old in 1..last {
            let overlap = (old + 1..=last).map(|new| self.overlap(old, new)).max().unwrap_or_default();
            if overlap > MAX_OVERLAP {
                found.push(format!("number {old} was served under {overlap:?} after a later one"));
            }
        }
        found
    }
}

/// The exit code, standard output and standard error of a process.
pub fn exit_and_output(output: Output) -> (Option<i32>, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).expect("text"))
}
