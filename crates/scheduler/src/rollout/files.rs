//! The configurations on disk. Each is replaced under a lock, by a run that holds the largest number seen there: a run
//! that was stopped in the midst and wakes after another has begun replaces nothing any more.

use crate::disk::{locked, replace, with_suffix};
use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::time::Duration;
use tindock_berth::digest;

/// A lock is held for the time of a write; whoever holds it for longer stands still.
const LOCK_WITHIN: Duration = Duration::from_secs(1);

#[derive(Debug, PartialEq)]
pub enum Wrong {
    /// Another run has a larger number there.
    Outrun(String),
    /// The file is neither what it was nor what this run gave it.
    ByHand(String),
    /// It cannot be read or written now.
    Out(String),
}

impl Wrong {
    pub fn text(&self) -> &str {
        let (Wrong::Outrun(why) | Wrong::ByHand(why) | Wrong::Out(why)) = self;
        why
    }
}

fn out(path: &Path) -> impl Fn(std::io::Error) -> Wrong + '_ {
    move |e| Wrong::Out(format!("{}: {e}", path.display()))
}

/// The number and the run that last said they have this file; 0 with none.
pub fn holder(path: &Path) -> Result<(u64, String), Wrong> {
    let fence = with_suffix(path, ".fence");
    let text = match fs::read_to_string(&fence) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok((0, String::new())),
        text => text.map_err(out(&fence))?,
    };
    // It is renamed into place, so that one that cannot be read was not written by a run.
    let parted = text.trim_end().split_once(' ').and_then(|(n, run)| Some((n.parse().ok()?, run.into())));
    parted.ok_or_else(|| Wrong::Out(format!("{}: no number and run stand there", fence.display())))
}

/// One run's hand on one configuration.
pub struct Hand<'a> {
    pub path: &'a Path,
    pub run: &'a str,
    pub number: u64,
}

impl Hand<'_> {
    /// Under the lock of the file, with no larger number in its fence.
    fn held<T>(&self, act: impl FnOnce() -> Result<T, Wrong>) -> Result<T, Wrong> {
        let path = with_suffix(self.path, ".lock");
        let lock = locked(&path, LOCK_WITHIN).map_err(out(&path))?;
        let _held = lock.ok_or_else(|| Wrong::Out(format!("{}: held by another process", path.display())))?;
        let (number, run) = holder(self.path)?;
        if number > self.number || number == self.number && run != self.run {
            return Err(Wrong::Outrun(format!("{run} has number {number} at {}", self.path.display())));
        }
        act()
    }

    /// From now on no run with a smaller number replaces the file.
    pub fn fence(&self) -> Result<(), Wrong> {
        self.held(|| {
            let fence = with_suffix(self.path, ".fence");
            replace(&fence, format!("{} {}\n", self.number, self.run).as_bytes()).map_err(out(&fence))
        })
    }

    /// What has digest `from` becomes `to`; what is `to` already stays. The one before is kept beside.
    pub fn swap(&self, from: &str, to: &str) -> Result<(), Wrong> {
        self.held(|| {
            let now = fs::read(self.path).map_err(out(self.path))?;
            let is = digest(&now);
            if is == digest(to) {
                return Ok(());
            }
            if is != from {
                let why = format!("{}: was changed by hand meanwhile", self.path.display());
                return Err(Wrong::ByHand(why));
            }
            let before = with_suffix(self.path, ".before");
            replace(&before, &now).map_err(out(&before))?;
            replace(self.path, to.as_bytes()).map_err(out(self.path))
        })
    }

    /// The run has ended: the file of before goes.
    pub fn tidy(&self) {
        let _ = self.held(|| fs::remove_file(with_suffix(self.path, ".before")).map_err(out(self.path)));
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

    /// Guards against a run that wakes late, and against a file that staff have changed meanwhile.
    #[test]
    fn who_comes_late_or_upon_a_strange_file_changes_nothing() {
        let folder = folder("late");
        let path = folder.join("n0.json");
        let hand = |run, number| Hand { path: &path, run, number };
        fs::write(&path, "old").expect("written");
        let (old, new) = (digest("old"), digest("new"));
        assert_eq!(hand("first", 1).fence(), Ok(()));
        assert_eq!(hand("first", 1).swap(&old, "new"), Ok(()));
        assert_eq!(hand("second", 2).fence(), Ok(()));
        for late in [hand("first", 1).swap(&new, "old"), hand("other", 2).swap(&new, "old")] {
            assert!(matches!(late, Err(Wrong::Outrun(_))), "{late:?}");
        }
        assert_eq!(fs::read_to_string(&path).expect("text"), "new");
        assert_eq!(hand("second", 2).swap(&new, "old"), Ok(()));
        // Twice is as good as once.
        assert_eq!(hand("second", 2).swap(&new, "old"), Ok(()));
        fs::write(&path, "mine").expect("written");
        assert!(matches!(hand("second", 2).swap(&old, "new"), Err(Wrong::ByHand(_))));
        assert_eq!(fs::read_to_string(&path).expect("text"), "mine");
        fs::write(with_suffix(&path, ".fence"), "torn").expect("written");
        assert!(matches!(hand("third", 3).fence(), Err(Wrong::Out(_))));
        fs::remove_dir_all(&folder).expect("removed");
    }

    /// Guards against a run that hangs, or goes on, while another process holds the file.
    #[test]
    fn a_lock_that_is_held_is_not_waited_for_long() {
        let folder = folder("held");
        let path = folder.join("n0.json");
        fs::write(&path, "old").expect("written");
        let lock = File::create(with_suffix(&path, ".lock")).expect("a lock");
        lock.lock().expect("held");
        let late = Hand { path: &path, run: "first", number: 1 }.swap(&digest("old"), "new");
        assert!(matches!(late, Err(Wrong::Out(_))), "{late:?}");
        assert_eq!(fs::read_to_string(&path).expect("text"), "old");
        fs::remove_dir_all(&folder).expect("removed");
    }
}
