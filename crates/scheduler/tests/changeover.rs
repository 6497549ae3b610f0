//! A changeover: schedulers of the old shape (the platform's form, alone) and of the new one (words between schedulers,
//! reports with answers, weights that move) before the same workers, as processes between stand-ins on 127.0.0.1.

use std::collections::{BTreeMap, HashSet};
use std::io::BufReader;
use std::net::{SocketAddr, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tindock_trial::mocks::{list_entry, Agent, Worker};
use tindock_trial::peers::*;

const SLOTS: usize = 2;
const RUN: Duration = Duration::from_millis(20);
/// Nothing new to a worker later than this after it was told to drain.
const GRACE: Duration = Duration::from_millis(500);
/// Of a start's capacity, until when it is warm, and what multiple of it pushes it over within a second.
const COLD: f64 = 0.2;
const WARM: f64 = 4.0;
const OVER: f64 = 3.0;
/// Each kind's least part of all that is finished; each has half of the clients.
const LEAST: f64 = 0.35;

fn begins(mut command: Command) -> Scheduler {
    Scheduler::from_child(command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("a scheduler"))
}

fn old_shape(number: usize, agent: SocketAddr) -> Scheduler {
    let settings = r#"{"instances": 4, "zone": 0, "discovery": "automatic", "areas": ["here"], "skus": ["one"],
 "caps": {"cancel": true, "most_assignments": 3, "dial_timeout_s": 1, "keepalive_s": 30},
 "rules": {"cold_share": 0.2, "overload_factor": 3.0, "warm_within_s": 4.0}, "domain": {"tells_start": true},
 "workloads": [{"name": "release", "effect": "fragile", "hard_limit_s": 6, "promised_time_s": 3, "utility": 1}]}"#;
    let text = format!(
        r#"{{"name":"old{number}","listen":"127.0.0.1:0","discovery":"{agent}","seed":"{number}","settings":{settings}}}"#
    );
    let mut command = Command::new(program());
    command.env("GW_CONFIG", write_config(&format!("changeover-old{number}"), &text));
    begins(command)
}

fn new_shape(number: usize, agent: SocketAddr, all: &[SocketAddr]) -> Scheduler {
    let (own, all) = (all[number], all.iter().map(|at| format!("\"{at}\"")).collect::<Vec<_>>().join(", "));
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
listen = "{own}"
all = [{all}]
"#
    );
    let path = scratch().join(format!("changeover-new{number}.toml"));
    std::fs::write(&path, text).expect("a configuration");
    let mut command = Command::new(program());
    command.arg("run").arg(path);
    begins(command)
}

/// Clients of a scheduler, each with one task after the other; the first lines of the answers, counted.
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

/// What each kind finished; an error where one got less than its least part.
fn fair(answers: &BTreeMap<(&'static str, String), usize>) -> Result<(), String> {
    let of = |kind| answers.get(&(kind, "HTTP/1.1 200 OK".to_string())).copied().unwrap_or(0) as f64;
    let (old, new) = (of("old"), of("new"));
    let least = LEAST * (old + new);
    if old < least || new < least {
        return Err(format!("of all tasks finished {old} by the old kind and {new} by the new one"));
    }
    Ok(())
}

#[test]
fn both_kinds_keep_the_rules_and_neither_starves_the_other() {
    let workers: Vec<_> = (0..5).map(|n| Worker::start(&format!("w{n}"), SLOTS, RUN)).collect();
    let lines = |status: &str| -> Vec<String> {
        let status = |n| if n == 0 { status } else { "active" };
        (0..4).map(|n| list_entry(&workers[n], status(n), 0)).collect()
    };
    let agent = Agent::start(lines("active"));
    // Ports that were free a moment ago: each must know the other's before it starts.
    let free: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let all: Vec<_> = free.iter().map(|socket| socket.local_addr().expect("an address")).collect();
    drop(free);
    let old: Vec<_> = (0..2).map(|n| old_shape(n, agent.address)).collect();
    let new: Vec<_> = (0..2).map(|n| new_shape(n, agent.address, &all)).collect();
    // Rubbish and a stranger's words change nothing.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bytes in [&[2u8, 1, 0, 9, 9, 255][..], &[1, 127, 0, 0, 1, 0, 1, 255], &[], &[7; 400]] {
        stranger.send_to(bytes, all[0]).expect("sent");
    }
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let mut hands = Vec::new();
    for (kind, schedulers) in [("old", &old), ("new", &new)] {
        schedulers.iter().for_each(|s| hands.extend(clients(kind, s.address, &stop, &answers)));
    }
    std::thread::sleep(Duration::from_millis(1200));
    let (mut list, drains) = (lines("leaving"), Instant::now());
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    list.push(list_entry(&workers[4], "active", unix));
    agent.list(list);
    std::thread::sleep(Duration::from_millis(2500));
    stop.store(true, Ordering::SeqCst);
    let sent: usize = hands.into_iter().map(|hand| hand.join().expect("a client")).sum();
    let answers = answers.lock().expect("counts").clone();

    // 1: each task has one answer; all were finished or shed, since no worker failed.
    assert_eq!(answers.values().sum::<usize>(), sent);
    let odd = |first: &str| first != "HTTP/1.1 200 OK" && first != "HTTP/1.1 503 Service Unavailable";
    assert!(!answers.keys().any(|(_, first)| odd(first)), "{answers:?}");
    // 2: nothing unrepeatable came to workers twice.
    let mut seen = HashSet::new();
    for worker in &workers {
        for (id, _) in worker.received.lock().expect("notes").iter() {
            assert!(seen.insert(id.clone()), "{id} came twice, the second time to {}", worker.name);
        }
    }
    // 3: nothing new past the grace.
    let late = |at: &Instant| *at > drains + GRACE;
    let after = workers[0].received.lock().expect("notes").iter().filter(|(_, at)| late(at)).count();
    assert_eq!(after, 0, "tasks to a worker that drains");
    // 4: in no second the new worker was sent what pushes it over; yet it is used.
    let came: Vec<_> =
        workers[4].received.lock().expect("notes").iter().map(|(_, at)| *at - drains).collect();
    let full = SLOTS as f64 / RUN.as_secs_f64();
    for (number, from) in came.iter().enumerate() {
        let within = came[number..].iter().filter(|at| **at < *from + Duration::from_secs(1)).count();
        let warmth = (COLD + (1.0 - COLD) * from.as_secs_f64() / WARM).min(1.0);
        assert!(within as f64 <= OVER * warmth * full, "{within} tasks in the second from {from:?}");
    }
    assert!(came.len() > 5, "the new worker is used: {}", came.len());
    fair(&answers).expect("a fair part for each kind");
}

/// The same measure, with one kind that takes whatever it can: it must not pass.
#[test]
fn a_greedy_kind_is_found_out() {
    let worker = Worker::start("w0", SLOTS, RUN);
    let agent = Agent::start(vec![list_entry(&worker, "active", 0)]);
    let old = old_shape(9, agent.address);
    let (news, to) = listener();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
    // It keeps sixty tasks in line at the worker, without a look at its slots or at others.
    serve_each(news, |stream| {
        let mut peer = Peer(BufReader::new(stream));
        while peer.try_read().is_some() {
            peer.answer("");
        }
    });
    let (greedy, ends, finished) = (worker.clone(), stop.clone(), Arc::new(Mutex::new(0)));
    let counts = finished.clone();
    let floods = std::thread::spawn(move || {
        let mut peer = Peer::connect(greedy.address);
        let mut sent = 0;
        while !ends.load(Ordering::SeqCst) {
            let waits = greedy.queue.lock().expect("a line").iter().filter(|(_, at)| *at == to).count();
            if waits < 60 {
                peer.post("/release/p", &format!("greedy-{sent}"), &to.to_string());
                peer.read();
                sent += 1;
            }
            *counts.lock().expect("a count") = sent - waits.min(sent);
        }
    });
    let hands = clients("old", old.address, &stop, &answers);
    std::thread::sleep(Duration::from_millis(2000));
    stop.store(true, Ordering::SeqCst);
    let sent: usize = hands.into_iter().map(|hand| hand.join().expect("a client")).sum();
    assert!(sent > 0);
    floods.join().expect("a flood");
    let mut answers = answers.lock().expect("counts").clone();
    answers.insert(("new", "HTTP/1.1 200 OK".into()), *finished.lock().expect("a count"));
    assert!(fair(&answers).is_err(), "{answers:?}");
}
