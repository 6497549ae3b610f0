//! The project's processes on loopback: one 127.x.y.z for each machine, the same ports on all, as in a deployment.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub const DATA_PLANE: u16 = 18_000;
pub const READINESS: u16 = 18_002;
pub const CONTROL_PLANE: u16 = 18_006;
pub const PROVIDER: u16 = 18_009;
const EPHEMERAL: (u16, u16) = (18_020, 18_035);
const FIRST_EDGE: u8 = 11;
const FIRST_CORE: u8 = 51;
const PROVIDER_HOST: u8 = 100;
const FIRST_WORKER_HOST: u8 = 101;

pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Archive,
    Page,
    Desk,
}

impl Role {
    /// The role's command in deploy/system.toml.
    pub fn name(self) -> &'static str {
        match self {
            Role::Archive => "archive",
            Role::Page => "page",
            Role::Desk => "desk",
        }
    }
}

pub struct System {
    program: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    zones: Vec<String>,
    cores: usize,
    children: BTreeMap<(Role, usize), Child>,
}

impl System {
    /// Finds a free 127.x.y.0/24. The folder for settings, disks and logs is made anew.
    pub fn new(program: &Path, folder: &Path, cores: usize) -> io::Result<System> {
        let seed = std::process::id();
        for n in 0..200 {
            let n = seed.wrapping_mul(7).wrapping_add(n * 13);
            let network = (64 + (n % 190) as u8, (n / 190 % 250) as u8);
            let at = |last, port| (Ipv4Addr::new(127, network.0, network.1, last), port);
            let free = [DATA_PLANE, READINESS, CONTROL_PLANE, PROVIDER, EPHEMERAL.0];
            if !free.iter().all(|port| TcpListener::bind(at(FIRST_EDGE, *port)).is_ok()) {
                continue;
            }
            let _ = fs::remove_dir_all(folder);
            fs::create_dir_all(folder)?;
            let zones = ["north", "east", "west"].map(String::from).to_vec();
            let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
            return Ok(System { program, folder, network, zones, cores, children: BTreeMap::new() });
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    pub fn edge(&self, n: usize, port: u16) -> SocketAddr {
        (self.ip(FIRST_EDGE + n as u8), port).into()
    }

    pub fn core(&self, n: usize, port: u16) -> SocketAddr {
        (self.ip(FIRST_CORE + n as u8), port).into()
    }

    pub fn provider(&self) -> SocketAddr {
        (self.ip(PROVIDER_HOST), PROVIDER).into()
    }

    pub fn worker_host(&self, n: usize) -> Ipv4Addr {
        self.ip(FIRST_WORKER_HOST + n as u8)
    }

    pub fn zone(&self, n: usize) -> &str {
        &self.zones[n % self.zones.len()]
    }

    /// The settings that DEPLOY.md lists, with the figures of frostyard-front.
    fn settings(&self, role: Role, n: usize, initial: bool) -> String {
        let core = role == Role::Archive;
        let ip = if core { self.core(n, 0).ip() } else { self.edge(n, 0).ip() };
        let seeds: Vec<String> = (0..self.cores.min(3)).map(|n| format!("\"{}\"", self.core(n, CONTROL_PLANE))).collect();
        let serves = match role {
            Role::Archive => "\"controller\"",
            Role::Desk => "\"edge\"",
            Role::Page => "",
        };
        let bindings = match role {
            Role::Archive => format!("control_plane = \"{ip}:{CONTROL_PLANE}\"\n"),
            Role::Desk => format!("data_plane = \"{ip}:{DATA_PLANE}\"\nreadiness = \"{ip}:{READINESS}\"\n"),
            Role::Page => String::new(),
        };
        let disk = match core {
            true => format!("data_directory = \"{}\"\n", self.folder.join(format!("disk-{n}")).display()),
            false => String::new(),
        };
        let class = if core { "core" } else { "edge" };
        let zones: String = self.zones.iter().map(|zone| format!("{zone} = \"here\"\n")).collect();
        format!(
            "node_name = \"{class}-{n}\"\nrole = \"{}\"\nmachine_class = \"{class}\"\nserves = [{serves}]\nip_address = \"{ip}\"\n\
             zone = \"{}\"\nregion = \"here\"\nephemeral_ports = [{},{}]\nseed_peers = [{}]\ninitial_boot = {initial}\n\
             quorum_member = {core}\n{disk}discovery = \"provider\"\nentry_mode = \"anycast\"\nkeepalive_ms = 1200\n\
             policy_sections = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"functions\"]\nconfig_mode = \"highest\"\n\
             [zones]\n{zones}[bindings]\n{bindings}[limits]\ncpu_share = 1.0\ncpu_cores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n\
             link_speed_mbps = 1000.0\ndisk_mb = 128\n[fault_tolerance]\nnode_failures = 1\nzones = 0\nregion_failures = 0\n\
             [timers]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 5000\nack_timeout_ms = 6000\nsync_time_s = 4\n\
             drain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\nconvergence_ms = 3000\ndowngrade_slack_ms = 250\n\
             stretch_max_ms = 15000\nretry_budget_ratio = 0.2\nretry_window_s = 10\nretry_budget_slack = 56\nrecovery_s = 12\n\
             shed_allowance = 10\n[provider_api]\naddress = \"{}\"\nrate_per_s = 26.0\nduties = [\"spawn\"]\nmax_lag_ms = 800\n\
             duty_rate_s = 150.0\n",
            role.name(),
            self.zone(n),
            EPHEMERAL.0,
            EPHEMERAL.1,
            seeds.join(","),
            self.provider(),
        )
    }

    pub fn start(&mut self, role: Role, n: usize, initial: bool) -> io::Result<()> {
        let name = format!("{}-{n}", role.name());
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, n, initial))?;
        if role == Role::Archive {
            fs::create_dir_all(self.folder.join(format!("disk-{n}")))?;
        }
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.program);
        command.arg(role.name()).env_clear().env("TINDOCK_BOOT", &settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        // The kernel ends the process if this one ends, however that happens.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.children.insert((role, n), child);
        Ok(())
    }

    pub fn started(&self) -> Vec<(Role, usize)> {
        self.children.keys().copied().collect()
    }

    /// Sends a signal to a process that was started here and has not been waited for.
    pub fn signal(&mut self, role: Role, n: usize, signal: i32) {
        if let Some(child) = self.children.get_mut(&(role, n)) {
            if matches!(child.try_wait(), Ok(None)) {
                // Not waited for: the id still belongs to this child.
                unsafe { kill(child.id() as i32, signal) };
            }
        }
    }

    /// Waits until the process has ended; false if it still runs then.
    pub fn wait(&mut self, role: Role, n: usize, within: Duration) -> bool {
        let end = Instant::now() + within;
        let Some(child) = self.children.get_mut(&(role, n)) else { return true };
        loop {
            match child.try_wait() {
                Ok(Some(_)) | Err(_) => return true,
                Ok(None) if Instant::now() >= end => return false,
                Ok(None) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Processes that have ended although nobody ended them.
    pub fn ended(&mut self) -> Vec<(Role, usize)> {
        let ended = self.children.iter_mut().filter_map(|(key, child)| matches!(child.try_wait(), Ok(Some(_))).then_some(*key));
        ended.collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
