//! Enumerates all orders of events in a small system: three members, one replace request at each (two texts
//! under one revision, and a higher revision), and one loss; with the acceptor and the proposer of the
//! register.
//!
//! Sent messages stay available: a message may arrive late, twice, or never, so a lost message needs no event
//! of its own. A sync is a separate event with `separate_syncs`, otherwise it is immediate. Time appears in
//! one rule only: when a member that lost its disk reads from the others, no member counts its earlier
//! messages any more (`voters::LOST_DISK_WAIT`).

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Instant;

use crate::defects::{Defect, INJECTED};
use crate::register::{Acceptor, Ballot, Decision, Promise, ReplaceRequest, Round, Version};
use crate::tests::sim::addr;

const MEMBERS: usize = 3;
const MAJORITY: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    None,
    Restart,
    Disk,
}

#[derive(Clone, Copy)]
struct Bounds {
    /// Maximum number of ballots.
    rounds: u8,
    loss: Loss,
    separate_syncs: bool,
    depth: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum SentMessage {
    Prepare(Ballot),
    Promise { from: usize, ballot: Ballot, accepted: Version, chosen: Version },
    Propose(Version),
    Accepted { from: usize, version: Version },
}

impl SentMessage {
    /// Whether it is a promise or vote of this member.
    fn counts_for(&self, member: usize) -> bool {
        match self {
            SentMessage::Promise { from, .. } | SentMessage::Accepted { from, .. } => *from == member,
            SentMessage::Prepare(_) | SentMessage::Propose(_) => false,
        }
    }
}

/// What a member that lost its disk has read from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Read {
    saved: Version,
    promised: Ballot,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Member {
    acceptor: Acceptor,
    saved: Version,
    promise_saved: Ballot,
    incarnation: u64,
    /// The ballot of the round it has started and not decided.
    preparing: Option<Ballot>,
    committed: Version,
    /// What it has read since its disk was lost; none while its vote is active.
    reads: Option<[Option<Read>; MEMBERS]>,
    order: ReplaceRequest,
}

impl Member {
    fn counts(&self) -> bool {
        self.reads.is_none()
    }

    fn promise_on_disk(&self) -> Ballot {
        self.promise_saved.max(self.saved.ballot)
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    members: [Member; MEMBERS],
    sent: BTreeSet<SentMessage>,
    /// All versions that were ever chosen.
    chosen: BTreeSet<Version>,
    rounds: u8,
    lost: bool,
}

fn order(revision: u64, digest: u64) -> ReplaceRequest {
    ReplaceRequest { revision, digest }
}

impl World {
    fn new() -> World {
        let orders = [order(1, 10), order(1, 20), order(2, 30)];
        let member = |order| Member {
            acceptor: Acceptor::default(),
            saved: Version::NONE,
            promise_saved: Ballot::NONE,
            incarnation: 1,
            preparing: None,
            committed: Version::NONE,
            reads: None,
            order,
        };
        World {
            members: orders.map(member),
            sent: BTreeSet::new(),
            chosen: BTreeSet::new(),
            rounds: 0,
            lost: false,
        }
    }

    /// All states reachable by one more event.
    fn successors(&self, bounds: &Bounds) -> Vec<World> {
        let mut all = Vec::new();
        for index in 0..MEMBERS {
            all.extend(self.begin(index, bounds));
            all.extend(self.decide(index));
            all.extend(self.receive(index));
            all.extend(self.learn(index));
            if bounds.separate_syncs {
                all.extend(self.sync_promise(index));
                all.extend(self.sync_accepted(index));
            }
            all.extend(self.lose(index, bounds.loss));
            all.extend(self.read(index));
        }
        if !bounds.separate_syncs {
            all = all.into_iter().map(World::synced).collect();
        }
        all.iter_mut().for_each(World::note_chosen);
        all
    }

    fn synced(self) -> World {
        let mut world = self;
        for index in 0..MEMBERS {
            world = world.sync_accepted(index).unwrap_or(world);
            world = world.sync_promise(index).unwrap_or(world);
        }
        world
    }

    fn begin(&self, index: usize, bounds: &Bounds) -> Option<World> {
        let member = &self.members[index];
        if self.rounds >= bounds.rounds || !member.counts() {
            return None;
        }
        let wants = member.order.revision > member.committed.revision;
        let completes = member.acceptor.accepted() > member.committed;
        if !wants && !completes {
            return None;
        }
        let mut world = self.clone();
        let member = &mut world.members[index];
        let round = member.acceptor.promised().round + 1;
        let ballot = Ballot { round, incarnation: member.incarnation, proposer: addr(index) };
        member.acceptor.prepare(ballot).ok()?;
        member.preparing = Some(ballot);
        world.rounds += 1;
        world.sent.insert(SentMessage::Prepare(ballot));
        Some(world)
    }

    /// One state for each majority of promises.
    fn decide(&self, index: usize) -> Vec<World> {
        let Some(ballot) = self.members[index].preparing else { return Vec::new() };
        if self.members[index].acceptor.promised() != ballot {
            return Vec::new();
        }
        let mut promises = BTreeMap::<usize, Vec<Promise>>::new();
        for sent in &self.sent {
            if let SentMessage::Promise { from, ballot: promised, accepted, chosen } = sent {
                if *promised == ballot {
                    let promise = Promise { accepted: *accepted, chosen: *chosen };
                    promises.entry(*from).or_default().push(promise);
                }
            }
        }
        let mut all = Vec::new();
        for absent in 0..MEMBERS {
            let mut choices = vec![Vec::new()];
            for (from, sent) in promises.iter().filter(|(from, _)| **from != absent) {
                choices = choices
                    .iter()
                    .flat_map(|choice: &Vec<(SocketAddr, Promise)>| {
                        sent.iter().map(|promise| {
                            let mut choice = choice.clone();
                            choice.push((addr(*from), *promise));
                            choice
                        })
                    })
                    .collect();
            }
            let enough = choices.into_iter().filter(|choice| choice.len() >= MAJORITY);
            all.extend(enough.map(|choice| self.decide_with(index, ballot, &choice)));
        }
        all
    }

    fn decide_with(&self, index: usize, ballot: Ballot, promises: &[(SocketAddr, Promise)]) -> World {
        let mut world = self.clone();
        let member = &mut world.members[index];
        let mut round = Round::new(ballot);
        promises.iter().for_each(|(from, promise)| round.promise(*from, *promise));
        let order = member.order;
        let version = match round.decide(&[order]) {
            Decision::Propose(_) => Version { ballot, revision: order.revision, digest: order.digest },
            Decision::Complete(version) => Version { ballot, ..version },
            Decision::Settled(version) => {
                member.preparing = None;
                world.learn_chosen(index, version);
                return world;
            }
        };
        member.preparing = None;
        member.acceptor.accept(version);
        world.sent.insert(SentMessage::Propose(version));
        world
    }

    /// Receives any message ever sent to all, if it changes the state.
    fn receive(&self, index: usize) -> Vec<World> {
        let received = self.sent.iter().filter_map(|sent| {
            let mut world = self.clone();
            let member = &mut world.members[index];
            match sent {
                SentMessage::Prepare(ballot) if member.counts() => {
                    member.acceptor.prepare(*ballot).ok().map(|_| ())?
                }
                SentMessage::Propose(version) => {
                    member.acceptor.accept(*version);
                }
                _ => return None,
            }
            Some(world)
        });
        received.filter(|world| world != self).collect()
    }

    fn learn(&self, index: usize) -> Vec<World> {
        let newer = self.chosen.iter().filter(|version| **version > self.members[index].committed);
        newer
            .map(|version| {
                let mut world = self.clone();
                world.learn_chosen(index, *version);
                world
            })
            .collect()
    }

    fn learn_chosen(&mut self, index: usize, version: Version) {
        let member = &mut self.members[index];
        member.acceptor.learn(version);
        member.committed = member.committed.max(version);
    }

    fn sync_promise(&self, index: usize) -> Option<World> {
        let member = &self.members[index];
        let ballot = member.acceptor.promised();
        let sent = SentMessage::Promise {
            from: index,
            ballot,
            accepted: member.acceptor.accepted(),
            chosen: member.committed,
        };
        // A promise under which it has accepted a version is not sent any more.
        let nothing_to_send = member.acceptor.accepted().ballot >= ballot || !member.counts();
        if member.promise_on_disk() >= ballot && (nothing_to_send || self.sent.contains(&sent)) {
            return None;
        }
        let mut world = self.clone();
        let member = &mut world.members[index];
        member.promise_saved = member.promise_saved.max(ballot);
        if !nothing_to_send {
            world.sent.insert(sent);
        }
        Some(world)
    }

    fn sync_accepted(&self, index: usize) -> Option<World> {
        let version = self.members[index].acceptor.accepted();
        if self.members[index].saved == version {
            return None;
        }
        let mut world = self.clone();
        world.members[index].saved = version;
        if world.members[index].counts() {
            world.sent.insert(SentMessage::Accepted { from: index, version });
        }
        Some(world)
    }

    /// Applies the single loss of a run.
    fn lose(&self, index: usize, loss: Loss) -> Option<World> {
        if self.lost || loss == Loss::None {
            return None;
        }
        let mut world = self.clone();
        world.lost = true;
        let member = &mut world.members[index];
        if loss == Loss::Disk {
            member.saved = Version::NONE;
            member.promise_saved = Ballot::NONE;
            member.reads = Some([None; MEMBERS]);
        }
        member.acceptor = Acceptor::restore(member.promise_saved, member.saved);
        member.incarnation += 1;
        member.preparing = None;
        member.committed = Version::NONE;
        Some(world)
    }

    /// Reads from one of the others; once both were read (N - majority + 1), the vote becomes active again if
    /// permitted.
    fn read(&self, index: usize) -> Vec<World> {
        let Some(reads) = self.members[index].reads else { return Vec::new() };
        let mut all = Vec::new();
        for other in (0..MEMBERS).filter(|other| *other != index) {
            let source = &self.members[other];
            let read = Read { saved: source.saved, promised: source.acceptor.promised() };
            let mut world = self.clone();
            if reads.iter().all(Option::is_none) {
                world.sent.retain(|sent| !sent.counts_for(index));
            }
            let mut reads = reads;
            reads[other] = Some(read);
            world.members[index].reads = Some(reads);
            world.finish_reading(index, &reads);
            if world != *self {
                all.push(world);
            }
        }
        all
    }

    /// Corresponds to `ControlStore::has_caught_up`.
    fn finish_reading(&mut self, index: usize, reads: &[Option<Read>; MEMBERS]) {
        if reads.iter().flatten().count() < MEMBERS - MAJORITY + 1 {
            return;
        }
        let saved = reads.iter().flatten().map(|read| read.saved).max().unwrap_or_default();
        let promised = reads.iter().flatten().map(|read| read.promised).max().unwrap_or_default();
        let member = &mut self.members[index];
        // The text is fetched: below a promise it is not accepted, but stored as a copy.
        let mine = member.acceptor.accepted().max(saved);
        let mut acceptor = Acceptor::restore(member.acceptor.promised(), mine);
        acceptor.learn_promise(promised);
        let chosen = mine.has_ballot() && self.chosen.contains(&mine);
        if !chosen && mine.has_ballot() && mine.ballot < acceptor.promised() {
            return;
        }
        member.promise_saved = acceptor.promised();
        member.saved = mine;
        member.acceptor = acceptor;
        member.reads = None;
        if mine.has_ballot() {
            self.sent.insert(SentMessage::Accepted { from: index, version: mine });
        }
    }

    fn note_chosen(&mut self) {
        let mut voters = BTreeMap::<Version, usize>::new();
        for sent in &self.sent {
            if let SentMessage::Accepted { version, .. } = sent {
                *voters.entry(*version).or_default() += 1;
            }
        }
        let chosen = voters.into_iter().filter(|(_, voters)| *voters >= MAJORITY);
        self.chosen.extend(chosen.map(|(version, _)| version));
    }

    /// In the order of ballots, revisions must never decrease, and each must have one text.
    fn violation(&self) -> Option<String> {
        let chosen: Vec<&Version> = self.chosen.iter().collect();
        let falls = chosen.windows(2).find(|pair| {
            let same = pair[0].revision == pair[1].revision && pair[0].digest != pair[1].digest;
            pair[0].revision > pair[1].revision || same
        });
        falls.map(|pair| format!("{:?} is chosen, and then {:?}", pair[0], pair[1]))
    }

    fn fingerprint(&self) -> u128 {
        let mut sums = [0u64, 1].map(|salt| {
            let mut hasher = DefaultHasher::new();
            (salt, self).hash(&mut hasher);
            hasher.finish()
        });
        sums[0] = sums[0].rotate_left(7);
        u128::from(sums[0]) << 64 | u128::from(sums[1])
    }
}

struct Found {
    states: usize,
    /// The deepest level with a new state.
    depth: usize,
    /// Whether all reachable states were visited.
    complete: bool,
    violation: Option<String>,
}

/// Searches breadth-first until all states are visited, the depth is reached, or a violation is found.
fn search(bounds: Bounds) -> Found {
    let mut seen = HashSet::new();
    let mut level = vec![World::new()];
    let mut found = Found { states: 1, depth: 0, complete: false, violation: None };
    while found.depth < bounds.depth {
        let mut next = Vec::new();
        for world in level.iter().flat_map(|world| world.successors(&bounds)) {
            if !seen.insert(world.fingerprint()) {
                continue;
            }
            found.states += 1;
            if let Some(violation) = world.violation() {
                found.violation = Some(violation);
                return found;
            }
            next.push(world);
        }
        if next.is_empty() {
            found.complete = true;
            return found;
        }
        found.depth += 1;
        level = next;
    }
    found
}

/// The environment variable CONTROL_STORE_DEPTH sets another depth, such as 20.
fn depth(default_depth: usize) -> usize {
    std::env::var("CONTROL_STORE_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(default_depth)
}

#[rstest::rstest]
#[case(Loss::None, false, 3, 8)]
#[case(Loss::Restart, false, 3, 7)]
#[case(Loss::Disk, false, 3, 7)]
#[case(Loss::None, true, 2, 9)]
#[case(Loss::Restart, true, 2, 9)]
#[case(Loss::Disk, true, 2, 9)]
fn a_chosen_version_never_changes(
    #[case] loss: Loss,
    #[case] separate_syncs: bool,
    #[case] rounds: u8,
    #[case] default_depth: usize,
) {
    let started = Instant::now();
    let found = search(Bounds { rounds, loss, separate_syncs, depth: depth(default_depth) });
    println!(
        "{rounds} ballots, {loss:?}, separate syncs {separate_syncs}: {} states, {} events deep{}, {:?}",
        found.states,
        found.depth,
        if found.complete { " (all reachable)" } else { "" },
        started.elapsed()
    );
    assert_eq!(found.violation, None);
}

#[rstest::rstest]
#[case(Defect::IgnoresAcceptedVersions, Loss::None)]
#[case(Defect::AcceptsBelowPromise, Loss::None)]
#[case(Defect::OrdersByDigest, Loss::None)]
#[case(Defect::ForgetsPromises, Loss::Restart)]
#[case(Defect::SkipsReadingPromises, Loss::Disk)]
fn search_detects_injected_defect(#[case] defect: Defect, #[case] loss: Loss) {
    INJECTED.set(Some(defect));
    let found = search(Bounds { rounds: 2, loss, separate_syncs: false, depth: depth(12) });
    INJECTED.set(None);
    println!("{defect:?}: {} states, {} events deep: {:?}", found.states, found.depth, found.violation);
    assert!(found.violation.is_some());
}
