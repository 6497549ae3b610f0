//! The options, and what each command does.

use crate::error::Error;
use crate::kinds::{KindList, DEFAULT_LIST};
use crate::runner::{scenario_files, Runner};
use crate::sets::{scenarios, Set, Source};
use crate::site::Site;
use crate::summary;
use crate::write::write_scenarios;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use std::path::PathBuf;
use std::time::Duration;

const MAX_JOBS: u64 = 64;
const MAX_SCENARIOS: u64 = 2000;
const MAX_SECONDS: u64 = 3600;

/// The command line.
pub fn command() -> Command {
    Command::new("tindock-fault-matrix")
        .about("Generate fault scenarios for the users' test bench from a seed, run them, summarise failures")
        .after_help("Exit code: 0 all days kept, 1 the tool failed, 2 invalid options, 3 a scenario failed.")
        .subcommand_required(true)
        .subcommand(write_command())
        .subcommand(play_command())
        .subcommand(
            Command::new("summarise")
                .about("Print a table of kinds and deployments for folders of results, in Markdown")
                .arg(paths("RESULTS", "Folders that `play --results` wrote")),
        )
}

fn write_command() -> Command {
    let sets = Set::ALL.map(Set::name);
    Command::new("write")
        .about("Write the scenario files of a set")
        .arg(path("SITE", "The site file of the deployment"))
        .arg(path("FOLDER", "Folder for the scenario files"))
        .arg(Arg::new("set").long("set").required(true).value_parser(sets).help("The set of scenarios"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Equal seeds write equal files"),
        )
        .arg(
            Arg::new("days")
                .long("days")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=MAX_SCENARIOS))
                .help("Maximum number of scenarios"),
        )
        .arg(
            Arg::new("kinds").long("kinds").value_name("FILE").value_parser(value_parser!(PathBuf)).help(
                "A list of kinds to use instead of the built-in one (format: kinds.toml of this crate)",
            ),
        )
}

fn play_command() -> Command {
    Command::new("play")
        .about("Run scenario files on the bench and store each scenario, report and output")
        .arg(path("SITE", "The site file of the deployment"))
        .arg(paths("DAY", "Scenario files, or folders of them"))
        .arg(option_path("bench", "Path of the bench's executable"))
        .arg(option_path("results", "Folder for the results"))
        .arg(
            Arg::new("why")
                .long("why")
                .value_name("TEXT")
                .required(true)
                .help("Reason of the run, for the bench's journal"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..=MAX_JOBS))
                .help("Number of parallel runs, each with a processor"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("SECONDS")
                .default_value("600")
                .value_parser(value_parser!(u64).range(1..=MAX_SECONDS))
                .help("Kill a run that takes longer"),
        )
        .arg(
            Arg::new("no-cpu")
                .long("no-cpu")
                .action(ArgAction::SetTrue)
                .help("Charge no processor time, so that runs are mostly reproducible"),
        )
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
}

fn paths(name: &'static str, help: &'static str) -> Arg {
    path(name, help).num_args(1..)
}

fn option_path(name: &'static str, help: &'static str) -> Arg {
    path(name, help).long(name).value_name("PATH")
}

/// Runs the chosen command; false if a scenario failed or could not be run.
pub fn run(matches: &ArgMatches) -> Result<bool, Error> {
    match matches.subcommand() {
        Some(("write", matches)) => write(matches),
        Some(("play", matches)) => play(matches),
        Some(("summarise", matches)) => summarise(matches),
        _ => Err(Error::Option("no command".into())),
    }
}

fn write(matches: &ArgMatches) -> Result<bool, Error> {
    let site = Site::read(one_path(matches, "SITE")?)?;
    let kinds = read_kinds(matches.get_one("kinds"))?;
    let set = matches.get_one::<String>("set").and_then(|name| Set::named(name));
    let set = set.ok_or_else(|| Error::Option("no such set".into()))?;
    let seed = matches.get_one("seed").copied().unwrap_or(1);
    let max = matches.get_one::<u64>("days").map(|count| *count as usize);
    let written = scenarios(&Source { kinds: &kinds, site: &site, seed }, set, max);
    let files = write_scenarios(&written, one_path(matches, "FOLDER")?)?;
    println!("{} days for {}", files.len(), site.name);
    Ok(true)
}

fn read_kinds(path: Option<&PathBuf>) -> Result<KindList, Error> {
    let Some(path) = path else { return KindList::parse(DEFAULT_LIST, "kinds.toml") };
    let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
    KindList::parse(&text, &path.display().to_string())
}

fn play(matches: &ArgMatches) -> Result<bool, Error> {
    let number = |name: &str, otherwise: u64| matches.get_one(name).copied().unwrap_or(otherwise);
    let runner = Runner {
        bench: one_path(matches, "bench")?.clone(),
        site: one_path(matches, "SITE")?.clone(),
        results: one_path(matches, "results")?.clone(),
        jobs: number("jobs", 1) as usize,
        limit: Duration::from_secs(number("limit", MAX_SECONDS)),
        no_cpu: matches.get_flag("no-cpu"),
        why: matches.get_one::<String>("why").cloned().unwrap_or_default(),
    };
    let outcomes = runner.run_all(&scenario_files(&many_paths(matches, "DAY"))?, |outcome| {
        let margins = outcome.margins.map(|margins| format!("; {margins}")).unwrap_or_default();
        println!("{:<40} {}{margins}", outcome.name, outcome.verdict);
    })?;
    let failed = outcomes.iter().filter(|outcome| outcome.verdict.is_failure()).count();
    let missing = outcomes.iter().filter(|outcome| !outcome.verdict.was_run()).count();
    println!("{} days: {failed} broke, {missing} not played", outcomes.len());
    Ok(failed == 0 && missing == 0)
}

fn summarise(matches: &ArgMatches) -> Result<bool, Error> {
    let mut runs = Vec::new();
    for results in many_paths(matches, "RESULTS") {
        runs.extend(summary::read_results(&results)?);
    }
    print!("{}", summary::markdown(&runs));
    Ok(true)
}

fn one_path<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a PathBuf, Error> {
    matches.get_one(name).ok_or_else(|| Error::Option(format!("{name} is missing")))
}

fn many_paths(matches: &ArgMatches, name: &str) -> Vec<PathBuf> {
    matches.get_many::<PathBuf>(name).map(|paths| paths.cloned().collect()).unwrap_or_default()
}
