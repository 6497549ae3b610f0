//! Runs scenario files on the bench, several in parallel, and stores the results of each.

use crate::error::Error;
use crate::site::Site;
use crate::verdict::{Margins, Report, Verdict};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Interval at which a run is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How scenarios are run.
pub struct Runner {
    pub bench: PathBuf,
    pub site: PathBuf,
    /// Scenario, report and output of each run are stored here, in a folder of the deployment's name.
    pub results: PathBuf,
    /// Number of parallel runs.
    pub jobs: usize,
    /// A run that takes longer is killed.
    pub limit: Duration,
    pub no_cpu: bool,
    /// Reason, recorded in the bench's journal.
    pub why: String,
}

/// A scenario and its result.
pub struct Outcome {
    pub name: String,
    pub verdict: Verdict,
    /// Present if the bench wrote a report.
    pub margins: Option<Margins>,
}

/// The files of one run.
struct Files {
    name: String,
    scenario: PathBuf,
    report: PathBuf,
    output: PathBuf,
}

impl Runner {
    /// Runs all scenarios; `on_outcome` is called as each ends. The result is in the order of the scenarios.
    pub fn run_all(
        &self,
        scenarios: &[PathBuf],
        on_outcome: impl Fn(&Outcome) + Sync,
    ) -> Result<Vec<Outcome>, Error> {
        let site = Site::read(&self.site)?;
        let folder = self.results.join(&site.name);
        std::fs::create_dir_all(&folder).map_err(|cause| Error::file(&folder, cause))?;
        let next = AtomicUsize::new(0);
        let ended = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, scenarios.len().max(1)) {
                scope.spawn(|| self.run_worker(scenarios, &folder, &next, &ended, &on_outcome));
            }
        });
        let mut ended = ended.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
        ended.sort_by_key(|(index, _)| *index);
        ended.into_iter().map(|(_, outcome)| outcome).collect()
    }

    /// Runs one scenario after the other until none is left.
    fn run_worker(
        &self,
        scenarios: &[PathBuf],
        folder: &Path,
        next: &AtomicUsize,
        ended: &Mutex<Vec<(usize, Result<Outcome, Error>)>>,
        on_outcome: &(impl Fn(&Outcome) + Sync),
    ) {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(scenario) = scenarios.get(index) else { return };
            let outcome = self.run_one(scenario, folder);
            if let Ok(outcome) = &outcome {
                on_outcome(outcome);
            }
            ended.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((index, outcome));
        }
    }

    fn run_one(&self, scenario: &Path, folder: &Path) -> Result<Outcome, Error> {
        let files = Files::of(scenario, folder)?;
        if files.scenario != scenario {
            std::fs::copy(scenario, &files.scenario).map_err(|cause| Error::file(scenario, cause))?;
        }
        // Without this, the report of an earlier run would pass for that of a run that wrote none.
        if files.report.exists() {
            std::fs::remove_file(&files.report).map_err(|cause| Error::file(&files.report, cause))?;
        }
        let child = self.start(&files)?;
        let ended = self.wait(child)?;
        let report = match &ended {
            Some(_) if files.report.exists() => Some(Report::read(&files.report)?),
            _ => None,
        };
        let margins = report.as_ref().map(Margins::of);
        let verdict = match (ended, report) {
            (_, Some(report)) => Verdict::of(report),
            (Some(status), None) => Verdict::NotRun(format!("{status}, {}", last_line(&files.output))),
            (None, None) => Verdict::NotRun(format!("longer than {} s", self.limit.as_secs())),
        };
        Ok(Outcome { name: files.name, verdict, margins })
    }

    fn start(&self, files: &Files) -> Result<Child, Error> {
        let output = File::create(&files.output).map_err(|cause| Error::file(&files.output, cause))?;
        let errors = output.try_clone().map_err(|cause| Error::file(&files.output, cause))?;
        let mut command = Command::new(&self.bench);
        command
            .arg("run")
            .arg(&self.site)
            .arg(&files.scenario)
            .args(["--jobs", "1", "--report"])
            .arg(&files.report);
        if self.no_cpu {
            command.arg("--no-cpu");
        }
        command.args(["--why", &format!("{}: {}", self.why, files.name)]);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        command.spawn().map_err(|cause| Error::Bench(format!("{}: {cause}", self.bench.display())))
    }

    /// Waits for a run; `None` if it exceeded the limit and was killed.
    fn wait(&self, mut child: Child) -> Result<Option<std::process::ExitStatus>, Error> {
        let failed = |cause: std::io::Error| Error::Bench(format!("waiting for a run: {cause}"));
        let started = Instant::now();
        loop {
            if let Some(status) = child.try_wait().map_err(failed)? {
                return Ok(Some(status));
            }
            if started.elapsed() >= self.limit {
                child.kill().and_then(|()| child.wait()).map_err(failed)?;
                return Ok(None);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Files {
    fn of(scenario: &Path, folder: &Path) -> Result<Files, Error> {
        let name = scenario.file_stem().and_then(|stem| stem.to_str());
        let name =
            name.ok_or_else(|| Error::file(scenario, "is not the name of a scenario file"))?.to_string();
        let file = |ending: &str| folder.join(format!("{name}.{ending}"));
        Ok(Files { scenario: file("toml"), report: file("json"), output: file("out"), name })
    }
}

fn last_line(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or("no output").to_string()
}

/// Scenario files: the named ones, and those in the named folders, in order.
pub fn scenario_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(files_ending(path, "toml")?);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

/// The files of a folder with this extension, sorted by name.
pub fn files_ending(folder: &Path, ending: &str) -> Result<Vec<PathBuf>, Error> {
    let entries = std::fs::read_dir(folder).map_err(|cause| Error::file(folder, cause))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|cause| Error::file(folder, cause))?.path();
        if path.extension().is_some_and(|found| found == ending) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
