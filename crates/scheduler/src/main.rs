//! The scheduler as a process: its configuration, its log, its exit code.

use slog::{o, Drain, Logger};
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;
use tindock_scheduler::{berth, start};

/// Lines that may wait for the log's reader; beyond that they are dropped, and their number is told.
const LINES_WAITING: usize = 4096;
/// How long the end of the process waits for lines to be written.
const LAST_LINES: Duration = Duration::from_millis(100);

fn go() -> Result<(), String> {
    let path = PathBuf::from(std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG names no configuration")?);
    let berth = berth::from_file(&path)?;
    let lines = slog_term::PlainDecorator::new(std::io::stdout());
    // Lines that cannot be written or must not wait are lost: no log may block or end the scheduler.
    let drain = slog_term::FullFormat::new(lines).build().ignore_res();
    let (drain, rest) = slog_async::Async::new(drain).chan_size(LINES_WAITING).build_with_guard();
    let log = Logger::root(drain.ignore_res(), o!());
    let ended = start::run(berth, path, &log);
    // The lines still waiting are written by a thread of their own, which the end does not wait for long.
    let (written, all) = mpsc::channel::<()>();
    std::thread::spawn(move || drop((rest, written)));
    let _ = all.recv_timeout(LAST_LINES);
    ended
}

fn main() {
    if let Err(why) = go() {
        eprintln!("tindock: {}", why.replace('\n', " "));
        std::process::exit(1);
    }
}
