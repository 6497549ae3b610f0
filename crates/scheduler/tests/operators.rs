//! The operators' address as operators see it: calls, figures, exclusion of workers.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use tindock_scheduler_test_kit::peers::*;

/// A scheduler with an operators' address, its workers, and a discovery service that never responds.
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

/// Guards against malformed calls that change something or hang.
#[test]
fn invalid_calls_get_one_line_of_error() {
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

/// Guards against operators locked out by clients that use up connections, or by callers that send nothing.
#[test]
fn calls_are_answered_beside_many_silent_connections() {
    let (scheduler, at, ..) = start("crowds", 1);
    let crowd: Vec<_> = (0..110).filter_map(|_| TcpStream::connect(scheduler.address).ok()).collect();
    let mut silent: Vec<_> = (0..30).map(|_| TcpStream::connect(at).expect("a connection")).collect();
    silent.iter_mut().for_each(|caller| drop(std::io::Write::write_all(caller, b"tele")));
    let began = Instant::now();
    assert_eq!(call(at, b"readyz\n"), "done\n");
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    drop((crowd, silent));
}

/// Guards against figures that differ from what clients and workers saw.
#[test]
fn telemetry_matches_what_clients_and_workers_saw() {
    let (scheduler, at, workers, _discovery) = start("figures", 1);
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "f1", "x");
    let mut line = Peer::accept(&workers[0]);
    line.read();
    line.accept_task();
    assert!(call(at, b"telemetry\n").contains(r#""attempts":1,"in_flight":1,"#));
    scheduler.done("f1", "w0", "result");
    assert_eq!(client.read().first, "HTTP/1.1 200 OK");
    // The task may have run, and must not run again.
    client.post("/release", "f2", "x");
    line.read();
    drop(line);
    assert_eq!(client.read().first, "HTTP/1.1 500 Internal Server Error");
    // A client disconnects: its task is no longer in flight.
    client.post("/plan", "f3", "x");
    Peer::accept(&workers[0]).read();
    drop(client);
    let began = Instant::now();
    while !call(at, b"telemetry\n").contains(r#""in_flight":0"#) {
        assert!(began.elapsed() < STEP_TIMEOUT, "still in hand");
    }
    // Never submitted: it counts neither as finished nor as anything else.
    let mut client = Peer::connect(scheduler.address);
    client.post("/nowhere", "f4", "x");
    client.read();
    insta::assert_snapshot!(call(at, b"telemetry\n"));
}

/// Guards against tasks for an excluded worker, also when the list names it again, and against a worker that
/// stays excluded after it was included again.
#[test]
fn excluded_workers_get_no_tasks_until_included() {
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
    // Without any worker left, the task is answered at once.
    assert_eq!(call(at, b"exclude w1\n"), "done\n");
    assert!(call(at, b"telemetry\n").contains(r#""workers_known":2,"workers_excluded":2"#));
    assert_eq!(call(at, b"include w0\n"), "done\n");
    client.post("/plan", "h4", "x");
    let mut line = Peer::accept(&workers[0]);
    line.read();
    scheduler.done("h4", "w0", "back");
    assert_eq!(client.read().body, "back");
    // An exclusion persists for the next process.
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

/// Guards against a partly applied file: tasks in flight keep their rules, other changes apply at once, and
/// nothing is taken from an invalid file.
#[test]
fn reload_applies_valid_files_and_ignores_invalid_ones() {
    let (mut scheduler, at, workers, discovery) = start("retuned", 1);
    let entries = [entry("w0", workers[0].local_addr().expect("its address"), "active")];
    let first = with_management(&config(discovery.local_addr().expect("its address"), &entries, 128));
    let mut waiting = Peer::connect(scheduler.address);
    waiting.post("/release", "r1", "x");
    let mut line = Peer::accept(&workers[0]);
    line.read();
    line.accept_task();
    // "release" is repeatable from now on, "plan" is removed, "count" is new.
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
    // The task was submitted when it was not repeatable.
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
    let reason =
        |line: String| line.split(".json: ").nth(1).or(line.split("in force: ").nth(1)).map(String::from);
    let reasons: String = broken
        .iter()
        .flat_map(|text| {
            // Neither the other address nor the other workload is applied.
            scheduler
                .reload("retuned", &text.replace(r#""count""#, r#""sum""#).replace("127.0.0.1", "127.0.0.9"));
            reason(scheduler.wait_for_line("rejected, the old one stays in force"))
        })
        .collect();
    insta::assert_snapshot!(reasons + &call(at, b"telemetry\n"));
}

/// Guards against a command that exits with success when the scheduler reported an error.
#[test]
fn manage_command_reports_the_answer_and_exit_code() {
    let (_scheduler, at, ..) = start("by-command", 1);
    let manage = |words: &[&str], variable: &str| {
        let mut command = std::process::Command::new(program());
        let ran = command.arg("manage").args(words).env("GW_MGMT", variable).output().expect("a command");
        let output = [ran.stdout, ran.stderr].concat();
        let output = String::from_utf8(output).expect("text").replace(&at.to_string(), "ADDRESS");
        format!("{words:?}: {:?} {}", ran.status.code(), output.trim_end())
    };
    let (address, unused) = (at.to_string(), "127.0.0.1:1");
    let answers = [
        manage(&["readyz"], &address),
        manage(&["exclude", "w9"], &address),
        manage(&["--at", &address, "exclude", "w0"], unused).replace(&address, "ADDRESS"),
        manage(&["readyz"], unused),
        manage(&["readyz"], "here"),
        manage(&["--config", "no.toml", "readyz"], unused),
        manage(&["--at", &address], unused).lines().next().unwrap_or_default().replace(&address, "ADDRESS"),
    ];
    insta::assert_snapshot!(answers.join("\n"));
}
