//! The command line: what it takes, and the commands that end by themselves.

use crate::accord::commands::PolicyCommand;
use crate::berth::{self, open, Layers, Problem, Shown, Stock};
use crate::list::shelves;
use crate::list::stocking::accept_file;
use crate::operators::calls;
use crate::rollout::RolloutCommand;
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
        over: Over,
        /// How the log is written, over what the configuration says
        #[arg(long, value_name = "FORM")]
        log_format: Option<LogFormat>,
        /// The least that is logged, over what the configuration says
        #[arg(long, value_name = "LEVEL")]
        log_level: Option<LogLevel>,
    },
    /// Read a configuration and its inventory, and tell every problem
    Check {
        file: PathBuf,
        #[command(flatten)]
        over: Over,
    },
    /// Show the configuration in force, each value with where it came from
    Show {
        file: PathBuf,
        #[command(flatten)]
        over: Over,
    },
    /// Read, compare and write inventories
    #[command(subcommand)]
    Inventory(Inventories),
    /// Change the settings of many schedulers in stages, stopped and undone when a stage does worse
    #[command(subcommand)]
    Rollout(RolloutCommand),
    /// Change a policy that takes hold at all schedulers of a group or at none
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// Stand over the schedulers of this machine: start them, start them again, bring a new program beside the old one
    Keep {
        file: PathBuf,
        /// How the log is written
        #[arg(long, value_name = "FORM", default_value = "text")]
        log_format: LogFormat,
    },
    /// Ask a scheduler at its operators' address: readyz, telemetry, exclude ID, include ID, version
    Manage {
        /// The address; without it $GW_MGMT, or what the configuration says
        #[arg(long, value_name = "ADDRESS:PORT")]
        at: Option<SocketAddr>,
        /// A configuration that says the address
        #[arg(long, conflicts_with = "at")]
        config: Option<PathBuf>,
        /// Words, as they go out in one line
        #[arg(required = true)]
        call: Vec<String>,
    },
    /// Write completions for a shell to standard output
    Completions { shell: clap_complete::Shell },
}

/// How long an answer to an operator may take; it is owed in one second.
const ANSWER: Duration = Duration::from_secs(5);

/// The operators' address that is meant.
pub fn management(at: Option<SocketAddr>, config: Option<&Path>) -> Result<SocketAddr, Vec<String>> {
    let told = |config: &Path| {
        let (berth, _) = open(config, &Over::default().layers())?;
        berth.management.ok_or_else(|| vec![format!("{}: no operators' address", config.display())])
    };
    match (at, config, std::env::var("GW_MGMT").ok()) {
        (Some(at), ..) => Ok(at),
        (None, Some(config), _) => told(config),
        (None, None, Some(at)) => at.parse().map_err(|_| vec![format!("GW_MGMT {at:?} is no address")]),
        (None, None, None) => Err(vec!["no address: --at, --config or GW_MGMT was expected".into()]),
    }
}

/// Asks a scheduler; its answer, or what it says against the call.
pub fn manage(at: Option<SocketAddr>, config: Option<&Path>, call: &[String]) -> Result<String, Vec<String>> {
    let at = management(at, config)?;
    let answer = calls::ask(at, &call.join(" "), ANSWER).map_err(|e| vec![format!("{at}: {e}")])?;
    match calls::yes(&answer) {
        Ok(_) => Ok(answer),
        Err(_) if answer.is_empty() => Err(vec![format!("{at}: closed without an answer")]),
        Err(_) => Err(vec![answer.trim_end().into()]),
    }
}

/// What is said over the file and the TINDOCK_... variables.
#[derive(Debug, Default, Args)]
pub struct Over {
    /// A value over the file's, as --set limits.sockets=2048
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = pair)]
    set: Vec<(String, String)>,
}

#[derive(Debug, Subcommand)]
pub enum Inventories {
    /// Read files or folders as one inventory, and tell every problem
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// A configuration whose [inventory] says what the tools call things
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
    /// Let through what a running scheduler holds back: the inventory as it is now
    Accept {
        /// The configuration that the scheduler runs with
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

impl Over {
    pub fn layers(&self) -> Layers {
        let (variables, flags) = (berth::installation::variables(), self.set.iter().cloned().collect());
        Layers { variables, flags }
    }
}

/// What a command that ends by itself has to say: lines for standard output, or for standard error.
pub type Said = Result<String, Vec<String>>;

fn lines(problems: Vec<Problem>) -> Vec<String> {
    problems.iter().map(Problem::to_string).collect()
}

fn stocked(stock: &Stock) -> Result<Inventory, Vec<String>> {
    let whole = || {
        let marks = shelves::look(&stock.files)?;
        let inventory = shelves::take(&marks, &stock.columns, &stock.fixed)?;
        shelves::find(&inventory)?;
        Ok(inventory)
    };
    whole().map_err(lines)
}

pub fn check(file: &Path, over: &Over) -> Said {
    let (berth, _) = open(file, &over.layers())?;
    let workers = match &berth.inventory {
        Some(stock) => format!(", {} workers in its inventory", stocked(stock)?.entries.len()),
        None => String::new(),
    };
    let workloads = berth.words.workloads.len();
    Ok(format!("{}: fine, {workloads} workloads{workers}\n", file.display()))
}

pub fn show(file: &Path, over: &Over) -> Said {
    let (_, shown) = open(file, &over.layers())?;
    let width = shown.iter().map(|s| s.path.len() + s.value.len()).max().unwrap_or(0) + 3;
    let line = |s: &Shown| {
        let says = format!("{} = {}", s.path, s.value);
        format!("{says:width$}  # {}\n", s.source)
    };
    Ok(shown.iter().map(line).collect())
}

/// Files of one inventory, as the configuration says they are to be read.
fn inventory(files: &[PathBuf], config: Option<&Path>) -> Result<Inventory, Vec<String>> {
    let columns = match config {
        None => Columns::default(),
        Some(config) => {
            let (berth, _) = open(config, &Over::default().layers())?;
            berth.inventory.map(|stock| stock.columns).unwrap_or_default()
        }
    };
    let whole = || shelves::take(&shelves::look(files)?, &columns, &[]);
    whole().map_err(lines)
}

pub fn inventories(command: &Inventories) -> Said {
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
            let (berth, _) = open(config, &Over::default().layers())?;
            let name = config.display();
            let stock = berth.inventory.ok_or_else(|| vec![format!("{name}: has no [inventory]")])?;
            let found = stocked(&stock)?;
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
            let says = |e: &tindock_inventory::Entry| {
                format!("{} ({}, {}, {} slots, group {})", e.address, e.zone, e.kind, e.slots, e.group)
            };
            format!("~ {} from {} to {}\n", to.name, says(from), says(to))
        }
    }
}
