//! Carries out what the machine decides: looks at all schedulers at once, twice a second, and gives its orders. Writes
//! down what it will do before it does it. Schedulers go on as they are while it is dead.

use super::files::{self, Hand};
use super::looking::{self, Look, Said, Standing};
use super::record::{self, Kept, Record, Step, Story};
use super::Wrong;
use crate::berth::{self, Layers};
use crate::cli::LogFormat;
use crate::operators::calls::map_parallel;
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tindock_berth::plan::{Change, Plan, PlannedScheduler};
use tindock_berth::{digest, digest_of, merging};
use tindock_rollout::{
    planning, Observation, Order, Outcome, Reason, Rollout, SettingsVersion, State, TaskTotals,
};

const LOOK: Duration = Duration::from_millis(500);
/// Of a lease of fifteen seconds; renewed often enough that a few calls may be lost.
const RENEW: Duration = Duration::from_secs(3);
/// A scheduler reads its own program when it is first asked, in the background.
const TO_FIND_OUT: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Run,
    Undo,
    Resume,
}

/// One scheduler of the run.
struct Member {
    is: PlannedScheduler,
    /// The texts of its file, where those change.
    old: String,
    new: String,
    /// Digests of what changes, before and after.
    digests: (String, String),
    look: Option<Look>,
}

impl Member {
    fn new(is: PlannedScheduler, old: String, new: String) -> Self {
        let digests = (digest(&old), digest(&new));
        Member { is, old, new, digests, look: None }
    }

    fn of_programs(is: PlannedScheduler, old: String, new: String) -> Self {
        Member { is, old: String::new(), new: String::new(), digests: (old, new), look: None }
    }

    /// Which of the two it runs with; none where it has not found out yet. What is the same before and after counts by
    /// what was ordered.
    fn stand(&self, what: &Change, standing: &Standing, changed: bool) -> Option<SettingsVersion> {
        let is = match what {
            Change::Settings(_) => &standing.settings,
            Change::Program(_) => standing.program.as_ref()?,
        };
        let (old, new) = &self.digests;
        Some(match (is == old, is == new) {
            (true, true) if changed => SettingsVersion::New,
            (true, _) => SettingsVersion::Old,
            (_, true) => SettingsVersion::New,
            _ => SettingsVersion::Other,
        })
    }
}

/// The schedulers' files with the new settings in them, each read as the scheduler will read it.
fn grafted(plan: &Plan, settings: &Path) -> Result<Vec<Member>, Vec<String>> {
    let read =
        |path: &Path| std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())]);
    let next = read(settings)?;
    let (mut members, mut wrong) = (Vec::new(), Vec::new());
    for is in &plan.schedulers {
        let path = &is.configuration;
        let made = read(path).and_then(|old| {
            let new = merging::merge_settings(path, &old, settings, &next).map_err(|why| vec![why])?;
            berth::parse(path, &new, &Layers::default())?;
            Ok((old, new))
        });
        match made {
            Ok((old, new)) => members.push(Member::new(is.clone(), old, new)),
            Err(lines) => wrong.extend(lines),
        }
    }
    if wrong.is_empty() {
        Ok(members)
    } else {
        Err(wrong)
    }
}

/// The schedulers with the program that each runs now, and the one that it is to run.
fn programs(plan: &Plan, program: &Path) -> Result<Vec<Member>, Vec<String>> {
    let new = std::fs::File::open(program).and_then(digest_of);
    let new = new.map_err(|e| vec![format!("{}: {e}", program.display())])?;
    let found = map_parallel(&plan.schedulers, |is| {
        let began = Instant::now();
        loop {
            let standing = looking::way(is).and_then(|(at, _)| looking::standing(at));
            match standing.map_err(|why| format!("{}: {why}", is.name))?.program {
                Some(old) => return Ok(Member::of_programs(is.clone(), old, new.clone())),
                None if began.elapsed() < TO_FIND_OUT => std::thread::sleep(LOOK / 2),
                None => return Err(format!("{}: does not know its own program", is.name)),
            }
        }
    });
    let (members, wrong): (Vec<_>, Vec<_>) = found.into_iter().partition(Result::is_ok);
    match wrong.is_empty() {
        true => Ok(members.into_iter().flatten().collect()),
        false => Err(wrong.into_iter().filter_map(Result::err).collect()),
    }
}

/// Whether a run could begin: its files are whole, all schedulers are ready with what the files say. The largest number
/// that any run had there.
fn ready(plan: &Plan, members: &[Member]) -> Result<u64, Vec<String>> {
    let found = map_parallel(members, |member| {
        let name = &member.is.name;
        let (at, kept) = looking::way(&member.is).map_err(|why| format!("{name}: {why}"))?;
        let standing = looking::standing(at).map_err(|why| format!("{name}: {why}"))?;
        if !standing.ready {
            return Err(format!("{name}: not ready"));
        }
        if matches!(plan.change, Change::Settings(_)) && standing.settings != member.digests.0 {
            let file = member.is.configuration.display();
            return Err(format!("{name}: runs with other settings than {file} says; SIGHUP first"));
        }
        let (number, _) = files::holder(&member.is.configuration).map_err(|why| why.text().to_string())?;
        Ok(number.max(standing.fence).max(kept.map_or(0, |kept| kept.fence)))
    });
    let (mut most, mut wrong) = (0, Vec::new());
    for one in found {
        match one {
            Ok(number) => most = most.max(number),
            Err(why) => wrong.push(why),
        }
    }
    let same = |member: &Member| member.digests.0 == member.digests.1;
    if members.iter().all(same) {
        wrong.push("nothing to change: every scheduler has it".into());
    }
    if wrong.is_empty() {
        Ok(most)
    } else {
        Err(wrong)
    }
}

/// The schedulers with what each has and is to have.
fn changed(plan: &Plan) -> Result<Vec<Member>, Vec<String>> {
    match &plan.change {
        Change::Settings(path) => grafted(plan, path),
        Change::Program(path) => programs(plan, path),
    }
}

pub fn check(plan: &Plan) -> Result<String, Wrong> {
    let not_yet = |lines| Wrong { code: 1, lines };
    let members = changed(plan).map_err(not_yet)?;
    ready(plan, &members).map_err(not_yet)?;
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
    how: How,
    stages: Vec<Vec<usize>>,
    members: Vec<Member>,
    record: Record,
    rolling: Rollout,
    /// By which schedulers and files know it.
    id: String,
    number: u64,
    began: Instant,
    renewed: Option<Instant>,
    /// Names of workloads, in the order in which they were first seen.
    workloads: Vec<String>,
    said: State,
    form: LogFormat,
}

impl Coordinator {
    /// Takes the fleet: its record, the files of all schedulers, and a lease at each that answers.
    pub fn begin(plan: Plan, how: How, form: LogFormat) -> Result<Self, Wrong> {
        let not_begun = |lines| Wrong { code: 1, lines };
        let one = |why: String| not_begun(vec![why]);
        let (mut record, story) = Record::open(&plan.record).map_err(one)?;
        let story = story.filter(|story| how != How::Run || !story.is_settled());
        // Guards against two runs of one name: by its moment, each is another one.
        let fresh = || format!("{}.{:x}", plan.name, record::unix_ms());
        let id = story.as_ref().map_or_else(fresh, |story| story.id.clone());
        let (members, number) = match (&story, how) {
            (Some(story), How::Run) => {
                let why = format!(
                    "run {} was left in the midst: `resume` goes on with it, `undo` undoes it",
                    story.run
                );
                return Err(one(why));
            }
            (None, How::Undo | How::Resume) => return Err(one("no run was begun here".into())),
            (Some(story), How::Resume) if story.is_settled() => {
                return Err(one(format!("run {} has ended; `undo` undoes it", story.run)));
            }
            (None, How::Run) => {
                let members = changed(&plan).map_err(not_begun)?;
                let number = ready(&plan, &members).map_err(not_begun)? + 1;
                (members, number)
            }
            (Some(story), _) => Self::recorded(&plan, &record, story).map_err(one)?,
        };
        // Guards against a run that takes the files from one that works there: it asks the schedulers first.
        let leased = map_parallel(&members, |member| looking::lease(&member.is, &id, number));
        let held = leased.into_iter().zip(&members).filter_map(|(said, member)| match said {
            Said::Outrun(why) | Said::Refused(why) => Some(format!("{}: {why}", member.is.name)),
            // A run begins with all; one that goes on does what it can.
            Said::Nothing(why) if how == How::Run => Some(format!("{}: {why}", member.is.name)),
            Said::Done | Said::Nothing(_) => None,
        });
        let held: Vec<String> = held.collect();
        // Guards against runs that hold one another up for ever, each with a part of the fleet: who does not get all
        // lets go of what it got.
        let let_go = |lines| {
            map_parallel(&members, |member| looking::release(&member.is, &id, number));
            not_begun(lines)
        };
        if !held.is_empty() {
            return Err(let_go(held));
        }
        for member in &members {
            let hand = Hand { path: &member.is.configuration, run: &id, number };
            hand.fence().map_err(|why| let_go(vec![why.text().into()]))?;
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
        let written = match &story {
            None => Self::write_down(&mut record, &plan, &id, number, &members),
            Some(_) => record.write(Step::Taken { number }),
        };
        written.map_err(one)?;
        let rolling = match story {
            None => Rollout::new(machine, zero),
            Some(story) => {
                let named = |who: &usize| story.changed.contains(&plan.schedulers[*who].name);
                let changed: Vec<usize> = (0..members.len()).filter(named).collect();
                match (how, story.turned.is_some(), story.stage) {
                    (How::Undo, ..) | (_, true, _) => {
                        Rollout::undoing(machine, &changed, Reason::StoppedByOperator, zero)
                    }
                    (_, false, Some(stage)) => Rollout::resumed(machine, stage, &changed, zero),
                    (_, false, None) => Rollout::new(machine, zero),
                }
            }
        };
        let (began, said) = (Instant::now(), State::Planned);
        let workloads = Vec::new();
        Ok(Coordinator {
            plan,
            how,
            stages,
            members,
            record,
            rolling,
            id,
            number,
            began,
            renewed: Some(began),
            workloads,
            said,
            form,
        })
    }

    /// The schedulers as a record has them, and the number to go on with.
    fn recorded(plan: &Plan, record: &Record, story: &Story) -> Result<(Vec<Member>, u64), String> {
        let mut members = Vec::new();
        for is in &plan.schedulers {
            let kept = story.kept.iter().find(|kept| kept.name == is.name);
            let kept =
                kept.ok_or_else(|| format!("the record of run {} has no scheduler {}", story.run, is.name))?;
            let member = match &plan.change {
                Change::Settings(_) => {
                    let (old, new) = (record.kept(&is.name, "old")?, record.kept(&is.name, "new")?);
                    Member::new(is.clone(), old, new)
                }
                Change::Program(_) => Member::of_programs(is.clone(), kept.old.clone(), kept.new.clone()),
            };
            if member.digests != (kept.old.clone(), kept.new.clone()) {
                return Err(format!("the record's texts for {} are not those it was begun with", is.name));
            }
            members.push(member);
        }
        if story.run != plan.name || story.kept.len() != members.len() {
            return Err(format!("the record is of run {} over {} schedulers", story.run, story.kept.len()));
        }
        let held = map_parallel(&members, |member| {
            let number = files::holder(&member.is.configuration).map_or(0, |(number, _)| number);
            let Ok((at, kept)) = looking::way(&member.is) else { return number };
            let told = looking::standing(at).map_or(0, |told| told.fence);
            number.max(told).max(kept.map_or(0, |kept| kept.fence))
        });
        // Those of this run itself count too: whoever worked on it before has none any more.
        let most = held.into_iter().max().unwrap_or(0).max(story.number);
        Ok((members, most + 1))
    }

    fn write_down(
        record: &mut Record,
        plan: &Plan,
        id: &str,
        number: u64,
        members: &[Member],
    ) -> Result<(), String> {
        record.anew(number)?;
        let mut kept = Vec::new();
        for member in members {
            let name = member.is.name.clone();
            if matches!(plan.change, Change::Settings(_)) {
                record.keep(&name, "old", &member.old)?;
                record.keep(&name, "new", &member.new)?;
            }
            let (old, new) = member.digests.clone();
            kept.push(Kept { name, old, new });
        }
        record.begun(&plan.name, id, number, kept)
    }

    /// Runs to the end, with a line a stage.
    pub fn run(mut self) -> Result<String, Wrong> {
        if *self.rolling.state() == State::Planned {
            self.line(format!("watching {} unchanged schedulers first", self.members.len()));
        }
        loop {
            let turn = Instant::now();
            self.look();
            if self.record.is_told_to_stop() {
                self.rolling.stop(Reason::StoppedByOperator, self.now());
            }
            // What cannot be written down is not done, and what was done stays written: exit 3, `resume` goes on.
            self.act().map_err(|why| self.left(why))?;
            if self.rolling.is_over() {
                // What is told last is what is there last.
                self.look();
            }
            self.record.tell(&self.status());
            if self.rolling.is_over() {
                return self.end();
            }
            std::thread::sleep(LOOK.saturating_sub(turn.elapsed()));
        }
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn look(&mut self) {
        let renews = self.renewed.is_none_or(|at| at.elapsed() >= RENEW);
        let (run, number) = (&self.id, self.number);
        let looks = map_parallel(&self.members, |member| {
            let said = renews.then(|| looking::lease(&member.is, run, number));
            (looking::look(&member.is), said)
        });
        if renews {
            self.renewed = Some(Instant::now());
        }
        let changed = self.rolling.changed();
        for (who, (look, said)) in looks.into_iter().enumerate() {
            if let Some(Said::Outrun(why)) = said {
                self.rolling.supersede(why);
                return;
            }
            let look = look.ok();
            let seen = look.as_ref().and_then(|look| self.seen(who, look, changed.contains(&who)));
            self.rolling.observe(who, seen, self.now());
            // A keeper's yes is a beginning; what became of it stands beside.
            let failed = look.as_ref().and_then(|look| look.kept.as_ref()?.failed());
            if let Some(why) = failed.filter(|_| changed.contains(&who)) {
                self.rolling.record_outcome(Order::Change(who), Outcome::Refused(why.into()), self.now());
            }
            self.members[who].look = look;
        }
    }

    fn seen(&mut self, who: usize, look: &Look, changed: bool) -> Option<Observation> {
        for name in look.totals.keys() {
            if !self.workloads.contains(name) {
                self.workloads.push(name.clone());
            }
        }
        let total = |name: &String| look.totals.get(name).copied().unwrap_or_else(TaskTotals::default);
        Some(Observation {
            settings: self.members[who].stand(&self.plan.change, &look.standing, changed)?,
            ready: look.standing.ready,
            process: look.standing.began_ms,
            totals: self.workloads.iter().map(total).collect(),
        })
    }

    /// Carries out what is decided now; each step is written down before it is done.
    fn act(&mut self) -> Result<(), String> {
        loop {
            let mut orders = Vec::new();
            while let Some(order) = self.rolling.next_order(self.now()) {
                orders.push(order);
            }
            self.tell()?;
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
                    Err(outrun) => {
                        self.rolling.supersede(outrun);
                        return self.tell();
                    }
                };
                let said = match &outcome {
                    Outcome::Done => "done".into(),
                    Outcome::Refused(why) => format!("refused: {why}"),
                    Outcome::Unknown(why) => format!("unknown: {why}"),
                };
                self.record.write(match order {
                    Order::Change(who) => Step::Changed { who: self.name(who), outcome: said },
                    Order::Undo(who) => Step::Undone { who: self.name(who), outcome: said },
                })?;
                self.rolling.record_outcome(order, outcome, self.now());
            }
        }
    }

    /// An error: another run has the scheduler.
    fn carry_out(&self, order: Order) -> Result<Outcome, String> {
        match &self.plan.change {
            Change::Settings(_) => self.settings(order),
            Change::Program(path) => self.program(order, path),
        }
    }

    /// The word to the keeper. A change has begun then, and is seen by the looks; it is undone once the old one serves.
    fn program(&self, order: Order, path: &Path) -> Result<Outcome, String> {
        let (Order::Change(who) | Order::Undo(who)) = order;
        let Member { is, digests: (old, new), .. } = &self.members[who];
        let whole = std::path::absolute(path).unwrap_or_else(|_| PathBuf::from(path));
        let (digest, path) = match order {
            Order::Change(_) => (new, Some(whole.as_path())),
            Order::Undo(_) => (old, None),
        };
        match looking::bring(is, &self.id, self.number, digest, path) {
            Said::Refused(why) => return Ok(Outcome::Refused(why)),
            Said::Outrun(why) => return Err(why),
            Said::Nothing(why) => return Ok(Outcome::Unknown(why)),
            Said::Done => {}
        }
        let serves = || {
            let (at, _) = looking::way(is)?;
            let standing = looking::standing(at)?;
            Ok(standing.ready && standing.program.as_ref() == Some(digest))
        };
        Ok(match (order, serves()) {
            (Order::Change(_), _) | (_, Ok(true)) => Outcome::Done,
            (Order::Undo(_), Ok(false)) => Outcome::Unknown("on its way back".into()),
            (Order::Undo(_), Err::<_, String>(why)) => Outcome::Unknown(why),
        })
    }

    /// The file, then the word to read it.
    fn settings(&self, order: Order) -> Result<Outcome, String> {
        let (Order::Change(who) | Order::Undo(who)) = order;
        let member = &self.members[who];
        let (from, to, text) = match order {
            Order::Change(_) => (&member.digests.0, &member.digests.1, &member.new),
            Order::Undo(_) => (&member.digests.1, &member.digests.0, &member.old),
        };
        let hand = Hand { path: &member.is.configuration, run: &self.id, number: self.number };
        match hand.swap(from, text) {
            Ok(()) => {}
            Err(files::Wrong::Outrun(why)) => return Err(why),
            Err(wrong) => return Ok(Outcome::Refused(wrong.text().into())),
        }
        match looking::reread(&member.is, &self.id, self.number, to) {
            Said::Done => Ok(Outcome::Done),
            Said::Refused(why) => Ok(Outcome::Refused(why)),
            Said::Outrun(why) => Err(why),
            Said::Nothing(why) => Ok(Outcome::Unknown(why)),
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

    /// One line, and one step of the record, for each change of state.
    fn tell(&mut self) -> Result<(), String> {
        let state = self.rolling.state().clone();
        if state == self.said {
            return Ok(());
        }
        let before = std::mem::replace(&mut self.said, state.clone());
        let of = self.stages.len();
        match &state {
            State::Planned => {}
            State::Running { stage } => {
                self.record.write(Step::Stage { stage: *stage })?;
                self.line(format!("stage {} of {of}: {}", stage + 1, self.names(&self.stages[*stage])));
            }
            State::Stopping(why) => {
                let why = self.why(why);
                self.record.write(Step::Turn { why: why.clone() })?;
                let stage = match before {
                    State::Running { stage } => format!("stage {} of {of}: ", stage + 1),
                    _ => String::new(),
                };
                self.line(format!("{stage}stopped, {why}; undoing {}", self.names(&self.rolling.changed())));
            }
            State::Undone(_) | State::Done | State::Stuck(..) => {
                self.record.write(Step::Ended { state: self.word().into() })?;
            }
        }
        Ok(())
    }

    fn line(&self, text: String) {
        let text = match self.form {
            LogFormat::Text => format!("{:6.1} s  {text}", self.now().as_secs_f64()),
            LogFormat::Json => {
                let status = self.status();
                json!({"at_s": self.now().as_secs_f64(), "says": text, "status": status}).to_string()
            }
        };
        // A reader that went away wants no more of it; the run goes on.
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    fn word(&self) -> &'static str {
        match self.rolling.state() {
            State::Planned => "planned",
            State::Running { .. } => "running",
            State::Stopping(_) => "stopping",
            State::Undone(_) => "undone",
            State::Done => "done",
            State::Stuck(..) => record::STUCK,
        }
    }

    fn status(&self) -> Value {
        let changed = self.rolling.changed();
        let (stage, why) = match self.rolling.state() {
            State::Running { stage } => (Some(stage + 1), None),
            State::Stopping(why) | State::Undone(why) | State::Stuck(why, _) => (None, Some(self.why(why))),
            State::Planned | State::Done => (None, None),
        };
        let schedulers = self.members.iter().enumerate().map(|(who, member)| {
            let seen = member.look.as_ref().filter(|_| self.rolling.last_observation(who).is_some());
            let stand =
                seen.and_then(|look| member.stand(&self.plan.change, &look.standing, changed.contains(&who)));
            let state = match stand {
                None => "silent",
                Some(SettingsVersion::Old) => "old",
                Some(SettingsVersion::New) => "new",
                Some(SettingsVersion::Other) => "by hand",
            };
            json!({
                "name": member.is.name,
                "settings": seen.map(|look| look.standing.settings.clone()),
                "program": seen.and_then(|look| look.standing.program.clone()),
                "state": state,
                "trouble": self.rolling.last_error(who),
            })
        });
        json!({
            "run": self.plan.name,
            "number": self.number,
            "state": self.word(),
            "stage": stage,
            "stages": self.stages.len(),
            "why": why,
            "harm": self.rolling.harm().map(|harm| json!({"share": harm.share, "spread": harm.std_dev, "tasks": harm.tasks})),
            "schedulers": schedulers.collect::<Vec<_>>(),
        })
    }

    fn left(&self, why: String) -> Wrong {
        let names = self.names(&self.rolling.changed());
        Wrong {
            code: 3,
            lines: vec![format!("left in the midst, {why}; may be changed: {names}; `resume` goes on")],
        }
    }

    fn end(self) -> Result<String, Wrong> {
        map_parallel(&self.members, |member| {
            Hand { path: &member.is.configuration, run: &self.id, number: self.number }.tidy();
            looking::release(&member.is, &self.id, self.number);
        });
        let run = &self.plan.name;
        match self.rolling.state() {
            State::Undone(why) if self.how == How::Undo => {
                self.line(format!("undone, {}", self.why(why)));
                Ok(String::new())
            }
            State::Undone(why) => {
                let why = self.why(why);
                Err(Wrong::not_begun(format!("{run}: not changed, all as before: {why}")))
            }
            State::Stuck(why, left) => {
                let mut lines = vec![format!("{run}: {}; not undone: {}", self.why(why), self.names(left))];
                let trouble = left.iter().filter_map(|&who| Some((who, self.rolling.last_error(who)?)));
                lines.extend(trouble.map(|(who, why)| format!("{}: {why}", self.name(who))));
                Err(Wrong { code: 3, lines })
            }
            _ => {
                self.line(format!("done: {} schedulers have it in force", self.members.len()));
                Ok(String::new())
            }
        }
    }
}
