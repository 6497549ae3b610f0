//! Runs scenarios with each instance ranking and prints means over seeds 1 to N.
//!
//! Usage: `ranking FILE... [--seeds N]`

use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use tindock_simulation::{play_ranking, Ranking, Report};

type Figure = (&'static str, fn(&Report) -> f64);

const FIGURES: [Figure; 9] = [
    ("urgent in aim", |r| r.allocation.urgent),
    ("all in aim", |r| r.aim),
    ("served", |r| r.served),
    ("refusals", |r| r.allocation.refusals as f64),
    ("turned away", |r| r.allocation.full as f64),
    ("starts", |r| r.starts as f64),
    ("memory GB s", |r| r.memory_gb_s),
    ("slot after ms, 99 of 100", |r| r.allocation.waits.1),
    ("not holding", |r| f64::from(u8::from(!r.holds()))),
];

fn main() -> ExitCode {
    let (mut files, mut seeds) = (Vec::new(), 20);
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--seeds" => match args.next().and_then(|seeds| seeds.parse().ok()) {
                Some(given) => seeds = given,
                None => return usage_error("--seeds requires a number"),
            },
            _ => files.push(arg),
        }
    }
    if files.is_empty() {
        return usage_error("ranking FILE... [--seeds N]");
    }
    for file in files {
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => return usage_error(&format!("{file}: {error}")),
        };
        println!("{file}, {seeds} seeds: mean (standard error)");
        for ranking in Ranking::ALL {
            match run_seeds(&text, seeds, ranking) {
                Ok(reports) => println!("  {ranking:?}: {}", summary(&reports)),
                Err(error) => return usage_error(&format!("{file}: {error}")),
            }
        }
    }
    ExitCode::SUCCESS
}

fn run_seeds(text: &str, seeds: u64, ranking: Ranking) -> Result<Vec<Report>, String> {
    let (next, reports) = (AtomicU64::new(1), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > seeds {
                    return;
                }
                let report = play_ranking(text, seed, ranking);
                if let Ok(mut reports) = reports.lock() {
                    reports.push(report);
                }
            });
        }
    });
    let reports = reports.into_inner().map_err(|error| error.to_string())?;
    reports.into_iter().map(|report| report.map_err(|error| error.to_string())).collect()
}

fn summary(reports: &[Report]) -> String {
    let count = reports.len().max(2) as f64;
    let figure = |(name, of): &Figure| {
        let mean = reports.iter().map(of).sum::<f64>() / count;
        let spread = reports.iter().map(|report| (of(report) - mean).powi(2)).sum::<f64>();
        format!("{name} {mean:.4} ({:.4})", (spread / (count - 1.0) / count).sqrt())
    };
    FIGURES.iter().map(figure).collect::<Vec<_>>().join(", ")
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(2)
}
