//! Workers excluded by operators, stored in the runtime folder for the next process.

use crate::list::inventory_watch;
use serde::{Deserialize, Serialize};
use slog::{warn, Logger};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Doc {
    version: u32,
    banned: BTreeSet<String>,
}

/// The file, if a runtime folder is configured.
pub struct Bans {
    path: Option<PathBuf>,
    log: Logger,
}

impl Bans {
    pub fn new(runtime: Option<&Path>, name: &str, log: Logger) -> Self {
        Bans { path: runtime.map(|folder| folder.join(format!("tindock-{name}.bans"))), log }
    }

    /// The excluded workers; none if there is no file. Guards against a start that fails on a damaged file.
    pub fn read(&self) -> BTreeSet<String> {
        let Some(path) = &self.path else { return BTreeSet::new() };
        let text = match std::fs::read(path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return BTreeSet::new(),
            text => text.map_err(|e| e.to_string()),
        };
        let doc = text.and_then(|text| serde_json::from_slice::<Doc>(&text).map_err(|e| e.to_string()));
        match doc {
            Ok(doc) if doc.version == VERSION => doc.banned,
            Ok(doc) => self.unread(&format!("version {} is not known", doc.version)),
            Err(why) => self.unread(&why),
        }
    }

    fn unread(&self, why: &str) -> BTreeSet<String> {
        warn!(self.log, "the stored exclusions of workers cannot be read: {why}");
        BTreeSet::new()
    }

    pub fn write(&self, banned: BTreeSet<String>) -> std::io::Result<()> {
        let Some(path) = &self.path else { return Ok(()) };
        inventory_watch::replace(path, serde_json::to_vec(&Doc { version: VERSION, banned })?)
    }
}
