//! Several real schedulers with the same workers. Each has its own files, its management address behind a
//! relay, and its own clients.

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
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Slots of a worker and duration of a task: six schedulers with twenty tasks a second use about half of the
/// capacity of four workers.
const SLOTS: usize = 2;
const RUN: Duration = Duration::from_millis(20);
/// Interval of a client's tasks: longer than a task runs, so that each scheduler gets the same number of
/// tasks.
const TASK_INTERVAL: Duration = Duration::from_millis(60);

/// Waits until the condition holds; `what` names it in the failure.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < STEP_TIMEOUT, "timed out waiting for: {what}");
        sleep(POLL_INTERVAL);
    }
}

fn send(signal: &str, id: u32) {
    assert!(Command::new("kill").args([signal, &id.to_string()]).status().expect("kill").success());
}

/// One scheduler, running or not.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// Its management address.
    pub management: SocketAddr,
    /// The relay through which rollouts reach the management address.
    pub relay: Relay,
    pub configuration: PathBuf,
    child: Option<Child>,
    /// When it was killed, and when it answered again.
    downtimes: Vec<(Instant, Option<Instant>)>,
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

    /// Starts its process; returns when its management address answers, ready or not.
    pub fn launch(&mut self) {
        self.launch_with(&[]);
        until(&format!("{} answers", self.name), || !self.query("readyz").is_empty());
        if let Some((_, back)) = self.downtimes.last_mut() {
            back.get_or_insert(Instant::now());
        }
    }

    fn launch_with(&mut self, args: &[&str]) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let folder = self.configuration.with_extension("run");
        fs::create_dir_all(&folder).expect("a folder");
        let mut command = Command::new(program());
        command.env("GW_CONFIG", &self.configuration).env("TMPDIR", folder).env_remove("GW_MGMT");
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("a log")).stdout(log);
        command.args(args);
        self.child = Some(command.spawn().expect("a scheduler"));
    }

    /// Starts a second process with another management address while the first runs; it is to take over. The
    /// caller must end it.
    pub fn spawn_second(&self) -> Child {
        let mut at = self.management;
        at.set_port(at.port() + SECOND_OFFSET);
        let mut command = Command::new(program());
        command.arg("run").arg(&self.configuration).arg("--set").arg(format!("management.listen={at}"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().expect("a second process")
    }

    /// Starts a second process with another management address, which takes over; once it is ready, the first
    /// one gets SIGTERM. For configurations in the installation's TOML form.
    pub fn upgrade(&mut self) {
        let mut previous = self.child.take().expect("it runs");
        self.management.set_port(self.management.port() + SECOND_OFFSET);
        let (file, at) = (self.configuration.clone(), format!("management.listen={}", self.management));
        self.launch_with(&["run", &file.display().to_string(), "--set", &at]);
        let id = self.child.as_ref().expect("it runs").id();
        until("the new process answers", || self.query("version").contains(&format!("\"pid\":{id},")));
        until("the new process is ready", || self.is_ready());
        send("-TERM", previous.id());
        assert!(previous.wait().expect("an end").success());
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Its response to a management call; empty if there is none.
    pub fn query(&self, call: &str) -> String {
        try_call(self.management, format!("{call}\n").as_bytes()).unwrap_or_default()
    }

    pub fn signal(&self, signal: &str) {
        send(signal, self.child.as_ref().expect("it runs").id());
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.downtimes.push((Instant::now(), None));
        let mut child = self.child.take().expect("it runs");
        child.kill().and_then(|()| child.wait()).expect("killed");
    }

    /// Whether it was down at some time between the two.
    pub fn was_down(&self, from: Instant, to: Instant) -> bool {
        // A client observes the end of the process with a short delay.
        let to = to + Duration::from_millis(50);
        self.downtimes.iter().any(|(left, back)| *left <= to && back.is_none_or(|back| back >= from))
    }

    /// The digest of the settings in force.
    pub fn in_force(&self) -> String {
        let version = call(self.management, b"version\n");
        let digest = version.split("\"settings\":\"").nth(1).and_then(|rest| rest.split('"').next());
        digest.unwrap_or_else(|| panic!("no version of {}: {version}", self.name)).into()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Also ends the process if the test panics, and if the process is stopped (SIGSTOP).
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// First ports of clients' and of management addresses, below the kernel's ephemeral range.
const CLIENT_PORTS: u16 = 7000;
const MANAGEMENT_PORTS: u16 = 8000;
/// Offset from the management port of a scheduler's first process to that of its second one.
const SECOND_OFFSET: u16 = 1000;
const KEEPER_PORT: u16 = 10_000;

/// A loopback address for one fleet of one test process. Tests run in parallel, and a restarted scheduler
/// needs its port again, which another test could otherwise have taken meanwhile.
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

/// The settings of all schedulers of a fleet; `limit` is the hard limit of both workloads, in seconds.
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
    /// Starts schedulers with four workers, and waits until they are ready; the folder of this name is
    /// emptied.
    pub fn start(name: &str, schedulers: usize) -> Self {
        let mut fleet = Self::prepare(name, schedulers);
        fleet.nodes.iter_mut().for_each(Node::start);
        fleet
    }

    /// Writes the files and starts the workers of a fleet, but no scheduler.
    pub(crate) fn prepare(name: &str, schedulers: usize) -> Self {
        let folder = scratch().join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let workers: Vec<_> = (0..4).map(|n| Worker::start(&format!("w{n}"), SLOTS, RUN)).collect();
        let agent = Agent::start(workers.iter().map(|w| entry(&w.name, w.address, "active")).collect());
        let host = host();
        let nodes = (0..schedulers).map(|number| {
            let port = |from: u16| SocketAddr::from((host, from + number as u16));
            let (address, management) = (port(CLIENT_PORTS), port(MANAGEMENT_PORTS));
            let name = format!("n{number}");
            let configuration = folder.join(format!("{name}.json"));
            let text = format!(
                r#"{{"name":"{name}","listen":"{address}","mgmt":"{management}","discovery":"{}","seed":"{number}","settings":{}}}"#,
                agent.address,
                settings(6.0)
            );
            fs::write(&configuration, text).expect("a configuration");
            let (relay, log) = (Relay::to(management), folder.join(format!("{name}.log")));
            let (child, downtimes) = (None, Vec::new());
            Node { name, address, management, relay, configuration, child, downtimes, log }
        });
        let nodes = nodes.collect();
        Fleet { folder, nodes, workers, clients: Vec::new(), agent }
    }

    pub(crate) fn discovery(&self) -> SocketAddr {
        self.agent.address
    }

    /// Starts two clients at each scheduler, one for each workload.
    pub fn load(&mut self) {
        for (number, node) in self.nodes.iter().enumerate() {
            for path in ["/plan/p", "/release/r"] {
                // The workers can process the tasks of six schedulers at this interval.
                let every = TASK_INTERVAL * self.nodes.len().div_ceil(6) as u32;
                self.clients.push(Client::start(number, node.address, path, every));
            }
        }
    }

    /// All tasks of all clients so far.
    pub fn records(&self) -> Vec<TaskRecord> {
        self.clients.iter().flat_map(Client::records).collect()
    }

    /// Waits for this many further responses from any schedulers.
    pub fn wait_for_answers(&self, more: usize) {
        let from = self.records().len();
        until("answers to clients", || self.records().len() >= from + more);
    }

    /// Stops the clients and returns the violations of the rules.
    pub fn violations(&mut self) -> Vec<String> {
        self.clients.iter_mut().for_each(Client::stop);
        let recorded = self
            .workers
            .iter()
            .map(|worker| (worker.name.clone(), worker.received.lock().expect("records").clone()));
        let received: Vec<_> = recorded
            .flat_map(|(name, received)| received.into_iter().map(move |(id, at)| (id, name.clone(), at)))
            .collect();
        let was_down = |to: usize, from, until| self.nodes[to].was_down(from, until);
        checks::violations(&self.records(), &received, |id| id.contains("-r-"), was_down)
    }

    /// Writes a rollout plan for all schedulers that watches each stage for a second; `next` is the text of
    /// the file with the new settings.
    pub fn plan(&self, run: &str, next: &str, more: &str) -> PathBuf {
        let (plan, file) = (self.folder.join(format!("{run}.toml")), self.folder.join(format!("{run}.json")));
        fs::write(&file, next).expect("settings");
        let schedulers: String = self
            .nodes
            .iter()
            .map(|node| {
                let (name, at) = (&node.name, node.relay.address);
                format!(
                    "[[scheduler]]\nname = \"{name}\"\nmanagement = \"{at}\"\n\
                     configuration = \"{name}.json\"\n"
                )
            })
            .collect();
        let text = format!(
            "name = \"{run}\"\nrecord = \"{run}-record\"\n[change]\nsettings = \"{run}.json\"\n\
             [stages]\nshares = [0.17, 0.5, 1.0]\nwatch = \"1s\"\nwatch-at-most = \"25s\"\n\
             {more}\n{schedulers}"
        );
        fs::write(&plan, text).expect("a plan");
        plan
    }

    /// The texts of all configuration files.
    pub fn files(&self) -> Vec<String> {
        let read = |node: &Node| fs::read_to_string(&node.configuration).expect("a configuration");
        self.nodes.iter().map(read).collect()
    }

    /// The digests of the settings in force at all schedulers.
    pub fn in_force(&self) -> Vec<String> {
        self.nodes.iter().map(Node::in_force).collect()
    }
}

/// A process that executes a rollout plan: `tindock rollout WORD PLAN`.
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

    /// Waits for its end: the exit code and all output.
    pub fn end(self) -> (Option<i32>, String) {
        let output = self.child.wait_with_output().expect("its end");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8(text).expect("text"))
    }
}

/// Runs `tindock rollout WORD PLAN` to its end.
pub fn rollout(word: &str, plan: &Path) -> (Option<i32>, String) {
    Coordinator::start(word, plan).end()
}

/// A keeper process (`tindock keep`) that supervises a fleet's schedulers, with its configuration file.
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
        // Like an operator in that folder: with a relative path that is valid nowhere else.
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

    /// The value of a field in the status that the keeper reports of a scheduler.
    pub fn status_field(&self, name: &str, field: &str) -> String {
        let status = call(self.control, b"programs\n");
        let entry = status.split("{\"fence\"").find(|one| one.contains(&format!("\"name\":\"{name}\"")));
        let entry = entry.unwrap_or_else(|| panic!("{name} is not listed: {status}"));
        let value =
            entry.split(&format!("\"{field}\":")).nth(1).and_then(|rest| rest.split([',', '}']).next());
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
    /// Starts a fleet whose processes a keeper starts, from a copy of the program in the fleet's folder.
    pub fn start_with_keeper(name: &str, schedulers: usize) -> (Self, Keeper) {
        let fleet = Self::prepare(name, schedulers);
        let own = fleet.folder.join("tindock-old");
        fs::copy(program(), own).expect("a program");
        let host = fleet.nodes[0].address.ip();
        let (control, file) = (SocketAddr::from((host, KEEPER_PORT)), fleet.folder.join("keep.toml"));
        let of = |node: &Node| {
            let (name, one) = (&node.name, node.management);
            let other = SocketAddr::from((host, one.port() + SECOND_OFFSET));
            format!(
                "[[scheduler]]\nname = \"{name}\"\nconfiguration = \"{name}.json\"\n\
                 management = [\"{one}\", \"{other}\"]\n"
            )
        };
        let schedulers: String = fleet.nodes.iter().map(of).collect();
        let text = format!(
            "name = \"keeper\"\ncontrol = \"{control}\"\nfolder = \"keep\"\nprogram = \"tindock-old\"\n\
             {schedulers}"
        );
        fs::write(&file, text).expect("a keeper's file");
        let mut keeper = Keeper { child: None, file, control };
        keeper.start();
        (fleet, keeper)
    }

    /// Writes a plan that rolls out a program through the keeper.
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

    /// Kills the scheduler processes that a keeper has left running, by the process ids that they report.
    pub fn kill_all(&self) {
        for node in &self.nodes {
            for port in [node.management.port(), node.management.port() + SECOND_OFFSET] {
                let at = SocketAddr::from((node.management.ip(), port));
                let version = try_call(at, b"version\n").unwrap_or_default();
                let id = version.split("\"pid\":").nth(1).and_then(|rest| rest.split(',').next());
                if let Some(id) = id {
                    let _ = Command::new("kill").args(["-KILL", id]).status();
                }
            }
        }
    }
}
