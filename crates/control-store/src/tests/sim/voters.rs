//! A voter is replaced, as planned or because it is gone, and another machine is lost at each step of the
//! replacement.
//!
//! A machine counts as lost while it is down, frozen or cut off, and for `SYNC_TIME` after its return or the
//! start of its successor. Within the tolerance, service must be restored; beyond it no violation may occur,
//! and service returns when the machines do.

use super::*;
use crate::{Message, VoterTable, VoterTables};

/// `sync_time_s` of the deployments.
const SYNC_TIME: Duration = Duration::from_secs(4);
/// Minimum and maximum time from SIGTERM until the process exits.
const MIN_EXIT_DELAY: Duration = Duration::from_millis(150);
const MAX_EXIT_DELAY: Duration = Duration::from_secs(3);
/// With another machine lost, operators must be served again within this time.
const SERVED_WITHIN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Departure {
    /// Lost permanently; an empty one starts elsewhere.
    Killed,
    /// The new one starts first; after `SYNC_TIME` the old one receives SIGTERM.
    Planned,
    /// As `Planned`, but the new one has already become an additional voter.
    PlannedLate,
    /// As `PlannedLate`, but the old one is killed.
    KilledLate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Moment {
    /// Before the table is proposed.
    Before,
    /// A member has accepted it.
    Accepted,
    /// It is known to be settled.
    Settled,
    /// The new voter is reading.
    Reading,
    /// The vote of the new member has just become active.
    Counting,
    /// `SYNC_TIME` has passed since the start of the new member.
    Synced,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Loss {
    Killed,
    DiskLost,
    CutOff,
    Frozen,
}

const DEPARTURES: [Departure; 4] =
    [Departure::Killed, Departure::Planned, Departure::PlannedLate, Departure::KilledLate];
const MOMENTS: [Moment; 6] =
    [Moment::Before, Moment::Accepted, Moment::Settled, Moment::Reading, Moment::Counting, Moment::Synced];
const LOSSES: [Loss; 4] = [Loss::Killed, Loss::DiskLost, Loss::CutOff, Loss::Frozen];

/// A replacement in progress: the two members and the times of the start and the departure.
struct Replacement {
    old: SocketAddr,
    new: SocketAddr,
    /// SIGTERM was sent, and the process still runs.
    leaving: Option<Duration>,
    new_since: Duration,
    departed: Duration,
    epoch: u64,
}

impl Sim {
    pub(super) fn store_at(&self, at: SocketAddr) -> Option<&ControlStore> {
        self.nodes.get(&at)?.store.as_ref()
    }

    pub(super) fn with_store<T>(
        &mut self,
        at: SocketAddr,
        act: impl FnOnce(&mut ControlStore, Duration) -> T,
    ) -> Option<T> {
        let now = self.now;
        let node = self.nodes.get_mut(&at)?;
        let result = act(node.store.as_mut()?, node.clock.read(now));
        self.drain_actions(at);
        Some(result)
    }

    fn epoch(&self) -> u64 {
        self.nodes
            .values()
            .filter_map(|node| node.store.as_ref())
            .map(|s| s.table_version().epoch)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn replace_newer_at(&mut self, at: SocketAddr) {
        self.revision += 1;
        let author = self.random_below(super::AUTHORS);
        self.replace_at(at, self.revision, author, false);
    }

    pub(super) fn show_at(&mut self, at: SocketAddr) {
        self.calls += 1;
        let call = self.calls;
        self.open.insert(
            call,
            Call { at, number: self.highest_acknowledged, digest: 0, show: true, sent_at: self.now },
        );
        self.with_store(at, |store, now| store.show(now, call));
    }

    /// Runs operators that query all members except the lost one until they are served and there is a lease
    /// holder. Returns how long that took.
    fn time_until_served(
        &mut self,
        lost: Option<SocketAddr>,
        replacement: &mut Replacement,
    ) -> Option<Duration> {
        let from = self.now;
        let done = (self.acknowledged, self.shown);
        let mut due = [Duration::ZERO; 2];
        while self.now < from + SERVED_WITHIN && self.violation.is_none() {
            let held = self.holder().is_some_and(|at| Some(at) != lost);
            if held && self.acknowledged > done.0 && self.shown > done.1 {
                return Some(self.now - from);
            }
            let up: Vec<SocketAddr> = (self.nodes.iter())
                .filter(|(at, node)| node.store.is_some() && !node.frozen && Some(**at) != lost)
                .map(|(at, _)| *at)
                .collect();
            for (kind, due) in due.iter_mut().enumerate() {
                if up.is_empty() || self.now < *due || (kind == 0 && self.acknowledged > done.0) {
                    continue;
                }
                *due = self.now + MS * 300;
                let at = up[self.random_below(up.len() as u64) as usize];
                if kind == 0 {
                    self.replace_newer_at(at);
                } else {
                    self.show_at(at);
                }
            }
            self.advance_time(replacement, MS * 20);
        }
        None
    }

    /// Advances time; a leaving process exits when it may, or at its deadline.
    fn advance_time(&mut self, replacement: &mut Replacement, span: Duration) {
        let end = self.now + span;
        while self.now < end && self.violation.is_none() {
            self.run((self.now + MS * 10).min(end));
            let Some(since) = replacement.leaving else { continue };
            let old = replacement.old;
            let may =
                self.store_at(old).is_none_or(|store| store.may_exit(self.nodes[&old].clock.read(self.now)));
            if (may && self.now >= since + MIN_EXIT_DELAY) || self.now >= since + MAX_EXIT_DELAY {
                self.stop(old);
                self.nodes.remove(&old);
                replacement.leaving = None;
                replacement.departed = self.now;
            }
        }
    }

    fn begin_replacement(&mut self, how: Departure, old: SocketAddr) -> Replacement {
        self.next_fresh_address += 1;
        let new = addr(self.next_fresh_address);
        let mut replacement = Replacement {
            old,
            new,
            leaving: None,
            new_since: self.now,
            departed: self.now,
            epoch: self.epoch(),
        };
        match how {
            Departure::Killed => {
                let delay = self.random_below(1500);
                self.stop(old);
                self.nodes.remove(&old);
                self.schedule(MS * delay as u32, Event::Start { at: new, initial: false });
                replacement.new_since += MS * delay as u32;
                return replacement;
            }
            Departure::Planned => {
                self.boot(new, false);
                let delay = 4000 + self.random_below(1500);
                self.run(self.now + MS * delay as u32);
            }
            Departure::PlannedLate | Departure::KilledLate => {
                self.boot(new, false);
                let delay = 11_000 + self.random_below(1500);
                self.run(self.now + MS * delay as u32);
            }
        }
        // A request, so that the old member may be the only other one that has the new configuration.
        if self.random_bool(0.5) {
            self.replace();
            let delay = self.random_below(60);
            self.run(self.now + MS * delay as u32);
        }
        replacement.departed = self.now;
        replacement.epoch = self.epoch();
        if how == Departure::KilledLate {
            self.stop(old);
            self.nodes.remove(&old);
        } else {
            self.with_store(old, |store, now| store.leave(now));
            replacement.leaving = Some(self.now);
            for call in self.open.values_mut().filter(|call| call.at == old) {
                call.sent_at += MAX_EXIT_DELAY;
            }
        }
        replacement
    }

    fn is_at(&self, moment: Moment, replacement: &Replacement) -> bool {
        let new = self.store_at(replacement.new);
        let stores = || self.nodes.values().filter_map(|node| node.store.as_ref());
        match moment {
            Moment::Before => true,
            Moment::Accepted => stores().any(|store| store.tables.as_ref().is_some_and(|t| t.next.is_some())),
            Moment::Settled => self.epoch() > replacement.epoch,
            Moment::Reading => new.is_some_and(|store| store.joining()),
            Moment::Counting => new.is_some_and(|store| store.is_voting()),
            Moment::Synced => self.now >= replacement.new_since + SYNC_TIME,
        }
    }

    fn lose(&mut self, how: Loss, at: SocketAddr) {
        match how {
            Loss::Killed | Loss::DiskLost => {
                self.stop(at);
                if let Some(node) = self.nodes.get_mut(&at).filter(|_| how == Loss::DiskLost) {
                    node.disk = DiskState::default();
                }
            }
            Loss::CutOff => {
                self.cut_side = [at].into();
                self.cut = true;
            }
            Loss::Frozen => {
                if let Some(node) = self.nodes.get_mut(&at) {
                    node.frozen = true;
                }
                for call in self.open.values_mut().filter(|call| call.at == at) {
                    call.sent_at += MS * 60_000; // The member does not run meanwhile.
                }
            }
        }
    }

    fn restore(&mut self, how: Loss, at: SocketAddr) {
        match how {
            Loss::Killed | Loss::DiskLost => {
                self.boot(at, false);
                self.drain_actions(at);
            }
            Loss::CutOff => self.cut = false,
            Loss::Frozen => {
                if let Some(node) = self.nodes.get_mut(&at) {
                    node.frozen = false;
                }
            }
        }
    }

    fn describe_all(&self) -> String {
        let all: Vec<String> = (self.nodes.iter())
            .map(|(at, node)| {
                let state = node.store.as_ref().map_or("down".to_string(), |store| store.describe());
                format!("{at} frozen {} {state}", node.frozen)
            })
            .collect();
        format!("{all:#?}")
    }
}

/// The result of one run.
pub(super) struct RunResult {
    pub(super) sim: Sim,
    within: bool,
    /// How long until service was restored with the second one lost, within the tolerance.
    served: Option<Duration>,
}

fn tolerance(members: usize) -> usize {
    (members - 1) / 2
}

pub(super) fn simulate(
    members: usize,
    seed: u64,
    how: Departure,
    moment: Moment,
    loss: Option<Loss>,
) -> RunResult {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let mut shown = RunResult { sim, within: false, served: None };
    let sim = &mut shown.sim;
    let voters = sim.voters();
    if sim.violation.is_some() || voters.len() != members {
        sim.record_violation(format!("the start: voters {voters:?}"));
        return shown;
    }
    let old = voters[sim.random_below(members as u64) as usize];
    let mut replacement = sim.begin_replacement(how, old);
    let end = sim.now + MS * 6000;
    while sim.now < end && sim.violation.is_none() && !sim.is_at(moment, &replacement) {
        sim.advance_time(&mut replacement, MS * 2);
    }
    if moment == Moment::Before || moment == Moment::Reading {
        let delay = sim.random_below(if moment == Moment::Before { 150 } else { 20 });
        sim.advance_time(&mut replacement, MS * delay as u32);
    }
    if let Some(loss) = loss {
        let up: Vec<SocketAddr> =
            (sim.nodes.keys().copied()).filter(|at| *at != old && *at != replacement.new).collect();
        if !up.is_empty() {
            let second = up[sim.random_below(up.len() as u64) as usize];
            // The successor of a member that leaves as planned has had its `SYNC_TIME`, so that member does
            // not count as lost. A sudden loss has to be noticed first, so its successor's time starts no
            // sooner than that.
            let unnoticed = if how == Departure::KilledLate { replacement.departed } else { Duration::ZERO };
            let synced = sim.now >= replacement.new_since.max(unnoticed) + SYNC_TIME;
            let lost = 1 + usize::from(!synced);
            shown.within = lost <= tolerance(members);
            sim.log.push(format!("{:?} {old} departs, {second} {loss:?} at {moment:?}", sim.now));
            sim.lose(loss, second);
            if shown.within {
                shown.served = sim.time_until_served(Some(second), &mut replacement);
                if shown.served.is_none() {
                    let what = format!("not served with {second} {loss:?}: {}", sim.describe_all());
                    sim.record_violation(what);
                }
            } else {
                let span = 500 + sim.random_below(4000);
                sim.advance_time(&mut replacement, MS * span as u32);
            }
            sim.restore(loss, second);
        }
    }
    sim.advance_time(&mut replacement, MS * 4500);
    if loss == Some(Loss::DiskLost) && !shown.within {
        // What only the two lost members had may be lost permanently: nothing else may be shown.
        sim.time_until_served(None, &mut replacement);
        return shown;
    }
    if sim.time_until_served(None, &mut replacement).is_none() {
        let what = format!("not served after all is back: {}", sim.describe_all());
        sim.record_violation(what);
    }
    // By now all votes are active, so one more may be lost.
    sim.advance_time(&mut replacement, MS * 1500);
    let voters = sim.voters();
    let counting =
        voters.iter().filter(|at| sim.store_at(**at).is_some_and(|store| store.is_voting())).count();
    let replaced = voters.len() != members || !voters.contains(&old);
    if counting < voters.len() / 2 + 1 + tolerance(members) || !replaced {
        let what = format!("{counting} of {voters:?} are active: {}", sim.describe_all());
        sim.record_violation(what);
    }
    if tolerance(members) > 0 {
        let up: Vec<SocketAddr> = voters.into_iter().filter(|at| sim.store_at(*at).is_some()).collect();
        let third = up[sim.random_below(up.len() as u64) as usize];
        sim.lose(Loss::Killed, third);
        if sim.time_until_served(Some(third), &mut replacement).is_none() {
            let what = format!("not served with a third, {third}, lost: {}", sim.describe_all());
            sim.record_violation(what);
        }
    }
    shown
}

pub(super) fn case(seed: u64, members: usize) -> (Departure, Moment, Option<Loss>) {
    let choice = (seed as usize).wrapping_mul(7);
    let mut how = DEPARTURES[choice % 4];
    if members <= 2 && matches!(how, Departure::Killed | Departure::KilledLate) {
        how = Departure::Planned; // So few members do not tolerate a permanent loss.
    }
    let loss = (members > 2).then(|| LOSSES[choice / 24 % 4]);
    (how, MOMENTS[choice / 4 % 6], loss)
}

#[rstest::rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(7)]
#[case(9)]
fn second_loss_during_a_replacement_is_tolerated(#[case] members: usize) {
    let mut served = Vec::new();
    let (mut violation, mut first) = (0, None);
    let count = seeds(96);
    for seed in 0..count {
        let (how, moment, loss) = case(seed, members);
        let shown = simulate(members, seed, how, moment, loss);
        served.extend(shown.served);
        if let Some(why) = shown.sim.violation {
            violation += 1;
            first.get_or_insert(format!(
                "seed {seed} {how:?} {moment:?} {loss:?}: {why} {:#?}",
                shown.sim.log
            ));
        }
    }
    served.sort();
    let middle = served.get(served.len() / 2);
    println!(
        "{members} members, {count} seeds: {} within, served after {middle:?}, {:?}; {violation} violations",
        served.len(),
        served.last()
    );
    assert_eq!(first, None);
}

/// Guards against a new voter whose vote never becomes active beside a frozen one: it has read a promise
/// above the text that it has read, the one voter left has promised more, and neither has a majority for
/// another round.
#[test]
fn a_new_voter_becomes_active_beside_a_frozen_one() {
    let (how, moment, loss) = case(2027, 3);
    assert_eq!(simulate(3, 2027, how, moment, loss).sim.violation, None);
}

#[rstest::rstest]
#[case(Defect::LeavesWithoutHandover, 3)]
#[case(Defect::GrantsUnderReadNumber, 3)]
fn injected_defect_is_detected(#[case] defect: Defect, #[case] members: usize) {
    crate::defects::INJECTED.set(Some(defect));
    let found = (0..seeds(2000)).find_map(|seed| {
        let (how, moment, loss) = case(seed, members);
        let shown = (how == Departure::Planned).then(|| simulate(members, seed, how, moment, loss));
        shown.and_then(|shown| shown.sim.violation).map(|violation| (seed, violation))
    });
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:.300?}");
    assert!(found.is_some(), "{defect:?}");
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LastCopy {
    /// One of two members that have it loses its disk while the other is down.
    DiskLost,
    /// One of two members that have it leaves as planned while the other is down.
    Leaves,
    /// One of two members that have it is lost permanently while the other is down.
    Gone,
}

/// A minority is cut off while a configuration is acknowledged; then, of the members that have it, one is
/// lost and the others are down for a while.
fn last_copy(members: usize, seed: u64, how: LastCopy) -> Sim {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let new = addr(90);
    if how == LastCopy::Leaves {
        sim.boot(new, false);
        sim.run(sim.now + MS * 4500);
    }
    let mut voters = sim.voters();
    let turn = sim.random_below(voters.len() as u64) as usize;
    voters.rotate_left(turn);
    let (lacking, holding) = voters.split_at(members - (members / 2 + 1));
    sim.cut_side = lacking.iter().copied().collect();
    sim.cut = true;
    let (old, rest) = holding.split_first().expect("a majority");
    let acknowledged = sim.acknowledged;
    sim.replace_newer_at(*old);
    let end = sim.now + MS * 2000;
    while sim.acknowledged == acknowledged && sim.now < end {
        sim.run(sim.now + MS);
    }
    let mut replacement = Replacement {
        old: *old,
        new,
        leaving: None,
        new_since: sim.now,
        departed: sim.now,
        epoch: sim.epoch(),
    };
    for at in rest {
        let down = 2000 + sim.random_below(4000);
        sim.crash(*at, false, down);
    }
    match how {
        LastCopy::DiskLost => {
            let down = 50 + sim.random_below(500);
            sim.crash(*old, true, down);
        }
        LastCopy::Leaves => {
            sim.with_store(*old, |store, now| store.leave(now));
            replacement.leaving = Some(sim.now);
        }
        LastCopy::Gone => {
            sim.stop(*old);
            sim.nodes.remove(old);
            sim.boot(new, false);
        }
    }
    let cut = sim.random_below(1500);
    sim.schedule(MS * cut as u32, Event::Heal);
    for _ in 0..20 {
        sim.advance_time(&mut replacement, MS * 300);
        if let Some(at) = sim.random_node() {
            sim.show_at(at);
        }
    }
    sim.advance_time(&mut replacement, MS * 5000);
    if sim.time_until_served(None, &mut replacement).is_none() {
        let what = format!("not served after all is back: {}", sim.describe_all());
        sim.record_violation(what);
    }
    sim
}

const LAST_COPIES: [LastCopy; 3] = [LastCopy::DiskLost, LastCopy::Leaves, LastCopy::Gone];

#[rstest::rstest]
#[case(3)]
#[case(4)]
#[case(5)]
#[case(9)]
fn the_last_copy_is_not_lost(#[case] members: usize) {
    for seed in 0..seeds(60) {
        let how = LAST_COPIES[seed as usize % 3];
        let sim = last_copy(members, seed, how);
        assert_eq!(sim.violation, None, "{members} members, seed {seed}, {how:?}");
    }
}

/// Two voters are lost and two new members start: returns the maximum number of voters that are up and still
/// reading at the same time, and how long until all votes are active.
fn replace_two_lost_voters(members: usize, seed: u64, slow: bool) -> (Sim, usize, Duration) {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.check_progress();
    let voters = sim.voters();
    let turn = sim.random_below(voters.len() as u64) as usize;
    for index in 0..2 {
        let gone = voters[(turn + index) % voters.len()];
        sim.stop(gone);
        sim.nodes.remove(&gone);
        sim.boot(addr(90 + index), false);
        if slow {
            sim.slow_disk.insert(addr(90 + index));
        }
    }
    let from = sim.now;
    let mut reading = 0;
    while sim.now < from + MS * 8000 && sim.violation.is_none() {
        sim.run(sim.now + MS * 2);
        let newest = sim.voters();
        let reads =
            |at: &SocketAddr| newest.contains(at) && sim.store_at(*at).is_some_and(|s| !s.is_voting());
        let up: Vec<SocketAddr> = sim.nodes.keys().copied().collect();
        reading = reading.max(up.iter().filter(|at| reads(at)).count());
        let counting = up.iter().filter(|at| sim.store_at(**at).is_some_and(|s| s.is_voting())).count();
        if counting == members {
            break;
        }
    }
    let took = sim.now - from;
    sim.check_progress();
    (sim, reading, took)
}

#[rstest::rstest]
#[case(5)]
#[case(9)]
fn voters_change_one_at_a_time(#[case] members: usize) {
    let mut all = Vec::new();
    for seed in 0..seeds(60) {
        let (sim, reading, took) = replace_two_lost_voters(members, seed, seed % 2 == 1);
        assert_eq!(sim.violation, None, "{members} members, seed {seed}");
        assert!(reading <= 1, "{members} members, seed {seed}: {reading} read at the same time");
        if seed % 2 == 0 {
            all.push((took, seed));
        }
    }
    all.sort();
    println!("{members} members, two lost: all active after {:?}, {:?}", all[all.len() / 2], all.last());
    assert!(all.last().is_some_and(|(took, _)| *took < SYNC_TIME));
}

#[test]
fn two_concurrent_voter_changes_are_detected() {
    crate::defects::INJECTED.set(Some(Defect::ChangesTableWhileVoterJoins));
    let found = (0..60).find(|seed| replace_two_lost_voters(5, *seed, true).1 > 1);
    crate::defects::INJECTED.set(None);
    println!("ChangesTableWhileVoterJoins: {found:?}");
    assert!(found.is_some());
}

#[rstest::rstest]
#[case(Defect::JoinsAfterTooFewReads)]
#[case(Defect::CountsWithEmptyDisk)]
fn losing_the_last_copy_is_detected(#[case] defect: Defect) {
    crate::defects::INJECTED.set(Some(defect));
    let found = (0..400).find_map(|seed| {
        let violation = last_copy(3, seed, LAST_COPIES[seed as usize % 3]).violation?;
        violation.contains("acknowledged was").then_some((seed, violation))
    });
    crate::defects::INJECTED.set(None);
    println!("{defect:?}: {found:.300?}");
    assert!(found.is_some(), "{defect:?}");
}

/// Sends a table under a number below the promised one to a member; returns whether it is accepted.
fn accepts_table_below_promise(seed: u64) -> bool {
    let mut sim = Sim::new(3, seed);
    sim.run(sim.now + MS * 4000);
    let holder = sim.holder().expect("a holder");
    let at = (0..3).map(addr).find(|at| *at != holder).expect("another");
    let incarnation = sim.nodes[&holder].incarnation;
    let store = sim.store_at(at).expect("running");
    let (echo, promised) = (store.settings.incarnation, store.lease.number);
    let base = store.tables.as_ref().expect("a table").base.clone();
    let mut voters = base.voters.clone();
    voters.retain(|voter| voter.at != at);
    let next = Some(VoterTable { epoch: base.epoch + 1, number: promised - 1, voters });
    let envelope = Envelope {
        version: crate::WIRE_VERSION,
        incarnation,
        echo,
        what: Message::Table(VoterTables { base, next }),
    };
    sim.with_store(at, |store, now| store.receive(now, holder, envelope));
    sim.run(sim.now + MS * 300);
    sim.store_at(at).is_some_and(|store| !store.is_voter() || store.table_version().number > 0)
}

#[test]
fn a_table_below_the_promised_number_is_refused() {
    for seed in 0..20 {
        assert!(!accepts_table_below_promise(seed), "seed {seed}");
    }
    crate::defects::INJECTED.set(Some(Defect::AcceptsTableBelowPromise));
    let found = (0..20).find(|seed| accepts_table_below_promise(*seed));
    crate::defects::INJECTED.set(None);
    println!("AcceptsTableBelowPromise: {found:?}");
    assert!(found.is_some());
}
