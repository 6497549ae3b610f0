//! `tindock demo`: runs the whole system on this machine with one command, to try it by hand or under a load.

use crate::clients::{Class, Clients, Load, Outcome, ProxySelector};
use crate::fleet::{self, Fleet, FleetConfig, Role};
use crate::ledger::Ledger;
use crate::loopback::Net;
use crate::operator::{configuration, CallError, Operator, Route};
use crate::platform::{self, Function, Host, InjectedFault, Platform};
use crate::report;
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use std::fmt;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// Time limit of the first configuration, and of the first requests.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_LOAD_SECONDS: f64 = 3600.0;
const MAX_REQUESTS_PER_S: f64 = 2000.0;
const HOSTNAME: &str = "dispatch.example";
const ZONES: [&str; 3] = ["north", "east", "west"];
/// The names of `--trouble`: faults that can be injected after a third of a load.
const FAULT_NAMES: [&str; 7] =
    ["kill-desk", "kill-archive", "crash-host", "drain-host", "late-list", "lose-answers", "garble"];

#[derive(Debug, Clone)]
pub struct Options {
    /// The `tindock` program.
    pub program: PathBuf,
    /// The duration of a load and its requests a second; None: no load, and the demo runs until a signal ends
    /// it.
    pub load: Option<(Duration, f64)>,
    /// The file for a plot.
    pub report: Option<PathBuf>,
    /// Names of [`FAULT_NAMES`].
    pub faults: Vec<String>,
    /// Settings, logs and disks are not removed at the end.
    pub keep: bool,
    pub seed: u64,
}

#[derive(Debug)]
pub enum Fault {
    NoProgram(std::io::Error),
    NoAddress(std::io::Error),
    NoRuntime(std::io::Error),
    NoSignal(std::io::Error),
    Platform(platform::Fault),
    Fleet(fleet::Fault),
    Operator(CallError),
    /// No request was served in time; the last log lines of processes that ended.
    NotServed(String),
    Report(PathBuf, std::io::Error),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::NoProgram(why) => write!(f, "the path of this program: {why}"),
            Fault::NoAddress(why) => write!(f, "no free addresses under 127.0.0.0/8: {why}"),
            Fault::NoRuntime(why) => write!(f, "no runtime: {why}"),
            Fault::NoSignal(why) => write!(f, "no signals: {why}"),
            Fault::Platform(why) => write!(f, "the mock platform: {why}"),
            Fault::Fleet(why) => write!(f, "{why}"),
            Fault::Operator(why) => write!(f, "the configuration was not accepted: {why}"),
            Fault::NotServed(log) if log.is_empty() => write!(f, "no request was served in time"),
            Fault::NotServed(log) => write!(f, "no request was served in time; {}", log.trim_end()),
            Fault::Report(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

/// The command line.
pub fn command() -> Command {
    let above_zero = |max: f64| {
        move |text: &str| match text.parse::<f64>() {
            Ok(n) if n > 0.0 && n <= max => Ok(n),
            _ => Err(format!("a number above 0, at most {max}")),
        }
    };
    Command::new("demo")
        .about("Run the whole system on this machine, over loopback, and try it")
        .after_help(
            "Starts 3 controllers (archive), 3 proxies (desk) and 3 agents (page) as processes, with mock \
             services for the platform, its workers and the operator, and waits until every route is served. \
             Without --for, it prints how to send requests and runs until Ctrl-C; with it, it plays a load \
             and prints the results. All processes end with it.",
        )
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("SECONDS")
                .value_parser(above_zero(MAX_LOAD_SECONDS))
                .help("Play a load for this time, print a report and end"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .default_value("50")
                .value_parser(above_zero(MAX_REQUESTS_PER_S))
                .help("Requests a second of the load"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FILE.svg")
                .value_parser(value_parser!(PathBuf))
                .requires("for")
                .help("Plot latency over time into this file"),
        )
        .arg(
            Arg::new("trouble")
                .long("trouble")
                .value_name("NAME")
                .action(ArgAction::Append)
                .value_parser(FAULT_NAMES)
                .requires("for")
                .help("Inject this fault after a third of the load (may be given more than once)"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load and of the mock services"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the folder with settings, logs and disks, and print its path"),
        )
        .arg(Arg::new(fleet::GUARD).long(fleet::GUARD).value_parser(value_parser!(PathBuf)).hide(true))
}

/// Runs the command. Returns what is left to print, or a one-line error.
pub fn run(matches: &ArgMatches) -> Result<String, String> {
    if let Some(folder) = matches.get_one::<PathBuf>(fleet::GUARD) {
        fleet::guard(folder, std::io::stdin().lock());
        return Ok(String::new());
    }
    let rate = matches.get_one::<f64>("rate").copied().unwrap_or(50.0);
    let run = || {
        let options = Options {
            program: std::env::current_exe().map_err(Fault::NoProgram)?,
            load: matches.get_one::<f64>("for").map(|s| (Duration::from_secs_f64(*s), rate)),
            report: matches.get_one::<PathBuf>("report").cloned(),
            faults: matches.get_many::<String>("trouble").unwrap_or_default().cloned().collect(),
            keep: matches.get_flag("keep"),
            seed: matches.get_one::<u64>("seed").copied().unwrap_or(1),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(Fault::NoRuntime)?.block_on(demo(options))
    };
    run().map_err(|fault| fault.to_string())
}

/// The functions of the demo, modelled on a taxi dispatch.
pub fn functions() -> Vec<Function> {
    let function = |name: &str, memory_mb, boot, max_inflight, max_concurrency| Function {
        name: name.into(),
        memory_mb,
        boot: Duration::from_millis(boot),
        max_inflight,
        max_concurrency,
        work: Duration::from_millis(40),
        cold: Duration::ZERO,
    };
    vec![function("dispatch", 512, 600, 8, 96), function("ledger", 128, 400, 1, 16)]
}

/// The classes of requests of the demo.
pub fn classes() -> Vec<Class> {
    let class =
        |name: &str, method: &str, path: &str, service: &str, share, target_latency, work, body_bytes| {
            Class {
                name: name.into(),
                method: method.into(),
                hostname: HOSTNAME.into(),
                path: path.into(),
                service: service.into(),
                repeatable: method == "GET",
                share,
                target_latency: Duration::from_millis(target_latency),
                deadline: Duration::from_secs(4),
                work: Duration::from_millis(work),
                answer_bytes: 600,
                body_bytes,
            }
        };
    vec![
        class("ride-offer", "GET", "/rides/offer/", "dispatch", 0.6, 300, 40, 0),
        class("ride-accept", "POST", "/rides/accept/", "dispatch", 0.2, 400, 60, 400),
        class("shift-report", "GET", "/ledger/report/", "ledger", 0.15, 1500, 50, 0),
        class("fare-settle", "POST", "/ledger/settle/", "ledger", 0.05, 3000, 200, 200),
    ]
}

/// One route for each class.
pub fn routes(classes: &[Class]) -> Vec<Route> {
    let route = |class: &Class| Route {
        name: format!("r-{}", class.name),
        hostname: class.hostname.clone(),
        path_prefix: class.path.clone(),
        route_type: if class.repeatable { "idempotent" } else { "non_idempotent" }.into(),
        timeout_ms: class.deadline.as_millis() as u32,
        target_latency_ms: class.target_latency.as_millis() as u32,
        priority: u32::from(class.repeatable) + 1,
        service: class.service.clone(),
        max_retries: if class.repeatable { 2 } else { 1 },
    };
    classes.iter().map(route).collect()
}

/// The size of a testbed, and the functions and requests on it.
#[derive(Debug, Clone)]
pub struct TestbedConfig {
    /// Seed of the mock services.
    pub seed: u64,
    pub zones: Vec<String>,
    /// Edge machines in each zone.
    pub edges: usize,
    /// Core machines, distributed over the zones in turn.
    pub cores: usize,
    /// Worker hosts, distributed over the zones in turn.
    pub hosts: usize,
    pub host_memory_mb: u32,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Delay before a process that has ended is restarted; None: it is not restarted.
    pub restart_after: Option<Duration>,
    pub functions: Vec<Function>,
    pub classes: Vec<Class>,
}

impl TestbedConfig {
    /// The configuration of the demo.
    pub fn demo(seed: u64) -> TestbedConfig {
        TestbedConfig {
            seed,
            zones: ZONES.iter().map(|zone| zone.to_string()).collect(),
            edges: 1,
            cores: 3,
            hosts: 6,
            host_memory_mb: 4096,
            grace: Duration::from_secs(2),
            restart_after: Some(Duration::from_millis(500)),
            functions: functions(),
            classes: classes(),
        }
    }
}

/// A running system: its programs and the mock services around them.
pub struct Testbed {
    pub fleet: Fleet,
    pub platform: Platform,
    pub ledger: Ledger,
    pub zones: Vec<String>,
    /// Classes of requests; each must be served in each zone before the testbed counts as started.
    pub classes: Vec<Class>,
    pub functions: Vec<Function>,
    /// Time from the start until the configuration was accepted.
    pub configured_after: Duration,
    /// Time from the start until every class was served in every zone.
    pub served_after: Duration,
}

impl Testbed {
    /// Starts the testbed of the demo and waits until every class is served in every zone.
    pub async fn open(program: PathBuf, seed: u64) -> Result<Testbed, Fault> {
        Testbed::open_with(program, TestbedConfig::demo(seed)).await
    }

    /// Starts all processes and mock services, and waits until every class is served in every zone.
    pub async fn open_with(program: PathBuf, config: TestbedConfig) -> Result<Testbed, Fault> {
        let began = Instant::now();
        let net = Net::free(std::process::id()).map_err(Fault::NoAddress)?;
        let zones = config.zones;
        let ledger = Ledger::default();
        let host = |n: usize| Host {
            name: format!("w-{}", n + 1),
            zone: zones[n % zones.len()].clone(),
            ip: net.host(n),
            memory_mb: config.host_memory_mb,
        };
        let hosts = (0..config.hosts).map(host).collect();
        let mut platform_options = platform::Options::new(net.provider(), config.functions.clone(), hosts);
        platform_options.seed = config.seed;
        let (provider, limits) = (net.provider(), platform_options.clone());
        let platform = Platform::start(platform_options, ledger.clone()).await.map_err(Fault::Platform)?;
        let fleet_config = FleetConfig {
            program,
            folder: temporary_folder().map_err(|(path, why)| Fault::Fleet(fleet::Fault::File(path, why)))?,
            zones: zones.clone(),
            edges: config.edges,
            cores: config.cores,
            grace: config.grace,
            drain: limits.drain,
            rate_per_s: limits.rate_per_s,
            duty_rate_s: limits.duty_rate_s,
            max_lag: limits.max_lag,
            restart_after: config.restart_after,
        };
        let fleet = Fleet::start(fleet_config, net, provider).map_err(Fault::Fleet)?;
        let mut testbed = Testbed {
            fleet,
            platform,
            ledger,
            zones,
            classes: config.classes,
            functions: config.functions,
            configured_after: Duration::ZERO,
            served_after: Duration::ZERO,
        };
        testbed.configured_after = match testbed.configure().await {
            Ok(()) => began.elapsed(),
            Err(fault) => return testbed.close(Err(fault)).await,
        };
        testbed.served_after = match testbed.wait_until_served().await {
            Ok(()) => began.elapsed(),
            Err(fault) => return testbed.close(Err(fault)).await,
        };
        Ok(testbed)
    }

    async fn configure(&self) -> Result<(), Fault> {
        let text = configuration(1, &routes(&self.classes), &self.functions);
        let operator = Operator { controllers: self.fleet.controllers(), first: 0 };
        operator.replace(&text, STARTUP_TIMEOUT).await.map(|_| ()).map_err(Fault::Operator)
    }

    /// Sends requests of each class in each zone until one is served, so that a load begins on a system that
    /// has started.
    async fn wait_until_served(&self) -> Result<(), Fault> {
        let until = Instant::now() + STARTUP_TIMEOUT;
        let clients = self.clients(self.zones.len(), 0xf157);
        let mut open = JoinSet::new();
        let mut number = 0;
        for class in &self.classes {
            for user in 0..self.zones.len() {
                number += 1000;
                let (clients, class) = (clients.clone(), class.clone());
                open.spawn(async move {
                    for repetition in 0.. {
                        let (outcome, ..) = clients.request(&class, number + repetition, user, false).await;
                        if matches!(outcome, Outcome::OnTime | Outcome::Late) {
                            return true;
                        }
                        if Instant::now() > until {
                            return false;
                        }
                        sleep(Duration::from_millis(100)).await;
                    }
                    false
                });
            }
        }
        while let Some(done) = open.join_next().await {
            if !matches!(done, Ok(true)) {
                return Err(Fault::NotServed(self.fleet.last_log_lines()));
            }
        }
        Ok(())
    }

    /// Clients that send requests to this testbed.
    pub fn clients(&self, users: usize, seed: u64) -> std::sync::Arc<Clients> {
        Clients::new(ProxySelector::new(self.fleet.proxies()), self.ledger.clone(), &self.zones, users, seed)
    }

    /// Ends everything that was started, and returns the outcome.
    pub async fn close<T>(self, outcome: Result<T, Fault>) -> Result<T, Fault> {
        self.fleet.shutdown().await;
        outcome
    }
}

/// Creates a new folder in the system's temporary folder.
fn temporary_folder() -> Result<PathBuf, (PathBuf, std::io::Error)> {
    folder_under(std::env::temp_dir())
}

/// Creates a new folder in this one.
pub fn folder_under(parent: PathBuf) -> Result<PathBuf, (PathBuf, std::io::Error)> {
    for n in 0.. {
        let path = parent.join(format!("tindock-demo-{}-{n}", std::process::id()));
        match std::fs::create_dir(&path) {
            Err(why) if why.kind() == std::io::ErrorKind::AlreadyExists => {}
            Err(why) => return Err((path, why)),
            Ok(()) => return Ok(path),
        }
    }
    Err((parent, std::io::ErrorKind::AlreadyExists.into()))
}

/// Prints without delay; errors are ignored, as the reader may have closed the pipe.
fn print_now(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// The signals that end a demo.
struct EndSignals(Signal, Signal, Signal);

impl EndSignals {
    fn new() -> Result<EndSignals, Fault> {
        let on = |kind| signal(kind).map_err(Fault::NoSignal);
        Ok(EndSignals(on(SignalKind::interrupt())?, on(SignalKind::terminate())?, on(SignalKind::hangup())?))
    }

    async fn recv(&mut self) {
        tokio::select! {
            _ = self.0.recv() => {}
            _ = self.1.recv() => {}
            _ = self.2.recv() => {}
        }
    }
}

/// Runs the whole demo. Returns what is left to print; all processes that it started have ended by then.
pub async fn demo(options: Options) -> Result<String, Fault> {
    let mut signals = EndSignals::new()?;
    if let Some(path) = &options.report {
        // Fails here rather than after the load if the file cannot be written.
        std::fs::write(path, "").map_err(|why| Fault::Report(path.clone(), why))?;
    }
    print_now(
        "starting 3 controllers, 3 agents and 3 proxies, with mock services for the platform and the \
         operator\n",
    );
    let testbed = tokio::select! {
        testbed = Testbed::open(options.program.clone(), options.seed) => testbed?,
        () = signals.recv() => return Ok("ended during the start\n".into()),
    };
    print_now(&usage(&testbed));
    let outcome = match options.load {
        Some((duration, rate)) => tokio::select! {
            done = play(&testbed, &options, duration, rate) => done,
            () = signals.recv() => Ok("ended early, without a report\n".into()),
        },
        None => {
            print_now("\nrunning until Ctrl-C\n");
            signals.recv().await;
            Ok(format!("\nended; {}", counts(&testbed)))
        }
    };
    let mut kept = String::new();
    if options.keep {
        testbed.fleet.keep_folder();
        kept = format!("settings, logs and disks: {}\n", testbed.fleet.folder().display());
    }
    // A second Ctrl-C skips the grace period.
    let closed = tokio::select! {
        closed = testbed.close(outcome) => closed,
        () = signals.recv() => Ok("ended at once\n".into()),
    };
    closed.map(|text| text + &kept)
}

fn counts(testbed: &Testbed) -> String {
    let counts = testbed.platform.counts();
    let running = testbed.platform.instances().iter().filter(|i| !i.ended).count();
    format!(
        "instances: {} started, {} stopped, {running} running; requests refused by full instances: {}; \
         platform: {} calls of the lists, {} starts without free capacity, {} calls over its rate\n",
        counts.started, counts.stopped, counts.full, counts.lists, counts.no_room, counts.over_rate
    )
}

/// The addresses of the system, and commands to try it.
fn usage(testbed: &Testbed) -> String {
    let mut text = format!(
        "configuration accepted after {:.1} s; every route served in every zone after {:.1} s\n\n",
        testbed.configured_after.as_secs_f64(),
        testbed.served_after.as_secs_f64()
    );
    let proxies = testbed.fleet.proxies();
    for proxy in &proxies {
        text += &format!("  proxy in {:<6} http://{}\n", proxy.zone, proxy.data_plane);
    }
    for at in testbed.fleet.controllers() {
        text += &format!("  controller      http://{at}/v1/Configuration.Show\n");
    }
    let platform = testbed.platform.address();
    text += &format!(
        "  platform        http://{platform}/instances (mock)\n\n\
         requests (each with a new Attempt-Id, and any Deadline-Ms):\n"
    );
    if let Some(proxy) = proxies.first() {
        for class in classes() {
            let method = if class.repeatable { "" } else { " -X POST -d hello" };
            text += &format!(
                "  curl -i{method} -H 'Host: {}' -H \"Attempt-Id: $(cat /proc/sys/kernel/random/uuid)\" \
                 -H 'Deadline-Ms: 4000' \
                 http://{}{}1\n",
                class.hostname, proxy.data_plane, class.path
            );
        }
    }
    text += &format!(
        "inject faults: curl -X POST 'http://{platform}/standin/crash-host?name=w-1' \
         (or drain-host?name=w-2, late-list?by=3&for=5, lose-answers?share=0.1, garble?share=0.1); \
         counts: curl http://{platform}/standin\n"
    );
    text
}

/// Plays the load and reports its results.
async fn play(testbed: &Testbed, options: &Options, duration: Duration, rate: f64) -> Result<String, Fault> {
    let classes = classes();
    let load = Load {
        classes: classes.clone(),
        zones: testbed.zones.clone(),
        rate,
        duration,
        users: 48,
        reuse_probability: 0.8,
        seed: options.seed,
    };
    let clients = testbed.clients(load.users, options.seed);
    print_now(&format!("\nplaying {rate} requests a second for {:.1} s\n", duration.as_secs_f64()));
    let began = Instant::now();
    let (done, marks) =
        tokio::join!(clients.play(&load), inject_faults(testbed, &options.faults, duration / 3, began));
    let mut text = format!("\n{}\n{}", report::table(&report::rows(&classes, &done)), counts(testbed));
    for (at, what) in testbed.fleet.events() {
        text += &format!("{:>6.2} s  {what}\n", at.saturating_duration_since(began).as_secs_f64());
    }
    let findings = testbed.ledger.findings();
    match findings.len() {
        0 => text += "rules checked from outside (TWICE, REFUSED, UNASKED, ROUTE, MIXED): kept\n",
        n => {
            text += &format!("rules checked from outside: broken {n} times\n");
            findings.iter().take(20).for_each(|finding| text += &format!("  {finding}\n"));
        }
    }
    if let Some(path) = &options.report {
        let title = format!("tindock demo: {rate} requests a second for {:.0} s", duration.as_secs_f64());
        let plot = report::svg(&title, &classes, &done, &marks);
        std::fs::write(path, plot).map_err(|why| Fault::Report(path.clone(), why))?;
        text += &format!("plot: {}\n", path.display());
    }
    Ok(text)
}

/// Injects faults at their time. Returns the labels for the plot.
async fn inject_faults(
    testbed: &Testbed,
    names: &[String],
    at: Duration,
    began: Instant,
) -> Vec<(Duration, String)> {
    if names.is_empty() {
        return Vec::new();
    }
    let _ = timeout(at, std::future::pending::<()>()).await;
    let mut marks = Vec::new();
    for name in names {
        // Of several targets, one in use: the host with the most instances, the lease holder.
        let (instances, five_s) = (testbed.platform.instances(), Duration::from_secs(5));
        let load = |host: &String| instances.iter().filter(|i| !i.ended && i.host == *host).count();
        let hosts: Vec<String> = instances.iter().map(|i| i.host.clone()).collect();
        let busiest = hosts.iter().max_by_key(|host| load(host)).cloned().unwrap_or_default();
        let proxy = testbed.fleet.machines(Role::Proxy).first().cloned().unwrap_or_default();
        let done = match name.as_str() {
            "kill-desk" => testbed.fleet.kill(&proxy, Role::Proxy),
            "kill-archive" => testbed
                .platform
                .lease_holder()
                .is_some_and(|holder| testbed.fleet.kill(&holder, Role::Controller)),
            "crash-host" => testbed.platform.inject(InjectedFault::CrashHost(busiest, five_s)),
            "drain-host" => testbed.platform.inject(InjectedFault::DrainHost(busiest, five_s * 2)),
            "late-list" => testbed.platform.inject(InjectedFault::LateList(five_s, five_s)),
            "lose-answers" => testbed.platform.inject(InjectedFault::LoseAnswers(0.1)),
            "garble" => testbed.platform.inject(InjectedFault::Garble(0.1)),
            _ => false,
        };
        if done {
            marks.push((began.elapsed(), name.clone()));
        }
    }
    marks
}
