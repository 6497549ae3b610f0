//! `tindock soak`: the command line, and what it does.

use crate::gauges::{gauges, NAMES};
use crate::generate::{self, Size};
use crate::play::play;
use crate::record::Record;
use crate::report::Report;
use crate::rules::find_violations;
use crate::scenario::Scenario;
use crate::shrink::Shrink;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use std::fmt;
use std::path::{Path, PathBuf};
use tindock_standins::demo;
use tokio::signal::unix::{signal, SignalKind};

/// Further scenarios that a search for the least one plays.
const MAX_SHRINK: usize = 30;

/// What a soak came to, for the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Passed,
    Failed,
}

/// A soak's text, and its verdict.
#[derive(Debug)]
pub struct Played {
    pub text: String,
    pub verdict: Verdict,
}

/// Why there is no verdict.
#[derive(Debug)]
pub enum Fault {
    Scenario(PathBuf, String),
    File(PathBuf, std::io::Error),
    Program(std::io::Error),
    Runtime(std::io::Error),
    Deployment(demo::Fault),
    Interrupted,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Scenario(path, why) => write!(f, "{}: {why}", path.display()),
            Fault::File(path, why) => write!(f, "{}: {why}", path.display()),
            Fault::Program(why) => write!(f, "the path of this program: {why}"),
            Fault::Runtime(why) => write!(f, "no runtime: {why}"),
            Fault::Deployment(why) => write!(f, "{why}"),
            Fault::Interrupted => f.write_str("interrupted"),
        }
    }
}

/// The command line.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = value_parser!(u64).range(1..=500);
        Arg::new(name).long(name).value_name("N").default_value(default).value_parser(parser).help(help)
    };
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("soak")
        .about("Play signals, restarts and changes that overlap on the whole system as real processes, and judge it")
        .after_help(
            "Starts the deployment on this machine, over loopback, with stand-ins for the platform, its workers, the \
             operator and clients; all that it starts ends with it. Exit code 0: all rules were kept; 1: one was broken; \
             2: it could not be played.",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Draws the scenario, the load and the stand-ins' chance"),
        )
        .arg(number("seeds", "1", "Play so many seeds, one after the other, from --seed on"))
        .arg(number("seconds", "30", "How long the load lasts"))
        .arg(number("proxies", "6", "Machines with a proxy and an agent; rounded up to a multiple of 3"))
        .arg(number("controllers", "3", "Machines with a controller"))
        .arg(number("clients", "24", "Users; each sends some 4 requests a second"))
        .arg(file("program", "Play the roles of this tindock, such as an older one, in place of this one's"))
        .arg(file("scenario", "Play this scenario (TOML) in place of a drawn one"))
        .arg(file("save", "Write the scenario that was played into this file"))
        .arg(file("report", "Write a page (HTML) with the gauges and timelines"))
        .arg(file("events", "Write all tries, signals and ends, a JSON object a line"))
        .arg(
            Arg::new("worst")
                .long("worst")
                .value_name("GAUGE")
                .value_parser(NAMES)
                .help("Tell at the end which of the seeds had the greatest value of this gauge"),
        )
        .arg(
            Arg::new("shrink")
                .long("shrink")
                .action(ArgAction::SetTrue)
                .help("Where a rule breaks, look for the least scenario that still breaks it, and write it with --save"),
        )
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<Played, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Fault::Runtime)?.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Fault::Runtime)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(Fault::Runtime)?;
        tokio::select! {
            played = soak(matches) => played,
            // What was started ends as the deployment is dropped.
            _ = interrupt.recv() => Err(Fault::Interrupted),
            _ = terminate.recv() => Err(Fault::Interrupted),
        }
    })
}

fn count(matches: &ArgMatches, name: &str) -> usize {
    matches.get_one::<u64>(name).map_or(1, |count| *count as usize)
}

fn size(matches: &ArgMatches) -> Size {
    Size {
        seconds: count(matches, "seconds") as f64,
        proxies: count(matches, "proxies"),
        controllers: count(matches, "controllers"),
        clients: count(matches, "clients"),
    }
}

/// The scenarios that are asked for.
fn scenarios(matches: &ArgMatches) -> Result<Vec<Scenario>, Fault> {
    if let Some(path) = matches.get_one::<PathBuf>("scenario") {
        let text = std::fs::read_to_string(path).map_err(|why| Fault::File(path.clone(), why))?;
        let wrong = |why: crate::scenario::Fault| Fault::Scenario(path.clone(), why.to_string());
        return Ok(vec![Scenario::read(&text).map_err(wrong)?]);
    }
    let first = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seeds = first..first.saturating_add(count(matches, "seeds") as u64);
    let drawn: Vec<Scenario> = seeds.map(|seed| generate::scenario(seed, size(matches))).collect();
    for scenario in &drawn {
        let wrong = |why: crate::scenario::Fault| Fault::Scenario("the command line".into(), why.to_string());
        scenario.check().map_err(wrong)?;
    }
    Ok(drawn)
}

/// The program whose roles are played.
fn program(matches: &ArgMatches) -> Result<PathBuf, Fault> {
    match matches.get_one::<PathBuf>("program") {
        Some(program) => Ok(program.clone()),
        None => std::env::current_exe().map_err(Fault::Program),
    }
}

async fn played(program: &Path, scenario: &Scenario) -> Result<Record, Fault> {
    play(program.to_path_buf(), scenario).await.map_err(Fault::Deployment)
}

fn write(path: Option<&PathBuf>, text: impl FnOnce() -> String) -> Result<(), Fault> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, text()).map_err(|why| Fault::File(path.clone(), why))
}

async fn soak(matches: &ArgMatches) -> Result<Played, Fault> {
    let path = |name: &str| matches.get_one::<PathBuf>(name);
    let program = program(matches)?;
    let worst = matches.get_one::<String>("worst");
    let mut greatest: Option<(f64, u64)> = None;
    let (mut text, mut verdict) = (String::new(), Verdict::Passed);
    for scenario in scenarios(matches)? {
        let record = played(&program, &scenario).await?;
        let broken = find_violations(&scenario, &record);
        let outcome = Report { scenario: &scenario, record: &record, violations: &broken };
        println!("{}", outcome.text());
        write(path("report"), || outcome.html())?;
        write(path("events"), || outcome.events())?;
        write(path("save"), || scenario.write())?;
        let gauge = gauges(&record).into_iter().find(|gauge| Some(gauge.name) == worst.map(String::as_str));
        if let Some(gauge) = gauge.filter(|gauge| greatest.is_none_or(|(value, _)| gauge.value > value)) {
            greatest = Some((gauge.value, scenario.seed));
        }
        if !broken.is_empty() {
            verdict = Verdict::Failed;
            if matches.get_flag("shrink") {
                text += &shrink(&program, scenario, path("save").map(PathBuf::as_path)).await?;
            }
            // The files hold the first soak that broke.
            break;
        }
    }
    if let (Some(name), Some((value, seed))) = (worst, greatest) {
        text += &format!("the greatest {name}: {value:.2}, seed {seed}\n");
    }
    Ok(Played { text, verdict })
}

/// The least scenario that still breaks a rule.
async fn shrink(program: &Path, scenario: Scenario, save: Option<&Path>) -> Result<String, Fault> {
    let mut shrink = Shrink::new(scenario, MAX_SHRINK);
    while let Some(candidate) = shrink.candidate() {
        let record = played(program, &candidate).await?;
        let broke = !find_violations(&candidate, &record).is_empty();
        shrink.played(candidate, broke);
    }
    let least = shrink.least();
    if let Some(path) = save {
        std::fs::write(path, least.write()).map_err(|why| Fault::File(path.to_path_buf(), why))?;
    }
    Ok(format!("the least that broke: {} actions\n{}", least.actions.len(), least.write()))
}
