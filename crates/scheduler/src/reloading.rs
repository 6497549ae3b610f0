//! SIGHUP: the configuration is read again, whole or not at all. In force at once are the settings (workloads, customers,
//! limits of assignments, what workers are held to) and a new discovery address; what else has changed in it counts
//! from the next start on.

use crate::berth::{self, Berth, Layers};
use crate::door::Door;
use crate::exchange::Exchange;
use crate::muster::Muster;
use crate::stopping::Stopping;
use crate::telemetry::Telemetry;
use slog::{info, warn, Logger};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

pub struct Reloading {
    pub path: PathBuf,
    pub layers: Layers,
    /// What the file in force says at all.
    pub keys: BTreeSet<String>,
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub exchange: Rc<Exchange>,
    pub muster: Rc<Muster>,
    pub door: Rc<Door>,
    pub stopping: Rc<Stopping>,
    pub telemetry: Rc<Telemetry>,
    pub log: Logger,
}

impl Reloading {
    /// Reads again after each signal. Several at once are one, and the file is read after the last of them.
    pub async fn keep(mut self, mut told: Signal) {
        while told.recv().await.is_some() {
            // It is small and on the own machine: read at once, in the midst of all else.
            let read = berth::from_file(&self.path, &self.layers).and_then(|berth| self.whole(berth));
            self.telemetry.reloaded(read.is_ok());
            match read {
                Ok(berth) => self.take_in(berth),
                Err(why) => {
                    let why = why.replace('\n', " ");
                    warn!(self.log, "new configuration turned down, the old one is kept: {why}");
                }
            }
        }
    }

    /// Guards against a file that was cut and still can be read, and against words that nobody could hold: nothing is
    /// taken from it.
    fn whole(&self, mut berth: Berth) -> Result<Berth, String> {
        if let Some(missing) = self.keys.difference(&berth.keys).next() {
            return Err(format!("no {missing}, which the file before had"));
        }
        let kinds = &berth.words.kinds;
        for row in &mut berth.sheet.workloads {
            if let Some(kind) = row.kind {
                let name = kinds.get(kind).ok_or_else(|| format!("no machine kind {kind}"))?;
                row.kind = Some(self.muster.kind(name.clone())?);
            }
        }
        Ok(berth)
    }

    fn take_in(&mut self, berth: Berth) {
        self.keys = berth.keys;
        self.stopping.reaches(self.exchange.retune(berth.sheet, &berth.words));
        self.door.rename();
        let names = berth.words.workloads.join(", ");
        let at = self.discovery.as_ref().map(|discovery| {
            let moved = discovery.send_if_modified(|at| {
                let new = berth.discovery.unwrap_or(*at);
                std::mem::replace(at, new) != new
            });
            let what = if moved { "discovery is now" } else { "discovery is still" };
            format!("{what} at {}, ", *discovery.borrow())
        });
        info!(self.log, "configuration read again: {}workloads {names}", at.unwrap_or_default());
    }
}
