//! `tindock-scale-run`: the command line. Figures are printed to standard output, one per line.

use clap::{value_parser, Arg, ArgMatches, Command};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tindock_scale_run::cold;
use tindock_scale_run::live::{self, Plan};
use tindock_scale_run::report::{lines, Figure};
use tindock_scale_run::{autoscaler, configuration, distribution, peer_sampling, slots, Size};
use tokio::signal::unix::{signal, SignalKind};

const MAX_SCHEDULERS: u64 = 2000;
/// Length of the peer sampling measurement, in virtual time.
const PEER_SAMPLING: Duration = Duration::from_secs(20);

fn command() -> Command {
    let sizes = Arg::new("schedulers")
        .value_name("N")
        .num_args(1..)
        .default_values(["8", "30", "100", "300", "630"])
        .value_parser(value_parser!(u64).range(1..=MAX_SCHEDULERS))
        .help("Sizes to run, in schedulers");
    let component =
        |name: &'static str, about: &'static str| Command::new(name).about(about).arg(sizes.clone());
    let number = |name: &'static str, usual: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(usual).value_parser(value_parser!(u64)).help(help)
    };
    Command::new("tindock-scale-run")
        .about("Measures what each role costs as the number of schedulers grows")
        .subcommand_required(true)
        .subcommand(
            component("peer-sampling", "Peer sampling among all agents, on virtual time").arg(number(
                "seed",
                "1",
                "Seed of the random number generator",
            )),
        )
        .subcommand(component("configuration", "Sizes and costs of a configuration and of a change"))
        .subcommand(component("distribution", "The list of instances: relay and copies"))
        .subcommand(component("autoscaler", "The autoscaler of the lease holder"))
        .subcommand(component("slots", "A proxy's slot ledgers"))
        .subcommand(
            Command::new("live")
                .about("Real controllers and hollow schedulers over loopback sockets, for one size")
                .arg(
                    Arg::new("schedulers")
                        .value_name("N")
                        .required(true)
                        .value_parser(value_parser!(u64).range(1..=MAX_SCHEDULERS))
                        .help("Number of hollow schedulers"),
                )
                .arg(program())
                .arg(number("controllers", "4", "Number of controller processes"))
                .arg(number("functions", "0", "Functions of the configuration; 0: in proportion"))
                .arg(number("seconds", "10", "Length of the measurement, in seconds"))
                .arg(number("words", "0", "Demand reports per second of each scheduler"))
                .arg(number("starts", "0", "Instance starts per second that all schedulers together request"))
                .arg(number("changes", "8", "Number of configuration changes"))
                .arg(number("memory", "12000", "Memory limit in MiB at which the run is aborted")),
        )
        .subcommand(
            Command::new("cold")
                .about("Latency of cold starts with real processes, by phase")
                .arg(program())
                .arg(number("calls", "40", "Number of functions, each called once"))
                .arg(number("boot", "900", "Mean duration of a start, ms")),
        )
}

fn program() -> Arg {
    Arg::new("program")
        .long("program")
        .default_value("target/system/tindock")
        .value_parser(value_parser!(PathBuf))
        .help("Path of the tindock executable")
}

fn sizes(given: &ArgMatches) -> Vec<usize> {
    given.get_many::<u64>("schedulers").unwrap_or_default().map(|n| *n as usize).collect()
}

fn number(given: &ArgMatches, name: &str) -> u64 {
    given.get_one::<u64>(name).copied().unwrap_or_default()
}

fn run_components(name: &str, given: &ArgMatches) -> Result<(), String> {
    for schedulers in sizes(given) {
        let size = Size::of(schedulers);
        let figures = match name {
            "peer-sampling" => peer_sampling::run(schedulers, PEER_SAMPLING, number(given, "seed")),
            "configuration" => {
                configuration::run(size).ok_or(format!("{} functions: not readable", size.functions))?
            }
            "distribution" => distribution::run(size),
            "autoscaler" => autoscaler::run(size),
            _ => slots::run(size),
        };
        print!("{}", lines(name, schedulers, &figures));
    }
    Ok(())
}

fn run_live(given: &ArgMatches) -> Result<(), String> {
    let schedulers = number(given, "schedulers") as usize;
    let mut size = Size::of(schedulers);
    match number(given, "functions") as usize {
        0 => {}
        functions => size.functions = functions,
    }
    let plan = Plan {
        program: given.get_one::<PathBuf>("program").cloned().unwrap_or_default(),
        size,
        controllers: number(given, "controllers").clamp(1, 9) as usize,
        length: Duration::from_secs(number(given, "seconds").clamp(1, 600)),
        reports: number(given, "words") as f64,
        starts: number(given, "starts") as f64,
        changes: number(given, "changes").min(1000),
        max_memory_mib: number(given, "memory") as f64,
    };
    let figures = on_runtime(live::run(plan))?;
    print!("{}", lines("live", schedulers, &figures));
    Ok(())
}

fn run_cold(given: &ArgMatches) -> Result<(), String> {
    let plan = cold::Plan {
        program: given.get_one::<PathBuf>("program").cloned().unwrap_or_default(),
        calls: number(given, "calls").clamp(1, 1000) as usize,
        boot: Duration::from_millis(number(given, "boot").clamp(1, 10_000)),
    };
    let figures = on_runtime(cold::run(plan))?;
    print!("{}", lines("cold", tindock_scale_run::ZONES.len(), &figures));
    Ok(())
}

fn on_runtime(run: impl Future<Output = Result<Vec<Figure>, String>>) -> Result<Vec<Figure>, String> {
    tindock_system_processes::ring::install("scale-run", spdlog::Level::Error);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|cause| cause.to_string())?.block_on(ended_by_signal(run))
}

/// Runs to completion, or until SIGINT or SIGTERM.
async fn ended_by_signal(
    run: impl Future<Output = Result<Vec<Figure>, String>>,
) -> Result<Vec<Figure>, String> {
    let on = |kind| signal(kind).map_err(|cause| cause.to_string());
    let (mut interrupt, mut terminate) = (on(SignalKind::interrupt())?, on(SignalKind::terminate())?);
    tokio::select! {
        figures = run => figures,
        _ = interrupt.recv() => Err("ended by a signal".into()),
        _ = terminate.recv() => Err("ended by a signal".into()),
    }
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let done = match matches.subcommand() {
        Some(("live", given)) => run_live(given),
        Some(("cold", given)) => run_cold(given),
        Some((name, given)) => run_components(name, given),
        None => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("tindock-scale-run: {cause}");
            ExitCode::FAILURE
        }
    }
}
