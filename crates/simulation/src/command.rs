//! `tindock play`: runs a scenario file with one or more seeds and reports as text, JSON Lines or one HTML
//! file.

use crate::report::Report;
use crate::scenario::{Scenario, ScenarioError, ScenarioErrorKind};
use crate::setting::{mean, set};
use crate::{html, list, world};
use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use std::fmt::Write as _;
use std::io::{IsTerminal, Write as _};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Mutex};
use std::time::Duration;

/// Limits on seeds per call, and on runs over all values of a setting.
const MAX_SEEDS: u64 = 1000;
const MAX_RUNS: usize = 2000;
/// Size limit of a scenario file.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Findings printed per run; the rest is only counted.
const MAX_FINDINGS: usize = 10;

/// Result of the command.
pub struct PlayOutcome {
    /// Text for standard output.
    pub text: String,
    /// Whether every rule and expectation held in every run.
    pub held: bool,
}

/// Runs with one value of the swept setting, or with the unchanged file.
pub struct Group {
    pub value: Option<String>,
    pub reports: Vec<Report>,
}

pub fn command() -> Command {
    Command::new("play")
        .about("Run a scenario file: a fleet on simulated time, with faults, checked from outside")
        .after_help(
            "Nothing is started and nothing is sent: clients, platform and workers are models, while \
             decisions are made by the code of the system processes. Exit code: 0 all holds, 1 the file \
             cannot be run, 3 a rule or an expectation is broken.",
        )
        .arg(
            Arg::new("FILE")
                .help("The scenario")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("list"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64).range(..1 << 32))
                .help("First seed; the same file and seed give the same run"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..=MAX_SEEDS))
                .help("Number of seeds, counted from the first one"),
        )
        .arg(Arg::new("sweep").long("sweep").value_name("NAME=A,B,C").help(
            "Run all seeds with each value of a setting, such as service.dock.slots=2,4,8 \
                    (names: --list)",
        ))
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("OUT.html")
                .value_parser(value_parser!(PathBuf))
                .help("Write plots and findings into one self-contained HTML file"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON Lines"))
        .arg(
            Arg::new("list")
                .long("list")
                .action(ArgAction::SetTrue)
                .help("Print the syntax of scenario files and exit"),
        )
}

fn error_text(file: &str, error: &ScenarioError) -> String {
    match error.line {
        0 => format!("{file}: {}", error.kind),
        line => format!("{file}:{line}:{}: {}", error.column, error.kind),
    }
}

/// Runs the command. The error is one line that says why the file cannot be run.
pub fn run(matches: &ArgMatches) -> Result<PlayOutcome, String> {
    if matches.get_flag("list") {
        return Ok(PlayOutcome { text: list::list(), held: true });
    }
    let path = matches.get_one::<PathBuf>("FILE").cloned().unwrap_or_default();
    let file = path.display().to_string();
    let about = |why: &dyn std::fmt::Display| format!("{file}: {why}");
    if std::fs::metadata(&path).map_err(|why| about(&why))?.len() > MAX_FILE_BYTES {
        return Err(about(&format!("more than {MAX_FILE_BYTES} bytes")));
    }
    let text = std::fs::read_to_string(&path).map_err(|why| about(&why))?;
    Scenario::read(&text).map_err(|error| error_text(&file, &error))?;
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let seeds: Vec<u64> = (0..number("seeds")).map(|n| number("seed") + n).collect();
    let sweep = matches.get_one::<String>("sweep");
    let name = sweep.map(|sweep| sweep.split('=').next().unwrap_or_default());
    let groups = match sweep {
        None => vec![(None, text)],
        Some(sweep) => swept_texts(&text, sweep).map_err(|why| format!("--sweep {sweep}: {why}"))?,
    };
    if groups.len() * seeds.len() > MAX_RUNS {
        return Err(format!("{} runs: at most {MAX_RUNS}", groups.len() * seeds.len()));
    }
    let groups = play_all(groups, &seeds).map_err(|error| error_text(&file, &error))?;
    if let Some(out) = matches.get_one::<PathBuf>("report") {
        std::fs::write(out, html::page(&groups, name)).map_err(|why| format!("{}: {why}", out.display()))?;
    }
    let held = groups.iter().all(|group| group.reports.iter().all(Report::holds));
    let text = if matches.get_flag("json") { json(&groups, name) } else { text_report(&groups, name) };
    Ok(PlayOutcome { text, held })
}

/// The scenario text with each value of the setting.
fn swept_texts(text: &str, sweep: &str) -> Result<Vec<(Option<String>, String)>, String> {
    let (name, values) = sweep.split_once('=').ok_or("NAME=A,B,C was expected")?;
    let one = |value: &str| {
        let text = set(text, name, value).map_err(|kind: ScenarioErrorKind| kind.to_string())?;
        Scenario::read(&text).map_err(|error| format!("with {value}: {}", error.kind))?;
        Ok((Some(value.to_string()), text))
    };
    values.split(',').map(|value| one(value.trim())).collect()
}

/// Executes all runs on all processors, with a progress line on standard error if that is a terminal.
fn play_all(groups: Vec<(Option<String>, String)>, seeds: &[u64]) -> Result<Vec<Group>, ScenarioError> {
    let scenarios: Vec<Scenario> =
        groups.iter().map(|(_, text)| Scenario::read(text)).collect::<Result<_, _>>()?;
    let jobs: Vec<(usize, u64)> =
        (0..groups.len()).flat_map(|group| seeds.iter().map(move |seed| (group, *seed))).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    // Progress over all runs, in thousandths of a run.
    let part = AtomicU64::new(0);
    let workers = std::thread::available_parallelism().map_or(1, usize::from).min(jobs.len());
    std::thread::scope(|scope| {
        let (done_sender, done_receiver) = mpsc::channel::<()>();
        for _ in 0..workers {
            let done_sender = done_sender.clone();
            let (next, done, jobs, scenarios, part) = (&next, &done, &jobs, &scenarios, &part);
            scope.spawn(move || {
                let _ends = done_sender;
                while let Some((group, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let mut known = 0;
                    let watch = |share: f64| {
                        let now = (share.clamp(0.0, 1.0) * 1000.0) as u64;
                        part.fetch_add(now - known.min(now), Ordering::Relaxed);
                        known = known.max(now);
                    };
                    let report = world::play(scenarios[*group].clone(), *seed, watch);
                    if let Ok(mut done) = done.lock() {
                        done.push((*group, report));
                    }
                }
            });
        }
        drop(done_sender);
        let terminal = std::io::stderr().is_terminal();
        while done_receiver.recv_timeout(Duration::from_millis(100)) == Err(mpsc::RecvTimeoutError::Timeout) {
            if terminal {
                let (so_far, all) = (part.load(Ordering::Relaxed), jobs.len());
                let percent = so_far as f64 / all as f64 / 10.0;
                let _ = write!(std::io::stderr(), "\r{all} runs, {percent:.0} % played ");
            }
        }
        if terminal {
            let _ = write!(std::io::stderr(), "\r{:40}\r", "");
        }
    });
    let mut played: Vec<Group> =
        groups.into_iter().map(|(value, _)| Group { value, reports: Vec::new() }).collect();
    for (group, report) in done.into_inner().unwrap_or_default() {
        played[group].reports.push(report);
    }
    played.iter_mut().for_each(|group| group.reports.sort_by_key(|report| report.seed));
    Ok(played)
}

/// Figures printed for several runs: name, digits, value.
pub type Measure = (&'static str, usize, fn(&Report) -> f64);

pub const MEASURES: [Measure; 8] = [
    ("served", 4, |report| report.served),
    ("in aim", 4, |report| report.aim),
    ("refused", 1, |report| report.route_figures.iter().map(|class| class.refused).sum::<usize>() as f64),
    ("failed", 1, |report| report.route_figures.iter().map(|class| class.failed).sum::<usize>() as f64),
    ("starts", 1, |report| report.starts as f64),
    ("slots at work", 1, Report::busy),
    ("slots", 1, Report::slots),
    ("no holder s", 2, |report| report.gap),
];

/// Mean and confidence interval as text.
pub fn spread(values: &[f64], digits: usize) -> String {
    match mean(values) {
        (mean, None) => format!("{mean:.digits$}"),
        (mean, Some(half)) => format!("{mean:.digits$} ±{half:.digits$}"),
    }
}

fn text_report(groups: &[Group], name: Option<&str>) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail, here and below.
    for group in groups {
        if let [report] = group.reports.as_slice() {
            if name.is_none() {
                write_run(&mut text, report);
            }
        }
    }
    let one = groups.iter().all(|group| group.reports.len() == 1);
    if name.is_some() || !one {
        let title = groups.iter().find_map(|group| group.reports.first()).map_or("", |report| &report.title);
        let seeds = groups.first().map_or(0, |group| group.reports.len());
        let _ = writeln!(text, "{title}\nseeds {seeds}; mean ± half of the 95 % interval");
        let _ = write!(text, "{:<16}", name.unwrap_or(""));
        for (measure, ..) in MEASURES {
            let _ = write!(text, " {measure:>17}");
        }
        let _ = writeln!(text, " {:>12}", "broken runs");
        for group in groups {
            let _ = write!(text, "{:<16}", group.value.as_deref().unwrap_or("as it is"));
            for (_, digits, of) in MEASURES {
                let values: Vec<f64> = group.reports.iter().map(of).collect();
                let _ = write!(text, " {:>17}", spread(&values, digits));
            }
            let broken = group.reports.iter().filter(|report| !report.holds()).count();
            let _ = writeln!(text, " {broken:>12}");
        }
        for group in groups {
            for report in group.reports.iter().filter(|report| !report.holds()).take(MAX_FINDINGS) {
                let with = group.value.as_ref().map_or(String::new(), |value| format!(", {value}"));
                let _ = writeln!(text, "seed {}{with}:", report.seed);
                write_findings(&mut text, report);
            }
        }
    }
    text
}

fn write_run(text: &mut String, report: &Report) {
    let _ = writeln!(text, "{} (seed {}, {} s)", report.title, report.seed, report.length);
    let _ = writeln!(
        text,
        "{:<16}{:>8}{:>8}{:>8}{:>9}{:>8}{:>11}{:>14}",
        "route", "sent", "served", "in aim", "refused", "failed", "median ms", "99 of 100 ms"
    );
    for class in &report.route_figures {
        let _ = writeln!(
            text,
            "{:<16}{:>8}{:>8}{:>8}{:>9}{:>8}{:>11.1}{:>14.1}",
            class.name,
            class.sent,
            class.served,
            class.aim,
            class.refused,
            class.failed,
            class.latency_ms.0,
            class.latency_ms.1
        );
    }
    let _ = writeln!(
        text,
        "served {:.4}, in aim {:.4}; {} starts, {} stops; {:.1} of {:.1} slots busy; at most {} turned \
            away in 5 s; \
         longest without a lease holder {:.2} s; slowest acknowledgement {:.2} s",
        report.served,
        report.aim,
        report.starts,
        report.stops,
        report.busy(),
        report.slots(),
        report.limit.1,
        report.gap,
        report.slowest_ack,
    );
    write_findings(text, report);
}

fn write_findings(text: &mut String, report: &Report) {
    for finding in report.findings.iter().take(MAX_FINDINGS) {
        let _ = writeln!(text, "  BROKEN {finding}");
    }
    if report.findings.len() > MAX_FINDINGS {
        let _ = writeln!(text, "  and {} more", report.findings.len() - MAX_FINDINGS);
    }
    if report.holds() {
        let _ = writeln!(text, "every rule and expectation holds");
    }
}

/// JSON string literal.
fn json_string(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn json(groups: &[Group], name: Option<&str>) -> String {
    let mut text = String::new();
    for group in groups {
        let value = group.value.as_deref();
        let with = match (name, value) {
            (Some(name), Some(value)) => {
                format!(",\"setting\":{},\"value\":{}", json_string(name), json_string(value))
            }
            _ => String::new(),
        };
        for report in &group.reports {
            json_run(&mut text, report, &with);
        }
        let _ = write!(text, "{{\"kind\":\"all\"{with},\"runs\":{}", group.reports.len());
        for (measure, _, of) in MEASURES {
            let values: Vec<f64> = group.reports.iter().map(of).collect();
            let (mean, half) = mean(&values);
            let half = half.map_or("null".to_string(), |half| half.to_string());
            let _ = write!(
                text,
                ",{}:{{\"mean\":{mean},\"half\":{half}}}",
                json_string(&measure.replace(' ', "_"))
            );
        }
        let broken = group.reports.iter().filter(|report| !report.holds()).count();
        let _ = writeln!(text, ",\"broken\":{broken}}}");
    }
    text
}

fn json_run(text: &mut String, report: &Report, with: &str) {
    let run = format!("\"seed\":{}{with}", report.seed);
    let _ = writeln!(
        text,
        "{{\"kind\":\"run\",{run},\"title\":{},\"seconds\":{},\"served\":{},\"in_aim\":{},\
             \"starts\":{},\"stops\":{},\
         \"turned_away_5s\":{},\"no_holder_s\":{},\"slowest_ack_s\":{},\"holds\":{}}}",
        json_string(&report.title),
        report.length,
        report.served,
        report.aim,
        report.starts,
        report.stops,
        report.limit.1,
        report.gap,
        report.slowest_ack,
        report.holds(),
    );
    for class in &report.route_figures {
        let _ = writeln!(
            text,
            "{{\"kind\":\"route\",{run},\"route\":{},\"sent\":{},\"served\":{},\"in_aim\":{},\"refused\":{},\
             \"failed\":{},\
             \"p50_ms\":{},\"p99_ms\":{}}}",
            json_string(&class.name),
            class.sent,
            class.served,
            class.aim,
            class.refused,
            class.failed,
            class.latency_ms.0,
            class.latency_ms.1,
        );
    }
    for row in &report.rows {
        let _ = writeln!(
            text,
            "{{\"kind\":\"second\",{run},\"second\":{},\"sent\":{},\"served\":{},\"in_aim\":{},\
             \"refused\":{},\"failed\":{},\
             \"full\":{},\"busy\":{},\"slots\":{},\"ready\":{},\"instances\":{},\"revision\":{}}}",
            row.second,
            row.sent,
            row.served,
            row.aim,
            row.refused,
            row.failed,
            row.full,
            row.busy,
            row.slots,
            row.ready,
            row.present,
            row.revision,
        );
    }
    for span in &report.spans {
        let (from, to, what) = (span.from, span.to, json_string(&span.what));
        let _ = writeln!(text, "{{\"kind\":\"event\",{run},\"from\":{from},\"to\":{to},\"what\":{what}}}");
    }
    for held in &report.lease_periods {
        let (from, to, holder, number) = (held.from, held.to, json_string(&held.holder), held.number);
        let _ = writeln!(
            text,
            "{{\"kind\":\"duty\",{run},\"from\":{from},\"to\":{to},\"who\":{holder},\"number\":{number}}}"
        );
    }
    for finding in &report.findings {
        let (rule, at, what) =
            (json_string(&format!("{:?}", finding.rule)), finding.at, json_string(&finding.what));
        let _ = writeln!(text, "{{\"kind\":\"broken\",{run},\"rule\":{rule},\"at\":{at},\"what\":{what}}}");
    }
}
