//! Summarises runs: for each kind and deployment the number of runs, the failures, and the worth (score).

use crate::error::Error;
use crate::runner::files_ending;
use crate::verdict::{Event, Report, Verdict};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::Path;

/// A scenario that was run on a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    pub site: String,
    pub scenario: String,
    /// Kinds that took place, each once.
    pub kinds: BTreeSet<String>,
    /// Kinds that the scenario requested but that never took place.
    pub not_triggered: BTreeSet<String>,
    pub verdict: Verdict,
}

/// Scenarios with one kind on one deployment.
#[derive(Debug, Default, Clone, PartialEq)]
struct Cell {
    runs: usize,
    failed: usize,
    worths: Vec<f64>,
}

/// The parts of a scenario file that hold its kinds.
#[derive(Deserialize)]
struct ScenarioFile {
    #[serde(rename = "day")]
    scenarios: Vec<ScenarioKinds>,
}

#[derive(Deserialize)]
struct ScenarioKinds {
    #[serde(default)]
    plan: Vec<EntryKind>,
    #[serde(default)]
    faults: Vec<EntryKind>,
    closing: Option<EntryKind>,
}

#[derive(Deserialize)]
struct EntryKind {
    kind: String,
}

/// Reads the runs in a folder of results: a folder for each deployment, in it the files of its runs.
pub fn read_results(results: &Path) -> Result<Vec<Run>, Error> {
    let entries = std::fs::read_dir(results).map_err(|cause| Error::file(results, cause))?;
    let mut runs = Vec::new();
    for entry in entries {
        let folder = entry.map_err(|cause| Error::file(results, cause))?.path();
        if folder.is_dir() {
            runs.extend(read_site(&folder)?);
        }
    }
    runs.sort_by(|one, other| (&one.site, &one.scenario).cmp(&(&other.site, &other.scenario)));
    Ok(runs)
}

fn read_site(folder: &Path) -> Result<Vec<Run>, Error> {
    let site = folder.file_name().and_then(|name| name.to_str()).unwrap_or_default();
    files_ending(folder, "toml")?.iter().map(|scenario| read_run(site, scenario)).collect()
}

fn read_run(site: &str, scenario: &Path) -> Result<Run, Error> {
    let text = std::fs::read_to_string(scenario).map_err(|cause| Error::file(scenario, cause))?;
    let kinds = kinds_of(&text).map_err(|cause| Error::content(scenario.display().to_string(), cause))?;
    let report = scenario.with_extension("json");
    let report = if report.exists() { Some(Report::read(&report)?) } else { None };
    let name = scenario.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
    Ok(Run::of(site, name, kinds, report))
}

impl Run {
    /// The run of a scenario that requested these kinds, from its report.
    pub fn of(site: &str, scenario: &str, requested: BTreeSet<String>, report: Option<Report>) -> Run {
        let triggered = |report: &Report| {
            report.events.iter().filter(|event| event.hit_target()).map(Event::kind_name).collect()
        };
        let kinds: BTreeSet<String> = report.as_ref().map(triggered).unwrap_or_default();
        let not_triggered = match report {
            Some(_) => requested.difference(&kinds).cloned().collect(),
            None => BTreeSet::new(),
        };
        let verdict = report.map_or_else(|| Verdict::NotRun("no report".into()), Verdict::of);
        Run { site: site.into(), scenario: scenario.into(), kinds, not_triggered, verdict }
    }
}

/// The kinds of a scenario file, each once.
pub fn kinds_of(text: &str) -> Result<BTreeSet<String>, String> {
    let file: ScenarioFile = toml::from_str(text).map_err(|cause| cause.to_string())?;
    let mut kinds = BTreeSet::new();
    for scenario in file.scenarios {
        kinds.extend(scenario.plan.into_iter().chain(scenario.faults).map(|entry| entry.kind));
        kinds.extend(scenario.closing.map(|closing| format!("closing {}", closing.kind)));
    }
    Ok(kinds)
}

/// The table of kinds and deployments, and the failed scenarios, in Markdown.
pub fn markdown(runs: &[Run]) -> String {
    let sites: BTreeSet<&str> = runs.iter().map(|run| run.site.as_str()).collect();
    let mut text = kind_table(runs, &sites);
    text.push_str(&failed_scenarios(runs));
    text.push_str(&not_triggered(runs));
    text
}

fn kind_table(runs: &[Run], sites: &BTreeSet<&str>) -> String {
    let mut cells: BTreeMap<(&str, &str), Cell> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.verdict.was_run()) {
        for kind in run.kinds.iter().map(String::as_str).chain([ALL_SCENARIOS]) {
            cells.entry((kind, run.site.as_str())).or_default().add(&run.verdict);
        }
    }
    let kinds: BTreeSet<&str> =
        cells.keys().map(|(kind, _)| *kind).filter(|kind| *kind != ALL_SCENARIOS).collect();
    let mut text =
        String::from("Days played, days that broke, and the least and mean worth of a day:\n\n| kind |");
    for site in sites {
        let _ = write!(text, " {site} |");
    }
    text.push_str("\n| --- |");
    text.push_str(&" --- |".repeat(sites.len()));
    text.push('\n');
    for kind in kinds.into_iter().chain([ALL_SCENARIOS]) {
        let _ = write!(text, "| {kind} |");
        for site in sites {
            let cell = cells.get(&(kind, *site)).map(Cell::text).unwrap_or_default();
            let _ = write!(text, " {cell} |");
        }
        text.push('\n');
    }
    text
}

/// The table row over all scenarios.
const ALL_SCENARIOS: &str = "all days";

impl Cell {
    fn add(&mut self, verdict: &Verdict) {
        self.runs += 1;
        self.failed += usize::from(verdict.is_failure());
        self.worths.extend(verdict.worth());
    }

    fn text(&self) -> String {
        let Some(min) = self.worths.iter().copied().reduce(f64::min) else {
            return format!("{}, {}", self.runs, self.failed);
        };
        let mean = self.worths.iter().sum::<f64>() / self.worths.len() as f64;
        format!("{}, {}, {min:.2} {mean:.2}", self.runs, self.failed)
    }
}

/// Kinds that were requested but never took place: that run says nothing about them.
fn not_triggered(runs: &[Run]) -> String {
    let listed: Vec<&Run> = runs.iter().filter(|run| !run.not_triggered.is_empty()).collect();
    if listed.is_empty() {
        return String::new();
    }
    let mut text = String::from("\n| deployment | day | asked for, never came |\n| --- | --- | --- |\n");
    for run in listed {
        let kinds: Vec<&str> = run.not_triggered.iter().map(String::as_str).collect();
        let _ = writeln!(text, "| {} | {} | {} |", run.site, run.scenario, kinds.join(", "));
    }
    text
}

fn failed_scenarios(runs: &[Run]) -> String {
    let listed: Vec<&Run> =
        runs.iter().filter(|run| run.verdict.is_failure() || !run.verdict.was_run()).collect();
    if listed.is_empty() {
        return String::from("\nNo day broke a rule or missed the gate.\n");
    }
    let mut text = String::from("\n| deployment | day | what came of it |\n| --- | --- | --- |\n");
    for run in listed {
        let _ = writeln!(text, "| {} | {} | {} |", run.site, run.scenario, run.verdict);
    }
    text
}
