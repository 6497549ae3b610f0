//! The operators' address, by what staff see: calls, figures, workers taken out by hand.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use tindock_trial::peers::*;

/// A scheduler with an operators' address, its workers, and a discovery that says nothing.
fn start(name: &str, workers: usize) -> (Scheduler, SocketAddr, Vec<TcpListener>, TcpListener) {
    let ((discovery, agent), listeners) = (listener(), (0..workers).map(|_| listener()));
    let (listeners, entries): (Vec<_>, Vec<_>) = listeners
        .enumerate()
        .map(|(i, (listener, at))| (listener, entry(&format!("w{i}"), at, "active")))
        .unzip();
    let mut scheduler =
        Scheduler::from_child(spawn(name, &with_management(&config(agent, &entries, 128)), 256));
    let at = management_address(&mut scheduler);
    (scheduler, at, listeners, discovery)
}

/// Guards against a call that changes something, or hangs, for being written wrongly.
#[test]
fn what_is_no_call_gets_one_line_of_error() {
    let (_scheduler, at, ..) = start("calls", 1);
    let long = [b'x'; 300];
    let lines: [&[u8]; 11] = [
        b"readyz\n",
        b"readyz\r\n",
        b"readyz now\n",
        b"\n",
        b"reboot\n",
        b"exclude\n",
        b"exclude w0 w1\n",
        b"exclude w9\n",
        b"include w9\n",
        b"\xff\xfe\n",
        &long,
    ];
    let answers: Vec<String> = lines.iter().map(|line| call(at, line)).collect();
    insta::assert_snapshot!(answers.concat());
    assert!(call(at, b"telemetry\n").contains(r#""workers_excluded":0"#));
}

/// Guards against operators shut out by clients that fill their side, and by callers that say nothing.
#[test]
fn a_call_is_answered_beside_crowds_and_silent_callers() {
    let (scheduler, at, ..) = start("crowds", 1);
    let crowd: Vec<_> = (0..110).filter_map(|_| TcpStream::connect(scheduler.address).ok()).collect();
    let mut silent: Vec<_> = (0..30).map(|_| TcpStream::connect(at).expect("a connection")).collect();
    silent.iter_mut().for_each(|caller| drop(std::io::Write::write_all(caller, b"tele")));
    let began = Instant::now();
    assert_eq!(call(at, b"readyz\n"), "done\n");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    drop((crowd, silent));
}

/// Guards against figures that say something else than what clients and workers saw.
#[test]
fn figures_are_what_clients_and_workers_counted() {
    let (scheduler, at, workers, _discovery) = start("figures", 1);
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "f1", "x");
    let mut line = Peer::accept(&workers[0]);
    line.read();
    line.accept_task();
    assert!(call(at, b"telemetry\n").contains(r#""attempts":1,"in_flight":1,"#));
    scheduler.done("f1", "w0", "result");
    assert_eq!(client.read().first, "HTTP/1.1 200 OK");
    // May have run, and may not run again.
    client.post("/release", "f2", "x");
    line.read();
    drop(line);
    assert_eq!(client.read().first, "HTTP/1.1 500 Internal Server Error");
    // A client that leaves: its task is no longer in hand.
    client.post("/plan", "f3", "x");
    Peer::accept(&workers[0]).read();
    drop(client);
    let began = Instant::now();
    while !call(at, b"telemetry\n").contains(r#""in_flight":0"#) {
        assert!(began.elapsed() < STEP_TIMEOUT, "still in hand");
    }
    // Not taken in: neither finished nor anything else.
    let mut client = Peer::connect(scheduler.address);
    client.post("/nowhere", "f4", "x");
    client.read();
    insta::assert_snapshot!(call(at, b"telemetry\n"));
}

/// Guards against tasks for a worker that staff have taken out, also when the list names it anew, and against a
/// worker that stays out once it is put back.
#[test]
fn a_worker_out_by_hand_gets_nothing_until_it_is_put_back() {
    let (scheduler, at, workers, _discovery) = start("by-hand", 2);
    let mut client = Peer::connect(scheduler.address);
    assert_eq!(call(at, b"exclude w0\n"), "done\n");
    assert_eq!(call(at, b"exclude w0\n"), "done\n");
    for id in ["h1", "h2", "h3"] {
        client.post("/plan", id, "x");
        let mut line = Peer::accept(&workers[1]);
        line.read();
        scheduler.done(id, "w1", id);
        assert_eq!(client.read().body, id);
    }
    // With nobody left it is answered at once.
    assert_eq!(call(at, b"exclude w1\n"), "done\n");
    assert!(call(at, b"telemetry\n").contains(r#""workers_known":2,"workers_excluded":2"#));
    assert_eq!(call(at, b"include w0\n"), "done\n");
    client.post("/plan", "h4", "x");
    let mut line = Peer::accept(&workers[0]);
    line.read();
    scheduler.done("h4", "w0", "back");
    assert_eq!(client.read().body, "back");
    // What is out stays out for the process that follows.
    scheduler.signal("-KILL");
    let again = config(
        _discovery.local_addr().expect("its address"),
        &[entry("w1", workers[1].local_addr().expect("its address"), "active")],
        128,
    );
    let mut next = Scheduler::from_child(spawn_beside("by-hand", &with_management(&again), 256));
    let at = management_address(&mut next);
    assert!(call(at, b"telemetry\n").contains(r#""workers_known":1,"workers_excluded":1"#));
}

/// Guards against a new file that is taken in by halves: tasks in hand keep their rules, others come and go at once,
/// and from a broken file nothing is taken.
#[test]
fn a_new_file_changes_the_workloads_and_a_broken_one_nothing() {
    let (mut scheduler, at, workers, discovery) = start("retuned", 1);
    let entries = [entry("w0", workers[0].local_addr().expect("its address"), "active")];
    let first = with_management(&config(discovery.local_addr().expect("its address"), &entries, 128));
    let mut waiting = Peer::connect(scheduler.address);
    waiting.post("/release", "r1", "x");
    let mut line = Peer::accept(&workers[0]);
    line.read();
    line.accept_task();
    // "release" may be repeated from now on, "plan" is dropped, "count" is new.
    let second = first.replace(r#""fragile""#, r#""retryable""#).replace(r#""plan""#, r#""count""#);
    scheduler.reload("retuned", &second);
    scheduler.wait_for_line("workloads count, release");
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "r2", "x");
    assert_eq!(client.read().first, "HTTP/1.1 404 Not Found");
    let mut client = Peer::connect(scheduler.address);
    client.post("/count", "r3", "x");
    line.read();
    line.accept_task();
    scheduler.done("r3", "w0", "counted");
    assert_eq!(client.read().body, "counted");
    // It came when it was not to be repeated.
    scheduler.send_update(r#"{"id":"r1","from":"w0","state":"lost"}"#);
    assert_eq!(waiting.read().first, "HTTP/1.1 500 Internal Server Error");
    let broken = [
        String::new(),
        second[..second.len() / 2].into(),
        second.replace(r#""hard_limit_s": 15"#, r#""hard_limit_s": 0"#),
        second.replace(r#""hard_limit_s": 15"#, r#""hard_limit_s": "soon""#),
        second.replace(r#""most_assignments": 3"#, r#""most_assignments": -1"#),
        second.replace(r#""most_assignments": 3,"#, ""),
        second.replace(r#""domain": {"class_stretch": [2.0, 2.0]},"#, ""),
        second.replace(r#""limits":{"sockets":128},"#, ""),
    ];
    let said = |line: String| line.split(".json: ").nth(1).or(line.split("kept: ").nth(1)).map(String::from);
    let why: String = broken
        .iter()
        .flat_map(|text| {
            // Neither the other address nor the other workload is taken from it.
            scheduler
                .reload("retuned", &text.replace(r#""count""#, r#""sum""#).replace("127.0.0.1", "127.0.0.9"));
            said(scheduler.wait_for_line("turned down, the old one is kept"))
        })
        .collect();
    insta::assert_snapshot!(why + &call(at, b"telemetry\n"));
}

/// Guards against a command that says yes where the scheduler said no.
#[test]
fn staff_ask_by_the_command_line() {
    let (_scheduler, at, ..) = start("by-command", 1);
    let ask = |words: &[&str], variable: &str| {
        let mut command = std::process::Command::new(program());
        let ran = command.arg("manage").args(words).env("GW_MGMT", variable).output().expect("a command");
        let said = [ran.stdout, ran.stderr].concat();
        let said = String::from_utf8(said).expect("text").replace(&at.to_string(), "ADDRESS");
        format!("{words:?}: {:?} {}", ran.status.code(), said.trim_end())
    };
    let (here, nobody) = (at.to_string(), "127.0.0.1:1");
    let answers = [
        ask(&["readyz"], &here),
        ask(&["exclude", "w9"], &here),
        ask(&["--at", &here, "exclude", "w0"], nobody).replace(&here, "ADDRESS"),
        ask(&["readyz"], nobody),
        ask(&["readyz"], "here"),
        ask(&["--config", "no.toml", "readyz"], nobody),
        ask(&["--at", &here], nobody).lines().next().unwrap_or_default().replace(&here, "ADDRESS"),
    ];
    insta::assert_snapshot!(answers.join("\n"));
}
