//! The operators' address: one line a connection, answered by a line that begins with `done` or `error`, or by the
//! figures and a line `end`.

use crate::accord::{Change, GroupMember};
use crate::clients::door::SHORT_OF_DESCRIPTORS;
use crate::exchange::Exchange;
use crate::operators::bans::Bans;
use crate::operators::reloading::Reread;
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

/// The longest call is a word and a worker's name.
const LONGEST_LINE: usize = 256;
/// Time for a call and for its answer: a caller that needs more has gone, or never meant to ask.
const WHOLE: Duration = Duration::from_secs(5);
/// Callers at a time, within the scheduler's own descriptors. One more puts out the one that has been here for
/// longest: whoever has sent a whole line is answered at once, so that one has not. Guards against callers that
/// connect and say nothing.
const MOST_CALLERS: usize = 12;

pub struct Management {
    pub exchange: Rc<Exchange>,
    pub telemetry: Rc<Telemetry>,
    pub bans: Bans,
    pub version: Rc<Version>,
    /// To who reads the configuration.
    pub rereads: mpsc::Sender<Reread>,
    /// To the process beside this one, during an upgrade.
    pub line: Rc<Link>,
    /// Where a group decides the policy.
    pub group: Option<Rc<GroupMember>>,
    /// Clients are let in, and nothing that is handed over is still to come.
    pub open: Rc<Cell<bool>>,
    pub log: Logger,
}

impl Management {
    /// Answers until the process ends.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let callers = RefCell::new(VecDeque::<AbortHandle>::new());
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(SHORT_OF_DESCRIPTORS).await;
                continue;
            };
            let mut callers = callers.borrow_mut();
            callers.retain(|caller| !caller.is_finished());
            if callers.len() >= MOST_CALLERS {
                callers.pop_front().iter().for_each(AbortHandle::abort);
            }
            callers.push_back(spawn_local(self.clone().attend(stream)).abort_handle());
        }
    }

    async fn attend(self: Rc<Self>, mut stream: TcpStream) {
        let line = match timeout(WHOLE, line(&mut stream)).await {
            Ok(line) => line,
            Err(_) => Err(format!("no whole line in {} s", WHOLE.as_secs())),
        };
        let answer = match line {
            Ok(None) => return,
            Ok(Some((line, behind))) => match line.split_ascii_whitespace().collect::<Vec<_>>()[..] {
                ["propose", ending, digest, count] => {
                    self.propose(&mut stream, behind, ending, digest, count).await
                }
                _ => self.answer(&line).await,
            },
            Err(why) => Err(why),
        };
        // Lines of answers are the program's own; what they quote was escaped.
        let text = answer.unwrap_or_else(|why| format!("error {why}\n"));
        let _ = timeout(WHOLE, async {
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
            ["readyz"] => self.why_not_ready().map_or_else(|| Ok(done()), |why| Err(why.into())),
            ["telemetry"] => Ok(self.telemetry.figures(self.exchange.moment()) + "\nend\n"),
            [call @ ("exclude" | "include"), name] => self.ban(name, call == "exclude").map(|()| done()),
            ["version"] => Ok(self.version.line(self.why_not_ready().is_none()) + "\nend\n"),
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

    /// A policy comes behind its line, with its digest. Guards against one that was cut on its way.
    async fn propose(
        &self,
        stream: &mut TcpStream,
        mut policy: Vec<u8>,
        ending: &str,
        digest: &str,
        count: &str,
    ) -> Result<String, String> {
        self.group()?;
        let longest = tindock_accord::MAX_TEXT_BYTES;
        let count: usize = count
            .parse()
            .ok()
            .filter(|count| *count <= longest)
            .ok_or_else(|| format!("{count:?} bytes; a number up to {longest} was expected"))?;
        if !matches!(ending, "toml" | "json") {
            return Err(format!("{ending:?}; toml or json was expected"));
        }
        policy.truncate(count);
        let begins = policy.len();
        policy.resize(count, 0);
        let whole = timeout(WHOLE, stream.read_exact(&mut policy[begins..])).await;
        if !matches!(whole, Ok(Ok(_))) || tindock_berth::digest(&policy) != digest {
            return Err("the policy did not come whole".into());
        }
        let policy = String::from_utf8(policy).map_err(|_| "a policy that is no UTF-8")?;
        self.change(Change::Policy { policy, ending: ending.into() }).await
    }

    async fn reread(&self, digest: String) -> Result<(), String> {
        let (answer, told) = oneshot::channel();
        let full = |_| "too many such calls at once";
        self.rereads.try_send(Reread { digest, answer }).map_err(full)?;
        told.await.unwrap_or_else(|_| Err("not done: the scheduler ends".into()))
    }

    fn why_not_ready(&self) -> Option<&'static str> {
        if !self.open.get() {
            return Some("not ready: clients are not let in");
        }
        if !self.exchange.can_decide() {
            return Some("not ready: no workers are known");
        }
        let group = self.group.as_ref().filter(|group| group.serves().is_err());
        group.map(|_| "not ready: the group does not say that the policy here is in force; ask policy")
    }

    /// In force, and in the file, before the yes.
    fn ban(&self, name: &str, banned: bool) -> Result<(), String> {
        let Some(changed) = self.exchange.ban(name, banned) else {
            return Err(format!("worker {name:?} was never listed"));
        };
        if changed {
            self.line.send_ban(name, banned);
            let what = if banned { "taken out" } else { "put back" };
            info!(self.log, "worker {name} {what} by hand");
            if let Err(e) = self.bans.write(self.exchange.bans()) {
                warn!(self.log, "who is out by hand will be forgotten at the next start: {e}");
            }
        }
        Ok(())
    }
}

/// The one line of a caller and what came behind it; none where it left before the end of it.
async fn line(stream: &mut TcpStream) -> Result<Option<(String, Vec<u8>)>, String> {
    let (mut buffer, mut filled) = ([0; LONGEST_LINE], 0);
    loop {
        if filled == buffer.len() {
            return Err(format!("a line of over {LONGEST_LINE} bytes"));
        }
        let Ok(came) = stream.read(&mut buffer[filled..]).await else { return Ok(None) };
        if came == 0 {
            return Ok(None);
        }
        let before = filled;
        filled += came;
        if let Some(at) = buffer[before..filled].iter().position(|&b| b == b'\n') {
            let text = std::str::from_utf8(&buffer[..before + at]);
            let behind = buffer[before + at + 1..filled].to_vec();
            return text.map(|t| Some((t.into(), behind))).map_err(|_| "a line that is no UTF-8".into());
        }
    }
}
