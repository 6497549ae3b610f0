//! Durable storage of a group member, in a folder of its own: its state, replaced atomically and synced
//! before any message that depends on it is sent, and the texts of proposals by their digests. A lock
//! excludes a second process.

use crate::disk::{locked, replace};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tindock_policy_consensus::{Digest, DurableState};

const STATE: &str = "state";
const LOCK: &str = "lock";
const TEXT_EXTENSION: &str = "text";
/// Start of the state file; tells a file of another version from a truncated one.
const HEADER: &str = "tindock-accord 1";

#[derive(Serialize, Deserialize)]
struct State {
    name: String,
    kept: DurableState,
}

/// An opened folder, locked for this process.
pub struct Store {
    folder: PathBuf,
    name: String,
    _lock: File,
}

pub fn digest(text: &[u8]) -> Digest {
    use sha2::{Digest as _, Sha256};
    Digest(Sha256::digest(text).into())
}

impl Store {
    /// Opens or creates the folder; returns the stored state, or none if the folder is new. A state that is
    /// damaged or of another member is an error, never an empty state. Waits up to `wait` for the lock of
    /// another process.
    pub fn open(folder: &Path, name: &str, wait: Duration) -> Result<(Store, Option<DurableState>), String> {
        let error = |path: &Path| {
            let path = path.display().to_string();
            move |e: std::io::Error| format!("accord: {path}: {e}")
        };
        fs::create_dir_all(folder).map_err(error(folder))?;
        let path = folder.join(LOCK);
        let lock = locked(&path, wait).map_err(error(&path))?;
        let lock =
            lock.ok_or_else(|| format!("accord: {} is in use by another process", folder.display()))?;
        let store = Store { folder: folder.into(), name: name.into(), _lock: lock };
        let path = folder.join(STATE);
        let text = match fs::read_to_string(&path) {
            Err(e) if e.kind() == ErrorKind::NotFound => {
                // Texts without a state mean that the state was lost: this is not a new member.
                return match store.texts().next() {
                    None => Ok((store, None)),
                    Some(_) => Err(format!(
                        "accord: {}: there are texts of proposals, but no state; remove the folder to start as \
                         a new member",
                        folder.display()
                    )),
                };
            }
            text => text.map_err(error(&path))?,
        };
        let kept = parse(&text, name).map_err(|why| format!("accord: {}: {why}", path.display()))?;
        Ok((store, Some(kept)))
    }

    /// Writes the state; it is on disk when this returns.
    pub fn save(&self, kept: &DurableState) -> Result<(), String> {
        let state = State { name: self.name.clone(), kept: kept.clone() };
        let line = serde_json::to_string(&state).map_err(|e| e.to_string())?;
        let text = format!("{HEADER} {}\n{line}\n", digest(line.as_bytes()));
        let path = self.folder.join(STATE);
        replace(&path, text.as_bytes()).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn path(&self, digest: Digest) -> PathBuf {
        self.folder.join(format!("{digest}.{TEXT_EXTENSION}"))
    }

    /// The text of this digest, if it is stored here undamaged.
    pub fn text(&self, of: Digest) -> Option<Vec<u8>> {
        fs::read(self.path(of)).ok().filter(|text| digest(text) == of)
    }

    pub fn add(&self, text: &[u8]) -> Result<Digest, String> {
        let of = digest(text);
        let path = self.path(of);
        if self.text(of).is_none() {
            replace(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok(of)
    }

    fn texts(&self) -> impl Iterator<Item = PathBuf> {
        let all = fs::read_dir(&self.folder).into_iter().flatten().flatten().map(|entry| entry.path());
        all.filter(|path| path.extension().is_some_and(|ending| ending == TEXT_EXTENSION))
    }

    /// Removes the texts that are no longer needed.
    pub fn remove_unneeded(&self, needed: &BTreeSet<Digest>) {
        let needed: BTreeSet<PathBuf> = needed.iter().map(|digest| self.path(*digest)).collect();
        // A text that cannot be removed is tried again at the next call.
        self.texts().filter(|path| !needed.contains(path)).for_each(|path| drop(fs::remove_file(path)));
    }
}

fn parse(text: &str, name: &str) -> Result<DurableState, String> {
    let (first, rest) = text.split_once('\n').unwrap_or((text, ""));
    let Some(sum) = first.strip_prefix(HEADER).map(str::trim) else {
        return Err(match first.starts_with("tindock-accord ") {
            true => "is of another version of the program".into(),
            false => "is not the state of a member".into(),
        });
    };
    let line = rest.strip_suffix('\n').unwrap_or(rest);
    if digest(line.as_bytes()).to_string() != sum {
        return Err("was truncated or changed; remove its folder to start as a new member".into());
    }
    let state: State = serde_json::from_str(line).map_err(|e| e.to_string())?;
    if state.name != name {
        return Err(format!("is the state of {}, not of {name}", state.name));
    }
    Ok(state.kept)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("tindock-store-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        folder
    }

    const NOW: Duration = Duration::ZERO;

    fn open_error(folder: &Path, name: &str) -> String {
        Store::open(folder, name, NOW).map(|_| ()).expect_err("an error")
    }

    /// Guards against a member that takes a damaged, outdated or foreign state file for an empty one, and
    /// votes twice.
    #[test]
    fn a_damaged_or_foreign_state_is_an_error() {
        let folder = folder("whole");
        let kept = DurableState { id: u64::MAX, ..DurableState::default() };
        let (store, before) = Store::open(&folder, "n0", NOW).expect("a store");
        assert_eq!(before, None);
        let text = store.add(b"a policy").expect("added");
        store.save(&kept).expect("kept");
        drop(store);
        assert!(open_error(&folder, "n1").ends_with("is the state of n0, not of n1"));
        let (store, again) = Store::open(&folder, "n0", NOW).expect("a store");
        assert_eq!((again.as_ref(), store.text(text)), (Some(&kept), Some(b"a policy".to_vec())));
        drop(store);
        let path = folder.join(STATE);
        let whole = fs::read_to_string(&path).expect("text");
        for cut in 0..whole.len() - 1 {
            fs::write(&path, &whole[..cut]).expect("written");
            open_error(&folder, "n0");
        }
        fs::write(&path, whole.replace("accord 1", "accord 2")).expect("written");
        assert!(open_error(&folder, "n0").contains("another version"));
        fs::remove_file(&path).expect("removed");
        assert!(open_error(&folder, "n0").contains("no state"));
        fs::write(folder.join(format!("{text}.text")), "another").expect("written");
        fs::write(&path, &whole).expect("written");
        let (store, _) = Store::open(&folder, "n0", NOW).expect("a store");
        assert_eq!(store.text(text), None);
        store.remove_unneeded(&BTreeSet::new());
        assert_eq!(store.texts().count(), 0);
        fs::remove_dir_all(&folder).expect("removed");
    }

    /// Guards against two processes that vote as the same member.
    #[test]
    fn a_second_process_is_refused() {
        let folder = folder("lock");
        let first = Store::open(&folder, "n0", NOW).expect("a store");
        assert!(open_error(&folder, "n0").ends_with("is in use by another process"));
        drop(first);
        Store::open(&folder, "n0", NOW).expect("a store");
        fs::remove_dir_all(&folder).expect("removed");
    }
}
