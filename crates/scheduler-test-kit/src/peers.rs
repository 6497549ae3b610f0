//! Peers that exchange single HTTP messages with a scheduler, and the scheduler as a process.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A step that takes this long is a failure.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// One end of an HTTP/1.1 connection on which a test reads and writes single messages.
pub struct Peer(pub BufReader<TcpStream>);

#[derive(Debug)]
pub struct Message {
    pub first: String,
    pub headers: String,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.headers.lines().find(|line| line.starts_with(&format!("{name}:")))?;
        Some(line[name.len() + 1..].trim())
    }
}

/// The request by which a client submits a task.
fn task(ms: u64, path: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: service\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {ms}\r\n\
         Idempotency-Key: mark-{id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a time-out");
        Peer(BufReader::new(stream))
    }

    pub fn connect(to: SocketAddr) -> Self {
        Self::new(TcpStream::connect(to).expect("a connection"))
    }

    pub fn accept(listener: &TcpListener) -> Self {
        let began = Instant::now();
        listener.set_nonblocking(true).expect("a listener that does not wait for ever");
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("a stream that waits");
                    return Self::new(stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock && began.elapsed() < STEP_TIMEOUT => {
                    std::thread::sleep(Duration::from_millis(2));
                }
                Err(e) => panic!("no connection: {e}"),
            }
        }
    }

    pub fn write(&mut self, text: &str) -> &mut Self {
        self.0.get_mut().write_all(text.as_bytes()).expect("room to write");
        self
    }

    /// Reads the next message. None at the end of the connection, also within a message.
    pub fn try_read(&mut self) -> Option<Message> {
        let (mut first, mut headers) = (String::new(), String::new());
        match self.0.read_line(&mut first) {
            Ok(0) => return None,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
            read => drop(read.expect("a first line or the end")),
        }
        while !headers.ends_with("\r\n\r\n") && headers != "\r\n" {
            self.0.read_line(&mut headers).ok().filter(|read| *read > 0)?;
        }
        let mut message =
            Message { first: first.trim().into(), headers: headers.to_lowercase(), body: String::new() };
        let length = message.header("content-length").map_or(0, |n| n.parse().expect("a length"));
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("text");
        Some(message)
    }

    pub fn read(&mut self) -> Message {
        self.try_read().expect("a message, not the end")
    }

    pub fn post(&mut self, path: &str, id: &str, body: &str) -> &mut Self {
        self.post_within(15000, path, id, body)
    }

    pub fn post_within(&mut self, ms: u64, path: &str, id: &str, body: &str) -> &mut Self {
        self.write(&task(ms, path, id, body))
    }

    /// Submits a task and waits for its response. None if the connection ends before.
    pub fn try_post(&mut self, ms: u64, path: &str, id: &str, body: &str) -> Option<Message> {
        let whole = task(ms, path, id, body);
        self.0.get_mut().write_all(whole.as_bytes()).ok()?;
        self.try_read()
    }

    /// Whether the other end has closed the connection, as far as is known without waiting.
    pub fn is_closed(&self) -> bool {
        self.peek().is_none()
    }

    /// Whether there are unread bytes.
    pub fn has_more(&self) -> bool {
        !self.0.buffer().is_empty() || self.peek().is_some_and(|there| there > 0)
    }

    /// Number of unread bytes, 1 at most; None if the connection is closed.
    fn peek(&self) -> Option<usize> {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).ok()?;
        let there = stream.peek(&mut [0; 1]);
        stream.set_nonblocking(false).ok()?;
        match there {
            Ok(0) => None,
            Ok(there) => Some(there),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Some(0),
            Err(_) => None,
        }
    }

    pub fn answer(&mut self, body: &str) {
        self.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Answers 202 Accepted, as a worker does to a task.
    pub fn accept_task(&mut self) {
        self.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    }
}

pub const SETTINGS: &str = r#"{"instances": 1, "zone": 0, "discovery": "automatic", "areas": ["here"], "skus": ["one"],
 "caps": {"cancel": true, "most_assignments": 3, "dial_timeout_s": 5, "keepalive_s": 300, "retry_after": true,
          "max_retry_after_s": 0.5},
 "rules": {"cold_share": 0.3, "overload_factor": 3.0, "warm_within_s": 8.0},
 "domain": {"class_stretch": [2.0, 2.0]},
 "workloads": [
  {"name": "plan", "effect": "retryable", "hard_limit_s": 15, "promised_time_s": 3, "utility": 1},
  {"name": "release", "effect": "fragile", "hard_limit_s": 15, "promised_time_s": 3, "utility": 1}]}"#;

pub struct Scheduler {
    pub child: Child,
    pub address: SocketAddr,
    pub log: BufReader<std::process::ChildStdout>,
}

/// The program under test, in the build folder of the running test.
pub fn program() -> PathBuf {
    let test = std::env::current_exe().expect("the test's own program");
    let folder = test.ancestors().nth(2).expect("the folder of the build");
    let program = folder.join("tindock");
    assert!(program.exists(), "{} is not built", program.display());
    program
}

/// A folder for files of tests, in the build folder.
pub fn scratch() -> PathBuf {
    let folder = program().with_file_name("trial-files");
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

pub fn write_config(name: &str, config: &str) -> PathBuf {
    let path = scratch().join(format!("{name}.json"));
    std::fs::write(&path, config).expect("a configuration");
    path
}

/// The runtime folder that a scheduler shares with the process that takes over from it.
pub fn runtime(name: &str) -> PathBuf {
    scratch().join(format!("{name}.run"))
}

/// Starts a scheduler with this limit of file descriptors and an empty runtime folder.
pub fn spawn(name: &str, config: &str, descriptors: usize) -> Child {
    let _ = std::fs::remove_dir_all(runtime(name));
    std::fs::create_dir_all(runtime(name)).expect("a folder");
    spawn_beside(name, config, descriptors)
}

/// Starts a scheduler as `spawn` does, but keeps the contents of the runtime folder.
pub fn spawn_beside(name: &str, config: &str, descriptors: usize) -> Child {
    let path = write_config(name, config);
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")]).arg(program());
    command.env("GW_CONFIG", path).env("TMPDIR", runtime(name)).env_remove("GW_MGMT");
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("a scheduler")
}

pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"here","type":"one","group":1,"status":"{status}","weight":2,"since_ms":0}}"#
    )
}

pub fn config(discovery: SocketAddr, entries: &[String], sockets: usize) -> String {
    let entries = entries.join(",");
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"sockets":{sockets}}},"known":{{"index":41,"snapshot":true,"endpoints":[{entries}]}},"settings":{SETTINGS}}}"#
    )
}

impl Scheduler {
    pub fn start(name: &str, discovery: SocketAddr, entries: &[String]) -> Self {
        Self::with_limits(name, discovery, entries, 1024, 1024)
    }

    /// Starts a scheduler configured for this many sockets, with this limit of file descriptors.
    pub fn with_limits(
        name: &str,
        agent: SocketAddr,
        entries: &[String],
        sockets: usize,
        descriptors: usize,
    ) -> Self {
        Self::from_child(spawn(name, &config(agent, entries, sockets), descriptors))
    }

    /// Wraps a process that has just been started, and waits until it listens.
    pub fn from_child(mut child: Child) -> Self {
        let log = BufReader::new(child.stdout.take().expect("its log"));
        let address = ([0, 0, 0, 0], 0).into();
        let mut scheduler = Scheduler { child, address, log };
        let line = scheduler.wait_for_line("listens on ");
        let address = line.split("listens on ").nth(1).expect("an address");
        scheduler.address = address.trim().parse().expect("an address");
        scheduler
    }

    /// Reads the log up to a line that contains this text.
    pub fn wait_for_line(&mut self, words: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).expect("a log") > 0, "the log ends before {words:?}");
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().expect("kill").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, name: &str, config: &str) {
        write_config(name, config);
        self.signal("-HUP");
    }

    /// Sends a task update as a worker does; the status line of the response.
    pub fn send_update(&self, text: &str) -> String {
        let mut worker = Peer::connect(self.address);
        worker.write(&format!(
            "POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        ));
        worker.read().first
    }

    /// Reports as worker `from` that a task is done.
    pub fn done(&self, id: &str, from: &str, result: &str) {
        let response = self
            .send_update(&format!(r#"{{"id":"{id}","from":"{from}","state":"done","result":"{result}"}}"#));
        assert_eq!(response, "HTTP/1.1 204 No Content");
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Adds a management address to a configuration.
pub fn with_management(config: &str) -> String {
    config.replacen(r#""seed""#, r#""mgmt":"127.0.0.1:0","seed""#, 1)
}

/// Reads the management address from the log.
pub fn management_address(scheduler: &mut Scheduler) -> SocketAddr {
    let line = scheduler.wait_for_line("operators' address is ");
    line.split("address is ").nth(1).expect("an address").trim().parse().expect("an address")
}

/// Sends a call to a management address. The complete response, or None if the address does not accept
/// connections.
pub fn try_call(at: SocketAddr, line: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(STEP_TIMEOUT)).ok()?;
    stream.write_all(line).ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    Some(String::from_utf8(answer).expect("text"))
}

/// Sends a call to a management address that must respond.
pub fn call(at: SocketAddr, line: &[u8]) -> String {
    try_call(at, line).expect("a response from the management address")
}

/// Serves each connection on a new thread.
pub fn serve_each(listener: TcpListener, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
}

pub fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}
