//! A voter is replaced, by plan or because it is gone, and another machine is lost at each step of it.
//!
//! A machine counts as lost while it is down, frozen or cut off and for `SYNC_TIME` after it is back, or after its
//! successor's start. Within the tolerance the service comes back; beyond it nothing is wrong, and it comes back
//! when machines do.

use super::*;
use crate::{Message, VoterTable, VoterTables};

/// `sync_time_s` of the deployments.
const SYNC_TIME: Duration = Duration::from_secs(4);
/// After SIGTERM a process stays at least and at most this long.
const STAYS: Duration = Duration::from_millis(150);
const STAYS_MOST: Duration = Duration::from_secs(3);
/// With another machine lost, operators are served again within this.
const SERVED_AGAIN: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Departure {
    /// Gone for good; an empty one starts elsewhere.
    Killed,
    /// The new one first; when it has had its time, SIGTERM of the old one.
    Planned,
    /// As `Planned`, and the new one has become one voter more by then.
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
    /// The new voter reads.
    Reads,
    /// The new voter has just begun to count.
    Counts,
    /// The new one has had its time.
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
    [Moment::Before, Moment::Accepted, Moment::Settled, Moment::Reads, Moment::Counts, Moment::Synced];
const LOSSES: [Loss; 4] = [Loss::Killed, Loss::DiskLost, Loss::CutOff, Loss::Frozen];

/// When the new one, and the old one's departure, took place.
struct Replacement {
    old: SocketAddr,
    new: SocketAddr,
    /// SIGTERM was sent, and the process runs.
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
        self.pull(at);
        Some(result)
    }

    fn epoch(&self) -> u64 {
        self.nodes.values().filter_map(|node| node.store.as_ref()).map(|s| s.mark().epoch).max().unwrap_or(0)
    }

    pub(super) fn replace_newer_at(&mut self, at: SocketAddr) {
        self.revision += 1;
        let author = self.below(super::AUTHORS);
        self.replace_at(at, self.revision, author, false);
    }

    pub(super) fn show_at(&mut self, at: SocketAddr) {
        self.calls += 1;
        let call = self.calls;
        self.open.insert(call, Call { at, number: self.acked, digest: 0, show: true, asked: self.now });
        self.with_store(at, |store, now| store.show(now, call));
    }

    /// Operators that go from member to member, not to the lost one, are served, and somebody holds the lease.
    /// Returns after how long.
    fn serves_but(&mut self, lost: Option<SocketAddr>, replacement: &mut Replacement) -> Option<Duration> {
        let from = self.now;
        let done = (self.taken, self.shown);
        let mut due = [Duration::ZERO; 2];
        while self.now < from + SERVED_AGAIN && self.wrong.is_none() {
            let held = self.holder().is_some_and(|at| Some(at) != lost);
            if held && self.taken > done.0 && self.shown > done.1 {
                return Some(self.now - from);
            }
            let up: Vec<SocketAddr> = (self.nodes.iter())
                .filter(|(at, node)| node.store.is_some() && !node.frozen && Some(**at) != lost)
                .map(|(at, _)| *at)
                .collect();
            for (kind, due) in due.iter_mut().enumerate() {
                if up.is_empty() || self.now < *due || (kind == 0 && self.taken > done.0) {
                    continue;
                }
                *due = self.now + MS * 300;
                let at = up[self.below(up.len() as u64) as usize];
                if kind == 0 {
                    self.replace_newer_at(at);
                } else {
                    self.show_at(at);
                }
            }
            self.pass(replacement, MS * 20);
        }
        None
    }

    /// Lets time pass; a leaving process ends when it may, or must.
    fn pass(&mut self, replacement: &mut Replacement, span: Duration) {
        let end = self.now + span;
        while self.now < end && self.wrong.is_none() {
            self.run((self.now + MS * 10).min(end));
            let Some(since) = replacement.leaving else { continue };
            let old = replacement.old;
            let may =
                self.store_at(old).is_none_or(|store| store.may_exit(self.nodes[&old].clock.read(self.now)));
            if (may && self.now >= since + STAYS) || self.now >= since + STAYS_MOST {
                self.stop(old);
                self.nodes.remove(&old);
                replacement.leaving = None;
                replacement.departed = self.now;
            }
        }
    }

    fn begin_replacement(&mut self, how: Departure, old: SocketAddr) -> Replacement {
        self.fresh += 1;
        let new = addr(self.fresh);
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
                let after = self.below(1500);
                self.stop(old);
                self.nodes.remove(&old);
                self.after(MS * after as u32, Event::Back { at: new, initial: false });
                replacement.new_since += MS * after as u32;
                return replacement;
            }
            Departure::Planned => {
                self.boot(new, false);
                let after = 4000 + self.below(1500);
                self.run(self.now + MS * after as u32);
            }
            Departure::PlannedLate | Departure::KilledLate => {
                self.boot(new, false);
                let after = 11_000 + self.below(1500);
                self.run(self.now + MS * after as u32);
            }
        }
        // Some work, so that the old one may be the only other one that has it.
        if self.chance(0.5) {
            self.replace();
            let after = self.below(60);
            self.run(self.now + MS * after as u32);
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
                call.asked += STAYS_MOST;
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
            Moment::Reads => new.is_some_and(|store| store.joining()),
            Moment::Counts => new.is_some_and(|store| store.is_voting()),
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
                self.side = [at].into();
                self.cut = true;
            }
            Loss::Frozen => {
                if let Some(node) = self.nodes.get_mut(&at) {
                    node.frozen = true;
                }
                for call in self.open.values_mut().filter(|call| call.at == at) {
                    call.asked += MS * 60_000; // Its time stands still.
                }
            }
        }
    }

    fn give_back(&mut self, how: Loss, at: SocketAddr) {
        match how {
            Loss::Killed | Loss::DiskLost => {
                self.boot(at, false);
                self.pull(at);
            }
            Loss::CutOff => self.cut = false,
            Loss::Frozen => {
                if let Some(node) = self.nodes.get_mut(&at) {
                    node.frozen = false;
                }
            }
        }
    }

    fn all_states(&self) -> String {
        let all: Vec<String> = (self.nodes.iter())
            .map(|(at, node)| {
                let state = node.store.as_ref().map_or("down".to_string(), |store| store.describe());
                format!("{at} frozen {} {state}", node.frozen)
            })
            .collect();
        format!("{all:#?}")
    }
}

/// What one run showed.
pub(super) struct Shown {
    pub(super) sim: Sim,
    within: bool,
    /// How long until served with the second one lost, within the tolerance.
    served: Option<Duration>,
}

fn tolerance(members: usize) -> usize {
    (members - 1) / 2
}

pub(super) fn play(members: usize, seed: u64, how: Departure, moment: Moment, loss: Option<Loss>) -> Shown {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.must_live();
    let mut shown = Shown { sim, within: false, served: None };
    let sim = &mut shown.sim;
    let voters = sim.voters();
    if sim.wrong.is_some() || voters.len() != members {
        sim.fail(format!("the start: voters {voters:?}"));
        return shown;
    }
    let old = voters[sim.below(members as u64) as usize];
    let mut replacement = sim.begin_replacement(how, old);
    let end = sim.now + MS * 6000;
    while sim.now < end && sim.wrong.is_none() && !sim.is_at(moment, &replacement) {
        sim.pass(&mut replacement, MS * 2);
    }
    if moment == Moment::Before || moment == Moment::Reads {
        let after = sim.below(if moment == Moment::Before { 150 } else { 20 });
        sim.pass(&mut replacement, MS * after as u32);
    }
    if let Some(loss) = loss {
        let up: Vec<SocketAddr> =
            (sim.nodes.keys().copied()).filter(|at| *at != old && *at != replacement.new).collect();
        if !up.is_empty() {
            let second = up[sim.below(up.len() as u64) as usize];
            // One that leaves by plan has a successor that has had its time: it does not count as lost. That another
            // is gone without a word has to be noticed first, so its successor's time begins no sooner than that.
            let unnoticed = if how == Departure::KilledLate { replacement.departed } else { Duration::ZERO };
            let synced = sim.now >= replacement.new_since.max(unnoticed) + SYNC_TIME;
            let lost = 1 + usize::from(!synced);
            shown.within = lost <= tolerance(members);
            sim.log.push(format!("{:?} {old} goes, {second} {loss:?} at {moment:?}", sim.now));
            sim.lose(loss, second);
            if shown.within {
                shown.served = sim.serves_but(Some(second), &mut replacement);
                if shown.served.is_none() {
                    let what = format!("not served with {second} {loss:?}: {}", sim.all_states());
                    sim.fail(what);
                }
            } else {
                let span = 500 + sim.below(4000);
                sim.pass(&mut replacement, MS * span as u32);
            }
            sim.give_back(loss, second);
        }
    }
    sim.pass(&mut replacement, MS * 4500);
    if loss == Some(Loss::DiskLost) && !shown.within {
        // What only the two lost ones had may be gone for good: nothing else may be shown.
        sim.serves_but(None, &mut replacement);
        return shown;
    }
    if sim.serves_but(None, &mut replacement).is_none() {
        let what = format!("not served after all is back: {}", sim.all_states());
        sim.fail(what);
    }
    // By now all count, so one more may be lost.
    sim.pass(&mut replacement, MS * 1500);
    let voters = sim.voters();
    let counting =
        voters.iter().filter(|at| sim.store_at(**at).is_some_and(|store| store.is_voting())).count();
    let replaced = voters.len() != members || !voters.contains(&old);
    if counting < voters.len() / 2 + 1 + tolerance(members) || !replaced {
        let what = format!("{counting} of {voters:?} count: {}", sim.all_states());
        sim.fail(what);
    }
    if tolerance(members) > 0 {
        let up: Vec<SocketAddr> = voters.into_iter().filter(|at| sim.store_at(*at).is_some()).collect();
        let third = up[sim.below(up.len() as u64) as usize];
        sim.lose(Loss::Killed, third);
        if sim.serves_but(Some(third), &mut replacement).is_none() {
            let what = format!("not served with a third, {third}, lost: {}", sim.all_states());
            sim.fail(what);
        }
    }
    shown
}

pub(super) fn case(seed: u64, members: usize) -> (Departure, Moment, Option<Loss>) {
    let choice = (seed as usize).wrapping_mul(7);
    let mut how = DEPARTURES[choice % 4];
    if members <= 2 && matches!(how, Departure::Killed | Departure::KilledLate) {
        how = Departure::Planned; // One that is gone for good is a loss that these don't bear.
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
fn a_second_loss_at_each_step_of_a_replacement(#[case] members: usize) {
    let mut served = Vec::new();
    let (mut wrong, mut first) = (0, None);
    let count = seeds(96);
    for seed in 0..count {
        let (how, moment, loss) = case(seed, members);
        let shown = play(members, seed, how, moment, loss);
        served.extend(shown.served);
        if let Some(why) = shown.sim.wrong {
            wrong += 1;
            first.get_or_insert(format!(
                "seed {seed} {how:?} {moment:?} {loss:?}: {why} {:#?}",
                shown.sim.log
            ));
        }
    }
    served.sort();
    let middle = served.get(served.len() / 2);
    println!(
        "{members} members, {count} seeds: {} within, served after {middle:?}, {:?}; {wrong} wrong",
        served.len(),
        served.last()
    );
    assert_eq!(first, None);
}

/// Guards against a new voter that never counts beside a frozen one: it has read a promise above the text that it has
/// read, the one voter left has promised more, and neither makes a majority for another round.
#[test]
fn a_new_voter_counts_beside_a_frozen_one() {
    let (how, moment, loss) = case(2027, 3);
    assert_eq!(play(3, 2027, how, moment, loss).sim.wrong, None);
}

#[rstest::rstest]
#[case(Defect::LeavesWithoutHandover, 3)]
#[case(Defect::GrantsByANumberItRead, 3)]
fn the_checker_finds(#[case] defect: Defect, #[case] members: usize) {
    crate::planted::PLANTED.set(Some(defect));
    let found = (0..seeds(2000)).find_map(|seed| {
        let (how, moment, loss) = case(seed, members);
        let shown = (how == Departure::Planned).then(|| play(members, seed, how, moment, loss));
        shown.and_then(|shown| shown.sim.wrong).map(|wrong| (seed, wrong))
    });
    crate::planted::PLANTED.set(None);
    println!("{defect:?}: {found:.300?}");
    assert!(found.is_some(), "{defect:?}");
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LastCopy {
    /// One of two that have it loses its disk while the other is down.
    DiskLost,
    /// One of two that have it leaves by plan while the other is down.
    Leaves,
    /// One of two that have it is gone for good, and the other is down.
    Gone,
}

/// A minority is cut off while a configuration is acknowledged; then, of those that have it, one goes and
/// the rest but one are down for a while.
fn last_copy(members: usize, seed: u64, how: LastCopy) -> Sim {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.must_live();
    let new = addr(90);
    if how == LastCopy::Leaves {
        sim.boot(new, false);
        sim.run(sim.now + MS * 4500);
    }
    let mut voters = sim.voters();
    let turn = sim.below(voters.len() as u64) as usize;
    voters.rotate_left(turn);
    let (lacking, have) = voters.split_at(members - (members / 2 + 1));
    sim.side = lacking.iter().copied().collect();
    sim.cut = true;
    let (old, rest) = have.split_first().expect("a majority");
    let taken = sim.taken;
    sim.replace_newer_at(*old);
    let end = sim.now + MS * 2000;
    while sim.taken == taken && sim.now < end {
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
        let down = 2000 + sim.below(4000);
        sim.crash(*at, false, down);
    }
    match how {
        LastCopy::DiskLost => {
            let down = 50 + sim.below(500);
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
    let cut = sim.below(1500);
    sim.after(MS * cut as u32, Event::Heal);
    for _ in 0..20 {
        sim.pass(&mut replacement, MS * 300);
        if let Some(at) = sim.some_node() {
            sim.show_at(at);
        }
    }
    sim.pass(&mut replacement, MS * 5000);
    if sim.serves_but(None, &mut replacement).is_none() {
        let what = format!("not served after all is back: {}", sim.all_states());
        sim.fail(what);
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
        assert_eq!(sim.wrong, None, "{members} members, seed {seed}, {how:?}");
    }
}

/// Two are gone and two new ones are there: how many are up and still read at a time, at most, and how long until all
/// count.
fn two_gone(members: usize, seed: u64, slow: bool) -> (Sim, usize, Duration) {
    let mut sim = Sim::new(members, seed);
    sim.run(sim.now + MS * 4000);
    sim.must_live();
    let voters = sim.voters();
    let turn = sim.below(voters.len() as u64) as usize;
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
    while sim.now < from + MS * 8000 && sim.wrong.is_none() {
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
    sim.must_live();
    (sim, reading, took)
}

#[rstest::rstest]
#[case(5)]
#[case(9)]
fn one_change_of_voters_at_a_time(#[case] members: usize) {
    let mut all = Vec::new();
    for seed in 0..seeds(60) {
        let (sim, reading, took) = two_gone(members, seed, seed % 2 == 1);
        assert_eq!(sim.wrong, None, "{members} members, seed {seed}");
        assert!(reading <= 1, "{members} members, seed {seed}: {reading} read at a time");
        if seed % 2 == 0 {
            all.push((took, seed));
        }
    }
    all.sort();
    println!("{members} members, two gone: all count after {:?}, {:?}", all[all.len() / 2], all.last());
    assert!(all.last().is_some_and(|(took, _)| *took < SYNC_TIME));
}

#[test]
fn two_changes_of_voters_at_a_time_are_found() {
    crate::planted::PLANTED.set(Some(Defect::ChangesWhileAVoterJoins));
    let found = (0..60).find(|seed| two_gone(5, *seed, true).1 > 1);
    crate::planted::PLANTED.set(None);
    println!("ChangesWhileAVoterJoins: {found:?}");
    assert!(found.is_some());
}

#[rstest::rstest]
#[case(Defect::JoinsAfterReadingTooFew)]
#[case(Defect::CountsWithAnEmptyDisk)]
fn a_lost_copy_is_found(#[case] defect: Defect) {
    crate::planted::PLANTED.set(Some(defect));
    let found = (0..400).find_map(|seed| {
        let wrong = last_copy(3, seed, LAST_COPIES[seed as usize % 3]).wrong?;
        wrong.contains("acknowledged was").then_some((seed, wrong))
    });
    crate::planted::PLANTED.set(None);
    println!("{defect:?}: {found:.300?}");
    assert!(found.is_some(), "{defect:?}");
}

/// Offers a table under a number below the one that a member has promised; whether it is accepted.
fn takes_a_lower_table(seed: u64) -> bool {
    let mut sim = Sim::new(3, seed);
    sim.run(sim.now + MS * 4000);
    let holder = sim.holder().expect("a holder");
    let at = (0..3).map(addr).find(|at| *at != holder).expect("another");
    let incarnation = sim.nodes[&holder].incarnation;
    let store = sim.store_at(at).expect("running");
    let (echo, promised) = (store.setup.incarnation, store.lease.number);
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
    sim.store_at(at).is_some_and(|store| !store.is_voter() || store.mark().number > 0)
}

#[test]
fn a_table_below_the_promised_number_is_refused() {
    for seed in 0..20 {
        assert!(!takes_a_lower_table(seed), "seed {seed}");
    }
    crate::planted::PLANTED.set(Some(Defect::AcceptsATableBelowItsPromise));
    let found = (0..20).find(|seed| takes_a_lower_table(*seed));
    crate::planted::PLANTED.set(None);
    println!("AcceptsATableBelowItsPromise: {found:?}");
    assert!(found.is_some());
}
