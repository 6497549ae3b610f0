//! The keeper's control address: one line per connection, as at a scheduler's operators' address.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Long enough for a call with a run, a digest and a path.
const MAX_LINE_BYTES: u64 = 4096;
/// Time for reading a call, and for answering it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Concurrent connections; further ones are closed at once.
const MAX_CALLERS: usize = 12;
/// Calls that may wait for an answer at a time.
pub const QUEUE_CAPACITY: usize = MAX_CALLERS;

#[derive(Debug, PartialEq)]
pub enum Call {
    Ready,
    Programs,
    /// Starts a scheduler again after a crash loop.
    Restart {
        name: String,
    },
    /// Upgrades a scheduler to a program, on behalf of a run; without a path, to one that the keeper has
    /// already.
    Upgrade {
        name: String,
        run: String,
        number: u64,
        digest: String,
        path: Option<PathBuf>,
    },
}

pub struct Request {
    pub call: Call,
    pub reply: SyncSender<Result<String, String>>,
}

fn parse(line: &str) -> Result<Call, String> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["readyz"] => Ok(Call::Ready),
        ["programs"] => Ok(Call::Programs),
        ["anew", name] => Ok(Call::Restart { name: name.into() }),
        ["bring", name, run, number, digest, ref path @ ..] => {
            let number = number.parse().map_err(|_| format!("{number:?} is no number"))?;
            let path = (!path.is_empty()).then(|| PathBuf::from(path.join(" ")));
            Ok(Call::Upgrade { name: name.into(), run: run.into(), number, digest: digest.into(), path })
        }
        _ => Err(
            "unknown call; the calls are readyz, programs, anew NAME, bring NAME RUN NUMBER DIGEST [PATH]"
                .into(),
        ),
    }
}

/// Accepts calls, each on its own thread, until the process exits.
pub fn listen(address: SocketAddr, requests: SyncSender<Request>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let callers = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new().name("control".into()).spawn(move || {
        for stream in listener.incoming().flatten() {
            let (requests, active) = (requests.clone(), callers.clone());
            if callers.fetch_add(1, Ordering::SeqCst) >= MAX_CALLERS {
                callers.fetch_sub(1, Ordering::SeqCst);
                continue;
            }
            let handle = move || {
                // The caller may have closed the connection.
                let _ = handle(stream, &requests);
                active.fetch_sub(1, Ordering::SeqCst);
            };
            if std::thread::Builder::new().spawn(handle).is_err() {
                callers.fetch_sub(1, Ordering::SeqCst);
            }
        }
    })?;
    Ok(address)
}

fn handle(mut stream: TcpStream, requests: &SyncSender<Request>) -> std::io::Result<()> {
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    let mut line = String::new();
    BufReader::new(stream.try_clone()?.take(MAX_LINE_BYTES)).read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Ok(());
    }
    let answer = parse(&line).and_then(|call| {
        let (reply, received) = sync_channel(1);
        requests.try_send(Request { call, reply }).map_err(|_| "too many calls at once")?;
        received.recv_timeout(CALL_TIMEOUT).unwrap_or_else(|_| Err("no answer in time".into()))
    });
    stream.write_all(answer.unwrap_or_else(|why| format!("error {why}\n")).as_bytes())
}
