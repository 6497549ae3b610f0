//! The processes of one scheduler. They outlive the keeper that starts them; a restarted keeper finds them by
//! what they report at their operators' addresses.

use crate::operators::calls;
use crate::rollout::remote;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tindock_rollout::supervisor::ProcessStatus;
use tindock_scheduler_config::keeper::KeptScheduler;

/// A scheduler answers in milliseconds; a slower one counts as not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(300);

/// A process id with the kernel's start time of the process: the id alone may be reused by another process.
struct Process {
    id: u32,
    started: Option<String>,
    /// Set if this keeper started the process: then it has to be reaped.
    child: Option<Child>,
}

/// The start time of a process; `None` if it has exited or is a zombie.
fn start_time(id: u32) -> Option<String> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in brackets may hold anything. Behind it, the first field is the state and the twentieth the
    // start time.
    let mut fields = text.rsplit_once(')')?.1.split_whitespace();
    let state = fields.next()?;
    fields.nth(18).filter(|_| !matches!(state, "Z" | "X")).map(String::from)
}

impl Process {
    fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => self.started.is_some() && start_time(self.id) == self.started,
        }
    }
}

pub struct Processes {
    config: KeptScheduler,
    runtime: PathBuf,
    log: PathBuf,
    places: [Option<Process>; 2],
}

impl Processes {
    pub fn new(config: &KeptScheduler, folder: &Path) -> Self {
        let file = |ending: &str| folder.join(format!("{}.{ending}", config.name));
        Processes { config: config.clone(), runtime: file("run"), log: file("log"), places: [None, None] }
    }

    pub fn poll(&mut self) -> [ProcessStatus; 2] {
        [0, 1].map(|place| {
            let at = self.config.management[place];
            let running = self.places[place].as_mut().is_some_and(Process::is_running);
            if !running {
                self.places[place] = None;
                // It may run all the same, started by an earlier keeper.
                let Ok(info) = remote::info(at) else { return ProcessStatus::Gone };
                let (id, started) = (info.pid, start_time(info.pid));
                if started.is_none() {
                    return ProcessStatus::Gone;
                }
                self.places[place] = Some(Process { id, started, child: None });
            }
            let ready = calls::request(at, "readyz", READY_TIMEOUT)
                .is_ok_and(|answer| calls::parse_answer(&answer).is_ok());
            if ready {
                ProcessStatus::Ready
            } else {
                ProcessStatus::Up
            }
        })
    }

    /// Starts a process at a place, with its output appended to the scheduler's log.
    pub fn start(&mut self, program: &Path, place: usize) -> std::io::Result<u32> {
        fs::create_dir_all(&self.runtime)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let at = self.config.management[place];
        let mut command = Command::new(program);
        if self.config.configuration.extension().is_some_and(|ending| ending == "toml") {
            command.arg("run").arg(&self.config.configuration);
            command.arg("--set").arg(format!("management.listen={at}"));
            command.arg("--set").arg(format!("management.runtime={}", self.runtime.display()));
        } else {
            command.env("GW_CONFIG", &self.config.configuration).env("GW_MGMT", at.to_string());
            command.env("TMPDIR", &self.runtime);
        }
        // Its own process group: a terminal signal that ends the keeper does not reach it.
        command.process_group(0).stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        let child = command.spawn()?;
        let id = child.id();
        self.places[place] = Some(Process { id, started: start_time(id), child: Some(child) });
        Ok(id)
    }

    /// Sends SIGTERM, or SIGKILL if `kill` is set.
    pub fn signal(&mut self, place: usize, kill: bool) {
        let Some(process) = self.places[place].as_mut().filter(|process| process.started.is_some()) else {
            return;
        };
        if process.is_running() {
            let signal = if kill { Signal::KILL } else { Signal::TERM };
            // The process may have exited meanwhile.
            let _ = Pid::from_raw(process.id as i32).map(|pid| kill_process(pid, signal));
        }
    }
}
