//! The scheduler as a process: its command line, its log, its exit code (0 fine, 1 found wrong, 2 used wrongly, 3 a run
//! left something as it should not be).

use clap::{CommandFactory, FromArgMatches};
use slog::{o, Drain, Level as Least, LevelFilter, Logger};
use slog_async::AsyncGuard;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;
use tindock_scheduler::accord;
use tindock_scheduler::berth::{self, Layers, Level, LogForm};
use tindock_scheduler::cli::{self, Cli, Command, LogFormat, LogLevel};
use tindock_scheduler::keep;
use tindock_scheduler::rollout::{self, Wrong};
use tindock_scheduler::start;
use tindock_soak::command::Verdict;

/// Lines that may wait for the log's reader; beyond that they are dropped, and their number is told.
const LINES_WAITING: usize = 4096;
/// How long the end of the process waits for lines to be written.
const LAST_LINES: Duration = Duration::from_millis(100);

fn least(level: Level) -> Least {
    match level {
        Level::Error => Least::Error,
        Level::Warning => Least::Warning,
        Level::Info => Least::Info,
        Level::Debug => Least::Debug,
    }
}

/// A log to standard output, and what has to live until its last lines are written.
fn logger(form: LogForm) -> (Logger, AsyncGuard) {
    let out = std::io::stdout();
    // Lines that cannot be written or must not wait are lost: no log may block or end the scheduler.
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = if form.json {
        Box::new(slog_json::Json::default(out).ignore_res())
    } else {
        let lines = slog_term::PlainDecorator::new(out);
        Box::new(slog_term::FullFormat::new(lines).build().ignore_res())
    };
    let drain = LevelFilter::new(drain, least(form.level)).ignore_res();
    let (drain, rest) = slog_async::Async::new(drain).chan_size(LINES_WAITING).build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), rest)
}

/// The lines still waiting are written by a thread of their own, which the end does not wait for long.
fn last_lines(rest: AsyncGuard) {
    let (written, all) = mpsc::channel::<()>();
    std::thread::spawn(move || drop((rest, written)));
    let _ = all.recv_timeout(LAST_LINES);
}

fn run(path: PathBuf, layers: Layers, over: impl Fn(&mut LogForm)) -> Result<(), String> {
    let mut berth = berth::from_file(&path, &layers)?;
    over(&mut berth.log);
    let (log, rest) = logger(berth.log);
    let ended = start::run(berth, path, layers, &log);
    last_lines(rest);
    ended
}

fn keep(file: &Path, form: LogFormat) -> Result<(), Vec<String>> {
    let (log, rest) = logger(LogForm { json: form == LogFormat::Json, ..LogForm::default() });
    let ended = keep::run(file, &log);
    last_lines(rest);
    ended
}

fn go() -> Result<String, Wrong> {
    let one_line = |why: String| vec![format!("tindock: {}", why.replace('\n', " "))];
    let named = || std::env::var_os("GW_CONFIG").map(PathBuf::from).ok_or("GW_CONFIG names no configuration");
    let whole = Cli::command()
        .subcommands(tindock_house::cli::commands())
        .subcommand(tindock_standins::command())
        .subcommand(tindock_soak::command::command())
        .subcommand(tindock_rehearsal::command());
    let matches = whole.get_matches();
    // The whole system's commands are built beside this scheduler's own.
    if let Some((name, given)) = matches.subcommand().filter(|(name, _)| tindock_house::cli::is_ours(name)) {
        return Ok(tindock_house::cli::run(name, given).map_err(one_line)?);
    }
    if let Some(("demo", given)) = matches.subcommand() {
        return Ok(tindock_standins::run(given).map_err(one_line)?);
    }
    if let Some(("soak", given)) = matches.subcommand() {
        let played = tindock_soak::command::run(given);
        let played = played.map_err(|why| Wrong { code: 2, lines: one_line(why.to_string()) })?;
        let _ = std::io::stdout().write_all(played.text.as_bytes());
        return match played.verdict {
            Verdict::Passed => Ok(String::new()),
            Verdict::Failed => Err(Wrong { code: 1, lines: one_line("a rule is broken".into()) }),
        };
    }
    if let Some(("play", given)) = matches.subcommand() {
        let played = tindock_rehearsal::run(given).map_err(one_line)?;
        if played.held {
            return Ok(played.text);
        }
        let _ = std::io::stdout().write_all(played.text.as_bytes());
        return Err(Wrong { code: 3, lines: one_line("a rule or an expectation is broken".into()) });
    }
    match Cli::from_arg_matches(&matches).map_err(|e| e.exit()).map(|cli| cli.command).unwrap_or(None) {
        None => {
            let path = named().map_err(|why| one_line(why.into()))?;
            run(path, Layers::default(), |_| ()).map_err(one_line)?;
        }
        Some(Command::Run { file, over, log_format, log_level }) => {
            let path = file.map_or_else(named, Ok).map_err(|why| one_line(why.into()))?;
            let said = |form: &mut LogForm| {
                form.json = log_format.map_or(form.json, |f| f == LogFormat::Json);
                form.level = match log_level {
                    None => form.level,
                    Some(LogLevel::Error) => Level::Error,
                    Some(LogLevel::Warning) => Level::Warning,
                    Some(LogLevel::Info) => Level::Info,
                    Some(LogLevel::Debug) => Level::Debug,
                };
            };
            run(path, over.layers(), said)
                .map_err(|why| why.lines().map(String::from).collect::<Vec<_>>())?;
        }
        Some(Command::Check { file, over }) => return Ok(cli::check(&file, &over)?),
        Some(Command::Show { file, over }) => return Ok(cli::show(&file, &over)?),
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
    let code = match go() {
        Ok(said) => {
            // A reader that went away wants no more of it.
            let _ = std::io::stdout().write_all(said.as_bytes());
            0
        }
        Err(Wrong { code, lines }) => {
            lines.iter().for_each(|line| eprintln!("{line}"));
            code
        }
    };
    std::process::exit(code);
}
