//! A migration: old schedulers (the platform's configuration format, without peers) and new ones (messages
//! between schedulers, worker reports with answers, moving weights) share the same workers, as processes
//! between simulated clients and workers on 127.0.0.1.

use std::collections::{BTreeMap, HashSet};
use std::io::BufReader;
use std::net::{SocketAddr, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tindock_scheduler_test_kit::mocks::{list_entry, Agent, Worker};
use tindock_scheduler_test_kit::peers::*;

const SLOTS: usize = 2;
const TASK_DURATION: Duration = Duration::from_millis(20);
/// A draining worker gets no new task later than this after the drain started.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Share of its capacity that a worker has at its start.
const COLD_SHARE: f64 = 0.2;
/// Time until a worker has its whole capacity.
const WARM_UP_S: f64 = 4.0;
/// Multiple of its capacity that overloads a worker within a second.
const OVERLOAD_FACTOR: f64 = 3.0;
/// Minimum share of each kind of scheduler in all finished tasks; each has half of the clients.
const MIN_SHARE: f64 = 0.35;

fn start(mut command: Command) -> Scheduler {
    Scheduler::from_child(command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("a scheduler"))
}

fn old_scheduler(number: usize, agent: SocketAddr) -> Scheduler {
    let settings = r#"{"instances": 4, "zone": 0, "discovery": "automatic", "areas": ["here"], "skus": ["one"],
 "caps": {"cancel": true, "most_assignments": 3, "dial_timeout_s": 1, "keepalive_s": 30},
 "rules": {"cold_share": 0.2, "overload_factor": 3.0, "warm_within_s": 4.0}, "domain": {"tells_start": true},
 "workloads": [{"name": "release", "effect": "fragile", "hard_limit_s": 6, "promised_time_s": 3, "utility": 1}]}"#;
    let text = format!(
        r#"{{"name":"old{number}","listen":"127.0.0.1:0","discovery":"{agent}","seed":"{number}","settings":{settings}}}"#
    );
    let mut command = Command::new(program());
    command.env("GW_CONFIG", write_config(&format!("changeover-old{number}"), &text));
    start(command)
}

fn new_scheduler(number: usize, agent: SocketAddr, all: &[SocketAddr]) -> Scheduler {
    let (local, all) = (all[number], all.iter().map(|at| format!("\"{at}\"")).collect::<Vec<_>>().join(", "));
    let text = format!(
        r#"
name = "new{number}"
listen = "127.0.0.1:0"
discovery = "{agent}"
seed = {number}
[[workload]]
name = "release"
effect = "unrepeatable"
promised = "3s"
hard-limit = "6s"
[workers]
schedulers = 4
tell-start = true
most-assignments = 3
cold-share = 0.2
warm-within = "4s"
reports = ["free-slots"]
weights = "moving"
[peers]
listen = "{local}"
all = [{all}]
"#
    );
    let path = scratch().join(format!("changeover-new{number}.toml"));
    std::fs::write(&path, text).expect("a configuration");
    let mut command = Command::new(program());
    command.arg("run").arg(path);
    start(command)
}

/// Clients of a scheduler, each sending one task after the other; counts the status lines of the answers.
fn clients(
    kind: &'static str,
    to: SocketAddr,
    stop: &Arc<AtomicBool>,
    answers: &Arc<Mutex<BTreeMap<(&'static str, String), usize>>>,
) -> Vec<std::thread::JoinHandle<usize>> {
    let client = |number: usize| {
        let (stop, answers) = (stop.clone(), answers.clone());
        std::thread::spawn(move || {
            let (mut peer, mut sent) = (Peer::connect(to), 0);
            while !stop.load(Ordering::SeqCst) {
                let id = format!("{}-{number}-{sent}", to.port());
                peer.post_within(6000, "/release/p", &id, &to.to_string());
                sent += 1;
                let first = peer.read().first;
                *answers.lock().expect("counts").entry((kind, first)).or_default() += 1;
            }
            sent
        })
    };
    (0..4).map(client).collect()
}

/// Checks that each kind of scheduler finished at least its minimum share of the tasks.
fn check_shares(answers: &BTreeMap<(&'static str, String), usize>) -> Result<(), String> {
    let of = |kind| answers.get(&(kind, "HTTP/1.1 200 OK".to_string())).copied().unwrap_or(0) as f64;
    let (old, new) = (of("old"), of("new"));
    let least = MIN_SHARE * (old + new);
    if old < least || new < least {
        return Err(format!("of all tasks finished {old} by the old kind and {new} by the new one"));
    }
    Ok(())
}

/// Guards against a migration in which tasks are lost or run twice, draining or cold workers get too many
/// tasks, or one kind of scheduler starves the other.
#[test]
fn old_and_new_schedulers_share_workers_fairly_and_within_the_limits() {
    let workers: Vec<_> = (0..5).map(|n| Worker::start(&format!("w{n}"), SLOTS, TASK_DURATION)).collect();
    let lines = |status: &str| -> Vec<String> {
        let status = |n| if n == 0 { status } else { "active" };
        (0..4).map(|n| list_entry(&workers[n], status(n), 0)).collect()
    };
    let agent = Agent::start(lines("active"));
    // Each scheduler must know the other's port before it starts, so free ports are reserved and released.
    let ports: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let all: Vec<_> = ports.iter().map(|socket| socket.local_addr().expect("an address")).collect();
    drop(ports);
    let old: Vec<_> = (0..2).map(|n| old_scheduler(n, agent.address)).collect();
    let new: Vec<_> = (0..2).map(|n| new_scheduler(n, agent.address, &all)).collect();
    // Malformed messages and messages of unknown senders change nothing.
    let sender = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bytes in [&[2u8, 1, 0, 9, 9, 255][..], &[1, 127, 0, 0, 1, 0, 1, 255], &[], &[7; 400]] {
        sender.send_to(bytes, all[0]).expect("sent");
    }
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let mut threads = Vec::new();
    for (kind, schedulers) in [("old", &old), ("new", &new)] {
        schedulers.iter().for_each(|s| threads.extend(clients(kind, s.address, &stop, &answers)));
    }
    std::thread::sleep(Duration::from_millis(1200));
    let (mut list, drains) = (lines("leaving"), Instant::now());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    list.push(list_entry(&workers[4], "active", unix));
    agent.list(list);
    std::thread::sleep(Duration::from_millis(2500));
    stop.store(true, Ordering::SeqCst);
    let sent: usize = threads.into_iter().map(|thread| thread.join().expect("a client")).sum();
    let answers = answers.lock().expect("counts").clone();

    // 1: each task has one answer; all were finished or shed, since no worker failed.
    assert_eq!(answers.values().sum::<usize>(), sent);
    let odd = |first: &str| first != "HTTP/1.1 200 OK" && first != "HTTP/1.1 503 Service Unavailable";
    assert!(!answers.keys().any(|(_, first)| odd(first)), "{answers:?}");
    // 2: no unrepeatable task reached workers twice.
    let mut seen = HashSet::new();
    for worker in &workers {
        for (id, _) in worker.received.lock().expect("notes").iter() {
            assert!(seen.insert(id.clone()), "{id} came twice, the second time to {}", worker.name);
        }
    }
    // 3: no new task after the drain grace period.
    let late = |at: &Instant| *at > drains + DRAIN_GRACE;
    let after = workers[0].received.lock().expect("notes").iter().filter(|(_, at)| late(at)).count();
    assert_eq!(after, 0, "tasks to a worker that drains");
    // 4: in no second did the new worker get more tasks than its overload limit; yet it is used.
    let came: Vec<_> =
        workers[4].received.lock().expect("notes").iter().map(|(_, at)| *at - drains).collect();
    let full = SLOTS as f64 / TASK_DURATION.as_secs_f64();
    for (number, from) in came.iter().enumerate() {
        let within = came[number..].iter().filter(|at| **at < *from + Duration::from_secs(1)).count();
        let warmth = (COLD_SHARE + (1.0 - COLD_SHARE) * from.as_secs_f64() / WARM_UP_S).min(1.0);
        assert!(
            within as f64 <= OVERLOAD_FACTOR * warmth * full,
            "{within} tasks in the second from {from:?}"
        );
    }
    assert!(came.len() > 5, "the new worker is used: {}", came.len());
    check_shares(&answers).expect("the minimum share for each kind");
}

/// Checks the measure of the test above: a greedy kind of scheduler must not pass it.
#[test]
fn a_greedy_kind_of_scheduler_fails_the_share_check() {
    let worker = Worker::start("w0", SLOTS, TASK_DURATION);
    let agent = Agent::start(vec![list_entry(&worker, "active", 0)]);
    let old = old_scheduler(9, agent.address);
    let (events, to) = listener();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    // It keeps sixty tasks queued at the worker, regardless of the worker's slots and of other schedulers.
    serve_each(events, |stream| {
        let mut peer = Peer(BufReader::new(stream));
        while peer.try_read().is_some() {
            peer.answer("");
        }
    });
    let (greedy, stopped, finished) = (worker.clone(), stop.clone(), Arc::new(Mutex::new(0)));
    let counts = finished.clone();
    let flood = std::thread::spawn(move || {
        let mut peer = Peer::connect(greedy.address);
        let mut sent = 0;
        while !stopped.load(Ordering::SeqCst) {
            let waits = greedy.queue.lock().expect("a line").iter().filter(|(_, at)| *at == to).count();
            if waits < 60 {
                peer.post("/release/p", &format!("greedy-{sent}"), &to.to_string());
                peer.read();
                sent += 1;
            }
            *counts.lock().expect("a count") = sent - waits.min(sent);
        }
    });
    let threads = clients("old", old.address, &stop, &answers);
    std::thread::sleep(Duration::from_millis(2000));
    stop.store(true, Ordering::SeqCst);
    let sent: usize = threads.into_iter().map(|thread| thread.join().expect("a client")).sum();
    assert!(sent > 0);
    flood.join().expect("a flood");
    let mut answers = answers.lock().expect("counts").clone();
    answers.insert(("new", "HTTP/1.1 200 OK".into()), *finished.lock().expect("a count"));
    assert!(check_shares(&answers).is_err(), "{answers:?}");
}
