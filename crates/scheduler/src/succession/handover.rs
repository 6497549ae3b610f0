//! An upgrade under load: the process that runs hands its listening socket and what it knows to the one that was started
//! beside it, and both hand each other what reaches the wrong one, for as long as both live. The new one asks over a
//! Unix socket in the runtime folder.

use crate::accord::Accord;
use crate::clients::listener::{ClientListener, SHORT_OF_DESCRIPTORS};
use crate::exchange::Exchange;
use crate::list::worker_list::WorkerList;
use crate::succession::heritage::{Heritage, VERSION};
use crate::succession::line::{frame, read_frame, room, Line, Partner, Word, PATIENCE, WAITING};
use crate::succession::passing;
use crate::succession::stopping::Stopping;
use crate::workers::pool::Pool;
use crate::workers::updates;
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream as Blocking;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A new process that does not serve by then will not: the platform waits for six seconds.
const TO_SERVE: Duration = Duration::from_secs(3);

/// What the process before this one has handed over.
pub struct Taken {
    pub listener: TcpListener,
    pub heritage: Heritage,
    /// The line to it.
    pub stream: Blocking,
}

/// Where the process that runs can be asked.
pub fn place(runtime: &Path, name: &str) -> PathBuf {
    runtime.join(format!("tindock-{name}.sock"))
}

/// Asks the process that runs already; none where there is none. Waits for it: this one has nothing else to do yet.
pub fn ask(place: &Path, at: SocketAddr) -> Result<Option<Taken>> {
    let mut stream = match Blocking::connect(place) {
        Ok(stream) => stream,
        // No file, or one that a process left which is gone.
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(e),
    };
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(&frame(&Word::Hello { version: VERSION })?)?;
    let listener = TcpListener::from(passing::receive(&stream)?);
    let is = listener.local_addr()?;
    if is != at && (is.ip(), 0) != (at.ip(), at.port()) {
        return Err(Error::new(ErrorKind::AddrNotAvailable, format!("it listens on {is}, not on {at}")));
    }
    listener.set_nonblocking(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut text = room(u32::from_be_bytes(length))?;
    stream.read_exact(&mut text)?;
    let heritage = Heritage::read(&text).map_err(|why| Error::new(ErrorKind::InvalidData, why))?;
    stream.set_nonblocking(true)?;
    Ok(Some(Taken { listener, heritage, stream }))
}

pub struct Handover {
    pub place: Option<PathBuf>,
    pub line: Rc<Line>,
    /// The clients' listening socket.
    pub listener: Rc<tokio::net::TcpListener>,
    pub exchange: Rc<Exchange>,
    pub muster: Rc<WorkerList>,
    pub door: Rc<ClientListener>,
    pub pool: Rc<Pool>,
    pub stopping: Rc<Stopping>,
    /// Where a group decides the policy: its place there goes along.
    pub group: Option<Rc<Accord>>,
    /// Clients are let in here.
    pub open: Rc<Cell<bool>>,
    /// The file that names this process's place may be another's by now.
    pub again: Notify,
    pub log: Logger,
}

impl Handover {
    /// This process took over: it tells the one before that it serves, and has all of the room once that one is gone.
    pub async fn after(self: Rc<Self>, stream: UnixStream) {
        let (clients, workers) = (self.door.give_up_half(), self.pool.give_up_half());
        self.talk(stream, Some(Word::Serving), || ()).await;
        info!(self.log, "the process before this one has ended");
        self.door.raise_limit(clients);
        self.pool.add_permits(workers);
    }

    /// The place where the process that is started beside this one asks. Bound before anybody can take this one for
    /// ready: guards against an upgrade right after the start that finds nobody to ask, and shares the address instead.
    pub fn listen(&self) -> Option<UnixListener> {
        let place = self.place.as_deref()?;
        let _ = std::fs::remove_file(place);
        let listener = UnixListener::bind(place);
        listener.map_err(|e| warn!(self.log, "nothing can be handed over, {}: {e}", place.display())).ok()
    }

    /// Waits for a process that is started beside this one, for as long as this one lives.
    pub async fn keep(self: Rc<Self>, mut place: Option<UnixListener>) {
        while let Some(listener) = place {
            loop {
                let stream = tokio::select! {
                    came = listener.accept() => came,
                    () = self.again.notified() => break,
                };
                match stream {
                    Ok((stream, _)) => drop(spawn_local(self.clone().offer(stream))),
                    Err(_) => tokio::time::sleep(SHORT_OF_DESCRIPTORS).await,
                }
            }
            place = self.listen();
        }
    }

    /// A process that was started beside this one asks. Until it serves, this one goes on if it ends.
    async fn offer(self: Rc<Self>, mut stream: UnixStream) {
        let hello = timeout(PATIENCE, read_frame(&mut stream)).await;
        let hello = hello.ok().and_then(Result::ok).and_then(|text| serde_json::from_slice(&text).ok());
        let knows = matches!(hello, Some(Word::Hello { version }) if version == VERSION);
        if !knows || self.line.partner.borrow().is_some() {
            warn!(self.log, "who asks for what is here is of another version, or a second one: not answered");
            return;
        }
        // From here on it takes the new tasks: whoever connects waits in the one queue until it serves.
        self.open.set(false);
        self.door.pause(true);
        self.group.iter().for_each(|group| group.rest());
        let heritage = self.exchange.export_state(&self.muster.names());
        let sent = async {
            stream.writable().await?;
            passing::pass(&stream, &*self.listener)?;
            stream.write_all(&frame(&heritage)?).await
        };
        let serves = Cell::new(false);
        match timeout(PATIENCE, sent).await {
            Ok(Ok(())) => {
                info!(self.log, "handed over to the process started beside this one");
                let begins = || {
                    serves.set(true);
                    self.stopping.succeeded(true);
                    self.door.close_all();
                };
                let in_time = async {
                    tokio::time::sleep(TO_SERVE).await;
                    if serves.get() {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    () = self.talk(stream, None, begins) => {}
                    () = in_time => {}
                }
            }
            Ok(Err(e)) => warn!(self.log, "could not hand over: {e}"),
            Err(_) => warn!(self.log, "could not hand over in {} s", PATIENCE.as_secs()),
        }
        self.line.partner.replace(None);
        if !self.stopping.is_told() {
            warn!(self.log, "the process started beside this one is gone: this one goes on");
            self.stopping.succeeded(false);
            self.exchange.set_yielded(false);
            self.group.iter().for_each(|group| drop(spawn_local(group.clone().resume())));
            self.door.pause(false);
            self.open.set(true);
            self.again.notify_one();
        }
    }

    /// Speaks with the other process until one of both ends.
    async fn talk(&self, stream: UnixStream, first: Option<Word>, serves: impl Fn()) {
        let (mut read, mut write) = stream.into_split();
        let (words, mut told) = mpsc::channel(WAITING);
        self.line.partner.replace(Some(Partner { words, waiting: HashMap::new(), next: 0 }));
        first.into_iter().for_each(|word| self.line.say(word));
        let writes = async {
            while let Some(word) = told.recv().await {
                write.write_all(&frame(&word)?).await?;
            }
            Ok::<(), Error>(())
        };
        let reads = async {
            loop {
                match serde_json::from_slice(&read_frame(&mut read).await?)? {
                    Word::Hello { .. } => {}
                    Word::Serving => serves(),
                    Word::News { number, body } => {
                        if let Ok(news) = updates::decode(body.as_bytes()) {
                            self.exchange.apply_update(news);
                        }
                        self.line.say(Word::Heard { number });
                    }
                    Word::Heard { number } => self.line.heard(number),
                    Word::Ban { name, banned } => self.exchange.apply_remote_ban(&name, banned),
                }
            }
        };
        let ended: Result<()> = tokio::select! {
            ended = writes => ended,
            ended = reads => ended,
        };
        if let Some(e) = ended.err().filter(|e| e.kind() == ErrorKind::InvalidData) {
            warn!(self.log, "the other process said what cannot be read: {e}");
        }
        self.line.partner.replace(None);
    }
}
