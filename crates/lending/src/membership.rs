//! Functions and members as they change, and whom loans in hand are told to then.

use crate::handover::Cause;
use crate::words::{kind as hash, Kind, Line};
use crate::{ms, Call, Function, Lending, Member, Stage};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Lending {
    /// The functions in force; what is gone lends no more.
    pub fn functions(&mut self, now: Duration, functions: Vec<Function>) {
        self.now = now;
        self.functions = functions.into_iter().map(|f| (f.kind, f)).collect();
        for (kind, shelf) in &mut self.shelves {
            if let Some(function) = self.functions.get(kind) {
                shelf.function = function.clone();
            }
        }
        self.arrange(Cause::News);
        self.pump();
    }

    /// Who lends and borrows, as the holder of the lease published it; this one among them if it does.
    pub fn members(&mut self, now: Duration, members: Vec<Member>) {
        let published = self.owners.set_provisional(false);
        self.replace_members(now, members, published);
    }

    /// Members that were heard of while the holder of the lease has published none.
    pub fn provisional_members(&mut self, now: Duration, members: Vec<Member>) {
        let withdrawn = self.owners.set_provisional(true);
        self.replace_members(now, members, withdrawn);
    }

    pub(crate) fn replace_members(&mut self, now: Duration, mut members: Vec<Member>, in_any_case: bool) {
        self.now = now;
        members.sort_by_key(|m| m.at);
        members.dedup_by_key(|m| m.at);
        if !in_any_case && members == self.owners.members() {
            return;
        }
        let known = |m: &&Member| self.owners.member(m.at).is_some_and(|old| old.life == m.life);
        let fresh: HashSet<SocketAddr> = members.iter().filter(|m| !known(m)).map(|m| m.at).collect();
        let former = self.owners.replace(members);
        self.name_lives();
        // One that begins anew may speak again.
        self.passed_over.retain(|at, _| !fresh.contains(at));
        self.changed = now;
        self.arrange(Cause::Members(&former));
        self.former = former;
        self.claim();
        self.probe_former_owners();
        self.tell_new_lenders(&fresh);
        self.ask_owners();
        self.ask_first_owners();
        self.pump();
    }

    /// A life that the members name is the present one, also before it speaks.
    pub(crate) fn name_lives(&mut self) {
        for member in self.owners.members().iter().filter(|member| member.at != self.me) {
            if self.lives.named(self.awake, member.at, member.life) {
                self.shelves.values_mut().for_each(|shelf| shelf.forget_asks(member.at, member.life));
            }
        }
    }

    /// Loans held are told to whoever lends their instance now, if that is not who gave them, or lives anew.
    pub(crate) fn tell_new_lenders(&mut self, fresh: &HashSet<SocketAddr>) {
        let mut told = Vec::new();
        for (&seq, call) in &self.calls {
            let Stage::Holding { lender, instance, .. } = &call.stage else { continue };
            let Some(entry) = self.entries.get(instance) else { continue };
            let Some(new) = self.lender(call.kind, &entry.zone) else { continue };
            if new != *lender || fresh.contains(&new) {
                told.push((seq, new, instance.clone(), call.kind, ms(call.end.saturating_sub(self.now))));
            }
        }
        for (seq, new, instance, kind, left) in told {
            self.tell_holds(seq, new, kind, instance, left);
        }
    }

    /// Said until the new lender has heard: it may not know the instance yet.
    pub(crate) fn tell_holds(&mut self, seq: u32, new: SocketAddr, kind: Kind, instance: String, left: u32) {
        let now = self.now;
        if let Some(Call { stage: Stage::Holding { lender, told, .. }, .. }) = self.calls.get_mut(&seq) {
            *lender = new;
            *told = Some((now, 1));
        }
        let id = hash(&instance);
        self.strays.retain(|stray| (stray.to, stray.seq, stray.instance) != (new, seq, id));
        self.say(new, Line::Holds { seq, kind, instance, left });
    }
}
