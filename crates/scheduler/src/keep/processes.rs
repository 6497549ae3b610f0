//! The processes of one scheduler: started so that they outlive whoever starts them, and found again by what they tell
//! at their operators' addresses.

use crate::operators::calls;
use crate::rollout::looking;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tindock_berth::keeper::KeptScheduler;
use tindock_rollout::supervisor::ProcessStatus;

/// A scheduler answers in milliseconds; one that takes longer is not ready.
const ANSWER: Duration = Duration::from_millis(300);

/// A process and the moment of its beginning, as the kernel counts it: a number alone may be another's by now.
struct Process {
    id: u32,
    began: Option<String>,
    /// Where this process began it: its end has to be taken notice of.
    child: Option<Child>,
}

/// When the process began, unless it is gone, or dead and not buried.
fn began(id: u32) -> Option<String> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // Behind the name, which may hold anything, in brackets: the state first, the beginning as the twentieth word.
    let mut words = text.rsplit_once(')')?.1.split_whitespace();
    let state = words.next()?;
    words.nth(18).filter(|_| !matches!(state, "Z" | "X")).map(String::from)
}

impl Process {
    fn is_there(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => self.began.is_some() && began(self.id) == self.began,
        }
    }
}

pub struct Processes {
    is: KeptScheduler,
    runtime: PathBuf,
    log: PathBuf,
    places: [Option<Process>; 2],
}

impl Processes {
    pub fn new(is: &KeptScheduler, folder: &Path) -> Self {
        let file = |ending: &str| folder.join(format!("{}.{ending}", is.name));
        Processes { is: is.clone(), runtime: file("run"), log: file("log"), places: [None, None] }
    }

    pub fn look(&mut self) -> [ProcessStatus; 2] {
        [0, 1].map(|place| {
            let at = self.is.management[place];
            let there = self.places[place].as_mut().is_some_and(Process::is_there);
            if !there {
                self.places[place] = None;
                // One that another of us began.
                let Ok(standing) = looking::standing(at) else { return ProcessStatus::Gone };
                let (id, began) = (standing.pid, began(standing.pid));
                if began.is_none() {
                    return ProcessStatus::Gone;
                }
                self.places[place] = Some(Process { id, began, child: None });
            }
            let ready =
                calls::request(at, "readyz", ANSWER).is_ok_and(|answer| calls::parse_answer(&answer).is_ok());
            if ready {
                ProcessStatus::Ready
            } else {
                ProcessStatus::Up
            }
        })
    }

    /// Starts one at a place; what it writes goes to the scheduler's log.
    pub fn start(&mut self, program: &Path, place: usize) -> std::io::Result<u32> {
        fs::create_dir_all(&self.runtime)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let at = self.is.management[place];
        let mut command = Command::new(program);
        if self.is.configuration.extension().is_some_and(|ending| ending == "toml") {
            command.arg("run").arg(&self.is.configuration);
            command.arg("--set").arg(format!("management.listen={at}"));
            command.arg("--set").arg(format!("management.runtime={}", self.runtime.display()));
        } else {
            command.env("GW_CONFIG", &self.is.configuration).env("GW_MGMT", at.to_string());
            command.env("TMPDIR", &self.runtime);
        }
        // A group of its own: a signal from the terminal that ends its keeper does not end it.
        command.process_group(0).stdin(Stdio::null()).stderr(log.try_clone()?).stdout(log);
        let child = command.spawn()?;
        let id = child.id();
        self.places[place] = Some(Process { id, began: began(id), child: Some(child) });
        Ok(id)
    }

    /// SIGTERM, or SIGKILL.
    pub fn signal(&mut self, place: usize, kill: bool) {
        let Some(process) = self.places[place].as_mut().filter(|process| process.began.is_some()) else {
            return;
        };
        if process.is_there() {
            let signal = if kill { Signal::KILL } else { Signal::TERM };
            // It may have ended in this moment.
            let _ = Pid::from_raw(process.id as i32).map(|pid| kill_process(pid, signal));
        }
    }
}
