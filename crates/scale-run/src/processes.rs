//! The system's programs as child processes, each with a settings file of its own.

use std::fmt;
use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use tindock_mock_services::loopback::Net;

/// Ports of a simulated deployment, the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub control_plane: u16,
    pub data_plane: u16,
    pub readiness: u16,
    pub ephemeral: (u16, u16),
}

impl Ports {
    /// The ports of a net of simulated addresses.
    pub fn of(net: &Net) -> Ports {
        let ports = net.ports;
        Ports {
            control_plane: ports.control_plane,
            data_plane: ports.data_plane,
            readiness: ports.readiness,
            ephemeral: ports.ephemeral,
        }
    }
}

/// Settings common to all processes of a run.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Path of the `tindock` executable.
    pub program: PathBuf,
    /// Holds settings, logs and disks; removed at the end.
    pub folder: PathBuf,
    pub controllers: Vec<Ipv4Addr>,
    pub ports: Ports,
    pub platform: SocketAddr,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Controller,
    Agent,
    Proxy,
}

impl Role {
    /// The subcommand that runs this role.
    pub fn program(self) -> &'static str {
        match self {
            Role::Controller => "archive",
            Role::Agent => "page",
            Role::Proxy => "desk",
        }
    }
}

#[derive(Debug)]
pub enum StartError {
    File(PathBuf, std::io::Error),
    Start(PathBuf, std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::File(path, cause) | StartError::Start(path, cause) => {
                write!(f, "{}: {cause}", path.display())
            }
        }
    }
}

impl Deployment {
    /// The settings file of a role on a machine, in the format of the deployment guide.
    pub fn settings(&self, role: Role, name: &str, ip: Ipv4Addr, zone: &str) -> String {
        let quoted = |text: &str| format!("\"{text}\"");
        let seeds =
            self.controllers.iter().take(3).map(|ip| quoted(&format!("{ip}:{}", self.ports.control_plane)));
        let seeds: Vec<String> = seeds.collect();
        let zones: Vec<String> =
            crate::ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"")).collect();
        let region =
            crate::ZONES.iter().find(|(known, _)| *known == zone).map_or("east", |(_, region)| region);
        let bindings = match role {
            Role::Controller => format!("control_plane = \"{ip}:{}\"", self.ports.control_plane),
            Role::Proxy => {
                format!(
                    "data_plane = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"",
                    self.ports.data_plane, self.ports.readiness
                )
            }
            Role::Agent => String::new(),
        };
        let disk = match role {
            Role::Controller => format!("data_directory = {:?}\n", self.folder.join(format!("{name}.disk"))),
            Role::Agent | Role::Proxy => String::new(),
        };
        format!(
            "node_name = \"{name}\"\nip_address = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             ephemeral_ports = [{first},{last}]\nseed_peers = [{seeds}]\ninitial_boot = true\n\
             quorum_member = {core}\n{disk}[zones]\n{zones}\n[bindings]\n{bindings}\n\
             [limits]\nmemory_mb = 256\nfile_descriptors = 4096\n\
             [timers]\ncontact_ms = 5000\nconvergence_ms = 3000\ngrace_s = 2\n\
             [provider_api]\naddress = \"{platform}\"\nrate_per_s = 26.0\nmax_lag_ms = 400\nduty_rate_s = 150.0\n",
            first = self.ports.ephemeral.0,
            last = self.ports.ephemeral.1,
            seeds = seeds.join(","),
            core = role == Role::Controller,
            zones = zones.join("\n"),
            platform = self.platform,
        )
    }
}

/// A running process.
struct Process {
    role: Role,
    child: Child,
}

/// The running processes; all are killed when this is dropped, or by a guard process if this process dies.
pub struct Processes {
    deployment: Deployment,
    running: Vec<Process>,
    guard: Option<(Child, ChildStdin)>,
}

impl Processes {
    pub fn new(deployment: Deployment) -> Result<Processes, StartError> {
        let folder = &deployment.folder;
        fs::create_dir_all(folder).map_err(|cause| StartError::File(folder.clone(), cause))?;
        let guard = guard(&deployment.program, folder);
        Ok(Processes { deployment, running: Vec::new(), guard })
    }

    pub fn start(&mut self, role: Role, name: &str, ip: Ipv4Addr, zone: &str) -> Result<(), StartError> {
        let file = |ending: &str| self.deployment.folder.join(format!("{name}.{}.{ending}", role.program()));
        let (settings, log) = (file("toml"), file("log"));
        let file_error = |path: &Path| {
            let path = path.to_path_buf();
            move |cause| StartError::File(path, cause)
        };
        let text = self.deployment.settings(role, name, ip, zone);
        fs::write(&settings, text).map_err(file_error(&settings))?;
        let out = fs::File::create(&log).map_err(file_error(&log))?;
        let err = out.try_clone().map_err(file_error(&log))?;
        let child = Command::new(&self.deployment.program)
            .arg(role.program())
            .env("TINDOCK_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .process_group(0)
            .spawn()
            .map_err(|cause| StartError::Start(self.deployment.program.clone(), cause))?;
        if let Some((_, to)) = &mut self.guard {
            let _ = writeln!(to, "+{}", child.id()).and_then(|()| to.flush());
        }
        self.running.push(Process { role, child });
        Ok(())
    }

    /// Process ids of a role, in the order in which they were started.
    pub fn ids(&self, role: Role) -> Vec<u32> {
        self.running.iter().filter(|process| process.role == role).map(|process| process.child.id()).collect()
    }

    /// Total size of the files on a controller's disk, in bytes.
    pub fn disk(&self, name: &str) -> u64 {
        let folder = self.deployment.folder.join(format!("{name}.disk"));
        let sizes = fs::read_dir(folder).into_iter().flatten().flatten();
        sizes.filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in &mut self.running {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        if let Some((mut child, mut to)) = self.guard.take() {
            let _ = writeln!(to, "done");
            drop(to);
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.deployment.folder);
    }
}

/// Starts a guard process that kills the others if this one dies, the same as in `tindock demo`.
fn guard(program: &Path, folder: &Path) -> Option<(Child, ChildStdin)> {
    let mut child = Command::new(program)
        .args(["demo", "--guard"])
        .arg(folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .ok()?;
    let to = child.stdin.take()?;
    Some((child, to))
}
