//! An example to try the scheduler with: three workers that convert a task's body to upper case, and the
//! discovery agent that lists them. It uses the addresses of `examples/config.json`. Its arguments are
//! addresses of schedulers that get the task updates instead of the default one; a scheduler ignores updates
//! of tasks it does not know.

use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const SCHEDULER: &str = "127.0.0.1:7000";
/// Limits how long an unresponsive scheduler delays updates to the others.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
const DISCOVERY: &str = "127.0.0.1:7500";
const WORKERS: [&str; 3] = ["127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"];
/// Duration of a task.
const TASK_DURATION: Duration = Duration::from_millis(300);

/// Reads the next message of a connection: its first line, id and body; none at the end of the stream.
fn read_message(from: &mut BufReader<TcpStream>) -> Result<Option<(String, String, String)>> {
    let (mut first, mut id, mut length) = (String::new(), String::new(), 0);
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        match line.trim().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("x-trace-id") => id = value.into(),
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().unwrap_or(0);
            }
            None if line.trim().is_empty() => break,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Some((first, id, String::from_utf8_lossy(&body).into())))
}

fn respond(to: &mut TcpStream, status: &str, body: &str) -> Result<()> {
    // A single write: several small ones would be delayed by Nagle's algorithm.
    to.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
}

/// Reports a change of a task's state to the schedulers.
fn report(update: &str) -> Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let schedulers = if arguments.is_empty() { vec![SCHEDULER.into()] } else { arguments };
    let length = update.len();
    let request = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{update}");
    let send_to = |at: &String| -> Result<()> {
        let mut to = TcpStream::connect(at)?;
        to.set_read_timeout(Some(READ_TIMEOUT))?;
        to.write_all(request.as_bytes())?;
        BufReader::new(to).read_line(&mut String::new()).map(drop)
    };
    // All schedulers are tried even if some fail, so the one that has the task gets the update.
    let results: Vec<Result<()>> = schedulers.iter().map(send_to).collect();
    if results.iter().any(Result::is_ok) {
        return Ok(());
    }
    results.into_iter().collect()
}

fn run(name: &str, id: &str, body: &str) -> Result<()> {
    report(&format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#))?;
    sleep(TASK_DURATION);
    let result: String = body.chars().filter(|c| !c.is_control() && !"\"\\".contains(*c)).collect();
    let result = result.to_uppercase();
    report(&format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{result} (by {name})"}}"#))
}

fn serve_worker(name: String, stream: TcpStream) -> Result<()> {
    let (mut to, mut from) = (stream.try_clone()?, BufReader::new(stream));
    while let Some((first, id, body)) = read_message(&mut from)? {
        println!("{name}: {}", first.trim());
        respond(&mut to, if first.starts_with("POST") { "202 Accepted" } else { "200 OK" }, "")?;
        if first.starts_with("POST") {
            let name = name.clone();
            spawn(move || run(&name, &id, &body));
        }
    }
    Ok(())
}

/// Serves the complete list to a first request; later ones get an empty answer, as the list never changes.
fn serve_discovery(stream: TcpStream) -> Result<()> {
    let (mut to, mut from) = (stream.try_clone()?, BufReader::new(stream));
    while let Some((first, ..)) = read_message(&mut from)? {
        let is_snapshot = !first.contains("after=1");
        if !is_snapshot {
            sleep(Duration::from_secs(2));
        }
        let entry = |(number, address): (usize, &&str)| {
            format!(
                r#"{{"name":"toy-{number}","address":"{address}","zone":"here","type":"toy","group":0,
 "status":"active","weight":2.0,"since_ms":0}}"#
            )
        };
        let entries: Vec<String> = WORKERS.iter().filter(|_| is_snapshot).enumerate().map(entry).collect();
        let entries = entries.join(",");
        respond(
            &mut to,
            "200 OK",
            &format!(r#"{{"index":1,"snapshot":{is_snapshot},"endpoints":[{entries}]}}"#),
        )?;
    }
    Ok(())
}

fn main() -> Result<()> {
    for (number, address) in WORKERS.iter().enumerate() {
        let listener = TcpListener::bind(address)?;
        spawn(move || {
            for stream in listener.incoming().flatten() {
                spawn(move || serve_worker(format!("toy-{number}"), stream));
            }
        });
    }
    println!("discovery at {DISCOVERY}, workers at {WORKERS:?}");
    for stream in TcpListener::bind(DISCOVERY)?.incoming().flatten() {
        spawn(move || serve_discovery(stream));
    }
    Ok(())
}
