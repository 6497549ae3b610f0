//! The scheduler as a process, between mock clients, workers and discovery on 127.0.0.1. Nothing here waits
//! for a span of time: each step waits for an action of the other side.

use std::net::TcpListener;
use std::process::Output;
use tindock_scheduler_test_kit::peers::*;

/// A scheduler with one worker and a discovery service that never responds.
fn one_worker(name: &str) -> (Scheduler, TcpListener, TcpListener) {
    let ((worker, at), (discovery, agent)) = (listener(), listener());
    (Scheduler::start(name, agent, &[entry("w0", at, "active")]), worker, discovery)
}

/// Guards against effects applied twice: the header by which the worker recognises a repeat is forwarded.
#[test]
fn tasks_and_results_are_forwarded_unchanged() {
    let (scheduler, worker, _discovery) = one_worker("as-it-came");
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan/7f3a?x=%20y", "a1", "the body");
    let mut line = Peer::accept(&worker);
    let task = line.read();
    assert_eq!(task.first, "POST /plan/7f3a?x=%20y HTTP/1.1");
    assert_eq!((task.header("x-trace-id"), task.body.as_str()), (Some("a1"), "the body"));
    assert_eq!(task.header("idempotency-key"), Some("mark-a1"));
    let left: u64 = task.header("x-expires-in-ms").expect("time left").parse().expect("a number");
    assert!((1..=15000).contains(&left), "{left} ms");
    line.accept_task();
    scheduler.done("a1", "w0", "the result");
    let answer = client.read();
    assert_eq!((answer.first.as_str(), answer.body.as_str()), ("HTTP/1.1 200 OK", "the result"));
    // The same connections serve the next task; its end arrives before the 202.
    client.post("/plan", "a2", "");
    line.read();
    scheduler.done("a2", "w0", "early");
    assert_eq!(client.read().body, "early");
}

/// Guards against a shed response, which invites a retry, for a task that may have run.
#[test]
fn break_after_the_last_byte_is_not_shed() {
    let (scheduler, worker, _discovery) = one_worker("may-have-run");
    let mut client = Peer::connect(scheduler.address);
    client.post("/release", "b1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    drop(line);
    assert_eq!(client.read().first, "HTTP/1.1 500 Internal Server Error");
}

/// Guards against failing a task that never ran: the connection was refused, so trying again is harmless.
#[test]
fn refused_connection_is_shed_with_retry_after() {
    let (scheduler, worker, _discovery) = one_worker("never-ran");
    drop(worker);
    let mut client = Peer::connect(scheduler.address);
    client.post_within(2000, "/release", "c1", "x");
    let answer = client.read();
    assert_eq!(answer.first, "HTTP/1.1 503 Service Unavailable");
    assert_eq!(answer.header("retry-after"), Some("0.5"));
}

/// Guards against a series of tasks that may have run, when something silently drops idle connections: after
/// the first break, no connection is reused for some time.
#[test]
fn connections_are_not_reused_after_a_break() {
    let (scheduler, worker, _discovery) = one_worker("broke");
    let mut client = Peer::connect(scheduler.address);
    client.post("/release", "n1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    line.accept_task();
    scheduler.done("n1", "w0", "first");
    client.read();
    client.post("/release", "n2", "x");
    line.read();
    drop(line);
    assert_eq!(client.read().first, "HTTP/1.1 500 Internal Server Error");
    for id in ["n3", "n4"] {
        client.post("/release", id, "x");
        let mut line = Peer::accept(&worker);
        line.read();
        line.accept_task();
        scheduler.done(id, "w0", id);
        assert_eq!(client.read().body, id);
    }
}

/// Guards against a reset when the worker has closed an idle connection: nothing was written, so the same
/// assignment is sent over a new connection.
#[test]
fn idle_close_by_the_worker_fails_no_task() {
    let (scheduler, worker, _discovery) = one_worker("idle-close");
    let mut client = Peer::connect(scheduler.address);
    for id in ["d1", "d2", "d3"] {
        client.post("/release", id, "x");
        let mut line = Peer::accept(&worker);
        line.read();
        line.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        drop(line);
        scheduler.done(id, "w0", id);
        assert_eq!(client.read().body, id);
    }
}

/// Guards against work for clients that left: cancelled by closing the connection before the 202, by DELETE
/// after it.
#[test]
fn disconnected_clients_tasks_are_cancelled_at_the_worker() {
    let (scheduler, worker, _discovery) = one_worker("left");
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "e1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    drop(client);
    assert!(line.try_read().is_none(), "the connection is closed");
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "e2", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    line.accept_task();
    // The response to the update follows the 202 in the scheduler's own processing order.
    assert_eq!(
        scheduler.send_update(r#"{"id":"e2","from":"w0","state":"started"}"#),
        "HTTP/1.1 204 No Content"
    );
    drop(client);
    assert_eq!(line.read().first, "DELETE /jobs/e2 HTTP/1.1");
}

/// Guards against tasks written to the open connections of a vanished machine, where they may have run.
#[test]
fn unresponsive_workers_lose_their_idle_connections() {
    let (scheduler, worker, _discovery) = one_worker("cut-off");
    let mut clients = [(); 2].map(|()| Peer::connect(scheduler.address));
    clients[0].post("/plan", "h1", "x");
    let mut first = Peer::accept(&worker);
    first.read();
    clients[1].post("/plan", "h2", "x");
    let mut second = Peer::accept(&worker);
    second.read();
    second.accept_task();
    first.accept_task();
    scheduler.send_update(r#"{"id":"h1","from":"w0","state":"started"}"#);
    let [disconnected, _stays] = clients;
    drop(disconnected);
    // One carries the cancellation, which is not answered; the other is idle. Both are closed.
    for mut line in [first, second] {
        while line.try_read().is_some() {}
    }
}

/// Guards against a crash on invalid requests, and against updates that workers would repeat without end.
#[test]
fn invalid_requests_are_rejected() {
    let (scheduler, _worker, _discovery) = one_worker("bad-calls");
    let ask = |text: &str| Peer::connect(scheduler.address).write(text).read().first;
    let post = |path: &str, more: &str| ask(&format!("POST {path} HTTP/1.1\r\nHost: s\r\n{more}\r\n"));
    assert_eq!(ask("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n"), "HTTP/1.1 200 OK");
    assert_eq!(ask("nonsense\r\n\r\n"), "HTTP/1.1 400 Bad Request");
    assert_eq!(post("/plan", "Content-Length: 0\r\n"), "HTTP/1.1 400 Bad Request");
    assert_eq!(post("/plan", "X-Trace-Id: a/b\r\n"), "HTTP/1.1 400 Bad Request");
    assert_eq!(post("/plan", "X-Trace-Id: a\r\nX-Expires-In-Ms: soon\r\n"), "HTTP/1.1 400 Bad Request");
    assert_eq!(post("/plan", "X-Trace-Id: a\r\nX-Props: slots=NaN\r\n"), "HTTP/1.1 400 Bad Request");
    assert_eq!(post("/nowhere", "X-Trace-Id: a\r\n"), "HTTP/1.1 404 Not Found");
    assert_eq!(ask("GET /plan HTTP/1.1\r\nHost: s\r\n\r\n"), "HTTP/1.1 405 Method Not Allowed");
    assert_eq!(post("/healthz", ""), "HTTP/1.1 405 Method Not Allowed");
    assert_eq!(post("/plan", "X-Trace-Id: a\r\nX-Props: slots=1e300\r\n"), "HTTP/1.1 400 Bad Request");
    // Rejected by its head alone: nothing of the body is sent.
    let long = "X-Trace-Id: a\r\nContent-Length: 62914560\r\n";
    assert_eq!(post("/plan", long), "HTTP/1.1 413 Payload Too Large");
    for wrong in
        ["", "{", "[]", r#"{"id":"a","from":"w0","state":"odd"}"#, r#"{"id":"a","from":"w0","state":"done"}"#]
    {
        assert_eq!(scheduler.send_update(wrong), "HTTP/1.1 400 Bad Request");
    }
    let unknown = r#"{"id":"a","from":"nobody","state":"done","result":"r"}"#;
    assert_eq!(scheduler.send_update(unknown), "HTTP/1.1 204 No Content");
}

/// Guards against a list lost to an invalid response: it changes nothing, and the next one applies.
#[test]
fn invalid_list_changes_nothing_and_a_drain_applies() {
    let ((worker, at), (other, beside), (discovery, agent)) = (listener(), listener(), listener());
    let mut scheduler = Scheduler::start("lists", agent, &[entry("w0", at, "active")]);
    let mut watch = Peer::accept(&discovery);
    assert!(watch.read().first.starts_with("GET /v1/servers?after=41&wait_ms="));
    let wrong = entry("w0", at, "unheard-of");
    watch.answer(&format!(r#"{{"index":42,"snapshot":true,"endpoints":[{wrong}]}}"#));
    scheduler.wait_for_line("the list is kept");
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "f1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    line.accept_task();
    let mut watch = Peer::accept(&discovery);
    assert!(watch.read().first.starts_with("GET /v1/servers?after=41&wait_ms="));
    let (draining, added) = (entry("w0", at, "leaving"), entry("w1", beside, "active"));
    watch.answer(&format!(r#"{{"index":43,"snapshot":false,"endpoints":[{draining},{added}]}}"#));
    // The next watch follows once the response was applied.
    assert!(watch.read().first.starts_with("GET /v1/servers?after=43&wait_ms="));
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "f3", "x");
    assert_eq!(Peer::accept(&other).read().first, "POST /plan HTTP/1.1");
}

/// Guards against a process that ends on SIGHUP, and against a list that stays with a removed agent: the new
/// agent is queried for its whole list at once, also during back-off. Tasks in flight continue, also after an
/// invalid file.
#[test]
fn reload_moves_discovery_and_keeps_tasks() {
    let (mut scheduler, worker, discovery) = one_worker("reload");
    let mut watch = Peer::accept(&discovery);
    assert!(watch.read().first.starts_with("GET /v1/servers?after=41"));
    let mut client = Peer::connect(scheduler.address);
    client.post("/release", "i1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    line.accept_task();
    for bad in ["", "{", &config(([127, 0, 0, 1], 1).into(), &[], 8)] {
        scheduler.reload("reload", bad);
        scheduler.wait_for_line("the old one stays in force");
    }
    let ((other, beside), (unused, disconnected)) = (listener(), listener());
    drop(unused);
    scheduler.reload("reload", &config(disconnected, &[], 1024));
    scheduler.wait_for_line("the list is kept");
    let (second, agent) = listener();
    scheduler.reload("reload", &config(agent, &[], 1024));
    let mut moved = Peer::accept(&second);
    assert_eq!(moved.read().first, "GET /v1/servers HTTP/1.1");
    assert!(watch.try_read().is_none(), "the old watch is closed");
    let (draining, added) =
        (entry("w0", worker.local_addr().expect("its address"), "leaving"), entry("w1", beside, "active"));
    moved.answer(&format!(r#"{{"index":3,"snapshot":true,"endpoints":[{draining},{added}]}}"#));
    assert!(moved.read().first.starts_with("GET /v1/servers?after=3&wait_ms="));
    // The same file again changes nothing; what was received before is kept.
    scheduler.reload("reload", &config(agent, &[], 1024));
    scheduler.wait_for_line("discovery is still at");
    scheduler.done("i1", "w0", "in hand");
    assert_eq!(client.read().body, "in hand");
    client.post("/release", "i2", "x");
    assert_eq!(Peer::accept(&other).read().first, "POST /release HTTP/1.1");
}

/// Guards against a planned restart that loses accepted tasks, or rejects new clients too early.
#[test]
fn shutdown_answers_all_accepted_tasks() {
    let (mut scheduler, worker, _discovery) = one_worker("stop");
    let mut idle = Peer::connect(scheduler.address);
    idle.write("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n").read();
    let _mute = Peer::connect(scheduler.address);
    let mut client = Peer::connect(scheduler.address);
    client.post("/release", "g1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    line.accept_task();
    scheduler.signal("-TERM");
    scheduler.wait_for_line("shutting down: tasks in progress have 3.3 s");
    assert!(idle.try_read().is_none(), "an idle connection is closed");
    let mut late = Peer::connect(scheduler.address);
    late.post("/release", "g2", "x");
    line.read();
    line.accept_task();
    scheduler.done("g2", "w0", "late");
    scheduler.done("g1", "w0", "in hand");
    for (client, result) in [(&mut late, "late"), (&mut client, "in hand")] {
        let answer = client.read();
        assert_eq!((answer.body.as_str(), answer.header("connection")), (result, Some("close")));
    }
    assert!(scheduler.child.wait().expect("its end").success());
}

/// Guards against silent peers that use up all connections, and against evicting clients in their favour.
#[test]
fn silent_peers_are_evicted_before_clients() {
    let ((worker, at), (_discovery, agent)) = (listener(), listener());
    // At the configured limit, and when descriptors run out before it.
    for (configured, available) in [(64, 1024), (1024, 40)] {
        let name = format!("room-{configured}");
        let scheduler =
            Scheduler::with_limits(&name, agent, &[entry("w0", at, "active")], configured, available);
        let mut known = Peer::connect(scheduler.address);
        known.post("/plan", "j1", "x");
        let mut line = Peer::accept(&worker);
        line.read();
        line.accept_task();
        scheduler.done("j1", "w0", "first");
        assert_eq!(known.read().body, "first");
        let mut silent: Vec<Peer> = (0..100).map(|_| Peer::connect(scheduler.address)).collect();
        let mut client = Peer::connect(scheduler.address);
        client.write("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n");
        assert_eq!(client.read().first, "HTTP/1.1 200 OK");
        assert!(silent[0].try_read().is_none(), "the one idle for longest was closed");
        known.post("/plan", "j2", "x");
        line.read();
        line.accept_task();
        scheduler.done("j2", "w0", "second");
        assert_eq!(known.read().body, "second");
    }
}

/// Guards against connections held open by silence, by half a head or by half a body, under one time limit;
/// and against the same limit for an idle client.
#[test]
fn incomplete_messages_time_out_and_idle_clients_stay() {
    let (scheduler, worker, _discovery) = one_worker("half");
    let mut known = Peer::connect(scheduler.address);
    known.post("/plan", "k1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    line.accept_task();
    let mut halves =
        ["", "POST /plan HTT", "POST /plan HTTP/1.1\r\nX-Trace-Id: k2\r\nContent-Length: 9\r\n\r\nhalf"].map(
            |text| {
                let mut peer = Peer::connect(scheduler.address);
                peer.write(text);
                peer
            },
        );
    let mut later = Peer::connect(scheduler.address);
    later.write("GET /healthz HTTP/1.1\r\nHost: s\r\n\r\nPOST /pl").read();
    for peer in halves.iter_mut().chain([&mut later]) {
        assert!(peer.try_read().is_none(), "a close and no answer");
    }
    // A connection with a task in flight is not silent, nor is it afterwards.
    scheduler.done("k1", "w0", "first");
    assert_eq!(known.read().body, "first");
    known.post("/plan", "k3", "x");
    line.read();
    line.accept_task();
    scheduler.done("k3", "w0", "second");
    assert_eq!(known.read().body, "second");
}

/// Guards against request smuggling: a peer that reads the lengths differently would see another message.
#[test]
fn ambiguous_lengths_are_rejected_and_not_forwarded() {
    let (scheduler, worker, _discovery) = one_worker("lengths");
    let inner = "POST /plan HTTP/1.1\r\nX-Trace-Id: l2\r\nContent-Length: 0\r\n\r\n";
    for lengths in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\ncontent-length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 5, 5\r\n",
        "Transfer-Encoding: gzip\r\n",
    ] {
        let mut peer = Peer::connect(scheduler.address);
        peer.write(&format!("POST /plan HTTP/1.1\r\nX-Trace-Id: l1\r\n{lengths}\r\n0\r\n\r\n{inner}"));
        assert_eq!(peer.read().first, "HTTP/1.1 400 Bad Request", "{lengths}");
        assert!(peer.try_read().is_none(), "{lengths}");
    }
    // Chunked encoding alone is valid, and the message is the last one on its connection.
    let mut peer = Peer::connect(scheduler.address);
    peer.write(&format!(
        "POST /plan HTTP/1.1\r\nX-Trace-Id: l3\r\nTransfer-Encoding: chunked\r\n\r\n\
         1\r\nx\r\n0\r\n\r\n{inner}"
    ));
    let mut line = Peer::accept(&worker);
    let task = line.read();
    assert_eq!((task.header("x-trace-id"), task.body.as_str()), (Some("l3"), "x"));
    line.accept_task();
    scheduler.done("l3", "w0", "chunks");
    assert_eq!(peer.read().body, "chunks");
    assert!(peer.try_read().is_none(), "the one behind it is not read");
}

/// Guards against barring workers, and passing a task around, because of a faulty client.
#[test]
fn unusable_tasks_are_not_sent_to_other_workers() {
    let ((worker, at), (other, beside), (_discovery, agent)) = (listener(), listener(), listener());
    let entries = [entry("w0", at, "active"), entry("w1", beside, "active")];
    let scheduler = Scheduler::start("unusable", agent, &entries);
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "m1", "x");
    other.set_nonblocking(true).expect("a listener that does not wait");
    // Either worker may be the first.
    let mut line = loop {
        worker.set_nonblocking(true).expect("a listener that does not wait");
        if let Some((stream, _)) = [&worker, &other].iter().find_map(|l| l.accept().ok()) {
            stream.set_nonblocking(false).expect("a stream that waits");
            break Peer::new(stream);
        }
    };
    line.read();
    line.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.read().first, "HTTP/1.1 400 Bad Request");
}

/// Guards against a start with an invalid configuration, and against more than one line about it.
#[test]
fn invalid_configuration_fails_the_start() {
    let good = config(([127, 0, 0, 1], 1).into(), &[], 1024);
    let bad = [
        String::new(),
        good.replace("\"retryable\"", "\"sometimes\""),
        good.replace("127.0.0.1:0", "nowhere"),
        good.replace("8c1f30d27a5be964", "chance"),
        good.replace("\"sockets\":1024", "\"sockets\":8"),
        good.replace("\"keepalive_s\": 300", "\"keepalive_s\": -1"),
    ];
    for (number, text) in bad.iter().enumerate() {
        assert!(number == 0 || *text != good, "case {number} changes something");
        let Output { status, stderr, .. } =
            spawn(&format!("bad-{number}"), text, 1024).wait_with_output().expect("an end");
        let stderr = String::from_utf8_lossy(&stderr);
        assert_eq!((status.code(), stderr.lines().count()), (Some(1), 1), "case {number}: {stderr}");
        assert!(stderr.starts_with("tindock: "), "{stderr}");
    }
}
