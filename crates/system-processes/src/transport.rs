//! Messages between agents, controllers and proxies: frames of postcard over TCP, one stream for each
//! direction. A message may be lost with its stream; senders repeat the messages that matter.

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

/// A longer frame ends its stream.
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Messages queued for a stream; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 256;
/// The first connection attempt times out early and is repeated with a longer timeout: the peer may have come
/// back meanwhile.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// A stream ends if sent data is not acknowledged for so long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// After a failed connection attempt no other one is made for so long.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Makes silence of the peer an error in bounded time: a machine that lost power does not close its
/// connections.
pub fn set_stream_timeouts(stream: &TcpStream, unacknowledged_for: Duration) {
    let socket = socket2::SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged_for));
    let _ = socket.set_keepalive(true);
    let probes =
        socket2::TcpKeepalive::new().with_time(Duration::from_secs(1)).with_interval(Duration::from_secs(1));
    let _ = socket.set_tcp_keepalive(&probes.with_retries(2));
}

/// Whether a stream is open with no bytes to read. Asks the operating system, since the runtime's readiness
/// events may lag behind received data.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(why) if why.kind() == std::io::ErrorKind::WouldBlock)
}

/// Set in a frame's length if its body is compressed: links may be slow, and configurations compress well.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Shorter bodies are not compressed.
const MIN_COMPRESSED_BYTES: usize = 400;

/// The bytes of a frame: its length, then its body in postcard, compressed if that is shorter.
pub fn frame<T: Serialize>(message: &T) -> Vec<u8> {
    let Ok(body) = postcard::to_stdvec(message) else { return Vec::new() };
    let compressed = (body.len() >= MIN_COMPRESSED_BYTES)
        .then(|| lz4_flex::compress_prepend_size(&body))
        .filter(|p| p.len() < body.len());
    let (flag, body) = compressed.map_or((0, body), |compressed| (COMPRESSED_FLAG, compressed));
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&(body.len() as u32 | flag).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads one frame; None if the stream has ended or the frame is invalid.
pub async fn read_frame<T: DeserializeOwned>(stream: &mut (impl AsyncReadExt + Unpin)) -> Option<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_le_bytes(length);
    let (compressed, length) = (length & COMPRESSED_FLAG != 0, (length & !COMPRESSED_FLAG) as usize);
    if length > MAX_FRAME_BYTES {
        return None;
    }
    // Grows with the received bytes, so that a false length alone allocates no memory.
    let mut body = Vec::with_capacity(length.min(64 << 10));
    (&mut *stream).take(length as u64).read_to_end(&mut body).await.ok()?;
    if body.len() < length {
        return None;
    }
    if compressed {
        // The stated size is checked before memory is allocated for it.
        let stated = u32::from_le_bytes(body.get(..4)?.try_into().ok()?) as usize;
        body = (stated <= MAX_FRAME_BYTES).then(|| lz4_flex::decompress_size_prepended(&body).ok())??;
    }
    postcard::from_bytes(&body).ok()
}

/// Outgoing streams, one for each destination, opened on the first message.
pub struct PeerSender {
    me: SocketAddr,
    streams: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
}

impl PeerSender {
    pub fn new(me: SocketAddr) -> Self {
        PeerSender { me, streams: HashMap::new() }
    }

    pub fn send<T: Serialize>(&mut self, to: SocketAddr, message: &T) {
        self.send_frame(to, frame(message));
    }

    pub fn send_frame(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if self.streams.len() > 1024 {
            self.streams.retain(|_, stream| !stream.is_closed());
        }
        let me = self.me;
        let stream = self.streams.entry(to).or_insert_with(|| open_stream(me, to));
        let bytes = match stream.try_send(bytes) {
            Ok(()) | Err(mpsc::error::TrySendError::Full(_)) => return,
            Err(mpsc::error::TrySendError::Closed(bytes)) => bytes,
        };
        let stream = open_stream(me, to);
        let _ = stream.try_send(bytes);
        self.streams.insert(to, stream);
    }
}

fn open_stream(me: SocketAddr, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    tokio::task::spawn_local(send_queued(me, to, messages));
    sender
}

thread_local! {
    /// Destinations with a connection attempt under way, which is repeated at once when the destination
    /// itself connects.
    static DIALLING: RefCell<HashMap<SocketAddr, Rc<Notify>>> = RefCell::default();
}

/// Connects to a peer. Attempts to a machine without power hang, and an attempt that began before the machine
/// came back goes on hanging although the machine is up again: so the attempt is repeated when the peer
/// connects to this process.
async fn dial(to: SocketAddr) -> Option<TcpStream> {
    let peer_connected = DIALLING.with(|dialling| dialling.borrow_mut().entry(to).or_default().clone());
    let mut attempt_timeout = FIRST_CONNECT_TIMEOUT;
    let stream = loop {
        tokio::select! {
            biased;
            done = timeout(attempt_timeout, TcpStream::connect(to)) => match done {
                Err(_) if attempt_timeout < CONNECT_TIMEOUT => {}
                done => break done.ok().and_then(Result::ok),
            },
            () = peer_connected.notified() => {}
        }
        attempt_timeout = CONNECT_TIMEOUT;
    };
    DIALLING.with(|dialling| dialling.borrow_mut().remove(&to));
    stream
}

/// Notes that another process has opened a stream to this one.
fn peer_connected(from: SocketAddr) {
    DIALLING.with(|dialling| {
        if let Some(waiter) = dialling.borrow().get(&from) {
            waiter.notify_waiters();
        }
    });
}

/// Sends queued messages until none came for a while. A failed connection attempt drops those that are
/// queued, and the pause after it keeps each further message from causing another attempt to an unreachable
/// destination.
async fn send_queued(me: SocketAddr, to: SocketAddr, mut messages: mpsc::Receiver<Vec<u8>>) {
    'stream: loop {
        let Ok(Some(first)) = timeout(Duration::from_secs(20), messages.recv()).await else { return };
        let Some(mut stream) = dial(to).await else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            while messages.try_recv().is_ok() {}
            continue;
        };
        set_stream_timeouts(&stream, UNACKNOWLEDGED_TIMEOUT);
        let mut bytes = frame(&StreamHeader::new(me));
        bytes.extend_from_slice(&first);
        loop {
            while bytes.len() < 64 << 10 {
                let Ok(more) = messages.try_recv() else { break };
                bytes.extend_from_slice(&more);
            }
            if stream.write_all(&bytes).await.is_err() {
                continue 'stream;
            }
            // The peer sends nothing on this stream: a byte or its end means that the stream is over.
            let mut unexpected = [0; 1];
            bytes = tokio::select! {
                next = timeout(Duration::from_secs(20), messages.recv()) => match next {
                    Ok(Some(next)) => next,
                    _ => return,
                },
                _ = stream.read(&mut unexpected) => continue 'stream,
            };
        }
    }
}

/// Accepts at most `most` streams at a time and forwards their messages, until the receiver of messages is
/// dropped.
pub async fn listen<T: DeserializeOwned + 'static>(
    listener: TcpListener,
    messages: mpsc::Sender<(SocketAddr, T)>,
    most: usize,
) {
    let open_streams = std::rc::Rc::new(std::cell::Cell::new(0usize));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open_streams.get() >= most {
            continue;
        }
        set_stream_timeouts(&stream, Duration::from_secs(3));
        let (messages, open_streams) = (messages.clone(), open_streams.clone());
        open_streams.set(open_streams.get() + 1);
        tokio::task::spawn_local(async move {
            let opening: Option<StreamHeader> = read_frame(&mut stream).await;
            if let Some(from) = opening.and_then(StreamHeader::compatible_sender) {
                peer_connected(from);
                while let Some(message) = read_frame::<T>(&mut stream).await {
                    if messages.send((from, message)).await.is_err() {
                        break;
                    }
                }
            }
            open_streams.set(open_streams.get() - 1);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn decoded(bytes: &[u8]) -> Option<Vec<String>> {
        let runtime = tokio::runtime::Builder::new_current_thread().build().ok()?;
        runtime.block_on(read_frame(&mut &bytes[..]))
    }

    #[test]
    fn a_frame_is_decoded_as_it_was_encoded_and_a_truncated_one_is_refused() {
        let short = vec!["a message".to_string()];
        let long: Vec<String> = (0..500).map(|n| format!("dockline{n}.example/fizi331/")).collect();
        assert!(frame(&long).len() < postcard::to_stdvec(&long).map(|b| b.len()).unwrap_or(0) / 2);
        for message in [short, long] {
            let bytes = frame(&message);
            assert_eq!(decoded(&bytes), Some(message));
            for end in (0..bytes.len()).step_by(7) {
                assert_eq!(decoded(&bytes[..end]), None, "cut at {end}");
            }
        }
    }

    /// After a power loss of the whole system, controllers that restarted first hung in connection attempts
    /// to those that restarted later, and did not answer them for half a second.
    #[test]
    fn a_hanging_connection_attempt_is_repeated_when_the_peer_connects() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            // A listener whose backlog is full drops connection requests, as a machine without power does.
            let listener =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
            listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("an address");
            listener.listen(0).expect("listens");
            let to = listener.local_addr().ok().and_then(|at| at.as_socket()).expect("its address");
            let first = TcpStream::connect(to).await.expect("the backlog takes one");
            let dials = tokio::task::spawn_local(dial(to));
            while DIALLING.with(|dialling| dialling.borrow().is_empty()) {
                tokio::task::yield_now().await;
            }
            // The backlog has space now, but a dropped connection request is repeated only after a second:
            // longer than an attempt lasts.
            let taken = listener.accept().expect("the first one");
            peer_connected(SocketAddr::from(([127, 0, 0, 1], 1)));
            peer_connected(to);
            assert!(dials.await.expect("ends").is_some());
            assert!(DIALLING.with(|dialling| dialling.borrow().is_empty()));
            drop((first, taken));
        });
    }

    #[test]
    fn a_false_length_allocates_no_memory_and_ends_the_stream() {
        assert_eq!(decoded(&u32::MAX.to_le_bytes()), None);
        let mut bytes = (8u32 | COMPRESSED_FLAG).to_le_bytes().to_vec();
        bytes.extend_from_slice(&u32::MAX.to_le_bytes());
        bytes.extend_from_slice(&[0; 4]);
        assert_eq!(decoded(&bytes), None);
    }
}
