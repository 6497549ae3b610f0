//! The record of a run: each step is on the disk before it is done, so that a run that was killed at any line can be
//! gone on with, or undone. One line of JSON a step; a last line that is torn was not begun, any other that cannot be
//! read is an error with its place.

use super::{StatusForm, Wrong};
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
/// The end of a run that could not undo all.
pub const STUCK: &str = "stuck";

/// One scheduler's two files, by their digests; the texts stand beside, as NAME.old and NAME.new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
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
        schedulers: Vec<Kept>,
    },
    /// Another process goes on with it.
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
    /// The run goes backwards from here on.
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
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    step: Step,
}

/// What a record says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Story {
    pub run: String,
    /// By which schedulers and files know it.
    pub id: String,
    pub number: u64,
    pub kept: Vec<Kept>,
    /// The stage that was begun last.
    pub stage: Option<usize>,
    /// Who may have been changed, by name.
    pub changed: BTreeSet<String>,
    pub turned: Option<String>,
    pub ended: Option<String>,
    /// Bytes of whole lines.
    whole: u64,
}

impl Story {
    /// Ended with all old or all new. Guards against a run that is forgotten with some left as they should not be.
    pub fn is_settled(&self) -> bool {
        self.ended.as_ref().is_some_and(|state| state != STUCK)
    }

    fn read(path: &Path) -> Result<Option<Story>, String> {
        let text = match fs::read_to_string(path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            text => text.map_err(|e| format!("{}: {e}", path.display()))?,
        };
        let mut story = Story::default();
        for (number, line) in text.split_inclusive('\n').enumerate() {
            if !line.ends_with('\n') {
                break;
            }
            let step = serde_json::from_str::<Line>(line).map_err(|e| e.to_string());
            let taken = step.and_then(|line| story.take(line.step, number == 0));
            taken.map_err(|why| format!("{}:{}: {why}", path.display(), number + 1))?;
            story.whole += line.len() as u64;
        }
        Ok((story.whole > 0).then_some(story))
    }

    fn take(&mut self, step: Step, first: bool) -> Result<(), String> {
        if first != matches!(step, Step::Begun { .. }) {
            return Err("a record begins with its step begun, and has one".into());
        }
        match step {
            Step::Begun { version, .. } if version != VERSION => {
                return Err(format!("version {version} is not known"));
            }
            Step::Begun { run, id, number, schedulers, .. } => {
                (self.run, self.id, self.number, self.kept) = (run, id, number, schedulers);
            }
            Step::Taken { number } => (self.number, self.ended) = (number, None),
            Step::Stage { stage } => self.stage = Some(stage),
            Step::Change { who } => drop(self.changed.insert(who)),
            Step::Turn { why } => self.turned = Some(why),
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
    /// Held for as long as this process lives.
    _lock: File,
}

fn plain(path: &Path) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

fn locked(folder: &Path) -> Result<Result<File, String>, String> {
    let path = folder.join(LOCK);
    let Some(mut lock) = disk::locked(&path, Duration::ZERO).map_err(plain(&path))? else {
        return Ok(Err(fs::read_to_string(&path).unwrap_or_default().trim().into()));
    };
    // For whoever wants to know which process it is.
    let tells = lock.set_len(0).and_then(|()| writeln!(lock, "{}", std::process::id()));
    tells.map_err(plain(&path))?;
    Ok(Ok(lock))
}

impl Record {
    /// Opens the record of a folder, alone: a second process is refused. Gives what it says, if it was begun.
    pub fn open(folder: &Path) -> Result<(Self, Option<Story>), String> {
        fs::create_dir_all(folder).map_err(plain(folder))?;
        let lock = locked(folder)?.map_err(|id| {
            format!(
                "{}: process {id} works on this run; `tindock rollout stop` tells it to stop",
                folder.display()
            )
        })?;
        let path = folder.join(LOG);
        let story = Story::read(&path)?;
        let open = File::options().create(true).truncate(false).write(true).open(&path);
        let mut log = open.map_err(plain(&path))?;
        // A torn last line was never acted upon: the next one takes its place.
        let whole = story.as_ref().map_or(0, |story| story.whole);
        log.set_len(whole).and_then(|()| log.seek(SeekFrom::Start(whole))).map_err(plain(&path))?;
        let _ = fs::remove_file(folder.join(STOP));
        Ok((Record { folder: folder.into(), log, _lock: lock }, story))
    }

    /// Puts the log of an ended run aside: this one begins anew.
    pub fn anew(&mut self, number: u64) -> Result<(), String> {
        let path = self.folder.join(LOG);
        let aside = self.folder.join(format!("log-before-{number}.jsonl"));
        let renewed = fs::rename(&path, aside).and_then(|()| File::create(&path));
        self.log = renewed.map_err(plain(&path))?;
        Ok(())
    }

    /// A step is on the disk when this returns.
    pub fn write(&mut self, step: Step) -> Result<(), String> {
        let at_ms = unix_ms();
        let mut line = serde_json::to_vec(&Line { at_ms, step }).map_err(|e| e.to_string())?;
        line.push(b'\n');
        let written = self.log.write_all(&line).and_then(|()| self.log.sync_data());
        written.map_err(plain(&self.folder.join(LOG)))
    }

    pub fn begun(&mut self, run: &str, id: &str, number: u64, schedulers: Vec<Kept>) -> Result<(), String> {
        let (run, id) = (run.into(), id.into());
        self.write(Step::Begun { version: VERSION, run, id, number, schedulers })
    }

    pub fn keep(&self, name: &str, ending: &str, text: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.{ending}"));
        disk::replace(&path, text.as_bytes()).map_err(plain(&path))
    }

    pub fn kept(&self, name: &str, ending: &str) -> Result<String, String> {
        let path = self.folder.join(format!("{name}.{ending}"));
        fs::read_to_string(&path).map_err(plain(&path))
    }

    /// For `status`, which may read it at any time; not needed to go on.
    pub fn tell(&self, status: &serde_json::Value) {
        let path = self.folder.join(STATUS);
        let _ = crate::list::inventory_watch::replace(&path, status.to_string());
    }

    pub fn is_told_to_stop(&self) -> bool {
        self.folder.join(STOP).exists()
    }
}

/// Where the run stands, from its status.
pub fn status(folder: &Path, form: StatusForm) -> Result<String, Wrong> {
    let path = folder.join(STATUS);
    let none =
        |e: std::io::Error| Wrong::not_begun(format!("no run was begun here: {}: {e}", path.display()));
    let text = fs::read_to_string(&path).map_err(none)?;
    let odd = |e: serde_json::Error| Wrong { code: 3, lines: vec![format!("{}: {e}", path.display())] };
    let mut status: serde_json::Value = serde_json::from_str(&text).map_err(odd)?;
    let works = matches!(locked(folder), Ok(Err(_)));
    status["coordinator"] = if works { "works" } else { "gone" }.into();
    let word = |value: &serde_json::Value| value.as_str().map_or_else(|| value.to_string(), String::from);
    let said = match form {
        StatusForm::Json => format!("{status}\n"),
        StatusForm::Text => {
            let top = ["run", "state", "stage", "why", "coordinator"].into_iter();
            let mut said: String = top
                .filter(|key| !status[key].is_null())
                .map(|key| format!("{key}: {}\n", word(&status[key])))
                .collect();
            for one in status["schedulers"].as_array().into_iter().flatten() {
                let short = |key: &str| word(&one[key]).chars().take(12).collect::<String>();
                let (name, state) = (word(&one["name"]), word(&one["state"]));
                let (settings, program) = (short("settings"), short("program"));
                said += &format!("{name}: {state}, settings {settings}, program {program}\n");
            }
            said
        }
    };
    match status["state"].as_str() {
        Some(STUCK) => Err(Wrong { code: 3, lines: said.lines().map(String::from).collect() }),
        _ => Ok(said),
    }
}

pub fn tell_to_stop(folder: &Path) -> Result<String, Wrong> {
    match locked(folder) {
        Ok(Err(id)) => {
            let path = folder.join(STOP);
            File::create(&path).map_err(|e| Wrong::not_begun(plain(&path)(e)))?;
            Ok(format!("process {id} is told to stop and undo\n"))
        }
        Ok(Ok(_)) => Err(Wrong::not_begun(format!(
            "no process works on this run; `undo` undoes it: {}",
            folder.display()
        ))),
        Err(why) => Err(Wrong::not_begun(why)),
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

    /// Guards against a record that is cut anywhere: what was whole counts, what was torn was not done, and the next
    /// step stands where the torn one began.
    #[test]
    fn a_record_cut_at_any_byte_is_read_up_to_its_last_whole_line() {
        let folder = folder("cut");
        let (mut record, story) = Record::open(&folder).expect("a record");
        assert_eq!(story, None);
        record.begun("first", "first.1", 7, Vec::new()).expect("written");
        for step in [Step::Stage { stage: 0 }, change("n0"), Step::Turn { why: "told".into() }] {
            record.write(step).expect("written");
        }
        drop(record);
        let path = folder.join(LOG);
        let whole = fs::read(&path).expect("a log");
        for cut in 0..=whole.len() {
            fs::write(&path, &whole[..cut]).expect("written");
            let (mut record, story) = Record::open(&folder).expect("a record");
            let lines = whole[..cut].iter().filter(|&&b| b == b'\n').count();
            let changed = story.as_ref().is_some_and(|story| story.changed.contains("n0"));
            let turned = story.as_ref().is_some_and(|story| story.turned.is_some());
            assert_eq!((story.is_some(), changed, turned), (lines >= 1, lines >= 3, lines >= 4), "{cut}");
            if lines > 0 {
                record.write(change("n1")).expect("written");
                drop(record);
                let (_, story) = Record::open(&folder).expect("a record that goes on");
                assert!(story.expect("a story").changed.contains("n1"), "{cut}");
            }
        }
        fs::remove_dir_all(&folder).expect("removed");
    }

    #[test]
    fn what_is_no_record_is_said_with_its_place_and_one_process_has_it() {
        let folder = folder("odd");
        let (mut record, _) = Record::open(&folder).expect("a record");
        assert!(Record::open(&folder).err().expect("held").contains(&std::process::id().to_string()));
        record.begun("first", "first.1", 7, Vec::new()).expect("written");
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
