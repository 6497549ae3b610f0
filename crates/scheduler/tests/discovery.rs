//! The list client on its connections, against scripted agents in virtual time, without sockets.

#[allow(dead_code)] // the module's own tests use the rest
#[path = "../../../tests/helpers/mod.rs"]
mod helpers;

use helpers::settings_for;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock::policy::Policy;
use tindock::types::Effect;
use tindock_scheduler::clock::Clock;
use tindock_scheduler::exchange::Exchange;
use tindock_scheduler::list::connector::{Connecting, Connector, Stream};
use tindock_scheduler::list::discovery::Discovery;
use tindock_scheduler::list::worker_list::WorkerList;
use tindock_scheduler::scheduler_config::Names;
use tindock_scheduler::workload_table::WorkloadTable;
use tindock_worker_list::list_client::{ListClient, Service, SHORT_WAIT};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

/// What an agent does with the next connection, or with the first query on it.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Refuse,
    /// Never connects.
    Hang,
    /// Sends this many bytes of the response, then closes the connection.
    Cut(usize),
    /// Sends this many bytes of the response, then nothing more.
    Stall(usize),
    /// Sends one byte of the response at this interval in milliseconds.
    Drip(u64),
    /// Responds with this status.
    Status(u16),
}

/// An agent that behaves normally after its script. Its list names one worker, whose port encodes the list
/// version.
struct Agent {
    script: RefCell<VecDeque<Behaviour>>,
    version: Cell<u64>,
    dials: RefCell<Vec<SocketAddr>>,
}

fn list(version: u64, whole: bool) -> String {
    let port = 4000 + version;
    let entry =
        format!(r#"{{"name":"w0","address":"127.0.0.1:{port}","zone":"a","type":"m","status":"active"}}"#);
    format!(r#"{{"index":{version},"snapshot":{whole},"endpoints":[{entry}]}}"#)
}

fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl Agent {
    fn new(script: &[Behaviour]) -> Rc<Self> {
        let script = RefCell::new(script.iter().copied().collect());
        Rc::new(Agent { script, version: Cell::new(7), dials: RefCell::default() })
    }

    async fn serve(
        self: Rc<Self>,
        mut stream: DuplexStream,
        mut behaviour: Option<Behaviour>,
    ) -> io::Result<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read_u8().await {
                    Ok(byte) => head.push(byte),
                    Err(_) => return Ok(()),
                }
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let after =
                head.split("after=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
            let wait = head.split("wait_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(0));
            let began = Instant::now();
            while behaviour.is_none()
                && after.is_some_and(|a| a >= self.version.get())
                && began.elapsed() < wait
            {
                sleep(Duration::from_millis(1)).await;
            }
            let version = self.version.get();
            let text = match after {
                Some(after) if after >= version => {
                    answer(&format!(r#"{{"index":{version},"snapshot":false,"endpoints":[]}}"#))
                }
                after => answer(&list(version, after.is_none())),
            };
            let bytes = text.as_bytes();
            match behaviour.take() {
                None => stream.write_all(bytes).await?,
                Some(Behaviour::Cut(at)) => return stream.write_all(&bytes[..at.min(bytes.len() - 1)]).await,
                Some(Behaviour::Stall(at)) => {
                    stream.write_all(&bytes[..at.min(bytes.len() - 1)]).await?;
                    std::future::pending::<()>().await;
                }
                Some(Behaviour::Drip(every)) => {
                    for byte in bytes {
                        sleep(Duration::from_millis(every)).await;
                        stream.write_u8(*byte).await?;
                    }
                }
                Some(Behaviour::Status(status)) => {
                    let text = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n");
                    stream.write_all(text.as_bytes()).await?;
                }
                Some(Behaviour::Refuse | Behaviour::Hang) => unreachable!("they have no connection"),
            }
        }
    }
}

struct ScriptedConnector(Rc<Agent>);

impl Connector for ScriptedConnector {
    fn connect(&self, to: SocketAddr) -> Connecting {
        let agent = self.0.clone();
        agent.dials.borrow_mut().push(to);
        Box::pin(async move {
            let behaviour = agent.script.borrow_mut().pop_front();
            match behaviour {
                Some(Behaviour::Refuse) => return Err(io::ErrorKind::ConnectionRefused.into()),
                Some(Behaviour::Hang) => std::future::pending().await,
                _ => {}
            }
            let (ours, its) = tokio::io::duplex(64 * 1024);
            spawn_local(agent.serve(its, behaviour));
            Ok(Box::new(ours) as Box<dyn Stream>)
        })
    }
}

/// A list client and the exchange that holds its list.
struct Client {
    exchange: Rc<Exchange>,
    address: watch::Sender<SocketAddr>,
}

impl Client {
    fn of(agent: &Rc<Agent>) -> Self {
        let clock = Clock::start();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let settings = settings_for(&[Effect::Idempotent]);
        let workloads = WorkloadTable::new(&settings, &Names::default());
        let policy = Policy::new(settings, 7, clock.now());
        let now = Box::new(move || clock.now());
        let (exchange, _orders) = Exchange::new(policy, workloads, clock, now, log.clone());
        let (address, moves) = watch::channel(([127, 0, 0, 1], 1).into());
        let client = ListClient::new(Service::Agent { max_wait: SHORT_WAIT }, None, 7);
        let connector = Rc::new(ScriptedConnector(agent.clone()));
        let worker_list = WorkerList::from_discovery(exchange.clone(), Names::default(), log.clone());
        let client =
            Discovery { exchange: exchange.clone(), connector, worker_list, address: moves, client, log };
        spawn_local(client.run());
        Client { exchange, address }
    }

    fn version(&self) -> Option<u64> {
        self.exchange.can_decide().then(|| u64::from(self.exchange.address(0).port()) - 4000)
    }

    /// Milliseconds until the client has this version.
    async fn ms_until(&self, version: u64) -> u64 {
        let began = Instant::now();
        while self.version() != Some(version) {
            assert!(began.elapsed() < Duration::from_secs(20), "version {version} never came");
            sleep(Duration::from_millis(1)).await;
        }
        began.elapsed().as_millis() as u64
    }
}

/// Runs a future in virtual time.
fn run<T>(what: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), what)
}

fn first_list(script: &[Behaviour]) -> u64 {
    run(async { Client::of(&Agent::new(script)).ms_until(7).await })
}

/// Guards against a delay after a response that is cut off at any byte: it is queried again at once.
#[test]
fn truncated_response_is_queried_again_at_once() {
    for at in 0..answer(&list(7, true)).len() {
        let delay = first_list(&[Behaviour::Cut(at)]);
        assert!(delay <= 3, "{delay} ms after {at} bytes");
    }
}

/// Guards against waiting for the rest of a partial response: another connection is tried in parallel.
#[test]
fn stalled_response_is_bypassed_by_another_connection() {
    for at in 0..answer(&list(7, true)).len() {
        let delay = first_list(&[Behaviour::Stall(at)]);
        assert!(delay <= 300, "{delay} ms after {at} bytes");
    }
}

#[test]
fn list_arrives_on_the_first_attempt_after_refusals() {
    for refusals in 0..=10 {
        let delay = first_list(&vec![Behaviour::Refuse; refusals]);
        // Back-off pauses of 0, 30, 60 and 120 ms, then 240 ms each.
        let pauses: u64 =
            (0..refusals as u64).map(|n| [0, 30, 60, 120].get(n as usize).copied().unwrap_or(240)).sum();
        assert!(delay <= pauses + 3, "{delay} ms after {refusals} refusals");
    }
}

/// One byte per millisecond is slow but valid; a connection that is never established or an error status is a
/// failure.
#[test]
fn slow_responses_count_and_error_responses_do_not() {
    let whole = answer(&list(7, true)).len() as u64;
    let delay = first_list(&[Behaviour::Drip(1)]);
    assert!(delay <= whole + 3, "{delay} ms");
    assert!(first_list(&[Behaviour::Hang]) <= 293);
    assert!(first_list(&[Behaviour::Status(503), Behaviour::Status(500)]) <= 33);
}

/// Guards against an older list after an agent has restarted and not caught up yet.
#[test]
fn older_lists_are_rejected() {
    run(async {
        let agent = Agent::new(&[]);
        let client = Client::of(&agent);
        client.ms_until(7).await;
        agent.version.set(0);
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(client.version(), Some(7), "older versions for 1.5 s");
        agent.version.set(9);
        assert!(client.ms_until(9).await <= 300);
    });
}

/// Guards against a silent old address that delays the move to a new one by SIGHUP.
#[test]
fn client_moves_while_the_old_address_is_silent() {
    run(async {
        let agent = Agent::new(&[Behaviour::Hang, Behaviour::Stall(10), Behaviour::Hang]);
        let client = Client::of(&agent);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(client.version(), None);
        let new_address = ([127, 0, 0, 1], 2).into();
        client.address.send(new_address).expect("a client");
        agent.script.borrow_mut().clear();
        assert!(client.ms_until(7).await <= 3);
        assert_eq!(agent.dials.borrow().last(), Some(&new_address));
        // From then on, changes arrive by the watch.
        agent.version.set(8);
        assert!(client.ms_until(8).await <= 3);
    });
}
