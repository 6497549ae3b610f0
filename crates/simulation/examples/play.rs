//! Runs scenarios and prints a report of each: `play FILE... [--seed N] [--plant NAME] [--sharing NAME]`.

use std::process::ExitCode;
use tindock_simulation::{play_sharing, InjectedDefect, Sharing};

fn defect_by_name(name: &str) -> Option<InjectedDefect> {
    InjectedDefect::ALL.into_iter().find(|defect| format!("{defect:?}") == name)
}

fn sharing_by_name(name: &str) -> Option<Sharing> {
    Sharing::ALL.into_iter().find(|sharing| format!("{sharing:?}") == name)
}

fn main() -> ExitCode {
    let (mut files, mut seed, mut defect) = (Vec::new(), 1, None);
    let mut sharing = Sharing::Loans;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--seed" => match args.next().and_then(|seed| seed.parse().ok()) {
                Some(given) => seed = given,
                None => return usage_error("--seed requires a number"),
            },
            "--plant" => match args.next().and_then(|name| defect_by_name(&name)) {
                Some(given) => defect = Some(given),
                None => return usage_error("--plant requires one of the names in injected_defects.rs"),
            },
            "--sharing" => match args.next().and_then(|name| sharing_by_name(&name)) {
                Some(given) => sharing = given,
                None => return usage_error("--sharing requires Loans, Fixed, Alone or AllSeeing"),
            },
            _ => files.push(arg),
        }
    }
    if files.is_empty() {
        return usage_error("play FILE... [--seed N] [--plant NAME] [--sharing NAME]");
    }
    let mut all_hold = true;
    for file in files {
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => return usage_error(&format!("{file}: {error}")),
        };
        match play_sharing(&text, seed, defect, sharing) {
            Ok(report) => {
                all_hold &= report.holds();
                println!("{report}");
            }
            Err(error) => return usage_error(&format!("{file}: {error}")),
        }
    }
    if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(2)
}
