//! The log: a ring buffer in memory that is written out after an error. `install` makes it the sink of the
//! `spdlog` macros: `debug!` and `info!` go to the ring only; `warn!` and up go to standard output at once, a
//! line each. `error!`, `critical!`, `spill` and a panic also write the ring out. A panic in any task or
//! thread ends the process: otherwise the missing task would go unnoticed. The log has no thread and no
//! timer: output that is delayed by a rate limit is written with a later record.

use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Level, LevelFilter, Logger, Record};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Records kept; the oldest is dropped first.
const MAX_RECORDS: usize = 400;
/// Longer records are truncated.
const MAX_RECORD_BYTES: usize = 400;
/// The ring is written out at most this often.
const MIN_SPILL_INTERVAL: Duration = Duration::from_secs(5);
/// Lines written at once within a second; further ones go to the ring, since writing costs CPU time.
const MAX_LINES_PER_SECOND: u32 = 20;

struct LogRecord {
    at: Duration,
    level: Level,
    text: String,
}

/// The ring and its rate limits. No I/O, no clock.
struct LogBuffer {
    node: String,
    /// Records of this level and up are written at once.
    min_level: Level,
    records: VecDeque<LogRecord>,
    /// Records dropped from the ring unwritten since it was last written out.
    dropped: u64,
    last_spill: Option<Duration>,
    /// Why the ring is to be written out, if the rate limit has delayed that.
    pending_reason: Option<String>,
    /// The number of the current second, and the lines written at once in it.
    current_second: (u64, u32),
}

/// The text truncated to the size limit, in one line.
fn one_line(text: &str) -> impl Iterator<Item = char> + '_ {
    let end = text.floor_char_boundary(MAX_RECORD_BYTES.min(text.len()));
    text[..end].chars().map(|c| if c.is_control() { ' ' } else { c })
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Critical => "critical",
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

impl LogBuffer {
    fn new(node: &str) -> LogBuffer {
        let records = VecDeque::with_capacity(MAX_RECORDS);
        LogBuffer {
            node: node.to_string(),
            min_level: Level::Warn,
            records,
            dropped: 0,
            last_spill: None,
            pending_reason: None,
            current_second: (0, 0),
        }
    }

    fn write(&self, out: &mut String, at: Duration, level: &str, text: &str) {
        // Writing to a string cannot fail.
        let _ = write!(out, "{:.3} {} {level} ", at.as_secs_f64(), self.node);
        out.extend(one_line(text));
        out.push('\n');
    }

    fn keep(&mut self, now: Duration, level: Level, text: &str) {
        // Reuses the memory of the oldest record.
        let mut kept = match self.records.len() {
            MAX_RECORDS => {
                self.dropped += 1;
                self.records.pop_front().map(|line| line.text).unwrap_or_default()
            }
            _ => String::new(),
        };
        kept.clear();
        kept.extend(one_line(text));
        self.records.push_back(LogRecord { at: now, level, text: kept });
    }

    /// Counts a line written at once, and returns whether the rate limit allows it.
    fn may_write(&mut self, now: Duration) -> bool {
        if self.current_second.0 != now.as_secs() {
            self.current_second = (now.as_secs(), 0);
        }
        self.current_second.1 += 1;
        self.current_second.1
            <= if self.min_level == Level::Warn { MAX_LINES_PER_SECOND } else { MAX_LINES_PER_SECOND * 50 }
    }

    /// Adds a record, and returns the text to be written for it, which is mostly empty.
    fn record(&mut self, now: Duration, level: Level, text: &str) -> String {
        let mut out = String::new();
        if LevelFilter::MoreSevereEqual(self.min_level).test(level) && self.may_write(now) {
            self.write(&mut out, now, level_name(level), text);
        } else {
            self.keep(now, level, text);
        }
        if LevelFilter::MoreSevereEqual(Level::Error).test(level) {
            self.spill(&mut out, now, text);
        } else if self.pending_reason.is_some() && !self.spilled_recently(now) {
            let reason = self.pending_reason.take().unwrap_or_default();
            self.spill(&mut out, now, &reason);
        }
        out
    }

    fn spilled_recently(&self, now: Duration) -> bool {
        self.last_spill.is_some_and(|at| now < at + MIN_SPILL_INTERVAL)
    }

    /// Writes the ring to `out`, oldest record first, between two marker lines. Each record is written once.
    fn spill(&mut self, out: &mut String, now: Duration, reason: &str) {
        if self.spilled_recently(now) {
            self.pending_reason.get_or_insert_with(|| one_line(reason).collect());
            return;
        }
        (self.last_spill, self.pending_reason) = (Some(now), None);
        let lines = std::mem::take(&mut self.records);
        let dropped = std::mem::take(&mut self.dropped);
        let head = format!("{} records, {dropped} before them are gone: {reason}", lines.len());
        self.write(out, now, "ring", &head);
        for line in &lines {
            out.push_str("  ");
            self.write(out, line.at, level_name(line.level), &line.text);
        }
        self.write(out, now, "ring", "end");
    }
}

/// The sink of the macros.
struct Ring {
    prop: SinkProp,
    start: Instant,
    buffer: Mutex<LogBuffer>,
    out: fn(&str),
}

impl Ring {
    fn new(node: &str, min_level: Level, out: fn(&str)) -> Ring {
        let buffer = Mutex::new(LogBuffer { min_level, ..LogBuffer::new(node) });
        Ring { prop: SinkProp::default(), start: Instant::now(), buffer, out }
    }

    fn record(&self, level: Level, text: &str) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let out = buffer.record(self.start.elapsed(), level, text);
        if !out.is_empty() {
            (self.out)(&out);
        }
    }

    /// Writes the ring out at the end of the process, without the rate limit.
    fn spill_at_exit(&self, reason: &str) {
        if let Ok(mut buffer) = self.buffer.try_lock() {
            buffer.last_spill = None;
        }
        self.spill(reason);
    }

    fn spill(&self, reason: &str) {
        // A panic may occur while the same thread holds the lock: then the ring is not available.
        let mut buffer = match self.buffer.try_lock() {
            Ok(buffer) => buffer,
            Err(std::sync::TryLockError::Poisoned(buffer)) => buffer.into_inner(),
            Err(std::sync::TryLockError::WouldBlock) => return,
        };
        let mut out = String::new();
        buffer.spill(&mut out, self.start.elapsed(), reason);
        if !out.is_empty() {
            (self.out)(&out);
        }
    }
}

impl GetSinkProp for Ring {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for Ring {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        self.record(record.level(), record.payload());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Writes whole lines at once. Errors are ignored, as logging must not end the process.
fn to_stdout(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

static RING: OnceLock<Arc<Ring>> = OnceLock::new();

/// The exit code after a panic.
const PANIC_EXIT_CODE: i32 = 101;

/// Makes the ring the sink of the macros, under this node's name; records from the level `min_level` up are
/// written at once. A panic then writes the ring out and ends the process, so this is for programs only:
/// tests need unwinding. Takes effect once per process; before it the macros use the library's default
/// logger.
pub fn install(node: &str, min_level: Level) {
    let ring = Arc::new(Ring::new(node, min_level, to_stdout));
    if RING.set(ring.clone()).is_err() {
        return;
    }
    let logger = Logger::builder()
        .sink(ring)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Debug))
        .flush_level_filter(LevelFilter::Off)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        previous_hook(panic);
        if let Some(ring) = RING.get() {
            ring.spill_at_exit(&panic.to_string());
        }
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

/// Writes the ring out. If that was done within the last seconds, it is delayed until a later record.
pub fn spill(reason: &str) {
    if let Some(ring) = RING.get() {
        ring.spill(reason);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[rstest]
    #[case(Level::Debug, "")]
    #[case(Level::Info, "")]
    #[case(Level::Warn, "1.500 core-1 warn lost  touch\n")]
    #[case(
        Level::Error,
        "1.500 core-1 error lost  touch\n1.500 core-1 ring 0 records, 0 before them are gone: lost  touch\n\
         1.500 core-1 ring end\n"
    )]
    fn records_from_warn_up_are_written_at_once(#[case] level: Level, #[case] written: &str) {
        assert_eq!(LogBuffer::new("core-1").record(at(1500), level, "lost\n\ttouch"), written);
    }

    #[rstest]
    fn an_error_writes_the_records_before_it_once_and_in_order() {
        let mut buffer = LogBuffer::new("n");
        assert_eq!(buffer.record(at(10), Level::Info, "one"), "");
        assert_eq!(buffer.record(at(20), Level::Debug, "two"), "");
        let out = buffer.record(at(30), Level::Critical, "three");
        let ring = "0.030 n ring 2 records, 0 before them are gone: three\n  0.010 n info one\n  \
                    0.020 n debug two\n0.030 n ring end\n";
        assert_eq!(out, format!("0.030 n critical three\n{ring}"));
        let mut later = String::new();
        buffer.spill(&mut later, at(6000), "again");
        assert_eq!(later, "6.000 n ring 0 records, 0 before them are gone: again\n6.000 n ring end\n");
    }

    #[rstest]
    fn the_ring_is_bounded_and_counts_dropped_records() {
        let mut buffer = LogBuffer::new("n");
        for n in 0..MAX_RECORDS + 7 {
            buffer.record(at(n as u64), Level::Info, &format!("{n} {}", "x".repeat(2 * MAX_RECORD_BYTES)));
        }
        assert_eq!(buffer.records.len(), MAX_RECORDS);
        assert!(buffer.records.iter().all(|line| line.text.len() == MAX_RECORD_BYTES));
        let mut out = String::new();
        buffer.spill(&mut out, at(1000), "asked for");
        assert!(out
            .starts_with("1.000 n ring 400 records, 7 before them are gone: asked for\n  0.007 n info 7 x"));
        assert_eq!(out.lines().count(), MAX_RECORDS + 2);
    }

    #[rstest]
    fn a_spill_within_the_minimum_interval_is_delayed_to_a_later_record() {
        let mut buffer = LogBuffer::new("n");
        assert!(buffer.record(at(0), Level::Error, "first").contains("ring"));
        buffer.record(at(10), Level::Info, "between");
        assert_eq!(buffer.record(at(20), Level::Error, "second"), "0.020 n error second\n");
        assert_eq!(buffer.record(at(30), Level::Error, "third"), "0.030 n error third\n");
        assert_eq!(buffer.record(at(4999), Level::Info, "still"), "");
        let out = buffer.record(at(5000), Level::Info, "now");
        assert!(out.starts_with("5.000 n ring 3 records, 0 before them are gone: second\n"), "{out}");
        assert_eq!(buffer.record(at(11_000), Level::Info, "calm"), "");
    }

    #[rstest]
    fn the_spill_at_exit_ignores_the_minimum_interval() {
        static SEEN: Mutex<String> = Mutex::new(String::new());
        let ring = Ring::new("n", Level::Warn, |text| SEEN.lock().expect("one thread").push_str(text));
        ring.record(Level::Error, "first");
        SEEN.lock().expect("one thread").clear();
        ring.spill("held back");
        assert_eq!(*SEEN.lock().expect("one thread"), "");
        ring.spill_at_exit("panicked at here:\nwhy");
        let seen = SEEN.lock().expect("one thread");
        assert!(seen.contains(" 0 before them are gone: panicked at here: why\n"), "{seen}");
    }

    #[rstest]
    fn warnings_beyond_the_rate_limit_go_to_the_ring() {
        let mut buffer = LogBuffer::new("n");
        let written = (0..100).filter(|n| !buffer.record(at(*n), Level::Warn, "again").is_empty()).count();
        assert_eq!(written, MAX_LINES_PER_SECOND as usize);
        assert_eq!(buffer.records.len(), 100 - MAX_LINES_PER_SECOND as usize);
        assert_eq!(buffer.record(at(1000), Level::Warn, "more"), "1.000 n warn more\n");
    }

    #[rstest]
    #[case("é".repeat(MAX_RECORD_BYTES), MAX_RECORD_BYTES)]
    #[case(format!("x{}", "é".repeat(MAX_RECORD_BYTES)), MAX_RECORD_BYTES - 1)]
    fn a_long_text_is_truncated_at_a_character_boundary(#[case] text: String, #[case] bytes: usize) {
        assert_eq!(one_line(&text).collect::<String>().len(), bytes);
    }

    #[rstest]
    fn the_macros_reach_the_ring() {
        static SEEN: Mutex<String> = Mutex::new(String::new());
        let ring = Arc::new(Ring::new("edge-2", Level::Warn, |text| {
            SEEN.lock().expect("one thread").push_str(text)
        }));
        let logger = Logger::builder()
            .sink(ring.clone())
            .level_filter(LevelFilter::MoreSevereEqual(Level::Debug))
            .build()
            .expect("it has no name");
        spdlog::trace!(logger: logger, "not kept");
        spdlog::info!(logger: logger, "lease {} acquired", 7);
        assert_eq!(*SEEN.lock().expect("one thread"), "");
        ring.spill("asked for");
        let seen = SEEN.lock().expect("one thread");
        let lines: Vec<&str> =
            seen.lines().filter_map(|line| line.split_once(" edge-2 ")).map(|l| l.1).collect();
        assert_eq!(
            lines,
            ["ring 1 records, 0 before them are gone: asked for", "info lease 7 acquired", "ring end"]
        );
    }
}
