//! The commands of the whole system, built for clap by hand and hung beside those of the scheduler.

use crate::settings::Settings;
use crate::{agent, controller, on_one_thread, proxy, rebinding, slot_report, status};
use clap::{Arg, ArgMatches, Command};
use std::path::Path;
use tindock_catalogue::Catalogue;

/// Whether a first word is one of these commands.
pub fn is_system_command(word: &str) -> bool {
    commands().iter().any(|command| command.get_name() == word)
}

/// What a program writes to its log at once; the rest stays in the ring.
fn level() -> Arg {
    Arg::new("log-level")
        .long("log-level")
        .value_name("LEVEL")
        .value_parser(["error", "warn", "info", "debug"])
        .default_value("warn")
        .help("The least that is written at once; the rest is kept in a ring until something goes wrong")
}

fn least(matches: &ArgMatches) -> spdlog::Level {
    match matches.get_one::<String>("log-level").map(String::as_str) {
        Some("error") => spdlog::Level::Error,
        Some("info") => spdlog::Level::Info,
        Some("debug") => spdlog::Level::Debug,
        _ => spdlog::Level::Warn,
    }
}

pub fn commands() -> Vec<Command> {
    let told = "Settings come from the TOML file that TINDOCK_BOOT names";
    vec![
        Command::new("desk")
            .arg(level())
            .about("Serve clients on an edge machine: requests in, workers' answers out")
            .after_help(told),
        Command::new("page")
            .arg(level())
            .about("Run the agent beside a desk: the link to the control plane")
            .after_help(told),
        Command::new("archive")
            .arg(level())
            .about("Run the control plane's part on a core machine with a disk")
            .after_help(told),
        Command::new("check-boot")
            .about("Read a settings file (TINDOCK_BOOT) and tell what is wrong with it")
            .arg(Arg::new("FILE").required(true)),
        Command::new("check-configuration")
            .about("Read an operator's configuration (JSON) and tell what is wrong with it, and where")
            .arg(Arg::new("FILE").required(true)),
        slot_report::command(),
        rebinding::command(),
        status::command(),
    ]
}

/// Runs one of these commands: what it prints, or one line for what went wrong.
pub fn run(name: &str, matches: &ArgMatches) -> Result<String, String> {
    let file = || matches.get_one::<String>("FILE").cloned().unwrap_or_default();
    match name {
        "desk" => on_one_thread(least(matches), proxy::run).map(|()| String::new()),
        "page" => on_one_thread(least(matches), agent::run).map(|()| String::new()),
        "archive" => on_one_thread(least(matches), controller::run).map(|()| String::new()),
        "check-boot" => {
            let settings = Settings::from_file(Path::new(&file())).map_err(|fault| fault.to_string())?;
            Ok(format!("{}: {} in {}, fine\n", file(), settings.node_name, settings.zone))
        }
        "check-configuration" => {
            let text = std::fs::read(file()).map_err(|why| format!("{}: {why}", file()))?;
            let read = Catalogue::read(&text).map_err(|fault| format!("{}: {fault}", file()))?;
            let (routes, services) = (read.routes.len(), read.services.len());
            Ok(format!(
                "{}: revision {}, {routes} routes, {services} services, fine\n",
                file(),
                read.revision
            ))
        }
        "loans" => slot_report::run(matches),
        "rebinding" => rebinding::run(matches),
        "status" => status::run(matches),
        other => Err(format!("{other}: no such command")),
    }
}
