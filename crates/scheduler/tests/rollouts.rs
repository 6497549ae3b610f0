//! Staged changes over several real schedulers, with network faults injected; checked by the answers that
//! clients received and the tasks that workers ran.

use std::fs;
use std::io::{Read, Write};
use std::path::Path;
use std::time::{Duration, Instant};
use tindock_scheduler_config::digest;
use tindock_scheduler_test_kit::checks::{least_service, service};
use tindock_scheduler_test_kit::fleet::{rollout, settings, until, Coordinator, Fleet};
use tindock_scheduler_test_kit::peers::{listener, serve_each};
use tindock_scheduler_test_kit::relays::Fault;

/// New settings without an effect on clients.
fn harmless() -> String {
    format!(r#"{{"settings":{}}}"#, settings(5.0))
}

/// Settings that pass every check, but under which no task finishes in time.
fn harmful() -> String {
    format!(r#"{{"settings":{}}}"#, settings(0.01))
}

/// Digests of the recorded texts of a run, for each scheduler.
fn digests(fleet: &Fleet, run: &str, ending: &str) -> Vec<String> {
    let text = |name: &str| fs::read_to_string(fleet.folder.join(format!("{run}-record/{name}.{ending}")));
    fleet.nodes.iter().map(|node| digest(text(&node.name).expect("a text of the record"))).collect()
}

fn status(plan: &Path) -> serde_json::Value {
    let mut command = std::process::Command::new(tindock_scheduler_test_kit::peers::program());
    let ran = command.args(["rollout", "status", "--format", "json"]).arg(plan).output().expect("a command");
    serde_json::from_slice(&[ran.stdout, ran.stderr].concat()).expect("JSON")
}

/// Whether the log of the run contains this text.
fn recorded(plan: &Path, part: &str) -> bool {
    let log = plan.with_extension("").display().to_string() + "-record/log.jsonl";
    fs::read_to_string(log).is_ok_and(|text| text.contains(part))
}

/// Guards against harmful settings that reach the whole fleet because they pass every check: they are stopped
/// at the first scheduler and undone, most tasks are still served, and service recovers.
#[test]
fn harmful_settings_are_stopped_at_the_first_scheduler_and_undone() {
    let mut fleet = Fleet::start("harmful", 6);
    fleet.load();
    fleet.wait_for_answers(200);
    let (before, files) = (Instant::now(), fleet.files());
    let plan = fleet.plan("harm", &harmful(), "");
    let (code, output) = rollout("run", &plan);
    let after = Instant::now();
    assert_eq!(code, Some(1), "{output}");
    assert!(
        output.contains("stage 1 of 3: n0") && output.contains("do worse") && !output.contains("stage 2"),
        "{output}"
    );
    assert_eq!(fleet.files(), files);
    assert_eq!(fleet.in_force(), digests(&fleet, "harm", "old"));
    fleet.wait_for_answers(300);
    let wrong = fleet.violations();
    assert!(wrong.is_empty(), "{wrong:?}");
    let report = fleet.records();
    let least = least_service(&report, before, after, Duration::from_secs(1));
    assert!(least >= 0.75, "{least}");
    // Tasks that were in progress at the undo end under the settings under which they arrived.
    let recovered = service(&report, after + Duration::from_millis(50), Instant::now());
    assert!(recovered >= 0.98, "{recovered}");
}

/// Guards against a run that stops, or leaves schedulers unchanged, because of a temporary network fault.
#[test]
fn a_harmless_change_reaches_all_despite_a_temporary_network_fault() {
    let mut fleet = Fleet::start("cut", 6);
    fleet.load();
    let plan = fleet.plan("shares", &harmless(), "change-within = \"20s\"");
    let run = Coordinator::start("run", &plan);
    until("the second stage", || recorded(&plan, r#""stage":1"#));
    // Both are in the next stage: one is unreachable, the other answers too late.
    fleet.nodes[4].relay.set(Fault::Refuse);
    fleet.nodes[5].relay.set(Fault::DelayResponses(Duration::from_millis(1500)));
    until("the last stage", || recorded(&plan, r#""stage":2"#));
    until("both faults had an effect", || {
        fleet.nodes[4].relay.affected() > 3 && fleet.nodes[5].relay.affected() > 3
    });
    fleet.nodes[4].relay.set(Fault::None);
    fleet.nodes[5].relay.set(Fault::None);
    let (code, output) = run.end();
    assert_eq!(code, Some(0), "{output}");
    assert_eq!(fleet.in_force(), digests(&fleet, "shares", "new"));
    let report = status(&plan);
    assert_eq!((&report["state"], &report["coordinator"]), (&"done".into(), &"gone".into()), "{report}");
    // A finished run can still be undone.
    let (code, output) = rollout("undo", &plan);
    assert_eq!(code, Some(0), "{output}");
    assert_eq!(fleet.in_force(), digests(&fleet, "shares", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a fleet that stays half changed when the coordinator dies after it replaced a file and
/// before the scheduler reloaded it: the run can be resumed or undone, and a new one is refused until then.
#[test]
fn a_run_killed_between_file_and_reload_can_be_resumed_or_undone() {
    let mut fleet = Fleet::start("killed", 3);
    fleet.load();
    for (run, command, ending) in [("first", "resume", "new"), ("second", "undo", "new")] {
        let before = fleet.in_force();
        let text = if run == "first" { harmless() } else { format!(r#"{{"settings":{}}}"#, settings(4.0)) };
        let plan = fleet.plan(run, &text, "");
        fleet.nodes[0].relay.set(Fault::DropMatching("reread".into()));
        let struck = fleet.nodes[0].relay.affected();
        let coordinator = Coordinator::start("run", &plan);
        until("the call to reload", || fleet.nodes[0].relay.affected() > struck);
        coordinator.kill();
        fleet.nodes[0].relay.set(Fault::None);
        // The file is replaced, the settings in force are not; service is not affected.
        assert_eq!(digest(&fleet.files()[0]), digests(&fleet, run, ending)[0]);
        assert_eq!(fleet.in_force(), before);
        let (code, output) = rollout("run", &plan);
        assert_eq!(code, Some(1), "{output}");
        assert!(output.contains("was interrupted"), "{output}");
        let (code, output) = rollout(command, &plan);
        assert_eq!(code, Some(0), "{output}");
        let wanted = digests(&fleet, run, if command == "resume" { "new" } else { "old" });
        assert_eq!((fleet.in_force(), fleet.files().iter().map(digest).collect()), (wanted.clone(), wanted));
    }
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a crash under the new settings that goes unnoticed, and against a crashed scheduler that
/// restarts with the new settings after the undo.
#[test]
fn a_crash_under_the_new_settings_stops_the_run_and_the_restart_has_the_old_ones() {
    let mut fleet = Fleet::start("crashed", 3);
    fleet.load();
    let plan = fleet.plan("crash", &harmless(), "undo-within = \"20s\"");
    let run = Coordinator::start("run", &plan);
    until("the first is changed", || recorded(&plan, r#""outcome":"done""#));
    fleet.nodes[0].kill();
    // Its file is restored while it is down, so that a restart has the old settings.
    until("the run turns", || recorded(&plan, r#""step":"undo""#));
    until("its file is as before", || digest(&fleet.files()[0]) == digests(&fleet, "crash", "old")[0]);
    fleet.nodes[0].start();
    let (code, output) = run.end();
    assert_eq!(code, Some(1), "{output}");
    assert!(output.contains("n0 gives no answer") || output.contains("n0 ended and began again"), "{output}");
    assert_eq!(fleet.in_force(), digests(&fleet, "crash", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against an exit code of success although a scheduler could not be undone.
#[test]
fn a_scheduler_that_cannot_be_undone_is_named() {
    let mut fleet = Fleet::start("stuck", 3);
    fleet.load();
    let plan = fleet.plan("stuck", &harmless(), "undo-within = \"2s\"");
    let run = Coordinator::start("run", &plan);
    until("the first is changed", || recorded(&plan, r#""outcome":"done""#));
    // An operator edits the file of a changed scheduler: the run does not overwrite it.
    let edited = fleet.files()[0].replace("\"hard_limit_s\": 5", "\"hard_limit_s\": 5.5");
    fs::write(&fleet.nodes[0].configuration, &edited).expect("written");
    fleet.nodes[0].signal("-HUP");
    let (code, output) = run.end();
    assert_eq!(code, Some(3), "{output}");
    assert!(output.contains("not undone: n0") && output.contains("by hand"), "{output}");
    assert_eq!(fleet.files()[0], edited);
    assert_eq!(status(&plan)["state"], "stuck");
    // No other run can start, and once the operator has restored the file this one can be settled.
    let (code, output) = rollout("run", &plan);
    assert!(code == Some(1) && output.contains("was interrupted"), "{code:?} {output}");
    let new = fs::read_to_string(fleet.folder.join("stuck-record/n0.new")).expect("a text");
    fs::write(&fleet.nodes[0].configuration, new).expect("written");
    let (code, output) = rollout("resume", &plan);
    assert_eq!(code, Some(1), "{output}");
    assert_eq!(fleet.in_force(), digests(&fleet, "stuck", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against two concurrent runs on one fleet, under the same name or another; and against a run that
/// ignores `stop`.
#[test]
fn a_second_run_is_refused_and_an_operator_can_stop_the_first() {
    let mut fleet = Fleet::start("two-runs", 3);
    fleet.load();
    let first = fleet.plan("one", &harmless(), "");
    let run = Coordinator::start("run", &first);
    until("the first is changed", || recorded(&first, r#""outcome":"done""#));
    let second = fleet.plan("other", &format!(r#"{{"settings":{}}}"#, settings(3.0)), "");
    let (code, output) = rollout("run", &second);
    assert_eq!(code, Some(1), "{output}");
    let (code, output) = rollout("run", &first);
    assert!(code == Some(1) && output.contains("works on this run"), "{code:?} {output}");
    let (code, output) = rollout("stop", &first);
    assert_eq!(code, Some(0), "{output}");
    let (code, output) = run.end();
    assert!(code == Some(1) && output.contains("told to stop"), "{code:?} {output}");
    assert_eq!(fleet.in_force(), digests(&fleet, "one", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a run that starts on an incomplete fleet or with an invalid plan.
#[test]
fn a_run_that_cannot_start_reports_why_and_changes_nothing() {
    let mut fleet = Fleet::start("not-begun", 2);
    let files = fleet.files();
    let plan = fleet.plan("same", &format!(r#"{{"settings":{}}}"#, settings(6.0)), "");
    // The same settings formatted differently are another text, which counts as a change.
    assert_eq!(rollout("check", &plan).0, Some(0));
    // A scheduler of an older version, which does not know the calls.
    let (stub, at) = listener();
    serve_each(stub, |mut stream| {
        let _ = stream.read(&mut [0; 64]);
        let _ = stream.write_all(b"error \"version\" is no call; those are readyz, telemetry\n");
    });
    let before = fs::read_to_string(&plan).expect("a plan");
    let older = before.replace(&fleet.nodes[0].relay.address.to_string(), &at.to_string());
    fs::write(&plan, older).expect("written");
    let (code, output) = rollout("run", &plan);
    assert!(code == Some(1) && output.contains("n0: \"version\" is no call"), "{code:?} {output}");
    fs::write(&plan, before).expect("written");
    fleet.nodes[1].kill();
    let (code, output) = rollout("check", &plan);
    assert!(code == Some(1) && output.contains("n1: "), "{code:?} {output}");
    assert_eq!(rollout("run", &plan).0, Some(1));
    let broken = fleet.plan("broken", &harmless().replace("\"hard_limit_s\": 5", "\"hard_limit_s\": 0"), "");
    let (code, output) = rollout("run", &broken);
    assert!(code == Some(1) && output.contains("no positive number"), "{code:?} {output}");
    let odd = fleet.plan("odd", &harmless(), "worse-by = 7.0");
    let (code, output) = rollout("run", &odd);
    assert!(code == Some(2) && output.contains("odd.toml:9:12: worse-by"), "{code:?} {output}");
    assert_eq!(rollout("status", &fleet.folder.join("none.toml")).0, Some(2));
    assert_eq!(fleet.files(), files);
}

/// Guards against a coordinator that was suspended for longer than its leases and continues while another run
/// holds the fleet.
#[test]
fn a_coordinator_resumed_after_its_leases_expired_changes_nothing() {
    let mut fleet = Fleet::start("woken", 3);
    fleet.load();
    let first = fleet.plan("suspended", &harmless(), "");
    let suspended = Coordinator::start("run", &first);
    until("the first is changed", || recorded(&first, r#""outcome":"done""#));
    suspended.signal("-STOP");
    // Its change is first reverted by hand: a new run needs a fleet with consistent settings.
    let old = fs::read_to_string(fleet.folder.join("suspended-record/n0.old")).expect("a text");
    fs::write(&fleet.nodes[0].configuration, old).expect("written");
    fleet.nodes[0].signal("-HUP");
    let second = fleet.plan("second", &format!(r#"{{"settings":{}}}"#, settings(3.0)), "");
    until("the second may begin", || rollout("check", &second).0 == Some(0));
    // The second run is refused until the leases of the first expire.
    let (mut ended, mut refused) = (None, 0);
    until("the leases are out", || {
        let (code, output) = rollout("run", &second);
        let lease = output.contains("lease: ");
        refused += usize::from(lease);
        ended = (!lease).then_some((code, output));
        ended.is_some()
    });
    assert!(refused > 0 && ended.as_ref().is_some_and(|(code, _)| *code == Some(0)), "{refused} {ended:?}");
    let (files, in_force) = (fleet.files(), fleet.in_force());
    suspended.signal("-CONT");
    let (code, output) = suspended.end();
    assert!(code == Some(3) && output.contains("another run has the fleet"), "{code:?} {output}");
    assert_eq!((fleet.files(), fleet.in_force()), (files, in_force));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a run that continues although a changed scheduler hangs, and against a change or undo that
/// lifts an operator's ban of a worker.
#[test]
fn a_scheduler_that_hangs_stops_the_run_and_bans_persist() {
    let mut fleet = Fleet::start("stopped", 3);
    fleet.load();
    let plan = fleet.plan("still", &harmless(), "undo-within = \"20s\"");
    let run = Coordinator::start("run", &plan);
    until("the first is changed", || recorded(&plan, r#""outcome":"done""#));
    let out = tindock_scheduler_test_kit::peers::call(fleet.nodes[0].management, b"exclude w1\n");
    assert_eq!(out, "done\n");
    fleet.nodes[0].signal("-STOP");
    until("the run turns", || recorded(&plan, r#""step":"undo""#));
    fleet.nodes[0].signal("-CONT");
    let (code, output) = run.end();
    assert!(code == Some(1) && output.contains("n0 gives no answer"), "{code:?} {output}");
    assert_eq!(fleet.in_force(), digests(&fleet, "still", "old"));
    let figures = tindock_scheduler_test_kit::peers::call(fleet.nodes[0].management, b"telemetry\n");
    assert!(figures.contains(r#""workers_excluded":1"#), "{figures}");
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a fleet that stays on mixed settings: a scheduler that is down at its stage stops the run,
/// and restarts with the same settings as the others.
#[test]
fn a_scheduler_down_at_its_stage_stops_the_run() {
    let mut fleet = Fleet::start("down", 3);
    fleet.load();
    let plan = fleet.plan("turn", &harmless(), "change-within = \"3s\"");
    let run = Coordinator::start("run", &plan);
    until("the first stage", || recorded(&plan, r#""stage":0"#));
    fleet.nodes[2].kill();
    let (code, output) = run.end();
    assert!(code == Some(1) && output.contains("n2 gives no answer"), "{code:?} {output}");
    fleet.nodes[2].start();
    assert_eq!(fleet.in_force(), digests(&fleet, "turn", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against harm to one workload that the total hides: only unrepeatable tasks fail, half of all tasks.
#[test]
fn harm_to_unrepeatable_tasks_alone_is_detected() {
    let mut fleet = Fleet::start("unrepeatable", 3);
    fleet.load();
    let (text, at) = (harmless(), harmless().find("fragile").expect("the workload"));
    let harms = text[..at].to_string()
        + &text[at..].replace("_s\": 5", "_s\": 0.01").replace("_s\": 2.5", "_s\": 0.005");
    let plan = fleet.plan("some", &harms, "");
    let (code, output) = rollout("run", &plan);
    assert!(code == Some(1) && output.contains("do worse"), "{code:?} {output}");
    assert!(!output.contains("stage 2"), "{output}");
    // The last status shows the restored settings.
    let (last, wanted) = (status(&plan), digests(&fleet, "some", "old"));
    assert!(
        last["schedulers"][0]["state"] == "old" && last["schedulers"][0]["settings"] == wanted[0],
        "{last}"
    );
    assert_eq!(fleet.in_force(), digests(&fleet, "some", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}
