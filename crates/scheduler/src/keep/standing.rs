//! What a keeper knows over its own end: the programs, each a copy under its digest, so that going back finds what was
//! left; and for each scheduler which of them it runs and the largest number of a run.

use crate::disk::{locked, replace};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tindock_berth::{digest, digest_of};
use tindock_rollout::supervisor::Program;

const VERSION: u32 = 1;

fn plain(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// The folder for this process alone, for as long as what is given back lives.
pub fn alone(folder: &Path) -> Result<File, String> {
    fs::create_dir_all(folder).map_err(plain(folder))?;
    let path = folder.join("lock");
    let lock = locked(&path, Duration::ZERO).map_err(plain(&path))?;
    lock.ok_or_else(|| format!("{}: another keeper works here", path.display()))
}

/// The programs, by the order in which they were met.
pub struct Programs {
    folder: PathBuf,
    digests: Vec<String>,
}

impl Programs {
    pub fn open(folder: &Path) -> Result<Self, String> {
        let folder = folder.join("programs");
        fs::create_dir_all(&folder).map_err(plain(&folder))?;
        Ok(Programs { folder, digests: Vec::new() })
    }

    fn number(&mut self, digest: String) -> Program {
        self.digests.iter().position(|known| *known == digest).unwrap_or_else(|| {
            self.digests.push(digest);
            self.digests.len() - 1
        })
    }

    /// Takes a copy of a program, unless there is one.
    pub fn bring(&mut self, path: &Path) -> Result<Program, String> {
        let text = fs::read(path).map_err(plain(path))?;
        let digest = digest(&text);
        let copy = self.folder.join(&digest);
        if !self.is_whole(&copy, &digest) {
            replace(&copy, &text).map_err(plain(&copy))?;
            let mode = fs::metadata(path).map_err(plain(path))?.permissions();
            fs::set_permissions(&copy, mode).map_err(plain(&copy))?;
        }
        Ok(self.number(digest))
    }

    /// One that was taken before, by this process or another; guards against a copy that was damaged since.
    pub fn find(&mut self, digest: &str) -> Option<Program> {
        let plain = digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit());
        let copy = self.folder.join(digest);
        (plain && self.is_whole(&copy, digest)).then(|| self.number(digest.into()))
    }

    fn is_whole(&self, copy: &Path, digest: &str) -> bool {
        File::open(copy).and_then(digest_of).is_ok_and(|is| is == digest)
    }

    pub fn path(&self, program: Program) -> PathBuf {
        self.folder.join(&self.digests[program])
    }

    pub fn digest(&self, program: Program) -> &str {
        &self.digests[program]
    }
}

/// One scheduler's line.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    version: u32,
    pub program: String,
    pub previous: Option<String>,
    pub number: u64,
    pub run: String,
}

impl Standing {
    pub fn new(program: &str, previous: Option<&str>, number: u64, run: &str) -> Self {
        let (program, previous, run) = (program.into(), previous.map(String::from), run.into());
        Standing { version: VERSION, program, previous, number, run }
    }

    fn path(folder: &Path, name: &str) -> PathBuf {
        folder.join(format!("{name}.standing"))
    }

    /// None: it was never kept here. One that cannot be read is an error: guessing would bring back another program.
    pub fn read(folder: &Path, name: &str) -> Result<Option<Self>, String> {
        let path = Self::path(folder, name);
        let text = match fs::read(&path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            text => text.map_err(plain(&path))?,
        };
        let standing: Standing =
            serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        match standing.version {
            VERSION => Ok(Some(standing)),
            other => Err(format!("{}: version {other} is not known", path.display())),
        }
    }

    pub fn write(&self, folder: &Path, name: &str) -> Result<(), String> {
        let path = Self::path(folder, name);
        let text = serde_json::to_vec(self).map_err(|e| e.to_string())?;
        replace(&path, &text).map_err(plain(&path))
    }
}
