//! The ledgers of the instances that this process owns: added instances, handed over instances, and parked
//! grants.

use crate::defects::{injected, Defect};
use crate::function_id::FunctionId;
use crate::handover::Cause;
use crate::ledger::InstanceLedger;
use crate::messages::Message;
use crate::pool::SlotPool;
use crate::{Allocator, Entry, Function};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Allocator {
    /// Updates the ledgers of all functions. Instances that another process may have granted slots of until
    /// now are paused first.
    pub(crate) fn update_all_pools(&mut self, cause: Cause) {
        let mut function_ids: BTreeSet<FunctionId> = self.pools.keys().copied().collect();
        function_ids.extend(self.instances_by_function.keys().copied());
        self.update_pools(function_ids, &cause);
    }

    pub(crate) fn update_pools(&mut self, function_ids: BTreeSet<FunctionId>, cause: &Cause) {
        for function_id in function_ids {
            let mine = self.owned(function_id);
            if mine.is_empty() && !self.pools.contains_key(&function_id) {
                continue;
            }
            match self.functions.get(&function_id).cloned() {
                Some(function) => self.update_pool(function, mine, cause),
                None => self.close_pool(function_id),
            }
        }
    }

    /// The instances of a function that this process owns.
    pub(crate) fn owned(&self, function_id: FunctionId) -> BTreeMap<String, Entry> {
        if !self.functions.contains_key(&function_id) {
            return BTreeMap::new();
        }
        let all = self
            .instances_by_function
            .get(&function_id)
            .into_iter()
            .flatten()
            .filter_map(|id| self.entries.get(id));
        let mine = all.filter(|entry| self.owner_of(function_id, &entry.zone) == Some(self.me));
        mine.map(|entry| (entry.instance.clone(), entry.clone())).collect()
    }

    /// Rejects the queued calls of a function that was removed from the configuration, so that none goes
    /// unanswered, and keeps its grants: a later change may restore the function while they are held.
    pub(crate) fn close_pool(&mut self, function_id: FunctionId) {
        let Some(pool) = self.pools.remove(&function_id) else { return };
        for request in pool.queue {
            self.send(request.from, Message::RetryAfter { seq: request.seq, after: 500 });
        }
        for ledger in pool.ledgers {
            self.park(ledger);
        }
    }

    /// Grants are kept until they expire: this process may own the instance again.
    pub(crate) fn park(&mut self, ledger: InstanceLedger) {
        if !ledger.grants.is_empty() && !injected(Defect::LedgerForgotten) {
            self.parked.entry(ledger.entry.instance).or_default().extend(ledger.grants);
        }
    }

    pub(crate) fn update_pool(
        &mut self,
        function: Function,
        mut mine: BTreeMap<String, Entry>,
        cause: &Cause,
    ) {
        let (now, score, function_id, boot) = (self.now, self.score, function.id, function.boot);
        let pool =
            self.pools.entry(function_id).or_insert_with(|| SlotPool::new(function, now).with_score(score));
        let (mut kept, dropped): (Vec<InstanceLedger>, Vec<InstanceLedger>) =
            pool.ledgers.drain(..).partition(|ledger| mine.contains_key(&ledger.entry.instance));
        for ledger in &mut kept {
            if let Some(entry) = mine.remove(&ledger.entry.instance) {
                ledger.entry = entry;
            }
        }
        for ledger in dropped {
            self.hand_over(&ledger);
            self.park(ledger);
        }
        for entry in mine.into_values() {
            kept.push(self.new_ledger(entry, boot, cause));
        }
        if let Some(pool) = self.pools.get_mut(&function_id) {
            pool.ledgers = kept;
        }
    }

    pub(crate) fn new_ledger(&mut self, entry: Entry, boot: Duration, cause: &Cause) -> InstanceLedger {
        let initial_state = self.initial_state(&entry, boot, cause);
        let grants = self.parked.remove(&entry.instance).unwrap_or_default();
        let early = self.early.remove(&entry.instance);
        let mut ledger = InstanceLedger::new(entry, initial_state.paused_until, grants);
        ledger.awaits = initial_state.awaits;
        ledger.merge(early.map(|early| early.grants).unwrap_or_default());
        ledger
    }
}
