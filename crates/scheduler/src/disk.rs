//! Files shared by several processes: atomic replacement and locking.

use std::fs::{self, File, TryLockError};
use std::io::{Result, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How often a lock that another process holds is retried.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The same path with a suffix appended to the file name.
pub fn with_suffix(path: &Path, ending: &str) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(ending);
    path.with_file_name(name)
}

/// Replaces a file atomically and durably: writes a temporary file, syncs it, renames it and syncs the
/// folder.
pub fn replace(path: &Path, text: &[u8]) -> Result<()> {
    let new = with_suffix(path, ".rollout-new");
    let written = (|| {
        let mut file = File::create(&new)?;
        if let Ok(old) = fs::metadata(path) {
            file.set_permissions(old.permissions())?;
        }
        file.write_all(text)?;
        file.sync_all()?;
        fs::rename(&new, path)
    })();
    if written.is_err() {
        let _ = fs::remove_file(&new);
        return written;
    }
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// Locks a file, creating it if it does not exist, until the returned handle is dropped; none if another
/// process holds the lock for longer than `wait`.
pub fn locked(path: &Path, wait: Duration) -> Result<Option<File>> {
    let lock = File::options().create(true).truncate(false).write(true).open(path)?;
    let began = Instant::now();
    loop {
        match lock.try_lock() {
            Ok(()) => return Ok(Some(lock)),
            Err(TryLockError::WouldBlock) if began.elapsed() < wait => {
                std::thread::sleep(LOCK_RETRY_INTERVAL)
            }
            Err(TryLockError::WouldBlock) => return Ok(None),
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
}
