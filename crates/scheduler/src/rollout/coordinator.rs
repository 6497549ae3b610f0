//! Drives the rollout state machine: polls all schedulers concurrently, twice a second, and carries out its
//! orders. Each step is recorded before it is carried out. Schedulers keep running unchanged while the
//! coordinator is dead.

use super::files::{self, ConfigFile, FileError};
use super::record::{self, History, MemberDigests, Record, Step};
use super::remote::{self, Reply, SchedulerInfo, Snapshot};
use super::CommandError;
use crate::cli::LogFormat;
use crate::operators::calls::map_parallel;
use crate::scheduler_config::{self, Layers};
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tindock_rollout::{
    planning, Observation, Order, Outcome, Reason, Rollout, SettingsVersion, State, TaskTotals,
};
use tindock_scheduler_config::plan::{Change, Plan, PlannedScheduler};
use tindock_scheduler_config::{digest, digest_of, merging};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Leases last fifteen seconds: a few lost renewals are tolerated.
const LEASE_RENEWAL: Duration = Duration::from_secs(3);
/// Time for a scheduler to compute its program's digest: it does so in the background after the first query.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Run,
    Undo,
    Resume,
}

/// One scheduler of the run.
struct Member {
    scheduler: PlannedScheduler,
    /// The texts of its configuration before and after, if the run changes settings.
    old: String,
    new: String,
    /// Digests of the configuration or program before and after.
    digests: (String, String),
    snapshot: Option<Snapshot>,
}

impl Member {
    fn new(scheduler: PlannedScheduler, old: String, new: String) -> Self {
        let digests = (digest(&old), digest(&new));
        Member { scheduler, old, new, digests, snapshot: None }
    }

    fn for_program(scheduler: PlannedScheduler, old: String, new: String) -> Self {
        Member { scheduler, old: String::new(), new: String::new(), digests: (old, new), snapshot: None }
    }

    /// Which version the scheduler runs; `None` while it does not know its program. Where old and new are the
    /// same, it counts as changed once the change was ordered.
    fn version(&self, change: &Change, info: &SchedulerInfo, changed: bool) -> Option<SettingsVersion> {
        let current = match change {
            Change::Settings(_) => &info.settings,
            Change::Program(_) => info.program.as_ref()?,
        };
        let (old, new) = &self.digests;
        Some(match (current == old, current == new) {
            (true, true) if changed => SettingsVersion::New,
            (true, _) => SettingsVersion::Old,
            (_, true) => SettingsVersion::New,
            _ => SettingsVersion::Other,
        })
    }
}

/// Members with the new settings grafted into their configurations, each validated as the scheduler will read
/// it.
fn members_for_settings(plan: &Plan, settings: &Path) -> Result<Vec<Member>, Vec<String>> {
    let read =
        |path: &Path| std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())]);
    let next = read(settings)?;
    let (mut members, mut errors) = (Vec::new(), Vec::new());
    for scheduler in &plan.schedulers {
        let path = &scheduler.configuration;
        let texts = read(path).and_then(|old| {
            let new = merging::merge_settings(path, &old, settings, &next).map_err(|why| vec![why])?;
            scheduler_config::parse(path, &new, &Layers::default())?;
            Ok((old, new))
        });
        match texts {
            Ok((old, new)) => members.push(Member::new(scheduler.clone(), old, new)),
            Err(lines) => errors.extend(lines),
        }
    }
    if errors.is_empty() {
        Ok(members)
    } else {
        Err(errors)
    }
}

/// Members with the digests of the programs that they run now and are to run.
fn members_for_program(plan: &Plan, program: &Path) -> Result<Vec<Member>, Vec<String>> {
    let new = std::fs::File::open(program).and_then(digest_of);
    let new = new.map_err(|e| vec![format!("{}: {e}", program.display())])?;
    let found = map_parallel(&plan.schedulers, |scheduler| {
        let began = Instant::now();
        loop {
            let info = remote::management_address(scheduler).and_then(|(at, _)| remote::info(at));
            match info.map_err(|why| format!("{}: {why}", scheduler.name))?.program {
                Some(old) => return Ok(Member::for_program(scheduler.clone(), old, new.clone())),
                None if began.elapsed() < DIGEST_TIMEOUT => std::thread::sleep(POLL_INTERVAL / 2),
                None => return Err(format!("{}: does not report the digest of its program", scheduler.name)),
            }
        }
    });
    let (members, errors): (Vec<_>, Vec<_>) = found.into_iter().partition(Result::is_ok);
    match errors.is_empty() {
        true => Ok(members.into_iter().flatten().collect()),
        false => Err(errors.into_iter().filter_map(Result::err).collect()),
    }
}

/// Checks that a run could start: the files are valid, and all schedulers are ready and run what their files
/// say. Returns the largest number of any earlier run.
fn check_ready(plan: &Plan, members: &[Member]) -> Result<u64, Vec<String>> {
    let found = map_parallel(members, |member| {
        let name = &member.scheduler.name;
        let (at, keeper) =
            remote::management_address(&member.scheduler).map_err(|why| format!("{name}: {why}"))?;
        let info = remote::info(at).map_err(|why| format!("{name}: {why}"))?;
        if !info.ready {
            return Err(format!("{name}: not ready"));
        }
        if matches!(plan.change, Change::Settings(_)) && info.settings != member.digests.0 {
            let file = member.scheduler.configuration.display();
            return Err(format!("{name}: its settings differ from {file}; reload it with SIGHUP first"));
        }
        let (number, _) =
            files::holder(&member.scheduler.configuration).map_err(|why| why.text().to_string())?;
        Ok(number.max(info.fence).max(keeper.map_or(0, |keeper| keeper.fence)))
    });
    let (mut largest, mut errors) = (0, Vec::new());
    for result in found {
        match result {
            Ok(number) => largest = largest.max(number),
            Err(why) => errors.push(why),
        }
    }
    let same = |member: &Member| member.digests.0 == member.digests.1;
    if members.iter().all(same) {
        errors.push("nothing to change: every scheduler has this version".into());
    }
    if errors.is_empty() {
        Ok(largest)
    } else {
        Err(errors)
    }
}

/// Members with their old and new versions.
fn load_members(plan: &Plan) -> Result<Vec<Member>, Vec<String>> {
    match &plan.change {
        Change::Settings(path) => members_for_settings(plan, path),
        Change::Program(path) => members_for_program(plan, path),
    }
}

pub fn check(plan: &Plan) -> Result<String, CommandError> {
    let failed = |lines| CommandError { code: 1, lines };
    let members = load_members(plan).map_err(failed)?;
    check_ready(plan, &members).map_err(failed)?;
    let names: Vec<&str> = plan.schedulers.iter().map(|s| s.name.as_str()).collect();
    let stages = stages(plan);
    let lines = stages.iter().enumerate().map(|(at, stage)| {
        let names: Vec<&str> = stage.iter().map(|&who| names[who]).collect();
        format!("stage {}: {}\n", at + 1, names.join(", "))
    });
    Ok(format!("{}: all ready\n{}", plan.name, lines.collect::<String>()))
}

fn stages(plan: &Plan) -> Vec<Vec<usize>> {
    let zones: Vec<&str> = plan.schedulers.iter().map(|s| s.zone.as_str()).collect();
    planning::by_shares(&zones, &plan.shares)
}

pub struct Coordinator {
    plan: Plan,
    mode: Mode,
    stages: Vec<Vec<usize>>,
    members: Vec<Member>,
    record: Record,
    rollout: Rollout,
    /// The run's identity in leases and fences.
    id: String,
    number: u64,
    began: Instant,
    renewed: Option<Instant>,
    /// Names of workloads, in the order of their first appearance.
    workloads: Vec<String>,
    /// The state that was reported last.
    reported: State,
    log_format: LogFormat,
}

impl Coordinator {
    /// Acquires the record, a lease of each scheduler that answers, and the fences of all configuration
    /// files.
    pub fn begin(plan: Plan, mode: Mode, log_format: LogFormat) -> Result<Self, CommandError> {
        let not_started = |lines| CommandError { code: 1, lines };
        let single = |why: String| not_started(vec![why]);
        let (mut record, history) = Record::open(&plan.record).map_err(single)?;
        let history = history.filter(|history| mode != Mode::Run || !history.is_settled());
        // The start time distinguishes runs of the same name.
        let new_id = || format!("{}.{:x}", plan.name, record::unix_ms());
        let id = history.as_ref().map_or_else(new_id, |history| history.id.clone());
        let (members, number) = match (&history, mode) {
            (Some(history), Mode::Run) => {
                let why =
                    format!("run {} was interrupted: `resume` continues it, `undo` undoes it", history.run);
                return Err(single(why));
            }
            (None, Mode::Undo | Mode::Resume) => return Err(single("no run was started here".into())),
            (Some(history), Mode::Resume) if history.is_settled() => {
                return Err(single(format!("run {} has ended; `undo` undoes it", history.run)));
            }
            (None, Mode::Run) => {
                let members = load_members(&plan).map_err(not_started)?;
                let number = check_ready(&plan, &members).map_err(not_started)? + 1;
                (members, number)
            }
            (Some(history), _) => Self::recorded(&plan, &record, history).map_err(single)?,
        };
        // Leases come before the file fences, so that this run cannot take the files from one in progress.
        let leased = map_parallel(&members, |member| remote::lease(&member.scheduler, &id, number));
        let held = leased.into_iter().zip(&members).filter_map(|(reply, member)| match reply {
            Reply::Superseded(why) | Reply::Refused(why) => Some(format!("{}: {why}", member.scheduler.name)),
            // A new run needs every scheduler; a resumed one does what it can.
            Reply::NoAnswer(why) if mode == Mode::Run => Some(format!("{}: {why}", member.scheduler.name)),
            Reply::Done | Reply::NoAnswer(_) => None,
        });
        let held: Vec<String> = held.collect();
        // Guards against a deadlock of two runs that each hold some of the leases: a run that does not get
        // all releases those that it got.
        let give_up = |lines| {
            map_parallel(&members, |member| remote::release(&member.scheduler, &id, number));
            not_started(lines)
        };
        if !held.is_empty() {
            return Err(give_up(held));
        }
        for member in &members {
            let file = ConfigFile { path: &member.scheduler.configuration, run: &id, number };
            file.fence().map_err(|why| give_up(vec![why.text().into()]))?;
        }
        let stages = stages(&plan);
        let machine = tindock_rollout::Plan {
            stages: stages.clone(),
            min_watch: plan.watch,
            max_watch: plan.max_watch,
            worse_by: plan.worse_by,
            error: plan.false_stop_rate,
            change_timeout: plan.change_timeout,
            undo_timeout: plan.undo_timeout,
            replaces_process: matches!(plan.change, Change::Program(_)),
        };
        let zero = Duration::ZERO;
        let written = match &history {
            None => Self::write_start(&mut record, &plan, &id, number, &members),
            Some(_) => record.write(Step::Taken { number }),
        };
        written.map_err(single)?;
        let rollout = match history {
            None => Rollout::new(machine, zero),
            Some(history) => {
                let named = |who: &usize| history.changed.contains(&plan.schedulers[*who].name);
                let changed: Vec<usize> = (0..members.len()).filter(named).collect();
                match (mode, history.undo_reason.is_some(), history.stage) {
                    (Mode::Undo, ..) | (_, true, _) => {
                        Rollout::undoing(machine, &changed, Reason::StoppedByOperator, zero)
                    }
                    (_, false, Some(stage)) => Rollout::resumed(machine, stage, &changed, zero),
                    (_, false, None) => Rollout::new(machine, zero),
                }
            }
        };
        let (began, reported) = (Instant::now(), State::Planned);
        let workloads = Vec::new();
        Ok(Coordinator {
            plan,
            mode,
            stages,
            members,
            record,
            rollout,
            id,
            number,
            began,
            renewed: Some(began),
            workloads,
            reported,
            log_format,
        })
    }

    /// The members as recorded, and the number to continue with.
    fn recorded(plan: &Plan, record: &Record, history: &History) -> Result<(Vec<Member>, u64), String> {
        let mut members = Vec::new();
        for scheduler in &plan.schedulers {
            let recorded = history.members.iter().find(|recorded| recorded.name == scheduler.name);
            let recorded = recorded.ok_or_else(|| {
                format!("the record of run {} has no scheduler {}", history.run, scheduler.name)
            })?;
            let member = match &plan.change {
                Change::Settings(_) => {
                    let (old, new) = (
                        record.read_text(&scheduler.name, "old")?,
                        record.read_text(&scheduler.name, "new")?,
                    );
                    Member::new(scheduler.clone(), old, new)
                }
                Change::Program(_) => {
                    Member::for_program(scheduler.clone(), recorded.old.clone(), recorded.new.clone())
                }
            };
            if member.digests != (recorded.old.clone(), recorded.new.clone()) {
                return Err(format!(
                    "the record's texts for {} do not match the digests in its log",
                    scheduler.name
                ));
            }
            members.push(member);
        }
        if history.run != plan.name || history.members.len() != members.len() {
            return Err(format!(
                "the record is of run {} with {} schedulers",
                history.run,
                history.members.len()
            ));
        }
        let held = map_parallel(&members, |member| {
            let number = files::holder(&member.scheduler.configuration).map_or(0, |(number, _)| number);
            let Ok((at, keeper)) = remote::management_address(&member.scheduler) else { return number };
            let fence = remote::info(at).map_or(0, |info| info.fence);
            number.max(fence).max(keeper.map_or(0, |keeper| keeper.fence))
        });
        // The run's own numbers count too: this fences off a process that worked on it before.
        let largest = held.into_iter().max().unwrap_or(0).max(history.number);
        Ok((members, largest + 1))
    }

    fn write_start(
        record: &mut Record,
        plan: &Plan,
        id: &str,
        number: u64,
        members: &[Member],
    ) -> Result<(), String> {
        record.start_new_log(number)?;
        let mut digests = Vec::new();
        for member in members {
            let name = member.scheduler.name.clone();
            if matches!(plan.change, Change::Settings(_)) {
                record.save_text(&name, "old", &member.old)?;
                record.save_text(&name, "new", &member.new)?;
            }
            let (old, new) = member.digests.clone();
            digests.push(MemberDigests { name, old, new });
        }
        record.write_begun(&plan.name, id, number, digests)
    }

    /// Runs to the end and prints a line per stage.
    pub fn run(mut self) -> Result<String, CommandError> {
        if *self.rollout.state() == State::Planned {
            self.print(format!("watching {} unchanged schedulers first", self.members.len()));
        }
        loop {
            let cycle_start = Instant::now();
            self.poll();
            if self.record.stop_requested() {
                self.rollout.stop(Reason::StoppedByOperator, self.now());
            }
            // A step that cannot be recorded is not carried out, and earlier steps stay recorded: exit 3,
            // `resume` continues.
            self.act().map_err(|why| self.interrupted(why))?;
            if self.rollout.is_over() {
                // The last status shows the final state of the schedulers.
                self.poll();
            }
            self.record.write_status(&self.status());
            if self.rollout.is_over() {
                return self.finish();
            }
            std::thread::sleep(POLL_INTERVAL.saturating_sub(cycle_start.elapsed()));
        }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn poll(&mut self) {
        let renew = self.renewed.is_none_or(|at| at.elapsed() >= LEASE_RENEWAL);
        let (run, number) = (&self.id, self.number);
        let results = map_parallel(&self.members, |member| {
            let reply = renew.then(|| remote::lease(&member.scheduler, run, number));
            (remote::snapshot(&member.scheduler), reply)
        });
        if renew {
            self.renewed = Some(Instant::now());
        }
        let changed = self.rollout.changed();
        for (who, (snapshot, reply)) in results.into_iter().enumerate() {
            if let Some(Reply::Superseded(why)) = reply {
                self.rollout.supersede(why);
                return;
            }
            let snapshot = snapshot.ok();
            let seen = snapshot
                .as_ref()
                .and_then(|snapshot| self.observation(who, snapshot, changed.contains(&who)));
            self.rollout.observe(who, seen, self.now());
            // The keeper's reply to the command only confirmed the start of the upgrade; this is its outcome.
            let failed = snapshot.as_ref().and_then(|snapshot| snapshot.keeper_entry.as_ref()?.failed());
            if let Some(why) = failed.filter(|_| changed.contains(&who)) {
                self.rollout.record_outcome(Order::Change(who), Outcome::Refused(why.into()), self.now());
            }
            self.members[who].snapshot = snapshot;
        }
    }

    fn observation(&mut self, who: usize, snapshot: &Snapshot, changed: bool) -> Option<Observation> {
        for name in snapshot.totals.keys() {
            if !self.workloads.contains(name) {
                self.workloads.push(name.clone());
            }
        }
        let total = |name: &String| snapshot.totals.get(name).copied().unwrap_or_else(TaskTotals::default);
        Some(Observation {
            settings: self.members[who].version(&self.plan.change, &snapshot.info, changed)?,
            ready: snapshot.info.ready,
            process: snapshot.info.began_ms,
            totals: self.workloads.iter().map(total).collect(),
        })
    }

    /// Carries out the orders that are due now; each step is recorded before it.
    fn act(&mut self) -> Result<(), String> {
        loop {
            let mut orders = Vec::new();
            while let Some(order) = self.rollout.next_order(self.now()) {
                orders.push(order);
            }
            self.report_state()?;
            if orders.is_empty() {
                return Ok(());
            }
            for order in &orders {
                self.record.write(match order {
                    Order::Change(who) => Step::Change { who: self.name(*who) },
                    Order::Undo(who) => Step::Undo { who: self.name(*who) },
                })?;
            }
            let outcomes = map_parallel(&orders, |order| self.carry_out(*order));
            for (order, outcome) in orders.into_iter().zip(outcomes) {
                let outcome = match outcome {
                    Ok(outcome) => outcome,
                    Err(why) => {
                        self.rollout.supersede(why);
                        return self.report_state();
                    }
                };
                let text = match &outcome {
                    Outcome::Done => "done".into(),
                    Outcome::Refused(why) => format!("refused: {why}"),
                    Outcome::Unknown(why) => format!("unknown: {why}"),
                };
                self.record.write(match order {
                    Order::Change(who) => Step::Changed { who: self.name(who), outcome: text },
                    Order::Undo(who) => Step::Undone { who: self.name(who), outcome: text },
                })?;
                self.rollout.record_outcome(order, outcome, self.now());
            }
        }
    }

    /// An error means that another run holds the scheduler.
    fn carry_out(&self, order: Order) -> Result<Outcome, String> {
        match &self.plan.change {
            Change::Settings(_) => self.apply_settings(order),
            Change::Program(path) => self.apply_program(order, path),
        }
    }

    /// Commands the keeper to upgrade. A change counts as done when it has started, polling shows its
    /// outcome; an undo counts as done once the old program serves.
    fn apply_program(&self, order: Order, path: &Path) -> Result<Outcome, String> {
        let (Order::Change(who) | Order::Undo(who)) = order;
        let Member { scheduler, digests: (old, new), .. } = &self.members[who];
        let absolute = std::path::absolute(path).unwrap_or_else(|_| PathBuf::from(path));
        let (digest, path) = match order {
            Order::Change(_) => (new, Some(absolute.as_path())),
            Order::Undo(_) => (old, None),
        };
        match remote::start_upgrade(scheduler, &self.id, self.number, digest, path) {
            Reply::Refused(why) => return Ok(Outcome::Refused(why)),
            Reply::Superseded(why) => return Err(why),
            Reply::NoAnswer(why) => return Ok(Outcome::Unknown(why)),
            Reply::Done => {}
        }
        let serves = || {
            let (at, _) = remote::management_address(scheduler)?;
            let info = remote::info(at)?;
            Ok(info.ready && info.program.as_ref() == Some(digest))
        };
        Ok(match (order, serves()) {
            (Order::Change(_), _) | (_, Ok(true)) => Outcome::Done,
            (Order::Undo(_), Ok(false)) => Outcome::Unknown("the old program does not serve yet".into()),
            (Order::Undo(_), Err::<_, String>(why)) => Outcome::Unknown(why),
        })
    }

    /// Replaces the file, then commands the scheduler to reload it.
    fn apply_settings(&self, order: Order) -> Result<Outcome, String> {
        let (Order::Change(who) | Order::Undo(who)) = order;
        let member = &self.members[who];
        let (from, to, text) = match order {
            Order::Change(_) => (&member.digests.0, &member.digests.1, &member.new),
            Order::Undo(_) => (&member.digests.1, &member.digests.0, &member.old),
        };
        let file = ConfigFile { path: &member.scheduler.configuration, run: &self.id, number: self.number };
        match file.swap(from, text) {
            Ok(()) => {}
            Err(FileError::Superseded(why)) => return Err(why),
            Err(e) => return Ok(Outcome::Refused(e.text().into())),
        }
        match remote::reread(&member.scheduler, &self.id, self.number, to) {
            Reply::Done => Ok(Outcome::Done),
            Reply::Refused(why) => Ok(Outcome::Refused(why)),
            Reply::Superseded(why) => Err(why),
            Reply::NoAnswer(why) => Ok(Outcome::Unknown(why)),
        }
    }

    fn name(&self, who: usize) -> String {
        self.plan.schedulers[who].name.clone()
    }

    fn names(&self, of: &[usize]) -> String {
        of.iter().map(|&who| self.name(who)).collect::<Vec<_>>().join(", ")
    }

    fn why(&self, reason: &Reason) -> String {
        let names: Vec<String> = (0..self.members.len()).map(|who| self.name(who)).collect();
        reason.text(&names, &self.workloads)
    }

    /// Prints a line and records a step for each change of state.
    fn report_state(&mut self) -> Result<(), String> {
        let state = self.rollout.state().clone();
        if state == self.reported {
            return Ok(());
        }
        let before = std::mem::replace(&mut self.reported, state.clone());
        let of = self.stages.len();
        match &state {
            State::Planned => {}
            State::Running { stage } => {
                self.record.write(Step::Stage { stage: *stage })?;
                self.print(format!("stage {} of {of}: {}", stage + 1, self.names(&self.stages[*stage])));
            }
            State::Stopping(why) => {
                let why = self.why(why);
                self.record.write(Step::Turn { why: why.clone() })?;
                let stage = match before {
                    State::Running { stage } => format!("stage {} of {of}: ", stage + 1),
                    _ => String::new(),
                };
                self.print(format!("{stage}stopped, {why}; undoing {}", self.names(&self.rollout.changed())));
            }
            State::Undone(_) | State::Done | State::Stuck(..) => {
                self.record.write(Step::Ended { state: self.state_name().into() })?;
            }
        }
        Ok(())
    }

    fn print(&self, text: String) {
        let text = match self.log_format {
            LogFormat::Text => format!("{:6.1} s  {text}", self.now().as_secs_f64()),
            LogFormat::Json => {
                let status = self.status();
                json!({"at_s": self.now().as_secs_f64(), "says": text, "status": status}).to_string()
            }
        };
        // The run continues when its output is closed.
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    fn state_name(&self) -> &'static str {
        match self.rollout.state() {
            State::Planned => "planned",
            State::Running { .. } => "running",
            State::Stopping(_) => "stopping",
            State::Undone(_) => "undone",
            State::Done => "done",
            State::Stuck(..) => record::STUCK,
        }
    }

    fn status(&self) -> Value {
        let changed = self.rollout.changed();
        let (stage, why) = match self.rollout.state() {
            State::Running { stage } => (Some(stage + 1), None),
            State::Stopping(why) | State::Undone(why) | State::Stuck(why, _) => (None, Some(self.why(why))),
            State::Planned | State::Done => (None, None),
        };
        let schedulers = self.members.iter().enumerate().map(|(who, member)| {
            let seen = member.snapshot.as_ref().filter(|_| self.rollout.last_observation(who).is_some());
            let version = seen.and_then(|snapshot| {
                member.version(&self.plan.change, &snapshot.info, changed.contains(&who))
            });
            let state = match version {
                None => "silent",
                Some(SettingsVersion::Old) => "old",
                Some(SettingsVersion::New) => "new",
                Some(SettingsVersion::Other) => "by hand",
            };
            json!({
                "name": member.scheduler.name,
                "settings": seen.map(|snapshot| snapshot.info.settings.clone()),
                "program": seen.and_then(|snapshot| snapshot.info.program.clone()),
                "state": state,
                "trouble": self.rollout.last_error(who),
            })
        });
        json!({
            "run": self.plan.name,
            "number": self.number,
            "state": self.state_name(),
            "stage": stage,
            "stages": self.stages.len(),
            "why": why,
            "harm": self.rollout.harm().map(|harm| json!({"share": harm.share, "spread": harm.std_dev, "tasks": harm.tasks})),
            "schedulers": schedulers.collect::<Vec<_>>(),
        })
    }

    fn interrupted(&self, why: String) -> CommandError {
        let names = self.names(&self.rollout.changed());
        CommandError {
            code: 3,
            lines: vec![format!("interrupted, {why}; may be changed: {names}; `resume` continues")],
        }
    }

    fn finish(self) -> Result<String, CommandError> {
        map_parallel(&self.members, |member| {
            ConfigFile { path: &member.scheduler.configuration, run: &self.id, number: self.number }
                .remove_backup();
            remote::release(&member.scheduler, &self.id, self.number);
        });
        let run = &self.plan.name;
        match self.rollout.state() {
            State::Undone(why) if self.mode == Mode::Undo => {
                self.print(format!("undone, {}", self.why(why)));
                Ok(String::new())
            }
            State::Undone(why) => {
                let why = self.why(why);
                Err(CommandError::not_started(format!("{run}: no change remains: {why}")))
            }
            State::Stuck(why, changed) => {
                let mut lines =
                    vec![format!("{run}: {}; not undone: {}", self.why(why), self.names(changed))];
                let errors = changed.iter().filter_map(|&who| Some((who, self.rollout.last_error(who)?)));
                lines.extend(errors.map(|(who, why)| format!("{}: {why}", self.name(who))));
                Err(CommandError { code: 3, lines })
            }
            _ => {
                self.print(format!("done: the change is in force at {} schedulers", self.members.len()));
                Ok(String::new())
            }
        }
    }
}
