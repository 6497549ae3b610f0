//! Upgrades under load: two processes of one scheduler on 127.0.0.1, between simulated clients and workers.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tindock_scheduler_test_kit::peers::*;

/// A worker that accepts each task, reports to the scheduler's address that it is done, and counts the tasks
/// it ran.
fn worker(name: &'static str, scheduler: SocketAddr, ran: Arc<AtomicUsize>) -> SocketAddr {
    let (listener, at) = listener();
    serve_each(listener, move |stream| {
        let mut connection = Peer::new(stream);
        while let Some(task) = connection.try_read() {
            let id = task.header("x-trace-id").expect("an id").to_string();
            connection.accept_task();
            ran.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(30));
                let event = format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{id}"}}"#);
                // The platform's workers try ten times as well.
                for _ in 0..10 {
                    let mut peer = Peer::connect(scheduler);
                    let length = event.len();
                    peer.write(&format!(
                        "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{event}"
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

/// A free address for clients: workers must know it before the scheduler starts.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a listener").local_addr().expect("its address")
}

fn config_at(listen: SocketAddr, config: &str) -> String {
    with_management(&config.replacen("127.0.0.1:0", &listen.to_string(), 1))
}

/// Successive upgrades in one run.
const UPGRADES: usize = 2;

/// Guards against tasks lost or run twice while one process takes over from another, twice in a row; against
/// clients whose connections are refused; and against a ban that the new process does not know.
#[test]
fn upgrades_under_load_lose_no_task_and_run_none_twice() {
    let (discovery, agent) = listener();
    let (listen, ran) = (free_address(), [(); 3].map(|()| Arc::new(AtomicUsize::new(0))));
    let workers = [("w0", &ran[0]), ("w1", &ran[1]), ("w2", &ran[2])];
    let entries = workers.map(|(name, ran)| entry(name, worker(name, listen, ran.clone()), "active"));
    let text = config_at(listen, &config(agent, &entries, 512));
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
                // An idle connection may be closed just as the client writes; it then resends on a new one.
                // This can happen once per upgrade. If the first copy had been read, the task would count as
                // run twice.
                let answer = client.try_read().unwrap_or_else(|| {
                    crossed += 1;
                    client = Peer::connect(listen);
                    client.post("/release", &id, "x");
                    client.read()
                });
                assert!(crossed <= UPGRADES, "a client met more closed connections than upgrades");
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
            assert!(
                clients.iter().all(|client| !client.is_finished()),
                "a client got no answer on a new connection"
            );
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
        // An operator's call to one process applies to both, and to the next.
        assert_eq!(call(at, b"exclude w2\n"), "done\n");
        assert!(old.child.wait().expect("its end").success());
        new.wait_for_line("the previous process has exited");
        old = new;
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client that got all its answers"));
    let ran = ran.map(|ran| ran.load(Ordering::SeqCst));
    assert_eq!((ran[0] + ran[1], ran[2]), (sent.load(Ordering::SeqCst), 0), "each ran once, none at w2");
    drop(discovery);
}

/// Guards against an upgrade that breaks the running process: the new one exits before it serves.
#[test]
fn the_old_process_resumes_when_the_new_one_exits_early() {
    let ((discovery, agent), (worker, at)) = (listener(), listener());
    let text = with_management(&config(agent, &[entry("w0", at, "active")], 128));
    let mut old = Scheduler::from_child(spawn("ends-early", &text, 256));
    let operators = management_address(&mut old);
    let socket = runtime("ends-early").join("tindock-n1.sock");
    let hello = r#"{"Hello":{"version":1}}"#;
    let frame = [&(hello.len() as u32).to_be_bytes(), hello.as_bytes()].concat();
    let mut new = UnixStream::connect(&socket).expect("the handover socket");
    std::io::Write::write_all(&mut new, &frame).expect("written");
    old.wait_for_line("handed over to the new process");
    assert_eq!(call(operators, b"readyz\n"), "error not ready: clients are not let in\n");
    drop(new);
    old.wait_for_line("this process resumes");
    assert_eq!(call(operators, b"readyz\n"), "done\n");
    let mut client = Peer::connect(old.address);
    client.post("/plan", "e1", "x");
    let mut connection = Peer::accept(&worker);
    connection.read();
    old.done("e1", "w0", "goes on");
    assert_eq!(client.read().body, "goes on");
    // A first frame that is no hello changes nothing.
    let mut odd = UnixStream::connect(&socket).expect("the handover socket");
    std::io::Write::write_all(&mut odd, b"\0\0\0\x02{}").expect("written");
    old.wait_for_line("handover request refused");
    assert_eq!(call(operators, b"readyz\n"), "done\n");
    drop(discovery);
}

/// Guards against a start that hangs or fails because of leftovers of an earlier process: a socket file that
/// nobody listens on, a process that hangs, a file of bans that cannot be read.
#[test]
fn a_start_succeeds_despite_leftovers_of_an_earlier_process() {
    let ((discovery, agent), (_worker, at)) = (listener(), listener());
    let text = with_management(&config(agent, &[entry("w0", at, "active")], 128));
    let _ = std::fs::remove_dir_all(runtime("left-over"));
    std::fs::create_dir_all(runtime("left-over")).expect("a folder");
    std::fs::write(runtime("left-over").join("tindock-n1.bans"), "{\"version\":1,").expect("a file");
    let socket = runtime("left-over").join("tindock-n1.sock");
    drop(UnixListener::bind(&socket).expect("a socket file without a listener"));
    let mut first = Scheduler::from_child(spawn_beside("left-over", &text, 256));
    assert_eq!(call(management_address(&mut first), b"readyz\n"), "done\n");
    drop(first);
    std::fs::remove_file(&socket).expect("removed");
    let silent = UnixListener::bind(&socket).expect("a process that hangs");
    let mut next = Scheduler::from_child(spawn_beside("left-over", &text, 256));
    assert_eq!(call(management_address(&mut next), b"readyz\n"), "done\n");
    drop((silent, discovery));
}
