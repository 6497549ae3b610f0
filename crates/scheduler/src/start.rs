//! Builds the parts and runs them on one thread until the scheduler is stopped.

use crate::accord::{policy, GroupMember, OpenedFolder};
use crate::clients::listener::ClientListener;
use crate::clients::requests::BodyBudget;
use crate::clock::Clock;
use crate::exchange::Exchange;
use crate::list::connector::Tcp;
use crate::list::discovery::Discovery;
use crate::list::inventory_watch::InventoryThread;
use crate::list::probing;
use crate::list::worker_list::WorkerList;
use crate::operators::bans::Bans;
use crate::operators::management::Management;
use crate::operators::reload::{self, ConfigReloader, Group};
use crate::operators::telemetry::Telemetry;
use crate::operators::version::Version;
use crate::peers::socket::{self, PeerSocket};
use crate::scheduler_config::{self, Layers, SchedulerConfig};
use crate::succession::draining;
use crate::succession::handover::{self, Handover};
use crate::succession::link::Link;
use crate::succession::shutdown::Shutdown;
use crate::workers::pool::Pool;
use crate::workers::sending::Sending;
use crate::workload_table::WorkloadTable;
use slog::{info, o, warn, Logger};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tindock::policy::Policy;
use tindock_worker_list::health::{HealthChecker, HealthSettings};
use tindock_worker_list::list_client::{ListClient, Service, LONG_WAIT};
use tokio::net::{TcpListener, TcpSocket, UdpSocket, UnixStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, LocalSet};

/// Inventory events that may be queued for the serving thread.
const QUEUED_EVENTS: usize = 4;

/// The kernel's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;

/// Opens a listener. A shared address can also be bound by the process that takes over.
fn listen(at: SocketAddr, shared: bool) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Serves until it is stopped and every task is answered; an error only if it could not start.
pub fn run(config: SchedulerConfig, path: PathBuf, layers: Layers, log: &Logger) -> Result<(), String> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_io().enable_time().build().map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(config, path, layers, log))
}

async fn serve(
    mut config: SchedulerConfig,
    path: PathBuf,
    layers: Layers,
    log: &Logger,
) -> Result<(), String> {
    // Guards against a signal that ends the process early: both are caught before anyone can see the process
    // as ready.
    let caught = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (hang_up, terminate) = (caught(SignalKind::hangup())?, caught(SignalKind::terminate())?);
    let management_listener = match config.management {
        None => None,
        Some(at) => Some(listen(at, false).map_err(|e| format!("management, {at}: {e}"))?),
    };
    let telemetry = Rc::new(Telemetry::default());
    let socket_path = config.runtime.as_deref().map(|runtime| handover::socket_path(runtime, &config.name));
    let takeover =
        socket_path.as_deref().map_or(Ok(None), |socket_path| handover::request(socket_path, config.listen));
    let takeover = takeover.unwrap_or_else(|e| {
        warn!(log, "cannot take over from the running process: {e}");
        None
    });
    let (mut before, mut inherited) = (None, None);
    let listener = match takeover {
        None => {
            listen(config.listen, socket_path.is_some()).map_err(|e| format!("{}: {e}", config.listen))?
        }
        Some(takeover) => {
            before = Some(UnixStream::from_std(takeover.stream).map_err(|e| e.to_string())?);
            inherited = Some(takeover.state);
            TcpListener::from_std(takeover.listener).map_err(|e| e.to_string())?
        }
    };
    // Opened only after the running process has released its membership of the group.
    let opened =
        config.agreement.as_ref().map(|settings| OpenedFolder::open(settings, &config.name)).transpose()?;
    let mut group = config
        .agreement
        .as_ref()
        .map(|_| Group { initial: policy::fingerprint(&config), policy: None.into() });
    if let Some((text, group)) = opened.as_ref().and_then(OpenedFolder::in_force).zip(group.as_mut()) {
        group.policy = RefCell::new(Some(text.clone()));
        match policy::with_policy(&path, &layers, text) {
            Ok(applied) => {
                config = scheduler_config::SchedulerConfig {
                    agreement: config.agreement,
                    known: config.known,
                    ..applied
                }
            }
            // It cannot serve as a member of the group, and reports that for as long as it runs.
            Err(why) => warn!(log, "this process cannot read the policy in force: {why}"),
        }
    }
    // The state of the other process is newer than the file.
    let list = inherited.as_mut().and_then(|h| h.list.take()).filter(|_| config.inventory.is_none());
    let list = list.map(|list| list.decode(&mut config.names)).transpose().unwrap_or_else(|why| {
        warn!(log, "the worker list of the running process is not taken over: {why}");
        None
    });
    let index = config.known.as_ref().map(|known| known.index).filter(|_| list.is_none());
    let known = list.or(config.known.take());
    let open = Rc::new(Cell::new(false));
    let part = |name: &'static str| log.new(o!("part" => name));
    let clock = Clock::start();
    let version = Rc::new(Version::new(std::mem::take(&mut config.digest), clock));
    let stopping = Rc::new(Shutdown::new(part("stopping")));
    stopping
        .set_hard_limit(config.settings.workloads.iter().map(|row| row.hard_limit).max().unwrap_or_default());
    let workloads = WorkloadTable::new(&config.settings, &config.names);
    let began = clock.now();
    let decision_module = Policy::new(config.settings, config.seed, began);
    let now = Box::new(move || clock.now());
    let (exchange, commands) = Exchange::new(decision_module, workloads, clock, now, part("rules"));
    let bans = Bans::new(config.runtime.as_deref(), &config.name, part("management"));
    exchange.restore_bans(inherited.as_ref().map_or_else(|| bans.read(), |h| h.banned.clone()));
    exchange.start(began, known);
    inherited.iter().for_each(|inherited| exchange.import_state(inherited, &config.names));
    let worker_list = match &config.inventory {
        None => WorkerList::from_discovery(exchange.clone(), config.names.clone(), part("inventory")),
        Some(stock) => {
            let health_settings = stock.health.clone();
            let health = health_settings.as_ref().map(|h| {
                let (down_after, up_after, panic_share) = (h.down_after, h.up_after, h.panic_share);
                HealthChecker::new(
                    HealthSettings { interval: h.interval, down_after, up_after, panic_share },
                    config.seed,
                )
            });
            let worker_list =
                WorkerList::with_files(exchange.clone(), config.names.clone(), health, part("inventory"));
            if let Some(health_settings) = health_settings {
                spawn_local(probing::run(worker_list.clone(), Rc::new(Tcp), health_settings));
            }
            let (events_sender, events) = mpsc::channel(QUEUED_EVENTS);
            let folder = path.parent().map(PathBuf::from).unwrap_or_default();
            let inventory = InventoryThread { settings: stock.clone(), folder, events: events_sender };
            std::thread::Builder::new()
                .name("inventory".into())
                .spawn(move || inventory.run())
                .map_err(|e| format!("inventory: {e}"))?;
            let files = worker_list.clone();
            spawn_local(async move { files.run(events).await });
            worker_list
        }
    };
    let mut discovery_address = None;
    match config.discovery {
        Some(at) => {
            let (address_sender, address) = watch::channel(at);
            discovery_address = Some(address_sender);
            // The service is an agent on the local machine, whatever the settings say of the service behind
            // it.
            let client = ListClient::new(Service::Agent { max_wait: LONG_WAIT }, index, config.seed);
            let log = part("discovery");
            let discovery = Discovery {
                exchange: exchange.clone(),
                connector: Rc::new(Tcp),
                worker_list: worker_list.clone(),
                address,
                client,
                log,
            };
            spawn_local(discovery.run());
        }
        None => exchange.without_discovery(),
    }
    let pool = Rc::new(Pool::new(
        config.resource_limits.worker_connections,
        config.connect_timeout,
        config.idle_timeout,
    ));
    let sending =
        Sending::new(exchange.clone(), pool.clone(), telemetry.assignments.clone(), part("workers"));
    let mut peer_messages = None;
    if let Some(addresses) = config.peers {
        let at = addresses.all[addresses.position];
        let socket = UdpSocket::bind(at).await.map_err(|e| format!("peers, {at}: {e}"))?;
        let (socket, (sender, messages)) = (Rc::new(socket), mpsc::channel(socket::QUEUED_MESSAGES));
        peer_messages = Some(sender);
        spawn_local(PeerSocket::send(socket.clone(), addresses.clone(), messages));
        let peers = PeerSocket { exchange: exchange.clone(), socket, addresses, log: part("peers") };
        spawn_local(peers.receive());
    }
    exchange.configure(config.names.reports.clone(), peer_messages);
    let line = Rc::new(Link::default());
    let clients = ClientListener::new(
        exchange.clone(),
        stopping.clone(),
        config.resource_limits.client_connections,
        line.clone(),
        BodyBudget::new(config.resource_limits.body_bytes),
        telemetry.clone(),
        part("clients"),
    );
    clients.reload_names();
    let reloader = Rc::new(ConfigReloader {
        path,
        layers,
        keys: config.keys.into(),
        group,
        discovery: discovery_address,
        exchange: exchange.clone(),
        worker_list: worker_list.clone(),
        clients: clients.clone(),
        stopping: stopping.clone(),
        telemetry: telemetry.clone(),
        version: version.clone(),
        log: part("configuration"),
    });
    let mut accord = None;
    if let Some((settings, opened)) = config.agreement.zip(opened) {
        let policies = reloader.clone();
        let group = GroupMember::new(settings, config.name.clone(), opened, clock, policies, part("accord"))?;
        clients.set_group(group.clone());
        spawn_local(group.clone().run());
        group.wait_for_first_lease().await;
        accord = Some(group);
    }
    let (rereads, reread_queue) = mpsc::channel(reload::QUEUED_REREADS);
    spawn_local(reloader.run(hang_up, reread_queue));
    spawn_local(sending.run(commands));
    let idle_pool = pool.clone();
    spawn_local(async move { idle_pool.retire_idle().await });
    let timer = exchange.clone();
    spawn_local(async move { timer.run_timers().await });
    let listener = Rc::new(listener);
    let local_address = listener.local_addr().map_err(|e| e.to_string())?;
    info!(log, "{} listens on {local_address}", config.name);
    let counts = clients.clone();
    spawn_local(async move { counts.log_counts().await });
    spawn_local(clients.clone().accept(listener.clone()));
    let handover = Rc::new(Handover {
        socket_path,
        link: line.clone(),
        listener,
        exchange: exchange.clone(),
        workers: worker_list,
        clients: clients.clone(),
        pool,
        shutdown: stopping.clone(),
        group: accord.clone(),
        accepting: open.clone(),
        rebind: Notify::new(),
        log: part("handover"),
    });
    let upgrade_listener = handover.listen();
    before.into_iter().for_each(|stream| drop(spawn_local(handover.clone().finish_takeover(stream))));
    spawn_local(handover.accept(upgrade_listener));
    open.set(true);
    if let Some(listener) = management_listener {
        info!(log, "operators' address is {}", listener.local_addr().map_err(|e| e.to_string())?);
        let (exchange, open) = (exchange.clone(), open.clone());
        let log = part("management");
        let management = Management {
            exchange,
            telemetry,
            bans,
            version,
            rereads,
            handover: line,
            group: accord,
            open,
            log,
        };
        spawn_local(Rc::new(management).accept(listener));
    }
    draining::run(&stopping, terminate, &clients, &exchange, &open).await;
    info!(log, "{} ends", config.name);
    Ok(())
}
