//! The table of voters and how it changes. (The first table: `bootstrap`.)
//!
//! A table change is agreed on as a value in single-decree Paxos: one instance for each epoch, the acceptors
//! are the voters of the previous epoch, and the ballot is the lease number (whose grant is the promise). A
//! table is `next` at a member that accepted it, and becomes `base` when it is known that a majority of the
//! old voters accepted it. While a member has a `next`, it does not count any configuration as chosen, and
//! counts a lease only with majorities of both tables. Source: Lamport, "Paxos Made Simple" (2001); joint
//! majorities as in Ongaro, "Consensus" (2014), 4.3.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::defects::{injected, Defect};
use crate::lease::LEASE_TERM;
use crate::register::STATE_VALID_FOR;
use crate::{ControlStore, Message, Stored, JOIN_INTERVAL};

/// The maximum number of voters: DEPLOY.md describes cores of 3 to 9 machines.
pub const MAX_VOTERS: usize = 9;
/// A voter silent for this long is replaced by an observer that sent Join within `JOIN_VALID_FOR`.
const SILENT_AFTER: Duration = Duration::from_millis(2500);
const JOIN_VALID_FOR: Duration = Duration::from_millis(1000);
/// A voter that announced that it leaves is considered gone after this silence.
const LEAVING_SILENT_AFTER: Duration = Duration::from_millis(500);
/// The next change waits at most this long for a voter that is still reading.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);
/// How often a leaving member notifies the others until its process exits.
const LEAVE_INTERVAL: Duration = Duration::from_millis(100);
/// An observer becomes an additional voter after this time.
const ADD_VOTER_AFTER: Duration = Duration::from_secs(10);
/// A member whose disk was lost sends its read after this time (`lost_disk`): by then no member counts what
/// it reported before (`register::STATE_VALID_FOR`).
const LOST_DISK_WAIT: Duration = Duration::from_millis(2000);
/// Minimum interval between sends of the same table to the same member.
const TABLE_RESEND_AFTER: Duration = Duration::from_millis(150);
pub(crate) const DISK_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A voter, and the epoch since which it has been one without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    pub at: SocketAddr,
    pub since: u64,
}

/// One table of voting members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterTable {
    pub epoch: u64,
    /// The number of the lease under which it was proposed; 0 for table 0.
    pub number: u64,
    pub voters: Vec<Voter>,
}

impl VoterTable {
    pub fn majority(&self) -> usize {
        if injected(Defect::HalfIsQuorum) {
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

/// The settled table, and the one accepted for the next epoch, if any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterTables {
    pub base: VoterTable,
    pub next: Option<VoterTable>,
}

/// The version of a member's tables, in the order in which they supersede each other. The number is that of
/// `next`, or 0: a settled table is the same everywhere, whatever ballot settled it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    pub epoch: u64,
    pub number: u64,
}

impl VoterTables {
    pub fn table_version(&self) -> TableVersion {
        TableVersion { epoch: self.base.epoch, number: self.next.as_ref().map_or(0, |next| next.number) }
    }

    /// Whether a member can have produced it: tables from the network or the disk may be arbitrary.
    pub fn is_well_formed(&self) -> bool {
        let valid =
            |voters: &VoterTable| (1..=MAX_VOTERS).contains(&voters.voters.len()) && voters.epoch < u64::MAX;
        let next = |next: &VoterTable| valid(next) && next.epoch == self.base.epoch + 1 && next.number > 0;
        valid(&self.base) && self.next.as_ref().is_none_or(next)
    }
}

impl ControlStore {
    pub(crate) fn table_version(&self) -> TableVersion {
        self.tables.as_ref().map_or(TableVersion::default(), VoterTables::table_version)
    }

    /// Whether this member votes, acknowledges and serves configurations.
    pub(crate) fn is_voting(&self) -> bool {
        self.voting && self.is_voter()
    }

    /// Whether this member is in the voter table.
    pub fn is_voter(&self) -> bool {
        self.tables.as_ref().is_some_and(|tables| tables.base.voter(self.settings.me).is_some())
    }

    /// Whether this member is a voter whose vote is not active yet: its disk was empty when it became a
    /// voter, or when it started.
    pub(crate) fn joining(&self) -> bool {
        self.is_voter() && !self.voting
    }

    /// All voters, including this member if it is one.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.tables
            .as_ref()
            .filter(|tables| tables.base.epoch > 0)
            .map_or(Vec::new(), |tables| tables.base.voters.iter().map(|voter| voter.at).collect())
    }

    /// All current and proposed voters except this member.
    pub(crate) fn others(&self) -> Vec<SocketAddr> {
        let Some(tables) = &self.tables else { return Vec::new() };
        let mut all: Vec<SocketAddr> = tables.base.voters.iter().map(|voter| voter.at).collect();
        for voter in tables.next.iter().flat_map(|next| &next.voters) {
            if !all.contains(&voter.at) {
                all.push(voter.at);
            }
        }
        all.retain(|at| *at != self.settings.me);
        all
    }

    /// Sends Join to all known members and seeds while this member has no active vote.
    pub(crate) fn send_join(&mut self, now: Duration) {
        if self.leaving || self.voting && !self.is_bootstrapping() {
            return;
        }
        let mut to = self.others();
        for at in &self.settings.seeds {
            if *at != self.settings.me && !to.contains(at) {
                to.push(*at);
            }
        }
        for at in to {
            let first = self.is_bootstrapping() || (self.tables.is_none() && self.settings.initial);
            self.send(
                at,
                if first {
                    Message::JoinFirstStart
                } else {
                    Message::Join { table_version: self.table_version() }
                },
            );
            if self.counted > 0 && !self.is_voter() {
                let (state, counted) = (self.member_state(0), self.counted);
                self.send(at, Message::Departure { state: Box::new(state), counted, leaving: false });
            }
        }
        let frequent = self.tables.is_none() || self.joining() || self.is_bootstrapping();
        let pause = if frequent { JOIN_INTERVAL } else { JOIN_INTERVAL * 2 };
        self.join_due = now + pause;
    }

    pub(crate) fn receive_join(
        &mut self,
        now: Duration,
        from: SocketAddr,
        table_version: TableVersion,
        first: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if peer.join_at.is_none_or(|at| now > at + JOIN_VALID_FOR) {
            peer.join_since = now;
        }
        if peer.join_at.is_none() {
            self.newest_member_at = now;
        }
        peer.join_at = Some(now);
        peer.first_start |= first;
        if self.tables.is_some() {
            self.send_state(from, 0);
            if table_version < self.table_version() {
                self.send_table(now, from);
            }
        }
        if let Some((epoch, at, incarnation)) = self.proposed.filter(|(_, at, _)| *at == from) {
            self.send(from, Message::Seated { epoch, at, incarnation });
        }
    }

    /// A new voter that was known before the table was settled cannot have voted under it in an earlier
    /// incarnation.
    pub(crate) fn receive_seated(&mut self, epoch: u64, at: SocketAddr, incarnation: u64) {
        if at != self.settings.me {
            if self.proposed.is_none_or(|(before, ..)| before < epoch) {
                self.proposed = Some((epoch, at, incarnation));
            }
            return;
        }
        if incarnation != self.settings.incarnation || self.joined_epoch >= Some(epoch) {
            return;
        }
        self.joined_epoch = Some(epoch);
        if self.joining() && self.table_version().epoch == epoch {
            self.lost_disk_wait_until = None;
        }
    }

    pub(crate) fn send_table(&mut self, now: Duration, to: SocketAddr) {
        let Some(tables) = self.tables.clone() else { return };
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let table_version = tables.table_version();
        if peer.table_sent.is_none_or(|(at, sent)| sent != table_version || now >= at + TABLE_RESEND_AFTER) {
            peer.table_sent = Some((now, table_version));
            let new_voter = self
                .proposed
                .filter(|(epoch, ..)| tables.next.is_some() && *epoch == table_version.epoch + 1);
            let what = match new_voter {
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
        // A settled table may be accepted from any member.
        if tables.base.epoch > self.table_version().epoch {
            if self.incoming.as_ref().is_none_or(|incoming| incoming.1.base.epoch < tables.base.epoch) {
                self.install_tables(VoterTables { base: tables.base.clone(), next: None });
            }
            return;
        }
        // An accepted but unsettled table may be accepted unless a higher number was promised.
        let Some(mine) = self.tables.as_ref().filter(|mine| mine.base.epoch == tables.base.epoch) else {
            return self.send_table(now, from);
        };
        // A table 0 of other seeds belongs to another system: the two never bootstrap together.
        if mine.base.epoch == 0 && mine.base != tables.base {
            return;
        }
        let Some(next) = tables.next else { return };
        let newer = mine.next.as_ref().is_none_or(|held| next.number > held.number);
        let promised = if injected(Defect::AcceptsTableBelowPromise) { 0 } else { self.lease.number };
        if newer && next.number >= promised && self.incoming.is_none() && self.is_voting() {
            let base = mine.base.clone();
            self.lease.number = self.lease.number.max(next.number);
            self.install_tables(VoterTables { base, next: Some(next) });
        }
    }

    /// Makes these the tables of this member: a voting member stores them first.
    pub(crate) fn install_tables(&mut self, tables: VoterTables) {
        let me = self.settings.me;
        let first = self.tables.is_none();
        if first && tables.base.epoch == 0 {
            // Stored before any message is sent under it.
            let token = self.store(Stored::Voters(tables.clone()));
            self.incoming = Some((token, tables));
            return;
        }
        let Some(voter) = tables.base.voter(me).copied() else {
            // No longer a voter: its vote is inactive from now on, whatever happens to the disk write.
            if self.is_voting() {
                self.counted = self.table_version().epoch;
            }
            let had_voter = self.on_disk.take().is_some();
            self.voting = false;
            self.lost_disk_wait_until = None;
            self.incoming = None;
            self.release_lease();
            if self.is_bootstrapping() {
                self.bootstrapped(self.now);
            }
            if had_voter {
                self.store(Stored::Voters(tables.clone()));
            }
            self.tables = Some(tables);
            return;
        };
        // A member that took part in bootstrapping, or restarted with table 0, has kept all its earlier
        // statements. A seed that wrote table 0 just now may have lost its state, if its settings are wrong:
        // it reads from others.
        let unproposed_seed = |mine: &VoterTables| mine.next.is_none() && mine.base.voter(me).is_some();
        let took_part = !self.wrote_seed_table || !self.tables.as_ref().is_some_and(unproposed_seed);
        let retained = self
            .on_disk
            .is_some_and(|epoch| voter.since <= epoch || (epoch == 0 && took_part && voter.since == 1));
        let first_start = first && !self.wrote_seed_table && tables.base.epoch == 1 && self.settings.initial;
        if retained || first_start || injected(Defect::CountsWithEmptyDisk) {
            let token = self.store(Stored::Voters(tables.clone()));
            self.incoming = Some((token, tables));
        } else {
            if self.joined_epoch != Some(voter.since) && !self.is_bootstrapping() {
                // As far as it knows, it was a voter before and its disk was lost.
                self.lost_disk_wait_until = Some(self.started + LOST_DISK_WAIT);
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
            self.disk_retry_at = Some(now + DISK_RETRY_AFTER);
            return true;
        }
        let epoch = tables.base.epoch;
        let new = self.on_disk.is_none_or(|before| before < epoch) && !self.voting;
        let ends_bootstrap = self.is_bootstrapping() && epoch > 0;
        if new {
            // Its own grants from an earlier incarnation, and grants by others that it has read, have expired
            // by then.
            let first_start = epoch <= 1 && self.settings.initial;
            self.lease.grants_from = if first_start { now } else { now + LEASE_TERM.mul_f64(1.1) };
            self.lease.try_at = now + self.random_delay(250);
        }
        if epoch > self.table_version().epoch {
            self.epoch_since = now;
        }
        let first = self.tables.is_none();
        self.on_disk = Some(epoch);
        self.voting = true;
        let proposed = tables.next.as_ref().is_some_and(|next| self.lease.is_own_round(next.number));
        self.tables = Some(tables);
        if ends_bootstrap {
            self.bootstrapped(now);
        }
        if first || proposed {
            for to in self.others() {
                self.send_table(now, to);
            }
        }
        if proposed {
            self.send_lease_requests(now);
        }
        true
    }

    /// Retries a failed disk write.
    pub(crate) fn retry_table_store(&mut self) {
        if let Some((0, tables)) = self.incoming.take() {
            let token = self.store(Stored::Voters(tables.clone()));
            self.incoming = Some((token, tables));
        }
    }

    /// A table accepted by a majority of the old voters is settled. The replaced voter accepts as well: it
    /// may be the only one left besides the proposer, and the new voter may read from it (`retired_voters`).
    pub(crate) fn commit_table(&mut self, now: Duration) {
        let Some(tables) = &self.tables else { return };
        let Some(next) = tables.next.as_ref().filter(|_| self.is_voting() && self.incoming.is_none()) else {
            return;
        };
        let table_version = tables.table_version();
        let accepted = |at: SocketAddr| {
            let reported =
                |peer: &crate::Peer| peer.state.counts && peer.state.table_version == table_version;
            at == self.settings.me || self.peers.get(&at).is_some_and(reported)
        };
        let alone = injected(Defect::BootstrapsWithoutMajority) && self.is_bootstrapping();
        if alone || tables.base.has_quorum(accepted) {
            let next = next.clone();
            let to = self.others();
            self.install_tables(VoterTables { base: next, next: None });
            // Settled, whether or not it is on this disk.
            if let Some((_, settled)) =
                self.incoming.clone().or(self.tables.clone().map(|tables| (0, tables)))
            {
                for at in to {
                    self.send(at, Message::Table(settled.clone()));
                    if let Some(peer) = self.peers.get_mut(&at) {
                        peer.table_sent = Some((now, settled.table_version()));
                    }
                }
            }
        }
    }

    /// A member without state reads it from enough of the others to intersect every majority: one of N has
    /// lost it, so N - majority + 1.
    pub(crate) fn catch_up(&mut self, now: Duration) {
        if !self.joining()
            || self.incoming.is_some()
            || self.lost_disk_wait_until.is_some_and(|until| now < until)
        {
            return;
        }
        let Some(tables) = self.tables.clone().filter(|tables| tables.next.is_none()) else { return };
        let table_version = tables.table_version();
        let read: Vec<&crate::Peer> = (tables.base.voters.iter())
            .filter(|voter| voter.at != self.settings.me)
            .filter(|voter| self.may_read(voter.at))
            .filter_map(|voter| self.peers.get(&voter.at))
            .filter(|peer| peer.state.counts && peer.state.table_version == table_version)
            .chain(
                self.retired_voters(&tables.base).filter(|_| self.joined_epoch == Some(table_version.epoch)),
            )
            .collect();
        let unread = if injected(Defect::JoinsAfterTooFewReads) { 1 } else { 0 };
        if read.len() + unread < tables.base.voters.len() - tables.base.majority() + 1 {
            return;
        }
        let newest = read.iter().map(|peer| peer.state.saved).max().unwrap_or_default();
        let promised = read.iter().map(|peer| peer.state.promised).max().unwrap_or_default();
        let number = read.iter().map(|peer| peer.state.number).max().unwrap_or_default();
        if !self.has_caught_up(newest, promised) && !injected(Defect::CountsBeforeCatchUp) {
            return; // It is still being fetched or stored.
        }
        if self.lease.on_disk < number {
            self.lease.number = self.lease.number.max(number);
            if now >= self.lease.disk_retry_at {
                self.store_number();
            }
            return;
        }
        let token = self.store(Stored::Voters(tables.clone()));
        self.incoming = Some((token, tables));
    }

    /// Members replaced as voters by the change that produced `base`. Until such a process exits it has all
    /// the state it voted with, so a new voter may read from it as from active voters.
    fn retired_voters(&self, base: &VoterTable) -> impl Iterator<Item = &crate::Peer> {
        let (epoch, voters) = (base.epoch, base.voters.clone());
        (self.peers.iter()).filter(move |(at, _)| voters.iter().all(|voter| voter.at != **at)).filter_map(
            move |(at, peer)| {
                let retired = peer.counted > 0 && peer.counted + 1 == epoch;
                let settled = peer.state.table_version.epoch == epoch;
                let readable = self.may_read(*at);
                (retired && settled && readable).then_some(peer)
            },
        )
    }

    pub(crate) fn is_leaving(&self, at: SocketAddr) -> bool {
        if at == self.settings.me {
            return self.leaving;
        }
        self.peers.get(&at).is_some_and(|peer| peer.leaving)
    }

    /// Notifies the others that this member leaves.
    pub(crate) fn step_leave(&mut self, now: Duration) {
        if !self.leaving {
            return;
        }
        let proposing = self.incoming.is_some() || self.tables.as_ref().is_some_and(|t| t.next.is_some());
        if !proposing {
            self.release_lease();
        }
        if now < self.leave_due || injected(Defect::LeavesWithoutHandover) {
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

    /// After `leave`: whether the others have all state of this member, and it has been replaced as a voter
    /// if possible. May never become true if others are down, so the caller exits after a timeout in any
    /// case.
    pub fn may_exit(&self, now: Duration) -> bool {
        let Some(tables) = self.tables.as_ref().filter(|tables| tables.base.epoch > 0) else { return true };
        if !self.leaving || injected(Defect::LeavesWithoutHandover) {
            return self.leaving;
        }
        if tables.next.is_some() || self.incoming.is_some() {
            return false;
        }
        let (base, me) = (&tables.base, self.settings.me);
        let counting = base.voters.iter().filter(|voter| voter.at != me && self.counts_now(now, voter.at));
        let copies = self.copies_excluding(now, base, me);
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

    /// Whether a voter recently reported an active vote under the same epoch.
    fn counts_now(&self, now: Duration, at: SocketAddr) -> bool {
        if at == self.settings.me {
            return self.is_voting();
        }
        self.peers.get(&at).is_some_and(|peer| {
            let recent = peer.state_at.is_some_and(|at| now <= at + STATE_VALID_FOR);
            recent && peer.state.counts && peer.state.table_version.epoch == self.table_version().epoch
        })
    }

    /// How many voters of the table, apart from `excluded`, have on disk the newest configuration this member
    /// knows.
    fn copies_excluding(&self, now: Duration, base: &VoterTable, excluded: SocketAddr) -> usize {
        let newest = self.register.committed_version();
        let newest = if self.leaving { newest.max(self.register.held_version()) } else { newest };
        let saved = |at: SocketAddr| match self.peers.get(&at) {
            Some(peer) if at != self.settings.me => peer.state.saved,
            _ => self.register.saved,
        };
        (base.voters.iter())
            .filter(|voter| {
                voter.at != excluded && self.counts_now(now, voter.at) && saved(voter.at) >= newest
            })
            .count()
    }

    /// The number of voters that have reported the newest chosen configuration as saved on disk.
    pub fn copies(&self, now: Duration) -> usize {
        let Some(tables) = self.tables.as_ref() else { return 0 };
        let unused = SocketAddr::from(([0, 0, 0, 0], 0));
        self.copies_excluding(now, &tables.base, unused)
    }

    /// A member that is not a voter and has requested to become one for at least `since`.
    fn joining_peer(&self, now: Duration, base: &VoterTable, since: Duration) -> Option<SocketAddr> {
        let recent = |peer: &crate::Peer| peer.join_at.is_some_and(|at| now <= at + JOIN_VALID_FOR);
        (self.peers.iter())
            .filter(|(at, peer)| base.voter(**at).is_none() && !peer.leaving && recent(peer))
            .find(|(_, peer)| now >= peer.join_since + since)
            .map(|(at, _)| *at)
    }

    /// Whether another voter is up but still reads state that it lost or never had.
    fn another_voter_joins(&self, now: Duration, base: &VoterTable, excluded: SocketAddr) -> bool {
        let joins = |peer: &crate::Peer| {
            let recent = peer.join_at.is_some_and(|at| now <= at + JOIN_VALID_FOR);
            recent && !peer.state.counts && now < self.epoch_since + JOIN_TIMEOUT
        };
        !injected(Defect::ChangesTableWhileVoterJoins)
            && (base.voters.iter())
                .filter(|voter| voter.at != excluded)
                .any(|voter| self.peers.get(&voter.at).is_some_and(joins))
    }

    /// A member that was frozen or cut off first needs time to receive from all members that are up, before
    /// it considers any of them silent.
    fn long_in_touch(&self, now: Duration) -> bool {
        now >= self.in_touch_since + SILENT_AFTER / 2
    }

    /// A voter that is gone, or otherwise one that announced its departure.
    fn departing_voter(&self, now: Duration, base: &VoterTable) -> Option<usize> {
        let silent = |voter: &Voter| {
            let received_at = self.peers.get(&voter.at).and_then(|peer| peer.received_at).unwrap_or_default();
            let timeout = if self.is_leaving(voter.at) { LEAVING_SILENT_AFTER } else { SILENT_AFTER };
            voter.at != self.settings.me && now >= received_at.max(self.started) + timeout
        };
        let can_judge_silence = self.long_in_touch(now);
        let gone = base.voters.iter().position(silent).filter(|_| can_judge_silence);
        gone.or_else(|| base.voters.iter().position(|voter| self.is_leaving(voter.at)))
    }

    fn note_proposed(&mut self, epoch: u64, at: SocketAddr) {
        let Some(incarnation) = self.peers.get(&at).map(|peer| peer.incarnation) else { return };
        self.proposed = Some((epoch, at, incarnation));
        self.send(at, Message::Seated { epoch, at, incarnation });
    }

    /// The lease holder replaces a voter that is silent or leaving, or adds one.
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
        let excluded = departing.map_or(self.settings.me, |index| base.voters[index].at);
        // A leaving voter does not wait, and the new voter may read from it.
        if !self.is_leaving(excluded) && self.another_voter_joins(now, &base, excluded) {
            return;
        }
        let mut voters = base.voters.clone();
        let epoch = base.epoch + 1;
        if let Some(index) = departing {
            // The new voter reads before its vote is active: a majority must then have the newest
            // configuration without the departing voter.
            if self.copies_excluding(now, &base, excluded) + 1 < base.majority() {
                return;
            }
            match self.joining_peer(now, &base, Duration::ZERO) {
                Some(at) => {
                    self.note_proposed(epoch, at);
                    voters[index] = Voter { at, since: epoch };
                }
                // With an even number of voters, one fewer tolerates as many failures.
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
