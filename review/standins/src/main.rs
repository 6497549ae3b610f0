//! Runs one case: `review-standins CASE PROGRAM RECORD`. Exit code 1: the rule was broken, 0: it held, 2: the
//! case could not run. `TROUBLE=0` leaves out the disruption.

mod bed;
mod large_slots;
mod shared_name;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = std::sync::Arc::new(bed::Record::new(PathBuf::from(record)));
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::from(2);
    };
    let program = PathBuf::from(program);
    let outcome = runtime.block_on(async {
        let run = async {
            match case.as_str() {
                "shared-name" => shared_name::run(program, record.clone(), trouble).await,
                "large-slots" => large_slots::run(program, record.clone(), trouble).await,
                _ => Err(format!("no such case: {case}")),
            }
        };
        tokio::time::timeout(Duration::from_secs(110), run)
            .await
            .unwrap_or_else(|_| Err("out of time".into()))
    });
    let (line, code) = match outcome {
        Ok(broken) if broken.is_empty() => ("HELD".to_string(), 0),
        Ok(broken) => (format!("BROKEN: {} times, first: {}", broken.len(), broken[0]), 1),
        Err(why) => (format!("COULD NOT RUN: {why}"), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(code)
}
