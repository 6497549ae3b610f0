//! The scheduler as a process: its configuration, its log, its exit code.

use slog::{o, Drain, Logger};
use tindock_scheduler::{berth, start};

/// Lines that may wait for the log's reader; beyond that they are dropped, and their number is told.
const LINES_WAITING: usize = 4096;

fn serve() -> Result<(), String> {
    let path = std::env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let berth = berth::read(&text).map_err(|why| format!("{path}: {why}"))?;
    let lines = slog_term::PlainDecorator::new(std::io::stdout());
    let drain = slog_term::FullFormat::new(lines).build().fuse();
    let (drain, _guard) = slog_async::Async::new(drain).chan_size(LINES_WAITING).build_with_guard();
    let log = Logger::root(drain.fuse(), o!());
    start::run(berth, &log)
}

fn main() {
    if let Err(why) = serve() {
        eprintln!("tindock: {}", why.replace('\n', " "));
        std::process::exit(1);
    }
}
