//! The disk: plain files in a folder, the only I/O of this crate.
//!
//! `configuration-<ballot>-<revision>-<digest>`, `promise-<ballot>`, `seats-<epoch>-<number>`, `lease-<number>`
//! (`<digest>` in 16 hex digits, `<ballot>` as `<round>-<incarnation>-<proposer's address>`). Earlier releases wrote
//! `word-<revision>-<digest>`: read as under no ballot, below all that have one. Each is written whole under a new name, with a header line that has the body's length and checksum; the file
//! and the folder are synced; then the older ones of the kind are removed, without a sync. A start takes the
//! highest whole one of each kind. Nothing is ever written into a file that may be the only good one.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::planted::{planted, Defect};
use crate::{digest, Ballot, Configuration, DiskState, Stored, Version, VoterTables};

const MAGIC: &str = "tindock-vault-1";
/// Longer files aren't read.
const LONGEST: u64 = 256 << 20;

pub struct Folder {
    path: PathBuf,
    /// A save of these failed in this incarnation: what is read under the name may never have reached the disk.
    doubted: RefCell<BTreeSet<String>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Configuration,
    VoterTable,
    Lease,
    Promise,
}

/// Kind and order among its kind.
type Place = (Kind, Ballot, u64, u64);

/// From a file's name.
fn place(name: &str) -> Option<Place> {
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
    /// Makes the folder if it isn't there.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Folder> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Folder { path, doubted: RefCell::default() })
    }

    /// What the folder holds. Torn files, and others, are passed over.
    pub fn read(&self) -> io::Result<DiskState> {
        let mut kept = DiskState::default();
        let mut all = self.list()?;
        all.sort();
        for ((kind, ballot, first, second), name) in all.into_iter().rev() {
            let had = match kind {
                Kind::Configuration => kept.configuration.is_some(),
                Kind::VoterTable => kept.voters.is_some(),
                Kind::Lease => kept.lease_number > 0,
                Kind::Promise => kept.promised > Ballot::NONE,
            };
            if had {
                continue;
            }
            let Some(body) = whole(&self.path.join(&name), &name) else { continue };
            match kind {
                Kind::Configuration if digest(&body) == second => {
                    let text = Arc::from(body);
                    kept.configuration =
                        Some(Configuration { ballot, revision: first, digest: second, text });
                }
                Kind::Configuration => {}
                Kind::VoterTable => {
                    kept.voters = postcard::from_bytes(&body).ok().filter(VoterTables::is_well_formed)
                }
                Kind::Lease => kept.lease_number = first,
                Kind::Promise => kept.promised = ballot,
            }
        }
        Ok(kept)
    }

    fn list(&self) -> io::Result<Vec<(Place, String)>> {
        let mut all = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let Ok(name) = entry?.file_name().into_string() else { continue };
            if let Some(place) = place(&name) {
                all.push((place, name));
            }
        }
        Ok(all)
    }

    /// Returns when it is on the disk for good.
    pub fn save(&self, what: &Stored) -> io::Result<()> {
        let (name, body) = match what {
            Stored::Configuration(configuration) => {
                (configuration_name(&configuration.version()), configuration.text.to_vec())
            }
            Stored::Voters(tables) => {
                let mark = tables.mark();
                let body = postcard::to_allocvec(tables).map_err(io::Error::other)?;
                (format!("seats-{}-{}", mark.epoch, mark.number), body)
            }
            Stored::LeaseNumber(number) => (format!("lease-{number}"), Vec::new()),
            Stored::Promise(ballot) => (format!("promise-{}", ballot_name(ballot)), Vec::new()),
        };
        if planted(Defect::RemovesTheOldFirst) {
            self.remove_before(&name);
        }
        // In doubt until all is done.
        let doubted = !self.doubted.borrow_mut().insert(name.clone());
        let path = self.path.join(&name);
        if !doubted && whole(&path, &name).is_some_and(|there| there == body) {
            File::open(&path)?.sync_all()?;
        } else if let Err(error) = write(&path, &name, &body) {
            let _ = fs::remove_file(&path);
            return Err(error);
        }
        File::open(&self.path)?.sync_all()?;
        let kind = place(&name).map(|mine| mine.0);
        self.doubted.borrow_mut().retain(|name| place(name).map(|other| other.0) != kind);
        self.remove_before(&name);
        Ok(())
    }

    fn remove_before(&self, name: &str) {
        let Some(mine) = place(name) else { return };
        for (other, name) in self.list().unwrap_or_default() {
            if other.0 == mine.0 && other < mine {
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

/// The body, if the file is whole.
fn whole(path: &Path, name: &str) -> Option<Vec<u8>> {
    let file = File::open(path).ok()?;
    let mut bytes = Vec::new();
    file.take(LONGEST).read_to_end(&mut bytes).ok()?;
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let body = bytes.split_off(end + 1);
    let header = format!("{MAGIC} {name} {} {:016x}\n", body.len(), digest(&body));
    (bytes == header.as_bytes()).then_some(body)
}
