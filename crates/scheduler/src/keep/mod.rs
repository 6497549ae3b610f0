//! `tindock keep`: stands over the schedulers of one machine. [`tindock_rollout::supervisor`] decides for each; here are
//! its hands: [`processes`] starts and ends them, [`standing`] keeps which program each runs, [`control`] hears calls.
//!
//! It can die and be started again: schedulers go on by themselves, and what is found at their operators' addresses is
//! taken as it is.

pub mod control;
pub mod processes;
pub mod standing;

use crate::operators::calls::map_parallel;
use control::{Asked, Call};
use processes::Processes;
use serde_json::json;
use slog::{info, o, warn, Logger};
use standing::{Programs, Standing};
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};
use tindock_berth::keeper::{KeeperConfig, KeptScheduler};
use tindock_rollout::supervisor::{Order, ProcessStatus, State, Supervisor, Upgrade};
use tindock_rollout::Lease;

/// A process that ended is seen, and started again, within so long.
const LOOK: Duration = Duration::from_millis(100);

/// One scheduler.
struct One {
    is: KeptScheduler,
    keeping: Supervisor,
    processes: Processes,
    lease: Lease,
    said: (State, Option<Upgrade>),
}

pub struct Host {
    keeper: KeeperConfig,
    programs: Programs,
    all: Vec<One>,
    began: Instant,
    log: Logger,
}

/// Keeps them until the process ends; an error where it could not begin.
pub fn run(path: &Path, log: &Logger) -> Result<(), Vec<String>> {
    let keeper = tindock_berth::keeper::open(path)?;
    let one = |why: String| vec![why];
    let alone = standing::alone(&keeper.folder).map_err(one)?;
    let (tell, asked) = mpsc::sync_channel(control::WAITING);
    let listens = control::listen(keeper.control, tell)
        .map_err(|e| one(format!("control, {}: {e}", keeper.control)))?;
    info!(log, "{} keeps {} schedulers, control at {listens}", keeper.name, keeper.schedulers.len());
    let mut host = Host::begin(keeper, log.clone()).map_err(one)?;
    host.keep(&asked);
    drop(alone);
    Ok(())
}

impl Host {
    fn begin(keeper: KeeperConfig, log: Logger) -> Result<Self, String> {
        let mut programs = Programs::open(&keeper.folder)?;
        // The file's program is the one for schedulers that were never started here.
        let first = programs.bring(&keeper.program)?;
        let mut all = Vec::new();
        for is in &keeper.schedulers {
            let standing = Standing::read(&keeper.folder, &is.name)?;
            let known = |digest: &str, programs: &mut Programs| programs.find(digest);
            let program = standing.as_ref().and_then(|s| known(&s.program, &mut programs)).unwrap_or(first);
            let previous = standing.as_ref().and_then(|s| known(s.previous.as_deref()?, &mut programs));
            let mut lease = Lease::default();
            if let Some(standing) = standing {
                // What is older stays older over a restart of this process.
                lease = Lease::after(standing.number, &standing.run);
            }
            let mut processes = Processes::new(is, &keeper.folder);
            let sights = processes.look();
            let keeping = Supervisor::adopt(program, previous, sights, Duration::ZERO);
            let log = log.new(o!("part" => is.name.clone()));
            sights.iter().zip(&is.management).filter(|(sight, _)| **sight != ProcessStatus::Gone).for_each(
                |(_, at)| {
                    info!(log, "found at {at}, goes on");
                },
            );
            let said = (keeping.state(), None);
            all.push(One { is: is.clone(), keeping, processes, lease, said });
        }
        Ok(Host { keeper, programs, all, began: Instant::now(), log })
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn keep(&mut self, asked: &Receiver<Asked>) {
        loop {
            let turn = Instant::now();
            self.look();
            for at in 0..self.all.len() {
                self.act(at);
            }
            // Calls are answered at once; the next look waits for none.
            while let Some(rest) = LOOK.checked_sub(turn.elapsed()).filter(|rest| !rest.is_zero()) {
                let Ok(Asked { call, answer }) = asked.recv_timeout(rest) else { break };
                let said = self.answer(call);
                // A caller that went away wants no answer.
                let _ = answer.send(said);
            }
        }
    }

    fn look(&mut self) {
        let sights = map_parallel(&mut self.all, |one| one.processes.look());
        let now = self.now();
        for (one, sights) in self.all.iter_mut().zip(sights) {
            sights.into_iter().enumerate().for_each(|(place, sight)| one.keeping.observe(place, sight, now));
        }
    }

    /// Carries out what is decided for one scheduler. Which program it runs is on the disk before a process of it begins.
    fn act(&mut self, at: usize) {
        let now = self.now();
        let log = self.log.new(o!("part" => self.all[at].is.name.clone()));
        while let Some(order) = self.all[at].keeping.next_order(now) {
            let one = &mut self.all[at];
            match order {
                Order::Start { program, place } => {
                    let program = self.programs.path(program);
                    match one.processes.start(&program, place) {
                        Ok(id) => info!(
                            log,
                            "started as process {id}, operators' address {}", one.is.management[place]
                        ),
                        Err(e) => warn!(log, "cannot be started: {}: {e}", program.display()),
                    }
                }
                Order::Stop { place } => one.processes.signal(place, false),
                Order::Kill { place } => {
                    warn!(log, "the process at {} is killed", one.is.management[place]);
                    one.processes.signal(place, true);
                }
            }
        }
        let said = (self.all[at].keeping.state(), self.all[at].keeping.last_upgrade());
        if said == std::mem::replace(&mut self.all[at].said, said) {
            return;
        }
        match said {
            (State::GivenUp, _) => warn!(log, "given up: it ended again and again; `anew` begins anew"),
            (State::Down(until), _) => {
                warn!(log, "ended; started again in {:.2} s", until.saturating_sub(now).as_secs_f64());
            }
            (State::Upgrading, _) => info!(log, "another program begins beside it"),
            (State::Serving, Some(Upgrade::Done)) => info!(log, "the new program serves"),
            (State::Serving, Some(Upgrade::ExitedEarly)) => {
                warn!(log, "the new program ended before it served; the old one goes on")
            }
            (State::Serving, Some(Upgrade::TimedOut)) => {
                warn!(log, "the new program did not serve in time; the old one goes on")
            }
            (State::Serving, Some(Upgrade::RolledBack)) => {
                warn!(log, "the new program ended soon after it served; the old one is back")
            }
            (State::Serving, None) => {}
        }
        self.write(at);
    }

    fn write(&self, at: usize) {
        let one = &self.all[at];
        let (number, run) = one.lease.holder();
        let standing = Standing::new(
            self.programs.digest(one.keeping.program()),
            one.keeping.previous().map(|program| self.programs.digest(program)),
            number,
            run,
        );
        if let Err(why) = standing.write(&self.keeper.folder, &one.is.name) {
            warn!(self.log, "which program {} runs will be forgotten: {why}", one.is.name);
        }
    }

    fn answer(&mut self, call: Call) -> Result<String, String> {
        let find = |name: &str, all: &[One]| {
            let found = all.iter().position(|one| one.is.name == name);
            found.ok_or_else(|| format!("no scheduler {name:?} is kept here"))
        };
        match call {
            Call::Ready => match self.all.iter().find(|one| !one.keeping.is_ready()) {
                Some(one) => Err(format!("{} does not serve", one.is.name)),
                None => Ok("done\n".into()),
            },
            Call::Programs => Ok(self.programs_line() + "\nend\n"),
            Call::Anew { name } => {
                let at = find(&name, &self.all)?;
                self.all[at].keeping.restart(self.began.elapsed());
                Ok("done\n".into())
            }
            Call::Bring { name, run, number, digest, path } => {
                let at = find(&name, &self.all)?;
                let now = self.now();
                self.all[at].lease.take(&run, number, now)?;
                let program = match path {
                    None => self
                        .programs
                        .find(&digest)
                        .ok_or_else(|| format!("no program {digest} is kept here"))?,
                    Some(path) => {
                        let program = self.programs.bring(&path)?;
                        if self.programs.digest(program) != digest {
                            return Err(format!(
                                "{}: has digest {}",
                                path.display(),
                                self.programs.digest(program)
                            ));
                        }
                        program
                    }
                };
                self.all[at].keeping.upgrade(program, now)?;
                // The number holds from now on, whatever becomes of this process.
                self.write(at);
                self.act(at);
                Ok("done\n".into())
            }
        }
    }

    fn programs_line(&self) -> String {
        let schedulers = self.all.iter().map(|one| {
            let state = match one.keeping.state() {
                State::Serving => "serves",
                State::Upgrading => "upgrades",
                State::Down(_) => "down",
                State::GivenUp => "given up",
            };
            let last = one.keeping.last_upgrade().map(|last| match last {
                Upgrade::Done => "done",
                Upgrade::ExitedEarly => "ended",
                Upgrade::TimedOut => "late",
                Upgrade::RolledBack => "went back",
            });
            let (number, run) = one.lease.holder();
            json!({
                "name": one.is.name,
                "program": self.programs.digest(one.keeping.program()),
                "state": state,
                "last": last,
                "management": one.is.management[one.keeping.place()].to_string(),
                "fence": number,
                "run": run,
            })
        });
        json!({"version": 1, "schedulers": schedulers.collect::<Vec<_>>()}).to_string()
    }
}
