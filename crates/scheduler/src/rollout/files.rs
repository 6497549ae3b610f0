//! The schedulers' configuration files. A file is replaced under a lock, and only by the run with the largest
//! number seen there: a run that was suspended and continues after a newer one has started can no longer
//! replace it.

use crate::disk::{locked, replace, with_suffix};
use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::time::Duration;
use tindock_scheduler_config::digest;

/// A lock is held for the time of one write; a process that holds it for longer hangs.
const LOCK_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, PartialEq)]
pub enum FileError {
    /// Another run has a larger number for this file.
    Superseded(String),
    /// The content is neither the one from before the run nor the one that this run wrote.
    ChangedByHand(String),
    /// The file cannot be read or written, or its lock is held.
    Io(String),
}

impl FileError {
    pub fn text(&self) -> &str {
        let (FileError::Superseded(why) | FileError::ChangedByHand(why) | FileError::Io(why)) = self;
        why
    }
}

fn io_error(path: &Path) -> impl Fn(std::io::Error) -> FileError + '_ {
    move |e| FileError::Io(format!("{}: {e}", path.display()))
}

/// The number and name of the run that last fenced this file; 0 and an empty name if none did.
pub fn holder(path: &Path) -> Result<(u64, String), FileError> {
    let fence = with_suffix(path, ".fence");
    let text = match fs::read_to_string(&fence) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok((0, String::new())),
        text => text.map_err(io_error(&fence))?,
    };
    // A run renames the fence into place, so an unreadable fence was not written by a run.
    let parsed = text.trim_end().split_once(' ').and_then(|(n, run)| Some((n.parse().ok()?, run.into())));
    parsed.ok_or_else(|| FileError::Io(format!("{}: a number and a run were expected", fence.display())))
}

/// One configuration file, as one run accesses it.
pub struct ConfigFile<'a> {
    pub path: &'a Path,
    pub run: &'a str,
    pub number: u64,
}

impl ConfigFile<'_> {
    /// Runs `act` under the lock of the file, if no run with a larger number has fenced it.
    fn with_lock<T>(&self, act: impl FnOnce() -> Result<T, FileError>) -> Result<T, FileError> {
        let path = with_suffix(self.path, ".lock");
        let lock = locked(&path, LOCK_TIMEOUT).map_err(io_error(&path))?;
        let _guard =
            lock.ok_or_else(|| FileError::Io(format!("{}: held by another process", path.display())))?;
        let (number, run) = holder(self.path)?;
        if number > self.number || number == self.number && run != self.run {
            return Err(FileError::Superseded(format!(
                "{run} has number {number} at {}",
                self.path.display()
            )));
        }
        act()
    }

    /// Fences the file: from now on no run with a smaller number can replace it.
    pub fn fence(&self) -> Result<(), FileError> {
        self.with_lock(|| {
            let fence = with_suffix(self.path, ".fence");
            replace(&fence, format!("{} {}\n", self.number, self.run).as_bytes()).map_err(io_error(&fence))
        })
    }

    /// Replaces the content of digest `from` by `to`, and keeps the previous content in a backup file.
    /// Content that is `to` already stays.
    pub fn swap(&self, from: &str, to: &str) -> Result<(), FileError> {
        self.with_lock(|| {
            let now = fs::read(self.path).map_err(io_error(self.path))?;
            let current = digest(&now);
            if current == digest(to) {
                return Ok(());
            }
            if current != from {
                let why = format!("{}: was changed by hand during the run", self.path.display());
                return Err(FileError::ChangedByHand(why));
            }
            let before = with_suffix(self.path, ".before");
            replace(&before, &now).map_err(io_error(&before))?;
            replace(self.path, to.as_bytes()).map_err(io_error(self.path))
        })
    }

    /// Removes the backup file at the end of a run.
    pub fn remove_backup(&self) {
        let _ = self
            .with_lock(|| fs::remove_file(with_suffix(self.path, ".before")).map_err(io_error(self.path)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::fs::File;
    use std::path::PathBuf;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("tindock-files-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }

    /// Guards against a superseded run that still writes, and against overwriting a file that an operator has
    /// changed during the run.
    #[test]
    fn a_superseded_run_or_a_file_changed_by_hand_replaces_nothing() {
        let folder = folder("late");
        let path = folder.join("n0.json");
        let file = |run, number| ConfigFile { path: &path, run, number };
        fs::write(&path, "old").expect("written");
        let (old, new) = (digest("old"), digest("new"));
        assert_eq!(file("first", 1).fence(), Ok(()));
        assert_eq!(file("first", 1).swap(&old, "new"), Ok(()));
        assert_eq!(file("second", 2).fence(), Ok(()));
        for late in [file("first", 1).swap(&new, "old"), file("other", 2).swap(&new, "old")] {
            assert!(matches!(late, Err(FileError::Superseded(_))), "{late:?}");
        }
        assert_eq!(fs::read_to_string(&path).expect("text"), "new");
        assert_eq!(file("second", 2).swap(&new, "old"), Ok(()));
        // A repeated swap succeeds.
        assert_eq!(file("second", 2).swap(&new, "old"), Ok(()));
        fs::write(&path, "mine").expect("written");
        assert!(matches!(file("second", 2).swap(&old, "new"), Err(FileError::ChangedByHand(_))));
        assert_eq!(fs::read_to_string(&path).expect("text"), "mine");
        fs::write(with_suffix(&path, ".fence"), "torn").expect("written");
        assert!(matches!(file("third", 3).fence(), Err(FileError::Io(_))));
        fs::remove_dir_all(&folder).expect("removed");
    }

    /// Guards against a run that hangs, or writes all the same, while another process holds the lock.
    #[test]
    fn a_held_lock_times_out_and_the_file_is_unchanged() {
        let folder = folder("held");
        let path = folder.join("n0.json");
        fs::write(&path, "old").expect("written");
        let lock = File::create(with_suffix(&path, ".lock")).expect("a lock");
        lock.lock().expect("held");
        let late = ConfigFile { path: &path, run: "first", number: 1 }.swap(&digest("old"), "new");
        assert!(matches!(late, Err(FileError::Io(_))), "{late:?}");
        assert_eq!(fs::read_to_string(&path).expect("text"), "old");
        fs::remove_dir_all(&folder).expect("removed");
    }
}
