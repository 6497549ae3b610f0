//! What stands around the schedulers: workers, the discovery, clients. Each writes down what it ran, sent and got.

use crate::peers::{entry, listener, serve_each, Peer};
use std::collections::VecDeque;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long the discovery holds a watch that brings nothing.
const WATCH: Duration = Duration::from_millis(200);

/// A worker that serves in order, tells starts and ends, and notes what came when.
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    slots: usize,
    run: Duration,
    /// Ids of tasks, as they came.
    pub received: Mutex<Vec<(String, Instant)>>,
    /// What waits, with where its news goes.
    pub queue: Mutex<VecDeque<(String, SocketAddr)>>,
    running: Mutex<usize>,
}

impl Worker {
    /// Of so many slots; each task runs for as long.
    pub fn start(name: &str, slots: usize, run: Duration) -> Arc<Self> {
        let (listener, address) = listener();
        let (received, queue, running) = (Mutex::default(), Mutex::default(), Mutex::new(0));
        let worker = Arc::new(Worker { name: name.into(), address, slots, run, received, queue, running });
        let serves = worker.clone();
        serve_each(listener, move |stream| serves.clone().serve(stream));
        worker
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut peer = Peer(BufReader::new(stream));
        while let Some(message) = peer.try_read() {
            if message.first.starts_with("POST") {
                let id = message.header("x-trace-id").expect("an id").to_string();
                self.received.lock().expect("notes").push((id.clone(), Instant::now()));
                // The body tells where the news goes.
                let to = message.body.parse().expect("an address");
                self.queue.lock().expect("a line").push_back((id, to));
                peer.accept_task();
                self.clone().begin();
            } else {
                let id = message.first.split(['/', ' ']).nth(3).unwrap_or_default().to_string();
                self.queue.lock().expect("a line").retain(|(waits, _)| *waits != id);
                peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    /// Starts the next task in line if a slot is free.
    fn begin(self: Arc<Self>) {
        let mut running = self.running.lock().expect("a count");
        if *running == self.slots {
            return;
        }
        let Some((id, to)) = self.queue.lock().expect("a line").pop_front() else { return };
        *running += 1;
        let worker = self.clone();
        std::thread::spawn(move || {
            tell(to, &format!(r#"{{"id":"{id}","from":"{}","state":"started"}}"#, worker.name));
            std::thread::sleep(worker.run);
            *worker.running.lock().expect("a count") -= 1;
            let free = worker.slots - *worker.running.lock().expect("a count");
            let (name, load) = (&worker.name, format!(r#"{{"free-slots":{free}}}"#));
            worker.clone().begin();
            tell(
                to,
                &format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{name}","load":{load}}}"#),
            );
        });
    }
}

/// How long a worker waits for a scheduler that stands still.
const NEWS: Duration = Duration::from_secs(1);

/// A worker's news. A scheduler that is gone, or stands still, does not stop the worker.
pub fn tell(to: SocketAddr, text: &str) {
    let Ok(mut stream) = TcpStream::connect(to) else { return };
    let length = text.len();
    let whole = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{text}");
    let _ = stream.set_read_timeout(Some(NEWS));
    let _ = stream.write_all(whole.as_bytes()).and_then(|()| stream.read(&mut [0; 256]));
}

/// A discovery agent: whole lists, and watches that end at once when there is something new.
pub struct Agent {
    pub address: SocketAddr,
    lists: Mutex<(u64, Vec<String>)>,
}

impl Agent {
    pub fn start(entries: Vec<String>) -> Arc<Self> {
        let (listener, address) = listener();
        let agent = Arc::new(Agent { address, lists: Mutex::new((1, entries)) });
        let serves = agent.clone();
        serve_each(listener, move |stream| serves.serve(stream));
        agent
    }

    fn serve(&self, stream: TcpStream) {
        let mut peer = Peer(BufReader::new(stream));
        while let Some(message) = peer.try_read() {
            let after = message.first.split("after=").nth(1).and_then(|v| v.split('&').next()?.parse().ok());
            let began = Instant::now();
            while after == Some(self.lists.lock().expect("a list").0) && began.elapsed() < WATCH {
                std::thread::sleep(Duration::from_millis(2));
            }
            let (index, entries) = self.lists.lock().expect("a list").clone();
            let entries = entries.join(",");
            peer.answer(&format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{entries}]}}"#));
        }
    }

    /// Names these from now on.
    pub fn list(&self, entries: Vec<String>) {
        let mut lists = self.lists.lock().expect("a list");
        *lists = (lists.0 + 1, entries);
    }
}

/// A worker's entry in the list.
pub fn list_entry(worker: &Worker, status: &str, since_ms: u128) -> String {
    let entry = entry(&worker.name, worker.address, status);
    entry.replace(r#""since_ms":0"#, &format!(r#""since_ms":{since_ms}"#))
}

/// How a task ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    Finished,
    Shed,
    Interrupted,
    /// Another answer than those three.
    Unexpected,
    /// The scheduler was not there, or went away: no answer.
    NoResponse,
}

/// One task, as its client saw it.
#[derive(Clone, Debug)]
pub struct TaskRecord {
    pub id: String,
    /// The scheduler, by number.
    pub to: usize,
    pub sent: Instant,
    pub answered: Instant,
    pub end: TaskEnd,
    /// Whatever came behind the one answer.
    pub more: bool,
}

/// Hands tasks to one scheduler, one after the other and no faster than one in so long, until told to stop: one that
/// is answered at once does not come more often.
pub struct Client {
    stop: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<TaskRecord>>>,
    hand: Option<JoinHandle<()>>,
}

impl Client {
    /// Tasks of `path`, whose bodies tell workers where their news goes.
    pub fn start(to: usize, at: SocketAddr, path: &str, every: Duration) -> Self {
        let (stop, told) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (ends, notes, path) = (stop.clone(), told.clone(), path.to_string());
        let hand = std::thread::spawn(move || {
            let (mut line, mut number) = (None, 0);
            while !ends.load(Ordering::SeqCst) {
                let id = format!("{}-{}-{number}", at.port(), path.rsplit('/').next().unwrap_or_default());
                number += 1;
                let one = hand_in(&mut line, to, at, &path, id);
                let next = one.sent + every;
                notes.lock().expect("notes").push(one);
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Client { stop, told, hand: Some(hand) }
    }

    pub fn records(&self) -> Vec<TaskRecord> {
        self.told.lock().expect("notes").clone()
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.hand.take().into_iter().for_each(|hand| hand.join().expect("a client"));
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn hand_in(line: &mut Option<Peer>, to: usize, at: SocketAddr, path: &str, id: String) -> TaskRecord {
    let sent = Instant::now();
    let fresh = || TcpStream::connect(at).ok().map(Peer::new);
    // An idle connection may have been closed meanwhile: a client notices before it writes.
    if line.as_ref().is_some_and(Peer::is_closed) {
        *line = None;
    }
    let kept = line.take();
    let is_kept = kept.is_some();
    let mut peer = kept.or_else(fresh);
    let post = |peer: &mut Option<Peer>| peer.as_mut()?.try_post(6000, path, &id, &at.to_string());
    let mut answer = post(&mut peer);
    // As the protocol has it: on a kept connection that was closed as it wrote, a client sends once more on a new one.
    if answer.is_none() && is_kept {
        peer = fresh();
        answer = post(&mut peer);
    }
    let end = match answer.as_ref().map(|answer| answer.first.split(' ').nth(1).unwrap_or_default()) {
        Some("200") => TaskEnd::Finished,
        Some("503") => TaskEnd::Shed,
        Some("500") => TaskEnd::Interrupted,
        Some(_) => TaskEnd::Unexpected,
        None => TaskEnd::NoResponse,
    };
    let more = peer.as_ref().is_some_and(Peer::has_more);
    let closes = answer.is_none_or(|answer| answer.header("connection") == Some("close"));
    *line = peer.filter(|_| !closes);
    TaskRecord { id, to, sent, answered: Instant::now(), end, more }
}
