//! The operators' address, by what staff see: calls, figures, workers taken out by hand.

#[allow(dead_code)] // others use the rest
mod peers;

use peers::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A scheduler with an operators' address, its workers, and a discovery that says nothing.
fn start(name: &str, workers: usize) -> (Scheduler, SocketAddr, Vec<TcpListener>, TcpListener) {
    let ((discovery, agent), listeners) = (listener(), (0..workers).map(|_| listener()));
    let (listeners, entries): (Vec<_>, Vec<_>) = listeners
        .enumerate()
        .map(|(i, (listener, at))| (listener, entry(&format!("w{i}"), at, "active")))
        .unzip();
    let mut scheduler = Scheduler::over(spawn(name, &operated(&config(agent, &entries, 128)), 256));
    let at = operators(&mut scheduler);
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
    line.taken();
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
        assert!(began.elapsed() < PATIENCE, "still in hand");
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
    let mut next = Scheduler::over(spawn_beside("by-hand", &operated(&again), 256));
    let at = operators(&mut next);
    assert!(call(at, b"telemetry\n").contains(r#""workers_known":1,"workers_excluded":1"#));
}
