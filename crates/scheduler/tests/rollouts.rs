//! A change in stages over several real schedulers, with faults between them; judged from what clients got and workers
//! ran.

use std::fs;
use std::io::{Read, Write};
use std::path::Path;
use std::time::{Duration, Instant};
use tindock_berth::digest;
use tindock_trial::checks::{least_service, service};
use tindock_trial::fleet::{rollout, settings, until, Coordinator, Fleet};
use tindock_trial::peers::{listener, serve_each};
use tindock_trial::relays::Fault;

/// New settings that change nothing for the clients.
fn good() -> String {
    format!(r#"{{"settings":{}}}"#, settings(5.0))
}

/// These pass every check, and no task ends in time.
fn harmful() -> String {
    format!(r#"{{"settings":{}}}"#, settings(0.01))
}

/// What the files of a run say for each scheduler, by digest.
fn digests(fleet: &Fleet, run: &str, ending: &str) -> Vec<String> {
    let text = |name: &str| fs::read_to_string(fleet.folder.join(format!("{run}-record/{name}.{ending}")));
    fleet.nodes.iter().map(|node| digest(text(&node.name).expect("a text of the record"))).collect()
}

fn status(plan: &Path) -> serde_json::Value {
    let mut command = std::process::Command::new(tindock_trial::peers::program());
    let ran = command.args(["rollout", "status", "--format", "json"]).arg(plan).output().expect("a command");
    serde_json::from_slice(&[ran.stdout, ran.stderr].concat()).expect("JSON")
}

/// Whether the log of the run holds these words.
fn recorded(plan: &Path, words: &str) -> bool {
    let log = plan.with_extension("").display().to_string() + "-record/log.jsonl";
    fs::read_to_string(log).is_ok_and(|text| text.contains(words))
}

/// Guards against harm that goes round the fleet: settings that pass every check are stopped at the first scheduler and
/// undone, service of the whole stays, and comes back.
#[test]
fn harmful_settings_are_stopped_at_the_first_scheduler_and_undone() {
    let mut fleet = Fleet::start("harmful", 6);
    fleet.load();
    fleet.wait_for_answers(200);
    let (before, files) = (Instant::now(), fleet.files());
    let plan = fleet.plan("harm", &harmful(), "");
    let (code, said) = rollout("run", &plan);
    let after = Instant::now();
    assert_eq!(code, Some(1), "{said}");
    assert!(
        said.contains("stage 1 of 3: n0") && said.contains("do worse") && !said.contains("stage 2"),
        "{said}"
    );
    assert_eq!(fleet.files(), files);
    assert_eq!(fleet.in_force(), digests(&fleet, "harm", "old"));
    fleet.wait_for_answers(300);
    let wrong = fleet.violations();
    assert!(wrong.is_empty(), "{wrong:?}");
    let told = fleet.records();
    let least = least_service(&told, before, after, Duration::from_secs(1));
    assert!(least >= 0.75, "{least}");
    // What was in hand at the undoing ends under the rules it came under.
    let back = service(&told, after + Duration::from_millis(50), Instant::now());
    assert!(back >= 0.98, "{back}");
}

/// Guards against a run that stops, or leaves two behind, for a way that is cut for a while.
#[test]
fn a_good_change_reaches_all_through_a_cut() {
    let mut fleet = Fleet::start("cut", 6);
    fleet.load();
    let plan = fleet.plan("shares", &good(), "change-within = \"20s\"");
    let run = Coordinator::start("run", &plan);
    until("the second stage", || recorded(&plan, r#""stage":1"#));
    // Both are of the stage that comes: one is out of reach, the other's answers come after their time.
    fleet.nodes[4].relay.set(Fault::Refuse);
    fleet.nodes[5].relay.set(Fault::DelayResponses(Duration::from_millis(1500)));
    until("the last stage", || recorded(&plan, r#""stage":2"#));
    until("the cut is felt", || fleet.nodes[4].relay.affected() > 3 && fleet.nodes[5].relay.affected() > 3);
    fleet.nodes[4].relay.set(Fault::None);
    fleet.nodes[5].relay.set(Fault::None);
    let (code, said) = run.end();
    assert_eq!(code, Some(0), "{said}");
    assert_eq!(fleet.in_force(), digests(&fleet, "shares", "new"));
    let told = status(&plan);
    assert_eq!((&told["state"], &told["coordinator"]), (&"done".into(), &"gone".into()), "{told}");
    // Done is not the end of it: it can still be undone.
    let (code, said) = rollout("undo", &plan);
    assert_eq!(code, Some(0), "{said}");
    assert_eq!(fleet.in_force(), digests(&fleet, "shares", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a fleet that stays half changed when the coordinator dies between a file and the word to read it: it
/// is gone on with, or undone, and a new run does not begin over it.
#[test]
fn a_coordinator_that_dies_between_file_and_word_leaves_nothing_half_done() {
    let mut fleet = Fleet::start("killed", 3);
    fleet.load();
    for (run, word, ending) in [("first", "resume", "new"), ("second", "undo", "new")] {
        let before = fleet.in_force();
        let text = if run == "first" { good() } else { format!(r#"{{"settings":{}}}"#, settings(4.0)) };
        let plan = fleet.plan(run, &text, "");
        fleet.nodes[0].relay.set(Fault::DropMatching("reread".into()));
        let struck = fleet.nodes[0].relay.affected();
        let coordinator = Coordinator::start("run", &plan);
        until("the word to read", || fleet.nodes[0].relay.affected() > struck);
        coordinator.kill();
        fleet.nodes[0].relay.set(Fault::None);
        // The file is replaced, what is in force is not; service hangs on none of it.
        assert_eq!(digest(&fleet.files()[0]), digests(&fleet, run, ending)[0]);
        assert_eq!(fleet.in_force(), before);
        let (code, said) = rollout("run", &plan);
        assert_eq!(code, Some(1), "{said}");
        assert!(said.contains("left in the midst"), "{said}");
        let (code, said) = rollout(word, &plan);
        assert_eq!(code, Some(0), "{said}");
        let wanted = digests(&fleet, run, if word == "resume" { "new" } else { "old" });
        assert_eq!((fleet.in_force(), fleet.files().iter().map(digest).collect()), (wanted.clone(), wanted));
    }
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a crash under the new settings that nobody notices, and against one that comes back changed after the
/// undo.
#[test]
fn a_changed_scheduler_that_crashes_stops_the_run_and_comes_back_as_before() {
    let mut fleet = Fleet::start("crashed", 3);
    fleet.load();
    let plan = fleet.plan("crash", &good(), "undo-within = \"20s\"");
    let run = Coordinator::start("run", &plan);
    until("the first is changed", || recorded(&plan, r#""outcome":"done""#));
    fleet.nodes[0].kill();
    // Its file is as before while it is down, so that whoever starts it starts it so.
    until("the run turns", || recorded(&plan, r#""step":"undo""#));
    until("its file is as before", || digest(&fleet.files()[0]) == digests(&fleet, "crash", "old")[0]);
    fleet.nodes[0].start();
    let (code, said) = run.end();
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("n0 gives no answer") || said.contains("n0 ended and began again"), "{said}");
    assert_eq!(fleet.in_force(), digests(&fleet, "crash", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against an exit that says all is well where one could not be undone.
#[test]
fn what_cannot_be_undone_is_named() {
    let mut fleet = Fleet::start("stuck", 3);
    fleet.load();
    let plan = fleet.plan("stuck", &good(), "undo-within = \"2s\"");
    let run = Coordinator::start("run", &plan);
    until("the first is changed", || recorded(&plan, r#""outcome":"done""#));
    // Staff change the file of a changed one by hand: it is theirs, the run leaves it.
    let mine = fleet.files()[0].replace("\"hard_limit_s\": 5", "\"hard_limit_s\": 5.5");
    fs::write(&fleet.nodes[0].configuration, &mine).expect("written");
    fleet.nodes[0].signal("-HUP");
    let (code, said) = run.end();
    assert_eq!(code, Some(3), "{said}");
    assert!(said.contains("not undone: n0") && said.contains("by hand"), "{said}");
    assert_eq!(fleet.files()[0], mine);
    assert_eq!(status(&plan)["state"], "stuck");
    // It is not forgotten: no other run begins over it, and once staff have put their file back it can be settled.
    let (code, said) = rollout("run", &plan);
    assert!(code == Some(1) && said.contains("left in the midst"), "{code:?} {said}");
    let new = fs::read_to_string(fleet.folder.join("stuck-record/n0.new")).expect("a text");
    fs::write(&fleet.nodes[0].configuration, new).expect("written");
    let (code, said) = rollout("resume", &plan);
    assert_eq!(code, Some(1), "{said}");
    assert_eq!(fleet.in_force(), digests(&fleet, "stuck", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against two runs at one fleet, by another name and from another place; and against one told to stop that goes
/// on.
#[test]
fn a_second_run_is_refused_and_staff_can_stop_the_first() {
    let mut fleet = Fleet::start("two-runs", 3);
    fleet.load();
    let first = fleet.plan("one", &good(), "");
    let run = Coordinator::start("run", &first);
    until("the first is changed", || recorded(&first, r#""outcome":"done""#));
    let second = fleet.plan("other", &format!(r#"{{"settings":{}}}"#, settings(3.0)), "");
    let (code, said) = rollout("run", &second);
    assert_eq!(code, Some(1), "{said}");
    let (code, said) = rollout("run", &first);
    assert!(code == Some(1) && said.contains("works on this run"), "{code:?} {said}");
    let (code, said) = rollout("stop", &first);
    assert_eq!(code, Some(0), "{said}");
    let (code, said) = run.end();
    assert!(code == Some(1) && said.contains("told to stop"), "{code:?} {said}");
    assert_eq!(fleet.in_force(), digests(&fleet, "one", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a run that begins over a fleet that is not whole, and against plans that cannot be what was meant.
#[test]
fn a_run_that_cannot_begin_says_why_and_changes_nothing() {
    let mut fleet = Fleet::start("not-begun", 2);
    let files = fleet.files();
    let plan = fleet.plan("same", &format!(r#"{{"settings":{}}}"#, settings(6.0)), "");
    // The same settings in another form are another text: that is a change, and may be checked.
    assert_eq!(rollout("check", &plan).0, Some(0));
    // A scheduler of before this can be asked, and does not know the calls.
    let (stub, at) = listener();
    serve_each(stub, |mut stream| {
        let _ = stream.read(&mut [0; 64]);
        let _ = stream.write_all(b"error \"version\" is no call; those are readyz, telemetry\n");
    });
    let before = fs::read_to_string(&plan).expect("a plan");
    let older = before.replace(&fleet.nodes[0].relay.address.to_string(), &at.to_string());
    fs::write(&plan, older).expect("written");
    let (code, said) = rollout("run", &plan);
    assert!(code == Some(1) && said.contains("n0: \"version\" is no call"), "{code:?} {said}");
    fs::write(&plan, before).expect("written");
    fleet.nodes[1].kill();
    let (code, said) = rollout("check", &plan);
    assert!(code == Some(1) && said.contains("n1: "), "{code:?} {said}");
    assert_eq!(rollout("run", &plan).0, Some(1));
    let broken = fleet.plan("broken", &good().replace("\"hard_limit_s\": 5", "\"hard_limit_s\": 0"), "");
    let (code, said) = rollout("run", &broken);
    assert!(code == Some(1) && said.contains("no positive number"), "{code:?} {said}");
    let odd = fleet.plan("odd", &good(), "worse-by = 7.0");
    let (code, said) = rollout("run", &odd);
    assert!(code == Some(2) && said.contains("odd.toml:9:12: worse-by"), "{code:?} {said}");
    assert_eq!(rollout("status", &fleet.folder.join("none.toml")).0, Some(2));
    assert_eq!(fleet.files(), files);
}

/// Guards against a coordinator that was stopped for longer than its leases, and wakes when another run has the fleet:
/// it finds that out, and changes nothing.
#[test]
fn a_coordinator_that_wakes_late_changes_nothing() {
    let mut fleet = Fleet::start("woken", 3);
    fleet.load();
    let first = fleet.plan("sleeper", &good(), "");
    let sleeper = Coordinator::start("run", &first);
    until("the first is changed", || recorded(&first, r#""outcome":"done""#));
    sleeper.signal("-STOP");
    // What the sleeper has changed is put right by hand first: a run begins over a fleet with one configuration.
    let old = fs::read_to_string(fleet.folder.join("sleeper-record/n0.old")).expect("a text");
    fs::write(&fleet.nodes[0].configuration, old).expect("written");
    fleet.nodes[0].signal("-HUP");
    let second = fleet.plan("second", &format!(r#"{{"settings":{}}}"#, settings(3.0)), "");
    until("the second may begin", || rollout("check", &second).0 == Some(0));
    // It is told so until the leases of the sleeper are out.
    let (mut ended, mut refused) = (None, 0);
    until("the leases are out", || {
        let (code, said) = rollout("run", &second);
        let lease = said.contains("lease: ");
        refused += usize::from(lease);
        ended = (!lease).then_some((code, said));
        ended.is_some()
    });
    assert!(refused > 0 && ended.as_ref().is_some_and(|(code, _)| *code == Some(0)), "{refused} {ended:?}");
    let (files, in_force) = (fleet.files(), fleet.in_force());
    sleeper.signal("-CONT");
    let (code, said) = sleeper.end();
    assert!(code == Some(3) && said.contains("another run has the fleet"), "{code:?} {said}");
    assert_eq!((fleet.files(), fleet.in_force()), (files, in_force));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a scheduler that stands still in the midst of its change, and against a worker that staff have taken
/// out and that a change or its undoing puts back.
#[test]
fn a_scheduler_that_stands_still_stops_the_run_and_bans_hold() {
    let mut fleet = Fleet::start("stopped", 3);
    fleet.load();
    let plan = fleet.plan("still", &good(), "undo-within = \"20s\"");
    let run = Coordinator::start("run", &plan);
    until("the first is changed", || recorded(&plan, r#""outcome":"done""#));
    let out = tindock_trial::peers::call(fleet.nodes[0].management, b"exclude w1\n");
    assert_eq!(out, "done\n");
    fleet.nodes[0].signal("-STOP");
    until("the run turns", || recorded(&plan, r#""step":"undo""#));
    fleet.nodes[0].signal("-CONT");
    let (code, said) = run.end();
    assert!(code == Some(1) && said.contains("n0 gives no answer"), "{code:?} {said}");
    assert_eq!(fleet.in_force(), digests(&fleet, "still", "old"));
    let figures = tindock_trial::peers::call(fleet.nodes[0].management, b"telemetry\n");
    assert!(figures.contains(r#""workers_excluded":1"#), "{figures}");
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against a mixture that lasts: one that is down when its turn comes stops the run, and comes back as the others
/// are.
#[test]
fn one_that_is_down_when_its_turn_comes_stops_the_run() {
    let mut fleet = Fleet::start("down", 3);
    fleet.load();
    let plan = fleet.plan("turn", &good(), "change-within = \"3s\"");
    let run = Coordinator::start("run", &plan);
    until("the first stage", || recorded(&plan, r#""stage":0"#));
    fleet.nodes[2].kill();
    let (code, said) = run.end();
    assert!(code == Some(1) && said.contains("n2 gives no answer"), "{code:?} {said}");
    fleet.nodes[2].start();
    assert_eq!(fleet.in_force(), digests(&fleet, "turn", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}

/// Guards against harm that one workload hides from the sum: only unrepeatable tasks suffer, and they are one in two.
#[test]
fn harm_to_unrepeatable_tasks_alone_is_found() {
    let mut fleet = Fleet::start("unrepeatable", 3);
    fleet.load();
    let (whole, at) = (good(), good().find("fragile").expect("the workload"));
    let harms = whole[..at].to_string()
        + &whole[at..].replace("_s\": 5", "_s\": 0.01").replace("_s\": 2.5", "_s\": 0.005");
    let plan = fleet.plan("some", &harms, "");
    let (code, said) = rollout("run", &plan);
    assert!(code == Some(1) && said.contains("do worse"), "{code:?} {said}");
    assert!(!said.contains("stage 2"), "{said}");
    // What it tells last is what is there.
    let (last, wanted) = (status(&plan), digests(&fleet, "some", "old"));
    assert!(
        last["schedulers"][0]["state"] == "old" && last["schedulers"][0]["settings"] == wanted[0],
        "{last}"
    );
    assert_eq!(fleet.in_force(), digests(&fleet, "some", "old"));
    assert_eq!(fleet.violations(), [""; 0]);
}
