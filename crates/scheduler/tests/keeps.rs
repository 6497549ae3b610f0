//! A keeper that supervises real schedulers, and staged program upgrades through it.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use tindock_scheduler_config::{digest, digest_of};
use tindock_scheduler_test_kit::fleet::{rollout, until, Fleet, Keeper};
use tindock_scheduler_test_kit::peers::{program, try_call};

/// Writes a program of another digest: a shell script that runs `first`, then the real program.
fn wrapper_program(folder: &Path, name: &str, first: &str) {
    let path = folder.join(name);
    let text = format!("#!/bin/sh\n# {name}\n{first}\nexec {} \"$@\"\n", program().display());
    fs::write(&path, text).expect("a program");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("executable");
}

/// Writes a copy of the program with some bytes appended, so that it has another digest; returns the digest.
fn padded_program(folder: &Path, name: &str) -> String {
    let mut text = fs::read(program()).expect("the program");
    text.extend_from_slice(name.as_bytes());
    let path = folder.join(name);
    fs::write(&path, &text).expect("a program");
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("executable");
    digest(text)
}

fn current_digest() -> String {
    fs::File::open(program()).and_then(digest_of).expect("the program")
}

fn programs(fleet: &Fleet, keeper: &Keeper) -> Vec<String> {
    fleet.nodes.iter().map(|node| keeper.status_field(&node.name, "program")).collect()
}

/// Stops the keeper and its schedulers, also when a test panics.
struct StopOnDrop<'a>(&'a mut Fleet, &'a mut Keeper);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.1.log());
        }
        self.1.kill();
        self.0.kill_all();
    }
}

/// Guards against a program upgrade that loses tasks or stops half way: all schedulers are upgraded in stages
/// under load, by handover, and the upgrade is undone again.
#[test]
fn a_program_upgrade_and_its_undo_reach_all_and_lose_no_task() {
    let (mut fleet, mut keeper) = Fleet::start_with_keeper("programs", 3);
    let new = padded_program(&fleet.folder, "tindock-next");
    let plan = fleet.program_plan("next", "tindock-next", &keeper, "");
    let guard = StopOnDrop(&mut fleet, &mut keeper);
    guard.0.load();
    guard.0.wait_for_answers(100);
    let (code, output) = rollout("run", &plan);
    assert_eq!(code, Some(0), "{output}");
    assert_eq!(programs(guard.0, guard.1), vec![new; 3]);
    let (code, output) = rollout("undo", &plan);
    assert_eq!(code, Some(0), "{output}");
    assert_eq!(programs(guard.0, guard.1), vec![current_digest(); 3]);
    assert_eq!(guard.0.violations(), [""; 0]);
}

/// Guards against an outage by a new program that exits before it serves: the old one keeps serving, and the
/// run stops at the first scheduler.
#[test]
fn a_new_program_that_exits_early_is_rolled_back() {
    let (mut fleet, mut keeper) = Fleet::start_with_keeper("ends", 3);
    wrapper_program(&fleet.folder, "tindock-broken", "exit 3");
    let plan = fleet.program_plan("broken", "tindock-broken", &keeper, "change-within = \"6s\"");
    let guard = StopOnDrop(&mut fleet, &mut keeper);
    guard.0.load();
    let (code, output) = rollout("run", &plan);
    assert!(
        code == Some(1) && output.contains("n0 refused: the new program exited before it served"),
        "{code:?} {output}"
    );
    assert_eq!(programs(guard.0, guard.1), vec![current_digest(); 3]);
    assert!(guard.1.log().contains("the new program exited before it served"), "{}", guard.1.log());
    assert_eq!(guard.0.violations(), [""; 0]);
}

/// Guards against a keeper whose exit stops its schedulers, or whose restart starts a second process for
/// them; and against a crashed scheduler that is not restarted.
#[test]
fn a_restarted_keeper_adopts_its_schedulers_and_restarts_crashed_ones() {
    let (mut fleet, mut keeper) = Fleet::start_with_keeper("found", 2);
    let guard = StopOnDrop(&mut fleet, &mut keeper);
    guard.0.load();
    guard.0.wait_for_answers(50);
    let pids = |fleet: &Fleet| -> Vec<String> {
        let versions =
            fleet.nodes.iter().map(|node| try_call(node.management, b"version\n").unwrap_or_default());
        versions
            .map(|version| {
                version.split("\"pid\":").nth(1).and_then(|s| s.split(',').next()).unwrap_or("").into()
            })
            .collect()
    };
    let before = pids(guard.0);
    guard.1.kill();
    // Service does not depend on the keeper.
    guard.0.wait_for_answers(50);
    guard.1.start();
    assert_eq!(pids(guard.0), before);
    assert_eq!(guard.0.violations(), [""; 0]);
    let kill = std::process::Command::new("kill").args(["-KILL", &before[0]]).status();
    assert!(kill.expect("kill").success());
    until("another process", || {
        let now = pids(guard.0);
        !now[0].is_empty() && now[0] != before[0]
    });
    assert!(guard.1.log().contains("started again in"), "{}", guard.1.log());
}
