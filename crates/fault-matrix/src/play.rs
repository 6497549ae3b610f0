//! Plays day files on the bench, a few at a time, and keeps what each gave.

use crate::error::Error;
use crate::site::Site;
use crate::verdict::{Gauges, Report, Verdict};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often a run is asked whether it has ended.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How days are played.
pub struct Play {
    pub bench: PathBuf,
    pub site: PathBuf,
    /// Day, report and output of each run are kept here, in a folder of the deployment's name.
    pub results: PathBuf,
    /// Runs side by side.
    pub jobs: usize,
    /// A run that takes longer is ended.
    pub limit: Duration,
    pub no_cpu: bool,
    /// For the bench's journal.
    pub why: String,
}

/// A day and what came of it.
pub struct Played {
    pub name: String,
    pub verdict: Verdict,
    /// Where the bench gave a report.
    pub gauges: Option<Gauges>,
}

/// The files of one run.
struct Files {
    name: String,
    day: PathBuf,
    report: PathBuf,
    output: PathBuf,
}

impl Play {
    /// Plays all days; `tell` hears of each as it ends. The result is in the order of the days.
    pub fn all(&self, days: &[PathBuf], tell: impl Fn(&Played) + Sync) -> Result<Vec<Played>, Error> {
        let site = Site::read(&self.site)?;
        let folder = self.results.join(&site.name);
        std::fs::create_dir_all(&folder).map_err(|cause| Error::file(&folder, cause))?;
        let next = AtomicUsize::new(0);
        let ended = Mutex::new(Vec::new());
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, days.len().max(1)) {
                scope.spawn(|| self.work(days, &folder, &next, &ended, &tell));
            }
        });
        let mut ended = ended.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
        ended.sort_by_key(|(index, _)| *index);
        ended.into_iter().map(|(_, played)| played).collect()
    }

    /// Takes one day after the other until none is left.
    fn work(
        &self,
        days: &[PathBuf],
        folder: &Path,
        next: &AtomicUsize,
        ended: &Mutex<Vec<(usize, Result<Played, Error>)>>,
        tell: &(impl Fn(&Played) + Sync),
    ) {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(day) = days.get(index) else { return };
            let played = self.one(day, folder);
            if let Ok(played) = &played {
                tell(played);
            }
            ended.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((index, played));
        }
    }

    fn one(&self, day: &Path, folder: &Path) -> Result<Played, Error> {
        let files = Files::of(day, folder)?;
        if files.day != day {
            std::fs::copy(day, &files.day).map_err(|cause| Error::file(day, cause))?;
        }
        // A report of an earlier run would be taken for that of a run that gave none.
        if files.report.exists() {
            std::fs::remove_file(&files.report).map_err(|cause| Error::file(&files.report, cause))?;
        }
        let child = self.start(&files)?;
        let ended = self.wait(child)?;
        let report = match &ended {
            Some(_) if files.report.exists() => Some(Report::read(&files.report)?),
            _ => None,
        };
        let gauges = report.as_ref().map(Gauges::of);
        let verdict = match (ended, report) {
            (_, Some(report)) => Verdict::of(report),
            (Some(status), None) => Verdict::NotPlayed(format!("{status}, {}", last_line(&files.output))),
            (None, None) => Verdict::NotPlayed(format!("longer than {} s", self.limit.as_secs())),
        };
        Ok(Played { name: files.name, verdict, gauges })
    }

    fn start(&self, files: &Files) -> Result<Child, Error> {
        let output = File::create(&files.output).map_err(|cause| Error::file(&files.output, cause))?;
        let errors = output.try_clone().map_err(|cause| Error::file(&files.output, cause))?;
        let mut command = Command::new(&self.bench);
        command
            .arg("run")
            .arg(&self.site)
            .arg(&files.day)
            .args(["--jobs", "1", "--report"])
            .arg(&files.report);
        if self.no_cpu {
            command.arg("--no-cpu");
        }
        command.args(["--why", &format!("{}: {}", self.why, files.name)]);
        command.stdin(Stdio::null()).stdout(output).stderr(errors);
        command.spawn().map_err(|cause| Error::Bench(format!("{}: {cause}", self.bench.display())))
    }

    /// Waits for a run; none if it took too long and was ended.
    fn wait(&self, mut child: Child) -> Result<Option<std::process::ExitStatus>, Error> {
        let failed = |cause: std::io::Error| Error::Bench(format!("waiting for a run: {cause}"));
        let begun = Instant::now();
        loop {
            if let Some(status) = child.try_wait().map_err(failed)? {
                return Ok(Some(status));
            }
            if begun.elapsed() >= self.limit {
                child.kill().and_then(|()| child.wait()).map_err(failed)?;
                return Ok(None);
            }
            std::thread::sleep(LOOK_EVERY);
        }
    }
}

impl Files {
    fn of(day: &Path, folder: &Path) -> Result<Files, Error> {
        let name = day.file_stem().and_then(|stem| stem.to_str());
        let name = name.ok_or_else(|| Error::file(day, "is not the name of a day file"))?.to_string();
        let file = |ending: &str| folder.join(format!("{name}.{ending}"));
        Ok(Files { day: file("toml"), report: file("json"), output: file("out"), name })
    }
}

fn last_line(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().rev().find(|line| !line.trim().is_empty()).unwrap_or("no output").to_string()
}

/// Day files: those named, and those in the folders named, in order.
pub fn day_files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
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

/// The files of a folder with this ending, by name.
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
