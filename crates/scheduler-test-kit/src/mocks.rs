//! Mock workers, discovery and clients around the schedulers. Workers record the tasks that they received,
//! and clients what they sent and got.

use crate::peers::{entry, listener, serve_each, Peer};
use std::collections::VecDeque;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The discovery answers a watch after this time even if the list is unchanged.
const WATCH_TIMEOUT: Duration = Duration::from_millis(200);

/// A worker that runs tasks in the order of arrival, reports their starts and ends, and records their arrival
/// times.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    slots: usize,
    run: Duration,
    /// Ids of received tasks, in the order of arrival.
    pub received: Mutex<Vec<(String, Instant)>>,
    /// Waiting tasks: their ids and where their updates are sent.
    pub queue: Mutex<VecDeque<(String, SocketAddr)>>,
    running: Mutex<usize>,
}

impl Worker {
    /// Starts a worker with this many slots; each task runs for `run`.
    pub fn start(name: &str, slots: usize, run: Duration) -> Arc<Self> {
        let (listener, address) = listener();
        let (received, queue, running) = (Mutex::default(), Mutex::default(), Mutex::new(0));
        let worker = Arc::new(Worker { name: name.into(), address, slots, run, received, queue, running });
        let server = worker.clone();
        serve_each(listener, move |stream| server.clone().serve(stream));
        worker
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut peer = Peer(BufReader::new(stream));
        while let Some(message) = peer.try_read() {
            if message.first.starts_with("POST") {
                let id = message.header("x-trace-id").expect("an id").to_string();
                self.received.lock().expect("records").push((id.clone(), Instant::now()));
                // The body is the address for the task's updates.
                let to = message.body.parse().expect("an address");
                self.queue.lock().expect("a queue").push_back((id, to));
                peer.accept_task();
                self.clone().start_next();
            } else {
                let id = message.first.split(['/', ' ']).nth(3).unwrap_or_default().to_string();
                self.queue.lock().expect("a queue").retain(|(waiting, _)| *waiting != id);
                peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    /// Starts the next waiting task if a slot is free.
    fn start_next(self: Arc<Self>) {
        let mut running = self.running.lock().expect("a count");
        if *running == self.slots {
            return;
        }
        let Some((id, to)) = self.queue.lock().expect("a queue").pop_front() else { return };
        *running += 1;
        let worker = self.clone();
        std::thread::spawn(move || {
            send_update(to, &format!(r#"{{"id":"{id}","from":"{}","state":"started"}}"#, worker.name));
            std::thread::sleep(worker.run);
            *worker.running.lock().expect("a count") -= 1;
            let free = worker.slots - *worker.running.lock().expect("a count");
            let (name, load) = (&worker.name, format!(r#"{{"free-slots":{free}}}"#));
            worker.clone().start_next();
            send_update(
                to,
                &format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{name}","load":{load}}}"#),
            );
        });
    }
}

/// A worker waits at most this long for the response to an update.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a task update to a scheduler. Errors and time-outs are ignored: the worker continues if the
/// scheduler has ended or does not respond.
pub fn send_update(to: SocketAddr, text: &str) {
    let Ok(mut stream) = TcpStream::connect(to) else { return };
    let length = text.len();
    let request = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{text}");
    let _ = stream.set_read_timeout(Some(UPDATE_TIMEOUT));
    let _ = stream.write_all(request.as_bytes()).and_then(|()| stream.read(&mut [0; 256]));
}

/// A mock discovery agent: complete lists, and watches that end at once when the list changes.
pub struct Agent {
    pub address: SocketAddr,
    list: Mutex<(u64, Vec<String>)>,
}

impl Agent {
    pub fn start(entries: Vec<String>) -> Arc<Self> {
        let (listener, address) = listener();
        let agent = Arc::new(Agent { address, list: Mutex::new((1, entries)) });
        let server = agent.clone();
        serve_each(listener, move |stream| server.serve(stream));
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let mut peer = Peer(BufReader::new(stream));
        while let Some(message) = peer.try_read() {
            let after = message.first.split("after=").nth(1).and_then(|v| v.split('&').next()?.parse().ok());
            let began = Instant::now();
            while after == Some(self.list.lock().expect("a list").0) && began.elapsed() < WATCH_TIMEOUT {
                std::thread::sleep(Duration::from_millis(2));
            }
            let (index, entries) = self.list.lock().expect("a list").clone();
            let entries = entries.join(",");
            peer.answer(&format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{entries}]}}"#));
        }
    }

    /// Replaces the list of workers.
    pub fn list(&self, entries: Vec<String>) {
        let mut list = self.list.lock().expect("a list");
        *list = (list.0 + 1, entries);
    }
}

/// A worker's entry in the list.
pub fn list_entry(worker: &Worker, status: &str, since_ms: u128) -> String {
    let entry = entry(&worker.name, worker.address, status);
    entry.replace(r#""since_ms":0"#, &format!(r#""since_ms":{since_ms}"#))
}

/// How a task ended, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// Status 200.
    Finished,
    /// Status 503: refused without having run.
    Shed,
    /// Status 500: given up, and it may have run.
    Interrupted,
    /// A status other than those three.
    Unexpected,
    /// No response: the scheduler was not running, or ended.
    NoResponse,
}

/// One task, as its client observed it.
#[derive(Clone, Debug)]
pub struct TaskRecord {
    pub id: String,
    /// The scheduler, by number.
    pub to: usize,
    pub sent: Instant,
    /// When the response was received, or the attempt failed.
    pub answered: Instant,
    pub end: TaskEnd,
    /// Whether there were bytes after the response.
    pub has_extra_bytes: bool,
}

/// Sends tasks to one scheduler, one after the other and at most one in each interval, until it is stopped.
/// Because of the interval, a scheduler that responds sooner does not get more tasks.
pub struct Client {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<TaskRecord>>>,
    thread: Option<JoinHandle<()>>,
}

impl Client {
    /// Starts a client that sends tasks of `path`. Their bodies are the address for the workers' updates.
    pub fn start(to: usize, at: SocketAddr, path: &str, interval: Duration) -> Self {
        let (stop, records) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (should_stop, recorded, path) = (stop.clone(), records.clone(), path.to_string());
        let thread = std::thread::spawn(move || {
            let (mut connection, mut number) = (None, 0);
            while !should_stop.load(Ordering::SeqCst) {
                let id = format!("{}-{}-{number}", at.port(), path.rsplit('/').next().unwrap_or_default());
                number += 1;
                let record = send_task(&mut connection, to, at, &path, id);
                let next = record.sent + interval;
                recorded.lock().expect("records").push(record);
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Client { stop, records, thread: Some(thread) }
    }

    /// All tasks so far.
    pub fn records(&self) -> Vec<TaskRecord> {
        self.records.lock().expect("records").clone()
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|thread| thread.join().expect("a client"));
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn send_task(connection: &mut Option<Peer>, to: usize, at: SocketAddr, path: &str, id: String) -> TaskRecord {
    let sent = Instant::now();
    let connect = || TcpStream::connect(at).ok().map(Peer::new);
    // Does not write to an idle connection that the scheduler has closed meanwhile.
    if connection.as_ref().is_some_and(Peer::is_closed) {
        *connection = None;
    }
    let idle = connection.take();
    let was_idle = idle.is_some();
    let mut peer = idle.or_else(connect);
    let post = |peer: &mut Option<Peer>| peer.as_mut()?.try_post(6000, path, &id, &at.to_string());
    let mut response = post(&mut peer);
    // As the protocol requires: if an idle connection was closed during the write, the client repeats the
    // request once on a new one.
    if response.is_none() && was_idle {
        peer = connect();
        response = post(&mut peer);
    }
    let end = match response.as_ref().map(|response| response.first.split(' ').nth(1).unwrap_or_default()) {
        Some("200") => TaskEnd::Finished,
        Some("503") => TaskEnd::Shed,
        Some("500") => TaskEnd::Interrupted,
        Some(_) => TaskEnd::Unexpected,
        None => TaskEnd::NoResponse,
    };
    let has_extra_bytes = peer.as_ref().is_some_and(Peer::has_more);
    let closes = response.is_none_or(|response| response.header("connection") == Some("close"));
    *connection = peer.filter(|_| !closes);
    TaskRecord { id, to, sent, answered: Instant::now(), end, has_extra_bytes }
}
