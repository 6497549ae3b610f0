//! Free slots and queued calls as owners announce them to one another, and redirects of queued calls to zones
//! with free slots.

use crate::datagram::MAX_MESSAGES;
use crate::function_id::{name_hash, FunctionId};
use crate::messages::Message;
use crate::pool::{self, SlotRequest};
use crate::{
    advertised_capacity, Allocator, Capacity, CAPACITY_VALID_FOR, FREE_INTERVAL, FULL_INTERVAL, LOWEST,
    MAX_CAPACITY_PEERS, MAX_HOPS,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Allocator {
    /// The capacity that the owner in a zone recently announced.
    pub(crate) fn capacity_at(&self, function_id: FunctionId, zone: &str) -> Option<Capacity> {
        let owner = self.owner_of(function_id, zone)?;
        self.capacities
            .get(&(function_id, owner))
            .copied()
            .filter(|capacity| capacity.received + CAPACITY_VALID_FOR > self.now)
    }

    /// The nearest other zone whose owner recently announced free slots and an empty queue.
    pub(crate) fn zone_with_capacity(&self, function_id: FunctionId) -> Option<(String, SocketAddr, u8)> {
        if !self.capacities.keys().any(|(k, _)| *k == function_id) {
            return None;
        }
        let zones = self.zones_of(function_id);
        let open = zones.keys().filter_map(|zone| {
            let owner = self.owner_of(function_id, zone).filter(|at| *at != self.me)?;
            let capacity = self
                .capacity_at(function_id, zone)
                .filter(|capacity| capacity.free > 0 && capacity.waiting == 0)?;
            Some((self.redirect_cost(zone), u8::MAX - capacity.free, zone.to_string(), owner))
        });
        open.min().map(|(_, taken, zone, owner)| (zone, owner, u8::MAX - taken))
    }

    /// The owners of this function's other instances.
    pub(crate) fn peers(&self, function_id: FunctionId) -> BTreeSet<SocketAddr> {
        let mut zones: Vec<&str> = self.zones_of(function_id).into_keys().collect();
        zones.sort_by_key(|zone| self.redirect_cost(zone));
        let owners = zones.iter().filter_map(|zone| self.owner_of(function_id, zone));
        owners.filter(|at| *at != self.me).take(MAX_CAPACITY_PEERS).collect()
    }

    /// Sends this process's capacity to another owner, unless it was sent very recently.
    pub(crate) fn send_capacity(&mut self, function_id: FunctionId, to: SocketAddr, pause: Duration) {
        let now = self.now;
        let Some(message) = self.capacity_message(function_id) else { return };
        let open = matches!(message, Message::Capacity { free: 1.., waiting: 0, .. });
        let last = self.capacity_sent.get(&(function_id, to));
        if last.is_some_and(|(at, was)| now < *at + if *was == open { pause } else { FREE_INTERVAL / 2 }) {
            return;
        }
        if self.capacity_sent.len() < 65_536 {
            self.capacity_sent.insert((function_id, to), (now, open));
        }
        self.send(to, message);
    }

    pub(crate) fn capacity_message(&self, function_id: FunctionId) -> Option<Message> {
        let pool = self.pools.get(&function_id).filter(|pool| pool.accepts_calls())?;
        let (free, waiting) = advertised_capacity(pool, self.now);
        let run = u16::try_from(pool.run().as_millis()).unwrap_or(u16::MAX);
        Some(Message::Capacity { function_id, free, waiting, run })
    }

    /// Announces to the other owners of the function that calls are queued here, and again when none is any
    /// more. Free slots are announced to the owners that reported queued calls.
    pub(crate) fn announce_capacity(&mut self, function_id: FunctionId) {
        let now = self.now;
        let Some(pool) = self.pools.get(&function_id) else { return };
        let waits = !pool.queue.is_empty();
        let open = !waits && pool.free(now) > 0;
        if waits {
            self.announced_full.insert(function_id);
            for peer in self.peers(function_id) {
                self.send_capacity(function_id, peer, FULL_INTERVAL);
            }
        } else if open && self.announced_full.remove(&function_id) {
            for peer in self.peers(function_id) {
                self.send_capacity(function_id, peer, FULL_INTERVAL);
            }
        }
        if open && !self.short_peers.is_empty() {
            let entries =
                self.short_peers.range((function_id, LOWEST)..).take_while(|((k, _), _)| *k == function_id);
            let interested: Vec<SocketAddr> = entries.map(|((_, at), _)| *at).collect();
            for peer in interested {
                self.send_capacity(function_id, peer, FREE_INTERVAL);
            }
        }
    }

    /// Redirects queued calls to a zone with free slots if they gain by that.
    pub(crate) fn redirect_waiting(&mut self, function_id: FunctionId) {
        let now = self.now;
        if self.pools.get(&function_id).is_none_or(|pool| pool.queue.is_empty()) {
            return;
        }
        let Some((zone, owner, free)) = self.zone_with_capacity(function_id) else { return };
        let far = self.redirect_cost(&zone);
        let Some(pool) = self.pools.get_mut(&function_id) else { return };
        let gone = pool.take_redirectable(now, far, free.into(), MAX_HOPS);
        if let Some(capacity) = self.capacities.get_mut(&(function_id, owner)) {
            capacity.free = capacity.free.saturating_sub(u8::try_from(gone.len()).unwrap_or(u8::MAX));
        }
        for request in gone {
            self.send(request.from, Message::Redirect { seq: request.seq, zone: name_hash(&zone) });
        }
    }

    /// The known capacity of others: function, owner, and what it announced when.
    pub fn capacities(&self) -> impl Iterator<Item = (FunctionId, SocketAddr, &Capacity)> {
        self.capacities.iter().map(|((function_id, at), capacity)| (*function_id, *at, capacity))
    }

    pub(crate) fn note_capacity(
        &mut self,
        function_id: FunctionId,
        from: SocketAddr,
        free: u8,
        waiting: u8,
        run: u16,
    ) {
        if self.capacities.len() < 65_536 {
            self.capacities.insert((function_id, from), Capacity { received: self.now, free, waiting, run });
        }
    }

    /// The zone with free slots in which a call that would be queued here gains, if there is one.
    pub(crate) fn better_zone(&mut self, function_id: FunctionId, request: &SlotRequest) -> Option<String> {
        let now = self.now;
        let (zone, owner, _) = self.zone_with_capacity(function_id)?;
        let pool = self.pools.get(&function_id)?;
        let wait = pool.wait(now, request)?;
        if !pool::gains_by_redirect(
            now,
            request,
            wait,
            pool.mean_run(request.priority),
            self.redirect_cost(&zone),
        ) {
            return None;
        }
        let capacity = self.capacities.get_mut(&(function_id, owner))?;
        capacity.free = capacity.free.saturating_sub(1);
        Some(zone)
    }

    /// Adds the capacity that the receiver is interested in to a datagram that is sent anyway.
    pub(crate) fn piggyback_capacities(&mut self, to: SocketAddr, part: &mut Vec<Message>) {
        let now = self.now;
        let interested: Vec<FunctionId> = self
            .short_peers
            .keys()
            .filter(|(_, at)| *at == to)
            .map(|(function_id, _)| *function_id)
            .collect();
        for function_id in interested {
            if part.len() >= MAX_MESSAGES
                || self.capacity_sent.get(&(function_id, to)).is_some_and(|(at, _)| now < *at + FREE_INTERVAL)
            {
                continue;
            }
            if let Some(message) = self.capacity_message(function_id) {
                let open = matches!(message, Message::Capacity { free: 1.., waiting: 0, .. });
                self.capacity_sent.insert((function_id, to), (now, open));
                part.push(message);
            }
        }
    }
}
