//! Operators' calls: an order to put a configuration in force, and the question for the one in force.
//!
//! Each is answered only after a majority of the voters was heard for it, so a member that is cut off, or wakes
//! after a freeze, states nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::{Configuration, Version};
use super::proposer::{verdict, Order, Verdict};
use crate::planted::{planted, Defect};
use crate::{ControlStore, Message, Outcome, TableVersion};

/// A silent majority fails a call after this: `ack_timeout_ms` is 6 s, and operators wait a second or more.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(2500);
const READ_TIMEOUT: Duration = Duration::from_millis(2000);
/// So long a call waits for the rest of the members after a majority has acknowledged.
const STRAGGLER_WAIT: Duration = Duration::from_millis(250);
/// A member unheard for longer isn't waited for. (Two members hear each other every 0.8 s at rest.)
const STRAGGLER_HEARD: Duration = Duration::from_millis(1000);
const STRAGGLER_LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Who hasn't answered a read is asked again so often.
const READ_RESEND_AFTER: Duration = Duration::from_millis(300);
/// A read that found something not known to be chosen lets its proposer finish, so long.
const UNSETTLED_WAIT: Duration = Duration::from_millis(150);
const MAX_CALLS: usize = 256;
/// Texts of orders that wait; one alone may be longer.
const MAX_WAITING_BYTES: usize = 32 << 20;
const RETRY_AFTER_MS: u32 = 300;

pub(crate) enum Kind {
    Replace {
        configuration: Configuration,
        /// Since when, and under which version, it is known to be chosen.
        chosen: Option<(Duration, Version)>,
    },
    Show {
        /// The highest that a member has on disk.
        most: Version,
        /// A majority was heard, and it isn't known whether `most` is chosen.
        unsettled_since: Option<Duration>,
    },
}

pub(crate) struct Call {
    id: u64,
    came: Duration,
    until: Duration,
    /// The number of its read.
    ask: u64,
    asked_at: Option<Duration>,
    /// The voters among whom a majority is to be heard, and who was.
    table: TableVersion,
    heard: BTreeSet<SocketAddr>,
    pub kind: Kind,
}

impl Call {
    fn order(&self) -> Option<Order> {
        match &self.kind {
            Kind::Replace { configuration, .. } => {
                Some(Order { revision: configuration.revision, digest: configuration.digest })
            }
            Kind::Show { .. } => None,
        }
    }
}

impl ControlStore {
    /// The operator's order: `text` is valid. Answered once, with `Acknowledged`, `Superseded`, `Conflict`, `Unavailable`
    /// or `Redirect`.
    pub fn replace(&mut self, now: Duration, call: u64, revision: u64, text: impl Into<Arc<[u8]>>) {
        self.advance(now);
        if !self.can_take(call) {
            return;
        }
        let configuration = Configuration::new(revision, text);
        if !self.has_room_for(&configuration) {
            return self.answer(call, Outcome::Unavailable { retry_after_ms: RETRY_AFTER_MS });
        }
        self.open_call(now, call, REPLACE_TIMEOUT, Kind::Replace { configuration, chosen: None });
        self.settle(now);
    }

    /// The newest configuration, read at a majority. Answered once, with `Found`, `Empty`, `Unavailable` or `Redirect`.
    pub fn show(&mut self, now: Duration, call: u64) {
        self.advance(now);
        if !self.can_take(call) {
            return;
        }
        if planted(Defect::ShowsItsOwn) {
            let outcome = self.register.committed.clone().map_or(Outcome::Empty, Outcome::Found);
            return self.answer(call, outcome);
        }
        self.open_call(now, call, READ_TIMEOUT, Kind::Show { most: Version::NONE, unsettled_since: None });
        self.settle(now);
    }

    fn open_call(&mut self, now: Duration, id: u64, timeout: Duration, kind: Kind) {
        let (ask, table) = (self.next_ask(), self.mark());
        let call = Call {
            id,
            came: now,
            until: now + timeout,
            ask,
            asked_at: None,
            table,
            heard: BTreeSet::new(),
            kind,
        };
        self.register.calls.push(call);
    }

    fn has_room_for(&self, configuration: &Configuration) -> bool {
        let waiting = self.register.calls.iter().map(|call| match &call.kind {
            Kind::Replace { configuration, .. } => configuration.text.len(),
            Kind::Show { .. } => 0,
        });
        let waiting: usize = waiting.sum();
        waiting == 0 || waiting + configuration.text.len() <= MAX_WAITING_BYTES
    }

    fn can_take(&mut self, call: u64) -> bool {
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
        // First: a process that stood still answers nothing of what it knew before.
        if now >= call.until {
            return Some(Outcome::Unavailable { retry_after_ms: RETRY_AFTER_MS });
        }
        match call.order() {
            Some(order) => self.step_replace(now, call, order),
            None => self.step_show(now, call),
        }
    }

    fn step_replace(&mut self, now: Duration, call: &mut Call, order: Order) -> Option<Outcome> {
        let committed = self.register.committed_version();
        let Kind::Replace { chosen, .. } = &mut call.kind else { return None };
        let found = verdict(committed, order);
        if found == Some(Verdict::Acknowledged) && chosen.is_none() {
            *chosen = Some((now, committed));
        }
        let (chosen, found) = (*chosen, found?);
        if !self.has_heard_majority(call) && !planted(Defect::ConfirmsAlone) {
            self.read_again(now, call);
            return None;
        }
        match (chosen, found) {
            (Some((since, version)), _) => {
                let done = now >= since + STRAGGLER_WAIT || self.all_have(now, version);
                done.then_some(Outcome::Acknowledged)
            }
            (None, Verdict::Conflict) => Some(Outcome::Conflict(committed)),
            (None, _) => Some(Outcome::Superseded(committed)),
        }
    }

    /// Whether all members that were heard a moment ago have this, or what came after it, on disk.
    fn all_have(&self, now: Duration, version: Version) -> bool {
        self.others().into_iter().all(|at| {
            self.peers.get(&at).is_none_or(|peer| {
                let silent = peer.heard.is_none_or(|heard| now > heard + STRAGGLER_HEARD);
                silent || peer.state.saved >= version
            })
        })
    }

    fn step_show(&mut self, now: Duration, call: &mut Call) -> Option<Outcome> {
        if !self.has_heard_majority(call) {
            self.read_again(now, call);
            return None;
        }
        let (saved, committed) = (self.register.saved, self.register.committed_version());
        let Kind::Show { most, unsettled_since } = &mut call.kind else { return None };
        let most = (*most).max(saved);
        if most == Version::NONE {
            return Some(Outcome::Empty);
        }
        if committed >= most {
            return self.register.committed.clone().map(Outcome::Found);
        }
        unsettled_since.get_or_insert(now);
        None
    }

    fn has_heard_majority(&self, call: &Call) -> bool {
        let heard = |at: SocketAddr| {
            if at == self.setup.me {
                self.is_voting()
            } else {
                call.heard.contains(&at)
            }
        };
        call.table == self.mark()
            && self
                .tables
                .as_ref()
                .is_some_and(|tables| tables.next.is_none() && tables.base.has_quorum(heard))
    }

    /// Numbers a question: never used twice within an incarnation.
    pub(crate) fn next_ask(&mut self) -> u64 {
        self.register.asks += 1;
        self.register.asks
    }

    /// Asks those who haven't answered, now and then.
    fn read_again(&mut self, now: Duration, call: &mut Call) {
        let table = self.mark();
        if call.table != table {
            call.table = table;
            call.heard.clear();
            call.asked_at = None;
        }
        if call.asked_at.is_some_and(|at| now < at + READ_RESEND_AFTER) {
            return;
        }
        call.asked_at = Some(now);
        for to in self.others().into_iter().filter(|at| !call.heard.contains(at)) {
            self.send(to, Message::ReadRequest { ask: call.ask });
        }
    }

    /// A member's answer to the read of a call of this incarnation: numbers begin anew in each.
    pub(crate) fn receive_read_reply(&mut self, from: SocketAddr, state: &crate::MemberState) {
        if state.ask == 0 || !state.counts || state.mark != self.mark() {
            return;
        }
        let mine = |call: &&mut Call| call.ask == state.ask && call.table == state.mark;
        if let Some(call) = self.register.calls.iter_mut().find(mine) {
            call.heard.insert(from);
            if let Kind::Show { most, .. } = &mut call.kind {
                *most = (*most).max(state.saved);
            }
        }
    }

    /// A member has stored what this one proposed: it was heard for all orders that came before the proposal.
    pub(crate) fn receive_vote(&mut self, from: SocketAddr, state: &crate::MemberState) {
        let Some((proposed, at)) = self.register.rounds.proposed() else { return };
        if state.counts && state.mark == self.mark() && state.votes_for(proposed) {
            self.heard_for_calls(from, at);
        }
    }

    /// A member answered something that was sent at this time.
    pub(super) fn heard_for_calls(&mut self, from: SocketAddr, sent: Duration) {
        let table = self.mark();
        for call in &mut self.register.calls {
            let order = matches!(call.kind, Kind::Replace { .. });
            if order && call.came <= sent && call.table == table {
                call.heard.insert(from);
            }
        }
    }

    /// Whether the round of a call, of any, is to begin now.
    pub(super) fn wants_round_for_calls(&self, now: Duration) -> bool {
        self.next_round_due_for_calls().is_some_and(|due| now >= due)
    }

    pub(super) fn next_round_due_for_calls(&self) -> Option<Duration> {
        let committed = self.register.committed_version();
        let due = |call: &Call| match &call.kind {
            Kind::Replace { configuration, .. } => {
                (configuration.revision > committed.revision).then_some(call.came)
            }
            Kind::Show { unsettled_since, .. } => unsettled_since.map(|since| since + UNSETTLED_WAIT),
        };
        self.register.calls.iter().filter_map(due).min()
    }

    pub(super) fn has_open_read(&self) -> bool {
        self.register.calls.iter().any(|call| matches!(call.kind, Kind::Show { .. }))
    }

    /// When the calls are to be looked at again.
    pub(crate) fn next_call_due(&self) -> Option<Duration> {
        let due = |call: &Call| {
            let waits = matches!(call.kind, Kind::Replace { chosen: Some(_), .. });
            let look = waits.then(|| self.now + STRAGGLER_LOOK_INTERVAL);
            let read = call.asked_at.filter(|_| !self.has_heard_majority(call));
            let read = read.map(|at| at + READ_RESEND_AFTER);
            look.into_iter().chain(read).fold(call.until, Duration::min)
        };
        self.register.calls.iter().map(due).min()
    }
}
