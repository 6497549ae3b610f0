//! Cases of the second review that need the project's processes on loopback and stand-ins for what surrounds them.
//!
//! `review-drill CASE RECORD`, from the root of the repository; `TROUBLE=0` leaves out the disruption. Exit code 1: the
//! rule was broken; 0: it held; 2: the case could not run.

mod load;
mod platform;
mod slow_platform;
mod system;
mod wire;

use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::Instant;

/// Why a case could not run.
pub type Fault = String;

/// What was seen, with the time since the start of the case.
pub struct Record {
    start: Instant,
    text: String,
}

impl Record {
    pub fn add(&mut self, line: &str) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&mut self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.start).as_secs_f64();
        let _ = writeln!(self.text, "{at:8.3} {line}");
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-drill CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let program = PathBuf::from("target/system/tindock");
    let folder = std::env::temp_dir().join(format!("review-drill-{}", std::process::id()));
    let mut record = Record { start: Instant::now(), text: String::new() };
    record.add(&format!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let result = match case.as_str() {
        "slow-platform" => slow_platform::run(&program, &folder, trouble, &mut record),
        _ => Err(format!("there is no case {case}")),
    };
    let (code, line) = match &result {
        Ok(true) => (1, "the rule was broken".to_string()),
        Ok(false) => (0, "the rule held".to_string()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.add(&line);
    println!("{case}: {line}");
    let _ = std::fs::write(path, &record.text);
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(code);
}
