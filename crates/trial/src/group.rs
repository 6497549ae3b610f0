//! Schedulers that decide their policy together: each hears the others through a relay of its own, so that the way from
//! any one to any other can be cut by itself. A policy's number shows from outside: under number n the workload `under-n`
//! is taken, and no other of that name.

use crate::fleet::{until, Fleet, Node};
use crate::mocks::{Client, TaskEnd, TaskRecord};
use crate::peers::program;
use crate::relays::{DatagramRelay, LinkState};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// What a member serves on, and the longest time for which two numbers may be in force.
pub const LEASE: Duration = Duration::from_millis(1500);
pub const MAX_OVERLAP: Duration = Duration::from_millis(1600);
const GROUP: u16 = 6000;
const EVERY: Duration = Duration::from_millis(25);

pub struct Group {
    pub fleet: Fleet,
    /// In front of each member.
    pub relays: Vec<DatagramRelay>,
    /// Where each hears, and speaks from.
    pub endpoints: Vec<SocketAddr>,
    /// By number of the policy and of the scheduler.
    clients: Vec<(usize, Client)>,
}

/// The policy that is to be number `n`; `more` stands under `[workers]`.
pub fn policy(n: usize, more: &str) -> String {
    let workload = |name: &str, effect: &str| {
        format!("[[workload]]\nname = \"{name}\"\neffect = \"{effect}\"\npromised = \"3s\"\nhard-limit = \"6s\"\n")
    };
    let own = format!("under-{n}");
    let workloads = [("plan", "idempotent"), ("release", "unrepeatable"), (own.as_str(), "idempotent")];
    let workloads: String = workloads.iter().map(|(name, effect)| workload(name, effect)).collect();
    format!(
        "{workloads}[workers]\nmost-assignments = 3\ntell-start = true\nconnect-within = \"1s\"\n\
         warm-within = \"500ms\"\ncome-back-at-most = \"500ms\"\n{more}\n"
    )
}

impl Group {
    /// So many schedulers that run, and have decided nothing yet; `more` is for the file of each.
    pub fn start(name: &str, schedulers: usize, more: impl Fn(usize) -> String) -> Self {
        let mut fleet = Fleet::written(name, schedulers);
        let at = |node: &Node| SocketAddr::from((node.address.ip(), node.address.port() - 7000 + GROUP));
        let hears: Vec<SocketAddr> = fleet.nodes.iter().map(at).collect();
        let relays: Vec<DatagramRelay> = hears.iter().map(|at| DatagramRelay::to(*at)).collect();
        let members =
            fleet.nodes.iter().zip(&relays).map(|(node, r)| format!("\"{}={}\"", node.name, r.address));
        let members = members.collect::<Vec<_>>().join(", ");
        let discovery = fleet.discovery();
        for (number, node) in fleet.nodes.iter_mut().enumerate() {
            node.configuration = fleet.folder.join(format!("n{number}.toml"));
            let (listen, management, hears) = (node.address, node.management, hears[number]);
            let text = format!(
                "name = \"n{number}\"\nlisten = \"{listen}\"\ndiscovery = \"{discovery}\"\nseed = {number}\n{}\n\
                 [management]\nlisten = \"{management}\"\nruntime = \"n{number}.run\"\n\
                 [accord]\nlisten = \"{hears}\"\nfolder = \"n{number}.accord\"\nmembers = [{members}]\n\
                 lease = \"{}ms\"\n{}",
                policy(0, &format!("schedulers = {schedulers}")),
                LEASE.as_millis(),
                more(number),
            );
            fs::write(&node.configuration, text).expect("a configuration");
            node.launch();
        }
        let group = Group { fleet, relays, endpoints: hears, clients: Vec::new() };
        group.until_all_answer();
        group
    }

    /// The same, with number 1 in force at all and clients at work.
    pub fn start_with_policy(name: &str, schedulers: usize, more: impl Fn(usize) -> String) -> Self {
        let mut group = Group::start(name, schedulers, more);
        let (code, said) = group.propose(0, 1);
        assert_eq!(code, Some(0), "{said}");
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

    /// Clients for the policies up to that number, at each scheduler.
    pub fn load_up_to(&mut self, last: usize) {
        let first = self.clients.iter().map(|(number, _)| *number).max().unwrap_or_default() + 1;
        for number in first..=last {
            for (to, node) in self.fleet.nodes.iter().enumerate() {
                let path = format!("/under-{number}/u{number}");
                // Four workers bear what six schedulers hand them at that pace.
                let every = EVERY * self.fleet.nodes.len().div_ceil(6) as u32;
                self.clients.push((number, Client::start(to, node.address, &path, every)));
            }
        }
    }

    /// A policy's file.
    pub fn file(&self, number: usize, more: &str) -> PathBuf {
        let path = self.fleet.folder.join(format!("policy-{number}.toml"));
        fs::write(&path, policy(number, more)).expect("a policy");
        path
    }

    /// A command of staff's to one scheduler, begun.
    pub fn begin(&self, to: usize, words: &[&str]) -> std::process::Child {
        let mut command = Command::new(program());
        command.arg("policy").args(words).arg("--at").arg(self.fleet.nodes[to].management.to_string());
        command.stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::piped());
        command.spawn().expect("a command")
    }

    pub fn command(&self, to: usize, words: &[&str]) -> (Option<i32>, String) {
        exit_and_output(self.begin(to, words).wait_with_output().expect("its end"))
    }

    /// Proposes the policy that is to be that number.
    pub fn propose(&self, to: usize, number: usize) -> (Option<i32>, String) {
        let file = self.file(number, "");
        self.command(to, &["propose", &file.display().to_string()])
    }

    /// The number in force at one, as it says itself; none where it gives no answer.
    pub fn number(&self, at: usize) -> Option<usize> {
        self.status_field(at, "\"number\":")?.parse().ok()
    }

    /// What stands behind some words of a status.
    pub fn status_field(&self, at: usize, words: &str) -> Option<String> {
        let said = self.fleet.nodes[at].query("policy");
        let rest = said.split(words).nth(1)?;
        Some(rest.split([',', '}']).next()?.trim_matches('"').into())
    }

    pub fn serves(&self, at: usize) -> bool {
        self.status_field(at, "\"serves\":").as_deref() == Some("true")
    }

    /// Waits until that number is in force at all of them, and they serve.
    pub fn until_in_force(&self, number: usize, at: &[usize]) {
        for &at in at {
            until(&format!("number {number} at n{at}"), || {
                self.number(at) == Some(number) && self.serves(at)
            });
        }
    }

    /// Waits until one number is in force at all, and all serve.
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

    /// Cuts all ways between the two parts, or opens them.
    pub fn set_links(&self, one: &[usize], other: &[usize], way: LinkState) {
        for &a in one {
            for &b in other {
                self.relays[a].set(self.endpoints[b], way);
                self.relays[b].set(self.endpoints[a], way);
            }
        }
    }

    pub fn heal(&self) {
        self.relays.iter().for_each(|relay| relay.set_all(LinkState::Open));
    }

    /// Answers to tasks of a policy's own workload.
    pub fn records(&self, number: usize) -> Vec<TaskRecord> {
        let of = self.clients.iter().filter(|(of, _)| *of == number);
        of.flat_map(|(_, client)| client.records()).collect()
    }

    /// Waits until a scheduler has finished a task under that policy that was handed in from now on.
    pub fn until_finished(&self, number: usize, at: usize) {
        let from = Instant::now();
        until(&format!("a task under {number} at n{at}"), || {
            self.records(number).iter().any(|t| t.to == at && t.end == TaskEnd::Finished && t.sent >= from)
        });
    }

    /// For how long tasks were still taken under `old`, as far as clients can tell, after the first was under `new`.
    pub fn overlap(&self, old: usize, new: usize) -> Duration {
        let finished = |number| self.records(number).into_iter().filter(|told| told.end == TaskEnd::Finished);
        let first = finished(new).map(|told| told.answered).min();
        let last = finished(old).map(|told| told.sent).max();
        first.zip(last).map_or(Duration::ZERO, |(first, last)| last.saturating_duration_since(first))
    }

    /// What broke: the four rules by the judge, and two policies for longer than the bound.
    pub fn violations(&mut self) -> Vec<String> {
        self.clients.iter_mut().for_each(|(_, client)| client.stop());
        let mut wrong = self.fleet.violations();
        let last = self.clients.iter().map(|(number, _)| *number).max().unwrap_or_default();
        for old in 1..last {
            let mixture = (old + 1..=last).map(|new| self.overlap(old, new)).max().unwrap_or_default();
            if mixture > MAX_OVERLAP {
                wrong.push(format!("number {old} was served under {mixture:?} after a later one"));
            }
        }
        wrong
    }
}

/// Exit code and all that was said.
pub fn exit_and_output(output: Output) -> (Option<i32>, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).expect("text"))
}
