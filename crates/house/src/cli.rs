//! The commands of the whole system, built for clap by hand and hung beside those of the scheduler.

use crate::settings::Settings;
use crate::{archive, desk, on_one_thread, page};
use clap::{Arg, ArgMatches, Command};
use std::path::Path;
use tindock_catalogue::Catalogue;

/// Whether a first word is one of these commands.
pub fn is_ours(word: &str) -> bool {
    commands().iter().any(|command| command.get_name() == word)
}

pub fn commands() -> Vec<Command> {
    let told = "Settings come from the TOML file that TINDOCK_BOOT names";
    vec![
        Command::new("desk")
            .about("Serve clients on an edge machine: requests in, workers' answers out")
            .after_help(told),
        Command::new("page")
            .about("Run the agent beside a desk: the link to the control plane")
            .after_help(told),
        Command::new("archive")
            .about("Run the control plane's part on a core machine with a disk")
            .after_help(told),
        Command::new("check-boot")
            .about("Read a settings file (TINDOCK_BOOT) and tell what is wrong with it")
            .arg(Arg::new("FILE").required(true)),
        Command::new("check-configuration")
            .about("Read an operator's configuration (JSON) and tell what is wrong with it, and where")
            .arg(Arg::new("FILE").required(true)),
    ]
}

/// Runs one of these commands: what it prints, or one line for what went wrong.
pub fn run(name: &str, matches: &ArgMatches) -> Result<String, String> {
    let file = || matches.get_one::<String>("FILE").cloned().unwrap_or_default();
    match name {
        "desk" => on_one_thread(desk::run).map(|()| String::new()),
        "page" => on_one_thread(page::run).map(|()| String::new()),
        "archive" => on_one_thread(archive::run).map(|()| String::new()),
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
        other => Err(format!("{other}: no such command")),
    }
}
