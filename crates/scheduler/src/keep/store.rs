//! What a keeper stores on disk: a copy of each program under its digest, so that an undo finds the earlier
//! one; and for each scheduler, which program it runs and the largest run number.

use crate::disk::{locked, replace};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tindock_rollout::supervisor::Program;
use tindock_scheduler_config::{digest, digest_of};

const VERSION: u32 = 1;

fn io_error(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Locks the folder for this process until the returned file is dropped.
pub fn lock_folder(folder: &Path) -> Result<File, String> {
    fs::create_dir_all(folder).map_err(io_error(folder))?;
    let path = folder.join("lock");
    let lock = locked(&path, Duration::ZERO).map_err(io_error(&path))?;
    lock.ok_or_else(|| format!("{}: another keeper uses this folder", path.display()))
}

/// The programs, indexed in the order in which they became known.
pub struct Programs {
    folder: PathBuf,
    digests: Vec<String>,
}

impl Programs {
    pub fn open(folder: &Path) -> Result<Self, String> {
        let folder = folder.join("programs");
        fs::create_dir_all(&folder).map_err(io_error(&folder))?;
        Ok(Programs { folder, digests: Vec::new() })
    }

    fn index(&mut self, digest: String) -> Program {
        self.digests.iter().position(|known| *known == digest).unwrap_or_else(|| {
            self.digests.push(digest);
            self.digests.len() - 1
        })
    }

    /// Copies a program into the folder, unless there is an intact copy.
    pub fn add(&mut self, path: &Path) -> Result<Program, String> {
        let text = fs::read(path).map_err(io_error(path))?;
        let digest = digest(&text);
        let copy = self.folder.join(&digest);
        if !self.is_intact(&copy, &digest) {
            replace(&copy, &text).map_err(io_error(&copy))?;
            let mode = fs::metadata(path).map_err(io_error(path))?.permissions();
            fs::set_permissions(&copy, mode).map_err(io_error(&copy))?;
        }
        Ok(self.index(digest))
    }

    /// Finds a program that this keeper or an earlier one has copied; a damaged copy does not count.
    pub fn find(&mut self, digest: &str) -> Option<Program> {
        let valid = digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit());
        let copy = self.folder.join(digest);
        (valid && self.is_intact(&copy, digest)).then(|| self.index(digest.into()))
    }

    fn is_intact(&self, copy: &Path, digest: &str) -> bool {
        File::open(copy).and_then(digest_of).is_ok_and(|found| found == digest)
    }

    pub fn path(&self, program: Program) -> PathBuf {
        self.folder.join(&self.digests[program])
    }

    pub fn digest(&self, program: Program) -> &str {
        &self.digests[program]
    }
}

/// The stored state of one scheduler.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerState {
    version: u32,
    pub program: String,
    pub previous: Option<String>,
    pub number: u64,
    pub run: String,
}

impl SchedulerState {
    pub fn new(program: &str, previous: Option<&str>, number: u64, run: &str) -> Self {
        let (program, previous, run) = (program.into(), previous.map(String::from), run.into());
        SchedulerState { version: VERSION, program, previous, number, run }
    }

    fn path(folder: &Path, name: &str) -> PathBuf {
        folder.join(format!("{name}.standing"))
    }

    /// `None` if the scheduler was never supervised here. An unreadable file is an error: a guess could start
    /// the wrong program.
    pub fn read(folder: &Path, name: &str) -> Result<Option<Self>, String> {
        let path = Self::path(folder, name);
        let text = match fs::read(&path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            text => text.map_err(io_error(&path))?,
        };
        let state: SchedulerState =
            serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        match state.version {
            VERSION => Ok(Some(state)),
            other => Err(format!("{}: version {other} is not supported", path.display())),
        }
    }

    pub fn write(&self, folder: &Path, name: &str) -> Result<(), String> {
        let path = Self::path(folder, name);
        let text = serde_json::to_vec(self).map_err(|e| e.to_string())?;
        replace(&path, &text).map_err(io_error(&path))
    }
}
