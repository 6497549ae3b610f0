//! A keeper over real schedulers, and programs that go round them in stages.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tindock_berth::{digest, digest_of};
use tindock_trial::fleet::{rollout, until, Fleet, Keeper};
use tindock_trial::peers::{program, try_call};

/// Another program that does the same: another file, so another digest.
fn another(folder: &Path, name: &str, first: &str) {
    let path = folder.join(name);
    let text = format!("#!/bin/sh\n# {name}\n{first}\nexec {} \"$@\"\n", program().display());
    fs::write(&path, text).expect("a program");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("to be run");
}

/// The same program with some bytes behind its end, so that it tells another digest of itself.
fn longer(folder: &Path, name: &str) -> String {
    let mut text = fs::read(program()).expect("the program");
    text.extend_from_slice(name.as_bytes());
    let path = folder.join(name);
    fs::write(&path, &text).expect("a program");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("to be run");
    digest(text)
}

fn old() -> String {
    fs::File::open(program()).and_then(digest_of).expect("the program")
}

fn programs(fleet: &Fleet, keeper: &Keeper) -> Vec<String> {
    fleet.nodes.iter().map(|node| keeper.status_field(&node.name, "program")).collect()
}

/// Ends what the keeper has started, also when a test panics.
struct Ends<'a>(&'a mut Fleet, &'a mut Keeper);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.1.log());
        }
        self.1.kill();
        self.0.kill_all();
    }
}

/// Guards against an upgrade that loses tasks, or stops half way: a new program goes round all in stages under load, by
/// handover, and can be undone.
#[test]
fn a_new_program_goes_round_and_back() {
    let (mut fleet, mut keeper) = Fleet::start_with_keeper("programs", 3);
    let new = longer(&fleet.folder, "tindock-next");
    let plan = fleet.program_plan("next", "tindock-next", &keeper, "");
    let ends = Ends(&mut fleet, &mut keeper);
    ends.0.load();
    ends.0.wait_for_answers(100);
    let (code, said) = rollout("run", &plan);
    assert_eq!(code, Some(0), "{said}");
    assert_eq!(programs(ends.0, ends.1), vec![new; 3]);
    let (code, said) = rollout("undo", &plan);
    assert_eq!(code, Some(0), "{said}");
    assert_eq!(programs(ends.0, ends.1), vec![old(); 3]);
    assert_eq!(ends.0.violations(), [""; 0]);
}

/// Guards against a program that does not serve, or ends soon after: the old one goes on, or is back, and the run stops
/// at the first scheduler.
#[test]
fn a_program_that_ends_is_gone_back_on() {
    let (mut fleet, mut keeper) = Fleet::start_with_keeper("ends", 3);
    another(&fleet.folder, "tindock-broken", "exit 3");
    let plan = fleet.program_plan("broken", "tindock-broken", &keeper, "change-within = \"6s\"");
    let ends = Ends(&mut fleet, &mut keeper);
    ends.0.load();
    let (code, said) = rollout("run", &plan);
    assert!(
        code == Some(1) && said.contains("n0 refused: the new program ended before it served"),
        "{code:?} {said}"
    );
    assert_eq!(programs(ends.0, ends.1), vec![old(); 3]);
    assert!(ends.1.log().contains("the new program ended before it served"), "{}", ends.1.log());
    assert_eq!(ends.0.violations(), [""; 0]);
}

/// Guards against a keeper whose end takes schedulers with it, or whose next start begins a second process over them;
/// and against a crash that nobody answers.
#[test]
fn a_keeper_finds_what_it_left_and_answers_crashes() {
    let (mut fleet, mut keeper) = Fleet::start_with_keeper("found", 2);
    let ends = Ends(&mut fleet, &mut keeper);
    ends.0.load();
    ends.0.wait_for_answers(50);
    let pids = |fleet: &Fleet| -> Vec<String> {
        let said = fleet.nodes.iter().map(|node| try_call(node.management, b"version\n").unwrap_or_default());
        said.map(|said| said.split("\"pid\":").nth(1).and_then(|s| s.split(',').next()).unwrap_or("").into())
            .collect()
    };
    let before = pids(ends.0);
    ends.1.kill();
    // Service does not hang on it.
    ends.0.wait_for_answers(50);
    ends.1.start();
    assert_eq!(pids(ends.0), before);
    assert_eq!(ends.0.violations(), [""; 0]);
    let kill = std::process::Command::new("kill").args(["-KILL", &before[0]]).status();
    assert!(kill.expect("kill").success());
    until("another process", || {
        let now = pids(ends.0);
        !now[0].is_empty() && now[0] != before[0]
    });
    assert!(ends.1.log().contains("started again in"), "{}", ends.1.log());
}
