//! SIGHUP, or a run's call: the configuration is read again, whole or not at all. In force at once are the settings (workloads, customers,
//! limits of assignments, what workers are held to) and a new discovery address; what else has changed in it counts
//! from the next start on.

use crate::accord::text::ProposalText;
use crate::accord::{policy, PolicyHandler};
use crate::berth::{self, Berth, Layers};
use crate::clients::door::Door;
use crate::exchange::Exchange;
use crate::list::muster::Muster;
use crate::operators::telemetry::Telemetry;
use crate::operators::version::Version;
use crate::succession::shutdown::Shutdown;
use slog::{info, warn, Logger};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch};

/// Calls to read again that may wait; callers are few, and each waits for its answer.
pub const ASKED: usize = 4;

/// A call to read again what has this digest; the answer is given when it is in force, or says why it is not.
pub struct Reread {
    pub digest: String,
    pub answer: oneshot::Sender<Result<(), String>>,
}

/// What the own file says of the things that a group decides, as it was at the start, and the policy in force in its
/// place.
pub struct Group {
    pub says: String,
    pub policy: RefCell<Option<Rc<ProposalText>>>,
}

pub struct Reloading {
    pub path: PathBuf,
    pub layers: Layers,
    /// What the file in force says at all.
    pub keys: RefCell<BTreeSet<String>>,
    /// Where a group decides the policy.
    pub group: Option<Group>,
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub exchange: Rc<Exchange>,
    pub muster: Rc<Muster>,
    pub door: Rc<Door>,
    pub stopping: Rc<Shutdown>,
    pub telemetry: Rc<Telemetry>,
    pub version: Rc<Version>,
    pub log: Logger,
}

impl Reloading {
    /// Reads again after each signal and call. Several signals at once are one, and the file is read after the last.
    pub async fn keep(self: Rc<Self>, mut told: Signal, mut asked: mpsc::Receiver<Reread>) {
        loop {
            tokio::select! {
                came = told.recv() => match came {
                    Some(()) => drop(self.again(None)),
                    None => return,
                },
                Some(Reread { digest, answer }) = asked.recv() => {
                    // Guards against a call that comes twice: what is in force already is in force.
                    let done = if digest == self.version.settings() { Ok(()) } else { self.again(Some(&digest)) };
                    let _ = answer.send(done);
                }
            }
        }
    }

    /// The file is small and on the own machine: read at once, in the midst of all else.
    fn again(&self, wanted: Option<&str>) -> Result<(), String> {
        let meant = |berth: Berth| match wanted {
            // Guards against a file that was replaced since the call was sent: nobody vouches for it.
            Some(digest) if digest != berth.digest => {
                Err(format!("the file has digest {}, not {digest}", berth.digest))
            }
            _ => Ok(berth),
        };
        let read = self.read().and_then(meant).and_then(|berth| self.whole(berth));
        self.telemetry.reloaded(read.is_ok());
        match read {
            Ok(berth) => {
                self.take_in(berth);
                Ok(())
            }
            Err(why) => {
                let why = why.replace('\n', " ");
                warn!(self.log, "new configuration turned down, the old one is kept: {why}");
                Err(why)
            }
        }
    }

    /// The file; under a policy that a group has decided, with that one in it.
    fn read(&self) -> Result<Berth, String> {
        let own = berth::from_file(&self.path, &self.layers)?;
        let policy = self.group.as_ref().and_then(|group| Some((group, group.policy.borrow().clone()?)));
        let Some((group, text)) = policy else { return Ok(own) };
        if policy::fingerprint(&own) != group.says {
            // Guards against a scheduler that decides by a file of its own beside others.
            return Err(format!(
                "workloads, customers and workers are decided by the group (number {}): undo what was changed by hand, \
                 or propose it with tindock policy propose",
                text.number
            ));
        }
        policy::with_policy(&self.path, &self.layers, &text)
    }

    /// Guards against a file that was cut and still can be read, and against words that nobody could hold: nothing is
    /// taken from it.
    fn whole(&self, mut berth: Berth) -> Result<Berth, String> {
        if let Some(missing) = self.keys.borrow().difference(&berth.keys).next() {
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

    fn take_in(&self, berth: Berth) {
        self.keys.replace(berth.keys);
        self.version.took(berth.digest);
        self.stopping.set_hard_limit(self.exchange.retune(berth.sheet, &berth.words));
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

impl PolicyHandler for Reloading {
    fn check(&self, text: &ProposalText) -> Result<(), String> {
        policy::with_policy(&self.path, &self.layers, text).and_then(|berth| self.whole(berth)).map(|_| ())
    }

    /// Goes through the same step as a file that is read again.
    fn apply(&self, text: &Rc<ProposalText>) -> Result<(), String> {
        let berth =
            policy::with_policy(&self.path, &self.layers, text).and_then(|berth| self.whole(berth))?;
        if let Some(group) = &self.group {
            group.policy.replace(Some(text.clone()));
        }
        self.take_in(berth);
        Ok(())
    }
}
