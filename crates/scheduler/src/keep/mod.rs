//! `tindock keep`: supervises the schedulers of one machine. The state machine of each is
//! [`tindock_rollout::supervisor`]; this module does its input and output: [`processes`] starts and ends
//! processes, [`store`] persists which program each scheduler runs, and [`control`] accepts calls.
//!
//! The keeper can be killed and restarted: schedulers keep running without it, and it adopts the processes
//! that it finds at their operators' addresses.

pub mod control;
pub mod processes;
pub mod store;

use crate::operators::calls::map_parallel;
use control::{Call, Request};
use processes::Processes;
use serde_json::json;
use slog::{info, o, warn, Logger};
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};
use store::{Programs, SchedulerState};
use tindock_rollout::supervisor::{Order, ProcessStatus, State, Supervisor, Upgrade};
use tindock_rollout::Lease;
use tindock_scheduler_config::keeper::{KeeperConfig, KeptScheduler};

/// Interval at which processes that have exited are noticed and restarted.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One supervised scheduler.
struct Member {
    config: KeptScheduler,
    supervisor: Supervisor,
    processes: Processes,
    lease: Lease,
    /// The state and upgrade outcome that were logged last.
    reported: (State, Option<Upgrade>),
}

pub struct Host {
    keeper: KeeperConfig,
    programs: Programs,
    members: Vec<Member>,
    began: Instant,
    log: Logger,
}

/// Supervises the schedulers until the process ends; an error only if it could not start.
pub fn run(path: &Path, log: &Logger) -> Result<(), Vec<String>> {
    let keeper = tindock_scheduler_config::keeper::open(path)?;
    let single = |why: String| vec![why];
    let lock = store::lock_folder(&keeper.folder).map_err(single)?;
    let (sender, requests) = mpsc::sync_channel(control::QUEUE_CAPACITY);
    let address = control::listen(keeper.control, sender)
        .map_err(|e| single(format!("control, {}: {e}", keeper.control)))?;
    info!(log, "{} supervises {} schedulers, control at {address}", keeper.name, keeper.schedulers.len());
    let mut host = Host::begin(keeper, log.clone()).map_err(single)?;
    host.run_loop(&requests);
    drop(lock);
    Ok(())
}

impl Host {
    fn begin(keeper: KeeperConfig, log: Logger) -> Result<Self, String> {
        let mut programs = Programs::open(&keeper.folder)?;
        // The configured program is for schedulers that were never started here.
        let first = programs.add(&keeper.program)?;
        let mut members = Vec::new();
        for config in &keeper.schedulers {
            let state = SchedulerState::read(&keeper.folder, &config.name)?;
            let known = |digest: &str, programs: &mut Programs| programs.find(digest);
            let program = state.as_ref().and_then(|s| known(&s.program, &mut programs)).unwrap_or(first);
            let previous = state.as_ref().and_then(|s| known(s.previous.as_deref()?, &mut programs));
            let mut lease = Lease::default();
            if let Some(state) = state {
                // Restored, so that older run numbers are refused after a restart of the keeper too.
                lease = Lease::after(state.number, &state.run);
            }
            let mut processes = Processes::new(config, &keeper.folder);
            let statuses = processes.poll();
            let supervisor = Supervisor::adopt(program, previous, statuses, Duration::ZERO);
            let log = log.new(o!("part" => config.name.clone()));
            statuses
                .iter()
                .zip(&config.management)
                .filter(|(status, _)| **status != ProcessStatus::Gone)
                .for_each(|(_, at)| {
                    info!(log, "found running at {at}");
                });
            let reported = (supervisor.state(), None);
            members.push(Member { config: config.clone(), supervisor, processes, lease, reported });
        }
        Ok(Host { keeper, programs, members, began: Instant::now(), log })
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn run_loop(&mut self, requests: &Receiver<Request>) {
        loop {
            let cycle_start = Instant::now();
            self.poll();
            for at in 0..self.members.len() {
                self.act(at);
            }
            // Calls are answered until the next poll is due.
            while let Some(rest) =
                POLL_INTERVAL.checked_sub(cycle_start.elapsed()).filter(|rest| !rest.is_zero())
            {
                let Ok(Request { call, reply }) = requests.recv_timeout(rest) else { break };
                let answer = self.answer(call);
                // The caller may have closed the connection.
                let _ = reply.send(answer);
            }
        }
    }

    fn poll(&mut self) {
        let statuses = map_parallel(&mut self.members, |member| member.processes.poll());
        let now = self.now();
        for (member, statuses) in self.members.iter_mut().zip(statuses) {
            statuses
                .into_iter()
                .enumerate()
                .for_each(|(place, status)| member.supervisor.observe(place, status, now));
        }
    }

    /// Carries out the supervisor's orders for one scheduler, and logs and saves a change of its state.
    /// The program of an upgrade is on disk before a process of it starts.
    fn act(&mut self, at: usize) {
        let now = self.now();
        let log = self.log.new(o!("part" => self.members[at].config.name.clone()));
        while let Some(order) = self.members[at].supervisor.next_order(now) {
            let member = &mut self.members[at];
            match order {
                Order::Start { program, place } => {
                    let program = self.programs.path(program);
                    match member.processes.start(&program, place) {
                        Ok(id) => info!(
                            log,
                            "started as process {id}, operators' address {}", member.config.management[place]
                        ),
                        Err(e) => warn!(log, "cannot start: {}: {e}", program.display()),
                    }
                }
                Order::Stop { place } => member.processes.signal(place, false),
                Order::Kill { place } => {
                    warn!(log, "killing the process at {}", member.config.management[place]);
                    member.processes.signal(place, true);
                }
            }
        }
        let current = (self.members[at].supervisor.state(), self.members[at].supervisor.last_upgrade());
        if current == std::mem::replace(&mut self.members[at].reported, current) {
            return;
        }
        match current {
            (State::GivenUp, _) => warn!(log, "given up after repeated exits; the call `anew` restarts it"),
            (State::Down(until), _) => {
                warn!(
                    log,
                    "exited; will be started again in {:.2} s",
                    until.saturating_sub(now).as_secs_f64()
                );
            }
            (State::Upgrading, _) => info!(log, "starting another program beside the running one"),
            (State::Serving, Some(Upgrade::Done)) => info!(log, "the new program serves"),
            (State::Serving, Some(Upgrade::ExitedEarly)) => {
                warn!(log, "the new program exited before it served; the old one keeps serving")
            }
            (State::Serving, Some(Upgrade::TimedOut)) => {
                warn!(log, "the new program did not serve in time; the old one keeps serving")
            }
            (State::Serving, Some(Upgrade::RolledBack)) => {
                warn!(log, "the new program exited soon after it served; rolled back to the old one")
            }
            (State::Serving, None) => {}
        }
        self.save(at);
    }

    fn save(&self, at: usize) {
        let member = &self.members[at];
        let (number, run) = member.lease.holder();
        let state = SchedulerState::new(
            self.programs.digest(member.supervisor.program()),
            member.supervisor.previous().map(|program| self.programs.digest(program)),
            number,
            run,
        );
        if let Err(why) = state.write(&self.keeper.folder, &member.config.name) {
            warn!(self.log, "cannot store which program {} runs: {why}", member.config.name);
        }
    }

    fn answer(&mut self, call: Call) -> Result<String, String> {
        let find = |name: &str, all: &[Member]| {
            let found = all.iter().position(|member| member.config.name == name);
            found.ok_or_else(|| format!("no scheduler {name:?} is supervised here"))
        };
        match call {
            Call::Ready => match self.members.iter().find(|member| !member.supervisor.is_ready()) {
                Some(member) => Err(format!("{} does not serve", member.config.name)),
                None => Ok("done\n".into()),
            },
            Call::Programs => Ok(self.programs_json() + "\nend\n"),
            Call::Restart { name } => {
                let at = find(&name, &self.members)?;
                self.members[at].supervisor.restart(self.began.elapsed());
                Ok("done\n".into())
            }
            Call::Upgrade { name, run, number, digest, path } => {
                let at = find(&name, &self.members)?;
                let now = self.now();
                self.members[at].lease.take(&run, number, now)?;
                let program = match path {
                    None => self
                        .programs
                        .find(&digest)
                        .ok_or_else(|| format!("no copy of program {digest} is stored here"))?,
                    Some(path) => {
                        let program = self.programs.add(&path)?;
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
                self.members[at].supervisor.upgrade(program, now)?;
                // The run number is stored, so that it also holds after a restart of the keeper.
                self.save(at);
                self.act(at);
                Ok("done\n".into())
            }
        }
    }

    fn programs_json(&self) -> String {
        let schedulers = self.members.iter().map(|member| {
            let state = match member.supervisor.state() {
                State::Serving => "serves",
                State::Upgrading => "upgrades",
                State::Down(_) => "down",
                State::GivenUp => "given up",
            };
            let last = member.supervisor.last_upgrade().map(|last| match last {
                Upgrade::Done => "done",
                Upgrade::ExitedEarly => "ended",
                Upgrade::TimedOut => "late",
                Upgrade::RolledBack => "went back",
            });
            let (number, run) = member.lease.holder();
            json!({
                "name": member.config.name,
                "program": self.programs.digest(member.supervisor.program()),
                "state": state,
                "last": last,
                "management": member.config.management[member.supervisor.place()].to_string(),
                "fence": number,
                "run": run,
            })
        });
        json!({"version": 1, "schedulers": schedulers.collect::<Vec<_>>()}).to_string()
    }
}
