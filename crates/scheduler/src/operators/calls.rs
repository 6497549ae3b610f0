//! Calls to a scheduler's operators' address from another process.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Enough for the figures of some thousand workloads.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Sends a line and returns the whole answer, within the time limit.
pub fn request(at: SocketAddr, line: &str, limit: Duration) -> Result<String> {
    request_with_body(at, line, &[], limit)
}

/// The same with a body after the line; the line states its length.
pub fn request_with_body(at: SocketAddr, line: &str, bytes: &[u8], limit: Duration) -> Result<String> {
    let deadline = Instant::now() + limit;
    // A socket time-out of zero would mean no time-out.
    let remaining =
        || Some(deadline.saturating_duration_since(Instant::now())).filter(|remaining| !remaining.is_zero());
    let late = || Error::new(ErrorKind::TimedOut, format!("no whole answer in {limit:?}"));
    let mut stream = TcpStream::connect_timeout(&at, remaining().ok_or_else(late)?)?;
    stream.set_write_timeout(remaining())?;
    stream.write_all(&[line.as_bytes(), b"\n", bytes].concat())?;
    let (mut answer, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    loop {
        stream.set_read_timeout(Some(remaining().ok_or_else(late)?))?;
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(read) => answer.extend_from_slice(&chunk[..read]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(late()),
            Err(e) => return Err(e),
        }
        if answer.len() > MAX_ANSWER_BYTES {
            return Err(Error::new(ErrorKind::InvalidData, "an answer that is too long"));
        }
    }
    // Guards against a truncated answer: the beginning of a success could be read as an error.
    if answer.last().is_some_and(|&last| last != b'\n') {
        return Err(Error::new(ErrorKind::UnexpectedEof, "an answer that was cut"));
    }
    String::from_utf8(answer).map_err(|_| Error::new(ErrorKind::InvalidData, "an answer that is no text"))
}

/// Applies `f` to all items in parallel, so that a slow one delays none of the others.
pub fn map_parallel<T: Send, R: Send>(all: impl IntoIterator<Item = T>, f: impl Fn(T) -> R + Sync) -> Vec<R> {
    let f = &f;
    std::thread::scope(|scope| {
        let threads: Vec<_> = all.into_iter().map(|one| scope.spawn(move || f(one))).collect();
        let join = |thread: std::thread::ScopedJoinHandle<R>| {
            thread.join().unwrap_or_else(|why| std::panic::resume_unwind(why))
        };
        threads.into_iter().map(join).collect()
    })
}

/// The text before the last line of a successful answer, or the reported error.
pub fn parse_answer(answer: &str) -> std::result::Result<&str, String> {
    let whole = answer.trim_end();
    let (before, last) = whole.rsplit_once('\n').unwrap_or(("", whole));
    match last {
        "end" | "done" => Ok(before),
        _ if last.starts_with("done") => Ok(last),
        "" => Err("closed without an answer".into()),
        _ => Err(last.strip_prefix("error ").unwrap_or(last).into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    fn answered(with: &'static str) -> Result<String> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a caller");
            let _ = stream.read(&mut [0; 64]);
            stream.write_all(with.as_bytes()).expect("room to write");
        });
        let answer = request(at, "readyz", Duration::from_secs(10));
        server.join().expect("a server");
        answer
    }

    /// Guards against a truncated answer that is taken for an error: it says neither.
    #[test]
    fn truncated_answers_are_errors() {
        assert_eq!(answered("don").expect_err("cut").kind(), ErrorKind::UnexpectedEof);
        assert_eq!(answered("error lease: n").expect_err("cut").kind(), ErrorKind::UnexpectedEof);
        assert_eq!(parse_answer(&answered("done\n").expect("whole")), Ok(""));
        assert_eq!(parse_answer(&answered("{}\nend\n").expect("whole")), Ok("{}"));
        assert_eq!(parse_answer(&answered("error not now\n").expect("whole")), Err("not now".into()));
        assert_eq!(parse_answer(&answered("").expect("whole")), Err("closed without an answer".into()));
    }
}
