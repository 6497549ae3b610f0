//! The system's own programs as child processes, each with its own settings file, as described in
//! `DEPLOY.md`: a controller (command `archive`) on each core machine; a proxy (`desk`) and an agent (`page`)
//! on each edge machine.
//!
//! A process that ends is restarted after a short delay. All processes are ended by their ids: gracefully by
//! [`Fleet::shutdown`], at once when the fleet is dropped, and by a guard process (the same program, with
//! [`GUARD`]) when this process dies itself.

use crate::clients::ProxyAddress;
use crate::loopback::Net;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeSet;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// The hidden argument of `demo` that makes a process the guard of another.
pub const GUARD: &str = "guard";
/// Interval of the check for processes that have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A process that has been started this often is not restarted any more.
const MAX_STARTS: usize = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Controller,
    Agent,
    Proxy,
}

impl Role {
    /// The command of `tindock` that runs this role.
    pub fn name(self) -> &'static str {
        match self {
            Role::Controller => "archive",
            Role::Agent => "page",
            Role::Proxy => "desk",
        }
    }
}

/// The part of the settings that varies; the other values are those of a typical deployment.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The `tindock` program.
    pub program: PathBuf,
    /// Folder for settings, logs and disks. It is removed at the end.
    pub folder: PathBuf,
    pub zones: Vec<String>,
    /// Edge machines in each zone.
    pub edges: usize,
    /// Core machines in total, distributed over the zones in turn.
    pub cores: usize,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    pub drain: Duration,
    /// Calls of the platform's lists a second.
    pub rate_per_s: f64,
    /// Starts and stops of workers a second.
    pub duty_rate_s: f64,
    pub max_lag: Duration,
    /// Delay before a process that has ended is restarted; None: it is not restarted.
    pub restart_after: Option<Duration>,
}

#[derive(Debug)]
pub enum Fault {
    File(PathBuf, std::io::Error),
    Start(PathBuf, std::io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::File(path, why) | Fault::Start(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

struct Machine {
    name: String,
    zone: String,
    ip: Ipv4Addr,
    /// Part of the initial membership, at the first start of the whole system.
    is_initial: bool,
    /// Removed permanently: neither operators nor newly started processes get its address.
    removed: bool,
}

struct Process {
    machine: usize,
    role: Role,
    child: Option<Child>,
    starts: usize,
    ended: Option<Instant>,
}

/// The exit of a process, for whatever reason.
#[derive(Debug, Clone)]
pub struct ProcessExit {
    pub machine: String,
    pub role: Role,
    pub at: Instant,
    pub status: ExitStatus,
}

struct Inner {
    config: FleetConfig,
    net: Net,
    provider: SocketAddr,
    machines: Vec<Machine>,
    processes: Vec<Process>,
    guard: Option<(Child, ChildStdin)>,
    events: Vec<(Instant, String)>,
    exits: Vec<ProcessExit>,
    is_ending: bool,
    /// The folder is not removed at the end.
    keep_folder: bool,
}

/// The running programs; they are ended when it is dropped.
pub struct Fleet {
    inner: Arc<Mutex<Inner>>,
    monitor: AbortHandle,
}

impl Fleet {
    /// Writes the settings and starts all programs, controllers first.
    pub fn start(config: FleetConfig, net: Net, provider: SocketAddr) -> Result<Fleet, Fault> {
        let zones = config.zones.len().max(1);
        let zone = |n: usize| config.zones.get(n % zones).cloned().unwrap_or_default();
        let mut machines = Vec::new();
        let mut processes = Vec::new();
        let process = |machine, role| Process { machine, role, child: None, starts: 0, ended: None };
        for n in 0..config.cores {
            processes.push(process(machines.len(), Role::Controller));
            let name = format!("core-{}-{}", zone(n), n / zones + 1);
            machines.push(Machine { name, zone: zone(n), ip: net.core(n), is_initial: true, removed: false });
        }
        for n in 0..config.edges * zones {
            processes.push(process(machines.len(), Role::Agent));
            processes.push(process(machines.len(), Role::Proxy));
            let name = format!("edge-{}-{}", zone(n), n / zones + 1);
            machines.push(Machine { name, zone: zone(n), ip: net.edge(n), is_initial: true, removed: false });
        }
        fs::create_dir_all(&config.folder).map_err(|why| Fault::File(config.folder.clone(), why))?;
        let guard = start_guard(&config);
        let events = Vec::new();
        let inner = Inner {
            config,
            net,
            provider,
            machines,
            processes,
            guard,
            events,
            exits: Vec::new(),
            is_ending: false,
            keep_folder: false,
        };
        let inner = Arc::new(Mutex::new(inner));
        let monitored = inner.clone();
        let monitor = tokio::spawn(async move {
            loop {
                sleep(CHECK_INTERVAL).await;
                locked(&monitored).check_exits();
            }
        });
        // From here on, all processes that were started are ended when the fleet is dropped.
        let fleet = Fleet { inner, monitor: monitor.abort_handle() };
        let count = fleet.inner().processes.len();
        for index in 0..count {
            fleet.inner().spawn(index)?;
        }
        Ok(fleet)
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        locked(&self.inner)
    }

    pub fn folder(&self) -> PathBuf {
        self.inner().config.folder.clone()
    }

    /// Addresses of the proxies.
    pub fn proxies(&self) -> Vec<ProxyAddress> {
        let inner = self.inner();
        let has_proxy = |m: usize| inner.processes.iter().any(|p| p.machine == m && p.role == Role::Proxy);
        let address = |m: &Machine| ProxyAddress {
            zone: m.zone.clone(),
            data_plane: (m.ip, inner.net.ports.data_plane).into(),
            readiness: (m.ip, inner.net.ports.readiness).into(),
        };
        inner.machines.iter().enumerate().filter(|(n, _)| has_proxy(*n)).map(|(_, m)| address(m)).collect()
    }

    /// Where the operator reaches the controllers.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        self.inner().controllers()
    }

    /// Names of the machines that have a process of this role.
    pub fn machines(&self, role: Role) -> Vec<String> {
        let inner = self.inner();
        let of = |p: &&Process| p.role == role;
        inner.processes.iter().filter(of).map(|p| inner.machines[p.machine].name.clone()).collect()
    }

    /// Sends SIGKILL. False if there is no such process, or it is not running.
    pub fn kill(&self, machine: &str, role: Role) -> bool {
        let mut inner = self.inner();
        let Some(index) = inner.find(machine, role) else { return false };
        inner.record_event(format!("{machine} {} killed", role.name()));
        inner.processes[index].child.as_mut().is_some_and(|child| child.kill().is_ok())
    }

    /// Sends SIGTERM.
    pub fn terminate(&self, machine: &str, role: Role) -> bool {
        let mut inner = self.inner();
        let Some(index) = inner.find(machine, role) else { return false };
        inner.record_event(format!("{machine} {} got SIGTERM", role.name()));
        inner.processes[index].child.as_ref().is_some_and(term)
    }

    /// Sends SIGHUP: its settings file has changed.
    pub fn hang_up(&self, machine: &str, role: Role) -> bool {
        self.signal(machine, role, Signal::HUP, "got SIGHUP")
    }

    /// Sends SIGSTOP: the process is suspended until [`Fleet::resume`], with its sockets open.
    pub fn freeze(&self, machine: &str, role: Role) -> bool {
        self.signal(machine, role, Signal::STOP, "frozen")
    }

    /// Sends SIGCONT.
    pub fn resume(&self, machine: &str, role: Role) -> bool {
        self.signal(machine, role, Signal::CONT, "resumed")
    }

    fn signal(&self, machine: &str, role: Role, signal: Signal, what: &str) -> bool {
        let mut inner = self.inner();
        let Some(index) = inner.find(machine, role) else { return false };
        inner.record_event(format!("{machine} {} {what}", role.name()));
        let child = inner.processes[index].child.as_ref();
        child.is_some_and(|child| kill_process(Pid::from_child(child), signal).is_ok())
    }

    /// Restarts a process that has ended; its disk is unchanged. False if there is no such process, or it is
    /// running.
    pub fn restart(&self, machine: &str, role: Role) -> Result<bool, Fault> {
        let mut inner = self.inner();
        let Some(index) = inner.find(machine, role).filter(|&index| inner.processes[index].child.is_none())
        else {
            return Ok(false);
        };
        inner.record_event(format!("{machine} {} started again", role.name()));
        inner.spawn(index).map(|()| true)
    }

    /// Removes the disk contents of a machine whose process has ended.
    pub fn empty_disk(&self, machine: &str) -> Result<(), Fault> {
        let mut inner = self.inner();
        inner.record_event(format!("{machine} lost its disk"));
        let disk = inner.disk(machine);
        match fs::remove_dir_all(&disk) {
            Err(why) if why.kind() != std::io::ErrorKind::NotFound => Err(Fault::File(disk, why)),
            _ => Ok(()),
        }
    }

    /// Removes a core machine permanently; a process that runs there continues until it is ended.
    pub fn remove(&self, machine: &str) {
        let mut inner = self.inner();
        inner.record_event(format!("{machine} removed"));
        inner.machines.iter_mut().filter(|m| m.name == machine).for_each(|m| m.removed = true);
    }

    /// Adds a core machine with a new address and an empty disk, and starts its controller. Returns the
    /// machine's name.
    pub fn add_core(&self) -> Result<String, Fault> {
        let mut inner = self.inner();
        let cores = inner.processes.iter().filter(|p| p.role == Role::Controller).count();
        let zone = inner.config.zones[cores % inner.config.zones.len().max(1)].clone();
        let name = format!("core-{zone}-added-{cores}");
        let ip = inner.net.core(cores);
        let machine = inner.machines.len();
        inner.machines.push(Machine { name: name.clone(), zone, ip, is_initial: false, removed: false });
        let process = Process { machine, role: Role::Controller, child: None, starts: 0, ended: None };
        inner.processes.push(process);
        inner.record_event(format!("{name} added"));
        let index = inner.processes.len() - 1;
        inner.spawn(index).map(|()| name)
    }

    /// Where operators reach the controller of a machine.
    pub fn controller(&self, machine: &str) -> Option<SocketAddr> {
        let inner = self.inner();
        let machine = inner.machines.iter().find(|m| m.name == machine)?;
        Some((machine.ip, inner.net.ports.control_plane).into())
    }

    /// Where the controller of a machine listens for other processes of the system.
    pub fn peer_port(&self, machine: &str) -> Option<SocketAddr> {
        let inner = self.inner();
        let machine = inner.machines.iter().find(|m| m.name == machine)?;
        Some((machine.ip, inner.net.ports.ephemeral.0).into())
    }

    /// Whether the process is running.
    pub fn is_running(&self, machine: &str, role: Role) -> bool {
        let inner = self.inner();
        inner.find(machine, role).is_some_and(|index| inner.processes[index].child.is_some())
    }

    /// The output of the process since its first start.
    pub fn log(&self, machine: &str, role: Role) -> String {
        let path = self.inner().config.folder.join(format!("{machine}.{}.log", role.name()));
        fs::read(path).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).unwrap_or_default()
    }

    /// Signals, exits and restarts of processes, with their times.
    pub fn events(&self) -> Vec<(Instant, String)> {
        self.inner().events.clone()
    }

    /// The exits so far; each is noticed within about 50 ms.
    pub fn exits(&self) -> Vec<ProcessExit> {
        self.inner().exits.clone()
    }

    /// The last log lines of the processes that have ended.
    pub fn last_log_lines(&self) -> String {
        let ended: Vec<(String, Role)> = {
            let inner = self.inner();
            let ended = inner.processes.iter().filter(|p| p.starts > 1 || p.ended.is_some());
            ended.map(|p| (inner.machines[p.machine].name.clone(), p.role)).collect()
        };
        let mut text = String::new();
        for (machine, role) in ended {
            let log = self.log(&machine, role);
            let from = log.lines().count().saturating_sub(3);
            for line in log.lines().skip(from) {
                text.push_str(&format!("{machine} {}: {line}\n", role.name()));
            }
        }
        text
    }

    /// Keeps the folder after the end.
    pub fn keep_folder(&self) {
        self.inner().keep_folder = true;
    }

    /// Sends SIGTERM to all processes, and SIGKILL to those that still run after their grace period; then
    /// removes the folder. Returns the names of the processes that had to be killed.
    pub async fn shutdown(self) -> Vec<String> {
        let grace = {
            let mut inner = self.inner();
            inner.is_ending = true;
            for process in &inner.processes {
                process.child.as_ref().map(term);
            }
            inner.config.grace
        };
        let until = Instant::now() + grace + Duration::from_millis(300);
        while Instant::now() < until && self.inner().processes.iter().any(|p| p.child.is_some()) {
            sleep(CHECK_INTERVAL / 2).await;
            self.inner().check_exits();
        }
        let inner = self.inner();
        let left = inner.processes.iter().filter(|process| process.child.is_some());
        left.map(|p| format!("{} {}", inner.machines[p.machine].name, p.role.name())).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.monitor.abort();
        self.inner().end_now();
    }
}

fn locked(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

fn term(child: &Child) -> bool {
    kill_process(Pid::from_child(child), Signal::TERM).is_ok()
}

impl Inner {
    fn controllers(&self) -> Vec<SocketAddr> {
        let cores = self.processes.iter().filter(|p| p.role == Role::Controller);
        let cores = cores.filter(|p| !self.machines[p.machine].removed);
        cores.map(|p| (self.machines[p.machine].ip, self.net.ports.control_plane).into()).collect()
    }

    /// The disk folder of a machine.
    fn disk(&self, machine: &str) -> PathBuf {
        self.config.folder.join(format!("{machine}.disk"))
    }

    fn find(&self, machine: &str, role: Role) -> Option<usize> {
        self.processes.iter().position(|p| p.role == role && self.machines[p.machine].name == machine)
    }

    fn record_event(&mut self, what: String) {
        self.events.push((Instant::now(), what));
    }

    fn notify_guard(&mut self, line: String) {
        if let Some((_, to)) = &mut self.guard {
            if writeln!(to, "{line}").and_then(|()| to.flush()).is_err() {
                self.guard = None;
            }
        }
    }

    /// Starts a process, with settings written from the current state.
    fn spawn(&mut self, index: usize) -> Result<(), Fault> {
        let process = &self.processes[index];
        let (machine, role) = (&self.machines[process.machine], process.role);
        let is_first_boot = machine.is_initial && process.starts == 0;
        let stem = format!("{}.{}", machine.name, role.name());
        let file = self.config.folder.join(format!("{stem}.toml"));
        let write_error = |path: &Path| {
            let path = path.to_path_buf();
            move |why| Fault::File(path, why)
        };
        fs::write(&file, self.settings(machine, role, is_first_boot)).map_err(write_error(&file))?;
        let log = self.config.folder.join(format!("{stem}.log"));
        let out = OpenOptions::new().create(true).append(true).open(&log).map_err(write_error(&log))?;
        let err: File = out.try_clone().map_err(write_error(&log))?;
        let child = Command::new(&self.config.program)
            .arg(role.name())
            .env("TINDOCK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            // In its own process group: Ctrl-C reaches only the demo, which then ends the processes
            // gracefully.
            .process_group(0)
            .spawn()
            .map_err(|why| Fault::Start(self.config.program.clone(), why))?;
        let id = child.id();
        let process = &mut self.processes[index];
        process.child = Some(child);
        process.starts += 1;
        process.ended = None;
        self.notify_guard(format!("+{id}"));
        Ok(())
    }

    /// Records processes that have ended, and restarts them after the configured delay.
    fn check_exits(&mut self) {
        let now = Instant::now();
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            let (machine, role) = (process.machine, process.role);
            if let Some(child) = &mut process.child {
                let Ok(Some(status)) = child.try_wait() else { continue };
                let id = child.id();
                (process.child, process.ended) = (None, Some(now));
                self.notify_guard(format!("-{id}"));
                let name = self.machines[machine].name.clone();
                self.exits.push(ProcessExit { machine: name, role, at: now, status });
                if !self.is_ending {
                    self.record_event(format!(
                        "{} {} ended: {status}",
                        self.machines[machine].name,
                        role.name()
                    ));
                }
                continue;
            }
            let due =
                self.config.restart_after.zip(process.ended).is_some_and(|(delay, at)| now >= at + delay);
            if due && !self.is_ending && process.starts < MAX_STARTS {
                let result = match self.spawn(index) {
                    Ok(()) => "started again".to_string(),
                    Err(why) => {
                        self.processes[index].starts += 1;
                        format!("restart failed: {why}")
                    }
                };
                self.record_event(format!("{} {} {result}", self.machines[machine].name, role.name()));
            }
        }
    }

    fn end_now(&mut self) {
        self.is_ending = true;
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Some((mut child, to)) = self.guard.take() {
            // The guard ends when it reads this line.
            let mut to = to;
            let _ = writeln!(to, "done");
            drop(to);
            let _ = child.wait();
        }
        if !self.keep_folder {
            let _ = fs::remove_dir_all(&self.config.folder);
        }
    }

    /// The settings file of a process.
    fn settings(&self, machine: &Machine, role: Role, is_first_boot: bool) -> String {
        let (config, ports, ip) = (&self.config, self.net.ports, machine.ip);
        let quoted = |text: &str| format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
        let seeds: Vec<String> =
            self.controllers().iter().take(3).map(|at| quoted(&at.to_string())).collect();
        let zones: Vec<String> =
            config.zones.iter().map(|zone| format!("{} = \"here\"", quoted(zone))).collect();
        let is_core = role == Role::Controller;
        let (class, serves) = match role {
            Role::Controller => ("core", "\"controller\""),
            Role::Proxy => ("edge", "\"edge\""),
            Role::Agent => ("edge", ""),
        };
        let disk = if is_core {
            let path = self.disk(&machine.name);
            format!("data_directory = {}\n", quoted(&path.to_string_lossy()))
        } else {
            String::new()
        };
        let bindings = match role {
            Role::Controller => format!("control_plane = \"{ip}:{}\"", ports.control_plane),
            Role::Proxy => format!(
                "data_plane = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"",
                ports.data_plane, ports.readiness
            ),
            Role::Agent => String::new(),
        };
        format!(
            "node_name = {name}\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = [{serves}]\n\
             ip_address = \"{ip}\"\nzone = {zone}\nregion = \"here\"\n\
             ephemeral_ports = [{first_port},{last_port}]\n\
             seed_peers = [{seeds}]\ninitial_boot = {is_first_boot}\nquorum_member = {is_core}\n{disk}\
             discovery = \"provider\"\nentry_mode = \"anycast\"\nkeepalive_ms = 1200\n\
             policy_sections = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"functions\"]\n\
             config_mode = \"highest\"\n\
             [zones]\n{zones}\n\
             [bindings]\n{bindings}\n\
             [limits]\ncpu_share = 1.0\ncpu_cores = 1\nmemory_mb = 256\nfile_descriptors = 900\n\
             link_speed_mbps = 1000.0\ndisk_mb = {disk_mb}\n\
             [fault_tolerance]\nnode_failures = 1\nzones = 0\nregion_failures = 0\n\
             [timers]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 5000\nack_timeout_ms = 6000\n\
             sync_time_s = 4\ndrain_ms = {drain}\ngrace_s = {grace}\nloss_slack_ms = 200\n\
             convergence_ms = 3000\n\
             downgrade_slack_ms = 250\nstretch_max_ms = 15000\nretry_budget_ratio = 0.2\n\
             retry_window_s = 10\n\
             retry_budget_slack = 56\nrecovery_s = 12\nshed_allowance = 10\n\
             [provider_api]\naddress = \"{provider}\"\nrate_per_s = {rate:?}\nduties = [\"spawn\"]\n\
             max_lag_ms = {lag}\nduty_rate_s = {duty:?}\n",
            name = quoted(&machine.name),
            role = role.name(),
            zone = quoted(&machine.zone),
            first_port = ports.ephemeral.0,
            last_port = ports.ephemeral.1,
            seeds = seeds.join(","),
            zones = zones.join("\n"),
            disk_mb = if is_core { 128 } else { 0 },
            drain = config.drain.as_millis(),
            grace = config.grace.as_secs_f64(),
            provider = self.provider,
            rate = config.rate_per_s,
            lag = config.max_lag.as_millis(),
            duty = config.duty_rate_s,
        )
    }
}

/// Starts the guard process, which kills the others if this process dies: it reads their ids until the end of
/// its input. A program without the command `demo --guard` is run without a guard.
fn start_guard(config: &FleetConfig) -> Option<(Child, ChildStdin)> {
    let mut child = Command::new(&config.program)
        .args(["demo", "--guard"])
        .arg(&config.folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .ok()?;
    let to = child.stdin.take()?;
    Some((child, to))
}

/// Runs the guard: reads the ids of processes (`+id` started, `-id` ended) until the input ends, which
/// happens however the process that started it ends. Then kills the processes that are left and removes the
/// folder, unless it has read `done`.
pub fn guard(folder: &Path, input: impl BufRead) {
    let mut running = BTreeSet::new();
    for line in input.lines().map_while(Result::ok) {
        match line.split_at_checked(1) {
            Some(("+", id)) => running.extend(id.parse::<i32>()),
            Some(("-", id)) => {
                id.parse::<i32>().map(|id| running.remove(&id)).unwrap_or_default();
            }
            _ if line == "done" => return,
            _ => {}
        }
    }
    let guard_program = fs::read_link("/proc/self/exe").ok();
    for id in running {
        // An id that the system has reused for another program is skipped.
        let same = guard_program.is_some() && fs::read_link(format!("/proc/{id}/exe")).ok() == guard_program;
        if let Some(id) = Pid::from_raw(id).filter(|_| same) {
            let _ = kill_process(id, Signal::KILL);
        }
    }
    let _ = fs::remove_dir_all(folder);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_guard_does_not_kill_other_programs_and_removes_the_folder() {
        let folder = std::env::temp_dir().join(format!("tindock-guard-{}", std::process::id()));
        fs::create_dir(&folder).expect("a folder");
        let mut other = Command::new("sleep").arg("5").spawn().expect("a process");
        guard(&folder, format!("+{}\n+x\n-7\n", other.id()).as_bytes());
        assert!(!folder.exists());
        assert!(matches!(other.try_wait(), Ok(None)));
        other.kill().and_then(|()| other.wait()).expect("its end");
    }
}
