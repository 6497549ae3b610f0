//! The log: a ring in memory that is written out when something goes wrong, and little else. `install` puts
//! it behind the macros of `spdlog`: `debug!` and `info!` go to the ring alone; `warn!` and up go to standard
//! output at once, a line each. `error!`, `critical!`, `spill` and a panic have the ring written out too, and
//! a panic ends the process, wherever it happens: a task or a thread that is missing would go unnoticed. It
//! has no thread and no timer: what may not be written yet is written with a later record.

use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Level, LevelFilter, Logger, Record};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Records kept; the oldest goes first.
const KEPT: usize = 400;
/// Bytes of one record that are kept.
const LONGEST: usize = 400;
/// The ring is written out at most this often.
const PAUSE: Duration = Duration::from_secs(5);
/// Lines written at once within a second; further ones wait in the ring: writing costs processor time.
const LINES: u32 = 20;

struct Line {
    at: Duration,
    level: Level,
    text: String,
}

/// What is kept and what is due to be written. No I/O, no clock.
struct Book {
    node: String,
    /// What is written at once: this level and up.
    least: Level,
    lines: VecDeque<Line>,
    /// Records that went from the ring unwritten since it was last written out.
    passed: u64,
    spilled: Option<Duration>,
    /// Why the ring is to be written out, if the pause kept it from that.
    owed: Option<String>,
    /// A second since the start, and the lines written at once in it.
    lately: (u64, u32),
}

/// The part that fits, in one line.
fn one_line(text: &str) -> impl Iterator<Item = char> + '_ {
    let end = text.floor_char_boundary(LONGEST.min(text.len()));
    text[..end].chars().map(|c| if c.is_control() { ' ' } else { c })
}

fn word(level: Level) -> &'static str {
    match level {
        Level::Critical => "critical",
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

impl Book {
    fn new(node: &str) -> Book {
        let lines = VecDeque::with_capacity(KEPT);
        Book {
            node: node.to_string(),
            least: Level::Warn,
            lines,
            passed: 0,
            spilled: None,
            owed: None,
            lately: (0, 0),
        }
    }

    fn write(&self, out: &mut String, at: Duration, level: &str, text: &str) {
        // Writing to a string has no way to fail.
        let _ = write!(out, "{:.3} {} {level} ", at.as_secs_f64(), self.node);
        out.extend(one_line(text));
        out.push('\n');
    }

    fn keep(&mut self, now: Duration, level: Level, text: &str) {
        // The oldest record's memory serves the newest.
        let mut kept = match self.lines.len() {
            KEPT => {
                self.passed += 1;
                self.lines.pop_front().map(|line| line.text).unwrap_or_default()
            }
            _ => String::new(),
        };
        kept.clear();
        kept.extend(one_line(text));
        self.lines.push_back(Line { at: now, level, text: kept });
    }

    /// One more line this second, if there is room for it.
    fn room(&mut self, now: Duration) -> bool {
        if self.lately.0 != now.as_secs() {
            self.lately = (now.as_secs(), 0);
        }
        self.lately.1 += 1;
        self.lately.1 <= if self.least == Level::Warn { LINES } else { LINES * 50 }
    }

    /// A record, and what is to be written for it: mostly nothing.
    fn take(&mut self, now: Duration, level: Level, text: &str) -> String {
        let mut out = String::new();
        if LevelFilter::MoreSevereEqual(self.least).test(level) && self.room(now) {
            self.write(&mut out, now, word(level), text);
        } else {
            self.keep(now, level, text);
        }
        if LevelFilter::MoreSevereEqual(Level::Error).test(level) {
            self.spill(&mut out, now, text);
        } else if self.owed.is_some() && !self.paused(now) {
            let reason = self.owed.take().unwrap_or_default();
            self.spill(&mut out, now, &reason);
        }
        out
    }

    fn paused(&self, now: Duration) -> bool {
        self.spilled.is_some_and(|at| now < at + PAUSE)
    }

    /// The ring, oldest first, with a line before and a line after it. Each record is written once.
    fn spill(&mut self, out: &mut String, now: Duration, reason: &str) {
        if self.paused(now) {
            self.owed.get_or_insert_with(|| one_line(reason).collect());
            return;
        }
        (self.spilled, self.owed) = (Some(now), None);
        let lines = std::mem::take(&mut self.lines);
        let passed = std::mem::take(&mut self.passed);
        let head = format!("{} records, {passed} before them are gone: {reason}", lines.len());
        self.write(out, now, "ring", &head);
        for line in &lines {
            out.push_str("  ");
            self.write(out, line.at, word(line.level), &line.text);
        }
        self.write(out, now, "ring", "end");
    }
}

/// The sink behind the macros.
struct Ring {
    prop: SinkProp,
    start: Instant,
    book: Mutex<Book>,
    out: fn(&str),
}

impl Ring {
    fn new(node: &str, least: Level, out: fn(&str)) -> Ring {
        let book = Mutex::new(Book { least, ..Book::new(node) });
        Ring { prop: SinkProp::default(), start: Instant::now(), book, out }
    }

    fn take(&self, level: Level, text: &str) {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        let out = book.take(self.start.elapsed(), level, text);
        if !out.is_empty() {
            (self.out)(&out);
        }
    }

    /// The last words of a process: no pause keeps them back.
    fn last(&self, reason: &str) {
        if let Ok(mut book) = self.book.try_lock() {
            book.spilled = None;
        }
        self.spill(reason);
    }

    fn spill(&self, reason: &str) {
        // A panic may come from a thread that has the book: then there is nothing to be had from it.
        let mut book = match self.book.try_lock() {
            Ok(book) => book,
            Err(std::sync::TryLockError::Poisoned(book)) => book.into_inner(),
            Err(std::sync::TryLockError::WouldBlock) => return,
        };
        let mut out = String::new();
        book.spill(&mut out, self.start.elapsed(), reason);
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
        self.take(record.level(), record.payload());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

/// Whole lines at once. What cannot be written is lost: no log may end the process.
fn to_stdout(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

static RING: OnceLock<Arc<Ring>> = OnceLock::new();

/// The exit code after a panic.
const BROKEN: i32 = 101;

/// Puts the ring behind the macros, under this node's name, with what is written at once from the level `least` up, and has a panic write it out and end the process.
/// For programs only, since tests unwind. Once a process; before it the macros write as the library does by itself.
pub fn install(node: &str, least: Level) {
    let ring = Arc::new(Ring::new(node, least, to_stdout));
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
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        if let Some(ring) = RING.get() {
            ring.last(&panic.to_string());
        }
        std::process::exit(BROKEN);
    }));
}

/// Writes the ring out, unless that was done within the last seconds: then a later record has it done.
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
    fn a_level_decides_what_is_written_at_once(#[case] level: Level, #[case] written: &str) {
        assert_eq!(Book::new("core-1").take(at(1500), level, "lost\n\ttouch"), written);
    }

    #[rstest]
    fn an_error_brings_what_led_to_it_once_and_in_order() {
        let mut book = Book::new("n");
        assert_eq!(book.take(at(10), Level::Info, "one"), "");
        assert_eq!(book.take(at(20), Level::Debug, "two"), "");
        let out = book.take(at(30), Level::Critical, "three");
        let ring = "0.030 n ring 2 records, 0 before them are gone: three\n  0.010 n info one\n  \
                    0.020 n debug two\n0.030 n ring end\n";
        assert_eq!(out, format!("0.030 n critical three\n{ring}"));
        let mut later = String::new();
        book.spill(&mut later, at(6000), "again");
        assert_eq!(later, "6.000 n ring 0 records, 0 before them are gone: again\n6.000 n ring end\n");
    }

    #[rstest]
    fn the_ring_is_bounded_and_says_what_it_lost() {
        let mut book = Book::new("n");
        for n in 0..KEPT + 7 {
            book.take(at(n as u64), Level::Info, &format!("{n} {}", "x".repeat(2 * LONGEST)));
        }
        assert_eq!(book.lines.len(), KEPT);
        assert!(book.lines.iter().all(|line| line.text.len() == LONGEST));
        let mut out = String::new();
        book.spill(&mut out, at(1000), "asked for");
        assert!(out
            .starts_with("1.000 n ring 400 records, 7 before them are gone: asked for\n  0.007 n info 7 x"));
        assert_eq!(out.lines().count(), KEPT + 2);
    }

    #[rstest]
    fn it_is_written_out_at_most_every_pause_and_what_is_owed_comes_with_a_later_record() {
        let mut book = Book::new("n");
        assert!(book.take(at(0), Level::Error, "first").contains("ring"));
        book.take(at(10), Level::Info, "between");
        assert_eq!(book.take(at(20), Level::Error, "second"), "0.020 n error second\n");
        assert_eq!(book.take(at(30), Level::Error, "third"), "0.030 n error third\n");
        assert_eq!(book.take(at(4999), Level::Info, "still"), "");
        let out = book.take(at(5000), Level::Info, "now");
        assert!(out.starts_with("5.000 n ring 3 records, 0 before them are gone: second\n"), "{out}");
        assert_eq!(book.take(at(11_000), Level::Info, "calm"), "");
    }

    #[rstest]
    fn the_last_words_wait_for_no_pause() {
        static SEEN: Mutex<String> = Mutex::new(String::new());
        let ring = Ring::new("n", Level::Warn, |text| SEEN.lock().expect("one thread").push_str(text));
        ring.take(Level::Error, "first");
        SEEN.lock().expect("one thread").clear();
        ring.spill("held back");
        assert_eq!(*SEEN.lock().expect("one thread"), "");
        ring.last("panicked at here:\nwhy");
        let seen = SEEN.lock().expect("one thread");
        assert!(seen.contains(" 0 before them are gone: panicked at here: why\n"), "{seen}");
    }

    #[rstest]
    fn a_flood_of_warnings_goes_to_the_ring() {
        let mut book = Book::new("n");
        let written = (0..100).filter(|n| !book.take(at(*n), Level::Warn, "again").is_empty()).count();
        assert_eq!(written, LINES as usize);
        assert_eq!(book.lines.len(), 100 - LINES as usize);
        assert_eq!(book.take(at(1000), Level::Warn, "more"), "1.000 n warn more\n");
    }

    #[rstest]
    #[case("é".repeat(LONGEST), LONGEST)]
    #[case(format!("x{}", "é".repeat(LONGEST)), LONGEST - 1)]
    fn a_long_text_is_cut_between_letters(#[case] text: String, #[case] bytes: usize) {
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
        spdlog::info!(logger: logger, "duty {} taken up", 7);
        assert_eq!(*SEEN.lock().expect("one thread"), "");
        ring.spill("asked for");
        let seen = SEEN.lock().expect("one thread");
        let lines: Vec<&str> =
            seen.lines().filter_map(|line| line.split_once(" edge-2 ")).map(|l| l.1).collect();
        assert_eq!(
            lines,
            ["ring 1 records, 0 before them are gone: asked for", "info duty 7 taken up", "ring end"]
        );
    }
}
