//! Whom this process reaches: owners that say nothing, whether their processes run at all, and whether it is this one that
//! is cut off.

use crate::planted::{planted, Defect};
use crate::words::{Kind, Line};
use crate::{
    ms, Call, Lending, Order, Stage, ASKED_FOR_A_WORD, CUT_OFF_RETRY, CUT_SHARE, FENCED, GIVEN_UP, IN_REACH,
    ISOLATED, LIKELY_ISOLATED, PASSED_OVER, PROBED_AFTER,
};
use std::net::SocketAddr;
use std::time::Duration;

/// What is known of the other members.
#[derive(Default)]
struct Reach {
    /// They say nothing, or their connections are refused.
    unreachable: usize,
    /// Neither heard lately nor asked for a slot; those that are asked for a word in vain are unreachable as well.
    unknown: Vec<SocketAddr>,
    /// Of these, those that have not been asked for long enough.
    unknown_still: usize,
    heard: usize,
}

impl Lending {
    /// Members without this process.
    fn reach(&self) -> Reach {
        let mut reach = Reach::default();
        for at in self.owners.members().iter().map(|member| member.at).filter(|at| *at != self.me) {
            let heard = self.lives.heard(&at);
            let asked =
                self.asked_for_a_word.get(&at).filter(|asked| heard.is_none_or(|heard| heard < **asked));
            if self.owners.refuses(at) || self.passed_over.contains_key(&at) {
                reach.unreachable += 1;
            } else if heard.is_some_and(|heard| heard + IN_REACH > self.now) {
                reach.heard += 1;
            } else if asked.is_some_and(|asked| self.now >= *asked + PASSED_OVER) {
                reach.unreachable += 1;
                reach.unknown.push(at);
            } else {
                reach.unknown_still += 1;
                reach.unknown.push(at);
            }
        }
        reach
    }

    /// The agent beside this process hears of controllers that are in touch with one another, or does not any more.
    pub fn contact(&mut self, now: Duration, in_touch: bool) {
        self.now = now;
        if self.in_touch != in_touch {
            self.in_touch = in_touch;
            self.look_for_isolation();
            self.pump();
        }
    }

    /// A process that does not reach many of the members is likely in one part of a network that was cut. Where its agent reaches
    /// the controllers it is on the side of the holder of the lease, who names the owners: then it goes on, however few members
    /// are with it. Most of the members is no better sign than a third: the list that it has may be an old one, which lacks those
    /// on the other side.
    pub(crate) fn look_for_isolation(&mut self) {
        let now = self.now;
        if self.passed_over.is_empty() && !self.owners.any_refuses() {
            self.isolated = None;
            self.asked_for_a_word.clear();
            if self.owners.weigh(now, false) {
                self.owners_changed();
            }
            return;
        }
        let Reach { unreachable, unknown, unknown_still, heard } = self.reach();
        let members = unreachable + unknown_still + heard;
        let cut = unreachable >= LIKELY_ISOLATED.min(members) && unreachable * CUT_SHARE >= members;
        if !cut {
            self.isolated = None;
        } else if self.isolated.is_none() {
            self.isolated = Some(now);
        }
        match self.in_touch {
            true => self.asked_for_a_word.clear(),
            false => self.ask_for_a_word(unknown),
        }
        if self.owners.weigh(now, cut && !self.in_touch) {
            self.owners_changed();
        }
    }

    /// Members of which nothing is known show by an answer, or by a refused connection, on which side they are.
    fn ask_for_a_word(&mut self, unknown: Vec<SocketAddr>) {
        if self.now < self.asked_last + PASSED_OVER {
            return;
        }
        self.asked_last = self.now;
        self.asked_for_a_word.retain(|at, _| unknown.contains(at));
        // Those that were not asked yet come first.
        let (new, old): (Vec<_>, Vec<_>) =
            unknown.into_iter().partition(|at| !self.asked_for_a_word.contains_key(at));
        for at in new.into_iter().chain(old).take(ASKED_FOR_A_WORD) {
            self.asked_for_a_word.entry(at).or_insert(self.now);
            self.say(at, Line::Unwanted { seq: 0, kind: 0, instance: 0 });
            self.orders.push_back(Order::Probe { owner: at });
        }
    }

    pub(crate) fn is_isolated(&self) -> bool {
        !self.in_touch && self.isolated.is_some_and(|since| self.now >= since + ISOLATED)
    }

    /// Isolated for so long that the others may have new owners for what this one owns.
    pub fn is_fenced(&self) -> bool {
        let fenced = self.isolated.is_some_and(|since| self.now >= since + FENCED);
        fenced && !self.in_touch && !planted(Defect::IsolatedLends)
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
