//! Rereads the configuration on SIGHUP or on a call from a rollout: it is applied as a whole or not at all.
//! Applied at once are the settings (workloads, tenants, limits on assignments, requirements on workers) and
//! a new discovery address; other changes take effect at the next start.

use crate::accord::text::ProposalText;
use crate::accord::{policy, PolicyHandler};
use crate::clients::listener::ClientListener;
use crate::exchange::Exchange;
use crate::list::worker_list::WorkerList;
use crate::operators::telemetry::Telemetry;
use crate::operators::version::Version;
use crate::scheduler_config::{self, Layers, SchedulerConfig};
use crate::succession::shutdown::Shutdown;
use slog::{info, warn, Logger};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};

/// Queued calls to reread; callers are few, and each waits for its answer.
pub const QUEUED_REREADS: usize = 4;

/// A call to reread the file with this digest; answered when it is in force, or with the reason why it is
/// not.
pub struct Reread {
    pub digest: String,
    pub answer: oneshot::Sender<Result<(), String>>,
}

/// The settings decided by a group: those in the local file at the start, and the policy that replaces them.
pub struct Group {
    pub initial: String,
    pub policy: RefCell<Option<Rc<ProposalText>>>,
}

pub struct ConfigReloader {
    pub path: PathBuf,
    pub layers: Layers,
    /// The keys that the file in force contains.
    pub keys: RefCell<BTreeSet<String>>,
    /// The group that decides the policy, if there is one.
    pub group: Option<Group>,
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub exchange: Rc<Exchange>,
    pub worker_list: Rc<WorkerList>,
    pub clients: Rc<ClientListener>,
    pub stopping: Rc<Shutdown>,
    pub telemetry: Rc<Telemetry>,
    pub version: Rc<Version>,
    pub log: Logger,
}

impl ConfigReloader {
    /// Rereads after each signal and call. Several pending signals count as one, and the file is read after
    /// the last.
    pub async fn run(self: Rc<Self>, mut hang_up: Signal, mut rereads: mpsc::Receiver<Reread>) {
        loop {
            tokio::select! {
                signalled = hang_up.recv() => match signalled {
                    Some(()) => drop(self.reload(None)),
                    None => return,
                },
                Some(Reread { digest, answer }) = rereads.recv() => {
                    // Guards against a repeated call: what it asks for is already in force.
                    let done = if digest == self.version.settings() {
                        Ok(())
                    } else {
                        self.reload(Some(&digest))
                    };
                    let _ = answer.send(done);
                }
            }
        }
    }

    /// The file is small and local, so it is read synchronously.
    fn reload(&self, wanted: Option<&str>) -> Result<(), String> {
        let check_digest = |config: SchedulerConfig| match wanted {
            // Guards against a file that was replaced after the call was sent and that nobody has approved.
            Some(digest) if digest != config.digest => {
                Err(format!("the file has digest {}, not {digest}", config.digest))
            }
            _ => Ok(config),
        };
        let read = self.read().and_then(check_digest).and_then(|config| self.validate(config));
        self.telemetry.reloaded(read.is_ok());
        match read {
            Ok(config) => {
                self.apply(config);
                Ok(())
            }
            Err(why) => {
                let why = why.replace('\n', " ");
                warn!(self.log, "new configuration rejected, the old one stays in force: {why}");
                Err(why)
            }
        }
    }

    /// Reads the file; where a group has decided a policy, with that policy applied.
    fn read(&self) -> Result<SchedulerConfig, String> {
        let local = scheduler_config::from_file(&self.path, &self.layers)?;
        let policy = self.group.as_ref().and_then(|group| Some((group, group.policy.borrow().clone()?)));
        let Some((group, text)) = policy else { return Ok(local) };
        if policy::fingerprint(&local) != group.initial {
            // Guards against a scheduler that decides by its own file next to others that follow the policy.
            return Err(format!(
                "workloads, customers and workers are decided by the group (number {}): undo what was \
                 changed by hand, or propose it with tindock policy propose",
                text.number
            ));
        }
        policy::with_policy(&self.path, &self.layers, &text)
    }

    /// Guards against a truncated file that still parses, and against names beyond the limits of the tables:
    /// nothing of it is applied.
    fn validate(&self, mut config: SchedulerConfig) -> Result<SchedulerConfig, String> {
        if let Some(missing) = self.keys.borrow().difference(&config.keys).next() {
            return Err(format!("no {missing}, which the file before had"));
        }
        let kinds = &config.names.kinds;
        for row in &mut config.settings.workloads {
            if let Some(kind) = row.kind {
                let name = kinds.get(kind).ok_or_else(|| format!("no machine kind {kind}"))?;
                row.kind = Some(self.worker_list.kind(name.clone())?);
            }
        }
        Ok(config)
    }

    fn apply(&self, config: SchedulerConfig) {
        self.keys.replace(config.keys);
        self.version.set_settings(config.digest);
        self.stopping.set_hard_limit(self.exchange.reconfigure(config.settings, &config.names));
        self.clients.reload_names();
        let names = config.names.workloads.join(", ");
        let at = self.discovery.as_ref().map(|discovery| {
            let changed = discovery.send_if_modified(|at| {
                let new = config.discovery.unwrap_or(*at);
                std::mem::replace(at, new) != new
            });
            let what = if changed { "discovery is now" } else { "discovery is still" };
            format!("{what} at {}, ", *discovery.borrow())
        });
        info!(self.log, "configuration read again: {}workloads {names}", at.unwrap_or_default());
    }
}

impl PolicyHandler for ConfigReloader {
    fn check(&self, text: &ProposalText) -> Result<(), String> {
        policy::with_policy(&self.path, &self.layers, text)
            .and_then(|config| self.validate(config))
            .map(|_| ())
    }

    /// The same steps as for a file that is reread.
    fn apply(&self, text: &Rc<ProposalText>) -> Result<(), String> {
        let config =
            policy::with_policy(&self.path, &self.layers, text).and_then(|config| self.validate(config))?;
        if let Some(group) = &self.group {
            group.policy.replace(Some(text.clone()));
        }
        self.apply(config);
        Ok(())
    }
}
