//! The operators' address: one line for each connection, answered by a line that begins with `done` or
//! `error`, or by figures and a line `end`.

use crate::accord::{Change, GroupMember};
use crate::clients::listener::SHORT_OF_DESCRIPTORS;
use crate::exchange::Exchange;
use crate::operators::bans::Bans;
use crate::operators::reload::Reread;
use crate::operators::telemetry::Telemetry;
use crate::operators::version::Version;
use crate::succession::link::Link;
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// The longest call is a command and a worker's name.
const MAX_LINE_BYTES: usize = 256;
/// Time limit for a call and for its answer, each.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Concurrent callers, within the descriptors that the scheduler reserves for itself. One more replaces the
/// oldest: a caller that has sent a whole line is answered at once, so the oldest has not. Guards against
/// callers that connect and send nothing.
const MAX_CALLERS: usize = 12;

pub struct Management {
    pub exchange: Rc<Exchange>,
    pub telemetry: Rc<Telemetry>,
    pub bans: Bans,
    pub version: Rc<Version>,
    /// To the task that rereads the configuration.
    pub rereads: mpsc::Sender<Reread>,
    /// The connection to the other process during an upgrade.
    pub handover: Rc<Link>,
    /// The group that decides the policy, if there is one.
    pub group: Option<Rc<GroupMember>>,
    /// Clients are accepted, and nothing is left to be handed over.
    pub open: Rc<Cell<bool>>,
    pub log: Logger,
}

impl Management {
    /// Answers calls until the process ends.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let callers = RefCell::new(VecDeque::<AbortHandle>::new());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(SHORT_OF_DESCRIPTORS).await;
                continue;
            };
            let mut callers = callers.borrow_mut();
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MAX_CALLERS {
                callers.pop_front().iter().for_each(AbortHandle::abort);
            }
            callers.push_back(spawn_local(self.clone().serve(stream)).abort_handle());
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let line = match timeout(CALLER_TIMEOUT, read_line(&mut stream)).await {
            Ok(line) => line,
            Err(_) => Err(format!("no whole line in {} s", CALLER_TIMEOUT.as_secs())),
        };
        let answer = match line {
            Ok(None) => return,
            Ok(Some((line, rest))) => match line.split_ascii_whitespace().collect::<Vec<_>>()[..] {
                ["propose", ending, digest, count] => {
                    self.propose(&mut stream, rest, ending, digest, count).await
                }
                _ => self.answer(&line).await,
            },
            Err(why) => Err(why),
        };
        // Answers contain the program's own text; what they quote was escaped.
        let text = answer.unwrap_or_else(|why| format!("error {why}\n"));
        let _ = timeout(CALLER_TIMEOUT, async {
            stream.write_all(text.as_bytes()).await?;
            stream.shutdown().await
        })
        .await;
    }

    async fn answer(&self, line: &str) -> Result<String, String> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let done = || String::from("done\n");
        let takes = |call, wants| Err(format!("{call} takes {wants} words, not {}", words.len() - 1));
        match words[..] {
            [] => Err("an empty line; a call was expected".into()),
            ["readyz"] => self.not_ready_reason().map_or_else(|| Ok(done()), |why| Err(why.into())),
            ["telemetry"] => Ok(self.telemetry.figures(self.exchange.snapshot()) + "\nend\n"),
            [call @ ("exclude" | "include"), name] => self.ban(name, call == "exclude").map(|()| done()),
            ["version"] => Ok(self.version.line(self.not_ready_reason().is_none()) + "\nend\n"),
            ["lease", run, number] => self.version.lease(run, number).map(|()| done()),
            ["release", run, number] => self.version.release(run, number).map(|()| done()),
            ["reread", run, number, digest] => {
                self.version.lease(run, number)?;
                self.reread(digest.into()).await.map(|()| done())
            }
            ["policy"] => Ok(self.group()?.status()? + "\nend\n"),
            ["policy-history"] => Ok(self.group()?.history()? + "\nend\n"),
            ["policy-text", number] => {
                let number = number.parse().map_err(|_| format!("{number:?} is no number"))?;
                Ok(self.group()?.text_of(number)? + "\nend\n")
            }
            ["admit", name, address] => {
                let at = address.parse().map_err(|_| format!("{address:?}; address:port was expected"))?;
                self.change(Change::Admit { name: name.into(), address: at }).await
            }
            ["forget", name] => self.change(Change::Remove { name: name.into() }).await,
            [call @ ("readyz" | "telemetry" | "version" | "policy" | "policy-history"), ..] => takes(call, 0),
            [call @ ("exclude" | "include" | "policy-text" | "forget"), ..] => takes(call, 1),
            [call @ ("lease" | "release" | "admit"), ..] => takes(call, 2),
            [call @ ("reread" | "propose"), ..] => takes(call, 3),
            [call, ..] => Err(format!(
                "{call:?} is no call; those are readyz, telemetry, exclude ID, include ID, version, \
                 lease RUN NUMBER, reread RUN NUMBER DIGEST, release RUN NUMBER, policy, policy-history, \
                 policy-text NUMBER, propose ENDING DIGEST BYTES, admit NAME ADDRESS, forget NAME"
            )),
        }
    }

    fn group(&self) -> Result<&GroupMember, String> {
        self.group.as_deref().ok_or_else(|| "no group decides the policy here: there is no [accord]".into())
    }

    async fn change(&self, change: Change) -> Result<String, String> {
        let (number, digest) = self.group()?.propose(change).await?;
        Ok(format!("done {number} {digest}\n"))
    }

    /// Reads a policy that follows its line, and checks its digest. Guards against a truncated policy.
    async fn propose(
        &self,
        stream: &mut TcpStream,
        mut policy: Vec<u8>,
        ending: &str,
        digest: &str,
        count: &str,
    ) -> Result<String, String> {
        self.group()?;
        let max_bytes = tindock_policy_consensus::MAX_TEXT_BYTES;
        let count: usize = count
            .parse()
            .ok()
            .filter(|count| *count <= max_bytes)
            .ok_or_else(|| format!("{count:?} bytes; a number up to {max_bytes} was expected"))?;
        if !matches!(ending, "toml" | "json") {
            return Err(format!("{ending:?}; toml or json was expected"));
        }
        policy.truncate(count);
        let received = policy.len();
        policy.resize(count, 0);
        let read = timeout(CALLER_TIMEOUT, stream.read_exact(&mut policy[received..])).await;
        if !matches!(read, Ok(Ok(_))) || tindock_scheduler_config::digest(&policy) != digest {
            return Err("the policy is incomplete".into());
        }
        let policy = String::from_utf8(policy).map_err(|_| "a policy that is no UTF-8")?;
        self.change(Change::Policy { policy, ending: ending.into() }).await
    }

    async fn reread(&self, digest: String) -> Result<(), String> {
        let (answer, result) = oneshot::channel();
        let full = |_| "too many such calls at once";
        self.rereads.try_send(Reread { digest, answer }).map_err(full)?;
        result.await.unwrap_or_else(|_| Err("not done: the scheduler ends".into()))
    }

    fn not_ready_reason(&self) -> Option<&'static str> {
        if !self.open.get() {
            return Some("not ready: clients are not let in");
        }
        if !self.exchange.can_decide() {
            return Some("not ready: no workers are known");
        }
        let group = self.group.as_ref().filter(|group| group.serves().is_err());
        group.map(|_| "not ready: the group does not say that the policy here is in force; ask policy")
    }

    /// Applied, and stored in the file, before the answer.
    fn ban(&self, name: &str, banned: bool) -> Result<(), String> {
        let Some(changed) = self.exchange.ban(name, banned) else {
            return Err(format!("worker {name:?} was never listed"));
        };
        if changed {
            self.handover.send_ban(name, banned);
            let what = if banned { "excluded" } else { "included" };
            info!(self.log, "worker {name} {what} by an operator");
            if let Err(e) = self.bans.write(self.exchange.bans()) {
                warn!(self.log, "exclusions of workers cannot be stored for the next start: {e}");
            }
        }
        Ok(())
    }
}

/// Reads the line of a caller and the bytes after it; none if the caller disconnects before its end.
async fn read_line(stream: &mut TcpStream) -> Result<Option<(String, Vec<u8>)>, String> {
    let (mut buffer, mut filled) = ([0; MAX_LINE_BYTES], 0);
    loop {
        if filled == buffer.len() {
            return Err(format!("a line of over {MAX_LINE_BYTES} bytes"));
        }
        let Ok(read) = stream.read(&mut buffer[filled..]).await else { return Ok(None) };
        if read == 0 {
            return Ok(None);
        }
        let before = filled;
        filled += read;
        if let Some(at) = buffer[before..filled].iter().position(|&b| b == b'\n') {
            let text = std::str::from_utf8(&buffer[..before + at]);
            let rest = buffer[before + at + 1..filled].to_vec();
            return text.map(|t| Some((t.into(), rest))).map_err(|_| "a line that is no UTF-8".into());
        }
    }
}
