//! `tindock demo`: the whole system on this machine with one command, to look at or to play a load on.

use crate::clients::{Class, Clients, Load, Outcome, ProxySelector};
use crate::fleet::{self, Fleet, FleetConfig, Role};
use crate::ledger::Ledger;
use crate::loopback::Net;
use crate::operator::{configuration, Given, Operator, Route};
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

/// The configuration is sent, and a first request tried, for so long.
const COMING_UP: Duration = Duration::from_secs(30);
const MOST_SECONDS: f64 = 3600.0;
const MOST_RATE: f64 = 2000.0;
const HOSTNAME: &str = "dispatch.example";
const ZONES: [&str; 3] = ["north", "east", "west"];
/// What can be made to go wrong a third into a load.
const TROUBLES: [&str; 7] =
    ["kill-desk", "kill-archive", "crash-host", "drain-host", "late-list", "lose-answers", "garble"];

#[derive(Debug, Clone)]
pub struct Options {
    /// `tindock` itself.
    pub program: PathBuf,
    /// Plays a load of so many requests a second for so long; else it stays until it is told to end.
    pub load: Option<(Duration, f64)>,
    /// Where a plot goes.
    pub report: Option<PathBuf>,
    /// Names of [`TROUBLES`].
    pub troubles: Vec<String>,
    /// Settings, logs and disks stay.
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
    Operator(Given),
    /// No request was served in time; what processes that ended said last.
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
            Fault::Platform(why) => write!(f, "the platform's stand-in: {why}"),
            Fault::Fleet(why) => write!(f, "{why}"),
            Fault::Operator(why) => write!(f, "the configuration was not taken: {why}"),
            Fault::NotServed(words) if words.is_empty() => write!(f, "no request was served in time"),
            Fault::NotServed(words) => write!(f, "no request was served in time; {}", words.trim_end()),
            Fault::Report(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

/// The command line.
pub fn command() -> Command {
    let above_zero = |most: f64| {
        move |text: &str| match text.parse::<f64>() {
            Ok(n) if n > 0.0 && n <= most => Ok(n),
            _ => Err(format!("a number above 0, at most {most}")),
        }
    };
    Command::new("demo")
        .about("Run the whole system on this machine, over loopback, and try it")
        .after_help(
            "Starts 3 archives and 3 desks with their pages as processes, stands in for the platform, its workers and \
             the operator, and waits until a request is served. Without --for it stays until Ctrl-C and says how to send \
             requests; with it, it plays a load and prints what came of it. Everything it started ends with it.",
        )
        .arg(
            Arg::new("for")
                .long("for")
                .value_name("SECONDS")
                .value_parser(above_zero(MOST_SECONDS))
                .help("Play a load for so long, print a report and end"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .default_value("50")
                .value_parser(above_zero(MOST_RATE))
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
                .value_parser(TROUBLES)
                .requires("for")
                .help("Let this go wrong a third into the load (may be given again)"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the load and of the stand-ins"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave the folder with settings, logs and disks, and say where it is"),
        )
        .arg(Arg::new(fleet::GUARD).long(fleet::GUARD).value_parser(value_parser!(PathBuf)).hide(true))
}

/// Runs the command; what it has left to print, or one line for what went wrong.
pub fn run(matches: &ArgMatches) -> Result<String, String> {
    if let Some(folder) = matches.get_one::<PathBuf>(fleet::GUARD) {
        fleet::guard(folder, std::io::stdin().lock());
        return Ok(String::new());
    }
    let rate = matches.get_one::<f64>("rate").copied().unwrap_or(50.0);
    let done = || {
        let options = Options {
            program: std::env::current_exe().map_err(Fault::NoProgram)?,
            load: matches.get_one::<f64>("for").map(|s| (Duration::from_secs_f64(*s), rate)),
            report: matches.get_one::<PathBuf>("report").cloned(),
            troubles: matches.get_many::<String>("trouble").unwrap_or_default().cloned().collect(),
            keep: matches.get_flag("keep"),
            seed: matches.get_one::<u64>("seed").copied().unwrap_or(1),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(Fault::NoRuntime)?.block_on(demo(options))
    };
    done().map_err(|fault| fault.to_string())
}

/// What functions, routes and kinds of requests there are, modelled on a taxi dispatch.
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

/// A route for each class.
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

/// How large a testbed is, and what runs on it.
#[derive(Debug, Clone)]
pub struct TestbedConfig {
    /// Of the stand-ins.
    pub seed: u64,
    pub zones: Vec<String>,
    /// Edge machines in each zone.
    pub edges: usize,
    /// Core machines, over the zones in turn.
    pub cores: usize,
    /// Machines for workers, over the zones in turn.
    pub hosts: usize,
    pub host_memory_mb: u32,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// After so long a process that has ended is started again; None: it is not.
    pub restart_after: Option<Duration>,
    pub functions: Vec<Function>,
    pub classes: Vec<Class>,
}

impl TestbedConfig {
    /// The demo's.
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

/// Everything that is up: the system's programs and those who stand in around it.
pub struct Testbed {
    pub fleet: Fleet,
    pub platform: Platform,
    pub ledger: Ledger,
    pub zones: Vec<String>,
    /// Kinds of requests; each is tried in each zone before the testbed counts as up.
    pub classes: Vec<Class>,
    pub functions: Vec<Function>,
    /// How long it took until the configuration was taken, and with it until a request was served.
    pub taken: Duration,
    pub served: Duration,
}

impl Testbed {
    /// Starts the demo's testbed and waits until a request is served.
    pub async fn open(program: PathBuf, seed: u64) -> Result<Testbed, Fault> {
        Testbed::open_with(program, TestbedConfig::demo(seed)).await
    }

    /// Starts all and waits until a request is served.
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
        let mut offered = platform::Options::new(net.provider(), config.functions.clone(), hosts);
        offered.seed = config.seed;
        let (provider, terms) = (net.provider(), offered.clone());
        let platform = Platform::start(offered, ledger.clone()).await.map_err(Fault::Platform)?;
        let fleet_config = FleetConfig {
            program,
            folder: folder().map_err(|(path, why)| Fault::Fleet(fleet::Fault::File(path, why)))?,
            zones: zones.clone(),
            edges: config.edges,
            cores: config.cores,
            grace: config.grace,
            drain: terms.drain,
            rate_per_s: terms.rate_per_s,
            duty_rate_s: terms.duty_rate_s,
            max_lag: terms.max_lag,
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
            taken: Duration::ZERO,
            served: Duration::ZERO,
        };
        testbed.taken = match testbed.configure().await {
            Ok(()) => began.elapsed(),
            Err(fault) => return testbed.close(Err(fault)).await,
        };
        testbed.served = match testbed.first().await {
            Ok(()) => began.elapsed(),
            Err(fault) => return testbed.close(Err(fault)).await,
        };
        Ok(testbed)
    }

    async fn configure(&self) -> Result<(), Fault> {
        let text = configuration(1, &routes(&self.classes), &self.functions);
        let operator = Operator { controllers: self.fleet.controllers(), first: 0 };
        operator.replace(&text, COMING_UP).await.map(|_| ()).map_err(Fault::Operator)
    }

    /// Tries each class in each zone until it is served, so that a load meets a system that is up.
    async fn first(&self) -> Result<(), Fault> {
        let until = Instant::now() + COMING_UP;
        let clients = self.clients(self.zones.len(), 0xf157);
        let mut open = JoinSet::new();
        let mut number = 0;
        for class in &self.classes {
            for user in 0..self.zones.len() {
                number += 1000;
                let (clients, class) = (clients.clone(), class.clone());
                open.spawn(async move {
                    for turn in 0.. {
                        let (outcome, ..) = clients.request(&class, number + turn, user, false).await;
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
                return Err(Fault::NotServed(self.fleet.last_words()));
            }
        }
        Ok(())
    }

    /// Clients that come in here.
    pub fn clients(&self, users: usize, seed: u64) -> std::sync::Arc<Clients> {
        Clients::new(ProxySelector::new(self.fleet.proxies()), self.ledger.clone(), &self.zones, users, seed)
    }

    /// Ends everything that was started, and hands the outcome on.
    pub async fn close<T>(self, outcome: Result<T, Fault>) -> Result<T, Fault> {
        self.fleet.shutdown().await;
        outcome
    }
}

/// A new folder under the system's temporary one.
fn folder() -> Result<PathBuf, (PathBuf, std::io::Error)> {
    folder_under(std::env::temp_dir())
}

/// A new folder under this one.
pub fn folder_under(stem: PathBuf) -> Result<PathBuf, (PathBuf, std::io::Error)> {
    for n in 0.. {
        let path = stem.join(format!("tindock-demo-{}-{n}", std::process::id()));
        match std::fs::create_dir(&path) {
            Err(why) if why.kind() == std::io::ErrorKind::AlreadyExists => {}
            Err(why) => return Err((path, why)),
            Ok(()) => return Ok(path),
        }
    }
    Err((stem, std::io::ErrorKind::AlreadyExists.into()))
}

/// Printed at once; a reader that went away wants no more of it.
fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// The signals that end a demo.
struct Ends(Signal, Signal, Signal);

impl Ends {
    fn new() -> Result<Ends, Fault> {
        let on = |kind| signal(kind).map_err(Fault::NoSignal);
        Ok(Ends(on(SignalKind::interrupt())?, on(SignalKind::terminate())?, on(SignalKind::hangup())?))
    }

    async fn come(&mut self) {
        tokio::select! {
            _ = self.0.recv() => {}
            _ = self.1.recv() => {}
            _ = self.2.recv() => {}
        }
    }
}

/// The whole demo: what is left to print at its end. All that it started has ended by then.
pub async fn demo(options: Options) -> Result<String, Fault> {
    let mut ends = Ends::new()?;
    if let Some(path) = &options.report {
        // Found out now, and not after the load.
        std::fs::write(path, "").map_err(|why| Fault::Report(path.clone(), why))?;
    }
    say("starting 3 archives, 3 pages and 3 desks, with stand-ins for the platform and the operator\n");
    let testbed = tokio::select! {
        testbed = Testbed::open(options.program.clone(), options.seed) => testbed?,
        () = ends.come() => return Ok("ended before it was up\n".into()),
    };
    say(&how_to(&testbed));
    let played = match options.load {
        Some((length, rate)) => tokio::select! {
            done = play(&testbed, &options, length, rate) => done,
            () = ends.come() => Ok("ended early, without a report\n".into()),
        },
        None => {
            say("\nIt stays until Ctrl-C.\n");
            ends.come().await;
            Ok(format!("\nended; {}", counts(&testbed)))
        }
    };
    let mut kept = String::new();
    if options.keep {
        testbed.fleet.keep_folder();
        kept = format!("settings, logs and disks: {}\n", testbed.fleet.folder().display());
    }
    // A second Ctrl-C does not wait for anybody's grace.
    let closed = tokio::select! {
        closed = testbed.close(played) => closed,
        () = ends.come() => Ok("ended at once\n".into()),
    };
    closed.map(|text| text + &kept)
}

fn counts(testbed: &Testbed) -> String {
    let counts = testbed.platform.counts();
    let working = testbed.platform.instances().iter().filter(|i| !i.ended).count();
    format!(
        "instances: {} started, {} stopped, {working} at work; turned away by a full instance: {}; platform: {} calls of \
         the lists, {} without room, {} over its rate\n",
        counts.started, counts.stopped, counts.full, counts.lists, counts.no_room, counts.over_rate
    )
}

fn how_to(testbed: &Testbed) -> String {
    let mut text = format!(
        "configuration taken after {:.1} s; every route served in every zone after {:.1} s\n\n",
        testbed.taken.as_secs_f64(),
        testbed.served.as_secs_f64()
    );
    let doors = testbed.fleet.proxies();
    for door in &doors {
        text += &format!("  desk in {:<6} http://{}\n", door.zone, door.data_plane);
    }
    for at in testbed.fleet.controllers() {
        text += &format!("  archive        http://{at}/v1/Configuration.Show\n");
    }
    let platform = testbed.platform.address();
    text += &format!("  platform       http://{platform}/instances (stand-in)\n\nrequests (an Attempt-Id of its own each, Deadline-Ms as you like):\n");
    if let Some(door) = doors.first() {
        for class in classes() {
            let method = if class.repeatable { "" } else { " -X POST -d hello" };
            text += &format!(
                "  curl -i{method} -H 'Host: {}' -H \"Attempt-Id: $(cat /proc/sys/kernel/random/uuid)\" -H 'Deadline-Ms: 4000' \
                 http://{}{}1\n",
                class.hostname, door.data_plane, class.path
            );
        }
    }
    text += &format!(
        "trouble: curl -X POST 'http://{platform}/standin/crash-host?name=w-1' (or drain-host?name=w-2, \
         late-list?by=3&for=5, lose-answers?share=0.1, garble?share=0.1); counts: curl http://{platform}/standin\n"
    );
    text
}

/// Plays the load and tells what came of it.
async fn play(testbed: &Testbed, options: &Options, length: Duration, rate: f64) -> Result<String, Fault> {
    let classes = classes();
    let load = Load {
        classes: classes.clone(),
        zones: testbed.zones.clone(),
        rate,
        length,
        users: 48,
        keeps: 0.8,
        seed: options.seed,
    };
    let clients = testbed.clients(load.users, options.seed);
    say(&format!("\nplaying {rate} requests a second for {:.1} s\n", length.as_secs_f64()));
    let began = Instant::now();
    let (done, marks) =
        tokio::join!(clients.play(&load), trouble(testbed, &options.troubles, length / 3, began));
    let mut text = format!("\n{}\n{}", report::table(&report::rows(&classes, &done)), counts(testbed));
    for (at, what) in testbed.fleet.events() {
        text += &format!("{:>6.2} s  {what}\n", at.saturating_duration_since(began).as_secs_f64());
    }
    let findings = testbed.ledger.findings();
    match findings.len() {
        0 => text += "rules seen from outside (TWICE, REFUSED, UNASKED, ROUTE, MIXED): kept\n",
        n => {
            text += &format!("rules seen from outside: broken {n} times\n");
            findings.iter().take(20).for_each(|finding| text += &format!("  {finding}\n"));
        }
    }
    if let Some(path) = &options.report {
        let title = format!("tindock demo: {rate} requests a second for {:.0} s", length.as_secs_f64());
        let plot = report::svg(&title, &classes, &done, &marks);
        std::fs::write(path, plot).map_err(|why| Fault::Report(path.clone(), why))?;
        text += &format!("plot: {}\n", path.display());
    }
    Ok(text)
}

/// Makes things go wrong at their time; what happened, for the plot.
async fn trouble(
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
        // Where there is a choice, what is in use: the host with most instances, the holder of the duty.
        let (instances, few) = (testbed.platform.instances(), Duration::from_secs(5));
        let load = |host: &String| instances.iter().filter(|i| !i.ended && i.host == *host).count();
        let hosts: Vec<String> = instances.iter().map(|i| i.host.clone()).collect();
        let busiest = hosts.iter().max_by_key(|host| load(host)).cloned().unwrap_or_default();
        let desk = testbed.fleet.machines(Role::Proxy).first().cloned().unwrap_or_default();
        let done = match name.as_str() {
            "kill-desk" => testbed.fleet.kill(&desk, Role::Proxy),
            "kill-archive" => testbed
                .platform
                .lease_holder()
                .is_some_and(|holder| testbed.fleet.kill(&holder, Role::Controller)),
            "crash-host" => testbed.platform.inject(InjectedFault::CrashHost(busiest, few)),
            "drain-host" => testbed.platform.inject(InjectedFault::DrainHost(busiest, few * 2)),
            "late-list" => testbed.platform.inject(InjectedFault::LateList(few, few)),
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
