//! Operators' calls: requests to replace the configuration, and to show the one in force.
//!
//! Each is answered only after a majority of the voters has replied for it, so a member that is cut off, or
//! resumes after a freeze, makes no statement.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::{Configuration, Version};
use super::proposer::{verdict, ReplaceRequest, Verdict};
use crate::defects::{injected, Defect};
use crate::{ControlStore, Message, Outcome, TableVersion};

/// Timeout of a call without replies from a majority: `ack_timeout_ms` is 6 s, and operators wait at least a
/// second.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(2500);
const READ_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a call waits for the remaining members after a majority has acknowledged.
const STRAGGLER_WAIT: Duration = Duration::from_millis(250);
/// A member silent for longer is not waited for. (Idle members exchange a message every 0.8 s.)
const STRAGGLER_SILENT_AFTER: Duration = Duration::from_millis(1000);
const STRAGGLER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often a read is sent again to members that have not replied.
const READ_RESEND_AFTER: Duration = Duration::from_millis(300);
/// A read that found a version not known to be chosen gives its proposer this long to finish.
const UNSETTLED_WAIT: Duration = Duration::from_millis(150);
const MAX_CALLS: usize = 256;
/// Limit for the texts of waiting requests; a single one may be longer.
const MAX_WAITING_BYTES: usize = 32 << 20;
const RETRY_AFTER_MS: u32 = 300;

pub(crate) enum Kind {
    Replace {
        configuration: Configuration,
        /// When it became known to be chosen, and under which version.
        chosen: Option<(Duration, Version)>,
    },
    Show {
        /// The highest version that a member has on disk.
        highest_saved: Version,
        /// Since when a majority has replied while it is unknown whether `highest_saved` is chosen.
        unsettled_since: Option<Duration>,
    },
}

pub(crate) struct Call {
    id: u64,
    received_at: Duration,
    deadline: Duration,
    /// The number of its read.
    read_number: u64,
    requested_at: Option<Duration>,
    /// The table whose majority must reply, and the members that have replied.
    table: TableVersion,
    replied: BTreeSet<SocketAddr>,
    pub kind: Kind,
}

impl Call {
    fn request(&self) -> Option<ReplaceRequest> {
        match &self.kind {
            Kind::Replace { configuration, .. } => {
                Some(ReplaceRequest { revision: configuration.revision, digest: configuration.digest })
            }
            Kind::Show { .. } => None,
        }
    }
}

impl ControlStore {
    /// Handles an operator's request to replace the configuration; `text` is valid. Answered once, with
    /// `Acknowledged`, `Superseded`, `Conflict`, `Unavailable` or `Redirect`.
    pub fn replace(&mut self, now: Duration, call: u64, revision: u64, text: impl Into<Arc<[u8]>>) {
        self.advance(now);
        if !self.can_accept_call(call) {
            return;
        }
        let configuration = Configuration::new(revision, text);
        if !self.fits_waiting_limit(&configuration) {
            return self.answer(call, Outcome::Unavailable { retry_after_ms: RETRY_AFTER_MS });
        }
        self.open_call(now, call, REPLACE_TIMEOUT, Kind::Replace { configuration, chosen: None });
        self.settle(now);
    }

    /// Reads the newest configuration from a majority. Answered once, with `Found`, `Empty`, `Unavailable` or
    /// `Redirect`.
    pub fn show(&mut self, now: Duration, call: u64) {
        self.advance(now);
        if !self.can_accept_call(call) {
            return;
        }
        if injected(Defect::ShowsLocalCopy) {
            let outcome = self.register.committed.clone().map_or(Outcome::Empty, Outcome::Found);
            return self.answer(call, outcome);
        }
        self.open_call(
            now,
            call,
            READ_TIMEOUT,
            Kind::Show { highest_saved: Version::NONE, unsettled_since: None },
        );
        self.settle(now);
    }

    fn open_call(&mut self, now: Duration, id: u64, timeout: Duration, kind: Kind) {
        let (read_number, table) = (self.next_read_number(), self.table_version());
        let call = Call {
            id,
            received_at: now,
            deadline: now + timeout,
            read_number,
            requested_at: None,
            table,
            replied: BTreeSet::new(),
            kind,
        };
        self.register.calls.push(call);
    }

    fn fits_waiting_limit(&self, configuration: &Configuration) -> bool {
        let waiting = self.register.calls.iter().map(|call| match &call.kind {
            Kind::Replace { configuration, .. } => configuration.text.len(),
            Kind::Show { .. } => 0,
        });
        let waiting: usize = waiting.sum();
        waiting == 0 || waiting + configuration.text.len() <= MAX_WAITING_BYTES
    }

    fn can_accept_call(&mut self, call: u64) -> bool {
        if !self.is_voting() {
            let counts = |at: &SocketAddr| self.peers.get(at).is_some_and(|peer| peer.state.counts);
            let to = self.others().into_iter().find(|at| !self.is_bootstrapping() && counts(at));
            let outcome =
                to.map_or(Outcome::Unavailable { retry_after_ms: RETRY_AFTER_MS }, Outcome::Redirect);
            self.answer(call, outcome);
            return false;
        }
        if !self.ready() || self.register.calls.len() >= MAX_CALLS {
            self.answer(call, Outcome::Unavailable { retry_after_ms: RETRY_AFTER_MS });
            return false;
        }
        true
    }

    pub(super) fn step_calls(&mut self, now: Duration) {
        let mut calls = std::mem::take(&mut self.register.calls);
        calls.retain_mut(|call| match self.step_call(now, call) {
            Some(outcome) => {
                self.answer(call.id, outcome);
                false
            }
            None => true,
        });
        self.register.calls = calls;
    }

    fn step_call(&mut self, now: Duration, call: &mut Call) -> Option<Outcome> {
        // Checked first: a process that was suspended must not answer from what it knew before.
        if now >= call.deadline {
            return Some(Outcome::Unavailable { retry_after_ms: RETRY_AFTER_MS });
        }
        match call.request() {
            Some(request) => self.step_replace(now, call, request),
            None => self.step_show(now, call),
        }
    }

    fn step_replace(&mut self, now: Duration, call: &mut Call, request: ReplaceRequest) -> Option<Outcome> {
        let committed = self.register.committed_version();
        let Kind::Replace { chosen, .. } = &mut call.kind else { return None };
        let result = verdict(committed, request);
        if result == Some(Verdict::Acknowledged) && chosen.is_none() {
            *chosen = Some((now, committed));
        }
        let (chosen, result) = (*chosen, result?);
        if !self.has_majority_replies(call) && !injected(Defect::ConfirmsWithoutMajority) {
            self.read_again(now, call);
            return None;
        }
        match (chosen, result) {
            (Some((since, version)), _) => {
                let done = now >= since + STRAGGLER_WAIT || self.all_have(now, version);
                done.then_some(Outcome::Acknowledged)
            }
            (None, Verdict::Conflict) => Some(Outcome::Conflict(committed)),
            (None, _) => Some(Outcome::Superseded(committed)),
        }
    }

    /// Whether all members that sent a message recently have this version, or a later one, on disk.
    fn all_have(&self, now: Duration, version: Version) -> bool {
        self.others().into_iter().all(|at| {
            self.peers.get(&at).is_none_or(|peer| {
                let unreachable =
                    peer.received_at.is_none_or(|received_at| now > received_at + STRAGGLER_SILENT_AFTER);
                unreachable || peer.state.saved >= version
            })
        })
    }

    fn step_show(&mut self, now: Duration, call: &mut Call) -> Option<Outcome> {
        if !self.has_majority_replies(call) {
            self.read_again(now, call);
            return None;
        }
        let (saved, committed) = (self.register.saved, self.register.committed_version());
        let Kind::Show { highest_saved, unsettled_since } = &mut call.kind else { return None };
        let highest_saved = (*highest_saved).max(saved);
        if highest_saved == Version::NONE {
            return Some(Outcome::Empty);
        }
        if committed >= highest_saved {
            return self.register.committed.clone().map(Outcome::Found);
        }
        unsettled_since.get_or_insert(now);
        None
    }

    fn has_majority_replies(&self, call: &Call) -> bool {
        let replied = |at: SocketAddr| {
            if at == self.settings.me {
                self.is_voting()
            } else {
                call.replied.contains(&at)
            }
        };
        call.table == self.table_version()
            && self
                .tables
                .as_ref()
                .is_some_and(|tables| tables.next.is_none() && tables.base.has_quorum(replied))
    }

    /// Allocates a read number: never used twice within an incarnation.
    pub(crate) fn next_read_number(&mut self) -> u64 {
        self.register.last_read_number += 1;
        self.register.last_read_number
    }

    /// Sends the read again to members that have not replied.
    fn read_again(&mut self, now: Duration, call: &mut Call) {
        let table = self.table_version();
        if call.table != table {
            call.table = table;
            call.replied.clear();
            call.requested_at = None;
        }
        if call.requested_at.is_some_and(|at| now < at + READ_RESEND_AFTER) {
            return;
        }
        call.requested_at = Some(now);
        for to in self.others().into_iter().filter(|at| !call.replied.contains(at)) {
            self.send(to, Message::ReadRequest { read_number: call.read_number });
        }
    }

    /// Handles a reply to the read of a call of this incarnation: numbers start over in each.
    pub(crate) fn receive_read_reply(&mut self, from: SocketAddr, state: &crate::MemberState) {
        if state.read_number == 0 || !state.counts || state.table_version != self.table_version() {
            return;
        }
        let mine =
            |call: &&mut Call| call.read_number == state.read_number && call.table == state.table_version;
        if let Some(call) = self.register.calls.iter_mut().find(mine) {
            call.replied.insert(from);
            if let Kind::Show { highest_saved, .. } = &mut call.kind {
                *highest_saved = (*highest_saved).max(state.saved);
            }
        }
    }

    /// A member has stored this one's proposal: that is a reply for all requests received before the
    /// proposal.
    pub(crate) fn receive_vote(&mut self, from: SocketAddr, state: &crate::MemberState) {
        let Some((proposed, at)) = self.register.rounds.proposed() else { return };
        if state.counts && state.table_version == self.table_version() && state.votes_for(proposed) {
            self.count_reply_for_calls(from, at);
        }
    }

    /// Counts a member's reply to a message sent at this time.
    pub(super) fn count_reply_for_calls(&mut self, from: SocketAddr, sent: Duration) {
        let table = self.table_version();
        for call in &mut self.register.calls {
            let request = matches!(call.kind, Kind::Replace { .. });
            if request && call.received_at <= sent && call.table == table {
                call.replied.insert(from);
            }
        }
    }

    /// Whether any call requires a round to start now.
    pub(super) fn wants_round_for_calls(&self, now: Duration) -> bool {
        self.next_round_due_for_calls().is_some_and(|due| now >= due)
    }

    pub(super) fn next_round_due_for_calls(&self) -> Option<Duration> {
        let committed = self.register.committed_version();
        let due = |call: &Call| match &call.kind {
            Kind::Replace { configuration, .. } => {
                (configuration.revision > committed.revision).then_some(call.received_at)
            }
            Kind::Show { unsettled_since, .. } => unsettled_since.map(|since| since + UNSETTLED_WAIT),
        };
        self.register.calls.iter().filter_map(due).min()
    }

    pub(super) fn has_open_read(&self) -> bool {
        self.register.calls.iter().any(|call| matches!(call.kind, Kind::Show { .. }))
    }

    /// When the calls must be checked again.
    pub(crate) fn next_call_due(&self) -> Option<Duration> {
        let due = |call: &Call| {
            let chosen_already = matches!(call.kind, Kind::Replace { chosen: Some(_), .. });
            let check_at = chosen_already.then(|| self.now + STRAGGLER_CHECK_INTERVAL);
            let read = call.requested_at.filter(|_| !self.has_majority_replies(call));
            let read = read.map(|at| at + READ_RESEND_AFTER);
            check_at.into_iter().chain(read).fold(call.deadline, Duration::min)
        };
        self.register.calls.iter().map(due).min()
    }
}
