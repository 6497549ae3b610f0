//! The inventory's files on disk: finding them, detecting changes and reading them.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, ToSocketAddrs};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use tindock_inventory::{
    duplicate_addresses, merge, ok_if_none, read, Columns, Entry, Host, InputFormat, Inventory, Place,
    Problem, MAX_BYTES,
};

/// Limit for the files of one folder.
const MAX_FILES: usize = 1000;

/// Identifies a version of a file: which file it is, its size and its times. If the clock steps back, the
/// time differs, which counts as a change too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileVersion {
    device: u64,
    inode: u64,
    size: u64,
    written: (i64, i64),
    changed: (i64, i64),
}

/// The files by path, in the order in which they are read.
pub type FileVersions = BTreeMap<PathBuf, FileVersion>;

fn at(path: &Path) -> Place {
    Place::start(&path.display().to_string())
}

fn version_of(path: &Path) -> Result<(FileVersion, bool), Problem> {
    // Follows links: their target is what is read.
    let meta = fs::metadata(path).map_err(|e| at(path).problem(e.to_string()))?;
    let version = FileVersion {
        device: meta.dev(),
        inode: meta.ino(),
        size: meta.len(),
        written: (meta.mtime(), meta.mtime_nsec()),
        changed: (meta.ctime(), meta.ctime_nsec()),
    };
    if !meta.is_dir() && !meta.is_file() {
        return Err(at(path).problem("is neither a file nor a folder"));
    }
    Ok((version, meta.is_dir()))
}

/// Finds all files: those named, and those in named folders with a known extension; hidden files are skipped.
pub fn scan(paths: &[PathBuf]) -> Result<FileVersions, Vec<Problem>> {
    let (mut versions, mut problems) = (FileVersions::new(), Vec::new());
    for path in paths {
        match version_of(path) {
            Err(problem) => problems.push(problem),
            Ok((version, false)) => drop(versions.insert(path.clone(), version)),
            Ok((_, true)) => match scan_folder(path) {
                Ok(found) => versions.extend(found),
                Err(problem) => problems.push(problem),
            },
        }
    }
    ok_if_none(problems, versions)
}

fn scan_folder(path: &Path) -> Result<FileVersions, Problem> {
    let wrong = |e: std::io::Error| at(path).problem(e.to_string());
    let mut versions = FileVersions::new();
    for entry in fs::read_dir(path).map_err(wrong)? {
        let name = entry.map_err(wrong)?.file_name();
        let Some(name) = name.to_str().filter(|n| !n.starts_with('.') && InputFormat::of(n).is_some()) else {
            continue;
        };
        let file = path.join(name);
        let (version, is_folder) = version_of(&file)?;
        if !is_folder {
            versions.insert(file, version);
        }
        if versions.len() > MAX_FILES {
            return Err(at(path).problem(format!("holds more than {MAX_FILES} files")));
        }
    }
    if versions.is_empty() {
        return Err(at(path).problem("holds no file in .csv, .yaml or .yml"));
    }
    Ok(versions)
}

/// Reads all files and merges them with the workers named elsewhere.
pub fn read_all(
    versions: &FileVersions,
    columns: &Columns,
    fixed: &[Entry],
) -> Result<Inventory, Vec<Problem>> {
    let (mut files, mut problems) = (vec![fixed.to_vec()], Vec::new());
    for (path, version) in versions {
        let name = path.display().to_string();
        let Some(form) = InputFormat::of(&name) else {
            problems.push(at(path).problem("its ending is none of .csv, .yaml, .yml"));
            continue;
        };
        if version.size > MAX_BYTES as u64 {
            let what = format!("has {} bytes; {MAX_BYTES} at the most are read", version.size);
            problems.push(at(path).problem(what));
            continue;
        }
        match fs::read(path) {
            Err(e) => problems.push(at(path).problem(e.to_string())),
            Ok(bytes) => match read(&name, &bytes, form, columns) {
                Ok(entries) => files.push(entries),
                Err(wrong) => problems.extend(wrong),
            },
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    merge(files)
}

/// Resolves the one address of each worker. A name that resolves to none or to several addresses is a
/// problem.
pub fn resolve(inventory: &Inventory) -> Result<Vec<SocketAddr>, Vec<Problem>> {
    let (mut found, mut problems) = (Vec::with_capacity(inventory.entries.len()), Vec::new());
    let mut known: BTreeMap<(&str, u16), Result<SocketAddr, String>> = BTreeMap::new();
    for entry in &inventory.entries {
        let address = match &entry.address.host {
            Host::Ip(ip) => Ok(SocketAddr::new(*ip, entry.address.port)),
            Host::Name(name) => {
                let key = (name.as_str(), entry.address.port);
                known.entry(key).or_insert_with(|| resolve_name(name, key.1)).clone()
            }
        };
        match address {
            Ok(address) => found.push(address),
            Err(why) => problems.push(entry.place.problem(why)),
        }
    }
    if problems.is_empty() {
        problems = duplicate_addresses(&inventory.entries, &found);
    }
    ok_if_none(problems, found)
}

fn resolve_name(name: &str, port: u16) -> Result<SocketAddr, String> {
    let found =
        (name, port).to_socket_addrs().map_err(|e| format!("host {name:?} cannot be looked up: {e}"))?;
    let mut found: Vec<SocketAddr> = found.collect();
    found.sort_unstable();
    found.dedup();
    match found[..] {
        [one] => Ok(one),
        [] => Err(format!("host {name:?} has no address")),
        _ => Err(format!("host {name:?} has {} addresses; which one is the worker's?", found.len())),
    }
}
