//! Puts the parts together and runs them on one thread until the scheduler was told to stop.

use crate::accord::{policy, GroupMember, OpenedFolder};
use crate::berth::{self, Berth, Layers};
use crate::clients::door::Door;
use crate::clients::reading::Rooms;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::list::discovery::Discovery;
use crate::list::muster::Muster;
use crate::list::probing;
use crate::list::stocking::Stocking;
use crate::list::wire::Tcp;
use crate::operators::bans::Bans;
use crate::operators::management::Management;
use crate::operators::reloading::{self, Group, Reloading};
use crate::operators::telemetry::Telemetry;
use crate::operators::version::Version;
use crate::others::peers::{self, Peers};
use crate::rows::Rows;
use crate::succession::draining;
use crate::succession::handover::{self, Handover};
use crate::succession::link::Link;
use crate::succession::shutdown::Shutdown;
use crate::workers::pool::Pool;
use crate::workers::sending::Sending;
use slog::{info, o, warn, Logger};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tindock::policy::Policy;
use tindock_roster::health::{HealthChecker, HealthSettings};
use tindock_roster::list_client::{ListClient, Service, LONG_WAIT};
use tokio::net::{TcpListener, TcpSocket, UdpSocket, UnixStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, LocalSet};

/// Readings of the inventory that may wait to be taken in.
const READINGS: usize = 4;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A listener; a shared address is open to the process that takes over, too.
fn listen(at: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Serves until told to stop and all is answered; an error only where it could not start.
pub fn run(berth: Berth, path: PathBuf, layers: Layers, log: &Logger) -> Result<(), String> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_io().enable_time().build().map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(berth, path, layers, log))
}

async fn serve(mut berth: Berth, path: PathBuf, layers: Layers, log: &Logger) -> Result<(), String> {
    // Guards against an end by a signal that comes early: both are caught before anybody can take us for ready.
    let caught = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (hang_up, terminate) = (caught(SignalKind::hangup())?, caught(SignalKind::terminate())?);
    let manages = match berth.management {
        None => None,
        Some(at) => Some(listen(at, false).map_err(|e| format!("management, {at}: {e}"))?),
    };
    let telemetry = Rc::new(Telemetry::default());
    let place = berth.runtime.as_deref().map(|runtime| handover::socket_path(runtime, &berth.name));
    let taken = place.as_deref().map_or(Ok(None), |place| handover::request(place, berth.listen));
    let taken = taken.unwrap_or_else(|e| {
        warn!(log, "nothing is taken over from the process that runs: {e}");
        None
    });
    let (mut before, mut heritage) = (None, None);
    let listener = match taken {
        None => listen(berth.listen, place.is_some()).map_err(|e| format!("{}: {e}", berth.listen))?,
        Some(taken) => {
            before = Some(UnixStream::from_std(taken.stream).map_err(|e| e.to_string())?);
            heritage = Some(taken.state);
            TcpListener::from_std(taken.listener).map_err(|e| e.to_string())?
        }
    };
    // After the process that runs has let go of its place in the group.
    let opened = berth.accord.as_ref().map(|told| OpenedFolder::open(told, &berth.name)).transpose()?;
    let mut group =
        berth.accord.as_ref().map(|_| Group { says: policy::fingerprint(&berth), policy: None.into() });
    if let Some((text, group)) = opened.as_ref().and_then(OpenedFolder::in_force).zip(group.as_mut()) {
        group.policy = RefCell::new(Some(text.clone()));
        match policy::with_policy(&path, &layers, text) {
            Ok(under) => berth = berth::Berth { accord: berth.accord, known: berth.known, ..under },
            // It is no member that can serve, and says so for as long as it lives.
            Err(why) => warn!(log, "the policy in force cannot be read here: {why}"),
        }
    }
    // What the other process has is newer than what the file says.
    let list = heritage.as_mut().and_then(|h| h.list.take()).filter(|_| berth.inventory.is_none());
    let list = list.map(|list| list.decode(&mut berth.words)).transpose().unwrap_or_else(|why| {
        warn!(log, "the list of the process that runs is not taken over: {why}");
        None
    });
    let index = berth.known.as_ref().map(|known| known.index).filter(|_| list.is_none());
    let known = list.or(berth.known.take());
    let open = Rc::new(Cell::new(false));
    let part = |name: &'static str| log.new(o!("part" => name));
    let clock = Clock::start();
    let version = Rc::new(Version::new(std::mem::take(&mut berth.digest), clock));
    let stopping = Rc::new(Shutdown::new(part("stopping")));
    stopping.set_hard_limit(berth.sheet.workloads.iter().map(|row| row.hard_limit).max().unwrap_or_default());
    let rows = Rows::new(&berth.sheet, &berth.words);
    let began = clock.now();
    let rules = Policy::new(berth.sheet, berth.seed, began);
    let now = Box::new(move || clock.now());
    let (exchange, orders) = Exchange::new(rules, rows, clock, now, part("rules"));
    let bans = Bans::new(berth.runtime.as_deref(), &berth.name, part("management"));
    exchange.banned_before(heritage.as_ref().map_or_else(|| bans.read(), |h| h.banned.clone()));
    exchange.begin(began, known);
    heritage.iter().for_each(|heritage| exchange.inherit(heritage, &berth.words));
    let muster = match &berth.inventory {
        None => Muster::of_discovery(exchange.clone(), berth.words.clone(), part("inventory")),
        Some(stock) => {
            let terms = stock.health.clone();
            let health = terms.as_ref().map(|h| {
                let (down_after, up_after, panic_share) = (h.down_after, h.up_after, h.panic_share);
                HealthChecker::new(
                    HealthSettings { interval: h.every, down_after, up_after, panic_share },
                    berth.seed,
                )
            });
            let muster = Muster::with_files(exchange.clone(), berth.words.clone(), health, part("inventory"));
            if let Some(terms) = terms {
                spawn_local(probing::keep(muster.clone(), Rc::new(Tcp), terms));
            }
            let (tell, told) = mpsc::channel(READINGS);
            let folder = path.parent().map(PathBuf::from).unwrap_or_default();
            let stocking = Stocking { stock: stock.clone(), folder, tell };
            std::thread::Builder::new()
                .name("inventory".into())
                .spawn(move || stocking.run())
                .map_err(|e| format!("inventory: {e}"))?;
            let keeps = muster.clone();
            spawn_local(async move { keeps.keep(told).await });
            muster
        }
    };
    let mut moved = None;
    match berth.discovery {
        Some(at) => {
            let (tell, address) = watch::channel(at);
            moved = Some(tell);
            // It is an agent on the own machine, whatever the settings say of the service behind it.
            let asking = ListClient::new(Service::Agent { max_wait: LONG_WAIT }, index, berth.seed);
            let log = part("discovery");
            let discovery = Discovery {
                exchange: exchange.clone(),
                wire: Rc::new(Tcp),
                muster: muster.clone(),
                address,
                asking,
                log,
            };
            spawn_local(discovery.keep());
        }
        None => exchange.without_discovery(),
    }
    let pool = Rc::new(Pool::new(berth.rooms.for_workers, berth.dial, berth.keep));
    let sending =
        Sending::new(exchange.clone(), pool.clone(), telemetry.assignments.clone(), part("workers"));
    let mut told = None;
    if let Some(others) = berth.others {
        let at = others.all[others.position];
        let socket = UdpSocket::bind(at).await.map_err(|e| format!("peers, {at}: {e}"))?;
        let (socket, (tell, messages)) = (Rc::new(socket), mpsc::channel(peers::WAITING));
        told = Some(tell);
        spawn_local(Peers::send(socket.clone(), others.clone(), messages));
        let peers = Peers { exchange: exchange.clone(), socket, others, log: part("peers") };
        spawn_local(peers.hear());
    }
    exchange.equip(berth.words.reports.clone(), told);
    let line = Rc::new(Link::default());
    let door = Door::new(
        exchange.clone(),
        stopping.clone(),
        berth.rooms.for_clients,
        line.clone(),
        Rooms::new(berth.rooms.for_bodies),
        telemetry.clone(),
        part("clients"),
    );
    door.rename();
    let reloading = Rc::new(Reloading {
        path,
        layers,
        keys: berth.keys.into(),
        group,
        discovery: moved,
        exchange: exchange.clone(),
        muster: muster.clone(),
        door: door.clone(),
        stopping: stopping.clone(),
        telemetry: telemetry.clone(),
        version: version.clone(),
        log: part("configuration"),
    });
    let mut accord = None;
    if let Some((told, opened)) = berth.accord.zip(opened) {
        let policies = reloading.clone();
        let group = GroupMember::new(told, berth.name.clone(), opened, clock, policies, part("accord"))?;
        door.under(group.clone());
        spawn_local(group.clone().run());
        group.wait_for_first_lease().await;
        accord = Some(group);
    }
    let (rereads, asked) = mpsc::channel(reloading::ASKED);
    spawn_local(reloading.keep(hang_up, asked));
    spawn_local(sending.carry_out(orders));
    let tends = pool.clone();
    spawn_local(async move { tends.tend().await });
    let timer = exchange.clone();
    spawn_local(async move { timer.keep_time().await });
    let listener = Rc::new(listener);
    let listens = listener.local_addr().map_err(|e| e.to_string())?;
    info!(log, "{} listens on {listens}", berth.name);
    let sums = door.clone();
    spawn_local(async move { sums.tell_sums().await });
    spawn_local(door.clone().accept(listener.clone()));
    let handover = Rc::new(Handover {
        socket_path: place,
        link: line.clone(),
        listener,
        exchange: exchange.clone(),
        workers: muster,
        clients: door.clone(),
        pool,
        shutdown: stopping.clone(),
        group: accord.clone(),
        accepting: open.clone(),
        rebind: Notify::new(),
        log: part("handover"),
    });
    let place = handover.listen();
    before.into_iter().for_each(|stream| drop(spawn_local(handover.clone().finish_takeover(stream))));
    spawn_local(handover.accept(place));
    open.set(true);
    if let Some(listener) = manages {
        info!(log, "operators' address is {}", listener.local_addr().map_err(|e| e.to_string())?);
        let (exchange, open) = (exchange.clone(), open.clone());
        let log = part("management");
        let management =
            Management { exchange, telemetry, bans, version, rereads, line, group: accord, open, log };
        spawn_local(Rc::new(management).accept(listener));
    }
    draining::run(&stopping, terminate, &door, &exchange, &open).await;
    info!(log, "{} ends", berth.name);
    Ok(())
}
