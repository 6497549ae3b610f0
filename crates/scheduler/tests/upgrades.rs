//! Upgrades under load: two processes of one scheduler on 127.0.0.1, between stand-ins for clients and workers.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tindock_trial::peers::*;

/// A worker that takes each task, tells the scheduler's address that it is done, and counts what it ran.
fn worker(name: &'static str, scheduler: SocketAddr, ran: Arc<AtomicUsize>) -> SocketAddr {
    let (listener, at) = listener();
    serve_each(listener, move |stream| {
        let mut line = Peer::new(stream);
        while let Some(task) = line.try_read() {
            let id = task.header("x-trace-id").expect("an id").to_string();
            line.accept_task();
            ran.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(30));
                let news = format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{id}"}}"#);
                // As often as the platform's workers try.
                for _ in 0..10 {
                    let mut peer = Peer::connect(scheduler);
                    let length = news.len();
                    peer.write(&format!(
                        "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{news}"
                    ));
                    if peer.try_read().is_some_and(|answer| answer.first == "HTTP/1.1 204 No Content") {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// A free address for clients, since workers must know it before the start.
fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a listener").local_addr().expect("its address")
}

fn on(listen: SocketAddr, config: &str) -> String {
    with_management(&config.replacen("127.0.0.1:0", &listen.to_string(), 1))
}

/// Upgrades one after the other.
const UPGRADES: usize = 2;

/// Guards against tasks lost or run twice while one process takes over from another, twice in a row, against clients
/// that meet a closed door, and against a ban that is forgotten.
#[test]
fn a_new_version_takes_over_under_load() {
    let (discovery, agent) = listener();
    let (listen, ran) = (free(), [(); 3].map(|()| Arc::new(AtomicUsize::new(0))));
    let workers = [("w0", &ran[0]), ("w1", &ran[1]), ("w2", &ran[2])];
    let entries = workers.map(|(name, ran)| entry(name, worker(name, listen, ran.clone()), "active"));
    let text = on(listen, &config(agent, &entries, 512));
    let mut old = Scheduler::from_child(spawn("takes-over", &text, 512));
    let at = management_address(&mut old);
    assert_eq!(call(at, b"exclude w2\n"), "done\n");
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients = [0, 1, 2, 3].map(|n| {
        let (stop, sent) = (stop.clone(), sent.clone());
        std::thread::spawn(move || {
            let (mut client, mut crossed) = (Peer::connect(listen), 0);
            for k in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("c{n}-{k}");
                client.post("/release", &id, "x");
                // An idle connection may be closed just as it writes; then it sends once more, on a new one. That
                // can meet it once an upgrade, and what was read before would show as a task that ran twice.
                let answer = client.try_read().unwrap_or_else(|| {
                    crossed += 1;
                    client = Peer::connect(listen);
                    client.post("/release", &id, "x");
                    client.read()
                });
                assert!(crossed <= UPGRADES, "a client met a closed connection again");
                assert_eq!((answer.first.as_str(), answer.body), ("HTTP/1.1 200 OK", id));
                sent.fetch_add(1, Ordering::SeqCst);
                if answer.headers.contains("connection: close") {
                    client = Peer::connect(listen);
                }
            }
        })
    });
    let wait_for = |tasks: usize| {
        let so_far = sent.load(Ordering::SeqCst);
        while sent.load(Ordering::SeqCst) < so_far + tasks {
            assert!(clients.iter().all(|client| !client.is_finished()), "a client met a closed door");
            std::thread::sleep(Duration::from_millis(2));
        }
    };
    wait_for(20);
    for _ in 0..UPGRADES {
        let mut new = Scheduler::from_child(spawn_beside("takes-over", &text, 512));
        let at = management_address(&mut new);
        while call(at, b"readyz\n") != "done\n" {}
        old.signal("-TERM");
        wait_for(20);
        // What staff tell one process holds for both, and for the next.
        assert_eq!(call(at, b"exclude w2\n"), "done\n");
        assert!(old.child.wait().expect("its end").success());
        new.wait_for_line("the process before this one has ended");
        old = new;
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client that got all its answers"));
    let ran = ran.map(|ran| ran.load(Ordering::SeqCst));
    assert_eq!((ran[0] + ran[1], ran[2]), (sent.load(Ordering::SeqCst), 0), "each ran once, none at w2");
    drop(discovery);
}

/// Guards against an upgrade that breaks what it was to replace: the new process ends before it serves.
#[test]
fn a_new_process_that_ends_early_changes_nothing() {
    let ((discovery, agent), (worker, at)) = (listener(), listener());
    let text = with_management(&config(agent, &[entry("w0", at, "active")], 128));
    let mut old = Scheduler::from_child(spawn("ends-early", &text, 256));
    let operators = management_address(&mut old);
    let place = runtime("ends-early").join("tindock-n1.sock");
    let hello = r#"{"Hello":{"version":1}}"#;
    let said = [&(hello.len() as u32).to_be_bytes(), hello.as_bytes()].concat();
    let mut new = UnixStream::connect(&place).expect("a place to ask");
    std::io::Write::write_all(&mut new, &said).expect("room to write");
    old.wait_for_line("handed over");
    assert_eq!(call(operators, b"readyz\n"), "error not ready: clients are not let in\n");
    drop(new);
    old.wait_for_line("this one goes on");
    assert_eq!(call(operators, b"readyz\n"), "done\n");
    let mut client = Peer::connect(old.address);
    client.post("/plan", "e1", "x");
    let mut line = Peer::accept(&worker);
    line.read();
    old.done("e1", "w0", "goes on");
    assert_eq!(client.read().body, "goes on");
    // Who says what is no hello changes nothing.
    let mut odd = UnixStream::connect(&place).expect("a place to ask");
    std::io::Write::write_all(&mut odd, b"\0\0\0\x02{}").expect("room to write");
    old.wait_for_line("not answered");
    assert_eq!(call(operators, b"readyz\n"), "done\n");
    drop(discovery);
}

/// Guards against a start that waits, or fails, for what an earlier process left: a file that nobody answers at, a
/// process that stands still, bans that cannot be read.
#[test]
fn a_start_goes_on_without_what_cannot_be_taken_over() {
    let ((discovery, agent), (_worker, at)) = (listener(), listener());
    let text = with_management(&config(agent, &[entry("w0", at, "active")], 128));
    let _ = std::fs::remove_dir_all(runtime("left-over"));
    std::fs::create_dir_all(runtime("left-over")).expect("a folder");
    std::fs::write(runtime("left-over").join("tindock-n1.bans"), "{\"version\":1,").expect("a file");
    let place = runtime("left-over").join("tindock-n1.sock");
    drop(UnixListener::bind(&place).expect("a file that nobody answers at"));
    let mut first = Scheduler::from_child(spawn_beside("left-over", &text, 256));
    assert_eq!(call(management_address(&mut first), b"readyz\n"), "done\n");
    drop(first);
    std::fs::remove_file(&place).expect("its place");
    let silent = UnixListener::bind(&place).expect("a process that stands still");
    let mut next = Scheduler::from_child(spawn_beside("left-over", &text, 256));
    assert_eq!(call(management_address(&mut next), b"readyz\n"), "done\n");
    drop((silent, discovery));
}
