//! Who counts: the table of voters and how it changes. (How it is founded: `bootstrap`.)
//!
//! A table is changed as a value is agreed on in single-decree Paxos: one instance for each epoch, the
//! acceptors are the voters of the epoch before, the ballot is the number of the lease (whose grant is the
//! promise). A table is `next` at a member that accepted it, and becomes `base` when it is known that a
//! majority of the old one's voters accepted it. While a member has a `next`, it counts no configurations, and leases
//! only by majorities of both tables.
//! Source: Lamport, "Paxos Made Simple" (2001); joint majorities as in Ongaro, "Consensus" (2014), 4.3.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::lease::LEASE_TERM;
use crate::planted::{planted, Defect};
use crate::register::STATE_FRESH;
use crate::{ControlStore, Message, Stored, JOIN_INTERVAL};

/// The most voters there are: DEPLOY.md has cores of 3 to 9.
pub const MAX_VOTERS: usize = 9;
/// A voter unheard for this long is given to an observer that said Join within `JOIN_FRESH`.
const SILENT_AFTER: Duration = Duration::from_millis(2500);
const JOIN_FRESH: Duration = Duration::from_millis(1000);
/// A voter that said it leaves and is silent for so long is gone.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// The next change waits at most this long for a voter that still reads.
const JOIN_PATIENCE: Duration = Duration::from_secs(5);
/// A leaving member tells the others so often, until its process ends.
const LEAVE_INTERVAL: Duration = Duration::from_millis(100);
/// An observer gets a new voter after so long.
const ADD_VOTER_AFTER: Duration = Duration::from_secs(10);
/// A member whose disk was lost asks after this (`lost_disk`): by then nobody counts what it said before
/// (`register::STATE_FRESH`).
const LOST_DISK_WAIT: Duration = Duration::from_millis(2000);
/// The same table isn't sent to the same member again before.
const TABLE_RESEND_AFTER: Duration = Duration::from_millis(150);
pub(crate) const DISK_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A voter, and the epoch since which its holder has it without a break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    pub at: SocketAddr,
    pub since: u64,
}

/// The members that count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterTable {
    pub epoch: u64,
    /// Of the lease under which it was proposed; 0 for the founder's.
    pub number: u64,
    pub voters: Vec<Voter>,
}

impl VoterTable {
    pub fn majority(&self) -> usize {
        if planted(Defect::HalfIsEnough) {
            return (self.voters.len() / 2).max(1);
        }
        self.voters.len() / 2 + 1
    }

    pub fn voter(&self, at: SocketAddr) -> Option<&Voter> {
        self.voters.iter().find(|voter| voter.at == at)
    }

    pub fn has_quorum(&self, has: impl Fn(SocketAddr) -> bool) -> bool {
        self.bootstrap_quorum(&has)
            || self.voters.iter().filter(|voter| has(voter.at)).count() >= self.majority()
    }
}

/// The table that counts, and the one accepted for the epoch after it, if any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterTables {
    pub base: VoterTable,
    pub next: Option<VoterTable>,
}

/// Which tables a member has, in the order in which they supersede each other. The number is that of `next`,
/// or 0: a settled table is the same everywhere, whatever ballot settled it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    pub epoch: u64,
    pub number: u64,
}

impl VoterTables {
    pub fn mark(&self) -> TableVersion {
        TableVersion { epoch: self.base.epoch, number: self.next.as_ref().map_or(0, |next| next.number) }
    }

    /// Whether it can have been made by a member: what the wire or a disk says may be anything.
    pub fn is_well_formed(&self) -> bool {
        let well =
            |voters: &VoterTable| (1..=MAX_VOTERS).contains(&voters.voters.len()) && voters.epoch < u64::MAX;
        let next = |next: &VoterTable| well(next) && next.epoch == self.base.epoch + 1 && next.number > 0;
        well(&self.base) && self.next.as_ref().is_none_or(next)
    }
}

impl ControlStore {
    pub(crate) fn mark(&self) -> TableVersion {
        self.tables.as_ref().map_or(TableVersion::default(), VoterTables::mark)
    }

    /// Whether this member votes, acknowledges and hands out.
    pub(crate) fn is_voting(&self) -> bool {
        self.voting && self.is_voter()
    }

    /// Whether this member has a seat.
    pub fn is_voter(&self) -> bool {
        self.tables.as_ref().is_some_and(|tables| tables.base.voter(self.setup.me).is_some())
    }

    /// Has a voter, but may not use it yet: its disk was empty when it got it, or when it started.
    pub(crate) fn joining(&self) -> bool {
        self.is_voter() && !self.voting
    }

    /// All that have a seat, this member too if it has one.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.tables
            .as_ref()
            .filter(|tables| tables.base.epoch > 0)
            .map_or(Vec::new(), |tables| tables.base.voters.iter().map(|voter| voter.at).collect())
    }

    /// All that have a seat or are about to get one, except this member.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let Some(tables) = &self.tables else { return Vec::new() };
        let mut all: Vec<SocketAddr> = tables.base.voters.iter().map(|voter| voter.at).collect();
        for voter in tables.next.iter().flat_map(|next| &next.voters) {
            if !all.contains(&voter.at) {
                all.push(voter.at);
            }
        }
        all.retain(|at| *at != self.setup.me);
        all
    }

    /// Join to whom it may concern while this member has no voter that counts.
    pub(crate) fn send_join(&mut self, now: Duration) {
        if self.leaving || self.voting && !self.is_bootstrapping() {
            return;
        }
        let mut to = self.others();
        for at in &self.setup.seeds {
            if *at != self.setup.me && !to.contains(at) {
                to.push(*at);
            }
        }
        for at in to {
            let first = self.is_bootstrapping() || (self.tables.is_none() && self.setup.initial);
            self.send(at, if first { Message::JoinFirstStart } else { Message::Join { mark: self.mark() } });
            if self.counted > 0 && !self.is_voter() {
                let (state, counted) = (self.member_state(0), self.counted);
                self.send(at, Message::Departure { state: Box::new(state), counted, leaving: false });
            }
        }
        let soon = self.tables.is_none() || self.joining() || self.is_bootstrapping();
        let pause = if soon { JOIN_INTERVAL } else { JOIN_INTERVAL * 2 };
        self.join_due = now + pause;
    }

    pub(crate) fn receive_join(&mut self, now: Duration, from: SocketAddr, mark: TableVersion, first: bool) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.join_at.is_none_or(|at| now > at + JOIN_FRESH) {
            peer.join_since = now;
        }
        if peer.join_at.is_none() {
            self.newest_at = now;
        }
        peer.join_at = Some(now);
        peer.first |= first;
        if self.tables.is_some() {
            self.send_state(from, 0);
            if mark < self.mark() {
                self.send_table(now, from);
            }
        }
        if let Some((epoch, at, incarnation)) = self.proposed.filter(|(_, at, _)| *at == from) {
            self.send(from, Message::Seated { epoch, at, incarnation });
        }
    }

    /// Whoever had been heard before a table was settled can't have counted under it in an earlier incarnation.
    pub(crate) fn receive_seated(&mut self, epoch: u64, at: SocketAddr, incarnation: u64) {
        if at != self.setup.me {
            if self.proposed.is_none_or(|(before, ..)| before < epoch) {
                self.proposed = Some((epoch, at, incarnation));
            }
            return;
        }
        if incarnation != self.setup.incarnation || self.seated >= Some(epoch) {
            return;
        }
        self.seated = Some(epoch);
        if self.joining() && self.mark().epoch == epoch {
            self.lost_until = None;
        }
    }

    pub(crate) fn send_table(&mut self, now: Duration, to: SocketAddr) {
        let Some(tables) = self.tables.clone() else { return };
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let mark = tables.mark();
        if peer.told.is_none_or(|(at, told)| told != mark || now >= at + TABLE_RESEND_AFTER) {
            peer.told = Some((now, mark));
            let newcomer =
                self.proposed.filter(|(epoch, ..)| tables.next.is_some() && *epoch == mark.epoch + 1);
            let what = match newcomer {
                Some((_, at, incarnation)) => Message::Proposal { tables, at, incarnation },
                None => Message::Table(tables),
            };
            self.send(to, what);
        }
    }

    pub(crate) fn receive_table(&mut self, now: Duration, from: SocketAddr, tables: VoterTables) {
        if !tables.is_well_formed() {
            return;
        }
        // Settled: anybody may take it, from anybody.
        if tables.base.epoch > self.mark().epoch {
            if self.incoming.as_ref().is_none_or(|coming| coming.1.base.epoch < tables.base.epoch) {
                self.install_tables(VoterTables { base: tables.base.clone(), next: None });
            }
            return;
        }
        // Accepted by somebody: it may be taken unless a higher number was promised.
        let Some(mine) = self.tables.as_ref().filter(|mine| mine.base.epoch == tables.base.epoch) else {
            return self.send_table(now, from);
        };
        // Of other seeds: two tables 0 are two systems, and found nothing together.
        if mine.base.epoch == 0 && mine.base != tables.base {
            return;
        }
        let Some(next) = tables.next else { return };
        let newer = mine.next.as_ref().is_none_or(|held| next.number > held.number);
        let promised = if planted(Defect::AcceptsATableBelowItsPromise) { 0 } else { self.lease.number };
        if newer && next.number >= promised && self.incoming.is_none() && self.is_voting() {
            let base = mine.base.clone();
            self.lease.number = self.lease.number.max(next.number);
            self.install_tables(VoterTables { base, next: Some(next) });
        }
    }

    /// Makes these the tables of this member: a member that counts stores them first.
    pub(crate) fn install_tables(&mut self, tables: VoterTables) {
        let me = self.setup.me;
        let first = self.tables.is_none();
        if first && tables.base.epoch == 0 {
            // Written down before anything is said under it.
            let token = self.store(Stored::Voters(tables.clone()));
            self.incoming = Some((token, tables));
            return;
        }
        let Some(voter) = tables.base.voter(me).copied() else {
            // No voter: nothing counts from now on, whatever the disk does.
            if self.is_voting() {
                self.counted = self.mark().epoch;
            }
            let had = self.on_disk.take().is_some();
            self.voting = false;
            self.lost_until = None;
            self.incoming = None;
            self.release_lease();
            if self.is_bootstrapping() {
                self.bootstrapped(self.now);
            }
            if had {
                self.store(Stored::Voters(tables.clone()));
            }
            self.tables = Some(tables);
            return;
        };
        // Who took part in the founding, or came back with table 0, has kept all that it ever said. A seed that
        // wrote it down just now may have lost what it had, if its settings are wrong: it reads from others.
        let bare_seed = |mine: &VoterTables| mine.next.is_none() && mine.base.voter(me).is_some();
        let took_part = !self.began || !self.tables.as_ref().is_some_and(bare_seed);
        let kept = self
            .on_disk
            .is_some_and(|epoch| voter.since <= epoch || (epoch == 0 && took_part && voter.since == 1));
        let founding = first && !self.began && tables.base.epoch == 1 && self.setup.initial;
        if kept || founding || planted(Defect::CountsWithAnEmptyDisk) {
            let token = self.store(Stored::Voters(tables.clone()));
            self.incoming = Some((token, tables));
        } else {
            if self.seated != Some(voter.since) && !self.is_bootstrapping() {
                // As far as it knows it had a seat before, and its disk was lost.
                self.lost_until = Some(self.started + LOST_DISK_WAIT);
            }
            if self.is_bootstrapping() {
                self.bootstrapped(self.now);
            }
            self.voting = false;
            self.incoming = None;
            self.tables = Some(tables);
            self.join_due = Duration::ZERO;
        }
    }

    pub(crate) fn table_stored(&mut self, now: Duration, token: u64, ok: bool) -> bool {
        let Some((_, tables)) = self.incoming.take_if(|(mine, _)| *mine == token) else { return false };
        if !ok {
            self.incoming = Some((0, tables));
            self.disk_again = Some(now + DISK_RETRY_AFTER);
            return true;
        }
        let epoch = tables.base.epoch;
        let new = self.on_disk.is_none_or(|before| before < epoch) && !self.voting;
        let founded = self.is_bootstrapping() && epoch > 0;
        if new {
            // What it granted in an earlier incarnation, or what others granted that it has read, is over by then.
            let first_start = epoch <= 1 && self.setup.initial;
            self.lease.from = if first_start { now } else { now + LEASE_TERM.mul_f64(1.1) };
            self.lease.try_at = now + self.chance(250);
        }
        if epoch > self.mark().epoch {
            self.epoch_since = now;
        }
        let first = self.tables.is_none();
        self.on_disk = Some(epoch);
        self.voting = true;
        let proposed = tables.next.as_ref().is_some_and(|next| self.lease.mine(next.number));
        self.tables = Some(tables);
        if founded {
            self.bootstrapped(now);
        }
        if first || proposed {
            for to in self.others() {
                self.send_table(now, to);
            }
        }
        if proposed {
            self.request_again(now);
        }
        true
    }

    /// The disk is asked again after a failure.
    pub(crate) fn table_again(&mut self) {
        if let Some((0, tables)) = self.incoming.take() {
            let token = self.store(Stored::Voters(tables.clone()));
            self.incoming = Some((token, tables));
        }
    }

    /// A table accepted by a majority of the old one's voters is settled. The one given away accepts as well: it
    /// may be all that is left besides the proposer, and the new voter may read from it (`retired_voters`).
    pub(crate) fn commit_table(&mut self, now: Duration) {
        let Some(tables) = &self.tables else { return };
        let Some(next) = tables.next.as_ref().filter(|_| self.is_voting() && self.incoming.is_none()) else {
            return;
        };
        let mark = tables.mark();
        let accepted = |at: SocketAddr| {
            let told = |peer: &crate::Peer| peer.state.counts && peer.state.mark == mark;
            at == self.setup.me || self.peers.get(&at).is_some_and(told)
        };
        let alone = planted(Defect::FoundsWithoutAMajority) && self.is_bootstrapping();
        if alone || tables.base.has_quorum(accepted) {
            let next = next.clone();
            let to = self.others();
            self.install_tables(VoterTables { base: next, next: None });
            // Settled is settled, whether or not this disk has it.
            if let Some((_, settled)) =
                self.incoming.clone().or(self.tables.clone().map(|tables| (0, tables)))
            {
                for at in to {
                    self.send(at, Message::Table(settled.clone()));
                    if let Some(peer) = self.peers.get_mut(&at) {
                        peer.told = Some((now, settled.mark()));
                    }
                }
            }
        }
    }

    /// A member without the state reads it from so many of the others that every majority is met:
    /// one of N has lost it, so N - majority + 1.
    pub(crate) fn catch_up(&mut self, now: Duration) {
        if !self.joining() || self.incoming.is_some() || self.lost_until.is_some_and(|until| now < until) {
            return;
        }
        let Some(tables) = self.tables.clone().filter(|tables| tables.next.is_none()) else { return };
        let mark = tables.mark();
        let read: Vec<&crate::Peer> = (tables.base.voters.iter())
            .filter(|voter| voter.at != self.setup.me)
            .filter(|voter| self.may_read(voter.at))
            .filter_map(|voter| self.peers.get(&voter.at))
            .filter(|peer| peer.state.counts && peer.state.mark == mark)
            .chain(self.retired_voters(&tables.base).filter(|_| self.seated == Some(mark.epoch)))
            .collect();
        let unread = if planted(Defect::JoinsAfterReadingTooFew) { 1 } else { 0 };
        if read.len() + unread < tables.base.voters.len() - tables.base.majority() + 1 {
            return;
        }
        let most = read.iter().map(|peer| peer.state.saved).max().unwrap_or_default();
        let promised = read.iter().map(|peer| peer.state.promised).max().unwrap_or_default();
        let number = read.iter().map(|peer| peer.state.number).max().unwrap_or_default();
        if !self.has_caught_up(most, promised) && !planted(Defect::CountsBeforeItCaughtUp) {
            return; // It is being fetched, or stored.
        }
        if self.lease.on_disk < number {
            self.lease.number = self.lease.number.max(number);
            if now >= self.lease.disk_again {
                self.store_number();
            }
            return;
        }
        let token = self.store(Stored::Voters(tables.clone()));
        self.incoming = Some((token, tables));
    }

    /// Whose voter was given away by the change that made `base`. Until it ends it holds all that it counted with,
    /// so a new voter may read from it as from those that count.
    fn retired_voters(&self, base: &VoterTable) -> impl Iterator<Item = &crate::Peer> {
        let (epoch, voters) = (base.epoch, base.voters.clone());
        (self.peers.iter()).filter(move |(at, _)| voters.iter().all(|voter| voter.at != **at)).filter_map(
            move |(at, peer)| {
                let retired = peer.counted > 0 && peer.counted + 1 == epoch;
                let settled = peer.state.mark.epoch == epoch;
                let heard = self.may_read(*at);
                (retired && settled && heard).then_some(peer)
            },
        )
    }

    pub(crate) fn is_leaving(&self, at: SocketAddr) -> bool {
        if at == self.setup.me {
            return self.leaving;
        }
        self.peers.get(&at).is_some_and(|peer| peer.leaving)
    }

    /// Tells the others that this member leaves.
    pub(crate) fn step_leave(&mut self, now: Duration) {
        if !self.leaving {
            return;
        }
        let proposing = self.incoming.is_some() || self.tables.as_ref().is_some_and(|t| t.next.is_some());
        if !proposing {
            self.release_lease();
        }
        if now < self.leave_due || planted(Defect::LeavesWithoutHandover) {
            return;
        }
        self.leave_due = now + LEAVE_INTERVAL;
        let (state, counted) = (self.member_state(0), self.counted);
        for at in self.others() {
            self.send(at, Message::Departure { state: Box::new(state), counted, leaving: true });
            self.repair(now, at);
        }
    }

    pub(crate) fn receive_departure(&mut self, now: Duration, from: SocketAddr, counted: u64, leaving: bool) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.counted = counted.max(peer.counted);
        if leaving {
            (peer.join_at, peer.leaving) = (None, true);
            self.send_state(from, 0);
            self.consider_voters(now);
        }
    }

    /// After `leave`: whether the others hold all that this member held, and its voter is given away if it can be.
    /// Not known for ever if others are down: the caller ends after a time in any case.
    pub fn may_exit(&self, now: Duration) -> bool {
        let Some(tables) = self.tables.as_ref().filter(|tables| tables.base.epoch > 0) else { return true };
        if !self.leaving || planted(Defect::LeavesWithoutHandover) {
            return self.leaving;
        }
        if tables.next.is_some() || self.incoming.is_some() {
            return false;
        }
        let (base, me) = (&tables.base, self.setup.me);
        let counting = base.voters.iter().filter(|voter| voter.at != me && self.counts_now(now, voter.at));
        let copies = self.copies_but(now, base, me);
        if !self.is_voter() {
            return copies >= base.majority();
        }
        let counting = counting.count();
        let replaceable =
            base.voters.len().is_multiple_of(2) || self.joining_peer(now, base, Duration::ZERO).is_some();
        if replaceable && counting + 1 >= base.majority() {
            return false;
        }
        copies >= counting.min(base.majority())
    }

    /// Whether a voter said lately that it counts under the same table.
    fn counts_now(&self, now: Duration, at: SocketAddr) -> bool {
        if at == self.setup.me {
            return self.is_voting();
        }
        self.peers.get(&at).is_some_and(|peer| {
            let fresh = peer.state_at.is_some_and(|at| now <= at + STATE_FRESH);
            fresh && peer.state.counts && peer.state.mark.epoch == self.mark().epoch
        })
    }

    /// How many voters of the table, without one, have the newest configuration this member knows on their disks.
    fn copies_but(&self, now: Duration, base: &VoterTable, but: SocketAddr) -> usize {
        let newest = self.register.committed_version();
        let newest = if self.leaving { newest.max(self.register.held_version()) } else { newest };
        let saved = |at: SocketAddr| match self.peers.get(&at) {
            Some(peer) if at != self.setup.me => peer.state.saved,
            _ => self.register.saved,
        };
        (base.voters.iter())
            .filter(|voter| voter.at != but && self.counts_now(now, voter.at) && saved(voter.at) >= newest)
            .count()
    }

    /// Counted, not assumed: how many voters were heard to have the newest chosen configuration on their disks.
    pub fn copies(&self, now: Duration) -> usize {
        let Some(tables) = self.tables.as_ref() else { return 0 };
        let nobody = SocketAddr::from(([0, 0, 0, 0], 0));
        self.copies_but(now, &tables.base, nobody)
    }

    /// One that is no voter and asks to become one, for so long.
    fn joining_peer(&self, now: Duration, base: &VoterTable, since: Duration) -> Option<SocketAddr> {
        let fresh = |peer: &crate::Peer| peer.join_at.is_some_and(|at| now <= at + JOIN_FRESH);
        (self.peers.iter())
            .filter(|(at, peer)| base.voter(**at).is_none() && !peer.leaving && fresh(peer))
            .find(|(_, peer)| now >= peer.join_since + since)
            .map(|(at, _)| *at)
    }

    /// Whether a voter other than this one is up but still reads what it lost or never had.
    fn another_joins(&self, now: Duration, base: &VoterTable, but: SocketAddr) -> bool {
        let joins = |peer: &crate::Peer| {
            let fresh = peer.join_at.is_some_and(|at| now <= at + JOIN_FRESH);
            fresh && !peer.state.counts && now < self.epoch_since + JOIN_PATIENCE
        };
        !planted(Defect::ChangesWhileAVoterJoins)
            && (base.voters.iter())
                .filter(|voter| voter.at != but)
                .any(|voter| self.peers.get(&voter.at).is_some_and(joins))
    }

    /// One that was frozen or cut off hears all that are up again first, before it calls any of them silent.
    fn long_in_touch(&self, now: Duration) -> bool {
        now >= self.in_touch_since + SILENT_AFTER / 2
    }

    /// A voter that is gone, or else one that leaves by plan.
    fn departing_voter(&self, now: Duration, base: &VoterTable) -> Option<usize> {
        let silent = |voter: &Voter| {
            let heard = self.peers.get(&voter.at).and_then(|peer| peer.heard).unwrap_or_default();
            let patience = if self.is_leaving(voter.at) { GONE_AFTER } else { SILENT_AFTER };
            voter.at != self.setup.me && now >= heard.max(self.started) + patience
        };
        let settled_in = self.long_in_touch(now);
        let gone = base.voters.iter().position(silent).filter(|_| settled_in);
        gone.or_else(|| base.voters.iter().position(|voter| self.is_leaving(voter.at)))
    }

    fn note_proposed(&mut self, epoch: u64, at: SocketAddr) {
        let Some(incarnation) = self.peers.get(&at).map(|peer| peer.incarnation) else { return };
        self.proposed = Some((epoch, at, incarnation));
        self.send(at, Message::Seated { epoch, at, incarnation });
    }

    /// The lease's holder gives away the voter of a member that is silent or leaves, or adds one.
    pub(crate) fn consider_voters(&mut self, now: Duration) {
        let Some(number) = self.lease_number(now).filter(|number| *number >= self.lease.number) else {
            return;
        };
        let Some(tables) = self.tables.as_ref().filter(|tables| tables.next.is_none()) else { return };
        if self.incoming.is_some() || self.is_bootstrapping() {
            return;
        }
        let base = tables.base.clone();
        let departing = self.departing_voter(now, &base);
        let but = departing.map_or(self.setup.me, |index| base.voters[index].at);
        // One that leaves won't wait, and the new voter may read from it.
        if !self.is_leaving(but) && self.another_joins(now, &base, but) {
            return;
        }
        let mut voters = base.voters.clone();
        let epoch = base.epoch + 1;
        if let Some(index) = departing {
            // The new voter reads before it counts: then a majority has the newest, without the one that goes.
            if self.copies_but(now, &base, but) + 1 < base.majority() {
                return;
            }
            match self.joining_peer(now, &base, Duration::ZERO) {
                Some(at) => {
                    self.note_proposed(epoch, at);
                    voters[index] = Voter { at, since: epoch };
                }
                // Of an even number, one fewer bears as many losses.
                None if voters.len().is_multiple_of(2) => drop(voters.remove(index)),
                None => return,
            }
        } else {
            if voters.len() >= MAX_VOTERS || !self.long_in_touch(now) {
                return;
            }
            let Some(at) = self.joining_peer(now, &base, ADD_VOTER_AFTER) else { return };
            self.note_proposed(epoch, at);
            voters.push(Voter { at, since: epoch });
        }
        self.install_tables(VoterTables { base, next: Some(VoterTable { epoch, number, voters }) });
    }
}
