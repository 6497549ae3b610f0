//! How pages, archives and the desk beside a page carry notes to one another: frames of postcard over TCP, one stream a
//! direction. A note may be lost with its stream; what matters is said again by who said it.

use crate::stream_header::StreamHeader;
use serde::{de::DeserializeOwned, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::timeout;

/// A frame longer than this ends its stream.
const LONGEST: usize = 8 << 20;
/// Notes that may wait for a stream; beyond that they are lost.
const WAITING: usize = 256;
/// The first attempt to connect is given up after this, the second after longer: the other side may have come back meanwhile.
const FIRST: Duration = Duration::from_millis(200);
const CONNECT: Duration = Duration::from_millis(600);
/// What was sent and not acknowledged for so long ends the stream.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// After a failure a destination is let alone for so long.
const PAUSE: Duration = Duration::from_millis(50);

/// Makes silence of the other side an error in bounded time: a machine without power says nothing.
pub fn set_stream_timeouts(stream: &TcpStream, within: Duration) {
    let socket = socket2::SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(within));
    let _ = socket.set_keepalive(true);
    let probes =
        socket2::TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    let _ = socket.set_tcp_keepalive(&probes.with_retries(2));
}

/// Nothing to read, and not ended. Asks the system, since what the runtime has heard may be older than what has come.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(why) if why.kind() == std::io::ErrorKind::WouldBlock)
}

/// Set in a frame's length where its body is packed: links may be thin, and configurations repeat themselves.
const PACKED: u32 = 1 << 31;
/// Bodies shorter than this go as they are.
const SHORT: usize = 400;

/// A frame's bytes: its length, then its body in postcard, packed where that is shorter.
pub fn frame<T: Serialize>(note: &T) -> Vec<u8> {
    let Ok(body) = postcard::to_stdvec(note) else { return Vec::new() };
    let packed = (body.len() >= SHORT)
        .then(|| lz4_flex::compress_prepend_size(&body))
        .filter(|p| p.len() < body.len());
    let (mark, body) = packed.map_or((0, body), |packed| (PACKED, packed));
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&(body.len() as u32 | mark).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads one frame; None where the stream has ended, or says what cannot be read.
pub async fn read_frame<T: DeserializeOwned>(stream: &mut (impl AsyncReadExt + Unpin)) -> Option<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_le_bytes(length);
    let (packed, length) = (length & PACKED != 0, (length & !PACKED) as usize);
    if length > LONGEST {
        return None;
    }
    // Grows with what has come, so that a length alone takes no memory.
    let mut body = Vec::with_capacity(length.min(64 << 10));
    (&mut *stream).take(length as u64).read_to_end(&mut body).await.ok()?;
    if body.len() < length {
        return None;
    }
    if packed {
        // The length it claims is looked at before it is made room for.
        let claims = u32::from_le_bytes(body.get(..4)?.try_into().ok()?) as usize;
        body = (claims <= LONGEST).then(|| lz4_flex::decompress_size_prepended(&body).ok())??;
    }
    postcard::from_bytes(&body).ok()
}

/// Outgoing streams, one a destination, opened when there is something to say.
pub struct PeerSender {
    me: SocketAddr,
    streams: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl PeerSender {
    pub fn new(me: SocketAddr) -> Self {
        PeerSender { me, streams: HashMap::new() }
    }

    pub fn send<T: Serialize>(&mut self, to: SocketAddr, note: &T) {
        self.send_frame(to, frame(note));
    }

    pub fn send_frame(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if self.streams.len() > 1024 {
            self.streams.retain(|_, stream| !stream.is_closed());
        }
        let me = self.me;
        let stream = self.streams.entry(to).or_insert_with(|| open(me, to));
        let bytes = match stream.try_send(bytes) {
            Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
            Err(mpsc::error::TrySendError::Closed(bytes)) => bytes,
        };
        let stream = open(me, to);
        let _ = stream.try_send(bytes);
        self.streams.insert(to, stream);
    }
}

fn open(me: SocketAddr, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, notes) = mpsc::channel(WAITING);
    tokio::task::spawn_local(carry(me, to, notes));
    sender
}

thread_local! {
    /// Destinations that are being dialled, to be dialled anew at once when they speak.
    static DIALLED: RefCell<HashMap<SocketAddr, Rc<Notify>>> = RefCell::default();
}

/// Dials until it is clear whether the other side is there. A machine without power says nothing, so an attempt hangs; one that
/// began before the machine came back would go on hanging beside a machine that speaks already.
async fn dial(to: SocketAddr) -> Option<TcpStream> {
    let spoke = DIALLED.with(|dialled| dialled.borrow_mut().entry(to).or_default().clone());
    let mut patience = FIRST;
    let stream = loop {
        tokio::select! {
            biased;
            done = timeout(patience, TcpStream::connect(to)) => match done {
                Err(_) if patience < CONNECT => {}
                done => break done.ok().and_then(Result::ok),
            },
            () = spoke.notified() => {}
        }
        patience = CONNECT;
    };
    DIALLED.with(|dialled| dialled.borrow_mut().remove(&to));
    stream
}

/// Another process has opened a stream to this one.
fn spoke(from: SocketAddr) {
    DIALLED.with(|dialled| {
        if let Some(waits) = dialled.borrow().get(&from) {
            waits.notify_waiters();
        }
    });
}

/// Carries notes until nothing was said for a while; a failure loses those that wait, and the pause keeps a dead
/// destination from being dialled with each of them.
async fn carry(me: SocketAddr, to: SocketAddr, mut notes: mpsc::Receiver<Vec<u8>>) {
    'stream: loop {
        let Ok(Some(first)) = timeout(Duration::from_secs(20), notes.recv()).await else { return };
        let Some(mut stream) = dial(to).await else {
            tokio::time::sleep(PAUSE).await;
            while notes.try_recv().is_ok() {}
            continue;
        };
        set_stream_timeouts(&stream, UNACKNOWLEDGED);
        let mut bytes = frame(&StreamHeader::new(me));
        bytes.extend_from_slice(&first);
        loop {
            while bytes.len() < 64 << 10 {
                let Ok(more) = notes.try_recv() else { break };
                bytes.extend_from_slice(&more);
            }
            if stream.write_all(&bytes).await.is_err() {
                continue 'stream;
            }
            // The other side says nothing here: a byte or an end means that the stream is over.
            let mut none = [0; 1];
            bytes = tokio::select! {
                next = timeout(Duration::from_secs(20), notes.recv()) => match next {
                    Ok(Some(next)) => next,
                    _ => return,
                },
                _ = stream.read(&mut none) => continue 'stream,
            };
        }
    }
}

/// Takes streams in and hands their notes on, until the reader of notes is gone.
pub async fn listen<T: DeserializeOwned + 'static>(
    listener: TcpListener,
    notes: mpsc::Sender<(SocketAddr, T)>,
    most: usize,
) {
    let open = std::rc::Rc::new(std::cell::Cell::new(0usize));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= most {
            continue;
        }
        set_stream_timeouts(&stream, Duration::from_secs(3));
        let (notes, open) = (notes.clone(), open.clone());
        open.set(open.get() + 1);
        tokio::task::spawn_local(async move {
            let opening: Option<StreamHeader> = read_frame(&mut stream).await;
            if let Some(from) = opening.and_then(StreamHeader::compatible_sender) {
                spoke(from);
                while let Some(note) = read_frame::<T>(&mut stream).await {
                    if notes.send((from, note)).await.is_err() {
                        break;
                    }
                }
            }
            open.set(open.get() - 1);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn back(bytes: &[u8]) -> Option<Vec<String>> {
        let runtime = tokio::runtime::Builder::new_current_thread().build().ok()?;
        runtime.block_on(read_frame(&mut &bytes[..]))
    }

    #[test]
    fn a_frame_comes_back_as_it_was_and_a_cut_one_not_at_all() {
        let short = vec!["a note".to_string()];
        let long: Vec<String> = (0..500).map(|n| format!("dockline{n}.example/fizi331/")).collect();
        assert!(frame(&long).len() < postcard::to_stdvec(&long).map(|b| b.len()).unwrap_or(0) / 2);
        for note in [short, long] {
            let bytes = frame(&note);
            assert_eq!(back(&bytes), Some(note));
            for end in (0..bytes.len()).step_by(7) {
                assert_eq!(back(&bytes[..end]), None, "cut at {end}");
            }
        }
    }

    /// Guards against half a second lost after all power was: archives that came back first hung on those that came later, and
    /// answered none of their questions meanwhile.
    #[test]
    fn who_speaks_is_dialled_anew() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            // A listener whose queue is full drops what knocks, as a machine without power does.
            let mute =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
            mute.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("an address");
            mute.listen(0).expect("listens");
            let to = mute.local_addr().ok().and_then(|at| at.as_socket()).expect("its address");
            let first = TcpStream::connect(to).await.expect("the one that fits");
            let dials = tokio::task::spawn_local(dial(to));
            while DIALLED.with(|dialled| dialled.borrow().is_empty()) {
                tokio::task::yield_now().await;
            }
            // There is room now, but what was dropped knocks again after a second: later than an attempt lasts.
            let taken = mute.accept().expect("the first one");
            spoke(SocketAddr::from(([127, 0, 0, 1], 1)));
            spoke(to);
            assert!(dials.await.expect("ends").is_some());
            assert!(DIALLED.with(|dialled| dialled.borrow().is_empty()));
            drop((first, taken));
        });
    }

    #[test]
    fn a_length_alone_takes_no_memory_and_a_false_one_ends_the_stream() {
        assert_eq!(back(&u32::MAX.to_le_bytes()), None);
        let mut bytes = (8u32 | PACKED).to_le_bytes().to_vec();
        bytes.extend_from_slice(&u32::MAX.to_le_bytes());
        bytes.extend_from_slice(&[0; 4]);
        assert_eq!(back(&bytes), None);
    }
}
