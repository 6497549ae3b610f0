//! The command line and the commands that do not serve.

use crate::accord::commands::PolicyCommand;
use crate::list::inventory_files;
use crate::list::inventory_watch::accept_file;
use crate::operators::calls;
use crate::rollout::RolloutCommand;
use crate::scheduler_config::{self, open, InventorySettings, Layers, Problem, ShownValue};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tindock_inventory::{diff, write, Change, Columns, Inventory, OutputFormat};

/// A dispatcher beside each submitter: takes tasks from clients and pushes them to workers.
#[derive(Debug, Parser)]
#[command(name = "tindock", version, about, disable_help_subcommand = true)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve, until SIGTERM. Without FILE the configuration is the one that GW_CONFIG names
    Run {
        file: Option<PathBuf>,
        #[command(flatten)]
        overrides: Overrides,
        /// How the log is written; overrides the configuration
        #[arg(long, value_name = "FORM")]
        log_format: Option<LogFormat>,
        /// The lowest level that is logged; overrides the configuration
        #[arg(long, value_name = "LEVEL")]
        log_level: Option<LogLevel>,
    },
    /// Read a configuration and its inventory, and report every problem
    Check {
        file: PathBuf,
        #[command(flatten)]
        overrides: Overrides,
    },
    /// Show the configuration in force, each value with where it came from
    Show {
        file: PathBuf,
        #[command(flatten)]
        overrides: Overrides,
    },
    /// Read, compare and write inventories
    #[command(subcommand)]
    Inventory(Inventories),
    /// Change the settings of many schedulers in stages, stopped and undone when a stage does worse
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Change a policy that is applied by all schedulers of a group or by none
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// Supervise the schedulers of this machine: start and restart them, and run a new program beside the old
    /// one
    Keep {
        file: PathBuf,
        /// How the log is written
        #[arg(long, value_name = "FORM", default_value = "text")]
        log_format: LogFormat,
    },
    /// Query a scheduler at its operators' address: readyz, telemetry, exclude ID, include ID, version
    Manage {
        /// The address; defaults to $GW_MGMT or the configuration's
        #[arg(long, value_name = "ADDRESS:PORT")]
        at: Option<SocketAddr>,
        /// A configuration that names the address
        #[arg(long, conflicts_with = "at")]
        config: Option<PathBuf>,
        /// The words of the call, sent as one line
        #[arg(required = true)]
        call: Vec<String>,
    },
    /// Write completions for a shell to standard output
    Completions { shell: clap_complete::Shell },
}

/// Time limit for an answer to an operator; answers are due within one second.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Finds the operators' address: from the argument, a configuration or the environment.
pub fn management(at: Option<SocketAddr>, config: Option<&Path>) -> Result<SocketAddr, Vec<String>> {
    let from_config = |config: &Path| {
        let (configuration, _) = open(config, &Overrides::default().layers())?;
        configuration.management.ok_or_else(|| vec![format!("{}: no operators' address", config.display())])
    };
    match (at, config, std::env::var("GW_MGMT").ok()) {
        (Some(at), ..) => Ok(at),
        (None, Some(config), _) => from_config(config),
        (None, None, Some(at)) => at.parse().map_err(|_| vec![format!("GW_MGMT {at:?} is no address")]),
        (None, None, None) => Err(vec!["no address: --at, --config or GW_MGMT was expected".into()]),
    }
}

/// Sends a call to a scheduler; returns its answer, or the error that it reports.
pub fn manage(at: Option<SocketAddr>, config: Option<&Path>, call: &[String]) -> Result<String, Vec<String>> {
    let at = management(at, config)?;
    let answer =
        calls::request(at, &call.join(" "), ANSWER_TIMEOUT).map_err(|e| vec![format!("{at}: {e}")])?;
    match calls::parse_answer(&answer) {
        Ok(_) => Ok(answer),
        Err(_) if answer.is_empty() => Err(vec![format!("{at}: closed without an answer")]),
        Err(_) => Err(vec![answer.trim_end().into()]),
    }
}

/// Values that override the file and the TINDOCK_... variables.
#[derive(Debug, Default, Args)]
pub struct Overrides {
    /// A value that overrides the file's, as --set limits.sockets=2048
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = pair)]
    set: Vec<(String, String)>,
}

#[derive(Debug, Subcommand)]
pub enum Inventories {
    /// Read files or folders as one inventory, and report every problem
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A configuration whose [inventory] names the columns
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// What changes from one inventory to another
    Diff {
        old: PathBuf,
        new: PathBuf,
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Write files or folders as one inventory
    Show {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(long)]
        config: Option<PathBuf>,
        #[arg(long, default_value = "csv")]
        format: Format,
    },
    /// Accept an inventory that a running scheduler holds back, as it is now
    Accept {
        /// The configuration of the running scheduler
        config: PathBuf,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Format {
    Csv,
    Yaml,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    Error,
    Warning,
    Info,
    Debug,
}

fn pair(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or("KEY=VALUE was expected")?;
    Ok((key.trim().into(), value.trim().into()))
}

impl Overrides {
    pub fn layers(&self) -> Layers {
        let (variables, flags) =
            (scheduler_config::installation::variables(), self.set.iter().cloned().collect());
        Layers { variables, flags }
    }
}

/// The output of a command: text for standard output, or lines for standard error.
pub type CommandResult = Result<String, Vec<String>>;

fn lines(problems: Vec<Problem>) -> Vec<String> {
    problems.iter().map(Problem::to_string).collect()
}

fn read_inventory(settings: &InventorySettings) -> Result<Inventory, Vec<String>> {
    let read = || {
        let versions = inventory_files::scan(&settings.files)?;
        let inventory = inventory_files::read_all(&versions, &settings.columns, &settings.fixed)?;
        inventory_files::resolve(&inventory)?;
        Ok(inventory)
    };
    read().map_err(lines)
}

pub fn check(file: &Path, overrides: &Overrides) -> CommandResult {
    let (configuration, _) = open(file, &overrides.layers())?;
    let workers = match &configuration.inventory {
        Some(settings) => format!(", {} workers in its inventory", read_inventory(settings)?.entries.len()),
        None => String::new(),
    };
    let workloads = configuration.names.workloads.len();
    Ok(format!("{}: fine, {workloads} workloads{workers}\n", file.display()))
}

pub fn show(file: &Path, overrides: &Overrides) -> CommandResult {
    let (_, shown) = open(file, &overrides.layers())?;
    let width = shown.iter().map(|s| s.path.len() + s.value.len()).max().unwrap_or(0) + 3;
    let line = |s: &ShownValue| {
        let text = format!("{} = {}", s.path, s.value);
        format!("{text:width$}  # {}\n", s.source)
    };
    Ok(shown.iter().map(line).collect())
}

/// Reads the files of one inventory with the columns that the configuration names.
fn inventory(files: &[PathBuf], config: Option<&Path>) -> Result<Inventory, Vec<String>> {
    let columns = match config {
        None => Columns::default(),
        Some(config) => {
            let (configuration, _) = open(config, &Overrides::default().layers())?;
            configuration.inventory.map(|settings| settings.columns).unwrap_or_default()
        }
    };
    let read = || inventory_files::read_all(&inventory_files::scan(files)?, &columns, &[]);
    read().map_err(lines)
}

pub fn inventories(command: &Inventories) -> CommandResult {
    match command {
        Inventories::Check { files, config } => {
            let found = inventory(files, config.as_deref())?;
            Ok(format!("fine, {} workers ({:016x})\n", found.entries.len(), found.digest()))
        }
        Inventories::Diff { old, new, config } => {
            let one = |path: &PathBuf| inventory(std::slice::from_ref(path), config.as_deref());
            let changes = diff(&one(old)?, &one(new)?);
            Ok(changes.iter().map(changed).collect())
        }
        Inventories::Show { files, config, format } => {
            let form = match format {
                Format::Csv => OutputFormat::Csv,
                Format::Yaml => OutputFormat::Yaml,
                Format::Json => OutputFormat::Json,
            };
            Ok(write(&inventory(files, config.as_deref())?, form))
        }
        Inventories::Accept { config } => {
            let (configuration, _) = open(config, &Overrides::default().layers())?;
            let name = config.display();
            let settings =
                configuration.inventory.ok_or_else(|| vec![format!("{name}: has no [inventory]")])?;
            let found = read_inventory(&settings)?;
            let folder = config.parent().unwrap_or(Path::new(""));
            let (file, digest) = (accept_file(folder), format!("{:016x}", found.digest()));
            std::fs::write(&file, format!("{digest}\n"))
                .map_err(|e| vec![format!("{}: {e}", file.display())])?;
            Ok(format!("accepted: {} workers ({digest})\n", found.entries.len()))
        }
    }
}

fn changed(change: &Change) -> String {
    match change {
        Change::Added(e) => {
            format!("+ {} at {} ({}, {}, {} slots)\n", e.name, e.address, e.zone, e.kind, e.slots)
        }
        Change::Removed(e) => format!("- {} at {}\n", e.name, e.address),
        Change::State { name, to } => format!("~ {name} is {}\n", to.as_str()),
        Change::Changed { from, to } => {
            let text = |e: &tindock_inventory::Entry| {
                format!("{} ({}, {}, {} slots, group {})", e.address, e.zone, e.kind, e.slots, e.group)
            };
            format!("~ {} from {} to {}\n", to.name, text(from), text(to))
        }
    }
}
