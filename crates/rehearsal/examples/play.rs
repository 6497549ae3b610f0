//! Plays one scenario and prints what came of it: `play FILE [--seed N] [--plant NAME] [--sharing NAME]`.

use std::process::ExitCode;
use tindock_rehearsal::{play_sharing, Planted, Sharing};

fn planted(name: &str) -> Option<Planted> {
    Planted::ALL.into_iter().find(|planted| format!("{planted:?}") == name)
}

fn sharing(name: &str) -> Option<Sharing> {
    Sharing::ALL.into_iter().find(|sharing| format!("{sharing:?}") == name)
}

fn main() -> ExitCode {
    let (mut files, mut seed, mut plant) = (Vec::new(), 1, None);
    let mut shared = Sharing::Loans;
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--seed" => match words.next().and_then(|seed| seed.parse().ok()) {
                Some(given) => seed = given,
                None => return wrong("--seed wants a number"),
            },
            "--plant" => match words.next().and_then(|name| planted(&name)) {
                Some(given) => plant = Some(given),
                None => return wrong("--plant wants one of the names in planted.rs"),
            },
            "--sharing" => match words.next().and_then(|name| sharing(&name)) {
                Some(given) => shared = given,
                None => return wrong("--sharing wants Loans, Fixed, Alone or AllSeeing"),
            },
            _ => files.push(word),
        }
    }
    if files.is_empty() {
        return wrong("play FILE... [--seed N] [--plant NAME] [--sharing NAME]");
    }
    let mut well = true;
    for file in files {
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(why) => return wrong(&format!("{file}: {why}")),
        };
        match play_sharing(&text, seed, plant, shared) {
            Ok(report) => {
                well &= report.holds();
                println!("{report}");
            }
            Err(fault) => return wrong(&format!("{file}: {fault}")),
        }
    }
    if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn wrong(what: &str) -> ExitCode {
    eprintln!("{what}");
    ExitCode::from(2)
}
