//! An upgrade under load: the running process passes its listening socket and its state to a newly started
//! one. While both run, each forwards worker events meant for the other. The new process requests the
//! handover over a Unix socket in the runtime folder.

use crate::accord::GroupMember;
use crate::clients::listener::{ClientListener, SHORT_OF_DESCRIPTORS};
use crate::exchange::Exchange;
use crate::list::worker_list::WorkerList;
use crate::succession::fd_passing;
use crate::succession::handover_state::{HandoverState, VERSION};
use crate::succession::link::{
    frame, frame_buffer, read_frame, Link, Message, Peer, PEER_TIMEOUT, QUEUE_CAPACITY,
};
use crate::succession::shutdown::Shutdown;
use crate::workers::pool::Pool;
use crate::workers::updates;
use slog::{info, warn, Logger};
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream as BlockingStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The new process has to serve within this time: the platform waits for six seconds.
const READY_TIMEOUT: Duration = Duration::from_secs(3);

/// What the predecessor of this process has handed over.
pub struct Takeover {
    pub listener: TcpListener,
    pub state: HandoverState,
    /// The connection to the predecessor.
    pub stream: BlockingStream,
}

/// Path of the Unix socket on which the running process accepts handover requests.
pub fn socket_path(runtime: &Path, name: &str) -> PathBuf {
    runtime.join(format!("tindock-{name}.sock"))
}

/// Requests the handover from the running process; `None` if there is none. Blocks: there is nothing else to
/// do yet.
pub fn request(path: &Path, at: SocketAddr) -> Result<Option<Takeover>> {
    let mut stream = match BlockingStream::connect(path) {
        Ok(stream) => stream,
        // No file, or one left behind by a process that has exited.
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => return Ok(None),
        Err(e) => return Err(e),
    };
    stream.set_read_timeout(Some(PEER_TIMEOUT))?;
    stream.set_write_timeout(Some(PEER_TIMEOUT))?;
    stream.write_all(&frame(&Message::Hello { version: VERSION })?)?;
    let listener = TcpListener::from(fd_passing::receive_socket(&stream)?);
    let bound = listener.local_addr()?;
    if bound != at && (bound.ip(), 0) != (at.ip(), at.port()) {
        return Err(Error::new(
            ErrorKind::AddrNotAvailable,
            format!("the running process listens on {bound}, not on {at}"),
        ));
    }
    listener.set_nonblocking(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut text = frame_buffer(u32::from_be_bytes(length))?;
    stream.read_exact(&mut text)?;
    let state = HandoverState::parse(&text).map_err(|why| Error::new(ErrorKind::InvalidData, why))?;
    stream.set_nonblocking(true)?;
    Ok(Some(Takeover { listener, state, stream }))
}

pub struct Handover {
    pub socket_path: Option<PathBuf>,
    pub link: Rc<Link>,
    /// The clients' listening socket.
    pub listener: Rc<tokio::net::TcpListener>,
    pub exchange: Rc<Exchange>,
    pub workers: Rc<WorkerList>,
    pub clients: Rc<ClientListener>,
    pub pool: Rc<Pool>,
    pub shutdown: Rc<Shutdown>,
    /// Where a group of schedulers agrees on the policy: this scheduler's membership is handed over too.
    pub group: Option<Rc<GroupMember>>,
    /// Whether this process accepts clients.
    pub accepting: Rc<Cell<bool>>,
    /// Wakes `accept` to bind the Unix socket again: a failed successor may have replaced the file.
    pub rebind: Notify,
    pub log: Logger,
}

impl Handover {
    /// Runs in the new process: reports to the predecessor that it serves, and uses the whole connection
    /// limits once the predecessor has exited.
    pub async fn finish_takeover(self: Rc<Self>, stream: UnixStream) {
        let (clients, workers) = (self.clients.give_up_half(), self.pool.give_up_half());
        self.exchange_messages(stream, Some(Message::Serving), || ()).await;
        info!(self.log, "the previous process has exited");
        self.clients.raise_limit(clients);
        self.pool.add_permits(workers);
    }

    /// Binds the Unix socket for handover requests. Bound before this process reports ready: otherwise an
    /// upgrade right after the start would find no socket, and the new process would share the address
    /// instead.
    pub fn listen(&self) -> Option<UnixListener> {
        let path = self.socket_path.as_deref()?;
        let _ = std::fs::remove_file(path);
        let listener = UnixListener::bind(path);
        listener.map_err(|e| warn!(self.log, "handover is not possible, {}: {e}", path.display())).ok()
    }

    /// Accepts handover requests for as long as this process runs.
    pub async fn accept(self: Rc<Self>, mut requests: Option<UnixListener>) {
        while let Some(listener) = requests {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = self.rebind.notified() => break,
                };
                match stream {
                    Ok((stream, _)) => drop(spawn_local(self.clone().hand_over(stream))),
                    Err(_) => tokio::time::sleep(SHORT_OF_DESCRIPTORS).await,
                }
            }
            requests = self.listen();
        }
    }

    /// Answers a handover request. If the new process exits before it serves, this one resumes.
    async fn hand_over(self: Rc<Self>, mut stream: UnixStream) {
        let hello = timeout(PEER_TIMEOUT, read_frame(&mut stream)).await;
        let hello = hello.ok().and_then(Result::ok).and_then(|text| serde_json::from_slice(&text).ok());
        let supported = matches!(hello, Some(Message::Hello { version }) if version == VERSION);
        if !supported || self.link.peer.borrow().is_some() {
            warn!(
                self.log,
                "handover request refused: unsupported version, or another handover is in progress"
            );
            return;
        }
        // The new process will take the new tasks: connections wait in the shared accept queue until it
        // serves.
        self.accepting.set(false);
        self.clients.pause(true);
        self.group.iter().for_each(|group| group.suspend());
        let state = self.exchange.export_state(&self.workers.names());
        let sent = async {
            stream.writable().await?;
            fd_passing::send_socket(&stream, &*self.listener)?;
            stream.write_all(&frame(&state)?).await
        };
        let serves = Cell::new(false);
        match timeout(PEER_TIMEOUT, sent).await {
            Ok(Ok(())) => {
                info!(self.log, "handed over to the new process");
                let on_serving = || {
                    serves.set(true);
                    self.shutdown.set_succeeded(true);
                    self.clients.close_all();
                };
                let ready_timeout = async {
                    tokio::time::sleep(READY_TIMEOUT).await;
                    if serves.get() {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    () = self.exchange_messages(stream, None, on_serving) => {}
                    () = ready_timeout => {}
                }
            }
            Ok(Err(e)) => warn!(self.log, "handover failed: {e}"),
            Err(_) => warn!(self.log, "handover did not finish within {} s", PEER_TIMEOUT.as_secs()),
        }
        self.link.peer.replace(None);
        if !self.shutdown.is_requested() {
            warn!(self.log, "the new process is gone: this process resumes");
            self.shutdown.set_succeeded(false);
            self.exchange.set_yielded(false);
            self.group.iter().for_each(|group| drop(spawn_local(group.clone().resume())));
            self.clients.pause(false);
            self.accepting.set(true);
            self.rebind.notify_one();
        }
    }

    /// Exchanges messages with the other process until either of the two exits.
    async fn exchange_messages(&self, stream: UnixStream, first: Option<Message>, serves: impl Fn()) {
        let (mut read, mut write) = stream.into_split();
        let (outgoing, mut queued) = mpsc::channel(QUEUE_CAPACITY);
        self.link.peer.replace(Some(Peer { outgoing, unconfirmed: HashMap::new(), next_number: 0 }));
        first.into_iter().for_each(|message| self.link.send(message));
        let writes = async {
            while let Some(message) = queued.recv().await {
                write.write_all(&frame(&message)?).await?;
            }
            Ok::<(), Error>(())
        };
        let reads = async {
            loop {
                match serde_json::from_slice(&read_frame(&mut read).await?)? {
                    Message::Hello { .. } => {}
                    Message::Serving => serves(),
                    Message::Event { number, body } => {
                        if let Ok(event) = updates::decode(body.as_bytes()) {
                            self.exchange.apply_update(event);
                        }
                        self.link.send(Message::Received { number });
                    }
                    Message::Received { number } => self.link.received(number),
                    Message::Ban { name, banned } => self.exchange.apply_remote_ban(&name, banned),
                }
            }
        };
        let ended: Result<()> = tokio::select! {
            ended = writes => ended,
            ended = reads => ended,
        };
        if let Some(e) = ended.err().filter(|e| e.kind() == ErrorKind::InvalidData) {
            warn!(self.log, "the other process sent an unreadable message: {e}");
        }
        self.link.peer.replace(None);
    }
}
