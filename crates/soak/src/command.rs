//! `tindock soak`: the command line and its execution.

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
use tindock_mock_services::demo;
use tokio::signal::unix::{signal, SignalKind};

/// The most scenarios that `--shrink` plays.
const MAX_SHRINK: usize = 30;

/// The result of a soak, for the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Passed,
    Failed,
}

/// What is left to print, and the verdict.
#[derive(Debug)]
pub struct SoakResult {
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
        .about("Run the whole system under overlapping signals, restarts and changes, and check the rules")
        .after_help(
            "Starts the deployment on this machine, over loopback, with mock services for the platform, its \
             workers, the operator and clients; all processes end with it. Exit code 0: no rule was broken; \
             1: a rule was broken; 2: the scenario could not be played.",
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the scenario, the load and the mock services"),
        )
        .arg(number("seeds", "1", "Number of seeds to play, one after the other, starting with --seed"))
        .arg(number("seconds", "30", "How long the load lasts"))
        .arg(number("proxies", "6", "Machines with a proxy and an agent; rounded up to a multiple of 3"))
        .arg(number("controllers", "3", "Machines with a controller"))
        .arg(number("clients", "24", "Users; each sends about 4 requests a second"))
        .arg(file("program", "Run the processes of this tindock, such as an older one, not of this one"))
        .arg(file("scenario", "Play this scenario (TOML) instead of a generated one"))
        .arg(file("save", "Write the scenario that was played into this file"))
        .arg(file("report", "Write an HTML page with the gauges and timelines"))
        .arg(file("events", "Write all attempts, signals and exits, one JSON object a line"))
        .arg(
            Arg::new("worst")
                .long("worst")
                .value_name("GAUGE")
                .value_parser(NAMES)
                .help("Print at the end which seed had the greatest value of this gauge"),
        )
        .arg(Arg::new("shrink").long("shrink").action(ArgAction::SetTrue).help(
            "If a rule is broken, find the smallest scenario that breaks one, and write it with --save",
        ))
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<SoakResult, Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Fault::Runtime)?.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Fault::Runtime)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(Fault::Runtime)?;
        tokio::select! {
            result = soak(matches) => result,
            // All processes end when the deployment is dropped.
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

/// The scenarios that the command line selects.
fn scenarios(matches: &ArgMatches) -> Result<Vec<Scenario>, Fault> {
    if let Some(path) = matches.get_one::<PathBuf>("scenario") {
        let text = std::fs::read_to_string(path).map_err(|why| Fault::File(path.clone(), why))?;
        let wrong = |why: crate::scenario::Fault| Fault::Scenario(path.clone(), why.to_string());
        return Ok(vec![Scenario::read(&text).map_err(wrong)?]);
    }
    let first = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seeds = first..first.saturating_add(count(matches, "seeds") as u64);
    let generated: Vec<Scenario> = seeds.map(|seed| generate::scenario(seed, size(matches))).collect();
    for scenario in &generated {
        let wrong = |why: crate::scenario::Fault| Fault::Scenario("the command line".into(), why.to_string());
        scenario.check().map_err(wrong)?;
    }
    Ok(generated)
}

/// The program whose processes are run.
fn program(matches: &ArgMatches) -> Result<PathBuf, Fault> {
    match matches.get_one::<PathBuf>("program") {
        Some(program) => Ok(program.clone()),
        None => std::env::current_exe().map_err(Fault::Program),
    }
}

async fn play_scenario(program: &Path, scenario: &Scenario) -> Result<Record, Fault> {
    play(program.to_path_buf(), scenario).await.map_err(Fault::Deployment)
}

fn write(path: Option<&PathBuf>, text: impl FnOnce() -> String) -> Result<(), Fault> {
    let Some(path) = path else { return Ok(()) };
    std::fs::write(path, text()).map_err(|why| Fault::File(path.clone(), why))
}

async fn soak(matches: &ArgMatches) -> Result<SoakResult, Fault> {
    let path = |name: &str| matches.get_one::<PathBuf>(name);
    let program = program(matches)?;
    let worst = matches.get_one::<String>("worst");
    let mut greatest: Option<(f64, u64)> = None;
    let (mut text, mut verdict) = (String::new(), Verdict::Passed);
    for scenario in scenarios(matches)? {
        let record = play_scenario(&program, &scenario).await?;
        let violations = find_violations(&scenario, &record);
        let outcome = Report { scenario: &scenario, record: &record, violations: &violations };
        println!("{}", outcome.text());
        write(path("report"), || outcome.html())?;
        write(path("events"), || outcome.events())?;
        write(path("save"), || scenario.write())?;
        let gauge = gauges(&record).into_iter().find(|gauge| Some(gauge.name) == worst.map(String::as_str));
        if let Some(gauge) = gauge.filter(|gauge| greatest.is_none_or(|(value, _)| gauge.value > value)) {
            greatest = Some((gauge.value, scenario.seed));
        }
        if !violations.is_empty() {
            verdict = Verdict::Failed;
            if matches.get_flag("shrink") {
                text += &shrink(&program, scenario, path("save").map(PathBuf::as_path)).await?;
            }
            // The files keep the first soak that broke a rule.
            break;
        }
    }
    if let (Some(name), Some((value, seed))) = (worst, greatest) {
        text += &format!("the greatest {name}: {value:.2}, seed {seed}\n");
    }
    Ok(SoakResult { text, verdict })
}

/// Searches for the smallest scenario that still breaks a rule.
async fn shrink(program: &Path, scenario: Scenario, save: Option<&Path>) -> Result<String, Fault> {
    let mut shrink = Shrink::new(scenario, MAX_SHRINK);
    while let Some(candidate) = shrink.candidate() {
        let record = play_scenario(program, &candidate).await?;
        let failed = !find_violations(&candidate, &record).is_empty();
        shrink.record_result(candidate, failed);
    }
    let smallest = shrink.smallest();
    if let Some(path) = save {
        std::fs::write(path, smallest.write()).map_err(|why| Fault::File(path.to_path_buf(), why))?;
    }
    Ok(format!("the smallest that broke a rule: {} actions\n{}", smallest.actions.len(), smallest.write()))
}
