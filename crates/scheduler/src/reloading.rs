//! SIGHUP: the configuration is read again, whole or not at all. It tells of a new discovery address; what else
//! has changed in it counts from the next start on.

use crate::berth::{self, Layers};
use crate::telemetry::Telemetry;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

pub struct Reloading {
    pub path: PathBuf,
    pub layers: Layers,
    pub discovery: watch::Sender<SocketAddr>,
    pub telemetry: Rc<Telemetry>,
    pub log: Logger,
}

impl Reloading {
    /// Reads again after each signal. Several at once are one, and the file is read after the last of them.
    pub async fn keep(self, mut told: Signal) {
        while told.recv().await.is_some() {
            // It is small and on the own machine: read at once, in the midst of all else.
            let read = berth::from_file(&self.path, &self.layers);
            self.telemetry.reloaded(read.is_ok());
            match read {
                Ok(berth) => {
                    let moved = self.discovery.send_if_modified(|at| {
                        let new = berth.discovery.unwrap_or(*at);
                        std::mem::replace(at, new) != new
                    });
                    let what = if moved { "discovery is now" } else { "discovery is still" };
                    let at = *self.discovery.borrow();
                    info!(self.log, "configuration read again: {what} at {at}");
                }
                Err(why) => {
                    warn!(
                        self.log,
                        "new configuration turned down, the old one is kept: {}",
                        why.replace('\n', " ")
                    );
                }
            }
        }
    }
}
