//! `tindock rollout`: a staged change of settings or program over all schedulers. The state machine is in
//! `tindock_rollout`; this module does its input and output: [`remote`] calls the schedulers, [`files`]
//! replaces their configurations, [`record`] stores the steps of a run, and [`coordinator`] drives the run.

pub mod coordinator;
pub mod files;
pub mod record;
pub mod remote;

use clap::{Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Debug, Subcommand)]
pub enum RolloutCommand {
    /// Read the plan, query every scheduler, and report whether the run could start
    Check { plan: PathBuf },
    /// Change all schedulers in stages; stop and undo when a stage performs worse
    Run {
        plan: PathBuf,
        /// Format of the run's output lines
        #[arg(long, value_name = "FORM", default_value = "text")]
        log_format: crate::cli::LogFormat,
    },
    /// Report the progress of the run
    Status {
        plan: PathBuf,
        #[arg(long, default_value = "text")]
        format: StatusFormat,
    },
    /// Stop the run and undo what it has changed
    Stop { plan: PathBuf },
    /// Undo what a run has changed, whether it has ended or was interrupted
    Undo {
        plan: PathBuf,
        #[arg(long, value_name = "FORM", default_value = "text")]
        log_format: crate::cli::LogFormat,
    },
    /// Continue an interrupted run
    Resume {
        plan: PathBuf,
        #[arg(long, value_name = "FORM", default_value = "text")]
        log_format: crate::cli::LogFormat,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum StatusFormat {
    Text,
    Json,
}

/// Why a command failed, with its exit code: 1 not started, or stopped and undone; 2 wrong usage; 3 some
/// schedulers are left in an unintended state.
pub struct CommandError {
    pub code: i32,
    pub lines: Vec<String>,
}

impl From<Vec<String>> for CommandError {
    fn from(lines: Vec<String>) -> Self {
        CommandError { code: 1, lines }
    }
}

impl CommandError {
    pub fn not_started(why: impl Into<String>) -> Self {
        CommandError { code: 1, lines: vec![why.into()] }
    }
}

/// Runs one of the commands. Returns its final output, or why it failed.
pub fn command(command: &RolloutCommand) -> Result<String, CommandError> {
    use coordinator::{Coordinator, Mode};
    let open = |path: &PathBuf| {
        tindock_scheduler_config::plan::open(path).map_err(|lines| CommandError { code: 2, lines })
    };
    match command {
        RolloutCommand::Check { plan } => coordinator::check(&open(plan)?),
        RolloutCommand::Run { plan, log_format } => {
            Coordinator::begin(open(plan)?, Mode::Run, *log_format)?.run()
        }
        RolloutCommand::Undo { plan, log_format } => {
            Coordinator::begin(open(plan)?, Mode::Undo, *log_format)?.run()
        }
        RolloutCommand::Resume { plan, log_format } => {
            Coordinator::begin(open(plan)?, Mode::Resume, *log_format)?.run()
        }
        RolloutCommand::Status { plan, format } => record::status(&open(plan)?.record, *format),
        RolloutCommand::Stop { plan } => record::request_stop(&open(plan)?.record),
    }
}
