//! The scheduler as a process: command line, log and exit code (0 success, 1 a check failed, 2 usage error, 3
//! a run left something in an unwanted state).

use clap::{CommandFactory, FromArgMatches};
use slog::{o, Drain, Level as SlogLevel, LevelFilter, Logger};
use slog_async::AsyncGuard;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tindock_scheduler::accord;
use tindock_scheduler::cli::{self, Cli, Command, LogFormat, LogLevel};
use tindock_scheduler::keep;
use tindock_scheduler::rollout::{self, CommandError};
use tindock_scheduler::scheduler_config::{self, Layers, Level, LogSettings};
use tindock_scheduler::start;
use tindock_soak::command::Verdict;

/// Log lines that may be queued for the log's reader; more are dropped, and their number is logged.
const QUEUED_LINES: usize = 4096;
/// How long the end of the process waits for queued log lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

fn minimum(level: Level) -> SlogLevel {
    match level {
        Level::Error => SlogLevel::Error,
        Level::Warning => SlogLevel::Warning,
        Level::Info => SlogLevel::Info,
        Level::Debug => SlogLevel::Debug,
    }
}

/// A log to standard output, and a guard that must live until its last lines are written.
fn logger(form: LogSettings) -> (Logger, AsyncGuard) {
    let out = std::io::stdout();
    // Lines that cannot be written or queued are dropped: no log may block or end the scheduler.
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = if form.json {
        Box::new(slog_json::Json::default(out).ignore_res())
    } else {
        let lines = slog_term::PlainDecorator::new(out);
        Box::new(slog_term::FullFormat::new(lines).build().ignore_res())
    };
    let drain = LevelFilter::new(drain, minimum(form.level)).ignore_res();
    let (drain, guard) = slog_async::Async::new(drain).chan_size(QUEUED_LINES).build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), guard)
}

/// The queued lines are written by a thread of their own, so that the end of the process waits only briefly.
fn flush(guard: AsyncGuard) {
    let (written, all) = mpsc::channel::<()>();
    std::thread::spawn(move || drop((guard, written)));
    let _ = all.recv_timeout(FLUSH_TIMEOUT);
}

fn run(path: PathBuf, layers: Layers, override_log: impl Fn(&mut LogSettings)) -> Result<(), String> {
    let mut config = scheduler_config::from_file(&path, &layers)?;
    override_log(&mut config.log);
    let (log, guard) = logger(config.log);
    let ended = start::run(config, path, layers, &log);
    flush(guard);
    ended
}

fn keep(file: &Path, form: LogFormat) -> Result<(), Vec<String>> {
    let (log, guard) = logger(LogSettings { json: form == LogFormat::Json, ..LogSettings::default() });
    let ended = keep::run(file, &log);
    flush(guard);
    ended
}

fn dispatch() -> Result<String, CommandError> {
    let one_line = |why: String| vec![format!("tindock: {}", why.replace('\n', " "))];
    let named = || std::env::var_os("GW_CONFIG").map(PathBuf::from).ok_or("GW_CONFIG names no configuration");
    let command_line = Cli::command()
        .subcommands(tindock_system_processes::cli::commands())
        .subcommand(tindock_mock_services::command())
        .subcommand(tindock_soak::command::command())
        .subcommand(tindock_simulation::command());
    let matches = command_line.get_matches();
    // The commands of the whole system are built alongside those of the scheduler.
    if let Some((name, given)) =
        matches.subcommand().filter(|(name, _)| tindock_system_processes::cli::is_system_command(name))
    {
        return Ok(tindock_system_processes::cli::run(name, given).map_err(one_line)?);
    }
    if let Some(("demo", given)) = matches.subcommand() {
        return Ok(tindock_mock_services::run(given).map_err(one_line)?);
    }
    if let Some(("soak", given)) = matches.subcommand() {
        let run = tindock_soak::command::run(given);
        let run = run.map_err(|why| CommandError { code: 2, lines: one_line(why.to_string()) })?;
        let _ = std::io::stdout().write_all(run.text.as_bytes());
        return match run.verdict {
            Verdict::Passed => Ok(String::new()),
            Verdict::Failed => Err(CommandError { code: 1, lines: one_line("a rule is broken".into()) }),
        };
    }
    if let Some(("play", given)) = matches.subcommand() {
        let run = tindock_simulation::run(given).map_err(one_line)?;
        if run.held {
            return Ok(run.text);
        }
        let _ = std::io::stdout().write_all(run.text.as_bytes());
        return Err(CommandError { code: 3, lines: one_line("a rule or an expectation is broken".into()) });
    }
    match Cli::from_arg_matches(&matches).map_err(|e| e.exit()).map(|cli| cli.command).unwrap_or(None) {
        None => {
            let path = named().map_err(|why| one_line(why.into()))?;
            run(path, Layers::default(), |_| ()).map_err(one_line)?;
        }
        Some(Command::Run { file, overrides, log_format, log_level }) => {
            let path = file.map_or_else(named, Ok).map_err(|why| one_line(why.into()))?;
            let log_overrides = |form: &mut LogSettings| {
                form.json = log_format.map_or(form.json, |f| f == LogFormat::Json);
                form.level = match log_level {
                    None => form.level,
                    Some(LogLevel::Error) => Level::Error,
                    Some(LogLevel::Warning) => Level::Warning,
                    Some(LogLevel::Info) => Level::Info,
                    Some(LogLevel::Debug) => Level::Debug,
                };
            };
            run(path, overrides.layers(), log_overrides)
                .map_err(|why| why.lines().map(String::from).collect::<Vec<_>>())?;
        }
        Some(Command::Check { file, overrides }) => return Ok(cli::check(&file, &overrides)?),
        Some(Command::Show { file, overrides }) => return Ok(cli::show(&file, &overrides)?),
        Some(Command::Manage { at, config, call }) => return Ok(cli::manage(at, config.as_deref(), &call)?),
        Some(Command::Keep { file, log_format }) => keep(&file, log_format)?,
        Some(Command::Policy(command)) => return accord::commands::command(&command),
        Some(Command::Rollout(command)) => return rollout::command(&command),
        Some(Command::Inventory(command)) => return Ok(cli::inventories(&command)?),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "tindock", &mut text);
            return Ok(String::from_utf8(text).map_err(|e| vec![e.to_string()])?);
        }
    }
    Ok(String::new())
}

fn main() {
    let code = match dispatch() {
        Ok(output) => {
            // Fails only if the reader has closed the pipe.
            let _ = std::io::stdout().write_all(output.as_bytes());
            0
        }
        Err(CommandError { code, lines }) => {
            lines.iter().for_each(|line| eprintln!("{line}"));
            code
        }
    };
    std::process::exit(code);
}
