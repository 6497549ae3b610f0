//! Free slots and waiting calls as owners tell them to one another, and calls that go where there is room.

use crate::lender::{self, Wish};
use crate::words::{kind as hash, Kind, Line, LINES};
use crate::{room, Lending, Room, FULL, HOPS, LOWEST, OPEN, PEERS, ROOM};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Lending {
    /// What was heard of the lender of a zone lately.
    pub(crate) fn room_at(&self, kind: Kind, zone: &str) -> Option<Room> {
        let lender = self.lender(kind, zone)?;
        self.rooms.get(&(kind, lender)).copied().filter(|room| room.heard + ROOM > self.now)
    }

    /// The nearest other zone whose lender said lately that it has free slots and that nobody waits there.
    pub(crate) fn roomy(&self, kind: Kind) -> Option<(String, SocketAddr, u8)> {
        if !self.rooms.keys().any(|(k, _)| *k == kind) {
            return None;
        }
        let zones = self.zones_of(kind);
        let open = zones.keys().filter_map(|zone| {
            let lender = self.lender(kind, zone).filter(|at| *at != self.me)?;
            let room = self.room_at(kind, zone).filter(|room| room.free > 0 && room.waiting == 0)?;
            Some((self.way(zone), u8::MAX - room.free, zone.to_string(), lender))
        });
        open.min().map(|(_, taken, zone, lender)| (zone, lender, u8::MAX - taken))
    }

    /// Lenders of this function's other instances.
    pub(crate) fn peers(&self, kind: Kind) -> BTreeSet<SocketAddr> {
        let mut zones: Vec<&str> = self.zones_of(kind).into_keys().collect();
        zones.sort_by_key(|zone| self.way(zone));
        let lenders = zones.iter().filter_map(|zone| self.lender(kind, zone));
        lenders.filter(|at| *at != self.me).take(PEERS).collect()
    }

    /// Tells another lender what there is here, if it has not been told just now.
    pub(crate) fn say_room(&mut self, kind: Kind, to: SocketAddr, pause: Duration) {
        let now = self.now;
        let Some(line) = self.room_line(kind) else { return };
        let open = matches!(line, Line::Room { free: 1.., waiting: 0, .. });
        let last = self.said.get(&(kind, to));
        if last.is_some_and(|(at, was)| now < *at + if *was == open { pause } else { OPEN / 2 }) {
            return;
        }
        if self.said.len() < 65_536 {
            self.said.insert((kind, to), (now, open));
        }
        self.say(to, line);
    }

    pub(crate) fn room_line(&self, kind: Kind) -> Option<Line> {
        let shelf = self.shelves.get(&kind).filter(|shelf| shelf.lends())?;
        let (free, waiting) = room(shelf, self.now);
        let run = u16::try_from(shelf.run().as_millis()).unwrap_or(u16::MAX);
        Some(Line::Room { kind, free, waiting, run })
    }

    /// Calls wait here: the lenders of the function elsewhere are told, and told again when none waits any more. Who has
    /// room tells those that said so.
    pub(crate) fn tell_rooms(&mut self, kind: Kind) {
        let now = self.now;
        let Some(shelf) = self.shelves.get(&kind) else { return };
        let waits = !shelf.queue.is_empty();
        let open = !waits && shelf.free(now) > 0;
        if waits {
            self.full.insert(kind);
            for peer in self.peers(kind) {
                self.say_room(kind, peer, FULL);
            }
        } else if open && self.full.remove(&kind) {
            for peer in self.peers(kind) {
                self.say_room(kind, peer, FULL);
            }
        }
        if open && !self.short.is_empty() {
            let of = self.short.range((kind, LOWEST)..).take_while(|((k, _), _)| *k == kind);
            let asking: Vec<SocketAddr> = of.map(|((_, at), _)| *at).collect();
            for peer in asking {
                self.say_room(kind, peer, OPEN);
            }
        }
    }

    /// Waiting calls go where there is room, if that is better for them.
    pub(crate) fn hand_on(&mut self, kind: Kind) {
        let now = self.now;
        if self.shelves.get(&kind).is_none_or(|shelf| shelf.queue.is_empty()) {
            return;
        }
        let Some((zone, lender, free)) = self.roomy(kind) else { return };
        let far = self.way(&zone);
        let Some(shelf) = self.shelves.get_mut(&kind) else { return };
        let gone = shelf.better_off(now, far, free.into(), HOPS);
        if let Some(room) = self.rooms.get_mut(&(kind, lender)) {
            room.free = room.free.saturating_sub(u8::try_from(gone.len()).unwrap_or(u8::MAX));
        }
        for wish in gone {
            self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
        }
    }

    /// What is known of others' room: function, lender, and what it said when.
    pub fn rooms(&self) -> impl Iterator<Item = (Kind, SocketAddr, &Room)> {
        self.rooms.iter().map(|((kind, at), room)| (*kind, *at, room))
    }

    pub(crate) fn note_room(&mut self, kind: Kind, from: SocketAddr, free: u8, waiting: u8, run: u16) {
        if self.rooms.len() < 65_536 {
            self.rooms.insert((kind, from), Room { heard: self.now, free, waiting, run });
        }
    }

    /// The zone with room in which a call that would wait here does better, if there is one.
    pub(crate) fn better(&mut self, kind: Kind, wish: &Wish) -> Option<String> {
        let now = self.now;
        let (zone, lender, _) = self.roomy(kind)?;
        let shelf = self.shelves.get(&kind)?;
        let wait = shelf.wait(now, wish)?;
        if !lender::gains(now, wish, wait, shelf.usual(wish.priority), self.way(&zone)) {
            return None;
        }
        let room = self.rooms.get_mut(&(kind, lender))?;
        room.free = room.free.saturating_sub(1);
        Some(zone)
    }

    /// A letter that goes anyway takes along what its reader asked for lately.
    pub(crate) fn add_rooms(&mut self, to: SocketAddr, part: &mut Vec<Line>) {
        let now = self.now;
        let asked: Vec<Kind> = self.short.keys().filter(|(_, at)| *at == to).map(|(kind, _)| *kind).collect();
        for kind in asked {
            if part.len() >= LINES || self.said.get(&(kind, to)).is_some_and(|(at, _)| now < *at + OPEN) {
                continue;
            }
            if let Some(line) = self.room_line(kind) {
                let open = matches!(line, Line::Room { free: 1.., waiting: 0, .. });
                self.said.insert((kind, to), (now, open));
                part.push(line);
            }
        }
    }
}
