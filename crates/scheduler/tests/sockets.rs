//! The scheduler as a process, between stand-ins for clients, workers and discovery on 127.0.0.1. Nothing
//! here waits for a span of time to pass: each step waits for what the other side does.

use std::net::TcpListener;
use std::process::Output;
use tindock_trial::peers::*;

/// A scheduler with one worker and a discovery that says nothing.
fn one_worker(name: &str) -> (Scheduler, TcpListener, TcpListener) {
    let ((worker, at), (discovery, agent)) = (listener(), listener());
    (Scheduler::start(name, agent, &[entry("w0", at, "active")]), worker, discovery)
}

/// Guards against effects done twice: the mark that the worker knows a repeat by goes on with the task.
#[test]
fn a_task_goes_on_as_it_came_and_its_result_comes_back() {
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
    // The same connections serve the next one; its end comes before the 202.
    client.post("/plan", "a2", "");
    line.read();
    scheduler.done("a2", "w0", "early");
    assert_eq!(client.read().body, "early");
}

/// Guards against a shed reply, which invites a repeat, for what may have run.
#[test]
fn what_broke_after_its_last_byte_may_have_run() {
    let (scheduler, worker, _discovery) = one_worker("may-have-run");
    let mut client = Peer::connect(scheduler.address);
    client.post("/release", "b1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    drop(line);
    assert_eq!(client.read().first, "HTTP/1.1 500 Internal Server Error");
}

/// Guards against giving up what never ran: nobody listens there, so trying again is harmless.
#[test]
fn what_was_never_connected_never_ran() {
    let (scheduler, worker, _discovery) = one_worker("never-ran");
    drop(worker);
    let mut client = Peer::connect(scheduler.address);
    client.post_within(2000, "/release", "c1", "x");
    let answer = client.read();
    assert_eq!(answer.first, "HTTP/1.1 503 Service Unavailable");
    assert_eq!(answer.header("retry-after"), Some("0.5"));
}

/// Guards against one task after the other that may have run, where something lets kept connections go without a word:
/// after the first that breaks, none is used twice for some time.
#[test]
fn after_a_kept_connection_broke_none_is_kept() {
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

/// Guards against a reset where the worker closed a connection that stood idle: nothing was written, so the
/// same assignment takes a new connection.
#[test]
fn a_connection_closed_while_idle_costs_no_assignment() {
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

/// Guards against work for nobody, by the two ways to call off: the connection before the 202, DELETE after it.
#[test]
fn what_a_client_leaves_is_called_off_at_the_worker() {
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
    // The answer to news is behind the 202 in the scheduler's own order of things.
    assert_eq!(
        scheduler.send_update(r#"{"id":"e2","from":"w0","state":"started"}"#),
        "HTTP/1.1 204 No Content"
    );
    drop(client);
    assert_eq!(line.read().first, "DELETE /jobs/e2 HTTP/1.1");
}

/// Guards against tasks written to the open connections of a machine that vanished, where they may have run.
#[test]
fn a_worker_that_leaves_a_call_unanswered_loses_its_idle_connections() {
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
    let [gone, _stays] = clients;
    drop(gone);
    // One carries the call-off, which is not answered; the other is idle. Both are closed.
    for mut line in [first, second] {
        while line.try_read().is_some() {}
    }
}

/// Guards against an end by bad calls, and against news that workers would tell again and again.
#[test]
fn bad_calls_are_turned_down() {
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
    // By its head alone: nothing of the body is sent.
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

/// Guards against a list lost to a bad answer: it changes nothing, and the next one counts.
#[test]
fn a_bad_list_changes_nothing_and_a_drain_is_kept() {
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
    let (drains, comes) = (entry("w0", at, "leaving"), entry("w1", beside, "active"));
    watch.answer(&format!(r#"{{"index":43,"snapshot":false,"endpoints":[{drains},{comes}]}}"#));
    // The next watch comes after the answer was taken in.
    assert!(watch.read().first.starts_with("GET /v1/servers?after=43&wait_ms="));
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "f3", "x");
    assert_eq!(Peer::accept(&other).read().first, "POST /plan HTTP/1.1");
}

/// Guards against an end by SIGHUP, and a list that stays with an agent that is gone: the new one is asked for all of
/// its list at once, in a back-off too; what is in hand goes on, and so it does by a file that will not do.
#[test]
fn a_new_configuration_moves_discovery_and_nothing_else() {
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
        scheduler.wait_for_line("the old one is kept");
    }
    let ((other, beside), (nobody, gone)) = (listener(), listener());
    drop(nobody);
    scheduler.reload("reload", &config(gone, &[], 1024));
    scheduler.wait_for_line("the list is kept");
    let (second, agent) = listener();
    scheduler.reload("reload", &config(agent, &[], 1024));
    let mut moved = Peer::accept(&second);
    assert_eq!(moved.read().first, "GET /v1/servers HTTP/1.1");
    assert!(watch.try_read().is_none(), "the old watch is closed");
    let (drains, comes) =
        (entry("w0", worker.local_addr().expect("its address"), "leaving"), entry("w1", beside, "active"));
    moved.answer(&format!(r#"{{"index":3,"snapshot":true,"endpoints":[{drains},{comes}]}}"#));
    assert!(moved.read().first.starts_with("GET /v1/servers?after=3&wait_ms="));
    // The same once more changes nothing; what came by then is kept.
    scheduler.reload("reload", &config(agent, &[], 1024));
    scheduler.wait_for_line("discovery is still at");
    scheduler.done("i1", "w0", "in hand");
    assert_eq!(client.read().body, "in hand");
    client.post("/release", "i2", "x");
    assert_eq!(Peer::accept(&other).read().first, "POST /release HTTP/1.1");
}

/// Guards against a planned restart that loses what was taken, or turns newcomers away too early.
#[test]
fn a_stop_answers_all_that_was_taken() {
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
    scheduler.wait_for_line("told to stop: what is in hand has 3.3 s");
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

/// Guards against a door shut by peers that hold connections and say nothing, and against clients that leave for
/// them.
#[test]
fn strangers_make_room_for_others() {
    let ((worker, at), (_discovery, agent)) = (listener(), listener());
    // At its own limit, and when descriptors run out before it.
    for (told, held) in [(64, 1024), (1024, 40)] {
        let name = format!("room-{told}");
        let scheduler = Scheduler::with_limits(&name, agent, &[entry("w0", at, "active")], told, held);
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

/// Guards against connections held for ever by silence, by half a head and by half a body, one bound for all; and
/// against the same bound on a client that idles.
#[test]
fn who_sends_no_whole_message_is_closed_and_idle_clients_stay() {
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
    // A task in hand is no silence, and neither is the time after it.
    scheduler.done("k1", "w0", "first");
    assert_eq!(known.read().body, "first");
    known.post("/plan", "k3", "x");
    line.read();
    line.accept_task();
    scheduler.done("k3", "w0", "second");
    assert_eq!(known.read().body, "second");
}

/// Guards against a message within a message: who reads the lengths in another way sees another one.
#[test]
fn unclear_lengths_are_turned_down_and_nothing_goes_on() {
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
    // Chunks alone are a message, and the last one on its connection.
    let mut peer = Peer::connect(scheduler.address);
    peer.write(&format!(
        "POST /plan HTTP/1.1\r\nX-Trace-Id: l3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n{inner}"
    ));
    let mut line = Peer::accept(&worker);
    let task = line.read();
    assert_eq!((task.header("x-trace-id"), task.body.as_str()), (Some("l3"), "x"));
    line.accept_task();
    scheduler.done("l3", "w0", "chunks");
    assert_eq!(peer.read().body, "chunks");
    assert!(peer.try_read().is_none(), "the one behind it is not read");
}

/// Guards against workers barred, and tasks sent round, for what a bad client sent.
#[test]
fn what_a_worker_cannot_use_goes_to_no_other() {
    let ((worker, at), (other, beside), (_discovery, agent)) = (listener(), listener(), listener());
    let entries = [entry("w0", at, "active"), entry("w1", beside, "active")];
    let scheduler = Scheduler::start("unusable", agent, &entries);
    let mut client = Peer::connect(scheduler.address);
    client.post("/plan", "m1", "x");
    other.set_nonblocking(true).expect("a listener that does not wait");
    // Either of them may be the first.
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

/// Guards against a start on a configuration that will not do, and against more than one line about it.
#[test]
fn a_bad_configuration_ends_the_start() {
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
