//! Several real schedulers before the same workers, each with its files, its operators' address behind a relay, and
//! clients of its own.

use crate::checks;
use crate::mocks::{Agent, Client, TaskRecord, Worker};
use crate::peers::{call, entry, program, scratch, try_call};
use crate::relays::Relay;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A step that takes this long is a failure.
pub const PATIENCE: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(5);
/// A worker's slots and the time of a run: with six schedulers of twenty tasks a second about half of what four bear.
const SLOTS: usize = 2;
const RUN: Duration = Duration::from_millis(20);
/// A client's tasks: longer than a run takes, so that each scheduler gets the same at any time.
const EVERY: Duration = Duration::from_millis(60);

/// Waits until it holds; a failure names what never did.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "never came: {what}");
        sleep(LOOK);
    }
}

fn send(signal: &str, id: u32) {
    assert!(Command::new("kill").args([signal, &id.to_string()]).status().expect("kill").success());
}

/// One scheduler, whether it runs at the moment or not.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// Its operators' address, and the way to it that others use.
    pub management: SocketAddr,
    pub relay: Relay,
    pub configuration: PathBuf,
    child: Option<Child>,
    /// When it was killed, and when it was ready again.
    gone: Vec<(Instant, Option<Instant>)>,
    log: PathBuf,
}

impl Node {
    pub fn is_ready(&self) -> bool {
        try_call(self.management, b"readyz\n").as_deref() == Some("done\n")
    }

    /// Starts its process; returns when it is ready.
    pub fn start(&mut self) {
        self.launch();
        until(&format!("{} is ready", self.name), || self.is_ready());
    }

    /// Starts its process; returns when it answers its operators, ready or not.
    pub fn launch(&mut self) {
        self.launch_with(&[]);
        until(&format!("{} answers", self.name), || !self.query("readyz").is_empty());
        if let Some((_, back)) = self.gone.last_mut() {
            back.get_or_insert(Instant::now());
        }
    }

    fn launch_with(&mut self, words: &[&str]) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let folder = self.configuration.with_extension("run");
        fs::create_dir_all(&folder).expect("a folder");
        let mut command = Command::new(program());
        command.env("GW_CONFIG", &self.configuration).env("TMPDIR", folder).env_remove("GW_MGMT");
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("a log")).stdout(log);
        command.args(words);
        self.child = Some(command.spawn().expect("a scheduler"));
    }

    /// A second process beside the one that runs, with another operators' address, which is to take over; whoever asked
    /// for it ends it.
    pub fn spawn_second(&self) -> Child {
        let mut at = self.management;
        at.set_port(at.port() + SECOND);
        let mut command = Command::new(program());
        command.arg("run").arg(&self.configuration).arg("--set").arg(format!("management.listen={at}"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().expect("a second process")
    }

    /// Starts a second process beside the one that runs, with another operators' address, which is to take over; the one
    /// before is told to end once the new one is ready. For an installation's own form.
    pub fn upgrade(&mut self) {
        let mut before = self.child.take().expect("it runs");
        self.management.set_port(self.management.port() + SECOND);
        let (file, at) = (self.configuration.clone(), format!("management.listen={}", self.management));
        self.launch_with(&["run", &file.display().to_string(), "--set", &at]);
        let id = self.child.as_ref().expect("it runs").id();
        until("the new process answers", || self.query("version").contains(&format!("\"pid\":{id},")));
        until("the new process is ready", || self.is_ready());
        send("-TERM", before.id());
        assert!(before.wait().expect("an end").success());
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// What it answers to a call, or nothing.
    pub fn query(&self, call: &str) -> String {
        try_call(self.management, format!("{call}\n").as_bytes()).unwrap_or_default()
    }

    pub fn signal(&self, signal: &str) {
        send(signal, self.child.as_ref().expect("it runs").id());
    }

    /// Ends it outright.
    pub fn kill(&mut self) {
        self.gone.push((Instant::now(), None));
        let mut child = self.child.take().expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("killed");
    }

    /// Whether it was away at some time between the two.
    pub fn was_gone(&self, from: Instant, to: Instant) -> bool {
        // A client learns of the end a moment after it.
        let to = to + Duration::from_millis(50);
        self.gone.iter().any(|(left, back)| *left <= to && back.is_none_or(|back| back >= from))
    }

    /// The settings in force, by their digest.
    pub fn in_force(&self) -> String {
        let said = call(self.management, b"version\n");
        let word = said.split("\"settings\":\"").nth(1).and_then(|rest| rest.split('"').next());
        word.unwrap_or_else(|| panic!("no version of {}: {said}", self.name)).into()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Also when the test panics, and when it stands still.
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Ports that the system gives to nobody by itself.
const CLIENTS: u16 = 7000;
const OPERATORS: u16 = 8000;
/// From one of a scheduler's operators' addresses to the other.
const SECOND: u16 = 1000;
const KEEPER: u16 = 10_000;

/// An address of loopback for one fleet of one process alone. Guards against a port that was free a moment ago: a
/// scheduler that comes back needs its own again, and tests run side by side.
fn host() -> Ipv4Addr {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, 1 + FLEETS.fetch_add(1, Ordering::SeqCst) % 254)
}

pub struct Fleet {
    pub folder: PathBuf,
    pub nodes: Vec<Node>,
    pub workers: Vec<Arc<Worker>>,
    clients: Vec<Client>,
    agent: Arc<Agent>,
}

/// What all schedulers of a fleet are told; `limit` is the hard limit of both workloads, in seconds.
pub fn settings(limit: f64) -> String {
    let promised = limit / 2.0;
    format!(
        r#"{{"instances": 6, "zone": 0, "discovery": "automatic", "areas": ["here"], "skus": ["one"],
 "caps": {{"cancel": true, "most_assignments": 3, "dial_timeout_s": 1, "keepalive_s": 30, "retry_after": true,
          "max_retry_after_s": 0.5}},
 "rules": {{"cold_share": 0.3, "overload_factor": 3.0, "warm_within_s": 0.5}}, "domain": {{"tells_start": true}},
 "workloads": [
  {{"name": "plan", "effect": "retryable", "hard_limit_s": {limit}, "promised_time_s": {promised}, "utility": 1}},
  {{"name": "release", "effect": "fragile", "hard_limit_s": {limit}, "promised_time_s": {promised}, "utility": 1}}]}}"#
    )
}

impl Fleet {
    /// So many schedulers, ready, with four workers; the folder of that name is made anew.
    pub fn start(name: &str, schedulers: usize) -> Self {
        let mut fleet = Self::written(name, schedulers);
        fleet.nodes.iter_mut().for_each(Node::start);
        fleet
    }

    /// The same with no process begun.
    pub(crate) fn written(name: &str, schedulers: usize) -> Self {
        let folder = scratch().join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let workers: Vec<_> = (0..4).map(|n| Worker::start(&format!("w{n}"), SLOTS, RUN)).collect();
        let agent = Agent::start(workers.iter().map(|w| entry(&w.name, w.address, "active")).collect());
        let host = host();
        let nodes = (0..schedulers).map(|number| {
            let port = |from: u16| SocketAddr::from((host, from + number as u16));
            let (address, management) = (port(CLIENTS), port(OPERATORS));
            let name = format!("n{number}");
            let configuration = folder.join(format!("{name}.json"));
            let text = format!(
                r#"{{"name":"{name}","listen":"{address}","mgmt":"{management}","discovery":"{}","seed":"{number}","settings":{}}}"#,
                agent.address,
                settings(6.0)
            );
            fs::write(&configuration, text).expect("a configuration");
            let (relay, log) = (Relay::to(management), folder.join(format!("{name}.log")));
            let (child, gone) = (None, Vec::new());
            Node { name, address, management, relay, configuration, child, gone, log }
        });
        let nodes = nodes.collect();
        Fleet { folder, nodes, workers, clients: Vec::new(), agent }
    }

    pub(crate) fn discovery(&self) -> SocketAddr {
        self.agent.address
    }

    /// Two clients at each scheduler, one a workload.
    pub fn load(&mut self) {
        for (number, node) in self.nodes.iter().enumerate() {
            for path in ["/plan/p", "/release/r"] {
                // The workers bear what six schedulers hand them at that pace.
                let every = EVERY * self.nodes.len().div_ceil(6) as u32;
                self.clients.push(Client::start(number, node.address, path, every));
            }
        }
    }

    pub fn records(&self) -> Vec<TaskRecord> {
        self.clients.iter().flat_map(Client::records).collect()
    }

    /// Waits for so many answers from now on, wherever.
    pub fn wait_for_answers(&self, more: usize) {
        let from = self.records().len();
        until("answers to clients", || self.records().len() >= from + more);
    }

    /// Ends the clients; what broke, by the judge.
    pub fn violations(&mut self) -> Vec<String> {
        self.clients.iter_mut().for_each(Client::stop);
        let notes = self
            .workers
            .iter()
            .map(|worker| (worker.name.clone(), worker.received.lock().expect("notes").clone()));
        let came: Vec<_> = notes
            .flat_map(|(name, came)| came.into_iter().map(move |(id, at)| (id, name.clone(), at)))
            .collect();
        let gone = |to: usize, from, until| self.nodes[to].was_gone(from, until);
        checks::violations(&self.records(), &came, |id| id.contains("-r-"), gone)
    }

    /// A plan over all, watched for a second a stage; `next` is the text of the file with the new settings.
    pub fn plan(&self, run: &str, next: &str, more: &str) -> PathBuf {
        let (plan, file) = (self.folder.join(format!("{run}.toml")), self.folder.join(format!("{run}.json")));
        fs::write(&file, next).expect("settings");
        let schedulers: String = self
            .nodes
            .iter()
            .map(|node| {
                let (name, at) = (&node.name, node.relay.address);
                format!("[[scheduler]]\nname = \"{name}\"\nmanagement = \"{at}\"\nconfiguration = \"{name}.json\"\n")
            })
            .collect();
        let text = format!(
            "name = \"{run}\"\nrecord = \"{run}-record\"\n[change]\nsettings = \"{run}.json\"\n\
             [stages]\nshares = [0.17, 0.5, 1.0]\nwatch = \"1s\"\nwatch-at-most = \"25s\"\n{more}\n{schedulers}"
        );
        fs::write(&plan, text).expect("a plan");
        plan
    }

    /// The texts of all configurations.
    pub fn files(&self) -> Vec<String> {
        let read = |node: &Node| fs::read_to_string(&node.configuration).expect("a configuration");
        self.nodes.iter().map(read).collect()
    }

    pub fn in_force(&self) -> Vec<String> {
        self.nodes.iter().map(Node::in_force).collect()
    }
}

/// A process that works on a plan: `tindock rollout WORD PLAN`.
pub struct Coordinator {
    pub child: Child,
}

impl Coordinator {
    pub fn start(word: &str, plan: &Path) -> Self {
        let mut command = Command::new(program());
        command.arg("rollout").arg(word).arg(plan);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        Coordinator { child: command.spawn().expect("a coordinator") }
    }

    pub fn kill(mut self) {
        self.child.kill().and_then(|()| self.child.wait()).expect("killed");
    }

    pub fn signal(&self, signal: &str) {
        send(signal, self.child.id());
    }

    /// Its exit code and all that it said.
    pub fn end(self) -> (Option<i32>, String) {
        let output = self.child.wait_with_output().expect("its end");
        let said = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(said).expect("text"))
    }
}

/// Runs `tindock rollout WORD PLAN` to its end.
pub fn rollout(word: &str, plan: &Path) -> (Option<i32>, String) {
    Coordinator::start(word, plan).end()
}

/// A keeper over a fleet's schedulers, with the file that tells it of them.
pub struct Keeper {
    child: Option<Child>,
    file: PathBuf,
    pub control: SocketAddr,
}

impl Keeper {
    pub fn start(&mut self) {
        let mut command = Command::new(program());
        let log =
            File::options().create(true).append(true).open(self.file.with_extension("log")).expect("a log");
        // As staff would from beside it: by a path that holds nowhere else.
        let (folder, file) = (self.file.parent(), self.file.file_name());
        command
            .current_dir(folder.expect("a folder"))
            .arg("keep")
            .arg(file.expect("a name"))
            .stdin(Stdio::null());
        command.stderr(log.try_clone().expect("a log")).stdout(log);
        self.child = Some(command.spawn().expect("a keeper"));
        until("the keeper's schedulers serve", || {
            try_call(self.control, b"readyz\n").as_deref() == Some("done\n")
        });
    }

    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("killed");
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_extension("log")).unwrap_or_default()
    }

    /// What it tells of a scheduler, under a word of its answer.
    pub fn told(&self, name: &str, word: &str) -> String {
        let said = call(self.control, b"programs\n");
        let of = said.split("{\"fence\"").find(|one| one.contains(&format!("\"name\":\"{name}\"")));
        let of = of.unwrap_or_else(|| panic!("{name} is not told: {said}"));
        let value = of.split(&format!("\"{word}\":")).nth(1).and_then(|rest| rest.split([',', '}']).next());
        value.unwrap_or_default().trim_matches('"').into()
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    /// A fleet whose processes a keeper starts, from a program of its own folder.
    pub fn start_with_keeper(name: &str, schedulers: usize) -> (Self, Keeper) {
        let fleet = Self::written(name, schedulers);
        let own = fleet.folder.join("tindock-old");
        fs::copy(program(), own).expect("a program");
        let host = fleet.nodes[0].address.ip();
        let (control, file) = (SocketAddr::from((host, KEEPER)), fleet.folder.join("keep.toml"));
        let of = |node: &Node| {
            let (name, one) = (&node.name, node.management);
            let other = SocketAddr::from((host, one.port() + SECOND));
            format!(
                "[[scheduler]]\nname = \"{name}\"\nconfiguration = \"{name}.json\"\nmanagement = [\"{one}\", \"{other}\"]\n"
            )
        };
        let schedulers: String = fleet.nodes.iter().map(of).collect();
        let text = format!(
            "name = \"keeper\"\ncontrol = \"{control}\"\nfolder = \"keep\"\nprogram = \"tindock-old\"\n{schedulers}"
        );
        fs::write(&file, text).expect("a keeper's file");
        let mut keeper = Keeper { child: None, file, control };
        keeper.start();
        (fleet, keeper)
    }

    /// A plan that brings a program through the keeper.
    pub fn program_plan(&self, run: &str, program: &str, keeper: &Keeper, more: &str) -> PathBuf {
        let plan = self.folder.join(format!("{run}.toml"));
        let schedulers = self.nodes.iter().map(|node| {
            let (name, at) = (&node.name, keeper.control);
            format!("[[scheduler]]\nname = \"{name}\"\nkeeper = \"{at}\"\nconfiguration = \"{name}.json\"\n")
        });
        let text = format!(
            "name = \"{run}\"\nrecord = \"{run}-record\"\n[change]\nprogram = \"{program}\"\n\
             [stages]\nshares = [0.17, 0.5, 1.0]\nwatch = \"1s\"\nwatch-at-most = \"25s\"\n{more}\n{}",
            schedulers.collect::<String>()
        );
        fs::write(&plan, text).expect("a plan");
        plan
    }

    /// Ends the processes that a keeper has left, by the numbers that they tell.
    pub fn kill_all(&self) {
        for node in &self.nodes {
            for port in [node.management.port(), node.management.port() + SECOND] {
                let at = SocketAddr::from((node.management.ip(), port));
                let said = try_call(at, b"version\n").unwrap_or_default();
                let id = said.split("\"pid\":").nth(1).and_then(|rest| rest.split(',').next());
                if let Some(id) = id {
                    let _ = Command::new("kill").args(["-KILL", id]).status();
                }
            }
        }
    }
}
