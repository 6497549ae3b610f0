//! One policy for a group of real schedulers, with faults between them: in force everywhere or nowhere, as clients see it.

use std::fs;
use std::time::{Duration, Instant};
use tindock_trial::checks::service;
use tindock_trial::fleet::until;
use tindock_trial::group::{exit_and_output, Group, MAX_OVERLAP};
use tindock_trial::mocks::TaskEnd;
use tindock_trial::relays::LinkState;

fn group(name: &str, schedulers: usize) -> Group {
    Group::start_with_policy(name, schedulers, |_| String::new())
}

/// Whether a scheduler finished a task under that policy that was handed in after a moment.
fn served_after(group: &Group, number: usize, at: usize, from: Instant) -> bool {
    group
        .records(number)
        .iter()
        .any(|told| told.to == at && told.end == TaskEnd::Finished && told.sent > from)
}

/// Guards against a change that is half in force: with all up it costs clients nothing, and goes round at once.
#[test]
fn a_policy_goes_round_with_all_up_and_costs_nothing() {
    let mut group = group("round", 5);
    let before = Instant::now();
    let (code, words) = group.propose(3, 2);
    assert_eq!((code, words.as_str()), (Some(0), "policy number 2 is in force everywhere\n"));
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

/// Guards against one that was down and comes back with what it had.
#[test]
fn one_that_was_down_serves_under_the_new_policy_only() {
    // Three decide; who is down is one that learns.
    let mut group = Group::start_with_policy("down", 5, |_| "voters = 3\n".into());
    group.fleet.nodes[4].kill();
    let began = Instant::now();
    let (code, words) = group.propose(0, 2);
    assert_eq!(code, Some(0), "{words}");
    assert!(words.ends_with("serving under no older one: n4\n"), "{words}");
    // It may have served until its lease was out.
    assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
    let back = Instant::now();
    group.fleet.nodes[4].start();
    group.until_in_force(2, &[4]);
    group.until_finished(2, 4);
    assert!(!served_after(&group, 1, 4, back));
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against one that was away for so long that it finds no number that it knows.
#[test]
fn one_that_was_down_for_ten_changes_has_the_last_one() {
    let mut group = Group::start_with_policy("ten", 4, |_| "voters = 3\n".into());
    group.fleet.nodes[3].kill();
    let mut begun = Vec::new();
    for number in 2..=11 {
        let file = group.file(number, "").display().to_string();
        begun.push(group.begin(number % 3, &["propose", &file]));
        group.until_in_force(number, &[0, 1, 2]);
    }
    for child in begun {
        let (code, words) = exit_and_output(child.wait_with_output().expect("its end"));
        assert_eq!(code, Some(0), "{words}");
    }
    group.fleet.nodes[3].start();
    group.until_in_force(11, &group.all());
    // What was in force meanwhile it was never told, or only by words that came late.
    let (_, history) = group.command(3, &["history"]);
    let numbers: Vec<&str> = history.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(
        numbers.first() == Some(&"1") && numbers.last() == Some(&"11") && numbers.len() < 11,
        "{history}"
    );
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a new program that takes the place and never serves: the old one has its place again.
#[test]
fn a_new_process_that_ends_gives_the_place_back() {
    let group = group("back", 3);
    let address = group.fleet.nodes[1].address;
    for _ in 0..2 {
        let mut second = group.fleet.nodes[1].spawn_second();
        until("the place is passed on", || group.fleet.nodes[1].query("policy").contains("has its place"));
        second.kill().and_then(|()| second.wait()).expect("killed");
        until("it is back", || group.serves(1));
        group.until_finished(1, 1);
    }
    let (code, words) = group.propose(1, 2);
    assert_eq!(code, Some(0), "{words}");
    group.until_in_force(2, &group.all());
    assert_eq!(group.fleet.nodes[1].address, address);
    let told = group.fleet.records();
    // Who had connected to the process that was killed may have lost it; nothing else.
    let lost = told.iter().filter(|t| !matches!(t.end, TaskEnd::Finished | TaskEnd::NoResponse)).count();
    assert_eq!(lost, 0);
}

/// Guards against a policy that one member cannot serve under: it is in force nowhere, and staff learn why.
#[test]
fn one_refusal_is_a_refusal_for_all() {
    let [high, low, ..] = (std::process::id() as u16).to_be_bytes();
    let at = |port: u16| format!("\"127.{}.{low}.255:{port}\"", high.max(1));
    let peers = |n: usize| match n {
        3 => format!("[peers]\nlisten = {}\nall = [{}, {}]\n", at(7999), at(7998), at(7999)),
        _ => String::new(),
    };
    let mut group = Group::start("refused", 5, peers);
    for (number, schedulers, expected) in [(1, 5, Some(0)), (2, 1, Some(1))] {
        let file = group.file(number, &format!("schedulers = {schedulers}"));
        let (code, words) = group.command(0, &["propose", &file.display().to_string()]);
        assert_eq!(code, expected, "{words}");
        if code == Some(1) {
            assert!(
                words.contains("in force nowhere: n3: ") && words.contains("peers.all names 2"),
                "{words}"
            );
        }
    }
    group.until_in_force(1, &group.all());
    for at in group.all() {
        until("nothing is staged", || group.status_field(at, "\"staged\":").as_deref() == Some("null"));
    }
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that stands still, wakes after the decision, and takes what waits for it under the old one.
#[test]
fn one_that_stood_still_wakes_under_no_old_policy() {
    let mut group = group("still", 5);
    let stopped = Instant::now();
    group.fleet.nodes[4].signal("-STOP");
    let (code, words) = group.propose(0, 2);
    assert_eq!(code, Some(0), "{words}");
    group.fleet.nodes[4].signal("-CONT");
    group.until_in_force(2, &[4]);
    group.until_finished(2, 4);
    // Its clients had tasks in its queue when it stopped; one may have been taken in that very moment.
    let late = |t: &tindock_trial::mocks::TaskRecord| {
        t.to == 4 && t.end == TaskEnd::Finished && t.sent > stopped + Duration::from_millis(100)
    };
    assert!(!group.records(1).iter().any(late));
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against two halves with two policies, and against a half that goes on with what may be out of date.
#[test]
fn of_two_halves_the_larger_decides_and_the_smaller_stands_aside() {
    let mut group = group("halves", 5);
    group.set_links(&[0, 1], &[2, 3, 4], LinkState::Cut);
    let small = group.begin(0, &["propose", &group.file(3, "").display().to_string(), "--within", "3"]);
    let cut = Instant::now();
    let (code, words) = group.propose(2, 2);
    assert_eq!(code, Some(0), "{words}");
    let (code, words) = exit_and_output(small.wait_with_output().expect("its end"));
    assert_eq!(code, Some(1), "{words}");
    assert!(words.contains("in force nowhere: no answer from n2, n3, n4"), "{words}");
    for at in [0, 1] {
        until("the smaller half stands aside", || !group.serves(at));
        assert!(!group.fleet.nodes[at].is_ready());
        assert!(!served_after(&group, 1, at, cut + MAX_OVERLAP));
    }
    group.heal();
    group.until_in_force(2, &group.all());
    group.all().iter().for_each(|at| group.until_finished(2, *at));
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a ring in which each reaches some and nobody all: either all or none, and all after it is mended.
#[test]
fn in_a_ring_of_one_way_links_it_is_all_or_none() {
    let mut group = group("ring", 5);
    for at in 0..5 {
        // Nobody hears the one before it any more.
        group.relays[at].set(group.endpoints[(at + 4) % 5], LinkState::Cut);
    }
    let (code, words) = group.propose(1, 2);
    assert!(matches!(code, Some(0 | 1 | 3)), "{words}");
    group.heal();
    let number = if code == Some(1) { 1 } else { 2 };
    group.until_in_force(number, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a proposer that dies with half of the members staged, and again as it comes back: a later proposal
/// finds one number at all.
#[test]
fn a_proposer_that_dies_in_the_midst_leaves_all_or_none() {
    let mut group = group("dies", 5);
    for (number, patience) in [(2, 0), (3, 60)] {
        let from = group.number(1);
        let child =
            group.begin(0, &["propose", &group.file(number, "").display().to_string(), "--within", "1"]);
        until("somebody has staged it", || {
            group.status_field(1, "\"staged\":").is_some_and(|s| s != "null") || group.number(1) > from
        });
        std::thread::sleep(Duration::from_millis(patience));
        group.fleet.nodes[0].kill();
        drop(child.wait_with_output());
        group.fleet.nodes[0].launch();
    }
    // Whoever proposes next learns what became of it.
    until("a number is decided by another", || {
        let file = group.file(3, "");
        group.command(2, &["propose", &file.display().to_string(), "--within", "10"]).0 == Some(0)
    });
    let number = group.number(2).expect("an answer");
    group.until_in_force(number, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against two proposals from two places that are each in force somewhere.
#[test]
fn of_two_proposals_at_once_one_is_in_force_at_all_or_none() {
    let mut group = group("two", 5);
    let files = [group.file(2, ""), group.file(3, "")];
    let begun = [0, 4].map(|at| group.begin(at, &["propose", &files[at / 4].display().to_string()]));
    let ended = begun.map(|child| exit_and_output(child.wait_with_output().expect("its end")));
    let done = ended.iter().filter(|(code, _)| *code == Some(0)).count();
    assert!(done <= 1 && ended.iter().all(|(code, _)| matches!(code, Some(0 | 1))), "{ended:?}");
    group.until_in_force(1 + done, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against words that are lost, late or doubled, or come from before a restart.
#[test]
fn words_that_are_late_doubled_and_lost_change_nothing() {
    let mut group = group("late", 5);
    group
        .relays
        .iter()
        .take(3)
        .for_each(|relay| relay.set_all(LinkState::DelayAndDuplicate(Duration::from_millis(60))));
    group.relays.iter().skip(3).for_each(|relay| relay.set_all(LinkState::DropOneIn(3)));
    let (code, words) = group.propose(1, 2);
    assert_eq!(code, Some(0), "{words}");
    group.fleet.nodes[2].kill();
    group.fleet.nodes[2].launch();
    group.until_in_force(2, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a member that lost its folder and votes with an empty memory, and against one that is gone for good.
#[test]
fn a_member_without_its_folder_is_a_new_one_until_it_is_let_in() {
    let mut group = group("folder", 4);
    group.fleet.nodes[3].kill();
    fs::remove_dir_all(group.fleet.folder.join("n3.accord")).expect("removed");
    group.fleet.nodes[3].launch();
    until("it answers", || group.number(3) == Some(0));
    assert!(!group.fleet.nodes[3].is_ready());
    let (code, words) = group.command(3, &["forget", "n0"]);
    assert_eq!(code, Some(1), "{words}");
    let address = group.relays[3].address.to_string();
    let (code, words) = group.command(0, &["admit", "n3", &address]);
    assert_eq!(code, Some(0), "{words}");
    group.until_in_force(2, &group.all());
    let (code, words) = group.command(0, &["admit", "n3", &address]);
    assert!(code == Some(1) && words.contains("is a member already"), "{words}");
    group.fleet.nodes[2].kill();
    let (code, words) = group.command(3, &["forget", "n2"]);
    assert_eq!(code, Some(0), "{words}");
    // It comes back and is none of them: it takes no tasks, and says why.
    group.fleet.nodes[2].launch();
    until("it says why", || group.fleet.nodes[2].query("policy").contains("is not a member of the group"));
    assert!(!group.fleet.nodes[2].is_ready());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a file changed by hand that decides beside the group, and against an upgrade that loses its place.
#[test]
fn a_file_by_hand_is_refused_and_an_upgrade_keeps_its_place() {
    let mut group = group("hand", 3);
    let path = group.fleet.nodes[1].configuration.clone();
    let text = fs::read_to_string(&path).expect("text");
    fs::write(&path, text.replace("under-0", "mine")).expect("written");
    let before = group.fleet.nodes[1].query("telemetry");
    group.fleet.nodes[1].signal("-HUP");
    until("it is turned down", || group.fleet.nodes[1].query("telemetry").contains("\"reloads_failed\":1"));
    assert!(before.contains("\"reloads_failed\":0"));
    fs::write(&path, &text).expect("written");
    group.fleet.nodes[1].signal("-HUP");
    until("it is taken", || {
        let said = group.fleet.nodes[1].query("telemetry");
        said.split("\"reloads_ok\":").nth(1).is_some_and(|rest| !rest.starts_with('0'))
    });
    let from = Instant::now();
    group.fleet.nodes[1].upgrade();
    group.until_in_force(1, &[1]);
    group.until_finished(1, 1);
    let told = group.fleet.records();
    let lost: Vec<_> = told.iter().filter(|t| t.sent > from && t.end != TaskEnd::Finished).collect();
    assert!(lost.is_empty(), "{lost:?}");
    let (code, words) = group.propose(1, 2);
    assert_eq!(code, Some(0), "{words}");
    group.until_in_force(2, &group.all());
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against a word that is given and not kept: who cannot write takes no part, and no tasks, until it can.
#[test]
fn a_member_that_cannot_write_takes_no_part() {
    let mut group = group("disk", 3);
    let state = group.fleet.folder.join("n2.accord/state");
    let kept = fs::read(&state).expect("a state");
    fs::remove_file(&state).expect("removed");
    // A folder that is not empty stands where the file is to go.
    fs::create_dir_all(state.join("full")).expect("a folder");
    // At rest nothing is written, and service hangs on none of it.
    group.until_finished(1, 2);
    let (code, words) = group.propose(0, 2);
    assert_eq!(code, Some(0), "{words}");
    until("it takes no part", || group.fleet.nodes[2].query("policy").contains("cannot be written"));
    assert!(!group.fleet.nodes[2].is_ready());
    fs::remove_dir_all(&state).expect("removed");
    fs::write(&state, kept).expect("written");
    group.until_in_force(2, &group.all());
    group.until_finished(2, 2);
    assert_eq!(group.violations(), [""; 0]);
}

/// Guards against an installation that would rather serve than wait, and does not, or does so without saying it.
#[test]
fn cut_off_with_last_known_it_goes_on_and_says_so() {
    let mut group = Group::start_with_policy("known", 3, |n| match n {
        2 => "cut-off = \"last-known\"\n".into(),
        _ => String::new(),
    });
    group.set_links(&[2], &[0, 1], LinkState::Cut);
    until("the promise is void", || group.status_field(2, "\"void\":").as_deref() == Some("true"));
    group.until_finished(1, 2);
    group.heal();
    until("it holds again", || group.status_field(2, "\"void\":").as_deref() == Some("false"));
    assert_eq!(group.violations(), [""; 0]);
}
