//! One policy for a group of real schedulers, with network faults injected: as clients see it, a policy is in
//! force at all members or at none.

use std::fs;
use std::time::{Duration, Instant};
use tindock_scheduler_test_kit::checks::service;
use tindock_scheduler_test_kit::fleet::until;
use tindock_scheduler_test_kit::group::{exit_and_output, Group, MAX_OVERLAP};
use tindock_scheduler_test_kit::mocks::TaskEnd;
use tindock_scheduler_test_kit::relays::LinkState;

fn founded(name: &str, schedulers: usize) -> Group {
    Group::start_with_policy(name, schedulers, |_| String::new())
}

/// Whether a scheduler finished a task under this policy that a client sent after `from`.
fn served_after(group: &Group, number: usize, at: usize, from: Instant) -> bool {
    group
        .records(number)
        .iter()
        .any(|record| record.to == at && record.end == TaskEnd::Finished && record.sent > from)
}

/// Guards against a change that is in force at some members only, or that costs tasks although all members
/// are up.
#[test]
fn a_policy_reaches_all_members_without_lost_tasks() {
    let mut group = founded("round", 5);
    let before = Instant::now();
    let (code, output) = group.propose(3, 2);
    assert_eq!((code, output.as_str()), (Some(0), "policy number 2 is in force everywhere\n"));
    group.until_in_force(2, &group.all());
    group.all().iter().for_each(|at| group.until_finished(2, *at));
    let after = Instant::now();
    let lost =
        group.fleet.records().iter().filter(|t| t.answered > before && t.end != TaskEnd::Finished).count();
    assert_eq!((lost, service(&group.fleet.records(), before, after)), (0, 1.0));
    let (_, diff) = group.command(1, &["diff", "1", "2"]);
    assert!(diff.contains("-name = \"under-1\"") && diff.contains("+name = \"under-2\""), "{diff}");
    let (_, history) = group.command(1, &["history"]);
    assert_eq!(history.lines().count(), 2, "{history}");
    let (_, members) = group.command(1, &["members"]);
    assert_eq!(members.matches(" decides number 2 heard ").count(), 5, "{members}");
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that was down and serves under its old policy after a restart.
#[test]
fn a_restarted_member_serves_under_the_new_policy_only() {
    // Three members are voters; the one that is down is not.
    let mut group = Group::start_with_policy("down", 5, |_| "voters = 3\n".into());
    group.fleet.nodes[4].kill();
    let began = Instant::now();
    let (code, output) = group.propose(0, 2);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.ends_with("serving under no older one: n4\n"), "{output}");
    // It may have served until its lease expired.
    assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
    let back = Instant::now();
    group.fleet.nodes[4].start();
    group.until_in_force(2, &[4]);
    group.until_finished(2, 4);
    assert!(!served_after(&group, 1, 4, back));
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that cannot catch up because the others no longer store any number that it knows.
#[test]
fn a_member_that_missed_ten_changes_applies_the_last_one() {
    let mut group = Group::start_with_policy("ten", 4, |_| "voters = 3\n".into());
    group.fleet.nodes[3].kill();
    let mut begun = Vec::new();
    for number in 2..=11 {
        let file = group.file(number, "").display().to_string();
        begun.push(group.begin(number % 3, &["propose", &file]));
        group.until_in_force(number, &[0, 1, 2]);
    }
    for child in begun {
        let (code, output) = exit_and_output(child.wait_with_output().expect("its end"));
        assert_eq!(code, Some(0), "{output}");
    }
    group.fleet.nodes[3].start();
    group.until_in_force(11, &group.all());
    // It never received the policies between, or only by delayed messages.
    let (_, history) = group.command(3, &["history"]);
    let numbers: Vec<&str> = history.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(
        numbers.first() == Some(&"1") && numbers.last() == Some(&"11") && numbers.len() < 11,
        "{history}"
    );
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that stays out of the group after a new process took over its folder and never
/// served.
#[test]
fn the_old_process_rejoins_the_group_when_the_new_one_exits() {
    let group = founded("back", 3);
    let address = group.fleet.nodes[1].address;
    for _ in 0..2 {
        let mut second = group.fleet.nodes[1].spawn_second();
        until("the new process has the folder", || {
            group.fleet.nodes[1].query("policy").contains("has its place")
        });
        second.kill().and_then(|()| second.wait()).expect("killed");
        until("the old process has it again", || group.serves(1));
        group.until_finished(1, 1);
    }
    let (code, output) = group.propose(1, 2);
    assert_eq!(code, Some(0), "{output}");
    group.until_in_force(2, &group.all());
    assert_eq!(group.fleet.nodes[1].address, address);
    let records = group.fleet.records();
    // Only clients connected to the killed process may have lost their tasks.
    let lost = records.iter().filter(|t| !matches!(t.end, TaskEnd::Finished | TaskEnd::NoResponse)).count();
    assert_eq!(lost, 0);
}

/// Guards against a policy that is decided although one member cannot serve under it; the operator gets the
/// reason.
#[test]
fn a_policy_refused_by_one_member_is_in_force_nowhere() {
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let at = |port: u16| format!("\"127.{}.{low}.255:{port}\"", high.max(1));
    let peers = |n: usize| match n {
        3 => format!("[peers]\nlisten = {}\nall = [{}, {}]\n", at(7999), at(7998), at(7999)),
        _ => String::new(),
    };
    let mut group = Group::start("refused", 5, peers);
    for (number, schedulers, expected) in [(1, 5, Some(0)), (2, 1, Some(1))] {
        let file = group.file(number, &format!("schedulers = {schedulers}"));
        let (code, output) = group.command(0, &["propose", &file.display().to_string()]);
        assert_eq!(code, expected, "{output}");
        if code == Some(1) {
            assert!(
                output.contains("in force nowhere: n3: ") && output.contains("peers.all names 2"),
                "{output}"
            );
        }
    }
    group.until_in_force(1, &group.all());
    for at in group.all() {
        until("nothing is staged", || group.status_field(at, "\"staged\":").as_deref() == Some("null"));
    }
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that was suspended during a decision and then serves its queued tasks under the
/// old policy.
#[test]
fn a_suspended_member_does_not_resume_under_the_old_policy() {
    let mut group = founded("still", 5);
    let stopped = Instant::now();
    group.fleet.nodes[4].signal("-STOP");
    let (code, output) = group.propose(0, 2);
    assert_eq!(code, Some(0), "{output}");
    group.fleet.nodes[4].signal("-CONT");
    group.until_in_force(2, &[4]);
    group.until_finished(2, 4);
    // Its clients had tasks in its queue when it was suspended; one may have been accepted just before.
    let late = |t: &tindock_scheduler_test_kit::mocks::TaskRecord| {
        t.to == 4 && t.end == TaskEnd::Finished && t.sent > stopped + Duration::from_millis(100)
    };
    assert!(!group.records(1).iter().any(late));
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a split brain: two partitions with different policies, or a minority that keeps serving
/// under a policy that may be outdated.
#[test]
fn in_a_partition_the_majority_decides_and_the_minority_stops_serving() {
    let mut group = founded("halves", 5);
    group.set_links(&[0, 1], &[2, 3, 4], LinkState::Cut);
    let small = group.begin(0, &["propose", &group.file(3, "").display().to_string(), "--within", "3"]);
    let cut = Instant::now();
    let (code, output) = group.propose(2, 2);
    assert_eq!(code, Some(0), "{output}");
    let (code, output) = exit_and_output(small.wait_with_output().expect("its end"));
    assert_eq!(code, Some(1), "{output}");
    assert!(output.contains("in force nowhere: no answer from n2, n3, n4"), "{output}");
    for at in [0, 1] {
        until("the minority stops serving", || !group.serves(at));
        assert!(!group.fleet.nodes[at].is_ready());
        assert!(!served_after(&group, 1, at, cut + MAX_OVERLAP));
    }
    group.heal();
    group.until_in_force(2, &group.all());
    group.all().iter().for_each(|at| group.until_finished(2, *at));
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a policy in force at some members only when each reaches only some others. Once the network
/// is healed it is in force at all or none.
#[test]
fn with_one_way_link_failures_a_policy_is_in_force_at_all_or_none() {
    let mut group = founded("ring", 5);
    for at in 0..5 {
        // Each member no longer receives from its predecessor in the ring.
        group.relays[at].set(group.endpoints[(at + 4) % 5], LinkState::Cut);
    }
    let (code, output) = group.propose(1, 2);
    assert!(matches!(code, Some(0 | 1 | 3)), "{output}");
    group.heal();
    let number = if code == Some(1) { 1 } else { 2 };
    group.until_in_force(number, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a proposer that dies while half of the members have staged its proposal, and dies again
/// after a restart: a later proposal finds the same number at all members.
#[test]
fn a_proposal_whose_proposer_dies_is_in_force_at_all_or_none() {
    let mut group = founded("dies", 5);
    for (number, delay_ms) in [(2, 0), (3, 60)] {
        let from = group.number(1);
        let child =
            group.begin(0, &["propose", &group.file(number, "").display().to_string(), "--within", "1"]);
        until("a member has staged it", || {
            group.status_field(1, "\"staged\":").is_some_and(|s| s != "null") || group.number(1) > from
        });
        std::thread::sleep(Duration::from_millis(delay_ms));
        group.fleet.nodes[0].kill();
        drop(child.wait_with_output());
        group.fleet.nodes[0].launch();
    }
    // The next proposer finds out the outcome.
    until("a number is decided by another", || {
        let file = group.file(3, "");
        group.command(2, &["propose", &file.display().to_string(), "--within", "10"]).0 == Some(0)
    });
    let number = group.number(2).expect("an answer");
    group.until_in_force(number, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against two concurrent proposals that are each in force at some members.
#[test]
fn at_most_one_of_two_concurrent_proposals_is_in_force() {
    let mut group = founded("two", 5);
    let files = [group.file(2, ""), group.file(3, "")];
    let begun = [0, 4].map(|at| group.begin(at, &["propose", &files[at / 4].display().to_string()]));
    let ended = begun.map(|child| exit_and_output(child.wait_with_output().expect("its end")));
    let done = ended.iter().filter(|(code, _)| *code == Some(0)).count();
    assert!(done <= 1 && ended.iter().all(|(code, _)| matches!(code, Some(0 | 1))), "{ended:?}");
    group.until_in_force(1 + done, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against wrong decisions caused by lost, delayed or duplicated messages, or by messages from before
/// a restart.
#[test]
fn delayed_duplicated_and_lost_messages_do_not_prevent_a_decision() {
    let mut group = founded("late", 5);
    group
        .relays
        .iter()
        .take(3)
        .for_each(|relay| relay.set_all(LinkState::DelayAndDuplicate(Duration::from_millis(60))));
    group.relays.iter().skip(3).for_each(|relay| relay.set_all(LinkState::DropOneIn(3)));
    let (code, output) = group.propose(1, 2);
    assert_eq!(code, Some(0), "{output}");
    group.fleet.nodes[2].kill();
    group.fleet.nodes[2].launch();
    group.until_in_force(2, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that has lost its folder and votes without its state, and against a permanently
/// lost member that cannot be removed.
#[test]
fn a_member_that_lost_its_folder_must_be_admitted_again() {
    let mut group = founded("folder", 4);
    group.fleet.nodes[3].kill();
    fs::remove_dir_all(group.fleet.folder.join("n3.accord")).expect("removed");
    group.fleet.nodes[3].launch();
    until("it answers", || group.number(3) == Some(0));
    assert!(!group.fleet.nodes[3].is_ready());
    let (code, output) = group.command(3, &["forget", "n0"]);
    assert_eq!(code, Some(1), "{output}");
    let address = group.relays[3].address.to_string();
    let (code, output) = group.command(0, &["admit", "n3", &address]);
    assert_eq!(code, Some(0), "{output}");
    group.until_in_force(2, &group.all());
    let (code, output) = group.command(0, &["admit", "n3", &address]);
    assert!(code == Some(1) && output.contains("is a member already"), "{output}");
    group.fleet.nodes[2].kill();
    let (code, output) = group.command(3, &["forget", "n2"]);
    assert_eq!(code, Some(0), "{output}");
    // The removed member restarts: it accepts no tasks, and reports why.
    group.fleet.nodes[2].launch();
    until("it reports why", || group.fleet.nodes[2].query("policy").contains("is not a member of the group"));
    assert!(!group.fleet.nodes[2].is_ready());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a local configuration that overrides the group's policy, and against an upgrade that loses
/// the membership.
#[test]
fn a_local_policy_change_is_refused_and_an_upgrade_keeps_the_membership() {
    let mut group = founded("hand", 3);
    let path = group.fleet.nodes[1].configuration.clone();
    let text = fs::read_to_string(&path).expect("text");
    fs::write(&path, text.replace("under-0", "mine")).expect("written");
    let before = group.fleet.nodes[1].query("telemetry");
    group.fleet.nodes[1].signal("-HUP");
    until("the reload is refused", || {
        group.fleet.nodes[1].query("telemetry").contains("\"reloads_failed\":1")
    });
    assert!(before.contains("\"reloads_failed\":0"));
    fs::write(&path, &text).expect("written");
    group.fleet.nodes[1].signal("-HUP");
    until("the reload succeeds", || {
        let telemetry = group.fleet.nodes[1].query("telemetry");
        telemetry.split("\"reloads_ok\":").nth(1).is_some_and(|rest| !rest.starts_with('0'))
    });
    let from = Instant::now();
    group.fleet.nodes[1].upgrade();
    group.until_in_force(1, &[1]);
    group.until_finished(1, 1);
    let records = group.fleet.records();
    let lost: Vec<_> = records.iter().filter(|t| t.sent > from && t.end != TaskEnd::Finished).collect();
    assert!(lost.is_empty(), "{lost:?}");
    let (code, output) = group.propose(1, 2);
    assert_eq!(code, Some(0), "{output}");
    group.until_in_force(2, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that votes without storing its vote: while it cannot write, it neither votes nor
/// accepts tasks.
#[test]
fn a_member_that_cannot_write_its_state_does_not_vote_or_serve() {
    let mut group = founded("disk", 3);
    let state = group.fleet.folder.join("n2.accord/state");
    let kept = fs::read(&state).expect("a state");
    fs::remove_file(&state).expect("removed");
    // A folder that is not empty is in the place of the file.
    fs::create_dir_all(state.join("full")).expect("a folder");
    // Without proposals nothing is written, and service is not affected.
    group.until_finished(1, 2);
    let (code, output) = group.propose(0, 2);
    assert_eq!(code, Some(0), "{output}");
    until("it reports the failed write", || {
        group.fleet.nodes[2].query("policy").contains("cannot be written")
    });
    assert!(!group.fleet.nodes[2].is_ready());
    fs::remove_dir_all(&state).expect("removed");
    fs::write(&state, kept).expect("written");
    group.until_in_force(2, &group.all());
    group.until_finished(2, 2);
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member set to `last-known` that stops serving when it is cut off, or that serves without
/// reporting it.
#[test]
fn a_cut_off_member_set_to_last_known_serves_and_reports_it() {
    let mut group = Group::start_with_policy("known", 3, |n| match n {
        2 => "cut-off = \"last-known\"\n".into(),
        _ => String::new(),
    });
    group.set_links(&[2], &[0, 1], LinkState::Cut);
    until("the member reports that it is cut off", || {
        group.status_field(2, "\"void\":").as_deref() == Some("true")
    });
    group.until_finished(1, 2);
    group.heal();
    until("it reports that it has a lease again", || {
        group.status_field(2, "\"void\":").as_deref() == Some("false")
    });
    assert_eq!(group.violations(), [""; 0]);
}
