//! The commands of the system's programs, which the scheduler's command line includes.

use crate::settings::Settings;
use crate::{agent, controller, proxy, rebinding, run_on_one_thread, slot_report, status};
use clap::{Arg, ArgMatches, Command};
use std::path::Path;
use tindock_configuration::Catalogue;

/// Whether this is the name of one of these commands.
pub fn is_system_command(name: &str) -> bool {
    commands().iter().any(|command| command.get_name() == name)
}

/// The least level that a program writes to its log at once; other records stay in the ring.
fn log_level_arg() -> Arg {
    Arg::new("log-level")
        .long("log-level")
        .value_name("LEVEL")
        .value_parser(["error", "warn", "info", "debug"])
        .default_value("warn")
        .help("The least level that is written at once; other records stay in a ring until an error occurs")
}

fn log_level(matches: &ArgMatches) -> spdlog::Level {
    match matches.get_one::<String>("log-level").map(String::as_str) {
        Some("error") => spdlog::Level::Error,
        Some("info") => spdlog::Level::Info,
        Some("debug") => spdlog::Level::Debug,
        _ => spdlog::Level::Warn,
    }
}

pub fn commands() -> Vec<Command> {
    let settings_help = "Settings come from the TOML file that TINDOCK_BOOT names";
    vec![
        Command::new("desk")
            .arg(log_level_arg())
            .about("Serve clients on an edge machine: requests in, workers' answers out")
            .after_help(settings_help),
        Command::new("page")
            .arg(log_level_arg())
            .about("Run the agent beside a proxy: the link to the control plane")
            .after_help(settings_help),
        Command::new("archive")
            .arg(log_level_arg())
            .about("Run a controller of the control plane on a core machine with a disk")
            .after_help(settings_help),
        Command::new("check-boot")
            .about("Check a settings file (TINDOCK_BOOT) and print what is wrong with it")
            .arg(Arg::new("FILE").required(true)),
        Command::new("check-configuration")
            .about("Check an operator's configuration (JSON) and print what is wrong with it, and where")
            .arg(Arg::new("FILE").required(true)),
        slot_report::command(),
        rebinding::command(),
        status::command(),
    ]
}

/// Runs one of these commands. Returns its output, or one line with the error.
pub fn run(name: &str, matches: &ArgMatches) -> Result<String, String> {
    let file = || matches.get_one::<String>("FILE").cloned().unwrap_or_default();
    match name {
        "desk" => run_on_one_thread(log_level(matches), proxy::run).map(|()| String::new()),
        "page" => run_on_one_thread(log_level(matches), agent::run).map(|()| String::new()),
        "archive" => run_on_one_thread(log_level(matches), controller::run).map(|()| String::new()),
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
