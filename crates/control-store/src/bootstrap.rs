//! Bootstrapping a system: table 0 contains the seeds, and the first real table is agreed on among them.
//!
//! All processes of a first start are configured with the same seeds, so table 0 needs no agreement: every
//! process with an empty disk and `initial_boot` set writes it down, seed or not, which later proves that it
//! lost no state. What follows is a table change as in `voters`, with epoch 0 as its base: a lease granted by
//! a majority of the seeds is the promise, its holder proposes, the table accepted by a majority is settled,
//! and a later holder completes what may have been accepted. Under table 0 nothing else happens: no
//! configurations are accepted, and no lease is announced.
//!
//! Two different tables 1 would need two majorities of one set of seeds, and a member that lost its disk is
//! in neither.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::defects::{injected, Defect};
use crate::voters::{Voter, VoterTable, VoterTables, MAX_VOTERS};
use crate::{digest, ControlStore, Version};

/// Bootstrapping waits at least this long from the proposer's start, and this long after the last new member.
/// Agreement itself takes another 70 ms, so that all is done 1.2 s after the start.
const BOOTSTRAP_AFTER: Duration = Duration::from_millis(1130);
const BOOTSTRAP_QUIET: Duration = Duration::from_millis(630);
/// Seeds request the bootstrap lease in the order of their addresses, at this interval.
const SEED_INTERVAL: Duration = Duration::from_millis(250);

impl VoterTable {
    /// Half of the seeds is enough if the lowest seed is among them, so that of two seeds one may be down.
    /// Any two such sets intersect.
    pub(crate) fn bootstrap_quorum(&self, has: impl Fn(SocketAddr) -> bool) -> bool {
        let count = self.voters.iter().filter(|voter| has(voter.at)).count();
        if injected(Defect::BootstrapsWithoutMajority) && self.epoch == 0 {
            return true;
        }
        self.epoch == 0
            && count * 2 == self.voters.len()
            && self.voters.first().is_some_and(|voter| has(voter.at))
    }

    /// Separates the lease numbers of members that were configured with different seeds.
    pub(crate) fn seeds_digest(&self) -> u64 {
        let members: Vec<String> = self.voters.iter().map(|voter| voter.at.to_string()).collect();
        digest(members.join(" ").as_bytes())
    }
}

impl ControlStore {
    /// Whether this member is still in table 0, before a system exists.
    pub(crate) fn is_bootstrapping(&self) -> bool {
        self.tables.as_ref().is_some_and(|tables| tables.base.epoch == 0)
    }

    /// Table 0, if this member may write it: never after a loss of its disk.
    pub(crate) fn seeds_table(&self) -> Option<VoterTables> {
        let me = self.settings.me;
        let mut seeds: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        if seeds.is_empty() {
            seeds.insert(me);
        }
        let voters = seeds.into_iter().take(MAX_VOTERS).map(|at| Voter { at, since: 0 }).collect();
        let base = VoterTable { epoch: 0, number: 0, voters };
        let untouched = self.register.saved == Version::NONE && self.lease.on_disk == 0;
        let fresh = self.tables.is_none() && self.incoming.is_none() && untouched;
        let allowed = fresh && (self.settings.initial || injected(Defect::BootstrapsAfterDiskLoss));
        allowed.then_some(VoterTables { base, next: None })
    }

    /// The delay after becoming ready before this member requests the bootstrap lease.
    pub(crate) fn bootstrap_delay(&self) -> Duration {
        let Some(tables) = self.tables.as_ref().filter(|tables| tables.base.epoch == 0) else {
            return Duration::ZERO;
        };
        let index = tables.base.voters.iter().position(|voter| voter.at == self.settings.me);
        SEED_INTERVAL * index.unwrap_or_default() as u32
    }

    /// The lease number under which this member may propose table 1.
    pub(crate) fn may_bootstrap(&self, now: Duration) -> Option<u64> {
        let unproposed =
            self.tables.as_ref().is_some_and(|tables| tables.base.epoch == 0 && tables.next.is_none());
        let number = self.lease_held(now).filter(|_| unproposed && self.incoming.is_none())?;
        (number >= self.lease.number).then_some(number)
    }

    pub(crate) fn bootstrap_due(&self) -> Duration {
        (self.started + BOOTSTRAP_AFTER).max(self.newest_member_at + BOOTSTRAP_QUIET)
    }

    /// The holder of the bootstrap lease proposes the members that have contacted it, seeds first.
    pub(crate) fn bootstrap(&mut self, now: Duration) {
        if let Some(table) = self.seeds_table() {
            self.wrote_seed_table = true;
            return self.install_tables(table);
        }
        let Some(number) = self.may_bootstrap(now).filter(|_| now >= self.bootstrap_due()) else { return };
        let Some(tables) = &self.tables else { return };
        let base = tables.base.clone();
        let seed = |at: &SocketAddr| base.voter(*at).is_some();
        // Only members whose vote is active at once: with too many that lost state, none could read the state
        // back.
        let mut members = vec![self.settings.me];
        let eligible =
            |at: &SocketAddr, peer: &crate::Peer| peer.first_start || seed(at) && peer.state.counts;
        members.extend(self.peers.iter().filter(|(at, peer)| eligible(at, peer)).map(|(at, _)| *at));
        members.sort_by_key(|at| (!seed(at), *at));
        members.truncate(MAX_VOTERS);
        let voters = members.into_iter().map(|at| Voter { at, since: 1 }).collect();
        self.install_tables(VoterTables { base, next: Some(VoterTable { epoch: 1, number, voters }) });
    }

    /// Leaves table 0 for the first real table: earlier grants and lease messages become invalid. The
    /// proposer requests the lease first.
    pub(crate) fn bootstrapped(&mut self, now: Duration) {
        let delay =
            if self.lease.has_round() { Duration::ZERO } else { SEED_INTERVAL + self.random_delay(250) };
        self.lease.forget();
        self.lease.try_at = now + delay;
        self.ready = false;
        self.ready_goal = None;
        self.broadcast = true;
    }
}
