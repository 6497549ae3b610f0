//! Persistence: plain files in a folder, the only I/O of this crate.
//!
//! File names are `configuration-<ballot>-<revision>-<digest>`, `promise-<ballot>`, `seats-<epoch>-<number>`
//! (voter tables) and `lease-<number>`, with `<digest>` in 16 hex digits and `<ballot>` as
//! `<round>-<incarnation>-<proposer's address>`. Earlier releases wrote configurations as
//! `word-<revision>-<digest>`: these are read without a ballot and rank below all that have one. Each file is
//! written completely under a new name, with a header line that contains the body's length and checksum; file
//! and folder are synced; then older files of the kind are removed, without a sync. A start uses the highest
//! intact file of each kind. A file that may be the only good one is never overwritten.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::defects::{injected, Defect};
use crate::{digest, Ballot, Configuration, DiskState, Stored, Version, VoterTables};

const MAGIC: &str = "tindock-vault-1";
/// Longer files are not read.
const MAX_FILE_BYTES: u64 = 256 << 20;

pub struct Folder {
    path: PathBuf,
    /// Names whose save failed in this incarnation: a file read under such a name may never have reached the
    /// disk.
    unconfirmed: RefCell<BTreeSet<String>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Configuration,
    VoterTable,
    Lease,
    Promise,
}

/// The kind of a file and its sort order within the kind.
type FileKey = (Kind, Ballot, u64, u64);

/// Parses a file name.
fn file_key(name: &str) -> Option<FileKey> {
    let (kind, rest) = name.split_once('-')?;
    let parts: Vec<&str> = rest.split('-').collect();
    match (kind, parts.as_slice()) {
        ("configuration", [round, incarnation, proposer, revision, digest]) => {
            let ballot = ballot(round, incarnation, proposer)?;
            Some((Kind::Configuration, ballot, revision.parse().ok()?, hex(digest)?))
        }
        ("word", [revision, digest]) => {
            Some((Kind::Configuration, Ballot::NONE, revision.parse().ok()?, hex(digest)?))
        }
        ("promise", [round, incarnation, proposer]) => {
            Some((Kind::Promise, ballot(round, incarnation, proposer)?, 0, 0))
        }
        ("seats", [epoch, number]) => {
            Some((Kind::VoterTable, Ballot::NONE, epoch.parse().ok()?, number.parse().ok()?))
        }
        ("lease", [number]) => Some((Kind::Lease, Ballot::NONE, number.parse().ok()?, 0)),
        _ => None,
    }
}

fn hex(digits: &str) -> Option<u64> {
    u64::from_str_radix(digits, 16).ok()
}

fn ballot(round: &str, incarnation: &str, proposer: &str) -> Option<Ballot> {
    let proposer: SocketAddr = proposer.parse().ok()?;
    Some(Ballot { round: round.parse().ok()?, incarnation: incarnation.parse().ok()?, proposer })
}

fn ballot_name(ballot: &Ballot) -> String {
    format!("{}-{}-{}", ballot.round, ballot.incarnation, ballot.proposer)
}

fn configuration_name(version: &Version) -> String {
    let Version { ballot, revision, digest } = version;
    match version.has_ballot() {
        true => format!("configuration-{}-{revision}-{digest:016x}", ballot_name(ballot)),
        false => format!("word-{revision}-{digest:016x}"),
    }
}

impl Folder {
    /// Creates the folder if it does not exist.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Folder> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Folder { path, unconfirmed: RefCell::default() })
    }

    /// Reads the state in the folder. Torn and unknown files are ignored.
    pub fn read(&self) -> io::Result<DiskState> {
        let mut state = DiskState::default();
        let mut all = self.list()?;
        all.sort();
        for ((kind, ballot, first, second), name) in all.into_iter().rev() {
            let found = match kind {
                Kind::Configuration => state.configuration.is_some(),
                Kind::VoterTable => state.voters.is_some(),
                Kind::Lease => state.lease_number > 0,
                Kind::Promise => state.promised > Ballot::NONE,
            };
            if found {
                continue;
            }
            let Some(body) = read_intact(&self.path.join(&name), &name) else { continue };
            match kind {
                Kind::Configuration if digest(&body) == second => {
                    let text = Arc::from(body);
                    state.configuration =
                        Some(Configuration { ballot, revision: first, digest: second, text });
                }
                Kind::Configuration => {}
                Kind::VoterTable => {
                    state.voters = postcard::from_bytes(&body).ok().filter(VoterTables::is_well_formed)
                }
                Kind::Lease => state.lease_number = first,
                Kind::Promise => state.promised = ballot,
            }
        }
        Ok(state)
    }

    fn list(&self) -> io::Result<Vec<(FileKey, String)>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let Ok(name) = entry?.file_name().into_string() else { continue };
            if let Some(file_key) = file_key(&name) {
                all.push((file_key, name));
            }
        }
        Ok(all)
    }

    /// Returns once the data is durable.
    pub fn save(&self, what: &Stored) -> io::Result<()> {
        let (name, body) = match what {
            Stored::Configuration(configuration) => {
                (configuration_name(&configuration.version()), configuration.text.to_vec())
            }
            Stored::Voters(tables) => {
                let table_version = tables.table_version();
                let body = postcard::to_allocvec(tables).map_err(io::Error::other)?;
                (format!("seats-{}-{}", table_version.epoch, table_version.number), body)
            }
            Stored::LeaseNumber(number) => (format!("lease-{number}"), Vec::new()),
            Stored::Promise(ballot) => (format!("promise-{}", ballot_name(ballot)), Vec::new()),
        };
        if injected(Defect::RemovesOldFileFirst) {
            self.remove_older(&name);
        }
        // Unconfirmed until all steps have succeeded.
        let unconfirmed = !self.unconfirmed.borrow_mut().insert(name.clone());
        let path = self.path.join(&name);
        if !unconfirmed && read_intact(&path, &name).is_some_and(|stored| stored == body) {
            File::open(&path)?.sync_all()?;
        } else if let Err(error) = write(&path, &name, &body) {
            let _ = fs::remove_file(&path);
            return Err(error);
        }
        File::open(&self.path)?.sync_all()?;
        let kind = file_key(&name).map(|key| key.0);
        self.unconfirmed.borrow_mut().retain(|name| file_key(name).map(|other| other.0) != kind);
        self.remove_older(&name);
        Ok(())
    }

    fn remove_older(&self, name: &str) {
        let Some(key) = file_key(name) else { return };
        for (other, name) in self.list().unwrap_or_default() {
            if other.0 == key.0 && other < key {
                let _ = fs::remove_file(self.path.join(name));
            }
        }
    }
}

fn write(path: &Path, name: &str, body: &[u8]) -> io::Result<()> {
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
    let header = format!("{MAGIC} {name} {} {:016x}\n", body.len(), digest(body));
    file.write_all(header.as_bytes())?;
    file.write_all(body)?;
    file.sync_all()
}

/// The body, if the file is intact.
fn read_intact(path: &Path, name: &str) -> Option<Vec<u8>> {
    let file = File::open(path).ok()?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES).read_to_end(&mut bytes).ok()?;
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let body = bytes.split_off(end + 1);
    let header = format!("{MAGIC} {name} {} {:016x}\n", body.len(), digest(&body));
    (bytes == header.as_bytes()).then_some(body)
}
