//! Relays on loopback between two processes, for TCP connections and for UDP datagrams. Faults can be set
//! while they run.

use crate::peers::listener;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// A fault of connections. A new fault also affects open connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Connections are closed at once.
    Refuse,
    /// Connections are accepted, and no bytes are forwarded in either direction.
    Blackhole,
    /// As `Blackhole` for requests of connections whose first bytes are these; others are not affected.
    DropMatching(String),
    /// Responses are delayed by this time, in order.
    DelayResponses(Duration),
    /// Connections are closed after this many bytes of the response.
    TruncateResponses(usize),
}

#[derive(Default)]
struct State {
    fault: Fault,
    affected: usize,
}

/// Forwards connections to one address.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    pub fn to(target: SocketAddr) -> Self {
        let (listener, address) = listener();
        let state = Arc::new(Mutex::new(State::default()));
        let relay_state = state.clone();
        spawn(move || accept(&listener, target, &relay_state));
        Relay { address, state }
    }

    pub fn set(&self, fault: Fault) {
        self.state.lock().expect("a fault").fault = fault;
    }

    /// How often a fault has taken effect so far.
    pub fn affected(&self) -> usize {
        self.state.lock().expect("a count").affected
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<Mutex<State>>) {
    for client in listener.incoming().flatten() {
        let state = state.clone();
        spawn(move || {
            let fault = state.lock().expect("a fault").fault.clone();
            if fault == Fault::Refuse {
                state.lock().expect("a count").affected += 1;
                return;
            }
            let Ok(server) = TcpStream::connect(target) else { return };
            let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else { return };
            let response_state = state.clone();
            let back = spawn(move || copy(from_server, client, &response_state, true));
            copy(from_client, server, &state, false);
            let _ = back.join();
        });
    }
}

/// Copies bytes in one direction until the end of the stream, or until a fault ends it.
fn copy(mut from: TcpStream, mut to: TcpStream, state: &Mutex<State>, is_response: bool) {
    let (mut bytes, mut passed, mut first) = ([0; 4096], 0, true);
    while let Ok(read @ 1..) = from.read(&mut bytes) {
        let fault = state.lock().expect("a fault").fault.clone();
        let mut chunk = &bytes[..read];
        let applies = match &fault {
            Fault::None => false,
            Fault::Refuse | Fault::Blackhole => true,
            Fault::DropMatching(text) => !is_response && first && chunk.starts_with(text.as_bytes()),
            Fault::DelayResponses(_) | Fault::TruncateResponses(_) => is_response,
        };
        first = false;
        if applies {
            state.lock().expect("a count").affected += 1;
            match fault {
                Fault::DelayResponses(by) => sleep(by),
                Fault::TruncateResponses(after) => chunk = &chunk[..read.min(after.saturating_sub(passed))],
                Fault::Refuse => break,
                // The bytes are dropped; the connection stays open until the sender closes it.
                _ => continue,
            }
        }
        passed += chunk.len();
        if to.write_all(chunk).is_err() || chunk.len() < read {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Forwards datagrams to one address; faults are set by sender.
pub struct DatagramRelay {
    pub address: SocketAddr,
    faults: Arc<Mutex<Links>>,
    passed: Arc<AtomicUsize>,
}

/// The link states by sender, and the one of all other senders.
#[derive(Clone, Debug, Default)]
struct Links {
    all: LinkState,
    by_sender: HashMap<SocketAddr, LinkState>,
}

/// What happens to the datagrams of a sender.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkState {
    #[default]
    Open,
    Cut,
    /// Each datagram is delayed by this time, and delivered again after twice this time.
    DelayAndDuplicate(Duration),
    /// Every n-th datagram is dropped.
    DropOneIn(usize),
}

impl DatagramRelay {
    pub fn to(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind((target.ip(), 0)).expect("a socket"));
        let address = front.local_addr().expect("an address");
        let faults = Arc::new(Mutex::new(Links::default()));
        let (links, passed) = (faults.clone(), Arc::new(AtomicUsize::new(0)));
        let counter = passed.clone();
        spawn(move || forward(&front, target, &links, &counter));
        DatagramRelay { address, faults, passed }
    }

    /// Number of datagrams received so far.
    pub fn passed(&self) -> usize {
        self.passed.load(Ordering::Relaxed)
    }

    /// Sets the link state of one sender. A later call of `set` or `set_all` overrides it.
    pub fn set(&self, from: SocketAddr, link: LinkState) {
        self.faults.lock().expect("faults").by_sender.insert(from, link);
    }

    pub fn set_all(&self, link: LinkState) {
        *self.faults.lock().expect("faults") = Links { all: link, by_sender: HashMap::new() };
    }
}

fn forward(front: &Arc<UdpSocket>, target: SocketAddr, links: &Mutex<Links>, passed: &AtomicUsize) {
    let mut bytes = [0; 2048];
    let mut upstream: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    loop {
        // An error reports that an earlier datagram was not delivered (ICMP).
        let Ok((length, from)) = front.recv_from(&mut bytes) else { continue };
        let link = {
            let links = links.lock().expect("faults");
            links.by_sender.get(&from).copied().unwrap_or(links.all)
        };
        let to = upstream.entry(from).or_insert_with(|| {
            let socket = Arc::new(UdpSocket::bind((target.ip(), 0)).expect("a socket"));
            socket.connect(target).expect("a target");
            let (back, front) = (socket.clone(), front.clone());
            spawn(move || {
                let mut bytes = [0; 2048];
                loop {
                    if let Ok(length) = back.recv(&mut bytes) {
                        let _ = front.send_to(&bytes[..length], from);
                    }
                }
            });
            socket
        });
        let count = passed.fetch_add(1, Ordering::Relaxed) + 1;
        match link {
            LinkState::Open => drop(to.send(&bytes[..length])),
            LinkState::Cut => {}
            LinkState::DropOneIn(one_in) if count.is_multiple_of(one_in) => {}
            LinkState::DropOneIn(_) => drop(to.send(&bytes[..length])),
            LinkState::DelayAndDuplicate(by) => {
                let (to, bytes) = (to.clone(), bytes[..length].to_vec());
                spawn(move || {
                    for _ in 0..2 {
                        sleep(by);
                        let _ = to.send(&bytes);
                    }
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Instant;

    /// A server that echoes the first bytes of each connection.
    fn echo() -> SocketAddr {
        let (listener, address) = listener();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut bytes = [0; 64];
                if let Ok(read) = stream.read(&mut bytes) {
                    let _ = stream.write_all(&bytes[..read]);
                }
            }
        });
        address
    }

    fn exchange(relay: &Relay, text: &str) -> Option<String> {
        let mut stream = TcpStream::connect(relay.address).expect("a relay");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        stream.write_all(text.as_bytes()).ok()?;
        let mut text = String::new();
        match stream.read_to_string(&mut text) {
            Ok(_) => Some(text),
            Err(_) => None,
        }
    }

    /// Guards against a datagram relay that forwards on a cut link, or drops on an open one.
    #[test]
    fn datagrams_follow_the_link_state_of_their_sender() {
        let [target, sender, other] = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0").expect("a socket"));
        target.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        let relay = DatagramRelay::to(target.local_addr().expect("an address"));
        let received = |from: &UdpSocket| {
            from.send_to(b"word", relay.address).expect("sent");
            let mut count = 0;
            while target.recv(&mut [0; 16]).is_ok() {
                count += 1;
            }
            count
        };
        assert_eq!((received(&sender), received(&other)), (1, 1));
        relay.set(sender.local_addr().expect("an address"), LinkState::Cut);
        assert_eq!((received(&sender), received(&other)), (0, 1));
        relay.set_all(LinkState::DelayAndDuplicate(Duration::from_millis(20)));
        assert_eq!((received(&sender), received(&other)), (2, 2));
        relay.set_all(LinkState::DropOneIn(2));
        assert_eq!(received(&sender) + received(&sender), 1);
    }

    /// Guards against a fault that has no effect, or affects other connections: tests that use it would pass
    /// without reason.
    #[test]
    fn each_connection_fault_has_its_effect_and_no_other() {
        let relay = Relay::to(echo());
        assert_eq!(exchange(&relay, "hello").as_deref(), Some("hello"));
        relay.set(Fault::Blackhole);
        assert_eq!(exchange(&relay, "hello"), None);
        relay.set(Fault::DropMatching("set".into()));
        assert_eq!((exchange(&relay, "set x"), exchange(&relay, "get x").as_deref()), (None, Some("get x")));
        relay.set(Fault::TruncateResponses(2));
        assert_eq!(exchange(&relay, "hello").as_deref(), Some("he"));
        relay.set(Fault::DelayResponses(Duration::from_millis(100)));
        let began = Instant::now();
        assert_eq!(exchange(&relay, "hello").as_deref(), Some("hello"));
        assert!(began.elapsed() >= Duration::from_millis(100));
        let affected = relay.affected();
        relay.set(Fault::Refuse);
        assert_ne!(exchange(&relay, "hello").as_deref(), Some("hello"));
        assert!(relay.affected() > affected);
    }
}
