//! The thread that writes to the disk: a disk may hang for seconds without blocking the run loop.

use super::Event;
use spdlog::{error, warn};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};
use tindock_control_store::files::Folder;
use tindock_control_store::Stored;

/// A write that takes longer is logged.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(300);

/// Starts the thread. It writes the items sent to it in order, and reports for each write whether it
/// succeeded.
pub(super) fn start(files: Folder, events: tokio::sync::mpsc::Sender<Event>) -> Sender<(u64, Stored)> {
    let (writes, queue) = std::sync::mpsc::channel::<(u64, Stored)>();
    std::thread::spawn(move || {
        while let Ok((token, what)) = queue.recv() {
            let saved = save(&files, &what);
            if events.blocking_send(Event::Stored(token, saved)).is_err() {
                return;
            }
        }
    });
    writes
}

fn save(files: &Folder, what: &Stored) -> bool {
    let began = Instant::now();
    let saved = files.save(what);
    let took = began.elapsed();
    if let Err(why) = &saved {
        error!("disk write of the {} failed: {why}", kind(what));
    } else if took >= SLOW_WRITE_THRESHOLD {
        warn!("disk took {} ms to write the {}", took.as_millis(), kind(what));
    }
    saved.is_ok()
}

/// The name of the item in the log.
fn kind(what: &Stored) -> &'static str {
    match what {
        Stored::Configuration(_) => "configuration",
        Stored::Voters(_) => "voters",
        Stored::LeaseNumber(_) => "lease number",
        Stored::Promise(_) => "promised ballot",
    }
}
