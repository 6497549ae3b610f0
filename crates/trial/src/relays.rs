//! Relays on loopback between two processes, for connections and for datagrams, whose faults are set while they run.

use crate::peers::listener;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What happens to connections. A new fault also strikes those that are open.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Ended at once.
    Refuse,
    /// Taken, and then nothing in either direction.
    Blackhole,
    /// The same for connections whose first words are these; all others pass.
    DropMatching(String),
    /// Answers come so much later, in order.
    DelayResponses(Duration),
    /// Ended after so many bytes of the answer.
    TruncateResponses(usize),
}

#[derive(Default)]
struct State {
    fault: Fault,
    struck: usize,
}

/// Passes connections on to one address.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Relay {
    pub fn to(target: SocketAddr) -> Self {
        let (listener, address) = listener();
        let state = Arc::new(Mutex::new(State::default()));
        let serves = state.clone();
        spawn(move || accept(&listener, target, &serves));
        Relay { address, state }
    }

    pub fn set(&self, fault: Fault) {
        self.state.lock().expect("a fault").fault = fault;
    }

    /// Connections that a fault has struck so far.
    pub fn affected(&self) -> usize {
        self.state.lock().expect("a count").struck
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<Mutex<State>>) {
    for client in listener.incoming().flatten() {
        let state = state.clone();
        spawn(move || {
            let fault = state.lock().expect("a fault").fault.clone();
            if fault == Fault::Refuse {
                state.lock().expect("a count").struck += 1;
                return;
            }
            let Ok(server) = TcpStream::connect(target) else { return };
            let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else { return };
            let answers = state.clone();
            let back = spawn(move || pump(from_server, client, &answers, true));
            pump(from_client, server, &state, false);
            let _ = back.join();
        });
    }
}

/// Carries bytes one way until an end, or a fault that ends it.
fn pump(mut from: TcpStream, mut to: TcpStream, state: &Mutex<State>, answers: bool) {
    let (mut bytes, mut passed, mut first) = ([0; 4096], 0, true);
    while let Ok(read @ 1..) = from.read(&mut bytes) {
        let fault = state.lock().expect("a fault").fault.clone();
        let mut some = &bytes[..read];
        let strikes = match &fault {
            Fault::None => false,
            Fault::Refuse | Fault::Blackhole => true,
            Fault::DropMatching(words) => !answers && first && some.starts_with(words.as_bytes()),
            Fault::DelayResponses(_) | Fault::TruncateResponses(_) => answers,
        };
        first = false;
        if strikes {
            state.lock().expect("a count").struck += 1;
            match fault {
                Fault::DelayResponses(by) => sleep(by),
                Fault::TruncateResponses(after) => some = &some[..read.min(after.saturating_sub(passed))],
                Fault::Refuse => break,
                // What was swallowed is gone for good; the connection stands until the other end leaves.
                _ => continue,
            }
        }
        passed += some.len();
        if to.write_all(some).is_err() || some.len() < read {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

/// Passes datagrams on to one address; faults strike by who sends them.
pub struct DatagramRelay {
    pub address: SocketAddr,
    faults: Arc<Mutex<Ways>>,
    passed: Arc<AtomicUsize>,
}

/// What happens to datagrams of one sender, or of all.
#[derive(Clone, Debug, Default)]
struct Ways {
    all: LinkState,
    of: HashMap<SocketAddr, LinkState>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkState {
    #[default]
    Open,
    Cut,
    /// Each comes so much later, and once more after twice that.
    DelayAndDuplicate(Duration),
    /// One in so many is lost, by turns.
    DropOneIn(usize),
}

impl DatagramRelay {
    pub fn to(target: SocketAddr) -> Self {
        let front = Arc::new(UdpSocket::bind((target.ip(), 0)).expect("a socket"));
        let address = front.local_addr().expect("an address");
        let faults = Arc::new(Mutex::new(Ways::default()));
        let (ways, passed) = (faults.clone(), Arc::new(AtomicUsize::new(0)));
        let counts = passed.clone();
        spawn(move || pass(&front, target, &ways, &counts));
        DatagramRelay { address, faults, passed }
    }

    /// DatagramRelay that came here so far.
    pub fn passed(&self) -> usize {
        self.passed.load(Ordering::Relaxed)
    }

    /// For whoever sends from there; the last word counts, also over `set_all`.
    pub fn set(&self, from: SocketAddr, way: LinkState) {
        self.faults.lock().expect("faults").of.insert(from, way);
    }

    pub fn set_all(&self, way: LinkState) {
        *self.faults.lock().expect("faults") = Ways { all: way, of: HashMap::new() };
    }
}

fn pass(front: &Arc<UdpSocket>, target: SocketAddr, ways: &Mutex<Ways>, passed: &AtomicUsize) {
    let mut bytes = [0; 2048];
    let mut behind: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    loop {
        // An error tells of an earlier one that met nobody.
        let Ok((length, from)) = front.recv_from(&mut bytes) else { continue };
        let way = {
            let ways = ways.lock().expect("faults");
            ways.of.get(&from).copied().unwrap_or(ways.all)
        };
        let to = behind.entry(from).or_insert_with(|| {
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
        match way {
            LinkState::Open => drop(to.send(&bytes[..length])),
            LinkState::Cut => {}
            LinkState::DropOneIn(in_so_many) if count.is_multiple_of(in_so_many) => {}
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

    /// A server that answers each connection's first words with themselves.
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

    fn ask(relay: &Relay, words: &str) -> Option<String> {
        let mut stream = TcpStream::connect(relay.address).expect("a relay");
        stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        stream.write_all(words.as_bytes()).ok()?;
        let mut text = String::new();
        match stream.read_to_string(&mut text) {
            Ok(_) => Some(text),
            Err(_) => None,
        }
    }

    /// Guards against a way of datagrams that is open when it is cut, or the other way round.
    #[test]
    fn datagrams_go_the_way_that_is_set() {
        let [target, sender, other] = [(); 3].map(|()| UdpSocket::bind("127.0.0.1:0").expect("a socket"));
        target.set_read_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        let relay = DatagramRelay::to(target.local_addr().expect("an address"));
        let came = |from: &UdpSocket| {
            from.send_to(b"word", relay.address).expect("sent");
            let mut count = 0;
            while target.recv(&mut [0; 16]).is_ok() {
                count += 1;
            }
            count
        };
        assert_eq!((came(&sender), came(&other)), (1, 1));
        relay.set(sender.local_addr().expect("an address"), LinkState::Cut);
        assert_eq!((came(&sender), came(&other)), (0, 1));
        relay.set_all(LinkState::DelayAndDuplicate(Duration::from_millis(20)));
        assert_eq!((came(&sender), came(&other)), (2, 2));
        relay.set_all(LinkState::DropOneIn(2));
        assert_eq!(came(&sender) + came(&sender), 1);
    }

    /// Guards against a fault that does not strike, or strikes what it should not: tests would then prove nothing.
    #[test]
    fn each_fault_does_what_it_says() {
        let relay = Relay::to(echo());
        assert_eq!(ask(&relay, "hello").as_deref(), Some("hello"));
        relay.set(Fault::Blackhole);
        assert_eq!(ask(&relay, "hello"), None);
        relay.set(Fault::DropMatching("set".into()));
        assert_eq!((ask(&relay, "set x"), ask(&relay, "get x").as_deref()), (None, Some("get x")));
        relay.set(Fault::TruncateResponses(2));
        assert_eq!(ask(&relay, "hello").as_deref(), Some("he"));
        relay.set(Fault::DelayResponses(Duration::from_millis(100)));
        let began = Instant::now();
        assert_eq!(ask(&relay, "hello").as_deref(), Some("hello"));
        assert!(began.elapsed() >= Duration::from_millis(100));
        let struck = relay.affected();
        relay.set(Fault::Refuse);
        assert_ne!(ask(&relay, "hello").as_deref(), Some("hello"));
        assert!(relay.affected() > struck);
    }
}
