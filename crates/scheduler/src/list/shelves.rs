//! The inventory's files on disk: which there are, what they say, and whether they changed.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, ToSocketAddrs};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use tindock_inventory::{
    duplicate_addresses, merge, ok_if_none, read, Columns, Entry, Host, InputFormat, Inventory, Place,
    Problem, MAX_BYTES,
};

/// Files of one folder; a folder of millions is no inventory.
const MOST_FILES: usize = 1000;

/// What tells two states of a file apart: which one it is, how long, and when it was written. A clock that steps back
/// gives another time, not an older state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mark {
    device: u64,
    inode: u64,
    size: u64,
    written: (i64, i64),
    changed: (i64, i64),
}

/// The files by name, in the order in which they are read.
pub type Marks = BTreeMap<PathBuf, Mark>;

fn at(path: &Path) -> Place {
    Place::start(&path.display().to_string())
}

fn mark(path: &Path) -> Result<(Mark, bool), Problem> {
    // Through links: what they lead to is what is read.
    let meta = fs::metadata(path).map_err(|e| at(path).problem(e.to_string()))?;
    let mark = Mark {
        device: meta.dev(),
        inode: meta.ino(),
        size: meta.len(),
        written: (meta.mtime(), meta.mtime_nsec()),
        changed: (meta.ctime(), meta.ctime_nsec()),
    };
    if !meta.is_dir() && !meta.is_file() {
        return Err(at(path).problem("is neither a file nor a folder"));
    }
    Ok((mark, meta.is_dir()))
}

/// Looks at all files: those named, and in named folders those whose ending tells a form; hidden ones are passed over.
pub fn look(paths: &[PathBuf]) -> Result<Marks, Vec<Problem>> {
    let (mut marks, mut problems) = (Marks::new(), Vec::new());
    for path in paths {
        match mark(path) {
            Err(problem) => problems.push(problem),
            Ok((mark, false)) => drop(marks.insert(path.clone(), mark)),
            Ok((_, true)) => match folder(path) {
                Ok(found) => marks.extend(found),
                Err(problem) => problems.push(problem),
            },
        }
    }
    ok_if_none(problems, marks)
}

fn folder(path: &Path) -> Result<Marks, Problem> {
    let wrong = |e: std::io::Error| at(path).problem(e.to_string());
    let mut marks = Marks::new();
    for entry in fs::read_dir(path).map_err(wrong)? {
        let name = entry.map_err(wrong)?.file_name();
        let Some(name) = name.to_str().filter(|n| !n.starts_with('.') && InputFormat::of(n).is_some()) else {
            continue;
        };
        let file = path.join(name);
        let (mark, is_folder) = mark(&file)?;
        if !is_folder {
            marks.insert(file, mark);
        }
        if marks.len() > MOST_FILES {
            return Err(at(path).problem(format!("holds more than {MOST_FILES} files")));
        }
    }
    if marks.is_empty() {
        return Err(at(path).problem("holds no file in .csv, .yaml or .yml"));
    }
    Ok(marks)
}

/// Reads all files, and puts them together with the workers that are named elsewhere.
pub fn take(marks: &Marks, columns: &Columns, fixed: &[Entry]) -> Result<Inventory, Vec<Problem>> {
    let (mut files, mut problems) = (vec![fixed.to_vec()], Vec::new());
    for (path, mark) in marks {
        let name = path.display().to_string();
        let Some(form) = InputFormat::of(&name) else {
            problems.push(at(path).problem("its ending is none of .csv, .yaml, .yml"));
            continue;
        };
        if mark.size > MAX_BYTES as u64 {
            let what = format!("has {} bytes; {MAX_BYTES} at the most are read", mark.size);
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

/// The one address of each worker. A name that leads to none or to several is no address of a worker.
pub fn find(inventory: &Inventory) -> Result<Vec<SocketAddr>, Vec<Problem>> {
    let (mut found, mut problems) = (Vec::with_capacity(inventory.entries.len()), Vec::new());
    let mut known: BTreeMap<(&str, u16), Result<SocketAddr, String>> = BTreeMap::new();
    for entry in &inventory.entries {
        let address = match &entry.address.host {
            Host::Ip(ip) => Ok(SocketAddr::new(*ip, entry.address.port)),
            Host::Name(name) => {
                let key = (name.as_str(), entry.address.port);
                known.entry(key).or_insert_with(|| look_up(name, key.1)).clone()
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

fn look_up(name: &str, port: u16) -> Result<SocketAddr, String> {
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
