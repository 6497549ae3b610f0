//! The plan of a `tindock rollout` run, in TOML. The keys are listed in `docs/operating/rollout.md`.

use crate::installation::{address, name, number, span, text};
use crate::layers::{Reader, Section};
use crate::toml_file;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    /// The folder of the run's record.
    pub record: PathBuf,
    pub change: Change,
    /// The share of all schedulers changed by the end of each stage: increasing, the last one 1.
    pub shares: Vec<f64>,
    pub watch: Duration,
    pub max_watch: Duration,
    /// A share of tasks, 0 to 1.
    pub worse_by: f64,
    pub false_stop_rate: f64,
    pub change_timeout: Duration,
    pub undo_timeout: Duration,
    pub schedulers: Vec<PlannedScheduler>,
}

/// The change that every scheduler gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The settings of this file.
    Settings(PathBuf),
    /// This program, started by the keeper.
    Program(PathBuf),
}

/// How a scheduler is reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Endpoint {
    /// At its operators' address.
    Management(SocketAddr),
    /// Through its keeper, which starts its processes and knows their address.
    Keeper(SocketAddr),
}

/// One scheduler to be changed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedScheduler {
    pub name: String,
    pub zone: String,
    pub endpoint: Endpoint,
    /// The configuration file that it reads.
    pub configuration: PathBuf,
}

/// Reads a plan; paths in it are relative to the file. Every problem is a line with its place.
pub fn open(path: &Path) -> Result<Plan, Vec<String>> {
    toml_file::open(path, plan)
}

fn plan<'t>(r: &mut Reader<'t>, top: &mut Section<'t>, folder: &Path) -> Option<Plan> {
    let title = r.required(top, "name", name);
    let record = r.required(top, "record", text);
    let mut change = r.section(top, "change");
    let settings = r.optional(&mut change, "settings", text).map(|path| Change::Settings(folder.join(path)));
    let program = r.optional(&mut change, "program", text).map(|path| Change::Program(folder.join(path)));
    r.reject_unknown_keys(&change);
    if settings.is_some() == program.is_some() {
        r.problem(&change.place.clone(), "either settings or program was expected in change");
    }
    let change = settings.or(program);

    let mut s = r.section(top, "stages");
    let shares = r.values(&mut s, "shares", number(0.0, 1.0));
    let increasing = shares.windows(2).all(|pair| pair[0] < pair[1]);
    if shares.is_empty() || !increasing || shares.last() != Some(&1.0) {
        r.problem(&s.place.clone(), "shares; numbers that grow, the last of them 1.0, were expected");
    }
    let watch = r.value(&mut s, "watch", span(SECOND), "30s");
    // With little traffic, up to ten watch periods; a run without a result by then is not worth leaving open.
    let max_watch = r.optional(&mut s, "watch-at-most", span(watch)).unwrap_or(10 * watch);
    let worse_by = r.value(&mut s, "worse-by", number(0.001, 1.0), "0.05");
    let false_stop_rate = r.value(&mut s, "false-stops", number(1e-6, 0.5), "0.01");
    let change_timeout = r.value(&mut s, "change-within", span(SECOND), "10s");
    let undo_timeout = r.value(&mut s, "undo-within", span(SECOND), "1min");
    r.reject_unknown_keys(&s);

    let mut schedulers: Vec<PlannedScheduler> = Vec::new();
    for mut s in r.sections(top, "scheduler") {
        let place = s.place.clone();
        let title = r.required(&mut s, "name", name);
        let zone = r.value(&mut s, "zone", text, "here");
        let before = r.problems.len();
        let management = r.optional(&mut s, "management", address).map(Endpoint::Management);
        let keeper = r.optional(&mut s, "keeper", address).map(Endpoint::Keeper);
        let configuration = r.required(&mut s, "configuration", text).map(|path| folder.join(path));
        r.reject_unknown_keys(&s);
        let has_problem = r.problems.len() > before;
        if !has_problem && management.is_some() == keeper.is_some() {
            r.problem(&place, "either management or keeper was expected for a scheduler");
        }
        if matches!(change, Some(Change::Program(_))) && management.is_some() {
            r.problem(&place, "a program is brought by its keeper; management cannot");
        }
        let (Some(name), Some(endpoint), Some(configuration)) = (title, management.or(keeper), configuration)
        else {
            continue;
        };
        let conflicts = |known: &PlannedScheduler| {
            let same = matches!(endpoint, Endpoint::Management(_)) && known.endpoint == endpoint;
            known.name == name || same || known.configuration == configuration
        };
        if schedulers.iter().any(conflicts) {
            r.problem(&place, format!("scheduler {name:?}: its name, address or file is listed twice"));
        }
        schedulers.push(PlannedScheduler { name, zone, endpoint, configuration });
    }
    if schedulers.is_empty() {
        r.problem(&top.place.clone(), "no [[scheduler]]: there is nothing to change");
    }
    Some(Plan {
        name: title?,
        record: folder.join(record?),
        change: change?,
        shares,
        watch,
        max_watch,
        worse_by,
        false_stop_rate,
        change_timeout,
        undo_timeout,
        schedulers,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const COMPLETE_PLAN: &str = r#"name = "december-shares"
record = "rollout"
[change]
settings = "next.json"
[stages]
shares = [0.17, 0.5, 1.0]
watch = "6s"
[[scheduler]]
name = "n0"
management = "127.0.0.1:7200"
configuration = "n0.json"
"#;

    fn problems(text: &str) -> String {
        let found = toml_file::read("plan.toml", Path::new(""), text, plan).expect_err("problems");
        found.iter().map(|problem| format!("{problem}\n")).collect()
    }

    #[test]
    fn omitted_keys_get_their_defaults() {
        let plan = toml_file::read("plan.toml", Path::new("dir"), COMPLETE_PLAN, plan).expect("a plan");
        assert_eq!((plan.shares.as_slice(), plan.watch), (&[0.17, 0.5, 1.0][..], 6 * SECOND));
        assert_eq!((plan.max_watch, plan.worse_by), (60 * SECOND, 0.05));
        assert_eq!(plan.schedulers[0].configuration, Path::new("dir/n0.json"));
    }

    /// Guards against a plan that is read as another one than intended.
    #[test]
    fn problems_are_reported_with_their_place() {
        let twice =
            format!("{COMPLETE_PLAN}{}", &COMPLETE_PLAN[COMPLETE_PLAN.find("[[").expect("a scheduler")..]);
        let invalid =
            twice.replace("[0.17, 0.5, 1.0]", "[0.5, 0.17]").replace("watch = \"6s\"", "wach = \"6s\"");
        let invalid = invalid.replacen("127.0.0.1:7200", "here", 1).replace("settings", "setings");
        assert_eq!(
            problems(&invalid),
            "plan.toml:3:2: either settings or program was expected in change\n\
             plan.toml:4:1: unknown key \"setings\"; settings was meant?\n\
             plan.toml:5:2: shares; numbers that grow, the last of them 1.0, were expected\n\
             plan.toml:7:1: unknown key \"wach\"; watch was meant?\n\
             plan.toml:10:14: management: \"here\"; address:port was expected\n"
        );
        assert!(problems(&twice).contains("plan.toml:12:1: scheduler \"n0\": its name, address or file"));
        let both = COMPLETE_PLAN.replace("settings = ", "program = \"tindock-next\"\nsettings = ");
        assert!(problems(&both).contains("plan.toml:3:2: either settings or program"));
        let program = COMPLETE_PLAN.replace("settings = ", "program = ");
        assert!(problems(&program).contains("a program is brought by its keeper"));
        let kept = program.replace("management = ", "keeper = ");
        let read = toml_file::read("plan.toml", Path::new(""), &kept, plan).expect("a plan");
        assert!(matches!(
            (read.change, read.schedulers[0].endpoint),
            (Change::Program(_), Endpoint::Keeper(_))
        ));
        assert!(problems("name = ").contains("plan.toml:1:"));
        assert!(problems("").contains("no [[scheduler]]"));
    }
}
