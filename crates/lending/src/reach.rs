//! Whom this process reaches: owners that say nothing, whether their processes run at all, and whether it is this one that
//! is cut off.

use crate::planted::{planted, Defect};
use crate::words::{Kind, Line};
use crate::{
    ms, Call, Lending, Order, Stage, ASKED_FOR_A_WORD, CUT_OFF_RETRY, FENCED, GIVEN_UP, IN_REACH, ISOLATED,
    LIKELY_ISOLATED, PASSED_OVER, PROBED_AFTER,
};
use std::net::SocketAddr;

impl Lending {
    /// Members that say nothing, and members in reach; without this process, and those whose processes have ended.
    pub(crate) fn reach(&self) -> (usize, Vec<SocketAddr>, usize) {
        let others = self.owners.members().iter().filter(|m| m.at != self.me && !self.owners.has_ended(m.at));
        let in_reach =
            |at: &SocketAddr| self.lives.heard(at).is_some_and(|heard| heard + IN_REACH > self.now);
        let (mut silent, mut unknown, mut heard) = (0, Vec::new(), 0);
        for other in others {
            if self.passed_over.contains_key(&other.at) {
                silent += 1;
            } else if in_reach(&other.at) {
                heard += 1;
            } else {
                unknown.push(other.at);
            }
        }
        (silent, unknown, heard)
    }

    /// One that hears fewer members than are silent is likely in the smaller part of a network that was cut. Those of which
    /// nothing is known are asked for a word first.
    pub(crate) fn look_for_isolation(&mut self) {
        if self.passed_over.is_empty() {
            self.isolated = None;
            return;
        }
        let (silent, unknown, heard) = self.reach();
        let likely = silent >= LIKELY_ISOLATED.min(silent + unknown.len() + heard);
        if !likely || silent <= heard {
            self.isolated = None;
            return;
        }
        if self.isolated.is_none() {
            self.isolated = Some(self.now);
            for at in unknown.into_iter().take(ASKED_FOR_A_WORD) {
                self.say(at, Line::Unwanted { seq: 0, kind: 0, instance: 0 });
            }
        }
    }

    pub(crate) fn is_isolated(&self) -> bool {
        self.isolated.is_some_and(|since| self.now >= since + ISOLATED)
    }

    /// Isolated for so long that the others may have new owners for what this one owns.
    pub(crate) fn is_fenced(&self) -> bool {
        let fenced = self.isolated.is_some_and(|since| self.now >= since + FENCED);
        fenced && !planted(Defect::IsolatedLends)
    }

    /// Whoever waits here is told to come back.
    pub(crate) fn turn_away(&mut self, kind: Kind) {
        let waiting = self.shelves.get_mut(&kind).map(|shelf| std::mem::take(&mut shelf.queue));
        for wish in waiting.unwrap_or_default() {
            self.say(wish.from, Line::Later { seq: wish.seq, after: ms(CUT_OFF_RETRY) });
        }
    }

    /// Whoever says nothing is asked for nothing while there are others, and it is seen whether its process runs at all. It
    /// goes on as the owner of what it owns: it may be slow, and lend to all that it hears.
    pub(crate) fn pass_over(&mut self, silent: Vec<SocketAddr>) {
        if silent.is_empty() {
            return;
        }
        for &to in &silent {
            if self.passed_over.insert(to, self.now + PASSED_OVER).is_none() {
                self.orders.push_back(Order::PassedOver { lender: to });
                self.orders.push_back(Order::Probe { owner: to });
            }
            if planted(Defect::SilenceIsEnd) {
                self.has_ended(self.now, to);
            }
        }
        // All that was asked of them is asked elsewhere, not each after its own wait.
        let asks = |call: &Call| matches!(call.stage, Stage::Asking { to, .. } if silent.contains(&to));
        let lost: Vec<u32> = self.calls.iter().filter(|(_, call)| asks(call)).map(|(seq, _)| *seq).collect();
        for seq in lost {
            self.ask_or_give_up(seq);
        }
    }

    /// Where all that could be asked have been silent for long the client is told to come back: it may find a way.
    pub(crate) fn ask_or_give_up(&mut self, seq: u32) {
        let Some(call) = self.calls.get(&seq) else { return };
        let (kind, waited) = (call.kind, self.now.saturating_sub(call.came));
        let zone = self.zone_for(kind);
        let silent = self.lender(kind, &zone).is_some_and(|at| self.passed_over.contains_key(&at));
        if silent && waited >= GIVEN_UP {
            if let Some(Call { stage: Stage::Asking { to, .. }, .. }) = self.calls.remove(&seq) {
                self.stray(to, seq, kind, 0);
            }
            self.orders.push_back(Order::No { call: seq, after: CUT_OFF_RETRY });
            return;
        }
        self.ask(seq, 0);
    }

    /// A call has come for what another owns, as far as is known here: the one that asks may know that its process has ended.
    pub(crate) fn probe_owner(&mut self, kind: Kind) {
        let now = self.now;
        let Some(owner) = self.lender(kind, &self.zone).filter(|at| *at != self.me) else { return };
        let heard = self.lives.heard(&owner).is_some_and(|heard| heard + PROBED_AFTER > now);
        let lately = self.probed.get(&owner).is_some_and(|at| now < *at + PASSED_OVER);
        if heard || lately {
            return;
        }
        self.probed.retain(|_, at| now < *at + PASSED_OVER);
        self.probed.insert(owner, now);
        self.orders.push_back(Order::Probe { owner });
    }

    /// Lenders that are passed over are asked for a word, and are asked for slots again once they are heard.
    pub(crate) fn probe(&mut self) {
        let now = self.now;
        let owners = &self.owners;
        self.passed_over.retain(|at, _| owners.member(*at).is_some());
        let due = self.passed_over.iter_mut().filter(|(_, next)| **next <= now);
        let due: Vec<SocketAddr> = due
            .map(|(at, next)| {
                *next = now + PASSED_OVER;
                *at
            })
            .collect();
        for at in due {
            self.say(at, Line::Unwanted { seq: 0, kind: 0, instance: 0 });
            self.orders.push_back(Order::Probe { owner: at });
        }
        self.look_for_isolation();
    }
}
