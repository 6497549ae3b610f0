//! The options, and what each command does.

use crate::error::Error;
use crate::kinds::{KindList, DEFAULT_LIST};
use crate::play::{day_files, Play};
use crate::sets::{days, Set, Source};
use crate::site::Site;
use crate::summary;
use crate::write::write_days;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use std::path::PathBuf;
use std::time::Duration;

const MOST_JOBS: u64 = 64;
const MOST_DAYS: u64 = 2000;
const MOST_SECONDS: u64 = 3600;

/// The command line.
pub fn command() -> Command {
    Command::new("tindock-fault-matrix")
        .about("Draw days of faults for the users' bench from a seed, play them, and sum up what broke")
        .after_help("Exit code: 0 all days kept, 1 the tool failed, 2 wrong options, 3 a day broke.")
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
        .about("Write the day files of a set")
        .arg(path("SITE", "The site file of the deployment"))
        .arg(path("FOLDER", "Where the day files go"))
        .arg(Arg::new("set").long("set").required(true).value_parser(sets).help("Which days"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The same seed writes the same files"),
        )
        .arg(
            Arg::new("days")
                .long("days")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=MOST_DAYS))
                .help("At most so many"),
        )
        .arg(
            Arg::new("kinds")
                .long("kinds")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("A list of kinds to draw from (the form: kinds.toml of this crate)"),
        )
}

fn play_command() -> Command {
    Command::new("play")
        .about("Play day files on the bench and keep each day, report and output")
        .arg(path("SITE", "The site file of the deployment"))
        .arg(paths("DAY", "Day files, or folders of them"))
        .arg(option_path("bench", "The bench's program"))
        .arg(option_path("results", "Where results are kept"))
        .arg(Arg::new("why").long("why").value_name("TEXT").required(true).help("For the bench's journal"))
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..=MOST_JOBS))
                .help("Runs side by side, a processor each"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("SECONDS")
                .default_value("600")
                .value_parser(value_parser!(u64).range(1..=MOST_SECONDS))
                .help("End a run that takes longer"),
        )
        .arg(
            Arg::new("no-cpu")
                .long("no-cpu")
                .action(ArgAction::SetTrue)
                .help("Charge no processor time, so that a run mostly repeats"),
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

/// Does what the command line asks; whether all days that were played were kept.
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
    let most = matches.get_one::<u64>("days").map(|days| *days as usize);
    let written = days(&Source { kinds: &kinds, site: &site, seed }, set, most);
    let files = write_days(&written, one_path(matches, "FOLDER")?)?;
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
    let play = Play {
        bench: one_path(matches, "bench")?.clone(),
        site: one_path(matches, "SITE")?.clone(),
        results: one_path(matches, "results")?.clone(),
        jobs: number("jobs", 1) as usize,
        limit: Duration::from_secs(number("limit", MOST_SECONDS)),
        no_cpu: matches.get_flag("no-cpu"),
        why: matches.get_one::<String>("why").cloned().unwrap_or_default(),
    };
    let played = play.all(&day_files(&many_paths(matches, "DAY"))?, |played| {
        let gauges = played.gauges.map(|gauges| format!("; {gauges}")).unwrap_or_default();
        println!("{:<40} {}{gauges}", played.name, played.verdict);
    })?;
    let bad = played.iter().filter(|played| played.verdict.is_bad()).count();
    let missing = played.iter().filter(|played| !played.verdict.was_played()).count();
    println!("{} days: {bad} broke, {missing} not played", played.len());
    Ok(bad == 0 && missing == 0)
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
