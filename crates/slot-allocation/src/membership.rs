//! Changes of functions and members, and the reports of held slots to new owners.

use crate::function_id::{name_hash, FunctionId};
use crate::handover::Cause;
use crate::messages::Message;
use crate::{ms, Allocator, Call, Function, Member, Stage};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Allocator {
    /// Sets the functions of the configuration; no slots are granted of functions that it lacks.
    pub fn set_functions(&mut self, now: Duration, functions: Vec<Function>) {
        self.now = now;
        self.functions = functions.into_iter().map(|function| (function.id, function)).collect();
        for (function_id, pool) in &mut self.pools {
            if let Some(function) = self.functions.get(function_id) {
                pool.function = function.clone();
            }
        }
        self.update_all_pools(Cause::Update);
        self.pump();
    }

    /// Sets the members that allocate slots, as published by the holder of the leadership lease; this process
    /// is one of them if it is listed.
    pub fn set_members(&mut self, now: Duration, members: Vec<Member>) {
        let published = self.owners.set_provisional(false);
        self.replace_members(now, members, published);
    }

    /// Sets the members that were discovered while the holder of the leadership lease has published none.
    pub fn set_provisional_members(&mut self, now: Duration, members: Vec<Member>) {
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
        let known =
            |m: &&Member| self.owners.member(m.at).is_some_and(|old| old.incarnation == m.incarnation);
        let fresh: HashSet<SocketAddr> = members.iter().filter(|m| !known(m)).map(|m| m.at).collect();
        let former = self.owners.replace(members);
        self.name_incarnations();
        // A restarted process may reply again.
        self.suspects.retain(|at, _| !fresh.contains(at));
        self.changed = now;
        self.update_all_pools(Cause::Members(&former));
        self.former = former;
        self.claim();
        self.probe_former_owners();
        self.report_held_to_new_owners(&fresh);
        self.retarget_requests();
        self.request_without_owner();
        self.pump();
    }

    /// The incarnation that the members name is the present one, also before it sends anything.
    pub(crate) fn name_incarnations(&mut self) {
        for member in self.owners.members().iter().filter(|member| member.at != self.me) {
            if self.incarnations.named(self.awake, member.at, member.incarnation) {
                self.pools.values_mut().for_each(|pool| pool.forget_requests(member.at, member.incarnation));
            }
        }
    }

    /// Reports held slots to the present owner of their instance, if that did not grant them, or was
    /// restarted.
    pub(crate) fn report_held_to_new_owners(&mut self, fresh: &HashSet<SocketAddr>) {
        let mut reported = Vec::new();
        for (&seq, call) in &self.calls {
            let Stage::Holding { owner, instance, .. } = &call.stage else { continue };
            let Some(entry) = self.entries.get(instance) else { continue };
            let Some(new) = self.owner_of(call.function_id, &entry.zone) else { continue };
            if new != *owner || fresh.contains(&new) {
                reported.push((
                    seq,
                    new,
                    instance.clone(),
                    call.function_id,
                    ms(call.end.saturating_sub(self.now)),
                ));
            }
        }
        for (seq, new, instance, function_id, left) in reported {
            self.report_held(seq, new, function_id, instance, left);
        }
    }

    /// The report is resent until the new owner acknowledges it: it may not know the instance yet.
    pub(crate) fn report_held(
        &mut self,
        seq: u32,
        new: SocketAddr,
        function_id: FunctionId,
        instance: String,
        left: u32,
    ) {
        let now = self.now;
        if let Some(Call { stage: Stage::Holding { owner, reported, .. }, .. }) = self.calls.get_mut(&seq) {
            *owner = new;
            *reported = Some((now, 1));
        }
        let id = name_hash(&instance);
        self.unused_grants.retain(|unused| (unused.to, unused.seq, unused.instance) != (new, seq, id));
        self.send(new, Message::Holds { seq, function_id, instance, left });
    }
}
