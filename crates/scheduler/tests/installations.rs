//! Installations as processes: the command line, and schedulers on an inventory whose files change under
//! load, between mock clients and workers on 127.0.0.1.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tindock_scheduler_test_kit::peers::*;

fn tindock(args: &[&str], folder: &Path) -> (i32, String, String) {
    let command = Command::new(program()).args(args).current_dir(folder).output();
    let Output { status, stdout, stderr } = command.expect("it runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (status.code().expect("a code"), text(stdout), text(stderr))
}

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("installation-{name}"));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(folder.join("inventory")).expect("a folder");
    folder
}

const CONFIGURATION: &str = r#"
listen = "127.0.0.1:0"
[[workload]]
name = "release"
effect = "unrepeatable"
promised = "3s"
hard-limit = "8s"
[workers]
tell-start = true
[inventory]
files = ["inventory"]
guard-share = 0.5
[inventory.defaults]
zone = "here"
kind = "one"
slots = "1"
[inventory.health]
every = "100ms"
within = "200ms"
"#;

/// A worker that accepts every task, reports its end, and records when each task arrived.
struct Worker {
    name: String,
    address: SocketAddr,
    arrived: Mutex<Vec<(String, Instant)>>,
    /// Responds to health checks with 503.
    unhealthy: AtomicBool,
}

impl Worker {
    fn start(name: &str) -> Arc<Self> {
        let (listener, address) = listener();
        let (arrived, unhealthy) = (Mutex::default(), AtomicBool::new(false));
        let worker = Arc::new(Worker { name: name.into(), address, arrived, unhealthy });
        let server = worker.clone();
        serve_each(listener, move |stream| server.serve(stream));
        worker
    }

    fn serve(&self, stream: TcpStream) {
        let mut peer = Peer(BufReader::new(stream));
        while let Some(message) = peer.try_read() {
            if message.first.starts_with("GET") {
                let status = if self.unhealthy.load(Ordering::SeqCst) { "503 Ill" } else { "200 OK" };
                peer.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
                continue;
            }
            if !message.first.starts_with("POST") {
                peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let id = message.header("x-trace-id").expect("an id").to_string();
            self.arrived.lock().expect("notes").push((id.clone(), Instant::now()));
            // The body contains the address for updates.
            let to: SocketAddr = message.body.parse().expect("an address");
            peer.accept_task();
            // Long enough that tasks overlap, so that all workers are used.
            std::thread::sleep(Duration::from_millis(15));
            let text =
                format!(r#"{{"id":"{id}","from":"{}","state":"done","result":"{}"}}"#, self.name, self.name);
            let mut update = Peer::connect(to);
            let length = text.len();
            update.write(&format!(
                "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{text}"
            ));
            update.read();
        }
    }

    fn last(&self) -> Option<Instant> {
        self.arrived.lock().expect("notes").last().map(|(_, at)| *at)
    }
}

/// The number of tasks that arrived at these workers.
fn count(workers: &[&Arc<Worker>]) -> usize {
    workers.iter().map(|w| w.arrived.lock().expect("notes").len()).sum()
}

fn csv(workers: &[&Arc<Worker>]) -> String {
    let rows: String = workers.iter().map(|w| format!("{},{}\n", w.name, w.address)).collect();
    format!("name,address\n{rows}")
}

fn write_inventory(folder: &Path, name: &str, text: &str) {
    fs::write(folder.join("new"), text).expect("a file");
    fs::rename(folder.join("new"), folder.join("inventory").join(name)).expect("a rename");
}

fn start(folder: &Path) -> Scheduler {
    fs::write(folder.join("tindock.toml"), CONFIGURATION).expect("a configuration");
    let mut command = Command::new(program());
    command.args(["run", "tindock.toml"]).current_dir(folder).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut scheduler = Scheduler::from_child(command.spawn().expect("a scheduler"));
    scheduler.wait_for_line("in force");
    scheduler
}

/// Clients that submit one task after another until stopped; answers are counted by status.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
    answers: Arc<Mutex<BTreeMap<String, usize>>>,
    sent: Arc<AtomicUsize>,
}

impl Load {
    fn start(on: &[SocketAddr]) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let answers: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
        let client = |(number, &to): (usize, &SocketAddr)| {
            let (stop, answers, sent) = (stop.clone(), answers.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut peer = Peer::connect(to);
                for task in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    peer.post_within(8000, "/release/p", &format!("t{number}-{task}"), &to.to_string());
                    sent.fetch_add(1, Ordering::SeqCst);
                    let first = peer.read().first;
                    *answers.lock().expect("counts").entry(first).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(2));
                }
            })
        };
        let clients = on.iter().enumerate().map(client).collect();
        Load { stop, clients, answers, sent }
    }

    /// Every task was answered: finished or, with fewer slots than clients, shed; none was aborted.
    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.into_iter().for_each(|client| client.join().expect("a client"));
        let answers = self.answers.lock().expect("counts").clone();
        assert_eq!(answers.values().sum::<usize>(), self.sent.load(Ordering::SeqCst), "one answer each");
        let unexpected = answers
            .keys()
            .find(|a| !["HTTP/1.1 200 OK", "HTTP/1.1 503 Service Unavailable"].contains(&a.as_str()));
        assert!(unexpected.is_none() && answers.contains_key("HTTP/1.1 200 OK"), "{answers:?}");
    }
}

/// Guards against tasks on removed workers, lost tasks, and a list spoiled by an invalid file: two schedulers
/// read the same files, at different moments, under load.
#[test]
fn workers_are_removed_and_added_under_load() {
    let folder = folder("drain");
    let workers = ["w0", "w1", "w2"].map(Worker::start);
    let [w0, w1, w2] = &workers;
    write_inventory(&folder, "yard.csv", &csv(&[w0, w1, w2]));
    let mut schedulers = [start(&folder), start(&folder)];
    let on: Vec<SocketAddr> = schedulers.iter().flat_map(|s| [s.address; 3]).collect();
    let load = Load::start(&on);
    // A worker at another worker's address, and a truncated file: both are rejected.
    write_inventory(&folder, "more.csv", &format!("name,address\nw9,{}\n", w0.address));
    schedulers.iter_mut().for_each(|s| drop(s.wait_for_line("yard.csv:2:1: worker \"w0\" is at")));
    write_inventory(&folder, "more.csv", "name,addr");
    schedulers.iter_mut().for_each(|s| drop(s.wait_for_line("more.csv:1:10: the last line has no line end")));
    // w2 is removed.
    let removed_at = Instant::now();
    fs::remove_file(folder.join("inventory/more.csv")).expect("the file");
    write_inventory(&folder, "yard.csv", &csv(&[w0, w1]));
    schedulers.iter_mut().for_each(|s| drop(s.wait_for_line("in force: 2 workers")));
    let seen = removed_at.elapsed();
    assert!(seen < Duration::from_secs(3), "noticed after {seen:?}");
    let drained = Instant::now();
    let before = count(&[w0, w1]);
    while count(&[w0, w1]) < before + 40 {
        assert!(drained.elapsed() < STEP_TIMEOUT, "tasks go on");
        std::thread::sleep(Duration::from_millis(2));
    }
    let last = w2.last().expect("w2 had tasks");
    let late = last.saturating_duration_since(drained);
    assert!(late < Duration::from_millis(250), "a task {late:?} after both knew that w2 drains");
    // And added again.
    write_inventory(&folder, "yard.csv", &csv(&[w0, w1, w2]));
    schedulers.iter_mut().for_each(|s| drop(s.wait_for_line("in force: 3 workers")));
    let (before, began) = (count(&[w2]), Instant::now());
    while count(&[w2]) == before {
        assert!(began.elapsed() < STEP_TIMEOUT, "w2 takes part again");
        std::thread::sleep(Duration::from_millis(2));
    }
    load.end();
    // No task arrived twice at any worker.
    let mut all: Vec<String> = Vec::new();
    workers
        .iter()
        .for_each(|w| all.extend(w.arrived.lock().expect("notes").iter().map(|(id, _)| id.clone())));
    let clients = on.len();
    all.sort_unstable();
    let tasks = all.len();
    all.dedup();
    assert!(tasks == all.len() && clients == 6, "{tasks} tasks arrived, {} different", all.len());
}

/// Guards against tasks for unhealthy workers: files do not say who is alive, so a failing worker is avoided
/// until its health checks succeed again.
#[test]
fn unhealthy_workers_are_avoided() {
    let folder = folder("ill");
    let workers = ["w0", "w1", "w2"].map(Worker::start);
    let [w0, w1, w2] = &workers;
    write_inventory(&folder, "yard.csv", &csv(&[w0, w1, w2]));
    let mut scheduler = start(&folder);
    w1.unhealthy.store(true, Ordering::SeqCst);
    scheduler.wait_for_line("worker w1 is down");
    let load = Load::start(&[scheduler.address; 6]);
    let (before, began) = (count(&[w1]), Instant::now());
    while count(&[w0, w2]) < 20 {
        assert!(
            began.elapsed() < STEP_TIMEOUT,
            "tasks go on: {} {} {}",
            count(&[w0]),
            count(&[w1]),
            count(&[w2])
        );
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(count(&[w1]), before);
    w1.unhealthy.store(false, Ordering::SeqCst);
    scheduler.wait_for_line("worker w1 is back");
    let began = Instant::now();
    while count(&[w1]) == before {
        assert!(began.elapsed() < STEP_TIMEOUT, "w1 takes part again");
        std::thread::sleep(Duration::from_millis(2));
    }
    load.end();
}

/// Guards against wrong exit codes or output of the commands that do not serve.
#[test]
fn commands_report_problems_with_their_place() {
    let folder = folder("commands");
    fs::write(folder.join("tindock.toml"), CONFIGURATION).expect("a configuration");
    write_inventory(&folder, "a.csv", "name,address\ny,10.0.0.1:5000\n");
    let run = |args: &[&str]| tindock(args, &folder);
    assert_eq!(
        run(&["check", "tindock.toml"]),
        (0, "tindock.toml: fine, 1 workloads, 1 workers in its inventory\n".into(), String::new())
    );
    let (code, out, _) = run(&["show", "tindock.toml", "--set", "limits.sockets=500"]);
    assert!(code == 0 && out.contains("limits.sockets = 500") && out.contains("# flag --set"), "{out}");
    let (code, out, _) =
        run(&["inventory", "show", "inventory", "--config", "tindock.toml", "--format", "yaml"]);
    assert!(code == 0 && out.starts_with("- name: \"y\"\n  address: \"10.0.0.1:5000\"\n"), "{out}");
    let (code, out, _) = run(&["inventory", "accept", "tindock.toml"]);
    assert!(code == 0 && out.starts_with("accepted: 1 workers ("), "{out}");
    // Without the configuration's defaults, columns are missing.
    let (code, out, stderr) = run(&["inventory", "check", "inventory"]);
    assert_eq!((code, out.as_str()), (1, ""));
    assert!(stderr.lines().count() == 3 && stderr.starts_with("inventory/a.csv:1:1: "), "{stderr}");
    write_inventory(&folder, "b.csv", "name,address\nz,10.0.0.1:5000\n");
    let (code, _, stderr) = run(&["check", "tindock.toml"]);
    assert_eq!(
        (code, stderr.as_str()),
        (
            1,
            "inventory/b.csv:2:1: worker \"z\" is at 10.0.0.1:5000, and so is \"y\" at inventory/a.csv:2:1\n"
        )
    );
    fs::write(folder.join("odd.toml"), CONFIGURATION.replace("promised", "promise"))
        .expect("a configuration");
    let (code, _, stderr) = run(&["check", "odd.toml"]);
    assert!(
        code == 1 && stderr.contains("odd.toml:6:1: unknown key \"promise\"; promised was meant?"),
        "{stderr}"
    );
    let (code, _, stderr) = run(&["run", "odd.toml"]);
    assert!(code == 1 && stderr.lines().count() == 2, "{stderr}");
    for wrong in [&["serve"][..], &["check"], &["show", "tindock.toml", "--set", "a"], &["inventory"]] {
        assert_eq!(run(wrong).0, 2, "{wrong:?}");
    }
    let (code, out, _) = run(&["--version"]);
    assert!(code == 0 && out.starts_with("tindock "), "{out}");
    let (code, out, _) = run(&["completions", "bash"]);
    assert!(code == 0 && out.contains("_tindock"), "{out}");
    let (code, _, stderr) = run(&[]);
    assert_eq!((code, stderr.as_str()), (1, "tindock: GW_CONFIG names no configuration\n"));
}

/// Guards against a comparison that misses a changed worker.
#[test]
fn inventory_diff_lists_each_changed_worker() {
    let folder = folder("diff");
    let head = "name,address,zone,kind,slots,state\n";
    fs::write(
        folder.join("old.csv"),
        format!("{head}a,10.0.0.1:1,n,s,1,active\nb,10.0.0.2:1,n,s,1,active\nc,10.0.0.3:1,n,s,1,active\n"),
    )
    .expect("a file");
    fs::write(
        folder.join("new.csv"),
        format!("{head}a,10.0.0.9:1,n,s,1,active\nb,10.0.0.2:1,n,s,1,leaving\nd,10.0.0.4:1,n,s,2,active\n"),
    )
    .expect("a file");
    let (code, out, _) = tindock(&["inventory", "diff", "old.csv", "new.csv"], &folder);
    let expected = "~ a from 10.0.0.1:1 (n, s, 1 slots, group 0) \
                    to 10.0.0.9:1 (n, s, 1 slots, group 0)\n~ b is leaving\n\
                    + d at 10.0.0.4:1 (n, s, 2 slots)\n- c at 10.0.0.3:1\n";
    assert_eq!((code, out.as_str()), (0, expected));
}

/// Guards against two schedulers at one address: the second one reports the address and exits.
#[test]
fn address_in_use_fails_the_start() {
    let folder = folder("in-use");
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let at = occupied.local_addr().expect("its address").to_string();
    fs::write(folder.join("tindock.toml"), CONFIGURATION.replace("127.0.0.1:0", &at))
        .expect("a configuration");
    write_inventory(&folder, "a.csv", "name,address\ny,10.0.0.1:5000\n");
    let (code, _, stderr) = tindock(&["run", "tindock.toml"], &folder);
    assert!(code == 1 && stderr.starts_with(&at) && stderr.lines().count() == 1, "{stderr}");
}
