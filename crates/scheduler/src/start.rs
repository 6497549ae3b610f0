//! Puts the parts together and runs them on one thread until the scheduler was told to stop.

use crate::berth::Berth;
use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::door::Door;
use crate::exchange::Exchange;
use crate::pool::Pool;
use crate::reading::Rooms;
use crate::reloading::Reloading;
use crate::sending::Sending;
use crate::stopping::Stopping;
use crate::wire::Tcp;
use slog::{info, o, Logger};
use std::path::PathBuf;
use std::rc::Rc;
use tindock::rules::Rules;
use tindock_roster::asking::{Asking, Service, LONG_WATCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

/// Serves until told to stop and all is answered; an error only where it could not start.
pub fn run(berth: Berth, path: PathBuf, log: &Logger) -> Result<(), String> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_io().enable_time().build().map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, serve(berth, path, log))
}

async fn serve(berth: Berth, path: PathBuf, log: &Logger) -> Result<(), String> {
    // Guards against an end by a signal that comes early: both are caught before anybody can take us for ready.
    let caught = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (hang_up, terminate) = (caught(SignalKind::hangup())?, caught(SignalKind::terminate())?);
    let listener = TcpListener::bind(berth.listen).await.map_err(|e| format!("{}: {e}", berth.listen))?;
    let part = |name: &'static str| log.new(o!("part" => name));
    let clock = Clock::start();
    let hard_limits: Vec<_> = berth.sheet.workloads.iter().map(|row| row.hard_limit).collect();
    let stopping = Rc::new(Stopping::new(&hard_limits, part("stopping")));
    let began = clock.now();
    let rules = Rules::new(berth.sheet, berth.seed, began);
    let now = Box::new(move || clock.now());
    let (exchange, orders) = Exchange::new(rules, hard_limits, clock, now, part("rules"));
    let (discovery, address) = watch::channel(berth.discovery);
    let reloading = Reloading { path, discovery, log: part("configuration") };
    let discovery = Discovery {
        exchange: exchange.clone(),
        wire: Rc::new(Tcp),
        words: berth.words.clone(),
        address,
        // It is an agent on the own machine, whatever the settings say of the service behind it.
        asking: Asking::new(
            Service::Agent { watch: LONG_WATCH },
            berth.known.as_ref().map(|known| known.index),
            berth.seed,
        ),
        log: part("discovery"),
    };
    exchange.begin(began, berth.known);
    let pool = Rc::new(Pool::new(berth.for_workers, berth.dial, berth.keep));
    let reports = berth.words.reports.clone();
    let sending = Sending::new(exchange.clone(), pool.clone(), reports, part("workers"));
    let words = Rc::new(berth.words);
    let door = Door::new(
        exchange.clone(),
        words,
        stopping.clone(),
        berth.for_clients,
        Rooms::new(berth.for_bodies),
        part("clients"),
    );
    spawn_local(sending.carry_out(orders));
    spawn_local(async move { pool.tend().await });
    let timer = exchange.clone();
    spawn_local(async move { timer.keep_time().await });
    spawn_local(discovery.keep());
    spawn_local(reloading.keep(hang_up));
    let listens = listener.local_addr().map_err(|e| e.to_string())?;
    info!(log, "{} listens on {listens}", berth.name);
    let sums = door.clone();
    spawn_local(async move { sums.tell_sums().await });
    spawn_local(door.clone().accept(listener));
    stopping.over(terminate, &door, &exchange).await;
    info!(log, "{} ends", berth.name);
    Ok(())
}
