//! The record of a run: a write-ahead log with one line of JSON per step. Each step is on disk before it is
//! carried out, so that a run killed at any point can be resumed or undone. A truncated last line is ignored,
//! since its step was not started; any other unreadable line is an error with its position.

use super::{CommandError, StatusFormat};
use crate::disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{ErrorKind, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const VERSION: u32 = 1;
const LOG: &str = "log.jsonl";
const STATUS: &str = "status.json";
const STOP: &str = "stop";
const LOCK: &str = "lock";
/// Final state of a run that could not undo every change.
pub const STUCK: &str = "stuck";

/// Digests of one scheduler's configuration or program before and after. Configuration texts are in the same
/// folder, as NAME.old and NAME.new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberDigests {
    pub name: String,
    pub old: String,
    pub new: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    Begun {
        version: u32,
        run: String,
        id: String,
        number: u64,
        schedulers: Vec<MemberDigests>,
    },
    /// Another process continues the run.
    Taken {
        number: u64,
    },
    Stage {
        stage: usize,
    },
    Change {
        who: String,
    },
    Changed {
        who: String,
        outcome: String,
    },
    /// From here on the run undoes its changes.
    Turn {
        why: String,
    },
    Undo {
        who: String,
    },
    Undone {
        who: String,
        outcome: String,
    },
    Ended {
        state: String,
    },
}

#[derive(Serialize, Deserialize)]
struct Entry {
    at_ms: u64,
    #[serde(flatten)]
    step: Step,
}

/// The contents of a record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub run: String,
    /// The run's identity in leases and fences.
    pub id: String,
    pub number: u64,
    pub members: Vec<MemberDigests>,
    /// The stage that was started last.
    pub stage: Option<usize>,
    /// Names of the schedulers that may have been changed.
    pub changed: BTreeSet<String>,
    pub undo_reason: Option<String>,
    pub ended: Option<String>,
    /// Length of all complete lines.
    valid_bytes: u64,
}

impl History {
    /// Ended with all schedulers old or all new. A stuck run is not settled, so that it is not replaced by
    /// another one.
    pub fn is_settled(&self) -> bool {
        self.ended.as_ref().is_some_and(|state| state != STUCK)
    }

    fn read(path: &Path) -> Result<Option<History>, String> {
        let text = match fs::read_to_string(path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            text => text.map_err(|e| format!("{}: {e}", path.display()))?,
        };
        let mut history = History::default();
        for (number, line) in text.split_inclusive('\n').enumerate() {
            if !line.ends_with('\n') {
                break;
            }
            let step = serde_json::from_str::<Entry>(line).map_err(|e| e.to_string());
            let applied = step.and_then(|line| history.apply(line.step, number == 0));
            applied.map_err(|why| format!("{}:{}: {why}", path.display(), number + 1))?;
            history.valid_bytes += line.len() as u64;
        }
        Ok((history.valid_bytes > 0).then_some(history))
    }

    fn apply(&mut self, step: Step, first: bool) -> Result<(), String> {
        if first != matches!(step, Step::Begun { .. }) {
            return Err("a record starts with its only `begun` step".into());
        }
        match step {
            Step::Begun { version, .. } if version != VERSION => {
                return Err(format!("version {version} is not supported"));
            }
            Step::Begun { run, id, number, schedulers, .. } => {
                (self.run, self.id, self.number, self.members) = (run, id, number, schedulers);
            }
            Step::Taken { number } => (self.number, self.ended) = (number, None),
            Step::Stage { stage } => self.stage = Some(stage),
            Step::Change { who } => drop(self.changed.insert(who)),
            Step::Turn { why } => self.undo_reason = Some(why),
            Step::Ended { state } => self.ended = Some(state),
            Step::Changed { .. } | Step::Undo { .. } | Step::Undone { .. } => {}
        }
        Ok(())
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub struct Record {
    folder: PathBuf,
    log: File,
    /// Held until this process exits.
    _lock: File,
}

fn io_error(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

/// Locks the folder; the inner error is the id of the process that holds it.
fn lock(folder: &Path) -> Result<Result<File, String>, String> {
    let path = folder.join(LOCK);
    let Some(mut lock) = disk::locked(&path, Duration::ZERO).map_err(io_error(&path))? else {
        return Ok(Err(fs::read_to_string(&path).unwrap_or_default().trim().into()));
    };
    // The id is for error messages of other processes.
    let written = lock.set_len(0).and_then(|()| writeln!(lock, "{}", std::process::id()));
    written.map_err(io_error(&path))?;
    Ok(Ok(lock))
}

impl Record {
    /// Opens and locks the record in a folder; a second process is refused. Also returns its contents, if
    /// any.
    pub fn open(folder: &Path) -> Result<(Self, Option<History>), String> {
        fs::create_dir_all(folder).map_err(io_error(folder))?;
        let lock = lock(folder)?.map_err(|id| {
            format!("{}: process {id} works on this run; `tindock rollout stop` stops it", folder.display())
        })?;
        let path = folder.join(LOG);
        let history = History::read(&path)?;
        let open = File::options().create(true).truncate(false).write(true).open(&path);
        let mut log = open.map_err(io_error(&path))?;
        // The step of a truncated last line was not started: the next line replaces it.
        let valid_bytes = history.as_ref().map_or(0, |history| history.valid_bytes);
        log.set_len(valid_bytes)
            .and_then(|()| log.seek(SeekFrom::Start(valid_bytes)))
            .map_err(io_error(&path))?;
        let _ = fs::remove_file(folder.join(STOP));
        Ok((Record { folder: folder.into(), log, _lock: lock }, history))
    }

    /// Renames the log of an ended run and starts an empty one.
    pub fn start_new_log(&mut self, number: u64) -> Result<(), String> {
        let path = self.folder.join(LOG);
        let archived = self.folder.join(format!("log-before-{number}.jsonl"));
        let renewed = fs::rename(&path, archived).and_then(|()| File::create(&path));
        self.log = renewed.map_err(io_error(&path))?;
        Ok(())
    }

    /// Appends a step; it is on disk when this returns.
    pub fn write(&mut self, step: Step) -> Result<(), String> {
        let at_ms = unix_ms();
        let mut line = serde_json::to_vec(&Entry { at_ms, step }).map_err(|e| e.to_string())?;
        line.push(b'\n');
        let written = self.log.write_all(&line).and_then(|()| self.log.sync_data());
        written.map_err(io_error(&self.folder.join(LOG)))
    }

    pub fn write_begun(
        &mut self,
        run: &str,
        id: &str,
        number: u64,
        schedulers: Vec<MemberDigests>,
    ) -> Result<(), String> {
        let (run, id) = (run.into(), id.into());
        self.write(Step::Begun { version: VERSION, run, id, number, schedulers })
    }

    pub fn save_text(&self, name: &str, ending: &str, text: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.{ending}"));
        disk::replace(&path, text.as_bytes()).map_err(io_error(&path))
    }

    pub fn read_text(&self, name: &str, ending: &str) -> Result<String, String> {
        let path = self.folder.join(format!("{name}.{ending}"));
        fs::read_to_string(&path).map_err(io_error(&path))
    }

    /// Writes the status file for `status`. A resumed run does not need it.
    pub fn write_status(&self, status: &serde_json::Value) {
        let path = self.folder.join(STATUS);
        let _ = crate::list::inventory_watch::replace(&path, status.to_string());
    }

    pub fn stop_requested(&self) -> bool {
        self.folder.join(STOP).exists()
    }
}

/// The progress of the run, from its status file.
pub fn status(folder: &Path, form: StatusFormat) -> Result<String, CommandError> {
    let path = folder.join(STATUS);
    let none = |e: std::io::Error| {
        CommandError::not_started(format!("no run was started here: {}: {e}", path.display()))
    };
    let text = fs::read_to_string(&path).map_err(none)?;
    let unreadable =
        |e: serde_json::Error| CommandError { code: 3, lines: vec![format!("{}: {e}", path.display())] };
    let mut status: serde_json::Value = serde_json::from_str(&text).map_err(unreadable)?;
    let running = matches!(lock(folder), Ok(Err(_)));
    status["coordinator"] = if running { "works" } else { "gone" }.into();
    let text_of = |value: &serde_json::Value| value.as_str().map_or_else(|| value.to_string(), String::from);
    let output = match form {
        StatusFormat::Json => format!("{status}\n"),
        StatusFormat::Text => {
            let top = ["run", "state", "stage", "why", "coordinator"].into_iter();
            let mut lines: String = top
                .filter(|key| !status[key].is_null())
                .map(|key| format!("{key}: {}\n", text_of(&status[key])))
                .collect();
            for one in status["schedulers"].as_array().into_iter().flatten() {
                let short = |key: &str| text_of(&one[key]).chars().take(12).collect::<String>();
                let (name, state) = (text_of(&one["name"]), text_of(&one["state"]));
                let (settings, program) = (short("settings"), short("program"));
                lines += &format!("{name}: {state}, settings {settings}, program {program}\n");
            }
            lines
        }
    };
    match status["state"].as_str() {
        Some(STUCK) => Err(CommandError { code: 3, lines: output.lines().map(String::from).collect() }),
        _ => Ok(output),
    }
}

pub fn request_stop(folder: &Path) -> Result<String, CommandError> {
    match lock(folder) {
        Ok(Err(id)) => {
            let path = folder.join(STOP);
            File::create(&path).map_err(|e| CommandError::not_started(io_error(&path)(e)))?;
            Ok(format!("process {id} will stop and undo\n"))
        }
        Ok(Ok(_)) => Err(CommandError::not_started(format!(
            "no process works on this run; `undo` undoes it: {}",
            folder.display()
        ))),
        Err(why) => Err(CommandError::not_started(why)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("tindock-record-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        folder
    }

    fn change(who: &str) -> Step {
        Step::Change { who: who.into() }
    }

    /// Guards against a record truncated by a crash: complete lines count, a truncated one does not, and the
    /// next step overwrites it.
    #[test]
    fn a_record_cut_at_any_byte_is_read_up_to_its_last_complete_line() {
        let folder = folder("cut");
        let (mut record, history) = Record::open(&folder).expect("a record");
        assert_eq!(history, None);
        record.write_begun("first", "first.1", 7, Vec::new()).expect("written");
        for step in [Step::Stage { stage: 0 }, change("n0"), Step::Turn { why: "told".into() }] {
            record.write(step).expect("written");
        }
        drop(record);
        let path = folder.join(LOG);
        let whole = fs::read(&path).expect("a log");
        for cut in 0..=whole.len() {
            fs::write(&path, &whole[..cut]).expect("written");
            let (mut record, history) = Record::open(&folder).expect("a record");
            let lines = whole[..cut].iter().filter(|&&b| b == b'\n').count();
            let changed = history.as_ref().is_some_and(|history| history.changed.contains("n0"));
            let turned = history.as_ref().is_some_and(|history| history.undo_reason.is_some());
            assert_eq!((history.is_some(), changed, turned), (lines >= 1, lines >= 3, lines >= 4), "{cut}");
            if lines > 0 {
                record.write(change("n1")).expect("written");
                drop(record);
                let (_, history) = Record::open(&folder).expect("the record");
                assert!(history.expect("contents").changed.contains("n1"), "{cut}");
            }
        }
        fs::remove_dir_all(&folder).expect("removed");
    }

    /// Guards against two processes on one record, and against acting on a corrupt one.
    #[test]
    fn a_second_process_is_refused_and_a_corrupt_record_is_an_error_with_its_line() {
        let folder = folder("odd");
        let (mut record, _) = Record::open(&folder).expect("a record");
        assert!(Record::open(&folder).err().expect("held").contains(&std::process::id().to_string()));
        record.write_begun("first", "first.1", 7, Vec::new()).expect("written");
        drop(record);
        let path = folder.join(LOG);
        let good = fs::read_to_string(&path).expect("a log");
        for odd in [
            format!("{good}rubbish\n{good}"),
            format!("{good}{good}"),
            good.replace("\"version\":1", "\"version\":9"),
            "{\"at_ms\":1,\"step\":\"stage\",\"stage\":0}\n".into(),
        ] {
            fs::write(&path, odd).expect("written");
            let why = Record::open(&folder).err().expect("an error");
            assert!(why.contains("log.jsonl:1: ") || why.contains("log.jsonl:2: "), "{why}");
        }
        fs::remove_dir_all(&folder).expect("removed");
    }
}
